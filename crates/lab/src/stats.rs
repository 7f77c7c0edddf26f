//! How sure a figure is.

use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean with its 95% confidence interval (Student's t on the seeds' figures).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub mean: f64,
    /// Half the interval; endless for a single figure.
    pub half: f64,
    pub deviation: f64,
    pub count: usize,
}

impl Estimate {
    pub fn from_samples(figures: &[f64]) -> Self {
        let count = figures.len();
        let mean = figures.iter().sum::<f64>() / count.max(1) as f64;
        if count < 2 {
            return Self {
                mean,
                half: f64::INFINITY,
                deviation: 0.0,
                count,
            };
        }
        let squares: f64 = figures.iter().map(|figure| (figure - mean).powi(2)).sum();
        let deviation = (squares / (count - 1) as f64).sqrt();
        Self {
            mean,
            half: t(count) * deviation / (count as f64).sqrt(),
            deviation,
            count,
        }
    }

    /// Whether the interval leaves out zero: a paired difference is then one.
    pub fn excludes_zero(&self) -> bool {
        self.half < self.mean.abs()
    }

    /// About how many seeds it takes until half the interval is no longer than this.
    pub fn seeds_needed(&self, half: f64) -> usize {
        let mut count = 2;
        while count < 1_000_000 && t(count) * self.deviation / (count as f64).sqrt() > half {
            count += (count / 8).max(1);
        }
        count
    }
}

fn t(count: usize) -> f64 {
    let freedom = (count - 1).max(1) as f64;
    StudentsT::new(0.0, 1.0, freedom).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The figures of a worked example by hand: mean 5, deviation 1.5811, t(4) = 2.776.
    #[test]
    fn an_interval_is_students() {
        let estimate = Estimate::from_samples(&[3.0, 4.0, 5.0, 6.0, 7.0]);
        assert_eq!(estimate.mean, 5.0);
        assert!((estimate.deviation - 1.5811).abs() < 1e-4);
        assert!((estimate.half - 1.9632).abs() < 1e-3, "{}", estimate.half);
        assert!(estimate.excludes_zero());
        assert!(!Estimate::from_samples(&[1.0]).excludes_zero());
    }

    #[test]
    fn a_finer_interval_takes_more_seeds() {
        let estimate = Estimate::from_samples(&[3.0, 4.0, 5.0, 6.0, 7.0]);
        let (coarse, fine) = (estimate.seeds_needed(2.0), estimate.seeds_needed(0.2));
        assert!(coarse <= 6 && (200..300).contains(&fine), "{coarse} {fine}");
    }
}

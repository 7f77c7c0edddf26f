//! Confidence intervals of means.

use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean with its 95% confidence interval (Student's t over the values of the seeds).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub mean: f64,
    /// Half the width of the interval; infinite for a single value.
    pub half: f64,
    pub deviation: f64,
    pub count: usize,
}

impl Estimate {
    /// Computes the estimate of the mean of independent samples.
    pub fn from_samples(samples: &[f64]) -> Self {
        let count = samples.len();
        let mean = samples.iter().sum::<f64>() / count.max(1) as f64;
        if count < 2 {
            return Self {
                mean,
                half: f64::INFINITY,
                deviation: 0.0,
                count,
            };
        }
        let squares: f64 = samples.iter().map(|sample| (sample - mean).powi(2)).sum();
        let deviation = (squares / (count - 1) as f64).sqrt();
        Self {
            mean,
            half: t_quantile(count) * deviation / (count as f64).sqrt(),
            deviation,
            count,
        }
    }

    /// Whether the interval excludes zero, so that a paired difference is significant.
    pub fn excludes_zero(&self) -> bool {
        self.half < self.mean.abs()
    }

    /// Approximate number of seeds after which half the interval is at most `half`.
    pub fn seeds_needed(&self, half: f64) -> usize {
        let mut count = 2;
        while count < 1_000_000 && t_quantile(count) * self.deviation / (count as f64).sqrt() > half
        {
            count += (count / 8).max(1);
        }
        count
    }
}

fn t_quantile(count: usize) -> f64 {
    let degrees_of_freedom = (count - 1).max(1) as f64;
    StudentsT::new(0.0, 1.0, degrees_of_freedom).map_or(f64::INFINITY, |distribution| {
        distribution.inverse_cdf(0.975)
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Compares with an example computed by hand: mean 5, deviation 1.5811, t(4) = 2.776.
    #[test]
    fn interval_follows_students_t_distribution() {
        let estimate = Estimate::from_samples(&[3.0, 4.0, 5.0, 6.0, 7.0]);
        assert_eq!(estimate.mean, 5.0);
        assert!((estimate.deviation - 1.5811).abs() < 1e-4);
        assert!((estimate.half - 1.9632).abs() < 1e-3, "{}", estimate.half);
        assert!(estimate.excludes_zero());
        assert!(!Estimate::from_samples(&[1.0]).excludes_zero());
    }

    #[test]
    fn narrower_interval_needs_more_seeds() {
        let estimate = Estimate::from_samples(&[3.0, 4.0, 5.0, 6.0, 7.0]);
        let (coarse, fine) = (estimate.seeds_needed(2.0), estimate.seeds_needed(0.2));
        assert!(coarse <= 6 && (200..300).contains(&fine), "{coarse} {fine}");
    }
}

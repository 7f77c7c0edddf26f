//! Distinguishes the two kinds of values that servers send in `LOAD` lines.
//!
//! If servers are configured to report their message delay too, both values use the same keyword: the connection's
//! load, in microseconds of work per second, whenever it changes; and, once per second while a server is slow, the time
//! that a message takes there, in milliseconds. The values are orders of magnitude apart: a delay is in the tens to
//! thousands, the load of one of dozens of connections that fill a core is in the tens of thousands.

/// A value below this fraction of the mean load is a delay.
const DELAY_FRACTION: f64 = 0.1;
/// The number of values over which the mean load is taken, approximately.
const MEAN_WINDOW: f64 = 32.0;

/// The meaning of a `LOAD` line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadReading {
    /// The connection's load, in seconds of work per second.
    Load(f64),
    /// The time that a message takes at the server, in seconds.
    Delay(f64),
}

/// Classifies the values of `LOAD` lines by the mean load seen so far.
#[derive(Debug)]
pub struct LoadClassifier {
    reports_delay: bool,
    mean_load: f64,
    sample_count: f64,
}

impl LoadClassifier {
    pub fn new(reports_delay: bool) -> Self {
        Self {
            reports_delay,
            mean_load: 0.0,
            sample_count: 0.0,
        }
    }

    /// Classifies the value of a `LOAD` line.
    pub fn classify(&mut self, value: f64) -> LoadReading {
        if self.reports_delay && value < DELAY_FRACTION * self.mean_load {
            return LoadReading::Delay(value / 1e3);
        }
        self.sample_count = (self.sample_count + 1.0).min(MEAN_WINDOW);
        self.mean_load += (value - self.mean_load) / self.sample_count;
        LoadReading::Load(value / 1e6)
    }
}

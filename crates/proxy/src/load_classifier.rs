//! Tells apart the two figures that servers send as `LOAD`.
//!
//! Where the settings say that servers tell the delay of messages too, both come under that one word:
//! the connection's load in microseconds of work a second when it changes, and once a second, while
//! a server is slow, the milliseconds that a message takes there. They lie orders of magnitude apart:
//! a delay is tens to thousands, a load that fills a core among dozens tens of thousands.

/// A figure under this part of the usual load is a delay.
const PART: f64 = 0.1;
/// The usual load is the mean of about so many figures.
const MEMORY: f64 = 32.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadReading {
    /// Seconds of work a second.
    Load(f64),
    /// Seconds that a message takes.
    Delay(f64),
}

#[derive(Debug)]
pub struct LoadClassifier {
    tells_delay: bool,
    usual: f64,
    count: f64,
}

impl LoadClassifier {
    pub fn new(tells_delay: bool) -> Self {
        Self {
            tells_delay,
            usual: 0.0,
            count: 0.0,
        }
    }

    /// What a figure of a `LOAD` line means.
    pub fn classify(&mut self, figure: f64) -> LoadReading {
        if self.tells_delay && figure < PART * self.usual {
            return LoadReading::Delay(figure / 1e3);
        }
        self.count = (self.count + 1.0).min(MEMORY);
        self.usual += (figure - self.usual) / self.count;
        LoadReading::Load(figure / 1e6)
    }
}

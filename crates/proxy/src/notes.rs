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
pub enum Note {
    /// Seconds of work a second.
    Load(f64),
    /// Seconds that a message takes.
    Delay(f64),
}

#[derive(Debug)]
pub struct Notes {
    tells_delay: bool,
    usual: f64,
    count: f64,
}

impl Notes {
    pub fn new(tells_delay: bool) -> Self {
        Self {
            tells_delay,
            usual: 0.0,
            count: 0.0,
        }
    }

    /// What a figure of a `LOAD` line means.
    pub fn read(&mut self, figure: f64) -> Note {
        if self.tells_delay && figure < PART * self.usual {
            return Note::Delay(figure / 1e3);
        }
        self.count = (self.count + 1.0).min(MEMORY);
        self.usual += (figure - self.usual) / self.count;
        Note::Load(figure / 1e6)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Figures as servers sent them in a row. Taken for loads, the delays made loaded connections
    /// look empty: the module moved more of them and refused clients that there was room for.
    #[test]
    fn delays_between_loads_are_told_apart() {
        let mut notes = Notes::new(true);
        for load in [11052.746, 36119.25, 11015.159, 3212.788, 21076.518] {
            assert_eq!(notes.read(load), Note::Load(load / 1e6));
        }
        for delay in [58.033, 77.244, 465.311, 904.588] {
            assert_eq!(notes.read(delay), Note::Delay(delay / 1e3));
        }
        assert_eq!(notes.read(63575.887), Note::Load(0.063575887));
    }

    #[test]
    fn a_delay_that_comes_first_does_not_last() {
        let mut notes = Notes::new(true);
        notes.read(60.0);
        assert_eq!(notes.read(30_000.0), Note::Load(0.03));
        assert_eq!(notes.read(61.0), Note::Delay(0.061));
    }

    #[test]
    fn where_no_delay_is_told_every_figure_is_a_load() {
        let mut notes = Notes::new(false);
        notes.read(50_000.0);
        assert_eq!(notes.read(50.0), Note::Load(5e-5));
    }
}

//! Receives the signals of this process.
//!
//! A handler sets a flag and writes a byte to a socket pair, which wakes the runtime. The byte may be lost if the
//! write is interrupted, so the flag is also checked periodically.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use tokio::net::UnixStream;
use tokio::time::sleep;
use violetwind_net::try_read;

/// Interval of checking the flag: the maximum delay of a signal whose byte was lost.
const FLAG_INTERVAL: Duration = Duration::from_millis(250);

/// A set of signals, caught from the creation of this value on.
#[derive(Debug)]
pub struct Signals {
    signal_raised: Arc<AtomicBool>,
    wake_receiver: UnixStream,
}

impl Signals {
    /// Catches SIGTERM and SIGINT, which end the process.
    pub fn termination() -> io::Result<Self> {
        Self::new(&[SIGTERM, SIGINT])
    }

    /// Catches SIGHUP, which reloads the configuration.
    pub fn hangup() -> io::Result<Self> {
        Self::new(&[SIGHUP])
    }

    fn new(numbers: &[i32]) -> io::Result<Self> {
        let signal_raised = Arc::new(AtomicBool::new(false));
        let (wake_receiver, wake_sender) = std::os::unix::net::UnixStream::pair()?;
        wake_receiver.set_nonblocking(true)?;
        for number in numbers {
            // Handlers run in the order of registration, so the flag is already set when the byte arrives.
            signal_hook::flag::register(*number, signal_raised.clone())?;
            signal_hook::low_level::pipe::register(*number, wake_sender.try_clone()?)?;
        }
        Ok(Self {
            signal_raised,
            wake_receiver: UnixStream::from_std(wake_receiver)?,
        })
    }

    /// Waits for the next signal. Several signals since the last call count as one.
    pub async fn recv(&self) {
        while !self.signal_raised.swap(false, Ordering::SeqCst) {
            tokio::select! {
                _ = self.wake_receiver.readable() => self.discard_wake_bytes(),
                () = sleep(FLAG_INTERVAL) => {}
            }
        }
    }

    fn discard_wake_bytes(&self) {
        // Only the flag is significant; the contents of the bytes and read errors are ignored.
        while let Ok(Some(1..)) = try_read(&self.wake_receiver, &mut [0; 64]) {}
    }
}

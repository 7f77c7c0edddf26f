//! Measures how late threads of this process run: an event may have happened this much earlier than recorded.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Sleep between two measurements.
const INTERVAL: Duration = Duration::from_millis(5);
/// Delays up to this are not recorded.
const MIN_RECORDED_DELAY: Duration = Duration::from_millis(10);

/// A delay of a thread that was due to run at a moment.
#[derive(Clone, Copy, Debug)]
pub struct SchedulingDelay {
    pub due_at: Instant,
    pub delay: Duration,
}

/// A thread that measures scheduling delays until it is stopped.
#[derive(Debug)]
pub(crate) struct DelayMonitor {
    running: Arc<AtomicBool>,
    thread: Option<JoinHandle<Vec<SchedulingDelay>>>,
}

impl DelayMonitor {
    /// Starts measuring.
    pub fn start() -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let running_clone = running.clone();
        let thread = thread::spawn(move || {
            let mut delays = Vec::new();
            while running_clone.load(Ordering::Relaxed) {
                let due_at = Instant::now() + INTERVAL;
                thread::sleep(INTERVAL);
                let delay = due_at.elapsed();
                if delay > MIN_RECORDED_DELAY {
                    delays.push(SchedulingDelay { due_at, delay });
                }
            }
            delays
        });
        Self {
            running,
            thread: Some(thread),
        }
    }

    /// Stops measuring, and returns the delays.
    pub fn stop(&mut self) -> Vec<SchedulingDelay> {
        self.running.store(false, Ordering::Relaxed);
        self.thread.take().map_or_else(Vec::new, |thread| {
            thread
                .join()
                .expect("the thread of the delay monitor panicked")
        })
    }
}

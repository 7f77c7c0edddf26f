//! How late threads of this process run: what they write down may have happened that much earlier.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(5);
/// Less than this is not worth a note.
const NOTED: Duration = Duration::from_millis(10);

/// A thread that should have run at a moment did so this much later.
#[derive(Clone, Copy, Debug)]
pub struct SchedulingDelay {
    pub due_at: Instant,
    pub delay: Duration,
}

/// A thread that measures.
#[derive(Debug)]
pub(crate) struct DelayMonitor {
    running: Arc<AtomicBool>,
    thread: Option<JoinHandle<Vec<SchedulingDelay>>>,
}

impl DelayMonitor {
    pub fn start() -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let own = running.clone();
        let thread = thread::spawn(move || {
            let mut found = Vec::new();
            while own.load(Ordering::Relaxed) {
                let due = Instant::now() + INTERVAL;
                thread::sleep(INTERVAL);
                let by = due.elapsed();
                if by > NOTED {
                    found.push(SchedulingDelay {
                        due_at: due,
                        delay: by,
                    });
                }
            }
            found
        });
        Self {
            running,
            thread: Some(thread),
        }
    }

    pub fn stop(&mut self) -> Vec<SchedulingDelay> {
        self.running.store(false, Ordering::Relaxed);
        self.thread
            .take()
            .map_or_else(Vec::new, |thread| thread.join().expect("it only sleeps"))
    }
}

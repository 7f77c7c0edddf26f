//! A receiver of a duty's work items. Each item carries the fencing number of the holding it was done under, and is
//! rejected if a higher number has been seen. All items are recorded in order of arrival, with a monotonic clock that
//! all processes of the machine share.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::boottime_ms;
use crate::line_connection::LineConnection;

/// A work item as received; `by` names the sender, and `taken` is false for a rejected item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    pub mono_ms: u64,
    pub duty: String,
    pub fence: u64,
    pub by: String,
    pub taken: bool,
}

#[derive(Debug, Default)]
struct Received {
    /// The highest fencing number seen, by duty.
    highest_fences: BTreeMap<String, u64>,
    items: Vec<Work>,
    /// Injected fault: fencing numbers are ignored.
    unfenced: bool,
}

/// A running receiver; clones share its records.
#[derive(Clone, Debug)]
pub struct Receiver {
    pub addr: SocketAddr,
    received: Arc<Mutex<Received>>,
}

impl Receiver {
    /// Listens at `at` (port 0 picks a free one). Request lines are `WORK DUTY FENCE BY`; the answers are `TAKEN`,
    /// `STALE NEWEST` or `ERR`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn start(at: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        let receiver = Self {
            addr: listener.local_addr()?,
            received: Arc::default(),
        };
        let receiver_clone = receiver.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let receiver_clone = receiver_clone.clone();
                thread::spawn(move || {
                    let mut connection = LineConnection::new(stream);
                    while let Ok(line) = connection.try_read_line() {
                        connection.send_line(&receiver_clone.record_work(&line));
                    }
                });
            }
        });
        Ok(receiver)
    }

    fn record_work(&self, line: &str) -> String {
        let fields: Vec<&str> = line.split(' ').collect();
        let ["WORK", duty, fence, by] = fields[..] else {
            return "ERR".into();
        };
        let Ok(fence) = fence.parse::<u64>() else {
            return "ERR".into();
        };
        let mut received = self.received.lock().unwrap();
        let unfenced = received.unfenced;
        let highest = received.highest_fences.entry(duty.to_string()).or_default();
        let taken = unfenced || fence >= *highest;
        *highest = fence.max(*highest);
        let highest = *highest;
        let (duty, by) = (duty.to_string(), by.to_string());
        received.items.push(Work {
            mono_ms: boottime_ms(),
            duty,
            fence,
            by,
            taken,
        });
        match taken {
            true => "TAKEN".into(),
            false => format!("STALE {highest}"),
        }
    }

    /// Accepts every item from now on, whatever its fencing number.
    pub fn disable_fencing(&self) {
        self.received.lock().unwrap().unfenced = true;
    }

    /// All items received so far, rejected ones included.
    pub fn received_work(&self) -> Vec<Work> {
        self.received.lock().unwrap().items.clone()
    }
}

//! A receiver of a duty's work: each piece comes with the holding's fencing number, and is taken only in the
//! order of holdings. It keeps what it took, in order, with the machine's monotonic clock.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::boottime_ms;
use crate::line_connection::LineConnection;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    pub mono_ms: u64,
    pub duty: String,
    pub fence: u64,
    pub by: String,
    pub taken: bool,
}

#[derive(Debug, Default)]
struct Taken {
    newest: BTreeMap<String, u64>,
    works: Vec<Work>,
    /// The planted error: numbers are not looked at.
    unfenced: bool,
}

#[derive(Clone, Debug)]
pub struct Receiver {
    pub addr: SocketAddr,
    taken: Arc<Mutex<Taken>>,
}

impl Receiver {
    /// Listens at `at`, on a free port where that is 0. Lines are `WORK DUTY FENCE BY`; the answers `TAKEN`,
    /// `STALE NEWEST` or `ERR`.
    pub fn start(at: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        let receiver = Self {
            addr: listener.local_addr()?,
            taken: Arc::default(),
        };
        let own = receiver.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || {
                    let mut peer = LineConnection::new(stream);
                    while let Ok(line) = peer.try_read_line() {
                        peer.send_line(&own.take(&line));
                    }
                });
            }
        });
        Ok(receiver)
    }

    fn take(&self, line: &str) -> String {
        let words: Vec<&str> = line.split(' ').collect();
        let ["WORK", duty, fence, by] = words[..] else {
            return "ERR".into();
        };
        let Ok(fence) = fence.parse::<u64>() else {
            return "ERR".into();
        };
        let mut all = self.taken.lock().unwrap();
        let unfenced = all.unfenced;
        let newest = all.newest.entry(duty.to_string()).or_default();
        let taken = unfenced || fence >= *newest;
        *newest = fence.max(*newest);
        let newest = *newest;
        let (duty, by) = (duty.to_string(), by.to_string());
        all.works.push(Work {
            mono_ms: boottime_ms(),
            duty,
            fence,
            by,
            taken,
        });
        match taken {
            true => "TAKEN".into(),
            false => format!("STALE {newest}"),
        }
    }

    /// Takes whatever comes from now on.
    pub fn disable_fencing(&self) {
        self.taken.lock().unwrap().unfenced = true;
    }

    pub fn received_work(&self) -> Vec<Work> {
        self.taken.lock().unwrap().works.clone()
    }
}

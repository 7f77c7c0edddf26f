//! Soak runs: seeded traffic and troubles, where each request is checked against the records of its client and of the
//! servers that it reached.

mod checker;
mod client;
mod rng;
pub mod runner;
mod scheduling_delay;
pub mod script;
mod server;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub use checker::{CheckSettings, ColdStart, Drain, Idempotency, Kill, RunRecord, check_run};
pub use client::{
    ClientBehaviour, ConnectionOutcome, DisconnectKind, RequestOutcome, RequestRecord,
};
pub use scheduling_delay::SchedulingDelay;
pub use script::Script;
pub use server::{AttemptRecord, ServerMode, SoakServer};

/// Clients that start at a constant rate until the traffic is stopped.
pub struct Traffic {
    ids: Arc<AtomicU64>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
    running: Arc<AtomicBool>,
    spawner: Option<JoinHandle<Vec<JoinHandle<()>>>>,
}

impl Traffic {
    /// Starts a client of `proxy` every `interval`. `behaviour` gives the behaviour of each client for its number.
    pub fn start(
        proxy: SocketAddr,
        interval: Duration,
        seed: u64,
        behaviour: impl Fn(u64) -> ClientBehaviour + Send + 'static,
    ) -> Self {
        let ids = Arc::new(AtomicU64::new(0));
        let records: Arc<Mutex<Vec<RequestRecord>>> = Arc::default();
        let running = Arc::new(AtomicBool::new(true));
        let (ids_clone, records_clone, running_clone) =
            (ids.clone(), records.clone(), running.clone());
        let spawner = thread::spawn(move || {
            let mut clients = Vec::new();
            let mut next_start = Instant::now();
            while running_clone.load(Ordering::Relaxed) {
                let number = ids_clone.fetch_add(1, Ordering::Relaxed);
                let behaviour = behaviour(number);
                let id = format!("{:08x}{number:08x}", seed as u32);
                let records = records_clone.clone();
                let client = thread::Builder::new().stack_size(128 << 10).spawn(move || {
                    let record = client::run_client(proxy, &id, &behaviour);
                    records.lock().unwrap().push(record);
                });
                clients.push(client.expect("no thread could be started"));
                next_start += interval;
                thread::sleep(next_start.saturating_duration_since(Instant::now()));
            }
            clients
        });
        Self {
            ids,
            records,
            running,
            spawner: Some(spawner),
        }
    }

    /// Starts no new clients from now on.
    pub fn stop(&self) {
        self.running.store(false, Ordering::Relaxed);
    }

    /// The number of clients started so far, each of which sends one request.
    pub fn request_count(&self) -> u64 {
        self.ids.load(Ordering::Relaxed)
    }

    /// Stops the traffic, and returns the records so far without waiting for clients that are still running.
    pub fn finish_without_waiting(mut self) -> Vec<RequestRecord> {
        self.stop();
        if let Some(spawner) = self.spawner.take() {
            drop(spawner.join().unwrap());
        }
        std::mem::take(&mut *self.records.lock().unwrap())
    }

    /// Stops the traffic, waits for the last client, and returns all records.
    pub fn finish(mut self) -> Vec<RequestRecord> {
        self.stop();
        for client in self
            .spawner
            .take()
            .into_iter()
            .flat_map(|spawner| spawner.join().unwrap())
        {
            client.join().unwrap();
        }
        std::mem::take(&mut *self.records.lock().unwrap())
    }
}

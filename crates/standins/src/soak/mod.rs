//! Traffic whose every request is judged, by its client and by the servers that it reached.

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

/// Clients that come at a steady rate until they are stopped.
pub struct Traffic {
    ids: Arc<AtomicU64>,
    accounts: Arc<Mutex<Vec<RequestRecord>>>,
    running: Arc<AtomicBool>,
    source: Option<JoinHandle<Vec<JoinHandle<()>>>>,
}

impl Traffic {
    /// The clients' behaviour is asked for anew for each of them, by its number.
    pub fn start(
        proxy: SocketAddr,
        each: Duration,
        seed: u64,
        behaviour: impl Fn(u64) -> ClientBehaviour + Send + 'static,
    ) -> Self {
        let ids = Arc::new(AtomicU64::new(0));
        let accounts: Arc<Mutex<Vec<RequestRecord>>> = Arc::default();
        let running = Arc::new(AtomicBool::new(true));
        let (own_ids, own_accounts, own_running) = (ids.clone(), accounts.clone(), running.clone());
        let source = thread::spawn(move || {
            let mut clients = Vec::new();
            let mut next = Instant::now();
            while own_running.load(Ordering::Relaxed) {
                let number = own_ids.fetch_add(1, Ordering::Relaxed);
                let behaviour = behaviour(number);
                let id = format!("{:08x}{number:08x}", seed as u32);
                let accounts = own_accounts.clone();
                let client = thread::Builder::new().stack_size(128 << 10).spawn(move || {
                    let account = client::run_client(proxy, &id, &behaviour);
                    accounts.lock().unwrap().push(account);
                });
                clients.push(client.expect("a thread"));
                next += each;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            clients
        });
        Self {
            ids,
            accounts,
            running,
            source: Some(source),
        }
    }

    /// No new clients from now on.
    pub fn stop(&self) {
        self.running.store(false, Ordering::Relaxed);
    }

    pub fn request_count(&self) -> u64 {
        self.ids.load(Ordering::Relaxed)
    }

    /// The accounts so far; clients that still talk are left to themselves.
    pub fn finish_without_waiting(mut self) -> Vec<RequestRecord> {
        self.stop();
        if let Some(source) = self.source.take() {
            drop(source.join().unwrap());
        }
        std::mem::take(&mut *self.accounts.lock().unwrap())
    }

    /// All accounts, once the last client has ended.
    pub fn finish(mut self) -> Vec<RequestRecord> {
        self.stop();
        for client in self
            .source
            .take()
            .into_iter()
            .flat_map(|source| source.join().unwrap())
        {
            client.join().unwrap();
        }
        std::mem::take(&mut *self.accounts.lock().unwrap())
    }
}

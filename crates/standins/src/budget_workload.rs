//! Load on a fleet's budgets: workers that acquire units at its members and release them, with statistics.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet_harness::FleetHarness;

/// Statistics of all workers.
#[derive(Default)]
pub struct WorkloadStats {
    /// Units in use by member and token.
    pub held_units: BTreeMap<usize, BTreeSet<u64>>,
    /// The highest number of units in use at a time.
    pub max_in_use: usize,
    /// For each unit of a rate, the times of the request and of its answer: the unit was used in between.
    pub rate_uses: Vec<(Instant, Instant)>,
    pub refused: u64,
    /// Requests for a unit without an answer in time; the unit may have been acquired nevertheless.
    pub unanswered: u64,
    /// Releases of a unit that were answered with a status other than 200.
    pub failed_releases: u64,
}

impl WorkloadStats {
    /// The number of units in use at all members.
    pub fn units_in_use(&self) -> usize {
        self.held_units.values().map(BTreeSet::len).sum()
    }

    /// Records that the unit of `token` was acquired at member `at`.
    pub fn record_acquired(&mut self, at: usize, token: u64) {
        self.held_units.entry(at).or_default().insert(token);
        self.max_in_use = self.max_in_use.max(self.units_in_use());
    }

    /// The highest number of uses of a rate that certainly fell within one window.
    pub fn max_uses_within(&self, window: Duration) -> usize {
        let mut uses = self.rate_uses.clone();
        uses.sort();
        let within = |from: Instant| {
            uses.iter()
                .filter(|(requested, answered)| *requested >= from && *answered <= from + window)
                .count()
        };
        uses.iter()
            .map(|(requested, _)| within(*requested))
            .max()
            .unwrap_or(0)
    }
}

/// The load that the workers generate.
#[derive(Clone, Debug)]
pub struct WorkloadSpec {
    /// Workers of each member; [`BudgetWorkload::set_active_workers`] sets how many of them are active.
    pub workers_per_member: u32,
    /// Name of a held budget, and how long each of its units is held.
    pub held_budget: String,
    pub hold_time: Duration,
    /// All workers of a member except the first request the next unit while they hold one, so as to use up the budget.
    pub greedy: bool,
    /// Name of a rate budget, of which a worker acquires a unit after each unit of the held budget.
    pub rate_budget: Option<String>,
}

/// A running load.
pub struct BudgetWorkload {
    pub stats: Arc<Mutex<WorkloadStats>>,
    /// The number of active workers of each member.
    active_workers: Arc<Vec<AtomicU32>>,
    stopping: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// Sends a line to a management address; returns the answer, or none without an answer in time.
pub(crate) fn call_management(at: SocketAddr, line: &str) -> Option<String> {
    let send = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(1200)))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.trim_end().to_string())
    };
    send().ok()
}

static NEXT_TOKEN: AtomicU64 = AtomicU64::new(1);

#[derive(Clone)]
struct Worker {
    at: usize,
    greedy: bool,
    addr: SocketAddr,
    spec: WorkloadSpec,
    stats: Arc<Mutex<WorkloadStats>>,
    stopping: Arc<AtomicBool>,
}

impl Worker {
    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    fn acquire_unit(&self, budget: &str, token: u64) -> bool {
        // A lease of 10 minutes, longer than any test: no unit expires.
        let line = format!("FLEET TAKE {budget} {token} 600000");
        let answer = call_management(self.addr, &line);
        if answer.is_none() {
            self.stats.lock().unwrap().unanswered += 1;
        }
        answer.as_deref() == Some("200 taken")
    }

    /// Acquires a unit of the held budget, holds it and releases it. A greedy worker does the latter two in a thread,
    /// whose handle is returned.
    fn acquire_and_hold(&self, token: u64) -> Option<thread::JoinHandle<()>> {
        if !self.acquire_unit(&self.spec.held_budget, token) {
            self.stats.lock().unwrap().refused += 1;
            return None;
        }
        self.stats.lock().unwrap().record_acquired(self.at, token);
        if !self.greedy {
            self.hold_and_release(token);
            return None;
        }
        let worker = self.clone();
        Some(thread::spawn(move || worker.hold_and_release(token)))
    }

    /// Holds a unit for `hold_time`, then releases it, with retries while no answer arrives.
    fn hold_and_release(&self, token: u64) {
        thread::sleep(self.spec.hold_time);
        let mut stats = self.stats.lock().unwrap();
        let was_held = stats
            .held_units
            .get_mut(&self.at)
            .is_some_and(|tokens| tokens.remove(&token));
        drop(stats);
        // A member that was killed needs no release. A stopped member receives it once it continues.
        let line = format!("FLEET GIVE {} {token}", self.spec.held_budget);
        while was_held && !self.is_stopping() {
            let answer = call_management(self.addr, &line);
            if let Some(answer) = &answer
                && !answer.starts_with("200 ")
            {
                self.stats.lock().unwrap().failed_releases += 1;
            }
            if answer.is_some() {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Acquires a unit of the held budget, and one of the rate budget if there is one.
    fn run_once(&self, pending_releases: &mut Vec<thread::JoinHandle<()>>) {
        let token = NEXT_TOKEN.fetch_add(1, Ordering::Relaxed);
        pending_releases.extend(self.acquire_and_hold(token));
        pending_releases.retain(|release| !release.is_finished());
        let requested = Instant::now();
        if let Some(rate) = &self.spec.rate_budget
            && self.acquire_unit(rate, token)
        {
            self.stats
                .lock()
                .unwrap()
                .rate_uses
                .push((requested, Instant::now()));
        }
    }
}

impl BudgetWorkload {
    /// Starts the workers of all members, all of them inactive.
    pub fn start(members: &FleetHarness, spec: &WorkloadSpec) -> Self {
        let stats = Arc::new(Mutex::new(WorkloadStats::default()));
        let active_workers = (0..members.member_count()).map(|_| AtomicU32::new(0));
        let active_workers: Arc<Vec<AtomicU32>> = Arc::new(active_workers.collect());
        let stopping = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for at in 0..members.member_count() {
            for number in 0..spec.workers_per_member {
                let worker = Worker {
                    at,
                    greedy: spec.greedy && number > 0,
                    addr: members.management_addr(at),
                    spec: spec.clone(),
                    stats: stats.clone(),
                    stopping: stopping.clone(),
                };
                let active_workers = active_workers.clone();
                threads.push(thread::spawn(move || {
                    let mut pending_releases = Vec::new();
                    while !worker.is_stopping() {
                        match number < active_workers[at].load(Ordering::Relaxed) {
                            true => worker.run_once(&mut pending_releases),
                            false => thread::sleep(Duration::from_millis(5)),
                        }
                    }
                    pending_releases
                        .into_iter()
                        .for_each(|release| release.join().unwrap());
                }));
            }
        }
        Self {
            stats,
            active_workers,
            stopping,
            threads,
        }
    }

    /// Sets how many workers of member `at` are active.
    pub fn set_active_workers(&self, at: usize, count: u32) {
        self.active_workers[at].store(count, Ordering::Relaxed);
    }

    /// The mean number of units of the held budget in use over `span`.
    pub fn mean_units_in_use(&self, span: Duration) -> f64 {
        let (started, mut sum, mut count) = (Instant::now(), 0, 0u32);
        while started.elapsed() < span {
            sum += self.stats.lock().unwrap().units_in_use();
            count += 1;
            thread::sleep(Duration::from_millis(2));
        }
        sum as f64 / f64::from(count)
    }

    /// Waits for the workers to end, and returns the statistics.
    pub fn stop(self) -> WorkloadStats {
        self.stopping.store(true, Ordering::Relaxed);
        self.threads
            .into_iter()
            .for_each(|thread| thread.join().unwrap());
        Arc::try_unwrap(self.stats)
            .ok()
            .expect("a worker still holds the statistics")
            .into_inner()
            .unwrap()
    }
}

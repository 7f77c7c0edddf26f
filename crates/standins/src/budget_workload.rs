//! Programs that take units of a fleet's budgets at its members and give them back, with books of what they saw.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet_harness::FleetHarness;

/// What callers saw.
#[derive(Default)]
pub struct WorkloadStats {
    /// Units in use by member and token.
    pub held_units: BTreeMap<usize, BTreeSet<u64>>,
    pub max_in_use: usize,
    /// When a unit of a rate was asked for, and when the answer had come: it was used in between.
    pub rate_uses: Vec<(Instant, Instant)>,
    pub refused: u64,
    /// Calls for a unit that had no answer in time: it may have been taken all the same.
    pub unanswered: u64,
    /// Calls to give a unit back that were answered with something else than that it was.
    pub failed_releases: u64,
}

impl WorkloadStats {
    pub fn units_in_use(&self) -> usize {
        self.held_units.values().map(BTreeSet::len).sum()
    }

    pub fn record_acquired(&mut self, at: usize, token: u64) {
        self.held_units.entry(at).or_default().insert(token);
        self.max_in_use = self.max_in_use.max(self.units_in_use());
    }

    /// The most uses of a rate that surely were within one window.
    pub fn max_uses_within(&self, window: Duration) -> usize {
        let mut used = self.rate_uses.clone();
        used.sort();
        let within = |from: Instant| {
            used.iter()
                .filter(|(asked, told)| *asked >= from && *told <= from + window)
                .count()
        };
        used.iter()
            .map(|(asked, _)| within(*asked))
            .max()
            .unwrap_or(0)
    }
}

/// What they take.
#[derive(Clone, Debug)]
pub struct WorkloadSpec {
    /// Callers of each member at the most.
    pub workers_per_member: u32,
    /// A held budget, and how long each of its units is held.
    pub held_budget: String,
    pub hold_time: Duration,
    /// All but the first of a member ask for the next unit while they hold one: they want whatever there is.
    pub greedy: bool,
    /// A rate, of which each takes a unit after every held one.
    pub rate_budget: Option<String>,
}

pub struct BudgetWorkload {
    pub stats: Arc<Mutex<WorkloadStats>>,
    /// Callers that press each member.
    press: Arc<Vec<AtomicU32>>,
    over: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// The answer to a call of operators, if one comes in time.
pub(crate) fn call_management(at: SocketAddr, line: &str) -> Option<String> {
    let call = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(1200)))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.trim_end().to_string())
    };
    call().ok()
}

static TOKEN: AtomicU64 = AtomicU64::new(1);

#[derive(Clone)]
struct Caller {
    at: usize,
    greedy: bool,
    addr: SocketAddr,
    wants: WorkloadSpec,
    books: Arc<Mutex<WorkloadStats>>,
    over: Arc<AtomicBool>,
}

impl Caller {
    fn ends(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn take(&self, budget: &str, token: u64) -> bool {
        // Longer than any test: nothing comes back by itself.
        let line = format!("FLEET TAKE {budget} {token} 600000");
        let answer = call_management(self.addr, &line);
        if answer.is_none() {
            self.books.lock().unwrap().unanswered += 1;
        }
        answer.as_deref() == Some("200 taken")
    }

    /// One unit taken, held and given back; where that goes on behind, what to wait for in the end.
    fn hold(&self, token: u64) -> Option<thread::JoinHandle<()>> {
        if !self.take(&self.wants.held_budget, token) {
            self.books.lock().unwrap().refused += 1;
            return None;
        }
        self.books.lock().unwrap().record_acquired(self.at, token);
        if !self.greedy {
            self.give(token);
            return None;
        }
        let own = self.clone();
        Some(thread::spawn(move || own.give(token)))
    }

    fn give(&self, token: u64) {
        thread::sleep(self.wants.hold_time);
        let mut books = self.books.lock().unwrap();
        let there = books
            .held_units
            .get_mut(&self.at)
            .is_some_and(|of| of.remove(&token));
        drop(books);
        // Whoever was killed needs no unit back; one that is stopped gets it when it goes on.
        let line = format!("FLEET GIVE {} {token}", self.wants.held_budget);
        while there && !self.ends() {
            let answer = call_management(self.addr, &line);
            if let Some(answer) = &answer
                && !answer.starts_with("200 ")
            {
                self.books.lock().unwrap().failed_releases += 1;
            }
            if answer.is_some() {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn turn(&self, holds: &mut Vec<thread::JoinHandle<()>>) {
        let token = TOKEN.fetch_add(1, Ordering::Relaxed);
        holds.extend(self.hold(token));
        holds.retain(|hold| !hold.is_finished());
        let asked = Instant::now();
        if let Some(rate) = &self.wants.rate_budget
            && self.take(rate, token)
        {
            self.books
                .lock()
                .unwrap()
                .rate_uses
                .push((asked, Instant::now()));
        }
    }
}

impl BudgetWorkload {
    /// Callers at each member; none presses until it is told to.
    pub fn start(members: &FleetHarness, wants: &WorkloadSpec) -> Self {
        let stats = Arc::new(Mutex::new(WorkloadStats::default()));
        let press = (0..members.member_count()).map(|_| AtomicU32::new(0));
        let press: Arc<Vec<AtomicU32>> = Arc::new(press.collect());
        let over = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for at in 0..members.member_count() {
            for number in 0..wants.workers_per_member {
                let caller = Caller {
                    at,
                    greedy: wants.greedy && number > 0,
                    addr: members.management_addr(at),
                    wants: wants.clone(),
                    books: stats.clone(),
                    over: over.clone(),
                };
                let press = press.clone();
                threads.push(thread::spawn(move || {
                    let mut holds = Vec::new();
                    while !caller.ends() {
                        match number < press[at].load(Ordering::Relaxed) {
                            true => caller.turn(&mut holds),
                            false => thread::sleep(Duration::from_millis(5)),
                        }
                    }
                    holds.into_iter().for_each(|hold| hold.join().unwrap());
                }));
            }
        }
        Self {
            stats,
            press,
            over,
            threads,
        }
    }

    pub fn set_active_workers(&self, at: usize, callers: u32) {
        self.press[at].store(callers, Ordering::Relaxed);
    }

    /// The mean use of the held budget over a time.
    pub fn mean_units_in_use(&self, span: Duration) -> f64 {
        let (begun, mut sum, mut count) = (Instant::now(), 0, 0u32);
        while begun.elapsed() < span {
            sum += self.stats.lock().unwrap().units_in_use();
            count += 1;
            thread::sleep(Duration::from_millis(2));
        }
        sum as f64 / f64::from(count)
    }

    pub fn stop(self) -> WorkloadStats {
        self.over.store(true, Ordering::Relaxed);
        self.threads
            .into_iter()
            .for_each(|thread| thread.join().unwrap());
        Arc::try_unwrap(self.stats)
            .ok()
            .expect("all callers have ended")
            .into_inner()
            .unwrap()
    }
}

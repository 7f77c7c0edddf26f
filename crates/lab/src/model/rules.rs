//! The four rules and the wholes of budgets, checked by books of their own: nothing here asks a policy or a server's model what
//! it believes.

use std::collections::{BTreeMap, HashMap, VecDeque};

use violetwind_balancer::api::{Idempotency, QuotaKind};

use crate::scenario::Budget;

/// A limit is 50 ms longer than the rule says: what was on its way then may still come.
const SLACK: f64 = 0.05;
/// Nothing new reaches a server this long after its drain was told.
const DRAIN: f64 = 0.3;
/// A cold server is pushed over when it is asked for so many times what it can do for so long.
const FALL_MULTIPLE: f64 = 3.0;
const FALL_FOR: f64 = 1.5;
/// Breaches that are kept; the others are counted.
const KEPT: usize = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// No final answer in time, or more than one.
    Lost,
    /// An effect twice.
    Twice,
    /// A drained server was sent something new.
    Drain,
    /// A cold server was pushed over.
    Cold,
    /// More was used within a window than the whole of a budget.
    Budget,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: Rule,
    pub at: f64,
    pub what: String,
}

#[derive(Debug)]
struct Request {
    deadline: f64,
    answers: u32,
    effects: u32,
    effect: Idempotency,
}

#[derive(Debug, Default)]
pub struct RuleChecker {
    requests: HashMap<u64, Request>,
    /// When each proxy was told that a server drains.
    drains: HashMap<(usize, u32), f64>,
    /// Since when a cold server has been asked for too much.
    over: HashMap<u32, f64>,
    /// Wholes and windows, and when some of each was used: at cold servers, at each.
    wholes: Vec<(QuotaKind, usize, f64)>,
    used: BTreeMap<(QuotaKind, Option<u32>), VecDeque<f64>>,
    pub breaches: Vec<Breach>,
    pub breach_count: usize,
}

impl RuleChecker {
    pub fn new(budgets: &[Budget]) -> Self {
        let kept = budgets
            .iter()
            .filter(|b| b.divided_by_need || b.quota_kind != QuotaKind::Cold);
        let wholes = kept.map(|b| (b.quota_kind, b.total as usize, b.window));
        Self {
            wholes: wholes.collect(),
            ..Self::default()
        }
    }

    /// One more of what a budget may be of was used, at a server where each has its own count.
    pub fn record_use(&mut self, now: f64, matter: QuotaKind, server: Option<u32>) {
        let of = self.wholes.iter().find(|(of, ..)| *of == matter);
        let Some((_, whole, window)) = of.copied() else {
            return;
        };
        let used = self.used.entry((matter, server)).or_default();
        used.push_back(now);
        while used.front().is_some_and(|at| *at <= now - window) {
            used.pop_front();
        }
        let count = used.len();
        if count > whole {
            let what = format!("{matter:?} at {server:?}: {count} of {whole} in a window");
            self.breach(Rule::Budget, now, what);
        }
    }

    fn breach(&mut self, rule: Rule, at: f64, what: String) {
        self.breach_count += 1;
        if self.breaches.len() < KEPT {
            self.breaches.push(Breach { rule, at, what });
        }
    }

    pub fn record_request(&mut self, id: u64, deadline: f64, effect: Idempotency) {
        let request = Request {
            deadline,
            answers: 0,
            effects: 0,
            effect,
        };
        self.requests.insert(id, request);
    }

    pub fn record_answer(&mut self, now: f64, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return self.breach(
                Rule::Lost,
                now,
                format!("request {id}: an answer to nobody"),
            );
        };
        request.answers += 1;
        let (answers, late) = (request.answers, now - request.deadline);
        if answers > 1 {
            self.breach(
                Rule::Lost,
                now,
                format!("request {id}: {answers} final answers"),
            );
        } else if late > SLACK {
            self.breach(
                Rule::Lost,
                now,
                format!("request {id}: answered {late:.2} s late"),
            );
        }
    }

    /// The client gave up itself, or its proxy is gone: nothing is owed.
    pub fn excuse_request(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.answers = request.answers.max(1);
        }
    }

    /// A server did what was asked.
    pub fn record_execution(&mut self, now: f64, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.effects += 1;
        let twice = request.effects > 1 && request.effect == Idempotency::Unsafe;
        if twice {
            self.breach(Rule::Twice, now, format!("request {id}: ran twice"));
        }
    }

    pub fn record_drain_notice(&mut self, now: f64, proxy: usize, server: u32, drains: bool) {
        match drains {
            true => drop(self.drains.entry((proxy, server)).or_insert(now)),
            false => drop(self.drains.remove(&(proxy, server))),
        }
    }

    /// Whether a proxy has been told that a server drains.
    pub fn knows_drain(&self, proxy: usize, server: u32) -> bool {
        self.drains.contains_key(&(proxy, server))
    }

    /// A proxy that starts anew has been told nothing.
    pub fn forget_proxy_drains(&mut self, proxy: usize) {
        self.drains.retain(|(of, _), _| *of != proxy);
    }

    pub fn record_send(&mut self, now: f64, proxy: usize, server: u32) {
        if let Some(told) = self.drains.get(&(proxy, server))
            && now > told + DRAIN + SLACK
        {
            let late = now - told;
            let what =
                format!("proxy {proxy} sends to server {server} {late:.2} s after its drain");
            self.breach(Rule::Drain, now, what);
        }
    }

    /// What a server is asked for over what it can do now, while it is cold.
    pub fn record_cold_load(&mut self, now: f64, server: u32, cold: bool, load: f64) {
        if !cold || load <= FALL_MULTIPLE {
            self.over.remove(&server);
            return;
        }
        let since = *self.over.entry(server).or_insert(now);
        if now > since + FALL_FOR + SLACK {
            // Once a fall.
            self.over.insert(server, f64::INFINITY);
            let what = format!("server {server}: asked for {load:.1} times what it can do");
            self.breach(Rule::Cold, now, what);
        }
    }

    /// The end of the run: what is due by then and has no answer.
    pub fn finish(&mut self, now: f64) {
        let due = |request: &Request| request.answers == 0 && request.deadline + SLACK < now;
        let mut lost: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| due(request))
            .map(|(id, _)| *id)
            .collect();
        lost.sort_unstable();
        for id in lost {
            self.breach(Rule::Lost, now, format!("request {id}: no final answer"));
        }
    }
}

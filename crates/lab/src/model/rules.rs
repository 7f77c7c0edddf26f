//! Checks of the four rules and of the fleet-wide budget totals. The checker keeps its own records and never reads the
//! state of a policy or of a server model.

use std::collections::{BTreeMap, HashMap, VecDeque};

use violetwind_balancer::api::{Idempotency, QuotaKind};

use crate::scenario::Budget;

/// Each deadline is extended by 50 ms, because messages that were in flight then may still arrive.
const GRACE: f64 = 0.05;
/// Time in seconds after a drain notice from which a proxy must not send new attempts to the server.
const DRAIN_DEADLINE: f64 = 0.3;
/// A cold server counts as overloaded when its utilisation stays above this ratio for `COLD_OVERLOAD_SECONDS`.
const COLD_OVERLOAD_RATIO: f64 = 3.0;
const COLD_OVERLOAD_SECONDS: f64 = 1.5;
/// Number of breaches recorded in full; further ones are only counted.
const MAX_RECORDED_BREACHES: usize = 50;

/// Rules that no run may break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A request got no final answer in time, or more than one.
    Lost,
    /// A non-idempotent request was executed twice.
    Twice,
    /// A draining server was sent a new attempt.
    Drain,
    /// A cold server was overloaded.
    Cold,
    /// Usage within a window exceeded the total of a budget.
    Budget,
}

/// One breach of a rule, at `at` seconds of simulated time.
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
    executions: u32,
    idempotency: Idempotency,
}

/// Records requests, executions, drain notices and budget usage of a run, and reports breaches of the rules.
#[derive(Debug, Default)]
pub struct RuleChecker {
    requests: HashMap<u64, Request>,
    /// Time at which each proxy was notified that a server drains, by proxy and server.
    drain_notices: HashMap<(usize, u32), f64>,
    /// Time since which a cold server has been above `COLD_OVERLOAD_RATIO`.
    overloaded_since: HashMap<u32, f64>,
    /// Total and window in seconds of each budget.
    budget_totals: Vec<(QuotaKind, usize, f64)>,
    /// Times of the uses within the window, by budget; the budget of cold servers is counted per server.
    uses_in_window: BTreeMap<(QuotaKind, Option<u32>), VecDeque<f64>>,
    /// The first `MAX_RECORDED_BREACHES` breaches.
    pub breaches: Vec<Breach>,
    pub breach_count: usize,
}

impl RuleChecker {
    /// Creates a checker of the totals of `budgets`. The limit on cold servers is checked only if it is divided by
    /// need; otherwise each balancer divides it itself.
    pub fn new(budgets: &[Budget]) -> Self {
        let budgets = budgets
            .iter()
            .filter(|b| b.divided_by_need || b.quota_kind != QuotaKind::Cold);
        let budget_totals = budgets.map(|b| (b.quota_kind, b.total as usize, b.window));
        Self {
            budget_totals: budget_totals.collect(),
            ..Self::default()
        }
    }

    /// Records one use of a budget; `server` is given where the budget is counted per server.
    pub fn record_use(&mut self, now: f64, quota: QuotaKind, server: Option<u32>) {
        let budget = self
            .budget_totals
            .iter()
            .find(|(quota_kind, ..)| *quota_kind == quota);
        let Some((_, total, window)) = budget.copied() else {
            return;
        };
        let uses = self.uses_in_window.entry((quota, server)).or_default();
        uses.push_back(now);
        while uses.front().is_some_and(|at| *at <= now - window) {
            uses.pop_front();
        }
        let count = uses.len();
        if count > total {
            let what = format!("{quota:?} at {server:?}: {count} of {total} in a window");
            self.breach(Rule::Budget, now, what);
        }
    }

    fn breach(&mut self, rule: Rule, at: f64, what: String) {
        self.breach_count += 1;
        if self.breaches.len() < MAX_RECORDED_BREACHES {
            self.breaches.push(Breach { rule, at, what });
        }
    }

    /// Records a new request that is due to be answered by `deadline`.
    pub fn record_request(&mut self, id: u64, deadline: f64, idempotency: Idempotency) {
        let request = Request {
            deadline,
            answers: 0,
            executions: 0,
            idempotency,
        };
        self.requests.insert(id, request);
    }

    /// Records a final answer to a request; a second or late answer is a breach.
    pub fn record_answer(&mut self, now: f64, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return self.breach(
                Rule::Lost,
                now,
                format!("request {id}: an answer to nobody"),
            );
        };
        request.answers += 1;
        let (answers, delay) = (request.answers, now - request.deadline);
        if answers > 1 {
            self.breach(
                Rule::Lost,
                now,
                format!("request {id}: {answers} final answers"),
            );
        } else if delay > GRACE {
            self.breach(
                Rule::Lost,
                now,
                format!("request {id}: answered {delay:.2} s late"),
            );
        }
    }

    /// Marks a request as answered, because its client gave up or its proxy has ended.
    pub fn excuse_request(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.answers = request.answers.max(1);
        }
    }

    /// Records that a server executed a request.
    pub fn record_execution(&mut self, now: f64, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.executions += 1;
        let is_duplicate = request.executions > 1 && request.idempotency == Idempotency::Unsafe;
        if is_duplicate {
            self.breach(Rule::Twice, now, format!("request {id}: ran twice"));
        }
    }

    /// Records that a proxy was notified that a server drains, or no longer drains.
    pub fn record_drain_notice(&mut self, now: f64, proxy: usize, server: u32, is_draining: bool) {
        match is_draining {
            true => drop(self.drain_notices.entry((proxy, server)).or_insert(now)),
            false => drop(self.drain_notices.remove(&(proxy, server))),
        }
    }

    /// Whether a proxy has been notified that a server drains.
    pub fn knows_drain(&self, proxy: usize, server: u32) -> bool {
        self.drain_notices.contains_key(&(proxy, server))
    }

    /// Removes the drain notices of a proxy that restarts.
    pub fn forget_proxy_drains(&mut self, proxy: usize) {
        self.drain_notices
            .retain(|(notified, _), _| *notified != proxy);
    }

    /// Records an attempt; sending to a server too long after its drain notice is a breach.
    pub fn record_send(&mut self, now: f64, proxy: usize, server: u32) {
        if let Some(notified_at) = self.drain_notices.get(&(proxy, server))
            && now > notified_at + DRAIN_DEADLINE + GRACE
        {
            let delay = now - notified_at;
            let what =
                format!("proxy {proxy} sends to server {server} {delay:.2} s after its drain");
            self.breach(Rule::Drain, now, what);
        }
    }

    /// Records the utilisation `load` of a server. A cold server that stays overloaded is a breach.
    pub fn record_cold_load(&mut self, now: f64, server: u32, is_cold: bool, load: f64) {
        if !is_cold || load <= COLD_OVERLOAD_RATIO {
            self.overloaded_since.remove(&server);
            return;
        }
        let since = *self.overloaded_since.entry(server).or_insert(now);
        if now > since + COLD_OVERLOAD_SECONDS + GRACE {
            // Reports each overload once.
            self.overloaded_since.insert(server, f64::INFINITY);
            let what = format!("server {server}: asked for {load:.1} times what it can do");
            self.breach(Rule::Cold, now, what);
        }
    }

    /// Reports all requests that are overdue without an answer at the end of the run.
    pub fn finish(&mut self, now: f64) {
        let is_overdue = |request: &Request| request.answers == 0 && request.deadline + GRACE < now;
        let mut lost: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| is_overdue(request))
            .map(|(id, _)| *id)
            .collect();
        lost.sort_unstable();
        for id in lost {
            self.breach(Rule::Lost, now, format!("request {id}: no final answer"));
        }
    }
}

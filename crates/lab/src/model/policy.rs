//! What decides: the module, baselines that it is held against, and one that sees the true state.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use violetwind_balancer::Balancer;
use violetwind_balancer::api::*;

/// The true state of the servers, for the bound.
#[derive(Debug, Default)]
pub struct GroundTruth {
    /// The load over capacity at which a server serves most.
    pub optimal_utilisation: f64,
    /// Load over capacity, and the capacity; a server that takes nothing has no entry.
    pub servers: Vec<Option<(f64, f64)>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    Balancer,
    /// The module, whose moves are not carried out.
    NoMoves,
    Random,
    RoundRobin,
    LeastConnections,
    TwoChoices,
    /// Random, with a fault planted for tests of the lab itself: it goes on with what it had chosen for a
    /// while, whatever list comes.
    IgnoresUpdates,
    /// Sees the true state at no cost and without delay: an upper bound for placement.
    UpperBound,
}

impl PolicyKind {
    pub const NAMES: [(&'static str, Self); 8] = [
        ("module", Self::Balancer),
        ("no-moves", Self::NoMoves),
        ("random", Self::Random),
        ("round-robin", Self::RoundRobin),
        ("least-connections", Self::LeastConnections),
        ("two-choices", Self::TwoChoices),
        ("deaf", Self::IgnoresUpdates),
        ("bound", Self::UpperBound),
    ];

    pub fn name(self) -> &'static str {
        let named = Self::NAMES.iter().find(|(_, kind)| *kind == self);
        named.map_or("?", |(name, _)| name)
    }
}

/// One proxy's policy.
#[derive(Debug)]
pub enum Policy {
    Balancer(Box<Balancer>, bool),
    Baseline(Box<Baseline>),
}

impl Policy {
    pub fn new(kind: PolicyKind, settings: &Settings, seed: u64) -> Self {
        match kind {
            PolicyKind::Balancer | PolicyKind::NoMoves => {
                let moves = kind == PolicyKind::Balancer;
                Self::Balancer(Box::new(Balancer::new(settings.clone(), seed)), moves)
            }
            _ => Self::Baseline(Box::new(Baseline::new(kind, settings, seed))),
        }
    }

    /// What is used of budgets; baselines know none.
    pub fn quota_usage(&mut self, now: f64) -> Vec<QuotaUsage> {
        match self {
            Self::Balancer(balancer, _) => balancer.quota_usage(now),
            Self::Baseline(_) => Vec::new(),
        }
    }

    pub fn handle(&mut self, now: f64, event: Event, truth: &GroundTruth, out: &mut Vec<Action>) {
        match self {
            Self::Balancer(balancer, moves) => {
                balancer.handle_event(now, event, out);
                if !*moves {
                    out.retain(|action| !matches!(action, Action::Move(_)));
                }
            }
            Self::Baseline(baseline) => baseline.handle(now, event, truth, out),
        }
    }
}

#[derive(Debug)]
struct Waiting {
    request: Request,
    deadline: Seconds,
    tried: Vec<ServerId>,
    may_have_run: bool,
}

/// Placement alone, by one plain idea: no probes, no moves.
#[derive(Debug)]
pub struct Baseline {
    kind: PolicyKind,
    set: Settings,
    rng: Pcg64Mcg,
    /// Listed servers that are up, with own connections and attempts there.
    servers: BTreeMap<ServerId, (bool, usize)>,
    requests: BTreeMap<RequestId, Waiting>,
    on: BTreeMap<RequestId, ServerId>,
    /// The worth of each connection that is up, and its load.
    loads: BTreeMap<RequestId, (f64, f64)>,
    worths: BTreeMap<RequestId, f64>,
    next: usize,
}

/// How often the bound looks for connections to move, and how much fuller than where it fills servers to
/// a server has to be for that, and how much emptier the other.
const LOOK: Seconds = 0.25;
const OVER: f64 = 0.02;
const UNDER: f64 = 0.05;

impl Baseline {
    fn new(kind: PolicyKind, set: &Settings, seed: u64) -> Self {
        Self {
            kind,
            set: set.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            on: BTreeMap::new(),
            loads: BTreeMap::new(),
            worths: BTreeMap::new(),
            next: 0,
        }
    }

    fn handle(&mut self, now: Seconds, event: Event, truth: &GroundTruth, out: &mut Vec<Action>) {
        match event {
            Event::Servers(kind, entries) => {
                if matches!(kind, ListKind::Replace | ListKind::Restored) {
                    self.servers
                        .values_mut()
                        .for_each(|server| server.0 = false);
                }
                let deaf = self.kind == PolicyKind::IgnoresUpdates && kind == ListKind::Update;
                for entry in entries.into_iter().filter(|_| !deaf) {
                    let up = entry.status == Status::Up;
                    self.servers.entry(entry.server).or_default().0 = up;
                }
            }
            Event::Start if self.kind == PolicyKind::UpperBound => out.push(Action::Timer(LOOK, 0)),
            Event::Timer(_) => {
                self.relieve(truth, out);
                out.push(Action::Timer(LOOK, 0));
            }
            Event::Request(request) => {
                let waiting = Waiting {
                    deadline: now + request.client_timeout,
                    tried: Vec::new(),
                    may_have_run: false,
                    request,
                };
                let id = waiting.request.id;
                let worth = self.set.classes[waiting.request.class].worth;
                self.worths.insert(id, worth);
                self.requests.insert(id, waiting);
                self.place(now, id, truth, out);
            }
            Event::Open(request, server) => self.join(request.id, server),
            Event::Outcome(ended) => {
                self.leave(ended.id);
                if ended.is_final {
                    self.worths.remove(&ended.id);
                    self.requests.remove(&ended.id);
                } else if let Some(waiting) = self.requests.get_mut(&ended.id) {
                    waiting.may_have_run |= !ended.outcome.never_ran();
                    self.place(now, ended.id, truth, out);
                }
            }
            Event::LoadNote(id, load) => {
                if let Some(worth) = self.worths.get(&id) {
                    self.loads.insert(id, (*worth, load));
                }
            }
            Event::Begun(id, _) => drop(self.requests.remove(&id)),
            Event::Gone(id) => {
                self.leave(id);
                self.worths.remove(&id);
                self.requests.remove(&id);
            }
            _ => {}
        }
    }

    fn join(&mut self, id: RequestId, server: ServerId) {
        self.on.insert(id, server);
        self.servers.entry(server).or_default().1 += 1;
    }

    fn leave(&mut self, id: RequestId) {
        self.loads.remove(&id);
        if let Some(server) = self.on.remove(&id)
            && let Some(entry) = self.servers.get_mut(&server)
        {
            entry.1 -= 1;
        }
    }

    fn place(&mut self, now: Seconds, id: RequestId, truth: &GroundTruth, out: &mut Vec<Action>) {
        let Some(waiting) = self.requests.get(&id) else {
            return;
        };
        let left = waiting.deadline - now;
        let safe = self.set.classes[waiting.request.class].idempotency == Idempotency::Safe;
        let again = !waiting.may_have_run || safe;
        let to = match left > 0.0 && waiting.tried.len() < self.set.max_attempts && again {
            true => self.choose(id, truth),
            false => None,
        };
        match to {
            Some(to) => {
                let aim = self.set.classes[self.requests[&id].request.class].setup_target;
                self.join(id, to);
                if let Some(waiting) = self.requests.get_mut(&id) {
                    waiting.tried.push(to);
                }
                out.push(Action::Send(id, to, left.min(aim.max(left / 2.0)), None));
            }
            None => {
                self.worths.remove(&id);
                self.requests.remove(&id);
                let wait = self.set.max_retry_after * self.rng.random_range(0.5..1.0);
                out.push(match again {
                    true => Action::Refuse(id, self.set.may_retry_after.then_some(wait)),
                    false => Action::Fail(id),
                });
            }
        }
    }

    /// The bound's moves: off each server that is too full the connection that is worth least for its
    /// load, while another has room for it, or where there is more than any order of work can serve.
    fn relieve(&mut self, truth: &GroundTruth, out: &mut Vec<Action>) {
        let known = truth.servers.iter().flatten().map(|server| server.0);
        let lowest = known.fold(f64::INFINITY, f64::min);
        let room = lowest < truth.optimal_utilisation - UNDER;
        let mut least: BTreeMap<ServerId, (f64, RequestId)> = BTreeMap::new();
        for (&id, &server) in &self.on {
            let figure = truth.servers.get(server as usize).copied().flatten();
            let Some((figure, _)) = figure.filter(|f| f.0 > truth.optimal_utilisation + OVER)
            else {
                continue;
            };
            let Some(&(worth, load)) = self.loads.get(&id) else {
                continue;
            };
            let each = worth / load.max(1e-9);
            if (room || figure > 1.0) && least.get(&server).is_none_or(|(least, _)| each < *least) {
                least.insert(server, (each, id));
            }
        }
        out.extend(least.into_values().map(|(_, id)| Action::Move(id)));
    }

    fn choose(&mut self, id: RequestId, truth: &GroundTruth) -> Option<ServerId> {
        let tried = &self.requests[&id].tried;
        let free = |(id, server): &(&ServerId, &(bool, usize))| server.0 && !tried.contains(id);
        let open = self.servers.iter().filter(free);
        let open: Vec<(ServerId, usize)> = open.map(|(id, server)| (*id, server.1)).collect();
        if open.is_empty() {
            return None;
        }
        let mut any = || open[self.rng.random_range(0..open.len())];
        Some(match self.kind {
            PolicyKind::RoundRobin => {
                self.next += 1;
                open[self.next % open.len()].0
            }
            PolicyKind::LeastConnections => open.iter().min_by_key(|(_, own)| *own)?.0,
            PolicyKind::TwoChoices => {
                let (one, two) = (any(), any());
                if one.1 <= two.1 { one.0 } else { two.0 }
            }
            PolicyKind::UpperBound => {
                let figure = |id: ServerId| truth.servers.get(id as usize).copied().flatten();
                let known = open
                    .iter()
                    .filter_map(|(id, _)| Some((*id, figure(*id)?.0)));
                let best = known.min_by(|a, b| a.1.total_cmp(&b.1))?;
                return (best.1 < truth.optimal_utilisation).then_some(best.0);
            }
            _ => any().0,
        })
    }
}

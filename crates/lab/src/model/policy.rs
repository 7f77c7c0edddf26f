//! Placement policies: the balancer under test, the baselines it is compared with, and an upper bound that reads the
//! true state of the servers.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use violetwind_balancer::Balancer;
use violetwind_balancer::api::*;

/// True state of the servers, read by the upper bound only.
#[derive(Debug, Default)]
pub struct GroundTruth {
    /// Utilisation at which a server serves the most worth.
    pub optimal_utilisation: f64,
    /// Utilisation and capacity by server number; `None` for a server that accepts no connections.
    pub servers: Vec<Option<(f64, f64)>>,
}

/// Policies that a run can be simulated with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    Balancer,
    /// The balancer, with its moves discarded.
    NoMoves,
    Random,
    RoundRobin,
    LeastConnections,
    TwoChoices,
    /// Random placement with an injected fault that tests of the lab have to find: updates of the server list are
    /// ignored, so that drained or lost servers stay in use.
    IgnoresUpdates,
    /// Placement on the true state, without cost or delay: an upper bound for other policies.
    UpperBound,
}

impl PolicyKind {
    /// Names on the command line and in reports.
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

    /// Name of the policy in `NAMES`.
    pub fn name(self) -> &'static str {
        let named = Self::NAMES.iter().find(|(_, kind)| *kind == self);
        named.map_or("?", |(name, _)| name)
    }
}

/// Policy instance of one proxy. The flag of `Balancer` is whether its moves are carried out.
#[derive(Debug)]
pub enum Policy {
    Balancer(Box<Balancer>, bool),
    Baseline(Box<Baseline>),
}

impl Policy {
    /// Creates a policy of the given kind.
    pub fn new(kind: PolicyKind, settings: &Settings, seed: u64) -> Self {
        match kind {
            PolicyKind::Balancer | PolicyKind::NoMoves => {
                let carries_out_moves = kind == PolicyKind::Balancer;
                Self::Balancer(
                    Box::new(Balancer::new(settings.clone(), seed)),
                    carries_out_moves,
                )
            }
            _ => Self::Baseline(Box::new(Baseline::new(kind, settings, seed))),
        }
    }

    /// Usage of the budgets at `now`; empty for baselines, which have no budgets.
    pub fn quota_usage(&mut self, now: f64) -> Vec<QuotaUsage> {
        match self {
            Self::Balancer(balancer, _) => balancer.quota_usage(now),
            Self::Baseline(_) => Vec::new(),
        }
    }

    /// Handles `event` at `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: f64, event: Event, truth: &GroundTruth, out: &mut Vec<Action>) {
        match self {
            Self::Balancer(balancer, carries_out_moves) => {
                balancer.handle_event(now, event, out);
                if !*carries_out_moves {
                    out.retain(|action| !matches!(action, Action::Move(_)));
                }
            }
            Self::Baseline(baseline) => baseline.handle(now, event, truth, out),
        }
    }
}

#[derive(Debug)]
struct PendingRequest {
    request: Request,
    deadline: Seconds,
    tried: Vec<ServerId>,
    may_have_run: bool,
}

/// Simple placement rule without probes. Only the upper bound moves connections.
#[derive(Debug)]
pub struct Baseline {
    kind: PolicyKind,
    settings: Settings,
    rng: Pcg64Mcg,
    /// Listed servers: whether the server is up, and the number of this proxy's connections and attempts there.
    servers: BTreeMap<ServerId, (bool, usize)>,
    requests: BTreeMap<RequestId, PendingRequest>,
    server_by_request: BTreeMap<RequestId, ServerId>,
    /// Worth and load of each established connection.
    loads: BTreeMap<RequestId, (f64, f64)>,
    worths: BTreeMap<RequestId, f64>,
    next_index: usize,
}

/// Interval at which the upper bound looks for connections to move.
const REBALANCE_INTERVAL: Seconds = 0.25;
/// A server has to exceed the optimal utilisation by this much before the upper bound moves connections off it.
const OVERLOAD_MARGIN: f64 = 0.02;
/// Another server has to be below the optimal utilisation by this much to be a target.
const SPARE_MARGIN: f64 = 0.05;

impl Baseline {
    fn new(kind: PolicyKind, settings: &Settings, seed: u64) -> Self {
        Self {
            kind,
            settings: settings.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            server_by_request: BTreeMap::new(),
            loads: BTreeMap::new(),
            worths: BTreeMap::new(),
            next_index: 0,
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
                let is_ignored =
                    self.kind == PolicyKind::IgnoresUpdates && kind == ListKind::Update;
                for entry in entries.into_iter().filter(|_| !is_ignored) {
                    let is_up = entry.status == Status::Up;
                    self.servers.entry(entry.server).or_default().0 = is_up;
                }
            }
            Event::Start if self.kind == PolicyKind::UpperBound => {
                out.push(Action::Timer(REBALANCE_INTERVAL, 0))
            }
            Event::Timer(_) => {
                self.rebalance(truth, out);
                out.push(Action::Timer(REBALANCE_INTERVAL, 0));
            }
            Event::Request(request) => {
                let pending = PendingRequest {
                    deadline: now + request.client_timeout,
                    tried: Vec::new(),
                    may_have_run: false,
                    request,
                };
                let id = pending.request.id;
                let worth = self.settings.classes[pending.request.class].worth;
                self.worths.insert(id, worth);
                self.requests.insert(id, pending);
                self.place_request(now, id, truth, out);
            }
            Event::Open(request, server) => self.assign_server(request.id, server),
            Event::Outcome(ended) => {
                self.release_server(ended.id);
                if ended.is_final {
                    self.worths.remove(&ended.id);
                    self.requests.remove(&ended.id);
                } else if let Some(pending) = self.requests.get_mut(&ended.id) {
                    pending.may_have_run |= !ended.outcome.never_ran();
                    self.place_request(now, ended.id, truth, out);
                }
            }
            Event::LoadNote(id, load) => {
                if let Some(worth) = self.worths.get(&id) {
                    self.loads.insert(id, (*worth, load));
                }
            }
            Event::Begun(id, _) => drop(self.requests.remove(&id)),
            Event::Gone(id) => {
                self.release_server(id);
                self.worths.remove(&id);
                self.requests.remove(&id);
            }
            _ => {}
        }
    }

    /// Counts a connection or attempt of a request at a server.
    fn assign_server(&mut self, id: RequestId, server: ServerId) {
        self.server_by_request.insert(id, server);
        self.servers.entry(server).or_default().1 += 1;
    }

    /// Removes the connection or attempt of a request from its server.
    fn release_server(&mut self, id: RequestId) {
        self.loads.remove(&id);
        if let Some(server) = self.server_by_request.remove(&id)
            && let Some(entry) = self.servers.get_mut(&server)
        {
            entry.1 -= 1;
        }
    }

    /// Sends a request to a server that it has not tried yet, or refuses or fails it.
    fn place_request(
        &mut self,
        now: Seconds,
        id: RequestId,
        truth: &GroundTruth,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let remaining = pending.deadline - now;
        let is_idempotent =
            self.settings.classes[pending.request.class].idempotency == Idempotency::Safe;
        let may_retry = !pending.may_have_run || is_idempotent;
        let target = match remaining > 0.0
            && pending.tried.len() < self.settings.max_attempts
            && may_retry
        {
            true => self.choose_server(id, truth),
            false => None,
        };
        match target {
            Some(target) => {
                let setup_target =
                    self.settings.classes[self.requests[&id].request.class].setup_target;
                self.assign_server(id, target);
                if let Some(pending) = self.requests.get_mut(&id) {
                    pending.tried.push(target);
                }
                out.push(Action::Send(
                    id,
                    target,
                    remaining.min(setup_target.max(remaining / 2.0)),
                    None,
                ));
            }
            None => {
                self.worths.remove(&id);
                self.requests.remove(&id);
                let retry_after = self.settings.max_retry_after * self.rng.random_range(0.5..1.0);
                out.push(match may_retry {
                    true => {
                        Action::Refuse(id, self.settings.may_retry_after.then_some(retry_after))
                    }
                    false => Action::Fail(id),
                });
            }
        }
    }

    /// Moves of the upper bound: off each server above the optimal utilisation, moves the connection with the least
    /// worth per load, if another server has spare capacity or the server is loaded above its capacity.
    fn rebalance(&mut self, truth: &GroundTruth, out: &mut Vec<Action>) {
        let utilisations = truth.servers.iter().flatten().map(|server| server.0);
        let lowest = utilisations.fold(f64::INFINITY, f64::min);
        let has_spare_capacity = lowest < truth.optimal_utilisation - SPARE_MARGIN;
        let mut cheapest: BTreeMap<ServerId, (f64, RequestId)> = BTreeMap::new();
        for (&id, &server) in &self.server_by_request {
            let utilisation = truth.servers.get(server as usize).copied().flatten();
            let Some((utilisation, _)) =
                utilisation.filter(|entry| entry.0 > truth.optimal_utilisation + OVERLOAD_MARGIN)
            else {
                continue;
            };
            let Some(&(worth, load)) = self.loads.get(&id) else {
                continue;
            };
            let worth_per_load = worth / load.max(1e-9);
            if (has_spare_capacity || utilisation > 1.0)
                && cheapest
                    .get(&server)
                    .is_none_or(|(lowest_ratio, _)| worth_per_load < *lowest_ratio)
            {
                cheapest.insert(server, (worth_per_load, id));
            }
        }
        out.extend(cheapest.into_values().map(|(_, id)| Action::Move(id)));
    }

    fn choose_server(&mut self, id: RequestId, truth: &GroundTruth) -> Option<ServerId> {
        let tried = &self.requests[&id].tried;
        let is_eligible =
            |(id, server): &(&ServerId, &(bool, usize))| server.0 && !tried.contains(id);
        let candidates = self.servers.iter().filter(is_eligible);
        let candidates: Vec<(ServerId, usize)> =
            candidates.map(|(id, server)| (*id, server.1)).collect();
        if candidates.is_empty() {
            return None;
        }
        let mut pick_random = || candidates[self.rng.random_range(0..candidates.len())];
        Some(match self.kind {
            PolicyKind::RoundRobin => {
                self.next_index += 1;
                candidates[self.next_index % candidates.len()].0
            }
            PolicyKind::LeastConnections => {
                candidates
                    .iter()
                    .min_by_key(|(_, connections)| *connections)?
                    .0
            }
            PolicyKind::TwoChoices => {
                let (first, second) = (pick_random(), pick_random());
                if first.1 <= second.1 {
                    first.0
                } else {
                    second.0
                }
            }
            PolicyKind::UpperBound => {
                let utilisation = |id: ServerId| truth.servers.get(id as usize).copied().flatten();
                let rated = candidates
                    .iter()
                    .filter_map(|(id, _)| Some((*id, utilisation(*id)?.0)));
                let best = rated.min_by(|a, b| a.1.total_cmp(&b.1))?;
                return (best.1 < truth.optimal_utilisation).then_some(best.0);
            }
            _ => pick_random().0,
        })
    }
}

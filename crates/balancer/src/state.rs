//! What a balancer knows: servers, connections, and who holds what. Bookkeeping without decisions;
//! those are in `policy.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::api::*;
use crate::decay::DecayingSum;
use crate::quotas::Quotas;

/// Time constant of the usual load of a class, and of the own rate of requests.
const MEMORY: Seconds = 15.0;

/// What the servers of a kind, or all, tell of their size.
#[derive(Debug, Default)]
pub struct KindTotals {
    pub servers: f64,
    pub metric_times_load: f64,
    /// Figures, and connections where they are told beside the load.
    pub metric: f64,
    pub connections: f64,
    pub load_squared: f64,
    /// The listed size over the mean of all, or 1 where none is listed.
    pub relative_size: f64,
}

/// How long a balancer has only guesses of how much servers hold.
const YOUNG: Seconds = 4.0;

/// Loads told that are too few to know what is usual.
const FEW: f64 = 16.0;

/// Whoever counts a budget may see things come and go so much sooner or later.
const SLACK: Seconds = 0.05;

/// Requests that a budget counts at the most: more buy no further attempts.
const COUNTED: usize = 1 << 16;

/// So long a placement is kept that no report has ended.
const FORGOTTEN: Seconds = 20.0;

#[derive(Debug, Default)]
pub struct Server {
    /// The list's latest word on it.
    pub entry: Option<Entry>,
    /// The probed figure in the design's metric order, once heard.
    pub metric: Option<f64>,
    /// The connections it told beside its load.
    pub reported_connections: Option<f64>,
    /// Own placements that the figure may not hold yet, with the load each adds. Departures don't
    /// count: a server that has just dropped all its connections is not idle.
    pub pending_placements: Vec<(Seconds, f64)>,
    /// Own connections and attempts, their load, and how many of them are of each group.
    pub own_requests: BTreeSet<RequestId>,
    pub own_load: f64,
    pub group_counts: BTreeMap<u64, usize>,
    /// It answered neither a probe nor a connect since it last did.
    pub unresponsive: bool,
    pub errors: DecayingSum,
    /// When an own connection last met an answer later than is wanted, until one comes in time.
    pub last_slow_answer_at: Option<Seconds>,
    /// A cold server may get its next connection not before this, and so much of the time between two turns after
    /// so many of all balancers.
    pub next_placement_at: Seconds,
    pub turn_at_last_placement: f64,
    pub turn_offset: f64,
    /// When its present process was first told of.
    pub listed_at: Seconds,
    pub is_probed: bool,
    /// When a probe was last answered, and last sent for a request; whether one of a round is out.
    pub last_result_at: Option<Seconds>,
    pub last_on_demand_probe_at: Option<Seconds>,
    pub periodic_probe_pending: bool,
}

impl Server {
    /// Whether it may be given connections at all.
    pub fn is_available(&self) -> bool {
        let status = self.entry.as_ref().map(|entry| entry.status);
        matches!(status, Some(Status::Up | Status::Suspected))
    }

    /// Whether the list doubts that it is there.
    pub fn is_suspected(&self) -> bool {
        let status = self.entry.as_ref().map(|entry| entry.status);
        status == Some(Status::Suspected)
    }

    /// Counts a placement. Where no report ever ends the count, old ones are forgotten.
    pub fn add_pending_placement(&mut self, now: Seconds, load: f64) {
        self.pending_placements
            .retain(|(at, _)| *at > now - FORGOTTEN);
        self.pending_placements.push((now, load));
    }

    pub fn pending_load(&self) -> f64 {
        self.pending_placements.iter().map(|(_, load)| load).sum()
    }

    /// Whether a probe was answered, or sent for a request, since then.
    pub fn has_result_since(&self, then: Seconds) -> bool {
        self.last_result_at.is_some_and(|at| at >= then)
    }

    /// The probed figure, if it is no older.
    pub fn metric_since(&self, then: Seconds) -> Option<f64> {
        self.metric.filter(|_| self.has_result_since(then))
    }

    /// Whether own connections have met late answers since then.
    pub fn had_slow_answer_since(&self, then: Seconds) -> bool {
        self.last_slow_answer_at.is_some_and(|at| at >= then)
    }

    pub fn probed_on_demand_since(&self, then: Seconds) -> bool {
        self.last_on_demand_probe_at.is_some_and(|at| at >= then)
    }

    /// The part of the warm-up that is still to come; 0 for a warm server.
    pub fn remaining_warm_up(&self, now: Seconds, set: &Settings) -> f64 {
        let born = self.entry.as_ref().and_then(|entry| entry.born);
        let rest = born.map_or(0.0, |born| (born + set.cold_for - now) / set.cold_for);
        rest.clamp(0.0, 1.0)
    }

    /// The time from when it was listed, counted by the part of its capacity that it had.
    pub fn capacity_weighted_uptime(&self, now: Seconds, set: &Settings) -> Seconds {
        let now = now.max(self.listed_at);
        let lacked = |at| {
            (1.0 - set.cold_from) * set.cold_for / 2.0 * self.remaining_warm_up(at, set).powi(2)
        };
        now - self.listed_at + lacked(now) - lacked(self.listed_at)
    }

    /// Whether it is known to be in another zone than this.
    pub fn is_in_other_zone(&self, zone: Option<usize>) -> bool {
        let own = self.entry.as_ref().and_then(|entry| entry.zone);
        own.is_some() && own != zone
    }

    pub fn kind(&self) -> Option<usize> {
        self.entry.as_ref().and_then(|entry| entry.kind)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    Waiting,
    InFlight(ServerId),
    Open(ServerId),
}

#[derive(Debug)]
pub struct Connection {
    pub request: Request,
    pub deadline: Seconds,
    pub phase: Phase,
    pub sent_at: Seconds,
    /// The attempts so far: the next has this number.
    pub attempts: usize,
    /// The servers of those that count: of all but those that a shortage of this machine kept from being made.
    pub tried_servers: Vec<ServerId>,
    /// How many servers were asked for their figure for it.
    pub on_demand_probes: usize,
    /// The first attempt that may have run: where and when it was sent.
    pub first_possible_run: Option<(ServerId, Seconds)>,
    /// Its load in seconds of work a second: as last told, or else as usual for its class.
    pub load: f64,
    pub load_reported: bool,
}

#[derive(Debug)]
pub struct State {
    pub now: Seconds,
    pub servers: BTreeMap<ServerId, Server>,
    pub connections: BTreeMap<RequestId, Connection>,
    /// The load of own connections and attempts.
    load: f64,
    /// What one unit of load adds to the figure of a server of each kind, and of any (`None`): as
    /// is likely, and as is careful to assume.
    pub metric_per_load: BTreeMap<Option<usize>, [f64; 2]>,
    /// When sizes were last learned.
    learned_at: Option<Seconds>,
    /// How many servers' figures are known, and their mean.
    pub reporting_servers: usize,
    pub mean_metric: f64,
    /// The number of servers that are probed.
    pub probed_servers: usize,
    /// Requests that clients make for the first time lately, attempts, and when the first request came.
    new_requests: DecayingSum,
    attempts: DecayingSum,
    first_request: Option<Seconds>,
    /// When requests came, and when attempts beyond a request's first were made, as far as a budget asks.
    came: VecDeque<Seconds>,
    further: VecDeque<Seconds>,
    /// Parts of what all balancers share, and what is used of them.
    pub quotas: Quotas,
    /// When the balancer came to life.
    pub started_at: Option<Seconds>,
    /// When an attempt was last made, and how many were turned away since without one.
    sent_at: Option<Seconds>,
    turned_away: usize,
    /// When the first request came, if nothing was held then.
    began_empty: Option<Seconds>,
    /// Own connections and attempts of each class.
    pub class_counts: Vec<usize>,
    /// Own requests of each tenant.
    pub tenant_counts: Vec<usize>,
    /// Listed servers by key in an order common to all balancers, the own zone's and the others'.
    orders: BTreeMap<u64, [Vec<ServerId>; 2]>,
    /// Per class: loads told and their number.
    loads: Vec<(DecayingSum, DecayingSum)>,
}

impl State {
    pub fn new(set: &Settings, unit: [f64; 2]) -> Self {
        Self {
            now: 0.0,
            servers: BTreeMap::new(),
            connections: BTreeMap::new(),
            load: 0.0,
            metric_per_load: BTreeMap::from([(None, unit)]),
            learned_at: None,
            reporting_servers: 0,
            mean_metric: 0.0,
            probed_servers: 0,
            new_requests: DecayingSum::default(),
            attempts: DecayingSum::default(),
            first_request: None,
            came: VecDeque::new(),
            further: VecDeque::new(),
            quotas: Quotas::default(),
            started_at: None,
            sent_at: None,
            turned_away: 0,
            began_empty: None,
            class_counts: vec![0; set.classes.len()],
            tenant_counts: vec![0; set.tenants.len()],
            orders: BTreeMap::new(),
            loads: vec![Default::default(); set.classes.len()],
        }
    }

    /// Makes room for classes and tenants that are new.
    pub fn resize_counts(&mut self, set: &Settings) {
        let (classes, tenants) = (set.classes.len(), set.tenants.len());
        self.class_counts
            .resize(classes.max(self.class_counts.len()), 0);
        self.loads
            .resize(self.class_counts.len(), Default::default());
        self.tenant_counts
            .resize(tenants.max(self.tenant_counts.len()), 0);
    }

    /// A server's process is told of for the first time: so much of the time between two turns is to pass.
    pub fn reset_slow_start(&mut self, id: ServerId, phase: f64) {
        let now = self.now;
        self.update_server(id, |server| {
            (server.listed_at, server.next_placement_at) = (now, now);
            (server.turn_at_last_placement, server.turn_offset) = (0.0, phase);
        });
    }

    /// A placement is counted, and if the server is cold as a turn after so many of all; the next not before `gap`.
    pub fn record_placement(&mut self, id: ServerId, load: f64, turned: f64, gap: Seconds) {
        let now = self.now;
        self.update_server(id, |server| {
            server.add_pending_placement(now, load);
            (
                server.turn_at_last_placement,
                server.turn_offset,
                server.next_placement_at,
            ) = (turned, 1.0, now + gap);
        });
    }

    /// Changes a server, if it is known.
    pub fn update_server(&mut self, id: ServerId, change: impl FnOnce(&mut Server)) {
        self.servers.get_mut(&id).map(change);
    }

    /// A server that a whole list leaves out is gone.
    pub fn mark_unlisted_gone(&mut self, entries: &[Entry]) {
        let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
        let left_out = |(id, _): &(&ServerId, &mut Server)| !listed.contains(id);
        for (_, server) in self.servers.iter_mut().filter(left_out) {
            if let Some(entry) = &mut server.entry {
                entry.status = Status::Gone;
            }
        }
    }

    /// A balancer that held nothing when its first request came has only guesses, and its clients may
    /// all come at once, as after a restart: for a while it goes by the careful ones.
    pub fn metric_per_load_of(&self, server: &Server) -> f64 {
        let young = self.began_empty.is_some_and(|at| self.now < at + YOUNG);
        self.units_of(server)[usize::from(young)]
    }

    pub fn conservative_metric_per_load_of(&self, server: &Server) -> f64 {
        self.units_of(server)[1]
    }

    fn units_of(&self, server: &Server) -> [f64; 2] {
        let of_any = &self.metric_per_load[&None];
        *self.metric_per_load.get(&server.kind()).unwrap_or(of_any)
    }

    /// The key of the common order for a request: its group, or this balancer. It is made if need be.
    pub fn server_order_key(&mut self, id: RequestId, set: &Settings) -> u64 {
        let key = self.connections[&id].request.group.unwrap_or(set.me);
        if !self.orders.contains_key(&key) {
            self.make_order(key, set.zone);
        }
        key
    }

    fn make_order(&mut self, key: u64, zone: Option<usize>) {
        let mut order = [Vec::new(), Vec::new()];
        for (&id, server) in self.servers.iter().filter(|(_, s)| s.is_available()) {
            order[usize::from(server.is_in_other_zone(zone))].push(id);
        }
        for part in &mut order {
            part.sort_by_cached_key(|id| spread(key, *id));
        }
        self.orders.insert(key, order);
    }

    /// The first servers in the common order of a key, with their places in it.
    pub fn first_servers_in_order(
        &self,
        key: u64,
        first: usize,
    ) -> impl Iterator<Item = (usize, ServerId)> {
        let parts = self.orders.get(&key).into_iter().flatten();
        parts.flat_map(move |part| part.iter().copied().take(first).enumerate())
    }

    /// What is known of the order of servers no longer holds.
    pub fn clear_server_orders(&mut self) {
        self.orders.clear();
    }

    pub fn set_probed(&mut self, id: ServerId, probing: bool) {
        self.update_server(id, |server| server.is_probed = probing);
        self.probed_servers = if probing {
            self.probed_servers + 1
        } else {
            self.probed_servers - 1
        };
    }

    /// The servers that are not probed; most often there are none.
    pub fn unprobed_servers(&self) -> Vec<ServerId> {
        let unprobed = self.servers.iter().filter(|(_, server)| !server.is_probed);
        unprobed.map(|(id, _)| *id).collect()
    }

    /// A server is asked for its figure for a request.
    pub fn record_on_demand_probe(&mut self, server: ServerId, id: RequestId) {
        let now = self.now;
        self.update_server(server, |server| server.last_on_demand_probe_at = Some(now));
        if let Some(conn) = self.connections.get_mut(&id) {
            conn.on_demand_probes += 1;
        }
    }

    pub fn on_request(&mut self, request: Request, set: &Settings) -> RequestId {
        if self.first_request.is_none() {
            self.first_request = Some(self.now);
            self.began_empty = (self.active_connections() == 0).then_some(self.now);
        }
        if set.budget.is_some() {
            self.came.push_back(self.now);
            if self.came.len() > COUNTED {
                self.came.pop_front();
            }
        }
        if !request.again {
            self.new_requests.add(self.now, MEMORY, 1.0);
        }
        self.adopt(request)
    }

    pub fn on_open(&mut self, request: Request, server: ServerId) {
        let id = self.adopt(request);
        self.attach_to_server(id, server, Phase::Open(server));
    }

    /// A connection is up on its server, which is alive then.
    pub fn mark_open(&mut self, id: RequestId, on: ServerId) {
        self.quotas.mark_written(id, self.now);
        if let Some(conn) = self.connections.get_mut(&id) {
            conn.phase = Phase::Open(on);
            self.update_server(on, |server| server.unresponsive = false);
        }
    }

    /// Whether an attempt of a request that is held was still out when it ended so.
    pub fn end_attempt(&mut self, ended: &Ended) -> Option<bool> {
        let conn = self.connections.get_mut(&ended.id)?;
        let was_out = conn.phase == Phase::InFlight(ended.server);
        if was_out {
            match ended.outcome {
                Outcome::LocalFailure => self.quotas.release_units(ended.id),
                // No word came of its line, which may have been written, in part at least.
                _ => self.quotas.mark_written(ended.id, self.now),
            }
        }
        if was_out && !ended.outcome.never_ran() {
            conn.first_possible_run
                .get_or_insert((ended.server, conn.sent_at));
        }
        Some(was_out)
    }

    /// An attempt that is out is waited for no more: it may have run. Its number among the request's.
    pub fn abandon_attempt(&mut self, id: RequestId) -> Option<usize> {
        let conn = self.connections.get_mut(&id)?;
        let Phase::InFlight(server) = conn.phase else {
            return None;
        };
        conn.first_possible_run
            .get_or_insert((server, conn.sent_at));
        self.quotas.mark_written(id, self.now);
        Some(conn.attempts - 1)
    }

    /// How many attempts beyond a request's first the budget has room for now. The span ends now: what
    /// came just after its start counts for nothing, what was made just before it counts still.
    pub fn remaining_retry_budget(&mut self, budget: &Budget) -> f64 {
        let since = self.now - budget.span;
        while self.came.front().is_some_and(|at| *at <= since + SLACK) {
            self.came.pop_front();
        }
        while self.further.front().is_some_and(|at| *at < since - SLACK) {
            self.further.pop_front();
        }
        budget.free + budget.ratio * self.came.len() as f64 - self.further.len() as f64
    }

    /// The latest attempt of a request was never made: it counts for nothing.
    pub fn revert_attempt(&mut self, id: RequestId) {
        let Some(conn) = self.connections.get_mut(&id) else {
            return;
        };
        conn.tried_servers.pop();
        if !conn.tried_servers.is_empty()
            && let Some(at) = self.further.iter().rposition(|at| *at == conn.sent_at)
        {
            self.further.remove(at);
        }
    }

    /// An attempt is made; it is not its request's first.
    pub fn record_retry(&mut self, id: RequestId, set: &Settings) {
        if set.budget.is_some() {
            self.further.push_back(self.now);
        }
        self.quotas.reserve_unit(id, QuotaKind::Further, None);
    }

    /// The line of a request's attempt at a server was written by now: what counts lines counts from here on.
    pub fn on_written(&mut self, id: RequestId, to: ServerId) {
        let out = |conn: &Connection| conn.phase == Phase::InFlight(to);
        if !self.connections.get(&id).is_some_and(out) {
            return;
        }
        self.quotas.mark_written(id, self.now);
        if let Some(decided) = self.further_attempt(id) {
            self.further.remove(decided);
            self.further.push_back(self.now);
        }
    }

    /// Where the latest attempt of a request stands among those that a budget counts, if it is one of them.
    fn further_attempt(&self, id: RequestId) -> Option<usize> {
        let conn = self
            .connections
            .get(&id)
            .filter(|conn| conn.tried_servers.len() > 1)?;
        self.further.iter().rposition(|at| *at == conn.sent_at)
    }

    /// Whether something counts from the writing of the line of a request's latest attempt.
    pub fn awaits_write(&self, id: RequestId) -> bool {
        self.quotas.awaits_write(id) || self.further_attempt(id).is_some()
    }

    /// What is in use of a part.
    fn busy(&self, matter: QuotaKind) -> u64 {
        match matter {
            QuotaKind::Further | QuotaKind::Moves | QuotaKind::Probes | QuotaKind::Cold => {
                self.quotas.max_used(matter, self.now)
            }
            QuotaKind::Class(class) => self.class_counts.get(class).map_or(0, |held| *held as u64),
            QuotaKind::Tenant(tenant) => self
                .tenant_counts
                .get(tenant)
                .map_or(0, |held| *held as u64),
        }
    }

    /// Whether the part has room for one more; `own` of what is in use is this one's already.
    pub fn has_quota_left(&self, matter: QuotaKind, own: u64) -> bool {
        let units = self.quotas.allowed_units(matter, self.now);
        units.is_none_or(|units| self.busy(matter).saturating_sub(own) < units)
    }

    /// Likewise, and where it has none that is counted.
    pub fn check_quota(&mut self, matter: QuotaKind, own: u64) -> bool {
        let room = self.has_quota_left(matter, own);
        if !room {
            self.quotas.record_denial(matter);
        }
        room
    }

    /// Whether the part has room for one more at a cold server.
    pub fn has_cold_quota_left(&self, server: ServerId) -> bool {
        let units = self.quotas.allowed_units(QuotaKind::Cold, self.now);
        units.is_none_or(|units| {
            self.quotas
                .used_at_server(QuotaKind::Cold, server, self.now)
                < units
        })
    }

    /// So many connections all balancers give a cold server for each of this one's: as many as there are, or by its
    /// part of the whole.
    pub fn fleet_turns_per_own_turn(&self, set: &Settings) -> f64 {
        let units = self.quotas.allowed_units(QuotaKind::Cold, self.now);
        match units.zip(self.quotas.fleet_units(QuotaKind::Cold)) {
            Some((units, whole)) => (whole as f64 / units.max(1) as f64).max(1.0),
            None => set.fleet_size as f64,
        }
    }

    pub fn quota_usage(&mut self, now: Seconds) -> Vec<QuotaUsage> {
        self.now = now;
        let of = |(matter, denied)| QuotaUsage {
            quota: matter,
            in_use: self.busy(matter),
            denied,
        };
        self.quotas.denials().into_iter().map(of).collect()
    }

    /// Own attempts a second: what is refused loads no server.
    pub fn placement_rate(&self) -> f64 {
        self.attempts.value_at(self.now, MEMORY) / self.span()
    }

    /// Own requests a second, without what clients ask for again.
    pub fn new_request_rate(&self) -> f64 {
        self.new_requests.value_at(self.now, MEMORY) / self.span()
    }

    fn span(&self) -> Seconds {
        let heard_for = self.now - self.started_at.unwrap_or(self.now);
        // What has not come for long yet can't have faded; the first second tells little.
        MEMORY * (1.0 - (-heard_for.max(1.0) / MEMORY).exp())
    }

    /// Whether sizes were last learned so long ago; then they are now.
    pub fn start_learning_if_due(&mut self, span: Seconds) -> bool {
        let due = self.learned_at.is_none_or(|at| at + span <= self.now);
        if due {
            self.learned_at = Some(self.now);
        }
        due
    }

    /// Sums over sound servers with a figure, by kind and over all (`None`); their mean figure is kept.
    pub fn sum_metrics(
        &mut self,
        set: &Settings,
        span: Seconds,
    ) -> BTreeMap<Option<usize>, KindTotals> {
        let mut sums: BTreeMap<Option<usize>, KindTotals> = BTreeMap::new();
        let (mut figures, mut heard) = (0.0, 0.0);
        let by_load = set.report_fields.contains(&ReportField::Load);
        // A server cut off keeps its old figure while all own connections to it are lost.
        let sound = |s: &&Server| s.is_available() && !s.unresponsive;
        for server in self.servers.values().filter(sound) {
            let (Some(figure), load) = (server.metric, server.own_load) else {
                continue;
            };
            // What is piled up on one server is not asked of the others.
            let most = if by_load { 1.0 } else { f64::INFINITY };
            if server.has_result_since(self.now - span) {
                (figures, heard) = (figures + figure.min(most), heard + 1.0);
            }
            // A cold one is not yet what it will be, and alone of its kind would seem boundless.
            if server.remaining_warm_up(self.now, set) == 0.0 {
                for kind in [server.kind(), None] {
                    let sum = sums.entry(kind).or_default();
                    sum.servers += 1.0;
                    sum.metric_times_load += figure * load;
                    sum.metric += figure;
                    sum.connections += server.reported_connections.unwrap_or(0.0).max(0.0);
                    sum.load_squared += load * load;
                    let size = server.entry.as_ref().and_then(|entry| entry.size);
                    sum.relative_size += size.unwrap_or(1.0);
                }
            }
        }
        self.reporting_servers = heard as usize;
        if heard > 0.0 {
            self.mean_metric = figures / heard;
        }
        let mean_size = sums
            .get(&None)
            .map_or(1.0, |all| all.relative_size / all.servers);
        for sum in sums.values_mut() {
            sum.relative_size /= sum.servers * mean_size;
        }
        sums
    }

    /// The worth a second of all own connections and attempts.
    pub fn worth_held(&self, set: &Settings) -> f64 {
        let held = set.classes.iter().zip(&self.class_counts);
        held.map(|(class, &n)| class.worth * n as f64).sum()
    }

    /// Whether a server drops repeats of what ran on the `first`.
    pub fn shares_dedup_scope(&self, scope: DedupScope, first: ServerId, next: &Server) -> bool {
        let entry = |server: &Server| server.entry.as_ref().map(|e| (e.zone, e.cell));
        let (first, next) = (self.servers.get(&first).and_then(entry), entry(next));
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => first.is_some() && first.map(|e| e.0) == next.map(|e| e.0),
            DedupScope::Cell => first.is_some() && first.map(|e| e.1) == next.map(|e| e.1),
        }
    }

    /// The mean load of own connections and attempts, or while there are none what is usual.
    pub fn mean_load(&self) -> f64 {
        let joined = self.active_connections();
        if joined > 0 && self.load > 0.0 {
            return self.load / joined as f64;
        }
        self.usual_load()
    }

    /// The mean of all loads lately told, or 1 while there are none.
    fn usual_load(&self) -> f64 {
        let (told, number) = self.told(&self.loads);
        if told > 0.0 { told / number } else { 1.0 }
    }

    /// The number of own connections and attempts.
    pub fn active_connections(&self) -> usize {
        self.class_counts.iter().sum()
    }

    /// Loads lately told and their number.
    fn told(&self, loads: &[(DecayingSum, DecayingSum)]) -> (f64, f64) {
        let get = |fading: &DecayingSum| fading.value_at(self.now, MEMORY);
        loads.iter().fold((0.0, 0.0), |(told, number), (l, n)| {
            (told + get(l), number + get(n))
        })
    }

    fn adopt(&mut self, request: Request) -> RequestId {
        let id = request.id;
        if let Some(tenant) = request.tenant {
            self.tenant_counts[tenant] += 1;
        }
        let conn = Connection {
            deadline: self.now + request.patience,
            phase: Phase::Waiting,
            sent_at: self.now,
            attempts: 0,
            tried_servers: Vec::new(),
            first_possible_run: None,
            on_demand_probes: 0,
            load: request
                .hint
                .filter(|hint| hint.is_finite() && *hint >= 0.0)
                .unwrap_or_else(|| self.class_load(request.class)),
            load_reported: false,
            request,
        };
        self.connections.insert(id, conn);
        id
    }

    /// The usual load of a class, drawn to that of all while little of it has been told.
    fn class_load(&self, class: usize) -> f64 {
        let (told, number) = self.told(&self.loads[class..=class]);
        (told + self.usual_load()) / (number + 1.0)
    }

    pub fn on_load(&mut self, id: RequestId, load: f64) {
        let Some(conn) = self
            .connections
            .get_mut(&id)
            .filter(|_| load.is_finite() && load >= 0.0)
        else {
            return;
        };
        let change = load - conn.load;
        (conn.load, conn.load_reported) = (load, true);
        let (few, before) = (self.told(&self.loads).1 < FEW, self.usual_load());
        let conn = &self.connections[&id];
        let (sum, number) = &mut self.loads[conn.request.class];
        sum.add(self.now, MEMORY, load);
        number.add(self.now, MEMORY, 1.0);
        if let Phase::InFlight(server) | Phase::Open(server) = conn.phase {
            self.load += change;
            self.update_server(server, |server| server.own_load += change);
        }
        if few {
            self.rescale(self.usual_load() / before);
        }
    }

    /// The first loads told set the scale of those that were only guessed. Left as they were, a few
    /// connections that never tell theirs would outweigh all others after a restart.
    fn rescale(&mut self, by: f64) {
        for (id, conn) in self
            .connections
            .iter_mut()
            .filter(|(_, conn)| !conn.load_reported)
        {
            let change = conn.load * (by - 1.0);
            conn.load += change;
            if let Phase::InFlight(server) | Phase::Open(server) = conn.phase {
                let server = self.servers.get_mut(&server).expect("joined before");
                debug_assert!(server.own_requests.contains(id));
                server.own_load += change;
                self.load += change;
            }
        }
        for server in self.servers.values_mut() {
            server
                .pending_placements
                .iter_mut()
                .for_each(|(_, load)| *load *= by);
        }
        for unit in self.metric_per_load.values_mut().flatten() {
            *unit /= by;
        }
    }

    pub fn attach_to_server(&mut self, id: RequestId, to: ServerId, phase: Phase) {
        let Some(conn) = self.connections.get_mut(&id) else {
            return;
        };
        if matches!(phase, Phase::InFlight(_)) {
            self.attempts.add(self.now, MEMORY, 1.0);
            (self.sent_at, self.turned_away) = (Some(self.now), 0);
        }
        conn.phase = phase;
        conn.sent_at = self.now;
        conn.attempts += 1;
        conn.tried_servers.push(to);
        let server = self.servers.entry(to).or_default();
        server.own_requests.insert(id);
        server.own_load += conn.load;
        self.load += conn.load;
        self.class_counts[conn.request.class] += 1;
        if let Some(group) = conn.request.group {
            *server.group_counts.entry(group).or_default() += 1;
        }
    }

    pub fn detach_from_server(&mut self, id: RequestId) {
        let Some(conn) = self.connections.get_mut(&id) else {
            return;
        };
        let (Phase::InFlight(from) | Phase::Open(from)) = conn.phase else {
            return;
        };
        conn.phase = Phase::Waiting;
        let server = self.servers.get_mut(&from).expect("joined before");
        server.own_requests.remove(&id);
        server.own_load = (server.own_load - conn.load).max(0.0);
        self.load = (self.load - conn.load).max(0.0);
        self.class_counts[conn.request.class] -= 1;
        if let Some(group) = conn.request.group {
            let left = server.group_counts.get_mut(&group).expect("joined before");
            *left -= 1;
            if *left == 0 {
                server.group_counts.remove(&group);
            }
        }
    }

    /// A request that is given up; it may have been tried.
    pub fn reject_request(&mut self, id: RequestId) -> Option<Connection> {
        let conn = self.remove_request(id)?;
        self.turned_away += usize::from(conn.tried_servers.is_empty());
        Some(conn)
    }

    /// Whether so many were turned away in a row, and none was sent anywhere for so long.
    pub fn is_rejecting_all(&self, turned_away: usize, span: Seconds) -> bool {
        let since = self.sent_at.or(self.started_at);
        let long = since.is_some_and(|since| self.now > since + span);
        long && self.turned_away >= turned_away
    }

    pub fn remove_request(&mut self, id: RequestId) -> Option<Connection> {
        let phase = self.connections.get(&id)?.phase;
        self.quotas.mark_written(id, self.now);
        self.detach_from_server(id);
        let conn = self.connections.remove(&id)?;
        if let Some(tenant) = conn.request.tenant {
            self.tenant_counts[tenant] -= 1;
        }
        Some(Connection { phase, ..conn })
    }
}

/// A number that every balancer computes alike for a key and a server (rendezvous hashing).
fn spread(key: u64, server: ServerId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, server).hash(&mut hasher);
    hasher.finish()
}

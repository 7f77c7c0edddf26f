//! The state of a balancer: servers, connections, and which server holds which connection. Bookkeeping only;
//! the decisions are in `policy.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::api::*;
use crate::decay::DecayingSum;
use crate::quotas::Quotas;

/// Time constant of the decaying averages: of the loads of each class, and of the rates of own requests and attempts.
const AVERAGING_TIME: Seconds = 15.0;

/// Sums over the servers of a kind, or over all servers, from which their capacity is estimated.
#[derive(Debug, Default)]
pub struct KindTotals {
    pub servers: f64,
    pub metric_times_load: f64,
    /// Sum of the metrics, and of the connections that servers report together with their load.
    pub metric: f64,
    pub connections: f64,
    pub load_squared: f64,
    /// Listed size over the mean of all servers; a server without a listed size counts as 1.
    pub relative_size: f64,
}

/// How long a balancer that started without connections uses the conservative estimates of server capacity.
const CONSERVATIVE_SPAN: Seconds = 4.0;

/// Decayed number of load reports below which their mean is not reliable yet.
const MIN_LOAD_REPORTS: f64 = 16.0;

/// Largest difference between the times at which this balancer and an observer that checks the budget see a request or
/// an attempt.
const COUNTING_TOLERANCE: Seconds = 0.05;

/// Most requests that the budget counts: more than this allow no further retries.
const MAX_COUNTED_REQUESTS: usize = 1 << 16;

/// Time after which a pending placement is dropped if no report has confirmed it.
const PENDING_MAX_AGE: Seconds = 20.0;

/// A server, as the list, its reports and own connections show it.
#[derive(Debug, Default)]
pub struct Server {
    /// The latest list entry.
    pub entry: Option<Entry>,
    /// The last reported metric, in the design's metric order: load, connections, queue.
    pub metric: Option<f64>,
    /// The connections that were reported together with the load.
    pub reported_connections: Option<f64>,
    /// Own placements that the metric may not include yet: when each was made, and the load that it adds. Ended
    /// connections are not subtracted: a server that has just dropped all its connections is not idle.
    pub pending_placements: Vec<(Seconds, f64)>,
    /// Own connections and attempts, their load, and their number in each group.
    pub own_requests: BTreeSet<RequestId>,
    pub own_load: f64,
    pub group_counts: BTreeMap<u64, usize>,
    /// A probe or a connect has failed, and nothing since then has shown that the server answers.
    pub unresponsive: bool,
    pub errors: DecayingSum,
    /// When an own connection last got an answer later than its target time; cleared by one that is in time.
    pub last_slow_answer_at: Option<Seconds>,
    /// Earliest time of the next connection to a cold server. Its next turn comes `turn_offset` turn intervals after
    /// `turn_at_last_placement`, which counts the turns of all balancers.
    pub next_placement_at: Seconds,
    pub turn_at_last_placement: f64,
    pub turn_offset: f64,
    /// When the present process of the server was first listed.
    pub listed_at: Seconds,
    pub is_probed: bool,
    /// When a probe result or report last arrived, when a probe was last sent for a request, and whether a periodic
    /// probe has no result yet.
    pub last_result_at: Option<Seconds>,
    pub last_on_demand_probe_at: Option<Seconds>,
    pub periodic_probe_pending: bool,
}

impl Server {
    /// Whether connections may be placed on the server at all.
    pub fn is_available(&self) -> bool {
        let status = self.entry.as_ref().map(|entry| entry.status);
        matches!(status, Some(Status::Up | Status::Suspected))
    }

    /// Whether the list marks the server as suspected.
    pub fn is_suspected(&self) -> bool {
        let status = self.entry.as_ref().map(|entry| entry.status);
        status == Some(Status::Suspected)
    }

    /// Adds a pending placement. Old ones are dropped, as in some deployments no report ever clears them.
    pub fn add_pending_placement(&mut self, now: Seconds, load: f64) {
        self.pending_placements
            .retain(|(at, _)| *at > now - PENDING_MAX_AGE);
        self.pending_placements.push((now, load));
    }

    /// The load of the placements that the metric may not include yet.
    pub fn pending_load(&self) -> f64 {
        self.pending_placements.iter().map(|(_, load)| load).sum()
    }

    /// Whether a probe result or report has arrived since `then`.
    pub fn has_result_since(&self, then: Seconds) -> bool {
        self.last_result_at.is_some_and(|at| at >= then)
    }

    /// The reported metric, if it is not older than `then`.
    pub fn metric_since(&self, then: Seconds) -> Option<f64> {
        self.metric.filter(|_| self.has_result_since(then))
    }

    /// Whether an own connection has had a late answer since `then`.
    pub fn had_slow_answer_since(&self, then: Seconds) -> bool {
        self.last_slow_answer_at.is_some_and(|at| at >= then)
    }

    /// Whether a probe was sent for a request since `then`.
    pub fn probed_on_demand_since(&self, then: Seconds) -> bool {
        self.last_on_demand_probe_at.is_some_and(|at| at >= then)
    }

    /// The fraction of the warm-up that is left; 0 for a warm server.
    pub fn remaining_warm_up(&self, now: Seconds, settings: &Settings) -> f64 {
        let started_at = self.entry.as_ref().and_then(|entry| entry.started_at);
        let remaining = started_at.map_or(0.0, |started_at| {
            (started_at + settings.slow_start_window - now) / settings.slow_start_window
        });
        remaining.clamp(0.0, 1.0)
    }

    /// The time since the server was listed, weighted by the fraction of its capacity that it had at each moment.
    pub fn capacity_weighted_uptime(&self, now: Seconds, settings: &Settings) -> Seconds {
        let now = now.max(self.listed_at);
        let time_lost_until = |at| {
            (1.0 - settings.slow_start_min_share) * settings.slow_start_window / 2.0
                * self.remaining_warm_up(at, settings).powi(2)
        };
        now - self.listed_at + time_lost_until(now) - time_lost_until(self.listed_at)
    }

    /// Whether the server is known to be in another zone than `zone`.
    pub fn is_in_other_zone(&self, zone: Option<usize>) -> bool {
        let server_zone = self.entry.as_ref().and_then(|entry| entry.zone);
        server_zone.is_some() && server_zone != zone
    }

    pub fn kind(&self) -> Option<usize> {
        self.entry.as_ref().and_then(|entry| entry.kind)
    }
}

/// The phase of a request: waiting without a server, with an attempt in flight at a server, or open on a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    Waiting,
    InFlight(ServerId),
    Open(ServerId),
}

/// A request that has no final answer yet, or its open connection.
#[derive(Debug)]
pub struct Connection {
    pub request: Request,
    pub deadline: Seconds,
    pub phase: Phase,
    pub sent_at: Seconds,
    /// The number of attempts so far, which is also the number of the next one.
    pub attempts: usize,
    /// The servers of all attempts except those that a resource shortage of this machine prevented.
    pub tried_servers: Vec<ServerId>,
    /// How many servers were probed on demand for this request.
    pub on_demand_probes: usize,
    /// The first attempt that may have run: its server, and when it was sent.
    pub first_possible_run: Option<(ServerId, Seconds)>,
    /// The load in seconds of work per second: as last reported, otherwise the request's hint or the mean of its class.
    pub load: f64,
    pub load_reported: bool,
}

/// The whole state of a balancer.
#[derive(Debug)]
pub struct State {
    pub now: Seconds,
    pub servers: BTreeMap<ServerId, Server>,
    pub connections: BTreeMap<RequestId, Connection>,
    /// The load of own connections and attempts.
    own_load: f64,
    /// Estimated increase of a server's metric per unit of load, for each kind of server and for any kind (`None`): the
    /// likely and the conservative estimate.
    pub metric_per_load: BTreeMap<Option<usize>, [f64; 2]>,
    /// When `metric_per_load` was last estimated.
    estimated_at: Option<Seconds>,
    /// The number of servers with a recent metric, and the mean of those metrics.
    pub reporting_servers: usize,
    pub mean_metric: f64,
    /// The number of servers that are probed periodically.
    pub probed_servers: usize,
    /// Recent requests that clients have made for the first time, recent attempts, and when the first request arrived.
    new_requests: DecayingSum,
    attempts: DecayingSum,
    first_request_at: Option<Seconds>,
    /// When requests arrived and when retries were made, kept only for the span of the budget.
    request_times: VecDeque<Seconds>,
    retry_times: VecDeque<Seconds>,
    /// This balancer's allowances of the quotas that balancers share, and their use.
    pub quotas: Quotas,
    /// When the balancer handled its first event.
    pub started_at: Option<Seconds>,
    /// When an attempt was last made, and how many requests have been rejected since then without an attempt.
    last_attempt_at: Option<Seconds>,
    rejections_since_attempt: usize,
    /// When the first request arrived, if there were no connections then.
    started_empty_at: Option<Seconds>,
    /// Own connections and attempts of each class.
    pub class_counts: Vec<usize>,
    /// Own requests of each tenant.
    pub tenant_counts: Vec<usize>,
    /// Available servers for each key, in an order common to all balancers: those of the own zone and the others.
    server_orders: BTreeMap<u64, [Vec<ServerId>; 2]>,
    /// For each class: the decaying sum of the reported loads, and their number.
    reported_loads: Vec<(DecayingSum, DecayingSum)>,
}

impl State {
    /// Creates the state with default `estimates` of the metric per load: the likely and the conservative one.
    pub fn new(settings: &Settings, estimates: [f64; 2]) -> Self {
        Self {
            now: 0.0,
            servers: BTreeMap::new(),
            connections: BTreeMap::new(),
            own_load: 0.0,
            metric_per_load: BTreeMap::from([(None, estimates)]),
            estimated_at: None,
            reporting_servers: 0,
            mean_metric: 0.0,
            probed_servers: 0,
            new_requests: DecayingSum::default(),
            attempts: DecayingSum::default(),
            first_request_at: None,
            request_times: VecDeque::new(),
            retry_times: VecDeque::new(),
            quotas: Quotas::default(),
            started_at: None,
            last_attempt_at: None,
            rejections_since_attempt: 0,
            started_empty_at: None,
            class_counts: vec![0; settings.classes.len()],
            tenant_counts: vec![0; settings.tenants.len()],
            server_orders: BTreeMap::new(),
            reported_loads: vec![Default::default(); settings.classes.len()],
        }
    }

    /// Extends the counters for classes and tenants that are new.
    pub fn resize_counts(&mut self, settings: &Settings) {
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
        self.class_counts
            .resize(classes.max(self.class_counts.len()), 0);
        self.reported_loads
            .resize(self.class_counts.len(), Default::default());
        self.tenant_counts
            .resize(tenants.max(self.tenant_counts.len()), 0);
    }

    /// Begins the slow start of a newly listed process. Its first turn comes after the fraction `phase` of a turn
    /// interval.
    pub fn reset_slow_start(&mut self, id: ServerId, phase: f64) {
        let now = self.now;
        self.update_server(id, |server| {
            (server.listed_at, server.next_placement_at) = (now, now);
            (server.turn_at_last_placement, server.turn_offset) = (0.0, phase);
        });
    }

    /// Records a placement. For a cold server it is also a turn, after `turns` turns of all balancers; the next one
    /// comes `min_gap` later at the earliest.
    pub fn record_placement(&mut self, id: ServerId, load: f64, turns: f64, min_gap: Seconds) {
        let now = self.now;
        self.update_server(id, |server| {
            server.add_pending_placement(now, load);
            (
                server.turn_at_last_placement,
                server.turn_offset,
                server.next_placement_at,
            ) = (turns, 1.0, now + min_gap);
        });
    }

    /// Changes a server, if it is known.
    pub fn update_server(&mut self, id: ServerId, change: impl FnOnce(&mut Server)) {
        self.servers.get_mut(&id).map(change);
    }

    /// Marks as gone the servers that are missing from a complete list.
    pub fn mark_unlisted_gone(&mut self, entries: &[Entry]) {
        let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
        let is_unlisted = |(id, _): &(&ServerId, &mut Server)| !listed.contains(id);
        for (_, server) in self.servers.iter_mut().filter(is_unlisted) {
            if let Some(entry) = &mut server.entry {
                entry.status = Status::Gone;
            }
        }
    }

    /// The estimate in use of a server's metric per unit of load. A balancer that had no connections at its first
    /// request has only default estimates, and all clients may reconnect at once, as after a restart: for
    /// `CONSERVATIVE_SPAN` it uses the conservative estimate.
    pub fn metric_per_load_of(&self, server: &Server) -> f64 {
        let has_recently_started = self
            .started_empty_at
            .is_some_and(|at| self.now < at + CONSERVATIVE_SPAN);
        self.metric_per_load_estimates(server)[usize::from(has_recently_started)]
    }

    /// The conservative estimate of a server's metric per unit of load.
    pub fn conservative_metric_per_load_of(&self, server: &Server) -> f64 {
        self.metric_per_load_estimates(server)[1]
    }

    fn metric_per_load_estimates(&self, server: &Server) -> [f64; 2] {
        let of_all = &self.metric_per_load[&None];
        *self.metric_per_load.get(&server.kind()).unwrap_or(of_all)
    }

    /// The key of the common order of servers for a request: its group or, without one, this balancer's number. Builds
    /// the order if it does not exist yet.
    pub fn server_order_key(&mut self, id: RequestId, settings: &Settings) -> u64 {
        let key = self.connections[&id]
            .request
            .group
            .unwrap_or(settings.balancer_index);
        if !self.server_orders.contains_key(&key) {
            self.build_server_order(key, settings.zone);
        }
        key
    }

    fn build_server_order(&mut self, key: u64, zone: Option<usize>) {
        let mut order = [Vec::new(), Vec::new()];
        for (&id, server) in self.servers.iter().filter(|(_, s)| s.is_available()) {
            order[usize::from(server.is_in_other_zone(zone))].push(id);
        }
        for zone_order in &mut order {
            zone_order.sort_by_cached_key(|id| rendezvous_hash(key, *id));
        }
        self.server_orders.insert(key, order);
    }

    /// The first `count` servers of each zone order of a key, with their positions.
    pub fn first_servers_in_order(
        &self,
        key: u64,
        count: usize,
    ) -> impl Iterator<Item = (usize, ServerId)> {
        let zone_orders = self.server_orders.get(&key).into_iter().flatten();
        zone_orders.flat_map(move |zone_order| zone_order.iter().copied().take(count).enumerate())
    }

    /// Discards the common orders, which are rebuilt on demand.
    pub fn clear_server_orders(&mut self) {
        self.server_orders.clear();
    }

    /// Records whether a server is probed periodically.
    pub fn set_probed(&mut self, id: ServerId, is_probed: bool) {
        self.update_server(id, |server| server.is_probed = is_probed);
        self.probed_servers = if is_probed {
            self.probed_servers + 1
        } else {
            self.probed_servers - 1
        };
    }

    /// The servers that are not probed periodically; usually there are none.
    pub fn unprobed_servers(&self) -> Vec<ServerId> {
        let unprobed = self.servers.iter().filter(|(_, server)| !server.is_probed);
        unprobed.map(|(id, _)| *id).collect()
    }

    /// Records that a server is probed on demand for a request.
    pub fn record_on_demand_probe(&mut self, server: ServerId, id: RequestId) {
        let now = self.now;
        self.update_server(server, |server| server.last_on_demand_probe_at = Some(now));
        if let Some(conn) = self.connections.get_mut(&id) {
            conn.on_demand_probes += 1;
        }
    }

    /// Adds a request that has arrived, and counts it in the request rate and the budget. Returns its id.
    pub fn on_request(&mut self, request: Request, settings: &Settings) -> RequestId {
        if self.first_request_at.is_none() {
            self.first_request_at = Some(self.now);
            self.started_empty_at = (self.active_connections() == 0).then_some(self.now);
        }
        if settings.retry_budget.is_some() {
            self.request_times.push_back(self.now);
            if self.request_times.len() > MAX_COUNTED_REQUESTS {
                self.request_times.pop_front();
            }
        }
        if !request.is_repeat {
            self.new_requests.add(self.now, AVERAGING_TIME, 1.0);
        }
        self.add_request(request)
    }

    /// Adds a connection that is already open.
    pub fn on_open(&mut self, request: Request, server: ServerId) {
        let id = self.add_request(request);
        self.attach_to_server(id, server, Phase::Open(server));
    }

    /// Marks a connection as open. Its server is responsive then.
    pub fn mark_open(&mut self, id: RequestId, server_id: ServerId) {
        self.quotas.mark_written(id, self.now);
        if let Some(conn) = self.connections.get_mut(&id) {
            conn.phase = Phase::Open(server_id);
            self.update_server(server_id, |server| server.unresponsive = false);
        }
    }

    /// Records the end of an attempt. Returns whether the attempt was still in flight; `None` for an unknown request.
    pub fn end_attempt(&mut self, ended: &AttemptEnd) -> Option<bool> {
        let conn = self.connections.get_mut(&ended.id)?;
        let was_in_flight = conn.phase == Phase::InFlight(ended.server);
        if was_in_flight {
            match ended.outcome {
                Outcome::LocalFailure => self.quotas.release_units(ended.id),
                // No write was reported, but the line may have been written, at least in part.
                _ => self.quotas.mark_written(ended.id, self.now),
            }
        }
        if was_in_flight && !ended.outcome.never_ran() {
            conn.first_possible_run
                .get_or_insert((ended.server, conn.sent_at));
        }
        Some(was_in_flight)
    }

    /// Stops waiting for an attempt in flight, which may have run. Returns its number among the request's attempts.
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

    /// The number of retries that the budget allows now, for the span that ends now. With `COUNTING_TOLERANCE`,
    /// requests that arrived just after its start are not counted, and retries that were made just before its start are.
    pub fn remaining_retry_budget(&mut self, budget: &Budget) -> f64 {
        let since = self.now - budget.span;
        while self
            .request_times
            .front()
            .is_some_and(|at| *at <= since + COUNTING_TOLERANCE)
        {
            self.request_times.pop_front();
        }
        while self
            .retry_times
            .front()
            .is_some_and(|at| *at < since - COUNTING_TOLERANCE)
        {
            self.retry_times.pop_front();
        }
        budget.free + budget.ratio * self.request_times.len() as f64 - self.retry_times.len() as f64
    }

    /// Removes the latest attempt of a request, which was never made, from its counted attempts and from the budget.
    pub fn revert_attempt(&mut self, id: RequestId) {
        let Some(conn) = self.connections.get_mut(&id) else {
            return;
        };
        conn.tried_servers.pop();
        if !conn.tried_servers.is_empty()
            && let Some(index) = self.retry_times.iter().rposition(|at| *at == conn.sent_at)
        {
            self.retry_times.remove(index);
        }
    }

    /// Records a retry: an attempt that is not its request's first.
    pub fn record_retry(&mut self, id: RequestId, settings: &Settings) {
        if settings.retry_budget.is_some() {
            self.retry_times.push_back(self.now);
        }
        self.quotas.reserve_unit(id, QuotaKind::Further, None);
    }

    /// Records that the line of a request's attempt at a server has been written: quotas and the budget count from now.
    pub fn on_written(&mut self, id: RequestId, server: ServerId) {
        let is_in_flight = |conn: &Connection| conn.phase == Phase::InFlight(server);
        if !self.connections.get(&id).is_some_and(is_in_flight) {
            return;
        }
        self.quotas.mark_written(id, self.now);
        if let Some(index) = self.find_retry(id) {
            self.retry_times.remove(index);
            self.retry_times.push_back(self.now);
        }
    }

    /// The index in `retry_times` of the latest attempt of a request, if the budget counts that attempt.
    fn find_retry(&self, id: RequestId) -> Option<usize> {
        let conn = self
            .connections
            .get(&id)
            .filter(|conn| conn.tried_servers.len() > 1)?;
        self.retry_times.iter().rposition(|at| *at == conn.sent_at)
    }

    /// Whether a quota or the budget counts from the moment when the line of a request's latest attempt is written.
    pub fn awaits_write(&self, id: RequestId) -> bool {
        self.quotas.awaits_write(id) || self.find_retry(id).is_some()
    }

    /// The units of a quota that are in use.
    fn units_in_use(&self, kind: QuotaKind) -> u64 {
        match kind {
            QuotaKind::Further | QuotaKind::Moves | QuotaKind::Probes | QuotaKind::Cold => {
                self.quotas.max_used(kind, self.now)
            }
            QuotaKind::Class(class) => self
                .class_counts
                .get(class)
                .map_or(0, |count| *count as u64),
            QuotaKind::Tenant(tenant) => self
                .tenant_counts
                .get(tenant)
                .map_or(0, |count| *count as u64),
        }
    }

    /// Whether a quota has a unit left. `own_units` of those in use belong to the same request and are not counted.
    pub fn has_quota_left(&self, kind: QuotaKind, own_units: u64) -> bool {
        let units = self.quotas.allowed_units(kind, self.now);
        units.is_none_or(|units| self.units_in_use(kind).saturating_sub(own_units) < units)
    }

    /// Same as [`Self::has_quota_left`], but also counts a denial if no unit is left.
    pub fn check_quota(&mut self, kind: QuotaKind, own_units: u64) -> bool {
        let has_room = self.has_quota_left(kind, own_units);
        if !has_room {
            self.quotas.record_denial(kind);
        }
        has_room
    }

    /// Whether the quota for cold servers has a unit left at `server`.
    pub fn has_cold_quota_left(&self, server: ServerId) -> bool {
        let units = self.quotas.allowed_units(QuotaKind::Cold, self.now);
        units.is_none_or(|units| {
            self.quotas
                .used_at_server(QuotaKind::Cold, server, self.now)
                < units
        })
    }

    /// The number of connections that all balancers together place on a cold server for each connection that this
    /// balancer places there: the fleet size or, with a quota, the ratio of the fleet's units to the allowed ones.
    pub fn fleet_turns_per_own_turn(&self, settings: &Settings) -> f64 {
        let units = self.quotas.allowed_units(QuotaKind::Cold, self.now);
        match units.zip(self.quotas.fleet_units(QuotaKind::Cold)) {
            Some((units, fleet_units)) => (fleet_units as f64 / units.max(1) as f64).max(1.0),
            None => settings.fleet_size as f64,
        }
    }

    /// The use of all quotas with an allowance, at `now`.
    pub fn quota_usage(&mut self, now: Seconds) -> Vec<QuotaUsage> {
        self.now = now;
        let usage = |(kind, denied)| QuotaUsage {
            quota: kind,
            in_use: self.units_in_use(kind),
            denied,
        };
        self.quotas.denials().into_iter().map(usage).collect()
    }

    /// Own attempts per second. Refused requests don't count, as they put no load on servers.
    pub fn placement_rate(&self) -> f64 {
        self.attempts.value_at(self.now, AVERAGING_TIME) / self.averaging_span()
    }

    /// Own requests per second, without repeated ones.
    pub fn new_request_rate(&self) -> f64 {
        self.new_requests.value_at(self.now, AVERAGING_TIME) / self.averaging_span()
    }

    fn averaging_span(&self) -> Seconds {
        let running_time = self.now - self.started_at.unwrap_or(self.now);
        // Shortly after a start the decaying sums have not reached their steady state, so the span is shorter. Less
        // than a second is too short a base.
        AVERAGING_TIME * (1.0 - (-running_time.max(1.0) / AVERAGING_TIME).exp())
    }

    /// Whether the last capacity estimate is at least `interval` seconds old. If so, marks a new one as made now.
    pub fn start_estimate_if_due(&mut self, interval: Seconds) -> bool {
        let is_due = self.estimated_at.is_none_or(|at| at + interval <= self.now);
        if is_due {
            self.estimated_at = Some(self.now);
        }
        is_due
    }

    /// Sums over responsive warm servers with a metric, by kind and over all (`None`). Also updates `mean_metric` and
    /// `reporting_servers`, from metrics no older than `max_age` seconds and from cold servers too.
    pub fn sum_metrics(
        &mut self,
        settings: &Settings,
        max_age: Seconds,
    ) -> BTreeMap<Option<usize>, KindTotals> {
        let mut sums: BTreeMap<Option<usize>, KindTotals> = BTreeMap::new();
        let (mut metric_sum, mut count) = (0.0, 0.0);
        let reports_load = settings.report_fields.contains(&ReportField::Load);
        // An unreachable server keeps its old metric while all own connections to it are lost.
        let is_responsive = |s: &&Server| s.is_available() && !s.unresponsive;
        for server in self.servers.values().filter(is_responsive) {
            let (Some(metric), own_load) = (server.metric, server.own_load) else {
                continue;
            };
            // The excess of one server over its capacity is no measure of the load of the others.
            let max_metric = if reports_load { 1.0 } else { f64::INFINITY };
            if server.has_result_since(self.now - max_age) {
                (metric_sum, count) = (metric_sum + metric.min(max_metric), count + 1.0);
            }
            // A cold server has not reached its capacity yet, and the only one of its kind would seem to have no limit.
            if server.remaining_warm_up(self.now, settings) == 0.0 {
                for kind in [server.kind(), None] {
                    let sum = sums.entry(kind).or_default();
                    sum.servers += 1.0;
                    sum.metric_times_load += metric * own_load;
                    sum.metric += metric;
                    sum.connections += server.reported_connections.unwrap_or(0.0).max(0.0);
                    sum.load_squared += own_load * own_load;
                    let size = server.entry.as_ref().and_then(|entry| entry.size);
                    sum.relative_size += size.unwrap_or(1.0);
                }
            }
        }
        self.reporting_servers = count as usize;
        if count > 0.0 {
            self.mean_metric = metric_sum / count;
        }
        let mean_size = sums
            .get(&None)
            .map_or(1.0, |all| all.relative_size / all.servers);
        for sum in sums.values_mut() {
            sum.relative_size /= sum.servers * mean_size;
        }
        sums
    }

    /// The total worth of all own connections and attempts.
    pub fn worth_held(&self, settings: &Settings) -> f64 {
        let counts = settings.classes.iter().zip(&self.class_counts);
        counts.map(|(class, &n)| class.worth * n as f64).sum()
    }

    /// Whether server `next` drops repeats of a keyed request that ran on server `first`.
    pub fn shares_dedup_scope(&self, scope: DedupScope, first: ServerId, next: &Server) -> bool {
        let scopes = |server: &Server| server.entry.as_ref().map(|e| (e.zone, e.cell));
        let (first, next) = (self.servers.get(&first).and_then(scopes), scopes(next));
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => first.is_some() && first.map(|e| e.0) == next.map(|e| e.0),
            DedupScope::Cell => first.is_some() && first.map(|e| e.1) == next.map(|e| e.1),
        }
    }

    /// The mean load of own connections and attempts; without any, the mean of the recently reported loads.
    pub fn mean_load(&self) -> f64 {
        let active = self.active_connections();
        if active > 0 && self.own_load > 0.0 {
            return self.own_load / active as f64;
        }
        self.mean_reported_load()
    }

    /// The mean of all recently reported loads, or 1 if there are none.
    fn mean_reported_load(&self) -> f64 {
        let (load_sum, report_count) = self.sum_reported_loads(&self.reported_loads);
        if load_sum > 0.0 {
            load_sum / report_count
        } else {
            1.0
        }
    }

    /// The number of own connections and attempts.
    pub fn active_connections(&self) -> usize {
        self.class_counts.iter().sum()
    }

    /// The sum and the number of recently reported loads.
    fn sum_reported_loads(&self, loads: &[(DecayingSum, DecayingSum)]) -> (f64, f64) {
        let decayed = |sum: &DecayingSum| sum.value_at(self.now, AVERAGING_TIME);
        loads.iter().fold(
            (0.0, 0.0),
            |(load_sum, report_count), (loads_of_class, reports_of_class)| {
                (
                    load_sum + decayed(loads_of_class),
                    report_count + decayed(reports_of_class),
                )
            },
        )
    }

    fn add_request(&mut self, request: Request) -> RequestId {
        let id = request.id;
        if let Some(tenant) = request.tenant {
            self.tenant_counts[tenant] += 1;
        }
        let conn = Connection {
            deadline: self.now + request.client_timeout,
            phase: Phase::Waiting,
            sent_at: self.now,
            attempts: 0,
            tried_servers: Vec::new(),
            first_possible_run: None,
            on_demand_probes: 0,
            load: request
                .hint
                .filter(|hint| hint.is_finite() && *hint >= 0.0)
                .unwrap_or_else(|| self.expected_class_load(request.class)),
            load_reported: false,
            request,
        };
        self.connections.insert(id, conn);
        id
    }

    /// The mean load of a class, weighted towards the mean of all classes while few loads have been reported for it.
    fn expected_class_load(&self, class: usize) -> f64 {
        let (load_sum, report_count) = self.sum_reported_loads(&self.reported_loads[class..=class]);
        (load_sum + self.mean_reported_load()) / (report_count + 1.0)
    }

    /// Records a reported load, in seconds of work per second. Invalid values are ignored.
    pub fn on_load(&mut self, id: RequestId, load: f64) {
        let Some(conn) = self
            .connections
            .get_mut(&id)
            .filter(|_| load.is_finite() && load >= 0.0)
        else {
            return;
        };
        let delta = load - conn.load;
        (conn.load, conn.load_reported) = (load, true);
        let (has_few_reports, mean_before) = (
            self.sum_reported_loads(&self.reported_loads).1 < MIN_LOAD_REPORTS,
            self.mean_reported_load(),
        );
        let conn = &self.connections[&id];
        let (sum, report_count) = &mut self.reported_loads[conn.request.class];
        sum.add(self.now, AVERAGING_TIME, load);
        report_count.add(self.now, AVERAGING_TIME, 1.0);
        if let Phase::InFlight(server) | Phase::Open(server) = conn.phase {
            self.own_load += delta;
            self.update_server(server, |server| server.own_load += delta);
        }
        if has_few_reports {
            self.rescale_unreported_loads(self.mean_reported_load() / mean_before);
        }
    }

    /// Rescales the assumed loads of connections to the first loads that are reported. Without this, a few connections
    /// whose load is never reported would outweigh all others after a restart.
    fn rescale_unreported_loads(&mut self, factor: f64) {
        for (id, conn) in self
            .connections
            .iter_mut()
            .filter(|(_, conn)| !conn.load_reported)
        {
            let delta = conn.load * (factor - 1.0);
            conn.load += delta;
            if let Phase::InFlight(server) | Phase::Open(server) = conn.phase {
                let server = self
                    .servers
                    .get_mut(&server)
                    .expect("server of a placed request is known");
                debug_assert!(server.own_requests.contains(id));
                server.own_load += delta;
                self.own_load += delta;
            }
        }
        for server in self.servers.values_mut() {
            server
                .pending_placements
                .iter_mut()
                .for_each(|(_, load)| *load *= factor);
        }
        for estimate in self.metric_per_load.values_mut().flatten() {
            *estimate /= factor;
        }
    }

    /// Assigns a request to a server, as an attempt or as an open connection, and counts it there.
    pub fn attach_to_server(&mut self, id: RequestId, server_id: ServerId, phase: Phase) {
        let Some(conn) = self.connections.get_mut(&id) else {
            return;
        };
        if matches!(phase, Phase::InFlight(_)) {
            self.attempts.add(self.now, AVERAGING_TIME, 1.0);
            (self.last_attempt_at, self.rejections_since_attempt) = (Some(self.now), 0);
        }
        conn.phase = phase;
        conn.sent_at = self.now;
        conn.attempts += 1;
        conn.tried_servers.push(server_id);
        let server = self.servers.entry(server_id).or_default();
        server.own_requests.insert(id);
        server.own_load += conn.load;
        self.own_load += conn.load;
        self.class_counts[conn.request.class] += 1;
        if let Some(group) = conn.request.group {
            *server.group_counts.entry(group).or_default() += 1;
        }
    }

    /// Removes a request from its server and from the counts there, and marks it as waiting again.
    pub fn detach_from_server(&mut self, id: RequestId) {
        let Some(conn) = self.connections.get_mut(&id) else {
            return;
        };
        let (Phase::InFlight(server_id) | Phase::Open(server_id)) = conn.phase else {
            return;
        };
        conn.phase = Phase::Waiting;
        let server = self
            .servers
            .get_mut(&server_id)
            .expect("server of a placed request is known");
        server.own_requests.remove(&id);
        server.own_load = (server.own_load - conn.load).max(0.0);
        self.own_load = (self.own_load - conn.load).max(0.0);
        self.class_counts[conn.request.class] -= 1;
        if let Some(group) = conn.request.group {
            let group_count = server
                .group_counts
                .get_mut(&group)
                .expect("group of a placed request is counted");
            *group_count -= 1;
            if *group_count == 0 {
                server.group_counts.remove(&group);
            }
        }
    }

    /// Removes a request that is given up. It counts as rejected if no attempt was made.
    pub fn reject_request(&mut self, id: RequestId) -> Option<Connection> {
        let conn = self.remove_request(id)?;
        self.rejections_since_attempt += usize::from(conn.tried_servers.is_empty());
        Some(conn)
    }

    /// Whether at least `min_rejections` requests in a row were rejected, and no attempt was made for `span` seconds.
    pub fn is_rejecting_all(&self, min_rejections: usize, span: Seconds) -> bool {
        let since = self.last_attempt_at.or(self.started_at);
        let is_idle = since.is_some_and(|since| self.now > since + span);
        is_idle && self.rejections_since_attempt >= min_rejections
    }

    /// Removes a request and its counts. Returns it with the phase that it had.
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

/// The rendezvous hash of a key and a server, the same at every balancer.
fn rendezvous_hash(key: u64, server: ServerId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, server).hash(&mut hasher);
    hasher.finish()
}

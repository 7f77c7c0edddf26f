//! All decisions of the balancer. `api.rs` defines its interface, and `state.rs` keeps its state.
//!
//! The design (docs/design.md): probe each server for load, place a connection on the lowest-ranked
//! server, and move a connection off a server whose probed load passes a threshold.

use std::collections::BTreeMap;
use std::ops::Range;

use rand::{Rng, SeedableRng, seq::IteratorRandom};
use rand_pcg::Pcg64Mcg;

use crate::api::*;
use crate::decay::DecayingSum;
use crate::state::{Connection, Phase, Server, State};

/// Load, as a fraction of capacity, above which connections are moved off a server and none are added.
const LOAD_THRESHOLD: f64 = 0.85;
/// Where servers report only connection counts: the ratio of a server's count to the mean of all servers
/// above which a connection is moved off it.
const COUNT_MOVE_RATIO: f64 = 1.3;
/// Mean load of all servers, as a fraction of `LOAD_THRESHOLD`, at which room begins to be scarce.
const SCARCITY_START: f64 = 0.7;
/// Fraction of `LOAD_THRESHOLD` that is withheld from a request whose worth is negligible for its load.
const LOW_WORTH_RESERVE: f64 = 0.1;
/// Where servers report no load: the probability of refusing a request, per unit of its worth deficit and
/// of the level of connection resets.
const SHEDDING_FACTOR: f64 = 2.0;
/// Load, as a fraction of capacity, above which connections are moved at once, even without room elsewhere.
const CRITICAL_LOAD: f64 = 0.93;
/// Ratio of the load that is moved at once to the excess that a report shows, as reports arrive late.
const EXCESS_MOVE_FACTOR: f64 = 2.0;
/// Interval between two probes of a server while probes are cheap.
const MIN_PROBE_INTERVAL: Seconds = 1.0;
/// The longest interval between two probes of a server that the design allows.
const MAX_PROBE_INTERVAL: Seconds = 5.0;
/// Allowed cost of probes, as a fraction of the worth of the requests that arrive in the same time.
const PROBE_COST_SHARE: f64 = 0.01;
/// Longest time by which a report may lag behind the server's state; own placements within this time are
/// added to the reported metric.
const MAX_REPORT_DELAY: Seconds = 2.0;
/// Load added to the rank of a server that the list marks as suspected: it ranks behind all others that
/// have room.
const SUSPECTED_PENALTY: f64 = 1e6;
/// Load that is equivalent to a cross-zone price of 1.
const CROSS_ZONE_LOAD: f64 = 6.0;
/// Assumed load of a group on each server that holds any of its connections, in connections of mean load.
const GROUP_COST: f64 = 2.0;
/// Multiple of the group's cost that is added to the rank of a server without the group, as the cost
/// remains for a long time.
const GROUP_PENALTY_FACTOR: f64 = 8.0;
/// Number of places in the group's common order of servers for which the same penalty is added again.
const PLACES_PER_PENALTY: f64 = 1.5;
/// Number of servers of a common order that are ranked for a request, in the own zone and in the others
/// each.
const CANDIDATES: usize = 32;
/// Number of connections of mean load that a server is assumed to hold until its capacity is estimated.
const DEFAULT_CAPACITY: f64 = 50.0;
/// Weight of `DEFAULT_CAPACITY` in the estimates, in own connections on each server.
const DEFAULT_WEIGHT: f64 = 5.0;
/// Highest reported load over capacity that is used as it is. Also the largest factor between the default
/// capacity and one that is computed from reported connections.
const MAX_PLAUSIBLE_LOAD: f64 = 10.0;
/// Factor by which a server's capacity is assumed to be smaller than the default where reports do not
/// determine it: while the server is cold, and shortly after a start of this balancer.
const CONSERVATIVE_FACTOR: f64 = 3.0;
/// How long a turn at a cold server may be used, in multiples of the overload window
/// [`Settings::overload_duration`].
const TURN_VALIDITY: f64 = 1.5;
/// Time constant of the decay of failure counts, of a server and of the service as a whole.
const FAILURE_DECAY: Seconds = 5.0;
/// Attempts per success above which the service as a whole counts as failing.
const TOLERATED_ATTEMPTS: f64 = 2.0;
/// Fraction of its target set-up time that a request may wait for a recent report of its server.
const PROBE_WAIT_SHARE: f64 = 0.3;
/// Most servers that are probed on demand for one request.
const MAX_PROBED_SERVERS: usize = 4;
/// Age beyond which a reported metric is ignored.
const METRIC_MAX_AGE: Seconds = 7.0;
/// Interval at which waiting requests are tried again, and the shortest between two capacity estimates.
const RETRY_INTERVAL: Seconds = 0.05;
/// Decayed number of failures above which a server is ejected, until it has decayed below that.
const EJECTION_THRESHOLD: f64 = 3.0;
/// Minimum time-out of an attempt, as a fraction of the target set-up time, at which a time-out counts
/// against the server.
const MIN_TIMEOUT_SHARE: f64 = 0.5;
/// Consecutive refusals after which one request is sent in spite of the load limit, if no attempt was made
/// for `TRIAL_INTERVAL` either.
const TRIAL_REJECTIONS: usize = 12;
/// Time without an attempt that `TRIAL_REJECTIONS` requires.
const TRIAL_INTERVAL: Seconds = 3.5;

/// Minimum load that is assumed for a server while messages of own connections are late there.
const SLOW_SERVER_LOAD: f64 = 1.2;
/// How long a server counts as slow after the last late message.
const SLOW_ANSWER_MAX_AGE: Seconds = 2.0;

/// Token of the timer for a new subscription to the server list.
const TIMER_SUBSCRIBE: u64 = 0;
/// Token of the timer for retries of waiting requests.
const TIMER_RETRY: u64 = 1;
/// First token of probe timers: the server's id is added to it.
const TIMER_PROBE_BASE: u64 = 1 << 32;

/// The decision module of one load balancer. The host passes events in and carries out the actions that it
/// returns.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    state: State,
    /// Waiting requests, with the server whose probe result a request waits for, if there is one.
    waiting_requests: BTreeMap<RequestId, Option<ServerId>>,
    retry_timer_pending: bool,
    subscribed: bool,
    admission_mode: AdmissionMode,
    failures: DecayingSum,
    successes: DecayingSum,
    /// Resets of connections that were open.
    connection_resets: DecayingSum,
    given_up: Vec<(RequestId, GiveUpReason)>,
}

impl Balancer {
    /// Creates a balancer. `seed` determines its random choices.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            state: State::new(
                &settings,
                [
                    1.0 / DEFAULT_CAPACITY,
                    CONSERVATIVE_FACTOR / DEFAULT_CAPACITY,
                ],
            ),
            waiting_requests: BTreeMap::new(),
            retry_timer_pending: false,
            subscribed: false,
            admission_mode: AdmissionMode::All,
            failures: DecayingSum::default(),
            successes: DecayingSum::default(),
            connection_resets: DecayingSum::default(),
            given_up: Vec::new(),
            settings,
        }
    }

    /// Handles one event at `now` and appends the resulting actions to `out`.
    pub fn handle_event(&mut self, now: Seconds, event: Event, out: &mut Vec<Action>) {
        self.state.now = now;
        self.given_up.clear();
        self.state.started_at.get_or_insert(now);
        match event {
            Event::Servers(kind, entries) => self.on_server_list(kind, entries, out),
            Event::Request(request) => {
                let id = self.state.on_request(request, &self.settings);
                if self.state.start_estimate_if_due(MIN_PROBE_INTERVAL) {
                    self.estimate_metric_per_load();
                }
                match self.admission_mode {
                    AdmissionMode::All => self.place_request(id, out),
                    _ => self.give_up_request(id, GiveUpReason::NotTaking, out),
                }
            }
            Event::Open(request, server) => {
                self.state.on_open(request, server);
                self.start_periodic_probes(server, out);
            }
            Event::Written(id, server) => self.state.on_written(id, server),
            Event::Begun(id, server) => {
                self.successes.add(now, FAILURE_DECAY, 1.0);
                self.state.mark_open(id, server);
            }
            Event::Outcome(ended) => {
                self.record_report(ended.server, ended.report);
                self.on_outcome(ended, out);
            }
            Event::Gone(id) => {
                let is_in_flight = |conn: &Connection| matches!(conn.phase, Phase::InFlight(_));
                if let Some(conn) = self.state.remove_request(id).filter(is_in_flight)
                    && self.settings.may_cancel
                {
                    out.push(Action::Cancel(id, conn.attempts - 1));
                }
            }
            Event::LoadNote(id, load) => self.state.on_load(id, load),
            Event::Probed(server, outcome, report) => {
                self.record_report(server, report);
                self.on_probe_result(server, outcome, out);
                self.retry_waiting_requests(Some(server), out);
            }
            Event::Taking(mode) => self.on_admission_mode(mode, out),
            Event::Allowance(kind, allowance) => {
                self.state.quotas.set_allowance(kind, allowance);
                self.retry_waiting_requests(None, out);
            }
            Event::Settings(settings) => {
                self.state.resize_counts(&settings);
                self.state.clear_server_orders();
                self.settings = *settings;
            }
            Event::Timer(TIMER_SUBSCRIBE) => self.subscribe_if_needed(out),
            Event::Timer(TIMER_RETRY) => {
                self.retry_timer_pending = false;
                self.retry_waiting_requests(None, out);
            }
            Event::Timer(token) if token >= TIMER_PROBE_BASE => {
                self.on_probe_timer(token as u32, out)
            }
            Event::DelayNote(server, delay) => self.on_message_delay(server, delay, out),
            Event::Start | Event::Timer(_) => {}
        }
    }

    // The server list.

    fn on_server_list(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Unavailable {
            // The delay is random, so that proxies that lost the list together don't request it together.
            self.subscribed = false;
            let delay = self.settings.resubscribe_within * self.rng.random_range(0.05..0.2);
            return out.push(Action::Timer(delay, TIMER_SUBSCRIBE));
        }
        if kind != ListKind::Update {
            self.state.mark_unlisted_gone(&entries);
        }
        self.state.clear_server_orders();
        for entry in entries {
            let id = entry.server;
            let server = self.state.servers.entry(id).or_default();
            let is_new_process =
                server.entry.as_ref().map(|old| old.started_at) != Some(entry.started_at);
            if is_new_process {
                // Measurements of the previous process don't apply to the new one.
                (server.metric, server.unresponsive, server.errors) = Default::default();
            }
            server.entry = Some(entry);
            if is_new_process {
                // All proxies receive the list entry of a cold server at the same time: a random phase
                // spreads out their first connections.
                self.state
                    .reset_slow_start(id, self.rng.random_range(0.0..1.0));
            }
            self.start_periodic_probes(id, out);
        }
        self.subscribe_if_needed(out);
    }

    fn subscribe_if_needed(&mut self, out: &mut Vec<Action>) {
        if self.settings.requires_subscription && !self.subscribed {
            self.subscribed = true;
            out.push(Action::Subscribe);
        }
    }

    /// Sets the admission mode. At [`AdmissionMode::Nothing`] every request that is not open yet is given
    /// up: it gets its final answer and no further attempt.
    fn on_admission_mode(&mut self, mode: AdmissionMode, out: &mut Vec<Action>) {
        self.admission_mode = mode;
        if mode != AdmissionMode::Nothing {
            return;
        }
        let is_not_open =
            |(_, conn): &(&RequestId, &Connection)| !matches!(conn.phase, Phase::Open(_));
        let pending = self.state.connections.iter().filter(is_not_open);
        for id in pending.map(|(id, _)| *id).collect::<Vec<_>>() {
            if let Some(attempt) = self
                .state
                .abandon_attempt(id)
                .filter(|_| self.settings.may_cancel)
            {
                out.push(Action::Cancel(id, attempt));
            }
            self.waiting_requests.remove(&id);
            self.give_up_request(id, GiveUpReason::NotTaking, out);
        }
    }

    // Probes and load reports.

    /// The probe interval per server at which probing `probed` servers stays within the allowed cost.
    fn probe_interval(&self, probed: usize) -> Seconds {
        let allowed_cost_rate =
            (self.state.new_request_rate() * PROBE_COST_SHARE).max(f64::MIN_POSITIVE);
        (self.settings.price_probe * probed as f64 / allowed_cost_rate).max(MIN_PROBE_INTERVAL)
    }

    /// Whether to probe a server: all servers where that is cheap, otherwise those in use and unresponsive
    /// ones.
    fn should_probe(&self, server: &Server) -> bool {
        let in_use = server.unresponsive || !server.own_requests.is_empty();
        let is_affordable_for_all =
            || self.probe_interval(self.state.servers.len()) <= MAX_PROBE_INTERVAL;
        server.is_available() && self.settings.may_probe && (in_use || is_affordable_for_all())
    }

    fn start_periodic_probes(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let server = &self.state.servers[&id];
        if !server.is_probed && self.should_probe(server) {
            self.state.set_probed(id, true);
            // The first interval is random, so that servers listed together are not always probed together.
            self.send_periodic_probe(id, 0.0..1.0, out);
        }
    }

    fn on_probe_timer(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let Some(server) = self.state.servers.get(&id).filter(|s| s.is_probed) else {
            return;
        };
        if self.should_probe(server) {
            return self.send_periodic_probe(id, 0.9..1.1, out);
        }
        // An outdated metric is dropped; the server counts at the mean of the others again.
        self.state.update_server(id, |server| server.metric = None);
        self.state.set_probed(id, false);
    }

    /// Probes a server, if the quota allows it, and schedules its next probe after a random fraction,
    /// within `fraction`, of the current interval.
    fn send_periodic_probe(&mut self, id: ServerId, fraction: Range<f64>, out: &mut Vec<Action>) {
        let interval = self
            .probe_interval(self.state.probed_servers)
            .min(MAX_PROBE_INTERVAL);
        if self.state.check_quota(QuotaKind::Probes, 0) {
            self.state
                .quotas
                .spend_unit(QuotaKind::Probes, self.state.now);
            self.state
                .update_server(id, |server| server.periodic_probe_pending = true);
            out.push(Action::Probe(id));
        }
        let delay = interval * self.rng.random_range(fraction);
        out.push(Action::Timer(delay, TIMER_PROBE_BASE + u64::from(id)));
    }

    fn on_probe_result(&mut self, id: ServerId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(server) = self.state.servers.get_mut(&id) else {
            return;
        };
        server.last_result_at = Some(self.state.now);
        // Additional probes must not cause additional moves: only one probe per interval may.
        let was_periodic = std::mem::take(&mut server.periodic_probe_pending);
        match outcome {
            // A server that rejects probes is alive.
            Outcome::Full | Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFailure => {}
            Outcome::Ok => server.unresponsive = false,
            _ => self.mark_unresponsive(id),
        }
        if was_periodic && outcome == Outcome::Ok {
            self.move_excess_connections(id, out);
        }
        // Requests make probes of all servers affordable after the list has arrived; until then only
        // servers in use are probed.
        let (probed, all) = (self.state.probed_servers, self.state.servers.len());
        if probed < all && self.probe_interval(all) <= MAX_PROBE_INTERVAL {
            for id in self.state.unprobed_servers() {
                self.start_periodic_probes(id, out);
            }
        }
    }

    /// Records a message delay at a server. It outweighs reports: while messages of own connections are
    /// late, the server counts as past its capacity.
    fn on_message_delay(&mut self, id: ServerId, delay: Seconds, out: &mut Vec<Action>) {
        let is_late = self
            .settings
            .message_delay_target
            .is_some_and(|target| delay > target);
        let slow_answer_at = is_late.then_some(self.state.now);
        self.state
            .update_server(id, |server| server.last_slow_answer_at = slow_answer_at);
        let reported_load = |server: &Server| server.metric_since(self.state.now - METRIC_MAX_AGE);
        let reports_room =
            |server: &Server| reported_load(server).is_some_and(|load| load <= LOAD_THRESHOLD);
        if is_late && self.state.servers.get(&id).is_some_and(reports_room) {
            self.move_excess_connections(id, out);
        }
    }

    /// A server's load according to its report, or `SLOW_SERVER_LOAD` if that is more while messages are
    /// late there.
    fn effective_load(&self, server: &Server, metric: f64) -> f64 {
        let reports_load = self.settings.report_fields.contains(&ReportField::Load);
        match reports_load && server.had_slow_answer_since(self.state.now - SLOW_ANSWER_MAX_AGE) {
            true => metric.max(SLOW_SERVER_LOAD),
            false => metric,
        }
    }

    /// Stores the metric of a report, in the design's metric order: load, connections, queue.
    fn record_report(&mut self, id: ServerId, report: Report) {
        let metric = report.load.or(report.connections).or(report.queue);
        // Invalid metrics are ignored, and huge ones capped, or one would dominate all capacity estimates.
        if let Some(metric) = metric.filter(|f| f.is_finite() && *f >= 0.0) {
            let max_metric = report.load.map_or(f64::MAX, |_| MAX_PLAUSIBLE_LOAD);
            let now = self.state.now;
            self.state.update_server(id, |server| {
                server.metric = Some(metric.min(max_metric));
                server.last_result_at = Some(now);
                server.reported_connections = report.connections.filter(|_| report.load.is_some());
                server
                    .pending_placements
                    .retain(|(at, _)| *at > now - MAX_REPORT_DELAY);
            });
            if self.state.start_estimate_if_due(RETRY_INTERVAL) {
                self.estimate_metric_per_load();
            }
        }
    }

    /// The number of balancers that place on the same servers: balancers stay within their zone while they
    /// can.
    fn balancers_per_zone(&self) -> f64 {
        (self.settings.fleet_size as f64 / self.settings.zones.max(1) as f64).max(1.0)
    }

    /// Estimates how much a unit of load adds to a server's metric, for each kind of server. Servers that
    /// hold more own load have more weight.
    fn estimate_metric_per_load(&mut self) {
        let (sums, peers) = (
            self.state.sum_metrics(&self.settings, METRIC_MAX_AGE),
            self.balancers_per_zone(),
        );
        // After a restart of this balancer there is too little own load for an estimate: the default has
        // more weight, or all servers would seem tiny permanently.
        let mean_load = self.state.mean_load();
        let default_estimate = 1.0 / DEFAULT_CAPACITY / mean_load;
        let mut estimates = BTreeMap::from([(
            None,
            [default_estimate, default_estimate * CONSERVATIVE_FACTOR],
        )]);
        for (kind, sum) in sums {
            let weight = sum.servers * (DEFAULT_WEIGHT * mean_load).powi(2);
            let default_sum = weight * default_estimate / sum.relative_size;
            let estimate = |default_sum| {
                (sum.metric_times_load / peers + default_sum) / (sum.load_squared + weight)
            };
            // Where servers report their connections together with the load, the default is not needed.
            let from_connections = sum.metric / (sum.connections * mean_load);
            let measured = [from_connections.clamp(
                default_estimate / MAX_PLAUSIBLE_LOAD,
                default_estimate * MAX_PLAUSIBLE_LOAD,
            ); 2];
            let blended = [
                estimate(default_sum),
                estimate(default_sum * CONSERVATIVE_FACTOR),
            ];
            let reports_connections = sum.connections > 0.0;
            estimates.insert(
                kind,
                if reports_connections {
                    measured
                } else {
                    blended
                },
            );
        }
        self.state.metric_per_load = estimates;
    }

    // Requests.

    /// Handles the end of an attempt or of an open connection.
    fn on_outcome(&mut self, ended: AttemptEnd, out: &mut Vec<Action>) {
        let (id, server, outcome) = (ended.id, ended.server, ended.outcome);
        let Some(was_in_flight) = self.state.end_attempt(&ended) else {
            return;
        };
        let now = self.state.now;
        if was_in_flight && self.counts_against_server(&ended) {
            let is_unresponsive = matches!(outcome, Outcome::ConnectFailed | Outcome::TimedOut);
            // An unreachable server is no sign of a failure of dependencies that all servers share.
            self.failures
                .add(now, FAILURE_DECAY, f64::from(!is_unresponsive));
            self.state
                .update_server(server, |server| server.errors.add(now, FAILURE_DECAY, 1.0));
            if is_unresponsive {
                self.mark_unresponsive(server);
            }
            self.start_periodic_probes(server, out);
        }
        if !was_in_flight && outcome == Outcome::Reset {
            self.connection_resets.add(now, FAILURE_DECAY, 1.0);
        }
        if ended.is_final {
            self.state.remove_request(id);
        } else if was_in_flight {
            self.state.detach_from_server(id);
            if outcome == Outcome::LocalFailure {
                // An attempt at any server would fail now for the same shortage on this machine.
                self.state.revert_attempt(id);
                return self.enqueue_request(id, None, out);
            }
            self.place_request(id, out);
        }
    }

    /// Whether the outcome of an attempt counts against its server. A time-out does not if the attempt was
    /// given too small a fraction of the target set-up time.
    fn counts_against_server(&self, ended: &AttemptEnd) -> bool {
        match ended.outcome {
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFailure => false,
            Outcome::TimedOut => self.state.connections.get(&ended.id).is_none_or(|conn| {
                let setup_target = self.settings.classes[conn.request.class].setup_target;
                conn.deadline - conn.sent_at >= setup_target * MIN_TIMEOUT_SHARE
            }),
            _ => true,
        }
    }

    /// Marks a server as unresponsive until it answers a probe or, where probes are not permitted, adds
    /// failures that eject it until they decay.
    fn mark_unresponsive(&mut self, id: ServerId) {
        let (now, may_probe) = (self.state.now, self.settings.may_probe);
        self.state.update_server(id, |server| match may_probe {
            true => server.unresponsive = true,
            false => server
                .errors
                .add(now, FAILURE_DECAY, 2.0 * EJECTION_THRESHOLD),
        });
    }

    /// Sends a request to its lowest-ranked server, lets it wait while no server accepts connections, or
    /// gives it up at once.
    fn place_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(conn) = self.state.connections.get(&id) else {
            return;
        };
        let now = self.state.now;
        let time_left = conn.deadline - now;
        let setup_target = self.settings.classes[conn.request.class].setup_target;
        let attempts = conn.tried_servers.len();
        let (waited, may_probe) = (
            conn.request.client_timeout - time_left,
            self.may_probe_on_demand(conn),
        );
        if let Some(reason) = self.find_refusal_reason(id, time_left) {
            return self.give_up_request(id, reason, out);
        }
        if let Some((kind, max_wait)) = self.find_full_quota(id, waited < RETRY_INTERVAL / 2.0) {
            return match waited < max_wait && time_left > setup_target {
                true => self.enqueue_request(id, None, out),
                false => self.give_up_request(id, GiveUpReason::Part(kind), out),
            };
        }
        let Some(target) = self.choose_server(id) else {
            // In a fleet that is restarted or wholly cold a server may become available soon, so the
            // request waits; in a full one it does not.
            let any_available = self
                .state
                .servers
                .iter()
                .any(|(id, s)| self.accepts_placement(*id, s));
            if any_available || attempts > 0 || time_left <= setup_target {
                return self.give_up_request(id, GiveUpReason::NoServer, out);
            }
            return self.enqueue_request(id, None, out);
        };
        let server = &self.state.servers[&target];
        if may_probe && !server.has_result_since(now - MAX_REPORT_DELAY) {
            // Without a probe, balancers that never used this server would all assume the mean load, even
            // if it is full.
            if !server.probed_on_demand_since(now - MAX_REPORT_DELAY) {
                out.push(Action::Probe(target));
                self.state.quotas.spend_unit(QuotaKind::Probes, now);
                self.state.record_on_demand_probe(target, id);
            }
            return self.enqueue_request(id, Some(target), out);
        }
        let (turns, gap) = (
            self.cold_turns_at(server, now),
            self.settings.overload_duration / 4.0,
        );
        let is_cold = server.remaining_warm_up(now, &self.settings) > 0.0;
        let conn = &self.state.connections[&id];
        let load = conn.load + self.added_group_load(conn, server);
        // A repeat of a keyed request is harmless only until servers forget the request.
        let class = &self.settings.classes[conn.request.class];
        let first_keyed_run = conn
            .first_possible_run
            .filter(|_| class.idempotency == Idempotency::Keyed);
        let repeat_within = first_keyed_run.map(|(_, sent_at)| sent_at + class.dedup_window - now);
        if attempts > 0 {
            self.state.record_retry(id, &self.settings);
        }
        self.state
            .attach_to_server(id, target, Phase::InFlight(target));
        self.state.record_placement(target, load, turns, gap);
        if is_cold {
            self.state
                .quotas
                .reserve_unit(id, QuotaKind::Cold, Some(target));
        }
        self.start_periodic_probes(target, out);
        let timeout = time_left.min(setup_target.max(time_left / 2.0));
        // A leased unit may be granted to another balancer once the lease has expired.
        let retry = (attempts > 0).then_some((QuotaKind::Further, None));
        let cold = is_cold.then_some((QuotaKind::Cold, Some(target)));
        let leases = [retry, cold].into_iter().flatten();
        let leases = leases
            .filter_map(|(kind, server)| self.state.quotas.remaining_lease(kind, server, now));
        let begin_within = leases.chain(repeat_within).min_by(Seconds::total_cmp);
        out.push(Action::Send(id, target, timeout, begin_within));
    }

    /// Whether a quota or the budget counts from the moment when the line of a request's latest attempt is
    /// written. If so, the host reports that write with [`Event::Written`].
    pub fn awaits_write(&self, id: RequestId) -> bool {
        self.state.awaits_write(id)
    }

    /// The reason why a request gets no attempt now, regardless of which servers are available; `None` if
    /// there is no such reason.
    fn find_refusal_reason(&mut self, id: RequestId, time_left: Seconds) -> Option<GiveUpReason> {
        let attempts = self.state.connections[&id].tried_servers.len();
        if time_left <= 0.0 {
            return Some(GiveUpReason::DeadlineOver);
        }
        if attempts >= self.settings.max_attempts {
            return Some(GiveUpReason::Attempts);
        }
        if self.admission_mode == AdmissionMode::Nothing {
            return Some(GiveUpReason::NotTaking);
        }
        if self.should_throttle(id) {
            return Some(GiveUpReason::Throttled);
        }
        // Retries may be limited by the settings' budget and by a quota that balancers share.
        let is_within_budget = attempts == 0 || self.has_retry_budget_left();
        (!is_within_budget).then_some(GiveUpReason::FurtherAttempts)
    }

    /// Whether the retry budget and this balancer's retry quota have room for one more attempt.
    fn has_retry_budget_left(&mut self) -> bool {
        let budget = self.settings.retry_budget;
        budget.is_none_or(|budget| self.state.remaining_retry_budget(&budget) >= 1.0)
            && self.state.check_quota(QuotaKind::Further, 0)
    }

    /// The quota of a request's class or tenant that has no unit left for it, if there is one, and how long
    /// after its arrival an exchange among balancers may still bring one. Only a request that has just
    /// arrived is counted as denied.
    fn find_full_quota(
        &mut self,
        id: RequestId,
        just_arrived: bool,
    ) -> Option<(QuotaKind, Seconds)> {
        let request = &self.state.connections[&id].request;
        // The tenant's count includes the request from its arrival.
        let tenant = request.tenant.map(|tenant| (QuotaKind::Tenant(tenant), 1));
        let quotas = [Some((QuotaKind::Class(request.class), 0)), tenant];
        let is_exhausted =
            |(kind, own_units): &(QuotaKind, u64)| !self.state.has_quota_left(*kind, *own_units);
        let (kind, _) = quotas.into_iter().flatten().find(is_exhausted)?;
        if just_arrived {
            self.state.quotas.record_denial(kind);
        }
        Some((kind, self.state.quotas.max_wait(kind)))
    }

    /// The usage of each quota for which an allowance was set.
    pub fn quota_usage(&mut self, now: Seconds) -> Vec<QuotaUsage> {
        self.state.quota_usage(now)
    }

    /// Lets a request wait for the probe result of the server `awaited`, and in any case for the next
    /// retry.
    fn enqueue_request(&mut self, id: RequestId, awaited: Option<ServerId>, out: &mut Vec<Action>) {
        self.waiting_requests.insert(id, awaited);
        if !std::mem::replace(&mut self.retry_timer_pending, true) {
            out.push(Action::Timer(RETRY_INTERVAL, TIMER_RETRY));
        }
    }

    /// Retries the requests that wait for the server `answered`, or all. Retrying all of them at each
    /// answer took too long in a burst of requests.
    fn retry_waiting_requests(&mut self, answered: Option<ServerId>, out: &mut Vec<Action>) {
        let is_due = |awaited: &Option<ServerId>| answered.is_none() || *awaited == answered;
        let ready = self
            .waiting_requests
            .extract_if(.., |_, awaited| is_due(awaited));
        for (id, _) in ready.collect::<Vec<_>>() {
            self.place_request(id, out);
        }
    }

    /// Whether to refuse a request by adaptive throttling: where far more attempts fail than succeed, a
    /// dependency that servers share fails, and more requests would keep it down.
    fn should_throttle(&mut self, id: RequestId) -> bool {
        let successes = self.successes.value_at(self.state.now, FAILURE_DECAY);
        let attempts = self.failures.value_at(self.state.now, FAILURE_DECAY) + successes;
        let failure_excess = (attempts - TOLERATED_ATTEMPTS * successes - 5.0) / (attempts + 1.0);
        // Full servers shed the newest connections, whatever their worth. A balancer without connections
        // has no mean worth to compare with.
        let has_connections = self.state.active_connections().min(1) as f64;
        let shedding_probability = SHEDDING_FACTOR
            * self.reset_level()
            * has_connections
            * self.worth_deficit(&self.state.connections[&id]);
        self.rng.random::<f64>() < failure_excess.max(shedding_probability)
    }

    /// The load over capacity up to which a server may be filled with this request. It is lower for a
    /// request that is worth less for its load than the mean here. There is no limit where servers report
    /// no load, nor after a long series of refusals, as the metrics of a few servers may have caused them.
    fn load_limit(&self, conn: &Connection) -> f64 {
        let reports_load = self.settings.report_fields.contains(&ReportField::Load);
        if !reports_load
            || self
                .state
                .is_rejecting_all(TRIAL_REJECTIONS, TRIAL_INTERVAL)
        {
            return f64::INFINITY;
        }
        LOAD_THRESHOLD * (1.0 - LOW_WORTH_RESERVE * self.worth_deficit(conn))
    }

    /// How far a request's worth for its load is below the mean of the connections here, from 0 to 1.
    fn worth_deficit(&self, conn: &Connection) -> f64 {
        let total_worth = self.state.worth_held(&self.settings);
        let scaled_worth = self.request_worth(&conn.request)
            * self.state.mean_load()
            * self.state.active_connections() as f64;
        1.0 - (scaled_worth / (conn.load * total_worth).max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// The level of recent connection resets, from 0 to 1. Where servers report no load, resets show that
    /// they are full; elsewhere it is 0.
    fn reset_level(&self) -> f64 {
        let reports_load = self.settings.report_fields.contains(&ReportField::Load);
        f64::from(!reports_load)
            * self
                .connection_resets
                .value_at(self.state.now, FAILURE_DECAY)
                .min(1.0)
    }

    /// A request's worth, which is reduced while its tenant exceeds its share.
    fn request_worth(&self, request: &Request) -> f64 {
        let is_over_share = request.tenant.is_some_and(|tenant| {
            let quota = self.settings.tenants[tenant].quota.unwrap_or(f64::INFINITY);
            let share = quota / self.settings.fleet_size as f64;
            // In a large fleet a share is a few connections, and random variation alone adds as many.
            self.state.tenant_counts[tenant] as f64 > share + share.sqrt()
        });
        let factor = if is_over_share {
            self.settings.over_share_worth
        } else {
            1.0
        };
        factor * self.settings.classes[request.class].worth
    }

    /// The requests that were given up at the latest event, with the reasons.
    pub fn given_up_requests(&self) -> &[(RequestId, GiveUpReason)] {
        &self.given_up
    }

    /// Gives a request its final answer: a refusal if a repeat is harmless, otherwise a failure.
    fn give_up_request(&mut self, id: RequestId, reason: GiveUpReason, out: &mut Vec<Action>) {
        let Some(conn) = self.state.reject_request(id) else {
            return;
        };
        self.given_up.push((id, reason));
        let class = &self.settings.classes[conn.request.class];
        let is_keyed_everywhere =
            class.idempotency == Idempotency::Keyed && class.dedup_scope == DedupScope::All;
        // A refusal guarantees that a repeat is harmless.
        if conn.first_possible_run.is_none()
            || class.idempotency == Idempotency::Safe
            || is_keyed_everywhere
        {
            let retry_after = self.settings.max_retry_after * self.rng.random_range(0.5..1.0);
            out.push(Action::Refuse(
                id,
                self.settings.may_retry_after.then_some(retry_after),
            ));
        } else {
            out.push(Action::Fail(id));
        }
    }

    /// Whether another attempt on `server` is harmless even if an earlier one has run.
    fn is_retry_safe(&self, conn: &Connection, server: &Server) -> bool {
        let class = &self.settings.classes[conn.request.class];
        let Some((first_server, sent_at)) = conn.first_possible_run else {
            return true;
        };
        let shares_scope = self
            .state
            .shares_dedup_scope(class.dedup_scope, first_server, server);
        class.idempotency == Idempotency::Safe
            || class.idempotency == Idempotency::Keyed
                && shares_scope
                && self.state.now < sent_at + class.dedup_window
    }

    // Ranking.

    /// Chooses the lowest-ranked server with room for a request, among the first in the order of its group
    /// or, without a group, of this balancer.
    fn choose_server(&mut self, id: RequestId) -> Option<ServerId> {
        let key = self.state.server_order_key(id, &self.settings);
        let ranked = self.rank_servers(id, key);
        if self.is_denied_cold_server(key) {
            self.state.quotas.record_denial(QuotaKind::Cold);
        }
        // Ties are broken at random.
        let best = ranked.iter().map(|r| r.0).fold(f64::INFINITY, f64::min);
        let ties = ranked.iter().filter(|r| r.0 <= best);
        ties.choose(&mut self.rng).map(|r| r.1)
    }

    /// The servers with room for a request, among the first in the order of `key`, with their ranks. A
    /// lower rank is better.
    fn rank_servers(&self, id: RequestId, key: u64) -> Vec<(f64, ServerId)> {
        let conn = &self.state.connections[&id];
        let (now, scarcity) = (self.state.now, self.scarcity());
        let (limit, may_probe, placers) = (
            self.load_limit(conn),
            self.may_probe_on_demand(conn),
            self.concurrent_placers(),
        );
        // Repeated requests and connection resets show that servers are full: turns at cold servers are
        // used first.
        let reports_load = self.settings.report_fields.contains(&ReportField::Load);
        let prefers_cold = !reports_load && (conn.request.is_repeat || self.reset_level() > 0.5);
        let servers = self.state.first_servers_in_order(key, CANDIDATES);
        let servers = servers.map(|(position, id)| (position, id, &self.state.servers[&id]));
        let candidates: Vec<_> = servers
            .filter(|(_, id, s)| self.accepts_placement(*id, s))
            .collect();
        // Outlier ejection: unresponsive and failing servers get no requests while there are others.
        let any_healthy = candidates
            .iter()
            .any(|(_, _, server)| !self.is_ejected(server));
        // Servers without room are left out before ranking, or a group's full server would hide an idle
        // one. While room is scarce, a group is not spread over further servers.
        let mut ranked = Vec::new();
        for (position, id, server) in candidates {
            let is_excluded = conn.tried_servers.contains(&id) || !self.is_retry_safe(conn, server);
            if is_excluded || any_healthy && self.is_ejected(server) {
                continue;
            }
            let group_load =
                self.added_group_load(conn, server) * self.state.metric_per_load_of(server);
            let penalty = match prefers_cold && server.remaining_warm_up(now, &self.settings) > 0.0
            {
                true => position as f64 / CANDIDATES as f64 - 1.0,
                false => {
                    GROUP_PENALTY_FACTOR * (1.0 + position as f64 / PLACES_PER_PENALTY) * group_load
                }
            };
            let load = self.load_with_request(conn, server, placers);
            // The room on a server without a recent metric is probed, not estimated, unless all servers are
            // probably overloaded.
            let lacks_metric = server.metric_since(now - METRIC_MAX_AGE).is_none();
            let will_probe = lacks_metric
                && may_probe
                && (scarcity < 0.5 || self.state.reporting_servers < MAX_PROBED_SERVERS);
            if will_probe || load + penalty * scarcity <= limit {
                ranked.push((load + penalty + self.rank_penalty(server), id));
            }
        }
        ranked
    }

    /// Whether requests may be placed on a server now: it is available and, while it is cold, the quota and
    /// this balancer's turn allow it.
    fn accepts_placement(&self, id: ServerId, server: &Server) -> bool {
        // Turns apply only during the warm-up: in a large fleet most of them would come after its end.
        let now = self.state.now;
        if !server.is_available() || server.remaining_warm_up(now, &self.settings) == 0.0 {
            return server.is_available();
        }
        if !self.state.has_cold_quota_left(id) {
            return false;
        }
        // A turn that was not used in time is lost, or all balancers could use their saved turns at once
        // and overload the server.
        let turn_interval = self.state.fleet_turns_per_own_turn(&self.settings);
        let turn = server.turn_at_last_placement + turn_interval * server.turn_offset;
        let missed_turns = self.cold_turns_at(
            server,
            now - TURN_VALIDITY * self.settings.overload_duration,
        ) - turn;
        let turn = turn + turn_interval * (missed_turns / turn_interval).ceil().max(0.0);
        now >= server.next_placement_at && self.cold_turns_at(server, now) >= turn
    }

    /// Whether this balancer's quota for cold servers, or the turns that result from it, keep it from using
    /// one of them.
    fn is_denied_cold_server(&self, key: u64) -> bool {
        if !self.state.quotas.is_limited(QuotaKind::Cold) {
            return false;
        }
        let is_cold = |s: &Server| {
            s.is_available() && s.remaining_warm_up(self.state.now, &self.settings) > 0.0
        };
        let first = self.state.first_servers_in_order(key, CANDIDATES);
        let mut servers = first.map(|(_, id)| (id, &self.state.servers[&id]));
        servers.any(|(id, s)| is_cold(s) && !self.accepts_placement(id, s))
    }

    fn is_ejected(&self, server: &Server) -> bool {
        server.unresponsive
            || server.errors.value_at(self.state.now, FAILURE_DECAY) > EJECTION_THRESHOLD
    }

    /// A server's load with the request on it, and with its group's cost there: the reported metric, and
    /// own placements since then, multiplied by the number of balancers that are assumed to place there
    /// too.
    fn load_with_request(&self, conn: &Connection, server: &Server, placers: f64) -> f64 {
        let added =
            server.pending_load() * placers + conn.load + self.added_group_load(conn, server);
        let metric = server.metric_since(self.state.now - METRIC_MAX_AGE);
        // A cold server without a metric counts as empty: the turns of all balancers limit the number
        // of connections on it.
        let is_cold = server.remaining_warm_up(self.state.now, &self.settings) > 0.0;
        let assumed_metric = if is_cold { 0.0 } else { self.state.mean_metric };
        self.effective_load(server, metric.unwrap_or(assumed_metric))
            + added * self.state.metric_per_load_of(server)
    }

    /// Whether a request may still wait for an on-demand probe.
    fn may_probe_on_demand(&self, conn: &Connection) -> bool {
        let waited = self.state.now - (conn.deadline - conn.request.client_timeout);
        let max_wait = PROBE_WAIT_SHARE * self.settings.classes[conn.request.class].setup_target;
        let may_probe = self.settings.may_probe && self.state.has_quota_left(QuotaKind::Probes, 0);
        may_probe && waited <= max_wait && conn.on_demand_probes < MAX_PROBED_SERVERS
    }

    /// The number of balancers that are assumed to place on the same server before reports show it: those
    /// of this zone, and all of them as room gets scarce. The number of connections that the whole fleet
    /// places on a server in that time bounds it.
    fn concurrent_placers(&self) -> f64 {
        let fleet_size = self.settings.fleet_size as f64;
        let peers =
            self.balancers_per_zone() + (fleet_size - self.balancers_per_zone()) * self.scarcity();
        let fleet_placements = fleet_size * self.state.placement_rate() * MAX_REPORT_DELAY;
        peers.min(1.0 + fleet_placements / self.state.servers.len().max(1) as f64)
    }

    /// How scarce room is on the servers, from 0 to 1.
    fn scarcity(&self) -> f64 {
        ((self.state.mean_metric / LOAD_THRESHOLD - SCARCITY_START) / (1.0 - SCARCITY_START))
            .clamp(0.0, 1.0)
    }

    /// The load that a connection's group adds to a server that holds none of its connections yet,
    /// otherwise 0.
    fn added_group_load(&self, conn: &Connection, server: &Server) -> f64 {
        let costs_nothing =
            |group| !self.settings.group_affinity || server.group_counts.contains_key(&group);
        let adds_group = !conn.request.group.is_none_or(costs_nothing);
        f64::from(adds_group) * GROUP_COST * self.state.mean_load()
    }

    /// The load that is added to a server's rank for suspicion, failures and the cross-zone price.
    fn rank_penalty(&self, server: &Server) -> f64 {
        let crosses_zone = f64::from(server.is_in_other_zone(self.settings.zone));
        f64::from(server.is_suspected()) * SUSPECTED_PENALTY
            + crosses_zone * CROSS_ZONE_LOAD * self.settings.price_cross_zone
            + server.errors.value_at(self.state.now, FAILURE_DECAY)
    }

    /// The number of connections that all balancers together may have placed on a cold server from its
    /// listing to `at`. It grows with the server's capacity during the warm-up. Each connection is one
    /// turn, and each balancer uses only its own turns.
    fn cold_turns_at(&self, server: &Server, at: Seconds) -> f64 {
        // The overload limit, based on a warm server that would fill up within the length of a warm-up.
        let capacity = 1.0
            / (self.state.conservative_metric_per_load_of(server) * self.state.mean_load())
                .max(1e-3);
        self.settings.overload_multiple * capacity / self.settings.slow_start_window
            * server.capacity_weighted_uptime(at, &self.settings)
    }

    // Moves.

    /// Moves the connection with the least worth for its load off a server above the threshold, if another
    /// server has room for it. A server close to its capacity serves all its clients badly: this balancer's
    /// part of its excess is moved even without room elsewhere, and those clients reconnect to be placed or
    /// refused.
    fn move_excess_connections(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let reports_load = self.settings.report_fields.contains(&ReportField::Load);
        let count_limit = COUNT_MOVE_RATIO * self.state.mean_metric;
        let limit = if reports_load {
            LOAD_THRESHOLD
        } else {
            count_limit
        };
        let server = &self.state.servers[&id];
        let reported = server.metric.unwrap_or(0.0);
        let server_load = self.effective_load(server, reported);
        if server_load <= limit || !server.is_available() {
            return;
        }
        let conn = |id: &RequestId| &self.state.connections[id];
        let is_open = |id: &&RequestId| matches!(conn(id).phase, Phase::Open(_));
        let mut own_connections: Vec<RequestId> = server
            .own_requests
            .iter()
            .filter(is_open)
            .copied()
            .collect();
        let worth_per_load = |id: &RequestId| {
            self.request_worth(&conn(id).request) / self.load_freed_by(conn(id), server)
        };
        own_connections.sort_by(|a, b| worth_per_load(a).total_cmp(&worth_per_load(b)));
        let Some(&first) = own_connections.first() else {
            return;
        };
        let own_share = server.own_load / server_load;
        // A move to a server that would itself exceed the threshold only spreads the overload.
        let key = self.state.server_order_key(first, &self.settings);
        let (conn, placers) = (&self.state.connections[&first], self.concurrent_placers());
        let has_room = |s: &Server| self.load_with_request(conn, s, placers) < limit;
        let servers = self.state.first_servers_in_order(key, CANDIDATES);
        let mut servers = servers.map(|(_, id)| (id, &self.state.servers[&id]));
        let room_elsewhere = servers.any(|(id, s)| {
            self.accepts_placement(id, s) && !s.unresponsive && !s.is_suspected() && has_room(s)
        });
        drop(servers);
        let is_critical = reports_load && reported > CRITICAL_LOAD;
        if !room_elsewhere && !is_critical {
            return;
        }
        let limit = if room_elsewhere { limit } else { CRITICAL_LOAD };
        let max_moves = if is_critical {
            own_connections.len()
        } else {
            1
        };
        // Peers see the same metric: all balancers together should move the excess, not each of them.
        let mut excess = EXCESS_MOVE_FACTOR * own_share * (server_load - limit);
        for id in own_connections.into_iter().take(max_moves) {
            let load = self.state.connections[&id].load;
            if self.rng.random::<f64>() * load < excess
                && self.state.check_quota(QuotaKind::Moves, 0)
            {
                self.state
                    .quotas
                    .spend_unit(QuotaKind::Moves, self.state.now);
                out.push(Action::Move(id));
            }
            excess -= load;
        }
    }

    /// The load that a move of the connection removes from the server, including its part of the group's
    /// cost there.
    fn load_freed_by(&self, conn: &Connection, server: &Server) -> f64 {
        let group = conn.request.group.filter(|_| self.settings.group_affinity);
        let group_count = group.and_then(|group| server.group_counts.get(&group));
        let group_load = group_count.map_or(0.0, |&n| GROUP_COST / n as f64);
        (conn.load + group_load * self.state.mean_load()).max(f64::MIN_POSITIVE)
    }
}

//! Every decision of the balancer; its interface is `api.rs`, and `state.rs` keeps the books.
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

/// Load over capacity beyond which a connection is moved off a server, and no server is given more.
const THRESHOLD: f64 = 0.85;
/// Where only connection counts are known: the count over the servers' mean that triggers a move.
const COUNT_TRIGGER: f64 = 1.3;
/// The part of `THRESHOLD` that all servers are filled to when room begins to be short.
const SCARCE: f64 = 0.7;
/// The part of `THRESHOLD` that is kept from what is worth nothing for its load.
const LESS_ROOM: f64 = 0.1;
/// What lacks worth for its load is refused so many times as often, where clients are cut off.
const SHED: f64 = 2.0;
/// Load over capacity beyond which connections go at once, even if there is no room for them elsewhere.
const DROWNING: f64 = 0.93;
/// What moves at once over what a figure shows to be too much: it is late.
const HASTE: f64 = 2.0;
/// Time between two probes of a server, if they are cheap, and the design's longest.
const PROBE_EVERY: Seconds = 1.0;
const PROBE_RARELY: Seconds = 5.0;
/// What probing may cost of the worth of the requests that come meanwhile.
const PROBE_BUDGET: f64 = 0.01;
/// A report may show the state of so long ago; own placements since then are added to it.
const REPORT_AGE: Seconds = 2.0;
/// By this much load a server that the list doubts ranks behind all others that have room.
const DOUBT: f64 = 1e6;
/// Load that a price of one for a zone crossing is worth.
const CROSS_LOAD: f64 = 6.0;
/// Connections' worth of load that a group is taken to cost on each server that holds any of it.
const GROUP_COST: f64 = 2.0;
/// By this many times its cost a server without the group ranks behind: the cost stays for long.
const GROUP_SHUN: f64 = 8.0;
/// By the same again a server ranks behind for each so many places in the group's common order.
const PLACES: f64 = 1.5;
/// How many servers of a common order, of the own zone and of the others, are ranked for a request.
const CANDIDATES: usize = 32;
/// So many usual connections a server is taken to hold until it is learned.
const USUAL_HELD: f64 = 50.0;
/// That guess weighs as much as so many own connections on each server.
const GUESS_WEIGHT: f64 = 5.0;
/// The highest load over capacity that is believed.
const PLAUSIBLE: f64 = 10.0;
/// By this a cold server is taken to be smaller than guessed, as far as its size is only guessed.
const GUESS_CARE: f64 = 3.0;
/// A turn at a cold server is kept for so many times the span that the fall budget is for.
const TURN_KEPT: f64 = 1.5;
/// Time constant of the judgement on failures, of a server and of the service as a whole.
const FORGIVE: Seconds = 5.0;
/// Attempts per success beyond which the service as a whole is taken to be failing.
const TOLERATED: f64 = 2.0;
/// The part of its aim that a request may wait for a fresh figure of its server.
const ASK_PART: f64 = 0.3;
/// How many servers are asked for a figure for one request at most.
const ASKS: usize = 4;
/// A figure so old means nothing.
const FORGOTTEN: Seconds = 7.0;
/// How often requests that wait are tried again, and at most sizes are learned.
const OFTEN: Seconds = 0.05;
/// Recent failures beyond which a server is ejected until they are forgiven.
const EJECT: f64 = 3.0;
/// The part of its aim that an attempt must have had for its silence to count against a server.
const FAIR_TIME: f64 = 0.5;
/// Whoever has turned so many away in a row, and sent none for so long, lets one try.
const STUCK: usize = 12;
const STUCK_FOR: Seconds = 3.5;

/// The load that a server counts at where own messages are late, and for how long after the last of them.
const SLOW: f64 = 1.2;
const SLOW_FOR: Seconds = 2.0;

const TIMER_ASK: u64 = 0;
const TIMER_WAIT: u64 = 1;
/// Probe timers carry the server's id above this.
const TIMER_PROBE: u64 = 1 << 32;

#[derive(Debug)]
pub struct Balancer {
    set: Settings,
    rng: Pcg64Mcg,
    state: State,
    waiting: BTreeMap<RequestId, Option<ServerId>>,
    wait_timer: bool,
    subscribed: bool,
    taking: AdmissionMode,
    failures: DecayingSum,
    successes: DecayingSum,
    cut_off: DecayingSum,
    given_up: Vec<(RequestId, GiveUpReason)>,
}

impl Balancer {
    pub fn new(set: Settings, seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            state: State::new(&set, [1.0 / USUAL_HELD, GUESS_CARE / USUAL_HELD]),
            waiting: BTreeMap::new(),
            wait_timer: false,
            subscribed: false,
            taking: AdmissionMode::All,
            failures: DecayingSum::default(),
            successes: DecayingSum::default(),
            cut_off: DecayingSum::default(),
            given_up: Vec::new(),
            set,
        }
    }

    /// Takes one event at `now` and appends what is to be done about it.
    pub fn handle_event(&mut self, now: Seconds, event: Event, out: &mut Vec<Action>) {
        self.state.now = now;
        self.given_up.clear();
        self.state.started_at.get_or_insert(now);
        match event {
            Event::Servers(kind, entries) => self.on_list(kind, entries, out),
            Event::Request(request) => {
                let id = self.state.on_request(request, &self.set);
                if self.state.start_learning_if_due(PROBE_EVERY) {
                    self.learn_units();
                }
                match self.taking {
                    AdmissionMode::All => self.place(id, out),
                    _ => self.give_up(id, GiveUpReason::NotTaking, out),
                }
            }
            Event::Open(request, server) => {
                self.state.on_open(request, server);
                self.start_probing(server, out);
            }
            Event::Written(id, server) => self.state.on_written(id, server),
            Event::Begun(id, server) => {
                self.successes.add(now, FORGIVE, 1.0);
                self.state.mark_open(id, server);
            }
            Event::Outcome(ended) => {
                self.hear(ended.server, ended.report);
                self.on_outcome(ended, out);
            }
            Event::Gone(id) => {
                let out_there = |conn: &Connection| matches!(conn.phase, Phase::InFlight(_));
                if let Some(conn) = self.state.remove_request(id).filter(out_there)
                    && self.set.may_cancel
                {
                    out.push(Action::Cancel(id, conn.attempts - 1));
                }
            }
            Event::LoadNote(id, load) => self.state.on_load(id, load),
            Event::Probed(server, outcome, report) => {
                self.hear(server, report);
                self.on_probed(server, outcome, out);
                self.place_waiting(Some(server), out);
            }
            Event::Taking(taking) => self.on_taking(taking, out),
            Event::Allowance(matter, part) => {
                self.state.quotas.set_allowance(matter, part);
                self.place_waiting(None, out);
            }
            Event::Settings(set) => {
                self.state.resize_counts(&set);
                self.state.clear_server_orders();
                self.set = *set;
            }
            Event::Timer(TIMER_ASK) => self.ask(out),
            Event::Timer(TIMER_WAIT) => {
                self.wait_timer = false;
                self.place_waiting(None, out);
            }
            Event::Timer(token) if token >= TIMER_PROBE => self.on_probe_timer(token as u32, out),
            Event::DelayNote(server, delay) => self.on_delay(server, delay, out),
            Event::Start | Event::Timer(_) => {}
        }
    }

    // The server list.

    fn on_list(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Unavailable {
            // A random wait, so that proxies that lost the list together don't ask together.
            self.subscribed = false;
            let after = self.set.ask_within * self.rng.random_range(0.05..0.2);
            return out.push(Action::Timer(after, TIMER_ASK));
        }
        if kind != ListKind::Update {
            self.state.mark_unlisted_gone(&entries);
        }
        self.state.clear_server_orders();
        for entry in entries {
            let id = entry.server;
            let server = self.state.servers.entry(id).or_default();
            let fresh = server.entry.as_ref().map(|old| old.born) != Some(entry.born);
            if fresh {
                // What is known of an old process no longer holds.
                (server.metric, server.unresponsive, server.errors) = Default::default();
            }
            server.entry = Some(entry);
            if fresh {
                // Proxies hear of a cold server together: their first connections are spread out.
                self.state
                    .reset_slow_start(id, self.rng.random_range(0.0..1.0));
            }
            self.start_probing(id, out);
        }
        self.ask(out);
    }

    fn ask(&mut self, out: &mut Vec<Action>) {
        if self.set.must_ask && !self.subscribed {
            self.subscribed = true;
            out.push(Action::Subscribe);
        }
    }

    /// A proxy that is emptied: what still waits at the end gets its answer, and must not go on.
    fn on_taking(&mut self, taking: AdmissionMode, out: &mut Vec<Action>) {
        self.taking = taking;
        if taking != AdmissionMode::Nothing {
            return;
        }
        let waits = |(_, conn): &(&RequestId, &Connection)| !matches!(conn.phase, Phase::Open(_));
        let left = self.state.connections.iter().filter(waits);
        for id in left.map(|(id, _)| *id).collect::<Vec<_>>() {
            if let Some(attempt) = self
                .state
                .abandon_attempt(id)
                .filter(|_| self.set.may_cancel)
            {
                out.push(Action::Cancel(id, attempt));
            }
            self.waiting.remove(&id);
            self.give_up(id, GiveUpReason::NotTaking, out);
        }
    }

    // Probes and what they tell.

    /// The time between two probes of a server for which `probed` of them cost what they may.
    fn probe_interval(&self, probed: usize) -> Seconds {
        let affordable = (self.state.new_request_rate() * PROBE_BUDGET).max(f64::MIN_POSITIVE);
        (self.set.price_probe * probed as f64 / affordable).max(PROBE_EVERY)
    }

    /// Whether to probe a server: all where that costs little, else those in use, and silent ones.
    fn worth_probing(&self, server: &Server) -> bool {
        let used = server.unresponsive || !server.own_requests.is_empty();
        let all = || self.probe_interval(self.state.servers.len()) <= PROBE_RARELY;
        server.is_available() && self.set.may_probe && (used || all())
    }

    fn start_probing(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let server = &self.state.servers[&id];
        if !server.is_probed && self.worth_probing(server) {
            self.state.set_probed(id, true);
            // Servers heard of together are not probed together for good.
            self.probe(id, 0.0..1.0, out);
        }
    }

    fn on_probe_timer(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let Some(server) = self.state.servers.get(&id).filter(|s| s.is_probed) else {
            return;
        };
        if self.worth_probing(server) {
            return self.probe(id, 0.9..1.1, out);
        }
        // An old figure says nothing; the server counts at the others' mean again.
        self.state.update_server(id, |server| server.metric = None);
        self.state.set_probed(id, false);
    }

    /// Probes a server, and again after such a part of the present interval.
    fn probe(&mut self, id: ServerId, part: Range<f64>, out: &mut Vec<Action>) {
        let every = self
            .probe_interval(self.state.probed_servers)
            .min(PROBE_RARELY);
        if self.state.check_quota(QuotaKind::Probes, 0) {
            self.state
                .quotas
                .spend_unit(QuotaKind::Probes, self.state.now);
            self.state
                .update_server(id, |server| server.periodic_probe_pending = true);
            out.push(Action::Probe(id));
        }
        let again = every * self.rng.random_range(part);
        out.push(Action::Timer(again, TIMER_PROBE + u64::from(id)));
    }

    fn on_probed(&mut self, id: ServerId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(server) = self.state.servers.get_mut(&id) else {
            return;
        };
        server.last_result_at = Some(self.state.now);
        // Asking more often must not move more: one probe a round may.
        let in_round = std::mem::take(&mut server.periodic_probe_pending);
        match outcome {
            // A server that turns probes away is alive.
            Outcome::Full | Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFailure => {}
            Outcome::Ok => server.unresponsive = false,
            _ => self.suspect(id),
        }
        if in_round && outcome == Outcome::Ok {
            self.relieve(id, out);
        }
        // Requests make probes affordable after the list has come; till then all is probed that is used.
        let (probed, all) = (self.state.probed_servers, self.state.servers.len());
        if probed < all && self.probe_interval(all) <= PROBE_RARELY {
            for id in self.state.unprobed_servers() {
                self.start_probing(id, out);
            }
        }
    }

    /// What own connections meet outweighs a report: while messages are late a server is past its capacity.
    fn on_delay(&mut self, id: ServerId, delay: Seconds, out: &mut Vec<Action>) {
        let late = self.set.message_aim.is_some_and(|aim| delay > aim);
        let at = late.then_some(self.state.now);
        self.state
            .update_server(id, |server| server.last_slow_answer_at = at);
        let told = |server: &Server| server.metric_since(self.state.now - FORGOTTEN);
        let untrue = |server: &Server| told(server).is_some_and(|load| load <= THRESHOLD);
        if late && self.state.servers.get(&id).is_some_and(untrue) {
            self.relieve(id, out);
        }
    }

    /// A server's load as its report and own connections tell it.
    fn felt(&self, server: &Server, figure: f64) -> f64 {
        let by_load = self.set.report_fields.contains(&ReportField::Load);
        match by_load && server.had_slow_answer_since(self.state.now - SLOW_FOR) {
            true => figure.max(SLOW),
            false => figure,
        }
    }

    /// Takes the figure of a report, in the design's metric order.
    fn hear(&mut self, id: ServerId, report: Report) {
        let figure = report.load.or(report.connections).or(report.queue);
        // What is no figure says nothing; a huge one no more than a large one, or it would set all sizes.
        if let Some(figure) = figure.filter(|f| f.is_finite() && *f >= 0.0) {
            let most = report.load.map_or(f64::MAX, |_| PLAUSIBLE);
            let now = self.state.now;
            self.state.update_server(id, |server| {
                server.metric = Some(figure.min(most));
                server.last_result_at = Some(now);
                server.reported_connections = report.connections.filter(|_| report.load.is_some());
                server
                    .pending_placements
                    .retain(|(at, _)| *at > now - REPORT_AGE);
            });
            if self.state.start_learning_if_due(OFTEN) {
                self.learn_units();
            }
        }
    }

    /// How many balancers place on the same servers: zones keep to themselves while they can.
    fn sharers(&self) -> f64 {
        (self.set.fleet_size as f64 / self.set.zones.max(1) as f64).max(1.0)
    }

    /// Learns what a unit of load adds to a figure, by kind, most from servers that hold most own load.
    fn learn_units(&mut self) {
        let (sums, peers) = (self.state.sum_metrics(&self.set, FORGOTTEN), self.sharers());
        // After an own restart little own load says little: a guess weighs more, or all seem tiny for good.
        let usual = self.state.mean_load();
        let unit = 1.0 / USUAL_HELD / usual;
        let mut units = BTreeMap::from([(None, [unit, unit * GUESS_CARE])]);
        for (kind, sum) in sums {
            let weight = sum.servers * (GUESS_WEIGHT * usual).powi(2);
            let guess = weight * unit / sum.relative_size;
            let told =
                |guess| (sum.metric_times_load / peers + guess) / (sum.load_squared + weight);
            // Where servers tell their connections too, nothing is left to guess.
            let counted = sum.metric / (sum.connections * usual);
            let exact = [counted.clamp(unit / PLAUSIBLE, unit * PLAUSIBLE); 2];
            let guessed = [told(guess), told(guess * GUESS_CARE)];
            let known = sum.connections > 0.0;
            units.insert(kind, if known { exact } else { guessed });
        }
        self.state.metric_per_load = units;
    }

    // Requests.

    fn on_outcome(&mut self, ended: Ended, out: &mut Vec<Action>) {
        let (id, server, outcome) = (ended.id, ended.server, ended.outcome);
        let Some(was_out) = self.state.end_attempt(&ended) else {
            return;
        };
        let now = self.state.now;
        if was_out && self.blames(&ended) {
            let silent = matches!(outcome, Outcome::ConnectFailed | Outcome::TimedOut);
            // A server out of reach says nothing about what all servers share.
            self.failures.add(now, FORGIVE, f64::from(!silent));
            self.state
                .update_server(server, |server| server.errors.add(now, FORGIVE, 1.0));
            if silent {
                self.suspect(server);
            }
            self.start_probing(server, out);
        }
        if !was_out && outcome == Outcome::Reset {
            self.cut_off.add(now, FORGIVE, 1.0);
        }
        if ended.last {
            self.state.remove_request(id);
        } else if was_out {
            self.state.detach_from_server(id);
            if outcome == Outcome::LocalFailure {
                // Any server would meet the same shortage now.
                self.state.revert_attempt(id);
                return self.wait(id, None, out);
            }
            self.place(id, out);
        }
    }

    /// Whether the end of an attempt says anything against its server. One that had little of the time in
    /// which an answer is wanted was given up too early to tell.
    fn blames(&self, ended: &Ended) -> bool {
        match ended.outcome {
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFailure => false,
            Outcome::TimedOut => self.state.connections.get(&ended.id).is_none_or(|conn| {
                let aim = self.set.classes[conn.request.class].aim;
                conn.deadline - conn.sent_at >= aim * FAIR_TIME
            }),
            _ => true,
        }
    }

    /// A silent server is avoided until it answers a probe, or, where nobody may probe, as failures fade.
    fn suspect(&mut self, id: ServerId) {
        let (now, probed) = (self.state.now, self.set.may_probe);
        self.state.update_server(id, |server| match probed {
            true => server.unresponsive = true,
            false => server.errors.add(now, FORGIVE, 2.0 * EJECT),
        });
    }

    /// Sends a request to its lowest-ranked server, lets it wait while none is open, or answers it at once.
    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(conn) = self.state.connections.get(&id) else {
            return;
        };
        let now = self.state.now;
        let left = conn.deadline - now;
        let aim = self.set.classes[conn.request.class].aim;
        let attempts = conn.tried_servers.len();
        let (waited, may_ask) = (conn.request.patience - left, self.may_ask(conn));
        if let Some(reason) = self.barred(id, left) {
            return self.give_up(id, reason, out);
        }
        if let Some((matter, wait)) = self.lacks_part(id, waited < OFTEN / 2.0) {
            return match waited < wait && left > aim {
                true => self.wait(id, None, out),
                false => self.give_up(id, GiveUpReason::Part(matter), out),
            };
        }
        let Some(to) = self.choose(id) else {
            // A restarted or wholly cold fleet: a server may turn up soon. A full one is no reason.
            let open = self.state.servers.iter().any(|(id, s)| self.open(*id, s));
            if open || attempts > 0 || left <= aim {
                return self.give_up(id, GiveUpReason::NoServer, out);
            }
            return self.wait(id, None, out);
        };
        let server = &self.state.servers[&to];
        if may_ask && !server.has_result_since(now - REPORT_AGE) {
            // Balancers that never used a server would all take it for a usual one, full or not.
            if !server.probed_on_demand_since(now - REPORT_AGE) {
                out.push(Action::Probe(to));
                self.state.quotas.spend_unit(QuotaKind::Probes, now);
                self.state.record_on_demand_probe(to, id);
            }
            return self.wait(id, Some(to), out);
        }
        let (turned, gap) = (self.turns(server, now), self.set.fall_for / 4.0);
        let cold = server.remaining_warm_up(now, &self.set) > 0.0;
        let conn = &self.state.connections[&id];
        let load = conn.load + self.group_load(conn, server);
        // Servers forget a keyed request: up to then a repeat does no harm.
        let class = &self.set.classes[conn.request.class];
        let repeats = conn
            .first_possible_run
            .filter(|_| class.effect == Idempotency::Keyed);
        let repeat_within = repeats.map(|(_, at)| at + class.window - now);
        if attempts > 0 {
            self.state.record_retry(id, &self.set);
        }
        self.state.attach_to_server(id, to, Phase::InFlight(to));
        self.state.record_placement(to, load, turned, gap);
        if cold {
            self.state
                .quotas
                .reserve_unit(id, QuotaKind::Cold, Some(to));
        }
        self.start_probing(to, out);
        let time_out = left.min(aim.max(left / 2.0));
        // A part that is leased may be given to another balancer once the lease is over.
        let further = (attempts > 0).then_some((QuotaKind::Further, None));
        let cold = cold.then_some((QuotaKind::Cold, Some(to)));
        let leases = [further, cold].into_iter().flatten();
        let leases = leases.filter_map(|(of, at)| self.state.quotas.remaining_lease(of, at, now));
        let begin_within = leases.chain(repeat_within).min_by(Seconds::total_cmp);
        out.push(Action::Send(id, to, time_out, begin_within));
    }

    /// Whether something counts from the writing of the line of a request's latest attempt: then the host is
    /// to tell it by [`Event::Written`].
    pub fn awaits_write(&self, id: RequestId) -> bool {
        self.state.awaits_write(id)
    }

    /// Why a request gets no attempt now, whatever servers there are.
    fn barred(&mut self, id: RequestId, left: Seconds) -> Option<GiveUpReason> {
        let attempts = self.state.connections[&id].tried_servers.len();
        if left <= 0.0 {
            return Some(GiveUpReason::DeadlineOver);
        }
        if attempts >= self.set.max_attempts {
            return Some(GiveUpReason::Attempts);
        }
        if self.taking == AdmissionMode::Nothing {
            return Some(GiveUpReason::NotTaking);
        }
        if self.throttled(id) {
            return Some(GiveUpReason::Throttled);
        }
        // Further attempts may be rationed, and so may what all balancers have in common.
        let affordable = attempts == 0 || self.affordable();
        (!affordable).then_some(GiveUpReason::FurtherAttempts)
    }

    /// Whether the budget of attempts has room for one more beyond a request's first.
    fn affordable(&mut self) -> bool {
        let budget = self.set.budget;
        budget.is_none_or(|budget| self.state.remaining_retry_budget(&budget) >= 1.0)
            && self.state.check_quota(QuotaKind::Further, 0)
    }

    /// Whether one more of its class or tenant is beyond this balancer's part, and how long after its
    /// coming an exchange may bring it. What has just come is counted as turned away from the part.
    fn lacks_part(&mut self, id: RequestId, came: bool) -> Option<(QuotaKind, Seconds)> {
        let request = &self.state.connections[&id].request;
        // The tenant's count has the request from the moment it came.
        let tenant = request.tenant.map(|tenant| (QuotaKind::Tenant(tenant), 1));
        let parts = [Some((QuotaKind::Class(request.class), 0)), tenant];
        let lacks = |(matter, own): &(QuotaKind, u64)| !self.state.has_quota_left(*matter, *own);
        let (matter, _) = parts.into_iter().flatten().find(lacks)?;
        if came {
            self.state.quotas.record_denial(matter);
        }
        Some((matter, self.state.quotas.max_wait(matter)))
    }

    /// What is used of each part of a whole that was told.
    pub fn quota_usage(&mut self, now: Seconds) -> Vec<QuotaUsage> {
        self.state.quota_usage(now)
    }

    fn wait(&mut self, id: RequestId, asked: Option<ServerId>, out: &mut Vec<Action>) {
        self.waiting.insert(id, asked);
        if !std::mem::replace(&mut self.wait_timer, true) {
            out.push(Action::Timer(OFTEN, TIMER_WAIT));
        }
    }

    /// Tries again what waits for a server, or all: all at each answer took a burst of requests long.
    fn place_waiting(&mut self, answered: Option<ServerId>, out: &mut Vec<Action>) {
        let due = |asked: &Option<ServerId>| answered.is_none() || *asked == answered;
        let ready = self.waiting.extract_if(.., |_, asked| due(asked));
        for (id, _) in ready.collect::<Vec<_>>() {
            self.place(id, out);
        }
    }

    /// When far more fails than begins, what servers share fails: more keeps it down (adaptive throttling).
    fn throttled(&mut self, id: RequestId) -> bool {
        let successes = self.successes.value_at(self.state.now, FORGIVE);
        let ended = self.failures.value_at(self.state.now, FORGIVE) + successes;
        let excess = (ended - TOLERATED * successes - 5.0) / (ended + 1.0);
        // Full servers shed the newest, whatever it is worth. Who holds nothing knows of nothing usual.
        let knows = self.state.active_connections().min(1) as f64;
        let crowded =
            SHED * self.cut_off() * knows * self.lack_of_worth(&self.state.connections[&id]);
        self.rng.random::<f64>() < excess.max(crowded)
    }

    /// The load over capacity up to which a server may be filled with this request: what is worth less for
    /// its load than is usual here is refused the sooner. Figures of a few may have all refused for long.
    fn limit(&self, conn: &Connection) -> f64 {
        let by_load = self.set.report_fields.contains(&ReportField::Load);
        if !by_load || self.state.is_rejecting_all(STUCK, STUCK_FOR) {
            return f64::INFINITY;
        }
        THRESHOLD * (1.0 - LESS_ROOM * self.lack_of_worth(conn))
    }

    /// How much less a request is worth for its load than is usual here, from 0 to 1.
    fn lack_of_worth(&self, conn: &Connection) -> f64 {
        let usual = self.state.worth_held(&self.set);
        let worth = self.worth(&conn.request)
            * self.state.mean_load()
            * self.state.active_connections() as f64;
        1.0 - (worth / (conn.load * usual).max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Where no load is told, clients cut off show that servers are full: how much, from 0 to 1.
    fn cut_off(&self) -> f64 {
        let by_load = self.set.report_fields.contains(&ReportField::Load);
        f64::from(!by_load) * self.cut_off.value_at(self.state.now, FORGIVE).min(1.0)
    }

    /// What a request is worth; little beyond its tenant's share.
    fn worth(&self, request: &Request) -> f64 {
        let over = request.tenant.is_some_and(|tenant| {
            let quota = self.set.tenants[tenant].quota.unwrap_or(f64::INFINITY);
            let share = quota / self.set.fleet_size as f64;
            // In a large fleet a share is a few connections, and chance alone brings as many more.
            self.state.tenant_counts[tenant] as f64 > share + share.sqrt()
        });
        let part = if over { self.set.over_share_worth } else { 1.0 };
        part * self.set.classes[request.class].worth
    }

    /// The requests that were given up at the latest event, and why.
    pub fn given_up_requests(&self) -> &[(RequestId, GiveUpReason)] {
        &self.given_up
    }

    fn give_up(&mut self, id: RequestId, reason: GiveUpReason, out: &mut Vec<Action>) {
        let Some(conn) = self.state.reject_request(id) else {
            return;
        };
        self.given_up.push((id, reason));
        let class = &self.set.classes[conn.request.class];
        let keyed_for_all = class.effect == Idempotency::Keyed && class.scope == DedupScope::All;
        // A refusal promises that a repeat is harmless.
        if conn.first_possible_run.is_none() || class.effect == Idempotency::Safe || keyed_for_all {
            let wait = self.set.max_retry_after * self.rng.random_range(0.5..1.0);
            out.push(Action::Refuse(id, self.set.may_retry_after.then_some(wait)));
        } else {
            out.push(Action::Fail(id));
        }
    }

    /// Whether another attempt on `server` could do no harm by running twice.
    fn harmless(&self, conn: &Connection, server: &Server) -> bool {
        let class = &self.set.classes[conn.request.class];
        let Some((first, at)) = conn.first_possible_run else {
            return true;
        };
        let together = self.state.shares_dedup_scope(class.scope, first, server);
        class.effect == Idempotency::Safe
            || class.effect == Idempotency::Keyed && together && self.state.now < at + class.window
    }

    // Ranking.

    /// The lowest-ranked server with room for a request, of the first in the order of its group, or our own.
    fn choose(&mut self, id: RequestId) -> Option<ServerId> {
        let key = self.state.server_order_key(id, &self.set);
        let ranked = self.rank(id, key);
        if self.kept_from_cold(key) {
            self.state.quotas.record_denial(QuotaKind::Cold);
        }
        // Ties are broken at random.
        let best = ranked.iter().map(|r| r.0).fold(f64::INFINITY, f64::min);
        let ties = ranked.iter().filter(|r| r.0 <= best);
        ties.choose(&mut self.rng).map(|r| r.1)
    }

    fn rank(&self, id: RequestId, key: u64) -> Vec<(f64, ServerId)> {
        let conn = &self.state.connections[&id];
        let (now, scarcity) = (self.state.now, self.scarcity());
        let (limit, may_ask, crowd) = (self.limit(conn), self.may_ask(conn), self.crowd());
        // Who is cut off finds full servers: turns at cold ones go first.
        let by_load = self.set.report_fields.contains(&ReportField::Load);
        let swamped = !by_load && (conn.request.again || self.cut_off() > 0.5);
        let servers = self.state.first_servers_in_order(key, CANDIDATES);
        let servers = servers.map(|(place, id)| (place, id, &self.state.servers[&id]));
        let open: Vec<_> = servers.filter(|(_, id, s)| self.open(*id, s)).collect();
        // Outlier ejection: silent and failing servers get nothing while there are others.
        let sound = open.iter().any(|(_, _, server)| !self.ejected(server));
        // Room before rank, or a group's full server hides an idle one; short room bars further shares.
        let mut ranked = Vec::new();
        for (place, id, server) in open {
            let barred = conn.tried_servers.contains(&id) || !self.harmless(conn, server);
            if barred || sound && self.ejected(server) {
                continue;
            }
            let group_load = self.group_load(conn, server) * self.state.metric_per_load_of(server);
            let shun = match swamped && server.remaining_warm_up(now, &self.set) > 0.0 {
                true => place as f64 / CANDIDATES as f64 - 1.0,
                false => GROUP_SHUN * (1.0 + place as f64 / PLACES) * group_load,
            };
            let after = self.load_after(conn, server, crowd);
            // Room on an unknown server is asked, not guessed, unless all are likely to be swamped.
            let guessed = server.metric_since(now - FORGOTTEN).is_none();
            let asked =
                guessed && may_ask && (scarcity < 0.5 || self.state.reporting_servers < ASKS);
            if asked || after + shun * scarcity <= limit {
                ranked.push((after + shun + self.surcharge(server), id));
            }
        }
        ranked
    }

    fn open(&self, id: ServerId, server: &Server) -> bool {
        // A turn that lies beyond the warm-up falls away with it: in a large fleet most do.
        let now = self.state.now;
        if !server.is_available() || server.remaining_warm_up(now, &self.set) == 0.0 {
            return server.is_available();
        }
        if !self.state.has_cold_quota_left(id) {
            return false;
        }
        // One that was not used for long is missed, or all together would be a blow.
        let each = self.state.fleet_turns_per_own_turn(&self.set);
        let turn = server.turn_at_last_placement + each * server.turn_offset;
        let missed = self.turns(server, now - TURN_KEPT * self.set.fall_for) - turn;
        let turn = turn + each * (missed / each).ceil().max(0.0);
        now >= server.next_placement_at && self.turns(server, now) >= turn
    }

    /// Whether this balancer's part of a whole keeps it from a cold server.
    fn kept_from_cold(&self, key: u64) -> bool {
        if !self.state.quotas.is_limited(QuotaKind::Cold) {
            return false;
        }
        let cold =
            |s: &Server| s.is_available() && s.remaining_warm_up(self.state.now, &self.set) > 0.0;
        let first = self.state.first_servers_in_order(key, CANDIDATES);
        let mut servers = first.map(|(_, id)| (id, &self.state.servers[&id]));
        servers.any(|(id, s)| cold(s) && !self.open(id, s))
    }

    fn ejected(&self, server: &Server) -> bool {
        server.unresponsive || server.errors.value_at(self.state.now, FORGIVE) > EJECT
    }

    /// A server's load with the request on it, and with what its group then costs there: the probed
    /// figure, and own placements since, with as many by each peer that is taken to place here too.
    fn load_after(&self, conn: &Connection, server: &Server, crowd: f64) -> f64 {
        let added = server.pending_load() * crowd + conn.load + self.group_load(conn, server);
        let figure = server.metric_since(self.state.now - FORGOTTEN);
        // A cold server holds no more than the turns that all balancers have had.
        let cold = server.remaining_warm_up(self.state.now, &self.set) > 0.0;
        let guess = if cold { 0.0 } else { self.state.mean_metric };
        self.felt(server, figure.unwrap_or(guess)) + added * self.state.metric_per_load_of(server)
    }

    /// Whether a request may still wait for a figure.
    fn may_ask(&self, conn: &Connection) -> bool {
        let waited = self.state.now - (conn.deadline - conn.request.patience);
        let most = ASK_PART * self.set.classes[conn.request.class].aim;
        let probes = self.set.may_probe && self.state.has_quota_left(QuotaKind::Probes, 0);
        probes && waited <= most && conn.on_demand_probes < ASKS
    }

    /// How many balancers place where this one does before reports show it: those of its zone, or all as
    /// room gets short; no more than connections that all of them then give a server.
    fn crowd(&self) -> f64 {
        let fleet = self.set.fleet_size as f64;
        let peers = self.sharers() + (fleet - self.sharers()) * self.scarcity();
        let given = fleet * self.state.placement_rate() * REPORT_AGE;
        peers.min(1.0 + given / self.state.servers.len().max(1) as f64)
    }

    /// How short room is, from 0 to 1.
    fn scarcity(&self) -> f64 {
        ((self.state.mean_metric / THRESHOLD - SCARCE) / (1.0 - SCARCE)).clamp(0.0, 1.0)
    }

    /// What a connection's group costs on a server that holds none of it yet.
    fn group_load(&self, conn: &Connection, server: &Server) -> f64 {
        let held = |group| !self.set.groups || server.group_counts.contains_key(&group);
        let brings = !conn.request.group.is_none_or(held);
        f64::from(brings) * GROUP_COST * self.state.mean_load()
    }

    /// What else counts against a server: doubt, failures, and the price of another zone.
    fn surcharge(&self, server: &Server) -> f64 {
        let crosses = f64::from(server.is_in_other_zone(self.set.zone));
        f64::from(server.is_suspected()) * DOUBT
            + crosses * CROSS_LOAD * self.set.price_cross_zone
            + server.errors.value_at(self.state.now, FORGIVE)
    }

    /// How many connections all balancers together may have given a cold server since it was listed: what
    /// it can do grows as it warms up, and so does what they give it. Each has its turn among them.
    fn turns(&self, server: &Server, at: Seconds) -> f64 {
        // The fall budget, as if a warm server fills over the warm-up.
        let full = 1.0
            / (self.state.conservative_metric_per_load_of(server) * self.state.mean_load())
                .max(1e-3);
        self.set.fall_multiple * full / self.set.cold_for
            * server.capacity_weighted_uptime(at, &self.set)
    }

    // Moves.

    /// Moves the connection worth least for its load off a server that its probe shows past the threshold,
    /// where another has room for it. One close to its capacity serves nobody well: there this balancer's
    /// part of the excess goes, room or not, and comes again to be placed or refused.
    fn relieve(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let by_load = self.set.report_fields.contains(&ReportField::Load);
        let by_count = COUNT_TRIGGER * self.state.mean_metric;
        let limit = if by_load { THRESHOLD } else { by_count };
        let server = &self.state.servers[&id];
        let told = server.metric.unwrap_or(0.0);
        let load_now = self.felt(server, told);
        if load_now <= limit || !server.is_available() {
            return;
        }
        let conn = |id: &RequestId| &self.state.connections[id];
        let open = |id: &&RequestId| matches!(conn(id).phase, Phase::Open(_));
        let mut own: Vec<RequestId> = server.own_requests.iter().filter(open).copied().collect();
        let worth =
            |id: &RequestId| self.worth(&conn(id).request) / self.leaving_load(conn(id), server);
        own.sort_by(|a, b| worth(a).total_cmp(&worth(b)));
        let Some(&first) = own.first() else { return };
        let own_part = server.own_load / load_now;
        // Moving onto a server that would pass the threshold itself only spreads the trouble.
        let key = self.state.server_order_key(first, &self.set);
        let (conn, crowd) = (&self.state.connections[&first], self.crowd());
        let fits = |s: &Server| self.load_after(conn, s, crowd) < limit;
        let servers = self.state.first_servers_in_order(key, CANDIDATES);
        let mut servers = servers.map(|(_, id)| (id, &self.state.servers[&id]));
        let room = servers
            .any(|(id, s)| self.open(id, s) && !s.unresponsive && !s.is_suspected() && fits(s));
        drop(servers);
        let many = by_load && told > DROWNING;
        if !room && !many {
            return;
        }
        let limit = if room { limit } else { DROWNING };
        let most = if many { own.len() } else { 1 };
        // Peers see the same figure: all together should move what is over, not each of them.
        let mut part = HASTE * own_part * (load_now - limit);
        for id in own.into_iter().take(most) {
            let load = self.state.connections[&id].load;
            if self.rng.random::<f64>() * load < part && self.state.check_quota(QuotaKind::Moves, 0)
            {
                self.state
                    .quotas
                    .spend_unit(QuotaKind::Moves, self.state.now);
                out.push(Action::Move(id));
            }
            part -= load;
        }
    }

    /// The load that leaves with a connection, its part of its group's cost there included.
    fn leaving_load(&self, conn: &Connection, server: &Server) -> f64 {
        let group = conn.request.group.filter(|_| self.set.groups);
        let holders = group.and_then(|group| server.group_counts.get(&group));
        let group_load = holders.map_or(0.0, |&n| GROUP_COST / n as f64);
        (conn.load + group_load * self.state.mean_load()).max(f64::MIN_POSITIVE)
    }
}

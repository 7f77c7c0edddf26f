//! Every decision of the balancer. Its types, events, actions and settings are in `api.rs`.
//!
//! The design (docs/design.md): probe each server for load, place a connection on the lowest-ranked
//! server, and move a connection off a server whose probed load passes a threshold.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::api::{
    Action, Effect, Entry, Event, Field, ListKind, Outcome, Report, Request, RequestId, Scope,
    Secs, ServerId, Settings, Status,
};

/// Load over capacity beyond which a connection is moved off a server.
const THRESHOLD: f64 = 0.85;
/// Where only connection counts are known: the count over the servers' mean that triggers a move.
const COUNT_TRIGGER: f64 = 1.3;
/// Time between two probes of a server.
const PROBE_EVERY: Secs = 2.0;
/// Time constant of what is learned from this balancer's own traffic.
const MEMORY: Secs = 15.0;
/// A failing server's penalty halves in this time, so that it is tried again.
const FORGIVE: Secs = 5.0;
/// How often requests that found no server are tried again.
const HELD_EVERY: Secs = 0.05;
/// Ranks a server that does not answer behind all that do.
const SUSPECT: f64 = 100.0;

const TIMER_ASK: u64 = 0;
const TIMER_HELD: u64 = 1;
/// Probe timers carry the server's id above this.
const TIMER_PROBE: u64 = 1 << 32;

#[derive(Debug, Default)]
struct Server {
    status: Option<Status>,
    zone: Option<usize>,
    cell: u64,
    born: Option<Secs>,
    /// The probed figure in the design's metric order, once heard.
    figure: Option<f64>,
    /// Own placements that the figure cannot hold yet: when, and by how many mean connections.
    placed: Vec<(Secs, f64)>,
    /// Own connections and attempts, and their load in mean connections.
    own: BTreeSet<RequestId>,
    /// It answered neither a probe nor a connect since it last did.
    suspect: bool,
    /// Recent failures of attempts, halved every `FORGIVE`.
    errors: f64,
    errors_at: Secs,
    /// When a cold server may get its next connection.
    cold_until: Secs,
    probing: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Held,
    Out(ServerId),
    Open(ServerId),
}

#[derive(Debug)]
struct Conn {
    request: Request,
    deadline: Secs,
    phase: Phase,
    attempts: usize,
    sent_at: Secs,
    tried: Vec<ServerId>,
    /// The first attempt that may have run: where and when it was sent.
    may_have_run: Option<(ServerId, Secs)>,
    /// The connection's load as last told, in seconds of work a second.
    load: Option<f64>,
}

#[derive(Debug)]
pub struct Balancer {
    set: Settings,
    rng: Pcg64Mcg,
    now: Secs,
    servers: BTreeMap<ServerId, Server>,
    requests: BTreeMap<RequestId, Conn>,
    waiting: BTreeSet<RequestId>,
    held_timer: bool,
    /// The call for the list that is out, or the answer that made the subscription stand.
    subscribed: bool,
    /// Own placements a second.
    rate: f64,
    rate_at: Secs,
}

impl Balancer {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            set: settings,
            now: 0.0,
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            waiting: BTreeSet::new(),
            held_timer: false,
            subscribed: false,
            rate: 0.0,
            rate_at: 0.0,
        }
    }

    /// Takes one event at `now` and appends what is to be done about it.
    pub fn handle(&mut self, now: Secs, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Start => self.rate_at = now,
            Event::Servers { kind, entries } => self.on_list(kind, entries, out),
            Event::Request(request) => {
                let id = request.id;
                self.adopt(request, Phase::Held);
                self.place(id, out);
            }
            Event::Open { request, server } => {
                let id = request.id;
                self.adopt(request, Phase::Open(server));
                self.servers.entry(server).or_default().own.insert(id);
            }
            Event::Begun { id, server } => {
                if let Some(conn) = self.requests.get_mut(&id) {
                    conn.phase = Phase::Open(server);
                    self.answered(server);
                }
            }
            Event::Outcome {
                id,
                server,
                outcome,
                last,
                report,
                ..
            } => {
                self.hear(server, report);
                self.on_outcome(id, server, outcome, last, out);
            }
            Event::Gone(id) => {
                if let Some(conn) = self.drop_request(id)
                    && let Phase::Out(_) = conn.phase
                    && self.set.may_cancel
                {
                    out.push(Action::Cancel {
                        id,
                        attempt: conn.attempts - 1,
                    });
                }
            }
            Event::LoadNote { id, load } => {
                if let Some(conn) = self.requests.get_mut(&id) {
                    conn.load = Some(load);
                }
            }
            Event::DelayNote { .. } => {}
            Event::Probed {
                server,
                outcome,
                report,
            } => self.on_probed(server, outcome, report, out),
            Event::Timer(TIMER_ASK) => self.ask(out),
            Event::Timer(TIMER_HELD) => {
                self.held_timer = false;
                for id in std::mem::take(&mut self.waiting) {
                    self.place(id, out);
                }
            }
            Event::Timer(token) => self.on_probe_timer(token, out),
        }
    }

    // The server list.

    fn on_list(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Unavailable {
            // A random wait, so that proxies that lost the list together don't ask together.
            self.subscribed = false;
            let after = self.set.ask_within * self.rng.random_range(0.05..0.2);
            out.push(Action::Timer {
                after,
                token: TIMER_ASK,
            });
            return;
        }
        if kind != ListKind::Update {
            let listed: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for (_, server) in self
                .servers
                .iter_mut()
                .filter(|(id, _)| !listed.contains(id))
            {
                server.status = Some(Status::Gone);
            }
        }
        for entry in entries {
            let server = self.servers.entry(entry.server).or_default();
            if server.born != entry.born && server.status.is_some() {
                // A restarted process: what is known of the old one no longer holds.
                *server = Server {
                    own: std::mem::take(&mut server.own),
                    probing: server.probing,
                    ..Server::default()
                };
            }
            server.status = Some(entry.status);
            server.zone = entry.zone;
            server.cell = entry.cell;
            server.born = entry.born;
            let age = self.now - entry.born.unwrap_or(f64::NEG_INFINITY);
            if age < self.set.cold_for && server.figure.is_none() {
                // Proxies hear of a cold server together: their first connections are spread out.
                server.cold_until = self.now + self.rng.random_range(0.0..self.set.fall_for);
            }
            if entry.status == Status::Up && !server.probing && self.set.may_probe {
                server.probing = true;
                let after = self.rng.random_range(0.0..0.2 * PROBE_EVERY);
                out.push(Action::Timer {
                    after,
                    token: TIMER_PROBE + u64::from(entry.server),
                });
            }
        }
        if kind == ListKind::Restored {
            self.ask(out);
        }
    }

    fn ask(&mut self, out: &mut Vec<Action>) {
        if self.set.must_ask && !self.subscribed {
            self.subscribed = true;
            out.push(Action::Subscribe);
        }
    }

    // Probes and what they tell.

    fn on_probe_timer(&mut self, token: u64, out: &mut Vec<Action>) {
        let id = (token - TIMER_PROBE) as ServerId;
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.probing = server.status == Some(Status::Up);
        if server.probing {
            out.push(Action::Probe { server: id });
            let after = PROBE_EVERY * self.rng.random_range(0.9..1.1);
            out.push(Action::Timer { after, token });
        }
    }

    fn on_probed(&mut self, id: ServerId, outcome: Outcome, report: Report, out: &mut Vec<Action>) {
        self.hear(id, report);
        match outcome {
            Outcome::Ok => {
                if let Some(server) = self.servers.get_mut(&id) {
                    server.suspect = false;
                }
                self.relieve(id, out);
            }
            // A server that turns probes away is alive.
            Outcome::Full | Outcome::Cancelled | Outcome::NotSent => {}
            _ => self.mark_suspect(id),
        }
    }

    /// Takes the figure of a report, in the design's metric order.
    fn hear(&mut self, id: ServerId, report: Report) {
        let figure = report.load.or(report.connections).or(report.queue);
        // A figure that is no number, negative or infinite says nothing.
        if let Some(figure) = figure.filter(|f| f.is_finite() && *f >= 0.0)
            && let Some(server) = self.servers.get_mut(&id)
        {
            server.figure = Some(figure);
            server.placed.clear();
        }
    }

    fn answered(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.suspect = false;
        }
    }

    fn mark_suspect(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.suspect = true;
        }
    }

    // Requests.

    fn adopt(&mut self, request: Request, phase: Phase) {
        let conn = Conn {
            deadline: self.now + request.patience,
            phase,
            attempts: usize::from(phase != Phase::Held),
            sent_at: self.now,
            tried: Vec::new(),
            may_have_run: None,
            load: request.hint,
            request,
        };
        self.requests.insert(conn.request.id, conn);
    }

    fn drop_request(&mut self, id: RequestId) -> Option<Conn> {
        let conn = self.requests.remove(&id)?;
        self.waiting.remove(&id);
        if let Phase::Out(server) | Phase::Open(server) = conn.phase {
            self.leave(server, id);
        }
        Some(conn)
    }

    fn leave(&mut self, server: ServerId, id: RequestId) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.own.remove(&id);
        }
    }

    fn on_outcome(
        &mut self,
        id: RequestId,
        server: ServerId,
        outcome: Outcome,
        last: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(conn) = self.requests.get_mut(&id) else {
            return;
        };
        let out_there = conn.phase == Phase::Out(server);
        if out_there && !outcome.never_ran() && conn.may_have_run.is_none() {
            conn.may_have_run = Some((server, conn.sent_at));
        }
        match outcome {
            Outcome::ConnectFailed => self.mark_suspect(server),
            Outcome::Error | Outcome::Full | Outcome::TimedOut | Outcome::Reset if out_there => {
                self.count_error(server);
            }
            _ => {}
        }
        if last {
            self.drop_request(id);
        } else if out_there {
            self.leave(server, id);
            let conn = self.requests.get_mut(&id).expect("looked up above");
            conn.phase = Phase::Held;
            conn.tried.push(server);
            self.place(id, out);
        }
    }

    fn count_error(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.errors = 1.0 + server.errors * (-(self.now - server.errors_at) / FORGIVE).exp2();
            server.errors_at = self.now;
        }
    }

    /// Sends a held request to the lowest-ranked server it may go to, holds it while only a cold
    /// server's cap stands in the way, and else answers it at once.
    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(conn) = self.requests.get(&id) else {
            return;
        };
        let left = conn.deadline - self.now;
        let aim = self.set.classes[conn.request.class].aim;
        let attempts = conn.attempts;
        if left <= 0.0 || attempts >= self.set.max_attempts {
            return self.give_up(id, out);
        }
        let Some(target) = self.choose(id) else {
            // Nothing can take it now; wait a little in case a server turns up.
            if attempts == 0 && left > aim {
                self.waiting.insert(id);
                if !self.held_timer {
                    self.held_timer = true;
                    out.push(Action::Timer {
                        after: HELD_EVERY,
                        token: TIMER_HELD,
                    });
                }
                return;
            }
            return self.give_up(id, out);
        };
        let timeout = left.min(aim.max(left / 2.0));
        let weight = self.per_connection(target);
        let gap = self.cold_gap(&self.servers[&target]);
        let decay = (-(self.now - self.rate_at) / MEMORY).exp();
        self.rate = self.rate * decay + 1.0 / MEMORY;
        self.rate_at = self.now;
        let server = self.servers.get_mut(&target).expect("chosen from the map");
        server.own.insert(id);
        server.placed.push((self.now, weight));
        server.cold_until = self.now + gap.unwrap_or(0.0);
        let conn = self.requests.get_mut(&id).expect("looked up above");
        conn.phase = Phase::Out(target);
        conn.attempts += 1;
        conn.sent_at = self.now;
        out.push(Action::Send {
            id,
            server: target,
            timeout,
        });
    }

    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(conn) = self.drop_request(id) else {
            return;
        };
        let class = &self.set.classes[conn.request.class];
        // A refusal promises that a repeat is harmless.
        let harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => conn.may_have_run.is_none() || class.scope == Scope::All,
            Effect::Unsafe => conn.may_have_run.is_none(),
        };
        out.push(if harmless {
            let retry_after = self
                .set
                .may_retry_after
                .then_some(self.set.max_retry_after / 2.0);
            Action::Refuse { id, retry_after }
        } else {
            Action::Fail { id }
        });
    }

    /// Whether another attempt on `server` could do no harm by running twice.
    fn harmless(&self, conn: &Conn, server: &Server) -> bool {
        let class = &self.set.classes[conn.request.class];
        let Some((first, at)) = conn.may_have_run else {
            return true;
        };
        let Some(first) = self.servers.get(&first) else {
            return false;
        };
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed => {
                self.now < at + class.window
                    && match class.scope {
                        Scope::All => true,
                        Scope::Zone => server.zone == first.zone,
                        Scope::Cell => server.cell == first.cell,
                    }
            }
        }
    }

    // Ranking.

    /// The lowest-ranked server the request may go to, ties broken at random.
    fn choose(&mut self, id: RequestId) -> Option<ServerId> {
        let conn = &self.requests[&id];
        let mean = self.mean_figure();
        let mut best = f64::INFINITY;
        let mut ties = Vec::new();
        for (&server_id, server) in &self.servers {
            let closed = server.status != Some(Status::Up) || self.now < server.cold_until;
            if closed || conn.tried.contains(&server_id) || !self.harmless(conn, server) {
                continue;
            }
            let rank = self.rank(server, mean);
            if rank < best {
                best = rank;
                ties.clear();
            }
            if rank == best {
                ties.push(server_id);
            }
        }
        ties.get(self.rng.random_range(0..ties.len().max(1)))
            .copied()
    }

    /// Load as far as it is known: the probed figure and own placements since, worsened by failures.
    fn rank(&self, server: &Server, mean: f64) -> f64 {
        let placed: f64 = server.placed.iter().map(|(_, weight)| weight).sum();
        let errors = server.errors * (-(self.now - server.errors_at) / FORGIVE).exp2();
        let suspect = if server.suspect { SUSPECT } else { 0.0 };
        server.figure.unwrap_or(mean) + placed + errors + suspect
    }

    /// A server not yet heard from counts at the others' mean.
    fn mean_figure(&self) -> f64 {
        let heard = || {
            self.servers
                .values()
                .filter(|s| s.status == Some(Status::Up))
                .filter_map(|s| s.figure)
        };
        heard().sum::<f64>() / heard().count().max(1) as f64
    }

    /// What one more connection adds to a server's figure: its figure per connection, or the others' mean.
    fn per_connection(&self, id: ServerId) -> f64 {
        let per = |s: &Server| {
            s.figure
                .filter(|f| *f > 0.0 && !s.own.is_empty())
                .map(|f| f / s.own.len() as f64)
        };
        if let Some(known) = self.servers.get(&id).and_then(per) {
            return known;
        }
        let up = || {
            self.servers
                .values()
                .filter(|s| s.status == Some(Status::Up))
                .filter_map(per)
        };
        let known = up().count();
        if known == 0 {
            1.0
        } else {
            up().sum::<f64>() / known as f64
        }
    }

    /// The least time between two connections to a server that is cold, from what warm ones take.
    fn cold_gap(&self, server: &Server) -> Option<Secs> {
        let age = self.now - server.born.filter(|born| *born > 0.0)?;
        if age >= self.set.cold_for {
            return None;
        }
        let share =
            self.set.cold_from + (1.0 - self.set.cold_from) * age.max(0.0) / self.set.cold_for;
        let up = self
            .servers
            .values()
            .filter(|s| s.status == Some(Status::Up))
            .count()
            .max(1);
        // At its mean figure a warm server takes this many connections a second of this balancer.
        let warm = self.rate / up as f64 / self.mean_figure().max(0.2);
        let gap = 2.0 / (self.set.fall_multiple * share * warm);
        Some(gap.clamp(self.set.fall_for / 4.0, self.set.cold_for / 2.0))
    }

    // Moves.

    /// Moves one connection off a server that its probe shows past the threshold.
    fn relieve(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let by_load = self.set.report_fields.contains(&Field::Load);
        let mean = self.mean_figure();
        let limit = if by_load {
            THRESHOLD
        } else {
            COUNT_TRIGGER * mean
        };
        let Some(server) = self.servers.get(&id) else {
            return;
        };
        if server.figure.is_none_or(|figure| figure <= limit) || server.status != Some(Status::Up) {
            return;
        }
        // Moving onto a server that would pass the threshold itself only spreads the trouble.
        let room = self.servers.iter().any(|(&other, s)| {
            let open = s.status == Some(Status::Up) && self.now >= s.cold_until;
            other != id && open && self.rank(s, mean) + self.per_connection(other) < limit
        });
        let load = |conn: &RequestId| self.requests.get(conn).and_then(|c| c.load).unwrap_or(0.0);
        let open = |conn: &&RequestId| {
            self.requests
                .get(conn)
                .is_some_and(|c| c.phase == Phase::Open(id))
        };
        let heaviest = server
            .own
            .iter()
            .filter(open)
            .max_by(|a, b| load(a).total_cmp(&load(b)));
        if let Some(&conn) = heaviest.filter(|_| room) {
            out.push(Action::Move { id: conn });
        }
    }
}

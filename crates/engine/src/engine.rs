//! The engine: notices in, events to the module, orders out, and its timers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tracing::{debug, error, info, trace, warn};
use violetwind_balancer::Balancer;
use violetwind_balancer::api::{
    Action, AdmissionMode, Allowance, Entry, Event, GiveUpReason, ListKind, Outcome, Report,
    RequestId, Seconds, ServerId, Settings, Status,
};
use violetwind_catalogue::{Instance, ReportedStatus, SourceUpdate};
use violetwind_common::{NameTable, ServerRow, server_id};
use violetwind_service::{
    Bans, ChangeOutcome, MachineMap, MachinesOut, Millis, OperatorChange, admission_during_drain,
};

mod machines;

use crate::clock::{Clock, monotonic_us};
use crate::limits::Limits;
use crate::messages::{
    ConnectionCommand, EngineEvent, ListedServer, OperatorReply, UnlistedServers,
};
use crate::move_schedule::MoveSchedule;
use crate::sources::SourceSet;
use crate::start_times::{ListContext, StartTimes};

/// The name under which the list of the last run is weighed.
const LAST_RUN: &str = "last run";

#[derive(Debug)]
struct Conn {
    orders: mpsc::Sender<ConnectionCommand>,
    /// Where its attempt is out.
    attempt_server: Option<ServerId>,
    /// The server that it is up on.
    connected_server: Option<ServerId>,
    /// The address that it was last sent to.
    at: Option<SocketAddr>,
}

impl Conn {
    fn new(orders: mpsc::Sender<ConnectionCommand>) -> Self {
        Self {
            orders,
            attempt_server: None,
            connected_server: None,
            at: None,
        }
    }
}

/// Who asks servers for their load; the answers come back as notices.
pub trait ProbeSender {
    /// Probes a server at an address. False if too many wait there.
    fn send_probe(&mut self, server: ServerId, at: SocketAddr) -> bool;
}

/// What an engine runs by.
#[derive(Debug)]
pub struct EngineConfig {
    pub settings: Settings,
    pub seed: u64,
    pub names: NameTable,
    pub limits: Limits,
    /// With these, lists come from sources that a catalogue weighs; without, as [`Notice::List`].
    pub catalogue_limits: Option<violetwind_catalogue::Limits>,
    pub service_limits: violetwind_service::Limits,
    /// The servers that operators keep out, and whether they have emptied this proxy.
    pub bans: Bans,
    pub has_left: bool,
    /// Which machine each server is on, for orders that take machines out.
    pub machines: MachineMap,
}

pub struct Engine<P> {
    names: NameTable,
    limits: Limits,
    clock: Clock,
    now: Instant,
    balancer: Balancer,
    actions: Vec<Action>,
    probes: P,
    members: Option<SourceSet>,
    /// Rows of the catalogue that the module has not been told yet; the last word on a server counts.
    changed: BTreeMap<ServerId, ListedServer>,
    connections: HashMap<RequestId, Conn>,
    /// Where each server is reached, with the identity behind its number.
    addresses: HashMap<ServerId, (String, SocketAddr)>,
    start_times: StartTimes,
    /// The sources that have given a list; the empty name is that of lists without a catalogue.
    have_listed: BTreeSet<Rc<str>>,
    /// What was last told of each, before the operators' word goes over it.
    last_rows: HashMap<ServerId, ServerRow>,
    service: violetwind_service::Limits,
    bans: Bans,
    outs: MachinesOut,
    cold_for: Seconds,
    /// Since when operators empty the proxy, what it takes, and when that changes.
    left_at: Option<Instant>,
    taking: AdmissionMode,
    next_stage: Option<Instant>,
    ending: bool,
    /// Nothing more is taken for good.
    last: bool,
    /// A successor serves.
    succeeded: bool,
    on_server: HashMap<ServerId, BTreeSet<RequestId>>,
    draining: BTreeMap<ServerId, MoveSchedule>,
    leaving: Option<MoveSchedule>,
    /// Connections to addresses that their servers have left.
    strays: Vec<MoveSchedule>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    next_spread: Option<Instant>,
}

impl<P: ProbeSender> Engine<P> {
    pub fn new(setup: EngineConfig, clock: Clock, probes: P) -> Self {
        Self {
            outs: MachinesOut::new(setup.machines),
            cold_for: setup.settings.slow_start_window,
            balancer: Balancer::new(setup.settings, setup.seed),
            names: setup.names,
            limits: setup.limits,
            now: clock.start(),
            clock,
            actions: Vec::new(),
            probes,
            members: setup.catalogue_limits.map(SourceSet::new),
            changed: BTreeMap::new(),
            connections: HashMap::new(),
            addresses: HashMap::new(),
            start_times: StartTimes::default(),
            have_listed: BTreeSet::new(),
            last_rows: HashMap::new(),
            service: setup.service_limits,
            bans: setup
                .bans
                .with_times_clamped((clock.seconds_at(clock.start()) * 1e3) as Millis),
            left_at: setup.has_left.then(|| clock.start()),
            taking: AdmissionMode::All,
            next_stage: None,
            ending: false,
            last: false,
            succeeded: false,
            on_server: HashMap::new(),
            draining: BTreeMap::new(),
            leaving: None,
            strays: Vec::new(),
            timers: BinaryHeap::new(),
            next_spread: None,
        }
    }

    /// Runs for as long as the proxy does. `known` is the list of the last run; `ready` is told once a
    /// source has given a newer one.
    pub async fn run(
        mut self,
        mut inbox: mpsc::Receiver<EngineEvent>,
        known: Vec<ListedServer>,
        ready: Rc<watch::Sender<bool>>,
    ) {
        self.start(Instant::now(), known);
        loop {
            let due = self.next_wakeup();
            let wake = async {
                match due {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                notice = inbox.recv() => match notice {
                    Some(notice) => {
                        let listed = match &notice {
                            EngineEvent::ServerList(..) => true,
                            EngineEvent::SourceUpdate(_, telling) => telling.completes_snapshot(),
                            _ => false,
                        };
                        self.handle_event(Instant::now(), notice);
                        if listed {
                            ready.send_replace(true);
                        }
                    }
                    None => return,
                },
                () = wake => self.handle_wakeup(Instant::now()),
            }
            if !self.changed.is_empty() {
                yield_now().await;
            }
        }
    }

    /// Comes to life with the list as it was last known.
    pub fn start(&mut self, now: Instant, known: Vec<ListedServer>) {
        self.now = now;
        self.handle(Event::Start);
        if self.left_at.is_some() {
            self.set_taking(AdmissionMode::Nothing);
        }
        if self.members.is_none() {
            return self.take_list(ListKind::Restored, known);
        }
        // The last run is a source whose word stands until the others have spoken.
        let last: Rc<str> = LAST_RUN.into();
        self.handle_event(now, EngineEvent::Sources(vec![last.clone()]));
        let rows = known.into_iter().filter_map(to_catalogue_row).collect();
        self.handle_event(
            now,
            EngineEvent::SourceUpdate(last, SourceUpdate::Snapshot(rows)),
        );
    }

    /// When it wants to be woken.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let look = self.members.as_ref().and_then(SourceSet::next_wakeup);
        let look = look.map(|at| self.clock.instant_at(at));
        let rest = (!self.changed.is_empty()).then_some(self.now);
        let due = [timer, self.next_spread, self.next_stage, look, rest];
        due.into_iter().flatten().min()
    }

    pub fn handle_wakeup(&mut self, now: Instant) {
        self.now = now;
        while let Some(Reverse((at, token))) = self.timers.peek().copied()
            && at <= now
        {
            self.timers.pop();
            self.handle(Event::Timer(token));
        }
        if self.next_stage.is_some_and(|at| at <= now) {
            self.stage();
        }
        if self.next_spread.is_some_and(|at| at <= now) {
            self.spread_moves(now);
        }
        self.take_changed();
        let due = self.members.as_ref().and_then(SourceSet::next_wakeup);
        if due.is_some_and(|at| self.clock.instant_at(at) <= now) {
            self.weigh(|members, now| members.handle_wakeup(now));
        }
    }

    /// Takes a list where no catalogue stands between.
    fn take_list(&mut self, kind: ListKind, mut rows: Vec<ListedServer>) {
        let reading = self.reading("");
        for listed in &mut rows {
            let start = listed.row.started_at;
            listed.row.started_at = self.start_times.resolve(&listed.uid, start, reading);
        }
        if matches!(kind, ListKind::Replace | ListKind::Update) {
            self.have_listed.insert("".into());
        }
        self.list(kind, rows);
    }

    /// Puts starts of servers by the monotonic clock in place of those in Unix time.
    fn resolve_starts(&mut self, source: &Rc<str>, telling: &mut SourceUpdate) {
        let reading = self.reading(source);
        let completes = telling.completes_snapshot();
        let rows = match telling {
            SourceUpdate::Snapshot(rows)
            | SourceUpdate::Delta(rows)
            | SourceUpdate::StaleSnapshot(rows) => rows,
            SourceUpdate::SnapshotPart { rows, .. } => rows,
            SourceUpdate::Unchanged | SourceUpdate::Unavailable => return,
        };
        for row in rows {
            let Some(instance) = &mut row.instance else {
                continue;
            };
            let listed = instance.born.map(|ms| ms as Seconds / 1e3);
            let start = self.start_times.resolve(&row.uid, listed, reading);
            instance.born = start.map(|at| (at * 1e3) as u64);
        }
        if completes && &**source != LAST_RUN {
            self.have_listed.insert(source.clone());
        }
    }

    fn reading(&self, source: &str) -> ListContext {
        ListContext {
            now: self.clock.seconds_at(self.now),
            unix_seconds: self.clock.unix_seconds(self.now),
            has_earlier_list: self.have_listed.contains(source),
            cold_for: self.cold_for,
        }
    }

    /// Asks the catalogue, and takes what changes by it: who leaves at once, the rest in slices between
    /// which connections are served.
    fn weigh(&mut self, ask: impl FnOnce(&mut SourceSet, u64) -> Vec<ListedServer>) {
        let now = (self.clock.seconds_at(self.now) * 1e3) as u64;
        let rows = match &mut self.members {
            Some(members) => ask(members, now),
            None => return,
        };
        let mut at_once = Vec::new();
        for listed in rows {
            let server = listed.row.server;
            match listed.row.status {
                Status::Draining | Status::Gone => {
                    // A word that still waits is older.
                    self.changed.remove(&server);
                    at_once.push(listed);
                }
                Status::Up | Status::Suspected => drop(self.changed.insert(server, listed)),
            }
        }
        if !at_once.is_empty() {
            self.list(ListKind::Update, at_once);
        }
        self.take_changed();
    }

    /// Takes a slice of what changed.
    fn take_changed(&mut self) {
        let mut rows = Vec::new();
        while rows.len() < self.limits.max_rows_per_step
            && let Some((_, listed)) = self.changed.pop_first()
        {
            rows.push(listed);
        }
        if !rows.is_empty() {
            self.list(ListKind::Update, rows);
        }
    }

    /// Lets the catalogue know whether a server answered.
    fn heard_of(&mut self, server: ServerId, answered: bool) {
        if self.members.is_none() {
            return;
        }
        if let Some((uid, _)) = self.addresses.get(&server) {
            let uid = uid.clone();
            self.weigh(|members, now| members.report_reachability(now, &uid, answered));
        }
    }

    /// Takes one notice, and gives its orders before it returns.
    pub fn handle_event(&mut self, now: Instant, notice: EngineEvent) {
        self.now = now;
        match notice {
            EngineEvent::ServerList(kind, rows) => self.take_list(kind, rows),
            EngineEvent::Sources(names) => {
                self.weigh(|members, now| members.set_sources(now, &names))
            }
            EngineEvent::SourceUpdate(name, mut telling) => {
                self.resolve_starts(&name, &mut telling);
                self.weigh(|members, now| members.apply_update(now, &name, telling));
            }
            EngineEvent::ListUnavailable => {
                self.handle(Event::Servers(ListKind::Unavailable, Vec::new()))
            }
            EngineEvent::Request(request, orders) => {
                self.connections.insert(request.id, Conn::new(orders));
                self.handle(Event::Request(request));
            }
            EngineEvent::Resume(id, uid, orders) => {
                let server = server_id(&uid);
                let address = self.addresses.get(&server);
                let order = match address.filter(|_| !self.is_kept_out(&uid)) {
                    _ if self.last => ConnectionCommand::Fail,
                    Some(&(_, endpoint)) => ConnectionCommand::Send {
                        server,
                        endpoint,
                        within: self.limits.resume_timeout,
                        write_by: None,
                        report_write: false,
                    },
                    None => ConnectionCommand::NotYet,
                };
                let mut conn = Conn::new(orders);
                if let ConnectionCommand::Send { endpoint, .. } = order {
                    conn.at = Some(endpoint);
                }
                self.connections.insert(id, conn);
                self.order(id, order);
            }
            EngineEvent::Allowances(parts, reply) => {
                for (matter, part, until) in parts {
                    let until = self.clock.seconds_at(until);
                    self.handle(Event::Allowance(
                        matter,
                        Allowance {
                            lease_end: until,
                            ..part
                        },
                    ));
                }
                // Whoever asked and has gone needs no answer.
                let _ = reply.send(self.balancer.quota_usage(self.clock.seconds_at(now)));
            }
            EngineEvent::Resumed(request, server) => {
                self.up(request.id, server);
                self.handle(Event::Open(request, server));
            }
            EngineEvent::Adopted(request, server, orders) => {
                let id = request.id;
                let mut conn = Conn::new(orders);
                let address = self.addresses.get(&server);
                conn.at = address.map(|(_, endpoint)| *endpoint);
                let known = address.is_some();
                self.connections.insert(id, conn);
                self.up(id, server);
                self.handle(Event::Open(request, server));
                if !known {
                    // No list of this process has named its server.
                    self.order(id, ConnectionCommand::Move);
                }
            }
            EngineEvent::Written(id, server) => self.handle(Event::Written(id, server)),
            EngineEvent::ConnectionUp(id, server) => {
                self.up(id, server);
                self.handle(Event::Begun(id, server));
                self.heard_of(server, true);
            }
            EngineEvent::AttemptEnded(ended) => {
                if ended.is_final {
                    self.forget(ended.id);
                } else if let Some(conn) = self.connections.get_mut(&ended.id) {
                    conn.attempt_server = None;
                }
                let unreached = ended.outcome == Outcome::ConnectFailed;
                let server = ended.server;
                self.handle(Event::Outcome(ended));
                if unreached {
                    self.heard_of(server, false);
                }
            }
            EngineEvent::ClientGone(id) => {
                self.forget(id);
                self.handle(Event::Gone(id));
            }
            EngineEvent::ConnectionLoad(id, load) => self.handle(Event::LoadNote(id, load)),
            EngineEvent::MessageDelay(server, delay) => {
                self.handle(Event::DelayNote(server, delay))
            }
            EngineEvent::ServerUnresponsive(server) => {
                // To the module a server that leaves lines unanswered is as one that leaves probes.
                let outcome = Outcome::TimedOut;
                self.handle(Event::Probed(server, outcome, Report::default()));
                self.heard_of(server, false);
            }
            EngineEvent::Probed(server, outcome, report) => {
                self.handle(Event::Probed(server, outcome, report));
                match outcome {
                    Outcome::Ok | Outcome::Full | Outcome::Error => self.heard_of(server, true),
                    Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                        self.heard_of(server, false);
                    }
                    // It was never asked.
                    Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFailure => {}
                }
            }
            EngineEvent::Shutdown(within) => {
                self.ending = true;
                let connections = self.leave_within(within);
                info!(connections, "shutdown: clients are moved");
            }
            EngineEvent::FinishShutdown => {
                self.next_stage = None;
                self.set_taking(AdmissionMode::Nothing);
                self.last = true;
                let up: Vec<RequestId> = self.on_server.values().flatten().copied().collect();
                for id in up {
                    self.order(id, ConnectionCommand::Move);
                }
            }
            EngineEvent::SuccessorChanged(Some(within)) => {
                self.succeeded = true;
                let connections = self.leave_within(within);
                info!(
                    connections,
                    "a successor serves: connections are handed over"
                );
                let up: Vec<RequestId> = self.on_server.values().flatten().copied().collect();
                for id in up {
                    self.order(id, ConnectionCommand::HandOver);
                }
            }
            EngineEvent::SuccessorChanged(None) => {
                self.succeeded = false;
                if !self.ending && self.left_at.is_none() {
                    self.leaving = None;
                }
            }
            EngineEvent::Settings(settings, names) => {
                self.names = names;
                self.cold_for = settings.slow_start_window;
                self.handle(Event::Settings(settings));
                self.tell_all_again();
            }
            // Nobody may wait for the answer any more.
            EngineEvent::OperatorChange(change, binding, reply) => {
                drop(reply.send(self.change(change, binding)));
            }
            EngineEvent::MachinesOut(machines, reply) => {
                self.set_machines_out(machines);
                let _ = reply.send(());
            }
            EngineEvent::QueryMachines(reply) => drop(reply.send(self.snapshot_machines())),
            EngineEvent::Health(reply) => drop(reply.send(self.addresses.len())),
        }
    }

    /// Carries out an operator's word: once this returns, it is in force.
    fn change(&mut self, change: OperatorChange, binding: UnlistedServers) -> OperatorReply {
        let now = (self.clock.seconds_at(self.now) * 1e3) as Millis;
        let kept = match &change {
            OperatorChange::Leave | OperatorChange::Join if self.ending => {
                return OperatorReply::Ending;
            }
            OperatorChange::Leave => self.leave(),
            OperatorChange::Join => self.join(),
            OperatorChange::Offline(uid) | OperatorChange::Online(uid)
                if binding == UnlistedServers::Reject && !self.named(uid) =>
            {
                return OperatorReply::Unknown;
            }
            OperatorChange::Offline(uid) => {
                self.outs.set_override(uid, false);
                self.bans.ban(uid, now, &self.service)
            }
            OperatorChange::Online(uid) => {
                let opened = self.outs.set_override(uid, true);
                self.outs.record_transition(uid, now, &self.service);
                match self.bans.unban(uid, now, &self.service) {
                    ChangeOutcome::Same if opened => ChangeOutcome::Changed,
                    kept => kept,
                }
            }
        };
        if let (
            ChangeOutcome::Changed,
            OperatorChange::Offline(uid) | OperatorChange::Online(uid),
        ) = (kept, &change)
        {
            self.resend_row(uid);
        }
        info!(
            ?change,
            ?kept,
            out = self.bans.count(),
            "an operator's word"
        );
        match kept {
            ChangeOutcome::Changed => OperatorReply::Changed(self.bans.clone()),
            ChangeOutcome::Same => OperatorReply::Same(self.bans.clone()),
            ChangeOutcome::Full => OperatorReply::Full,
        }
    }

    /// Whether any list has named a server, or it is out.
    fn named(&self, uid: &str) -> bool {
        let address = self.addresses.get(&server_id(uid));
        self.bans.is_banned(uid) || address.is_some_and(|(known, _)| known == uid)
    }

    /// Tells the module of a server anew, as the operators' word on it has changed.
    fn resend_row(&mut self, uid: &str) {
        let server = server_id(uid);
        if let Some(row) = self.last_rows.get(&server).cloned() {
            let listed = ListedServer {
                uid: uid.to_string(),
                endpoint: None,
                row,
            };
            self.list(ListKind::Update, vec![listed]);
        }
        let up = |status| matches!(status, Status::Up | Status::Suspected);
        let told = self.last_rows.iter().filter(|(_, row)| up(row.status));
        let uids = told.filter_map(|(server, _)| self.addresses.get(server));
        let mut used = uids.filter(|(uid, _)| !self.is_kept_out(uid));
        if self.is_kept_out(uid) && used.next().is_none() {
            warn!(uid, "the last server has been put out: nothing is served");
        }
    }

    /// Tells the module of all servers anew: words of the list may have got a number.
    fn tell_all_again(&mut self) {
        let told = self.last_rows.iter().filter_map(|(server, row)| {
            Some(ListedServer {
                uid: self.addresses.get(server)?.0.clone(),
                endpoint: None,
                row: row.clone(),
            })
        });
        let rows = told.collect();
        self.list(ListKind::Update, rows);
    }

    /// Puts the operators' word over what a list says.
    fn apply_overrides(&self, uid: &str, row: &mut ServerRow) {
        if self.is_kept_out(uid) && matches!(row.status, Status::Up | Status::Suspected) {
            row.status = Status::Draining;
        }
        let listed = row.started_at.map(|born| (born * 1e3) as Millis);
        let born = self.outs.started_at(uid, self.bans.started_at(uid, listed));
        if born != listed {
            row.started_at = born.map(|ms| ms as f64 / 1e3);
        }
    }

    fn leave(&mut self) -> ChangeOutcome {
        if self.left_at.is_some() {
            return ChangeOutcome::Same;
        }
        self.left_at = Some(self.now);
        let connections =
            self.leave_within(self.service.drain_move_start..self.service.drain_move_end);
        info!(connections, "left: clients are moved");
        self.stage();
        ChangeOutcome::Changed
    }

    fn join(&mut self) -> ChangeOutcome {
        if self.left_at.take().is_none() {
            return ChangeOutcome::Same;
        }
        (self.leaving, self.next_stage) = (None, None);
        self.set_taking(AdmissionMode::All);
        ChangeOutcome::Changed
    }

    /// What a proxy that is emptied takes now.
    fn stage(&mut self) {
        let Some(at) = self.left_at.filter(|_| !self.last) else {
            return;
        };
        let (now_taken, next) = admission_during_drain(self.now - at, &self.service);
        self.next_stage = next.map(|after| at + after);
        self.set_taking(now_taken);
    }

    fn set_taking(&mut self, taking: AdmissionMode) {
        if std::mem::replace(&mut self.taking, taking) != taking {
            info!(?taking, "what is taken");
            self.handle(Event::Taking(taking));
        }
    }

    /// Moves all clients within a time from now; those of an earlier word go no later than it said.
    fn leave_within(&mut self, within: Range<Duration>) -> usize {
        let left: Vec<RequestId> = self.on_server.values().flatten().copied().collect();
        let count = left.len();
        let (from, until) = (self.now + within.start, self.now + within.end);
        if self
            .leaving
            .as_ref()
            .is_none_or(|earlier| earlier.until > until)
        {
            self.leaving = Some(MoveSchedule::new(left, from, until));
        }
        self.next_spread = Some(self.now);
        count
    }

    fn up(&mut self, id: RequestId, server: ServerId) {
        if self.succeeded {
            self.order(id, ConnectionCommand::HandOver);
        }
        if let Some(conn) = self.connections.get_mut(&id) {
            conn.attempt_server = None;
            conn.connected_server = Some(server);
            self.on_server.entry(server).or_default().insert(id);
            if let Some(leaving) = &mut self.leaving {
                leaving.pending.push(id);
                self.next_spread = Some(self.now);
            }
            if let Some(draining) = self.draining.get_mut(&server) {
                draining.pending.push(id);
                self.next_spread = Some(self.now);
            }
        }
    }

    fn forget(&mut self, id: RequestId) {
        let on = self
            .connections
            .remove(&id)
            .and_then(|conn| conn.connected_server);
        if let Some(server) = on
            && let Some(ids) = self.on_server.get_mut(&server)
        {
            ids.remove(&id);
            if ids.is_empty() {
                self.on_server.remove(&server);
            }
        }
    }

    fn list(&mut self, kind: ListKind, rows: Vec<ListedServer>) {
        let mut entries: Vec<Entry> = Vec::with_capacity(rows.len());
        for listed in rows {
            let server = listed.row.server;
            // Two identities behind one number would share their books and their address.
            let other = |(uid, _): &(String, SocketAddr)| *uid != listed.uid;
            if self.addresses.get(&server).is_some_and(other) {
                error!(
                    uid = listed.uid,
                    "a server whose number is taken is passed over"
                );
                continue;
            }
            if let Some(endpoint) = listed.endpoint {
                let address = (listed.uid.clone(), endpoint);
                let old = self.addresses.insert(server, address);
                if let Some((_, old)) = old.filter(|(_, old)| *old != endpoint) {
                    self.left_behind(server, old);
                }
            }
            let mut row = listed.row.clone();
            self.last_rows.insert(server, listed.row);
            self.record_if_out(&listed.uid);
            self.apply_overrides(&listed.uid, &mut row);
            entries.push(row.to_entry(&self.names));
            self.note_status(server, row.status);
        }
        if kind != ListKind::Update {
            // A server that a whole list leaves out is gone.
            let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
            for (_, row) in self
                .last_rows
                .iter_mut()
                .filter(|(id, _)| !listed.contains(id))
            {
                row.status = Status::Gone;
            }
            let used: Vec<ServerId> = self.on_server.keys().copied().collect();
            for server in used.into_iter().filter(|server| !listed.contains(server)) {
                self.note_status(server, Status::Gone);
            }
        }
        self.handle(Event::Servers(kind, entries));
    }

    /// A server is told at a new address. Its clients at the old one stay while that answers, for as
    /// long as an absence may last.
    fn left_behind(&mut self, server: ServerId, old: SocketAddr) {
        let Some(members) = &self.members else { return };
        let stays = Duration::from_millis(members.absent_for());
        let at_old = |id: &&RequestId| self.connections.get(id).is_some_and(|c| c.at == Some(old));
        let on = self.on_server.get(&server).into_iter().flatten();
        let left: Vec<RequestId> = on.filter(at_old).copied().collect();
        if left.is_empty() {
            return;
        }
        let uid = self.addresses.get(&server).map(|(uid, _)| uid);
        info!(uid, %old, connections = left.len(), "a server has another address");
        let from = self.now + stays;
        let until = from + self.limits.drain_span;
        self.strays.push(MoveSchedule::new(left, from, until));
        self.next_spread = Some(self.now);
    }

    /// Has the clients of a server that leaves moved, before it goes.
    fn note_status(&mut self, server: ServerId, status: Status) {
        if matches!(status, Status::Up | Status::Suspected) {
            self.draining.remove(&server);
            return;
        }
        if !self.draining.contains_key(&server) {
            let left = self.on_server.get(&server).into_iter().flatten();
            let left: Vec<RequestId> = left.copied().collect();
            self.recall(server);
            let uid = self.addresses.get(&server).map(|(uid, _)| uid);
            info!(uid, ?status, connections = left.len(), "a server leaves");
            // A server that is gone already has no time to wait for.
            let wait = match status {
                Status::Gone => Duration::ZERO,
                _ => self.limits.drain_wait,
            };
            let from = self.now + wait;
            let until = from + self.limits.drain_span;
            self.draining
                .insert(server, MoveSchedule::new(left, from, until));
            self.next_spread = Some(self.now);
        } else if status == Status::Gone
            && self.members.is_some()
            && let Some(spread) = self.draining.get_mut(&server)
        {
            // It drained, and does not answer any more: no time is left to wait for.
            spread.start_now(self.now, self.limits.drain_span);
        }
    }

    /// Attempts that have not sent anything to a server that leaves go elsewhere.
    fn recall(&mut self, server: ServerId) {
        for conn in self
            .connections
            .values()
            .filter(|conn| conn.attempt_server == Some(server))
        {
            // One that has just ended needs no word, and one that takes none has its deadline.
            let _ = conn.orders.try_send(ConnectionCommand::Recall);
        }
    }

    /// Moves of the clients of a server or a proxy that leaves: a few at each tick.
    fn spread_moves(&mut self, now: Instant) {
        let tick = self.limits.move_interval;
        let mut due = Vec::new();
        let spreads = self.draining.values_mut().chain(&mut self.leaving);
        let spreads = spreads.chain(&mut self.strays);
        let mut busy = false;
        for spread in spreads {
            busy |= !spread.pending.is_empty() || now < spread.until;
            if now < spread.from {
                continue;
            }
            due.extend(spread.take_due(now));
        }
        self.strays.retain(|spread| !spread.pending.is_empty());
        self.forget_gone(now);
        for id in due {
            self.order(id, ConnectionCommand::Move);
        }
        self.next_spread = busy.then(|| now + tick);
    }

    /// Where a catalogue remembers servers, those that are gone with all their clients are forgotten here.
    fn forget_gone(&mut self, now: Instant) {
        let Some(members) = &self.members else { return };
        let (on_server, addresses) = (&self.on_server, &mut self.addresses);
        let told = &mut self.last_rows;
        self.draining.retain(|server, spread| {
            let over = spread.pending.is_empty() && spread.until <= now;
            let known = |(uid, _): &(String, SocketAddr)| members.is_known(uid);
            let listed = addresses.get(server).is_some_and(known);
            let stays = !over || listed || on_server.contains_key(server);
            if !stays {
                addresses.remove(server);
                told.remove(server);
            }
            stays
        });
    }

    /// Hands an event to the module and carries out what it says.
    fn handle(&mut self, event: Event) {
        trace!(?event);
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer
            .handle_event(self.clock.seconds_at(self.now), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn give_up_reason(&self, id: RequestId) -> Option<GiveUpReason> {
        let given_up = self.balancer.given_up_requests();
        let found = given_up.iter().find(|(of, _)| *of == id);
        found.map(|(_, reason)| *reason)
    }

    fn carry_out(&mut self, action: Action) {
        trace!(?action);
        match action {
            Action::Send(id, server, timeout, begin_within) => {
                let Some(&(_, endpoint)) = self.addresses.get(&server) else {
                    return error!(server, "the module names a server without an address");
                };
                let within = Duration::from_secs_f64(timeout.clamp(0.0, 3600.0));
                let order = ConnectionCommand::Send {
                    server,
                    endpoint,
                    within,
                    write_by: begin_within
                        .map(|left| self.now + Duration::from_secs_f64(left.clamp(0.0, 3600.0))),
                    report_write: self.balancer.awaits_write(id),
                };
                if let Some(conn) = self.connections.get_mut(&id) {
                    (conn.attempt_server, conn.at) = (Some(server), Some(endpoint));
                }
                debug!(
                    request = id,
                    server,
                    at_us = monotonic_us(),
                    "attempt decided"
                );
                self.order(id, order);
            }
            Action::Refuse(id, wait) => {
                debug!(request = id, reason = ?self.give_up_reason(id), "refused");
                self.answer(id, ConnectionCommand::Refuse(wait));
            }
            Action::Fail(id) => {
                debug!(request = id, reason = ?self.give_up_reason(id), "failed");
                self.answer(id, ConnectionCommand::Fail);
            }
            Action::Move(id) => self.order(id, ConnectionCommand::Move),
            Action::Cancel(id, _) => self.order(id, ConnectionCommand::Cancel),
            Action::Probe(server) => {
                let Some(&(_, endpoint)) = self.addresses.get(&server) else {
                    return;
                };
                if !self.probes.send_probe(server, endpoint) {
                    debug!(server, "too many probes wait: one is left out");
                }
            }
            // The watch runs from the start to the end, asked or not.
            Action::Subscribe => {}
            Action::Timer(after, token) => {
                let after = Duration::from_secs_f64(after.clamp(0.0, 1e6));
                self.timers.push(Reverse((self.now + after, token)));
            }
        }
    }

    /// A final answer: the connection is told, and the engine is done with it.
    fn answer(&mut self, id: RequestId, order: ConnectionCommand) {
        self.order(id, order);
        self.forget(id);
    }

    fn order(&mut self, id: RequestId, order: ConnectionCommand) {
        // One that has ended just now needs no orders.
        if let Some(conn) = self.connections.get(&id)
            && let Err(mpsc::error::TrySendError::Full(order)) = conn.orders.try_send(order)
        {
            error!(id, ?order, "a connection does not take its orders");
        }
    }
}

/// A row of a list as a source's word.
pub fn to_catalogue_row(listed: ListedServer) -> Option<violetwind_catalogue::Row> {
    let row = listed.row;
    let word = match row.status {
        Status::Up => ReportedStatus::Ready,
        Status::Suspected => ReportedStatus::Failing,
        Status::Draining => ReportedStatus::Draining,
        Status::Gone => ReportedStatus::Left,
    };
    let instance = listed.endpoint.map(|endpoint| Instance {
        endpoint,
        zone: row.zone.map(Into::into),
        kind: row.kind.map(Into::into),
        cell: row.cell,
        weight: row.rating,
        born: row
            .started_at
            .filter(|at| *at > 0.0)
            .map(|at| (at * 1e3) as u64),
        epoch: 0,
    });
    // Only what has left needs no address.
    (instance.is_some() || word == ReportedStatus::Left).then(|| violetwind_catalogue::Row {
        uid: listed.uid.into(),
        status: word,
        instance,
    })
}

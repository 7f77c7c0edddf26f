//! The engine: turns incoming events into balancer events, executes the balancer's actions as commands to connections,
//! and runs its timers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
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
mod moves;

use crate::clock::{Clock, monotonic_us};
use crate::limits::Limits;
use crate::messages::{
    ConnectionCommand, EngineEvent, ListedServer, OperatorReply, UnlistedServers,
};
use crate::move_schedule::MoveSchedule;
use crate::sources::SourceSet;
use crate::start_times::{ListContext, StartTimes};

/// Name of the catalogue source that holds the server list of the last run.
const LAST_RUN: &str = "last run";

/// A client's connection or pending request.
#[derive(Debug)]
struct ConnectionState {
    commands: mpsc::Sender<ConnectionCommand>,
    /// Server of the pending attempt.
    attempt_server: Option<ServerId>,
    /// Server of the established connection.
    connected_server: Option<ServerId>,
    /// Address of the last attempt.
    address: Option<SocketAddr>,
}

impl ConnectionState {
    fn new(commands: mpsc::Sender<ConnectionCommand>) -> Self {
        Self {
            commands,
            attempt_server: None,
            connected_server: None,
            address: None,
        }
    }
}

/// Sends probes to servers; the results return as [`EngineEvent::Probed`].
pub trait ProbeSender {
    /// Queues a probe of a server at an address. Returns false if too many probes are queued already.
    fn send_probe(&mut self, server: ServerId, address: SocketAddr) -> bool;
}

/// Configuration of an engine.
#[derive(Debug)]
pub struct EngineConfig {
    pub settings: Settings,
    pub seed: u64,
    pub names: NameTable,
    pub limits: Limits,
    /// If present, a catalogue combines the lists of several sources; if absent, lists come as
    /// [`EngineEvent::ServerList`].
    pub catalogue_limits: Option<violetwind_catalogue::Limits>,
    pub service_limits: violetwind_service::Limits,
    /// Servers that operators have banned.
    pub bans: Bans,
    /// Whether an operator's `LEAVE` is in force for this proxy.
    pub has_left: bool,
    /// Machine of each server, for work orders that take machines out of service.
    pub machines: MachineMap,
}

/// Owns the balancer and the state of all connections. Except for [`Self::run`], its methods neither wait nor do I/O,
/// so it can also be driven in simulated time.
pub struct Engine<P> {
    names: NameTable,
    limits: Limits,
    clock: Clock,
    now: Instant,
    balancer: Balancer,
    actions: Vec<Action>,
    probes: P,
    sources: Option<SourceSet>,
    /// Rows of the catalogue that were not passed to the balancer yet; only the newest row of a server is kept.
    pending_rows: BTreeMap<ServerId, ListedServer>,
    connections: HashMap<RequestId, ConnectionState>,
    /// Identity and address of each server, by its number.
    addresses: HashMap<ServerId, (String, SocketAddr)>,
    start_times: StartTimes,
    /// Sources that have given a list; the empty name is used for lists without a catalogue.
    sources_with_list: BTreeSet<Rc<str>>,
    /// Latest row of each server, before bans and work orders are applied.
    last_rows: HashMap<ServerId, ServerRow>,
    service_limits: violetwind_service::Limits,
    bans: Bans,
    machines_out: MachinesOut,
    slow_start_window: Seconds,
    /// When an operator started to drain this proxy.
    drain_started_at: Option<Instant>,
    admission: AdmissionMode,
    /// When the drain changes the admission mode next.
    next_admission_change: Option<Instant>,
    is_shutting_down: bool,
    /// Whether the shutdown has ended all admission for good.
    is_closed: bool,
    /// Whether a successor process serves.
    has_successor: bool,
    connections_by_server: HashMap<ServerId, BTreeSet<RequestId>>,
    server_drains: BTreeMap<ServerId, MoveSchedule>,
    proxy_drain: Option<MoveSchedule>,
    /// Moves of connections to addresses that their servers no longer have.
    old_address_moves: Vec<MoveSchedule>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    next_move_step: Option<Instant>,
}

impl<P: ProbeSender> Engine<P> {
    /// Creates an engine, which is then started by [`Self::run`] or [`Self::start`].
    pub fn new(config: EngineConfig, clock: Clock, probes: P) -> Self {
        Self {
            machines_out: MachinesOut::new(config.machines),
            slow_start_window: config.settings.slow_start_window,
            balancer: Balancer::new(config.settings, config.seed),
            names: config.names,
            limits: config.limits,
            now: clock.start(),
            clock,
            actions: Vec::new(),
            probes,
            sources: config.catalogue_limits.map(SourceSet::new),
            pending_rows: BTreeMap::new(),
            connections: HashMap::new(),
            addresses: HashMap::new(),
            start_times: StartTimes::default(),
            sources_with_list: BTreeSet::new(),
            last_rows: HashMap::new(),
            service_limits: config.service_limits,
            bans: config
                .bans
                .with_times_clamped((clock.seconds_at(clock.start()) * 1e3) as Millis),
            drain_started_at: config.has_left.then(|| clock.start()),
            admission: AdmissionMode::All,
            next_admission_change: None,
            is_shutting_down: false,
            is_closed: false,
            has_successor: false,
            connections_by_server: HashMap::new(),
            server_drains: BTreeMap::new(),
            proxy_drain: None,
            old_address_moves: Vec::new(),
            timers: BinaryHeap::new(),
            next_move_step: None,
        }
    }

    /// Runs until the event channel is closed. `last_run_servers` is the server list of the last run; `ready` is set to
    /// true once a source has given a newer list.
    pub async fn run(
        mut self,
        mut events: mpsc::Receiver<EngineEvent>,
        last_run_servers: Vec<ListedServer>,
        ready: Rc<watch::Sender<bool>>,
    ) {
        self.start(Instant::now(), last_run_servers);
        loop {
            let wakeup_at = self.next_wakeup();
            let wake = async {
                match wakeup_at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => {
                        let completes_list = match &event {
                            EngineEvent::ServerList(..) => true,
                            EngineEvent::SourceUpdate(_, update) => update.completes_snapshot(),
                            _ => false,
                        };
                        self.handle_event(Instant::now(), event);
                        if completes_list {
                            ready.send_replace(true);
                        }
                    }
                    None => return,
                },
                () = wake => self.handle_wakeup(Instant::now()),
            }
            if !self.pending_rows.is_empty() {
                yield_now().await;
            }
        }
    }

    /// Starts the balancer with the server list of the last run.
    pub fn start(&mut self, now: Instant, last_run_servers: Vec<ListedServer>) {
        self.now = now;
        self.dispatch_event(Event::Start);
        if self.drain_started_at.is_some() {
            self.set_admission(AdmissionMode::Nothing);
            // How long ago the proxy left is not known: connections that are handed over are moved at once.
            self.proxy_drain = Some(MoveSchedule::new(Vec::new(), now, now));
        }
        if self.sources.is_none() {
            return self.apply_list(ListKind::Restored, last_run_servers);
        }
        // The last run is a source whose list stays in force until all other sources have given one.
        let last_run_source: Rc<str> = LAST_RUN.into();
        self.handle_event(now, EngineEvent::Sources(vec![last_run_source.clone()]));
        let rows = last_run_servers
            .into_iter()
            .filter_map(to_catalogue_row)
            .collect();
        self.handle_event(
            now,
            EngineEvent::SourceUpdate(last_run_source, SourceUpdate::Snapshot(rows)),
        );
    }

    /// Returns when [`Self::handle_wakeup`] has to be called next.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let timer_at = self.timers.peek().map(|Reverse((at, _))| *at);
        let catalogue_at = self.sources.as_ref().and_then(SourceSet::next_wakeup);
        let catalogue_at = catalogue_at.map(|at| self.clock.instant_at(at));
        let pending_rows_at = (!self.pending_rows.is_empty()).then_some(self.now);
        let candidates = [
            timer_at,
            self.next_move_step,
            self.next_admission_change,
            catalogue_at,
            pending_rows_at,
        ];
        candidates.into_iter().flatten().min()
    }

    /// Handles all timers and scheduled work that are due.
    pub fn handle_wakeup(&mut self, now: Instant) {
        self.now = now;
        while let Some(Reverse((at, token))) = self.timers.peek().copied()
            && at <= now
        {
            self.timers.pop();
            self.dispatch_event(Event::Timer(token));
        }
        if self.next_admission_change.is_some_and(|at| at <= now) {
            self.update_admission();
        }
        if self.next_move_step.is_some_and(|at| at <= now) {
            self.issue_due_moves(now);
        }
        self.apply_pending_rows();
        let catalogue_due_at = self.sources.as_ref().and_then(SourceSet::next_wakeup);
        if catalogue_due_at.is_some_and(|at| self.clock.instant_at(at) <= now) {
            self.update_catalogue(|sources, now| sources.handle_wakeup(now));
        }
    }

    /// Applies a server list that does not come from a catalogue.
    fn apply_list(&mut self, kind: ListKind, mut rows: Vec<ListedServer>) {
        let context = self.list_context("");
        for listed in &mut rows {
            let start = listed.row.started_at;
            listed.row.started_at = self.start_times.resolve(&listed.uid, start, context);
        }
        if matches!(kind, ListKind::Replace | ListKind::Update) {
            self.sources_with_list.insert("".into());
        }
        self.send_rows(kind, rows);
    }

    /// Replaces the start times of servers in Unix time by those of the monotonic clock.
    fn resolve_start_times(&mut self, source: &Rc<str>, update: &mut SourceUpdate) {
        let context = self.list_context(source);
        let completes = update.completes_snapshot();
        let rows = match update {
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
            let listed_start = instance.started_at.map(|ms| ms as Seconds / 1e3);
            let start = self.start_times.resolve(&row.uid, listed_start, context);
            instance.started_at = start.map(|at| (at * 1e3) as u64);
        }
        if completes && &**source != LAST_RUN {
            self.sources_with_list.insert(source.clone());
        }
    }

    /// Returns the context for reading a list of a source.
    fn list_context(&self, source: &str) -> ListContext {
        ListContext {
            now: self.clock.seconds_at(self.now),
            unix_seconds: self.clock.unix_seconds(self.now),
            has_earlier_list: self.sources_with_list.contains(source),
            slow_start_window: self.slow_start_window,
        }
    }

    /// Runs an operation on the catalogue and applies the resulting changes. Servers that leave are passed to the
    /// balancer immediately, all others in batches between which other events are handled.
    fn update_catalogue(
        &mut self,
        operation: impl FnOnce(&mut SourceSet, u64) -> Vec<ListedServer>,
    ) {
        let now = (self.clock.seconds_at(self.now) * 1e3) as u64;
        let rows = match &mut self.sources {
            Some(sources) => operation(sources, now),
            None => return,
        };
        let mut immediate_rows = Vec::new();
        for listed in rows {
            let server = listed.row.server;
            match listed.row.status {
                Status::Draining | Status::Gone => {
                    // A pending row of the server is older.
                    self.pending_rows.remove(&server);
                    immediate_rows.push(listed);
                }
                Status::Up | Status::Suspected => drop(self.pending_rows.insert(server, listed)),
            }
        }
        if !immediate_rows.is_empty() {
            self.send_rows(ListKind::Update, immediate_rows);
        }
        self.apply_pending_rows();
    }

    /// Passes the next batch of pending rows to the balancer.
    fn apply_pending_rows(&mut self) {
        let mut rows = Vec::new();
        while rows.len() < self.limits.max_rows_per_step
            && let Some((_, listed)) = self.pending_rows.pop_first()
        {
            rows.push(listed);
        }
        if !rows.is_empty() {
            self.send_rows(ListKind::Update, rows);
        }
    }

    /// Reports to the catalogue whether a server answered.
    fn report_reachability(&mut self, server: ServerId, answered: bool) {
        if self.sources.is_none() {
            return;
        }
        if let Some((uid, _)) = self.addresses.get(&server) {
            let uid = uid.clone();
            self.update_catalogue(|sources, now| sources.report_reachability(now, &uid, answered));
        }
    }

    /// Handles one event and sends the resulting commands before it returns.
    pub fn handle_event(&mut self, now: Instant, event: EngineEvent) {
        self.now = now;
        match event {
            EngineEvent::ServerList(kind, rows) => self.apply_list(kind, rows),
            EngineEvent::Sources(names) => {
                self.update_catalogue(|sources, now| sources.set_sources(now, &names))
            }
            EngineEvent::SourceUpdate(name, mut update) => {
                self.resolve_start_times(&name, &mut update);
                self.update_catalogue(|sources, now| sources.apply_update(now, &name, update));
            }
            EngineEvent::ListUnavailable => {
                self.dispatch_event(Event::Servers(ListKind::Unavailable, Vec::new()))
            }
            EngineEvent::Request(request, commands) => {
                self.connections
                    .insert(request.id, ConnectionState::new(commands));
                self.dispatch_event(Event::Request(request));
            }
            EngineEvent::Resume(id, uid, commands) => {
                let server = server_id(&uid);
                let address = self.addresses.get(&server);
                let command = match address.filter(|_| !self.is_kept_out(&uid)) {
                    _ if self.is_closed => ConnectionCommand::Fail,
                    Some(&(_, endpoint)) => ConnectionCommand::Send {
                        server,
                        endpoint,
                        within: self.limits.resume_timeout,
                        write_by: None,
                        report_write: false,
                    },
                    None => ConnectionCommand::NotYet,
                };
                let mut connection = ConnectionState::new(commands);
                if let ConnectionCommand::Send { endpoint, .. } = command {
                    connection.address = Some(endpoint);
                }
                self.connections.insert(id, connection);
                self.send_command(id, command);
            }
            EngineEvent::Allowances(allowances, reply) => {
                for (quota, allowance, until) in allowances {
                    let lease_end = self.clock.seconds_at(until);
                    self.dispatch_event(Event::Allowance(
                        quota,
                        Allowance {
                            lease_end,
                            ..allowance
                        },
                    ));
                }
                // The sender may have gone; it needs no reply then.
                let _ = reply.send(self.balancer.quota_usage(self.clock.seconds_at(now)));
            }
            EngineEvent::Resumed(request, server) => {
                self.mark_connected(request.id, server);
                self.dispatch_event(Event::Open(request, server));
            }
            EngineEvent::Adopted(request, server, commands) => {
                let id = request.id;
                let mut connection = ConnectionState::new(commands);
                let address = self.addresses.get(&server);
                connection.address = address.map(|(_, endpoint)| *endpoint);
                let is_known = address.is_some();
                self.connections.insert(id, connection);
                self.mark_connected(id, server);
                self.dispatch_event(Event::Open(request, server));
                if !is_known {
                    // No list in this process has named the server.
                    self.send_command(id, ConnectionCommand::Move);
                }
            }
            EngineEvent::Written(id, server) => self.dispatch_event(Event::Written(id, server)),
            EngineEvent::ConnectionUp(id, server) => {
                self.mark_connected(id, server);
                self.dispatch_event(Event::Begun(id, server));
                self.report_reachability(server, true);
            }
            EngineEvent::AttemptEnded(attempt_end) => {
                if attempt_end.is_final {
                    self.remove_connection(attempt_end.id);
                } else if let Some(connection) = self.connections.get_mut(&attempt_end.id) {
                    connection.attempt_server = None;
                }
                let connect_failed = attempt_end.outcome == Outcome::ConnectFailed;
                let server = attempt_end.server;
                self.dispatch_event(Event::Outcome(attempt_end));
                if connect_failed {
                    self.report_reachability(server, false);
                }
            }
            EngineEvent::ClientGone(id) => {
                self.remove_connection(id);
                self.dispatch_event(Event::Gone(id));
            }
            EngineEvent::ConnectionLoad(id, load) => self.dispatch_event(Event::LoadNote(id, load)),
            EngineEvent::MessageDelay(server, delay) => {
                self.dispatch_event(Event::DelayNote(server, delay))
            }
            EngineEvent::ServerUnresponsive(server) => {
                // The balancer treats unanswered lines like unanswered probes.
                let outcome = Outcome::TimedOut;
                self.dispatch_event(Event::Probed(server, outcome, Report::default()));
                self.report_reachability(server, false);
            }
            EngineEvent::Probed(server, outcome, report) => {
                self.dispatch_event(Event::Probed(server, outcome, report));
                match outcome {
                    Outcome::Ok | Outcome::Full | Outcome::Error => {
                        self.report_reachability(server, true)
                    }
                    Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                        self.report_reachability(server, false);
                    }
                    // No probe was sent to the server.
                    Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFailure => {}
                }
            }
            EngineEvent::Shutdown(move_window) => {
                self.is_shutting_down = true;
                let connections = self.schedule_all_moves(move_window);
                info!(connections, "shutdown: clients are moved");
            }
            EngineEvent::FinishShutdown => {
                self.next_admission_change = None;
                self.set_admission(AdmissionMode::Nothing);
                self.is_closed = true;
                let connected: Vec<RequestId> = self
                    .connections_by_server
                    .values()
                    .flatten()
                    .copied()
                    .collect();
                for id in connected {
                    self.send_command(id, ConnectionCommand::Move);
                }
            }
            EngineEvent::SuccessorChanged(Some(move_window)) => {
                self.has_successor = true;
                let connections = self.schedule_all_moves(move_window);
                info!(
                    connections,
                    "a successor serves: connections are handed over"
                );
                let connected: Vec<RequestId> = self
                    .connections_by_server
                    .values()
                    .flatten()
                    .copied()
                    .collect();
                for id in connected {
                    self.send_command(id, ConnectionCommand::HandOver);
                }
            }
            EngineEvent::SuccessorChanged(None) => {
                self.has_successor = false;
                if !self.is_shutting_down && self.drain_started_at.is_none() {
                    self.proxy_drain = None;
                }
            }
            EngineEvent::Settings(settings, names) => {
                self.names = names;
                self.slow_start_window = settings.slow_start_window;
                self.dispatch_event(Event::Settings(settings));
                self.resend_all_rows();
            }
            // The receiver of the reply may have gone.
            EngineEvent::OperatorChange(change, unlisted, reply) => {
                drop(reply.send(self.apply_operator_change(change, unlisted)));
            }
            EngineEvent::MachinesOut(machines, reply) => {
                self.set_machines_out(machines);
                let _ = reply.send(());
            }
            EngineEvent::QueryMachines(reply) => drop(reply.send(self.snapshot_machines())),
            EngineEvent::Health(reply) => drop(reply.send(self.addresses.len())),
        }
    }

    /// Applies an operator's change, which is in force once this returns.
    fn apply_operator_change(
        &mut self,
        change: OperatorChange,
        unlisted: UnlistedServers,
    ) -> OperatorReply {
        let now = (self.clock.seconds_at(self.now) * 1e3) as Millis;
        let outcome = match &change {
            OperatorChange::Leave | OperatorChange::Join if self.is_shutting_down => {
                return OperatorReply::Ending;
            }
            OperatorChange::Leave => self.start_proxy_drain(),
            OperatorChange::Join => self.cancel_proxy_drain(),
            OperatorChange::Offline(uid) | OperatorChange::Online(uid)
                if unlisted == UnlistedServers::Reject && !self.is_known_server(uid) =>
            {
                return OperatorReply::Unknown;
            }
            OperatorChange::Offline(uid) => {
                self.machines_out.set_override(uid, false);
                self.bans.ban(uid, now, &self.service_limits)
            }
            OperatorChange::Online(uid) => {
                let override_changed = self.machines_out.set_override(uid, true);
                self.machines_out
                    .record_transition(uid, now, &self.service_limits);
                match self.bans.unban(uid, now, &self.service_limits) {
                    ChangeOutcome::Same if override_changed => ChangeOutcome::Changed,
                    outcome => outcome,
                }
            }
        };
        if let (
            ChangeOutcome::Changed,
            OperatorChange::Offline(uid) | OperatorChange::Online(uid),
        ) = (outcome, &change)
        {
            self.resend_row(uid);
        }
        info!(
            ?change,
            kept = ?outcome,
            out = self.bans.count(),
            "operator change handled"
        );
        match outcome {
            ChangeOutcome::Changed => OperatorReply::Changed(self.bans.clone()),
            ChangeOutcome::Same => OperatorReply::Same(self.bans.clone()),
            ChangeOutcome::Full => OperatorReply::Full,
        }
    }

    /// Whether any list has named a server, or it is banned.
    fn is_known_server(&self, uid: &str) -> bool {
        let address = self.addresses.get(&server_id(uid));
        self.bans.is_banned(uid) || address.is_some_and(|(known, _)| known == uid)
    }

    /// Passes a server's row to the balancer again after its ban, override or work order has changed.
    fn resend_row(&mut self, uid: &str) {
        let server = server_id(uid);
        if let Some(row) = self.last_rows.get(&server).cloned() {
            let listed = ListedServer {
                uid: uid.to_string(),
                endpoint: None,
                row,
            };
            self.send_rows(ListKind::Update, vec![listed]);
        }
        let is_up = |status| matches!(status, Status::Up | Status::Suspected);
        let up_rows = self.last_rows.iter().filter(|(_, row)| is_up(row.status));
        let uids = up_rows.filter_map(|(server, _)| self.addresses.get(server));
        let mut servers_in_use = uids.filter(|(uid, _)| !self.is_kept_out(uid));
        if self.is_kept_out(uid) && servers_in_use.next().is_none() {
            warn!(
                uid,
                "the last server was taken out of use: no request can be served"
            );
        }
    }

    /// Passes the rows of all servers to the balancer again, because new settings may have given numbers to names in
    /// the list.
    fn resend_all_rows(&mut self) {
        let listed = self.last_rows.iter().filter_map(|(server, row)| {
            Some(ListedServer {
                uid: self.addresses.get(server)?.0.clone(),
                endpoint: None,
                row: row.clone(),
            })
        });
        let rows = listed.collect();
        self.send_rows(ListKind::Update, rows);
    }

    /// Applies bans and work orders to a listed row: the status and the start time.
    fn apply_overrides(&self, uid: &str, row: &mut ServerRow) {
        if self.is_kept_out(uid) && matches!(row.status, Status::Up | Status::Suspected) {
            row.status = Status::Draining;
        }
        let listed_start = row
            .started_at
            .map(|started_at| (started_at * 1e3) as Millis);
        let started_at = self
            .machines_out
            .started_at(uid, self.bans.started_at(uid, listed_start));
        if started_at != listed_start {
            row.started_at = started_at.map(|ms| ms as f64 / 1e3);
        }
    }

    /// Drains the proxy after an operator's `LEAVE`.
    fn start_proxy_drain(&mut self) -> ChangeOutcome {
        if self.drain_started_at.is_some() {
            return ChangeOutcome::Same;
        }
        self.drain_started_at = Some(self.now);
        let connections = self.schedule_all_moves(
            self.service_limits.drain_move_start..self.service_limits.drain_move_end,
        );
        info!(connections, "proxy drain started: clients are moved");
        self.update_admission();
        ChangeOutcome::Changed
    }

    /// Ends the drain after an operator's `JOIN`; connections that were not moved yet stay.
    fn cancel_proxy_drain(&mut self) -> ChangeOutcome {
        if self.drain_started_at.take().is_none() {
            return ChangeOutcome::Same;
        }
        (self.proxy_drain, self.next_admission_change) = (None, None);
        self.set_admission(AdmissionMode::All);
        ChangeOutcome::Changed
    }

    /// Sets the admission mode for the current stage of the proxy's drain.
    fn update_admission(&mut self) {
        let Some(started_at) = self.drain_started_at.filter(|_| !self.is_closed) else {
            return;
        };
        let (mode, next) = admission_during_drain(self.now - started_at, &self.service_limits);
        self.next_admission_change = next.map(|after| started_at + after);
        self.set_admission(mode);
    }

    /// Changes the admission mode and notifies the balancer.
    fn set_admission(&mut self, mode: AdmissionMode) {
        if std::mem::replace(&mut self.admission, mode) != mode {
            info!(taking = ?mode, "admission mode changed");
            self.dispatch_event(Event::Taking(mode));
        }
    }

    /// Records an established connection. Hands it over if a successor serves, and schedules its move if the proxy or
    /// the server drains, or if the server's address has changed during the attempt.
    fn mark_connected(&mut self, id: RequestId, server: ServerId) {
        if self.has_successor {
            self.send_command(id, ConnectionCommand::HandOver);
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.attempt_server = None;
            connection.connected_server = Some(server);
            self.connections_by_server
                .entry(server)
                .or_default()
                .insert(id);
            if let Some(schedule) = &mut self.proxy_drain {
                schedule.pending.push(id);
                self.next_move_step = Some(self.now);
            }
            if let Some(schedule) = self.server_drains.get_mut(&server) {
                schedule.pending.push(id);
                self.next_move_step = Some(self.now);
            }
            let current = self.addresses.get(&server).map(|(_, endpoint)| *endpoint);
            if connection.address != current {
                self.move_from_old_address(vec![id]);
            }
        }
    }

    /// Removes a connection and its entry at the server.
    fn remove_connection(&mut self, id: RequestId) {
        let connected_server = self
            .connections
            .remove(&id)
            .and_then(|connection| connection.connected_server);
        if let Some(server) = connected_server
            && let Some(ids) = self.connections_by_server.get_mut(&server)
        {
            ids.remove(&id);
            if ids.is_empty() {
                self.connections_by_server.remove(&server);
            }
        }
    }

    /// Records rows of a list, applies bans and work orders to them and passes them to the balancer.
    fn send_rows(&mut self, kind: ListKind, rows: Vec<ListedServer>) {
        let mut entries: Vec<Entry> = Vec::with_capacity(rows.len());
        for listed in rows {
            let server = listed.row.server;
            // Two identities with one number would share their statistics and their address.
            let has_other_uid = |(uid, _): &(String, SocketAddr)| *uid != listed.uid;
            if self.addresses.get(&server).is_some_and(has_other_uid) {
                error!(
                    uid = listed.uid,
                    "server ignored: its number belongs to another server"
                );
                continue;
            }
            if let Some(endpoint) = listed.endpoint {
                let address = (listed.uid.clone(), endpoint);
                let old = self.addresses.insert(server, address);
                if let Some((_, old)) = old.filter(|(_, old)| *old != endpoint) {
                    self.schedule_old_address_moves(server, old);
                }
            }
            let mut row = listed.row.clone();
            self.last_rows.insert(server, listed.row);
            self.record_if_out(&listed.uid);
            self.apply_overrides(&listed.uid, &mut row);
            entries.push(row.to_entry(&self.names));
            self.apply_status(server, row.status);
        }
        if kind != ListKind::Update {
            // A server that a complete list omits is gone.
            let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
            for (_, row) in self
                .last_rows
                .iter_mut()
                .filter(|(id, _)| !listed.contains(id))
            {
                row.status = Status::Gone;
            }
            let servers_in_use: Vec<ServerId> =
                self.connections_by_server.keys().copied().collect();
            for server in servers_in_use
                .into_iter()
                .filter(|server| !listed.contains(server))
            {
                self.apply_status(server, Status::Gone);
            }
        }
        self.dispatch_event(Event::Servers(kind, entries));
    }

    /// Passes an event to the balancer and executes the resulting actions.
    fn dispatch_event(&mut self, event: Event) {
        trace!(?event);
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer
            .handle_event(self.clock.seconds_at(self.now), event, &mut actions);
        for action in actions.drain(..) {
            self.execute_action(action);
        }
        self.actions = actions;
    }

    /// Returns why the balancer gave up a request, for the log.
    fn give_up_reason(&self, id: RequestId) -> Option<GiveUpReason> {
        let given_up = self.balancer.given_up_requests();
        let found = given_up.iter().find(|(given_up_id, _)| *given_up_id == id);
        found.map(|(_, reason)| *reason)
    }

    fn execute_action(&mut self, action: Action) {
        trace!(?action);
        match action {
            Action::Send(id, server, timeout, begin_within) => {
                let Some(&(_, endpoint)) = self.addresses.get(&server) else {
                    return error!(
                        server,
                        "attempt dropped: the balancer chose a server without an address"
                    );
                };
                let within = Duration::from_secs_f64(timeout.clamp(0.0, 3600.0));
                let command = ConnectionCommand::Send {
                    server,
                    endpoint,
                    within,
                    write_by: begin_within
                        .map(|left| self.now + Duration::from_secs_f64(left.clamp(0.0, 3600.0))),
                    report_write: self.balancer.awaits_write(id),
                };
                if let Some(connection) = self.connections.get_mut(&id) {
                    (connection.attempt_server, connection.address) =
                        (Some(server), Some(endpoint));
                }
                debug!(
                    request = id,
                    server,
                    at_us = monotonic_us(),
                    "attempt decided"
                );
                self.send_command(id, command);
            }
            Action::Refuse(id, wait) => {
                debug!(request = id, reason = ?self.give_up_reason(id), "refused");
                self.send_final_command(id, ConnectionCommand::Refuse(wait));
            }
            Action::Fail(id) => {
                debug!(request = id, reason = ?self.give_up_reason(id), "failed");
                self.send_final_command(id, ConnectionCommand::Fail);
            }
            Action::Move(id) => self.send_command(id, ConnectionCommand::Move),
            Action::Cancel(id, _) => self.send_command(id, ConnectionCommand::Cancel),
            Action::Probe(server) => {
                let Some(&(_, endpoint)) = self.addresses.get(&server) else {
                    return;
                };
                if !self.probes.send_probe(server, endpoint) {
                    debug!(server, "probe skipped: too many probes are queued");
                }
            }
            // The sources are watched all the time, with or without a subscription.
            Action::Subscribe => {}
            Action::Timer(after, token) => {
                let after = Duration::from_secs_f64(after.clamp(0.0, 1e6));
                self.timers.push(Reverse((self.now + after, token)));
            }
        }
    }

    /// Sends a final answer to a connection and removes the connection.
    fn send_final_command(&mut self, id: RequestId, command: ConnectionCommand) {
        self.send_command(id, command);
        self.remove_connection(id);
    }

    /// Sends a command to a connection. If the connection's channel is full, the command is dropped and logged.
    fn send_command(&mut self, id: RequestId, command: ConnectionCommand) {
        // A connection that has just ended needs no command.
        if let Some(connection) = self.connections.get(&id)
            && let Err(mpsc::error::TrySendError::Full(command)) =
                connection.commands.try_send(command)
        {
            error!(id, order = ?command, "command channel of a connection is full: command dropped");
        }
    }
}

/// Converts a row of a server list to a row of the catalogue. Returns `None` for a server without an address, unless it
/// has left.
pub fn to_catalogue_row(listed: ListedServer) -> Option<violetwind_catalogue::Row> {
    let row = listed.row;
    let status = match row.status {
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
        started_at: row
            .started_at
            .filter(|at| *at > 0.0)
            .map(|at| (at * 1e3) as u64),
        registration_index: 0,
    });
    // Only a server that has left needs no address.
    (instance.is_some() || status == ReportedStatus::Left).then(|| violetwind_catalogue::Row {
        uid: listed.uid.into(),
        status,
        instance,
    })
}

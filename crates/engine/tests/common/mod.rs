//! An engine without a catalogue in simulated time; the test acts as the servers and the clients.
#![allow(dead_code)] // each test file uses only some of the helpers

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use violetwind_balancer::api::*;
use violetwind_common::{NameTable, ServerRow, server_id};
use violetwind_engine::{
    Clock, ConnectionCommand, Engine, EngineConfig, EngineEvent, Limits, ListedServer,
    OperatorReply, ProbeSender, UnlistedServers,
};
use violetwind_service::{Bans, OperatorChange};

pub const START_UNIX_SECONDS: Seconds = 1.7e9;

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        dedup_scope: DedupScope::All,
        dedup_window: 0.0,
        setup_target: 0.5,
        worth: 1.0,
    }
}

pub fn settings() -> Settings {
    Settings {
        fleet_size: 3,
        balancer_index: 0,
        zone: None,
        zones: 0,
        classes: vec![class(Idempotency::Safe)],
        tenants: Vec::new(),
        report_fields: Vec::new(),
        max_attempts: 4,
        max_retry_after: 1.0,
        may_retry_after: true,
        may_probe: false,
        may_cancel: true,
        requires_subscription: false,
        resubscribe_within: 5.0,
        slow_start_min_share: 0.3,
        slow_start_window: 8.0,
        overload_multiple: 3.0,
        overload_duration: 1.5,
        group_affinity: false,
        price_cross_zone: 0.0,
        price_probe: 0.0,
        over_share_worth: 1.0,
        retry_budget: None,
        message_delay_target: None,
    }
}

struct NoProbes;

impl ProbeSender for NoProbes {
    fn send_probe(&mut self, _: ServerId, _: SocketAddr) -> bool {
        true
    }
}

pub fn listed_server(uid: &str, status: Status, started_at: Option<Seconds>) -> ListedServer {
    ListedServer {
        uid: uid.to_string(),
        endpoint: Some(([127, 0, 0, 1], 1000 + u16::from(uid.as_bytes()[0])).into()),
        row: ServerRow {
            server: server_id(uid),
            cell: 0,
            status,
            kind: None,
            zone: None,
            started_at,
            rating: None,
        },
    }
}

pub struct EngineHarness {
    engine: Engine<NoProbes>,
    start: Instant,
    now: Instant,
    next_request_id: RequestId,
    command_receivers: BTreeMap<RequestId, mpsc::Receiver<ConnectionCommand>>,
    attempts: BTreeMap<RequestId, ServerId>,
    last_commands: BTreeMap<RequestId, ConnectionCommand>,
    moved_requests: BTreeSet<RequestId>,
}

impl EngineHarness {
    pub fn new(uids: &[&str]) -> Self {
        Self::with_seed(uids, 28)
    }

    pub fn with_seed(uids: &[&str], seed: u64) -> Self {
        let start = Instant::now();
        let config = EngineConfig {
            settings: settings(),
            seed,
            names: NameTable::default(),
            limits: Limits {
                max_queued_events: 16,
                max_rows_per_step: 4,
                resume_timeout: Duration::from_secs(1),
                drain_wait: Duration::from_millis(700),
                drain_span: Duration::from_millis(800),
                move_interval: Duration::from_millis(20),
            },
            catalogue_limits: None,
            service_limits: violetwind_service::Limits::default(),
            bans: Bans::default(),
            has_left: false,
            machines: violetwind_service::MachineMap::default(),
        };
        let mut engine = Engine::new(
            config,
            Clock::simulated(start, START_UNIX_SECONDS),
            NoProbes,
        );
        let rows = uids
            .iter()
            .map(|uid| listed_server(uid, Status::Up, None))
            .collect();
        engine.start(start, rows);
        Self {
            engine,
            start,
            now: start,
            next_request_id: 0,
            command_receivers: BTreeMap::new(),
            attempts: BTreeMap::new(),
            last_commands: BTreeMap::new(),
            moved_requests: BTreeSet::new(),
        }
    }

    pub fn server_id(&self, uid: &str) -> ServerId {
        server_id(uid)
    }

    pub fn unix_seconds(&self) -> Seconds {
        START_UNIX_SECONDS + (self.now - self.start).as_secs_f64()
    }

    pub fn handle_event(&mut self, event: EngineEvent) {
        self.engine.handle_event(self.now, event);
    }

    pub fn apply_change(&mut self, change: OperatorChange) -> OperatorReply {
        let (reply, mut reply_receiver) = oneshot::channel();
        self.handle_event(EngineEvent::OperatorChange(
            change,
            UnlistedServers::Reject,
            reply,
        ));
        reply_receiver.try_recv().expect("in force at once")
    }

    pub fn send_list(&mut self, kind: ListKind, rows: Vec<ListedServer>) {
        self.handle_event(EngineEvent::ServerList(kind, rows));
    }

    /// Advances the time and calls the engine at each of its wake-up times.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(at) = self.engine.next_wakeup().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.engine.handle_wakeup(self.now);
        }
        self.now = until;
    }

    /// Adds an established connection that another process has handed over.
    pub fn adopt_connection(&mut self, uid: &str) -> RequestId {
        let (request, command_sender) = self.new_request(0);
        let id = request.id;
        self.handle_event(EngineEvent::Adopted(
            request,
            server_id(uid),
            command_sender,
        ));
        id
    }

    pub fn send_request(&mut self, class: usize) -> RequestId {
        let (request, command_sender) = self.new_request(class);
        let id = request.id;
        self.handle_event(EngineEvent::Request(request, command_sender));
        id
    }

    fn new_request(&mut self, class: usize) -> (Request, mpsc::Sender<ConnectionCommand>) {
        self.next_request_id += 1;
        let (command_sender, commands) = mpsc::channel(8);
        self.command_receivers
            .insert(self.next_request_id, commands);
        let request = Request {
            id: self.next_request_id,
            class,
            tenant: None,
            group: None,
            hint: None,
            client_timeout: 60.0,
            is_repeat: false,
        };
        (request, command_sender)
    }

    pub fn request_default_class(&mut self) -> RequestId {
        let id = self.send_request(0);
        self.receive_commands(id);
        id
    }

    /// Sends a request, establishes its connection and closes it. Returns the chosen server, or `None` if no attempt
    /// was made.
    pub fn place_and_close(&mut self) -> Option<ServerId> {
        let id = self.request_default_class();
        let server = self.attempts.get(&id).copied()?;
        self.mark_up(id);
        self.handle_event(EngineEvent::ClientGone(id));
        Some(server)
    }

    /// Sends a request and returns the last command for it.
    pub fn answer_to_new_request(&mut self) -> Option<ConnectionCommand> {
        let id = self.request_default_class();
        self.last_commands.remove(&id)
    }

    fn receive_commands(&mut self, id: RequestId) -> Vec<ConnectionCommand> {
        let mut received = Vec::new();
        while let Ok(command) = self.command_receivers.get_mut(&id).unwrap().try_recv() {
            match &command {
                ConnectionCommand::Send { server, .. } => drop(self.attempts.insert(id, *server)),
                ConnectionCommand::Move => drop(self.moved_requests.insert(id)),
                _ => {}
            }
            if !matches!(command, ConnectionCommand::Cancel) {
                self.last_commands.insert(id, command.clone());
            }
            received.push(command);
        }
        received
    }

    /// Returns the first command that a connection has not received yet; the others are received too.
    pub fn next_command(&mut self, id: RequestId) -> Option<ConnectionCommand> {
        self.receive_commands(id).into_iter().next()
    }

    /// Returns the last command that a connection received.
    pub fn last_command(&mut self, id: RequestId) -> Option<ConnectionCommand> {
        self.receive_commands(id);
        self.last_commands.get(&id).cloned()
    }

    pub fn is_moved(&mut self, id: RequestId) -> bool {
        self.receive_commands(id);
        self.moved_requests.contains(&id)
    }

    /// Reports a non-final end of the pending attempt, after which the balancer decides how to continue.
    pub fn end_attempt(&mut self, id: RequestId, outcome: Outcome) {
        self.receive_commands(id);
        self.handle_event(EngineEvent::AttemptEnded(AttemptEnd {
            id,
            server: self.attempts[&id],
            outcome,
            is_final: false,
            report: Report::default(),
        }));
    }

    pub fn mark_up(&mut self, id: RequestId) {
        let server = self.attempts[&id];
        self.handle_event(EngineEvent::ConnectionUp(id, server));
    }
}

//! An engine with plain lists in simulated time; the test plays servers and clients.
#![allow(dead_code)] // each test file uses its part

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

pub fn class(effect: Idempotency) -> Class {
    Class {
        idempotency: effect,
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

pub fn listed_server(uid: &str, status: Status, born: Option<Seconds>) -> ListedServer {
    ListedServer {
        uid: uid.to_string(),
        endpoint: Some(([127, 0, 0, 1], 1000 + u16::from(uid.as_bytes()[0])).into()),
        row: ServerRow {
            server: server_id(uid),
            cell: 0,
            status,
            kind: None,
            zone: None,
            started_at: born,
            rating: None,
        },
    }
}

pub struct EngineHarness {
    engine: Engine<NoProbes>,
    start: Instant,
    now: Instant,
    next: RequestId,
    orders: BTreeMap<RequestId, mpsc::Receiver<ConnectionCommand>>,
    out: BTreeMap<RequestId, ServerId>,
    last: BTreeMap<RequestId, ConnectionCommand>,
    moved: BTreeSet<RequestId>,
}

impl EngineHarness {
    pub fn new(uids: &[&str]) -> Self {
        Self::with_seed(uids, 28)
    }

    pub fn with_seed(uids: &[&str], seed: u64) -> Self {
        let start = Instant::now();
        let setup = EngineConfig {
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
        let mut engine = Engine::new(setup, Clock::simulated(start, START_UNIX_SECONDS), NoProbes);
        let rows = uids
            .iter()
            .map(|uid| listed_server(uid, Status::Up, None))
            .collect();
        engine.start(start, rows);
        Self {
            engine,
            start,
            now: start,
            next: 0,
            orders: BTreeMap::new(),
            out: BTreeMap::new(),
            last: BTreeMap::new(),
            moved: BTreeSet::new(),
        }
    }

    pub fn server_id(&self, uid: &str) -> ServerId {
        server_id(uid)
    }

    pub fn unix_seconds(&self) -> Seconds {
        START_UNIX_SECONDS + (self.now - self.start).as_secs_f64()
    }

    pub fn handle_event(&mut self, notice: EngineEvent) {
        self.engine.handle_event(self.now, notice);
    }

    pub fn apply_change(&mut self, change: OperatorChange) -> OperatorReply {
        let (reply, mut answer) = oneshot::channel();
        self.handle_event(EngineEvent::OperatorChange(
            change,
            UnlistedServers::Reject,
            reply,
        ));
        answer.try_recv().expect("in force at once")
    }

    pub fn send_list(&mut self, kind: ListKind, rows: Vec<ListedServer>) {
        self.handle_event(EngineEvent::ServerList(kind, rows));
    }

    /// Time passes, and the engine is woken as often as it wants.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(at) = self.engine.next_wakeup().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.engine.handle_wakeup(self.now);
        }
        self.now = until;
    }

    /// A connection that another process had.
    pub fn adopt_connection(&mut self, uid: &str) -> RequestId {
        let (request, to) = self.new_request(0);
        let id = request.id;
        self.handle_event(EngineEvent::Adopted(request, server_id(uid), to));
        id
    }

    pub fn send_request(&mut self, class: usize) -> RequestId {
        let (request, to) = self.new_request(class);
        let id = request.id;
        self.handle_event(EngineEvent::Request(request, to));
        id
    }

    fn new_request(&mut self, class: usize) -> (Request, mpsc::Sender<ConnectionCommand>) {
        self.next += 1;
        let (to, orders) = mpsc::channel(8);
        self.orders.insert(self.next, orders);
        let request = Request {
            id: self.next,
            class,
            tenant: None,
            group: None,
            hint: None,
            client_timeout: 60.0,
            is_repeat: false,
        };
        (request, to)
    }

    pub fn request_default_class(&mut self) -> RequestId {
        let id = self.send_request(0);
        self.hear(id);
        id
    }

    /// Where a new request is sent to, which is up there at once and ends; none if it is not sent.
    pub fn place_and_close(&mut self) -> Option<ServerId> {
        let id = self.request_default_class();
        let server = self.out.get(&id).copied()?;
        self.mark_up(id);
        self.handle_event(EngineEvent::ClientGone(id));
        Some(server)
    }

    /// The answer to a new request.
    pub fn answer_to_new_request(&mut self) -> Option<ConnectionCommand> {
        let id = self.request_default_class();
        self.last.remove(&id)
    }

    fn hear(&mut self, id: RequestId) -> Vec<ConnectionCommand> {
        let mut heard = Vec::new();
        while let Ok(order) = self.orders.get_mut(&id).unwrap().try_recv() {
            match &order {
                ConnectionCommand::Send { server, .. } => drop(self.out.insert(id, *server)),
                ConnectionCommand::Move => drop(self.moved.insert(id)),
                _ => {}
            }
            if !matches!(order, ConnectionCommand::Cancel) {
                self.last.insert(id, order.clone());
            }
            heard.push(order);
        }
        heard
    }

    /// The next thing a connection is told, if there is any.
    pub fn next_command(&mut self, id: RequestId) -> Option<ConnectionCommand> {
        self.hear(id).into_iter().next()
    }

    /// The last thing it was told.
    pub fn last_command(&mut self, id: RequestId) -> Option<ConnectionCommand> {
        self.hear(id);
        self.last.get(&id).cloned()
    }

    pub fn is_moved(&mut self, id: RequestId) -> bool {
        self.hear(id);
        self.moved.contains(&id)
    }

    /// Its attempt ends so, and the module goes on.
    pub fn end_attempt(&mut self, id: RequestId, outcome: Outcome) {
        self.hear(id);
        self.handle_event(EngineEvent::AttemptEnded(AttemptEnd {
            id,
            server: self.out[&id],
            outcome,
            is_final: false,
            report: Report::default(),
        }));
    }

    pub fn mark_up(&mut self, id: RequestId) {
        let server = self.out[&id];
        self.handle_event(EngineEvent::ConnectionUp(id, server));
    }
}

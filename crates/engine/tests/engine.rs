//! Tests of the engine with a catalogue in simulated time. The simulated servers answer probes or fail them; the
//! simulated clients record the commands that reach them.

mod common;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::sync::mpsc;
use tokio::time::Instant;
use violetwind_balancer::api::*;
use violetwind_catalogue::{Instance, ReportedStatus, Row, SourceUpdate};
use violetwind_common::{NameTable, server_id};
use violetwind_engine::{
    Clock, ConnectionCommand, Engine, EngineConfig, EngineEvent, Limits, OperatorReply,
    ProbeSender, UnlistedServers,
};
use violetwind_service::OperatorChange;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn settings() -> Settings {
    Settings {
        fleet_size: 1,
        may_probe: true,
        slow_start_min_share: 1.0,
        slow_start_window: 0.0,
        overload_multiple: 1.0,
        overload_duration: 1.0,
        ..common::settings()
    }
}

#[derive(Clone, Default)]
struct ProbeLog(Rc<RefCell<Vec<ServerId>>>);

impl ProbeSender for ProbeLog {
    fn send_probe(&mut self, server: ServerId, _: SocketAddr) -> bool {
        self.0.borrow_mut().push(server);
        true
    }
}

#[derive(Debug, Default)]
struct Client {
    commands: Option<mpsc::Receiver<ConnectionCommand>>,
    /// Server of the pending attempt.
    attempt_server: Option<ServerId>,
    /// Server of the established connection.
    connected_server: Option<ServerId>,
    final_answers: usize,
    moved_at: Option<Instant>,
    is_recalled: bool,
}

/// An engine with simulated servers and clients.
struct Simulation {
    engine: Engine<ProbeLog>,
    probes: ProbeLog,
    now: Instant,
    server_uids: Vec<String>,
    dead_servers: BTreeSet<ServerId>,
    /// Whether live servers accept attempts at once; otherwise attempts stay pending.
    accepts_attempts: bool,
    clients: BTreeMap<RequestId, Client>,
    attempts: Vec<(Instant, ServerId)>,
}

impl Simulation {
    fn new(servers: usize, sources: &[&str]) -> Self {
        let start = Instant::now();
        let probes = ProbeLog::default();
        let config = EngineConfig {
            settings: settings(),
            seed: 14,
            names: NameTable::default(),
            limits: Limits {
                max_queued_events: 16,
                max_rows_per_step: 4,
                resume_timeout: ms(1000),
                drain_wait: ms(700),
                drain_span: ms(800),
                move_interval: ms(20),
            },
            catalogue_limits: Some(violetwind_catalogue::Limits::default()),
            service_limits: violetwind_service::Limits::default(),
            bans: violetwind_service::Bans::default(),
            has_left: false,
            machines: violetwind_service::MachineMap::default(),
        };
        let clock = Clock::simulated(start, 1.7e9);
        let mut sim = Self {
            engine: Engine::new(config, clock, probes.clone()),
            probes,
            now: start,
            server_uids: (0..servers).map(|n| format!("s-{n}")).collect(),
            dead_servers: BTreeSet::new(),
            accepts_attempts: true,
            clients: BTreeMap::new(),
            attempts: Vec::new(),
        };
        sim.engine.start(start, Vec::new());
        sim.set_sources(sources);
        for source in sources {
            sim.send_update(source, sim.snapshot(|_| Some(ReportedStatus::Ready)));
        }
        sim
    }

    fn set_sources(&mut self, names: &[&str]) {
        let names = names.iter().map(|name| (*name).into()).collect();
        self.handle(EngineEvent::Sources(names));
    }

    fn snapshot(&self, status_of: impl Fn(usize) -> Option<ReportedStatus>) -> SourceUpdate {
        let rows = self.server_uids.iter().enumerate();
        SourceUpdate::Snapshot(
            rows.filter_map(|(index, _)| Some(self.row(index, status_of(index)?)))
                .collect(),
        )
    }

    fn row(&self, index: usize, status: ReportedStatus) -> Row {
        Row {
            uid: self.server_uids[index].as_str().into(),
            status,
            instance: Some(Instance {
                endpoint: ([127, 0, 0, 1], 1000 + index as u16).into(),
                zone: None,
                kind: None,
                cell: 0,
                weight: None,
                started_at: None,
                registration_index: 0,
            }),
        }
    }

    fn server_id(&self, index: usize) -> ServerId {
        server_id(&self.server_uids[index])
    }

    fn send_update(&mut self, source: &str, update: SourceUpdate) {
        self.handle(EngineEvent::SourceUpdate(source.into(), update));
    }

    fn handle(&mut self, event: EngineEvent) {
        self.engine.handle_event(self.now, event);
        self.deliver();
    }

    /// Answers or fails the queued probes and delivers commands to clients until neither is left.
    fn deliver(&mut self) {
        loop {
            let probed: Vec<ServerId> = self.probes.0.borrow_mut().drain(..).collect();
            let mut is_active = !probed.is_empty();
            for server in probed {
                let outcome = match self.dead_servers.contains(&server) {
                    true => Outcome::TimedOut,
                    false => Outcome::Ok,
                };
                let event = EngineEvent::Probed(server, outcome, Report::default());
                self.engine.handle_event(self.now, event);
            }
            let mut events = Vec::new();
            for (&id, client) in &mut self.clients {
                let Some(commands) = &mut client.commands else {
                    continue;
                };
                while let Ok(command) = commands.try_recv() {
                    is_active = true;
                    match command {
                        ConnectionCommand::Send { server, .. } => {
                            self.attempts.push((self.now, server));
                            client.attempt_server = Some(server);
                            if self.accepts_attempts && !self.dead_servers.contains(&server) {
                                client.attempt_server = None;
                                client.connected_server = Some(server);
                                events.push(EngineEvent::ConnectionUp(id, server));
                            }
                        }
                        ConnectionCommand::Refuse(_) | ConnectionCommand::Fail => {
                            client.final_answers += 1
                        }
                        ConnectionCommand::Move => {
                            client.moved_at.get_or_insert(self.now);
                        }
                        ConnectionCommand::Recall => client.is_recalled = true,
                        ConnectionCommand::NotYet
                        | ConnectionCommand::Cancel
                        | ConnectionCommand::HandOver => {}
                    }
                }
            }
            for event in events {
                self.engine.handle_event(self.now, event);
            }
            if !is_active {
                return;
            }
        }
    }

    fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(at) = self.engine.next_wakeup().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.engine.handle_wakeup(self.now);
            self.deliver();
        }
        self.now = until;
    }

    fn send_request(&mut self, id: RequestId) {
        let (command_sender, commands) = mpsc::channel(8);
        let client = Client {
            commands: Some(commands),
            ..Client::default()
        };
        self.clients.insert(id, client);
        let request = Request {
            id,
            class: 0,
            tenant: None,
            group: None,
            hint: None,
            client_timeout: 2.0,
            is_repeat: false,
        };
        self.handle(EngineEvent::Request(request, command_sender));
    }

    fn connect_clients(&mut self, clients: u64) {
        for id in 0..clients {
            self.send_request(id);
            self.advance(ms(10));
        }
        let connected = self
            .clients
            .values()
            .filter(|client| client.connected_server.is_some());
        assert_eq!(connected.count() as u64, clients);
    }

    fn moved_clients(&self) -> usize {
        let moved = self
            .clients
            .values()
            .filter(|client| client.moved_at.is_some());
        moved.count()
    }

    fn clients_on(&self, index: usize) -> usize {
        let server = self.server_id(index);
        self.clients
            .values()
            .filter(|client| client.connected_server == Some(server))
            .count()
    }
}

/// Without a catalogue, 150 of 300 clients were moved because a list omitted half of the servers for two seconds.
#[test]
fn list_without_half_of_the_servers_for_two_seconds_moves_no_clients() {
    let mut sim = Simulation::new(6, &["one"]);
    sim.connect_clients(300);
    sim.send_update(
        "one",
        sim.snapshot(|n| (n < 3).then_some(ReportedStatus::Ready)),
    );
    sim.advance(ms(2000));
    sim.send_update("one", sim.snapshot(|_| Some(ReportedStatus::Ready)));
    sim.advance(ms(60_000));
    assert_eq!(sim.moved_clients(), 0);
}

/// The health checks of half of the servers fail for 2 s three times a minute.
#[test]
fn flapping_checks_of_half_of_the_servers_move_no_clients_and_new_clients_are_served() {
    let mut sim = Simulation::new(6, &["one"]);
    sim.connect_clients(60);
    for round in 0..9 {
        let failing_half = |n| {
            Some(if n < 3 {
                ReportedStatus::Failing
            } else {
                ReportedStatus::Ready
            })
        };
        sim.send_update("one", sim.snapshot(failing_half));
        sim.advance(ms(2000));
        sim.send_update("one", sim.snapshot(|_| Some(ReportedStatus::Ready)));
        sim.send_request(1000 + round);
        sim.advance(ms(18_000));
    }
    assert_eq!(sim.moved_clients(), 0);
    assert!(
        sim.clients
            .values()
            .all(|client| client.connected_server.is_some())
    );
}

/// One of the dropped servers no longer answers: its clients are moved within 3 s, those of the others stay.
#[test]
fn only_clients_of_dead_servers_are_moved_when_a_source_drops_half_of_the_servers() {
    let mut sim = Simulation::new(6, &["one"]);
    sim.connect_clients(300);
    let dropped_at = sim.now;
    sim.dead_servers.insert(sim.server_id(0));
    sim.send_update(
        "one",
        sim.snapshot(|n| (n > 2).then_some(ReportedStatus::Ready)),
    );
    sim.advance(ms(3000));
    assert_eq!(
        sim.moved_clients(),
        sim.clients_on(0),
        "only clients of the dead server are moved"
    );
    let deadline = dropped_at + ms(3000);
    assert!(
        sim.clients
            .values()
            .all(|client| client.moved_at.is_none_or(|at| at <= deadline))
    );
}

#[test]
fn suspected_server_gets_new_clients_only_when_no_other_server_is_up() {
    let mut sim = Simulation::new(4, &["one"]);
    sim.send_update(
        "one",
        SourceUpdate::Delta(vec![sim.row(0, ReportedStatus::Failing)]),
    );
    sim.advance(ms(100));
    sim.connect_clients(40);
    assert_eq!(sim.clients_on(0), 0);
    // The other servers drain: only the suspected one is left.
    let rows = (1..4)
        .map(|n| sim.row(n, ReportedStatus::Draining))
        .collect();
    sim.send_update("one", SourceUpdate::Delta(rows));
    sim.advance(ms(5000));
    sim.send_request(100);
    sim.advance(ms(1000));
    assert_eq!(sim.clients[&100].connected_server, Some(sim.server_id(0)));
}

/// From the report on, no attempt goes to the draining server, pending attempts are recalled before they send anything,
/// and clients are moved over 0.8 s starting after 0.7 s, even if another source reports the server as ready.
#[test]
fn reported_drain_takes_effect_at_once_and_moves_clients_in_time() {
    let mut sim = Simulation::new(3, &["one", "two"]);
    sim.connect_clients(30);
    let drained = sim.server_id(1);
    sim.accepts_attempts = false;
    for id in 100..130 {
        sim.send_request(id);
    }
    let pending_attempts: Vec<RequestId> = sim
        .clients
        .iter()
        .filter(|(_, client)| client.attempt_server == Some(drained))
        .map(|(id, _)| *id)
        .collect();
    assert!(!pending_attempts.is_empty());
    let reported_at = sim.now;
    sim.send_update(
        "two",
        SourceUpdate::Delta(vec![sim.row(1, ReportedStatus::Draining)]),
    );
    for (id, client) in &sim.clients {
        assert_eq!(client.is_recalled, pending_attempts.contains(id), "{id}");
    }
    for round in 0..30 {
        sim.send_update("one", sim.snapshot(|_| Some(ReportedStatus::Ready)));
        sim.send_request(200 + round);
        sim.advance(ms(100));
    }
    assert!(
        sim.attempts
            .iter()
            .all(|(sent_at, server)| *sent_at <= reported_at || *server != drained)
    );
    for client in sim
        .clients
        .values()
        .filter(|client| client.connected_server == Some(drained))
    {
        let moved_after = client.moved_at.expect("moved") - reported_at;
        assert!(
            (ms(700)..=ms(1520)).contains(&moved_after),
            "{moved_after:?}"
        );
    }
    assert_eq!(sim.moved_clients(), sim.clients_on(1));
}

#[test]
fn clients_at_the_old_address_of_a_server_stay_for_the_absence_timeout() {
    let mut sim = Simulation::new(3, &["one"]);
    sim.connect_clients(30);
    let clients_at_old_address = sim.clients_on(2);
    assert!(clients_at_old_address > 0);
    let mut row = sim.row(2, ReportedStatus::Ready);
    row.instance.as_mut().unwrap().endpoint.set_port(9999);
    let list_without_server = sim.snapshot(|n| (n != 2).then_some(ReportedStatus::Ready));
    sim.send_update("one", list_without_server);
    sim.advance(ms(200));
    let listed_at = sim.now;
    sim.send_update("one", SourceUpdate::Delta(vec![row]));
    sim.advance(ms(59_000));
    assert_eq!(sim.moved_clients(), 0);
    sim.send_request(500);
    sim.advance(ms(3000));
    assert_eq!(sim.moved_clients(), clients_at_old_address);
    assert!(sim.clients.values().all(|client| {
        client
            .moved_at
            .is_none_or(|at| at >= listed_at + ms(60_000))
    }));
}

/// Guards against clients that stay at an address that their server no longer has: an attempt that was in flight as the
/// address changed, and came up afterwards, was left out of the moves.
#[test]
fn an_attempt_that_comes_up_at_the_old_address_of_a_server_is_moved_too() {
    let mut sim = Simulation::new(3, &["one"]);
    sim.accepts_attempts = false;
    (0..30).for_each(|id| sim.send_request(id));
    let server = sim.server_id(2);
    let mut pending = sim.clients.iter();
    let id = *pending
        .find(|(_, client)| client.attempt_server == Some(server))
        .expect("an attempt at the server")
        .0;
    let mut row = sim.row(2, ReportedStatus::Ready);
    row.instance.as_mut().unwrap().endpoint.set_port(9999);
    let list_without_server = sim.snapshot(|n| (n != 2).then_some(ReportedStatus::Ready));
    sim.send_update("one", list_without_server);
    sim.advance(ms(200));
    sim.send_update("one", SourceUpdate::Delta(vec![row]));
    sim.advance(ms(100));
    let up_at = sim.now;
    sim.handle(EngineEvent::ConnectionUp(id, server));
    sim.advance(ms(59_000));
    assert_eq!(sim.moved_clients(), 0);
    sim.advance(ms(3000));
    let moved_at = sim.clients[&id].moved_at.expect("the client is moved");
    assert!(moved_at >= up_at + ms(60_000));
    assert_eq!(sim.moved_clients(), 1);
}

#[test]
fn requests_are_served_during_an_hour_without_an_answer_of_the_source() {
    let mut sim = Simulation::new(4, &["one"]);
    sim.connect_clients(20);
    for second in 0..3600 {
        sim.send_update("one", SourceUpdate::Unavailable);
        sim.advance(ms(1000));
        if second % 600 == 0 {
            sim.send_request(1000 + second);
        }
    }
    assert_eq!(sim.moved_clients(), 0);
    assert!(
        sim.clients
            .values()
            .all(|client| client.connected_server.is_some())
    );
}

#[test]
fn change_of_sources_under_load_moves_no_clients() {
    let mut sim = Simulation::new(6, &["registry"]);
    sim.connect_clients(60);
    sim.set_sources(&["consul"]);
    sim.advance(ms(500));
    sim.send_request(100);
    sim.advance(ms(500));
    sim.send_update("consul", sim.snapshot(|_| Some(ReportedStatus::Ready)));
    sim.send_request(101);
    sim.advance(ms(120_000));
    assert_eq!(sim.moved_clients(), 0);
    assert!(
        sim.clients
            .values()
            .all(|client| client.connected_server.is_some())
    );
}

#[derive(Clone, Debug)]
enum Step {
    SendRequest,
    StatusReport(usize, u8, ReportedStatus),
    FullList(usize, Vec<Option<ReportedStatus>>),
    SourceUnavailable(usize),
    ServerDies(u8),
    ServerRecovers(u8),
    ConnectionEnds(u8),
    ClientLeaves(u8),
    Advance(u64),
}

fn reported_status() -> impl Strategy<Value = ReportedStatus> {
    prop_oneof![
        4 => Just(ReportedStatus::Ready),
        2 => Just(ReportedStatus::Failing),
        1 => Just(ReportedStatus::Draining),
        1 => Just(ReportedStatus::Left)
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let statuses = prop::collection::vec(prop::option::weighted(0.8, reported_status()), 8);
    prop_oneof![
        6 => Just(Step::SendRequest),
        4 => (0..2_usize, 0..8_u8, reported_status())
            .prop_map(|(source, server, status)| Step::StatusReport(source, server, status)),
        1 => (0..2_usize, statuses).prop_map(|(source, statuses)| Step::FullList(source, statuses)),
        1 => (0..2_usize).prop_map(Step::SourceUnavailable),
        1 => (0..8_u8).prop_map(Step::ServerDies),
        2 => (0..8_u8).prop_map(Step::ServerRecovers),
        2 => any::<u8>().prop_map(Step::ConnectionEnds),
        1 => any::<u8>().prop_map(Step::ClientLeaves),
        4 => (0..5000_u64).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(14),
        ..ProptestConfig::default()
    })]

    /// For any sequence of source reports and server failures, a request gets at most one final answer, and gets one by
    /// its deadline; no attempt goes to a server while a source reports it as draining.
    #[test]
    fn every_request_gets_one_final_answer_and_draining_servers_get_no_requests(
        steps in prop::collection::vec(step(), 1..100)
    ) {
        let mut sim = Simulation::new(8, &["one", "two"]);
        let sources = ["one", "two"];
        let mut drains_by_server: BTreeMap<usize, BTreeSet<usize>> = BTreeMap::new();
        let mut requested_at: BTreeMap<RequestId, Instant> = BTreeMap::new();
        for (request_id, step) in steps.iter().enumerate() {
            let attempts_before = sim.attempts.len();
            let mut record_status = |source: usize, server: usize, status: ReportedStatus| {
                let drain_sources = drains_by_server.entry(server).or_default();
                match status {
                    ReportedStatus::Draining => drop(drain_sources.insert(source)),
                    ReportedStatus::Ready | ReportedStatus::Failing => drop(drain_sources.remove(&source)),
                    ReportedStatus::Left => {}
                }
            };
            match step {
                Step::SendRequest => {
                    requested_at.insert(request_id as u64, sim.now);
                    sim.send_request(request_id as u64);
                }
                Step::StatusReport(source, server, status) => {
                    record_status(*source, usize::from(*server), *status);
                    let row = sim.row(usize::from(*server), *status);
                    sim.send_update(sources[*source], SourceUpdate::Delta(vec![row]));
                }
                Step::FullList(source, statuses) => {
                    for (server, status) in statuses.iter().enumerate() {
                        if let Some(status) = status {
                            record_status(*source, server, *status);
                        }
                    }
                    sim.send_update(sources[*source], sim.snapshot(|n| statuses[n]));
                }
                Step::SourceUnavailable(source) => sim.send_update(sources[*source], SourceUpdate::Unavailable),
                Step::ServerDies(n) => drop(sim.dead_servers.insert(sim.server_id(usize::from(*n)))),
                Step::ServerRecovers(n) => drop(sim.dead_servers.remove(&sim.server_id(usize::from(*n)))),
                Step::ConnectionEnds(index) | Step::ClientLeaves(index) => {
                    let connected = sim.clients.iter().filter(|(_, c)| c.connected_server.is_some());
                    let connected: Vec<(RequestId, ServerId)> =
                        connected.map(|(id, c)| (*id, c.connected_server.unwrap())).collect();
                    if let Some((id, server)) = connected.get(usize::from(*index) % connected.len().max(1)).copied() {
                        sim.clients.remove(&id);
                        requested_at.remove(&id);
                        let attempt_end =
                            AttemptEnd { id, server, outcome: Outcome::Ok, is_final: true, report: Report::default() };
                        sim.handle(match step {
                            Step::ConnectionEnds(_) => EngineEvent::AttemptEnded(attempt_end),
                            _ => EngineEvent::ClientGone(id),
                        });
                    }
                }
                Step::Advance(span) => sim.advance(ms(*span)),
            }
            // An attempt at an unreachable server fails to connect.
            let failed_attempts: Vec<(RequestId, ServerId)> =
                sim.clients.iter().filter_map(|(id, c)| Some((*id, c.attempt_server?))).collect();
            for (id, server) in failed_attempts {
                sim.clients.get_mut(&id).unwrap().attempt_server = None;
                let attempt_end =
                    AttemptEnd { id, server, outcome: Outcome::ConnectFailed, is_final: false, report: Report::default() };
                sim.handle(EngineEvent::AttemptEnded(attempt_end));
            }
            for (_, server) in &sim.attempts[attempts_before..] {
                let index = (0..8).find(|n| sim.server_id(*n) == *server).unwrap();
                let is_in_use = drains_by_server.get(&index).is_none_or(BTreeSet::is_empty);
                prop_assert!(is_in_use, "s-{index} is drained by sources {:?}: {step:?}", drains_by_server[&index]);
            }
            for (id, client) in &sim.clients {
                prop_assert!(client.final_answers + usize::from(client.connected_server.is_some()) <= 1);
                let is_late = sim.now > requested_at[id] + ms(2100);
                prop_assert!(
                    !is_late
                        || client.final_answers == 1
                        || client.connected_server.is_some()
                        || client.attempt_server.is_some(),
                    "request {id} has no final answer"
                );
            }
        }
    }
}

/// A ban overrides the catalogue and stays in force when a source drops the server or is removed.
#[test]
fn ban_stays_in_force_over_source_updates_and_a_change_of_sources() {
    let mut sim = Simulation::new(3, &["consul", "registry"]);
    let banned_server = server_id("s-0");
    let apply_change = |sim: &mut Simulation, change| {
        let (reply, mut reply_receiver) = tokio::sync::oneshot::channel();
        sim.handle(EngineEvent::OperatorChange(
            change,
            UnlistedServers::Reject,
            reply,
        ));
        reply_receiver.try_recv().expect("in force at once")
    };
    let ban_unknown = OperatorChange::Offline("nobody".into());
    assert_eq!(apply_change(&mut sim, ban_unknown), OperatorReply::Unknown);
    let ban = OperatorChange::Offline("s-0".into());
    assert!(matches!(
        apply_change(&mut sim, ban),
        OperatorReply::Changed(_)
    ));
    let attempts_before = sim.attempts.len();
    sim.send_update("consul", sim.snapshot(|_| Some(ReportedStatus::Ready)));
    sim.send_update(
        "consul",
        sim.snapshot(|n| (n > 0).then_some(ReportedStatus::Ready)),
    );
    sim.set_sources(&["registry"]);
    sim.send_update("registry", sim.snapshot(|_| Some(ReportedStatus::Ready)));
    for id in 1000..1030 {
        sim.send_request(id);
        sim.advance(ms(50));
    }
    assert!(sim.attempts.len() >= attempts_before + 30);
    assert!(
        sim.attempts[attempts_before..]
            .iter()
            .all(|(_, server)| *server != banned_server)
    );
    let unban = OperatorChange::Online("s-0".into());
    assert!(matches!(
        apply_change(&mut sim, unban),
        OperatorReply::Changed(_)
    ));
    for id in 2000..2030 {
        sim.send_request(id);
        sim.advance(ms(50));
    }
    assert!(
        sim.attempts
            .iter()
            .any(|(_, server)| *server == banned_server)
    );
}

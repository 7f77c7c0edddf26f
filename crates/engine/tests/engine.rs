//! The engine with a catalogue, played in simulated time: servers answer probes or don't, clients are
//! counted by the orders that reach them.

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
struct Asked(Rc<RefCell<Vec<ServerId>>>);

impl ProbeSender for Asked {
    fn send_probe(&mut self, server: ServerId, _: SocketAddr) -> bool {
        self.0.borrow_mut().push(server);
        true
    }
}

#[derive(Debug, Default)]
struct Client {
    orders: Option<mpsc::Receiver<ConnectionCommand>>,
    /// Where an attempt is out, and where it is up.
    out: Option<ServerId>,
    on: Option<ServerId>,
    finals: usize,
    moved_at: Option<Instant>,
    recalled: bool,
}

/// An engine, the servers and the clients round it.
struct World {
    engine: Engine<Asked>,
    asked: Asked,
    now: Instant,
    names: Vec<String>,
    dead: BTreeSet<ServerId>,
    /// Servers take attempts up at once; else the test does.
    eager: bool,
    clients: BTreeMap<RequestId, Client>,
    sent: Vec<(Instant, ServerId)>,
}

impl World {
    fn new(servers: usize, sources: &[&str]) -> Self {
        let start = Instant::now();
        let asked = Asked::default();
        let setup = EngineConfig {
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
        let mut world = Self {
            engine: Engine::new(setup, clock, asked.clone()),
            asked,
            now: start,
            names: (0..servers).map(|n| format!("s-{n}")).collect(),
            dead: BTreeSet::new(),
            eager: true,
            clients: BTreeMap::new(),
            sent: Vec::new(),
        };
        world.engine.start(start, Vec::new());
        world.sources(sources);
        for source in sources {
            world.tell(source, world.list(|_| Some(ReportedStatus::Ready)));
        }
        world
    }

    fn sources(&mut self, names: &[&str]) {
        let names = names.iter().map(|name| (*name).into()).collect();
        self.take(EngineEvent::Sources(names));
    }

    fn list(&self, word: impl Fn(usize) -> Option<ReportedStatus>) -> SourceUpdate {
        let rows = self.names.iter().enumerate();
        SourceUpdate::Snapshot(
            rows.filter_map(|(n, _)| Some(self.row(n, word(n)?)))
                .collect(),
        )
    }

    fn row(&self, n: usize, word: ReportedStatus) -> Row {
        Row {
            uid: self.names[n].as_str().into(),
            status: word,
            instance: Some(Instance {
                endpoint: ([127, 0, 0, 1], 1000 + n as u16).into(),
                zone: None,
                kind: None,
                cell: 0,
                weight: None,
                born: None,
                epoch: 0,
            }),
        }
    }

    fn id(&self, n: usize) -> ServerId {
        server_id(&self.names[n])
    }

    fn tell(&mut self, source: &str, telling: SourceUpdate) {
        self.take(EngineEvent::SourceUpdate(source.into(), telling));
    }

    fn take(&mut self, notice: EngineEvent) {
        self.engine.handle_event(self.now, notice);
        self.settle();
    }

    /// Probes are answered, or fail, and orders reach their clients.
    fn settle(&mut self) {
        loop {
            let asked: Vec<ServerId> = self.asked.0.borrow_mut().drain(..).collect();
            let mut busy = !asked.is_empty();
            for server in asked {
                let outcome = match self.dead.contains(&server) {
                    true => Outcome::TimedOut,
                    false => Outcome::Ok,
                };
                let notice = EngineEvent::Probed(server, outcome, Report::default());
                self.engine.handle_event(self.now, notice);
            }
            let mut notices = Vec::new();
            for (&id, client) in &mut self.clients {
                let Some(orders) = &mut client.orders else {
                    continue;
                };
                while let Ok(order) = orders.try_recv() {
                    busy = true;
                    match order {
                        ConnectionCommand::Send { server, .. } => {
                            self.sent.push((self.now, server));
                            client.out = Some(server);
                            if self.eager && !self.dead.contains(&server) {
                                client.out = None;
                                client.on = Some(server);
                                notices.push(EngineEvent::ConnectionUp(id, server));
                            }
                        }
                        ConnectionCommand::Refuse(_) | ConnectionCommand::Fail => {
                            client.finals += 1
                        }
                        ConnectionCommand::Move => {
                            client.moved_at.get_or_insert(self.now);
                        }
                        ConnectionCommand::Recall => client.recalled = true,
                        ConnectionCommand::NotYet
                        | ConnectionCommand::Cancel
                        | ConnectionCommand::HandOver => {}
                    }
                }
            }
            for notice in notices {
                self.engine.handle_event(self.now, notice);
            }
            if !busy {
                return;
            }
        }
    }

    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(at) = self.engine.next_wakeup().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.engine.handle_wakeup(self.now);
            self.settle();
        }
        self.now = until;
    }

    fn open(&mut self, id: RequestId) {
        let (to, orders) = mpsc::channel(8);
        let client = Client {
            orders: Some(orders),
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
        self.take(EngineEvent::Request(request, to));
    }

    fn open_many(&mut self, clients: u64) {
        for id in 0..clients {
            self.open(id);
            self.pass(ms(10));
        }
        let up = self.clients.values().filter(|client| client.on.is_some());
        assert_eq!(up.count() as u64, clients);
    }

    fn moved(&self) -> usize {
        let moved = self.clients.values().filter(|c| c.moved_at.is_some());
        moved.count()
    }

    fn on(&self, n: usize) -> usize {
        let id = self.id(n);
        self.clients.values().filter(|c| c.on == Some(id)).count()
    }
}

/// The harm that the catalogue ends: 150 of 300 clients were moved for a list that left out half of
/// the servers for two seconds.
#[test]
fn a_list_without_half_of_the_servers_for_two_seconds_moves_nobody() {
    let mut world = World::new(6, &["one"]);
    world.open_many(300);
    world.tell(
        "one",
        world.list(|n| (n < 3).then_some(ReportedStatus::Ready)),
    );
    world.pass(ms(2000));
    world.tell("one", world.list(|_| Some(ReportedStatus::Ready)));
    world.pass(ms(60_000));
    assert_eq!(world.moved(), 0);
}

#[test]
fn checks_of_half_that_fail_three_times_a_minute_move_nobody_and_new_clients_are_served() {
    let mut world = World::new(6, &["one"]);
    world.open_many(60);
    for round in 0..9 {
        let half = |n| {
            Some(if n < 3 {
                ReportedStatus::Failing
            } else {
                ReportedStatus::Ready
            })
        };
        world.tell("one", world.list(half));
        world.pass(ms(2000));
        world.tell("one", world.list(|_| Some(ReportedStatus::Ready)));
        world.open(1000 + round);
        world.pass(ms(18_000));
    }
    assert_eq!(world.moved(), 0);
    assert!(world.clients.values().all(|c| c.on.is_some()));
}

/// The source is right this once: what does not answer is moved within 3 s, the others stay.
#[test]
fn of_a_doubted_half_the_clients_of_the_dead_are_moved_in_time() {
    let mut world = World::new(6, &["one"]);
    world.open_many(300);
    let lost = world.now;
    world.dead.insert(world.id(0));
    world.tell(
        "one",
        world.list(|n| (n > 2).then_some(ReportedStatus::Ready)),
    );
    world.pass(ms(3000));
    assert_eq!(world.moved(), world.on(0), "nobody but those of the dead");
    let late = lost + ms(3000);
    assert!(
        world
            .clients
            .values()
            .all(|c| c.moved_at.is_none_or(|at| at <= late))
    );
}

#[test]
fn nothing_new_goes_to_a_suspect_while_others_have_room_and_to_suspects_alone_it_does() {
    let mut world = World::new(4, &["one"]);
    world.tell(
        "one",
        SourceUpdate::Delta(vec![world.row(0, ReportedStatus::Failing)]),
    );
    world.pass(ms(100));
    world.open_many(40);
    assert_eq!(world.on(0), 0);
    // The others drain: the suspect is all there is.
    let rows = (1..4)
        .map(|n| world.row(n, ReportedStatus::Draining))
        .collect();
    world.tell("one", SourceUpdate::Delta(rows));
    world.pass(ms(5000));
    world.open(100);
    world.pass(ms(1000));
    assert_eq!(world.clients[&100].on, Some(world.id(0)));
}

/// From the moment of the word on: nothing is sent, attempts on the way are called back before they
/// send, clients are moved over 0.8 s from 0.7 s on, whatever another source says.
#[test]
fn a_told_drain_binds_at_once_and_moves_its_clients_in_time() {
    let mut world = World::new(3, &["one", "two"]);
    world.open_many(30);
    let drained = world.id(1);
    world.eager = false;
    for id in 100..130 {
        world.open(id);
    }
    let out: Vec<RequestId> = world
        .clients
        .iter()
        .filter(|(_, c)| c.out == Some(drained))
        .map(|(id, _)| *id)
        .collect();
    assert!(!out.is_empty());
    let told = world.now;
    world.tell(
        "two",
        SourceUpdate::Delta(vec![world.row(1, ReportedStatus::Draining)]),
    );
    for (id, client) in &world.clients {
        assert_eq!(client.recalled, out.contains(id), "{id}");
    }
    for round in 0..30 {
        world.tell("one", world.list(|_| Some(ReportedStatus::Ready)));
        world.open(200 + round);
        world.pass(ms(100));
    }
    assert!(
        world
            .sent
            .iter()
            .all(|(at, to)| *at <= told || *to != drained)
    );
    for client in world.clients.values().filter(|c| c.on == Some(drained)) {
        let at = client.moved_at.expect("moved") - told;
        assert!((ms(700)..=ms(1520)).contains(&at), "{at:?}");
    }
    assert_eq!(world.moved(), world.on(1));
}

#[test]
fn clients_at_the_old_address_of_a_server_stay_for_as_long_as_an_absence_may_last() {
    let mut world = World::new(3, &["one"]);
    world.open_many(30);
    let old = world.on(2);
    assert!(old > 0);
    let mut row = world.row(2, ReportedStatus::Ready);
    row.instance.as_mut().unwrap().endpoint.set_port(9999);
    let gone = world.list(|n| (n != 2).then_some(ReportedStatus::Ready));
    world.tell("one", gone);
    world.pass(ms(200));
    let told = world.now;
    world.tell("one", SourceUpdate::Delta(vec![row]));
    world.pass(ms(59_000));
    assert_eq!(world.moved(), 0);
    world.open(500);
    world.pass(ms(3000));
    assert_eq!(world.moved(), old);
    assert!(
        world
            .clients
            .values()
            .all(|c| c.moved_at.is_none_or(|at| at >= told + ms(60_000)))
    );
}

#[test]
fn an_hour_of_silence_serves_on() {
    let mut world = World::new(4, &["one"]);
    world.open_many(20);
    for second in 0..3600 {
        world.tell("one", SourceUpdate::Unavailable);
        world.pass(ms(1000));
        if second % 600 == 0 {
            world.open(1000 + second);
        }
    }
    assert_eq!(world.moved(), 0);
    assert!(world.clients.values().all(|c| c.on.is_some()));
}

#[test]
fn a_change_of_sources_under_load_moves_nobody() {
    let mut world = World::new(6, &["registry"]);
    world.open_many(60);
    world.sources(&["consul"]);
    world.pass(ms(500));
    world.open(100);
    world.pass(ms(500));
    world.tell("consul", world.list(|_| Some(ReportedStatus::Ready)));
    world.open(101);
    world.pass(ms(120_000));
    assert_eq!(world.moved(), 0);
    assert!(world.clients.values().all(|c| c.on.is_some()));
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Word(usize, u8, ReportedStatus),
    Whole(usize, Vec<Option<ReportedStatus>>),
    Lost(usize),
    Dies(u8),
    Lives(u8),
    Ends(u8),
    Leaves(u8),
    Pass(u64),
}

fn word() -> impl Strategy<Value = ReportedStatus> {
    prop_oneof![
        4 => Just(ReportedStatus::Ready),
        2 => Just(ReportedStatus::Failing),
        1 => Just(ReportedStatus::Draining),
        1 => Just(ReportedStatus::Left)
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let whole = prop::collection::vec(prop::option::weighted(0.8, word()), 8);
    prop_oneof![
        6 => Just(Step::Open),
        4 => (0..2_usize, 0..8_u8, word()).prop_map(|(s, n, w)| Step::Word(s, n, w)),
        1 => (0..2_usize, whole).prop_map(|(s, w)| Step::Whole(s, w)),
        1 => (0..2_usize).prop_map(Step::Lost),
        1 => (0..8_u8).prop_map(Step::Dies),
        2 => (0..8_u8).prop_map(Step::Lives),
        2 => any::<u8>().prop_map(Step::Ends),
        1 => any::<u8>().prop_map(Step::Leaves),
        4 => (0..5000_u64).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(14),
        ..ProptestConfig::default()
    })]

    /// Whatever sources say and servers do: one final answer at most, and one by the deadline; nothing is
    /// sent to a server whose drain stands.
    #[test]
    fn every_request_has_one_final_answer_and_no_drain_is_broken(
        steps in prop::collection::vec(step(), 1..100)
    ) {
        let mut world = World::new(8, &["one", "two"]);
        let names = ["one", "two"];
        let mut drained: BTreeMap<usize, BTreeSet<usize>> = BTreeMap::new();
        let mut opened: BTreeMap<RequestId, Instant> = BTreeMap::new();
        for (at, step) in steps.iter().enumerate() {
            let sent = world.sent.len();
            let mut note = |source: usize, n: usize, word: ReportedStatus| {
                let by = drained.entry(n).or_default();
                match word {
                    ReportedStatus::Draining => drop(by.insert(source)),
                    ReportedStatus::Ready | ReportedStatus::Failing => drop(by.remove(&source)),
                    ReportedStatus::Left => {}
                }
            };
            match step {
                Step::Open => {
                    opened.insert(at as u64, world.now);
                    world.open(at as u64);
                }
                Step::Word(s, n, w) => {
                    note(*s, usize::from(*n), *w);
                    let row = world.row(usize::from(*n), *w);
                    world.tell(names[*s], SourceUpdate::Delta(vec![row]));
                }
                Step::Whole(s, words) => {
                    for (n, word) in words.iter().enumerate() {
                        if let Some(word) = word {
                            note(*s, n, *word);
                        }
                    }
                    world.tell(names[*s], world.list(|n| words[n]));
                }
                Step::Lost(s) => world.tell(names[*s], SourceUpdate::Unavailable),
                Step::Dies(n) => drop(world.dead.insert(world.id(usize::from(*n)))),
                Step::Lives(n) => drop(world.dead.remove(&world.id(usize::from(*n)))),
                Step::Ends(n) | Step::Leaves(n) => {
                    let up = world.clients.iter().filter(|(_, c)| c.on.is_some());
                    let up: Vec<(RequestId, ServerId)> = up.map(|(id, c)| (*id, c.on.unwrap())).collect();
                    if let Some((id, server)) = up.get(usize::from(*n) % up.len().max(1)).copied() {
                        world.clients.remove(&id);
                        opened.remove(&id);
                        let ended = AttemptEnd { id, server, outcome: Outcome::Ok, is_final: true, report: Report::default() };
                        world.take(match step {
                            Step::Ends(_) => EngineEvent::AttemptEnded(ended),
                            _ => EngineEvent::ClientGone(id),
                        });
                    }
                }
                Step::Pass(span) => world.pass(ms(*span)),
            }
            // A server out of reach does not take the attempt.
            let out: Vec<(RequestId, ServerId)> =
                world.clients.iter().filter_map(|(id, c)| Some((*id, c.out?))).collect();
            for (id, server) in out {
                world.clients.get_mut(&id).unwrap().out = None;
                let ended = AttemptEnd { id, server, outcome: Outcome::ConnectFailed, is_final: false, report: Report::default() };
                world.take(EngineEvent::AttemptEnded(ended));
            }
            for (_, to) in &world.sent[sent..] {
                let n = (0..8).find(|n| world.id(*n) == *to).unwrap();
                let by = drained.get(&n).is_none_or(BTreeSet::is_empty);
                prop_assert!(by, "s-{n} drains by {:?}: {step:?}", drained[&n]);
            }
            for (id, client) in &world.clients {
                prop_assert!(client.finals + usize::from(client.on.is_some()) <= 1);
                let late = world.now > opened[id] + ms(2100);
                prop_assert!(!late || client.finals == 1 || client.on.is_some() || client.out.is_some(), "{id} has no answer");
            }
        }
    }
}

/// A ban is above what the catalogue believes, and outlives a source that drops the server or is let go.
#[test]
fn a_ban_holds_over_sources_that_are_weighed() {
    let mut world = World::new(3, &["consul", "registry"]);
    let banned = server_id("s-0");
    let say = |world: &mut World, change| {
        let (reply, mut answer) = tokio::sync::oneshot::channel();
        world.take(EngineEvent::OperatorChange(
            change,
            UnlistedServers::Reject,
            reply,
        ));
        answer.try_recv().expect("in force at once")
    };
    let unknown = OperatorChange::Offline("nobody".into());
    assert_eq!(say(&mut world, unknown), OperatorReply::Unknown);
    let out = OperatorChange::Offline("s-0".into());
    assert!(matches!(say(&mut world, out), OperatorReply::Changed(_)));
    let from = world.sent.len();
    world.tell("consul", world.list(|_| Some(ReportedStatus::Ready)));
    world.tell(
        "consul",
        world.list(|n| (n > 0).then_some(ReportedStatus::Ready)),
    );
    world.sources(&["registry"]);
    world.tell("registry", world.list(|_| Some(ReportedStatus::Ready)));
    for id in 1000..1030 {
        world.open(id);
        world.pass(ms(50));
    }
    assert!(world.sent.len() >= from + 30);
    assert!(
        world.sent[from..]
            .iter()
            .all(|(_, server)| *server != banned)
    );
    let back = OperatorChange::Online("s-0".into());
    assert!(matches!(say(&mut world, back), OperatorReply::Changed(_)));
    for id in 2000..2030 {
        world.open(id);
        world.pass(ms(50));
    }
    assert!(world.sent.iter().any(|(_, server)| *server == banned));
}

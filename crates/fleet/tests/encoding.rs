//! The encoded form of what members of a fleet send each other, of what stands in the log and in its snapshots, and of
//! what operators' programs are told.

#[path = "../../consensus/tests/encoding/fixture.rs"]
mod fixture;

use std::fmt::Debug;

use fixture::{check, check_text};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use violetwind_consensus::{Body, Disk, Member, Members, Message, NodeId, Write};
use violetwind_fleet::budget::{Def, Kind, Need, Share};
use violetwind_fleet::work::{EndedView, Known, List, MachineView, OrderView, Staff, WorkView};
use violetwind_fleet::{
    Ask, Command, DutyView, Effect, Form, MemberView, Order, Peer, Record, Saved, State, Told, View,
};
use violetwind_workorders::{Bounds, Change, Listed, Machine, Orders, Report, Spans, Spare, Step};

fn check_postcard<T: Debug + PartialEq + Serialize + DeserializeOwned>(
    file: &str,
    samples: &[T],
    name: impl Fn(&T) -> &'static str,
) {
    let encode = |sample: &T| postcard::to_stdvec(sample).unwrap();
    check(file, samples, name, encode, |bytes| {
        postcard::from_bytes(bytes).unwrap()
    });
}

fn members() -> Members {
    let member = |id, name: &str, votes| {
        let name = name.into();
        (NodeId(id), Member { name, votes })
    };
    Members([member(301, "a", true), member(302, "b", false)].into())
}

fn held() -> Def {
    Def {
        name: "connections".into(),
        kind: Kind::Held,
        whole: 401,
        floor: 2,
        window: 0,
        members: 3,
        version: 404,
    }
}

fn rate() -> Def {
    Def {
        name: "openings".into(),
        kind: Kind::Rate,
        whole: 501,
        floor: 4,
        window: 502,
        members: 5,
        version: 503,
    }
}

fn need() -> Need {
    Need {
        budget: "connections".into(),
        busy: 21,
        wants: 22,
    }
}

fn share() -> Share {
    Share {
        units: 31,
        version: 32,
    }
}

fn report() -> Report {
    Report {
        version: 41,
        clients: 42,
        closed: true,
        warm: false,
    }
}

fn plan() -> violetwind_workorders::Order {
    violetwind_workorders::Order {
        name: "kernel".into(),
        machines: ["m1".into(), "m2".into()].into(),
        bounds: Bounds {
            most: 1,
            zone_most: 2,
            floor: 3,
            spare: Spare::Nothing,
        },
        spans: Spans {
            leave: 51,
            work: 52,
            back: 53,
        },
        not_before: 54,
        wait: true,
        paused: false,
        cancelled: false,
    }
}

fn list() -> List {
    let listed = Listed {
        version: 61,
        closed: true,
        machine: Machine::default(),
    };
    [("m1".into(), listed)].into()
}

fn staff() -> Vec<Staff> {
    vec![
        Staff::Plan(plan()),
        Staff::Pause(Some(71), true),
        Staff::Pause(None, false),
        Staff::Cancel(Some(72)),
        Staff::Cancel(None),
        Staff::Done("m1".into()),
        Staff::Failed("m2".into()),
        Staff::Recall("m3".into()),
    ]
}

/// Names each variant: a new one needs a sample.
fn staff_name(staff: &Staff) -> &'static str {
    match staff {
        Staff::Plan(_) => "staff-plan",
        Staff::Pause(..) => "staff-pause",
        Staff::Cancel(_) => "staff-cancel",
        Staff::Done(_) => "staff-done",
        Staff::Failed(_) => "staff-failed",
        Staff::Recall(_) => "staff-recall",
    }
}

fn operators_orders() -> Vec<Order> {
    vec![
        Order::HandOn {
            duty: "nightly".into(),
            to: Some("b".into()),
        },
        Order::HandOn {
            duty: "nightly".into(),
            to: None,
        },
        Order::LetIn { node: "c".into() },
        Order::Gone { node: "d".into() },
        Order::PutOut { node: "e".into() },
    ]
}

/// Names each variant: a new one needs a sample.
fn order_name(order: &Order) -> &'static str {
    match order {
        Order::HandOn { .. } => "order-hand-on",
        Order::LetIn { .. } => "order-let-in",
        Order::Gone { .. } => "order-gone",
        Order::PutOut { .. } => "order-put-out",
    }
}

fn asks_of_sessions() -> Vec<Ask> {
    vec![
        Ask::Join {
            nonce: 81,
            wants: vec!["nightly".into()],
            replaces: Some(82),
            process: 83,
            seen: 84,
            weight: 85,
            budgets: vec![held(), rate()],
            uses: vec![("connections".into(), 86)],
        },
        Ask::Renew {
            session: 87,
            needs: vec![need()],
            have: 88,
        },
        Ask::Lower {
            session: 89,
            need: need(),
            to: 90,
            version: 91,
        },
        Ask::Retire { session: 92 },
        Ask::Release {
            session: 93,
            duty: "nightly".into(),
            fence: 94,
            to: Some("b".into()),
        },
        Ask::Leave {
            session: 95,
            uses: vec![("connections".into(), 96)],
        },
        Ask::View,
    ]
}

fn asks_of_work() -> Vec<Ask> {
    vec![
        Ask::Work {
            session: 101,
            have: 102,
            reports: vec![("m1".into(), report())],
            shut: vec!["m2".into()],
        },
        Ask::Off { session: 103 },
        Ask::Conduct {
            session: 104,
            fence: 105,
            have: 106,
            why: vec![("m1".into(), "it waits".into())],
        },
        Ask::Propose {
            session: 107,
            fence: 108,
            roster: 109,
            change: Change::Pause(110, true),
        },
        Ask::WorkView,
    ]
}

/// Names each variant: a new one needs a sample.
fn ask_name(ask: &Ask) -> &'static str {
    match ask {
        Ask::Join { .. } => "ask-join",
        Ask::Renew { .. } => "ask-renew",
        Ask::Lower { .. } => "ask-lower",
        Ask::Retire { .. } => "ask-retire",
        Ask::Release { .. } => "ask-release",
        Ask::Leave { .. } => "ask-leave",
        Ask::View => "ask-view",
        Ask::Order(order) => order_name(order),
        Ask::Work { .. } => "ask-work",
        Ask::Off { .. } => "ask-off",
        Ask::Conduct { .. } => "ask-conduct",
        Ask::Propose { .. } => "ask-propose",
        Ask::Staff(staff) => staff_name(staff),
        Ask::WorkView => "ask-work-view",
    }
}

fn view() -> View {
    View {
        node: "a".into(),
        leader: Some("b".into()),
        term: 121,
        commit: 122,
        majority: true,
        members: vec![MemberView {
            node: "c".into(),
            votes: true,
            state: "live".into(),
            since_ms: Some(123),
        }],
        duties: vec![DutyView {
            name: "nightly".into(),
            holder: Some("d".into()),
            fence: Some(124),
            mine: true,
        }],
        // The type is not public: by name.
        budgets: serde_json::from_value(json!([{
            "name": "connections", "whole": 125, "version": 126, "floors": 127, "shared": 128, "stranded": 129,
            "free": 130, "used_here": 131, "allowed_here": 132,
        }]))
        .unwrap(),
        why: Some("no majority".into()),
    }
}

fn work_view() -> WorkView {
    WorkView {
        settled: true,
        why: Some("alone".into()),
        conductor: Some("a".into()),
        orders: vec![OrderView {
            number: 141,
            name: "kernel".into(),
            state: "running".into(),
            most: 142,
            zone_most: 143,
            floor: 144,
            spare: "zone".into(),
            machines: vec![MachineView {
                name: "m1".into(),
                zone: "z1".into(),
                phase: "waiting".into(),
                why: "its turn".into(),
                emptied: 145,
            }],
        }],
        ended: vec![EndedView {
            number: 146,
            name: "earlier".into(),
            done: 147,
            spared: 148,
        }],
        out: vec!["m2".into()],
        shut: vec!["m3".into()],
        serving: vec!["b".into()],
    }
}

fn known() -> Known {
    Known {
        version: 151,
        orders: Some(Orders::default()),
        roster: 152,
        members: vec![("a".into(), true, vec![("m1".into(), report())])],
        crowd: vec![("m2".into(), 153)],
        shut: vec!["m3".into()],
        others: true,
    }
}

fn answers() -> Vec<Told> {
    vec![
        Told::NotLeader(Some("b".into())),
        Told::NotLeader(None),
        Told::Later("busy".into()),
        Told::Joined {
            session: 161,
            at: 162,
            held: vec![("nightly".into(), 163)],
            shares: (164, vec![("connections".into(), share())]),
        },
        Told::Renewed {
            at: 165,
            held: vec![("nightly".into(), 166)],
            give_up: vec![("nightly".into(), Some("b".into()))],
            shares: Some((167, vec![("connections".into(), share())])),
            lower: vec![("connections".into(), 168)],
            term: 169,
        },
        Told::Unseen(170),
        Told::Lowered(share()),
        Told::Gone,
        Told::Done,
        Told::Refused("no".into()),
        Told::View(view()),
        Told::Work {
            version: 171,
            list: Some(list()),
        },
        Told::Work {
            version: 172,
            list: None,
        },
        Told::Conduct(known()),
        Told::WorkView(work_view()),
        Told::NobodyServed,
    ]
}

/// Names each variant: a new one needs a sample.
fn told_name(told: &Told) -> &'static str {
    match told {
        Told::NotLeader(_) => "told-not-leader",
        Told::Later(_) => "told-later",
        Told::Joined { .. } => "told-joined",
        Told::Renewed { .. } => "told-renewed",
        Told::Unseen(_) => "told-unseen",
        Told::Lowered(_) => "told-lowered",
        Told::Gone => "told-gone",
        Told::Done => "told-done",
        Told::Refused(_) => "told-refused",
        Told::View(_) => "told-view",
        Told::Work { .. } => "told-work",
        Told::Conduct(_) => "told-conduct",
        Told::WorkView(_) => "told-work-view",
        Told::NobodyServed => "told-nobody-served",
    }
}

fn frames_of_the_log() -> Vec<Peer> {
    let form = Form {
        id: NodeId(181),
        heard: [("b".into(), NodeId(182))].into(),
        agreed: Some(members()),
        formed: true,
    };
    let message = Message {
        term: 183,
        durable: 184,
        body: Body::Hello,
    };
    vec![
        Peer::Form(form),
        Peer::Log {
            from: NodeId(185),
            to: NodeId(186),
            message,
        },
        Peer::Nudge {
            session: 187,
            at: 188,
            shares: (189, vec![("connections".into(), share())]),
            lower: vec![("openings".into(), 190)],
            at_once: true,
        },
    ]
}

/// Names each variant: a new one needs a sample.
fn peer_name(peer: &Peer) -> &'static str {
    match peer {
        Peer::Form(_) => "form",
        Peer::Log { .. } => "log",
        Peer::Ask(_, ask) => ask_name(ask),
        Peer::Told(_, told) => told_name(told),
        Peer::Nudge { .. } => "nudge",
    }
}

#[test]
fn frames_between_members() {
    let mut asks = asks_of_sessions();
    asks.extend(operators_orders().into_iter().map(Ask::Order));
    asks.extend(asks_of_work());
    asks.extend(staff().into_iter().map(Ask::Staff));
    let mut frames = frames_of_the_log();
    frames.extend(asks.into_iter().map(|ask| Peer::Ask(301, ask)));
    frames.extend(answers().into_iter().map(|told| Peer::Told(302, told)));
    check_postcard("frames.hex", &frames, peer_name);
}

fn commands_of_sessions() -> Vec<Command> {
    vec![
        Command::Join {
            name: "a".into(),
            nonce: 201,
            wants: vec!["nightly".into()],
            replaces: Some(202),
            process: 203,
            seen: 204,
            weight: 205,
            budgets: vec![held(), rate()],
            uses: vec![("connections".into(), 206)],
        },
        Command::Retire { session: 207 },
        Command::Leave {
            session: 208,
            uses: vec![("connections".into(), 209)],
        },
        Command::Raise {
            changes: vec![("connections".into(), 210, 211, 212)],
        },
        Command::Lower {
            session: 213,
            budget: "connections".into(),
            to: 214,
            version: 215,
        },
        Command::Free {
            stranded: vec![("connections".into(), 216)],
        },
        Command::Gone { name: "b".into() },
        Command::Close {
            sessions: vec![217],
            avoid: vec![218],
        },
    ]
}

fn commands_of_duties_and_work() -> Vec<Command> {
    vec![
        Command::Release {
            session: 221,
            duty: "nightly".into(),
            fence: 222,
            to: Some("b".into()),
        },
        Command::HandOn {
            duty: "nightly".into(),
            to: Some("c".into()),
        },
        Command::Bar { name: "d".into() },
        Command::Unbar { name: "e".into() },
        Command::Serve { session: 223 },
        Command::Off { session: 224 },
        Command::Work {
            changes: vec![Change::Plan(plan()), Change::Cancel(225)],
            by: Some((226, 227)),
            roster: 228,
        },
    ]
}

/// Names each variant: a new one needs a sample.
fn command_name(command: &Command) -> &'static str {
    match command {
        Command::Join { .. } => "join",
        Command::Retire { .. } => "retire",
        Command::Leave { .. } => "leave",
        Command::Raise { .. } => "raise",
        Command::Lower { .. } => "lower",
        Command::Free { .. } => "free",
        Command::Gone { .. } => "gone",
        Command::Close { .. } => "close",
        Command::Release { .. } => "release",
        Command::HandOn { .. } => "hand-on",
        Command::Bar { .. } => "bar",
        Command::Unbar { .. } => "unbar",
        Command::Serve { .. } => "serve",
        Command::Off { .. } => "off",
        Command::Work { .. } => "work",
    }
}

#[test]
fn commands_of_the_log() {
    let mut commands = commands_of_sessions();
    commands.extend(commands_of_duties_and_work());
    let decode = |bytes: &[u8]| Command::decode(bytes).unwrap();
    check(
        "commands.hex",
        &commands,
        command_name,
        Command::encode,
        decode,
    );
}

fn join(name: &str, process: u64, weight: u64, budgets: Vec<Def>) -> Command {
    Command::Join {
        name: name.into(),
        nonce: process + 100,
        wants: vec!["nightly".into(), format!("only-{name}")],
        replaces: None,
        process,
        seen: 0,
        weight,
        budgets,
        uses: vec![],
    }
}

fn session_of(state: &State, name: &str) -> u64 {
    state.session_of(name).expect("it has joined").0
}

/// Sessions, duties that are held and asked for, budgets with shares and with stranded units, a name that is barred.
fn state_of_sessions() -> State {
    let mut state = State::default();
    let larger = Def {
        floor: 1,
        members: 4,
        version: 405,
        ..held()
    };
    state.apply(join("a", 301, 7, vec![held(), rate()]));
    state.apply(join("b", 302, 8, vec![larger, rate()]));
    state.apply(join("c", 303, 9, vec![held(), rate()]));
    let sessions = ["a", "b", "c"].map(|name| session_of(&state, name));
    let raise = |at: usize, units| {
        let of = state.budgets()["connections"].shares();
        let version = of.get(&sessions[at]).map_or(0, |share| share.version);
        ("connections".to_string(), sessions[at], units, version)
    };
    let changes = vec![raise(0, 41), raise(2, 43)];
    state.apply(Command::Raise { changes });
    let hand_on = Command::HandOn {
        duty: "nightly".into(),
        to: Some("b".into()),
    };
    assert_eq!(state.apply(hand_on), Effect::Done);
    state.apply(Command::Close {
        sessions: vec![sessions[2]],
        avoid: vec![],
    });
    state.apply(Command::Bar { name: "x".into() });
    state
}

/// The same with work: two proxies that serve, a machine out and an order that has not ended.
fn state_with_work() -> State {
    let mut state = state_of_sessions();
    for name in ["a", "b"] {
        let session = session_of(&state, name);
        state.apply(Command::Serve { session });
    }
    let wants = vec!["work".into()];
    let Command::Join { budgets, .. } = join("d", 304, 6, vec![held(), rate()]) else {
        unreachable!("a join");
    };
    let conductor = Command::Join {
        name: "d".into(),
        nonce: 404,
        wants,
        replaces: None,
        process: 304,
        seen: 0,
        weight: 6,
        budgets,
        uses: vec![],
    };
    state.apply(conductor);
    let by = state.duties()["work"].holder;
    let machine = |name: &str| (name.to_string(), Machine::default());
    let machines = Change::Machines([machine("m1"), machine("m2"), machine("m3")].into());
    work(&mut state, machines, by);
    work(&mut state, Change::Plan(plan()), None);
    let (order, (_, places)) = state.work().orders.orders().iter().next().unwrap();
    let out = Change::Step {
        order: *order,
        machine: "m1".into(),
        version: places["m1"].version,
        step: Step::Out,
        fence: by.map(|(_, fence)| fence),
    };
    work(&mut state, out, by);
    state
}

fn work(state: &mut State, change: Change, by: Option<(u64, u64)>) {
    let command = Command::Work {
        changes: vec![change],
        by,
        roster: state.work().roster,
    };
    assert_eq!(state.apply(command), Effect::Done);
}

#[test]
fn snapshots_of_the_state() {
    let samples = [State::default(), state_of_sessions(), state_with_work()];
    let decode = |bytes: &[u8]| State::decode(bytes).unwrap();
    check("states.hex", &samples, |_| "state", State::encode, decode);
}

/// The first field is the last number given, and the last one the largest that was forgotten; a state that has
/// forgotten any would be long.
#[test]
fn first_and_last_field_of_the_state() {
    let joined_with = |at: usize| {
        let mut bytes = State::default().encode();
        bytes[at] = 9;
        let mut state = State::decode(&bytes).unwrap();
        state.apply(join("a", 301, 1, vec![]))
    };
    let length = State::default().encode().len();
    assert_eq!(joined_with(1), Effect::Joined(10));
    assert_eq!(joined_with(length - 1), Effect::Unseen(9));
}

/// Names each variant: a new one needs a sample.
fn record_name(record: &Record) -> &'static str {
    match record {
        Record::Agreed(_) => "agreed",
        Record::Formed => "formed",
        Record::Write(_) => "write",
    }
}

#[test]
fn records_of_a_directory() {
    let write = Write {
        seq: 301,
        term: 302,
        ..Write::default()
    };
    let records = [
        Record::Agreed(members()),
        Record::Formed,
        Record::Write(write),
    ];
    check_postcard("records.hex", &records, record_name);
}

#[test]
fn what_a_directory_holds() {
    let saved = Saved {
        id: NodeId(301),
        agreed: Some(members()),
        formed: true,
        disk: Disk::genesis(members()),
    };
    check_postcard("saved.hex", &[saved, Saved::default()], |_| "saved");
}

/// Programs of operators read these by name.
#[test]
fn views_for_operators() {
    let bare = View {
        leader: None,
        why: None,
        ..view()
    };
    let views = serde_json::to_string_pretty(&[view(), bare]).unwrap();
    check_text("views.json", &(views + "\n"));
    let works = serde_json::to_string_pretty(&[work_view(), WorkView::default()]).unwrap();
    check_text("work_views.json", &(works + "\n"));
}

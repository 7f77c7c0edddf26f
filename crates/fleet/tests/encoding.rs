//! The encoding of messages between members of a fleet, of log entries and snapshots, and of the views for operators.

#[path = "../../consensus/tests/encoding/fixture.rs"]
mod fixture;

use std::fmt::Debug;

use fixture::{check, check_text};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use violetwind_consensus::{
    DurableState, DurableWrite, Member, Members, Message, MessageBody, NodeId,
};
use violetwind_fleet::budget::{BudgetDefinition, BudgetKind, Need, Share};
use violetwind_fleet::work_orders::{
    CoordinatorUpdate, EndedOrderView, MachineList, MachineView, OrderView, WorkAction, WorkView,
};
use violetwind_fleet::{
    Command, DutyView, Effect, FleetAction, FleetView, FormationStatus, LeaderReply, LeaderRequest,
    MemberRecord, MemberView, PeerMessage, SavedState, State,
};
use violetwind_workorders::{
    Bounds, FailureTolerance, ListedMachine, Machine, MachineReport, PhaseTimeouts, Step,
    WorkOrder, WorkOrderChange, WorkOrders,
};

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
    let member = |id, name: &str, is_voter| {
        let name = name.into();
        (NodeId(id), Member { name, is_voter })
    };
    Members([member(301, "a", true), member(302, "b", false)].into())
}

fn concurrent() -> BudgetDefinition {
    BudgetDefinition {
        name: "connections".into(),
        kind: BudgetKind::Concurrent,
        total: 401,
        floor: 2,
        window: 0,
        max_members: 3,
        version: 404,
    }
}

fn rate() -> BudgetDefinition {
    BudgetDefinition {
        name: "openings".into(),
        kind: BudgetKind::Rate,
        total: 501,
        floor: 4,
        window: 502,
        max_members: 5,
        version: 503,
    }
}

fn need() -> Need {
    Need {
        budget: "connections".into(),
        in_use: 21,
        wanted: 22,
    }
}

fn share() -> Share {
    Share {
        units: 31,
        version: 32,
    }
}

fn report() -> MachineReport {
    MachineReport {
        version: 41,
        clients: 42,
        closed: true,
        warm: false,
    }
}

fn work_order() -> WorkOrder {
    WorkOrder {
        name: "kernel".into(),
        machines: ["m1".into(), "m2".into()].into(),
        bounds: Bounds {
            max_out: 1,
            max_out_per_zone: 2,
            min_capacity_permille: 3,
            failure_tolerance: FailureTolerance::Nothing,
        },
        timeouts: PhaseTimeouts {
            drain_timeout: 51,
            work_timeout: 52,
            return_timeout: 53,
        },
        not_before: 54,
        waits_for_done: true,
        paused: false,
        cancelled: false,
    }
}

fn machine_list() -> MachineList {
    let listed = ListedMachine {
        version: 61,
        closed: true,
        machine: Machine::default(),
    };
    [("m1".into(), listed)].into()
}

fn work_actions() -> Vec<WorkAction> {
    vec![
        WorkAction::Plan(work_order()),
        WorkAction::SetPaused(Some(71), true),
        WorkAction::SetPaused(None, false),
        WorkAction::Cancel(Some(72)),
        WorkAction::Cancel(None),
        WorkAction::MarkDone("m1".into()),
        WorkAction::MarkFailed("m2".into()),
        WorkAction::Recall("m3".into()),
    ]
}

/// Names each variant: a new one needs a sample.
fn work_action_name(action: &WorkAction) -> &'static str {
    match action {
        WorkAction::Plan(_) => "staff-plan",
        WorkAction::SetPaused(..) => "staff-pause",
        WorkAction::Cancel(_) => "staff-cancel",
        WorkAction::MarkDone(_) => "staff-done",
        WorkAction::MarkFailed(_) => "staff-failed",
        WorkAction::Recall(_) => "staff-recall",
    }
}

fn fleet_actions() -> Vec<FleetAction> {
    vec![
        FleetAction::HandOffDuty {
            duty: "nightly".into(),
            preferred_holder: Some("b".into()),
        },
        FleetAction::HandOffDuty {
            duty: "nightly".into(),
            preferred_holder: None,
        },
        FleetAction::AdmitMember { node: "c".into() },
        FleetAction::DeclareMemberLost { node: "d".into() },
        FleetAction::EvictMember { node: "e".into() },
    ]
}

/// Names each variant: a new one needs a sample.
fn fleet_action_name(action: &FleetAction) -> &'static str {
    match action {
        FleetAction::HandOffDuty { .. } => "order-hand-on",
        FleetAction::AdmitMember { .. } => "order-let-in",
        FleetAction::DeclareMemberLost { .. } => "order-gone",
        FleetAction::EvictMember { .. } => "order-put-out",
    }
}

fn session_requests() -> Vec<LeaderRequest> {
    vec![
        LeaderRequest::Join {
            nonce: 81,
            wanted_duties: vec!["nightly".into()],
            replaced_session: Some(82),
            incarnation: 83,
            last_seen_number: 84,
            weight: 85,
            budgets: vec![concurrent(), rate()],
            units_in_use: vec![("connections".into(), 86)],
        },
        LeaderRequest::Renew {
            session: 87,
            needs: vec![need()],
            known_version: 88,
        },
        LeaderRequest::LowerShare {
            session: 89,
            need: need(),
            units: 90,
            share_version: 91,
        },
        LeaderRequest::BeginLeave { session: 92 },
        LeaderRequest::ReleaseDuty {
            session: 93,
            duty: "nightly".into(),
            fence: 94,
            preferred_holder: Some("b".into()),
        },
        LeaderRequest::Leave {
            session: 95,
            units_in_use: vec![("connections".into(), 96)],
        },
        LeaderRequest::FleetView,
    ]
}

fn work_requests() -> Vec<LeaderRequest> {
    vec![
        LeaderRequest::ReportWork {
            session: 101,
            known_version: 102,
            reports: vec![("m1".into(), report())],
            closed_machines: vec!["m2".into()],
        },
        LeaderRequest::StopServing { session: 103 },
        LeaderRequest::PollAsCoordinator {
            session: 104,
            fence: 105,
            known_version: 106,
            wait_reasons: vec![("m1".into(), "it waits".into())],
        },
        LeaderRequest::ProposeWorkChange {
            session: 107,
            fence: 108,
            roster_version: 109,
            change: WorkOrderChange::SetPaused(110, true),
        },
        LeaderRequest::WorkView,
    ]
}

/// Names each variant: a new one needs a sample.
fn request_name(request: &LeaderRequest) -> &'static str {
    match request {
        LeaderRequest::Join { .. } => "ask-join",
        LeaderRequest::Renew { .. } => "ask-renew",
        LeaderRequest::LowerShare { .. } => "ask-lower",
        LeaderRequest::BeginLeave { .. } => "ask-retire",
        LeaderRequest::ReleaseDuty { .. } => "ask-release",
        LeaderRequest::Leave { .. } => "ask-leave",
        LeaderRequest::FleetView => "ask-view",
        LeaderRequest::FleetAction(action) => fleet_action_name(action),
        LeaderRequest::ReportWork { .. } => "ask-work",
        LeaderRequest::StopServing { .. } => "ask-off",
        LeaderRequest::PollAsCoordinator { .. } => "ask-conduct",
        LeaderRequest::ProposeWorkChange { .. } => "ask-propose",
        LeaderRequest::WorkAction(action) => work_action_name(action),
        LeaderRequest::WorkView => "ask-work-view",
    }
}

fn fleet_view() -> FleetView {
    FleetView {
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
        // The type is not public: built from JSON.
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
        ended: vec![EndedOrderView {
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

fn coordinator_update() -> CoordinatorUpdate {
    CoordinatorUpdate {
        version: 151,
        orders: Some(WorkOrders::default()),
        roster_version: 152,
        members: vec![("a".into(), true, vec![("m1".into(), report())])],
        client_counts: vec![("m2".into(), 153)],
        closed_machines: vec!["m3".into()],
        has_other_candidates: true,
    }
}

fn replies() -> Vec<LeaderReply> {
    vec![
        LeaderReply::NotLeader(Some("b".into())),
        LeaderReply::NotLeader(None),
        LeaderReply::RetryLater("busy".into()),
        LeaderReply::Joined {
            session: 161,
            applied_index: 162,
            held_duties: vec![("nightly".into(), 163)],
            shares: (164, vec![("connections".into(), share())]),
        },
        LeaderReply::Renewed {
            applied_index: 165,
            held_duties: vec![("nightly".into(), 166)],
            duties_to_release: vec![("nightly".into(), Some("b".into()))],
            shares: Some((167, vec![("connections".into(), share())])),
            lower_targets: vec![("connections".into(), 168)],
            term: 169,
        },
        LeaderReply::JoinOutdated(170),
        LeaderReply::ShareLowered(share()),
        LeaderReply::SessionNotFound,
        LeaderReply::Done,
        LeaderReply::Refused("no".into()),
        LeaderReply::FleetView(fleet_view()),
        LeaderReply::MachineList {
            version: 171,
            list: Some(machine_list()),
        },
        LeaderReply::MachineList {
            version: 172,
            list: None,
        },
        LeaderReply::CoordinatorUpdate(coordinator_update()),
        LeaderReply::WorkView(work_view()),
        LeaderReply::ServingStopped,
    ]
}

/// Names each variant: a new one needs a sample.
fn reply_name(reply: &LeaderReply) -> &'static str {
    match reply {
        LeaderReply::NotLeader(_) => "told-not-leader",
        LeaderReply::RetryLater(_) => "told-later",
        LeaderReply::Joined { .. } => "told-joined",
        LeaderReply::Renewed { .. } => "told-renewed",
        LeaderReply::JoinOutdated(_) => "told-unseen",
        LeaderReply::ShareLowered(_) => "told-lowered",
        LeaderReply::SessionNotFound => "told-gone",
        LeaderReply::Done => "told-done",
        LeaderReply::Refused(_) => "told-refused",
        LeaderReply::FleetView(_) => "told-view",
        LeaderReply::MachineList { .. } => "told-work",
        LeaderReply::CoordinatorUpdate(_) => "told-conduct",
        LeaderReply::WorkView(_) => "told-work-view",
        LeaderReply::ServingStopped => "told-nobody-served",
    }
}

fn consensus_frames() -> Vec<PeerMessage> {
    let status = FormationStatus {
        id: NodeId(181),
        known_ids: [("b".into(), NodeId(182))].into(),
        agreed_members: Some(members()),
        is_formed: true,
    };
    let message = Message {
        term: 183,
        durable_seq: 184,
        body: MessageBody::StalenessRequest,
    };
    vec![
        PeerMessage::Formation(status),
        PeerMessage::Consensus {
            from: NodeId(185),
            to: NodeId(186),
            message,
        },
        PeerMessage::SessionUpdate {
            session: 187,
            applied_index: 188,
            shares: (189, vec![("connections".into(), share())]),
            lower_targets: vec![("openings".into(), 190)],
            renew_now: true,
        },
    ]
}

/// Names each variant: a new one needs a sample.
fn peer_name(peer: &PeerMessage) -> &'static str {
    match peer {
        PeerMessage::Formation(_) => "form",
        PeerMessage::Consensus { .. } => "log",
        PeerMessage::Request(_, request) => request_name(request),
        PeerMessage::Reply(_, reply) => reply_name(reply),
        PeerMessage::SessionUpdate { .. } => "nudge",
    }
}

#[test]
fn frames_between_members() {
    let mut requests = session_requests();
    requests.extend(fleet_actions().into_iter().map(LeaderRequest::FleetAction));
    requests.extend(work_requests());
    requests.extend(work_actions().into_iter().map(LeaderRequest::WorkAction));
    let mut frames = consensus_frames();
    frames.extend(
        requests
            .into_iter()
            .map(|request| PeerMessage::Request(301, request)),
    );
    frames.extend(
        replies()
            .into_iter()
            .map(|reply| PeerMessage::Reply(302, reply)),
    );
    check_postcard("frames.hex", &frames, peer_name);
}

fn session_commands() -> Vec<Command> {
    vec![
        Command::Join {
            name: "a".into(),
            nonce: 201,
            wanted_duties: vec!["nightly".into()],
            replaced_session: Some(202),
            incarnation: 203,
            last_seen_number: 204,
            weight: 205,
            budgets: vec![concurrent(), rate()],
            units_in_use: vec![("connections".into(), 206)],
        },
        Command::BeginLeave { session: 207 },
        Command::Leave {
            session: 208,
            units_in_use: vec![("connections".into(), 209)],
        },
        Command::RaiseShares {
            changes: vec![("connections".into(), 210, 211, 212)],
        },
        Command::LowerShare {
            session: 213,
            budget: "connections".into(),
            units: 214,
            share_version: 215,
        },
        Command::ReleaseStranded {
            stranded: vec![("connections".into(), 216)],
        },
        Command::DeclareMemberLost { name: "b".into() },
        Command::CloseSessions {
            sessions: vec![217],
            avoided_sessions: vec![218],
        },
    ]
}

fn duty_and_work_commands() -> Vec<Command> {
    vec![
        Command::ReleaseDuty {
            session: 221,
            duty: "nightly".into(),
            fence: 222,
            preferred_holder: Some("b".into()),
        },
        Command::HandOffDuty {
            duty: "nightly".into(),
            preferred_holder: Some("c".into()),
        },
        Command::BlockMember { name: "d".into() },
        Command::UnblockMember { name: "e".into() },
        Command::StartServing { session: 223 },
        Command::StopServing { session: 224 },
        Command::ChangeWorkOrders {
            changes: vec![
                WorkOrderChange::AddOrder(work_order()),
                WorkOrderChange::Cancel(225),
            ],
            coordinator: Some((226, 227)),
            roster_version: 228,
        },
    ]
}

/// Names each variant: a new one needs a sample.
fn command_name(command: &Command) -> &'static str {
    match command {
        Command::Join { .. } => "join",
        Command::BeginLeave { .. } => "retire",
        Command::Leave { .. } => "leave",
        Command::RaiseShares { .. } => "raise",
        Command::LowerShare { .. } => "lower",
        Command::ReleaseStranded { .. } => "free",
        Command::DeclareMemberLost { .. } => "gone",
        Command::CloseSessions { .. } => "close",
        Command::ReleaseDuty { .. } => "release",
        Command::HandOffDuty { .. } => "hand-on",
        Command::BlockMember { .. } => "bar",
        Command::UnblockMember { .. } => "unbar",
        Command::StartServing { .. } => "serve",
        Command::StopServing { .. } => "off",
        Command::ChangeWorkOrders { .. } => "work",
    }
}

#[test]
fn log_commands() {
    let mut commands = session_commands();
    commands.extend(duty_and_work_commands());
    let decode = |bytes: &[u8]| Command::decode(bytes).unwrap();
    check(
        "commands.hex",
        &commands,
        command_name,
        Command::encode,
        decode,
    );
}

fn join(name: &str, incarnation: u64, weight: u64, budgets: Vec<BudgetDefinition>) -> Command {
    Command::Join {
        name: name.into(),
        nonce: incarnation + 100,
        wanted_duties: vec!["nightly".into(), format!("only-{name}")],
        replaced_session: None,
        incarnation,
        last_seen_number: 0,
        weight,
        budgets,
        units_in_use: vec![],
    }
}

fn session_id(state: &State, name: &str) -> u64 {
    state.session_by_name(name).expect("it has joined").0
}

/// Sessions, held duties and a requested handoff, budgets with shares and stranded units, a blocked member.
fn state_with_sessions() -> State {
    let mut state = State::default();
    let larger = BudgetDefinition {
        floor: 1,
        max_members: 4,
        version: 405,
        ..concurrent()
    };
    state.apply(join("a", 301, 7, vec![concurrent(), rate()]));
    state.apply(join("b", 302, 8, vec![larger, rate()]));
    state.apply(join("c", 303, 9, vec![concurrent(), rate()]));
    let sessions = ["a", "b", "c"].map(|name| session_id(&state, name));
    let raise = |at: usize, units| {
        let shares = state.budgets()["connections"].shares();
        let version = shares.get(&sessions[at]).map_or(0, |share| share.version);
        ("connections".to_string(), sessions[at], units, version)
    };
    let changes = vec![raise(0, 41), raise(2, 43)];
    state.apply(Command::RaiseShares { changes });
    let hand_off = Command::HandOffDuty {
        duty: "nightly".into(),
        preferred_holder: Some("b".into()),
    };
    assert_eq!(state.apply(hand_off), Effect::Done);
    state.apply(Command::CloseSessions {
        sessions: vec![sessions[2]],
        avoided_sessions: vec![],
    });
    state.apply(Command::BlockMember { name: "x".into() });
    state
}

/// The same with work orders: two serving proxies, one machine out, and an active order.
fn state_with_work_orders() -> State {
    let mut state = state_with_sessions();
    for name in ["a", "b"] {
        let session = session_id(&state, name);
        state.apply(Command::StartServing { session });
    }
    let wanted_duties = vec!["work".into()];
    let Command::Join { budgets, .. } = join("d", 304, 6, vec![concurrent(), rate()]) else {
        unreachable!("a join");
    };
    let coordinator_join = Command::Join {
        name: "d".into(),
        nonce: 404,
        wanted_duties,
        replaced_session: None,
        incarnation: 304,
        last_seen_number: 0,
        weight: 6,
        budgets,
        units_in_use: vec![],
    };
    state.apply(coordinator_join);
    let coordinator = state.duties()["work"].holder;
    let machine = |name: &str| (name.to_string(), Machine::default());
    let machines =
        WorkOrderChange::SetMachines([machine("m1"), machine("m2"), machine("m3")].into());
    change_work_orders(&mut state, machines, coordinator);
    change_work_orders(&mut state, WorkOrderChange::AddOrder(work_order()), None);
    let (order, (_, progress)) = state.work().orders.orders().iter().next().unwrap();
    let take_out = WorkOrderChange::Step {
        order: *order,
        machine: "m1".into(),
        version: progress["m1"].version,
        step: Step::TakeOut,
        fence: coordinator.map(|(_, fence)| fence),
    };
    change_work_orders(&mut state, take_out, coordinator);
    state
}

fn change_work_orders(state: &mut State, change: WorkOrderChange, coordinator: Option<(u64, u64)>) {
    let command = Command::ChangeWorkOrders {
        changes: vec![change],
        coordinator,
        roster_version: state.work().roster_version,
    };
    assert_eq!(state.apply(command), Effect::Done);
}

#[test]
fn state_snapshots() {
    let samples = [
        State::default(),
        state_with_sessions(),
        state_with_work_orders(),
    ];
    let decode = |bytes: &[u8]| State::decode(bytes).unwrap();
    check("states.hex", &samples, |_| "state", State::encode, decode);
}

/// The first field is the last number that was assigned, the last field the largest number that was dropped; a state
/// that has dropped any would be too long for a sample.
#[test]
fn first_and_last_state_field() {
    let joined_with = |at: usize| {
        let mut bytes = State::default().encode();
        bytes[at] = 9;
        let mut state = State::decode(&bytes).unwrap();
        state.apply(join("a", 301, 1, vec![]))
    };
    let length = State::default().encode().len();
    assert_eq!(joined_with(1), Effect::Joined(10));
    assert_eq!(joined_with(length - 1), Effect::JoinOutdated(9));
}

/// Names each variant: a new one needs a sample.
fn record_name(record: &MemberRecord) -> &'static str {
    match record {
        MemberRecord::Agreed(_) => "agreed",
        MemberRecord::Formed => "formed",
        MemberRecord::Write(_) => "write",
    }
}

#[test]
fn directory_records() {
    let write = DurableWrite {
        seq: 301,
        term: 302,
        ..DurableWrite::default()
    };
    let records = [
        MemberRecord::Agreed(members()),
        MemberRecord::Formed,
        MemberRecord::Write(write),
    ];
    check_postcard("records.hex", &records, record_name);
}

#[test]
fn saved_states() {
    let saved = SavedState {
        id: NodeId(301),
        agreed_members: Some(members()),
        is_formed: true,
        consensus_state: DurableState::bootstrap(members()),
    };
    check_postcard("saved.hex", &[saved, SavedState::default()], |_| "saved");
}

/// Programs of operators read these fields by name.
#[test]
fn operator_views() {
    let bare = FleetView {
        leader: None,
        why: None,
        ..fleet_view()
    };
    let views = serde_json::to_string_pretty(&[fleet_view(), bare]).unwrap();
    check_text("views.json", &(views + "\n"));
    let works = serde_json::to_string_pretty(&[work_view(), WorkView::default()]).unwrap();
    check_text("work_views.json", &(works + "\n"));
}

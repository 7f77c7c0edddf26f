//! Orders for work in the fleet's log, under seeds of faults: whole members, proxies that go by the list that is on
//! their disks, staff, machines that die. The books are kept from what the proxies do.

use violetwind_fleet::work_orders::WorkAction;
use violetwind_fleet::{Command, Effect, Name, OperatorAnswer, OperatorCall, State};
use violetwind_storm::fleet::{InjectedBug, World, node_name};
use violetwind_workorders::{
    Bounds, FailureTolerance, Machine, Phase, PhaseTimeouts, Server, Step, WorkOrder,
    WorkOrderChange,
};

const BOUNDS: Bounds = Bounds {
    max_out: 2,
    max_out_per_zone: 1,
    min_capacity_permille: 500,
    failure_tolerance: FailureTolerance::Nothing,
};

fn play(seed: u64, voters: usize, others: usize, planted: InjectedBug) -> World {
    let mut world =
        World::with_injected_bug(seed, voters, others, planted).with_machines(6, BOUNDS);
    world.run_for(4000);
    world.plan_work(&node_name(0), "kernel", BOUNDS);
    for _ in 0..2 {
        if world.violation.is_none() {
            world.run_random_faults(15_000);
        }
    }
    world
}

/// Time enough for an order to come to its end once nothing fails any more.
fn finish(world: &mut World) -> bool {
    for _ in 0..60 {
        let ended = world.work_state().is_some_and(|work| {
            work.orders.orders().is_empty() && work.orders.ended_orders().len() == 1
        });
        if ended || world.violation.is_some() {
            return ended;
        }
        world.run_for(2000);
    }
    false
}

fn campaign(seeds: std::ops::Range<u64>) -> (usize, usize) {
    let (mut steps, mut done) = (0, 0);
    for seed in seeds {
        let (voters, others) = [(3, 0), (3, 2), (5, 0)][seed as usize % 3];
        let mut world = play(seed, voters, others, InjectedBug::Nothing);
        let ended = finish(&mut world);
        assert_eq!(world.violation, None, "seed {seed}");
        let state = world.work_state().cloned();
        assert!(ended, "seed {seed}: it comes to no end: {state:?}");
        let shift = world.maintenance.as_ref().expect("machines");
        steps += shift.machine_steps;
        done += state.expect("just seen").orders.ended_orders()[0].2;
    }
    (steps, done)
}

#[test]
fn an_order_keeps_what_must_hold_and_ends_over_seeds_of_faults() {
    let (steps, done) = campaign(0..24);
    println!("{steps} steps, {done} machines");
    assert!(
        done == 24 * 6 && steps > 24 * 24,
        "{steps} steps, {done} machines"
    );
}

/// `cargo test --release -p violetwind-fleet --test work -- --ignored --nocapture`
#[test]
#[ignore = "minutes; for a release build"]
fn four_thousand_seeds() {
    let parts: Vec<_> = (0..8)
        .map(|part| {
            std::thread::spawn(move || campaign(1000 + part * 500..1000 + (part + 1) * 500))
        })
        .collect();
    let sums = parts.into_iter().map(|part| part.join().expect("a seed"));
    let (steps, done) = sums.fold((0, 0), |(a, b), (c, d)| (a + c, b + d));
    println!("{steps} steps, {done} machines worked on, no violation");
}

#[test]
fn proxies_that_confirm_too_soon_are_found() {
    for (planted, what) in [
        (InjectedBug::HastyProxy, "Empty Means Empty"),
        (InjectedBug::ForgetfulProxy, "Empty Means Empty"),
    ] {
        let mut found = (0..40).filter_map(|seed| {
            let mut world = play(seed, 3, 2, planted);
            finish(&mut world);
            world.violation
        });
        assert!(
            found.any(|wrong| wrong.contains(what)),
            "{planted:?} is not found"
        );
    }
}

fn machines(count: usize) -> WorkOrderChange {
    let machine = |at: usize| {
        let server = Server {
            name: format!("s-{at}"),
            kind: "k".into(),
            cell: 0,
            room: 10,
        };
        let machine = Machine {
            zone: format!("z-{at}"),
            servers: vec![server],
            proxy: None,
        };
        (format!("m-{at}"), machine)
    };
    WorkOrderChange::SetMachines((0..count).map(machine).collect())
}

fn order(machines: &[&str]) -> WorkOrder {
    WorkOrder {
        name: "kernel".into(),
        machines: machines.iter().map(|name| (*name).into()).collect(),
        bounds: BOUNDS,
        timeouts: PhaseTimeouts {
            drain_timeout: 1000,
            work_timeout: 1000,
            return_timeout: 1000,
        },
        not_before: 0,
        waits_for_done: true,
        paused: false,
        cancelled: false,
    }
}

/// A state in which one session conducts, and three machines are known.
fn conducted() -> (State, u64, u64) {
    let mut state = State::default();
    let joined = join(&mut state, "node-a", 1);
    let fence = state.duties()["work"].holder.expect("it wants it").1;
    state.apply(Command::StartServing { session: joined });
    let change = Command::ChangeWorkOrders {
        changes: vec![machines(3)],
        coordinator: Some((joined, fence)),
        roster_version: 0,
    };
    assert_eq!(state.apply(change), Effect::Done);
    (state, joined, fence)
}

fn join(state: &mut State, name: &str, nonce: u64) -> u64 {
    let seen = state.required_last_seen_number(name);
    match state.apply(Command::Join {
        name: name.into(),
        nonce,
        wanted_duties: vec!["work".into()],
        replaced_session: None,
        incarnation: nonce,
        last_seen_number: seen,
        weight: 1,
        budgets: Vec::new(),
        units_in_use: Vec::new(),
    }) {
        Effect::Joined(session) => session,
        effect => panic!("{effect:?}"),
    }
}

fn step(state: &State, machine: &str, step: Step, by: (u64, u64), roster: u64) -> Command {
    let orders = &state.work().orders;
    let (number, place) = orders
        .orders()
        .iter()
        .find_map(|(number, (_, places))| Some((*number, places.get(machine)?)))
        .expect("in an order");
    Command::ChangeWorkOrders {
        changes: vec![WorkOrderChange::Step {
            order: number,
            machine: machine.into(),
            version: place.version,
            step,
            fence: Some(by.1),
        }],
        coordinator: Some(by),
        roster_version: roster,
    }
}

fn staff(state: &State, staff: &WorkAction) -> Command {
    Command::ChangeWorkOrders {
        changes: staff.to_changes(&state.work().orders).expect("sound"),
        coordinator: None,
        roster_version: 0,
    }
}

/// Who was not asked can't have confirmed: a process that begins to serve makes a step in hand late.
#[test]
fn a_machine_is_not_told_as_empty_on_the_word_of_an_older_roster() {
    let (mut state, session, fence) = conducted();
    let plan = staff(&state, &WorkAction::Plan(order(&["m-0"])));
    assert_eq!(state.apply(plan), Effect::Done);
    let out = step(&state, "m-0", Step::TakeOut, (session, fence), 0);
    assert_eq!(state.apply(out), Effect::Done);
    let roster = state.work().roster_version;
    let empty = step(&state, "m-0", Step::MarkDrained, (session, fence), roster);
    let other = join(&mut state, "node-b", 2);
    state.apply(Command::StartServing { session: other });
    assert!(matches!(state.apply(empty), Effect::WorkRefused(_)));
    // Its process is another one: it may not have read what the last one has confirmed.
    let roster = state.work().roster_version;
    let empty = step(&state, "m-0", Step::MarkDrained, (session, fence), roster);
    state.apply(Command::CloseSessions {
        sessions: vec![other],
        avoided_sessions: vec![],
    });
    join(&mut state, "node-b", 3);
    assert!(matches!(state.apply(empty), Effect::WorkRefused(_)));
    let roster = state.work().roster_version;
    let empty = step(&state, "m-0", Step::MarkDrained, (session, fence), roster);
    assert_eq!(state.apply(empty), Effect::Done);
}

/// A conductor that was stopped with a step in hand changes nothing when it goes on, and nobody else conducts.
#[test]
fn only_the_holder_of_the_duty_steps_and_staff_alone_plan() {
    let (mut state, session, fence) = conducted();
    let plan = staff(&state, &WorkAction::Plan(order(&["m-0", "m-1"])));
    state.apply(plan.clone());
    let in_hand = step(&state, "m-0", Step::TakeOut, (session, fence), 0);
    let other = join(&mut state, "node-b", 2);
    state.apply(Command::CloseSessions {
        sessions: vec![session],
        avoided_sessions: vec![],
    });
    let before = state.work().clone();
    assert!(matches!(state.apply(in_hand), Effect::WorkRefused(_)));
    let next = state.duties()["work"].holder.expect("held on");
    assert_eq!(next.0, other);
    // Staff's own words with a fencing number, and a plan by the conductor.
    let done = step(&state, "m-0", Step::CompleteWork, next, 0);
    assert!(matches!(state.apply(done), Effect::WorkRefused(_)));
    let Command::ChangeWorkOrders { changes, .. } = plan else {
        panic!("just made")
    };
    let plan = Command::ChangeWorkOrders {
        changes,
        coordinator: Some(next),
        roster_version: 0,
    };
    assert!(matches!(state.apply(plan), Effect::WorkRefused(_)));
    assert_eq!(*state.work(), before);
    let out = step(&state, "m-0", Step::TakeOut, next, 0);
    assert_eq!(state.apply(out), Effect::Done);
}

/// A fleet that has no work writes what its oldest members can read; with work the version says so.
#[test]
fn snapshots_and_commands_have_the_oldest_version_that_holds_them() {
    let mut state = State::default();
    join(&mut state, "node-a", 1);
    assert_eq!(state.encode()[0], 1);
    assert_eq!(State::decode(&state.encode()).as_ref(), Ok(&state));
    let (mut state, ..) = conducted();
    let plan = staff(&state, &WorkAction::Plan(order(&["m-0", "m-1"])));
    assert_eq!(
        (plan.encode()[0], Command::decode(&plan.encode())),
        (2, Ok(plan.clone()))
    );
    assert_eq!(
        Command::DeclareMemberLost { name: "a".into() }.encode()[0],
        1
    );
    state.apply(plan);
    let bytes = state.encode();
    assert_eq!(bytes[0], 2);
    let read = State::decode(&bytes).expect("written here");
    assert_eq!(read, state);
    assert_eq!(read.work().orders.orders().len(), 1);
    for end in 1..bytes.len() {
        assert!(State::decode(&bytes[..end]).is_err(), "cut at {end}");
    }
    let other = [&[9], &bytes[1..]].concat();
    assert!(State::decode(&other).unwrap_err().contains("version 9"));
}

/// What staff say again, as the answer was lost, is done once.
#[test]
fn staff_may_say_everything_twice() {
    let (mut state, session, fence) = conducted();
    let plan = WorkAction::Plan(order(&["m-0"]));
    let command = staff(&state, &plan);
    state.apply(command);
    assert_eq!(plan.to_changes(&state.work().orders), Ok(vec![]));
    for (machine_step, roster) in [
        (Step::TakeOut, 0),
        (Step::MarkDrained, state.work().roster_version),
    ] {
        let command = step(&state, "m-0", machine_step, (session, fence), roster);
        assert_eq!(state.apply(command), Effect::Done);
    }
    let done = WorkAction::MarkDone("m-0".into());
    let command = staff(&state, &done);
    assert_eq!(state.apply(command), Effect::Done);
    assert_eq!(done.to_changes(&state.work().orders), Ok(vec![]));
    assert_eq!(
        WorkAction::MarkDone("m-7".into()).to_changes(&state.work().orders),
        Err("m-7 is in no order".into())
    );
    assert_eq!(
        WorkAction::SetPaused(Some(99), true).to_changes(&state.work().orders),
        Err("there is no order 99".into())
    );
}

/// A proxy that serves nobody any more is not waited for; one that is cut off is, until staff say that it is gone.
#[test]
fn who_is_cut_off_is_waited_for_until_staff_say_that_it_is_gone() {
    let mut world = World::new(7, 3, 0).with_machines(3, BOUNDS);
    world.run_for(4000);
    let cut = node_name(2);
    let rest: Vec<Name> = vec![node_name(0), node_name(1)];
    world.cut_links(std::slice::from_ref(&cut), &rest, true);
    world.run_for(6000);
    world.plan_work(&node_name(0), "kernel", BOUNDS);
    world.run_for(6000);
    let phase = |world: &World| {
        let work = world.work_state().expect("a state");
        let places = work
            .orders
            .orders()
            .values()
            .flat_map(|(_, places)| places.values());
        places.map(|place| place.phase.clone()).collect::<Vec<_>>()
    };
    let leaving = phase(&world)
        .iter()
        .filter(|p| **p == Phase::Draining)
        .count();
    assert_eq!(leaving, 1, "{:?}", phase(&world));
    let seen = world.submit_call(&node_name(0), OperatorCall::WorkView);
    world.run_for(500);
    let Some(OperatorAnswer::WorkView(view)) = world.answers.get(&seen) else {
        panic!("{:?}", world.answers.get(&seen))
    };
    let why = view.orders[0]
        .machines
        .iter()
        .find(|m| m.phase == "leaving");
    assert_eq!(why.expect("leaving").why, "not confirmed yet by node-2");
    // Its process has ended with its machine.
    world.kill_process(&cut);
    world.submit_order(
        &node_name(0),
        violetwind_fleet::FleetAction::DeclareMemberLost { node: cut },
    );
    assert!(finish(&mut world), "{:?}", world.work_state());
    assert_eq!(world.violation, None);
}

/// Without a leader a member tells what is out as it goes by it.
#[test]
fn what_is_out_is_told_also_without_a_majority() {
    let mut world = World::new(3, 3, 0).with_machines(3, BOUNDS);
    world.run_for(4000);
    world.plan_work(&node_name(0), "kernel", BOUNDS);
    world.run_for(800);
    let out = world
        .work_state()
        .expect("a state")
        .orders
        .machines_out()
        .len();
    assert!(out > 0);
    world.kill_process(&node_name(1));
    world.kill_process(&node_name(2));
    world.run_for(6000);
    let seen = world.submit_call(&node_name(0), OperatorCall::WorkView);
    world.run_for(2000);
    let Some(OperatorAnswer::WorkView(view)) = world.answers.get(&seen) else {
        panic!("{:?}", world.answers.get(&seen))
    };
    assert!(!view.settled && !view.out.is_empty(), "{view:?}");
}

/// What happens: a leader is stopped while others lead and cancel an order for work; when it goes on it is asked for the same order,
/// answers "done", and there is no such order; and its view shows staff the order that is gone.
/// Why: an order that changes nothing, and the view, were answered from the leader's own books, without the confirmation of a
/// majority that views of the fleet wait for.
#[test]
fn a_leader_that_others_have_followed_says_nothing_of_work_by_its_own_books() {
    for seed in 0..5 {
        let mut world =
            World::with_injected_bug(seed, 3, 1, InjectedBug::Nothing).with_machines(6, BOUNDS);
        world.run_for(4000);
        let plan = WorkAction::Plan(WorkOrder {
            // Far away: it is planned, and not begun.
            not_before: u64::MAX / 2,
            ..order(&["m-0", "m-1"])
        });
        let old = world.leader().expect("a leader");
        let at = (0..3).map(node_name).find(|name| *name != old).unwrap();
        world.submit_call(&at, OperatorCall::WorkAction(plan.clone()));
        world.run_for(1000);
        let orders = |world: &World| world.work_state().unwrap().orders.orders().len();
        assert_eq!(orders(&world), 1, "seed {seed}");
        world.hosts.get_mut(&old).unwrap().stopped_until = world.now + 6000;
        world.run_for(3000);
        world.submit_call(&at, OperatorCall::WorkAction(WorkAction::Cancel(None)));
        world.run_for(500);
        let again = world.submit_call(&old, OperatorCall::WorkAction(plan));
        let seen = world.submit_call(&old, OperatorCall::WorkView);
        world.hosts.get_mut(&old).unwrap().stopped_until = 0;
        world.run_for(1000);
        assert!(
            world.answers.get(&again) != Some(&OperatorAnswer::Done) || orders(&world) == 1,
            "seed {seed}: done, and there is no order"
        );
        if let Some(OperatorAnswer::WorkView(view)) = world.answers.get(&seen) {
            let shown = view.orders.len();
            assert!(
                shown == orders(&world) || !view.settled,
                "seed {seed}: {view:?}"
            );
        }
    }
}

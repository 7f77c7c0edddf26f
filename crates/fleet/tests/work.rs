//! Work orders in the fleet's log, simulated with seeded faults: complete members, proxies that apply the machine list
//! on their disks, operators, and machines that fail. The simulation checks its invariants on what the proxies do.

use violetwind_fleet::work_orders::WorkAction;
use violetwind_fleet::{Command, Effect, Name, OperatorAnswer, OperatorCall, State};
use violetwind_storm::fleet::{InjectedBug, STEP_INTERVAL, World, node_name};
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

/// A simulated fleet with one work order, after two rounds of random faults.
fn simulate(seed: u64, voters: usize, others: usize, injected_bug: InjectedBug) -> World {
    let mut world =
        World::with_injected_bug(seed, voters, others, injected_bug).with_machines(6, BOUNDS);
    world.run_for(4000);
    world.plan_work(&node_name(0), "kernel", BOUNDS);
    for _ in 0..2 {
        if world.violation.is_none() {
            world.run_random_faults(15_000);
        }
    }
    world
}

/// Runs without further faults until the order has ended, for at most two minutes. Returns whether it has ended.
fn run_until_order_ends(world: &mut World) -> bool {
    for _ in 0..60 {
        let has_ended = world.work_state().is_some_and(|work| {
            work.orders.orders().is_empty() && work.orders.ended_orders().len() == 1
        });
        if has_ended || world.violation.is_some() {
            return has_ended;
        }
        world.run_for(2000);
    }
    false
}

/// Simulates each seed until its order ends. Returns the machine steps and the machines done.
fn run_seeds(seeds: std::ops::Range<u64>) -> (usize, usize) {
    let (mut machine_steps, mut machines_done) = (0, 0);
    for seed in seeds {
        let (voters, others) = [(3, 0), (3, 2), (5, 0)][seed as usize % 3];
        let mut world = simulate(seed, voters, others, InjectedBug::Nothing);
        let has_ended = run_until_order_ends(&mut world);
        assert_eq!(world.violation, None, "seed {seed}");
        let state = world.work_state().cloned();
        assert!(has_ended, "seed {seed}: the order does not end: {state:?}");
        let maintenance = world.maintenance.as_ref().expect("the world has machines");
        machine_steps += maintenance.machine_steps;
        machines_done += state.expect("its order has ended").orders.ended_orders()[0].2;
    }
    (machine_steps, machines_done)
}

#[test]
fn work_orders_keep_the_invariants_and_end_under_random_faults() {
    let (steps, done) = run_seeds(0..24);
    println!("{steps} steps, {done} machines");
    assert!(
        done == 24 * 6 && steps > 24 * 24,
        "{steps} steps, {done} machines"
    );
}

/// `cargo test --release -p violetwind-fleet --test work -- --ignored --nocapture`
#[test]
#[ignore = "minutes; for a release build"]
fn work_orders_keep_the_invariants_over_four_thousand_seeds() {
    let parts: Vec<_> = (0..8)
        .map(|part| {
            std::thread::spawn(move || run_seeds(1000 + part * 500..1000 + (part + 1) * 500))
        })
        .collect();
    let sums = parts
        .into_iter()
        .map(|part| part.join().expect("a seed failed"));
    let (steps, done) = sums.fold((0, 0), |(steps, done), (more_steps, more_done)| {
        (steps + more_steps, done + more_done)
    });
    println!("{steps} steps, {done} machines worked on, no violation");
}

#[test]
fn finds_proxies_that_confirm_too_early() {
    for (injected_bug, invariant) in [
        (InjectedBug::HastyProxy, "Empty Means Empty"),
        (InjectedBug::ForgetfulProxy, "Empty Means Empty"),
    ] {
        let mut violations = (0..40).filter_map(|seed| {
            let mut world = simulate(seed, 3, 2, injected_bug);
            run_until_order_ends(&mut world);
            world.violation
        });
        assert!(
            violations.any(|violation| violation.contains(invariant)),
            "{injected_bug:?} is not found"
        );
    }
}

/// Sets `count` machines, each with one server in a zone of its own.
fn set_machines(count: usize) -> WorkOrderChange {
    let machine = |index: usize| {
        let server = Server {
            name: format!("s-{index}"),
            kind: "k".into(),
            cell: 0,
            room: 10,
        };
        let machine = Machine {
            zone: format!("z-{index}"),
            servers: vec![server],
            proxy: None,
        };
        (format!("m-{index}"), machine)
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

/// A state in which one session is the coordinator and three machines are known. Returns the state, the session and
/// the fencing number.
fn state_with_coordinator() -> (State, u64, u64) {
    let mut state = State::default();
    let session = join(&mut state, "node-a", 1);
    let fence = state.duties()["work"]
        .holder
        .expect("the only session holds the duty")
        .1;
    state.apply(Command::StartServing { session });
    let change = Command::ChangeWorkOrders {
        changes: vec![set_machines(3)],
        coordinator: Some((session, fence)),
        roster_version: 0,
    };
    assert_eq!(state.apply(change), Effect::Done);
    (state, session, fence)
}

fn join(state: &mut State, name: &str, nonce: u64) -> u64 {
    let last_seen_number = state.required_last_seen_number(name);
    match state.apply(Command::Join {
        name: name.into(),
        nonce,
        wanted_duties: vec!["work".into()],
        replaced_session: None,
        incarnation: nonce,
        last_seen_number,
        weight: 1,
        budgets: Vec::new(),
        units_in_use: Vec::new(),
    }) {
        Effect::Joined(session) => session,
        effect => panic!("{effect:?}"),
    }
}

/// The command for one step of a machine by a coordinator, which is given as its session and fencing number.
fn step(
    state: &State,
    machine: &str,
    step: Step,
    coordinator: (u64, u64),
    roster_version: u64,
) -> Command {
    let orders = &state.work().orders;
    let (number, progress) = orders
        .orders()
        .iter()
        .find_map(|(number, (_, machines))| Some((*number, machines.get(machine)?)))
        .expect("the machine is in an order");
    Command::ChangeWorkOrders {
        changes: vec![WorkOrderChange::Step {
            order: number,
            machine: machine.into(),
            version: progress.version,
            step,
            fence: Some(coordinator.1),
        }],
        coordinator: Some(coordinator),
        roster_version,
    }
}

/// The command for an operator's action.
fn operator_command(state: &State, action: &WorkAction) -> Command {
    Command::ChangeWorkOrders {
        changes: action
            .to_changes(&state.work().orders)
            .expect("a valid action"),
        coordinator: None,
        roster_version: 0,
    }
}

/// A process that begins to serve was not asked to confirm earlier steps, so a step that was planned before then has to
/// be refused.
#[test]
fn refuses_to_mark_a_machine_drained_with_an_outdated_roster() {
    let (mut state, session, fence) = state_with_coordinator();
    let plan = operator_command(&state, &WorkAction::Plan(order(&["m-0"])));
    assert_eq!(state.apply(plan), Effect::Done);
    let take_out = step(&state, "m-0", Step::TakeOut, (session, fence), 0);
    assert_eq!(state.apply(take_out), Effect::Done);
    let roster_version = state.work().roster_version;
    let mark_drained = step(
        &state,
        "m-0",
        Step::MarkDrained,
        (session, fence),
        roster_version,
    );
    let other = join(&mut state, "node-b", 2);
    state.apply(Command::StartServing { session: other });
    assert!(matches!(state.apply(mark_drained), Effect::WorkRefused(_)));
    // A new process of that name may not have read the confirmations of the previous one.
    let roster_version = state.work().roster_version;
    let mark_drained = step(
        &state,
        "m-0",
        Step::MarkDrained,
        (session, fence),
        roster_version,
    );
    state.apply(Command::CloseSessions {
        sessions: vec![other],
        avoided_sessions: vec![],
    });
    join(&mut state, "node-b", 3);
    assert!(matches!(state.apply(mark_drained), Effect::WorkRefused(_)));
    let roster_version = state.work().roster_version;
    let mark_drained = step(
        &state,
        "m-0",
        Step::MarkDrained,
        (session, fence),
        roster_version,
    );
    assert_eq!(state.apply(mark_drained), Effect::Done);
}

/// A coordinator that stalls before it sends a step must not change anything after it was replaced. Only the
/// coordinator takes planned steps, and only operators add orders.
#[test]
fn only_the_coordinator_steps_and_only_operators_plan() {
    let (mut state, session, fence) = state_with_coordinator();
    let plan = operator_command(&state, &WorkAction::Plan(order(&["m-0", "m-1"])));
    state.apply(plan.clone());
    let delayed_step = step(&state, "m-0", Step::TakeOut, (session, fence), 0);
    let other = join(&mut state, "node-b", 2);
    state.apply(Command::CloseSessions {
        sessions: vec![session],
        avoided_sessions: vec![],
    });
    let before = state.work().clone();
    assert!(matches!(state.apply(delayed_step), Effect::WorkRefused(_)));
    let next = state.duties()["work"]
        .holder
        .expect("the duty is held again");
    assert_eq!(next.0, other);
    // An operator's step with a fencing number, and an order by the coordinator, are refused.
    let complete_work = step(&state, "m-0", Step::CompleteWork, next, 0);
    assert!(matches!(state.apply(complete_work), Effect::WorkRefused(_)));
    let Command::ChangeWorkOrders { changes, .. } = plan else {
        panic!("a plan is a change of work orders")
    };
    let plan = Command::ChangeWorkOrders {
        changes,
        coordinator: Some(next),
        roster_version: 0,
    };
    assert!(matches!(state.apply(plan), Effect::WorkRefused(_)));
    assert_eq!(*state.work(), before);
    let take_out = step(&state, "m-0", Step::TakeOut, next, 0);
    assert_eq!(state.apply(take_out), Effect::Done);
}

/// A fleet without work orders has to write what members with the oldest format version can read.
#[test]
fn snapshots_and_commands_have_the_oldest_version_that_can_represent_them() {
    let mut state = State::default();
    join(&mut state, "node-a", 1);
    assert_eq!(state.encode()[0], 1);
    assert_eq!(State::decode(&state.encode()).as_ref(), Ok(&state));
    let (mut state, ..) = state_with_coordinator();
    let plan = operator_command(&state, &WorkAction::Plan(order(&["m-0", "m-1"])));
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
    let decoded = State::decode(&bytes).expect("an encoded state");
    assert_eq!(decoded, state);
    assert_eq!(decoded.work().orders.orders().len(), 1);
    for end in 1..bytes.len() {
        assert!(State::decode(&bytes[..end]).is_err(), "cut at {end}");
    }
    let other = [&[9], &bytes[1..]].concat();
    assert!(State::decode(&other).unwrap_err().contains("version 9"));
}

/// Operators repeat an action when its answer is lost; it has to be carried out once.
#[test]
fn repeated_operator_actions_are_carried_out_once() {
    let (mut state, session, fence) = state_with_coordinator();
    let plan = WorkAction::Plan(order(&["m-0"]));
    let command = operator_command(&state, &plan);
    state.apply(command);
    assert_eq!(plan.to_changes(&state.work().orders), Ok(vec![]));
    for (machine_step, roster_version) in [
        (Step::TakeOut, 0),
        (Step::MarkDrained, state.work().roster_version),
    ] {
        let command = step(
            &state,
            "m-0",
            machine_step,
            (session, fence),
            roster_version,
        );
        assert_eq!(state.apply(command), Effect::Done);
    }
    let done = WorkAction::MarkDone("m-0".into());
    let command = operator_command(&state, &done);
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

/// The confirmation of a proxy that has stopped serving is not required. A proxy that is cut off may still serve
/// clients, so its confirmation is required until operators declare it lost.
#[test]
fn waits_for_a_proxy_that_is_cut_off_until_operators_declare_it_lost() {
    let mut world = World::new(7, 3, 0).with_machines(3, BOUNDS);
    world.run_for(4000);
    let cut_off = node_name(2);
    let rest: Vec<Name> = vec![node_name(0), node_name(1)];
    world.cut_links(std::slice::from_ref(&cut_off), &rest, true);
    world.run_for(6000);
    world.plan_work(&node_name(0), "kernel", BOUNDS);
    world.run_for(6000);
    let phases = |world: &World| {
        let work = world.work_state().expect("a leader has a state");
        let machines = work
            .orders
            .orders()
            .values()
            .flat_map(|(_, machines)| machines.values());
        machines
            .map(|progress| progress.phase.clone())
            .collect::<Vec<_>>()
    };
    let draining_count = phases(&world)
        .iter()
        .filter(|phase| **phase == Phase::Draining)
        .count();
    assert_eq!(draining_count, 1, "{:?}", phases(&world));
    let view_call = world.submit_call(&node_name(0), OperatorCall::WorkView);
    world.run_for(500);
    let Some(OperatorAnswer::WorkView(view)) = world.answers.get(&view_call) else {
        panic!("{:?}", world.answers.get(&view_call))
    };
    let draining = view.orders[0]
        .machines
        .iter()
        .find(|machine| machine.phase == "leaving");
    assert_eq!(
        draining.expect("a draining machine").why,
        "not confirmed yet by node-2"
    );
    // The process ends with its machine.
    world.kill_process(&cut_off);
    world.submit_action(
        &node_name(0),
        violetwind_fleet::FleetAction::DeclareMemberLost { node: cut_off },
    );
    assert!(run_until_order_ends(&mut world), "{:?}", world.work_state());
    assert_eq!(world.violation, None);
}

/// Without a leader a member shows the machines that are out according to its own list.
#[test]
fn shows_machines_that_are_out_without_a_majority() {
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
    let view_call = world.submit_call(&node_name(0), OperatorCall::WorkView);
    world.run_for(2000);
    let Some(OperatorAnswer::WorkView(view)) = world.answers.get(&view_call) else {
        panic!("{:?}", world.answers.get(&view_call))
    };
    assert!(!view.settled && !view.out.is_empty(), "{view:?}");
}

/// Guards against a stalled former leader that answers from its outdated state. While it was stopped, a new leader was
/// elected and the work order was cancelled; after it resumed, it answered a repeated plan of that order with "done"
/// though the order did not exist, and its view still showed the order. The cause was that actions that change nothing,
/// and the view, were answered without the confirmation by a majority that views of the fleet wait for.
#[test]
fn a_stalled_former_leader_does_not_answer_about_work_from_outdated_state() {
    for seed in 0..5 {
        let mut world =
            World::with_injected_bug(seed, 3, 1, InjectedBug::Nothing).with_machines(6, BOUNDS);
        world.run_for(4000);
        let plan = WorkAction::Plan(WorkOrder {
            // Far in the future: the order is planned, and not begun.
            not_before: u64::MAX / 2,
            ..order(&["m-0", "m-1"])
        });
        let old_leader = world.leader().expect("a leader");
        let other = (0..3)
            .map(node_name)
            .find(|name| *name != old_leader)
            .unwrap();
        world.submit_call(&other, OperatorCall::WorkAction(plan.clone()));
        world.run_for(1000);
        let order_count = |world: &World| world.work_state().unwrap().orders.orders().len();
        assert_eq!(order_count(&world), 1, "seed {seed}");
        world.hosts.get_mut(&old_leader).unwrap().stopped_until = world.now + 6000;
        world.run_for(3000);
        world.submit_call(&other, OperatorCall::WorkAction(WorkAction::Cancel(None)));
        world.run_for(500);
        let plan_call = world.submit_call(&old_leader, OperatorCall::WorkAction(plan));
        let view_call = world.submit_call(&old_leader, OperatorCall::WorkView);
        world.hosts.get_mut(&old_leader).unwrap().stopped_until = 0;
        // The repeated plan is retried at the new leader, so there may be an order again, but only after the view.
        let mut true_counts = vec![order_count(&world)];
        assert_eq!(true_counts, [0], "seed {seed}: the order is not cancelled");
        for _ in 0..1000 / STEP_INTERVAL {
            world.step();
            if !world.answers.contains_key(&view_call) {
                true_counts.push(order_count(&world));
            }
        }
        assert!(
            world.answers.get(&plan_call) != Some(&OperatorAnswer::Done)
                || order_count(&world) == 1,
            "seed {seed}: the answer is done, but there is no order"
        );
        if let Some(OperatorAnswer::WorkView(view)) = world.answers.get(&view_call) {
            let shown_count = view.orders.len();
            assert!(
                true_counts.contains(&shown_count) || !view.settled,
                "seed {seed}: {view:?}, while there were {true_counts:?}"
            );
        }
    }
}

//! Orders for work in the fleet's log, under seeds of faults: whole members, proxies that go by the list that is on
//! their disks, staff, machines that die. The books are kept from what the proxies do.

use violetwind_fleet::work::Staff;
use violetwind_fleet::{Answer, Call, Command, Effect, Name, State};
use violetwind_storm::fleet::{Planted, World, name};
use violetwind_workorders::{Bounds, Change, Machine, Order, Phase, Server, Spans, Spare, Step};

const BOUNDS: Bounds = Bounds {
    most: 2,
    zone_most: 1,
    floor: 500,
    spare: Spare::Nothing,
};

fn play(seed: u64, voters: usize, others: usize, planted: Planted) -> World {
    let mut world = World::planted(seed, voters, others, planted).with_machines(6, BOUNDS);
    world.run(4000);
    world.plan_work(&name(0), "kernel", BOUNDS);
    for _ in 0..2 {
        if world.wrong.is_none() {
            world.trouble(15_000);
        }
    }
    world
}

/// Time enough for an order to come to its end once nothing fails any more.
fn finish(world: &mut World) -> bool {
    for _ in 0..60 {
        let ended = world
            .work_state()
            .is_some_and(|work| work.orders.orders().is_empty() && work.orders.ended().len() == 1);
        if ended || world.wrong.is_some() {
            return ended;
        }
        world.run(2000);
    }
    false
}

fn campaign(seeds: std::ops::Range<u64>) -> (usize, usize) {
    let (mut steps, mut done) = (0, 0);
    for seed in seeds {
        let (voters, others) = [(3, 0), (3, 2), (5, 0)][seed as usize % 3];
        let mut world = play(seed, voters, others, Planted::Nothing);
        let ended = finish(&mut world);
        assert_eq!(world.wrong, None, "seed {seed}");
        let state = world.work_state().cloned();
        assert!(ended, "seed {seed}: it comes to no end: {state:?}");
        let shift = world.shift.as_ref().expect("machines");
        steps += shift.steps;
        done += state.expect("just seen").orders.ended()[0].2;
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
        (Planted::HastyProxy, "Empty Means Empty"),
        (Planted::ForgetfulProxy, "Empty Means Empty"),
    ] {
        let mut found = (0..40).filter_map(|seed| {
            let mut world = play(seed, 3, 2, planted);
            finish(&mut world);
            world.wrong
        });
        assert!(
            found.any(|wrong| wrong.contains(what)),
            "{planted:?} is not found"
        );
    }
}

fn machines(count: usize) -> Change {
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
    Change::Machines((0..count).map(machine).collect())
}

fn order(machines: &[&str]) -> Order {
    Order {
        name: "kernel".into(),
        machines: machines.iter().map(|name| (*name).into()).collect(),
        bounds: BOUNDS,
        spans: Spans {
            leave: 1000,
            work: 1000,
            back: 1000,
        },
        not_before: 0,
        wait: true,
        paused: false,
        cancelled: false,
    }
}

/// A state in which one session conducts, and three machines are known.
fn conducted() -> (State, u64, u64) {
    let mut state = State::default();
    let joined = join(&mut state, "node-a", 1);
    let fence = state.duties()["work"].holder.expect("it wants it").1;
    state.apply(Command::Serve { session: joined });
    let change = Command::Work {
        changes: vec![machines(3)],
        by: Some((joined, fence)),
        roster: 0,
    };
    assert_eq!(state.apply(change), Effect::Done);
    (state, joined, fence)
}

fn join(state: &mut State, name: &str, nonce: u64) -> u64 {
    let seen = state.unseen(name);
    match state.apply(Command::Join {
        name: name.into(),
        nonce,
        wants: vec!["work".into()],
        replaces: None,
        process: nonce,
        seen,
        weight: 1,
        budgets: Vec::new(),
        uses: Vec::new(),
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
    Command::Work {
        changes: vec![Change::Step {
            order: number,
            machine: machine.into(),
            version: place.version,
            step,
            fence: Some(by.1),
        }],
        by: Some(by),
        roster,
    }
}

fn staff(state: &State, staff: &Staff) -> Command {
    Command::Work {
        changes: staff.changes(&state.work().orders).expect("sound"),
        by: None,
        roster: 0,
    }
}

/// Who was not asked can't have confirmed: a process that begins to serve makes a step in hand late.
#[test]
fn a_machine_is_not_told_as_empty_on_the_word_of_an_older_roster() {
    let (mut state, session, fence) = conducted();
    let plan = staff(&state, &Staff::Plan(order(&["m-0"])));
    assert_eq!(state.apply(plan), Effect::Done);
    let out = step(&state, "m-0", Step::Out, (session, fence), 0);
    assert_eq!(state.apply(out), Effect::Done);
    let roster = state.work().roster;
    let empty = step(&state, "m-0", Step::Empty, (session, fence), roster);
    let other = join(&mut state, "node-b", 2);
    state.apply(Command::Serve { session: other });
    assert!(matches!(state.apply(empty), Effect::Against(_)));
    // Its process is another one: it may not have read what the last one has confirmed.
    let roster = state.work().roster;
    let empty = step(&state, "m-0", Step::Empty, (session, fence), roster);
    state.apply(Command::Close {
        sessions: vec![other],
        avoid: vec![],
    });
    join(&mut state, "node-b", 3);
    assert!(matches!(state.apply(empty), Effect::Against(_)));
    let roster = state.work().roster;
    let empty = step(&state, "m-0", Step::Empty, (session, fence), roster);
    assert_eq!(state.apply(empty), Effect::Done);
}

/// A conductor that was stopped with a step in hand changes nothing when it goes on, and nobody else conducts.
#[test]
fn only_the_holder_of_the_duty_steps_and_staff_alone_plan() {
    let (mut state, session, fence) = conducted();
    let plan = staff(&state, &Staff::Plan(order(&["m-0", "m-1"])));
    state.apply(plan.clone());
    let in_hand = step(&state, "m-0", Step::Out, (session, fence), 0);
    let other = join(&mut state, "node-b", 2);
    state.apply(Command::Close {
        sessions: vec![session],
        avoid: vec![],
    });
    let before = state.work().clone();
    assert!(matches!(state.apply(in_hand), Effect::Against(_)));
    let next = state.duties()["work"].holder.expect("held on");
    assert_eq!(next.0, other);
    // Staff's own words with a fencing number, and a plan by the conductor.
    let done = step(&state, "m-0", Step::Worked, next, 0);
    assert!(matches!(state.apply(done), Effect::Against(_)));
    let Command::Work { changes, .. } = plan else {
        panic!("just made")
    };
    let plan = Command::Work {
        changes,
        by: Some(next),
        roster: 0,
    };
    assert!(matches!(state.apply(plan), Effect::Against(_)));
    assert_eq!(*state.work(), before);
    let out = step(&state, "m-0", Step::Out, next, 0);
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
    let plan = staff(&state, &Staff::Plan(order(&["m-0", "m-1"])));
    assert_eq!(
        (plan.encode()[0], Command::decode(&plan.encode())),
        (2, Ok(plan.clone()))
    );
    assert_eq!(Command::Gone { name: "a".into() }.encode()[0], 1);
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
    let plan = Staff::Plan(order(&["m-0"]));
    let command = staff(&state, &plan);
    state.apply(command);
    assert_eq!(plan.changes(&state.work().orders), Ok(vec![]));
    for (machine_step, roster) in [(Step::Out, 0), (Step::Empty, state.work().roster)] {
        let command = step(&state, "m-0", machine_step, (session, fence), roster);
        assert_eq!(state.apply(command), Effect::Done);
    }
    let done = Staff::Done("m-0".into());
    let command = staff(&state, &done);
    assert_eq!(state.apply(command), Effect::Done);
    assert_eq!(done.changes(&state.work().orders), Ok(vec![]));
    assert_eq!(
        Staff::Done("m-7".into()).changes(&state.work().orders),
        Err("m-7 is in no order".into())
    );
    assert_eq!(
        Staff::Pause(Some(99), true).changes(&state.work().orders),
        Err("there is no order 99".into())
    );
}

/// A proxy that serves nobody any more is not waited for; one that is cut off is, until staff say that it is gone.
#[test]
fn who_is_cut_off_is_waited_for_until_staff_say_that_it_is_gone() {
    let mut world = World::new(7, 3, 0).with_machines(3, BOUNDS);
    world.run(4000);
    let cut = name(2);
    let rest: Vec<Name> = vec![name(0), name(1)];
    world.part(std::slice::from_ref(&cut), &rest, true);
    world.run(6000);
    world.plan_work(&name(0), "kernel", BOUNDS);
    world.run(6000);
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
        .filter(|p| **p == Phase::Leaving)
        .count();
    assert_eq!(leaving, 1, "{:?}", phase(&world));
    let seen = world.call(&name(0), Call::WorkView);
    world.run(500);
    let Some(Answer::WorkView(view)) = world.answers.get(&seen) else {
        panic!("{:?}", world.answers.get(&seen))
    };
    let why = view.orders[0]
        .machines
        .iter()
        .find(|m| m.phase == "leaving");
    assert_eq!(why.expect("leaving").why, "not confirmed yet by node-2");
    // Its process has ended with its machine.
    world.kill(&cut);
    world.order(&name(0), violetwind_fleet::Order::Gone { node: cut });
    assert!(finish(&mut world), "{:?}", world.work_state());
    assert_eq!(world.wrong, None);
}

/// Without a leader a member tells what is out as it goes by it.
#[test]
fn what_is_out_is_told_also_without_a_majority() {
    let mut world = World::new(3, 3, 0).with_machines(3, BOUNDS);
    world.run(4000);
    world.plan_work(&name(0), "kernel", BOUNDS);
    world.run(800);
    let out = world.work_state().expect("a state").orders.out().len();
    assert!(out > 0);
    world.kill(&name(1));
    world.kill(&name(2));
    world.run(6000);
    let seen = world.call(&name(0), Call::WorkView);
    world.run(2000);
    let Some(Answer::WorkView(view)) = world.answers.get(&seen) else {
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
        let mut world = World::planted(seed, 3, 1, Planted::Nothing).with_machines(6, BOUNDS);
        world.run(4000);
        let plan = Staff::Plan(Order {
            // Far away: it is planned, and not begun.
            not_before: u64::MAX / 2,
            ..order(&["m-0", "m-1"])
        });
        let old = world.leader().expect("a leader");
        let at = (0..3).map(name).find(|name| *name != old).unwrap();
        world.call(&at, Call::Staff(plan.clone()));
        world.run(1000);
        let orders = |world: &World| world.work_state().unwrap().orders.orders().len();
        assert_eq!(orders(&world), 1, "seed {seed}");
        world.hosts.get_mut(&old).unwrap().stopped = world.now + 6000;
        world.run(3000);
        world.call(&at, Call::Staff(Staff::Cancel(None)));
        world.run(500);
        let again = world.call(&old, Call::Staff(plan));
        let seen = world.call(&old, Call::WorkView);
        world.hosts.get_mut(&old).unwrap().stopped = 0;
        world.run(1000);
        assert!(
            world.answers.get(&again) != Some(&Answer::Done) || orders(&world) == 1,
            "seed {seed}: done, and there is no order"
        );
        if let Some(Answer::WorkView(view)) = world.answers.get(&seen) {
            let shown = view.orders.len();
            assert!(
                shown == orders(&world) || !view.settled,
                "seed {seed}: {view:?}"
            );
        }
    }
}

//! *A Lowered Whole Comes Into Force*: from whatever state the fleet is in, once its files stay as they are and its links are up, what
//! is given out of a budget falls to the whole of the newest file within [`FALLS_WITHIN`].
//!
//! `VIOLETWIND_SEEDS=1500 cargo test --release -p violetwind-fleet --test lowered_wholes` plays more seeds than CI does.

use violetwind_fleet::budget::{BudgetDefinition, BudgetKind};
use violetwind_storm::fleet::{InjectedBug, World, node_name};

const MEMBERS: usize = 5;
const WHOLE: u64 = 60;
const LOWERED: u64 = 6;
/// What the test on processes waits for, in milliseconds; sessions of 2 s that end and begin anew are in it twice.
const FALLS_WITHIN: u64 = 15_000;
const SEEDS_IN_CI: u64 = 40;

fn held(whole: u64, version: u64) -> BudgetDefinition {
    BudgetDefinition {
        name: "tenant".into(),
        kind: BudgetKind::Concurrent,
        total: whole,
        floor: 1,
        window: 0,
        max_members: MEMBERS as u64,
        version,
    }
}

/// Numbers that look drawn, the same on every run.
struct Draw(u64);

impl Draw {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.0 >> 33) % limit
    }

    fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

/// The whole in force, and what is given out of it: floors, shares and what is stranded.
fn given_out(world: &World) -> Option<(u64, u64)> {
    let leader = world.leader()?;
    let state = world.hosts[&leader].member.as_ref()?.state()?;
    let budget = state.budgets().get("tenant")?;
    let whole = budget.definition().total;
    let floors = whole.saturating_sub(budget.pool());
    Some((whole, floors + budget.allocated()))
}

fn press_all(world: &mut World) {
    world.demand = (0..MEMBERS).map(|at| (node_name(at), 0.2)).collect();
}

/// A member comes back with a file that lowers the whole, before, in the middle of, or after other troubles; then links are
/// up and files stay. How long it takes until no more is given out than the whole.
fn lower(seed: u64) -> Result<u64, String> {
    let mut draw = Draw(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut world = World::with_budgets(seed, 3, 2, InjectedBug::Nothing, vec![held(WHOLE, 1)]);
    if seed % 2 == 1 {
        world = world.with_external_budgets(&["tenant"]);
    }
    press_all(&mut world);
    world.run_for(4000);
    if !draw.one_in(3) {
        world.run_random_faults(draw.below(4000));
        press_all(&mut world);
    }
    world.run_for(draw.below(700));
    let lowers = node_name(draw.below(MEMBERS as u64) as usize);
    world
        .budget_overrides
        .insert(lowers.clone(), vec![held(LOWERED, 2)]);
    world.kill_process(&lowers);
    let away = [0, draw.below(200), draw.below(3000)][draw.below(3) as usize];
    world.run_for(away);
    world.start_process(&lowers);
    if draw.one_in(2) {
        world.run_random_faults(draw.below(3000));
        press_all(&mut world);
    } else if draw.one_in(2) {
        world.run_for(draw.below(300));
        if let Some(leader) = world.leader() {
            world.kill_process(&leader);
            world.run_for(draw.below(100));
            world.start_process(&leader);
        }
    }
    let from = world.now;
    loop {
        if let Some(wrong) = &world.violation {
            return Err(wrong.clone());
        }
        let given = given_out(&world);
        if given.is_some_and(|(whole, given)| whole == LOWERED && given <= LOWERED) {
            return Ok(world.now - from);
        }
        if world.now > from + FALLS_WITHIN {
            return Err(format!("after {FALLS_WITHIN} ms: {given:?}"));
        }
        world.step();
    }
}

#[test]
fn what_is_given_out_falls_to_a_lowered_whole_from_any_state() {
    let seeds = std::env::var("VIOLETWIND_SEEDS");
    let seeds = seeds.map_or(SEEDS_IN_CI, |seeds| seeds.parse().expect("a number"));
    let threads: Vec<_> = (0..4)
        .map(|first| {
            let own = (0..seeds).skip(first).step_by(4);
            std::thread::spawn(move || own.map(|seed| (seed, lower(seed))).collect::<Vec<_>>())
        })
        .collect();
    let mut longest = (0, 0);
    for (seed, took) in threads
        .into_iter()
        .flat_map(|played| played.join().unwrap())
    {
        let took = took.unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        longest = longest.max((took, seed));
    }
    println!(
        "{seeds} seeds, the longest {} ms (seed {})",
        longest.0, longest.1
    );
}

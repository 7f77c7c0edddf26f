//! *A Lowered Whole Comes Into Force*: from any state of the fleet, once its configuration files do not change any more
//! and its links are up, the units allocated from a budget fall to the total of the newest file within
//! [`FALL_TIMEOUT`].
//!
//! `VIOLETWIND_SEEDS=1500 cargo test --release -p violetwind-fleet --test lowered_wholes` simulates more seeds than CI
//! does.

use violetwind_fleet::budget::{BudgetDefinition, BudgetKind};
use violetwind_storm::fleet::{InjectedBug, World, node_name};

const MEMBERS: usize = 5;
/// The total of the budget at first.
const INITIAL_TOTAL: u64 = 60;
/// The total of the budget in the newer file.
const LOWERED_TOTAL: u64 = 6;
/// In milliseconds, as in the test on real processes. It allows for two successive ends and beginnings of sessions with
/// leases of 2 s.
const FALL_TIMEOUT: u64 = 15_000;
const SEEDS_IN_CI: u64 = 40;

fn concurrent_budget(total: u64, version: u64) -> BudgetDefinition {
    BudgetDefinition {
        name: "tenant".into(),
        kind: BudgetKind::Concurrent,
        total,
        floor: 1,
        window: 0,
        max_members: MEMBERS as u64,
        version,
    }
}

/// A deterministic pseudo-random number generator.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.0 >> 33) % limit
    }

    fn is_one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

/// The total in force, and the allocated units: floors, shares and stranded units.
fn allocation(world: &World) -> Option<(u64, u64)> {
    let leader = world.leader()?;
    let state = world.hosts[&leader].member.as_ref()?.state()?;
    let budget = state.budgets().get("tenant")?;
    let total = budget.definition().total;
    let floors = total.saturating_sub(budget.pool());
    Some((total, floors + budget.allocated()))
}

/// Sets an even demand at all members.
fn set_demand(world: &mut World) {
    world.demand = (0..MEMBERS).map(|index| (node_name(index), 0.2)).collect();
}

/// Restarts a member with a file that lowers the total, before, during or after other faults; then links are up and
/// files do not change. Returns the milliseconds until no more is allocated than the total.
fn time_until_lowered(seed: u64) -> Result<u64, String> {
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut world = World::with_budgets(
        seed,
        3,
        2,
        InjectedBug::Nothing,
        vec![concurrent_budget(INITIAL_TOTAL, 1)],
    );
    if seed % 2 == 1 {
        world = world.with_external_budgets(&["tenant"]);
    }
    set_demand(&mut world);
    world.run_for(4000);
    if !random.is_one_in(3) {
        world.run_random_faults(random.below(4000));
        set_demand(&mut world);
    }
    world.run_for(random.below(700));
    let lowering_node = node_name(random.below(MEMBERS as u64) as usize);
    world.budget_overrides.insert(
        lowering_node.clone(),
        vec![concurrent_budget(LOWERED_TOTAL, 2)],
    );
    world.kill_process(&lowering_node);
    let downtime = [0, random.below(200), random.below(3000)][random.below(3) as usize];
    world.run_for(downtime);
    world.start_process(&lowering_node);
    if random.is_one_in(2) {
        world.run_random_faults(random.below(3000));
        set_demand(&mut world);
    } else if random.is_one_in(2) {
        world.run_for(random.below(300));
        if let Some(leader) = world.leader() {
            world.kill_process(&leader);
            world.run_for(random.below(100));
            world.start_process(&leader);
        }
    }
    let begun_at = world.now;
    loop {
        if let Some(violation) = &world.violation {
            return Err(violation.clone());
        }
        let allocation = allocation(&world);
        if allocation
            .is_some_and(|(total, allocated)| total == LOWERED_TOTAL && allocated <= LOWERED_TOTAL)
        {
            return Ok(world.now - begun_at);
        }
        if world.now > begun_at + FALL_TIMEOUT {
            return Err(format!(
                "total and allocated units after {FALL_TIMEOUT} ms: {allocation:?}"
            ));
        }
        world.step();
    }
}

#[test]
fn allocated_units_fall_to_a_lowered_total_from_any_state() {
    let seeds = std::env::var("VIOLETWIND_SEEDS");
    let seeds = seeds.map_or(SEEDS_IN_CI, |seeds| seeds.parse().expect("a number"));
    let threads: Vec<_> = (0..4)
        .map(|first| {
            let thread_seeds = (0..seeds).skip(first).step_by(4);
            std::thread::spawn(move || {
                thread_seeds
                    .map(|seed| (seed, time_until_lowered(seed)))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    let mut longest = (0, 0);
    for (seed, took) in threads
        .into_iter()
        .flat_map(|thread| thread.join().unwrap())
    {
        let took = took.unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        longest = longest.max((took, seed));
    }
    println!(
        "{seeds} seeds, the longest {} ms (seed {})",
        longest.0, longest.1
    );
}

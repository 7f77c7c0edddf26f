//! Utilization of a budget under even, skewed and moving load: divided dynamically by the fleet, divided evenly and
//! statically, and managed by one member that receives all load. Also the cost of the division in frames and in CPU
//! time of the real code. Everything except the CPU time is simulated.
//! Run with `cargo run --release -p violetwind-storm --example budgets`.

#![allow(clippy::print_stdout, reason = "a tool of developers, which may panic")]

use std::time::Instant;

use violetwind_fleet::budget::{BudgetDefinition, BudgetKind};
use violetwind_storm::fleet::{InjectedBug, World, node_name};

/// Total units of the budget.
const TOTAL: u64 = 100;

fn new_world(voters: usize, members: usize, total: u64, floor: u64) -> World {
    let definition = BudgetDefinition {
        name: "tenant".into(),
        kind: BudgetKind::Concurrent,
        total,
        floor,
        window: 0,
        max_members: members as u64,
        version: 1,
    };
    let mut world = World::with_budgets(
        7,
        voters,
        members - voters,
        InjectedBug::Nothing,
        vec![definition],
    );
    world.run_for(5000);
    world
}

/// Sets the load for one second: `even` over all members, `skewed` with nine tenths at one member, or `moving` to the
/// next member each second.
fn set_load(world: &mut World, pattern: &str, members: usize, second: usize, total_load: f64) {
    let share = |at: usize| match pattern {
        "even" => 1.0 / members as f64,
        "skewed" if at == 0 => 0.9,
        "skewed" => 0.1 / (members - 1) as f64,
        _ if at == second % members => 0.96,
        _ => 0.04 / (members - 1) as f64,
    };
    world.demand = (0..members)
        .map(|at| (node_name(at), total_load * share(at)))
        .collect();
}

/// Runs 20 s of load and returns the mean fraction of the budget in use, without the first 4 s.
fn mean_utilization(world: &mut World, pattern: &str, members: usize) -> f64 {
    let (mut sum, mut steps) = (0, 0u32);
    for second in 0..20 {
        set_load(world, pattern, members, second, 4.0);
        let until = world.now + 1000;
        while world.now < until {
            world.step();
            // During the first seconds the division still adapts to the load.
            if second >= 4 {
                (sum, steps) = (sum + world.units_in_use("tenant"), steps + 1);
            }
        }
    }
    assert_eq!(world.violation, None);
    sum as f64 / f64::from(steps) / TOTAL as f64
}

fn main() {
    println!("part of {TOTAL} in use, 5 members:   static   divided   single member");
    for pattern in ["even", "skewed", "moving"] {
        let static_division = mean_utilization(&mut new_world(3, 5, TOTAL, TOTAL / 5), pattern, 5);
        let divided = mean_utilization(&mut new_world(3, 5, TOTAL, 1), pattern, 5);
        // One member has the total and receives all load.
        let bound = mean_utilization(&mut new_world(1, 1, TOTAL, TOTAL), "even", 1);
        println!(
            "  {pattern:8} {static_division:24.3} {divided:9.3} {bound:9.3}   of the bound {:.2}",
            divided / bound
        );
        let floorless = mean_utilization(&mut new_world(3, 5, TOTAL, 0), pattern, 5);
        println!(
            "  {pattern:8} without floors {floorless:19.3}   of the bound {:.2}",
            floorless / bound
        );
    }
    for delay in [0, 2, 10, 20] {
        let mut world = new_world(3, 5, TOTAL, 1);
        world.delay_range = (0, delay);
        let divided = mean_utilization(&mut world, "moving", 5);
        println!("  moving, links of 0 to {delay} ms: {divided:.3}");
    }
    println!(
        "members: frames per second and member (idle, moving), CPU of a member's code, time to use half of the pool"
    );
    for members in [5, 50, 300] {
        let mut world = new_world(3, members, 10 * members as u64, 1);
        let before = world.frames_sent;
        world.run_for(5000);
        let idle = (world.frames_sent - before) as f64 / 5.0 / members as f64;
        let (before, started) = (world.frames_sent, Instant::now());
        for second in 0..5 {
            set_load(&mut world, "moving", members, second, members as f64 / 10.0);
            world.run_for(1000);
        }
        let moving = (world.frames_sent - before) as f64 / 5.0 / members as f64;
        let cpu = started.elapsed().as_secs_f64() / 5.0 / members as f64;
        world.demand.clear();
        world.run_for(4000);
        world.demand = [(node_name(members - 1), 20.0)].into();
        let load_started = world.now;
        while world.units_in_use("tenant") < 9 * members as u64 / 2
            && world.now < load_started + 20_000
        {
            world.step();
        }
        let adaptation_time = world.now - load_started;
        println!(
            "  {members:4} {idle:10.1} {moving:6.1} {:8.2}% of a core (simulator included) {adaptation_time:6} ms",
            100.0 * cpu
        );
        assert_eq!(world.violation, None);
    }
}

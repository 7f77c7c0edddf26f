//! How much of a whole is in use under pressure that is even, skewed and moving: divided by the fleet, divided evenly
//! once and for all, and by one that sees all. And what that costs: frames, and processor time of the real code.
//! `cargo run --release -p violetwind-storm --example budgets`. All of it is simulated but the processor time.

use std::time::Instant;

use violetwind_fleet::budget::{BudgetDefinition, BudgetKind};
use violetwind_storm::fleet::{InjectedBug, World, node_name};

const WHOLE: u64 = 100;

fn world(voters: usize, members: usize, whole: u64, floor: u64) -> World {
    let def = BudgetDefinition {
        name: "tenant".into(),
        kind: BudgetKind::Concurrent,
        total: whole,
        floor,
        window: 0,
        max_members: members as u64,
        version: 1,
    };
    let mut world =
        World::with_budgets(7, voters, members - voters, InjectedBug::Nothing, vec![def]);
    world.run_for(5000);
    world
}

/// Sets the pressure of a moment: even, nine to one, or on one after the other, a second each.
fn press(world: &mut World, pattern: &str, members: usize, second: usize, all: f64) {
    let part = |at: usize| match pattern {
        "even" => 1.0 / members as f64,
        "skewed" if at == 0 => 0.9,
        "skewed" => 0.1 / (members - 1) as f64,
        _ if at == second % members => 0.96,
        _ => 0.04 / (members - 1) as f64,
    };
    world.demand = (0..members)
        .map(|at| (node_name(at), all * part(at)))
        .collect();
}

fn mean(world: &mut World, pattern: &str, members: usize) -> f64 {
    let (mut sum, mut steps) = (0, 0u32);
    for second in 0..20 {
        press(world, pattern, members, second, 4.0);
        let until = world.now + 1000;
        while world.now < until {
            world.step();
            // The first seconds find the pressure.
            if second >= 4 {
                (sum, steps) = (sum + world.units_in_use("tenant"), steps + 1);
            }
        }
    }
    assert_eq!(world.violation, None);
    sum as f64 / f64::from(steps) / WHOLE as f64
}

fn main() {
    println!("part of {WHOLE} in use, 5 members:   static   divided   one that sees all");
    for pattern in ["even", "skewed", "moving"] {
        let even = mean(&mut world(3, 5, WHOLE, WHOLE / 5), pattern, 5);
        let divided = mean(&mut world(3, 5, WHOLE, 1), pattern, 5);
        // All pressure meets one member that has the whole.
        let bound = mean(&mut world(1, 1, WHOLE, WHOLE), "even", 1);
        println!(
            "  {pattern:8} {even:24.3} {divided:9.3} {bound:9.3}   of the bound {:.2}",
            divided / bound
        );
        let floorless = mean(&mut world(3, 5, WHOLE, 0), pattern, 5);
        println!(
            "  {pattern:8} without floors {floorless:19.3}   of the bound {:.2}",
            floorless / bound
        );
    }
    for delay in [0, 2, 10, 20] {
        let mut world = world(3, 5, WHOLE, 1);
        world.delay_range = (0, delay);
        let divided = mean(&mut world, "moving", 5);
        println!("  moving, links of 0 to {delay} ms: {divided:.3}");
    }
    println!(
        "members: frames a second and member (idle, moving), CPU of a member's code, from pressure to half of the pool"
    );
    for members in [5, 50, 300] {
        let mut world = world(3, members, 10 * members as u64, 1);
        let before = world.frames_sent;
        world.run_for(5000);
        let idle = (world.frames_sent - before) as f64 / 5.0 / members as f64;
        let (before, begun) = (world.frames_sent, Instant::now());
        for second in 0..5 {
            press(&mut world, "moving", members, second, members as f64 / 10.0);
            world.run_for(1000);
        }
        let moving = (world.frames_sent - before) as f64 / 5.0 / members as f64;
        let cpu = begun.elapsed().as_secs_f64() / 5.0 / members as f64;
        world.demand.clear();
        world.run_for(4000);
        world.demand = [(node_name(members - 1), 20.0)].into();
        let begun = world.now;
        while world.units_in_use("tenant") < 9 * members as u64 / 2 && world.now < begun + 20_000 {
            world.step();
        }
        let follow = world.now - begun;
        println!(
            "  {members:4} {idle:10.1} {moving:6.1} {:8.2}% of a core (simulator's own included) {follow:6} ms",
            100.0 * cpu
        );
        assert_eq!(world.violation, None);
    }
}

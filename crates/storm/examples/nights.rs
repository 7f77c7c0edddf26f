//! How long work on all machines of a fleet takes, and what it moves: planned, one machine at a time, and in fixed batches
//! of as many as may be out; and what the planner costs. `cargo run --release -p violetwind-storm --example nights`.
//! Simulated, in steps; no faults.

use std::time::Instant;

use violetwind_storm::work_orders::World;
use violetwind_workorders::{Bounds, FailureTolerance};

fn main() {
    println!(
        "machines, proxies: most out at once; steps to the end and clients moved one by one, in batches, planned"
    );
    for (machines, proxies) in [(12, 5), (40, 5), (120, 5), (40, 300)] {
        let night = |most: usize, each: usize| {
            let bounds = Bounds {
                max_out: most as u32,
                max_out_per_zone: most as u32,
                min_capacity_permille: 800,
                failure_tolerance: FailureTolerance::Machine,
            };
            let mut night = World::with_uniform_machines(7, machines, proxies, bounds, each);
            let begun = Instant::now();
            night.run_to_completion();
            assert_eq!(night.violation, None);
            assert_eq!(night.times_emptied.len(), machines);
            (
                night.tick,
                night.clients_moved,
                night.peak_machines_out,
                begun.elapsed() / night.plan_count,
            )
        };
        let (alone, planned) = (night(1, machines), night(machines, machines));
        let batches = night(planned.2, planned.2);
        println!(
            "  {machines:3}, {proxies:3}: {:2}; {:5} {:5}, {:5} {:5}, {:5} {:5}; a step with its plan, the simulator's own \
             included, {:?}",
            planned.2, alone.0, alone.1, batches.0, batches.1, planned.0, planned.1, planned.3
        );
    }
}

//! Duration of maintenance of all machines of a fleet, and the number of clients moved: planned, one machine at a time,
//! and in fixed batches of as many machines as were out at the same time; also the cost of the planner. Simulated in
//! steps, without faults. Run with `cargo run --release -p violetwind-storm --example nights`.

#![allow(clippy::print_stdout, reason = "a tool of developers, which may panic")]

use std::time::Instant;

use violetwind_storm::work_orders::World;
use violetwind_workorders::{Bounds, FailureTolerance};

fn main() {
    println!(
        "machines, proxies: most out at once; steps to the end and clients moved: one by one, in batches, planned"
    );
    for (machines, proxies) in [(12, 5), (40, 5), (120, 5), (40, 300)] {
        let run = |max_out: usize, machines_per_order: usize| {
            let bounds = Bounds {
                max_out: max_out as u32,
                max_out_per_zone: max_out as u32,
                min_capacity_permille: 800,
                failure_tolerance: FailureTolerance::Machine,
            };
            let mut world =
                World::with_uniform_machines(7, machines, proxies, bounds, machines_per_order);
            let started = Instant::now();
            world.run_to_completion();
            assert_eq!(world.violation, None);
            assert_eq!(world.times_drained.len(), machines);
            (
                world.tick,
                world.clients_moved,
                world.peak_machines_out,
                started.elapsed() / world.plan_count,
            )
        };
        let (sequential, planned) = (run(1, machines), run(machines, machines));
        let batches = run(planned.2, planned.2);
        println!(
            "  {machines:3}, {proxies:3}: {:2}; {:5} {:5}, {:5} {:5}, {:5} {:5}; time per run of the planner, \
             simulator included, {:?}",
            planned.2,
            sequential.0,
            sequential.1,
            batches.0,
            batches.1,
            planned.0,
            planned.1,
            planned.3
        );
    }
}

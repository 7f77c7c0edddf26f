//! Duration of maintenance work on all machines, with real processes on loopback: one machine at a time, in fixed
//! batches, and as planned by the fleet. `cargo bench -p violetwind --bench work -- 12 3`: the number of machines, and
//! the maximum number of machines out at the same time.

#![allow(clippy::print_stdout, reason = "a tool of developers, which may panic")]

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use violetwind_standins::work_orders::{
    ClientPool, SimulatedOperators, WorkOrderHarness, client_addrs, collect_out_intervals,
    find_work_violations, management_addrs, max_machines_out,
};

const CLIENTS: usize = 60;

fn run_work_orders(machines: usize, max_out: usize, batch: usize) -> String {
    let harness = WorkOrderHarness::start(
        env!("CARGO_BIN_EXE_violetwind").into(),
        (3, 2),
        machines,
        "",
    );
    let clients = ClientPool::start(client_addrs(&harness.fleet), CLIENTS);
    std::thread::sleep(Duration::from_secs(2));
    let operators =
        SimulatedOperators::start(management_addrs(&harness.fleet), Duration::from_millis(200));
    let started_at = Instant::now();
    let max_out_text = max_out.to_string();
    let bounds = [
        "--most",
        &max_out_text,
        "--zone-most",
        &max_out_text,
        "--floor",
        "0.5",
    ];
    for first in (0..machines).step_by(batch) {
        let last = (first + batch).min(machines) - 1;
        harness.plan_work_order(0, "night", &format!("m-{first}..m-{last}"), &bounds);
    }
    let orders = machines.div_ceil(batch);
    let deadline = Instant::now() + Duration::from_secs(600);
    while harness
        .finished_view()
        .is_none_or(|view| view["ended"].as_array().map_or(0, Vec::len) < orders)
    {
        assert!(Instant::now() < deadline, "{:?}", harness.fetch_work_view());
        std::thread::sleep(Duration::from_millis(20));
    }
    let elapsed = started_at.elapsed();
    let emptied_machines = operators.stop();
    let client_counts = clients.stop();
    let count = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
    let out_intervals = collect_out_intervals(&harness.fleet);
    let violations =
        find_work_violations(&out_intervals, &emptied_machines, &harness.servers, max_out);
    format!(
        "{:.1} s, {} machines, {} out at most, {} moves of {CLIENTS} clients, {} refused, {} lost, {} cut, {} violations",
        elapsed.as_secs_f64(),
        emptied_machines.len(),
        max_machines_out(&out_intervals).0,
        count(&client_counts.moved),
        count(&client_counts.refused),
        count(&client_counts.lost),
        count(&client_counts.dropped),
        violations.len(),
    )
}

fn main() {
    let numbers: Vec<usize> = std::env::args()
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let [machines, max_out] = numbers[..] else {
        // `cargo test` runs this program without arguments.
        return;
    };
    println!("one by one:    {}", run_work_orders(machines, 1, machines));
    println!(
        "fixed batches: {}",
        run_work_orders(machines, max_out, max_out)
    );
    println!(
        "planned:       {}",
        run_work_orders(machines, max_out, machines)
    );
}

//! Work on all machines over real processes on loopback: one by one, in fixed batches, and as the fleet plans it.
//! `cargo bench -p violetwind --bench work -- 12 3`: machines, and how many may be out.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use violetwind_standins::work_orders::{
    ClientPool, SimulatedOperators, WorkOrderHarness, client_addrs, collect_out_intervals,
    find_work_violations, management_addrs, max_machines_out,
};

const CLIENTS: usize = 60;

fn play(machines: usize, most: usize, batch: usize) -> String {
    let night = WorkOrderHarness::start(
        env!("CARGO_BIN_EXE_violetwind").into(),
        (3, 2),
        machines,
        "",
    );
    let clients = ClientPool::start(client_addrs(&night.fleet), CLIENTS);
    std::thread::sleep(Duration::from_secs(2));
    let staff =
        SimulatedOperators::start(management_addrs(&night.fleet), Duration::from_millis(200));
    let begun = Instant::now();
    let at_once = most.to_string();
    let bounds = [
        "--most",
        &at_once,
        "--zone-most",
        &at_once,
        "--floor",
        "0.5",
    ];
    for first in (0..machines).step_by(batch) {
        let last = (first + batch).min(machines) - 1;
        night.plan_work_order(0, "night", &format!("m-{first}..m-{last}"), &bounds);
    }
    let orders = machines.div_ceil(batch);
    let until = Instant::now() + Duration::from_secs(600);
    while night
        .finished_view()
        .is_none_or(|view| view["ended"].as_array().map_or(0, Vec::len) < orders)
    {
        assert!(Instant::now() < until, "{:?}", night.fetch_work_view());
        std::thread::sleep(Duration::from_millis(20));
    }
    let took = begun.elapsed();
    let emptied = staff.stop();
    let seen = clients.stop();
    let count = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
    let outs = collect_out_intervals(&night.fleet);
    let wrong = find_work_violations(&outs, &emptied, &night.servers, most);
    format!(
        "{:.1} s, {} machines, {} out at most, {} moves of {CLIENTS} clients, {} refused, {} lost, {} cut, {} broken promises",
        took.as_secs_f64(),
        emptied.len(),
        max_machines_out(&outs).0,
        count(&seen.moved),
        count(&seen.refused),
        count(&seen.lost),
        count(&seen.dropped),
        wrong.len(),
    )
}

fn main() {
    let numbers: Vec<usize> = std::env::args()
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let [machines, most] = numbers[..] else {
        // `cargo test` runs it without any.
        return;
    };
    println!("one by one:    {}", play(machines, 1, machines));
    println!("fixed batches: {}", play(machines, most, most));
    println!("planned:       {}", play(machines, most, machines));
}

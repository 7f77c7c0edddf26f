//! Work on all machines over real processes on loopback: one by one, in fixed batches, and as the fleet plans it.
//! `cargo bench -p violetwind --bench work -- 12 3`: machines, and how many may be out.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use violetwind_standins::shift::{Clients, Night, Staff, broken, desks, doors, most_out, outs};

const CLIENTS: usize = 60;

fn play(machines: usize, most: usize, batch: usize) -> String {
    let night = Night::start(
        env!("CARGO_BIN_EXE_violetwind").into(),
        (3, 2),
        machines,
        "",
    );
    let clients = Clients::start(doors(&night.members), CLIENTS);
    std::thread::sleep(Duration::from_secs(2));
    let staff = Staff::start(desks(&night.members), Duration::from_millis(200));
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
        night.plan(0, "night", &format!("m-{first}..m-{last}"), &bounds);
    }
    let orders = machines.div_ceil(batch);
    let until = Instant::now() + Duration::from_secs(600);
    while night
        .ended()
        .is_none_or(|view| view["ended"].as_array().map_or(0, Vec::len) < orders)
    {
        assert!(Instant::now() < until, "{:?}", night.view());
        std::thread::sleep(Duration::from_millis(20));
    }
    let took = begun.elapsed();
    let emptied = staff.end();
    let seen = clients.end();
    let count = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
    let outs = outs(&night.members);
    let wrong = broken(&outs, &emptied, &night.workers, most);
    format!(
        "{:.1} s, {} machines, {} out at most, {} moves of {CLIENTS} clients, {} refused, {} lost, {} cut, {} broken promises",
        took.as_secs_f64(),
        emptied.len(),
        most_out(&outs).0,
        count(&seen.moved),
        count(&seen.refused),
        count(&seen.lost),
        count(&seen.cut),
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

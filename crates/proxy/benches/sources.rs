//! Costs of sources of servers in a running proxy, on loopback: `cargo bench -p violetwind --bench sources`. Not part
//! of CI. All instances share the addresses of a few real stand-in servers.
//!
//! - `opens [ROUNDS]`: processor time for each opened connection without configured sources, 2,000 connections a round.
//!   With `VIOLETWIND_BIN` another build is measured.
//! - `scale [INSTANCES] [CHANGES] [SECONDS]`: processor time and memory at CHANGES changes a second.
//! - `effect [INSTANCES] [TIMES]`: time from a drain in the stand-in for Consul to the client's `MOVE`.

#![allow(clippy::print_stdout, reason = "a tool of developers, which may panic")]

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{Discovery, LineConnection, Proxy, Server, disable_load_reports, unused_addr};
use serde_json::{Value, json};
use violetwind_standins::consul::{Check, Consul, Instance, Maintenance};

fn main() {
    let args: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| arg != "--bench")
        .collect();
    let number = |index: usize, default: usize| -> usize {
        args.get(index)
            .and_then(|arg| arg.parse().ok())
            .unwrap_or(default)
    };
    match args.first().map(String::as_str) {
        Some("opens") => measure_opens(number(1, 5)),
        Some("scale") => measure_scale(number(1, 20_000), number(2, 1000), number(3, 20)),
        Some("effect") => measure_drain_delay(number(1, 6), number(2, 50)),
        _ => println!(
            "opens [ROUNDS] | scale [INSTANCES] [CHANGES] [SECONDS] | effect [INSTANCES] [TIMES]"
        ),
    }
}

fn measure_opens(rounds: usize) {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    for _ in 0..rounds {
        let proxy = Proxy::start_without_loads(&discovery);
        let before = proxy.cpu_time();
        for _ in 0..2000 {
            let _ = proxy.establish_connection(&server);
        }
        let elapsed = proxy.cpu_time() - before;
        println!("{:.1} us an open", elapsed.as_secs_f64() * 1e6 / 2000.0);
    }
}

/// Disables the balancer's probes: their cost in a large fleet is not part of this measurement.
fn disable_probes(config: &mut Value) {
    disable_load_reports(config);
    config["settings"]["permissions"]["probes"] = json!(false);
}

struct Setup {
    servers: Vec<Server>,
    consul: Consul,
    ids: Vec<String>,
    proxy: Proxy,
}

fn start_setup(instances: usize, gap: &str) -> Setup {
    let servers: Vec<Server> = (0..6).map(|n| Server::start(&format!("s-{n}"))).collect();
    let consul = Consul::start("agenda");
    let ids: Vec<String> = (0..instances).map(|n| format!("s-{n}")).collect();
    let address_of = |n: usize| servers[n % servers.len()].addr;
    consul.register_all(
        ids.iter()
            .enumerate()
            .map(|(n, id)| Instance::new(id, address_of(n))),
    );
    let file = format!(
        "[limits]\ndrain_wait = \"0ms\"\ndrain_span = \"20ms\"\n[zones]\ndc1 = \"a\"\n[[source]]\n\
         name = \"agenda\"\nkind = \"consul\"\naddress = \"{}\"\nservice = \"agenda\"\ngap = \"{gap}\"\n",
        consul.addr
    );
    let proxy = Proxy::start_with_operator_file(unused_addr(), &file, disable_probes);
    Setup {
        servers,
        consul,
        ids,
        proxy,
    }
}

fn measure_scale(instances: usize, changes: usize, seconds: usize) {
    let setup = start_setup(instances, "100ms");
    let memory_after_list = setup.proxy.peak_memory_kib();
    let requests_before = setup.consul.request_count();
    let (before, start) = (setup.proxy.cpu_time(), Instant::now());
    let mut next = 0;
    let mut slowest = Duration::ZERO;
    for tick in 0..seconds * 10 {
        let sleep_until = start + Duration::from_millis(100 * tick as u64);
        // The changes of 100 ms are made together: each toggles the check of one instance.
        let ids: Vec<&str> = (0..changes / 10)
            .map(|n| setup.ids[(next + n) % instances].as_str())
            .collect();
        next += ids.len();
        setup.consul.update_instances(&ids, |i| {
            i.check = match i.check {
                Check::Passing => Check::Critical,
                _ => Check::Passing,
            };
        });
        let pinged_at = Instant::now();
        assert!(common::Pingable::answers_ping(&setup.proxy));
        slowest = slowest.max(pinged_at.elapsed());
        std::thread::sleep(sleep_until.saturating_duration_since(Instant::now()));
    }
    let elapsed = start.elapsed();
    let cpu = setup.proxy.cpu_time() - before;
    let lists = setup.consul.request_count() - requests_before;
    println!(
        "{instances} instances, {changes} changes a second, {:.0} s: {:.1}% of a core, {lists} lists, \
         {:.0} ms a list, slowest PING {:.1} ms, memory {:.1} MB after the first list, {:.1} MB at most",
        elapsed.as_secs_f64(),
        100.0 * cpu.as_secs_f64() / elapsed.as_secs_f64(),
        1e3 * cpu.as_secs_f64() / lists.max(1) as f64,
        1e3 * slowest.as_secs_f64(),
        memory_after_list as f64 / 1024.0,
        setup.proxy.peak_memory_kib() as f64 / 1024.0,
    );
}

fn measure_drain_delay(instances: usize, times: usize) {
    let setup = start_setup(instances, "10ms");
    let mut delays: Vec<Duration> = Vec::new();
    while delays.len() < times {
        let mut client = setup.proxy.open("watch");
        let (server_index, mut server_side) = wait_for_open(&setup.servers);
        server_side.send_line("UP 1");
        assert_eq!(client.read_line(), "UP 1");
        // All instances at that address are drained, since it is not known which of them the connection was opened to.
        let ids = setup.ids.iter().enumerate();
        let ids: Vec<&str> = ids
            .filter(|(n, _)| n % setup.servers.len() == server_index)
            .map(|(_, id)| id.as_str())
            .collect();
        setup.consul.wait_until_changes_served();
        let drained_at = Instant::now();
        setup
            .consul
            .update_instances(&ids, |i| i.maintenance = Maintenance::Service);
        assert_eq!(client.read_line(), "MOVE");
        delays.push(drained_at.elapsed());
        setup
            .consul
            .update_instances(&ids, |i| i.maintenance = Maintenance::None);
        setup.consul.wait_until_changes_served();
    }
    delays.sort();
    let quantile =
        |fraction: f64| delays[((delays.len() - 1) as f64 * fraction) as usize].as_secs_f64() * 1e3;
    println!(
        "{instances} instances, {times} drains: p50 {:.1} ms, p99 {:.1} ms from the change to MOVE",
        quantile(0.5),
        quantile(0.99)
    );
}

fn wait_for_open(servers: &[Server]) -> (usize, LineConnection) {
    loop {
        for (n, server) in servers.iter().enumerate() {
            if let Some((_, server_side)) = server.next_open_unless(|| true) {
                return (n, server_side);
            }
        }
        std::thread::yield_now();
    }
}

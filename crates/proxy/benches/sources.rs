//! What sources of servers cost the running proxy, on loopback: `cargo bench -p violetwind --bench sources`.
//! Not part of CI. Further identities stand at the addresses of a few real stand-in servers.
//!
//! - `opens [ROUNDS]`: processor time an open with no source set up, 2,000 opens a round. With
//!   `VIOLETWIND_BIN` another build is measured.
//! - `scale [INSTANCES] [CHANGES] [SECONDS]`: processor and memory at so many changes a second.
//! - `effect [INSTANCES] [TIMES]`: from a drain told at the stand-in to the client's `MOVE`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{Discovery, LineConnection, Proxy, Server, unused_addr, without_loads};
use serde_json::{Value, json};
use violetwind_standins::consul::{Check, Consul, Instance, Maintenance};

fn main() {
    let words: Vec<String> = std::env::args()
        .skip(1)
        .filter(|word| word != "--bench")
        .collect();
    let number = |at: usize, default: usize| -> usize {
        words
            .get(at)
            .and_then(|word| word.parse().ok())
            .unwrap_or(default)
    };
    match words.first().map(String::as_str) {
        Some("opens") => opens(number(1, 5)),
        Some("scale") => scale(number(1, 20_000), number(2, 1000), number(3, 20)),
        Some("effect") => effect(number(1, 6), number(2, 50)),
        _ => println!(
            "opens [ROUNDS] | scale [INSTANCES] [CHANGES] [SECONDS] | effect [INSTANCES] [TIMES]"
        ),
    }
}

fn opens(rounds: usize) {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    for _ in 0..rounds {
        let proxy = Proxy::start_roomy(&discovery);
        let before = proxy.cpu();
        for _ in 0..2000 {
            let _ = proxy.up(&server);
        }
        let took = proxy.cpu() - before;
        println!("{:.1} us an open", took.as_secs_f64() * 1e6 / 2000.0);
    }
}

/// Without the module's probes: how many of those a large fleet may have is another matter.
fn no_probes(config: &mut Value) {
    without_loads(config);
    config["settings"]["permissions"]["probes"] = json!(false);
}

struct World {
    servers: Vec<Server>,
    consul: Consul,
    ids: Vec<String>,
    proxy: Proxy,
}

fn world(instances: usize, gap: &str) -> World {
    let servers: Vec<Server> = (0..6).map(|n| Server::start(&format!("s-{n}"))).collect();
    let consul = Consul::start("agenda");
    let ids: Vec<String> = (0..instances).map(|n| format!("s-{n}")).collect();
    let at = |n: usize| servers[n % servers.len()].addr;
    consul.register_all(
        ids.iter()
            .enumerate()
            .map(|(n, id)| Instance::new(id, at(n))),
    );
    let file = format!(
        "[limits]\ndrain_wait = \"0ms\"\ndrain_span = \"20ms\"\n[zones]\ndc1 = \"a\"\n[[source]]\n\
         name = \"agenda\"\nkind = \"consul\"\naddress = \"{}\"\nservice = \"agenda\"\ngap = \"{gap}\"\n",
        consul.addr
    );
    let proxy = Proxy::start_with(unused_addr(), &file, no_probes);
    World {
        servers,
        consul,
        ids,
        proxy,
    }
}

fn scale(instances: usize, changes: usize, seconds: usize) {
    let world = world(instances, "100ms");
    let whole = world.proxy.memory_kib();
    let calls = world.consul.request_count();
    let (before, start) = (world.proxy.cpu(), Instant::now());
    let mut next = 0;
    let mut slowest = Duration::ZERO;
    for tick in 0..seconds * 10 {
        let until = start + Duration::from_millis(100 * tick as u64);
        // A tenth of a second's changes at once: each turns its check.
        let ids: Vec<&str> = (0..changes / 10)
            .map(|n| world.ids[(next + n) % instances].as_str())
            .collect();
        next += ids.len();
        world.consul.update_instances(&ids, |i| {
            i.check = match i.check {
                Check::Passing => Check::Critical,
                _ => Check::Passing,
            };
        });
        let asked = Instant::now();
        assert!(common::Pingable::answers_ping(&world.proxy));
        slowest = slowest.max(asked.elapsed());
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }
    let took = start.elapsed();
    let cpu = world.proxy.cpu() - before;
    let lists = world.consul.request_count() - calls;
    println!(
        "{instances} instances, {changes} changes a second, {:.0} s: {:.1}% of a core, {lists} lists, \
         {:.0} ms a list, slowest PING {:.1} ms, memory {:.1} MB after the first list, {:.1} MB at most",
        took.as_secs_f64(),
        100.0 * cpu.as_secs_f64() / took.as_secs_f64(),
        1e3 * cpu.as_secs_f64() / lists.max(1) as f64,
        1e3 * slowest.as_secs_f64(),
        whole as f64 / 1024.0,
        world.proxy.memory_kib() as f64 / 1024.0,
    );
}

fn effect(instances: usize, times: usize) {
    let world = world(instances, "10ms");
    let mut took: Vec<Duration> = Vec::new();
    while took.len() < times {
        let mut client = world.proxy.open("watch");
        let (on, mut conn) = opened(&world.servers);
        conn.send_line("UP 1");
        assert_eq!(client.read_line(), "UP 1");
        // All identities at that address drain, as it is not known which of them was meant.
        let ids = world.ids.iter().enumerate();
        let ids: Vec<&str> = ids
            .filter(|(n, _)| n % world.servers.len() == on)
            .map(|(_, id)| id.as_str())
            .collect();
        world.consul.wait_until_changes_served();
        let told = Instant::now();
        world
            .consul
            .update_instances(&ids, |i| i.maintenance = Maintenance::Service);
        assert_eq!(client.read_line(), "MOVE");
        took.push(told.elapsed());
        world
            .consul
            .update_instances(&ids, |i| i.maintenance = Maintenance::None);
        world.consul.wait_until_changes_served();
    }
    took.sort();
    let quantile = |part: f64| took[((took.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e3;
    println!(
        "{instances} instances, {times} drains: p50 {:.1} ms, p99 {:.1} ms from the change to MOVE",
        quantile(0.5),
        quantile(0.99)
    );
}

fn opened(servers: &[Server]) -> (usize, LineConnection) {
    loop {
        for (n, server) in servers.iter().enumerate() {
            if let Some((_, conn)) = server.next_open_unless(|| true) {
                return (n, conn);
            }
        }
        std::thread::yield_now();
    }
}

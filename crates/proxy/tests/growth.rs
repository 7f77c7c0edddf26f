//! What a proxy needs in a fleet of sixteen times the servers: the rows of the operators' table, with the same traffic,
//! the same limits and the same capacity for each proxy.

mod common;

use std::thread;
use std::time::Duration;

use common::{Discovery, Proxy, target_row};
use serde_json::json;
use violetwind_standins::soak::{ClientBehaviour, RequestOutcome, SoakServer, Traffic};

const USUAL: Size = Size {
    servers: 200,
    proxies: 56,
};
const LARGE: Size = Size {
    servers: 3200,
    proxies: 900,
};
const LASTS: Duration = Duration::from_secs(12);
/// Sockets that answer; each is listed under many names.
const SOCKETS: usize = 16;

#[derive(Clone, Copy)]
struct Size {
    servers: usize,
    proxies: u64,
}

#[derive(Debug)]
struct Needs {
    cpu_s: f64,
    memory_mb: f64,
    descriptors: usize,
    connections: usize,
    list_bytes: usize,
    served: f64,
}

fn play(size: Size) -> Needs {
    let sockets: Vec<SoakServer> = (0..SOCKETS)
        .map(|number| SoakServer::start(&format!("s-{number}"), 4000))
        .collect();
    let row = |number: usize, state: &str| {
        let endpoint = sockets[number % SOCKETS].addr.to_string();
        target_row(&format!("u-{number}"), &endpoint, state)
    };
    let rows: Vec<_> = (0..size.servers)
        .map(|number| row(number, "ready"))
        .collect();
    let discovery = Discovery::start(&rows);
    let proxy = Proxy::launch(discovery.addr, |config| {
        config["settings"]["fleet-size"] = json!(size.proxies);
        config["settings"]["me"] = json!(size.proxies / 2);
        config["settings"]["prices"] = json!({"probe": 0.002});
        config["known"] = json!({"rev": size.servers, "all": true, "targets": rows});
    });
    proxy.wait_ready();
    let before = discovery.list_bytes_sent();
    let traffic = Traffic::start(proxy.addr, Duration::from_millis(40), 1, |_| {
        ClientBehaviour {
            class: "watch".into(),
            deadline: Duration::from_millis(1500),
            disconnect_after: None,
            session_duration: Duration::from_millis(1500),
            message_interval: Duration::from_millis(200),
            pause_before_open: None,
        }
    });
    let mut descriptors = 0;
    for turn in 0..LASTS.as_millis() as usize / 250 {
        // Changes go on: one server after the other drains and is back.
        let state = if turn % 2 == 0 { "draining" } else { "ready" };
        discovery.upsert_target(row(turn / 2, state));
        thread::sleep(Duration::from_millis(250));
        descriptors = descriptors.max(proxy.descriptors());
    }
    let needs = Needs {
        cpu_s: proxy.cpu().as_secs_f64(),
        memory_mb: proxy.memory_kib() as f64 / 1024.0,
        descriptors,
        connections: sockets.iter().map(SoakServer::connection_count).sum(),
        list_bytes: discovery.list_bytes_sent() - before,
        served: 0.0,
    };
    let accounts = traffic.finish();
    let up = accounts
        .iter()
        .filter(|account| account.outcome == RequestOutcome::Up)
        .count();
    Needs {
        served: up as f64 / accounts.len() as f64,
        ..needs
    }
}

#[test]
fn a_proxy_needs_no_more_than_the_table_allows_at_sixteen_times_the_servers() {
    let (usual, large) = thread::scope(|scope| {
        let usual = scope.spawn(|| play(USUAL));
        let large = play(LARGE);
        (usual.join().unwrap(), large)
    });
    println!("{usual:?}\n{large:?}");
    let thousands = LARGE.servers as f64 / 1000.0;
    let held = |what: &str, is: f64, most: f64| assert!(is <= most, "{what}: {is:.3} of {most:.3}");
    held(
        "CPU seconds",
        large.cpu_s,
        1.4 * usual.cpu_s + 0.02 + 0.03 * thousands,
    );
    held(
        "memory",
        large.memory_mb,
        1.5 * usual.memory_mb + 8.0 + 4.0 * thousands,
    );
    held(
        "descriptors",
        large.descriptors as f64,
        2.0 * usual.descriptors as f64 + 40.0,
    );
    held(
        "connections",
        large.connections as f64,
        2.5 * usual.connections as f64 + 40.0,
    );
    let bytes = 2.0 * usual.list_bytes as f64 + 65_536.0 + 500_000.0 * thousands;
    held("bytes of lists", large.list_bytes as f64, bytes);
    assert!(
        large.served >= 0.85 * usual.served,
        "{} of {}",
        large.served,
        usual.served
    );
}

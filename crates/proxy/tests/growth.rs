//! Resource use of a proxy in a fleet with sixteen times the servers, checked against the rows of the operators' table.
//! The traffic, the limits and the capacity of each proxy are the same for both sizes.

mod common;

use std::thread;
use std::time::Duration;

use common::{Discovery, Proxy, target_row};
use serde_json::json;
use violetwind_standins::soak::{ClientBehaviour, RequestOutcome, SoakServer, Traffic};

const BASELINE_SIZE: FleetSize = FleetSize {
    servers: 200,
    proxies: 56,
};
const LARGE_SIZE: FleetSize = FleetSize {
    servers: 3200,
    proxies: 900,
};
const RUN_DURATION: Duration = Duration::from_secs(12);
/// The number of listening server sockets; each is listed under many server ids.
const SOCKET_COUNT: usize = 16;

/// The number of servers and proxies in a fleet.
#[derive(Clone, Copy)]
struct FleetSize {
    servers: usize,
    proxies: u64,
}

/// Measured resource use of a proxy.
#[derive(Debug)]
struct ResourceUsage {
    cpu_s: f64,
    memory_mb: f64,
    descriptors: usize,
    connections: usize,
    list_bytes: usize,
    /// The share of requests whose connection was established.
    served: f64,
}

/// Runs a proxy in a fleet of this size under the same traffic and measures its resource use.
fn measure(size: FleetSize) -> ResourceUsage {
    let sockets: Vec<SoakServer> = (0..SOCKET_COUNT)
        .map(|number| SoakServer::start(&format!("s-{number}"), 4000))
        .collect();
    let row = |number: usize, state: &str| {
        let endpoint = sockets[number % SOCKET_COUNT].addr.to_string();
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
    let list_bytes_before = discovery.list_bytes_sent();
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
    for turn in 0..RUN_DURATION.as_millis() as usize / 250 {
        // Keep the list changing: one server after another drains and returns.
        let state = if turn % 2 == 0 { "draining" } else { "ready" };
        discovery.upsert_target(row(turn / 2, state));
        thread::sleep(Duration::from_millis(250));
        descriptors = descriptors.max(proxy.descriptor_count());
    }
    let usage = ResourceUsage {
        cpu_s: proxy.cpu_time().as_secs_f64(),
        memory_mb: proxy.peak_memory_kib() as f64 / 1024.0,
        descriptors,
        connections: sockets.iter().map(SoakServer::connection_count).sum(),
        list_bytes: discovery.list_bytes_sent() - list_bytes_before,
        served: 0.0,
    };
    let records = traffic.finish();
    let established = records
        .iter()
        .filter(|record| record.outcome == RequestOutcome::Up)
        .count();
    ResourceUsage {
        served: established as f64 / records.len() as f64,
        ..usage
    }
}

#[test]
fn resource_use_stays_within_the_table_at_sixteen_times_the_servers() {
    let (baseline, large) = thread::scope(|scope| {
        let baseline = scope.spawn(|| measure(BASELINE_SIZE));
        let large = measure(LARGE_SIZE);
        (baseline.join().unwrap(), large)
    });
    println!("{baseline:?}\n{large:?}");
    let thousands = LARGE_SIZE.servers as f64 / 1000.0;
    let assert_at_most = |resource: &str, used: f64, limit: f64| {
        assert!(used <= limit, "{resource}: {used:.3} of {limit:.3}")
    };
    assert_at_most(
        "CPU seconds",
        large.cpu_s,
        1.4 * baseline.cpu_s + 0.02 + 0.03 * thousands,
    );
    assert_at_most(
        "memory",
        large.memory_mb,
        1.5 * baseline.memory_mb + 8.0 + 4.0 * thousands,
    );
    assert_at_most(
        "descriptors",
        large.descriptors as f64,
        2.0 * baseline.descriptors as f64 + 40.0,
    );
    assert_at_most(
        "connections",
        large.connections as f64,
        2.5 * baseline.connections as f64 + 40.0,
    );
    let list_bytes_limit = 2.0 * baseline.list_bytes as f64 + 65_536.0 + 500_000.0 * thousands;
    assert_at_most("bytes of lists", large.list_bytes as f64, list_bytes_limit);
    assert!(
        large.served >= 0.85 * baseline.served,
        "served share: {} of {}",
        large.served,
        baseline.served
    );
}

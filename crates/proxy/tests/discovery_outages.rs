//! Long outages of discovery: changes take effect at the latest 6 s after discovery is reachable again, whatever the
//! size of the fleet and the way in which calls failed before.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::{Discovery, DiscoveryMode, Proxy, Server, disable_load_reports};
use serde_json::json;

/// Six seconds, plus the drain's grace period (0.3 s) and an allowance for sockets.
const EFFECT_DEADLINE: Duration = Duration::from_millis(6350);

/// Runs proxies of a large fleet through an outage of discovery, and drains a server when discovery is back.
fn assert_drain_takes_effect_after_outage(mode: DiscoveryMode, outage: Duration, proxies: u64) {
    let (staying, leaving) = (Server::start("s-1"), Server::start("s-2"));
    let discovery = Discovery::start(&[staying.target_row("ready"), leaving.target_row("ready")]);
    let fleet: Vec<Proxy> = (0..proxies)
        .map(|number| {
            let proxy = Proxy::launch(discovery.addr, |config| {
                disable_load_reports(config);
                config["settings"]["fleet-size"] = json!(300);
                config["settings"]["me"] = json!(number * 300 / proxies);
                config["settings"]["rules"]["ask-within-s"] = json!(10.0);
                config["settings"]["permissions"]["probes"] = json!(false);
            });
            proxy.wait_ready();
            proxy
        })
        .collect();
    discovery.set_mode(mode);
    thread::sleep(outage);
    discovery.set_mode(DiscoveryMode::Works);
    discovery.upsert_target(leaving.target_row("draining"));
    let recovered_at = Instant::now();
    thread::sleep(EFFECT_DEADLINE);
    for proxy in &fleet {
        // No request that is forwarded from now on may reach the draining server.
        let clients: Vec<_> = (0..8).map(|_| proxy.open_with("c=watch,d=300")).collect();
        thread::sleep(Duration::from_millis(30));
        drop(clients);
    }
    let opened = std::iter::from_fn(|| (!leaving.no_pending_open()).then_some(())).count();
    assert_eq!(
        opened,
        0,
        "{mode:?}: requests reached the draining server {:?} after discovery recovered",
        recovered_at.elapsed()
    );
    drop(staying);
}

#[test]
fn a_drain_takes_effect_within_six_seconds_of_an_outage_with_refusals() {
    assert_drain_takes_effect_after_outage(DiscoveryMode::Refuses, Duration::from_secs(40), 6);
}

#[test]
fn a_drain_takes_effect_within_six_seconds_of_an_outage_with_resets() {
    assert_drain_takes_effect_after_outage(DiscoveryMode::Resets, Duration::from_secs(40), 6);
}

#[test]
fn a_drain_takes_effect_within_six_seconds_of_an_outage_with_silence() {
    assert_drain_takes_effect_after_outage(DiscoveryMode::Hangs, Duration::from_secs(40), 6);
}

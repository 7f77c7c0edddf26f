//! Discovery that was away for long: what it has to tell counts at the latest 6 s after it could be reached, however large
//! the fleet is and however the calls failed before.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::{Discovery, DiscoveryMode, Proxy, Server, without_loads};
use serde_json::json;

/// Six seconds, the grace, and what sockets allow.
const BINDS: Duration = Duration::from_millis(6350);

/// Proxies of a large fleet that lost discovery for so long; then a server drains as it comes back.
fn drains_at_the_return(mood: DiscoveryMode, lasts: Duration, proxies: u64) {
    let (staying, leaving) = (Server::start("s-1"), Server::start("s-2"));
    let discovery = Discovery::start(&[staying.target_row("ready"), leaving.target_row("ready")]);
    let fleet: Vec<Proxy> = (0..proxies)
        .map(|number| {
            let proxy = Proxy::launch(discovery.addr, |config| {
                without_loads(config);
                config["settings"]["fleet-size"] = json!(300);
                config["settings"]["me"] = json!(number * 300 / proxies);
                config["settings"]["rules"]["ask-within-s"] = json!(10.0);
                config["settings"]["permissions"]["probes"] = json!(false);
            });
            proxy.wait_ready();
            proxy
        })
        .collect();
    discovery.set_mode(mood);
    thread::sleep(lasts);
    discovery.set_mode(DiscoveryMode::Works);
    discovery.upsert_target(leaving.target_row("draining"));
    let back = Instant::now();
    thread::sleep(BINDS);
    for proxy in &fleet {
        // Whatever goes on now must not go there.
        let clients: Vec<_> = (0..8).map(|_| proxy.open_with("c=watch,d=300")).collect();
        thread::sleep(Duration::from_millis(30));
        drop(clients);
    }
    let opened = std::iter::from_fn(|| (!leaving.no_pending_open()).then_some(())).count();
    assert_eq!(
        opened,
        0,
        "{mood:?}: sent {:?} after the return",
        back.elapsed()
    );
    drop(staying);
}

#[test]
fn a_drain_is_kept_six_seconds_after_an_outage_with_refusals() {
    drains_at_the_return(DiscoveryMode::Refuses, Duration::from_secs(40), 6);
}

#[test]
fn a_drain_is_kept_six_seconds_after_an_outage_with_resets() {
    drains_at_the_return(DiscoveryMode::Resets, Duration::from_secs(40), 6);
}

#[test]
fn a_drain_is_kept_six_seconds_after_an_outage_with_silence() {
    drains_at_the_return(DiscoveryMode::Hangs, Duration::from_secs(40), 6);
}

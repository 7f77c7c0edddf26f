//! Regression tests for failures of fleets of a hundred balancers with a few requests per minute each. The tests
//! simulate such a fleet, and servers that fill up and report late.

mod common;

use std::collections::BTreeMap;

use common::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use violetwind_balancer::api::*;

const FLEET_SIZE: usize = 100;
/// Number of connections of mean load that fill a warm server.
const WARM_CAPACITY: f64 = 50.0;
const SLOW_START_WINDOW: Seconds = 7.2;
const SLOW_START_MIN_SHARE: f64 = 0.3;
/// Interval at which servers update their reported load, each with its own phase.
const REFRESH_INTERVAL: Seconds = 0.8;

fn settings_of_balancer(balancer_index: u64) -> Settings {
    Settings {
        fleet_size: FLEET_SIZE,
        balancer_index,
        price_probe: 0.0005,
        slow_start_min_share: SLOW_START_MIN_SHARE,
        slow_start_window: SLOW_START_WINDOW,
        overload_multiple: 3.0,
        overload_duration: 1.5,
        max_attempts: 6,
        ..settings()
    }
}

/// A request of mean load, which is unknown to balancers until it is reported.
fn request_of_unknown_load(id: RequestId) -> Request {
    Request {
        hint: None,
        ..request(id)
    }
}

#[derive(Clone, Debug, Default)]
struct Server {
    started_at: Option<Seconds>,
    connections: f64,
    reported: f64,
    refreshed_at: Seconds,
    send_times: Vec<Seconds>,
}

impl Server {
    fn capacity_fraction(&self, now: Seconds) -> f64 {
        let warmed_up = self.started_at.map_or(1.0, |started_at| {
            ((now - started_at) / SLOW_START_WINDOW).clamp(0.0, 1.0)
        });
        SLOW_START_MIN_SHARE + (1.0 - SLOW_START_MIN_SHARE) * warmed_up
    }
}

/// The balancers, the servers, and the pending timers.
struct Fleet {
    now: Seconds,
    harnesses: Vec<BalancerHarness>,
    servers: BTreeMap<ServerId, Server>,
    timers: Vec<(Seconds, usize, u64)>,
    last_request_id: RequestId,
    refused: usize,
    rng: Pcg64Mcg,
}

impl Fleet {
    fn new(loads: &[(ServerId, f64)], seed: u64) -> Self {
        let entries: Vec<Entry> = loads.iter().map(|(id, _)| entry(*id)).collect();
        let new_harness = |balancer_index| {
            BalancerHarness::new(
                settings_of_balancer(balancer_index),
                entries.clone(),
                seed * 1000 + balancer_index,
            )
        };
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let new_server = |&(id, load): &(ServerId, f64)| {
            let server = Server {
                connections: load * WARM_CAPACITY,
                reported: load,
                refreshed_at: 100.0 - rng.random_range(0.0..REFRESH_INTERVAL),
                ..Server::default()
            };
            (id, server)
        };
        let servers = loads.iter().map(new_server).collect();
        Self {
            now: 100.0,
            harnesses: (0..FLEET_SIZE as u64).map(new_harness).collect(),
            servers,
            timers: Vec::new(),
            last_request_id: 0,
            refused: 0,
            rng,
        }
    }

    /// Adds servers that have just started to the lists of all balancers.
    fn add_cold_servers(&mut self, ids: std::ops::Range<ServerId>) {
        let started_at = Some(self.now);
        for id in ids.clone() {
            let server = Server {
                started_at,
                refreshed_at: self.now,
                ..Server::default()
            };
            self.servers.insert(id, server);
        }
        for balancer in 0..FLEET_SIZE {
            let entries = ids
                .clone()
                .map(|id| Entry {
                    started_at,
                    ..entry(id)
                })
                .collect();
            self.deliver_event(balancer, Event::Servers(ListKind::Update, entries));
        }
    }

    fn send_request(&mut self, balancer: usize) {
        self.last_request_id += 1;
        let id = self.last_request_id;
        self.deliver_event(balancer, Event::Request(request_of_unknown_load(id)));
    }

    /// Runs for `span` seconds with `rate` requests per second, 100 at most, at random balancers.
    fn run(&mut self, span: Seconds, rate: f64) {
        let until = self.now + span;
        while self.now < until {
            self.now += 0.01;
            for server in self.servers.values_mut() {
                if self.now >= server.refreshed_at + REFRESH_INTERVAL {
                    server.refreshed_at = self.now;
                    server.reported =
                        server.connections / (WARM_CAPACITY * server.capacity_fraction(self.now));
                }
            }
            let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.timers)
                .into_iter()
                .partition(|d| d.0 <= self.now);
            self.timers = later;
            for (_, balancer, token) in due {
                self.deliver_event(balancer, Event::Timer(token));
            }
            if self.rng.random::<f64>() < rate * 0.01 {
                let balancer = self.rng.random_range(0..FLEET_SIZE);
                self.send_request(balancer);
            }
        }
    }

    /// Delivers an event to a balancer and carries out the resulting actions.
    fn deliver_event(&mut self, balancer: usize, event: Event) {
        let now = self.now;
        self.harnesses[balancer].now = now;
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.harnesses[balancer].handle_event(event) {
                match action {
                    Action::Probe(id) => {
                        let load = self.servers[&id].reported;
                        events.push(Event::Probed(id, Outcome::Ok, load_report(load)));
                    }
                    Action::Send(id, to, ..) => {
                        let server = self.servers.get_mut(&to).unwrap();
                        server.connections += 1.0;
                        server.send_times.push(now);
                        events.push(Event::Begun(id, to));
                    }
                    Action::Refuse(..) => self.refused += 1,
                    Action::Timer(after, token) => self.timers.push((now + after, balancer, token)),
                    _ => {}
                }
            }
        }
    }

    fn count_placements(&self, ids: std::ops::Range<ServerId>) -> usize {
        ids.map(|id| self.servers[&id].send_times.len()).sum()
    }
}

/// The ids and loads of `count` full servers.
fn full_servers(count: u32) -> Vec<(ServerId, f64)> {
    (1..=count).map(|id| (id, 1.0)).collect()
}

/// Six servers in ten are new within 7 s, the others are full, and clients repeat their requests. No cold server may be
/// overloaded although all balancers act alike, and the turns must not remain unused.
#[test]
fn many_new_servers_are_filled_and_none_is_overloaded() {
    for seed in 1..=2 {
        let mut fleet = Fleet::new(&full_servers(24), seed);
        for batch in 0..6 {
            fleet.add_cold_servers(100 + batch * 6..106 + batch * 6);
            fleet.run(1.2, 100.0);
        }
        fleet.run(2.0, 100.0);
        for server in fleet.servers.values().filter(|s| s.started_at.is_some()) {
            let started_at = server.started_at.unwrap();
            let cold_sends = || {
                server
                    .send_times
                    .iter()
                    .filter(|at| **at < started_at + SLOW_START_WINDOW)
            };
            for &at in cold_sends() {
                let recent_sends = cold_sends().filter(|s| **s >= at && **s < at + 1.5).count();
                let max_sends =
                    3.0 * server.capacity_fraction(at) * WARM_CAPACITY / SLOW_START_WINDOW * 1.5;
                assert!(
                    recent_sends as f64 <= max_sends,
                    "{recent_sends} of {max_sends} at {}",
                    at - started_at
                );
            }
        }
        // With turn intervals that stayed as long during the whole warm-up as at its start, 219 were placed.
        let placed = fleet.count_placements(100..136);
        assert!(
            placed >= 245,
            "{placed} on 36 servers, {} refused",
            fleet.refused
        );
    }
}

/// Of a hundred balancers most had their turn at a cold server long after the end of its warm-up, and did not use it
/// until then: servers were idle beside full ones, and requests were refused.
#[test]
fn turns_end_with_the_warm_up() {
    let mut harness = BalancerHarness::new(settings_of_balancer(3), vec![entry(1)], 3);
    harness.report_load(1, 1.0);
    let cold_entry = Entry {
        started_at: Some(harness.now),
        ..entry(2)
    };
    harness.handle_and_answer_probes(Event::Servers(ListKind::Update, vec![cold_entry]));
    harness.now += 0.1;
    harness.report_load(1, 1.0);
    assert_eq!(harness.place_request(1), None);
    harness.now += SLOW_START_WINDOW;
    harness.report_load(1, 1.0);
    harness.report_load(2, 0.0);
    assert_eq!(harness.place_request(2), Some(2));
}

/// Peers were assumed to place as often as requests arrive, refused ones included: then one own connection seemed to
/// fill a server, and most requests were refused although servers had room.
#[test]
fn refused_requests_do_not_count_as_placements() {
    let send_request = |harness: &mut BalancerHarness, id| {
        sent_to(
            &harness.handle_and_answer_probes(Event::Request(request_of_unknown_load(id))),
            id,
        )
    };
    let report_all = |harness: &mut BalancerHarness, load_of_seven| {
        for server in 1..=10 {
            harness.now += 0.06;
            harness.report_load(server, if server == 7 { load_of_seven } else { 1.0 });
        }
    };
    for seed in 0..20 {
        let mut harness =
            BalancerHarness::new(settings_of_balancer(3), (1..=10).map(entry).collect(), seed);
        report_all(&mut harness, 1.0);
        assert!((0..60).all(|id| send_request(&mut harness, id).is_none()));
        // The burst is over, but its request rate has not decayed completely.
        harness.now += 12.0;
        report_all(&mut harness, 0.3);
        assert_eq!(send_request(&mut harness, 100), Some(7));
        assert_eq!(send_request(&mut harness, 101), Some(7));
    }
}

/// Unused turns must not accumulate: all balancers get a request at the same moment.
#[test]
fn unused_turns_taken_at_once_do_not_overload_a_cold_server() {
    let mut total = 0;
    for (seed, after) in (1..).zip([0.5, 2.0, 4.0, 6.0]) {
        let mut fleet = Fleet::new(&full_servers(3), seed);
        fleet.add_cold_servers(100..101);
        fleet.run(after, 0.0);
        for balancer in 0..FLEET_SIZE {
            fleet.send_request(balancer);
        }
        let max_placed = 3.0 * fleet.servers[&100].capacity_fraction(fleet.now) * WARM_CAPACITY
            / SLOW_START_WINDOW
            * 1.5;
        let placed = fleet.count_placements(100..101);
        assert!(
            placed as f64 <= max_placed,
            "{placed} of {max_placed} after {after} s"
        );
        total += placed;
    }
    assert!(total > 10, "{total}");
}

/// One server far beyond its capacity made room seem scarce everywhere: a group was not placed on further servers that
/// were half idle.
#[test]
fn one_overloaded_server_does_not_make_room_seem_scarce() {
    let settings = Settings {
        group_affinity: true,
        ..settings_of_balancer(3)
    };
    let mut harness = BalancerHarness::new(settings, (1..=5).map(entry).collect(), 3);
    harness.open_connections(1, 1000, &[1.0]);
    for (server, load) in [(1, 0.5), (2, 0.5), (3, 0.5), (4, 0.5), (5, 6.0)] {
        harness.now += 0.06;
        harness.report_load(server, load);
    }
    let group = Some(77);
    let request = Request {
        group,
        ..request_of_unknown_load(1)
    };
    let to = sent_to(
        &harness.handle_and_answer_probes(Event::Request(request)),
        1,
    );
    assert!(matches!(to, Some(1..=4)), "{to:?}");
}

/// The first request after a minute seemed to be a rate of one per second, and every server was probed for it.
#[test]
fn one_request_a_minute_does_not_pay_for_probes_of_all_servers() {
    let count_probes = |idle_time| {
        let entries = (1..=12).map(entry).collect();
        let mut harness = BalancerHarness::new(settings_of_balancer(3), entries, 3);
        harness.now += idle_time;
        let actions = harness.handle_event(Event::Request(request_of_unknown_load(1)));
        let mut probes = 0;
        for action in actions {
            if let Action::Probe(server) = action {
                let further_actions =
                    harness.handle_event(Event::Probed(server, Outcome::Ok, load_report(0.3)));
                probes += further_actions
                    .iter()
                    .filter(|a| matches!(a, Action::Probe(_)))
                    .count();
            }
        }
        probes
    };
    assert!(
        count_probes(0.0) >= 12,
        "a balancer that has just started has no reports"
    );
    assert!(count_probes(60.0) <= 2, "{}", count_probes(60.0));
}

/// Once it had reports of four full servers, a balancer with few requests and no connection refused all requests: the
/// reports were long outdated, but still made room seem scarce.
#[test]
fn outdated_reports_do_not_prevent_on_demand_probes() {
    let mut harness =
        BalancerHarness::new(settings_of_balancer(3), (1..=10).map(entry).collect(), 3);
    for server in 1..=5 {
        harness.now += 0.06;
        harness.report_load(server, 1.0);
    }
    let probes_on_demand = |harness: &mut BalancerHarness, id| {
        let actions = harness.handle_event(Event::Request(request_of_unknown_load(id)));
        actions
            .iter()
            .any(|action| matches!(action, Action::Probe(_)))
    };
    assert!(
        !probes_on_demand(&mut harness, 1),
        "all servers with a report are full"
    );
    harness.now += 8.0;
    assert!(probes_on_demand(&mut harness, 2));
}

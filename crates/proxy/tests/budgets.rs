//! Budgets shared by several real processes. Use is counted outside of the proxies, by callers that acquire and
//! release units.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use violetwind_standins::budget_workload::{BudgetWorkload, WorkloadSpec};
use violetwind_standins::fleet_harness::{FleetHarness, FleetSpec, count_live_members, node_name};
use violetwind_standins::relay::LinkMode;
use violetwind_standins::{LineConnection, WAIT_TIMEOUT, monotonic_us};

/// The total of the held budget `tenant`, in units.
const HELD_TOTAL: usize = 60;
/// The total of the rate budget `retries`, in units per window.
const RATE_TOTAL: usize = 80;
/// The window of all rate budgets here.
const WINDOW: Duration = Duration::from_millis(1000);
const WORKERS_PER_MEMBER: u32 = 24;

fn fleet_spec(voters: usize, non_voters: usize) -> FleetSpec {
    let member_count = voters + non_voters;
    FleetSpec {
        program: env!("CARGO_BIN_EXE_violetwind").into(),
        voters,
        non_voters,
        lease_ms: 1000,
        election_timeout_ms: 200,
        duties: Vec::new(),
        slow_start_window_s: 4.0,
        log_level: "info",
        fleet_toml: format!("members = {member_count}\n"),
        extra_toml: format!(
            "[[fleet.budget]]\nname = \"tenant\"\nkind = \"held\"\nwhole = {HELD_TOTAL}\nfloor = 2\n\
             [[fleet.budget]]\nname = \"retries\"\nkind = \"rate\"\nwhole = {RATE_TOTAL}\nfloor = 2\nwindow = \"1s\"\n"
        ),
    }
}

/// Callers that hold units of the held budget and, with `uses_rate`, also use units of the rate budget.
fn workload_spec(uses_rate: bool) -> WorkloadSpec {
    WorkloadSpec {
        workers_per_member: WORKERS_PER_MEMBER,
        held_budget: "tenant".into(),
        hold_time: Duration::from_millis(60),
        greedy: false,
        rate_budget: uses_rate.then(|| "retries".into()),
    }
}

fn wait_for_all_members_live(fleet: &FleetHarness) {
    fleet.wait_until("all members are live", |fleet| {
        let view = fleet
            .fetch_view(0)
            .filter(|view| view["majority"] == true)?;
        (count_live_members(&view) == Some(fleet.member_count())).then_some(())
    });
}

/// Pseudo-random numbers, the same on every run.
struct PseudoRandom(u64);

impl PseudoRandom {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.0 >> 33) % bound
    }
}

#[test]
fn shares_follow_demand_from_one_proxy_to_another() {
    let fleet = FleetHarness::start(fleet_spec(3, 2));
    wait_for_all_members_live(&fleet);
    let workload = BudgetWorkload::start(&fleet, &workload_spec(false));
    // The floors of five members, two units each, are reserved; one member can get all the rest.
    for busy_member in [4, 1] {
        (0..5).for_each(|member| {
            workload.set_active_workers(
                member,
                if member == busy_member {
                    WORKERS_PER_MEMBER
                } else {
                    0
                },
            )
        });
        let started_at = Instant::now();
        while workload.stats.lock().unwrap().units_in_use() < 18 {
            assert!(
                started_at.elapsed() < Duration::from_secs(10),
                "{}",
                fleet.merged_log()
            );
            thread::sleep(Duration::from_millis(5));
        }
        // A static even division would allow 12 units here, regardless of the machine's other load.
        fleet.wait_until(
            "more units are in use than a static division allows",
            |_| (workload.mean_units_in_use(Duration::from_millis(800)) > 12.5).then_some(()),
        );
    }
    let stats = workload.stop();
    assert!(stats.max_in_use <= HELD_TOTAL && stats.max_uses_within(WINDOW) <= RATE_TOTAL);
}

#[test]
fn use_never_exceeds_the_budgets_through_a_hundred_faults() {
    let mut fleet = FleetHarness::start(fleet_spec(3, 2));
    wait_for_all_members_live(&fleet);
    let workload = BudgetWorkload::start(&fleet, &workload_spec(true));
    let mut random = PseudoRandom(7);
    let (mut stopped, mut faults) = (BTreeSet::new(), 0);
    while faults < 100 {
        let member = random.below(5) as usize;
        match random.below(8) {
            0 if !stopped.contains(&member) => {
                fleet.kill_member(member);
                // The connections of the killed process end with it, and so does their use of units.
                workload.stats.lock().unwrap().held_units.remove(&member);
                fleet.start_member(member);
            }
            1 | 2 if stopped.len() < 2 && stopped.insert(member) => {
                fleet.send_signal(member, "-STOP")
            }
            3 => {
                let others: Vec<usize> = (0..5).filter(|other| *other != member).collect();
                fleet.set_links_between(
                    &[member],
                    &others,
                    [LinkMode::Reset, LinkMode::Stall, LinkMode::Blackhole]
                        [random.below(3) as usize],
                );
            }
            4 => {
                let other = (member + 1 + random.below(4) as usize) % 5;
                fleet.set_link(member, other, LinkMode::Delay(Duration::from_millis(50)));
            }
            5 => fleet.heal_links(),
            6 => {
                for member in std::mem::take(&mut stopped) {
                    fleet.send_signal(member, "-CONT");
                }
                fleet.heal_links();
            }
            _ => (0..5).for_each(|other| {
                workload.set_active_workers(
                    other,
                    if other == member {
                        WORKERS_PER_MEMBER
                    } else {
                        6
                    },
                )
            }),
        }
        faults += 1;
        thread::sleep(Duration::from_millis(100));
    }
    stopped
        .into_iter()
        .for_each(|member| fleet.send_signal(member, "-CONT"));
    fleet.heal_links();
    (0..5).for_each(|member| workload.set_active_workers(member, WORKERS_PER_MEMBER));
    wait_for_all_members_live(&fleet);
    // After the faults the budget is divided again.
    let healed_at = Instant::now();
    while workload.stats.lock().unwrap().units_in_use() <= HELD_TOTAL / 2 {
        assert!(
            healed_at.elapsed() < Duration::from_secs(10),
            "{}",
            fleet.merged_log()
        );
        thread::sleep(Duration::from_millis(5));
    }
    let mut stats = workload.stop();
    let max_in_window = stats.max_uses_within(WINDOW);
    println!(
        "most at once {} of {HELD_TOTAL}, in a window {max_in_window} of {RATE_TOTAL}, {} refused",
        stats.max_in_use, stats.refused
    );
    assert!(
        stats.max_in_use <= HELD_TOTAL,
        "{} of {HELD_TOTAL}\n{}",
        stats.max_in_use,
        fleet.merged_log()
    );
    assert!(
        max_in_window <= RATE_TOTAL,
        "{max_in_window} of {RATE_TOTAL}\n{}",
        fleet.merged_log()
    );
    assert!(
        stats.max_in_use > HELD_TOTAL / 2 && max_in_window > RATE_TOTAL / 4 && stats.refused > 0,
        "the load was too low to exhaust the budgets"
    );
    // The check itself must detect a single unit too many.
    for token in 0..=HELD_TOTAL as u64 {
        stats.record_acquired(9, u64::MAX - token);
    }
    let now = Instant::now();
    stats.rate_uses = vec![(now, now); RATE_TOTAL + 1];
    assert!(stats.max_in_use > HELD_TOTAL && stats.max_uses_within(WINDOW) > RATE_TOTAL);
}

/// Opens a connection of the class that has the budget. Returns the client's side and the server's side, or `None` if
/// the proxy refused the client with a retry time. Only a received answer counts as a refusal: an attempt that reaches
/// the server late on a busy machine is served too, and is not left over for the next client. Both failures were
/// observed: the server read lines 250 ms and more after the client had written them, the test did not serve them, and
/// the next client's `UP` went to the previous client.
fn open_client(
    fleet: &FleetHarness,
    proxy: usize,
    id: &mut u64,
) -> Option<(LineConnection, LineConnection)> {
    let mut client = LineConnection::connect(fleet.client_addr(proxy));
    *id += 1;
    client.send_line(&format!("OPEN {id:016x} 7f3a9c21e0b4d655 c=watch,d=2000"));
    if let Some((line, mut conn)) = fleet.server.next_open_unless(|| client.has_unread()) {
        assert!(line.contains(&format!("{id:016x}")), "{line} for {id:016x}");
        conn.send_line("UP 77aa");
        assert_eq!(client.read_line(), "UP 77aa");
        return Some((client, conn));
    }
    let answer = client.read_line();
    let retry_after_ms = answer
        .strip_prefix("BUSY ")
        .and_then(|wait| wait.parse::<u64>().ok());
    assert!(retry_after_ms.is_some(), "{answer}");
    None
}

/// The balancer counts the clients of a class over three proxies, with demand at one proxy, then at another, and then
/// at one that is cut off from the fleet.
#[test]
fn clients_of_a_class_stay_within_the_budget_over_three_proxies() {
    let mut spec = fleet_spec(3, 0);
    spec.extra_toml = "[[fleet.budget]]\nname = \"class:watch\"\nof = \"class\"\nkind = \"held\"\nwhole = 12\nfloor = 1\n".into();
    let fleet = FleetHarness::start(spec);
    wait_for_all_members_live(&fleet);
    let (mut id, mut established) = (0x51c3_a9be_00d2_0000, Vec::new());
    // One proxy gets everything except the floors of the two others.
    let started_at = Instant::now();
    while established.len() < 10 {
        assert!(
            started_at.elapsed() < Duration::from_secs(10),
            "{} up\n{}",
            established.len(),
            fleet.merged_log()
        );
        established.extend(open_client(&fleet, 0, &mut id));
    }
    assert!(open_client(&fleet, 0, &mut id).is_none() && open_client(&fleet, 0, &mut id).is_none());
    // At another proxy the first client is admitted from the floor at once, and the second exceeds the budget.
    let other = open_client(&fleet, 1, &mut id).expect("the floor admits one client");
    assert!(open_client(&fleet, 1, &mut id).is_none());
    // Six clients disconnect; their units are reassigned to the proxy with demand.
    established.truncate(4);
    established.push(other);
    let started_at = Instant::now();
    while established.len() < 11 {
        assert!(
            started_at.elapsed() < Duration::from_secs(10),
            "{} up\n{}",
            established.len(),
            fleet.merged_log()
        );
        established.extend(open_client(&fleet, 1, &mut id));
    }
    // Cut off from the fleet, the proxy keeps its connections and admits no new client beyond its floor.
    fleet.set_links_between(&[1], &[0, 2], LinkMode::Blackhole);
    fleet.wait_until("the proxy reports the missing leader", |fleet| {
        fleet.log_contains(1, "nobody that leads").then_some(())
    });
    established.pop();
    assert!(open_client(&fleet, 1, &mut id).is_none());
    for (client, conn) in &mut established {
        conn.send_line("line");
        assert_eq!(client.read_line(), "line");
    }
    fleet.heal_links();
    let started_at = Instant::now();
    while established.len() < 11 {
        assert!(
            started_at.elapsed() < Duration::from_secs(10),
            "{} up\n{}",
            established.len(),
            fleet.merged_log()
        );
        established.extend(open_client(&fleet, 1, &mut id));
    }
    let view = fleet.wait_until("a view", |fleet| fleet.fetch_view(2));
    let budget = &view["budgets"][0];
    assert!(
        budget["name"] == "class:watch" && budget["whole"] == 12,
        "{budget}"
    );
}

/// Clients that open one connection after another and keep the established ones open.
struct OpenLoad {
    stop_requested: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl OpenLoad {
    /// Starts `clients` threads, spread over `proxies` in turn. Each request has a deadline of `deadline_ms`.
    fn start(fleet: &FleetHarness, clients: usize, proxies: &[usize], deadline_ms: u64) -> Self {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let client = |number: usize| {
            let (addr, stop_requested) = (
                fleet.client_addr(proxies[number % proxies.len()]),
                stop_requested.clone(),
            );
            thread::spawn(move || {
                let mut id = 0x51c3_a9be_00d2_0000 + ((number as u64) << 20);
                let mut established = Vec::new();
                while !stop_requested.load(Ordering::Relaxed) {
                    let mut client = LineConnection::connect(addr);
                    id += 1;
                    client.send_line(&format!(
                        "OPEN {id:016x} 7f3a9c21e0b4d655 c=watch,d={deadline_ms}"
                    ));
                    if client.read_line().starts_with("UP") {
                        established.push(client);
                    }
                }
            })
        };
        Self {
            clients: (0..clients).map(client).collect(),
            stop_requested,
        }
    }

    /// Stops all clients and waits for their threads.
    fn stop(self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        self.clients
            .into_iter()
            .for_each(|client| client.join().unwrap());
    }
}

/// One write of an `OPEN` line to a server, as logged by the proxy. Times are in microseconds of CLOCK_MONOTONIC.
#[derive(Clone, Debug)]
struct LineWrite {
    node: usize,
    /// When the balancer decided the attempt; 0 if the log has no decision.
    decided_us: u64,
    start_us: u64,
    end_us: u64,
    id: String,
}

/// All writes of `OPEN` lines in the proxies' logs, each with the latest decision before it.
fn collect_line_writes(fleet: &FleetHarness) -> Vec<LineWrite> {
    let time_us = |line: &Value, key: &str| line[key].as_u64().expect("a time in microseconds");
    let decision_lines = fleet.log_lines_containing("attempt decided");
    let write_lines = fleet.log_lines_containing("line written").into_iter();
    let writes = write_lines.map(|(node, line)| {
        let start_us = time_us(&line, "write_start_us");
        let earlier_decisions = decision_lines.iter().filter(|(logged_by, decision)| {
            *logged_by == node
                && decision["request"] == line["request"]
                && time_us(decision, "at_us") <= start_us
        });
        LineWrite {
            node,
            decided_us: earlier_decisions
                .map(|(_, decision)| time_us(decision, "at_us"))
                .max()
                .unwrap_or(0),
            start_us,
            end_us: time_us(&line, "write_end_us"),
            id: line["id"].as_str().expect("an id").into(),
        }
    });
    writes.collect()
}

/// The largest number of these times, in microseconds, that lie within one window.
fn max_in_window(times_us: &[u64]) -> usize {
    let window_us = WINDOW.as_micros() as u64;
    let count_from = |from: u64| {
        let is_inside = |time_us: &&u64| (from..from + window_us).contains(*time_us);
        times_us.iter().filter(is_inside).count()
    };
    times_us
        .iter()
        .map(|from| count_from(*from))
        .max()
        .unwrap_or(0)
}

/// The largest number of writes that began within one window. Operators count the same way: a send counts from its
/// first byte.
fn max_writes_in_window(writes: &[LineWrite]) -> usize {
    let starts: Vec<u64> = writes.iter().map(|write| write.start_us).collect();
    max_in_window(&starts)
}

/// Fails if the server read a line that no proxy logged as written, or read it before its write began.
fn assert_all_arrivals_logged(fleet: &FleetHarness, writes: &[LineWrite]) {
    for arrival in fleet.server.arrivals() {
        let write = writes.iter().find(|write| arrival.line.contains(&write.id));
        assert!(
            write.is_some_and(|write| write.start_us <= arrival.read_us),
            "no earlier write of {arrival:?} is in the log"
        );
    }
}

/// Formats every attempt with the times of its decision, its write and its read by the server.
fn format_attempts(fleet: &FleetHarness) -> String {
    let arrivals = fleet.server.arrivals();
    let writes = collect_line_writes(fleet);
    let origin_us = writes.iter().map(|write| write.start_us).min().unwrap_or(0) as i64;
    let relative_ms = |time_us: u64| (time_us as i64 - origin_us) as f64 / 1000.0;
    let format_line = |write: &LineWrite| {
        let arrival = arrivals
            .iter()
            .find(|arrival| arrival.line.contains(&write.id));
        let read = arrival.map(|arrival| relative_ms(arrival.read_us));
        format!(
            "node {}, {}: decided {:.1} ms, written {:.1} to {:.1} ms, read by the server {read:.1?} ms\n",
            write.node,
            write.id,
            relative_ms(write.decided_us),
            relative_ms(write.start_us),
            relative_ms(write.end_us)
        )
    };
    writes.iter().map(format_line).collect()
}

/// A cold server and its probes while clients load all three proxies at once. Lines are counted from the start of their
/// write, as operators count them. Times taken by the test's thread were late by up to 100 ms beside other tests: it
/// then counted 5 of 4 allowed lines in a window, where in any window the proxies had written four and the server had
/// read four.
#[test]
fn a_cold_server_gets_no_more_than_its_budget_from_three_proxies() {
    const COLD_TOTAL: usize = 4;
    const PROBE_TOTAL: usize = 6;
    let mut spec = fleet_spec(3, 0);
    spec.log_level = "debug";
    spec.extra_toml = format!(
        "[[fleet.budget]]\nname = \"cold\"\nof = \"cold\"\nkind = \"rate\"\nwhole = {COLD_TOTAL}\nwindow = \"1s\"\n\
         [[fleet.budget]]\nname = \"probes\"\nof = \"probes\"\nkind = \"rate\"\nwhole = {PROBE_TOTAL}\nfloor = 1\nwindow = \"1s\"\n"
    );
    let fleet = FleetHarness::start(spec);
    wait_for_all_members_live(&fleet);
    fleet.mark_server_restarted();
    for proxy in 0..3 {
        // A proxy treats the server as warm until it has received the list with the restart.
        fleet.wait_until("the proxy has received the list", |fleet| {
            fleet
                .log_contains(proxy, "\"message\":\"list\",\"version\":2")
                .then_some(())
        });
    }
    let load = OpenLoad::start(&fleet, 9, &[0, 1, 2], 500);
    let (started_at, mut conns) = (Instant::now(), Vec::new());
    while started_at.elapsed() < Duration::from_millis(3500) {
        let poll_until = Instant::now() + Duration::from_millis(20);
        if let Some((_, mut conn)) = fleet
            .server
            .next_open_unless(|| Instant::now() > poll_until)
        {
            conn.send_line("UP 77aa");
            conns.push(conn);
        }
    }
    load.stop();
    drop(conns);
    let writes = collect_line_writes(&fleet);
    let probes = fleet.server.probe_times();
    let first_probe = *probes.first().expect("the server was not probed");
    let since_first = |time: &Instant| time.duration_since(first_probe).as_micros() as u64;
    let probes: Vec<u64> = probes.iter().map(since_first).collect();
    println!(
        "{} lines, {} of {COLD_TOTAL} in a window; {} probes, {} of {PROBE_TOTAL} in a window",
        writes.len(),
        max_writes_in_window(&writes),
        probes.len(),
        max_in_window(&probes)
    );
    assert_all_arrivals_logged(&fleet, &writes);
    assert!(
        max_writes_in_window(&writes) <= COLD_TOTAL && max_in_window(&probes) <= PROBE_TOTAL,
        "{}\n{}",
        format_attempts(&fleet),
        fleet.merged_log()
    );
    assert!(
        writes.len() >= 4 && max_in_window(&probes) >= 3,
        "{}",
        fleet.merged_log()
    );
    // The count itself must detect one line too many.
    assert!(max_in_window(&[0; COLD_TOTAL + 1]) > COLD_TOTAL);
}

/// Guards against units at a cold server that are counted from the attempt's decision instead of the write of its line.
/// For a while a proxy has no buffers for new connections, so decided attempts are delayed in `connect`. Then all of
/// them are sent together, and as many again one window after their decisions, which is only a few hundred milliseconds
/// later. On a busy machine, without any fault, a delay of 110 ms was observed between the two ("attempt decided" at
/// -111.3 ms, "line written" at -0.9 ms, the same unit used again at 963 ms), and with it 5 of 4 allowed lines in a
/// window.
#[test]
fn a_cold_server_gets_no_more_than_its_budget_when_connects_are_delayed() {
    const COLD_TOTAL: usize = 2;
    let mut spec = fleet_spec(3, 0);
    spec.log_level = "debug";
    spec.extra_toml = format!(
        "[[fleet.budget]]\nname = \"cold\"\nof = \"cold\"\nkind = \"rate\"\nwhole = {COLD_TOTAL}\nwindow = \"1s\"\n"
    );
    let mut fleet = FleetHarness::start(spec);
    wait_for_all_members_live(&fleet);
    fleet.kill_member(0);
    fleet.start_member_with_faults(0, "");
    wait_for_all_members_live(&fleet);
    let cold_from_us = monotonic_us();
    fleet.mark_server_restarted();
    fleet.wait_until("the proxy has received the list", |fleet| {
        let list_lines = fleet.log_lines_containing("list").into_iter();
        let mut list_lines = list_lines.filter(|(node, line)| *node == 0 && line["version"] == 2);
        list_lines.next().map(|_| ())
    });
    let load = OpenLoad::start(&fleet, 8, &[0], 2000);
    let mut conns = Vec::new();
    let mut serve_until = |is_done: &dyn Fn() -> bool| {
        let started_at = Instant::now();
        while !is_done() {
            assert!(
                started_at.elapsed() < Duration::from_secs(10),
                "{}",
                fleet.merged_log()
            );
            let poll_until = Instant::now() + Duration::from_millis(10);
            if let Some((_, mut conn)) = fleet
                .server
                .next_open_unless(|| Instant::now() > poll_until)
            {
                conn.send_line("UP 77aa");
                conns.push(conn);
            }
        }
    };
    let after = |delay: Duration| {
        let end = Instant::now() + delay;
        move || Instant::now() > end
    };
    serve_until(&|| !fleet.server.arrivals().is_empty());
    fleet.set_faults(0, "fail connect ENOBUFS 1000");
    let faulty_from_us = monotonic_us();
    // Wait until an attempt that was decided since then has been delayed for a while; each is given up after 0.4 s.
    serve_until(&|| {
        let decisions = fleet.log_lines_containing("attempt decided").into_iter();
        let decided_us = decisions.filter_map(|(_, line)| line["at_us"].as_u64());
        let latest_us = decided_us.filter(|time_us| *time_us > faulty_from_us).max();
        latest_us.is_some_and(|time_us| (120_000..220_000).contains(&(monotonic_us() - time_us)))
    });
    fleet.set_faults(0, "");
    serve_until(&after(Duration::from_millis(1200)));
    load.stop();
    let writes = collect_line_writes(&fleet);
    let delayed = writes
        .iter()
        .filter(|write| write.start_us - write.decided_us > 100_000);
    assert!(
        delayed.count() > 0,
        "no connect was delayed\n{}\n{}",
        format_attempts(&fleet),
        fleet.merged_log()
    );
    assert_all_arrivals_logged(&fleet, &writes);
    let mut cold_writes = writes;
    cold_writes.retain(|write| write.end_us < cold_from_us + 4_000_000);
    let max_writes = max_writes_in_window(&cold_writes);
    assert!(
        max_writes <= COLD_TOTAL,
        "{max_writes} of {COLD_TOTAL}\n{}",
        format_attempts(&fleet)
    );
}

/// The held budget as lines of the operator's file.
fn held_budget_toml(total: usize, version: u32) -> String {
    format!(
        "[[fleet.budget]]\nname = \"tenant\"\nkind = \"held\"\nwhole = {total}\nfloor = 1\nversion = {version}\n"
    )
}

/// The total of the held budget that is in force, if the fleet has the budget.
fn total_in_force(fleet: &FleetHarness) -> Option<u64> {
    let view = fleet
        .fetch_view(0)
        .filter(|view| view["majority"] == true)?;
    let budgets = view["budgets"].as_array()?.clone();
    let budget = budgets.iter().find(|budget| budget["name"] == "tenant")?;
    budget["whole"].as_u64()
}

/// The budgets in the fleet's view and the callers' counts, for the message of a failed test.
fn format_state(fleet: &FleetHarness, workload: &BudgetWorkload) -> String {
    let view = fleet.fetch_view(0);
    let budgets = view.map(|view| format!("majority {}: {}", view["majority"], view["budgets"]));
    let stats = workload.stats.lock().unwrap();
    let units: Vec<usize> = stats.held_units.values().map(|units| units.len()).collect();
    format!(
        "{budgets:?}, units by member {units:?}, {} unanswered, {} not released",
        stats.unanswered, stats.failed_releases
    )
}

/// Waits until `total` is in force and no more than that is allocated.
fn wait_until_total_in_force(
    fleet: &FleetHarness,
    workload: &BudgetWorkload,
    what: &str,
    total: usize,
) {
    let started_at = Instant::now();
    let is_done =
        || Some(total_in_force(fleet)? == total as u64 && allocated_units(fleet)? <= total as u64);
    while is_done() != Some(true) {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "{what}: not within {WAIT_TIMEOUT:?}, {}\n{}",
            format_state(fleet, workload),
            fleet.merged_log()
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// The units of the held budget that are allocated according to the fleet's log. They exceed the total in force while
/// members have not reduced their shares yet.
fn allocated_units(fleet: &FleetHarness) -> Option<u64> {
    let view = fleet
        .fetch_view(0)
        .filter(|view| view["majority"] == true)?;
    let budgets = view["budgets"].as_array()?.clone();
    let budget = budgets.iter().find(|budget| budget["name"] == "tenant")?;
    let units = |key: &str| budget[key].as_u64();
    Some(units("floors")? + units("shared")? + units("stranded")?)
}

/// Kills a member and starts it with other budget lines in its operator's file.
fn restart_with_budget(
    fleet: &mut FleetHarness,
    workload: &BudgetWorkload,
    member: usize,
    lines: &str,
) {
    fleet.kill_member(member);
    workload.stats.lock().unwrap().held_units.remove(&member);
    fleet.set_extra_toml(member, lines);
    fleet.start_member(member);
}

/// Changed operator's files that reach one process after another while all members are under load: the total is lowered
/// to a tenth while it is in use, files of the same version disagree, and the budget is removed from all files and
/// added again.
#[test]
fn a_whole_follows_files_that_come_one_by_one() {
    let mut spec = fleet_spec(3, 2);
    spec.extra_toml = held_budget_toml(HELD_TOTAL, 1);
    let mut fleet = FleetHarness::start(spec);
    wait_for_all_members_live(&fleet);
    let workload = BudgetWorkload::start(&fleet, &workload_spec(false));
    (0..5).for_each(|member| workload.set_active_workers(member, 14));
    let units_in_use = |workload: &BudgetWorkload| workload.stats.lock().unwrap().units_in_use();
    let wait_until = |fleet: &FleetHarness, what: &str, is_done: &dyn Fn() -> bool| {
        fleet.wait_until(what, |_| is_done().then_some(()));
    };
    wait_until(&fleet, "most units are in use", &|| {
        units_in_use(&workload) > HELD_TOTAL / 2
    });
    // The file of one member lowers the total for the whole fleet.
    restart_with_budget(
        &mut fleet,
        &workload,
        4,
        &held_budget_toml(HELD_TOTAL / 10, 2),
    );
    wait_until_total_in_force(
        &fleet,
        &workload,
        "the lower total is in force",
        HELD_TOTAL / 10,
    );
    wait_until(&fleet, "units above the total are released", &|| {
        units_in_use(&workload) <= HELD_TOTAL / 10
    });
    workload.stats.lock().unwrap().max_in_use = 0;
    wait_until(&fleet, "some units are in use", &|| {
        workload.mean_units_in_use(Duration::from_millis(500)) > 1.0
    });
    let max_in_use = workload.stats.lock().unwrap().max_in_use;
    assert!(max_in_use <= HELD_TOTAL / 10, "{max_in_use}");
    // One file raises the total, another file of the same version has a lower one: the lower one applies to all
    // members.
    restart_with_budget(&mut fleet, &workload, 3, &held_budget_toml(HELD_TOTAL, 3));
    fleet.wait_until("the higher total is in force", |fleet| {
        (total_in_force(fleet)? == HELD_TOTAL as u64).then_some(())
    });
    restart_with_budget(&mut fleet, &workload, 2, &held_budget_toml(20, 3));
    wait_until_total_in_force(
        &fleet,
        &workload,
        "the lower of the two totals is in force",
        20,
    );
    wait_until(&fleet, "units above the total are released", &|| {
        units_in_use(&workload) <= 20
    });
    workload.stats.lock().unwrap().max_in_use = 0;
    wait_until(&fleet, "many units are in use", &|| {
        workload.mean_units_in_use(Duration::from_millis(500)) > 8.0
    });
    let max_in_use = workload.stats.lock().unwrap().max_in_use;
    assert!(max_in_use <= 20, "{max_in_use}");
    // Removed from all files, the budget is deleted and calls for it are refused; added again, it is divided again.
    for member in 0..5 {
        workload.set_active_workers(member, 0);
        restart_with_budget(&mut fleet, &workload, member, "");
        wait_for_all_members_live(&fleet);
    }
    fleet.wait_until("the budget is deleted", |fleet| {
        let view = fleet
            .fetch_view(0)
            .filter(|view| view["majority"] == true)?;
        view["budgets"].as_array()?.is_empty().then_some(())
    });
    for member in 0..5 {
        restart_with_budget(
            &mut fleet,
            &workload,
            member,
            &held_budget_toml(HELD_TOTAL, 1),
        );
        workload.set_active_workers(member, 14);
    }
    wait_for_all_members_live(&fleet);
    wait_until(&fleet, "most units are in use again", &|| {
        units_in_use(&workload) > HELD_TOTAL / 2
    });
    let stats = workload.stop();
    assert!(
        stats.max_in_use <= HELD_TOTAL,
        "{} of {HELD_TOTAL}\n{}",
        stats.max_in_use,
        fleet.merged_log()
    );
}

/// Forty processes with demand from their start on, of which 37 are terminated within a second.
#[test]
fn forty_members_come_and_go_within_a_whole() {
    let mut spec = fleet_spec(3, 37);
    spec.extra_toml = held_budget_toml(HELD_TOTAL, 1);
    let fleet = FleetHarness::start(spec);
    let two_workers = WorkloadSpec {
        workers_per_member: 2,
        ..workload_spec(false)
    };
    let workload = BudgetWorkload::start(&fleet, &two_workers);
    (0..40).for_each(|member| workload.set_active_workers(member, 2));
    wait_for_all_members_live(&fleet);
    fleet.wait_until("more than 30 units are in use", |_| {
        (workload.stats.lock().unwrap().units_in_use() > 30).then_some(())
    });
    for member in 3..40 {
        fleet.send_signal(member, "-TERM");
    }
    fleet.wait_until("three members are left", |fleet| {
        let view = fleet
            .fetch_view(0)
            .filter(|view| view["majority"] == true)?;
        (count_live_members(&view) == Some(3)).then_some(())
    });
    // The shares of the terminated members are reassigned to the others, however many units were held at termination.
    (0..3).for_each(|member| workload.set_active_workers(member, 2));
    let stats = workload.stop();
    assert!(
        stats.max_in_use <= HELD_TOTAL && stats.max_in_use > 30,
        "{} of {HELD_TOTAL}\n{}",
        stats.max_in_use,
        fleet.merged_log()
    );
}

/// Guards against a client with a deadline of 2 s that is refused although the fleet has free units, because the
/// leader's answer takes 0.3 to 0.6 s: the proxy waited 300 ms from the client's arrival, whatever the state of the
/// exchange with the leader.
#[test]
fn a_client_waits_for_a_slow_exchange_with_the_leader() {
    let mut spec = fleet_spec(3, 0);
    spec.log_level = "debug";
    // Far above the delay, so that heartbeats arrive in time and answers within the lease.
    (spec.lease_ms, spec.election_timeout_ms) = (4000, 1000);
    spec.extra_toml = "[[fleet.budget]]\nname = \"class:watch\"\nof = \"class\"\nkind = \"held\"\nwhole = 12\nfloor = 1\n".into();
    let fleet = FleetHarness::start(spec);
    wait_for_all_members_live(&fleet);
    let leader = fleet.wait_until("a leader is known", |fleet| {
        let view = fleet
            .fetch_view(0)
            .filter(|view| view["majority"] == true)?;
        (0..3).find(|member| view["leader"] == node_name(*member).as_str())
    });
    let follower = (leader + 1) % 3;
    let delay = LinkMode::Delay(Duration::from_millis(150));
    fleet.set_links_between(&[follower], &[leader], delay);
    let (mut id, mut established) = (0x51c3_a9be_00d2_0000, Vec::new());
    // The first client uses the floor, the second needs a unit from the leader.
    for number in 0..2 {
        let served = open_client(&fleet, follower, &mut id);
        established.push(
            served.unwrap_or_else(|| panic!("client {number} was refused\n{}", fleet.merged_log())),
        );
    }
}

/// Without other demand and with free units in the fleet, a client beyond its proxy's share waits for one exchange with
/// the leader and is served, not refused, until all units are allocated.
#[test]
fn a_client_that_one_exchange_with_the_leader_can_serve_is_not_refused() {
    let mut spec = fleet_spec(3, 0);
    spec.log_level = "debug";
    spec.extra_toml = "[[fleet.budget]]\nname = \"class:watch\"\nof = \"class\"\nkind = \"held\"\nwhole = 12\nfloor = 1\n".into();
    let fleet = FleetHarness::start(spec);
    wait_for_all_members_live(&fleet);
    let (mut id, mut established) = (0x51c3_a9be_00d2_0000, Vec::new());
    for number in 0..10 {
        let served = open_client(&fleet, 0, &mut id);
        established.push(
            served.unwrap_or_else(|| panic!("client {number} was refused\n{}", fleet.merged_log())),
        );
    }
    // The remaining units are the floors of the two others. After a few answers without units, clients are refused at
    // once.
    fleet.wait_until("a client is refused at once", |fleet| {
        let mut client = LineConnection::connect(fleet.client_addr(0));
        id += 1;
        let sent = Instant::now();
        client.send_line(&format!("OPEN {id:016x} 7f3a9c21e0b4d655 c=watch,d=2000"));
        assert!(client.read_line().starts_with("BUSY "));
        (sent.elapsed() < Duration::from_millis(100)).then_some(())
    });
}

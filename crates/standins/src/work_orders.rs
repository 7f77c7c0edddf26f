//! Work orders on machines, tested from outside: clients that reconnect when they are moved, simulated operators that
//! poll the orders and report finished work, and checks of the promised invariants according to the machine's clock.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::budget_workload::call_management;
use crate::echo_server::{EchoServer, Visit};
use crate::fleet_harness::{FleetHarness, FleetSpec, count_live_members, node_name};
use crate::{boottime_ms, target_row};

/// How long a client waits for its final answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Counters of the clients' observations.
#[derive(Debug, Default)]
pub struct ClientStats {
    /// `OPEN` lines written or attempted.
    pub requests: AtomicU64,
    /// Answers `UP`.
    pub established: AtomicU64,
    /// Answers `BUSY`.
    pub refused: AtomicU64,
    /// Any other answer.
    pub failed: AtomicU64,
    /// Connections ended by `MOVE`.
    pub moved: AtomicU64,
    /// Connections that ended without `MOVE`, except those of excused proxies.
    pub dropped: AtomicU64,
    /// Requests without a final answer in time, except those to excused proxies.
    pub lost: AtomicU64,
    /// Second answers to a request that had got `UP`.
    pub duplicate_answers: AtomicU64,
    stopping: AtomicBool,
    /// Indices of proxies that are killed, stopped or ended, whose requests may be dropped or lost.
    excused_proxies: Mutex<BTreeSet<usize>>,
}

/// Running clients.
pub struct ClientPool {
    pub stats: Arc<ClientStats>,
    threads: Vec<thread::JoinHandle<()>>,
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl ClientPool {
    /// Starts clients, each of which connects to the next proxy for each request.
    pub fn start(proxies: Vec<SocketAddr>, clients: usize) -> Self {
        let stats = Arc::new(ClientStats::default());
        let threads = (0..clients).map(|number| {
            let (stats, proxies) = (stats.clone(), proxies.clone());
            thread::spawn(move || {
                let mut attempt = number;
                while !stats.stopping.load(Ordering::Relaxed) {
                    attempt += 1;
                    run_request(number, attempt, &proxies, &stats);
                    thread::sleep(Duration::from_millis(20 + number as u64 % 30));
                }
            })
        });
        let threads = threads.collect();
        Self { stats, threads }
    }

    /// Excludes the requests of a proxy from `dropped` and `lost`, or includes them again.
    pub fn set_proxy_excused(&self, proxy: usize, excused: bool) {
        let mut excused_proxies = self.stats.excused_proxies.lock().unwrap();
        match excused {
            true => excused_proxies.insert(proxy),
            false => excused_proxies.remove(&proxy),
        };
    }

    /// Waits for the clients to end, and returns their counters.
    pub fn stop(self) -> Arc<ClientStats> {
        self.stats.stopping.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
        self.stats
    }
}

/// Sends one request, and exchanges messages on its connection until it is moved or ends.
fn run_request(number: usize, attempt: usize, proxies: &[SocketAddr], stats: &ClientStats) {
    let proxy = attempt % proxies.len();
    let is_excused = || stats.excused_proxies.lock().unwrap().contains(&proxy);
    let was_excused = is_excused();
    let Ok(stream) = TcpStream::connect_timeout(&proxies[proxy], Duration::from_millis(300)) else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(ANSWER_TIMEOUT));
    let mut writer = stream.try_clone().expect("the socket cannot be cloned");
    let mut reader = BufReader::new(stream);
    let id = (proxy as u64) << 48 | (number as u64) << 24 | attempt as u64;
    increment(&stats.requests);
    let open_line = format!("OPEN {id:016x} {number:016x} c=watch,d=2000\r\n");
    let mut line = String::new();
    let answered = writer.write_all(open_line.as_bytes()).is_ok()
        && reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0);
    match line.split_whitespace().next() {
        Some("UP") => increment(&stats.established),
        Some("BUSY") => increment(&stats.refused),
        _ if answered => increment(&stats.failed),
        _ if was_excused || is_excused() => {}
        _ => increment(&stats.lost),
    }
    if !line.starts_with("UP ") {
        return;
    }
    let _ = reader
        .get_ref()
        .set_read_timeout(Some(Duration::from_secs(30)));
    while !stats.stopping.load(Ordering::Relaxed) {
        line.clear();
        let is_sent = writer.write_all(b"SAY on\r\n").is_ok();
        let is_received = is_sent && reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0);
        match line.split_whitespace().next() {
            _ if !is_received => {
                if !is_excused() {
                    increment(&stats.dropped);
                }
                return;
            }
            Some("MOVE") => return increment(&stats.moved),
            Some("UP" | "BUSY" | "ERR") => return increment(&stats.duplicate_answers),
            _ => {}
        }
        thread::sleep(Duration::from_millis(40));
    }
}

/// The index of the proxy that a connection came through, which the client put into its id from bit 48 up;
/// `usize::MAX` for any other id.
fn proxy_of_visit(visit: &Visit) -> usize {
    u64::from_str_radix(&visit.id, 16).map_or(usize::MAX, |id| (id >> 48) as usize)
}

/// A period in which a machine was empty: from the time at which the operators saw it in phase `empty` to the time at
/// which they reported its work as done, in milliseconds of CLOCK_BOOTTIME.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Emptied {
    pub machine: String,
    pub from: u64,
    pub until: u64,
}

/// Simulated operators: they poll the proxies in turn, work on empty machines, and report the work as done.
pub struct SimulatedOperators {
    stopping: Arc<AtomicBool>,
    pub emptied: Arc<Mutex<Vec<Emptied>>>,
    thread: thread::JoinHandle<()>,
}

/// Fetches a proxy's view of the orders; none unless the view is confirmed by the fleet's leader.
pub fn fetch_work_orders(at: SocketAddr) -> Option<Value> {
    let view = call_management(at, "FLEET WORK")?;
    let view: Value = serde_json::from_str(view.strip_prefix("200 ")?).ok()?;
    (view["settled"] == true).then_some(view)
}

/// Names of the machines of a view that are in a phase.
pub fn machines_in_phase(view: &Value, phase: &str) -> Vec<String> {
    let orders = view["orders"].as_array().into_iter().flatten();
    let machines = orders.flat_map(|order| order["machines"].as_array().into_iter().flatten());
    let matching = machines.filter(|machine| machine["phase"] == phase);
    matching
        .filter_map(|machine| Some(machine["name"].as_str()?.to_string()))
        .collect()
}

impl SimulatedOperators {
    /// Starts operators who poll the management addresses `at`, and whose work on a machine takes `work_duration`.
    pub fn start(at: Vec<SocketAddr>, work_duration: Duration) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let emptied: Arc<Mutex<Vec<Emptied>>> = Arc::default();
        let (is_stopping, periods_clone) = (stopping.clone(), emptied.clone());
        let thread = thread::spawn(move || {
            let mut poll_count = 0;
            let mut empty_since: BTreeMap<String, u64> = BTreeMap::new();
            while !is_stopping.load(Ordering::Relaxed) {
                poll_count += 1;
                thread::sleep(Duration::from_millis(10));
                let Some(view) = fetch_work_orders(at[poll_count % at.len()]) else {
                    continue;
                };
                let now = boottime_ms();
                let empty_machines = machines_in_phase(&view, "empty");
                empty_since.retain(|machine, _| empty_machines.contains(machine));
                for machine in empty_machines {
                    let from = *empty_since.entry(machine.clone()).or_insert(now);
                    if now < from + work_duration.as_millis() as u64 {
                        continue;
                    }
                    // The machine may return to service once the report is sent, whether or not its answer arrives.
                    let until = boottime_ms();
                    call_management(
                        at[poll_count % at.len()],
                        &format!("FLEET WORK DONE {machine}"),
                    );
                    let mut periods = periods_clone.lock().unwrap();
                    match periods
                        .iter_mut()
                        .find(|period| period.machine == machine && period.from == from)
                    {
                        Some(_) => {}
                        None => periods.push(Emptied {
                            machine,
                            from,
                            until,
                        }),
                    }
                }
            }
        });
        Self {
            stopping,
            emptied,
            thread,
        }
    }

    /// Waits for the operators to end, and returns the periods in which machines were empty.
    pub fn stop(self) -> Vec<Emptied> {
        self.stopping.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
        self.emptied.lock().unwrap().clone()
    }
}

/// A period in which a proxy treated a machine as out, in milliseconds of CLOCK_BOOTTIME.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Out {
    pub proxy: usize,
    pub machine: String,
    pub from: u64,
    pub until: u64,
}

/// Collects from the proxies' logs the periods in which machines were out.
pub fn collect_out_intervals(fleet: &FleetHarness) -> Vec<Out> {
    let mut open_intervals: BTreeMap<(usize, String), Out> = BTreeMap::new();
    let mut intervals = Vec::new();
    for (proxy, line) in fleet.log_lines_containing("a machine by the orders for work") {
        let (Some(machine), Some(at)) = (line["machine"].as_str(), line["mono_ms"].as_u64()) else {
            continue;
        };
        let key = (proxy, machine.to_string());
        if line["out"] == true {
            // A new process logs it again after reading its file.
            open_intervals.entry(key).or_insert(Out {
                proxy,
                machine: machine.into(),
                from: at,
                until: u64::MAX,
            });
        } else if let Some(mut interval) = open_intervals.remove(&key) {
            interval.until = at;
            intervals.push(interval);
        }
    }
    intervals.extend(open_intervals.into_values());
    intervals
}

/// The highest number of machines that any proxies treated as out at one instant, and that instant.
pub fn max_machines_out(outs: &[Out]) -> (usize, u64) {
    let count_at = |moment: u64| {
        let out_then = outs
            .iter()
            .filter(|out| out.from <= moment && moment < out.until);
        let names: BTreeSet<&String> = out_then.map(|out| &out.machine).collect();
        names.len()
    };
    let counts = outs.iter().map(|out| (count_at(out.from), out.from));
    counts.max().unwrap_or_default()
}

/// Returns a line for each violation, headed by the name of the invariant. A machine's name is the part of its
/// servers' ids before the `/`.
pub fn find_work_violations(
    outs: &[Out],
    emptied: &[Emptied],
    servers: &[EchoServer],
    max_out: usize,
) -> Vec<String> {
    let mut violations = Vec::new();
    let (out_count, moment) = max_machines_out(outs);
    if out_count > max_out {
        violations.push(format!(
            "Never Too Many Out: {out_count} of {max_out} at {moment} ms"
        ));
    }
    // In ms: a server notices the end of a connection shortly after the proxy has ended it.
    let end_slack_ms = 100;
    for server in servers {
        let machine = server.uid.split('/').next().unwrap_or_default();
        for visit in server.visits() {
            for empty in emptied.iter().filter(|empty| empty.machine == machine) {
                if visit.from < empty.until && visit.until > empty.from + end_slack_ms {
                    violations.push(format!("Empty Means Empty: {empty:?} has {visit:?}"));
                }
            }
            let violated = outs.iter().find(|out| {
                out.machine == machine
                    && out.proxy == proxy_of_visit(&visit)
                    && visit.from > out.from + 300
                    && visit.from < out.until
            });
            if let Some(out) = violated {
                violations.push(format!("Drain Kept: {out:?} and then {visit:?}"));
            }
        }
        let periods = emptied.iter().filter(|empty| empty.machine == machine);
        if periods.count() > 1 {
            violations.push(format!(
                "Once: {machine} was reported as empty again: {emptied:?}"
            ));
        }
    }
    violations
}

/// The proxies' addresses for clients, in the order of the members.
pub fn client_addrs(fleet: &FleetHarness) -> Vec<SocketAddr> {
    (0..fleet.member_count())
        .map(|at| fleet.client_addr(at))
        .collect()
}

/// The proxies' addresses for operators, in the order of the members.
pub fn management_addrs(fleet: &FleetHarness) -> Vec<SocketAddr> {
    (0..fleet.member_count())
        .map(|at| fleet.management_addr(at))
        .collect()
}

/// The index of the member that conducts the orders according to a view.
pub fn coordinator_index(fleet: &FleetHarness, view: &Value) -> Option<usize> {
    (0..fleet.member_count()).find(|at| view["conductor"] == node_name(*at).as_str())
}

/// A fleet whose members store in a file which machines are out, and machines of one server each in three zones.
pub struct WorkOrderHarness {
    pub fleet: FleetHarness,
    pub servers: Vec<EchoServer>,
    program: PathBuf,
}

impl WorkOrderHarness {
    /// Starts a fleet of voters and other members, and machines; `lines` go into `[fleet.work]`. Returns once all
    /// members are listed as serving, so that each has to confirm the orders.
    pub fn start(
        program: PathBuf,
        (voters, others): (usize, usize),
        machines: usize,
        lines: &str,
    ) -> Self {
        let lines = format!(
            "[fleet.work]\nmachine_until = \"/\"\nfile = \"FILE\"\n{lines}\n\
             [[fleet.work.machine]]\nname = \"m-0\"\nservers = [\"s-1\"]\n"
        );
        let fleet = FleetHarness::start(FleetSpec {
            program: program.clone(),
            voters,
            non_voters: others,
            lease_ms: 1000,
            election_timeout_ms: 200,
            duties: Vec::new(),
            slow_start_window_s: 0.3,
            log_level: "info",
            fleet_toml: String::new(),
            extra_toml: lines,
        });
        // The server of the fleet harness gets no clients.
        let addr = fleet.server.addr.to_string();
        fleet.upsert_target(target_row("s-1", &addr, "draining"));
        let servers = (0..machines).map(|at| EchoServer::start(&format!("m-{at}/s"), 200).unwrap());
        let harness = Self {
            servers: servers.collect(),
            fleet,
            program,
        };
        for at in 0..machines {
            harness.list_server(at, &harness.servers[at]);
        }
        harness.fleet.wait_until("all members are live", |fleet| {
            let view = fleet
                .fetch_view(0)
                .filter(|view| view["majority"] == true)?;
            (count_live_members(&view) == Some(fleet.member_count())).then_some(())
        });
        let count = harness.fleet.member_count();
        harness.wait_until("all members are serving", |harness| {
            let view = harness.fetch_work_view()?;
            (view["serving"].as_array()?.len() == count).then_some(())
        });
        harness
    }

    /// Lists a server of a machine, in the zone of that machine.
    pub fn list_server(&self, machine: usize, server: &EchoServer) {
        let mut row = target_row(&server.uid, &server.addr.to_string(), "ready");
        row["az"] = json!(["a", "b", "c"][machine % 3]);
        self.fleet.upsert_target(row);
    }

    /// Waits until `condition` returns a value; `description` names it in the panic message.
    pub fn wait_until<T>(
        &self,
        description: &str,
        mut condition: impl FnMut(&Self) -> Option<T>,
    ) -> T {
        let started = Instant::now();
        loop {
            if let Some(found) = condition(self) {
                return found;
            }
            assert!(
                started.elapsed() < Duration::from_secs(40),
                "timed out: {description}\n{:?}\n{}",
                self.fetch_work_view(),
                self.fleet.merged_log()
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Fetches the view of the orders from the first member that has one confirmed by the leader.
    pub fn fetch_work_view(&self) -> Option<Value> {
        management_addrs(&self.fleet)
            .into_iter()
            .find_map(fetch_work_orders)
    }

    /// Runs `violetwind work` against a member, and returns its standard output.
    ///
    /// # Errors
    /// Its standard error, if its exit status is not 0.
    pub fn run_work_command(&self, at: usize, args: &[&str]) -> Result<String, String> {
        let output = Command::new(&self.program)
            .arg("work")
            .args(args)
            .args(["--at", &self.fleet.management_addr(at).to_string()])
            .output()
            .unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        match output.status.success() {
            true => Ok(text(output.stdout)),
            false => Err(text(output.stderr)),
        }
    }

    /// Plans an order for machines. Retries while the member answers `no such machine`, since it may not have received
    /// the list of servers yet.
    pub fn plan_work_order(&self, at: usize, name: &str, machines: &str, more: &[&str]) {
        let base_args = [
            "plan",
            name,
            "--machines",
            machines,
            "--leave",
            "20",
            "--back",
            "20",
        ];
        let args = [&base_args[..], more].concat();
        self.wait_until("the order is planned", |harness| {
            match harness.run_work_command(at, &args) {
                Ok(_) => Some(()),
                Err(message) => {
                    assert!(message.contains("no such machine"), "{message}");
                    None
                }
            }
        });
    }

    /// Repeats an operator's call until it is answered with 200.
    pub fn call_until_accepted(&self, at: usize, line: &str) {
        self.wait_until(line, |harness| {
            let answer = harness.fleet.call_member(at, line)?;
            assert!(!answer.starts_with("400 after FLEET"), "{answer}");
            answer.starts_with("200 ").then_some(())
        });
    }

    /// The phase of a machine according to a view confirmed by the leader.
    pub fn machine_phase(&self, machine: &str) -> Option<String> {
        let view = self.fetch_work_view()?;
        let orders = view["orders"].as_array()?.iter();
        let mut machines =
            orders.flat_map(|order| order["machines"].as_array().into_iter().flatten());
        let entry = machines.find(|entry| entry["name"] == machine)?;
        Some(entry["phase"].as_str()?.to_string())
    }

    /// Waits until a machine is in a phase.
    pub fn wait_for_phase(&self, machine: &str, wanted: &str) {
        self.wait_until(&format!("{machine} is {wanted}"), |harness| {
            (harness.machine_phase(machine)? == wanted).then_some(())
        });
    }

    /// The view of the orders, if none is left and at least one has ended.
    pub fn finished_view(&self) -> Option<Value> {
        let view = self.fetch_work_view()?;
        (view["orders"].as_array()?.is_empty() && !view["ended"].as_array()?.is_empty())
            .then_some(view)
    }

    /// Panics with the log if an invariant was violated.
    pub fn assert_no_violations(&self, emptied: &[Emptied], max_out: usize) {
        let violations = find_work_violations(
            &collect_out_intervals(&self.fleet),
            emptied,
            &self.servers,
            max_out,
        );
        assert_eq!(
            violations,
            Vec::<String>::new(),
            "{}",
            self.fleet.merged_log()
        );
    }
}

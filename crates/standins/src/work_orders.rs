//! A night of work on machines, seen from outside: clients who come again when they are moved, staff who ask for the
//! orders and say what is done, and books that check what was promised by the machine's clock.

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

/// A client waits so long for its final answer.
const ANSWER: Duration = Duration::from_millis(2500);

/// What clients saw, counted by themselves.
#[derive(Debug, Default)]
pub struct ClientStats {
    pub requests: AtomicU64,
    pub established: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    pub moved: AtomicU64,
    /// Connections that ended without a word; of proxies that were killed they do.
    pub dropped: AtomicU64,
    /// Requests without a final answer in time, where a proxy took them and lived on.
    pub lost: AtomicU64,
    pub duplicate_answers: AtomicU64,
    over: AtomicBool,
    /// Proxies that are killed, stopped or ended: what becomes of requests there is no promise.
    away: Mutex<BTreeSet<usize>>,
}

pub struct ClientPool {
    pub stats: Arc<ClientStats>,
    threads: Vec<thread::JoinHandle<()>>,
}

fn count(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

impl ClientPool {
    /// So many clients; each goes to the next proxy whenever it has to come again.
    pub fn start(proxies: Vec<SocketAddr>, clients: usize) -> Self {
        let stats = Arc::new(ClientStats::default());
        let threads = (0..clients).map(|number| {
            let (seen, proxies) = (stats.clone(), proxies.clone());
            thread::spawn(move || {
                let mut turn = number;
                while !seen.over.load(Ordering::Relaxed) {
                    turn += 1;
                    visit(number, turn, &proxies, &seen);
                    thread::sleep(Duration::from_millis(20 + number as u64 % 30));
                }
            })
        });
        let threads = threads.collect();
        Self { stats, threads }
    }

    /// Nothing is promised of requests at this proxy from now on, or again.
    pub fn set_proxy_excused(&self, proxy: usize, is_away: bool) {
        let mut away = self.stats.away.lock().unwrap();
        match is_away {
            true => away.insert(proxy),
            false => away.remove(&proxy),
        };
    }

    pub fn stop(self) -> Arc<ClientStats> {
        self.stats.over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
        self.stats
    }
}

fn visit(number: usize, turn: usize, proxies: &[SocketAddr], seen: &ClientStats) {
    let proxy = turn % proxies.len();
    let away = || seen.away.lock().unwrap().contains(&proxy);
    let was_away = away();
    let Ok(stream) = TcpStream::connect_timeout(&proxies[proxy], Duration::from_millis(300)) else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(ANSWER));
    let mut out = stream.try_clone().expect("a descriptor");
    let mut reader = BufReader::new(stream);
    let id = (proxy as u64) << 48 | (number as u64) << 24 | turn as u64;
    count(&seen.requests);
    let open = format!("OPEN {id:016x} {number:016x} c=watch,d=2000\r\n");
    let mut line = String::new();
    let answered = out.write_all(open.as_bytes()).is_ok()
        && reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0);
    match line.split_whitespace().next() {
        Some("UP") => count(&seen.established),
        Some("BUSY") => count(&seen.refused),
        _ if answered => count(&seen.failed),
        _ if was_away || away() => {}
        _ => count(&seen.lost),
    }
    if !line.starts_with("UP ") {
        return;
    }
    let _ = reader
        .get_ref()
        .set_read_timeout(Some(Duration::from_secs(30)));
    while !seen.over.load(Ordering::Relaxed) {
        line.clear();
        let said = out.write_all(b"SAY on\r\n").is_ok();
        let heard = said && reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0);
        match line.split_whitespace().next() {
            _ if !heard => {
                if !away() {
                    count(&seen.dropped);
                }
                return;
            }
            Some("MOVE") => return count(&seen.moved),
            Some("UP" | "BUSY" | "ERR") => return count(&seen.duplicate_answers),
            _ => {}
        }
        thread::sleep(Duration::from_millis(40));
    }
}

/// The proxy that a client's connection came by.
fn proxy_of(visit: &Visit) -> usize {
    u64::from_str_radix(&visit.id, 16).map_or(usize::MAX, |id| (id >> 48) as usize)
}

/// One machine told as empty: from when staff heard it until they said that the work was done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Emptied {
    pub machine: String,
    pub from: u64,
    pub until: u64,
}

/// Staff on duty: they ask now here and now there, work on what is empty, and say when it is done.
pub struct SimulatedOperators {
    over: Arc<AtomicBool>,
    pub emptied: Arc<Mutex<Vec<Emptied>>>,
    thread: thread::JoinHandle<()>,
}

/// The orders as a proxy shows them, with a leader's word behind it.
pub fn fetch_work_orders(at: SocketAddr) -> Option<Value> {
    let view = call_management(at, "FLEET WORK")?;
    let view: Value = serde_json::from_str(view.strip_prefix("200 ")?).ok()?;
    (view["settled"] == true).then_some(view)
}

/// Machines of a view that are in some place, by name.
pub fn machines_in_phase(view: &Value, phase: &str) -> Vec<String> {
    let orders = view["orders"].as_array().into_iter().flatten();
    let machines = orders.flat_map(|order| order["machines"].as_array().into_iter().flatten());
    let there = machines.filter(|machine| machine["phase"] == phase);
    there
        .filter_map(|machine| Some(machine["name"].as_str()?.to_string()))
        .collect()
}

impl SimulatedOperators {
    /// Work on a machine takes so long.
    pub fn start(at: Vec<SocketAddr>, work: Duration) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let emptied: Arc<Mutex<Vec<Emptied>>> = Arc::default();
        let (is_over, own) = (over.clone(), emptied.clone());
        let thread = thread::spawn(move || {
            let mut turn = 0;
            let mut since: BTreeMap<String, u64> = BTreeMap::new();
            while !is_over.load(Ordering::Relaxed) {
                turn += 1;
                thread::sleep(Duration::from_millis(10));
                let Some(view) = fetch_work_orders(at[turn % at.len()]) else {
                    continue;
                };
                let now = boottime_ms();
                let empty = machines_in_phase(&view, "empty");
                since.retain(|machine, _| empty.contains(machine));
                for machine in empty {
                    let from = *since.entry(machine.clone()).or_insert(now);
                    if now < from + work.as_millis() as u64 {
                        continue;
                    }
                    // From when it is said it may come back, whether or not the answer is heard.
                    let until = boottime_ms();
                    call_management(at[turn % at.len()], &format!("FLEET WORK DONE {machine}"));
                    let mut books = own.lock().unwrap();
                    match books
                        .iter_mut()
                        .find(|e| e.machine == machine && e.from == from)
                    {
                        Some(_) => {}
                        None => books.push(Emptied {
                            machine,
                            from,
                            until,
                        }),
                    }
                }
            }
        });
        Self {
            over,
            emptied,
            thread,
        }
    }

    pub fn stop(self) -> Vec<Emptied> {
        self.over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
        self.emptied.lock().unwrap().clone()
    }
}

/// From when to when a proxy went by a machine as out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Out {
    pub proxy: usize,
    pub machine: String,
    pub from: u64,
    pub until: u64,
}

/// What the proxies' logs say of machines that are out.
pub fn collect_out_intervals(members: &FleetHarness) -> Vec<Out> {
    let mut open: BTreeMap<(usize, String), Out> = BTreeMap::new();
    let mut all = Vec::new();
    for (proxy, line) in members.log_lines_containing("a machine by the orders for work") {
        let (Some(machine), Some(at)) = (line["machine"].as_str(), line["mono_ms"].as_u64()) else {
            continue;
        };
        let key = (proxy, machine.to_string());
        if line["out"] == true {
            // A new process says it again by its file.
            open.entry(key).or_insert(Out {
                proxy,
                machine: machine.into(),
                from: at,
                until: u64::MAX,
            });
        } else if let Some(mut out) = open.remove(&key) {
            out.until = at;
            all.push(out);
        }
    }
    all.extend(open.into_values());
    all
}

/// The most machines that some proxy went by as out at one instant.
pub fn max_machines_out(outs: &[Out]) -> (usize, u64) {
    let at = |moment: u64| {
        let there = outs
            .iter()
            .filter(|out| out.from <= moment && moment < out.until);
        let names: BTreeSet<&String> = there.map(|out| &out.machine).collect();
        names.len()
    };
    let each = outs.iter().map(|out| (at(out.from), out.from));
    each.max().unwrap_or_default()
}

/// Everything that was promised and not kept, by name. Machines are named by their servers, up to a `/`.
pub fn find_work_violations(
    outs: &[Out],
    emptied: &[Emptied],
    workers: &[EchoServer],
    most: usize,
) -> Vec<String> {
    let mut broken = Vec::new();
    let (out, moment) = max_machines_out(outs);
    if out > most {
        broken.push(format!(
            "Never Too Many Out: {out} of {most} at {moment} ms"
        ));
    }
    // A server sees the end of a connection a moment after the proxy has ended it.
    let slack = 100;
    for worker in workers {
        let machine = worker.uid.split('/').next().unwrap_or_default();
        for visit in worker.visits() {
            for empty in emptied.iter().filter(|empty| empty.machine == machine) {
                if visit.from < empty.until && visit.until > empty.from + slack {
                    broken.push(format!("Empty Means Empty: {empty:?} has {visit:?}"));
                }
            }
            let late = outs.iter().find(|out| {
                out.machine == machine
                    && out.proxy == proxy_of(&visit)
                    && visit.from > out.from + 300
                    && visit.from < out.until
            });
            if let Some(out) = late {
                broken.push(format!("Drain Kept: {out:?} and then {visit:?}"));
            }
        }
        let times = emptied.iter().filter(|empty| empty.machine == machine);
        if times.count() > 1 {
            broken.push(format!(
                "Once: {machine} was told as empty again: {emptied:?}"
            ));
        }
    }
    broken
}

/// The proxies' addresses for clients, in their order.
pub fn client_addrs(members: &FleetHarness) -> Vec<SocketAddr> {
    (0..members.member_count())
        .map(|at| members.client_addr(at))
        .collect()
}

/// And those for operators.
pub fn management_addrs(members: &FleetHarness) -> Vec<SocketAddr> {
    (0..members.member_count())
        .map(|at| members.management_addr(at))
        .collect()
}

/// Who conducts by somebody's view, as a number.
pub fn coordinator_index(members: &FleetHarness, view: &Value) -> Option<usize> {
    (0..members.member_count()).find(|at| view["conductor"] == node_name(*at).as_str())
}

/// A fleet whose members each keep what is out, and machines of one server each in three zones.
pub struct WorkOrderHarness {
    pub fleet: FleetHarness,
    pub servers: Vec<EchoServer>,
    program: PathBuf,
}

impl WorkOrderHarness {
    /// Voters and others, and machines; `lines` go into `[fleet.work]`. Returns when everybody has to confirm.
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
        let members = FleetHarness::start(FleetSpec {
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
        // The server that comes with the members takes nobody.
        let addr = members.server.addr.to_string();
        members.upsert_target(target_row("s-1", &addr, "draining"));
        let workers = (0..machines).map(|at| EchoServer::start(&format!("m-{at}/s"), 200).unwrap());
        let night = Self {
            servers: workers.collect(),
            fleet: members,
            program,
        };
        for at in 0..machines {
            night.list_server(at, &night.servers[at]);
        }
        night.fleet.wait_until("the fleet is whole", |members| {
            let view = members
                .fetch_view(0)
                .filter(|view| view["majority"] == true)?;
            (count_live_members(&view) == Some(members.member_count())).then_some(())
        });
        let count = night.fleet.member_count();
        night.wait_until("everybody serves", |night| {
            let view = night.fetch_work_view()?;
            (view["serving"].as_array()?.len() == count).then_some(())
        });
        night
    }

    /// Lists a server of a machine.
    pub fn list_server(&self, machine: usize, worker: &EchoServer) {
        let mut row = target_row(&worker.uid, &worker.addr.to_string(), "ready");
        row["az"] = json!(["a", "b", "c"][machine % 3]);
        self.fleet.upsert_target(row);
    }

    pub fn wait_until<T>(&self, what: &str, mut so: impl FnMut(&Self) -> Option<T>) -> T {
        let begun = Instant::now();
        loop {
            if let Some(found) = so(self) {
                return found;
            }
            assert!(
                begun.elapsed() < Duration::from_secs(40),
                "{what}: never\n{:?}\n{}",
                self.fetch_work_view(),
                self.fleet.merged_log()
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// By the first member that has a leader's word.
    pub fn fetch_work_view(&self) -> Option<Value> {
        management_addrs(&self.fleet)
            .into_iter()
            .find_map(fetch_work_orders)
    }

    /// What `violetwind work` says at a member.
    ///
    /// # Errors
    /// What it says on standard error, if it does not end with 0.
    pub fn run_work_command(&self, at: usize, words: &[&str]) -> Result<String, String> {
        let said = Command::new(&self.program)
            .arg("work")
            .args(words)
            .args(["--at", &self.fleet.management_addr(at).to_string()])
            .output()
            .unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        match said.status.success() {
            true => Ok(text(said.stdout)),
            false => Err(text(said.stderr)),
        }
    }

    /// An order for these machines; the sources' words may have to come first.
    pub fn plan_work_order(&self, at: usize, name: &str, machines: &str, more: &[&str]) {
        let own = [
            "plan",
            name,
            "--machines",
            machines,
            "--leave",
            "20",
            "--back",
            "20",
        ];
        let words = [&own[..], more].concat();
        self.wait_until("it is planned", |night| {
            match night.run_work_command(at, &words) {
                Ok(_) => Some(()),
                Err(why) => {
                    assert!(why.contains("no such machine"), "{why}");
                    None
                }
            }
        });
    }

    /// An operator's call that has to be taken.
    pub fn call_until_accepted(&self, at: usize, line: &str) {
        self.wait_until(line, |night| {
            let said = night.fleet.call_member(at, line)?;
            assert!(!said.starts_with("400 after FLEET"), "{said}");
            said.starts_with("200 ").then_some(())
        });
    }

    /// Where a machine is, by anybody with a leader's word.
    pub fn machine_phase(&self, machine: &str) -> Option<String> {
        let view = self.fetch_work_view()?;
        let orders = view["orders"].as_array()?.iter();
        let mut machines =
            orders.flat_map(|order| order["machines"].as_array().into_iter().flatten());
        let known = machines.find(|known| known["name"] == machine)?;
        Some(known["phase"].as_str()?.to_string())
    }

    pub fn wait_for_phase(&self, machine: &str, wanted: &str) {
        self.wait_until(&format!("{machine} is {wanted}"), |night| {
            (night.machine_phase(machine)? == wanted).then_some(())
        });
    }

    /// The view in which no order is left and some have ended.
    pub fn finished_view(&self) -> Option<Value> {
        let view = self.fetch_work_view()?;
        (view["orders"].as_array()?.is_empty() && !view["ended"].as_array()?.is_empty())
            .then_some(view)
    }

    pub fn assert_no_violations(&self, emptied: &[Emptied], most: usize) {
        let broken = find_work_violations(
            &collect_out_intervals(&self.fleet),
            emptied,
            &self.servers,
            most,
        );
        assert_eq!(broken, Vec::<String>::new(), "{}", self.fleet.merged_log());
    }
}

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

use crate::callers::call;
use crate::members::{Members, Spec, live, name};
use crate::worker::{Visit, Worker};
use crate::{mono_ms, target};

/// A client waits so long for its final answer.
const ANSWER: Duration = Duration::from_millis(2500);

/// What clients saw, counted by themselves.
#[derive(Debug, Default)]
pub struct Seen {
    pub asked: AtomicU64,
    pub up: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    pub moved: AtomicU64,
    /// Connections that ended without a word; of proxies that were killed they do.
    pub cut: AtomicU64,
    /// Requests without a final answer in time, where a proxy took them and lived on.
    pub lost: AtomicU64,
    pub twice: AtomicU64,
    over: AtomicBool,
    /// Proxies that are killed, stopped or ended: what becomes of requests there is no promise.
    away: Mutex<BTreeSet<usize>>,
}

pub struct Clients {
    pub seen: Arc<Seen>,
    threads: Vec<thread::JoinHandle<()>>,
}

fn count(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

impl Clients {
    /// So many clients; each goes to the next proxy whenever it has to come again.
    pub fn start(proxies: Vec<SocketAddr>, clients: usize) -> Self {
        let seen = Arc::new(Seen::default());
        let threads = (0..clients).map(|number| {
            let (seen, proxies) = (seen.clone(), proxies.clone());
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
        Self { seen, threads }
    }

    /// Nothing is promised of requests at this proxy from now on, or again.
    pub fn away(&self, proxy: usize, is_away: bool) {
        let mut away = self.seen.away.lock().unwrap();
        match is_away {
            true => away.insert(proxy),
            false => away.remove(&proxy),
        };
    }

    pub fn end(self) -> Arc<Seen> {
        self.seen.over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
        self.seen
    }
}

fn visit(number: usize, turn: usize, proxies: &[SocketAddr], seen: &Seen) {
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
    count(&seen.asked);
    let open = format!("OPEN {id:016x} {number:016x} c=watch,d=2000\r\n");
    let mut line = String::new();
    let answered = out.write_all(open.as_bytes()).is_ok()
        && reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0);
    match line.split_whitespace().next() {
        Some("UP") => count(&seen.up),
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
                    count(&seen.cut);
                }
                return;
            }
            Some("MOVE") => return count(&seen.moved),
            Some("UP" | "BUSY" | "ERR") => return count(&seen.twice),
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
pub struct Staff {
    over: Arc<AtomicBool>,
    pub books: Arc<Mutex<Vec<Emptied>>>,
    thread: thread::JoinHandle<()>,
}

/// The orders as a proxy shows them, with a leader's word behind it.
pub fn orders(at: SocketAddr) -> Option<Value> {
    let view = call(at, "FLEET WORK")?;
    let view: Value = serde_json::from_str(view.strip_prefix("200 ")?).ok()?;
    (view["settled"] == true).then_some(view)
}

/// Machines of a view that are in some place, by name.
pub fn in_place(view: &Value, phase: &str) -> Vec<String> {
    let orders = view["orders"].as_array().into_iter().flatten();
    let machines = orders.flat_map(|order| order["machines"].as_array().into_iter().flatten());
    let there = machines.filter(|machine| machine["phase"] == phase);
    there
        .filter_map(|machine| Some(machine["name"].as_str()?.to_string()))
        .collect()
}

impl Staff {
    /// Work on a machine takes so long.
    pub fn start(at: Vec<SocketAddr>, work: Duration) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let books: Arc<Mutex<Vec<Emptied>>> = Arc::default();
        let (is_over, own) = (over.clone(), books.clone());
        let thread = thread::spawn(move || {
            let mut turn = 0;
            let mut since: BTreeMap<String, u64> = BTreeMap::new();
            while !is_over.load(Ordering::Relaxed) {
                turn += 1;
                thread::sleep(Duration::from_millis(10));
                let Some(view) = orders(at[turn % at.len()]) else {
                    continue;
                };
                let now = mono_ms();
                let empty = in_place(&view, "empty");
                since.retain(|machine, _| empty.contains(machine));
                for machine in empty {
                    let from = *since.entry(machine.clone()).or_insert(now);
                    if now < from + work.as_millis() as u64 {
                        continue;
                    }
                    // From when it is said it may come back, whether or not the answer is heard.
                    let until = mono_ms();
                    call(at[turn % at.len()], &format!("FLEET WORK DONE {machine}"));
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
            books,
            thread,
        }
    }

    pub fn end(self) -> Vec<Emptied> {
        self.over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
        self.books.lock().unwrap().clone()
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
pub fn outs(members: &Members) -> Vec<Out> {
    let mut open: BTreeMap<(usize, String), Out> = BTreeMap::new();
    let mut all = Vec::new();
    for (proxy, line) in members.lines("a machine by the orders for work") {
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
pub fn most_out(outs: &[Out]) -> (usize, u64) {
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
pub fn broken(outs: &[Out], emptied: &[Emptied], workers: &[Worker], most: usize) -> Vec<String> {
    let mut broken = Vec::new();
    let (out, moment) = most_out(outs);
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
pub fn doors(members: &Members) -> Vec<SocketAddr> {
    (0..members.count()).map(|at| members.addr(at)).collect()
}

/// And those for operators.
pub fn desks(members: &Members) -> Vec<SocketAddr> {
    (0..members.count())
        .map(|at| members.management(at))
        .collect()
}

/// Who conducts by somebody's view, as a number.
pub fn conductor(members: &Members, view: &Value) -> Option<usize> {
    (0..members.count()).find(|at| view["conductor"] == name(*at).as_str())
}

/// A fleet whose members each keep what is out, and machines of one server each in three zones.
pub struct Night {
    pub members: Members,
    pub workers: Vec<Worker>,
    program: PathBuf,
}

impl Night {
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
        let members = Members::start(Spec {
            program: program.clone(),
            voters,
            others,
            lease_ms: 1000,
            election_ms: 200,
            duties: Vec::new(),
            cold_s: 0.3,
            log_level: "info",
            fleet_lines: String::new(),
            lines,
        });
        // The server that comes with the members takes nobody.
        let addr = members.server.addr.to_string();
        members.list(target("s-1", &addr, "draining"));
        let workers = (0..machines).map(|at| Worker::start(&format!("m-{at}/s"), 200).unwrap());
        let night = Self {
            workers: workers.collect(),
            members,
            program,
        };
        for at in 0..machines {
            night.list(at, &night.workers[at]);
        }
        night.members.until("the fleet is whole", |members| {
            let view = members.view(0).filter(|view| view["majority"] == true)?;
            (live(&view) == Some(members.count())).then_some(())
        });
        let count = night.members.count();
        night.until("everybody serves", |night| {
            let view = night.view()?;
            (view["serving"].as_array()?.len() == count).then_some(())
        });
        night
    }

    /// Lists a server of a machine.
    pub fn list(&self, machine: usize, worker: &Worker) {
        let mut row = target(&worker.uid, &worker.addr.to_string(), "ready");
        row["az"] = json!(["a", "b", "c"][machine % 3]);
        self.members.list(row);
    }

    pub fn until<T>(&self, what: &str, mut so: impl FnMut(&Self) -> Option<T>) -> T {
        let begun = Instant::now();
        loop {
            if let Some(found) = so(self) {
                return found;
            }
            assert!(
                begun.elapsed() < Duration::from_secs(40),
                "{what}: never\n{:?}\n{}",
                self.view(),
                self.members.log()
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// By the first member that has a leader's word.
    pub fn view(&self) -> Option<Value> {
        desks(&self.members).into_iter().find_map(orders)
    }

    /// What `violetwind work` says at a member.
    ///
    /// # Errors
    /// What it says on standard error, if it does not end with 0.
    pub fn staff(&self, at: usize, words: &[&str]) -> Result<String, String> {
        let said = Command::new(&self.program)
            .arg("work")
            .args(words)
            .args(["--at", &self.members.management(at).to_string()])
            .output()
            .unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        match said.status.success() {
            true => Ok(text(said.stdout)),
            false => Err(text(said.stderr)),
        }
    }

    /// An order for these machines; the sources' words may have to come first.
    pub fn plan(&self, at: usize, name: &str, machines: &str, more: &[&str]) {
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
        self.until("it is planned", |night| match night.staff(at, &words) {
            Ok(_) => Some(()),
            Err(why) => {
                assert!(why.contains("no such machine"), "{why}");
                None
            }
        });
    }

    /// An operator's call that has to be taken.
    pub fn say(&self, at: usize, line: &str) {
        self.until(line, |night| {
            let said = night.members.call(at, line)?;
            assert!(!said.starts_with("400 after FLEET"), "{said}");
            said.starts_with("200 ").then_some(())
        });
    }

    /// Where a machine is, by anybody with a leader's word.
    pub fn phase(&self, machine: &str) -> Option<String> {
        let view = self.view()?;
        let orders = view["orders"].as_array()?.iter();
        let mut machines =
            orders.flat_map(|order| order["machines"].as_array().into_iter().flatten());
        let known = machines.find(|known| known["name"] == machine)?;
        Some(known["phase"].as_str()?.to_string())
    }

    pub fn is(&self, machine: &str, wanted: &str) {
        self.until(&format!("{machine} is {wanted}"), |night| {
            (night.phase(machine)? == wanted).then_some(())
        });
    }

    /// The view in which no order is left and some have ended.
    pub fn ended(&self) -> Option<Value> {
        let view = self.view()?;
        (view["orders"].as_array()?.is_empty() && !view["ended"].as_array()?.is_empty())
            .then_some(view)
    }

    pub fn sound(&self, emptied: &[Emptied], most: usize) {
        let broken = broken(&outs(&self.members), emptied, &self.workers, most);
        assert_eq!(broken, Vec::<String>::new(), "{}", self.members.log());
    }
}

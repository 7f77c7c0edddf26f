//! A fleet on loopback: real proxies, a stand-in Consul, servers and clients, troubles by script, and books
//! of what every client saw.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use violetwind_standins::consul::{Check, Consul, Instance, Maintenance};
use violetwind_standins::echo_server::{EchoServer, Fault};
use violetwind_standins::unused_addr;

/// Nothing new reaches a server this long after the proxies can know of its drain: the time that Consul
/// takes to tell them, and the rule's 300 ms.
const DRAIN: Duration = Duration::from_millis(100 + 300);
/// A client waits so long for its answer, and a little longer for one that is late.
const PATIENCE: Duration = Duration::from_secs(2);
const LATE: Duration = Duration::from_millis(300);

#[derive(Clone, Debug)]
pub struct FleetOptions {
    pub proxy_program: PathBuf,
    pub proxies: usize,
    pub servers: usize,
    pub clients: usize,
    pub seconds: f64,
    /// Print a line a second.
    pub print_progress: bool,
}

/// What clients saw, counted by themselves.
#[derive(Debug, Default)]
struct Seen {
    asked: AtomicU64,
    up: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    moved: AtomicU64,
    /// Connections that ended without `MOVE`.
    cut: AtomicU64,
    /// Requests without a final answer in time.
    lost: AtomicU64,
    /// Requests with more than one.
    twice: AtomicU64,
    /// Clients that are up now.
    now: AtomicU64,
    over: AtomicBool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    pub asked: u64,
    pub up: u64,
    pub refused: u64,
    pub failed: u64,
    pub moved: u64,
    pub cut: u64,
    pub lost: u64,
    pub twice: u64,
    /// Clients that were moved or cut while half of the checks failed and every server answered.
    pub harmed_by_flap: u64,
    /// What reached the drained server too late.
    pub late_at_drained: usize,
}

impl Report {
    pub fn passed(&self) -> bool {
        self.lost == 0 && self.twice == 0 && self.late_at_drained == 0 && self.harmed_by_flap == 0
    }
}

struct Proxy {
    addr: SocketAddr,
    child: Child,
    dir: PathBuf,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        // One that has ended already needs no end.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Proxy {
    fn start(
        program: &Path,
        number: usize,
        fleet: usize,
        consul: SocketAddr,
    ) -> std::io::Result<Self> {
        let addr = unused_addr();
        let name = format!("violetwind-fleet-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir)?;
        let config = json!({
            "name": format!("n{number}"), "listen": addr.to_string(),
            "discovery": unused_addr().to_string(), "seed": format!("{:016x}", 0x8c1f + number),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 0, "all": true, "targets": []},
            "settings": {
                "fleet-size": fleet, "me": number, "zone": "a", "azs": ["a"], "skus": [], "orgs": [],
                "request-classes": [{"name": "watch", "idempotency": "pure", "deadline-s": 2.0,
                                     "target-s": 0.4, "credit": 1.0}],
                "reporting": {"fields": ["x0"], "source": "probe"},
                "permissions": {"probes": true, "cancel": true, "retry-after": true,
                                "max-attempts": 4, "max-retry-after-s": 1.0,
                                "connect-timeout-s": 0.2},
                "membership-mode": "on_request",
                "rules": {"ask-within-s": 5.0, "cold-from": 0.5, "cold-s": 4.0,
                          "fall-multiple": 3.0, "overload-for-s": 1.5},
                "weights": "none", "family-info": {"groups": false}},
        });
        std::fs::write(dir.join("config.json"), config.to_string())?;
        let file = format!(
            "[zones]\ndc1 = \"a\"\n[[source]]\nname = \"agenda\"\nkind = \"consul\"\n\
             address = \"{consul}\"\nservice = \"agenda\"\ngap = \"10ms\"\n"
        );
        std::fs::write(dir.join("operator.toml"), file)?;
        let child = Command::new(program)
            .env("NODE_CONFIG", dir.join("config.json"))
            .env("VIOLETWIND_CONFIG", dir.join("operator.toml"))
            .env("VIOLETWIND_LOG", "error")
            .stdin(Stdio::null())
            .spawn()?;
        Ok(Self { addr, child, dir })
    }

    fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.addr) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let mut answer = String::new();
                if stream.write_all(b"PING\r\n").is_ok()
                    && BufReader::new(stream).read_line(&mut answer).is_ok()
                    && answer.trim() == "PONG"
                {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

/// Plays a small day: a flap of half the checks, a drain, a death; each by a part of the time.
pub fn run_fleet(plan: &FleetOptions) -> Result<Report, String> {
    let told = |error: std::io::Error| error.to_string();
    let consul = Consul::start("agenda");
    let room = (3 * plan.clients / plan.servers.max(1)).max(8);
    let mut workers = Vec::new();
    for n in 0..plan.servers.max(3) {
        workers.push(EchoServer::start(&format!("s-{n}"), room).map_err(told)?);
    }
    consul.register_all(workers.iter().map(|w| Instance::new(&w.uid, w.addr)));
    let mut proxies = Vec::new();
    for n in 0..plan.proxies.max(1) {
        let program = &plan.proxy_program;
        let proxy = Proxy::start(program, n, plan.proxies.max(1), consul.addr);
        proxies.push(proxy.map_err(|error| format!("{}: {error}", program.display()))?);
    }
    if !proxies.iter().all(Proxy::wait_ready) {
        return Err("a proxy was never ready".into());
    }
    let addresses: Arc<Vec<SocketAddr>> = Arc::new(proxies.iter().map(|p| p.addr).collect());
    let seen = Arc::new(Seen::default());
    let clients: Vec<_> = (0..plan.clients)
        .map(|n| {
            let (addresses, seen) = (addresses.clone(), seen.clone());
            thread::spawn(move || client(n, &addresses, &seen))
        })
        .collect();
    let script = script(plan, &consul, &workers, &seen);
    seen.over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client's thread has failed")?;
    }
    let (harmed_by_flap, late_at_drained) = script;
    let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
    Ok(Report {
        asked: get(&seen.asked),
        up: get(&seen.up),
        refused: get(&seen.refused),
        failed: get(&seen.failed),
        moved: get(&seen.moved),
        cut: get(&seen.cut),
        lost: get(&seen.lost),
        twice: get(&seen.twice),
        harmed_by_flap,
        late_at_drained,
    })
}

fn script(
    plan: &FleetOptions,
    consul: &Consul,
    workers: &[EchoServer],
    seen: &Seen,
) -> (u64, usize) {
    let start = Instant::now();
    let part = |part: f64| Duration::from_secs_f64(plan.seconds * part);
    let wait = |until: Duration| {
        let mut shown = Instant::now();
        while start.elapsed() < until {
            if plan.print_progress && shown.elapsed() >= Duration::from_secs(1) {
                shown = Instant::now();
                show(start, workers, seen);
            }
            thread::sleep(Duration::from_millis(20));
        }
    };
    let say = |what: &str| {
        if plan.print_progress {
            println!("{:5.1} s  {what}", start.elapsed().as_secs_f64());
        }
    };
    let harm = || seen.moved.load(Ordering::Relaxed) + seen.cut.load(Ordering::Relaxed);
    wait(part(0.3));
    say("half of the checks fail");
    let half: Vec<&str> = workers[..workers.len() / 2]
        .iter()
        .map(|w| w.uid.as_str())
        .collect();
    let before = harm();
    consul.set_check(&half, Check::Critical);
    wait(part(0.3) + Duration::from_secs(2).min(part(0.1)));
    consul.set_check(&half, Check::Passing);
    say("they pass again");
    wait(part(0.5));
    let harmed = harm() - before;
    let drained = &workers[0];
    say("s-0 drains");
    consul.update_instances(&[&drained.uid], |i| i.maintenance = Maintenance::Service);
    let told = Instant::now();
    wait(part(0.7));
    let late = drained.count_opens_after(told + DRAIN);
    let dead = &workers[1];
    say("s-1 dies");
    dead.set_fault(Fault::Silent);
    dead.reset_connections();
    consul.set_check(&[&dead.uid], Check::Critical);
    wait(part(1.0));
    (harmed, late)
}

fn show(start: Instant, workers: &[EchoServer], seen: &Seen) {
    let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let open: Vec<String> = workers
        .iter()
        .map(|w| format!("{:3}", w.open_connections()))
        .collect();
    println!(
        "{:5.1} s  up {:4}  asked {:5}  refused {:4}  failed {:3}  moved {:4}  cut {:3}  lost {}  servers {}",
        start.elapsed().as_secs_f64(),
        get(&seen.now),
        get(&seen.asked),
        get(&seen.refused),
        get(&seen.failed),
        get(&seen.moved),
        get(&seen.cut),
        get(&seen.lost),
        open.join(" ")
    );
}

fn count(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

/// One client: asks, talks while it is up, comes again when it is moved, until the day is over.
fn client(n: usize, proxies: &[SocketAddr], seen: &Seen) {
    let over = || seen.over.load(Ordering::Relaxed);
    let mut turn = n;
    // They don't all come in the same moment.
    thread::sleep(Duration::from_millis(7 * (n as u64 % 100)));
    while !over() {
        let at = proxies[turn % proxies.len()];
        turn += 1;
        let Ok(stream) = TcpStream::connect(at) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(PATIENCE + LATE));
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let id = (n as u64) << 32 | turn as u64;
        count(&seen.asked);
        let open = format!("OPEN {id:016x} {n:016x} c=watch,d=2000\r\n");
        let mut line = String::new();
        let answered = out.write_all(open.as_bytes()).is_ok()
            && reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0);
        match line.split_whitespace().next() {
            Some("UP") => count(&seen.up),
            Some("BUSY") => count(&seen.refused),
            _ if answered => count(&seen.failed),
            _ => count(&seen.lost),
        }
        if !line.starts_with("UP ") {
            thread::sleep(Duration::from_millis(300));
            continue;
        }
        count(&seen.now);
        talk(&mut reader, &mut out, seen);
        seen.now.fetch_sub(1, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(50 + 3 * (n as u64 % 50)));
    }
}

fn talk(reader: &mut BufReader<TcpStream>, out: &mut TcpStream, seen: &Seen) {
    let _ = reader
        .get_ref()
        .set_read_timeout(Some(Duration::from_secs(8)));
    let mut line = String::new();
    while !seen.over.load(Ordering::Relaxed) {
        line.clear();
        let said = out.write_all(b"SAY on\r\n").is_ok();
        let heard = said && reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0);
        match line.split_whitespace().next() {
            _ if !heard => return count(&seen.cut),
            Some("MOVE") => return count(&seen.moved),
            // A second final answer.
            Some("UP" | "BUSY" | "ERR") => return count(&seen.twice),
            _ => {}
        }
        thread::sleep(Duration::from_millis(100));
    }
}

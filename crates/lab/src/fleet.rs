//! A fleet on loopback: real proxies, a stand-in for Consul, servers and clients, scripted troubles, and counts of what
//! the clients observed.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use violetwind_output::print_line;
use violetwind_standins::consul::{Check, Consul, Instance, Maintenance};
use violetwind_standins::echo_server::{EchoServer, Fault};
use violetwind_standins::unused_addr;

/// Time after a server's drain from which no new attempt may reach it: up to 100 ms until Consul has notified the
/// proxies, and the 300 ms that the rule allows.
const DRAIN_DEADLINE: Duration = Duration::from_millis(100 + 300);
/// Deadline of a client's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Additional time that a client waits for a late answer.
const LATE_GRACE: Duration = Duration::from_millis(300);

/// Options of a loopback run.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    pub proxy_program: PathBuf,
    pub proxies: usize,
    pub servers: usize,
    pub clients: usize,
    pub seconds: f64,
    /// Whether to print a line per second.
    pub print_progress: bool,
}

/// Counters updated by the clients.
#[derive(Debug, Default)]
struct ClientCounters {
    asked: AtomicU64,
    up: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    moved: AtomicU64,
    /// Connections that ended without `MOVE`.
    cut: AtomicU64,
    /// Requests without a final answer in time.
    lost: AtomicU64,
    /// Requests with more than one final answer.
    twice: AtomicU64,
    /// Clients that are connected now.
    connected: AtomicU64,
    is_over: AtomicBool,
}

/// Result of a loopback run.
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
    /// Connections that were moved or cut while half of the health checks failed although every server answered.
    pub harmed_by_flap: u64,
    /// Number of attempts that reached the drained server too late.
    pub late_at_drained: usize,
}

impl Report {
    /// Whether no rule was broken.
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
        // Errors are ignored: the process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Proxy {
    fn start(
        program: &Path,
        number: usize,
        fleet_size: usize,
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
                "fleet-size": fleet_size, "me": number, "zone": "a", "azs": ["a"], "skus": [], "orgs": [],
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
        let operator_config = format!(
            "[zones]\ndc1 = \"a\"\n[[source]]\nname = \"agenda\"\nkind = \"consul\"\n\
             address = \"{consul}\"\nservice = \"agenda\"\ngap = \"10ms\"\n"
        );
        std::fs::write(dir.join("operator.toml"), operator_config)?;
        let child = Command::new(program)
            .env("NODE_CONFIG", dir.join("config.json"))
            .env("VIOLETWIND_CONFIG", dir.join("operator.toml"))
            .env("VIOLETWIND_LOG", "error")
            .stdin(Stdio::null())
            .spawn()?;
        Ok(Self { addr, child, dir })
    }

    /// Waits up to 10 s for the proxy to answer `PING`. Returns whether it did.
    fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
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

/// Runs a fleet through the scripted troubles: half of the health checks fail for a while, a server drains, and another
/// one fails, each during a part of the run.
///
/// # Errors
/// A proxy or server can't be started, or a proxy does not become ready.
pub fn run_fleet(options: &FleetOptions) -> Result<Report, String> {
    let to_text = |error: std::io::Error| error.to_string();
    let consul = Consul::start("agenda");
    let capacity = (3 * options.clients / options.servers.max(1)).max(8);
    let mut servers = Vec::new();
    for n in 0..options.servers.max(3) {
        servers.push(EchoServer::start(&format!("s-{n}"), capacity).map_err(to_text)?);
    }
    consul.register_all(
        servers
            .iter()
            .map(|server| Instance::new(&server.uid, server.addr)),
    );
    let mut proxies = Vec::new();
    for n in 0..options.proxies.max(1) {
        let program = &options.proxy_program;
        let proxy = Proxy::start(program, n, options.proxies.max(1), consul.addr);
        proxies.push(proxy.map_err(|error| format!("{}: {error}", program.display()))?);
    }
    if !proxies.iter().all(Proxy::wait_ready) {
        return Err("a proxy was never ready".into());
    }
    let addresses: Arc<Vec<SocketAddr>> = Arc::new(proxies.iter().map(|p| p.addr).collect());
    let counters = Arc::new(ClientCounters::default());
    let clients: Vec<_> = (0..options.clients)
        .map(|client_number| {
            let (addresses, counters) = (addresses.clone(), counters.clone());
            thread::spawn(move || run_client(client_number, &addresses, &counters))
        })
        .collect();
    let outcome = run_script(options, &consul, &servers, &counters);
    counters.is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client's thread has failed")?;
    }
    let (harmed_by_flap, late_at_drained) = outcome;
    let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    Ok(Report {
        asked: get(&counters.asked),
        up: get(&counters.up),
        refused: get(&counters.refused),
        failed: get(&counters.failed),
        moved: get(&counters.moved),
        cut: get(&counters.cut),
        lost: get(&counters.lost),
        twice: get(&counters.twice),
        harmed_by_flap,
        late_at_drained,
    })
}

/// Runs the scripted troubles. Returns the number of connections harmed while the checks failed, and the number of
/// attempts that reached the drained server too late.
fn run_script(
    options: &FleetOptions,
    consul: &Consul,
    servers: &[EchoServer],
    counters: &ClientCounters,
) -> (u64, usize) {
    let start = Instant::now();
    let share_of_run = |share: f64| Duration::from_secs_f64(options.seconds * share);
    let wait_until = |until: Duration| {
        let mut printed_at = Instant::now();
        while start.elapsed() < until {
            if options.print_progress && printed_at.elapsed() >= Duration::from_secs(1) {
                printed_at = Instant::now();
                print_counters(start, servers, counters);
            }
            thread::sleep(Duration::from_millis(20));
        }
    };
    let print_step = |what: &str| {
        if options.print_progress {
            print_line!("{:5.1} s  {what}", start.elapsed().as_secs_f64());
        }
    };
    let count_harmed =
        || counters.moved.load(Ordering::Relaxed) + counters.cut.load(Ordering::Relaxed);
    wait_until(share_of_run(0.3));
    print_step("half of the checks fail");
    let failing: Vec<&str> = servers[..servers.len() / 2]
        .iter()
        .map(|server| server.uid.as_str())
        .collect();
    let before = count_harmed();
    consul.set_check(&failing, Check::Critical);
    wait_until(share_of_run(0.3) + Duration::from_secs(2).min(share_of_run(0.1)));
    consul.set_check(&failing, Check::Passing);
    print_step("they pass again");
    wait_until(share_of_run(0.5));
    let harmed = count_harmed() - before;
    let drained = &servers[0];
    print_step("s-0 drains");
    consul.update_instances(&[&drained.uid], |instance| {
        instance.maintenance = Maintenance::Service
    });
    let drained_at = Instant::now();
    wait_until(share_of_run(0.7));
    let late_attempts = drained.count_opens_after(drained_at + DRAIN_DEADLINE);
    let failed_server = &servers[1];
    print_step("s-1 dies");
    failed_server.set_fault(Fault::Silent);
    failed_server.reset_connections();
    consul.set_check(&[&failed_server.uid], Check::Critical);
    wait_until(share_of_run(1.0));
    (harmed, late_attempts)
}

fn print_counters(start: Instant, servers: &[EchoServer], counters: &ClientCounters) {
    let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let open_connections: Vec<String> = servers
        .iter()
        .map(|server| format!("{:3}", server.open_connections()))
        .collect();
    print_line!(
        "{:5.1} s  up {:4}  asked {:5}  refused {:4}  failed {:3}  moved {:4}  cut {:3}  lost {}  servers {}",
        start.elapsed().as_secs_f64(),
        get(&counters.connected),
        get(&counters.asked),
        get(&counters.refused),
        get(&counters.failed),
        get(&counters.moved),
        get(&counters.cut),
        get(&counters.lost),
        open_connections.join(" ")
    );
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Runs one client until the end of the run: it requests a connection, exchanges messages on it, and requests a new one
/// after it was moved or cut.
fn run_client(client_number: usize, proxies: &[SocketAddr], counters: &ClientCounters) {
    let is_over = || counters.is_over.load(Ordering::Relaxed);
    let mut request_number = client_number;
    // Spreads the first requests of the clients.
    thread::sleep(Duration::from_millis(7 * (client_number as u64 % 100)));
    while !is_over() {
        let proxy = proxies[request_number % proxies.len()];
        request_number += 1;
        let Ok(stream) = TcpStream::connect(proxy) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(REQUEST_TIMEOUT + LATE_GRACE));
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let id = (client_number as u64) << 32 | request_number as u64;
        increment(&counters.asked);
        let open_line = format!("OPEN {id:016x} {client_number:016x} c=watch,d=2000\r\n");
        let mut line = String::new();
        let is_answered = writer.write_all(open_line.as_bytes()).is_ok()
            && reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0);
        match line.split_whitespace().next() {
            Some("UP") => increment(&counters.up),
            Some("BUSY") => increment(&counters.refused),
            _ if is_answered => increment(&counters.failed),
            _ => increment(&counters.lost),
        }
        if !line.starts_with("UP ") {
            thread::sleep(Duration::from_millis(300));
            continue;
        }
        increment(&counters.connected);
        exchange_messages(&mut reader, &mut writer, counters);
        counters.connected.fetch_sub(1, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(50 + 3 * (client_number as u64 % 50)));
    }
}

/// Exchanges messages on an established connection until it is moved or cut, or the run is over.
fn exchange_messages(
    reader: &mut BufReader<TcpStream>,
    writer: &mut TcpStream,
    counters: &ClientCounters,
) {
    let _ = reader
        .get_ref()
        .set_read_timeout(Some(Duration::from_secs(8)));
    let mut line = String::new();
    while !counters.is_over.load(Ordering::Relaxed) {
        line.clear();
        let is_sent = writer.write_all(b"SAY on\r\n").is_ok();
        let is_answered = is_sent && reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0);
        match line.split_whitespace().next() {
            _ if !is_answered => return increment(&counters.cut),
            Some("MOVE") => return increment(&counters.moved),
            // This is a second final answer.
            Some("UP" | "BUSY" | "ERR") => return increment(&counters.twice),
            _ => {}
        }
        thread::sleep(Duration::from_millis(100));
    }
}

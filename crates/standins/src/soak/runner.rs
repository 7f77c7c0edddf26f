//! Runs a script on one process of the program, and checks the records of clients and servers.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use super::Traffic;
use super::checker::{CheckSettings, ColdStart, Drain, Idempotency, Kill, RunRecord, check_run};
use super::client::{ClientBehaviour, DisconnectKind, RequestOutcome};
use super::rng::Rng;
use super::scheduling_delay::DelayMonitor;
use super::script::{Script, Site, Trouble};
use super::server::{ServerMode, SoakServer};
use crate::faults::FaultInjector;
use crate::{Discovery, DiscoveryMode, unused_addr};

/// Setting `drain-grace-s`.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Setting `cold-s`: the duration of slow start.
const SLOW_START_WINDOW: Duration = Duration::from_secs(4);
/// Setting `overload-for-s`.
const OVERLOAD_DURATION: Duration = Duration::from_millis(1500);
/// Setting `cold-from`: low enough that an even share of the traffic is more than a new server takes.
const SLOW_START_MIN_SHARE: f64 = 0.1;
/// Setting `fall-multiple`.
const OVERLOAD_MULTIPLE: f64 = 1.5;
/// A change of the list counts as announced this long after the end of an outage of discovery.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(6);
/// How long the started program may take until it answers `PING`.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// The class that a reload adds.
const NEW_CLASS: &str = "late";
/// How long after a reload clients start to use the new class.
const NEW_CLASS_AFTER: Duration = Duration::from_millis(1200);

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    pub seed: u64,
    /// The number of requests.
    pub request_count: usize,
    /// Requests answered with `UP` or `BYE`.
    pub served: usize,
    /// Requests answered with `BUSY`.
    pub refused: usize,
    /// Requests answered with another line.
    pub failed: usize,
    pub violations: Vec<String>,
    /// Path of the proxy's log.
    pub log: PathBuf,
}

/// Runs one script; its files go into a directory below `dir`.
///
/// # Panics
/// The program does not start, or does not answer `PING` in time.
pub fn run_script(program: &Path, dir: &Path, script: &Script) -> Report {
    let run = Run::start(program, dir, script);
    run.run_to_end(script)
}

/// A run in progress.
struct Run {
    dir: PathBuf,
    site: Site,
    seed: u64,
    start: Instant,
    proxy: Child,
    address: SocketAddr,
    discovery: Discovery,
    faults: FaultInjector,
    /// The fault rules except the step of the clock.
    rules: String,
    clock_step: i64,
    servers: Vec<SoakServer>,
    /// The listed start times of the servers in milliseconds of Unix time; 0 for those that run from the start.
    boot_times_ms: Vec<u64>,
    delay_monitor: DelayMonitor,
    drains: Vec<Drain>,
    cold_starts: Vec<ColdStart>,
    /// Start and end of the times in which discovery did not work.
    outages: Vec<(Instant, Option<Instant>)>,
    /// When the new class was added.
    reloaded_at: Arc<Mutex<Option<Instant>>>,
    is_ending: Arc<AtomicBool>,
    /// Connections that stay open until the end of the run.
    extra_connections: Vec<TcpStream>,
}

/// The action that ends a trouble.
enum TroubleEnd {
    RestoreMode(usize),
    CancelDrain(usize),
    Restart(usize),
    RestoreDiscovery,
    ClearCallFaults,
}

impl Run {
    /// Starts the servers, discovery and the proxy, and waits until the proxy is ready.
    fn start(program: &Path, dir: &Path, script: &Script) -> Self {
        let dir = dir.join(format!("seed-{}", script.seed));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("the run's files cannot be written");
        let site = script.site.clone();
        let servers: Vec<SoakServer> = (1..=site.servers)
            .map(|number| SoakServer::start(&format!("s-{number}"), site.capacity))
            .collect();
        if site.closes_probes {
            servers
                .iter()
                .step_by(2)
                .for_each(|server| server.set_close_probes(true));
        }
        let targets: Vec<Value> = servers
            .iter()
            .map(|server| server.target_row("ready", 0))
            .collect();
        let discovery = Discovery::start(&targets);
        let address = unused_addr();
        write_config(&dir, &site, address, discovery.addr, false);
        let faults = FaultInjector::new(&dir, "");
        let log =
            std::fs::File::create(dir.join("log")).expect("the run's files cannot be written");
        let mut command = Command::new(program);
        faults.preload(&mut command);
        let proxy = command
            .env("NODE_CONFIG", dir.join("config.json"))
            .env_remove("VIOLETWIND_CONFIG")
            .env("TMPDIR", &dir)
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program cannot be started");
        let run = Self {
            dir,
            site,
            seed: script.seed,
            start: Instant::now(),
            proxy,
            address,
            discovery,
            faults,
            rules: String::new(),
            clock_step: 0,
            boot_times_ms: vec![0; servers.len()],
            servers,
            delay_monitor: DelayMonitor::start(),
            drains: Vec::new(),
            cold_starts: Vec::new(),
            outages: Vec::new(),
            reloaded_at: Arc::default(),
            is_ending: Arc::default(),
            extra_connections: Vec::new(),
        };
        run.wait_ready();
        run
    }

    /// Waits until the proxy answers `PING`.
    fn wait_ready(&self) {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let mut answer = [0; 4];
                let sent = stream.write_all(b"PING\r\n");
                let received = std::io::Read::read_exact(&mut stream, &mut answer);
                if sent.is_ok() && received.is_ok() && &answer == b"PONG" {
                    return;
                }
            }
            assert!(
                Instant::now() < deadline,
                "seed {}: no PONG in time",
                self.seed
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Runs the script to its end, and checks the records.
    fn run_to_end(mut self, script: &Script) -> Report {
        self.start = Instant::now();
        let traffic = self.start_traffic();
        let mut pending_ends: Vec<(Instant, TroubleEnd)> = Vec::new();
        let mut troubles = script.troubles.iter().peekable();
        let end = self.start + script.lasts;
        while Instant::now() < end {
            let now = Instant::now();
            while let Some((_, trouble)) =
                troubles.next_if(|(at, _)| self.start + Duration::from_millis(*at) <= now)
            {
                self.start_trouble(trouble, &mut pending_ends);
            }
            self.end_due_troubles(&mut pending_ends, now);
            thread::sleep(Duration::from_millis(2));
        }
        self.terminate(script, &traffic);
        let requests = traffic.finish();
        self.extra_connections.clear();
        let attempts = self.servers.iter().flat_map(SoakServer::attempts).collect();
        let kills = vec![Kill {
            at: Instant::now(),
            without_sigterm: false,
        }];
        let record = RunRecord {
            requests,
            attempts,
            drains: std::mem::take(&mut self.drains),
            cold_starts: std::mem::take(&mut self.cold_starts),
            kills,
            scheduling_delays: self.delay_monitor.stop(),
        };
        let count = |is_counted: fn(&RequestOutcome) -> bool| {
            record
                .requests
                .iter()
                .filter(|request| is_counted(&request.outcome))
                .count()
        };
        let mut violations = check_run(&self.check_settings(), &record, self.start);
        let log = std::fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        if let Some(line) = log.lines().find(|line| line.contains("panicked")) {
            violations.push(format!("crash: {line}"));
        }
        Report {
            seed: self.seed,
            request_count: record.requests.len(),
            served: count(|outcome| matches!(outcome, RequestOutcome::Up | RequestOutcome::Bye)),
            refused: count(|outcome| *outcome == RequestOutcome::Busy),
            failed: count(|outcome| matches!(outcome, RequestOutcome::Failed(_))),
            violations,
            log: self.dir.join("log"),
        }
    }

    fn check_settings(&self) -> CheckSettings {
        CheckSettings {
            idempotency_by_class: BTreeMap::from([
                ("watch".into(), Idempotency::Pure),
                (
                    "hold".into(),
                    Idempotency::Token(Duration::from_millis(self.site.window_ms)),
                ),
                ("book".into(), Idempotency::SideEffect),
                (NEW_CLASS.into(), Idempotency::SideEffect),
            ]),
            max_attempts: self.site.max_attempts,
            drain_grace: DRAIN_GRACE,
            slow_start_min_share: SLOW_START_MIN_SHARE,
            slow_start_window: SLOW_START_WINDOW,
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_duration: OVERLOAD_DURATION,
        }
    }

    fn start_traffic(&self) -> Traffic {
        let (site, reloaded_at) = (self.site.clone(), self.reloaded_at.clone());
        let (seed, is_ending) = (self.seed, self.is_ending.clone());
        let client_interval = Duration::from_millis(site.each_ms);
        Traffic::start(self.address, client_interval, seed, move |number| {
            let new_class = reloaded_at
                .lock()
                .unwrap()
                .is_some_and(|at| at.elapsed() > NEW_CLASS_AFTER);
            draw_behaviour(
                &site,
                seed,
                number,
                new_class,
                is_ending.load(Ordering::Relaxed),
            )
        })
    }

    /// Starts a trouble, and schedules its end.
    fn start_trouble(&mut self, trouble: &Trouble, pending_ends: &mut Vec<(Instant, TroubleEnd)>) {
        let now = Instant::now();
        let from_ms = Duration::from_millis;
        match trouble {
            Trouble::Server {
                server,
                mode,
                lasts,
            } => {
                self.servers[*server].set_mode(*mode);
                pending_ends.push((now + from_ms(*lasts), TroubleEnd::RestoreMode(*server)));
            }
            Trouble::Drain { server, back_after } => {
                self.list_server(*server, "draining");
                if let Some(after) = back_after {
                    pending_ends.push((now + from_ms(*after), TroubleEnd::CancelDrain(*server)));
                }
            }
            Trouble::Crash { server, back_after } => {
                self.servers[*server].crash();
                pending_ends.push((now + from_ms(*back_after), TroubleEnd::Restart(*server)));
            }
            Trouble::Join => {
                let uid = format!("n-{}", self.servers.len() + 1);
                self.servers
                    .push(SoakServer::start(&uid, self.site.capacity));
                self.boot_times_ms.push(0);
                self.list_as_restarted(self.servers.len() - 1);
            }
            Trouble::Discovery { mood, lasts } => {
                self.discovery.set_mode(*mood);
                if *mood != DiscoveryMode::Closes {
                    self.outages.push((now, None));
                }
                pending_ends.push((now + from_ms(*lasts), TroubleEnd::RestoreDiscovery));
            }
            Trouble::Reload { times, apart } => {
                write_config(
                    &self.dir,
                    &self.site,
                    self.address,
                    self.discovery.addr,
                    true,
                );
                for _ in 0..*times {
                    self.send_signal("-HUP");
                    thread::sleep(from_ms(*apart));
                }
                self.reloaded_at.lock().unwrap().get_or_insert(now);
            }
            Trouble::Stalls { times } => {
                for _ in 0..*times {
                    self.send_signal("-STOP");
                    thread::sleep(from_ms(145));
                    self.send_signal("-CONT");
                    thread::sleep(from_ms(60));
                }
            }
            Trouble::Calls { rules, lasts } => {
                self.rules = rules.to_string();
                self.set_faults();
                pending_ends.push((now + from_ms(*lasts), TroubleEnd::ClearCallFaults));
            }
            Trouble::Clock { step } => {
                self.clock_step += step;
                self.set_faults();
            }
            Trouble::Crowd { connections } => {
                let opened =
                    (0..*connections).filter_map(|_| TcpStream::connect(self.address).ok());
                self.extra_connections.extend(opened);
            }
            Trouble::Rude { clients } => self.open_rude_connections(*clients),
        }
    }

    /// Writes the present fault rules and clock step, and waits until they are in force.
    fn set_faults(&self) {
        let rules = format!(
            "seed {}\nclock {}\n{}",
            self.seed, self.clock_step, self.rules
        );
        self.faults.set_rules(&rules);
    }

    /// Opens connections that send malformed or unusual lines.
    fn open_rude_connections(&mut self, clients: u64) {
        let lines: [&[u8]; 6] = [
            b"OPEN 12",
            b"GET / HTTP/1.1\r\n\r\n",
            b"\x00\xff\xfe\r\n",
            b"OPEN a b c=watch,d=-1\r\n",
            b"OPEN a b c=nobody,d=100\r\n",
            b"PING\r\nPING\r\nPING\r\n",
        ];
        for number in 0..clients as usize {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.write_all(lines[number % lines.len()]);
                self.extra_connections.push(stream);
            }
        }
    }

    /// Ends the troubles that are due.
    fn end_due_troubles(&mut self, pending_ends: &mut Vec<(Instant, TroubleEnd)>, now: Instant) {
        let due: Vec<(Instant, TroubleEnd)> =
            pending_ends.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, end) in due {
            match end {
                TroubleEnd::RestoreMode(server) => {
                    self.servers[server].set_mode(ServerMode::Serve(0))
                }
                TroubleEnd::CancelDrain(server) => {
                    let uid = self.servers[server].uid().to_string();
                    for drain in self.drains.iter_mut().filter(|drain| drain.server == uid) {
                        drain.cancelled_at.get_or_insert(now);
                    }
                    self.list_server(server, "ready");
                }
                TroubleEnd::Restart(server) => {
                    self.servers[server].restart();
                    self.list_as_restarted(server);
                }
                TroubleEnd::RestoreDiscovery => {
                    self.discovery.set_mode(DiscoveryMode::Works);
                    for outage in &mut self.outages {
                        outage.1.get_or_insert(now);
                    }
                }
                TroubleEnd::ClearCallFaults => {
                    self.rules.clear();
                    self.set_faults();
                }
            }
        }
    }

    /// Lists a server as started just now, according to the clock of the proxy.
    fn list_as_restarted(&mut self, server: usize) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("the clock is before 1970");
        let boot_ms = (now.as_millis() as i64 + self.clock_step) as u64;
        let uid = self.servers[server].uid().to_string();
        for drain in self.drains.iter_mut().filter(|drain| drain.server == uid) {
            drain.cancelled_at.get_or_insert(Instant::now());
        }
        // A warm server carries its capacity of connections, each for the mean duration of a session.
        let warm_requests_per_s = self.site.capacity as f64 / MEAN_SESSION_DURATION.as_secs_f64();
        self.cold_starts.push(ColdStart {
            server: uid,
            started_at: Instant::now(),
            warm_requests_per_s,
        });
        self.boot_times_ms[server] = boot_ms;
        self.list_server(server, "ready");
    }

    /// Lists a server in a state, and records a drain.
    fn list_server(&mut self, server: usize, state: &str) {
        let now = Instant::now();
        let target = self.servers[server].target_row(state, self.boot_times_ms[server]);
        let uid = self.servers[server].uid().to_string();
        self.discovery.upsert_target(target);
        if state == "draining" {
            let announced_at = match self.outages.last() {
                // Discovery works again, but the proxy may have no request open yet; or it does not work now.
                Some((_, Some(end))) if *end + ANNOUNCEMENT_DELAY > now => {
                    *end + ANNOUNCEMENT_DELAY
                }
                Some((_, None)) => now + Duration::from_secs(3600),
                _ => now,
            };
            self.drains.push(Drain {
                server: uid,
                announced_at,
                cancelled_at: None,
            });
        }
    }

    fn send_signal(&self, signal: &str) {
        let id = self.proxy.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "kill {signal}");
    }

    /// Sends SIGTERM while new clients still start, and SIGKILL as early as the proxy's documentation allows.
    fn terminate(&mut self, script: &Script, traffic: &Traffic) {
        let site = &self.site;
        let max_deadline_ms = site
            .deadlines_ms
            .iter()
            .copied()
            .max()
            .unwrap_or(0)
            .min(3000);
        let signalled_at = Instant::now();
        self.send_signal("-TERM");
        self.is_ending.store(true, Ordering::Relaxed);
        if script.terminated_twice {
            thread::sleep(Duration::from_millis(script.seed % 7));
            self.send_signal("-TERM");
        }
        if script.reload_while_ending {
            self.send_signal("-HUP");
        }
        let traffic_until = signalled_at + Duration::from_millis(200 + script.seed % 200);
        thread::sleep(traffic_until.saturating_duration_since(Instant::now()));
        traffic.stop();
        let kill_at = signalled_at + Duration::from_millis(max_deadline_ms + 700);
        thread::sleep(kill_at.saturating_duration_since(Instant::now()));
        // The process may have exited already.
        let _ = self.proxy.kill();
        let _ = self.proxy.wait();
    }
}

/// Mean duration of a client's session.
const MEAN_SESSION_DURATION: Duration = Duration::from_millis(700);

/// Draws the behaviour of a client.
fn draw_behaviour(
    site: &Site,
    seed: u64,
    number: u64,
    new_class: bool,
    is_ending: bool,
) -> ClientBehaviour {
    let mut rng = Rng::new(seed << 32 | number);
    let class = rng.range_inclusive(0, if new_class { 3 } else { 2 }) as usize;
    let names = ["watch", "hold", "book", NEW_CLASS];
    let class_deadline = site.deadlines_ms[class.min(2)];
    let deadline = match rng.chance(8) {
        true => rng.range_inclusive(1, 40),
        false => rng.range_inclusive(class_deadline / 2, class_deadline),
    };
    let disconnect_after = rng.chance(15).then(|| {
        let after = Duration::from_millis(rng.range_inclusive(0, (class_deadline / 2).min(300)));
        (
            after,
            rng.pick(&[
                DisconnectKind::Close,
                DisconnectKind::HalfClose,
                DisconnectKind::Reset,
            ]),
        )
    });
    // Clients that start after SIGTERM, and some others, stay until they are moved.
    let session_duration = match is_ending || rng.chance(10) {
        true => Duration::from_secs(30),
        false => MEAN_SESSION_DURATION.mul_f64(rng.range_inclusive(2, 18) as f64 / 10.0),
    };
    ClientBehaviour {
        class: names[class].into(),
        deadline: Duration::from_millis(deadline),
        disconnect_after,
        session_duration,
        message_interval: Duration::from_millis(rng.range_inclusive(20, 120)),
        pause_before_open: rng
            .chance(5)
            .then(|| Duration::from_millis(rng.range_inclusive(0, 1500))),
    }
}

/// Writes the platform's configuration file; `with_new_class` adds the new class.
fn write_config(
    dir: &Path,
    site: &Site,
    listen: SocketAddr,
    discovery: SocketAddr,
    with_new_class: bool,
) {
    let seconds = |ms: u64| ms as f64 / 1e3;
    let class = |name: &str, idempotency: &str, deadline_ms: u64| {
        json!({"name": name, "idempotency": idempotency, "deadline-s": seconds(deadline_ms),
               "target-s": seconds(deadline_ms) / 4.0, "credit": 1.0})
    };
    let [watch, hold, book] = site.deadlines_ms;
    let mut hold = class("hold", "token", hold);
    hold["group"] = json!("all");
    hold["window-s"] = json!(seconds(site.window_ms));
    let mut classes = vec![
        class("watch", "pure", watch),
        hold,
        class("book", "side_effect", book),
    ];
    if with_new_class {
        classes.push(class(NEW_CLASS, "side_effect", book));
    }
    let fields: &[&str] = if site.tells_loads { &["x0"] } else { &[] };
    let mode = if site.pushed { "pushed" } else { "on_request" };
    let config = json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 0, "all": true, "targets": []},
        "settings": {
            "fleet-size": 1, "me": 0, "zone": "a", "azs": ["a"], "skus": ["m"], "orgs": [],
            "request-classes": classes,
            "reporting": {"fields": fields, "source": "probe"},
            "permissions": {"probes": site.may_probe, "cancel": true, "retry-after": true,
                            "max-attempts": site.max_attempts, "max-retry-after-s": 1.0,
                            "connect-timeout-s": seconds(site.connect_timeout_ms)},
            "membership-mode": mode,
            "rules": {"ask-within-s": 5.0, "cold-from": SLOW_START_MIN_SHARE, "cold-s": SLOW_START_WINDOW.as_secs_f64(),
                      "fall-multiple": OVERLOAD_MULTIPLE, "overload-for-s": OVERLOAD_DURATION.as_secs_f64(),
                      "drain-grace-s": DRAIN_GRACE.as_secs_f64()},
            "weights": "none", "family-info": {"groups": false}},
    });
    // The rename replaces the file in one step: a reload never reads a partly written file.
    let next = dir.join("config.new");
    let written = std::fs::write(&next, config.to_string());
    written
        .and_then(|()| std::fs::rename(&next, dir.join("config.json")))
        .expect("the run's files cannot be written");
}

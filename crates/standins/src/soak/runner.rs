//! Plays a script on one process of the program, and has the judge look at what everybody wrote down.

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

const GRACE: Duration = Duration::from_millis(300);
const COLD_FOR: Duration = Duration::from_secs(4);
const FALL_FOR: Duration = Duration::from_millis(1500);
/// Such that an even share of the traffic is more than a newcomer takes.
const COLD_FROM: f64 = 0.1;
const FALL_MULTIPLE: f64 = 1.5;
/// What discovery has to tell counts as told so long after it could be reached.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// After the kill, before clients give up waiting for what never comes.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// The class that a reload brings.
const NEW_CLASS: &str = "late";
const NEW_CLASS_AFTER: Duration = Duration::from_millis(1200);

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    pub seed: u64,
    pub asked: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    pub violations: Vec<String>,
    /// Where the proxy's log is kept.
    pub log: PathBuf,
}

/// Plays one script; its files go into a folder below `dir`.
///
/// # Panics
/// The program does not start, or never serves.
pub fn run_script(program: &Path, dir: &Path, script: &Script) -> Report {
    let run = Run::start(program, dir, script);
    run.play(script)
}

struct Run {
    dir: PathBuf,
    site: Site,
    seed: u64,
    start: Instant,
    proxy: Child,
    address: SocketAddr,
    discovery: Discovery,
    faults: FaultInjector,
    /// The rules besides the step of the clock.
    rules: String,
    clock_step: i64,
    servers: Vec<SoakServer>,
    /// The starts of their present processes, as they are listed.
    boots_ms: Vec<u64>,
    lateness: DelayMonitor,
    drains: Vec<Drain>,
    cold_starts: Vec<ColdStart>,
    /// From when to when discovery did not work.
    outages: Vec<(Instant, Option<Instant>)>,
    /// When the class that is new came.
    reloaded: Arc<Mutex<Option<Instant>>>,
    ending: Arc<AtomicBool>,
    crowd: Vec<TcpStream>,
}

/// What is undone later.
enum Undo {
    Mode(usize),
    Back(usize),
    Restart(usize),
    Discovery,
    Calls,
}

impl Run {
    fn start(program: &Path, dir: &Path, script: &Script) -> Self {
        let dir = dir.join(format!("seed-{}", script.seed));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("a writable directory");
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
        let log = std::fs::File::create(dir.join("log")).expect("a writable directory");
        let mut command = Command::new(program);
        faults.preload(&mut command);
        let proxy = command
            .env("NODE_CONFIG", dir.join("config.json"))
            .env_remove("VIOLETWIND_CONFIG")
            .env("TMPDIR", &dir)
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
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
            boots_ms: vec![0; servers.len()],
            servers,
            lateness: DelayMonitor::start(),
            drains: Vec::new(),
            cold_starts: Vec::new(),
            outages: Vec::new(),
            reloaded: Arc::default(),
            ending: Arc::default(),
            crowd: Vec::new(),
        };
        run.wait_ready();
        run
    }

    fn wait_ready(&self) {
        let until = Instant::now() + READY_WITHIN;
        loop {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let mut answer = [0; 4];
                let asked = stream.write_all(b"PING\r\n");
                let heard = std::io::Read::read_exact(&mut stream, &mut answer);
                if asked.is_ok() && heard.is_ok() && &answer == b"PONG" {
                    return;
                }
            }
            assert!(Instant::now() < until, "seed {}: never ready", self.seed);
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn play(mut self, script: &Script) -> Report {
        self.start = Instant::now();
        let traffic = self.traffic();
        let mut undo: Vec<(Instant, Undo)> = Vec::new();
        let mut troubles = script.troubles.iter().peekable();
        let end = self.start + script.lasts;
        while Instant::now() < end {
            let now = Instant::now();
            while let Some((_, trouble)) =
                troubles.next_if(|(at, _)| self.start + Duration::from_millis(*at) <= now)
            {
                self.strike(trouble, &mut undo);
            }
            self.undo_due(&mut undo, now);
            thread::sleep(Duration::from_millis(2));
        }
        self.terminate(script, &traffic);
        let accounts = traffic.finish();
        self.crowd.clear();
        let arrivals = self.servers.iter().flat_map(SoakServer::attempts).collect();
        let kills = vec![Kill {
            at: Instant::now(),
            without_sigterm: false,
        }];
        let evidence = RunRecord {
            requests: accounts,
            attempts: arrivals,
            drains: std::mem::take(&mut self.drains),
            cold_starts: std::mem::take(&mut self.cold_starts),
            kills,
            scheduling_delays: self.lateness.stop(),
        };
        let count = |of: fn(&RequestOutcome) -> bool| {
            evidence
                .requests
                .iter()
                .filter(|account| of(&account.outcome))
                .count()
        };
        let mut violations = check_run(&self.terms(), &evidence, self.start);
        let log = std::fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        if let Some(line) = log.lines().find(|line| line.contains("panicked")) {
            violations.push(format!("crash: {line}"));
        }
        Report {
            seed: self.seed,
            asked: evidence.requests.len(),
            served: count(|answer| matches!(answer, RequestOutcome::Up | RequestOutcome::Bye)),
            refused: count(|answer| *answer == RequestOutcome::Busy),
            failed: count(|answer| matches!(answer, RequestOutcome::Failed(_))),
            violations,
            log: self.dir.join("log"),
        }
    }

    fn terms(&self) -> CheckSettings {
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
            drain_grace: GRACE,
            slow_start_min_share: COLD_FROM,
            slow_start_window: COLD_FOR,
            overload_multiple: FALL_MULTIPLE,
            overload_duration: FALL_FOR,
        }
    }

    fn traffic(&self) -> Traffic {
        let (site, reloaded) = (self.site.clone(), self.reloaded.clone());
        let (seed, ending) = (self.seed, self.ending.clone());
        let each = Duration::from_millis(site.each_ms);
        Traffic::start(self.address, each, seed, move |number| {
            let new_class = reloaded
                .lock()
                .unwrap()
                .is_some_and(|at| at.elapsed() > NEW_CLASS_AFTER);
            behaviour(
                &site,
                seed,
                number,
                new_class,
                ending.load(Ordering::Relaxed),
            )
        })
    }

    fn strike(&mut self, trouble: &Trouble, undo: &mut Vec<(Instant, Undo)>) {
        let now = Instant::now();
        let ms = Duration::from_millis;
        match trouble {
            Trouble::Server {
                server,
                mode,
                lasts,
            } => {
                self.servers[*server].set_mode(*mode);
                undo.push((now + ms(*lasts), Undo::Mode(*server)));
            }
            Trouble::Drain { server, back_after } => {
                self.tell(*server, "draining");
                if let Some(after) = back_after {
                    undo.push((now + ms(*after), Undo::Back(*server)));
                }
            }
            Trouble::Crash { server, back_after } => {
                self.servers[*server].crash();
                undo.push((now + ms(*back_after), Undo::Restart(*server)));
            }
            Trouble::Join => {
                let uid = format!("n-{}", self.servers.len() + 1);
                self.servers
                    .push(SoakServer::start(&uid, self.site.capacity));
                self.boots_ms.push(0);
                self.start_cold(self.servers.len() - 1);
            }
            Trouble::Discovery { mood, lasts } => {
                self.discovery.set_mode(*mood);
                if *mood != DiscoveryMode::Closes {
                    self.outages.push((now, None));
                }
                undo.push((now + ms(*lasts), Undo::Discovery));
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
                    self.signal("-HUP");
                    thread::sleep(ms(*apart));
                }
                self.reloaded.lock().unwrap().get_or_insert(now);
            }
            Trouble::Stalls { times } => {
                for _ in 0..*times {
                    self.signal("-STOP");
                    thread::sleep(ms(145));
                    self.signal("-CONT");
                    thread::sleep(ms(60));
                }
            }
            Trouble::Calls { rules, lasts } => {
                self.rules = rules.to_string();
                self.set_faults();
                undo.push((now + ms(*lasts), Undo::Calls));
            }
            Trouble::Clock { step } => {
                self.clock_step += step;
                self.set_faults();
            }
            Trouble::Crowd { connections } => {
                let come = (0..*connections).filter_map(|_| TcpStream::connect(self.address).ok());
                self.crowd.extend(come);
            }
            Trouble::Rude { clients } => self.be_rude(*clients),
        }
    }

    fn set_faults(&self) {
        let rules = format!(
            "seed {}\nclock {}\n{}",
            self.seed, self.clock_step, self.rules
        );
        self.faults.set_rules(&rules);
    }

    fn be_rude(&mut self, clients: u64) {
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
                self.crowd.push(stream);
            }
        }
    }

    fn undo_due(&mut self, undo: &mut Vec<(Instant, Undo)>, now: Instant) {
        let due: Vec<(Instant, Undo)> = undo.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, what) in due {
            match what {
                Undo::Mode(server) => self.servers[server].set_mode(ServerMode::Serve(0)),
                Undo::Back(server) => {
                    let uid = self.servers[server].uid().to_string();
                    for drain in self.drains.iter_mut().filter(|drain| drain.server == uid) {
                        drain.cancelled_at.get_or_insert(now);
                    }
                    self.tell(server, "ready");
                }
                Undo::Restart(server) => {
                    self.servers[server].restart();
                    self.start_cold(server);
                }
                Undo::Discovery => {
                    self.discovery.set_mode(DiscoveryMode::Works);
                    for outage in &mut self.outages {
                        outage.1.get_or_insert(now);
                    }
                }
                Undo::Calls => {
                    self.rules.clear();
                    self.set_faults();
                }
            }
        }
    }

    /// Lists a server as started just now, by the clock of the proxy's machine.
    fn start_cold(&mut self, server: usize) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970");
        let boot_ms = (now.as_millis() as i64 + self.clock_step) as u64;
        let uid = self.servers[server].uid().to_string();
        for drain in self.drains.iter_mut().filter(|drain| drain.server == uid) {
            drain.cancelled_at.get_or_insert(Instant::now());
        }
        // A warm server carries as many as load it fully, each for as long as they live.
        let capacity = self.site.capacity as f64 / MEAN_LIFE.as_secs_f64();
        self.cold_starts.push(ColdStart {
            server: uid,
            started_at: Instant::now(),
            warm_requests_per_s: capacity,
        });
        self.boots_ms[server] = boot_ms;
        self.tell(server, "ready");
    }

    fn tell(&mut self, server: usize, state: &str) {
        let now = Instant::now();
        let target = self.servers[server].target_row(state, self.boots_ms[server]);
        let uid = self.servers[server].uid().to_string();
        self.discovery.upsert_target(target);
        if state == "draining" {
            let told = match self.outages.last() {
                // It works again, but no watch may be open yet; or it does not work now.
                Some((_, Some(end))) if *end + TOLD_WITHIN > now => *end + TOLD_WITHIN,
                Some((_, None)) => now + Duration::from_secs(3600),
                _ => now,
            };
            self.drains.push(Drain {
                server: uid,
                announced_at: told,
                cancelled_at: None,
            });
        }
    }

    fn signal(&self, name: &str) {
        let id = self.proxy.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "kill {name}");
    }

    /// SIGTERM, clients that still come, and the kill at its earliest.
    fn terminate(&mut self, script: &Script, traffic: &Traffic) {
        let site = &self.site;
        let longest = site
            .deadlines_ms
            .iter()
            .copied()
            .max()
            .unwrap_or(0)
            .min(3000);
        let asked = Instant::now();
        self.signal("-TERM");
        self.ending.store(true, Ordering::Relaxed);
        if script.terminated_twice {
            thread::sleep(Duration::from_millis(script.seed % 7));
            self.signal("-TERM");
        }
        if script.reload_while_ending {
            self.signal("-HUP");
        }
        let come_until = asked + Duration::from_millis(200 + script.seed % 200);
        thread::sleep(come_until.saturating_duration_since(Instant::now()));
        traffic.stop();
        let kill_at = asked + Duration::from_millis(longest + 700);
        thread::sleep(kill_at.saturating_duration_since(Instant::now()));
        // It may have ended before.
        let _ = self.proxy.kill();
        let _ = self.proxy.wait();
    }
}

/// A client's mean time on a server.
const MEAN_LIFE: Duration = Duration::from_millis(700);

fn behaviour(
    site: &Site,
    seed: u64,
    number: u64,
    new_class: bool,
    ending: bool,
) -> ClientBehaviour {
    let mut rng = Rng::new(seed << 32 | number);
    let class = rng.range_inclusive(0, if new_class { 3 } else { 2 }) as usize;
    let names = ["watch", "hold", "book", NEW_CLASS];
    let whole = site.deadlines_ms[class.min(2)];
    let deadline = match rng.chance(8) {
        true => rng.range_inclusive(1, 40),
        false => rng.range_inclusive(whole / 2, whole),
    };
    let leaves = rng.chance(15).then(|| {
        let after = Duration::from_millis(rng.range_inclusive(0, (whole / 2).min(300)));
        (
            after,
            rng.pick(&[
                DisconnectKind::Close,
                DisconnectKind::HalfClose,
                DisconnectKind::Reset,
            ]),
        )
    });
    // Who comes at the end, and some others, talk until they are moved.
    let life = match ending || rng.chance(10) {
        true => Duration::from_secs(30),
        false => MEAN_LIFE.mul_f64(rng.range_inclusive(2, 18) as f64 / 10.0),
    };
    ClientBehaviour {
        class: names[class].into(),
        deadline: Duration::from_millis(deadline),
        disconnect_after: leaves,
        session_duration: life,
        message_interval: Duration::from_millis(rng.range_inclusive(20, 120)),
        pause_before_open: rng
            .chance(5)
            .then(|| Duration::from_millis(rng.range_inclusive(0, 1500))),
    }
}

fn write_config(
    dir: &Path,
    site: &Site,
    listen: SocketAddr,
    discovery: SocketAddr,
    reloaded: bool,
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
    if reloaded {
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
            "rules": {"ask-within-s": 5.0, "cold-from": COLD_FROM, "cold-s": COLD_FOR.as_secs_f64(),
                      "fall-multiple": FALL_MULTIPLE, "overload-for-s": FALL_FOR.as_secs_f64(),
                      "drain-grace-s": GRACE.as_secs_f64()},
            "weights": "none", "family-info": {"groups": false}},
    });
    // In one step: a reload never reads half of it.
    let new = dir.join("config.new");
    let written = std::fs::write(&new, config.to_string());
    written
        .and_then(|()| std::fs::rename(&new, dir.join("config.json")))
        .expect("a writable directory");
}

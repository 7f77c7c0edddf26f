//! Several processes of the proxy as one fleet on loopback, with a relay for each way between two of them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::duty_history::{self, DutyEvent, DutyEventKind};
use crate::faults::FaultInjector;
use crate::relay::{Direction, LinkMode, Relay};
use crate::{Discovery, Server, WAIT_TIMEOUT, boottime_ms, unused_addr};

#[derive(Clone, Debug)]
pub struct FleetSpec {
    pub program: PathBuf,
    pub voters: usize,
    /// Members that never vote.
    pub non_voters: usize,
    pub lease_ms: u64,
    pub election_timeout_ms: u64,
    pub duties: Vec<String>,
    /// How long a server that was started is cold.
    pub slow_start_window_s: f64,
    /// How much the proxies log: at "debug" each attempt's decision and the writing of its line.
    pub log_level: &'static str,
    /// More lines for everybody's `[fleet]` section, and behind all of the file.
    pub fleet_toml: String,
    pub extra_toml: String,
}

struct Process {
    child: Option<Child>,
    addr: SocketAddr,
    management: SocketAddr,
    listen: SocketAddr,
    dir: PathBuf,
    /// The system call faults that its process meets.
    faults: Option<FaultInjector>,
}

/// Ends all it has started when it is dropped.
pub struct FleetHarness {
    spec: FleetSpec,
    dir: PathBuf,
    processes: Vec<Process>,
    /// By who dials and who is dialled.
    relays: BTreeMap<(usize, usize), Relay>,
    logs: Arc<Mutex<Vec<(usize, String)>>>,
    /// One server for all, and who lists it.
    pub server: Server,
    discovery: Discovery,
    kills: Vec<DutyEvent>,
}

pub fn node_name(at: usize) -> String {
    format!("node-{}", (b'a' + (at % 26) as u8) as char)
        + &if at < 26 {
            String::new()
        } else {
            (at / 26).to_string()
        }
}

/// How many members a view calls live.
pub fn count_live_members(view: &Value) -> Option<usize> {
    let members = view["members"].as_array()?.iter();
    Some(members.filter(|member| member["state"] == "live").count())
}

impl FleetHarness {
    /// All of them started; nothing is waited for.
    pub fn start(spec: FleetSpec) -> Self {
        static COUNT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let count = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let dir =
            std::env::temp_dir().join(format!("violetwind-members-{}-{count}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        let server = Server::start("s-1");
        let process = |at: usize| Process {
            child: None,
            addr: unused_addr(),
            management: unused_addr(),
            listen: unused_addr(),
            dir: dir.join(node_name(at)),
            faults: None,
        };
        let processes: Vec<Process> = (0..spec.voters + spec.non_voters).map(process).collect();
        let mut relays = BTreeMap::new();
        for from in 0..processes.len() {
            for to in (0..spec.voters).filter(|to| *to != from) {
                let relay = Relay::start(([127, 0, 0, 1], 0).into(), processes[to].listen).unwrap();
                relays.insert((from, to), relay);
            }
        }
        let mut members = Self {
            spec,
            dir,
            processes,
            relays,
            logs: Arc::default(),
            discovery: Discovery::start(&[server.target_row("ready")]),
            server,
            kills: Vec::new(),
        };
        for at in 0..members.processes.len() {
            members.write_files(at);
            members.start_member(at);
        }
        members
    }

    /// The server's process is listed as started just now: it is cold.
    pub fn mark_server_restarted(&self) {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let mut row = self.server.target_row("ready");
        row["boot_ms"] = json!(now.expect("after 1970").as_millis() as u64);
        self.discovery.upsert_target(row);
    }

    /// Lists another server, or the same with other words, for all.
    pub fn upsert_target(&self, target: Value) {
        self.discovery.upsert_target(target);
    }

    /// The proxies' log lines with a message, as the node and the line.
    pub fn log_lines_containing(&self, message: &str) -> Vec<(usize, Value)> {
        let logs = self.logs.lock().unwrap();
        let lines = logs.iter().filter(|(_, line)| line.contains(message));
        lines
            .filter_map(|(at, line)| Some((*at, serde_json::from_str(line).ok()?)))
            .collect()
    }

    pub fn member_count(&self) -> usize {
        self.processes.len()
    }

    pub fn client_addr(&self, at: usize) -> SocketAddr {
        self.processes[at].addr
    }

    pub fn management_addr(&self, at: usize) -> SocketAddr {
        self.processes[at].management
    }

    pub fn peer_addr(&self, at: usize) -> SocketAddr {
        self.processes[at].listen
    }

    /// The directory of its log.
    pub fn fleet_dir(&self, at: usize) -> PathBuf {
        self.processes[at].dir.join("fleet")
    }

    pub fn dir(&self) -> &Path {
        &self.dir
    }

    fn write_files(&self, at: usize) {
        let process = &self.processes[at];
        std::fs::create_dir_all(&process.dir).unwrap();
        let config = json!({
            "name": node_name(at), "listen": process.addr.to_string(),
            "management": process.management.to_string(),
            "discovery": self.discovery.addr.to_string(), "seed": format!("{:016x}", 0x51b7 + at),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 0, "all": true, "targets": []},
            "settings": {
                "fleet-size": self.processes.len(), "me": at, "zone": "a", "azs": ["a"], "skus": ["m"],
                "orgs": [],
                "request-classes": [{"name": "watch", "idempotency": "pure", "deadline-s": 2.0,
                                     "target-s": 0.4, "credit": 1.0}],
                "reporting": {"fields": [], "source": "probe"},
                "permissions": {"probes": true, "cancel": true, "retry-after": true, "max-attempts": 4,
                                "max-retry-after-s": 1.0, "connect-timeout-s": 0.2},
                "membership-mode": "on_request",
                "rules": {"ask-within-s": 5.0, "cold-from": 0.5, "cold-s": self.spec.slow_start_window_s, "fall-multiple": 3.0,
                          "overload-for-s": 1.5, "drain-grace-s": 0.3},
                "weights": "none", "family-info": {"groups": false}},
        });
        std::fs::write(process.dir.join("config.json"), config.to_string()).unwrap();
        let spec = &self.spec;
        let mut file = format!(
            "[log]\nformat = \"json\"\nlevel = \"{}\"\n[fleet]\nname = \"turnos\"\nlisten = \"{}\"\nlease = \"{}ms\"\n\
             election = \"{}ms\"\n{}\n",
            spec.log_level,
            process.listen,
            spec.lease_ms,
            spec.election_timeout_ms,
            spec.fleet_toml
        );
        if at < spec.voters {
            file += &format!("dir = \"{}\"\n", self.fleet_dir(at).display());
        }
        for peer in (0..spec.voters).chain((at >= spec.voters).then_some(at)) {
            let address = match self.relays.get(&(at, peer)) {
                Some(relay) => relay.addr,
                None => process.listen,
            };
            let votes = peer < spec.voters;
            file += &format!(
                "[[fleet.peer]]\nnode = \"{}\"\naddress = \"{address}\"\nvotes = {votes}\n",
                node_name(peer)
            );
        }
        for duty in &spec.duties {
            file += &format!("[[fleet.duty]]\nname = \"{duty}\"\n");
        }
        // Whatever each member keeps for itself.
        let own = process.dir.join("work.out").display().to_string();
        let lines = spec.extra_toml.replace("FILE", &own);
        std::fs::write(process.dir.join("operator.toml"), file + &lines).unwrap();
    }

    /// Gives a member a file with other last lines, for its next process.
    pub fn set_extra_toml(&mut self, at: usize, lines: &str) {
        self.spec.extra_toml = lines.into();
        self.write_files(at);
    }

    /// The program of all processes that are started from now on.
    pub fn set_program(&mut self, program: PathBuf) {
        self.spec.program = program;
    }

    /// Starts the process of a member on the files that it has.
    pub fn start_member(&mut self, at: usize) {
        let child = self.spawn(at, &mut self.command(at));
        self.processes[at].child = Some(child);
    }

    fn command(&self, at: usize) -> Command {
        let process = &self.processes[at];
        let mut command = Command::new(&self.spec.program);
        command
            .env("NODE_CONFIG", process.dir.join("config.json"))
            .env("VIOLETWIND_CONFIG", process.dir.join("operator.toml"))
            .env_remove("NODE_NAME")
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env_remove("NODE_MANAGEMENT")
            .env("TMPDIR", &process.dir)
            .stdin(Stdio::null())
            .stderr(Stdio::piped());
        command
    }

    /// Starts a process whose lines go into the log under a member's name.
    fn spawn(&self, at: usize, command: &mut Command) -> Child {
        let mut child = command.spawn().unwrap();
        let (stderr, logs) = (child.stderr.take().unwrap(), self.logs.clone());
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                logs.lock().unwrap().push((at, line));
            }
        });
        child
    }

    /// The same for a process that meets system call faults from its first call on.
    pub fn start_member_with_faults(&mut self, at: usize, rules: &str) {
        let faults = FaultInjector::new(&self.processes[at].dir, rules);
        let mut command = self.command(at);
        faults.preload(&mut command);
        let child = self.spawn(at, &mut command);
        self.processes[at].child = Some(child);
        self.processes[at].faults = Some(faults);
    }

    /// Other system call faults for it; they hold once this returns.
    pub fn set_faults(&self, at: usize, rules: &str) {
        let faults = self.processes[at].faults.as_ref();
        faults.expect("started with faults").set_rules(rules);
    }

    /// The same for a process that may write files of so many blocks of 512 bytes; a write beyond fails.
    pub fn start_member_with_file_limit(&mut self, at: usize, blocks: u32) {
        let own = self.command(at);
        let mut command = Command::new("sh");
        let script = format!("trap '' XFSZ; ulimit -S -f {blocks}; exec \"$0\"");
        command.arg("-c").arg(script).arg(own.get_program());
        for (key, value) in own.get_envs() {
            match value {
                Some(value) => command.env(key, value),
                None => command.env_remove(key),
            };
        }
        command.stdin(Stdio::null()).stderr(Stdio::piped());
        self.processes[at].child = Some(self.spawn(at, &mut command));
    }

    /// A second process of a member, with another address for operators and all else the same.
    pub fn start_successor(&self, at: usize) -> ExtraProcess {
        let management = unused_addr();
        let child = self.spawn(
            at,
            self.command(at)
                .env("NODE_MANAGEMENT", management.to_string()),
        );
        ExtraProcess {
            child,
            client_addr: self.processes[at].addr,
            management_addr: management,
        }
    }

    /// That process is the member's from now on.
    pub fn adopt_process(&mut self, at: usize, next: &mut ExtraProcess) {
        // The new one's handle, against one of something that has ended.
        let ended = Command::new("true").spawn().unwrap();
        self.processes[at].child = Some(std::mem::replace(&mut next.child, ended));
        self.processes[at].management = next.management_addr;
    }

    /// The same program on the configuration of a member, at addresses of its own, without an operator's file.
    pub fn start_standalone_process(&self, at: usize) -> ExtraProcess {
        let (addr, management, dir) = (unused_addr(), unused_addr(), self.dir.join("plain"));
        std::fs::create_dir_all(&dir).unwrap();
        let mut command = self.command(at);
        command
            .env_remove("VIOLETWIND_CONFIG")
            .env("NODE_MANAGEMENT", management.to_string())
            .env("NODE_LISTEN", addr.to_string())
            .env("TMPDIR", dir);
        ExtraProcess {
            child: self.spawn(at, &mut command),
            client_addr: addr,
            management_addr: management,
        }
    }

    pub fn send_signal(&self, at: usize, signal: &str) {
        if let Some(child) = &self.processes[at].child {
            let sent = Command::new("kill")
                .args([signal, &child.id().to_string()])
                .status()
                .unwrap();
            assert!(sent.success(), "kill {signal} {}", node_name(at));
        }
    }

    pub fn pid(&self, at: usize) -> Option<u32> {
        self.processes[at].child.as_ref().map(Child::id)
    }

    /// SIGKILL.
    pub fn kill_member(&mut self, at: usize) {
        if let Some(mut child) = self.processes[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.kills.push(DutyEvent {
                mono_ms: boottime_ms(),
                node: node_name(at),
                duty: String::new(),
                fence: 0,
                kind: DutyEventKind::Killed,
            });
        }
    }

    /// SIGTERM, and the wait for its end.
    pub fn terminate_member(&mut self, at: usize) -> Option<ExitStatus> {
        self.send_signal(at, "-TERM");
        self.wait_for_exit(at)
    }

    pub fn wait_for_exit(&mut self, at: usize) -> Option<ExitStatus> {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let child = self.processes[at].child.as_mut()?;
            if let Some(status) = child.try_wait().unwrap() {
                self.processes[at].child = None;
                return Some(status);
            }
            assert!(Instant::now() < until, "{} does not end", node_name(at));
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// What becomes of frames from one member to another, on whichever connection.
    pub fn set_link(&self, from: usize, to: usize, way: LinkMode) {
        if let Some(relay) = self.relays.get(&(from, to)) {
            relay.set_mode(Direction::Forward, way);
        }
        if let Some(relay) = self.relays.get(&(to, from)) {
            relay.set_mode(Direction::Reverse, way);
        }
    }

    /// All ways between two groups.
    pub fn set_links_between(&self, some: &[usize], others: &[usize], way: LinkMode) {
        for (a, b) in some
            .iter()
            .flat_map(|a| others.iter().map(move |b| (*a, *b)))
        {
            self.set_link(a, b, way);
            self.set_link(b, a, way);
        }
    }

    pub fn heal_links(&self) {
        self.relays
            .values()
            .for_each(|relay| relay.set_both_modes(LinkMode::Pass));
    }

    /// An operator's call; none if nobody answers in time.
    pub fn call_member(&self, at: usize, line: &str) -> Option<String> {
        let call = || -> std::io::Result<String> {
            let mut stream =
                TcpStream::connect_timeout(&self.management_addr(at), Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_millis(1500)))?;
            stream.write_all(format!("{line}\n").as_bytes())?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer.trim_end().to_string())
        };
        call().ok()
    }

    /// What a member says of the fleet.
    pub fn fetch_view(&self, at: usize) -> Option<Value> {
        serde_json::from_str(self.call_member(at, "FLEET")?.strip_prefix("200 ")?).ok()
    }

    /// Who says that it holds a duty, by a member that has a leader's word.
    pub fn duty_holder(&self, at: usize, duty: &str) -> Option<usize> {
        let view = self
            .fetch_view(at)
            .filter(|view| view["majority"] == true)?;
        let duty = view["duties"]
            .as_array()?
            .iter()
            .find(|known| known["name"] == duty)?;
        (0..self.member_count()).find(|at| duty["holder"] == node_name(*at).as_str())
    }

    /// Waits until something is so.
    pub fn wait_until<T>(&self, what: &str, mut so: impl FnMut(&Self) -> Option<T>) -> T {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(found) = so(self) {
                return found;
            }
            assert!(
                Instant::now() < until,
                "{what}: never\n{}",
                self.merged_log()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until a member holds a duty by its own words: it gained it after `since` and has not lost it.
    pub fn wait_for_holder(&self, duty: &str, since: u64) -> (usize, u64) {
        self.wait_until(duty, |members| {
            let holdings = duty_history::reconstruct_holdings(&members.duty_events());
            let last = holdings.iter().rfind(|holding| holding.duty == duty)?;
            let node = (0..members.member_count()).find(|at| node_name(*at) == last.node)?;
            (last.until == u64::MAX && last.from >= since).then_some((node, last.from))
        })
    }

    pub fn duty_events(&self) -> Vec<DutyEvent> {
        let logs = self.logs.lock().unwrap();
        let told = logs
            .iter()
            .filter_map(|(at, line)| duty_history::parse_log_line(&node_name(*at), line));
        told.chain(self.kills.iter().cloned()).collect()
    }

    pub fn merged_log(&self) -> String {
        let logs = self.logs.lock().unwrap();
        logs.iter()
            .map(|(at, line)| format!("{} {line}\n", node_name(*at)))
            .collect()
    }

    pub fn log_contains(&self, at: usize, text: &str) -> bool {
        self.logs
            .lock()
            .unwrap()
            .iter()
            .any(|(by, line)| *by == at && line.contains(text))
    }
}

/// A process beside those of the members.
pub struct ExtraProcess {
    pub child: Child,
    pub client_addr: SocketAddr,
    pub management_addr: SocketAddr,
}

impl Drop for ExtraProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for FleetHarness {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

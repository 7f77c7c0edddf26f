//! Several processes of the proxy as one fleet on loopback, with a relay from each member to each other voter.

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

/// Size and settings of the fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// The proxy's executable.
    pub program: PathBuf,
    pub voters: usize,
    /// The number of members without a vote.
    pub non_voters: usize,
    pub lease_ms: u64,
    pub election_timeout_ms: u64,
    pub duties: Vec<String>,
    /// Duration of slow start after a server's start.
    pub slow_start_window_s: f64,
    /// The proxies' log level; `debug` includes the decision on each attempt and the write of its line.
    pub log_level: &'static str,
    /// Additional lines for the `[fleet]` section of all members' files.
    pub fleet_toml: String,
    /// Additional lines for the end of all members' files; `FILE` is replaced by a path of each member's own.
    pub extra_toml: String,
}

/// A member's process and its addresses.
struct Process {
    child: Option<Child>,
    client_addr: SocketAddr,
    management_addr: SocketAddr,
    peer_addr: SocketAddr,
    dir: PathBuf,
    /// System call faults injected into the process.
    faults: Option<FaultInjector>,
}

/// A fleet of proxy processes. Dropping it kills the processes and deletes their files.
pub struct FleetHarness {
    spec: FleetSpec,
    dir: PathBuf,
    processes: Vec<Process>,
    /// Relays by the indices of the connecting and the accepting member.
    relays: BTreeMap<(usize, usize), Relay>,
    /// Log lines with the index of the member that wrote them.
    logs: Arc<Mutex<Vec<(usize, String)>>>,
    /// A server that is listed for all members.
    pub server: Server,
    discovery: Discovery,
    kills: Vec<DutyEvent>,
}

/// The node name of the member with this index: `node-a` to `node-z`, then `node-a1` and so on.
pub fn node_name(at: usize) -> String {
    format!("node-{}", (b'a' + (at % 26) as u8) as char)
        + &if at < 26 {
            String::new()
        } else {
            (at / 26).to_string()
        }
}

/// The number of members that a `FLEET` view shows as live.
pub fn count_live_members(view: &Value) -> Option<usize> {
    let members = view["members"].as_array()?.iter();
    Some(members.filter(|member| member["state"] == "live").count())
}

impl FleetHarness {
    /// Starts all members, and returns without waiting for them to be ready.
    pub fn start(spec: FleetSpec) -> Self {
        static COUNT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let count = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let dir =
            std::env::temp_dir().join(format!("violetwind-members-{}-{count}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        let server = Server::start("s-1");
        let new_process = |at: usize| Process {
            child: None,
            client_addr: unused_addr(),
            management_addr: unused_addr(),
            peer_addr: unused_addr(),
            dir: dir.join(node_name(at)),
            faults: None,
        };
        let processes: Vec<Process> = (0..spec.voters + spec.non_voters)
            .map(new_process)
            .collect();
        let mut relays = BTreeMap::new();
        for from in 0..processes.len() {
            for to in (0..spec.voters).filter(|to| *to != from) {
                let relay =
                    Relay::start(([127, 0, 0, 1], 0).into(), processes[to].peer_addr).unwrap();
                relays.insert((from, to), relay);
            }
        }
        let mut harness = Self {
            spec,
            dir,
            processes,
            relays,
            logs: Arc::default(),
            discovery: Discovery::start(&[server.target_row("ready")]),
            server,
            kills: Vec::new(),
        };
        for at in 0..harness.processes.len() {
            harness.write_files(at);
            harness.start_member(at);
        }
        harness
    }

    /// Lists the server as started just now, so that it is in slow start.
    pub fn mark_server_restarted(&self) {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let mut row = self.server.target_row("ready");
        row["boot_ms"] = json!(now.expect("the clock is before 1970").as_millis() as u64);
        self.discovery.upsert_target(row);
    }

    /// Adds a server to the list of all members, or replaces its row.
    pub fn upsert_target(&self, target: Value) {
        self.discovery.upsert_target(target);
    }

    /// The proxies' JSON log lines that contain a text, each with the index of its member.
    pub fn log_lines_containing(&self, message: &str) -> Vec<(usize, Value)> {
        let logs = self.logs.lock().unwrap();
        let lines = logs.iter().filter(|(_, line)| line.contains(message));
        lines
            .filter_map(|(at, line)| Some((*at, serde_json::from_str(line).ok()?)))
            .collect()
    }

    /// The number of members.
    pub fn member_count(&self) -> usize {
        self.processes.len()
    }

    /// The member's address for clients.
    pub fn client_addr(&self, at: usize) -> SocketAddr {
        self.processes[at].client_addr
    }

    /// The member's address for operators.
    pub fn management_addr(&self, at: usize) -> SocketAddr {
        self.processes[at].management_addr
    }

    /// The member's address for its peers.
    pub fn peer_addr(&self, at: usize) -> SocketAddr {
        self.processes[at].peer_addr
    }

    /// The directory of the member's replicated log.
    pub fn fleet_dir(&self, at: usize) -> PathBuf {
        self.processes[at].dir.join("fleet")
    }

    /// The directory of the files of all members.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Writes the configuration files of a member.
    fn write_files(&self, at: usize) {
        let process = &self.processes[at];
        std::fs::create_dir_all(&process.dir).unwrap();
        let config = json!({
            "name": node_name(at), "listen": process.client_addr.to_string(),
            "management": process.management_addr.to_string(),
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
        let mut toml = format!(
            "[log]\nformat = \"json\"\nlevel = \"{}\"\n[fleet]\nname = \"turnos\"\nlisten = \"{}\"\nlease = \"{}ms\"\n\
             election = \"{}ms\"\n{}\n",
            spec.log_level,
            process.peer_addr,
            spec.lease_ms,
            spec.election_timeout_ms,
            spec.fleet_toml
        );
        if at < spec.voters {
            toml += &format!("dir = \"{}\"\n", self.fleet_dir(at).display());
        }
        for peer in (0..spec.voters).chain((at >= spec.voters).then_some(at)) {
            let address = match self.relays.get(&(at, peer)) {
                Some(relay) => relay.addr,
                None => process.peer_addr,
            };
            let votes = peer < spec.voters;
            toml += &format!(
                "[[fleet.peer]]\nnode = \"{}\"\naddress = \"{address}\"\nvotes = {votes}\n",
                node_name(peer)
            );
        }
        for duty in &spec.duties {
            toml += &format!("[[fleet.duty]]\nname = \"{duty}\"\n");
        }
        // `FILE` in the additional lines becomes a path of this member's own.
        let own_file = process.dir.join("work.out").display().to_string();
        let extra_toml = spec.extra_toml.replace("FILE", &own_file);
        std::fs::write(process.dir.join("operator.toml"), toml + &extra_toml).unwrap();
    }

    /// Replaces the additional lines at the end of a member's file, which its next process reads.
    pub fn set_extra_toml(&mut self, at: usize, extra_toml: &str) {
        self.spec.extra_toml = extra_toml.into();
        self.write_files(at);
    }

    /// Sets the executable of all processes started from now on.
    pub fn set_program(&mut self, program: PathBuf) {
        self.spec.program = program;
    }

    /// Starts the process of a member with its present files.
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

    /// Starts a process whose log lines are recorded for a member.
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

    /// Starts the process of a member with system call faults from its first call on.
    pub fn start_member_with_faults(&mut self, at: usize, rules: &str) {
        let faults = FaultInjector::new(&self.processes[at].dir, rules);
        let mut command = self.command(at);
        faults.preload(&mut command);
        let child = self.spawn(at, &mut command);
        self.processes[at].child = Some(child);
        self.processes[at].faults = Some(faults);
    }

    /// Replaces the system call faults of a member's process; they are in force once this returns.
    pub fn set_faults(&self, at: usize, rules: &str) {
        let faults = self.processes[at].faults.as_ref();
        faults
            .expect("the member was started without faults")
            .set_rules(rules);
    }

    /// Starts the process of a member with a file size limit of `blocks` blocks of 512 bytes; a write beyond it fails.
    pub fn start_member_with_file_limit(&mut self, at: usize, blocks: u32) {
        let original = self.command(at);
        let mut command = Command::new("sh");
        let script = format!("trap '' XFSZ; ulimit -S -f {blocks}; exec \"$0\"");
        command.arg("-c").arg(script).arg(original.get_program());
        for (key, value) in original.get_envs() {
            match value {
                Some(value) => command.env(key, value),
                None => command.env_remove(key),
            };
        }
        command.stdin(Stdio::null()).stderr(Stdio::piped());
        self.processes[at].child = Some(self.spawn(at, &mut command));
    }

    /// Starts a second process of a member that differs only in its address for operators.
    pub fn start_successor(&self, at: usize) -> ExtraProcess {
        let management = unused_addr();
        let child = self.spawn(
            at,
            self.command(at)
                .env("NODE_MANAGEMENT", management.to_string()),
        );
        ExtraProcess {
            child,
            client_addr: self.processes[at].client_addr,
            management_addr: management,
        }
    }

    /// Makes a process started by [`Self::start_successor`] the member's own.
    pub fn adopt_process(&mut self, at: usize, successor: &mut ExtraProcess) {
        // Leaves the handle of a process that has ended in place of the successor's.
        let ended = Command::new("true").spawn().unwrap();
        self.processes[at].child = Some(std::mem::replace(&mut successor.child, ended));
        self.processes[at].management_addr = successor.management_addr;
    }

    /// Starts the program with the configuration of a member, but at other addresses and without an operator's file.
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

    /// Sends a signal, in the notation of `kill` (`-TERM`), to a member's process.
    pub fn send_signal(&self, at: usize, signal: &str) {
        if let Some(child) = &self.processes[at].child {
            send_signal(child, signal);
        }
    }

    /// The process id of a member, if it has a process.
    pub fn pid(&self, at: usize) -> Option<u32> {
        self.processes[at].child.as_ref().map(Child::id)
    }

    /// Kills a member's process with SIGKILL, and records the kill as a duty event.
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

    /// Sends SIGTERM to a member's process, and waits for its end.
    pub fn terminate_member(&mut self, at: usize) -> Option<ExitStatus> {
        self.send_signal(at, "-TERM");
        self.wait_for_exit(at)
    }

    /// Waits for the end of a member's process.
    pub fn wait_for_exit(&mut self, at: usize) -> Option<ExitStatus> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let child = self.processes[at].child.as_mut()?;
            if let Some(status) = child.try_wait().unwrap() {
                self.processes[at].child = None;
                return Some(status);
            }
            assert!(
                Instant::now() < deadline,
                "{} did not exit in time",
                node_name(at)
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sets the mode of all bytes from one member to another, whichever of them opened the connection.
    pub fn set_link(&self, from: usize, to: usize, mode: LinkMode) {
        if let Some(relay) = self.relays.get(&(from, to)) {
            relay.set_mode(Direction::Forward, mode);
        }
        if let Some(relay) = self.relays.get(&(to, from)) {
            relay.set_mode(Direction::Reverse, mode);
        }
    }

    /// Sets the mode of all links between two groups, in both directions.
    pub fn set_links_between(&self, group: &[usize], other_group: &[usize], mode: LinkMode) {
        for (from, to) in group
            .iter()
            .flat_map(|from| other_group.iter().map(move |to| (*from, *to)))
        {
            self.set_link(from, to, mode);
            self.set_link(to, from, mode);
        }
    }

    /// Sets all links back to `Pass`.
    pub fn heal_links(&self) {
        self.relays
            .values()
            .for_each(|relay| relay.set_both_modes(LinkMode::Pass));
    }

    /// Sends an operator's call to a member; returns none if no answer arrives in time.
    pub fn call_member(&self, at: usize, line: &str) -> Option<String> {
        let send = || -> std::io::Result<String> {
            let mut stream =
                TcpStream::connect_timeout(&self.management_addr(at), Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_millis(1500)))?;
            stream.write_all(format!("{line}\n").as_bytes())?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer.trim_end().to_string())
        };
        send().ok()
    }

    /// Fetches a member's `FLEET` view.
    pub fn fetch_view(&self, at: usize) -> Option<Value> {
        serde_json::from_str(self.call_member(at, "FLEET")?.strip_prefix("200 ")?).ok()
    }

    /// The holder of a duty according to member `at`; none if that member's view is not confirmed by a majority.
    pub fn duty_holder(&self, at: usize, duty: &str) -> Option<usize> {
        let view = self
            .fetch_view(at)
            .filter(|view| view["majority"] == true)?;
        let duty = view["duties"]
            .as_array()?
            .iter()
            .find(|entry| entry["name"] == duty)?;
        (0..self.member_count()).find(|at| duty["holder"] == node_name(*at).as_str())
    }

    /// Waits until `condition` returns a value; `description` names it in the panic message.
    pub fn wait_until<T>(
        &self,
        description: &str,
        mut condition: impl FnMut(&Self) -> Option<T>,
    ) -> T {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(found) = condition(self) {
                return found;
            }
            assert!(
                Instant::now() < deadline,
                "timed out: {description}\n{}",
                self.merged_log()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until a member holds a duty according to its own log: gained at or after `since`, and not lost.
    /// Returns the member and the time of the gain in milliseconds.
    pub fn wait_for_holder(&self, duty: &str, since: u64) -> (usize, u64) {
        self.wait_until(duty, |harness| {
            let holdings = duty_history::reconstruct_holdings(&harness.duty_events());
            let last = holdings.iter().rfind(|holding| holding.duty == duty)?;
            let node = (0..harness.member_count()).find(|at| node_name(*at) == last.node)?;
            (last.until == u64::MAX && last.from >= since).then_some((node, last.from))
        })
    }

    /// All duty events in the members' logs, and the kills.
    pub fn duty_events(&self) -> Vec<DutyEvent> {
        let logs = self.logs.lock().unwrap();
        let events = logs
            .iter()
            .filter_map(|(at, line)| duty_history::parse_log_line(&node_name(*at), line));
        events.chain(self.kills.iter().cloned()).collect()
    }

    /// All log lines in the order of their arrival, each headed by its node's name.
    pub fn merged_log(&self) -> String {
        let logs = self.logs.lock().unwrap();
        logs.iter()
            .map(|(at, line)| format!("{} {line}\n", node_name(*at)))
            .collect()
    }

    /// Whether a member has logged a line that contains `text`.
    pub fn log_contains(&self, at: usize, text: &str) -> bool {
        self.logs
            .lock()
            .unwrap()
            .iter()
            .any(|(member, line)| *member == at && line.contains(text))
    }
}

/// A process in addition to those of the members. Dropping it kills the process.
pub struct ExtraProcess {
    pub child: Child,
    pub client_addr: SocketAddr,
    pub management_addr: SocketAddr,
}

impl ExtraProcess {
    /// Sends a signal in the notation of `kill` (`-HUP`).
    pub fn send_signal(&self, signal: &str) {
        send_signal(&self.child, signal);
    }
}

fn send_signal(process: &Child, signal: &str) {
    let pid = process.id().to_string();
    let status = Command::new("kill").args([signal, &pid]).status().unwrap();
    assert!(status.success(), "kill {signal} {pid}");
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

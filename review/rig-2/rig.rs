//! Stand-ins and helpers of the review's cases 6 to 10: discovery, servers, clients, operators' calls, and processes
//! started by the commands of the deploy file. Standard library only; all addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub const HUP: i32 = 1;
pub const TERM: i32 = 15;
pub const KILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn mkfifo(path: *const u8, mode: u32) -> i32;
}

/// Sends a signal to a process that the test has started.
pub fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

pub fn make_fifo(path: &Path) {
    let name = format!("{}\0", path.display());
    if unsafe { mkfifo(name.as_ptr(), 0o600) } != 0 {
        give_up("a FIFO can't be made");
    }
}

/// Milliseconds since the start of the case.
pub fn now_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn record_file() -> &'static Mutex<File> {
    static FILE: OnceLock<Mutex<File>> = OnceLock::new();
    FILE.get_or_init(|| {
        let path = case_dir().join("record.txt");
        Mutex::new(File::create(path).expect("record.txt can't be written"))
    })
}

/// Writes a line to `record.txt`.
pub fn record(text: impl AsRef<str>) {
    let line = format!("{:>7} {}\n", now_ms(), text.as_ref());
    let _ = record_file().lock().unwrap().write_all(line.as_bytes());
}

/// The folder of the case, from the first argument.
pub fn case_dir() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).expect("the case's folder is missing"))
}

/// The root of the repository.
pub fn root() -> PathBuf {
    case_dir().join("../..").canonicalize().expect("no root")
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A temporary folder of this run, deleted at the end.
pub fn work_dir() -> &'static PathBuf {
    static DIR: OnceLock<PathBuf> = OnceLock::new();
    DIR.get_or_init(|| {
        let dir = std::env::temp_dir().join(format!("violetwind-review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("no temporary folder");
        dir
    })
}

fn started() -> &'static Mutex<Vec<u32>> {
    static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());
    &PIDS
}

/// Remembers a process that has to be ended at the end of the case.
pub fn remember(pid: u32) {
    started().lock().unwrap().push(pid);
}

/// Forgets a process that has ended and was reaped.
pub fn forget(pid: u32) {
    started().lock().unwrap().retain(|known| *known != pid);
}

/// Ends all processes that the case has started, deletes its folder, and exits.
pub fn finish(code: i32, why: &str) -> ! {
    let verdict = match code {
        HELD => "held",
        BROKEN => "broken",
        _ => "could not run",
    };
    record(format!("RESULT {verdict}: {why}"));
    println!("{verdict}: {why}");
    for pid in started().lock().unwrap().iter() {
        signal(*pid, KILL);
    }
    sleep_ms(100);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(work_dir());
    }
    std::process::exit(code);
}

pub fn give_up(why: &str) -> ! {
    finish(COULD_NOT_RUN, why)
}

/// Ends the case as not run after `seconds`, whatever it is doing.
pub fn limit_time(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        give_up("the time is over");
    });
}

/// A free loopback address.
pub fn free_addr() -> SocketAddr {
    // Ports are kept apart: a port that was free a moment ago must not be given out twice.
    static USED: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let addr = listener.local_addr().unwrap();
        let mut used = USED.lock().unwrap();
        if !used.contains(&addr.port()) {
            used.push(addr.port());
            return addr;
        }
    }
}

/// Waits until `check` is true; gives up after `seconds`.
pub fn wait_for(what: &str, seconds: u64, mut check: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(seconds);
    while !check() {
        if Instant::now() >= deadline {
            give_up(&format!("not in time: {what}"));
        }
        sleep_ms(10);
    }
}

// Discovery.

struct DiscoveryState {
    rev: u64,
    down: bool,
    /// Row by uid: revision of the last change, state, and the rest of the row as JSON.
    rows: BTreeMap<String, (u64, String, String)>,
    /// When an answer that tells a server in a state was first written to a caller: by uid and state.
    told: BTreeMap<(String, String), u64>,
}

/// Discovery as the protocol page describes it: whole lists and watches.
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

impl Discovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no address for discovery");
        let addr = listener.local_addr().unwrap();
        let state = Arc::new((
            Mutex::new(DiscoveryState {
                rev: 1,
                down: false,
                rows: BTreeMap::new(),
                told: BTreeMap::new(),
            }),
            Condvar::new(),
        ));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || serve_discovery(stream, &shared));
            }
        });
        Self { addr, state }
    }

    /// Lists a server in a state.
    pub fn set(&self, uid: &str, endpoint: SocketAddr, zone: &str, state: &str) {
        let mut inner = self.state.0.lock().unwrap();
        inner.rev += 1;
        let rest = format!(
            "\"endpoint\":\"{endpoint}\",\"az\":\"{zone}\",\"model\":\"m\",\"pod_group\":0,\"capacity_hint\":1.0,\"boot_ms\":0"
        );
        let rev = inner.rev;
        inner
            .rows
            .insert(uid.to_string(), (rev, state.to_string(), rest));
        record(format!("discovery: {uid} is {state}, rev {rev}"));
        self.state.1.notify_all();
    }

    /// Takes discovery down: open calls end and new ones are reset. Or brings it back.
    pub fn set_down(&self, down: bool) {
        record(format!("discovery is {}", if down { "down" } else { "back" }));
        self.state.0.lock().unwrap().down = down;
        self.state.1.notify_all();
    }

    /// When some proxy was first told that the server is in the state.
    pub fn told_at(&self, uid: &str, state: &str) -> Option<u64> {
        let inner = self.state.0.lock().unwrap();
        inner
            .told
            .get(&(uid.to_string(), state.to_string()))
            .copied()
    }
}

fn serve_discovery(stream: TcpStream, shared: &(Mutex<DiscoveryState>, Condvar)) {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().expect("no clone");
    let mut reader = BufReader::new(stream);
    loop {
        let mut first = String::new();
        if reader.read_line(&mut first).unwrap_or(0) == 0 {
            return;
        }
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header).unwrap_or(0) == 0 {
                return;
            }
            if header.trim().is_empty() {
                break;
            }
        }
        let path = first.split(' ').nth(1).unwrap_or("").to_string();
        let number = |name: &str| {
            let query = path.split_once('?').map_or("", |(_, query)| query);
            query.split('&').find_map(|pair| {
                let (key, value) = pair.split_once('=')?;
                (key == name).then(|| value.parse::<u64>().ok())?
            })
        };
        let after = number("after");
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000));
        let deadline = Instant::now() + wait;
        let mut inner = shared.0.lock().unwrap();
        while after.is_some_and(|after| inner.rev <= after) && Instant::now() < deadline && !inner.down {
            let left = deadline.saturating_duration_since(Instant::now());
            inner = shared.1.wait_timeout(inner, left).unwrap().0;
        }
        if inner.down {
            return;
        }
        let rev = inner.rev;
        let rows: Vec<(String, String, String)> = inner
            .rows
            .iter()
            .filter(|(_, (changed, state, _))| match after {
                Some(after) => *changed > after,
                None => state != "gone",
            })
            .map(|(uid, (_, state, rest))| (uid.clone(), state.clone(), rest.clone()))
            .collect();
        let targets: Vec<String> = rows
            .iter()
            .map(|(uid, state, rest)| format!("{{\"uid\":\"{uid}\",\"state\":\"{state}\",{rest}}}"))
            .collect();
        let body = format!(
            "{{\"rev\":{rev},\"all\":{},\"targets\":[{}]}}",
            after.is_none(),
            targets.join(",")
        );
        drop(inner);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
        let at = now_ms();
        let mut inner = shared.0.lock().unwrap();
        for (uid, state, _) in rows {
            if let std::collections::btree_map::Entry::Vacant(entry) =
                inner.told.entry((uid.clone(), state.clone()))
            {
                entry.insert(at);
                record(format!("discovery: told {uid} {state}"));
            }
        }
    }
}

// Servers.

/// A request that has reached a server: answered `UP`, or `BUSY` while it drains.
#[derive(Clone, Debug)]
pub struct Visit {
    pub id: String,
    pub class: String,
    pub up_at: u64,
    pub ended_at: Option<u64>,
}

/// A sound server: answers `OPEN` with `UP`, sends each line back, answers probes.
pub struct Server {
    pub uid: String,
    pub addr: SocketAddr,
    visits: Arc<Mutex<Vec<Visit>>>,
    /// The connections that are open.
    streams: Arc<Mutex<Vec<TcpStream>>>,
    state: Arc<Mutex<ServerState>>,
}

#[derive(Clone, Copy, PartialEq)]
enum ServerState {
    Ready,
    /// Finishes what it has and turns away what is new, with `BUSY`.
    Draining,
    /// Its connections have ended, and new ones are refused.
    Stopped,
}

impl Server {
    pub fn start(uid: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no address for a server");
        let addr = listener.local_addr().unwrap();
        let visits: Arc<Mutex<Vec<Visit>>> = Arc::default();
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (shared, name, open) = (visits.clone(), uid.to_string(), streams.clone());
        let state = Arc::new(Mutex::new(ServerState::Ready));
        let shared_state = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if *shared_state.lock().unwrap() == ServerState::Stopped {
                    return;
                }
                let state = shared_state.clone();
                open.lock().unwrap().push(stream.try_clone().expect("no clone"));
                let (shared, name) = (shared.clone(), name.clone());
                thread::spawn(move || serve_connection(stream, &name, &shared, &state));
            }
        });
        Self {
            uid: uid.to_string(),
            addr,
            visits,
            streams,
            state,
        }
    }

    /// Begins to drain: what is new is turned away.
    pub fn drain(&self) {
        *self.state.lock().unwrap() = ServerState::Draining;
        record(format!("{}: drains", self.uid));
    }

    /// Ends: open connections end, and new ones are refused.
    pub fn stop(&self) {
        *self.state.lock().unwrap() = ServerState::Stopped;
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect(self.addr);
        record(format!("{}: stopped", self.uid));
        for stream in self.streams.lock().unwrap().iter() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn visits(&self) -> Vec<Visit> {
        self.visits.lock().unwrap().clone()
    }

    /// Connections that are up now.
    pub fn up_now(&self) -> Vec<Visit> {
        let visits = self.visits.lock().unwrap();
        let open = visits.iter().filter(|visit| visit.ended_at.is_none());
        open.cloned().collect()
    }
}

fn serve_connection(stream: TcpStream, server: &str, visits: &Mutex<Vec<Visit>>, state: &Mutex<ServerState>) {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().expect("no clone");
    let mut reader = BufReader::new(stream);
    let mut visit = None;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            break;
        }
        let text = line.trim_end().to_string();
        let answer = if visit.is_some() {
            text
        } else if text == "PING" {
            "PONG".to_string()
        } else if text == "STATS" {
            "PONG x0=0.10".to_string()
        } else if let Some(rest) = text.strip_prefix("OPEN ") {
            let id = rest.split(' ').next().unwrap_or("").to_string();
            let fields = rest.split(' ').nth(2).unwrap_or("");
            let class = fields.split(',').find_map(|pair| pair.strip_prefix("c="));
            let class = class.unwrap_or("").to_string();
            record(format!("{server}: {text}"));
            let turned_away = *state.lock().unwrap() == ServerState::Draining;
            let mut visits = visits.lock().unwrap();
            visit = Some(visits.len());
            visits.push(Visit {
                id: id.clone(),
                class,
                up_at: now_ms(),
                ended_at: None,
            });
            if turned_away {
                let _ = writer.write_all(b"BUSY\r\n");
                break;
            }
            format!("UP r-{id}")
        } else {
            "SYNTAX".to_string()
        };
        if writer.write_all(format!("{answer}\r\n").as_bytes()).is_err() {
            break;
        }
    }
    if let Some(index) = visit {
        let mut visits = visits.lock().unwrap();
        visits[index].ended_at = Some(now_ms());
        record(format!("{server}: end of {}", visits[index].id));
    }
}

// Clients.

/// An id that no other client has.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let salt = u64::from(std::process::id()) << 32;
    format!("{:016x}", salt | NEXT.fetch_add(1, Ordering::Relaxed))
}

/// A client's connection that is up.
pub struct Client {
    pub id: String,
    pub writer: TcpStream,
    pub reader: BufReader<TcpStream>,
}

/// What a client gets for its `OPEN` line.
pub enum Answer {
    Up(Client),
    /// `BUSY`, `ERR` or another line.
    Line(String),
    /// No answer: the reason.
    Nothing(String),
}

/// Connects and sends an `OPEN` line; waits for the answer as long as the line says and half a second more.
pub fn open(proxy: SocketAddr, class: &str, deadline_ms: u64) -> Answer {
    let id = new_id();
    let Ok(stream) = TcpStream::connect_timeout(&proxy, Duration::from_millis(500)) else {
        record(format!("client {id}: not connected to {proxy}"));
        return Answer::Nothing("not connected".into());
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 500)));
    let mut writer = stream.try_clone().expect("no clone");
    let mut reader = BufReader::new(stream);
    let line = format!("OPEN {id} 7f3a9c21e0b4d655 c={class},d={deadline_ms}\r\n");
    if writer.write_all(line.as_bytes()).is_err() {
        return Answer::Nothing("not written".into());
    }
    let mut answer = String::new();
    match reader.read_line(&mut answer) {
        Ok(0) => {
            record(format!("client {id}: closed without an answer by {proxy}"));
            Answer::Nothing("closed".into())
        }
        Err(error) => {
            record(format!("client {id}: no answer from {proxy}: {error}"));
            Answer::Nothing(error.to_string())
        }
        Ok(_) => {
            let text = answer.trim_end().to_string();
            record(format!("client {id}: {text} from {proxy}"));
            match text == format!("UP r-{id}") {
                true => Answer::Up(Client { id, writer, reader }),
                false => Answer::Line(text),
            }
        }
    }
}

/// How a connection that was up ended, or that it goes on.
#[derive(Debug, PartialEq)]
pub enum Exchange {
    Echoed,
    Moved,
    Ended(String),
}

impl Client {
    /// Sends a line and waits up to 7 s for it to come back.
    pub fn exchange(&mut self) -> Exchange {
        let stream = self.reader.get_ref();
        let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
        if self.writer.write_all(b"line\r\n").is_err() {
            // What the proxy has sent before is still there to be read.
            return self.read_rest("the line was not written");
        }
        self.read_rest("")
    }

    fn read_rest(&mut self, failed: &str) -> Exchange {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Exchange::Ended(format!("closed {failed}")),
            Err(error) => Exchange::Ended(format!("{error} {failed}")),
            Ok(_) if line.trim_end() == "MOVE" => Exchange::Moved,
            Ok(_) => Exchange::Echoed,
        }
    }
}

// Relays between peers.

/// Passes connections on to an address, until it is cut: then it drops what comes and resets nothing.
pub struct Relay {
    pub addr: SocketAddr,
    cut: Arc<std::sync::atomic::AtomicBool>,
}

impl Relay {
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no address for a relay");
        let addr = listener.local_addr().unwrap();
        let cut = Arc::new(std::sync::atomic::AtomicBool::new(false));
        let shared = cut.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(other) = TcpStream::connect(to) else { continue };
                for (from, to) in [(&stream, &other), (&other, &stream)] {
                    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    let (_, shared) = (to.set_nodelay(true), shared.clone());
                    thread::spawn(move || {
                        let mut buffer = [0; 16384];
                        while let Ok(read @ 1..) = from.read(&mut buffer) {
                            // A cut link says nothing: connections stay open and silent.
                            if !shared.load(Ordering::Relaxed) && to.write_all(&buffer[..read]).is_err() {
                                break;
                            }
                        }
                        let _ = to.shutdown(std::net::Shutdown::Both);
                        let _ = from.shutdown(std::net::Shutdown::Both);
                    });
                }
            }
        });
        Self { addr, cut }
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

// Processes and operators' calls.

/// Sends one line to a proxy's address for operators and returns its answer.
pub fn call(management: SocketAddr, line: &str) -> String {
    let Ok(mut stream) = TcpStream::connect_timeout(&management, Duration::from_millis(500)) else {
        return String::new();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1500)));
    if stream.write_all(format!("{line}\r\n").as_bytes()).is_err() {
        return String::new();
    }
    let mut answer = String::new();
    let _ = BufReader::new(stream).read_line(&mut answer);
    answer.trim_end().to_string()
}

/// Sends `PING` to a proxy's address for clients and returns its answer.
pub fn ping(listen: SocketAddr) -> String {
    call(listen, "PING")
}

/// The command `run` of the deploy file.
pub fn run_command() -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    match line.and_then(|rest| rest.split('"').next()) {
        Some(command) => command.to_string(),
        None => give_up("the deploy file has no command `run`"),
    }
}

/// A proxy of the case: its addresses and its folder, which outlives its processes.
#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub listen: SocketAddr,
    pub management: SocketAddr,
    pub peer: SocketAddr,
    pub dir: PathBuf,
    pub has_operator_file: bool,
}

impl Node {
    pub fn new(name: &str) -> Self {
        let dir = work_dir().join(name);
        fs::create_dir_all(dir.join("tmp")).expect("no folder");
        Self {
            name: name.to_string(),
            listen: free_addr(),
            management: free_addr(),
            peer: free_addr(),
            dir,
            has_operator_file: false,
        }
    }

    /// Writes the platform's configuration, with settings like those of a small deployment.
    pub fn write_config(&self, discovery: SocketAddr, proxies: usize, me: usize) {
        let Self {
            name,
            listen,
            management,
            ..
        } = self;
        let config = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","management":"{management}",
"seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"rev":0,"all":true,"targets":[]}},
"settings":{{"fleet-size":{proxies},"me":{me},"zone":"a","azs":["a","b"],"skus":["m"],"orgs":[],
"request-classes":[
{{"name":"view","idempotency":"pure","group":"all","stream":true,"deadline-s":2.0,"target-s":0.5,"credit":2.0,"late-worth":0.0,"window-s":5.0}},
{{"name":"slot","idempotency":"pure","group":"all","stream":true,"deadline-s":3.0,"target-s":0.5,"credit":6.0,"late-worth":0.0,"window-s":5.0}}],
"reporting":{{"fields":["x0"],"source":"probe"}},
"permissions":{{"probes":true,"cancel":true,"retry-after":true,"second-copies":false,"max-attempts":6,"max-retry-after-s":1.5,"connect-timeout-s":0.25}},
"membership-mode":"on_request",
"rules":{{"ask-within-s":10.0,"answer-slack-s":0.02,"cold-from":0.31,"cold-s":7.2,"fall-multiple":3.0,"overload-for-s":1.5,"drain-grace-s":0.3}},
"weights":"none","family-info":{{"groups":false,"mode":"proxy"}}}}}}
"#,
            0x51b7_0000_0000_u64 + me as u64
        );
        fs::write(self.dir.join("config.json"), config).expect("no configuration");
    }

    /// Writes the operator's file: a fleet of `peers`, all of which vote, and further lines.
    pub fn write_fleet(&mut self, peers: &[Node], fleet_lines: &str, further: &str) {
        let mut text = format!(
            "[fleet]\nname = \"review\"\nlisten = \"{}\"\ndir = \"{}\"\n{fleet_lines}\n",
            self.peer,
            self.dir.join("fleet").display()
        );
        for peer in peers {
            text += &format!(
                "[[fleet.peer]]\nnode = \"{}\"\naddress = \"{}\"\nvotes = true\n",
                peer.name, peer.peer
            );
        }
        text += &further.replace("WORK_FILE", &self.dir.join("work.out").display().to_string());
        fs::write(self.dir.join("operator.toml"), text).expect("no operator's file");
        self.has_operator_file = true;
    }

    /// Starts a process of this proxy by `run` of the deploy file. Its log goes to `stderr`.
    pub fn start(&self, management: SocketAddr, stderr: Stdio) -> Child {
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_command()])
            .current_dir(root())
            .env("NODE_CONFIG", self.dir.join("config.json"))
            .env("NODE_MANAGEMENT", management.to_string())
            .env("TMPDIR", self.dir.join("tmp"))
            .env_remove("NODE_NAME")
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env_remove("VIOLETWIND_CONFIG")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr);
        if self.has_operator_file {
            command.env("VIOLETWIND_CONFIG", self.dir.join("operator.toml"));
        }
        let child = command.spawn().unwrap_or_else(|error| give_up(&error.to_string()));
        remember(child.id());
        record(format!("{}: started, pid {}", self.name, child.id()));
        child
    }

    /// A file for the log of this proxy's processes.
    pub fn log(&self) -> Stdio {
        let path = self.dir.join("log.txt");
        let file = File::options().create(true).append(true).open(path);
        Stdio::from(file.expect("no log file"))
    }

    pub fn wait_ready(&self, management: SocketAddr) {
        wait_for(&format!("{} serves", self.name), 20, || {
            call(management, "HEALTH").starts_with("200") && ping(self.listen) == "PONG"
        });
        record(format!("{}: serves", self.name));
    }
}

/// The value of a JSON member that is a string or a number, by its key, after `from` in the text. Enough for the
/// one-line answers of a proxy.
pub fn json_value<'a>(text: &'a str, from: &str, key: &str) -> Option<&'a str> {
    let rest = &text[text.find(from)? + from.len()..];
    let pattern = format!("\"{key}\":");
    let rest = &rest[rest.find(&pattern)? + pattern.len()..];
    let end = rest.find([',', '}', ']'])?;
    Some(rest[..end].trim_matches('"'))
}

/// Waits until all members of the fleet are live.
pub fn wait_fleet(management: SocketAddr, members: usize) {
    wait_for("all members of the fleet are live", 30, || {
        let view = call(management, "FLEET");
        view.contains("\"majority\":true") && view.matches("\"state\":\"live\"").count() == members
    });
}

/// Runs a command line of the program and returns its exit code and output.
pub fn violetwind(arguments: &[&str]) -> (i32, String) {
    let program = root().join("target/release/violetwind");
    let output = Command::new(program).args(arguments).stdin(Stdio::null()).output();
    match output {
        Ok(output) => {
            let text = String::from_utf8_lossy(&output.stdout).to_string()
                + &String::from_utf8_lossy(&output.stderr);
            record(format!("violetwind {}: {:?} {}", arguments.join(" "), output.status.code(), text.trim()));
            (output.status.code().unwrap_or(-1), text)
        }
        Err(error) => give_up(&error.to_string()),
    }
}

pub fn read_to_string(path: &Path) -> String {
    let mut text = String::new();
    if let Ok(mut file) = File::open(path) {
        let _ = file.read_to_string(&mut text);
    }
    text
}

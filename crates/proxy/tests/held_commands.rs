//! The command of `violetwind hold` ends with its lease, whatever the proxy, the network or `violetwind hold` itself do.
//! The proxy is played by the test. The leases that it grants end a tenth before those of the fleet, as a member's do.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Leases of the fleet that are tested, in milliseconds.
const LEASES_MS: [u64; 4] = [200, 800, 2000, 10_000];

/// How long a condition may take that has no deadline of its own.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// A command that ignores SIGTERM, with a second process in its group that does so too. Both write into files again and
/// again, so that the time of the last write is the last time at which they certainly ran.
const STUBBORN_COMMAND: &str = "trap '' TERM; (while :; do : > $BEAT.a; sleep 0.01; done) & \
                                while :; do : > $BEAT.b; sleep 0.01; done";

/// How the played proxy answers calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    Grant,
    /// It reads nothing and answers nothing, like a stopped process or a link that is cut off.
    Silent,
    /// Its connections are closed, like those of a killed process.
    Closing,
    /// It answers one byte a second.
    Trickling,
    /// It answers after this time, in milliseconds.
    Late(u64),
    /// The duty is held elsewhere.
    NotHeld,
}

struct ProxyState {
    behavior: Behavior,
    /// When the last call arrived that was granted.
    last_granted_at: Option<SystemTime>,
    /// Calls so far.
    calls: Vec<String>,
}

/// The operators' address of a proxy, played by the test.
struct PlayedProxy {
    address: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
}

impl PlayedProxy {
    /// Starts a proxy whose fleet has leases of `lease_ms`.
    fn start(lease_ms: u64, behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(ProxyState {
            behavior,
            last_granted_at: None,
            calls: Vec::new(),
        }));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || answer_call(&stream, lease_ms, &state));
            }
        });
        Self { address, state }
    }

    fn set_behavior(&self, behavior: Behavior) {
        self.state.lock().unwrap().behavior = behavior;
    }

    fn last_granted_at(&self) -> SystemTime {
        let state = self.state.lock().unwrap();
        state.last_granted_at.expect("granted before")
    }

    /// Whether the hold has been released.
    fn is_released(&self) -> bool {
        let state = self.state.lock().unwrap();
        state
            .calls
            .iter()
            .any(|line| line.starts_with("FLEET DONE"))
    }
}

/// Answers one call as the proxy behaves at its arrival.
fn answer_call(mut stream: &TcpStream, lease_ms: u64, state: &Mutex<ProxyState>) {
    let behavior = state.lock().unwrap().behavior;
    match behavior {
        Behavior::Silent => return sleep(2 * WAIT_TIMEOUT),
        Behavior::Closing => return,
        _ => {}
    }
    let mut line = String::new();
    if BufReader::new(stream).read_line(&mut line).is_err() {
        return;
    }
    let is_claim = line.starts_with("FLEET HOLD");
    {
        let mut state = state.lock().unwrap();
        state.calls.push(line);
        if is_claim && behavior == Behavior::Grant {
            state.last_granted_at = Some(SystemTime::now());
        }
    }
    let answer = match behavior {
        Behavior::NotHeld => "400 not held here\n".to_string(),
        _ if is_claim => format!("200 {{\"fence\":7,\"left_ms\":{}}}\n", lease_ms * 9 / 10),
        _ => "200 done\n".to_string(),
    };
    match behavior {
        Behavior::Trickling => {
            for byte in answer.bytes() {
                if stream.write_all(&[byte]).is_err() {
                    return;
                }
                sleep(Duration::from_secs(1));
            }
        }
        Behavior::Late(delay_ms) => {
            sleep(Duration::from_millis(delay_ms));
            let _ = stream.write_all(answer.as_bytes());
        }
        _ => drop(stream.write_all(answer.as_bytes())),
    }
}

/// A running `violetwind hold`, whose command writes its process id into a file.
struct HeldCommand {
    process: Child,
    pid_file: PathBuf,
}

impl HeldCommand {
    /// Starts it without waiting for its command.
    fn spawn(proxy: &PlayedProxy, script: &str, options: &[&str]) -> Self {
        Self::spawn_with_log(proxy, script, options, Stdio::null())
    }

    /// Starts it with `log` as its standard error, without waiting for its command.
    fn spawn_with_log(proxy: &PlayedProxy, script: &str, options: &[&str], log: Stdio) -> Self {
        let name = format!("held-{}-{}", std::process::id(), proxy.address.port());
        let pid_file = std::env::temp_dir().join(name);
        let script = format!(
            "echo $$ > {0}.new; mv {0}.new {0}; {script}",
            pid_file.display()
        );
        let process = Command::new(env!("CARGO_BIN_EXE_violetwind"))
            .args(["hold", "export", "--at", &proxy.address.to_string()])
            .args(options)
            .args(["--", "sh", "-c", &script])
            .env("BEAT", &pid_file)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        Self { process, pid_file }
    }

    /// Starts it, and waits until its command runs.
    fn start(proxy: &PlayedProxy, script: &str, options: &[&str]) -> Self {
        let held = Self::spawn(proxy, script, options);
        wait_until("the command runs", || held.group().is_some());
        held
    }

    /// The command's process group, if it has started.
    fn group(&self) -> Option<u32> {
        let content = std::fs::read_to_string(&self.pid_file).ok()?;
        content.trim().parse().ok()
    }

    fn send_signal(&self, signal: &str) {
        let pid = self.process.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.unwrap().success());
    }

    fn wait_until_group_is_gone(&self) {
        let group = self.group().expect("started before");
        wait_until("the group is gone", || running_members(group).is_empty());
    }

    /// When a process of [`STUBBORN_COMMAND`] wrote last.
    fn last_beat_at(&self) -> SystemTime {
        let written_at = |name| {
            let file = self.pid_file.with_extension(name);
            std::fs::metadata(file).unwrap().modified().unwrap()
        };
        written_at("a").max(written_at("b"))
    }
}

impl Drop for HeldCommand {
    fn drop(&mut self) {
        if let Some(group) = self.group() {
            for pid in running_members(group) {
                let _ = Command::new("kill").args(["-9", &pid.to_string()]).status();
            }
        }
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.pid_file);
        for name in ["a", "b"] {
            let _ = std::fs::remove_file(self.pid_file.with_extension(name));
        }
    }
}

fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out: {description}");
        sleep(Duration::from_millis(5));
    }
}

/// The processes of a group, without those that have ended and wait for their parent.
fn running_members(group: u32) -> Vec<u32> {
    let is_member = |pid: &u32| {
        let Ok(stat) = std::fs::read_to_string(format!("/proc/{pid}/stat")) else {
            return false;
        };
        // The name of the program is in parentheses; the state, the parent and the group follow it.
        let Some((_, fields)) = stat.rsplit_once(") ") else {
            return false;
        };
        let fields: Vec<&str> = fields.split(' ').take(3).collect();
        !matches!(fields[0], "Z" | "X") && fields[2] == group.to_string()
    };
    let entries = std::fs::read_dir("/proc").unwrap().flatten();
    let pids = entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    pids.filter(is_member).collect()
}

/// Checks that the command is gone by the end of its lease when the proxy changes its behavior, for each lease.
fn check_lease_end(behavior: Behavior) {
    let plays = LEASES_MS.map(|lease_ms| {
        thread::spawn(move || {
            let proxy = PlayedProxy::start(lease_ms, Behavior::Grant);
            let mut held = HeldCommand::start(&proxy, STUBBORN_COMMAND, &["--grace", "30"]);
            sleep(Duration::from_millis(300));
            proxy.set_behavior(behavior);
            let lease = Duration::from_millis(lease_ms);
            sleep(lease / 100);
            let granted_at = proxy.last_granted_at();
            held.wait_until_group_is_gone();
            let overrun = held.last_beat_at().duration_since(granted_at + lease);
            assert!(
                overrun.is_err(),
                "lease of {lease_ms} ms: the command ran on for {overrun:?}"
            );
            assert_eq!(held.process.wait().unwrap().code(), Some(76));
        })
    });
    for play in plays {
        play.join().expect("the command ends with its lease");
    }
}

/// Guards against a command that runs on beside the next holder's while its proxy is stopped: `violetwind hold` looked
/// at the end of the lease only after its call had timed out.
#[test]
fn a_command_ends_with_its_lease_while_the_proxy_is_stopped_or_cut_off() {
    check_lease_end(Behavior::Silent);
}

/// The same for a proxy that was killed.
#[test]
fn a_command_ends_with_its_lease_after_the_proxy_was_killed() {
    check_lease_end(Behavior::Closing);
}

/// The same for a proxy that answers so slowly that no single read times out.
#[test]
fn a_command_ends_with_its_lease_while_the_proxy_answers_one_byte_a_second() {
    check_lease_end(Behavior::Trickling);
}

/// Guards against a command that is started under a lease that has ended while its grant was on the way.
#[test]
fn no_command_starts_under_a_grant_that_arrives_after_its_lease() {
    let proxy = PlayedProxy::start(200, Behavior::Late(400));
    let mut held = HeldCommand::spawn(&proxy, "exit 0", &[]);
    assert_eq!(held.process.wait().unwrap().code(), Some(69));
    assert_eq!(held.group(), None, "the command was started");
}

/// Guards against a `violetwind hold` that renews its lease before it ends the command, after it was stopped until past
/// the end of its lease: another program may have had the duty meanwhile.
#[test]
fn a_hold_that_was_stopped_past_its_lease_ends_its_command_first() {
    let proxy = PlayedProxy::start(800, Behavior::Grant);
    let mut held = HeldCommand::start(&proxy, STUBBORN_COMMAND, &["--grace", "30"]);
    sleep(Duration::from_millis(300));
    held.send_signal("-STOP");
    sleep(Duration::from_millis(1200));
    held.send_signal("-CONT");
    held.wait_until_group_is_gone();
    assert_eq!(held.process.wait().unwrap().code(), Some(76));
}

/// Guards against processes of the group that stay when the command itself ends at SIGTERM.
#[test]
fn the_whole_group_ends_when_the_command_itself_ends_at_sigterm() {
    let script = "(trap '' TERM; while :; do : > $BEAT.a; sleep 0.01; done) & \
                  while :; do : > $BEAT.b; sleep 0.01; done";
    let proxy = PlayedProxy::start(2000, Behavior::Grant);
    let mut held = HeldCommand::start(&proxy, script, &["--grace", "30"]);
    proxy.set_behavior(Behavior::NotHeld);
    let lost_at = SystemTime::now();
    held.wait_until_group_is_gone();
    assert!(held.last_beat_at() <= lost_at + Duration::from_millis(2000));
    assert_eq!(held.process.wait().unwrap().code(), Some(76));
}

/// Guards against processes that a command leaves behind, which run on while another program gets the duty.
#[test]
fn what_a_command_leaves_behind_ends_before_the_duty_is_released() {
    let script = "(trap '' TERM; sleep 30) & exit 7";
    let proxy = PlayedProxy::start(2000, Behavior::Grant);
    let mut held = HeldCommand::start(&proxy, script, &["--grace", "0.3"]);
    let group = held.group().unwrap();
    wait_until("the duty is released", || proxy.is_released());
    assert_eq!(running_members(group), []);
    assert_eq!(held.process.wait().unwrap().code(), Some(7));
}

/// Guards against a hold without end: where `violetwind hold` was started to ignore SIGCHLD, the system does not keep the
/// exit status of its command, and the command was taken to run on.
#[test]
fn a_command_whose_exit_status_is_not_kept_ends_its_hold() {
    let proxy = PlayedProxy::start(2000, Behavior::Grant);
    let hold = format!(
        "trap '' CHLD; exec {} hold export --at {} -- true",
        env!("CARGO_BIN_EXE_violetwind"),
        proxy.address
    );
    let mut process = Command::new("bash").args(["-c", &hold]).spawn().unwrap();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let status = loop {
        if let Some(status) = process.try_wait().unwrap() {
            break status;
        }
        if Instant::now() >= deadline {
            process.kill().unwrap();
            panic!("the hold does not end");
        }
        sleep(Duration::from_millis(5));
    };
    assert_eq!(status.code(), Some(71));
    assert!(proxy.is_released());
}

/// Guards against a grant that is longer than any lease and overflows the times that are derived from it.
#[test]
fn a_grant_without_a_plausible_end_runs_no_command() {
    let proxy = PlayedProxy::start(u64::MAX / 9, Behavior::Grant);
    let mut held = HeldCommand::spawn(&proxy, "exit 0", &[]);
    assert_eq!(held.process.wait().unwrap().code(), Some(69));
    assert_eq!(held.group(), None, "the command was started");
}

/// Gives the signals their default action in the processes that this one starts, also where this one was started to
/// ignore them, as by `nohup`: handled signals are reset at the start of a program, ignored ones stay ignored.
fn reset_signals_of_children() {
    for signal in [SIGTERM, SIGINT, SIGHUP] {
        let keeps_default = Arc::new(AtomicBool::new(true));
        signal_hook::flag::register_conditional_default(signal, keeps_default).unwrap();
    }
}

/// Guards against a command that runs on without a lease when `violetwind hold` is told to end.
#[test]
fn a_hold_that_is_told_to_end_ends_its_command_and_releases_the_duty() {
    reset_signals_of_children();
    for (signal, code) in [("-TERM", 143), ("-INT", 130), ("-HUP", 129)] {
        let proxy = PlayedProxy::start(2000, Behavior::Grant);
        let mut held = HeldCommand::start(&proxy, STUBBORN_COMMAND, &["--grace", "0.3"]);
        held.send_signal(signal);
        wait_until("the duty is released", || proxy.is_released());
        assert_eq!(running_members(held.group().unwrap()), [], "{signal}");
        assert_eq!(held.process.wait().unwrap().code(), Some(code), "{signal}");
    }
}

/// Guards against a command that runs on beside the next holder's because `violetwind hold` panicked at the message that
/// its duty is lost, where standard error has no reader or its disk is full.
#[test]
fn a_hold_that_cannot_write_its_messages_ends_its_command() {
    let unwritable_logs = [
        ("no reader", pipe_without_reader()),
        ("full disk", full_disk()),
    ];
    for (case, log) in unwritable_logs {
        let proxy = PlayedProxy::start(2000, Behavior::Grant);
        let options = ["--grace", "0.3"];
        let mut held = HeldCommand::spawn_with_log(&proxy, STUBBORN_COMMAND, &options, log);
        wait_until("the command runs", || held.group().is_some());
        proxy.set_behavior(Behavior::NotHeld);
        let status = held.process.wait().unwrap();
        assert_eq!(status.code(), Some(76), "{case}");
        assert_eq!(running_members(held.group().unwrap()), [], "{case}");
    }
}

/// The same where the program can't be started or the duty is not held: the exit code is that of the page.
#[test]
fn a_hold_that_cannot_write_its_messages_ends_with_its_own_code() {
    let proxy = PlayedProxy::start(2000, Behavior::Grant);
    let run = |command: &str, log: Stdio| {
        let status = Command::new(env!("CARGO_BIN_EXE_violetwind"))
            .args(["hold", "export", "--at", &proxy.address.to_string()])
            .args(["--", command])
            .stderr(log)
            .status();
        status.unwrap().code()
    };
    assert_eq!(run("/nonexistent/program", full_disk()), Some(71));
    assert!(proxy.is_released());
    proxy.set_behavior(Behavior::NotHeld);
    assert_eq!(run("true", pipe_without_reader()), Some(75));
    proxy.set_behavior(Behavior::Closing);
    assert_eq!(run("true", full_disk()), Some(69));
}

/// A pipe whose reader is gone: each write fails with EPIPE.
fn pipe_without_reader() -> Stdio {
    let (_, writer) = std::io::pipe().unwrap();
    Stdio::from(writer)
}

/// A device on which each write fails with ENOSPC.
fn full_disk() -> Stdio {
    let device = std::fs::File::options().write(true).open("/dev/full");
    Stdio::from(device.unwrap())
}

/// Guards against a command that runs on beside the next holder's because `violetwind hold` waits for a reader of its
/// message that the duty is lost.
#[test]
fn a_hold_whose_messages_nobody_reads_ends_its_command() {
    let (_unread, mut writer) = std::io::pipe().unwrap();
    rustix::pipe::fcntl_setpipe_size(&writer, 4096).unwrap();
    writer.write_all(&[b'x'; 4096]).unwrap();
    let proxy = PlayedProxy::start(2000, Behavior::Grant);
    let options = ["--grace", "0.3"];
    let log = Stdio::from(writer);
    let mut held = HeldCommand::spawn_with_log(&proxy, STUBBORN_COMMAND, &options, log);
    wait_until("the command runs", || held.group().is_some());
    proxy.set_behavior(Behavior::NotHeld);
    held.wait_until_group_is_gone();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while held.process.try_wait().unwrap().is_none() {
        assert!(Instant::now() < deadline, "violetwind hold does not end");
        sleep(Duration::from_millis(5));
    }
    assert_eq!(held.process.wait().unwrap().code(), Some(76));
}

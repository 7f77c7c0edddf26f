//! The command `violetwind hold`: runs a program while a proxy holds a duty, and ends it with the lease of the duty.
//!
//! The lease is renewed by a thread of its own, so that a proxy that does not answer can't hold up the end of the lease.

use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::process::{Child, Command, ExitCode, ExitStatus};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::{self, sleep};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process_group, test_kill_process_group};
use serde_json::Value;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use violetwind_output::{LostLines, WriterLimits, console, print_error};

use crate::cli::HoldArgs;
use crate::fleet::boottime_ms;
use crate::operator_client::{Answer, CALL_TIMEOUT, EXIT_NO_PROXY, call_within};

/// Interval between calls for a duty, while it is held or awaited.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the command, its lease and signals are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// SIGKILL is sent this part of the lease before its end, so that all processes have ended by then.
const KILL_ADVANCE_DIVISOR: u64 = 10;
/// How long this process waits for the end of processes that got SIGKILL.
const KILL_TIMEOUT_MS: u64 = 1000;
/// Minimum timeout of a renewal, in milliseconds.
const MIN_RENEWAL_TIMEOUT_MS: u64 = 50;
/// The longest lease of a fleet, in milliseconds; no grant lasts longer.
const MAX_LEASE_MS: u64 = 600_000;
/// Maximum of `--grace`, in seconds.
const MAX_GRACE_S: f64 = 3600.0;

/// Exit code: the duty is not held at the proxy.
const EXIT_NOT_HELD: u8 = 75;
/// Exit code: the duty was lost while the command ran.
const EXIT_LOST: u8 = 76;
/// Exit code: the command can't be started, or how it ended is not known.
const EXIT_NO_COMMAND: u8 = 71;

/// The lease of a held duty as last granted: no other program holds the duty before `expires_at`. Times are in
/// milliseconds since the machine's start, which go on while the machine is suspended.
#[derive(Clone, Copy)]
struct DutyLease {
    fence: u64,
    /// When the call that was granted began.
    requested_at: u64,
    expires_at: u64,
}

impl DutyLease {
    /// When the last process of the command gets SIGKILL.
    fn kill_at(&self) -> u64 {
        self.expires_at - self.duration() / KILL_ADVANCE_DIVISOR
    }

    /// When the command gets SIGTERM if the lease is not renewed: the grace period before SIGKILL, but only in the last
    /// quarter of the lease, so that a delayed renewal does not end it.
    fn terminate_at(&self, grace_ms: u64) -> u64 {
        let last_quarter_at = self.requested_at + self.duration() * 3 / 4;
        let grace_begins_at = self.kill_at().saturating_sub(grace_ms);
        grace_begins_at.max(last_quarter_at).min(self.kill_at())
    }

    fn duration(&self) -> u64 {
        self.expires_at - self.requested_at
    }

    /// The timeout of a renewal: short enough for another try within the lease.
    fn renewal_timeout(&self) -> Duration {
        let timeout = Duration::from_millis((self.duration() / 2).max(MIN_RENEWAL_TIMEOUT_MS));
        timeout.min(CALL_TIMEOUT)
    }
}

/// Outcome of a call for a duty. `NotHeld` and `CallFailed` carry the reason.
enum HoldAnswer {
    Held(DutyLease),
    NotHeld(String),
    CallFailed(String),
}

/// The calls for one duty at one proxy, under a token of this process.
#[derive(Clone)]
struct DutyClient {
    proxy: std::net::SocketAddr,
    duty: String,
    token: String,
}

impl DutyClient {
    /// Claims or renews the hold.
    fn request_hold(&self, timeout: Duration) -> HoldAnswer {
        // The remaining time counts from before the call, so that the lease is never assumed to last longer than it does.
        let requested_at = boottime_ms();
        let line = format!("FLEET HOLD {} {}", self.duty, self.token);
        let reply = match call_within(self.proxy, &line, timeout) {
            Ok(Answer::Accepted(reply)) => reply,
            Ok(Answer::Refused(reason)) => return HoldAnswer::NotHeld(reason),
            Err(error) => return HoldAnswer::CallFailed(error),
        };
        let lease: Value = serde_json::from_str(&reply).unwrap_or_default();
        match (lease["fence"].as_u64(), lease["left_ms"].as_u64()) {
            (Some(fence), Some(remaining_ms @ 0..=MAX_LEASE_MS)) => HoldAnswer::Held(DutyLease {
                fence,
                requested_at,
                expires_at: requested_at + remaining_ms,
            }),
            _ => HoldAnswer::CallFailed(format!("\"{reply}\" is no holding")),
        }
    }

    /// Releases the hold. If the proxy has exited, there is none left to release.
    fn release(&self) {
        let line = format!("FLEET DONE {} {}", self.duty, self.token);
        let _ = call_within(self.proxy, &line, CALL_TIMEOUT);
    }
}

/// Renews the hold in a thread of its own. At most one call is in progress.
struct LeaseRenewer {
    requests: Sender<Duration>,
    answers: Receiver<HoldAnswer>,
    is_calling: bool,
    next_call_at: u64,
}

impl LeaseRenewer {
    fn start(client: DutyClient) -> Self {
        let (requests, received_requests) = channel::<Duration>();
        let (sent_answers, answers) = channel();
        thread::spawn(move || {
            while let Ok(timeout) = received_requests.recv() {
                if sent_answers.send(client.request_hold(timeout)).is_err() {
                    return;
                }
            }
        });
        Self {
            requests,
            answers,
            is_calling: false,
            next_call_at: boottime_ms(),
        }
    }

    /// Starts a call if one is due, and waits up to `timeout` for the answer.
    fn renew(&mut self, lease: &DutyLease, timeout: Duration) -> Option<HoldAnswer> {
        if !self.is_calling && boottime_ms() >= self.next_call_at {
            self.is_calling = self.requests.send(lease.renewal_timeout()).is_ok();
        }
        self.receive(timeout)
    }

    fn receive(&mut self, timeout: Duration) -> Option<HoldAnswer> {
        match self.answers.recv_timeout(timeout) {
            Ok(answer) => {
                self.is_calling = false;
                self.next_call_at = boottime_ms() + RENEWAL_INTERVAL.as_millis() as u64;
                Some(answer)
            }
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => {
                sleep(timeout);
                None
            }
        }
    }

    /// Waits for the call in progress, which could claim the duty again after its release.
    fn stop(mut self) {
        if self.is_calling {
            self.receive(CALL_TIMEOUT);
        }
    }
}

/// The command and all processes of its group.
struct CommandGroup {
    child: Child,
    group: Pid,
    exit_code: Option<u8>,
}

impl CommandGroup {
    fn spawn(args: &HoldArgs, lease: &DutyLease) -> std::io::Result<Self> {
        let (program, arguments) = args
            .command
            .split_first()
            .expect("clap requires at least one argument");
        let child = Command::new(program)
            .args(arguments)
            .env("VIOLETWIND_FENCE", lease.fence.to_string())
            .env("VIOLETWIND_DUTY", &args.duty)
            .process_group(0)
            .spawn()?;
        let group = Pid::from_child(&child);
        Ok(Self {
            child,
            group,
            exit_code: None,
        })
    }

    /// The exit code of the command, if it has ended.
    fn exit_code(&mut self) -> Option<u8> {
        if self.exit_code.is_none() {
            self.exit_code = match self.child.try_wait() {
                Ok(status) => status.map(exit_code_of),
                // The system keeps no status where this process was started to ignore SIGCHLD.
                Err(error) => {
                    print_error!("violetwind: how the command ended is not known: {error}");
                    Some(EXIT_NO_COMMAND)
                }
            };
        }
        self.exit_code
    }

    /// Whether the command and all others of its group have ended.
    fn has_ended(&mut self) -> bool {
        self.exit_code().is_some() && test_kill_process_group(self.group).is_err()
    }

    /// Waits until the group has ended, but not beyond `deadline`. Returns whether it has ended.
    fn wait_until(&mut self, deadline: u64) -> bool {
        loop {
            if self.has_ended() {
                return true;
            }
            if boottime_ms() >= deadline {
                return false;
            }
            sleep(CHECK_INTERVAL);
        }
    }

    /// Ends the group: SIGTERM now, and SIGKILL at `kill_at` to what is left of it.
    fn end(&mut self, kill_at: u64) {
        if self.has_ended() {
            return;
        }
        let _ = kill_process_group(self.group, Signal::TERM);
        if !self.wait_until(kill_at) {
            let _ = kill_process_group(self.group, Signal::KILL);
            self.wait_until(boottime_ms() + KILL_TIMEOUT_MS);
        }
    }
}

/// The exit code for the end of a command, as shells give it.
fn exit_code_of(status: ExitStatus) -> u8 {
    let code = status.code();
    code.unwrap_or_else(|| 128 + status.signal().unwrap_or(0)) as u8
}

/// Why the command is no longer supervised.
enum SupervisionEnd {
    /// The command has ended, with this exit code.
    Exited(u8),
    /// The duty is lost, for this reason.
    Lost(String),
    /// This process got a signal to end.
    Signaled(u8),
}

/// Runs a command while a duty is held at a proxy. Messages are written in the background: the end of the command must
/// not wait for somebody who reads them.
pub fn run_hold(args: &HoldArgs) -> ExitCode {
    let started =
        console::write_errors_in_background(WriterLimits::default(), Box::new(format_notice));
    if let Err(error) = started {
        print_error!("violetwind: {error}");
        return ExitCode::from(EXIT_NO_COMMAND);
    }
    let code = hold_duty(args);
    console::flush_errors();
    code
}

fn format_notice(lost: LostLines) -> Vec<u8> {
    format!("violetwind: {} messages were lost\n", lost.total()).into_bytes()
}

/// Acquires the duty and runs the command under its lease.
fn hold_duty(args: &HoldArgs) -> ExitCode {
    let client = DutyClient {
        proxy: args.proxy.address,
        duty: args.duty.clone(),
        token: format!("{:016x}", rand::random::<u64>()),
    };
    let lease = match acquire_lease(args, &client) {
        Ok(lease) => lease,
        Err(code) => return code,
    };
    let end_signal = register_end_signals();
    let code = match CommandGroup::spawn(args, &lease) {
        Ok(command) => supervise_command(args, &client, lease, command, &end_signal),
        Err(error) => {
            print_error!("violetwind: {}: {error}", args.command[0]);
            EXIT_NO_COMMAND
        }
    };
    client.release();
    ExitCode::from(code)
}

/// Claims the duty, and with `--wait` repeats that until it is granted.
///
/// # Errors
/// The exit code, if the duty is not granted.
fn acquire_lease(args: &HoldArgs, client: &DutyClient) -> Result<DutyLease, ExitCode> {
    let mut reported = false;
    loop {
        let (reason, code) = match client.request_hold(CALL_TIMEOUT) {
            HoldAnswer::Held(lease) if boottime_ms() < lease.kill_at() => return Ok(lease),
            HoldAnswer::Held(_) => ("the lease ended before it came".to_string(), EXIT_NO_PROXY),
            HoldAnswer::NotHeld(reason) => (reason, EXIT_NOT_HELD),
            HoldAnswer::CallFailed(reason) => (reason, EXIT_NO_PROXY),
        };
        if !args.wait {
            print_error!("violetwind: {}: {reason}", args.duty);
            return Err(ExitCode::from(code));
        }
        if !std::mem::replace(&mut reported, true) {
            print_error!("violetwind: {}: {reason}; waiting", args.duty);
        }
        sleep(RENEWAL_INTERVAL);
    }
}

/// The number of the last signal to end that this process got, or 0. Signals that it was started to ignore stay ignored.
fn register_end_signals() -> Arc<AtomicUsize> {
    let end_signal = Arc::new(AtomicUsize::new(0));
    let ignored_signals = ignored_signals();
    for signal in [SIGTERM, SIGINT, SIGHUP] {
        if ignored_signals & (1 << (signal - 1)) == 0 {
            let registered =
                signal_hook::flag::register_usize(signal, end_signal.clone(), signal as usize);
            if let Err(error) = registered {
                print_error!("violetwind: signal {signal} can't be handled: {error}");
            }
        }
    }
    end_signal
}

/// The signals that this process ignores, as a mask in which the lowest bit is signal 1.
fn ignored_signals() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let mask = status
        .lines()
        .find_map(|line| line.strip_prefix("SigIgn:"))
        .map(str::trim);
    mask.and_then(|mask| u64::from_str_radix(mask, 16).ok())
        .unwrap_or(0)
}

/// Renews the hold while the command runs, and ends the command with the hold. Returns the exit code.
fn supervise_command(
    args: &HoldArgs,
    client: &DutyClient,
    mut lease: DutyLease,
    mut command: CommandGroup,
    end_signal: &AtomicUsize,
) -> u8 {
    let grace_ms = (args.grace.clamp(0.0, MAX_GRACE_S) * 1000.0) as u64;
    let mut renewer = LeaseRenewer::start(client.clone());
    let end = watch_command(&mut lease, &mut command, &mut renewer, grace_ms, end_signal);
    let now = boottime_ms();
    let kill_at = lease.kill_at().min(now + grace_ms);
    if let SupervisionEnd::Lost(reason) = &end {
        print_error!(
            "violetwind: {} is lost: {reason}; the command has {:?}",
            args.duty,
            Duration::from_millis(kill_at.saturating_sub(now))
        );
    }
    command.end(kill_at);
    renewer.stop();
    match end {
        SupervisionEnd::Exited(code) => code,
        SupervisionEnd::Lost(_) => EXIT_LOST,
        SupervisionEnd::Signaled(signal) => 128 + signal,
    }
}

/// Renews the lease until the command ends, the duty is lost, or this process is told to end.
fn watch_command(
    lease: &mut DutyLease,
    command: &mut CommandGroup,
    renewer: &mut LeaseRenewer,
    grace_ms: u64,
    end_signal: &AtomicUsize,
) -> SupervisionEnd {
    let mut last_error = None;
    loop {
        if let Some(code) = command.exit_code() {
            return SupervisionEnd::Exited(code);
        }
        // Before any renewal: this process may have been stopped until past the end of the lease.
        if boottime_ms() >= lease.terminate_at(grace_ms) {
            let reason = last_error.unwrap_or_else(|| "it was not renewed in time".to_string());
            return SupervisionEnd::Lost(reason);
        }
        let signal = end_signal.load(Ordering::Relaxed);
        if signal != 0 {
            return SupervisionEnd::Signaled(signal as u8);
        }
        match renewer.renew(lease, CHECK_INTERVAL) {
            Some(HoldAnswer::Held(renewed)) if renewed.fence != lease.fence => {
                return SupervisionEnd::Lost(format!("held anew with {}", renewed.fence));
            }
            // A claim that began after the end of the lease may follow somebody else's.
            Some(HoldAnswer::Held(renewed)) if renewed.requested_at < lease.expires_at => {
                if renewed.expires_at > lease.expires_at {
                    *lease = renewed;
                }
                last_error = None;
            }
            Some(HoldAnswer::Held(_)) => {
                return SupervisionEnd::Lost("the lease has ended".to_string());
            }
            Some(HoldAnswer::NotHeld(reason)) => return SupervisionEnd::Lost(reason),
            Some(HoldAnswer::CallFailed(error)) => last_error = Some(error),
            None => {}
        }
    }
}

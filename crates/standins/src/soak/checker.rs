//! Checks the records of clients and servers against the clauses of the operators' documentation.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::client::{ConnectionOutcome, RequestOutcome, RequestRecord};
use super::scheduling_delay::SchedulingDelay;
use super::server::AttemptRecord;

/// A final answer up to this long after the deadline has no value but is no violation; with a later one the request
/// counts as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(550);
/// An attempt may begin up to this long after its client has disconnected.
const DISCONNECT_SLACK: Duration = Duration::from_millis(100);
/// Tolerance of time limits for the delay of sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// How long a proxy may be delayed between reading its clock and writing.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(150);
/// Two threads of this process may record the same moment this far apart, plus the scheduling delay around it.
const THREAD_SKEW: Duration = Duration::from_millis(30);
/// A scheduling delay applies up to this long before and after it: a delayed thread was due at most this long before.
const DELAY_VICINITY: Duration = Duration::from_millis(300);

/// The effect of repeating a request of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Pure,
    /// All servers drop repeats within this window.
    Token(Duration),
    /// A repeat takes effect again.
    SideEffect,
}

/// A drain of a server, which must get no new attempts once the grace after `announced_at` is over.
#[derive(Clone, Debug)]
pub struct Drain {
    pub server: String,
    /// When the drain counts as announced to the proxy.
    pub announced_at: Instant,
    /// When the drain was cancelled.
    pub cancelled_at: Option<Instant>,
}

/// A start of a server, after which the proxy must limit its requests for the slow-start window.
#[derive(Clone, Debug)]
pub struct ColdStart {
    pub server: String,
    pub started_at: Instant,
    /// Requests per second that the server takes once it is warm.
    pub warm_requests_per_s: f64,
}

/// The settings that the clauses refer to.
#[derive(Clone, Debug)]
pub struct CheckSettings {
    pub idempotency_by_class: BTreeMap<String, Idempotency>,
    pub max_attempts: usize,
    pub drain_grace: Duration,
    pub slow_start_min_share: f64,
    pub slow_start_window: Duration,
    pub overload_multiple: f64,
    pub overload_duration: Duration,
}

/// All records of a run.
#[derive(Debug, Default)]
pub struct RunRecord {
    pub requests: Vec<RequestRecord>,
    pub attempts: Vec<AttemptRecord>,
    pub drains: Vec<Drain>,
    pub cold_starts: Vec<ColdStart>,
    /// Kills of the proxy: without SIGTERM, or as early after SIGTERM as its documentation allows.
    pub kills: Vec<Kill>,
    /// Scheduling delays of this process's threads.
    pub scheduling_delays: Vec<SchedulingDelay>,
}

impl RunRecord {
    /// How much earlier than its recorded time an event at this time may have happened.
    fn tolerance(&self, at: Instant) -> Duration {
        let is_near = |delay: &&SchedulingDelay| {
            delay.due_at < at + DELAY_VICINITY && at < delay.due_at + delay.delay + DELAY_VICINITY
        };
        let max_delay = self
            .scheduling_delays
            .iter()
            .filter(is_near)
            .map(|delay| delay.delay)
            .max();
        THREAD_SKEW + max_delay.unwrap_or_default()
    }
}

/// A kill of the proxy.
#[derive(Clone, Copy, Debug)]
pub struct Kill {
    pub at: Instant,
    /// Whether the proxy got no SIGTERM before it, so that clients have to repeat the requests that the proxy held.
    pub without_sigterm: bool,
}

/// Returns a line for each violation, headed by the name of the clause and followed by the history of the request.
pub fn check_run(settings: &CheckSettings, record: &RunRecord, start: Instant) -> Vec<String> {
    let mut by_id: BTreeMap<&str, Vec<&AttemptRecord>> = BTreeMap::new();
    for attempt in &record.attempts {
        by_id.entry(&attempt.id).or_default().push(attempt);
    }
    let mut violations = Vec::new();
    for request in &record.requests {
        let mut attempts = by_id.remove(request.id.as_str()).unwrap_or_default();
        attempts.sort_by_key(|attempt| attempt.received_at);
        let check = RequestCheck {
            settings,
            record,
            request,
            attempts: &attempts,
        };
        let found = [
            check.check_answer(),
            check.check_connection(),
            check.check_repeats(),
            check.check_attempt_count(),
            check.check_after_disconnect(),
        ];
        for violation in found.into_iter().flatten() {
            violations.push(format!("{violation}; {}", check.history(start)));
        }
    }
    for (id, attempts) in by_id {
        violations.push(format!(
            "unknown: servers got {id}, which no client sent, {} times",
            attempts.len()
        ));
    }
    violations.extend(check_drains(settings, record, start));
    violations.extend(check_cold_starts(settings, record, start));
    violations
}

/// The checks of one request and its attempts.
struct RequestCheck<'a> {
    settings: &'a CheckSettings,
    record: &'a RunRecord,
    request: &'a RequestRecord,
    attempts: &'a [&'a AttemptRecord],
}

impl RequestCheck<'_> {
    /// Whether the proxy was killed without SIGTERM at about this moment.
    fn killed_without_sigterm_near(&self, moment: Instant) -> bool {
        let is_near =
            |kill: &&Kill| moment + THREAD_SKEW >= kill.at && moment <= kill.at + ANSWER_SLACK;
        self.record
            .kills
            .iter()
            .filter(is_near)
            .any(|kill| kill.without_sigterm)
    }

    /// Checks that the request got one final answer in time.
    fn check_answer(&self) -> Option<String> {
        let request = self.request;
        let elapsed = request.answered_at - request.sent_at;
        match &request.outcome {
            RequestOutcome::NotTaken | RequestOutcome::Left => None,
            RequestOutcome::Closed | RequestOutcome::Reset
                if self.killed_without_sigterm_near(request.answered_at) =>
            {
                None
            }
            RequestOutcome::Closed => Some("lost: closed unanswered".into()),
            RequestOutcome::Reset => Some("lost: reset unanswered".into()),
            RequestOutcome::Silence => Some("lost: never answered".into()),
            _ if elapsed > request.deadline + ANSWER_SLACK => Some(format!(
                "lost: answered {} ms after its time",
                (elapsed - request.deadline).as_millis()
            )),
            RequestOutcome::Failed(line) if line != "ERR" => {
                Some(format!("served by nobody: {line:?}"))
            }
            _ => None,
        }
    }

    /// Checks that, while the server answered, the connection was not cut without `MOVE` and no line was held for over
    /// a second.
    fn check_connection(&self) -> Option<String> {
        let request = self.request;
        let server_ended = self
            .attempts
            .last()
            .is_some_and(|attempt| attempt.ended_by_server);
        match request.connection_outcome.as_ref()? {
            ConnectionOutcome::ByClient | ConnectionOutcome::Moved => None,
            ConnectionOutcome::Cut
                if server_ended || self.killed_without_sigterm_near(request.ended_at) =>
            {
                None
            }
            ConnectionOutcome::Cut => Some("lost: cut off without MOVE".into()),
            ConnectionOutcome::Held(duration) => Some(format!(
                "lost: a line was held for {} ms",
                duration.as_millis()
            )),
            ConnectionOutcome::Spoilt(line) => {
                Some(format!("lost: {line:?} came in place of an answer"))
            }
        }
    }

    /// Checks that no effect happened twice, and that no two attempts ran at a time.
    fn check_repeats(&self) -> Option<String> {
        let idempotency = self
            .settings
            .idempotency_by_class
            .get(&self.request.class)?;
        for pair in self.attempts.windows(2) {
            let (earlier, later) = (pair[0], pair[1]);
            if earlier.ended_at.is_none_or(|ended| {
                later.received_at + self.record.tolerance(later.received_at) < ended
            }) {
                return Some("duplicate: a second copy while the first is out".into());
            }
        }
        let first = self
            .attempts
            .iter()
            .position(|attempt| attempt.mode.may_have_run())?;
        let repeats = &self.attempts[first + 1..];
        match idempotency {
            Idempotency::Pure => None,
            Idempotency::SideEffect => {
                (!repeats.is_empty()).then(|| "duplicate: an unsafe request was repeated".into())
            }
            Idempotency::Token(window) => {
                let window_end =
                    self.attempts[first].received_at + *window + MAX_WRITE_DELAY + SOCKET_SLACK;
                let is_late = repeats
                    .iter()
                    .any(|attempt| attempt.received_at > window_end);
                is_late.then(|| "duplicate: a keyed request was repeated past its window".into())
            }
        }
    }

    /// Checks the number of attempts.
    fn check_attempt_count(&self) -> Option<String> {
        let count = self.attempts.len();
        (count > self.settings.max_attempts).then(|| format!("attempts: {count} were made"))
    }

    /// Checks that no attempt began after the client had disconnected.
    fn check_after_disconnect(&self) -> Option<String> {
        let disconnected_at = self.request.disconnected_at?;
        // An attempt began at most this much earlier than the server's thread recorded it.
        let scheduling_delay = |at| self.record.tolerance(at) - THREAD_SKEW;
        let started_at =
            |attempt: &AttemptRecord| attempt.received_at - scheduling_delay(attempt.received_at);
        let late_attempt = self
            .attempts
            .iter()
            .find(|attempt| started_at(attempt) > disconnected_at + DISCONNECT_SLACK)?;
        Some(format!(
            "lost: sent on {} ms after its client left",
            (late_attempt.received_at - disconnected_at).as_millis()
        ))
    }

    /// The history of the request and its attempts, in milliseconds from the start of the run.
    fn history(&self, start: Instant) -> String {
        let at = |moment: Instant| moment.saturating_duration_since(start).as_millis();
        let request = self.request;
        let mut text = format!(
            "{} class {} d {} sent {} answer {:?} at {}",
            request.id,
            request.class,
            request.deadline.as_millis(),
            at(request.sent_at),
            request.outcome,
            at(request.answered_at)
        );
        if let Some(outcome) = &request.connection_outcome {
            text += &format!(" ending {outcome:?} at {}", at(request.ended_at));
        }
        for attempt in self.attempts {
            let ended = attempt
                .ended_at
                .map_or("never".into(), |ended| at(ended).to_string());
            text += &format!(
                ", {} ({:?}) at {} until {ended}",
                attempt.server,
                attempt.mode,
                at(attempt.received_at)
            );
        }
        text
    }
}

/// Checks that draining servers got no new attempts. A send counts from its first byte, which was written no earlier
/// than the connection was accepted and no later than the line's end arrived.
fn check_drains(settings: &CheckSettings, record: &RunRecord, start: Instant) -> Vec<String> {
    let mut violations = Vec::new();
    for drain in &record.drains {
        let grace_end = drain.announced_at + settings.drain_grace + SOCKET_SLACK;
        for attempt in record
            .attempts
            .iter()
            .filter(|attempt| attempt.server == drain.server)
        {
            let is_active = drain
                .cancelled_at
                .is_none_or(|until| attempt.received_at < until);
            if attempt.received_at > grace_end && is_active {
                let late_ms = (attempt.received_at - drain.announced_at).as_millis();
                let announced_ms = (drain.announced_at - start).as_millis();
                violations.push(format!(
                    "drain: {} got {} {late_ms} ms after its drain was announced at {announced_ms}",
                    drain.server, attempt.id
                ));
            }
        }
    }
    violations
}

/// Checks the attempts at a server in slow start. For an expected number N in any interval of the overload duration,
/// N + 2 sqrt(N) + 2 are allowed, or N + 3 sqrt(N) + 3 if N is less than 30.
fn check_cold_starts(settings: &CheckSettings, record: &RunRecord, start: Instant) -> Vec<String> {
    let mut violations = Vec::new();
    for cold_start in &record.cold_starts {
        let mut times: Vec<Instant> = record
            .attempts
            .iter()
            .filter(|attempt| {
                attempt.server == cold_start.server && attempt.received_at >= cold_start.started_at
            })
            .map(|attempt| attempt.received_at)
            .collect();
        times.sort();
        for (index, &end) in times.iter().enumerate() {
            let age = (end - cold_start.started_at).as_secs_f64();
            if age > settings.slow_start_window.as_secs_f64() {
                break;
            }
            let warm_fraction = (age / settings.slow_start_window.as_secs_f64()).min(1.0);
            let present_rate = cold_start.warm_requests_per_s
                * (settings.slow_start_min_share
                    + (1.0 - settings.slow_start_min_share) * warm_fraction);
            let expected = settings.overload_multiple
                * present_rate
                * settings.overload_duration.as_secs_f64();
            let allowed = match expected < 30.0 {
                true => expected + 3.0 * expected.sqrt() + 3.0,
                false => expected + 2.0 * expected.sqrt() + 2.0,
            };
            let since = end.checked_sub(settings.overload_duration).unwrap_or(end);
            let count = times[..=index].iter().filter(|at| **at > since).count();
            if count as f64 > allowed {
                violations.push(format!(
                    "failback: {} got {count} in {:?} at the age of {age:.2} s, {allowed:.1} allowed; started at {}",
                    cold_start.server,
                    settings.overload_duration,
                    (cold_start.started_at - start).as_millis()
                ));
                break;
            }
        }
    }
    violations
}

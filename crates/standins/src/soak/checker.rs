//! The clauses of the operators' pages, applied to what clients and servers wrote down.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::client::{ConnectionOutcome, RequestOutcome, RequestRecord};
use super::scheduling_delay::SchedulingDelay;
use super::server::AttemptRecord;

/// A final answer up to so long after the deadline earns nothing; a later one is a lost request.
const ANSWER_SLACK: Duration = Duration::from_millis(550);
/// What may begin after a client has left.
const LEFT_SLACK: Duration = Duration::from_millis(100);
/// What a time limit allows on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// How long a proxy may be held up between reading its clock and writing.
const HELD_UP: Duration = Duration::from_millis(150);
/// Two threads of this process may see one moment so far apart, and by how late threads ran around it.
const THREADS: Duration = Duration::from_millis(30);
/// A thread that is late was due so long before at most.
const AROUND: Duration = Duration::from_millis(300);

/// What repeating a request of a class does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Pure,
    /// Repeats are dropped by all servers for so long.
    Token(Duration),
    SideEffect,
}

/// A server must get nothing new from the moment at which its drain counts as told, plus the grace.
#[derive(Clone, Debug)]
pub struct Drain {
    pub server: String,
    pub announced_at: Instant,
    /// When it was taken back.
    pub cancelled_at: Option<Instant>,
}

/// A server that has just started, and what it takes in a span of slow start.
#[derive(Clone, Debug)]
pub struct ColdStart {
    pub server: String,
    pub started_at: Instant,
    /// Requests that a warm server takes in a second.
    pub warm_requests_per_s: f64,
}

/// The settings that the clauses name.
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

/// All that was written down in a run.
#[derive(Debug, Default)]
pub struct RunRecord {
    pub requests: Vec<RequestRecord>,
    pub attempts: Vec<AttemptRecord>,
    pub drains: Vec<Drain>,
    pub cold_starts: Vec<ColdStart>,
    /// When the proxy was killed outright or at its page's earliest after SIGTERM.
    pub kills: Vec<Kill>,
    /// How late threads of this process ran.
    pub scheduling_delays: Vec<SchedulingDelay>,
}

impl RunRecord {
    /// How much earlier than a thread wrote it down something may have happened.
    fn tolerance(&self, at: Instant) -> Duration {
        let near = |late: &&SchedulingDelay| {
            late.due_at < at + AROUND && at < late.due_at + late.delay + AROUND
        };
        let longest = self
            .scheduling_delays
            .iter()
            .filter(near)
            .map(|late| late.delay)
            .max();
        THREADS + longest.unwrap_or_default()
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Kill {
    pub at: Instant,
    /// Without SIGTERM before it: what the proxy held is its clients' to repeat.
    pub without_sigterm: bool,
}

/// One line for each violation, by clause, with the request's way.
pub fn check_run(terms: &CheckSettings, evidence: &RunRecord, start: Instant) -> Vec<String> {
    let mut by_id: BTreeMap<&str, Vec<&AttemptRecord>> = BTreeMap::new();
    for arrival in &evidence.attempts {
        by_id.entry(&arrival.id).or_default().push(arrival);
    }
    let mut found = Vec::new();
    for account in &evidence.requests {
        let mut way = by_id.remove(account.id.as_str()).unwrap_or_default();
        way.sort_by_key(|arrival| arrival.received_at);
        let told = Told {
            terms,
            evidence,
            account,
            way: &way,
        };
        let broken = [
            told.lost(),
            told.cut(),
            told.repeated(),
            told.too_many(),
            told.after_leave(),
        ];
        for clause in broken.into_iter().flatten() {
            found.push(format!("{clause}; {}", told.way(start)));
        }
    }
    for (id, way) in by_id {
        found.push(format!(
            "unknown: servers got {id}, which no client asked for, {} times",
            way.len()
        ));
    }
    found.extend(drains(terms, evidence, start));
    found.extend(cold(terms, evidence, start));
    found
}

/// One request and its attempts.
struct Told<'a> {
    terms: &'a CheckSettings,
    evidence: &'a RunRecord,
    account: &'a RequestRecord,
    way: &'a [&'a AttemptRecord],
}

impl Told<'_> {
    fn outright_kill_at(&self, moment: Instant) -> bool {
        let near = |kill: &&Kill| moment + THREADS >= kill.at && moment <= kill.at + ANSWER_SLACK;
        self.evidence
            .kills
            .iter()
            .filter(near)
            .any(|kill| kill.without_sigterm)
    }

    /// One final answer, in time.
    fn lost(&self) -> Option<String> {
        let account = self.account;
        let took = account.answered_at - account.sent_at;
        match &account.outcome {
            RequestOutcome::NotTaken | RequestOutcome::Left => None,
            RequestOutcome::Closed | RequestOutcome::Reset
                if self.outright_kill_at(account.answered_at) =>
            {
                None
            }
            RequestOutcome::Closed => Some("lost: closed unanswered".into()),
            RequestOutcome::Reset => Some("lost: reset unanswered".into()),
            RequestOutcome::Silence => Some("lost: never answered".into()),
            _ if took > account.deadline + ANSWER_SLACK => Some(format!(
                "lost: answered {} ms after its time",
                (took - account.deadline).as_millis()
            )),
            RequestOutcome::Failed(line) if line != "ERR" => {
                Some(format!("served by nobody: {line:?}"))
            }
            _ => None,
        }
    }

    /// No cut without `MOVE`, and no line held for over a second, while the server answers.
    fn cut(&self) -> Option<String> {
        let account = self.account;
        let server_ended = self
            .way
            .last()
            .is_some_and(|arrival| arrival.ended_by_server);
        match account.connection_outcome.as_ref()? {
            ConnectionOutcome::ByClient | ConnectionOutcome::Moved => None,
            ConnectionOutcome::Cut if server_ended || self.outright_kill_at(account.ended_at) => {
                None
            }
            ConnectionOutcome::Cut => Some("lost: cut off without MOVE".into()),
            ConnectionOutcome::Held(took) => {
                Some(format!("lost: a line was held for {} ms", took.as_millis()))
            }
            ConnectionOutcome::Spoilt(line) => {
                Some(format!("lost: {line:?} came in place of an answer"))
            }
        }
    }

    /// No effect twice, and never two attempts at once.
    fn repeated(&self) -> Option<String> {
        let effect = self.terms.idempotency_by_class.get(&self.account.class)?;
        for pair in self.way.windows(2) {
            let (earlier, later) = (pair[0], pair[1]);
            if earlier.ended_at.is_none_or(|ended| {
                later.received_at + self.evidence.tolerance(later.received_at) < ended
            }) {
                return Some("duplicate: a second copy while the first is out".into());
            }
        }
        let first = self
            .way
            .iter()
            .position(|arrival| arrival.mode.may_have_run())?;
        let repeats = &self.way[first + 1..];
        match effect {
            Idempotency::Pure => None,
            Idempotency::SideEffect => {
                (!repeats.is_empty()).then(|| "duplicate: an unsafe request was repeated".into())
            }
            Idempotency::Token(window) => {
                let late = self.way[first].received_at + *window + HELD_UP + SOCKET_SLACK;
                let beyond = repeats.iter().any(|arrival| arrival.received_at > late);
                beyond.then(|| "duplicate: a keyed request was repeated past its window".into())
            }
        }
    }

    fn too_many(&self) -> Option<String> {
        let count = self.way.len();
        (count > self.terms.max_attempts).then(|| format!("attempts: {count} were made"))
    }

    fn after_leave(&self) -> Option<String> {
        let left = self.account.disconnected_at?;
        // It began that much earlier at most than the server's thread wrote it down.
        let threads = |at| self.evidence.tolerance(at) - THREADS;
        let begun = |arrival: &AttemptRecord| arrival.received_at - threads(arrival.received_at);
        let late = self
            .way
            .iter()
            .find(|arrival| begun(arrival) > left + LEFT_SLACK)?;
        Some(format!(
            "lost: sent on {} ms after its client left",
            (late.received_at - left).as_millis()
        ))
    }

    /// Where the request was, by milliseconds from the start of the run.
    fn way(&self, start: Instant) -> String {
        let at = |moment: Instant| moment.saturating_duration_since(start).as_millis();
        let account = self.account;
        let mut text = format!(
            "{} class {} d {} sent {} answer {:?} at {}",
            account.id,
            account.class,
            account.deadline.as_millis(),
            at(account.sent_at),
            account.outcome,
            at(account.answered_at)
        );
        if let Some(ending) = &account.connection_outcome {
            text += &format!(" ending {ending:?} at {}", at(account.ended_at));
        }
        for arrival in self.way {
            let ended = arrival
                .ended_at
                .map_or("never".into(), |ended| at(ended).to_string());
            text += &format!(
                ", {} ({:?}) at {} until {ended}",
                arrival.server,
                arrival.mode,
                at(arrival.received_at)
            );
        }
        text
    }
}

/// A send counts from its first byte, which came no earlier than the connection and no later than the line's end.
fn drains(terms: &CheckSettings, evidence: &RunRecord, start: Instant) -> Vec<String> {
    let mut found = Vec::new();
    for drain in &evidence.drains {
        let from = drain.announced_at + terms.drain_grace + SOCKET_SLACK;
        for arrival in evidence
            .attempts
            .iter()
            .filter(|arrival| arrival.server == drain.server)
        {
            let within = drain
                .cancelled_at
                .is_none_or(|until| arrival.received_at < until);
            if arrival.received_at > from && within {
                let late = (arrival.received_at - drain.announced_at).as_millis();
                let at = (drain.announced_at - start).as_millis();
                found.push(format!(
                    "drain: {} got {} {late} ms after its drain was told at {at}",
                    drain.server, arrival.id
                ));
            }
        }
    }
    found
}

/// Arrivals at a cold server in any span, against N + 2 sqrt(N) + 2, and under 30 N + 3 sqrt(N) + 3.
fn cold(terms: &CheckSettings, evidence: &RunRecord, start: Instant) -> Vec<String> {
    let mut found = Vec::new();
    for cold in &evidence.cold_starts {
        let mut times: Vec<Instant> = evidence
            .attempts
            .iter()
            .filter(|arrival| {
                arrival.server == cold.server && arrival.received_at >= cold.started_at
            })
            .map(|arrival| arrival.received_at)
            .collect();
        times.sort();
        for (index, &end) in times.iter().enumerate() {
            let age = (end - cold.started_at).as_secs_f64();
            if age > terms.slow_start_window.as_secs_f64() {
                break;
            }
            let warm = (age / terms.slow_start_window.as_secs_f64()).min(1.0);
            let present = cold.warm_requests_per_s
                * (terms.slow_start_min_share + (1.0 - terms.slow_start_min_share) * warm);
            let n = terms.overload_multiple * present * terms.overload_duration.as_secs_f64();
            let most = match n < 30.0 {
                true => n + 3.0 * n.sqrt() + 3.0,
                false => n + 2.0 * n.sqrt() + 2.0,
            };
            let since = end.checked_sub(terms.overload_duration).unwrap_or(end);
            let count = times[..=index].iter().filter(|at| **at > since).count();
            if count as f64 > most {
                found.push(format!(
                    "failback: {} got {count} in {:?} at the age of {age:.2} s, {most:.1} allowed; started at {}",
                    cold.server,
                    terms.overload_duration,
                    (cold.started_at - start).as_millis()
                ));
                break;
            }
        }
    }
    found
}

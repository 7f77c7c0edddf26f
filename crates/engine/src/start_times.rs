//! When servers started, by a clock that is never stepped.
//!
//! Lists give the start of a server's process in Unix time. That can't be compared with this machine's wall clock: either
//! may be stepped, by seconds or by an hour, and a server that seems old would get more than slow start allows. What is
//! certain is what this process saw itself: a start that is new in a list, after an earlier list of the same source,
//! came no earlier than that list, and counts as just now. Of a start in a source's first list nothing is known unless
//! it lies so far back that no step explains it.

use std::collections::HashMap;

use tracing::info;
use violetwind_balancer::api::Seconds;

/// Two clocks may differ by this much: each of them may have been stepped by an hour.
const MAX_DIFFERENCE: Seconds = 2.0 * 3600.0;
/// Starts that are remembered; those seen longest ago are forgotten beyond.
const MAX_REMEMBERED: usize = 1 << 16;

/// A start as a list gives it, and when it was.
#[derive(Clone, Copy, Debug)]
struct Start {
    listed_ms: u64,
    at: Option<Seconds>,
    seen: Seconds,
}

/// The list that is being read.
#[derive(Clone, Copy, Debug)]
pub struct ListContext {
    /// Now by the monotonic clock, and by the wall clock.
    pub now: Seconds,
    pub unix_seconds: Seconds,
    /// Whether its source has given a list before.
    pub has_earlier_list: bool,
    /// How long a server is cold.
    pub cold_for: Seconds,
}

/// The starts of all servers that lists have named.
#[derive(Debug, Default)]
pub struct StartTimes {
    known: HashMap<String, Start>,
}

impl StartTimes {
    /// When the present process of a server started by the monotonic clock, given its start in Unix time as listed;
    /// none for long ago.
    pub fn resolve(
        &mut self,
        uid: &str,
        listed: Option<Seconds>,
        reading: ListContext,
    ) -> Option<Seconds> {
        let listed = listed.filter(|start| *start > 0.0)?;
        let listed_ms = (listed * 1e3) as u64;
        if let Some(start) = self.known.get_mut(uid)
            && start.listed_ms == listed_ms
        {
            start.seen = reading.now;
            return start.at;
        }
        let certainly_warm = listed + MAX_DIFFERENCE + reading.cold_for < reading.unix_seconds;
        let start = Start {
            listed_ms,
            at: (reading.has_earlier_list || !certainly_warm).then_some(reading.now),
            seen: reading.now,
        };
        self.known.insert(uid.to_string(), start);
        self.forget_oldest();
        start.at
    }

    fn forget_oldest(&mut self) {
        if self.known.len() <= MAX_REMEMBERED {
            return;
        }
        let mut seen: Vec<Seconds> = self.known.values().map(|start| start.seen).collect();
        seen.sort_by(Seconds::total_cmp);
        let oldest_kept = seen[seen.len() / 2];
        self.known.retain(|_, start| start.seen >= oldest_kept);
        info!(
            kept = self.known.len(),
            "starts of servers are forgotten at their limit"
        );
    }
}

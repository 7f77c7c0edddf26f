//! Start times of servers, converted to the monotonic clock, which is never stepped.
//!
//! Lists give the start of a server's process in Unix time. That can't be compared with this machine's wall clock:
//! either clock may be stepped, by seconds or by an hour, and a server that seems old would get more load than slow
//! start allows. Only the observations of this process are certain: a start time that is new in a list, after an
//! earlier list of the same source, is no earlier than that list, and is treated as the current time. Nothing is known
//! about a start time in a source's first list unless it lies so far in the past that no clock step explains it.

use std::collections::HashMap;

use tracing::info;
use violetwind_balancer::api::Seconds;

/// Maximum difference between two wall clocks: each of them may have been stepped by an hour.
const MAX_CLOCK_DIFFERENCE: Seconds = 2.0 * 3600.0;
/// Maximum number of remembered start times; beyond it, those that were listed least recently are removed.
const MAX_STARTS: usize = 1 << 16;

/// A start time as listed, in Unix milliseconds, and as resolved to the monotonic clock.
#[derive(Clone, Copy, Debug)]
struct StartRecord {
    listed_ms: u64,
    started_at: Option<Seconds>,
    last_seen: Seconds,
}

/// Context in which a list is read.
#[derive(Clone, Copy, Debug)]
pub struct ListContext {
    /// Current time of the monotonic clock.
    pub now: Seconds,
    /// Current Unix time of this machine's wall clock.
    pub unix_seconds: Seconds,
    /// Whether the source has given a list before this one.
    pub has_earlier_list: bool,
    /// Period after a server's start during which its load is limited by slow start.
    pub slow_start_window: Seconds,
}

/// Start times of all servers that lists have named, by server identity.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: HashMap<String, StartRecord>,
}

impl StartTimes {
    /// Returns when the current process of a server started, in seconds of the monotonic clock. `listed_start` is the
    /// start time in Unix seconds from the list. `None` means that the server started long ago or that no start is
    /// listed.
    pub fn resolve(
        &mut self,
        uid: &str,
        listed_start: Option<Seconds>,
        context: ListContext,
    ) -> Option<Seconds> {
        let listed_start = listed_start.filter(|start| *start > 0.0)?;
        let listed_ms = (listed_start * 1e3) as u64;
        if let Some(record) = self.starts.get_mut(uid)
            && record.listed_ms == listed_ms
        {
            record.last_seen = context.now;
            return record.started_at;
        }
        let is_certainly_warm =
            listed_start + MAX_CLOCK_DIFFERENCE + context.slow_start_window < context.unix_seconds;
        let record = StartRecord {
            listed_ms,
            started_at: (context.has_earlier_list || !is_certainly_warm).then_some(context.now),
            last_seen: context.now,
        };
        self.starts.insert(uid.to_string(), record);
        self.remove_oldest();
        record.started_at
    }

    /// Removes the records that were listed least recently if there are more than [`MAX_STARTS`]; at least half are
    /// kept.
    fn remove_oldest(&mut self) {
        if self.starts.len() <= MAX_STARTS {
            return;
        }
        let mut last_seen_times: Vec<Seconds> = self
            .starts
            .values()
            .map(|record| record.last_seen)
            .collect();
        last_seen_times.sort_by(Seconds::total_cmp);
        let oldest_kept = last_seen_times[last_seen_times.len() / 2];
        self.starts
            .retain(|_, record| record.last_seen >= oldest_kept);
        info!(
            kept = self.starts.len(),
            "limit of remembered server start times reached: oldest removed"
        );
    }
}

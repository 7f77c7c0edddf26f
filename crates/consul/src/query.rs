//! A blocking query without its I/O: which index to ask with, what to believe of an answer, and when
//! to ask again.

use std::time::Duration;

use crate::limits::Limits;

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    /// `X-Consul-Index`.
    pub index: Option<u64>,
    /// `X-Consul-KnownLeader`; true where it is not told.
    pub leaderless: bool,
    /// `X-Consul-LastContact`.
    pub last_contact: Duration,
    /// `Retry-After`.
    pub retry_after: Option<Duration>,
}

/// What an answer is good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The whole list.
    Snapshot,
    /// Nothing has changed since the last one.
    Unchanged,
    /// Too old, or from a server that knows no leader: only drains count.
    StaleSnapshot,
    /// No list at all.
    Refused,
    /// The token is not, or no longer, good.
    Forbidden,
}

#[derive(Debug)]
pub struct BlockingQuery {
    limits: Limits,
    /// The index to wait beyond; none asks for what there is.
    index: Option<u64>,
    /// The index that was waited beyond by the call that is out.
    asked: Option<u64>,
    failures: u32,
    /// Times the index went back, or was none.
    pub index_resets: u64,
}

impl BlockingQuery {
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            index: None,
            asked: None,
            failures: 0,
            index_resets: 0,
        }
    }

    /// The index for the next call, which waits for a change beyond it.
    pub fn next_index(&mut self) -> Option<u64> {
        self.asked = self.index;
        self.index
    }

    /// Judges the head of an answer. Nothing of it holds until [`Query::read`] says that its body was
    /// read to its end.
    pub fn classify_response(&self, head: &ResponseHead) -> ResponseKind {
        match head.status {
            200 => {}
            401 | 403 => return ResponseKind::Forbidden,
            _ => return ResponseKind::Refused,
        }
        if head.leaderless || head.last_contact > self.limits.max_staleness {
            return ResponseKind::StaleSnapshot;
        }
        match head.index {
            Some(index) if index > 0 && self.asked == Some(index) => ResponseKind::Unchanged,
            _ => ResponseKind::Snapshot,
        }
    }

    /// A list was read to its end. Returns how long to wait before the next call, given how long it
    /// took to read.
    pub fn record_success(
        &mut self,
        head: &ResponseHead,
        verdict: ResponseKind,
        took: Duration,
    ) -> Duration {
        self.failures = 0;
        if verdict == ResponseKind::StaleSnapshot {
            // Asked at once again, the same server would say the same.
            return self.limits.poll_interval.max(self.gap(took));
        }
        match head.index {
            // "If the index goes backwards, reset it to zero"; an index must be above zero to block.
            Some(index) if index > 0 && self.index.is_none_or(|last| last <= index) => {
                self.index = Some(index);
                self.gap(took)
            }
            _ => {
                self.index_resets += 1;
                self.index = None;
                self.limits.poll_interval.max(self.gap(took))
            }
        }
    }

    /// Reading lists may take a fifth of the time, or whatever else the limits say.
    fn gap(&self, took: Duration) -> Duration {
        self.limits
            .min_query_delay
            .max(took * self.limits.query_delay_factor)
    }

    /// A call failed. Returns how long to wait before the next; `chance` lies between 0 and 1.
    pub fn record_failure(&mut self, head: Option<&ResponseHead>, chance: f64) -> Duration {
        let doubled = self.limits.initial_backoff * 2_u32.saturating_pow(self.failures.min(20));
        let backoff = doubled.min(self.limits.max_backoff);
        self.failures = self.failures.saturating_add(1);
        let told = head.and_then(|head| head.retry_after).unwrap_or_default();
        let least = told.min(self.limits.max_backoff);
        // Proxies that lost it together don't come back together.
        backoff.mul_f64(0.5 + 0.5 * chance).max(least)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OK: ResponseHead = ResponseHead {
        status: 200,
        index: Some(41),
        leaderless: false,
        last_contact: Duration::ZERO,
        retry_after: None,
    };

    fn with(index: u64) -> ResponseHead {
        ResponseHead {
            index: Some(index),
            ..OK
        }
    }

    fn answer(query: &mut BlockingQuery, head: &ResponseHead) -> (ResponseKind, Duration) {
        let verdict = query.classify_response(head);
        (verdict, query.record_success(head, verdict, Duration::ZERO))
    }

    #[test]
    fn the_index_is_followed_and_a_wait_that_ran_out_is_the_same_list() {
        let mut query = BlockingQuery::new(Limits::default());
        assert_eq!(query.next_index(), None);
        assert_eq!(answer(&mut query, &OK).0, ResponseKind::Snapshot);
        assert_eq!(query.next_index(), Some(41));
        assert_eq!(answer(&mut query, &OK).0, ResponseKind::Unchanged);
        assert_eq!(query.next_index(), Some(41));
        assert_eq!(answer(&mut query, &with(57)).0, ResponseKind::Snapshot);
        assert_eq!(query.next_index(), Some(57));
    }

    #[test]
    fn an_index_that_goes_back_or_is_none_begins_anew_without_a_busy_loop() {
        let mut query = BlockingQuery::new(Limits::default());
        for bad in [with(3), with(0), ResponseHead { index: None, ..OK }] {
            answer(&mut query, &OK);
            query.next_index();
            let (verdict, wait) = answer(&mut query, &bad);
            assert_eq!(
                (verdict, wait),
                (ResponseKind::Snapshot, Limits::default().poll_interval)
            );
            assert_eq!(query.next_index(), None);
        }
        assert_eq!(query.index_resets, 3);
        assert_eq!(answer(&mut query, &with(3)).0, ResponseKind::Snapshot);
        assert_eq!(query.next_index(), Some(3));
    }

    #[test]
    fn old_and_leaderless_answers_are_stale_and_move_no_index() {
        let mut query = BlockingQuery::new(Limits::default());
        answer(&mut query, &OK);
        query.next_index();
        let old = ResponseHead {
            last_contact: Duration::from_secs(60),
            ..with(99)
        };
        let lost = ResponseHead {
            leaderless: true,
            ..with(99)
        };
        for head in [old, lost] {
            let (verdict, wait) = answer(&mut query, &head);
            assert_eq!(
                (verdict, wait),
                (ResponseKind::StaleSnapshot, Limits::default().poll_interval)
            );
            assert_eq!(query.next_index(), Some(41));
        }
    }

    #[test]
    fn failures_back_off_by_chance_up_to_a_bound_and_heed_retry_after() {
        let mut query = BlockingQuery::new(Limits::default());
        let most = Limits::default().max_backoff;
        let waits: Vec<Duration> = (0..12).map(|_| query.record_failure(None, 1.0)).collect();
        assert!(waits.windows(2).all(|pair| pair[0] <= pair[1]));
        assert_eq!(
            (waits[0], waits[11]),
            (Limits::default().initial_backoff, most)
        );
        assert_eq!(query.record_failure(None, 0.0), most / 2);
        let mut fresh = BlockingQuery::new(Limits::default());
        let busy = ResponseHead {
            status: 429,
            retry_after: Some(Duration::from_secs(3)),
            ..ResponseHead::default()
        };
        assert_eq!(fresh.classify_response(&busy), ResponseKind::Refused);
        assert_eq!(
            fresh.record_failure(Some(&busy), 0.0),
            Duration::from_secs(3)
        );
        let endless = ResponseHead {
            retry_after: Some(Duration::from_secs(1 << 40)),
            ..busy
        };
        assert_eq!(fresh.record_failure(Some(&endless), 0.0), most);
    }

    #[test]
    fn long_lists_are_asked_for_less_often() {
        let mut query = BlockingQuery::new(Limits::default());
        let took = Duration::from_millis(200);
        let wait = query.record_success(&OK, ResponseKind::Snapshot, took);
        assert_eq!(wait, took * Limits::default().query_delay_factor);
    }
}

//! The state of a blocking query, without I/O: which index to send, how to use a response, and when to send the
//! next query.

use std::time::Duration;

use crate::limits::Limits;

/// The status and the headers of a response that the query uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    /// `X-Consul-Index`.
    pub index: Option<u64>,
    /// Whether `X-Consul-KnownLeader` is `false`; a leader is assumed if the header is missing.
    pub leaderless: bool,
    /// `X-Consul-LastContact`.
    pub last_contact: Duration,
    /// `Retry-After`.
    pub retry_after: Option<Duration>,
}

/// How a response is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A complete list.
    Snapshot,
    /// The index is the requested one: the list has not changed since the last response.
    Unchanged,
    /// A list that is too old, or from a Consul server without a known leader: only its drains take effect.
    StaleSnapshot,
    /// An error status without a list.
    Refused,
    /// The token is missing, invalid or no longer valid.
    Forbidden,
}

/// Follows the index of a blocking query, and schedules retries with a backoff.
#[derive(Debug)]
pub struct BlockingQuery {
    limits: Limits,
    /// The index of the last list; a query without an index returns the current list at once.
    index: Option<u64>,
    /// The index that was sent with the query in flight.
    requested_index: Option<u64>,
    /// Consecutive failed queries.
    failures: u32,
    /// How often the index went back, or was zero or missing.
    pub index_resets: u64,
}

impl BlockingQuery {
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            index: None,
            requested_index: None,
            failures: 0,
            index_resets: 0,
        }
    }

    /// Returns the index to send with the next query, which blocks until the index of the list exceeds it; none to
    /// get the current list at once.
    pub fn next_index(&mut self) -> Option<u64> {
        self.requested_index = self.index;
        self.index
    }

    /// Classifies a response by its head. The query state doesn't change until
    /// [`BlockingQuery::record_success`] confirms that the body was read completely.
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
            Some(index) if index > 0 && self.requested_index == Some(index) => {
                ResponseKind::Unchanged
            }
            _ => ResponseKind::Snapshot,
        }
    }

    /// Records that a list was read completely. Returns the delay before the next query, given the time that parsing
    /// took.
    pub fn record_success(
        &mut self,
        head: &ResponseHead,
        kind: ResponseKind,
        parse_time: Duration,
    ) -> Duration {
        self.failures = 0;
        if kind == ResponseKind::StaleSnapshot {
            // Queried again at once, the same Consul server would return the same stale list.
            return self.limits.poll_interval.max(self.query_delay(parse_time));
        }
        match head.index {
            // Consul's documentation: "If the index goes backwards, reset it to zero"; a query only blocks with an
            // index above zero.
            Some(index) if index > 0 && self.index.is_none_or(|last| last <= index) => {
                self.index = Some(index);
                self.query_delay(parse_time)
            }
            _ => {
                self.index_resets += 1;
                self.index = None;
                self.limits.poll_interval.max(self.query_delay(parse_time))
            }
        }
    }

    /// The delay after a list. With the default factor of 4, parsing takes at most a fifth of the time.
    fn query_delay(&self, parse_time: Duration) -> Duration {
        self.limits
            .min_query_delay
            .max(parse_time * self.limits.query_delay_factor)
    }

    /// Records a failed query. Returns the backoff before the next one; `jitter` is a random number from 0 to 1.
    pub fn record_failure(&mut self, head: Option<&ResponseHead>, jitter: f64) -> Duration {
        let exponential_backoff =
            self.limits.initial_backoff * 2_u32.saturating_pow(self.failures.min(20));
        let backoff = exponential_backoff.min(self.limits.max_backoff);
        self.failures = self.failures.saturating_add(1);
        let retry_after = head.and_then(|head| head.retry_after).unwrap_or_default();
        let min_delay = retry_after.min(self.limits.max_backoff);
        // The jitter keeps proxies that lost Consul at the same time from reconnecting at the same time.
        backoff.mul_f64(0.5 + 0.5 * jitter).max(min_delay)
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

    fn head_with_index(index: u64) -> ResponseHead {
        ResponseHead {
            index: Some(index),
            ..OK
        }
    }

    fn process_response(
        query: &mut BlockingQuery,
        head: &ResponseHead,
    ) -> (ResponseKind, Duration) {
        let kind = query.classify_response(head);
        (kind, query.record_success(head, kind, Duration::ZERO))
    }

    #[test]
    fn follows_the_index_and_treats_an_unchanged_index_as_unchanged() {
        let mut query = BlockingQuery::new(Limits::default());
        assert_eq!(query.next_index(), None);
        assert_eq!(process_response(&mut query, &OK).0, ResponseKind::Snapshot);
        assert_eq!(query.next_index(), Some(41));
        assert_eq!(process_response(&mut query, &OK).0, ResponseKind::Unchanged);
        assert_eq!(query.next_index(), Some(41));
        assert_eq!(
            process_response(&mut query, &head_with_index(57)).0,
            ResponseKind::Snapshot
        );
        assert_eq!(query.next_index(), Some(57));
    }

    #[test]
    fn index_that_goes_back_or_is_missing_restarts_without_a_busy_loop() {
        let mut query = BlockingQuery::new(Limits::default());
        for unusable in [
            head_with_index(3),
            head_with_index(0),
            ResponseHead { index: None, ..OK },
        ] {
            process_response(&mut query, &OK);
            query.next_index();
            let (kind, delay) = process_response(&mut query, &unusable);
            assert_eq!(
                (kind, delay),
                (ResponseKind::Snapshot, Limits::default().poll_interval)
            );
            assert_eq!(query.next_index(), None);
        }
        assert_eq!(query.index_resets, 3);
        assert_eq!(
            process_response(&mut query, &head_with_index(3)).0,
            ResponseKind::Snapshot
        );
        assert_eq!(query.next_index(), Some(3));
    }

    #[test]
    fn outdated_and_leaderless_responses_are_stale_and_keep_the_index() {
        let mut query = BlockingQuery::new(Limits::default());
        process_response(&mut query, &OK);
        query.next_index();
        let outdated = ResponseHead {
            last_contact: Duration::from_secs(60),
            ..head_with_index(99)
        };
        let leaderless = ResponseHead {
            leaderless: true,
            ..head_with_index(99)
        };
        for head in [outdated, leaderless] {
            let (kind, delay) = process_response(&mut query, &head);
            assert_eq!(
                (kind, delay),
                (ResponseKind::StaleSnapshot, Limits::default().poll_interval)
            );
            assert_eq!(query.next_index(), Some(41));
        }
    }

    #[test]
    fn failures_back_off_with_jitter_up_to_a_limit_and_respect_retry_after() {
        let mut query = BlockingQuery::new(Limits::default());
        let max_backoff = Limits::default().max_backoff;
        let delays: Vec<Duration> = (0..12).map(|_| query.record_failure(None, 1.0)).collect();
        assert!(delays.windows(2).all(|pair| pair[0] <= pair[1]));
        assert_eq!(
            (delays[0], delays[11]),
            (Limits::default().initial_backoff, max_backoff)
        );
        assert_eq!(query.record_failure(None, 0.0), max_backoff / 2);
        let mut rate_limited_query = BlockingQuery::new(Limits::default());
        let rate_limited = ResponseHead {
            status: 429,
            retry_after: Some(Duration::from_secs(3)),
            ..ResponseHead::default()
        };
        assert_eq!(
            rate_limited_query.classify_response(&rate_limited),
            ResponseKind::Refused
        );
        assert_eq!(
            rate_limited_query.record_failure(Some(&rate_limited), 0.0),
            Duration::from_secs(3)
        );
        let huge_retry_after = ResponseHead {
            retry_after: Some(Duration::from_secs(1 << 40)),
            ..rate_limited
        };
        assert_eq!(
            rate_limited_query.record_failure(Some(&huge_retry_after), 0.0),
            max_backoff
        );
    }

    #[test]
    fn query_delay_grows_with_parse_time() {
        let mut query = BlockingQuery::new(Limits::default());
        let parse_time = Duration::from_millis(200);
        let delay = query.record_success(&OK, ResponseKind::Snapshot, parse_time);
        assert_eq!(delay, parse_time * Limits::default().query_delay_factor);
    }
}

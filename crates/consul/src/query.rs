//! A blocking query without its I/O: which index to ask with, what to believe of an answer, and when
//! to ask again.

use std::time::Duration;

use crate::limits::Limits;

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Head {
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
pub enum Verdict {
    /// The whole list.
    Whole,
    /// Nothing has changed since the last one.
    Same,
    /// Too old, or from a server that knows no leader: only drains count.
    Stale,
    /// No list at all.
    Refused,
    /// The token is not, or no longer, good.
    Forbidden,
}

#[derive(Debug)]
pub struct Query {
    limits: Limits,
    /// The index to wait beyond; none asks for what there is.
    index: Option<u64>,
    /// The index that was waited beyond by the call that is out.
    asked: Option<u64>,
    failures: u32,
    /// Times the index went back, or was none.
    pub resets: u64,
}

impl Query {
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            index: None,
            asked: None,
            failures: 0,
            resets: 0,
        }
    }

    /// The index for the next call, which waits for a change beyond it.
    pub fn ask(&mut self) -> Option<u64> {
        self.asked = self.index;
        self.index
    }

    /// Judges the head of an answer. Nothing of it holds until [`Query::read`] says that its body was
    /// read to its end.
    pub fn judge(&self, head: &Head) -> Verdict {
        match head.status {
            200 => {}
            401 | 403 => return Verdict::Forbidden,
            _ => return Verdict::Refused,
        }
        if head.leaderless || head.last_contact > self.limits.stale_most {
            return Verdict::Stale;
        }
        match head.index {
            Some(index) if index > 0 && self.asked == Some(index) => Verdict::Same,
            _ => Verdict::Whole,
        }
    }

    /// A list was read to its end. Returns how long to wait before the next call, given how long it
    /// took to read.
    pub fn read(&mut self, head: &Head, verdict: Verdict, took: Duration) -> Duration {
        self.failures = 0;
        if verdict == Verdict::Stale {
            // Asked at once again, the same server would say the same.
            return self.limits.poll.max(self.gap(took));
        }
        match head.index {
            // "If the index goes backwards, reset it to zero"; an index must be above zero to block.
            Some(index) if index > 0 && self.index.is_none_or(|last| last <= index) => {
                self.index = Some(index);
                self.gap(took)
            }
            _ => {
                self.resets += 1;
                self.index = None;
                self.limits.poll.max(self.gap(took))
            }
        }
    }

    /// Reading lists may take a fifth of the time, or whatever else the limits say.
    fn gap(&self, took: Duration) -> Duration {
        self.limits.gap.max(took * self.limits.gap_times)
    }

    /// A call failed. Returns how long to wait before the next; `chance` lies between 0 and 1.
    pub fn failed(&mut self, head: Option<&Head>, chance: f64) -> Duration {
        let doubled = self.limits.backoff * 2_u32.saturating_pow(self.failures.min(20));
        let backoff = doubled.min(self.limits.backoff_most);
        self.failures = self.failures.saturating_add(1);
        let told = head.and_then(|head| head.retry_after).unwrap_or_default();
        let least = told.min(self.limits.backoff_most);
        // Proxies that lost it together don't come back together.
        backoff.mul_f64(0.5 + 0.5 * chance).max(least)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OK: Head = Head {
        status: 200,
        index: Some(41),
        leaderless: false,
        last_contact: Duration::ZERO,
        retry_after: None,
    };

    fn with(index: u64) -> Head {
        Head {
            index: Some(index),
            ..OK
        }
    }

    fn answer(query: &mut Query, head: &Head) -> (Verdict, Duration) {
        let verdict = query.judge(head);
        (verdict, query.read(head, verdict, Duration::ZERO))
    }

    #[test]
    fn the_index_is_followed_and_a_wait_that_ran_out_is_the_same_list() {
        let mut query = Query::new(Limits::default());
        assert_eq!(query.ask(), None);
        assert_eq!(answer(&mut query, &OK).0, Verdict::Whole);
        assert_eq!(query.ask(), Some(41));
        assert_eq!(answer(&mut query, &OK).0, Verdict::Same);
        assert_eq!(query.ask(), Some(41));
        assert_eq!(answer(&mut query, &with(57)).0, Verdict::Whole);
        assert_eq!(query.ask(), Some(57));
    }

    #[test]
    fn an_index_that_goes_back_or_is_none_begins_anew_without_a_busy_loop() {
        let mut query = Query::new(Limits::default());
        for bad in [with(3), with(0), Head { index: None, ..OK }] {
            answer(&mut query, &OK);
            query.ask();
            let (verdict, wait) = answer(&mut query, &bad);
            assert_eq!((verdict, wait), (Verdict::Whole, Limits::default().poll));
            assert_eq!(query.ask(), None);
        }
        assert_eq!(query.resets, 3);
        assert_eq!(answer(&mut query, &with(3)).0, Verdict::Whole);
        assert_eq!(query.ask(), Some(3));
    }

    #[test]
    fn old_and_leaderless_answers_are_stale_and_move_no_index() {
        let mut query = Query::new(Limits::default());
        answer(&mut query, &OK);
        query.ask();
        let old = Head {
            last_contact: Duration::from_secs(60),
            ..with(99)
        };
        let lost = Head {
            leaderless: true,
            ..with(99)
        };
        for head in [old, lost] {
            let (verdict, wait) = answer(&mut query, &head);
            assert_eq!((verdict, wait), (Verdict::Stale, Limits::default().poll));
            assert_eq!(query.ask(), Some(41));
        }
    }

    #[test]
    fn failures_back_off_by_chance_up_to_a_bound_and_heed_retry_after() {
        let mut query = Query::new(Limits::default());
        let most = Limits::default().backoff_most;
        let waits: Vec<Duration> = (0..12).map(|_| query.failed(None, 1.0)).collect();
        assert!(waits.windows(2).all(|pair| pair[0] <= pair[1]));
        assert_eq!((waits[0], waits[11]), (Limits::default().backoff, most));
        assert_eq!(query.failed(None, 0.0), most / 2);
        let mut fresh = Query::new(Limits::default());
        let busy = Head {
            status: 429,
            retry_after: Some(Duration::from_secs(3)),
            ..Head::default()
        };
        assert_eq!(fresh.judge(&busy), Verdict::Refused);
        assert_eq!(fresh.failed(Some(&busy), 0.0), Duration::from_secs(3));
        let endless = Head {
            retry_after: Some(Duration::from_secs(1 << 40)),
            ..busy
        };
        assert_eq!(fresh.failed(Some(&endless), 0.0), most);
    }

    #[test]
    fn long_lists_are_asked_for_less_often() {
        let mut query = Query::new(Limits::default());
        let took = Duration::from_millis(200);
        let wait = query.read(&OK, Verdict::Whole, took);
        assert_eq!(wait, took * Limits::default().gap_times);
    }
}

//! Timeouts, sizes and counts of the fleet.

use violetwind_consensus::Millis;

/// The proxy ends an operator's call itself after 800 ms, without saying what the fleet lacks.
const MAX_CALL_TIMEOUT: Millis = 600;

/// Timeouts, in milliseconds, and limits of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A session, and with it every duty and share that it holds, expires this long after its last renewal.
    pub lease_duration: Millis,
    /// A holder stops its work this long before its lease expires.
    pub lease_margin: Millis,
    /// The largest relative drift between the clocks of two machines, in thousandths.
    pub max_clock_drift_permille: u64,
    /// The interval between renewals of a session. A request to the leader that is not answered within half of it is
    /// sent to another member.
    pub renew_interval: Millis,
    /// How long an operator's call waits for the leader's reply.
    pub call_timeout: Millis,
    /// The delay before a call, or a change of a session, is requested again that the voter that was asked can't serve,
    /// because it does not lead or for the moment.
    pub request_retry_delay: Millis,
    /// The delay before a session is requested again that was refused, or whose name is not free yet.
    pub retry_delay: Millis,
    /// How long a member that shuts down waits for its duties to be taken over.
    pub handoff_timeout: Millis,
    /// This member's weight in the division of budgets, relative to a member of weight 1.
    pub weight: u64,
    /// The largest number of needs that a member reports with one renewal.
    pub max_needs_per_renewal: usize,
    /// How long units that a process held stay reserved after another process of the same name has started or an
    /// operator has declared its machine gone: servers need that time to notice the end of its connections.
    pub reclaim_delay: Millis,
    /// A need that the leader has left unmet for this long, and in `unmet_need_min_answers` answers, is taken to be one
    /// that it can't meet.
    pub unmet_need_timeout: Millis,
    pub unmet_need_min_answers: u32,
    /// How long after the first such answer the need counts as unmet. Until then requests don't wait for another
    /// exchange with the leader, since the previous ones have brought no units.
    pub unmet_need_cooldown: Millis,
    /// The largest number of calls that wait for a unit of a budget; further ones are refused at once.
    pub max_unit_waiters: usize,
    /// How much longer than `handoff_timeout` a member that takes part in work orders waits, when it shuts down, until
    /// it serves no client and the log has recorded that. A member that ends earlier stays among those that have to
    /// confirm each step, until it returns and confirms or an operator declares its machine gone.
    pub drain_timeout: Millis,
    /// The interval at which a member polls the list of machines while there are work orders; without work orders it
    /// polls at `renew_interval`.
    pub work_poll_interval: Millis,
    /// Machines that the sources have not listed for this long are removed from the fleet.
    pub machine_expiry: Millis,
    /// The largest number of requests that wait for the log at a leader.
    pub max_pending_leader_requests: usize,
    /// Log entries between two snapshots.
    pub snapshot_interval_entries: u64,
    pub consensus: violetwind_consensus::Limits,
}

impl Default for Limits {
    fn default() -> Self {
        Self::with_timeouts(2000, 500)
    }
}

/// Timeouts that contradict each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitsError {
    /// The lease is shorter than `min_lease`: no session would outlive a change of leader.
    LeaseTooShort { min_lease: Millis },
    /// The margin is longer than `max_margin`: too little of a lease would be left to use.
    MarginTooLong { max_margin: Millis },
}

impl Limits {
    /// Derives all timeouts from the two that operators set, in milliseconds.
    pub fn with_timeouts(lease_duration: Millis, election_timeout: Millis) -> Self {
        let consensus = violetwind_consensus::Limits {
            election_timeout,
            heartbeat_interval: (election_timeout / 5).max(1),
            ..violetwind_consensus::Limits::default()
        };
        Self {
            lease_duration,
            lease_margin: lease_duration / 10,
            max_clock_drift_permille: 10,
            renew_interval: lease_duration / 5,
            call_timeout: lease_duration.min(MAX_CALL_TIMEOUT),
            request_retry_delay: (lease_duration / 100).max(1),
            retry_delay: lease_duration / 10,
            handoff_timeout: lease_duration,
            weight: 1,
            max_needs_per_renewal: 256,
            reclaim_delay: 1000,
            unmet_need_timeout: 300,
            unmet_need_min_answers: 4,
            unmet_need_cooldown: 3000,
            max_unit_waiters: 1024,
            drain_timeout: 5 * lease_duration,
            work_poll_interval: lease_duration / 10,
            machine_expiry: 60_000,
            max_pending_leader_requests: 8192,
            snapshot_interval_entries: 2000,
            consensus,
        }
    }

    /// How long a leader counts a lease from its grant: the lease duration, extended by the clock drift.
    pub fn granted_lease_duration(&self) -> Millis {
        self.lease_duration
            + (self.lease_duration * self.max_clock_drift_permille).div_ceil(1000)
            + 1
    }

    /// Checks that the timeouts are consistent.
    ///
    /// # Errors
    /// The lease can't outlive an election, or its margin is longer than half of it.
    pub fn validate(&self) -> Result<(), LimitsError> {
        // One randomized election timeout, which is less than two `election_timeout`s, and one `election_timeout` for
        // the renewals before and after it.
        let min_lease = 3 * self.consensus.election_timeout;
        if self.lease_duration < min_lease {
            return Err(LimitsError::LeaseTooShort { min_lease });
        }
        let max_margin = self.lease_duration / 2;
        if self.lease_margin > max_margin {
            return Err(LimitsError::MarginTooLong { max_margin });
        }
        Ok(())
    }
}

/// Limits of the replicated state. They must be the same at every member, because members that apply the same commands
/// under different limits would reach different states: a change of one requires a new version of [`crate::Command`].
pub struct StateLimits;

impl StateLimits {
    pub const MAX_SESSIONS: usize = 4096;
    pub const MAX_DUTIES: usize = 256;
    /// The longest name of a member or a duty, in bytes.
    pub const MAX_NAME_BYTES: usize = 64;
    /// Members that an operator has removed and that are refused if they return.
    pub const MAX_BLOCKED_MEMBERS: usize = 1024;
    pub const MAX_BUDGETS: usize = 1024;
    pub const MAX_WEIGHT: u64 = 1000;
    /// Stranded shares of one budget that are kept as separate entries; more are added to existing ones.
    pub const MAX_STRANDED_SHARES: usize = 4096;
}

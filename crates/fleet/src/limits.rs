//! Every time, size and count of the fleet.

use violetwind_consensus::Millis;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A session, and with it all that it holds, ends so long after it was last renewed.
    pub lease_duration: Millis,
    /// A holder stops so long before its lease ends.
    pub lease_margin: Millis,
    /// The clocks of two machines run apart by no more than this part in a thousand.
    pub max_clock_drift_permille: u64,
    /// A session is renewed so often, and an answer waited for so long before another member is asked.
    pub renew_interval: Millis,
    /// Before a session that was refused, or is not free yet, is asked for again.
    pub retry_delay: Millis,
    /// Who ends waits so long for its duties to be taken over.
    pub handoff_timeout: Millis,
    /// Of what is divided this member gets so much more than one of weight 1.
    pub weight: u64,
    /// Needs that a member tells with one renewal.
    pub max_needs_per_renewal: usize,
    /// After a new process of a name has begun: what the one before held is not given out again for so long, until
    /// the servers have seen the end of its connections.
    pub reclaim_delay: Millis,
    /// A need that the leader has left open for so long, and in so many answers, is taken for one that it can't meet.
    pub unmet_need_timeout: Millis,
    pub unmet_need_min_answers: u32,
    /// Where an exchange has brought nothing, nobody waits for another one so soon.
    pub unmet_need_cooldown: Millis,
    /// Calls that wait for a unit of a budget; more are refused at once.
    pub max_unit_waiters: usize,
    /// Where it takes part in work on machines it waits so much longer until it serves nobody and the log has that:
    /// who ends otherwise has to confirm on its return, or be called gone.
    pub drain_timeout: Millis,
    /// While there are orders for work, a member asks so often what is out; otherwise as often as it renews.
    pub work_poll_interval: Millis,
    /// Machines that the sources have not told for so long are no part of the fleet any more.
    pub machine_expiry: Millis,
    /// Asks that wait for the log at a leader.
    pub max_pending_leader_requests: usize,
    /// Entries between two snapshots.
    pub snapshot_interval_entries: u64,
    pub consensus: violetwind_consensus::Limits,
}

impl Default for Limits {
    fn default() -> Self {
        Self::with_timeouts(2000, 500)
    }
}

/// Why times do not fit each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitsError {
    /// No session would outlive a change of the leader.
    LeaseTooShort { min_lease: Millis },
    /// Nothing of a lease would be left.
    MarginTooLong { max_margin: Millis },
}

impl Limits {
    /// All times from the two that operators set.
    pub fn with_timeouts(lease_duration: Millis, election: Millis) -> Self {
        let consensus = violetwind_consensus::Limits {
            election_timeout: election,
            heartbeat_interval: (election / 5).max(1),
            ..violetwind_consensus::Limits::default()
        };
        Self {
            lease_duration,
            lease_margin: lease_duration / 10,
            max_clock_drift_permille: 10,
            renew_interval: lease_duration / 5,
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

    /// How long a leader counts a lease that it grants now.
    pub fn granted_lease_duration(&self) -> Millis {
        self.lease_duration
            + (self.lease_duration * self.max_clock_drift_permille).div_ceil(1000)
            + 1
    }

    /// # Errors
    /// Where a lease can't outlive an election, or its margin leaves nothing of it.
    pub fn validate(&self) -> Result<(), LimitsError> {
        // Two draws of an election, and a renewal before and behind.
        let least = 3 * self.consensus.election_timeout;
        if self.lease_duration < least {
            return Err(LimitsError::LeaseTooShort { min_lease: least });
        }
        let most = self.lease_duration / 2;
        if self.lease_margin > most {
            return Err(LimitsError::MarginTooLong { max_margin: most });
        }
        Ok(())
    }
}

/// Sizes of what the log settles. They are the same at every member, or members would settle differently: a
/// change of one is a new version of [`crate::Command`].
pub struct StateLimits;

impl StateLimits {
    pub const MAX_SESSIONS: usize = 4096;
    pub const MAX_DUTIES: usize = 256;
    /// The longest name of a member or a duty, in bytes.
    pub const MAX_NAME_BYTES: usize = 64;
    /// Members that were put out and may not come back.
    pub const MAX_BLOCKED_MEMBERS: usize = 1024;
    pub const MAX_BUDGETS: usize = 1024;
    pub const MAX_WEIGHT: u64 = 1000;
    /// Stranded shares of one budget that are kept apart.
    pub const MAX_STRANDED_SHARES: usize = 4096;
}

//! Every time, size and count of the fleet.

use violetwind_consensus::Millis;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A session, and with it all that it holds, ends so long after it was last renewed.
    pub lease: Millis,
    /// A holder stops so long before its lease ends.
    pub margin: Millis,
    /// The clocks of two machines run apart by no more than this part in a thousand.
    pub drift_permille: u64,
    /// A session is renewed so often, and an answer waited for so long before another member is asked.
    pub renew: Millis,
    /// Before a session that was refused, or is not free yet, is asked for again.
    pub again: Millis,
    /// Who ends waits so long for its duties to be taken over.
    pub quit: Millis,
    /// Of what is divided this member gets so much more than one of weight 1.
    pub weight: u64,
    /// Needs that a member tells with one renewal.
    pub needs: usize,
    /// After a new process of a name has begun: what the one before held is not given out again for so long, until
    /// the servers have seen the end of its connections.
    pub linger: Millis,
    /// A need that the leader has left open for so long, and in so many answers, is taken for one that it can't meet.
    pub exchange: Millis,
    pub hopeless_answers: u32,
    /// Where an exchange has brought nothing, nobody waits for another one so soon.
    pub hopeless: Millis,
    /// Calls that wait for a unit of a budget; more are refused at once.
    pub waits: usize,
    /// Where it takes part in work on machines it waits so much longer until it serves nobody and the log has that:
    /// who ends otherwise has to confirm on its return, or be called gone.
    pub off: Millis,
    /// While there are orders for work, a member asks so often what is out; otherwise as often as it renews.
    pub work: Millis,
    /// Machines that the sources have not told for so long are no part of the fleet any more.
    pub forgotten: Millis,
    /// Asks that wait for the log at a leader.
    pub asks: usize,
    /// Entries between two snapshots.
    pub snapshot_every: u64,
    pub log: violetwind_consensus::Limits,
}

impl Default for Limits {
    fn default() -> Self {
        Self::with(2000, 500)
    }
}

/// Why times do not fit each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsound {
    /// No session would outlive a change of the leader.
    LeaseTooShort { least: Millis },
    /// Nothing of a lease would be left.
    MarginTooLong { most: Millis },
}

impl Limits {
    /// All times from the two that operators set.
    pub fn with(lease: Millis, election: Millis) -> Self {
        let log = violetwind_consensus::Limits {
            election,
            heartbeat: (election / 5).max(1),
            ..violetwind_consensus::Limits::default()
        };
        Self {
            lease,
            margin: lease / 10,
            drift_permille: 10,
            renew: lease / 5,
            again: lease / 10,
            quit: lease,
            weight: 1,
            needs: 256,
            linger: 1000,
            exchange: 300,
            hopeless_answers: 4,
            hopeless: 3000,
            waits: 1024,
            off: 5 * lease,
            work: lease / 10,
            forgotten: 60_000,
            asks: 8192,
            snapshot_every: 2000,
            log,
        }
    }

    /// How long a leader counts a lease that it grants now.
    pub fn granted(&self) -> Millis {
        self.lease + (self.lease * self.drift_permille).div_ceil(1000) + 1
    }

    /// # Errors
    /// Where a lease can't outlive an election, or its margin leaves nothing of it.
    pub fn check(&self) -> Result<(), Unsound> {
        // Two draws of an election, and a renewal before and behind.
        let least = 3 * self.log.election;
        if self.lease < least {
            return Err(Unsound::LeaseTooShort { least });
        }
        let most = self.lease / 2;
        if self.margin > most {
            return Err(Unsound::MarginTooLong { most });
        }
        Ok(())
    }
}

/// Sizes of what the log settles. They are the same at every member, or members would settle differently: a
/// change of one is a new version of [`crate::Command`].
pub struct Caps;

impl Caps {
    pub const SESSIONS: usize = 4096;
    pub const DUTIES: usize = 256;
    /// The longest name of a member or a duty, in bytes.
    pub const NAME: usize = 64;
    /// Members that were put out and may not come back.
    pub const BARRED: usize = 1024;
    pub const BUDGETS: usize = 1024;
    pub const WEIGHT: u64 = 1000;
    /// Stranded shares of one budget that are kept apart.
    pub const STRANDED: usize = 4096;
}

//! Events that a member reports for the log of its process.

use violetwind_consensus::{Millis, NodeId, Term};

use crate::budget::NeedLeftOpen;
use crate::messages::{Name, Number};

/// The reason why a duty or a session was lost, or a session was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The lease could not be renewed: no leader has answered for `since` milliseconds, a duration.
    NotRenewed {
        since: Millis,
    },
    /// The process was stalled for longer than the lease margin, past the time at which duties are given up, a margin
    /// before the end of the lease. `by` is the time since then, in milliseconds.
    Stalled {
        by: Millis,
    },
    /// Operators have ordered a handoff of the duty.
    HandedOn,
    /// This process is shutting down, or its successor takes over.
    Ending,
    /// The fleet has ended the session, or a duty is missing from the duties of a session that continues.
    SessionOver,
    /// Operators have evicted the member.
    PutOut,
    /// Another process of this name has a session.
    NameInUse,
    Refused(String),
}

impl std::fmt::Display for LossReason {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::NotRenewed { since } => write!(out, "nobody that leads answers since {since} ms"),
            Self::Stalled { by } => write!(out, "stopped for {by} ms beyond the lease"),
            Self::HandedOn => out.write_str("handed on by operators"),
            Self::Ending => out.write_str("this process ends"),
            Self::SessionOver => out.write_str("the fleet has ended the session"),
            Self::PutOut => out.write_str("put out by operators"),
            Self::NameInUse => out.write_str("another process of this name has a session"),
            Self::Refused(why) => out.write_str(why),
        }
    }
}

/// An event of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The member holds the duty now.
    Gained { duty: Name, fence: Number },
    /// The member does not hold the duty any more.
    Lost {
        duty: Name,
        fence: Number,
        why: LossReason,
    },
    /// A session has begun; without a session no duty or share is held.
    Session { number: Number },
    /// The member has no session.
    NoSession { why: LossReason },
    /// The leader has answered a renewal without covering a need that had been reported to it.
    NeedLeftOpen {
        need: NeedLeftOpen,
        /// The leader's term.
        term: Term,
        /// The time between the request and the leader's answer.
        took: Millis,
    },
    /// No leader has answered for `since` milliseconds, at least a whole lease duration; reported once until a leader
    /// answers.
    NoLeader { since: Millis },
    /// A leader has answered again.
    LeaderAgain,
    /// This member has become the leader.
    Leads { term: Term },
    /// This member is not the leader any more.
    Follows { term: Term },
    /// The fleet is formed, with these voters.
    Formed { voters: Vec<Name> },
    /// The fleet has been formed with another directory of this name: operators have to admit this one.
    Stranger { id: NodeId },
    /// The directory is an older copy of itself; it never votes again.
    Stale { own: u64, seen: u64 },
    /// This leader has ended the session of a member.
    Ended { name: Name, why: LossReason },
    /// The log contains an entry or a snapshot that this program can't read: the member votes, but applies
    /// nothing.
    Halted { why: String },
    /// A request was refused at a limit.
    Full { what: &'static str },
}

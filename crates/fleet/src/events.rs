//! What a member tells the log of its process.

use violetwind_consensus::{Millis, NodeId, Term};

use crate::budget::NeedLeftOpen;
use crate::messages::{Name, Number};

/// Why something is not held any more, or was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The lease could not be renewed: nobody that leads has answered since then.
    NotRenewed {
        since: Millis,
    },
    /// The process was stopped for longer than its lease.
    Stalled {
        by: Millis,
    },
    /// Operators have ordered it.
    HandedOn,
    /// This process ends, or its successor takes over.
    Ending,
    /// The fleet has ended the session.
    SessionOver,
    /// Operators have put the member out.
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

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Gained {
        duty: Name,
        fence: Number,
    },
    Lost {
        duty: Name,
        fence: Number,
        why: LossReason,
    },
    /// A session begins; without one nothing is held.
    Session {
        number: Number,
    },
    NoSession {
        why: LossReason,
    },
    /// The leader has answered a renewal and left a need open that it had been told of.
    NeedLeftOpen {
        need: NeedLeftOpen,
        /// The leader's term, and how long its answer took.
        term: Term,
        took: Millis,
    },
    /// Nobody that leads has answered for a whole lease; told once until somebody does.
    NoLeader {
        since: Millis,
    },
    LeaderAgain,
    Leads {
        term: Term,
    },
    Follows {
        term: Term,
    },
    Formed {
        voters: Vec<Name>,
    },
    /// The fleet has been formed with another directory of this name: operators let it in.
    Stranger {
        id: NodeId,
    },
    /// The directory is an older copy; it never votes again.
    Stale {
        own: u64,
        seen: u64,
    },
    /// Sessions that a leader has ended.
    Ended {
        name: Name,
        why: LossReason,
    },
    /// The log has something that this program can't read: it votes, and settles nothing.
    Halted {
        why: String,
    },
    /// An ask was dropped at a limit.
    Full {
        what: &'static str,
    },
}

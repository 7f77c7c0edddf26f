//! The proxies of a fleet as one distributed system, without I/O, clocks or random numbers: [`Member`] is the state
//! machine of one process. Times, frames from peers, disk acknowledgements and operator calls are its [`Input`]s;
//! frames, records to be synced, answers and events are its [`Output`]s.
//!
//! A few members vote and replicate the log (`violetwind_consensus`). The log's [`State`] holds the sessions of all
//! members, and the holder and fencing number of each duty. All members, including hundreds that never vote, are
//! clients of the leader (`session_client`); the leader keeps their leases (`leases`).
//!
//! Invariants, under the names that the design note and the tests use:
//!
//! - *One Holder*: at no instant do two processes regard themselves as the holder of a duty. A holder counts its lease
//!   from before its request; the leader counts it from after the grant, extended by the assumed clock drift. A
//!   renewal is granted only after a majority has confirmed, later than the renewal arrived, that the leader still
//!   leads. A new leader waits for a whole lease of every session.
//! - *Fencing*: each time a duty is granted it gets a fencing number larger than all before it, for the life of the
//!   fleet's log.
//! - *Given Up In Time*: a holder that can't renew its lease stops a margin before the lease expires.
//! - *Held Again*: while there is a majority, the duty of a failed holder is held again within the lease and the
//!   election time.
//! - *Never Too Many Out*, *Empty Means Empty*: work orders ([`work_orders`]) change only through the log; a step that
//!   needs the confirmation of all serving members names the version of the roster that was asked.
//! - *Unanimous Formation*: a fleet is formed when every voter has the same list of directories on disk; a member that
//!   comes with another directory is refused until an operator admits it.

pub mod budget;
mod events;
mod fencing;
mod formation;
mod leases;
mod limits;
mod member;
mod messages;
mod session_client;
mod state;
pub mod work_orders;

pub use events::{Event, LossReason};
pub use fencing::FenceGuard;
pub use limits::{Limits, LimitsError, StateLimits};
pub use member::{Config, Member};
pub use messages::{
    DutyView, FleetAction, FleetView, FormationStatus, Input, LeaderReply, LeaderRequest,
    MemberRecord, MemberView, Name, Number, OperatorAnswer, OperatorCall, Output, PeerMessage,
    SavedState, SessionId,
};
pub use state::{Command, Effect, State};

//! Proxies as one fleet, without I/O, clock or chance: [`Member`] is what one process knows and does. Times,
//! frames of peers, acknowledgements of the disk and calls of operators come in as [`Input`]s; frames, records
//! to be synced, answers and events go out as [`Output`]s.
//!
//! A few members vote and keep the log (`violetwind_consensus`); what it settles is [`State`]: the sessions of
//! all members, and who holds which duty with which fencing number. All members, hundreds that never vote
//! among them, are clients of whoever leads ([`holder`]); the leader counts their leases ([`grantor`]).
//!
//! Invariants, by the names that design note and tests use:
//!
//! - *One Holder*: at no instant of true time do two processes count a duty as theirs. A holder counts its lease
//!   from before it asked; a leader counts it from after it granted, longer by the stated drift of clocks;
//!   a renewal is granted only once a majority has confirmed, after it came, that the leader still leads; a
//!   new leader waits out a whole lease of every session.
//! - *Fencing*: every holding has a number larger than all before it, for the life of the fleet's log.
//! - *Given Up In Time*: who can't renew stops by itself a margin before the lease ends.
//! - *Held Again*: with a majority a duty of a dead holder is held again within lease and election time.
//! - *Never Too Many Out*, *Empty Means Empty*: orders for work ([`work`]) change in the log alone; a step that stands on
//!   everybody's word names the roster that was asked.
//! - *Unanimous Formation*: a fleet begins when every voter has the same list of directories on disk; who comes
//!   with another directory is a stranger until it is let in.

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

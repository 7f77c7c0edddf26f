//! Merges the server lists of any number of sources into one view, without fully trusting any source.
//!
//! The updates of a source (a registry, Consul, ...) come late, contain no load, are sometimes wrong and
//! sometimes stop. Therefore:
//!
//! - **A drain takes precedence** over all other reports; only the source that reported it can revoke it.
//! - **Absence and failed checks make a server suspected.** It gets no new requests while other servers have
//!   capacity, and keeps its connections while it answers. It is gone once it also leaves probes unanswered, or
//!   once no source has listed it for [`Limits::absence_timeout`]; the latter is limited to
//!   [`Limits::max_gone_ratio_per_s`].
//! - **A source that loses many servers at once is distrusted**: its failing and absent reports then count only
//!   for servers that don't answer. So a flap of half the servers moves no connection.
//! - **An unavailable source changes nothing.** The last view stays in use without a time limit.
//!
//! The crate reads no clock and no socket: each call passes the time, in milliseconds of a clock that never goes
//! back, and returns the status changes. The view at a timestamp doesn't depend on the order of the updates with that
//! timestamp, except that the last report of one source on one server counts.

mod catalogue;
mod limits;
mod server_record;
mod trust;
mod types;

pub use catalogue::{Catalogue, Counts, SourceId, SourceView};
pub use limits::Limits;
pub use types::{
    EffectiveStatus, Instance, Millis, ReportedStatus, Row, ServerView, SourceReport, SourceStatus,
    SourceUpdate, StatusChange, StatusReason,
};

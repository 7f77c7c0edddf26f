//! Merges what any number of sources tell of servers into one view, and doubts all of it.
//!
//! A source (a registry, Consul, ...) is late, knows nothing of load, sometimes lies and sometimes falls
//! silent. So each word is weighed:
//!
//! - **A drain binds.** Nothing else overrules it; only the source that told it takes it back.
//! - **Absence and failed checks are suspicion.** A suspect gets nothing new while others have room, and
//!   keeps its clients while it answers. It is gone once it leaves probes unanswered too, or once no
//!   source has listed it for [`Limits::absent_for`], so many a second at most.
//! - **A source that loses much at once is doubted**: its suspicions then count only for servers that
//!   don't answer. So a flap of half a fleet moves nobody.
//! - **Silence changes nothing.** The last view stays, ageing, without end.
//!
//! Nothing here reads a clock or a socket: times come in with each call, in Unix milliseconds, and facts
//! go out as values. The view at a moment depends on what was told at that moment, not on its order
//! (words of one source on one server excepted: its last word counts).

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

//! What sources tell, and what the catalogue makes of it.

use std::fmt;
use std::net::SocketAddr;

/// Milliseconds of a clock that only goes forward, or a span of it.
pub type Millis = u64;

/// A server as a source describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    pub endpoint: SocketAddr,
    pub zone: Option<Box<str>>,
    pub kind: Option<Box<str>>,
    pub cell: u64,
    /// Its size beside others', where the source tells sizes.
    pub weight: Option<f64>,
    /// When its process started, where the source tells that.
    pub born: Option<Millis>,
    /// Changes with each registration, where the source tells that (Consul's `CreateIndex`).
    pub epoch: u64,
}

/// A source's word on one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedStatus {
    Ready,
    /// A check of the source's fails.
    Failing,
    Draining,
    /// Told in so many words to be gone; a server that a whole list leaves out is absent instead.
    Left,
}

#[derive(Clone, Debug)]
pub struct Row {
    pub uid: Box<str>,
    pub status: ReportedStatus,
    /// None where the source no longer tells it ([`Word::Left`]).
    pub instance: Option<Instance>,
}

/// What a source says at one time.
#[derive(Clone, Debug)]
pub enum SourceUpdate {
    /// All servers it knows.
    Snapshot(Vec<Row>),
    /// The same in parts: nothing but drains counts before the last of them. What is in none of the parts
    /// is left out.
    SnapshotPart {
        first: bool,
        last: bool,
        rows: Vec<Row>,
    },
    /// Those that changed.
    Delta(Vec<Row>),
    /// A list too old to be believed: only its drains count.
    StaleSnapshot(Vec<Row>),
    /// Nothing new.
    Unchanged,
    /// A call failed, or the source is silent.
    Unavailable,
}

impl SourceUpdate {
    /// Whether it ends a whole list.
    pub fn completes_snapshot(&self) -> bool {
        matches!(
            self,
            Self::Snapshot(_) | Self::SnapshotPart { last: true, .. }
        )
    }
}

/// What a source's word has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceStatus {
    Ready,
    Failing,
    Draining,
    /// Listed before, and no longer.
    Absent,
    /// Told to be gone, or no longer listed after a drain: nothing new goes there.
    Left,
}

impl SourceStatus {
    pub(crate) fn is_listed(self) -> bool {
        matches!(self, Self::Ready | Self::Failing | Self::Draining)
    }

    pub(crate) fn is_suspect(self) -> bool {
        matches!(self, Self::Failing | Self::Absent)
    }

    pub(crate) fn is_binding(self) -> bool {
        matches!(self, Self::Draining | Self::Left)
    }
}

/// One source's word on one server, and since when it stands.
#[derive(Clone, Debug)]
pub struct SourceReport {
    pub source: super::SourceId,
    pub status: SourceStatus,
    pub since: Millis,
    /// Since when it has been suspicious without a break.
    pub(crate) suspect_since: Millis,
    pub(crate) instance: Instance,
    pub(crate) snapshot_number: u64,
}

/// What the engine is told of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectiveStatus {
    Ready,
    /// Nothing new while others have room; its clients stay.
    Suspected,
    /// Nothing new; its clients are moved.
    Draining,
    /// Its clients are moved at once.
    Gone,
}

/// Why it is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusReason {
    AllReady,
    /// It is failing or absent by a source that lost too much at once.
    SourceDistrusted,
    ReportedFailing,
    Unlisted,
    /// It went back and forth too often.
    FlapDamped,
    DrainReported,
    /// Suspected, and it leaves probes or lines unanswered.
    Unresponsive,
    /// Listed by nobody for as long as the limits say.
    AbsenceExpired,
    /// Forgotten to make room for others.
    Evicted,
}

impl fmt::Display for StatusReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::AllReady => "ready by all that list it",
            Self::SourceDistrusted => "its source lost too much at once and is doubted",
            Self::ReportedFailing => "a source says that it fails",
            Self::Unlisted => "no source lists it any more",
            Self::FlapDamped => "it went back and forth too often",
            Self::DrainReported => "a drain was told",
            Self::Unresponsive => "suspected, and it does not answer",
            Self::AbsenceExpired => "no source has listed it for long",
            Self::Evicted => "forgotten: the catalogue is full",
        })
    }
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusChange {
    pub uid: Box<str>,
    pub status: EffectiveStatus,
    pub reason: StatusReason,
    pub instance: Instance,
    /// When its process started, as told or as seen: a server that is new, at a new address or back
    /// from the dead counts as cold.
    pub born: Option<Millis>,
}

/// One server with everything that is known of it.
#[derive(Clone, Debug)]
pub struct ServerView<'a> {
    pub uid: &'a str,
    pub status: EffectiveStatus,
    pub reason: StatusReason,
    pub instance: &'a Instance,
    pub reports: &'a [SourceReport],
    /// Times it turned suspect, fading.
    pub flap_penalty: f64,
}

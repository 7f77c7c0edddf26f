//! The updates that sources report, and the statuses that the catalogue derives from them.

use std::fmt;
use std::net::SocketAddr;

/// A time in milliseconds on a clock that never goes back, or a duration in milliseconds.
pub type Millis = u64;

/// A server as a source describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    pub endpoint: SocketAddr,
    pub zone: Option<Box<str>>,
    pub kind: Option<Box<str>>,
    /// The number of the server's group; 0 without one.
    pub cell: u64,
    /// The server's relative capacity, if the source reports one.
    pub weight: Option<f64>,
    /// When the server's process started, if the source reports it. Consul reports Unix time; the engine converts it to
    /// the time of the catalogue's clock before it applies the update.
    pub started_at: Option<Millis>,
    /// Changes with each registration, if the source reports it (Consul's `CreateIndex`).
    pub registration_index: u64,
}

/// The status of one server in a row of a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedStatus {
    Ready,
    /// A health check of the source fails.
    Failing,
    Draining,
    /// Explicitly reported as removed. A server that is missing from a snapshot is
    /// [`SourceStatus::Absent`] instead.
    Left,
}

/// One server in an update of a source.
#[derive(Clone, Debug)]
pub struct Row {
    pub uid: Box<str>,
    pub status: ReportedStatus,
    /// None if the source gives no usable description: for a removed server ([`ReportedStatus::Left`]), or a
    /// row without a valid address.
    pub instance: Option<Instance>,
}

/// One update from a source.
#[derive(Clone, Debug)]
pub enum SourceUpdate {
    /// All servers that the source lists.
    Snapshot(Vec<Row>),
    /// A part of a snapshot. Until the last part only drains take effect; servers that are in none of the parts
    /// are absent.
    SnapshotPart {
        first: bool,
        last: bool,
        rows: Vec<Row>,
    },
    /// The servers that changed.
    Delta(Vec<Row>),
    /// A snapshot that is too old to be trusted: only its drains take effect.
    StaleSnapshot(Vec<Row>),
    /// The source answered that nothing has changed.
    Unchanged,
    /// A query failed, or the source does not answer.
    Unavailable,
}

impl SourceUpdate {
    /// Whether this update is a whole snapshot or the last part of one.
    pub fn completes_snapshot(&self) -> bool {
        matches!(
            self,
            Self::Snapshot(_) | Self::SnapshotPart { last: true, .. }
        )
    }
}

/// The status that the catalogue keeps for one server and one source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceStatus {
    Ready,
    Failing,
    Draining,
    /// Listed earlier, but missing from the latest snapshot.
    Absent,
    /// Reported as removed, or no longer listed after a drain: the server gets no new requests.
    Left,
}

impl SourceStatus {
    pub(crate) fn is_listed(self) -> bool {
        matches!(self, Self::Ready | Self::Failing | Self::Draining)
    }

    pub(crate) fn is_suspect(self) -> bool {
        matches!(self, Self::Failing | Self::Absent)
    }

    /// Whether the status takes precedence over what other sources report.
    pub(crate) fn is_binding(self) -> bool {
        matches!(self, Self::Draining | Self::Left)
    }
}

/// The current status of one server according to one source.
#[derive(Clone, Debug)]
pub struct SourceReport {
    pub source: super::SourceId,
    pub status: SourceStatus,
    /// When the status last changed.
    pub since: Millis,
    /// Since when the status has been failing or absent without interruption.
    pub(crate) suspect_since: Millis,
    pub(crate) instance: Instance,
    /// The number of the source's latest snapshot when it last reported this server.
    pub(crate) snapshot_number: u64,
}

/// The status of a server that the catalogue derives from all sources and publishes to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectiveStatus {
    Ready,
    /// Gets no new requests while other servers have capacity; its connections stay.
    Suspected,
    /// Gets no new requests; its connections are moved.
    Draining,
    /// Its connections are moved at once.
    Gone,
}

/// The reason for an [`EffectiveStatus`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusReason {
    /// No trusted source that lists the server reports it as failing.
    AllReady,
    /// Reported as failing or absent only by distrusted sources, which lost too many servers at once.
    SourceDistrusted,
    ReportedFailing,
    /// No source lists the server any more.
    Unlisted,
    /// The server became suspect too often in a short time.
    FlapDamped,
    DrainReported,
    /// Suspected or removed, and probes or `OPEN` lines remain unanswered.
    Unresponsive,
    /// Not listed by any source for [`Limits::absence_timeout`](crate::Limits::absence_timeout).
    AbsenceExpired,
    /// Removed to make room for another server.
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

/// A change of a server's effective status or description.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusChange {
    pub uid: Box<str>,
    pub status: EffectiveStatus,
    pub reason: StatusReason,
    pub instance: Instance,
    /// When the server's process started: the later of the reported and the observed time. A server that is new,
    /// at a new address or back after it was gone counts as cold.
    pub started_at: Option<Millis>,
}

/// A view of one server, with the reports of all sources.
#[derive(Clone, Debug)]
pub struct ServerView<'a> {
    pub uid: &'a str,
    pub status: EffectiveStatus,
    pub reason: StatusReason,
    pub instance: &'a Instance,
    pub reports: &'a [SourceReport],
    /// The decaying count of transitions to suspect.
    pub flap_penalty: f64,
}

//! The interface of the decision module: settings at the start, events in, actions out.

/// A point in time or a duration, in seconds. The clock's origin is arbitrary, and it never goes back.
pub type Seconds = f64;
/// Identifies a server, with the same value at every balancer and across restarts of the server's process.
pub type ServerId = u32;
/// Identifies a request and the connection that results from it.
pub type RequestId = u64;

/// When a request of a class may safely run more than once: always, while servers remember its key, or never.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Safe,
    Keyed,
    Unsafe,
}

/// The set of servers that drop repeats of a keyed request that ran on another server of the set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub idempotency: Idempotency,
    pub dedup_scope: DedupScope,
    /// How long servers remember a keyed request, counted from the first attempt that may have run.
    pub dedup_window: Seconds,
    /// The target time for the set-up of a connection.
    pub setup_target: Seconds,
    /// The worth of serving one request, relative to other classes.
    pub worth: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The tenant's share: the number of connections that all balancers together may hold for it at full worth.
    pub quota: Option<f64>,
}

/// The values that a load report can contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    Load,
    Connections,
    Queue,
    Utilisation,
    Errors,
}

/// The number of retries that a balancer may make in any period of `span` seconds: `free`, plus `ratio` times the
/// number of requests that arrived at it in that period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub free: f64,
    pub ratio: f64,
    pub span: Seconds,
}

/// A resource whose use is limited by a quota that several balancers share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuotaKind {
    /// Retries, within any period of the allowance's span.
    Further,
    /// Connections moved off servers because of load, within any period of the allowance's span. Drains don't count.
    Moves,
    /// Probes, within any period of the allowance's span.
    Probes,
    /// Attempts at any one cold server, within any period of the allowance's span. The ratio of `units` to
    /// `fleet_units` is also this balancer's part of the connections that all balancers may place there during the
    /// warm-up.
    Cold,
    /// Concurrent connections of a class, with attempts in flight.
    Class(usize),
    /// Concurrent connections of a tenant, with attempts in flight and waiting requests.
    Tenant(usize),
}

/// A balancer's part of a quota that several balancers share: `units` until the lease ends at `lease_end`, and
/// `units_after_lease` from then on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    pub units: u64,
    pub lease_end: Seconds,
    pub units_after_lease: u64,
    /// The length of the period for quotas that are counted within one.
    pub span: Seconds,
    /// The units of all balancers together.
    pub fleet_units: u64,
    /// How long after its arrival a request may wait for an exchange among balancers to bring more units; 0 where none
    /// is to be expected.
    pub max_wait: Seconds,
}

/// The reason why a request was given up, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The balancer accepts no more requests.
    NotTaking,
    DeadlineOver,
    /// The request has used all attempts that it may have.
    Attempts,
    /// Adaptive throttling: far more attempts fail than succeed, or connections are being reset.
    Throttled,
    /// The retry budget or this balancer's allowance of retries is used up.
    FurtherAttempts,
    /// This balancer's allowance of the quota is used up.
    Part(QuotaKind),
    /// No server has room for the request.
    NoServer,
}

/// A balancer's use of one of its allowances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaUsage {
    pub quota: QuotaKind,
    pub in_use: u64,
    /// How often the allowance was too small, since the start.
    pub denied: u64,
}

/// The balancer's settings. Apart from events and the seed, they are its only input.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of balancers.
    pub fleet_size: usize,
    /// This balancer's number among them.
    pub balancer_index: u64,
    pub zone: Option<usize>,
    /// The number of zones.
    pub zones: usize,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    pub report_fields: Vec<ReportField>,
    pub max_attempts: usize,
    pub max_retry_after: Seconds,
    pub may_retry_after: bool,
    pub may_probe: bool,
    pub may_cancel: bool,
    /// The server list arrives only after a request for it.
    pub requires_subscription: bool,
    /// The longest time within which a lost list must be requested again.
    pub resubscribe_within: Seconds,
    /// The fraction of its capacity that a server has at its start.
    pub slow_start_min_share: f64,
    /// The length of a server's warm-up.
    pub slow_start_window: Seconds,
    /// A cold server is overloaded by this multiple of the rate of new connections that its present capacity allows, if
    /// that rate lasts for `overload_duration`.
    pub overload_multiple: f64,
    /// The window of the overload limit.
    pub overload_duration: Seconds,
    /// Connections of one group share work on a server.
    pub group_affinity: bool,
    /// The price of a request that crosses zones.
    pub price_cross_zone: f64,
    /// The price of a probe relative to a request.
    pub price_probe: f64,
    /// The factor on the worth of a request beyond its tenant's share.
    pub over_share_worth: f64,
    pub retry_budget: Option<Budget>,
    /// The shortest target time for an answer on an open connection, if the settings define one.
    pub message_delay_target: Option<Seconds>,
}

/// The status of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Up,
    /// The source of the list suspects that the server is gone: it gets no new connections while others have room.
    Suspected,
    Draining,
    Gone,
}

/// One line of the server list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub server: ServerId,
    pub status: Status,
    pub zone: Option<usize>,
    pub kind: Option<usize>,
    pub cell: u64,
    /// The size relative to other servers in the list, where the list contains sizes.
    pub size: Option<f64>,
    /// When the server's process last started, unless that is long ago.
    pub started_at: Option<Seconds>,
}

/// The kind of a message about the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Update,
    /// The whole list.
    Replace,
    /// The whole list as it was last known, possibly stale.
    Restored,
    /// A request for the list failed, or the subscription was dropped.
    Unavailable,
}

/// A request of a client for a connection.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: RequestId,
    pub class: usize,
    pub tenant: Option<usize>,
    /// A stable hash of the group's name.
    pub group: Option<u64>,
    /// The expected load in seconds of work per second, where the deployment provides it.
    pub hint: Option<f64>,
    /// The time until the client stops waiting.
    pub client_timeout: Seconds,
    /// The request is a repeat of one that was refused, failed, cut off or moved; false where clients don't mark
    /// repeats.
    pub is_repeat: bool,
}

/// A server's report of its load; each value is absent where the deployment does not report it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Demanded load over the server's capacity.
    pub load: Option<f64>,
    pub connections: Option<f64>,
    pub queue: Option<f64>,
    pub utilisation: Option<f64>,
    /// Errors per second.
    pub errors: Option<f64>,
}

/// Which requests a balancer accepts. While operators drain it, it accepts no new ones, and finally none at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionMode {
    #[default]
    All,
    /// New requests are refused; accepted ones continue.
    NothingNew,
    /// Requests that are not open yet are given up too.
    Nothing,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server has served the request, or has answered the probe.
    Ok,
    /// The server answered with an error, or with something that is not a valid answer.
    Error,
    /// The server rejected the request or the probe for lack of room.
    Full,
    /// The server did not answer in time.
    TimedOut,
    /// The server could not be reached, or did not take the whole request: the request never ran.
    ConnectFailed,
    /// The connection broke before the server had answered, or had ended the open connection with a last line.
    Reset,
    /// The attempt was abandoned, or the connection was moved, without fault of the server: by this balancer, or by
    /// the server's own request to reconnect, even before the connection is up. Also a time-out where a lack of
    /// resources on this machine had delayed the attempt. The request may have run.
    Cancelled,
    /// The request or the probe was not sent: there was no time left or no descriptor, the server drains, or the client
    /// had left.
    NotSent,
    /// This machine lacked the resources for an attempt: none was made, and the outcome counts against no server.
    LocalFailure,
}

impl Outcome {
    /// Whether the attempt is known never to have run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Full | Self::ConnectFailed | Self::NotSent | Self::LocalFailure
        )
    }
}

/// The end of an attempt or of an open connection.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    pub id: RequestId,
    pub server: ServerId,
    pub outcome: Outcome,
    /// The request is finished and needs no answer.
    pub is_final: bool,
    pub report: Report,
}

/// An input of the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The balancer has started; a `Servers` event follows.
    Start,
    /// A message about the server list.
    Servers(ListKind, Vec<Entry>),
    Request(Request),
    /// A connection that is already open on `server` at the balancer's start.
    Open(Request, ServerId),
    /// The line of the latest attempt, at this server, was written just now. Needed only where
    /// [`Balancer::awaits_write`](crate::Balancer::awaits_write) is true.
    Written(RequestId, ServerId),
    /// The connection is open; its time-out and deadline no longer apply.
    Begun(RequestId, ServerId),
    Outcome(AttemptEnd),
    /// The client has left; no answer is needed.
    Gone(RequestId),
    /// The connection's present load, in seconds of work per second.
    LoadNote(RequestId, f64),
    /// The present delay of a message at the server.
    DelayNote(ServerId, Seconds),
    /// The outcome of a probe, with the server's report.
    Probed(ServerId, Outcome, Report),
    /// The admission mode from now on.
    Taking(AdmissionMode),
    /// The balancer's allowance of a quota from now on. A quota without an allowance is not limited.
    Allowance(QuotaKind, Allowance),
    /// New settings apply from now on. Classes, tenants, zones and kinds keep their numbers, even if they are no longer
    /// named: requests under way refer to them until their end.
    Settings(Box<Settings>),
    /// The time of an [`Action::Timer`] with this token is over.
    Timer(u64),
}

/// An output of the balancer, for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt, with its time-out. Where a repeat is harmless only for a limited time, or the attempt uses a
    /// leased unit, the last value is the time from now within which the host has to begin to write the request line;
    /// the dial uses a part of that time. It does not bound the wait for the server's answer.
    Send(RequestId, ServerId, Seconds, Option<Seconds>),
    /// Final answer: refused. A repeat is harmless; the value, if there is one, is the time to wait before it.
    Refuse(RequestId, Option<Seconds>),
    /// Final answer: failed. A repeat may do harm.
    Fail(RequestId),
    /// Close an open connection with a request to reconnect.
    Move(RequestId),
    /// Cancel an attempt, given by its number.
    Cancel(RequestId, usize),
    Probe(ServerId),
    /// Request the server list and its changes from now on.
    Subscribe,
    /// Send a `Timer` event with this token after this time.
    Timer(Seconds, u64),
}

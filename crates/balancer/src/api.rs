//! The interface of the decision module: settings at start-up, events in, actions out.

/// A moment or a span, in seconds. The clock has no special start; it only goes forward.
pub type Seconds = f64;
/// A server, the same at every balancer and across restarts of its process.
pub type ServerId = u32;
/// A request and, once it has begun, its connection.
pub type RequestId = u64;

/// What may happen when a request of a class runs more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Safe,
    Keyed,
    Unsafe,
}

/// The servers that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub effect: Idempotency,
    pub scope: DedupScope,
    /// How long servers remember a keyed request, from the first attempt that may have run.
    pub window: Seconds,
    /// The wanted time of the set-up.
    pub aim: Seconds,
    pub worth: f64,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    /// Connections that all balancers together may hold within the tenant's share.
    pub quota: Option<f64>,
}

/// The values a load report can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    Load,
    Connections,
    Queue,
    Utilisation,
    Errors,
}

/// How many attempts beyond each request's first a balancer may make in any span of time: so many, and such
/// a part of the requests that came to it in that span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub free: f64,
    pub ratio: f64,
    pub span: Seconds,
}

/// What a whole of many balancers is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuotaKind {
    /// Attempts beyond a request's first, within any span of the allowance's length.
    Further,
    /// Connections moved off servers for their load, within any such span. Drains are none of them.
    Moves,
    /// Probes, within any such span.
    Probes,
    /// Attempts at any one cold server, within any such span; and of what all balancers may give it as it warms up,
    /// this one's part of the whole.
    Cold,
    /// Connections at once, attempts that are out among them: of a class, or of a tenant.
    Class(usize),
    Tenant(usize),
}

/// A balancer's part of such a whole: so much until a moment, and so much from then on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    pub units: u64,
    pub until: Seconds,
    pub after: u64,
    /// Of matters that are counted within a span.
    pub span: Seconds,
    /// What all balancers have together.
    pub whole: u64,
    /// An exchange among balancers may bring more within so long of a request's coming; 0 where it would not.
    pub wait: Seconds,
}

/// Why a request was given up, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The balancer takes nothing more.
    NotTaking,
    DeadlineOver,
    /// It has had all the attempts that it may have.
    Attempts,
    /// Far more fails than succeeds, or clients are cut off.
    Throttled,
    /// The budget of further attempts, or this balancer's part of one, is used up.
    FurtherAttempts,
    /// This balancer's part has no room for it.
    Part(QuotaKind),
    /// No server has room for it.
    NoServer,
}

/// What a balancer uses of a part that it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaUsage {
    pub quota: QuotaKind,
    pub in_use: u64,
    /// How often the part was too small, since the start.
    pub denied: u64,
}

/// What the balancer is told at its start, and the only thing it may act on besides events.
#[derive(Clone, Debug)]
pub struct Settings {
    pub fleet_size: usize,
    /// This balancer's number among them.
    pub me: u64,
    pub zone: Option<usize>,
    /// How many zones there are.
    pub zones: usize,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    pub report_fields: Vec<ReportField>,
    pub max_attempts: usize,
    pub max_retry_after: Seconds,
    pub may_retry_after: bool,
    pub may_probe: bool,
    pub may_cancel: bool,
    /// The server list comes only when asked for.
    pub must_ask: bool,
    pub ask_within: Seconds,
    pub cold_from: f64,
    pub cold_for: Seconds,
    pub fall_multiple: f64,
    pub fall_for: Seconds,
    /// Connections of one group share work on a server.
    pub groups: bool,
    /// What a request that crosses zones costs, and a probe for each request, and what a request
    /// beyond its tenant's share is worth.
    pub price_cross_zone: f64,
    pub price_probe: f64,
    pub over_share_worth: f64,
    pub budget: Option<Budget>,
    /// The shortest time in which clients want an answer on an open connection, where that is told.
    pub message_aim: Option<Seconds>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Up,
    /// Whoever lists servers doubts that it is there: nothing new goes to it while others have room.
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
    /// Its size beside others' in the list, where the list tells sizes.
    pub size: Option<f64>,
    /// When the process last started, unless that is long ago.
    pub born: Option<Seconds>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Update,
    /// The whole list.
    Replace,
    /// The whole list as it was last known, possibly stale.
    Restored,
    /// A call for the list failed or the subscription was dropped.
    Unavailable,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub id: RequestId,
    pub class: usize,
    pub tenant: Option<usize>,
    /// A stable hash of the group's name.
    pub group: Option<u64>,
    /// Expected load in seconds of work a second, where the site gives it.
    pub hint: Option<f64>,
    /// Time until the client stops waiting.
    pub patience: Seconds,
    /// The client asked for this before, and was refused, failed, cut off or moved; false where clients
    /// don't mark it.
    pub again: bool,
}

/// A server's own word on its load; each value is absent where the site does not report it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Load asked over what the server can do.
    pub load: Option<f64>,
    pub connections: Option<f64>,
    pub queue: Option<f64>,
    pub utilisation: Option<f64>,
    /// Errors a second.
    pub errors: Option<f64>,
}

/// What a balancer takes: one that operators empty takes nothing new, and at last nothing at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionMode {
    #[default]
    All,
    /// New requests are turned away; what was taken goes on.
    NothingNew,
    /// Requests that still wait are answered too.
    Nothing,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent,
    /// This machine was short of what an attempt takes: none was made, and no server is to blame.
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

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Ended {
    pub id: RequestId,
    pub server: ServerId,
    pub outcome: Outcome,
    /// The request is finished; nothing is owed for it.
    pub last: bool,
    pub report: Report,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// The balancer has come to life; a `Servers` event follows.
    Start,
    Servers(ListKind, Vec<Entry>),
    Request(Request),
    /// A connection that is already open on `server` at the balancer's start.
    Open(Request, ServerId),
    /// The line of the latest attempt, at this server, was written just now. Only wanted where
    /// [`Balancer::awaits_write`](crate::Balancer::awaits_write) says so.
    Written(RequestId, ServerId),
    /// The connection is up; time-out and deadline stop.
    Begun(RequestId, ServerId),
    Outcome(Ended),
    /// The client left; nothing is owed any more.
    Gone(RequestId),
    /// The connection's load now, in seconds of work a second.
    LoadNote(RequestId, f64),
    /// How long a message takes at the connection's server now.
    DelayNote(ServerId, Seconds),
    Probed(ServerId, Outcome, Report),
    Taking(AdmissionMode),
    /// A part of a whole from now on; of what none is told is no part.
    Allowance(QuotaKind, Allowance),
    /// Other settings hold from now on. Classes, tenants, zones and kinds that were there keep their
    /// numbers, also those that are named no more: requests under way go by them to their end.
    Settings(Box<Settings>),
    Timer(u64),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt, with its time-out; and where a repeat is harmless only for a time, or a part that it uses is
    /// leased, how long from now it may begin at its server: a dial takes a part of that.
    Send(RequestId, ServerId, Seconds, Option<Seconds>),
    /// Final: turned away, harmless to repeat, perhaps with a time to come back after.
    Refuse(RequestId, Option<Seconds>),
    /// Final: failed, without a promise.
    Fail(RequestId),
    /// Close an open connection politely; its client comes again.
    Move(RequestId),
    /// Stop waiting for an attempt, by its number.
    Cancel(RequestId, usize),
    Probe(ServerId),
    /// Ask for the server list and its changes from now on.
    Subscribe,
    /// Ask for a `Timer` event with this token after a while.
    Timer(Seconds, u64),
}

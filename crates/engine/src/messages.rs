//! Events that the engine receives and commands that it sends, independent of any protocol.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use violetwind_balancer::api::{
    Allowance, AttemptEnd, ListKind, Outcome, QuotaKind, QuotaUsage, Report, Request, RequestId,
    Seconds, ServerId, Settings,
};
use violetwind_catalogue::SourceUpdate;
use violetwind_common::{NameTable, ServerRow};
use violetwind_service::{Bans, OperatorChange};

/// One row of a server list, with the fields that the balancer does not need.
#[derive(Clone, Debug)]
pub struct ListedServer {
    pub uid: String,
    /// Address at which this proxy reaches the server; may be absent if the server is gone.
    pub endpoint: Option<SocketAddr>,
    pub row: ServerRow,
}

/// Input of the engine, sent by protocol front ends, service discovery sources and management code.
#[derive(Debug)]
pub enum EngineEvent {
    /// A server list for an engine without a catalogue. Start times are resolved, and bans and work orders applied,
    /// before it is passed to the balancer.
    ServerList(ListKind, Vec<ListedServer>),
    /// No server list can be obtained at present; used without a catalogue.
    ListUnavailable,
    /// Names of the configured sources, in descending order of precedence. Replaces the earlier set.
    Sources(Vec<Rc<str>>),
    /// An update from the source of this name.
    SourceUpdate(Rc<str>, SourceUpdate),
    /// A client's request, with the command channel of its connection.
    Request(Request, mpsc::Sender<ConnectionCommand>),
    /// A connection that was established at the server with this identity before the engine started is to be
    /// re-established there.
    Resume(RequestId, String, mpsc::Sender<ConnectionCommand>),
    /// The connection of an earlier [`EngineEvent::Resume`] is established again.
    Resumed(Request, ServerId),
    /// An established connection that another process has handed over.
    Adopted(Request, ServerId, mpsc::Sender<ConnectionCommand>),
    /// The request line of an attempt was written. Sent only if the command set `report_write`.
    Written(RequestId, ServerId),
    /// The server has accepted the attempt; the connection is established.
    ConnectionUp(RequestId, ServerId),
    /// An attempt or an established connection has ended.
    AttemptEnded(AttemptEnd),
    /// Nothing more is to be done for the request. Sent when the client has closed its connection, has sent data before
    /// the request was connected, or got no decision by its deadline; when the successor has taken the connection over;
    /// and for a connection whose task ended without a report.
    ClientGone(RequestId),
    /// Current load of a connection, in seconds of work per second.
    ConnectionLoad(RequestId, f64),
    /// Current delay of a message at a server, in seconds.
    MessageDelay(ServerId, Seconds),
    /// A server does not answer the lines of its clients.
    ServerUnresponsive(ServerId),
    /// Result of a probe.
    Probed(ServerId, Outcome, Report),
    /// The proxy shuts down: its clients are moved within this time range, counted from now.
    Shutdown(Range<Duration>),
    /// The shutdown is about to complete: no request is admitted any more, and waiting requests get a final answer.
    FinishShutdown,
    /// `Some`: a successor process serves from now on, and the clients of this process are handed over or moved within
    /// this time range, counted from now. `None`: the successor has gone.
    SuccessorChanged(Option<Range<Duration>>),
    /// Replaces the balancer's settings and the name table.
    Settings(Box<Settings>, NameTable),
    /// An operator's change; the reply is sent once the change is in force. A change that another process of this proxy
    /// has accepted is binding here even if no list has named the server; see [`UnlistedServers`].
    OperatorChange(
        OperatorChange,
        UnlistedServers,
        oneshot::Sender<OperatorReply>,
    ),
    /// Shares of quotas that several proxies share, each valid until an instant. The reply holds the usage of all
    /// quotas.
    Allowances(
        Vec<(QuotaKind, Allowance, Instant)>,
        oneshot::Sender<Vec<QuotaUsage>>,
    ),
    /// Machines that work orders take out of service from now on, each with its servers. Replaces the earlier set; the
    /// reply is sent once it is in force.
    MachinesOut(BTreeMap<String, BTreeSet<String>>, oneshot::Sender<()>),
    /// Requests a snapshot of the machines known to this proxy.
    QueryMachines(oneshot::Sender<MachinesSnapshot>),
    /// Health check: the reply is the number of known servers, and shows that the engine still handles events.
    Health(oneshot::Sender<usize>),
}

/// The machines known to this proxy, by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachinesSnapshot {
    pub machines: BTreeMap<String, ObservedMachine>,
    /// Number of connections and requests of all clients.
    pub connections: usize,
    /// Whether the proxy admits no requests at present.
    pub admits_nothing: bool,
}

/// One machine as this proxy observes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObservedMachine {
    pub zone: Option<String>,
    pub servers: Vec<ObservedServer>,
    /// Number of clients with a connection or a pending attempt at the machine's servers.
    pub clients: u64,
}

/// One server as this proxy observes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedServer {
    pub uid: String,
    pub kind: Option<String>,
    pub cell: u64,
    pub rating: Option<f64>,
    /// Whether the list reports the server as up, regardless of bans and work orders.
    pub up: bool,
    /// Whether the server is up and past its slow start.
    pub warm: bool,
    /// Whether the sources report the server as draining, which they treat as permanent.
    pub draining: bool,
    /// Whether an operator has banned the server.
    pub banned: bool,
    /// Whether an operator has put the server back in use although a work order takes its machine out of service.
    pub is_overridden: bool,
}

/// How an operator's change to a server that no list has named is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnlistedServers {
    /// The change is rejected with [`OperatorReply::Unknown`].
    Reject,
    /// The change is applied.
    Accept,
}

/// Result of an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// The change is in force; holds the bans after it.
    Changed(Bans),
    /// The requested state was already in force; holds the bans.
    Same(Bans),
    /// No list has named this server.
    Unknown,
    /// The limit of banned servers is reached.
    Full,
    /// The proxy is shutting down and accepts no `LEAVE` or `JOIN`.
    Ending,
}

/// Command of the engine to one connection.
#[derive(Clone, Debug)]
pub enum ConnectionCommand {
    /// Start an attempt at a server.
    Send {
        server: ServerId,
        endpoint: SocketAddr,
        /// Timeout of the whole attempt: connecting, writing the request line and waiting for the server's first line.
        within: Duration,
        /// Latest time at which the request line may be written, however long connecting takes.
        write_by: Option<Instant>,
        /// Whether the connection has to send [`EngineEvent::Written`] immediately after it has written the line.
        report_write: bool,
    },
    /// The server of the pending attempt is draining: the attempt is abandoned if nothing was sent yet.
    Recall,
    /// The server of a connection that is to be resumed is not known yet.
    NotYet,
    /// Final answer: the request is refused; the client may retry after this many seconds, if given.
    Refuse(Option<Seconds>),
    /// Final answer: the request has failed.
    Fail,
    /// The client of the established connection is asked to reconnect elsewhere.
    Move,
    /// A successor process serves: it takes over the connection if the connection is between two lines.
    HandOver,
    /// Abandon the pending attempt.
    Cancel,
}

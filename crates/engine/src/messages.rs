//! What the engine hears and says, in words that are no protocol's.

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

/// One row of a list with what the module does not need.
#[derive(Clone, Debug)]
pub struct ListedServer {
    pub uid: String,
    /// Where this proxy reaches it; a row of a server that is gone may have none.
    pub endpoint: Option<SocketAddr>,
    pub row: ServerRow,
}

/// What fronts and sources tell the engine.
#[derive(Debug)]
pub enum EngineEvent {
    /// A list that is taken as it is told, where no catalogue stands between.
    ServerList(ListKind, Vec<ListedServer>),
    ListUnavailable,
    /// The sources that count from now on, by name, those that go before others first.
    Sources(Vec<Rc<str>>),
    /// What one of them says.
    SourceUpdate(Rc<str>, SourceUpdate),
    /// A client's request, with the way to its connection.
    Request(Request, mpsc::Sender<ConnectionCommand>),
    /// One that stood at this server before the start, and the word that it is up there again.
    Resume(RequestId, String, mpsc::Sender<ConnectionCommand>),
    Resumed(Request, ServerId),
    /// A connection that is up there, and was another process's until now.
    Adopted(Request, ServerId, mpsc::Sender<ConnectionCommand>),
    /// The line of an attempt was written: only said of one whose order wants it.
    Written(RequestId, ServerId),
    ConnectionUp(RequestId, ServerId),
    AttemptEnded(AttemptEnd),
    ClientGone(RequestId),
    /// A connection's load now, in seconds of work a second.
    ConnectionLoad(RequestId, f64),
    /// How long a message takes at a server now.
    MessageDelay(ServerId, Seconds),
    /// A server leaves clients' lines without an answer.
    ServerUnresponsive(ServerId),
    Probed(ServerId, Outcome, Report),
    /// The proxy ends: its clients are moved within this time from now.
    Shutdown(Range<Duration>),
    /// It is about to end: nothing more is taken, and what still waits is answered.
    FinishShutdown,
    /// A successor serves from now on, and this proxy moves its clients likewise; or it has gone again.
    SuccessorChanged(Option<Range<Duration>>),
    /// Other settings hold from now on.
    Settings(Box<Settings>, NameTable),
    /// An operator's word; the answer comes once it is in force. One that another process of this proxy has
    /// taken is binding here whether or not a list has named the server.
    OperatorChange(
        OperatorChange,
        UnlistedServers,
        oneshot::Sender<OperatorReply>,
    ),
    /// Parts of what several proxies share, each until a moment; answered with what is used of all of them.
    Allowances(
        Vec<(QuotaKind, Allowance, Instant)>,
        oneshot::Sender<Vec<QuotaUsage>>,
    ),
    /// The machines that orders have out from now on, with the servers on them; answered once that is in force.
    MachinesOut(BTreeMap<String, BTreeSet<String>>, oneshot::Sender<()>),
    /// Answered with what is known here of machines.
    QueryMachines(oneshot::Sender<MachinesSnapshot>),
    /// Answered as soon as the engine comes to it: how many servers it knows.
    Health(oneshot::Sender<usize>),
}

/// Machines as this proxy knows them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachinesSnapshot {
    pub machines: BTreeMap<String, ObservedMachine>,
    /// Connections and requests of all clients, and whether no more are taken.
    pub connections: usize,
    pub admits_nothing: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObservedMachine {
    pub zone: Option<String>,
    pub servers: Vec<ObservedServer>,
    /// Connections there, and attempts that are on their way.
    pub clients: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ObservedServer {
    pub uid: String,
    pub kind: Option<String>,
    pub cell: u64,
    pub rating: Option<f64>,
    /// Listed as up, whatever operators and orders say.
    pub up: bool,
    pub warm: bool,
    /// The sources have it leave, for good as far as they know.
    pub draining: bool,
    /// Kept out by an operator, or in use by an operator's word though an order has it out.
    pub banned: bool,
    pub opened: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnlistedServers {
    Reject,
    Accept,
}

/// What became of an operator's word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    Changed(Bans),
    /// It was so already.
    Same(Bans),
    /// No list has named this server.
    Unknown,
    /// As many servers as there may be are out.
    Full,
    /// The proxy is told to end.
    Ending,
}

/// What the engine tells one connection.
#[derive(Clone, Debug)]
pub enum ConnectionCommand {
    Send {
        server: ServerId,
        endpoint: SocketAddr,
        within: Duration,
        /// The request's line may be written up to this moment, however long the dial takes.
        write_by: Option<Instant>,
        /// The engine wants a [`Notice::Written`] right behind the writing of the line.
        report_write: bool,
    },
    /// The server of the attempt that is out drains: it gives up if nothing was sent yet.
    Recall,
    /// The server of a standing connection is not known yet.
    NotYet,
    Refuse(Option<Seconds>),
    Fail,
    Move,
    /// A successor serves: it gets the connection, if that is between lines.
    HandOver,
    Cancel,
}

//! What the engine hears and says, in words that are no protocol's.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use violetwind_balancer::api::{
    Allowance, Ended, ListKind, Matter, Outcome, Report, Request, RequestId, Secs, ServerId,
    Settings, Use,
};
use violetwind_catalogue::Telling;
use violetwind_common::{Names, Row};
use violetwind_service::{Bans, Change};

/// One row of a list with what the module does not need.
#[derive(Clone, Debug)]
pub struct Listed {
    pub uid: String,
    /// Where this proxy reaches it; a row of a server that is gone may have none.
    pub endpoint: Option<SocketAddr>,
    pub row: Row,
}

/// What fronts and sources tell the engine.
#[derive(Debug)]
pub enum Notice {
    /// A list that is taken as it is told, where no catalogue stands between.
    List(ListKind, Vec<Listed>),
    ListLost,
    /// The sources that count from now on, by name, those that go before others first.
    Sources(Vec<Rc<str>>),
    /// What one of them says.
    Told(Rc<str>, Telling),
    /// A client's request, with the way to its connection.
    Request(Request, mpsc::Sender<Order>),
    /// One that stood at this server before the start, and the word that it is up there again.
    Standing(RequestId, String, mpsc::Sender<Order>),
    Stands(Request, ServerId),
    /// A connection that is up there, and was another process's until now.
    Adopted(Request, ServerId, mpsc::Sender<Order>),
    /// The line of an attempt was written: only said of one whose order wants it.
    Written(RequestId, ServerId),
    Up(RequestId, ServerId),
    Ended(Ended),
    Gone(RequestId),
    /// A connection's load now, in seconds of work a second.
    Load(RequestId, f64),
    /// How long a message takes at a server now.
    Delay(ServerId, Secs),
    /// A server leaves clients' lines without an answer.
    Silent(ServerId),
    Probed(ServerId, Outcome, Report),
    /// The proxy ends: its clients are moved within this time from now.
    Shutdown(Range<Duration>),
    /// It is about to end: nothing more is taken, and what still waits is answered.
    Last,
    /// A successor serves from now on, and this proxy moves its clients likewise; or it has gone again.
    Succeeded(Option<Range<Duration>>),
    /// Other settings hold from now on.
    Settings(Box<Settings>, Names),
    /// An operator's word; the answer comes once it is in force. One that another process of this proxy has
    /// taken is binding here whether or not a list has named the server.
    Operator(Change, Binding, oneshot::Sender<Reply>),
    /// Parts of what several proxies share, each until a moment; answered with what is used of all of them.
    Allowances(Vec<(Matter, Allowance, Instant)>, oneshot::Sender<Vec<Use>>),
    /// The machines that orders have out from now on, with the servers on them; answered once that is in force.
    Out(BTreeMap<String, BTreeSet<String>>, oneshot::Sender<()>),
    /// Answered with what is known here of machines.
    Look(oneshot::Sender<Looked>),
    /// Answered as soon as the engine comes to it: how many servers it knows.
    Health(oneshot::Sender<usize>),
}

/// Machines as this proxy knows them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Looked {
    pub machines: BTreeMap<String, Seen>,
    /// Connections and requests of all clients, and whether no more are taken.
    pub connections: usize,
    pub takes_nothing: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    pub zone: Option<String>,
    pub servers: Vec<SeenServer>,
    /// Connections there, and attempts that are on their way.
    pub clients: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct SeenServer {
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
pub enum Binding {
    IfNamed,
    Always,
}

/// What became of an operator's word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
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
pub enum Order {
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
    Refuse(Option<Secs>),
    Fail,
    Move,
    /// A successor serves: it gets the connection, if that is between lines.
    HandOver,
    Cancel,
}

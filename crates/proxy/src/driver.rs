//! Sole owner of the balancer and of its timers: notices in, events to the module, orders out.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};
use tracing::{debug, error, info, trace, warn};
use violetwind_balancer::Balancer;
use violetwind_balancer::api::{
    Action, Ended, Entry, Event, ListKind, Outcome, Report, Request, RequestId, Secs, ServerId,
    Status,
};
use violetwind_common::server_id;

use crate::clock::Clock;
use crate::config::{Config, Reports};
use crate::discovery::{self, Listed};
use crate::limits::Limits;
use crate::notes::{Note, Notes};
use crate::probe::Probes;

/// What the rest of the proxy tells the driver.
#[derive(Debug)]
pub enum Notice {
    List(ListKind, Vec<Listed>),
    ListLost,
    /// A client's request, with the way to its connection.
    Request(Request, mpsc::Sender<Order>),
    /// One that stood at this server before the start, and the word that it is up there again.
    Standing(RequestId, String, mpsc::Sender<Order>),
    Stands(Request, ServerId),
    Up(RequestId, ServerId),
    Ended(Ended),
    Gone(RequestId),
    /// The figure of a `LOAD` line of a connection and its server.
    Load(RequestId, ServerId, f64),
    /// A server leaves clients' lines without an answer.
    Silent(ServerId),
    Probed(ServerId, Outcome, Report),
    Shutdown,
}

/// What the driver tells one connection.
#[derive(Debug)]
pub enum Order {
    Send {
        server: ServerId,
        endpoint: SocketAddr,
        within: Duration,
    },
    /// The server of a standing connection is not known yet.
    NotYet,
    Refuse(Option<Secs>),
    Fail,
    Move,
    Cancel,
}

#[derive(Debug)]
struct Conn {
    orders: mpsc::Sender<Order>,
    /// The server that it is up on.
    on: Option<ServerId>,
}

/// Connections that are to be moved, spread over a time.
#[derive(Debug)]
struct Spread {
    left: Vec<RequestId>,
    /// How many there were at the most.
    most: usize,
    from: Instant,
    until: Instant,
}

pub struct Driver {
    config: Rc<Config>,
    limits: Rc<Limits>,
    clock: Clock,
    balancer: Balancer,
    actions: Vec<Action>,
    inbox: mpsc::Receiver<Notice>,
    ready: watch::Sender<bool>,
    probes: Probes,
    notes: Notes,
    conns: HashMap<RequestId, Conn>,
    /// Where each server is reached, with the identity behind its number.
    addresses: HashMap<ServerId, (String, SocketAddr)>,
    on_server: HashMap<ServerId, BTreeSet<RequestId>>,
    draining: BTreeMap<ServerId, Spread>,
    leaving: Option<Spread>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    next_spread: Option<Instant>,
}

impl Spread {
    fn new(left: Vec<RequestId>, from: Instant, until: Instant) -> Self {
        let most = left.len();
        Self {
            left,
            most,
            from,
            until,
        }
    }

    /// Takes out those whose time has come: evenly over the span, and all at its end.
    fn due(&mut self, now: Instant) -> impl Iterator<Item = RequestId> {
        self.most = self.most.max(self.left.len());
        let span = (self.until - self.from).as_secs_f64();
        let rest = (self.until - now).as_secs_f64() / span.max(f64::MIN_POSITIVE);
        let stay = (self.most as f64 * rest) as usize;
        self.left.drain(stay.min(self.left.len())..)
    }
}

impl Driver {
    pub fn new(
        config: Rc<Config>,
        limits: Rc<Limits>,
        clock: Clock,
        (notices, inbox): (mpsc::Sender<Notice>, mpsc::Receiver<Notice>),
        ready: watch::Sender<bool>,
    ) -> Self {
        let settings = config.settings.clone();
        let reports = config.reports != Reports::Nowhere && !settings.report_fields.is_empty();
        Self {
            balancer: Balancer::new(settings, config.seed),
            probes: Probes::new(limits.clone(), reports, notices),
            notes: Notes::new(config.tells_delay),
            config,
            limits,
            clock,
            actions: Vec::new(),
            inbox,
            ready,
            conns: HashMap::new(),
            addresses: HashMap::new(),
            on_server: HashMap::new(),
            draining: BTreeMap::new(),
            leaving: None,
            timers: BinaryHeap::new(),
            next_spread: None,
        }
    }

    /// Runs for as long as the proxy does.
    pub async fn run(mut self) {
        self.handle(Event::Start);
        match discovery::read_list(self.config.known(), &self.limits) {
            Ok(list) => self.list(ListKind::Restored, list.rows),
            Err(error) => warn!(%error, "no list from the last run"),
        }
        loop {
            let timer = self.timers.peek().map(|Reverse((at, _))| *at);
            let due = [timer, self.next_spread].into_iter().flatten().min();
            let wake = async {
                match due {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                notice = self.inbox.recv() => match notice {
                    Some(notice) => self.notice(notice),
                    None => return,
                },
                () = wake => self.wake(),
            }
        }
    }

    fn wake(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, token))) = self.timers.peek().copied()
            && at <= now
        {
            self.timers.pop();
            self.handle(Event::Timer(token));
        }
        if self.next_spread.is_some_and(|at| at <= now) {
            self.spread_moves(now);
        }
    }

    fn notice(&mut self, notice: Notice) {
        match notice {
            Notice::List(kind, rows) => {
                self.list(kind, rows);
                self.ready.send_replace(true);
            }
            Notice::ListLost => self.handle(Event::Servers(ListKind::Unavailable, Vec::new())),
            Notice::Request(request, orders) => {
                let conn = Conn { orders, on: None };
                self.conns.insert(request.id, conn);
                self.handle(Event::Request(request));
            }
            Notice::Standing(id, uid, orders) => {
                let server = server_id(&uid);
                let order = match self.addresses.get(&server) {
                    Some(&(_, endpoint)) => Order::Send {
                        server,
                        endpoint,
                        within: self.limits.standing,
                    },
                    None => Order::NotYet,
                };
                self.conns.insert(id, Conn { orders, on: None });
                self.order(id, order);
            }
            Notice::Stands(request, server) => {
                self.up(request.id, server);
                self.handle(Event::Open(request, server));
            }
            Notice::Up(id, server) => {
                self.up(id, server);
                self.handle(Event::Begun(id, server));
            }
            Notice::Ended(ended) => {
                if ended.last {
                    self.forget(ended.id);
                }
                self.handle(Event::Outcome(ended));
            }
            Notice::Gone(id) => {
                self.forget(id);
                self.handle(Event::Gone(id));
            }
            Notice::Load(id, server, figure) => {
                let event = match self.notes.read(figure) {
                    Note::Load(load) => Event::LoadNote(id, load),
                    Note::Delay(delay) => Event::DelayNote(server, delay),
                };
                self.handle(event);
            }
            Notice::Silent(server) => {
                // To the module a server that leaves lines unanswered is as one that leaves probes.
                let outcome = Outcome::TimedOut;
                self.handle(Event::Probed(server, outcome, Report::default()));
            }
            Notice::Probed(server, outcome, report) => {
                self.handle(Event::Probed(server, outcome, report));
            }
            Notice::Shutdown => {
                let now = Instant::now();
                let left: Vec<RequestId> = self.on_server.values().flatten().copied().collect();
                info!(connections = left.len(), "shutdown: clients are moved");
                let from = now + self.limits.term_serve;
                let until = now + self.limits.term_moved;
                self.leaving = Some(Spread::new(left, from, until));
                self.next_spread = Some(now);
            }
        }
    }

    fn up(&mut self, id: RequestId, server: ServerId) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.on = Some(server);
            self.on_server.entry(server).or_default().insert(id);
            if let Some(leaving) = &mut self.leaving {
                leaving.left.push(id);
            } else if let Some(draining) = self.draining.get_mut(&server) {
                draining.left.push(id);
            }
        }
    }

    fn forget(&mut self, id: RequestId) {
        let on = self.conns.remove(&id).and_then(|conn| conn.on);
        if let Some(ids) = on.and_then(|server| self.on_server.get_mut(&server)) {
            ids.remove(&id);
        }
    }

    fn list(&mut self, kind: ListKind, rows: Vec<Listed>) {
        let mut entries: Vec<Entry> = Vec::with_capacity(rows.len());
        for listed in rows {
            let (server, status) = (listed.row.server, listed.row.status);
            // Two identities behind one number would share their books and their address.
            let other = |(uid, _): &(String, SocketAddr)| *uid != listed.uid;
            if self.addresses.get(&server).is_some_and(other) {
                error!(
                    uid = listed.uid,
                    "a server whose number is taken is passed over"
                );
                continue;
            }
            if let Some(endpoint) = listed.endpoint {
                let address = (listed.uid.clone(), endpoint);
                self.addresses.insert(server, address);
            }
            entries.push(listed.row.entry(&self.config.names));
            self.note_status(server, status);
        }
        if kind != ListKind::Update {
            // A server that a whole list leaves out is gone.
            let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
            let used: Vec<ServerId> = self.on_server.keys().copied().collect();
            for server in used.into_iter().filter(|server| !listed.contains(server)) {
                self.note_status(server, Status::Gone);
            }
        }
        self.handle(Event::Servers(kind, entries));
    }

    /// Has the clients of a server that leaves moved, before it goes.
    fn note_status(&mut self, server: ServerId, status: Status) {
        if status == Status::Up {
            self.draining.remove(&server);
        } else if !self.draining.contains_key(&server) && self.leaving.is_none() {
            let left = self.on_server.get(&server).into_iter().flatten();
            let left: Vec<RequestId> = left.copied().collect();
            let uid = self.addresses.get(&server).map(|(uid, _)| uid);
            info!(uid, ?status, connections = left.len(), "a server leaves");
            // A server that is gone already has no time to wait for.
            let wait = match status {
                Status::Gone => Duration::ZERO,
                _ => self.limits.drain_wait,
            };
            let from = Instant::now() + wait;
            let until = from + self.limits.drain_span;
            self.draining.insert(server, Spread::new(left, from, until));
            self.next_spread = Some(Instant::now());
        }
    }

    /// Moves of the clients of a server or a proxy that leaves: a few at each tick.
    fn spread_moves(&mut self, now: Instant) {
        let tick = self.limits.spread_tick;
        let mut due = Vec::new();
        let spreads = self.draining.values_mut().chain(&mut self.leaving);
        let mut busy = false;
        for spread in spreads {
            busy |= !spread.left.is_empty() || now < spread.until;
            if now < spread.from {
                continue;
            }
            due.extend(spread.due(now));
        }
        for id in due {
            self.order(id, Order::Move);
        }
        let on = busy || self.leaving.is_some();
        self.next_spread = on.then(|| now + tick);
    }

    /// Hands an event to the module and carries out what it says.
    fn handle(&mut self, event: Event) {
        trace!(?event);
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: Action) {
        trace!(?action);
        match action {
            Action::Send(id, server, timeout) => {
                let Some(&(_, endpoint)) = self.addresses.get(&server) else {
                    return error!(server, "the module names a server without an address");
                };
                let within = Duration::from_secs_f64(timeout.clamp(0.0, 3600.0));
                let order = Order::Send {
                    server,
                    endpoint,
                    within,
                };
                self.order(id, order);
            }
            Action::Refuse(id, wait) => self.answer(id, Order::Refuse(wait)),
            Action::Fail(id) => self.answer(id, Order::Fail),
            Action::Move(id) => self.order(id, Order::Move),
            Action::Cancel(id, _) => self.order(id, Order::Cancel),
            Action::Probe(server) => {
                let Some(&(_, endpoint)) = self.addresses.get(&server) else {
                    return;
                };
                if !self.probes.probe(server, endpoint) {
                    debug!(server, "too many probes wait: one is left out");
                }
            }
            // The watch runs from the start to the end, asked or not.
            Action::Subscribe => {}
            Action::Timer(after, token) => {
                let after = Duration::from_secs_f64(after.clamp(0.0, 1e6));
                self.timers.push(Reverse((Instant::now() + after, token)));
            }
        }
    }

    /// A final answer: the connection is told, and the driver is done with it.
    fn answer(&mut self, id: RequestId, order: Order) {
        self.order(id, order);
        self.forget(id);
    }

    fn order(&mut self, id: RequestId, order: Order) {
        // One that has ended just now needs no orders.
        if let Some(conn) = self.conns.get(&id)
            && let Err(mpsc::error::TrySendError::Full(order)) = conn.orders.try_send(order)
        {
            error!(id, ?order, "a connection does not take its orders");
        }
    }
}

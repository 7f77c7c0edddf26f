//! The engine: notices in, events to the module, orders out, and its timers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};
use tracing::{debug, error, info, trace};
use violetwind_balancer::Balancer;
use violetwind_balancer::api::{
    Action, Entry, Event, ListKind, Outcome, Report, RequestId, ServerId, Settings, Status,
};
use violetwind_common::{Names, server_id};

use crate::clock::Clock;
use crate::limits::Limits;
use crate::spread::Spread;
use crate::words::{Listed, Notice, Order};

#[derive(Debug)]
struct Conn {
    orders: mpsc::Sender<Order>,
    /// The server that it is up on.
    on: Option<ServerId>,
}

/// Who asks servers for their load; the answers come back as notices.
pub trait Probe {
    /// Probes a server at an address. False if too many wait there.
    fn probe(&mut self, server: ServerId, at: SocketAddr) -> bool;
}

/// What an engine runs by.
#[derive(Debug)]
pub struct Setup {
    pub settings: Settings,
    pub seed: u64,
    pub names: Names,
    pub limits: Limits,
}

pub struct Engine<P> {
    names: Names,
    limits: Limits,
    clock: Clock,
    now: Instant,
    balancer: Balancer,
    actions: Vec<Action>,
    probes: P,
    conns: HashMap<RequestId, Conn>,
    /// Where each server is reached, with the identity behind its number.
    addresses: HashMap<ServerId, (String, SocketAddr)>,
    on_server: HashMap<ServerId, BTreeSet<RequestId>>,
    draining: BTreeMap<ServerId, Spread>,
    leaving: Option<Spread>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    next_spread: Option<Instant>,
}

impl<P: Probe> Engine<P> {
    pub fn new(setup: Setup, clock: Clock, probes: P) -> Self {
        Self {
            balancer: Balancer::new(setup.settings, setup.seed),
            names: setup.names,
            limits: setup.limits,
            now: clock.start(),
            clock,
            actions: Vec::new(),
            probes,
            conns: HashMap::new(),
            addresses: HashMap::new(),
            on_server: HashMap::new(),
            draining: BTreeMap::new(),
            leaving: None,
            timers: BinaryHeap::new(),
            next_spread: None,
        }
    }

    /// Runs for as long as the proxy does. `known` is the list of the last run; `ready` is told once a
    /// source has given a newer one.
    pub async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Notice>,
        known: Vec<Listed>,
        ready: watch::Sender<bool>,
    ) {
        self.start(Instant::now(), known);
        loop {
            let due = self.next_wake();
            let wake = async {
                match due {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                notice = inbox.recv() => match notice {
                    Some(notice) => {
                        let listed = matches!(notice, Notice::List(..));
                        self.take(Instant::now(), notice);
                        if listed {
                            ready.send_replace(true);
                        }
                    }
                    None => return,
                },
                () = wake => self.wake(Instant::now()),
            }
        }
    }

    /// Comes to life with the list as it was last known.
    pub fn start(&mut self, now: Instant, known: Vec<Listed>) {
        self.now = now;
        self.handle(Event::Start);
        self.list(ListKind::Restored, known);
    }

    /// When it wants to be woken.
    pub fn next_wake(&self) -> Option<Instant> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        [timer, self.next_spread].into_iter().flatten().min()
    }

    pub fn wake(&mut self, now: Instant) {
        self.now = now;
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

    /// Takes one notice, and gives its orders before it returns.
    pub fn take(&mut self, now: Instant, notice: Notice) {
        self.now = now;
        match notice {
            Notice::List(kind, rows) => self.list(kind, rows),
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
            Notice::Load(id, load) => self.handle(Event::LoadNote(id, load)),
            Notice::Delay(server, delay) => self.handle(Event::DelayNote(server, delay)),
            Notice::Silent(server) => {
                // To the module a server that leaves lines unanswered is as one that leaves probes.
                let outcome = Outcome::TimedOut;
                self.handle(Event::Probed(server, outcome, Report::default()));
            }
            Notice::Probed(server, outcome, report) => {
                self.handle(Event::Probed(server, outcome, report));
            }
            Notice::Shutdown => {
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
            entries.push(listed.row.entry(&self.names));
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
            let from = self.now + wait;
            let until = from + self.limits.drain_span;
            self.draining.insert(server, Spread::new(left, from, until));
            self.next_spread = Some(self.now);
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
        self.balancer
            .handle(self.clock.at(self.now), event, &mut actions);
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
                self.timers.push(Reverse((self.now + after, token)));
            }
        }
    }

    /// A final answer: the connection is told, and the engine is done with it.
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

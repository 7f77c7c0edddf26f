//! Upgrades: a second process of this program takes over from the first: the clients' listener, so that
//! there is one queue and no connection in it is ever refused or reset, and then the connections that are
//! up, one by one, so that nobody is moved. What they say to each other is `violetwind_service`'s; here is
//! the Unix socket in the directory that both have.
//!
//! Without such a directory, with Unix sockets refused, or with nobody there, a process listens by itself
//! and shares the address where another holds it (SO_REUSEPORT).

mod connections;
mod link;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use tokio::net::{TcpListener, TcpSocket, UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tracing::{info, warn};
use violetwind_engine::EngineEvent;
use violetwind_net::is_resource_exhaustion;
use violetwind_service::Bans;
use violetwind_service::handover::{HandoverState, Message};

use self::connections::AdoptedConnection;
pub use self::connections::{ConnectionOffer, OfferReply};
use self::link::Link;
use crate::acceptor::SharedState;
use crate::limits::{Limits, ShutdownSchedule};
use crate::operator_service::{self, ForwardedChange, ProcessState};

fn socket(dir: &Path) -> PathBuf {
    dir.join("violetwind.sock")
}

/// Listens for clients; `shared` where a successor that nobody hands the listener to may do so too.
pub fn listen(at: SocketAddr, shared: bool, limits: &Limits) -> io::Result<TcpListener> {
    let socket = match at {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    if shared && let Err(error) = socket.set_reuseport(true) {
        warn!(%error, "the clients' address can't be shared");
    }
    socket.bind(at)?;
    socket.listen(limits.backlog)
}

/// What was there before this process.
#[derive(Default)]
pub struct InheritedState {
    pub bans: Bans,
    pub has_left: bool,
    /// Where discovery was moved to.
    pub discovery_address: Option<SocketAddr>,
    pub listener: Option<TcpListener>,
    pub predecessor: Option<Predecessor>,
}

impl InheritedState {
    /// A process that serves, or else what one has left in the directory that both have.
    pub async fn find(dir: Option<&Path>, listen: SocketAddr, limits: &Limits) -> Self {
        let Some(dir) = dir else {
            return Self::default();
        };
        match find(dir, listen, limits).await {
            Some((elder, state, listener)) => Self {
                bans: state.bans,
                has_left: state.has_left,
                discovery_address: state.discovery_address.and_then(|at| at.parse().ok()),
                listener: Some(listener),
                predecessor: Some(elder),
            },
            None => Self {
                bans: operator_service::load_bans(dir, &limits.service),
                ..Self::default()
            },
        }
    }
}

/// The process before this one, which serves still.
pub struct Predecessor {
    link: Link,
    holds: u32,
}

/// Looks for a process that serves under this directory at this address. Whatever is not as it should be
/// counts as nobody there.
async fn find(
    dir: &Path,
    listen: SocketAddr,
    limits: &Limits,
) -> Option<(Predecessor, HandoverState, TcpListener)> {
    let path = socket(dir);
    let greet = async {
        let stream = loop {
            match UnixStream::connect(&path).await {
                // Whether somebody is there is not known yet.
                Err(error) if is_resource_exhaustion(&error) => {
                    sleep(limits.dial_retry_interval).await
                }
                result => break result?,
            }
        };
        let mut link = Link::new(stream);
        link.send(&Message::Hello, limits).await?;
        let Message::State(state) = link.recv(limits).await? else {
            return Err(io::Error::other("no state came"));
        };
        let [listener] = (link.take_fds()).ok_or_else(|| io::Error::other("no listener came"))?;
        let listener = std::net::TcpListener::from(listener);
        if listener.local_addr()? != listen {
            return Err(io::Error::other("it serves another address"));
        }
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let holds = state.descriptors_in_use;
        Ok((Predecessor { link, holds }, state, listener))
    };
    let error = match timeout(limits.handover_timeout, greet).await {
        Ok(Ok(found)) => return Some(found),
        Ok(Err(error)) if error.kind() == io::ErrorKind::NotFound => return None,
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_string(),
    };
    info!(error, path = %path.display(), "nobody hands over");
    None
}

/// What both sides of an upgrade go by.
pub struct HandoverContext {
    pub shared: Rc<SharedState>,
    /// Whether clients are accepted here.
    pub accepting: watch::Sender<bool>,
}

impl Predecessor {
    /// Hears the earlier process from now on, and operators' words that come to it. The returned call has it
    /// stop accepting: clients wait in the queue until this process does, so that takes no longer than a
    /// moment, answered or not.
    pub fn start_session(self, side: Rc<HandoverContext>) -> impl AsyncFnOnce() {
        let limits = side.shared.limits.clone();
        let requests = side.shared.request_descriptors.clone();
        requests.set_lent(self.holds as usize);
        let (serve, serves) = oneshot::channel();
        let (stop, stopped) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let role = Role::Successor {
                serves: Some(serves),
                stopped: Some(stop),
            };
            let ended = Talk::new(self.link, &side, role).run().await;
            requests.set_lent(0);
            side.shared.service.set_predecessor_present(false);
            info!(?ended, "the earlier process has gone");
        });
        async move || {
            // A process that has gone needs no word, and gives no answer.
            let _ = serve.send(());
            match timeout(limits.stop_ack_timeout, stopped).await {
                Ok(Ok(())) => info!("the earlier process has handed over"),
                _ => warn!("the earlier process does not say that it has stopped"),
            }
        }
    }
}

/// Waits for successors, one at a time, for as long as the process runs.
pub async fn serve_successors(dir: PathBuf, listener: Rc<TcpListener>, side: Rc<HandoverContext>) {
    let (limits, service) = (&side.shared.limits, &side.shared.service);
    let path = socket(&dir);
    loop {
        let offers = match bind(&dir) {
            Ok(offers) => offers,
            Err(error) if is_resource_exhaustion(&error) => {
                sleep(limits.handover_timeout).await;
                continue;
            }
            Err(error) => {
                return warn!(%error, path = %path.display(), "no successor can be handed over to");
            }
        };
        info!(path = %path.display(), "successors are awaited");
        // A successor that has served has put its own socket in this one's place.
        while service.process_state() != ProcessState::Superseded {
            let stream = match offers.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!(%error, "accept of a successor");
                    tokio::time::sleep(limits.handover_timeout).await;
                    continue;
                }
            };
            let ended = hand_over(Link::new(stream), &listener, &side).await;
            info!(?ended, "a successor has gone");
        }
        warn!("the successor has gone: clients are served here again");
        service.set_process_state(ProcessState::Serving);
        side.accepting.send_replace(true);
        let _ = side
            .shared
            .engine
            .send(EngineEvent::SuccessorChanged(None))
            .await;
    }
}

/// What an earlier process left there is replaced in one step.
fn bind(dir: &Path) -> io::Result<UnixListener> {
    let own = dir.join(format!("violetwind.sock.{}", std::process::id()));
    let _ = std::fs::remove_file(&own);
    let bound = UnixListener::bind(&own)?;
    if let Err(error) = std::fs::rename(&own, socket(dir)) {
        let _ = std::fs::remove_file(&own);
        return Err(error);
    }
    Ok(bound)
}

async fn hand_over(
    mut link: Link,
    listener: &TcpListener,
    side: &HandoverContext,
) -> io::Result<()> {
    let (limits, service) = (&side.shared.limits, &side.shared.service);
    let late = |_| io::Error::other("it does not say what it wants");
    let hello = timeout(limits.handover_timeout, link.recv(limits)).await;
    if hello.map_err(late)?? != Message::Hello {
        return Err(io::Error::other("it says no hello"));
    }
    info!("a successor starts");
    let role = Role::Elder {
        serve_by: Some(Instant::now() + limits.successor_ready_timeout),
    };
    // From here on it hears of changes: none falls between them and the state.
    let mut talk = Talk::new(link, side, role);
    let state = HandoverState {
        bans: service.bans(),
        has_left: service.has_left(),
        discovery_address: service.discovery_override().map(|at| at.to_string()),
        descriptors_in_use: side.holds(),
    };
    let message = Message::State(state);
    talk.link
        .send_with_fds(&message, &[listener.as_fd()], limits)
        .await?;
    talk.run().await
}

impl HandoverContext {
    /// Descriptors in use here, what is set aside included.
    fn holds(&self) -> u32 {
        let limits = &self.shared.limits;
        let aside = limits.descriptor_reserve + limits.probe_descriptors;
        (self.shared.request_descriptors.in_use() + self.shared.pending_slots.in_use() + aside)
            as u32
    }

    /// A successor serves from now on.
    async fn succeeded(&self) {
        let service = &self.shared.service;
        self.accepting.send_replace(false);
        if service.process_state() != ProcessState::ShuttingDown {
            service.set_process_state(ProcessState::Superseded);
        }
        let term = ShutdownSchedule::new(self.shared.config.get().longest_deadline);
        let moves = EngineEvent::SuccessorChanged(Some(term.superseded_move_window));
        let _ = self.shared.engine.send(moves).await;
    }
}

/// Which of the two this process is, and what it waits for.
enum Role {
    /// The successor has to serve by then, or all stays as it was.
    Elder { serve_by: Option<Instant> },
    Successor {
        serves: Option<oneshot::Receiver<()>>,
        stopped: Option<oneshot::Sender<()>>,
    },
}

/// All that goes both ways until either side ends.
struct Talk<'a> {
    link: Link,
    side: &'a HandoverContext,
    role: Role,
    /// Operators' words that this process was told, by the number of this way among others'.
    id: u64,
    changes: mpsc::Receiver<ForwardedChange>,
    waiting: BTreeMap<u32, oneshot::Sender<()>>,
    /// Connections that relays here give up, those that are on their way, and those that have come.
    given: mpsc::Receiver<ConnectionOffer>,
    offered: BTreeMap<u32, OfferReply>,
    adopted: BTreeMap<u32, AdoptedConnection>,
    number: u32,
    told: Option<u32>,
    /// Connections that were taken over since the log told of them.
    taken: usize,
}

impl Drop for Talk<'_> {
    fn drop(&mut self) {
        self.side.shared.service.remove_forward_target(self.id);
        self.side.shared.service.set_successor_sender(None);
    }
}

impl<'a> Talk<'a> {
    fn new(link: Link, side: &'a HandoverContext, role: Role) -> Self {
        let limits = &side.shared.limits;
        let (to, changes) = mpsc::channel(limits.forward_queue_capacity);
        let (heir, given) = mpsc::channel(limits.max_concurrent_transfers);
        if matches!(role, Role::Elder { .. }) {
            side.shared.service.set_successor_sender(Some(heir));
        }
        Self {
            link,
            side,
            role,
            id: side.shared.service.add_forward_target(to),
            changes,
            waiting: BTreeMap::new(),
            given,
            offered: BTreeMap::new(),
            adopted: BTreeMap::new(),
            number: 0,
            told: None,
            taken: 0,
        }
    }

    async fn run(mut self) -> io::Result<()> {
        let limits = &self.side.shared.limits;
        loop {
            self.tell_holds().await?;
            let tick = Instant::now() + limits.descriptor_report_interval;
            let serves = async {
                match &mut self.role {
                    Role::Successor {
                        serves: Some(serves),
                        ..
                    } => serves.await.is_ok(),
                    _ => std::future::pending().await,
                }
            };
            let room = self.offered.len() < limits.max_concurrent_transfers;
            tokio::select! {
                message = self.link.recv(limits) => self.hear(message?).await?,
                Some((change, done)) = self.changes.recv() => {
                    self.number += 1;
                    self.waiting.insert(self.number, done);
                    self.link.send(&Message::Change(self.number, change), limits).await?;
                }
                Some(given) = self.given.recv(), if room => {
                    self.number += 1;
                    let message = Message::ConnectionOffer(self.number, given.connection);
                    let fds = [given.fds[0].as_fd(), given.fds[1].as_fd()];
                    self.link.send_with_fds(&message, &fds, limits).await?;
                    self.offered.insert(self.number, given.reply);
                }
                serves = serves => {
                    if let Role::Successor { serves, .. } = &mut self.role {
                        *serves = None;
                    }
                    if serves {
                        self.link.send(&Message::Serving, limits).await?;
                    }
                }
                () = sleep_until(tick) => match std::mem::take(&mut self.taken) {
                    0 => {}
                    count => info!(count, "connections were taken over"),
                }
            }
            self.waiting.retain(|_, done| !done.is_closed());
            if let Role::Elder { serve_by: Some(by) } = self.role
                && by <= Instant::now()
            {
                return Err(io::Error::other("it never serves"));
            }
        }
    }

    /// Lets the successor know of descriptors in use here, when their number has changed.
    async fn tell_holds(&mut self) -> io::Result<()> {
        if matches!(self.role, Role::Successor { .. }) {
            return Ok(());
        }
        let holds = self.side.holds();
        if self.told.replace(holds) != Some(holds) {
            let limits = &self.side.shared.limits;
            self.link
                .send(&Message::DescriptorsInUse(holds), limits)
                .await?;
        }
        Ok(())
    }

    async fn hear(&mut self, message: Message) -> io::Result<()> {
        let shared = &self.side.shared;
        let limits = &shared.limits;
        match message {
            Message::Change(number, change) => {
                if let Err(error) = shared.service.apply_external(self.id, change).await {
                    warn!(error, "a word that the other process was told");
                }
                self.link
                    .send(&Message::ChangeApplied(number), limits)
                    .await?;
            }
            Message::ChangeApplied(number) => {
                if let Some(done) = self.waiting.remove(&number) {
                    // Who asked may have stopped waiting.
                    let _ = done.send(());
                }
            }
            Message::DescriptorsInUse(holds) => shared.request_descriptors.set_lent(holds as usize),
            Message::Serving => {
                if let Role::Elder { serve_by } = &mut self.role {
                    *serve_by = None;
                    self.side.succeeded().await;
                    self.link.send(&Message::Stopped, limits).await?;
                }
            }
            Message::Stopped => {
                if let Role::Successor { stopped, .. } = &mut self.role
                    && let Some(stopped) = stopped.take()
                {
                    // Who waited may have gone on without.
                    let _ = stopped.send(());
                }
            }
            Message::ConnectionOffer(number, connection) => {
                let fds = self.link.take_fds();
                let answer = match AdoptedConnection::from_offer(connection, fds, shared) {
                    Ok(adopted) => {
                        self.adopted.insert(number, adopted);
                        Message::ConnectionAccepted(number)
                    }
                    Err(error) => {
                        info!(error, "a connection is not taken over");
                        Message::ConnectionDeclined(number)
                    }
                };
                self.link.send(&answer, limits).await?;
            }
            // Only with this word it is the successor's: until then each side may go, and the other has it.
            Message::ConnectionAccepted(number) => {
                if let Some(offered) = self.offered.remove(&number) {
                    self.link
                        .send(&Message::ConnectionTransferred(number), limits)
                        .await?;
                    offered.confirm();
                }
            }
            Message::ConnectionDeclined(number) => drop(self.offered.remove(&number)),
            Message::ConnectionTransferred(number) => {
                if let Some(adopted) = self.adopted.remove(&number) {
                    adopted.start_relay(shared);
                    self.taken += 1;
                }
            }
            Message::Hello | Message::State(_) => {
                return Err(io::Error::other("a message out of turn"));
            }
        }
        Ok(())
    }
}

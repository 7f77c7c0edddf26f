//! Upgrades without downtime: a new process of this program takes over from the running one. The clients'
//! listener is passed first, so that there is a single accept queue and no connection in it is refused or
//! reset. The established connections follow one at a time, so that no client has to be moved to another
//! server. The messages are defined in `violetwind_service`; this module owns the Unix socket in the directory
//! that both processes share.
//!
//! Without such a directory, without permission to use Unix sockets, or without a running process, a process
//! opens its own listener, and shares the address with any other process that uses it (SO_REUSEPORT).

mod connections;
mod link;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use tokio::net::{TcpListener, TcpSocket, UnixListener, UnixStream};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tracing::{info, warn};
use violetwind_engine::EngineEvent;
use violetwind_net::is_resource_exhaustion;
use violetwind_service::Bans;
use violetwind_service::handover::{HandoverState, Message};

use self::connections::AdoptedConnection;
use self::connections::OfferReply;
pub use self::connections::{ConnectionOffer, PendingOffer, offer_channel};
use self::link::Link;
use crate::acceptor::SharedState;
use crate::limits::{Limits, ShutdownSchedule};
use crate::operator_service::{self, ForwardTarget, ForwardedChange, ProcessState};
use crate::reload::ReloadRequester;

fn socket_path(dir: &Path) -> PathBuf {
    dir.join("violetwind.sock")
}

/// Opens the listener for clients. With `shared`, a successor that is not passed this listener may bind the same
/// address (SO_REUSEPORT).
pub fn listen(address: SocketAddr, shared: bool, limits: &Limits) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    if shared && let Err(error) = socket.set_reuseport(true) {
        warn!(%error, "the clients' address can't be shared");
    }
    socket.bind(address)?;
    socket.listen(limits.backlog)
}

/// State that this process takes over from an earlier one.
#[derive(Default)]
pub struct InheritedState {
    pub bans: Bans,
    pub has_left: bool,
    /// The discovery address that a reload set in the earlier process.
    pub discovery_address: Option<SocketAddr>,
    pub listener: Option<TcpListener>,
    pub predecessor: Option<Predecessor>,
}

impl InheritedState {
    /// Takes over from the running process, if there is one; otherwise loads the bans that an earlier process
    /// left in the shared directory.
    pub async fn find(dir: Option<&Path>, listen: SocketAddr, limits: &Limits) -> Self {
        let Some(dir) = dir else {
            return Self::default();
        };
        match find_predecessor(dir, listen, limits).await {
            Some((predecessor, state, listener)) => Self {
                bans: state.bans,
                has_left: state.has_left,
                discovery_address: state
                    .discovery_address
                    .and_then(|address| address.parse().ok()),
                listener: Some(listener),
                predecessor: Some(predecessor),
            },
            None => Self {
                bans: operator_service::load_bans(dir, &limits.service),
                ..Self::default()
            },
        }
    }
}

/// The running process that this one succeeds.
pub struct Predecessor {
    link: Link,
    descriptors_in_use: u32,
}

/// Connects to the running process that uses this directory and serves this address, and receives its state
/// and listener. Returns `None` on any failure, as if no process were running.
async fn find_predecessor(
    dir: &Path,
    listen: SocketAddr,
    limits: &Limits,
) -> Option<(Predecessor, HandoverState, TcpListener)> {
    let path = socket_path(dir);
    let handshake = async {
        let stream = loop {
            match UnixStream::connect(&path).await {
                // Without resources the connect attempt does not show whether a process is listening.
                Err(error) if is_resource_exhaustion(&error) => {
                    sleep(limits.dial_retry_interval).await
                }
                result => break result?,
            }
        };
        let mut link = Link::new(stream);
        link.send(&Message::Hello, limits).await?;
        let Message::State(state) = link.recv(limits).await? else {
            return Err(io::Error::other("the first message is not a state"));
        };
        let [listener] =
            (link.take_fds()).ok_or_else(|| io::Error::other("no listener received"))?;
        let listener = std::net::TcpListener::from(listener);
        if listener.local_addr()? != listen {
            return Err(io::Error::other(
                "the running process serves another address",
            ));
        }
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let descriptors_in_use = state.descriptors_in_use;
        Ok((
            Predecessor {
                link,
                descriptors_in_use,
            },
            state,
            listener,
        ))
    };
    let error = match timeout(limits.handover_timeout, handshake).await {
        Ok(Ok(found)) => return Some(found),
        Ok(Err(error)) if error.kind() == io::ErrorKind::NotFound => return None,
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_string(),
    };
    info!(error, path = %path.display(), "nobody hands over");
    None
}

/// State that both sides of an upgrade use.
pub struct HandoverContext {
    pub shared: Rc<SharedState>,
    /// Whether this process accepts clients.
    pub accepting: watch::Sender<bool>,
    pub reload_requester: ReloadRequester,
}

impl Predecessor {
    /// Starts the task that handles messages of the predecessor, including the operators' changes it receives. Once
    /// this returns, the predecessor is told of operators' changes and reloads of this process. The returned function
    /// makes the predecessor stop accepting. Until this process accepts, clients wait in the accept queue, so the
    /// function returns after `stop_ack_timeout` at the latest, even without a reply.
    pub fn start_session(self, context: &Rc<HandoverContext>) -> impl AsyncFnOnce() + use<> {
        let context = context.clone();
        let limits = context.shared.limits.clone();
        let requests = context.shared.request_descriptors.clone();
        requests.set_used_by_other_process(self.descriptors_in_use as usize);
        let (serving_sender, serving_receiver) = oneshot::channel();
        let (stopped_sender, stopped_receiver) = oneshot::channel();
        let role = Role::Successor {
            serving: Some(serving_receiver),
            stopped: Some(stopped_sender),
        };
        let session = HandoverSession::new(self.link, &context, role);
        tokio::task::spawn_local(async move {
            let ended = session.run().await;
            requests.set_used_by_other_process(0);
            context
                .shared
                .operator_service
                .set_predecessor_present(false);
            info!(?ended, "the earlier process has gone");
            // A signal that the earlier process could not handle any more was meant for this one too.
            context.reload_requester.reload_if_changed().await;
        });
        async move || {
            // If the predecessor has exited, there is nothing to stop and no reply will come.
            let _ = serving_sender.send(());
            match timeout(limits.stop_ack_timeout, stopped_receiver).await {
                Ok(Ok(())) => info!("the earlier process has handed over"),
                _ => warn!("the earlier process has not confirmed that it stopped accepting"),
            }
        }
    }
}

/// Accepts successors, one at a time, while the process runs.
pub async fn serve_successors(
    dir: PathBuf,
    listener: Rc<TcpListener>,
    context: Rc<HandoverContext>,
) {
    let (limits, service) = (&context.shared.limits, &context.shared.operator_service);
    let path = socket_path(&dir);
    loop {
        let socket_listener = match bind_socket(&dir) {
            Ok(socket_listener) => socket_listener,
            Err(error) if is_resource_exhaustion(&error) => {
                sleep(limits.handover_timeout).await;
                continue;
            }
            Err(error) => {
                return warn!(%error, path = %path.display(), "no successor can be handed over to");
            }
        };
        info!(path = %path.display(), "successors are awaited");
        // A successor that has started serving has replaced this socket with its own, so it has to be bound again.
        while service.process_state() != ProcessState::Superseded {
            let stream = match socket_listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!(%error, "accepting a successor failed");
                    tokio::time::sleep(limits.handover_timeout).await;
                    continue;
                }
            };
            let ended = hand_over(Link::new(stream), &listener, &context).await;
            info!(?ended, "the session with a successor has ended");
        }
        warn!("the successor has gone: clients are served here again");
        service.set_process_state(ProcessState::Serving);
        context.accepting.send_replace(true);
        let _ = context
            .shared
            .engine
            .send(EngineEvent::SuccessorChanged(None))
            .await;
    }
}

/// Binds the Unix socket. A socket left by an earlier process is replaced atomically, by a rename.
fn bind_socket(dir: &Path) -> io::Result<UnixListener> {
    let temporary_path = dir.join(format!("violetwind.sock.{}", std::process::id()));
    let _ = std::fs::remove_file(&temporary_path);
    let listener = UnixListener::bind(&temporary_path)?;
    if let Err(error) = std::fs::rename(&temporary_path, socket_path(dir)) {
        let _ = std::fs::remove_file(&temporary_path);
        return Err(error);
    }
    Ok(listener)
}

/// Runs the session with one successor: checks its hello, sends the state and the listener, then handles messages.
async fn hand_over(
    mut link: Link,
    listener: &TcpListener,
    context: &Rc<HandoverContext>,
) -> io::Result<()> {
    let (limits, service) = (&context.shared.limits, &context.shared.operator_service);
    let to_hello_timeout = |_| io::Error::other("the successor sent no message in time");
    let hello = timeout(limits.handover_timeout, link.recv(limits)).await;
    if hello.map_err(to_hello_timeout)?? != Message::Hello {
        return Err(io::Error::other(
            "the first message of the successor is not a hello",
        ));
    }
    info!("a successor starts");
    let role = Role::Predecessor {
        serve_by: Some(Instant::now() + limits.successor_ready_timeout),
    };
    // The session forwards changes and reloads from here on, before the state is read: a change is either in the state
    // or forwarded, never lost between the two. A reload before is in the files, which the successor reads again.
    let mut session = HandoverSession::new(link, context, role);
    let state = HandoverState {
        bans: service.bans(),
        has_left: service.has_left(),
        discovery_address: service
            .discovery_override()
            .map(|address| address.to_string()),
        descriptors_in_use: context.descriptors_in_use(),
    };
    let message = Message::State(state);
    session
        .link
        .send_with_fds(&message, &[listener.as_fd()], limits)
        .await?;
    session.run().await
}

impl HandoverContext {
    /// Returns the number of descriptors in use by this process, including its reserves.
    fn descriptors_in_use(&self) -> u32 {
        let limits = &self.shared.limits;
        let reserved = limits.descriptor_reserve + limits.probe_descriptors;
        (self.shared.request_descriptors.in_use() + self.shared.pending_slots.in_use() + reserved)
            as u32
    }

    /// Stops accepting clients and starts moving connections, as a successor now serves.
    async fn yield_to_successor(&self) {
        let service = &self.shared.operator_service;
        self.accepting.send_replace(false);
        service.set_superseded();
        let schedule = ShutdownSchedule::new(self.shared.config.get().longest_deadline);
        let event = EngineEvent::SuccessorChanged(Some(schedule.superseded_move_window));
        let _ = self.shared.engine.send(event).await;
    }
}

/// Role of this process in the upgrade, with the events it still waits for.
enum Role {
    /// The session ends, and this process serves on, unless the successor serves by `serve_by`.
    Predecessor { serve_by: Option<Instant> },
    Successor {
        /// Resolves when this process serves clients.
        serving: Option<oneshot::Receiver<()>>,
        /// Notified when the predecessor has stopped accepting.
        stopped: Option<oneshot::Sender<()>>,
    },
}

/// Exchange of messages between the two processes of an upgrade, until either ends.
struct HandoverSession {
    link: Link,
    context: Rc<HandoverContext>,
    role: Role,
    /// Number of this session among the forward targets of the operators' service.
    id: u64,
    /// Operators' changes to forward to the other process.
    changes: mpsc::Receiver<ForwardedChange>,
    /// Notified when the other process has to reload its configuration files.
    reloads: Rc<Notify>,
    /// Whether the other process understands `ConfigReloaded`; a build from before that message ends the session at it.
    peer_understands_reloads: bool,
    /// Forwarded changes that the other process has not confirmed yet, by message number.
    pending_changes: BTreeMap<u32, oneshot::Sender<()>>,
    /// Connections that relays of this process offer.
    offers: mpsc::Receiver<ConnectionOffer>,
    /// Offers sent to the successor and not answered yet, by message number.
    pending_offers: BTreeMap<u32, OfferReply>,
    /// Connections accepted from the predecessor and not transferred yet, by message number.
    adopted: BTreeMap<u32, AdoptedConnection>,
    /// Number of the last change or offer sent.
    message_number: u32,
    /// Number of descriptors in use that was last reported to the successor.
    reported_descriptors: Option<u32>,
    /// Connections transferred to this process since the last log line about them.
    adopted_since_log: usize,
}

impl Drop for HandoverSession {
    fn drop(&mut self) {
        self.context
            .shared
            .operator_service
            .remove_forward_target(self.id);
        self.context
            .shared
            .operator_service
            .set_successor_sender(None);
    }
}

impl HandoverSession {
    fn new(link: Link, context: &Rc<HandoverContext>, role: Role) -> Self {
        let limits = &context.shared.limits;
        let (change_sender, changes) = mpsc::channel(limits.forward_queue_capacity);
        let (offer_sender, offers) = mpsc::channel(limits.max_concurrent_transfers);
        let reloads = Rc::new(Notify::new());
        if matches!(role, Role::Predecessor { .. }) {
            context
                .shared
                .operator_service
                .set_successor_sender(Some(offer_sender));
        }
        Self {
            link,
            context: context.clone(),
            role,
            id: context
                .shared
                .operator_service
                .add_forward_target(ForwardTarget {
                    changes: change_sender,
                    reloads: reloads.clone(),
                }),
            changes,
            reloads,
            peer_understands_reloads: false,
            pending_changes: BTreeMap::new(),
            offers,
            pending_offers: BTreeMap::new(),
            adopted: BTreeMap::new(),
            message_number: 0,
            reported_descriptors: None,
            adopted_since_log: 0,
        }
    }

    async fn run(mut self) -> io::Result<()> {
        let limits = &*self.context.shared.limits.clone();
        self.link
            .send(&Message::UNDERSTANDS_RELOADS, limits)
            .await?;
        loop {
            self.report_descriptors_in_use().await?;
            let tick = Instant::now() + limits.descriptor_report_interval;
            let starts_serving = async {
                match &mut self.role {
                    Role::Successor {
                        serving: Some(serving),
                        ..
                    } => serving.await.is_ok(),
                    _ => std::future::pending().await,
                }
            };
            let has_capacity = self.pending_offers.len() < limits.max_concurrent_transfers;
            tokio::select! {
                message = self.link.recv(limits) => self.handle_message(message?).await?,
                Some((change, applied)) = self.changes.recv() => {
                    self.message_number += 1;
                    self.pending_changes.insert(self.message_number, applied);
                    self.link.send(&Message::Change(self.message_number, change), limits).await?;
                }
                () = self.reloads.notified(), if self.peer_understands_reloads => {
                    self.link.send(&Message::ConfigReloaded, limits).await?;
                }
                Some(offer) = self.offers.recv(), if has_capacity => {
                    if offer.reply.is_withdrawn() {
                        continue;
                    }
                    self.message_number += 1;
                    let message = Message::ConnectionOffer(self.message_number, offer.connection);
                    let fds = [offer.fds[0].as_fd(), offer.fds[1].as_fd()];
                    self.link.send_with_fds(&message, &fds, limits).await?;
                    self.pending_offers.insert(self.message_number, offer.reply);
                }
                is_serving = starts_serving => {
                    if let Role::Successor { serving, .. } = &mut self.role {
                        *serving = None;
                    }
                    if is_serving {
                        self.link.send(&Message::Serving, limits).await?;
                    }
                }
                () = sleep_until(tick) => match std::mem::take(&mut self.adopted_since_log) {
                    0 => {}
                    count => info!(count, "connections were taken over"),
                }
            }
            self.pending_changes
                .retain(|_, applied| !applied.is_closed());
            if let Role::Predecessor {
                serve_by: Some(deadline),
            } = self.role
                && deadline <= Instant::now()
            {
                return Err(io::Error::other(
                    "the successor did not start serving in time",
                ));
            }
        }
    }

    /// Reports the number of descriptors in use to the successor when it has changed.
    async fn report_descriptors_in_use(&mut self) -> io::Result<()> {
        if matches!(self.role, Role::Successor { .. }) {
            return Ok(());
        }
        let descriptors_in_use = self.context.descriptors_in_use();
        if self.reported_descriptors.replace(descriptors_in_use) != Some(descriptors_in_use) {
            let limits = &self.context.shared.limits;
            self.link
                .send(&Message::DescriptorsInUse(descriptors_in_use), limits)
                .await?;
        }
        Ok(())
    }

    async fn handle_message(&mut self, message: Message) -> io::Result<()> {
        let shared = &self.context.shared.clone();
        let limits = &shared.limits;
        match message {
            Message::Change(number, change) => {
                if let Err(error) = shared
                    .operator_service
                    .apply_external(self.id, change)
                    .await
                {
                    warn!(
                        error,
                        "a change received by the other process can't be applied here"
                    );
                }
                self.link
                    .send(&Message::ChangeApplied(number), limits)
                    .await?;
            }
            Message::UNDERSTANDS_RELOADS => self.peer_understands_reloads = true,
            Message::ConfigReloaded => {
                info!("the other process has reloaded its configuration files");
                self.context
                    .reload_requester
                    .reload_with_other_process(self.id)
                    .await;
            }
            Message::ChangeApplied(number) => {
                if let Some(applied) = self.pending_changes.remove(&number) {
                    // The task that forwarded the change may have stopped waiting.
                    let _ = applied.send(());
                }
            }
            Message::DescriptorsInUse(descriptors_in_use) => shared
                .request_descriptors
                .set_used_by_other_process(descriptors_in_use as usize),
            Message::Serving => {
                if let Role::Predecessor { serve_by } = &mut self.role {
                    *serve_by = None;
                    self.context.yield_to_successor().await;
                    self.link.send(&Message::Stopped, limits).await?;
                }
            }
            Message::Stopped => {
                if let Role::Successor { stopped, .. } = &mut self.role
                    && let Some(stopped) = stopped.take()
                {
                    // The startup code may have continued after its timeout.
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
            // The transfer message passes ownership to the successor. Until it is sent, either process may exit
            // and the other still has the connection.
            Message::ConnectionAccepted(number) => {
                if let Some(offer) = self.pending_offers.remove(&number) {
                    if offer.begin_transfer() {
                        self.link
                            .send(&Message::ConnectionTransferred(number), limits)
                            .await?;
                        offer.confirm();
                    } else {
                        self.link
                            .send(&Message::ConnectionDeclined(number), limits)
                            .await?;
                    }
                }
            }
            // The successor declines an offer, or the predecessor has withdrawn one that was accepted.
            Message::ConnectionDeclined(number) => {
                drop(self.pending_offers.remove(&number));
                drop(self.adopted.remove(&number));
            }
            Message::ConnectionTransferred(number) => {
                if let Some(adopted) = self.adopted.remove(&number) {
                    adopted.start_relay(shared);
                    self.adopted_since_log += 1;
                }
            }
            Message::Hello | Message::State(_) => {
                return Err(io::Error::other(
                    "a message that is not expected at this point",
                ));
            }
        }
        Ok(())
    }
}

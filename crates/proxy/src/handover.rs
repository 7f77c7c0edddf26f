//! Upgrades: a second process of this program takes the clients' listener over from the first, so that
//! there is one queue and no connection in it is ever refused or reset. What they say to each other is
//! `violetwind_service`'s; here is the Unix socket in the directory that both have.
//!
//! Without such a directory, with Unix sockets refused, or with nobody there, a process listens by itself
//! and shares the address where another holds it (SO_REUSEPORT).

use std::collections::BTreeMap;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpSocket, UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{info, warn};
use violetwind_engine::Notice;
use violetwind_service::Bans;
use violetwind_service::handover::{Message, Messages, State, frame};

use crate::config::InForce;
use crate::first_lines::FirstLines;
use crate::limits::{Descriptors, Limits, Term};
use crate::service::{self, Forward, Service, Stand};

fn socket(dir: &Path) -> PathBuf {
    dir.join("violetwind.sock")
}

/// Listens for clients; `shared` where a successor that nobody hands the listener to may do so too.
pub fn listen(at: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = match at {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    if shared && let Err(error) = socket.set_reuseport(true) {
        warn!(%error, "the clients' address can't be shared");
    }
    socket.bind(at)?;
    socket.listen(1024)
}

/// What was there before this process.
#[derive(Default)]
pub struct Before {
    pub bans: Bans,
    pub left: bool,
    /// Where discovery was moved to.
    pub discovery: Option<SocketAddr>,
    pub listener: Option<TcpListener>,
    pub elder: Option<Elder>,
}

impl Before {
    /// A process that serves, or else what one has left in the directory that both have.
    pub async fn find(dir: Option<&Path>, listen: SocketAddr, limits: &Limits) -> Self {
        let Some(dir) = dir else {
            return Self::default();
        };
        match find(dir, listen, limits).await {
            Some((elder, state, listener)) => Self {
                bans: state.bans,
                left: state.left,
                discovery: state.discovery.and_then(|at| at.parse().ok()),
                listener: Some(listener),
                elder: Some(elder),
            },
            None => Self {
                bans: service::kept(dir, &limits.service),
                ..Self::default()
            },
        }
    }
}

/// The process before this one, which serves still.
pub struct Elder {
    link: Link,
    holds: u32,
}

/// Looks for a process that serves under this directory at this address. Whatever is not as it should be
/// counts as nobody there.
async fn find(
    dir: &Path,
    listen: SocketAddr,
    limits: &Limits,
) -> Option<(Elder, State, TcpListener)> {
    let path = socket(dir);
    let greet = async {
        let stream = UnixStream::connect(&path).await?;
        let mut link = Link::new(stream);
        link.write(&Message::Hello, limits).await?;
        let (state, listener) = link.receive(limits).await?;
        let listener = std::net::TcpListener::from(listener);
        if listener.local_addr()? != listen {
            return Err(io::Error::other("it serves another address"));
        }
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let holds = state.holds;
        Ok((Elder { link, holds }, state, listener))
    };
    let error = match timeout(limits.hand_over, greet).await {
        Ok(Ok(found)) => return Some(found),
        Ok(Err(error)) if error.kind() == io::ErrorKind::NotFound => return None,
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_string(),
    };
    info!(error, path = %path.display(), "nobody hands over");
    None
}

/// What both sides of an upgrade go by.
pub struct Side {
    pub limits: Rc<Limits>,
    pub service: Rc<Service>,
    pub engine: mpsc::Sender<Notice>,
    pub requests: Descriptors,
    pub first_lines: FirstLines,
    /// Whether clients are accepted here.
    pub accepting: watch::Sender<bool>,
    pub config: InForce,
}

impl Elder {
    /// Has the earlier process stop accepting. Clients wait in the queue until this one does, so it takes
    /// no longer than a moment, answered or not.
    pub async fn succeed(mut self, side: Rc<Side>) {
        let limits = side.limits.clone();
        side.requests.lend(self.holds as usize);
        let told = async {
            self.link.write(&Message::Serving, &limits).await?;
            loop {
                match self.link.message(&limits).await? {
                    Message::Stopped => return Ok(()),
                    message => self.link.early.push(message),
                }
            }
        };
        let told: io::Result<()> = match timeout(limits.stopped, told).await {
            Ok(told) => told,
            Err(_) => Err(io::Error::other("no answer in time")),
        };
        match told {
            Ok(()) => info!("the earlier process has handed over"),
            Err(error) => warn!(%error, "the earlier process does not say that it has stopped"),
        }
        tokio::task::spawn_local(async move {
            let ended = self.link.talk(&side).await;
            side.requests.lend(0);
            info!(?ended, "the earlier process has gone");
        });
    }
}

/// Waits for successors, one at a time, for as long as the process runs.
pub async fn offer(dir: PathBuf, listener: Rc<TcpListener>, side: Rc<Side>) {
    let path = socket(&dir);
    // What an earlier process left there is replaced in one step.
    let own = dir.join(format!("violetwind.sock.{}", std::process::id()));
    let _ = std::fs::remove_file(&own);
    let bound = UnixListener::bind(&own).and_then(|bound| {
        std::fs::rename(&own, &path)?;
        Ok(bound)
    });
    let offers = match bound {
        Ok(bound) => bound,
        Err(error) => {
            let _ = std::fs::remove_file(&own);
            return warn!(%error, path = %path.display(), "no successor can be handed over to");
        }
    };
    info!(path = %path.display(), "successors are awaited");
    loop {
        let stream = match offers.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(%error, "accept of a successor");
                tokio::time::sleep(side.limits.hand_over).await;
                continue;
            }
        };
        let ended = hand_over(Link::new(stream), &listener, &side).await;
        if side.service.stand() == Stand::Succeeded {
            warn!(
                ?ended,
                "the successor has gone: clients are served here again"
            );
            side.service.set_stand(Stand::Serving);
            side.accepting.send_replace(true);
            let _ = side.engine.send(Notice::Succeeded(None)).await;
        } else {
            info!(?ended, "a successor has gone");
        }
    }
}

async fn hand_over(mut link: Link, listener: &TcpListener, side: &Side) -> io::Result<()> {
    let limits = &side.limits;
    let late = |_| io::Error::other("it does not say what it wants");
    let hello = timeout(limits.hand_over, link.message(limits)).await;
    if hello.map_err(late)?? != Message::Hello {
        return Err(io::Error::other("it says no hello"));
    }
    info!("a successor starts");
    // From here on it hears of changes: none falls between them and the state.
    let changes = link.join(&side.service, limits);
    let state = State {
        bans: side.service.bans(),
        left: side.service.left(),
        discovery: side.service.moved_discovery().map(|at| at.to_string()),
        holds: side.holds(),
    };
    let told = async {
        link.send(&Message::State(state), listener, limits).await?;
        let serving = async {
            loop {
                match link.message(limits).await? {
                    Message::Serving => return Ok(()),
                    message => link.early.push(message),
                }
            }
        };
        serving.await
    };
    let told: io::Result<()> = match timeout(limits.successor, told).await {
        Ok(told) => told,
        Err(_) => Err(io::Error::other("it never serves")),
    };
    told?;
    side.accepting.send_replace(false);
    if side.service.stand() != Stand::Ending {
        side.service.set_stand(Stand::Succeeded);
    }
    let term = Term::new(side.config.get().longest_deadline);
    let moves = Notice::Succeeded(Some(term.succeeded));
    let _ = side.engine.send(moves).await;
    link.write(&Message::Stopped, limits).await?;
    link.changes = Some(changes);
    link.talk(side).await
}

impl Side {
    /// Descriptors in use here, what is set aside included.
    fn holds(&self) -> u32 {
        let aside = self.limits.reserve + self.limits.probe_descriptors;
        (self.requests.in_use() + self.first_lines.held() + aside) as u32
    }
}

/// The way to the other process.
struct Link {
    stream: UnixStream,
    messages: Messages,
    /// What came before its turn.
    early: Vec<Message>,
    changes: Option<(u64, mpsc::Receiver<Forward>)>,
}

impl Link {
    fn new(stream: UnixStream) -> Self {
        Self {
            stream,
            messages: Messages::default(),
            early: Vec::new(),
            changes: None,
        }
    }

    /// Has operators' words come this way.
    fn join(&self, service: &Service, limits: &Limits) -> (u64, mpsc::Receiver<Forward>) {
        let (to, changes) = mpsc::channel(limits.forwards);
        (service.add_other(to), changes)
    }

    async fn write(&mut self, message: &Message, limits: &Limits) -> io::Result<()> {
        let bytes = frame(message, &limits.service).ok_or(io::ErrorKind::InvalidData)?;
        let write = timeout(limits.stopped, self.stream.write_all(&bytes)).await;
        write.map_err(|_| io::Error::other("it takes nothing"))?
    }

    /// Writes a message that carries the listener.
    async fn send(
        &mut self,
        message: &Message,
        listener: &TcpListener,
        limits: &Limits,
    ) -> io::Result<()> {
        let bytes = frame(message, &limits.service).ok_or(io::ErrorKind::InvalidData)?;
        let stream = &self.stream;
        let send = stream.async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut with = SendAncillaryBuffer::new(&mut space);
            let fds = [listener.as_fd()];
            if !with.push(SendAncillaryMessage::ScmRights(&fds)) {
                return Err(io::ErrorKind::InvalidInput.into());
            }
            let parts = [IoSlice::new(&bytes)];
            Ok(sendmsg(stream, &parts, &mut with, SendFlags::NOSIGNAL)?)
        });
        let sent = send.await?;
        self.stream.write_all(&bytes[sent..]).await
    }

    /// The state, with the listener that comes with its first bytes.
    async fn receive(&mut self, limits: &Limits) -> io::Result<(State, OwnedFd)> {
        let stream = &self.stream;
        let mut piece = [0; 4096];
        let receive = stream.async_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut with = RecvAncillaryBuffer::new(&mut space);
            let mut parts = [IoSliceMut::new(&mut piece)];
            let got = recvmsg(stream, &mut parts, &mut with, RecvFlags::CMSG_CLOEXEC)?;
            let fd = with.drain().find_map(|message| match message {
                RecvAncillaryMessage::ScmRights(mut fds) => fds.next(),
                _ => None,
            });
            Ok((got.bytes, fd))
        });
        let (got, fd) = receive.await?;
        self.messages.feed(&piece[..got]);
        let fd = fd.ok_or_else(|| io::Error::other("no listener came"))?;
        match self.message(limits).await? {
            Message::State(state) => Ok((state, fd)),
            _ => Err(io::Error::other("no state came")),
        }
    }

    /// The next message; an error at the end, or at what can't be read.
    async fn message(&mut self, limits: &Limits) -> io::Result<Message> {
        loop {
            let next = self.messages.next(&limits.service);
            if let Some(message) = next.map_err(|fault| io::Error::other(fault.to_string()))? {
                return Ok(message);
            }
            let mut piece = [0; 4096];
            match self.stream.read(&mut piece).await? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                got => self.messages.feed(&piece[..got]),
            }
        }
    }

    /// Passes operators' words on both ways, and the number of descriptors, until either side ends.
    async fn talk(&mut self, side: &Side) -> io::Result<()> {
        let limits = &side.limits;
        let (id, mut changes) = match self.changes.take() {
            Some(changes) => changes,
            None => self.join(&side.service, limits),
        };
        let ended = self.pass(id, &mut changes, side).await;
        side.service.remove_other(id);
        ended
    }

    async fn pass(
        &mut self,
        id: u64,
        changes: &mut mpsc::Receiver<Forward>,
        side: &Side,
    ) -> io::Result<()> {
        let limits = &side.limits;
        let mut waiting: BTreeMap<u32, oneshot::Sender<()>> = BTreeMap::new();
        let (mut number, mut told, mut tick) = (0, None, Instant::now());
        for message in std::mem::take(&mut self.early) {
            self.hear(message, id, &mut waiting, side).await?;
        }
        loop {
            if side.service.stand() != Stand::Serving {
                let holds = side.holds();
                if told.replace(holds) != Some(holds) {
                    self.write(&Message::Holds(holds), limits).await?;
                }
            }
            tick += limits.holds_tick;
            tokio::select! {
                message = self.message(limits) => self.hear(message?, id, &mut waiting, side).await?,
                Some((change, done)) = changes.recv() => {
                    number += 1;
                    waiting.insert(number, done);
                    self.write(&Message::Change(number, change), limits).await?;
                }
                () = sleep_until(tick) => {}
            }
            waiting.retain(|_, done| !done.is_closed());
            tick = tick.max(Instant::now());
        }
    }

    async fn hear(
        &mut self,
        message: Message,
        id: u64,
        waiting: &mut BTreeMap<u32, oneshot::Sender<()>>,
        side: &Side,
    ) -> io::Result<()> {
        match message {
            Message::Change(number, change) => {
                if let Err(error) = side.service.heed(id, change).await {
                    warn!(error, "a word that the other process was told");
                }
                self.write(&Message::InForce(number), &side.limits).await?;
            }
            Message::InForce(number) => {
                if let Some(done) = waiting.remove(&number) {
                    // Who asked may have stopped waiting.
                    let _ = done.send(());
                }
            }
            Message::Holds(holds) => side.requests.lend(holds as usize),
            Message::Serving | Message::Stopped => {}
            Message::Hello | Message::State(_) => {
                return Err(io::Error::other("a message out of turn"));
            }
        }
        Ok(())
    }
}

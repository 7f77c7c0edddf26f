//! Sockets to peers. A member dials every voter of the file and takes links from whoever says the fleet's name.
//! Frames that a peer does not take in time are dropped and counted; a peer that says nothing, takes nothing or
//! says what no member says loses its link. Nothing here waits for a peer but its own two tasks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use rand::Rng;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tracing::{debug, info};
use violetwind_consensus::NodeId;
use violetwind_fleet::{Input, Name, PeerMessage};
use violetwind_net::{SharedTcpStream, connect};

use super::frames::{self, Handshake, Hello};
use super::settings::{FleetSettings, LinkLimits as Limits, PeerConfig};
use crate::log_throttle::LogThrottle;

type Reader = FramedRead<SharedTcpStream, LengthDelimitedCodec>;
type Writer = FramedWrite<SharedTcpStream, LengthDelimitedCodec>;

/// The way to one member.
struct Way {
    number: u64,
    frames: mpsc::Sender<Bytes>,
    bytes: Rc<Cell<usize>>,
}

/// What all links of a member share.
pub struct PeerLinks {
    fleet: Name,
    node: Name,
    id: Option<NodeId>,
    limits: Limits,
    /// The newest link of a name is spoken to.
    ways: RefCell<BTreeMap<Name, Vec<Way>>>,
    next: Cell<u64>,
    accepted: Cell<usize>,
    pub dropped_frames: Cell<u64>,
    inbox: mpsc::Sender<Input>,
    repeats: LogThrottle,
}

impl PeerLinks {
    pub fn new(
        settings: &FleetSettings,
        node: &str,
        id: Option<NodeId>,
        inbox: mpsc::Sender<Input>,
    ) -> Rc<Self> {
        Rc::new(Self {
            fleet: settings.name.clone(),
            node: node.to_string(),
            id,
            limits: settings.link_limits.clone(),
            ways: RefCell::default(),
            next: Cell::default(),
            accepted: Cell::default(),
            dropped_frames: Cell::default(),
            inbox,
            repeats: LogThrottle::new(10, Duration::from_secs(1)),
        })
    }

    /// Sends a frame if there is a link and room in it.
    pub fn send(&self, to: &str, peer: &PeerMessage) {
        let ways = self.ways.borrow();
        let Some(way) = ways.get(to).and_then(|ways| ways.last()) else {
            return;
        };
        let frame = frames::encode_peer(peer);
        let full = way.bytes.get() + frame.len() > self.limits.max_send_queue_bytes;
        let length = frame.len();
        if full || way.frames.try_send(frame).is_err() {
            self.dropped_frames.set(self.dropped_frames.get() + 1);
            if let Some(left_out) = self.repeats.try_acquire() {
                let dropped = self.dropped_frames.get();
                info!(
                    peer = to,
                    dropped, left_out, "a peer does not take its frames: dropped"
                );
            }
            return;
        }
        way.bytes.set(way.bytes.get() + length);
    }

    fn log(&self, peer: &str, why: &dyn std::fmt::Display) {
        if let Some(left_out) = self.repeats.try_acquire() {
            info!(peer, %why, left_out, "a link to a peer ends");
        }
    }

    /// Dials one voter for good.
    pub async fn dial_with_backoff(self: Rc<Self>, peer: PeerConfig) {
        let mut again = self.limits.initial_backoff;
        loop {
            match timeout(self.limits.connect_timeout, self.greet(&peer)).await {
                Ok(Ok((hello, reader, writer))) => {
                    again = self.limits.initial_backoff;
                    let why = self.clone().serve(hello, reader, writer).await;
                    self.log(&peer.node, &why);
                }
                Ok(Err(why)) => debug!(peer = peer.node, why, "not linked"),
                Err(_) => debug!(peer = peer.node, "no link in time"),
            }
            // Those that lost the same peer do not come back in one moment.
            let part = rand::rng().random_range(0.5..1.5);
            sleep(again.mul_f64(part)).await;
            again = (2 * again).min(self.limits.max_backoff);
        }
    }

    fn hello(&self, to: &str) -> Hello {
        Hello {
            fleet: self.fleet.clone(),
            from: self.node.clone(),
            to: to.to_string(),
            node_id: self.id,
        }
    }

    fn frame(&self, stream: TcpStream) -> (Reader, Writer) {
        let _ = stream.set_nodelay(true);
        let stream = SharedTcpStream::new(stream);
        let codec = || frames::frame_codec(self.limits.max_frame_bytes);
        (
            FramedRead::new(stream.clone(), codec()),
            FramedWrite::new(stream, codec()),
        )
    }

    async fn greet(&self, peer: &PeerConfig) -> Result<(Hello, Reader, Writer), String> {
        let stream = connect(peer.address)
            .await
            .map_err(|error| error.into_inner().to_string())?;
        let (mut reader, mut writer) = self.frame(stream);
        let hello = frames::encode_handshake(&Handshake::Hello(self.hello(&peer.node)));
        writer
            .send(hello)
            .await
            .map_err(|error| error.to_string())?;
        match first(&mut reader).await? {
            Handshake::Hello(hello) if hello.from == peer.node => Ok((hello, reader, writer)),
            Handshake::Hello(hello) => Err(format!("\"{}\" answers at its address", hello.from)),
            Handshake::Refused(why) => {
                if let Some(left_out) = self.repeats.try_acquire() {
                    info!(peer = peer.node, why, left_out, "refused by a peer");
                }
                Err(why)
            }
        }
    }

    /// Takes links for good.
    pub async fn accept_links(self: Rc<Self>, listener: TcpListener) {
        let mut tasks = JoinSet::new();
        loop {
            while tasks.try_join_next().is_some() {}
            match listener.accept().await {
                Ok((stream, _)) if self.accepted.get() >= self.limits.max_accepted_links => {
                    drop(stream);
                    self.log("?", &"as many as there may be: a new one is turned away");
                }
                Ok((stream, from)) => {
                    self.accepted.set(self.accepted.get() + 1);
                    let links = self.clone();
                    tasks.spawn_local(async move {
                        let why = links.clone().taken(stream).await;
                        links.accepted.set(links.accepted.get() - 1);
                        links.log(&from.to_string(), &why);
                    });
                }
                Err(error) => {
                    self.log("?", &error);
                    sleep(self.limits.initial_backoff).await;
                }
            }
        }
    }

    async fn taken(self: Rc<Self>, stream: TcpStream) -> String {
        let (mut reader, mut writer) = self.frame(stream);
        let hello = match timeout(self.limits.connect_timeout, first(&mut reader)).await {
            Ok(Ok(Handshake::Hello(hello))) => hello,
            Ok(Ok(Handshake::Refused(why))) => return why,
            Ok(Err(why)) => {
                let refused = frames::encode_handshake(&Handshake::Refused(why.clone()));
                let _ = timeout(self.limits.connect_timeout, writer.send(refused)).await;
                return why;
            }
            Err(_) => return "it does not say who it is".into(),
        };
        let why = if hello.fleet != self.fleet {
            Some(format!(
                "this is fleet \"{}\", not \"{}\"",
                self.fleet, hello.fleet
            ))
        } else if hello.to != self.node {
            Some(format!("this is \"{}\", not \"{}\"", self.node, hello.to))
        } else if hello.from == self.node {
            Some(format!("\"{}\" is this member's own name", self.node))
        } else if hello.from.len() > violetwind_fleet::StateLimits::MAX_NAME_BYTES {
            Some("a name that is too long".to_string())
        } else {
            None
        };
        let answer = match &why {
            None => Handshake::Hello(self.hello(&hello.from)),
            Some(why) => Handshake::Refused(why.clone()),
        };
        match timeout(
            self.limits.connect_timeout,
            writer.send(frames::encode_handshake(&answer)),
        )
        .await
        {
            Ok(Ok(())) => {}
            _ => return "it does not take an answer".into(),
        }
        match why {
            None => self.serve(hello, reader, writer).await,
            Some(why) => format!("\"{}\" was refused: {why}", hello.from),
        }
    }

    /// A link that is up, until it ends; why it did.
    async fn serve(self: Rc<Self>, hello: Hello, reader: Reader, writer: Writer) -> String {
        let (frames, queue) = mpsc::channel(self.limits.send_queue_capacity);
        let bytes = Rc::new(Cell::new(0));
        let number = self.next.replace(self.next.get() + 1);
        let way = Way {
            number,
            frames,
            bytes: bytes.clone(),
        };
        self.ways
            .borrow_mut()
            .entry(hello.from.clone())
            .or_default()
            .push(way);
        info!(peer = hello.from, "linked");
        let met = Input::PeerConnected(hello.from.clone(), hello.node_id);
        let why = match self.inbox.send(met).await {
            Ok(()) => {
                tokio::select! {
                    why = self.read(&hello.from, reader) => why,
                    why = self.write(queue, writer, bytes) => why,
                }
            }
            Err(_) => "this member has ended".into(),
        };
        let mut ways = self.ways.borrow_mut();
        if let Some(of) = ways.get_mut(&hello.from) {
            of.retain(|way| way.number != number);
            if of.is_empty() {
                ways.remove(&hello.from);
            }
        }
        why
    }

    async fn read(&self, from: &str, mut reader: Reader) -> String {
        loop {
            let frame = match timeout(self.limits.silence_timeout, reader.next()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return error.to_string(),
                Ok(None) => return "the peer has closed it".into(),
                Err(_) => return "no whole frame in time".into(),
            };
            match frames::decode_peer(&frame) {
                Ok(None) => {}
                Ok(Some(peer)) => {
                    // The member is quick; while it is not, the peer waits in its own socket.
                    if self
                        .inbox
                        .send(Input::PeerMessage(from.to_string(), peer))
                        .await
                        .is_err()
                    {
                        return "this member has ended".into();
                    }
                }
                Err(why) => return why,
            }
        }
    }

    async fn write(
        &self,
        mut queue: mpsc::Receiver<Bytes>,
        mut writer: Writer,
        bytes: Rc<Cell<usize>>,
    ) -> String {
        loop {
            let frame = match timeout(self.limits.ping_interval, queue.recv()).await {
                Ok(Some(frame)) => {
                    bytes.set(bytes.get() - frame.len());
                    frame
                }
                Ok(None) => return "another link has taken its place".into(),
                Err(_) => frames::encode_ping(),
            };
            let send = async {
                writer.feed(frame).await?;
                // What waits goes in one write.
                while let Ok(frame) = queue.try_recv() {
                    bytes.set(bytes.get() - frame.len());
                    writer.feed(frame).await?;
                }
                SinkExt::<Bytes>::flush(&mut writer).await
            };
            match timeout(self.limits.silence_timeout, send).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return error.to_string(),
                Err(_) => return "it takes nothing".into(),
            }
        }
    }
}

async fn first(reader: &mut Reader) -> Result<Handshake, String> {
    match reader.next().await {
        Some(Ok(frame)) => frames::decode_handshake(&frame),
        Some(Err(error)) => Err(error.to_string()),
        None => Err("closed before a word".into()),
    }
}

pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(128)
}

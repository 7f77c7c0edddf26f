//! Connections to peers, called links. A member dials every configured voter, and accepts links from senders that name
//! its fleet. Frames that do not fit into a peer's send queue are dropped and counted. A link is closed when the peer
//! is silent, accepts no data or sends invalid frames. Only the read and write futures of a link wait for its peer.

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

/// An established link to one member.
struct Link {
    number: u64,
    frame_sender: mpsc::Sender<Bytes>,
    /// Bytes in the send queue.
    queued_bytes: Rc<Cell<usize>>,
}

/// The links of a member, and their common state.
pub struct PeerLinks {
    fleet: Name,
    node: Name,
    node_id: Option<NodeId>,
    limits: Limits,
    /// The links to each peer, the newest last; frames are sent on the newest.
    links: RefCell<BTreeMap<Name, Vec<Link>>>,
    next_link_number: Cell<u64>,
    accepted_count: Cell<usize>,
    /// Frames dropped because of a full send queue.
    pub dropped_frames: Cell<u64>,
    /// Inputs for this member.
    inbox: mpsc::Sender<Input>,
    log_throttle: LogThrottle,
}

impl PeerLinks {
    /// Creates the state without any link.
    pub fn new(
        settings: &FleetSettings,
        node: &str,
        id: Option<NodeId>,
        inbox: mpsc::Sender<Input>,
    ) -> Rc<Self> {
        Rc::new(Self {
            fleet: settings.name.clone(),
            node: node.to_string(),
            node_id: id,
            limits: settings.link_limits.clone(),
            links: RefCell::default(),
            next_link_number: Cell::default(),
            accepted_count: Cell::default(),
            dropped_frames: Cell::default(),
            inbox,
            log_throttle: LogThrottle::new(10, Duration::from_secs(1)),
        })
    }

    /// Queues a message to a peer. It is dropped if there is no link, or if the send queue is full.
    pub fn send(&self, to: &str, message: &PeerMessage) {
        let links = self.links.borrow();
        let Some(link) = links.get(to).and_then(|peer_links| peer_links.last()) else {
            return;
        };
        let frame = frames::encode_peer(message);
        let is_full = link.queued_bytes.get() + frame.len() > self.limits.max_send_queue_bytes;
        let length = frame.len();
        if is_full || link.frame_sender.try_send(frame).is_err() {
            self.dropped_frames.set(self.dropped_frames.get() + 1);
            if let Some(left_out) = self.log_throttle.try_acquire() {
                let dropped = self.dropped_frames.get();
                info!(
                    peer = to,
                    dropped, left_out, "frame dropped: the send queue of a peer is full"
                );
            }
            return;
        }
        link.queued_bytes.set(link.queued_bytes.get() + length);
    }

    fn log_link_end(&self, peer: &str, why: &dyn std::fmt::Display) {
        if let Some(left_out) = self.log_throttle.try_acquire() {
            info!(peer, %why, left_out, "link to a peer closed");
        }
    }

    /// Connects to one voter, and reconnects with backoff whenever the link ends. Does not return.
    pub async fn dial_with_backoff(self: Rc<Self>, peer: PeerConfig) {
        let mut backoff = self.limits.initial_backoff;
        loop {
            match timeout(self.limits.connect_timeout, self.connect_to_peer(&peer)).await {
                Ok(Ok((hello, reader, writer))) => {
                    backoff = self.limits.initial_backoff;
                    let why = self.clone().run_link(hello, reader, writer).await;
                    self.log_link_end(&peer.node, &why);
                }
                Ok(Err(why)) => debug!(peer = peer.node, why, "connecting to a peer failed"),
                Err(_) => debug!(peer = peer.node, "connecting to a peer timed out"),
            }
            // Jitter: members that lost the same peer do not reconnect all at once.
            let jitter = rand::rng().random_range(0.5..1.5);
            sleep(backoff.mul_f64(jitter)).await;
            backoff = (2 * backoff).min(self.limits.max_backoff);
        }
    }

    fn hello(&self, to: &str) -> Hello {
        Hello {
            fleet: self.fleet.clone(),
            from: self.node.clone(),
            to: to.to_string(),
            node_id: self.node_id,
        }
    }

    fn frame_stream(&self, stream: TcpStream) -> (Reader, Writer) {
        let _ = stream.set_nodelay(true);
        let stream = SharedTcpStream::new(stream);
        let codec = || frames::frame_codec(self.limits.max_frame_bytes);
        (
            FramedRead::new(stream.clone(), codec()),
            FramedWrite::new(stream, codec()),
        )
    }

    /// Connects to a peer and exchanges handshakes.
    async fn connect_to_peer(&self, peer: &PeerConfig) -> Result<(Hello, Reader, Writer), String> {
        let stream = connect(peer.address)
            .await
            .map_err(|error| error.into_inner().to_string())?;
        let (mut reader, mut writer) = self.frame_stream(stream);
        let hello = frames::encode_handshake(&Handshake::Hello(self.hello(&peer.node)));
        writer
            .send(hello)
            .await
            .map_err(|error| error.to_string())?;
        match read_handshake(&mut reader).await? {
            Handshake::Hello(hello) if hello.from == peer.node => Ok((hello, reader, writer)),
            Handshake::Hello(hello) => Err(format!(
                "member \"{}\" answered at the peer's address",
                hello.from
            )),
            Handshake::Refused(why) => {
                if let Some(left_out) = self.log_throttle.try_acquire() {
                    info!(peer = peer.node, why, left_out, "a peer refused the link");
                }
                Err(why)
            }
        }
    }

    /// Accepts links. Does not return.
    pub async fn accept_links(self: Rc<Self>, listener: TcpListener) {
        let mut tasks = JoinSet::new();
        loop {
            while tasks.try_join_next().is_some() {}
            match listener.accept().await {
                Ok((stream, _)) if self.accepted_count.get() >= self.limits.max_accepted_links => {
                    drop(stream);
                    self.log_link_end(
                        "?",
                        &"the limit of accepted links is reached: a new link is rejected",
                    );
                }
                Ok((stream, from)) => {
                    self.accepted_count.set(self.accepted_count.get() + 1);
                    let links = self.clone();
                    tasks.spawn_local(async move {
                        let why = links.clone().handle_accepted(stream).await;
                        links.accepted_count.set(links.accepted_count.get() - 1);
                        links.log_link_end(&from.to_string(), &why);
                    });
                }
                Err(error) => {
                    self.log_link_end("?", &error);
                    sleep(self.limits.initial_backoff).await;
                }
            }
        }
    }

    /// Runs an accepted link to its end, and returns the reason of the end.
    async fn handle_accepted(self: Rc<Self>, stream: TcpStream) -> String {
        let (mut reader, mut writer) = self.frame_stream(stream);
        let hello = match timeout(self.limits.connect_timeout, read_handshake(&mut reader)).await {
            Ok(Ok(Handshake::Hello(hello))) => hello,
            Ok(Ok(Handshake::Refused(why))) => return why,
            Ok(Err(why)) => {
                let refused = frames::encode_handshake(&Handshake::Refused(why.clone()));
                let _ = timeout(self.limits.connect_timeout, writer.send(refused)).await;
                return why;
            }
            Err(_) => return "no handshake within the connect timeout".into(),
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
            _ => return "the handshake answer could not be sent".into(),
        }
        match why {
            None => self.run_link(hello, reader, writer).await,
            Some(why) => format!("the link of \"{}\" was refused: {why}", hello.from),
        }
    }

    /// Runs an established link until it ends, and returns the reason of the end.
    async fn run_link(self: Rc<Self>, hello: Hello, reader: Reader, writer: Writer) -> String {
        let (frame_sender, queue) = mpsc::channel(self.limits.send_queue_capacity);
        let queued_bytes = Rc::new(Cell::new(0));
        let number = self
            .next_link_number
            .replace(self.next_link_number.get() + 1);
        let link = Link {
            number,
            frame_sender,
            queued_bytes: queued_bytes.clone(),
        };
        self.links
            .borrow_mut()
            .entry(hello.from.clone())
            .or_default()
            .push(link);
        info!(peer = hello.from, "link to a peer established");
        let connected = Input::PeerConnected(hello.from.clone(), hello.node_id);
        let why = match self.inbox.send(connected).await {
            Ok(()) => {
                tokio::select! {
                    why = self.read_frames(&hello.from, reader) => why,
                    why = self.write_frames(queue, writer, queued_bytes) => why,
                }
            }
            Err(_) => "this member has ended".into(),
        };
        let mut links = self.links.borrow_mut();
        if let Some(peer_links) = links.get_mut(&hello.from) {
            peer_links.retain(|link| link.number != number);
            if peer_links.is_empty() {
                links.remove(&hello.from);
            }
        }
        why
    }

    /// Passes received messages to the member until the link ends, and returns the reason of the end.
    async fn read_frames(&self, from: &str, mut reader: Reader) -> String {
        loop {
            let frame = match timeout(self.limits.silence_timeout, reader.next()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return error.to_string(),
                Ok(None) => return "the peer closed the connection".into(),
                Err(_) => return "no complete frame within the silence timeout".into(),
            };
            match frames::decode_peer(&frame) {
                Ok(None) => {}
                Ok(Some(message)) => {
                    // Backpressure: while the inbox is full, the peer's data waits in the socket.
                    if self
                        .inbox
                        .send(Input::PeerMessage(from.to_string(), message))
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

    /// Writes queued frames, and pings while there are none, until the link ends. Returns the reason of the end.
    async fn write_frames(
        &self,
        mut queue: mpsc::Receiver<Bytes>,
        mut writer: Writer,
        queued_bytes: Rc<Cell<usize>>,
    ) -> String {
        loop {
            let frame = match timeout(self.limits.ping_interval, queue.recv()).await {
                Ok(Some(frame)) => {
                    queued_bytes.set(queued_bytes.get() - frame.len());
                    frame
                }
                Ok(None) => return "another link has replaced this one".into(),
                Err(_) => frames::encode_ping(),
            };
            let send = async {
                writer.feed(frame).await?;
                // All queued frames are written with one flush.
                while let Ok(frame) = queue.try_recv() {
                    queued_bytes.set(queued_bytes.get() - frame.len());
                    writer.feed(frame).await?;
                }
                SinkExt::<Bytes>::flush(&mut writer).await
            };
            match timeout(self.limits.silence_timeout, send).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return error.to_string(),
                Err(_) => return "the peer accepted no data within the silence timeout".into(),
            }
        }
    }
}

/// Reads the first frame of a link; an error text may be sent to the peer.
async fn read_handshake(reader: &mut Reader) -> Result<Handshake, String> {
    match reader.next().await {
        Some(Ok(frame)) => frames::decode_handshake(&frame),
        Some(Err(error)) => Err(error.to_string()),
        None => Err("closed before a word".into()),
    }
}

/// Opens the listener for links.
///
/// # Errors
/// If a socket call fails.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(128)
}

//! A host that neither accepts nor refuses connections.

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use crate::WAIT_TIMEOUT;

/// State in `/proc/net/tcp` of a connection whose peer has not answered yet.
const SYN_SENT: &str = "02";

/// A host that neither accepts nor refuses connections, because its accept queue is full.
pub struct UnresponsiveHost {
    pub addr: SocketAddr,
    listener: Socket,
    fillers: Vec<Socket>,
}

impl UnresponsiveHost {
    /// Listens on a free loopback port with a full accept queue.
    pub fn start() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        listener.bind(&any.into()).unwrap();
        listener.listen(0).unwrap();
        let addr = listener.local_addr().unwrap().as_socket().unwrap();
        let fill_slot = |_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            // Established or pending, each of these connections fills the queue.
            let _ = socket.connect(&addr.into());
            socket
        };
        Self {
            addr,
            listener,
            fillers: (0..4).map(fill_slot).collect(),
        }
    }

    /// Local addresses of the connections that fill the queue.
    fn filler_addrs(&self) -> Vec<SocketAddr> {
        let addr = |socket: &Socket| socket.local_addr().ok()?.as_socket();
        self.fillers.iter().filter_map(addr).collect()
    }

    /// Waits until exactly `dials` connection attempts of other sockets are pending, according to `/proc/net/tcp`.
    pub fn wait_for_pending_connections(&self, dials: usize) {
        let filler_ports: Vec<u16> = self.filler_addrs().iter().map(SocketAddr::port).collect();
        let port = |field: &str| u16::from_str_radix(field.rsplit(':').next()?, 16).ok();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            let pending = table.lines().skip(1).filter(|line| {
                let fields: Vec<&str> = line.split_whitespace().collect();
                let [_, local, remote, state, ..] = fields[..] else {
                    return false;
                };
                let is_foreign = port(local).is_some_and(|local| !filler_ports.contains(&local));
                is_foreign && port(remote) == Some(self.addr.port()) && state == SYN_SENT
            });
            let pending = pending.count();
            if pending == dials {
                return;
            }
            let timed_out = Instant::now() >= deadline;
            assert!(
                !timed_out,
                "{pending} connection attempts pending, expected {dials}"
            );
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Makes room in the accept queue, and accepts the next connection that is not one of the queue fillers.
    pub fn recover_and_accept(&self) -> TcpStream {
        let filler_addrs = self.filler_addrs();
        // From here on the queue has room for all pending connections.
        self.listener.listen(128).unwrap();
        self.listener.set_nonblocking(true).unwrap();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            match self.listener.accept() {
                Ok((socket, from))
                    if from
                        .as_socket()
                        .is_none_or(|from| !filler_addrs.contains(&from)) =>
                {
                    socket.set_nonblocking(false).unwrap();
                    return socket.into();
                }
                Ok(_) => {}
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        panic!("no connection attempt arrived in time");
    }
}

//! A machine that is cut off.

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use crate::WAIT_TIMEOUT;

/// The kernel's number for a connection whose peer has not answered yet.
const SYN_SENT: &str = "02";

/// A machine that takes no connection and refuses none: its queue of new ones is full.
pub struct UnresponsiveHost {
    pub addr: SocketAddr,
    listener: Socket,
    queue: Vec<Socket>,
}

impl UnresponsiveHost {
    pub fn start() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        listener.bind(&any.into()).unwrap();
        listener.listen(0).unwrap();
        let addr = listener.local_addr().unwrap().as_socket().unwrap();
        let fill = |_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            // It comes up or hangs; either fills the queue.
            let _ = socket.connect(&addr.into());
            socket
        };
        Self {
            addr,
            listener,
            queue: (0..4).map(fill).collect(),
        }
    }

    fn own(&self) -> Vec<SocketAddr> {
        let addr = |socket: &Socket| socket.local_addr().ok()?.as_socket();
        self.queue.iter().filter_map(addr).collect()
    }

    /// Waits until others have so many dials under way, by the kernel's own list of sockets.
    pub fn wait_for_dials(&self, dials: usize) {
        let own: Vec<u16> = self.own().iter().map(SocketAddr::port).collect();
        let port = |field: &str| u16::from_str_radix(field.rsplit(':').next()?, 16).ok();
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            let under_way = table.lines().skip(1).filter(|line| {
                let fields: Vec<&str> = line.split_whitespace().collect();
                let [_, local, remote, state, ..] = fields[..] else {
                    return false;
                };
                let others = port(local).is_some_and(|local| !own.contains(&local));
                others && port(remote) == Some(self.addr.port()) && state == SYN_SENT
            });
            let under_way = under_way.count();
            if under_way == dials {
                return;
            }
            let late = Instant::now() >= until;
            assert!(!late, "{under_way} dials under way in place of {dials}");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// It is there again: the next connection that somebody else has dialled, which comes up late.
    pub fn recover_and_accept(&self) -> TcpStream {
        let own = self.own();
        // From here on its queue has room for all.
        self.listener.listen(128).unwrap();
        self.listener.set_nonblocking(true).unwrap();
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            match self.listener.accept() {
                Ok((socket, from)) if from.as_socket().is_none_or(|from| !own.contains(&from)) => {
                    socket.set_nonblocking(false).unwrap();
                    return socket.into();
                }
                Ok(_) => {}
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        panic!("nobody dials");
    }
}

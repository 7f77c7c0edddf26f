//! A machine that is cut off.

use std::net::SocketAddr;

use socket2::{Domain, Socket, Type};

/// A machine that takes no connection and refuses none: its queue of new ones is full.
pub struct Vanished {
    pub addr: SocketAddr,
    _listener: socket2::Socket,
    _queue: Vec<socket2::Socket>,
}

impl Vanished {
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
            _listener: listener,
            _queue: (0..4).map(fill).collect(),
        }
    }
}

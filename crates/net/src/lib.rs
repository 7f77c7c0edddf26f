//! Socket calls as Linux documents them.
//!
//! A call may be interrupted (`EINTR`) at any time: it is made again. A read or a write may be short while the socket
//! stays ready. The runtime's own `AsyncRead` and `AsyncWrite` take a short call as a sign that the socket is no
//! longer ready and wait for an edge that may never come; the functions here trust `EAGAIN` alone. A call may fail
//! because this machine is short of descriptors, buffers or ports: that says nothing about the peer, and
//! [`is_shortage`] tells it apart.

mod dial;
mod exhaustion;
mod socket;
mod stream;

pub use dial::{DialError, connect};
pub use exhaustion::{is_resource_exhaustion, retry_on_exhaustion};
pub use socket::{
    Socket, is_open_and_idle, read_now, retry_interrupted, try_read, try_write, write_all,
};
pub use stream::SharedTcpStream;

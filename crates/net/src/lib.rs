//! Socket calls that follow the semantics documented for Linux.
//!
//! A call may be interrupted (`EINTR`) at any time and is repeated then. A read or a write may be short while the
//! socket remains ready. The runtime's own `AsyncRead` and `AsyncWrite` treat a short call as a sign that the socket is
//! no longer ready, and wait for an edge that may never come; the functions here rely on `EAGAIN` alone. A call may
//! fail because this machine lacks descriptors, buffers or ports. Such a failure is not caused by the peer;
//! [`is_resource_exhaustion`] recognises it.

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

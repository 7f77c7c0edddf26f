//! Failures that come from this machine and not from the peer.

use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

/// `errno` values without a stable `ErrorKind`: the same on all of Linux's architectures that Rust supports.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOBUFS: i32 = 105;

/// Whether a call failed for want of this machine's own means: descriptors, memory, buffers, local ports.
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS))
        || matches!(
            error.kind(),
            ErrorKind::OutOfMemory | ErrorKind::AddrNotAvailable | ErrorKind::Interrupted
        )
}

/// Makes a call that opens a listener again while it fails by a shortage, for at most `within`. An address that is
/// not this machine's is no shortage there.
///
/// # Errors
/// Any other failure at once, and the shortage once the time is over.
pub async fn retry_on_exhaustion<T>(
    within: Duration,
    pause: Duration,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let until = Instant::now() + within;
    loop {
        match call() {
            Err(error)
                if is_resource_exhaustion(&error)
                    && error.kind() != ErrorKind::AddrNotAvailable
                    && Instant::now() < until =>
            {
                tokio::time::sleep(pause).await;
            }
            result => return result,
        }
    }
}

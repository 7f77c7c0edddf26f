//! Failures that are caused by this machine and not by the peer.

use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

/// `errno` values without a stable `ErrorKind`. They are the same on all Linux architectures that Rust supports.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOBUFS: i32 = 105;

/// Whether a call failed because this machine lacks resources (descriptors, memory, buffers or local ports) or because
/// the call was interrupted.
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS))
        || matches!(
            error.kind(),
            ErrorKind::OutOfMemory | ErrorKind::AddrNotAvailable | ErrorKind::Interrupted
        )
}

/// Retries a call that opens a listener while it fails for lack of resources, every `pause` and for at most `within`.
/// `AddrNotAvailable` is not retried: for a listener it means that the address does not belong to this machine.
///
/// # Errors
/// Any other failure at once, and the lack of resources after `within`.
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

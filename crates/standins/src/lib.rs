//! Small stand-ins for what surrounds a proxy: clients, servers, discovery and Consul, on free ports of
//! the loopback network, faulty on command. They decide nothing about whether a test passes; a thread
//! a connection keeps each of them plain. Some can be run by hand (`src/bin`).

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

pub mod budget_workload;
pub mod consul;
pub mod duty_history;
pub mod echo_server;
pub mod faults;
pub mod fleet_harness;
pub mod http;
mod line_connection;
pub mod receiver;
mod registry;
pub mod relay;
mod server;
pub mod soak;
mod unresponsive_host;
pub mod work_orders;

pub use line_connection::{ConnectionEnd, LineConnection};
pub use registry::{Discovery, DiscoveryMode};
pub use server::{Arrival, Pingable, Server, target_row};
pub use unresponsive_host::UnresponsiveHost;

/// Far longer than anything should take: a wait that long is a failure.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// An address that nothing listens on, and that nobody else is given: no other test has its host,
/// and the system gives no such port to connections. A port that was free a moment ago may not be now.
pub fn unused_addr() -> SocketAddr {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let id = std::process::id();
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let host = Ipv4Addr::new(127, 64 + (id >> 8) as u8 % 64, id as u8, count as u8);
    (host, 3000 + (count >> 8) as u16).into()
}

/// Milliseconds of the machine's clock that does not go back, the same for all its processes: the one that the
/// program writes into its log.
pub fn boottime_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}

/// Microseconds of CLOCK_MONOTONIC, as the program's log lines of attempts have them.
pub fn monotonic_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}

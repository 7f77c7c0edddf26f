//! Small stand-ins for the systems around a proxy: clients, servers, discovery and Consul, on free ports of
//! the loopback network, with faults that a test can switch on. The stand-ins themselves don't decide whether a test
//! passes; the tests do, with the checks of records in `duty_history`, `work_orders` and `soak`. Each uses one thread
//! per connection to stay simple. Some can be run by hand (`src/bin`).

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

/// Upper bound of every wait, far above any expected duration: reaching it is a failure.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Returns a loopback address that nothing listens on and that no other caller receives: the host is derived from
/// the process id, and the port is outside the ephemeral range. Binding to port 0 and releasing it would not be
/// enough, since a port that was free a moment ago may be taken by now.
pub fn unused_addr() -> SocketAddr {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let id = std::process::id();
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let host = Ipv4Addr::new(127, 64 + (id >> 8) as u8 % 64, id as u8, count as u8);
    (host, 3000 + (count >> 8) as u16).into()
}

/// Milliseconds of CLOCK_BOOTTIME: monotonic, the same for all processes of the machine, and the clock that the
/// program under test writes into its log.
pub fn boottime_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}

/// Microseconds of CLOCK_MONOTONIC, the clock of the log lines that the program under test writes for attempts.
pub fn monotonic_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}

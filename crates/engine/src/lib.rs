//! Event loop that owns the balancer. Protocol front ends and service discovery sources send it [`EngineEvent`]s and
//! receive [`ConnectionCommand`]s. The crate depends on none of them and contains no protocol code.
//!
//! The engine never waits for a connection and holds no lock: commands are sent over bounded channels. If a
//! connection's channel is full, the engine logs that and leaves the connection to its own deadline.

mod clock;
mod engine;
mod limits;
mod messages;
mod move_schedule;
mod sources;
pub mod start_times;

pub use clock::{Clock, monotonic_us};
pub use engine::{Engine, EngineConfig, ProbeSender, to_catalogue_row};
pub use limits::Limits;
pub use messages::{
    ConnectionCommand, EngineEvent, ListedServer, MachinesSnapshot, ObservedMachine,
    ObservedServer, OperatorReply, UnlistedServers,
};

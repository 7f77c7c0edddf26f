//! Sole owner of the balancer. Fronts (what clients and servers speak) and sources (what tells of
//! servers) send it [`Notice`]s and get [`Order`]s; it depends on none of them and knows no protocol.
//!
//! It never waits for a connection and holds no lock: orders go out over bounded channels, and one that
//! does not take its orders is told in the log and left to its own deadline.

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

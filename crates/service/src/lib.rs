//! What settles the day-to-day service of a proxy, without I/O, clock or chance: the operators' calls
//! ([`call`]), the servers they keep out ([`bans`]), machines that orders have out ([`machines`]), how a proxy is emptied ([`leaving`]), and what a proxy
//! and its successor say to each other ([`handover`]).

pub mod bans;
pub mod command;
pub mod drain;
pub mod handover;
mod limits;
pub mod machines;

pub use bans::{Bans, ChangeOutcome};
pub use command::{CommandDecoder, OperatorChange, OperatorCommand};
pub use drain::admission_during_drain;
pub use limits::Limits;
pub use machines::{MachineMap, MachinesOut};

/// Milliseconds of a clock that is never stepped and is the same for all processes of a machine.
pub type Millis = u64;

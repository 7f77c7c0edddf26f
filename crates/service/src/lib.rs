//! Rules of a proxy's day-to-day operation, without I/O, clock or randomness: operators' commands ([`command`]),
//! servers that operators ban ([`bans`]), machines that work orders take out of service ([`machines`]), the drain of a
//! proxy ([`drain`]), and the messages between a proxy and its successor ([`handover`]).

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

/// Time in milliseconds of a clock that is never stepped and is the same for all processes of a machine.
pub type Millis = u64;

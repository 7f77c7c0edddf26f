//! A fleet in simulated time. Everything random comes from streams of the run's seed, one a purpose, so
//! that two policies on one seed meet the same clients, loads and troubles.

mod budgets;
mod policy;
mod rules;
mod server;
mod simulation;

pub use policy::{GroundTruth, Policy, PolicyKind};
pub use rules::{Breach, Rule};
pub use simulation::{Outcome, WorkOutcome, simulate};

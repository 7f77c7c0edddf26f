//! Simulation of a fleet in simulated time. Each purpose takes its random numbers from a separate stream derived from
//! the run's seed, so that two policies run with the same seed see the same clients, loads and troubles.

mod budgets;
mod policy;
mod rules;
mod server;
mod simulation;

pub use policy::{GroundTruth, Policy, PolicyKind};
pub use rules::{Breach, Rule};
pub use simulation::{Outcome, WorkOutcome, simulate};

//! The fleet lab: what a setting or a version of the module does to a whole fleet, before it is tried on
//! one. [`scenario`] says what is played, [`model`] plays it in simulated time on the real `Balancer`,
//! [`stats`] says how sure a difference is, [`experiment`] runs seeds side by side.

pub mod experiment;
pub mod fleet;
pub mod model;
pub mod replay;
pub mod report;
pub mod scenario;
pub mod scenario_search;
pub mod soak;
pub mod stats;
pub mod storm;
pub mod storm_processes;

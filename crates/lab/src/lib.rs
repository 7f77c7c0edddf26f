//! The fleet lab evaluates settings and versions of the balancer on a whole fleet before they are deployed.
//! [`scenario`] describes a fleet and its troubles, [`model`] simulates it in simulated time with the real `Balancer`,
//! [`stats`] computes confidence intervals, and [`experiment`] runs several seeds in parallel.

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

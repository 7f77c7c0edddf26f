//! The decisions of the violetwind balancer.
//!
//! The library does no input or output and reads no clock: a host feeds events to
//! [`Balancer::handle`] with the present time and carries out the actions that come back.
//! The same settings, seed and events always give the same actions.

pub mod api;
mod decay;
pub mod policy;
mod quotas;
mod state;

pub use policy::Balancer;

//! The decision module of the violetwind load balancer.
//!
//! The library does no input or output and reads no clock: a host passes events with the present time to
//! [`Balancer::handle_event`] and carries out the actions that it returns. The same settings, seed and events always
//! give the same actions.

pub mod api;
mod decay;
pub mod policy;
mod quotas;
mod state;

pub use policy::Balancer;

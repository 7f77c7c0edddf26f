//! Connects balancers to the simulator: the codec of its line protocol, and the host that runs balancer instances. It
//! makes no decisions of its own.

pub mod codec;
pub mod host;

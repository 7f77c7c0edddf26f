//! The simulator's wire: the codec and the host that runs balancers behind it. No decisions.

pub mod codec;
pub mod host;

//! Many processes in simulated time, on the real sans-IO code: links that delay, lose, repeat and cut, one
//! way too; disks that lose what is not synced; processes that stop, die and come back. One seed replays
//! all. The books are kept here, outside of what is tried, and each of them is shown to find an error that is
//! planted in the host.

pub mod explore;
pub mod fleet;
pub mod linear;
pub mod log;
pub mod night;
pub mod script;

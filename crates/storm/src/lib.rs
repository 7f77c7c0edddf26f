//! Many processes in simulated time, on the real sans-IO code: links that delay, lose, repeat and cut, one
//! way too; disks that lose what is not synced; processes that stop, die and come back. One seed replays
//! all. The books are kept here, outside of what is tried, and each of them is shown to find an error that is
//! planted in the host.

pub mod explorer;
pub mod fleet;
pub mod linearizability;
pub mod replicated_log;
pub mod script;
pub mod work_orders;

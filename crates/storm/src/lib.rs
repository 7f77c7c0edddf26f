//! Deterministic simulation of many processes in simulated time, running the real sans-IO code. Links delay, lose and
//! duplicate messages and can be cut in one or both directions; disks lose unsynced writes; processes are stopped,
//! killed and restarted. A seed reproduces the whole run. The invariant checks keep their own records, outside the code
//! under test, and each of them is shown to detect a bug that is injected into the host.

pub mod explorer;
pub mod fleet;
pub mod linearizability;
pub mod replicated_log;
pub mod script;
pub mod work_orders;

//! The durable state of a voter: a write-ahead log in segments, in a directory of its own.
//!
//! | file | content |
//! | --- | --- |
//! | `member` | the fleet, the name and the id of the member that owns the directory |
//! | `log.N` | segment N: a snapshot and the records after it; the segment with the highest number is in use |
//! | `acked` | the segment and the byte offset up to which records were acknowledged |
//! | `lock` | the lock file of the process that uses the directory |
//!
//! Assumptions about the disk: a successful sync makes durable what was written since the last successful sync; after
//! a failed sync it is unknown what is durable, even if the next sync succeeds. Data that no successful sync has
//! covered is therefore written again before it is acknowledged, and a process that starts on a segment with records
//! beyond the `acked` offset writes a new segment first. Once a newer segment may have been renamed to its final
//! name, nothing is appended to the older one.
//!
//! A truncated record beyond the `acked` offset was never acknowledged and is dropped. Anything else that can't be read
//! is an error with file and byte offset; the store never guesses the lost content.

mod directory;
mod error;
mod frame;
mod log;
mod writer;

pub use error::StoreError;
pub use log::{Settings, Store};
pub use writer::{DiskEvent, RecordSender, spawn_writer};

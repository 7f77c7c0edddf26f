//! The durable state of a voter: a write-ahead log in segments, in a directory of its own.
//!
//! | file | what it holds |
//! | --- | --- |
//! | `member` | whose directory it is |
//! | `log.N` | segment N: a snapshot, then the records that followed it; the highest number counts |
//! | `acked` | up to which byte of which segment records were acknowledged |
//! | `lock` | held while a process uses the directory |
//!
//! Assumptions on the disk: a sync that succeeds has put on disk what was written since the last sync that succeeded;
//! one that fails says nothing of what is on disk, also when the next one succeeds. Whatever was not covered by a
//! successful sync is therefore written again before it is acknowledged, and a process that starts on a segment with
//! records behind the `acked` mark writes a new segment first. Nothing is appended to a segment once a newer one may
//! have its name.
//!
//! A record that ends early behind the mark was never acknowledged and is dropped. Anything else that can't be read is
//! refused with its file and byte: it is never guessed over.

mod directory;
mod error;
mod frame;
mod log;
mod writer;

pub use error::StoreError;
pub use log::{Settings, Store};
pub use writer::{DiskEvent, RecordSender, spawn_writer};

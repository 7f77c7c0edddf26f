//! Errors of the store.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Why a directory can't be used, permanently or for now.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A system call failed; a retry may succeed.
    #[error("{}: {error}", path.display())]
    Io { path: PathBuf, error: io::Error },
    /// Another process holds the lock.
    #[error("{}: another process uses this directory", path.display())]
    InUse { path: PathBuf },
    /// A file is damaged or missing; `offset` is the byte at which reading failed.
    #[error("{}: byte {offset}: {detail}; nothing is guessed: empty the directory and let the member in again", path.display())]
    Corrupted {
        path: PathBuf,
        offset: u64,
        detail: String,
    },
    /// The directory belongs to another fleet or node.
    #[error("{}: the directory belongs to \"{node}\" of fleet \"{fleet}\"", path.display())]
    WrongOwner {
        path: PathBuf,
        fleet: String,
        node: String,
    },
}

impl StoreError {
    /// Whether a retry may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Io { .. } | Self::InUse { .. })
    }

    /// Whether the disk is full, or a disk quota or a file size limit is exhausted.
    pub fn is_full(&self) -> bool {
        use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
        let Self::Io { error, .. } = self else {
            return false;
        };
        matches!(error.kind(), StorageFull | QuotaExceeded | FileTooLarge)
    }
}

/// Adds the path to the error of a failed system call.
pub(crate) fn io_error_at(path: &Path) -> impl Fn(io::Error) -> StoreError + '_ {
    move |error| StoreError::Io {
        path: path.to_path_buf(),
        error,
    }
}

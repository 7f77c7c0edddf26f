//! What can be wrong with a directory.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Why a directory can't be used, or not now.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A call failed: the next one may not.
    #[error("{}: {error}", path.display())]
    Io { path: PathBuf, error: io::Error },
    #[error("{}: another process uses this directory", path.display())]
    InUse { path: PathBuf },
    #[error("{}: byte {offset}: {detail}; nothing is guessed: empty the directory, and let it in anew", path.display())]
    Corrupted {
        path: PathBuf,
        offset: u64,
        detail: String,
    },
    #[error("{}: it belongs to \"{node}\" of fleet \"{fleet}\"", path.display())]
    WrongOwner {
        path: PathBuf,
        fleet: String,
        node: String,
    },
}

impl StoreError {
    /// Whether the same may succeed later.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Io { .. } | Self::InUse { .. })
    }

    /// Whether a disk, a quota or a limit is full.
    pub fn is_full(&self) -> bool {
        use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
        let Self::Io { error, .. } = self else {
            return false;
        };
        matches!(error.kind(), StorageFull | QuotaExceeded | FileTooLarge)
    }
}

/// Names the path of a failed call.
pub(crate) fn io_error_at(path: &Path) -> impl Fn(io::Error) -> StoreError + '_ {
    move |error| StoreError::Io {
        path: path.to_path_buf(),
        error,
    }
}

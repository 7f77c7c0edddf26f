//! The files of a data directory, and the lock that excludes other processes.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

use rustix::fs::{FlockOperation, flock};
use serde::{Deserialize, Serialize};
use violetwind_consensus::NodeId;

use crate::error::{StoreError, io_error_at};
use crate::frame;

/// The format version of the `member` file.
const VERSION: u8 = 1;

/// The member that a directory belongs to, as stored in the `member` file.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Owner {
    pub fleet: String,
    pub node: String,
    pub id: NodeId,
}

/// A locked data directory.
#[derive(Debug)]
pub(crate) struct Directory {
    path: PathBuf,
    /// The open file holds the lock.
    _lock: File,
}

impl Directory {
    /// Creates the directory if it does not exist, and locks it.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        fs::create_dir_all(path).map_err(io_error_at(path))?;
        let lock_path = path.join("lock");
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path);
        let lock = lock.map_err(io_error_at(&lock_path))?;
        let locked = flock(&lock, FlockOperation::NonBlockingLockExclusive);
        locked.map_err(|_| StoreError::InUse {
            path: path.to_path_buf(),
        })?;
        Ok(Self {
            path: path.to_path_buf(),
            _lock: lock,
        })
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    pub fn file_path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    pub fn segment_path(&self, number: u64) -> PathBuf {
        self.path.join(format!("log.{number}"))
    }

    /// The numbers of the segments, in order.
    pub fn segment_numbers(&self) -> Result<Vec<u64>, StoreError> {
        let mut numbers = Vec::new();
        for entry in fs::read_dir(&self.path).map_err(io_error_at(&self.path))? {
            let name = entry.map_err(io_error_at(&self.path))?.file_name();
            let number = name
                .to_str()
                .and_then(|name| name.strip_prefix("log."))
                .and_then(|number| number.parse::<u64>().ok());
            numbers.extend(number);
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Reads a whole file; `None` if it does not exist.
    pub fn read_file(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let path = self.file_path(name);
        match fs::read(&path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(StoreError::Io { path, error }),
        }
    }

    /// Syncs the directory, so that created and renamed files are on disk under their names.
    pub fn sync(&self) -> Result<(), StoreError> {
        let synced = File::open(&self.path).and_then(|directory| directory.sync_all());
        synced.map_err(io_error_at(&self.path))
    }

    /// Writes and syncs a file under a temporary name.
    pub fn write_temp_file(&self, name: &str, bytes: &[u8]) -> Result<File, StoreError> {
        let path = self.temp_path(name);
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(true)
            .read(true)
            .write(true)
            .open(&path)
            .map_err(io_error_at(&path))?;
        file.write_all(bytes).map_err(io_error_at(&path))?;
        file.sync_all().map_err(io_error_at(&path))?;
        Ok(file)
    }

    /// Renames a temporary file to its final name, which is durable only after [`Directory::sync`].
    pub fn rename_temp_file(&self, name: &str) -> Result<(), StoreError> {
        let path = self.file_path(name);
        fs::rename(self.temp_path(name), &path).map_err(io_error_at(&path))
    }

    /// Replaces a small file atomically and durably.
    pub fn replace_file(&self, name: &str, bytes: &[u8]) -> Result<File, StoreError> {
        let file = self.write_temp_file(name, bytes)?;
        self.rename_temp_file(name)?;
        self.sync()?;
        Ok(file)
    }

    fn temp_path(&self, name: &str) -> PathBuf {
        self.path.join(format!("{name}.new"))
    }

    /// Reads the owner of the directory; a new directory is assigned to `new_owner`.
    ///
    /// # Errors
    /// [`StoreError::WrongOwner`] if the directory belongs to another fleet or node, [`StoreError::Corrupted`], or
    /// [`StoreError::Io`].
    pub fn load_or_create_owner(&self, new_owner: Owner) -> Result<Owner, StoreError> {
        let path = self.file_path("member");
        let corrupted = |detail: String| StoreError::Corrupted {
            path: path.clone(),
            offset: 0,
            detail,
        };
        let Some(bytes) = self.read_file("member")? else {
            if !self.segment_numbers()?.is_empty() {
                return Err(corrupted(
                    "the file is missing, but log segments exist".into(),
                ));
            }
            self.replace_file(
                "member",
                &[&[VERSION][..], &frame::encode(&new_owner)].concat(),
            )?;
            return Ok(new_owner);
        };
        let (&version, rest) = bytes
            .split_first()
            .ok_or_else(|| corrupted("empty".into()))?;
        if version != VERSION {
            let detail = format!("unsupported version {version}, expected {VERSION}");
            return Err(corrupted(detail));
        }
        let (owner, _): (Owner, usize) = frame::decode(rest).map_err(corrupted)?;
        if (&owner.fleet, &owner.node) != (&new_owner.fleet, &new_owner.node) {
            return Err(StoreError::WrongOwner {
                path,
                fleet: owner.fleet,
                node: owner.node,
            });
        }
        Ok(owner)
    }
}

//! The files of a directory, and the lock that keeps other processes out.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

use rustix::fs::{FlockOperation, flock};
use serde::{Deserialize, Serialize};
use violetwind_consensus::NodeId;

use crate::error::{StoreError, io_error_at};
use crate::frame;

const VERSION: u8 = 1;

/// Whose directory it is.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Owner {
    pub fleet: String,
    pub node: String,
    pub id: NodeId,
}

#[derive(Debug)]
pub(crate) struct Directory {
    path: PathBuf,
    /// Held for as long as this is.
    _lock: File,
}

impl Directory {
    /// Makes the directory if need be, and locks it.
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
        let mut found = Vec::new();
        for entry in fs::read_dir(&self.path).map_err(io_error_at(&self.path))? {
            let name = entry.map_err(io_error_at(&self.path))?.file_name();
            let number = name
                .to_str()
                .and_then(|name| name.strip_prefix("log."))
                .and_then(|number| number.parse::<u64>().ok());
            found.extend(number);
        }
        found.sort_unstable();
        Ok(found)
    }

    pub fn read_file(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let path = self.file_path(name);
        match fs::read(&path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(StoreError::Io { path, error }),
        }
    }

    /// Puts the names of files on disk.
    pub fn sync(&self) -> Result<(), StoreError> {
        let synced = File::open(&self.path).and_then(|directory| directory.sync_all());
        synced.map_err(io_error_at(&self.path))
    }

    /// Writes a file that has another name yet; its bytes are on disk when this returns.
    pub fn write_temp_file(&self, name: &str, bytes: &[u8]) -> Result<File, StoreError> {
        let path = self.aside(name);
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

    /// Gives such a file its name, which is not on disk before [`Directory::sync`].
    pub fn rename_temp_file(&self, name: &str) -> Result<(), StoreError> {
        let path = self.file_path(name);
        fs::rename(self.aside(name), &path).map_err(io_error_at(&path))
    }

    /// Writes a small file so that it is there whole or not at all.
    pub fn replace_file(&self, name: &str, bytes: &[u8]) -> Result<File, StoreError> {
        let file = self.write_temp_file(name, bytes)?;
        self.rename_temp_file(name)?;
        self.sync()?;
        Ok(file)
    }

    fn aside(&self, name: &str) -> PathBuf {
        self.path.join(format!("{name}.new"))
    }

    /// The owner that the directory names; a new one gets `fresh`.
    pub fn load_or_create_owner(&self, fresh: Owner) -> Result<Owner, StoreError> {
        let path = self.file_path("member");
        let damaged = |what: String| StoreError::Corrupted {
            path: path.clone(),
            offset: 0,
            detail: what,
        };
        let Some(bytes) = self.read_file("member")? else {
            if !self.segment_numbers()?.is_empty() {
                return Err(damaged("it is missing, and there are records".into()));
            }
            self.replace_file("member", &[&[VERSION][..], &frame::encode(&fresh)].concat())?;
            return Ok(fresh);
        };
        let (&version, rest) = bytes.split_first().ok_or_else(|| damaged("empty".into()))?;
        if version != VERSION {
            let what = format!("version {version}, and this program knows {VERSION}");
            return Err(damaged(what));
        }
        let (owner, _): (Owner, usize) = frame::decode(rest).map_err(damaged)?;
        if (&owner.fleet, &owner.node) != (&fresh.fleet, &fresh.node) {
            return Err(StoreError::WrongOwner {
                path,
                fleet: owner.fleet,
                node: owner.node,
            });
        }
        Ok(owner)
    }
}

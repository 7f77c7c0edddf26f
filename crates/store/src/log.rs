//! The log: records are appended to the newest segment, which is replaced by a snapshot once it has grown.

use std::fs::{self, File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write as _};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use tracing::{info, warn};
use violetwind_consensus::NodeId;
use violetwind_fleet::{MemberRecord, SavedState};

use crate::directory::{Directory, Owner};
use crate::error::{StoreError, io_error_at};
use crate::frame;

/// What a segment consists of.
#[derive(Debug, Serialize, Deserialize)]
enum LogRecord {
    /// All that went before, the first record of a segment.
    Snapshot(SavedState),
    Record(MemberRecord),
}

/// Up to which byte of which segment records were acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Mark {
    segment: u64,
    bytes: u64,
}

/// How a directory is used.
#[derive(Clone, Debug)]
pub struct Settings {
    pub fleet: String,
    pub node: String,
    /// Growth in bytes after which a segment is replaced by a snapshot.
    pub compaction_threshold_bytes: u64,
    /// Whether records are synced before they are acknowledged.
    pub sync_writes: bool,
}

/// A new segment whose name may or may not have been put in place.
#[derive(Debug)]
struct Replacement {
    segment: u64,
    file: File,
    bytes: u64,
}

/// The log of one member.
#[derive(Debug)]
pub struct Store {
    directory: Directory,
    settings: Settings,
    mark: File,
    segment: u64,
    file: File,
    /// The part of the segment that a sync has covered; with what lies behind it nothing may be done.
    bytes: u64,
    /// Bytes may lie behind that part, of writes or syncs that failed.
    tail_dirty: bool,
    /// The segment's name may not be on disk yet.
    name_dirty: bool,
    unsettled: Option<Replacement>,
    /// The size of the segment when it was new.
    base_bytes: u64,
    state: SavedState,
}

impl Store {
    /// Opens or makes the directory of a member; `fresh` is the id that a new one gets. Once this returns, all that
    /// [`Store::saved`] tells is on disk.
    ///
    /// # Errors
    /// In use, somebody else's, damaged, or a call failed.
    pub fn open(path: &Path, settings: Settings, fresh: NodeId) -> Result<Self, StoreError> {
        let directory = Directory::open(path)?;
        let owner = directory.load_or_create_owner(Owner {
            fleet: settings.fleet.clone(),
            node: settings.node.clone(),
            id: fresh,
        })?;
        let known = read_mark(&directory)?;
        let mark_path = directory.file_path("acked");
        let mark = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&mark_path)
            .map_err(io_error_at(&mark_path))?;
        let newest = directory.segment_numbers()?.last().copied();
        if newest.unwrap_or(0) < known.segment {
            return Err(StoreError::Corrupted {
                path: mark_path,
                offset: 0,
                detail: format!("log.{} is missing", known.segment),
            });
        }
        let Some(segment) = newest else {
            let state = SavedState::new(owner.id);
            let bytes = frame::encode(&LogRecord::Snapshot(state.clone()));
            let file = directory.replace_file("log.1", &bytes)?;
            return Ok(Self::new(
                directory,
                settings,
                mark,
                file,
                1,
                bytes.len() as u64,
                state,
            ));
        };
        let segment_path = directory.segment_path(segment);
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(&segment_path)
            .map_err(io_error_at(&segment_path))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)
            .map_err(io_error_at(&segment_path))?;
        let acknowledged = match known.segment == segment {
            true => known.bytes as usize,
            false => 0,
        };
        let read = replay(&segment_path, &bytes, acknowledged, owner.id)?;
        let mut store = Self::new(
            directory, settings, mark, file, segment, read.bytes, read.state,
        );
        store.base_bytes = read.snapshot_bytes;
        store.tail_dirty = read.bytes < bytes.len() as u64;
        if read.bytes > acknowledged as u64 {
            // They may be in memory alone, whatever a sync says now.
            store.write_segment()?;
        } else {
            store.name_dirty = true;
        }
        store.settle()?;
        Ok(store)
    }

    fn new(
        directory: Directory,
        settings: Settings,
        mark: File,
        file: File,
        segment: u64,
        bytes: u64,
        state: SavedState,
    ) -> Self {
        Self {
            directory,
            settings,
            mark,
            segment,
            file,
            bytes,
            tail_dirty: false,
            name_dirty: false,
            unsettled: None,
            base_bytes: bytes,
            state,
        }
    }

    /// All that was acknowledged.
    pub fn saved_state(&self) -> &SavedState {
        &self.state
    }

    pub fn path(&self) -> &Path {
        self.directory.path()
    }

    /// Puts the files of this directory aside, under a name that says why; who opens it next is somebody else.
    ///
    /// # Errors
    /// A call failed; some files may have been moved.
    pub fn quarantine(self, why: &str) -> Result<PathBuf, StoreError> {
        let id = self.state.id.0;
        let aside = self.directory.file_path(&format!("{why}-{id:x}"));
        fs::create_dir_all(&aside).map_err(io_error_at(&aside))?;
        let segments = self.directory.segment_numbers()?;
        let segments = segments.iter().map(|number| format!("log.{number}"));
        for name in segments.chain(["acked".into(), "member".into()]) {
            let from = self.directory.file_path(&name);
            if from.exists() {
                fs::rename(&from, aside.join(&name)).map_err(io_error_at(&from))?;
            }
        }
        Ok(aside)
    }

    /// Writes records behind what is there; they are on disk when this returns. After an error the same records may
    /// be appended again.
    ///
    /// # Errors
    /// A call failed, or a record does not follow what is there.
    pub fn append(&mut self, records: &[MemberRecord]) -> Result<(), StoreError> {
        self.settle()?;
        self.drop_tail()?;
        let path = self.directory.segment_path(self.segment);
        let encode = |record: &MemberRecord| frame::encode(&LogRecord::Record(record.clone()));
        let bytes: Vec<u8> = records.iter().flat_map(encode).collect();
        // From here on until the sync succeeds nothing is known of what lies behind.
        self.tail_dirty = true;
        self.file.write_all(&bytes).map_err(io_error_at(&path))?;
        if self.settings.sync_writes {
            self.file.sync_data().map_err(io_error_at(&path))?;
        }
        self.tail_dirty = false;
        self.bytes += bytes.len() as u64;
        for record in records {
            let applied = self.state.apply(record.clone());
            applied.map_err(|what| StoreError::Corrupted {
                path: path.clone(),
                offset: self.bytes,
                detail: what,
            })?;
        }
        self.write_mark();
        if self.bytes > self.base_bytes + self.settings.compaction_threshold_bytes {
            self.compact();
        }
        Ok(())
    }

    /// Removes what writes or syncs that failed have left behind the records.
    fn drop_tail(&mut self) -> Result<(), StoreError> {
        if self.tail_dirty {
            let path = self.directory.segment_path(self.segment);
            self.file.set_len(self.bytes).map_err(io_error_at(&path))?;
        }
        let path = self.directory.segment_path(self.segment);
        self.file
            .seek(SeekFrom::Start(self.bytes))
            .map_err(io_error_at(&path))?;
        Ok(())
    }

    /// Tells a cut from an alteration at the next start. Not synced, and no loss where it fails: it only makes the
    /// reader stricter, and has more written anew.
    fn write_mark(&mut self) {
        let mark = frame::encode(&Mark {
            segment: self.segment,
            bytes: self.bytes,
        });
        if let Err(error) = self.mark.write_all_at(&mark, 0) {
            warn!(file = %self.directory.file_path("acked").display(), %error, "the mark can't be written");
        }
    }

    /// Replaces a segment that has grown. Where that fails the old one goes on.
    fn compact(&mut self) {
        self.base_bytes = self.bytes;
        let done = self.write_segment().and_then(|()| self.settle());
        match done {
            Ok(()) => info!(
                segment = self.segment,
                bytes = self.bytes,
                "the log is written anew"
            ),
            Err(error) => warn!(%error, "the log can't be written anew now"),
        }
    }

    /// Writes all that is there into a new segment, which is the one in use if it may have its name.
    fn write_segment(&mut self) -> Result<(), StoreError> {
        let bytes = frame::encode(&LogRecord::Snapshot(self.state.clone()));
        let segment = self.segment + 1;
        let name = format!("log.{segment}");
        let file = self.directory.write_temp_file(&name, &bytes)?;
        let replacement = Replacement {
            segment,
            file,
            bytes: bytes.len() as u64,
        };
        match self.directory.rename_temp_file(&name) {
            Ok(()) => {
                self.adopt(replacement);
                Ok(())
            }
            Err(error) => {
                // It may have happened all the same.
                self.unsettled = Some(replacement);
                Err(error)
            }
        }
    }

    fn adopt(&mut self, replacement: Replacement) {
        self.segment = replacement.segment;
        self.file = replacement.file;
        self.bytes = replacement.bytes;
        self.base_bytes = replacement.bytes;
        (self.tail_dirty, self.name_dirty) = (false, true);
    }

    /// Finds out which segment counts at the next start, and has its name on disk.
    fn settle(&mut self) -> Result<(), StoreError> {
        if let Some(replacement) = self.unsettled.take() {
            let path = self.directory.segment_path(replacement.segment);
            match path.try_exists() {
                Ok(true) => self.adopt(replacement),
                Ok(false) => {}
                Err(error) => {
                    self.unsettled = Some(replacement);
                    return Err(StoreError::Io { path, error });
                }
            }
        }
        if self.name_dirty {
            self.directory.sync()?;
            self.name_dirty = false;
            self.write_mark();
            for older in self.directory.segment_numbers()? {
                if older < self.segment {
                    // One that stays is passed over at the next start.
                    let _ = fs::remove_file(self.directory.segment_path(older));
                }
            }
        }
        Ok(())
    }
}

/// Half of a mark says nothing: then a cut and an alteration look alike, and nothing counts as acknowledged.
fn read_mark(directory: &Directory) -> Result<Mark, StoreError> {
    let bytes = directory.read_file("acked")?;
    let mark = bytes.and_then(|bytes| frame::decode(&bytes).ok());
    Ok(mark.map_or_else(Mark::default, |(mark, _)| mark))
}

/// What a segment comes to.
struct Replayed {
    state: SavedState,
    snapshot_bytes: u64,
    /// Up to the end of the last whole record.
    bytes: u64,
}

fn replay(
    path: &Path,
    bytes: &[u8],
    acknowledged: usize,
    owner: NodeId,
) -> Result<Replayed, StoreError> {
    let damaged = |at: usize, what: String| StoreError::Corrupted {
        path: path.to_path_buf(),
        offset: at as u64,
        detail: what,
    };
    if bytes.len() < acknowledged {
        let what = format!("it ends before byte {acknowledged}, which was acknowledged");
        return Err(damaged(bytes.len(), what));
    }
    // The first record was there whole before the segment got its name.
    let (mut state, snapshot_bytes) = match frame::decode::<LogRecord>(bytes) {
        Ok((LogRecord::Snapshot(state), _)) if state.id != owner => {
            return Err(damaged(0, "it is another directory's".into()));
        }
        Ok((LogRecord::Snapshot(state), length)) => (state, length),
        Ok((LogRecord::Record(_), _)) => {
            return Err(damaged(0, "a record in a place that is not its own".into()));
        }
        Err(_) if bytes.is_empty() => return Err(damaged(0, "it is empty".into())),
        Err(what) => return Err(damaged(0, what)),
    };
    let mut at = snapshot_bytes;
    while at < bytes.len() {
        match frame::decode::<LogRecord>(&bytes[at..]) {
            Ok((LogRecord::Record(record), length)) => {
                state.apply(record).map_err(|what| damaged(at, what))?;
                at += length;
            }
            Ok((LogRecord::Snapshot(_), _)) => {
                return Err(damaged(
                    at,
                    "a record in a place that is not its own".into(),
                ));
            }
            Err(what) if at < acknowledged => return Err(damaged(at, what)),
            Err(what) => {
                warn!(file = %path.display(), at, what, "the last record was never acknowledged: it is dropped");
                break;
            }
        }
    }
    Ok(Replayed {
        state,
        snapshot_bytes: snapshot_bytes as u64,
        bytes: at as u64,
    })
}

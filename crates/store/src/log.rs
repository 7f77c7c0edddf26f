//! The log: records are appended to the newest segment; once it has grown, a new segment with a snapshot replaces it.

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

/// A record of a segment.
#[derive(Debug, Serialize, Deserialize)]
enum LogRecord {
    /// The state before the other records; always the first record of a segment.
    Snapshot(SavedState),
    /// A change of the state.
    Record(MemberRecord),
}

/// The position up to which records were acknowledged, as stored in the `acked` file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct AckedPosition {
    segment: u64,
    bytes: u64,
}

/// Settings of a [`Store`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet that the member belongs to.
    pub fleet: String,
    /// The name of the member.
    pub node: String,
    /// Growth in bytes after which a segment is replaced by a snapshot.
    pub compaction_threshold_bytes: u64,
    /// Whether records are synced before they are acknowledged.
    pub sync_writes: bool,
}

/// A new segment of which it is unknown whether its rename took effect.
#[derive(Debug)]
struct Replacement {
    segment: u64,
    file: File,
    bytes: u64,
}

/// The durable log of one member.
#[derive(Debug)]
pub struct Store {
    directory: Directory,
    settings: Settings,
    acked_file: File,
    segment: u64,
    file: File,
    /// The length of the segment's part that a successful sync has covered; bytes beyond it must not be used.
    synced_bytes: u64,
    /// Whether failed writes or syncs may have left bytes beyond that part.
    may_have_dirty_tail: bool,
    /// Whether the segment's name may not be on disk yet.
    may_have_unsynced_name: bool,
    unresolved_replacement: Option<Replacement>,
    /// The size of the segment when it was created, or at the last attempt to replace it.
    compaction_base_bytes: u64,
    state: SavedState,
}

impl Store {
    /// Opens or creates the directory of a member; `new_id` is the id for a new directory. On return, everything in
    /// [`Store::saved_state`] is on disk.
    ///
    /// # Errors
    /// If the directory is in use, belongs to another member or is damaged, or if a system call failed.
    pub fn open(path: &Path, settings: Settings, new_id: NodeId) -> Result<Self, StoreError> {
        let directory = Directory::open(path)?;
        let owner = directory.load_or_create_owner(Owner {
            fleet: settings.fleet.clone(),
            node: settings.node.clone(),
            id: new_id,
        })?;
        let acked = read_acked_position(&directory)?;
        let acked_path = directory.file_path("acked");
        let acked_file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&acked_path)
            .map_err(io_error_at(&acked_path))?;
        let newest = directory.segment_numbers()?.last().copied();
        if newest.unwrap_or(0) < acked.segment {
            return Err(StoreError::Corrupted {
                path: acked_path,
                offset: 0,
                detail: format!("log.{} is missing", acked.segment),
            });
        }
        let Some(segment) = newest else {
            let state = SavedState::new(owner.id);
            let bytes = frame::encode(&LogRecord::Snapshot(state.clone()));
            let file = directory.replace_file("log.1", &bytes)?;
            return Ok(Self::new(
                directory,
                settings,
                acked_file,
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
        let acked_bytes = match acked.segment == segment {
            true => acked.bytes as usize,
            false => 0,
        };
        let replayed = replay_segment(&segment_path, &bytes, acked_bytes, owner.id)?;
        let mut store = Self::new(
            directory,
            settings,
            acked_file,
            file,
            segment,
            replayed.bytes,
            replayed.state,
        );
        store.compaction_base_bytes = replayed.snapshot_bytes;
        store.may_have_dirty_tail = replayed.bytes < bytes.len() as u64;
        if replayed.bytes > acked_bytes as u64 {
            // Records beyond the acknowledged offset may exist only in the page cache, even if a sync succeeds now.
            store.write_snapshot_segment()?;
        } else {
            store.may_have_unsynced_name = true;
        }
        store.finish_replacement()?;
        Ok(store)
    }

    fn new(
        directory: Directory,
        settings: Settings,
        acked_file: File,
        file: File,
        segment: u64,
        synced_bytes: u64,
        state: SavedState,
    ) -> Self {
        Self {
            directory,
            settings,
            acked_file,
            segment,
            file,
            synced_bytes,
            may_have_dirty_tail: false,
            may_have_unsynced_name: false,
            unresolved_replacement: None,
            compaction_base_bytes: synced_bytes,
            state,
        }
    }

    /// The state after all acknowledged records.
    pub fn saved_state(&self) -> &SavedState {
        &self.state
    }

    /// The path of the directory.
    pub fn path(&self) -> &Path {
        self.directory.path()
    }

    /// Moves the files of this directory into a subdirectory, whose name consists of `label` and the member's id. When
    /// the directory is opened next, the member gets a new id.
    ///
    /// # Errors
    /// If a system call failed; some files may have been moved.
    pub fn quarantine(self, label: &str) -> Result<PathBuf, StoreError> {
        let id = self.state.id.0;
        let quarantine_dir = self.directory.file_path(&format!("{label}-{id:x}"));
        fs::create_dir_all(&quarantine_dir).map_err(io_error_at(&quarantine_dir))?;
        let segments = self.directory.segment_numbers()?;
        let segments = segments.iter().map(|number| format!("log.{number}"));
        for name in segments.chain(["acked".into(), "member".into()]) {
            let source = self.directory.file_path(&name);
            if source.exists() {
                fs::rename(&source, quarantine_dir.join(&name)).map_err(io_error_at(&source))?;
            }
        }
        Ok(quarantine_dir)
    }

    /// Appends records; they are on disk on return, unless syncing is off. After an error the same records may be
    /// appended again.
    ///
    /// # Errors
    /// If a system call failed, or a record does not follow the current state.
    pub fn append(&mut self, records: &[MemberRecord]) -> Result<(), StoreError> {
        self.finish_replacement()?;
        self.truncate_dirty_tail()?;
        let path = self.directory.segment_path(self.segment);
        let encode = |record: &MemberRecord| frame::encode(&LogRecord::Record(record.clone()));
        let bytes: Vec<u8> = records.iter().flat_map(encode).collect();
        // Until the sync succeeds, the content beyond the synced part is unknown.
        self.may_have_dirty_tail = true;
        self.file.write_all(&bytes).map_err(io_error_at(&path))?;
        if self.settings.sync_writes {
            self.file.sync_data().map_err(io_error_at(&path))?;
        }
        self.may_have_dirty_tail = false;
        self.synced_bytes += bytes.len() as u64;
        for record in records {
            let applied = self.state.apply(record.clone());
            applied.map_err(|detail| StoreError::Corrupted {
                path: path.clone(),
                offset: self.synced_bytes,
                detail,
            })?;
        }
        self.write_acked_position();
        if self.synced_bytes > self.compaction_base_bytes + self.settings.compaction_threshold_bytes
        {
            self.compact();
        }
        Ok(())
    }

    /// Removes bytes that failed writes or syncs have left after the last record.
    fn truncate_dirty_tail(&mut self) -> Result<(), StoreError> {
        if self.may_have_dirty_tail {
            let path = self.directory.segment_path(self.segment);
            self.file
                .set_len(self.synced_bytes)
                .map_err(io_error_at(&path))?;
        }
        let path = self.directory.segment_path(self.segment);
        self.file
            .seek(SeekFrom::Start(self.synced_bytes))
            .map_err(io_error_at(&path))?;
        Ok(())
    }

    /// Writes the acknowledged position, which lets the next start distinguish a truncated last record from corruption.
    /// It is not synced, and a failure loses no data: the position only makes replay stricter, and a missing one causes
    /// a rewrite of the log.
    fn write_acked_position(&mut self) {
        let record = frame::encode(&AckedPosition {
            segment: self.segment,
            bytes: self.synced_bytes,
        });
        if let Err(error) = self.acked_file.write_all_at(&record, 0) {
            warn!(
                file = %self.directory.file_path("acked").display(),
                %error,
                "the acknowledged position can't be written"
            );
        }
    }

    /// Replaces a segment that has grown. If that fails, the old segment stays in use.
    fn compact(&mut self) {
        self.compaction_base_bytes = self.synced_bytes;
        let result = self
            .write_snapshot_segment()
            .and_then(|()| self.finish_replacement());
        match result {
            Ok(()) => info!(
                segment = self.segment,
                bytes = self.synced_bytes,
                "the log is written anew"
            ),
            Err(error) => warn!(%error, "the log can't be written anew now"),
        }
    }

    /// Writes the whole state as a snapshot into a new segment, and switches to it once it is renamed to its
    /// final name.
    fn write_snapshot_segment(&mut self) -> Result<(), StoreError> {
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
                self.switch_to_segment(replacement);
                Ok(())
            }
            Err(error) => {
                // The rename may have taken effect despite the error.
                self.unresolved_replacement = Some(replacement);
                Err(error)
            }
        }
    }

    fn switch_to_segment(&mut self, replacement: Replacement) {
        self.segment = replacement.segment;
        self.file = replacement.file;
        self.synced_bytes = replacement.bytes;
        self.compaction_base_bytes = replacement.bytes;
        (self.may_have_dirty_tail, self.may_have_unsynced_name) = (false, true);
    }

    /// Determines which segment the next start would use, syncs its name, and removes older segments.
    fn finish_replacement(&mut self) -> Result<(), StoreError> {
        if let Some(replacement) = self.unresolved_replacement.take() {
            let path = self.directory.segment_path(replacement.segment);
            match path.try_exists() {
                Ok(true) => self.switch_to_segment(replacement),
                Ok(false) => {}
                Err(error) => {
                    self.unresolved_replacement = Some(replacement);
                    return Err(StoreError::Io { path, error });
                }
            }
        }
        if self.may_have_unsynced_name {
            self.directory.sync()?;
            self.may_have_unsynced_name = false;
            self.write_acked_position();
            for older in self.directory.segment_numbers()? {
                if older < self.segment {
                    // An older segment that can't be removed is ignored at the next start.
                    let _ = fs::remove_file(self.directory.segment_path(older));
                }
            }
        }
        Ok(())
    }
}

/// Reads the acknowledged position. If it is missing or damaged, truncation and corruption can't be distinguished, and
/// no record counts as acknowledged.
fn read_acked_position(directory: &Directory) -> Result<AckedPosition, StoreError> {
    let bytes = directory.read_file("acked")?;
    let position = bytes.and_then(|bytes| frame::decode(&bytes).ok());
    Ok(position.map_or_else(AckedPosition::default, |(position, _)| position))
}

/// The result of replaying a segment.
struct ReplayedSegment {
    state: SavedState,
    snapshot_bytes: u64,
    /// The offset of the end of the last complete record.
    bytes: u64,
}

/// Replays a segment's records. An unreadable record before `acked_bytes` is an error; an unreadable record
/// beyond it was never acknowledged and is dropped.
fn replay_segment(
    path: &Path,
    bytes: &[u8],
    acked_bytes: usize,
    owner_id: NodeId,
) -> Result<ReplayedSegment, StoreError> {
    let corrupted = |offset: usize, detail: String| StoreError::Corrupted {
        path: path.to_path_buf(),
        offset: offset as u64,
        detail,
    };
    if bytes.len() < acked_bytes {
        let detail = format!("the segment ends before the acknowledged byte {acked_bytes}");
        return Err(corrupted(bytes.len(), detail));
    }
    // A segment is renamed to its final name only after its first record is complete.
    let (mut state, snapshot_bytes) = match frame::decode::<LogRecord>(bytes) {
        Ok((LogRecord::Snapshot(state), _)) if state.id != owner_id => {
            return Err(corrupted(
                0,
                "the segment belongs to another member id".into(),
            ));
        }
        Ok((LogRecord::Snapshot(state), length)) => (state, length),
        Ok((LogRecord::Record(_), _)) => {
            return Err(corrupted(
                0,
                "a record of the wrong kind for this position".into(),
            ));
        }
        Err(_) if bytes.is_empty() => return Err(corrupted(0, "the segment is empty".into())),
        Err(detail) => return Err(corrupted(0, detail)),
    };
    let mut offset = snapshot_bytes;
    while offset < bytes.len() {
        match frame::decode::<LogRecord>(&bytes[offset..]) {
            Ok((LogRecord::Record(record), length)) => {
                state
                    .apply(record)
                    .map_err(|detail| corrupted(offset, detail))?;
                offset += length;
            }
            Ok((LogRecord::Snapshot(_), _)) => {
                return Err(corrupted(
                    offset,
                    "a record of the wrong kind for this position".into(),
                ));
            }
            Err(detail) if offset < acked_bytes => return Err(corrupted(offset, detail)),
            Err(detail) => {
                warn!(
                    file = %path.display(),
                    at = offset,
                    what = detail,
                    "dropping an unreadable last record that was never acknowledged"
                );
                break;
            }
        }
    }
    Ok(ReplayedSegment {
        state,
        snapshot_bytes: snapshot_bytes as u64,
        bytes: offset as u64,
    })
}

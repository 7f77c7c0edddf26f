//! Truncated, altered and quarantined directories, and the compaction of a grown log.

use std::fs;
use std::path::PathBuf;

use violetwind_consensus::{DurableState, DurableWrite, Entry, Member, Members, NodeId, Payload};
use violetwind_fleet::{MemberRecord, SavedState};
use violetwind_store::{Settings, Store, StoreError};

/// A directory that is removed when dropped.
struct TestDir(PathBuf);

impl TestDir {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("violetwind-store-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    fn open_as(
        &self,
        node: &str,
        id: u64,
        compaction_threshold_bytes: u64,
    ) -> Result<Store, StoreError> {
        let settings = Settings {
            fleet: "f".into(),
            node: node.into(),
            compaction_threshold_bytes,
            sync_writes: true,
        };
        Store::open(&self.0, settings, NodeId(id))
    }

    fn open(&self) -> Result<Store, StoreError> {
        self.open_as("n", 7, 1 << 20)
    }

    /// The segment in use.
    fn newest_segment_path(&self) -> PathBuf {
        self.0
            .join(format!("log.{}", self.segments().last().unwrap()))
    }

    fn segments(&self) -> Vec<u64> {
        let names = fs::read_dir(&self.0)
            .unwrap()
            .map(|entry| entry.unwrap().file_name());
        let number = |name: std::ffi::OsString| name.to_str()?.strip_prefix("log.")?.parse().ok();
        let mut numbers: Vec<u64> = names.filter_map(number).collect();
        numbers.sort_unstable();
        numbers
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn write(seq: u64) -> MemberRecord {
    let entry = Entry {
        term: 1,
        index: seq,
        payload: Payload::Command(vec![seq as u8; 100]),
    };
    MemberRecord::Write(DurableWrite {
        seq,
        term: 1,
        entries: vec![entry],
        ..DurableWrite::default()
    })
}

fn fill(dir: &TestDir, writes: u64) -> SavedState {
    let mut store = dir.open().unwrap();
    let member = Member {
        name: "n".into(),
        is_voter: true,
    };
    let members = Members([(NodeId(7), member)].into());
    store
        .append(&[MemberRecord::Agreed(members), MemberRecord::Formed])
        .unwrap();
    for seq in 1..=writes {
        store.append(&[write(seq)]).unwrap();
    }
    store.saved_state().clone()
}

#[test]
fn reopening_restores_acknowledged_records_and_a_directory_has_one_user() {
    let dir = TestDir::new("again");
    let saved = fill(&dir, 5);
    let store = dir.open().unwrap();
    assert_eq!(*store.saved_state(), saved);
    assert_eq!(store.saved_state().consensus_state.entries.len(), 5);
    assert!(matches!(dir.open(), Err(StoreError::InUse { .. })));
    drop(store);
    assert!(matches!(
        dir.open_as("m", 8, 1 << 20),
        Err(StoreError::WrongOwner { .. })
    ));
}

/// A process killed during a write leaves any prefix of the record: the file is cut at every byte of the last record.
#[test]
fn drops_a_torn_last_record_unless_it_was_acknowledged() {
    let dir = TestDir::new("torn");
    fill(&dir, 3);
    let (intact, acked) = (
        fs::read(dir.newest_segment_path()).unwrap(),
        fs::read(dir.0.join("acked")).unwrap(),
    );
    dir.open().unwrap().append(&[write(4)]).unwrap();
    let longer = fs::read(dir.newest_segment_path()).unwrap();
    assert!(longer.starts_with(&intact), "the segment was not rewritten");
    let log = dir.newest_segment_path();
    for cut in intact.len()..longer.len() {
        fs::write(&log, &longer[..cut]).unwrap();
        fs::write(dir.0.join("acked"), &acked).unwrap();
        let mut store = dir.open().unwrap();
        assert_eq!(
            store.saved_state().consensus_state.entries.len(),
            3,
            "cut at {cut}"
        );
        // The next record overwrites the torn one.
        store.append(&[write(4)]).unwrap();
        drop(store);
        assert_eq!(
            dir.open()
                .unwrap()
                .saved_state()
                .consensus_state
                .entries
                .len(),
            4,
            "cut at {cut}"
        );
        assert_eq!(fs::metadata(&log).unwrap().len(), longer.len() as u64);
    }
    // The file is shorter than the acknowledged offset.
    fs::write(&log, &intact[..intact.len() - 1]).unwrap();
    assert!(matches!(dir.open(), Err(StoreError::Corrupted { .. })));
}

/// A complete record beyond the acknowledged position may exist only in the page cache: it is written to disk again.
#[test]
fn keeps_and_rewrites_a_complete_record_beyond_the_acked_position() {
    let dir = TestDir::new("unmarked");
    fill(&dir, 3);
    let acked = fs::read(dir.0.join("acked")).unwrap();
    dir.open().unwrap().append(&[write(4)]).unwrap();
    fs::write(dir.0.join("acked"), &acked).unwrap();
    let segments_before = dir.segments();
    let store = dir.open().unwrap();
    assert_eq!(store.saved_state().consensus_state.entries.len(), 4);
    drop(store);
    assert!(dir.segments() > segments_before, "{segments_before:?}");
    let rewritten = dir.segments();
    assert_eq!(
        dir.open()
            .unwrap()
            .saved_state()
            .consensus_state
            .entries
            .len(),
        4
    );
    assert_eq!(dir.segments(), rewritten, "a second start rewrites nothing");
}

#[test]
fn reports_file_and_offset_of_any_altered_byte() {
    let dir = TestDir::new("altered");
    fill(&dir, 3);
    let intact = fs::read(dir.newest_segment_path()).unwrap();
    for offset in 0..intact.len() {
        let mut altered = intact.clone();
        altered[offset] ^= 0x10;
        fs::write(dir.newest_segment_path(), &altered).unwrap();
        let opened = dir.open().map(|store| store.saved_state().clone());
        let error = opened.unwrap_err().to_string();
        assert!(error.contains("log.1: byte "), "{offset}: {error}");
    }
    fs::write(dir.newest_segment_path(), &intact).unwrap();
    assert!(dir.open().is_ok());
    let mut member = fs::read(dir.0.join("member")).unwrap();
    *member.last_mut().unwrap() ^= 1;
    fs::write(dir.0.join("member"), member).unwrap();
    assert!(matches!(dir.open(), Err(StoreError::Corrupted { .. })));
}

#[test]
fn compacts_a_grown_log_and_reports_a_missing_one() {
    let dir = TestDir::new("anew");
    let mut store = dir.open_as("n", 7, 1 << 12).unwrap();
    for seq in 1..=200 {
        store.append(&[write(seq)]).unwrap();
    }
    let saved = store.saved_state().clone();
    drop(store);
    assert!(dir.segments()[0] > 1, "the log was rewritten");
    assert_eq!(dir.segments().len(), 1, "older segments are removed");
    assert_eq!(*dir.open().unwrap().saved_state(), saved);
    for segment in dir.segments() {
        fs::remove_file(dir.0.join(format!("log.{segment}"))).unwrap();
    }
    let error = dir.open().map(|_| ()).unwrap_err().to_string();
    assert!(error.contains("is missing"), "{error}");
}

#[test]
fn a_quarantined_directory_opens_with_a_new_identity() {
    let dir = TestDir::new("aside");
    fill(&dir, 1);
    let quarantine_dir = dir.open().unwrap().quarantine("stale").unwrap();
    assert!(quarantine_dir.join("member").exists());
    let store = dir.open_as("n", 9, 1 << 20).unwrap();
    let found = (
        store.saved_state().id,
        store.saved_state().consensus_state.clone(),
    );
    assert_eq!(found, (NodeId(9), DurableState::default()));
}

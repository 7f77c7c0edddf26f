//! Directories that were cut, altered, copied or put aside.

use std::fs;
use std::path::PathBuf;

use violetwind_consensus::{DurableState, DurableWrite, Entry, Member, Members, NodeId, Payload};
use violetwind_fleet::{MemberRecord, SavedState};
use violetwind_store::{Settings, Store, StoreError};

struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("violetwind-store-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    fn open_as(&self, node: &str, id: u64, segment_bytes: u64) -> Result<Store, StoreError> {
        let settings = Settings {
            fleet: "f".into(),
            node: node.into(),
            compaction_threshold_bytes: segment_bytes,
            sync_writes: true,
        };
        Store::open(&self.0, settings, NodeId(id))
    }

    fn open(&self) -> Result<Store, StoreError> {
        self.open_as("n", 7, 1 << 20)
    }

    /// The segment that counts.
    fn log(&self) -> PathBuf {
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

impl Drop for Dir {
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

fn filled(dir: &Dir, writes: u64) -> SavedState {
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
fn what_was_acknowledged_is_there_again_and_the_directory_is_used_once() {
    let dir = Dir::new("again");
    let saved = filled(&dir, 5);
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

/// A kill in the middle of a write leaves any part of it. Cut at every byte of the last record.
#[test]
fn a_torn_last_record_is_dropped_unless_it_was_acknowledged() {
    let dir = Dir::new("torn");
    filled(&dir, 3);
    let (sound, mark) = (
        fs::read(dir.log()).unwrap(),
        fs::read(dir.0.join("acked")).unwrap(),
    );
    dir.open().unwrap().append(&[write(4)]).unwrap();
    let longer = fs::read(dir.log()).unwrap();
    assert!(longer.starts_with(&sound), "nothing was written anew");
    let log = dir.log();
    for cut in sound.len()..longer.len() {
        fs::write(&log, &longer[..cut]).unwrap();
        fs::write(dir.0.join("acked"), &mark).unwrap();
        let mut store = dir.open().unwrap();
        assert_eq!(
            store.saved_state().consensus_state.entries.len(),
            3,
            "cut at {cut}"
        );
        // What follows stands in the place of what was torn.
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
    // Shorter than what was acknowledged.
    fs::write(&log, &sound[..sound.len() - 1]).unwrap();
    assert!(matches!(dir.open(), Err(StoreError::Corrupted { .. })));
}

/// A record that is whole but was never marked as acknowledged may be in memory alone: it is put on disk anew.
#[test]
fn a_whole_record_behind_the_mark_is_kept_and_written_anew() {
    let dir = Dir::new("unmarked");
    filled(&dir, 3);
    let mark = fs::read(dir.0.join("acked")).unwrap();
    dir.open().unwrap().append(&[write(4)]).unwrap();
    fs::write(dir.0.join("acked"), &mark).unwrap();
    let before = dir.segments();
    let store = dir.open().unwrap();
    assert_eq!(store.saved_state().consensus_state.entries.len(), 4);
    drop(store);
    assert!(dir.segments() > before, "{before:?}");
    let settled = dir.segments();
    assert_eq!(
        dir.open()
            .unwrap()
            .saved_state()
            .consensus_state
            .entries
            .len(),
        4
    );
    assert_eq!(dir.segments(), settled, "once is enough");
}

#[test]
fn an_altered_byte_is_refused_with_file_and_place_wherever_it_is() {
    let dir = Dir::new("altered");
    filled(&dir, 3);
    let sound = fs::read(dir.log()).unwrap();
    for at in 0..sound.len() {
        let mut altered = sound.clone();
        altered[at] ^= 0x10;
        fs::write(dir.log(), &altered).unwrap();
        let opened = dir.open().map(|store| store.saved_state().clone());
        let error = opened.unwrap_err().to_string();
        assert!(error.contains("log.1: byte "), "{at}: {error}");
    }
    fs::write(dir.log(), &sound).unwrap();
    assert!(dir.open().is_ok());
    let mut member = fs::read(dir.0.join("member")).unwrap();
    *member.last_mut().unwrap() ^= 1;
    fs::write(dir.0.join("member"), member).unwrap();
    assert!(matches!(dir.open(), Err(StoreError::Corrupted { .. })));
}

#[test]
fn a_log_that_is_missing_is_told_and_one_that_grew_is_written_anew() {
    let dir = Dir::new("anew");
    let mut store = dir.open_as("n", 7, 1 << 12).unwrap();
    for seq in 1..=200 {
        store.append(&[write(seq)]).unwrap();
    }
    let saved = store.saved_state().clone();
    drop(store);
    assert!(dir.segments()[0] > 1, "written anew");
    assert_eq!(dir.segments().len(), 1, "older ones go");
    assert_eq!(*dir.open().unwrap().saved_state(), saved);
    for segment in dir.segments() {
        fs::remove_file(dir.0.join(format!("log.{segment}"))).unwrap();
    }
    let error = dir.open().map(|_| ()).unwrap_err().to_string();
    assert!(error.contains("is missing"), "{error}");
}

#[test]
fn a_directory_that_is_put_aside_is_another_next_time() {
    let dir = Dir::new("aside");
    filled(&dir, 1);
    let aside = dir.open().unwrap().quarantine("stale").unwrap();
    assert!(aside.join("member").exists());
    let store = dir.open_as("n", 9, 1 << 20).unwrap();
    let found = (
        store.saved_state().id,
        store.saved_state().consensus_state.clone(),
    );
    assert_eq!(found, (NodeId(9), DurableState::default()));
}

//! The files of a member's directory, byte by byte: the owner, the mark of acknowledged bytes, and a whole segment.

#[path = "../../consensus/tests/encoding/fixture.rs"]
mod fixture;

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use fixture::{bytes, check_text, hex};
use violetwind_consensus::{
    DurableState, DurableWrite, Entry, Member, Members, NodeId, Payload, Snapshot,
};
use violetwind_fleet::{MemberRecord, SavedState};
use violetwind_store::{Settings, Store};

/// All files of a directory that are not empty.
const FILES: [&str; 3] = ["member", "acked", "log.1"];

/// A directory of this test alone, removed at its end.
struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Self {
        let name = format!("violetwind-encoding-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn open(path: &Path, compaction_threshold_bytes: u64) -> Store {
    let settings = Settings {
        fleet: "brink".into(),
        node: "a".into(),
        compaction_threshold_bytes,
        sync_writes: true,
    };
    Store::open(path, settings, NodeId(301)).unwrap()
}

fn members() -> Members {
    let member = |id, name: &str, is_voter| {
        let name = name.into();
        (NodeId(id), Member { name, is_voter })
    };
    Members([member(301, "a", true), member(302, "b", false)].into())
}

fn entry(index: u64, payload: Payload) -> Entry {
    Entry {
        term: 11,
        index,
        payload,
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        index: 40,
        term: 10,
        members: members(),
        data: vec![4, 5],
    }
}

/// Records of each variant; the writes together set every field.
fn records() -> Vec<MemberRecord> {
    let first = DurableWrite {
        seq: 1,
        term: 11,
        voted_for: Some(NodeId(302)),
        seen_seqs: vec![(NodeId(303), 304)],
        snapshot: None,
        keep_suffix: false,
        truncate_from: None,
        entries: vec![
            entry(1, Payload::Noop),
            entry(2, Payload::Command(vec![1, 2, 3])),
            entry(3, Payload::Members(members())),
        ],
    };
    let second = DurableWrite {
        seq: 2,
        term: 12,
        voted_for: None,
        seen_seqs: vec![],
        snapshot: Some(snapshot()),
        keep_suffix: true,
        truncate_from: Some(50),
        entries: vec![entry(41, Payload::Command(vec![6]))],
    };
    let records = [
        MemberRecord::Agreed(members()),
        MemberRecord::Formed,
        MemberRecord::Write(first),
        MemberRecord::Write(second),
    ];
    records.iter().for_each(require_sample);
    records.into()
}

/// Names each variant: a new one needs a sample in [`records`].
fn require_sample(record: &MemberRecord) {
    match record {
        MemberRecord::Agreed(_) | MemberRecord::Formed | MemberRecord::Write(_) => {}
    }
}

/// The state after all of [`records`].
fn saved_state() -> SavedState {
    SavedState {
        id: NodeId(301),
        agreed_members: Some(members()),
        is_formed: true,
        consensus_state: DurableState {
            seq: 2,
            term: 12,
            voted_for: None,
            seen_seqs: BTreeMap::from([(NodeId(303), 304)]),
            snapshot: Some(snapshot()),
            entries: vec![entry(41, Payload::Command(vec![6]))],
        },
    }
}

/// The files as lines: a name and its bytes in hex.
fn lines(path: &Path, files: &[&str]) -> String {
    let line = |file: &&str| format!("{file} {}\n", hex(&fs::read(path.join(file)).unwrap()));
    files.iter().map(line).collect()
}

/// Makes a directory with the files of a fixture.
fn restore(path: &Path, recorded: &str) {
    fs::create_dir_all(path).unwrap();
    for line in recorded.lines() {
        let (file, digits) = line.split_once(' ').unwrap();
        fs::write(path.join(file), bytes(digits)).unwrap();
    }
}

#[test]
fn segment_with_records() {
    let dir = Dir::new("records");
    let mut store = open(&dir.0, 1 << 20);
    store.append(&records()).unwrap();
    assert_eq!(*store.saved_state(), saved_state());
    drop(store);
    let recorded = check_text("records.hex", &lines(&dir.0, &FILES));

    let dir = Dir::new("records-read");
    restore(&dir.0, &recorded);
    assert_eq!(*open(&dir.0, 1 << 20).saved_state(), saved_state());
}

/// A segment that grows past the threshold is replaced by one that begins with a snapshot of the state.
#[test]
fn segment_that_begins_with_a_snapshot() {
    let dir = Dir::new("snapshot");
    let mut store = open(&dir.0, 1);
    store.append(&records()).unwrap();
    drop(store);
    let recorded = check_text(
        "snapshot.hex",
        &lines(&dir.0, &["member", "acked", "log.2"]),
    );

    let dir = Dir::new("snapshot-read");
    restore(&dir.0, &recorded);
    assert_eq!(*open(&dir.0, 1 << 20).saved_state(), saved_state());
}

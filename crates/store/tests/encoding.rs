//! The bytes of a member's directory: whose it is, the mark, and a whole segment.

#[path = "../../consensus/tests/encoding/fixture.rs"]
mod fixture;

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use fixture::{bytes, check_text, hex};
use violetwind_consensus::{Disk, Entry, Member, Members, NodeId, Payload, Snapshot, Write};
use violetwind_fleet::{Record, Saved};
use violetwind_store::{Settings, Store};

/// All files of a directory with something in them.
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

fn open(path: &Path, segment_bytes: u64) -> Store {
    let settings = Settings {
        fleet: "brink".into(),
        node: "a".into(),
        segment_bytes,
        sync: true,
    };
    Store::open(path, settings, NodeId(301)).unwrap()
}

fn members() -> Members {
    let member = |id, name: &str, votes| {
        let name = name.into();
        (NodeId(id), Member { name, votes })
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

/// Records of each variant, the writes with every part.
fn records() -> Vec<Record> {
    let first = Write {
        seq: 1,
        term: 11,
        vote: Some(NodeId(302)),
        seen: vec![(NodeId(303), 304)],
        snapshot: None,
        keep: false,
        truncate: None,
        append: vec![
            entry(1, Payload::Nothing),
            entry(2, Payload::Command(vec![1, 2, 3])),
            entry(3, Payload::Members(members())),
        ],
    };
    let second = Write {
        seq: 2,
        term: 12,
        vote: None,
        seen: vec![],
        snapshot: Some(snapshot()),
        keep: true,
        truncate: Some(50),
        append: vec![entry(41, Payload::Command(vec![6]))],
    };
    let records = [
        Record::Agreed(members()),
        Record::Formed,
        Record::Write(first),
        Record::Write(second),
    ];
    records.iter().for_each(has_a_sample);
    records.into()
}

/// Names each variant: a new one needs a sample in [`records`].
fn has_a_sample(record: &Record) {
    match record {
        Record::Agreed(_) | Record::Formed | Record::Write(_) => {}
    }
}

/// What [`records`] come to.
fn saved() -> Saved {
    Saved {
        id: NodeId(301),
        agreed: Some(members()),
        formed: true,
        disk: Disk {
            seq: 2,
            term: 12,
            vote: None,
            seen: BTreeMap::from([(NodeId(303), 304)]),
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
fn a_segment_of_records() {
    let dir = Dir::new("records");
    let mut store = open(&dir.0, 1 << 20);
    store.append(&records()).unwrap();
    assert_eq!(*store.saved(), saved());
    drop(store);
    let recorded = check_text("records.hex", &lines(&dir.0, &FILES));

    let dir = Dir::new("records-read");
    restore(&dir.0, &recorded);
    assert_eq!(*open(&dir.0, 1 << 20).saved(), saved());
}

/// Past its length a segment is replaced by one that begins with all that is there.
#[test]
fn a_segment_that_begins_with_a_snapshot() {
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
    assert_eq!(*open(&dir.0, 1 << 20).saved(), saved());
}

//! Files cut anywhere, altered anywhere, rotated, and a disk that takes nothing.

use std::path::PathBuf;
use std::time::Duration;

use violetwind_record::{Answer, Limits, Reader, Record, Recorder, RecordingEnd, Request};

fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("violetwind-record-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

fn request(n: u64) -> Record {
    Record::Request(Request {
        at_us: n * 1000,
        class: (n % 3) as u16,
        tenant: n.is_multiple_of(2).then_some(7),
        group: Some(n ^ 0x5bd1_e995),
        timeout_ms: 2000,
        answer: Answer::Up,
        latency_us: 900 + n,
        connected_ms: 30_000,
        load: Some(11_000),
    })
}

fn recorded(name: &str, count: u64) -> (PathBuf, Vec<u8>) {
    let dir = dir(name);
    let path = dir.join("day");
    let classes = vec!["watch".to_string()];
    let recorder = Recorder::start(&path, classes, Limits::default()).unwrap();
    (0..count).for_each(|n| recorder.enqueue(request(n)));
    drop(recorder);
    let bytes = std::fs::read(&path).unwrap();
    (dir, bytes)
}

fn read(bytes: &[u8]) -> (Vec<Record>, RecordingEnd) {
    let mut reader = Reader::new(bytes);
    let records: Vec<Record> = reader.by_ref().collect();
    (records, reader.end().unwrap())
}

#[test]
fn a_file_cut_anywhere_is_read_up_to_the_cut() {
    let (dir, bytes) = recorded("cut", 50);
    let (all, end) = read(&bytes);
    assert_eq!((all.len(), end), (51, RecordingEnd::Whole));
    assert!(matches!(all[0], Record::Start { .. }));
    for cut in 0..bytes.len() {
        let (records, end) = read(&bytes[..cut]);
        assert!(
            records.len() <= 50 && records == all[..records.len()],
            "{cut}"
        );
        // A cut between two records can't be told from an end.
        assert!(
            matches!(end, RecordingEnd::Cut(_) | RecordingEnd::Whole),
            "{cut}: {end:?}"
        );
        if let RecordingEnd::Cut(at) = end {
            assert_eq!(at, cut as u64);
        }
    }
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn a_file_altered_anywhere_is_read_up_to_there() {
    let (dir, bytes) = recorded("altered", 20);
    let (all, _) = read(&bytes);
    for at in 0..bytes.len() {
        let mut altered = bytes.clone();
        altered[at] ^= 0x20;
        let (records, end) = read(&altered);
        assert!(
            records == all[..records.len()] && records.len() < all.len(),
            "{at}"
        );
        assert_ne!(end, RecordingEnd::Whole, "{at}");
    }
    assert_eq!(read(b"something else").1, RecordingEnd::Foreign);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn files_are_bounded_and_the_oldest_goes() {
    let dir = dir("rotated");
    let path = dir.join("day");
    let limits = Limits {
        max_file_bytes: 2000,
        max_old_files: 2,
        ..Limits::default()
    };
    let recorder = Recorder::start(&path, Vec::new(), limits).unwrap();
    (0..500).for_each(|n| recorder.enqueue(request(n)));
    drop(recorder);
    let mut names: Vec<String> = std::fs::read_dir(&dir)
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    assert_eq!(names, ["day", "day.1", "day.2"]);
    for name in names {
        let bytes = std::fs::read(dir.join(name)).unwrap();
        assert!(bytes.len() < 2200);
        assert_eq!(read(&bytes).1, RecordingEnd::Whole);
    }
    std::fs::remove_dir_all(dir).unwrap();
}

/// A disk that takes nothing: here a folder that is not there, and later is.
#[test]
fn a_disk_that_takes_nothing_costs_nobody_anything_and_is_told_later() {
    let dir = dir("gone");
    let path = dir.join("not-yet").join("day");
    let limits = Limits {
        retry_delay: Duration::ZERO,
        queue_capacity: 8,
        ..Limits::default()
    };
    let recorder = Recorder::start(&path, Vec::new(), limits).unwrap();
    (0..1000).for_each(|n| recorder.enqueue(request(n)));
    std::fs::create_dir_all(path.parent().unwrap()).unwrap();
    let mut n = 1000;
    // Until one is through: the thread has tried again.
    while std::fs::metadata(&path).map_or(0, |meta| meta.len()) < 100 {
        recorder.enqueue(request(n));
        n += 1;
        std::thread::yield_now();
    }
    drop(recorder);
    let (records, end) = read(&std::fs::read(&path).unwrap());
    assert_eq!(end, RecordingEnd::Whole);
    let left = records.iter().map(|record| match record {
        Record::Dropped(left) => *left,
        _ => 0,
    });
    let written = records
        .iter()
        .filter(|record| matches!(record, Record::Request(_)));
    let (left, written) = (left.sum::<u64>(), written.count() as u64);
    assert!(
        left > 0 && left + written <= n,
        "{left} left out and {written} written of {n}"
    );
    std::fs::remove_dir_all(dir).unwrap();
}

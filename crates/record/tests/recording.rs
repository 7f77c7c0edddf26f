//! Truncated, altered and rotated files, and a disk that is unavailable.

use std::path::PathBuf;
use std::time::Duration;

use violetwind_record::{Answer, Limits, Reader, Record, Recorder, RecordingEnd, Request};

fn create_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("violetwind-record-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

fn request(number: u64) -> Record {
    Record::Request(Request {
        at_us: number * 1000,
        class: (number % 3) as u16,
        tenant: number.is_multiple_of(2).then_some(7),
        group: Some(number ^ 0x5bd1_e995),
        timeout_ms: 2000,
        answer: Answer::Up,
        latency_us: 900 + number,
        connected_ms: 30_000,
        load: Some(11_000),
    })
}

fn write_recording(name: &str, count: u64) -> (PathBuf, Vec<u8>) {
    let dir = create_dir(name);
    let path = dir.join("day");
    let classes = vec!["watch".to_string()];
    let recorder = Recorder::start(&path, classes, Limits::default()).unwrap();
    (0..count).for_each(|number| recorder.enqueue(request(number)));
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
fn truncated_file_is_read_up_to_the_truncation() {
    let (dir, bytes) = write_recording("cut", 50);
    let (all_records, end) = read(&bytes);
    assert_eq!((all_records.len(), end), (51, RecordingEnd::Whole));
    assert!(matches!(all_records[0], Record::Start { .. }));
    for length in 0..bytes.len() {
        let (records, end) = read(&bytes[..length]);
        assert!(
            records.len() <= 50 && records == all_records[..records.len()],
            "{length}"
        );
        // A truncation between two records can't be distinguished from a regular end.
        assert!(
            matches!(end, RecordingEnd::Cut(_) | RecordingEnd::Whole),
            "{length}: {end:?}"
        );
        if let RecordingEnd::Cut(byte) = end {
            assert_eq!(byte, length as u64);
        }
    }
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn altered_file_is_read_up_to_the_altered_record() {
    let (dir, bytes) = write_recording("altered", 20);
    let (all_records, _) = read(&bytes);
    for byte in 0..bytes.len() {
        let mut altered = bytes.clone();
        altered[byte] ^= 0x20;
        let (records, end) = read(&altered);
        assert!(
            records == all_records[..records.len()] && records.len() < all_records.len(),
            "{byte}"
        );
        assert_ne!(end, RecordingEnd::Whole, "{byte}");
    }
    assert_eq!(read(b"something else").1, RecordingEnd::Foreign);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn file_size_and_count_are_bounded_and_the_oldest_file_is_removed() {
    let dir = create_dir("rotated");
    let path = dir.join("day");
    let limits = Limits {
        max_file_bytes: 2000,
        max_old_files: 2,
        ..Limits::default()
    };
    let recorder = Recorder::start(&path, Vec::new(), limits).unwrap();
    (0..500).for_each(|number| recorder.enqueue(request(number)));
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

/// An unavailable disk, simulated by a directory that is created only later, must not block the caller.
#[test]
fn records_dropped_while_the_disk_is_unavailable_are_counted_in_the_file() {
    let dir = create_dir("gone");
    let path = dir.join("not-yet").join("day");
    let limits = Limits {
        retry_delay: Duration::ZERO,
        queue_capacity: 8,
        ..Limits::default()
    };
    let recorder = Recorder::start(&path, Vec::new(), limits).unwrap();
    (0..1000).for_each(|number| recorder.enqueue(request(number)));
    std::fs::create_dir_all(path.parent().unwrap()).unwrap();
    let mut number = 1000;
    // Enqueues records until the thread has retried and written at least one.
    while std::fs::metadata(&path).map_or(0, |meta| meta.len()) < 100 {
        recorder.enqueue(request(number));
        number += 1;
        std::thread::yield_now();
    }
    drop(recorder);
    let (records, end) = read(&std::fs::read(&path).unwrap());
    assert_eq!(end, RecordingEnd::Whole);
    let dropped = records.iter().map(|record| match record {
        Record::Dropped(dropped) => *dropped,
        _ => 0,
    });
    let written = records
        .iter()
        .filter(|record| matches!(record, Record::Request(_)));
    let (dropped, written) = (dropped.sum::<u64>(), written.count() as u64);
    assert!(
        dropped > 0 && dropped + written <= number,
        "{dropped} dropped and {written} written of {number}"
    );
    std::fs::remove_dir_all(dir).unwrap();
}

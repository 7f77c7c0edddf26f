//! The bytes of a recording.

#[path = "../../consensus/tests/encoding/fixture.rs"]
mod fixture;

use std::fs;
use std::ops::Range;

use violetwind_record::{Answer, Limits, Reader, Record, Recorder, RecordingEnd, Request};

/// When the fixture was written.
const RECORDED_AT: u64 = 1_796_307_829_128;

fn requests() -> Vec<Record> {
    let full = Request {
        at_us: 301,
        class: 1,
        tenant: Some(302),
        group: Some(303),
        timeout_ms: 304,
        answer: Answer::Up,
        latency_us: 305,
        connected_ms: 306,
        load: Some(307),
    };
    let others = [Answer::Refused, Answer::Failed, Answer::ClientLeft];
    let other = |answer| Request {
        tenant: None,
        group: None,
        answer,
        load: None,
        ..full.clone()
    };
    let mut requests = vec![full.clone()];
    requests.extend(others.map(other));
    let mut records: Vec<Record> = requests.into_iter().map(Record::Request).collect();
    records.push(Record::Dropped(308));
    records
}

/// Names each variant: a new one needs a sample.
fn name(record: &Record) -> &'static str {
    match record {
        Record::Start { .. } => "start",
        Record::Dropped(_) => "left",
        Record::Request(request) => match request.answer {
            Answer::Up => "up",
            Answer::Refused => "refused",
            Answer::Failed => "failed",
            Answer::ClientLeft => "gone",
        },
    }
}

/// The bytes that a recorder writes for these records.
fn written(records: &[Record]) -> Vec<u8> {
    let name = format!("violetwind-encoding-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let _ = fs::remove_file(&path);
    let classes = vec!["gold".into(), "tin".into()];
    let recorder = Recorder::start(&path, classes, Limits::default()).unwrap();
    records
        .iter()
        .for_each(|record| recorder.enqueue(record.clone()));
    drop(recorder);
    let bytes = fs::read(&path).unwrap();
    fs::remove_file(&path).unwrap();
    bytes
}

/// All records of a recording, which must be complete.
fn read(bytes: &[u8]) -> Vec<Record> {
    let mut reader = Reader::new(bytes);
    let records = reader.by_ref().collect();
    assert_eq!(reader.end(), Some(RecordingEnd::Whole));
    records
}

/// The bytes of a file that depend on when it was written: the first record's checksum and time.
const TIME_DEPENDENT: [Range<usize>; 2] = [12..16, 17..23];

#[test]
fn recording() {
    let recorded = fixture::bytes(&fixture::recorded("recording.hex"));
    let start = Record::Start {
        unix_ms: RECORDED_AT,
        classes: vec!["gold".into(), "tin".into()],
    };
    let expected = [vec![start], requests()].concat();
    assert_eq!(read(&recorded), expected);
    assert_eq!(recorded.len(), written(&requests()).len());

    let mut bytes = written(&requests());
    assert_eq!(read(&bytes)[1..], expected[1..]);
    for range in TIME_DEPENDENT {
        bytes[range.clone()].copy_from_slice(&recorded[range]);
    }
    fixture::check_text("recording.hex", &(fixture::hex(&bytes) + "\n"));
    expected.iter().for_each(|record| _ = name(record));
}

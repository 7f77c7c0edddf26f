//! A writer in the background never holds up who writes, and every line is in the stream or counted as lost.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use violetwind_output::{BackgroundWriter, LostLines, WriterLimits};

/// How long a condition may take that has no deadline of its own.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// What the played stream does at a call of `write`.
#[derive(Clone, Copy)]
enum Step {
    Write,
    /// It takes this many bytes at most.
    WritePart(usize),
    Fail(ErrorKind),
}

#[derive(Default)]
struct StreamState {
    text: String,
    steps: VecDeque<Step>,
    is_blocked: bool,
}

/// A stream that plays steps, and takes everything afterwards.
#[derive(Clone, Default)]
struct PlayedStream(Arc<(Mutex<StreamState>, Condvar)>);

impl PlayedStream {
    fn playing(steps: &[Step]) -> Self {
        let stream = Self::default();
        stream.0.0.lock().unwrap().steps.extend(steps);
        stream
    }

    fn set_blocked(&self, is_blocked: bool) {
        self.0.0.lock().unwrap().is_blocked = is_blocked;
        self.0.1.notify_all();
    }

    fn text(&self) -> String {
        self.0.0.lock().unwrap().text.clone()
    }

    fn wait_for(&self, text: &str) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !self.text().contains(text) {
            assert!(Instant::now() < deadline, "no {text:?}: {:?}", self.text());
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Write for PlayedStream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (state, changed) = &*self.0;
        let state = state.lock().unwrap();
        let mut state = changed.wait_while(state, |state| state.is_blocked).unwrap();
        let length = match state.steps.pop_front().unwrap_or(Step::Write) {
            Step::Write => bytes.len(),
            Step::WritePart(length) => length.min(bytes.len()),
            Step::Fail(kind) => return Err(kind.into()),
        };
        state.text += std::str::from_utf8(&bytes[..length]).unwrap();
        Ok(length)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn limits() -> WriterLimits {
    WriterLimits {
        max_queued_lines: 8,
        max_queued_bytes: 64,
        notice_interval: Duration::from_millis(20),
        flush_timeout: Duration::from_millis(200),
    }
}

fn start(stream: &PlayedStream, limits: WriterLimits) -> Arc<BackgroundWriter> {
    let format = |lost: LostLines| {
        let LostLines {
            queue_full,
            write_failed,
        } = lost;
        format!("lost {queue_full} {write_failed}\n").into_bytes()
    };
    BackgroundWriter::start(stream.clone(), limits, Box::new(format)).unwrap()
}

#[test]
fn lines_are_written_in_order() {
    let stream = PlayedStream::default();
    let writer = start(&stream, limits());
    for line in ["a\n", "b\n", "c\n"] {
        writer.write_line(line.as_bytes());
    }
    assert!(writer.flush());
    assert_eq!(stream.text(), "a\nb\nc\n");
    assert_eq!(writer.lost_lines(), LostLines::default());
}

/// Guards against a wait for a stream that blocks, at a line or at the end of the process.
#[test]
fn a_stream_that_blocks_holds_up_nobody_and_its_lost_lines_are_told_once() {
    let stream = PlayedStream::default();
    let writer = start(&stream, limits());
    stream.set_blocked(true);
    let start = Instant::now();
    for _ in 0..100 {
        writer.write_line(b"x\n");
    }
    assert!(!writer.flush());
    let elapsed = start.elapsed();
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
    let lost = writer.lost_lines();
    assert_eq!(lost.write_failed, 0);
    stream.set_blocked(false);
    stream.wait_for("lost");
    assert!(writer.flush());
    let text = stream.text();
    let written = text.lines().filter(|line| *line == "x").count() as u64;
    assert_eq!(written + lost.queue_full, 100);
    // One line is being written, eight are queued.
    assert!((8..=9).contains(&written), "{text}");
    let notices: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("lost"))
        .collect();
    assert_eq!(notices, [format!("lost {} 0", lost.queue_full)]);
}

/// Guards against a queue of few but huge lines.
#[test]
fn the_queue_is_bounded_in_bytes() {
    let stream = PlayedStream::default();
    stream.set_blocked(true);
    let writer = start(&stream, limits());
    let long_line = [b"y".repeat(39), b"\n".to_vec()].concat();
    for _ in 0..3 {
        writer.write_line(&long_line);
    }
    // Of 64 bytes 40 are taken.
    assert_eq!(writer.lost_lines().queue_full, 2);
    stream.set_blocked(false);
    assert!(writer.flush());
    // A line longer than the limit is queued if nothing else is.
    let huge_line = [b"z".repeat(999), b"\n".to_vec()].concat();
    writer.write_line(&huge_line);
    assert!(writer.flush());
    assert!(stream.text().contains("zzz\n"));
    assert_eq!(writer.lost_lines().queue_full, 2);
}

#[test]
fn lines_whose_write_failed_are_counted_and_told() {
    let stream = PlayedStream::playing(&[Step::Fail(ErrorKind::StorageFull); 3]);
    let writer = start(&stream, limits());
    writer.write_line(b"a\n");
    stream.wait_for("lost 0 ");
    writer.write_line(b"b\n");
    assert!(writer.flush());
    // One failure was that of the line, the others were those of notices.
    assert_eq!(writer.lost_lines().write_failed, 1);
    assert_eq!(stream.text(), "lost 0 1\nb\n");
}

/// Guards against a line that is appended to the part of another one whose write failed midway.
#[test]
fn what_follows_a_part_of_a_line_begins_on_a_new_line() {
    let steps = [Step::WritePart(2), Step::Fail(ErrorKind::BrokenPipe)];
    let stream = PlayedStream::playing(&steps);
    let writer = start(&stream, limits());
    writer.write_line(b"abcd\n");
    stream.wait_for("lost 0 1\n");
    assert_eq!(stream.text(), "ab\nlost 0 1\n");
}

/// Guards against lines that are lost to what is no failure: signals, short writes, a full pipe in non-blocking mode.
#[test]
fn interrupted_short_and_deferred_writes_lose_nothing() {
    let steps = [
        Step::Fail(ErrorKind::Interrupted),
        Step::WritePart(1),
        Step::Fail(ErrorKind::WouldBlock),
        Step::WritePart(1),
        Step::Fail(ErrorKind::WouldBlock),
    ];
    let stream = PlayedStream::playing(&steps);
    let writer = start(&stream, limits());
    writer.write_line(b"abcd\n");
    assert!(writer.flush());
    assert_eq!(stream.text(), "abcd\n");
    assert_eq!(writer.lost_lines(), LostLines::default());
}

//! The time that a line of 120 bytes takes the thread that says it: written directly, and through a
//! [`BackgroundWriter`], to a file and to a pipe with a reader, in a row, one each 200 µs and one each 50 ms.

#![allow(clippy::print_stdout, reason = "a tool of developers, which may panic")]

use std::fs::File;
use std::io::{Read, Write};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use violetwind_output::{BackgroundWriter, WriterLimits};

const LINES: u32 = 4000;
const SPARSE_LINES: u32 = 40;
const SHORT_PAUSE: Duration = Duration::from_micros(200);
const LONG_PAUSE: Duration = Duration::from_millis(50);
const ROUNDS: usize = 7;

/// The mean time of a call in nanoseconds: the median of the rounds.
fn measure(lines: u32, pause: Option<Duration>, mut write_line: impl FnMut(&[u8])) -> u128 {
    let line = [b"x".repeat(119), b"\n".to_vec()].concat();
    let mut means: Vec<u128> = (0..ROUNDS)
        .map(|_| {
            let mut total = Duration::ZERO;
            for _ in 0..lines {
                let start = Instant::now();
                write_line(&line);
                total += start.elapsed();
                pause.inspect(|pause| sleep(*pause));
            }
            sleep(Duration::from_millis(50));
            total.as_nanos() / u128::from(lines)
        })
        .collect();
    means.sort_unstable();
    means[ROUNDS / 2]
}

fn pipe_with_reader() -> std::io::PipeWriter {
    let (mut reader, writer) = std::io::pipe().unwrap();
    thread::spawn(move || {
        let mut buffer = [0; 65536];
        while reader.read(&mut buffer).unwrap_or(0) > 0 {}
    });
    writer
}

fn compare<W: Write + Send + 'static>(name: &str, open: impl Fn() -> W) {
    let paces = [
        ("in a row", LINES, None),
        ("each 200 us", LINES, Some(SHORT_PAUSE)),
        ("each 50 ms", SPARSE_LINES, Some(LONG_PAUSE)),
    ];
    for (pace, lines, pause) in paces {
        let mut stream = open();
        let direct = measure(lines, pause, |line| stream.write_all(line).unwrap());
        let limits = WriterLimits::default();
        let writer = BackgroundWriter::start(open(), limits, Box::new(|_| b"lost\n".to_vec()));
        let writer = writer.unwrap();
        let background = measure(lines, pause, |line| writer.write_line(line));
        let lost = writer.lost_lines().total();
        println!(
            "{name}, {pace}: direct {direct} ns, in the background {background} ns, {lost} lines lost"
        );
    }
}

fn main() {
    let path = std::env::temp_dir().join(format!("violetwind-lines-{}", std::process::id()));
    compare("file", || File::create(&path).unwrap());
    compare("pipe", pipe_with_reader);
    std::fs::remove_file(path).unwrap();
}

//! Recorded encodings in `tests/encoding/FILE` of the crate: one sample per line, its name and its bytes in hex.
//!
//! Other builds read what is written to disk and to peers. A failing test here means that builds before and after the
//! change do not understand each other: that needs a new version of the format, not a new fixture.

// Each crate uses only some of these functions.
#![allow(dead_code)]

use std::fmt::{Debug, Write as _};
use std::fs;
use std::path::Path;

/// Compares the encoded samples with the recorded bytes, and the decoded recorded bytes with the samples.
pub fn check<T: Debug + PartialEq>(
    file: &str,
    samples: &[T],
    name: impl Fn(&T) -> &'static str,
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    let line = |sample| format!("{} {}\n", name(sample), hex(&encode(sample)));
    let recorded = check_text(file, &samples.iter().map(line).collect::<String>());
    for (line, sample) in recorded.lines().zip(samples) {
        let (_, digits) = line.split_once(' ').expect("a name and bytes");
        assert_eq!(decode(&bytes(digits)), *sample, "{file}: {line}");
    }
}

/// Compares a text with the recorded one and returns that. A text that differs is written to the build directory.
pub fn check_text(file: &str, encoded: &str) -> String {
    let recorded = recorded(file);
    if recorded != encoded {
        let actual = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::write(&actual, encoded).expect("the build's directory can be written");
        let differ = |(line, (old, new)): (usize, (&str, &str))| {
            (old != new).then(|| format!("line {}:\n  recorded {old}\n  now      {new}", line + 1))
        };
        let mut lines = recorded.lines().zip(encoded.lines()).enumerate();
        let first = lines.find_map(differ).unwrap_or("another length".into());
        panic!(
            "{file} differs, {first}\nall of it is in {}",
            actual.display()
        );
    }
    recorded
}

/// The contents of the file; empty if it is missing.
pub fn recorded(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/encoding");
    fs::read_to_string(path.join(file)).unwrap_or_default()
}

/// Bytes as hex digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut digits, byte| {
        write!(digits, "{byte:02x}").expect("a string takes all");
        digits
    })
}

/// Hex digits as bytes.
pub fn bytes(digits: &str) -> Vec<u8> {
    let digits = digits.trim();
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hex digits"))
        .collect()
}

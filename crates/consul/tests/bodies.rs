//! Splitting of bodies that arrive in chunks of any size, and of malformed bodies.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use violetwind_consul::Limits;
use violetwind_consul::rows::{BodyError, RowSplitter};

fn split(body: &[u8], chunk_bytes: usize, limits: &Limits) -> Result<Vec<String>, BodyError> {
    let mut splitter = RowSplitter::new(limits);
    let mut rows = Vec::new();
    for chunk in body.chunks(chunk_bytes) {
        splitter.feed(chunk, |row| {
            rows.push(String::from_utf8_lossy(row).into_owned())
        })?;
    }
    splitter.finish().map(|()| rows)
}

#[test]
fn rows_are_the_same_for_any_chunk_size() {
    let body = br#" [ {"a":"}]\"{"} ,{"b":[{"c":{}}],"d":"\\"}, {} ]
    "#;
    let rows = [r#"{"a":"}]\"{"}"#, r#"{"b":[{"c":{}}],"d":"\\"}"#, "{}"];
    for chunk_bytes in 1..=body.len() {
        assert_eq!(
            split(body, chunk_bytes, &Limits::default()).unwrap(),
            rows,
            "{chunk_bytes}"
        );
    }
    assert_eq!(split(b"[]", 1, &Limits::default()).unwrap().len(), 0);
}

#[test]
fn malformed_body_is_rejected_at_the_offending_byte() {
    let limits = Limits {
        max_row_bytes: 16,
        max_rows: 3,
        ..Limits::default()
    };
    let split_error = |body: &str| split(body.as_bytes(), 5, &limits).unwrap_err();
    assert_eq!(split_error("{}"), BodyError::NotAnArray(0));
    assert_eq!(split_error("[1]"), BodyError::NotAnArray(1));
    assert_eq!(split_error("[{},]"), BodyError::NotAnArray(4));
    assert_eq!(split_error("[{}{}]"), BodyError::NotAnArray(3));
    assert_eq!(split_error("[] []"), BodyError::NotAnArray(3));
    assert_eq!(split_error(""), BodyError::Truncated(0));
    assert_eq!(split_error("[{},{"), BodyError::Truncated(5));
    assert_eq!(split_error("[{},{},{},{}]"), BodyError::TooManyRows(3));
    assert!(matches!(
        split_error("[{\"aaaaaaaaaaaaaaaaaaaaaa\":1}]"),
        BodyError::RowTooLong(_)
    ));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(14),
        ..ProptestConfig::default()
    })]

    /// Arbitrary bodies in chunks of any size cause no panic, give the same result as in one chunk, and stay within
    /// the limits.
    #[test]
    fn hostile_bodies_are_bounded(
        body in prop::collection::vec(prop::sample::select(b"[]{}\",\\ a1:\n".to_vec()), 0..200),
        chunk_bytes in 1..50_usize,
    ) {
        let limits = Limits { max_row_bytes: 64, max_rows: 4, ..Limits::default() };
        let (chunked, unchunked) = (split(&body, chunk_bytes, &limits), split(&body, body.len().max(1), &limits));
        match (&chunked, &unchunked) {
            (Ok(chunked), Ok(unchunked)) => {
                prop_assert_eq!(chunked, unchunked);
                prop_assert!(chunked.len() <= 4 && chunked.iter().all(|row| row.len() <= 64));
            }
            (Err(_), Err(_)) => {}
            _ => prop_assert!(false, "{chunked:?} {unchunked:?}"),
        }
    }
}

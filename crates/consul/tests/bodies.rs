//! Bodies in parts of any size, and bodies that are none.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use violetwind_consul::Limits;
use violetwind_consul::rows::{BodyError, RowSplitter};

fn cut(body: &[u8], part: usize, limits: &Limits) -> Result<Vec<String>, BodyError> {
    let mut cutter = RowSplitter::new(limits);
    let mut rows = Vec::new();
    for part in body.chunks(part) {
        cutter.feed(part, |row| {
            rows.push(String::from_utf8_lossy(row).into_owned())
        })?;
    }
    cutter.finish().map(|()| rows)
}

#[test]
fn rows_are_cut_the_same_however_the_body_comes() {
    let body = br#" [ {"a":"}]\"{"} ,{"b":[{"c":{}}],"d":"\\"}, {} ]
    "#;
    let rows = [r#"{"a":"}]\"{"}"#, r#"{"b":[{"c":{}}],"d":"\\"}"#, "{}"];
    for part in 1..=body.len() {
        assert_eq!(cut(body, part, &Limits::default()).unwrap(), rows, "{part}");
    }
    assert_eq!(cut(b"[]", 1, &Limits::default()).unwrap().len(), 0);
}

#[test]
fn a_body_that_is_none_is_given_up_where_that_shows() {
    let limits = Limits {
        max_row_bytes: 16,
        max_rows: 3,
        ..Limits::default()
    };
    let fault = |body: &str| cut(body.as_bytes(), 5, &limits).unwrap_err();
    assert_eq!(fault("{}"), BodyError::NotAnArray(0));
    assert_eq!(fault("[1]"), BodyError::NotAnArray(1));
    assert_eq!(fault("[{},]"), BodyError::NotAnArray(4));
    assert_eq!(fault("[{}{}]"), BodyError::NotAnArray(3));
    assert_eq!(fault("[] []"), BodyError::NotAnArray(3));
    assert_eq!(fault(""), BodyError::Truncated(0));
    assert_eq!(fault("[{},{"), BodyError::Truncated(5));
    assert_eq!(fault("[{},{},{},{}]"), BodyError::TooManyRows(3));
    assert!(matches!(
        fault("[{\"aaaaaaaaaaaaaaaaaaaaaa\":1}]"),
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

    /// Whatever comes, in whatever parts: no panic, the same outcome, and never more than the limits.
    #[test]
    fn hostile_bodies_are_bounded(
        body in prop::collection::vec(prop::sample::select(b"[]{}\",\\ a1:\n".to_vec()), 0..200),
        part in 1..50_usize,
    ) {
        let limits = Limits { max_row_bytes: 64, max_rows: 4, ..Limits::default() };
        let (one, other) = (cut(&body, part, &limits), cut(&body, body.len().max(1), &limits));
        match (&one, &other) {
            (Ok(one), Ok(other)) => {
                prop_assert_eq!(one, other);
                prop_assert!(one.len() <= 4 && one.iter().all(|row| row.len() <= 64));
            }
            (Err(_), Err(_)) => {}
            _ => prop_assert!(false, "{one:?} {other:?}"),
        }
    }
}

//! What a whole list of 20,000 servers costs the catalogue: `cargo bench -p violetwind-catalogue`.

use std::time::{Duration, Instant};

use violetwind_catalogue::{Catalogue, Instance, Limits, ReportedStatus, Row, SourceUpdate};

fn rows(servers: usize, failing: impl Fn(usize) -> bool) -> Vec<Row> {
    let row = |n: usize| Row {
        uid: format!("server-{n}").into(),
        status: if failing(n) {
            ReportedStatus::Failing
        } else {
            ReportedStatus::Ready
        },
        instance: Some(Instance {
            endpoint: ([127, 0, (n >> 8) as u8, n as u8], 3000).into(),
            zone: Some("a".into()),
            kind: Some("m".into()),
            cell: 0,
            weight: Some(1.0),
            born: None,
            epoch: n as u64,
        }),
    };
    (0..servers).map(row).collect()
}

fn main() {
    let servers = 20_000;
    for changes in [0, 1, 1000] {
        let mut catalogue = Catalogue::new(Limits::default());
        let source = catalogue.add_source("one").expect("the first");
        catalogue.apply_update(1, source, SourceUpdate::Snapshot(rows(servers, |_| false)));
        let (mut took, mut facts) = (Duration::ZERO, 0);
        let rounds = 20;
        for round in 1..=rounds {
            let failing = |n: usize| (round * changes..(round + 1) * changes).contains(&n);
            let rows = rows(servers, failing);
            let start = Instant::now();
            facts += catalogue
                .apply_update(round as u64 * 1000, source, SourceUpdate::Snapshot(rows))
                .len();
            took += start.elapsed();
        }
        let each = took.as_secs_f64() * 1e3 / f64::from(rounds as u32);
        println!(
            "{servers} rows, {changes} changed: {each:.1} ms, {} facts",
            facts / rounds
        );
    }
}

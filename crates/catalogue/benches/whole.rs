//! Measures how long the catalogue takes to apply a snapshot of 20,000 servers:
//! `cargo bench -p violetwind-catalogue`.

#![allow(clippy::print_stdout, reason = "a tool of developers, which may panic")]

use std::time::{Duration, Instant};

use violetwind_catalogue::{Catalogue, Instance, Limits, ReportedStatus, Row, SourceUpdate};

fn rows(servers: usize, failing: impl Fn(usize) -> bool) -> Vec<Row> {
    let new_row = |index: usize| Row {
        uid: format!("server-{index}").into(),
        status: if failing(index) {
            ReportedStatus::Failing
        } else {
            ReportedStatus::Ready
        },
        instance: Some(Instance {
            endpoint: ([127, 0, (index >> 8) as u8, index as u8], 3000).into(),
            zone: Some("a".into()),
            kind: Some("m".into()),
            cell: 0,
            weight: Some(1.0),
            started_at: None,
            registration_index: index as u64,
        }),
    };
    (0..servers).map(new_row).collect()
}

fn main() {
    let servers = 20_000;
    for changed_servers in [0, 1, 1000] {
        let mut catalogue = Catalogue::new(Limits::default());
        let source = catalogue
            .add_source("one")
            .expect("room for the first source");
        catalogue.apply_update(1, source, SourceUpdate::Snapshot(rows(servers, |_| false)));
        let (mut elapsed, mut changes) = (Duration::ZERO, 0);
        let rounds = 20;
        for round in 1..=rounds {
            let failing = |index: usize| {
                (round * changed_servers..(round + 1) * changed_servers).contains(&index)
            };
            let rows = rows(servers, failing);
            let start = Instant::now();
            changes += catalogue
                .apply_update(round as u64 * 1000, source, SourceUpdate::Snapshot(rows))
                .len();
            elapsed += start.elapsed();
        }
        let ms_per_round = elapsed.as_secs_f64() * 1e3 / f64::from(rounds as u32);
        println!(
            "{servers} rows, {changed_servers} changed: {ms_per_round:.1} ms, {} status changes",
            changes / rounds
        );
    }
}

//! The effective status of servers: each step of a test is an event at a time, with the changes expected from it.

use violetwind_catalogue::{
    Catalogue, EffectiveStatus, Instance, Limits, Millis, ReportedStatus, Row, SourceId,
    SourceUpdate, StatusChange, StatusReason,
};

const START: Millis = 1_700_000_000_000;

fn row(uid: &str, status: ReportedStatus) -> Row {
    row_at_port(uid, status, 3000)
}

fn row_at_port(uid: &str, status: ReportedStatus, port: u16) -> Row {
    Row {
        uid: uid.into(),
        status,
        instance: Some(Instance {
            endpoint: ([127, 0, 0, 1], port).into(),
            zone: None,
            kind: None,
            cell: 0,
            weight: None,
            started_at: None,
            registration_index: 1,
        }),
    }
}

fn server_names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("s-{n:05}")).collect()
}

fn snapshot(names: &[String], status: impl Fn(usize) -> Option<ReportedStatus>) -> SourceUpdate {
    let rows = names.iter().enumerate();
    SourceUpdate::Snapshot(
        rows.filter_map(|(n, uid)| Some(row(uid, status(n)?)))
            .collect(),
    )
}

/// Returns a catalogue with one source that has listed `count` servers as ready.
fn catalogue_with_ready_servers(count: usize) -> (Catalogue, SourceId, Vec<String>) {
    let mut catalogue = Catalogue::new(Limits::default());
    let source = catalogue.add_source("one").unwrap();
    let names = server_names(count);
    let changes = catalogue.apply_update(
        START,
        source,
        snapshot(&names, |_| Some(ReportedStatus::Ready)),
    );
    assert_eq!(changes.len(), count);
    assert!(
        changes
            .iter()
            .all(|change| change.status == EffectiveStatus::Ready)
    );
    // Servers in the first snapshot may have been running for a long time, so none of them counts as cold.
    assert!(changes.iter().all(|change| change.started_at.is_none()));
    (catalogue, source, names)
}

fn delta(rows: Vec<Row>) -> SourceUpdate {
    SourceUpdate::Delta(rows)
}

fn statuses(changes: &[StatusChange]) -> Vec<(&str, EffectiveStatus)> {
    changes
        .iter()
        .map(|change| (&*change.uid, change.status))
        .collect()
}

/// Advances time from tick to tick as the engine does, and collects the changes.
fn run_until(catalogue: &mut Catalogue, from: Millis, to: Millis) -> Vec<(Millis, StatusChange)> {
    let mut changes = Vec::new();
    let mut now = from;
    while let Some(tick_at) = catalogue.next_tick().filter(|tick_at| *tick_at <= to) {
        now = tick_at.max(now);
        changes.extend(catalogue.tick(now).into_iter().map(|change| (now, change)));
    }
    changes
}

#[test]
fn failing_server_is_suspected_and_gone_once_it_stops_answering() {
    let (mut catalogue, source, names) = catalogue_with_ready_servers(10);
    let changes = catalogue.apply_update(
        START + 1000,
        source,
        delta(vec![row(&names[3], ReportedStatus::Failing)]),
    );
    assert_eq!(
        statuses(&changes),
        [(&*names[3], EffectiveStatus::Suspected)]
    );
    assert_eq!(changes[0].reason, StatusReason::ReportedFailing);
    // The server answers for ten minutes, so its connections stay.
    for second in 2..600 {
        assert!(
            catalogue
                .record_liveness(START + second * 1000, &names[3], true)
                .is_empty()
        );
    }
    assert!(run_until(&mut catalogue, START + 1000, START + 600_000).is_empty());
    assert!(
        catalogue
            .record_liveness(START + 601_000, &names[3], false)
            .is_empty()
    );
    let changes = catalogue.record_liveness(START + 602_000, &names[3], false);
    assert_eq!(statuses(&changes), [(&*names[3], EffectiveStatus::Gone)]);
    assert_eq!(changes[0].reason, StatusReason::Unresponsive);
    // Listed as ready again, it counts as cold because its process may be new.
    let changes = catalogue.apply_update(
        START + 700_000,
        source,
        delta(vec![row(&names[3], ReportedStatus::Ready)]),
    );
    assert_eq!(statuses(&changes), [(&*names[3], EffectiveStatus::Ready)]);
    assert_eq!(changes[0].started_at, Some(START + 700_000));
}

#[test]
fn missed_responses_alone_change_no_status() {
    let (mut catalogue, _, names) = catalogue_with_ready_servers(10);
    for second in 1..10 {
        // The balancer suspects unresponsive servers itself; no source reports this one as failing or absent.
        assert!(
            catalogue
                .record_liveness(START + second * 1000, &names[3], false)
                .is_empty()
        );
    }
}

#[test]
fn unlisted_server_is_gone_after_the_absence_timeout_and_removed_later() {
    let (mut catalogue, source, names) = catalogue_with_ready_servers(10);
    let changes = catalogue.apply_update(
        START + 1000,
        source,
        snapshot(&names, |n| (n != 4).then_some(ReportedStatus::Ready)),
    );
    assert_eq!(
        statuses(&changes),
        [(&*names[4], EffectiveStatus::Suspected)]
    );
    assert_eq!(changes[0].reason, StatusReason::Unlisted);
    let changes = run_until(&mut catalogue, START + 1000, START + 70_000);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(
        (START + 61_000..START + 62_000).contains(&changes[0].0),
        "{changes:?}"
    );
    assert_eq!(changes[0].1.reason, StatusReason::AbsenceExpired);
    // Later the server is removed.
    run_until(&mut catalogue, START + 70_000, START + 200_000);
    assert_eq!(catalogue.len(), 9);
}

/// A flap must move no connection: half of all health checks fail for two seconds.
#[test]
fn half_the_servers_failing_for_two_seconds_changes_nothing() {
    let (mut catalogue, source, names) = catalogue_with_ready_servers(100);
    let half_status = |n: usize| {
        Some(if n.is_multiple_of(2) {
            ReportedStatus::Failing
        } else {
            ReportedStatus::Ready
        })
    };
    assert!(
        catalogue
            .apply_update(START + 5000, source, snapshot(&names, half_status))
            .is_empty()
    );
    assert!(run_until(&mut catalogue, START + 5000, START + 7000).is_empty());
    let changes = catalogue.apply_update(
        START + 7000,
        source,
        snapshot(&names, |_| Some(ReportedStatus::Ready)),
    );
    assert!(changes.is_empty(), "{changes:?}");
    assert_eq!(catalogue.counts().distrusted_sources, 1);
    // The source is trusted again after the recovery delay.
    assert!(run_until(&mut catalogue, START + 7000, START + 60_000).is_empty());
    assert!(
        catalogue
            .sources()
            .all(|source| source.distrusted_since.is_none())
    );
    let changes = catalogue.apply_update(
        START + 60_000,
        source,
        delta(vec![row(&names[0], ReportedStatus::Failing)]),
    );
    assert_eq!(
        statuses(&changes),
        [(&*names[0], EffectiveStatus::Suspected)]
    );
}

/// Half of the servers are missing from a snapshot for two seconds, three times a minute for ten minutes.
#[test]
fn half_the_servers_missing_three_times_a_minute_changes_nothing() {
    let (mut catalogue, source, names) = catalogue_with_ready_servers(100);
    for repetition in 1..30 {
        let at = START + repetition * 20_000;
        let half_status = |n: usize| n.is_multiple_of(2).then_some(ReportedStatus::Ready);
        let mut changes = catalogue.apply_update(at, source, snapshot(&names, half_status));
        changes.extend(
            run_until(&mut catalogue, at, at + 2000)
                .into_iter()
                .map(|change| change.1),
        );
        changes.extend(catalogue.apply_update(
            at + 2000,
            source,
            snapshot(&names, |_| Some(ReportedStatus::Ready)),
        ));
        changes.extend(
            run_until(&mut catalogue, at + 2000, at + 20_000)
                .into_iter()
                .map(|change| change.1),
        );
        assert!(changes.is_empty(), "{repetition}: {changes:?}");
    }
}

/// Failures that arrive one by one look like single failures at first. Once there are enough of them, the source
/// is distrusted and all of the servers become ready again.
#[test]
fn suspicions_are_revoked_when_successive_failures_make_the_source_distrusted() {
    let (mut catalogue, source, names) = catalogue_with_ready_servers(20);
    let mut suspects = 0_i32;
    for (index, uid) in names[..10].iter().enumerate() {
        let update = delta(vec![row(uid, ReportedStatus::Failing)]);
        for change in catalogue.apply_update(START + 1000 + index as u64, source, update) {
            suspects += if change.status == EffectiveStatus::Suspected {
                1
            } else {
                -1
            };
        }
    }
    assert_eq!(suspects, 0);
}

#[test]
fn unresponsive_server_of_a_distrusted_source_is_gone() {
    let (mut catalogue, source, names) = catalogue_with_ready_servers(10);
    let half_status = |n: usize| {
        Some(if n < 5 {
            ReportedStatus::Failing
        } else {
            ReportedStatus::Ready
        })
    };
    assert!(
        catalogue
            .apply_update(START + 1000, source, snapshot(&names, half_status))
            .is_empty()
    );
    for uid in &names {
        catalogue.record_liveness(START + 1500, uid, uid != &names[1]);
    }
    let changes = catalogue.record_liveness(START + 2500, &names[1], false);
    assert_eq!(statuses(&changes), [(&*names[1], EffectiveStatus::Gone)]);
    // Missed responses of a server that the source reports as ready change nothing.
    catalogue.record_liveness(START + 1500, &names[8], false);
    assert!(
        catalogue
            .record_liveness(START + 2500, &names[8], false)
            .is_empty()
    );
}

/// The source does not answer for an hour, then lists half of the servers and as many new ones.
#[test]
fn hour_of_unavailability_changes_nothing_and_a_different_half_expires_at_a_bounded_rate() {
    let hour = 3_600_000;
    let (mut catalogue, source, names) = catalogue_with_ready_servers(100);
    for second in 0..3600 {
        assert!(
            catalogue
                .apply_update(START + second * 1000, source, SourceUpdate::Unavailable)
                .is_empty()
        );
    }
    assert_eq!(
        catalogue.sources().next().unwrap().unavailable_since,
        Some(START)
    );
    let resumed_at = START + hour;
    let mut rows: Vec<Row> = names[..50]
        .iter()
        .map(|uid| row(uid, ReportedStatus::Ready))
        .collect();
    rows.extend((0..50).map(|index| row(&format!("new-{index:02}"), ReportedStatus::Ready)));
    let changes = catalogue.apply_update(resumed_at, source, SourceUpdate::Snapshot(rows.clone()));
    // The new servers are added at once and count as cold; no change is published for the others.
    assert_eq!(changes.len(), 50);
    assert!(
        changes
            .iter()
            .all(|change| change.uid.starts_with("new-") && change.started_at == Some(resumed_at))
    );
    // The missing servers still answer. Once the maximum distrust time is over they expire, two of a hundred per
    // second.
    let changes = run_until(&mut catalogue, resumed_at, resumed_at + 599_000);
    assert!(changes.is_empty(), "{:?}", changes.first());
    let changes = run_until(&mut catalogue, resumed_at + 599_000, resumed_at + 700_000);
    let gone: Vec<Millis> = changes
        .iter()
        .filter(|(_, change)| change.status == EffectiveStatus::Gone)
        .map(|(at, _)| *at)
        .collect();
    assert_eq!(gone.len(), 50);
    for (index, at) in gone.iter().enumerate() {
        let within_one_second = gone[index..]
            .iter()
            .take_while(|other_gone_at| **other_gone_at < at + 1000);
        assert!(
            within_one_second.count() <= 6,
            "more than 6 servers gone within a second at {} ms",
            at - resumed_at
        );
    }
}

#[test]
fn drain_reported_by_one_source_overrides_ready_from_another() {
    let (mut catalogue, first_source, names) = catalogue_with_ready_servers(4);
    let second_source = catalogue.add_source("two").unwrap();
    catalogue.apply_update(
        START,
        second_source,
        snapshot(&names, |_| Some(ReportedStatus::Ready)),
    );
    let changes = catalogue.apply_update(
        START + 1,
        first_source,
        delta(vec![row(&names[0], ReportedStatus::Draining)]),
    );
    assert_eq!(
        statuses(&changes),
        [(&*names[0], EffectiveStatus::Draining)]
    );
    // Repeated ready reports from the other source don't override the drain.
    for offset_ms in 2..100 {
        assert!(
            catalogue
                .apply_update(
                    START + offset_ms,
                    second_source,
                    snapshot(&names, |_| Some(ReportedStatus::Ready))
                )
                .is_empty()
        );
    }
    // The source that reported the drain stops listing the server. The other source's ready report still doesn't
    // make it ready.
    catalogue.apply_update(
        START + 100,
        first_source,
        snapshot(&names, |index| (index > 0).then_some(ReportedStatus::Ready)),
    );
    assert!(run_until(&mut catalogue, START + 100, START + 500_000).is_empty());
    let changes = catalogue.apply_update(
        START + 500_000,
        first_source,
        delta(vec![row(&names[0], ReportedStatus::Ready)]),
    );
    assert_eq!(statuses(&changes), [(&*names[0], EffectiveStatus::Ready)]);
}

#[test]
fn server_absent_from_one_source_and_listed_by_another_is_ready() {
    let (mut catalogue, first_source, names) = catalogue_with_ready_servers(4);
    let second_source = catalogue.add_source("two").unwrap();
    catalogue.apply_update(
        START,
        second_source,
        snapshot(&names, |_| Some(ReportedStatus::Ready)),
    );
    assert!(
        catalogue
            .apply_update(
                START + 1,
                first_source,
                snapshot(&names, |index| (index > 0).then_some(ReportedStatus::Ready))
            )
            .is_empty()
    );
    // Unlike absence, a failing report makes the server suspected even if another source lists it as ready.
    let changes = catalogue.apply_update(
        START + 2,
        second_source,
        delta(vec![row(&names[1], ReportedStatus::Failing)]),
    );
    assert_eq!(
        statuses(&changes),
        [(&*names[1], EffectiveStatus::Suspected)]
    );
}

#[test]
fn same_uid_at_a_new_address_counts_as_cold() {
    let (mut catalogue, source, names) = catalogue_with_ready_servers(10);
    let snapshot_without_server = snapshot(&names, |index| {
        (index != 2).then_some(ReportedStatus::Ready)
    });
    catalogue.apply_update(START + 1000, source, snapshot_without_server);
    let changes = catalogue.apply_update(
        START + 3000,
        source,
        delta(vec![row_at_port(&names[2], ReportedStatus::Ready, 4000)]),
    );
    assert_eq!(statuses(&changes), [(&*names[2], EffectiveStatus::Ready)]);
    assert_eq!(changes[0].instance.endpoint.port(), 4000);
    assert_eq!(changes[0].started_at, Some(START + 3000));
}

#[test]
fn flapping_server_is_damped_and_ready_again_once_the_penalty_decays() {
    let (mut catalogue, source, names) = catalogue_with_ready_servers(100);
    let mut last_changes = Vec::new();
    for repetition in 0..4 {
        let failed_at = START + 1000 + repetition * 4000;
        catalogue.apply_update(
            failed_at,
            source,
            delta(vec![row(&names[7], ReportedStatus::Failing)]),
        );
        run_until(&mut catalogue, failed_at, failed_at + 2000);
        last_changes = catalogue.apply_update(
            failed_at + 2000,
            source,
            delta(vec![row(&names[7], ReportedStatus::Ready)]),
        );
    }
    // The penalty has reached the suppress threshold of 3, so the recovery doesn't take effect at once.
    assert!(last_changes.is_empty(), "{last_changes:?}");
    let damped_view = catalogue
        .servers()
        .find(|view| view.uid == names[7])
        .unwrap();
    assert_eq!(
        (damped_view.status, damped_view.reason),
        (EffectiveStatus::Suspected, StatusReason::FlapDamped)
    );
    let changes = run_until(&mut catalogue, START + 20_000, START + 400_000);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].1.status, EffectiveStatus::Ready);
    // The penalty halves every minute: from above 3 to below 1 it takes more than 90 s.
    assert!((START + 100_000..START + 200_000).contains(&changes[0].0));
    assert!(catalogue.next_tick().is_none(), "no tick is due");
}

#[test]
fn only_drains_of_a_stale_snapshot_take_effect() {
    let (mut catalogue, source, names) = catalogue_with_ready_servers(10);
    let rows = vec![
        row(&names[0], ReportedStatus::Draining),
        row(&names[1], ReportedStatus::Failing),
        row("new", ReportedStatus::Ready),
    ];
    let changes = catalogue.apply_update(START + 1, source, SourceUpdate::StaleSnapshot(rows));
    assert_eq!(
        statuses(&changes),
        [(&*names[0], EffectiveStatus::Draining)]
    );
    // A stale snapshot doesn't revoke a drain either.
    let rows = vec![row(&names[0], ReportedStatus::Ready)];
    assert!(
        catalogue
            .apply_update(START + 2, source, SourceUpdate::StaleSnapshot(rows))
            .is_empty()
    );
}

/// A reload by SIGHUP replaces a source: the reports of the old source stay in effect until the new one has
/// delivered a snapshot.
#[test]
fn reports_of_a_retired_source_stay_until_its_replacement_delivers_a_snapshot() {
    let (mut catalogue, old_source, names) = catalogue_with_ready_servers(10);
    let new_source = catalogue.add_source("new").unwrap();
    assert!(catalogue.retire_source(START + 1, old_source).is_empty());
    assert!(
        catalogue
            .apply_update(START + 2, old_source, snapshot(&names, |_| None))
            .is_empty(),
        "a retired source has no effect"
    );
    assert!(
        catalogue
            .apply_update(START + 3, new_source, SourceUpdate::Unavailable)
            .is_empty()
    );
    let changes = catalogue.apply_update(
        START + 4,
        new_source,
        snapshot(&names, |index| (index < 9).then_some(ReportedStatus::Ready)),
    );
    assert_eq!(
        statuses(&changes),
        [(&*names[9], EffectiveStatus::Suspected)]
    );
    // The number of the retired source is reused once no reports of it are left.
    run_until(&mut catalogue, START + 4, START + 300_000);
    assert_eq!(catalogue.add_source("third"), Some(old_source));
}

#[test]
fn full_catalogue_evicts_the_longest_unlisted_server_and_otherwise_refuses() {
    let limits = Limits {
        max_servers: 10,
        ..Limits::default()
    };
    let mut catalogue = Catalogue::new(limits);
    let source = catalogue.add_source("one").unwrap();
    let names = server_names(10);
    catalogue.apply_update(
        START,
        source,
        snapshot(&names, |_| Some(ReportedStatus::Ready)),
    );
    assert!(
        catalogue
            .apply_update(
                START + 1,
                source,
                delta(vec![row("x", ReportedStatus::Ready)])
            )
            .is_empty()
    );
    assert_eq!((catalogue.len(), catalogue.counts().refused), (10, 1));
    catalogue.apply_update(
        START + 2,
        source,
        delta(vec![row(&names[6], ReportedStatus::Left)]),
    );
    let changes = catalogue.apply_update(
        START + 3,
        source,
        delta(vec![row("x", ReportedStatus::Ready)]),
    );
    let expected = [
        (&*names[6], EffectiveStatus::Gone),
        ("x", EffectiveStatus::Ready),
    ];
    assert_eq!(statuses(&changes), expected);
    assert_eq!((catalogue.len(), catalogue.counts().evicted), (10, 1));
}

/// An incomplete snapshot must not look like the loss of the servers in the missing parts.
#[test]
fn snapshot_in_parts_takes_effect_at_its_last_part_except_drains() {
    let (mut catalogue, source, names) = catalogue_with_ready_servers(100);
    let part = |from: usize, to: usize, status: ReportedStatus| {
        let rows = names[from..to].iter().map(|uid| row(uid, status)).collect();
        SourceUpdate::SnapshotPart {
            first: from == 0,
            last: to == 100,
            rows,
        }
    };
    let changes = catalogue.apply_update(START + 1, source, part(0, 10, ReportedStatus::Draining));
    assert_eq!(changes.len(), 10);
    assert!(
        changes
            .iter()
            .all(|change| change.status == EffectiveStatus::Draining)
    );
    assert!(
        catalogue
            .apply_update(START + 2, source, part(10, 30, ReportedStatus::Failing))
            .is_empty()
    );
    assert!(
        catalogue
            .record_liveness(START + 3, &names[12], false)
            .is_empty()
    );
    // 20 of 100 servers fail and one is missing: too few for distrust.
    let rows = names[30..99]
        .iter()
        .map(|uid| row(uid, ReportedStatus::Ready))
        .collect();
    let changes = catalogue.apply_update(
        START + 4,
        source,
        SourceUpdate::SnapshotPart {
            first: false,
            last: true,
            rows,
        },
    );
    assert_eq!(changes.len(), 21);
    assert!(
        changes
            .iter()
            .all(|change| change.status == EffectiveStatus::Suspected)
    );
    // A snapshot that was aborted defers no changes for long, and its remaining parts are not taken for a snapshot.
    catalogue.apply_update(START + 10_000, source, part(0, 10, ReportedStatus::Failing));
    catalogue.apply_update(START + 10_001, source, SourceUpdate::Unavailable);
    let rows = vec![row(&names[99], ReportedStatus::Ready)];
    let rest = SourceUpdate::SnapshotPart {
        first: false,
        last: true,
        rows,
    };
    assert!(
        catalogue
            .apply_update(START + 10_002, source, rest)
            .is_empty()
    );
}

/// 1,000 of 20,000 servers change each second: the status changes match the updates, and memory stays bounded.
#[test]
fn thousand_changes_per_second_among_twenty_thousand_servers_stay_bounded() {
    let (mut catalogue, source, names) = catalogue_with_ready_servers(20_000);
    let mut failing: Vec<bool> = vec![false; names.len()];
    for second in 1..=20_u64 {
        let first_changed = second as usize * 1000 % names.len();
        let mut changed = Vec::new();
        for (index, uid) in names.iter().enumerate().skip(first_changed).take(1000) {
            failing[index] = !failing[index];
            let status = if failing[index] {
                ReportedStatus::Failing
            } else {
                ReportedStatus::Ready
            };
            changed.push(row(uid, status));
        }
        let changes = catalogue.apply_update(START + second * 1000, source, delta(changed));
        assert!(catalogue.len() == names.len() && changes.len() <= 20_000);
        let distrusted = catalogue
            .sources()
            .any(|source| source.distrusted_since.is_some());
        let suspects = catalogue
            .servers()
            .filter(|view| view.status == EffectiveStatus::Suspected)
            .count();
        // 5% per second: from the sixth second on more than a quarter of the servers became suspect within the
        // window of 30 s.
        let expected = if second <= 5 {
            second as usize * 1000
        } else {
            0
        };
        assert_eq!(
            suspects, expected,
            "second {second}, distrusted: {distrusted}"
        );
        catalogue.tick(START + second * 1000 + 500);
    }
    assert_eq!(catalogue.counts().distrusted_sources, 1);
}

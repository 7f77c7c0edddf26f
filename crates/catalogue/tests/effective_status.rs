//! What is believed, told as tables of events: each line of a test is a moment and what changes then.

use violetwind_catalogue::{
    Catalogue, EffectiveStatus, Instance, Limits, Millis, ReportedStatus, Row, SourceId,
    SourceUpdate, StatusChange, StatusReason,
};

const T: Millis = 1_700_000_000_000;

fn row(uid: &str, word: ReportedStatus) -> Row {
    at_port(uid, word, 3000)
}

fn at_port(uid: &str, word: ReportedStatus, port: u16) -> Row {
    Row {
        uid: uid.into(),
        status: word,
        instance: Some(Instance {
            endpoint: ([127, 0, 0, 1], port).into(),
            zone: None,
            kind: None,
            cell: 0,
            weight: None,
            born: None,
            epoch: 1,
        }),
    }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("s-{n:05}")).collect()
}

fn whole(names: &[String], word: impl Fn(usize) -> Option<ReportedStatus>) -> SourceUpdate {
    let rows = names.iter().enumerate();
    SourceUpdate::Snapshot(
        rows.filter_map(|(n, uid)| Some(row(uid, word(n)?)))
            .collect(),
    )
}

/// A catalogue with one source that has listed so many servers as ready.
fn listed(count: usize) -> (Catalogue, SourceId, Vec<String>) {
    let mut catalogue = Catalogue::new(Limits::default());
    let source = catalogue.add_source("one").unwrap();
    let names = names(count);
    let facts = catalogue.apply_update(T, source, whole(&names, |_| Some(ReportedStatus::Ready)));
    assert_eq!(facts.len(), count);
    assert!(
        facts
            .iter()
            .all(|fact| fact.status == EffectiveStatus::Ready)
    );
    // What a first list tells of may have run for long: none of it counts as cold.
    assert!(facts.iter().all(|fact| fact.born.is_none()));
    (catalogue, source, names)
}

fn changes(rows: Vec<Row>) -> SourceUpdate {
    SourceUpdate::Delta(rows)
}

fn beliefs(facts: &[StatusChange]) -> Vec<(&str, EffectiveStatus)> {
    facts.iter().map(|f| (&*f.uid, f.status)).collect()
}

/// Lets time pass as the engine does, and gathers what changes.
fn until(catalogue: &mut Catalogue, from: Millis, to: Millis) -> Vec<(Millis, StatusChange)> {
    let mut facts = Vec::new();
    let mut now = from;
    while let Some(at) = catalogue.next_tick().filter(|at| *at <= to) {
        now = at.max(now);
        facts.extend(catalogue.tick(now).into_iter().map(|fact| (now, fact)));
    }
    facts
}

#[test]
fn one_failed_check_is_a_suspicion_and_silence_besides_is_the_end() {
    let (mut c, source, names) = listed(10);
    let facts = c.apply_update(
        T + 1000,
        source,
        changes(vec![row(&names[3], ReportedStatus::Failing)]),
    );
    assert_eq!(beliefs(&facts), [(&*names[3], EffectiveStatus::Suspected)]);
    assert_eq!(facts[0].reason, StatusReason::ReportedFailing);
    // It answers for ten minutes: its clients stay.
    for second in 2..600 {
        assert!(
            c.record_liveness(T + second * 1000, &names[3], true)
                .is_empty()
        );
    }
    assert!(until(&mut c, T + 1000, T + 600_000).is_empty());
    assert!(c.record_liveness(T + 601_000, &names[3], false).is_empty());
    let facts = c.record_liveness(T + 602_000, &names[3], false);
    assert_eq!(beliefs(&facts), [(&*names[3], EffectiveStatus::Gone)]);
    assert_eq!(facts[0].reason, StatusReason::Unresponsive);
    // Back: cold, for its process may be new.
    let facts = c.apply_update(
        T + 700_000,
        source,
        changes(vec![row(&names[3], ReportedStatus::Ready)]),
    );
    assert_eq!(beliefs(&facts), [(&*names[3], EffectiveStatus::Ready)]);
    assert_eq!(facts[0].born, Some(T + 700_000));
}

#[test]
fn silence_alone_is_no_catalogue_matter() {
    let (mut c, _, names) = listed(10);
    for second in 1..10 {
        // The module has its own suspicion; no source has spoken against it.
        assert!(
            c.record_liveness(T + second * 1000, &names[3], false)
                .is_empty()
        );
    }
}

#[test]
fn a_server_that_nobody_lists_is_gone_after_a_while_though_it_answers() {
    let (mut c, source, names) = listed(10);
    let facts = c.apply_update(
        T + 1000,
        source,
        whole(&names, |n| (n != 4).then_some(ReportedStatus::Ready)),
    );
    assert_eq!(beliefs(&facts), [(&*names[4], EffectiveStatus::Suspected)]);
    assert_eq!(facts[0].reason, StatusReason::Unlisted);
    let facts = until(&mut c, T + 1000, T + 70_000);
    assert_eq!(facts.len(), 1, "{facts:?}");
    assert!((T + 61_000..T + 62_000).contains(&facts[0].0), "{facts:?}");
    assert_eq!(facts[0].1.reason, StatusReason::AbsenceExpired);
    // And forgotten later.
    until(&mut c, T + 70_000, T + 200_000);
    assert_eq!(c.len(), 9);
}

/// The flap of the issue: half of all checks fail for two seconds.
#[test]
fn half_a_fleet_that_fails_for_two_seconds_changes_nothing() {
    let (mut c, source, names) = listed(100);
    let half = |n: usize| {
        Some(if n.is_multiple_of(2) {
            ReportedStatus::Failing
        } else {
            ReportedStatus::Ready
        })
    };
    assert!(
        c.apply_update(T + 5000, source, whole(&names, half))
            .is_empty()
    );
    assert!(until(&mut c, T + 5000, T + 7000).is_empty());
    let facts = c.apply_update(
        T + 7000,
        source,
        whole(&names, |_| Some(ReportedStatus::Ready)),
    );
    assert!(facts.is_empty(), "{facts:?}");
    assert_eq!(c.counts().distrusted_sources, 1);
    // Trusted again after a while of calm.
    assert!(until(&mut c, T + 7000, T + 60_000).is_empty());
    assert!(c.sources().all(|source| source.distrusted_since.is_none()));
    let facts = c.apply_update(
        T + 60_000,
        source,
        changes(vec![row(&names[0], ReportedStatus::Failing)]),
    );
    assert_eq!(beliefs(&facts), [(&*names[0], EffectiveStatus::Suspected)]);
}

/// The same left out of a whole list, three times a minute for ten minutes.
#[test]
fn half_a_fleet_that_vanishes_three_times_a_minute_changes_nothing() {
    let (mut c, source, names) = listed(100);
    for time in 1..30 {
        let at = T + time * 20_000;
        let half = |n: usize| n.is_multiple_of(2).then_some(ReportedStatus::Ready);
        let mut facts = c.apply_update(at, source, whole(&names, half));
        facts.extend(until(&mut c, at, at + 2000).into_iter().map(|f| f.1));
        facts.extend(c.apply_update(
            at + 2000,
            source,
            whole(&names, |_| Some(ReportedStatus::Ready)),
        ));
        facts.extend(
            until(&mut c, at + 2000, at + 20_000)
                .into_iter()
                .map(|f| f.1),
        );
        assert!(facts.is_empty(), "{time}: {facts:?}");
    }
}

/// Words that come one by one look like single failures at first; with the next ones the source is
/// doubted and all of them are taken back.
#[test]
fn a_fleet_that_fails_one_by_one_at_a_go_is_taken_back() {
    let (mut c, source, names) = listed(20);
    let mut suspects = 0_i32;
    for (n, uid) in names[..10].iter().enumerate() {
        let word = changes(vec![row(uid, ReportedStatus::Failing)]);
        for fact in c.apply_update(T + 1000 + n as u64, source, word) {
            suspects += if fact.status == EffectiveStatus::Suspected {
                1
            } else {
                -1
            };
        }
    }
    assert_eq!(suspects, 0);
}

#[test]
fn of_a_doubted_source_those_that_do_not_answer_are_believed_dead() {
    let (mut c, source, names) = listed(10);
    let half = |n: usize| {
        Some(if n < 5 {
            ReportedStatus::Failing
        } else {
            ReportedStatus::Ready
        })
    };
    assert!(
        c.apply_update(T + 1000, source, whole(&names, half))
            .is_empty()
    );
    for uid in &names {
        c.record_liveness(T + 1500, uid, uid != &names[1]);
    }
    let facts = c.record_liveness(T + 2500, &names[1], false);
    assert_eq!(beliefs(&facts), [(&*names[1], EffectiveStatus::Gone)]);
    // One that the source speaks well of is not its matter.
    c.record_liveness(T + 1500, &names[8], false);
    assert!(c.record_liveness(T + 2500, &names[8], false).is_empty());
}

/// An hour without an answer, then a list with a different half.
#[test]
fn an_hour_of_silence_changes_nothing_and_a_different_half_is_no_wave() {
    let hour = 3_600_000;
    let (mut c, source, names) = listed(100);
    for second in 0..3600 {
        assert!(
            c.apply_update(T + second * 1000, source, SourceUpdate::Unavailable)
                .is_empty()
        );
    }
    assert_eq!(c.sources().next().unwrap().unavailable_since, Some(T));
    let back = T + hour;
    let mut rows: Vec<Row> = names[..50]
        .iter()
        .map(|n| row(n, ReportedStatus::Ready))
        .collect();
    rows.extend((0..50).map(|n| row(&format!("new-{n:02}"), ReportedStatus::Ready)));
    let facts = c.apply_update(back, source, SourceUpdate::Snapshot(rows.clone()));
    // One step: the new ones are there, and cold; of the others nobody is told anything.
    assert_eq!(facts.len(), 50);
    assert!(
        facts
            .iter()
            .all(|f| f.uid.starts_with("new-") && f.born == Some(back))
    );
    // They answer: once the source has said so for long enough they go, two a second of a hundred.
    let facts = until(&mut c, back, back + 599_000);
    assert!(facts.is_empty(), "{:?}", facts.first());
    let facts = until(&mut c, back + 599_000, back + 700_000);
    let gone: Vec<Millis> = facts
        .iter()
        .filter(|(_, f)| f.status == EffectiveStatus::Gone)
        .map(|(at, _)| *at)
        .collect();
    assert_eq!(gone.len(), 50);
    for (n, at) in gone.iter().enumerate() {
        let within = gone[n..].iter().take_while(|later| **later < at + 1000);
        assert!(within.count() <= 6, "a wave at {}", at - back);
    }
}

#[test]
fn two_sources_that_contradict_each_other_about_a_drain() {
    let (mut c, one, names) = listed(4);
    let two = c.add_source("two").unwrap();
    c.apply_update(T, two, whole(&names, |_| Some(ReportedStatus::Ready)));
    let facts = c.apply_update(
        T + 1,
        one,
        changes(vec![row(&names[0], ReportedStatus::Draining)]),
    );
    assert_eq!(beliefs(&facts), [(&*names[0], EffectiveStatus::Draining)]);
    // Whatever the other says, as often as it likes.
    for n in 2..100 {
        assert!(
            c.apply_update(T + n, two, whole(&names, |_| Some(ReportedStatus::Ready)))
                .is_empty()
        );
    }
    // The teller stops listing it, as after a drain: the other's word still does not bring it back.
    c.apply_update(
        T + 100,
        one,
        whole(&names, |n| (n > 0).then_some(ReportedStatus::Ready)),
    );
    assert!(until(&mut c, T + 100, T + 500_000).is_empty());
    let facts = c.apply_update(
        T + 500_000,
        one,
        changes(vec![row(&names[0], ReportedStatus::Ready)]),
    );
    assert_eq!(beliefs(&facts), [(&*names[0], EffectiveStatus::Ready)]);
}

#[test]
fn absent_from_one_and_listed_by_another_is_ready() {
    let (mut c, one, names) = listed(4);
    let two = c.add_source("two").unwrap();
    c.apply_update(T, two, whole(&names, |_| Some(ReportedStatus::Ready)));
    assert!(
        c.apply_update(
            T + 1,
            one,
            whole(&names, |n| (n > 0).then_some(ReportedStatus::Ready))
        )
        .is_empty()
    );
    // Failing is more than absence: it is suspect whatever the other says, and stays in use.
    let facts = c.apply_update(
        T + 2,
        two,
        changes(vec![row(&names[1], ReportedStatus::Failing)]),
    );
    assert_eq!(beliefs(&facts), [(&*names[1], EffectiveStatus::Suspected)]);
}

#[test]
fn the_same_identity_at_a_new_address_is_cold_there() {
    let (mut c, source, names) = listed(10);
    let gone = whole(&names, |n| (n != 2).then_some(ReportedStatus::Ready));
    c.apply_update(T + 1000, source, gone);
    let facts = c.apply_update(
        T + 3000,
        source,
        changes(vec![at_port(&names[2], ReportedStatus::Ready, 4000)]),
    );
    assert_eq!(beliefs(&facts), [(&*names[2], EffectiveStatus::Ready)]);
    assert_eq!(facts[0].instance.endpoint.port(), 4000);
    assert_eq!(facts[0].born, Some(T + 3000));
}

#[test]
fn a_flapping_server_is_held_suspect_and_let_free_again() {
    let (mut c, source, names) = listed(100);
    let mut last = Vec::new();
    for time in 0..4 {
        let at = T + 1000 + time * 4000;
        c.apply_update(
            at,
            source,
            changes(vec![row(&names[7], ReportedStatus::Failing)]),
        );
        until(&mut c, at, at + 2000);
        last = c.apply_update(
            at + 2000,
            source,
            changes(vec![row(&names[7], ReportedStatus::Ready)]),
        );
    }
    // Three turns and more: its recovery is not believed at once.
    assert!(last.is_empty(), "{last:?}");
    let held = c.servers().find(|seen| seen.uid == names[7]).unwrap();
    assert_eq!(
        (held.status, held.reason),
        (EffectiveStatus::Suspected, StatusReason::FlapDamped)
    );
    let facts = until(&mut c, T + 20_000, T + 400_000);
    assert_eq!(facts.len(), 1);
    assert_eq!(facts[0].1.status, EffectiveStatus::Ready);
    // By half a minute: from over three to under one takes more than 90 s.
    assert!((T + 100_000..T + 200_000).contains(&facts[0].0));
    assert!(c.next_tick().is_none(), "nothing is left to look at");
}

#[test]
fn only_drains_of_a_stale_list_count() {
    let (mut c, source, names) = listed(10);
    let rows = vec![
        row(&names[0], ReportedStatus::Draining),
        row(&names[1], ReportedStatus::Failing),
        row("new", ReportedStatus::Ready),
    ];
    let facts = c.apply_update(T + 1, source, SourceUpdate::StaleSnapshot(rows));
    assert_eq!(beliefs(&facts), [(&*names[0], EffectiveStatus::Draining)]);
    // Nor does a stale list take a drain back.
    let rows = vec![row(&names[0], ReportedStatus::Ready)];
    assert!(
        c.apply_update(T + 2, source, SourceUpdate::StaleSnapshot(rows))
            .is_empty()
    );
}

/// What SIGHUP does under load: the old source's words stand until the new one has spoken.
#[test]
fn a_change_of_sources_leaves_no_moment_without_a_list() {
    let (mut c, old, names) = listed(10);
    let new = c.add_source("new").unwrap();
    assert!(c.retire_source(T + 1, old).is_empty());
    assert!(
        c.apply_update(T + 2, old, whole(&names, |_| None))
            .is_empty(),
        "its time is over"
    );
    assert!(
        c.apply_update(T + 3, new, SourceUpdate::Unavailable)
            .is_empty()
    );
    let facts = c.apply_update(
        T + 4,
        new,
        whole(&names, |n| (n < 9).then_some(ReportedStatus::Ready)),
    );
    assert_eq!(beliefs(&facts), [(&*names[9], EffectiveStatus::Suspected)]);
    // Its place is free once nothing is left of it.
    until(&mut c, T + 4, T + 300_000);
    assert_eq!(c.add_source("third"), Some(old));
}

#[test]
fn a_full_catalogue_forgets_the_longest_unlisted_and_else_refuses() {
    let limits = Limits {
        max_servers: 10,
        ..Limits::default()
    };
    let mut c = Catalogue::new(limits);
    let source = c.add_source("one").unwrap();
    let names = names(10);
    c.apply_update(T, source, whole(&names, |_| Some(ReportedStatus::Ready)));
    assert!(
        c.apply_update(
            T + 1,
            source,
            changes(vec![row("x", ReportedStatus::Ready)])
        )
        .is_empty()
    );
    assert_eq!((c.len(), c.counts().refused), (10, 1));
    c.apply_update(
        T + 2,
        source,
        changes(vec![row(&names[6], ReportedStatus::Left)]),
    );
    let facts = c.apply_update(
        T + 3,
        source,
        changes(vec![row("x", ReportedStatus::Ready)]),
    );
    let expected = [
        (&*names[6], EffectiveStatus::Gone),
        ("x", EffectiveStatus::Ready),
    ];
    assert_eq!(beliefs(&facts), expected);
    assert_eq!((c.len(), c.counts().evicted), (10, 1));
}

/// A list of which half is still to come looks like a loss of that half.
#[test]
fn a_list_in_parts_counts_at_its_end_but_for_its_drains() {
    let (mut c, source, names) = listed(100);
    let part = |from: usize, to: usize, word: ReportedStatus| {
        let rows = names[from..to].iter().map(|uid| row(uid, word)).collect();
        SourceUpdate::SnapshotPart {
            first: from == 0,
            last: to == 100,
            rows,
        }
    };
    let facts = c.apply_update(T + 1, source, part(0, 10, ReportedStatus::Draining));
    assert_eq!(facts.len(), 10);
    assert!(
        facts
            .iter()
            .all(|fact| fact.status == EffectiveStatus::Draining)
    );
    assert!(
        c.apply_update(T + 2, source, part(10, 30, ReportedStatus::Failing))
            .is_empty()
    );
    assert!(c.record_liveness(T + 3, &names[12], false).is_empty());
    // 20 of 100 fail and one is left out: too few for a doubt.
    let rows = names[30..99]
        .iter()
        .map(|uid| row(uid, ReportedStatus::Ready))
        .collect();
    let facts = c.apply_update(
        T + 4,
        source,
        SourceUpdate::SnapshotPart {
            first: false,
            last: true,
            rows,
        },
    );
    assert_eq!(facts.len(), 21);
    assert!(
        facts
            .iter()
            .all(|fact| fact.status == EffectiveStatus::Suspected)
    );
    // One that was given up half-way holds nothing back for long, and its rest is not taken for a list.
    c.apply_update(T + 10_000, source, part(0, 10, ReportedStatus::Failing));
    c.apply_update(T + 10_001, source, SourceUpdate::Unavailable);
    let rows = vec![row(&names[99], ReportedStatus::Ready)];
    let rest = SourceUpdate::SnapshotPart {
        first: false,
        last: true,
        rows,
    };
    assert!(c.apply_update(T + 10_002, source, rest).is_empty());
}

/// 1,000 of 20,000 change each second: what is told is what changed, and what is remembered is bounded.
#[test]
fn a_thousand_changes_a_second_among_twenty_thousand() {
    let (mut c, source, names) = listed(20_000);
    let mut failing: Vec<bool> = vec![false; names.len()];
    for second in 1..=20_u64 {
        let at = second as usize * 1000 % names.len();
        let mut changed = Vec::new();
        for (n, uid) in names.iter().enumerate().skip(at).take(1000) {
            failing[n] = !failing[n];
            let word = if failing[n] {
                ReportedStatus::Failing
            } else {
                ReportedStatus::Ready
            };
            changed.push(row(uid, word));
        }
        let facts = c.apply_update(T + second * 1000, source, changes(changed));
        assert!(c.len() == names.len() && facts.len() <= 20_000);
        let doubted = c.sources().any(|source| source.distrusted_since.is_some());
        let suspects = c
            .servers()
            .filter(|seen| seen.status == EffectiveStatus::Suspected)
            .count();
        // 5% a second: from the sixth on it is more than a quarter of the fleet in half a minute.
        let told = if second <= 5 {
            second as usize * 1000
        } else {
            0
        };
        assert_eq!(suspects, told, "second {second}, doubted: {doubted}");
        c.tick(T + second * 1000 + 500);
    }
    assert_eq!(c.counts().distrusted_sources, 1);
}

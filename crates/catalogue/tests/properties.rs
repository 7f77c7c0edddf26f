//! Invariants over random tellings: a told drain is never overruled, memory is bounded whatever is told,
//! the order of words of one moment does not matter.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use violetwind_catalogue::{
    Catalogue, EffectiveStatus, Instance, Limits, Millis, ReportedStatus, Row, SourceId,
    SourceUpdate,
};

const SOURCES: u8 = 3;

#[derive(Clone, Debug)]
enum Step {
    Word(SourceId, u8, ReportedStatus),
    Whole(SourceId, Vec<(u8, ReportedStatus)>),
    Stale(SourceId, Vec<(u8, ReportedStatus)>),
    Lost(SourceId),
    Heard(u8, bool),
    Pass(Millis),
}

fn word() -> impl Strategy<Value = ReportedStatus> {
    prop_oneof![
        4 => Just(ReportedStatus::Ready),
        3 => Just(ReportedStatus::Failing),
        1 => Just(ReportedStatus::Draining),
        1 => Just(ReportedStatus::Left),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let rows = || prop::collection::vec((0..40_u8, word()), 0..30);
    prop_oneof![
        4 => (0..SOURCES, 0..40_u8, word()).prop_map(|(s, n, w)| Step::Word(s, n, w)),
        2 => (0..SOURCES, rows()).prop_map(|(s, r)| Step::Whole(s, r)),
        1 => (0..SOURCES, rows()).prop_map(|(s, r)| Step::Stale(s, r)),
        1 => (0..SOURCES).prop_map(Step::Lost),
        3 => (0..40_u8, any::<bool>()).prop_map(|(n, a)| Step::Heard(n, a)),
        3 => (0..90_000_u64).prop_map(Step::Pass),
    ]
}

fn uid(n: u8) -> String {
    format!("s-{n}")
}

fn row(n: u8, word: ReportedStatus) -> Row {
    Row {
        uid: uid(n).into(),
        status: word,
        instance: Some(Instance {
            endpoint: ([127, 0, 0, 1], 3000 + u16::from(n)).into(),
            zone: None,
            kind: None,
            cell: 0,
            weight: None,
            born: None,
            epoch: 0,
        }),
    }
}

fn rows(rows: &[(u8, ReportedStatus)]) -> Vec<Row> {
    rows.iter().map(|(n, word)| row(*n, *word)).collect()
}

fn catalogue(servers: usize) -> Catalogue {
    let mut catalogue = Catalogue::new(Limits {
        max_servers: servers,
        ..Limits::default()
    });
    for n in 0..SOURCES {
        catalogue.add_source(&n.to_string()).unwrap();
    }
    catalogue
}

fn apply(c: &mut Catalogue, now: Millis, step: &Step) -> Vec<violetwind_catalogue::StatusChange> {
    match step {
        Step::Word(s, n, w) => c.apply_update(now, *s, SourceUpdate::Delta(vec![row(*n, *w)])),
        Step::Whole(s, r) => c.apply_update(now, *s, SourceUpdate::Snapshot(rows(r))),
        Step::Stale(s, r) => c.apply_update(now, *s, SourceUpdate::StaleSnapshot(rows(r))),
        Step::Lost(s) => c.apply_update(now, *s, SourceUpdate::Unavailable),
        Step::Heard(n, answered) => c.record_liveness(now, &uid(*n), *answered),
        Step::Pass(_) => c.tick(now),
    }
}

/// The drains in force, worked out without any of the catalogue's ideas: who told them and has not told
/// the server ready or failing since.
#[derive(Default)]
struct Drains(BTreeMap<u8, BTreeSet<SourceId>>);

impl Drains {
    fn word(&mut self, source: SourceId, n: u8, word: ReportedStatus) {
        let by = self.0.entry(n).or_default();
        match word {
            ReportedStatus::Draining => by.insert(source),
            ReportedStatus::Ready | ReportedStatus::Failing => by.remove(&source),
            ReportedStatus::Left => false,
        };
    }

    fn take(&mut self, step: &Step) {
        match step {
            Step::Word(s, n, w) => self.word(*s, *n, *w),
            Step::Whole(s, r) => r.iter().for_each(|(n, w)| self.word(*s, *n, *w)),
            Step::Stale(s, r) => {
                let drains = r.iter().filter(|(_, w)| *w == ReportedStatus::Draining);
                drains.for_each(|(n, w)| self.word(*s, *n, *w));
            }
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 120,
        failure_persistence: None,
        // The same cases at every run.
        rng_seed: RngSeed::Fixed(14),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_told_drain_is_never_overruled(steps in prop::collection::vec(step(), 1..80)) {
        let (mut c, mut drains, mut now) = (catalogue(1000), Drains::default(), 1_000_000);
        let mut believed: BTreeMap<Box<str>, EffectiveStatus> = BTreeMap::new();
        for step in &steps {
            now += if let Step::Pass(span) = step { *span } else { 0 };
            for fact in apply(&mut c, now, step) {
                believed.insert(fact.uid, fact.status);
            }
            drains.take(step);
            let known: BTreeSet<String> = c.servers().map(|seen| seen.uid.to_string()).collect();
            for (n, by) in &drains.0 {
                // One that is forgotten altogether begins anew; it was gone before that.
                if by.is_empty() || !known.contains(&uid(*n)) {
                    continue;
                }
                let belief = believed.get(uid(*n).as_str());
                prop_assert!(
                    matches!(belief, Some(EffectiveStatus::Draining | EffectiveStatus::Gone)),
                    "{} drained by {by:?} is {belief:?} after {step:?}", uid(*n)
                );
            }
            let seen = c.servers().map(|seen| seen.uid.to_string()).collect::<BTreeSet<_>>();
            drains.0.retain(|n, _| seen.contains(&uid(*n)));
        }
    }

    #[test]
    fn memory_is_bounded_whatever_is_told(steps in prop::collection::vec(step(), 1..120)) {
        let (mut c, mut now) = (catalogue(12), 1_000_000);
        for step in &steps {
            now += if let Step::Pass(span) = step { *span } else { 0 };
            apply(&mut c, now, step);
            prop_assert!(c.len() <= 12);
            prop_assert!(c.servers().all(|seen| seen.reports.len() <= usize::from(SOURCES)));
        }
        // Once every source lists nothing, nothing is left after a while.
        for source in 0..SOURCES {
            c.apply_update(now, source, SourceUpdate::Snapshot(Vec::new()));
        }
        for _ in 0..4000 {
            let Some(at) = c.next_tick() else { break };
            now = now.max(at);
            c.tick(now);
        }
        prop_assert!(c.is_empty(), "{} left", c.len());
        prop_assert!(c.next_tick().is_none());
    }

    #[test]
    fn the_order_of_words_of_one_moment_does_not_matter(
        moments in prop::collection::vec(
            prop::collection::btree_map((0..SOURCES, 0..40_u8), word(), 1..60), 1..8),
        spans in prop::collection::vec(1..40_000_u64, 8),
        seed in any::<u64>(),
    ) {
        let (mut one, mut two, mut now) = (catalogue(1000), catalogue(1000), 1_000_000);
        for c in [&mut one, &mut two] {
            for source in 0..SOURCES {
                let all: Vec<(u8, ReportedStatus)> = (0..40).map(|n| (n, ReportedStatus::Ready)).collect();
                c.apply_update(now, source, SourceUpdate::Snapshot(rows(&all)));
            }
        }
        for (moment, span) in moments.iter().zip(&spans) {
            now += span;
            let mut words: Vec<Step> =
                moment.iter().map(|((s, n), w)| Step::Word(*s, *n, *w)).collect();
            words.iter().for_each(|step| drop(apply(&mut one, now, step)));
            // Another order, the same for the same seed.
            let len = words.len() as u64;
            for at in 0..words.len() {
                words.swap(at, (seed.wrapping_mul(at as u64 + 7) % len) as usize);
            }
            words.iter().for_each(|step| drop(apply(&mut two, now, step)));
            let view = |c: &Catalogue| -> Vec<(String, EffectiveStatus)> {
                c.servers().map(|seen| (seen.uid.to_string(), seen.status)).collect()
            };
            prop_assert_eq!(view(&one), view(&two));
        }
    }
}

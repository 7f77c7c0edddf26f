//! The lab holds to what it says: runs repeat, rules are seen to break, files are checked.

use violetwind_balancer::api::QuotaKind;
use violetwind_lab::experiment::{Variant, compare_variants, run_variants, score};
use violetwind_lab::model::{Breach, PolicyKind, Rule, simulate};
use violetwind_lab::replay::Recording;
use violetwind_lab::report::{self, PolicyOutcomes};
use violetwind_lab::scenario::{Budget, Scenario, Trouble, TroubleKind};
use violetwind_lab::scenario_search::{SearchTarget, search_scenarios};
use violetwind_record::{Answer, Limits, Record, Recorder, RecordingEnd, Request};

const SMALL: &str = include_str!("../scenarios/small-day.toml");
const COLD: &str = include_str!("../scenarios/cold-deploy.toml");
const CAMPAIGN: &str = include_str!("../scenarios/campaign.toml");

fn read(text: &str) -> Scenario {
    Scenario::parse("test.toml", text, &[]).unwrap()
}

fn side(text: &str, policy: PolicyKind) -> Variant {
    Variant {
        scenario: read(text),
        policy,
    }
}

#[test]
fn two_runs_of_one_seed_give_the_same_bytes_on_one_thread_and_on_eight() {
    let sides = [
        side(SMALL, PolicyKind::Balancer),
        side(CAMPAIGN, PolicyKind::TwoChoices),
    ];
    let one = format!("{:?}", run_variants(&sides, &[1, 2, 3, 4], 1));
    let eight = format!("{:?}", run_variants(&sides, &[1, 2, 3, 4], 8));
    assert_eq!(one, eight);
    let other = format!("{:?}", run_variants(&sides, &[5, 6, 7, 8], 8));
    assert_ne!(one, other);
}

/// Wholes that are divided by need are never passed, while proxies restart and servers come up cold; a policy that knows
/// no budgets passes them, and is found.
#[test]
fn budgets_divided_among_proxies_are_kept_by_the_module_and_broken_by_who_knows_none() {
    let mut scenario = read(COLD);
    scenario.seconds = 40.0;
    let budget = scenario.budgets[0].clone();
    let matters = [
        QuotaKind::Cold,
        QuotaKind::Further,
        QuotaKind::Moves,
        QuotaKind::Probes,
    ];
    let whole = [40, 10, 20, 300];
    let tight = |(of, whole)| Budget {
        quota_kind: of,
        total: whole,
        divided_by_need: true,
        ..budget.clone()
    };
    scenario.budgets = matters.into_iter().zip(whole).map(tight).collect();
    let restart = Trouble {
        kind: TroubleKind::ProxiesRestart,
        at: 20.0,
        share: 0.4,
        ..scenario.troubles[0].clone()
    };
    scenario.troubles.push(restart);
    for seed in 1..=3 {
        let outcome = simulate(&scenario, PolicyKind::Balancer, seed);
        assert!(outcome.breaches.is_empty(), "{:?}", outcome.breaches);
        assert!(outcome.moves > 20 && outcome.probes > 1000, "{outcome:?}");
        let random = simulate(&scenario, PolicyKind::Random, seed);
        let of = |breach: &Breach| breach.rule == Rule::Budget;
        assert!(random.breaches.iter().any(of), "nothing was found");
    }
}

/// The module keeps the rules through the hard cases: heavy requests, a rolling deploy with cold
/// successors, and both at once.
#[test]
fn the_module_keeps_the_rules_in_the_hard_cases() {
    let campaign = read(CAMPAIGN);
    let only = |kind: TroubleKind| {
        let mut scenario = campaign.clone();
        scenario.troubles.retain(|trouble| trouble.kind == kind);
        assert_eq!(scenario.troubles.len(), 1);
        scenario
    };
    for scenario in [
        only(TroubleKind::Heavy),
        only(TroubleKind::Deploy),
        campaign.clone(),
    ] {
        for seed in 1..=3 {
            let outcome = simulate(&scenario, PolicyKind::Balancer, seed);
            assert!(outcome.breaches.is_empty(), "{:?}", outcome.breaches);
            assert!(outcome.requests > 1000 && outcome.service > 0.5);
        }
    }
}

#[test]
fn every_trouble_is_played_and_leaves_the_books_whole() {
    for kind in TroubleKind::ALL {
        let mut scenario = read(SMALL);
        scenario.seconds = 40.0;
        scenario.troubles.truncate(1);
        scenario.troubles[0].kind = kind;
        (scenario.troubles[0].from, scenario.troubles[0].to) = kind.default_factors();
        let calm = simulate(
            &Scenario {
                troubles: Vec::new(),
                ..scenario.clone()
            },
            PolicyKind::Balancer,
            1,
        );
        let outcome = simulate(&scenario, PolicyKind::Balancer, 1);
        assert!((0.0..=1.0).contains(&outcome.service), "{kind:?}");
        // Something came of it.
        let same = outcome.series == calm.series && outcome.requests == calm.requests;
        assert!(
            !same || kind == TroubleKind::CatalogueSilent,
            "{kind:?} changes nothing"
        );
    }
}

/// Worse policies score less, and nothing beats the one that sees everything by much.
#[test]
fn policies_come_in_the_order_that_is_to_be_expected() {
    let sides = [
        PolicyKind::Random,
        PolicyKind::Balancer,
        PolicyKind::UpperBound,
    ];
    let sides = sides.map(|policy| side(CAMPAIGN, policy));
    let outcomes = run_variants(&sides, &[1, 2, 3, 4, 5], 8);
    let mean = |n: usize| outcomes[n].iter().map(|o| o.service).sum::<f64>() / 5.0;
    assert!(mean(0) + 0.05 < mean(1) && mean(1) < mean(2) + 0.01);
    assert_eq!(score(mean(0), mean(0), mean(2)), 0.0);
    assert_eq!(score(mean(2), mean(0), mean(2)), 1.0);
}

#[test]
fn moves_are_better_than_none_by_an_interval_that_leaves_out_zero() {
    let (a, b) = (
        side(CAMPAIGN, PolicyKind::NoMoves),
        side(CAMPAIGN, PolicyKind::Balancer),
    );
    let seeds: Vec<u64> = (1..=40).collect();
    let comparison = compare_variants(&a, &b, &seeds, 0.001, 8);
    let whole = comparison.difference[0];
    assert!(whole.excludes_zero() && whole.mean > 0.0, "{whole:?}");
    assert_eq!(comparison.breach_counts, [0, 0]);
}

/// A list held back to a moment that no nanosecond meets was held back again and again, without end.
#[test]
fn lists_held_back_are_told_when_the_silence_ends() {
    let mut scenario = read(SMALL);
    scenario.seconds = 40.0;
    scenario.troubles.truncate(1);
    let mut silence = scenario.troubles[0].clone();
    (silence.kind, silence.at, silence.lasts) =
        (TroubleKind::CatalogueSilent, 14.0, 7.123_456_789_123);
    scenario.troubles.push(silence);
    let outcome = simulate(&scenario, PolicyKind::Balancer, 1);
    assert!(outcome.breaches.is_empty() && outcome.requests > 0);
}

#[test]
fn a_planted_break_is_found_and_shrunk() {
    let base = read(SMALL);
    let found = search_scenarios(&base, PolicyKind::IgnoresUpdates, 3, 50)
        .expect("it does not listen to drains");
    assert_eq!(found.target, SearchTarget::Broken(Rule::Drain));
    assert_eq!(
        found.scenario.troubles.len(),
        1,
        "{:?}",
        found.scenario.troubles
    );
    assert!(found.shrink_steps > 0 && found.scenario.servers <= base.servers);
    // It can be committed: the file says the same, and shows the same.
    let again = read(&found.scenario.to_toml());
    let outcome = simulate(&again, PolicyKind::IgnoresUpdates, found.seed);
    assert!(
        outcome
            .breaches
            .iter()
            .any(|breach| breach.rule == Rule::Drain)
    );
    let sound = simulate(&again, PolicyKind::Balancer, found.seed);
    assert!(sound.breaches.is_empty());
}

#[test]
fn a_scenario_is_checked_like_the_operators_file() {
    let text = "secnds = \"60s\"\n[fleet]\nproxies = 0\nservers = 100000\n[demand]\nfill = \"much\"\n\
                [[class]]\nname = \"a\"\n[[trouble]]\nkind = \"crush\"\nzone = 9\n";
    let problems = Scenario::parse("s.toml", text, &[]).unwrap_err();
    let told: Vec<String> = problems.iter().map(ToString::to_string).collect();
    let expected = [
        "s.toml:1: `secnds`: no such key (did you mean `seconds`?)",
        "s.toml:3: `fleet.proxies`: 0 is not from 1 to 10000",
        "s.toml:6: `demand.fill`: expected a number, found \"much\"",
    ];
    for line in expected {
        assert!(told.iter().any(|told| told == line), "{line}: {told:#?}");
    }
    assert!(
        told.iter()
            .any(|told| told.contains("`trouble.0.kind`: expected \"crash\" or"))
    );
}

#[test]
fn one_that_asks_for_more_memory_than_there_is_is_refused_with_the_figure() {
    let set = [
        "fleet.proxies=10000".to_string(),
        "fleet.servers=100000".to_string(),
    ];
    let problems = Scenario::parse("s.toml", SMALL, &set).unwrap_err();
    let told = problems[0].to_string();
    assert!(told.contains("GB of memory, 4.3 GB at most"), "{told}");
}

/// One file that needs nothing else: no link, no script, all plots within.
#[test]
fn a_report_holds_its_plots_and_the_series_all_seconds() {
    let scenario = read(SMALL);
    let sides = [
        PolicyKind::Balancer,
        PolicyKind::Random,
        PolicyKind::UpperBound,
    ];
    let sides = sides.map(|policy| side(SMALL, policy));
    let outcomes = run_variants(&sides, &[1, 2], 4);
    let played: Vec<PolicyOutcomes> = ["module", "random", "bound"]
        .iter()
        .zip(&outcomes)
        .map(|(name, outcomes)| PolicyOutcomes { name, outcomes })
        .collect();
    let page = report::render_html(&scenario, &played).unwrap();
    assert_eq!(page.matches("<svg").count(), 3);
    assert!(page.contains("worst class") && !page.contains("<script") && !page.contains("href"));
    let csv = report::render_csv(&scenario, &outcomes[0]);
    assert_eq!(csv.lines().count(), 61);
    let moves: f64 = csv
        .lines()
        .skip(1)
        .map(|l| l.split(',').nth(5).unwrap().parse::<f64>().unwrap())
        .sum();
    let told = outcomes[0].iter().map(|o| o.moves as f64).sum::<f64>() / 2.0;
    assert!((moves - told).abs() < 0.1, "{moves} {told}");
}

/// A recording cut in the middle is played up to the cut, in the model, scaled, and said to be cut.
#[test]
fn a_recording_cut_in_the_middle_is_replayed_up_to_the_cut() {
    let path = std::env::temp_dir().join(format!("violetwind-lab-{}", std::process::id()));
    let classes = ["watch", "book", "elsewhere"].map(String::from).to_vec();
    let recorder = Recorder::start(&path, classes, Limits::default()).unwrap();
    for n in 0..2000_u64 {
        recorder.enqueue(Record::Request(Request {
            // Written in the order of their ends.
            at_us: (1999 - n) * 20_000,
            class: (n % 3) as u16,
            tenant: None,
            group: Some(n),
            timeout_ms: 2000,
            answer: if n % 10 == 0 {
                Answer::Refused
            } else {
                Answer::Up
            },
            latency_us: 1000,
            connected_ms: 8000,
            load: Some(20_000),
        }));
    }
    drop(recorder);
    let bytes = std::fs::read(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    let scenario = read(SMALL);
    let whole = Recording::read(&bytes[..], &scenario);
    assert_eq!(whole.end, RecordingEnd::Whole);
    assert_eq!(whole.unknown_classes["elsewhere"], 666);
    assert_eq!(whole.clients.len(), 2000 - 666);
    assert!(
        whole
            .clients
            .is_sorted_by(|a, b| a.arrived_at <= b.arrived_at)
    );
    let half = Recording::read(&bytes[..bytes.len() / 2], &scenario);
    assert_eq!(half.end, RecordingEnd::Cut(bytes.len() as u64 / 2));
    assert!((300..1000).contains(&half.clients.len()));
    assert!(
        half.clients
            .iter()
            .all(|c| whole.clients.iter().any(|w| w.load == c.load))
    );
    let twice = whole.scaled(2.5, 1.0, 1).len();
    assert!((3100..3600).contains(&twice), "{twice}");
    let play = |recording: &Recording, times: f64| {
        let mut scenario = scenario.clone();
        scenario.troubles.clear();
        scenario.recorded_clients = Some(recording.scaled(times, 1.0, 1).into());
        simulate(&scenario, PolicyKind::Balancer, 1)
    };
    let (one, two) = (play(&half, 1.0), play(&half, 2.0));
    assert_eq!(one.clients, half.clients.len() as u64);
    assert_eq!(two.clients, 2 * one.clients);
    assert!(
        one.breaches.is_empty() && one.service > 0.9,
        "{}",
        one.service
    );
}

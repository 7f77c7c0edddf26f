//! Tests of the lab: runs are reproducible, broken rules are detected, scenario files are checked.

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

fn parse_scenario(text: &str) -> Scenario {
    Scenario::parse("test.toml", text, &[]).unwrap()
}

fn variant(text: &str, policy: PolicyKind) -> Variant {
    Variant {
        scenario: parse_scenario(text),
        policy,
    }
}

#[test]
fn same_seeds_give_identical_outcomes_on_one_thread_and_on_eight() {
    let variants = [
        variant(SMALL, PolicyKind::Balancer),
        variant(CAMPAIGN, PolicyKind::TwoChoices),
    ];
    let one = format!("{:?}", run_variants(&variants, &[1, 2, 3, 4], 1));
    let eight = format!("{:?}", run_variants(&variants, &[1, 2, 3, 4], 8));
    assert_eq!(one, eight);
    let other = format!("{:?}", run_variants(&variants, &[5, 6, 7, 8], 8));
    assert_ne!(one, other);
}

/// Totals of budgets that are divided by need are never exceeded, while proxies restart and servers start cold. A
/// policy without budgets exceeds them, which the rule checker has to detect.
#[test]
fn balancer_keeps_divided_budgets_and_a_policy_without_budgets_breaks_them() {
    let mut scenario = parse_scenario(COLD);
    scenario.seconds = 40.0;
    let budget = scenario.budgets[0].clone();
    let quota_kinds = [
        QuotaKind::Cold,
        QuotaKind::Further,
        QuotaKind::Moves,
        QuotaKind::Probes,
    ];
    let totals = [40, 10, 20, 300];
    let tight_budget = |(quota_kind, total)| Budget {
        quota_kind,
        total,
        divided_by_need: true,
        ..budget.clone()
    };
    scenario.budgets = quota_kinds
        .into_iter()
        .zip(totals)
        .map(tight_budget)
        .collect();
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
        let is_budget_breach = |breach: &Breach| breach.rule == Rule::Budget;
        assert!(
            random.breaches.iter().any(is_budget_breach),
            "no breach of a budget was detected"
        );
    }
}

/// The balancer keeps the rules under heavy clients, under a rolling deploy with cold servers, and under both at once.
#[test]
fn balancer_keeps_the_rules_under_heavy_clients_and_a_rolling_deploy() {
    let campaign = parse_scenario(CAMPAIGN);
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
fn every_trouble_has_an_effect_and_service_stays_within_bounds() {
    for kind in TroubleKind::ALL {
        let mut scenario = parse_scenario(SMALL);
        scenario.seconds = 40.0;
        scenario.troubles.truncate(1);
        scenario.troubles[0].kind = kind;
        (scenario.troubles[0].from, scenario.troubles[0].to) = kind.default_factors();
        let undisturbed = simulate(
            &Scenario {
                troubles: Vec::new(),
                ..scenario.clone()
            },
            PolicyKind::Balancer,
            1,
        );
        let outcome = simulate(&scenario, PolicyKind::Balancer, 1);
        assert!((0.0..=1.0).contains(&outcome.service), "{kind:?}");
        // Only an outage of list updates may leave the run unchanged.
        let is_unchanged =
            outcome.series == undisturbed.series && outcome.requests == undisturbed.requests;
        assert!(
            !is_unchanged || kind == TroubleKind::CatalogueSilent,
            "{kind:?} changes nothing"
        );
    }
}

/// Worse policies score lower, and none exceeds the upper bound by more than the tolerance.
#[test]
fn balancer_scores_between_random_placement_and_the_upper_bound() {
    let variants = [
        PolicyKind::Random,
        PolicyKind::Balancer,
        PolicyKind::UpperBound,
    ];
    let variants = variants.map(|policy| variant(CAMPAIGN, policy));
    let outcomes = run_variants(&variants, &[1, 2, 3, 4, 5], 8);
    let mean = |n: usize| outcomes[n].iter().map(|o| o.service).sum::<f64>() / 5.0;
    assert!(mean(0) + 0.05 < mean(1) && mean(1) < mean(2) + 0.01);
    assert_eq!(score(mean(0), mean(0), mean(2)), 0.0);
    assert_eq!(score(mean(2), mean(0), mean(2)), 1.0);
}

#[test]
fn moves_improve_service_significantly() {
    let (a, b) = (
        variant(CAMPAIGN, PolicyKind::NoMoves),
        variant(CAMPAIGN, PolicyKind::Balancer),
    );
    let seeds: Vec<u64> = (1..=40).collect();
    let comparison = compare_variants(&a, &b, &seeds, 0.001, 8);
    let difference = comparison.difference[0];
    assert!(
        difference.excludes_zero() && difference.mean > 0.0,
        "{difference:?}"
    );
    assert_eq!(comparison.breach_counts, [0, 0]);
}

/// Guards against an endless postponement: an update was postponed to the end of a list outage that is not a whole
/// number of nanoseconds, was delivered just before that end, and was postponed again.
#[test]
fn postponed_list_updates_are_delivered_after_a_list_outage() {
    let mut scenario = parse_scenario(SMALL);
    scenario.seconds = 40.0;
    scenario.troubles.truncate(1);
    let mut outage = scenario.troubles[0].clone();
    (outage.kind, outage.at, outage.lasts) =
        (TroubleKind::CatalogueSilent, 14.0, 7.123_456_789_123);
    scenario.troubles.push(outage);
    let outcome = simulate(&scenario, PolicyKind::Balancer, 1);
    assert!(outcome.breaches.is_empty() && outcome.requests > 0);
}

#[test]
fn search_finds_and_shrinks_an_injected_breach() {
    let base = parse_scenario(SMALL);
    let found = search_scenarios(&base, PolicyKind::IgnoresUpdates, 3, 50)
        .expect("a policy that ignores drains breaks a rule");
    assert_eq!(found.target, SearchTarget::Broken(Rule::Drain));
    assert_eq!(
        found.scenario.troubles.len(),
        1,
        "{:?}",
        found.scenario.troubles
    );
    assert!(found.shrink_steps > 0 && found.scenario.servers <= base.servers);
    // The scenario survives the round trip through a file and reproduces the breach.
    let reparsed = parse_scenario(&found.scenario.to_toml());
    let outcome = simulate(&reparsed, PolicyKind::IgnoresUpdates, found.seed);
    assert!(
        outcome
            .breaches
            .iter()
            .any(|breach| breach.rule == Rule::Drain)
    );
    let balancer_outcome = simulate(&reparsed, PolicyKind::Balancer, found.seed);
    assert!(balancer_outcome.breaches.is_empty());
}

#[test]
fn scenario_file_problems_are_reported_with_their_place() {
    let text = "secnds = \"60s\"\n[fleet]\nproxies = 0\nservers = 100000\n[demand]\nfill = \"much\"\n\
                [[class]]\nname = \"a\"\n[[trouble]]\nkind = \"crush\"\nzone = 9\n";
    let problems = Scenario::parse("s.toml", text, &[]).unwrap_err();
    let reported: Vec<String> = problems.iter().map(ToString::to_string).collect();
    let expected = [
        "s.toml:1: `secnds`: no such key (did you mean `seconds`?)",
        "s.toml:3: `fleet.proxies`: 0 is not from 1 to 10000",
        "s.toml:6: `demand.fill`: expected a number, found \"much\"",
    ];
    for line in expected {
        assert!(
            reported.iter().any(|problem| problem == line),
            "{line}: {reported:#?}"
        );
    }
    assert!(
        reported
            .iter()
            .any(|problem| problem.contains("`trouble.0.kind`: expected \"crash\" or"))
    );
}

#[test]
fn rejects_a_scenario_above_the_memory_limit_and_names_the_estimate() {
    let overrides = [
        "fleet.proxies=10000".to_string(),
        "fleet.servers=100000".to_string(),
    ];
    let problems = Scenario::parse("s.toml", SMALL, &overrides).unwrap_err();
    let reported = problems[0].to_string();
    assert!(
        reported.contains("GB of memory, 4.3 GB at most"),
        "{reported}"
    );
}

/// The report is self-contained: no links, no scripts, all plots inline.
#[test]
fn report_contains_its_plots_and_the_csv_every_second() {
    let scenario = parse_scenario(SMALL);
    let variants = [
        PolicyKind::Balancer,
        PolicyKind::Random,
        PolicyKind::UpperBound,
    ];
    let variants = variants.map(|policy| variant(SMALL, policy));
    let outcomes = run_variants(&variants, &[1, 2], 4);
    let policies: Vec<PolicyOutcomes> = ["module", "random", "bound"]
        .iter()
        .zip(&outcomes)
        .map(|(name, outcomes)| PolicyOutcomes { name, outcomes })
        .collect();
    let page = report::render_html(&scenario, &policies).unwrap();
    assert_eq!(page.matches("<svg").count(), 3);
    assert!(page.contains("worst class") && !page.contains("<script") && !page.contains("href"));
    let csv = report::render_csv(&scenario, &outcomes[0]);
    assert_eq!(csv.lines().count(), 61);
    let moves: f64 = csv
        .lines()
        .skip(1)
        .map(|line| line.split(',').nth(5).unwrap().parse::<f64>().unwrap())
        .sum();
    let reported = outcomes[0].iter().map(|o| o.moves as f64).sum::<f64>() / 2.0;
    assert!((moves - reported).abs() < 0.1, "{moves} {reported}");
}

/// A truncated recording is replayed and scaled up to the truncation, which is reported.
#[test]
fn truncated_recording_is_replayed_up_to_the_truncation() {
    let path = std::env::temp_dir().join(format!("violetwind-lab-{}", std::process::id()));
    let classes = ["watch", "book", "elsewhere"].map(String::from).to_vec();
    let recorder = Recorder::start(&path, classes, Limits::default()).unwrap();
    for n in 0..2000_u64 {
        recorder.enqueue(Record::Request(Request {
            // Records are written in the order in which the requests ended.
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
    let scenario = parse_scenario(SMALL);
    let complete = Recording::read(&bytes[..], &scenario);
    assert_eq!(complete.end, RecordingEnd::Whole);
    assert_eq!(complete.unknown_classes["elsewhere"], 666);
    assert_eq!(complete.clients.len(), 2000 - 666);
    assert!(
        complete
            .clients
            .is_sorted_by(|a, b| a.arrived_at <= b.arrived_at)
    );
    let truncated = Recording::read(&bytes[..bytes.len() / 2], &scenario);
    assert_eq!(truncated.end, RecordingEnd::Cut(bytes.len() as u64 / 2));
    assert!((300..1000).contains(&truncated.clients.len()));
    assert!(truncated.clients.iter().all(|client| {
        complete
            .clients
            .iter()
            .any(|other| other.load == client.load)
    }));
    let scaled_count = complete.scaled(2.5, 1.0, 1).len();
    assert!((3100..3600).contains(&scaled_count), "{scaled_count}");
    let replay = |recording: &Recording, times: f64| {
        let mut scenario = scenario.clone();
        scenario.troubles.clear();
        scenario.recorded_clients = Some(recording.scaled(times, 1.0, 1).into());
        simulate(&scenario, PolicyKind::Balancer, 1)
    };
    let (single, double) = (replay(&truncated, 1.0), replay(&truncated, 2.0));
    assert_eq!(single.clients, truncated.clients.len() as u64);
    assert_eq!(double.clients, 2 * single.clients);
    assert!(
        single.breaches.is_empty() && single.service > 0.9,
        "{}",
        single.service
    );
}

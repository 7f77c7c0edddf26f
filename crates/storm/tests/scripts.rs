//! Scripts of faults: drawn, written, read and played alike; planted errors are found and cut to a few faults.

use violetwind_storm::fleet::{Fault, InjectedBug};
use violetwind_storm::script::{Script, ScriptParameters};

const ALL: ScriptParameters = ScriptParameters {
    voters: 3,
    non_voters: 2,
    machines: 6,
    has_budgets: true,
    fault_duration: 15_000,
};

#[test]
fn a_script_is_read_as_written_and_plays_alike_on_any_thread() {
    let script = Script::generate(11, ALL);
    assert!(script.faults.len() > 20);
    let read = Script::parse(&script.to_toml()).expect("as written");
    assert_eq!(read, script);
    let outcome = |script: &Script| {
        let played = script.run(InjectedBug::Nothing, 0);
        (
            played.violation,
            played.simulated_ms,
            played.frames_sent,
            played.event_log,
        )
    };
    let here = outcome(&script);
    let there: Vec<_> = (0..2)
        .map(|_| {
            let read = read.clone();
            std::thread::spawn(move || outcome(&read)).join().unwrap()
        })
        .collect();
    assert_eq!(there, [here.clone(), here]);
}

#[test]
fn what_makes_no_sense_in_a_script_is_refused_with_its_place() {
    let good = "seed = 1\nvoters = 3\nlasts = 5000\n";
    assert!(Script::parse(good).is_ok());
    let fault = |text: &str| Script::parse(&format!("{good}{text}")).unwrap_err();
    assert!(
        Script::parse("seed = 1\nvoters = 2\nlasts = 1")
            .unwrap_err()
            .contains("`voters`")
    );
    assert!(fault("width = 3").contains("unknown field `width`"));
    assert!(fault("loss = 1.5").contains("`loss`"));
    let stranger = fault("[[fault]]\nat = 9\nkind = \"kill\"\nnode = \"node-9\"\nback = 1");
    assert_eq!(stranger, "the fault at 9: there is no node-9");
    assert!(fault("[[fault]]\nat = 9\nkind = \"melt\"").contains("melt"));
}

/// A handful for CI; the campaign is `violetwind-lab storm`.
#[test]
fn a_handful_of_scripts_breaks_no_promise() {
    for (voters, others, machines) in [(3, 2, 6), (5, 0, 4), (1, 2, 3), (7, 0, 0)] {
        let shape = ScriptParameters {
            voters,
            non_voters: others,
            machines,
            ..ALL
        };
        for seed in 0..2 {
            let played = Script::generate(seed, shape).run(InjectedBug::Nothing, 0);
            assert_eq!(played.violation, None, "{voters} voters, seed {seed}");
        }
    }
}

/// Seed 728: a leader that others had followed said at once that a member was let in, which stayed out.
#[test]
fn scripts_that_have_found_something_stay_clean() {
    let played = Script::generate(728, ALL).run(InjectedBug::Nothing, 0);
    assert_eq!(played.violation, None);
}

/// Each error at a seed that finds it, under the promise that it breaks; some are cut to the faults that matter. `overstays-part` is
/// found by the fleet's `budgets: a_part_ends_with_its_lease_though_the_members_thread_is_stalled` on each seed.
#[test]
fn a_dozen_planted_errors_are_found_each_by_its_promise() {
    let promises = [
        ("longer-lease", 0, "One Holder", true),
        ("wild-clocks", 0, "One Holder", false),
        ("deaf-program", 0, "One Holder", false),
        ("extra-unit", 1, "Never More Than The Whole", true),
        ("hasty-proxy", 0, "Empty Means Empty", false),
        ("forgetful-proxy", 2, "Empty Means Empty", true),
        (
            "connections-outlive",
            170,
            "Never More Than The Whole",
            false,
        ),
        ("stale-views", 1, "One At A Time", false),
    ];
    let found = promises.map(|(name, seed, promise, cut)| {
        let planted = InjectedBug::NAMES.iter().find(|(known, _)| *known == name);
        let planted = planted.expect("a name").1;
        std::thread::spawn(move || {
            let script = Script::generate(seed, ALL);
            let wrong = script.run(planted, 0).violation;
            assert!(
                wrong.as_ref().is_some_and(|wrong| wrong.contains(promise)),
                "{name}: {wrong:?}"
            );
            if cut {
                let (least, _) = script.shrink(planted, 25);
                assert!(least.run(planted, 0).violation.is_some(), "{name}");
                let (before, after) = (script.faults.len(), least.faults.len());
                assert!(
                    after * 2 < before,
                    "{name}: {after} of {before} faults are left"
                );
            }
        })
    });
    for thread in found {
        thread.join().expect("found");
    }
}

/// A fault that is struck does what it says: a member that is cut off is not live, one that is killed comes back.
#[test]
fn faults_of_a_script_do_what_they_say() {
    let mut script = Script::generate(1, ALL);
    let rest = vec![
        "node-0".into(),
        "node-1".into(),
        "node-3".into(),
        "node-4".into(),
    ];
    let cut = Fault::Cut {
        from: vec!["node-2".into()],
        to: rest,
        both: true,
    };
    let kill = Fault::Kill {
        node: "node-1".into(),
        back: 500,
    };
    (script.loss, script.repeat, script.delay) = (0.0, 0.0, (0, 10));
    script.faults.truncate(2);
    (script.faults[0].at, script.faults[0].fault) = (5000, cut);
    (script.faults[1].at, script.faults[1].fault) = (6000, kill);
    script.lasts = 9000;
    let line = script.run(InjectedBug::Nothing, 100).timeline;
    let state = |at: u64, node: usize| {
        let moment = line.iter().find(|moment| moment.at == at).expect("sampled");
        moment.member_states[node].1
    };
    assert_eq!((state(4900, 2) == 'c', state(5500, 2)), (false, 'c'));
    assert_eq!((state(6100, 1), state(7000, 1) == 'x'), ('x', false));
}

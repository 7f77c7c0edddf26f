//! A short soak by a few fixed seeds; the long one is `violetwind-lab soak`.

use std::path::Path;
use std::thread;
use std::time::Duration;

use violetwind_standins::soak::Script;
use violetwind_standins::soak::runner::run_script;

const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];
const AT_ONCE: usize = 4;
const LASTS: Duration = Duration::from_secs(8);

#[test]
fn no_clause_is_broken_in_a_short_soak() {
    let program = Path::new(env!("CARGO_BIN_EXE_violetwind"));
    let dir = std::env::temp_dir().join(format!("violetwind-soak-{}", std::process::id()));
    let mut broken = Vec::new();
    for seeds in SEEDS.chunks(AT_ONCE) {
        thread::scope(|scope| {
            let runs: Vec<_> = seeds
                .iter()
                .map(|seed| {
                    (
                        *seed,
                        scope.spawn(|| run_script(program, &dir, &Script::from_seed(*seed, LASTS))),
                    )
                })
                .collect();
            for (seed, run) in runs {
                let report = run.join().unwrap();
                assert!(
                    report.asked > 300 && report.served > 0,
                    "seed {seed}: {report:?}"
                );
                broken.extend(
                    report
                        .violations
                        .iter()
                        .map(|line| format!("seed {seed}: {line}")),
                );
            }
        });
    }
    assert!(
        broken.is_empty(),
        "logs are in {}:\n{}",
        dir.display(),
        broken.join("\n")
    );
    let _ = std::fs::remove_dir_all(&dir);
}

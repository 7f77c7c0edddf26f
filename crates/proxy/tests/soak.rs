//! A short soak test with a few fixed seeds; the long one is `violetwind-lab soak`.

use std::path::Path;
use std::thread;
use std::time::Duration;

use violetwind_standins::soak::Script;
use violetwind_standins::soak::runner::run_script;

const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];
const PARALLEL_RUNS: usize = 4;
const RUN_DURATION: Duration = Duration::from_secs(8);

#[test]
fn a_short_soak_has_no_violations() {
    let program = Path::new(env!("CARGO_BIN_EXE_violetwind"));
    let dir = std::env::temp_dir().join(format!("violetwind-soak-{}", std::process::id()));
    let mut violations = Vec::new();
    for seeds in SEEDS.chunks(PARALLEL_RUNS) {
        thread::scope(|scope| {
            let runs: Vec<_> = seeds
                .iter()
                .map(|seed| {
                    (
                        *seed,
                        scope.spawn(|| {
                            run_script(program, &dir, &Script::from_seed(*seed, RUN_DURATION))
                        }),
                    )
                })
                .collect();
            for (seed, run) in runs {
                let report = run.join().unwrap();
                assert!(
                    report.request_count > 300 && report.served > 0,
                    "seed {seed}: {report:?}"
                );
                violations.extend(
                    report
                        .violations
                        .iter()
                        .map(|line| format!("seed {seed}: {line}")),
                );
            }
        });
    }
    assert!(
        violations.is_empty(),
        "logs are in {}:\n{}",
        dir.display(),
        violations.join("\n")
    );
    let _ = std::fs::remove_dir_all(&dir);
}

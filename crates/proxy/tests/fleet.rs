//! The lab's loopback fleet on this build: a flap, a drain and a death in six seconds.

use std::path::PathBuf;

use violetwind_lab::fleet::{FleetOptions, run_fleet};

#[test]
fn every_client_of_a_small_day_sees_one_final_answer() {
    let plan = FleetOptions {
        proxy_program: PathBuf::from(env!("CARGO_BIN_EXE_violetwind")),
        proxies: 2,
        servers: 4,
        clients: 24,
        seconds: 8.0,
        print_progress: false,
    };
    let report = run_fleet(&plan).unwrap();
    assert!(report.passed(), "{report:?}");
    assert!(report.up >= 24 && report.moved > 0, "{report:?}");
}

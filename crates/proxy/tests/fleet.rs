//! The lab's loopback fleet on this build: a flap, a drain and a death in six seconds.

use std::path::PathBuf;

use violetwind_lab::fleet::{Plan, run};

#[test]
fn every_client_of_a_small_day_sees_one_final_answer() {
    let plan = Plan {
        proxy: PathBuf::from(env!("CARGO_BIN_EXE_violetwind")),
        proxies: 2,
        servers: 4,
        clients: 24,
        seconds: 8.0,
        live: false,
    };
    let report = run(&plan).unwrap();
    assert!(report.sound(), "{report:?}");
    assert!(report.up >= 24 && report.moved > 0, "{report:?}");
}

//! The lab's loopback fleet with this build: flapping health checks, a drain and a server crash in a run of eight
//! seconds.

use std::path::PathBuf;

use violetwind_lab::fleet::{FleetOptions, run_fleet};

#[test]
fn every_client_gets_one_final_answer_through_a_flap_a_drain_and_a_crash() {
    let options = FleetOptions {
        proxy_program: PathBuf::from(env!("CARGO_BIN_EXE_violetwind")),
        proxies: 2,
        servers: 4,
        clients: 24,
        seconds: 8.0,
        print_progress: false,
    };
    let report = run_fleet(&options).unwrap();
    assert!(report.passed(), "{report:?}");
    assert!(report.up >= 24 && report.moved > 0, "{report:?}");
}

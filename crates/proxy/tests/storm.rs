//! Runs one of the few fault scripts that CI plays on real processes; `violetwind-lab storm --real` plays any script.

use violetwind_lab::storm_processes::run_on_processes;
use violetwind_storm::script::Script;

/// This script found that a member without a vote that operators had put out was missing from the members' view.
#[test]
fn a_script_with_kills_stalls_partitions_and_a_member_put_out_violates_no_invariant() {
    let script = include_str!("../../storm/scripts/put-out.toml");
    let script = Script::parse(script).expect("a valid script");
    let outcome = run_on_processes(&script, env!("CARGO_BIN_EXE_violetwind").as_ref());
    assert_eq!(outcome.wrong, Vec::<String>::new());
    assert!(
        outcome.faults >= 25
            && outcome.machines_emptied == script.machines
            && outcome.duties_held > 2,
        "{outcome:?}"
    );
}

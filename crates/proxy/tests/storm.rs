//! A script of faults on real processes, of the handful that CI plays: `violetwind-lab storm --real` plays any.

use violetwind_lab::storm_processes::play_on_processes;
use violetwind_storm::script::Script;

/// The script that has found that a member that never votes, put out by operators, was out of sight.
#[test]
fn a_script_with_kills_stalls_cuts_and_a_member_put_out_keeps_all_promises() {
    let script = include_str!("../../storm/scripts/put-out.toml");
    let script = Script::parse(script).expect("sound");
    let played = play_on_processes(&script, env!("CARGO_BIN_EXE_violetwind").as_ref());
    assert_eq!(played.wrong, Vec::<String>::new());
    assert!(
        played.faults >= 25 && played.machines_emptied == script.machines && played.duties_held > 2,
        "{played:?}"
    );
}

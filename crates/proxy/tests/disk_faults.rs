//! Writes and syncs in a voter's directory fail for a while and the process is killed afterwards. Records that were
//! acknowledged before the kill must survive.

mod common;

use std::thread;
use std::time::Duration;

use common::{Discovery, Proxy, Server, disable_load_reports};
use serde_json::json;

use violetwind_standins::duty_history;
use violetwind_standins::fleet_harness::{FleetHarness, FleetSpec, count_live_members};
use violetwind_standins::{target_row, unused_addr};

/// The smallest segment that the settings allow.
const SEGMENT_BYTES: usize = 65_536;

fn fleet_spec(voters: usize, lines: &str) -> FleetSpec {
    FleetSpec {
        program: env!("CARGO_BIN_EXE_violetwind").into(),
        voters,
        non_voters: 0,
        lease_ms: 1000,
        election_timeout_ms: 200,
        duties: vec!["export".into(), "backup".into()],
        slow_start_window_s: 4.0,
        log_level: "info",
        fleet_toml: format!("segment_bytes = {SEGMENT_BYTES}\n{lines}"),
        extra_toml: "[fleet.work]\nfile = \"FILE\"\n".into(),
    }
}

/// Starts a fleet whose member 0 can get system call faults, and waits until all members are live.
fn start_with_faulty_member(voters: usize) -> FleetHarness {
    let mut fleet = FleetHarness::start(fleet_spec(voters, ""));
    // One machine per order.
    for order in ["before", "during", "after", "late"] {
        fleet.upsert_target(target_row(
            &format!("s-{order}"),
            &unused_addr().to_string(),
            "ready",
        ));
    }
    fleet.wait_for_holder("export", 0);
    fleet.terminate_member(0);
    fleet.start_member_with_faults(0, "");
    wait_for_all_members_live(&fleet);
    fleet
}

/// Waits until every member sees all members live.
fn wait_for_all_members_live(fleet: &FleetHarness) {
    for viewer in 0..fleet.member_count() {
        fleet.wait_until("all members are live", |fleet| {
            (count_live_members(&fleet.fetch_view(viewer)?) == Some(fleet.member_count()))
                .then_some(())
        });
    }
}

/// Plans a work order at member 0 and waits until it is acknowledged, that is, on the disks of a majority.
fn plan_order(fleet: &FleetHarness, order: &str) {
    let call = format!("FLEET WORK PLAN {order} s-{order} not-before=4000000000000");
    fleet.wait_until(order, |fleet| {
        let answer = fleet.call_member(0, &call)?;
        answer.starts_with("200 ").then_some(())
    });
}

/// Whether member 0 shows the order in a view that a majority has settled.
fn has_order(fleet: &FleetHarness, order: &str) -> bool {
    let view = fleet.wait_until("a settled view", |fleet| {
        let answer = fleet.call_member(0, "FLEET WORK")?;
        answer.contains("\"settled\":true").then_some(answer)
    });
    view.contains(&format!("\"{order}\""))
}

/// Kills member 0, starts it again and waits until all members are live.
fn kill_and_restart(fleet: &mut FleetHarness) {
    fleet.kill_member(0);
    fleet.start_member(0);
    wait_for_all_members_live(fleet);
}

/// Checks that a voter takes part again after its calls failed for two seconds. Another voter is killed afterwards, so
/// that there is no majority without the faulty one.
fn assert_voter_rejoins_after(rules: &str) {
    let mut fleet = start_with_faulty_member(3);
    plan_order(&fleet, "before");
    fleet.set_faults(0, rules);
    let _ = fleet.call_member(
        1,
        "FLEET WORK PLAN during s-during not-before=4000000000000",
    );
    thread::sleep(Duration::from_secs(2));
    fleet.set_faults(0, "");
    fleet.wait_until("the voter takes part again", |fleet| {
        (count_live_members(&fleet.fetch_view(0)?) == Some(3)).then_some(())
    });
    fleet.kill_member(1);
    plan_order(&fleet, "after");
    fleet.start_member(1);
    kill_and_restart(&mut fleet);
    assert!(
        has_order(&fleet, "before") && has_order(&fleet, "after"),
        "{}",
        fleet.merged_log()
    );
}

#[test]
fn a_voter_takes_part_again_after_failed_writes() {
    assert_voter_rejoins_after("fail write EIO 1000 /fleet/");
}

#[test]
fn a_voter_takes_part_again_after_partial_writes() {
    assert_voter_rejoins_after("halfway write EIO 1000 /fleet/");
}

#[test]
fn a_voter_takes_part_again_after_failed_syncs() {
    assert_voter_rejoins_after("fail fdatasync EIO 1000 /fleet/\nfail fsync EIO 1000 /fleet");
}

/// Records that are repeated after a failed sync must not be in the log twice.
#[test]
fn a_directory_is_readable_after_failed_syncs_and_a_kill() {
    for error in ["ENOSPC", "EIO"] {
        let mut fleet = start_with_faulty_member(1);
        plan_order(&fleet, "before");
        fleet.set_faults(0, &format!("fail fdatasync {error} 1000 /fleet/"));
        let _ = fleet.call_member(
            0,
            "FLEET WORK PLAN during s-during not-before=4000000000000",
        );
        thread::sleep(Duration::from_secs(2));
        fleet.set_faults(0, "");
        plan_order(&fleet, "after");
        kill_and_restart(&mut fleet);
        assert!(
            has_order(&fleet, "before") && has_order(&fleet, "after"),
            "{}",
            fleet.merged_log()
        );
    }
}

#[test]
fn a_mark_of_acknowledged_records_that_cannot_be_written_loses_no_order() {
    let mut fleet = start_with_faulty_member(1);
    plan_order(&fleet, "before");
    fleet.set_faults(0, "fail pwrite64 EIO 1000 acked");
    let _ = fleet.call_member(
        0,
        "FLEET WORK PLAN during s-during not-before=4000000000000",
    );
    thread::sleep(Duration::from_millis(500));
    fleet.set_faults(0, "");
    plan_order(&fleet, "after");
    kill_and_restart(&mut fleet);
    assert!(
        has_order(&fleet, "before") && has_order(&fleet, "after"),
        "{}",
        fleet.merged_log()
    );
}

/// Checks that orders survive a kill after the log was compacted while calls failed. An order acknowledged after the
/// compaction must survive too.
fn assert_orders_survive_a_kill_after_compaction_under(rules: &str) {
    let mut fleet = start_with_faulty_member(1);
    plan_order(&fleet, "before");
    fleet.set_faults(0, rules);
    for turn in 0..2000 {
        let call = ["PAUSE", "RESUME"][turn % 2];
        let _ = fleet.call_member(0, &format!("FLEET WORK {call}"));
        if fleet.log_contains(0, "written anew") {
            break;
        }
    }
    assert!(
        fleet.log_contains(0, "written anew"),
        "{}",
        fleet.merged_log()
    );
    let late_answer = fleet.call_member(0, "FLEET WORK PLAN late s-late not-before=4000000000000");
    let is_acknowledged = late_answer.is_some_and(|answer| answer.starts_with("200 "));
    fleet.kill_member(0);
    fleet.start_member(0);
    wait_for_all_members_live(&fleet);
    assert!(has_order(&fleet, "before"), "{}", fleet.merged_log());
    assert!(
        !is_acknowledged || has_order(&fleet, "late"),
        "{}",
        fleet.merged_log()
    );
}

/// The new segment already has its name when the sync of the directory fails.
#[test]
fn an_order_survives_a_kill_after_a_compaction_with_failed_directory_syncs() {
    assert_orders_survive_a_kill_after_compaction_under("fail fsync EIO 1000 /fleet");
}

#[test]
fn an_order_survives_a_kill_after_a_compaction_with_failed_renames() {
    assert_orders_survive_a_kill_after_compaction_under("fail rename EIO 1000 /fleet/log");
}

#[test]
fn an_order_survives_a_kill_after_a_compaction_with_failed_opens() {
    assert_orders_survive_a_kill_after_compaction_under("fail open EIO 1000 /fleet");
}

#[test]
fn an_order_survives_a_kill_after_a_compaction_with_occasional_partial_writes() {
    assert_orders_survive_a_kill_after_compaction_under("halfway write EIO 300 /fleet/");
}

/// A member that starts while its disk fails takes part once the disk works again.
#[test]
fn a_voter_that_starts_on_a_failing_disk_takes_part_later() {
    let mut fleet = start_with_faulty_member(3);
    plan_order(&fleet, "before");
    fleet.kill_member(0);
    fleet.start_member_with_faults(
        0,
        "fail open EIO 1000 /fleet\nfail fsync EIO 1000 /fleet\nfail write EIO 1000 /fleet/",
    );
    thread::sleep(Duration::from_secs(1));
    fleet.set_faults(0, "");
    fleet.wait_until("the voter takes part", |fleet| {
        (count_live_members(&fleet.fetch_view(0)?) == Some(3)).then_some(())
    });
    fleet.kill_member(1);
    plan_order(&fleet, "after");
    assert!(has_order(&fleet, "before"), "{}", fleet.merged_log());
}

/// The disk fails at the holder of a duty and then at each other voter in turn, and voters are killed in between. No
/// two members may hold a duty at the same time, and every acknowledged order must survive.
#[test]
fn duties_and_orders_survive_disks_that_fail_one_after_another() {
    let mut fleet = FleetHarness::start(fleet_spec(3, ""));
    for order in ["before", "during", "after", "late"] {
        fleet.upsert_target(target_row(
            &format!("s-{order}"),
            &unused_addr().to_string(),
            "ready",
        ));
    }
    fleet.wait_for_holder("export", 0);
    for member in 0..3 {
        fleet.terminate_member(member);
        fleet.start_member_with_faults(member, "");
        wait_for_all_members_live(&fleet);
    }
    plan_order(&fleet, "before");
    let rules = [
        "fail fdatasync EIO 1000 /fleet/",
        "halfway write ENOSPC 500 /fleet/",
        "fail fsync EIO 500 /fleet\nfail fdatasync EIO 500 /fleet/",
    ];
    let mut acknowledged = vec!["before"];
    for (turn, order) in ["during", "after", "late"].into_iter().enumerate() {
        let (holder, _) = fleet.wait_for_holder("export", 0);
        for faulty_member in [holder, (holder + 1) % 3, (holder + 2) % 3] {
            fleet.set_faults(faulty_member, rules[turn]);
            let call = format!("FLEET WORK PLAN {order} s-{order} not-before=4000000000000");
            let answer = fleet.call_member(faulty_member, &call);
            if answer.is_some_and(|answer| answer.starts_with("200 ")) {
                acknowledged.push(order);
            }
            thread::sleep(Duration::from_millis(700));
            if turn == 1 && faulty_member == holder {
                fleet.kill_member(faulty_member);
                fleet.start_member_with_faults(faulty_member, "");
            }
            fleet.set_faults(faulty_member, "");
        }
        wait_for_all_members_live(&fleet);
    }
    for member in 0..3 {
        fleet.kill_member(member);
        fleet.start_member(member);
    }
    wait_for_all_members_live(&fleet);
    for order in acknowledged {
        assert!(has_order(&fleet, order), "{order}: {}", fleet.merged_log());
    }
    let violations = duty_history::find_duty_violations(&fleet.duty_events(), &[]);
    assert!(
        violations.is_empty(),
        "{violations:#?}\n{}",
        fleet.merged_log()
    );
}

/// The wall clocks of some members are stepped forward and back, by up to an hour. Leases, budgets and orders use
/// clocks that such steps do not change.
#[test]
fn duties_are_kept_through_clock_steps_at_some_members() {
    let mut fleet = FleetHarness::start(fleet_spec(3, ""));
    fleet.wait_for_holder("export", 0);
    for member in 0..3 {
        fleet.terminate_member(member);
        fleet.start_member_with_faults(member, "");
        wait_for_all_members_live(&fleet);
    }
    let (holder, since) = fleet.wait_for_holder("export", 0);
    for step_ms in [3_600_000, -3_600_000, 0, 5000, -5000] {
        fleet.set_faults(holder, &format!("clock {step_ms}"));
        fleet.set_faults((holder + 1) % 3, &format!("clock {}", -step_ms));
        thread::sleep(Duration::from_millis(1500));
        assert_eq!(
            fleet.wait_for_holder("export", 0),
            (holder, since),
            "step of {step_ms} ms: {}",
            fleet.merged_log()
        );
    }
    let violations = duty_history::find_duty_violations(&fleet.duty_events(), &[]);
    assert!(violations.is_empty(), "{violations:#?}");
}

/// An order with an earliest wall-clock time must not begin before it because the clock of one machine is stepped.
#[test]
fn an_order_does_not_begin_early_when_one_members_clock_is_stepped() {
    let mut fleet = FleetHarness::start(fleet_spec(3, ""));
    fleet.upsert_target(target_row("s-before", &unused_addr().to_string(), "ready"));
    fleet.wait_for_holder("export", 0);
    for member in 0..3 {
        fleet.terminate_member(member);
        fleet.start_member_with_faults(member, "");
        wait_for_all_members_live(&fleet);
    }
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    let not_before_ms = now.as_millis() as u64 + 1_800_000;
    fleet.wait_until("the order is planned", |fleet| {
        let call = format!("FLEET WORK PLAN before s-before floor=0 not-before={not_before_ms}");
        fleet
            .call_member(0, &call)
            .filter(|answer| answer.starts_with("200 "))
    });
    for member in 0..3 {
        fleet.set_faults(member, "clock 3600000");
        thread::sleep(Duration::from_millis(1500));
        let view = fleet.wait_until("a settled view", |fleet| {
            fleet
                .call_member(member, "FLEET WORK")
                .filter(|view| view.contains("\"settled\":true"))
        });
        assert!(
            view.contains("\"phase\":\"waiting\""),
            "member {member}: {view}"
        );
        fleet.set_faults(member, "clock 0");
        thread::sleep(Duration::from_millis(300));
    }
}

/// A ban whose file could not be written is in force nevertheless, and is saved soon after the disk accepts writes
/// again: a process started after a kill applies it.
#[test]
fn a_ban_whose_file_could_not_be_written_is_saved_later() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    for rules in [
        "fail write ENOSPC 1000 violetwind.bans",
        "fail rename EIO 1000 violetwind.bans",
    ] {
        let proxy = Proxy::launch_faulty(discovery.addr, "", |config| {
            disable_load_reports(config);
            config["management"] = json!(unused_addr().to_string());
        });
        proxy.wait_ready();
        proxy.set_faults(rules);
        assert!(proxy.call("OFFLINE s-1").starts_with("400 "), "{rules}");
        assert!(
            proxy
                .open_with("c=watch,d=200")
                .read_line()
                .starts_with("BUSY"),
            "{rules}"
        );
        proxy.set_faults("");
        thread::sleep(Duration::from_millis(1000));
        proxy.signal("-KILL");
        let next = proxy.start_successor(discovery.addr);
        next.wait_ready();
        assert!(
            next.open_with("c=watch,d=200")
                .read_line()
                .starts_with("BUSY"),
            "{rules}"
        );
        assert!(server.no_pending_open());
    }
}

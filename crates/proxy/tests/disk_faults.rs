//! Writes and syncs of a voter's directory that fail for a while, and kills behind them: what was acknowledged is there.

mod common;

use std::thread;
use std::time::Duration;

use common::{Discovery, Proxy, Server, without_loads};
use serde_json::json;

use violetwind_standins::duty_history;
use violetwind_standins::fleet_harness::{FleetHarness, FleetSpec, count_live_members};
use violetwind_standins::{target_row, unused_addr};

/// The smallest segment that the settings allow.
const SEGMENT: usize = 65_536;

fn spec(voters: usize, lines: &str) -> FleetSpec {
    FleetSpec {
        program: env!("CARGO_BIN_EXE_violetwind").into(),
        voters,
        non_voters: 0,
        lease_ms: 1000,
        election_timeout_ms: 200,
        duties: vec!["export".into(), "backup".into()],
        slow_start_window_s: 4.0,
        log_level: "info",
        fleet_toml: format!("segment_bytes = {SEGMENT}\n{lines}"),
        extra_toml: "[fleet.work]\nfile = \"FILE\"\n".into(),
    }
}

/// A fleet of which one member meets system call faults, and is up.
fn faulty(voters: usize) -> FleetHarness {
    let mut members = FleetHarness::start(spec(voters, ""));
    // A machine for each order.
    for order in ["before", "during", "after", "late"] {
        members.upsert_target(target_row(
            &format!("s-{order}"),
            &unused_addr().to_string(),
            "ready",
        ));
    }
    members.wait_for_holder("export", 0);
    members.terminate_member(0);
    members.start_member_with_faults(0, "");
    all_live(&members);
    members
}

fn all_live(members: &FleetHarness) {
    for at in 0..members.member_count() {
        members.wait_until("all are live", |members| {
            (count_live_members(&members.fetch_view(at)?) == Some(members.member_count()))
                .then_some(())
        });
    }
}

/// Staff's order, which is acknowledged once it is on the disks of a majority.
fn plan(members: &FleetHarness, order: &str) {
    let call = format!("FLEET WORK PLAN {order} s-{order} not-before=4000000000000");
    members.wait_until(order, |members| {
        let answer = members.call_member(0, &call)?;
        answer.starts_with("200 ").then_some(())
    });
}

/// What a majority has settled, as the member shows it.
fn has_order(members: &FleetHarness, order: &str) -> bool {
    let view = members.wait_until("a settled view", |members| {
        let answer = members.call_member(0, "FLEET WORK")?;
        answer.contains("\"settled\":true").then_some(answer)
    });
    view.contains(&format!("\"{order}\""))
}

fn restart_killed(members: &mut FleetHarness) {
    members.kill_member(0);
    members.start_member(0);
    all_live(members);
}

/// Writes that fail for two seconds leave the voter in its place: without it there is no majority afterwards.
fn takes_part_again_after(rules: &str) {
    let mut members = faulty(3);
    plan(&members, "before");
    members.set_faults(0, rules);
    let _ = members.call_member(
        1,
        "FLEET WORK PLAN during s-during not-before=4000000000000",
    );
    thread::sleep(Duration::from_secs(2));
    members.set_faults(0, "");
    members.wait_until("it takes part again", |members| {
        (count_live_members(&members.fetch_view(0)?) == Some(3)).then_some(())
    });
    members.kill_member(1);
    plan(&members, "after");
    members.start_member(1);
    restart_killed(&mut members);
    assert!(
        has_order(&members, "before") && has_order(&members, "after"),
        "{}",
        members.merged_log()
    );
}

#[test]
fn a_voter_takes_part_again_after_its_writes_failed() {
    takes_part_again_after("fail write EIO 1000 /fleet/");
}

#[test]
fn a_voter_takes_part_again_after_writes_that_failed_halfway() {
    takes_part_again_after("halfway write EIO 1000 /fleet/");
}

#[test]
fn a_voter_takes_part_again_after_its_syncs_failed() {
    takes_part_again_after("fail fdatasync EIO 1000 /fleet/\nfail fsync EIO 1000 /fleet");
}

/// What is repeated behind a sync that failed must not stand in the log twice.
#[test]
fn a_directory_is_read_again_after_its_syncs_failed_and_a_kill() {
    for error in ["ENOSPC", "EIO"] {
        let mut members = faulty(1);
        plan(&members, "before");
        members.set_faults(0, &format!("fail fdatasync {error} 1000 /fleet/"));
        let _ = members.call_member(
            0,
            "FLEET WORK PLAN during s-during not-before=4000000000000",
        );
        thread::sleep(Duration::from_secs(2));
        members.set_faults(0, "");
        plan(&members, "after");
        restart_killed(&mut members);
        assert!(
            has_order(&members, "before") && has_order(&members, "after"),
            "{}",
            members.merged_log()
        );
    }
}

#[test]
fn a_mark_that_cannot_be_written_costs_nothing() {
    let mut members = faulty(1);
    plan(&members, "before");
    members.set_faults(0, "fail pwrite64 EIO 1000 acked");
    let _ = members.call_member(
        0,
        "FLEET WORK PLAN during s-during not-before=4000000000000",
    );
    thread::sleep(Duration::from_millis(500));
    members.set_faults(0, "");
    plan(&members, "after");
    restart_killed(&mut members);
    assert!(
        has_order(&members, "before") && has_order(&members, "after"),
        "{}",
        members.merged_log()
    );
}

/// The log is written anew while calls fail; what is acknowledged after that outlives a kill.
fn outlives_a_kill_after_the_log_was_written_anew_under(rules: &str) {
    let mut members = faulty(1);
    plan(&members, "before");
    members.set_faults(0, rules);
    for turn in 0..2000 {
        let call = ["PAUSE", "RESUME"][turn % 2];
        let _ = members.call_member(0, &format!("FLEET WORK {call}"));
        if members.log_contains(0, "written anew") {
            break;
        }
    }
    assert!(
        members.log_contains(0, "written anew"),
        "{}",
        members.merged_log()
    );
    let late = members.call_member(0, "FLEET WORK PLAN late s-late not-before=4000000000000");
    let acknowledged = late.is_some_and(|answer| answer.starts_with("200 "));
    members.kill_member(0);
    members.start_member(0);
    all_live(&members);
    assert!(has_order(&members, "before"), "{}", members.merged_log());
    assert!(
        !acknowledged || has_order(&members, "late"),
        "{}",
        members.merged_log()
    );
}

/// The new segment has its name when the sync of the directory fails.
#[test]
fn an_order_outlives_a_kill_after_the_log_was_written_anew_without_a_sync() {
    outlives_a_kill_after_the_log_was_written_anew_under("fail fsync EIO 1000 /fleet");
}

#[test]
fn an_order_outlives_a_kill_after_the_log_could_not_be_renamed() {
    outlives_a_kill_after_the_log_was_written_anew_under("fail rename EIO 1000 /fleet/log");
}

#[test]
fn an_order_outlives_a_kill_after_the_log_could_not_be_opened() {
    outlives_a_kill_after_the_log_was_written_anew_under("fail open EIO 1000 /fleet");
}

#[test]
fn an_order_outlives_a_kill_after_writes_that_failed_halfway_now_and_then() {
    outlives_a_kill_after_the_log_was_written_anew_under("halfway write EIO 300 /fleet/");
}

/// A member that starts while its disk fails takes part once it does not.
#[test]
fn a_voter_that_starts_on_a_failing_disk_takes_part_later() {
    let mut members = faulty(3);
    plan(&members, "before");
    members.kill_member(0);
    members.start_member_with_faults(
        0,
        "fail open EIO 1000 /fleet\nfail fsync EIO 1000 /fleet\nfail write EIO 1000 /fleet/",
    );
    thread::sleep(Duration::from_secs(1));
    members.set_faults(0, "");
    members.wait_until("it takes part", |members| {
        (count_live_members(&members.fetch_view(0)?) == Some(3)).then_some(())
    });
    members.kill_member(1);
    plan(&members, "after");
    assert!(has_order(&members, "before"), "{}", members.merged_log());
}

/// The disk fails at whoever leads, then at each voter one after the other, and voters are killed in between: nobody
/// holds a duty beside another, and every order that was acknowledged is there.
#[test]
fn duties_and_orders_hold_through_disks_that_fail_one_after_the_other() {
    let mut members = FleetHarness::start(spec(3, ""));
    for order in ["before", "during", "after", "late"] {
        members.upsert_target(target_row(
            &format!("s-{order}"),
            &unused_addr().to_string(),
            "ready",
        ));
    }
    members.wait_for_holder("export", 0);
    for at in 0..3 {
        members.terminate_member(at);
        members.start_member_with_faults(at, "");
        all_live(&members);
    }
    plan(&members, "before");
    let rules = [
        "fail fdatasync EIO 1000 /fleet/",
        "halfway write ENOSPC 500 /fleet/",
        "fail fsync EIO 500 /fleet\nfail fdatasync EIO 500 /fleet/",
    ];
    let mut acknowledged = vec!["before"];
    for (turn, order) in ["during", "after", "late"].into_iter().enumerate() {
        let (holder, _) = members.wait_for_holder("export", 0);
        for at in [holder, (holder + 1) % 3, (holder + 2) % 3] {
            members.set_faults(at, rules[turn]);
            let call = format!("FLEET WORK PLAN {order} s-{order} not-before=4000000000000");
            let answer = members.call_member(at, &call);
            if answer.is_some_and(|answer| answer.starts_with("200 ")) {
                acknowledged.push(order);
            }
            thread::sleep(Duration::from_millis(700));
            if turn == 1 && at == holder {
                members.kill_member(at);
                members.start_member_with_faults(at, "");
            }
            members.set_faults(at, "");
        }
        all_live(&members);
    }
    for at in 0..3 {
        members.kill_member(at);
        members.start_member(at);
    }
    all_live(&members);
    for order in acknowledged {
        assert!(
            has_order(&members, order),
            "{order}: {}",
            members.merged_log()
        );
    }
    let broken = duty_history::find_duty_violations(&members.duty_events(), &[]);
    assert!(broken.is_empty(), "{broken:#?}\n{}", members.merged_log());
}

/// Wall clocks of some members are stepped by an hour, forward and back: leases, budgets and orders go by clocks that
/// run on.
#[test]
fn duties_hold_through_steps_of_some_members_clocks() {
    let mut members = FleetHarness::start(spec(3, ""));
    members.wait_for_holder("export", 0);
    for at in 0..3 {
        members.terminate_member(at);
        members.start_member_with_faults(at, "");
        all_live(&members);
    }
    let (holder, since) = members.wait_for_holder("export", 0);
    for step in [3_600_000, -3_600_000, 0, 5000, -5000] {
        members.set_faults(holder, &format!("clock {step}"));
        members.set_faults((holder + 1) % 3, &format!("clock {}", -step));
        thread::sleep(Duration::from_millis(1500));
        assert_eq!(
            members.wait_for_holder("export", 0),
            (holder, since),
            "step {step}: {}",
            members.merged_log()
        );
    }
    let broken = duty_history::find_duty_violations(&members.duty_events(), &[]);
    assert!(broken.is_empty(), "{broken:#?}");
}

/// An order that is not to begin before a time of the wall clock begins no sooner by the step of one machine's clock.
#[test]
fn an_order_begins_no_sooner_because_one_members_clock_is_stepped() {
    let mut members = FleetHarness::start(spec(3, ""));
    members.upsert_target(target_row("s-before", &unused_addr().to_string(), "ready"));
    members.wait_for_holder("export", 0);
    for at in 0..3 {
        members.terminate_member(at);
        members.start_member_with_faults(at, "");
        all_live(&members);
    }
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    let half_an_hour = now.as_millis() as u64 + 1_800_000;
    members.wait_until("planned", |members| {
        let call = format!("FLEET WORK PLAN before s-before floor=0 not-before={half_an_hour}");
        members
            .call_member(0, &call)
            .filter(|answer| answer.starts_with("200 "))
    });
    for at in 0..3 {
        members.set_faults(at, "clock 3600000");
        thread::sleep(Duration::from_millis(1500));
        let view = members.wait_until("a view", |members| {
            members
                .call_member(at, "FLEET WORK")
                .filter(|view| view.contains("\"settled\":true"))
        });
        assert!(view.contains("\"phase\":\"waiting\""), "{at}: {view}");
        members.set_faults(at, "clock 0");
        thread::sleep(Duration::from_millis(300));
    }
}

/// A ban that could not be written down is in force all the same, and on disk soon after the disk takes writes again: a
/// process that is started after a kill goes by it.
#[test]
fn a_ban_whose_file_failed_is_written_down_later() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    for rules in [
        "fail write ENOSPC 1000 violetwind.bans",
        "fail rename EIO 1000 violetwind.bans",
    ] {
        let proxy = Proxy::launch_faulty(discovery.addr, "", |config| {
            without_loads(config);
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
        let next = proxy.successor(discovery.addr);
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

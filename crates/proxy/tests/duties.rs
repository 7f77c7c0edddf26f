//! Duties in a fleet of several real processes with faults between them. The checks use the holdings that the processes
//! log, the work that the receiver accepts, and the kernel's clock since boot.

use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use violetwind_standins::boottime_ms;
use violetwind_standins::duty_history::{self, DutyEvent, DutyEventKind};
use violetwind_standins::fleet_harness::{FleetHarness, FleetSpec, count_live_members, node_name};
use violetwind_standins::receiver::{Receiver, Work};
use violetwind_standins::relay::LinkMode;

const LEASE_MS: u64 = 1000;
const ELECTION_TIMEOUT_MS: u64 = 200;
/// Tolerance for scheduling delays of a busy machine.
const SLACK_MS: u64 = 400;
/// Longest time from the last message of a failed holder until another member holds the duty: the lease as the leader
/// counts it, an election if the leader failed with it, and a new leader's wait for a whole lease.
const MAX_TAKEOVER_MS: u64 = LEASE_MS + LEASE_MS / 100 + 2 * ELECTION_TIMEOUT_MS + SLACK_MS;

fn fleet_spec(voters: usize, non_voters: usize) -> FleetSpec {
    FleetSpec {
        program: env!("CARGO_BIN_EXE_violetwind").into(),
        voters,
        non_voters,
        lease_ms: LEASE_MS,
        election_timeout_ms: ELECTION_TIMEOUT_MS,
        duties: vec!["export".into()],
        slow_start_window_s: 4.0,
        log_level: "info",
        fleet_toml: String::new(),
        extra_toml: String::new(),
    }
}

/// Starts a fleet and waits until the duty is held; returns the fleet and the holder's index.
fn start_with_holder(voters: usize, non_voters: usize) -> (FleetHarness, usize) {
    let fleet = FleetHarness::start(fleet_spec(voters, non_voters));
    let (holder, _) = fleet.wait_for_holder("export", 0);
    (fleet, holder)
}

/// The index of the leader, as reported by the first member that sees a majority.
fn leader_index(fleet: &FleetHarness) -> usize {
    fleet.wait_until("a leader", |fleet| {
        let views = (0..fleet.member_count()).filter_map(|index| fleet.fetch_view(index));
        let mut settled_views = views.filter(|view| view["majority"] == true);
        let leader = settled_views.next()?["leader"].as_str()?.to_string();
        (0..fleet.member_count()).find(|index| node_name(*index) == leader)
    })
}

/// Fails on any duty invariant that the logged holdings or the receiver's work violate.
fn assert_no_duty_violations(fleet: &FleetHarness, works: &[Work]) {
    let violations = duty_history::find_duty_violations(&fleet.duty_events(), works);
    assert!(
        violations.is_empty(),
        "{violations:#?}\n{}",
        fleet.merged_log()
    );
}

/// Waits until another member than `previous_holder` holds the duty; returns the milliseconds from `since` until then.
fn wait_for_takeover(fleet: &FleetHarness, previous_holder: usize, since: u64) -> u64 {
    // `since + 1`: a holding that the previous holder gained in the very millisecond of `since` is no takeover.
    let (holder, from) = fleet.wait_for_holder("export", since + 1);
    assert_ne!(holder, previous_holder, "{}", fleet.merged_log());
    from - since
}

#[test]
fn a_killed_holder_is_replaced_within_a_lease_and_an_election() {
    let (mut fleet, holder) = start_with_holder(3, 2);
    let killed_at = boottime_ms();
    fleet.kill_member(holder);
    let takeover_ms = wait_for_takeover(&fleet, holder, killed_at);
    assert!(takeover_ms <= MAX_TAKEOVER_MS, "{takeover_ms} ms");
    assert_no_duty_violations(&fleet, &[]);
}

#[test]
fn termination_and_an_operators_hand_on_transfer_the_duty_within_300_ms() {
    let (mut fleet, holder) = start_with_holder(3, 2);
    let terminated_at = boottime_ms();
    fleet.send_signal(holder, "-TERM");
    let takeover_ms = wait_for_takeover(&fleet, holder, terminated_at);
    assert!(takeover_ms <= 300 + SLACK_MS / 2, "{takeover_ms} ms");
    assert!(fleet.wait_for_exit(holder).unwrap().success());
    fleet.start_member(holder);
    let (holder, _) = fleet.wait_for_holder("export", 0);
    let target = (0..5)
        .find(|index| *index != holder && fleet.fetch_view(*index).is_some())
        .unwrap();
    fleet.wait_until("the target has a live session", |fleet| {
        let view = fleet.fetch_view(target)?;
        let own_entry = view["members"]
            .as_array()?
            .iter()
            .find(|member| member["node"] == node_name(target).as_str())?
            .clone();
        (own_entry["state"] == "live").then_some(())
    });
    let handed_on_at = boottime_ms();
    assert_eq!(
        fleet
            .call_member(
                target,
                &format!("FLEET HAND-ON export {}", node_name(target))
            )
            .unwrap(),
        "200 done"
    );
    let (new_holder, from) = fleet.wait_for_holder("export", handed_on_at);
    assert_eq!(new_holder, target);
    assert!(
        from - handed_on_at <= 300 + SLACK_MS / 2,
        "{} ms",
        from - handed_on_at
    );
    assert!(
        fleet
            .call_member(target, "FLEET HAND-ON dust")
            .unwrap()
            .starts_with("400 ")
    );
    assert_no_duty_violations(&fleet, &[]);
}

/// A `violetwind hold` process at one member, whose command sends work to a receiver.
struct HoldProcess(Child);

impl HoldProcess {
    fn start(fleet: &FleetHarness, member: usize, receiver: &Receiver, wait: bool) -> Self {
        let work_command = format!(
            "exec {} --work {} --every-ms 5",
            standin_program("receiver"),
            receiver.addr
        );
        let child = Command::new(env!("CARGO_BIN_EXE_violetwind"))
            .args([
                "hold",
                "export",
                "--at",
                &fleet.management_addr(member).to_string(),
            ])
            .args(wait.then_some("--wait"))
            .args(["--", "sh", "-c", &work_command])
            .stderr(Stdio::null())
            .spawn();
        Self(child.unwrap())
    }

    /// Waits until the process ends and returns its exit code.
    fn wait_for_exit_code(&mut self) -> Option<i32> {
        let deadline = Instant::now() + violetwind_standins::WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < deadline, "violetwind hold did not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for HoldProcess {
    fn drop(&mut self) {
        let _ = Command::new("kill")
            .args(["-CONT", &self.0.id().to_string()])
            .status();
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The path of a stand-in's program beside this test's; builds the programs if it is missing.
fn standin_program(name: &str) -> String {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    let path = path.join(format!("violetwind-standin-{name}"));
    if !path.exists() {
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
        let build_status = Command::new(cargo)
            .args(["build", "-q", "-p", "violetwind-standins", "--bins"])
            .status();
        assert!(build_status.unwrap().success());
    }
    path.display().to_string()
}

/// Waits until the receiver has accepted `min_count` pieces of work with a fencing number above `fence_above`; returns
/// the fencing number of the first.
fn wait_for_accepted_work(receiver: &Receiver, min_count: usize, fence_above: u64) -> u64 {
    let deadline = Instant::now() + violetwind_standins::WAIT_TIMEOUT;
    loop {
        let works = receiver.received_work();
        let mut accepted = works
            .iter()
            .filter(|work| work.taken && work.fence > fence_above);
        let first_fence = accepted.next().map(|work| work.fence);
        if let Some(fence) = first_fence.filter(|_| accepted.count() + 1 >= min_count) {
            return fence;
        }
        assert!(
            Instant::now() < deadline,
            "too little accepted work: {works:?}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The proxy and `violetwind hold` are stopped for three leases while the command of `hold` keeps on sending work with
/// the old fencing number. Guards against a holder that still has an effect after its lease was given to another
/// member.
#[test]
fn work_of_a_holder_stopped_for_three_leases_is_rejected_by_its_fencing_number() {
    let receiver = Receiver::start(([127, 0, 0, 1], 0).into()).unwrap();
    let (fleet, holder) = start_with_holder(3, 2);
    let mut old_hold = HoldProcess::start(&fleet, holder, &receiver, false);
    let old_fence = wait_for_accepted_work(&receiver, 20, 0);
    let stopped_at = boottime_ms();
    fleet.send_signal(holder, "-STOP");
    let stop_status = Command::new("kill")
        .args(["-STOP", &old_hold.0.id().to_string()])
        .status()
        .unwrap();
    assert!(stop_status.success());
    // The command itself keeps on running: the stopped `violetwind hold` can't end it.
    let takeover_ms = wait_for_takeover(&fleet, holder, stopped_at);
    assert!(takeover_ms <= MAX_TAKEOVER_MS, "{takeover_ms} ms");
    let (new_holder, _) = fleet.wait_for_holder("export", stopped_at);
    let _new_hold = HoldProcess::start(&fleet, new_holder, &receiver, true);
    let new_fence = wait_for_accepted_work(&receiver, 5, old_fence);
    assert!(new_fence > old_fence);
    let resume_at = Instant::now()
        + Duration::from_millis(3 * LEASE_MS)
            .saturating_sub(Duration::from_millis(boottime_ms() - stopped_at));
    while Instant::now() < resume_at {
        std::thread::sleep(Duration::from_millis(20));
    }
    fleet.send_signal(holder, "-CONT");
    let continue_status = Command::new("kill")
        .args(["-CONT", &old_hold.0.id().to_string()])
        .status()
        .unwrap();
    assert!(continue_status.success());
    // The old command has ended because the receiver rejected its work.
    assert!(matches!(old_hold.wait_for_exit_code(), Some(1 | 76)));
    fleet.wait_until("the stopped member reports the stall", |fleet| {
        fleet.log_contains(holder, "stopped for").then_some(())
    });
    let all_work = receiver.received_work();
    assert!(
        all_work
            .iter()
            .any(|work| !work.taken && work.fence == old_fence),
        "the receiver rejected no work with the old fencing number"
    );
    assert_no_duty_violations(&fleet, &all_work);
}

/// Checks the checker itself: planted violations must be found.
#[test]
fn the_checker_detects_disabled_fencing_and_overlapping_holdings() {
    let receiver = Receiver::start(([127, 0, 0, 1], 0).into()).unwrap();
    receiver.disable_fencing();
    for fence in [3, 8, 3] {
        let mut sender = violetwind_standins::LineConnection::connect(receiver.addr);
        sender.send_line(&format!("WORK export {fence} x"));
        assert_eq!(sender.read_line(), "TAKEN");
    }
    let violations = duty_history::find_duty_violations(&[], &receiver.received_work());
    assert!(
        violations.len() == 1 && violations[0].starts_with("Fencing"),
        "{violations:?}"
    );
    let event = |mono_ms, node: &str, fence, kind| DutyEvent {
        mono_ms,
        node: node.into(),
        duty: "export".into(),
        fence,
        kind,
    };
    let events = [
        event(10, "a", 1, DutyEventKind::Gained),
        event(30, "b", 2, DutyEventKind::Gained),
        event(40, "a", 1, DutyEventKind::Lost),
    ];
    let violations = duty_history::find_duty_violations(&events, &[]);
    assert!(
        violations.len() == 1 && violations[0].starts_with("One Holder"),
        "{violations:?}"
    );
    let events = [
        event(10, "a", 4, DutyEventKind::Gained),
        event(20, "a", 4, DutyEventKind::Lost),
        event(30, "b", 4, DutyEventKind::Gained),
    ];
    assert!(duty_history::find_duty_violations(&events, &[])[0].starts_with("Fencing"));
}

#[test]
fn a_duty_has_one_holder_through_full_one_way_and_leader_only_partitions() {
    let (fleet, mut holder) = start_with_holder(3, 2);
    for partition in 0..4 {
        let others: Vec<usize> = (0..5).filter(|index| *index != holder).collect();
        let leader = leader_index(&fleet);
        let cut_at = boottime_ms();
        match partition {
            0 => fleet.set_links_between(&[holder], &others, LinkMode::Blackhole),
            1 => others
                .iter()
                .for_each(|to| fleet.set_link(holder, *to, LinkMode::Stall)),
            2 => others
                .iter()
                .for_each(|from| fleet.set_link(*from, holder, LinkMode::Blackhole)),
            _ => fleet.set_links_between(&[holder], &[leader], LinkMode::Reset),
        }
        // With only the link to the leader cut, both outcomes are accepted: a voter gets another leader elected, or a
        // member without a vote can't reach the leader.
        let may_keep_duty = partition == 3;
        if !may_keep_duty {
            let takeover_ms = wait_for_takeover(&fleet, holder, cut_at);
            assert!(
                takeover_ms <= 2 * MAX_TAKEOVER_MS,
                "partition {partition}: {takeover_ms} ms"
            );
            fleet.wait_until("the partitioned holder reports the loss", |fleet| {
                let holdings = duty_history::reconstruct_holdings(&fleet.duty_events());
                let last_holding = holdings
                    .iter()
                    .rfind(|holding| holding.node == node_name(holder))?;
                (last_holding.until != u64::MAX).then_some(())
            });
        }
        fleet.heal_links();
        holder = fleet.wait_for_holder("export", 0).0;
        fleet.wait_until("all members are live again", |fleet| {
            let view = fleet
                .fetch_view(holder)
                .filter(|view| view["majority"] == true)?;
            (count_live_members(&view) == Some(5)).then_some(())
        });
        assert_no_duty_violations(&fleet, &[]);
    }
}

#[test]
fn the_minority_of_a_partition_loses_the_duty_and_the_majority_takes_over() {
    let (fleet, holder) = start_with_holder(5, 0);
    let minority = [holder, (holder + 1) % 5];
    let majority: Vec<usize> = (0..5).filter(|index| !minority.contains(index)).collect();
    let cut_at = boottime_ms();
    fleet.set_links_between(&minority, &majority, LinkMode::Reset);
    let takeover_ms = wait_for_takeover(&fleet, holder, cut_at);
    assert!(takeover_ms <= 2 * MAX_TAKEOVER_MS, "{takeover_ms} ms");
    let view = fleet.wait_until("a view of the old holder", |fleet| fleet.fetch_view(holder));
    assert!(
        view["majority"] == false && view["why"].is_string(),
        "{view}"
    );
    // Without a majority on any side no member holds the duty.
    fleet.set_links_between(&majority[..1], &majority[1..], LinkMode::Reset);
    fleet.wait_until("no member holds the duty", |fleet| {
        let holdings = duty_history::reconstruct_holdings(&fleet.duty_events());
        holdings
            .iter()
            .all(|holding| holding.until != u64::MAX)
            .then_some(())
    });
    fleet.heal_links();
    fleet.wait_for_holder("export", 0);
    assert_no_duty_violations(&fleet, &[]);
}

#[test]
fn a_flapping_link_raises_the_term_at_most_once() {
    let (fleet, _) = start_with_holder(3, 0);
    let leader = leader_index(&fleet);
    let other = (leader + 1) % 3;
    let term_before = fleet.fetch_view(leader).unwrap()["term"].as_u64().unwrap();
    for turn in 0..25 {
        match turn % 2 {
            0 => fleet.set_links_between(&[leader], &[other], LinkMode::Reset),
            _ => fleet.heal_links(),
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    fleet.heal_links();
    let view = fleet.wait_until("a view of the leader", |fleet| fleet.fetch_view(leader));
    let term_after = view["term"].as_u64().unwrap();
    assert!(
        term_after <= term_before + 1,
        "term {term_before}, then {term_after}"
    );
    assert_no_duty_violations(&fleet, &[]);
}

#[test]
fn fencing_survives_a_crash_of_all_members_and_a_rolling_restart_leaves_no_long_gap() {
    let (mut fleet, _) = start_with_holder(3, 1);
    for _ in 0..2 {
        let killed_at = boottime_ms();
        (0..4).for_each(|member| fleet.kill_member(member));
        (0..4).for_each(|member| fleet.start_member(member));
        fleet.wait_for_holder("export", killed_at);
    }
    assert_no_duty_violations(&fleet, &[]);
    fleet.wait_until("all members are live", |fleet| {
        let view = fleet.fetch_view(0)?;
        (count_live_members(&view) == Some(4)).then_some(())
    });
    let restart_began = boottime_ms();
    for restarted in 0..4 {
        assert!(fleet.terminate_member(restarted).unwrap().success());
        fleet.start_member(restarted);
        fleet.wait_until("the restarted member is live", |fleet| {
            let view = fleet.fetch_view(restarted)?;
            let own_entry = view["members"]
                .as_array()?
                .iter()
                .find(|member| member["node"] == node_name(restarted).as_str())?
                .clone();
            (own_entry["state"] == "live").then_some(())
        });
    }
    fleet.wait_for_holder("export", 0);
    let unheld_ms = duty_history::longest_unheld_ms(
        &fleet.duty_events(),
        "export",
        restart_began,
        boottime_ms(),
    );
    assert!(unheld_ms <= 300 + SLACK_MS, "{unheld_ms} ms");
    assert_no_duty_violations(&fleet, &[]);
}

#[test]
fn outdated_altered_and_emptied_data_directories_are_detected() {
    let (mut fleet, holder) = start_with_holder(3, 0);
    let victim = (holder + 1) % 3;
    // A member started with an older copy of its own directory: the copy is moved aside, and the member is a stranger
    // to the fleet until an operator lets it in.
    let old_copy = fleet.dir().join("copy");
    fleet.kill_member(victim);
    copy_dir(&fleet.fleet_dir(victim), &old_copy);
    fleet.start_member(victim);
    let hand_duty_on = |fleet: &FleetHarness| {
        // A hand-on that is refused because the next holder is not ready yet adds nothing to the log: try again.
        let handed_on_at = fleet.wait_until("the duty is handed on", |fleet| {
            let to = node_name((fleet.wait_for_holder("export", 0).0 + 1) % 3);
            let called_at = boottime_ms();
            let answer = fleet.call_member(holder, &format!("FLEET HAND-ON export {to}"));
            (answer.as_deref() == Some("200 done")).then_some(called_at)
        });
        fleet.wait_for_holder("export", handed_on_at);
    };
    fleet.wait_until("the victim sees all members live", |fleet| {
        let view = fleet.fetch_view(victim)?;
        (count_live_members(&view) == Some(3)).then_some(())
    });
    (0..3).for_each(|_| hand_duty_on(&fleet));
    // The other two are a majority. Only entries that the victim itself has received make its copy an older one.
    fleet.wait_until("the victim has all committed entries", |fleet| {
        let commit = |member| fleet.fetch_view(member)?["commit"].as_u64();
        (commit(victim)? >= commit(holder)?).then_some(())
    });
    fleet.kill_member(victim);
    std::fs::remove_dir_all(fleet.fleet_dir(victim)).unwrap();
    copy_dir(&old_copy, &fleet.fleet_dir(victim));
    fleet.start_member(victim);
    fleet.wait_until("the directory is detected as an older copy", |fleet| {
        fleet.log_contains(victim, "older copy").then_some(())
    });
    fleet.wait_until("the victim is listed as a stranger", |fleet| {
        let view = fleet.fetch_view(holder)?;
        let victim_entry = view["members"]
            .as_array()?
            .iter()
            .find(|member| member["node"] == node_name(victim).as_str())?
            .clone();
        (victim_entry["state"] == "stranger").then_some(())
    });
    let management_addr = fleet.management_addr(holder).to_string();
    let let_in_status = Command::new(env!("CARGO_BIN_EXE_violetwind"))
        .args([
            "fleet",
            "let-in",
            &node_name(victim),
            "--at",
            &management_addr,
        ])
        .status();
    assert!(let_in_status.unwrap().success());
    let view = fleet.fetch_view(holder).unwrap();
    assert!(
        view["members"]
            .as_array()
            .unwrap()
            .iter()
            .all(|member| member["votes"] == true),
        "{view}"
    );
    // An altered byte: the directory is refused, the log names file and offset, and the proxy keeps on serving clients.
    fleet.kill_member(victim);
    let entries = std::fs::read_dir(fleet.fleet_dir(victim)).unwrap();
    let log_path = entries
        .map(|entry| entry.unwrap().path())
        .find(|path| path.to_string_lossy().contains("log."))
        .unwrap();
    let mut bytes = std::fs::read(&log_path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    std::fs::write(&log_path, bytes).unwrap();
    fleet.start_member(victim);
    fleet.wait_until("the altered directory is refused", |fleet| {
        (fleet.log_contains(victim, "byte ") && fleet.log_contains(victim, "nothing is guessed"))
            .then_some(())
    });
    fleet.wait_until("the victim serves clients", |fleet| {
        (fleet.call_member(victim, "HEALTH")?.starts_with("200 ")).then_some(())
    });
    assert!(
        fleet
            .call_member(victim, "FLEET")
            .unwrap()
            .starts_with("400 ")
    );
    // An emptied directory: the member is a stranger again.
    fleet.kill_member(victim);
    std::fs::remove_dir_all(fleet.fleet_dir(victim)).unwrap();
    fleet.start_member(victim);
    fleet.wait_until("the victim reports that it is a stranger", |fleet| {
        fleet
            .log_contains(victim, "another directory under this name")
            .then_some(())
    });
    assert_no_duty_violations(&fleet, &[]);
}

/// A voter whose files can't grow acknowledges no entries and resumes once there is space. The other members don't wait
/// for it, and its client connections are not affected.
#[test]
fn a_voter_without_disk_space_blocks_neither_the_fleet_nor_its_clients() {
    let (mut fleet, holder) = start_with_holder(3, 0);
    let full_voter = (holder + 1) % 3;
    fleet.terminate_member(full_voter);
    fleet.start_member_with_file_limit(full_voter, 8);
    fleet.wait_until("all members are live", |fleet| {
        let view = fleet.fetch_view(holder)?;
        (count_live_members(&view) == Some(3)).then_some(())
    });
    let mut client = violetwind_standins::LineConnection::connect(fleet.client_addr(full_voter));
    client.send_line("OPEN 51c3a9be00d24f17 7f3a9c21e0b4d655 c=watch,d=2000");
    let (_, mut conn) = fleet.server.next_open();
    conn.send_line("UP 77aa");
    assert_eq!(client.read_line(), "UP 77aa");
    for turn in 0..60 {
        if fleet.log_contains(full_voter, "no room") {
            break;
        }
        let to = node_name([holder, (holder + 2) % 3][turn % 2]);
        fleet.call_member(holder, &format!("FLEET HAND-ON export {to}"));
    }
    fleet.wait_until("the voter reports the full disk", |fleet| {
        fleet.log_contains(full_voter, "no room").then_some(())
    });
    // The other voters still commit entries, and the connection still carries lines.
    for to in [holder, (holder + 2) % 3] {
        fleet.wait_until("the duty is handed on", |fleet| {
            fleet.call_member(holder, &format!("FLEET HAND-ON export {}", node_name(to)))?;
            (fleet.duty_holder(holder, "export") == Some(to)).then_some(())
        });
    }
    conn.send_line("line 1");
    assert_eq!(client.read_line(), "line 1");
    client.send_line("line 2");
    assert_eq!(conn.read_line(), "line 2");
    let pid = fleet.pid(full_voter).unwrap().to_string();
    let prlimit_status = Command::new("prlimit")
        .args(["--pid", &pid, "--fsize=unlimited:unlimited"])
        .status();
    assert!(prlimit_status.unwrap().success());
    fleet.wait_until("the voter writes records again", |fleet| {
        fleet
            .log_contains(full_voter, "takes records again")
            .then_some(())
    });
    assert_no_duty_violations(&fleet, &[]);
}

fn copy_dir(from: &std::path::Path, to: &std::path::Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}

/// Misbehaving peers delay neither the fleet nor the proxy's answers to operators.
#[test]
fn malformed_silent_and_slow_peers_affect_only_their_own_links() {
    use std::io::{Read, Write};
    let (fleet, holder) = start_with_holder(3, 0);
    let peer_addr = fleet.peer_addr(holder);
    let connect = || std::net::TcpStream::connect(peer_addr).unwrap();
    let mut oversized = connect();
    oversized
        .write_all(&[0xff, 0xff, 0xff, 0xff, 1, 2, 3])
        .unwrap();
    let mut other_version = connect();
    let mut frame = b"\0\0\0\0violetwind fleet\x09hello".to_vec();
    let crc = crc32fast::hash(&frame[4..]).to_le_bytes();
    frame[..4].copy_from_slice(&crc);
    other_version
        .write_all(&(frame.len() as u32).to_be_bytes())
        .unwrap();
    other_version.write_all(&frame).unwrap();
    let mut refusal = Vec::new();
    other_version.read_to_end(&mut refusal).unwrap();
    let refusal = String::from_utf8_lossy(&refusal).into_owned();
    assert!(refusal.contains("version 9"), "{refusal}");
    // A frame length of 4 GiB makes the member close the link.
    let mut rest = Vec::new();
    let _ = oversized.read_to_end(&mut rest);
    // More silent connections than the member accepts links.
    let silent: Vec<_> = (0..100).map(|_| connect()).collect();
    let mut slow = connect();
    let slow_began = Instant::now();
    for byte in [0u8, 0, 0, 40, 1, 2] {
        // The member's own time limit closes the slow link; operators' calls are answered quickly meanwhile.
        let _ = slow.write_all(&[byte]);
        let called = Instant::now();
        assert!(
            fleet
                .call_member(holder, "HEALTH")
                .unwrap()
                .starts_with("200 ")
        );
        assert!(called.elapsed() < Duration::from_secs(1));
        std::thread::sleep(Duration::from_millis(250));
    }
    slow.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert!(
        matches!(slow.read(&mut [0; 8]), Ok(0) | Err(_)),
        "the slow link is still open after {:?}",
        slow_began.elapsed()
    );
    drop(silent);
    fleet.wait_until("all members are live", |fleet| {
        let view = fleet.fetch_view(holder)?;
        (count_live_members(&view) == Some(3)).then_some(())
    });
    // The holder has not changed.
    assert_eq!(fleet.wait_for_holder("export", 0).0, holder);
    assert_no_duty_violations(&fleet, &[]);
}

#[test]
fn exit_codes_of_the_command_line_distinguish_the_outcomes() {
    let (fleet, holder) = start_with_holder(3, 1);
    let run = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_violetwind"))
            .args(args)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stdout).unwrap(),
        )
    };
    let (holder_addr, other_addr) = (
        fleet.management_addr(holder).to_string(),
        fleet.management_addr((holder + 1) % 4).to_string(),
    );
    let (code, table) = run(&["fleet", "status", "--at", &holder_addr]);
    assert_eq!(code, Some(0));
    assert!(
        table.contains("DUTY") && table.contains("export") && table.contains(&node_name(holder)),
        "{table}"
    );
    let (code, json) = run(&["fleet", "status", "--at", &other_addr, "--json"]);
    assert!(code == Some(0) && json.starts_with("{\"node\""), "{json}");
    let hold =
        |addr: &str, script: &str| run(&["hold", "export", "--at", addr, "--", "sh", "-c", script]);
    assert_eq!(hold(&holder_addr, "exit 7"), (Some(7), String::new()));
    let (code, fence) = hold(&holder_addr, "echo $VIOLETWIND_FENCE");
    assert!(code == Some(0) && fence.trim().parse::<u64>().is_ok_and(|fence| fence > 0));
    assert_eq!(hold(&other_addr, "exit 0").0, Some(75));
    assert_eq!(hold("127.0.0.1:1", "exit 0").0, Some(69));
    assert_eq!(
        run(&[
            "hold",
            "export",
            "--at",
            &holder_addr,
            "--",
            "/no/such/program"
        ])
        .0,
        Some(71)
    );
    // Only one program may hold the duty at a time. A command that loses the duty is killed even if it ignores SIGTERM.
    let mut hold_process = Command::new(env!("CARGO_BIN_EXE_violetwind"))
        .args([
            "hold",
            "export",
            "--at",
            &holder_addr,
            "--grace",
            "0.2",
            "--",
            "sh",
            "-c",
            "trap '' TERM; echo up; while :; do sleep 0.01; done",
        ])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut first_line = [0; 3];
    std::io::Read::read_exact(hold_process.stdout.as_mut().unwrap(), &mut first_line).unwrap();
    assert_eq!(hold(&holder_addr, "exit 0").0, Some(75));
    let handed_on_at = boottime_ms();
    assert_eq!(
        fleet.call_member(holder, "FLEET HAND-ON export").unwrap(),
        "200 done"
    );
    assert_eq!(hold_process.wait().unwrap().code(), Some(76));
    fleet.wait_for_holder("export", handed_on_at);
    assert_no_duty_violations(&fleet, &[]);
}

/// During an upgrade both processes of a proxy count as one member; the process that serves clients takes part in the
/// fleet.
#[test]
fn an_upgrade_hands_the_duty_on_before_the_old_process_ends() {
    let (mut fleet, holder) = start_with_holder(3, 0);
    let upgrade_began = boottime_ms();
    let mut successor = fleet.start_successor(holder);
    fleet.wait_until("the successor serves", |fleet| {
        fleet
            .call_member(holder, "HEALTH")
            .filter(|answer| answer.contains("successor"))
            .map(|_| ())
    });
    let takeover_ms = wait_for_takeover(&fleet, holder, upgrade_began);
    assert!(takeover_ms < 5000, "{takeover_ms} ms");
    assert!(fleet.terminate_member(holder).unwrap().success());
    fleet.adopt_process(holder, &mut successor);
    fleet.wait_until("the successor is a live voter", |fleet| {
        let view = fleet.fetch_view(holder)?;
        let own_entry = view["members"]
            .as_array()?
            .iter()
            .find(|member| member["node"] == node_name(holder).as_str())?
            .clone();
        (own_entry["state"] == "live" && own_entry["votes"] == true).then_some(())
    });
    assert_no_duty_violations(&fleet, &[]);
}

#[test]
fn without_a_fleet_section_no_fleet_thread_runs_and_fleet_calls_are_refused() {
    use violetwind_standins::LineConnection;
    let mut spec = fleet_spec(1, 0);
    spec.duties.clear();
    let fleet = FleetHarness::start(spec);
    fleet.wait_until("a view of the member", |fleet| fleet.fetch_view(0));
    let thread_names = |pid: u32| {
        let threads = std::fs::read_dir(format!("/proc/{pid}/task")).unwrap();
        let mut names: Vec<String> = threads
            .map(|thread| std::fs::read_to_string(thread.unwrap().path().join("comm")).unwrap())
            .map(|name| name.trim_end().to_string())
            .collect();
        names.sort_unstable();
        names
    };
    assert!(thread_names(fleet.pid(0).unwrap()).len() >= 3);
    // The same program without an operator's file has the thread that serves and the one that writes the log.
    let standalone = fleet.start_standalone_process(0);
    let health = fleet.wait_until("the process without an operator's file serves", |_| {
        let mut caller = std::net::TcpStream::connect(standalone.management_addr)
            .ok()
            .map(LineConnection::new)?;
        caller.send_line("HEALTH");
        caller
            .try_read_line()
            .ok()
            .filter(|answer| answer.starts_with("200 "))
    });
    assert!(health.contains("serving"));
    let mut caller = LineConnection::connect(standalone.management_addr);
    caller.send_line("FLEET");
    assert!(caller.read_line().starts_with("400 unknown call"));
    assert_eq!(thread_names(standalone.child.id()), ["log", "violetwind"]);
}

//! Several real processes as one fleet, with faults between them: who holds a duty, by their own words, by the
//! receiver's and by the kernel's clock.

use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use violetwind_standins::boottime_ms;
use violetwind_standins::duty_history::{self, DutyEvent, DutyEventKind};
use violetwind_standins::fleet_harness::{FleetHarness, FleetSpec, count_live_members, node_name};
use violetwind_standins::receiver::{Receiver, Work};
use violetwind_standins::relay::LinkMode;

const LEASE: u64 = 1000;
const ELECTION: u64 = 200;
/// What a busy machine may add to any span.
const SLACK: u64 = 400;
/// From the last word of a holder that is gone until another holds: its lease as the leader counts it, an election
/// where the leader went with it, and a new leader's wait for a whole lease.
const HELD_AGAIN: u64 = LEASE + LEASE / 100 + 2 * ELECTION + SLACK;

fn spec(voters: usize, others: usize) -> FleetSpec {
    FleetSpec {
        program: env!("CARGO_BIN_EXE_violetwind").into(),
        voters,
        non_voters: others,
        lease_ms: LEASE,
        election_timeout_ms: ELECTION,
        duties: vec!["export".into()],
        slow_start_window_s: 4.0,
        log_level: "info",
        fleet_toml: String::new(),
        extra_toml: String::new(),
    }
}

/// A fleet in which the duty is held, and by whom.
fn held(voters: usize, others: usize) -> (FleetHarness, usize) {
    let members = FleetHarness::start(spec(voters, others));
    let (holder, _) = members.wait_for_holder("export", 0);
    (members, holder)
}

fn leader(members: &FleetHarness) -> usize {
    members.wait_until("a leader", |members| {
        let views = (0..members.member_count()).filter_map(|at| members.fetch_view(at));
        let mut known = views.filter(|view| view["majority"] == true);
        let leader = known.next()?["leader"].as_str()?.to_string();
        (0..members.member_count()).find(|at| node_name(*at) == leader)
    })
}

fn sound(members: &FleetHarness, works: &[Work]) {
    let broken = duty_history::find_duty_violations(&members.duty_events(), works);
    assert!(broken.is_empty(), "{broken:#?}\n{}", members.merged_log());
}

/// Waits until somebody else than `than` holds the duty; how long after `since` that was.
fn taken_over(members: &FleetHarness, than: usize, since: u64) -> u64 {
    // What `than` gained in the very millisecond of `since` is no taking over.
    let (holder, from) = members.wait_for_holder("export", since + 1);
    assert_ne!(holder, than, "{}", members.merged_log());
    from - since
}

#[test]
fn a_killed_holder_is_followed_within_lease_and_election() {
    let (mut members, holder) = held(3, 2);
    let at = boottime_ms();
    members.kill_member(holder);
    let took = taken_over(&members, holder, at);
    assert!(took <= HELD_AGAIN, "{took} ms");
    sound(&members, &[]);
}

#[test]
fn planned_ends_and_orders_hand_on_within_300_ms() {
    let (mut members, holder) = held(3, 2);
    let at = boottime_ms();
    members.send_signal(holder, "-TERM");
    let took = taken_over(&members, holder, at);
    assert!(took <= 300 + SLACK / 2, "{took} ms");
    assert!(members.wait_for_exit(holder).unwrap().success());
    members.start_member(holder);
    let (holder, _) = members.wait_for_holder("export", 0);
    let to = (0..5)
        .find(|to| *to != holder && members.fetch_view(*to).is_some())
        .unwrap();
    members.wait_until("its session", |members| {
        let view = members.fetch_view(to)?;
        let mine = view["members"]
            .as_array()?
            .iter()
            .find(|member| member["node"] == node_name(to).as_str())?
            .clone();
        (mine["state"] == "live").then_some(())
    });
    let at = boottime_ms();
    assert_eq!(
        members
            .call_member(to, &format!("FLEET HAND-ON export {}", node_name(to)))
            .unwrap(),
        "200 done"
    );
    let (now, from) = members.wait_for_holder("export", at);
    assert_eq!(now, to);
    assert!(from - at <= 300 + SLACK / 2, "{} ms", from - at);
    assert!(
        members
            .call_member(to, "FLEET HAND-ON dust")
            .unwrap()
            .starts_with("400 ")
    );
    sound(&members, &[]);
}

/// A program that works under `violetwind hold` at a member.
struct Held(Child);

impl Held {
    fn start(members: &FleetHarness, at: usize, receiver: &Receiver, wait: bool) -> Self {
        let work = format!(
            "exec {} --work {} --every-ms 5",
            standin("receiver"),
            receiver.addr
        );
        let child = Command::new(env!("CARGO_BIN_EXE_violetwind"))
            .args([
                "hold",
                "export",
                "--at",
                &members.management_addr(at).to_string(),
            ])
            .args(wait.then_some("--wait"))
            .args(["--", "sh", "-c", &work])
            .stderr(Stdio::null())
            .spawn();
        Self(child.unwrap())
    }

    fn code(&mut self) -> Option<i32> {
        let until = Instant::now() + violetwind_standins::WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < until, "it does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let _ = Command::new("kill")
            .args(["-CONT", &self.0.id().to_string()])
            .status();
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A program of the stand-ins, built beside this test.
fn standin(what: &str) -> String {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    let path = path.join(format!("violetwind-standin-{what}"));
    if !path.exists() {
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
        let built = Command::new(cargo)
            .args(["build", "-q", "-p", "violetwind-standins", "--bins"])
            .status();
        assert!(built.unwrap().success());
    }
    path.display().to_string()
}

fn works(receiver: &Receiver, at_least: usize, fence_above: u64) -> u64 {
    let until = Instant::now() + violetwind_standins::WAIT_TIMEOUT;
    loop {
        let works = receiver.received_work();
        let mut of = works
            .iter()
            .filter(|work| work.taken && work.fence > fence_above);
        let first = of.next().map(|work| work.fence);
        if let Some(fence) = first.filter(|_| of.count() + 1 >= at_least) {
            return fence;
        }
        assert!(Instant::now() < until, "no work: {works:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The proxy, the program's caller and the program are stopped for three leases in the middle of their work.
#[test]
fn a_holder_stopped_for_three_leases_is_stopped_by_its_number_at_the_receiver() {
    let receiver = Receiver::start(([127, 0, 0, 1], 0).into()).unwrap();
    let (members, holder) = held(3, 2);
    let mut old = Held::start(&members, holder, &receiver, false);
    let fence = works(&receiver, 20, 0);
    let at = boottime_ms();
    members.send_signal(holder, "-STOP");
    let stop = Command::new("kill")
        .args(["-STOP", &old.0.id().to_string()])
        .status()
        .unwrap();
    assert!(stop.success());
    // The program itself goes on and on, as nobody is there to end it.
    let took = taken_over(&members, holder, at);
    assert!(took <= HELD_AGAIN, "{took} ms");
    let (now, _) = members.wait_for_holder("export", at);
    let _new = Held::start(&members, now, &receiver, true);
    let newer = works(&receiver, 5, fence);
    assert!(newer > fence);
    let until = Instant::now()
        + Duration::from_millis(3 * LEASE)
            .saturating_sub(Duration::from_millis(boottime_ms() - at));
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    members.send_signal(holder, "-CONT");
    let go = Command::new("kill")
        .args(["-CONT", &old.0.id().to_string()])
        .status()
        .unwrap();
    assert!(go.success());
    // Its own program has ended at the receiver's no.
    assert!(matches!(old.code(), Some(1 | 76)));
    members.wait_until("the stalled one says so", |members| {
        members.log_contains(holder, "stopped for").then_some(())
    });
    let all = receiver.received_work();
    assert!(
        all.iter().any(|work| !work.taken && work.fence == fence),
        "the old one was turned away"
    );
    sound(&members, &all);
}

/// The checker and the receiver's order find what is planted.
#[test]
fn fencing_taken_off_is_found_and_so_is_a_holder_that_goes_on() {
    let receiver = Receiver::start(([127, 0, 0, 1], 0).into()).unwrap();
    receiver.disable_fencing();
    for fence in [3, 8, 3] {
        let mut peer = violetwind_standins::LineConnection::connect(receiver.addr);
        peer.send_line(&format!("WORK export {fence} x"));
        assert_eq!(peer.read_line(), "TAKEN");
    }
    let broken = duty_history::find_duty_violations(&[], &receiver.received_work());
    assert!(
        broken.len() == 1 && broken[0].starts_with("Fencing"),
        "{broken:?}"
    );
    let record = |mono_ms, node: &str, fence, what| DutyEvent {
        mono_ms,
        node: node.into(),
        duty: "export".into(),
        fence,
        kind: what,
    };
    let records = [
        record(10, "a", 1, DutyEventKind::Gained),
        record(30, "b", 2, DutyEventKind::Gained),
        record(40, "a", 1, DutyEventKind::Lost),
    ];
    let broken = duty_history::find_duty_violations(&records, &[]);
    assert!(
        broken.len() == 1 && broken[0].starts_with("One Holder"),
        "{broken:?}"
    );
    let records = [
        record(10, "a", 4, DutyEventKind::Gained),
        record(20, "a", 4, DutyEventKind::Lost),
        record(30, "b", 4, DutyEventKind::Gained),
    ];
    assert!(duty_history::find_duty_violations(&records, &[])[0].starts_with("Fencing"));
}

#[test]
fn cut_off_from_all_from_the_leader_only_and_one_way_only() {
    let (members, mut holder) = held(3, 2);
    for way in 0..4 {
        let rest: Vec<usize> = (0..5).filter(|at| *at != holder).collect();
        let leads = leader(&members);
        let at = boottime_ms();
        match way {
            0 => members.set_links_between(&[holder], &rest, LinkMode::Blackhole),
            1 => rest
                .iter()
                .for_each(|to| members.set_link(holder, *to, LinkMode::Stall)),
            2 => rest
                .iter()
                .for_each(|from| members.set_link(*from, holder, LinkMode::Blackhole)),
            _ => members.set_links_between(&[holder], &[leads], LinkMode::Reset),
        }
        // Cut off from the leader alone a voter makes another lead, or a client finds no way: either will do.
        let kept = way == 3;
        if !kept {
            let took = taken_over(&members, holder, at);
            assert!(took <= 2 * HELD_AGAIN, "way {way}: {took} ms");
            members.wait_until("it says so", |members| {
                let lost = duty_history::reconstruct_holdings(&members.duty_events());
                let own = lost
                    .iter()
                    .rfind(|holding| holding.node == node_name(holder))?;
                (own.until != u64::MAX).then_some(())
            });
        }
        members.heal_links();
        holder = members.wait_for_holder("export", 0).0;
        members.wait_until("all are back", |members| {
            let view = members
                .fetch_view(holder)
                .filter(|view| view["majority"] == true)?;
            (count_live_members(&view) == Some(5)).then_some(())
        });
        sound(&members, &[]);
    }
}

#[test]
fn the_smaller_half_of_five_holds_nothing_and_the_larger_goes_on() {
    let (members, holder) = held(5, 0);
    let small = [holder, (holder + 1) % 5];
    let large: Vec<usize> = (0..5).filter(|at| !small.contains(at)).collect();
    let at = boottime_ms();
    members.set_links_between(&small, &large, LinkMode::Reset);
    let took = taken_over(&members, holder, at);
    assert!(took <= 2 * HELD_AGAIN, "{took} ms");
    let view = members.wait_until("its view", |members| members.fetch_view(holder));
    assert!(
        view["majority"] == false && view["why"].is_string(),
        "{view}"
    );
    // And with no majority anywhere nobody holds.
    members.set_links_between(&large[..1], &large[1..], LinkMode::Reset);
    members.wait_until("nobody holds", |members| {
        let holdings = duty_history::reconstruct_holdings(&members.duty_events());
        holdings
            .iter()
            .all(|holding| holding.until != u64::MAX)
            .then_some(())
    });
    members.heal_links();
    members.wait_for_holder("export", 0);
    sound(&members, &[]);
}

#[test]
fn a_link_that_flaps_makes_no_storm_of_elections() {
    let (members, _) = held(3, 0);
    let leads = leader(&members);
    let other = (leads + 1) % 3;
    let term = members.fetch_view(leads).unwrap()["term"].as_u64().unwrap();
    for turn in 0..25 {
        match turn % 2 {
            0 => members.set_links_between(&[leads], &[other], LinkMode::Reset),
            _ => members.heal_links(),
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    members.heal_links();
    let view = members.wait_until("a view", |members| members.fetch_view(leads));
    let now = view["term"].as_u64().unwrap();
    assert!(now <= term + 1, "term {term}, then {now}");
    sound(&members, &[]);
}

#[test]
fn all_killed_at_once_and_a_rolling_restart_keep_numbers_and_drop_nothing() {
    let (mut members, _) = held(3, 1);
    for _ in 0..2 {
        let at = boottime_ms();
        (0..4).for_each(|at| members.kill_member(at));
        (0..4).for_each(|at| members.start_member(at));
        members.wait_for_holder("export", at);
    }
    sound(&members, &[]);
    members.wait_until("all are live", |members| {
        let view = members.fetch_view(0)?;
        (count_live_members(&view) == Some(4)).then_some(())
    });
    let begun = boottime_ms();
    for at in 0..4 {
        assert!(members.terminate_member(at).unwrap().success());
        members.start_member(at);
        members.wait_until("it is live again", |members| {
            let view = members.fetch_view(at)?;
            let own = view["members"]
                .as_array()?
                .iter()
                .find(|member| member["node"] == node_name(at).as_str())?
                .clone();
            (own["state"] == "live").then_some(())
        });
    }
    members.wait_for_holder("export", 0);
    let free =
        duty_history::longest_unheld_ms(&members.duty_events(), "export", begun, boottime_ms());
    assert!(free <= 300 + SLACK, "{free} ms");
    sound(&members, &[]);
}

#[test]
fn directories_emptied_older_altered_and_full() {
    let (mut members, holder) = held(3, 0);
    let victim = (holder + 1) % 3;
    // An older copy of itself: it is put aside, and a stranger until it is let in.
    let copy = members.dir().join("copy");
    members.kill_member(victim);
    copy_dir(&members.fleet_dir(victim), &copy);
    members.start_member(victim);
    let moved = |members: &FleetHarness| {
        // One that is refused, as its heir is not ready yet, leaves nothing behind that is newer.
        let at = members.wait_until("handed on", |members| {
            let to = node_name((members.wait_for_holder("export", 0).0 + 1) % 3);
            let at = boottime_ms();
            let said = members.call_member(holder, &format!("FLEET HAND-ON export {to}"));
            (said.as_deref() == Some("200 done")).then_some(at)
        });
        members.wait_for_holder("export", at);
    };
    members.wait_until("it is back", |members| {
        let view = members.fetch_view(victim)?;
        (count_live_members(&view) == Some(3)).then_some(())
    });
    (0..3).for_each(|_| moved(&members));
    // The other two are a majority: what the victim has not got itself makes its copy no older.
    members.wait_until("the victim has all of it", |members| {
        let commit = |at| members.fetch_view(at)?["commit"].as_u64();
        (commit(victim)? >= commit(holder)?).then_some(())
    });
    members.kill_member(victim);
    std::fs::remove_dir_all(members.fleet_dir(victim)).unwrap();
    copy_dir(&copy, &members.fleet_dir(victim));
    members.start_member(victim);
    members.wait_until("it is found to be older", |members| {
        members.log_contains(victim, "older copy").then_some(())
    });
    members.wait_until("it is a stranger", |members| {
        let view = members.fetch_view(holder)?;
        let own = view["members"]
            .as_array()?
            .iter()
            .find(|member| member["node"] == node_name(victim).as_str())?
            .clone();
        (own["state"] == "stranger").then_some(())
    });
    let at = members.management_addr(holder).to_string();
    let let_in = Command::new(env!("CARGO_BIN_EXE_violetwind"))
        .args(["fleet", "let-in", &node_name(victim), "--at", &at])
        .status();
    assert!(let_in.unwrap().success());
    let view = members.fetch_view(holder).unwrap();
    assert!(
        view["members"]
            .as_array()
            .unwrap()
            .iter()
            .all(|member| member["votes"] == true),
        "{view}"
    );
    // An altered byte: refused with file and place, and the proxy serves on.
    members.kill_member(victim);
    let log = std::fs::read_dir(members.fleet_dir(victim)).unwrap();
    let log = log
        .map(|entry| entry.unwrap().path())
        .find(|path| path.to_string_lossy().contains("log."))
        .unwrap();
    let mut bytes = std::fs::read(&log).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    std::fs::write(&log, bytes).unwrap();
    members.start_member(victim);
    members.wait_until("it is refused", |members| {
        (members.log_contains(victim, "byte ")
            && members.log_contains(victim, "nothing is guessed"))
        .then_some(())
    });
    members.wait_until("it serves", |members| {
        (members.call_member(victim, "HEALTH")?.starts_with("200 ")).then_some(())
    });
    assert!(
        members
            .call_member(victim, "FLEET")
            .unwrap()
            .starts_with("400 ")
    );
    // Emptied: a stranger again.
    members.kill_member(victim);
    std::fs::remove_dir_all(members.fleet_dir(victim)).unwrap();
    members.start_member(victim);
    members.wait_until("it says that it is a stranger", |members| {
        members
            .log_contains(victim, "another directory under this name")
            .then_some(())
    });
    sound(&members, &[]);
}

/// A voter without room answers for nothing and goes on once there is some; the others do not wait, and clients
/// notice nothing at all.
#[test]
fn a_voter_without_room_holds_up_neither_the_fleet_nor_its_clients() {
    let (mut members, holder) = held(3, 0);
    let full = (holder + 1) % 3;
    members.terminate_member(full);
    members.start_member_with_file_limit(full, 8);
    members.wait_until("it is back", |members| {
        let view = members.fetch_view(holder)?;
        (count_live_members(&view) == Some(3)).then_some(())
    });
    let mut client = violetwind_standins::LineConnection::connect(members.client_addr(full));
    client.send_line("OPEN 51c3a9be00d24f17 7f3a9c21e0b4d655 c=watch,d=2000");
    let (_, mut conn) = members.server.next_open();
    conn.send_line("UP 77aa");
    assert_eq!(client.read_line(), "UP 77aa");
    for turn in 0..60 {
        if members.log_contains(full, "no room") {
            break;
        }
        let to = node_name([holder, (holder + 2) % 3][turn % 2]);
        members.call_member(holder, &format!("FLEET HAND-ON export {to}"));
    }
    members.wait_until("it says so", |members| {
        members.log_contains(full, "no room").then_some(())
    });
    // Commits go on, and so does the connection.
    for to in [holder, (holder + 2) % 3] {
        members.wait_until("it is handed on", |members| {
            members.call_member(holder, &format!("FLEET HAND-ON export {}", node_name(to)))?;
            (members.duty_holder(holder, "export") == Some(to)).then_some(())
        });
    }
    conn.send_line("line 1");
    assert_eq!(client.read_line(), "line 1");
    client.send_line("line 2");
    assert_eq!(conn.read_line(), "line 2");
    let pid = members.pid(full).unwrap().to_string();
    let room = Command::new("prlimit")
        .args(["--pid", &pid, "--fsize=unlimited:unlimited"])
        .status();
    assert!(room.unwrap().success());
    members.wait_until("it goes on", |members| {
        members
            .log_contains(full, "takes records again")
            .then_some(())
    });
    sound(&members, &[]);
}

fn copy_dir(from: &std::path::Path, to: &std::path::Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}

/// Bad peers keep nobody waiting: neither the fleet, nor the proxy's own answers.
#[test]
fn peers_that_lie_stall_and_trickle_cost_their_own_link_only() {
    use std::io::{Read, Write};
    let (members, holder) = held(3, 0);
    let at = members.peer_addr(holder);
    let connect = || std::net::TcpStream::connect(at).unwrap();
    let mut huge = connect();
    huge.write_all(&[0xff, 0xff, 0xff, 0xff, 1, 2, 3]).unwrap();
    let mut other = connect();
    let mut frame = b"\0\0\0\0violetwind fleet\x09hello".to_vec();
    let crc = crc32fast::hash(&frame[4..]).to_le_bytes();
    frame[..4].copy_from_slice(&crc);
    other
        .write_all(&(frame.len() as u32).to_be_bytes())
        .unwrap();
    other.write_all(&frame).unwrap();
    let mut said = Vec::new();
    other.read_to_end(&mut said).unwrap();
    let said = String::from_utf8_lossy(&said).into_owned();
    assert!(said.contains("version 9"), "{said}");
    // A 4 GiB length is answered with the end of the link.
    let mut rest = Vec::new();
    let _ = huge.read_to_end(&mut rest);
    // Silence, and more of it than there are places.
    let silent: Vec<_> = (0..100).map(|_| connect()).collect();
    let mut slow = connect();
    let begun = Instant::now();
    for byte in [0u8, 0, 0, 40, 1, 2] {
        // Cut by the member's own limit; the answers of operators are quick all the while.
        let _ = slow.write_all(&[byte]);
        let asked = Instant::now();
        assert!(
            members
                .call_member(holder, "HEALTH")
                .unwrap()
                .starts_with("200 ")
        );
        assert!(asked.elapsed() < Duration::from_secs(1));
        std::thread::sleep(Duration::from_millis(250));
    }
    slow.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert!(
        matches!(slow.read(&mut [0; 8]), Ok(0) | Err(_)),
        "cut after {:?}",
        begun.elapsed()
    );
    drop(silent);
    members.wait_until("the fleet is whole", |members| {
        let view = members.fetch_view(holder)?;
        (count_live_members(&view) == Some(3)).then_some(())
    });
    // It was held by the same one all the while.
    assert_eq!(members.wait_for_holder("export", 0).0, holder);
    sound(&members, &[]);
}

#[test]
fn the_command_line_tells_apart_what_happens() {
    let (members, holder) = held(3, 1);
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
    let (at, other) = (
        members.management_addr(holder).to_string(),
        members.management_addr((holder + 1) % 4).to_string(),
    );
    let (code, table) = run(&["fleet", "status", "--at", &at]);
    assert_eq!(code, Some(0));
    assert!(
        table.contains("DUTY") && table.contains("export") && table.contains(&node_name(holder)),
        "{table}"
    );
    let (code, json) = run(&["fleet", "status", "--at", &other, "--json"]);
    assert!(code == Some(0) && json.starts_with("{\"node\""), "{json}");
    let hold =
        |at: &str, script: &str| run(&["hold", "export", "--at", at, "--", "sh", "-c", script]);
    assert_eq!(hold(&at, "exit 7"), (Some(7), String::new()));
    let (code, fence) = hold(&at, "echo $VIOLETWIND_FENCE");
    assert!(code == Some(0) && fence.trim().parse::<u64>().is_ok_and(|fence| fence > 0));
    assert_eq!(hold(&other, "exit 0").0, Some(75));
    assert_eq!(hold("127.0.0.1:1", "exit 0").0, Some(69));
    assert_eq!(
        run(&["hold", "export", "--at", &at, "--", "/no/such/program"]).0,
        Some(71)
    );
    // One program at a time; and one that loses its duty is ended, though it does not listen to SIGTERM.
    let mut deaf = Command::new(env!("CARGO_BIN_EXE_violetwind"))
        .args([
            "hold",
            "export",
            "--at",
            &at,
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
    let mut up = [0; 3];
    std::io::Read::read_exact(deaf.stdout.as_mut().unwrap(), &mut up).unwrap();
    assert_eq!(hold(&at, "exit 0").0, Some(75));
    let begun = boottime_ms();
    assert_eq!(
        members.call_member(holder, "FLEET HAND-ON export").unwrap(),
        "200 done"
    );
    assert_eq!(deaf.wait().unwrap().code(), Some(76));
    members.wait_for_holder("export", begun);
    sound(&members, &[]);
}

/// Two processes of one proxy are one member; the one that serves takes part.
#[test]
fn an_upgrade_hands_the_duty_on_before_the_old_process_ends() {
    let (mut members, holder) = held(3, 0);
    let at = boottime_ms();
    let mut next = members.start_successor(holder);
    members.wait_until("the successor serves", |members| {
        members
            .call_member(holder, "HEALTH")
            .filter(|said| said.contains("successor"))
            .map(|_| ())
    });
    let took = taken_over(&members, holder, at);
    assert!(took < 5000, "{took} ms");
    assert!(members.terminate_member(holder).unwrap().success());
    members.adopt_process(holder, &mut next);
    members.wait_until("the successor is a member", |members| {
        let view = members.fetch_view(holder)?;
        let own = view["members"]
            .as_array()?
            .iter()
            .find(|member| member["node"] == node_name(holder).as_str())?
            .clone();
        (own["state"] == "live" && own["votes"] == true).then_some(())
    });
    sound(&members, &[]);
}

#[test]
fn without_the_section_there_is_no_fleet() {
    use violetwind_standins::LineConnection;
    let mut spec = spec(1, 0);
    spec.duties.clear();
    let members = FleetHarness::start(spec);
    members.wait_until("it serves", |members| members.fetch_view(0));
    let threads = |pid: u32| {
        std::fs::read_dir(format!("/proc/{pid}/task"))
            .unwrap()
            .count()
    };
    assert!(threads(members.pid(0).unwrap()) >= 2);
    // The same program without an operator's file.
    let plain = members.start_standalone_process(0);
    let said = members.wait_until("it serves too", |_| {
        let mut caller = std::net::TcpStream::connect(plain.management_addr)
            .ok()
            .map(LineConnection::new)?;
        caller.send_line("HEALTH");
        caller
            .try_read_line()
            .ok()
            .filter(|said| said.starts_with("200 "))
    });
    assert!(said.contains("serving"));
    let mut caller = LineConnection::connect(plain.management_addr);
    caller.send_line("FLEET");
    assert!(caller.read_line().starts_with("400 unknown call"));
    assert_eq!(threads(plain.child.id()), 1);
}

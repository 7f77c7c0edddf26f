//! Orders for work on machines over several real processes with clients, staff, and faults between them; the books are
//! kept outside and merged by the machine's clock.

use std::process::Command;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use violetwind_standins::members::{Members, Spec, live, name};
use violetwind_standins::relay::Way;
use violetwind_standins::shift::{
    Clients, Emptied, Staff, broken, conductor, desks, doors, in_place, orders, outs,
};
use violetwind_standins::worker::Worker;
use violetwind_standins::{Peer, mono_ms};

const MACHINES: usize = 6;

fn spec(voters: usize, others: usize, lines: &str) -> Spec {
    Spec {
        program: env!("CARGO_BIN_EXE_violetwind").into(),
        voters,
        others,
        lease_ms: 1000,
        election_ms: 200,
        duties: Vec::new(),
        cold_s: 0.3,
        fleet_lines: String::new(),
        lines: format!(
            "[fleet.work]\nmachine_until = \"/\"\nfile = \"FILE\"\n{lines}\n\
             [[fleet.work.machine]]\nname = \"s-1\"\nservers = [\"s-1\"]\n"
        ),
    }
}

/// A fleet whose members have a file of their own for what is out, and machines of one server each in three zones.
struct Night {
    members: Members,
    workers: Vec<Worker>,
}

impl Night {
    fn start(voters: usize, others: usize, lines: &str) -> Self {
        let members = Members::start(spec(voters, others, lines));
        // The server that comes with the members takes nobody.
        let addr = members.server.addr.to_string();
        let mut row = violetwind_standins::target("s-1", &addr, "draining");
        row["az"] = json!("z");
        members.list(row);
        let workers: Vec<Worker> = (0..MACHINES)
            .map(|at| Worker::start(&format!("m-{at}/s"), 200).unwrap())
            .collect();
        let night = Self { members, workers };
        for at in 0..MACHINES {
            night.list(at);
        }
        night.members.until("the fleet is whole", |members| {
            let view = members.view(0).filter(|view| view["majority"] == true)?;
            (live(&view) == Some(members.count())).then_some(())
        });
        // All machines are known, and everybody has to confirm.
        let count = night.members.count();
        night.until("everybody serves", |night| {
            let view = night.view()?;
            (view["serving"].as_array()?.len() == count).then_some(())
        });
        night
    }

    fn list(&self, at: usize) {
        let worker = &self.workers[at];
        let mut row = violetwind_standins::target(&worker.uid, &worker.addr.to_string(), "ready");
        row["az"] = json!(["a", "b", "c"][at % 3]);
        self.members.list(row);
    }

    fn until<T>(&self, what: &str, mut so: impl FnMut(&Self) -> Option<T>) -> T {
        let begun = Instant::now();
        loop {
            if let Some(found) = so(self) {
                return found;
            }
            assert!(
                begun.elapsed() < Duration::from_secs(40),
                "{what}: never\n{:?}\n{}",
                self.view(),
                self.members.log()
            );
            sleep(Duration::from_millis(10));
        }
    }

    /// By the first member that has a leader's word.
    fn view(&self) -> Option<Value> {
        desks(&self.members).into_iter().find_map(orders)
    }

    fn plan(&self, at: usize, more: &[&str]) {
        let desk = self.members.management(at).to_string();
        let last = format!("m-0..m-{}", MACHINES - 1);
        self.until("it is planned", |_| {
            let said = Command::new(env!("CARGO_BIN_EXE_violetwind"))
                .args(["work", "plan", "kernel", "--machines", &last, "--at", &desk])
                .args(["--floor", "0.5", "--leave", "20", "--back", "20"])
                .args(more)
                .output()
                .unwrap();
            let unknown = String::from_utf8_lossy(&said.stderr).contains("no such machine");
            assert!(said.status.success() || unknown, "{said:?}");
            said.status.success().then_some(())
        });
    }

    fn ended(&self) -> Option<Value> {
        let view = self.view()?;
        (view["orders"].as_array()?.is_empty() && !view["ended"].as_array()?.is_empty())
            .then_some(view)
    }

    fn sound(&self, emptied: &[Emptied], most: usize) {
        let outs = outs(&self.members);
        let broken = broken(&outs, emptied, &self.workers, most);
        assert_eq!(broken, Vec::<String>::new(), "{}", self.members.log());
    }
}

#[test]
fn all_machines_are_worked_on_through_kills_stalls_and_cuts_and_no_client_is_lost() {
    let mut night = Night::start(3, 2, "");
    let clients = Clients::start(doors(&night.members), 30);
    let staff = Staff::start(desks(&night.members), Duration::from_millis(50));
    night.plan(4, &["--most", "2"]);
    let (mut faults, mut before, mut struck_at) = (0, None, None);
    let begun = Instant::now();
    // Whoever conducts is struck again and again, by turns, in the middle of whatever it does.
    let view = loop {
        if let Some(view) = night.ended() {
            break view;
        }
        assert!(
            begun.elapsed() < Duration::from_secs(20),
            "{}
{:?}",
            night.members.log(),
            night.view()
        );
        let now = night
            .view()
            .map(|view| view["orders"][0]["machines"].clone());
        let stepped = now.is_some() && now != struck_at && before != now;
        before = now.clone();
        if !stepped || faults == 8 {
            sleep(Duration::from_millis(10));
            continue;
        }
        struck_at = now;
        let Some(at) = night
            .view()
            .and_then(|view| conductor(&night.members, &view))
        else {
            sleep(Duration::from_millis(20));
            continue;
        };
        let rest: Vec<usize> = (0..5).filter(|other| *other != at).collect();
        match faults % 4 {
            0 => {
                clients.away(at, true);
                night.members.kill(at);
                sleep(Duration::from_millis(100));
                night.members.run(at);
            }
            1 => {
                // For longer than its lease, and on with a step in hand.
                clients.away(at, true);
                night.members.signal(at, "-STOP");
                sleep(Duration::from_millis(1500));
                night.members.signal(at, "-CONT");
            }
            2 => {
                // It serves on, and has to confirm what it has not heard.
                night.members.part(&[at], &rest, Way::Cut);
                sleep(Duration::from_millis(1500));
                night.members.heal();
            }
            _ => {
                night
                    .members
                    .part(&[at], &rest, Way::Delay(Duration::from_millis(30)));
                sleep(Duration::from_millis(400));
                night.members.heal();
            }
        }
        faults += 1;
        sleep(Duration::from_millis(700));
        night.until("it serves again", |night| {
            night
                .members
                .call(at, "HEALTH")?
                .starts_with("200 ")
                .then_some(())
        });
        clients.away(at, false);
    };
    let took = begun.elapsed();
    let emptied = staff.end();
    let seen = clients.end();
    assert_eq!(view["ended"][0]["done"], MACHINES, "{view}");
    assert_eq!(view["out"], json!([]));
    assert_eq!(emptied.len(), MACHINES, "{emptied:?}");
    night.sound(&emptied, 2);
    let count = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
    println!(
        "{took:?}, {faults} faults, {} asked, {} moved, {} refused, {} failed, {} cut",
        count(&seen.asked),
        count(&seen.moved),
        count(&seen.refused),
        count(&seen.failed),
        count(&seen.cut)
    );
    assert_eq!(
        (count(&seen.lost), count(&seen.twice), count(&seen.cut)),
        (0, 0, 0)
    );
    assert!(faults >= 3 && count(&seen.moved) > 0);
}

//! Shows that a new build works beside an old one: on the same files, in one fleet, and as the successor of a process
//! with clients. All of it is on loopback, in directories of its own.
//!
//! `cargo run --release -p violetwind --example mixed_builds -- --old PROGRAM --new PROGRAM`
//!
//! One line a check, `ok NAME` or `FAILED NAME: why`; the exit code is 1 after any failure. What the processes logged
//! in a check that failed goes to standard error.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::panic::{self, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clap::Parser;
use serde_json::Value;
use violetwind_record::{End, Reader, Record};
use violetwind_standins::books;
use violetwind_standins::callers::{Callers, Wants};
use violetwind_standins::members::{Members, Spec, live, name};
use violetwind_standins::shift::{Clients, Night, conductor, doors, in_place};
use violetwind_standins::{End as PeerEnd, Peer};

const DUTY: &str = "export";
const BUDGET: &str = "tenant";
/// The units of the budget, of which each of three members has a floor of 2.
const WHOLE: usize = 60;
const MACHINES: usize = 6;
/// The member whose process is killed where the others are told to end.
const KILLED: usize = 2;
/// What an operator keeps out; it is in no order.
const BANNED: &str = "m-5/s";

/// Every member records its requests, takes part in one duty, and has one budget.
const LINES: &str = "[record]\nfile = \"FILE.requests\"\n\
    [[fleet.duty]]\nname = \"export\"\n\
    [[fleet.budget]]\nname = \"tenant\"\nkind = \"held\"\nwhole = 60\nfloor = 2\n";

/// Two builds of the program.
#[derive(Debug, Parser)]
struct Builds {
    #[arg(long)]
    old: PathBuf,
    #[arg(long)]
    new: PathBuf,
}

fn main() -> ExitCode {
    let Builds { old, new } = Builds::parse();
    // What a check says is printed once, below.
    panic::set_hook(Box::new(|_| {}));
    let checks: [(&str, &dyn Fn()); 5] = [
        ("new build on the old one's files", &|| files(&old, &new)),
        ("old build on the new one's files", &|| files(&new, &old)),
        ("one fleet of both builds", &|| fleet(&old, &new)),
        ("clients from old to new to old", &|| clients(&old, &new)),
        ("clients from new to old to new", &|| clients(&new, &old)),
    ];
    let passed: Vec<bool> = checks.map(|(name, check)| passes(name, check)).into();
    match passed.iter().all(|passed| *passed) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Runs a check and prints its line.
fn passes(name: &str, check: &dyn Fn()) -> bool {
    let Err(panic) = panic::catch_unwind(AssertUnwindSafe(check)) else {
        println!("ok {name}");
        return true;
    };
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied());
    let text = text.unwrap_or("no reason told");
    println!("FAILED {name}: {}", text.lines().next().unwrap_or_default());
    eprintln!("{text}");
    false
}

/// Three voters, each with all that is kept on disk.
fn night(program: &Path) -> Night {
    Night::start(program.into(), (3, 0), MACHINES, LINES)
}

/// Waits until all members are heard of.
fn whole(night: &Night) {
    night.members.until("the fleet is whole", |members| {
        let all = (0..members.count()).all(|at| {
            let view = members.view(at).filter(|view| view["majority"] == true);
            view.and_then(|view| live(&view)) == Some(members.count())
        });
        all.then_some(())
    });
}

/// Who holds the duty, and its fencing number.
fn holding(night: &Night) -> (usize, u64) {
    night.members.until("the duty is held", |members| {
        let views = (0..members.count()).filter_map(|at| members.view(at));
        let view = views.into_iter().find(|view| view["majority"] == true)?;
        let duty = named(&view["duties"], DUTY)?;
        let holder = (0..members.count()).find(|at| duty["holder"] == name(*at).as_str())?;
        Some((holder, duty["fence"].as_u64()?))
    })
}

fn named(list: &Value, name: &str) -> Option<Value> {
    let mut entries = list.as_array()?.iter();
    entries.find(|entry| entry["name"] == name).cloned()
}

/// Presses all members, and waits until more is in use than their floors.
fn press(night: &Night) -> Callers {
    let wants = Wants {
        each: 24,
        held: BUDGET.into(),
        hold: Duration::from_millis(60),
        greedy: false,
        rate: None,
    };
    let callers = Callers::start(&night.members, &wants);
    (0..night.members.count()).for_each(|at| callers.press(at, 24));
    night.until("shares are in use", |_| {
        (callers.books.lock().unwrap().in_use() > 18).then_some(())
    });
    callers
}

/// Ends the callers, who have never had more than the whole.
fn never_too_many(callers: Callers) {
    let books = callers.end();
    assert!(books.most <= WHOLE, "{} of {WHOLE} units", books.most);
}

/// At no time two holders, and numbers that only rise.
fn one_holder(night: &Night) {
    let broken = books::broken(&night.members.records(), &[]);
    assert!(broken.is_empty(), "{broken:?}\n{}", night.members.log());
}

/// What a fleet has on disk, as far as it is seen from outside.
#[derive(Debug)]
struct Kept {
    fence: u64,
    empty: Vec<String>,
    budget: (Value, Value),
    recordings: Vec<Vec<Record>>,
    directories: Vec<BTreeSet<PathBuf>>,
}

/// One build makes state and ends; the other starts on the same files and misses nothing.
fn files(first: &Path, second: &Path) {
    let mut night = night(first);
    whole(&night);
    make_state(&night);
    let fence = holding(&night).1;
    let empty = in_place(&night.view().expect("orders"), "empty");
    let budget = budget(&night);
    // A process that is told to end takes its file of what is out away, one that is killed leaves it.
    (0..KILLED).for_each(|at| ends(&mut night, at));
    night.members.kill(KILLED);
    assert_eq!(closed(&night, KILLED).as_ref(), Some(&empty));
    let kept = Kept {
        fence,
        empty,
        budget,
        recordings: (0..3).map(|at| recording(&night, at, "requests")).collect(),
        directories: (0..3).map(|at| directories(&night, at)).collect(),
    };
    assert!(kept.recordings.iter().all(|records| records.len() > 1));
    night.members.set_program(second.into());
    (0..3).for_each(|at| night.members.run(at));
    whole(&night);
    all_is_there(&night, &kept);
    goes_on(&night);
}

/// A machine out by order, a server out by an operator, units taken, and requests recorded; the duty is held by itself.
fn make_state(night: &Night) {
    night.plan(0, "kernel", "m-1..m-2", &["--floor", "0.5", "--most", "1"]);
    night.until("a machine is empty", |night| {
        in_place(&night.view()?, "empty").pop()
    });
    for at in 0..3 {
        night.say(at, &format!("OFFLINE {BANNED}"));
    }
    let clients = Clients::start(doors(&night.members), 6);
    never_too_many(press(night));
    night.until("each proxy has served", |_| {
        let up = clients.seen.up.load(Ordering::Relaxed);
        (up >= 6).then_some(())
    });
    clients.end();
    night.until("each proxy has recorded", |night| {
        let begun = |at| own_file(night, at, ".requests").exists();
        (0..3).all(begun).then_some(())
    });
}

fn ends(night: &mut Night, at: usize) {
    let status = night.members.end(at).expect("it ran");
    assert!(status.success(), "{} ends with {status}", name(at));
}

/// The whole and the version that are in force.
fn budget(night: &Night) -> (Value, Value) {
    night.members.until("the budget is told", |members| {
        let budget = named(&members.view(0)?["budgets"], BUDGET)?;
        Some((budget["whole"].clone(), budget["version"].clone()))
    })
}

fn own_file(night: &Night, at: usize, extension: &str) -> PathBuf {
    let file = format!("work.out{extension}");
    night.members.dir().join(name(at)).join(file)
}

/// All records of a recording, which has to be whole.
fn recording(night: &Night, at: usize, extension: &str) -> Vec<Record> {
    let path = own_file(night, at, &format!(".{extension}"));
    let file = File::open(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let mut reader = Reader::new(file);
    let records = reader.by_ref().collect();
    assert_eq!(reader.end(), Some(End::Whole), "{}", path.display());
    records
}

/// Directories within that of a member's log: what is refused is put into one.
fn directories(night: &Night, at: usize) -> BTreeSet<PathBuf> {
    let entries = fs::read_dir(night.members.fleet_dir(at)).expect("the directory of a log");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    paths.filter(|path| path.is_dir()).collect()
}

/// The machines that a member's file calls closed, if there is one.
fn closed(night: &Night, at: usize) -> Option<Vec<String>> {
    let text = fs::read_to_string(own_file(night, at, "")).ok()?;
    let (_, body) = text.split_once('\n').expect("a line with a checksum");
    let belief: Value = serde_json::from_str(body).expect("JSON behind the first line");
    let places = belief["places"].as_object().expect("places of machines");
    let closed = places.iter().filter(|(_, place)| place["closed"] == true);
    Some(closed.map(|(machine, _)| machine.clone()).collect())
}

/// Nothing of what was kept is lost.
fn all_is_there(night: &Night, kept: &Kept) {
    let (_, fence) = holding(night);
    assert!(fence >= kept.fence, "number {fence} after {}", kept.fence);
    let view = night.until("the orders are told", Night::view);
    assert_eq!(in_place(&view, "empty"), kept.empty, "machines out");
    assert_eq!(budget(night), kept.budget, "the budget");
    let told = "machines are out, by the file of the last process";
    assert!(night.members.logged(KILLED, told), "no file was read");
    (0..3).for_each(|at| own_is_there(night, at, kept));
}

/// The same of what a member keeps for itself.
fn own_is_there(night: &Night, at: usize, kept: &Kept) {
    let member = name(at);
    night.until("its file names what is out", |night| {
        (closed(night, at)? == kept.empty).then_some(())
    });
    let again = night.members.call(at, &format!("OFFLINE {BANNED}"));
    let again = again.unwrap_or_default();
    assert!(again.contains("already"), "the ban at {member}: {again}");
    let directories = directories(night, at);
    assert_eq!(directories, kept.directories[at], "{member}'s log");
    // The new process may have begun its own recording.
    let earlier = &kept.recordings[at];
    let extensions = ["requests", "requests.1"];
    let begun = own_file(night, at, ".requests.1").exists();
    let records = recording(night, at, extensions[usize::from(begun)]);
    assert_eq!(&records, earlier, "{member}'s recording");
}

/// The build that found the state works with it.
fn goes_on(night: &Night) {
    never_too_many(press(night));
    // A machine that operators keep out counts as out, and the order allows one.
    for at in 0..3 {
        night.say(at, &format!("ONLINE {BANNED}"));
    }
    while let Some(machine) = night.until("the next one is empty", next_empty) {
        done(night, 0, &machine);
    }
    one_holder(night);
}

/// A machine that is empty; nobody once the order has ended.
fn next_empty(night: &Night) -> Option<Option<String>> {
    let ended = night.ended().map(|_| None);
    ended.or_else(|| in_place(&night.view()?, "empty").pop().map(Some))
}

/// Staff say at a proxy that the work on a machine is done; it comes back.
fn done(night: &Night, at: usize, machine: &str) {
    night.say(at, &format!("FLEET WORK DONE {machine}"));
    night.until("it is back", |night| {
        let view = night.view()?;
        let all = view["orders"].as_array()?;
        let place = all
            .iter()
            .find_map(|order| named(&order["machines"], machine));
        place
            .is_none_or(|place| place["phase"] == "done")
            .then_some(())
    });
}

/// A fleet of two old members and a new one, then of one old and two new ones.
fn fleet(old: &Path, new: &Path) {
    let mut night = night(old);
    whole(&night);
    change_build(&mut night, 2, new);
    let callers = press(&night);
    night.plan(0, "kernel", "m-1..m-4", &["--floor", "0.5", "--most", "1"]);
    duty_goes_round(&mut night, &callers, [(0, old), (2, new), (1, old)]);
    work_goes_on_under(&night, [2, 0]);
    (0..3).for_each(|at| callers.press(at, 0));
    change_build(&mut night, 1, new);
    (0..3).for_each(|at| callers.press(at, 24));
    duty_goes_round(&mut night, &callers, [(0, old), (1, new), (2, new)]);
    work_goes_on_under(&night, [1, 0]);
    let view = night.until("the order has ended", Night::ended);
    assert_eq!(view["ended"][0]["done"], 4, "{view}");
    never_too_many(callers);
    one_holder(&night);
    night.sound(&[], 1);
}

/// Ends a member, and starts another build on its files.
fn change_build(night: &mut Night, at: usize, program: &Path) {
    ends(night, at);
    night.members.set_program(program.into());
    night.members.run(at);
    whole(night);
}

/// Each in turn gets the duty from the one before and is killed while it holds it.
fn duty_goes_round(night: &mut Night, callers: &Callers, members: [(usize, &Path); 3]) {
    for (to, _) in members {
        hand_on(night, DUTY, to);
    }
    for (at, program) in members {
        hand_on(night, DUTY, at);
        let (_, fence) = holding(night);
        night.members.kill(at);
        // Its callers' connections end with it.
        callers.books.lock().unwrap().units.remove(&at);
        night.until("another holds the duty", |night| {
            let (holder, next) = holding(night);
            (holder != at && next > fence).then_some(())
        });
        night.members.set_program(program.into());
        night.members.run(at);
        whole(night);
    }
}

fn hand_on(night: &Night, duty: &str, to: usize) {
    night.say(0, &format!("FLEET HAND-ON {duty} {}", name(to)));
    night.until("it is handed on", |night| {
        let holder = night.members.holder(to, duty)?;
        (holder == to).then_some(())
    });
}

/// Each in turn conducts while a machine goes back and the next one leaves.
fn work_goes_on_under(night: &Night, conductors: [usize; 2]) {
    for at in conductors {
        let machine = night.until("a machine is empty", next_empty);
        hand_on(night, "work", at);
        let view = night.until("orders are told", Night::view);
        assert_eq!(conductor(&night.members, &view), Some(at), "{view}");
        done(night, at, &machine.expect("an order that goes on"));
    }
}

/// A client with the server's side of its connection.
type Pair = (Peer, Peer);

/// Clients live through two upgrades of their proxy, and are moved when it ends.
fn clients(first: &Path, second: &Path) {
    let mut members = Members::start(Spec {
        program: first.into(),
        voters: 3,
        others: 0,
        lease_ms: 1000,
        election_ms: 200,
        duties: vec![DUTY.into()],
        cold_s: 0.3,
        log_level: "info",
        fleet_lines: String::new(),
        lines: String::new(),
    });
    members.held(DUTY, 0);
    serves(&members);
    let mut pairs: Vec<Pair> = (0..5).map(|number| up(&members, number)).collect();
    pairs.iter_mut().for_each(talk);
    for program in [second, first] {
        upgrade(&mut members, program);
        pairs.iter_mut().for_each(talk);
        let from = pairs.len() as u64;
        pairs.extend((from..from + 5).map(|number| up(&members, number)));
        pairs.iter_mut().for_each(talk);
    }
    members.signal(0, "-TERM");
    for (client, _) in &mut pairs {
        assert_eq!(client.hear(), "MOVE");
        assert_eq!(client.end(), PeerEnd::Closed);
    }
    assert!(members.wait(0).expect("it ran").success());
}

fn serves(members: &Members) {
    members.until("it serves", |members| {
        members.call(0, "HEALTH")?.starts_with("200").then_some(())
    });
}

/// A connection that is up.
fn up(members: &Members, number: u64) -> Pair {
    let mut client = Peer::connect(members.addr(0));
    client.say(&format!(
        "OPEN {number:016x} 7f3a9c21e0b4d655 c=watch,d=2000"
    ));
    let (_, mut server) = members.server.opened();
    server.say("UP 77aa");
    assert_eq!(client.hear(), "UP 77aa");
    (client, server)
}

/// A line each way.
fn talk((client, server): &mut Pair) {
    client.say("SAY on");
    assert_eq!(server.hear(), "SAY on");
    server.say("OK on");
    assert_eq!(client.hear(), "OK on");
}

/// A successor of another build takes over from the first member's process, which ends.
fn upgrade(members: &mut Members, program: &Path) {
    members.set_program(program.into());
    let mut next = members.upgrade(0);
    members.until("the successor serves", |members| {
        members
            .call(0, "HEALTH")?
            .contains("successor")
            .then_some(())
    });
    assert!(members.end(0).expect("it ran").success());
    members.adopt(0, &mut next);
    serves(members);
    members.until("the successor is a member", |members| {
        let own = member(&members.view(0)?, &name(0))?;
        (own["state"] == "live" && own["votes"] == true).then_some(())
    });
}

fn member(view: &Value, node: &str) -> Option<Value> {
    let mut members = view["members"].as_array()?.iter();
    members.find(|member| member["node"] == node).cloned()
}

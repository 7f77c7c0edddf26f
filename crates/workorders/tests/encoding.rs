//! The encoded form of orders for work: what the fleet's log and its members' frames hold of them, and the file in
//! which a proxy keeps what is out.

#[path = "../../consensus/tests/encoding/fixture.rs"]
mod fixture;

use std::collections::BTreeMap;
use std::fmt::Debug;

use fixture::{check, check_text};
use serde::Serialize;
use serde::de::DeserializeOwned;
use violetwind_workorders::{
    Belief, Bounds, Change, Listed, Machine, Order, Orders, Phase, Place, Report, Server, Spans,
    Spare, Step, Why,
};

fn check_postcard<T: Debug + PartialEq + Serialize + DeserializeOwned>(
    file: &str,
    samples: &[T],
    name: impl Fn(&T) -> &'static str,
) {
    let encode = |sample: &T| postcard::to_stdvec(sample).unwrap();
    check(file, samples, name, encode, |bytes| {
        postcard::from_bytes(bytes).unwrap()
    });
}

/// Of as many names, in zones of their own; `first` has a proxy.
fn machines(names: &[&str]) -> BTreeMap<String, Machine> {
    let machine = |(at, name): (u64, &&str)| {
        let server = Server {
            name: format!("{name}.1"),
            kind: "cpu".into(),
            cell: 300 + at,
            room: 400 + at,
        };
        let machine = Machine {
            zone: format!("zone-{name}"),
            servers: vec![server],
            proxy: (at == 0).then(|| ("proxy-1".into(), true)),
        };
        (name.to_string(), machine)
    };
    (0..).zip(names).map(machine).collect()
}

fn order(name: &str, machines: &[&str], spare: Spare) -> Order {
    Order {
        name: name.into(),
        machines: machines.iter().map(|name| name.to_string()).collect(),
        bounds: Bounds {
            most: 11,
            zone_most: 12,
            floor: 13,
            spare,
        },
        spans: Spans {
            leave: 21,
            work: 22,
            back: 23,
        },
        not_before: 24,
        wait: true,
        paused: false,
        cancelled: false,
    }
}

fn step(step: Step, fence: Option<u64>) -> Change {
    Change::Step {
        order: 31,
        machine: "m1".into(),
        version: 32,
        step,
        fence,
    }
}

fn changes() -> Vec<Change> {
    let steps = [
        Step::Out,
        Step::Empty,
        Step::Worked,
        Step::Recall,
        Step::Back,
        Step::Fail(Why::NeverEmpty),
        Step::Fail(Why::NeverWorked),
        Step::Fail(Why::NeverBack),
        Step::Fail(Why::Staff),
        Step::Fail(Why::Opened),
    ];
    let paused = Order {
        wait: false,
        paused: true,
        ..order("paused", &["m2"], Spare::Machine)
    };
    let cancelled = Order {
        cancelled: true,
        ..order("cancelled", &["m3"], Spare::Zone)
    };
    let mut changes = vec![
        Change::Machines(machines(&["m1", "m2"])),
        Change::Plan(order("first", &["m1"], Spare::Nothing)),
        Change::Plan(paused),
        Change::Plan(cancelled),
        Change::Pause(33, true),
        Change::Cancel(34),
    ];
    changes.extend(steps.map(|each| step(each, Some(35))));
    changes.push(step(Step::Worked, None));
    changes
}

/// Names each variant: a new one needs a sample.
fn change_name(change: &Change) -> &'static str {
    match change {
        Change::Machines(_) => "machines",
        Change::Plan(order) => match order.bounds.spare {
            Spare::Nothing => "plan-spare-nothing",
            Spare::Machine => "plan-spare-machine",
            Spare::Zone => "plan-spare-zone",
        },
        Change::Pause(..) => "pause",
        Change::Cancel(_) => "cancel",
        Change::Step { step, .. } => match step {
            Step::Out => "out",
            Step::Empty => "empty",
            Step::Worked => "worked",
            Step::Recall => "recall",
            Step::Back => "back",
            Step::Fail(why) => why_name(why),
        },
    }
}

fn why_name(why: &Why) -> &'static str {
    match why {
        Why::NeverEmpty => "failed-never-empty",
        Why::NeverWorked => "failed-never-worked",
        Why::NeverBack => "failed-never-back",
        Why::Staff => "failed-staff",
        Why::Opened => "failed-opened",
    }
}

#[test]
fn changes_of_orders() {
    check_postcard("changes.hex", &changes(), change_name);
}

fn phase_name(place: &Place) -> &'static str {
    match &place.phase {
        Phase::Waiting => "waiting",
        Phase::Leaving => "leaving",
        Phase::Empty => "empty",
        Phase::Returning { .. } => "returning",
        Phase::Done => "done",
        Phase::Failed(why) => why_name(why),
        Phase::Spared => "spared",
    }
}

#[test]
fn places_of_machines() {
    let phases = [
        Phase::Waiting,
        Phase::Leaving,
        Phase::Empty,
        Phase::Returning { worked: true },
        Phase::Returning { worked: false },
        Phase::Done,
        Phase::Failed(Why::NeverEmpty),
        Phase::Failed(Why::NeverWorked),
        Phase::Failed(Why::NeverBack),
        Phase::Failed(Why::Staff),
        Phase::Failed(Why::Opened),
        Phase::Spared,
    ];
    let place = |phase| Place {
        phase,
        version: 301,
        emptied: 302,
    };
    check_postcard("places.hex", &phases.map(place), phase_name);
}

#[test]
fn reports() {
    let closed = Report {
        version: 301,
        clients: 302,
        closed: true,
        warm: false,
    };
    let warm = Report {
        closed: false,
        warm: true,
        ..closed
    };
    check_postcard("reports.hex", &[closed, warm], |_| "report");
}

/// Orders with one machine out, an order that has ended, and a conductor's number.
fn orders() -> Orders {
    let mut orders = Orders::default();
    let names = ["m1", "m2", "m3", "m4", "m5", "m6"];
    let plan = |name, machines: &[&str]| {
        Change::Plan(Order {
            bounds: Bounds {
                most: 1,
                zone_most: 2,
                floor: 3,
                spare: Spare::Nothing,
            },
            ..order(name, machines, Spare::Nothing)
        })
    };
    let changes = [
        Change::Machines(machines(&names)),
        plan("ended", &["m6"]),
        Change::Cancel(2),
        plan("second", &["m2", "m3"]),
    ];
    for change in changes {
        orders
            .apply(change.clone())
            .expect("a change that may be made");
    }
    let order = *orders.orders().keys().next_back().unwrap();
    let version = orders.orders()[&order].1["m2"].version;
    let out = Change::Step {
        order,
        machine: "m2".into(),
        version,
        step: Step::Out,
        fence: Some(500),
    };
    orders.apply(out).expect("a machine that may go");
    orders
}

#[test]
fn all_orders() {
    assert!(!orders().ended().is_empty());
    assert_eq!(orders().out().len(), 1);
    check_postcard("orders.hex", &[orders()], |_| "orders");
}

#[test]
fn the_list_of_what_is_out() {
    let listed = Listed {
        version: 301,
        closed: true,
        machine: machines(&["m1"]).remove("m1").unwrap(),
    };
    check_postcard("listed.hex", &[listed, Listed::default()], |_| "listed");
}

/// A list with every field of it set, and operators' words of both kinds.
fn belief() -> Belief {
    let listed = |(at, (name, machine)): (u64, (String, Machine))| {
        let listed = Listed {
            version: 301 + at,
            closed: at == 0,
            machine,
        };
        (name, listed)
    };
    let machines = machines(&["m1", "m2"]).into_iter();
    let mut belief = Belief::default();
    belief.hear(500, (0..).zip(machines).map(listed).collect());
    belief.word("m1", Some(true));
    belief.word("m3", Some(false));
    belief
}

/// Without the line with its checksum, which the proxy puts before it.
#[test]
fn the_file_of_what_is_out() {
    let belief = belief();
    let json = serde_json::to_string_pretty(&belief).unwrap() + "\n";
    let recorded = check_text("belief.json", &json);
    assert_eq!(serde_json::from_str::<Belief>(&recorded).unwrap(), belief);
}

//! The encoding of work orders: in the fleet's log, in its members' frames, and in the file in which a proxy keeps the
//! availability of machines.

#[path = "../../consensus/tests/encoding/fixture.rs"]
mod fixture;

use std::collections::BTreeMap;
use std::fmt::Debug;

use fixture::{check, check_text};
use serde::Serialize;
use serde::de::DeserializeOwned;
use violetwind_workorders::{
    Bounds, FailureReason, FailureTolerance, ListedMachine, Machine, MachineAvailability,
    MachineProgress, MachineReport, Phase, PhaseTimeouts, Server, Step, WorkOrder, WorkOrderChange,
    WorkOrders,
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

/// One machine for each name, each in its own zone; the first one runs a proxy.
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

fn order(name: &str, machines: &[&str], failure_tolerance: FailureTolerance) -> WorkOrder {
    WorkOrder {
        name: name.into(),
        machines: machines.iter().map(|name| name.to_string()).collect(),
        bounds: Bounds {
            max_out: 11,
            max_out_per_zone: 12,
            min_capacity_permille: 13,
            failure_tolerance,
        },
        timeouts: PhaseTimeouts {
            drain_timeout: 21,
            work_timeout: 22,
            return_timeout: 23,
        },
        not_before: 24,
        waits_for_done: true,
        paused: false,
        cancelled: false,
    }
}

fn step(step: Step, fence: Option<u64>) -> WorkOrderChange {
    WorkOrderChange::Step {
        order: 31,
        machine: "m1".into(),
        version: 32,
        step,
        fence,
    }
}

fn changes() -> Vec<WorkOrderChange> {
    let steps = [
        Step::TakeOut,
        Step::MarkDrained,
        Step::CompleteWork,
        Step::Recall,
        Step::CompleteReturn,
        Step::Fail(FailureReason::NeverEmpty),
        Step::Fail(FailureReason::NeverWorked),
        Step::Fail(FailureReason::NeverBack),
        Step::Fail(FailureReason::Staff),
        Step::Fail(FailureReason::Opened),
    ];
    let paused = WorkOrder {
        waits_for_done: false,
        paused: true,
        ..order("paused", &["m2"], FailureTolerance::Machine)
    };
    let cancelled = WorkOrder {
        cancelled: true,
        ..order("cancelled", &["m3"], FailureTolerance::Zone)
    };
    let mut changes = vec![
        WorkOrderChange::SetMachines(machines(&["m1", "m2"])),
        WorkOrderChange::AddOrder(order("first", &["m1"], FailureTolerance::Nothing)),
        WorkOrderChange::AddOrder(paused),
        WorkOrderChange::AddOrder(cancelled),
        WorkOrderChange::SetPaused(33, true),
        WorkOrderChange::Cancel(34),
    ];
    changes.extend(steps.map(|each| step(each, Some(35))));
    changes.push(step(Step::CompleteWork, None));
    changes
}

/// Names each variant: a new one needs a sample.
fn change_name(change: &WorkOrderChange) -> &'static str {
    match change {
        WorkOrderChange::SetMachines(_) => "machines",
        WorkOrderChange::AddOrder(order) => match order.bounds.failure_tolerance {
            FailureTolerance::Nothing => "plan-spare-nothing",
            FailureTolerance::Machine => "plan-spare-machine",
            FailureTolerance::Zone => "plan-spare-zone",
        },
        WorkOrderChange::SetPaused(..) => "pause",
        WorkOrderChange::Cancel(_) => "cancel",
        WorkOrderChange::Step { step, .. } => match step {
            Step::TakeOut => "out",
            Step::MarkDrained => "empty",
            Step::CompleteWork => "worked",
            Step::Recall => "recall",
            Step::CompleteReturn => "back",
            Step::Fail(reason) => failure_name(reason),
        },
    }
}

fn failure_name(reason: &FailureReason) -> &'static str {
    match reason {
        FailureReason::NeverEmpty => "failed-never-empty",
        FailureReason::NeverWorked => "failed-never-worked",
        FailureReason::NeverBack => "failed-never-back",
        FailureReason::Staff => "failed-staff",
        FailureReason::Opened => "failed-opened",
    }
}

#[test]
fn work_order_changes() {
    check_postcard("changes.hex", &changes(), change_name);
}

fn phase_name(progress: &MachineProgress) -> &'static str {
    match &progress.phase {
        Phase::Waiting => "waiting",
        Phase::Draining => "leaving",
        Phase::Drained => "empty",
        Phase::Returning { .. } => "returning",
        Phase::Done => "done",
        Phase::Failed(reason) => failure_name(reason),
        Phase::Skipped => "spared",
    }
}

#[test]
fn machine_progress() {
    let phases = [
        Phase::Waiting,
        Phase::Draining,
        Phase::Drained,
        Phase::Returning { work_done: true },
        Phase::Returning { work_done: false },
        Phase::Done,
        Phase::Failed(FailureReason::NeverEmpty),
        Phase::Failed(FailureReason::NeverWorked),
        Phase::Failed(FailureReason::NeverBack),
        Phase::Failed(FailureReason::Staff),
        Phase::Failed(FailureReason::Opened),
        Phase::Skipped,
    ];
    let progress = |phase| MachineProgress {
        phase,
        version: 301,
        times_drained: 302,
    };
    check_postcard("places.hex", &phases.map(progress), phase_name);
}

#[test]
fn machine_reports() {
    let closed = MachineReport {
        version: 301,
        clients: 302,
        closed: true,
        warm: false,
    };
    let warm = MachineReport {
        closed: false,
        warm: true,
        ..closed
    };
    check_postcard("reports.hex", &[closed, warm], |_| "report");
}

/// Orders with one machine out, an order that has ended, and a coordinator's fencing number.
fn orders() -> WorkOrders {
    let mut orders = WorkOrders::default();
    let names = ["m1", "m2", "m3", "m4", "m5", "m6"];
    let add_order = |name, machines: &[&str]| {
        WorkOrderChange::AddOrder(WorkOrder {
            bounds: Bounds {
                max_out: 1,
                max_out_per_zone: 2,
                min_capacity_permille: 3,
                failure_tolerance: FailureTolerance::Nothing,
            },
            ..order(name, machines, FailureTolerance::Nothing)
        })
    };
    let changes = [
        WorkOrderChange::SetMachines(machines(&names)),
        add_order("ended", &["m6"]),
        WorkOrderChange::Cancel(2),
        add_order("second", &["m2", "m3"]),
    ];
    for change in changes {
        orders
            .apply(change.clone())
            .expect("a change that may be made");
    }
    let order = *orders.orders().keys().next_back().unwrap();
    let version = orders.orders()[&order].1["m2"].version;
    let take_out = WorkOrderChange::Step {
        order,
        machine: "m2".into(),
        version,
        step: Step::TakeOut,
        fence: Some(500),
    };
    orders.apply(take_out).expect("a machine that may go");
    orders
}

#[test]
fn work_orders() {
    assert!(!orders().ended_orders().is_empty());
    assert_eq!(orders().machines_out().len(), 1);
    check_postcard("orders.hex", &[orders()], |_| "orders");
}

#[test]
fn listed_machines() {
    let listed = ListedMachine {
        version: 301,
        closed: true,
        machine: machines(&["m1"]).remove("m1").unwrap(),
    };
    check_postcard(
        "listed.hex",
        &[listed, ListedMachine::default()],
        |_| "listed",
    );
}

/// A list with all fields set, and operators' overrides of both kinds.
fn availability() -> MachineAvailability {
    let listed = |(at, (name, machine)): (u64, (String, Machine))| {
        let listed = ListedMachine {
            version: 301 + at,
            closed: at == 0,
            machine,
        };
        (name, listed)
    };
    let machines = machines(&["m1", "m2"]).into_iter();
    let mut availability = MachineAvailability::default();
    availability.apply_list(500, (0..).zip(machines).map(listed).collect());
    availability.set_override("m1", Some(true));
    availability.set_override("m3", Some(false));
    availability
}

/// Without the checksum line that the proxy writes first.
#[test]
fn availability_file() {
    let availability = availability();
    let json = serde_json::to_string_pretty(&availability).unwrap() + "\n";
    let recorded = check_text("belief.json", &json);
    assert_eq!(
        serde_json::from_str::<MachineAvailability>(&recorded).unwrap(),
        availability
    );
}

//! Work orders while a proxy of the fleet is upgraded: two processes have one name.

use std::thread::sleep;
use std::time::{Duration, Instant};

use violetwind_standins::LineConnection;
use violetwind_standins::work_orders::{WorkOrderHarness, coordinator_index};

const MACHINE_COUNT: usize = 4;
const CLIENT_COUNT: usize = 40;
/// A held budget for operators' programs: a process whose units are in use stays in the fleet while it ends.
const BUDGET: &str = "[[fleet.budget]]\nname = \"slots\"\nkind = \"held\"\nof = \"callers\"\n\
                      whole = 12\nfloor = 1\n";

/// Opens connections at a member that stay until they are moved.
fn open_clients(harness: &WorkOrderHarness, member: usize) -> Vec<LineConnection> {
    let open = |number| {
        let mut client = LineConnection::connect(harness.fleet.client_addr(member));
        client.send_line(&format!(
            "OPEN {number:016x} 7f3a9c21e0b4d655 c=watch,d=2000"
        ));
        assert!(client.read_line().starts_with("UP "));
        client
    };
    (0..CLIENT_COUNT).map(open).collect()
}

/// Guards against a machine that is reported as empty while an upgraded proxy has clients there: the old process spoke
/// for the name of the proxy by its own clients, of which it had none after it had handed them over.
#[test]
fn a_machine_is_not_empty_while_the_successor_of_a_proxy_has_clients_there() {
    let program = env!("CARGO_BIN_EXE_violetwind");
    let mut harness = WorkOrderHarness::start(program.into(), (3, 0), MACHINE_COUNT, BUDGET);
    let coordinator = harness.wait_until("a coordinator", |harness| {
        coordinator_index(&harness.fleet, &harness.fetch_work_view()?)
    });
    let upgraded = (coordinator + 1) % 3;
    for token in 0..6 {
        let line = format!("FLEET TAKE slots job-{token} 60000");
        harness.call_until_accepted(upgraded, &line);
    }
    let _clients = open_clients(&harness, upgraded);
    let connections = |machine: usize| harness.servers[machine].open_connections();
    let machine = (0..MACHINE_COUNT).max_by_key(|machine| connections(*machine));
    let machine = machine.unwrap();
    assert!(connections(machine) > 0);
    let mut successor = harness.fleet.start_successor(upgraded);
    harness.wait_until("the successor serves", |harness| {
        let health = harness.fleet.call_member(upgraded, "HEALTH")?;
        health.contains("successor").then_some(())
    });
    harness.fleet.send_signal(upgraded, "-TERM");
    // The connections change hands in this time.
    sleep(Duration::from_millis(500));
    let name = format!("m-{machine}");
    let planner = (coordinator + 2) % 3;
    let bounds = ["--floor", "0.5", "--most", "1"];
    harness.plan_work_order(planner, "kernel", &name, &bounds);
    harness.wait_for_phase(&name, "empty");
    assert_eq!(connections(machine), 0, "{}", harness.fleet.merged_log());
    // The old process has ended by the time that SIGKILL would come.
    let deadline = Instant::now() + Duration::from_millis(2700);
    let status = harness.fleet.wait_for_exit(upgraded);
    assert!(status.is_some_and(|status| status.success()));
    assert!(Instant::now() < deadline);
    // The list of machines that are out stays for the successor, which reads it if it is restarted.
    let fleet_dir = harness.fleet.fleet_dir(upgraded);
    assert!(fleet_dir.parent().unwrap().join("work.out").exists());
    harness.fleet.adopt_process(upgraded, &mut successor);
    harness.call_until_accepted(planner, &format!("FLEET WORK DONE {name}"));
    harness.wait_until("the machine is in service", |harness| {
        let view = harness.fetch_work_view()?;
        (view["out"].as_array()?.is_empty()).then_some(())
    });
}

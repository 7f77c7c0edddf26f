//! The wall clock of the proxy's machine is stepped by an hour or by seconds. A server that has just started must get
//! no more than slow start allows, whatever clock its start time was taken from, and a warm server must stay in use.

mod common;

use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use common::{Discovery, Proxy};
use serde_json::json;
use violetwind_standins::soak::{ClientBehaviour, SoakServer, Traffic};

const HOUR_MS: i64 = 3_600_000;
const COLD_DURATION: Duration = Duration::from_secs(4);
/// The number of connections that load a server fully. The traffic it gets while it warms up depends on this number.
const CAPACITY: usize = 100;

/// The wall clock in milliseconds since the epoch, plus a step.
fn wall_clock_ms(step_ms: i64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    (now.as_millis() as i64 + step_ms) as u64
}

fn behaviour(number: u64) -> ClientBehaviour {
    ClientBehaviour {
        class: "watch".into(),
        deadline: Duration::from_millis(1500),
        disconnect_after: None,
        session_duration: Duration::from_millis(100 + number * 37 % 200),
        message_interval: Duration::from_millis(100),
        pause_before_open: None,
    }
}

/// The steps of the proxy's clock and the offset of the clock that the new server's start time is taken from, in ms.
#[derive(Debug)]
struct Case {
    /// The step of the proxy's clock before the proxy starts.
    step_before_start_ms: i64,
    /// The further step of the proxy's clock while it runs.
    step_while_running_ms: i64,
    /// The offset of the new server's own clock.
    server_offset_ms: i64,
    /// Whether the new server is already in the proxy's first list, having just started.
    in_first_list: bool,
}

/// Runs traffic and returns the number of requests that the new server gets within the slow start period.
fn count_new_server_requests(case: &Case) -> usize {
    let warm_servers: Vec<SoakServer> = (1..=6)
        .map(|number| SoakServer::start(&format!("s-{number}"), CAPACITY))
        .collect();
    let new_server = SoakServer::start("s-new", CAPACITY);
    let discovery = Discovery::start(&[]);
    for server in &warm_servers {
        discovery.upsert_target(server.target_row("ready", 0));
    }
    if case.in_first_list {
        discovery
            .upsert_target(new_server.target_row("ready", wall_clock_ms(case.server_offset_ms)));
    }
    let rules = format!("clock {}", case.step_before_start_ms);
    let proxy = Proxy::launch_faulty(discovery.addr, &rules, |config| {
        config["settings"]["rules"]["cold-s"] = json!(COLD_DURATION.as_secs_f64());
    });
    proxy.wait_ready();
    let traffic = Traffic::start(proxy.addr, Duration::from_millis(8), 1, behaviour);
    if !case.in_first_list {
        thread::sleep(Duration::from_secs(2));
        proxy.set_faults(&format!(
            "clock {}",
            case.step_before_start_ms + case.step_while_running_ms
        ));
        thread::sleep(Duration::from_millis(300));
        discovery
            .upsert_target(new_server.target_row("ready", wall_clock_ms(case.server_offset_ms)));
    }
    thread::sleep(COLD_DURATION);
    drop(traffic.finish());
    new_server.attempts().len()
}

/// Checks that the new server gets no more requests than in a control run with the same traffic and no clock steps.
fn assert_slow_start_holds(case: Case) {
    static CONTROL: OnceLock<usize> = OnceLock::new();
    let control = *CONTROL.get_or_init(|| {
        count_new_server_requests(&Case {
            step_before_start_ms: 0,
            step_while_running_ms: 0,
            server_offset_ms: 0,
            in_first_list: false,
        })
    });
    let requests = count_new_server_requests(&case);
    // The number varies randomly between runs.
    let limit = control as f64 * 1.5 + 3.0 * (control as f64).sqrt();
    assert!(
        requests as f64 <= limit,
        "{requests} requests, {control} without clock steps: {case:?}"
    );
}

#[test]
fn a_new_server_gets_slow_start_traffic_without_clock_steps() {
    let requests = count_new_server_requests(&Case {
        step_before_start_ms: 0,
        step_while_running_ms: 0,
        server_offset_ms: 0,
        in_first_list: false,
    });
    let warm_requests = 4 * 120 / 7;
    assert!(
        requests > 0 && requests * 2 < warm_requests,
        "{requests} requests; a warm server gets about {warm_requests}"
    );
}

#[test]
fn a_new_server_is_cold_after_the_proxys_clock_went_back() {
    // First the new server's clock goes back too, then only the proxy's.
    assert_slow_start_holds(Case {
        step_before_start_ms: 0,
        step_while_running_ms: -HOUR_MS,
        server_offset_ms: -HOUR_MS,
        in_first_list: false,
    });
    assert_slow_start_holds(Case {
        step_before_start_ms: 0,
        step_while_running_ms: -HOUR_MS,
        server_offset_ms: 0,
        in_first_list: false,
    });
}

#[test]
fn a_new_server_is_cold_after_the_proxys_clock_went_forward() {
    assert_slow_start_holds(Case {
        step_before_start_ms: 0,
        step_while_running_ms: HOUR_MS,
        server_offset_ms: HOUR_MS,
        in_first_list: false,
    });
    assert_slow_start_holds(Case {
        step_before_start_ms: 0,
        step_while_running_ms: HOUR_MS,
        server_offset_ms: 0,
        in_first_list: false,
    });
    assert_slow_start_holds(Case {
        step_before_start_ms: 0,
        step_while_running_ms: 5000,
        server_offset_ms: 0,
        in_first_list: false,
    });
}

/// According to the documentation all machines read one clock, but a single machine's clock may be stepped alone.
#[test]
fn a_new_server_is_cold_whatever_the_offset_of_its_own_clock() {
    assert_slow_start_holds(Case {
        step_before_start_ms: 0,
        step_while_running_ms: 0,
        server_offset_ms: -HOUR_MS,
        in_first_list: false,
    });
    assert_slow_start_holds(Case {
        step_before_start_ms: 0,
        step_while_running_ms: 0,
        server_offset_ms: -5000,
        in_first_list: false,
    });
    assert_slow_start_holds(Case {
        step_before_start_ms: 0,
        step_while_running_ms: 0,
        server_offset_ms: HOUR_MS,
        in_first_list: false,
    });
}

#[test]
fn a_new_server_in_the_first_list_is_cold_after_a_clock_step_before_the_start() {
    assert_slow_start_holds(Case {
        step_before_start_ms: HOUR_MS,
        step_while_running_ms: 0,
        server_offset_ms: 0,
        in_first_list: true,
    });
    assert_slow_start_holds(Case {
        step_before_start_ms: -HOUR_MS,
        step_while_running_ms: 0,
        server_offset_ms: 0,
        in_first_list: true,
    });
    assert_slow_start_holds(Case {
        step_before_start_ms: 5000,
        step_while_running_ms: 0,
        server_offset_ms: 0,
        in_first_list: true,
    });
    assert_slow_start_holds(Case {
        step_before_start_ms: 0,
        step_while_running_ms: 0,
        server_offset_ms: -HOUR_MS,
        in_first_list: true,
    });
}

/// A forward step must not leave a server cold for an hour: warm-up is measured on a clock that is never stepped.
#[test]
fn a_new_server_warms_up_on_time_after_any_clock_step() {
    for step_ms in [-HOUR_MS, HOUR_MS] {
        let old_server = SoakServer::start("s-1", CAPACITY);
        let new_server = SoakServer::start("s-new", CAPACITY);
        let discovery = Discovery::start(&[old_server.target_row("ready", 0)]);
        let proxy = Proxy::launch_faulty(discovery.addr, "", |config| {
            config["settings"]["rules"]["cold-s"] = json!(2.0);
        });
        proxy.wait_ready();
        let traffic = Traffic::start(proxy.addr, Duration::from_millis(20), 1, behaviour);
        thread::sleep(Duration::from_millis(500));
        proxy.set_faults(&format!("clock {step_ms}"));
        discovery.upsert_target(new_server.target_row("ready", wall_clock_ms(step_ms)));
        thread::sleep(Duration::from_millis(3000));
        let warm_at = Instant::now();
        thread::sleep(Duration::from_secs(2));
        drop(traffic.finish());
        let requests_once_warm = |server: &SoakServer| {
            server
                .attempts()
                .iter()
                .filter(|arrival| arrival.received_at > warm_at)
                .count()
        };
        let (old_requests, new_requests) = (
            requests_once_warm(&old_server),
            requests_once_warm(&new_server),
        );
        assert!(
            new_requests * 2 > old_requests,
            "step of {step_ms} ms: the warm new server got {new_requests} requests, the old one {old_requests}"
        );
    }
}

//! The wall clock of the proxy's machine is stepped by an hour or by seconds: a server that has just started gets no
//! more than slow start allows, by whatever clock its start was written down, and one that is warm stays in use.

mod common;

use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use common::{Discovery, Proxy};
use serde_json::json;
use violetwind_standins::soak::{ClientBehaviour, SoakServer, Traffic};

const HOUR: i64 = 3_600_000;
const COLD_FOR: Duration = Duration::from_secs(4);
/// Connections that load a server fully, and so what it takes while it warms up.
const CAPACITY: usize = 100;

fn wall_ms(step: i64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    (now.as_millis() as i64 + step) as u64
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

/// What the proxy's clock does, and by which clock the newcomer's start is written down.
#[derive(Debug)]
struct Case {
    /// The step that the proxy has before its start, and the one that it has while it runs.
    before: i64,
    while_running: i64,
    /// The newcomer's own clock is off by so much.
    server: i64,
    /// It is listed from the start, having just started.
    in_first_list: bool,
}

/// The requests that the newcomer gets in its first seconds.
fn newcomer(case: &Case) -> usize {
    let warm: Vec<SoakServer> = (1..=6)
        .map(|number| SoakServer::start(&format!("s-{number}"), CAPACITY))
        .collect();
    let new = SoakServer::start("s-new", CAPACITY);
    let discovery = Discovery::start(&[]);
    for server in &warm {
        discovery.upsert_target(server.target_row("ready", 0));
    }
    if case.in_first_list {
        discovery.upsert_target(new.target_row("ready", wall_ms(case.server)));
    }
    let rules = format!("clock {}", case.before);
    let proxy = Proxy::launch_faulty(discovery.addr, &rules, |config| {
        config["settings"]["rules"]["cold-s"] = json!(COLD_FOR.as_secs_f64());
    });
    proxy.wait_ready();
    let traffic = Traffic::start(proxy.addr, Duration::from_millis(8), 1, behaviour);
    if !case.in_first_list {
        thread::sleep(Duration::from_secs(2));
        proxy.set_faults(&format!("clock {}", case.before + case.while_running));
        thread::sleep(Duration::from_millis(300));
        discovery.upsert_target(new.target_row("ready", wall_ms(case.server)));
    }
    thread::sleep(COLD_FOR);
    drop(traffic.finish());
    new.attempts().len()
}

/// What a newcomer gets is known from a proxy whose clock nobody touches, on the same traffic.
fn holds(case: Case) {
    static CONTROL: OnceLock<usize> = OnceLock::new();
    let control = *CONTROL.get_or_init(|| {
        newcomer(&Case {
            before: 0,
            while_running: 0,
            server: 0,
            in_first_list: false,
        })
    });
    let got = newcomer(&case);
    // Chance makes some of it.
    let most = control as f64 * 1.5 + 3.0 * (control as f64).sqrt();
    assert!(
        got as f64 <= most,
        "{got} arrivals, {control} where no clock is stepped: {case:?}"
    );
}

#[test]
fn a_newcomer_is_used_within_slow_start_where_no_clock_is_stepped() {
    let got = newcomer(&Case {
        before: 0,
        while_running: 0,
        server: 0,
        in_first_list: false,
    });
    let warm = 4 * 120 / 7;
    assert!(
        got > 0 && got * 2 < warm,
        "{got} arrivals; a warm server gets about {warm}"
    );
}

#[test]
fn a_newcomer_is_cold_after_the_clock_went_back() {
    // Its own clock went back too, or only the proxy's did.
    holds(Case {
        before: 0,
        while_running: -HOUR,
        server: -HOUR,
        in_first_list: false,
    });
    holds(Case {
        before: 0,
        while_running: -HOUR,
        server: 0,
        in_first_list: false,
    });
}

#[test]
fn a_newcomer_is_cold_after_the_clock_went_forward() {
    holds(Case {
        before: 0,
        while_running: HOUR,
        server: HOUR,
        in_first_list: false,
    });
    holds(Case {
        before: 0,
        while_running: HOUR,
        server: 0,
        in_first_list: false,
    });
    holds(Case {
        before: 0,
        while_running: 5000,
        server: 0,
        in_first_list: false,
    });
}

/// All machines read one clock by the page, but one of them may be stepped alone.
#[test]
fn a_newcomer_is_cold_by_whatever_clock_of_its_own() {
    holds(Case {
        before: 0,
        while_running: 0,
        server: -HOUR,
        in_first_list: false,
    });
    holds(Case {
        before: 0,
        while_running: 0,
        server: -5000,
        in_first_list: false,
    });
    holds(Case {
        before: 0,
        while_running: 0,
        server: HOUR,
        in_first_list: false,
    });
}

#[test]
fn a_newcomer_of_the_first_list_is_cold_after_a_step_before_the_start() {
    holds(Case {
        before: HOUR,
        while_running: 0,
        server: 0,
        in_first_list: true,
    });
    holds(Case {
        before: -HOUR,
        while_running: 0,
        server: 0,
        in_first_list: true,
    });
    holds(Case {
        before: 5000,
        while_running: 0,
        server: 0,
        in_first_list: true,
    });
    holds(Case {
        before: 0,
        while_running: 0,
        server: -HOUR,
        in_first_list: true,
    });
}

/// A forward step must not leave a server cold for an hour: it warms up by the clock that runs on.
#[test]
fn a_newcomer_warms_up_in_its_time_after_any_step() {
    for step in [-HOUR, HOUR] {
        let old = SoakServer::start("s-1", CAPACITY);
        let new = SoakServer::start("s-new", CAPACITY);
        let discovery = Discovery::start(&[old.target_row("ready", 0)]);
        let proxy = Proxy::launch_faulty(discovery.addr, "", |config| {
            config["settings"]["rules"]["cold-s"] = json!(2.0);
        });
        proxy.wait_ready();
        let traffic = Traffic::start(proxy.addr, Duration::from_millis(20), 1, behaviour);
        thread::sleep(Duration::from_millis(500));
        proxy.set_faults(&format!("clock {step}"));
        discovery.upsert_target(new.target_row("ready", wall_ms(step)));
        thread::sleep(Duration::from_millis(3000));
        let warm_at = Instant::now();
        thread::sleep(Duration::from_secs(2));
        drop(traffic.finish());
        let since = |server: &SoakServer| {
            server
                .attempts()
                .iter()
                .filter(|arrival| arrival.received_at > warm_at)
                .count()
        };
        let (old, new) = (since(&old), since(&new));
        assert!(new * 2 > old, "step {step}: {new} of {old} once it is warm");
    }
}

//! The source against a stand-in that lies, stalls and breaks off.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::time::timeout;
use violetwind_catalogue::{ReportedStatus, Row, SourceUpdate};
use violetwind_consul::{Api, FieldSource, Identity, Settings, watch_service};
use violetwind_engine::EngineEvent;
use violetwind_standins::WAIT_TIMEOUT;
use violetwind_standins::consul::{Check, Consul, ConsulMode, Instance, Maintenance};

fn at(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 3000 + n).into()
}

fn three() -> Consul {
    let consul = Consul::start("agenda");
    consul.register_all((1..4).map(|n| Instance::new(&format!("s-{n}"), at(n))));
    consul
}

fn settings(consul: &Consul) -> Settings {
    let mut settings = Settings::new(consul.addr, "agenda");
    let ms = Duration::from_millis;
    settings.limits.blocking_wait = ms(300);
    settings.limits.response_margin = ms(300);
    settings.limits.body_idle_timeout = ms(200);
    settings.limits.body_timeout = ms(800);
    settings.limits.min_query_delay = ms(1);
    settings.limits.poll_interval = ms(20);
    settings.limits.initial_backoff = ms(5);
    settings.limits.max_backoff = ms(20);
    settings.limits.token_poll_interval = ms(10);
    settings
}

/// What a watch tells.
struct Told(mpsc::Receiver<EngineEvent>);

impl Told {
    async fn next(&mut self) -> SourceUpdate {
        let notice = timeout(WAIT_TIMEOUT, self.0.recv())
            .await
            .expect("nothing is told");
        match notice.expect("the watch goes on") {
            EngineEvent::SourceUpdate(_, telling) => telling,
            other => panic!("{other:?}"),
        }
    }

    async fn rows(&mut self) -> Vec<Row> {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.next().await {
                SourceUpdate::Snapshot(rows) => return rows,
                other => assert!(Instant::now() < until, "{other:?} for long"),
            }
        }
    }

    async fn lost(&mut self) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !matches!(self.next().await, SourceUpdate::Unavailable) {
            assert!(Instant::now() < until, "never lost");
        }
    }
}

fn words(rows: &[Row]) -> Vec<(&str, ReportedStatus)> {
    rows.iter().map(|row| (&*row.uid, row.status)).collect()
}

/// Runs a watch beside a test.
fn watched(settings: Settings, test: impl AsyncFnOnce(Told)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (to, told) = mpsc::channel(64);
        let task = watch_service(Rc::new(settings), None, "main".into(), to);
        let task = tokio::task::spawn_local(task);
        test(Told(told)).await;
        task.abort();
    });
}

#[test]
fn changes_come_by_blocking_queries_and_maintenance_is_a_drain() {
    let consul = three();
    watched(settings(&consul), async |mut told: Told| {
        let rows = told.rows().await;
        let ready = [
            ("s-1", ReportedStatus::Ready),
            ("s-2", ReportedStatus::Ready),
            ("s-3", ReportedStatus::Ready),
        ];
        assert_eq!(words(&rows), ready);
        assert_eq!(rows[0].instance.as_ref().unwrap().endpoint, at(1));
        assert_eq!(
            rows[0].instance.as_ref().unwrap().zone.as_deref(),
            Some("dc1")
        );
        consul.set_check(&["s-2"], Check::Critical);
        assert_eq!(told.rows().await[1].status, ReportedStatus::Failing);
        consul.update_instances(&["s-2"], |i| {
            (i.check, i.maintenance) = (Check::Critical, Maintenance::Service);
        });
        assert_eq!(told.rows().await[1].status, ReportedStatus::Draining);
        consul.update_instances(&["s-2"], |i| i.maintenance = Maintenance::Node);
        assert_eq!(told.rows().await[1].status, ReportedStatus::Draining);
        consul.deregister(&["s-2"]);
        assert_eq!(
            words(&told.rows().await),
            [
                ("s-1", ReportedStatus::Ready),
                ("s-3", ReportedStatus::Ready)
            ]
        );
        // Nothing new for a while is told as that, and no list is read again for it.
        while !matches!(told.next().await, SourceUpdate::Unchanged) {}
        let calls = consul.wait_for_requests(2);
        assert!(calls[0].1.query_param("index").is_none());
        assert_eq!(calls[1].1.query_param("index"), Some("13"));
        assert_eq!(calls[1].1.query_param("wait"), Some("300ms"));
        assert_eq!(
            consul.max_open_connections(),
            1,
            "one call at a time, on one connection"
        );
    });
}

#[test]
fn every_way_to_fail_is_a_loss_that_leaves_nothing_half_told_and_ends() {
    let consul = three();
    let mut settings = settings(&consul);
    settings.limits.max_rows = 100;
    watched(settings, async |mut told: Told| {
        told.rows().await;
        for mood in [
            ConsulMode::Silent,
            ConsulMode::Resets,
            ConsulMode::TooMany,
            ConsulMode::Fails,
            ConsulMode::HalfBody,
            ConsulMode::Stalls,
            ConsulMode::Endless,
            ConsulMode::Garbles,
        ] {
            let start = Instant::now();
            consul.set_mode(mood);
            // With the index as it was, no body would be read.
            consul.set_check(&["s-1"], Check::Critical);
            told.lost().await;
            assert!(start.elapsed() < Duration::from_secs(3), "{mood:?}");
            let told_in_mood = told.next().await;
            assert!(
                matches!(told_in_mood, SourceUpdate::Unavailable),
                "{mood:?}: {told_in_mood:?}"
            );
            consul.set_mode(ConsulMode::Works);
            consul.set_check(&["s-1"], Check::Passing);
            assert_eq!(told.rows().await.len(), 3, "{mood:?}");
        }
    });
}

#[test]
fn old_and_leaderless_answers_are_told_as_stale() {
    let consul = three();
    watched(settings(&consul), async |mut told: Told| {
        told.rows().await;
        for mood in [ConsulMode::Old(60_000), ConsulMode::NoLeader] {
            consul.set_mode(mood);
            consul.update_instances(&["s-3"], |i| i.maintenance = Maintenance::Service);
            loop {
                if let SourceUpdate::StaleSnapshot(rows) = told.next().await {
                    // The old list is from before the drain.
                    let drained = rows[2].status == ReportedStatus::Draining;
                    assert_eq!(drained, mood == ConsulMode::NoLeader);
                    break;
                }
            }
            consul.set_mode(ConsulMode::Works);
            consul.update_instances(&["s-3"], |i| i.maintenance = Maintenance::None);
            told.rows().await;
        }
    });
}

#[test]
fn an_index_that_is_reset_or_none_is_asked_anew_without_a_busy_loop() {
    let consul = three();
    watched(settings(&consul), async |mut told: Told| {
        told.rows().await;
        consul.reset_index();
        consul.set_check(&["s-1"], Check::Critical);
        while told.rows().await[0].status != ReportedStatus::Failing {}
        for mood in [ConsulMode::IndexZero, ConsulMode::NoIndex] {
            consul.set_mode(mood);
            told.rows().await;
            let before = consul.request_count();
            let start = Instant::now();
            for _ in 0..5 {
                told.rows().await;
            }
            let calls = consul.request_count() - before;
            assert!(calls <= 7, "{calls} calls for 5 lists");
            assert!(
                start.elapsed() >= Duration::from_millis(80),
                "polled, not looped"
            );
            consul.set_mode(ConsulMode::Works);
        }
    });
}

#[test]
fn a_token_replaced_in_the_middle_of_a_call_is_used_at_once_and_never_shown() {
    let consul = three();
    consul.require_token(Some("old-token"));
    let path = std::env::temp_dir().join(format!("violetwind-consul-{}", std::process::id()));
    let replace = |text: &str| {
        let new = path.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &path).unwrap();
    };
    replace("old-token\n");
    let mut settings = settings(&consul);
    settings.limits.blocking_wait = Duration::from_secs(3600);
    settings.token_file = Some(path.clone());
    watched(settings, async |mut told: Told| {
        told.rows().await;
        // The call for changes is out, and would be for an hour.
        while consul.request_count() < 2 {
            tokio::task::yield_now().await;
        }
        consul.require_token(Some("new-token"));
        // A file half written or gone changes nothing.
        replace("");
        std::fs::remove_file(&path).unwrap();
        replace("new-token\n");
        let calls = tokio::task::spawn_blocking({
            let consul = consul.clone();
            move || consul.wait_for_requests(3)
        });
        let calls = calls.await.unwrap();
        assert_eq!(calls[2].1.header("x-consul-token"), Some("new-token"));
        consul.set_check(&["s-1"], Check::Critical);
        assert_eq!(told.rows().await[0].status, ReportedStatus::Failing);
        // One that is refused is a loss like any other.
        consul.require_token(Some("another"));
        consul.set_check(&["s-1"], Check::Passing);
        told.lost().await;
    });
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn rows_are_read_by_the_rules_and_those_that_make_no_sense_are_passed_over() {
    let consul = Consul::start("agenda");
    let mut full = Instance::new("s-1", at(1));
    full.tags = vec!["v2".into(), "model=m2".into()];
    full.meta.extend([
        ("rack".to_string(), "7".to_string()),
        ("boot".to_string(), "1700000000000".to_string()),
    ]);
    full.check = Check::Warning;
    full.weights = (10, 3);
    // The node's address counts where the service has none.
    full.address = String::new();
    let mut tagged = Instance::new("s-2", at(2));
    tagged.tags = vec!["leaving".into()];
    let mut named = Instance::new("s-3", at(3));
    named.address = "server.example".into();
    let mut long = Instance::new(&"x".repeat(300), at(4));
    long.node = "n".into();
    consul.register_all([full, tagged, named, long]);
    let mut settings = settings(&consul);
    settings.rules.identity = Identity::NodeAndId;
    settings.rules.kind = FieldSource::TagPrefix("model=".into());
    settings.rules.group = FieldSource::Meta("rack".into());
    settings.rules.boot_ms = FieldSource::Meta("boot".into());
    settings.rules.drain_tag = Some("leaving".into());
    settings.rules.zones = [("dc1".to_string(), "a".to_string())].into();
    for api in [Api::Health, Api::Catalog] {
        let mut settings = settings.clone();
        settings.api = api;
        watched(settings, async |mut told: Told| {
            let rows = told.rows().await;
            let uids: Vec<&str> = rows.iter().map(|row| &*row.uid).collect();
            assert_eq!(uids, ["node-s-1/s-1", "node-s-2/s-2", "node-s-3/s-3"]);
            let one = rows[0].instance.as_ref().unwrap();
            assert_eq!(one.endpoint, at(1));
            assert_eq!(
                (one.zone.as_deref(), one.kind.as_deref()),
                (Some("a"), Some("m2"))
            );
            assert_eq!((one.cell, one.born), (7, Some(1_700_000_000_000)));
            // Without checks nothing warns.
            assert_eq!(
                one.weight,
                Some(if api == Api::Health { 3.0 } else { 10.0 })
            );
            assert_eq!(
                (rows[0].status, rows[1].status),
                (ReportedStatus::Ready, ReportedStatus::Draining)
            );
            // A name is never looked up; the server is listed all the same.
            assert!(rows[2].instance.is_none());
        });
    }
}

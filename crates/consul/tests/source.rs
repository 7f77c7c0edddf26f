//! Runs the source against a stand-in for Consul that returns wrong data, stalls and drops connections.

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

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 3000 + number).into()
}

fn consul_with_three_servers() -> Consul {
    let consul = Consul::start("agenda");
    consul
        .register_all((1..4).map(|number| Instance::new(&format!("s-{number}"), address(number))));
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

/// The updates that a watch sends to the engine.
struct Updates(mpsc::Receiver<EngineEvent>);

impl Updates {
    async fn next(&mut self) -> SourceUpdate {
        let event = timeout(WAIT_TIMEOUT, self.0.recv())
            .await
            .expect("no update in time");
        match event.expect("the watch has ended") {
            EngineEvent::SourceUpdate(_, update) => update,
            other => panic!("{other:?}"),
        }
    }

    async fn next_snapshot(&mut self) -> Vec<Row> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.next().await {
                SourceUpdate::Snapshot(rows) => return rows,
                other => assert!(
                    Instant::now() < deadline,
                    "no snapshot in time, last update: {other:?}"
                ),
            }
        }
    }

    async fn wait_until_unavailable(&mut self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !matches!(self.next().await, SourceUpdate::Unavailable) {
            assert!(Instant::now() < deadline, "never unavailable");
        }
    }
}

fn statuses(rows: &[Row]) -> Vec<(&str, ReportedStatus)> {
    rows.iter().map(|row| (&*row.uid, row.status)).collect()
}

/// Runs a watch concurrently with a test.
fn run_watch(settings: Settings, test: impl AsyncFnOnce(Updates)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (sender, updates) = mpsc::channel(64);
        let task = watch_service(Rc::new(settings), None, "main".into(), sender);
        let task = tokio::task::spawn_local(task);
        test(Updates(updates)).await;
        task.abort();
    });
}

#[test]
fn blocking_queries_deliver_changes_and_maintenance_is_a_drain() {
    let consul = consul_with_three_servers();
    run_watch(settings(&consul), async |mut updates: Updates| {
        let rows = updates.next_snapshot().await;
        let ready = [
            ("s-1", ReportedStatus::Ready),
            ("s-2", ReportedStatus::Ready),
            ("s-3", ReportedStatus::Ready),
        ];
        assert_eq!(statuses(&rows), ready);
        assert_eq!(rows[0].instance.as_ref().unwrap().endpoint, address(1));
        assert_eq!(
            rows[0].instance.as_ref().unwrap().zone.as_deref(),
            Some("dc1")
        );
        consul.set_check(&["s-2"], Check::Critical);
        assert_eq!(
            updates.next_snapshot().await[1].status,
            ReportedStatus::Failing
        );
        consul.update_instances(&["s-2"], |instance| {
            (instance.check, instance.maintenance) = (Check::Critical, Maintenance::Service);
        });
        assert_eq!(
            updates.next_snapshot().await[1].status,
            ReportedStatus::Draining
        );
        consul.update_instances(&["s-2"], |instance| {
            instance.maintenance = Maintenance::Node
        });
        assert_eq!(
            updates.next_snapshot().await[1].status,
            ReportedStatus::Draining
        );
        consul.deregister(&["s-2"]);
        assert_eq!(
            statuses(&updates.next_snapshot().await),
            [
                ("s-1", ReportedStatus::Ready),
                ("s-3", ReportedStatus::Ready)
            ]
        );
        // A query without changes yields `Unchanged`, and its body is not parsed again.
        while !matches!(updates.next().await, SourceUpdate::Unchanged) {}
        let requests = consul.wait_for_requests(2);
        assert!(requests[0].1.query_param("index").is_none());
        assert_eq!(requests[1].1.query_param("index"), Some("13"));
        assert_eq!(requests[1].1.query_param("wait"), Some("300ms"));
        assert_eq!(
            consul.max_open_connections(),
            1,
            "one query at a time, on one connection"
        );
    });
}

#[test]
fn every_failure_makes_the_source_unavailable_without_partial_lists_until_it_ends() {
    let consul = consul_with_three_servers();
    let mut settings = settings(&consul);
    settings.limits.max_rows = 100;
    run_watch(settings, async |mut updates: Updates| {
        updates.next_snapshot().await;
        for mode in [
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
            consul.set_mode(mode);
            // With an unchanged index no body would be parsed.
            consul.set_check(&["s-1"], Check::Critical);
            updates.wait_until_unavailable().await;
            assert!(start.elapsed() < Duration::from_secs(3), "{mode:?}");
            let next_update = updates.next().await;
            assert!(
                matches!(next_update, SourceUpdate::Unavailable),
                "{mode:?}: {next_update:?}"
            );
            consul.set_mode(ConsulMode::Works);
            consul.set_check(&["s-1"], Check::Passing);
            assert_eq!(updates.next_snapshot().await.len(), 3, "{mode:?}");
        }
    });
}

#[test]
fn outdated_and_leaderless_responses_become_stale_snapshots() {
    let consul = consul_with_three_servers();
    run_watch(settings(&consul), async |mut updates: Updates| {
        updates.next_snapshot().await;
        for mode in [ConsulMode::Old(60_000), ConsulMode::NoLeader] {
            consul.set_mode(mode);
            consul.update_instances(&["s-3"], |instance| {
                instance.maintenance = Maintenance::Service
            });
            loop {
                if let SourceUpdate::StaleSnapshot(rows) = updates.next().await {
                    // The outdated list was taken before the drain.
                    let drained = rows[2].status == ReportedStatus::Draining;
                    assert_eq!(drained, mode == ConsulMode::NoLeader);
                    break;
                }
            }
            consul.set_mode(ConsulMode::Works);
            consul.update_instances(&["s-3"], |instance| {
                instance.maintenance = Maintenance::None
            });
            updates.next_snapshot().await;
        }
    });
}

#[test]
fn index_that_is_reset_or_missing_restarts_without_a_busy_loop() {
    let consul = consul_with_three_servers();
    run_watch(settings(&consul), async |mut updates: Updates| {
        updates.next_snapshot().await;
        consul.reset_index();
        consul.set_check(&["s-1"], Check::Critical);
        while updates.next_snapshot().await[0].status != ReportedStatus::Failing {}
        for mode in [ConsulMode::IndexZero, ConsulMode::NoIndex] {
            consul.set_mode(mode);
            updates.next_snapshot().await;
            let requests_before = consul.request_count();
            let start = Instant::now();
            for _ in 0..5 {
                updates.next_snapshot().await;
            }
            let requests = consul.request_count() - requests_before;
            assert!(requests <= 7, "{requests} queries for 5 lists");
            assert!(
                start.elapsed() >= Duration::from_millis(80),
                "queries are delayed by the poll interval"
            );
            consul.set_mode(ConsulMode::Works);
        }
    });
}

#[test]
fn token_replaced_during_a_query_is_used_at_once() {
    let consul = consul_with_three_servers();
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
    run_watch(settings, async |mut updates: Updates| {
        updates.next_snapshot().await;
        // The blocking query is in flight and would stay so for an hour.
        while consul.request_count() < 2 {
            tokio::task::yield_now().await;
        }
        consul.require_token(Some("new-token"));
        // An incomplete or missing token file changes nothing.
        replace("");
        std::fs::remove_file(&path).unwrap();
        replace("new-token\n");
        let requests = tokio::task::spawn_blocking({
            let consul = consul.clone();
            move || consul.wait_for_requests(3)
        });
        let requests = requests.await.unwrap();
        assert_eq!(requests[2].1.header("x-consul-token"), Some("new-token"));
        consul.set_check(&["s-1"], Check::Critical);
        assert_eq!(
            updates.next_snapshot().await[0].status,
            ReportedStatus::Failing
        );
        // A rejected token makes the source unavailable like any other failure.
        consul.require_token(Some("another"));
        consul.set_check(&["s-1"], Check::Passing);
        updates.wait_until_unavailable().await;
    });
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn rows_are_mapped_by_the_rules_and_invalid_rows_are_skipped() {
    let consul = Consul::start("agenda");
    let mut all_fields = Instance::new("s-1", address(1));
    all_fields.tags = vec!["v2".into(), "model=m2".into()];
    all_fields.meta.extend([
        ("rack".to_string(), "7".to_string()),
        ("boot".to_string(), "1700000000000".to_string()),
    ]);
    all_fields.check = Check::Warning;
    all_fields.weights = (10, 3);
    // The node's address is used because the service has none.
    all_fields.address = String::new();
    let mut drain_tagged = Instance::new("s-2", address(2));
    drain_tagged.tags = vec!["leaving".into()];
    let mut hostname = Instance::new("s-3", address(3));
    hostname.address = "server.example".into();
    let mut long_id = Instance::new(&"x".repeat(300), address(4));
    long_id.node = "n".into();
    consul.register_all([all_fields, drain_tagged, hostname, long_id]);
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
        run_watch(settings, async |mut updates: Updates| {
            let rows = updates.next_snapshot().await;
            let uids: Vec<&str> = rows.iter().map(|row| &*row.uid).collect();
            assert_eq!(uids, ["node-s-1/s-1", "node-s-2/s-2", "node-s-3/s-3"]);
            let first = rows[0].instance.as_ref().unwrap();
            assert_eq!(first.endpoint, address(1));
            assert_eq!(
                (first.zone.as_deref(), first.kind.as_deref()),
                (Some("a"), Some("m2"))
            );
            assert_eq!((first.cell, first.started_at), (7, Some(1_700_000_000_000)));
            // Without checks there is no warning, so the weight for passing checks applies.
            assert_eq!(
                first.weight,
                Some(if api == Api::Health { 3.0 } else { 10.0 })
            );
            assert_eq!(
                (rows[0].status, rows[1].status),
                (ReportedStatus::Ready, ReportedStatus::Draining)
            );
            // Host names are not resolved; the server is still listed.
            assert!(rows[2].instance.is_none());
        });
    }
}

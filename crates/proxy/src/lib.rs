//! The program `violetwind`: one balancer on real sockets. The decisions are the module's
//! (`crates/balancer`); this program reads sockets, tells the module and does what it says.
//!
//! A client's connection passes the stages `take_in`, `admit`, `route`, `send`, `relay` and
//! `book`. The engine (`crates/engine`) alone owns the module.

pub mod acceptor;
pub mod admission;
pub mod attempt;
pub mod catalogue_command;
pub mod cli;
pub mod config;
pub mod discovery;
pub mod fleet;
pub mod handover;
pub mod limits;
pub mod line_protocol;
pub mod load_classifier;
pub mod log_throttle;
pub mod management;
pub mod operator_client;
pub mod operator_config;
pub mod operator_service;
pub mod pending_slots;
pub mod poll_schedule;
pub mod probe;
pub mod recording;
pub mod relay;
pub mod reload;
pub mod request_tracker;
pub mod ring_buffer;
pub mod route;
pub mod shutdown;
pub mod signals;
pub mod sources;

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use clap::Parser;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tracing::{info, warn};
use violetwind_engine::{Clock, Engine, EngineConfig};
use violetwind_net::retry_on_exhaustion;
use violetwind_record::Recorder;

use crate::acceptor::SharedState;
use crate::cli::{Cli, CliOutcome};
use crate::config::{ActiveConfig, Config, LoadReportSource};
use crate::discovery::ListDelivery;
use crate::fleet::FleetHandle;
use crate::fleet::allowances::Allowances;
use crate::fleet::maintenance::{self, MaintenanceAgent};
use crate::handover::{HandoverContext, InheritedState};
use crate::limits::{DescriptorPool, Limits};
use crate::operator_config::{ConfigLayers, OperatorConfig};
use crate::operator_service::{OperatorService, ProcessState};
use crate::pending_slots::PendingSlots;
use crate::probe::ProberPool;
use crate::recording::Recording;
use crate::reload::{ReloadUpdates, Reloader};
use crate::signals::Signals;

/// The program, from its arguments to its exit code.
pub fn run_cli() -> ExitCode {
    let layers = match Cli::parse().execute() {
        CliOutcome::Run(layers) => layers,
        CliOutcome::Exit(code) => return code,
    };
    let operator = match layers.load() {
        Ok(operator) => Rc::new(operator),
        Err(problems) => {
            for problem in problems {
                eprintln!("violetwind: {problem}");
            }
            return ExitCode::FAILURE;
        }
    };
    log_to_stderr(&operator);
    let config = match Config::from_env() {
        Ok(config) => Rc::new(config),
        Err(error) => {
            eprintln!("violetwind: {error}");
            return ExitCode::FAILURE;
        }
    };
    match run(config, operator, layers) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("violetwind: {error}");
            ExitCode::FAILURE
        }
    }
}

/// `VIOLETWIND_LOG` is one of error, warn, info, debug and trace, and goes before the file.
fn log_to_stderr(operator: &OperatorConfig) {
    let level = std::env::var("VIOLETWIND_LOG").ok();
    let level = level.and_then(|level| level.parse().ok());
    let log = tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(operator.log_level))
        .with_writer(io::stderr)
        .with_ansi(false)
        .with_target(false);
    match operator.log_as_json {
        true => log.json().flatten_event(true).init(),
        false => log.init(),
    }
}

fn run(config: Rc<Config>, operator: Rc<OperatorConfig>, layers: ConfigLayers) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = tokio::task::LocalSet::new();
    let result = tasks.block_on(&runtime, serve(config, operator, layers));
    // Whatever still runs ends with the process.
    runtime.shutdown_background();
    result
}

async fn serve(
    config: Rc<Config>,
    operator: Rc<OperatorConfig>,
    layers: ConfigLayers,
) -> io::Result<()> {
    // First of all: a signal that nobody catches kills the program.
    let hangups = Signals::hangup()?;
    let signals = Signals::termination()?;
    let mut limits = Limits::new(&*config);
    operator.apply_limits(&mut limits);
    let limits = Rc::new(limits);
    let (notices, inbox) = mpsc::channel(limits.engine.max_queued_events);
    let in_force = ActiveConfig::new(config.clone());
    let engine_too = notices.clone();
    let (reload, reloaded) = Reloader::new(
        hangups,
        in_force.clone(),
        operator.clone(),
        layers,
        engine_too,
    );
    let requests = DescriptorPool::new(limits.request_descriptors);
    let first_lines = PendingSlots::new(&limits, limits.max_pending_slots);
    // What outlives this process in an upgrade; without an address for operators there is none.
    let dir = std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty());
    let dir = dir
        .map(PathBuf::from)
        .filter(|_| config.management.is_some());
    let mut before = InheritedState::find(dir.as_deref(), config.listen, &limits).await;
    let listener = match before.listener.take() {
        Some(listener) => listener,
        None => retry_on_exhaustion(limits.listen_timeout, limits.dial_retry_interval, || {
            handover::listen(config.listen, dir.is_some(), &limits)
        })
        .await
        .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", config.listen)))?,
    };
    let listener = Rc::new(listener);
    if let Some(at) = before.discovery_address {
        reload.set_discovery_address(at);
    }
    info!(name = config.name, listen = %config.listen, memory_mb = config.memory_mb,
        descriptors = limits.request_descriptors, first_lines = limits.max_pending_slots, "start");
    let settings = config.settings.clone();
    let reports = config.load_report_source != LoadReportSource::Disabled
        && !settings.report_fields.is_empty();
    let weighed = !operator.sources.is_empty();
    let work = operator
        .fleet
        .as_ref()
        .and_then(|fleet| fleet.maintenance.as_ref());
    let out =
        work.and_then(|work| maintenance::load_state(&work.state_file, work.max_state_file_bytes));
    // With its machine this proxy is out, from before its first client.
    let own_out = out
        .as_ref()
        .is_some_and(|out| maintenance::is_proxy_machine_out(out, &config.name));
    before.has_left |= own_out;
    let setup = EngineConfig {
        settings,
        seed: config.seed,
        names: config.names.clone(),
        limits: limits.engine.clone(),
        catalogue_limits: weighed.then(|| operator.catalogue_limits.clone()),
        service_limits: limits.service.clone(),
        bans: before.bans.clone(),
        has_left: before.has_left,
        machines: operator.machines(),
    };
    let probes = ProberPool::new(limits.clone(), reports, notices.clone());
    let engine = Engine::new(setup, Clock::new(), probes);
    let known = match discovery::parse_list(config.last_known_list(), &limits) {
        Ok(list) => list,
        Err(error) => {
            warn!(%error, "no list from the last run");
            discovery::DiscoveryList::default()
        }
    };
    // Changes since then make a whole list only of one.
    let since = (known.is_snapshot && !known.rows.is_empty()).then_some(known.version);
    // A successor asks for the whole list: what the process before was told binds it too.
    let since = since.filter(|_| before.predecessor.is_none());
    // The last run's list serves at once: in a herd of restarts discovery may not answer for seconds.
    let (ready, is_ready) = watch::channel(since.is_some());
    let ready = Rc::new(ready);
    let descriptors = (requests.clone(), first_lines.clone());
    let recording = match &operator.recording {
        Some(record) => {
            let classes = config.class_names();
            let recorder = Recorder::start(&record.file, classes, record.limits.clone())?;
            info!(file = %record.file.display(), "requests are recorded");
            Some(Recording::new(recorder))
        }
        None => None,
    };
    let told = (before.bans, before.has_left, before.discovery_address);
    let (fleet, told_by_fleet) = match &operator.fleet {
        Some(settings) => {
            let (fleet, told) = FleetHandle::start(settings.clone(), &config.name)?;
            (Some(fleet), Some(told))
        }
        None => (None, None),
    };
    let service = OperatorService::new(
        &limits,
        notices.clone(),
        is_ready.clone(),
        dir.clone(),
        told,
        (
            fleet.clone(),
            operator
                .fleet
                .as_ref()
                .is_some_and(|fleet| fleet.maintenance.is_some()),
        ),
    );
    service.set_predecessor_present(before.predecessor.is_some());
    let engine_too = notices.clone();
    let shared = SharedState::new(
        &in_force,
        &limits,
        descriptors,
        engine_too,
        is_ready,
        service.clone(),
        recording,
    );
    let engine = tokio::task::spawn_local(engine.run(inbox, known.rows, ready.clone()));
    let mut shift = None;
    if let (Some(settings), Some(fleet), Some(told)) = (&operator.fleet, fleet, told_by_fleet) {
        shift = MaintenanceAgent::new(
            settings,
            &config.name,
            (fleet.clone(), told.machine_lists),
            notices.clone(),
            service.clone(),
        );
        let counted = Allowances::new(
            settings,
            (fleet, told.budget_updates),
            notices.clone(),
            in_force.clone(),
            service.clone(),
        );
        if let Some(mut allowances) = counted {
            allowances.send_initial().await;
            tokio::task::spawn_local(allowances.run());
        }
    }
    let ReloadUpdates {
        discovery_address: discovery,
        sources,
    } = reloaded;
    match weighed {
        true => {
            let sources =
                sources::watch_sources(sources, discovery, limits.clone(), notices.clone());
            tokio::task::spawn_local(sources);
        }
        false => {
            let watch = discovery::watch(
                discovery,
                limits.clone(),
                ListDelivery::Direct,
                since,
                notices.clone(),
            );
            tokio::task::spawn_local(watch);
        }
    }
    tokio::task::spawn_local(reload.run(service.clone()));
    if let Some(at) = config.management {
        let named =
            |error: io::Error| io::Error::new(error.kind(), format!("management {at}: {error}"));
        let listener =
            retry_on_exhaustion(limits.listen_timeout, limits.dial_retry_interval, || {
                handover::listen(at, false, &limits)
            });
        let listener = listener.await.map_err(named)?;
        info!(%at, "operators are heard");
        let calls = management::accept_callers(listener, limits.clone(), service.clone());
        tokio::task::spawn_local(calls);
    }
    let (accepting, is_accepting) = watch::channel(true);
    let side = Rc::new(HandoverContext {
        shared: shared.clone(),
        accepting,
    });
    if let Some(shift) = &mut shift {
        shift.start(out, before.predecessor.is_some()).await;
    }
    if let Some(elder) = before.predecessor {
        let succeed = elder.start_session(side.clone());
        // Without discovery's own list in time the last known one must do, as at any start.
        let mut listed = ready.subscribe();
        let _ = timeout(
            limits.successor_list_timeout,
            listed.wait_for(|listed| *listed),
        )
        .await;
        ready.send_replace(true);
        succeed().await;
        if let Some(shift) = &mut shift {
            shift.reload_state().await;
        }
    }
    if let Some(shift) = shift {
        tokio::task::spawn_local(shift.run());
    }
    tokio::task::spawn_local(acceptor::accept_clients(
        listener.clone(),
        is_accepting,
        shared,
    ));
    service.set_process_state(ProcessState::Serving);
    if let Some(dir) = dir {
        tokio::task::spawn_local(handover::serve_successors(dir, listener, side.clone()));
    }
    let longest = || in_force.get().longest_deadline;
    let close = || {
        side.accepting.send_replace(false);
    };
    let held = (requests, first_lines, close);
    let ended = shutdown::drain_on_termination(signals, limits, held, notices, longest, &service);
    tokio::select! {
        ended = ended => ended,
        // Only a panic in the module ends it.
        ended = engine => Err(io::Error::other(format!("the engine has ended: {ended:?}"))),
    }
}

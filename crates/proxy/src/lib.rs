//! The program `violetwind`: one balancer on real sockets. The decision module (`crates/balancer`) makes the decisions;
//! this program reads the sockets, passes events to the module and executes its actions.
//!
//! A client's connection passes the stages `acceptor`, `admission`, `route`, `attempt` and `relay`; from `route` on, a
//! `request_tracker` accompanies it.
//! Only the engine (`crates/engine`) has access to the module.

pub mod acceptor;
pub mod admission;
pub mod attempt;
pub mod catalogue_command;
pub mod cli;
pub mod config;
pub mod discovery;
pub mod fleet;
pub mod handover;
pub mod held_command;
pub mod limits;
pub mod line_protocol;
pub mod load_classifier;
pub mod log_throttle;
pub mod logging;
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
use std::sync::Arc;

use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tracing::{info, warn};
use violetwind_engine::{Clock, Engine, EngineConfig};
use violetwind_net::retry_on_exhaustion;
use violetwind_output::{BackgroundWriter, console, parse_arguments, print_error};
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
use crate::logging::init_logging;
use crate::operator_config::{ConfigLayers, OperatorConfig};
use crate::operator_service::{OperatorService, ProcessState};
use crate::pending_slots::PendingSlots;
use crate::probe::ProberPool;
use crate::recording::Recording;
use crate::reload::{ReloadUpdates, Reloader};
use crate::signals::Signals;

/// Runs the program with the arguments of the process and returns its exit code.
pub fn run_cli() -> ExitCode {
    let cli: Cli = match parse_arguments() {
        Ok(cli) => cli,
        Err(code) => return code,
    };
    let layers = match cli.execute() {
        CliOutcome::Run(layers) => layers,
        CliOutcome::Exit(code) => return code,
    };
    let operator = match layers.load() {
        Ok(operator) => Rc::new(operator),
        Err(problems) => {
            for problem in problems {
                print_error!("violetwind: {problem}");
            }
            return ExitCode::FAILURE;
        }
    };
    let code = match run(operator, layers) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error!("violetwind: {error}");
            ExitCode::FAILURE
        }
    };
    console::flush_errors();
    code
}

/// Runs the proxy on a single-threaded runtime until it ends.
fn run(operator: Rc<OperatorConfig>, layers: ConfigLayers) -> io::Result<()> {
    let log = init_logging(&operator)?;
    let config = Rc::new(Config::from_env().map_err(io::Error::other)?);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = tokio::task::LocalSet::new();
    let result = tasks.block_on(&runtime, serve(config, operator, layers, log));
    // Tasks that still run end with the process.
    runtime.shutdown_background();
    result
}

/// Sets up all parts of the proxy and serves until the shutdown is complete.
async fn serve(
    config: Rc<Config>,
    operator: Rc<OperatorConfig>,
    layers: ConfigLayers,
    log: Arc<BackgroundWriter>,
) -> io::Result<()> {
    // The handlers are installed first, because an unhandled signal would kill the process.
    let hangup_signals = Signals::hangup()?;
    let termination_signals = Signals::termination()?;
    let mut limits = Limits::new(&*config);
    operator.apply_limits(&mut limits);
    let limits = Rc::new(limits);
    let (engine_sender, engine_events) = mpsc::channel(limits.engine.max_queued_events);
    let active_config = ActiveConfig::new(config.clone());
    let reloader_events = engine_sender.clone();
    let (reloader, reload_updates) = Reloader::new(
        hangup_signals,
        active_config.clone(),
        operator.clone(),
        layers,
        reloader_events,
    );
    let request_descriptors = DescriptorPool::new(limits.request_descriptors);
    let pending_slots = PendingSlots::new(&limits, limits.max_pending_slots);
    // The directory of the files and sockets that outlive this process in an upgrade. Without an address for operators
    // there are none.
    let state_dir = std::env::var_os("TMPDIR").filter(|path| !path.is_empty());
    let state_dir = state_dir
        .map(PathBuf::from)
        .filter(|_| config.management.is_some());
    let mut inherited = InheritedState::find(state_dir.as_deref(), config.listen, &limits).await;
    let listener = match inherited.listener.take() {
        Some(listener) => listener,
        None => retry_on_exhaustion(limits.listen_timeout, limits.dial_retry_interval, || {
            handover::listen(config.listen, state_dir.is_some(), &limits)
        })
        .await
        .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", config.listen)))?,
    };
    let listener = Rc::new(listener);
    if let Some(address) = inherited.discovery_address {
        reloader.set_discovery_address(address);
    }
    info!(name = config.name, listen = %config.listen, memory_mb = config.memory_mb,
        descriptors = limits.request_descriptors, first_lines = limits.max_pending_slots, "start");
    let settings = config.settings.clone();
    let collect_reports = config.load_report_source != LoadReportSource::Disabled
        && !settings.report_fields.is_empty();
    let uses_catalogue = !operator.sources.is_empty();
    let maintenance_settings = operator
        .fleet
        .as_ref()
        .and_then(|fleet| fleet.maintenance.as_ref());
    let machines_out = maintenance_settings.and_then(|settings| {
        maintenance::load_state(&settings.state_file, settings.max_state_file_bytes)
    });
    // If this proxy's own machine is out, the proxy is out of use as well, before its first client connects.
    let own_machine_out = machines_out
        .as_ref()
        .is_some_and(|machines_out| maintenance::is_proxy_machine_out(machines_out, &config.name));
    inherited.has_left |= own_machine_out;
    let setup = EngineConfig {
        settings,
        seed: config.seed,
        names: config.names.clone(),
        limits: limits.engine.clone(),
        catalogue_limits: uses_catalogue.then(|| operator.catalogue_limits.clone()),
        service_limits: limits.service.clone(),
        bans: inherited.bans.clone(),
        has_left: inherited.has_left,
        machines: operator.machines(),
    };
    let probes = ProberPool::new(limits.clone(), collect_reports, engine_sender.clone());
    let engine = Engine::new(setup, Clock::new(), probes);
    let last_list = match discovery::parse_list(config.last_known_list(), &limits) {
        Ok(list) => list,
        Err(error) => {
            warn!(%error, "the list from the last run is invalid");
            discovery::DiscoveryList::default()
        }
    };
    // Later changes can only be applied if the last run's list is a snapshot.
    let list_version =
        (last_list.is_snapshot && !last_list.rows.is_empty()).then_some(last_list.version);
    // A successor requests the whole list, because changes that its predecessor has received apply to it too.
    let list_version = list_version.filter(|_| inherited.predecessor.is_none());
    // The engine uses the last run's list from the start. If changes can be applied to that list, the proxy also counts
    // as ready at once: when many proxies restart together, discovery may not answer for seconds.
    let (list_ready, list_ready_receiver) = watch::channel(list_version.is_some());
    let list_ready = Rc::new(list_ready);
    let descriptors = (request_descriptors.clone(), pending_slots.clone());
    let recording = match &operator.recording {
        Some(record) => {
            let classes = config.class_names();
            let recorder = Recorder::start(&record.file, classes, record.limits.clone())?;
            info!(file = %record.file.display(), "recording requests");
            Some(Recording::new(recorder))
        }
        None => None,
    };
    let inherited_state = (
        inherited.bans,
        inherited.has_left,
        inherited.discovery_address,
    );
    let (fleet, fleet_updates) = match &operator.fleet {
        Some(settings) => {
            let (fleet, updates) = FleetHandle::start(settings.clone(), &config.name)?;
            (Some(fleet), Some(updates))
        }
        None => (None, None),
    };
    let service = OperatorService::new(
        &limits,
        engine_sender.clone(),
        list_ready_receiver.clone(),
        state_dir.clone(),
        inherited_state,
        (
            fleet.clone(),
            operator
                .fleet
                .as_ref()
                .is_some_and(|fleet| fleet.maintenance.is_some()),
        ),
    );
    service.set_log(log);
    service.set_predecessor_present(inherited.predecessor.is_some());
    let connection_events = engine_sender.clone();
    let shared = SharedState::new(
        &active_config,
        &limits,
        descriptors,
        connection_events,
        list_ready_receiver,
        service.clone(),
        recording,
    );
    let engine =
        tokio::task::spawn_local(engine.run(engine_events, last_list.rows, list_ready.clone()));
    let mut maintenance_agent = None;
    if let (Some(settings), Some(fleet), Some(updates)) = (&operator.fleet, fleet, fleet_updates) {
        maintenance_agent = MaintenanceAgent::new(
            settings,
            &config.name,
            (fleet.clone(), updates.machine_lists),
            engine_sender.clone(),
            service.clone(),
        );
        let allowances = Allowances::new(
            settings,
            (fleet, updates.budget_updates),
            engine_sender.clone(),
            active_config.clone(),
            service.clone(),
        );
        if let Some(mut allowances) = allowances {
            allowances.send_initial().await;
            tokio::task::spawn_local(allowances.run());
        }
    }
    let ReloadUpdates {
        requester: reload_requester,
        discovery_address: discovery,
        sources,
    } = reload_updates;
    match uses_catalogue {
        true => {
            let sources =
                sources::watch_sources(sources, discovery, limits.clone(), engine_sender.clone());
            tokio::task::spawn_local(sources);
        }
        false => {
            let watch = discovery::watch(
                discovery,
                limits.clone(),
                ListDelivery::Direct,
                list_version,
                engine_sender.clone(),
            );
            tokio::task::spawn_local(watch);
        }
    }
    tokio::task::spawn_local(reloader.run(service.clone()));
    let (accepting, is_accepting) = watch::channel(true);
    let handover_context = Rc::new(HandoverContext {
        shared: shared.clone(),
        accepting,
        reload_requester: reload_requester.clone(),
    });
    let has_predecessor = inherited.predecessor.is_some();
    // Operators are heard only once the predecessor is told of their changes.
    let complete_handover =
        (inherited.predecessor).map(|predecessor| predecessor.start_session(&handover_context));
    if let Some(address) = config.management {
        let add_address = |error: io::Error| {
            io::Error::new(error.kind(), format!("management {address}: {error}"))
        };
        let listener =
            retry_on_exhaustion(limits.listen_timeout, limits.dial_retry_interval, || {
                handover::listen(address, false, &limits)
            });
        let listener = listener.await.map_err(add_address)?;
        info!(at = %address, "operators are heard");
        let calls = management::accept_callers(listener, limits.clone(), service.clone());
        tokio::task::spawn_local(calls);
    }
    if let Some(agent) = &mut maintenance_agent {
        agent.start(machines_out, has_predecessor).await;
    }
    if let Some(complete_handover) = complete_handover {
        // This process read its files before the predecessor began to tell it of reloads.
        reload_requester.reload_if_changed().await;
        // If no list comes from discovery in time, the last known list is used, as at any other start.
        let mut list_received = list_ready.subscribe();
        let _ = timeout(
            limits.successor_list_timeout,
            list_received.wait_for(|received| *received),
        )
        .await;
        list_ready.send_replace(true);
        complete_handover().await;
        // A predecessor of an earlier build does not tell of its reloads.
        reload_requester.reload_if_changed().await;
        if let Some(agent) = &mut maintenance_agent {
            agent.reload_state().await;
        }
    }
    if let Some(agent) = maintenance_agent {
        tokio::task::spawn_local(agent.run());
    }
    tokio::task::spawn_local(acceptor::accept_clients(
        listener.clone(),
        is_accepting,
        shared,
    ));
    service.set_process_state(ProcessState::Serving);
    if let Some(state_dir) = state_dir {
        tokio::task::spawn_local(handover::serve_successors(
            state_dir,
            listener,
            handover_context.clone(),
        ));
    }
    let longest_deadline = || active_config.get().longest_deadline;
    let stop_accepting = || {
        handover_context.accepting.send_replace(false);
    };
    let drained = (request_descriptors, pending_slots, stop_accepting);
    let ended = shutdown::drain_on_termination(
        termination_signals,
        limits,
        drained,
        engine_sender,
        longest_deadline,
        &service,
    );
    tokio::select! {
        ended = ended => ended,
        // The engine ends before the process only if the module panics.
        ended = engine => Err(io::Error::other(format!("the engine has ended: {ended:?}"))),
    }
}

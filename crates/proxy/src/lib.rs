//! The program `violetwind`: one balancer on real sockets. The decisions are the module's
//! (`crates/balancer`); this program reads sockets, tells the module and does what it says.
//!
//! A client's connection passes the stages `take_in`, `admit`, `route`, `send`, `relay` and
//! `book`. The engine (`crates/engine`) alone owns the module.

pub mod admit;
pub mod asking;
pub mod book;
pub mod cli;
pub mod config;
pub mod discovery;
pub mod first_lines;
pub mod fleet;
pub mod handover;
pub mod limits;
pub mod line;
pub mod management;
pub mod notes;
pub mod operator;
pub mod probe;
pub mod recording;
pub mod relay;
pub mod reload;
pub mod repeats;
pub mod ring;
pub mod route;
pub mod send;
pub mod service;
pub mod show;
pub mod shutdown;
pub mod signals;
pub mod sources;
pub mod staff;
pub mod take_in;

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

use crate::cli::{Cli, Wanted};
use crate::config::{Config, InForce, Reports};
use crate::discovery::Tells;
use crate::first_lines::FirstLines;
use crate::fleet::Fleet;
use crate::fleet::allowances::Allowances;
use crate::fleet::shift::{self, Shift};
use crate::handover::{Before, Side};
use crate::limits::{Descriptors, Limits};
use crate::operator::{Layers, Operator};
use crate::probe::Probes;
use crate::recording::Recording;
use crate::reload::{Reload, Reloaded};
use crate::service::{Service, Stand};
use crate::signals::Signals;
use crate::take_in::Shared;

/// The program, from its arguments to its exit code.
pub fn program() -> ExitCode {
    let layers = match Cli::parse().carry_out() {
        Wanted::Run(layers) => layers,
        Wanted::Done(code) => return code,
    };
    let operator = match layers.read() {
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
fn log_to_stderr(operator: &Operator) {
    let level = std::env::var("VIOLETWIND_LOG").ok();
    let level = level.and_then(|level| level.parse().ok());
    let log = tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(operator.level))
        .with_writer(io::stderr)
        .with_ansi(false)
        .with_target(false);
    match operator.json {
        true => log.json().flatten_event(true).init(),
        false => log.init(),
    }
}

fn run(config: Rc<Config>, operator: Rc<Operator>, layers: Layers) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = tokio::task::LocalSet::new();
    let result = tasks.block_on(&runtime, serve(config, operator, layers));
    // Whatever still runs ends with the process.
    runtime.shutdown_background();
    result
}

async fn serve(config: Rc<Config>, operator: Rc<Operator>, layers: Layers) -> io::Result<()> {
    // First of all: a signal that nobody catches kills the program.
    let hangups = Signals::hangup()?;
    let signals = Signals::termination()?;
    let mut limits = Limits::new(&*config);
    operator.limit(&mut limits);
    let limits = Rc::new(limits);
    let (notices, inbox) = mpsc::channel(limits.engine.max_queued_events);
    let in_force = InForce::new(config.clone());
    let engine_too = notices.clone();
    let (reload, reloaded) = Reload::new(
        hangups,
        in_force.clone(),
        operator.clone(),
        layers,
        engine_too,
    );
    let requests = Descriptors::new(limits.descriptors);
    let first_lines = FirstLines::new(&limits, limits.first_lines);
    // What outlives this process in an upgrade; without an address for operators there is none.
    let dir = std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty());
    let dir = dir
        .map(PathBuf::from)
        .filter(|_| config.management.is_some());
    let mut before = Before::find(dir.as_deref(), config.listen, &limits).await;
    let listener = match before.listener.take() {
        Some(listener) => listener,
        None => retry_on_exhaustion(limits.listen_within, limits.dial_retry, || {
            handover::listen(config.listen, dir.is_some(), &limits)
        })
        .await
        .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", config.listen)))?,
    };
    let listener = Rc::new(listener);
    if let Some(at) = before.discovery {
        reload.moved(at);
    }
    info!(name = config.name, listen = %config.listen, memory_mb = config.memory_mb,
        descriptors = limits.descriptors, first_lines = limits.first_lines, "start");
    let settings = config.settings.clone();
    let reports = config.reports != Reports::Nowhere && !settings.report_fields.is_empty();
    let weighed = !operator.sources.is_empty();
    let work = operator
        .fleet
        .as_ref()
        .and_then(|fleet| fleet.work.as_ref());
    let out = work.and_then(|work| shift::kept(&work.file, work.file_bytes));
    // With its machine this proxy is out, from before its first client.
    let own_out = out
        .as_ref()
        .is_some_and(|out| shift::is_out(out, &config.name));
    before.left |= own_out;
    let setup = EngineConfig {
        settings,
        seed: config.seed,
        names: config.names.clone(),
        limits: limits.engine.clone(),
        catalogue_limits: weighed.then(|| operator.catalogue.clone()),
        service_limits: limits.service.clone(),
        bans: before.bans.clone(),
        has_left: before.left,
        machines: operator.machines(),
    };
    let probes = Probes::new(limits.clone(), reports, notices.clone());
    let engine = Engine::new(setup, Clock::new(), probes);
    let known = match discovery::read_list(config.known(), &limits) {
        Ok(list) => list,
        Err(error) => {
            warn!(%error, "no list from the last run");
            discovery::List::default()
        }
    };
    // Changes since then make a whole list only of one.
    let since = (known.whole && !known.rows.is_empty()).then_some(known.version);
    // A successor asks for the whole list: what the process before was told binds it too.
    let since = since.filter(|_| before.elder.is_none());
    // The last run's list serves at once: in a herd of restarts discovery may not answer for seconds.
    let (ready, is_ready) = watch::channel(since.is_some());
    let ready = Rc::new(ready);
    let descriptors = (requests.clone(), first_lines.clone());
    let recording = match &operator.record {
        Some(record) => {
            let classes = config.class_names();
            let recorder = Recorder::start(&record.file, classes, record.limits.clone())?;
            info!(file = %record.file.display(), "requests are recorded");
            Some(Recording::new(recorder))
        }
        None => None,
    };
    let told = (before.bans, before.left, before.discovery);
    let (fleet, told_by_fleet) = match &operator.fleet {
        Some(settings) => {
            let (fleet, told) = Fleet::start(settings.clone(), &config.name)?;
            (Some(fleet), Some(told))
        }
        None => (None, None),
    };
    let service = Service::new(
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
                .is_some_and(|fleet| fleet.work.is_some()),
        ),
    );
    service.set_elder(before.elder.is_some());
    let engine_too = notices.clone();
    let shared = Shared::new(
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
        shift = Shift::new(
            settings,
            &config.name,
            (fleet.clone(), told.lists),
            notices.clone(),
            service.clone(),
        );
        let counted = Allowances::new(
            settings,
            (fleet, told.parts),
            notices.clone(),
            in_force.clone(),
            service.clone(),
        );
        if let Some(mut allowances) = counted {
            allowances.begin().await;
            tokio::task::spawn_local(allowances.run());
        }
    }
    let Reloaded { discovery, sources } = reloaded;
    match weighed {
        true => {
            let sources = sources::run(sources, discovery, limits.clone(), notices.clone());
            tokio::task::spawn_local(sources);
        }
        false => {
            let watch = discovery::watch(
                discovery,
                limits.clone(),
                Tells::Plain,
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
        let listener = retry_on_exhaustion(limits.listen_within, limits.dial_retry, || {
            handover::listen(at, false, &limits)
        });
        let listener = listener.await.map_err(named)?;
        info!(%at, "operators are heard");
        let calls = management::accept(listener, limits.clone(), service.clone());
        tokio::task::spawn_local(calls);
    }
    let (accepting, is_accepting) = watch::channel(true);
    let side = Rc::new(Side {
        shared: shared.clone(),
        accepting,
    });
    if let Some(shift) = &mut shift {
        shift.begin(out, before.elder.is_some()).await;
    }
    if let Some(elder) = before.elder {
        let succeed = elder.hear(side.clone());
        // Without discovery's own list in time the last known one must do, as at any start.
        let mut listed = ready.subscribe();
        let _ = timeout(limits.successor_list, listed.wait_for(|listed| *listed)).await;
        ready.send_replace(true);
        succeed().await;
        if let Some(shift) = &mut shift {
            shift.again().await;
        }
    }
    if let Some(shift) = shift {
        tokio::task::spawn_local(shift.run());
    }
    tokio::task::spawn_local(take_in::accept(listener.clone(), is_accepting, shared));
    service.set_stand(Stand::Serving);
    if let Some(dir) = dir {
        tokio::task::spawn_local(handover::offer(dir, listener, side.clone()));
    }
    let longest = || in_force.get().longest_deadline;
    let close = || {
        side.accepting.send_replace(false);
    };
    let held = (requests, first_lines, close);
    let ended = shutdown::wait(signals, limits, held, notices, longest, &service);
    tokio::select! {
        ended = ended => ended,
        // Only a panic in the module ends it.
        ended = engine => Err(io::Error::other(format!("the engine has ended: {ended:?}"))),
    }
}

//! Reloads both configuration files on SIGHUP. The platform's file is applied as a whole or not at all: its settings
//! take effect, and discovery is queried at its new address. From the operator's file only the sources of servers
//! are applied.
//!
//! During an upgrade the two processes are one proxy: a process that gets SIGHUP tells the other one, which reloads
//! too. A successor also reads the files again where a signal may have reached only its predecessor.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::{mpsc, oneshot, watch};
use tracing::{info, warn};
use violetwind_engine::EngineEvent;

use crate::config::{ActiveConfig, Config};
use crate::operator_config::{ConfigLayers, OperatorConfig, Source};
use crate::operator_service::OperatorService;
use crate::signals::Signals;

/// Capacity of the queue of reload requests; a sender waits while it is full.
const REQUEST_QUEUE_CAPACITY: usize = 4;

/// Why the files are read again.
#[derive(Debug)]
enum ReloadCause {
    Signal,
    /// The other process of an upgrade, a forward target with this number, got SIGHUP.
    OtherProcess(u64),
    /// A signal may have reached only the predecessor. The reply is sent when the reload is done.
    PossibleSignal(oneshot::Sender<()>),
}

/// Requests reloads that no signal of this process has caused.
#[derive(Clone, Debug)]
pub struct ReloadRequester(mpsc::Sender<ReloadCause>);

impl ReloadRequester {
    /// Requests a reload because the other process of an upgrade, the forward target `id`, got SIGHUP.
    pub async fn reload_with_other_process(&self, id: u64) {
        // The reloader ends only with the process.
        let _ = self.0.send(ReloadCause::OtherProcess(id)).await;
    }

    /// Reloads the files if they have changed since they were last read, and returns when that is done.
    pub async fn reload_if_changed(&self) {
        let (reply, done) = oneshot::channel();
        let _ = self.0.send(ReloadCause::PossibleSignal(reply)).await;
        let _ = done.await;
    }
}

/// Handles SIGHUP while the process runs, including during shutdown.
pub struct Reloader {
    signals: Signals,
    requests: mpsc::Receiver<ReloadCause>,
    /// The configuration at startup, and the current one.
    startup_config: Rc<Config>,
    config: ActiveConfig,
    engine: mpsc::Sender<EngineEvent>,
    operator_config: Rc<OperatorConfig>,
    layers: ConfigLayers,
    discovery_address: watch::Sender<SocketAddr>,
    sources: watch::Sender<Rc<Vec<Source>>>,
}

/// Receivers of the values that a reload may change, and the sender of reload requests.
pub struct ReloadUpdates {
    pub requester: ReloadRequester,
    pub discovery_address: watch::Receiver<SocketAddr>,
    pub sources: watch::Receiver<Rc<Vec<Source>>>,
}

impl Reloader {
    /// Creates the reloader, and the receivers of its updates.
    pub fn new(
        signals: Signals,
        config: ActiveConfig,
        operator_config: Rc<OperatorConfig>,
        layers: ConfigLayers,
        engine: mpsc::Sender<EngineEvent>,
    ) -> (Self, ReloadUpdates) {
        let (discovery_address, discovery_receiver) = watch::channel(config.get().discovery);
        let (source_sender, sources) = watch::channel(Rc::new(operator_config.sources.clone()));
        let (request_sender, requests) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let reloader = Self {
            signals,
            requests,
            startup_config: config.get(),
            config,
            engine,
            operator_config,
            layers,
            discovery_address,
            sources: source_sender,
        };
        (
            reloader,
            ReloadUpdates {
                requester: ReloadRequester(request_sender),
                discovery_address: discovery_receiver,
                sources,
            },
        )
    }

    /// Sets the discovery address that a reload in the predecessor process had set.
    pub fn set_discovery_address(&self, address: SocketAddr) {
        self.discovery_address.send_replace(address);
    }

    /// Reloads on each signal and request. Several signals in quick succession may cause a single reload, which
    /// applies the latest contents of the files.
    pub async fn run(mut self, service: Rc<OperatorService>) {
        loop {
            let cause = tokio::select! {
                () = self.signals.recv() => ReloadCause::Signal,
                Some(cause) = self.requests.recv() => cause,
            };
            match cause {
                // The other process is told first: this one may be killed at any moment.
                ReloadCause::Signal => service.announce_reload(None),
                ReloadCause::OtherProcess(id) => service.announce_reload(Some(id)),
                ReloadCause::PossibleSignal(_) => {}
            }
            let only_if_changed = matches!(cause, ReloadCause::PossibleSignal(_));
            self.reload_platform_config(&service, only_if_changed).await;
            self.reload_operator_config();
            if let ReloadCause::PossibleSignal(reply) = cause {
                // Whoever asked may no longer wait.
                let _ = reply.send(());
            }
        }
    }

    /// Reloads the platform's file. The settings are sent to the engine before the new configuration is activated, so
    /// that no request of a new class reaches the engine before the class itself.
    async fn reload_platform_config(&self, service: &OperatorService, only_if_changed: bool) {
        let old = self.config.get();
        let new = match old.reread() {
            Ok(new) => Rc::new(new),
            Err(error) => return warn!(%error, "reload: the configuration stays as it was"),
        };
        // `NODE_DISCOVERY` stays in force until a file replaces the one that was read beside it.
        if only_if_changed && old.has_same_file(&new) {
            return;
        }
        let restart = self.startup_config.keys_needing_restart(&new);
        if !restart.is_empty() {
            warn!(?restart, "reload: these changes need a restart");
        }
        let settings_unchanged = old.has_same_settings(&new);
        if !settings_unchanged {
            let event = EngineEvent::Settings(Box::new(new.settings.clone()), new.names.clone());
            if self.engine.send(event).await.is_err() {
                return;
            }
        }
        let moved = self
            .discovery_address
            .send_if_modified(|discovery_address| {
                std::mem::replace(discovery_address, new.discovery) != new.discovery
            });
        if moved {
            service.set_discovery_override(new.discovery);
        }
        info!(discovery = %new.discovery, moved, settings = !settings_unchanged, "reload");
        self.config.set(new);
    }

    /// Reloads the operator's file and applies its sources.
    fn reload_operator_config(&self) {
        let new = match self.layers.load() {
            Ok(new) => new,
            Err(problems) => {
                for problem in problems {
                    warn!(%problem, "reload: the operator's file stays as it was");
                }
                return;
            }
        };
        let restart = self.operator_config.sections_needing_restart(&new);
        if !restart.is_empty() {
            warn!(?restart, "reload: these sections need a restart");
        }
        // Whether the servers pass through a catalogue is decided once, at startup.
        if new.sources.is_empty() != self.operator_config.sources.is_empty() {
            return;
        }
        self.sources.send_if_modified(|sources| {
            let changed = **sources != new.sources;
            *sources = Rc::new(new.sources);
            changed
        });
    }
}

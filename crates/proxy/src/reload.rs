//! Reloads both configuration files on SIGHUP. The platform's file is applied as a whole or not at all: its settings
//! take effect, and discovery is queried at its new address. From the operator's file only the sources of servers
//! are applied.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::{mpsc, watch};
use tracing::{info, warn};
use violetwind_engine::EngineEvent;

use crate::config::{ActiveConfig, Config};
use crate::operator_config::{ConfigLayers, OperatorConfig, Source};
use crate::operator_service::OperatorService;
use crate::signals::Signals;

/// Handles SIGHUP while the process runs, including during shutdown.
pub struct Reloader {
    signals: Signals,
    /// The configuration at startup, and the current one.
    startup_config: Rc<Config>,
    config: ActiveConfig,
    engine: mpsc::Sender<EngineEvent>,
    operator_config: Rc<OperatorConfig>,
    layers: ConfigLayers,
    discovery_address: watch::Sender<SocketAddr>,
    sources: watch::Sender<Rc<Vec<Source>>>,
}

/// Receivers of the values that a reload may change.
pub struct ReloadUpdates {
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
        let reloader = Self {
            signals,
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
                discovery_address: discovery_receiver,
                sources,
            },
        )
    }

    /// Sets the discovery address that a reload in the predecessor process had set.
    pub fn set_discovery_address(&self, address: SocketAddr) {
        self.discovery_address.send_replace(address);
    }

    /// Reloads on each signal. Several signals in quick succession may cause a single reload, which applies the
    /// latest contents of the files.
    pub async fn run(self, service: Rc<OperatorService>) {
        loop {
            self.signals.recv().await;
            self.reload_platform_config(&service).await;
            self.reload_operator_config();
        }
    }

    /// Reloads the platform's file. The settings are sent to the engine before the new configuration is activated, so
    /// that no request of a new class reaches the engine before the class itself.
    async fn reload_platform_config(&self, service: &OperatorService) {
        let old = self.config.get();
        let new = match old.reread() {
            Ok(new) => Rc::new(new),
            Err(error) => return warn!(%error, "reload: the configuration stays as it was"),
        };
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

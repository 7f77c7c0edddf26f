//! SIGHUP: reads both files again. The platform's is taken whole or not at all: settings hold from then on,
//! discovery is asked where it says; and servers come from the sources that the operator's now names.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::{mpsc, watch};
use tracing::{info, warn};
use violetwind_engine::EngineEvent;

use crate::config::{ActiveConfig, Config};
use crate::operator_config::{ConfigLayers, OperatorConfig, Source};
use crate::operator_service::OperatorService;
use crate::signals::Signals;

/// Serves SIGHUP for as long as the process runs, also while it shuts down.
pub struct Reloader {
    signals: Signals,
    /// What the program was started by, and what it runs by.
    start: Rc<Config>,
    config: ActiveConfig,
    engine: mpsc::Sender<EngineEvent>,
    operator: Rc<OperatorConfig>,
    layers: ConfigLayers,
    address: watch::Sender<SocketAddr>,
    sources: watch::Sender<Rc<Vec<Source>>>,
}

/// What a reload may change.
pub struct ReloadUpdates {
    pub discovery_address: watch::Receiver<SocketAddr>,
    pub sources: watch::Receiver<Rc<Vec<Source>>>,
}

impl Reloader {
    pub fn new(
        signals: Signals,
        config: ActiveConfig,
        operator: Rc<OperatorConfig>,
        layers: ConfigLayers,
        engine: mpsc::Sender<EngineEvent>,
    ) -> (Self, ReloadUpdates) {
        let (address, discovery) = watch::channel(config.get().discovery);
        let (tell, sources) = watch::channel(Rc::new(operator.sources.clone()));
        let reload = Self {
            signals,
            start: config.get(),
            config,
            engine,
            operator,
            layers,
            address,
            sources: tell,
        };
        (
            reload,
            ReloadUpdates {
                discovery_address: discovery,
                sources,
            },
        )
    }

    /// Where discovery was moved to before this process started.
    pub fn set_discovery_address(&self, at: SocketAddr) {
        self.address.send_replace(at);
    }

    /// Signals that come in a row count as one: what counts is what the files say last.
    pub async fn run(self, service: Rc<OperatorService>) {
        loop {
            self.signals.recv().await;
            self.platform(&service).await;
            self.operators();
        }
    }

    /// What the module is told goes first: a request under a new class must not come before it.
    async fn platform(&self, service: &OperatorService) {
        let old = self.config.get();
        let new = match old.reread() {
            Ok(new) => Rc::new(new),
            Err(error) => return warn!(%error, "reload: the configuration stays as it was"),
        };
        let restart = self.start.keys_needing_restart(&new);
        if !restart.is_empty() {
            warn!(?restart, "reload: these changes need a restart");
        }
        let settings = old.has_same_settings(&new);
        if !settings {
            let notice = EngineEvent::Settings(Box::new(new.settings.clone()), new.names.clone());
            if self.engine.send(notice).await.is_err() {
                return;
            }
        }
        let moved = self
            .address
            .send_if_modified(|address| std::mem::replace(address, new.discovery) != new.discovery);
        if moved {
            service.set_discovery_override(new.discovery);
        }
        info!(discovery = %new.discovery, moved, settings = !settings, "reload");
        self.config.set(new);
    }

    fn operators(&self) {
        let new = match self.layers.load() {
            Ok(new) => new,
            Err(problems) => {
                for problem in problems {
                    warn!(%problem, "reload: the operator's file stays as it was");
                }
                return;
            }
        };
        let restart = self.operator.sections_needing_restart(&new);
        if !restart.is_empty() {
            warn!(?restart, "reload: these sections need a restart");
        }
        // Whether a catalogue stands between is settled at the start.
        if new.sources.is_empty() != self.operator.sources.is_empty() {
            return;
        }
        self.sources.send_if_modified(|sources| {
            let changed = **sources != new.sources;
            *sources = Rc::new(new.sources);
            changed
        });
    }
}

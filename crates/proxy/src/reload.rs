//! SIGHUP: reads both files again. Discovery is asked where the platform's now says, and servers come
//! from the sources that the operator's now names.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tracing::{info, warn};

use crate::config::Config;
use crate::operator::{Layers, Operator, Source};
use crate::service::Service;

/// Serves SIGHUP for as long as the process runs, also while it shuts down.
pub struct Reload {
    signals: Signal,
    /// What the program runs by.
    config: Rc<Config>,
    operator: Rc<Operator>,
    layers: Layers,
    address: watch::Sender<SocketAddr>,
    sources: watch::Sender<Rc<Vec<Source>>>,
}

/// What a reload may change.
pub struct Reloaded {
    pub discovery: watch::Receiver<SocketAddr>,
    pub sources: watch::Receiver<Rc<Vec<Source>>>,
}

impl Reload {
    /// From here on the signal is caught.
    pub fn new(
        config: Rc<Config>,
        operator: Rc<Operator>,
        layers: Layers,
    ) -> std::io::Result<(Self, Reloaded)> {
        let (address, discovery) = watch::channel(config.discovery);
        let (tell, sources) = watch::channel(Rc::new(operator.sources.clone()));
        let reload = Self {
            signals: signal(SignalKind::hangup())?,
            config,
            operator,
            layers,
            address,
            sources: tell,
        };
        Ok((reload, Reloaded { discovery, sources }))
    }

    /// Where discovery was moved to before this process started.
    pub fn moved(&self, at: SocketAddr) {
        self.address.send_replace(at);
    }

    /// Signals that come in a row count as one: what counts is what the files say last.
    pub async fn run(mut self, service: Rc<Service>) {
        while self.signals.recv().await.is_some() {
            self.platform(&service);
            self.operators();
        }
    }

    fn platform(&self, service: &Service) {
        let new = match Config::again() {
            Ok(new) => new,
            Err(error) => return warn!(%error, "reload: the configuration stays as it was"),
        };
        let restart = self.config.restart_needed(&new);
        if !restart.is_empty() {
            warn!(?restart, "reload: these changes need a restart");
        }
        let moved = self
            .address
            .send_if_modified(|address| std::mem::replace(address, new.discovery) != new.discovery);
        if moved {
            service.set_moved_discovery(new.discovery);
        }
        info!(discovery = %new.discovery, moved, "reload");
    }

    fn operators(&self) {
        let new = match self.layers.read() {
            Ok(new) => new,
            Err(problems) => {
                for problem in problems {
                    warn!(%problem, "reload: the operator's file stays as it was");
                }
                return;
            }
        };
        let restart = self.operator.restart_needed(&new);
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

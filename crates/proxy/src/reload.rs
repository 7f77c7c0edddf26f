//! SIGHUP: reads the configuration's file again, and has discovery asked where that now says.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tracing::{info, warn};

use crate::config::Config;

/// Serves SIGHUP for as long as the process runs, also while it shuts down.
pub struct Reload {
    signals: Signal,
    /// What the program runs by.
    config: Rc<Config>,
    address: watch::Sender<SocketAddr>,
}

impl Reload {
    /// From here on the signal is caught. The other half tells where discovery is.
    pub fn new(config: Rc<Config>) -> std::io::Result<(Self, watch::Receiver<SocketAddr>)> {
        let (address, discovery) = watch::channel(config.discovery);
        let reload = Self {
            signals: signal(SignalKind::hangup())?,
            config,
            address,
        };
        Ok((reload, discovery))
    }

    /// Signals that come in a row count as one: what counts is what the file says last.
    pub async fn run(mut self) {
        while self.signals.recv().await.is_some() {
            self.reload();
        }
    }

    fn reload(&self) {
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
        info!(discovery = %new.discovery, moved, "reload");
    }
}

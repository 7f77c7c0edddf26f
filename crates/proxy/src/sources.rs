//! Starts and stops the tasks that watch the sources of servers, at startup and after reloads.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tracing::info;
use violetwind_engine::EngineEvent;

use crate::discovery::{self, ListDelivery};
use crate::limits::Limits;
use crate::operator_config::{Source, SourceKind};

/// A running watch of a source, or of one data center of a source.
struct RunningWatch {
    source: Source,
    datacenter: Option<String>,
    /// The name of the watch in the catalogue.
    name: Rc<str>,
    task: AbortHandle,
}

impl Drop for RunningWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts and stops watches as the configured sources change. A source with any change in its settings is a new
/// source to the catalogue, so that its old list stays in force until the new one has arrived.
pub async fn watch_sources(
    mut sources: watch::Receiver<Rc<Vec<Source>>>,
    discovery: watch::Receiver<SocketAddr>,
    limits: Rc<Limits>,
    engine: mpsc::Sender<EngineEvent>,
) {
    let mut running: Vec<RunningWatch> = Vec::new();
    let mut generation = 0;
    loop {
        let configured = sources.borrow_and_update().clone();
        generation += 1;
        let mut still_running = Vec::new();
        let mut start_senders = Vec::new();
        for (source, datacenter) in configured.iter().flat_map(list_watches) {
            let is_same =
                |watch: &RunningWatch| watch.source == *source && watch.datacenter == datacenter;
            if let Some(index) = running.iter().position(is_same) {
                still_running.push(running.swap_remove(index));
                continue;
            }
            let name = watch_name(source, datacenter.as_deref(), generation);
            let (start_sender, start_receiver) = tokio::sync::oneshot::channel::<()>();
            let watch = create_watch(
                source,
                datacenter.clone(),
                &name,
                &discovery,
                &limits,
                &engine,
            );
            let task = tokio::task::spawn_local(async move {
                // No update is sent before the engine has received the name of the source.
                if start_receiver.await.is_ok() {
                    watch.await;
                }
            });
            start_senders.push(start_sender);
            still_running.push(RunningWatch {
                source: source.clone(),
                datacenter,
                name,
                task: task.abort_handle(),
            });
        }
        // Watches that are no longer configured are dropped here, which stops them.
        running = still_running;
        let names: Vec<Rc<str>> = running.iter().map(|watch| watch.name.clone()).collect();
        info!(?names, "sources");
        if engine.send(EngineEvent::Sources(names)).await.is_err() {
            return;
        }
        for start_sender in start_senders {
            // Fails only if the watch task has already ended.
            let _ = start_sender.send(());
        }
        if sources.changed().await.is_err() {
            // No more reloads will come; the watches keep running.
            return std::future::pending().await;
        }
    }
}

/// Returns the watches that a source needs: one for each data center.
fn list_watches(source: &Source) -> Vec<(&Source, Option<String>)> {
    match &source.kind {
        SourceKind::Consul(settings) if !settings.datacenters.is_empty() => {
            let datacenters = settings.datacenters.iter();
            datacenters
                .map(|datacenter| (source, Some(datacenter.clone())))
                .collect()
        }
        _ => vec![(source, None)],
    }
}

/// Returns the name of a watch in the catalogue: `NAME` or `NAME/DATACENTER`, followed by `#GENERATION` if the watch
/// was started by a reload.
fn watch_name(source: &Source, datacenter: Option<&str>, generation: u64) -> Rc<str> {
    let mut name = source.name.clone();
    if let Some(datacenter) = datacenter {
        name = format!("{name}/{datacenter}");
    }
    if generation > 1 {
        name = format!("{name}#{generation}");
    }
    name.into()
}

type Watch = std::pin::Pin<Box<dyn Future<Output = ()>>>;

/// Creates the future that watches a source.
fn create_watch(
    source: &Source,
    datacenter: Option<String>,
    name: &Rc<str>,
    discovery: &watch::Receiver<SocketAddr>,
    limits: &Rc<Limits>,
    engine: &mpsc::Sender<EngineEvent>,
) -> Watch {
    let (name, engine) = (name.clone(), engine.clone());
    match &source.kind {
        SourceKind::Consul(settings) => Box::pin(violetwind_consul::watch_service(
            settings.clone(),
            datacenter,
            name,
            engine,
        )),
        SourceKind::Registry { address, zones } => {
            let delivery = ListDelivery::Catalogue(name, zones.clone());
            let limits = limits.clone();
            let (address, mut platform) = (*address, discovery.clone());
            Box::pin(async move {
                // The source's own address never changes; the platform's may change at a reload.
                let own_address = watch::channel(address.unwrap_or(*platform.borrow_and_update()));
                let watched_address = if address.is_some() {
                    own_address.1
                } else {
                    platform
                };
                // Without a known version: the catalogue accepts changes only after a whole list from the same source.
                discovery::watch(watched_address, limits, delivery, None, engine).await;
                drop(own_address.0);
            })
        }
    }
}

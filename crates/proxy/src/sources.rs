//! The tasks that ask sources of servers, and which of them run after a reload.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tracing::info;
use violetwind_engine::EngineEvent;

use crate::discovery::{self, ListDelivery};
use crate::limits::Limits;
use crate::operator_config::{Source, SourceKind};

/// One watch that runs: a source, or a data centre of one.
struct Running {
    source: Source,
    datacenter: Option<String>,
    /// The name under which the catalogue knows it.
    name: Rc<str>,
    task: AbortHandle,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts and ends watches as the sources change. A source that changes in anything is a new one to the
/// catalogue, so that its old words stand until the new ones have come.
pub async fn watch_sources(
    mut sources: watch::Receiver<Rc<Vec<Source>>>,
    discovery: watch::Receiver<SocketAddr>,
    limits: Rc<Limits>,
    engine: mpsc::Sender<EngineEvent>,
) {
    let mut running: Vec<Running> = Vec::new();
    let mut generation = 0;
    loop {
        let wanted = sources.borrow_and_update().clone();
        generation += 1;
        let mut next = Vec::new();
        let mut new = Vec::new();
        for (source, datacenter) in wanted.iter().flat_map(watches) {
            let same = |r: &Running| r.source == *source && r.datacenter == datacenter;
            if let Some(at) = running.iter().position(same) {
                next.push(running.swap_remove(at));
                continue;
            }
            let name = called(source, datacenter.as_deref(), generation);
            let (go, wait) = tokio::sync::oneshot::channel::<()>();
            let watch = start(
                source,
                datacenter.clone(),
                &name,
                &discovery,
                &limits,
                &engine,
            );
            let task = tokio::task::spawn_local(async move {
                // Nothing is told before the engine knows the name.
                if wait.await.is_ok() {
                    watch.await;
                }
            });
            new.push(go);
            next.push(Running {
                source: source.clone(),
                datacenter,
                name,
                task: task.abort_handle(),
            });
        }
        // Those that are left over end here.
        running = next;
        let names: Vec<Rc<str>> = running.iter().map(|r| r.name.clone()).collect();
        info!(?names, "sources");
        if engine.send(EngineEvent::Sources(names)).await.is_err() {
            return;
        }
        for go in new {
            // One that has ended needs no word.
            let _ = go.send(());
        }
        if sources.changed().await.is_err() {
            // Nobody reloads any more; the watches go on.
            return std::future::pending().await;
        }
    }
}

fn watches(source: &Source) -> Vec<(&Source, Option<String>)> {
    match &source.kind {
        SourceKind::Consul(settings) if !settings.datacenters.is_empty() => {
            let each = settings.datacenters.iter();
            each.map(|dc| (source, Some(dc.clone()))).collect()
        }
        _ => vec![(source, None)],
    }
}

/// `NAME`, `NAME/DATACENTER`, and after a reload that changed it `NAME#2` and so on.
fn called(source: &Source, datacenter: Option<&str>, generation: u64) -> Rc<str> {
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

fn start(
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
            let tells = ListDelivery::Catalogue(name, zones.clone());
            let limits = limits.clone();
            let (address, mut platform) = (*address, discovery.clone());
            Box::pin(async move {
                // An address of its own never changes; the platform's does at a reload.
                let fixed = watch::channel(address.unwrap_or(*platform.borrow_and_update()));
                let at = if address.is_some() { fixed.1 } else { platform };
                // The catalogue takes changes only after a whole list of the same source.
                discovery::watch(at, limits, tells, None, engine).await;
                drop(fixed.0);
            })
        }
    }
}

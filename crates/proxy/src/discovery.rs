//! Asks discovery for the list of servers and watches it for changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};
use violetwind_balancer::api::{ListKind, Status};
use violetwind_common::{ServerRow, server_id};

use crate::limits::Limits;
use crate::poll_schedule::{DiscoveryQuery, PollSchedule, QueryFailure, Verdict};
use violetwind_catalogue::SourceUpdate;
use violetwind_engine::{EngineEvent, ListedServer, to_catalogue_row};
use violetwind_net::{SharedTcpStream, connect};

/// How the engine is told.
#[derive(Clone, Debug)]
pub enum ListDelivery {
    /// Lists are taken as they come.
    Direct,
    /// The catalogue weighs them under this name; zones by the names of the operator's file.
    Catalogue(Rc<str>, Rc<BTreeMap<String, String>>),
}

impl ListDelivery {
    fn list(&self, whole: bool, rows: Vec<ListedServer>) -> EngineEvent {
        let (name, zones) = match self {
            Self::Direct if whole => return EngineEvent::ServerList(ListKind::Replace, rows),
            Self::Direct => return EngineEvent::ServerList(ListKind::Update, rows),
            Self::Catalogue(name, zones) => (name.clone(), zones),
        };
        let zoned = rows.into_iter().map(|mut listed| {
            let zone = listed.row.zone.as_ref().and_then(|zone| zones.get(zone));
            listed.row.zone = zone.cloned().or(listed.row.zone);
            listed
        });
        let rows = zoned.filter_map(to_catalogue_row).collect();
        EngineEvent::SourceUpdate(
            name,
            if whole {
                SourceUpdate::Snapshot(rows)
            } else {
                SourceUpdate::Delta(rows)
            },
        )
    }

    fn lost(&self) -> EngineEvent {
        match self {
            Self::Direct => EngineEvent::ListUnavailable,
            Self::Catalogue(name, _) => {
                EngineEvent::SourceUpdate(name.clone(), SourceUpdate::Unavailable)
            }
        }
    }

    /// An answer without news, where that is worth a word.
    fn same(&self) -> Option<EngineEvent> {
        match self {
            Self::Direct => None,
            Self::Catalogue(name, _) => Some(EngineEvent::SourceUpdate(
                name.clone(),
                SourceUpdate::Unchanged,
            )),
        }
    }
}

#[derive(Debug, Default)]
pub struct DiscoveryList {
    pub version: u64,
    pub is_snapshot: bool,
    pub rows: Vec<ListedServer>,
}

/// Reads a list in discovery's form. A row that makes no sense is passed over with a log line.
pub fn parse_list(json: &Value, limits: &Limits) -> Result<DiscoveryList, String> {
    let rows = json["targets"].as_array().ok_or("expected `targets`")?;
    if rows.len() > limits.max_list_rows {
        return Err(format!("{} targets are too many", rows.len()));
    }
    let mut list = DiscoveryList {
        version: json["rev"].as_u64().ok_or("expected the number `rev`")?,
        is_snapshot: json["all"].as_bool().unwrap_or(false),
        rows: Vec::with_capacity(rows.len()),
    };
    let mut passed_over = 0;
    for row in rows {
        match read_row(row) {
            Ok(row) => list.rows.push(row),
            // A list that is spoilt as a whole must not fill the log.
            Err(error) if passed_over < limits.max_log_lines => {
                passed_over += 1;
                warn!(%error, "a target is passed over");
            }
            Err(_) => passed_over += 1,
        }
    }
    if passed_over > limits.max_log_lines {
        warn!(
            passed_over,
            "targets are passed over, of which the first are told"
        );
    }
    Ok(list)
}

fn read_row(json: &Value) -> Result<ListedServer, String> {
    let text = |key: &str| json[key].as_str().filter(|text| !text.is_empty());
    let uid = text("uid").ok_or("no `uid`")?;
    let status = match text("state") {
        Some("ready") => Status::Up,
        Some("draining") => Status::Draining,
        Some("gone") => Status::Gone,
        other => return Err(format!("{uid}: state {other:?}")),
    };
    // An address only: no name is ever looked up.
    let endpoint = text("endpoint").and_then(|text| text.parse().ok());
    if status != Status::Gone && endpoint.is_none() {
        return Err(format!("{uid}: endpoint {}", json["endpoint"]));
    }
    let born = json["boot_ms"].as_f64().filter(|ms| *ms > 0.0);
    Ok(ListedServer {
        uid: uid.to_string(),
        endpoint,
        row: ServerRow {
            server: server_id(uid),
            cell: json["pod_group"].as_u64().unwrap_or(0),
            status,
            kind: text("model").map(str::to_string),
            zone: text("az").map(str::to_string),
            started_at: born.map(|ms| ms / 1e3),
            rating: json["capacity_hint"].as_f64(),
        },
    })
}

/// One connection to discovery, kept from call to call.
struct Client {
    address: SocketAddr,
    limits: Rc<Limits>,
    connection: Option<Connection>,
}

/// Ends its connection when it is dropped, whatever call is under way.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Client {
    /// One call within such a time. A failed one leaves no connection behind.
    async fn get(&mut self, path: &str, within: Duration) -> Result<DiscoveryList, QueryFailure> {
        let answer = timeout(within, self.call(path)).await;
        let late = || Err(QueryFailure::Other("no answer in time".into()));
        let answer = answer.unwrap_or_else(|_| late());
        if answer.is_err() {
            self.connection = None;
        }
        answer
    }

    async fn call(&mut self, path: &str) -> Result<DiscoveryList, QueryFailure> {
        let text = |error: hyper::Error| QueryFailure::Other(error.to_string());
        let closed = |connection: &Connection| connection.sender.is_closed();
        if self.connection.as_ref().is_none_or(closed) {
            self.connection = None;
            // A connection that never comes up must not cost the time of a whole watch.
            let connect = connect(self.address);
            let connect = timeout(self.limits.discovery_connect_timeout, connect).await;
            let stream = connect
                .map_err(|_| QueryFailure::Other("never comes up".into()))?
                .map_err(|error| QueryFailure::Other(error.into_inner().to_string()))?;
            let _ = stream.set_nodelay(true);
            let io = TokioIo::new(SharedTcpStream::new(stream));
            let (sender, connection) = http1::handshake(io).await.map_err(text)?;
            // Each call hears of an error itself.
            let task = tokio::task::spawn_local(async move {
                let _ = connection.await;
            });
            self.connection = Some(Connection {
                sender,
                task: task.abort_handle(),
            });
        }
        let lost = || QueryFailure::Other("not connected".into());
        let sender = &mut self.connection.as_mut().ok_or_else(lost)?.sender;
        sender.ready().await.map_err(text)?;
        let request = Request::get(path)
            .header(hyper::header::HOST, self.address.to_string())
            .body(Empty::new())
            .map_err(|error| QueryFailure::Other(error.to_string()))?;
        let response = sender.send_request(request).await.map_err(text)?;
        let status = response.status();
        // What is at fault is the call itself, not its moment.
        if status.is_client_error() && !matches!(status.as_u16(), 408 | 425 | 429) {
            return Err(QueryFailure::VersionExpired(format!("status {status}")));
        }
        if !status.is_success() {
            return Err(QueryFailure::Other(format!("status {status}")));
        }
        let body = Limited::new(response.into_body(), self.limits.max_list_bytes).collect();
        let body = body
            .await
            .map_err(|error| QueryFailure::Other(error.to_string()))?;
        let json = serde_json::from_slice(&body.to_bytes());
        let json = json.map_err(|error| QueryFailure::Other(error.to_string()))?;
        parse_list(&json, &self.limits).map_err(QueryFailure::Other)
    }
}

/// The whole list, asked for once, as a source's word.
pub async fn fetch_list(
    address: SocketAddr,
    limits: Rc<Limits>,
    zones: Rc<BTreeMap<String, String>>,
) -> Result<SourceUpdate, String> {
    let within = limits.snapshot_timeout;
    let mut client = Client {
        address,
        limits,
        connection: None,
    };
    let list = client.get("/registry/instances", within).await;
    let list = list.map_err(QueryFailure::into_message)?;
    match ListDelivery::Catalogue("".into(), zones).list(true, list.rows) {
        EngineEvent::SourceUpdate(_, telling) => Ok(telling),
        other => Err(format!("{other:?}")),
    }
}

/// Watches the list for good, at the address that a reload names last. A new address starts anew:
/// the old connection and its call end at once, and versions of the old list mean nothing there.
/// `known` is the version of a list that the engine has from the last run.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>,
    limits: Rc<Limits>,
    tells: ListDelivery,
    mut known: Option<u64>,
    engine: mpsc::Sender<EngineEvent>,
) {
    loop {
        let at = *address.borrow_and_update();
        tokio::select! {
            () = follow(at, &limits, &tells, known.take(), &engine) => return,
            changed = address.changed() => match changed {
                Ok(()) => info!(from = %at, "discovery has moved: the whole list is asked there"),
                Err(_) => return,
            },
        }
    }
}

/// Watches the list at one address. The next call goes out as soon as an answer is read; after a
/// failure the last list stays and the next call waits, longer each time and by chance, so that
/// proxies that lost discovery together don't come back together. With a list from the last run it asks
/// only for what has changed since, at a moment of its own: proxies restarted together that all ask for
/// whole lists at once are answered too late, ask again, and are never answered.
async fn follow(
    address: SocketAddr,
    limits: &Rc<Limits>,
    tells: &ListDelivery,
    known: Option<u64>,
    engine: &mpsc::Sender<EngineEvent>,
) {
    let mut client = Client {
        address,
        limits: limits.clone(),
        connection: None,
    };
    let mut asking = PollSchedule::new(limits, known);
    sleep(asking.initial_delay(rand::random())).await;
    let wait_ms = limits.watch_wait.as_millis();
    loop {
        let asked = Instant::now();
        let answer = match asking.next_query() {
            DiscoveryQuery::Snapshot => {
                client
                    .get("/registry/instances", limits.snapshot_timeout)
                    .await
            }
            DiscoveryQuery::ChangesSince(version) => {
                let path = format!("/registry/instances?after={version}&wait_ms={wait_ms}");
                let within = limits.watch_wait + limits.watch_slack;
                client.get(&path, within).await.map_err(|failure| {
                    // Nothing came though all its time has passed.
                    match asked.elapsed() >= within {
                        true => QueryFailure::WatchTimeout(failure.into_message()),
                        false => failure,
                    }
                })
            }
        };
        let (notice, wait) = match answer {
            Ok(list) => {
                let (version, whole, rows) = (list.version, list.is_snapshot, list.rows.len());
                let (verdict, wait) = asking.on_answer(version, whole, rows, asked.elapsed());
                let notice = match verdict {
                    Verdict::Apply => {
                        info!(version, whole, rows, "list");
                        Some(tells.list(whole, list.rows))
                    }
                    Verdict::Unchanged => tells.same(),
                    Verdict::OutOfOrder => {
                        warn!(version, "changes out of order: the whole list is asked");
                        None
                    }
                };
                (notice, wait)
            }
            Err(failure) => {
                let wait = asking.on_failure(&failure, rand::random());
                let error = failure.into_message();
                warn!(%error, again_ms = wait.as_millis() as u64, "discovery");
                (Some(tells.lost()), wait)
            }
        };
        if let Some(notice) = notice
            && engine.send(notice).await.is_err()
        {
            return;
        }
        if !wait.is_zero() {
            sleep(wait).await;
        }
    }
}

//! Client of the discovery service: fetches the list of servers and watches it for changes.

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

/// How updates of the list are delivered to the engine.
#[derive(Clone, Debug)]
pub enum ListDelivery {
    /// The engine applies each update to its list directly.
    Direct,
    /// The catalogue receives the updates under this source name. Zones are translated with the names of the
    /// operator's file.
    Catalogue(Rc<str>, Rc<BTreeMap<String, String>>),
}

impl ListDelivery {
    fn list_event(&self, is_snapshot: bool, rows: Vec<ListedServer>) -> EngineEvent {
        let (name, zones) = match self {
            Self::Direct if is_snapshot => return EngineEvent::ServerList(ListKind::Replace, rows),
            Self::Direct => return EngineEvent::ServerList(ListKind::Update, rows),
            Self::Catalogue(name, zones) => (name.clone(), zones),
        };
        let rows_with_zones = rows.into_iter().map(|mut listed| {
            let zone = listed.row.zone.as_ref().and_then(|zone| zones.get(zone));
            listed.row.zone = zone.cloned().or(listed.row.zone);
            listed
        });
        let rows = rows_with_zones.filter_map(to_catalogue_row).collect();
        EngineEvent::SourceUpdate(
            name,
            if is_snapshot {
                SourceUpdate::Snapshot(rows)
            } else {
                SourceUpdate::Delta(rows)
            },
        )
    }

    fn unavailable_event(&self) -> EngineEvent {
        match self {
            Self::Direct => EngineEvent::ListUnavailable,
            Self::Catalogue(name, _) => {
                EngineEvent::SourceUpdate(name.clone(), SourceUpdate::Unavailable)
            }
        }
    }

    /// Returns the event for an answer without changes. Only the catalogue needs one, to track whether
    /// the source answers.
    fn unchanged_event(&self) -> Option<EngineEvent> {
        match self {
            Self::Direct => None,
            Self::Catalogue(name, _) => Some(EngineEvent::SourceUpdate(
                name.clone(),
                SourceUpdate::Unchanged,
            )),
        }
    }
}

/// A list of servers, or of changes, as received from discovery.
#[derive(Debug, Default)]
pub struct DiscoveryList {
    pub version: u64,
    /// Whether the rows are the whole list. Otherwise they are changes since an earlier version.
    pub is_snapshot: bool,
    pub rows: Vec<ListedServer>,
}

/// Parses a list in discovery's JSON format. An invalid row is skipped and logged.
pub fn parse_list(json: &Value, limits: &Limits) -> Result<DiscoveryList, String> {
    let rows = json["targets"].as_array().ok_or("expected `targets`")?;
    if rows.len() > limits.max_list_rows {
        return Err(format!("{} targets exceed the limit", rows.len()));
    }
    let mut list = DiscoveryList {
        version: json["rev"].as_u64().ok_or("expected the number `rev`")?,
        is_snapshot: json["all"].as_bool().unwrap_or(false),
        rows: Vec::with_capacity(rows.len()),
    };
    let mut skipped = 0;
    for row in rows {
        match parse_row(row) {
            Ok(row) => list.rows.push(row),
            // A list in which all rows are invalid must not flood the log.
            Err(error) if skipped < limits.max_log_lines => {
                skipped += 1;
                warn!(%error, "skipping an invalid target");
            }
            Err(_) => skipped += 1,
        }
    }
    if skipped > limits.max_log_lines {
        warn!(
            passed_over = skipped,
            "skipped invalid targets; only the first ones were logged"
        );
    }
    Ok(list)
}

fn parse_row(json: &Value) -> Result<ListedServer, String> {
    let text = |key: &str| json[key].as_str().filter(|text| !text.is_empty());
    let uid = text("uid").ok_or("no `uid`")?;
    let status = match text("state") {
        Some("ready") => Status::Up,
        Some("draining") => Status::Draining,
        Some("gone") => Status::Gone,
        other => return Err(format!("{uid}: unknown state {other:?}")),
    };
    // Only IP addresses are accepted: host names are never resolved.
    let endpoint = text("endpoint").and_then(|text| text.parse().ok());
    if status != Status::Gone && endpoint.is_none() {
        return Err(format!("{uid}: invalid endpoint {}", json["endpoint"]));
    }
    let boot_ms = json["boot_ms"].as_f64().filter(|ms| *ms > 0.0);
    Ok(ListedServer {
        uid: uid.to_string(),
        endpoint,
        row: ServerRow {
            server: server_id(uid),
            cell: json["pod_group"].as_u64().unwrap_or(0),
            status,
            kind: text("model").map(str::to_string),
            zone: text("az").map(str::to_string),
            started_at: boot_ms.map(|ms| ms / 1e3),
            rating: json["capacity_hint"].as_f64(),
        },
    })
}

/// HTTP client of discovery that keeps its connection between calls.
struct DiscoveryClient {
    address: SocketAddr,
    limits: Rc<Limits>,
    connection: Option<Connection>,
}

/// An HTTP connection. Dropping it closes the connection and aborts any call in progress.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl DiscoveryClient {
    /// Makes one call with a timeout. After a failure the connection is closed.
    async fn get(&mut self, path: &str, max_time: Duration) -> Result<DiscoveryList, QueryFailure> {
        let answer = timeout(max_time, self.call(path)).await;
        let timed_out = || Err(QueryFailure::Other("no answer in time".into()));
        let answer = answer.unwrap_or_else(|_| timed_out());
        if answer.is_err() {
            self.connection = None;
        }
        answer
    }

    async fn call(&mut self, path: &str) -> Result<DiscoveryList, QueryFailure> {
        let to_failure = |error: hyper::Error| QueryFailure::Other(error.to_string());
        let is_closed = |connection: &Connection| connection.sender.is_closed();
        if self.connection.as_ref().is_none_or(is_closed) {
            self.connection = None;
            // Connecting has its own, shorter timeout: an unreachable address must not take the time of a whole watch.
            let connect = connect(self.address);
            let connect = timeout(self.limits.discovery_connect_timeout, connect).await;
            let stream = connect
                .map_err(|_| QueryFailure::Other("connection not established in time".into()))?
                .map_err(|error| QueryFailure::Other(error.into_inner().to_string()))?;
            let _ = stream.set_nodelay(true);
            let io = TokioIo::new(SharedTcpStream::new(stream));
            let (sender, connection) = http1::handshake(io).await.map_err(to_failure)?;
            // Errors of the connection are also returned by the calls on it, so they are ignored here.
            let task = tokio::task::spawn_local(async move {
                let _ = connection.await;
            });
            self.connection = Some(Connection {
                sender,
                task: task.abort_handle(),
            });
        }
        let not_connected = || QueryFailure::Other("not connected".into());
        let sender = &mut self.connection.as_mut().ok_or_else(not_connected)?.sender;
        sender.ready().await.map_err(to_failure)?;
        let request = Request::get(path)
            .header(hyper::header::HOST, self.address.to_string())
            .body(Empty::new())
            .map_err(|error| QueryFailure::Other(error.to_string()))?;
        let response = sender.send_request(request).await.map_err(to_failure)?;
        let status = response.status();
        // These statuses mean that the call itself is invalid, so repeating the same call later would not help.
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

/// Fetches the whole list once, as an update for the catalogue.
pub async fn fetch_list(
    address: SocketAddr,
    limits: Rc<Limits>,
    zones: Rc<BTreeMap<String, String>>,
) -> Result<SourceUpdate, String> {
    let max_time = limits.snapshot_timeout;
    let mut client = DiscoveryClient {
        address,
        limits,
        connection: None,
    };
    let list = client.get("/registry/instances", max_time).await;
    let list = list.map_err(QueryFailure::into_message)?;
    match ListDelivery::Catalogue("".into(), zones).list_event(true, list.rows) {
        EngineEvent::SourceUpdate(_, update) => Ok(update),
        other => Err(format!("{other:?}")),
    }
}

/// Watches the list until the engine ends, always at the address set by the last reload. When the address changes, the
/// watch starts over: the old connection and its call are aborted, and versions of the old list are not valid there.
/// `known_version` is the version of a list that the engine has from the last run.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>,
    limits: Rc<Limits>,
    delivery: ListDelivery,
    mut known_version: Option<u64>,
    engine: mpsc::Sender<EngineEvent>,
) {
    loop {
        let current = *address.borrow_and_update();
        tokio::select! {
            () = watch_address(current, &limits, &delivery, known_version.take(), &engine) => return,
            changed = address.changed() => match changed {
                Ok(()) => info!(from = %current, "discovery has a new address: fetching the whole list"),
                Err(_) => return,
            },
        }
    }
}

/// Watches the list at one address. The next call is made as soon as an answer is read. After a failure the last
/// list stays in force and the next call is delayed by a random, exponentially growing backoff, so that proxies that
/// lost discovery together don't return together. With a list from the last run, only the changes since are
/// requested, after a random initial delay: if proxies that restart together all request whole lists at once, the
/// answers come too late, the calls are repeated, and none is ever answered.
async fn watch_address(
    address: SocketAddr,
    limits: &Rc<Limits>,
    delivery: &ListDelivery,
    known_version: Option<u64>,
    engine: &mpsc::Sender<EngineEvent>,
) {
    let mut client = DiscoveryClient {
        address,
        limits: limits.clone(),
        connection: None,
    };
    let mut schedule = PollSchedule::new(limits, known_version);
    sleep(schedule.initial_delay(rand::random())).await;
    let wait_ms = limits.watch_wait.as_millis();
    loop {
        let called_at = Instant::now();
        let answer = match schedule.next_query() {
            DiscoveryQuery::Snapshot => {
                client
                    .get("/registry/instances", limits.snapshot_timeout)
                    .await
            }
            DiscoveryQuery::ChangesSince(version) => {
                let path = format!("/registry/instances?after={version}&wait_ms={wait_ms}");
                let max_time = limits.watch_wait + limits.watch_slack;
                client.get(&path, max_time).await.map_err(|failure| {
                    // No answer before the timeout of the whole watch.
                    match called_at.elapsed() >= max_time {
                        true => QueryFailure::WatchTimeout(failure.into_message()),
                        false => failure,
                    }
                })
            }
        };
        let (event, wait) = match answer {
            Ok(list) => {
                let (version, is_snapshot, rows) =
                    (list.version, list.is_snapshot, list.rows.len());
                let (verdict, wait) =
                    schedule.on_answer(version, is_snapshot, rows, called_at.elapsed());
                let event = match verdict {
                    Verdict::Apply => {
                        info!(version, whole = is_snapshot, rows, "list");
                        Some(delivery.list_event(is_snapshot, list.rows))
                    }
                    Verdict::Unchanged => delivery.unchanged_event(),
                    Verdict::OutOfOrder => {
                        warn!(version, "changes out of order: fetching the whole list");
                        None
                    }
                };
                (event, wait)
            }
            Err(failure) => {
                let wait = schedule.on_failure(&failure, rand::random());
                let error = failure.into_message();
                warn!(%error, again_ms = wait.as_millis() as u64, "discovery");
                (Some(delivery.unavailable_event()), wait)
            }
        };
        if let Some(event) = event
            && engine.send(event).await.is_err()
        {
            return;
        }
        if !wait.is_zero() {
            sleep(wait).await;
        }
    }
}

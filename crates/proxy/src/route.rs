//! Stage three: requests decisions from the balancer, executes them, and sends the client exactly one answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{debug, info, warn};
use violetwind_balancer::api::{Outcome, Seconds, ServerId};

use crate::acceptor::{ClientConnection, SharedState};
use crate::admission::AdmittedRequest;
use crate::attempt::{self, AttemptResult, AttemptTarget, ServerConnection};
use crate::relay::{self, RelayState};
use crate::request_tracker::RequestTracker;
use crate::ring_buffer::RingBuffer;
use violetwind_engine::{ConnectionCommand, EngineEvent};
use violetwind_net::is_open_and_idle;

/// The result of routing a request.
enum Routed {
    /// A server serves the request; the bytes that it has sent so far are to be relayed to the client.
    Connected(ServerId, ServerConnection),
    Refused(Option<Seconds>),
    Failed,
    /// The client stopped waiting: it left, or its deadline passed.
    ClientLeft,
    /// The client sent data before the request was connected, which conforming clients don't.
    EarlyData,
}

/// Routes an admitted request to a server, and relays the connection or answers the client.
pub async fn route_request(
    mut client: ClientConnection,
    admitted: AdmittedRequest<'_>,
    shared: &Rc<SharedState>,
) {
    let limits = &shared.limits;
    let (command_sender, mut commands) = mpsc::channel(limits.command_queue_capacity);
    let id = admitted.open_line.id;
    let request_id = admitted.request.id;
    let tracker = RequestTracker::new(&admitted.request, client.arrived, shared);
    match execute_commands(
        &mut client,
        &admitted,
        shared,
        &tracker,
        command_sender,
        &mut commands,
    )
    .await
    {
        Routed::Connected(server_id, server) => {
            tracker.mark_up();
            let relay_start = (admitted.open_line, RelayState::default());
            relay::run_relay(
                client,
                server,
                server_id,
                commands,
                tracker,
                relay_start,
                shared,
            )
            .await;
        }
        Routed::Refused(wait) => {
            debug!(id, request = request_id, "refused");
            tracker.mark_answered(violetwind_record::Answer::Refused);
            let answer = match wait.map(|wait| (wait * 1e3).round() as u64) {
                Some(ms) if ms > 0 => format!("BUSY {ms}"),
                _ => "BUSY".to_string(),
            };
            client.answer_and_close(&answer, limits).await;
        }
        Routed::Failed => {
            debug!(id, request = request_id, "failed");
            tracker.mark_answered(violetwind_record::Answer::Failed);
            client.answer_and_close("ERR", limits).await;
        }
        Routed::ClientLeft => {
            debug!(id, "the client left, or its deadline passed");
            tracker.report_client_left().await;
            client.answer_and_close("ERR", limits).await;
        }
        Routed::EarlyData => {
            if let Some(left_out) = shared.log_throttle.try_acquire() {
                info!(
                    id,
                    left_out, "the client sent data before its request was connected"
                );
            }
            tracker.report_client_left().await;
            client.answer_and_close("ERR", limits).await;
        }
    }
    drop(admitted.guards);
}

/// Executes the balancer's commands until a server serves the request or it gets its final answer.
async fn execute_commands(
    client: &mut ClientConnection,
    admitted: &AdmittedRequest<'_>,
    shared: &Rc<SharedState>,
    tracker: &RequestTracker,
    command_sender: mpsc::Sender<ConnectionCommand>,
    commands: &mut mpsc::Receiver<ConnectionCommand>,
) -> Routed {
    let limits = &shared.limits;
    let request = &admitted.request;
    let engine_request = || match admitted.previous_server {
        Some(uid) => EngineEvent::Resume(request.id, uid.to_string(), command_sender.clone()),
        None => EngineEvent::Request(request.clone(), command_sender.clone()),
    };
    tracker.notify_engine(engine_request()).await;
    let decision_deadline = admitted.deadline + limits.answer_slack;
    loop {
        // The client is polled first: nothing is sent for a client that has left in the same moment.
        let command = tokio::select! {
            biased;
            routed = wait_for_client_activity(&mut client.ring, &client.stream) => return routed,
            command = commands.recv() => command,
            () = sleep_until(decision_deadline) => {
                warn!(id = admitted.open_line.id, "no decision by the deadline");
                return Routed::ClientLeft;
            }
        };
        let (server_id, endpoint, attempt_timeout, write_by, report_write) = match command {
            Some(ConnectionCommand::Send {
                server,
                endpoint,
                within,
                write_by,
                report_write,
            }) => (server, endpoint, within, write_by, report_write),
            Some(ConnectionCommand::Refuse(wait)) => return Routed::Refused(wait),
            Some(ConnectionCommand::Fail) | None => return Routed::Failed,
            // No attempt or connection is open that could be cancelled or moved.
            Some(
                ConnectionCommand::Cancel
                | ConnectionCommand::Recall
                | ConnectionCommand::Move
                | ConnectionCommand::HandOver,
            ) => continue,
            Some(ConnectionCommand::NotYet) => {
                if let Some(routed) =
                    pause_unless_client_acts(client, limits.resume_retry_interval).await
                {
                    return routed;
                }
                tracker.notify_engine(engine_request()).await;
                continue;
            }
        };
        let remaining = admitted.deadline.saturating_duration_since(Instant::now());
        let recalled = Cell::new(false);
        let target = AttemptTarget {
            request: request.id,
            server: server_id,
            endpoint,
            timeout: attempt_timeout.min(remaining),
        };
        let ClientConnection { ring, stream, .. } = &mut *client;
        let still_valid = || {
            let in_time = write_by.is_none_or(|write_by| Instant::now() < write_by);
            // Checks the client's socket directly: the runtime notices that the client has left only at its next poll.
            in_time && !recalled.get() && is_open_and_idle(stream)
        };
        let on_written = async || {
            if report_write {
                tracker
                    .notify_engine(EngineEvent::Written(request.id, server_id))
                    .await;
            }
        };
        let attempt = attempt::run_attempt(
            target,
            admitted.open_line,
            still_valid,
            on_written,
            (limits, &shared.log_throttle),
        );
        let attempt = tokio::select! {
            biased;
            routed = wait_for_client_activity(ring, stream) => return routed,
            end = wait_for_cancellation(commands, &recalled) => match end {
                AttemptCancellation::Final(routed) => return routed,
                AttemptCancellation::Cancelled => {
                    AttemptResult::Failed(Outcome::Cancelled, Default::default())
                }
            },
            attempt = attempt => attempt,
        };
        match attempt {
            // The client may have sent data in the same moment in which the server answered.
            AttemptResult::Up(_) | AttemptResult::Served(_) if client.has_sent_more() => {
                return Routed::EarlyData;
            }
            AttemptResult::Up(server) => {
                tracker
                    .notify_engine(match admitted.previous_server {
                        Some(_) => EngineEvent::Resumed(request.clone(), server_id),
                        None => EngineEvent::ConnectionUp(request.id, server_id),
                    })
                    .await;
                return Routed::Connected(server_id, server);
            }
            // The connection does not come up, so the engine gets no `ConnectionUp`: to it the attempt is in flight
            // until the relay reports the end.
            AttemptResult::Served(server) => return Routed::Connected(server_id, server),
            AttemptResult::Failed(outcome, _) if admitted.previous_server.is_some() => {
                debug!(
                    id = admitted.open_line.id,
                    ?outcome,
                    "resuming the connection failed; retrying"
                );
                if let Some(routed) =
                    pause_unless_client_acts(client, limits.resume_retry_interval).await
                {
                    return routed;
                }
                tracker.notify_engine(engine_request()).await;
            }
            AttemptResult::Failed(outcome, report) => {
                debug!(
                    id = admitted.open_line.id,
                    server = server_id,
                    ?outcome,
                    "attempt ended"
                );
                tracker.report_attempt_end(server_id, outcome, report).await;
            }
        }
    }
}

/// Waits until the client leaves or sends data; a conforming client does neither before its answer.
async fn wait_for_client_activity(ring: &mut RingBuffer, stream: &TcpStream) -> Routed {
    match ring.fill(stream).await {
        Ok(0) | Err(_) => Routed::ClientLeft,
        Ok(_) => Routed::EarlyData,
    }
}

/// Pauses for `duration`; returns early with the result if the client leaves or sends data.
async fn pause_unless_client_acts(
    client: &mut ClientConnection,
    duration: Duration,
) -> Option<Routed> {
    timeout(
        duration,
        wait_for_client_activity(&mut client.ring, &client.stream),
    )
    .await
    .ok()
}

/// How the engine ends an attempt.
enum AttemptCancellation {
    /// A command for the request follows.
    Cancelled,
    /// The request gets its final answer.
    Final(Routed),
}

/// Returns when the engine ends the attempt, with or without cancelling it first. Sets `recalled` if the server of the
/// attempt drains.
async fn wait_for_cancellation(
    commands: &mut mpsc::Receiver<ConnectionCommand>,
    recalled: &Cell<bool>,
) -> AttemptCancellation {
    loop {
        match commands.recv().await {
            Some(ConnectionCommand::Cancel) | None => return AttemptCancellation::Cancelled,
            Some(ConnectionCommand::Recall) => recalled.set(true),
            Some(ConnectionCommand::Refuse(wait)) => {
                return AttemptCancellation::Final(Routed::Refused(wait));
            }
            Some(ConnectionCommand::Fail) => return AttemptCancellation::Final(Routed::Failed),
            // The engine sends nothing else during an attempt.
            Some(command) => warn!(order = ?command, "unexpected command during an attempt"),
        }
    }
}

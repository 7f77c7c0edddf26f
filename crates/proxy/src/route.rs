//! Stage three: asks the module, does as it says, and gives the client its one answer.

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

/// What a request comes to.
enum Answer {
    /// A server has it; what it said so far is for the client.
    Taken(ServerId, ServerConnection),
    Refused(Option<Seconds>),
    Failed,
    /// The client stopped waiting, by leaving or by its deadline.
    Gone,
    /// It sent on before it was up, which no usual client does.
    Early,
}

pub async fn route_request(
    mut client: ClientConnection,
    admitted: AdmittedRequest<'_>,
    shared: &Rc<SharedState>,
) {
    let limits = &shared.limits;
    let (to, mut orders) = mpsc::channel(limits.order_queue_capacity);
    let id = admitted.open_line.id;
    let request_number = admitted.request.id;
    let booking = RequestTracker::new(&admitted.request, client.arrived, shared);
    match decide(&mut client, &admitted, shared, &booking, to, &mut orders).await {
        Answer::Taken(on, server) => {
            booking.mark_up();
            let heard = (admitted.open_line, RelayState::default());
            relay::run_relay(client, server, on, orders, booking, heard, shared).await;
        }
        Answer::Refused(wait) => {
            debug!(id, request = request_number, "refused");
            booking.mark_answered(violetwind_record::Answer::Refused);
            let word = match wait.map(|wait| (wait * 1e3).round() as u64) {
                Some(ms) if ms > 0 => format!("BUSY {ms}"),
                _ => "BUSY".to_string(),
            };
            client.answer_and_close(&word, limits).await;
        }
        Answer::Failed => {
            debug!(id, request = request_number, "failed");
            booking.mark_answered(violetwind_record::Answer::Failed);
            client.answer_and_close("ERR", limits).await;
        }
        Answer::Gone => {
            debug!(id, "the client left, or its time is over");
            booking.report_client_left().await;
            client.answer_and_close("ERR", limits).await;
        }
        Answer::Early => {
            if let Some(left_out) = shared.log_throttle.try_acquire() {
                info!(id, left_out, "a client sends on before it is up");
            }
            booking.report_client_left().await;
            client.answer_and_close("ERR", limits).await;
        }
    }
    drop(admitted.guards);
}

async fn decide(
    client: &mut ClientConnection,
    admitted: &AdmittedRequest<'_>,
    shared: &Rc<SharedState>,
    booking: &RequestTracker,
    to: mpsc::Sender<ConnectionCommand>,
    orders: &mut mpsc::Receiver<ConnectionCommand>,
) -> Answer {
    let limits = &shared.limits;
    let request = &admitted.request;
    let ask = || match admitted.previous_server {
        Some(uid) => EngineEvent::Resume(request.id, uid.to_string(), to.clone()),
        None => EngineEvent::Request(request.clone(), to.clone()),
    };
    booking.notify_engine(ask()).await;
    let end = admitted.deadline + limits.answer_slack;
    loop {
        // The client goes first: nothing is sent for one that has left in the same moment.
        let order = tokio::select! {
            biased;
            answer = client_first(&mut client.ring, &client.stream) => return answer,
            order = orders.recv() => order,
            () = sleep_until(end) => {
                warn!(id = admitted.open_line.id, "no decision by the deadline");
                return Answer::Gone;
            }
        };
        let (on, endpoint, within, write_by, report_write) = match order {
            Some(ConnectionCommand::Send {
                server,
                endpoint,
                within,
                write_by,
                report_write,
            }) => (server, endpoint, within, write_by, report_write),
            Some(ConnectionCommand::Refuse(wait)) => return Answer::Refused(wait),
            Some(ConnectionCommand::Fail) | None => return Answer::Failed,
            // Nothing is out that could be called off or moved.
            Some(
                ConnectionCommand::Cancel
                | ConnectionCommand::Recall
                | ConnectionCommand::Move
                | ConnectionCommand::HandOver,
            ) => continue,
            Some(ConnectionCommand::NotYet) => {
                if let Some(answer) = rest(client, limits.resume_retry_interval).await {
                    return answer;
                }
                booking.notify_engine(ask()).await;
                continue;
            }
        };
        let left = admitted.deadline.saturating_duration_since(Instant::now());
        let recalled = Cell::new(false);
        let target = AttemptTarget {
            request: request.id,
            server: on,
            endpoint,
            timeout: within.min(left),
        };
        let ClientConnection { ring, stream, .. } = &mut *client;
        let still_valid = || {
            let in_time = write_by.is_none_or(|by| Instant::now() < by);
            // The client waits still, by its socket itself: the runtime hears of an end only when it looks next.
            in_time && !recalled.get() && is_open_and_idle(stream)
        };
        let on_written = async || {
            if report_write {
                booking
                    .notify_engine(EngineEvent::Written(request.id, on))
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
            answer = client_first(ring, stream) => return answer,
            () = called_off(orders, &recalled) => AttemptResult::Failed(Outcome::Cancelled, Default::default()),
            attempt = attempt => attempt,
        };
        match attempt {
            // Bytes may have come together with the server's answer.
            AttemptResult::Up(_) | AttemptResult::Served(_) if client.has_sent_more() => {
                return Answer::Early;
            }
            AttemptResult::Up(server) => {
                booking
                    .notify_engine(match admitted.previous_server {
                        Some(_) => EngineEvent::Resumed(request.clone(), on),
                        None => EngineEvent::ConnectionUp(request.id, on),
                    })
                    .await;
                return Answer::Taken(on, server);
            }
            AttemptResult::Served(server) => return Answer::Taken(on, server),
            AttemptResult::Failed(outcome, _) if admitted.previous_server.is_some() => {
                debug!(
                    id = admitted.open_line.id,
                    ?outcome,
                    "a standing connection is tried again"
                );
                if let Some(answer) = rest(client, limits.resume_retry_interval).await {
                    return answer;
                }
                booking.notify_engine(ask()).await;
            }
            AttemptResult::Failed(outcome, report) => {
                debug!(id = admitted.open_line.id, server = on, ?outcome, "attempt");
                booking.report_attempt_end(on, outcome, report).await;
            }
        }
    }
}

/// What a client comes to that does anything but wait.
async fn client_first(ring: &mut RingBuffer, stream: &TcpStream) -> Answer {
    match ring.fill(stream).await {
        Ok(0) | Err(_) => Answer::Gone,
        Ok(_) => Answer::Early,
    }
}

/// What the client comes to within such a time, if it does not wait.
async fn rest(client: &mut ClientConnection, time: Duration) -> Option<Answer> {
    timeout(time, client_first(&mut client.ring, &client.stream))
        .await
        .ok()
}

/// Returns when the module calls the attempt off; notes that its server drains.
async fn called_off(orders: &mut mpsc::Receiver<ConnectionCommand>, recalled: &Cell<bool>) {
    loop {
        match orders.recv().await {
            Some(ConnectionCommand::Cancel) | None => return,
            Some(ConnectionCommand::Recall) => recalled.set(true),
            // Nothing else is said while an attempt is out.
            Some(order) => warn!(?order, "out of turn"),
        }
    }
}

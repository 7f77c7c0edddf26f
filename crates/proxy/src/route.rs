//! Stage three: asks the module, does as it says, and gives the client its one answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{debug, info, warn};
use violetwind_balancer::api::{Outcome, Seconds, ServerId};

use crate::admit::Admitted;
use crate::book::Booking;
use crate::relay::{self, Heard};
use crate::ring::Ring;
use crate::send::{self, Attempt, Server, Target};
use crate::take_in::{Client, Shared};
use violetwind_engine::{ConnectionCommand, EngineEvent};
use violetwind_net::is_open_and_idle;

/// What a request comes to.
enum Answer {
    /// A server has it; what it said so far is for the client.
    Taken(ServerId, Server),
    Refused(Option<Seconds>),
    Failed,
    /// The client stopped waiting, by leaving or by its deadline.
    Gone,
    /// It sent on before it was up, which no usual client does.
    Early,
}

pub async fn route(mut client: Client, admitted: Admitted<'_>, shared: &Rc<Shared>) {
    let limits = &shared.limits;
    let (to, mut orders) = mpsc::channel(limits.orders);
    let id = admitted.open.id;
    let request_number = admitted.request.id;
    let booking = Booking::new(&admitted.request, client.arrived, shared);
    match decide(&mut client, &admitted, shared, &booking, to, &mut orders).await {
        Answer::Taken(on, server) => {
            booking.up();
            let heard = (admitted.open, Heard::default());
            relay::relay(client, server, on, orders, booking, heard, shared).await;
        }
        Answer::Refused(wait) => {
            debug!(id, request = request_number, "refused");
            booking.answered(violetwind_record::Answer::Refused);
            let word = match wait.map(|wait| (wait * 1e3).round() as u64) {
                Some(ms) if ms > 0 => format!("BUSY {ms}"),
                _ => "BUSY".to_string(),
            };
            client.answer(&word, limits).await;
        }
        Answer::Failed => {
            debug!(id, request = request_number, "failed");
            booking.answered(violetwind_record::Answer::Failed);
            client.answer("ERR", limits).await;
        }
        Answer::Gone => {
            debug!(id, "the client left, or its time is over");
            booking.gone().await;
            client.answer("ERR", limits).await;
        }
        Answer::Early => {
            if let Some(left_out) = shared.repeats.next() {
                info!(id, left_out, "a client sends on before it is up");
            }
            booking.gone().await;
            client.answer("ERR", limits).await;
        }
    }
    drop(admitted.hold);
}

async fn decide(
    client: &mut Client,
    admitted: &Admitted<'_>,
    shared: &Rc<Shared>,
    booking: &Booking,
    to: mpsc::Sender<ConnectionCommand>,
    orders: &mut mpsc::Receiver<ConnectionCommand>,
) -> Answer {
    let limits = &shared.limits;
    let request = &admitted.request;
    let ask = || match admitted.stood_at {
        Some(uid) => EngineEvent::Resume(request.id, uid.to_string(), to.clone()),
        None => EngineEvent::Request(request.clone(), to.clone()),
    };
    booking.tell(ask()).await;
    let end = admitted.deadline + limits.answer_slack;
    loop {
        // The client goes first: nothing is sent for one that has left in the same moment.
        let order = tokio::select! {
            biased;
            answer = client_first(&mut client.ring, &client.stream) => return answer,
            order = orders.recv() => order,
            () = sleep_until(end) => {
                warn!(id = admitted.open.id, "no decision by the deadline");
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
                if let Some(answer) = rest(client, limits.standing_again).await {
                    return answer;
                }
                booking.tell(ask()).await;
                continue;
            }
        };
        let left = admitted.deadline.saturating_duration_since(Instant::now());
        let recalled = Cell::new(false);
        let target = Target {
            request: request.id,
            server: on,
            endpoint,
            within: within.min(left),
        };
        let Client { ring, stream, .. } = &mut *client;
        let still_valid = || {
            let in_time = write_by.is_none_or(|by| Instant::now() < by);
            // The client waits still, by its socket itself: the runtime hears of an end only when it looks next.
            in_time && !recalled.get() && is_open_and_idle(stream)
        };
        let on_written = async || {
            if report_write {
                booking.tell(EngineEvent::Written(request.id, on)).await;
            }
        };
        let attempt = send::attempt(
            target,
            admitted.open,
            still_valid,
            on_written,
            (limits, &shared.repeats),
        );
        let attempt = tokio::select! {
            biased;
            answer = client_first(ring, stream) => return answer,
            () = called_off(orders, &recalled) => Attempt::Failed(Outcome::Cancelled, Default::default()),
            attempt = attempt => attempt,
        };
        match attempt {
            // Bytes may have come together with the server's answer.
            Attempt::Up(_) | Attempt::Served(_) if client.spoke() => return Answer::Early,
            Attempt::Up(server) => {
                booking
                    .tell(match admitted.stood_at {
                        Some(_) => EngineEvent::Resumed(request.clone(), on),
                        None => EngineEvent::ConnectionUp(request.id, on),
                    })
                    .await;
                return Answer::Taken(on, server);
            }
            Attempt::Served(server) => return Answer::Taken(on, server),
            Attempt::Failed(outcome, _) if admitted.stood_at.is_some() => {
                debug!(
                    id = admitted.open.id,
                    ?outcome,
                    "a standing connection is tried again"
                );
                if let Some(answer) = rest(client, limits.standing_again).await {
                    return answer;
                }
                booking.tell(ask()).await;
            }
            Attempt::Failed(outcome, report) => {
                debug!(id = admitted.open.id, server = on, ?outcome, "attempt");
                booking.attempt_ended(on, outcome, report).await;
            }
        }
    }
}

/// What a client comes to that does anything but wait.
async fn client_first(ring: &mut Ring, stream: &TcpStream) -> Answer {
    match ring.fill(stream).await {
        Ok(0) | Err(_) => Answer::Gone,
        Ok(_) => Answer::Early,
    }
}

/// What the client comes to within such a time, if it does not wait.
async fn rest(client: &mut Client, time: Duration) -> Option<Answer> {
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

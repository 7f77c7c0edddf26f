//! Graceful shutdown on SIGTERM or SIGINT: keep serving new clients for a while, move all connected clients within
//! the move window, answer the remaining requests, then exit with success.

use std::rc::Rc;

use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use tracing::info;

use crate::limits::{DescriptorPool, Limits, ShutdownSchedule};
use crate::operator_service::{OperatorService, ProcessState};
use crate::pending_slots::PendingSlots;
use crate::signals::Signals;
use violetwind_balancer::api::Seconds;
use violetwind_engine::EngineEvent;

/// Waits for a termination signal and drains the proxy. Returns when the process should exit. A signal that arrives
/// before the proxy serves is handled once it does.
pub async fn drain_on_termination(
    signals: Signals,
    limits: Rc<Limits>,
    (requests, first_lines, close_listener): (DescriptorPool, PendingSlots, impl Fn()),
    engine: mpsc::Sender<EngineEvent>,
    longest_deadline: impl Fn() -> Seconds,
    service: &OperatorService,
) -> std::io::Result<()> {
    signals.recv().await;
    let requested_at = Instant::now();
    info!("told to end");
    let schedule = ShutdownSchedule::new(longest_deadline());
    let is_superseded = service.process_state() == ProcessState::Superseded;
    service.set_process_state(ProcessState::ShuttingDown);
    let move_window = if is_superseded {
        schedule.superseded_move_window
    } else {
        schedule.move_window
    };
    // If the engine has ended, there are no clients to move.
    let _ = engine.send(EngineEvent::Shutdown(move_window)).await;
    let (admission_end, exit_deadline) = (
        requested_at + schedule.admission_end,
        requested_at + schedule.exit_deadline,
    );
    sleep_until(requested_at + limits.min_shutdown_time.min(schedule.admission_end)).await;
    // One slot is always held by the listener, for the next client.
    let has_clients = || requests.in_use() > 0 || first_lines.in_use() > 1;
    // With maintenance work, the remaining duties are handed off only after all clients are gone (see below).
    while Instant::now() < admission_end
        && (has_clients() || (!service.does_maintenance() && service.has_pending_handoffs()))
    {
        tokio::time::sleep(limits.engine.move_interval).await;
    }
    // Requests still waiting for a server have run out of time. Idle connections and those that arrive from now on
    // get an answer too. Each connection's task has to check its socket once, which takes at least one tick.
    let _ = engine.send(EngineEvent::FinishShutdown).await;
    first_lines.close();
    tokio::time::sleep(limits.engine.move_interval).await;
    while Instant::now() < exit_deadline
        && (has_clients() || (!service.does_maintenance() && service.has_pending_handoffs()))
    {
        tokio::time::sleep(limits.engine.move_interval).await;
    }
    if service.does_maintenance() && !has_clients() {
        close_listener();
        service.close_admission();
        while Instant::now() < exit_deadline && service.has_pending_handoffs() {
            tokio::time::sleep(limits.engine.move_interval).await;
        }
    }
    info!(
        descriptors = requests.in_use(),
        first_lines = first_lines.in_use(),
        "end"
    );
    Ok(())
}

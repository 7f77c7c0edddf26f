//! SIGTERM and SIGINT: serve what still comes, move every client in time, answer all that is left, then end
//! well.

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

/// Returns when the process is to end. A signal that comes before the proxy serves is heard when it does.
pub async fn drain_on_termination(
    signals: Signals,
    limits: Rc<Limits>,
    (requests, first_lines, close): (DescriptorPool, PendingSlots, impl Fn()),
    engine: mpsc::Sender<EngineEvent>,
    longest_deadline: impl Fn() -> Seconds,
    service: &OperatorService,
) -> std::io::Result<()> {
    signals.recv().await;
    let asked = Instant::now();
    info!("told to end");
    let term = ShutdownSchedule::new(longest_deadline());
    let succeeded = service.process_state() == ProcessState::Superseded;
    service.set_process_state(ProcessState::ShuttingDown);
    let moves = if succeeded {
        term.superseded_move_window
    } else {
        term.move_window
    };
    // Without an engine there is nobody to move.
    let _ = engine.send(EngineEvent::Shutdown(moves)).await;
    let (last, until) = (asked + term.admission_end, asked + term.exit_deadline);
    sleep_until(asked + limits.min_shutdown_time.min(term.admission_end)).await;
    // One is always held by the listener for the next client.
    let clients = || requests.in_use() > 0 || first_lines.in_use() > 1;
    // Where it takes part in work it hands on what is left once it serves nobody.
    while Instant::now() < last
        && (clients() || (!service.does_maintenance() && service.has_pending_handoffs()))
    {
        tokio::time::sleep(limits.engine.move_interval).await;
    }
    // What waits for a server has no more time, and who rests or comes now has its answer too. It takes a look
    // of everybody's task at its socket: at least one tick.
    let _ = engine.send(EngineEvent::FinishShutdown).await;
    first_lines.close();
    tokio::time::sleep(limits.engine.move_interval).await;
    while Instant::now() < until
        && (clients() || (!service.does_maintenance() && service.has_pending_handoffs()))
    {
        tokio::time::sleep(limits.engine.move_interval).await;
    }
    if service.does_maintenance() && !clients() {
        close();
        service.close_admission();
        while Instant::now() < until && service.has_pending_handoffs() {
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

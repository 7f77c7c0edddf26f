//! SIGTERM and SIGINT: serve what still comes, move every client in time, answer all that is left, then end
//! well.

use std::rc::Rc;

use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use tracing::info;

use crate::first_lines::FirstLines;
use crate::limits::{Descriptors, Limits, Term};
use crate::service::{Service, Stand};
use crate::signals::Signals;
use violetwind_balancer::api::Seconds;
use violetwind_engine::EngineEvent;

/// Returns when the process is to end. A signal that comes before the proxy serves is heard when it does.
pub async fn wait(
    signals: Signals,
    limits: Rc<Limits>,
    (requests, first_lines, close): (Descriptors, FirstLines, impl Fn()),
    engine: mpsc::Sender<EngineEvent>,
    longest_deadline: impl Fn() -> Seconds,
    service: &Service,
) -> std::io::Result<()> {
    signals.recv().await;
    let asked = Instant::now();
    info!("told to end");
    let term = Term::new(longest_deadline());
    let succeeded = service.stand() == Stand::Succeeded;
    service.set_stand(Stand::Ending);
    let moves = if succeeded {
        term.succeeded
    } else {
        term.moves
    };
    // Without an engine there is nobody to move.
    let _ = engine.send(EngineEvent::Shutdown(moves)).await;
    let (last, until) = (asked + term.last, asked + term.exit);
    sleep_until(asked + limits.term_least.min(term.last)).await;
    // One is always held by the listener for the next client.
    let clients = || requests.in_use() > 0 || first_lines.held() > 1;
    // Where it takes part in work it hands on what is left once it serves nobody.
    while Instant::now() < last && (clients() || (!service.works() && service.hands_on())) {
        tokio::time::sleep(limits.engine.move_interval).await;
    }
    // What waits for a server has no more time, and who rests or comes now has its answer too. It takes a look
    // of everybody's task at its socket: at least one tick.
    let _ = engine.send(EngineEvent::FinishShutdown).await;
    first_lines.close();
    tokio::time::sleep(limits.engine.move_interval).await;
    while Instant::now() < until && (clients() || (!service.works() && service.hands_on())) {
        tokio::time::sleep(limits.engine.move_interval).await;
    }
    if service.works() && !clients() {
        close();
        service.set_closed();
        while Instant::now() < until && service.hands_on() {
            tokio::time::sleep(limits.engine.move_interval).await;
        }
    }
    info!(
        descriptors = requests.in_use(),
        first_lines = first_lines.held(),
        "end"
    );
    Ok(())
}

//! SIGTERM and SIGINT: serve what still comes, move every client in time, then end well.

use std::rc::Rc;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use tracing::info;

use crate::first_lines::FirstLines;
use crate::limits::{Descriptors, Limits, Term};
use crate::service::{Service, Stand};
use violetwind_balancer::api::Secs;
use violetwind_engine::Notice;

/// Returns when the process is to end.
pub async fn wait(
    limits: Rc<Limits>,
    (requests, first_lines, close): (Descriptors, FirstLines, impl Fn()),
    engine: mpsc::Sender<Notice>,
    longest_deadline: impl Fn() -> Secs,
    service: &Service,
) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
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
    let _ = engine.send(Notice::Shutdown(moves)).await;
    let (from, until) = (asked + limits.term_least, asked + term.exit);
    sleep_until(from).await;
    // One is always held by the listener for the next client.
    let clients = || requests.in_use() > 0 || first_lines.held() > 1;
    // Where it takes part in work it hands on what is left once it serves nobody.
    while Instant::now() < until && (clients() || (!service.works() && service.hands_on())) {
        tokio::time::sleep(limits.engine.spread_tick).await;
    }
    if service.works() && !clients() {
        close();
        service.set_closed();
        while Instant::now() < until && service.hands_on() {
            tokio::time::sleep(limits.engine.spread_tick).await;
        }
    }
    info!(
        descriptors = requests.in_use(),
        first_lines = first_lines.held(),
        "end"
    );
    Ok(())
}

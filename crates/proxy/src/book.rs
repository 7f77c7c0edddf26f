//! Last stage: tells the engine how a connection ended, once and on every way out.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::mpsc;
use tokio::time::Instant;
use violetwind_balancer::api::{Ended, Outcome, Report, Request, RequestId, ServerId};

use violetwind_engine::EngineEvent;
use violetwind_record::Answer;

use crate::notes::{Note, Notes};
use crate::recording::Entry;
use crate::take_in::Shared;

/// An entry in the engine's books, from the request until its end.
#[derive(Debug)]
pub struct Booking {
    id: RequestId,
    engine: mpsc::Sender<EngineEvent>,
    notes: Rc<RefCell<Notes>>,
    /// What a recording gets of it; nothing where none is made.
    entry: Option<Box<Entry>>,
    closed: bool,
}

impl Booking {
    pub fn new(request: &Request, arrived: Instant, shared: &Shared) -> Self {
        Self {
            id: request.id,
            engine: shared.engine.clone(),
            notes: shared.notes.clone(),
            entry: shared.recording.as_ref().map(|r| r.entry(request, arrived)),
            closed: false,
        }
    }

    /// A server has it.
    pub fn up(&self) {
        if let Some(entry) = &self.entry {
            entry.answer(Answer::Up);
        }
    }

    /// The end of an attempt, after which the module goes on.
    pub async fn attempt_ended(&self, server: ServerId, outcome: Outcome, report: Report) {
        self.tell_end(server, outcome, report, false).await;
    }

    /// The figure of a `LOAD` line.
    pub async fn load(&self, server: ServerId, figure: f64) {
        if let Some(entry) = &self.entry {
            entry.load(figure);
        }
        let note = self.notes.borrow_mut().read(figure);
        self.tell(match note {
            Note::Load(load) => EngineEvent::ConnectionLoad(self.id, load),
            Note::Delay(delay) => EngineEvent::MessageDelay(server, delay),
        })
        .await;
    }

    /// The server leaves the client's lines without an answer.
    pub async fn silent(&self, server: ServerId) {
        self.tell(EngineEvent::ServerUnresponsive(server)).await;
    }

    /// The connection ended from the server's side, or was moved.
    pub async fn ended(mut self, server: ServerId, (outcome, report): (Outcome, Report)) {
        self.closed = true;
        self.tell_end(server, outcome, report, true).await;
    }

    async fn tell_end(&self, server: ServerId, outcome: Outcome, report: Report, last: bool) {
        self.tell(EngineEvent::AttemptEnded(Ended {
            id: self.id,
            server,
            outcome,
            last,
            report,
        }))
        .await;
    }

    /// The client left.
    pub async fn gone(mut self) {
        self.closed = true;
        self.tell(EngineEvent::ClientGone(self.id)).await;
    }

    /// The module itself has given the final answer.
    pub fn answered(mut self, answer: Answer) {
        if let Some(entry) = &self.entry {
            entry.answer(answer);
        }
        self.closed = true;
    }

    pub async fn tell(&self, notice: EngineEvent) {
        // Without an engine the process ends.
        let _ = self.engine.send(notice).await;
    }
}

impl Drop for Booking {
    fn drop(&mut self) {
        // A connection whose task ended on no known way must not stay in the books.
        if !self.closed {
            let _ = self.engine.try_send(EngineEvent::ClientGone(self.id));
        }
    }
}

//! Last stage: tells the engine how a connection ended, once and on every way out.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::mpsc;
use tokio::time::Instant;
use violetwind_balancer::api::{AttemptEnd, Outcome, Report, Request, RequestId, ServerId};

use violetwind_engine::EngineEvent;
use violetwind_record::Answer;

use crate::acceptor::SharedState;
use crate::load_classifier::{LoadClassifier, LoadReading};
use crate::recording::RecordingEntry;

/// An entry in the engine's books, from the request until its end.
#[derive(Debug)]
pub struct RequestTracker {
    id: RequestId,
    engine: mpsc::Sender<EngineEvent>,
    notes: Rc<RefCell<LoadClassifier>>,
    /// What a recording gets of it; nothing where none is made.
    entry: Option<Box<RecordingEntry>>,
    closed: bool,
}

impl RequestTracker {
    pub fn new(request: &Request, arrived: Instant, shared: &SharedState) -> Self {
        Self {
            id: request.id,
            engine: shared.engine.clone(),
            notes: shared.load_classifier.clone(),
            entry: shared
                .recording
                .as_ref()
                .map(|r| r.start_entry(request, arrived)),
            closed: false,
        }
    }

    /// A server has it.
    pub fn mark_up(&self) {
        if let Some(entry) = &self.entry {
            entry.set_answer(Answer::Up);
        }
    }

    /// The end of an attempt, after which the module goes on.
    pub async fn report_attempt_end(&self, server: ServerId, outcome: Outcome, report: Report) {
        self.tell_end(server, outcome, report, false).await;
    }

    /// The figure of a `LOAD` line.
    pub async fn report_load(&self, server: ServerId, figure: f64) {
        if let Some(entry) = &self.entry {
            entry.set_load(figure);
        }
        let note = self.notes.borrow_mut().classify(figure);
        self.notify_engine(match note {
            LoadReading::Load(load) => EngineEvent::ConnectionLoad(self.id, load),
            LoadReading::Delay(delay) => EngineEvent::MessageDelay(server, delay),
        })
        .await;
    }

    /// The server leaves the client's lines without an answer.
    pub async fn report_silence(&self, server: ServerId) {
        self.notify_engine(EngineEvent::ServerUnresponsive(server))
            .await;
    }

    /// The connection ended from the server's side, or was moved.
    pub async fn report_end(mut self, server: ServerId, (outcome, report): (Outcome, Report)) {
        self.closed = true;
        self.tell_end(server, outcome, report, true).await;
    }

    async fn tell_end(&self, server: ServerId, outcome: Outcome, report: Report, last: bool) {
        self.notify_engine(EngineEvent::AttemptEnded(AttemptEnd {
            id: self.id,
            server,
            outcome,
            is_final: last,
            report,
        }))
        .await;
    }

    /// The client left.
    pub async fn report_client_left(mut self) {
        self.closed = true;
        self.notify_engine(EngineEvent::ClientGone(self.id)).await;
    }

    /// The module itself has given the final answer.
    pub fn mark_answered(mut self, answer: Answer) {
        if let Some(entry) = &self.entry {
            entry.set_answer(answer);
        }
        self.closed = true;
    }

    pub async fn notify_engine(&self, notice: EngineEvent) {
        // Without an engine the process ends.
        let _ = self.engine.send(notice).await;
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        // A connection whose task ended on no known way must not stay in the books.
        if !self.closed {
            let _ = self.engine.try_send(EngineEvent::ClientGone(self.id));
        }
    }
}

//! Accompanies a request from stage three (`route`) on, or an adopted connection: passes its events to the engine and
//! the recording. Of the calls that finish a tracker, `report_end` and `report_client_left` report the end to the
//! engine; `mark_answered` reports nothing, as the engine itself has given the final answer.

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

/// Reports the events of one request to the engine and the recording. If it is dropped without a final report, it
/// reports that the client has left.
#[derive(Debug)]
pub struct RequestTracker {
    id: RequestId,
    engine: mpsc::Sender<EngineEvent>,
    load_classifier: Rc<RefCell<LoadClassifier>>,
    /// The request's entry in the recording; `None` if no recording is made.
    entry: Option<Box<RecordingEntry>>,
    is_finished: bool,
}

impl RequestTracker {
    pub fn new(request: &Request, arrived: Instant, shared: &SharedState) -> Self {
        Self {
            id: request.id,
            engine: shared.engine.clone(),
            load_classifier: shared.load_classifier.clone(),
            entry: shared
                .recording
                .as_ref()
                .map(|recording| recording.start_entry(request, arrived)),
            is_finished: false,
        }
    }

    /// Writes to the recording that a server serves the request; the engine gets no event. Runs for a request that was
    /// served without an open connection too.
    pub fn mark_up(&self) {
        if let Some(entry) = &self.entry {
            entry.set_answer(Answer::Up);
        }
    }

    /// Reports the end of an attempt after which the balancer decides on the request again.
    pub async fn report_attempt_end(&self, server: ServerId, outcome: Outcome, report: Report) {
        self.send_attempt_ended(server, outcome, report, false)
            .await;
    }

    /// Reports the value of a `LOAD` line: the connection's load, or the server's message delay.
    pub async fn report_load(&self, server: ServerId, value: f64) {
        if let Some(entry) = &self.entry {
            entry.set_load(value);
        }
        let reading = self.load_classifier.borrow_mut().classify(value);
        self.notify_engine(match reading {
            LoadReading::Load(load) => EngineEvent::ConnectionLoad(self.id, load),
            LoadReading::Delay(delay) => EngineEvent::MessageDelay(server, delay),
        })
        .await;
    }

    /// Reports that the server leaves the client's lines unanswered.
    pub async fn report_silence(&self, server: ServerId) {
        self.notify_engine(EngineEvent::ServerUnresponsive(server))
            .await;
    }

    /// Reports that the server ended the connection, or that the connection was moved.
    pub async fn report_end(mut self, server: ServerId, (outcome, report): (Outcome, Report)) {
        self.is_finished = true;
        self.send_attempt_ended(server, outcome, report, true).await;
    }

    async fn send_attempt_ended(
        &self,
        server: ServerId,
        outcome: Outcome,
        report: Report,
        is_final: bool,
    ) {
        self.notify_engine(EngineEvent::AttemptEnded(AttemptEnd {
            id: self.id,
            server,
            outcome,
            is_final,
            report,
        }))
        .await;
    }

    /// Reports that the engine has nothing more to do for the request: the client left, sent data too early or got no
    /// decision by its deadline, or the successor has taken the connection over.
    pub async fn report_client_left(mut self) {
        self.is_finished = true;
        self.notify_engine(EngineEvent::ClientGone(self.id)).await;
    }

    /// Records the balancer's final answer; the engine needs no report.
    pub fn mark_answered(mut self, answer: Answer) {
        if let Some(entry) = &self.entry {
            entry.set_answer(answer);
        }
        self.is_finished = true;
    }

    /// Sends an event to the engine, waiting for room in its queue.
    pub async fn notify_engine(&self, event: EngineEvent) {
        // If the engine has ended, the process ends too.
        let _ = self.engine.send(event).await;
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        // A connection whose task ended without a report must not stay registered in the engine.
        if !self.is_finished {
            let _ = self.engine.try_send(EngineEvent::ClientGone(self.id));
        }
    }
}

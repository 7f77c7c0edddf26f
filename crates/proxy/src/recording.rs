//! Recording of the incoming requests for the lab: one record per request, which is put into a bounded queue when the
//! request or its connection has ended.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;
use violetwind_balancer::api::Request;
use violetwind_record::{Answer, Record, Recorder};

/// A recording in progress.
#[derive(Clone, Debug)]
pub struct Recording {
    recorder: Rc<Recorder>,
    start: Instant,
}

/// The record of one request; dropping it puts the record into the queue.
#[derive(Debug)]
pub struct RecordingEntry {
    recording: Recording,
    request: violetwind_record::Request,
    arrived: Instant,
    answer: Cell<Option<(Answer, Instant)>>,
    load: Cell<Option<u32>>,
}

impl Recording {
    pub fn new(recorder: Recorder) -> Self {
        Self {
            recorder: Rc::new(recorder),
            start: Instant::now(),
        }
    }

    /// Begins the record of a request that arrived at `arrived`.
    pub fn start_entry(&self, request: &Request, arrived: Instant) -> Box<RecordingEntry> {
        let to_u16 = |number: usize| u16::try_from(number).unwrap_or(u16::MAX);
        Box::new(RecordingEntry {
            recording: self.clone(),
            request: violetwind_record::Request {
                at_us: arrived.saturating_duration_since(self.start).as_micros() as u64,
                class: to_u16(request.class),
                tenant: request.tenant.map(to_u16),
                group: request.group,
                timeout_ms: (request.client_timeout * 1e3) as u32,
                answer: Answer::ClientLeft,
                latency_us: 0,
                connected_ms: 0,
                load: None,
            },
            arrived,
            answer: Cell::new(None),
            load: Cell::new(None),
        })
    }
}

impl RecordingEntry {
    /// Records the answer and its time; only the first call has an effect.
    pub fn set_answer(&self, answer: Answer) {
        let first = self.answer.get().unwrap_or((answer, Instant::now()));
        self.answer.set(Some(first));
    }

    /// Records the value of the connection's last `LOAD` line.
    pub fn set_load(&self, value: f64) {
        self.load.set(Some(value as u32));
    }
}

impl Drop for RecordingEntry {
    fn drop(&mut self) {
        let now = Instant::now();
        let (answer, answered) = self.answer.get().unwrap_or((Answer::ClientLeft, now));
        let mut request = self.request.clone();
        request.answer = answer;
        request.latency_us = answered.saturating_duration_since(self.arrived).as_micros() as u64;
        if answer == Answer::Up {
            request.connected_ms = now.saturating_duration_since(answered).as_millis() as u64;
        }
        request.load = self.load.get();
        self.recording.recorder.enqueue(Record::Request(request));
    }
}

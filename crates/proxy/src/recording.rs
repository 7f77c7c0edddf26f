//! What came in, for the lab: one record a request, put into a bounded queue when nothing more comes of it.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;
use violetwind_balancer::api::Request;
use violetwind_record::{Answer, Record, Recorder};

#[derive(Clone, Debug)]
pub struct Recording {
    recorder: Rc<Recorder>,
    start: Instant,
}

/// One request until its end.
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

    pub fn start_entry(&self, request: &Request, arrived: Instant) -> Box<RecordingEntry> {
        let small = |number: usize| u16::try_from(number).unwrap_or(u16::MAX);
        Box::new(RecordingEntry {
            recording: self.clone(),
            request: violetwind_record::Request {
                at_us: arrived.saturating_duration_since(self.start).as_micros() as u64,
                class: small(request.class),
                tenant: request.tenant.map(small),
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
    /// The first answer counts.
    pub fn set_answer(&self, answer: Answer) {
        let first = self.answer.get().unwrap_or((answer, Instant::now()));
        self.answer.set(Some(first));
    }

    pub fn set_load(&self, figure: f64) {
        self.load.set(Some(figure as u32));
    }
}

impl Drop for RecordingEntry {
    fn drop(&mut self) {
        let now = Instant::now();
        let (answer, at) = self.answer.get().unwrap_or((Answer::ClientLeft, now));
        let mut request = self.request.clone();
        request.answer = answer;
        request.latency_us = at.saturating_duration_since(self.arrived).as_micros() as u64;
        if answer == Answer::Up {
            request.connected_ms = now.saturating_duration_since(at).as_millis() as u64;
        }
        request.load = self.load.get();
        self.recording.recorder.enqueue(Record::Request(request));
    }
}

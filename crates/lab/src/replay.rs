//! Recorded traffic as the arrivals of a scenario: one client for each requested connection.

use std::collections::BTreeMap;
use std::io::Read;

use violetwind_record::{Answer, Reader, Record, RecordingEnd, Request};

use crate::scenario::Scenario;

/// A client from a recording.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedClient {
    /// Seconds after the first client.
    pub arrived_at: f64,
    pub class: usize,
    pub tenant: Option<usize>,
    pub group: Option<u64>,
    /// Work per second; `None` if it was never reported.
    pub load: Option<f64>,
    /// Seconds for which the connection was held; `None` if it was never established.
    pub held_for: Option<f64>,
}

/// Clients of a recording, and the numbers of requests that were left out.
#[derive(Clone, Debug)]
pub struct Recording {
    pub clients: Vec<RecordedClient>,
    pub end: RecordingEnd,
    /// Number of requests that the recorder dropped.
    pub omitted: u64,
    /// Number of repeated requests of refused clients. They are left out, because the simulation generates its own
    /// retries.
    pub repeats: u64,
    /// Classes of the recording that the scenario does not have, with their number of requests.
    pub unknown_classes: BTreeMap<String, u64>,
}

/// A request within this many seconds of a refused one of the same class, tenant and group counts as its repeat.
const REPEAT_WINDOW: f64 = 5.0;

impl Recording {
    /// Reads a recording for a scenario; classes are matched by name.
    pub fn read(from: impl Read, scenario: &Scenario) -> Self {
        let mut reader = Reader::new(from);
        let (mut class_names, mut requests, mut omitted) = (Vec::new(), Vec::new(), 0);
        for record in reader.by_ref() {
            match record {
                Record::Start { classes, .. } => class_names = classes,
                Record::Request(request) => requests.push(request),
                Record::Dropped(count) => omitted += count,
            }
        }
        let end = reader.end().unwrap_or(RecordingEnd::Whole);
        // Requests are recorded in the order in which they ended.
        requests.sort_by_key(|request| request.at_us);
        let first = requests.first().map_or(0, |request| request.at_us);
        let mut recording = Self {
            clients: Vec::new(),
            end,
            omitted,
            repeats: 0,
            unknown_classes: BTreeMap::new(),
        };
        let mut refused: BTreeMap<(u16, Option<u16>, Option<u64>), f64> = BTreeMap::new();
        for request in requests {
            let name = class_names.get(usize::from(request.class)).cloned();
            let name = name.unwrap_or_else(|| format!("number {}", request.class));
            let class_index = scenario.classes.iter().position(|class| class.name == name);
            let Some(class) = class_index else {
                *recording.unknown_classes.entry(name).or_default() += 1;
                continue;
            };
            let at = (request.at_us - first) as f64 / 1e6;
            let key = (request.class, request.tenant, request.group);
            // Without a group, a repeat can't be distinguished from the request of another client.
            let refused_at = refused.remove(&key).filter(|_| request.group.is_some());
            if request.answer != Answer::Up {
                refused.insert(key, at);
            }
            if refused_at.is_some_and(|refused_at| at < refused_at + REPEAT_WINDOW) {
                recording.repeats += 1;
                if request.answer != Answer::Up {
                    continue;
                }
            }
            recording.clients.push(recorded_client(at, class, &request));
        }
        recording
    }

    /// Returns `times` as many clients, arriving `rate` times as fast. The fractional part of `times` is the
    /// probability of a further copy of a client, drawn with `seed`.
    pub fn scaled(&self, times: f64, rate: f64, seed: u64) -> Vec<RecordedClient> {
        use rand::{Rng, SeedableRng};
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut clients = Vec::new();
        for client in &self.clients {
            let mut copies = times.floor() as usize;
            copies += usize::from(rng.random::<f64>() < times.fract());
            for copy in 0..copies {
                let mut client = client.clone();
                // Copies are offset by up to 1 s of recorded time, so that they do not arrive at the same instant.
                let offset = if copy == 0 {
                    0.0
                } else {
                    rng.random_range(0.0..1.0)
                };
                client.arrived_at = (client.arrived_at + offset) / rate;
                clients.push(client);
            }
        }
        clients.sort_by(|a, b| a.arrived_at.total_cmp(&b.arrived_at));
        clients
    }
}

fn recorded_client(at: f64, class: usize, request: &Request) -> RecordedClient {
    let is_up = request.answer == Answer::Up;
    RecordedClient {
        arrived_at: at,
        class,
        tenant: request.tenant.map(usize::from),
        group: request.group,
        load: request.load.map(|load| f64::from(load) / 1e6),
        held_for: is_up.then_some(request.connected_ms as f64 / 1e3),
    }
}

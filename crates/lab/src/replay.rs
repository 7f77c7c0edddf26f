//! Recorded traffic as a scenario's arrivals: one client a connection that was wanted.

use std::collections::BTreeMap;
use std::io::Read;

use violetwind_record::{Answer, Reader, Record, RecordingEnd, Request};

use crate::scenario::Scenario;

/// A client as it was recorded.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedClient {
    /// Seconds after the first one.
    pub arrived_at: f64,
    pub class: usize,
    pub tenant: Option<usize>,
    pub group: Option<u64>,
    /// Work a second; none where it was never told.
    pub load: Option<f64>,
    /// How long it was held; none for one that never was up.
    pub held_for: Option<f64>,
}

/// What came of reading a recording.
#[derive(Clone, Debug)]
pub struct Recording {
    pub clients: Vec<RecordedClient>,
    pub end: RecordingEnd,
    /// Requests that the recorder itself left out.
    pub omitted: u64,
    /// Repeats of clients that were refused before, which the model makes by itself.
    pub repeats: u64,
    /// Classes of the recording that the scenario does not have, with their requests.
    pub unknown_classes: BTreeMap<String, u64>,
}

/// A refused request of the same class, tenant and group within so many seconds is one that comes again.
const AGAIN: f64 = 5.0;

impl Recording {
    /// Reads a recording for a scenario, whose classes are found by name.
    pub fn read(from: impl Read, scenario: &Scenario) -> Self {
        let mut reader = Reader::new(from);
        let (mut names, mut requests, mut left) = (Vec::new(), Vec::new(), 0);
        for record in reader.by_ref() {
            match record {
                Record::Start { classes, .. } => names = classes,
                Record::Request(request) => requests.push(request),
                Record::Dropped(more) => left += more,
            }
        }
        let end = reader.end().unwrap_or(RecordingEnd::Whole);
        // They were written in the order of their ends.
        requests.sort_by_key(|request| request.at_us);
        let first = requests.first().map_or(0, |request| request.at_us);
        let mut recording = Self {
            clients: Vec::new(),
            end,
            omitted: left,
            repeats: 0,
            unknown_classes: BTreeMap::new(),
        };
        let mut refused: BTreeMap<(u16, Option<u16>, Option<u64>), f64> = BTreeMap::new();
        for request in requests {
            let name = names.get(usize::from(request.class)).cloned();
            let name = name.unwrap_or_else(|| format!("number {}", request.class));
            let known = scenario.classes.iter().position(|class| class.name == name);
            let Some(class) = known else {
                *recording.unknown_classes.entry(name).or_default() += 1;
                continue;
            };
            let at = (request.at_us - first) as f64 / 1e6;
            let key = (request.class, request.tenant, request.group);
            // Without a group there is no telling who comes again.
            let before = refused.remove(&key).filter(|_| request.group.is_some());
            if request.answer != Answer::Up {
                refused.insert(key, at);
            }
            if before.is_some_and(|before| at < before + AGAIN) {
                recording.repeats += 1;
                if request.answer != Answer::Up {
                    continue;
                }
            }
            recording.clients.push(client(at, class, &request));
        }
        recording
    }

    /// As many times the clients, `rate` times as fast, drawn by a seed: whole copies, and a part of one.
    pub fn scaled(&self, times: f64, rate: f64, seed: u64) -> Vec<RecordedClient> {
        use rand::{Rng, SeedableRng};
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut clients = Vec::new();
        for client in &self.clients {
            let mut copies = times.floor() as usize;
            copies += usize::from(rng.random::<f64>() < times.fract());
            for copy in 0..copies {
                let mut client = client.clone();
                // Copies come beside one another, not on one another.
                let beside = if copy == 0 {
                    0.0
                } else {
                    rng.random_range(0.0..1.0)
                };
                client.arrived_at = (client.arrived_at + beside) / rate;
                clients.push(client);
            }
        }
        clients.sort_by(|a, b| a.arrived_at.total_cmp(&b.arrived_at));
        clients
    }
}

fn client(at: f64, class: usize, request: &Request) -> RecordedClient {
    let up = request.answer == Answer::Up;
    RecordedClient {
        arrived_at: at,
        class,
        tenant: request.tenant.map(usize::from),
        group: request.group,
        load: request.load.map(|load| f64::from(load) / 1e6),
        held_for: up.then_some(request.connected_ms as f64 / 1e3),
    }
}

//! A server: processor sharing among its connections, set-ups that cost work, a warm-up, a cap.

use std::collections::BTreeMap;

use crate::scenario;

/// What is left idle of a server that is asked for all it can do, as its messages don't come evenly.
const IDLE: f64 = 0.02;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    Up,
    /// Takes nothing new; its process ends soon.
    Draining,
    /// Its process is gone: connections are refused at once.
    Down,
    /// Its machine is gone: nothing comes back at all.
    Dark,
}

#[derive(Debug)]
pub struct Server {
    pub life: Life,
    pub zone: usize,
    /// Seconds of work a second when warm and undisturbed.
    pub capacity: f64,
    /// What troubles leave of it.
    pub factor: f64,
    pub failing: bool,
    /// When its process started, unless long ago.
    pub born: Option<f64>,
    /// Work a second that its connections ask for, and their number and worth by class.
    pub load: f64,
    pub connections: usize,
    pub worth: Vec<f64>,
    pub groups: BTreeMap<u64, usize>,
    /// Set-ups that are being worked on, and until when the last of them is.
    pub setups: usize,
    pub busy_until: f64,
    /// Counts its processes, so that what belongs to an older one is known.
    pub process: u32,
    /// What it tells: its load over what it can do, and its connections, as of some time ago.
    pub told: (f64, f64),
    pub since: f64,
}

impl Server {
    pub fn new(zone: usize, capacity: f64, classes: usize) -> Self {
        Self {
            life: Life::Up,
            zone,
            capacity,
            factor: 1.0,
            failing: false,
            born: None,
            load: 0.0,
            connections: 0,
            worth: vec![0.0; classes],
            groups: BTreeMap::new(),
            setups: 0,
            busy_until: 0.0,
            process: 0,
            told: (0.0, 0.0),
            since: 0.0,
        }
    }

    pub fn reachable(&self) -> bool {
        matches!(self.life, Life::Up | Life::Draining)
    }

    /// The part of its warm-up that is over, from 0 to 1.
    pub fn warmth(&self, now: f64, set: &scenario::Server) -> f64 {
        let Some(born) = self.born else { return 1.0 };
        if set.cold_for <= 0.0 {
            return 1.0;
        }
        ((now - born) / set.cold_for).clamp(0.0, 1.0)
    }

    /// What it can do now.
    pub fn can(&self, now: f64, set: &scenario::Server) -> f64 {
        let warm = set.cold_from + (1.0 - set.cold_from) * self.warmth(now, set);
        (self.capacity * self.factor * warm).max(1e-6)
    }

    /// What it is asked for, groups included.
    pub fn asked(&self, set: &scenario::Server) -> f64 {
        self.load + set.group_cost * self.groups.len() as f64
    }

    /// The load over what it can do.
    pub fn figure(&self, now: f64, set: &scenario::Server) -> f64 {
        self.asked(set) / self.can(now, set)
    }

    /// The part of its connections' messages that is answered in time. With processor sharing a message
    /// takes its own work over what is idle, exponentially spread (M/M/1); in time is what takes at most
    /// `slack` times its work. Past capacity the share of the work that is done counts besides.
    pub fn quality(&self, now: f64, set: &scenario::Server) -> f64 {
        if !self.reachable() {
            return 0.0;
        }
        let figure = self.figure(now, set);
        let idle = (1.0 - figure).max(IDLE);
        (1.0 - (-set.slack * idle).exp()) * (1.0 / figure.max(1e-9)).min(1.0)
    }

    /// How long a set-up takes that comes now: those before it, at the pace that connections leave.
    pub fn setup_time(&mut self, now: f64, set: &scenario::Server) -> f64 {
        let free = (1.0 - self.figure(now, set)).max(0.05);
        let work = set.setup_work / (self.can(now, set) * free);
        let start = self.busy_until.max(now);
        self.busy_until = start + work;
        self.busy_until - now
    }

    pub fn join(&mut self, class: usize, worth: f64, load: f64, group: Option<u64>) {
        self.load += load;
        self.connections += 1;
        self.worth[class] += worth;
        if let Some(group) = group {
            *self.groups.entry(group).or_default() += 1;
        }
    }

    pub fn leave(&mut self, class: usize, worth: f64, load: f64, group: Option<u64>) {
        self.load = (self.load - load).max(0.0);
        self.connections -= 1;
        self.worth[class] -= worth;
        if let Some(group) = group
            && let Some(count) = self.groups.get_mut(&group)
        {
            *count -= 1;
            if *count == 0 {
                self.groups.remove(&group);
            }
        }
    }

    /// A new process: nothing of the old one is left.
    pub fn restart(&mut self, now: f64, cold: bool) {
        let classes = self.worth.len();
        let (zone, capacity, process) = (self.zone, self.capacity, self.process + 1);
        *self = Self {
            factor: self.factor,
            failing: self.failing,
            born: cold.then_some(now),
            process,
            since: now,
            ..Self::new(zone, capacity, classes)
        };
    }
}

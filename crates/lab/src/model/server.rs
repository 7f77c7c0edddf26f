//! A server: processor sharing among its connections, set-ups that cost work, a warm-up, a cap.

use std::collections::BTreeMap;

use crate::scenario;

/// What is left idle of a server that is asked for all it can do, as its messages don't come evenly.
const IDLE: f64 = 0.02;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    Up,
    /// Takes nothing new; its process ends soon.
    Draining,
    /// Its process is gone: connections are refused at once.
    Down,
    /// Its machine is gone: nothing comes back at all.
    Unreachable,
}

#[derive(Debug)]
pub struct Server {
    pub state: ServerState,
    pub zone: usize,
    /// Seconds of work a second when warm and undisturbed.
    pub capacity: f64,
    /// What troubles leave of it.
    pub capacity_factor: f64,
    pub is_failing: bool,
    /// When its process started, unless long ago.
    pub started_at: Option<f64>,
    /// Work a second that its connections ask for, and their number and worth by class.
    pub load: f64,
    pub connections: usize,
    pub worth_by_class: Vec<f64>,
    pub connections_by_group: BTreeMap<u64, usize>,
    /// Set-ups that are being worked on, and until when the last of them is.
    pub pending_setups: usize,
    pub setups_done_at: f64,
    /// Counts its processes, so that what belongs to an older one is known.
    pub incarnation: u32,
    /// What it tells: its load over what it can do, and its connections, as of some time ago.
    pub reported: (f64, f64),
    pub accounted_until: f64,
}

impl Server {
    pub fn new(zone: usize, capacity: f64, classes: usize) -> Self {
        Self {
            state: ServerState::Up,
            zone,
            capacity,
            capacity_factor: 1.0,
            is_failing: false,
            started_at: None,
            load: 0.0,
            connections: 0,
            worth_by_class: vec![0.0; classes],
            connections_by_group: BTreeMap::new(),
            pending_setups: 0,
            setups_done_at: 0.0,
            incarnation: 0,
            reported: (0.0, 0.0),
            accounted_until: 0.0,
        }
    }

    pub fn is_running(&self) -> bool {
        matches!(self.state, ServerState::Up | ServerState::Draining)
    }

    /// The part of its warm-up that is over, from 0 to 1.
    pub fn slow_start_progress(&self, now: f64, set: &scenario::Server) -> f64 {
        let Some(born) = self.started_at else {
            return 1.0;
        };
        if set.slow_start_window <= 0.0 {
            return 1.0;
        }
        ((now - born) / set.slow_start_window).clamp(0.0, 1.0)
    }

    /// What it can do now.
    pub fn current_capacity(&self, now: f64, set: &scenario::Server) -> f64 {
        let warm = set.slow_start_min_share
            + (1.0 - set.slow_start_min_share) * self.slow_start_progress(now, set);
        (self.capacity * self.capacity_factor * warm).max(1e-6)
    }

    /// What it is asked for, groups included.
    pub fn demanded_load(&self, set: &scenario::Server) -> f64 {
        self.load + set.group_cost * self.connections_by_group.len() as f64
    }

    /// The load over what it can do.
    pub fn utilisation(&self, now: f64, set: &scenario::Server) -> f64 {
        self.demanded_load(set) / self.current_capacity(now, set)
    }

    /// The part of its connections' messages that is answered in time. With processor sharing a message
    /// takes its own work over what is idle, exponentially spread (M/M/1); in time is what takes at most
    /// `slack` times its work. Past capacity the share of the work that is done counts besides.
    pub fn on_time_ratio(&self, now: f64, set: &scenario::Server) -> f64 {
        if !self.is_running() {
            return 0.0;
        }
        let figure = self.utilisation(now, set);
        let idle = (1.0 - figure).max(IDLE);
        (1.0 - (-set.max_slowdown * idle).exp()) * (1.0 / figure.max(1e-9)).min(1.0)
    }

    /// How long a set-up takes that comes now: those before it, at the pace that connections leave.
    pub fn enqueue_setup(&mut self, now: f64, set: &scenario::Server) -> f64 {
        let free = (1.0 - self.utilisation(now, set)).max(0.05);
        let work = set.setup_work / (self.current_capacity(now, set) * free);
        let start = self.setups_done_at.max(now);
        self.setups_done_at = start + work;
        self.setups_done_at - now
    }

    pub fn add_connection(&mut self, class: usize, worth: f64, load: f64, group: Option<u64>) {
        self.load += load;
        self.connections += 1;
        self.worth_by_class[class] += worth;
        if let Some(group) = group {
            *self.connections_by_group.entry(group).or_default() += 1;
        }
    }

    pub fn remove_connection(&mut self, class: usize, worth: f64, load: f64, group: Option<u64>) {
        self.load = (self.load - load).max(0.0);
        self.connections -= 1;
        self.worth_by_class[class] -= worth;
        if let Some(group) = group
            && let Some(count) = self.connections_by_group.get_mut(&group)
        {
            *count -= 1;
            if *count == 0 {
                self.connections_by_group.remove(&group);
            }
        }
    }

    /// A new process: nothing of the old one is left.
    pub fn restart(&mut self, now: f64, cold: bool) {
        let classes = self.worth_by_class.len();
        let (zone, capacity, process) = (self.zone, self.capacity, self.incarnation + 1);
        *self = Self {
            capacity_factor: self.capacity_factor,
            is_failing: self.is_failing,
            started_at: cold.then_some(now),
            incarnation: process,
            accounted_until: now,
            ..Self::new(zone, capacity, classes)
        };
    }
}

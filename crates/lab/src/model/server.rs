//! Model of a server: processor sharing among its connections, connection set-ups that cost work, a slow start after a
//! restart, and a limited capacity.

use std::collections::BTreeMap;

use crate::scenario;

/// Share of a fully loaded server's capacity that stays idle, because messages do not arrive evenly.
const MIN_IDLE_SHARE: f64 = 0.02;

/// Availability of a server's process and machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    Up,
    /// Accepts no new connections; the process ends soon.
    Draining,
    /// The process has ended: connection attempts are refused at once.
    Down,
    /// The machine is lost: connection attempts get no reply.
    Unreachable,
}

/// State of one simulated server. Times are in seconds of simulated time.
#[derive(Debug)]
pub struct Server {
    pub state: ServerState,
    pub zone: usize,
    /// Seconds of work done per second after the slow start and without troubles.
    pub capacity: f64,
    /// Share of `capacity` that is left during troubles.
    pub capacity_factor: f64,
    pub is_failing: bool,
    /// Start time of the process; `None` if it started before the run.
    pub started_at: Option<f64>,
    /// Work per second demanded by the connections.
    pub load: f64,
    pub connections: usize,
    /// Worth of the connections, by class.
    pub worth_by_class: Vec<f64>,
    pub connections_by_group: BTreeMap<u64, usize>,
    /// Number of connection set-ups in progress.
    pub pending_setups: usize,
    /// Time at which the last queued set-up completes.
    pub setups_done_at: f64,
    /// Number of restarts so far; identifies events that belong to an earlier process.
    pub incarnation: u32,
    /// Last sampled utilisation and number of connections, which the server reports to proxies.
    pub reported: (f64, f64),
    /// Time up to which served worth has been accounted for.
    pub accounted_until: f64,
}

impl Server {
    /// Creates a warm server without connections.
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

    /// Whether the server's process runs and its machine is reachable.
    pub fn is_running(&self) -> bool {
        matches!(self.state, ServerState::Up | ServerState::Draining)
    }

    /// Elapsed share of the slow-start window, from 0 to 1.
    pub fn slow_start_progress(&self, now: f64, settings: &scenario::Server) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        if settings.slow_start_window <= 0.0 {
            return 1.0;
        }
        ((now - started_at) / settings.slow_start_window).clamp(0.0, 1.0)
    }

    /// Current capacity in seconds of work per second, after slow start and troubles.
    pub fn current_capacity(&self, now: f64, settings: &scenario::Server) -> f64 {
        let slow_start_share = settings.slow_start_min_share
            + (1.0 - settings.slow_start_min_share) * self.slow_start_progress(now, settings);
        (self.capacity * self.capacity_factor * slow_start_share).max(1e-6)
    }

    /// Demanded work per second, including the cost of each group with a connection here.
    pub fn demanded_load(&self, settings: &scenario::Server) -> f64 {
        self.load + settings.group_cost * self.connections_by_group.len() as f64
    }

    /// Demanded load divided by the current capacity.
    pub fn utilisation(&self, now: f64, settings: &scenario::Server) -> f64 {
        self.demanded_load(settings) / self.current_capacity(now, settings)
    }

    /// Share of messages that are answered in time. With processor sharing (M/M/1), the response time of a message is
    /// exponentially distributed, with its own work divided by the idle share as the mean; a message is in time if it
    /// takes at most `max_slowdown` times its work. Above capacity, the share of the work that gets done is a further
    /// factor.
    pub fn on_time_ratio(&self, now: f64, settings: &scenario::Server) -> f64 {
        if !self.is_running() {
            return 0.0;
        }
        let utilisation = self.utilisation(now, settings);
        let idle = (1.0 - utilisation).max(MIN_IDLE_SHARE);
        (1.0 - (-settings.max_slowdown * idle).exp()) * (1.0 / utilisation.max(1e-9)).min(1.0)
    }

    /// Queues a connection set-up and returns its duration in seconds, including the set-ups queued before it. Set-ups
    /// run with the capacity that connections leave idle.
    pub fn enqueue_setup(&mut self, now: f64, settings: &scenario::Server) -> f64 {
        let idle = (1.0 - self.utilisation(now, settings)).max(0.05);
        let duration = settings.setup_work / (self.current_capacity(now, settings) * idle);
        let start = self.setups_done_at.max(now);
        self.setups_done_at = start + duration;
        self.setups_done_at - now
    }

    /// Adds a connection to the load and the counts.
    pub fn add_connection(&mut self, class: usize, worth: f64, load: f64, group: Option<u64>) {
        self.load += load;
        self.connections += 1;
        self.worth_by_class[class] += worth;
        if let Some(group) = group {
            *self.connections_by_group.entry(group).or_default() += 1;
        }
    }

    /// Removes a connection from the load and the counts.
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

    /// Replaces the process: connections, queued set-ups and reports of the old one are discarded.
    pub fn restart(&mut self, now: f64, cold: bool) {
        let classes = self.worth_by_class.len();
        let (zone, capacity, incarnation) = (self.zone, self.capacity, self.incarnation + 1);
        *self = Self {
            capacity_factor: self.capacity_factor,
            is_failing: self.is_failing,
            started_at: cold.then_some(now),
            incarnation,
            accounted_until: now,
            ..Self::new(zone, capacity, classes)
        };
    }
}

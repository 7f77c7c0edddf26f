//! Discrete-event simulation of a fleet: clients, proxies that run a policy, servers, and troubles.

mod troubles;
mod work_orders;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, StandardNormal};
use rand_pcg::Pcg64Mcg;
use violetwind_balancer::api::*;

use super::budgets::BudgetModel;
use super::policy::{GroundTruth, Policy, PolicyKind};
use super::rules::{Breach, RuleChecker};
use super::server::{Server, ServerState};
use crate::replay::RecordedClient;
use crate::scenario::Scenario;

pub use work_orders::WorkOutcome;
use work_orders::WorkRun;

/// Time in seconds after which an unanswered probe fails.
const PROBE_TIMEOUT: f64 = 0.3;
/// Time in seconds after which a connection to an unreachable server is given up.
const SILENCE_TIMEOUT: f64 = 4.0;
/// Clients of a draining server are moved off it from this many seconds after the drain notice.
const DRAIN_MOVE_DELAY: f64 = 0.7;
/// The moves off a draining server are spread over this many seconds.
const DRAIN_MOVE_SPAN: f64 = 0.8;
/// Length in seconds of the windows among which the worst is reported.
const WORST_WINDOW_SECONDS: usize = 10;

/// Result of one simulated run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Served worth divided by wanted worth over the measured part of the run.
    pub service: f64,
    /// The same ratio in the worst ten seconds of the measured part.
    pub worst_window: f64,
    /// The same ratio for the class with the lowest one.
    pub worst_class: f64,
    pub clients: u64,
    pub requests: u64,
    pub refused: u64,
    pub failed: u64,
    pub moves: u64,
    pub probes: u64,
    /// Quantiles 0.5, 0.99 and 0.999 of the time from a request to its connection, in milliseconds.
    pub setup_ms: [f64; 3],
    /// Mean over time of the standard deviation of the servers' utilisation divided by its mean.
    pub spread: f64,
    pub breaches: Vec<Breach>,
    pub breach_count: usize,
    /// Highest utilisation of a server during its slow start.
    pub cold_peak: f64,
    /// Result of the work orders, if the scenario has any.
    pub work: Option<WorkOutcome>,
    /// Service in each second.
    pub series: Vec<f64>,
    /// Lowest, mean and highest utilisation of the servers that are up, in each second.
    pub band: Vec<[f64; 3]>,
    pub moves_by_second: Vec<f64>,
    pub refused_by_second: Vec<f64>,
}

/// Connection state of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientState {
    /// Between two requests, or departed.
    Disconnected,
    Requesting(RequestId),
    Connected(RequestId, ServerId),
}

#[derive(Debug)]
struct Client {
    class: usize,
    tenant: Option<usize>,
    group: Option<u64>,
    zone: usize,
    load: f64,
    departs_at: f64,
    state: ClientState,
    /// Number of requests since the client was last served, counting the served one.
    request_count: usize,
    /// Whether the client has sent its first request, from which on its worth counts as wanted.
    has_arrived: bool,
}

#[derive(Debug)]
struct ActiveRequest {
    client: usize,
    proxy: usize,
    requested_at: f64,
    attempt: u32,
    attempt_server: Option<ServerId>,
}

struct Proxy {
    zone: usize,
    policy: Policy,
    /// Number of restarts so far; identifies events that belong to an earlier process.
    incarnation: u32,
    requests: BTreeSet<RequestId>,
}

#[derive(Clone, Debug)]
enum SimEvent {
    ClientArrival,
    SendRequest(usize),
    ClientDeparture(usize),
    LoadChange(usize, u32),
    ClientTimeout(RequestId),
    Timer(usize, u32, u64),
    AttemptArrival(RequestId, u32, ServerId),
    SetupDone(RequestId, u32, ServerId, u32),
    AttemptTimeout(RequestId, u32),
    AttemptEnded(RequestId, u32, ServerId, Ending),
    ProbeResult(usize, u32, ServerId, Ending, Report),
    ListUpdate(usize, ServerId, Status, Option<f64>),
    MoveClient(RequestId),
    SilenceTimeout(RequestId),
    Sample,
    BudgetExchange,
    TroubleStart(usize),
    TroubleEnd(usize),
    RestartServer(ServerId, bool),
    StopServer(ServerId),
    /// The coordinator of work orders runs its next check.
    RunCoordinator,
}

type Ending = violetwind_balancer::api::Outcome;

#[derive(Debug)]
struct ScheduledEvent {
    /// Simulated time in nanoseconds.
    at: u64,
    /// Orders events of the same time by their scheduling.
    number: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy_kind: PolicyKind,
    seed: u64,
    now: f64,
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    last_event_number: u64,
    arrivals: Pcg64Mcg,
    noise: Pcg64Mcg,
    fault_rng: Pcg64Mcg,
    proxies: Vec<Proxy>,
    settings: Vec<Settings>,
    servers: Vec<Server>,
    connections_by_server: Vec<BTreeSet<RequestId>>,
    clients: Vec<Client>,
    requests: HashMap<RequestId, ActiveRequest>,
    next_id: RequestId,
    truth: GroundTruth,
    rules: RuleChecker,
    budgets: BudgetModel,
    work_run: Option<WorkRun>,
    cold_peak: f64,
    arrival_rate: f64,
    /// Share of new clients with a heavy load, and the range of their load factor.
    heavy_load: Option<(f64, f64, f64)>,
    isolated_zone: Option<usize>,
    /// End of an outage during which no list updates are delivered.
    list_silent_until: f64,
    /// Time at which the shared store of the servers can handle the next set-up.
    store_free_at: f64,
    /// Worth of the clients that are present now, connected or not, by class.
    wanted_now: Vec<f64>,
    /// Time since which `wanted_now` has been unchanged.
    wanted_now_since: f64,
    /// Served and wanted worth, by second and class.
    served_worth: Vec<Vec<f64>>,
    wanted_worth: Vec<Vec<f64>>,
    setup_times: Histogram<u64>,
    /// Sum and number of the samples behind `Outcome::spread`.
    spread_sum: (f64, f64),
    counts: Counts,
    actions: Vec<Action>,
}

#[derive(Default)]
struct Counts {
    requests: u64,
    refused: u64,
    failed: u64,
    moves: u64,
    probes: u64,
    band: Vec<[f64; 3]>,
    moves_by_second: Vec<f64>,
    refused_by_second: Vec<f64>,
}

/// Creates the random number stream of one purpose, derived from the run's seed.
fn rng_stream(seed: u64, purpose: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ purpose)
}

/// Simulates a scenario with the given policy and seed.
pub fn simulate(scenario: &Scenario, kind: PolicyKind, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(scenario, kind, seed);
    simulation.start();
    while let Some(Reverse(entry)) = simulation.heap.pop() {
        let at = entry.at as f64 / 1e9;
        if at >= scenario.seconds {
            break;
        }
        simulation.now = simulation.now.max(at);
        simulation.handle_event(entry.event);
    }
    simulation.now = scenario.seconds;
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy_kind: PolicyKind, seed: u64) -> Self {
        let mut server_rng = rng_stream(seed, 1);
        let servers: Vec<Server> = (0..scenario.servers)
            .map(|n| {
                let factor =
                    1.0 + scenario.server.capacity_spread * server_rng.random_range(-1.0..=1.0);
                Server::new(
                    n % scenario.zones,
                    scenario.server.capacity * factor,
                    scenario.classes.len(),
                )
            })
            .collect();
        let settings: Vec<Settings> = (0..scenario.proxies)
            .map(|n| settings(scenario, n))
            .collect();
        let proxies = settings.iter().enumerate().map(|(n, settings)| Proxy {
            zone: n % scenario.zones,
            policy: Policy::new(policy_kind, settings, seed ^ (n as u64) << 20),
            incarnation: 0,
            requests: BTreeSet::new(),
        });
        let seconds = scenario.seconds.ceil() as usize + 1;
        Self {
            policy_kind,
            seed,
            now: 0.0,
            heap: BinaryHeap::new(),
            last_event_number: 0,
            arrivals: rng_stream(seed, 2),
            noise: rng_stream(seed, 3),
            fault_rng: rng_stream(seed, 4),
            proxies: proxies.collect(),
            settings,
            connections_by_server: vec![BTreeSet::new(); servers.len()],
            servers,
            clients: Vec::new(),
            requests: HashMap::new(),
            next_id: 0,
            truth: GroundTruth::default(),
            rules: RuleChecker::new(&scenario.budgets),
            budgets: BudgetModel::new(scenario),
            work_run: None,
            cold_peak: 0.0,
            arrival_rate: scenario.arrival_rate(),
            heavy_load: None,
            isolated_zone: None,
            list_silent_until: 0.0,
            store_free_at: 0.0,
            wanted_now: vec![0.0; scenario.classes.len()],
            wanted_now_since: 0.0,
            served_worth: vec![vec![0.0; scenario.classes.len()]; seconds],
            wanted_worth: vec![vec![0.0; scenario.classes.len()]; seconds],
            setup_times: Histogram::new_with_bounds(1, 600_000_000, 2)
                .expect("valid histogram bounds"),
            spread_sum: (0.0, 0.0),
            counts: Counts {
                band: vec![[0.0; 3]; seconds],
                moves_by_second: vec![0.0; seconds],
                refused_by_second: vec![0.0; seconds],
                ..Counts::default()
            },
            actions: Vec::new(),
            scenario,
        }
    }

    fn schedule_at(&mut self, at: f64, event: SimEvent) {
        self.last_event_number += 1;
        let entry = ScheduledEvent {
            at: (at.max(self.now) * 1e9) as u64,
            number: self.last_event_number,
            event,
        };
        self.heap.push(Reverse(entry));
    }

    fn schedule_after(&mut self, span: f64, event: SimEvent) {
        self.schedule_at(self.now + span.max(0.0), event);
    }

    fn start(&mut self) {
        for proxy in 0..self.proxies.len() {
            self.start_proxy(proxy);
        }
        match self.scenario.recorded_clients.clone() {
            Some(replayed) => self.replay_clients(&replayed),
            None => self.generate_clients(),
        }
        self.schedule_after(0.0, SimEvent::Sample);
        if !self.budgets.is_empty() {
            self.schedule_after(self.scenario.exchange_interval, SimEvent::BudgetExchange);
        }
        if let Some(work) = &self.scenario.work {
            self.schedule_at(work.start_at, SimEvent::RunCoordinator);
        }
        for (index, trouble) in self.scenario.troubles.iter().enumerate() {
            self.schedule_at(trouble.at, SimEvent::TroubleStart(index));
            self.schedule_at(trouble.at + trouble.lasts, SimEvent::TroubleEnd(index));
        }
    }

    /// Creates the recorded clients. Properties that the recording lacks are drawn as for generated clients.
    fn replay_clients(&mut self, recorded_clients: &[RecordedClient]) {
        for recorded in recorded_clients
            .iter()
            .filter(|r| r.arrived_at < self.scenario.seconds)
        {
            let client_index = self.new_client(recorded.arrived_at);
            let client = &mut self.clients[client_index];
            client.class = recorded.class;
            client.tenant = recorded
                .tenant
                .filter(|t| *t < self.scenario.demand.tenants);
            client.group = recorded.group.filter(|_| self.scenario.demand.groups > 0);
            client.load = recorded.load.unwrap_or(client.load);
            if let Some(hold_time) = recorded.held_for {
                client.departs_at = recorded.arrived_at + hold_time.max(0.1);
            }
            self.schedule_at(recorded.arrived_at, SimEvent::SendRequest(client_index));
        }
    }

    /// Generates the initial clients and starts the arrivals.
    fn generate_clients(&mut self) {
        // The clients of the steady state arrive spread over the first seconds.
        let shares: f64 = self
            .scenario
            .classes
            .iter()
            .map(|class| class.arrival_share)
            .sum();
        let weighted_hold_times = self
            .scenario
            .classes
            .iter()
            .map(|c| c.arrival_share / shares * c.mean_hold_time);
        let initial_clients = (self.arrival_rate * weighted_hold_times.sum::<f64>()) as usize;
        let ramp = self.scenario.warm_up.clamp(1.0, 10.0);
        for _ in 0..initial_clients {
            let at = self.arrivals.random_range(0.0..ramp);
            let client = self.new_client(at);
            self.schedule_at(at, SimEvent::SendRequest(client));
        }
        self.schedule_next_arrival();
    }

    /// Exchanges usage and allowances of budgets with all proxies.
    fn exchange_budgets(&mut self) {
        let (now, proxies) = (self.now, &mut self.proxies);
        let updates = self
            .budgets
            .run_exchange(now, |proxy| proxies[proxy].policy.quota_usage(now));
        for (proxy, quota, allowance) in updates {
            self.deliver_event(proxy, Event::Allowance(quota, allowance));
        }
        self.schedule_after(self.scenario.exchange_interval, SimEvent::BudgetExchange);
    }

    fn start_proxy(&mut self, proxy: usize) {
        for (quota, allowance) in self.budgets.initial_allowances(self.scenario, proxy) {
            self.deliver_event(proxy, Event::Allowance(quota, allowance));
        }
        self.deliver_event(proxy, Event::Start);
        let entries = (0..self.servers.len())
            .filter(|&n| self.servers[n].state == ServerState::Up)
            .map(|n| self.list_entry(n as ServerId, Status::Up, self.servers[n].started_at))
            .collect();
        self.deliver_event(proxy, Event::Servers(ListKind::Replace, entries));
    }

    fn list_entry(&self, server: ServerId, status: Status, started_at: Option<f64>) -> Entry {
        Entry {
            server,
            status,
            zone: Some(self.servers[server as usize].zone),
            kind: None,
            cell: 0,
            size: None,
            started_at,
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::ClientArrival => {
                let client = self.new_client(self.now);
                self.send_request(client);
                self.schedule_next_arrival();
            }
            SimEvent::SendRequest(client) => self.send_request(client),
            SimEvent::ClientDeparture(client) => self.handle_departure(client),
            SimEvent::LoadChange(client, change_count) => self.change_load(client, change_count),
            SimEvent::ClientTimeout(id) => self.handle_client_timeout(id),
            SimEvent::Timer(proxy, incarnation, token) => {
                if self.proxies[proxy].incarnation == incarnation {
                    self.deliver_event(proxy, Event::Timer(token));
                }
            }
            SimEvent::AttemptArrival(id, attempt, server) => {
                self.handle_attempt_arrival(id, attempt, server)
            }
            SimEvent::SetupDone(id, attempt, server, incarnation) => {
                self.handle_setup_done(id, attempt, server, incarnation)
            }
            SimEvent::AttemptTimeout(id, attempt) => {
                let pending = self
                    .requests
                    .get(&id)
                    .filter(|active| active.attempt == attempt);
                if let Some(server) = pending.and_then(|active| active.attempt_server) {
                    self.end_attempt(id, attempt, server, Ending::TimedOut);
                }
            }
            SimEvent::AttemptEnded(id, attempt, server, outcome) => {
                self.end_attempt(id, attempt, server, outcome)
            }
            SimEvent::ProbeResult(proxy, incarnation, server, outcome, report) => {
                if self.proxies[proxy].incarnation == incarnation {
                    self.deliver_event(proxy, Event::Probed(server, outcome, report));
                }
            }
            SimEvent::ListUpdate(proxy, server, status, started_at) => {
                self.apply_list_update(proxy, server, status, started_at)
            }
            SimEvent::MoveClient(id) => self.move_client(id),
            SimEvent::SilenceTimeout(id) => {
                if let Some((proxy, server)) = self.connected_server(id)
                    && !self.can_reach(proxy, server)
                {
                    let timed_out = Event::Probed(server, Ending::TimedOut, Report::default());
                    self.deliver_event(proxy, timed_out);
                    self.move_client(id);
                }
            }
            SimEvent::Sample => self.sample_servers(),
            SimEvent::BudgetExchange => self.exchange_budgets(),
            SimEvent::TroubleStart(n) => self.start_trouble(n),
            SimEvent::TroubleEnd(n) => self.end_trouble(n),
            SimEvent::RestartServer(server, is_cold) => self.restart_server(server, is_cold),
            SimEvent::StopServer(server) => self.stop_server(server, ServerState::Down),
            SimEvent::RunCoordinator => self.run_coordinator(),
        }
    }

    // Clients.

    fn schedule_next_arrival(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.arrivals);
        self.schedule_after(gap / self.arrival_rate.max(1e-9), SimEvent::ClientArrival);
    }

    /// Creates a client. All its random properties are drawn at once, so that every policy sees the same clients.
    fn new_client(&mut self, at: f64) -> usize {
        let scenario = self.scenario;
        let rng = &mut self.arrivals;
        let shares: f64 = scenario
            .classes
            .iter()
            .map(|class| class.arrival_share)
            .sum();
        let mut remaining_share = rng.random_range(0.0..1.0) * shares;
        let class = scenario.classes.iter().position(|class| {
            remaining_share -= class.arrival_share;
            remaining_share < 0.0
        });
        let class = class.unwrap_or(scenario.classes.len() - 1);
        let class_settings = &scenario.classes[class];
        let normal: f64 = StandardNormal.sample(rng);
        // The mean is the class's load for any spread.
        let load = class_settings.load
            * (class_settings.load_spread * normal - class_settings.load_spread.powi(2) / 2.0)
                .exp();
        let hold_time: f64 = Exp1.sample(rng);
        let (heavy_draw, factor_draw, zone) = (
            rng.random_range(0.0..1.0),
            rng.random_range(0.0..1.0),
            rng.random_range(0..scenario.zones),
        );
        let (tenant, group) = (rng.random::<u32>() as usize, rng.random::<u32>() as usize);
        let heavy = self.heavy_load.filter(|(share, _, _)| heavy_draw < *share);
        let load_factor = heavy.map_or(1.0, |(_, from, to)| from + factor_draw * (to - from));
        self.clients.push(Client {
            class,
            tenant: (scenario.demand.tenants > 0).then(|| tenant % scenario.demand.tenants),
            group: (scenario.demand.groups > 0).then(|| (group % scenario.demand.groups) as u64),
            zone,
            load: load * load_factor,
            departs_at: at + (hold_time * class_settings.mean_hold_time).max(0.5),
            state: ClientState::Disconnected,
            request_count: 0,
            has_arrived: false,
        });
        self.clients.len() - 1
    }

    /// Returns a random number in 0..1 that depends only on the seed, the client and the purpose, not on other clients.
    fn client_random(&self, client: usize, purpose: u64) -> f64 {
        let mut rng = rng_stream(self.seed ^ (client as u64) << 24, 100 + purpose);
        rng.random_range(0.0..1.0)
    }

    fn worth(&self, client: usize) -> f64 {
        self.scenario.classes[self.clients[client].class].worth
    }

    fn send_request(&mut self, client_index: usize) {
        let now = self.now;
        let client = &mut self.clients[client_index];
        if client.state != ClientState::Disconnected || now >= client.departs_at {
            return;
        }
        let is_first = !std::mem::replace(&mut client.has_arrived, true);
        let (class, zone, departs_at, request_count) = (
            client.class,
            client.zone,
            client.departs_at,
            client.request_count,
        );
        client.request_count += 1;
        if is_first {
            self.add_wanted_worth(class, self.worth(client_index));
            self.schedule_at(departs_at, SimEvent::ClientDeparture(client_index));
            self.schedule_after(
                self.scenario.demand.load_change_interval,
                SimEvent::LoadChange(client_index, 0),
            );
        }
        // The layer in front distributes clients among the proxies of their zone.
        let proxies_per_zone = self.scenario.proxies.div_ceil(self.scenario.zones);
        let position = self
            .client_random(client_index, request_count as u64)
            .powf(1.0 + self.scenario.demand.skew);
        let index = (position * proxies_per_zone as f64) as usize;
        let proxy = (index * self.scenario.zones + zone) % self.scenario.proxies;
        let id = self.next_id;
        self.next_id += 1;
        self.counts.requests += 1;
        let client_timeout = self.scenario.classes[class].deadline;
        let client = &mut self.clients[client_index];
        client.state = ClientState::Requesting(id);
        let request = Request {
            id,
            class,
            tenant: client.tenant,
            group: client.group,
            hint: None,
            client_timeout,
            is_repeat: request_count > 0,
        };
        let active = ActiveRequest {
            client: client_index,
            proxy,
            requested_at: now,
            attempt: 0,
            attempt_server: None,
        };
        self.requests.insert(id, active);
        self.proxies[proxy].requests.insert(id);
        self.rules.record_request(
            id,
            now + client_timeout,
            self.scenario.classes[class].effect,
        );
        self.schedule_after(client_timeout + 0.1, SimEvent::ClientTimeout(id));
        self.deliver_event(proxy, Event::Request(request));
    }

    /// Schedules the client's next request in about `after` seconds, unless its retries are used up.
    fn schedule_retry(&mut self, client_index: usize, after: f64) {
        let client = &mut self.clients[client_index];
        client.state = ClientState::Disconnected;
        let request_count = client.request_count;
        if request_count <= self.scenario.demand.max_retries {
            let delay = after
                * (0.75 + 0.5 * self.client_random(client_index, 1000 + request_count as u64));
            self.schedule_after(delay, SimEvent::SendRequest(client_index));
        }
    }

    /// Ends the request of a client that has waited until its deadline, and schedules a retry.
    fn handle_client_timeout(&mut self, id: RequestId) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let (client_index, proxy) = (active.client, active.proxy);
        if self.clients[client_index].state == ClientState::Requesting(id) {
            self.remove_request(id);
            self.deliver_event(proxy, Event::Gone(id));
            self.schedule_retry(client_index, self.scenario.demand.retry_delay);
        }
    }

    /// Ends a client's request or connection at the end of its stay.
    fn handle_departure(&mut self, client_index: usize) {
        let class = self.clients[client_index].class;
        self.add_wanted_worth(class, -self.worth(client_index));
        match self.clients[client_index].state {
            ClientState::Disconnected => {}
            ClientState::Requesting(id) => {
                let proxy = self.requests[&id].proxy;
                self.rules.excuse_request(id);
                self.remove_request(id);
                self.deliver_event(proxy, Event::Gone(id));
            }
            ClientState::Connected(id, _) => {
                let proxy = self.requests[&id].proxy;
                self.disconnect_client(id);
                self.deliver_event(proxy, Event::Gone(id));
            }
        }
        self.clients[client_index].state = ClientState::Disconnected;
    }

    fn change_load(&mut self, client_index: usize, change_count: u32) {
        if self.now >= self.clients[client_index].departs_at {
            return;
        }
        let factor = 0.6 + 0.8 * self.client_random(client_index, 5000 + u64::from(change_count));
        let old = self.clients[client_index].load;
        // Multiplies and divides in turn, so that loads neither shrink to zero nor grow without bound.
        let load = if change_count.is_multiple_of(2) {
            old * factor
        } else {
            old / factor
        };
        self.clients[client_index].load = load;
        self.schedule_after(
            self.scenario.demand.load_change_interval,
            SimEvent::LoadChange(client_index, change_count + 1),
        );
        if let ClientState::Connected(id, server) = self.clients[client_index].state {
            self.accrue_service(server);
            let server = &mut self.servers[server as usize];
            server.load = (server.load + load - old).max(0.0);
            let proxy = self.requests[&id].proxy;
            self.deliver_event(proxy, Event::LoadNote(id, load));
        }
    }

    fn remove_request(&mut self, id: RequestId) -> Option<ActiveRequest> {
        let active = self.requests.remove(&id)?;
        self.proxies[active.proxy].requests.remove(&id);
        Some(active)
    }

    /// Removes a connection from its server and returns its client, proxy and server.
    fn disconnect_client(&mut self, id: RequestId) -> Option<(usize, usize, ServerId)> {
        let active = self.remove_request(id)?;
        let ClientState::Connected(_, server) = self.clients[active.client].state else {
            return None;
        };
        self.accrue_service(server);
        let (client, worth) = (&self.clients[active.client], self.worth(active.client));
        let server_model = &mut self.servers[server as usize];
        server_model.remove_connection(client.class, worth, client.load, client.group);
        self.connections_by_server[server as usize].remove(&id);
        self.clients[active.client].state = ClientState::Disconnected;
        Some((active.client, active.proxy, server))
    }

    /// Returns the proxy and the server of an established connection.
    fn connected_server(&self, id: RequestId) -> Option<(usize, ServerId)> {
        let active = self.requests.get(&id)?;
        match self.clients[active.client].state {
            ClientState::Connected(_, server) => Some((active.proxy, server)),
            _ => None,
        }
    }

    /// Moves a client: its connection is closed, and it requests a new one shortly after.
    fn move_client(&mut self, id: RequestId) {
        let Some((client_index, proxy, server)) = self.disconnect_client(id) else {
            return;
        };
        self.counts.moves += 1;
        self.counts.moves_by_second[self.now as usize] += 1.0;
        self.report_connection_end(id, proxy, server, Ending::Cancelled);
        // The client was served, so its next request does not count towards its retries.
        self.clients[client_index].request_count = 1;
        self.schedule_retry(client_index, 0.1);
    }

    /// Reports to the proxy that an established connection ended.
    fn report_connection_end(
        &mut self,
        id: RequestId,
        proxy: usize,
        server: ServerId,
        outcome: Ending,
    ) {
        let ended = AttemptEnd {
            id,
            server,
            outcome,
            is_final: true,
            report: Report::default(),
        };
        self.deliver_event(proxy, Event::Outcome(ended));
    }

    // Proxies.

    /// Passes an event to the policy of a proxy and carries out the resulting actions.
    fn deliver_event(&mut self, proxy: usize, event: Event) {
        if self.policy_kind == PolicyKind::UpperBound
            && matches!(event, Event::Request(_) | Event::Outcome(_))
        {
            self.update_truth(proxy);
        }
        let mut actions = std::mem::take(&mut self.actions);
        let policy = &mut self.proxies[proxy].policy;
        policy.handle(self.now, event, &self.truth, &mut actions);
        for action in actions.drain(..) {
            self.execute_action(proxy, action);
        }
        self.actions = actions;
    }

    /// Recomputes the true state of the servers as seen from a proxy.
    fn update_truth(&mut self, proxy: usize) {
        let (now, server_settings) = (self.now, &self.scenario.server);
        let true_state = |n: usize| {
            let server = &self.servers[n];
            let accepts = server.state == ServerState::Up
                && !server.is_failing
                && server.connections + server.pending_setups < server_settings.max_connections
                && self.can_reach(proxy, n as ServerId);
            let setup_delay = (server.setups_done_at - now).max(0.0);
            accepts.then(|| {
                (
                    server.utilisation(now, server_settings) + setup_delay,
                    server.current_capacity(now, server_settings),
                )
            })
        };
        let servers = (0..self.servers.len()).map(true_state).collect();
        let optimal_utilisation = optimal_utilisation(server_settings.max_slowdown);
        self.truth = GroundTruth {
            optimal_utilisation,
            servers,
        };
    }

    fn can_reach(&self, proxy: usize, server: ServerId) -> bool {
        let (from, to) = (self.proxies[proxy].zone, &self.servers[server as usize]);
        let is_cut = self
            .isolated_zone
            .is_some_and(|zone| (from == zone) != (to.zone == zone));
        !is_cut && to.state != ServerState::Unreachable
    }

    fn round_trip_time(&self, proxy: usize, server: ServerId) -> f64 {
        let is_same_zone = self.proxies[proxy].zone == self.servers[server as usize].zone;
        if is_same_zone {
            self.scenario.network.same_zone_rtt
        } else {
            self.scenario.network.cross_zone_rtt
        }
    }

    fn execute_action(&mut self, proxy: usize, action: Action) {
        match action {
            Action::Send(id, server, timeout, _) => self.send_attempt(proxy, id, server, timeout),
            Action::Refuse(id, retry_after) => {
                let Some(active) = self.remove_request(id) else {
                    return;
                };
                self.rules.record_answer(self.now, id);
                self.counts.refused += 1;
                self.counts.refused_by_second[self.now as usize] += 1.0;
                self.schedule_retry(
                    active.client,
                    retry_after.unwrap_or(self.scenario.demand.retry_delay),
                );
            }
            Action::Fail(id) => {
                let Some(active) = self.remove_request(id) else {
                    return;
                };
                self.rules.record_answer(self.now, id);
                self.counts.failed += 1;
                self.schedule_retry(active.client, self.scenario.demand.retry_delay);
            }
            Action::Move(id) => {
                if self.connected_server(id).is_some() {
                    self.rules.record_use(self.now, QuotaKind::Moves, None);
                    // Delayed, so that the move does not run within the balancer's own call.
                    self.schedule_after(
                        self.scenario.network.same_zone_rtt,
                        SimEvent::MoveClient(id),
                    );
                }
            }
            Action::Cancel(id, _) => {
                let pending = self
                    .requests
                    .get(&id)
                    .and_then(|active| Some((active.attempt, active.attempt_server?)));
                if let Some((attempt, server)) = pending {
                    self.schedule_after(
                        0.0,
                        SimEvent::AttemptEnded(id, attempt, server, Ending::Cancelled),
                    );
                }
            }
            Action::Probe(server) => self.send_probe(proxy, server),
            Action::Subscribe => {}
            Action::Timer(after, token) => {
                let incarnation = self.proxies[proxy].incarnation;
                self.schedule_after(after, SimEvent::Timer(proxy, incarnation, token));
            }
        }
    }

    fn send_probe(&mut self, proxy: usize, server: ServerId) {
        self.counts.probes += 1;
        self.rules.record_use(self.now, QuotaKind::Probes, None);
        let incarnation = self.proxies[proxy].incarnation;
        let rtt = self.round_trip_time(proxy, server);
        let server_model = &self.servers[server as usize];
        let (delay, outcome, report) = if !self.can_reach(proxy, server) {
            (PROBE_TIMEOUT, Ending::ConnectFailed, Report::default())
        } else if !server_model.is_running() {
            (rtt, Ending::ConnectFailed, Report::default())
        } else {
            let report = Report {
                load: Some(server_model.reported.0),
                connections: Some(server_model.reported.1),
                ..Report::default()
            };
            // A server loaded far above its capacity answers probes late or not in time.
            let overload_delay =
                0.02 * (server_model.utilisation(self.now, &self.scenario.server) - 1.0).max(0.0);
            match rtt + overload_delay < PROBE_TIMEOUT {
                true => (rtt + overload_delay, Ending::Ok, report),
                false => (PROBE_TIMEOUT, Ending::TimedOut, Report::default()),
            }
        };
        self.schedule_after(
            delay,
            SimEvent::ProbeResult(proxy, incarnation, server, outcome, report),
        );
    }

    fn send_attempt(&mut self, proxy: usize, id: RequestId, server: ServerId, timeout: f64) {
        let rtt = self.round_trip_time(proxy, server);
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        active.attempt += 1;
        active.attempt_server = Some(server);
        let attempt = active.attempt;
        if attempt > 1 {
            self.rules.record_use(self.now, QuotaKind::Further, None);
        }
        // By this time the list update about the cold server has reached every proxy.
        let server_model = &self.servers[server as usize];
        let update_delivered_at = server_model.started_at.map_or(0.0, |started_at| {
            started_at + 1.5 * self.scenario.list_timing.propagation_delay
        });
        if server_model.slow_start_progress(self.now, &self.scenario.server) < 1.0
            && self.now > update_delivered_at
        {
            self.rules
                .record_use(self.now, QuotaKind::Cold, Some(server));
        }
        self.schedule_after(timeout, SimEvent::AttemptTimeout(id, attempt));
        if !self.can_reach(proxy, server) {
            let delay = self.scenario.network.connect_timeout.min(timeout);
            let failure = SimEvent::AttemptEnded(id, attempt, server, Ending::ConnectFailed);
            return self.schedule_after(delay, failure);
        }
        self.schedule_after(1.5 * rtt, SimEvent::AttemptArrival(id, attempt, server));
    }

    /// Handles the arrival of an attempt's request line at its server.
    fn handle_attempt_arrival(&mut self, id: RequestId, attempt: u32, server: ServerId) {
        let Some(active) = self
            .requests
            .get(&id)
            .filter(|active| active.attempt == attempt)
        else {
            return;
        };
        if active.attempt_server.is_none() {
            return;
        }
        let (proxy, rtt) = (active.proxy, self.round_trip_time(active.proxy, server));
        self.rules.record_send(self.now, proxy, server);
        let (now, server_settings) = (self.now, &self.scenario.server);
        let server_model = &mut self.servers[server as usize];
        let is_full = server_model.connections + server_model.pending_setups
            >= server_settings.max_connections
            || server_model.pending_setups >= server_settings.max_pending_setups
            || server_model.state == ServerState::Draining;
        let outcome = match () {
            () if !server_model.is_running() => Some(Ending::ConnectFailed),
            () if server_model.is_failing => Some(Ending::Error),
            () if is_full => Some(Ending::Full),
            () => None,
        };
        if let Some(outcome) = outcome {
            return self.schedule_after(
                0.5 * rtt,
                SimEvent::AttemptEnded(id, attempt, server, outcome),
            );
        }
        server_model.pending_setups += 1;
        let mut duration = server_model.enqueue_setup(now, server_settings);
        let incarnation = server_model.incarnation;
        if server_settings.store_setups_per_s > 0.0 {
            self.store_free_at =
                self.store_free_at.max(now) + 1.0 / server_settings.store_setups_per_s;
            duration = duration.max(self.store_free_at - now);
        }
        self.schedule_after(
            duration + 0.5 * rtt,
            SimEvent::SetupDone(id, attempt, server, incarnation),
        );
    }

    /// Marks an attempt as ended and returns its client, its proxy and the time of its request; `None` if it has ended
    /// before.
    fn take_attempt(&mut self, id: RequestId, attempt: u32) -> Option<(usize, usize, f64)> {
        let active = self.requests.get_mut(&id)?;
        if active.attempt != attempt {
            return None;
        }
        active.attempt_server.take()?;
        Some((active.client, active.proxy, active.requested_at))
    }

    /// Handles the end of a set-up: the request was executed, even if its attempt has been given up meanwhile.
    fn handle_setup_done(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        incarnation: u32,
    ) {
        let server_model = &mut self.servers[server as usize];
        if server_model.incarnation != incarnation || !server_model.is_running() {
            return;
        }
        server_model.pending_setups -= 1;
        self.rules.record_execution(self.now, id);
        let Some((client_index, proxy, requested_at)) = self.take_attempt(id, attempt) else {
            return;
        };
        self.rules.record_answer(self.now, id);
        let micros = ((self.now - requested_at) * 1e6) as u64;
        self.setup_times.saturating_record(micros.max(1));
        self.accrue_service(server);
        let (client, worth) = (&self.clients[client_index], self.worth(client_index));
        let (class, load, group) = (client.class, client.load, client.group);
        self.servers[server as usize].add_connection(class, worth, load, group);
        self.connections_by_server[server as usize].insert(id);
        let client = &mut self.clients[client_index];
        client.state = ClientState::Connected(id, server);
        client.request_count = 1;
        // The attempt was in flight when the server began to drain: its connection is moved like the others.
        if self.rules.knows_drain(proxy, server) {
            self.schedule_after(DRAIN_MOVE_DELAY, SimEvent::MoveClient(id));
        }
        self.deliver_event(proxy, Event::Begun(id, server));
        self.deliver_event(proxy, Event::LoadNote(id, load));
    }

    /// Reports to the proxy that an attempt ended without a connection.
    fn end_attempt(&mut self, id: RequestId, attempt: u32, server: ServerId, outcome: Ending) {
        let Some((_, proxy, _)) = self.take_attempt(id, attempt) else {
            return;
        };
        let ended = AttemptEnd {
            id,
            server,
            outcome,
            is_final: false,
            report: Report::default(),
        };
        self.deliver_event(proxy, Event::Outcome(ended));
    }

    /// Delivers a change of the server list to a proxy, and moves its clients off a server that is not up.
    fn apply_list_update(
        &mut self,
        proxy: usize,
        server: ServerId,
        status: Status,
        started_at: Option<f64>,
    ) {
        if self.now < self.list_silent_until {
            // Later by more than the clock's resolution of 1 ns; otherwise rounding could deliver the event early and
            // postpone it forever.
            let resumed_at = self.list_silent_until + 1e-6;
            return self.schedule_at(
                resumed_at,
                SimEvent::ListUpdate(proxy, server, status, started_at),
            );
        }
        let is_draining = status != Status::Up;
        self.rules
            .record_drain_notice(self.now, proxy, server, is_draining);
        let entry = self.list_entry(server, status, started_at);
        self.deliver_event(proxy, Event::Servers(ListKind::Update, vec![entry]));
        if is_draining {
            let affected: Vec<RequestId> = self.connections_by_server[server as usize]
                .iter()
                .copied()
                .filter(|id| {
                    self.requests
                        .get(id)
                        .is_some_and(|active| active.proxy == proxy)
                })
                .collect();
            let first_delay = if status == Status::Gone {
                0.0
            } else {
                DRAIN_MOVE_DELAY
            };
            let interval = DRAIN_MOVE_SPAN / affected.len().max(1) as f64;
            for (position, id) in affected.into_iter().enumerate() {
                self.schedule_after(
                    first_delay + interval * position as f64,
                    SimEvent::MoveClient(id),
                );
            }
        }
    }

    // Servers.

    /// Sends a change of a server's status to all proxies, to each with its own delay.
    fn announce_status(&mut self, server: ServerId, status: Status) {
        let started_at = self.servers[server as usize].started_at;
        for proxy in 0..self.proxies.len() {
            let delay =
                self.scenario.list_timing.propagation_delay * self.fault_rng.random_range(0.5..1.5);
            self.schedule_after(
                delay,
                SimEvent::ListUpdate(proxy, server, status, started_at),
            );
        }
    }

    /// Ends a server's process, which resets its connections, or makes its machine unreachable, which leaves them
    /// without an answer.
    fn stop_server(&mut self, server: ServerId, state: ServerState) {
        self.accrue_service(server);
        self.servers[server as usize].state = state;
        let connected: Vec<RequestId> = self.connections_by_server[server as usize]
            .iter()
            .copied()
            .collect();
        let mut pending_attempts: Vec<(RequestId, u32)> = Vec::new();
        for proxy in &self.proxies {
            let active = proxy
                .requests
                .iter()
                .filter_map(|id| Some((*id, self.requests.get(id)?)));
            let affected = active.filter(|(_, active)| active.attempt_server == Some(server));
            pending_attempts.extend(affected.map(|(id, active)| (id, active.attempt)));
        }
        if state == ServerState::Unreachable {
            for id in connected {
                self.schedule_after(SILENCE_TIMEOUT, SimEvent::SilenceTimeout(id));
            }
            return;
        }
        for id in connected {
            if let Some((client_index, proxy, server)) = self.disconnect_client(id) {
                self.report_connection_end(id, proxy, server, Ending::Reset);
                self.schedule_retry(client_index, 0.3);
            }
        }
        for (id, attempt) in pending_attempts {
            self.schedule_after(
                0.001,
                SimEvent::AttemptEnded(id, attempt, server, Ending::Reset),
            );
        }
    }

    fn restart_server(&mut self, server: ServerId, is_cold: bool) {
        self.accrue_service(server);
        let connected: Vec<RequestId> = self.connections_by_server[server as usize]
            .iter()
            .copied()
            .collect();
        for id in connected {
            // A machine that returns resets connections of the earlier process.
            if let Some((client_index, proxy, server)) = self.disconnect_client(id) {
                self.report_connection_end(id, proxy, server, Ending::Reset);
                self.schedule_retry(client_index, 0.3);
            }
        }
        self.servers[server as usize].restart(self.now, is_cold);
        self.announce_status(server, Status::Up);
    }

    /// Adds the worth that a server has served since its last accounting.
    fn accrue_service(&mut self, server: ServerId) {
        let (now, server_settings) = (self.now, &self.scenario.server);
        let server_model = &mut self.servers[server as usize];
        let duration = now - server_model.accounted_until;
        if duration <= 0.0 {
            return;
        }
        let second = server_model.accounted_until as usize;
        server_model.accounted_until = now;
        let on_time_ratio = server_model.on_time_ratio(now, server_settings);
        if let Some(served) = self.served_worth.get_mut(second) {
            for (sum, worth) in served.iter_mut().zip(&server_model.worth_by_class) {
                *sum += worth * on_time_ratio * duration;
            }
        }
    }

    /// Adds the wanted worth since the last change to the totals, then changes that of `class` by `worth`.
    fn add_wanted_worth(&mut self, class: usize, worth: f64) {
        let duration = self.now - self.wanted_now_since;
        let second = self.wanted_now_since as usize;
        if let Some(wanted) = self.wanted_worth.get_mut(second) {
            for (sum, class_worth) in wanted.iter_mut().zip(&self.wanted_now) {
                *sum += class_worth * duration;
            }
        }
        self.wanted_now_since = self.now;
        self.wanted_now[class] += worth;
    }

    /// Periodic sample: updates the reports of servers, accounts for their service, and checks cold servers for
    /// overload.
    fn sample_servers(&mut self) {
        let scenario = self.scenario;
        self.add_wanted_worth(0, 0.0);
        let (mut sum, mut squares, mut servers_up) = (0.0, 0.0, 0.0);
        let (mut low, mut high) = (f64::INFINITY, 0.0_f64);
        for server_index in 0..self.servers.len() {
            self.accrue_service(server_index as ServerId);
            let noise: f64 = StandardNormal.sample(&mut self.noise);
            let server_model = &mut self.servers[server_index];
            let utilisation = server_model.utilisation(self.now, &scenario.server);
            let noisy_utilisation =
                (utilisation * (1.0 + scenario.server.report_noise * noise)).max(0.0);
            // Reports lag behind: the reported utilisation approaches the current one with a weight that falls with the
            // report delay.
            let weight = (scenario.server.report_interval
                / (scenario.server.report_interval + scenario.server.report_delay))
                .clamp(0.0, 1.0);
            server_model.reported.0 += weight * (noisy_utilisation - server_model.reported.0);
            server_model.reported.1 = server_model.connections as f64;
            let is_cold = server_model.state == ServerState::Up
                && server_model.slow_start_progress(self.now, &scenario.server) < 1.0;
            self.rules
                .record_cold_load(self.now, server_index as u32, is_cold, utilisation);
            if is_cold && self.now >= scenario.warm_up {
                self.cold_peak = self.cold_peak.max(utilisation);
            }
            if server_model.state == ServerState::Up {
                (sum, squares, servers_up) = (
                    sum + utilisation,
                    squares + utilisation * utilisation,
                    servers_up + 1.0,
                );
                (low, high) = (low.min(utilisation), high.max(utilisation));
            }
        }
        if servers_up > 0.0 {
            self.counts.band[self.now as usize] = [low, sum / servers_up, high];
        }
        if sum > 0.0 && self.now >= scenario.warm_up {
            let mean: f64 = sum / servers_up;
            let variance: f64 = (squares / servers_up - mean * mean).max(0.0);
            self.spread_sum.0 += variance.sqrt() / mean;
            self.spread_sum.1 += 1.0;
        }
        self.schedule_after(scenario.server.report_interval, SimEvent::Sample);
    }

    fn finish(mut self) -> Outcome {
        self.add_wanted_worth(0, 0.0);
        for server in 0..self.servers.len() {
            self.accrue_service(server as ServerId);
        }
        self.rules.finish(self.now);
        let measured = self.scenario.warm_up as usize..self.scenario.seconds as usize;
        let classes = self.scenario.classes.len();
        let service_ratio = |seconds: std::ops::Range<usize>, class: Option<usize>| {
            let sum = |table: &Vec<Vec<f64>>| -> f64 {
                let rows = table[seconds.clone()].iter();
                rows.map(|row| class.map_or(row.iter().sum::<f64>(), |class| row[class]))
                    .sum()
            };
            let wanted = sum(&self.wanted_worth);
            if wanted > 0.0 {
                (sum(&self.served_worth) / wanted).min(1.0)
            } else {
                1.0
            }
        };
        let window_starts = measured
            .clone()
            .filter(|from| from + WORST_WINDOW_SECONDS <= measured.end);
        let window_ratios =
            window_starts.map(|from| service_ratio(from..from + WORST_WINDOW_SECONDS, None));
        let worst_window = window_ratios.fold(f64::INFINITY, f64::min);
        let service = service_ratio(measured.clone(), None);
        let by_class = (0..classes).map(|class| service_ratio(measured.clone(), Some(class)));
        let quantile = |q: f64| self.setup_times.value_at_quantile(q) as f64 / 1e3;
        Outcome {
            service,
            worst_window: if worst_window.is_finite() {
                worst_window
            } else {
                service
            },
            worst_class: by_class.fold(f64::INFINITY, f64::min),
            clients: self.clients.len() as u64,
            requests: self.counts.requests,
            refused: self.counts.refused,
            failed: self.counts.failed,
            moves: self.counts.moves,
            probes: self.counts.probes,
            setup_ms: [quantile(0.5), quantile(0.99), quantile(0.999)],
            spread: self.spread_sum.0 / self.spread_sum.1.max(1.0),
            series: (0..self.scenario.seconds as usize)
                .map(|s| service_ratio(s..s + 1, None))
                .collect(),
            band: self.counts.band,
            moves_by_second: self.counts.moves_by_second,
            refused_by_second: self.counts.refused_by_second,
            breaches: self.rules.breaches,
            breach_count: self.rules.breach_count,
            cold_peak: self.cold_peak,
            work: self.work_run.map(WorkRun::into_outcome),
        }
    }
}

/// Utilisation at which the most work is answered in time; a higher load lowers the amount.
fn optimal_utilisation(max_slowdown: f64) -> f64 {
    let on_time_work =
        |utilisation: f64| utilisation * (1.0 - (-max_slowdown * (1.0 - utilisation)).exp());
    let utilisations = (1..100).map(|n| f64::from(n) / 100.0);
    utilisations
        .max_by(|a, b| on_time_work(*a).total_cmp(&on_time_work(*b)))
        .unwrap_or(1.0)
}

/// Returns the balancer settings of a proxy of the scenario.
fn settings(scenario: &Scenario, proxy: usize) -> Settings {
    let class = |class: &crate::scenario::Class| Class {
        idempotency: class.effect,
        dedup_scope: DedupScope::All,
        dedup_window: 30.0,
        setup_target: class.setup_target,
        worth: class.worth,
    };
    Settings {
        fleet_size: scenario.proxies,
        balancer_index: proxy as u64,
        zone: Some(proxy % scenario.zones),
        zones: scenario.zones,
        classes: scenario.classes.iter().map(class).collect(),
        tenants: vec![Tenant { quota: None }; scenario.demand.tenants],
        report_fields: vec![ReportField::Load, ReportField::Connections],
        max_attempts: 4,
        max_retry_after: 2.0,
        may_retry_after: true,
        may_probe: true,
        may_cancel: true,
        requires_subscription: false,
        resubscribe_within: 10.0,
        slow_start_min_share: scenario.server.slow_start_min_share,
        slow_start_window: scenario.server.slow_start_window,
        overload_multiple: 3.0,
        overload_duration: 1.5,
        group_affinity: scenario.demand.groups > 0,
        price_cross_zone: 0.02,
        price_probe: 0.0,
        over_share_worth: 0.1,
        retry_budget: None,
        message_delay_target: None,
    }
}

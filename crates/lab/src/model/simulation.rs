//! The fleet: clients, proxies that run a policy, servers, and what goes wrong.

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

/// A probe that is not answered is given up after this, and a server that brings nothing back is silent
/// to those who are on it after this.
const PROBE: f64 = 0.3;
const SILENCE_TIMEOUT: f64 = 4.0;
/// Clients of a draining server move over such a time from such a time on.
const DRAIN_WAIT: f64 = 0.7;
const DRAIN_SPAN: f64 = 0.8;
/// The windows of which the worst is told.
const WINDOW: usize = 10;

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Worth served over worth wanted: over the whole run, in its worst ten seconds, and of the class
    /// that was served worst.
    pub service: f64,
    pub worst_stretch: f64,
    pub worst_class: f64,
    pub clients: u64,
    pub requests: u64,
    pub refused: u64,
    pub failed: u64,
    pub moves: u64,
    pub probes: u64,
    /// Quantiles of the time from a request to its connection, in milliseconds.
    pub setup_ms: [f64; 3],
    /// The mean over time of the loads' deviation over their mean.
    pub spread: f64,
    pub breaches: Vec<Breach>,
    pub breach_count: usize,
    /// The most that a cold server was asked for, over what it could do then.
    pub cold_peak: f64,
    /// What became of the orders for work, where the scenario has any.
    pub work: Option<WorkOutcome>,
    /// Second by second: service; the lowest, mean and highest load of servers that are up; moves and
    /// refusals.
    pub series: Vec<f64>,
    pub band: Vec<[f64; 3]>,
    pub moves_by_second: Vec<f64>,
    pub refused_by_second: Vec<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientState {
    /// Between two tries, or not there any more.
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
    until: f64,
    state: ClientState,
    tries: usize,
    wants: bool,
}

#[derive(Debug)]
struct ActiveRequest {
    client: usize,
    proxy: usize,
    at: f64,
    attempt: u32,
    attempt_server: Option<ServerId>,
}

struct Proxy {
    zone: usize,
    policy: Policy,
    /// Counts its processes.
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
    /// Whoever conducts work looks again.
    RunCoordinator,
}

type Ending = violetwind_balancer::api::Outcome;

#[derive(Debug)]
struct Due {
    at: u64,
    number: u64,
    event: SimEvent,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy_kind: PolicyKind,
    seed: u64,
    now: f64,
    heap: BinaryHeap<Reverse<Due>>,
    number: u64,
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
    heavy_load: Option<(f64, f64, f64)>,
    isolated_zone: Option<usize>,
    list_silent_until: f64,
    store_free: f64,
    /// Worth that is wanted now, by class, and since when that holds.
    wanting: Vec<f64>,
    wanting_since: f64,
    served: Vec<Vec<f64>>,
    wanted: Vec<Vec<f64>>,
    setups: Histogram<u64>,
    spread: (f64, f64),
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

/// A stream of its own for each purpose.
fn rng_stream(seed: u64, purpose: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ purpose)
}

/// Plays a scenario with a seed.
pub fn simulate(set: &Scenario, kind: PolicyKind, seed: u64) -> Outcome {
    let mut world = Simulation::new(set, kind, seed);
    world.begin();
    while let Some(Reverse(entry)) = world.heap.pop() {
        let at = entry.at as f64 / 1e9;
        if at >= set.seconds {
            break;
        }
        world.now = world.now.max(at);
        world.step(entry.event);
    }
    world.now = set.seconds;
    world.end()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy_kind: PolicyKind, seed: u64) -> Self {
        let mut machines = rng_stream(seed, 1);
        let servers: Vec<Server> = (0..scenario.servers)
            .map(|n| {
                let differs =
                    1.0 + scenario.server.capacity_spread * machines.random_range(-1.0..=1.0);
                Server::new(
                    n % scenario.zones,
                    scenario.server.capacity * differs,
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
            number: 0,
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
            store_free: 0.0,
            wanting: vec![0.0; scenario.classes.len()],
            wanting_since: 0.0,
            served: vec![vec![0.0; scenario.classes.len()]; seconds],
            wanted: vec![vec![0.0; scenario.classes.len()]; seconds],
            setups: Histogram::new_with_bounds(1, 600_000_000, 2).expect("sound bounds"),
            spread: (0.0, 0.0),
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

    fn at(&mut self, at: f64, event: SimEvent) {
        self.number += 1;
        let entry = Due {
            at: (at.max(self.now) * 1e9) as u64,
            number: self.number,
            event,
        };
        self.heap.push(Reverse(entry));
    }

    fn schedule_after(&mut self, span: f64, event: SimEvent) {
        self.at(self.now + span.max(0.0), event);
    }

    fn begin(&mut self) {
        for proxy in 0..self.proxies.len() {
            self.start_proxy(proxy);
        }
        match self.scenario.recorded_clients.clone() {
            Some(replayed) => self.replay(&replayed),
            None => self.make_up(),
        }
        self.schedule_after(0.0, SimEvent::Sample);
        if !self.budgets.is_empty() {
            self.schedule_after(self.scenario.exchange_interval, SimEvent::BudgetExchange);
        }
        if let Some(work) = &self.scenario.work {
            self.at(work.start_at, SimEvent::RunCoordinator);
        }
        for (n, trouble) in self.scenario.troubles.iter().enumerate() {
            self.at(trouble.at, SimEvent::TroubleStart(n));
            self.at(trouble.at + trouble.lasts, SimEvent::TroubleEnd(n));
        }
    }

    /// Clients as they were recorded; what the recording does not know is drawn as for made-up ones.
    fn replay(&mut self, replayed: &[RecordedClient]) {
        for recorded in replayed
            .iter()
            .filter(|r| r.arrived_at < self.scenario.seconds)
        {
            let n = self.new_client(recorded.arrived_at);
            let client = &mut self.clients[n];
            client.class = recorded.class;
            client.tenant = recorded
                .tenant
                .filter(|t| *t < self.scenario.demand.tenants);
            client.group = recorded.group.filter(|_| self.scenario.demand.groups > 0);
            client.load = recorded.load.unwrap_or(client.load);
            if let Some(hold) = recorded.held_for {
                client.until = recorded.arrived_at + hold.max(0.1);
            }
            self.at(recorded.arrived_at, SimEvent::SendRequest(n));
        }
    }

    fn make_up(&mut self) {
        // Those who would be there already come one after the other.
        let shares: f64 = self
            .scenario
            .classes
            .iter()
            .map(|class| class.arrival_share)
            .sum();
        let hold = self
            .scenario
            .classes
            .iter()
            .map(|c| c.arrival_share / shares * c.mean_hold_time);
        let there = (self.arrival_rate * hold.sum::<f64>()) as usize;
        let within = self.scenario.warm_up.clamp(1.0, 10.0);
        for _ in 0..there {
            let at = self.arrivals.random_range(0.0..within);
            let client = self.new_client(at);
            self.at(at, SimEvent::SendRequest(client));
        }
        self.next_arrival();
    }

    fn exchange(&mut self) {
        let (now, proxies) = (self.now, &mut self.proxies);
        let told = self
            .budgets
            .run_exchange(now, |proxy| proxies[proxy].policy.quota_usage(now));
        for (proxy, matter, allowance) in told {
            self.deliver_event(proxy, Event::Allowance(matter, allowance));
        }
        self.schedule_after(self.scenario.exchange_interval, SimEvent::BudgetExchange);
    }

    fn start_proxy(&mut self, proxy: usize) {
        for (matter, allowance) in self.budgets.initial_allowances(self.scenario, proxy) {
            self.deliver_event(proxy, Event::Allowance(matter, allowance));
        }
        self.deliver_event(proxy, Event::Start);
        let entries = (0..self.servers.len())
            .filter(|&n| self.servers[n].state == ServerState::Up)
            .map(|n| self.entry(n as ServerId, Status::Up, self.servers[n].started_at))
            .collect();
        self.deliver_event(proxy, Event::Servers(ListKind::Replace, entries));
    }

    fn entry(&self, server: ServerId, status: Status, born: Option<f64>) -> Entry {
        Entry {
            server,
            status,
            zone: Some(self.servers[server as usize].zone),
            kind: None,
            cell: 0,
            size: None,
            started_at: born,
        }
    }

    fn step(&mut self, event: SimEvent) {
        match event {
            SimEvent::ClientArrival => {
                let client = self.new_client(self.now);
                self.come(client);
                self.next_arrival();
            }
            SimEvent::SendRequest(client) => self.come(client),
            SimEvent::ClientDeparture(client) => self.leave(client),
            SimEvent::LoadChange(client, times) => self.change(client, times),
            SimEvent::ClientTimeout(id) => self.give_up(id),
            SimEvent::Timer(proxy, process, token) => {
                if self.proxies[proxy].incarnation == process {
                    self.deliver_event(proxy, Event::Timer(token));
                }
            }
            SimEvent::AttemptArrival(id, attempt, server) => self.arrived(id, attempt, server),
            SimEvent::SetupDone(id, attempt, server, process) => {
                self.done(id, attempt, server, process)
            }
            SimEvent::AttemptTimeout(id, attempt) => {
                let out = self
                    .requests
                    .get(&id)
                    .filter(|asked| asked.attempt == attempt);
                if let Some(server) = out.and_then(|asked| asked.attempt_server) {
                    self.ended(id, attempt, server, Ending::TimedOut);
                }
            }
            SimEvent::AttemptEnded(id, attempt, server, outcome) => {
                self.ended(id, attempt, server, outcome)
            }
            SimEvent::ProbeResult(proxy, process, server, outcome, report) => {
                if self.proxies[proxy].incarnation == process {
                    self.deliver_event(proxy, Event::Probed(server, outcome, report));
                }
            }
            SimEvent::ListUpdate(proxy, server, status, born) => {
                self.told(proxy, server, status, born)
            }
            SimEvent::MoveClient(id) => self.move_away(id),
            SimEvent::SilenceTimeout(id) => {
                if let Some((proxy, server)) = self.up_on(id)
                    && !self.reaches(proxy, server)
                {
                    let silent = Event::Probed(server, Ending::TimedOut, Report::default());
                    self.deliver_event(proxy, silent);
                    self.move_away(id);
                }
            }
            SimEvent::Sample => self.look(),
            SimEvent::BudgetExchange => self.exchange(),
            SimEvent::TroubleStart(n) => self.start_trouble(n),
            SimEvent::TroubleEnd(n) => self.end_trouble(n),
            SimEvent::RestartServer(server, cold) => self.restart_server(server, cold),
            SimEvent::StopServer(server) => self.stop_server(server, ServerState::Down),
            SimEvent::RunCoordinator => self.run_coordinator(),
        }
    }

    // Clients.

    fn next_arrival(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.arrivals);
        self.schedule_after(gap / self.arrival_rate.max(1e-9), SimEvent::ClientArrival);
    }

    /// A client with all that chance gives it, drawn in one go so that every policy meets the same.
    fn new_client(&mut self, at: f64) -> usize {
        let set = self.scenario;
        let rng = &mut self.arrivals;
        let shares: f64 = set.classes.iter().map(|class| class.arrival_share).sum();
        let mut pick = rng.random_range(0.0..1.0) * shares;
        let class = set.classes.iter().position(|class| {
            pick -= class.arrival_share;
            pick < 0.0
        });
        let class = class.unwrap_or(set.classes.len() - 1);
        let of = &set.classes[class];
        let normal: f64 = StandardNormal.sample(rng);
        // The mean is the class's load, whatever the spread.
        let load = of.load * (of.load_spread * normal - of.load_spread.powi(2) / 2.0).exp();
        let hold: f64 = Exp1.sample(rng);
        let (heavy, times, zone) = (
            rng.random_range(0.0..1.0),
            rng.random_range(0.0..1.0),
            rng.random_range(0..set.zones),
        );
        let (tenant, group) = (rng.random::<u32>() as usize, rng.random::<u32>() as usize);
        let heavy = self.heavy_load.filter(|(share, _, _)| heavy < *share);
        let times = heavy.map_or(1.0, |(_, from, to)| from + times * (to - from));
        self.clients.push(Client {
            class,
            tenant: (set.demand.tenants > 0).then(|| tenant % set.demand.tenants),
            group: (set.demand.groups > 0).then(|| (group % set.demand.groups) as u64),
            zone,
            load: load * times,
            until: at + (hold * of.mean_hold_time).max(0.5),
            state: ClientState::Disconnected,
            tries: 0,
            wants: false,
        });
        self.clients.len() - 1
    }

    /// Chance of a client's own, the same whatever happened to others.
    fn own(&self, client: usize, purpose: u64) -> f64 {
        let mut rng = rng_stream(self.seed ^ (client as u64) << 24, 100 + purpose);
        rng.random_range(0.0..1.0)
    }

    fn worth(&self, client: usize) -> f64 {
        self.scenario.classes[self.clients[client].class].worth
    }

    fn come(&mut self, n: usize) {
        let now = self.now;
        let client = &mut self.clients[n];
        if client.state != ClientState::Disconnected || now >= client.until {
            return;
        }
        let first = !std::mem::replace(&mut client.wants, true);
        let (class, zone, until, tries) = (client.class, client.zone, client.until, client.tries);
        client.tries += 1;
        if first {
            self.want(class, self.worth(n));
            self.at(until, SimEvent::ClientDeparture(n));
            self.schedule_after(
                self.scenario.demand.load_change_interval,
                SimEvent::LoadChange(n, 0),
            );
        }
        // The front deals clients out among the proxies of their zone.
        let of_zone = self.scenario.proxies.div_ceil(self.scenario.zones);
        let at = self
            .own(n, tries as u64)
            .powf(1.0 + self.scenario.demand.skew);
        let turn = (at * of_zone as f64) as usize;
        let proxy = (turn * self.scenario.zones + zone) % self.scenario.proxies;
        let id = self.next_id;
        self.next_id += 1;
        self.counts.requests += 1;
        let patience = self.scenario.classes[class].deadline;
        let client = &mut self.clients[n];
        client.state = ClientState::Requesting(id);
        let request = Request {
            id,
            class,
            tenant: client.tenant,
            group: client.group,
            hint: None,
            client_timeout: patience,
            is_repeat: tries > 0,
        };
        let asked = ActiveRequest {
            client: n,
            proxy,
            at: now,
            attempt: 0,
            attempt_server: None,
        };
        self.requests.insert(id, asked);
        self.proxies[proxy].requests.insert(id);
        self.rules
            .record_request(id, now + patience, self.scenario.classes[class].effect);
        self.schedule_after(patience + 0.1, SimEvent::ClientTimeout(id));
        self.deliver_event(proxy, Event::Request(request));
    }

    /// Comes again after such a time, or gives up for good.
    fn schedule_retry(&mut self, n: usize, after: f64) {
        let client = &mut self.clients[n];
        client.state = ClientState::Disconnected;
        let tries = client.tries;
        if tries <= self.scenario.demand.max_retries {
            let wait = after * (0.75 + 0.5 * self.own(n, 1000 + tries as u64));
            self.schedule_after(wait, SimEvent::SendRequest(n));
        }
    }

    fn give_up(&mut self, id: RequestId) {
        let Some(asked) = self.requests.get(&id) else {
            return;
        };
        let (n, proxy) = (asked.client, asked.proxy);
        if self.clients[n].state == ClientState::Requesting(id) {
            self.remove_request(id);
            self.deliver_event(proxy, Event::Gone(id));
            self.schedule_retry(n, self.scenario.demand.retry_delay);
        }
    }

    fn leave(&mut self, n: usize) {
        let class = self.clients[n].class;
        self.want(class, -self.worth(n));
        match self.clients[n].state {
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
        self.clients[n].state = ClientState::Disconnected;
    }

    fn change(&mut self, n: usize, times: u32) {
        if self.now >= self.clients[n].until {
            return;
        }
        let by = 0.6 + 0.8 * self.own(n, 5000 + u64::from(times));
        let old = self.clients[n].load;
        // Drawn back to where it began, so that loads neither vanish nor explode.
        let load = if times.is_multiple_of(2) {
            old * by
        } else {
            old / by
        };
        self.clients[n].load = load;
        self.schedule_after(
            self.scenario.demand.load_change_interval,
            SimEvent::LoadChange(n, times + 1),
        );
        if let ClientState::Connected(id, server) = self.clients[n].state {
            self.accrue_service(server);
            let server = &mut self.servers[server as usize];
            server.load = (server.load + load - old).max(0.0);
            let proxy = self.requests[&id].proxy;
            self.deliver_event(proxy, Event::LoadNote(id, load));
        }
    }

    fn remove_request(&mut self, id: RequestId) -> Option<ActiveRequest> {
        let asked = self.requests.remove(&id)?;
        self.proxies[asked.proxy].requests.remove(&id);
        Some(asked)
    }

    /// Takes a connection off its server.
    fn disconnect_client(&mut self, id: RequestId) -> Option<(usize, usize, ServerId)> {
        let asked = self.remove_request(id)?;
        let ClientState::Connected(_, server) = self.clients[asked.client].state else {
            return None;
        };
        self.accrue_service(server);
        let (client, worth) = (&self.clients[asked.client], self.worth(asked.client));
        let place = &mut self.servers[server as usize];
        place.remove_connection(client.class, worth, client.load, client.group);
        self.connections_by_server[server as usize].remove(&id);
        self.clients[asked.client].state = ClientState::Disconnected;
        Some((asked.client, asked.proxy, server))
    }

    fn up_on(&self, id: RequestId) -> Option<(usize, ServerId)> {
        let asked = self.requests.get(&id)?;
        match self.clients[asked.client].state {
            ClientState::Connected(_, server) => Some((asked.proxy, server)),
            _ => None,
        }
    }

    /// The proxy moves a client: it comes again soon.
    fn move_away(&mut self, id: RequestId) {
        let Some((n, proxy, server)) = self.disconnect_client(id) else {
            return;
        };
        self.counts.moves += 1;
        self.counts.moves_by_second[self.now as usize] += 1.0;
        self.last(id, proxy, server, Ending::Cancelled);
        // It was served: that it comes again is not a retry that wears it out.
        self.clients[n].tries = 1;
        self.schedule_retry(n, 0.1);
    }

    fn last(&mut self, id: RequestId, proxy: usize, server: ServerId, outcome: Ending) {
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

    fn deliver_event(&mut self, proxy: usize, event: Event) {
        if self.policy_kind == PolicyKind::UpperBound
            && matches!(event, Event::Request(_) | Event::Outcome(_))
        {
            self.see_truth(proxy);
        }
        let mut actions = std::mem::take(&mut self.actions);
        let policy = &mut self.proxies[proxy].policy;
        policy.handle(self.now, event, &self.truth, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(proxy, action);
        }
        self.actions = actions;
    }

    fn see_truth(&mut self, proxy: usize) {
        let (now, set) = (self.now, &self.scenario.server);
        let sees = |n: usize| {
            let server = &self.servers[n];
            let takes = server.state == ServerState::Up
                && !server.is_failing
                && server.connections + server.pending_setups < set.max_connections
                && self.reaches(proxy, n as ServerId);
            let waits = (server.setups_done_at - now).max(0.0);
            takes.then(|| {
                (
                    server.utilisation(now, set) + waits,
                    server.current_capacity(now, set),
                )
            })
        };
        let servers = (0..self.servers.len()).map(sees).collect();
        let best_fill = best_fill(set.max_slowdown);
        self.truth = GroundTruth {
            optimal_utilisation: best_fill,
            servers,
        };
    }

    fn reaches(&self, proxy: usize, server: ServerId) -> bool {
        let (from, to) = (self.proxies[proxy].zone, &self.servers[server as usize]);
        let cut = self
            .isolated_zone
            .is_some_and(|zone| (from == zone) != (to.zone == zone));
        !cut && to.state != ServerState::Unreachable
    }

    fn trip(&self, proxy: usize, server: ServerId) -> f64 {
        let near = self.proxies[proxy].zone == self.servers[server as usize].zone;
        if near {
            self.scenario.network.same_zone_rtt
        } else {
            self.scenario.network.cross_zone_rtt
        }
    }

    fn carry_out(&mut self, proxy: usize, action: Action) {
        match action {
            Action::Send(id, server, timeout, _) => self.send(proxy, id, server, timeout),
            Action::Refuse(id, wait) => {
                let Some(asked) = self.remove_request(id) else {
                    return;
                };
                self.rules.record_answer(self.now, id);
                self.counts.refused += 1;
                self.counts.refused_by_second[self.now as usize] += 1.0;
                self.schedule_retry(
                    asked.client,
                    wait.unwrap_or(self.scenario.demand.retry_delay),
                );
            }
            Action::Fail(id) => {
                let Some(asked) = self.remove_request(id) else {
                    return;
                };
                self.rules.record_answer(self.now, id);
                self.counts.failed += 1;
                self.schedule_retry(asked.client, self.scenario.demand.retry_delay);
            }
            Action::Move(id) => {
                if self.up_on(id).is_some() {
                    self.rules.record_use(self.now, QuotaKind::Moves, None);
                    // Not within the module's own call.
                    self.schedule_after(
                        self.scenario.network.same_zone_rtt,
                        SimEvent::MoveClient(id),
                    );
                }
            }
            Action::Cancel(id, _) => {
                let out = self
                    .requests
                    .get(&id)
                    .and_then(|asked| Some((asked.attempt, asked.attempt_server?)));
                if let Some((attempt, server)) = out {
                    self.schedule_after(
                        0.0,
                        SimEvent::AttemptEnded(id, attempt, server, Ending::Cancelled),
                    );
                }
            }
            Action::Probe(server) => self.probe(proxy, server),
            Action::Subscribe => {}
            Action::Timer(after, token) => {
                let process = self.proxies[proxy].incarnation;
                self.schedule_after(after, SimEvent::Timer(proxy, process, token));
            }
        }
    }

    fn probe(&mut self, proxy: usize, server: ServerId) {
        self.counts.probes += 1;
        self.rules.record_use(self.now, QuotaKind::Probes, None);
        let process = self.proxies[proxy].incarnation;
        let trip = self.trip(proxy, server);
        let place = &self.servers[server as usize];
        let (after, outcome, report) = if !self.reaches(proxy, server) {
            (PROBE, Ending::ConnectFailed, Report::default())
        } else if !place.is_running() {
            (trip, Ending::ConnectFailed, Report::default())
        } else {
            let report = Report {
                load: Some(place.reported.0),
                connections: Some(place.reported.1),
                ..Report::default()
            };
            // A server far past what it can do answers late, or not in time.
            let slow = 0.02 * (place.utilisation(self.now, &self.scenario.server) - 1.0).max(0.0);
            match trip + slow < PROBE {
                true => (trip + slow, Ending::Ok, report),
                false => (PROBE, Ending::TimedOut, Report::default()),
            }
        };
        self.schedule_after(
            after,
            SimEvent::ProbeResult(proxy, process, server, outcome, report),
        );
    }

    fn send(&mut self, proxy: usize, id: RequestId, server: ServerId, timeout: f64) {
        let trip = self.trip(proxy, server);
        let Some(asked) = self.requests.get_mut(&id) else {
            return;
        };
        asked.attempt += 1;
        asked.attempt_server = Some(server);
        let attempt = asked.attempt;
        if attempt > 1 {
            self.rules.record_use(self.now, QuotaKind::Further, None);
        }
        // Every proxy has heard by then that it is cold.
        let place = &self.servers[server as usize];
        let told = place.started_at.map_or(0.0, |born| {
            born + 1.5 * self.scenario.list_timing.propagation_delay
        });
        if place.slow_start_progress(self.now, &self.scenario.server) < 1.0 && self.now > told {
            self.rules
                .record_use(self.now, QuotaKind::Cold, Some(server));
        }
        self.schedule_after(timeout, SimEvent::AttemptTimeout(id, attempt));
        if !self.reaches(proxy, server) {
            let after = self.scenario.network.connect_timeout.min(timeout);
            let failed = SimEvent::AttemptEnded(id, attempt, server, Ending::ConnectFailed);
            return self.schedule_after(after, failed);
        }
        self.schedule_after(1.5 * trip, SimEvent::AttemptArrival(id, attempt, server));
    }

    /// The line of an attempt has come to its server.
    fn arrived(&mut self, id: RequestId, attempt: u32, server: ServerId) {
        let Some(asked) = self
            .requests
            .get(&id)
            .filter(|asked| asked.attempt == attempt)
        else {
            return;
        };
        if asked.attempt_server.is_none() {
            return;
        }
        let (proxy, trip) = (asked.proxy, self.trip(asked.proxy, server));
        self.rules.record_send(self.now, proxy, server);
        let (now, set) = (self.now, &self.scenario.server);
        let place = &mut self.servers[server as usize];
        let full = place.connections + place.pending_setups >= set.max_connections
            || place.pending_setups >= set.max_pending_setups
            || place.state == ServerState::Draining;
        let outcome = match () {
            () if !place.is_running() => Some(Ending::ConnectFailed),
            () if place.is_failing => Some(Ending::Error),
            () if full => Some(Ending::Full),
            () => None,
        };
        if let Some(outcome) = outcome {
            return self.schedule_after(
                0.5 * trip,
                SimEvent::AttemptEnded(id, attempt, server, outcome),
            );
        }
        place.pending_setups += 1;
        let mut took = place.enqueue_setup(now, set);
        let process = place.incarnation;
        if set.store_setups_per_s > 0.0 {
            self.store_free = self.store_free.max(now) + 1.0 / set.store_setups_per_s;
            took = took.max(self.store_free - now);
        }
        self.schedule_after(
            took + 0.5 * trip,
            SimEvent::SetupDone(id, attempt, server, process),
        );
    }

    /// An attempt is out no longer, if it still was: its client, its proxy, and when it was asked for.
    fn take_out(&mut self, id: RequestId, attempt: u32) -> Option<(usize, usize, f64)> {
        let asked = self.requests.get_mut(&id)?;
        if asked.attempt != attempt {
            return None;
        }
        asked.attempt_server.take()?;
        Some((asked.client, asked.proxy, asked.at))
    }

    /// A set-up is done: the effect is there, wanted or not.
    fn done(&mut self, id: RequestId, attempt: u32, server: ServerId, process: u32) {
        let place = &mut self.servers[server as usize];
        if place.incarnation != process || !place.is_running() {
            return;
        }
        place.pending_setups -= 1;
        self.rules.record_execution(self.now, id);
        let Some((n, proxy, at)) = self.take_out(id, attempt) else {
            return;
        };
        self.rules.record_answer(self.now, id);
        let micros = ((self.now - at) * 1e6) as u64;
        self.setups.saturating_record(micros.max(1));
        self.accrue_service(server);
        let (client, worth) = (&self.clients[n], self.worth(n));
        let (class, load, group) = (client.class, client.load, client.group);
        self.servers[server as usize].add_connection(class, worth, load, group);
        self.connections_by_server[server as usize].insert(id);
        let client = &mut self.clients[n];
        client.state = ClientState::Connected(id, server);
        client.tries = 1;
        // It was on its way when the server was told to drain: it is moved with the others.
        if self.rules.knows_drain(proxy, server) {
            self.schedule_after(DRAIN_WAIT, SimEvent::MoveClient(id));
        }
        self.deliver_event(proxy, Event::Begun(id, server));
        self.deliver_event(proxy, Event::LoadNote(id, load));
    }

    /// An attempt ended in some other way.
    fn ended(&mut self, id: RequestId, attempt: u32, server: ServerId, outcome: Ending) {
        let Some((_, proxy, _)) = self.take_out(id, attempt) else {
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

    /// A proxy hears of a server from the list.
    fn told(&mut self, proxy: usize, server: ServerId, status: Status, born: Option<f64>) {
        if self.now < self.list_silent_until {
            // Past it by more than the clock's nanosecond, or it would come too early for good.
            let later = self.list_silent_until + 1e-6;
            return self.at(later, SimEvent::ListUpdate(proxy, server, status, born));
        }
        let drains = status != Status::Up;
        self.rules
            .record_drain_notice(self.now, proxy, server, drains);
        let entry = self.entry(server, status, born);
        self.deliver_event(proxy, Event::Servers(ListKind::Update, vec![entry]));
        if drains {
            let here: Vec<RequestId> = self.connections_by_server[server as usize]
                .iter()
                .copied()
                .filter(|id| {
                    self.requests
                        .get(id)
                        .is_some_and(|asked| asked.proxy == proxy)
                })
                .collect();
            let wait = if status == Status::Gone {
                0.0
            } else {
                DRAIN_WAIT
            };
            let each = DRAIN_SPAN / here.len().max(1) as f64;
            for (n, id) in here.into_iter().enumerate() {
                self.schedule_after(wait + each * n as f64, SimEvent::MoveClient(id));
            }
        }
    }

    // Servers.

    fn announce_status(&mut self, server: ServerId, status: Status) {
        let born = self.servers[server as usize].started_at;
        for proxy in 0..self.proxies.len() {
            let late =
                self.scenario.list_timing.propagation_delay * self.fault_rng.random_range(0.5..1.5);
            self.schedule_after(late, SimEvent::ListUpdate(proxy, server, status, born));
        }
    }

    /// Its process ends, or its machine goes dark: connections are reset, or fall silent.
    fn stop_server(&mut self, server: ServerId, life: ServerState) {
        self.accrue_service(server);
        self.servers[server as usize].state = life;
        let up: Vec<RequestId> = self.connections_by_server[server as usize]
            .iter()
            .copied()
            .collect();
        let mut out: Vec<(RequestId, u32)> = Vec::new();
        for proxy in &self.proxies {
            let asked = proxy
                .requests
                .iter()
                .filter_map(|id| Some((*id, self.requests.get(id)?)));
            let here = asked.filter(|(_, asked)| asked.attempt_server == Some(server));
            out.extend(here.map(|(id, asked)| (id, asked.attempt)));
        }
        if life == ServerState::Unreachable {
            for id in up {
                self.schedule_after(SILENCE_TIMEOUT, SimEvent::SilenceTimeout(id));
            }
            return;
        }
        for id in up {
            if let Some((n, proxy, server)) = self.disconnect_client(id) {
                self.last(id, proxy, server, Ending::Reset);
                self.schedule_retry(n, 0.3);
            }
        }
        for (id, attempt) in out {
            self.schedule_after(
                0.001,
                SimEvent::AttemptEnded(id, attempt, server, Ending::Reset),
            );
        }
    }

    fn restart_server(&mut self, server: ServerId, cold: bool) {
        self.accrue_service(server);
        let up: Vec<RequestId> = self.connections_by_server[server as usize]
            .iter()
            .copied()
            .collect();
        for id in up {
            // A machine that comes back resets what it does not know.
            if let Some((n, proxy, server)) = self.disconnect_client(id) {
                self.last(id, proxy, server, Ending::Reset);
                self.schedule_retry(n, 0.3);
            }
        }
        self.servers[server as usize].restart(self.now, cold);
        self.announce_status(server, Status::Up);
    }

    /// Adds what a server has done since it was last looked at.
    fn accrue_service(&mut self, server: ServerId) {
        let (now, set) = (self.now, &self.scenario.server);
        let place = &mut self.servers[server as usize];
        let span = now - place.accounted_until;
        if span <= 0.0 {
            return;
        }
        let second = place.accounted_until as usize;
        place.accounted_until = now;
        let quality = place.on_time_ratio(now, set);
        if let Some(served) = self.served.get_mut(second) {
            for (sum, worth) in served.iter_mut().zip(&place.worth_by_class) {
                *sum += worth * quality * span;
            }
        }
    }

    fn want(&mut self, class: usize, worth: f64) {
        let span = self.now - self.wanting_since;
        let second = self.wanting_since as usize;
        if let Some(wanted) = self.wanted.get_mut(second) {
            for (sum, wanting) in wanted.iter_mut().zip(&self.wanting) {
                *sum += wanting * span;
            }
        }
        self.wanting_since = self.now;
        self.wanting[class] += worth;
    }

    /// Every so often: what servers tell, what they have done, and whether a cold one is pushed over.
    fn look(&mut self) {
        let set = self.scenario;
        self.want(0, 0.0);
        let (mut sum, mut squares, mut up) = (0.0, 0.0, 0.0);
        let (mut low, mut high) = (f64::INFINITY, 0.0_f64);
        for n in 0..self.servers.len() {
            self.accrue_service(n as ServerId);
            let wrong: f64 = StandardNormal.sample(&mut self.noise);
            let place = &mut self.servers[n];
            let figure = place.utilisation(self.now, &set.server);
            let noisy = (figure * (1.0 + set.server.report_noise * wrong)).max(0.0);
            // Told late: what is heard now is of the time before, drawn to the present by its age.
            let part = (set.server.report_interval
                / (set.server.report_interval + set.server.report_delay))
                .clamp(0.0, 1.0);
            place.reported.0 += part * (noisy - place.reported.0);
            place.reported.1 = place.connections as f64;
            let cold = place.state == ServerState::Up
                && place.slow_start_progress(self.now, &set.server) < 1.0;
            self.rules
                .record_cold_load(self.now, n as u32, cold, figure);
            if cold && self.now >= set.warm_up {
                self.cold_peak = self.cold_peak.max(figure);
            }
            if place.state == ServerState::Up {
                (sum, squares, up) = (sum + figure, squares + figure * figure, up + 1.0);
                (low, high) = (low.min(figure), high.max(figure));
            }
        }
        if up > 0.0 {
            self.counts.band[self.now as usize] = [low, sum / up, high];
        }
        if sum > 0.0 && self.now >= set.warm_up {
            let mean: f64 = sum / up;
            let variance: f64 = (squares / up - mean * mean).max(0.0);
            self.spread.0 += variance.sqrt() / mean;
            self.spread.1 += 1.0;
        }
        self.schedule_after(set.server.report_interval, SimEvent::Sample);
    }

    fn end(mut self) -> Outcome {
        self.want(0, 0.0);
        for server in 0..self.servers.len() {
            self.accrue_service(server as ServerId);
        }
        self.rules.finish(self.now);
        let counted = self.scenario.warm_up as usize..self.scenario.seconds as usize;
        let classes = self.scenario.classes.len();
        let part = |seconds: std::ops::Range<usize>, class: Option<usize>| {
            let sum = |table: &Vec<Vec<f64>>| -> f64 {
                let rows = table[seconds.clone()].iter();
                rows.map(|row| class.map_or(row.iter().sum::<f64>(), |class| row[class]))
                    .sum()
            };
            let wanted = sum(&self.wanted);
            if wanted > 0.0 {
                (sum(&self.served) / wanted).min(1.0)
            } else {
                1.0
            }
        };
        let windows = counted.clone().filter(|from| from + WINDOW <= counted.end);
        let stretches = windows.map(|from| part(from..from + WINDOW, None));
        let worst_stretch = stretches.fold(f64::INFINITY, f64::min);
        let service = part(counted.clone(), None);
        let by_class = (0..classes).map(|class| part(counted.clone(), Some(class)));
        let quantile = |q: f64| self.setups.value_at_quantile(q) as f64 / 1e3;
        Outcome {
            service,
            worst_stretch: if worst_stretch.is_finite() {
                worst_stretch
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
            spread: self.spread.0 / self.spread.1.max(1.0),
            series: (0..self.scenario.seconds as usize)
                .map(|s| part(s..s + 1, None))
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

/// The load over capacity at which most of what is asked for is answered in time, beyond which more load
/// serves less.
fn best_fill(slack: f64) -> f64 {
    let served = |fill: f64| fill * (1.0 - (-slack * (1.0 - fill)).exp());
    let fills = (1..100).map(|n| f64::from(n) / 100.0);
    fills
        .max_by(|a, b| served(*a).total_cmp(&served(*b)))
        .unwrap_or(1.0)
}

/// What a proxy of this fleet would be told at its start.
fn settings(set: &Scenario, me: usize) -> Settings {
    let class = |class: &crate::scenario::Class| Class {
        idempotency: class.effect,
        dedup_scope: DedupScope::All,
        dedup_window: 30.0,
        setup_target: class.setup_target,
        worth: class.worth,
    };
    Settings {
        fleet_size: set.proxies,
        balancer_index: me as u64,
        zone: Some(me % set.zones),
        zones: set.zones,
        classes: set.classes.iter().map(class).collect(),
        tenants: vec![Tenant { quota: None }; set.demand.tenants],
        report_fields: vec![ReportField::Load, ReportField::Connections],
        max_attempts: 4,
        max_retry_after: 2.0,
        may_retry_after: true,
        may_probe: true,
        may_cancel: true,
        requires_subscription: false,
        resubscribe_within: 10.0,
        slow_start_min_share: set.server.slow_start_min_share,
        slow_start_window: set.server.slow_start_window,
        overload_multiple: 3.0,
        overload_duration: 1.5,
        group_affinity: set.demand.groups > 0,
        price_cross_zone: 0.02,
        price_probe: 0.0,
        over_share_worth: 0.1,
        retry_budget: None,
        message_delay_target: None,
    }
}

//! The fleet: clients, proxies that run a policy, servers, and what goes wrong.

mod shift;
mod troubles;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, StandardNormal};
use rand_pcg::Pcg64Mcg;
use violetwind_balancer::api::*;

use super::budgets::Budgets;
use super::policy::{Policy, PolicyKind, Truth};
use super::rules::{Breach, Rules};
use super::server::{Life, Server};
use crate::replay::Recorded;
use crate::scenario::Scenario;

use shift::Shift;
pub use shift::WorkOutcome;

/// A probe that is not answered is given up after this, and a server that brings nothing back is silent
/// to those who are on it after this.
const PROBE: f64 = 0.3;
const SILENT: f64 = 4.0;
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
enum State {
    /// Between two tries, or not there any more.
    Away,
    Asking(RequestId),
    Up(RequestId, ServerId),
}

#[derive(Debug)]
struct Client {
    class: usize,
    tenant: Option<usize>,
    group: Option<u64>,
    zone: usize,
    load: f64,
    until: f64,
    state: State,
    tries: usize,
    wants: bool,
}

#[derive(Debug)]
struct Asked {
    client: usize,
    proxy: usize,
    at: f64,
    attempt: u32,
    out: Option<ServerId>,
}

struct Proxy {
    zone: usize,
    policy: Policy,
    /// Counts its processes.
    process: u32,
    requests: BTreeSet<RequestId>,
}

#[derive(Clone, Debug)]
enum Step {
    Arrive,
    Come(usize),
    Leave(usize),
    Change(usize, u32),
    GiveUp(RequestId),
    Timer(usize, u32, u64),
    Arrived(RequestId, u32, ServerId),
    Done(RequestId, u32, ServerId, u32),
    TimeOut(RequestId, u32),
    Ended(RequestId, u32, ServerId, Ending),
    Probed(usize, u32, ServerId, Ending, Report),
    Told(usize, ServerId, Status, Option<f64>),
    Move(RequestId),
    Silent(RequestId),
    Look,
    Exchange,
    Begins(usize),
    Ends(usize),
    Restart(ServerId, bool),
    Stop(ServerId),
    /// Whoever conducts work looks again.
    Conduct,
}

type Ending = violetwind_balancer::api::Outcome;

#[derive(Debug)]
struct Due {
    at: u64,
    number: u64,
    event: Step,
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

struct World<'a> {
    set: &'a Scenario,
    kind: PolicyKind,
    seed: u64,
    now: f64,
    heap: BinaryHeap<Reverse<Due>>,
    number: u64,
    arrivals: Pcg64Mcg,
    noise: Pcg64Mcg,
    chance: Pcg64Mcg,
    proxies: Vec<Proxy>,
    settings: Vec<Settings>,
    servers: Vec<Server>,
    on: Vec<BTreeSet<RequestId>>,
    clients: Vec<Client>,
    asked: HashMap<RequestId, Asked>,
    next_id: RequestId,
    truth: Truth,
    rules: Rules,
    budgets: Budgets,
    shift: Option<Shift>,
    cold_peak: f64,
    rate: f64,
    heavy: Option<(f64, f64, f64)>,
    cut: Option<usize>,
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
fn stream(seed: u64, purpose: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ purpose)
}

/// Plays a scenario with a seed.
pub fn run(set: &Scenario, kind: PolicyKind, seed: u64) -> Outcome {
    let mut world = World::new(set, kind, seed);
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

impl<'a> World<'a> {
    fn new(set: &'a Scenario, kind: PolicyKind, seed: u64) -> Self {
        let mut machines = stream(seed, 1);
        let servers: Vec<Server> = (0..set.servers)
            .map(|n| {
                let differs = 1.0 + set.server.spread * machines.random_range(-1.0..=1.0);
                Server::new(
                    n % set.zones,
                    set.server.capacity * differs,
                    set.classes.len(),
                )
            })
            .collect();
        let settings: Vec<Settings> = (0..set.proxies).map(|n| settings(set, n)).collect();
        let proxies = settings.iter().enumerate().map(|(n, settings)| Proxy {
            zone: n % set.zones,
            policy: Policy::new(kind, settings, seed ^ (n as u64) << 20),
            process: 0,
            requests: BTreeSet::new(),
        });
        let seconds = set.seconds.ceil() as usize + 1;
        Self {
            kind,
            seed,
            now: 0.0,
            heap: BinaryHeap::new(),
            number: 0,
            arrivals: stream(seed, 2),
            noise: stream(seed, 3),
            chance: stream(seed, 4),
            proxies: proxies.collect(),
            settings,
            on: vec![BTreeSet::new(); servers.len()],
            servers,
            clients: Vec::new(),
            asked: HashMap::new(),
            next_id: 0,
            truth: Truth::default(),
            rules: Rules::new(&set.budgets),
            budgets: Budgets::new(set),
            shift: None,
            cold_peak: 0.0,
            rate: set.rate(),
            heavy: None,
            cut: None,
            list_silent_until: 0.0,
            store_free: 0.0,
            wanting: vec![0.0; set.classes.len()],
            wanting_since: 0.0,
            served: vec![vec![0.0; set.classes.len()]; seconds],
            wanted: vec![vec![0.0; set.classes.len()]; seconds],
            setups: Histogram::new_with_bounds(1, 600_000_000, 2).expect("sound bounds"),
            spread: (0.0, 0.0),
            counts: Counts {
                band: vec![[0.0; 3]; seconds],
                moves_by_second: vec![0.0; seconds],
                refused_by_second: vec![0.0; seconds],
                ..Counts::default()
            },
            actions: Vec::new(),
            set,
        }
    }

    fn at(&mut self, at: f64, event: Step) {
        self.number += 1;
        let entry = Due {
            at: (at.max(self.now) * 1e9) as u64,
            number: self.number,
            event,
        };
        self.heap.push(Reverse(entry));
    }

    fn after(&mut self, span: f64, event: Step) {
        self.at(self.now + span.max(0.0), event);
    }

    fn begin(&mut self) {
        for proxy in 0..self.proxies.len() {
            self.start_proxy(proxy);
        }
        match self.set.replayed.clone() {
            Some(replayed) => self.replay(&replayed),
            None => self.make_up(),
        }
        self.after(0.0, Step::Look);
        if !self.budgets.is_empty() {
            self.after(self.set.exchange, Step::Exchange);
        }
        if let Some(work) = &self.set.work {
            self.at(work.at, Step::Conduct);
        }
        for (n, trouble) in self.set.troubles.iter().enumerate() {
            self.at(trouble.at, Step::Begins(n));
            self.at(trouble.at + trouble.lasts, Step::Ends(n));
        }
    }

    /// Clients as they were recorded; what the recording does not know is drawn as for made-up ones.
    fn replay(&mut self, replayed: &[Recorded]) {
        for recorded in replayed.iter().filter(|r| r.at < self.set.seconds) {
            let n = self.new_client(recorded.at);
            let client = &mut self.clients[n];
            client.class = recorded.class;
            client.tenant = recorded.tenant.filter(|t| *t < self.set.demand.tenants);
            client.group = recorded.group.filter(|_| self.set.demand.groups > 0);
            client.load = recorded.load.unwrap_or(client.load);
            if let Some(hold) = recorded.hold {
                client.until = recorded.at + hold.max(0.1);
            }
            self.at(recorded.at, Step::Come(n));
        }
    }

    fn make_up(&mut self) {
        // Those who would be there already come one after the other.
        let shares: f64 = self.set.classes.iter().map(|class| class.share).sum();
        let hold = self.set.classes.iter().map(|c| c.share / shares * c.hold);
        let there = (self.rate * hold.sum::<f64>()) as usize;
        let within = self.set.warm_up.clamp(1.0, 10.0);
        for _ in 0..there {
            let at = self.arrivals.random_range(0.0..within);
            let client = self.new_client(at);
            self.at(at, Step::Come(client));
        }
        self.next_arrival();
    }

    fn exchange(&mut self) {
        let (now, proxies) = (self.now, &mut self.proxies);
        let told = self
            .budgets
            .exchange(now, |proxy| proxies[proxy].policy.uses(now));
        for (proxy, matter, allowance) in told {
            self.tell(proxy, Event::Allowance(matter, allowance));
        }
        self.after(self.set.exchange, Step::Exchange);
    }

    fn start_proxy(&mut self, proxy: usize) {
        for (matter, allowance) in self.budgets.first(self.set, proxy) {
            self.tell(proxy, Event::Allowance(matter, allowance));
        }
        self.tell(proxy, Event::Start);
        let entries = (0..self.servers.len())
            .filter(|&n| self.servers[n].life == Life::Up)
            .map(|n| self.entry(n as ServerId, Status::Up, self.servers[n].born))
            .collect();
        self.tell(proxy, Event::Servers(ListKind::Replace, entries));
    }

    fn entry(&self, server: ServerId, status: Status, born: Option<f64>) -> Entry {
        Entry {
            server,
            status,
            zone: Some(self.servers[server as usize].zone),
            kind: None,
            cell: 0,
            size: None,
            born,
        }
    }

    fn step(&mut self, event: Step) {
        match event {
            Step::Arrive => {
                let client = self.new_client(self.now);
                self.come(client);
                self.next_arrival();
            }
            Step::Come(client) => self.come(client),
            Step::Leave(client) => self.leave(client),
            Step::Change(client, times) => self.change(client, times),
            Step::GiveUp(id) => self.give_up(id),
            Step::Timer(proxy, process, token) => {
                if self.proxies[proxy].process == process {
                    self.tell(proxy, Event::Timer(token));
                }
            }
            Step::Arrived(id, attempt, server) => self.arrived(id, attempt, server),
            Step::Done(id, attempt, server, process) => self.done(id, attempt, server, process),
            Step::TimeOut(id, attempt) => {
                let out = self.asked.get(&id).filter(|asked| asked.attempt == attempt);
                if let Some(server) = out.and_then(|asked| asked.out) {
                    self.ended(id, attempt, server, Ending::TimedOut);
                }
            }
            Step::Ended(id, attempt, server, outcome) => self.ended(id, attempt, server, outcome),
            Step::Probed(proxy, process, server, outcome, report) => {
                if self.proxies[proxy].process == process {
                    self.tell(proxy, Event::Probed(server, outcome, report));
                }
            }
            Step::Told(proxy, server, status, born) => self.told(proxy, server, status, born),
            Step::Move(id) => self.move_away(id),
            Step::Silent(id) => {
                if let Some((proxy, server)) = self.up_on(id)
                    && !self.reaches(proxy, server)
                {
                    let silent = Event::Probed(server, Ending::TimedOut, Report::default());
                    self.tell(proxy, silent);
                    self.move_away(id);
                }
            }
            Step::Look => self.look(),
            Step::Exchange => self.exchange(),
            Step::Begins(n) => self.begins(n),
            Step::Ends(n) => self.ends(n),
            Step::Restart(server, cold) => self.restart(server, cold),
            Step::Stop(server) => self.stop(server, Life::Down),
            Step::Conduct => self.conduct(),
        }
    }

    // Clients.

    fn next_arrival(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.arrivals);
        self.after(gap / self.rate.max(1e-9), Step::Arrive);
    }

    /// A client with all that chance gives it, drawn in one go so that every policy meets the same.
    fn new_client(&mut self, at: f64) -> usize {
        let set = self.set;
        let rng = &mut self.arrivals;
        let shares: f64 = set.classes.iter().map(|class| class.share).sum();
        let mut pick = rng.random_range(0.0..1.0) * shares;
        let class = set.classes.iter().position(|class| {
            pick -= class.share;
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
        let heavy = self.heavy.filter(|(share, _, _)| heavy < *share);
        let times = heavy.map_or(1.0, |(_, from, to)| from + times * (to - from));
        self.clients.push(Client {
            class,
            tenant: (set.demand.tenants > 0).then(|| tenant % set.demand.tenants),
            group: (set.demand.groups > 0).then(|| (group % set.demand.groups) as u64),
            zone,
            load: load * times,
            until: at + (hold * of.hold).max(0.5),
            state: State::Away,
            tries: 0,
            wants: false,
        });
        self.clients.len() - 1
    }

    /// Chance of a client's own, the same whatever happened to others.
    fn own(&self, client: usize, purpose: u64) -> f64 {
        let mut rng = stream(self.seed ^ (client as u64) << 24, 100 + purpose);
        rng.random_range(0.0..1.0)
    }

    fn worth(&self, client: usize) -> f64 {
        self.set.classes[self.clients[client].class].worth
    }

    fn come(&mut self, n: usize) {
        let now = self.now;
        let client = &mut self.clients[n];
        if client.state != State::Away || now >= client.until {
            return;
        }
        let first = !std::mem::replace(&mut client.wants, true);
        let (class, zone, until, tries) = (client.class, client.zone, client.until, client.tries);
        client.tries += 1;
        if first {
            self.want(class, self.worth(n));
            self.at(until, Step::Leave(n));
            self.after(self.set.demand.change, Step::Change(n, 0));
        }
        // The front deals clients out among the proxies of their zone.
        let of_zone = self.set.proxies.div_ceil(self.set.zones);
        let at = self.own(n, tries as u64).powf(1.0 + self.set.demand.skew);
        let turn = (at * of_zone as f64) as usize;
        let proxy = (turn * self.set.zones + zone) % self.set.proxies;
        let id = self.next_id;
        self.next_id += 1;
        self.counts.requests += 1;
        let patience = self.set.classes[class].deadline;
        let client = &mut self.clients[n];
        client.state = State::Asking(id);
        let request = Request {
            id,
            class,
            tenant: client.tenant,
            group: client.group,
            hint: None,
            patience,
            again: tries > 0,
        };
        let asked = Asked {
            client: n,
            proxy,
            at: now,
            attempt: 0,
            out: None,
        };
        self.asked.insert(id, asked);
        self.proxies[proxy].requests.insert(id);
        self.rules
            .asked(id, now + patience, self.set.classes[class].effect);
        self.after(patience + 0.1, Step::GiveUp(id));
        self.tell(proxy, Event::Request(request));
    }

    /// Comes again after such a time, or gives up for good.
    fn again(&mut self, n: usize, after: f64) {
        let client = &mut self.clients[n];
        client.state = State::Away;
        let tries = client.tries;
        if tries <= self.set.demand.retries {
            let wait = after * (0.75 + 0.5 * self.own(n, 1000 + tries as u64));
            self.after(wait, Step::Come(n));
        }
    }

    fn give_up(&mut self, id: RequestId) {
        let Some(asked) = self.asked.get(&id) else {
            return;
        };
        let (n, proxy) = (asked.client, asked.proxy);
        if self.clients[n].state == State::Asking(id) {
            self.forget(id);
            self.tell(proxy, Event::Gone(id));
            self.again(n, self.set.demand.retry);
        }
    }

    fn leave(&mut self, n: usize) {
        let class = self.clients[n].class;
        self.want(class, -self.worth(n));
        match self.clients[n].state {
            State::Away => {}
            State::Asking(id) => {
                let proxy = self.asked[&id].proxy;
                self.rules.excused(id);
                self.forget(id);
                self.tell(proxy, Event::Gone(id));
            }
            State::Up(id, _) => {
                let proxy = self.asked[&id].proxy;
                self.part(id);
                self.tell(proxy, Event::Gone(id));
            }
        }
        self.clients[n].state = State::Away;
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
        self.after(self.set.demand.change, Step::Change(n, times + 1));
        if let State::Up(id, server) = self.clients[n].state {
            self.account(server);
            let server = &mut self.servers[server as usize];
            server.load = (server.load + load - old).max(0.0);
            let proxy = self.asked[&id].proxy;
            self.tell(proxy, Event::LoadNote(id, load));
        }
    }

    fn forget(&mut self, id: RequestId) -> Option<Asked> {
        let asked = self.asked.remove(&id)?;
        self.proxies[asked.proxy].requests.remove(&id);
        Some(asked)
    }

    /// Takes a connection off its server.
    fn part(&mut self, id: RequestId) -> Option<(usize, usize, ServerId)> {
        let asked = self.forget(id)?;
        let State::Up(_, server) = self.clients[asked.client].state else {
            return None;
        };
        self.account(server);
        let (client, worth) = (&self.clients[asked.client], self.worth(asked.client));
        let place = &mut self.servers[server as usize];
        place.leave(client.class, worth, client.load, client.group);
        self.on[server as usize].remove(&id);
        self.clients[asked.client].state = State::Away;
        Some((asked.client, asked.proxy, server))
    }

    fn up_on(&self, id: RequestId) -> Option<(usize, ServerId)> {
        let asked = self.asked.get(&id)?;
        match self.clients[asked.client].state {
            State::Up(_, server) => Some((asked.proxy, server)),
            _ => None,
        }
    }

    /// The proxy moves a client: it comes again soon.
    fn move_away(&mut self, id: RequestId) {
        let Some((n, proxy, server)) = self.part(id) else {
            return;
        };
        self.counts.moves += 1;
        self.counts.moves_by_second[self.now as usize] += 1.0;
        self.last(id, proxy, server, Ending::Cancelled);
        // It was served: that it comes again is not a retry that wears it out.
        self.clients[n].tries = 1;
        self.again(n, 0.1);
    }

    fn last(&mut self, id: RequestId, proxy: usize, server: ServerId, outcome: Ending) {
        let ended = Ended {
            id,
            server,
            outcome,
            last: true,
            report: Report::default(),
        };
        self.tell(proxy, Event::Outcome(ended));
    }

    // Proxies.

    fn tell(&mut self, proxy: usize, event: Event) {
        if self.kind == PolicyKind::Bound && matches!(event, Event::Request(_) | Event::Outcome(_))
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
        let (now, set) = (self.now, &self.set.server);
        let sees = |n: usize| {
            let server = &self.servers[n];
            let takes = server.life == Life::Up
                && !server.failing
                && server.connections + server.setups < set.connections
                && self.reaches(proxy, n as ServerId);
            let waits = (server.busy_until - now).max(0.0);
            takes.then(|| (server.figure(now, set) + waits, server.can(now, set)))
        };
        let servers = (0..self.servers.len()).map(sees).collect();
        let best_fill = best_fill(set.slack);
        self.truth = Truth { best_fill, servers };
    }

    fn reaches(&self, proxy: usize, server: ServerId) -> bool {
        let (from, to) = (self.proxies[proxy].zone, &self.servers[server as usize]);
        let cut = self
            .cut
            .is_some_and(|zone| (from == zone) != (to.zone == zone));
        !cut && to.life != Life::Dark
    }

    fn trip(&self, proxy: usize, server: ServerId) -> f64 {
        let near = self.proxies[proxy].zone == self.servers[server as usize].zone;
        if near {
            self.set.network.near
        } else {
            self.set.network.far
        }
    }

    fn carry_out(&mut self, proxy: usize, action: Action) {
        match action {
            Action::Send(id, server, timeout, _) => self.send(proxy, id, server, timeout),
            Action::Refuse(id, wait) => {
                let Some(asked) = self.forget(id) else { return };
                self.rules.answered(self.now, id);
                self.counts.refused += 1;
                self.counts.refused_by_second[self.now as usize] += 1.0;
                self.again(asked.client, wait.unwrap_or(self.set.demand.retry));
            }
            Action::Fail(id) => {
                let Some(asked) = self.forget(id) else { return };
                self.rules.answered(self.now, id);
                self.counts.failed += 1;
                self.again(asked.client, self.set.demand.retry);
            }
            Action::Move(id) => {
                if self.up_on(id).is_some() {
                    self.rules.used(self.now, QuotaKind::Moves, None);
                    // Not within the module's own call.
                    self.after(self.set.network.near, Step::Move(id));
                }
            }
            Action::Cancel(id, _) => {
                let out = self
                    .asked
                    .get(&id)
                    .and_then(|asked| Some((asked.attempt, asked.out?)));
                if let Some((attempt, server)) = out {
                    self.after(0.0, Step::Ended(id, attempt, server, Ending::Cancelled));
                }
            }
            Action::Probe(server) => self.probe(proxy, server),
            Action::Subscribe => {}
            Action::Timer(after, token) => {
                let process = self.proxies[proxy].process;
                self.after(after, Step::Timer(proxy, process, token));
            }
        }
    }

    fn probe(&mut self, proxy: usize, server: ServerId) {
        self.counts.probes += 1;
        self.rules.used(self.now, QuotaKind::Probes, None);
        let process = self.proxies[proxy].process;
        let trip = self.trip(proxy, server);
        let place = &self.servers[server as usize];
        let (after, outcome, report) = if !self.reaches(proxy, server) {
            (PROBE, Ending::ConnectFailed, Report::default())
        } else if !place.reachable() {
            (trip, Ending::ConnectFailed, Report::default())
        } else {
            let report = Report {
                load: Some(place.told.0),
                connections: Some(place.told.1),
                ..Report::default()
            };
            // A server far past what it can do answers late, or not in time.
            let slow = 0.02 * (place.figure(self.now, &self.set.server) - 1.0).max(0.0);
            match trip + slow < PROBE {
                true => (trip + slow, Ending::Ok, report),
                false => (PROBE, Ending::TimedOut, Report::default()),
            }
        };
        self.after(after, Step::Probed(proxy, process, server, outcome, report));
    }

    fn send(&mut self, proxy: usize, id: RequestId, server: ServerId, timeout: f64) {
        let trip = self.trip(proxy, server);
        let Some(asked) = self.asked.get_mut(&id) else {
            return;
        };
        asked.attempt += 1;
        asked.out = Some(server);
        let attempt = asked.attempt;
        if attempt > 1 {
            self.rules.used(self.now, QuotaKind::Further, None);
        }
        // Every proxy has heard by then that it is cold.
        let place = &self.servers[server as usize];
        let told = place
            .born
            .map_or(0.0, |born| born + 1.5 * self.set.lists.delay);
        if place.warmth(self.now, &self.set.server) < 1.0 && self.now > told {
            self.rules.used(self.now, QuotaKind::Cold, Some(server));
        }
        self.after(timeout, Step::TimeOut(id, attempt));
        if !self.reaches(proxy, server) {
            let after = self.set.network.connect.min(timeout);
            let failed = Step::Ended(id, attempt, server, Ending::ConnectFailed);
            return self.after(after, failed);
        }
        self.after(1.5 * trip, Step::Arrived(id, attempt, server));
    }

    /// The line of an attempt has come to its server.
    fn arrived(&mut self, id: RequestId, attempt: u32, server: ServerId) {
        let Some(asked) = self.asked.get(&id).filter(|asked| asked.attempt == attempt) else {
            return;
        };
        if asked.out.is_none() {
            return;
        }
        let (proxy, trip) = (asked.proxy, self.trip(asked.proxy, server));
        self.rules.sent(self.now, proxy, server);
        let (now, set) = (self.now, &self.set.server);
        let place = &mut self.servers[server as usize];
        let full = place.connections + place.setups >= set.connections
            || place.setups >= set.queue
            || place.life == Life::Draining;
        let outcome = match () {
            () if !place.reachable() => Some(Ending::ConnectFailed),
            () if place.failing => Some(Ending::Error),
            () if full => Some(Ending::Full),
            () => None,
        };
        if let Some(outcome) = outcome {
            return self.after(0.5 * trip, Step::Ended(id, attempt, server, outcome));
        }
        place.setups += 1;
        let mut took = place.setup_time(now, set);
        let process = place.process;
        if set.store_rate > 0.0 {
            self.store_free = self.store_free.max(now) + 1.0 / set.store_rate;
            took = took.max(self.store_free - now);
        }
        self.after(took + 0.5 * trip, Step::Done(id, attempt, server, process));
    }

    /// An attempt is out no longer, if it still was: its client, its proxy, and when it was asked for.
    fn take_out(&mut self, id: RequestId, attempt: u32) -> Option<(usize, usize, f64)> {
        let asked = self.asked.get_mut(&id)?;
        if asked.attempt != attempt {
            return None;
        }
        asked.out.take()?;
        Some((asked.client, asked.proxy, asked.at))
    }

    /// A set-up is done: the effect is there, wanted or not.
    fn done(&mut self, id: RequestId, attempt: u32, server: ServerId, process: u32) {
        let place = &mut self.servers[server as usize];
        if place.process != process || !place.reachable() {
            return;
        }
        place.setups -= 1;
        self.rules.ran(self.now, id);
        let Some((n, proxy, at)) = self.take_out(id, attempt) else {
            return;
        };
        self.rules.answered(self.now, id);
        let micros = ((self.now - at) * 1e6) as u64;
        self.setups.saturating_record(micros.max(1));
        self.account(server);
        let (client, worth) = (&self.clients[n], self.worth(n));
        let (class, load, group) = (client.class, client.load, client.group);
        self.servers[server as usize].join(class, worth, load, group);
        self.on[server as usize].insert(id);
        let client = &mut self.clients[n];
        client.state = State::Up(id, server);
        client.tries = 1;
        // It was on its way when the server was told to drain: it is moved with the others.
        if self.rules.drains(proxy, server) {
            self.after(DRAIN_WAIT, Step::Move(id));
        }
        self.tell(proxy, Event::Begun(id, server));
        self.tell(proxy, Event::LoadNote(id, load));
    }

    /// An attempt ended in some other way.
    fn ended(&mut self, id: RequestId, attempt: u32, server: ServerId, outcome: Ending) {
        let Some((_, proxy, _)) = self.take_out(id, attempt) else {
            return;
        };
        let ended = Ended {
            id,
            server,
            outcome,
            last: false,
            report: Report::default(),
        };
        self.tell(proxy, Event::Outcome(ended));
    }

    /// A proxy hears of a server from the list.
    fn told(&mut self, proxy: usize, server: ServerId, status: Status, born: Option<f64>) {
        if self.now < self.list_silent_until {
            // Past it by more than the clock's nanosecond, or it would come too early for good.
            let later = self.list_silent_until + 1e-6;
            return self.at(later, Step::Told(proxy, server, status, born));
        }
        let drains = status != Status::Up;
        self.rules.drain_told(self.now, proxy, server, drains);
        let entry = self.entry(server, status, born);
        self.tell(proxy, Event::Servers(ListKind::Update, vec![entry]));
        if drains {
            let here: Vec<RequestId> = self.on[server as usize]
                .iter()
                .copied()
                .filter(|id| self.asked.get(id).is_some_and(|asked| asked.proxy == proxy))
                .collect();
            let wait = if status == Status::Gone {
                0.0
            } else {
                DRAIN_WAIT
            };
            let each = DRAIN_SPAN / here.len().max(1) as f64;
            for (n, id) in here.into_iter().enumerate() {
                self.after(wait + each * n as f64, Step::Move(id));
            }
        }
    }

    // Servers.

    fn tell_all(&mut self, server: ServerId, status: Status) {
        let born = self.servers[server as usize].born;
        for proxy in 0..self.proxies.len() {
            let late = self.set.lists.delay * self.chance.random_range(0.5..1.5);
            self.after(late, Step::Told(proxy, server, status, born));
        }
    }

    /// Its process ends, or its machine goes dark: connections are reset, or fall silent.
    fn stop(&mut self, server: ServerId, life: Life) {
        self.account(server);
        self.servers[server as usize].life = life;
        let up: Vec<RequestId> = self.on[server as usize].iter().copied().collect();
        let mut out: Vec<(RequestId, u32)> = Vec::new();
        for proxy in &self.proxies {
            let asked = proxy
                .requests
                .iter()
                .filter_map(|id| Some((*id, self.asked.get(id)?)));
            let here = asked.filter(|(_, asked)| asked.out == Some(server));
            out.extend(here.map(|(id, asked)| (id, asked.attempt)));
        }
        if life == Life::Dark {
            for id in up {
                self.after(SILENT, Step::Silent(id));
            }
            return;
        }
        for id in up {
            if let Some((n, proxy, server)) = self.part(id) {
                self.last(id, proxy, server, Ending::Reset);
                self.again(n, 0.3);
            }
        }
        for (id, attempt) in out {
            self.after(0.001, Step::Ended(id, attempt, server, Ending::Reset));
        }
    }

    fn restart(&mut self, server: ServerId, cold: bool) {
        self.account(server);
        let up: Vec<RequestId> = self.on[server as usize].iter().copied().collect();
        for id in up {
            // A machine that comes back resets what it does not know.
            if let Some((n, proxy, server)) = self.part(id) {
                self.last(id, proxy, server, Ending::Reset);
                self.again(n, 0.3);
            }
        }
        self.servers[server as usize].restart(self.now, cold);
        self.tell_all(server, Status::Up);
    }

    /// Adds what a server has done since it was last looked at.
    fn account(&mut self, server: ServerId) {
        let (now, set) = (self.now, &self.set.server);
        let place = &mut self.servers[server as usize];
        let span = now - place.since;
        if span <= 0.0 {
            return;
        }
        let second = place.since as usize;
        place.since = now;
        let quality = place.quality(now, set);
        if let Some(served) = self.served.get_mut(second) {
            for (sum, worth) in served.iter_mut().zip(&place.worth) {
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
        let set = self.set;
        self.want(0, 0.0);
        let (mut sum, mut squares, mut up) = (0.0, 0.0, 0.0);
        let (mut low, mut high) = (f64::INFINITY, 0.0_f64);
        for n in 0..self.servers.len() {
            self.account(n as ServerId);
            let wrong: f64 = StandardNormal.sample(&mut self.noise);
            let place = &mut self.servers[n];
            let figure = place.figure(self.now, &set.server);
            let noisy = (figure * (1.0 + set.server.report_noise * wrong)).max(0.0);
            // Told late: what is heard now is of the time before, drawn to the present by its age.
            let part = (set.server.report_every
                / (set.server.report_every + set.server.report_delay))
                .clamp(0.0, 1.0);
            place.told.0 += part * (noisy - place.told.0);
            place.told.1 = place.connections as f64;
            let cold = place.life == Life::Up && place.warmth(self.now, &set.server) < 1.0;
            self.rules.cold_load(self.now, n as u32, cold, figure);
            if cold && self.now >= set.warm_up {
                self.cold_peak = self.cold_peak.max(figure);
            }
            if place.life == Life::Up {
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
        self.after(set.server.report_every, Step::Look);
    }

    fn end(mut self) -> Outcome {
        self.want(0, 0.0);
        for server in 0..self.servers.len() {
            self.account(server as ServerId);
        }
        self.rules.end(self.now);
        let counted = self.set.warm_up as usize..self.set.seconds as usize;
        let classes = self.set.classes.len();
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
            series: (0..self.set.seconds as usize)
                .map(|s| part(s..s + 1, None))
                .collect(),
            band: self.counts.band,
            moves_by_second: self.counts.moves_by_second,
            refused_by_second: self.counts.refused_by_second,
            breaches: self.rules.breaches,
            breach_count: self.rules.count,
            cold_peak: self.cold_peak,
            work: self.shift.map(Shift::end),
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
        effect: class.effect,
        scope: DedupScope::All,
        window: 30.0,
        aim: class.aim,
        worth: class.worth,
    };
    Settings {
        fleet_size: set.proxies,
        me: me as u64,
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
        must_ask: false,
        ask_within: 10.0,
        cold_from: set.server.cold_from,
        cold_for: set.server.cold_for,
        fall_multiple: 3.0,
        fall_for: 1.5,
        groups: set.demand.groups > 0,
        price_cross_zone: 0.02,
        price_probe: 0.0,
        over_share_worth: 0.1,
        budget: None,
        message_aim: None,
    }
}

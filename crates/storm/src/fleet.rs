//! Simulates a fleet of complete members. One Holder and Fencing are checked from outside the members at every
//! step, including the programs that run under a duty; Held Again is checked once the faults have ended. Each process
//! has a clock of its own with a random offset and drift.

mod faults;
mod operators;
mod proxies;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use violetwind_consensus::{Millis, NodeId};
use violetwind_fleet::budget::{BudgetDefinition, BudgetKind, Part};

use crate::linearizability;
use violetwind_fleet::{
    Config, Event, FleetAction, Input, Limits, LossReason, Member, MemberRecord, Name, Number,
    OperatorAnswer, OperatorCall, Output, PeerMessage, SavedState,
};

pub use faults::Fault;
pub(crate) use faults::generate_fault;
pub use proxies::{Maintenance, Proxy};

/// Simulated time of one step, in milliseconds.
pub const STEP_INTERVAL: Millis = 5;

/// A bug that is injected into hosts, to show that a check detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum InjectedBug {
    #[default]
    Nothing,
    /// Members use a longer lease duration than their leader.
    LongerLease,
    /// Clocks drift by more than the stated bound.
    WildClocks,
    /// Records are acknowledged before they are synced, and kills lose them.
    AckBeforeSync,
    /// Programs ignore that they were notified to stop, and extend their lease by a second instead.
    DeafProgram,
    /// Every fiftieth unit taken is accompanied by one that was never requested.
    ExtraUnit,
    /// A proxy confirms that a machine is closed and empty before it is.
    HastyProxy,
    /// A killed voter restarts with a snapshot that has lost its sessions.
    LostSnapshot,
    /// A killed voter loses its term and its vote.
    ForgetsVote,
    /// A killed proxy loses its machine list, and the next process serves without one.
    ServesUnlisted,
    /// The external budget counter of a process ignores the end of its part.
    OverstaysPart,
    /// Connections at servers outlive their killed process, by half a second on average.
    ConnectionsOutlive,
    /// Operators are shown an outdated view.
    StaleViews,
    /// A proxy confirms a machine list that it has not stored, and restarts from an older one.
    ForgetfulProxy,
}

impl InjectedBug {
    /// Every bug with its name on the command line.
    pub const NAMES: [(&str, Self); 13] = [
        ("longer-lease", Self::LongerLease),
        ("wild-clocks", Self::WildClocks),
        ("ack-before-sync", Self::AckBeforeSync),
        ("deaf-program", Self::DeafProgram),
        ("extra-unit", Self::ExtraUnit),
        ("hasty-proxy", Self::HastyProxy),
        ("forgetful-proxy", Self::ForgetfulProxy),
        ("lost-snapshot", Self::LostSnapshot),
        ("forgets-vote", Self::ForgetsVote),
        ("serves-unlisted", Self::ServesUnlisted),
        ("overstays-part", Self::OverstaysPart),
        ("connections-outlive", Self::ConnectionsOutlive),
        ("stale-views", Self::StaleViews),
    ];
}

/// A process's clock relative to simulated time.
#[derive(Clone, Copy, Debug)]
struct Clock {
    offset: Millis,
    /// Drift in thousandths.
    drift_permille: i64,
}

impl Clock {
    fn local_time(self, now: Millis) -> Millis {
        self.offset + (now as i64 * (1000 + self.drift_permille) / 1000) as Millis
    }

    /// Converts a duration measured by this clock to simulated time, rounded up.
    fn simulated_duration(self, millis: Millis) -> Millis {
        (millis as i64 * 1000 / (1000 + self.drift_permille)) as Millis + 1
    }
}

/// A program that runs under a duty until its lease ends.
#[derive(Clone, Debug)]
struct Program {
    fence: Number,
    /// End of the lease in simulated time.
    until: Millis,
    /// Set once the program was notified that the duty is lost: the time at which it stops.
    stops_at: Option<Millis>,
}

/// A simulated process with its disk, its clock and the programs and clients that use it.
pub struct Host {
    /// The running process; `None` while it is down.
    pub member: Option<Member>,
    /// The data directory, if the member has one.
    pub persisted_state: Option<SavedState>,
    /// Records written but not yet synced: the time of the sync, the record's number, the record.
    unsynced: VecDeque<(Millis, Number, MemberRecord)>,
    clock: Clock,
    pub stopped_until: Millis,
    pub restart_at: Option<Millis>,
    pub sync_latency: Millis,
    /// Messages that arrived while the process was stopped.
    deferred_messages: VecDeque<(Name, PeerMessage)>,
    programs: BTreeMap<Name, Program>,
    /// Calls to hold a duty that have no answer yet: the time of the call, and the duty.
    pending_holds: BTreeMap<Number, (Millis, Name)>,
    /// Units requested and not yet answered: budget and token.
    pending_acquires: BTreeMap<Number, (Name, Name)>,
    /// Units in use: budget and token.
    units: BTreeSet<(Name, Name)>,
    /// Parts given to the external counter, by budget.
    external_parts: BTreeMap<Name, Part>,
    /// Number of units that the external counter denied because its part was used up, by budget.
    external_denied: BTreeMap<Name, u64>,
    /// Usage reports from the external counter to the member: due time, budget, part number.
    usage_reports: VecDeque<(Millis, Name, Number)>,
    /// Times at which externally counted units were taken, by this process's clock.
    external_usage_times: BTreeMap<Name, VecDeque<Millis>>,
    /// Whether the member has reported that its data directory is stale.
    pub stale: bool,
    pub has_shut_down: bool,
}

/// A simulated fleet with its network, the load on it, and the records that invariants are checked against.
pub struct World {
    pub now: Millis,
    pub rng: Pcg32,
    pub limits: Limits,
    pub hosts: BTreeMap<Name, Host>,
    /// All members, and whether each is a voter.
    peers: BTreeMap<Name, bool>,
    pub duties: Vec<Name>,
    /// Messages in flight by due time: the message's number, the sender, the receiver.
    queue: BinaryHeap<Reverse<(Millis, u64, Name, Name)>>,
    in_flight: BTreeMap<u64, PeerMessage>,
    last_message_number: u64,
    pub frames_sent: u64,
    /// Cut links, each as sender and receiver.
    pub cut_links: BTreeSet<(Name, Name)>,
    /// Fraction of all frames that is lost.
    pub loss_rate: f64,
    /// Fraction of all frames that is duplicated.
    pub duplicate_rate: f64,
    /// Completed operator calls that change or show whether a member is put out, by that member.
    call_history: BTreeMap<Name, Vec<linearizability::Call>>,
    pending_operator_calls: BTreeMap<Number, operators::PendingCall>,
    /// Whether operators request a view of the fleet from time to time.
    pub views_enabled: bool,
    /// Least and greatest delay of a frame.
    pub delay_range: (Millis, Millis),
    pub injected_bug: InjectedBug,
    /// The last number used for a call or a token.
    last_number: Number,
    // Records for the invariant checks.
    /// The newest fencing number of each duty.
    newest_fences: BTreeMap<Name, Number>,
    /// Time since which a duty has no holder.
    unheld_since: BTreeMap<Name, Millis>,
    /// The longest time for which a duty had no holder.
    pub longest_unheld: Millis,
    pub duties_gained: usize,
    pub duties_lost: usize,
    pub elections_won: usize,
    /// Answers by the number of the call, without those to holds, to requests for units and to calls in
    /// `pending_operator_calls`.
    pub answers: BTreeMap<Number, OperatorAnswer>,
    /// The simulated maintenance of machines, if there are any.
    pub maintenance: Option<Maintenance>,
    pub budgets: Vec<BudgetDefinition>,
    /// Budgets counted by an external counter instead of the member, as the proxy's decision module counts them.
    pub external_budgets: BTreeSet<Name>,
    /// Number of budgets whose units clients request: the first ones of `budgets`.
    pub demanded_budget_count: usize,
    /// Members configured with other budgets.
    pub budget_overrides: BTreeMap<Name, Vec<BudgetDefinition>>,
    /// Average number of units of each budget requested per step, by member.
    pub demand: BTreeMap<Name, f64>,
    /// Times at which units of rate budgets were taken, by budget.
    rate_usage_times: BTreeMap<Name, VecDeque<Millis>>,
    pub units_taken: usize,
    pub units_refused: usize,
    /// The most units of a budget in use at the same time, or taken within a window.
    pub peak_use: BTreeMap<Name, u64>,
    /// The first violation of an invariant, with its time.
    pub violation: Option<String>,
    /// Events reported by members, each with its time.
    pub event_log: Vec<String>,
}

impl Host {
    /// Number of units in use at this process, over all budgets.
    pub fn unit_count(&self) -> usize {
        self.units.len()
    }
}

/// The name of the member with this index.
pub fn node_name(index: usize) -> Name {
    format!("node-{index}")
}

impl World {
    /// Creates a fleet of `voters` members with data directories and `others` without.
    pub fn new(seed: u64, voters: usize, others: usize) -> Self {
        Self::with_injected_bug(seed, voters, others, InjectedBug::Nothing)
    }

    /// Like [`World::new`], with a bug injected.
    pub fn with_injected_bug(
        seed: u64,
        voters: usize,
        others: usize,
        injected_bug: InjectedBug,
    ) -> Self {
        Self::with_budgets(seed, voters, others, injected_bug, Vec::new())
    }

    /// Has the named budgets counted by external counters; restarts all processes.
    pub fn with_external_budgets(mut self, names: &[&str]) -> Self {
        self.external_budgets = names.iter().map(|name| name.to_string()).collect();
        let hosts: Vec<Name> = self.hosts.keys().cloned().collect();
        for name in hosts {
            self.kill_process(&name);
            self.start_process(&name);
        }
        self
    }

    /// Like [`World::with_injected_bug`], with budgets that the fleet divides.
    pub fn with_budgets(
        seed: u64,
        voters: usize,
        others: usize,
        injected_bug: InjectedBug,
        budgets: Vec<BudgetDefinition>,
    ) -> Self {
        let mut world = Self {
            now: 1000,
            rng: Pcg32::seed_from_u64(seed),
            limits: Limits {
                snapshot_interval_entries: 30,
                ..Limits::default()
            },
            hosts: BTreeMap::new(),
            peers: (0..voters + others)
                .map(|at| (node_name(at), at < voters))
                .collect(),
            duties: vec!["export".into(), "sweep".into()],
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            last_message_number: 0,
            frames_sent: 0,
            cut_links: BTreeSet::new(),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            call_history: BTreeMap::new(),
            pending_operator_calls: BTreeMap::new(),
            views_enabled: false,
            delay_range: (0, 10),
            injected_bug,
            last_number: 0,
            newest_fences: BTreeMap::new(),
            unheld_since: BTreeMap::new(),
            longest_unheld: 0,
            duties_gained: 0,
            duties_lost: 0,
            elections_won: 0,
            answers: BTreeMap::new(),
            maintenance: None,
            budgets,
            external_budgets: BTreeSet::new(),
            demanded_budget_count: usize::MAX,
            budget_overrides: BTreeMap::new(),
            demand: BTreeMap::new(),
            rate_usage_times: BTreeMap::new(),
            units_taken: 0,
            units_refused: 0,
            peak_use: BTreeMap::new(),
            violation: None,
            event_log: Vec::new(),
        };
        for at in 0..voters + others {
            let id = NodeId(world.rng.random_range(1..u64::MAX));
            let max_drift_permille = if injected_bug == InjectedBug::WildClocks {
                250
            } else {
                4
            };
            let clock = Clock {
                offset: world.rng.random_range(0..1 << 40),
                drift_permille: world
                    .rng
                    .random_range(-max_drift_permille..=max_drift_permille),
            };
            let host = Host {
                member: None,
                persisted_state: (at < voters).then(|| SavedState::new(id)),
                unsynced: VecDeque::new(),
                clock,
                stopped_until: 0,
                restart_at: None,
                sync_latency: 2,
                deferred_messages: VecDeque::new(),
                programs: BTreeMap::new(),
                pending_holds: BTreeMap::new(),
                pending_acquires: BTreeMap::new(),
                units: BTreeSet::new(),
                external_parts: BTreeMap::new(),
                external_denied: BTreeMap::new(),
                usage_reports: VecDeque::new(),
                external_usage_times: BTreeMap::new(),
                stale: false,
                has_shut_down: false,
            };
            world.hosts.insert(node_name(at), host);
        }
        let names: Vec<Name> = world.hosts.keys().cloned().collect();
        names.iter().for_each(|name| world.start_process(name));
        world
    }

    /// Starts a process on the host's disk and connects it to all others.
    pub fn start_process(&mut self, name: &str) {
        let seed = self.rng.random::<u64>() >> 2;
        let mut limits = self.limits.clone();
        if self.injected_bug == InjectedBug::LongerLease && self.rng.random_bool(0.5) {
            limits.lease_duration *= 2;
        }
        let host = self.hosts.get_mut(name).unwrap();
        let config = Config {
            work_enabled: self.maintenance.is_some(),
            node: name.to_string(),
            // As in real configuration files: the voters and the member itself.
            peers: self
                .peers
                .iter()
                .filter(|(peer, votes)| **votes || *peer == name)
                .map(|(peer, votes)| (peer.clone(), *votes))
                .collect(),
            duties: self.duties.clone(),
            budgets: self
                .budget_overrides
                .get(name)
                .unwrap_or(&self.budgets)
                .clone(),
            external_budgets: self.external_budgets.clone(),
            limits,
        };
        let at = host.clock.local_time(self.now);
        host.member = Some(Member::new(config, host.persisted_state.clone(), seed, at));
        (host.restart_at, host.stopped_until, host.has_shut_down) = (None, 0, false);
        // All links are connected at once, with the ids of the data directories.
        let ids: Vec<_> = self
            .hosts
            .iter()
            .map(|(name, host)| {
                (
                    name.clone(),
                    host.persisted_state.as_ref().map(|saved| saved.id),
                )
            })
            .collect();
        for (other, id) in &ids {
            if other != name {
                self.handle_input(name, Input::PeerConnected(other.clone(), *id));
            }
        }
        let own_id = self.hosts[name]
            .persisted_state
            .as_ref()
            .map(|saved| saved.id);
        let others: Vec<Name> = self
            .hosts
            .keys()
            .filter(|other| *other != name)
            .cloned()
            .collect();
        for other in others {
            self.handle_input(&other, Input::PeerConnected(name.to_string(), own_id));
        }
    }

    /// Kills the process (SIGKILL). A program that runs under a duty outlives it, until its lease ends.
    pub fn kill_process(&mut self, name: &str) {
        let surviving_writes = self.rng.random_range(0..=2);
        let injected_bug = self.injected_bug;
        let host = self.hosts.get_mut(name).unwrap();
        host.member = None;
        host.deferred_messages.clear();
        host.pending_holds.clear();
        host.pending_acquires.clear();
        // The process's connections end with it.
        if injected_bug != InjectedBug::ConnectionsOutlive {
            host.units.clear();
        }
        host.external_parts.clear();
        host.external_denied.clear();
        host.usage_reports.clear();
        host.external_usage_times.clear();
        let unsynced: Vec<_> = host.unsynced.drain(..).collect();
        self.restart_proxy(name);
        let host = self.hosts.get_mut(name).unwrap();
        if let Some(saved) = host
            .persisted_state
            .as_mut()
            .filter(|_| injected_bug != InjectedBug::AckBeforeSync)
        {
            for (_, _, record) in unsynced.into_iter().take(surviving_writes) {
                saved.apply(record).unwrap();
            }
        }
        let disk = self
            .hosts
            .get_mut(name)
            .and_then(|host| host.persisted_state.as_mut());
        match (injected_bug, disk.map(|saved| &mut saved.consensus_state)) {
            (InjectedBug::LostSnapshot, Some(disk)) => {
                if let Some(snapshot) = disk
                    .snapshot
                    .as_mut()
                    .filter(|snapshot| !snapshot.data.is_empty())
                {
                    snapshot.data = violetwind_fleet::State::default().encode();
                }
            }
            (InjectedBug::ForgetsVote, Some(disk)) => {
                let last_term = disk.entries.last().map(|entry| entry.term);
                let snapshot_term = disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.term);
                (disk.term, disk.voted_for) = (last_term.unwrap_or(snapshot_term), None);
            }
            _ => {}
        }
    }

    /// Replaces the data directory with an empty one, which makes it a different member of the log.
    pub fn wipe_directory(&mut self, name: &str) {
        self.kill_process(name);
        let id = NodeId(self.rng.random_range(1..u64::MAX));
        self.hosts.get_mut(name).unwrap().persisted_state = Some(SavedState::new(id));
    }

    /// Runs for the given time, or until an invariant is violated.
    pub fn run_for(&mut self, millis: Millis) {
        let until = self.now + millis;
        while self.now < until && self.violation.is_none() {
            self.step();
        }
    }

    /// Advances the simulation by [`STEP_INTERVAL`] and checks the invariants.
    pub fn step(&mut self) {
        self.now += STEP_INTERVAL;
        let names: Vec<Name> = self.hosts.keys().cloned().collect();
        for name in &names {
            if self.hosts[name]
                .restart_at
                .is_some_and(|due| self.now >= due)
            {
                // Only one process runs on a directory at a time.
                self.kill_process(name);
                self.start_process(name);
            }
        }
        while let Some(Reverse((due, number, from, to))) = self.queue.peek().cloned() {
            if due > self.now {
                break;
            }
            self.queue.pop();
            let message = self.in_flight.remove(&number).unwrap();
            let host = self.hosts.get_mut(&to).unwrap();
            if host.stopped_until > self.now && host.member.is_some() {
                host.deferred_messages.push_back((from, message));
            } else {
                self.handle_input(&to, Input::PeerMessage(from, message));
            }
        }
        for name in &names {
            let host = self.hosts.get_mut(name).unwrap();
            if host.stopped_until > self.now {
                continue;
            }
            while let Some((from, message)) = self
                .hosts
                .get_mut(name)
                .unwrap()
                .deferred_messages
                .pop_front()
            {
                self.handle_input(name, Input::PeerMessage(from, message));
            }
            let host = self.hosts.get_mut(name).unwrap();
            let mut synced = None;
            while host
                .unsynced
                .front()
                .is_some_and(|(due, ..)| *due <= self.now)
            {
                let (_, number, record) = host.unsynced.pop_front().unwrap();
                synced = Some(number);
                host.persisted_state
                    .as_mut()
                    .unwrap()
                    .apply(record)
                    .unwrap();
            }
            if let Some(number) = synced {
                self.handle_input(name, Input::RecordsSaved(number));
            }
            self.handle_input(name, Input::Tick);
            self.step_programs(name);
            self.step_external_counter(name);
            self.step_clients(name);
            self.step_proxy(name);
        }
        self.request_view();
        self.issue_work_commands();
        self.check_duties();
        self.check_work();
    }

    /// Runs the programs of a host: they renew their hold on the duty at random times and stop when it has ended.
    fn step_programs(&mut self, name: &str) {
        let now = self.now;
        for duty in self.duties.clone() {
            let host = self.hosts.get_mut(name).unwrap();
            if let Some(program) = host.programs.get(&duty)
                && (now >= program.until
                    || program.stops_at.is_some_and(|stops_at| now >= stops_at))
            {
                let was_notified = program.stops_at.is_some();
                host.programs.remove(&duty);
                if was_notified {
                    self.submit_call(
                        name,
                        OperatorCall::EndHold {
                            duty: duty.clone(),
                            token: "p".into(),
                        },
                    );
                }
            }
            if self.rng.random_bool(0.05) && self.hosts[name].member.is_some() {
                let call = OperatorCall::HoldDuty {
                    duty: duty.clone(),
                    token: "p".into(),
                };
                let number = self.last_number + 1;
                self.hosts
                    .get_mut(name)
                    .unwrap()
                    .pending_holds
                    .insert(number, (now, duty));
                self.submit_call(name, call);
            }
        }
    }

    /// Runs the external counter: delivers its usage reports to the member in order, with the usage at delivery.
    fn step_external_counter(&mut self, name: &str) {
        while let Some((due, budget, number)) = self.hosts[name].usage_reports.front().cloned() {
            if due > self.now {
                return;
            }
            self.hosts.get_mut(name).unwrap().usage_reports.pop_front();
            let in_use = self.external_usage(name, &budget);
            let denied = self.hosts[name]
                .external_denied
                .get(&budget)
                .copied()
                .unwrap_or(0);
            self.handle_input(
                name,
                Input::ExternalUsage {
                    budget,
                    part_number: number,
                    in_use,
                    denied,
                },
            );
        }
        if self.rng.random_bool(0.1) {
            for budget in self.external_budgets.clone() {
                let in_use = self.external_usage(name, &budget);
                let denied = self.hosts[name]
                    .external_denied
                    .get(&budget)
                    .copied()
                    .unwrap_or(0);
                self.handle_input(
                    name,
                    Input::ExternalUsage {
                        budget,
                        part_number: 0,
                        in_use,
                        denied,
                    },
                );
            }
        }
    }

    /// Units of a budget in use at the external counter; of a rate, the units taken within the span of its part.
    fn external_usage(&mut self, name: &str, budget: &str) -> u64 {
        let now = self.now;
        let host = self.hosts.get_mut(name).unwrap();
        let at = host.clock.local_time(now);
        let span = host.external_parts.get(budget).map_or(0, |part| part.span);
        match self
            .budgets
            .iter()
            .find(|definition| definition.name == budget)
            .map(|definition| definition.kind)
        {
            Some(BudgetKind::Rate) => {
                let used = host
                    .external_usage_times
                    .entry(budget.to_string())
                    .or_default();
                while used.front().is_some_and(|used| at >= *used + span) {
                    used.pop_front();
                }
                used.len() as u64
            }
            _ => host.units.iter().filter(|(name, _)| name == budget).count() as u64,
        }
    }

    /// Takes a unit at the external counter, unless its part is used up.
    fn take_external_unit(&mut self, name: &str, budget: &str, token: Name) {
        let in_use = self.external_usage(name, budget);
        let now = self.now;
        let host = self.hosts.get_mut(name).unwrap();
        if host.member.is_none() {
            return;
        }
        let at = host.clock.local_time(now);
        let Some(part) = host.external_parts.get(budget) else {
            return;
        };
        let units = if at < part.until || self.injected_bug == InjectedBug::OverstaysPart {
            part.units
        } else {
            part.after
        };
        if in_use < units {
            host.external_usage_times
                .entry(budget.to_string())
                .or_default()
                .push_back(at);
            self.record_unit_taken(name, (budget.to_string(), token));
        } else {
            *host.external_denied.entry(budget.to_string()).or_default() += 1;
            self.units_refused += 1;
        }
    }

    /// Requests one unit of each externally counted budget. The external counter continues with the part it was given,
    /// even while the member's own thread is stalled.
    pub fn acquire_external_units(&mut self, name: &str) {
        let external = self
            .budgets
            .iter()
            .map(|definition| definition.name.clone());
        let external: Vec<Name> = external
            .filter(|name| self.external_budgets.contains(name))
            .collect();
        for budget in external {
            self.last_number += 1;
            let token = format!("t{}", self.last_number);
            self.take_external_unit(name, &budget, token);
        }
    }

    /// Simulates clients, which acquire and release units.
    fn step_clients(&mut self, name: &str) {
        let demand_rate = self.demand.get(name).copied().unwrap_or(0.0);
        if demand_rate == 0.0 && self.hosts[name].units.is_empty() {
            return;
        }
        let demanded: Vec<BudgetDefinition> = self
            .budgets
            .iter()
            .take(self.demanded_budget_count)
            .cloned()
            .collect();
        for definition in demanded {
            let mut remaining = demand_rate;
            while remaining > 0.0 && self.rng.random_bool(remaining.min(1.0)) {
                remaining -= 1.0;
                let token = format!("t{}", self.last_number + 1);
                let key = (definition.name.clone(), token.clone());
                if self.external_budgets.contains(&definition.name) {
                    self.last_number += 1;
                    self.take_external_unit(name, &definition.name, token);
                    continue;
                }
                let number = self.last_number + 1;
                self.hosts
                    .get_mut(name)
                    .unwrap()
                    .pending_acquires
                    .insert(number, key);
                let max_wait = [0, 100][self.rng.random_range(0..2)];
                self.submit_call(
                    name,
                    OperatorCall::AcquireUnit {
                        budget: definition.name.clone(),
                        token,
                        hold_timeout: 1 << 40,
                        max_wait,
                    },
                );
            }
            // A client keeps its unit for half a second on average.
            let units = &self.hosts[name].units;
            let released = units
                .iter()
                .filter(|(budget, _)| *budget == definition.name);
            let released: Vec<_> = released
                .filter(|_| self.rng.random_bool(0.01))
                .cloned()
                .collect();
            for (budget, token) in released {
                self.hosts
                    .get_mut(name)
                    .unwrap()
                    .units
                    .remove(&(budget.clone(), token.clone()));
                if self.external_budgets.contains(&budget) {
                    continue;
                }
                self.submit_call(name, OperatorCall::ReleaseUnit { budget, token });
            }
        }
    }

    /// Records a unit as in use and checks Never More Than The Whole.
    fn record_unit_taken(&mut self, name: &str, (budget, token): (Name, Name)) {
        self.units_taken += 1;
        let takes_extra_unit =
            self.injected_bug == InjectedBug::ExtraUnit && self.units_taken.is_multiple_of(50);
        let Some(definition) = self
            .budgets
            .iter()
            .find(|definition| definition.name == budget)
            .cloned()
        else {
            return;
        };
        let now = self.now;
        let count = match definition.kind {
            BudgetKind::Concurrent => {
                let host = self.hosts.get_mut(name).unwrap();
                host.units.insert((budget.clone(), token.clone()));
                if takes_extra_unit {
                    host.units
                        .insert((budget.clone(), format!("{token}, unasked")));
                }
                let units = self.hosts.values().flat_map(|host| &host.units);
                units.filter(|(name, _)| *name == budget).count() as u64
            }
            BudgetKind::Rate => {
                let used = self.rate_usage_times.entry(budget.clone()).or_default();
                used.push_back(now);
                if takes_extra_unit {
                    used.push_back(now);
                }
                while used
                    .front()
                    .is_some_and(|at| *at + definition.window <= now)
                {
                    used.pop_front();
                }
                used.len() as u64
            }
        };
        let peak = self.peak_use.entry(budget.clone()).or_default();
        *peak = count.max(*peak);
        if count > definition.total {
            self.record_violation(format!(
                "Never More Than The Whole: {count} of {} of {budget}, the last at {name}",
                definition.total
            ));
        }
    }

    /// Number of units of a budget that are in use, over all members.
    pub fn units_in_use(&self, budget: &str) -> u64 {
        let units = self.hosts.values().flat_map(|host| &host.units);
        units.filter(|(name, _)| name == budget).count() as u64
    }

    /// Submits an operator's call at a member and returns the number of the call.
    pub fn submit_call(&mut self, name: &str, call: OperatorCall) -> Number {
        self.last_number += 1;
        let number = self.last_number;
        self.handle_input(name, Input::Call(number, call));
        number
    }

    /// Submits an operator's action at a member and returns the number of the call.
    pub fn submit_action(&mut self, name: &str, action: FleetAction) -> Number {
        self.submit_call(name, OperatorCall::FleetAction(action))
    }

    /// Shuts the process down in an orderly way (SIGTERM).
    pub fn shut_down_process(&mut self, name: &str) {
        self.handle_input(name, Input::Quit);
    }

    /// Puts a message in flight, to be delivered at `due`.
    fn enqueue_message(&mut self, due: Millis, from: &str, to: Name, message: PeerMessage) {
        self.last_message_number += 1;
        self.in_flight.insert(self.last_message_number, message);
        self.queue.push(Reverse((
            due,
            self.last_message_number,
            from.to_string(),
            to,
        )));
    }

    /// Passes an input to a member and carries out the resulting outputs.
    pub fn handle_input(&mut self, name: &str, input: Input) {
        let now = self.now;
        let injected_bug = self.injected_bug;
        let host = self.hosts.get_mut(name).unwrap();
        let Some(member) = host.member.as_mut() else {
            return;
        };
        let mut acknowledged = None;
        for output in member.handle(host.clock.local_time(now), input) {
            match output {
                Output::Send(to, message) => {
                    self.frames_sent += 1;
                    let is_lost = self.cut_links.contains(&(name.to_string(), to.clone()))
                        || self.rng.random_bool(self.loss_rate);
                    if !is_lost && self.hosts.contains_key(&to) {
                        let due = now
                            + self
                                .rng
                                .random_range(self.delay_range.0..=self.delay_range.1);
                        if self.duplicate_rate > 0.0 && self.rng.random_bool(self.duplicate_rate) {
                            let duplicate_due = due + self.rng.random_range(0..200);
                            self.enqueue_message(duplicate_due, name, to.clone(), message.clone());
                        }
                        self.enqueue_message(due, name, to, message);
                    }
                }
                Output::SaveRecord(number, record) => {
                    let host = self.hosts.get_mut(name).unwrap();
                    let acknowledges_early = injected_bug == InjectedBug::AckBeforeSync;
                    let due = now
                        + if acknowledges_early {
                            300
                        } else {
                            host.sync_latency
                        };
                    host.unsynced.push_back((due, number, record));
                    if acknowledges_early {
                        acknowledged = Some(number);
                    }
                }
                Output::Answer(number, answer) => self.handle_answer(name, number, answer),
                Output::Part(budget, number, part) => {
                    // The counter receives the part at once, and its usage report follows some time later.
                    let report_delay = self.rng.random_range(0..60);
                    let host = self.hosts.get_mut(name).unwrap();
                    host.external_parts.insert(budget.clone(), part);
                    host.usage_reports
                        .push_back((now + report_delay, budget, number));
                }
                Output::MachineList(version, list) => self.queue_list_write(name, version, list),
                Output::Event(event) => self.record_event(name, event),
                Output::Ended => {
                    let host = self.hosts.get_mut(name).unwrap();
                    (host.member, host.has_shut_down) = (None, true);
                    host.pending_acquires.clear();
                    host.units.clear();
                    return;
                }
            }
        }
        if let Some(number) = acknowledged {
            self.handle_input(name, Input::RecordsSaved(number));
        }
    }

    /// Handles a member's answer to a call of an operator, a client or a program.
    fn handle_answer(&mut self, name: &str, number: Number, answer: OperatorAnswer) {
        if let Some(pending_call) = self.pending_operator_calls.remove(&number) {
            return self.record_answer(pending_call, &answer);
        }
        let host = self.hosts.get_mut(name).unwrap();
        if let Some(key) = host.pending_acquires.remove(&number) {
            match answer {
                OperatorAnswer::UnitAcquired => self.record_unit_taken(name, key),
                _ => self.units_refused += 1,
            }
            return;
        }
        match (host.pending_holds.remove(&number), answer) {
            (Some((called_at, duty)), OperatorAnswer::Held { fence, remaining }) => {
                let until = called_at + host.clock.simulated_duration(remaining);
                let program = Program {
                    fence,
                    until,
                    stops_at: None,
                };
                let known = host.programs.entry(duty).or_insert(program.clone());
                if known.fence == fence {
                    known.until = known.until.max(until);
                }
            }
            (Some((_, duty)), OperatorAnswer::NotHeld(_)) => {
                let (now, stop_delay) = (self.now, self.rng.random_range(0..100));
                let ignores_stop = self.injected_bug == InjectedBug::DeafProgram;
                if let Some(program) = self.hosts.get_mut(name).unwrap().programs.get_mut(&duty) {
                    program.stops_at.get_or_insert(now + stop_delay);
                    if ignores_stop {
                        program.until += 1000;
                        program.stops_at = None;
                    }
                }
            }
            (_, answer) => {
                self.answers.insert(number, answer);
            }
        }
    }

    /// Records a member's event and checks Fencing.
    fn record_event(&mut self, name: &str, event: Event) {
        self.event_log
            .push(format!("{} {name}: {event:?}", self.now));
        match event {
            Event::Gained { duty, fence } => {
                self.duties_gained += 1;
                let newest_fence = self.newest_fences.entry(duty.clone()).or_default();
                if fence <= *newest_fence {
                    let description =
                        format!("Fencing: {name} gains {duty} with {fence} after {newest_fence}");
                    self.record_violation(description);
                } else {
                    *newest_fence = fence;
                }
            }
            Event::Lost { why, .. } => {
                self.duties_lost += 1;
                if matches!(why, LossReason::HandedOn | LossReason::Ending) {
                    // The hold is requested again at once, as the caller of a program would do.
                    for duty in self.duties.clone() {
                        let number = self.last_number + 1;
                        let now = self.now;
                        self.hosts
                            .get_mut(name)
                            .unwrap()
                            .pending_holds
                            .insert(number, (now, duty.clone()));
                        self.submit_call(
                            name,
                            OperatorCall::HoldDuty {
                                duty,
                                token: "p".into(),
                            },
                        );
                    }
                }
            }
            Event::Leads { .. } => self.elections_won += 1,
            Event::Stale { .. } => self.hosts.get_mut(name).unwrap().stale = true,
            _ => {}
        }
    }

    /// The member that holds a duty, if there is one.
    pub fn holder(&self, duty: &str) -> Option<Name> {
        self.holders(duty).into_iter().next().map(|(name, _)| name)
    }

    /// The members that hold a duty, each with its fencing number.
    fn holders(&self, duty: &str) -> Vec<(Name, Number)> {
        let held_fence = |(name, host): (&Name, &Host)| {
            let fence = host
                .member
                .as_ref()?
                .held_fence(duty, host.clock.local_time(self.now))?;
            Some((name.clone(), fence))
        };
        self.hosts.iter().filter_map(held_fence).collect()
    }

    /// Checks One Holder for each duty and measures how long duties have no holder.
    fn check_duties(&mut self) {
        for duty in self.duties.clone() {
            let mut holders = self.holders(&duty);
            for (name, host) in &self.hosts {
                if let Some(program) = host.programs.get(&duty)
                    && self.now < program.until
                    && !holders.contains(&(name.clone(), program.fence))
                {
                    holders.push((format!("a program at {name}"), program.fence));
                }
            }
            if holders.len() > 1 {
                let description = format!("One Holder: {duty} is held by {holders:?}");
                self.record_violation(description);
            }
            match holders.is_empty() {
                true => {
                    let since = *self.unheld_since.entry(duty).or_insert(self.now);
                    self.longest_unheld = self.longest_unheld.max(self.now - since);
                }
                false => {
                    self.unheld_since.remove(&duty);
                }
            }
        }
    }

    /// Records the violation of an invariant, unless there has been one before.
    pub fn record_violation(&mut self, description: String) {
        let at = self.now;
        self.violation
            .get_or_insert(format!("{at} ms: {description}"));
    }

    /// The running leader of the newest term that is ready to serve.
    pub fn leader(&self) -> Option<Name> {
        let is_leader = |(_, host): &(&Name, &Host)| {
            let is_ready = host.member.as_ref().is_some_and(Member::is_ready_leader);
            is_ready && host.stopped_until <= self.now
        };
        let term = |host: &Host| {
            host.member
                .as_ref()
                .and_then(|member| member.consensus_status())
                .map(|log| log.term)
        };
        let newest = self
            .hosts
            .iter()
            .filter(is_leader)
            .max_by_key(|(_, host)| term(host));
        newest.map(|(name, _)| name.clone())
    }
}

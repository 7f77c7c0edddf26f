//! Whole members in simulated time: One Holder, Fencing and Held Again are checked from outside at every step,
//! programs that work on a duty included; clocks of processes start anywhere and run apart.

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

pub const STEP_INTERVAL: Millis = 5;

/// What is wrong with a host on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum InjectedBug {
    #[default]
    Nothing,
    /// Holders count a lease longer than leaders do.
    LongerLease,
    /// Clocks run apart by more than is stated.
    WildClocks,
    /// Records are acknowledged before they are synced, and kills lose them.
    AckBeforeSync,
    /// Programs go on for a second after they were told to stop.
    DeafProgram,
    /// One unit in fifty is used without being asked for.
    ExtraUnit,
    /// A proxy confirms that a machine is closed, and empty, before it is.
    HastyProxy,
    /// A killed voter's snapshot comes back without sessions.
    LostSnapshot,
    /// A killed voter forgets its term and whom it voted for.
    ForgetsVote,
    /// A killed proxy's list is lost, and the next one serves without.
    ServesUnlisted,
    /// What counts budgets elsewhere in a process does not look when its part ends.
    OverstaysPart,
    /// Connections at servers outlive their killed process by seconds.
    ConnectionsOutlive,
    /// Operators are shown what was so a while ago.
    StaleViews,
    /// A proxy confirms what it has not written down, and starts anew by an older list.
    ForgetfulProxy,
}

impl InjectedBug {
    /// Every error, by the name that the command line knows it by.
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

/// A process's clock against true time, in parts per thousand.
#[derive(Clone, Copy, Debug)]
struct Clock {
    offset: Millis,
    permille: i64,
}

impl Clock {
    fn local_time(self, now: Millis) -> Millis {
        self.offset + (now as i64 * (1000 + self.permille) / 1000) as Millis
    }

    /// Of a span by this clock, in true time, no shorter than it is.
    fn span(self, millis: Millis) -> Millis {
        (millis as i64 * 1000 / (1000 + self.permille)) as Millis + 1
    }
}

/// A program that works on a duty for as long as it was told.
#[derive(Clone, Debug)]
struct Program {
    fence: Number,
    until: Millis,
    /// It ends then, as it was told that the duty is lost.
    ends: Option<Millis>,
}

pub struct Host {
    pub member: Option<Member>,
    pub persisted_state: Option<SavedState>,
    unsynced: VecDeque<(Millis, Number, MemberRecord)>,
    clock: Clock,
    pub stopped_until: Millis,
    pub restart_at: Option<Millis>,
    pub sync_latency: Millis,
    /// What lies in wait while it is stopped.
    waiting: VecDeque<(Name, PeerMessage)>,
    programs: BTreeMap<Name, Program>,
    calls: BTreeMap<Number, (Millis, Name)>,
    /// Units asked for, and units in use, by budget and token.
    asked: BTreeMap<Number, (Name, Name)>,
    units: BTreeSet<(Name, Name)>,
    /// What the counter outside was told, how often it was too small, and its words on the way back.
    parts: BTreeMap<Name, Part>,
    denied: BTreeMap<Name, u64>,
    words: VecDeque<(Millis, Name, Number)>,
    used: BTreeMap<Name, VecDeque<Millis>>,
    pub stale: bool,
    pub has_shut_down: bool,
}

pub struct World {
    pub now: Millis,
    pub rng: Pcg32,
    pub limits: Limits,
    pub hosts: BTreeMap<Name, Host>,
    peers: BTreeMap<Name, bool>,
    pub duties: Vec<Name>,
    queue: BinaryHeap<Reverse<(Millis, u64, Name, Name)>>,
    flying: BTreeMap<u64, PeerMessage>,
    sent: u64,
    pub frames_sent: u64,
    pub cut_links: BTreeSet<(Name, Name)>,
    pub loss_rate: f64,
    /// Part of all frames that come twice.
    pub duplicate_rate: f64,
    /// Calls about who is put out, by member: who called when, and when the answer came.
    call_history: BTreeMap<Name, Vec<linearizability::Call>>,
    pending_operator_calls: BTreeMap<Number, operators::PendingCall>,
    /// Operators look at the fleet now and then.
    pub views_enabled: bool,
    pub delay_range: (Millis, Millis),
    pub injected_bug: InjectedBug,
    last_number: Number,
    // The books.
    newest: BTreeMap<Name, Number>,
    /// Since when nobody holds a duty.
    free: BTreeMap<Name, Millis>,
    pub longest_unheld: Millis,
    pub duties_gained: usize,
    pub duties_lost: usize,
    pub elections_won: usize,
    pub answers: BTreeMap<Number, OperatorAnswer>,
    /// Machines that are worked on, if there are any.
    pub maintenance: Option<Maintenance>,
    pub budgets: Vec<BudgetDefinition>,
    /// Budgets that are counted outside of the member, as the proxy's own module counts.
    pub external_budgets: BTreeSet<Name>,
    /// Clients press no more of the budgets than these, the first ones.
    pub demanded_budget_count: usize,
    /// Members whose files have other budgets.
    pub budget_overrides: BTreeMap<Name, Vec<BudgetDefinition>>,
    /// How hard each member is pressed: takes a step.
    pub demand: BTreeMap<Name, f64>,
    /// When units of rates were used.
    used: BTreeMap<Name, VecDeque<Millis>>,
    pub units_taken: usize,
    pub units_refused: usize,
    /// The most that was in use of a budget at once, or in a window.
    pub peak_use: BTreeMap<Name, u64>,
    pub violation: Option<String>,
    pub event_log: Vec<String>,
}

impl Host {
    /// Units in use here.
    pub fn unit_count(&self) -> usize {
        self.units.len()
    }
}

pub fn node_name(at: usize) -> Name {
    format!("node-{at}")
}

impl World {
    /// `voters` members with directories, and `others` without.
    pub fn new(seed: u64, voters: usize, others: usize) -> Self {
        Self::with_injected_bug(seed, voters, others, InjectedBug::Nothing)
    }

    pub fn with_injected_bug(
        seed: u64,
        voters: usize,
        others: usize,
        planted: InjectedBug,
    ) -> Self {
        Self::with_budgets(seed, voters, others, planted, Vec::new())
    }

    /// The named budgets are counted outside of members, as a proxy's module counts.
    pub fn with_external_budgets(mut self, names: &[&str]) -> Self {
        self.external_budgets = names.iter().map(|name| name.to_string()).collect();
        let hosts: Vec<Name> = self.hosts.keys().cloned().collect();
        for name in hosts {
            self.kill_process(&name);
            self.start_process(&name);
        }
        self
    }

    pub fn with_budgets(
        seed: u64,
        voters: usize,
        others: usize,
        planted: InjectedBug,
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
            flying: BTreeMap::new(),
            sent: 0,
            frames_sent: 0,
            cut_links: BTreeSet::new(),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            call_history: BTreeMap::new(),
            pending_operator_calls: BTreeMap::new(),
            views_enabled: false,
            delay_range: (0, 10),
            injected_bug: planted,
            last_number: 0,
            newest: BTreeMap::new(),
            free: BTreeMap::new(),
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
            used: BTreeMap::new(),
            units_taken: 0,
            units_refused: 0,
            peak_use: BTreeMap::new(),
            violation: None,
            event_log: Vec::new(),
        };
        for at in 0..voters + others {
            let id = NodeId(world.rng.random_range(1..u64::MAX));
            let wild = if planted == InjectedBug::WildClocks {
                250
            } else {
                4
            };
            let clock = Clock {
                offset: world.rng.random_range(0..1 << 40),
                permille: world.rng.random_range(-wild..=wild),
            };
            let host = Host {
                member: None,
                persisted_state: (at < voters).then(|| SavedState::new(id)),
                unsynced: VecDeque::new(),
                clock,
                stopped_until: 0,
                restart_at: None,
                sync_latency: 2,
                waiting: VecDeque::new(),
                programs: BTreeMap::new(),
                calls: BTreeMap::new(),
                asked: BTreeMap::new(),
                units: BTreeSet::new(),
                parts: BTreeMap::new(),
                denied: BTreeMap::new(),
                words: VecDeque::new(),
                used: BTreeMap::new(),
                stale: false,
                has_shut_down: false,
            };
            world.hosts.insert(node_name(at), host);
        }
        let names: Vec<Name> = world.hosts.keys().cloned().collect();
        names.iter().for_each(|name| world.start_process(name));
        world
    }

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
            // As in real files: who votes, and oneself.
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
        // Links are up at once, with the directories that are there.
        let ids: Vec<_> = self
            .hosts
            .iter()
            .map(|(name, host)| (name.clone(), host.persisted_state.as_ref().map(|s| s.id)))
            .collect();
        for (other, id) in &ids {
            if other != name {
                self.handle_input(name, Input::PeerConnected(other.clone(), *id));
            }
        }
        let own = self.hosts[name]
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
            self.handle_input(&other, Input::PeerConnected(name.to_string(), own));
        }
    }

    /// SIGKILL. A program of an operator outlives the process and goes on for as long as it was told.
    pub fn kill_process(&mut self, name: &str) {
        let kept = self.rng.random_range(0..=2);
        let planted = self.injected_bug;
        let host = self.hosts.get_mut(name).unwrap();
        host.member = None;
        host.waiting.clear();
        host.calls.clear();
        host.asked.clear();
        // Its connections end with it.
        if planted != InjectedBug::ConnectionsOutlive {
            host.units.clear();
        }
        host.parts.clear();
        host.denied.clear();
        host.words.clear();
        host.used.clear();
        let unsynced: Vec<_> = host.unsynced.drain(..).collect();
        self.restart_proxy(name);
        let host = self.hosts.get_mut(name).unwrap();
        if let Some(saved) = host
            .persisted_state
            .as_mut()
            .filter(|_| planted != InjectedBug::AckBeforeSync)
        {
            for (_, _, record) in unsynced.into_iter().take(kept) {
                saved.apply(record).unwrap();
            }
        }
        let disk = self
            .hosts
            .get_mut(name)
            .and_then(|host| host.persisted_state.as_mut());
        match (planted, disk.map(|saved| &mut saved.consensus_state)) {
            (InjectedBug::LostSnapshot, Some(disk)) => {
                if let Some(snapshot) = disk.snapshot.as_mut().filter(|s| !s.data.is_empty()) {
                    snapshot.data = violetwind_fleet::State::default().encode();
                }
            }
            (InjectedBug::ForgetsVote, Some(disk)) => {
                let last = disk.entries.last().map(|entry| entry.term);
                let kept = disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.term);
                (disk.term, disk.voted_for) = (last.unwrap_or(kept), None);
            }
            _ => {}
        }
    }

    /// An empty directory in the place of the old one: somebody else.
    pub fn wipe_directory(&mut self, name: &str) {
        self.kill_process(name);
        let id = NodeId(self.rng.random_range(1..u64::MAX));
        self.hosts.get_mut(name).unwrap().persisted_state = Some(SavedState::new(id));
    }

    pub fn run_for(&mut self, millis: Millis) {
        let until = self.now + millis;
        while self.now < until && self.violation.is_none() {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP_INTERVAL;
        let names: Vec<Name> = self.hosts.keys().cloned().collect();
        for name in &names {
            if self.hosts[name]
                .restart_at
                .is_some_and(|back| self.now >= back)
            {
                // One process of a directory at a time.
                self.kill_process(name);
                self.start_process(name);
            }
        }
        while let Some(Reverse((due, number, from, to))) = self.queue.peek().cloned() {
            if due > self.now {
                break;
            }
            self.queue.pop();
            let peer = self.flying.remove(&number).unwrap();
            let host = self.hosts.get_mut(&to).unwrap();
            if host.stopped_until > self.now && host.member.is_some() {
                host.waiting.push_back((from, peer));
            } else {
                self.handle_input(&to, Input::PeerMessage(from, peer));
            }
        }
        for name in &names {
            let host = self.hosts.get_mut(name).unwrap();
            if host.stopped_until > self.now {
                continue;
            }
            while let Some((from, peer)) = self.hosts.get_mut(name).unwrap().waiting.pop_front() {
                self.handle_input(name, Input::PeerMessage(from, peer));
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
            self.work(name);
            self.count_outside(name);
            self.use_budgets(name);
            self.step_proxy(name);
        }
        self.request_view();
        self.issue_work_commands();
        self.check();
        self.check_work();
    }

    /// Programs ask again and again whether they may go on.
    fn work(&mut self, name: &str) {
        let now = self.now;
        for duty in self.duties.clone() {
            let host = self.hosts.get_mut(name).unwrap();
            if let Some(program) = host.programs.get(&duty)
                && (now >= program.until || program.ends.is_some_and(|ends| now >= ends))
            {
                let told = program.ends.is_some();
                host.programs.remove(&duty);
                if told {
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
                    .calls
                    .insert(number, (now, duty));
                self.submit_call(name, call);
            }
        }
    }

    /// The counter outside: its words go back to the member in their order, with what is used when they go.
    fn count_outside(&mut self, name: &str) {
        while let Some((due, budget, number)) = self.hosts[name].words.front().cloned() {
            if due > self.now {
                return;
            }
            self.hosts.get_mut(name).unwrap().words.pop_front();
            let busy = self.busy_outside(name, &budget);
            let denied = self.hosts[name].denied.get(&budget).copied().unwrap_or(0);
            self.handle_input(
                name,
                Input::ExternalUsage {
                    budget,
                    part_number: number,
                    in_use: busy,
                    denied,
                },
            );
        }
        if self.rng.random_bool(0.1) {
            for budget in self.external_budgets.clone() {
                let busy = self.busy_outside(name, &budget);
                let denied = self.hosts[name].denied.get(&budget).copied().unwrap_or(0);
                self.handle_input(
                    name,
                    Input::ExternalUsage {
                        budget,
                        part_number: 0,
                        in_use: busy,
                        denied,
                    },
                );
            }
        }
    }

    fn busy_outside(&mut self, name: &str, budget: &str) -> u64 {
        let now = self.now;
        let host = self.hosts.get_mut(name).unwrap();
        let at = host.clock.local_time(now);
        let span = host.parts.get(budget).map_or(0, |part| part.span);
        match self
            .budgets
            .iter()
            .find(|def| def.name == budget)
            .map(|def| def.kind)
        {
            Some(BudgetKind::Rate) => {
                let used = host.used.entry(budget.to_string()).or_default();
                while used.front().is_some_and(|used| at >= *used + span) {
                    used.pop_front();
                }
                used.len() as u64
            }
            _ => host.units.iter().filter(|(of, _)| of == budget).count() as u64,
        }
    }

    fn take_outside(&mut self, name: &str, budget: &str, token: Name) {
        let busy = self.busy_outside(name, budget);
        let now = self.now;
        let host = self.hosts.get_mut(name).unwrap();
        if host.member.is_none() {
            return;
        }
        let at = host.clock.local_time(now);
        let Some(part) = host.parts.get(budget) else {
            return;
        };
        let units = if at < part.until || self.injected_bug == InjectedBug::OverstaysPart {
            part.units
        } else {
            part.after
        };
        if busy < units {
            host.used
                .entry(budget.to_string())
                .or_default()
                .push_back(at);
            self.unit(name, (budget.to_string(), token));
        } else {
            *host.denied.entry(budget.to_string()).or_default() += 1;
            self.units_refused += 1;
        }
    }

    /// Clients come and go: units are asked for and given back.
    /// One unit is wanted of each budget that is counted outside the member: whoever counts there goes on by the part that it was
    /// told also while the member's own thread is stalled.
    pub fn take_external_units(&mut self, name: &str) {
        let counted = self.budgets.iter().map(|def| def.name.clone());
        let counted: Vec<Name> = counted
            .filter(|name| self.external_budgets.contains(name))
            .collect();
        for budget in counted {
            self.last_number += 1;
            let token = format!("t{}", self.last_number);
            self.take_outside(name, &budget, token);
        }
    }

    fn use_budgets(&mut self, name: &str) {
        let press = self.demand.get(name).copied().unwrap_or(0.0);
        if press == 0.0 && self.hosts[name].units.is_empty() {
            return;
        }
        let pressed: Vec<BudgetDefinition> = self
            .budgets
            .iter()
            .take(self.demanded_budget_count)
            .cloned()
            .collect();
        for def in pressed {
            let mut left = press;
            while left > 0.0 && self.rng.random_bool(left.min(1.0)) {
                left -= 1.0;
                let token = format!("t{}", self.last_number + 1);
                let key = (def.name.clone(), token.clone());
                if self.external_budgets.contains(&def.name) {
                    self.last_number += 1;
                    self.take_outside(name, &def.name, token);
                    continue;
                }
                let number = self.last_number + 1;
                self.hosts.get_mut(name).unwrap().asked.insert(number, key);
                let wait = [0, 100][self.rng.random_range(0..2)];
                self.submit_call(
                    name,
                    OperatorCall::AcquireUnit {
                        budget: def.name.clone(),
                        token,
                        hold_timeout: 1 << 40,
                        max_wait: wait,
                    },
                );
            }
            // Half a second or so each.
            let units = &self.hosts[name].units;
            let ends = units.iter().filter(|(budget, _)| *budget == def.name);
            let ends: Vec<_> = ends
                .filter(|_| self.rng.random_bool(0.01))
                .cloned()
                .collect();
            for (budget, token) in ends {
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

    fn unit(&mut self, name: &str, (budget, token): (Name, Name)) {
        self.units_taken += 1;
        let extra =
            self.injected_bug == InjectedBug::ExtraUnit && self.units_taken.is_multiple_of(50);
        let Some(def) = self.budgets.iter().find(|def| def.name == budget).cloned() else {
            return;
        };
        let now = self.now;
        let count = match def.kind {
            BudgetKind::Concurrent => {
                let host = self.hosts.get_mut(name).unwrap();
                host.units.insert((budget.clone(), token.clone()));
                if extra {
                    host.units
                        .insert((budget.clone(), format!("{token}, unasked")));
                }
                let units = self.hosts.values().flat_map(|host| &host.units);
                units.filter(|(of, _)| *of == budget).count() as u64
            }
            BudgetKind::Rate => {
                let used = self.used.entry(budget.clone()).or_default();
                used.push_back(now);
                if extra {
                    used.push_back(now);
                }
                while used.front().is_some_and(|at| *at + def.window <= now) {
                    used.pop_front();
                }
                used.len() as u64
            }
        };
        let most = self.peak_use.entry(budget.clone()).or_default();
        *most = count.max(*most);
        if count > def.total {
            self.record_violation(format!(
                "Never More Than The Whole: {count} of {} of {budget}, the last at {name}",
                def.total
            ));
        }
    }

    /// In use now, over all members.
    pub fn units_in_use(&self, budget: &str) -> u64 {
        let units = self.hosts.values().flat_map(|host| &host.units);
        units.filter(|(of, _)| of == budget).count() as u64
    }

    pub fn submit_call(&mut self, name: &str, call: OperatorCall) -> Number {
        self.last_number += 1;
        let number = self.last_number;
        self.handle_input(name, Input::Call(number, call));
        number
    }

    pub fn submit_order(&mut self, name: &str, order: FleetAction) -> Number {
        self.submit_call(name, OperatorCall::FleetAction(order))
    }

    pub fn shut_down_process(&mut self, name: &str) {
        self.handle_input(name, Input::Quit);
    }

    fn fly(&mut self, due: Millis, from: &str, to: Name, peer: PeerMessage) {
        self.sent += 1;
        self.flying.insert(self.sent, peer);
        self.queue
            .push(Reverse((due, self.sent, from.to_string(), to)));
    }

    pub fn handle_input(&mut self, name: &str, input: Input) {
        let now = self.now;
        let planted = self.injected_bug;
        let host = self.hosts.get_mut(name).unwrap();
        let Some(member) = host.member.as_mut() else {
            return;
        };
        let mut acknowledged = None;
        for output in member.handle(host.clock.local_time(now), input) {
            match output {
                Output::Send(to, peer) => {
                    self.frames_sent += 1;
                    let lost = self.cut_links.contains(&(name.to_string(), to.clone()))
                        || self.rng.random_bool(self.loss_rate);
                    if !lost && self.hosts.contains_key(&to) {
                        let due = now
                            + self
                                .rng
                                .random_range(self.delay_range.0..=self.delay_range.1);
                        if self.duplicate_rate > 0.0 && self.rng.random_bool(self.duplicate_rate) {
                            let again = due + self.rng.random_range(0..200);
                            self.fly(again, name, to.clone(), peer.clone());
                        }
                        self.fly(due, name, to, peer);
                    }
                }
                Output::SaveRecord(number, record) => {
                    let host = self.hosts.get_mut(name).unwrap();
                    let lies = planted == InjectedBug::AckBeforeSync;
                    let due = now + if lies { 300 } else { host.sync_latency };
                    host.unsynced.push_back((due, number, record));
                    if lies {
                        acknowledged = Some(number);
                    }
                }
                Output::Answer(number, answer) => self.answered(name, number, answer),
                Output::Part(budget, number, part) => {
                    // It comes to the counter at once, and the counter's word some time later.
                    let late = self.rng.random_range(0..60);
                    let host = self.hosts.get_mut(name).unwrap();
                    host.parts.insert(budget.clone(), part);
                    host.words.push_back((now + late, budget, number));
                }
                Output::MachineList(version, list) => self.queue_list_write(name, version, list),
                Output::Event(event) => self.event(name, event),
                Output::Ended => {
                    let host = self.hosts.get_mut(name).unwrap();
                    (host.member, host.has_shut_down) = (None, true);
                    host.asked.clear();
                    host.units.clear();
                    return;
                }
            }
        }
        if let Some(number) = acknowledged {
            self.handle_input(name, Input::RecordsSaved(number));
        }
    }

    fn answered(&mut self, name: &str, number: Number, answer: OperatorAnswer) {
        if let Some(asked) = self.pending_operator_calls.remove(&number) {
            return self.record_answer(asked, &answer);
        }
        let host = self.hosts.get_mut(name).unwrap();
        if let Some(key) = host.asked.remove(&number) {
            match answer {
                OperatorAnswer::UnitAcquired => self.unit(name, key),
                _ => self.units_refused += 1,
            }
            return;
        }
        match (host.calls.remove(&number), answer) {
            (
                Some((asked, duty)),
                OperatorAnswer::Held {
                    fence,
                    remaining: left,
                },
            ) => {
                let until = asked + host.clock.span(left);
                let program = Program {
                    fence,
                    until,
                    ends: None,
                };
                let known = host.programs.entry(duty).or_insert(program.clone());
                if known.fence == fence {
                    known.until = known.until.max(until);
                }
            }
            (Some((_, duty)), OperatorAnswer::NotHeld(_)) => {
                let (now, slow) = (self.now, self.rng.random_range(0..100));
                let deaf = self.injected_bug == InjectedBug::DeafProgram;
                if let Some(program) = self.hosts.get_mut(name).unwrap().programs.get_mut(&duty) {
                    program.ends.get_or_insert(now + slow);
                    if deaf {
                        program.until += 1000;
                        program.ends = None;
                    }
                }
            }
            (_, answer) => {
                self.answers.insert(number, answer);
            }
        }
    }

    fn event(&mut self, name: &str, event: Event) {
        self.event_log
            .push(format!("{} {name}: {event:?}", self.now));
        match event {
            Event::Gained { duty, fence } => {
                self.duties_gained += 1;
                let newest = self.newest.entry(duty.clone()).or_default();
                if fence <= *newest {
                    let what = format!("Fencing: {name} gains {duty} with {fence} after {newest}");
                    self.record_violation(what);
                } else {
                    *newest = fence;
                }
            }
            Event::Lost { why, .. } => {
                self.duties_lost += 1;
                if matches!(why, LossReason::HandedOn | LossReason::Ending) {
                    // Asked at once, as the program's caller would.
                    for duty in self.duties.clone() {
                        let number = self.last_number + 1;
                        let now = self.now;
                        self.hosts
                            .get_mut(name)
                            .unwrap()
                            .calls
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

    pub fn holder(&self, duty: &str) -> Option<Name> {
        self.holders(duty).into_iter().next().map(|(name, _)| name)
    }

    fn holders(&self, duty: &str) -> Vec<(Name, Number)> {
        let holds = |(name, host): (&Name, &Host)| {
            let fence = host
                .member
                .as_ref()?
                .held_fence(duty, host.clock.local_time(self.now))?;
            Some((name.clone(), fence))
        };
        self.hosts.iter().filter_map(holds).collect()
    }

    fn check(&mut self) {
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
                let what = format!("One Holder: {duty} is held by {holders:?}");
                self.record_violation(what);
            }
            match holders.is_empty() {
                true => {
                    let since = *self.free.entry(duty).or_insert(self.now);
                    self.longest_unheld = self.longest_unheld.max(self.now - since);
                }
                false => {
                    self.free.remove(&duty);
                }
            }
        }
    }

    pub fn record_violation(&mut self, what: String) {
        let at = self.now;
        self.violation.get_or_insert(format!("{at} ms: {what}"));
    }

    pub fn leader(&self) -> Option<Name> {
        let leads = |(_, host): &(&Name, &Host)| {
            let leads = host.member.as_ref().is_some_and(Member::is_ready_leader);
            leads && host.stopped_until <= self.now
        };
        let term = |host: &Host| {
            host.member
                .as_ref()
                .and_then(|m| m.consensus_status())
                .map(|log| log.term)
        };
        let best = self
            .hosts
            .iter()
            .filter(leads)
            .max_by_key(|(_, host)| term(host));
        best.map(|(name, _)| name.clone())
    }
}

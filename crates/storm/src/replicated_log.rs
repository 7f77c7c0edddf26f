//! The replicated log alone: Election Safety, State Machine Safety, reads, and an end to every trouble.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use violetwind_consensus::{
    DurableState, DurableWrite, Entry, Index, Input, Limits, Member, Members, MembershipChange,
    Message, MessageBody, Millis, Node, NodeId, Output, Payload, Rejection, Role, Term,
};

pub const STEP_INTERVAL: Millis = 5;

/// What is wrong with a host on purpose, so that the books can be shown to find it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum InjectedBug {
    #[default]
    Nothing,
    /// Writes are acknowledged before they are synced.
    AckBeforeSync,
    /// The state machine leaves entries out.
    SkipsEntry,
    /// An emptied directory comes back under its old id.
    EmptiedUnderItsName,
}

pub struct Host {
    pub node: Option<Node>,
    pub disk: DurableState,
    pub unsynced: VecDeque<(Millis, DurableWrite)>,
    pub stopped_until: Millis,
    pub restart_at: Option<Millis>,
    pub sync_latency: Millis,
    pub applied_index: Index,
    pub state: Vec<u64>,
    pub stale: bool,
}

pub struct World {
    pub now: Millis,
    pub rng: Pcg32,
    pub limits: Limits,
    pub hosts: BTreeMap<NodeId, Host>,
    queue: BinaryHeap<std::cmp::Reverse<(Millis, u64, NodeId, NodeId)>>,
    flying: BTreeMap<u64, Message>,
    sent: u64,
    pub cut_links: BTreeSet<(NodeId, NodeId)>,
    pub loss_rate: f64,
    pub duplicate_rate: f64,
    pub delay_range: (Millis, Millis),
    pub injected_bug: InjectedBug,
    /// How often a node is killed at a write it asks for, or at a vote it gives.
    pub kill_on_write_rate: f64,
    pub kill_on_vote_rate: f64,
    // The books.
    pub leaders: BTreeMap<Term, NodeId>,
    pub committed: BTreeMap<Index, Entry>,
    pub elections_won: usize,
    pub commits: u64,
    reads: BTreeMap<u64, Index>,
    next_command: u64,
    pub reads_completed: usize,
    pub violation: Option<String>,
}

pub fn node_ids(count: u64) -> Vec<NodeId> {
    (1..=count).map(NodeId).collect()
}

impl World {
    pub fn new(seed: u64, voters: u64) -> Self {
        let member = |id: NodeId| {
            (
                id,
                Member {
                    name: format!("node-{}", id.0),
                    is_voter: true,
                },
            )
        };
        let members = Members(node_ids(voters).into_iter().map(member).collect());
        let mut world = Self {
            now: 1000,
            rng: Pcg32::seed_from_u64(seed),
            limits: Limits {
                snapshot_chunk_bytes: 256,
                max_batch_bytes: 256,
                ..Limits::default()
            },
            hosts: BTreeMap::new(),
            queue: BinaryHeap::new(),
            flying: BTreeMap::new(),
            sent: 0,
            cut_links: BTreeSet::new(),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            delay_range: (0, 10),
            injected_bug: InjectedBug::Nothing,
            kill_on_write_rate: 0.0,
            kill_on_vote_rate: 0.0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            elections_won: 0,
            commits: 0,
            reads: BTreeMap::new(),
            next_command: 0,
            reads_completed: 0,
            violation: None,
        };
        for id in node_ids(voters) {
            world.add_host(id, DurableState::bootstrap(members.clone()));
        }
        world
    }

    pub fn add_host(&mut self, id: NodeId, disk: DurableState) {
        let host = Host {
            node: None,
            disk,
            unsynced: VecDeque::new(),
            stopped_until: 0,
            restart_at: None,
            sync_latency: 2,
            applied_index: 0,
            state: Vec::new(),
            stale: false,
        };
        self.hosts.insert(id, host);
        self.start_process(id);
    }

    pub fn start_process(&mut self, id: NodeId) {
        let seed = self.rng.random();
        let host = self.hosts.get_mut(&id).unwrap();
        let node = Node::new(id, host.disk.clone(), self.limits.clone(), seed, self.now);
        (host.node, host.restart_at, host.stopped_until) = (Some(node), None, 0);
        (host.applied_index, host.state) = (0, Vec::new());
        self.process_outputs(id);
    }

    /// SIGKILL: what is not synced is lost, or a part of it is not.
    pub fn kill_process(&mut self, id: NodeId) {
        let kept = self.rng.random_range(0..=2);
        let planted = self.injected_bug;
        let host = self.hosts.get_mut(&id).unwrap();
        host.node = None;
        for (_, write) in host.unsynced.drain(..).take(kept) {
            if planted != InjectedBug::AckBeforeSync {
                host.disk.apply(write).unwrap();
            }
        }
        if planted == InjectedBug::EmptiedUnderItsName {
            let snapshot = host
                .disk
                .snapshot
                .clone()
                .filter(|snapshot| snapshot.index == 0);
            host.disk = DurableState {
                snapshot,
                ..DurableState::default()
            };
        }
        host.unsynced.clear();
    }

    pub fn run_for(&mut self, millis: Millis) {
        let until = self.now + millis;
        while self.now < until && self.violation.is_none() {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP_INTERVAL;
        let ids: Vec<NodeId> = self.hosts.keys().copied().collect();
        for id in &ids {
            let host = self.hosts.get_mut(id).unwrap();
            if host.restart_at.is_some_and(|back| self.now >= back) {
                self.start_process(*id);
            }
        }
        // What was due while a process was stopped comes after it goes on.
        while let Some(std::cmp::Reverse((due, number, from, to))) = self.queue.peek().copied() {
            if due > self.now {
                break;
            }
            self.queue.pop();
            let message = self.flying.remove(&number).unwrap();
            let Some(host) = self.hosts.get(&to) else {
                continue;
            };
            if host.stopped_until > self.now && host.node.is_some() {
                self.fly(host.stopped_until, from, to, message);
                continue;
            }
            self.handle_input(to, Input::Message(from, message));
        }
        for id in ids {
            let host = self.hosts.get_mut(&id).unwrap();
            if host.stopped_until > self.now {
                continue;
            }
            let mut synced = None;
            while host
                .unsynced
                .front()
                .is_some_and(|(due, _)| *due <= self.now)
            {
                let (_, write) = host.unsynced.pop_front().unwrap();
                synced = Some(write.seq);
                host.disk.apply(write).unwrap();
            }
            if let Some(seq) = synced {
                self.handle_input(id, Input::Persisted(seq));
            }
            self.handle_input(id, Input::Tick);
        }
    }

    fn fly(&mut self, due: Millis, from: NodeId, to: NodeId, message: Message) {
        self.sent += 1;
        self.flying.insert(self.sent, message);
        self.queue
            .push(std::cmp::Reverse((due, self.sent, from, to)));
    }

    pub fn handle_input(&mut self, id: NodeId, input: Input) {
        let now = self.now;
        if let Some(node) = self.hosts.get_mut(&id).and_then(|host| host.node.as_mut()) {
            node.handle(now, input);
            self.process_outputs(id);
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        if self.cut_links.contains(&(from, to)) || self.rng.random_bool(self.loss_rate) {
            return;
        }
        if self.rng.random_bool(self.duplicate_rate) {
            let due = self.now
                + self
                    .rng
                    .random_range(self.delay_range.0..=4 * self.delay_range.1);
            self.fly(due, from, to, message.clone());
        }
        let due = self.now
            + self
                .rng
                .random_range(self.delay_range.0..=self.delay_range.1);
        self.fly(due, from, to, message);
    }

    pub fn process_outputs(&mut self, id: NodeId) {
        let node = self.hosts.get_mut(&id).and_then(|host| host.node.as_mut());
        let Some(node) = node else { return };
        let (term, role) = (node.status().term, node.status().role);
        let mut dies = false;
        for output in node.take_outputs() {
            match output {
                Output::Send(to, message) => {
                    let voted = message.body == MessageBody::VoteResponse { granted: true };
                    dies |= voted && self.rng.random_bool(self.kill_on_vote_rate);
                    self.send(id, to, message);
                }
                Output::Write(write) => {
                    dies |= self.rng.random_bool(self.kill_on_write_rate);
                    let host = self.hosts.get_mut(&id).unwrap();
                    let due = self.now + host.sync_latency;
                    let seq = write.seq;
                    if self.injected_bug == InjectedBug::AckBeforeSync {
                        host.unsynced.push_back((due + 50, write));
                        host.node
                            .as_mut()
                            .unwrap()
                            .handle(self.now, Input::Persisted(seq));
                    } else {
                        host.unsynced.push_back((due, write));
                    }
                }
                Output::Committed(entries) => entries
                    .into_iter()
                    .for_each(|entry| self.committed(id, entry)),
                Output::SnapshotInstalled(snapshot) => {
                    let host = self.hosts.get_mut(&id).unwrap();
                    host.state = snapshot
                        .data
                        .chunks(8)
                        .map(|b| u64::from_le_bytes(b.try_into().unwrap()))
                        .collect();
                    host.applied_index = snapshot.index;
                    let state = self.hosts[&id].state.clone();
                    if state != self.expected(snapshot.index) {
                        self.record_violation(format!(
                            "State Machine Safety: {id:?} is restored to what was never"
                        ));
                    }
                }
                Output::LeaderReady(_) => self.elections_won += 1,
                Output::ReadReady(token, index) => {
                    self.reads_completed += 1;
                    if let Some(least) = self.reads.remove(&token)
                        && index < least
                    {
                        self.record_violation(format!(
                            "Read Index: {id:?} reads at {index}, {least} was committed before"
                        ));
                    }
                }
                Output::Stale { .. } => self.hosts.get_mut(&id).unwrap().stale = true,
                Output::SteppedDown(_) | Output::ReadFailed(_) => {}
            }
        }
        if dies {
            self.kill_process(id);
            self.hosts.get_mut(&id).unwrap().restart_at = Some(self.now + STEP_INTERVAL);
        }
        if role == Role::Leader {
            let first = *self.leaders.entry(term).or_insert(id);
            if first != id {
                self.record_violation(format!(
                    "Election Safety: {first:?} and {id:?} lead in term {term}"
                ));
            }
        }
    }

    fn expected(&self, index: Index) -> Vec<u64> {
        let commands =
            self.committed
                .range(..=index)
                .filter_map(|(_, entry)| match &entry.payload {
                    Payload::Command(bytes) => {
                        Some(u64::from_le_bytes(bytes[..8].try_into().unwrap()))
                    }
                    _ => None,
                });
        commands.collect()
    }

    fn committed(&mut self, id: NodeId, entry: Entry) {
        let host = self.hosts.get_mut(&id).unwrap();
        let skips = self.injected_bug == InjectedBug::SkipsEntry && entry.index.is_multiple_of(50);
        if entry.index != host.applied_index + 1 {
            let applied = host.applied_index;
            self.record_violation(format!("{id:?} applies {} after {applied}", entry.index));
            return;
        }
        host.applied_index = entry.index;
        if let Payload::Command(bytes) = &entry.payload
            && !skips
        {
            host.state
                .push(u64::from_le_bytes(bytes[..8].try_into().unwrap()));
        }
        match self.committed.get(&entry.index) {
            Some(known) if *known != entry => {
                let index = entry.index;
                self.record_violation(format!(
                    "State Machine Safety: {id:?} commits another entry at {index}"
                ));
            }
            Some(_) => {}
            None => {
                self.commits += 1;
                self.committed.insert(entry.index, entry);
            }
        }
    }

    pub fn record_violation(&mut self, what: String) {
        let at = self.now;
        self.violation.get_or_insert(format!("{at} ms: {what}"));
    }

    pub fn leader(&self) -> Option<NodeId> {
        let leads = |(id, host): (&NodeId, &Host)| {
            let node = host.node.as_ref()?;
            (node.is_ready_leader() && host.stopped_until <= self.now)
                .then_some((node.status().term, *id))
        };
        self.hosts.iter().filter_map(leads).max().map(|(_, id)| id)
    }

    pub fn propose(&mut self, id: NodeId) -> Result<(Term, Index), Rejection> {
        self.next_command += 1;
        let mut command = self.next_command.to_le_bytes().to_vec();
        command.resize(40, 0);
        let node = self.hosts.get_mut(&id).and_then(|host| host.node.as_mut());
        let result = node.map_or(Err(Rejection::NotLeader(None)), |node| {
            node.propose(command)
        });
        self.process_outputs(id);
        result
    }

    pub fn request_read(&mut self, id: NodeId) {
        let least = self.committed.keys().last().copied().unwrap_or(0);
        self.next_command += 1;
        let token = self.next_command;
        let node = self.hosts.get_mut(&id).and_then(|host| host.node.as_mut());
        if node.is_some_and(|node| node.request_read(token).is_ok()) {
            self.reads.insert(token, least);
        }
        self.process_outputs(id);
    }

    pub fn compact_log(&mut self, id: NodeId) {
        let host = self.hosts.get_mut(&id).unwrap();
        let (applied, state) = (host.applied_index, host.state.clone());
        if let Some(node) = host.node.as_mut() {
            let data = state.iter().flat_map(|n| n.to_le_bytes()).collect();
            node.compact(applied, data);
        }
        self.process_outputs(id);
    }

    pub fn change_membership(
        &mut self,
        id: NodeId,
        change: MembershipChange,
    ) -> Result<(Term, Index), Rejection> {
        let node = self.hosts.get_mut(&id).and_then(|host| host.node.as_mut());
        let result = node.map_or(Err(Rejection::NotLeader(None)), |node| {
            node.change_membership(change)
        });
        self.process_outputs(id);
        result
    }

    /// A day of trouble, drawn by the seed, and then quiet: all has to be in agreement again.
    pub fn run_random_faults(&mut self, millis: Millis) {
        let until = self.now + millis;
        let ids: Vec<NodeId> = self.hosts.keys().copied().collect();
        let any = |rng: &mut Pcg32| ids[rng.random_range(0..ids.len())];
        self.loss_rate = [0.0, 0.0, 0.05, 0.2][self.rng.random_range(0..4)];
        self.duplicate_rate = [0.0, 0.1][self.rng.random_range(0..2)];
        self.delay_range = [(0, 5), (0, 20), (10, 150)][self.rng.random_range(0..3)];
        self.kill_on_write_rate = [0.0, 0.003, 0.03][self.rng.random_range(0..3)];
        self.kill_on_vote_rate = [0.0, 0.2, 0.8][self.rng.random_range(0..3)];
        while self.now < until && self.violation.is_none() {
            match self.rng.random_range(0..100) {
                0..2 => {
                    let (id, away) = (any(&mut self.rng), self.rng.random_range(1..2000));
                    self.kill_process(id);
                    self.hosts.get_mut(&id).unwrap().restart_at = Some(self.now + away);
                }
                2..4 => {
                    let (id, away) = (any(&mut self.rng), self.rng.random_range(100..2500));
                    self.hosts.get_mut(&id).unwrap().stopped_until = self.now + away;
                }
                4..8 => {
                    let (a, b) = (any(&mut self.rng), any(&mut self.rng));
                    self.cut_links.insert((a, b));
                }
                8..10 => {
                    let side: BTreeSet<NodeId> = ids
                        .iter()
                        .filter(|_| self.rng.random_bool(0.5))
                        .copied()
                        .collect();
                    for a in &ids {
                        for b in &ids {
                            if side.contains(a) != side.contains(b) {
                                self.cut_links.insert((*a, *b));
                            }
                        }
                    }
                }
                10..16 => self.cut_links.clear(),
                16..18 => {
                    let (id, sync) = (any(&mut self.rng), self.rng.random_range(1..800));
                    self.hosts.get_mut(&id).unwrap().sync_latency = sync;
                }
                18..20 => {
                    let id = any(&mut self.rng);
                    self.compact_log(id);
                }
                20..21 => {
                    for id in &ids {
                        self.kill_process(*id);
                        self.hosts.get_mut(id).unwrap().restart_at = Some(self.now + 50);
                    }
                }
                21..23 => {
                    let to = any(&mut self.rng);
                    if let Some(node) = self
                        .leader()
                        .and_then(|id| self.hosts.get_mut(&id)?.node.as_mut())
                    {
                        let _ = node.transfer_leadership(to);
                    }
                }
                _ => {}
            }
            for _ in 0..self.rng.random_range(1..20) {
                let id = any(&mut self.rng);
                if self.rng.random_bool(0.3) {
                    let _ = self.propose(id);
                }
                if let Some(leader) = self.leader().filter(|_| self.rng.random_bool(0.3)) {
                    let _ = self.propose(leader);
                    self.request_read(leader);
                }
                self.step();
            }
        }
        self.heal_and_check();
    }

    pub fn heal_and_check(&mut self) {
        self.cut_links.clear();
        (self.loss_rate, self.duplicate_rate, self.delay_range) = (0.0, 0.0, (0, 10));
        (self.kill_on_write_rate, self.kill_on_vote_rate) = (0.0, 0.0);
        for host in self.hosts.values_mut() {
            (host.stopped_until, host.sync_latency) = (0, 2);
            host.restart_at = host.restart_at.map(|back| back.min(self.now + 10));
        }
        self.run_for(6000);
        if self.violation.is_some() {
            return;
        }
        let Some(leader) = self.leader() else {
            return self.record_violation("Liveness: nobody leads 6 s after the last fault".into());
        };
        if self.propose(leader).is_err() {
            return self.record_violation("Liveness: the leader takes nothing".into());
        }
        self.run_for(1000);
        let last = self.committed.keys().last().copied().unwrap_or(0);
        let behind = self
            .hosts
            .iter()
            .find(|(_, host)| !host.stale && host.applied_index != last);
        if let Some((id, host)) = behind {
            let what = format!(
                "Liveness: {id:?} has applied {} of {last}",
                host.applied_index
            );
            return self.record_violation(what);
        }
        let expected = self.expected(last);
        if let Some((id, _)) = self
            .hosts
            .iter()
            .find(|(_, host)| !host.stale && host.state != expected)
        {
            let what = format!("State Machine Safety: {id:?} holds another state");
            self.record_violation(what);
        }
    }
}

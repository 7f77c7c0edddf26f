//! Simulates the replicated log alone, and checks Election Safety, State Machine Safety, the read index, and that the
//! log recovers once the faults have ended (Liveness).

use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use violetwind_consensus::{
    DurableState, DurableWrite, Entry, Index, Input, Limits, Member, Members, MembershipChange,
    Message, MessageBody, Millis, Node, NodeId, Output, Payload, Rejection, Role, Term,
};

/// Simulated time of one step, in milliseconds.
pub const STEP_INTERVAL: Millis = 5;

/// A bug that is injected into hosts, to show that a check detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum InjectedBug {
    #[default]
    Nothing,
    /// Writes are acknowledged before they are synced.
    AckBeforeSync,
    /// The state machine skips entries.
    SkipsEntry,
    /// A killed node restarts with an emptied directory under its old id.
    EmptiedUnderItsName,
}

/// A simulated process with its disk and its state machine.
pub struct Host {
    pub node: Option<Node>,
    pub disk: DurableState,
    /// Writes that are not synced yet, each with the time of its sync.
    pub unsynced: VecDeque<(Millis, DurableWrite)>,
    pub stopped_until: Millis,
    pub restart_at: Option<Millis>,
    pub sync_latency: Millis,
    pub applied_index: Index,
    /// The commands applied so far.
    pub state: Vec<u64>,
    /// Whether the node has reported that its disk is stale.
    pub stale: bool,
}

/// A simulated group of nodes with its network and the records that invariants are checked against.
pub struct World {
    pub now: Millis,
    pub rng: Pcg32,
    pub limits: Limits,
    pub hosts: BTreeMap<NodeId, Host>,
    /// Messages in flight by due time: the message's number, the sender, the receiver.
    queue: BinaryHeap<std::cmp::Reverse<(Millis, u64, NodeId, NodeId)>>,
    in_flight: BTreeMap<u64, Message>,
    last_message_number: u64,
    /// Cut links, each as sender and receiver.
    pub cut_links: BTreeSet<(NodeId, NodeId)>,
    /// Fraction of all messages that is lost.
    pub loss_rate: f64,
    /// Fraction of all messages that is duplicated.
    pub duplicate_rate: f64,
    /// Least and greatest delay of a message.
    pub delay_range: (Millis, Millis),
    pub injected_bug: InjectedBug,
    /// Probability that a node is killed when it requests a write.
    pub kill_on_write_rate: f64,
    /// Probability that a node is killed when it grants a vote.
    pub kill_on_vote_rate: f64,
    // Records for the invariant checks.
    /// The leader of each term.
    pub leaders: BTreeMap<Term, NodeId>,
    /// The committed entries of all nodes.
    pub committed: BTreeMap<Index, Entry>,
    pub elections_won: usize,
    pub commits: u64,
    /// Pending reads by token, with the index that was committed when the read was requested.
    reads: BTreeMap<u64, Index>,
    next_command: u64,
    pub reads_completed: usize,
    /// The first violation of an invariant, with its time.
    pub violation: Option<String>,
}

/// The ids 1 to `count`.
pub fn node_ids(count: u64) -> Vec<NodeId> {
    (1..=count).map(NodeId).collect()
}

impl World {
    /// Creates a group of `voters` voters and starts them.
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
            in_flight: BTreeMap::new(),
            last_message_number: 0,
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

    /// Adds a host with the given disk and starts its process.
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

    /// Starts a process on the host's disk.
    pub fn start_process(&mut self, id: NodeId) {
        let seed = self.rng.random();
        let host = self.hosts.get_mut(&id).unwrap();
        let node = Node::new(id, host.disk.clone(), self.limits.clone(), seed, self.now);
        (host.node, host.restart_at, host.stopped_until) = (Some(node), None, 0);
        (host.applied_index, host.state) = (0, Vec::new());
        self.process_outputs(id);
    }

    /// Kills the process (SIGKILL). Of the unsynced writes at most the first two survive.
    pub fn kill_process(&mut self, id: NodeId) {
        let surviving_writes = self.rng.random_range(0..=2);
        let injected_bug = self.injected_bug;
        let host = self.hosts.get_mut(&id).unwrap();
        host.node = None;
        for (_, write) in host.unsynced.drain(..).take(surviving_writes) {
            if injected_bug != InjectedBug::AckBeforeSync {
                host.disk.apply(write).unwrap();
            }
        }
        if injected_bug == InjectedBug::EmptiedUnderItsName {
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

    /// Runs for the given time, or until an invariant is violated.
    pub fn run_for(&mut self, millis: Millis) {
        let until = self.now + millis;
        while self.now < until && self.violation.is_none() {
            self.step();
        }
    }

    /// Advances the simulation by [`STEP_INTERVAL`].
    pub fn step(&mut self) {
        self.now += STEP_INTERVAL;
        let ids: Vec<NodeId> = self.hosts.keys().copied().collect();
        for id in &ids {
            let host = self.hosts.get_mut(id).unwrap();
            if host.restart_at.is_some_and(|due| self.now >= due) {
                self.start_process(*id);
            }
        }
        // Messages due while a process is stopped are delivered after it resumes.
        while let Some(std::cmp::Reverse((due, number, from, to))) = self.queue.peek().copied() {
            if due > self.now {
                break;
            }
            self.queue.pop();
            let message = self.in_flight.remove(&number).unwrap();
            let Some(host) = self.hosts.get(&to) else {
                continue;
            };
            if host.stopped_until > self.now && host.node.is_some() {
                self.enqueue_message(host.stopped_until, from, to, message);
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

    /// Puts a message in flight, to be delivered at `due`.
    fn enqueue_message(&mut self, due: Millis, from: NodeId, to: NodeId, message: Message) {
        self.last_message_number += 1;
        self.in_flight.insert(self.last_message_number, message);
        self.queue
            .push(std::cmp::Reverse((due, self.last_message_number, from, to)));
    }

    /// Passes an input to a node and carries out the resulting outputs.
    pub fn handle_input(&mut self, id: NodeId, input: Input) {
        let now = self.now;
        if let Some(node) = self.hosts.get_mut(&id).and_then(|host| host.node.as_mut()) {
            node.handle(now, input);
            self.process_outputs(id);
        }
    }

    /// Sends a message over a link that may lose, duplicate or delay it.
    fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        if self.cut_links.contains(&(from, to)) || self.rng.random_bool(self.loss_rate) {
            return;
        }
        if self.rng.random_bool(self.duplicate_rate) {
            let due = self.now
                + self
                    .rng
                    .random_range(self.delay_range.0..=4 * self.delay_range.1);
            self.enqueue_message(due, from, to, message.clone());
        }
        let due = self.now
            + self
                .rng
                .random_range(self.delay_range.0..=self.delay_range.1);
        self.enqueue_message(due, from, to, message);
    }

    /// Carries out the pending outputs of a node and checks the invariants on them.
    pub fn process_outputs(&mut self, id: NodeId) {
        let node = self.hosts.get_mut(&id).and_then(|host| host.node.as_mut());
        let Some(node) = node else { return };
        let (term, role) = (node.status().term, node.status().role);
        let mut is_killed = false;
        for output in node.take_outputs() {
            match output {
                Output::Send(to, message) => {
                    let granted_vote = message.body == MessageBody::VoteResponse { granted: true };
                    is_killed |= granted_vote && self.rng.random_bool(self.kill_on_vote_rate);
                    self.send(id, to, message);
                }
                Output::Write(write) => {
                    is_killed |= self.rng.random_bool(self.kill_on_write_rate);
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
                    .for_each(|entry| self.apply_committed(id, entry)),
                Output::SnapshotInstalled(snapshot) => {
                    let host = self.hosts.get_mut(&id).unwrap();
                    host.state = snapshot
                        .data
                        .chunks(8)
                        .map(|bytes| u64::from_le_bytes(bytes.try_into().unwrap()))
                        .collect();
                    host.applied_index = snapshot.index;
                    let state = self.hosts[&id].state.clone();
                    if state != self.expected_state(snapshot.index) {
                        self.record_violation(format!(
                            "State Machine Safety: {id:?} is restored to a state that never existed"
                        ));
                    }
                }
                Output::LeaderReady(_) => self.elections_won += 1,
                Output::ReadReady(token, index) => {
                    self.reads_completed += 1;
                    if let Some(min_index) = self.reads.remove(&token)
                        && index < min_index
                    {
                        self.record_violation(format!(
                            "Read Index: {id:?} reads at {index}, {min_index} was committed before"
                        ));
                    }
                }
                Output::Stale { .. } => self.hosts.get_mut(&id).unwrap().stale = true,
                Output::SteppedDown(_) | Output::ReadFailed(_) => {}
            }
        }
        if is_killed {
            self.kill_process(id);
            self.hosts.get_mut(&id).unwrap().restart_at = Some(self.now + STEP_INTERVAL);
        }
        if role == Role::Leader {
            let known_leader = *self.leaders.entry(term).or_insert(id);
            if known_leader != id {
                self.record_violation(format!(
                    "Election Safety: {known_leader:?} and {id:?} lead in term {term}"
                ));
            }
        }
    }

    /// The state that results from the committed commands up to an index.
    fn expected_state(&self, index: Index) -> Vec<u64> {
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

    /// Applies a committed entry to a node's state machine and checks it against the other nodes' entries.
    fn apply_committed(&mut self, id: NodeId, entry: Entry) {
        let host = self.hosts.get_mut(&id).unwrap();
        let skips_entry =
            self.injected_bug == InjectedBug::SkipsEntry && entry.index.is_multiple_of(50);
        if entry.index != host.applied_index + 1 {
            let applied = host.applied_index;
            self.record_violation(format!("{id:?} applies {} after {applied}", entry.index));
            return;
        }
        host.applied_index = entry.index;
        if let Payload::Command(bytes) = &entry.payload
            && !skips_entry
        {
            host.state
                .push(u64::from_le_bytes(bytes[..8].try_into().unwrap()));
        }
        match self.committed.get(&entry.index) {
            Some(known) if *known != entry => {
                let index = entry.index;
                self.record_violation(format!(
                    "State Machine Safety: {id:?} commits a different entry at {index}"
                ));
            }
            Some(_) => {}
            None => {
                self.commits += 1;
                self.committed.insert(entry.index, entry);
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
    pub fn leader(&self) -> Option<NodeId> {
        let ready_leader = |(id, host): (&NodeId, &Host)| {
            let node = host.node.as_ref()?;
            (node.is_ready_leader() && host.stopped_until <= self.now)
                .then_some((node.status().term, *id))
        };
        self.hosts
            .iter()
            .filter_map(ready_leader)
            .max()
            .map(|(_, id)| id)
    }

    /// Proposes the next command at a node.
    ///
    /// # Errors
    /// The node's rejection, or `NotLeader` if it is not running.
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

    /// Requests a read at a node; the index of the read is checked when it is ready.
    pub fn request_read(&mut self, id: NodeId) {
        let min_index = self.committed.keys().last().copied().unwrap_or(0);
        self.next_command += 1;
        let token = self.next_command;
        let node = self.hosts.get_mut(&id).and_then(|host| host.node.as_mut());
        if node.is_some_and(|node| node.request_read(token).is_ok()) {
            self.reads.insert(token, min_index);
        }
        self.process_outputs(id);
    }

    /// Replaces the applied part of a node's log with a snapshot.
    pub fn compact_log(&mut self, id: NodeId) {
        let host = self.hosts.get_mut(&id).unwrap();
        let (applied, state) = (host.applied_index, host.state.clone());
        if let Some(node) = host.node.as_mut() {
            let data = state
                .iter()
                .flat_map(|command| command.to_le_bytes())
                .collect();
            node.compact(applied, data);
        }
        self.process_outputs(id);
    }

    /// Requests a membership change at a node.
    ///
    /// # Errors
    /// The node's rejection, or `NotLeader` if it is not running.
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

    /// Injects random faults for the given time, then heals all of them and checks that all nodes agree again.
    pub fn run_random_faults(&mut self, millis: Millis) {
        let until = self.now + millis;
        let ids: Vec<NodeId> = self.hosts.keys().copied().collect();
        let random_node = |rng: &mut Pcg32| ids[rng.random_range(0..ids.len())];
        self.loss_rate = [0.0, 0.0, 0.05, 0.2][self.rng.random_range(0..4)];
        self.duplicate_rate = [0.0, 0.1][self.rng.random_range(0..2)];
        self.delay_range = [(0, 5), (0, 20), (10, 150)][self.rng.random_range(0..3)];
        self.kill_on_write_rate = [0.0, 0.003, 0.03][self.rng.random_range(0..3)];
        self.kill_on_vote_rate = [0.0, 0.2, 0.8][self.rng.random_range(0..3)];
        while self.now < until && self.violation.is_none() {
            match self.rng.random_range(0..100) {
                0..2 => {
                    let (id, duration) =
                        (random_node(&mut self.rng), self.rng.random_range(1..2000));
                    self.kill_process(id);
                    self.hosts.get_mut(&id).unwrap().restart_at = Some(self.now + duration);
                }
                2..4 => {
                    let (id, duration) =
                        (random_node(&mut self.rng), self.rng.random_range(100..2500));
                    self.hosts.get_mut(&id).unwrap().stopped_until = self.now + duration;
                }
                4..8 => {
                    let (sender, receiver) =
                        (random_node(&mut self.rng), random_node(&mut self.rng));
                    self.cut_links.insert((sender, receiver));
                }
                8..10 => {
                    let side: BTreeSet<NodeId> = ids
                        .iter()
                        .filter(|_| self.rng.random_bool(0.5))
                        .copied()
                        .collect();
                    for from in &ids {
                        for to in &ids {
                            if side.contains(from) != side.contains(to) {
                                self.cut_links.insert((*from, *to));
                            }
                        }
                    }
                }
                10..16 => self.cut_links.clear(),
                16..18 => {
                    let (id, sync) = (random_node(&mut self.rng), self.rng.random_range(1..800));
                    self.hosts.get_mut(&id).unwrap().sync_latency = sync;
                }
                18..20 => {
                    let id = random_node(&mut self.rng);
                    self.compact_log(id);
                }
                20..21 => {
                    for id in &ids {
                        self.kill_process(*id);
                        self.hosts.get_mut(id).unwrap().restart_at = Some(self.now + 50);
                    }
                }
                21..23 => {
                    let to = random_node(&mut self.rng);
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
                let id = random_node(&mut self.rng);
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

    /// Ends all faults, waits for recovery, and checks that a leader accepts a command that every node applies.
    pub fn heal_and_check(&mut self) {
        self.cut_links.clear();
        (self.loss_rate, self.duplicate_rate, self.delay_range) = (0.0, 0.0, (0, 10));
        (self.kill_on_write_rate, self.kill_on_vote_rate) = (0.0, 0.0);
        for host in self.hosts.values_mut() {
            (host.stopped_until, host.sync_latency) = (0, 2);
            host.restart_at = host.restart_at.map(|due| due.min(self.now + 10));
        }
        self.run_for(6000);
        if self.violation.is_some() {
            return;
        }
        let Some(leader) = self.leader() else {
            return self.record_violation("Liveness: no leader 6 s after the last fault".into());
        };
        if self.propose(leader).is_err() {
            return self.record_violation("Liveness: the leader rejects a proposal".into());
        }
        self.run_for(1000);
        let last = self.committed.keys().last().copied().unwrap_or(0);
        let behind = self
            .hosts
            .iter()
            .find(|(_, host)| !host.stale && host.applied_index != last);
        if let Some((id, host)) = behind {
            let description = format!(
                "Liveness: {id:?} has applied {} of {last}",
                host.applied_index
            );
            return self.record_violation(description);
        }
        let expected = self.expected_state(last);
        if let Some((id, _)) = self
            .hosts
            .iter()
            .find(|(_, host)| !host.stale && host.state != expected)
        {
            let description = format!("State Machine Safety: {id:?} has a different state");
            self.record_violation(description);
        }
    }
}

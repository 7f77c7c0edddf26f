//! Exhaustive exploration of three nodes up to a depth: every order of elections, message deliveries in any order or
//! never, writes that are synced or lost, a crash and a command. States with equal digests are merged.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use violetwind_consensus::{
    DurableState, DurableWrite, Entry, Index, Input, Limits, Member, Members, Message, MessageBody,
    Node, NodeId, Output, Role, Term,
};

/// A bug that is injected into hosts, to show that a check detects it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedBug {
    Nothing,
    /// A crashed node loses its vote.
    ForgetsVote,
    /// Writes are acknowledged before they are synced.
    AckBeforeSync,
}

#[derive(Clone)]
struct Host {
    node: Node,
    disk: DurableState,
    unsynced: Vec<DurableWrite>,
}

/// A state of the three nodes and their network, with the number of events of each kind that may still happen.
#[derive(Clone)]
pub struct State {
    hosts: Vec<Host>,
    in_flight: Vec<(NodeId, NodeId, Message)>,
    now: u64,
    /// Number of elections, crashes and commands that may still happen.
    elections: u8,
    crashes: u8,
    commands: u8,
    leaders: BTreeMap<Term, NodeId>,
    committed: BTreeMap<Index, Entry>,
}

/// An event. The number is the index of a node, or for `Deliver` the index of a message in flight.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    Elect(usize),
    Deliver(usize),
    Sync(usize),
    Crash(usize),
    Command(usize),
}

/// A depth-first search through the states.
pub struct Explorer {
    injected_bug: InjectedBug,
    /// The greatest depth explored from each state, by digest.
    pub explored_depths: HashMap<u64, u8>,
    /// The violated invariant and the actions that led to it.
    pub violation: Option<String>,
    path: Vec<Action>,
}

fn limits() -> Limits {
    Limits {
        election_timeout: 1000,
        heartbeat_interval: 1_000_000,
        ..Limits::default()
    }
}

impl Default for State {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    /// Three voters that have passed the staleness check.
    pub fn new() -> Self {
        let member = |id| {
            (
                NodeId(id),
                Member {
                    name: format!("{id}"),
                    is_voter: true,
                },
            )
        };
        let members = Members((1..=3).map(member).collect());
        let host = |id| Host {
            node: Node::new(
                NodeId(id),
                DurableState::bootstrap(members.clone()),
                limits(),
                1,
                0,
            ),
            disk: DurableState::bootstrap(members.clone()),
            unsynced: Vec::new(),
        };
        let mut state = Self {
            hosts: (1..=3).map(host).collect(),
            in_flight: Vec::new(),
            now: 10,
            elections: 3,
            crashes: 1,
            commands: 1,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
        };
        // All nodes pass the staleness check at the start.
        let staleness_response = Message {
            term: 0,
            durable_seq: 0,
            body: MessageBody::StalenessResponse(0),
        };
        for at in 0..3 {
            let from = NodeId((at as u64 + 1) % 3 + 1);
            state.hosts[at]
                .node
                .handle(1, Input::Message(from, staleness_response.clone()));
        }
        state
    }

    /// The actions that are possible in this state.
    fn actions(&self) -> Vec<Action> {
        let mut actions: Vec<Action> = (0..self.in_flight.len()).map(Action::Deliver).collect();
        for (at, host) in self.hosts.iter().enumerate() {
            if !host.unsynced.is_empty() {
                actions.push(Action::Sync(at));
            }
            if self.elections > 0 && host.node.status().role != Role::Leader {
                actions.push(Action::Elect(at));
            }
            if self.crashes > 0 {
                actions.push(Action::Crash(at));
            }
            if self.commands > 0 && host.node.is_ready_leader() {
                actions.push(Action::Command(at));
            }
        }
        actions
    }

    /// Applies an action; returns the violated invariant, if there is one.
    fn apply_action(&mut self, action: Action, injected_bug: InjectedBug) -> Option<String> {
        let (at, input) = match action {
            Action::Deliver(message) => {
                let (from, to, message) = self.in_flight.remove(message);
                (to.0 as usize - 1, Input::Message(from, message))
            }
            Action::Sync(at) => {
                let write = self.hosts[at].unsynced.remove(0);
                let seq = write.seq;
                self.hosts[at].disk.apply(write).unwrap();
                (at, Input::Persisted(seq))
            }
            Action::Elect(at) => {
                // Beyond the election timeout of this node, and beyond the time for which other nodes remember a
                // leader.
                self.now += 10_000;
                self.elections -= 1;
                (at, Input::Tick)
            }
            Action::Crash(at) => {
                self.crashes -= 1;
                let host = &mut self.hosts[at];
                host.unsynced.clear();
                if injected_bug == InjectedBug::ForgetsVote {
                    host.disk.voted_for = None;
                }
                host.node = Node::new(host.node.id(), host.disk.clone(), limits(), 1, self.now);
                (at, Input::Tick)
            }
            Action::Command(at) => {
                self.commands -= 1;
                let _ = self.hosts[at].node.propose(vec![7]);
                (at, Input::Persisted(0))
            }
        };
        self.hosts[at].node.handle(self.now, input);
        self.process_outputs(at, injected_bug)
    }

    /// Carries out the outputs of a node; returns the violated invariant, if there is one.
    fn process_outputs(&mut self, at: usize, injected_bug: InjectedBug) -> Option<String> {
        let id = self.hosts[at].node.id();
        for output in self.hosts[at].node.take_outputs() {
            match output {
                Output::Send(to, message) => self.in_flight.push((id, to, message)),
                Output::Write(write) => {
                    let seq = write.seq;
                    self.hosts[at].unsynced.push(write);
                    if injected_bug == InjectedBug::AckBeforeSync {
                        self.hosts[at].node.handle(self.now, Input::Persisted(seq));
                    }
                }
                Output::Committed(entries) => {
                    for entry in entries {
                        let known = self
                            .committed
                            .entry(entry.index)
                            .or_insert_with(|| entry.clone());
                        if *known != entry {
                            return Some(format!("State Machine Safety at {}", entry.index));
                        }
                    }
                }
                _ => {}
            }
        }
        let host = &self.hosts[at];
        if injected_bug == InjectedBug::AckBeforeSync && host.node.status().awaits_staleness_check {
            // With the bug injected, the disk also misleads the nodes that answer the staleness check, so the check
            // passes.
            let staleness_response = Message {
                term: 0,
                durable_seq: 0,
                body: MessageBody::StalenessResponse(0),
            };
            let from = NodeId((at as u64 + 1) % 3 + 1);
            self.hosts[at]
                .node
                .handle(self.now, Input::Message(from, staleness_response));
        }
        let status = self.hosts[at].node.status();
        if status.role == Role::Leader && *self.leaders.entry(status.term).or_insert(id) != id {
            return Some(format!("Election Safety in term {}", status.term));
        }
        None
    }

    /// Hashes the parts of the state that determine its further behavior.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for host in &self.hosts {
            host.node.hash_state(&mut hasher);
            host.unsynced.hash(&mut hasher);
        }
        // The order of messages in flight does not matter: their hashes are summed.
        let message_hash = |message: &(NodeId, NodeId, Message)| {
            let mut hasher = DefaultHasher::new();
            message.hash(&mut hasher);
            hasher.finish()
        };
        let messages_hash = self
            .in_flight
            .iter()
            .map(message_hash)
            .fold(0u64, u64::wrapping_add);
        (
            messages_hash,
            self.elections,
            self.crashes,
            self.commands,
            &self.leaders,
            &self.committed,
        )
            .hash(&mut hasher);
        hasher.finish()
    }
}

impl Explorer {
    fn explore(&mut self, state: &State, depth: u8) {
        if depth == 0 || self.violation.is_some() {
            return;
        }
        for action in state.actions() {
            let mut next = state.clone();
            self.path.push(action);
            if let Some(violation) = next.apply_action(action, self.injected_bug) {
                self.violation = Some(format!("{violation}: {:?}", self.path));
                return;
            }
            let known = self.explored_depths.entry(next.digest()).or_default();
            if *known < depth {
                *known = depth;
                self.explore(&next, depth - 1);
            }
            self.path.pop();
            if self.violation.is_some() {
                return;
            }
        }
    }

    /// Explores all states reachable from `state` in at most `depth` actions, up to the first violation.
    pub fn run(injected_bug: InjectedBug, state: &State, depth: u8) -> Self {
        let mut explorer = Self {
            injected_bug,
            explored_depths: HashMap::new(),
            violation: None,
            path: Vec::new(),
        };
        explorer.explore(state, depth);
        explorer
    }
}

/// Applies a fixed sequence of actions, so that a search can begin at the state of interest: two candidates of the same
/// term.
pub fn state_with_two_candidates(injected_bug: InjectedBug) -> State {
    let mut state = State::new();
    for at in [0, 1] {
        state.apply_action(Action::Elect(at), injected_bug);
    }
    while let Some(at) = state.in_flight.iter().position(|(.., message)| {
        matches!(
            message.body,
            MessageBody::PreVoteRequest { .. } | MessageBody::PreVoteResponse { .. }
        )
    }) {
        state.apply_action(Action::Deliver(at), injected_bug);
    }
    for at in [0, 1] {
        state.apply_action(Action::Sync(at), injected_bug);
    }
    state
        .in_flight
        .retain(|(_, _, message)| matches!(message.body, MessageBody::VoteRequest { .. }));
    state.elections = 1;
    state
}

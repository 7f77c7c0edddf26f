//! Every order of events of three nodes up to a depth: elections, messages that come in any order or never,
//! writes that are synced or lost, a crash, a command. States that act alike are merged.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use violetwind_consensus::{
    DurableState, DurableWrite, Entry, Index, Input, Limits, Member, Members, Message, MessageBody,
    Node, NodeId, Output, Role, Term,
};

/// What is wrong with a host on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedBug {
    Nothing,
    ForgetsVote,
    AckBeforeSync,
}

#[derive(Clone)]
struct Host {
    node: Node,
    disk: DurableState,
    unsynced: Vec<DurableWrite>,
}

#[derive(Clone)]
pub struct State {
    hosts: Vec<Host>,
    flying: Vec<(NodeId, NodeId, Message)>,
    now: u64,
    elections: u8,
    crashes: u8,
    commands: u8,
    leaders: BTreeMap<Term, NodeId>,
    committed: BTreeMap<Index, Entry>,
}

#[derive(Clone, Copy, Debug)]
pub enum Action {
    Elect(usize),
    Deliver(usize),
    Sync(usize),
    Crash(usize),
    Command(usize),
}

pub struct Explorer {
    planted: InjectedBug,
    /// How deep it went from each state, by digest.
    pub explored_depths: HashMap<u64, u8>,
    /// The invariant that broke, and the way there.
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
    /// Three voters that are vouched for.
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
            flying: Vec::new(),
            now: 10,
            elections: 3,
            crashes: 1,
            commands: 1,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
        };
        // All are vouched for at the start.
        let seen = Message {
            term: 0,
            durable_seq: 0,
            body: MessageBody::StalenessResponse(0),
        };
        for at in 0..3 {
            let from = NodeId((at as u64 + 1) % 3 + 1);
            state.hosts[at]
                .node
                .handle(1, Input::Message(from, seen.clone()));
        }
        state
    }

    fn actions(&self) -> Vec<Action> {
        let mut actions: Vec<Action> = (0..self.flying.len()).map(Action::Deliver).collect();
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

    fn act(&mut self, action: Action, planted: InjectedBug) -> Option<String> {
        let (at, input) = match action {
            Action::Deliver(message) => {
                let (from, to, message) = self.flying.remove(message);
                (to.0 as usize - 1, Input::Message(from, message))
            }
            Action::Sync(at) => {
                let write = self.hosts[at].unsynced.remove(0);
                let seq = write.seq;
                self.hosts[at].disk.apply(write).unwrap();
                (at, Input::Persisted(seq))
            }
            Action::Elect(at) => {
                // Beyond every election's time, of this node and of what the others remember.
                self.now += 10_000;
                self.elections -= 1;
                (at, Input::Tick)
            }
            Action::Crash(at) => {
                self.crashes -= 1;
                let host = &mut self.hosts[at];
                host.unsynced.clear();
                if planted == InjectedBug::ForgetsVote {
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
        self.carry_out(at, planted)
    }

    fn carry_out(&mut self, at: usize, planted: InjectedBug) -> Option<String> {
        let id = self.hosts[at].node.id();
        for output in self.hosts[at].node.take_outputs() {
            match output {
                Output::Send(to, message) => self.flying.push((id, to, message)),
                Output::Write(write) => {
                    let seq = write.seq;
                    self.hosts[at].unsynced.push(write);
                    if planted == InjectedBug::AckBeforeSync {
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
        if planted == InjectedBug::AckBeforeSync && host.node.status().awaits_staleness_check {
            // The planted disk lies to the vouchers too.
            let seen = Message {
                term: 0,
                durable_seq: 0,
                body: MessageBody::StalenessResponse(0),
            };
            let from = NodeId((at as u64 + 1) % 3 + 1);
            self.hosts[at]
                .node
                .handle(self.now, Input::Message(from, seen));
        }
        let status = self.hosts[at].node.status();
        if status.role == Role::Leader && *self.leaders.entry(status.term).or_insert(id) != id {
            return Some(format!("Election Safety in term {}", status.term));
        }
        None
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for host in &self.hosts {
            host.node.hash_state(&mut hasher);
            host.unsynced.hash(&mut hasher);
        }
        // Messages on the way are a bag.
        let one = |message: &(NodeId, NodeId, Message)| {
            let mut hasher = DefaultHasher::new();
            message.hash(&mut hasher);
            hasher.finish()
        };
        let bag = self.flying.iter().map(one).fold(0u64, u64::wrapping_add);
        (
            bag,
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
            if let Some(wrong) = next.act(action, self.planted) {
                self.violation = Some(format!("{wrong}: {:?}", self.path));
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

    pub fn run(planted: InjectedBug, state: &State, depth: u8) -> Self {
        let mut explorer = Self {
            planted,
            explored_depths: HashMap::new(),
            violation: None,
            path: Vec::new(),
        };
        explorer.explore(state, depth);
        explorer
    }
}

/// Goes a known way first, so that the search begins where it matters: two candidates of one term.
pub fn state_with_two_candidates(planted: InjectedBug) -> State {
    let mut state = State::new();
    for at in [0, 1] {
        state.act(Action::Elect(at), planted);
    }
    while let Some(at) = state.flying.iter().position(|(.., message)| {
        matches!(
            message.body,
            MessageBody::PreVoteRequest { .. } | MessageBody::PreVoteResponse { .. }
        )
    }) {
        state.act(Action::Deliver(at), planted);
    }
    for at in [0, 1] {
        state.act(Action::Sync(at), planted);
    }
    state
        .flying
        .retain(|(_, _, message)| matches!(message.body, MessageBody::VoteRequest { .. }));
    state.elections = 1;
    state
}

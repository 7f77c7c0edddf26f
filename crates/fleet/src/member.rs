//! One process of the fleet: a voter's log and state, the leader's part where it leads, and the client's part
//! that all have.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use violetwind_consensus::{
    Change, Index, Input as LogInput, Millis, Node, NodeId, Output as LogOutput, Payload, Refused,
    Term, Token,
};

use crate::budget::{Def, Divider, Kind, Taken};
use crate::events::{Event, Why};
use crate::formation::{Formation, Step};
use crate::grantor::Grantor;
use crate::holder::Holder;
use crate::limits::Limits;
use crate::state::{Command, Effect, State};
use crate::words::{
    Answer, Ask, BudgetView, Call, DutyView, Form, Input, MemberView, Name, Number, Order, Output,
    Peer, Record, Saved, SessionId, Told, View,
};

/// Numbers of asks on behalf of operators have this bit, a member's own have not.
const CALLS: Number = 1 << 63;

#[derive(Clone, Debug)]
pub struct Config {
    /// This member's own name.
    pub node: Name,
    /// All members that the file names, and whether they are meant to vote.
    pub peers: BTreeMap<Name, bool>,
    /// What this member is able to hold.
    pub duties: Vec<Name>,
    pub budgets: Vec<Def>,
    /// Those of them that are counted elsewhere in this process, not by takers here.
    pub outside: BTreeSet<Name>,
    pub limits: Limits,
}

impl Config {
    fn voters(&self) -> BTreeSet<Name> {
        let voters = self.peers.iter().filter(|(_, votes)| **votes);
        voters.map(|(name, _)| name.clone()).collect()
    }
}

/// A voter, before and after there is a fleet.
#[derive(Clone, Debug)]
enum Voter {
    Forming(Formation),
    Running(Box<Running>),
}

#[derive(Clone, Debug)]
struct Running {
    node: Node,
    state: State,
    applied: Index,
    grantor: Grantor,
    /// Asks that wait for an entry of this term to be applied.
    proposals: BTreeMap<Index, (Term, Name, Number, Ask)>,
    /// Asks that wait until a majority has confirmed the leader.
    reads: BTreeMap<Token, (Name, Number, Ask)>,
    next_read: Token,
    /// Members that are being let in or put out, step by step.
    jobs: BTreeMap<Name, Job>,
    divider: Divider,
    /// Shares that are to grow stand in this entry.
    raising: Option<Index>,
    /// Since when a stranded share is known here, and whether its process was known to be gone.
    cooling: BTreeMap<(Name, Number, bool), Millis>,
    agreed: Option<violetwind_consensus::Members>,
    /// The last log or state that could not be read: this program is too old for it.
    halted: Option<String>,
}

#[derive(Clone, Debug)]
struct Job {
    /// Let in, or put out.
    into: bool,
    from: Name,
    number: Number,
}

#[derive(Clone, Debug)]
struct CallOut {
    token: Number,
    ask: Ask,
    begun: Millis,
    asked: Millis,
}

/// Who asks for a unit of a budget.
#[derive(Clone, Debug)]
struct UnitAsked {
    number: Number,
    budget: Name,
    token: Name,
    within: Millis,
    until: Millis,
}

/// Units that are out at programs of operators, until when, and who waits for one.
#[derive(Clone, Debug, Default)]
struct Units {
    out: BTreeMap<(Name, Name), Millis>,
    waiting: VecDeque<UnitAsked>,
}

/// Whom to ask.
#[derive(Clone, Debug)]
struct Compass {
    voters: Vec<Name>,
    leader: Option<Name>,
    next: usize,
}

impl Compass {
    fn target(&self) -> Option<Name> {
        let turn = || {
            self.voters
                .get(self.next % self.voters.len().max(1))
                .cloned()
        };
        self.leader.clone().or_else(turn)
    }

    fn failed(&mut self) {
        self.leader = None;
        self.next += 1;
    }
}

#[derive(Clone, Debug)]
pub struct Member {
    config: Config,
    voter: Option<Voter>,
    id: Option<NodeId>,
    holder: Holder,
    compass: Compass,
    met: BTreeMap<Name, NodeId>,
    calls: BTreeMap<Number, CallOut>,
    units: Units,
    next_call: Number,
    saves: VecDeque<(Number, Save)>,
    next_save: Number,
    now: Millis,
    seed: u64,
    form_at: Millis,
    stranger: bool,
    quits: bool,
    /// Having left its session, it hands the lead on from then on.
    leaves_at: Option<Millis>,
    ended: bool,
    out: Vec<Output>,
    events: Vec<Event>,
}

#[derive(Clone, Debug)]
enum Save {
    Agreed(violetwind_consensus::Members),
    Formed,
    Write(u64),
}

impl Member {
    /// `saved` is what the directory holds, none for a member without one, which never votes. `seed` is another
    /// one with each process.
    pub fn new(config: Config, saved: Option<Saved>, seed: u64, now: Millis) -> Self {
        let voters = config.voters();
        let id = saved.as_ref().map(|saved| saved.id);
        let voter = saved.map(|saved| match saved.formed {
            true => Voter::Running(Box::new(Running::new(saved, &config.limits, seed, now))),
            false => {
                let me = config.node.clone();
                Voter::Forming(Formation::new(me, saved.id, voters.clone(), saved.agreed))
            }
        });
        let voters: Vec<Name> = voters.into_iter().collect();
        let next = seed as usize % voters.len().max(1);
        Self {
            holder: Holder::new(
                config.duties.clone(),
                config.budgets.clone(),
                &config.outside,
                seed,
                now,
                &config.limits,
            ),
            compass: Compass {
                voters,
                leader: None,
                next,
            },
            voter,
            id,
            met: BTreeMap::new(),
            calls: BTreeMap::new(),
            units: Units::default(),
            next_call: CALLS,
            saves: VecDeque::new(),
            next_save: 0,
            now,
            seed,
            form_at: now,
            stranger: false,
            quits: false,
            leaves_at: None,
            ended: false,
            out: Vec::new(),
            events: Vec::new(),
            config,
        }
    }

    pub fn id(&self) -> Option<NodeId> {
        self.id
    }

    /// The fencing number of a duty that this process holds at `now`, by a clock that is read right before.
    pub fn holds(&self, duty: &str, now: Millis) -> Option<Number> {
        let held = self.holder.holds(duty, now, &self.config.limits);
        held.map(|(fence, _)| fence)
    }

    pub fn session(&self) -> Option<SessionId> {
        self.holder.session()
    }

    pub fn leads(&self) -> bool {
        self.running().is_some_and(|running| running.node.leads())
    }

    pub fn log(&self) -> Option<violetwind_consensus::Status> {
        self.running().map(|running| running.node.status())
    }

    pub fn state(&self) -> Option<&State> {
        self.running().map(|running| &running.state)
    }

    fn running(&self) -> Option<&Running> {
        match &self.voter {
            Some(Voter::Running(running)) => Some(running),
            _ => None,
        }
    }

    fn running_mut(&mut self) -> Option<&mut Running> {
        match &mut self.voter {
            Some(Voter::Running(running)) => Some(running),
            _ => None,
        }
    }

    pub fn handle(&mut self, now: Millis, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        if self.ended {
            return Vec::new();
        }
        match input {
            Input::Tick => self.tick(),
            Input::Met(name, Some(id)) => self.meet(name, id),
            Input::Met(name, None) => {
                self.met.remove(&name);
            }
            Input::Peer(from, peer) => self.peer(from, peer),
            Input::Saved(number) => self.saved(number),
            Input::Used {
                budget,
                part,
                busy,
                denied,
            } => {
                let limits = self.config.limits.clone();
                self.holder
                    .heard((&budget, part, busy, denied), self.now, &limits);
            }
            Input::Call(token, call) => self.call(token, call),
            Input::Quit => {
                self.quits = true;
                self.holder
                    .quit(self.now, &self.config.limits, &mut self.events);
            }
        }
        self.pump();
        self.serve_units();
        self.ask();
        self.end();
        if !self.config.outside.is_empty() {
            let parts = self.holder.parts(self.now, &self.config.limits);
            let parts = parts
                .into_iter()
                .map(|(budget, number, part)| Output::Part(budget, number, part));
            self.out.extend(parts);
        }
        // An ask of its own may have gone to itself.
        self.pump();
        let events = self.events.drain(..).map(Output::Event);
        self.out.extend(events);
        std::mem::take(&mut self.out)
    }

    /// Only those that the file lets vote have a part in the log.
    fn meet(&mut self, name: Name, id: NodeId) {
        if self.compass.voters.contains(&name) {
            self.met.insert(name, id);
        }
    }

    // Time.

    fn tick(&mut self) {
        let (now, limits) = (self.now, self.config.limits.clone());
        if let Some(running) = self.running_mut() {
            running.node.handle(now, LogInput::Tick);
        }
        if self.holder.tick(now, &limits, &mut self.events) {
            self.compass.failed();
        }
        self.form();
        self.lead();
        let patience = limits.renew / 2;
        let late: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, call)| now >= call.asked + patience)
            .collect();
        let late: Vec<Number> = late.into_iter().map(|(number, _)| *number).collect();
        for number in late {
            let call = self.calls.remove(&number).expect("just seen");
            if now >= call.begun + limits.renew + patience {
                self.give_up(call);
            } else {
                self.compass.failed();
                self.send_call(call);
            }
        }
    }

    fn form(&mut self) {
        if let Some(Voter::Forming(formation)) = &mut self.voter {
            let step = formation.step();
            if self.now >= self.form_at {
                self.form_at = self.now + self.config.limits.log.heartbeat;
                let form = formation.form();
                for name in self
                    .compass
                    .voters
                    .iter()
                    .filter(|name| **name != self.config.node)
                {
                    self.out
                        .push(Output::Send(name.clone(), Peer::Form(form.clone())));
                }
            }
            if formation.stranger() && !self.stranger {
                self.stranger = true;
                self.events.extend(self.id.map(|id| Event::Stranger { id }));
            }
            match step {
                Step::Wait => {}
                Step::Agree(members) => {
                    self.save(Record::Agreed(members.clone()), Save::Agreed(members));
                }
                Step::Form => self.save(Record::Formed, Save::Formed),
            }
        }
    }

    fn save(&mut self, record: Record, save: Save) {
        self.next_save += 1;
        self.saves.push_back((self.next_save, save));
        self.out.push(Output::Save(self.next_save, record));
    }

    fn saved(&mut self, number: Number) {
        while self.saves.front().is_some_and(|(at, _)| *at <= number) {
            let (_, save) = self.saves.pop_front().expect("just seen");
            match (save, &mut self.voter) {
                (Save::Agreed(members), Some(Voter::Forming(formation))) => {
                    formation.agreed(members)
                }
                (Save::Formed, Some(Voter::Forming(formation))) => {
                    let form = formation.form();
                    let mut saved = Saved {
                        agreed: form.agreed,
                        ..Saved::new(form.id)
                    };
                    saved
                        .apply(Record::Formed)
                        .expect("it only sets the first members");
                    let voters = self.compass.voters.clone();
                    self.events.push(Event::Formed { voters });
                    let running = Running::new(saved, &self.config.limits, self.seed, self.now);
                    self.voter = Some(Voter::Running(Box::new(running)));
                }
                (Save::Write(seq), Some(Voter::Running(running))) => {
                    running.node.handle(self.now, LogInput::Persisted(seq));
                }
                _ => {}
            }
        }
    }

    // Frames.

    fn peer(&mut self, from: Name, peer: Peer) {
        let now = self.now;
        match peer {
            Peer::Form(form) => {
                self.meet(from.clone(), form.id);
                let answer = match &mut self.voter {
                    Some(Voter::Forming(formation)) => {
                        formation.hear(from, form);
                        return self.form();
                    }
                    Some(Voter::Running(running)) if !form.formed => Form {
                        id: running.node.id(),
                        heard: BTreeMap::new(),
                        agreed: running.agreed.clone(),
                        formed: true,
                    },
                    _ => return,
                };
                self.out.push(Output::Send(from, Peer::Form(answer)));
            }
            Peer::Log {
                from: id,
                to,
                message,
            } => {
                if Some(to) != self.id {
                    return;
                }
                self.meet(from, id);
                match &mut self.voter {
                    Some(Voter::Running(running)) => {
                        running.node.handle(now, LogInput::Message(id, message));
                    }
                    Some(Voter::Forming(_)) => {
                        // Only members of a fleet that has formed speak so, and to members only.
                        let on_its_way = self
                            .saves
                            .iter()
                            .any(|(_, save)| matches!(save, Save::Formed));
                        if !on_its_way {
                            self.save(Record::Formed, Save::Formed);
                        }
                    }
                    None => {}
                }
            }
            Peer::Ask(number, ask) => self.asked(from, number, ask),
            Peer::Told(number, told) => self.told(from, number, told),
            Peer::Nudge {
                session,
                at,
                shares,
                lower,
                at_once,
            } => {
                self.holder.news(session, at, &shares, &lower);
                if at_once {
                    self.holder.nudge(now);
                }
            }
        }
    }

    fn ask(&mut self) {
        if let Some(leader) = self.leader_here() {
            if self.compass.leader.as_ref() != Some(&leader) {
                self.holder.hurry(self.now, &self.config.limits);
            }
            self.compass.leader = Some(leader);
        }
        while let Some((number, ask)) = self.holder.ask(self.now, &self.config.limits) {
            match self.compass.target() {
                Some(to) => self.send_ask(to, number, ask),
                None => return,
            }
        }
    }

    /// The leader that the log here knows.
    fn leader_here(&self) -> Option<Name> {
        let running = self.running()?;
        let leader = running.node.status().leader?;
        Some(running.node.members().0.get(&leader)?.name.clone())
    }

    fn send_ask(&mut self, to: Name, number: Number, ask: Ask) {
        if to == self.config.node {
            self.asked(to, number, ask);
        } else {
            self.out.push(Output::Send(to, Peer::Ask(number, ask)));
        }
    }

    fn reply(&mut self, to: Name, number: Number, told: Told) {
        if to == self.config.node {
            self.told(to, number, told);
        } else {
            self.out.push(Output::Send(to, Peer::Told(number, told)));
        }
    }

    fn told(&mut self, from: Name, number: Number, told: Told) {
        if let Told::NotLeader(leader) = &told {
            match leader {
                Some(leader) if *leader != from && self.compass.voters.contains(leader) => {
                    self.compass.leader = Some(leader.clone());
                }
                _ if self
                    .compass
                    .leader
                    .as_ref()
                    .is_none_or(|known| *known == from) =>
                {
                    self.compass.failed();
                }
                _ => {}
            }
        }
        if number & CALLS == 0 {
            let limits = self.config.limits.clone();
            let taken = self
                .holder
                .told(number, &told, self.now, &limits, &mut self.events);
            if taken {
                self.compass.leader = Some(from);
            } else if matches!(&told, Told::NotLeader(leader) if leader.is_some() && *leader == self.compass.leader)
            {
                // The way is known: no need to wait.
                self.holder.hurry(self.now, &limits);
            }
            return;
        }
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        let answer = match told {
            Told::NotLeader(_) | Told::Later(_) => {
                self.calls.insert(number, call);
                return;
            }
            Told::View(mut view) => {
                self.own(&mut view);
                Answer::View(view)
            }
            Told::Done => Answer::Done,
            Told::Refused(why) => Answer::Refused(why),
            Told::Joined { .. }
            | Told::Renewed { .. }
            | Told::Unseen(_)
            | Told::Lowered(_)
            | Told::Gone => Answer::Refused("no answer that fits".into()),
        };
        self.out.push(Output::Answer(call.token, answer));
    }

    // Operators.

    fn call(&mut self, token: Number, call: Call) {
        let (now, limits) = (self.now, &self.config.limits);
        let answer = match call {
            Call::Hold { duty, token } => match self.holder.hold(&duty, &token, now, limits) {
                Ok((fence, left)) => Answer::Held { fence, left },
                Err(why) => Answer::NotHeld(why),
            },
            Call::Done { duty, token } => {
                self.holder.done(&duty, &token);
                Answer::Done
            }
            Call::Take {
                budget,
                token: unit,
                within,
                wait,
            } => {
                let ask = UnitAsked {
                    number: token,
                    budget,
                    token: unit,
                    within,
                    until: now + wait,
                };
                return self.take(ask);
            }
            Call::Give {
                budget,
                token: unit,
            } => {
                if self.units.out.remove(&(budget.clone(), unit)).is_some() {
                    self.holder.give(&budget);
                }
                Answer::Done
            }
            Call::View | Call::Order(_) => {
                let ask = match call {
                    Call::Order(order) => Ask::Order(order),
                    _ => Ask::View,
                };
                return self.send_call(CallOut {
                    token,
                    ask,
                    begun: now,
                    asked: now,
                });
            }
        };
        self.out.push(Output::Answer(token, answer));
    }

    fn take(&mut self, ask: UnitAsked) {
        let (now, limits) = (self.now, &self.config.limits);
        let key = (ask.budget.clone(), ask.token.clone());
        let def = self
            .holder
            .budgets()
            .iter()
            .find(|def| def.name == ask.budget);
        let held = def.is_some_and(|def| def.kind == Kind::Held);
        if held && let Some(until) = self.units.out.get_mut(&key) {
            *until = (*until).max(now + ask.within);
            return self.out.push(Output::Answer(ask.number, Answer::Taken));
        }
        let answer = match self.holder.take(&ask.budget, now, limits) {
            Taken::Yes => {
                if held {
                    self.units.out.insert(key, now + ask.within);
                }
                Answer::Taken
            }
            Taken::No { .. } if now < ask.until && self.units.waiting.len() < limits.waits => {
                return self.units.waiting.push_back(ask);
            }
            Taken::No { again } => Answer::NoUnit { again },
            Taken::Unknown => Answer::Refused("this member has no such budget".into()),
        };
        self.out.push(Output::Answer(ask.number, answer));
    }

    /// Units that have come back, and those who wait for one: in their order.
    fn serve_units(&mut self) {
        let now = self.now;
        let over: Vec<_> = self
            .units
            .out
            .extract_if(.., |_, until| now >= *until)
            .collect();
        for ((budget, _), _) in over {
            self.holder.give(&budget);
        }
        if self.units.waiting.is_empty() {
            return;
        }
        for ask in std::mem::take(&mut self.units.waiting) {
            let used = self.holder.used(&ask.budget, now, &self.config.limits);
            if now < ask.until && used.is_some_and(|(busy, allowed)| busy >= allowed) {
                self.units.waiting.push_back(ask);
            } else {
                self.take(ask);
            }
        }
    }

    fn send_call(&mut self, mut call: CallOut) {
        self.next_call += 1;
        call.asked = self.now;
        let (number, ask) = (self.next_call, call.ask.clone());
        self.calls.insert(number, call);
        if let Some(to) = self.compass.target() {
            self.send_ask(to, number, ask);
        }
    }

    /// Nobody that leads has answered in time.
    fn give_up(&mut self, call: CallOut) {
        let why = self.without_majority();
        let answer = match call.ask {
            Ask::View => Answer::View(self.view_alone(why)),
            // A member is let in or put out in steps, each of which is committed.
            Ask::Order(Order::LetIn { .. } | Order::PutOut { .. }) => {
                Answer::Refused(format!("not done yet, call again: {why}"))
            }
            _ => Answer::Refused(why),
        };
        self.out.push(Output::Answer(call.token, answer));
    }

    fn without_majority(&self) -> String {
        match &self.voter {
            Some(Voter::Forming(formation)) => formation.waits_for(),
            Some(Voter::Running(running)) if running.halted.is_some() => {
                running.halted.clone().unwrap_or_default()
            }
            _ => {
                let since = self.now.saturating_sub(self.holder.answered());
                format!("nobody that leads has answered for {since} ms")
            }
        }
    }

    fn own(&mut self, view: &mut View) {
        for budget in &mut view.budgets {
            let used = self
                .holder
                .used(&budget.name, self.now, &self.config.limits);
            (budget.used_here, budget.allowed_here) = used.unwrap_or_default();
        }
        view.node = self.config.node.clone();
        for duty in &mut view.duties {
            let held = self.holder.holds(&duty.name, self.now, &self.config.limits);
            duty.mine = held.is_some_and(|(fence, _)| Some(fence) == duty.fence);
        }
    }

    /// What is known here without a leader: nothing of the others' duties.
    fn view_alone(&mut self, why: String) -> View {
        let defs = self.config.budgets.clone();
        let budgets = defs.into_iter().map(|def| {
            let used = self.holder.used(&def.name, self.now, &self.config.limits);
            let (used_here, allowed_here) = used.unwrap_or_default();
            BudgetView {
                name: def.name,
                whole: None,
                version: def.version,
                floors: def.floor * def.members,
                shared: 0,
                stranded: 0,
                free: 0,
                used_here,
                allowed_here,
            }
        });
        let budgets = budgets.collect();
        let log = self.log();
        let members = self.config.peers.iter().map(|(node, votes)| MemberView {
            node: node.clone(),
            votes: *votes,
            state: if *node == self.config.node {
                "live"
            } else {
                "unknown"
            }
            .into(),
            since_ms: None,
        });
        let duties = self.config.duties.iter().map(|name| {
            let held = self.holder.holds(name, self.now, &self.config.limits);
            DutyView {
                name: name.clone(),
                holder: held.map(|_| self.config.node.clone()),
                fence: held.map(|(fence, _)| fence),
                mine: held.is_some(),
            }
        });
        View {
            node: self.config.node.clone(),
            leader: None,
            term: log.as_ref().map_or(0, |log| log.term),
            commit: log.as_ref().map_or(0, |log| log.commit),
            majority: false,
            members: members.collect(),
            duties: duties.collect(),
            budgets,
            why: Some(why),
        }
    }

    // The end.

    fn end(&mut self) {
        if !self.quits || !self.holder.left() || self.ended {
            return;
        }
        // Who got something by it asks this leader once more; then the lead goes to somebody else, so that
        // nobody has to miss it first.
        let until = *self
            .leaves_at
            .get_or_insert(self.now + self.config.limits.renew / 4);
        let given_up = self.now >= until + self.config.limits.log.election;
        if let Some(running) = self.running_mut().filter(|running| running.node.leads()) {
            let to = running.node.closest().filter(|_| !given_up);
            if let Some(to) = to {
                if self.now >= until {
                    let _ = self.running_mut().map(|running| running.node.transfer(to));
                    self.pump();
                }
                return;
            }
        }
        self.ended = true;
        self.out.push(Output::Ended);
    }

    // The log.

    fn pump(&mut self) {
        loop {
            let Some(running) = self.running_mut() else {
                return;
            };
            let outputs = running.node.outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.log_output(output);
            }
        }
    }

    fn name_of(&self, id: NodeId) -> Option<Name> {
        let known = self
            .running()
            .and_then(|running| running.node.members().0.get(&id));
        let met = || {
            self.met
                .iter()
                .find(|(_, met)| **met == id)
                .map(|(name, _)| name.clone())
        };
        known.map(|member| member.name.clone()).or_else(met)
    }

    fn log_output(&mut self, output: LogOutput) {
        let (now, limits) = (self.now, self.config.limits.clone());
        match output {
            LogOutput::Send(id, message) => {
                if let Some(to) = self.name_of(id) {
                    let from = self.id.unwrap_or_default();
                    self.out.push(Output::Send(
                        to,
                        Peer::Log {
                            from,
                            to: id,
                            message,
                        },
                    ));
                }
            }
            LogOutput::Write(write) => {
                let seq = write.seq;
                self.save(Record::Write(write), Save::Write(seq));
            }
            LogOutput::Committed(entries) => {
                for entry in entries {
                    self.apply(entry);
                }
                self.snapshot(&limits);
            }
            LogOutput::Restored(snapshot) => {
                let Some(running) = self.running_mut() else {
                    return;
                };
                running.applied = snapshot.index;
                match State::decode(&snapshot.data) {
                    Ok(state) => running.state = state,
                    Err(error) => {
                        running.halted = Some(format!("a snapshot can't be read: {error}"))
                    }
                }
            }
            LogOutput::Leads(term) => {
                self.events.push(Event::Leads { term });
                if let Some(running) = self.running_mut() {
                    let sessions = running.state.sessions().keys().copied();
                    running.grantor.begin(sessions, now, &limits);
                    running.divider.clear();
                    running.raising = None;
                    running.cooling.clear();
                }
            }
            LogOutput::Follows(term) => {
                self.events.push(Event::Follows { term });
                let Some(running) = self.running_mut() else {
                    return;
                };
                running.grantor.end();
                running.jobs.clear();
                let proposals = std::mem::take(&mut running.proposals).into_values();
                let reads = std::mem::take(&mut running.reads).into_values();
                let proposals = proposals.map(|(_, from, number, _)| (from, number));
                let waiting: Vec<_> = proposals
                    .chain(reads.map(|(from, number, _)| (from, number)))
                    .collect();
                for (from, number) in waiting {
                    self.reply(from, number, Told::NotLeader(None));
                }
            }
            LogOutput::Read(token, _) => {
                let read = self
                    .running_mut()
                    .and_then(|running| running.reads.remove(&token));
                if let Some((from, number, ask)) = read {
                    self.confirmed(from, number, ask);
                }
            }
            LogOutput::ReadFailed(token) => {
                let read = self
                    .running_mut()
                    .and_then(|running| running.reads.remove(&token));
                if let Some((from, number, _)) = read {
                    self.reply(from, number, Told::NotLeader(None));
                }
            }
            LogOutput::Stale { own, seen } => self.events.push(Event::Stale { own, seen }),
        }
    }

    fn apply(&mut self, entry: violetwind_consensus::Entry) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self.running_mut() else {
            return;
        };
        running.applied = entry.index;
        let leads = running.node.leads();
        if running.raising == Some(entry.index) {
            running.raising = None;
        }
        let waiting = running.proposals.remove(&entry.index);
        let effect = match entry.payload {
            Payload::Command(bytes) => match Command::decode(&bytes) {
                Ok(command) => {
                    let before = leads.then(|| running.holders());
                    let touched = touched(&command);
                    let raised: BTreeSet<SessionId> = match &command {
                        Command::Raise { changes } => {
                            changes.iter().map(|(_, id, ..)| *id).collect()
                        }
                        _ => BTreeSet::new(),
                    };
                    if matches!(command, Command::Leave { .. } | Command::Close { .. }) {
                        running.divider.touch_all();
                    }
                    let effect = running.state.apply(command);
                    touched
                        .iter()
                        .for_each(|budget| running.divider.touch(budget));
                    if let Some(before) = before {
                        let after = running.holders();
                        let moved = after
                            .into_iter()
                            .filter(|(duty, at)| before.get(duty) != Some(at));
                        let moved: BTreeSet<_> =
                            moved.filter_map(|(_, (holder, _))| holder).collect();
                        running
                            .grantor
                            .keep(|id| running.state.sessions().contains_key(&id));
                        running
                            .divider
                            .keep(|id| running.state.sessions().contains_key(&id));
                        let moved = moved.into_iter().map(|(id, _)| id);
                        let urgent: BTreeSet<SessionId> = moved.collect();
                        let grown: Vec<_> = raised.difference(&urgent).copied().collect();
                        urgent.into_iter().for_each(|id| self.nudge(id, true));
                        grown.into_iter().for_each(|id| self.nudge(id, false));
                    }
                    effect
                }
                Err(error) => {
                    running.halted = Some(format!("entry {} can't be read: {error}", entry.index));
                    Effect::Refused("it can't be read")
                }
            },
            Payload::Nothing | Payload::Members(_) => Effect::Done,
        };
        let Some((term, from, number, ask)) = waiting else {
            return;
        };
        let Some(running) = self.running_mut() else {
            return;
        };
        let told = match effect {
            _ if term != entry.term => Told::NotLeader(None),
            Effect::Joined(session) => {
                running.grantor.grant(session, now, &limits);
                let held = running.state.held(session);
                Told::Joined {
                    session,
                    at: running.applied,
                    held,
                    shares: running.state.shares(session),
                }
            }
            Effect::Unseen(seen) => Told::Unseen(seen),
            Effect::NameInUse => Told::Later("another session has this name".into()),
            Effect::Refused(why) => Told::Refused(why.into()),
            Effect::Done => match ask {
                Ask::Lower {
                    session, budget, ..
                } => {
                    let known = running.state.budgets().get(&budget);
                    Told::Lowered(known.map(|known| known.share(session)).unwrap_or_default())
                }
                // Members of the log follow.
                Ask::Order(Order::LetIn { .. } | Order::PutOut { .. }) => return,
                _ => Told::Done,
            },
        };
        self.reply(from, number, told);
    }

    fn nudge(&mut self, session: SessionId, at_once: bool) {
        let Some(running) = self.running() else {
            return;
        };
        let Some(known) = running.state.sessions().get(&session) else {
            return;
        };
        let (name, at) = (known.name.clone(), running.applied);
        let (shares, lower) = (
            running.state.shares(session),
            running.divider.lower(session),
        );
        if name == self.config.node {
            self.holder.news(session, at, &shares, &lower);
            if at_once {
                self.holder.nudge(self.now);
            }
        } else {
            let nudge = Peer::Nudge {
                session,
                at,
                shares,
                lower,
                at_once,
            };
            self.out.push(Output::Send(name, nudge));
        }
    }

    fn snapshot(&mut self, limits: &Limits) {
        if let Some(running) = self.running_mut()
            && running.halted.is_none()
            && running.applied >= running.node.status().snapshot + limits.snapshot_every
        {
            let data = running.state.encode();
            running.node.compact(running.applied, data);
        }
    }

    // The leader's part.

    fn asked(&mut self, from: Name, number: Number, ask: Ask) {
        let leader = self.leader_here();
        let limits = self.config.limits.clone();
        let Some(running) = self.running_mut().filter(|running| running.node.leads()) else {
            return self.reply(from, number, Told::NotLeader(leader));
        };
        if running.halted.is_some() {
            return self.reply(
                from,
                number,
                Told::Later("this leader can't read its log".into()),
            );
        }
        if running.reads.len() + running.proposals.len() >= limits.asks {
            self.events.push(Event::Full {
                what: "asks at a leader",
            });
            return self.reply(from, number, Told::Later("too many ask".into()));
        }
        let command = match &ask {
            Ask::Renew { session, .. } => {
                let known = running.state.sessions().get(session);
                let own = known.is_some_and(|known| known.name == from);
                let barred = running.state.barred().contains(&from);
                if !own || !running.grantor.renewable(*session) {
                    return self.reply(from, number, Told::Gone);
                }
                if barred {
                    // The lease runs out.
                    return self.reply(from, number, Told::Later("put out".into()));
                }
                None
            }
            Ask::View => None,
            Ask::Join {
                nonce,
                wants,
                replaces,
                process,
                seen,
                weight,
                budgets,
                uses,
            } => {
                // A session that there is already is confirmed like a renewal.
                let known = running.state.session_of(&from);
                match known {
                    Some((id, known)) if known.nonce == *nonce => {
                        if !running.grantor.renewable(id) {
                            return self.reply(from, number, Told::Later("it is ending".into()));
                        }
                        None
                    }
                    Some((id, _)) if *replaces != Some(id) => {
                        let told = Told::Later("another session has this name".into());
                        return self.reply(from, number, told);
                    }
                    _ if *seen < running.state.unseen(&from) => {
                        let unseen = running.state.unseen(&from);
                        return self.reply(from, number, Told::Unseen(unseen));
                    }
                    _ => {
                        let (name, nonce, wants) = (from.clone(), *nonce, wants.clone());
                        Some(Command::Join {
                            name,
                            nonce,
                            wants,
                            replaces: *replaces,
                            process: *process,
                            seen: *seen,
                            weight: *weight,
                            budgets: budgets.clone(),
                            uses: uses.clone(),
                        })
                    }
                }
            }
            Ask::Release {
                session,
                duty,
                fence,
                to,
            } => {
                let (session, fence) = (*session, *fence);
                Some(Command::Release {
                    session,
                    duty: duty.clone(),
                    fence,
                    to: to.clone(),
                })
            }
            Ask::Lower {
                session,
                budget,
                to,
                version,
            } => {
                let known = running.state.sessions().get(session);
                if known.is_none_or(|known| known.name != from) {
                    return self.reply(from, number, Told::Gone);
                }
                let (session, to, version) = (*session, *to, *version);
                Some(Command::Lower {
                    session,
                    budget: budget.clone(),
                    to,
                    version,
                })
            }
            Ask::Retire { session } | Ask::Leave { session, .. } => {
                let known = running.state.sessions().get(session);
                if known.is_none_or(|known| known.name != from) {
                    return self.reply(from, number, Told::Gone);
                }
                let session = *session;
                Some(match &ask {
                    Ask::Leave { uses, .. } => {
                        running.grantor.close(session);
                        Command::Leave {
                            session,
                            uses: uses.clone(),
                        }
                    }
                    _ => Command::Retire { session },
                })
            }
            Ask::Order(Order::Gone { node }) => Some(Command::Gone { name: node.clone() }),
            Ask::Order(Order::HandOn { duty, to }) => Some(Command::HandOn {
                duty: duty.clone(),
                to: to.clone(),
            }),
            Ask::Order(Order::LetIn { node } | Order::PutOut { node }) => {
                let into = matches!(ask, Ask::Order(Order::LetIn { .. }));
                let job = Job {
                    into,
                    from: from.clone(),
                    number,
                };
                if let Some(job) = running.jobs.insert(node.clone(), job) {
                    self.reply(
                        job.from,
                        job.number,
                        Told::Refused("another order came".into()),
                    );
                }
                return self.lead();
            }
        };
        let Some(running) = self.running_mut() else {
            return;
        };
        let refused = match command {
            None => {
                running.next_read += 1;
                let token = running.next_read;
                running.reads.insert(token, (from.clone(), number, ask));
                let refused = running.node.read(token).err();
                if refused.is_some() {
                    running.reads.remove(&token);
                }
                refused
            }
            Some(command) => match running.node.propose(command.encode()) {
                Ok((term, index)) => {
                    running
                        .proposals
                        .insert(index, (term, from.clone(), number, ask));
                    None
                }
                Err(refused) => Some(refused),
            },
        };
        if let Some(refused) = refused {
            let told = match refused {
                Refused::NotLeader(_) => Told::NotLeader(None),
                _ => Told::Later(format!("{refused:?}")),
            };
            self.reply(from, number, told);
        }
    }

    /// A majority has confirmed, after the ask came, that this member still leads.
    fn confirmed(&mut self, from: Name, number: Number, ask: Ask) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self.running_mut() else {
            return;
        };
        let told = match ask {
            Ask::Renew {
                session,
                needs,
                have,
            } => {
                let there = running.state.sessions().contains_key(&session);
                if there && running.grantor.renewable(session) {
                    running.grantor.grant(session, now, &limits);
                    let held = running.state.held(session);
                    {
                        running.divider.need(session, &needs);
                        let shares = running.state.shares(session);
                        Told::Renewed {
                            at: running.applied,
                            held,
                            give_up: running.state.give_up(session),
                            shares: (shares.0 != have).then_some(shares),
                            lower: running.divider.lower(session),
                            term: running.node.status().term,
                        }
                    }
                } else {
                    Told::Gone
                }
            }
            Ask::Join { nonce, .. } => match running.state.session_of(&from) {
                Some((session, known))
                    if known.nonce == nonce && running.grantor.renewable(session) =>
                {
                    running.grantor.grant(session, now, &limits);
                    Told::Joined {
                        session,
                        at: running.applied,
                        held: running.state.held(session),
                        shares: running.state.shares(session),
                    }
                }
                _ => Told::Later("it has ended meanwhile".into()),
            },
            Ask::View => Told::View(self.view()),
            _ => Told::Later("no read".into()),
        };
        self.reply(from, number, told);
    }

    fn view(&mut self) -> View {
        if self.running().is_none() {
            return self.view_alone("no log here".into());
        }
        let running = self.running().expect("just seen");
        let (log, status, limits) = (
            running.node.members(),
            running.node.status(),
            &self.config.limits,
        );
        let sessions = running.state.sessions();
        let mut names: BTreeSet<&Name> = self.config.peers.keys().collect();
        names.extend(sessions.values().map(|session| &session.name));
        names.extend(log.0.values().map(|member| &member.name));
        let members = names.into_iter().map(|name| {
            let session = running.state.session_of(name);
            let renewed = session.and_then(|(id, _)| running.grantor.renewed(id));
            let since = renewed.map(|renewed| self.now.saturating_sub(renewed));
            let in_log = log.named(name);
            let wants_to_vote = self.config.peers.get(name).copied().unwrap_or(false);
            let state = if running.state.barred().contains(name) {
                "out"
            } else if wants_to_vote
                && in_log.is_none_or(|id| self.met.get(name).is_some_and(|met| *met != id))
            {
                "stranger"
            } else {
                match since {
                    None => "none",
                    Some(since) if since > 2 * limits.renew => "silent",
                    Some(_) => "live",
                }
            };
            MemberView {
                node: name.clone(),
                votes: in_log.is_some_and(|id| log.votes(id)),
                state: state.into(),
                since_ms: since,
            }
        });
        let duties = running.state.duties().iter().map(|(name, duty)| {
            let holder = duty.holder.and_then(|(id, _)| sessions.get(&id));
            DutyView {
                name: name.clone(),
                holder: holder.map(|session| session.name.clone()),
                fence: duty.holder.map(|(_, fence)| fence),
                mine: false,
            }
        });
        let budgets = running.state.budgets().iter().map(|(name, budget)| {
            let shared = budget.shares().values().map(|share| share.units).sum();
            let stranded = budget
                .stranded()
                .values()
                .map(|stranded| stranded.units)
                .sum();
            BudgetView {
                name: name.clone(),
                whole: Some(budget.def().whole),
                version: budget.def().version,
                floors: budget.def().whole.saturating_sub(budget.pool()),
                shared,
                stranded,
                free: budget.free(),
                used_here: 0,
                allowed_here: 0,
            }
        });
        View {
            node: self.config.node.clone(),
            leader: self.leader_here(),
            term: status.term,
            commit: status.commit,
            majority: running.node.heard_within(limits.log.election) >= log.majority(),
            members: members.collect(),
            duties: duties.collect(),
            budgets: budgets.collect(),
            why: None,
        }
    }

    /// What a leader does by itself: ends leases, and goes on with who is let in or put out.
    fn lead(&mut self) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self.running_mut().filter(|running| running.node.leads()) else {
            return;
        };
        let over = running.grantor.over(now);
        if !over.is_empty() {
            let avoid = running.grantor.silent(now, 2 * limits.renew);
            let command = Command::Close {
                sessions: over.clone(),
                avoid,
            };
            if running.node.propose(command.encode()).is_ok() {
                let mut ended = Vec::new();
                for id in over {
                    running.grantor.close(id);
                    if let Some(session) = running.state.sessions().get(&id) {
                        let since = now.saturating_sub(running.grantor.renewed(id).unwrap_or(now));
                        let (name, why) = (session.name.clone(), Why::NotRenewed { since });
                        ended.push(Event::Ended { name, why });
                    }
                }
                self.events.extend(ended);
            }
        }
        self.divide();
        let jobs: Vec<(Name, Job)> = match self.running() {
            Some(running) => running
                .jobs
                .iter()
                .map(|(name, job)| (name.clone(), job.clone()))
                .collect(),
            None => return,
        };
        for (name, job) in jobs {
            let id = self.met.get(&name).copied();
            let own = (name == self.config.node).then_some(self.id).flatten();
            let votes = self.config.peers.get(&name).copied().unwrap_or(false);
            let Some(running) = self.running_mut() else {
                return;
            };
            let told = match job.into {
                true => running.let_in(&name, id.or(own).filter(|_| votes)),
                false => running.put_out(&name),
            };
            if let Some(told) = told {
                running.jobs.remove(&name);
                self.reply(job.from, job.number, told);
            }
        }
    }
}

/// Budgets that a command may have changed.
fn touched(command: &Command) -> BTreeSet<Name> {
    match command {
        Command::Raise { changes } => changes.iter().map(|(budget, ..)| budget.clone()).collect(),
        Command::Lower { budget, .. } => [budget.clone()].into(),
        Command::Free { stranded } => stranded.iter().map(|(budget, _)| budget.clone()).collect(),
        Command::Join { budgets, .. } => budgets.iter().map(|def| def.name.clone()).collect(),
        _ => BTreeSet::new(),
    }
}

impl Member {
    /// Divides budgets whose needs have changed, and frees what is not in use any more.
    fn divide(&mut self) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self.running_mut().filter(|running| running.node.leads()) else {
            return;
        };
        let mut due = Vec::new();
        let mut there = BTreeSet::new();
        for (name, budget) in running.state.budgets() {
            let def = budget.def();
            for (number, stranded) in budget.stranded() {
                let span = match def.kind {
                    // Whatever clocks say, the window has passed for everybody.
                    Kind::Rate => {
                        def.window + 2 * (def.window * limits.drift_permille).div_ceil(1000) + 1
                    }
                    Kind::Held if stranded.gone => limits.linger,
                    Kind::Held => continue,
                };
                let key = (name.clone(), *number, stranded.gone);
                let since = *running.cooling.entry(key.clone()).or_insert(now);
                if now >= since + span {
                    due.push((name.clone(), *number));
                }
                there.insert(key);
            }
        }
        running.cooling.retain(|key, _| there.contains(key));
        if !due.is_empty() {
            let command = Command::Free { stranded: due };
            let _ = running.node.propose(command.encode());
        }
        if running.raising.is_some() {
            return;
        }
        let state = &running.state;
        let (mut raises, lowers) = running.divider.divide(state.budgets(), |id| {
            state.sessions().get(&id).map_or(1, |known| known.weight)
        });
        // Who counts another way than is in force gets nothing.
        raises.retain(|(budget, session, ..)| state.fits(*session, budget));
        if !raises.is_empty() {
            let command = Command::Raise {
                changes: raises.clone(),
            };
            match running.node.propose(command.encode()) {
                Ok((_, index)) => running.raising = Some(index),
                Err(_) => raises
                    .iter()
                    .for_each(|(budget, ..)| running.divider.touch(budget)),
            }
        }
        let asked: BTreeSet<SessionId> = lowers.into_iter().collect();
        asked.into_iter().for_each(|id| self.nudge(id, true));
    }
}

impl Running {
    fn new(saved: Saved, limits: &Limits, seed: u64, now: Millis) -> Self {
        Self {
            agreed: saved.agreed,
            node: Node::new(saved.id, saved.disk, limits.log.clone(), seed, now),
            state: State::default(),
            applied: 0,
            grantor: Grantor::default(),
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read: 0,
            jobs: BTreeMap::new(),
            divider: Divider::default(),
            raising: None,
            cooling: BTreeMap::new(),
            halted: None,
        }
    }

    /// Who holds what, and whether it is asked back.
    fn holders(&self) -> BTreeMap<Name, (Option<(SessionId, Number)>, bool)> {
        let duties = self.state.duties().iter();
        duties
            .map(|(name, duty)| (name.clone(), (duty.holder, duty.asked.is_some())))
            .collect()
    }

    /// The next step of letting a member in; what to answer when it is done or can't be.
    fn let_in(&mut self, name: &Name, id: Option<NodeId>) -> Option<Told> {
        if self.state.barred().contains(name) {
            let command = Command::Unbar { name: name.clone() };
            let _ = self.node.propose(command.encode());
            return None;
        }
        // One that does not vote has no part in the log.
        let Some(id) = id else {
            return Some(Told::Done);
        };
        let members = self.node.members();
        let change = match members.named(name) {
            Some(known) if known != id => Change::Remove(known),
            Some(_) if members.votes(id) => return Some(Told::Done),
            Some(_) => Change::Promote(id),
            None => Change::Add(id, name.clone()),
        };
        match self.node.change(change) {
            Err(Refused::Full) => Some(Told::Refused("too many members of the log".into())),
            // The change before it is on its way, or the member has not got the log yet.
            _ => None,
        }
    }

    fn put_out(&mut self, name: &Name) -> Option<Told> {
        if !self.state.barred().contains(name) {
            let command = Command::Bar { name: name.clone() };
            let _ = self.node.propose(command.encode());
            return None;
        }
        let Some(id) = self.node.members().named(name) else {
            return Some(Told::Done);
        };
        match self.node.change(Change::Remove(id)) {
            Err(Refused::Senseless) => Some(Told::Refused("it is the last that votes".into())),
            _ => None,
        }
    }
}

//! One process of the fleet: a voter's log and state, the leader's part where it leads, and the client's part
//! that all have.

mod leader;
mod log;
mod operators;
mod work;

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
    /// Whether it takes part in work on machines.
    pub work: bool,
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
    board: work::Board,
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
    /// Its part in work on machines, if it has one.
    hand: Option<work::Hand>,
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
            hand: config.work.then(work::Hand::default),
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
            Input::Work(local) => self.local(local),
            Input::Quit | Input::End => {
                if matches!(input, Input::End) && self.hand.is_some() {
                    self.holder.set_waits(true);
                }
                self.quits = true;
                self.holder
                    .quit(self.now, &self.config.limits, &mut self.events);
            }
        }
        self.pump();
        self.serve_units();
        self.ask();
        self.ask_work();
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
        if number & work::WORK != 0 {
            return self.told_work(told);
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
            Told::WorkView(view) => Answer::WorkView(view),
            Told::Refused(why) => Answer::Refused(why),
            Told::Joined { .. }
            | Told::Renewed { .. }
            | Told::Unseen(_)
            | Told::Lowered(_)
            | Told::Work { .. }
            | Told::Conduct(_)
            | Told::NobodyServed
            | Told::Gone => Answer::Refused("no answer that fits".into()),
        };
        self.out.push(Output::Answer(call.token, answer));
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
}

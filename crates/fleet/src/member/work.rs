//! Work on machines: what a member reports and goes by, what the leader answers, and the part of whoever holds the
//! duty of conducting.

use violetwind_workorders::{
    Belief, Change as WorkChange, Facts, Machine, Member as WorkMember, Next, Orders, Phase,
    Report, Step, Why, plan,
};

use super::{
    Ask, BTreeMap, BTreeSet, Command, Member, Millis, Name, Number, Order, Output, SessionId,
    State, Told,
};
use crate::limits::Limits;
use crate::work::{DUTY, Known, List, Local, Serving, WorkView};

/// Numbers of asks about work have this bit, those of calls and the holder's have not.
pub(super) const WORK: Number = 1 << 62;

/// The part of a member that takes part in work on machines.
#[derive(Clone, Debug, Default)]
pub(super) struct Hand {
    local: Option<Local>,
    /// The list as it was last heard, for the proxy that has not taken it yet.
    list: (Number, List),
    next: Number,
    ask_at: Millis,
    conduct: Conductor,
    off: bool,
}

/// What whoever conducts knows, and has in hand.
#[derive(Clone, Debug, Default)]
struct Conductor {
    fence: Number,
    ask_at: Millis,
    version: Number,
    orders: Orders,
    /// When each version of a place was first seen here.
    since: BTreeMap<Number, Millis>,
    /// Machines that the sources have not told for so long.
    missing: BTreeMap<Name, Millis>,
    told_machines_at: Millis,
    /// When it asked for the duty to be handed on, as its own machine's turn has come: asked twice, whoever has it then
    /// would hand it back.
    handed_on: Option<Millis>,
    why: Vec<(Name, String)>,
}

/// What one member said last, by the number of its ask.
#[derive(Clone, Debug, Default)]
struct Said {
    number: Number,
    reports: BTreeMap<Name, Report>,
    shut: BTreeSet<Name>,
}

/// What a leader has been told by members, and by whoever conducts.
#[derive(Clone, Debug, Default)]
pub(super) struct Board {
    reports: BTreeMap<SessionId, Said>,
    /// Sessions whose word that they serve is on its way into the log.
    serving: BTreeSet<SessionId>,
    why: BTreeMap<Name, String>,
}

impl Board {
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(super) fn keep(&mut self, is_there: impl Fn(SessionId) -> bool) {
        self.reports.retain(|id, _| is_there(*id));
        self.serving.retain(|id| is_there(*id));
    }
}

impl Member {
    /// What the proxy says of machines here.
    pub(super) fn local(&mut self, local: Local) {
        let Some(hand) = &mut self.hand else { return };
        let fresh = hand.local.as_ref().is_none_or(|known| {
            known.reports != local.reports || known.heard != local.heard || known.shut != local.shut
        });
        if fresh {
            hand.ask_at = hand.ask_at.min(self.now);
        }
        hand.local = Some(local);
    }

    /// Asks that are due: what is out, and what whoever conducts has to know.
    pub(super) fn ask_work(&mut self) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let session = self.holder.session();
        let held = self.holder.holds(DUTY, now, &limits);
        let Some(hand) = &mut self.hand else { return };
        let (Some(session), Some(local)) = (session, hand.local.clone()) else {
            return;
        };
        let mut asks = Vec::new();
        if now >= hand.ask_at {
            let busy = !hand.list.1.is_empty();
            hand.ask_at = now + if busy { limits.work } else { limits.renew };
            let ask = match local.serves_nobody {
                true if hand.off => None,
                true => Some(Ask::Off { session }),
                false => Some(Ask::Work {
                    session,
                    have: local.heard,
                    reports: local.reports.into_iter().collect(),
                    shut: local.shut.into_iter().collect(),
                }),
            };
            asks.extend(ask);
        }
        match held {
            None => hand.conduct.fence = 0,
            Some((fence, _)) => {
                if hand.conduct.fence != fence {
                    // What another conductor knew is not known here.
                    hand.conduct = Conductor {
                        fence,
                        ..Conductor::default()
                    };
                }
                if now >= hand.conduct.ask_at {
                    let busy = !hand.conduct.orders.orders().is_empty();
                    hand.conduct.ask_at = now + if busy { limits.work } else { limits.renew };
                    asks.push(Ask::Conduct {
                        session,
                        fence,
                        have: hand.conduct.version,
                        why: hand.conduct.why.clone(),
                    });
                }
            }
        }
        for ask in asks {
            self.send_work(ask);
        }
    }

    fn send_work(&mut self, ask: Ask) {
        let Some(hand) = &mut self.hand else { return };
        hand.next += 1;
        let number = WORK | hand.next;
        if let Some(to) = self.compass.target() {
            self.send_ask(to, number, ask);
        }
    }

    /// An answer about work.
    pub(super) fn told_work(&mut self, told: Told) {
        let now = self.now;
        let Some(hand) = &mut self.hand else { return };
        match told {
            Told::Work {
                version,
                list: Some(list),
            } if version >= hand.list.0 => {
                hand.list = (version, list.clone());
                self.out.push(Output::Work(version, list));
            }
            Told::Conduct(known) => self.conduct(known),
            // It is as the log has it now; what follows is planned on that.
            Told::Done | Told::Refused(_) => {
                hand.conduct.ask_at = hand.conduct.ask_at.min(now + self.config.limits.work / 8);
            }
            Told::NobodyServed => {
                hand.off = true;
                self.holder.set_waits(false);
            }
            Told::Later(_) => hand.ask_at = hand.ask_at.min(now + self.config.limits.work / 4),
            _ => {}
        }
    }

    /// Plans upon what the leader knows, and proposes what may be done now.
    fn conduct(&mut self, known: Known) {
        let (now, limits, node) = (
            self.now,
            self.config.limits.clone(),
            self.config.node.clone(),
        );
        let held = self.holder.holds(DUTY, now, &limits);
        let Some(hand) = &mut self.hand else { return };
        let (Some((fence, _)), Some(local)) = (held, &hand.local) else {
            return;
        };
        let conductor = &mut hand.conduct;
        // One that knows of no machines knows of none that is up.
        let blind = local.machines.is_empty();
        if fence != conductor.fence || known.version < conductor.version || blind {
            return;
        }
        if let Some(orders) = known.orders {
            (conductor.orders, conductor.version) = (orders, known.version);
        }
        if known.version != conductor.version {
            return;
        }
        let orders = &conductor.orders;
        let places = || {
            orders
                .orders()
                .values()
                .flat_map(|(_, places)| places.values())
        };
        let there: BTreeSet<Number> = places().map(|place| place.version).collect();
        conductor.since.retain(|version, _| there.contains(version));
        for version in there {
            conductor.since.entry(version).or_insert(now);
        }
        let mut proposals = Vec::new();
        let machines = machines(&mut conductor.missing, orders, local, now, &limits);
        // No sooner than a moment after the last time: sources swing.
        if machines != *orders.machines() && now >= conductor.told_machines_at + limits.renew {
            conductor.told_machines_at = now;
            proposals.push(WorkChange::Machines(machines));
        }
        let own_turn = |machine: &Name| {
            let machine = orders.machines().get(machine);
            machine
                .is_some_and(|machine| matches!(&machine.proxy, Some((name, _)) if *name == node))
        };
        let facts = facts(
            orders,
            local,
            &known.members,
            known.crowd,
            known.shut,
            |version| now - conductor.since.get(&version).copied().unwrap_or(now),
        );
        let Next { steps, mut why } = plan(orders, &facts);
        let mut hand_on = false;
        for (order, machine, version, step) in steps {
            if step == Step::Out && known.others && own_turn(&machine) {
                hand_on = true;
                why.push((
                    machine,
                    "this proxy conducts: it hands that on first".into(),
                ));
                continue;
            }
            proposals.push(WorkChange::Step {
                order,
                machine,
                version,
                step,
                fence: Some(fence),
            });
        }
        conductor.why = why;
        let again = conductor
            .handed_on
            .is_none_or(|at| now >= at + limits.lease);
        let hand_on = hand_on && again;
        if hand_on {
            conductor.handed_on = Some(now);
        }
        let Some(session) = self.holder.session() else {
            return;
        };
        for change in proposals {
            self.send_work(Ask::Propose {
                session,
                fence,
                roster: known.roster,
                change,
            });
        }
        if hand_on {
            let (duty, to) = (DUTY.to_string(), None);
            self.send_work(Ask::Order(Order::HandOn { duty, to }));
        }
    }

    /// The leader's answers; `None` where the ask is not about work, or goes into the log.
    pub(super) fn asked_work(&mut self, from: &Name, number: Number, ask: &Ask) -> Option<Told> {
        let running = self.running_mut()?;
        let (state, board) = (&running.state, &mut running.board);
        let work = state.work();
        let own = |session: &SessionId| {
            let known = state.sessions().get(session);
            known.is_some_and(|known| known.name == *from)
        };
        match ask {
            Ask::Work { session, .. } | Ask::Off { session } | Ask::Conduct { session, .. }
                if !own(session) =>
            {
                Some(Told::Gone)
            }
            Ask::Work {
                session,
                have,
                reports,
                shut,
            } => {
                if work.serving.get(from) != Some(session) {
                    // It is told what is out once the log has that it has to confirm.
                    let new = board.serving.insert(*session);
                    let serve = Command::Serve { session: *session };
                    if new && running.node.propose(serve.encode()).is_err() {
                        running.board.serving.remove(session);
                    }
                    return Some(Told::Later(
                        "it has to be known first that it serves".into(),
                    ));
                }
                let known = board.reports.entry(*session).or_default();
                if number > known.number {
                    *known = Said {
                        number,
                        reports: reports.iter().cloned().collect(),
                        shut: shut.iter().cloned().collect(),
                    };
                }
                let list = (*have != work.version).then(|| Belief::list(&work.orders));
                Some(Told::Work {
                    version: work.version,
                    list,
                })
            }
            Ask::Conduct {
                session,
                fence,
                have,
                why,
            } => {
                let duty = state.duties().get(DUTY);
                if duty.and_then(|duty| duty.holder) != Some((*session, *fence)) {
                    return Some(Told::Later("another conducts".into()));
                }
                board.why = why.iter().cloned().collect();
                Some(Told::Conduct(board.known(state, *session, *have)))
            }
            _ => None,
        }
    }

    /// What goes into the log of what was asked; `Err` where it needs not, or can't.
    pub(super) fn work_command(&self, from: &Name, ask: &Ask) -> Result<Command, Box<Told>> {
        let state = self.state().ok_or(Box::new(Told::NotLeader(None)))?;
        match ask {
            Ask::Off { session } => Ok(Command::Off { session: *session }),
            Ask::Propose {
                session,
                fence,
                roster,
                change,
            } => {
                let known = state.sessions().get(session);
                if known.is_none_or(|known| known.name != *from) {
                    return Err(Told::Gone.into());
                }
                Ok(Command::Work {
                    changes: vec![change.clone()],
                    by: Some((*session, *fence)),
                    roster: *roster,
                })
            }
            Ask::Staff(staff) => {
                let changes = staff
                    .changes(&state.work().orders)
                    .map_err(|why| Box::new(Told::Refused(why)))?;
                if changes.is_empty() {
                    return Err(Told::Done.into());
                }
                Ok(Command::Work {
                    changes,
                    by: None,
                    roster: state.work().roster,
                })
            }
            _ => Err(Told::Later("no such ask".into()).into()),
        }
    }

    /// The orders as staff see them, by this leader's books.
    pub(super) fn work_view(&self) -> Option<WorkView> {
        let running = self.running()?;
        let state = &running.state;
        let duty = state.duties().get(DUTY).and_then(|duty| duty.holder);
        let conductor = duty.and_then(|(id, _)| state.sessions().get(&id));
        let conductor = conductor.map(|known| known.name.clone());
        let reports = running.board.reports.values();
        let shut = reports.flat_map(|said| said.shut.iter().cloned());
        let why = &running.board.why;
        Some(WorkView::of(state.work(), conductor, why, shut.collect()))
    }

    /// What is out as this member goes by, without a leader.
    pub(super) fn work_alone(&self, why: String) -> WorkView {
        let list = self.hand.as_ref().map(|hand| &hand.list.1);
        WorkView::alone(list.unwrap_or(&List::new()), why)
    }
}

impl Board {
    fn known(&self, state: &State, asker: SessionId, have: Number) -> Known {
        let work = state.work();
        let out = work.orders.out();
        let mut crowd: BTreeMap<&Name, u64> = BTreeMap::new();
        let mut shut: BTreeSet<&Name> = BTreeSet::new();
        let mut members = Vec::new();
        for (name, session) in &work.serving {
            let reports = self.reports.get(session);
            let live = state.sessions().contains_key(session) && reports.is_some();
            let mut of_out = Vec::new();
            shut.extend(reports.into_iter().flat_map(|said| &said.shut));
            for (machine, report) in reports.into_iter().flat_map(|said| &said.reports) {
                if out.contains_key(machine) {
                    of_out.push((machine.clone(), *report));
                } else {
                    *crowd.entry(machine).or_default() += report.clients;
                    shut.extend(report.closed.then_some(machine));
                }
            }
            members.push((name.clone(), live, of_out));
        }
        Known {
            version: work.version,
            orders: (have != work.version).then(|| work.orders.clone()),
            roster: work.roster,
            members,
            crowd: crowd
                .into_iter()
                .map(|(name, sum)| (name.clone(), sum))
                .collect(),
            shut: shut.into_iter().cloned().collect(),
            others: state
                .sessions()
                .iter()
                .any(|(id, known)| *id != asker && known.wants.contains(DUTY)),
        }
    }
}

/// The machines as the sources tell them; one that they have forgotten stays for a while, and counts as lost.
fn machines(
    missing: &mut BTreeMap<Name, Millis>,
    orders: &Orders,
    local: &Local,
    now: Millis,
    limits: &Limits,
) -> BTreeMap<Name, Machine> {
    let mut machines = local.machines.clone();
    missing.retain(|name, _| !local.machines.contains_key(name));
    for (name, machine) in orders.machines() {
        if machines.contains_key(name) {
            continue;
        }
        let since = *missing.entry(name.clone()).or_insert(now);
        if now < since + limits.forgotten {
            machines.insert(name.clone(), machine.clone());
        }
    }
    machines
}

fn facts(
    orders: &Orders,
    local: &Local,
    members: &[Serving],
    crowd: Vec<(Name, u64)>,
    shut: Vec<Name>,
    since: impl Fn(Number) -> Millis,
) -> Facts {
    let out = orders.out();
    // One whose own machine was told as empty has confirmed that it serves nobody; it may be gone with its machine.
    let worked_on = |proxy: &Name| {
        let on = orders
            .machines()
            .iter()
            .find(|(_, machine)| matches!(&machine.proxy, Some((name, _)) if name == proxy));
        let place = on.and_then(|(name, _)| out.get(name));
        place.is_some_and(|(_, place)| {
            matches!(place.phase, Phase::Empty | Phase::Failed(Why::NeverWorked))
        })
    };
    let members = members
        .iter()
        .filter(|(name, live, _)| *live || !worked_on(name));
    let members = members.map(|(name, live, reports)| {
        let reports = reports.iter().cloned().collect();
        let live = *live;
        (name.clone(), WorkMember { live, reports })
    });
    let mut dead: BTreeSet<Name> = shut.into_iter().collect();
    let lost = orders.machines().keys();
    dead.extend(lost.filter(|name| !local.up.contains(*name)).cloned());
    let places = orders
        .orders()
        .values()
        .flat_map(|(_, places)| places.values());
    Facts {
        members: members.collect(),
        wall: local.wall,
        dead,
        crowd: crowd.into_iter().collect(),
        since: places
            .map(|place| (place.version, since(place.version)))
            .collect(),
    }
}

//! Work on machines: what a member reports and goes by, what the leader answers, and the part of whoever holds the
//! duty of conducting.

use violetwind_workorders::{
    FailureReason, Machine, MachineAvailability, MachineReport, Member as WorkMember, Phase,
    PlannedSteps, PlannerInput, Step, WorkOrderChange as WorkChange, WorkOrders, plan_steps,
};

use super::{
    BTreeMap, BTreeSet, Command, FleetAction, LeaderReply, LeaderRequest, Member, Millis, Name,
    Number, Output, SessionId, State,
};
use crate::limits::Limits;
use crate::work_orders::{
    CoordinatorUpdate, LocalWorkStatus, MachineList, ServingMember, WORK_DUTY, WorkView,
};

/// Numbers of asks about work have this bit, those of calls and the holder's have not.
pub(super) const WORK_REQUEST_BIT: Number = 1 << 62;

/// The part of a member that takes part in work on machines.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkParticipant {
    local: Option<LocalWorkStatus>,
    /// The list as it was last heard, for the proxy that has not taken it yet.
    list: (Number, MachineList),
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
    orders: WorkOrders,
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
    reports: BTreeMap<Name, MachineReport>,
    shut: BTreeSet<Name>,
}

/// What a leader has been told by members, and by whoever conducts.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkReports {
    reports: BTreeMap<SessionId, Said>,
    /// Sessions whose word that they serve is on its way into the log.
    serving: BTreeSet<SessionId>,
    why: BTreeMap<Name, String>,
}

impl WorkReports {
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(super) fn retain_sessions(&mut self, is_there: impl Fn(SessionId) -> bool) {
        self.reports.retain(|id, _| is_there(*id));
        self.serving.retain(|id| is_there(*id));
    }
}

impl Member {
    /// What the proxy says of machines here.
    pub(super) fn update_local_work(&mut self, local: LocalWorkStatus) {
        let Some(hand) = &mut self.work_participant else {
            return;
        };
        let fresh = hand.local.as_ref().is_none_or(|known| {
            known.reports != local.reports
                || known.list_version != local.list_version
                || known.closed_machines != local.closed_machines
        });
        if fresh {
            hand.ask_at = hand.ask_at.min(self.now);
        }
        hand.local = Some(local);
    }

    /// Asks that are due: what is out, and what whoever conducts has to know.
    pub(super) fn send_work_requests(&mut self) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let session = self.session_client.session();
        let held = self.session_client.held_fence(WORK_DUTY, now, &limits);
        let Some(hand) = &mut self.work_participant else {
            return;
        };
        let (Some(session), Some(local)) = (session, hand.local.clone()) else {
            return;
        };
        let mut asks = Vec::new();
        if now >= hand.ask_at {
            let busy = !hand.list.1.is_empty();
            hand.ask_at = now
                + if busy {
                    limits.work_poll_interval
                } else {
                    limits.renew_interval
                };
            let ask = match local.has_stopped_serving {
                true if hand.off => None,
                true => Some(LeaderRequest::StopServing { session }),
                false => Some(LeaderRequest::ReportWork {
                    session,
                    known_version: local.list_version,
                    reports: local.reports.into_iter().collect(),
                    closed_machines: local.closed_machines.into_iter().collect(),
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
                    hand.conduct.ask_at = now
                        + if busy {
                            limits.work_poll_interval
                        } else {
                            limits.renew_interval
                        };
                    asks.push(LeaderRequest::PollAsCoordinator {
                        session,
                        fence,
                        known_version: hand.conduct.version,
                        wait_reasons: hand.conduct.why.clone(),
                    });
                }
            }
        }
        for ask in asks {
            self.send_work(ask);
        }
    }

    fn send_work(&mut self, ask: LeaderRequest) {
        let Some(hand) = &mut self.work_participant else {
            return;
        };
        hand.next += 1;
        let number = WORK_REQUEST_BIT | hand.next;
        if let Some(to) = self.leader_locator.request_target() {
            self.send_request(to, number, ask);
        }
    }

    /// An answer about work.
    pub(super) fn handle_work_reply(&mut self, told: LeaderReply) {
        let now = self.now;
        let Some(hand) = &mut self.work_participant else {
            return;
        };
        match told {
            LeaderReply::MachineList {
                version,
                list: Some(list),
            } if version >= hand.list.0 => {
                hand.list = (version, list.clone());
                self.outputs.push(Output::MachineList(version, list));
            }
            LeaderReply::CoordinatorUpdate(known) => self.conduct(known),
            // It is as the log has it now; what follows is planned on that.
            LeaderReply::Done | LeaderReply::Refused(_) => {
                hand.conduct.ask_at = hand
                    .conduct
                    .ask_at
                    .min(now + self.config.limits.work_poll_interval / 8);
            }
            LeaderReply::ServingStopped => {
                hand.off = true;
                self.session_client.set_leave_after_drain(false);
            }
            LeaderReply::RetryLater(_) => {
                hand.ask_at = hand
                    .ask_at
                    .min(now + self.config.limits.work_poll_interval / 4)
            }
            _ => {}
        }
    }

    /// Plans upon what the leader knows, and proposes what may be done now.
    fn conduct(&mut self, known: CoordinatorUpdate) {
        let (now, limits, node) = (
            self.now,
            self.config.limits.clone(),
            self.config.node.clone(),
        );
        let held = self.session_client.held_fence(WORK_DUTY, now, &limits);
        let Some(hand) = &mut self.work_participant else {
            return;
        };
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
        if machines != *orders.machines()
            && now >= conductor.told_machines_at + limits.renew_interval
        {
            conductor.told_machines_at = now;
            proposals.push(WorkChange::SetMachines(machines));
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
            known.client_counts,
            known.closed_machines,
            |version| now - conductor.since.get(&version).copied().unwrap_or(now),
        );
        let PlannedSteps {
            steps,
            wait_reasons: mut why,
        } = plan_steps(orders, &facts);
        let mut hand_on = false;
        for (order, machine, version, step) in steps {
            if step == Step::TakeOut && known.has_other_candidates && own_turn(&machine) {
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
            .is_none_or(|at| now >= at + limits.lease_duration);
        let hand_on = hand_on && again;
        if hand_on {
            conductor.handed_on = Some(now);
        }
        let Some(session) = self.session_client.session() else {
            return;
        };
        for change in proposals {
            self.send_work(LeaderRequest::ProposeWorkChange {
                session,
                fence,
                roster_version: known.roster_version,
                change,
            });
        }
        if hand_on {
            let (duty, to) = (WORK_DUTY.to_string(), None);
            self.send_work(LeaderRequest::FleetAction(FleetAction::HandOffDuty {
                duty,
                preferred_holder: to,
            }));
        }
    }

    /// The leader's answers; `None` where the ask is not about work, or goes into the log.
    pub(super) fn handle_work_request(
        &mut self,
        from: &Name,
        number: Number,
        ask: &LeaderRequest,
    ) -> Option<LeaderReply> {
        let running = self.running_mut()?;
        let (state, board) = (&running.state, &mut running.work_reports);
        let work = state.work();
        let own = |session: &SessionId| {
            let known = state.sessions().get(session);
            known.is_some_and(|known| known.name == *from)
        };
        match ask {
            LeaderRequest::ReportWork { session, .. }
            | LeaderRequest::StopServing { session }
            | LeaderRequest::PollAsCoordinator { session, .. }
                if !own(session) =>
            {
                Some(LeaderReply::SessionNotFound)
            }
            LeaderRequest::ReportWork {
                session,
                known_version: have,
                reports,
                closed_machines: shut,
            } => {
                if work.serving.get(from) != Some(session) {
                    // It is told what is out once the log has that it has to confirm.
                    let new = board.serving.insert(*session);
                    let serve = Command::StartServing { session: *session };
                    if new && running.node.propose(serve.encode()).is_err() {
                        running.work_reports.serving.remove(session);
                    }
                    return Some(LeaderReply::RetryLater(
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
                let list = (*have != work.version)
                    .then(|| MachineAvailability::list_machines(&work.orders));
                Some(LeaderReply::MachineList {
                    version: work.version,
                    list,
                })
            }
            LeaderRequest::PollAsCoordinator {
                session,
                fence,
                known_version: have,
                wait_reasons: why,
            } => {
                let duty = state.duties().get(WORK_DUTY);
                if duty.and_then(|duty| duty.holder) != Some((*session, *fence)) {
                    return Some(LeaderReply::RetryLater("another conducts".into()));
                }
                board.why = why.iter().cloned().collect();
                Some(LeaderReply::CoordinatorUpdate(
                    board.known(state, *session, *have),
                ))
            }
            _ => None,
        }
    }

    /// What goes into the log of what was asked; `Err` where it needs not, or can't.
    pub(super) fn work_command(
        &self,
        from: &Name,
        ask: &LeaderRequest,
    ) -> Result<Command, Box<LeaderReply>> {
        let state = self.state().ok_or(Box::new(LeaderReply::NotLeader(None)))?;
        match ask {
            LeaderRequest::StopServing { session } => {
                Ok(Command::StopServing { session: *session })
            }
            LeaderRequest::ProposeWorkChange {
                session,
                fence,
                roster_version: roster,
                change,
            } => {
                let known = state.sessions().get(session);
                if known.is_none_or(|known| known.name != *from) {
                    return Err(LeaderReply::SessionNotFound.into());
                }
                Ok(Command::ChangeWorkOrders {
                    changes: vec![change.clone()],
                    coordinator: Some((*session, *fence)),
                    roster_version: *roster,
                })
            }
            LeaderRequest::WorkAction(staff) => {
                let changes = staff
                    .to_changes(&state.work().orders)
                    .map_err(|why| Box::new(LeaderReply::Refused(why)))?;
                if changes.is_empty() {
                    return Err(LeaderReply::Done.into());
                }
                Ok(Command::ChangeWorkOrders {
                    changes,
                    coordinator: None,
                    roster_version: state.work().roster_version,
                })
            }
            _ => Err(LeaderReply::RetryLater("no such ask".into()).into()),
        }
    }

    /// The orders as staff see them, by this leader's books.
    pub(super) fn work_view(&self) -> Option<WorkView> {
        let running = self.running()?;
        let state = &running.state;
        let duty = state.duties().get(WORK_DUTY).and_then(|duty| duty.holder);
        let conductor = duty.and_then(|(id, _)| state.sessions().get(&id));
        let conductor = conductor.map(|known| known.name.clone());
        let reports = running.work_reports.reports.values();
        let shut = reports.flat_map(|said| said.shut.iter().cloned());
        let why = &running.work_reports.why;
        Some(WorkView::from_state(
            state.work(),
            conductor,
            why,
            shut.collect(),
        ))
    }

    /// What is out as this member goes by, without a leader.
    pub(super) fn work_view_without_leader(&self, why: String) -> WorkView {
        let list = self.work_participant.as_ref().map(|hand| &hand.list.1);
        WorkView::without_leader(list.unwrap_or(&MachineList::new()), why)
    }
}

impl WorkReports {
    fn known(&self, state: &State, asker: SessionId, have: Number) -> CoordinatorUpdate {
        let work = state.work();
        let out = work.orders.machines_out();
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
        CoordinatorUpdate {
            version: work.version,
            orders: (have != work.version).then(|| work.orders.clone()),
            roster_version: work.roster_version,
            members,
            client_counts: crowd
                .into_iter()
                .map(|(name, sum)| (name.clone(), sum))
                .collect(),
            closed_machines: shut.into_iter().cloned().collect(),
            has_other_candidates: state
                .sessions()
                .iter()
                .any(|(id, known)| *id != asker && known.wanted_duties.contains(WORK_DUTY)),
        }
    }
}

/// The machines as the sources tell them; one that they have forgotten stays for a while, and counts as lost.
fn machines(
    missing: &mut BTreeMap<Name, Millis>,
    orders: &WorkOrders,
    local: &LocalWorkStatus,
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
        if now < since + limits.machine_expiry {
            machines.insert(name.clone(), machine.clone());
        }
    }
    machines
}

fn facts(
    orders: &WorkOrders,
    local: &LocalWorkStatus,
    members: &[ServingMember],
    crowd: Vec<(Name, u64)>,
    shut: Vec<Name>,
    since: impl Fn(Number) -> Millis,
) -> PlannerInput {
    let out = orders.machines_out();
    // One whose own machine was told as empty has confirmed that it serves nobody; it may be gone with its machine.
    let worked_on = |proxy: &Name| {
        let on = orders
            .machines()
            .iter()
            .find(|(_, machine)| matches!(&machine.proxy, Some((name, _)) if name == proxy));
        let place = on.and_then(|(name, _)| out.get(name));
        place.is_some_and(|(_, place)| {
            matches!(
                place.phase,
                Phase::Drained | Phase::Failed(FailureReason::NeverWorked)
            )
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
    dead.extend(
        lost.filter(|name| !local.up_machines.contains(*name))
            .cloned(),
    );
    let places = orders
        .orders()
        .values()
        .flat_map(|(_, places)| places.values());
    PlannerInput {
        members: members.collect(),
        unix_time_ms: local.unix_time_ms,
        unavailable: dead,
        client_counts: crowd.into_iter().collect(),
        version_ages: places
            .map(|place| (place.version, since(place.version)))
            .collect(),
    }
}

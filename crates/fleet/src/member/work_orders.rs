//! Work orders on machines: a member's reports and machine list, the leader's replies, and the coordinator, which is
//! the holder of [`WORK_DUTY`].

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

/// Set in the numbers of requests about work, and clear in those of operators' calls and of the session.
pub(super) const WORK_REQUEST_BIT: Number = 1 << 62;

/// The part of a member that takes part in work orders.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkParticipant {
    local_status: Option<LocalWorkStatus>,
    /// The machine list as it was last received, with its version.
    machine_list: (Number, MachineList),
    last_request_number: Number,
    next_report_at: Millis,
    coordinator: Coordinator,
    /// Whether it is committed that this process has stopped serving.
    has_stopped_serving: bool,
}

/// The coordinator's copy of the work orders, and the other data that its plans are based on.
#[derive(Clone, Debug, Default)]
struct Coordinator {
    /// The fencing number of the duty; 0 while this member does not hold it.
    fence: Number,
    next_poll_at: Millis,
    /// The version of `orders`.
    version: Number,
    orders: WorkOrders,
    /// When each version of a machine's progress in an order was first seen here.
    version_first_seen: BTreeMap<Number, Millis>,
    /// Machines that the discovery sources do not list any more, with the time since which they are missing.
    missing_since: BTreeMap<Name, Millis>,
    machines_proposed_at: Millis,
    /// When a handoff of the duty was requested because this member's own machine is next. A second request would make
    /// the next holder hand the duty on again.
    handoff_requested_at: Option<Millis>,
    wait_reasons: Vec<(Name, String)>,
}

/// The last report of a member, with the number of its request.
#[derive(Clone, Debug, Default)]
struct MemberReport {
    request_number: Number,
    machines: BTreeMap<Name, MachineReport>,
    closed_machines: BTreeSet<Name>,
}

/// The reports of the members and the coordinator to this leader.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkReports {
    by_session: BTreeMap<SessionId, MemberReport>,
    /// Sessions for which [`Command::StartServing`] was proposed.
    proposed_serving: BTreeSet<SessionId>,
    wait_reasons: BTreeMap<Name, String>,
}

impl WorkReports {
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(super) fn retain_sessions(&mut self, exists: impl Fn(SessionId) -> bool) {
        self.by_session.retain(|id, _| exists(*id));
        self.proposed_serving.retain(|id| exists(*id));
    }
}

impl Member {
    /// Stores the local status of machines; a change is reported to the leader at once.
    pub(super) fn update_local_work(&mut self, local_status: LocalWorkStatus) {
        let Some(participant) = &mut self.work_participant else {
            return;
        };
        let has_changed = participant.local_status.as_ref().is_none_or(|previous| {
            previous.reports != local_status.reports
                || previous.list_version != local_status.list_version
                || previous.closed_machines != local_status.closed_machines
        });
        if has_changed {
            participant.next_report_at = participant.next_report_at.min(self.now);
        }
        participant.local_status = Some(local_status);
    }

    /// Sends the requests that are due: this member's report, and the poll of the coordinator.
    pub(super) fn send_work_requests(&mut self) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let session = self.session_client.session();
        let held_fence = self.session_client.held_fence(WORK_DUTY, now, &limits);
        let Some(participant) = &mut self.work_participant else {
            return;
        };
        let (Some(session), Some(local_status)) = (session, participant.local_status.clone())
        else {
            return;
        };
        let mut requests = Vec::new();
        if now >= participant.next_report_at {
            let has_machines = !participant.machine_list.1.is_empty();
            participant.next_report_at = now
                + if has_machines {
                    limits.work_poll_interval
                } else {
                    limits.renew_interval
                };
            let request = match local_status.has_stopped_serving {
                true if participant.has_stopped_serving => None,
                true => Some(LeaderRequest::StopServing { session }),
                false => Some(LeaderRequest::ReportWork {
                    session,
                    known_version: local_status.list_version,
                    reports: local_status.reports.into_iter().collect(),
                    closed_machines: local_status.closed_machines.into_iter().collect(),
                }),
            };
            requests.extend(request);
        }
        match held_fence {
            None => participant.coordinator.fence = 0,
            Some((fence, _)) => {
                if participant.coordinator.fence != fence {
                    // The state of a previous coordinator is not available here.
                    participant.coordinator = Coordinator {
                        fence,
                        ..Coordinator::default()
                    };
                }
                if now >= participant.coordinator.next_poll_at {
                    let has_orders = !participant.coordinator.orders.orders().is_empty();
                    participant.coordinator.next_poll_at = now
                        + if has_orders {
                            limits.work_poll_interval
                        } else {
                            limits.renew_interval
                        };
                    requests.push(LeaderRequest::PollAsCoordinator {
                        session,
                        fence,
                        known_version: participant.coordinator.version,
                        wait_reasons: participant.coordinator.wait_reasons.clone(),
                    });
                }
            }
        }
        for request in requests {
            self.send_work_request(request);
        }
    }

    fn send_work_request(&mut self, request: LeaderRequest) {
        let Some(participant) = &mut self.work_participant else {
            return;
        };
        participant.last_request_number += 1;
        let number = WORK_REQUEST_BIT | participant.last_request_number;
        if let Some(to) = self.leader_locator.request_target() {
            self.send_request(to, number, request);
        }
    }

    /// Handles a reply to a request about work.
    pub(super) fn handle_work_reply(&mut self, reply: LeaderReply) {
        let now = self.now;
        let Some(participant) = &mut self.work_participant else {
            return;
        };
        match reply {
            LeaderReply::MachineList {
                version,
                list: Some(list),
            } if version >= participant.machine_list.0 => {
                participant.machine_list = (version, list.clone());
                self.outputs.push(Output::MachineList(version, list));
            }
            LeaderReply::CoordinatorUpdate(update) => self.run_coordinator(update),
            // The proposed change is applied or refused; the next steps are planned on the new state soon.
            LeaderReply::Done | LeaderReply::Refused(_) => {
                participant.coordinator.next_poll_at = participant
                    .coordinator
                    .next_poll_at
                    .min(now + self.config.limits.work_poll_interval / 8);
            }
            LeaderReply::ServingStopped => {
                participant.has_stopped_serving = true;
                self.session_client.set_leave_after_drain(false);
            }
            LeaderReply::RetryLater(_) => {
                participant.next_report_at = participant
                    .next_report_at
                    .min(now + self.config.limits.work_poll_interval / 4)
            }
            _ => {}
        }
    }

    /// Plans on the leader's state, and proposes the steps that are allowed now.
    fn run_coordinator(&mut self, update: CoordinatorUpdate) {
        let (now, limits, node) = (
            self.now,
            self.config.limits.clone(),
            self.config.node.clone(),
        );
        let held_fence = self.session_client.held_fence(WORK_DUTY, now, &limits);
        let Some(participant) = &mut self.work_participant else {
            return;
        };
        let (Some((fence, _)), Some(local_status)) = (held_fence, &participant.local_status) else {
            return;
        };
        let coordinator = &mut participant.coordinator;
        // With an empty list of machines, every machine would count as unavailable.
        let knows_no_machines = local_status.machines.is_empty();
        if fence != coordinator.fence || update.version < coordinator.version || knows_no_machines {
            return;
        }
        if let Some(orders) = update.orders {
            (coordinator.orders, coordinator.version) = (orders, update.version);
        }
        if update.version != coordinator.version {
            return;
        }
        let orders = &coordinator.orders;
        let all_progress = || {
            orders
                .orders()
                .values()
                .flat_map(|(_, machines)| machines.values())
        };
        let versions: BTreeSet<Number> = all_progress().map(|progress| progress.version).collect();
        coordinator
            .version_first_seen
            .retain(|version, _| versions.contains(version));
        for version in versions {
            coordinator.version_first_seen.entry(version).or_insert(now);
        }
        let mut proposals = Vec::new();
        let machines = merge_machines(
            &mut coordinator.missing_since,
            orders,
            local_status,
            now,
            &limits,
        );
        // At most once in a renewal interval, since the lists of discovery sources fluctuate.
        if machines != *orders.machines()
            && now >= coordinator.machines_proposed_at + limits.renew_interval
        {
            coordinator.machines_proposed_at = now;
            proposals.push(WorkChange::SetMachines(machines));
        }
        let is_own_machine = |machine: &Name| {
            let machine = orders.machines().get(machine);
            machine
                .is_some_and(|machine| matches!(&machine.proxy, Some((name, _)) if *name == node))
        };
        let planner_input = planner_input(
            orders,
            local_status,
            &update.members,
            update.client_counts,
            update.closed_machines,
            |version| {
                now - coordinator
                    .version_first_seen
                    .get(&version)
                    .copied()
                    .unwrap_or(now)
            },
        );
        let PlannedSteps {
            steps,
            mut wait_reasons,
        } = plan_steps(orders, &planner_input);
        let mut should_hand_off = false;
        for (order, machine, version, step) in steps {
            if step == Step::TakeOut && update.has_other_candidates && is_own_machine(&machine) {
                should_hand_off = true;
                wait_reasons.push((
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
        coordinator.wait_reasons = wait_reasons;
        let may_request_again = coordinator
            .handoff_requested_at
            .is_none_or(|requested_at| now >= requested_at + limits.lease_duration);
        let should_hand_off = should_hand_off && may_request_again;
        if should_hand_off {
            coordinator.handoff_requested_at = Some(now);
        }
        let Some(session) = self.session_client.session() else {
            return;
        };
        for change in proposals {
            self.send_work_request(LeaderRequest::ProposeWorkChange {
                session,
                fence,
                roster_version: update.roster_version,
                change,
            });
        }
        if should_hand_off {
            let (duty, preferred_holder) = (WORK_DUTY.to_string(), None);
            self.send_work_request(LeaderRequest::FleetAction(FleetAction::HandOffDuty {
                duty,
                preferred_holder,
            }));
        }
    }

    /// The leader's reply to a request about work; `None` if the request is about something else, or needs a command in
    /// the log.
    pub(super) fn handle_work_request(
        &mut self,
        from: &Name,
        number: Number,
        request: &LeaderRequest,
    ) -> Option<LeaderReply> {
        let running = self.running_mut()?;
        let (state, work_reports) = (&running.state, &mut running.work_reports);
        let work = state.work();
        let is_own = |session: &SessionId| {
            let known_session = state.sessions().get(session);
            known_session.is_some_and(|known_session| known_session.name == *from)
        };
        match request {
            LeaderRequest::ReportWork { session, .. }
            | LeaderRequest::StopServing { session }
            | LeaderRequest::PollAsCoordinator { session, .. }
                if !is_own(session) =>
            {
                Some(LeaderReply::SessionNotFound)
            }
            LeaderRequest::ReportWork {
                session,
                known_version,
                reports,
                closed_machines,
            } => {
                if work.serving.get(from) != Some(session) {
                    // The member gets the machine list only after it is committed that it has to confirm changes.
                    let needs_proposal = work_reports.proposed_serving.insert(*session);
                    let command = Command::StartServing { session: *session };
                    if needs_proposal && running.node.propose(command.encode()).is_err() {
                        running.work_reports.proposed_serving.remove(session);
                    }
                    return Some(LeaderReply::RetryLater(
                        "it has to be known first that it serves".into(),
                    ));
                }
                let report = work_reports.by_session.entry(*session).or_default();
                if number > report.request_number {
                    *report = MemberReport {
                        request_number: number,
                        machines: reports.iter().cloned().collect(),
                        closed_machines: closed_machines.iter().cloned().collect(),
                    };
                }
                let list = (*known_version != work.version)
                    .then(|| MachineAvailability::list_machines(&work.orders));
                Some(LeaderReply::MachineList {
                    version: work.version,
                    list,
                })
            }
            LeaderRequest::PollAsCoordinator {
                session,
                fence,
                known_version,
                wait_reasons,
            } => {
                let duty = state.duties().get(WORK_DUTY);
                if duty.and_then(|duty| duty.holder) != Some((*session, *fence)) {
                    return Some(LeaderReply::RetryLater("another conducts".into()));
                }
                work_reports.wait_reasons = wait_reasons.iter().cloned().collect();
                Some(LeaderReply::CoordinatorUpdate(
                    work_reports.coordinator_update(state, *session, *known_version),
                ))
            }
            _ => None,
        }
    }

    /// The command for a request.
    ///
    /// # Errors
    /// The reply, if the request needs no command or can't be carried out.
    pub(super) fn work_command(
        &self,
        from: &Name,
        request: &LeaderRequest,
    ) -> Result<Command, Box<LeaderReply>> {
        let state = self.state().ok_or(Box::new(LeaderReply::NotLeader(None)))?;
        match request {
            LeaderRequest::StopServing { session } => {
                Ok(Command::StopServing { session: *session })
            }
            LeaderRequest::ProposeWorkChange {
                session,
                fence,
                roster_version,
                change,
            } => {
                let known_session = state.sessions().get(session);
                if known_session.is_none_or(|known_session| known_session.name != *from) {
                    return Err(LeaderReply::SessionNotFound.into());
                }
                Ok(Command::ChangeWorkOrders {
                    changes: vec![change.clone()],
                    coordinator: Some((*session, *fence)),
                    roster_version: *roster_version,
                })
            }
            LeaderRequest::WorkAction(action) => {
                let changes = action
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

    /// The work orders as operators see them, according to this leader's state.
    pub(super) fn work_view(&self) -> Option<WorkView> {
        let running = self.running()?;
        let state = &running.state;
        let duty = state.duties().get(WORK_DUTY).and_then(|duty| duty.holder);
        let coordinator = duty.and_then(|(id, _)| state.sessions().get(&id));
        let coordinator = coordinator.map(|known_session| known_session.name.clone());
        let reports = running.work_reports.by_session.values();
        let closed_machines = reports.flat_map(|report| report.closed_machines.iter().cloned());
        let wait_reasons = &running.work_reports.wait_reasons;
        Some(WorkView::from_state(
            state.work(),
            coordinator,
            wait_reasons,
            closed_machines.collect(),
        ))
    }

    /// The machines out of service according to this member's own list, without a leader.
    pub(super) fn work_view_without_leader(&self, why: String) -> WorkView {
        let list = self
            .work_participant
            .as_ref()
            .map(|participant| &participant.machine_list.1);
        WorkView::without_leader(list.unwrap_or(&MachineList::new()), why)
    }
}

impl WorkReports {
    /// The update for the coordinator, which has the orders of `known_version`.
    fn coordinator_update(
        &self,
        state: &State,
        coordinator: SessionId,
        known_version: Number,
    ) -> CoordinatorUpdate {
        let work = state.work();
        let out = work.orders.machines_out();
        let mut client_counts: BTreeMap<&Name, u64> = BTreeMap::new();
        let mut closed_machines: BTreeSet<&Name> = BTreeSet::new();
        let mut members = Vec::new();
        for (name, session) in &work.serving {
            let member_report = self.by_session.get(session);
            let is_live = state.sessions().contains_key(session) && member_report.is_some();
            let mut reports_on_out = Vec::new();
            closed_machines.extend(
                member_report
                    .into_iter()
                    .flat_map(|report| &report.closed_machines),
            );
            for (machine, report) in member_report
                .into_iter()
                .flat_map(|report| &report.machines)
            {
                if out.contains_key(machine) {
                    reports_on_out.push((machine.clone(), *report));
                } else {
                    *client_counts.entry(machine).or_default() += report.clients;
                    closed_machines.extend(report.closed.then_some(machine));
                }
            }
            members.push((name.clone(), is_live, reports_on_out));
        }
        CoordinatorUpdate {
            version: work.version,
            orders: (known_version != work.version).then(|| work.orders.clone()),
            roster_version: work.roster_version,
            members,
            client_counts: client_counts
                .into_iter()
                .map(|(name, count)| (name.clone(), count))
                .collect(),
            closed_machines: closed_machines.into_iter().cloned().collect(),
            has_other_candidates: state.sessions().iter().any(|(id, known_session)| {
                *id != coordinator && known_session.wanted_duties.contains(WORK_DUTY)
            }),
        }
    }
}

/// The machines according to the discovery sources. A machine that they do not list any more is kept for the machine
/// expiry, and counts as unavailable.
fn merge_machines(
    missing_since: &mut BTreeMap<Name, Millis>,
    orders: &WorkOrders,
    local_status: &LocalWorkStatus,
    now: Millis,
    limits: &Limits,
) -> BTreeMap<Name, Machine> {
    let mut machines = local_status.machines.clone();
    missing_since.retain(|name, _| !local_status.machines.contains_key(name));
    for (name, machine) in orders.machines() {
        if machines.contains_key(name) {
            continue;
        }
        let since = *missing_since.entry(name.clone()).or_insert(now);
        if now < since + limits.machine_expiry {
            machines.insert(name.clone(), machine.clone());
        }
    }
    machines
}

/// The input of the planner. `version_age` is how long a version of a machine's progress has been known here.
fn planner_input(
    orders: &WorkOrders,
    local_status: &LocalWorkStatus,
    members: &[ServingMember],
    client_counts: Vec<(Name, u64)>,
    closed_machines: Vec<Name>,
    version_age: impl Fn(Number) -> Millis,
) -> PlannerInput {
    let out = orders.machines_out();
    // A proxy on a drained machine has confirmed that it does not serve clients; it may be stopped with its machine.
    let is_on_drained_machine = |proxy: &Name| {
        let machine = orders
            .machines()
            .iter()
            .find(|(_, machine)| matches!(&machine.proxy, Some((name, _)) if name == proxy));
        let progress = machine.and_then(|(name, _)| out.get(name));
        progress.is_some_and(|(_, progress)| {
            matches!(
                progress.phase,
                Phase::Drained | Phase::Failed(FailureReason::NeverWorked)
            )
        })
    };
    let members = members
        .iter()
        .filter(|(name, live, _)| *live || !is_on_drained_machine(name));
    let members = members.map(|(name, live, reports)| {
        let reports = reports.iter().cloned().collect();
        let live = *live;
        (name.clone(), WorkMember { live, reports })
    });
    let mut unavailable: BTreeSet<Name> = closed_machines.into_iter().collect();
    let machine_names = orders.machines().keys();
    unavailable.extend(
        machine_names
            .filter(|name| !local_status.up_machines.contains(*name))
            .cloned(),
    );
    let all_progress = orders
        .orders()
        .values()
        .flat_map(|(_, machines)| machines.values());
    PlannerInput {
        members: members.collect(),
        unix_time_ms: local_status.unix_time_ms,
        unavailable,
        client_counts: client_counts.into_iter().collect(),
        version_ages: all_progress
            .map(|progress| (progress.version, version_age(progress.version)))
            .collect(),
    }
}

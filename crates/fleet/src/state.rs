//! The replicated state machine: sessions, holders of duties, shares of budgets, and work orders. The same commands
//! in the same order produce the same state at every member.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use violetwind_workorders::WorkOrderChange;

use crate::budget::{BudgetDefinition, BudgetShares, Share};
use crate::limits::StateLimits;
use crate::messages::{Name, Number, SessionId};
use crate::work_orders::{WORK_DUTY, WorkState};

/// The first byte of every command and snapshot is the oldest format version that can represent its content, so that
/// members with version 1 can read the log for as long as there are no work orders.
const BASE_VERSION: u8 = 1;
/// The format version that adds work orders.
const WORK_ORDERS_VERSION: u8 = 2;

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a session.
    Join {
        name: Name,
        nonce: Number,
        wanted_duties: Vec<Name>,
        replaced_session: Option<SessionId>,
        incarnation: Number,
        last_seen_number: Number,
        /// The session's weight when budgets are divided, relative to a session of weight 1.
        weight: u64,
        budgets: Vec<BudgetDefinition>,
        /// Units beyond the floors that this process still uses from its earlier sessions.
        units_in_use: Vec<(Name, u64)>,
    },
    /// The process of the session is shutting down: the session is assigned no more duties, and its duties go to
    /// others.
    BeginLeave { session: SessionId },
    /// Ends a session whose process has stopped everything; `units_in_use` are the units of its shares that are still
    /// in use.
    Leave {
        session: SessionId,
        units_in_use: Vec<(Name, u64)>,
    },
    /// Raises shares: budget, session, new units, and the version of the share that the change is based on.
    RaiseShares {
        changes: Vec<(Name, SessionId, u64, u64)>,
    },
    /// From now on the session's member uses at most `units` of the budget.
    LowerShare {
        session: SessionId,
        budget: Name,
        units: u64,
        share_version: u64,
    },
    /// Releases stranded units that are no longer in use.
    ReleaseStranded { stranded: Vec<(Name, Number)> },
    /// The machine of a member is gone, and with it the member's connections.
    DeclareMemberLost { name: Name },
    /// Ends sessions that their own processes have replaced, or whose leases have expired at the leader. Duties go to
    /// the silent sessions in `avoided_sessions` only if there is no other candidate.
    CloseSessions {
        sessions: Vec<SessionId>,
        avoided_sessions: Vec<SessionId>,
    },
    /// The holder has stopped the duty.
    ReleaseDuty {
        session: SessionId,
        duty: Name,
        fence: Number,
        preferred_holder: Option<Name>,
    },
    /// Requests a handoff: the holder is asked to release the duty.
    HandOffDuty {
        duty: Name,
        preferred_holder: Option<Name>,
    },
    /// Blocks a member: its session is not renewed, and it gets no new one.
    BlockMember { name: Name },
    /// Lifts the block on a member.
    UnblockMember { name: Name },
    /// The session's proxy applies the list of machines out of service from now on, and has to confirm changes.
    StartServing { session: SessionId },
    /// The session's proxy has stopped serving clients.
    StopServing { session: SessionId },
    /// Changes of work orders, by operators or by the coordinator with its session and fencing number.
    /// `roster_version` is the version of the list of members that had to confirm them.
    ChangeWorkOrders {
        changes: Vec<WorkOrderChange>,
        coordinator: Option<(SessionId, Number)>,
        roster_version: Number,
    },
}

/// The result of applying a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Done,
    /// The session has begun, or had begun with the same nonce.
    Joined(SessionId),
    /// The request is older than the last session of that name: its process may be gone. Carries the number that a
    /// request has to have seen.
    JoinOutdated(Number),
    /// Another session of that name has to end first.
    NameInUse,
    Refused(&'static str),
    /// A change of work orders is refused, with the reason.
    WorkRefused(String),
}

/// A member's session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    pub name: Name,
    pub nonce: Number,
    pub wanted_duties: BTreeSet<Name>,
    pub incarnation: Number,
    pub weight: u64,
    /// The digest of the session's budget definitions; the key of [`State::budget_files`].
    budgets_digest: u64,
    /// Incremented with each change of the session's shares.
    pub shares_version: u64,
}

/// The budget definitions of a settings file, and how many sessions use that file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct BudgetFile {
    definitions: Vec<BudgetDefinition>,
    session_count: u64,
}

/// A duty that at most one session holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// The session that holds the duty, and its fencing number.
    pub holder: Option<(SessionId, Number)>,
    /// The handoff that operators have requested, with the preferred holder if they named one.
    pub requested_handoff: Option<Option<Name>>,
}

/// The state that the log determines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The last number that was assigned, to a session, a holding or stranded units.
    last_number: Number,
    sessions: BTreeMap<SessionId, Session>,
    duties: BTreeMap<Name, Duty>,
    blocked_members: BTreeSet<Name>,
    budgets: BTreeMap<Name, BudgetShares>,
    budget_files: BTreeMap<u64, BudgetFile>,
    /// For each name the number at which a session of that name last began or ended.
    last_change_by_name: BTreeMap<Name, Number>,
    /// The largest number that was dropped from `last_change_by_name`.
    max_dropped_change: Number,
    /// Encoded after the other fields of a snapshot, and only if it is not empty.
    #[serde(skip)]
    work: WorkState,
}

fn encode<T: Serialize>(version: u8, value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![version]).expect("serializing to memory cannot fail")
}

/// The format version, the value, and the bytes after it.
fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<(u8, T, &[u8]), String> {
    match bytes.split_first() {
        Some((version @ (&BASE_VERSION | &WORK_ORDERS_VERSION), rest)) => {
            let (value, rest) =
                postcard::take_from_bytes(rest).map_err(|error| error.to_string())?;
            Ok((*version, value, rest))
        }
        Some((version, _)) => Err(format!(
            "version {version}, and this program knows {WORK_ORDERS_VERSION}"
        )),
        None => Err("empty".into()),
    }
}

impl Command {
    /// The command as it is written to the log.
    pub fn encode(&self) -> Vec<u8> {
        let has_work_orders = matches!(
            self,
            Self::StartServing { .. } | Self::StopServing { .. } | Self::ChangeWorkOrders { .. }
        );
        encode(
            if has_work_orders {
                WORK_ORDERS_VERSION
            } else {
                BASE_VERSION
            },
            self,
        )
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    /// The version is unknown, or the bytes are not a command.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        decode(bytes).map(|(_, command, _)| command)
    }
}

impl State {
    /// The state as a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        match self.work.is_empty() {
            true => encode(BASE_VERSION, self),
            false => {
                let bytes = encode(WORK_ORDERS_VERSION, self);
                postcard::to_extend(&self.work, bytes).expect("serializing to memory cannot fail")
            }
        }
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    /// The version is unknown, or the bytes are not a state.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        let (version, mut state, rest): (u8, Self, _) = decode(bytes)?;
        if version == WORK_ORDERS_VERSION {
            state.work = postcard::from_bytes(rest).map_err(|error| error.to_string())?;
        }
        Ok(state)
    }

    /// The work orders on machines.
    pub fn work(&self) -> &WorkState {
        &self.work
    }

    /// The sessions that have begun and not ended.
    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    /// The duties that some session holds or wants.
    pub fn duties(&self) -> &BTreeMap<Name, Duty> {
        &self.duties
    }

    /// The definitions in force and the shares of all budgets.
    pub fn budgets(&self) -> &BTreeMap<Name, BudgetShares> {
        &self.budgets
    }

    /// The shares of a session, preceded by the version of that list.
    pub fn shares(&self, session: SessionId) -> (u64, Vec<(Name, Share)>) {
        let version = self
            .sessions
            .get(&session)
            .map_or(0, |session| session.shares_version);
        let shares = self
            .budgets
            .iter()
            .filter_map(|(name, budget)| Some((name.clone(), *budget.shares().get(&session)?)));
        (version, shares.collect())
    }

    /// Whether a session's definition of a budget has the kind and window that are in force.
    pub fn matches_definition(&self, session: SessionId, budget: &str) -> bool {
        let file = self
            .sessions
            .get(&session)
            .and_then(|session| self.budget_files.get(&session.budgets_digest));
        let own = file.and_then(|file| {
            file.definitions
                .iter()
                .find(|definition| definition.name == budget)
        });
        let in_force = self.budgets.get(budget).map(BudgetShares::definition);
        own.zip(in_force).is_some_and(|(own, in_force)| {
            (own.kind, own.window) == (in_force.kind, in_force.window)
        })
    }

    /// The members that operators have evicted.
    pub fn blocked_members(&self) -> &BTreeSet<Name> {
        &self.blocked_members
    }

    /// The session of the member with that name.
    pub fn session_by_name(&self, name: &str) -> Option<(SessionId, &Session)> {
        let mut matching = self
            .sessions
            .iter()
            .filter(|(_, session)| session.name == name);
        matching.next().map(|(id, session)| (*id, session))
    }

    /// The duties of a session with their fencing numbers.
    pub fn held_duties(&self, session: SessionId) -> Vec<(Name, Number)> {
        let held = self.duties.iter().filter_map(|(name, duty)| {
            let (holder, fence) = duty.holder?;
            (holder == session).then(|| (name.clone(), fence))
        });
        held.collect()
    }

    /// The duties that a session has to release, with their preferred next holder.
    pub fn duties_to_release(&self, session: SessionId) -> Vec<(Name, Option<Name>)> {
        let requested = self.duties.iter().filter_map(|(name, duty)| {
            let (holder, _) = duty.holder?;
            (holder == session).then_some((name.clone(), duty.requested_handoff.clone()?))
        });
        requested.collect()
    }

    /// Applies a command. Each member has to apply the same commands in the same order.
    pub fn apply(&mut self, command: Command) -> Effect {
        match command {
            Command::Join {
                name,
                nonce,
                wanted_duties,
                replaced_session,
                incarnation,
                last_seen_number,
                weight,
                budgets,
                units_in_use,
            } => self.join(JoinRequest {
                name,
                nonce,
                wanted_duties,
                replaced_session,
                incarnation,
                last_seen_number,
                weight,
                budgets,
                units_in_use,
            }),
            Command::BeginLeave { session } => {
                if let Some(session_state) = self.sessions.get_mut(&session) {
                    session_state.wanted_duties.clear();
                }
                self.reassign_duties(&[session], &[]);
                Effect::Done
            }
            Command::Leave {
                session,
                units_in_use,
            } => {
                self.close_session(session, Some(&units_in_use));
                self.reassign_duties(&[session], &[]);
                self.drop_unused();
                Effect::Done
            }
            Command::RaiseShares { changes } => {
                for (budget, session, units, share_version) in changes {
                    if self.matches_definition(session, &budget)
                        && let Some(shares) = self.budgets.get_mut(&budget)
                        && shares.raise_share(session, units, share_version)
                    {
                        self.bump_shares_version(session);
                    }
                }
                Effect::Done
            }
            Command::LowerShare {
                session,
                budget,
                units,
                share_version,
            } => {
                let shares = self.budgets.get_mut(&budget);
                if shares.is_some_and(|shares| shares.lower_share(session, units, share_version)) {
                    self.bump_shares_version(session);
                }
                Effect::Done
            }
            Command::ReleaseStranded { stranded } => {
                for (budget, number) in stranded {
                    if let Some(shares) = self.budgets.get_mut(&budget) {
                        shares.release_stranded(number);
                    }
                }
                self.drop_unused();
                Effect::Done
            }
            Command::DeclareMemberLost { name } => {
                if self.session_by_name(&name).is_some() {
                    return Effect::Refused("it has a session");
                }
                self.budgets
                    .values_mut()
                    .for_each(|shares| shares.mark_member_gone(&name));
                self.work.stop_serving(&name);
                Effect::Done
            }
            Command::CloseSessions {
                sessions,
                avoided_sessions,
            } => {
                for id in &sessions {
                    self.close_session(*id, None);
                }
                self.reassign_duties(&sessions, &avoided_sessions);
                self.drop_unused();
                Effect::Done
            }
            Command::ReleaseDuty {
                session,
                duty,
                fence,
                preferred_holder,
            } => {
                let Some(duty_state) = self.duties.get_mut(&duty) else {
                    return Effect::Done;
                };
                // A repeated or late request: the duty has been assigned to another session since.
                if duty_state.holder != Some((session, fence)) {
                    return Effect::Done;
                }
                (duty_state.holder, duty_state.requested_handoff) = (None, None);
                self.assign_duty(&duty, preferred_holder.as_deref(), &[session]);
                Effect::Done
            }
            Command::HandOffDuty {
                duty,
                preferred_holder,
            } => {
                let target = preferred_holder.as_deref();
                let is_candidate = |session: &Session| {
                    session.wanted_duties.contains(&duty)
                        && target.is_none_or(|target| session.name == target)
                };
                let has_candidate = self.sessions.values().any(is_candidate);
                match self.duties.get_mut(&duty) {
                    None => Effect::Refused("there is no such duty"),
                    Some(_) if !has_candidate => {
                        Effect::Refused("no live member of that name has this duty")
                    }
                    Some(duty_state) => {
                        let holder = duty_state.holder.and_then(|(id, _)| self.sessions.get(&id));
                        let is_already_there = holder.is_some_and(|session| {
                            Some(&session.name) == preferred_holder.as_ref()
                        });
                        if !is_already_there && holder.is_some() {
                            duty_state.requested_handoff = Some(preferred_holder);
                        }
                        Effect::Done
                    }
                }
            }
            Command::BlockMember { name } => {
                if self.blocked_members.len() >= StateLimits::MAX_BLOCKED_MEMBERS
                    && !self.blocked_members.contains(&name)
                {
                    return Effect::Refused("too many members are out");
                }
                self.blocked_members.insert(name);
                Effect::Done
            }
            Command::UnblockMember { name } => {
                self.blocked_members.remove(&name);
                Effect::Done
            }
            Command::StartServing { session } => {
                if let Some(session_state) = self.sessions.get(&session) {
                    self.work.start_serving(session_state.name.clone(), session);
                }
                Effect::Done
            }
            Command::StopServing { session } => {
                if let Some(session_state) = self.sessions.get(&session) {
                    self.work.stop_serving(&session_state.name);
                }
                Effect::Done
            }
            Command::ChangeWorkOrders {
                changes,
                coordinator,
                roster_version,
            } => {
                // A coordinator that stalled before it sent a step may have been replaced by now.
                let holder = self.duties.get(WORK_DUTY).and_then(|duty| duty.holder);
                if coordinator.is_some() && coordinator != holder {
                    return Effect::WorkRefused("another conducts".into());
                }
                let is_allowed = |change: &WorkOrderChange| match change {
                    WorkOrderChange::SetMachines(_) => coordinator.is_some(),
                    WorkOrderChange::Step { fence, .. } => {
                        *fence == coordinator.map(|(_, fence)| fence)
                    }
                    WorkOrderChange::AddOrder(_)
                    | WorkOrderChange::SetPaused(..)
                    | WorkOrderChange::Cancel(_) => coordinator.is_none(),
                };
                for change in changes {
                    if !is_allowed(&change) {
                        return Effect::WorkRefused("not by whoever conducts".into());
                    }
                    if let Err(why) = self.work.apply(change, roster_version) {
                        return Effect::WorkRefused(why.to_string());
                    }
                }
                Effect::Done
            }
        }
    }

    /// Begins a session, replacing the earlier one of the same process.
    fn join(&mut self, request: JoinRequest) -> Effect {
        let JoinRequest {
            name,
            nonce,
            wanted_duties,
            replaced_session,
            incarnation,
            last_seen_number,
            weight,
            budgets,
            units_in_use,
        } = request;
        if self.blocked_members.contains(&name) {
            return Effect::Refused("put out by operators");
        }
        let is_too_long = |name: &Name| name.len() > StateLimits::MAX_NAME_BYTES;
        if is_too_long(&name)
            || wanted_duties.iter().any(is_too_long)
            || budgets
                .iter()
                .any(|definition| is_too_long(&definition.name))
        {
            return Effect::Refused("a name is too long");
        }
        if budgets
            .iter()
            .any(|definition| definition.validate().is_err())
        {
            return Effect::Refused(
                "a budget's floors are more than its whole, or it has no window",
            );
        }
        match self.session_by_name(&name) {
            Some((id, session)) if session.nonce == nonce => return Effect::Joined(id),
            _ if last_seen_number < self.required_last_seen_number(&name) => {
                return Effect::JoinOutdated(self.required_last_seen_number(&name));
            }
            Some((id, _)) if replaced_session == Some(id) => {
                self.apply(Command::CloseSessions {
                    sessions: vec![id],
                    avoided_sessions: Vec::new(),
                });
            }
            Some(_) => return Effect::NameInUse,
            None => {}
        }
        if self.sessions.len() >= StateLimits::MAX_SESSIONS {
            return Effect::Refused("too many sessions");
        }
        let new_count = wanted_duties
            .iter()
            .filter(|duty| !self.duties.contains_key(*duty))
            .count();
        if self.duties.len() + new_count > StateLimits::MAX_DUTIES {
            return Effect::Refused("too many duties");
        }
        let new_count = budgets
            .iter()
            .filter(|definition| !self.budgets.contains_key(&definition.name))
            .count();
        if self.budgets.len() + new_count > StateLimits::MAX_BUDGETS {
            return Effect::Refused("too many budgets");
        }
        self.work.record_process_start(&name);
        self.last_number += 1;
        let id = self.last_number;
        let wanted_duties: BTreeSet<Name> = wanted_duties.into_iter().collect();
        for duty in &wanted_duties {
            self.duties.entry(duty.clone()).or_default();
        }
        for definition in &budgets {
            let shares = self.budgets.entry(definition.name.clone());
            shares
                .or_insert_with(|| BudgetShares::new(definition.clone()))
                .merge_definition(definition);
        }
        let members = self.sessions.len() as u64 + 1;
        for (budget, shares) in &mut self.budgets {
            shares.raise_max_members(members);
            let in_use = units_in_use.iter().find(|(name, _)| name == budget);
            shares.restore_share(
                id,
                (&name, incarnation),
                in_use.map_or(0, |(_, units)| *units),
            );
        }
        self.last_change_by_name.insert(name.clone(), id);
        let budgets_digest = digest_budgets(&budgets);
        let file = self
            .budget_files
            .entry(budgets_digest)
            .or_insert(BudgetFile {
                definitions: budgets,
                session_count: 0,
            });
        file.session_count += 1;
        let duties_to_assign = wanted_duties.clone();
        let session = Session {
            name,
            nonce,
            wanted_duties,
            incarnation,
            weight: weight.clamp(1, StateLimits::MAX_WEIGHT),
            budgets_digest,
            shares_version: 1,
        };
        self.sessions.insert(id, session);
        for duty in duties_to_assign {
            if self.duties[&duty].holder.is_none() {
                self.assign_duty(&duty, None, &[]);
            }
        }
        Effect::Joined(id)
    }

    /// The number that a request for a session of this name must have seen. A request from before the last session of
    /// that name began or ended may come from a process that is gone.
    pub fn required_last_seen_number(&self, name: &str) -> Number {
        self.last_change_by_name
            .get(name)
            .copied()
            .unwrap_or(self.max_dropped_change)
    }

    /// Records that the shares of a session have changed.
    fn bump_shares_version(&mut self, session: SessionId) {
        if let Some(session_state) = self.sessions.get_mut(&session) {
            session_state.shares_version += 1;
        }
    }

    /// Ends a session. Its shares are stranded; if the process has declared its usage, only the units in use.
    fn close_session(&mut self, id: SessionId, units_in_use: Option<&[(Name, u64)]>) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        if let Some(file) = self.budget_files.get_mut(&session.budgets_digest) {
            file.session_count -= 1;
        }
        self.last_number += 1;
        self.last_change_by_name
            .insert(session.name.clone(), self.last_number);
        if self.last_change_by_name.len() > 2 * StateLimits::MAX_SESSIONS {
            let oldest = self.last_change_by_name.iter().min_by_key(|(_, at)| **at);
            if let Some((name, at)) = oldest.map(|(name, at)| (name.clone(), *at)) {
                self.last_change_by_name.remove(&name);
                self.max_dropped_change = self.max_dropped_change.max(at);
            }
        }
        for (name, shares) in &mut self.budgets {
            let units_of_budget = |units_in_use: &[(Name, u64)]| {
                let in_use = units_in_use.iter().find(|(budget, _)| budget == name);
                in_use.map_or(0, |(_, units)| *units)
            };
            self.last_number += 1;
            shares.strand_share(
                id,
                (&session.name, session.incarnation),
                units_in_use.map(units_of_budget),
                self.last_number,
            );
        }
    }

    /// Takes all duties of the sessions, and assigns each to another session if there is a candidate.
    fn reassign_duties(&mut self, sessions: &[SessionId], avoided_sessions: &[SessionId]) {
        let mut freed = Vec::new();
        for (name, duty) in &mut self.duties {
            if duty
                .holder
                .is_some_and(|(holder, _)| sessions.contains(&holder))
            {
                duty.holder = None;
                let preferred_holder = duty.requested_handoff.take().flatten();
                freed.push((name.clone(), preferred_holder));
            }
        }
        for (duty, preferred_holder) in freed {
            self.assign_duty(&duty, preferred_holder.as_deref(), avoided_sessions);
        }
    }

    /// Assigns a free duty to the preferred holder, else to the candidate that holds the fewest duties, and among those
    /// to the oldest session. Sessions in `avoided_sessions` come last.
    fn assign_duty(
        &mut self,
        duty: &str,
        preferred_holder: Option<&str>,
        avoided_sessions: &[SessionId],
    ) {
        let held_count = |id: SessionId| {
            let is_held = |duty: &&Duty| duty.holder.is_some_and(|(holder, _)| holder == id);
            self.duties.values().filter(is_held).count()
        };
        let candidates = self
            .sessions
            .iter()
            .filter(|(_, session)| session.wanted_duties.contains(duty));
        let best = candidates.min_by_key(|(id, session)| {
            let is_preferred = preferred_holder.is_some_and(|name| session.name == name);
            (
                !is_preferred,
                avoided_sessions.contains(id),
                held_count(**id),
                **id,
            )
        });
        let Some(holder) = best.map(|(id, _)| *id) else {
            return;
        };
        self.last_number += 1;
        let fence = self.last_number;
        if let Some(duty) = self.duties.get_mut(duty) {
            duty.holder = Some((holder, fence));
        }
    }

    /// Drops duties that no session holds or wants, and idle budgets that no session defines. Numbers are never reused,
    /// so a duty or budget that is added again later does not collide with the dropped one.
    fn drop_unused(&mut self) {
        let sessions = &self.sessions;
        self.duties.retain(|name, duty| {
            duty.holder.is_some()
                || sessions
                    .values()
                    .any(|session| session.wanted_duties.contains(name))
        });
        self.budget_files.retain(|_, file| file.session_count > 0);
        let budget_files = &self.budget_files;
        self.budgets.retain(|name, shares| {
            let defines = |file: &BudgetFile| {
                file.definitions
                    .iter()
                    .any(|definition| definition.name == *name)
            };
            !shares.is_idle() || budget_files.values().any(defines)
        });
    }
}

/// The fields of [`Command::Join`].
struct JoinRequest {
    name: Name,
    nonce: Number,
    wanted_duties: Vec<Name>,
    replaced_session: Option<SessionId>,
    incarnation: Number,
    last_seen_number: Number,
    weight: u64,
    budgets: Vec<BudgetDefinition>,
    units_in_use: Vec<(Name, u64)>,
}

/// The FNV-1a hash of the encoded budget definitions. It is part of the replicated state, so it must not depend on how
/// the program was built.
fn digest_budgets(definitions: &[BudgetDefinition]) -> u64 {
    let bytes = encode(BASE_VERSION, &definitions);
    let fold = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, fold)
}

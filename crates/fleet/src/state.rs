//! What the log settles: sessions, and who holds which duty. The same commands in the same order make the same
//! state at every member.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use violetwind_workorders::WorkOrderChange;

use crate::budget::{BudgetDefinition, BudgetShares, Share};
use crate::limits::StateLimits;
use crate::messages::{Name, Number, SessionId};
use crate::work_orders::{WORK_DUTY, WorkState};

/// The first byte of every command and snapshot: the oldest version that has all of it, so that members of
/// the first go on reading for as long as there is no work.
const VERSION: u8 = 1;
/// Orders for work.
const WORK: u8 = 2;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    Join {
        name: Name,
        nonce: Number,
        wanted_duties: Vec<Name>,
        replaced_session: Option<SessionId>,
        incarnation: Number,
        last_seen_number: Number,
        /// Of what is divided it gets so much more than one of weight 1.
        weight: u64,
        budgets: Vec<BudgetDefinition>,
        /// In use beyond floors of what this process had before.
        units_in_use: Vec<(Name, u64)>,
    },
    /// The session of a process that ends: it is given no duty any more, and what it has goes to others.
    BeginLeave {
        session: SessionId,
    },
    /// A process has stopped all; `uses` is what is still in use of its shares.
    Leave {
        session: SessionId,
        units_in_use: Vec<(Name, u64)>,
    },
    /// Shares that grow: budget, session, units, and the version that it stands on.
    RaiseShares {
        changes: Vec<(Name, SessionId, u64, u64)>,
    },
    /// The session's member has stopped using more than this.
    LowerShare {
        session: SessionId,
        budget: Name,
        units: u64,
        share_version: u64,
    },
    /// Stranded units that are not in use any more.
    ReleaseStranded {
        stranded: Vec<(Name, Number)>,
    },
    /// The machine of a member is gone, and its connections with it.
    DeclareMemberLost {
        name: Name,
    },
    /// Ends sessions: given up by their own processes, or leases that a leader has counted to their end.
    /// Duties do not go to those in `avoid`, which are silent, if there is anybody else.
    CloseSessions {
        sessions: Vec<SessionId>,
        avoided_sessions: Vec<SessionId>,
    },
    /// The holder itself has stopped.
    ReleaseDuty {
        session: SessionId,
        duty: Name,
        fence: Number,
        preferred_holder: Option<Name>,
    },
    /// The holder is to be asked to stop.
    HandOffDuty {
        duty: Name,
        preferred_holder: Option<Name>,
    },
    /// Sessions of this name are not renewed, and no new one begins.
    BlockMember {
        name: Name,
    },
    UnblockMember {
        name: Name,
    },
    /// The session's proxy goes by the list of what is out from now on, and has to confirm.
    StartServing {
        session: SessionId,
    },
    /// The session's proxy serves nobody any more.
    StopServing {
        session: SessionId,
    },
    /// Changes of the orders for work, by staff or by whoever conducts with that fencing number; `roster` is who had to
    /// confirm them.
    ChangeWorkOrders {
        changes: Vec<WorkOrderChange>,
        coordinator: Option<(SessionId, Number)>,
        roster_version: Number,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Done,
    Joined(SessionId),
    /// A word from before the last session of that name, said by a process that may be gone.
    JoinOutdated(Number),
    /// Another session of that name has to end first.
    NameInUse,
    Refused(&'static str),
    /// What stands against a change of orders.
    WorkRefused(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    pub name: Name,
    pub nonce: Number,
    pub wanted_duties: BTreeSet<Name>,
    pub incarnation: Number,
    pub weight: u64,
    /// Of its budgets.
    file: u64,
    /// Grows with each change of its shares.
    pub shares_version: u64,
}

/// The budgets as some members' files have them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct File {
    defs: Vec<BudgetDefinition>,
    sessions: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    pub holder: Option<(SessionId, Number)>,
    /// Operators want it handed on, to somebody or to anybody.
    pub requested_handoff: Option<Option<Name>>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The last number given, to a session or a holding.
    last: Number,
    sessions: BTreeMap<SessionId, Session>,
    duties: BTreeMap<Name, Duty>,
    barred: BTreeSet<Name>,
    budgets: BTreeMap<Name, BudgetShares>,
    files: BTreeMap<u64, File>,
    /// The last number when a session of a name last began or ended; the largest of those forgotten.
    changed: BTreeMap<Name, Number>,
    forgotten: Number,
    /// Behind the rest in a snapshot, where there is any.
    #[serde(skip)]
    work: WorkState,
}

fn encode<T: Serialize>(version: u8, what: &T) -> Vec<u8> {
    postcard::to_extend(what, vec![version]).expect("plain data can be written")
}

/// The version, the value, and what is behind it.
fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<(u8, T, &[u8]), String> {
    match bytes.split_first() {
        Some((version @ (&VERSION | &WORK), rest)) => {
            let (what, rest) =
                postcard::take_from_bytes(rest).map_err(|error| error.to_string())?;
            Ok((*version, what, rest))
        }
        Some((version, _)) => Err(format!("version {version}, and this program knows {WORK}")),
        None => Err("empty".into()),
    }
}

impl Command {
    pub fn encode(&self) -> Vec<u8> {
        let work = matches!(
            self,
            Self::StartServing { .. } | Self::StopServing { .. } | Self::ChangeWorkOrders { .. }
        );
        encode(if work { WORK } else { VERSION }, self)
    }

    /// # Errors
    /// Another version, or no command at all.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        decode(bytes).map(|(_, command, _)| command)
    }
}

impl State {
    pub fn encode(&self) -> Vec<u8> {
        match self.work.is_new() {
            true => encode(VERSION, self),
            false => {
                let bytes = encode(WORK, self);
                postcard::to_extend(&self.work, bytes).expect("plain data can be written")
            }
        }
    }

    /// # Errors
    /// Another version, or no state at all.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        let (version, mut state, rest): (u8, Self, _) = decode(bytes)?;
        if version == WORK {
            state.work = postcard::from_bytes(rest).map_err(|error| error.to_string())?;
        }
        Ok(state)
    }

    /// Orders for work on machines.
    pub fn work(&self) -> &WorkState {
        &self.work
    }

    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    pub fn duties(&self) -> &BTreeMap<Name, Duty> {
        &self.duties
    }

    pub fn budgets(&self) -> &BTreeMap<Name, BudgetShares> {
        &self.budgets
    }

    /// The shares of a session, and the version of the list.
    pub fn shares(&self, session: SessionId) -> (u64, Vec<(Name, Share)>) {
        let version = self
            .sessions
            .get(&session)
            .map_or(0, |known| known.shares_version);
        let shares = self
            .budgets
            .iter()
            .filter_map(|(name, budget)| Some((name.clone(), *budget.shares().get(&session)?)));
        (version, shares.collect())
    }

    /// Whether a session counts a budget the way that is in force.
    pub fn matches_definition(&self, session: SessionId, budget: &str) -> bool {
        let file = self
            .sessions
            .get(&session)
            .and_then(|known| self.files.get(&known.file));
        let own = file.and_then(|file| file.defs.iter().find(|def| def.name == budget));
        let in_force = self.budgets.get(budget).map(BudgetShares::definition);
        own.zip(in_force).is_some_and(|(own, in_force)| {
            (own.kind, own.window) == (in_force.kind, in_force.window)
        })
    }

    pub fn blocked_members(&self) -> &BTreeSet<Name> {
        &self.barred
    }

    pub fn session_by_name(&self, name: &str) -> Option<(SessionId, &Session)> {
        let mut of = self
            .sessions
            .iter()
            .filter(|(_, session)| session.name == name);
        of.next().map(|(id, session)| (*id, session))
    }

    /// The duties of a session with their fencing numbers.
    pub fn held_duties(&self, session: SessionId) -> Vec<(Name, Number)> {
        let held = self.duties.iter().filter_map(|(name, duty)| {
            let (holder, fence) = duty.holder?;
            (holder == session).then(|| (name.clone(), fence))
        });
        held.collect()
    }

    /// The duties that a session is to give up, and for whom.
    pub fn duties_to_release(&self, session: SessionId) -> Vec<(Name, Option<Name>)> {
        let asked = self.duties.iter().filter_map(|(name, duty)| {
            let (holder, _) = duty.holder?;
            (holder == session).then_some((name.clone(), duty.requested_handoff.clone()?))
        });
        asked.collect()
    }

    pub fn apply(&mut self, command: Command) -> Effect {
        match command {
            Command::Join {
                name,
                nonce,
                wanted_duties: wants,
                replaced_session: replaces,
                incarnation: process,
                last_seen_number: seen,
                weight,
                budgets,
                units_in_use: uses,
            } => self.join(Wanted {
                name,
                nonce,
                wants,
                replaces,
                process,
                seen,
                weight,
                budgets,
                uses,
            }),
            Command::BeginLeave { session } => {
                if let Some(known) = self.sessions.get_mut(&session) {
                    known.wanted_duties.clear();
                }
                self.free_duties(&[session], &[]);
                Effect::Done
            }
            Command::Leave {
                session,
                units_in_use: uses,
            } => {
                self.end(session, Some(&uses));
                self.free_duties(&[session], &[]);
                self.forget();
                Effect::Done
            }
            Command::RaiseShares { changes } => {
                for (budget, session, to, version) in changes {
                    if self.matches_definition(session, &budget)
                        && let Some(shares) = self.budgets.get_mut(&budget)
                        && shares.raise_share(session, to, version)
                    {
                        self.changed(session);
                    }
                }
                Effect::Done
            }
            Command::LowerShare {
                session,
                budget,
                units: to,
                share_version: version,
            } => {
                let shares = self.budgets.get_mut(&budget);
                if shares.is_some_and(|shares| shares.lower_share(session, to, version)) {
                    self.changed(session);
                }
                Effect::Done
            }
            Command::ReleaseStranded { stranded } => {
                for (budget, number) in stranded {
                    if let Some(shares) = self.budgets.get_mut(&budget) {
                        shares.release_stranded(number);
                    }
                }
                self.forget();
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
                avoided_sessions: avoid,
            } => {
                for id in &sessions {
                    self.end(*id, None);
                }
                self.free_duties(&sessions, &avoid);
                self.forget();
                Effect::Done
            }
            Command::ReleaseDuty {
                session,
                duty,
                fence,
                preferred_holder: to,
            } => {
                let Some(known) = self.duties.get_mut(&duty) else {
                    return Effect::Done;
                };
                // Said twice, or late: it has been given to another since.
                if known.holder != Some((session, fence)) {
                    return Effect::Done;
                }
                (known.holder, known.requested_handoff) = (None, None);
                self.assign(&duty, to.as_deref(), &[session]);
                Effect::Done
            }
            Command::HandOffDuty {
                duty,
                preferred_holder: to,
            } => {
                let wanted = to.as_deref();
                let able = |session: &Session| {
                    session.wanted_duties.contains(&duty)
                        && wanted.is_none_or(|to| session.name == to)
                };
                let able = self.sessions.values().any(able);
                match self.duties.get_mut(&duty) {
                    None => Effect::Refused("there is no such duty"),
                    Some(_) if !able => {
                        Effect::Refused("no live member of that name has this duty")
                    }
                    Some(known) => {
                        let holder = known.holder.and_then(|(id, _)| self.sessions.get(&id));
                        let stays =
                            holder.is_some_and(|session| Some(&session.name) == to.as_ref());
                        if !stays && holder.is_some() {
                            known.requested_handoff = Some(to);
                        }
                        Effect::Done
                    }
                }
            }
            Command::BlockMember { name } => {
                if self.barred.len() >= StateLimits::MAX_BLOCKED_MEMBERS
                    && !self.barred.contains(&name)
                {
                    return Effect::Refused("too many members are out");
                }
                self.barred.insert(name);
                Effect::Done
            }
            Command::UnblockMember { name } => {
                self.barred.remove(&name);
                Effect::Done
            }
            Command::StartServing { session } => {
                if let Some(known) = self.sessions.get(&session) {
                    self.work.start_serving(known.name.clone(), session);
                }
                Effect::Done
            }
            Command::StopServing { session } => {
                if let Some(known) = self.sessions.get(&session) {
                    self.work.stop_serving(&known.name);
                }
                Effect::Done
            }
            Command::ChangeWorkOrders {
                changes,
                coordinator: by,
                roster_version: roster,
            } => {
                // A conductor that was stopped with a step in hand has a successor by now.
                let holder = self.duties.get(WORK_DUTY).and_then(|duty| duty.holder);
                if by.is_some() && by != holder {
                    return Effect::WorkRefused("another conducts".into());
                }
                let conducts = |change: &WorkOrderChange| match change {
                    WorkOrderChange::SetMachines(_) => by.is_some(),
                    WorkOrderChange::Step { fence, .. } => *fence == by.map(|(_, fence)| fence),
                    WorkOrderChange::AddOrder(_)
                    | WorkOrderChange::SetPaused(..)
                    | WorkOrderChange::Cancel(_) => by.is_none(),
                };
                for change in changes {
                    if !conducts(&change) {
                        return Effect::WorkRefused("not by whoever conducts".into());
                    }
                    if let Err(why) = self.work.apply(change, roster) {
                        return Effect::WorkRefused(why.to_string());
                    }
                }
                Effect::Done
            }
        }
    }

    fn join(&mut self, wanted: Wanted) -> Effect {
        let Wanted {
            name,
            nonce,
            wants,
            replaces,
            process,
            seen,
            weight,
            budgets,
            uses,
        } = wanted;
        if self.barred.contains(&name) {
            return Effect::Refused("put out by operators");
        }
        let long = |name: &Name| name.len() > StateLimits::MAX_NAME_BYTES;
        if long(&name) || wants.iter().any(long) || budgets.iter().any(|def| long(&def.name)) {
            return Effect::Refused("a name is too long");
        }
        if budgets.iter().any(|def| def.validate().is_err()) {
            return Effect::Refused(
                "a budget's floors are more than its whole, or it has no window",
            );
        }
        match self.session_by_name(&name) {
            Some((id, session)) if session.nonce == nonce => return Effect::Joined(id),
            _ if seen < self.required_last_seen_number(&name) => {
                return Effect::JoinOutdated(self.required_last_seen_number(&name));
            }
            Some((id, _)) if replaces == Some(id) => {
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
        let new = wants
            .iter()
            .filter(|duty| !self.duties.contains_key(*duty))
            .count();
        if self.duties.len() + new > StateLimits::MAX_DUTIES {
            return Effect::Refused("too many duties");
        }
        let new = budgets
            .iter()
            .filter(|def| !self.budgets.contains_key(&def.name))
            .count();
        if self.budgets.len() + new > StateLimits::MAX_BUDGETS {
            return Effect::Refused("too many budgets");
        }
        self.work.record_process_start(&name);
        self.last += 1;
        let id = self.last;
        let wants: BTreeSet<Name> = wants.into_iter().collect();
        for duty in &wants {
            self.duties.entry(duty.clone()).or_default();
        }
        for def in &budgets {
            let shares = self.budgets.entry(def.name.clone());
            shares
                .or_insert_with(|| BudgetShares::new(def.clone()))
                .merge_definition(def);
        }
        let members = self.sessions.len() as u64 + 1;
        for (budget, shares) in &mut self.budgets {
            shares.raise_max_members(members);
            let of = uses.iter().find(|(name, _)| name == budget);
            shares.restore_share(id, (&name, process), of.map_or(0, |(_, uses)| *uses));
        }
        self.changed.insert(name.clone(), id);
        let file = digest(&budgets);
        let known = self.files.entry(file).or_insert(File {
            defs: budgets,
            sessions: 0,
        });
        known.sessions += 1;
        let wanted = wants.clone();
        let session = Session {
            name,
            nonce,
            wanted_duties: wants,
            incarnation: process,
            weight: weight.clamp(1, StateLimits::MAX_WEIGHT),
            file,
            shares_version: 1,
        };
        self.sessions.insert(id, session);
        for duty in wanted {
            if self.duties[&duty].holder.is_none() {
                self.assign(&duty, None, &[]);
            }
        }
        Effect::Joined(id)
    }

    /// What a process must have seen to have a session of this name: what was said before the last one began or
    /// ended may have been said by a process that is gone.
    pub fn required_last_seen_number(&self, name: &str) -> Number {
        self.changed.get(name).copied().unwrap_or(self.forgotten)
    }

    fn changed(&mut self, session: SessionId) {
        if let Some(known) = self.sessions.get_mut(&session) {
            known.shares_version += 1;
        }
    }

    /// A session is over; its shares are stranded, or what it says is still in use of them.
    fn end(&mut self, id: SessionId, uses: Option<&[(Name, u64)]>) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        if let Some(file) = self.files.get_mut(&session.file) {
            file.sessions -= 1;
        }
        self.last += 1;
        self.changed.insert(session.name.clone(), self.last);
        if self.changed.len() > 2 * StateLimits::MAX_SESSIONS {
            let oldest = self.changed.iter().min_by_key(|(_, at)| **at);
            if let Some((name, at)) = oldest.map(|(name, at)| (name.clone(), *at)) {
                self.changed.remove(&name);
                self.forgotten = self.forgotten.max(at);
            }
        }
        for (name, shares) in &mut self.budgets {
            let of = |uses: &[(Name, u64)]| {
                let of = uses.iter().find(|(budget, _)| budget == name);
                of.map_or(0, |(_, uses)| *uses)
            };
            self.last += 1;
            shares.strand_share(
                id,
                (&session.name, session.incarnation),
                uses.map(of),
                self.last,
            );
        }
    }

    fn free_duties(&mut self, sessions: &[SessionId], avoid: &[SessionId]) {
        let mut free = Vec::new();
        for (name, duty) in &mut self.duties {
            if duty
                .holder
                .is_some_and(|(holder, _)| sessions.contains(&holder))
            {
                duty.holder = None;
                let to = duty.requested_handoff.take().flatten();
                free.push((name.clone(), to));
            }
        }
        for (duty, to) in free {
            self.assign(&duty, to.as_deref(), avoid);
        }
    }

    /// Gives a free duty to whom operators want, else to whoever wants it and holds the fewest, the oldest
    /// session among those. Those in `avoid` come last.
    fn assign(&mut self, duty: &str, to: Option<&str>, avoid: &[SessionId]) {
        let count = |id: SessionId| {
            let holds = |duty: &&Duty| duty.holder.is_some_and(|(holder, _)| holder == id);
            self.duties.values().filter(holds).count()
        };
        let able = self
            .sessions
            .iter()
            .filter(|(_, session)| session.wanted_duties.contains(duty));
        let best = able.min_by_key(|(id, session)| {
            let wanted = to.is_some_and(|to| session.name == to);
            (!wanted, avoid.contains(id), count(**id), **id)
        });
        let Some(holder) = best.map(|(id, _)| *id) else {
            return;
        };
        self.last += 1;
        let fence = self.last;
        if let Some(duty) = self.duties.get_mut(duty) {
            duty.holder = Some((holder, fence));
        }
    }

    /// Drops duties and budgets that nobody has any more and that nothing is out of; numbers never begin again, so nothing is lost by it.
    fn forget(&mut self) {
        let sessions = &self.sessions;
        self.duties.retain(|name, duty| {
            duty.holder.is_some()
                || sessions
                    .values()
                    .any(|session| session.wanted_duties.contains(name))
        });
        self.files.retain(|_, file| file.sessions > 0);
        let files = &self.files;
        self.budgets.retain(|name, shares| {
            let known = |file: &File| file.defs.iter().any(|def| def.name == *name);
            !shares.is_idle() || files.values().any(known)
        });
    }
}

struct Wanted {
    name: Name,
    nonce: Number,
    wants: Vec<Name>,
    replaces: Option<SessionId>,
    process: Number,
    seen: Number,
    weight: u64,
    budgets: Vec<BudgetDefinition>,
    uses: Vec<(Name, u64)>,
}

/// Tells files apart; the same at every member, whatever its program was built with.
fn digest(defs: &[BudgetDefinition]) -> u64 {
    let bytes = encode(VERSION, &defs);
    let fold = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, fold)
}

//! What the log settles: sessions, and who holds which duty. The same commands in the same order make the same
//! state at every member.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use violetwind_workorders::Change;

use crate::budget::{Def, Share, Shares};
use crate::limits::Caps;
use crate::words::{Name, Number, SessionId};
use crate::work::{DUTY, Work};

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
        wants: Vec<Name>,
        replaces: Option<SessionId>,
        process: Number,
        seen: Number,
        /// Of what is divided it gets so much more than one of weight 1.
        weight: u64,
        budgets: Vec<Def>,
        /// In use beyond floors of what this process had before.
        uses: Vec<(Name, u64)>,
    },
    /// The session of a process that ends: it is given no duty any more, and what it has goes to others.
    Retire {
        session: SessionId,
    },
    /// A process has stopped all; `uses` is what is still in use of its shares.
    Leave {
        session: SessionId,
        uses: Vec<(Name, u64)>,
    },
    /// Shares that grow: budget, session, units, and the version that it stands on.
    Raise {
        changes: Vec<(Name, SessionId, u64, u64)>,
    },
    /// The session's member has stopped using more than this.
    Lower {
        session: SessionId,
        budget: Name,
        to: u64,
        version: u64,
    },
    /// Stranded units that are not in use any more.
    Free {
        stranded: Vec<(Name, Number)>,
    },
    /// The machine of a member is gone, and its connections with it.
    Gone {
        name: Name,
    },
    /// Ends sessions: given up by their own processes, or leases that a leader has counted to their end.
    /// Duties do not go to those in `avoid`, which are silent, if there is anybody else.
    Close {
        sessions: Vec<SessionId>,
        avoid: Vec<SessionId>,
    },
    /// The holder itself has stopped.
    Release {
        session: SessionId,
        duty: Name,
        fence: Number,
        to: Option<Name>,
    },
    /// The holder is to be asked to stop.
    HandOn {
        duty: Name,
        to: Option<Name>,
    },
    /// Sessions of this name are not renewed, and no new one begins.
    Bar {
        name: Name,
    },
    Unbar {
        name: Name,
    },
    /// The session's proxy goes by the list of what is out from now on, and has to confirm.
    Serve {
        session: SessionId,
    },
    /// The session's proxy serves nobody any more.
    Off {
        session: SessionId,
    },
    /// Changes of the orders for work, by staff or by whoever conducts with that fencing number; `roster` is who had to
    /// confirm them.
    Work {
        changes: Vec<Change>,
        by: Option<(SessionId, Number)>,
        roster: Number,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Done,
    Joined(SessionId),
    /// A word from before the last session of that name, said by a process that may be gone.
    Unseen(Number),
    /// Another session of that name has to end first.
    NameInUse,
    Refused(&'static str),
    /// What stands against a change of orders.
    Against(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    pub name: Name,
    pub nonce: Number,
    pub wants: BTreeSet<Name>,
    pub process: Number,
    pub weight: u64,
    /// Of its budgets.
    file: u64,
    /// Grows with each change of its shares.
    pub shares: u64,
}

/// The budgets as some members' files have them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct File {
    defs: Vec<Def>,
    sessions: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    pub holder: Option<(SessionId, Number)>,
    /// Operators want it handed on, to somebody or to anybody.
    pub asked: Option<Option<Name>>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The last number given, to a session or a holding.
    last: Number,
    sessions: BTreeMap<SessionId, Session>,
    duties: BTreeMap<Name, Duty>,
    barred: BTreeSet<Name>,
    budgets: BTreeMap<Name, Shares>,
    files: BTreeMap<u64, File>,
    /// The last number when a session of a name last began or ended; the largest of those forgotten.
    changed: BTreeMap<Name, Number>,
    forgotten: Number,
    /// Behind the rest in a snapshot, where there is any.
    #[serde(skip)]
    work: Work,
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
            Self::Serve { .. } | Self::Off { .. } | Self::Work { .. }
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
    pub fn work(&self) -> &Work {
        &self.work
    }

    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    pub fn duties(&self) -> &BTreeMap<Name, Duty> {
        &self.duties
    }

    pub fn budgets(&self) -> &BTreeMap<Name, Shares> {
        &self.budgets
    }

    /// The shares of a session, and the version of the list.
    pub fn shares(&self, session: SessionId) -> (u64, Vec<(Name, Share)>) {
        let version = self.sessions.get(&session).map_or(0, |known| known.shares);
        let shares = self
            .budgets
            .iter()
            .filter_map(|(name, budget)| Some((name.clone(), *budget.shares().get(&session)?)));
        (version, shares.collect())
    }

    /// Whether a session counts a budget the way that is in force.
    pub fn fits(&self, session: SessionId, budget: &str) -> bool {
        let file = self
            .sessions
            .get(&session)
            .and_then(|known| self.files.get(&known.file));
        let own = file.and_then(|file| file.defs.iter().find(|def| def.name == budget));
        let in_force = self.budgets.get(budget).map(Shares::def);
        own.zip(in_force).is_some_and(|(own, in_force)| {
            (own.kind, own.window) == (in_force.kind, in_force.window)
        })
    }

    pub fn barred(&self) -> &BTreeSet<Name> {
        &self.barred
    }

    pub fn session_of(&self, name: &str) -> Option<(SessionId, &Session)> {
        let mut of = self
            .sessions
            .iter()
            .filter(|(_, session)| session.name == name);
        of.next().map(|(id, session)| (*id, session))
    }

    /// The duties of a session with their fencing numbers.
    pub fn held(&self, session: SessionId) -> Vec<(Name, Number)> {
        let held = self.duties.iter().filter_map(|(name, duty)| {
            let (holder, fence) = duty.holder?;
            (holder == session).then(|| (name.clone(), fence))
        });
        held.collect()
    }

    /// The duties that a session is to give up, and for whom.
    pub fn give_up(&self, session: SessionId) -> Vec<(Name, Option<Name>)> {
        let asked = self.duties.iter().filter_map(|(name, duty)| {
            let (holder, _) = duty.holder?;
            (holder == session).then_some((name.clone(), duty.asked.clone()?))
        });
        asked.collect()
    }

    pub fn apply(&mut self, command: Command) -> Effect {
        match command {
            Command::Join {
                name,
                nonce,
                wants,
                replaces,
                process,
                seen,
                weight,
                budgets,
                uses,
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
            Command::Retire { session } => {
                if let Some(known) = self.sessions.get_mut(&session) {
                    known.wants.clear();
                }
                self.free_duties(&[session], &[]);
                Effect::Done
            }
            Command::Leave { session, uses } => {
                self.end(session, Some(&uses));
                self.free_duties(&[session], &[]);
                self.forget();
                Effect::Done
            }
            Command::Raise { changes } => {
                for (budget, session, to, version) in changes {
                    if self.fits(session, &budget)
                        && let Some(shares) = self.budgets.get_mut(&budget)
                        && shares.raise(session, to, version)
                    {
                        self.changed(session);
                    }
                }
                Effect::Done
            }
            Command::Lower {
                session,
                budget,
                to,
                version,
            } => {
                let shares = self.budgets.get_mut(&budget);
                if shares.is_some_and(|shares| shares.lower(session, to, version)) {
                    self.changed(session);
                }
                Effect::Done
            }
            Command::Free { stranded } => {
                for (budget, number) in stranded {
                    if let Some(shares) = self.budgets.get_mut(&budget) {
                        shares.release(number);
                    }
                }
                self.forget();
                Effect::Done
            }
            Command::Gone { name } => {
                if self.session_of(&name).is_some() {
                    return Effect::Refused("it has a session");
                }
                self.budgets
                    .values_mut()
                    .for_each(|shares| shares.gone(&name));
                self.work.serves_nobody(&name);
                Effect::Done
            }
            Command::Close { sessions, avoid } => {
                for id in &sessions {
                    self.end(*id, None);
                }
                self.free_duties(&sessions, &avoid);
                self.forget();
                Effect::Done
            }
            Command::Release {
                session,
                duty,
                fence,
                to,
            } => {
                let Some(known) = self.duties.get_mut(&duty) else {
                    return Effect::Done;
                };
                // Said twice, or late: it has been given to another since.
                if known.holder != Some((session, fence)) {
                    return Effect::Done;
                }
                (known.holder, known.asked) = (None, None);
                self.assign(&duty, to.as_deref(), &[session]);
                Effect::Done
            }
            Command::HandOn { duty, to } => {
                let wanted = to.as_deref();
                let able = |session: &Session| {
                    session.wants.contains(&duty) && wanted.is_none_or(|to| session.name == to)
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
                            known.asked = Some(to);
                        }
                        Effect::Done
                    }
                }
            }
            Command::Bar { name } => {
                if self.barred.len() >= Caps::BARRED && !self.barred.contains(&name) {
                    return Effect::Refused("too many members are out");
                }
                self.barred.insert(name);
                Effect::Done
            }
            Command::Unbar { name } => {
                self.barred.remove(&name);
                Effect::Done
            }
            Command::Serve { session } => {
                if let Some(known) = self.sessions.get(&session) {
                    self.work.serves(known.name.clone(), session);
                }
                Effect::Done
            }
            Command::Off { session } => {
                if let Some(known) = self.sessions.get(&session) {
                    self.work.serves_nobody(&known.name);
                }
                Effect::Done
            }
            Command::Work {
                changes,
                by,
                roster,
            } => {
                // A conductor that was stopped with a step in hand has a successor by now.
                let holder = self.duties.get(DUTY).and_then(|duty| duty.holder);
                if by.is_some() && by != holder {
                    return Effect::Against("another conducts".into());
                }
                let conducts = |change: &Change| match change {
                    Change::Machines(_) => by.is_some(),
                    Change::Step { fence, .. } => *fence == by.map(|(_, fence)| fence),
                    Change::Plan(_) | Change::Pause(..) | Change::Cancel(_) => by.is_none(),
                };
                for change in changes {
                    if !conducts(&change) {
                        return Effect::Against("not by whoever conducts".into());
                    }
                    if let Err(why) = self.work.apply(change, roster) {
                        return Effect::Against(why.to_string());
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
        let long = |name: &Name| name.len() > Caps::NAME;
        if long(&name) || wants.iter().any(long) || budgets.iter().any(|def| long(&def.name)) {
            return Effect::Refused("a name is too long");
        }
        if budgets.iter().any(|def| def.check().is_err()) {
            return Effect::Refused(
                "a budget's floors are more than its whole, or it has no window",
            );
        }
        match self.session_of(&name) {
            Some((id, session)) if session.nonce == nonce => return Effect::Joined(id),
            _ if seen < self.unseen(&name) => return Effect::Unseen(self.unseen(&name)),
            Some((id, _)) if replaces == Some(id) => {
                self.apply(Command::Close {
                    sessions: vec![id],
                    avoid: Vec::new(),
                });
            }
            Some(_) => return Effect::NameInUse,
            None => {}
        }
        if self.sessions.len() >= Caps::SESSIONS {
            return Effect::Refused("too many sessions");
        }
        let new = wants
            .iter()
            .filter(|duty| !self.duties.contains_key(*duty))
            .count();
        if self.duties.len() + new > Caps::DUTIES {
            return Effect::Refused("too many duties");
        }
        let new = budgets
            .iter()
            .filter(|def| !self.budgets.contains_key(&def.name))
            .count();
        if self.budgets.len() + new > Caps::BUDGETS {
            return Effect::Refused("too many budgets");
        }
        self.work.begun(&name);
        self.last += 1;
        let id = self.last;
        let wants: BTreeSet<Name> = wants.into_iter().collect();
        for duty in &wants {
            self.duties.entry(duty.clone()).or_default();
        }
        for def in &budgets {
            let shares = self.budgets.entry(def.name.clone());
            shares
                .or_insert_with(|| Shares::new(def.clone()))
                .define(def);
        }
        let members = self.sessions.len() as u64 + 1;
        for (budget, shares) in &mut self.budgets {
            shares.peopled(members);
            let of = uses.iter().find(|(name, _)| name == budget);
            shares.rejoin(id, (&name, process), of.map_or(0, |(_, uses)| *uses));
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
            wants,
            process,
            weight: weight.clamp(1, Caps::WEIGHT),
            file,
            shares: 1,
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
    pub fn unseen(&self, name: &str) -> Number {
        self.changed.get(name).copied().unwrap_or(self.forgotten)
    }

    fn changed(&mut self, session: SessionId) {
        if let Some(known) = self.sessions.get_mut(&session) {
            known.shares += 1;
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
        if self.changed.len() > 2 * Caps::SESSIONS {
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
            shares.strand(
                id,
                (&session.name, session.process),
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
                let to = duty.asked.take().flatten();
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
            .filter(|(_, session)| session.wants.contains(duty));
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
                    .any(|session| session.wants.contains(name))
        });
        self.files.retain(|_, file| file.sessions > 0);
        let files = &self.files;
        self.budgets.retain(|name, shares| {
            let known = |file: &File| file.defs.iter().any(|def| def.name == *name);
            !shares.idle() || files.values().any(known)
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
    budgets: Vec<Def>,
    uses: Vec<(Name, u64)>,
}

/// Tells files apart; the same at every member, whatever its program was built with.
fn digest(defs: &[Def]) -> u64 {
    let bytes = encode(VERSION, &defs);
    let fold = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, fold)
}

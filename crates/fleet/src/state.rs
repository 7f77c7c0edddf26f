//! What the log settles: sessions, and who holds which duty. The same commands in the same order make the same
//! state at every member.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::limits::Caps;
use crate::words::{Name, Number, SessionId};

/// The first byte of every command and snapshot.
const VERSION: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    Join {
        name: Name,
        nonce: Number,
        wants: Vec<Name>,
        replaces: Option<SessionId>,
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
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Done,
    Joined(SessionId),
    /// Another session of that name has to end first.
    NameInUse,
    Refused(&'static str),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    pub name: Name,
    pub nonce: Number,
    pub wants: BTreeSet<Name>,
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
}

fn encode<T: Serialize>(what: &T) -> Vec<u8> {
    let bytes = vec![VERSION];
    postcard::to_extend(what, bytes).expect("plain data can be written")
}

fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, String> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => postcard::from_bytes(rest).map_err(|error| error.to_string()),
        Some((version, _)) => Err(format!(
            "version {version}, and this program knows {VERSION}"
        )),
        None => Err("empty".into()),
    }
}

impl Command {
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// # Errors
    /// Another version, or no command at all.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        decode(bytes)
    }
}

impl State {
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// # Errors
    /// Another version, or no state at all.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        decode(bytes)
    }

    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    pub fn duties(&self) -> &BTreeMap<Name, Duty> {
        &self.duties
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
            } => self.join(name, nonce, wants, replaces),
            Command::Close { sessions, avoid } => {
                for id in &sessions {
                    self.sessions.remove(id);
                }
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
                    self.assign(&duty, to.as_deref(), &avoid);
                }
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
        }
    }

    fn join(
        &mut self,
        name: Name,
        nonce: Number,
        wants: Vec<Name>,
        replaces: Option<SessionId>,
    ) -> Effect {
        if self.barred.contains(&name) {
            return Effect::Refused("put out by operators");
        }
        if name.len() > Caps::NAME || wants.iter().any(|duty| duty.len() > Caps::NAME) {
            return Effect::Refused("a name is too long");
        }
        match self.session_of(&name) {
            Some((id, session)) if session.nonce == nonce => return Effect::Joined(id),
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
        self.last += 1;
        let id = self.last;
        let wants: BTreeSet<Name> = wants.into_iter().collect();
        for duty in &wants {
            self.duties.entry(duty.clone()).or_default();
        }
        self.sessions.insert(
            id,
            Session {
                name,
                nonce,
                wants: wants.clone(),
            },
        );
        for duty in wants {
            if self.duties[&duty].holder.is_none() {
                self.assign(&duty, None, &[]);
            }
        }
        Effect::Joined(id)
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

    /// Drops duties that nobody wants any more; numbers never begin again, so nothing is lost by it.
    fn forget(&mut self) {
        let sessions = &self.sessions;
        self.duties.retain(|name, duty| {
            duty.holder.is_some()
                || sessions
                    .values()
                    .any(|session| session.wants.contains(name))
        });
    }
}

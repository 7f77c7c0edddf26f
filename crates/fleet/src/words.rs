//! What goes in and out, between members, and onto disk.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use violetwind_consensus::{Members, Message, Millis, NodeId, Term, Write};

use crate::events::Event;

/// Of a member or a duty.
pub type Name = String;
/// A session, or a holding: never given twice.
pub type Number = u64;
pub type SessionId = Number;

/// A frame between two members. Names of the sender stand in the link's first frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Peer {
    Form(Form),
    /// Between two directories: one that has come in the place of another is not spoken to.
    Log {
        from: NodeId,
        to: NodeId,
        message: Message,
    },
    Ask(Number, Ask),
    Told(Number, Told),
    /// Renew at once: there is news.
    Nudge,
}

/// Where a voter stands before there is a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Form {
    pub id: NodeId,
    /// The directories of the other voters, as it has heard of them.
    pub heard: BTreeMap<Name, NodeId>,
    /// The members that it has on disk as the first ones.
    pub agreed: Option<Members>,
    /// It has seen all of them agree.
    pub formed: bool,
}

/// What any member asks of the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// A session; `nonce` is new with each that is wanted. `replaces` is one of the same process, which has
    /// stopped all that it held by it.
    Join {
        nonce: Number,
        wants: Vec<Name>,
        replaces: Option<SessionId>,
    },
    Renew {
        session: SessionId,
    },
    /// The asker has stopped; `to` is whom operators want next.
    Release {
        session: SessionId,
        duty: Name,
        fence: Number,
        to: Option<Name>,
    },
    /// The asker has stopped all and goes.
    Leave {
        session: SessionId,
    },
    View,
    Order(Order),
}

/// What operators want of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    HandOn { duty: Name, to: Option<Name> },
    LetIn { node: Name },
    PutOut { node: Name },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Told {
    NotLeader(Option<Name>),
    /// Not now, for a reason that passes: ask again.
    Later(String),
    /// The lease counts from when this was asked; what is held is as the log had it at `at`.
    Joined {
        session: SessionId,
        at: u64,
        held: Vec<(Name, Number)>,
    },
    /// What the session holds, and what it is to give up for whom.
    Renewed {
        at: u64,
        held: Vec<(Name, Number)>,
        give_up: Vec<(Name, Option<Name>)>,
    },
    /// There is no such session.
    Gone,
    Done,
    Refused(String),
    View(View),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub node: Name,
    pub leader: Option<Name>,
    pub term: Term,
    pub commit: u64,
    /// Whether a majority of the voters has answered the leader lately.
    pub majority: bool,
    pub members: Vec<MemberView>,
    pub duties: Vec<DutyView>,
    /// Without a majority: what is wrong, as far as it is known here.
    pub why: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    pub node: Name,
    pub votes: bool,
    /// `live`, `silent`, `none` (no session), `stranger`, `out`.
    pub state: String,
    /// Since it was last heard by the leader.
    pub since_ms: Option<Millis>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyView {
    pub name: Name,
    pub holder: Option<Name>,
    pub fence: Option<Number>,
    /// Whether the process that tells holds it now.
    pub mine: bool,
}

/// One record of a member's directory, in the order in which they were written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The first members, as this voter agrees to them.
    Agreed(Members),
    /// The fleet is formed, or this directory was let into one.
    Formed,
    Write(Write),
}

/// What a member's directory holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    pub id: NodeId,
    pub agreed: Option<Members>,
    pub formed: bool,
    pub disk: violetwind_consensus::Disk,
}

impl Saved {
    pub fn new(id: NodeId) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    /// Puts a record over what is there.
    ///
    /// # Errors
    /// A record that does not follow from those before it.
    pub fn apply(&mut self, record: Record) -> Result<(), String> {
        match record {
            Record::Agreed(_) if self.agreed.is_some() => return Err("agreed twice".into()),
            Record::Agreed(members) => self.agreed = Some(members),
            Record::Formed => {
                self.formed = true;
                if let Some(members) = &self.agreed {
                    self.disk = violetwind_consensus::Disk::genesis(members.clone());
                }
            }
            Record::Write(write) => self.disk.apply(write)?,
        }
        Ok(())
    }
}

/// What operators and their programs call for at one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    View,
    Order(Order),
    /// A program that `token` names works on a duty while it is held here.
    Hold {
        duty: Name,
        token: Name,
    },
    /// That program has ended.
    Done {
        duty: Name,
        token: Name,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    View(View),
    Done,
    /// Held from before the call for so long, and not longer unless it is asked again.
    Held {
        fence: Number,
        left: Millis,
    },
    NotHeld(String),
    Refused(String),
}

#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    /// A link to a member is up; `id` is its directory's, where it has one.
    Met(Name, Option<NodeId>),
    Peer(Name, Peer),
    /// Records up to this number are on disk.
    Saved(Number),
    /// Answered by [`Output::Answer`] with the same number.
    Call(Number, Call),
    /// Hand everything on, then end: [`Output::Ended`].
    Quit,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send(Name, Peer),
    /// To be synced, in order; answered with [`Input::Saved`].
    Save(Number, Record),
    Answer(Number, Answer),
    Event(Event),
    Ended,
}

//! What goes in and out, between members, and onto disk.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use violetwind_consensus::{Members, Message, Millis, NodeId, Term, Write};
use violetwind_workorders::{Change, Report};

use crate::budget::{Def, Need, Part, Share};
use crate::events::Event;
use crate::work::{Known, List, Local, Staff, WorkView};

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
    /// There is news of a session. What is said of shares is committed, so it counts for as long as the lease that
    /// the receiver has; it may ask again `at_once`.
    Nudge {
        session: SessionId,
        at: u64,
        shares: SharesOf,
        lower: Vec<(Name, u64)>,
        at_once: bool,
    },
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
        /// The same for as long as the process runs.
        process: Number,
        /// The last number that the log had given when it was told: whoever has died since can't know it.
        seen: Number,
        weight: u64,
        budgets: Vec<Def>,
        uses: Vec<(Name, u64)>,
    },
    /// `have` is the version of the list of shares that the asker has.
    Renew {
        session: SessionId,
        needs: Vec<Need>,
        have: u64,
    },
    /// The asker uses no more than this from now on, and needs so much now.
    Lower {
        session: SessionId,
        need: Need,
        to: u64,
        version: u64,
    },
    /// The asker ends, and has stopped what its duties are.
    Retire {
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
        uses: Vec<(Name, u64)>,
    },
    View,
    Order(Order),
    /// What the asker confirms of machines in orders; `have` is the version of the list that it goes by.
    Work {
        session: SessionId,
        have: Number,
        reports: Vec<(Name, Report)>,
        shut: Vec<Name>,
    },
    /// The asker serves nobody any more, and will not.
    Off {
        session: SessionId,
    },
    /// What whoever conducts has to know; and what each machine waits for.
    Conduct {
        session: SessionId,
        fence: Number,
        have: Number,
        why: Vec<(Name, String)>,
    },
    /// A change of the orders by whoever conducts, upon who had to confirm it.
    Propose {
        session: SessionId,
        fence: Number,
        roster: Number,
        change: Change,
    },
    Staff(Staff),
    WorkView,
}

/// What operators want of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    HandOn {
        duty: Name,
        to: Option<Name>,
    },
    LetIn {
        node: Name,
    },
    /// Its machine is gone, and what it held of budgets with it.
    Gone {
        node: Name,
    },
    PutOut {
        node: Name,
    },
}

/// The version of the list, and the shares that a session has.
pub type SharesOf = (u64, Vec<(Name, Share)>);

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
        shares: SharesOf,
    },
    /// What the session holds, and what it is to give up for whom.
    Renewed {
        at: u64,
        held: Vec<(Name, Number)>,
        give_up: Vec<(Name, Option<Name>)>,
        /// None where the asker has them.
        shares: Option<SharesOf>,
        /// Shares that it is to lower, and to what.
        lower: Vec<(Name, u64)>,
        /// The leader's term: another leader knows of no needs.
        term: Term,
    },
    /// Something of this name has begun or ended since what the asker has seen; it is to ask with this.
    Unseen(Number),
    /// A share as it is after the asker has lowered it.
    Lowered(Share),
    /// There is no such session.
    Gone,
    Done,
    Refused(String),
    View(View),
    /// The list of machines in orders, where the asker has another.
    Work {
        version: Number,
        list: Option<List>,
    },
    Conduct(Known),
    WorkView(WorkView),
    /// The log has it that the asker serves nobody.
    NobodyServed,
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
    pub budgets: Vec<BudgetView>,
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

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetView {
    pub name: Name,
    pub whole: Option<u64>,
    pub version: u64,
    /// Set aside for floors; given to members; stranded; free.
    pub floors: u64,
    pub shared: u64,
    pub stranded: u64,
    pub free: u64,
    /// In use, and allowed, at the process that tells.
    pub used_here: u64,
    pub allowed_here: u64,
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
    /// One unit of a budget; of one that is held it is given back with the same token, or after `within`. Where
    /// there is none it waits no longer than `wait`.
    Take {
        budget: Name,
        token: Name,
        within: Millis,
        wait: Millis,
    },
    Give {
        budget: Name,
        token: Name,
    },
    Staff(Staff),
    WorkView,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    View(View),
    WorkView(WorkView),
    Done,
    /// Held from before the call for so long, and not longer unless it is asked again.
    Held {
        fence: Number,
        left: Millis,
    },
    NotHeld(String),
    Taken,
    /// No unit: worth asking again after so long.
    NoUnit {
        again: Millis,
    },
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
    /// What is used of a budget that is counted elsewhere in this process, once the part of that number was in force
    /// there; and how often it was too small, since the start.
    Used {
        budget: Name,
        part: Number,
        busy: u64,
        denied: u64,
    },
    /// What is so here of machines that are worked on.
    Work(Local),
    /// Hand everything on, then end: [`Output::Ended`].
    Quit,
    /// The same of a process that has no successor: where it takes part in work it stays until it serves nobody, if that
    /// comes soon.
    End,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send(Name, Peer),
    /// To be synced, in order; answered with [`Input::Saved`].
    Save(Number, Record),
    Answer(Number, Answer),
    /// A part for whoever counts that budget elsewhere in this process; answered with [`Input::Used`].
    Part(Name, Number, Part),
    /// The list of machines in orders, of that version, to go by.
    Work(Number, List),
    Event(Event),
    Ended,
}

//! What goes in and out, between members, and onto disk.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use violetwind_consensus::{DurableWrite, Members, Message, Millis, NodeId, Term};
use violetwind_workorders::{MachineReport, WorkOrderChange};

use crate::budget::{BudgetDefinition, Need, Part, Share};
use crate::events::Event;
use crate::work_orders::{CoordinatorUpdate, LocalWorkStatus, MachineList, WorkAction, WorkView};

/// Of a member or a duty.
pub type Name = String;
/// A session, or a holding: never given twice.
pub type Number = u64;
pub type SessionId = Number;

/// A frame between two members. Names of the sender stand in the link's first frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    Formation(FormationStatus),
    /// Between two directories: one that has come in the place of another is not spoken to.
    Consensus {
        from: NodeId,
        to: NodeId,
        message: Message,
    },
    Request(Number, LeaderRequest),
    Reply(Number, LeaderReply),
    /// There is news of a session. What is said of shares is committed, so it counts for as long as the lease that
    /// the receiver has; it may ask again `at_once`.
    SessionUpdate {
        session: SessionId,
        applied_index: u64,
        shares: VersionedShares,
        lower_targets: Vec<(Name, u64)>,
        renew_now: bool,
    },
}

/// Where a voter stands before there is a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormationStatus {
    pub id: NodeId,
    /// The directories of the other voters, as it has heard of them.
    pub known_ids: BTreeMap<Name, NodeId>,
    /// The members that it has on disk as the first ones.
    pub agreed_members: Option<Members>,
    /// It has seen all of them agree.
    pub is_formed: bool,
}

/// What any member asks of the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// A session; `nonce` is new with each that is wanted. `replaces` is one of the same process, which has
    /// stopped all that it held by it.
    Join {
        nonce: Number,
        wanted_duties: Vec<Name>,
        replaced_session: Option<SessionId>,
        /// The same for as long as the process runs.
        incarnation: Number,
        /// The last number that the log had given when it was told: whoever has died since can't know it.
        last_seen_number: Number,
        weight: u64,
        budgets: Vec<BudgetDefinition>,
        units_in_use: Vec<(Name, u64)>,
    },
    /// `have` is the version of the list of shares that the asker has.
    Renew {
        session: SessionId,
        needs: Vec<Need>,
        known_version: u64,
    },
    /// The asker uses no more than this from now on, and needs so much now.
    LowerShare {
        session: SessionId,
        need: Need,
        units: u64,
        share_version: u64,
    },
    /// The asker ends, and has stopped what its duties are.
    BeginLeave {
        session: SessionId,
    },
    /// The asker has stopped; `to` is whom operators want next.
    ReleaseDuty {
        session: SessionId,
        duty: Name,
        fence: Number,
        preferred_holder: Option<Name>,
    },
    /// The asker has stopped all and goes.
    Leave {
        session: SessionId,
        units_in_use: Vec<(Name, u64)>,
    },
    FleetView,
    FleetAction(FleetAction),
    /// What the asker confirms of machines in orders; `have` is the version of the list that it goes by.
    ReportWork {
        session: SessionId,
        known_version: Number,
        reports: Vec<(Name, MachineReport)>,
        closed_machines: Vec<Name>,
    },
    /// The asker serves nobody any more, and will not.
    StopServing {
        session: SessionId,
    },
    /// What whoever conducts has to know; and what each machine waits for.
    PollAsCoordinator {
        session: SessionId,
        fence: Number,
        known_version: Number,
        wait_reasons: Vec<(Name, String)>,
    },
    /// A change of the orders by whoever conducts, upon who had to confirm it.
    ProposeWorkChange {
        session: SessionId,
        fence: Number,
        roster_version: Number,
        change: WorkOrderChange,
    },
    WorkAction(WorkAction),
    WorkView,
}

/// What operators want of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetAction {
    HandOffDuty {
        duty: Name,
        preferred_holder: Option<Name>,
    },
    AdmitMember {
        node: Name,
    },
    /// Its machine is gone, and what it held of budgets with it.
    DeclareMemberLost {
        node: Name,
    },
    EvictMember {
        node: Name,
    },
}

/// The version of the list, and the shares that a session has.
pub type VersionedShares = (u64, Vec<(Name, Share)>);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderReply {
    NotLeader(Option<Name>),
    /// Not now, for a reason that passes: ask again.
    RetryLater(String),
    /// The lease counts from when this was asked; what is held is as the log had it at `at`.
    Joined {
        session: SessionId,
        applied_index: u64,
        held_duties: Vec<(Name, Number)>,
        shares: VersionedShares,
    },
    /// What the session holds, and what it is to give up for whom.
    Renewed {
        applied_index: u64,
        held_duties: Vec<(Name, Number)>,
        duties_to_release: Vec<(Name, Option<Name>)>,
        /// None where the asker has them.
        shares: Option<VersionedShares>,
        /// Shares that it is to lower, and to what.
        lower_targets: Vec<(Name, u64)>,
        /// The leader's term: another leader knows of no needs.
        term: Term,
    },
    /// Something of this name has begun or ended since what the asker has seen; it is to ask with this.
    JoinOutdated(Number),
    /// A share as it is after the asker has lowered it.
    ShareLowered(Share),
    /// There is no such session.
    SessionNotFound,
    Done,
    Refused(String),
    FleetView(FleetView),
    /// The list of machines in orders, where the asker has another.
    MachineList {
        version: Number,
        list: Option<MachineList>,
    },
    CoordinatorUpdate(CoordinatorUpdate),
    WorkView(WorkView),
    /// The log has it that the asker serves nobody.
    ServingStopped,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
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
pub enum MemberRecord {
    /// The first members, as this voter agrees to them.
    Agreed(Members),
    /// The fleet is formed, or this directory was let into one.
    Formed,
    Write(DurableWrite),
}

/// What a member's directory holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedState {
    pub id: NodeId,
    pub agreed_members: Option<Members>,
    pub is_formed: bool,
    pub consensus_state: violetwind_consensus::DurableState,
}

impl SavedState {
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
    pub fn apply(&mut self, record: MemberRecord) -> Result<(), String> {
        match record {
            MemberRecord::Agreed(_) if self.agreed_members.is_some() => {
                return Err("agreed twice".into());
            }
            MemberRecord::Agreed(members) => self.agreed_members = Some(members),
            MemberRecord::Formed => {
                self.is_formed = true;
                if let Some(members) = &self.agreed_members {
                    self.consensus_state =
                        violetwind_consensus::DurableState::bootstrap(members.clone());
                }
            }
            MemberRecord::Write(write) => self.consensus_state.apply(write)?,
        }
        Ok(())
    }
}

/// What operators and their programs call for at one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    FleetView,
    FleetAction(FleetAction),
    /// A program that `token` names works on a duty while it is held here.
    HoldDuty {
        duty: Name,
        token: Name,
    },
    /// That program has ended.
    EndHold {
        duty: Name,
        token: Name,
    },
    /// One unit of a budget; of one that is held it is given back with the same token, or after `within`. Where
    /// there is none it waits no longer than `wait`.
    AcquireUnit {
        budget: Name,
        token: Name,
        hold_timeout: Millis,
        max_wait: Millis,
    },
    ReleaseUnit {
        budget: Name,
        token: Name,
    },
    WorkAction(WorkAction),
    WorkView,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorAnswer {
    FleetView(FleetView),
    WorkView(WorkView),
    Done,
    /// Held from before the call for so long, and not longer unless it is asked again.
    Held {
        fence: Number,
        remaining: Millis,
    },
    NotHeld(String),
    UnitAcquired,
    /// No unit: worth asking again after so long.
    NoUnit {
        retry_after: Millis,
    },
    Refused(String),
}

#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    /// A link to a member is up; `id` is its directory's, where it has one.
    PeerConnected(Name, Option<NodeId>),
    PeerMessage(Name, PeerMessage),
    /// Records up to this number are on disk.
    RecordsSaved(Number),
    /// Answered by [`Output::Answer`] with the same number.
    Call(Number, OperatorCall),
    /// What is used of a budget that is counted elsewhere in this process, once the part of that number was in force
    /// there; and how often it was too small, since the start.
    ExternalUsage {
        budget: Name,
        part_number: Number,
        in_use: u64,
        denied: u64,
    },
    /// What is so here of machines that are worked on.
    LocalWorkStatus(LocalWorkStatus),
    /// Hand everything on, then end: [`Output::Ended`].
    Quit,
    /// The same of a process that has no successor: where it takes part in work it stays until it serves nobody, if that
    /// comes soon.
    QuitAfterDrain,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send(Name, PeerMessage),
    /// To be synced, in order; answered with [`Input::Saved`].
    SaveRecord(Number, MemberRecord),
    Answer(Number, OperatorAnswer),
    /// A part for whoever counts that budget elsewhere in this process; answered with [`Input::Used`].
    Part(Name, Number, Part),
    /// The list of machines in orders, of that version, to go by.
    MachineList(Number, MachineList),
    Event(Event),
    Ended,
}

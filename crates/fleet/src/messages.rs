//! Inputs and outputs of a member, the messages between members, and the records that a member keeps on disk.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use violetwind_consensus::{DurableWrite, Members, Message, Millis, NodeId, Term};
use violetwind_workorders::{MachineReport, WorkOrderChange};

use crate::budget::{BudgetDefinition, Need, Part, Share};
use crate::events::Event;
use crate::work_orders::{CoordinatorUpdate, LocalWorkStatus, MachineList, WorkAction, WorkView};

/// The name of a member, a duty, a budget or a machine.
pub type Name = String;
/// A number that identifies something. Numbers of sessions and fencing numbers are assigned by the log and never
/// reused; numbers of requests, calls and records are assigned by one member.
pub type Number = u64;
/// The number that the log has assigned to a session.
pub type SessionId = Number;

/// A frame between two members. The first frame of the link carries the sender's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's progress in forming the fleet.
    Formation(FormationStatus),
    /// A consensus message between two directories. It is dropped if the receiver's directory is not `to`, since
    /// another directory may have replaced it under the same name.
    Consensus {
        from: NodeId,
        to: NodeId,
        message: Message,
    },
    /// A request to the leader, with the sender's number for it.
    Request(Number, LeaderRequest),
    /// The reply to the request of that number.
    Reply(Number, LeaderReply),
    /// The leader notifies a member that its session has changed. The shares are committed, so they are valid for as
    /// long as the receiver's lease; with `renew_now` the receiver renews its session at once. Duties are not part of
    /// this message: a new holder learns of its duty from the reply to that renewal.
    SessionUpdate {
        session: SessionId,
        applied_index: u64,
        shares: VersionedShares,
        lower_targets: Vec<(Name, u64)>,
        renew_now: bool,
    },
}

/// A voter's progress in forming the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormationStatus {
    pub id: NodeId,
    /// The directories of the other voters, as far as they have reported them.
    pub known_ids: BTreeMap<Name, NodeId>,
    /// The initial members that this voter has recorded on disk.
    pub agreed_members: Option<Members>,
    /// Whether this voter has recorded on disk that the fleet is formed.
    pub is_formed: bool,
}

/// A request of any member to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Opens a session. `nonce` is new for each session that is wanted. `replaced_session` is an earlier session
    /// of the same process, under which the process has stopped everything that it held.
    Join {
        nonce: Number,
        wanted_duties: Vec<Name>,
        replaced_session: Option<SessionId>,
        /// Identifies the process; constant for as long as it runs.
        incarnation: Number,
        /// The last number that the log had assigned when the leader reported it. A process that died before then
        /// can't have received it.
        last_seen_number: Number,
        weight: u64,
        budgets: Vec<BudgetDefinition>,
        units_in_use: Vec<(Name, u64)>,
    },
    /// Renews the lease of a session. `known_version` is the version of the list of shares that the sender has.
    Renew {
        session: SessionId,
        needs: Vec<Need>,
        known_version: u64,
    },
    /// The sender uses no more than `units` of the budget from now on; `need` is its current need.
    LowerShare {
        session: SessionId,
        need: Need,
        units: u64,
        share_version: u64,
    },
    /// The sender is shutting down and has stopped its duties.
    BeginLeave { session: SessionId },
    /// The sender has stopped the duty. `preferred_holder` is the member that operators have named as the next holder.
    ReleaseDuty {
        session: SessionId,
        duty: Name,
        fence: Number,
        preferred_holder: Option<Name>,
    },
    /// Ends the session: the sender has stopped everything.
    Leave {
        session: SessionId,
        units_in_use: Vec<(Name, u64)>,
    },
    /// Requests the state of the fleet.
    FleetView,
    /// An operator's action on the fleet.
    FleetAction(FleetAction),
    /// The sender's reports on machines in work orders. `known_version` is the version of the machine list that it
    /// applies.
    ReportWork {
        session: SessionId,
        known_version: Number,
        reports: Vec<(Name, MachineReport)>,
        closed_machines: Vec<Name>,
    },
    /// The sender has stopped serving clients for good.
    StopServing { session: SessionId },
    /// The coordinator requests the state that it plans on, and reports why each machine waits.
    PollAsCoordinator {
        session: SessionId,
        fence: Number,
        known_version: Number,
        wait_reasons: Vec<(Name, String)>,
    },
    /// A change of the work orders by the coordinator. `roster_version` is the version of the list of members that had
    /// to confirm it.
    ProposeWorkChange {
        session: SessionId,
        fence: Number,
        roster_version: Number,
        change: WorkOrderChange,
    },
    /// An operator's action on work orders.
    WorkAction(WorkAction),
    /// Requests the state of the work orders.
    WorkView,
}

/// An operator's action on the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetAction {
    /// Moves a duty to another member, to `preferred_holder` if it is given.
    HandOffDuty {
        duty: Name,
        preferred_holder: Option<Name>,
    },
    /// Allows the member of the name `node` to join again, and makes it a voter if it is configured as one.
    AdmitMember { node: Name },
    /// The machine of the member of the name `node` is gone, and with it the units of budgets that the member held.
    DeclareMemberLost { node: Name },
    /// Bars the member of the name `node` from sessions and removes it from the log's members.
    EvictMember { node: Name },
}

/// The shares of a session, preceded by the version of that list.
pub type VersionedShares = (u64, Vec<(Name, Share)>);

/// A reply to a [`LeaderRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderReply {
    /// The receiver of the request does not lead; carries the leader according to its log, if there is one.
    NotLeader(Option<Name>),
    /// Refused for a temporary reason: the sender retries.
    RetryLater(String),
    /// The session has begun. Its lease counts from when the request was sent; the duties are those of the log at
    /// `applied_index`.
    Joined {
        session: SessionId,
        applied_index: u64,
        held_duties: Vec<(Name, Number)>,
        shares: VersionedShares,
    },
    /// The lease is renewed: the duties that the session holds, and those to release with their preferred next holder.
    Renewed {
        applied_index: u64,
        held_duties: Vec<(Name, Number)>,
        duties_to_release: Vec<(Name, Option<Name>)>,
        /// `None` if the sender has the current version.
        shares: Option<VersionedShares>,
        /// Shares that the session has to lower, with their new units.
        lower_targets: Vec<(Name, u64)>,
        /// The leader's term. A new leader has no record of needs, so they are reported to it again.
        term: Term,
    },
    /// A session of this name has begun or ended since the number that the sender has seen; it retries with this
    /// number.
    JoinOutdated(Number),
    /// The share after the sender has lowered it.
    ShareLowered(Share),
    /// There is no such session.
    SessionNotFound,
    /// The request has been carried out.
    Done,
    /// Refused for good, with the reason.
    Refused(String),
    FleetView(FleetView),
    /// The version of the list of machines in work orders, and the list if the sender has another version.
    MachineList {
        version: Number,
        list: Option<MachineList>,
    },
    CoordinatorUpdate(CoordinatorUpdate),
    WorkView(WorkView),
    /// It is committed that the sender has stopped serving.
    ServingStopped,
}

/// The state of the fleet as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    /// Name of the member that reports this view.
    pub node: Name,
    pub leader: Option<Name>,
    pub term: Term,
    pub commit: u64,
    /// Whether a majority of the voters has answered the leader within the election timeout.
    pub majority: bool,
    pub members: Vec<MemberView>,
    pub duties: Vec<DutyView>,
    pub budgets: Vec<BudgetView>,
    /// Without a majority: the reason, as far as this member knows it.
    pub why: Option<String>,
}

/// A member in a [`FleetView`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the member.
    pub node: Name,
    pub votes: bool,
    /// `live`, `silent`, `none` (no session), `stranger`, `out`, or `unknown` (no leader has answered).
    pub state: String,
    /// Milliseconds since the leader last renewed the member's lease.
    pub since_ms: Option<Millis>,
}

/// A duty in a [`FleetView`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyView {
    pub name: Name,
    pub holder: Option<Name>,
    pub fence: Option<Number>,
    /// Whether the member that answers the call holds the duty now.
    pub mine: bool,
}

/// A budget in a [`FleetView`], in units.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetView {
    pub name: Name,
    pub whole: Option<u64>,
    pub version: u64,
    /// Units reserved for floors.
    pub floors: u64,
    /// Units in members' shares.
    pub shared: u64,
    /// Units of ended sessions that may still be in use.
    pub stranded: u64,
    pub free: u64,
    /// Units in use, and units allowed, at the member that answers the call.
    pub used_here: u64,
    pub allowed_here: u64,
}

/// One record of a member's directory. Records are applied in the order in which they were written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRecord {
    /// The initial members that this voter has agreed to.
    Agreed(Members),
    /// The fleet is formed, or this directory was admitted to an existing one.
    Formed,
    /// A write of the consensus log.
    Write(DurableWrite),
}

/// The state that is stored in a member's directory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedState {
    pub id: NodeId,
    pub agreed_members: Option<Members>,
    pub is_formed: bool,
    pub consensus_state: violetwind_consensus::DurableState,
}

impl SavedState {
    /// The state of a new directory, without records.
    pub fn new(id: NodeId) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    /// Applies a record to the state.
    ///
    /// # Errors
    /// The record does not follow from those before it.
    pub fn apply(&mut self, record: MemberRecord) -> Result<(), String> {
        match record {
            MemberRecord::Agreed(_) if self.agreed_members.is_some() => {
                return Err("a second record of agreed members".into());
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

/// A call of an operator, or of an operator's program, at one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    FleetView,
    FleetAction(FleetAction),
    /// The program identified by `token` starts or continues to work on a duty that this member holds.
    HoldDuty {
        duty: Name,
        token: Name,
    },
    /// The program identified by `token` has stopped working on the duty.
    EndHold {
        duty: Name,
        token: Name,
    },
    /// Acquires one unit of a budget. A unit of a concurrent budget is released with the same token, or after
    /// `hold_timeout`. If no unit is available the call waits for at most `max_wait`.
    AcquireUnit {
        budget: Name,
        token: Name,
        hold_timeout: Millis,
        max_wait: Millis,
    },
    /// Releases the unit that was acquired with `token`.
    ReleaseUnit {
        budget: Name,
        token: Name,
    },
    WorkAction(WorkAction),
    WorkView,
}

/// The answer to an [`OperatorCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorAnswer {
    FleetView(FleetView),
    WorkView(WorkView),
    /// The call has been carried out.
    Done,
    /// The duty has been held here since before the call. The program may work on it for `remaining`, and longer only
    /// if it calls again.
    Held {
        fence: Number,
        remaining: Millis,
    },
    /// The program may not work on the duty, with the reason.
    NotHeld(String),
    UnitAcquired,
    /// No unit is available; a retry is useful after `retry_after`.
    NoUnit {
        retry_after: Millis,
    },
    Refused(String),
}

/// An input of a member.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A link to a member is up, with the id of the member's directory if it has one.
    PeerConnected(Name, Option<NodeId>),
    PeerMessage(Name, PeerMessage),
    /// All records up to this number are synced to disk.
    RecordsSaved(Number),
    /// An operator's call; it is answered by [`Output::Answer`] with the same number.
    Call(Number, OperatorCall),
    /// The usage of a budget that is counted elsewhere in this process, measured once the part of that number was in
    /// force there. `denied` is how often the part was too small, since the start of the process.
    ExternalUsage {
        budget: Name,
        part_number: Number,
        in_use: u64,
        denied: u64,
    },
    /// The local status of machines in work orders.
    LocalWorkStatus(LocalWorkStatus),
    /// Releases everything, then ends with [`Output::Ended`].
    Quit,
    /// Like `Quit`, for a process without a successor: if it takes part in work orders, it keeps its session until it
    /// has stopped serving, for at most the drain timeout.
    QuitAfterDrain,
}

/// An output of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A message to send to the named member.
    Send(Name, PeerMessage),
    /// A record to be synced to disk, in order; acknowledged with [`Input::RecordsSaved`].
    SaveRecord(Number, MemberRecord),
    Answer(Number, OperatorAnswer),
    /// The part of a budget that is counted elsewhere in this process, with its number; answered with
    /// [`Input::ExternalUsage`].
    Part(Name, Number, Part),
    /// The list of machines in work orders to apply, with its version.
    MachineList(Number, MachineList),
    Event(Event),
    /// The member has ended; it produces no more outputs.
    Ended,
}

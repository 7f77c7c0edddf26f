//! Carries out what operators call for: in the engine, on disk, and at the other process of an upgrade. An
//! answer begins with 200 only once all of them have it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};
use violetwind_engine::{EngineEvent, OperatorReply, UnlistedServers};
use violetwind_fleet as fleet;
use violetwind_fleet::work_orders::WorkAction;
use violetwind_service::command::{self, OperatorCommand};
use violetwind_service::{Bans, OperatorChange, handover};

use crate::fleet::FleetHandle;
use crate::handover::ConnectionOffer;
use crate::limits::Limits;

/// Where this process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Starting,
    Serving,
    /// A successor serves in its place.
    Superseded,
    ShuttingDown,
}

/// What is asked of the other process of an upgrade, with the way back for its answer.
pub type ForwardedChange = (OperatorChange, oneshot::Sender<()>);

pub struct OperatorService {
    limits: Rc<Limits>,
    engine: mpsc::Sender<EngineEvent>,
    /// The directory that outlives this process in an upgrade.
    dir: Option<PathBuf>,
    /// Whether the list is known.
    ready: watch::Receiver<bool>,
    left: Cell<bool>,
    stand: Cell<ProcessState>,
    /// The bans as the engine last told them.
    bans: RefCell<Bans>,
    /// Where a reload has moved discovery to.
    discovery: Cell<Option<SocketAddr>>,
    /// The ways to the other processes of an upgrade, by number: one, or two for a moment.
    others: RefCell<BTreeMap<u64, mpsc::Sender<ForwardedChange>>>,
    next_other: Cell<u64>,
    /// The way for connections to a successor that serves.
    heir: RefCell<Option<mpsc::Sender<ConnectionOffer>>>,
    fleet: Option<FleetHandle>,
    /// Whether it takes part in work on machines.
    works: bool,
    /// Nobody is let in any more, and the process is about to end.
    closed: Cell<bool>,
    /// The process before this one of an upgrade has not gone yet.
    elder: Cell<bool>,
    /// A task writes the bans down again, as that failed.
    keeps_again: Cell<bool>,
}

impl OperatorService {
    pub fn new(
        limits: &Rc<Limits>,
        engine: mpsc::Sender<EngineEvent>,
        ready: watch::Receiver<bool>,
        dir: Option<PathBuf>,
        (bans, left, discovery): (Bans, bool, Option<SocketAddr>),
        (fleet, works): (Option<FleetHandle>, bool),
    ) -> Rc<Self> {
        Rc::new(Self {
            limits: limits.clone(),
            engine,
            dir,
            ready,
            left: Cell::new(left),
            stand: Cell::new(ProcessState::Starting),
            bans: RefCell::new(bans),
            discovery: Cell::new(discovery),
            others: RefCell::default(),
            next_other: Cell::default(),
            heir: RefCell::default(),
            fleet,
            works,
            closed: Cell::new(false),
            elder: Cell::new(false),
            keeps_again: Cell::new(false),
        })
    }

    /// Whether operators have emptied the proxy: the front must not send it clients.
    pub fn has_left(&self) -> bool {
        self.left.get()
    }

    pub fn process_state(&self) -> ProcessState {
        self.stand.get()
    }

    /// One process of an upgrade takes part in the fleet: the one that serves.
    pub fn set_process_state(&self, stand: ProcessState) {
        self.stand.set(stand);
        if let Some(fleet) = &self.fleet {
            match stand {
                ProcessState::Starting => {}
                ProcessState::Serving => fleet.activate(),
                ProcessState::Superseded => fleet.deactivate(false),
                ProcessState::ShuttingDown => fleet.deactivate(self.works),
            }
        }
    }

    pub fn does_maintenance(&self) -> bool {
        self.works
    }

    pub fn is_admission_closed(&self) -> bool {
        self.closed.get()
    }

    pub fn close_admission(&self) {
        self.closed.set(true);
    }

    pub fn set_predecessor_present(&self, is_there: bool) {
        self.elder.set(is_there);
    }

    pub fn has_predecessor(&self) -> bool {
        self.elder.get()
    }

    /// Whether duties are still to be handed on.
    pub fn has_pending_handoffs(&self) -> bool {
        self.fleet.as_ref().is_some_and(FleetHandle::is_active)
    }

    pub fn bans(&self) -> Bans {
        self.bans.borrow().clone()
    }

    pub fn discovery_override(&self) -> Option<SocketAddr> {
        self.discovery.get()
    }

    pub fn set_discovery_override(&self, at: SocketAddr) {
        self.discovery.set(Some(at));
    }

    pub fn successor_sender(&self) -> Option<mpsc::Sender<ConnectionOffer>> {
        self.heir.borrow().clone()
    }

    pub fn set_successor_sender(&self, heir: Option<mpsc::Sender<ConnectionOffer>>) {
        self.heir.replace(heir);
    }

    /// Operators' words go this way too from now on.
    pub fn add_forward_target(&self, to: mpsc::Sender<ForwardedChange>) -> u64 {
        let id = self.next_other.replace(self.next_other.get() + 1);
        self.others.borrow_mut().insert(id, to);
        id
    }

    pub fn remove_forward_target(&self, id: u64) {
        self.others.borrow_mut().remove(&id);
    }

    /// The answer to a call, in time.
    pub async fn handle_call(self: &Rc<Self>, call: OperatorCommand) -> String {
        let service = self.clone();
        // A caller that is given up must not leave half of it done.
        let task = tokio::task::spawn_local(async move {
            match call {
                OperatorCommand::Health => service.health().await,
                OperatorCommand::Change(change) => service.change(change).await,
                OperatorCommand::Fleet(call) => service.fleet(call).await,
            }
        });
        match timeout(self.limits.call_answer_timeout, task).await {
            Ok(Ok(Ok(word))) => format!("200 {word}"),
            Ok(Ok(Err(word))) => format!("400 {word}"),
            Ok(Err(error)) => format!("400 {error}"),
            Err(_) => "400 not in force yet: call again".to_string(),
        }
    }

    async fn fleet(&self, call: command::FleetCommand) -> Result<String, String> {
        let Some(fleet) = &self.fleet else {
            return Err(command::CommandError::Unknown.to_string());
        };
        let call = match call {
            command::FleetCommand::Show => fleet::OperatorCall::FleetView,
            command::FleetCommand::AdmitMember(node) => {
                fleet::OperatorCall::FleetAction(fleet::FleetAction::AdmitMember { node })
            }
            command::FleetCommand::EvictMember(node) => {
                fleet::OperatorCall::FleetAction(fleet::FleetAction::EvictMember { node })
            }
            command::FleetCommand::HandOffDuty { duty, to } => {
                fleet::OperatorCall::FleetAction(fleet::FleetAction::HandOffDuty {
                    duty,
                    preferred_holder: to,
                })
            }
            command::FleetCommand::HoldDuty { duty, token } => {
                fleet::OperatorCall::HoldDuty { duty, token }
            }
            command::FleetCommand::ReleaseDuty { duty, token } => {
                fleet::OperatorCall::EndHold { duty, token }
            }
            command::FleetCommand::DeclareMemberLost(node) => {
                fleet::OperatorCall::FleetAction(fleet::FleetAction::DeclareMemberLost { node })
            }
            command::FleetCommand::AcquireUnit {
                budget,
                token,
                lease_ms: within_ms,
            } => {
                let ms = |span: std::time::Duration| span.as_millis() as u64;
                let most = ms(self.limits.max_unit_lease);
                fleet::OperatorCall::AcquireUnit {
                    budget,
                    token,
                    hold_timeout: within_ms
                        .unwrap_or(ms(self.limits.default_unit_lease))
                        .min(most),
                    max_wait: ms(self.limits.unit_acquire_timeout),
                }
            }
            command::FleetCommand::ReleaseUnit { budget, token } => {
                fleet::OperatorCall::ReleaseUnit { budget, token }
            }
            command::FleetCommand::Work(work) => staff_call(work),
        };
        match fleet.call(call).await? {
            fleet::OperatorAnswer::FleetView(view) => {
                serde_json::to_string(&view).map_err(|error| error.to_string())
            }
            fleet::OperatorAnswer::WorkView(view) => {
                serde_json::to_string(&view).map_err(|error| error.to_string())
            }
            fleet::OperatorAnswer::Done => Ok("done".into()),
            fleet::OperatorAnswer::Held {
                fence,
                remaining: left,
            } => Ok(serde_json::json!({"fence": fence, "left_ms": left}).to_string()),
            fleet::OperatorAnswer::UnitAcquired => Ok("taken".into()),
            fleet::OperatorAnswer::NoUnit { retry_after: again } => {
                Err(format!("none left, again in {again} ms"))
            }
            fleet::OperatorAnswer::NotHeld(why) | fleet::OperatorAnswer::Refused(why) => Err(why),
        }
    }

    async fn health(&self) -> Result<String, String> {
        match self.process_state() {
            ProcessState::Starting => return Err("starting".into()),
            ProcessState::Superseded => return Err("a successor serves".into()),
            ProcessState::ShuttingDown => return Err("ending".into()),
            ProcessState::Serving if !*self.ready.borrow() => {
                return Err("no list of servers yet".into());
            }
            ProcessState::Serving => {}
        }
        let (reply, answer) = oneshot::channel();
        let gone = |_| "the engine has ended".to_string();
        let told = self.engine.send(EngineEvent::Health(reply)).await;
        told.map_err(|_| "the engine has ended".to_string())?;
        let servers = answer.await.map_err(gone)?;
        let left = if self.has_left() { ", left" } else { "" };
        Ok(format!("serving, {servers} servers known{left}"))
    }

    /// Has a change in force everywhere. The word of this process counts: another may have no list yet.
    async fn change(self: &Rc<Self>, change: OperatorChange) -> Result<String, String> {
        let word = self.apply(change.clone(), UnlistedServers::Reject).await?;
        self.forward(None, change).await;
        Ok(word)
    }

    /// The same for a word that came from another process.
    pub async fn apply_external(
        self: &Rc<Self>,
        from: u64,
        change: OperatorChange,
    ) -> Result<String, String> {
        let word = self.apply(change.clone(), UnlistedServers::Accept).await;
        self.forward(Some(from), change).await;
        word
    }

    async fn forward(&self, from: Option<u64>, change: OperatorChange) {
        let others: Vec<_> = {
            let others = self.others.borrow();
            let others = others.iter().filter(|(id, _)| Some(**id) != from);
            others.map(|(_, to)| to.clone()).collect()
        };
        for other in others {
            let (done, is_done) = oneshot::channel();
            // One that has gone in between needs no word any more.
            if other.send((change.clone(), done)).await.is_ok() && is_done.await.is_err() {
                info!("another process went before it was told");
            }
        }
    }

    /// Has a change in force here and on disk.
    async fn apply(
        self: &Rc<Self>,
        change: OperatorChange,
        binding: UnlistedServers,
    ) -> Result<String, String> {
        let (reply, answer) = oneshot::channel();
        let gone = || "the engine has ended".to_string();
        let notice = EngineEvent::OperatorChange(change.clone(), binding, reply);
        self.engine.send(notice).await.map_err(|_| gone())?;
        let (bans, same) = match answer.await.map_err(|_| gone())? {
            OperatorReply::Changed(bans) => (bans, ""),
            OperatorReply::Same(bans) => (bans, " already"),
            OperatorReply::Unknown => return Err("no list has named this server".into()),
            OperatorReply::Full => return Err("too many servers are out".into()),
            OperatorReply::Ending => return Err("the proxy is told to end".into()),
        };
        let word = match &change {
            OperatorChange::Offline(uid) => format!("{uid} is out{same}"),
            OperatorChange::Online(uid) => format!("{uid} is in use{same}"),
            OperatorChange::Leave => format!("left{same}"),
            OperatorChange::Join => format!("back at work{same}"),
        };
        match change {
            OperatorChange::Leave | OperatorChange::Join => {
                self.left.set(change == OperatorChange::Leave)
            }
            OperatorChange::Offline(_) | OperatorChange::Online(_) => {
                self.bans.replace(bans.clone());
                if let Err(error) = self.keep(&bans) {
                    warn!(error, "the servers that are out can't be kept");
                    self.keep_again();
                    return Err(format!("{word}, but not kept for an upgrade: {error}"));
                }
            }
        }
        Ok(word)
    }

    /// Writes the bans down once the disk takes them.
    fn keep_again(self: &Rc<Self>) {
        if self.keeps_again.replace(true) {
            return;
        }
        let service = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(service.limits.bans_retry_interval).await;
                let bans = service.bans();
                if service.keep(&bans).is_ok() {
                    break;
                }
            }
            service.keeps_again.set(false);
            info!("the servers that are out are kept again");
        });
    }

    /// Writes the bans where a successor finds them, in one step.
    fn keep(&self, bans: &Bans) -> Result<(), String> {
        let Some(dir) = &self.dir else {
            return Ok(());
        };
        let bytes = handover::encode_frame(bans, &self.limits.service).ok_or("too many")?;
        let new = dir.join(format!("violetwind.bans.{}", std::process::id()));
        let written = fs::write(&new, bytes).and_then(|()| fs::rename(&new, bans_file(dir)));
        written.map_err(|error| format!("{}: {error}", dir.display()))
    }
}

/// Staff's word on orders, for the fleet.
fn staff_call(work: command::WorkCommand) -> fleet::OperatorCall {
    use violetwind_workorders::{Bounds, FailureTolerance, PhaseTimeouts, WorkOrder};
    let staff = match work {
        command::WorkCommand::Show => return fleet::OperatorCall::WorkView,
        command::WorkCommand::Plan(plan) => WorkAction::Plan(WorkOrder {
            name: plan.name,
            machines: plan.machines,
            bounds: Bounds {
                max_out: plan.max_out,
                max_out_per_zone: plan.max_out_per_zone,
                min_capacity_permille: plan.min_capacity_permille,
                failure_tolerance: FailureTolerance::NAMES
                    .iter()
                    .find(|(name, _)| *name == plan.failure_tolerance)
                    .map_or(FailureTolerance::Nothing, |(_, spare)| *spare),
            },
            timeouts: PhaseTimeouts {
                drain_timeout: plan.drain_timeout_ms,
                work_timeout: plan.work_timeout_ms,
                return_timeout: plan.return_timeout_ms,
            },
            not_before: plan.not_before,
            waits_for_done: plan.waits_for_done,
            paused: false,
            cancelled: false,
        }),
        command::WorkCommand::Pause(order) => WorkAction::SetPaused(order, true),
        command::WorkCommand::Resume(order) => WorkAction::SetPaused(order, false),
        command::WorkCommand::Cancel(order) => WorkAction::Cancel(order),
        command::WorkCommand::Done(machine) => WorkAction::MarkDone(machine),
        command::WorkCommand::Failed(machine) => WorkAction::MarkFailed(machine),
        command::WorkCommand::Recall(machine) => WorkAction::Recall(machine),
    };
    fleet::OperatorCall::WorkAction(staff)
}

fn bans_file(dir: &Path) -> PathBuf {
    dir.join("violetwind.bans")
}

/// The bans that an earlier process left. What can't be read counts as none.
pub fn load_bans(dir: &Path, limits: &violetwind_service::Limits) -> Bans {
    let path = bans_file(dir);
    let whole = fs::metadata(&path)
        .map(|file| file.is_file() && file.len() <= limits.max_frame_bytes as u64 + 64);
    let bans = match whole {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Bans::default(),
        Ok(true) => fs::read(&path)
            .map_err(|error| error.to_string())
            .and_then(|bytes| {
                handover::decode_bans(&bytes, limits).map_err(|fault| fault.to_string())
            }),
        Ok(false) => Err("no ordinary file of its size".into()),
        Err(error) => Err(error.to_string()),
    };
    match bans {
        Ok(bans) => {
            if bans.count() > 0 {
                info!(out = ?bans.banned_servers().collect::<Vec<_>>(), "operators keep servers out");
            }
            bans
        }
        Err(error) => {
            warn!(error, file = %path.display(), "bans of an earlier process can't be read");
            Bans::default()
        }
    }
}

//! Executes operators' commands. A change is applied in the engine, saved to disk and forwarded to the other
//! process of an upgrade; its answer begins with 200 only after all of these have completed.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};
use violetwind_engine::{EngineEvent, OperatorReply, UnlistedServers};
use violetwind_fleet as fleet;
use violetwind_fleet::work_orders::WorkAction;
use violetwind_output::BackgroundWriter;
use violetwind_service::command::{self, OperatorCommand};
use violetwind_service::{Bans, OperatorChange, handover};

use crate::fleet::FleetHandle;
use crate::handover::ConnectionOffer;
use crate::limits::Limits;

/// Lifecycle state of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Starting,
    Serving,
    /// A successor process serves the clients now.
    Superseded,
    ShuttingDown,
}

/// A change forwarded to the other process of an upgrade, with the sender that confirms it.
pub type ForwardedChange = (OperatorChange, oneshot::Sender<()>);

/// Another process of an upgrade, to which what applies to both is forwarded.
#[derive(Clone, Debug)]
pub struct ForwardTarget {
    /// Operators' changes.
    pub changes: mpsc::Sender<ForwardedChange>,
    /// Notified when this process has reloaded its configuration files.
    pub reloads: Rc<Notify>,
}

/// A change that is in force in this process.
struct AppliedChange {
    message: String,
    /// Why the bans can't be saved for a later process.
    save_error: Option<String>,
}

impl AppliedChange {
    /// The answer to the operator: a refusal if a later process would not know of the change.
    fn into_reply(self) -> Result<String, String> {
        match self.save_error {
            None => Ok(self.message),
            Some(error) => Err(format!(
                "{}, but not kept for an upgrade: {error}",
                self.message
            )),
        }
    }
}

/// Executes operators' commands and holds the process state that they read or change.
pub struct OperatorService {
    limits: Rc<Limits>,
    engine: mpsc::Sender<EngineEvent>,
    /// The directory shared with earlier and later processes, where the bans are saved.
    shared_dir: Option<PathBuf>,
    /// Whether a list of servers is known.
    ready: watch::Receiver<bool>,
    /// Whether operators have made the proxy leave.
    has_left: Cell<bool>,
    process_state: Cell<ProcessState>,
    /// The bans last reported by the engine.
    bans: RefCell<Bans>,
    /// The discovery address set by a reload.
    discovery_override: Cell<Option<SocketAddr>>,
    /// The other processes of an upgrade, by number: usually one, briefly two.
    forward_targets: RefCell<BTreeMap<u64, ForwardTarget>>,
    next_target_id: Cell<u64>,
    /// Sender of connection offers to a successor.
    successor_sender: RefCell<Option<mpsc::Sender<ConnectionOffer>>>,
    fleet: Option<FleetHandle>,
    /// Whether this process takes part in maintenance work on machines.
    does_maintenance: bool,
    /// No more clients are admitted: the process is about to end.
    admission_closed: Cell<bool>,
    /// The predecessor process of an upgrade is still running.
    has_predecessor: Cell<bool>,
    /// A successor process serves the clients, or did when this process began to shut down. Only the successor knows
    /// which clients the proxy has.
    is_superseded: Cell<bool>,
    /// The log, which counts the lines that were lost.
    log: OnceCell<Arc<BackgroundWriter>>,
    /// A task is retrying to save the bans after a failure.
    bans_retry_running: Cell<bool>,
}

impl OperatorService {
    /// Creates the service in the `Starting` state. The first tuple is inherited from an earlier process: its bans,
    /// whether it had left, and its discovery address if a reload has set one. The second tuple is the fleet and
    /// whether this process takes part in maintenance work.
    pub fn new(
        limits: &Rc<Limits>,
        engine: mpsc::Sender<EngineEvent>,
        ready: watch::Receiver<bool>,
        shared_dir: Option<PathBuf>,
        (bans, has_left, discovery_override): (Bans, bool, Option<SocketAddr>),
        (fleet, does_maintenance): (Option<FleetHandle>, bool),
    ) -> Rc<Self> {
        Rc::new(Self {
            limits: limits.clone(),
            engine,
            shared_dir,
            ready,
            has_left: Cell::new(has_left),
            process_state: Cell::new(ProcessState::Starting),
            bans: RefCell::new(bans),
            discovery_override: Cell::new(discovery_override),
            forward_targets: RefCell::default(),
            next_target_id: Cell::default(),
            successor_sender: RefCell::default(),
            fleet,
            does_maintenance,
            admission_closed: Cell::new(false),
            has_predecessor: Cell::new(false),
            is_superseded: Cell::new(false),
            log: OnceCell::new(),
            bans_retry_running: Cell::new(false),
        })
    }

    /// Whether operators have made the proxy leave: the front end must not send it clients.
    pub fn has_left(&self) -> bool {
        self.has_left.get()
    }

    /// Returns the lifecycle state of this process.
    pub fn process_state(&self) -> ProcessState {
        self.process_state.get()
    }

    /// Sets the lifecycle state. Only the serving process of an upgrade takes part in the fleet, so the fleet member
    /// is activated or deactivated accordingly.
    pub fn set_process_state(&self, process_state: ProcessState) {
        self.process_state.set(process_state);
        if process_state == ProcessState::Serving {
            self.is_superseded.set(false);
            if let Some(fleet) = &self.fleet {
                fleet.activate();
            }
        }
        if process_state == ProcessState::ShuttingDown
            && let Some(fleet) = &self.fleet
        {
            // A process that has a successor does not drain the proxy: the proxy goes on serving.
            fleet.deactivate(self.does_maintenance && !self.is_superseded());
        }
    }

    /// Records that a successor serves the clients from now on. A process that is shutting down goes on with that.
    pub fn set_superseded(&self) {
        self.is_superseded.set(true);
        if self.process_state() != ProcessState::ShuttingDown {
            self.process_state.set(ProcessState::Superseded);
        }
        if let Some(fleet) = &self.fleet {
            fleet.deactivate(false);
        }
    }

    /// Whether a successor serves the clients, so that this process must not speak for the proxy in the fleet.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded.get()
    }

    /// Whether this process takes part in maintenance work on machines.
    pub fn does_maintenance(&self) -> bool {
        self.does_maintenance
    }

    /// Whether no more clients are admitted because the process is about to end.
    pub fn is_admission_closed(&self) -> bool {
        self.admission_closed.get()
    }

    /// Stops admitting clients, for the rest of the process.
    pub fn close_admission(&self) {
        self.admission_closed.set(true);
    }

    /// Sets the log whose lost lines `HEALTH` tells. Only the first call has an effect.
    pub fn set_log(&self, log: Arc<BackgroundWriter>) {
        let _ = self.log.set(log);
    }

    /// The part of the answer to `HEALTH` that tells how many log lines were lost; empty if none were.
    fn describe_lost_log_lines(&self) -> String {
        let lost = self.log.get().map(|log| log.lost_lines());
        let lost = lost.unwrap_or_default();
        if lost.total() == 0 {
            return String::new();
        }
        format!(
            ", {} log lines lost (queue full {}, write failed {})",
            lost.total(),
            lost.queue_full,
            lost.write_failed
        )
    }

    /// Records whether the predecessor process of an upgrade is still running.
    pub fn set_predecessor_present(&self, is_running: bool) {
        self.has_predecessor.set(is_running);
    }

    /// Whether the predecessor process of an upgrade is still running.
    pub fn has_predecessor(&self) -> bool {
        self.has_predecessor.get()
    }

    /// Whether duties still have to be handed off to other members.
    pub fn has_pending_handoffs(&self) -> bool {
        self.fleet.as_ref().is_some_and(FleetHandle::is_active)
    }

    /// Returns the bans last reported by the engine.
    pub fn bans(&self) -> Bans {
        self.bans.borrow().clone()
    }

    /// Returns the discovery address set by a reload, if any.
    pub fn discovery_override(&self) -> Option<SocketAddr> {
        self.discovery_override.get()
    }

    /// Records the discovery address set by a reload.
    pub fn set_discovery_override(&self, address: SocketAddr) {
        self.discovery_override.set(Some(address));
    }

    /// Returns the sender of connection offers to a successor, if there is one.
    pub fn successor_sender(&self) -> Option<mpsc::Sender<ConnectionOffer>> {
        self.successor_sender.borrow().clone()
    }

    /// Sets or removes the sender of connection offers to a successor.
    pub fn set_successor_sender(&self, successor_sender: Option<mpsc::Sender<ConnectionOffer>>) {
        self.successor_sender.replace(successor_sender);
    }

    /// Adds a process that operators' changes and reloads are forwarded to. Returns its number.
    pub fn add_forward_target(&self, target: ForwardTarget) -> u64 {
        let id = self.next_target_id.replace(self.next_target_id.get() + 1);
        self.forward_targets.borrow_mut().insert(id, target);
        id
    }

    /// Tells the other processes of an upgrade, except the one with number `from`, to reload the configuration files.
    /// Several reloads that a process has not been told of yet count as one.
    pub fn announce_reload(&self, from: Option<u64>) {
        for (id, target) in self.forward_targets.borrow().iter() {
            if Some(*id) != from {
                target.reloads.notify_one();
            }
        }
    }

    /// Stops forwarding to the process with this number.
    pub fn remove_forward_target(&self, id: u64) {
        self.forward_targets.borrow_mut().remove(&id);
    }

    /// Executes a command and returns its answer line, at the latest after `call_answer_timeout`. The command itself
    /// continues after the timeout.
    pub async fn handle_call(self: &Rc<Self>, call: OperatorCommand) -> String {
        let service = self.clone();
        // A separate task: when this call times out or is dropped, the command must not stop halfway.
        let task = tokio::task::spawn_local(async move {
            match call {
                OperatorCommand::Health => service.check_health().await,
                OperatorCommand::Change(change) => service.apply_everywhere(change).await,
                OperatorCommand::Fleet(call) => service.call_fleet(call).await,
            }
        });
        match timeout(self.limits.call_answer_timeout, task).await {
            Ok(Ok(Ok(reply))) => format!("200 {reply}"),
            Ok(Ok(Err(refusal))) => format!("400 {refusal}"),
            Ok(Err(error)) => format!("400 {error}"),
            Err(_) => "400 not in force yet: call again".to_string(),
        }
    }

    async fn call_fleet(&self, call: command::FleetCommand) -> Result<String, String> {
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
                lease_ms: requested_ms,
            } => {
                let ms = |duration: std::time::Duration| duration.as_millis() as u64;
                let max_lease_ms = ms(self.limits.max_unit_lease);
                fleet::OperatorCall::AcquireUnit {
                    budget,
                    token,
                    hold_timeout: requested_ms
                        .unwrap_or(ms(self.limits.default_unit_lease))
                        .min(max_lease_ms),
                    max_wait: ms(self.limits.unit_acquire_timeout),
                }
            }
            command::FleetCommand::ReleaseUnit { budget, token } => {
                fleet::OperatorCall::ReleaseUnit { budget, token }
            }
            command::FleetCommand::Work(work) => work_call(work),
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
                remaining: remaining_ms,
            } => Ok(serde_json::json!({"fence": fence, "left_ms": remaining_ms}).to_string()),
            fleet::OperatorAnswer::UnitAcquired => Ok("taken".into()),
            fleet::OperatorAnswer::NoUnit {
                retry_after: retry_ms,
            } => Err(format!("none left, again in {retry_ms} ms")),
            fleet::OperatorAnswer::NotHeld(why) | fleet::OperatorAnswer::Refused(why) => Err(why),
        }
    }

    async fn check_health(&self) -> Result<String, String> {
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
        let to_engine_ended = |_| "the engine has ended".to_string();
        let sent = self.engine.send(EngineEvent::Health(reply)).await;
        sent.map_err(|_| "the engine has ended".to_string())?;
        let servers = answer.await.map_err(to_engine_ended)?;
        let left_suffix = if self.has_left() { ", left" } else { "" };
        let log_suffix = self.describe_lost_log_lines();
        Ok(format!(
            "serving, {servers} servers known{left_suffix}{log_suffix}"
        ))
    }

    /// Applies a change in all processes. Returns the reply of this process, since another may have no list yet. A
    /// change that is in force here is forwarded even if it can't be saved.
    async fn apply_everywhere(self: &Rc<Self>, change: OperatorChange) -> Result<String, String> {
        let applied = self.apply(change.clone(), UnlistedServers::Reject).await?;
        self.forward(None, change).await;
        applied.into_reply()
    }

    /// Applies a change received from the other process with number `from`, and forwards it to all others.
    pub async fn apply_external(
        self: &Rc<Self>,
        from: u64,
        change: OperatorChange,
    ) -> Result<String, String> {
        let applied = self.apply(change.clone(), UnlistedServers::Accept).await;
        self.forward(Some(from), change).await;
        applied?.into_reply()
    }

    async fn forward(&self, from: Option<u64>, change: OperatorChange) {
        let targets: Vec<_> = {
            let targets = self.forward_targets.borrow();
            let targets = targets.iter().filter(|(id, _)| Some(**id) != from);
            targets.map(|(_, target)| target.changes.clone()).collect()
        };
        for target in targets {
            let (confirm, confirmed) = oneshot::channel();
            // A process that has exited in the meantime no longer needs the change.
            if target.send((change.clone(), confirm)).await.is_ok() && confirmed.await.is_err() {
                info!("another process exited before it confirmed a change");
            }
        }
    }

    /// Applies a change in the engine of this process and saves the bans to disk. Fails if the change is not in force.
    async fn apply(
        self: &Rc<Self>,
        change: OperatorChange,
        unlisted_servers: UnlistedServers,
    ) -> Result<AppliedChange, String> {
        let (reply, answer) = oneshot::channel();
        let engine_ended = || "the engine has ended".to_string();
        let event = EngineEvent::OperatorChange(change.clone(), unlisted_servers, reply);
        self.engine.send(event).await.map_err(|_| engine_ended())?;
        let (bans, already_suffix) = match answer.await.map_err(|_| engine_ended())? {
            OperatorReply::Changed(bans) => (bans, ""),
            OperatorReply::Same(bans) => (bans, " already"),
            OperatorReply::Unknown => return Err("no list has named this server".into()),
            OperatorReply::Full => return Err("too many servers are out".into()),
            OperatorReply::Ending => return Err("the proxy is told to end".into()),
        };
        let message = match &change {
            OperatorChange::Offline(uid) => format!("{uid} is out{already_suffix}"),
            OperatorChange::Online(uid) => format!("{uid} is in use{already_suffix}"),
            OperatorChange::Leave => format!("left{already_suffix}"),
            OperatorChange::Join => format!("back at work{already_suffix}"),
        };
        let mut save_error = None;
        match change {
            OperatorChange::Leave | OperatorChange::Join => {
                self.has_left.set(change == OperatorChange::Leave)
            }
            OperatorChange::Offline(_) | OperatorChange::Online(_) => {
                self.bans.replace(bans.clone());
                if let Err(error) = self.save_bans(&bans) {
                    warn!(error, "the list of banned servers can't be saved");
                    self.retry_saving_bans();
                    save_error = Some(error);
                }
            }
        }
        Ok(AppliedChange {
            message,
            save_error,
        })
    }

    /// Starts a task that retries to save the bans until it succeeds, unless one is already running.
    fn retry_saving_bans(self: &Rc<Self>) {
        if self.bans_retry_running.replace(true) {
            return;
        }
        let service = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(service.limits.bans_retry_interval).await;
                let bans = service.bans();
                if service.save_bans(&bans).is_ok() {
                    break;
                }
            }
            service.bans_retry_running.set(false);
            info!("the list of banned servers has been saved");
        });
    }

    /// Saves the bans in the shared directory for a successor. The file is replaced atomically.
    fn save_bans(&self, bans: &Bans) -> Result<(), String> {
        let Some(dir) = &self.shared_dir else {
            return Ok(());
        };
        let bytes = handover::encode_frame(bans, &self.limits.service).ok_or("too many")?;
        let new_path = dir.join(format!("violetwind.bans.{}", std::process::id()));
        let written =
            fs::write(&new_path, bytes).and_then(|()| fs::rename(&new_path, bans_path(dir)));
        written.map_err(|error| format!("{}: {error}", dir.display()))
    }
}

/// Converts an operator's work command into a call to the fleet.
fn work_call(work: command::WorkCommand) -> fleet::OperatorCall {
    use violetwind_workorders::{Bounds, FailureTolerance, PhaseTimeouts, WorkOrder};
    let action = match work {
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
                    .map_or(FailureTolerance::Nothing, |(_, tolerance)| *tolerance),
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
    fleet::OperatorCall::WorkAction(action)
}

fn bans_path(dir: &Path) -> PathBuf {
    dir.join("violetwind.bans")
}

/// Loads the bans saved by an earlier process. An unreadable file counts as no bans.
pub fn load_bans(dir: &Path, limits: &violetwind_service::Limits) -> Bans {
    let path = bans_path(dir);
    let is_acceptable = fs::metadata(&path)
        .map(|file| file.is_file() && file.len() <= limits.max_frame_bytes as u64 + 64);
    let bans = match is_acceptable {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Bans::default(),
        Ok(true) => fs::read(&path)
            .map_err(|error| error.to_string())
            .and_then(|bytes| {
                handover::decode_bans(&bytes, limits).map_err(|fault| fault.to_string())
            }),
        Ok(false) => Err("not a regular file, or larger than the limit".into()),
        Err(error) => Err(error.to_string()),
    };
    match bans {
        Ok(bans) => {
            if bans.count() > 0 {
                info!(out = ?bans.banned_servers().collect::<Vec<_>>(), "servers are banned by operators");
            }
            bans
        }
        Err(error) => {
            warn!(error, file = %path.display(), "bans of an earlier process can't be read");
            Bans::default()
        }
    }
}

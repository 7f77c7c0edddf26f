//! Runs this proxy as a member of a fleet, on a thread of its own: connections to peers (`links`), the data directory
//! (`violetwind_store`), timers and operators' calls. All decisions are made in `violetwind_fleet`. The engine's thread
//! never waits for the disk or a peer. Without the section `[fleet]` the thread does not exist.

pub mod allowances;
pub mod frames;
mod links;
pub mod maintenance;
pub mod settings;

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::thread;

use rustix::time::{ClockId, clock_gettime};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};
use tracing::{debug, error, info, warn};
use violetwind_consensus::NodeId;
use violetwind_fleet::budget::Part;
use violetwind_fleet::work_orders::{LocalWorkStatus, MachineList};
use violetwind_fleet::{
    Config, Event, Input, Member, MemberRecord, Name, Number, OperatorAnswer, OperatorCall, Output,
    SavedState,
};
use violetwind_net::is_resource_exhaustion;
use violetwind_store::{DiskEvent, RecordSender, Store};

use self::links::PeerLinks;
use self::settings::FleetSettings;

/// Milliseconds of the boot-time clock, which is monotonic, continues during suspend, and is the same for all processes
/// of a machine.
pub fn boottime_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}

/// A command for the fleet's thread.
enum Command {
    /// An operator's call, and the channel for its answer.
    Call(OperatorCall, oneshot::Sender<OperatorAnswer>),
    /// The balancer's usage of a budget: its name, the number of the part in force, units in use, denied requests.
    Usage(Name, Number, u64, u64),
    /// The state of the machines under maintenance as seen by this proxy.
    Maintenance(Box<LocalWorkStatus>),
}

/// Whether this process is to run a fleet member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Participation {
    Inactive,
    /// The process is ending: a member that takes part in work on machines stays until the proxy has stopped serving,
    /// for at most the drain timeout, so that it can report this.
    Draining,
    Active,
}

/// A handle to the fleet's thread.
#[derive(Clone)]
pub struct FleetHandle {
    commands: mpsc::Sender<Command>,
    /// The requested participation. A member that is requested to stop hands over its duties, and is not started again
    /// before the next activation.
    participation: watch::Sender<Participation>,
    /// Whether a member is running, including one that is still handing over.
    is_active: watch::Receiver<bool>,
}

/// A budget that the balancer counts, the number of its new part, and the part.
pub type BudgetUpdate = (Name, Number, Part);

/// Updates from the fleet's thread to the engine's thread: parts of budgets, and lists of machines that are out.
pub struct FleetUpdates {
    pub budget_updates: mpsc::Receiver<BudgetUpdate>,
    pub machine_lists: mpsc::Receiver<(Number, MachineList)>,
}

/// The sending ends of [`FleetUpdates`].
struct UpdateSenders {
    budget_updates: mpsc::Sender<BudgetUpdate>,
    machine_lists: mpsc::Sender<(Number, MachineList)>,
}

impl FleetHandle {
    /// Starts the thread, which waits for [`FleetHandle::activate`].
    ///
    /// # Errors
    /// If the thread can't be started, or the section `[fleet]` does not fit this proxy.
    pub fn start(settings: FleetSettings, node: &str) -> io::Result<(Self, FleetUpdates)> {
        settings.check_node(node).map_err(io::Error::other)?;
        for warning in &settings.warnings {
            warn!(warning, "questionable fleet setting");
        }
        let (command_sender, commands) = mpsc::channel(settings.link_limits.call_queue_capacity);
        let (activity_sender, is_active) = watch::channel(false);
        let (participation_sender, participation) = watch::channel(Participation::Inactive);
        let inbox = Inbox {
            commands,
            participation,
        };
        let (budget_sender, budget_updates) =
            mpsc::channel(settings.link_limits.budget_queue_capacity);
        let (list_sender, machine_lists) = mpsc::channel(
            settings
                .maintenance
                .as_ref()
                .map_or(1, |maintenance| maintenance.list_queue_capacity),
        );
        let update_senders = UpdateSenders {
            budget_updates: budget_sender,
            machine_lists: list_sender,
        };
        let updates = FleetUpdates {
            budget_updates,
            machine_lists,
        };
        let node = node.to_string();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        thread::Builder::new().name("fleet".into()).spawn(move || {
            let tasks = tokio::task::LocalSet::new();
            tasks.block_on(
                &runtime,
                run_fleet(settings, node, inbox, (activity_sender, update_senders)),
            );
            runtime.shutdown_background();
        })?;
        let fleet = Self {
            commands: command_sender,
            participation: participation_sender,
            is_active,
        };
        Ok((fleet, updates))
    }

    /// Requests that the member starts.
    pub fn activate(&self) {
        self.participation.send_replace(Participation::Active);
    }

    /// Requests that the member stops. With `drains_first`, because the process ends without a successor, a member that
    /// takes part in work on machines stays until the proxy has stopped serving, for at most the drain timeout.
    pub fn deactivate(&self, drains_first: bool) {
        self.participation.send_replace(match drains_first {
            true => Participation::Draining,
            false => Participation::Inactive,
        });
    }

    /// Reports the balancer's usage of a budget. The report is repeated periodically, so a full queue may drop one.
    pub fn report_usage(&self, budget: &str, part_number: Number, in_use: u64, denied: u64) {
        let _ = self.commands.try_send(Command::Usage(
            budget.to_string(),
            part_number,
            in_use,
            denied,
        ));
    }

    /// Reports the state of machines at this proxy. The report is repeated periodically, so a full queue may drop one.
    pub fn report_maintenance(&self, local: LocalWorkStatus) {
        let _ = self
            .commands
            .try_send(Command::Maintenance(Box::new(local)));
    }

    /// Whether a member is running, including one that is still handing over.
    pub fn is_active(&self) -> bool {
        *self.is_active.borrow()
    }

    /// Passes an operator's call to the member, and waits for the answer.
    ///
    /// # Errors
    /// If no member is running, or too many calls are queued.
    pub async fn call(&self, call: OperatorCall) -> Result<OperatorAnswer, String> {
        let (reply, answer) = oneshot::channel();
        let sent = self.commands.try_send(Command::Call(call, reply));
        sent.map_err(|_| "the fleet's thread takes no calls".to_string())?;
        answer
            .await
            .map_err(|_| "this proxy does not take part in the fleet now".to_string())
    }
}

/// The receiving ends of a [`FleetHandle`].
struct Inbox {
    commands: mpsc::Receiver<Command>,
    participation: watch::Receiver<Participation>,
}

/// Why a member has ended.
enum ExitReason {
    /// It was requested to stop, and has handed over.
    Quit,
    /// The data directory is an older copy: another member has seen a later write of it.
    Stale,
    /// Too many bytes wait to be written to disk.
    DiskBehind,
    /// A permanent error: a retry would fail too.
    Failed(String),
    /// All handles are dropped: the program ends.
    HandleDropped,
}

/// Runs a member whenever participation is requested, until the program ends.
async fn run_fleet(
    settings: FleetSettings,
    node: Name,
    mut inbox: Inbox,
    (is_active, updates): (watch::Sender<bool>, UpdateSenders),
) {
    let (settings, updates) = (Rc::new(settings), Rc::new(updates));
    loop {
        let is_wanted = *inbox.participation.borrow_and_update() == Participation::Active;
        is_active.send_replace(is_wanted);
        if !is_wanted {
            tokio::select! {
                changed = inbox.participation.changed() => if changed.is_err() {
                    return;
                },
                // Dropping a call's reply channel answers that the proxy does not take part now.
                command = inbox.commands.recv() => drop(command),
            }
            continue;
        }
        match run_member(&settings, &node, &mut inbox, &updates).await {
            ExitReason::Quit => {}
            ExitReason::HandleDropped => return,
            // The directory is quarantined: the member returns with a new id, and has to be let in.
            ExitReason::Stale => {}
            // Unacknowledged records are discarded: the member restarts from the state on disk.
            ExitReason::DiskBehind => sleep(settings.link_limits.retry_interval).await,
            ExitReason::Failed(why) => {
                error!(
                    why,
                    mono_ms = boottime_ms(),
                    "fleet membership failed: the proxy serves on without the fleet until it is restarted"
                );
                is_active.send_replace(false);
                // A retry does not repair a directory that is damaged or belongs to another member.
                while let Some(command) = inbox.commands.recv().await {
                    drop(command);
                }
                return;
            }
        }
    }
}

/// Opens a resource that another process may still use, with retries. Returns an exit reason if the attempt fails for
/// good, or if participation is no longer requested.
async fn open_with_retry<T>(
    settings: &FleetSettings,
    inbox: &mut Inbox,
    mut try_open: impl FnMut() -> Result<T, (bool, String)>,
) -> Result<T, ExitReason> {
    let mut is_logged = false;
    loop {
        match try_open() {
            Ok(opened) => return Ok(opened),
            Err((true, why)) => {
                if !std::mem::replace(&mut is_logged, true) {
                    info!(
                        why,
                        "joining the fleet is delayed until the resource is available"
                    );
                }
            }
            Err((false, why)) => return Err(ExitReason::Failed(why)),
        }
        tokio::select! {
            () = sleep(settings.link_limits.retry_interval) => {}
            changed = inbox.participation.changed() => match changed {
                Ok(()) if *inbox.participation.borrow_and_update() == Participation::Active => {}
                Ok(()) => return Err(ExitReason::Quit),
                Err(_) => return Err(ExitReason::HandleDropped),
            },
            Some(command) = inbox.commands.recv() => drop(command),
        }
    }
}

/// Runs one member from the opening of its directory to its end.
async fn run_member(
    settings: &Rc<FleetSettings>,
    node: &str,
    inbox: &mut Inbox,
    updates: &Rc<UpdateSenders>,
) -> ExitReason {
    let store = match &settings.data_dir {
        None => None,
        Some(dir) => {
            let opened = open_with_retry(settings, inbox, || {
                let new_id = NodeId(rand::random::<u64>().max(1));
                let store_settings = violetwind_store::Settings {
                    fleet: settings.name.clone(),
                    node: node.to_string(),
                    compaction_threshold_bytes: settings.link_limits.max_segment_bytes,
                    sync_writes: settings.fsync,
                };
                Store::open(dir, store_settings, new_id)
                    .map_err(|error| (error.is_transient(), error.to_string()))
            });
            match opened.await {
                Ok(store) => Some(store),
                Err(exit_reason) => return exit_reason,
            }
        }
    };
    let listener = open_with_retry(settings, inbox, || {
        links::listen(settings.listen).map_err(|error| {
            let is_transient =
                error.kind() == io::ErrorKind::AddrInUse || is_resource_exhaustion(&error);
            (
                is_transient,
                format!("fleet.listen {}: {error}", settings.listen),
            )
        })
    });
    let listener = match listener.await {
        Ok(listener) => listener,
        Err(exit_reason) => return exit_reason,
    };
    let saved_state = store.as_ref().map(|store| store.saved_state().clone());
    let id = saved_state.as_ref().map(|state| state.id);
    let (input_sender, mut inputs) = mpsc::channel(settings.link_limits.inbox_capacity);
    let links = PeerLinks::new(settings, node, id, input_sender.clone());
    let mut tasks = JoinSet::new();
    tasks.spawn_local(links.clone().accept_links(listener));
    for peer in settings.voters().filter(|peer| peer.node != node) {
        tasks.spawn_local(links.clone().dial_with_backoff(peer.clone()));
    }
    let (disk_event_sender, mut disk_events) = mpsc::unbounded_channel();
    let disk_thread = match store.map(|store| {
        violetwind_store::spawn_writer(
            store,
            move |event| drop(disk_event_sender.send(event)),
            settings.link_limits.retry_interval,
        )
    }) {
        None => None,
        Some(Ok(writer)) => Some(writer),
        Some(Err(error)) => {
            return ExitReason::Failed(format!("starting the disk thread: {error}"));
        }
    };
    info!(fleet = settings.name, node, listen = %settings.listen, id = id.map(|id| format!("{:x}", id.0)),
        mono_ms = boottime_ms(), "fleet member started");
    let record_sender = disk_thread
        .as_ref()
        .map(|(record_sender, _)| record_sender.clone());
    let mut runtime = MemberRuntime::new(
        settings,
        node,
        saved_state,
        (links, record_sender),
        updates.clone(),
    );
    let mut ticks = interval(settings.link_limits.tick_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while runtime.exit_reason.is_none() {
        tokio::select! {
            _ = ticks.tick() => runtime.handle_input(Input::Tick),
            Some(input) = inputs.recv() => runtime.handle_input(input),
            Some(event) = disk_events.recv() => match event {
                DiskEvent::RecordsSaved(number) => runtime.handle_records_saved(number),
                DiskEvent::WriteFailed(error) => {
                    runtime.exit_reason = Some(ExitReason::Failed(error.to_string()));
                }
            },
            changed = inbox.participation.changed() => match changed {
                Ok(()) => match *inbox.participation.borrow_and_update() {
                    Participation::Active => {}
                    Participation::Inactive => runtime.handle_input(Input::Quit),
                    Participation::Draining => runtime.handle_input(Input::QuitAfterDrain),
                },
                // The program ends without notifying the fleet: the lease expires.
                Err(_) => runtime.exit_reason = Some(ExitReason::HandleDropped),
            },
            Some(command) = inbox.commands.recv() => match command {
                Command::Usage(budget, part_number, in_use, denied) => {
                    runtime.handle_input(Input::ExternalUsage { budget, part_number, in_use, denied });
                }
                Command::Maintenance(local) => runtime.handle_input(Input::LocalWorkStatus(*local)),
                Command::Call(call, reply) => runtime.handle_call(call, reply),
            },
        }
    }
    let exit_reason = runtime.exit_reason.take().unwrap_or(ExitReason::Quit);
    // Allows time for the last frames to be sent.
    if matches!(exit_reason, ExitReason::Quit) {
        sleep(settings.link_limits.tick_interval).await;
    }
    tasks.shutdown().await;
    drop(runtime);
    let Some((record_sender, thread)) = disk_thread else {
        return exit_reason;
    };
    drop(record_sender);
    let store = tokio::task::spawn_blocking(move || thread.join()).await;
    match (exit_reason, store) {
        (ExitReason::Stale, Ok(Ok(store))) => match store.quarantine("stale") {
            Ok(quarantine_dir) => {
                warn!(aside = %quarantine_dir.display(), "the older copy is put aside; this member is a stranger until it is let in");
                ExitReason::Stale
            }
            Err(error) => ExitReason::Failed(error.to_string()),
        },
        (exit_reason, _) => exit_reason,
    }
}

/// A member with its connections to the engine, the peers and the disk.
struct MemberRuntime {
    member: Member,
    /// The channels to the engine's thread.
    updates: Rc<UpdateSenders>,
    links: Rc<PeerLinks>,
    record_sender: Option<RecordSender>,
    /// Records that are not on disk yet, with their sizes in bytes.
    unsynced_records: VecDeque<(Number, usize)>,
    unsynced_bytes: usize,
    max_unsynced_bytes: usize,
    pending_calls: BTreeMap<Number, oneshot::Sender<OperatorAnswer>>,
    last_call_number: Number,
    exit_reason: Option<ExitReason>,
}

impl MemberRuntime {
    fn new(
        settings: &FleetSettings,
        node: &str,
        saved_state: Option<SavedState>,
        (links, record_sender): (Rc<PeerLinks>, Option<RecordSender>),
        updates: Rc<UpdateSenders>,
    ) -> Self {
        let config = Config {
            work_enabled: settings.maintenance.is_some(),
            node: node.to_string(),
            peers: settings
                .peers
                .iter()
                .map(|peer| (peer.node.clone(), peer.is_voter))
                .collect(),
            duties: settings.duties.clone(),
            budgets: settings.budgets.clone(),
            external_budgets: settings.balancer_budgets.keys().cloned().collect(),
            limits: settings.limits.clone(),
        };
        // The two highest bits are clear, so that numbers counted up from the seed do not overflow.
        let seed = rand::random::<u64>() >> 2;
        Self {
            member: Member::new(config, saved_state, seed, boottime_ms()),
            updates,
            links,
            record_sender,
            unsynced_records: VecDeque::new(),
            unsynced_bytes: 0,
            max_unsynced_bytes: settings.link_limits.max_unsynced_bytes,
            pending_calls: BTreeMap::new(),
            last_call_number: 0,
            exit_reason: None,
        }
    }

    fn handle_call(&mut self, call: OperatorCall, reply: oneshot::Sender<OperatorAnswer>) {
        self.last_call_number += 1;
        self.pending_calls.retain(|_, reply| !reply.is_closed());
        self.pending_calls.insert(self.last_call_number, reply);
        self.handle_input(Input::Call(self.last_call_number, call));
    }

    fn handle_records_saved(&mut self, number: Number) {
        while let Some((_, bytes)) = self
            .unsynced_records
            .pop_front_if(|(queued_number, _)| *queued_number <= number)
        {
            self.unsynced_bytes -= bytes;
        }
        self.handle_input(Input::RecordsSaved(number));
    }

    fn handle_input(&mut self, input: Input) {
        for output in self.member.handle(boottime_ms(), input) {
            match output {
                Output::Send(to, message) => self.links.send(&to, &message),
                Output::SaveRecord(number, record) => self.save_record(number, record),
                Output::Answer(number, answer) => {
                    if let Some(reply) = self.pending_calls.remove(&number) {
                        // The caller may have stopped waiting for the answer.
                        let _ = reply.send(answer);
                    }
                }
                Output::Part(budget, number, part) => {
                    // A dropped part is sent again when it changes; until then a smaller part is in force, never a
                    // larger one.
                    if self
                        .updates
                        .budget_updates
                        .try_send((budget, number, part))
                        .is_err()
                    {
                        warn!("budget update dropped: the queue to the balancer is full or closed");
                    }
                }
                Output::MachineList(version, list) => {
                    // The list is sent again until it is in force.
                    if self
                        .updates
                        .machine_lists
                        .try_send((version, list))
                        .is_err()
                    {
                        warn!("machine list dropped: the queue to the engine is full or closed");
                    }
                }
                Output::Event(event) => self.handle_event(event),
                Output::Ended => self.exit_reason = Some(ExitReason::Quit),
            }
        }
    }

    /// Queues a record for the disk, and ends the member if too many bytes are unsynced.
    fn save_record(&mut self, number: Number, record: MemberRecord) {
        let bytes = match &record {
            MemberRecord::Write(write) => {
                let snapshot_bytes = write
                    .snapshot
                    .as_ref()
                    .map_or(0, |snapshot| snapshot.data.len());
                64 + snapshot_bytes
                    + write
                        .entries
                        .iter()
                        .map(|entry| entry.byte_len())
                        .sum::<usize>()
            }
            MemberRecord::Agreed(_) | MemberRecord::Formed => 64,
        };
        self.unsynced_records.push_back((number, bytes));
        self.unsynced_bytes += bytes;
        if self.unsynced_bytes > self.max_unsynced_bytes {
            let bytes = self.unsynced_bytes;
            warn!(
                bytes,
                mono_ms = boottime_ms(),
                "too many unsynced bytes: this member restarts"
            );
            self.exit_reason = Some(ExitReason::DiskBehind);
            return;
        }
        if let Some(record_sender) = &self.record_sender {
            // If the disk thread has ended, its last event reports the reason.
            let _ = record_sender.send((number, record));
        }
    }

    /// Logs an event; a stale directory ends the member.
    fn handle_event(&mut self, event: Event) {
        let mono_ms = boottime_ms();
        match event {
            Event::Gained { duty, fence } => info!(duty, fence, mono_ms, "duty gained"),
            Event::Lost { duty, fence, why } => info!(duty, fence, mono_ms, %why, "duty lost"),
            Event::Session { number } => info!(session = number, mono_ms, "session opened"),
            Event::NoSession { why } => info!(mono_ms, %why, "no session: nothing is held"),
            Event::NeedLeftOpen { need, term, took } => debug!(
                budget = need.budget,
                wanted = need.wanted,
                units = need.units,
                term,
                took_ms = took,
                mono_ms,
                "the leader answered without granting all requested units"
            ),
            Event::NoLeader { since } => {
                warn!(
                    since_ms = since,
                    mono_ms, "nobody that leads the fleet answers: nothing is held here"
                );
            }
            Event::LeaderAgain => info!(mono_ms, "the fleet has a leader again"),
            Event::Leads { term } => info!(term, mono_ms, "this member leads the fleet"),
            Event::Follows { term } => {
                info!(term, mono_ms, "this member no longer leads the fleet")
            }
            Event::Formed { voters } => info!(?voters, mono_ms, "the fleet is formed"),
            Event::Stranger { id } => {
                let id = format!("{:x}", id.0);
                warn!(
                    id,
                    mono_ms, "the fleet knows another directory under this name: let this one in"
                );
            }
            Event::Stale { own, seen } => {
                error!(
                    own,
                    seen, mono_ms, "the directory is an older copy of itself: it never votes again"
                );
                self.exit_reason = Some(ExitReason::Stale);
            }
            Event::Ended { name, why } => info!(member = name, mono_ms, %why, "session ended"),
            Event::Halted { why } => {
                error!(
                    why,
                    mono_ms,
                    "this program is too old for the fleet's log: it still votes, but decides nothing"
                );
            }
            Event::Full { what } => warn!(what, mono_ms, "fleet limit reached"),
        }
    }
}

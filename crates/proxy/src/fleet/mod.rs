//! This proxy as a member of a fleet, on a thread of its own: sockets to peers (`links`), the directory
//! (`violetwind_store`), timers, operators' calls. It decides nothing: `violetwind_fleet` does. Neither the disk nor a
//! peer is ever waited for on the engine's thread, and without `[fleet]` there is no thread.

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

/// Milliseconds of a clock that does not go back and that goes on while the machine sleeps: the same for all
/// processes of a machine.
pub fn boottime_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}

enum Word {
    Call(OperatorCall, oneshot::Sender<OperatorAnswer>),
    /// What the module uses of a budget that it counts: part in force, in use, how often too small.
    Used(Name, Number, u64, u64),
    /// What is so here of machines that are worked on.
    Work(Box<LocalWorkStatus>),
}

/// Whether it is to take part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wanted {
    No,
    /// The process ends: a member that takes part in work says when it serves nobody.
    Ending,
    Yes,
}

/// The way to the fleet's thread.
#[derive(Clone)]
pub struct FleetHandle {
    words: mpsc::Sender<Word>,
    /// Told to hand on, it hands on and stays away until it is wanted again.
    wanted: watch::Sender<Wanted>,
    /// Whether it takes part, or still hands on.
    busy: watch::Receiver<bool>,
}

/// A part of a budget that the module counts, with its number.
pub type BudgetUpdate = (Name, Number, Part);

/// What the fleet's thread tells the engine's: parts of budgets, and what is out.
pub struct FleetUpdates {
    pub budget_updates: mpsc::Receiver<BudgetUpdate>,
    pub machine_lists: mpsc::Receiver<(Number, MachineList)>,
}

/// The other ends of these.
struct Tells {
    parts: mpsc::Sender<BudgetUpdate>,
    lists: mpsc::Sender<(Number, MachineList)>,
}

impl FleetHandle {
    /// Starts the thread, which waits for [`Fleet::begin`].
    ///
    /// # Errors
    /// The thread can't be started, or the section does not fit this proxy.
    pub fn start(settings: FleetSettings, node: &str) -> io::Result<(Self, FleetUpdates)> {
        settings.check_node(node).map_err(io::Error::other)?;
        for warning in &settings.warnings {
            warn!(warning, "fleet");
        }
        let (words, inbox) = mpsc::channel(settings.link_limits.call_queue_capacity);
        let (is_busy, busy) = watch::channel(false);
        let (wanted, is_wanted) = watch::channel(Wanted::No);
        let inbox = Inbox {
            words: inbox,
            wanted: is_wanted,
        };
        let (parts, parts_told) = mpsc::channel(settings.link_limits.budget_queue_capacity);
        let (lists, lists_told) = mpsc::channel(
            settings
                .maintenance
                .as_ref()
                .map_or(1, |work| work.list_queue_capacity),
        );
        let tells = Tells { parts, lists };
        let told = FleetUpdates {
            budget_updates: parts_told,
            machine_lists: lists_told,
        };
        let node = node.to_string();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        thread::Builder::new().name("fleet".into()).spawn(move || {
            let tasks = tokio::task::LocalSet::new();
            tasks.block_on(&runtime, live(settings, node, inbox, (is_busy, tells)));
            runtime.shutdown_background();
        })?;
        let fleet = Self {
            words,
            wanted,
            busy,
        };
        Ok((fleet, told))
    }

    pub fn activate(&self) {
        self.wanted.send_replace(Wanted::Yes);
    }

    pub fn deactivate(&self, ending: bool) {
        self.wanted.send_replace(match ending {
            true => Wanted::Ending,
            false => Wanted::No,
        });
    }

    /// What the module uses of a budget; said again and again, so that one word may be lost.
    pub fn report_usage(&self, budget: &str, part: Number, busy: u64, denied: u64) {
        let _ = self
            .words
            .try_send(Word::Used(budget.to_string(), part, busy, denied));
    }

    /// What is so here of machines; said again and again, so that one word may be lost.
    pub fn report_maintenance(&self, local: LocalWorkStatus) {
        let _ = self.words.try_send(Word::Work(Box::new(local)));
    }

    pub fn is_active(&self) -> bool {
        *self.busy.borrow()
    }

    /// # Errors
    /// The member has ended, or too many calls wait.
    pub async fn call(&self, call: OperatorCall) -> Result<OperatorAnswer, String> {
        let (reply, answer) = oneshot::channel();
        let sent = self.words.try_send(Word::Call(call, reply));
        sent.map_err(|_| "the fleet's thread takes no calls".to_string())?;
        answer
            .await
            .map_err(|_| "this proxy does not take part in the fleet now".to_string())
    }
}

/// What the fleet's thread hears from the proxy.
struct Inbox {
    words: mpsc::Receiver<Word>,
    wanted: watch::Receiver<Wanted>,
}

/// Why a member is over.
enum Over {
    Quit,
    /// The directory is an older copy of itself.
    Stale,
    /// The disk is too far behind what it has to save.
    Behind,
    Failed(String),
    /// The program ends.
    Dropped,
}

/// Takes part whenever it is told to, for as long as the program runs.
async fn live(
    settings: FleetSettings,
    node: Name,
    mut inbox: Inbox,
    (busy, tells): (watch::Sender<bool>, Tells),
) {
    let (settings, tells) = (Rc::new(settings), Rc::new(tells));
    loop {
        let wanted = *inbox.wanted.borrow_and_update() == Wanted::Yes;
        busy.send_replace(wanted);
        if !wanted {
            tokio::select! {
                changed = inbox.wanted.changed() => if changed.is_err() {
                    return;
                },
                // Who calls is told that it takes no part now.
                word = inbox.words.recv() => drop(word),
            }
            continue;
        }
        match take_part(&settings, &node, &mut inbox, &tells).await {
            Over::Quit => {}
            Over::Dropped => return,
            // Set aside: it comes back as a stranger.
            Over::Stale => {}
            // What was not acknowledged is forgotten; it begins again with what is on disk.
            Over::Behind => sleep(settings.link_limits.retry_interval).await,
            Over::Failed(why) => {
                error!(
                    why,
                    mono_ms = boottime_ms(),
                    "this proxy takes no part in the fleet until it is restarted; it serves on"
                );
                busy.send_replace(false);
                // A directory that is damaged or somebody else's stays so however often it is tried.
                while let Some(word) = inbox.words.recv().await {
                    drop(word);
                }
                return;
            }
        }
    }
}

/// Opens what another process may still use; none if told to quit meanwhile.
async fn open<T>(
    settings: &FleetSettings,
    inbox: &mut Inbox,
    mut open: impl FnMut() -> Result<T, (bool, String)>,
) -> Result<T, Over> {
    let mut said = false;
    loop {
        match open() {
            Ok(opened) => return Ok(opened),
            Err((true, why)) => {
                if !std::mem::replace(&mut said, true) {
                    info!(why, "the fleet is joined once that is free");
                }
            }
            Err((false, why)) => return Err(Over::Failed(why)),
        }
        tokio::select! {
            () = sleep(settings.link_limits.retry_interval) => {}
            changed = inbox.wanted.changed() => match changed {
                Ok(()) if *inbox.wanted.borrow_and_update() == Wanted::Yes => {}
                Ok(()) => return Err(Over::Quit),
                Err(_) => return Err(Over::Dropped),
            },
            Some(word) = inbox.words.recv() => drop(word),
        }
    }
}

async fn take_part(
    settings: &Rc<FleetSettings>,
    node: &str,
    heard: &mut Inbox,
    tells: &Rc<Tells>,
) -> Over {
    let store = match &settings.data_dir {
        None => None,
        Some(dir) => {
            let opened = open(settings, heard, || {
                let fresh = NodeId(rand::random::<u64>().max(1));
                let store = violetwind_store::Settings {
                    fleet: settings.name.clone(),
                    node: node.to_string(),
                    compaction_threshold_bytes: settings.link_limits.max_segment_bytes,
                    sync_writes: settings.fsync,
                };
                Store::open(dir, store, fresh)
                    .map_err(|error| (error.is_transient(), error.to_string()))
            });
            match opened.await {
                Ok(store) => Some(store),
                Err(over) => return over,
            }
        }
    };
    let listener = open(settings, heard, || {
        links::listen(settings.listen).map_err(|error| {
            let passes = error.kind() == io::ErrorKind::AddrInUse || is_resource_exhaustion(&error);
            (passes, format!("fleet.listen {}: {error}", settings.listen))
        })
    });
    let listener = match listener.await {
        Ok(listener) => listener,
        Err(over) => return over,
    };
    let saved = store.as_ref().map(|store| store.saved_state().clone());
    let id = saved.as_ref().map(|saved| saved.id);
    let (inbox, mut inputs) = mpsc::channel(settings.link_limits.inbox_capacity);
    let links = PeerLinks::new(settings, node, id, inbox.clone());
    let mut tasks = JoinSet::new();
    tasks.spawn_local(links.clone().accept_links(listener));
    for peer in settings.voters().filter(|peer| peer.node != node) {
        tasks.spawn_local(links.clone().dial_with_backoff(peer.clone()));
    }
    let (told, mut disk) = mpsc::unbounded_channel();
    let disk_thread = match store.map(|store| {
        violetwind_store::spawn_writer(
            store,
            move |word| drop(told.send(word)),
            settings.link_limits.retry_interval,
        )
    }) {
        None => None,
        Some(Ok(running)) => Some(running),
        Some(Err(error)) => return Over::Failed(format!("the disk's thread: {error}")),
    };
    info!(fleet = settings.name, node, listen = %settings.listen, id = id.map(|id| format!("{:x}", id.0)),
        mono_ms = boottime_ms(), "this proxy takes part in a fleet");
    let records = disk_thread.as_ref().map(|(records, _)| records.clone());
    let mut part = Process::new(settings, node, saved, (links, records), tells.clone());
    let mut ticks = interval(settings.link_limits.tick_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while part.over.is_none() {
        tokio::select! {
            _ = ticks.tick() => part.handle(Input::Tick),
            Some(input) = inputs.recv() => part.handle(input),
            Some(word) = disk.recv() => match word {
                DiskEvent::RecordsSaved(number) => part.saved(number),
                DiskEvent::WriteFailed(error) => {
                    part.over = Some(Over::Failed(error.to_string()));
                }
            },
            changed = heard.wanted.changed() => match changed {
                Ok(()) => match *heard.wanted.borrow_and_update() {
                    Wanted::Yes => {}
                    Wanted::No => part.handle(Input::Quit),
                    Wanted::Ending => part.handle(Input::QuitAfterDrain),
                },
                // The program ends without a word to anybody: the lease runs out.
                Err(_) => part.over = Some(Over::Dropped),
            },
            Some(word) = heard.words.recv() => match word {
                Word::Used(budget, number, busy, denied) => {
                    part.handle(Input::ExternalUsage { budget, part_number: number, in_use: busy, denied });
                }
                Word::Work(local) => part.handle(Input::LocalWorkStatus(*local)),
                Word::Call(call, reply) => part.call(call, reply),
            },
        }
    }
    let over = part.over.take().unwrap_or(Over::Quit);
    // The last frames have a moment to go.
    if matches!(over, Over::Quit) {
        sleep(settings.link_limits.tick_interval).await;
    }
    tasks.shutdown().await;
    drop(part);
    let Some((records, thread)) = disk_thread else {
        return over;
    };
    drop(records);
    let store = tokio::task::spawn_blocking(move || thread.join()).await;
    match (over, store) {
        (Over::Stale, Ok(Ok(store))) => match store.quarantine("stale") {
            Ok(aside) => {
                warn!(aside = %aside.display(), "the older copy is put aside; this member is a stranger until it is let in");
                Over::Stale
            }
            Err(fault) => Over::Failed(fault.to_string()),
        },
        (over, _) => over,
    }
}

/// A member, and the ways to what is around it.
struct Process {
    member: Member,
    /// The way to the engine's thread.
    tells: Rc<Tells>,
    links: Rc<PeerLinks>,
    records: Option<RecordSender>,
    /// Records on the way to the disk, and their sizes.
    unsynced: VecDeque<(Number, usize)>,
    unsynced_bytes: usize,
    unsynced_most: usize,
    calls: BTreeMap<Number, oneshot::Sender<OperatorAnswer>>,
    next_call: Number,
    over: Option<Over>,
}

impl Process {
    fn new(
        settings: &FleetSettings,
        node: &str,
        saved: Option<SavedState>,
        (links, records): (Rc<PeerLinks>, Option<RecordSender>),
        tells: Rc<Tells>,
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
        // The two highest bits are left free for counting on from it.
        let seed = rand::random::<u64>() >> 2;
        Self {
            member: Member::new(config, saved, seed, boottime_ms()),
            tells,
            links,
            records,
            unsynced: VecDeque::new(),
            unsynced_bytes: 0,
            unsynced_most: settings.link_limits.max_unsynced_bytes,
            calls: BTreeMap::new(),
            next_call: 0,
            over: None,
        }
    }

    fn call(&mut self, call: OperatorCall, reply: oneshot::Sender<OperatorAnswer>) {
        self.next_call += 1;
        self.calls.retain(|_, reply| !reply.is_closed());
        self.calls.insert(self.next_call, reply);
        self.handle(Input::Call(self.next_call, call));
    }

    fn saved(&mut self, number: Number) {
        while let Some((_, bytes)) = self.unsynced.pop_front_if(|(at, _)| *at <= number) {
            self.unsynced_bytes -= bytes;
        }
        self.handle(Input::RecordsSaved(number));
    }

    fn handle(&mut self, input: Input) {
        for output in self.member.handle(boottime_ms(), input) {
            match output {
                Output::Send(to, peer) => self.links.send(&to, &peer),
                Output::SaveRecord(number, record) => self.save(number, record),
                Output::Answer(number, answer) => {
                    if let Some(reply) = self.calls.remove(&number) {
                        // A caller that has gone needs none.
                        let _ = reply.send(answer);
                    }
                }
                Output::Part(budget, number, part) => {
                    // One that is not taken is told again when it changes; until then less counts, not more.
                    if self.tells.parts.try_send((budget, number, part)).is_err() {
                        warn!("the module does not take its parts of budgets");
                    }
                }
                Output::MachineList(version, list) => {
                    // It is told again for as long as it is not in force.
                    if self.tells.lists.try_send((version, list)).is_err() {
                        warn!("the engine's thread does not take what is out");
                    }
                }
                Output::Event(event) => self.event(event),
                Output::Ended => self.over = Some(Over::Quit),
            }
        }
    }

    fn save(&mut self, number: Number, record: MemberRecord) {
        let bytes = match &record {
            MemberRecord::Write(write) => {
                let snapshot = write
                    .snapshot
                    .as_ref()
                    .map_or(0, |snapshot| snapshot.data.len());
                64 + snapshot
                    + write
                        .entries
                        .iter()
                        .map(|entry| entry.byte_len())
                        .sum::<usize>()
            }
            MemberRecord::Agreed(_) | MemberRecord::Formed => 64,
        };
        self.unsynced.push_back((number, bytes));
        self.unsynced_bytes += bytes;
        if self.unsynced_bytes > self.unsynced_most {
            let bytes = self.unsynced_bytes;
            warn!(
                bytes,
                mono_ms = boottime_ms(),
                "more waits for the disk than may: this member begins again"
            );
            self.over = Some(Over::Behind);
            return;
        }
        if let Some(records) = &self.records {
            // Its thread tells itself why it ended.
            let _ = records.send((number, record));
        }
    }

    fn event(&mut self, event: Event) {
        let mono_ms = boottime_ms();
        match event {
            Event::Gained { duty, fence } => info!(duty, fence, mono_ms, "duty gained"),
            Event::Lost { duty, fence, why } => info!(duty, fence, mono_ms, %why, "duty lost"),
            Event::Session { number } => info!(session = number, mono_ms, "session"),
            Event::NoSession { why } => info!(mono_ms, %why, "no session: nothing is held"),
            Event::NeedLeftOpen { need, term, took } => debug!(
                budget = need.budget,
                wanted = need.wanted,
                units = need.units,
                term,
                took_ms = took,
                mono_ms,
                "the leader has answered and left a need open"
            ),
            Event::NoLeader { since } => {
                warn!(
                    since_ms = since,
                    mono_ms, "nobody that leads the fleet answers: nothing is held here"
                );
            }
            Event::LeaderAgain => info!(mono_ms, "the fleet is led again"),
            Event::Leads { term } => info!(term, mono_ms, "this member leads the fleet"),
            Event::Follows { term } => info!(
                term,
                mono_ms, "this member does not lead the fleet any more"
            ),
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
                self.over = Some(Over::Stale);
            }
            Event::Ended { name, why } => info!(member = name, mono_ms, %why, "a session is over"),
            Event::Halted { why } => {
                error!(
                    why,
                    mono_ms,
                    "this program is too old for the fleet's log: it votes and settles nothing"
                );
            }
            Event::Full { what } => warn!(what, mono_ms, "at a limit of the fleet"),
        }
    }
}

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
use violetwind_fleet::work::Staff;
use violetwind_service::call::{self, Call};
use violetwind_service::{Bans, Change, handover};

use crate::fleet::Fleet;
use crate::handover::Given;
use crate::limits::Limits;

/// Where this process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    Starting,
    Serving,
    /// A successor serves in its place.
    Succeeded,
    Ending,
}

/// What is asked of the other process of an upgrade, with the way back for its answer.
pub type Forward = (Change, oneshot::Sender<()>);

pub struct Service {
    limits: Rc<Limits>,
    engine: mpsc::Sender<EngineEvent>,
    /// The directory that outlives this process in an upgrade.
    dir: Option<PathBuf>,
    /// Whether the list is known.
    ready: watch::Receiver<bool>,
    left: Cell<bool>,
    stand: Cell<Stand>,
    /// The bans as the engine last told them.
    bans: RefCell<Bans>,
    /// Where a reload has moved discovery to.
    discovery: Cell<Option<SocketAddr>>,
    /// The ways to the other processes of an upgrade, by number: one, or two for a moment.
    others: RefCell<BTreeMap<u64, mpsc::Sender<Forward>>>,
    next_other: Cell<u64>,
    /// The way for connections to a successor that serves.
    heir: RefCell<Option<mpsc::Sender<Given>>>,
    fleet: Option<Fleet>,
    /// Whether it takes part in work on machines.
    works: bool,
    /// Nobody is let in any more, and the process is about to end.
    closed: Cell<bool>,
    /// The process before this one of an upgrade has not gone yet.
    elder: Cell<bool>,
    /// A task writes the bans down again, as that failed.
    keeps_again: Cell<bool>,
}

impl Service {
    pub fn new(
        limits: &Rc<Limits>,
        engine: mpsc::Sender<EngineEvent>,
        ready: watch::Receiver<bool>,
        dir: Option<PathBuf>,
        (bans, left, discovery): (Bans, bool, Option<SocketAddr>),
        (fleet, works): (Option<Fleet>, bool),
    ) -> Rc<Self> {
        Rc::new(Self {
            limits: limits.clone(),
            engine,
            dir,
            ready,
            left: Cell::new(left),
            stand: Cell::new(Stand::Starting),
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
    pub fn left(&self) -> bool {
        self.left.get()
    }

    pub fn stand(&self) -> Stand {
        self.stand.get()
    }

    /// One process of an upgrade takes part in the fleet: the one that serves.
    pub fn set_stand(&self, stand: Stand) {
        self.stand.set(stand);
        if let Some(fleet) = &self.fleet {
            match stand {
                Stand::Starting => {}
                Stand::Serving => fleet.begin(),
                Stand::Succeeded => fleet.quit(false),
                Stand::Ending => fleet.quit(self.works),
            }
        }
    }

    pub fn works(&self) -> bool {
        self.works
    }

    pub fn closed(&self) -> bool {
        self.closed.get()
    }

    pub fn set_closed(&self) {
        self.closed.set(true);
    }

    pub fn set_elder(&self, is_there: bool) {
        self.elder.set(is_there);
    }

    pub fn has_elder(&self) -> bool {
        self.elder.get()
    }

    /// Whether duties are still to be handed on.
    pub fn hands_on(&self) -> bool {
        self.fleet.as_ref().is_some_and(Fleet::busy)
    }

    pub fn bans(&self) -> Bans {
        self.bans.borrow().clone()
    }

    pub fn moved_discovery(&self) -> Option<SocketAddr> {
        self.discovery.get()
    }

    pub fn set_moved_discovery(&self, at: SocketAddr) {
        self.discovery.set(Some(at));
    }

    pub fn heir(&self) -> Option<mpsc::Sender<Given>> {
        self.heir.borrow().clone()
    }

    pub fn set_heir(&self, heir: Option<mpsc::Sender<Given>>) {
        self.heir.replace(heir);
    }

    /// Operators' words go this way too from now on.
    pub fn add_other(&self, to: mpsc::Sender<Forward>) -> u64 {
        let id = self.next_other.replace(self.next_other.get() + 1);
        self.others.borrow_mut().insert(id, to);
        id
    }

    pub fn remove_other(&self, id: u64) {
        self.others.borrow_mut().remove(&id);
    }

    /// The answer to a call, in time.
    pub async fn call(self: &Rc<Self>, call: Call) -> String {
        let service = self.clone();
        // A caller that is given up must not leave half of it done.
        let task = tokio::task::spawn_local(async move {
            match call {
                Call::Health => service.health().await,
                Call::Change(change) => service.change(change).await,
                Call::Fleet(call) => service.fleet(call).await,
            }
        });
        match timeout(self.limits.call_answer, task).await {
            Ok(Ok(Ok(word))) => format!("200 {word}"),
            Ok(Ok(Err(word))) => format!("400 {word}"),
            Ok(Err(error)) => format!("400 {error}"),
            Err(_) => "400 not in force yet: call again".to_string(),
        }
    }

    async fn fleet(&self, call: call::Fleet) -> Result<String, String> {
        let Some(fleet) = &self.fleet else {
            return Err(call::Fault::Unknown.to_string());
        };
        let call = match call {
            call::Fleet::Show => fleet::Call::View,
            call::Fleet::LetIn(node) => fleet::Call::Order(fleet::Order::LetIn { node }),
            call::Fleet::PutOut(node) => fleet::Call::Order(fleet::Order::PutOut { node }),
            call::Fleet::HandOn { duty, to } => {
                fleet::Call::Order(fleet::Order::HandOn { duty, to })
            }
            call::Fleet::Hold { duty, token } => fleet::Call::Hold { duty, token },
            call::Fleet::Done { duty, token } => fleet::Call::Done { duty, token },
            call::Fleet::Gone(node) => fleet::Call::Order(fleet::Order::Gone { node }),
            call::Fleet::Take {
                budget,
                token,
                within_ms,
            } => {
                let ms = |span: std::time::Duration| span.as_millis() as u64;
                let most = ms(self.limits.unit_most);
                fleet::Call::Take {
                    budget,
                    token,
                    within: within_ms.unwrap_or(ms(self.limits.unit)).min(most),
                    wait: ms(self.limits.unit_wait),
                }
            }
            call::Fleet::Give { budget, token } => fleet::Call::Give { budget, token },
            call::Fleet::Work(work) => staff_call(work),
        };
        match fleet.call(call).await? {
            fleet::Answer::View(view) => {
                serde_json::to_string(&view).map_err(|error| error.to_string())
            }
            fleet::Answer::WorkView(view) => {
                serde_json::to_string(&view).map_err(|error| error.to_string())
            }
            fleet::Answer::Done => Ok("done".into()),
            fleet::Answer::Held { fence, left } => {
                Ok(serde_json::json!({"fence": fence, "left_ms": left}).to_string())
            }
            fleet::Answer::Taken => Ok("taken".into()),
            fleet::Answer::NoUnit { again } => Err(format!("none left, again in {again} ms")),
            fleet::Answer::NotHeld(why) | fleet::Answer::Refused(why) => Err(why),
        }
    }

    async fn health(&self) -> Result<String, String> {
        match self.stand() {
            Stand::Starting => return Err("starting".into()),
            Stand::Succeeded => return Err("a successor serves".into()),
            Stand::Ending => return Err("ending".into()),
            Stand::Serving if !*self.ready.borrow() => return Err("no list of servers yet".into()),
            Stand::Serving => {}
        }
        let (reply, answer) = oneshot::channel();
        let gone = |_| "the engine has ended".to_string();
        let told = self.engine.send(EngineEvent::Health(reply)).await;
        told.map_err(|_| "the engine has ended".to_string())?;
        let servers = answer.await.map_err(gone)?;
        let left = if self.left() { ", left" } else { "" };
        Ok(format!("serving, {servers} servers known{left}"))
    }

    /// Has a change in force everywhere. The word of this process counts: another may have no list yet.
    async fn change(self: &Rc<Self>, change: Change) -> Result<String, String> {
        let word = self.apply(change.clone(), UnlistedServers::Reject).await?;
        self.forward(None, change).await;
        Ok(word)
    }

    /// The same for a word that came from another process.
    pub async fn heed(self: &Rc<Self>, from: u64, change: Change) -> Result<String, String> {
        let word = self.apply(change.clone(), UnlistedServers::Accept).await;
        self.forward(Some(from), change).await;
        word
    }

    async fn forward(&self, from: Option<u64>, change: Change) {
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
        change: Change,
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
            Change::Offline(uid) => format!("{uid} is out{same}"),
            Change::Online(uid) => format!("{uid} is in use{same}"),
            Change::Leave => format!("left{same}"),
            Change::Join => format!("back at work{same}"),
        };
        match change {
            Change::Leave | Change::Join => self.left.set(change == Change::Leave),
            Change::Offline(_) | Change::Online(_) => {
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
                sleep(service.limits.keep_retry).await;
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
        let bytes = handover::frame(bans, &self.limits.service).ok_or("too many")?;
        let new = dir.join(format!("violetwind.bans.{}", std::process::id()));
        let written = fs::write(&new, bytes).and_then(|()| fs::rename(&new, bans_file(dir)));
        written.map_err(|error| format!("{}: {error}", dir.display()))
    }
}

/// Staff's word on orders, for the fleet.
fn staff_call(work: call::Work) -> fleet::Call {
    use violetwind_workorders::{Bounds, Order, Spans, Spare};
    let staff = match work {
        call::Work::Show => return fleet::Call::WorkView,
        call::Work::Plan(plan) => Staff::Plan(Order {
            name: plan.name,
            machines: plan.machines,
            bounds: Bounds {
                most: plan.most,
                zone_most: plan.zone_most,
                floor: plan.floor,
                spare: Spare::NAMES
                    .iter()
                    .find(|(name, _)| *name == plan.spare)
                    .map_or(Spare::Nothing, |(_, spare)| *spare),
            },
            spans: Spans {
                leave: plan.leave_ms,
                work: plan.work_ms,
                back: plan.back_ms,
            },
            not_before: plan.not_before,
            wait: plan.wait,
            paused: false,
            cancelled: false,
        }),
        call::Work::Pause(order) => Staff::Pause(order, true),
        call::Work::Resume(order) => Staff::Pause(order, false),
        call::Work::Cancel(order) => Staff::Cancel(order),
        call::Work::Done(machine) => Staff::Done(machine),
        call::Work::Failed(machine) => Staff::Failed(machine),
        call::Work::Recall(machine) => Staff::Recall(machine),
    };
    fleet::Call::Staff(staff)
}

fn bans_file(dir: &Path) -> PathBuf {
    dir.join("violetwind.bans")
}

/// The bans that an earlier process left. What can't be read counts as none.
pub fn kept(dir: &Path, limits: &violetwind_service::Limits) -> Bans {
    let path = bans_file(dir);
    let whole = fs::metadata(&path)
        .map(|file| file.is_file() && file.len() <= limits.frame_bytes as u64 + 64);
    let bans = match whole {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Bans::default(),
        Ok(true) => fs::read(&path)
            .map_err(|error| error.to_string())
            .and_then(|bytes| {
                handover::read_bans(&bytes, limits).map_err(|fault| fault.to_string())
            }),
        Ok(false) => Err("no ordinary file of its size".into()),
        Err(error) => Err(error.to_string()),
    };
    match bans {
        Ok(bans) => {
            if bans.count() > 0 {
                info!(out = ?bans.out().collect::<Vec<_>>(), "operators keep servers out");
            }
            bans
        }
        Err(error) => {
            warn!(error, file = %path.display(), "bans of an earlier process can't be read");
            Bans::default()
        }
    }
}

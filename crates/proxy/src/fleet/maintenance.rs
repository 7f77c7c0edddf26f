//! Work on machines at this proxy, on the engine's thread: what is out is written down, then in force in the engine, then
//! confirmed. Without `[fleet.work]` there is nothing of it.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout};
use tracing::{error, info, warn};
use violetwind_engine::{EngineEvent, MachinesSnapshot, ObservedMachine};
use violetwind_fleet::work_orders::{LocalWorkStatus, MachineList};
use violetwind_fleet::{Name, Number};
use violetwind_service::OperatorChange;
use violetwind_workorders::{Machine, MachineAvailability, MachineReport, Server};

use super::settings::{FleetSettings, MaintenanceSettings};
use super::{FleetHandle, boottime_ms};
use crate::operator_service::OperatorService;

/// The first words of the file, with a checksum of the rest behind them.
const MAGIC: &str = "violetwind out 1 ";

/// What staff may read of a machine that is out, and what a new process goes by.
pub fn read_state_file(path: &Path, longest: u64) -> Result<Option<MachineAvailability>, String> {
    let place = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = match fs::metadata(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Ok(file) if file.len() > longest => return Err(place(&"longer than any list")),
        Ok(_) => fs::read_to_string(path).map_err(|error| place(&error))?,
        Err(error) => return Err(place(&error)),
    };
    let body = text
        .strip_prefix(MAGIC)
        .and_then(|rest| rest.split_once('\n'));
    let (sum, body) = body.ok_or_else(|| place(&"line 1: no list of what is out"))?;
    let known = u32::from_str_radix(sum, 16).ok();
    if known != Some(crc32fast::hash(body.as_bytes())) {
        return Err(place(&"line 1: the checksum differs; nothing is guessed"));
    }
    serde_json::from_str(body)
        .map(Some)
        .map_err(|error| place(&error))
}

/// The same of a process that begins, told in the log.
pub fn load_state(path: &Path, longest: u64) -> Option<MachineAvailability> {
    match read_state_file(path, longest) {
        Ok(belief) => {
            let out = belief
                .iter()
                .flat_map(MachineAvailability::closed_by_orders);
            let out: Vec<&Name> = out.map(|(name, _)| name).collect();
            if !out.is_empty() {
                let mono_ms = boottime_ms();
                info!(
                    ?out,
                    mono_ms, "machines are out, by the file of the last process"
                );
            }
            belief
        }
        Err(why) => {
            error!(why, "what is out can't be read");
            None
        }
    }
}

/// Whether the machine that a proxy runs on is out.
pub fn is_proxy_machine_out(belief: &MachineAvailability, proxy: &str) -> bool {
    let own = belief.machine_of(proxy);
    own.is_some_and(|(_, own)| own.closed)
}

/// Writes it down in one step; it is on disk when this returns.
fn write(path: &Path, belief: &MachineAvailability) -> io::Result<()> {
    let body = serde_json::to_string_pretty(belief).map_err(io::Error::other)? + "\n";
    let new = path.with_extension("out.new");
    let mut file = File::create(&new)?;
    let sum = crc32fast::hash(body.as_bytes());
    file.write_all(format!("{MAGIC}{sum:08x}\n{body}").as_bytes())?;
    file.sync_all()?;
    fs::rename(&new, path)?;
    let dir = path.parent().filter(|dir| !dir.as_os_str().is_empty());
    File::open(dir.unwrap_or(Path::new(".")))?.sync_all()
}

pub struct MaintenanceAgent {
    work: MaintenanceSettings,
    node: Name,
    votes: BTreeSet<Name>,
    fleet: FleetHandle,
    lists: mpsc::Receiver<(Number, MachineList)>,
    engine: mpsc::Sender<EngineEvent>,
    service: Rc<OperatorService>,
    /// What is in force, and on disk.
    belief: MachineAvailability,
    /// This proxy was left as its machine is out.
    left: bool,
    /// The disk did not take the last list; told once.
    stuck: bool,
    removed: bool,
    wall: WallClock,
}

/// The time of day, which may be stepped at any time.
struct WallClock {
    /// What it showed at the start, and the monotonic clock with it.
    start_ms: u64,
    start_mono_ms: u64,
}

impl WallClock {
    fn new() -> Self {
        Self {
            start_ms: wall_ms(),
            start_mono_ms: boottime_ms(),
        }
    }

    /// The earlier of what it shows now and of what it would show had it not been stepped since the start: an order that
    /// is not to begin before a time begins no sooner, whichever way it is stepped.
    fn earliest_ms(&self) -> u64 {
        let unstepped = self.start_ms + (boottime_ms() - self.start_mono_ms);
        unstepped.min(wall_ms())
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl MaintenanceAgent {
    /// None without the section.
    pub fn new(
        settings: &FleetSettings,
        node: &str,
        (fleet, lists): (FleetHandle, mpsc::Receiver<(Number, MachineList)>),
        engine: mpsc::Sender<EngineEvent>,
        service: Rc<OperatorService>,
    ) -> Option<Self> {
        let votes = settings.voters().map(|peer| peer.node.clone());
        Some(Self {
            work: settings.maintenance.clone()?,
            node: node.to_string(),
            votes: votes.collect(),
            fleet,
            lists,
            engine,
            service,
            belief: MachineAvailability::default(),
            left: false,
            stuck: false,
            removed: false,
            wall: WallClock::new(),
        })
    }

    /// Goes by what was on disk, before the first client; where nothing is, by the first word of the fleet, which is
    /// waited for no longer than is set. An upgrade's successor does not wait: the process before it has kept the file.
    pub async fn start(&mut self, kept: Option<MachineAvailability>, succeeds: bool) {
        if let Some(belief) = kept {
            self.left = is_proxy_machine_out(&belief, &self.node);
            return self.go_by(belief).await;
        }
        if succeeds {
            return;
        }
        self.fleet.activate();
        let first = Instant::now();
        let heard = timeout(self.work.machine_list_timeout, self.first_list())
            .await
            .is_ok();
        if !heard {
            warn!(
                waited_ms = first.elapsed().as_millis() as u64,
                mono_ms = boottime_ms(),
                "no list of what is out, on disk or from the fleet: all machines are used until there is one"
            );
        }
    }

    async fn first_list(&mut self) {
        loop {
            self.fleet.report_maintenance(LocalWorkStatus::default());
            tokio::select! {
                list = self.lists.recv() => match list {
                    Some((version, list)) => {
                        if self.take(version, list).await {
                            return;
                        }
                    }
                    None => return std::future::pending().await,
                },
                () = sleep(self.work.report_interval) => {}
            }
        }
    }

    /// A successor goes by what its elder wrote last.
    pub async fn reload_state(&mut self) {
        if let Ok(Some(belief)) =
            read_state_file(&self.work.state_file, self.work.max_state_file_bytes)
            && belief.list_version() > self.belief.list_version()
        {
            self.go_by(belief).await;
        }
    }

    /// Goes on for as long as the engine does.
    pub async fn run(mut self) {
        let mut listens = true;
        loop {
            let busy = self.belief.machines().next().is_some();
            let busy = busy || self.service.is_admission_closed();
            let rest = if busy {
                self.work.report_interval
            } else {
                self.work.idle_report_interval
            };
            tokio::select! {
                list = self.lists.recv(), if listens => match list {
                    Some((mut version, mut list)) => {
                        while let Ok(newer) = self.lists.try_recv() {
                            (version, list) = newer;
                        }
                        self.take(version, list).await;
                    }
                    // The fleet's thread has ended: what is out stays out.
                    None => listens = false,
                },
                () = sleep(rest) => {}
            }
            let Some(looked) = self.look().await else {
                return;
            };
            let local = self.local(&looked);
            if local.has_stopped_serving && !std::mem::replace(&mut self.removed, true) {
                // Who starts anew asks what is out: nobody waits for its word until then.
                if let Err(error) = fs::remove_file(&self.work.state_file) {
                    warn!(%error, "the list of what is out stays");
                }
            }
            self.fleet.report_maintenance(local);
        }
    }

    /// A newer list: on disk, then in force. False if it can't be written: then it is not confirmed.
    async fn take(&mut self, version: Number, list: MachineList) -> bool {
        if version < self.belief.list_version() || self.removed {
            return true;
        }
        let mut belief = self.belief.clone();
        belief.apply_list(version, list);
        let (path, kept) = (self.work.state_file.clone(), belief.clone());
        let written = tokio::task::spawn_blocking(move || write(&path, &kept)).await;
        match written {
            Ok(Ok(())) => self.stuck = false,
            error => {
                if !std::mem::replace(&mut self.stuck, true) {
                    error!(?error, file = %self.work.state_file.display(), mono_ms = boottime_ms(),
                        "what is out can't be written down: it is in force and not confirmed");
                }
                // Nothing new goes to what is to go out; it is only not said.
                self.engine_goes_by(&belief).await;
                return false;
            }
        }
        self.go_by(belief).await;
        true
    }

    async fn engine_goes_by(&self, belief: &MachineAvailability) {
        let closed = belief.closed_by_orders().map(|(name, listed)| {
            let servers = listed
                .machine
                .servers
                .iter()
                .map(|server| server.name.clone());
            (name.clone(), servers.collect())
        });
        let (reply, done) = oneshot::channel();
        let told = EngineEvent::MachinesOut(closed.collect(), reply);
        if self.engine.send(told).await.is_ok() {
            let _ = done.await;
        }
    }

    async fn go_by(&mut self, belief: MachineAvailability) {
        let names = |belief: &MachineAvailability| -> BTreeSet<Name> {
            belief
                .closed_by_orders()
                .map(|(name, _)| name.clone())
                .collect()
        };
        let (before, after) = (names(&self.belief), names(&belief));
        self.engine_goes_by(&belief).await;
        for (name, out) in before
            .symmetric_difference(&after)
            .map(|name| (name, after.contains(name)))
        {
            let version = belief
                .report(name, 0, false)
                .map_or(0, |report| report.version);
            info!(
                machine = name,
                out,
                version,
                mono_ms = boottime_ms(),
                "a machine by the orders for work"
            );
        }
        self.belief = belief;
        let own = self
            .belief
            .machine_of(&self.node)
            .map(|(_, own)| own.closed);
        match own.unwrap_or(false) {
            true if !self.left => {
                self.left = true;
                self.say(OperatorChange::Leave).await;
            }
            false if self.left => {
                self.left = false;
                self.say(OperatorChange::Join).await;
            }
            _ => {}
        }
    }

    /// This proxy's machine goes out, or is back.
    async fn say(&self, change: OperatorChange) {
        let word = self.service.apply_external(u64::MAX, change).await;
        if let Err(why) = word {
            warn!(why, "this proxy's own machine");
        }
    }

    async fn look(&self) -> Option<MachinesSnapshot> {
        let (reply, looked) = oneshot::channel();
        self.engine
            .send(EngineEvent::QueryMachines(reply))
            .await
            .ok()?;
        looked.await.ok()
    }

    fn local(&mut self, looked: &MachinesSnapshot) -> LocalWorkStatus {
        let elder = u64::from(self.service.has_predecessor());
        let names: Vec<Name> = self.belief.machines().cloned().collect();
        let none = ObservedMachine::default();
        let mut reports = BTreeMap::new();
        for name in names {
            let seen = looked.machines.get(&name).unwrap_or(&none);
            let listed = self
                .belief
                .listed_machine(&name)
                .cloned()
                .unwrap_or_default();
            let own = matches!(&listed.machine.proxy, Some((proxy, _)) if *proxy == self.node);
            // Operators' words at this proxy are stronger.
            let opened = seen.servers.iter().any(|server| server.opened)
                || (own && !self.service.has_left());
            // One that the sources have leave is not waited for.
            let stay = || seen.servers.iter().filter(|server| !server.draining);
            let servers = stay().next().is_some();
            let banned = servers && stay().all(|server| server.banned);
            let word = match (opened && listed.closed, banned) {
                (true, _) => Some(true),
                (false, true) => Some(false),
                (false, false) => None,
            };
            self.belief.set_override(&name, word);
            let expected = !listed.machine.servers.is_empty();
            let warm = (servers || !expected)
                && stay().all(|server| server.warm)
                && !(own && self.service.has_left());
            let clients = seen.clients + elder + if own { looked.connections as u64 } else { 0 };
            let report: Option<MachineReport> = self.belief.report(&name, clients, warm);
            reports.extend(report.map(|report| (name, report)));
        }
        let shut = looked.machines.iter().filter(|(_, seen)| {
            let mut stay = seen
                .servers
                .iter()
                .filter(|server| !server.draining)
                .peekable();
            stay.peek().is_some() && stay.all(|server| server.banned)
        });
        let shut = shut.map(|(name, _)| name.clone()).collect();
        let machines = self.machines(looked);
        let up = |name: &&Name| {
            let seen = looked.machines.get(*name);
            seen.is_none_or(|seen| {
                seen.servers
                    .iter()
                    .any(|server| server.up && !server.banned)
            })
        };
        LocalWorkStatus {
            list_version: if self.stuck {
                0
            } else {
                self.belief.list_version()
            },
            reports: if self.stuck { BTreeMap::new() } else { reports },
            up_machines: machines.keys().filter(up).cloned().collect(),
            machines,
            closed_machines: shut,
            has_stopped_serving: self.service.is_admission_closed()
                && looked.connections == 0
                && elder == 0,
            unix_time_ms: self.wall.earliest_ms(),
        }
    }

    /// All machines: those of the lists, and those that the file names.
    fn machines(&self, looked: &MachinesSnapshot) -> BTreeMap<Name, Machine> {
        let server = |seen: &violetwind_engine::ObservedServer| Server {
            name: seen.uid.clone(),
            kind: seen.kind.clone().unwrap_or_default(),
            cell: seen.cell,
            room: match seen.draining {
                true => 0,
                false => (seen.rating.filter(|room| *room > 0.0).unwrap_or(1.0) * 1000.0) as u64,
            },
        };
        let mut machines: BTreeMap<Name, Machine> = BTreeMap::new();
        for (name, seen) in looked
            .machines
            .iter()
            .filter(|(_, seen)| !seen.servers.is_empty())
        {
            let machine = Machine {
                zone: seen.zone.clone().unwrap_or_default(),
                servers: seen.servers.iter().map(server).collect(),
                proxy: None,
            };
            machines.insert(name.clone(), machine);
        }
        for (name, (zone, proxy)) in &self.work.named_machines {
            let machine = machines.entry(name.clone()).or_default();
            if let Some(zone) = zone {
                machine.zone.clone_from(zone);
            }
            machine.proxy = proxy
                .clone()
                .map(|proxy| (proxy.clone(), self.votes.contains(&proxy)));
        }
        machines
    }
}

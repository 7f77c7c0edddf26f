//! Takes machines out of service at this proxy while they are worked on; runs on the engine's thread. A list of the
//! machines that are out (of service) is written to disk, then put in force in the engine, then confirmed to the fleet.
//! Runs only with the section `[fleet.work]`.

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

/// The start of the state file; the checksum of the remaining lines follows it.
const MAGIC: &str = "violetwind out 1 ";

/// Reads the state file. Returns `None` if it does not exist.
///
/// # Errors
/// If the file can't be read, is too large or is damaged.
pub fn read_state_file(path: &Path, max_bytes: u64) -> Result<Option<MachineAvailability>, String> {
    let with_path = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = match fs::metadata(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Ok(file) if file.len() > max_bytes => {
            return Err(with_path(&"the file exceeds the size limit"));
        }
        Ok(_) => fs::read_to_string(path).map_err(|error| with_path(&error))?,
        Err(error) => return Err(with_path(&error)),
    };
    let checksum_and_body = text
        .strip_prefix(MAGIC)
        .and_then(|rest| rest.split_once('\n'));
    let (checksum, body) =
        checksum_and_body.ok_or_else(|| with_path(&"line 1: this is no machine list file"))?;
    let expected_checksum = u32::from_str_radix(checksum, 16).ok();
    if expected_checksum != Some(crc32fast::hash(body.as_bytes())) {
        return Err(with_path(
            &"line 1: the checksum differs; nothing is guessed",
        ));
    }
    serde_json::from_str(body)
        .map(Some)
        .map_err(|error| with_path(&error))
}

/// Reads the state file at the start of a process, and logs the machines that are out, or an error.
pub fn load_state(path: &Path, max_bytes: u64) -> Option<MachineAvailability> {
    match read_state_file(path, max_bytes) {
        Ok(availability) => {
            let out = availability
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
            availability
        }
        Err(why) => {
            error!(why, "the machine list file can't be read");
            None
        }
    }
}

/// Whether the machine on which a proxy runs is out.
pub fn is_proxy_machine_out(availability: &MachineAvailability, proxy: &str) -> bool {
    let proxy_machine = availability.machine_of(proxy);
    proxy_machine.is_some_and(|(_, machine)| machine.closed)
}

/// Replaces the state file atomically and durably.
fn write_state_file(path: &Path, availability: &MachineAvailability) -> io::Result<()> {
    let body = serde_json::to_string_pretty(availability).map_err(io::Error::other)? + "\n";
    let temp_path = path.with_extension("out.new");
    let mut file = File::create(&temp_path)?;
    let checksum = crc32fast::hash(body.as_bytes());
    file.write_all(format!("{MAGIC}{checksum:08x}\n{body}").as_bytes())?;
    file.sync_all()?;
    fs::rename(&temp_path, path)?;
    let dir = path.parent().filter(|dir| !dir.as_os_str().is_empty());
    File::open(dir.unwrap_or(Path::new(".")))?.sync_all()
}

/// Applies the fleet's machine lists at this proxy, and reports the state of the machines to the fleet.
pub struct MaintenanceAgent {
    settings: MaintenanceSettings,
    node: Name,
    voters: BTreeSet<Name>,
    fleet: FleetHandle,
    machine_lists: mpsc::Receiver<(Number, MachineList)>,
    engine: mpsc::Sender<EngineEvent>,
    service: Rc<OperatorService>,
    /// The availability of machines that is in force and on disk.
    availability: MachineAvailability,
    /// Whether this proxy has left service because its own machine is out.
    has_left: bool,
    /// Whether the last list could not be written; only the first such failure in a row is logged.
    is_write_failing: bool,
    /// Whether the state file was removed because this proxy has stopped serving.
    is_state_file_removed: bool,
    wall_clock: WallClock,
}

/// The system clock, which may be stepped at any time.
struct WallClock {
    /// The system time at the start, and the monotonic time at the same moment.
    start_wall_ms: u64,
    start_mono_ms: u64,
}

impl WallClock {
    fn new() -> Self {
        Self {
            start_wall_ms: wall_ms(),
            start_mono_ms: boottime_ms(),
        }
    }

    /// Returns the earlier of the current system time and the time it would be without clock steps since the start.
    /// Thus a clock step in either direction never starts an order before its earliest start time.
    fn earliest_ms(&self) -> u64 {
        let unstepped = self.start_wall_ms + (boottime_ms() - self.start_mono_ms);
        unstepped.min(wall_ms())
    }
}

/// The system time in milliseconds since the Unix epoch.
fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

impl MaintenanceAgent {
    /// Returns `None` without the section `[fleet.work]`.
    pub fn new(
        settings: &FleetSettings,
        node: &str,
        (fleet, machine_lists): (FleetHandle, mpsc::Receiver<(Number, MachineList)>),
        engine: mpsc::Sender<EngineEvent>,
        service: Rc<OperatorService>,
    ) -> Option<Self> {
        let voters = settings.voters().map(|peer| peer.node.clone());
        Some(Self {
            settings: settings.maintenance.clone()?,
            node: node.to_string(),
            voters: voters.collect(),
            fleet,
            machine_lists,
            engine,
            service,
            availability: MachineAvailability::default(),
            has_left: false,
            is_write_failing: false,
            is_state_file_removed: false,
            wall_clock: WallClock::new(),
        })
    }

    /// Puts the state from disk in force before the first client is admitted. Without such a state it waits, up to the
    /// configured timeout, for the first list from the fleet. The successor in an upgrade does not wait: its
    /// predecessor maintains the file.
    pub async fn start(&mut self, saved: Option<MachineAvailability>, is_successor: bool) {
        if let Some(availability) = saved {
            self.has_left = is_proxy_machine_out(&availability, &self.node);
            return self.apply_availability(availability).await;
        }
        if is_successor {
            return;
        }
        self.fleet.activate();
        let started = Instant::now();
        let is_received = timeout(
            self.settings.machine_list_timeout,
            self.receive_first_list(),
        )
        .await
        .is_ok();
        if !is_received {
            warn!(
                waited_ms = started.elapsed().as_millis() as u64,
                mono_ms = boottime_ms(),
                "no machine list on disk or from the fleet: all machines are in use until a list arrives"
            );
        }
    }

    /// Waits for the first list that is applied. Does not return if the fleet's thread has ended.
    async fn receive_first_list(&mut self) {
        loop {
            self.fleet.report_maintenance(LocalWorkStatus::default());
            tokio::select! {
                list = self.machine_lists.recv() => match list {
                    Some((version, list)) => {
                        if self.apply_list(version, list).await {
                            return;
                        }
                    }
                    None => return std::future::pending().await,
                },
                () = sleep(self.settings.report_interval) => {}
            }
        }
    }

    /// Applies the state that the predecessor process wrote last, if it is newer.
    pub async fn reload_state(&mut self) {
        if let Ok(Some(availability)) = read_state_file(
            &self.settings.state_file,
            self.settings.max_state_file_bytes,
        ) && availability.list_version() > self.availability.list_version()
        {
            self.apply_availability(availability).await;
        }
    }

    /// Runs until the engine ends.
    pub async fn run(mut self) {
        let mut is_list_channel_open = true;
        loop {
            let is_reporting_frequently = self.availability.machines().next().is_some();
            let is_reporting_frequently =
                is_reporting_frequently || self.service.is_admission_closed();
            let delay = if is_reporting_frequently {
                self.settings.report_interval
            } else {
                self.settings.idle_report_interval
            };
            tokio::select! {
                list = self.machine_lists.recv(), if is_list_channel_open => match list {
                    Some((mut version, mut list)) => {
                        while let Ok(newer) = self.machine_lists.try_recv() {
                            (version, list) = newer;
                        }
                        self.apply_list(version, list).await;
                    }
                    // The fleet's thread has ended: machines that are out stay out.
                    None => is_list_channel_open = false,
                },
                () = sleep(delay) => {}
            }
            let Some(snapshot) = self.query_machines().await else {
                return;
            };
            let local = self.local_status(&snapshot);
            if local.has_stopped_serving
                && !std::mem::replace(&mut self.is_state_file_removed, true)
            {
                // A process that starts later requests the list from the fleet, which does not wait for its
                // confirmations until then.
                if let Err(error) = fs::remove_file(&self.settings.state_file) {
                    warn!(%error, "the machine list file can't be removed");
                }
            }
            self.fleet.report_maintenance(local);
        }
    }

    /// Writes a list to disk, then puts it in force; an older list is ignored. Returns `false` if the list can't be
    /// written; it is then not confirmed.
    async fn apply_list(&mut self, version: Number, list: MachineList) -> bool {
        if version < self.availability.list_version() || self.is_state_file_removed {
            return true;
        }
        let mut availability = self.availability.clone();
        availability.apply_list(version, list);
        let (path, written_availability) = (self.settings.state_file.clone(), availability.clone());
        let result =
            tokio::task::spawn_blocking(move || write_state_file(&path, &written_availability))
                .await;
        match result {
            Ok(Ok(())) => self.is_write_failing = false,
            error => {
                if !std::mem::replace(&mut self.is_write_failing, true) {
                    error!(?error, file = %self.settings.state_file.display(), mono_ms = boottime_ms(),
                        "the machine list file can't be written: the list is in force but not confirmed");
                }
                // The machines of the list still get no new connections; only the confirmation is withheld.
                self.send_closed_machines(&availability).await;
                return false;
            }
        }
        self.apply_availability(availability).await;
        true
    }

    /// Sends the machines that are closed by orders to the engine, and waits until it has applied them.
    async fn send_closed_machines(&self, availability: &MachineAvailability) {
        let closed = availability.closed_by_orders().map(|(name, listed)| {
            let servers = listed
                .machine
                .servers
                .iter()
                .map(|server| server.name.clone());
            (name.clone(), servers.collect())
        });
        let (reply, done) = oneshot::channel();
        let event = EngineEvent::MachinesOut(closed.collect(), reply);
        if self.engine.send(event).await.is_ok() {
            let _ = done.await;
        }
    }

    /// Puts an availability in force, and lets this proxy leave or join when its own machine goes out or returns.
    async fn apply_availability(&mut self, availability: MachineAvailability) {
        let closed_names = |availability: &MachineAvailability| -> BTreeSet<Name> {
            availability
                .closed_by_orders()
                .map(|(name, _)| name.clone())
                .collect()
        };
        let (before, after) = (
            closed_names(&self.availability),
            closed_names(&availability),
        );
        self.send_closed_machines(&availability).await;
        for (name, out) in before
            .symmetric_difference(&after)
            .map(|name| (name, after.contains(name)))
        {
            let version = availability
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
        self.availability = availability;
        let is_proxy_machine_closed = self
            .availability
            .machine_of(&self.node)
            .map(|(_, machine)| machine.closed);
        match is_proxy_machine_closed.unwrap_or(false) {
            true if !self.has_left => {
                self.has_left = true;
                self.apply_proxy_change(OperatorChange::Leave).await;
            }
            false if self.has_left => {
                self.has_left = false;
                self.apply_proxy_change(OperatorChange::Join).await;
            }
            _ => {}
        }
    }

    /// Lets this proxy leave or join, because its own machine goes out or returns.
    async fn apply_proxy_change(&self, change: OperatorChange) {
        let result = self.service.apply_external(u64::MAX, change).await;
        if let Err(why) = result {
            warn!(why, "a change for this proxy's own machine failed");
        }
    }

    /// Returns the engine's view of the machines; `None` once the engine has ended.
    async fn query_machines(&self) -> Option<MachinesSnapshot> {
        let (reply, snapshot) = oneshot::channel();
        self.engine
            .send(EngineEvent::QueryMachines(reply))
            .await
            .ok()?;
        snapshot.await.ok()
    }

    /// Builds the report for the fleet, and updates operators' overrides.
    fn local_status(&mut self, snapshot: &MachinesSnapshot) -> LocalWorkStatus {
        let predecessor_clients = u64::from(self.service.has_predecessor());
        let names: Vec<Name> = self.availability.machines().cloned().collect();
        let unobserved = ObservedMachine::default();
        let mut reports = BTreeMap::new();
        for name in names {
            let observed = snapshot.machines.get(&name).unwrap_or(&unobserved);
            let listed = self
                .availability
                .listed_machine(&name)
                .cloned()
                .unwrap_or_default();
            let is_own_machine =
                matches!(&listed.machine.proxy, Some((proxy, _)) if *proxy == self.node);
            // Changes that operators make at this proxy take precedence over orders.
            let is_opened = observed.servers.iter().any(|server| server.is_overridden)
                || (is_own_machine && !self.service.has_left());
            // Servers that the sources report as draining are not waited for.
            let remaining_servers = || observed.servers.iter().filter(|server| !server.draining);
            let has_servers = remaining_servers().next().is_some();
            let all_banned = has_servers && remaining_servers().all(|server| server.banned);
            let operator_override = match (is_opened && listed.closed, all_banned) {
                (true, _) => Some(true),
                (false, true) => Some(false),
                (false, false) => None,
            };
            self.availability.set_override(&name, operator_override);
            let expects_servers = !listed.machine.servers.is_empty();
            let is_warm = (has_servers || !expects_servers)
                && remaining_servers().all(|server| server.warm)
                && !(is_own_machine && self.service.has_left());
            let clients = observed.clients
                + predecessor_clients
                + if is_own_machine {
                    snapshot.connections as u64
                } else {
                    0
                };
            let report: Option<MachineReport> = self.availability.report(&name, clients, is_warm);
            reports.extend(report.map(|report| (name, report)));
        }
        let closed_machines = snapshot.machines.iter().filter(|(_, observed)| {
            let mut remaining_servers = observed
                .servers
                .iter()
                .filter(|server| !server.draining)
                .peekable();
            remaining_servers.peek().is_some() && remaining_servers.all(|server| server.banned)
        });
        let closed_machines = closed_machines.map(|(name, _)| name.clone()).collect();
        let machines = self.known_machines(snapshot);
        let is_up = |name: &&Name| {
            let observed = snapshot.machines.get(*name);
            observed.is_none_or(|observed| {
                observed
                    .servers
                    .iter()
                    .any(|server| server.up && !server.banned)
            })
        };
        // A process that has handed its clients over no longer knows which machines the proxy's clients use. It confirms
        // nothing, and its name stays among those that have to confirm: the successor does it.
        let can_confirm = !self.is_write_failing && !self.service.is_superseded();
        LocalWorkStatus {
            list_version: if can_confirm {
                self.availability.list_version()
            } else {
                0
            },
            reports: if can_confirm {
                reports
            } else {
                BTreeMap::new()
            },
            up_machines: machines.keys().filter(is_up).cloned().collect(),
            machines,
            closed_machines,
            has_stopped_serving: self.service.is_admission_closed()
                && !self.service.is_superseded()
                && snapshot.connections == 0
                && predecessor_clients == 0,
            unix_time_ms: self.wall_clock.earliest_ms(),
        }
    }

    /// Returns all machines: those that the engine observes in the sources' lists, and those in the settings.
    fn known_machines(&self, snapshot: &MachinesSnapshot) -> BTreeMap<Name, Machine> {
        let server = |observed: &violetwind_engine::ObservedServer| Server {
            name: observed.uid.clone(),
            kind: observed.kind.clone().unwrap_or_default(),
            cell: observed.cell,
            room: match observed.draining {
                true => 0,
                false => {
                    (observed
                        .rating
                        .filter(|rating| *rating > 0.0)
                        .unwrap_or(1.0)
                        * 1000.0) as u64
                }
            },
        };
        let mut machines: BTreeMap<Name, Machine> = BTreeMap::new();
        for (name, observed) in snapshot
            .machines
            .iter()
            .filter(|(_, observed)| !observed.servers.is_empty())
        {
            let machine = Machine {
                zone: observed.zone.clone().unwrap_or_default(),
                servers: observed.servers.iter().map(server).collect(),
                proxy: None,
            };
            machines.insert(name.clone(), machine);
        }
        for (name, (zone, proxy)) in &self.settings.named_machines {
            let machine = machines.entry(name.clone()).or_default();
            if let Some(zone) = zone {
                machine.zone.clone_from(zone);
            }
            machine.proxy = proxy
                .clone()
                .map(|proxy| (proxy.clone(), self.voters.contains(&proxy)));
        }
        machines
    }
}

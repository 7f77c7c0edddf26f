//! The section `[fleet]` of the operator's file: the peers, times and limits, and the duties and budgets of this proxy.
//! Without the section there is no fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use violetwind_conf::Section;
use violetwind_fleet::budget::{BudgetDefinition, BudgetKind};
use violetwind_fleet::work_orders::WORK_DUTY;
use violetwind_fleet::{Limits, LimitsError, Name, StateLimits};
use violetwind_service::MachineMap;

/// The settings of this proxy as a fleet member.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    pub name: Name,
    pub listen: SocketAddr,
    /// The directory for durable state; without one this proxy never votes.
    pub data_dir: Option<PathBuf>,
    /// Whether records are synced to disk before they are acknowledged; off only to measure the cost of syncing.
    pub fsync: bool,
    /// The members listed in the file, including this proxy.
    pub peers: Vec<PeerConfig>,
    /// Duties that this proxy may hold.
    pub duties: Vec<Name>,
    pub budgets: Vec<BudgetDefinition>,
    /// Budgets that the balancer counts, and their subjects.
    pub balancer_budgets: BTreeMap<Name, BudgetSubject>,
    /// Settings for work on machines, if this proxy takes part in it.
    pub maintenance: Option<MaintenanceSettings>,
    pub limits: Limits,
    pub link_limits: LinkLimits,
    /// Settings that are valid but probably unintended.
    pub warnings: Vec<String>,
}

/// A member of the fleet as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerConfig {
    pub node: Name,
    pub address: SocketAddr,
    pub is_voter: bool,
}

/// The section `[fleet.work]`: machines, and the file for the machines that are out of service.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceSettings {
    pub machines: MachineMap,
    /// The machines listed in the file, each with its zone and its proxy, where given.
    pub named_machines: BTreeMap<Name, (Option<Name>, Option<Name>)>,
    /// The file for the latest list of machines that are out.
    pub state_file: PathBuf,
    /// The largest file that is read, in bytes.
    pub max_state_file_bytes: u64,
    /// How long the start waits for a list from the fleet, if there is no such file, before the first client is
    /// admitted.
    pub machine_list_timeout: Duration,
    /// The time between two reports of the machines' state.
    pub report_interval: Duration,
    /// The time between two reports while there are no orders.
    pub idle_report_interval: Duration,
    /// Queued lists from the fleet's thread.
    pub list_queue_capacity: usize,
}

/// The use that the balancer counts against a budget.
#[derive(Clone, Debug, PartialEq)]
pub enum BudgetSubject {
    /// Attempts after a request's first.
    Retries,
    /// Connections that the balancer moves off loaded servers.
    Moves,
    /// Probes of servers.
    Probes,
    /// Attempts at each cold server.
    Cold,
    /// Concurrent connections of the class with this name.
    Class(Name),
    /// Concurrent connections of the tenant with this name.
    Tenant(Name),
}

/// Sizes and times of links, queues and the data directory.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkLimits {
    /// Concurrent accepted links, in addition to those that this member dials.
    pub max_accepted_links: usize,
    /// The largest frame in bytes; a larger one ends the link before any of it is buffered.
    pub max_frame_bytes: usize,
    /// Queued frames to one member; more are dropped and counted.
    pub send_queue_capacity: usize,
    /// Queued bytes to one member; more are dropped and counted.
    pub max_send_queue_bytes: usize,
    /// The time limit for establishing a link, including the handshake. On an accepted link it applies to each
    /// handshake message.
    pub connect_timeout: Duration,
    /// The first backoff between two connection attempts; it doubles up to `max_backoff`.
    pub initial_backoff: Duration,
    pub max_backoff: Duration,
    /// The idle time after which a ping is sent.
    pub ping_interval: Duration,
    /// A link on which nothing is received, or nothing can be sent, for this time is closed.
    pub silence_timeout: Duration,
    /// Queued inputs for the member.
    pub inbox_capacity: usize,
    /// Queued commands for the fleet's thread, such as operators' calls.
    pub call_queue_capacity: usize,
    /// Queued parts of budgets for the balancer.
    pub budget_queue_capacity: usize,
    /// The time between two exchanges of allowances and usage with the balancer.
    pub usage_interval: Duration,
    /// Bytes of records that are not on disk yet; with more the member restarts.
    pub max_unsynced_bytes: usize,
    /// Growth in bytes after which a log segment is replaced.
    pub max_segment_bytes: u64,
    /// The time between two attempts to write to a full disk, or to lock a directory that is in use.
    pub retry_interval: Duration,
    /// The time between two ticks of the member.
    pub tick_interval: Duration,
}

impl LinkLimits {
    fn new(limits: &Limits) -> Self {
        let heartbeat = Duration::from_millis(limits.consensus.heartbeat_interval);
        Self {
            max_accepted_links: 64,
            max_frame_bytes: 2 << 20,
            send_queue_capacity: 1024,
            max_send_queue_bytes: 4 << 20,
            connect_timeout: Duration::from_millis(1000),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_millis(1000),
            ping_interval: 5 * heartbeat,
            silence_timeout: 20 * heartbeat,
            inbox_capacity: 4096,
            call_queue_capacity: 1024,
            budget_queue_capacity: 4096,
            usage_interval: heartbeat / 2,
            max_unsynced_bytes: 32 << 20,
            max_segment_bytes: 8 << 20,
            retry_interval: Duration::from_millis(200),
            tick_interval: heartbeat / 5,
        }
    }
}

/// The maximum number of voters: with each further voter, every commit waits for more disks.
const MAX_VOTERS: usize = 7;

impl FleetSettings {
    /// File descriptors that are reserved for the fleet and not available to clients: accepted and dialled links, the
    /// listener, the directory's files and those of the thread itself.
    pub fn reserved_descriptors(&self) -> usize {
        self.link_limits.max_accepted_links + MAX_VOTERS + 16
    }

    /// The peers that vote.
    pub fn voters(&self) -> impl Iterator<Item = &PeerConfig> {
        self.peers.iter().filter(|peer| peer.is_voter)
    }

    /// Checks the section for the proxy named `node`.
    ///
    /// # Errors
    /// If no peer has this name, or the proxy votes and has no directory.
    pub fn check_node(&self, node: &str) -> Result<(), String> {
        let own = self.peers.iter().find(|peer| peer.node == node);
        match own {
            None => Err(format!(
                "`fleet.peer`: no peer has this proxy's own name, \"{node}\""
            )),
            Some(own) if own.is_voter && self.data_dir.is_none() => Err(format!(
                "`fleet.dir`: voter \"{node}\" needs a directory to store its votes"
            )),
            Some(_) => Ok(()),
        }
    }

    /// Reads the section, and reports its problems through `root`; `None` without the section.
    pub fn read(root: &Section<'_>) -> Option<Self> {
        let section = root.section("fleet");
        if !section.is_present() {
            return None;
        }
        let settings = Self::from_section(&section);
        section.report_unknown_keys();
        Some(settings)
    }

    fn from_section(section: &Section<'_>) -> Self {
        let ms = Duration::from_millis;
        let millis = |name: &str, from, to, default| {
            let duration = section.duration(name, ms(from)..=ms(to), ms(default));
            duration.as_millis() as u64
        };
        let defaults = Limits::default();
        let lease = millis("lease", 200, 600_000, defaults.lease_duration);
        let election = millis("election", 50, 60_000, defaults.consensus.election_timeout);
        let mut limits = Limits::with_timeouts(lease, election);
        limits.weight = section.int("weight", 1..=StateLimits::MAX_WEIGHT, limits.weight);
        limits.lease_margin = millis("margin", 1, 300_000, limits.lease_margin);
        match limits.validate() {
            Ok(()) => {}
            Err(LimitsError::LeaseTooShort { min_lease }) => section.report_problem(
                "lease",
                format!(
                    "shorter than elections need: {min_lease}ms at least, or a shorter `election`"
                ),
            ),
            Err(LimitsError::MarginTooLong { max_margin }) => {
                section.report_problem(
                    "margin",
                    format!("longer than half of the lease, {max_margin}ms"),
                );
            }
        }
        let mut link_limits = LinkLimits::new(&limits);
        link_limits.max_accepted_links =
            section.int("links", 1..=4096, link_limits.max_accepted_links as u64) as usize;
        link_limits.max_send_queue_bytes = section.int(
            "queue_bytes",
            65_536..=1 << 30,
            link_limits.max_send_queue_bytes as u64,
        ) as usize;
        link_limits.max_segment_bytes = section.int(
            "segment_bytes",
            65_536..=1 << 40,
            link_limits.max_segment_bytes,
        );
        let name = read_name(section, "name");
        let unset_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = |section: &Section<'_>, key: &str| {
            if !section.has_key(key) {
                section.report_problem(key, "expected an address and a port, found nothing");
            }
            let expected = "an IP address and a port, such as \"127.0.0.1:7100\"";
            section.parse_with(key, expected, |text| text.parse().ok())
        };
        let listen = address(section, "listen").unwrap_or(unset_address);
        let data_dir = section.text("dir").map(PathBuf::from);
        let fsync = section.flag("sync", true);
        let mut warnings = Vec::new();
        if !fsync {
            warnings.push("`fleet.sync` is off: a power failure loses acknowledged records".into());
        }
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        let mut peers = Vec::new();
        for section in section.sections("peer") {
            let peer = PeerConfig {
                node: read_name(&section, "node"),
                address: address(&section, "address").unwrap_or(unset_address),
                is_voter: section.flag("votes", false),
            };
            section.report_unknown_keys();
            if !names.insert(peer.node.clone()) {
                section.report_problem("node", "another peer has this name");
            }
            if section.has_key("address") && !addresses.insert(peer.address) {
                section.report_problem("address", "another peer has this address");
            }
            peers.push(peer);
        }
        let voters = peers.iter().filter(|peer| peer.is_voter).count();
        match voters {
            0 => section.report_problem(
                "peer",
                "no voters: expected 1, 3, 5 or 7 peers with `votes = true`",
            ),
            _ if voters > MAX_VOTERS => {
                section.report_problem("peer", format!("{voters} voters, {MAX_VOTERS} at most"));
            }
            _ if voters % 2 == 0 => warnings.push(format!(
                "`fleet.peer`: {voters} voters tolerate no more failures than {}",
                voters - 1
            )),
            _ => {}
        }
        let mut duties = BTreeSet::new();
        for section in section.sections("duty") {
            let duty = read_name(&section, "name");
            section.report_unknown_keys();
            if !duties.insert(duty) {
                section.report_problem("name", "another duty has this name");
            }
        }
        if duties.len() > StateLimits::MAX_DUTIES {
            section.report_problem(
                "duty",
                format!(
                    "{} duties, {} at most",
                    duties.len(),
                    StateLimits::MAX_DUTIES
                ),
            );
        }
        let maintenance = read_maintenance(section, data_dir.as_deref(), &limits, &peers);
        if maintenance
            .as_ref()
            .is_some_and(|(_, may_conduct)| *may_conduct)
        {
            duties.insert(WORK_DUTY.into());
        }
        let maintenance = maintenance.map(|(maintenance, _)| maintenance);
        let duties = duties.into_iter().collect();
        let (budgets, balancer_budgets) = read_budgets(section, peers.len() as u64);
        Self {
            name,
            listen,
            data_dir,
            fsync,
            peers,
            duties,
            budgets,
            balancer_budgets,
            maintenance,
            limits,
            link_limits,
            warnings,
        }
    }
}

/// Reads the section `[fleet.work]`: its settings, and whether this proxy may conduct work.
fn read_maintenance(
    root: &Section<'_>,
    data_dir: Option<&Path>,
    limits: &Limits,
    peers: &[PeerConfig],
) -> Option<(MaintenanceSettings, bool)> {
    let section = root.section("work");
    if !section.is_present() {
        return None;
    }
    let ms = Duration::from_millis;
    let mut named_machines = BTreeMap::new();
    let mut machines = MachineMap {
        name_delimiter: section
            .text("machine_until")
            .filter(|until| !until.is_empty()),
        by_server: BTreeMap::new(),
    };
    for machine in section.sections("machine") {
        let name = read_name(&machine, "name");
        let proxy = machine.text("proxy");
        if let Some(proxy) = &proxy
            && !peers.iter().any(|peer| peer.node == *proxy)
        {
            // Non-voting members need not be listed as peers, but accepting unknown names would hide a mistyped voter.
            machine.report_problem("proxy", "no peer has this name");
        }
        for uid in machine.text_list("servers") {
            if machines
                .by_server
                .insert(uid.clone(), name.clone())
                .is_some()
            {
                machine.report_problem(
                    "servers",
                    format!("server \"{uid}\" is listed on another machine too"),
                );
            }
        }
        let zone = machine.text("zone");
        machine.report_unknown_keys();
        if named_machines.insert(name, (zone, proxy)).is_some() {
            machine.report_problem("name", "another machine has this name");
        }
    }
    let state_file = section.text("file").map(PathBuf::from);
    let state_file = state_file.or_else(|| data_dir.map(|data_dir| data_dir.with_extension("out")));
    if state_file.is_none() {
        section.report_problem(
            "file",
            "expected a file for the machine list, because `fleet.dir` is not set",
        );
    }
    let report_interval = ms(limits.work_poll_interval / 2);
    let maintenance = MaintenanceSettings {
        machines,
        named_machines,
        state_file: state_file.unwrap_or_default(),
        max_state_file_bytes: 64 << 20,
        // The session of a killed process lasts for a lease; until then the next process receives no list.
        machine_list_timeout: section.duration(
            "first",
            ms(0)..=ms(1_800_000),
            ms(2 * limits.lease_duration),
        ),
        report_interval,
        idle_report_interval: ms(limits.renew_interval),
        list_queue_capacity: 16,
    };
    let may_conduct = section.flag("conduct", true);
    section.report_unknown_keys();
    Some((maintenance, may_conduct))
}

/// The values of the key `of`, by the kind of budget that they require.
#[derive(Clone)]
enum SubjectKind {
    /// Counted by programs that call the operators' address.
    Callers,
    /// A rate that the balancer counts.
    Rate(BudgetSubject),
    /// Concurrent connections of a named class or tenant.
    Concurrent(fn(Name) -> BudgetSubject),
}

/// Reads the budgets of the fleet, and the subjects of those that the balancer counts. The key `members` is the maximum
/// number of members for which floors are reserved.
fn read_budgets(
    section: &Section<'_>,
    peers: u64,
) -> (Vec<BudgetDefinition>, BTreeMap<Name, BudgetSubject>) {
    let ms = Duration::from_millis;
    let members = section.int(
        "members",
        1..=StateLimits::MAX_SESSIONS as u64,
        peers.max(1),
    );
    let mut names = BTreeSet::new();
    let (mut budgets, mut subjects) = (Vec::new(), BTreeMap::new());
    for section in section.sections("budget") {
        let kinds = [("held", BudgetKind::Concurrent), ("rate", BudgetKind::Rate)];
        if !section.has_key("kind") {
            section.report_problem("kind", "expected \"held\" or \"rate\", found nothing");
        }
        if !section.has_key("whole") {
            section.report_problem("whole", "expected a whole number, found nothing");
        }
        let window = section.duration("window", ms(100)..=ms(3_600_000), ms(10_000));
        let definition = BudgetDefinition {
            name: read_name(&section, "name"),
            kind: section.choice("kind", &kinds, BudgetKind::Concurrent),
            total: section.int("whole", 0..=1_000_000, 0),
            floor: section.int("floor", 0..=1_000_000, 0),
            window: window.as_millis() as u64,
            max_members: members,
            version: section.int("version", 1..=u64::from(u32::MAX), 1),
        };
        let choices = [
            ("callers", SubjectKind::Callers),
            ("retries", SubjectKind::Rate(BudgetSubject::Retries)),
            ("moves", SubjectKind::Rate(BudgetSubject::Moves)),
            ("probes", SubjectKind::Rate(BudgetSubject::Probes)),
            ("cold", SubjectKind::Rate(BudgetSubject::Cold)),
            ("class", SubjectKind::Concurrent(BudgetSubject::Class)),
            ("tenant", SubjectKind::Concurrent(BudgetSubject::Tenant)),
        ];
        let subject = section.choice("of", &choices, SubjectKind::Callers);
        section.report_unknown_keys();
        let name_suffix = definition
            .name
            .split_once(':')
            .map(|(_, name)| name.to_string());
        let (kind, subject) = match (subject, name_suffix) {
            (SubjectKind::Callers, _) => (definition.kind, None),
            (SubjectKind::Rate(subject), _) => (BudgetKind::Rate, Some(subject)),
            (SubjectKind::Concurrent(make_subject), Some(name)) => {
                (BudgetKind::Concurrent, Some(make_subject(name)))
            }
            (SubjectKind::Concurrent(_), None) => {
                section.report_problem(
                    "name",
                    "expected the name of a class or tenant after `:`, such as \"tenant:clinica-sur\"",
                );
                (definition.kind, None)
            }
        };
        if kind != definition.kind {
            section.report_problem(
                "kind",
                "retries, moves, probes and cold servers are rates; connections of a class or a tenant are held",
            );
        }
        if subject.is_some()
            && subjects
                .values()
                .any(|other| Some(other) == subject.as_ref())
        {
            section.report_problem("of", "another budget has the same subject");
        }
        subjects.extend(subject.map(|subject| (definition.name.clone(), subject)));
        if let Err(problem) = definition.validate() {
            section.report_problem("floor", problem);
        }
        if !names.insert(definition.name.clone()) {
            section.report_problem("name", "another budget has this name");
        }
        budgets.push(definition);
    }
    if budgets.len() > StateLimits::MAX_BUDGETS {
        section.report_problem(
            "budget",
            format!(
                "{} budgets, {} at most",
                budgets.len(),
                StateLimits::MAX_BUDGETS
            ),
        );
    }
    (budgets, subjects)
}

/// Reads a required name. Its characters are restricted because it goes into frames, calls and logs.
fn read_name(section: &Section<'_>, key: &str) -> Name {
    let name = section.required_text(key);
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "-_.:".contains(character);
    if section.has_key(key)
        && (name.is_empty()
            || name.len() > StateLimits::MAX_NAME_BYTES
            || !name.chars().all(is_allowed))
    {
        section.report_problem(
            key,
            "expected up to 64 letters, digits, `-`, `_`, `.` and `:`",
        );
    }
    name
}

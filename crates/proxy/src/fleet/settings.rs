//! `[fleet]` of the operator's file: who belongs together, the times and limits, and what this proxy is able to
//! hold. Without the section there is no fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use violetwind_conf::Section;
use violetwind_fleet::budget::{BudgetDefinition, BudgetKind};
use violetwind_fleet::work_orders::WORK_DUTY;
use violetwind_fleet::{Limits, LimitsError, Name, StateLimits};
use violetwind_service::MachineMap;

#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    pub name: Name,
    pub listen: SocketAddr,
    /// Without one this proxy never votes.
    pub data_dir: Option<PathBuf>,
    /// Whether the disk is waited for: false only to measure what that costs.
    pub fsync: bool,
    pub peers: Vec<PeerConfig>,
    pub duties: Vec<Name>,
    pub budgets: Vec<BudgetDefinition>,
    /// Budgets that the module counts, and of what.
    pub balancer_budgets: BTreeMap<Name, BudgetSubject>,
    /// Its part in work on machines, if it has one.
    pub maintenance: Option<MaintenanceSettings>,
    pub limits: Limits,
    pub link_limits: LinkLimits,
    /// What is allowed and probably not meant.
    pub warnings: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct PeerConfig {
    pub node: Name,
    pub address: SocketAddr,
    pub is_voter: bool,
}

/// `[fleet.work]`: machines, and what is out on disk.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceSettings {
    pub machines: MachineMap,
    /// Machines that carry a proxy, or that the file names with a zone: zone and proxy.
    pub named_machines: BTreeMap<Name, (Option<Name>, Option<Name>)>,
    /// What is out, as last heard.
    pub state_file: PathBuf,
    /// A longer file is not read.
    pub max_state_file_bytes: u64,
    /// Without such a file the fleet is waited for so long before the first client.
    pub machine_list_timeout: Duration,
    /// Between two looks at what is here, and the same while nothing is ordered.
    pub report_interval: Duration,
    pub idle_report_interval: Duration,
    /// Lists on their way from the fleet's thread.
    pub list_queue_capacity: usize,
}

/// What the module counts for a budget.
#[derive(Clone, Debug, PartialEq)]
pub enum BudgetSubject {
    /// Attempts beyond a request's first.
    Retries,
    /// Connections that the module moves off servers for their load.
    Moves,
    Probes,
    /// Attempts at any one cold server.
    Cold,
    /// Connections at once, of a class or a tenant of that name.
    Class(Name),
    Tenant(Name),
}

/// Sizes and times of links and of the directory.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkLimits {
    /// Members that may be linked to this one at once, beyond those that it dials.
    pub max_accepted_links: usize,
    /// The longest frame; a longer one ends the link before anything is kept of it.
    pub max_frame_bytes: usize,
    /// Frames and bytes on the way to one member; more are dropped and counted.
    pub send_queue_capacity: usize,
    pub max_send_queue_bytes: usize,
    /// Until a link is up and both have said who they are.
    pub connect_timeout: Duration,
    /// Between two attempts: the first, doubled up to the longest.
    pub initial_backoff: Duration,
    pub max_backoff: Duration,
    /// A link that has nothing to say says so; one that is heard nothing of, or takes nothing, for
    /// `silence` is cut.
    pub ping_interval: Duration,
    pub silence_timeout: Duration,
    /// Frames and acknowledgements that wait for the member.
    pub inbox_capacity: usize,
    /// Calls of operators that wait for an answer.
    pub call_queue_capacity: usize,
    /// Parts of budgets on the way to the module, and how often it is asked what it uses.
    pub budget_queue_capacity: usize,
    pub usage_interval: Duration,
    /// Bytes of records that are not on disk yet; with more the member stops.
    pub max_unsynced_bytes: usize,
    /// A file of the log is written anew when it has grown by so much.
    pub max_segment_bytes: u64,
    /// Between two attempts to write to a disk that is full, or to lock a directory that is in use.
    pub retry_interval: Duration,
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

/// Voters at most: each one more makes every commit wait for more disks.
const VOTERS: usize = 7;

impl FleetSettings {
    /// Descriptors that are set aside for the fleet, whatever clients do: links both ways, the listener, the
    /// directory's files and the thread's own.
    pub fn reserved_descriptors(&self) -> usize {
        self.link_limits.max_accepted_links + VOTERS + 16
    }

    pub fn voters(&self) -> impl Iterator<Item = &PeerConfig> {
        self.peers.iter().filter(|peer| peer.is_voter)
    }

    /// What is wrong with the section for a proxy of that name.
    pub fn check_node(&self, node: &str) -> Result<(), String> {
        let own = self.peers.iter().find(|peer| peer.node == node);
        match own {
            None => Err(format!(
                "`fleet.peer`: no peer has this proxy's own name, \"{node}\""
            )),
            Some(own) if own.is_voter && self.data_dir.is_none() => Err(format!(
                "`fleet.dir`: \"{node}\" votes, and has no directory to remember its votes in"
            )),
            Some(_) => Ok(()),
        }
    }

    pub fn read(root: &Section<'_>) -> Option<Self> {
        let section = root.section("fleet");
        if !section.is_present() {
            return None;
        }
        let settings = Self::from(&section);
        section.report_unknown_keys();
        Some(settings)
    }

    fn from(section: &Section<'_>) -> Self {
        let ms = Duration::from_millis;
        let span = |name: &str, from, to, default| {
            let span = section.duration(name, ms(from)..=ms(to), ms(default));
            span.as_millis() as u64
        };
        let base = Limits::default();
        let lease = span("lease", 200, 600_000, base.lease_duration);
        let election = span("election", 50, 60_000, base.consensus.election_timeout);
        let mut limits = Limits::with_timeouts(lease, election);
        limits.weight = section.int("weight", 1..=StateLimits::MAX_WEIGHT, limits.weight);
        limits.lease_margin = span("margin", 1, 300_000, limits.lease_margin);
        match limits.validate() {
            Ok(()) => {}
            Err(LimitsError::LeaseTooShort { min_lease: least }) => section.report_problem(
                "lease",
                format!("shorter than elections need: {least}ms at least, or a shorter `election`"),
            ),
            Err(LimitsError::MarginTooLong { max_margin: most }) => {
                section
                    .report_problem("margin", format!("longer than half of the lease, {most}ms"));
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
        let name = checked(section, "name");
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = |section: &Section<'_>, key: &str| {
            if !section.has_key(key) {
                section.report_problem(key, "expected an address and a port, found nothing");
            }
            let expected = "an IP address and a port, such as \"127.0.0.1:7100\"";
            section.parse_with(key, expected, |text| text.parse().ok())
        };
        let listen = address(section, "listen").unwrap_or(unset);
        let data_dir = section.text("dir").map(PathBuf::from);
        let fsync = section.flag("sync", true);
        let mut warnings = Vec::new();
        if !fsync {
            warnings.push(
                "`fleet.sync` is off: what is acknowledged is lost with the machine's power".into(),
            );
        }
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        let mut peers = Vec::new();
        for section in section.sections("peer") {
            let peer = PeerConfig {
                node: checked(&section, "node"),
                address: address(&section, "address").unwrap_or(unset),
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
                "nobody votes: 1, 3, 5 or 7 peers with `votes = true`",
            ),
            _ if voters > VOTERS => {
                section.report_problem("peer", format!("{voters} voters, {VOTERS} at most"));
            }
            _ if voters % 2 == 0 => warnings.push(format!(
                "`fleet.peer`: {voters} voters stand no more losses than {}",
                voters - 1
            )),
            _ => {}
        }
        let mut duties = BTreeSet::new();
        for section in section.sections("duty") {
            let duty = checked(&section, "name");
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
        let work = work(section, data_dir.as_deref(), &limits, &peers);
        if work.as_ref().is_some_and(|(_, conducts)| *conducts) {
            duties.insert(WORK_DUTY.into());
        }
        let maintenance = work.map(|(work, _)| work);
        let duties = duties.into_iter().collect();
        let (budgets, balancer_budgets) = budgets(section, peers.len() as u64);
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

/// The section for work on machines, and whether this proxy may conduct.
fn work(
    root: &Section<'_>,
    dir: Option<&Path>,
    limits: &Limits,
    peers: &[PeerConfig],
) -> Option<(MaintenanceSettings, bool)> {
    let section = root.section("work");
    if !section.is_present() {
        return None;
    }
    let ms = Duration::from_millis;
    let mut named = BTreeMap::new();
    let mut machines = MachineMap {
        name_delimiter: section
            .text("machine_until")
            .filter(|until| !until.is_empty()),
        by_server: BTreeMap::new(),
    };
    for machine in section.sections("machine") {
        let name = checked(&machine, "name");
        let proxy = machine.text("proxy");
        if let Some(proxy) = &proxy
            && !peers.iter().any(|peer| peer.node == *proxy)
        {
            // Members that never vote need not be named among the peers; a mistyped voter would be worse.
            machine.report_problem("proxy", "no peer has this name");
        }
        for uid in machine.text_list("servers") {
            if machines
                .by_server
                .insert(uid.clone(), name.clone())
                .is_some()
            {
                machine.report_problem("servers", format!("\"{uid}\" is on another machine too"));
            }
        }
        let zone = machine.text("zone");
        machine.report_unknown_keys();
        if named.insert(name, (zone, proxy)).is_some() {
            machine.report_problem("name", "another machine has this name");
        }
    }
    let file = section.text("file").map(PathBuf::from);
    let file = file.or_else(|| dir.map(|dir| dir.with_extension("out")));
    if file.is_none() {
        section.report_problem(
            "file",
            "a file for what is out, as there is no `fleet.dir` beside it",
        );
    }
    let every = ms(limits.work_poll_interval / 2);
    let work = MaintenanceSettings {
        machines,
        named_machines: named,
        state_file: file.unwrap_or_default(),
        max_state_file_bytes: 64 << 20,
        // A killed process's session lasts for a lease: until then the next one has no list.
        machine_list_timeout: section.duration(
            "first",
            ms(0)..=ms(1_800_000),
            ms(2 * limits.lease_duration),
        ),
        report_interval: every,
        idle_report_interval: ms(limits.renew_interval),
        list_queue_capacity: 16,
    };
    let conducts = section.flag("conduct", true);
    section.report_unknown_keys();
    Some((work, conducts))
}

/// What `of` can say.
#[derive(Clone)]
enum Wanted {
    Callers,
    Rate(BudgetSubject),
    Held(fn(Name) -> BudgetSubject),
}

/// Budgets of the whole fleet. `members` is how many members there may be at most, whose floors are set aside.
fn budgets(
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
    let (mut budgets, mut counted_by) = (Vec::new(), BTreeMap::new());
    for section in section.sections("budget") {
        let kinds = [("held", BudgetKind::Concurrent), ("rate", BudgetKind::Rate)];
        if !section.has_key("kind") {
            section.report_problem("kind", "expected \"held\" or \"rate\", found nothing");
        }
        if !section.has_key("whole") {
            section.report_problem("whole", "expected a whole number, found nothing");
        }
        let window = section.duration("window", ms(100)..=ms(3_600_000), ms(10_000));
        let def = BudgetDefinition {
            name: checked(&section, "name"),
            kind: section.choice("kind", &kinds, BudgetKind::Concurrent),
            total: section.int("whole", 0..=1_000_000, 0),
            floor: section.int("floor", 0..=1_000_000, 0),
            window: window.as_millis() as u64,
            max_members: members,
            version: section.int("version", 1..=u64::from(u32::MAX), 1),
        };
        let words = [
            ("callers", Wanted::Callers),
            ("retries", Wanted::Rate(BudgetSubject::Retries)),
            ("moves", Wanted::Rate(BudgetSubject::Moves)),
            ("probes", Wanted::Rate(BudgetSubject::Probes)),
            ("cold", Wanted::Rate(BudgetSubject::Cold)),
            ("class", Wanted::Held(BudgetSubject::Class)),
            ("tenant", Wanted::Held(BudgetSubject::Tenant)),
        ];
        let of = section.choice("of", &words, Wanted::Callers);
        section.report_unknown_keys();
        let named = def.name.split_once(':').map(|(_, name)| name.to_string());
        let (kind, of) = match (of, named) {
            (Wanted::Callers, _) => (def.kind, None),
            (Wanted::Rate(of), _) => (BudgetKind::Rate, Some(of)),
            (Wanted::Held(of), Some(name)) => (BudgetKind::Concurrent, Some(of(name))),
            (Wanted::Held(_), None) => {
                section.report_problem(
                    "name",
                    "expected what it is of behind a `:`, such as \"tenant:clinica-sur\"",
                );
                (def.kind, None)
            }
        };
        if kind != def.kind {
            section.report_problem(
                "kind",
                "retries, moves, probes and cold servers are rates; connections of a class or a tenant are held",
            );
        }
        if of.is_some() && counted_by.values().any(|known| Some(known) == of.as_ref()) {
            section.report_problem("of", "another budget is of the same");
        }
        counted_by.extend(of.map(|of| (def.name.clone(), of)));
        if let Err(what) = def.validate() {
            section.report_problem("floor", what);
        }
        if !names.insert(def.name.clone()) {
            section.report_problem("name", "another budget has this name");
        }
        budgets.push(def);
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
    (budgets, counted_by)
}

/// A name that must be there: it goes into frames, calls and logs.
fn checked(section: &Section<'_>, key: &str) -> Name {
    let name = section.required_text(key);
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if section.has_key(key)
        && (name.is_empty() || name.len() > StateLimits::MAX_NAME_BYTES || !name.chars().all(plain))
    {
        section.report_problem(
            key,
            "expected up to 64 letters, digits, `-`, `_`, `.` and `:`",
        );
    }
    name
}

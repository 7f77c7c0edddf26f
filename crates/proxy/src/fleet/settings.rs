//! `[fleet]` of the operator's file: who belongs together, the times and limits, and what this proxy is able to
//! hold. Without the section there is no fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use violetwind_conf::Section;
use violetwind_fleet::budget::{Def, Kind};
use violetwind_fleet::work::DUTY;
use violetwind_fleet::{Caps, Limits, Name, Unsound};
use violetwind_service::Machines;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub name: Name,
    pub listen: SocketAddr,
    /// Without one this proxy never votes.
    pub dir: Option<PathBuf>,
    /// Whether the disk is waited for: false only to measure what that costs.
    pub sync: bool,
    pub peers: Vec<PeerAt>,
    pub duties: Vec<Name>,
    pub budgets: Vec<Def>,
    /// Budgets that the module counts, and of what.
    pub counted_by: BTreeMap<Name, Of>,
    /// Its part in work on machines, if it has one.
    pub work: Option<Work>,
    pub limits: Limits,
    pub links: Links,
    /// What is allowed and probably not meant.
    pub warnings: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct PeerAt {
    pub node: Name,
    pub address: SocketAddr,
    pub votes: bool,
}

/// `[fleet.work]`: machines, and what is out on disk.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    pub machines: Machines,
    /// Machines that carry a proxy, or that the file names with a zone: zone and proxy.
    pub named: BTreeMap<Name, (Option<Name>, Option<Name>)>,
    /// What is out, as last heard.
    pub file: PathBuf,
    /// A longer file is not read.
    pub file_bytes: u64,
    /// Without such a file the fleet is waited for so long before the first client.
    pub first: Duration,
    /// Between two looks at what is here, and the same while nothing is ordered.
    pub every: Duration,
    pub idle: Duration,
    /// Lists on their way from the fleet's thread.
    pub lists: usize,
}

/// What the module counts for a budget.
#[derive(Clone, Debug, PartialEq)]
pub enum Of {
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
pub struct Links {
    /// Members that may be linked to this one at once, beyond those that it dials.
    pub accepted: usize,
    /// The longest frame; a longer one ends the link before anything is kept of it.
    pub frame_bytes: usize,
    /// Frames and bytes on the way to one member; more are dropped and counted.
    pub queue: usize,
    pub queue_bytes: usize,
    /// Until a link is up and both have said who they are.
    pub connect: Duration,
    /// Between two attempts: the first, doubled up to the longest.
    pub again: Duration,
    pub again_most: Duration,
    /// A link that has nothing to say says so; one that is heard nothing of, or takes nothing, for
    /// `silence` is cut.
    pub ping: Duration,
    pub silence: Duration,
    /// Frames and acknowledgements that wait for the member.
    pub inbox: usize,
    /// Calls of operators that wait for an answer.
    pub calls: usize,
    /// Parts of budgets on the way to the module, and how often it is asked what it uses.
    pub parts: usize,
    pub uses: Duration,
    /// Bytes of records that are not on disk yet; with more the member stops.
    pub unsynced_bytes: usize,
    /// A file of the log is written anew when it has grown by so much.
    pub segment_bytes: u64,
    /// Between two attempts to write to a disk that is full, or to lock a directory that is in use.
    pub retry: Duration,
    pub tick: Duration,
}

impl Links {
    fn new(limits: &Limits) -> Self {
        let heartbeat = Duration::from_millis(limits.log.heartbeat);
        Self {
            accepted: 64,
            frame_bytes: 2 << 20,
            queue: 1024,
            queue_bytes: 4 << 20,
            connect: Duration::from_millis(1000),
            again: Duration::from_millis(50),
            again_most: Duration::from_millis(1000),
            ping: 5 * heartbeat,
            silence: 20 * heartbeat,
            inbox: 4096,
            calls: 1024,
            parts: 4096,
            uses: heartbeat / 2,
            unsynced_bytes: 32 << 20,
            segment_bytes: 8 << 20,
            retry: Duration::from_millis(200),
            tick: heartbeat / 5,
        }
    }
}

/// Voters at most: each one more makes every commit wait for more disks.
const VOTERS: usize = 7;

impl Settings {
    /// Descriptors that are set aside for the fleet, whatever clients do: links both ways, the listener, the
    /// directory's files and the thread's own.
    pub fn descriptors(&self) -> usize {
        self.links.accepted + VOTERS + 16
    }

    pub fn voters(&self) -> impl Iterator<Item = &PeerAt> {
        self.peers.iter().filter(|peer| peer.votes)
    }

    /// What is wrong with the section for a proxy of that name.
    pub fn fits(&self, node: &str) -> Result<(), String> {
        let own = self.peers.iter().find(|peer| peer.node == node);
        match own {
            None => Err(format!(
                "`fleet.peer`: no peer has this proxy's own name, \"{node}\""
            )),
            Some(own) if own.votes && self.dir.is_none() => Err(format!(
                "`fleet.dir`: \"{node}\" votes, and has no directory to remember its votes in"
            )),
            Some(_) => Ok(()),
        }
    }

    pub fn read(root: &Section<'_>) -> Option<Self> {
        let section = root.section("fleet");
        if !section.is_there() {
            return None;
        }
        let settings = Self::from(&section);
        section.finish();
        Some(settings)
    }

    fn from(section: &Section<'_>) -> Self {
        let ms = Duration::from_millis;
        let span = |name: &str, from, to, default| {
            let span = section.span(name, ms(from)..=ms(to), ms(default));
            span.as_millis() as u64
        };
        let base = Limits::default();
        let lease = span("lease", 200, 600_000, base.lease);
        let election = span("election", 50, 60_000, base.log.election);
        let mut limits = Limits::with(lease, election);
        limits.weight = section.int("weight", 1..=Caps::WEIGHT, limits.weight);
        limits.margin = span("margin", 1, 300_000, limits.margin);
        match limits.check() {
            Ok(()) => {}
            Err(Unsound::LeaseTooShort { least }) => section.wrong(
                "lease",
                format!("shorter than elections need: {least}ms at least, or a shorter `election`"),
            ),
            Err(Unsound::MarginTooLong { most }) => {
                section.wrong("margin", format!("longer than half of the lease, {most}ms"));
            }
        }
        let mut links = Links::new(&limits);
        links.accepted = section.int("links", 1..=4096, links.accepted as u64) as usize;
        links.queue_bytes =
            section.int("queue_bytes", 65_536..=1 << 30, links.queue_bytes as u64) as usize;
        links.segment_bytes = section.int("segment_bytes", 65_536..=1 << 40, links.segment_bytes);
        let name = checked(section, "name");
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = |section: &Section<'_>, key: &str| {
            if !section.has(key) {
                section.wrong(key, "expected an address and a port, found nothing");
            }
            let expected = "an IP address and a port, such as \"127.0.0.1:7100\"";
            section.parsed(key, expected, |text| text.parse().ok())
        };
        let listen = address(section, "listen").unwrap_or(unset);
        let dir = section.text("dir").map(PathBuf::from);
        let sync = section.flag("sync", true);
        let mut warnings = Vec::new();
        if !sync {
            warnings.push(
                "`fleet.sync` is off: what is acknowledged is lost with the machine's power".into(),
            );
        }
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        let mut peers = Vec::new();
        for section in section.sections("peer") {
            let peer = PeerAt {
                node: checked(&section, "node"),
                address: address(&section, "address").unwrap_or(unset),
                votes: section.flag("votes", false),
            };
            section.finish();
            if !names.insert(peer.node.clone()) {
                section.wrong("node", "another peer has this name");
            }
            if section.has("address") && !addresses.insert(peer.address) {
                section.wrong("address", "another peer has this address");
            }
            peers.push(peer);
        }
        let voters = peers.iter().filter(|peer| peer.votes).count();
        match voters {
            0 => section.wrong(
                "peer",
                "nobody votes: 1, 3, 5 or 7 peers with `votes = true`",
            ),
            _ if voters > VOTERS => {
                section.wrong("peer", format!("{voters} voters, {VOTERS} at most"));
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
            section.finish();
            if !duties.insert(duty) {
                section.wrong("name", "another duty has this name");
            }
        }
        if duties.len() > Caps::DUTIES {
            section.wrong(
                "duty",
                format!("{} duties, {} at most", duties.len(), Caps::DUTIES),
            );
        }
        let work = work(section, dir.as_deref(), &limits, &peers);
        if work.as_ref().is_some_and(|(_, conducts)| *conducts) {
            duties.insert(DUTY.into());
        }
        let work = work.map(|(work, _)| work);
        let duties = duties.into_iter().collect();
        let (budgets, counted_by) = budgets(section, peers.len() as u64);
        Self {
            name,
            listen,
            dir,
            sync,
            peers,
            duties,
            budgets,
            counted_by,
            work,
            limits,
            links,
            warnings,
        }
    }
}

/// The section for work on machines, and whether this proxy may conduct.
fn work(
    root: &Section<'_>,
    dir: Option<&Path>,
    limits: &Limits,
    peers: &[PeerAt],
) -> Option<(Work, bool)> {
    let section = root.section("work");
    if !section.is_there() {
        return None;
    }
    let ms = Duration::from_millis;
    let mut named = BTreeMap::new();
    let mut machines = Machines {
        until: section
            .text("machine_until")
            .filter(|until| !until.is_empty()),
        named: BTreeMap::new(),
    };
    for machine in section.sections("machine") {
        let name = checked(&machine, "name");
        let proxy = machine.text("proxy");
        if let Some(proxy) = &proxy
            && !peers.iter().any(|peer| peer.node == *proxy)
        {
            // Members that never vote need not be named among the peers; a mistyped voter would be worse.
            machine.wrong("proxy", "no peer has this name");
        }
        for uid in machine.texts("servers") {
            if machines.named.insert(uid.clone(), name.clone()).is_some() {
                machine.wrong("servers", format!("\"{uid}\" is on another machine too"));
            }
        }
        let zone = machine.text("zone");
        machine.finish();
        if named.insert(name, (zone, proxy)).is_some() {
            machine.wrong("name", "another machine has this name");
        }
    }
    let file = section.text("file").map(PathBuf::from);
    let file = file.or_else(|| dir.map(|dir| dir.with_extension("out")));
    if file.is_none() {
        section.wrong(
            "file",
            "a file for what is out, as there is no `fleet.dir` beside it",
        );
    }
    let every = ms(limits.work / 2);
    let work = Work {
        machines,
        named,
        file: file.unwrap_or_default(),
        file_bytes: 64 << 20,
        // A killed process's session lasts for a lease: until then the next one has no list.
        first: section.span("first", ms(0)..=ms(1_800_000), ms(2 * limits.lease)),
        every,
        idle: ms(limits.renew),
        lists: 16,
    };
    let conducts = section.flag("conduct", true);
    section.finish();
    Some((work, conducts))
}

/// What `of` can say.
#[derive(Clone)]
enum Wanted {
    Callers,
    Rate(Of),
    Held(fn(Name) -> Of),
}

/// Budgets of the whole fleet. `members` is how many members there may be at most, whose floors are set aside.
fn budgets(section: &Section<'_>, peers: u64) -> (Vec<Def>, BTreeMap<Name, Of>) {
    let ms = Duration::from_millis;
    let members = section.int("members", 1..=Caps::SESSIONS as u64, peers.max(1));
    let mut names = BTreeSet::new();
    let (mut budgets, mut counted_by) = (Vec::new(), BTreeMap::new());
    for section in section.sections("budget") {
        let kinds = [("held", Kind::Held), ("rate", Kind::Rate)];
        if !section.has("kind") {
            section.wrong("kind", "expected \"held\" or \"rate\", found nothing");
        }
        if !section.has("whole") {
            section.wrong("whole", "expected a whole number, found nothing");
        }
        let window = section.span("window", ms(100)..=ms(3_600_000), ms(10_000));
        let def = Def {
            name: checked(&section, "name"),
            kind: section.choice("kind", &kinds, Kind::Held),
            whole: section.int("whole", 0..=1_000_000, 0),
            floor: section.int("floor", 0..=1_000_000, 0),
            window: window.as_millis() as u64,
            members,
            version: section.int("version", 1..=u64::from(u32::MAX), 1),
        };
        let words = [
            ("callers", Wanted::Callers),
            ("retries", Wanted::Rate(Of::Retries)),
            ("moves", Wanted::Rate(Of::Moves)),
            ("probes", Wanted::Rate(Of::Probes)),
            ("cold", Wanted::Rate(Of::Cold)),
            ("class", Wanted::Held(Of::Class)),
            ("tenant", Wanted::Held(Of::Tenant)),
        ];
        let of = section.choice("of", &words, Wanted::Callers);
        section.finish();
        let named = def.name.split_once(':').map(|(_, name)| name.to_string());
        let (kind, of) = match (of, named) {
            (Wanted::Callers, _) => (def.kind, None),
            (Wanted::Rate(of), _) => (Kind::Rate, Some(of)),
            (Wanted::Held(of), Some(name)) => (Kind::Held, Some(of(name))),
            (Wanted::Held(_), None) => {
                section.wrong(
                    "name",
                    "expected what it is of behind a `:`, such as \"tenant:clinica-sur\"",
                );
                (def.kind, None)
            }
        };
        if kind != def.kind {
            section.wrong(
                "kind",
                "retries, moves, probes and cold servers are rates; connections of a class or a tenant are held",
            );
        }
        if of.is_some() && counted_by.values().any(|known| Some(known) == of.as_ref()) {
            section.wrong("of", "another budget is of the same");
        }
        counted_by.extend(of.map(|of| (def.name.clone(), of)));
        if let Err(what) = def.check() {
            section.wrong("floor", what);
        }
        if !names.insert(def.name.clone()) {
            section.wrong("name", "another budget has this name");
        }
        budgets.push(def);
    }
    if budgets.len() > Caps::BUDGETS {
        section.wrong(
            "budget",
            format!("{} budgets, {} at most", budgets.len(), Caps::BUDGETS),
        );
    }
    (budgets, counted_by)
}

/// A name that must be there: it goes into frames, calls and logs.
fn checked(section: &Section<'_>, key: &str) -> Name {
    let name = section.need_text(key);
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if section.has(key) && (name.is_empty() || name.len() > Caps::NAME || !name.chars().all(plain))
    {
        section.wrong(
            key,
            "expected up to 64 letters, digits, `-`, `_`, `.` and `:`",
        );
    }
    name
}

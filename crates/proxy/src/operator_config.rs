//! The operator's file: sources of servers, zones, limits and logs. Every key has a default; without a
//! file all of them hold, and the proxy serves as the platform's own configuration says.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tracing::Level;
use violetwind_conf::{ConfigTree, Problem, Problems, Section};
use violetwind_consul::{Api, FieldSource, Identity, MappingRules, Settings};

use crate::config::read_file;
use crate::fleet::settings::FleetSettings as Fleet;
use crate::limits::Limits;

/// Variables that begin so go over the file.
const PREFIX: &str = "VIOLETWIND__";

/// Where the file is, and what goes over it.
#[derive(Clone, Debug, Default)]
pub struct ConfigLayers {
    pub file: Option<PathBuf>,
    /// Values of the command line, as `KEY=VALUE`.
    pub overrides: Vec<String>,
    /// Whether variables of the environment count.
    pub use_environment: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct OperatorConfig {
    pub log_level: Level,
    pub log_as_json: bool,
    pub catalogue_limits: violetwind_catalogue::Limits,
    /// None: the platform's discovery alone, taken at its word.
    pub sources: Vec<Source>,
    /// Requests are recorded there.
    pub recording: Option<RecordingSettings>,
    /// The fleet that this proxy is a member of.
    pub fleet: Option<Fleet>,
    over: Over,
}

#[derive(Clone, Debug, PartialEq)]
pub struct RecordingSettings {
    pub file: PathBuf,
    pub limits: violetwind_record::Limits,
}

/// One source of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    pub name: String,
    pub kind: SourceKind,
}

#[derive(Clone, Debug, PartialEq)]
pub enum SourceKind {
    /// The platform's discovery, at its own address or where the platform says.
    Registry {
        address: Option<SocketAddr>,
        zones: Rc<BTreeMap<String, String>>,
    },
    Consul(Rc<Settings>),
}

/// Limits that the file sets; the others are worked out as before.
#[derive(Clone, Debug, Default, PartialEq)]
struct Over {
    connect: Option<Duration>,
    probe: Option<Duration>,
    silent: Option<Duration>,
    drain_wait: Option<Duration>,
    drain_span: Option<Duration>,
    list_rows: Option<usize>,
    list_bytes: Option<usize>,
    log_lines: Option<u32>,
}

impl ConfigLayers {
    /// Reads the file and what goes over it; all that is wrong comes back at once.
    pub fn load(&self) -> Result<OperatorConfig, Vec<Problem>> {
        let alone = |problem: Problem| vec![problem];
        let mut tree = match &self.file {
            Some(path) => {
                let name = path.display().to_string();
                let text = text(path).map_err(|what| {
                    alone(Problem {
                        location: name.clone(),
                        key: String::new(),
                        message: what,
                        hint: None,
                    })
                })?;
                ConfigTree::parse(&name, &text).map_err(alone)?
            }
            None => ConfigTree::empty(),
        };
        let problems = Problems::default();
        if self.use_environment {
            problems.extend(tree.set_from_env(PREFIX, std::env::vars()));
        }
        for set in &self.overrides {
            let place = format!("--set {set}");
            let (path, value) = set.split_once('=').unwrap_or((set, ""));
            problems.extend(tree.set_value(path.trim(), value.trim(), &place).err());
        }
        let operator = OperatorConfig::read(&Section::root(&tree, &problems));
        let problems = problems.into_vec();
        match problems.is_empty() {
            true => Ok(operator),
            false => Err(problems),
        }
    }
}

fn text(path: &Path) -> Result<String, String> {
    read_file(&path.to_string_lossy())
}

impl OperatorConfig {
    /// Which machine each server is on.
    pub fn machines(&self) -> violetwind_service::MachineMap {
        let work = self
            .fleet
            .as_ref()
            .and_then(|fleet| fleet.maintenance.as_ref());
        work.map(|work| work.machines.clone()).unwrap_or_default()
    }

    pub fn read(root: &Section<'_>) -> Self {
        let log = root.section("log");
        let levels = [
            ("error", Level::ERROR),
            ("warn", Level::WARN),
            ("info", Level::INFO),
            ("debug", Level::DEBUG),
            ("trace", Level::TRACE),
        ];
        let log_level = log.choice("level", &levels, Level::INFO);
        let log_as_json = log.choice("format", &[("text", false), ("json", true)], false);
        log.report_unknown_keys();
        let limits = root.section("limits");
        let over = Over::read(&limits);
        limits.report_unknown_keys();
        let section = root.section("catalogue");
        let catalogue_limits = catalogue(&section);
        section.report_unknown_keys();
        let section_of_record = root.section("record");
        let recording = record(&section_of_record);
        section_of_record.report_unknown_keys();
        let fleet = Fleet::read(root);
        let zones = Rc::new(root.text_map("zones"));
        let mut sources = Vec::new();
        let mut names = BTreeSet::new();
        for section in root.sections("source") {
            let source = source(&section, &zones);
            section.report_unknown_keys();
            if !names.insert(source.name.clone()) {
                section.report_problem("name", "another source has this name");
            }
            sources.push(source);
        }
        let calls: usize = sources.iter().map(Source::watches).sum();
        if calls > catalogue_limits.max_sources / 2 {
            // A reload may need as many again until the old ones are let go.
            let most = catalogue_limits.max_sources / 2;
            root.report_problem(
                "source",
                format!("{calls} sources and data centres, {most} at most"),
            );
        }
        if section.is_present() && sources.is_empty() {
            section.report_problem("", "no `[[source]]` that it could weigh");
        }
        root.report_unknown_keys();
        Self {
            log_level,
            log_as_json,
            catalogue_limits,
            sources,
            recording,
            fleet,
            over,
        }
    }

    /// Sets the limits that the file names.
    pub fn apply_limits(&self, limits: &mut Limits) {
        fn set<T: Copy>(limit: &mut T, over: Option<T>) {
            *limit = over.unwrap_or(*limit);
        }
        let over = &self.over;
        set(&mut limits.connect_timeout, over.connect);
        set(&mut limits.probe_timeout, over.probe);
        set(&mut limits.server_silence_timeout, over.silent);
        set(&mut limits.engine.drain_wait, over.drain_wait);
        set(&mut limits.engine.drain_span, over.drain_span);
        set(&mut limits.max_list_rows, over.list_rows);
        set(&mut limits.max_list_bytes, over.list_bytes);
        set(&mut limits.max_log_lines, over.log_lines);
        if let Some(fleet) = &self.fleet {
            limits.request_descriptors = limits
                .request_descriptors
                .saturating_sub(fleet.reserved_descriptors())
                .max(2);
        }
    }

    /// The sections of another reading that differ and that only a restart takes up.
    pub fn sections_needing_restart(&self, other: &Self) -> Vec<&'static str> {
        let mut changed = Vec::new();
        let mut note = |name, differs: bool| changed.extend(differs.then_some(name));
        note(
            "log",
            (self.log_level, self.log_as_json) != (other.log_level, other.log_as_json),
        );
        note("limits", self.over != other.over);
        note("record", self.recording != other.recording);
        note("fleet", self.fleet != other.fleet);
        note("catalogue", self.catalogue_limits != other.catalogue_limits);
        // The catalogue is set up at the start, or not at all.
        note(
            "source",
            self.sources.is_empty() != other.sources.is_empty(),
        );
        changed
    }
}

impl Source {
    /// Open calls that it takes: one a data centre.
    fn watches(&self) -> usize {
        match &self.kind {
            SourceKind::Registry { .. } => 1,
            SourceKind::Consul(settings) => settings.datacenters.len().max(1),
        }
    }
}

impl Over {
    fn read(section: &Section<'_>) -> Self {
        let ms = Duration::from_millis;
        let span = |name: &str, from, to| {
            let range = ms(from)..=ms(to);
            section
                .has_key(name)
                .then(|| section.duration(name, range, ms(from)))
        };
        let count = |name: &str, from, to| {
            section
                .has_key(name)
                .then(|| section.int(name, from..=to, from) as usize)
        };
        Self {
            connect: span("connect", 10, 10_000),
            probe: span("probe", 10, 10_000),
            silent: span("silent", 100, 60_000),
            drain_wait: span("drain_wait", 0, 60_000),
            drain_span: span("drain_span", 20, 600_000),
            list_rows: count("list_rows", 1, 40_000),
            list_bytes: count("list_bytes", 1024, 64 << 20),
            log_lines: count("log_lines", 1, 10_000).map(|lines| lines as u32),
        }
    }
}

fn catalogue(section: &Section<'_>) -> violetwind_catalogue::Limits {
    let base = violetwind_catalogue::Limits::default();
    let ms = Duration::from_millis;
    let span = |name: &str, from, to, default| {
        section
            .duration(name, ms(from)..=ms(to), ms(default))
            .as_millis() as u64
    };
    let doubt_window = span("doubt_window", 1000, 600_000, base.distrust_window);
    let doubt_most = span("doubt_most", 1000, 86_400_000, base.max_distrust_time);
    let flap_damped = section.number("flap_damped", 1.0..=1000.0, base.flap_suppress_threshold);
    let flap_free = section.number("flap_free", 0.01..=1000.0, base.flap_reuse_threshold);
    if doubt_most <= doubt_window {
        section.report_problem("doubt_most", "no longer than `doubt_window`");
    }
    if flap_free >= flap_damped {
        section.report_problem("flap_free", "no less than `flap_damped`");
    }
    violetwind_catalogue::Limits {
        max_servers: section.int("servers", 1..=200_000, base.max_servers as u64) as usize,
        max_sources: base.max_sources,
        absence_timeout: span("absent_for", 1000, 86_400_000, base.absence_timeout),
        max_gone_ratio_per_s: section.number("gone_share", 0.0001..=1.0, base.max_gone_ratio_per_s),
        max_unanswered: section.int("unanswered", 1..=100, base.max_unanswered.into()) as u32,
        distrust_ratio: section.number("doubt_share", 0.01..=1.0, base.distrust_ratio),
        distrust_min_servers: section.int(
            "doubt_least",
            1..=10_000,
            base.distrust_min_servers as u64,
        ) as usize,
        distrust_window: doubt_window,
        trust_recovery_delay: span("trust_after", 0, 86_400_000, base.trust_recovery_delay),
        max_distrust_time: doubt_most,
        flap_half_life: span("flap_half", 1000, 86_400_000, base.flap_half_life),
        flap_suppress_threshold: flap_damped,
        flap_reuse_threshold: flap_free,
        tick_interval: base.tick_interval,
    }
}

fn record(section: &Section<'_>) -> Option<RecordingSettings> {
    let base = violetwind_record::Limits::default();
    let limits = violetwind_record::Limits {
        max_file_bytes: section.int("file_bytes", 4096..=1 << 40, base.max_file_bytes),
        max_old_files: section.int("files", 0..=1000, base.max_old_files as u64) as usize,
        queue_capacity: section.int("queue", 1..=1_000_000, base.queue_capacity as u64) as usize,
        retry_delay: base.retry_delay,
        flush_timeout: base.flush_timeout,
    };
    let file = match section.is_present() {
        true => section.required_text("file"),
        false => return None,
    };
    let file = PathBuf::from(file);
    Some(RecordingSettings { file, limits })
}

fn source(section: &Section<'_>, zones: &Rc<BTreeMap<String, String>>) -> Source {
    let name = section.required_text("name");
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !name.chars().all(plain) || name.len() > 64 {
        section.report_problem(
            "name",
            "expected up to 64 letters, digits, `-`, `_` and `.`",
        );
    }
    let address = || {
        let expected = "an IP address and a port, such as \"127.0.0.1:8500\"";
        section.parse_with("address", expected, |text| text.parse().ok())
    };
    let how = match section.choice("kind", &[("registry", false), ("consul", true)], false) {
        false => SourceKind::Registry {
            address: address(),
            zones: zones.clone(),
        },
        true => SourceKind::Consul(Rc::new(consul(section, address(), zones))),
    };
    if !section.has_key("kind") {
        section.report_problem("kind", "expected \"registry\" or \"consul\", found nothing");
    }
    Source { name, kind: how }
}

fn consul(
    section: &Section<'_>,
    address: Option<SocketAddr>,
    zones: &BTreeMap<String, String>,
) -> Settings {
    if !section.has_key("address") {
        section.report_problem("address", "expected an address and a port, found nothing");
    }
    let unset = SocketAddr::from(([127, 0, 0, 1], 8500));
    let mut settings = Settings::new(address.unwrap_or(unset), &section.required_text("service"));
    // Both become parts of a path.
    let plain = |text: &str| {
        let sound = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        !text.is_empty() && text.len() <= 128 && text.chars().all(sound)
    };
    if !plain(&settings.service) && section.has_key("service") {
        section.report_problem("service", "expected letters, digits, `-`, `_` and `.`");
    }
    settings.datacenters = section.text_list("datacenters");
    let distinct: BTreeSet<&String> = settings.datacenters.iter().collect();
    if distinct.len() != settings.datacenters.len()
        || !settings.datacenters.iter().all(|dc| plain(dc))
    {
        section.report_problem(
            "datacenters",
            "expected different names of letters, digits, `-`, `_`, `.`",
        );
    }
    settings.api = section.choice(
        "api",
        &[("health", Api::Health), ("catalog", Api::Catalog)],
        settings.api,
    );
    settings.allow_stale = section.flag("stale", settings.allow_stale);
    settings.token_file = section.text("token_file").map(PathBuf::from);
    let field = |name: &str, default: FieldSource| {
        let expected = "\"datacenter\", \"none\", \"meta:KEY\" or \"tag:PREFIX\"";
        section
            .parse_with(name, expected, parse_field)
            .unwrap_or(default)
    };
    let identity = section.parse_with("identity", "\"id\", \"node-id\" or \"meta:KEY\"", |text| {
        Some(match text {
            "id" => Identity::ServiceId,
            "node-id" => Identity::NodeAndId,
            _ => Identity::Meta(some(text.strip_prefix("meta:")?)?),
        })
    });
    let base = MappingRules::default();
    settings.rules = MappingRules {
        identity: identity.unwrap_or(base.identity),
        zone: field("zone", base.zone),
        kind: field("server_kind", base.kind),
        group: field("group", base.group),
        boot_ms: field("boot_ms", base.boot_ms),
        drain_tag: section.text("drain_tag"),
        zones: zones.clone(),
    };
    let limits = &mut settings.limits;
    let ms = Duration::from_millis;
    limits.blocking_wait = section.duration("wait", ms(1000)..=ms(600_000), limits.blocking_wait);
    limits.max_staleness =
        section.duration("stale_most", ms(0)..=ms(3_600_000), limits.max_staleness);
    limits.min_query_delay = section.duration("gap", ms(10)..=ms(60_000), limits.min_query_delay);
    limits.body_timeout =
        section.duration("body_most", ms(1000)..=ms(600_000), limits.body_timeout);
    limits.max_body_bytes =
        section.int("body_bytes", 1024..=1 << 30, limits.max_body_bytes as u64) as usize;
    limits.max_rows = section.int("rows", 1..=200_000, limits.max_rows as u64) as usize;
    settings
}

fn parse_field(text: &str) -> Option<FieldSource> {
    Some(match text {
        "none" => FieldSource::Nothing,
        "datacenter" => FieldSource::Datacenter,
        _ => match text.split_once(':')? {
            ("meta", key) => FieldSource::Meta(some(key)?),
            ("tag", prefix) => FieldSource::TagPrefix(some(prefix)?),
            _ => return None,
        },
    })
}

fn some(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_string())
}

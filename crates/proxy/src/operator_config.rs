//! The operator's configuration file: sources of servers, zones, limits and logging. Every key is optional. Without
//! a file all defaults apply, and the proxy serves according to the platform's configuration alone.

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

/// Prefix of environment variables that override keys of the file.
const PREFIX: &str = "VIOLETWIND__";

/// The operator's file, and the overrides that take precedence over it.
#[derive(Clone, Debug, Default)]
pub struct ConfigLayers {
    /// Path of the operator's file, if there is one.
    pub file: Option<PathBuf>,
    /// Values of the command line, as `KEY=VALUE`.
    pub overrides: Vec<String>,
    /// Whether environment variables override the file.
    pub use_environment: bool,
}

/// The parsed and validated operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorConfig {
    pub log_level: Level,
    pub log_as_json: bool,
    pub catalogue_limits: violetwind_catalogue::Limits,
    /// The configured sources. If empty, the platform's discovery is the only source, and the catalogue is not used.
    pub sources: Vec<Source>,
    /// Where and how requests are recorded, if they are.
    pub recording: Option<RecordingSettings>,
    /// The fleet that this proxy is a member of, if any.
    pub fleet: Option<Fleet>,
    limit_overrides: LimitOverrides,
}

/// Settings of the recording of requests.
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

/// Kind of a source, with its settings.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceKind {
    /// A discovery service of the platform's kind. Without an `address` of its own it uses the platform's discovery
    /// address.
    Registry {
        address: Option<SocketAddr>,
        zones: Rc<BTreeMap<String, String>>,
    },
    /// A service registered in Consul.
    Consul(Rc<Settings>),
}

/// Limits set by the file; unset ones keep their computed values.
#[derive(Clone, Debug, Default, PartialEq)]
struct LimitOverrides {
    connect_timeout: Option<Duration>,
    probe_timeout: Option<Duration>,
    server_silence_timeout: Option<Duration>,
    drain_wait: Option<Duration>,
    drain_span: Option<Duration>,
    max_list_rows: Option<usize>,
    max_list_bytes: Option<usize>,
    max_log_lines: Option<u32>,
}

impl ConfigLayers {
    /// Reads the file and applies the overrides. Returns all problems found, not only the first.
    pub fn load(&self) -> Result<OperatorConfig, Vec<Problem>> {
        let to_vec = |problem: Problem| vec![problem];
        let mut tree = match &self.file {
            Some(path) => {
                let name = path.display().to_string();
                let contents = read_text(path).map_err(|message| {
                    to_vec(Problem {
                        location: name.clone(),
                        key: String::new(),
                        message,
                        hint: None,
                    })
                })?;
                ConfigTree::parse(&name, &contents).map_err(to_vec)?
            }
            None => ConfigTree::empty(),
        };
        let problems = Problems::default();
        if self.use_environment {
            problems.extend(tree.set_from_env(PREFIX, std::env::vars()));
        }
        for assignment in &self.overrides {
            let location = format!("--set {assignment}");
            let (path, value) = assignment.split_once('=').unwrap_or((assignment, ""));
            problems.extend(tree.set_value(path.trim(), value.trim(), &location).err());
        }
        let config = OperatorConfig::read(&Section::root(&tree, &problems));
        let problems = problems.into_vec();
        match problems.is_empty() {
            true => Ok(config),
            false => Err(problems),
        }
    }
}

fn read_text(path: &Path) -> Result<String, String> {
    read_file(&path.to_string_lossy())
}

impl OperatorConfig {
    /// Returns the machine of each server; empty without the settings for maintenance work.
    pub fn machines(&self) -> violetwind_service::MachineMap {
        let maintenance = self
            .fleet
            .as_ref()
            .and_then(|fleet| fleet.maintenance.as_ref());
        maintenance
            .map(|maintenance| maintenance.machines.clone())
            .unwrap_or_default()
    }

    /// Reads and validates all sections. Problems are collected by `root`.
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
        let limit_overrides = LimitOverrides::read(&limits);
        limits.report_unknown_keys();
        let catalogue_section = root.section("catalogue");
        let catalogue_limits = read_catalogue_limits(&catalogue_section);
        catalogue_section.report_unknown_keys();
        let record_section = root.section("record");
        let recording = read_recording(&record_section);
        record_section.report_unknown_keys();
        let fleet = Fleet::read(root);
        let zones = Rc::new(root.text_map("zones"));
        let mut sources = Vec::new();
        let mut names = BTreeSet::new();
        for section in root.sections("source") {
            let source = read_source(&section, &zones);
            section.report_unknown_keys();
            if !names.insert(source.name.clone()) {
                section.report_problem("name", "another source has this name");
            }
            sources.push(source);
        }
        let watch_count: usize = sources.iter().map(Source::watch_count).sum();
        if watch_count > catalogue_limits.max_sources / 2 {
            // A reload may need the same number again until the old sources are removed.
            let max_watches = catalogue_limits.max_sources / 2;
            root.report_problem(
                "source",
                format!("{watch_count} sources and data centers exceed the limit of {max_watches}"),
            );
        }
        if catalogue_section.is_present() && sources.is_empty() {
            catalogue_section.report_problem("", "has no effect without a `[[source]]`");
        }
        root.report_unknown_keys();
        Self {
            log_level,
            log_as_json,
            catalogue_limits,
            sources,
            recording,
            fleet,
            limit_overrides,
        }
    }

    /// Overwrites the limits that the file sets, and reserves descriptors for the fleet.
    pub fn apply_limits(&self, limits: &mut Limits) {
        fn set<T: Copy>(limit: &mut T, value: Option<T>) {
            *limit = value.unwrap_or(*limit);
        }
        let overrides = &self.limit_overrides;
        set(&mut limits.connect_timeout, overrides.connect_timeout);
        set(&mut limits.probe_timeout, overrides.probe_timeout);
        set(
            &mut limits.server_silence_timeout,
            overrides.server_silence_timeout,
        );
        set(&mut limits.engine.drain_wait, overrides.drain_wait);
        set(&mut limits.engine.drain_span, overrides.drain_span);
        set(&mut limits.max_list_rows, overrides.max_list_rows);
        set(&mut limits.max_list_bytes, overrides.max_list_bytes);
        set(&mut limits.max_log_lines, overrides.max_log_lines);
        if let Some(fleet) = &self.fleet {
            limits.request_descriptors = limits
                .request_descriptors
                .saturating_sub(fleet.reserved_descriptors())
                .max(2);
        }
    }

    /// Returns the sections that differ in `other` and take effect only after a restart.
    pub fn sections_needing_restart(&self, other: &Self) -> Vec<&'static str> {
        let mut changed = Vec::new();
        let mut note_change = |name, differs: bool| changed.extend(differs.then_some(name));
        note_change(
            "log",
            (self.log_level, self.log_as_json) != (other.log_level, other.log_as_json),
        );
        note_change("limits", self.limit_overrides != other.limit_overrides);
        note_change("record", self.recording != other.recording);
        note_change("fleet", self.fleet != other.fleet);
        note_change("catalogue", self.catalogue_limits != other.catalogue_limits);
        // Whether a catalogue is used is decided once, at startup.
        note_change(
            "source",
            self.sources.is_empty() != other.sources.is_empty(),
        );
        changed
    }
}

impl Source {
    /// Number of concurrent watches that the source needs: one for each data center.
    fn watch_count(&self) -> usize {
        match &self.kind {
            SourceKind::Registry { .. } => 1,
            SourceKind::Consul(settings) => settings.datacenters.len().max(1),
        }
    }
}

impl LimitOverrides {
    fn read(section: &Section<'_>) -> Self {
        let ms = Duration::from_millis;
        let duration = |name: &str, min, max| {
            let range = ms(min)..=ms(max);
            section
                .has_key(name)
                .then(|| section.duration(name, range, ms(min)))
        };
        let count = |name: &str, min, max| {
            section
                .has_key(name)
                .then(|| section.int(name, min..=max, min) as usize)
        };
        Self {
            connect_timeout: duration("connect", 10, 10_000),
            probe_timeout: duration("probe", 10, 10_000),
            server_silence_timeout: duration("silent", 100, 60_000),
            drain_wait: duration("drain_wait", 0, 60_000),
            drain_span: duration("drain_span", 20, 600_000),
            max_list_rows: count("list_rows", 1, 40_000),
            max_list_bytes: count("list_bytes", 1024, 64 << 20),
            max_log_lines: count("log_lines", 1, 10_000).map(|lines| lines as u32),
        }
    }
}

fn read_catalogue_limits(section: &Section<'_>) -> violetwind_catalogue::Limits {
    let defaults = violetwind_catalogue::Limits::default();
    let ms = Duration::from_millis;
    let duration_ms = |name: &str, min, max, default| {
        section
            .duration(name, ms(min)..=ms(max), ms(default))
            .as_millis() as u64
    };
    let distrust_window = duration_ms("doubt_window", 1000, 600_000, defaults.distrust_window);
    let max_distrust_time = duration_ms("doubt_most", 1000, 86_400_000, defaults.max_distrust_time);
    let flap_suppress_threshold = section.number(
        "flap_damped",
        1.0..=1000.0,
        defaults.flap_suppress_threshold,
    );
    let flap_reuse_threshold =
        section.number("flap_free", 0.01..=1000.0, defaults.flap_reuse_threshold);
    if max_distrust_time <= distrust_window {
        section.report_problem("doubt_most", "must be longer than `doubt_window`");
    }
    if flap_reuse_threshold >= flap_suppress_threshold {
        section.report_problem("flap_free", "must be less than `flap_damped`");
    }
    violetwind_catalogue::Limits {
        max_servers: section.int("servers", 1..=200_000, defaults.max_servers as u64) as usize,
        max_sources: defaults.max_sources,
        absence_timeout: duration_ms("absent_for", 1000, 86_400_000, defaults.absence_timeout),
        max_gone_ratio_per_s: section.number(
            "gone_share",
            0.0001..=1.0,
            defaults.max_gone_ratio_per_s,
        ),
        max_unanswered: section.int("unanswered", 1..=100, defaults.max_unanswered.into()) as u32,
        distrust_ratio: section.number("doubt_share", 0.01..=1.0, defaults.distrust_ratio),
        distrust_min_servers: section.int(
            "doubt_least",
            1..=10_000,
            defaults.distrust_min_servers as u64,
        ) as usize,
        distrust_window,
        trust_recovery_delay: duration_ms(
            "trust_after",
            0,
            86_400_000,
            defaults.trust_recovery_delay,
        ),
        max_distrust_time,
        flap_half_life: duration_ms("flap_half", 1000, 86_400_000, defaults.flap_half_life),
        flap_suppress_threshold,
        flap_reuse_threshold,
        tick_interval: defaults.tick_interval,
    }
}

fn read_recording(section: &Section<'_>) -> Option<RecordingSettings> {
    let defaults = violetwind_record::Limits::default();
    let limits = violetwind_record::Limits {
        max_file_bytes: section.int("file_bytes", 4096..=1 << 40, defaults.max_file_bytes),
        max_old_files: section.int("files", 0..=1000, defaults.max_old_files as u64) as usize,
        queue_capacity: section.int("queue", 1..=1_000_000, defaults.queue_capacity as u64)
            as usize,
        retry_delay: defaults.retry_delay,
        flush_timeout: defaults.flush_timeout,
    };
    let file = match section.is_present() {
        true => section.required_text("file"),
        false => return None,
    };
    let file = PathBuf::from(file);
    Some(RecordingSettings { file, limits })
}

fn read_source(section: &Section<'_>, zones: &Rc<BTreeMap<String, String>>) -> Source {
    let name = section.required_text("name");
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !name.chars().all(is_allowed) || name.len() > 64 {
        section.report_problem(
            "name",
            "expected up to 64 letters, digits, `-`, `_` and `.`",
        );
    }
    let address = || {
        let expected = "an IP address and a port, such as \"127.0.0.1:8500\"";
        section.parse_with("address", expected, |text| text.parse().ok())
    };
    let kind = match section.choice("kind", &[("registry", false), ("consul", true)], false) {
        false => SourceKind::Registry {
            address: address(),
            zones: zones.clone(),
        },
        true => SourceKind::Consul(Rc::new(read_consul(section, address(), zones))),
    };
    if !section.has_key("kind") {
        section.report_problem("kind", "expected \"registry\" or \"consul\", found nothing");
    }
    Source { name, kind }
}

fn read_consul(
    section: &Section<'_>,
    address: Option<SocketAddr>,
    zones: &BTreeMap<String, String>,
) -> Settings {
    if !section.has_key("address") {
        section.report_problem("address", "expected an address and a port, found nothing");
    }
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 8500));
    let mut settings = Settings::new(
        address.unwrap_or(placeholder),
        &section.required_text("service"),
    );
    // The service and the data centers become parts of a URL path.
    let is_valid_name = |text: &str| {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        !text.is_empty() && text.len() <= 128 && text.chars().all(is_allowed)
    };
    if !is_valid_name(&settings.service) && section.has_key("service") {
        section.report_problem("service", "expected letters, digits, `-`, `_` and `.`");
    }
    settings.datacenters = section.text_list("datacenters");
    let distinct: BTreeSet<&String> = settings.datacenters.iter().collect();
    if distinct.len() != settings.datacenters.len()
        || !settings
            .datacenters
            .iter()
            .all(|datacenter| is_valid_name(datacenter))
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
    let read_field = |name: &str, default: FieldSource| {
        let expected = "\"datacenter\", \"none\", \"meta:KEY\" or \"tag:PREFIX\"";
        section
            .parse_with(name, expected, parse_field)
            .unwrap_or(default)
    };
    let identity = section.parse_with("identity", "\"id\", \"node-id\" or \"meta:KEY\"", |text| {
        Some(match text {
            "id" => Identity::ServiceId,
            "node-id" => Identity::NodeAndId,
            _ => Identity::Meta(non_empty(text.strip_prefix("meta:")?)?),
        })
    });
    let defaults = MappingRules::default();
    settings.rules = MappingRules {
        identity: identity.unwrap_or(defaults.identity),
        zone: read_field("zone", defaults.zone),
        kind: read_field("server_kind", defaults.kind),
        group: read_field("group", defaults.group),
        boot_ms: read_field("boot_ms", defaults.boot_ms),
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
            ("meta", key) => FieldSource::Meta(non_empty(key)?),
            ("tag", prefix) => FieldSource::TagPrefix(non_empty(prefix)?),
            _ => return None,
        },
    })
}

fn non_empty(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_string())
}

//! Scenario files: TOML that is checked like the operator's configuration, with all errors reported at once.

use std::sync::Arc;
use std::time::Duration;

use violetwind_balancer::api::{Idempotency, QuotaKind};
use violetwind_conf::{ConfigTree, Problem, Problems, Section};

use crate::replay::RecordedClient;

/// Limit on the estimated memory of a run, in bytes.
pub const MAX_MEMORY_BYTES: u64 = 4 << 30;

/// A fleet, its demand and its troubles. Times are in seconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    pub seconds: f64,
    /// Time at the start of the run that is left out of the results.
    pub warm_up: f64,
    pub proxies: usize,
    pub zones: usize,
    pub servers: usize,
    pub server: Server,
    pub demand: Demand,
    pub classes: Vec<Class>,
    pub list_timing: ListTiming,
    pub network: Network,
    pub troubles: Vec<Trouble>,
    pub budgets: Vec<Budget>,
    pub work: Option<WorkSettings>,
    /// Interval at which proxies report their budget usage and receive their shares.
    pub exchange_interval: f64,
    /// Recorded clients that replace generated ones.
    pub recorded_clients: Option<Arc<Vec<RecordedClient>>>,
}

/// Work orders on all servers, each of which runs on its own machine; the real planner executes the orders.
#[derive(Clone, Debug)]
pub struct WorkSettings {
    pub start_at: f64,
    pub max_out: u32,
    pub max_out_per_zone: u32,
    pub min_capacity_share: f64,
    pub keep_spare_machine: bool,
    /// Number of machines per order; an order starts when all machines of the previous one are done. 0 puts all
    /// machines into one order. If equal to `max_out`, the work runs in fixed batches.
    pub machines_per_order: usize,
    /// Time that operators need for one machine.
    pub job_duration: f64,
    /// Interval between checks of the coordinator.
    pub check_interval: f64,
}

/// A limit on the usage of all proxies together within any window.
#[derive(Clone, Debug)]
pub struct Budget {
    pub quota_kind: QuotaKind,
    pub total: u64,
    pub floor: u64,
    pub window: f64,
    /// Whether the total is divided by need. Otherwise each proxy has a fixed part, and the balancer itself divides the
    /// limit on cold servers.
    pub divided_by_need: bool,
}

const QUOTA_KINDS: [(&str, QuotaKind); 4] = [
    ("retries", QuotaKind::Further),
    ("moves", QuotaKind::Moves),
    ("probes", QuotaKind::Probes),
    ("cold", QuotaKind::Cold),
];

/// Properties of the servers.
#[derive(Clone, Debug)]
pub struct Server {
    /// Seconds of work per second.
    pub capacity: f64,
    /// Share by which the capacity of a server may be above or below `capacity`.
    pub capacity_spread: f64,
    /// Work of one set-up, in seconds.
    pub setup_work: f64,
    /// A message is late if its response time exceeds its work multiplied by this factor.
    pub max_slowdown: f64,
    pub max_connections: usize,
    pub max_pending_setups: usize,
    /// Interval at which the reported loads are updated.
    pub report_interval: f64,
    /// Delay of the reported loads.
    pub report_delay: f64,
    /// Relative error of the reported loads.
    pub report_noise: f64,
    pub slow_start_min_share: f64,
    pub slow_start_window: f64,
    /// Work per second that each group costs on each server with a connection of the group.
    pub group_cost: f64,
    /// Set-ups per second that the store shared by all servers can handle; 0 if there is no such store.
    pub store_setups_per_s: f64,
}

/// Demand of the clients.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Offered load divided by the capacity of all servers.
    pub offered_load: f64,
    pub tenants: usize,
    pub groups: usize,
    /// Approximate delay before a refused or lost client retries.
    pub retry_delay: f64,
    /// Maximum number of retries.
    pub max_retries: usize,
    /// Interval between changes of a connection's load.
    pub load_change_interval: f64,
    /// Skew of the clients over the proxies of their zone: 0 distributes them evenly; with 1 the first half of the
    /// proxies gets 0.71 of the clients, with 3 the first tenth gets 0.56.
    pub skew: f64,
}

/// A class of clients.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    /// Relative share of all arrivals.
    pub arrival_share: f64,
    /// Mean work per second of a connection.
    pub load: f64,
    /// Standard deviation of the logarithm of the load.
    pub load_spread: f64,
    pub mean_hold_time: f64,
    pub setup_target: f64,
    pub deadline: f64,
    pub worth: f64,
    pub effect: Idempotency,
}

/// Timing of server list updates and of deployments.
#[derive(Clone, Debug)]
pub struct ListTiming {
    pub propagation_delay: f64,
    /// Time for which a server drains before its process ends.
    pub drain_grace: f64,
    /// Time from the end of a process to the start of the next.
    pub restart_time: f64,
}

/// Round-trip times and the connect timeout.
#[derive(Clone, Debug)]
pub struct Network {
    pub same_zone_rtt: f64,
    pub cross_zone_rtt: f64,
    pub connect_timeout: f64,
}

/// Kinds of troubles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TroubleKind {
    /// Server processes end, and restart cold afterwards.
    Crash,
    /// The capacity of servers is lowered by a factor.
    Slow,
    /// As `Slow`, by default with a random factor per server, as under a noisy neighbour.
    Neighbour,
    /// Servers answer each attempt with an error at once.
    FailingFast,
    /// A share of the new clients has a multiple of the usual load.
    Heavy,
    /// Servers drain, end and restart cold, one after the other.
    Deploy,
    /// A share of the clients loses its connections at once and retries.
    Reconnect,
    /// The arrival rate is multiplied.
    Burst,
    /// The machines of a zone become unreachable, and restart cold afterwards.
    ZoneLoss,
    /// A zone is cut off from the other zones.
    ZoneCut,
    /// No updates of the server list are delivered.
    CatalogueSilent,
    /// Proxies restart.
    ProxiesRestart,
}

const TROUBLE_KINDS: [(&str, TroubleKind); 12] = [
    ("crash", TroubleKind::Crash),
    ("slow", TroubleKind::Slow),
    ("neighbour", TroubleKind::Neighbour),
    ("failing-fast", TroubleKind::FailingFast),
    ("heavy", TroubleKind::Heavy),
    ("deploy", TroubleKind::Deploy),
    ("reconnect", TroubleKind::Reconnect),
    ("burst", TroubleKind::Burst),
    ("zone-loss", TroubleKind::ZoneLoss),
    ("zone-cut", TroubleKind::ZoneCut),
    ("catalogue-silent", TroubleKind::CatalogueSilent),
    ("proxies-restart", TroubleKind::ProxiesRestart),
];

impl TroubleKind {
    /// All kinds, in the order of `TROUBLE_KINDS`.
    pub const ALL: [Self; 12] = {
        let mut all = [Self::Crash; 12];
        let mut at = 0;
        while at < all.len() {
            all[at] = TROUBLE_KINDS[at].1;
            at += 1;
        }
        all
    };

    /// Default range of the factor applied to the load of clients, the arrival rate or the capacity.
    pub fn default_factors(self) -> (f64, f64) {
        match self {
            Self::Heavy => (5.0, 24.0),
            Self::Slow => (0.4, 0.4),
            Self::Neighbour => (0.5, 1.0),
            Self::Burst => (3.0, 3.0),
            _ => (1.0, 1.0),
        }
    }

    /// Name in scenario files.
    pub fn name(self) -> &'static str {
        let named = TROUBLE_KINDS.iter().find(|(_, kind)| *kind == self);
        named.map_or("?", |(name, _)| name)
    }
}

/// A trouble that starts at `at` and lasts for `lasts` seconds.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub kind: TroubleKind,
    pub at: f64,
    pub lasts: f64,
    /// Share of servers, proxies or clients that are affected.
    pub share: f64,
    /// Range of the factor applied to the load of clients, the arrival rate or the capacity.
    pub from: f64,
    pub to: f64,
    pub zone: usize,
}

impl Scenario {
    /// Parses the text of a scenario file. Each of `set` is a `KEY=VALUE` that overrides a value of the file.
    ///
    /// # Errors
    /// All problems of the file and the overrides.
    pub fn parse(name: &str, text: &str, set: &[String]) -> Result<Self, Vec<Problem>> {
        let mut tree = ConfigTree::parse(name, text).map_err(|problem| vec![problem])?;
        let problems = Problems::default();
        for assignment in set {
            let (path, value) = assignment.split_once('=').unwrap_or((assignment, ""));
            let place = format!("--set {assignment}");
            problems.extend(tree.set_value(path.trim(), value.trim(), &place).err());
        }
        let scenario = Self::read(name, &Section::root(&tree, &problems));
        let problems = problems.into_vec();
        match problems.is_empty() {
            true => Ok(scenario),
            false => Err(problems),
        }
    }

    fn read(name: &str, root: &Section<'_>) -> Self {
        let fleet = root.section("fleet");
        let server = root.section("server");
        let demand = root.section("demand");
        let lists = root.section("lists");
        let network = root.section("network");
        let count = |section: &Section<'_>, name: &str, max: u64, default: u64| {
            section.int(name, 1..=max, default) as usize
        };
        let seconds = read_seconds(root, "seconds", 1.0, 86_400.0, 60.0);
        let scenario = Self {
            name: name.to_string(),
            seconds,
            warm_up: read_seconds(root, "warm_up", 0.0, 3600.0, 10.0),
            proxies: count(&fleet, "proxies", 10_000, 5),
            zones: count(&fleet, "zones", 64, 1),
            servers: count(&fleet, "servers", 100_000, 10),
            server: Server {
                capacity: server.number("capacity", 0.01..=1e4, 1.0),
                capacity_spread: server.number("spread", 0.0..=0.9, 0.2),
                setup_work: server.number("setup_work", 0.0..=10.0, 0.01),
                max_slowdown: server.number("slack", 1.0..=1e4, 30.0),
                max_connections: count(&server, "connections", 1_000_000, 500),
                max_pending_setups: count(&server, "queue", 1_000_000, 100),
                report_interval: read_seconds(&server, "report_every", 0.01, 60.0, 0.25),
                report_delay: read_seconds(&server, "report_delay", 0.0, 60.0, 0.25),
                report_noise: server.number("report_noise", 0.0..=1.0, 0.05),
                slow_start_min_share: server.number("cold_from", 0.01..=1.0, 0.3),
                slow_start_window: read_seconds(&server, "cold_for", 0.0, 3600.0, 10.0),
                group_cost: server.number("group_cost", 0.0..=1e3, 0.0),
                store_setups_per_s: server.number("store_rate", 0.0..=1e9, 0.0),
            },
            demand: Demand {
                offered_load: demand.number("fill", 0.01..=10.0, 0.65),
                tenants: demand.int("tenants", 0..=10_000, 0) as usize,
                groups: demand.int("groups", 0..=1_000_000, 0) as usize,
                retry_delay: read_seconds(&demand, "retry", 0.01, 600.0, 1.0),
                max_retries: demand.int("retries", 0..=1000, 8) as usize,
                load_change_interval: read_seconds(&demand, "change", 0.1, 86_400.0, 10.0),
                skew: demand.number("skew", 0.0..=20.0, 0.0),
            },
            list_timing: ListTiming {
                propagation_delay: read_seconds(&lists, "delay", 0.0, 60.0, 0.3),
                drain_grace: read_seconds(&lists, "grace", 0.0, 600.0, 5.0),
                restart_time: read_seconds(&lists, "restart", 0.0, 600.0, 2.0),
            },
            network: Network {
                same_zone_rtt: read_seconds(&network, "near", 0.0, 10.0, 0.0005),
                cross_zone_rtt: read_seconds(&network, "far", 0.0, 10.0, 0.004),
                connect_timeout: read_seconds(&network, "connect", 0.001, 60.0, 0.25),
            },
            classes: root.sections("class").iter().map(read_class).collect(),
            troubles: root.sections("trouble").iter().map(read_trouble).collect(),
            budgets: root.sections("budget").iter().map(read_budget).collect(),
            work: read_work(root),
            exchange_interval: read_seconds(&fleet, "exchange", 0.01, 60.0, 0.1),
            recorded_clients: None,
        };
        for section in [&fleet, &server, &demand, &lists, &network] {
            section.report_unknown_keys();
        }
        if scenario.classes.is_empty() {
            root.report_problem("class", "expected at least one `[[class]]`");
        }
        if scenario.warm_up >= scenario.seconds {
            root.report_problem("warm_up", "no shorter than `seconds`");
        }
        for trouble in &scenario.troubles {
            if trouble.zone >= scenario.zones {
                root.report_problem(
                    "trouble",
                    format!("zone {} of {}", trouble.zone, scenario.zones),
                );
            }
        }
        for (index, budget) in scenario.budgets.iter().enumerate() {
            if scenario.budgets[..index]
                .iter()
                .any(|earlier| earlier.quota_kind == budget.quota_kind)
            {
                root.report_problem("budget", "two of the same");
            }
            if budget.floor.saturating_mul(scenario.proxies as u64) > budget.total {
                root.report_problem("budget", "floors of all proxies are more than the whole");
            }
        }
        let bytes = scenario.estimated_memory_bytes();
        if bytes > MAX_MEMORY_BYTES {
            let (gigabytes, max_gigabytes) = (bytes as f64 / 1e9, MAX_MEMORY_BYTES as f64 / 1e9);
            root.report_problem(
                "fleet",
                format!("takes about {gigabytes:.1} GB of memory, {max_gigabytes:.1} GB at most"),
            );
        }
        root.report_unknown_keys();
        scenario
    }

    /// Renders the scenario as a file, so that a scenario found by a search can be committed.
    pub fn to_toml(&self) -> String {
        let span =
            |seconds: f64| violetwind_conf::format_duration(Duration::from_secs_f64(seconds));
        let mut out = String::new();
        let mut add_line = |text: String| {
            out.push_str(&text);
            out.push('\n');
        };
        add_line(format!("seconds = \"{}\"", span(self.seconds)));
        add_line(format!("warm_up = \"{}\"", span(self.warm_up)));
        add_line("\n[fleet]".into());
        add_line(format!("proxies = {}", self.proxies));
        add_line(format!("servers = {}", self.servers));
        add_line(format!("zones = {}", self.zones));
        add_line(format!("exchange = \"{}\"", span(self.exchange_interval)));
        let server = &self.server;
        add_line("\n[server]".into());
        add_line(format!("capacity = {}", server.capacity));
        add_line(format!("spread = {}", server.capacity_spread));
        add_line(format!("setup_work = {}", server.setup_work));
        add_line(format!("slack = {}", server.max_slowdown));
        add_line(format!("connections = {}", server.max_connections));
        add_line(format!("queue = {}", server.max_pending_setups));
        add_line(format!(
            "report_every = \"{}\"",
            span(server.report_interval)
        ));
        add_line(format!("report_delay = \"{}\"", span(server.report_delay)));
        add_line(format!("report_noise = {}", server.report_noise));
        add_line(format!("cold_from = {}", server.slow_start_min_share));
        add_line(format!("cold_for = \"{}\"", span(server.slow_start_window)));
        add_line(format!("group_cost = {}", server.group_cost));
        add_line(format!("store_rate = {}", server.store_setups_per_s));
        let demand = &self.demand;
        add_line("\n[demand]".into());
        add_line(format!("fill = {}", demand.offered_load));
        add_line(format!("tenants = {}", demand.tenants));
        add_line(format!("groups = {}", demand.groups));
        add_line(format!("retry = \"{}\"", span(demand.retry_delay)));
        add_line(format!("retries = {}", demand.max_retries));
        add_line(format!(
            "change = \"{}\"",
            span(demand.load_change_interval)
        ));
        add_line(format!("skew = {}", demand.skew));
        add_line("\n[lists]".into());
        add_line(format!(
            "delay = \"{}\"",
            span(self.list_timing.propagation_delay)
        ));
        add_line(format!(
            "grace = \"{}\"",
            span(self.list_timing.drain_grace)
        ));
        add_line(format!(
            "restart = \"{}\"",
            span(self.list_timing.restart_time)
        ));
        add_line("\n[network]".into());
        add_line(format!("near = \"{}\"", span(self.network.same_zone_rtt)));
        add_line(format!("far = \"{}\"", span(self.network.cross_zone_rtt)));
        add_line(format!(
            "connect = \"{}\"",
            span(self.network.connect_timeout)
        ));
        for class in &self.classes {
            let effect = match class.effect {
                Idempotency::Safe => "safe",
                Idempotency::Keyed => "keyed",
                Idempotency::Unsafe => "unsafe",
            };
            add_line(format!(
                "\n[[class]]\nname = {:?}\nshare = {}",
                class.name, class.arrival_share
            ));
            add_line(format!(
                "load = {}\nload_spread = {}",
                class.load, class.load_spread
            ));
            add_line(format!(
                "hold = \"{}\"\naim = \"{}\"",
                span(class.mean_hold_time),
                span(class.setup_target)
            ));
            add_line(format!(
                "deadline = \"{}\"\nworth = {}",
                span(class.deadline),
                class.worth
            ));
            add_line(format!("effect = \"{effect}\""));
        }
        for budget in &self.budgets {
            let quota = QUOTA_KINDS
                .iter()
                .find(|(_, kind)| *kind == budget.quota_kind);
            add_line(format!(
                "\n[[budget]]\nof = {:?}",
                quota.map_or("?", |(name, _)| name)
            ));
            add_line(format!(
                "whole = {}\nfloor = {}",
                budget.total, budget.floor
            ));
            let window = span(budget.window);
            add_line(format!(
                "window = \"{window}\"\ndivided = {}",
                budget.divided_by_need
            ));
        }
        if let Some(work) = &self.work {
            add_line(format!(
                "\n[work]\nat = \"{}\"\nmost = {}\nzone_most = {}\nfloor = {}\nspare = {}",
                span(work.start_at),
                work.max_out,
                work.max_out_per_zone,
                work.min_capacity_share,
                work.keep_spare_machine
            ));
            add_line(format!(
                "batch = {}\njob = \"{}\"\nevery = \"{}\"",
                work.machines_per_order,
                span(work.job_duration),
                span(work.check_interval)
            ));
        }
        for trouble in &self.troubles {
            let (at, lasts) = (span(trouble.at), span(trouble.lasts));
            add_line(format!("\n[[trouble]]\nkind = {:?}", trouble.kind.name()));
            add_line(format!(
                "at = \"{at}\"\nlasts = \"{lasts}\"\nshare = {}",
                trouble.share
            ));
            add_line(format!(
                "from = {}\nto = {}\nzone = {}",
                trouble.from, trouble.to, trouble.zone
            ));
        }
        out
    }

    /// Arrivals per second that result in the offered load.
    pub fn arrival_rate(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.arrival_share).sum();
        let work = |class: &Class| {
            class.arrival_share / shares.max(1e-9) * class.load * class.mean_hold_time
        };
        let mean_work: f64 = self.classes.iter().map(work).sum();
        self.demand.offered_load * self.server.capacity * self.servers as f64 / mean_work.max(1e-9)
    }

    /// Estimates the memory of a run in bytes: each proxy's state of all servers, and all clients, assuming that all
    /// bursts overlap.
    pub fn estimated_memory_bytes(&self) -> u64 {
        let proxy_state = self.proxies as f64 * self.servers as f64 * 700.0;
        let longest_hold: f64 = self
            .classes
            .iter()
            .map(|class| class.mean_hold_time)
            .fold(0.0, f64::max);
        let bursts = self
            .troubles
            .iter()
            .filter(|trouble| trouble.kind == TroubleKind::Burst);
        let bursts: f64 = bursts.map(|trouble| trouble.from.max(1.0)).product();
        let clients = self.arrival_rate() * (longest_hold + self.seconds * bursts) * 600.0;
        (proxy_state + clients).min(1e18) as u64
    }
}

/// Reads a duration in seconds from a section, within `from..=to`.
fn read_seconds(section: &Section<'_>, name: &str, from: f64, to: f64, default: f64) -> f64 {
    let from_seconds = Duration::from_secs_f64;
    let duration = section.duration(
        name,
        from_seconds(from)..=from_seconds(to),
        from_seconds(default),
    );
    duration.as_secs_f64()
}

fn read_class(section: &Section<'_>) -> Class {
    let effects = [
        ("safe", Idempotency::Safe),
        ("keyed", Idempotency::Keyed),
        ("unsafe", Idempotency::Unsafe),
    ];
    let class = Class {
        name: section.required_text("name"),
        arrival_share: section.number("share", 0.0..=1e6, 1.0),
        load: section.number("load", 1e-6..=1e3, 0.01),
        load_spread: section.number("load_spread", 0.0..=3.0, 0.5),
        mean_hold_time: read_seconds(section, "hold", 0.1, 86_400.0, 30.0),
        setup_target: read_seconds(section, "aim", 0.01, 60.0, 0.4),
        deadline: read_seconds(section, "deadline", 0.05, 60.0, 2.0),
        worth: section.number("worth", 0.0..=1e6, 1.0),
        effect: section.choice("effect", &effects, Idempotency::Safe),
    };
    section.report_unknown_keys();
    class
}

fn read_budget(section: &Section<'_>) -> Budget {
    if !section.has_key("of") {
        section.report_problem("of", "expected what the budget is of, found nothing");
    }
    let budget = Budget {
        quota_kind: section.choice("of", &QUOTA_KINDS, QuotaKind::Further),
        total: section.int("whole", 1..=1_000_000, 1),
        floor: section.int("floor", 0..=1_000_000, 0),
        window: read_seconds(section, "window", 0.1, 3600.0, 1.0),
        divided_by_need: section.flag("divided", true),
    };
    section.report_unknown_keys();
    budget
}

fn read_work(root: &Section<'_>) -> Option<WorkSettings> {
    let section = root.section("work");
    if !section.is_present() {
        return None;
    }
    let work = WorkSettings {
        start_at: read_seconds(&section, "at", 0.0, 86_400.0, 15.0),
        max_out: section.int("most", 1..=10_000, 1) as u32,
        max_out_per_zone: section.int("zone_most", 1..=10_000, 10_000) as u32,
        min_capacity_share: section.number("floor", 0.0..=1.0, 0.8),
        keep_spare_machine: section.flag("spare", false),
        machines_per_order: section.int("batch", 0..=10_000, 0) as usize,
        job_duration: read_seconds(&section, "job", 0.0, 86_400.0, 2.0),
        check_interval: read_seconds(&section, "every", 0.01, 60.0, 0.2),
    };
    section.report_unknown_keys();
    Some(work)
}

fn read_trouble(section: &Section<'_>) -> Trouble {
    if !section.has_key("kind") {
        section.report_problem("kind", "expected the kind of a trouble, found nothing");
    }
    let kind = section.choice("kind", &TROUBLE_KINDS, TroubleKind::Crash);
    let (from, to) = kind.default_factors();
    let from = section.number("from", 0.0..=1e3, from);
    let trouble = Trouble {
        kind,
        at: read_seconds(section, "at", 0.0, 86_400.0, 20.0),
        lasts: read_seconds(section, "lasts", 0.0, 86_400.0, 10.0),
        share: section.number("share", 0.0..=1.0, 0.2),
        from,
        to: section.number("to", 0.0..=1e3, to.max(from)),
        zone: section.int("zone", 0..=63, 0) as usize,
    };
    if trouble.to < trouble.from {
        section.report_problem("to", "below `from`");
    }
    section.report_unknown_keys();
    trouble
}

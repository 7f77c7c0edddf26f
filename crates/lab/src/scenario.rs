//! What is played, from a TOML file that is checked like the operator's: every error at once.

use std::sync::Arc;
use std::time::Duration;

use violetwind_balancer::api::{Idempotency, QuotaKind};
use violetwind_conf::{Problem, Problems, Section, Tree};

use crate::replay::Recorded;

/// The most memory that a run may take, as far as it can be told beforehand.
pub const MOST_BYTES: u64 = 4 << 30;

#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    pub seconds: f64,
    /// Not counted.
    pub warm_up: f64,
    pub proxies: usize,
    pub zones: usize,
    pub servers: usize,
    pub server: Server,
    pub demand: Demand,
    pub classes: Vec<Class>,
    pub lists: Lists,
    pub network: Network,
    pub troubles: Vec<Trouble>,
    pub budgets: Vec<Budget>,
    pub work: Option<Work>,
    /// Proxies are asked what they use of budgets, and told their parts, so often.
    pub exchange: f64,
    /// Recorded clients instead of made-up ones.
    pub replayed: Option<Arc<Vec<Recorded>>>,
}

/// Work on all servers, each a machine of its own, by orders that the real planner carries out.
#[derive(Clone, Debug)]
pub struct Work {
    pub at: f64,
    pub most: u32,
    pub zone_most: u32,
    pub floor: f64,
    pub spare: bool,
    /// Machines of one order, the next when all are done: 0 for all in one. With as many as may be out it is work in
    /// fixed batches.
    pub batch: usize,
    /// What staff take for a machine.
    pub job: f64,
    /// Between two looks of whoever conducts.
    pub every: f64,
}

/// A whole that all proxies keep together, of what is used within any window.
#[derive(Clone, Debug)]
pub struct Budget {
    pub of: QuotaKind,
    pub whole: u64,
    pub floor: u64,
    pub window: f64,
    /// By need; or else each proxy has a fixed part, at cold servers as the module divides alone.
    pub divided: bool,
}

const MATTERS: [(&str, QuotaKind); 4] = [
    ("retries", QuotaKind::Further),
    ("moves", QuotaKind::Moves),
    ("probes", QuotaKind::Probes),
    ("cold", QuotaKind::Cold),
];

#[derive(Clone, Debug)]
pub struct Server {
    /// Seconds of work a second, and the share by which servers differ.
    pub capacity: f64,
    pub spread: f64,
    /// Work of one set-up, in seconds.
    pub setup_work: f64,
    /// A message that takes so many times its work is late.
    pub slack: f64,
    pub connections: usize,
    pub queue: usize,
    /// Loads are told anew so often, so late, and wrong by such a share.
    pub report_every: f64,
    pub report_delay: f64,
    pub report_noise: f64,
    pub cold_from: f64,
    pub cold_for: f64,
    /// Work a second that each group costs on each server that holds any of it.
    pub group_cost: f64,
    /// Set-ups a second of the store that all servers share; 0 for none.
    pub store_rate: f64,
}

#[derive(Clone, Debug)]
pub struct Demand {
    /// The load asked over the capacity of all servers.
    pub fill: f64,
    pub tenants: usize,
    pub groups: usize,
    /// A client that is refused or lost comes again after about this, so many times at the most.
    pub retry: f64,
    pub retries: usize,
    /// The load of a connection changes after about this.
    pub change: f64,
    /// How unevenly clients come to the proxies of their zone: 0 evenly; with 1 the first half of them gets 0.71,
    /// with 3 the first tenth 0.56.
    pub skew: f64,
}

#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    /// Part of all arrivals.
    pub share: f64,
    /// Work a second, and the spread of its logarithm.
    pub load: f64,
    pub load_spread: f64,
    pub hold: f64,
    pub aim: f64,
    pub deadline: f64,
    pub worth: f64,
    pub effect: Idempotency,
}

#[derive(Clone, Debug)]
pub struct Lists {
    pub delay: f64,
    /// How long a server drains before its process ends, and its absence.
    pub grace: f64,
    pub restart: f64,
}

#[derive(Clone, Debug)]
pub struct Network {
    pub near: f64,
    pub far: f64,
    pub connect: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Crash,
    Slow,
    Neighbour,
    FailingFast,
    Heavy,
    Deploy,
    Reconnect,
    Burst,
    ZoneLoss,
    ZoneCut,
    CatalogueSilent,
    ProxiesRestart,
}

const KINDS: [(&str, Kind); 12] = [
    ("crash", Kind::Crash),
    ("slow", Kind::Slow),
    ("neighbour", Kind::Neighbour),
    ("failing-fast", Kind::FailingFast),
    ("heavy", Kind::Heavy),
    ("deploy", Kind::Deploy),
    ("reconnect", Kind::Reconnect),
    ("burst", Kind::Burst),
    ("zone-loss", Kind::ZoneLoss),
    ("zone-cut", Kind::ZoneCut),
    ("catalogue-silent", Kind::CatalogueSilent),
    ("proxies-restart", Kind::ProxiesRestart),
];

impl Kind {
    pub const ALL: [Self; 12] = {
        let mut all = [Self::Crash; 12];
        let mut at = 0;
        while at < all.len() {
            all[at] = KINDS[at].1;
            at += 1;
        }
        all
    };

    /// By how much it is usually: times the work, the rate, or what is left of the capacity.
    pub fn usual(self) -> (f64, f64) {
        match self {
            Self::Heavy => (5.0, 24.0),
            Self::Slow => (0.4, 0.4),
            Self::Neighbour => (0.5, 1.0),
            Self::Burst => (3.0, 3.0),
            _ => (1.0, 1.0),
        }
    }

    pub fn name(self) -> &'static str {
        let named = KINDS.iter().find(|(_, kind)| *kind == self);
        named.map_or("?", |(name, _)| name)
    }
}

#[derive(Clone, Debug)]
pub struct Trouble {
    pub kind: Kind,
    pub at: f64,
    pub lasts: f64,
    /// The part of servers, proxies or requests that it touches.
    pub share: f64,
    /// By how much: times the work, the rate, or the capacity.
    pub from: f64,
    pub to: f64,
    pub zone: usize,
}

impl Scenario {
    /// Reads a file's text; `set` are values over it, as `KEY=VALUE`.
    pub fn parse(name: &str, text: &str, set: &[String]) -> Result<Self, Vec<Problem>> {
        let mut tree = Tree::parse(name, text).map_err(|problem| vec![problem])?;
        let problems = Problems::default();
        for set in set {
            let (path, value) = set.split_once('=').unwrap_or((set, ""));
            let place = format!("--set {set}");
            problems.extend(tree.set(path.trim(), value.trim(), &place).err());
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
        let count = |section: &Section<'_>, name: &str, most: u64, default: u64| {
            section.int(name, 1..=most, default) as usize
        };
        let seconds = span(root, "seconds", 1.0, 86_400.0, 60.0);
        let scenario = Self {
            name: name.to_string(),
            seconds,
            warm_up: span(root, "warm_up", 0.0, 3600.0, 10.0),
            proxies: count(&fleet, "proxies", 10_000, 5),
            zones: count(&fleet, "zones", 64, 1),
            servers: count(&fleet, "servers", 100_000, 10),
            server: Server {
                capacity: server.number("capacity", 0.01..=1e4, 1.0),
                spread: server.number("spread", 0.0..=0.9, 0.2),
                setup_work: server.number("setup_work", 0.0..=10.0, 0.01),
                slack: server.number("slack", 1.0..=1e4, 30.0),
                connections: count(&server, "connections", 1_000_000, 500),
                queue: count(&server, "queue", 1_000_000, 100),
                report_every: span(&server, "report_every", 0.01, 60.0, 0.25),
                report_delay: span(&server, "report_delay", 0.0, 60.0, 0.25),
                report_noise: server.number("report_noise", 0.0..=1.0, 0.05),
                cold_from: server.number("cold_from", 0.01..=1.0, 0.3),
                cold_for: span(&server, "cold_for", 0.0, 3600.0, 10.0),
                group_cost: server.number("group_cost", 0.0..=1e3, 0.0),
                store_rate: server.number("store_rate", 0.0..=1e9, 0.0),
            },
            demand: Demand {
                fill: demand.number("fill", 0.01..=10.0, 0.65),
                tenants: demand.int("tenants", 0..=10_000, 0) as usize,
                groups: demand.int("groups", 0..=1_000_000, 0) as usize,
                retry: span(&demand, "retry", 0.01, 600.0, 1.0),
                retries: demand.int("retries", 0..=1000, 8) as usize,
                change: span(&demand, "change", 0.1, 86_400.0, 10.0),
                skew: demand.number("skew", 0.0..=20.0, 0.0),
            },
            lists: Lists {
                delay: span(&lists, "delay", 0.0, 60.0, 0.3),
                grace: span(&lists, "grace", 0.0, 600.0, 5.0),
                restart: span(&lists, "restart", 0.0, 600.0, 2.0),
            },
            network: Network {
                near: span(&network, "near", 0.0, 10.0, 0.0005),
                far: span(&network, "far", 0.0, 10.0, 0.004),
                connect: span(&network, "connect", 0.001, 60.0, 0.25),
            },
            classes: root.sections("class").iter().map(class).collect(),
            troubles: root.sections("trouble").iter().map(trouble).collect(),
            budgets: root.sections("budget").iter().map(budget).collect(),
            work: work(root),
            exchange: span(&fleet, "exchange", 0.01, 60.0, 0.1),
            replayed: None,
        };
        for section in [&fleet, &server, &demand, &lists, &network] {
            section.finish();
        }
        if scenario.classes.is_empty() {
            root.wrong("class", "expected at least one `[[class]]`");
        }
        if scenario.warm_up >= scenario.seconds {
            root.wrong("warm_up", "no shorter than `seconds`");
        }
        for trouble in &scenario.troubles {
            if trouble.zone >= scenario.zones {
                root.wrong(
                    "trouble",
                    format!("zone {} of {}", trouble.zone, scenario.zones),
                );
            }
        }
        for (at, budget) in scenario.budgets.iter().enumerate() {
            if scenario.budgets[..at]
                .iter()
                .any(|known| known.of == budget.of)
            {
                root.wrong("budget", "two of the same");
            }
            if budget.floor.saturating_mul(scenario.proxies as u64) > budget.whole {
                root.wrong("budget", "floors of all proxies are more than the whole");
            }
        }
        let bytes = scenario.bytes();
        if bytes > MOST_BYTES {
            let (gb, most) = (bytes as f64 / 1e9, MOST_BYTES as f64 / 1e9);
            root.wrong(
                "fleet",
                format!("takes about {gb:.1} GB of memory, {most:.1} GB at most"),
            );
        }
        root.finish();
        scenario
    }

    /// The same as a file, so that what was found can be committed.
    pub fn to_toml(&self) -> String {
        let span = |secs: f64| violetwind_conf::span_text(Duration::from_secs_f64(secs));
        let mut out = String::new();
        let mut line = |text: String| {
            out.push_str(&text);
            out.push('\n');
        };
        line(format!("seconds = \"{}\"", span(self.seconds)));
        line(format!("warm_up = \"{}\"", span(self.warm_up)));
        line("\n[fleet]".into());
        line(format!("proxies = {}", self.proxies));
        line(format!("servers = {}", self.servers));
        line(format!("zones = {}", self.zones));
        line(format!("exchange = \"{}\"", span(self.exchange)));
        let s = &self.server;
        line("\n[server]".into());
        line(format!("capacity = {}", s.capacity));
        line(format!("spread = {}", s.spread));
        line(format!("setup_work = {}", s.setup_work));
        line(format!("slack = {}", s.slack));
        line(format!("connections = {}", s.connections));
        line(format!("queue = {}", s.queue));
        line(format!("report_every = \"{}\"", span(s.report_every)));
        line(format!("report_delay = \"{}\"", span(s.report_delay)));
        line(format!("report_noise = {}", s.report_noise));
        line(format!("cold_from = {}", s.cold_from));
        line(format!("cold_for = \"{}\"", span(s.cold_for)));
        line(format!("group_cost = {}", s.group_cost));
        line(format!("store_rate = {}", s.store_rate));
        let d = &self.demand;
        line("\n[demand]".into());
        line(format!("fill = {}", d.fill));
        line(format!("tenants = {}", d.tenants));
        line(format!("groups = {}", d.groups));
        line(format!("retry = \"{}\"", span(d.retry)));
        line(format!("retries = {}", d.retries));
        line(format!("change = \"{}\"", span(d.change)));
        line(format!("skew = {}", d.skew));
        line("\n[lists]".into());
        line(format!("delay = \"{}\"", span(self.lists.delay)));
        line(format!("grace = \"{}\"", span(self.lists.grace)));
        line(format!("restart = \"{}\"", span(self.lists.restart)));
        line("\n[network]".into());
        line(format!("near = \"{}\"", span(self.network.near)));
        line(format!("far = \"{}\"", span(self.network.far)));
        line(format!("connect = \"{}\"", span(self.network.connect)));
        for class in &self.classes {
            let effect = match class.effect {
                Idempotency::Safe => "safe",
                Idempotency::Keyed => "keyed",
                Idempotency::Unsafe => "unsafe",
            };
            line(format!(
                "\n[[class]]\nname = {:?}\nshare = {}",
                class.name, class.share
            ));
            line(format!(
                "load = {}\nload_spread = {}",
                class.load, class.load_spread
            ));
            line(format!(
                "hold = \"{}\"\naim = \"{}\"",
                span(class.hold),
                span(class.aim)
            ));
            line(format!(
                "deadline = \"{}\"\nworth = {}",
                span(class.deadline),
                class.worth
            ));
            line(format!("effect = \"{effect}\""));
        }
        for budget in &self.budgets {
            let of = MATTERS.iter().find(|(_, of)| *of == budget.of);
            line(format!(
                "\n[[budget]]\nof = {:?}",
                of.map_or("?", |(name, _)| name)
            ));
            line(format!(
                "whole = {}\nfloor = {}",
                budget.whole, budget.floor
            ));
            let window = span(budget.window);
            line(format!(
                "window = \"{window}\"\ndivided = {}",
                budget.divided
            ));
        }
        if let Some(work) = &self.work {
            line(format!(
                "\n[work]\nat = \"{}\"\nmost = {}\nzone_most = {}\nfloor = {}\nspare = {}",
                span(work.at),
                work.most,
                work.zone_most,
                work.floor,
                work.spare
            ));
            line(format!(
                "batch = {}\njob = \"{}\"\nevery = \"{}\"",
                work.batch,
                span(work.job),
                span(work.every)
            ));
        }
        for trouble in &self.troubles {
            let (at, lasts) = (span(trouble.at), span(trouble.lasts));
            line(format!("\n[[trouble]]\nkind = {:?}", trouble.kind.name()));
            line(format!(
                "at = \"{at}\"\nlasts = \"{lasts}\"\nshare = {}",
                trouble.share
            ));
            line(format!(
                "from = {}\nto = {}\nzone = {}",
                trouble.from, trouble.to, trouble.zone
            ));
        }
        out
    }

    /// Arrivals a second that bring the load that is asked for.
    pub fn rate(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let work = |class: &Class| class.share / shares.max(1e-9) * class.load * class.hold;
        let each: f64 = self.classes.iter().map(work).sum();
        self.demand.fill * self.server.capacity * self.servers as f64 / each.max(1e-9)
    }

    /// About the memory that a run takes: each proxy's books of all servers, and all clients,
    /// should all bursts come at once.
    pub fn bytes(&self) -> u64 {
        let books = self.proxies as f64 * self.servers as f64 * 700.0;
        let hold: f64 = self
            .classes
            .iter()
            .map(|class| class.hold)
            .fold(0.0, f64::max);
        let bursts = self.troubles.iter().filter(|t| t.kind == Kind::Burst);
        let bursts: f64 = bursts.map(|t| t.from.max(1.0)).product();
        let clients = self.rate() * (hold + self.seconds * bursts) * 600.0;
        (books + clients).min(1e18) as u64
    }
}

fn span(section: &Section<'_>, name: &str, from: f64, to: f64, default: f64) -> f64 {
    let secs = Duration::from_secs_f64;
    let span = section.span(name, secs(from)..=secs(to), secs(default));
    span.as_secs_f64()
}

fn class(section: &Section<'_>) -> Class {
    let effects = [
        ("safe", Idempotency::Safe),
        ("keyed", Idempotency::Keyed),
        ("unsafe", Idempotency::Unsafe),
    ];
    let class = Class {
        name: section.need_text("name"),
        share: section.number("share", 0.0..=1e6, 1.0),
        load: section.number("load", 1e-6..=1e3, 0.01),
        load_spread: section.number("load_spread", 0.0..=3.0, 0.5),
        hold: span(section, "hold", 0.1, 86_400.0, 30.0),
        aim: span(section, "aim", 0.01, 60.0, 0.4),
        deadline: span(section, "deadline", 0.05, 60.0, 2.0),
        worth: section.number("worth", 0.0..=1e6, 1.0),
        effect: section.choice("effect", &effects, Idempotency::Safe),
    };
    section.finish();
    class
}

fn budget(section: &Section<'_>) -> Budget {
    if !section.has("of") {
        section.wrong("of", "expected what the budget is of, found nothing");
    }
    let budget = Budget {
        of: section.choice("of", &MATTERS, QuotaKind::Further),
        whole: section.int("whole", 1..=1_000_000, 1),
        floor: section.int("floor", 0..=1_000_000, 0),
        window: span(section, "window", 0.1, 3600.0, 1.0),
        divided: section.flag("divided", true),
    };
    section.finish();
    budget
}

fn work(root: &Section<'_>) -> Option<Work> {
    let section = root.section("work");
    if !section.is_there() {
        return None;
    }
    let work = Work {
        at: span(&section, "at", 0.0, 86_400.0, 15.0),
        most: section.int("most", 1..=10_000, 1) as u32,
        zone_most: section.int("zone_most", 1..=10_000, 10_000) as u32,
        floor: section.number("floor", 0.0..=1.0, 0.8),
        spare: section.flag("spare", false),
        batch: section.int("batch", 0..=10_000, 0) as usize,
        job: span(&section, "job", 0.0, 86_400.0, 2.0),
        every: span(&section, "every", 0.01, 60.0, 0.2),
    };
    section.finish();
    Some(work)
}

fn trouble(section: &Section<'_>) -> Trouble {
    if !section.has("kind") {
        section.wrong("kind", "expected the kind of a trouble, found nothing");
    }
    let kind = section.choice("kind", &KINDS, Kind::Crash);
    let (from, to) = kind.usual();
    let from = section.number("from", 0.0..=1e3, from);
    let trouble = Trouble {
        kind,
        at: span(section, "at", 0.0, 86_400.0, 20.0),
        lasts: span(section, "lasts", 0.0, 86_400.0, 10.0),
        share: section.number("share", 0.0..=1.0, 0.2),
        from,
        to: section.number("to", 0.0..=1e3, to.max(from)),
        zone: section.int("zone", 0..=63, 0) as usize,
    };
    if trouble.to < trouble.from {
        section.wrong("to", "below `from`");
    }
    section.finish();
    trouble
}

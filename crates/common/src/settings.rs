//! The settings of an instance, by the names that the operators give them.

use violetwind_balancer::api::{Budget, Class, Effect, Scope, Settings, Tenant};

use crate::facts::Facts;
use crate::report::field;

/// A name behind a number; the number stays when the name is used no more.
#[derive(Clone, Debug)]
pub(crate) struct Name {
    pub name: String,
    pub current: bool,
}

impl Name {
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_string(),
            current: true,
        }
    }
}

fn current(names: &[Name], name: Option<&str>) -> Option<usize> {
    names
        .iter()
        .position(|known| known.current && Some(known.name.as_str()) == name)
}

/// The names an instance's settings use; inside, classes, tenants, zones and kinds are numbers.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
    pub(crate) classes: Vec<Name>,
    pub(crate) tenants: Vec<Name>,
    /// Whether the list's rating is a server's size.
    pub(crate) rated: bool,
}

pub(crate) fn index(names: &[String], name: Option<&str>) -> Option<usize> {
    names.iter().position(|known| Some(known.as_str()) == name)
}

impl Names {
    pub fn class(&self, name: &str) -> Option<usize> {
        current(&self.classes, Some(name))
    }

    pub fn tenant(&self, name: Option<&str>) -> Option<usize> {
        current(&self.tenants, name)
    }
}

fn message_aim(facts: &impl Facts) -> Result<Option<f64>, String> {
    let name = "family-info.message-aim-s";
    let mut shortest: Option<f64> = None;
    for text in facts.list(name) {
        let aim = text.parse::<f64>().ok().filter(|aim| aim.is_finite());
        let aim = aim.ok_or_else(|| format!("{name}={text}: expected a number"))?;
        if aim > 0.0 {
            shortest = Some(shortest.map_or(aim, |least| least.min(aim)));
        }
    }
    Ok(shortest)
}

/// The budget of attempts, where all its keys are there.
fn budget(facts: &impl Facts) -> Result<Option<Budget>, String> {
    let figure = |name: &str| match facts.number(name)? {
        Some(value) if !value.is_finite() || value < 0.0 => {
            Err(format!("{name}={value}: expected a number of 0 or more"))
        }
        value => Ok(value),
    };
    let free = figure("rules.budget-free")?;
    let ratio = figure("rules.further-ratio")?;
    let span = figure("rules.resend-span-s")?;
    Ok(match (free, ratio, span) {
        (Some(free), Some(ratio), Some(span)) => Some(Budget { free, ratio, span }),
        _ => None,
    })
}

/// Reads the settings; keys it does not know are passed over.
pub fn settings(facts: &impl Facts) -> Result<(Settings, Names), String> {
    let mut names = Names {
        zones: facts.list("azs"),
        kinds: facts.list("skus"),
        rated: matches!(facts.get("weights"), Some("nominal" | "rough")),
        ..Names::default()
    };
    let mut classes = Vec::new();
    for at in 0..facts.int_or("request-classes.count", 0)? {
        let key = |part: &str| format!("request-classes.{at}.{part}");
        names.classes.push(Name::new(facts.need(&key("name"))?));
        classes.push(Class {
            effect: match facts.need(&key("idempotency"))? {
                "pure" => Effect::Safe,
                "token" => Effect::Keyed,
                "side_effect" => Effect::Unsafe,
                other => {
                    return Err(format!(
                        "idempotency={other}: expected pure, token or side_effect"
                    ));
                }
            },
            scope: match facts.get(&key("group")) {
                Some("zone") => Scope::Zone,
                Some("cell") => Scope::Cell,
                _ => Scope::All,
            },
            window: facts.number_or(&key("window-s"), 0.0)?,
            aim: facts.number_or(&key("target-s"), 0.0)?,
            worth: facts.number_or(&key("credit"), 1.0)?,
        });
    }
    let quotas = facts.list("family-info.tenant-quota-connections");
    let mut tenants = Vec::new();
    for at in 0..facts.int_or("orgs.count", 0)? {
        names
            .tenants
            .push(Name::new(facts.need(&format!("orgs.{at}.name"))?));
        tenants.push(Tenant {
            quota: quotas.get(at as usize).and_then(|quota| quota.parse().ok()),
        });
    }
    let settings = Settings {
        fleet_size: facts.int_or("fleet-size", 1)?.max(1) as usize,
        me: facts.int_or("me", 0)?,
        zone: index(&names.zones, facts.get("zone")),
        zones: names.zones.len(),
        classes,
        tenants,
        report_fields: facts
            .list("reporting.fields")
            .iter()
            .filter_map(|name| field(name))
            .collect(),
        max_attempts: facts.int_or("permissions.max-attempts", 1)? as usize,
        max_retry_after: facts.number_or("permissions.max-retry-after-s", 0.0)?,
        may_retry_after: facts.flag("permissions.retry-after")?,
        may_probe: facts.flag("permissions.probes")?,
        may_cancel: facts.flag("permissions.cancel")?,
        must_ask: facts.get("membership-mode") == Some("on_request"),
        ask_within: facts.number_or("rules.ask-within-s", 10.0)?,
        cold_from: facts.number_or("rules.cold-from", 1.0)?,
        cold_for: facts.number_or("rules.cold-s", 0.0)?,
        fall_multiple: facts.number_or("rules.fall-multiple", 1.0)?,
        fall_for: facts.number_or("rules.overload-for-s", 1.0)?,
        groups: facts.flag("family-info.groups")?,
        price_cross_zone: facts.number_or("prices.cross-zone", 0.0)?,
        price_probe: facts.number_or("prices.probe", 0.0)?,
        over_share_worth: facts.number_or("over-share-worth", 1.0)?,
        budget: budget(facts)?,
        message_aim: message_aim(facts)?,
    };
    Ok((settings, names))
}

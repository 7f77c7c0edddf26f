//! The settings of an instance, by the names that the operators give them.

use violetwind_balancer::api::{Budget, Class, DedupScope, Idempotency, Settings, Tenant};

use crate::named_values::NamedValues;
use crate::report::report_field;

/// A name behind a number; the number stays when the name is used no more.
#[derive(Clone, Debug)]
pub(crate) struct IndexedName {
    pub name: String,
    pub in_use: bool,
}

impl IndexedName {
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_string(),
            in_use: true,
        }
    }
}

fn current(names: &[IndexedName], name: Option<&str>) -> Option<usize> {
    names
        .iter()
        .position(|known| known.in_use && Some(known.name.as_str()) == name)
}

/// The names an instance's settings use; inside, classes, tenants, zones and kinds are numbers.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
    pub(crate) classes: Vec<IndexedName>,
    pub(crate) tenants: Vec<IndexedName>,
    /// Whether the list's rating is a server's size.
    pub(crate) rating_is_size: bool,
}

pub(crate) fn index_of(names: &[String], name: Option<&str>) -> Option<usize> {
    names.iter().position(|known| Some(known.as_str()) == name)
}

impl NameTable {
    pub fn class_index(&self, name: &str) -> Option<usize> {
        current(&self.classes, Some(name))
    }

    pub fn tenant_index(&self, name: Option<&str>) -> Option<usize> {
        current(&self.tenants, name)
    }
}

fn message_aim(facts: &impl NamedValues) -> Result<Option<f64>, String> {
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
fn budget(facts: &impl NamedValues) -> Result<Option<Budget>, String> {
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
pub fn read_settings(facts: &impl NamedValues) -> Result<(Settings, NameTable), String> {
    let mut names = NameTable {
        zones: facts.list("azs"),
        kinds: facts.list("skus"),
        rating_is_size: matches!(facts.get("weights"), Some("nominal" | "rough")),
        ..NameTable::default()
    };
    let mut classes = Vec::new();
    for at in 0..facts.int_or("request-classes.count", 0)? {
        let key = |part: &str| format!("request-classes.{at}.{part}");
        names
            .classes
            .push(IndexedName::new(facts.require(&key("name"))?));
        classes.push(Class {
            effect: match facts.require(&key("idempotency"))? {
                "pure" => Idempotency::Safe,
                "token" => Idempotency::Keyed,
                "side_effect" => Idempotency::Unsafe,
                other => {
                    return Err(format!(
                        "idempotency={other}: expected pure, token or side_effect"
                    ));
                }
            },
            scope: match facts.get(&key("group")) {
                Some("zone") => DedupScope::Zone,
                Some("cell") => DedupScope::Cell,
                _ => DedupScope::All,
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
            .push(IndexedName::new(facts.require(&format!("orgs.{at}.name"))?));
        tenants.push(Tenant {
            quota: quotas.get(at as usize).and_then(|quota| quota.parse().ok()),
        });
    }
    let settings = Settings {
        fleet_size: facts.int_or("fleet-size", 1)?.max(1) as usize,
        me: facts.int_or("me", 0)?,
        zone: index_of(&names.zones, facts.get("zone")),
        zones: names.zones.len(),
        classes,
        tenants,
        report_fields: facts
            .list("reporting.fields")
            .iter()
            .filter_map(|name| report_field(name))
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

//! Reads the settings of an instance from the operators' named values.

use violetwind_balancer::api::{Budget, Class, DedupScope, Idempotency, Settings, Tenant};

use crate::named_values::NamedValues;
use crate::report::report_field;

/// The name at an index. The index remains assigned when the name is no longer in use.
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

fn index_in_use(names: &[IndexedName], name: Option<&str>) -> Option<usize> {
    names
        .iter()
        .position(|entry| entry.in_use && Some(entry.name.as_str()) == name)
}

/// The names of classes, tenants, zones and kinds, which the balancer identifies by their indices here.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
    pub(crate) classes: Vec<IndexedName>,
    pub(crate) tenants: Vec<IndexedName>,
    /// Whether the rating in the server list is the server's size.
    pub(crate) rating_is_size: bool,
}

pub(crate) fn index_of(names: &[String], name: Option<&str>) -> Option<usize> {
    names.iter().position(|entry| Some(entry.as_str()) == name)
}

impl NameTable {
    /// The index of the class in use with this name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        index_in_use(&self.classes, Some(name))
    }

    /// The index of the tenant in use with this name.
    pub fn tenant_index(&self, name: Option<&str>) -> Option<usize> {
        index_in_use(&self.tenants, name)
    }
}

/// Reads the shortest positive target time for messages, in seconds.
fn read_message_delay_target(values: &impl NamedValues) -> Result<Option<f64>, String> {
    let name = "family-info.message-aim-s";
    let mut shortest: Option<f64> = None;
    for text in values.list(name) {
        let target = text.parse::<f64>().ok().filter(|target| target.is_finite());
        let target = target.ok_or_else(|| format!("{name}={text}: expected a number"))?;
        if target > 0.0 {
            shortest = Some(shortest.map_or(target, |current| current.min(target)));
        }
    }
    Ok(shortest)
}

/// Reads the retry budget; `None` if one of its keys is missing.
fn read_budget(values: &impl NamedValues) -> Result<Option<Budget>, String> {
    let read_non_negative = |name: &str| match values.number(name)? {
        Some(value) if !value.is_finite() || value < 0.0 => {
            Err(format!("{name}={value}: expected a number of 0 or more"))
        }
        value => Ok(value),
    };
    let free = read_non_negative("rules.budget-free")?;
    let ratio = read_non_negative("rules.further-ratio")?;
    let span = read_non_negative("rules.resend-span-s")?;
    Ok(match (free, ratio, span) {
        (Some(free), Some(ratio), Some(span)) => Some(Budget { free, ratio, span }),
        _ => None,
    })
}

/// Reads the settings, and the names that they use. Unknown keys are ignored.
///
/// # Errors
/// A required key is missing, or a value is invalid.
pub fn read_settings(values: &impl NamedValues) -> Result<(Settings, NameTable), String> {
    let mut names = NameTable {
        zones: values.list("azs"),
        kinds: values.list("skus"),
        rating_is_size: matches!(values.get("weights"), Some("nominal" | "rough")),
        ..NameTable::default()
    };
    let mut classes = Vec::new();
    for index in 0..values.int_or("request-classes.count", 0)? {
        let key = |field: &str| format!("request-classes.{index}.{field}");
        names
            .classes
            .push(IndexedName::new(values.require(&key("name"))?));
        classes.push(Class {
            idempotency: match values.require(&key("idempotency"))? {
                "pure" => Idempotency::Safe,
                "token" => Idempotency::Keyed,
                "side_effect" => Idempotency::Unsafe,
                other => {
                    return Err(format!(
                        "idempotency={other}: expected pure, token or side_effect"
                    ));
                }
            },
            dedup_scope: match values.get(&key("group")) {
                Some("zone") => DedupScope::Zone,
                Some("cell") => DedupScope::Cell,
                _ => DedupScope::All,
            },
            dedup_window: values.number_or(&key("window-s"), 0.0)?,
            setup_target: values.number_or(&key("target-s"), 0.0)?,
            worth: values.number_or(&key("credit"), 1.0)?,
        });
    }
    let quotas = values.list("family-info.tenant-quota-connections");
    let mut tenants = Vec::new();
    for index in 0..values.int_or("orgs.count", 0)? {
        names.tenants.push(IndexedName::new(
            values.require(&format!("orgs.{index}.name"))?,
        ));
        tenants.push(Tenant {
            quota: quotas
                .get(index as usize)
                .and_then(|quota| quota.parse().ok()),
        });
    }
    let settings = Settings {
        fleet_size: values.int_or("fleet-size", 1)?.max(1) as usize,
        balancer_index: values.int_or("me", 0)?,
        zone: index_of(&names.zones, values.get("zone")),
        zones: names.zones.len(),
        classes,
        tenants,
        report_fields: values
            .list("reporting.fields")
            .iter()
            .filter_map(|name| report_field(name))
            .collect(),
        max_attempts: values.int_or("permissions.max-attempts", 1)? as usize,
        max_retry_after: values.number_or("permissions.max-retry-after-s", 0.0)?,
        may_retry_after: values.flag("permissions.retry-after")?,
        may_probe: values.flag("permissions.probes")?,
        may_cancel: values.flag("permissions.cancel")?,
        requires_subscription: values.get("membership-mode") == Some("on_request"),
        resubscribe_within: values.number_or("rules.ask-within-s", 10.0)?,
        slow_start_min_share: values.number_or("rules.cold-from", 1.0)?,
        slow_start_window: values.number_or("rules.cold-s", 0.0)?,
        overload_multiple: values.number_or("rules.fall-multiple", 1.0)?,
        overload_duration: values.number_or("rules.overload-for-s", 1.0)?,
        group_affinity: values.flag("family-info.groups")?,
        price_cross_zone: values.number_or("prices.cross-zone", 0.0)?,
        price_probe: values.number_or("prices.probe", 0.0)?,
        over_share_worth: values.number_or("over-share-worth", 1.0)?,
        retry_budget: read_budget(values)?,
        message_delay_target: read_message_delay_target(values)?,
    };
    Ok((settings, names))
}

//! What several processes and a receiver say of duties, merged by the machine's monotonic clock, and checked.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::receiver::Work;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyEventKind {
    Gained,
    /// Since when, in truth: a process that was stopped tells it late.
    Lost,
    /// The process was killed.
    Killed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyEvent {
    pub mono_ms: u64,
    pub node: String,
    pub duty: String,
    pub fence: u64,
    pub kind: DutyEventKind,
}

/// A log line in JSON as a record, if it is about a duty.
pub fn parse_log_line(node: &str, line: &str) -> Option<DutyEvent> {
    let line: Value = serde_json::from_str(line).ok()?;
    let what = match line["message"].as_str()? {
        "duty gained" => DutyEventKind::Gained,
        "duty lost" => DutyEventKind::Lost,
        _ => return None,
    };
    let mut mono_ms = line["mono_ms"].as_u64()?;
    if what == DutyEventKind::Lost
        && let Some(by) = line["why"]
            .as_str()
            .and_then(|why| why.strip_prefix("stopped for "))
    {
        mono_ms -= by.split(' ').next()?.parse::<u64>().ok()?;
    }
    Some(DutyEvent {
        mono_ms,
        node: node.to_string(),
        duty: line["duty"].as_str()?.to_string(),
        fence: line["fence"].as_u64()?,
        kind: what,
    })
}

/// One holding: from when to when, by the holder's own words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    pub node: String,
    pub duty: String,
    pub fence: u64,
    pub from: u64,
    pub until: u64,
}

/// The holdings of all nodes in the order in which they began. Kills end what their node held.
pub fn reconstruct_holdings(records: &[DutyEvent]) -> Vec<Holding> {
    let mut records = records.to_vec();
    // Within a millisecond numbers tell the order; a holding may be no longer than that. Kills come last.
    let order = |record: &DutyEvent| match record.kind {
        DutyEventKind::Gained => (record.fence, 0),
        DutyEventKind::Lost => (record.fence, 1),
        DutyEventKind::Killed => (u64::MAX, 2),
    };
    records.sort_by_key(|record| (record.mono_ms, order(record)));
    let mut open: BTreeMap<(String, String), Holding> = BTreeMap::new();
    let mut all = Vec::new();
    for record in records {
        let key = (record.node.clone(), record.duty.clone());
        match record.kind {
            DutyEventKind::Gained => {
                let holding = Holding {
                    node: record.node,
                    duty: record.duty,
                    fence: record.fence,
                    from: record.mono_ms,
                    until: u64::MAX,
                };
                all.extend(open.insert(key, holding));
            }
            DutyEventKind::Lost => all.extend(open.remove(&key).map(|mut holding| {
                holding.until = record.mono_ms;
                holding
            })),
            DutyEventKind::Killed => {
                let of = open.extract_if(.., |(node, _), _| *node == record.node);
                all.extend(of.map(|(_, mut holding)| {
                    holding.until = record.mono_ms;
                    holding
                }));
            }
        }
    }
    all.extend(open.into_values());
    all.sort_by_key(|holding| (holding.from, holding.fence));
    all
}

/// Every invariant that is broken, by name.
pub fn find_duty_violations(records: &[DutyEvent], works: &[Work]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut last: BTreeMap<String, Holding> = BTreeMap::new();
    for holding in reconstruct_holdings(records) {
        if let Some(before) = last.get(&holding.duty) {
            if holding.from < before.until {
                broken.push(format!("One Holder: {before:?} and {holding:?}"));
            }
            if holding.fence <= before.fence {
                broken.push(format!("Fencing: {before:?}, then {holding:?}"));
            }
        }
        last.insert(holding.duty.clone(), holding);
    }
    let mut newest: BTreeMap<&str, &Work> = BTreeMap::new();
    for work in works.iter().filter(|work| work.taken) {
        match newest.get(work.duty.as_str()) {
            Some(before) if work.fence < before.fence => {
                broken.push(format!(
                    "Fencing: the receiver took {work:?} after {before:?}"
                ));
            }
            _ => {
                newest.insert(&work.duty, work);
            }
        }
    }
    broken
}

/// For how long a duty was held by nobody at most, between its first holding and `until`.
pub fn longest_unheld_ms(records: &[DutyEvent], duty: &str, from: u64, until: u64) -> u64 {
    let holdings = reconstruct_holdings(records);
    let (mut held_until, mut longest) = (from, 0);
    for holding in holdings.iter().filter(|holding| holding.duty == duty) {
        if holding.until <= from || holding.from >= until {
            continue;
        }
        longest = longest.max(holding.from.saturating_sub(held_until));
        held_until = held_until.max(holding.until);
    }
    longest.max(until.saturating_sub(held_until))
}

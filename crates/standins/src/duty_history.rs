//! Duty events of several processes and work items of a receiver, merged according to the machine's monotonic clock
//! and checked against the invariants of duties.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::receiver::Work;

/// The kind of a duty event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyEventKind {
    Gained,
    /// The event's time is that of the actual loss: a process that was stopped logs it late.
    Lost,
    /// The process was killed, which ended all its holdings.
    Killed,
}

/// A change of a duty's holder, at a time in milliseconds of CLOCK_BOOTTIME.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyEvent {
    pub mono_ms: u64,
    pub node: String,
    pub duty: String,
    pub fence: u64,
    pub kind: DutyEventKind,
}

/// Parses a JSON log line; returns none if it is not an event of a duty.
pub fn parse_log_line(node: &str, line: &str) -> Option<DutyEvent> {
    let line: Value = serde_json::from_str(line).ok()?;
    let kind = match line["message"].as_str()? {
        "duty gained" => DutyEventKind::Gained,
        "duty lost" => DutyEventKind::Lost,
        _ => return None,
    };
    let mut mono_ms = line["mono_ms"].as_u64()?;
    if kind == DutyEventKind::Lost
        && let Some(stopped_ms) = line["why"]
            .as_str()
            .and_then(|why| why.strip_prefix("stopped for "))
    {
        mono_ms -= stopped_ms.split(' ').next()?.parse::<u64>().ok()?;
    }
    Some(DutyEvent {
        mono_ms,
        node: node.to_string(),
        duty: line["duty"].as_str()?.to_string(),
        fence: line["fence"].as_u64()?,
        kind,
    })
}

/// The period in milliseconds of CLOCK_BOOTTIME in which a node held a duty according to its own log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    pub node: String,
    pub duty: String,
    pub fence: u64,
    pub from: u64,
    pub until: u64,
}

/// Returns the holdings of all nodes in the order of their starts. A kill ends all holdings of its node.
pub fn reconstruct_holdings(events: &[DutyEvent]) -> Vec<Holding> {
    let mut events = events.to_vec();
    // Within a millisecond the fencing numbers give the order: a holding may begin and end in it. Kills sort last.
    let order = |event: &DutyEvent| match event.kind {
        DutyEventKind::Gained => (event.fence, 0),
        DutyEventKind::Lost => (event.fence, 1),
        DutyEventKind::Killed => (u64::MAX, 2),
    };
    events.sort_by_key(|event| (event.mono_ms, order(event)));
    let mut open_holdings: BTreeMap<(String, String), Holding> = BTreeMap::new();
    let mut holdings = Vec::new();
    for event in events {
        let key = (event.node.clone(), event.duty.clone());
        match event.kind {
            DutyEventKind::Gained => {
                let holding = Holding {
                    node: event.node,
                    duty: event.duty,
                    fence: event.fence,
                    from: event.mono_ms,
                    until: u64::MAX,
                };
                holdings.extend(open_holdings.insert(key, holding));
            }
            DutyEventKind::Lost => {
                holdings.extend(open_holdings.remove(&key).map(|mut holding| {
                    holding.until = event.mono_ms;
                    holding
                }))
            }
            DutyEventKind::Killed => {
                let ended = open_holdings.extract_if(.., |(node, _), _| *node == event.node);
                holdings.extend(ended.map(|(_, mut holding)| {
                    holding.until = event.mono_ms;
                    holding
                }));
            }
        }
    }
    holdings.extend(open_holdings.into_values());
    holdings.sort_by_key(|holding| (holding.from, holding.fence));
    holdings
}

/// Returns a line for each violation, headed by the name of the invariant.
pub fn find_duty_violations(events: &[DutyEvent], items: &[Work]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut last_holdings: BTreeMap<String, Holding> = BTreeMap::new();
    for holding in reconstruct_holdings(events) {
        if let Some(previous) = last_holdings.get(&holding.duty) {
            if holding.from < previous.until {
                violations.push(format!("One Holder: {previous:?} and {holding:?}"));
            }
            if holding.fence <= previous.fence {
                violations.push(format!("Fencing: {previous:?}, then {holding:?}"));
            }
        }
        last_holdings.insert(holding.duty.clone(), holding);
    }
    let mut newest_items: BTreeMap<&str, &Work> = BTreeMap::new();
    for item in items.iter().filter(|item| item.taken) {
        match newest_items.get(item.duty.as_str()) {
            Some(previous) if item.fence < previous.fence => {
                violations.push(format!(
                    "Fencing: the receiver took {item:?} after {previous:?}"
                ));
            }
            _ => {
                newest_items.insert(&item.duty, item);
            }
        }
    }
    violations
}

/// The longest time in milliseconds between `from` and `until` during which no node held the duty.
pub fn longest_unheld_ms(events: &[DutyEvent], duty: &str, from: u64, until: u64) -> u64 {
    let holdings = reconstruct_holdings(events);
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

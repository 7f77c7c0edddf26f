//! Machines and the servers on them, and those that the fleet's orders for work keep out of this proxy. An operator's
//! word given here is stronger.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Bans, ChangeOutcome, Limits, Millis};

/// Which machine a server runs on, by the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MachineMap {
    /// The machine's name is the server's up to the first of these.
    pub name_delimiter: Option<String>,
    /// Servers whose machine the file names.
    pub by_server: BTreeMap<String, String>,
}

impl MachineMap {
    /// Without a rule each server is a machine of its own.
    pub fn machine_of<'a>(&'a self, uid: &'a str) -> &'a str {
        if let Some(machine) = self.by_server.get(uid) {
            return machine;
        }
        let until = self
            .name_delimiter
            .as_deref()
            .and_then(|until| uid.find(until));
        until.map_or(uid, |at| &uid[..at])
    }
}

/// The machines that orders have out, as this proxy goes by them.
#[derive(Clone, Debug, Default)]
pub struct MachinesOut {
    machine_map: MachineMap,
    /// Out, by name, also of servers that no list has named yet.
    machines_out: BTreeSet<String>,
    /// Servers on them as the log has them: another proxy's file may say otherwise.
    servers_out: BTreeSet<String>,
    /// In use by an operator's word, though their machine is out.
    overridden: BTreeSet<String>,
    /// When they went out and came back.
    transitions: Bans,
}

impl MachinesOut {
    pub fn new(machine_map: MachineMap) -> Self {
        Self {
            machine_map,
            ..Self::default()
        }
    }

    pub fn machine_of<'a>(&'a self, uid: &'a str) -> &'a str {
        self.machine_map.machine_of(uid)
    }

    /// Whether an order has the server's machine out, whatever an operator says.
    pub fn is_out_by_order(&self, uid: &str) -> bool {
        !self.machines_out.is_empty()
            && (self.machines_out.contains(self.machine_map.machine_of(uid))
                || self.servers_out.contains(uid))
    }

    pub fn is_out(&self, uid: &str) -> bool {
        self.is_out_by_order(uid) && !self.overridden.contains(uid)
    }

    pub fn is_overridden(&self, uid: &str) -> bool {
        self.overridden.contains(uid)
    }

    /// Takes the machines that are out from now on, with the servers on them.
    pub fn replace_machines(&mut self, closed: BTreeMap<String, BTreeSet<String>>) {
        self.servers_out = closed.values().flatten().cloned().collect();
        self.machines_out = closed.into_keys().collect();
        let opened = std::mem::take(&mut self.overridden);
        self.overridden = opened
            .into_iter()
            .filter(|uid| self.is_out_by_order(uid))
            .collect();
    }

    /// An operator wants a server used, or not any more. True if that changes what is out by an order.
    pub fn set_override(&mut self, uid: &str, open: bool) -> bool {
        match open {
            true => self.is_out_by_order(uid) && self.overridden.insert(uid.to_string()),
            false => self.overridden.remove(uid),
        }
    }

    /// Notes when a server went out or came back: with its machine it may have been started anew.
    pub fn record_transition(&mut self, uid: &str, now: Millis, limits: &Limits) {
        let limits = Limits {
            max_bans: limits.max_servers_out,
            ..limits.clone()
        };
        let kept = match self.is_out(uid) {
            true => self.transitions.ban(uid, now, &limits),
            false => self.transitions.unban(uid, now, &limits),
        };
        // Beyond the limit it is out all the same; when it comes back its start is as listed.
        debug_assert!(kept != ChangeOutcome::Full || self.transitions.count() >= limits.max_bans);
    }

    /// When a server last started, given what the list says.
    pub fn started_at(&self, uid: &str, listed: Option<Millis>) -> Option<Millis> {
        self.transitions.started_at(uid, listed)
    }
}

//! Machines, the servers on them, and the machines that the fleet's work orders take out of service at this proxy. An
//! operator's change at this proxy overrides the work orders.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Bans, ChangeOutcome, Limits, Millis};

/// Mapping of servers to machines, as configured in the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MachineMap {
    /// Delimiter that ends the machine's name within the id of a server.
    pub name_delimiter: Option<String>,
    /// Machines of servers that the file lists individually.
    pub by_server: BTreeMap<String, String>,
}

impl MachineMap {
    /// Returns the name of a server's machine. A server without a matching rule is a machine of its own.
    pub fn machine_of<'a>(&'a self, uid: &'a str) -> &'a str {
        if let Some(machine) = self.by_server.get(uid) {
            return machine;
        }
        let prefix_length = self
            .name_delimiter
            .as_deref()
            .and_then(|delimiter| uid.find(delimiter));
        prefix_length.map_or(uid, |length| &uid[..length])
    }
}

/// The machines that work orders take out of service, as applied by this proxy.
#[derive(Clone, Debug, Default)]
pub struct MachinesOut {
    machine_map: MachineMap,
    /// Names of the machines that are out. Servers on them that no list has named yet are out too.
    machines_out: BTreeSet<String>,
    /// Servers on these machines according to the fleet's log; the file of another proxy may map them differently.
    servers_out: BTreeSet<String>,
    /// Servers that an operator has put back in use although their machine is out.
    overridden: BTreeSet<String>,
    /// Times at which servers went out of service and returned.
    transitions: Bans,
}

impl MachinesOut {
    /// Creates the state with no machine out.
    pub fn new(machine_map: MachineMap) -> Self {
        Self {
            machine_map,
            ..Self::default()
        }
    }

    /// Returns the name of a server's machine; see [`MachineMap::machine_of`].
    pub fn machine_of<'a>(&'a self, uid: &'a str) -> &'a str {
        self.machine_map.machine_of(uid)
    }

    /// Whether a work order takes the server's machine out of service, regardless of operators' overrides.
    pub fn is_out_by_order(&self, uid: &str) -> bool {
        !self.machines_out.is_empty()
            && (self.machines_out.contains(self.machine_map.machine_of(uid))
                || self.servers_out.contains(uid))
    }

    /// Whether a work order keeps the server out of use and no operator overrides that.
    pub fn is_out(&self, uid: &str) -> bool {
        self.is_out_by_order(uid) && !self.overridden.contains(uid)
    }

    /// Whether an operator has put the server back in use although its machine is out.
    pub fn is_overridden(&self, uid: &str) -> bool {
        self.overridden.contains(uid)
    }

    /// Replaces the set of machines that are out of service, each with its servers. Overrides of servers that are no
    /// longer out are removed.
    pub fn replace_machines(&mut self, machines: BTreeMap<String, BTreeSet<String>>) {
        self.servers_out = machines.values().flatten().cloned().collect();
        self.machines_out = machines.into_keys().collect();
        let overridden = std::mem::take(&mut self.overridden);
        self.overridden = overridden
            .into_iter()
            .filter(|uid| self.is_out_by_order(uid))
            .collect();
    }

    /// Sets or removes an operator's override that keeps a server in use although its machine is out. Returns whether
    /// that changed the override.
    pub fn set_override(&mut self, uid: &str, is_in_use: bool) -> bool {
        match is_in_use {
            true => self.is_out_by_order(uid) && self.overridden.insert(uid.to_string()),
            false => self.overridden.remove(uid),
        }
    }

    /// Records when a server went out of service or returned, because it may have been restarted together with its
    /// machine.
    pub fn record_transition(&mut self, uid: &str, now: Millis, limits: &Limits) {
        let limits = Limits {
            max_bans: limits.max_servers_out,
            ..limits.clone()
        };
        let outcome = match self.is_out(uid) {
            true => self.transitions.ban(uid, now, &limits),
            false => self.transitions.unban(uid, now, &limits),
        };
        // Beyond the limit the server is still out; when it returns, its listed start time is used.
        debug_assert!(
            outcome != ChangeOutcome::Full || self.transitions.count() >= limits.max_bans
        );
    }

    /// Returns when a server last started, given the listed start time.
    pub fn started_at(&self, uid: &str, listed_start: Option<Millis>) -> Option<Millis> {
        self.transitions.started_at(uid, listed_start)
    }
}

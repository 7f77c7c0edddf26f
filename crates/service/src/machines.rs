//! Machines and the servers on them, and those that the fleet's orders for work keep out of this proxy. An operator's
//! word given here is stronger.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Bans, Kept, Limits, Millis};

/// Which machine a server runs on, by the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Machines {
    /// The machine's name is the server's up to the first of these.
    pub until: Option<String>,
    /// Servers whose machine the file names.
    pub named: BTreeMap<String, String>,
}

impl Machines {
    /// Without a rule each server is a machine of its own.
    pub fn of<'a>(&'a self, uid: &'a str) -> &'a str {
        if let Some(machine) = self.named.get(uid) {
            return machine;
        }
        let until = self.until.as_deref().and_then(|until| uid.find(until));
        until.map_or(uid, |at| &uid[..at])
    }
}

/// The machines that orders have out, as this proxy goes by them.
#[derive(Clone, Debug, Default)]
pub struct Outs {
    machines: Machines,
    /// Out, by name, also of servers that no list has named yet.
    closed: BTreeSet<String>,
    /// Servers on them as the log has them: another proxy's file may say otherwise.
    on_them: BTreeSet<String>,
    /// In use by an operator's word, though their machine is out.
    opened: BTreeSet<String>,
    /// When they went out and came back.
    times: Bans,
}

impl Outs {
    pub fn new(machines: Machines) -> Self {
        Self {
            machines,
            ..Self::default()
        }
    }

    pub fn machine_of<'a>(&'a self, uid: &'a str) -> &'a str {
        self.machines.of(uid)
    }

    /// Whether an order has the server's machine out, whatever an operator says.
    pub fn ordered(&self, uid: &str) -> bool {
        !self.closed.is_empty()
            && (self.closed.contains(self.machines.of(uid)) || self.on_them.contains(uid))
    }

    pub fn is_out(&self, uid: &str) -> bool {
        self.ordered(uid) && !self.opened.contains(uid)
    }

    pub fn is_opened(&self, uid: &str) -> bool {
        self.opened.contains(uid)
    }

    /// Takes the machines that are out from now on, with the servers on them.
    pub fn set(&mut self, closed: BTreeMap<String, BTreeSet<String>>) {
        self.on_them = closed.values().flatten().cloned().collect();
        self.closed = closed.into_keys().collect();
        let opened = std::mem::take(&mut self.opened);
        self.opened = opened.into_iter().filter(|uid| self.ordered(uid)).collect();
    }

    /// An operator wants a server used, or not any more. True if that changes what is out by an order.
    pub fn word(&mut self, uid: &str, open: bool) -> bool {
        match open {
            true => self.ordered(uid) && self.opened.insert(uid.to_string()),
            false => self.opened.remove(uid),
        }
    }

    /// Notes when a server went out or came back: with its machine it may have been started anew.
    pub fn note(&mut self, uid: &str, now: Millis, limits: &Limits) {
        let limits = Limits {
            bans: limits.outs,
            ..limits.clone()
        };
        let kept = match self.is_out(uid) {
            true => self.times.put_out(uid, now, &limits),
            false => self.times.call_back(uid, now, &limits),
        };
        // Beyond the limit it is out all the same; when it comes back its start is as listed.
        debug_assert!(kept != Kept::Full || self.times.count() >= limits.bans);
    }

    /// When a server last started, given what the list says.
    pub fn born(&self, uid: &str, listed: Option<Millis>) -> Option<Millis> {
        self.times.born(uid, listed)
    }
}

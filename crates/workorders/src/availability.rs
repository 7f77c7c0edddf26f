//! What one proxy goes by: which machines it sends nothing to, and what it confirms of them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::orders::WorkOrders;
use crate::planner::MachineReport;
use crate::types::{ListedMachine, Name, Number, Phase};

/// The list of what is out as one proxy has heard it. It is kept on disk, and a new process goes by it from before its
/// first client until it hears a newer one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineAvailability {
    /// How far the log was that it was heard from.
    at: Number,
    /// Machines of orders.
    places: BTreeMap<Name, ListedMachine>,
    /// Operators' own words at this proxy, which are stronger: open or closed.
    words: BTreeMap<Name, bool>,
}

/// What a proxy is to do now about a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MachineAction {
    /// Nothing new goes there, and what is there is moved.
    Close(Name),
    Open(Name),
}

impl MachineAvailability {
    /// What the log says of all machines of orders.
    pub fn list_machines(orders: &WorkOrders) -> BTreeMap<Name, ListedMachine> {
        let closes =
            |phase: &Phase| matches!(phase, Phase::Draining | Phase::Drained | Phase::Failed(_));
        let each = orders.orders().values().flat_map(|(_, places)| places);
        each.map(|(name, place)| {
            let listed = ListedMachine {
                version: place.version,
                closed: closes(&place.phase),
                machine: orders.machines().get(name).cloned().unwrap_or_default(),
            };
            (name.clone(), listed)
        })
        .collect()
    }

    pub fn listed_machine(&self, machine: &str) -> Option<&ListedMachine> {
        self.places.get(machine)
    }

    /// How far the log was that it was heard from.
    pub fn list_version(&self) -> Number {
        self.at
    }

    /// Machines that are out here, with what is on them as the log has it.
    pub fn closed_machines(&self) -> impl Iterator<Item = (&Name, &ListedMachine)> {
        self.places.iter().filter(|(name, _)| self.is_closed(name))
    }

    /// Machines that the orders have out, whatever operators say here.
    pub fn closed_by_orders(&self) -> impl Iterator<Item = (&Name, &ListedMachine)> {
        self.places.iter().filter(|(_, listed)| listed.closed)
    }

    /// The machine that a proxy runs on, if it is in an order.
    pub fn machine_of(&self, proxy: &str) -> Option<(&Name, &ListedMachine)> {
        let runs = |listed: &ListedMachine| matches!(&listed.machine.proxy, Some((name, _)) if name == proxy);
        self.places.iter().find(|(_, listed)| runs(listed))
    }

    /// Takes a list that was true when the log was as far as `at`; an older one than is known is passed over.
    pub fn apply_list(
        &mut self,
        at: Number,
        list: BTreeMap<Name, ListedMachine>,
    ) -> Vec<MachineAction> {
        if at < self.at {
            return Vec::new();
        }
        self.at = at;
        self.change(|belief| belief.places = list)
    }

    /// An operator's word on a machine at this proxy; `None` takes it back.
    pub fn set_override(&mut self, machine: &str, open: Option<bool>) -> Vec<MachineAction> {
        self.change(|belief| match open {
            Some(open) => drop(belief.words.insert(machine.into(), open)),
            None => drop(belief.words.remove(machine)),
        })
    }

    pub fn is_closed(&self, machine: &str) -> bool {
        match self.words.get(machine) {
            Some(open) => !open,
            None => self.places.get(machine).is_some_and(|listed| listed.closed),
        }
    }

    /// What this proxy confirms of a machine; none of one that is in no order.
    pub fn report(&self, machine: &str, clients: u64, warm: bool) -> Option<MachineReport> {
        let listed = self.places.get(machine)?;
        Some(MachineReport {
            version: listed.version,
            clients,
            closed: self.is_closed(machine),
            warm,
        })
    }

    /// Machines of orders that it has heard of.
    pub fn machines(&self) -> impl Iterator<Item = &Name> {
        self.places.keys()
    }

    fn change(&mut self, change: impl FnOnce(&mut Self)) -> Vec<MachineAction> {
        let before = self.clone();
        change(self);
        let names = before.places.keys().chain(self.places.keys());
        let mut names: Vec<&Name> = names
            .chain(before.words.keys())
            .chain(self.words.keys())
            .collect();
        names.sort();
        names.dedup();
        let turn = |name: &Name| match (before.is_closed(name), self.is_closed(name)) {
            (false, true) => Some(MachineAction::Close(name.clone())),
            (true, false) => Some(MachineAction::Open(name.clone())),
            _ => None,
        };
        names.into_iter().filter_map(turn).collect()
    }
}

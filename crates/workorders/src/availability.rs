//! The availability of machines at one proxy: the machines to which it sends no connections, and its reports that
//! confirm this.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::orders::WorkOrders;
use crate::planner::MachineReport;
use crate::types::{ListedMachine, Name, Number, Phase};

/// The list of machines in orders as one proxy has received it, and the overrides of operators at this proxy. It is
/// kept on disk: a new process applies it before it accepts its first client, and until it receives a newer one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineAvailability {
    /// The version of the list; a list of an older version is not applied.
    #[serde(rename = "at")]
    list_version: Number,
    /// The machines of all orders.
    #[serde(rename = "places")]
    machines: BTreeMap<Name, ListedMachine>,
    /// Overrides of operators at this proxy, which take precedence over the list: open (true) or closed (false).
    #[serde(rename = "words")]
    overrides: BTreeMap<Name, bool>,
}

/// A change that the proxy has to apply to a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MachineAction {
    /// Send no new connections there, and move the existing ones.
    Close(Name),
    /// Send new connections there again.
    Open(Name),
}

impl MachineAvailability {
    /// The list of all machines in orders, from the replicated state.
    pub fn list_machines(orders: &WorkOrders) -> BTreeMap<Name, ListedMachine> {
        let is_closed =
            |phase: &Phase| matches!(phase, Phase::Draining | Phase::Drained | Phase::Failed(_));
        let in_orders = orders.orders().values().flat_map(|(_, machines)| machines);
        in_orders
            .map(|(name, progress)| {
                let listed = ListedMachine {
                    version: progress.version,
                    closed: is_closed(&progress.phase),
                    machine: orders.machines().get(name).cloned().unwrap_or_default(),
                };
                (name.clone(), listed)
            })
            .collect()
    }

    /// The entry of a machine, if it is in an order.
    pub fn listed_machine(&self, machine: &str) -> Option<&ListedMachine> {
        self.machines.get(machine)
    }

    /// The version of the list that was applied last.
    pub fn list_version(&self) -> Number {
        self.list_version
    }

    /// Machines of orders that are closed at this proxy, by the orders or by an operator, with their entries.
    pub fn closed_machines(&self) -> impl Iterator<Item = (&Name, &ListedMachine)> {
        self.machines
            .iter()
            .filter(|(name, _)| self.is_closed(name))
    }

    /// Machines that are closed by the orders, whatever the overrides of operators at this proxy.
    pub fn closed_by_orders(&self) -> impl Iterator<Item = (&Name, &ListedMachine)> {
        self.machines.iter().filter(|(_, listed)| listed.closed)
    }

    /// The machine that a proxy runs on, if it is in an order.
    pub fn machine_of(&self, proxy: &str) -> Option<(&Name, &ListedMachine)> {
        let runs_proxy = |listed: &ListedMachine| matches!(&listed.machine.proxy, Some((name, _)) if name == proxy);
        self.machines.iter().find(|(_, listed)| runs_proxy(listed))
    }

    /// Applies a list of that version and returns the resulting changes; a list older than the known one is ignored.
    pub fn apply_list(
        &mut self,
        list_version: Number,
        list: BTreeMap<Name, ListedMachine>,
    ) -> Vec<MachineAction> {
        if list_version < self.list_version {
            return Vec::new();
        }
        self.list_version = list_version;
        self.change(|availability| availability.machines = list)
    }

    /// Sets an operator's override for a machine at this proxy, open (true) or closed (false); `None` removes it.
    /// Returns the resulting changes.
    pub fn set_override(&mut self, machine: &str, open: Option<bool>) -> Vec<MachineAction> {
        self.change(|availability| match open {
            Some(open) => drop(availability.overrides.insert(machine.into(), open)),
            None => drop(availability.overrides.remove(machine)),
        })
    }

    /// Whether a machine is closed at this proxy. One that is in no order and has no override is open.
    pub fn is_closed(&self, machine: &str) -> bool {
        match self.overrides.get(machine) {
            Some(open) => !open,
            None => self
                .machines
                .get(machine)
                .is_some_and(|listed| listed.closed),
        }
    }

    /// The report of this proxy about a machine; `None` for a machine that is in no order.
    pub fn report(&self, machine: &str, clients: u64, warm: bool) -> Option<MachineReport> {
        let listed = self.machines.get(machine)?;
        Some(MachineReport {
            version: listed.version,
            clients,
            closed: self.is_closed(machine),
            warm,
        })
    }

    /// The names of the machines in the list.
    pub fn machines(&self) -> impl Iterator<Item = &Name> {
        self.machines.keys()
    }

    /// Applies `change`, and returns the machines that it has opened or closed.
    fn change(&mut self, change: impl FnOnce(&mut Self)) -> Vec<MachineAction> {
        let before = self.clone();
        change(self);
        let names = before.machines.keys().chain(self.machines.keys());
        let mut names: Vec<&Name> = names
            .chain(before.overrides.keys())
            .chain(self.overrides.keys())
            .collect();
        names.sort();
        names.dedup();
        let action = |name: &Name| match (before.is_closed(name), self.is_closed(name)) {
            (false, true) => Some(MachineAction::Close(name.clone())),
            (true, false) => Some(MachineAction::Open(name.clone())),
            _ => None,
        };
        names.into_iter().filter_map(action).collect()
    }
}

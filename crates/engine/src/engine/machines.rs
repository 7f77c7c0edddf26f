//! Machines that the fleet's work orders take out of service. A change is in force in this proxy once
//! [`Engine::set_machines_out`] returns.

use std::collections::{BTreeMap, BTreeSet};

use tracing::info;
use violetwind_balancer::api::{AdmissionMode, ServerId, Status};
use violetwind_service::Millis;

use super::{Engine, ProbeSender};
use crate::messages::{MachinesSnapshot, ObservedMachine, ObservedServer};

impl<P: ProbeSender> Engine<P> {
    /// Whether an operator's ban or a work order keeps a server out of use.
    pub(super) fn is_kept_out(&self, uid: &str) -> bool {
        self.bans.is_banned(uid) || self.machines_out.is_out(uid)
    }

    fn now_ms(&self) -> Millis {
        (self.clock.seconds_at(self.now) * 1e3) as Millis
    }

    /// Records the transition of a server that is listed while its machine is out of service.
    pub(super) fn record_if_out(&mut self, uid: &str) {
        if self.machines_out.is_out(uid) {
            self.machines_out
                .record_transition(uid, self.now_ms(), &self.service_limits);
        }
    }

    /// Replaces the set of machines that are out of service. Their servers get no new requests and their clients are
    /// moved; machines that are no longer in the set return to use.
    pub(super) fn set_machines_out(&mut self, machines: BTreeMap<String, BTreeSet<String>>) {
        let uids: BTreeSet<String> = self
            .addresses
            .values()
            .map(|(uid, _)| uid.clone())
            .collect();
        let previously_out: BTreeSet<&String> = uids
            .iter()
            .filter(|uid| self.machines_out.is_out(uid))
            .collect();
        let names: Vec<String> = machines.keys().cloned().collect();
        self.machines_out.replace_machines(machines);
        let changed = uids
            .iter()
            .filter(|uid| previously_out.contains(uid) != self.machines_out.is_out(uid));
        let changed: Vec<String> = changed.cloned().collect();
        if changed.is_empty() {
            return;
        }
        info!(
            ?names,
            servers = changed.len(),
            "machines taken out by work orders changed"
        );
        for uid in changed {
            self.machines_out
                .record_transition(&uid, self.now_ms(), &self.service_limits);
            self.resend_row(&uid);
        }
    }

    /// Returns the state of each machine as this proxy observes it.
    pub(super) fn snapshot_machines(&self) -> MachinesSnapshot {
        let mut clients_by_server: BTreeMap<ServerId, u64> = BTreeMap::new();
        for connection in self.connections.values() {
            let servers: BTreeSet<ServerId> =
                [connection.attempt_server, connection.connected_server]
                    .into_iter()
                    .flatten()
                    .collect();
            for server in servers {
                *clients_by_server.entry(server).or_default() += 1;
            }
        }
        let mut snapshot = MachinesSnapshot {
            machines: BTreeMap::new(),
            connections: self.connections.len(),
            admits_nothing: self.admission == AdmissionMode::Nothing,
        };
        let now = self.clock.seconds_at(self.now);
        for (server, (uid, _)) in &self.addresses {
            let clients = clients_by_server.get(server).copied().unwrap_or(0);
            let row = self.last_rows.get(server);
            let row = row.filter(|row| row.status != Status::Gone);
            if row.is_none() && clients == 0 {
                continue;
            }
            let name = self.machines_out.machine_of(uid).to_string();
            let machine: &mut ObservedMachine = snapshot.machines.entry(name).or_default();
            machine.clients += clients;
            let Some(row) = row else { continue };
            let mut overridden_row = row.clone();
            self.apply_overrides(uid, &mut overridden_row);
            let is_up = matches!(row.status, Status::Up);
            let is_warm = overridden_row
                .started_at
                .is_none_or(|started_at| started_at + self.slow_start_window <= now);
            machine.zone = machine.zone.take().or_else(|| row.zone.clone());
            machine.servers.push(ObservedServer {
                uid: uid.clone(),
                kind: row.kind.clone(),
                cell: row.cell,
                rating: row.rating,
                up: is_up,
                warm: is_up && is_warm,
                draining: row.status == Status::Draining,
                banned: self.bans.is_banned(uid),
                is_overridden: self.machines_out.is_overridden(uid),
            });
        }
        snapshot
            .machines
            .values_mut()
            .for_each(|machine| machine.servers.sort_by(|a, b| a.uid.cmp(&b.uid)));
        snapshot
    }
}

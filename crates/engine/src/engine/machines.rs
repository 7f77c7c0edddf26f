//! Machines that the fleet's orders take out: in force here once [`Engine::out`] returns.

use std::collections::{BTreeMap, BTreeSet};

use tracing::info;
use violetwind_balancer::api::{AdmissionMode, ServerId, Status};
use violetwind_service::Millis;

use super::{Engine, ProbeSender};
use crate::messages::{MachinesSnapshot, ObservedMachine, ObservedServer};

impl<P: ProbeSender> Engine<P> {
    /// Whether an operator or an order keeps a server out.
    pub(super) fn is_kept_out(&self, uid: &str) -> bool {
        self.bans.is_banned(uid) || self.outs.is_out(uid)
    }

    fn now_ms(&self) -> Millis {
        (self.clock.seconds_at(self.now) * 1e3) as Millis
    }

    /// A server that a list names while its machine is out went out with it.
    pub(super) fn record_if_out(&mut self, uid: &str) {
        if self.outs.is_out(uid) {
            self.outs
                .record_transition(uid, self.now_ms(), &self.service);
        }
    }

    /// Nothing new goes to these machines from now on, and their clients are moved; others come back.
    pub(super) fn set_machines_out(&mut self, machines: BTreeMap<String, BTreeSet<String>>) {
        let uids: BTreeSet<String> = self
            .addresses
            .values()
            .map(|(uid, _)| uid.clone())
            .collect();
        let was: BTreeSet<&String> = uids.iter().filter(|uid| self.outs.is_out(uid)).collect();
        let names: Vec<String> = machines.keys().cloned().collect();
        self.outs.replace_machines(machines);
        let changed = uids
            .iter()
            .filter(|uid| was.contains(uid) != self.outs.is_out(uid));
        let changed: Vec<String> = changed.cloned().collect();
        if changed.is_empty() {
            return;
        }
        info!(
            ?names,
            servers = changed.len(),
            "machines that orders have out"
        );
        for uid in changed {
            self.outs
                .record_transition(&uid, self.now_ms(), &self.service);
            self.resend_row(&uid);
        }
    }

    /// What is known here of each machine.
    pub(super) fn snapshot_machines(&self) -> MachinesSnapshot {
        let mut at: BTreeMap<ServerId, u64> = BTreeMap::new();
        for conn in self.connections.values() {
            let there: BTreeSet<ServerId> = [conn.attempt_server, conn.connected_server]
                .into_iter()
                .flatten()
                .collect();
            for server in there {
                *at.entry(server).or_default() += 1;
            }
        }
        let mut looked = MachinesSnapshot {
            machines: BTreeMap::new(),
            connections: self.connections.len(),
            admits_nothing: self.taking == AdmissionMode::Nothing,
        };
        let now = self.clock.seconds_at(self.now);
        for (server, (uid, _)) in &self.addresses {
            let clients = at.get(server).copied().unwrap_or(0);
            let row = self.last_rows.get(server);
            let row = row.filter(|row| row.status != Status::Gone);
            if row.is_none() && clients == 0 {
                continue;
            }
            let name = self.outs.machine_of(uid).to_string();
            let seen: &mut ObservedMachine = looked.machines.entry(name).or_default();
            seen.clients += clients;
            let Some(row) = row else { continue };
            let mut ruled = row.clone();
            self.apply_overrides(uid, &mut ruled);
            let up = matches!(row.status, Status::Up);
            let warm = ruled
                .started_at
                .is_none_or(|born| born + self.cold_for <= now);
            seen.zone = seen.zone.take().or_else(|| row.zone.clone());
            seen.servers.push(ObservedServer {
                uid: uid.clone(),
                kind: row.kind.clone(),
                cell: row.cell,
                rating: row.rating,
                up,
                warm: up && warm,
                draining: row.status == Status::Draining,
                banned: self.bans.is_banned(uid),
                opened: self.outs.is_overridden(uid),
            });
        }
        looked
            .machines
            .values_mut()
            .for_each(|seen| seen.servers.sort_by(|a, b| a.uid.cmp(&b.uid)));
        looked
    }
}

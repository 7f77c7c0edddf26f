//! Start and end of the troubles of a scenario.

use rand::Rng;
use violetwind_balancer::api::*;

use super::super::policy::Policy;
use super::super::server::ServerState;
use super::{ClientState, SILENCE_TIMEOUT, SimEvent, Simulation, rng_stream};
use crate::scenario::{Trouble, TroubleKind};

impl Simulation<'_> {
    /// Picks a share of `count` servers, proxies or clients at random, but at least one. The order depends only on the
    /// seed and the trouble.
    fn pick_affected(&self, trouble_index: usize, count: usize, share: f64) -> Vec<usize> {
        let mut rng = rng_stream(self.seed, 50 + trouble_index as u64);
        let mut ranked: Vec<(u64, usize)> = (0..count).map(|index| (rng.random(), index)).collect();
        ranked.sort_unstable();
        let affected = ((count as f64 * share).round() as usize).clamp(1, count);
        ranked
            .into_iter()
            .take(affected)
            .map(|(_, index)| index)
            .collect()
    }

    /// Returns the servers that a trouble affects.
    fn affected_servers(&self, trouble_index: usize, trouble: &Trouble) -> Vec<usize> {
        match trouble.kind {
            TroubleKind::ZoneLoss => {
                let in_zone = |server: &usize| self.servers[*server].zone == trouble.zone;
                (0..self.servers.len()).filter(in_zone).collect()
            }
            _ => self.pick_affected(trouble_index, self.servers.len(), trouble.share),
        }
    }

    pub(super) fn start_trouble(&mut self, trouble_index: usize) {
        let trouble = self.scenario.troubles[trouble_index].clone();
        let servers = self.affected_servers(trouble_index, &trouble);
        match trouble.kind {
            TroubleKind::Crash => {
                for server in servers {
                    self.stop_server(server as ServerId, ServerState::Down);
                    self.announce_status(server as ServerId, Status::Gone);
                }
            }
            TroubleKind::ZoneLoss => {
                for server in servers {
                    self.stop_server(server as ServerId, ServerState::Unreachable);
                    self.announce_status(server as ServerId, Status::Gone);
                }
            }
            TroubleKind::Slow | TroubleKind::Neighbour => {
                for server in servers {
                    self.accrue_service(server as ServerId);
                    let factor = self.fault_rng.random_range(trouble.from..=trouble.to);
                    self.servers[server].capacity_factor = factor;
                }
            }
            TroubleKind::FailingFast => {
                servers
                    .iter()
                    .for_each(|&server| self.servers[server].is_failing = true);
            }
            TroubleKind::Heavy => self.heavy_load = Some((trouble.share, trouble.from, trouble.to)),
            TroubleKind::Burst => self.arrival_rate *= trouble.from,
            TroubleKind::Deploy => {
                // Servers are redeployed one after the other over the duration of the trouble.
                let interval = trouble.lasts / servers.len().max(1) as f64;
                let (drain_grace, restart_time) = (
                    self.scenario.list_timing.drain_grace,
                    self.scenario.list_timing.restart_time,
                );
                for (position, server) in servers.into_iter().enumerate() {
                    let (server, start_delay) = (server as ServerId, interval * position as f64);
                    for proxy in 0..self.proxies.len() {
                        let delay = self.scenario.list_timing.propagation_delay
                            * self.fault_rng.random_range(0.5..1.5);
                        let update = SimEvent::ListUpdate(proxy, server, Status::Draining, None);
                        self.schedule_after(start_delay + delay, update);
                    }
                    self.schedule_after(start_delay + drain_grace, SimEvent::StopServer(server));
                    self.schedule_after(
                        start_delay + drain_grace + restart_time,
                        SimEvent::RestartServer(server, true),
                    );
                }
            }
            TroubleKind::Reconnect => {
                for client in self.pick_affected(trouble_index, self.clients.len(), trouble.share) {
                    if let ClientState::Connected(id, _) = self.clients[client].state
                        && let Some((client, proxy, _)) = self.disconnect_client(id)
                    {
                        self.deliver_event(proxy, Event::Gone(id));
                        self.schedule_retry(client, 0.05);
                    }
                }
            }
            TroubleKind::ZoneCut => {
                self.isolated_zone = Some(trouble.zone);
                let connected: Vec<RequestId> = self
                    .connections_by_server
                    .iter()
                    .flatten()
                    .copied()
                    .collect();
                for id in connected {
                    self.schedule_after(SILENCE_TIMEOUT, SimEvent::SilenceTimeout(id));
                }
            }
            TroubleKind::CatalogueSilent => self.list_silent_until = self.now + trouble.lasts,
            TroubleKind::ProxiesRestart => {
                for proxy in self.pick_affected(trouble_index, self.proxies.len(), trouble.share) {
                    self.restart_proxy(proxy);
                }
            }
        }
    }

    fn restart_proxy(&mut self, proxy: usize) {
        let requests = std::mem::take(&mut self.proxies[proxy].requests);
        for id in requests {
            let Some(active) = self.requests.get(&id) else {
                continue;
            };
            let client = active.client;
            self.rules.excuse_request(id);
            match self.clients[client].state {
                ClientState::Connected(..) => drop(self.disconnect_client(id)),
                _ => drop(self.remove_request(id)),
            }
            self.schedule_retry(client, 0.3);
        }
        self.rules.forget_proxy_drains(proxy);
        self.budgets.handle_proxy_restart(self.now, proxy);
        let proxy_state = &mut self.proxies[proxy];
        proxy_state.incarnation += 1;
        let seed = self.seed ^ (proxy as u64) << 20 ^ u64::from(proxy_state.incarnation) << 50;
        proxy_state.policy = Policy::new(self.policy_kind, &self.settings[proxy], seed);
        self.start_proxy(proxy);
    }

    pub(super) fn end_trouble(&mut self, trouble_index: usize) {
        let trouble = self.scenario.troubles[trouble_index].clone();
        let servers = self.affected_servers(trouble_index, &trouble);
        match trouble.kind {
            TroubleKind::Crash | TroubleKind::ZoneLoss => {
                for server in servers {
                    self.restart_server(server as ServerId, true);
                }
            }
            TroubleKind::Slow | TroubleKind::Neighbour => {
                for server in servers {
                    self.accrue_service(server as ServerId);
                    self.servers[server].capacity_factor = 1.0;
                }
            }
            TroubleKind::FailingFast => {
                servers
                    .iter()
                    .for_each(|&server| self.servers[server].is_failing = false);
            }
            TroubleKind::Heavy => self.heavy_load = None,
            TroubleKind::Burst => self.arrival_rate /= trouble.from,
            TroubleKind::ZoneCut => self.isolated_zone = None,
            TroubleKind::Deploy
            | TroubleKind::Reconnect
            | TroubleKind::CatalogueSilent
            | TroubleKind::ProxiesRestart => {}
        }
    }
}

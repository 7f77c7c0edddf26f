//! What goes wrong in a scenario, and how it ends.

use rand::Rng;
use violetwind_balancer::api::*;

use super::super::policy::Policy;
use super::super::server::ServerState;
use super::{ClientState, SILENCE_TIMEOUT, SimEvent, Simulation, rng_stream};
use crate::scenario::{Trouble, TroubleKind};

impl Simulation<'_> {
    /// The first so many servers, or proxies, in an order of this trouble's own.
    fn touched(&self, n: usize, of: usize, share: f64) -> Vec<usize> {
        let mut rng = rng_stream(self.seed, 50 + n as u64);
        let mut all: Vec<(u64, usize)> = (0..of).map(|one| (rng.random(), one)).collect();
        all.sort_unstable();
        let count = ((of as f64 * share).round() as usize).clamp(1, of);
        all.into_iter().take(count).map(|(_, one)| one).collect()
    }

    fn servers_of(&self, n: usize, trouble: &Trouble) -> Vec<usize> {
        match trouble.kind {
            TroubleKind::ZoneLoss => {
                let of_zone = |n: &usize| self.servers[*n].zone == trouble.zone;
                (0..self.servers.len()).filter(of_zone).collect()
            }
            _ => self.touched(n, self.servers.len(), trouble.share),
        }
    }

    pub(super) fn start_trouble(&mut self, n: usize) {
        let trouble = self.scenario.troubles[n].clone();
        let servers = self.servers_of(n, &trouble);
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
                // One after the other over the time that it lasts.
                let each = trouble.lasts / servers.len().max(1) as f64;
                let (grace, restart) = (
                    self.scenario.list_timing.drain_grace,
                    self.scenario.list_timing.restart_time,
                );
                for (turn, server) in servers.into_iter().enumerate() {
                    let (server, at) = (server as ServerId, each * turn as f64);
                    for proxy in 0..self.proxies.len() {
                        let late = self.scenario.list_timing.propagation_delay
                            * self.fault_rng.random_range(0.5..1.5);
                        let told = SimEvent::ListUpdate(proxy, server, Status::Draining, None);
                        self.schedule_after(at + late, told);
                    }
                    self.schedule_after(at + grace, SimEvent::StopServer(server));
                    self.schedule_after(
                        at + grace + restart,
                        SimEvent::RestartServer(server, true),
                    );
                }
            }
            TroubleKind::Reconnect => {
                for n in self.touched(n, self.clients.len(), trouble.share) {
                    if let ClientState::Connected(id, _) = self.clients[n].state
                        && let Some((n, proxy, _)) = self.disconnect_client(id)
                    {
                        self.deliver_event(proxy, Event::Gone(id));
                        self.schedule_retry(n, 0.05);
                    }
                }
            }
            TroubleKind::ZoneCut => {
                self.isolated_zone = Some(trouble.zone);
                let up: Vec<RequestId> = self
                    .connections_by_server
                    .iter()
                    .flatten()
                    .copied()
                    .collect();
                for id in up {
                    self.schedule_after(SILENCE_TIMEOUT, SimEvent::SilenceTimeout(id));
                }
            }
            TroubleKind::CatalogueSilent => self.list_silent_until = self.now + trouble.lasts,
            TroubleKind::ProxiesRestart => {
                for proxy in self.touched(n, self.proxies.len(), trouble.share) {
                    self.restart_proxy(proxy);
                }
            }
        }
    }

    fn restart_proxy(&mut self, proxy: usize) {
        let requests = std::mem::take(&mut self.proxies[proxy].requests);
        for id in requests {
            let Some(asked) = self.requests.get(&id) else {
                continue;
            };
            let n = asked.client;
            self.rules.excuse_request(id);
            match self.clients[n].state {
                ClientState::Connected(..) => drop(self.disconnect_client(id)),
                _ => drop(self.remove_request(id)),
            }
            self.schedule_retry(n, 0.3);
        }
        self.rules.forget_proxy_drains(proxy);
        self.budgets.handle_proxy_restart(self.now, proxy);
        let place = &mut self.proxies[proxy];
        place.incarnation += 1;
        let seed = self.seed ^ (proxy as u64) << 20 ^ u64::from(place.incarnation) << 50;
        place.policy = Policy::new(self.policy_kind, &self.settings[proxy], seed);
        self.start_proxy(proxy);
    }

    pub(super) fn end_trouble(&mut self, n: usize) {
        let trouble = self.scenario.troubles[n].clone();
        let servers = self.servers_of(n, &trouble);
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

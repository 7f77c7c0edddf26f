//! What goes wrong in a scenario, and how it ends.

use rand::Rng;
use violetwind_balancer::api::*;

use super::super::policy::Policy;
use super::super::server::Life;
use super::{SILENT, State, Step, World, stream};
use crate::scenario::{Kind, Trouble};

impl World<'_> {
    /// The first so many servers, or proxies, in an order of this trouble's own.
    fn touched(&self, n: usize, of: usize, share: f64) -> Vec<usize> {
        let mut rng = stream(self.seed, 50 + n as u64);
        let mut all: Vec<(u64, usize)> = (0..of).map(|one| (rng.random(), one)).collect();
        all.sort_unstable();
        let count = ((of as f64 * share).round() as usize).clamp(1, of);
        all.into_iter().take(count).map(|(_, one)| one).collect()
    }

    fn servers_of(&self, n: usize, trouble: &Trouble) -> Vec<usize> {
        match trouble.kind {
            Kind::ZoneLoss => {
                let of_zone = |n: &usize| self.servers[*n].zone == trouble.zone;
                (0..self.servers.len()).filter(of_zone).collect()
            }
            _ => self.touched(n, self.servers.len(), trouble.share),
        }
    }

    pub(super) fn begins(&mut self, n: usize) {
        let trouble = self.set.troubles[n].clone();
        let servers = self.servers_of(n, &trouble);
        match trouble.kind {
            Kind::Crash => {
                for server in servers {
                    self.stop(server as ServerId, Life::Down);
                    self.tell_all(server as ServerId, Status::Gone);
                }
            }
            Kind::ZoneLoss => {
                for server in servers {
                    self.stop(server as ServerId, Life::Dark);
                    self.tell_all(server as ServerId, Status::Gone);
                }
            }
            Kind::Slow | Kind::Neighbour => {
                for server in servers {
                    self.account(server as ServerId);
                    let factor = self.chance.random_range(trouble.from..=trouble.to);
                    self.servers[server].factor = factor;
                }
            }
            Kind::FailingFast => {
                servers
                    .iter()
                    .for_each(|&server| self.servers[server].failing = true);
            }
            Kind::Heavy => self.heavy = Some((trouble.share, trouble.from, trouble.to)),
            Kind::Burst => self.rate *= trouble.from,
            Kind::Deploy => {
                // One after the other over the time that it lasts.
                let each = trouble.lasts / servers.len().max(1) as f64;
                let (grace, restart) = (self.set.lists.grace, self.set.lists.restart);
                for (turn, server) in servers.into_iter().enumerate() {
                    let (server, at) = (server as ServerId, each * turn as f64);
                    for proxy in 0..self.proxies.len() {
                        let late = self.set.lists.delay * self.chance.random_range(0.5..1.5);
                        let told = Step::Told(proxy, server, Status::Draining, None);
                        self.after(at + late, told);
                    }
                    self.after(at + grace, Step::Stop(server));
                    self.after(at + grace + restart, Step::Restart(server, true));
                }
            }
            Kind::Reconnect => {
                for n in self.touched(n, self.clients.len(), trouble.share) {
                    if let State::Up(id, _) = self.clients[n].state
                        && let Some((n, proxy, _)) = self.part(id)
                    {
                        self.tell(proxy, Event::Gone(id));
                        self.again(n, 0.05);
                    }
                }
            }
            Kind::ZoneCut => {
                self.cut = Some(trouble.zone);
                let up: Vec<RequestId> = self.on.iter().flatten().copied().collect();
                for id in up {
                    self.after(SILENT, Step::Silent(id));
                }
            }
            Kind::CatalogueSilent => self.list_silent_until = self.now + trouble.lasts,
            Kind::ProxiesRestart => {
                for proxy in self.touched(n, self.proxies.len(), trouble.share) {
                    self.restart_proxy(proxy);
                }
            }
        }
    }

    fn restart_proxy(&mut self, proxy: usize) {
        let requests = std::mem::take(&mut self.proxies[proxy].requests);
        for id in requests {
            let Some(asked) = self.asked.get(&id) else {
                continue;
            };
            let n = asked.client;
            self.rules.excused(id);
            match self.clients[n].state {
                State::Up(..) => drop(self.part(id)),
                _ => drop(self.forget(id)),
            }
            self.again(n, 0.3);
        }
        self.rules.proxy_forgets(proxy);
        self.budgets.restarted(self.now, proxy);
        let place = &mut self.proxies[proxy];
        place.process += 1;
        let seed = self.seed ^ (proxy as u64) << 20 ^ u64::from(place.process) << 50;
        place.policy = Policy::new(self.kind, &self.settings[proxy], seed);
        self.start_proxy(proxy);
    }

    pub(super) fn ends(&mut self, n: usize) {
        let trouble = self.set.troubles[n].clone();
        let servers = self.servers_of(n, &trouble);
        match trouble.kind {
            Kind::Crash | Kind::ZoneLoss => {
                for server in servers {
                    self.restart(server as ServerId, true);
                }
            }
            Kind::Slow | Kind::Neighbour => {
                for server in servers {
                    self.account(server as ServerId);
                    self.servers[server].factor = 1.0;
                }
            }
            Kind::FailingFast => {
                servers
                    .iter()
                    .for_each(|&server| self.servers[server].failing = false);
            }
            Kind::Heavy => self.heavy = None,
            Kind::Burst => self.rate /= trouble.from,
            Kind::ZoneCut => self.cut = None,
            Kind::Deploy | Kind::Reconnect | Kind::CatalogueSilent | Kind::ProxiesRestart => {}
        }
    }
}

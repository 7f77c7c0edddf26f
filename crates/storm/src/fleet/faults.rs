//! Fault injection into a simulated fleet: random faults, and faults listed in a script.

use rand::Rng;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use violetwind_consensus::Millis;
use violetwind_fleet::{FleetAction, Name};

use super::{Host, World};
use crate::script::TimelineSample;

/// One fault, as written in scripts. Durations are in milliseconds of simulated time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// SIGKILL; a new process starts on the same directory after `back`.
    Kill { node: Name, back: Millis },
    /// SIGSTOP for the duration `lasts`.
    Stop { node: Name, lasts: Millis },
    /// Frames from each member in `from` to each in `to` are lost; with `both`, in both directions.
    Cut {
        from: Vec<Name>,
        to: Vec<Name>,
        both: bool,
    },
    /// Restores all links.
    Heal,
    /// From now on a sync of this member's disk takes `sync`.
    Slow { node: Name, sync: Millis },
    /// An operator at member `by` requests the handoff of a duty, to the member `to` if one is given.
    HandOn {
        by: Name,
        duty: Name,
        to: Option<Name>,
    },
    /// SIGTERM; a new process starts after `back`.
    Quit { node: Name, back: Millis },
    /// A machine goes down, or comes back up if it is down.
    Machine { number: usize },
    /// An operator at member `by` puts a member out of the fleet.
    PutOut { by: Name, node: Name },
    /// An operator at member `by` lets a member in again.
    LetIn { by: Name, node: Name },
    /// Clients request units mostly at the member `hot`, or with `even` at all members equally.
    Press { hot: Name, even: bool },
}

impl Fault {
    /// The members named in the fault.
    pub fn nodes(&self) -> Vec<&Name> {
        match self {
            Self::Kill { node, .. }
            | Self::Stop { node, .. }
            | Self::Slow { node, .. }
            | Self::Quit { node, .. } => vec![node],
            Self::Cut { from, to, .. } => from.iter().chain(to).collect(),
            Self::HandOn { by, to, .. } => [by].into_iter().chain(to).collect(),
            Self::PutOut { by, node } | Self::LetIn { by, node } => vec![by, node],
            Self::Press { hot, .. } => vec![hot],
            Self::Heal | Self::Machine { .. } => Vec::new(),
        }
    }
}

/// Generates the next random fault among these members, or none. The result depends only on the state of `rng`.
pub(crate) fn generate_fault(
    rng: &mut Pcg32,
    names: &[Name],
    duty: &Name,
    machines: usize,
) -> Option<Fault> {
    let random_node = |rng: &mut Pcg32| names[rng.random_range(0..names.len())].clone();
    Some(match rng.random_range(0..100) {
        0..3 => {
            let (node, back) = (random_node(rng), rng.random_range(1..3000));
            Fault::Kill { node, back }
        }
        3..7 => {
            let (node, lasts) = (random_node(rng), rng.random_range(100..7000));
            Fault::Stop { node, lasts }
        }
        7..11 => {
            let (sender, receiver, both) =
                (random_node(rng), random_node(rng), rng.random_bool(0.5));
            let (from, to) = (vec![sender], vec![receiver]);
            Fault::Cut { from, to, both }
        }
        11..14 => {
            let (from, to): (Vec<Name>, Vec<Name>) =
                names.iter().cloned().partition(|_| rng.random_bool(0.5));
            let both = true;
            Fault::Cut { from, to, both }
        }
        14..16 => {
            let (isolated, both) = (random_node(rng), rng.random_bool(0.5));
            let to = names
                .iter()
                .filter(|name| **name != isolated)
                .cloned()
                .collect();
            let from = vec![isolated];
            Fault::Cut { from, to, both }
        }
        16..24 => Fault::Heal,
        24..26 => {
            let (node, sync) = (random_node(rng), rng.random_range(1..600));
            Fault::Slow { node, sync }
        }
        26..29 => {
            let by = random_node(rng);
            let to = rng.random_bool(0.5).then(|| random_node(rng));
            let duty = duty.clone();
            Fault::HandOn { by, duty, to }
        }
        29..31 => {
            let node = random_node(rng);
            let back = 2500 + rng.random_range(1..2000);
            Fault::Quit { node, back }
        }
        31..33 if machines > 0 => Fault::Machine {
            number: rng.random_range(0..machines),
        },
        _ => return None,
    })
}

impl World {
    /// Cuts the links from each member in `from` to each in `to`, in one direction or both.
    pub fn cut_links(&mut self, from: &[Name], to: &[Name], both: bool) {
        for sender in from {
            for receiver in to {
                self.cut_links.insert((sender.clone(), receiver.clone()));
                if both {
                    self.cut_links.insert((receiver.clone(), sender.clone()));
                }
            }
        }
    }

    /// Injects a fault now. A fault that names an unknown member is ignored.
    pub fn inject_fault(&mut self, fault: &Fault) {
        let exists = |name: &Name| self.hosts.contains_key(name);
        if !fault.nodes().into_iter().all(exists) {
            return;
        }
        let now = self.now;
        match fault {
            Fault::Kill { node, back } => {
                self.kill_process(node);
                self.hosts.get_mut(node).unwrap().restart_at = Some(now + back);
            }
            Fault::Stop { node, lasts } => {
                self.hosts.get_mut(node).unwrap().stopped_until = now + lasts;
            }
            Fault::Cut { from, to, both } => self.cut_links(from, to, *both),
            Fault::Heal => self.cut_links.clear(),
            Fault::Slow { node, sync } => self.hosts.get_mut(node).unwrap().sync_latency = *sync,
            Fault::HandOn { by, duty, to } => {
                let (duty, to) = (duty.clone(), to.clone());
                self.submit_action(
                    by,
                    FleetAction::HandOffDuty {
                        duty,
                        preferred_holder: to,
                    },
                );
            }
            Fault::Quit { node, back } => {
                self.shut_down_process(node);
                self.hosts.get_mut(node).unwrap().restart_at = Some(now + back);
            }
            Fault::PutOut { by, node } => self.submit_membership_order(by, node, true),
            Fault::LetIn { by, node } => self.submit_membership_order(by, node, false),
            Fault::Machine { number } => self.toggle_machine(*number),
            Fault::Press { hot, even } => {
                let demand_rate =
                    |name: &Name| (name.clone(), if *even || name == hot { 0.3 } else { 0.01 });
                self.demand = self.hosts.keys().map(demand_rate).collect();
            }
        }
    }

    /// Samples the state of all members, for a timeline that begins at `start`.
    pub fn sample_timeline(&self, start: Millis) -> TimelineSample {
        let leader = self.leader();
        let is_cut_off = |name: &Name| {
            self.cut_links
                .iter()
                .any(|(from, to)| from == name || to == name)
        };
        let holds_any_duty = |host: &Host| {
            let member = host.member.as_ref();
            let at = host.clock.local_time(self.now);
            let holds_duty =
                |duty: &Name| member.is_some_and(|member| member.held_fence(duty, at).is_some());
            self.duties.iter().any(holds_duty)
        };
        let member_states = self.hosts.iter().map(|(name, host)| {
            let state = match () {
                () if host.member.is_none() => 'x',
                () if host.stopped_until > self.now => 's',
                () if leader.as_ref() == Some(name) => 'L',
                () if is_cut_off(name) => 'c',
                () if holds_any_duty(host) => 'h',
                () => '.',
            };
            (name.clone(), state)
        });
        let first_budget = self
            .budgets
            .first()
            .map(|definition| definition.name.clone());
        TimelineSample {
            at: self.now - start,
            member_states: member_states.collect(),
            units_in_use: first_budget.map_or(0, |name| self.units_in_use(&name)),
            machines_out: self
                .work_state()
                .map_or(0, |work| work.orders.machines_out().len()),
        }
    }

    /// Whether at least one work order has ended and none is left.
    pub fn work_ended(&self) -> bool {
        self.work_state().is_some_and(|work| {
            work.orders.orders().is_empty() && !work.orders.ended_orders().is_empty()
        })
    }

    /// Injects random faults for the given time, then heals all of them and checks that every duty is held again.
    pub fn run_random_faults(&mut self, millis: Millis) {
        let until = self.now + millis;
        let names: Vec<Name> = self.hosts.keys().cloned().collect();
        self.loss_rate = [0.0, 0.0, 0.05][self.rng.random_range(0..3)];
        self.delay_range = [(0, 5), (0, 20), (10, 120)][self.rng.random_range(0..3)];
        while self.now < until && self.violation.is_none() {
            let machines = self.machine_count();
            let duty = self.duties[0].clone();
            if let Some(fault) = generate_fault(&mut self.rng, &names, &duty, machines) {
                self.inject_fault(&fault);
            }
            if !self.budgets.is_empty() && self.rng.random_bool(0.1) {
                let hot = names[self.rng.random_range(0..names.len())].clone();
                let even = self.rng.random_bool(0.2);
                self.inject_fault(&Fault::Press { hot, even });
            }
            let steps = self.rng.random_range(5..60);
            for _ in 0..steps {
                // Also restarts processes that were shut down or killed, once `restart_at` is reached.
                self.step();
            }
        }
        self.heal_and_check();
    }

    /// Ends all faults, waits for the fleet to recover and checks Held Again.
    pub fn heal_and_check(&mut self) {
        self.cut_links.clear();
        self.restore_machines();
        (self.loss_rate, self.duplicate_rate, self.delay_range) = (0.0, 0.0, (0, 10));
        let now = self.now;
        for host in self.hosts.values_mut() {
            (host.stopped_until, host.sync_latency) = (0, 2);
            // Processes due for a later restart are restarted now, so that the last fault is over.
            if host.member.is_none() || host.restart_at.is_some() {
                host.restart_at = Some(now + 10);
            }
        }
        // Enough time for an election, for the leases of dead processes to expire and for new sessions.
        self.run_for(
            2 * self.limits.consensus.election_timeout
                + 2 * self.limits.granted_lease_duration()
                + 1500,
        );
        for duty in self.duties.clone() {
            if self.violation.is_none() && self.holder(&duty).is_none() {
                self.record_violation(format!("Held Again: {duty} has no holder"));
            }
        }
    }
}

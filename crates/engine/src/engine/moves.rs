//! Moves of connections off servers that drain, off addresses that servers no longer have, and off a proxy that drains
//! or ends. Each schedule spreads its moves over a period.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use tokio::time::Instant;
use tracing::info;
use violetwind_balancer::api::{RequestId, ServerId, Status};

use super::{Engine, ProbeSender};
use crate::messages::ConnectionCommand;
use crate::move_schedule::MoveSchedule;

impl<P: ProbeSender> Engine<P> {
    /// Schedules the moves of all clients within a time range from now and returns their number. An earlier schedule
    /// with an earlier end stays in force.
    pub(super) fn schedule_all_moves(&mut self, window: Range<Duration>) -> usize {
        let ids: Vec<RequestId> = self
            .connections_by_server
            .values()
            .flatten()
            .copied()
            .collect();
        let count = ids.len();
        let (start, end) = (self.now + window.start, self.now + window.end);
        if self
            .proxy_drain
            .as_ref()
            .is_none_or(|earlier| earlier.end > end)
        {
            self.proxy_drain = Some(MoveSchedule::new(ids, start, end));
        }
        self.next_move_step = Some(self.now);
        count
    }

    /// Schedules the moves of a server's connections to its old address after the server was listed at a new one.
    pub(super) fn schedule_old_address_moves(&mut self, server: ServerId, old: SocketAddr) {
        let is_at_old_address = |id: &&RequestId| {
            self.connections
                .get(id)
                .is_some_and(|connection| connection.address == Some(old))
        };
        let ids_at_server = self
            .connections_by_server
            .get(&server)
            .into_iter()
            .flatten();
        let ids: Vec<RequestId> = ids_at_server.filter(is_at_old_address).copied().collect();
        if ids.is_empty() || self.sources.is_none() {
            return;
        }
        let uid = self.addresses.get(&server).map(|(uid, _)| uid);
        info!(uid, %old, connections = ids.len(), "address of a server changed");
        self.move_from_old_address(ids);
    }

    /// Schedules the moves of connections to an address that their server no longer has. They stay for the catalogue's
    /// absence timeout, because the old address may still answer.
    pub(super) fn move_from_old_address(&mut self, ids: Vec<RequestId>) {
        let Some(sources) = &self.sources else { return };
        let start = self.now + Duration::from_millis(sources.absence_timeout());
        let end = start + self.limits.drain_span;
        self.old_address_moves
            .push(MoveSchedule::new(ids, start, end));
        self.next_move_step = Some(self.now);
    }

    /// Starts the drain of a server that leaves, so that its clients are moved before it is gone, or cancels the drain
    /// of a server that is back.
    pub(super) fn apply_status(&mut self, server: ServerId, status: Status) {
        if matches!(status, Status::Up | Status::Suspected) {
            self.server_drains.remove(&server);
            return;
        }
        if !self.server_drains.contains_key(&server) {
            let ids = self
                .connections_by_server
                .get(&server)
                .into_iter()
                .flatten();
            let ids: Vec<RequestId> = ids.copied().collect();
            self.recall_attempts(server);
            let uid = self.addresses.get(&server).map(|(uid, _)| uid);
            info!(uid, ?status, connections = ids.len(), "a server leaves");
            // The connections of a server that is gone already are moved without delay.
            let wait = match status {
                Status::Gone => Duration::ZERO,
                _ => self.limits.drain_wait,
            };
            let start = self.now + wait;
            let end = start + self.limits.drain_span;
            self.server_drains
                .insert(server, MoveSchedule::new(ids, start, end));
            self.next_move_step = Some(self.now);
        } else if status == Status::Gone
            && self.sources.is_some()
            && let Some(schedule) = self.server_drains.get_mut(&server)
        {
            // The draining server no longer answers: its connections are moved without further delay.
            schedule.start_now(self.now, self.limits.drain_span);
        }
    }

    /// Recalls attempts that have not sent anything yet to a server that leaves, so that they go to another one.
    fn recall_attempts(&mut self, server: ServerId) {
        for connection in self
            .connections
            .values()
            .filter(|connection| connection.attempt_server == Some(server))
        {
            // A connection that has just ended needs no command, and one with a full channel is left to its deadline.
            let _ = connection.commands.try_send(ConnectionCommand::Recall);
        }
    }

    /// Sends the moves of all schedules that are due, a few at each interval.
    pub(super) fn issue_due_moves(&mut self, now: Instant) {
        let interval = self.limits.move_interval;
        let mut due = Vec::new();
        let schedules = self.server_drains.values_mut().chain(&mut self.proxy_drain);
        let schedules = schedules.chain(&mut self.old_address_moves);
        let mut is_unfinished = false;
        for schedule in schedules {
            is_unfinished |= !schedule.pending.is_empty() || now < schedule.end;
            if now < schedule.start {
                continue;
            }
            due.extend(schedule.take_due(now));
        }
        self.old_address_moves
            .retain(|schedule| !schedule.pending.is_empty());
        self.remove_gone_servers(now);
        for id in due {
            self.send_command(id, ConnectionCommand::Move);
        }
        self.next_move_step = is_unfinished.then(|| now + interval);
    }

    /// Removes servers that are no longer in the catalogue and have no connections left. Without a catalogue, all
    /// servers are kept.
    fn remove_gone_servers(&mut self, now: Instant) {
        let Some(sources) = &self.sources else { return };
        let (connections_by_server, addresses) = (&self.connections_by_server, &mut self.addresses);
        let last_rows = &mut self.last_rows;
        self.server_drains.retain(|server, schedule| {
            let is_finished = schedule.pending.is_empty() && schedule.end <= now;
            let is_in_catalogue = |(uid, _): &(String, SocketAddr)| sources.is_known(uid);
            let is_listed = addresses.get(server).is_some_and(is_in_catalogue);
            let is_kept = !is_finished || is_listed || connections_by_server.contains_key(server);
            if !is_kept {
                addresses.remove(server);
                last_rows.remove(server);
            }
            is_kept
        });
    }
}

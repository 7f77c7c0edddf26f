//! The leases that a leader counts. Nothing of it outlives the leader: the next one waits out a whole lease of
//! every session.

use std::collections::BTreeMap;

use violetwind_consensus::Millis;

use crate::limits::Limits;
use crate::messages::SessionId;

#[derive(Clone, Debug)]
struct Lease {
    until: Millis,
    renewed: Millis,
    /// Its end is in the log, committed or not: never renewed again.
    closing: bool,
}

#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<SessionId, Lease>,
}

impl LeaseTable {
    /// A leader begins: whatever those before it granted, each of these may count on a whole lease from now.
    pub fn start_term(
        &mut self,
        sessions: impl Iterator<Item = SessionId>,
        now: Millis,
        limits: &Limits,
    ) {
        self.leases.clear();
        sessions.for_each(|session| self.grant(session, now, limits));
    }

    pub fn clear(&mut self) {
        self.leases.clear();
    }

    /// Counted from now, after what was granted was confirmed.
    pub fn grant(&mut self, session: SessionId, now: Millis, limits: &Limits) {
        let until = now + limits.granted_lease_duration();
        let lease = self.leases.entry(session);
        let lease = lease.or_insert(Lease {
            until,
            renewed: now,
            closing: false,
        });
        (lease.until, lease.renewed) = (lease.until.max(until), now);
    }

    /// Whether a session may be renewed.
    pub fn is_renewable(&self, session: SessionId) -> bool {
        self.leases
            .get(&session)
            .is_some_and(|lease| !lease.closing)
    }

    pub fn last_renewed_at(&self, session: SessionId) -> Option<Millis> {
        self.leases.get(&session).map(|lease| lease.renewed)
    }

    /// Sessions whose leases are over and whose end is not on its way.
    pub fn expired_sessions(&self, now: Millis) -> Vec<SessionId> {
        let over = self
            .leases
            .iter()
            .filter(|(_, lease)| !lease.closing && now >= lease.until);
        over.map(|(id, _)| *id).collect()
    }

    /// Sessions that were not heard for so long.
    pub fn silent_sessions(&self, now: Millis, least: Millis) -> Vec<SessionId> {
        let silent = self
            .leases
            .iter()
            .filter(|(_, lease)| now >= lease.renewed + least);
        silent.map(|(id, _)| *id).collect()
    }

    pub fn mark_closing(&mut self, session: SessionId) {
        if let Some(lease) = self.leases.get_mut(&session) {
            lease.closing = true;
        }
    }

    /// Keeps only sessions that there are.
    pub fn retain_sessions(&mut self, is_there: impl Fn(SessionId) -> bool) {
        self.leases.retain(|id, _| is_there(*id));
    }
}

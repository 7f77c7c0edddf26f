//! The session leases that a leader has granted. They are not replicated: a new leader waits for a whole lease of every
//! session.

use std::collections::BTreeMap;

use violetwind_consensus::Millis;

use crate::limits::Limits;
use crate::messages::SessionId;

#[derive(Clone, Debug)]
struct Lease {
    expires_at: Millis,
    renewed_at: Millis,
    /// The end of the session is in the log, committed or not, or is about to be proposed (a `Leave` sets this before
    /// its entry is proposed): the lease is never renewed again.
    is_closing: bool,
}

/// The leases of all sessions, by the clock of the leader.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<SessionId, Lease>,
}

impl LeaseTable {
    /// Starts the term of a new leader: each session gets a whole lease from now, whatever earlier leaders granted.
    pub fn start_term(
        &mut self,
        sessions: impl Iterator<Item = SessionId>,
        now: Millis,
        limits: &Limits,
    ) {
        self.leases.clear();
        sessions.for_each(|session| self.grant(session, now, limits));
    }

    /// Removes all leases, when this member no longer leads.
    pub fn clear(&mut self) {
        self.leases.clear();
    }

    /// Grants or renews a lease, counted from now; called after a majority has confirmed that this member leads.
    pub fn grant(&mut self, session: SessionId, now: Millis, limits: &Limits) {
        let expires_at = now + limits.granted_lease_duration();
        let lease = self.leases.entry(session);
        let lease = lease.or_insert(Lease {
            expires_at,
            renewed_at: now,
            is_closing: false,
        });
        (lease.expires_at, lease.renewed_at) = (lease.expires_at.max(expires_at), now);
    }

    /// Whether a session may be renewed.
    pub fn is_renewable(&self, session: SessionId) -> bool {
        self.leases
            .get(&session)
            .is_some_and(|lease| !lease.is_closing)
    }

    /// When the lease was last granted or renewed.
    pub fn last_renewed_at(&self, session: SessionId) -> Option<Millis> {
        self.leases.get(&session).map(|lease| lease.renewed_at)
    }

    /// Sessions whose leases have expired and that are not closing yet.
    pub fn expired_sessions(&self, now: Millis) -> Vec<SessionId> {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| !lease.is_closing && now >= lease.expires_at);
        expired.map(|(id, _)| *id).collect()
    }

    /// Sessions that have not been renewed for at least `min_silence` milliseconds.
    pub fn silent_sessions(&self, now: Millis, min_silence: Millis) -> Vec<SessionId> {
        let silent = self
            .leases
            .iter()
            .filter(|(_, lease)| now >= lease.renewed_at + min_silence);
        silent.map(|(id, _)| *id).collect()
    }

    /// Records that the end of the session is in the log or about to be proposed.
    pub fn mark_closing(&mut self, session: SessionId) {
        if let Some(lease) = self.leases.get_mut(&session) {
            lease.is_closing = true;
        }
    }

    /// Removes the leases of sessions that no longer exist.
    pub fn retain_sessions(&mut self, exists: impl Fn(SessionId) -> bool) {
        self.leases.retain(|id, _| exists(*id));
    }
}

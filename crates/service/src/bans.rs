//! Servers that operators ban. A ban overrides all sources: it stays in force when lists report the server as ready,
//! omit it or list it again, when the discovery service is replaced, and across an upgrade of the proxy.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Limits, Millis};

/// The banned servers and the servers that were unbanned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bans {
    /// Time of the ban of each banned server, by id.
    banned: BTreeMap<String, Millis>,
    /// Times of the last ban and unban of each unbanned server, by id.
    unbanned: BTreeMap<String, Unban>,
}

/// Times of a ban that was lifted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Unban {
    banned_at: Millis,
    unbanned_at: Millis,
}

/// Result of a change of the bans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    Changed,
    /// The requested state was already in force.
    Same,
    /// The limit of banned servers is reached.
    Full,
}

impl Bans {
    pub fn is_banned(&self, uid: &str) -> bool {
        self.banned.contains_key(uid)
    }

    /// Returns the number of banned servers.
    pub fn count(&self) -> usize {
        self.banned.len()
    }

    /// Returns the ids of the banned servers.
    pub fn banned_servers(&self) -> impl Iterator<Item = &str> {
        self.banned.keys().map(String::as_str)
    }

    /// Adopts the bans of an earlier process, whose times may come from another clock or from before a reboot of the
    /// machine: times in the future are set to `now`.
    pub fn with_times_clamped(mut self, now: Millis) -> Self {
        for banned_at in self.banned.values_mut() {
            *banned_at = (*banned_at).min(now);
        }
        for unban in self.unbanned.values_mut() {
            (unban.banned_at, unban.unbanned_at) =
                (unban.banned_at.min(now), unban.unbanned_at.min(now));
        }
        self
    }

    /// Bans a server until it is unbanned; repeated bans have no further effect.
    pub fn ban(&mut self, uid: &str, now: Millis, limits: &Limits) -> ChangeOutcome {
        if self.is_banned(uid) {
            return ChangeOutcome::Same;
        }
        if self.banned.len() >= limits.max_bans {
            return ChangeOutcome::Full;
        }
        self.unbanned.remove(uid);
        self.banned.insert(uid.to_string(), now);
        ChangeOutcome::Changed
    }

    /// Lifts the ban of a server, however often it was banned.
    pub fn unban(&mut self, uid: &str, now: Millis, limits: &Limits) -> ChangeOutcome {
        let Some(banned_at) = self.banned.remove(uid) else {
            return ChangeOutcome::Same;
        };
        if self.unbanned.len() >= limits.max_bans {
            // The server that was unbanned first is also the first to complete its slow start, so its entry is removed.
            let oldest = self
                .unbanned
                .iter()
                .min_by_key(|(_, entry)| entry.unbanned_at);
            if let Some(oldest_uid) = oldest.map(|(uid, _)| uid.clone()) {
                self.unbanned.remove(&oldest_uid);
            }
        }
        self.unbanned.insert(
            uid.to_string(),
            Unban {
                banned_at,
                unbanned_at: now,
            },
        );
        ChangeOutcome::Changed
    }

    /// Returns when a server last started, given the listed start time. The server may have been restarted while it was
    /// banned. Until the list shows a start time after the ban, the restart is assumed to be as late as possible, at
    /// the time of the unban.
    pub fn started_at(&self, uid: &str, listed_start: Option<Millis>) -> Option<Millis> {
        match self.unbanned.get(uid) {
            Some(unban) if listed_start.is_none_or(|start| start < unban.banned_at) => {
                Some(unban.unbanned_at)
            }
            _ => listed_start,
        }
    }
}

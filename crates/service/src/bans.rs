//! The servers that operators keep out. Their word is stronger than any source's: it outlives lists that
//! call the server ready, leave it out or list it again, another discovery, and an upgrade.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Limits, Millis};

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bans {
    /// Out, by id, since when.
    banned: BTreeMap<String, Millis>,
    /// Back, by id: when they went out and when they were called back.
    unbanned: BTreeMap<String, Unban>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Unban {
    banned_at: Millis,
    unbanned_at: Millis,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    Changed,
    /// It was so already.
    Same,
    /// As many as there may be are out.
    Full,
}

impl Bans {
    pub fn is_banned(&self, uid: &str) -> bool {
        self.banned.contains_key(uid)
    }

    pub fn count(&self) -> usize {
        self.banned.len()
    }

    /// The servers that are out.
    pub fn banned_servers(&self) -> impl Iterator<Item = &str> {
        self.banned.keys().map(String::as_str)
    }

    /// Takes over what an earlier process wrote down, which may have gone by another clock or before the machine was
    /// started anew: a time that is still to come counts as now.
    pub fn with_times_clamped(mut self, now: Millis) -> Self {
        for out in self.banned.values_mut() {
            *out = (*out).min(now);
        }
        for back in self.unbanned.values_mut() {
            (back.banned_at, back.unbanned_at) =
                (back.banned_at.min(now), back.unbanned_at.min(now));
        }
        self
    }

    /// Keeps a server out until it is called back, however often this is said.
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

    /// Uses a server again.
    pub fn unban(&mut self, uid: &str, now: Millis, limits: &Limits) -> ChangeOutcome {
        let Some(out) = self.banned.remove(uid) else {
            return ChangeOutcome::Same;
        };
        if self.unbanned.len() >= limits.max_bans {
            // The one that was called back longest ago is warm before any other.
            let oldest = self
                .unbanned
                .iter()
                .min_by_key(|(_, back)| back.unbanned_at);
            if let Some(oldest) = oldest.map(|(uid, _)| uid.clone()) {
                self.unbanned.remove(&oldest);
            }
        }
        self.unbanned.insert(
            uid.to_string(),
            Unban {
                banned_at: out,
                unbanned_at: now,
            },
        );
        ChangeOutcome::Changed
    }

    /// When a server last started, given what the list says. It was restarted while it was out; until
    /// the list shows a start since then it may have been at the last moment, when it was called back.
    pub fn started_at(&self, uid: &str, listed: Option<Millis>) -> Option<Millis> {
        match self.unbanned.get(uid) {
            Some(back) if listed.is_none_or(|at| at < back.banned_at) => Some(back.unbanned_at),
            _ => listed,
        }
    }
}

//! What the log has settled of one budget.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{BudgetDefinition, BudgetKind};
use crate::limits::StateLimits;
use crate::messages::{Name, Number, SessionId};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    pub units: u64,
    /// Grows when units do; a change names the one that it is made upon.
    pub version: u64,
}

/// Units of a session that has ended, which may be in use still.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StrandedUnits {
    pub member: Name,
    /// The process that had them.
    pub incarnation: Number,
    pub units: u64,
    /// That process is known to be gone, and its connections with it.
    pub is_process_gone: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetShares {
    /// In force.
    def: BudgetDefinition,
    /// The largest floor and the most members that any file has had: somebody may still go by them.
    floor: u64,
    members: u64,
    shares: BTreeMap<SessionId, Share>,
    stranded: BTreeMap<Number, StrandedUnits>,
}

impl BudgetShares {
    pub fn new(def: BudgetDefinition) -> Self {
        let (floor, members) = (def.floor, def.max_members);
        Self {
            def,
            floor,
            members,
            shares: BTreeMap::new(),
            stranded: BTreeMap::new(),
        }
    }

    pub fn definition(&self) -> &BudgetDefinition {
        &self.def
    }

    pub fn shares(&self) -> &BTreeMap<SessionId, Share> {
        &self.shares
    }

    pub fn stranded(&self) -> &BTreeMap<Number, StrandedUnits> {
        &self.stranded
    }

    /// Another file's word. The larger version is in force; of two that differ under one version nobody uses
    /// the larger whole.
    pub fn merge_definition(&mut self, def: &BudgetDefinition) {
        self.floor = self.floor.max(def.floor);
        self.members = self.members.max(def.max_members);
        if def.version > self.def.version {
            self.def = def.clone();
        } else if def.version == self.def.version && *def != self.def {
            self.def.total = self.def.total.min(def.total);
            self.def.floor = self.def.floor.min(def.floor);
            self.def.window = self.def.window.max(def.window);
            self.def.max_members = self.def.max_members.max(def.max_members);
            if def.kind != self.def.kind {
                // Neither can be kept by those that count the other way.
                self.def.total = 0;
            }
        }
    }

    /// So many members there are, whatever files say: each has a floor that it may use without asking.
    pub fn raise_max_members(&mut self, members: u64) {
        self.members = self.members.max(members);
    }

    /// What may be given beyond floors.
    pub fn pool(&self) -> u64 {
        self.def
            .total
            .saturating_sub(self.floor.saturating_mul(self.members))
    }

    pub fn allocated(&self) -> u64 {
        let shares: u64 = self.shares.values().map(|share| share.units).sum();
        shares
            + self
                .stranded
                .values()
                .map(|stranded| stranded.units)
                .sum::<u64>()
    }

    pub fn free(&self) -> u64 {
        self.pool().saturating_sub(self.allocated())
    }

    pub fn share(&self, session: SessionId) -> Share {
        self.shares.get(&session).copied().unwrap_or_default()
    }

    /// Whether the share was raised: only from what is free, and only upon the version named.
    pub fn raise_share(&mut self, session: SessionId, to: u64, version: u64) -> bool {
        let known = self.share(session);
        if known.version != version || to <= known.units || to - known.units > self.free() {
            return false;
        }
        self.shares.insert(
            session,
            Share {
                units: to,
                version: version + 1,
            },
        );
        true
    }

    /// Whether it was lowered, by its member's own word. That leaves the version: words that it uses less and less may
    /// follow each other without waiting, and a late one lowers nothing.
    pub fn lower_share(&mut self, session: SessionId, to: u64, version: u64) -> bool {
        match self.shares.get_mut(&session) {
            Some(known) if known.version == version && to < known.units => {
                known.units = to;
                true
            }
            _ => false,
        }
    }

    /// A session has ended: what `uses` says of it, or all of its share, is stranded under a new number.
    pub fn strand_share(
        &mut self,
        session: SessionId,
        (member, process): (&str, Number),
        uses: Option<u64>,
        number: Number,
    ) {
        let Some(share) = self.shares.remove(&session) else {
            return;
        };
        let units = uses.map_or(share.units, |uses| uses.min(share.units));
        if units == 0 {
            return;
        }
        if self.stranded.len() >= StateLimits::MAX_STRANDED_SHARES {
            // No unit is lost for want of room: it joins what the same member has there.
            let same = self
                .stranded
                .values_mut()
                .find(|known| known.member == member && !known.is_process_gone);
            let any = match same {
                Some(same) => Some(same),
                None => self
                    .stranded
                    .values_mut()
                    .find(|known| !known.is_process_gone),
            };
            if let Some(known) = any {
                known.units += units;
                return;
            }
        }
        let member = member.to_string();
        self.stranded.insert(
            number,
            StrandedUnits {
                member,
                incarnation: process,
                units,
                is_process_gone: false,
            },
        );
    }

    /// A process has a session again: what it had and still uses is its share. Units of processes of that name
    /// before it are gone with them.
    pub fn restore_share(
        &mut self,
        session: SessionId,
        (member, process): (&str, Number),
        uses: u64,
    ) {
        let mut had = 0;
        self.stranded.retain(|_, stranded| {
            if stranded.member != member {
                return true;
            }
            if stranded.incarnation != process {
                stranded.is_process_gone = true;
                return true;
            }
            had += stranded.units;
            false
        });
        let units = had.min(uses);
        if units > 0 {
            self.shares.insert(session, Share { units, version: 1 });
        }
    }

    /// Staff say that a member's machine is gone.
    pub fn mark_member_gone(&mut self, member: &str) {
        for stranded in self.stranded.values_mut() {
            stranded.is_process_gone |= stranded.member == member;
        }
    }

    /// What is not in use any more can be given again.
    pub fn release_stranded(&mut self, number: Number) {
        let rate = self.def.kind == BudgetKind::Rate;
        if self
            .stranded
            .get(&number)
            .is_some_and(|stranded| stranded.is_process_gone || rate)
        {
            self.stranded.remove(&number);
        }
    }

    /// Whether nothing of it is out.
    pub fn is_idle(&self) -> bool {
        self.shares.values().all(|share| share.units == 0) && self.stranded.is_empty()
    }
}

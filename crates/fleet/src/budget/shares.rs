//! The replicated state of one budget.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{BudgetDefinition, BudgetKind};
use crate::limits::StateLimits;
use crate::messages::{Name, Number, SessionId};

/// The part of a budget that a session may use beyond its floor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    pub units: u64,
    /// Incremented when the units are raised; a change carries the version that it is based on.
    pub version: u64,
}

/// Units of an ended session that may still be in use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StrandedUnits {
    pub member: Name,
    /// The process that the units were allocated to.
    pub incarnation: Number,
    pub units: u64,
    /// That process is known to have ended, and its connections with it.
    pub is_process_gone: bool,
}

/// One budget: the definition in force, the shares of all sessions, and the stranded units.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetShares {
    /// The definition in force.
    definition: BudgetDefinition,
    /// The largest floor and the largest number of members of any definition so far: a member may still use an older
    /// file.
    reserved_floor: u64,
    reserved_members: u64,
    shares: BTreeMap<SessionId, Share>,
    stranded: BTreeMap<Number, StrandedUnits>,
}

impl BudgetShares {
    /// A budget without shares.
    pub fn new(definition: BudgetDefinition) -> Self {
        let (reserved_floor, reserved_members) = (definition.floor, definition.max_members);
        Self {
            definition,
            reserved_floor,
            reserved_members,
            shares: BTreeMap::new(),
            stranded: BTreeMap::new(),
        }
    }

    pub fn definition(&self) -> &BudgetDefinition {
        &self.definition
    }

    pub fn shares(&self) -> &BTreeMap<SessionId, Share> {
        &self.shares
    }

    pub fn stranded(&self) -> &BTreeMap<Number, StrandedUnits> {
        &self.stranded
    }

    /// Merges the definition of another member's file. The larger version is in force; of two definitions that differ
    /// under the same version the stricter values apply, so that no member uses the larger total.
    pub fn merge_definition(&mut self, definition: &BudgetDefinition) {
        self.reserved_floor = self.reserved_floor.max(definition.floor);
        self.reserved_members = self.reserved_members.max(definition.max_members);
        if definition.version > self.definition.version {
            self.definition = definition.clone();
        } else if definition.version == self.definition.version && *definition != self.definition {
            self.definition.total = self.definition.total.min(definition.total);
            self.definition.floor = self.definition.floor.min(definition.floor);
            self.definition.window = self.definition.window.max(definition.window);
            self.definition.max_members = self.definition.max_members.max(definition.max_members);
            if definition.kind != self.definition.kind {
                // Members that count by one kind can't keep a total of the other kind.
                self.definition.total = 0;
            }
        }
    }

    /// Reserves floors for at least `members` members: each existing member may use its floor without a share, whatever
    /// number the definitions state.
    pub fn raise_max_members(&mut self, members: u64) {
        self.reserved_members = self.reserved_members.max(members);
    }

    /// Units that can be allocated beyond the reserved floors.
    pub fn pool(&self) -> u64 {
        self.definition
            .total
            .saturating_sub(self.reserved_floor.saturating_mul(self.reserved_members))
    }

    /// Units in shares and stranded units.
    pub fn allocated(&self) -> u64 {
        let shares: u64 = self.shares.values().map(|share| share.units).sum();
        shares
            + self
                .stranded
                .values()
                .map(|stranded| stranded.units)
                .sum::<u64>()
    }

    /// Units of the pool that can be allocated now.
    pub fn free(&self) -> u64 {
        self.pool().saturating_sub(self.allocated())
    }

    /// The share of a session; zero units at version 0 if it has none.
    pub fn share(&self, session: SessionId) -> Share {
        self.shares.get(&session).copied().unwrap_or_default()
    }

    /// Raises a share to `units`. Returns false and changes nothing if the free units don't suffice, the share is of
    /// another version, or it already has at least `units`.
    pub fn raise_share(&mut self, session: SessionId, units: u64, version: u64) -> bool {
        let known = self.share(session);
        if known.version != version || units <= known.units || units - known.units > self.free() {
            return false;
        }
        self.shares.insert(
            session,
            Share {
                units,
                version: version + 1,
            },
        );
        true
    }

    /// Lowers a share at the request of its member; returns whether it was lowered. The version stays, so that a member
    /// can send further requests to lower it without waiting for an answer; a request that was delayed until after the
    /// share was raised again names an older version and is ignored.
    pub fn lower_share(&mut self, session: SessionId, units: u64, version: u64) -> bool {
        match self.shares.get_mut(&session) {
            Some(known) if known.version == version && units < known.units => {
                known.units = units;
                true
            }
            _ => false,
        }
    }

    /// Removes the share of an ended session. The units that may still be in use are stranded under `number`: `in_use`
    /// of them if that is known, otherwise the whole share.
    pub fn strand_share(
        &mut self,
        session: SessionId,
        (member, process): (&str, Number),
        in_use: Option<u64>,
        number: Number,
    ) {
        let Some(share) = self.shares.remove(&session) else {
            return;
        };
        let units = in_use.map_or(share.units, |in_use| in_use.min(share.units));
        if units == 0 {
            return;
        }
        if self.stranded.len() >= StateLimits::MAX_STRANDED_SHARES {
            // At the limit of entries the units are added to an entry of the same member, or else to any other entry
            // whose process is not gone, so that no unit is lost.
            let same = self
                .stranded
                .values_mut()
                .find(|known| known.member == member && !known.is_process_gone);
            let mergeable = match same {
                Some(same) => Some(same),
                None => self
                    .stranded
                    .values_mut()
                    .find(|known| !known.is_process_gone),
            };
            if let Some(known) = mergeable {
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

    /// Converts stranded units of a process that has a new session back into a share, as far as they are in use; the
    /// others become free. For stranded units of earlier processes of the same name it records that the process is
    /// gone.
    pub fn restore_share(
        &mut self,
        session: SessionId,
        (member, process): (&str, Number),
        in_use: u64,
    ) {
        let mut stranded_units = 0;
        self.stranded.retain(|_, stranded| {
            if stranded.member != member {
                return true;
            }
            if stranded.incarnation != process {
                stranded.is_process_gone = true;
                return true;
            }
            stranded_units += stranded.units;
            false
        });
        let units = stranded_units.min(in_use);
        if units > 0 {
            self.shares.insert(session, Share { units, version: 1 });
        }
    }

    /// Records an operator's declaration that the machine of a member is gone.
    pub fn mark_member_gone(&mut self, member: &str) {
        for stranded in self.stranded.values_mut() {
            stranded.is_process_gone |= stranded.member == member;
        }
    }

    /// Frees stranded units whose process is gone. Those of a rate budget need no such proof: the caller releases them
    /// after a whole window.
    pub fn release_stranded(&mut self, number: Number) {
        let is_rate = self.definition.kind == BudgetKind::Rate;
        if self
            .stranded
            .get(&number)
            .is_some_and(|stranded| stranded.is_process_gone || is_rate)
        {
            self.stranded.remove(&number);
        }
    }

    /// Whether no units are allocated or stranded.
    pub fn is_idle(&self) -> bool {
        self.shares.values().all(|share| share.units == 0) && self.stranded.is_empty()
    }
}

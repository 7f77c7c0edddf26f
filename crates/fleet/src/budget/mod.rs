//! Budgets of the whole fleet. The log holds the shares ([`BudgetShares`]); members report their needs with each
//! renewal, and the leader divides the budgets by them ([`ShareAllocator`]); each member counts locally what it uses
//! and what it may use ([`Meters`]).
//!
//! Invariants:
//!
//! - *Never More Than The Whole*: the floors of all possible members, the shares and the stranded units never sum to
//!   more than the total in force. The log refuses any command that would break this. A share is raised for use only
//!   after the raise is in the log, and is lowered in the log only after its member has stopped using the units.
//! - *A Share Is A Lease*: it is valid as long as the session's lease, counted from before the request for it.
//! - *Stranded*: units of the share of an ended session that may still be in use stay reserved: of a rate budget for
//!   one whole window; of a concurrency budget until the same process reports what it still uses, another process of
//!   that name has started, or an operator declares the machine gone.

mod allocator;
mod meter;
mod shares;

use serde::{Deserialize, Serialize};
use violetwind_consensus::Millis;

pub use allocator::ShareAllocator;
pub use meter::{Acquisition, Meters, NeedLeftOpen, Part};
pub use shares::{BudgetShares, Share, StrandedUnits};

use crate::messages::Name;

/// How the units of a budget are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BudgetKind {
    /// The total bounds the units in use at the same time.
    Concurrent,
    /// The total bounds the units used within any time span as long as the window.
    Rate,
}

/// A budget as one configuration file defines it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetDefinition {
    pub name: Name,
    pub kind: BudgetKind,
    /// The units of the whole fleet.
    pub total: u64,
    /// Units that each member may use without a share.
    pub floor: u64,
    /// The window of a rate budget; unused for concurrency budgets.
    pub window: Millis,
    /// The largest number of members; a floor is reserved for each.
    pub max_members: u64,
    /// The definition with the largest version is in force.
    pub version: u64,
}

impl BudgetDefinition {
    /// Units that can be divided beyond the floors.
    pub fn pool(&self) -> u64 {
        self.total
            .saturating_sub(self.floor.saturating_mul(self.max_members))
    }

    /// Checks that the definition is consistent.
    ///
    /// # Errors
    /// The floors of all members exceed the total, or a rate budget has no window.
    pub fn validate(&self) -> Result<(), String> {
        let floors = self.floor.saturating_mul(self.max_members);
        if floors > self.total {
            let (floor, members, total) = (self.floor, self.max_members, self.total);
            return Err(format!(
                "floors of {floor} for {members} members are more than the whole, {total}"
            ));
        }
        if self.kind == BudgetKind::Rate && self.window == 0 {
            return Err("a rate needs a window".into());
        }
        Ok(())
    }
}

/// A member's report on one budget, sent with a renewal, in units beyond the member's floor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    pub budget: Name,
    /// Units in use; of a rate budget, units used within the window.
    pub in_use: u64,
    /// Units that the member would use if its share allowed it.
    pub wanted: u64,
}

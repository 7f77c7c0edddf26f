//! Budgets of the whole fleet. What is divided is in the log ([`Shares`]); who needs what is told with each renewal
//! and divided by the leader ([`Divider`]); what a member may use right now is its own to count ([`Meters`]).
//!
//! - *Never More Than The Whole*: floors of all possible members, shares, and what is stranded never sum to more
//!   than the whole in force. The log refuses any command that would break it. A share grows only after the log
//!   has it, and shrinks in the log only after its member has stopped using it.
//! - *A Share Is A Lease*: it counts as long as the session's lease, from before it was asked for.
//! - *Stranded*: what the share of a session that ended may still be in use for stays set aside: of a rate for a
//!   whole window; of units that are held until the same process says what it still uses, another process
//!   of that name has begun, or staff say that the machine is gone.

mod allocator;
mod meter;
mod shares;

use serde::{Deserialize, Serialize};
use violetwind_consensus::Millis;

pub use allocator::ShareAllocator;
pub use meter::{Acquisition, Meters, NeedLeftOpen, Part};
pub use shares::{BudgetShares, Share, StrandedUnits};

use crate::messages::Name;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BudgetKind {
    /// So many at once.
    Concurrent,
    /// So many in any span of the window's length.
    Rate,
}

/// A budget as one file has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetDefinition {
    pub name: Name,
    pub kind: BudgetKind,
    pub total: u64,
    /// What each member may use without asking.
    pub floor: u64,
    /// Of a rate.
    pub window: Millis,
    /// Members that there may be at most; their floors are set aside.
    pub max_members: u64,
    /// Of two files the one with the larger number is in force.
    pub version: u64,
}

impl BudgetDefinition {
    /// What can be divided beyond the floors.
    pub fn pool(&self) -> u64 {
        self.total
            .saturating_sub(self.floor.saturating_mul(self.max_members))
    }

    /// # Errors
    /// Floors that exceed the whole, or a rate without a window.
    pub fn validate(&self) -> Result<(), String> {
        let floors = self.floor.saturating_mul(self.max_members);
        if floors > self.total {
            let (floor, members, whole) = (self.floor, self.max_members, self.total);
            return Err(format!(
                "floors of {floor} for {members} members are more than the whole, {whole}"
            ));
        }
        if self.kind == BudgetKind::Rate && self.window == 0 {
            return Err("a rate needs a window".into());
        }
        Ok(())
    }
}

/// What a member tells of a budget with a renewal; units beyond its floor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    pub budget: Name,
    /// In use, or used within the window.
    pub in_use: u64,
    /// What it would use if it could.
    pub wanted: u64,
}

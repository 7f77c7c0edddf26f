//! Work orders: machines that staff want to work on are taken out, told as empty, worked on and put back, in an order
//! that the proxies of a fleet settle in their log. No I/O, no clock and no chance of its own.
//!
//! [`Belief`] is what one proxy goes by. [`Orders`] is what the log has settled: each change names the version of the machine that it is made upon, and
//! one that would break a bound is refused whoever asks for it. [`plan`] is what the proxy that conducts proposes next,
//! from what the proxies report, with a line of why for each machine that waits.
//!
//! - *Never Too Many Out*: at no instant are more machines out than the order allows, over what any proxy believes:
//!   one counts from before the first proxy hears that it goes until the last has confirmed that it is back.
//! - *Empty Means Empty*: a machine is told as empty after every proxy that may serve has confirmed, for this very
//!   going, that nothing new goes there and that it holds nothing there.
//! - *Once*: each machine of an order that has ended was told as empty once, or the list of what is left says why not.
//! - *Floor Held*: what is planned to be in has the room that the order's floor asks for, and some of each kind.
//! - *Nobody Forgotten*: whatever ends an order, what is still out is listed.

mod availability;
mod limits;
mod orders;
mod planner;
mod types;

pub use availability::{MachineAction, MachineAvailability};
pub use limits::OrderLimits;
pub use orders::{MachineProgress, Refusal, WorkOrders};
pub use planner::{MachineReport, Member, PlannedSteps, PlannerInput, plan_steps};
pub use types::{
    Bounds, FailureReason, FailureTolerance, ListedMachine, Machine, Millis, Name, Number, Phase,
    PhaseTimeouts, Server, Step, WorkOrder, WorkOrderChange,
};

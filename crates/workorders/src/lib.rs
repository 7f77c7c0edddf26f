//! Work orders: machines that need maintenance are taken out of service, drained, worked on and returned to service, in
//! a sequence that the proxies of a fleet agree on through their replicated log. The crate has no I/O, no clock and no
//! random numbers.
//!
//! [`MachineAvailability`] is the list of machines that one proxy has. [`WorkOrders`] is the replicated state: each
//! change names the version of the machine that it is based on, and a change that would violate a bound is refused, no
//! matter which member proposes it. [`plan_steps`] computes the steps that the coordinating proxy proposes next from
//! the reports of the proxies, with a reason for each machine that has to wait.
//!
//! Invariants:
//!
//! - *Never Too Many Out*: at no instant are more machines out than the order allows, counted over the lists of all
//!   proxies: a machine counts as out from before the first proxy is notified that it is taken out until the last one
//!   has confirmed that it is back.
//! - *Empty Means Empty*: a machine is reported as drained only after every proxy that may serve has confirmed, for
//!   this version of the machine's progress, that it sends no new connections there and has none left there.
//! - *Once*: each machine of an ended order was reported as drained once, or the list of remaining work states why not.
//! - *Floor Held*: the machines that are planned to be in service have the capacity that the order's floor requires,
//!   and some capacity of each kind.
//! - *Nobody Forgotten*: however an order ends, the machines that are still out are listed.

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

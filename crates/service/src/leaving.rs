//! How a proxy is emptied: its clients are moved, what still comes is taken until the front has stopped,
//! then turned away, and at last what waits gets its answer.

use std::time::Duration;

use violetwind_balancer::api::AdmissionMode;

use crate::Limits;

/// What is taken so long after the word to leave, and when that changes.
pub fn taking(since: Duration, limits: &Limits) -> (AdmissionMode, Option<Duration>) {
    if since < limits.leave_refuse {
        (AdmissionMode::All, Some(limits.leave_refuse))
    } else if since < limits.leave_last {
        (AdmissionMode::NothingNew, Some(limits.leave_last))
    } else {
        (AdmissionMode::Nothing, None)
    }
}

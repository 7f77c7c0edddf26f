//! How a proxy is emptied: its clients are moved, what still comes is taken until the front has stopped,
//! then turned away, and at last what waits gets its answer.

use std::time::Duration;

use violetwind_balancer::api::AdmissionMode;

use crate::Limits;

/// What is taken so long after the word to leave, and when that changes.
pub fn admission_during_drain(
    since: Duration,
    limits: &Limits,
) -> (AdmissionMode, Option<Duration>) {
    if since < limits.drain_refuse_new_after {
        (AdmissionMode::All, Some(limits.drain_refuse_new_after))
    } else if since < limits.drain_refuse_all_after {
        (
            AdmissionMode::NothingNew,
            Some(limits.drain_refuse_all_after),
        )
    } else {
        (AdmissionMode::Nothing, None)
    }
}

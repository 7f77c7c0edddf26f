//! Stages of a proxy's drain: its clients are moved; new requests are admitted until the front end has stopped sending
//! them and are refused after that; finally all waiting requests get an answer.

use std::time::Duration;

use violetwind_balancer::api::AdmissionMode;

use crate::Limits;

/// Returns the admission mode at a time since the start of the drain, and the time since the start at which it changes
/// next, if it does.
pub fn admission_during_drain(
    elapsed: Duration,
    limits: &Limits,
) -> (AdmissionMode, Option<Duration>) {
    if elapsed < limits.drain_refuse_new_after {
        (AdmissionMode::All, Some(limits.drain_refuse_new_after))
    } else if elapsed < limits.drain_refuse_all_after {
        (
            AdmissionMode::NothingNew,
            Some(limits.drain_refuse_all_after),
        )
    } else {
        (AdmissionMode::Nothing, None)
    }
}

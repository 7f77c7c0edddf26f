//! Linearizability checker: whether a history of calls is equivalent to a sequential one in which each call takes
//! effect at some moment between its invocation and its response (Herlihy and Wing, 1990; the search is Wing and
//! Gong's, 1993, with visited states memoized). It checks one register; independent registers are checked separately.

use std::collections::HashSet;

/// An operation on a register of one boolean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// A write of the value; it is `Certainty::Maybe` if it had no answer, or one other than success.
    Write(bool, Certainty),
    /// A read that returned the value.
    Read(bool),
}

/// Whether a write is known to have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Certainty {
    Yes,
    Maybe,
}

/// One call with the times of its invocation and its response. A call without a response ends at `u64::MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    pub what: Operation,
    pub from: u64,
    pub until: u64,
}

/// Maximum number of calls of one register that are checked. Of a longer history, only the first ones are checked.
pub const MAX_CHECKED_CALLS: usize = 60;

/// Whether the history of a register that begins as `false` is linearizable.
pub fn is_linearizable(history: &[Call]) -> bool {
    let mut calls: Vec<Call> = history.to_vec();
    calls.sort_by_key(|call| (call.from, call.until));
    if let Some(cut) = calls.get(MAX_CHECKED_CALLS).map(|call| call.from) {
        calls.truncate(MAX_CHECKED_CALLS);
        // Reads answered after the cut may have observed a write that was cut off.
        calls.retain(|call| call.until < cut || matches!(call.what, Operation::Write(..)));
    }
    let mut visited = HashSet::new();
    search(&calls, 0, false, &mut visited)
}

/// Searches for an order of the calls that are not in the bit set `done`, from a register that holds `value`.
fn search(calls: &[Call], done: u64, value: bool, visited: &mut HashSet<(u64, bool)>) -> bool {
    if !visited.insert((done, value)) {
        return false;
    }
    let remaining = || (0..calls.len()).filter(|at| done & (1 << at) == 0);
    // Writes that may be omitted at the end, because no response confirmed them.
    let is_optional = |call: &Call| matches!(call.what, Operation::Write(_, Certainty::Maybe));
    if remaining().all(|at| is_optional(&calls[at])) {
        return true;
    }
    // The next call in the order must have been invoked before any remaining call was answered.
    let first_response = remaining()
        .filter(|at| !is_optional(&calls[*at]))
        .map(|at| calls[at].until)
        .min()
        .unwrap_or(u64::MAX);
    remaining().any(|at| {
        let call = &calls[at];
        if call.from > first_response {
            return false;
        }
        match call.what {
            Operation::Read(observed) => {
                observed == value && search(calls, done | 1 << at, value, visited)
            }
            Operation::Write(to, _) => search(calls, done | 1 << at, to, visited),
        }
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(what: Operation, from: u64, until: u64) -> Call {
        Call { what, from, until }
    }

    #[test]
    fn distinguishes_linearizable_from_other_histories() {
        let write = |to| Operation::Write(to, Certainty::Yes);
        let overlapping = [
            call(write(true), 0, 10),
            call(Operation::Read(false), 2, 4),
            call(Operation::Read(true), 5, 9),
        ];
        assert!(is_linearizable(&overlapping));
        // The old value is read after the new one was read.
        let reversed = [
            call(write(true), 0, 10),
            call(Operation::Read(true), 2, 4),
            call(Operation::Read(false), 5, 9),
        ];
        assert!(!is_linearizable(&reversed));
        // The old value is read after the write was answered.
        let stale = [
            call(write(true), 0, 10),
            call(Operation::Read(false), 11, 12),
        ];
        assert!(!is_linearizable(&stale));
        // A write without a response may take effect late, or never.
        let maybe = call(Operation::Write(true, Certainty::Maybe), 0, u64::MAX);
        assert!(is_linearizable(&[
            maybe,
            call(Operation::Read(false), 5, 6)
        ]));
        assert!(is_linearizable(&[
            maybe,
            call(Operation::Read(false), 5, 6),
            call(Operation::Read(true), 50, 60)
        ]));
        assert!(!is_linearizable(&[
            maybe,
            call(Operation::Read(true), 5, 6),
            call(Operation::Read(false), 50, 60)
        ]));
    }
}

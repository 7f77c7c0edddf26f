//! Whether a history of calls could have happened one at a time: each at some moment between its call and its answer
//! (Herlihy and Wing, 1990; the search is Wing and Gong's, 1993, with the states that were seen remembered). For one
//! register; registers that do not touch each other are checked one by one.

use std::collections::HashSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// It was set; if the answer was none, or no word of success, maybe not.
    Write(bool, Certainty),
    /// It was seen to be so.
    Read(bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Certainty {
    Yes,
    Maybe,
}

/// One call: when it was made, and when its answer came; an answer that never came is one at the end of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    pub what: Operation,
    pub from: u64,
    pub until: u64,
}

/// Calls of one register that are looked at together; of a longer history so many first ones are.
pub const MAX_CHECKED_CALLS: usize = 60;

/// Whether there is an order of the calls, from a register that begins as `false`.
pub fn is_linearizable(history: &[Call]) -> bool {
    let mut calls: Vec<Call> = history.to_vec();
    calls.sort_by_key(|call| (call.from, call.until));
    if let Some(cut) = calls.get(MAX_CHECKED_CALLS).map(|call| call.from) {
        calls.truncate(MAX_CHECKED_CALLS);
        // What was answered later may have seen something of the rest.
        calls.retain(|call| call.until < cut || matches!(call.what, Operation::Write(..)));
    }
    let mut seen = HashSet::new();
    search(&calls, 0, false, &mut seen)
}

fn search(calls: &[Call], done: u64, value: bool, seen: &mut HashSet<(u64, bool)>) -> bool {
    if !seen.insert((done, value)) {
        return false;
    }
    let left = || (0..calls.len()).filter(|at| done & (1 << at) == 0);
    // What may be left out at the end, as nobody was told that it happened.
    let maybe = |call: &Call| matches!(call.what, Operation::Write(_, Certainty::Maybe));
    if left().all(|at| maybe(&calls[at])) {
        return true;
    }
    // Whatever comes next was called before any of the rest was answered.
    let first = left()
        .filter(|at| !maybe(&calls[*at]))
        .map(|at| calls[at].until)
        .min()
        .unwrap_or(u64::MAX);
    left().any(|at| {
        let call = &calls[at];
        if call.from > first {
            return false;
        }
        match call.what {
            Operation::Read(saw) => saw == value && search(calls, done | 1 << at, value, seen),
            Operation::Write(to, _) => search(calls, done | 1 << at, to, seen),
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
    fn histories_that_could_have_been_and_others_are_told_apart() {
        let write = |to| Operation::Write(to, Certainty::Yes);
        let overlapping = [
            call(write(true), 0, 10),
            call(Operation::Read(false), 2, 4),
            call(Operation::Read(true), 5, 9),
        ];
        assert!(is_linearizable(&overlapping));
        // The old value after the new one was seen.
        let back = [
            call(write(true), 0, 10),
            call(Operation::Read(true), 2, 4),
            call(Operation::Read(false), 5, 9),
        ];
        assert!(!is_linearizable(&back));
        // The old value after the write was answered.
        let stale = [
            call(write(true), 0, 10),
            call(Operation::Read(false), 11, 12),
        ];
        assert!(!is_linearizable(&stale));
        // One that nobody answered may come late, or never.
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

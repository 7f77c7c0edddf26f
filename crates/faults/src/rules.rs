//! The rules of a control file, and which of them a call meets.

use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It fails with this `errno` and does nothing.
    Fail(i32),
    /// A write puts half of its bytes in place, then fails.
    FailHalfway(i32),
    /// It handles at most so many bytes.
    Short(usize),
}

#[derive(Debug)]
struct Rule {
    call: String,
    effect: Effect,
    /// How many of a thousand calls meet it.
    per_mille: u64,
    /// Only calls on files whose path holds this text.
    path: Option<String>,
}

/// All rules in force.
#[derive(Debug, Default)]
pub struct Rules {
    rules: Vec<Rule>,
    seed: u64,
    /// Added to the wall clock, in nanoseconds.
    pub clock_step_nanos: i64,
}

static IN_FORCE: AtomicPtr<Rules> = AtomicPtr::new(std::ptr::null_mut());
static CALLS: AtomicU64 = AtomicU64::new(0);

/// The rules that hold now.
pub fn current() -> Option<&'static Rules> {
    let rules = IN_FORCE.load(Ordering::Acquire);
    // SAFETY: the pointer is null or came from `Box::into_raw` in `set`, and is never freed.
    unsafe { rules.as_ref() }
}

/// Puts rules in force. Old ones are leaked: another thread may be reading them.
pub fn install(rules: Rules) {
    IN_FORCE.store(Box::into_raw(Box::new(rules)), Ordering::Release);
}

/// Reads a control file. Each line is one of
///
/// ```text
/// seed NUMBER
/// clock MILLISECONDS
/// fail CALL ERRNO PER_MILLE [PATH]
/// halfway CALL ERRNO PER_MILLE [PATH]
/// short CALL MOST_BYTES PER_MILLE
/// # anything
/// ```
pub fn parse(text: &str) -> Option<Rules> {
    let mut rules = Rules::default();
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            [] => {}
            [first, ..] if first.starts_with('#') => {}
            ["seed", seed] => rules.seed = seed.parse().ok()?,
            ["clock", step] => rules.clock_step_nanos = step.parse::<i64>().ok()? * 1_000_000,
            [kind, call, what, per_mille, path @ ..] => rules.rules.push(Rule {
                call: call.to_string(),
                effect: effect(kind, what)?,
                per_mille: per_mille.parse().ok()?,
                path: path.first().map(ToString::to_string),
            }),
            _ => return None,
        }
    }
    Some(rules)
}

fn effect(kind: &str, what: &str) -> Option<Effect> {
    match kind {
        "fail" => Some(Effect::Fail(errno(what)?)),
        "halfway" => Some(Effect::FailHalfway(errno(what)?)),
        "short" => Some(Effect::Short(what.parse().ok().filter(|most| *most > 0)?)),
        _ => None,
    }
}

fn errno(name: &str) -> Option<i32> {
    Some(match name {
        "EINTR" => libc::EINTR,
        "EIO" => libc::EIO,
        "ENOSPC" => libc::ENOSPC,
        "ENOBUFS" => libc::ENOBUFS,
        "ENOMEM" => libc::ENOMEM,
        "ENFILE" => libc::ENFILE,
        "EMFILE" => libc::EMFILE,
        "EPROTO" => libc::EPROTO,
        "ECONNABORTED" => libc::ECONNABORTED,
        "ECONNRESET" => libc::ECONNRESET,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ENETUNREACH" => libc::ENETUNREACH,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        "EAGAIN" => libc::EAGAIN,
        _ => return None,
    })
}

impl Rules {
    /// What a call meets; the first rule that applies counts. `path` is asked only where a rule wants to know.
    pub fn select_effect(&self, call: &str, path: impl Fn() -> Option<String>) -> Option<Effect> {
        for rule in self.rules.iter().filter(|rule| rule.call == call) {
            let on_path = |wanted: &String| path().is_some_and(|path| path.contains(wanted));
            if rule.path.as_ref().is_none_or(on_path) && self.draw() < rule.per_mille {
                return Some(rule.effect);
            }
        }
        None
    }

    /// A number below 1000 by the seed and the count of calls so far (splitmix64).
    fn draw(&self) -> u64 {
        let count = CALLS.fetch_add(1, Ordering::Relaxed);
        let mut mixed = (self.seed ^ count).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % 1000
    }
}

//! Parses the rules of a control file and selects the rule that applies to a call.

use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

/// The effect of a rule on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call fails with this `errno` and has no effect.
    Fail(i32),
    /// The call transfers half of its bytes, then fails with this `errno`; `writev` fails without a transfer. Calls
    /// that transfer no bytes ignore this effect.
    FailHalfway(i32),
    /// The call transfers at most this number of bytes. Calls that transfer no bytes ignore this effect.
    Short(usize),
}

#[derive(Debug)]
struct Rule {
    call: String,
    effect: Effect,
    /// How many of a thousand calls the rule applies to.
    per_mille: u64,
    /// Restricts the rule to files whose path contains this text.
    path: Option<String>,
}

/// The rules of a control file.
#[derive(Debug, Default)]
pub struct Rules {
    rules: Vec<Rule>,
    seed: u64,
    /// Added to the wall clock, in nanoseconds.
    pub clock_step_nanos: i64,
}

static IN_FORCE: AtomicPtr<Rules> = AtomicPtr::new(std::ptr::null_mut());
static DRAW_COUNT: AtomicU64 = AtomicU64::new(0);

/// The rules currently in force, if any.
pub fn current() -> Option<&'static Rules> {
    let rules = IN_FORCE.load(Ordering::Acquire);
    // SAFETY: the pointer is null or came from `Box::into_raw` in `install`, and is never freed.
    unsafe { rules.as_ref() }
}

/// Puts rules in force. Old ones are leaked: another thread may be reading them.
pub fn install(rules: Rules) {
    IN_FORCE.store(Box::into_raw(Box::new(rules)), Ordering::Release);
}

/// Parses a control file; `None` if a line is invalid. Each line is one of
///
/// ```text
/// seed NUMBER
/// clock MILLISECONDS
/// fail CALL ERRNO PER_MILLE [PATH]
/// halfway CALL ERRNO PER_MILLE [PATH]
/// short CALL MAX_BYTES PER_MILLE [PATH]
/// # COMMENT
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
            [kind, call, argument, per_mille, path @ ..] => rules.rules.push(Rule {
                call: call.to_string(),
                effect: parse_effect(kind, argument)?,
                per_mille: per_mille.parse().ok()?,
                path: path.first().map(ToString::to_string),
            }),
            _ => return None,
        }
    }
    Some(rules)
}

fn parse_effect(kind: &str, argument: &str) -> Option<Effect> {
    match kind {
        "fail" => Some(Effect::Fail(errno(argument)?)),
        "halfway" => Some(Effect::FailHalfway(errno(argument)?)),
        "short" => Some(Effect::Short(
            argument.parse().ok().filter(|bytes| *bytes > 0)?,
        )),
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
    /// The effect of the first rule that applies to a call. `path` is evaluated only for rules restricted to a path.
    pub fn select_effect(&self, call: &str, path: impl Fn() -> Option<String>) -> Option<Effect> {
        for rule in self.rules.iter().filter(|rule| rule.call == call) {
            let path_matches = |pattern: &String| path().is_some_and(|path| path.contains(pattern));
            if rule.path.as_ref().is_none_or(path_matches) && self.draw() < rule.per_mille {
                return Some(rule.effect);
            }
        }
        None
    }

    /// A pseudorandom number below 1000, derived from the seed and the number of draws so far (splitmix64).
    fn draw(&self) -> u64 {
        let count = DRAW_COUNT.fetch_add(1, Ordering::Relaxed);
        let mut mixed = (self.seed ^ count).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % 1000
    }
}

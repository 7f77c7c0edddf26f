//! The operators' calls: one line in, one verb and at most one id.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use winnow::Parser;
use winnow::ascii::{space0, space1};
use winnow::combinator::{delimited, separated};
use winnow::error::ContextError;
use winnow::token::take_while;

use crate::Limits;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Health,
    Change(Change),
    Fleet(Fleet),
}

/// What is asked of the fleet at one of its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fleet {
    Show,
    LetIn(String),
    PutOut(String),
    HandOn {
        duty: String,
        to: Option<String>,
    },
    /// A program that `token` names works on a duty.
    Hold {
        duty: String,
        token: String,
    },
    Done {
        duty: String,
        token: String,
    },
    Gone(String),
    /// One unit of a budget, for so long in milliseconds where it is held.
    Take {
        budget: String,
        token: String,
        within_ms: Option<u64>,
    },
    Give {
        budget: String,
        token: String,
    },
    Work(Work),
}

/// What staff want of orders for work on machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    Show,
    Plan(Plan),
    /// Of one order, or of all.
    Pause(Option<u64>),
    Resume(Option<u64>),
    Cancel(Option<u64>),
    Done(String),
    Failed(String),
    Recall(String),
}

/// An order as staff word it; what is not said has its default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    pub name: String,
    pub machines: BTreeSet<String>,
    pub most: u32,
    pub zone_most: u32,
    /// Thousandths.
    pub floor: u32,
    /// What may be lost besides: `nothing`, `machine` or `zone`.
    pub spare: String,
    /// Staff say when an empty machine is done.
    pub wait: bool,
    /// Unix time in milliseconds.
    pub not_before: u64,
    pub leave_ms: u64,
    pub work_ms: u64,
    pub back_ms: u64,
}

/// What operators have changed; it binds a proxy and its successor alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    Offline(String),
    Online(String),
    Leave,
    Join,
}

/// Why a line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    TooLong,
    NotText,
    Unknown,
    NoId,
    LongId,
    TooMany,
    NoFleetCall,
    NoWorkCall,
    NoMachines,
    NoBound,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            Self::TooLong => "the line is too long",
            Self::NotText => "the line is no printable text",
            Self::Unknown => "unknown call: HEALTH, OFFLINE ID, ONLINE ID, LEAVE or JOIN",
            Self::NoId => "the id of a server is missing",
            Self::LongId => "the id is too long",
            Self::TooMany => "too many words",
            Self::NoFleetCall => {
                "after FLEET: nothing, LET-IN NODE, PUT-OUT NODE, GONE NODE, HAND-ON DUTY [NODE], HOLD DUTY TOKEN, \
                 DONE DUTY TOKEN, TAKE BUDGET TOKEN [MS], GIVE BUDGET TOKEN or WORK"
            }
            Self::NoWorkCall => {
                "after FLEET WORK: nothing, PLAN NAME MACHINES [BOUND=NUMBER]..., PAUSE [ORDER], RESUME [ORDER], \
                 CANCEL [ORDER], DONE MACHINE, FAILED MACHINE or RECALL MACHINE"
            }
            Self::NoMachines => {
                "machines are names with commas between them, or ranges such as m-1..m-12, 1000 at most"
            }
            Self::NoBound => {
                "bounds are most, zone-most (1 and more), floor (0 to 1000), wait (0 or 1), not-before (ms since 1970), \
                 leave, work and back (ms), each with a number, and spare (nothing, machine or zone), once"
            }
        })
    }
}

/// Reads calls in pieces of any size.
#[derive(Debug, Default)]
pub struct Calls {
    held: Vec<u8>,
}

impl Calls {
    /// Takes what came; the call once its line is whole. What follows the line is passed over.
    pub fn feed(&mut self, bytes: &[u8], limits: &Limits) -> Option<Result<Call, Fault>> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let piece = &bytes[..end.unwrap_or(bytes.len())];
        if self.held.len() + piece.len() >= limits.call_bytes {
            return Some(Err(Fault::TooLong));
        }
        self.held.extend_from_slice(piece);
        end.map(|_| {
            let line = self.held.strip_suffix(b"\r").unwrap_or(&self.held);
            read(line, limits)
        })
    }
}

/// Reads a line without its end.
pub fn read(line: &[u8], limits: &Limits) -> Result<Call, Fault> {
    let text = std::str::from_utf8(line).map_err(|_| Fault::NotText)?;
    if text.chars().any(char::is_control) {
        return Err(Fault::NotText);
    }
    let word = take_while::<_, _, ContextError>(1.., |c: char| c != ' ');
    let words: Vec<&str> = delimited(space0, separated(0.., word, space1), space0)
        .parse(text)
        .map_err(|_| Fault::Unknown)?;
    if let Some((&"FLEET", rest)) = words.split_first() {
        return fleet(rest, limits).map(Call::Fleet);
    }
    let (verb, id) = match words[..] {
        [] => return Err(Fault::Unknown),
        [verb] => (verb, None),
        [verb, id] => (verb, Some(id)),
        _ => return Err(Fault::TooMany),
    };
    let named = |change: fn(String) -> Change| match id {
        None => Err(Fault::NoId),
        Some(id) if id.len() > limits.id_bytes => Err(Fault::LongId),
        Some(id) => Ok(Call::Change(change(id.to_string()))),
    };
    let alone = |call: Call| match id {
        None => Ok(call),
        Some(_) => Err(Fault::TooMany),
    };
    match verb {
        "HEALTH" => alone(Call::Health),
        "LEAVE" => alone(Call::Change(Change::Leave)),
        "JOIN" => alone(Call::Change(Change::Join)),
        "OFFLINE" => named(Change::Offline),
        "ONLINE" => named(Change::Online),
        _ => Err(Fault::Unknown),
    }
}

fn fleet(words: &[&str], limits: &Limits) -> Result<Fleet, Fault> {
    if words.iter().any(|word| word.len() > limits.id_bytes) {
        return Err(Fault::LongId);
    }
    let own = |word: &str| word.to_string();
    Ok(match *words {
        [] => Fleet::Show,
        ["LET-IN", node] => Fleet::LetIn(own(node)),
        ["PUT-OUT", node] => Fleet::PutOut(own(node)),
        ["HAND-ON", duty] => Fleet::HandOn {
            duty: own(duty),
            to: None,
        },
        ["HAND-ON", duty, to] => Fleet::HandOn {
            duty: own(duty),
            to: Some(own(to)),
        },
        ["HOLD", duty, token] => Fleet::Hold {
            duty: own(duty),
            token: own(token),
        },
        ["DONE", duty, token] => Fleet::Done {
            duty: own(duty),
            token: own(token),
        },
        ["GONE", node] => Fleet::Gone(own(node)),
        ["TAKE", budget, token] => Fleet::Take {
            budget: own(budget),
            token: own(token),
            within_ms: None,
        },
        ["TAKE", budget, token, within] => {
            let within = within.parse().map_err(|_| Fault::NoFleetCall)?;
            Fleet::Take {
                budget: own(budget),
                token: own(token),
                within_ms: Some(within),
            }
        }
        ["GIVE", budget, token] => Fleet::Give {
            budget: own(budget),
            token: own(token),
        },
        ["WORK", ref rest @ ..] => Fleet::Work(work(rest, limits)?),
        _ => return Err(Fault::NoFleetCall),
    })
}

fn work(words: &[&str], limits: &Limits) -> Result<Work, Fault> {
    let own = |word: &str| word.to_string();
    let order = |words: &[&str]| match words {
        [] => Ok(None),
        [number] => number.parse().map(Some).map_err(|_| Fault::NoWorkCall),
        _ => Err(Fault::TooMany),
    };
    Ok(match *words {
        [] => Work::Show,
        ["PLAN", name, machines, ref bounds @ ..] => {
            Work::Plan(plan(name, machines, bounds, limits)?)
        }
        ["PAUSE", ref rest @ ..] => Work::Pause(order(rest)?),
        ["RESUME", ref rest @ ..] => Work::Resume(order(rest)?),
        ["CANCEL", ref rest @ ..] => Work::Cancel(order(rest)?),
        ["DONE", machine] => Work::Done(own(machine)),
        ["FAILED", machine] => Work::Failed(own(machine)),
        ["RECALL", machine] => Work::Recall(own(machine)),
        _ => return Err(Fault::NoWorkCall),
    })
}

fn plan(name: &str, list: &str, bounds: &[&str], limits: &Limits) -> Result<Plan, Fault> {
    let hour = 3_600_000;
    let mut plan = Plan {
        name: name.to_string(),
        machines: machines(list, limits)?,
        most: 1,
        zone_most: 1,
        floor: 800,
        spare: "nothing".into(),
        wait: true,
        not_before: 0,
        leave_ms: hour / 4,
        work_ms: 12 * hour,
        back_ms: hour / 2,
    };
    let mut said = BTreeSet::new();
    for bound in bounds {
        let (key, number) = bound.split_once('=').ok_or(Fault::NoBound)?;
        if key == "spare" && ["nothing", "machine", "zone"].contains(&number) && said.insert(key) {
            plan.spare = number.into();
            continue;
        }
        let number: u64 = number.parse().map_err(|_| Fault::NoBound)?;
        let small = |from: u64, to: u64| match (from..=to).contains(&number) {
            true => Ok(number as u32),
            false => Err(Fault::NoBound),
        };
        match key {
            _ if !said.insert(key) => return Err(Fault::NoBound),
            "most" => plan.most = small(1, 10_000)?,
            "zone-most" => plan.zone_most = small(1, 10_000)?,
            "floor" => plan.floor = small(0, 1000)?,
            "wait" => plan.wait = small(0, 1)? == 1,
            "not-before" => plan.not_before = number,
            "leave" => plan.leave_ms = number,
            "work" => plan.work_ms = number,
            "back" => plan.back_ms = number,
            _ => return Err(Fault::NoBound),
        }
    }
    Ok(plan)
}

/// Names with commas between them; of a range both ends have the same words around a number.
pub fn machines(list: &str, limits: &Limits) -> Result<BTreeSet<String>, Fault> {
    let mut names = BTreeSet::new();
    for part in list.split(',') {
        match part.split_once("..") {
            None if part.is_empty() => return Err(Fault::NoMachines),
            None => drop(names.insert(part.to_string())),
            Some((first, last)) => {
                let number = |name: &str| {
                    let digits = name.bytes().rev().take_while(u8::is_ascii_digit).count();
                    let (stem, number) = name.split_at(name.len() - digits);
                    Some((
                        stem.to_string(),
                        number.len(),
                        number.parse::<usize>().ok()?,
                    ))
                };
                let ends = number(first).zip(number(last));
                let ((stem, width, from), (other, _, to)) = ends.ok_or(Fault::NoMachines)?;
                if stem != other || from > to || to - from >= limits.machines {
                    return Err(Fault::NoMachines);
                }
                // As wide as the first: m-01..m-12 begins with a nought.
                names.extend((from..=to).map(|at| format!("{stem}{at:0width$}")));
            }
        }
    }
    match names.len() <= limits.machines {
        true => Ok(names),
        false => Err(Fault::NoMachines),
    }
}

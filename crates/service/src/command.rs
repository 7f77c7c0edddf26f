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
pub enum OperatorCommand {
    Health,
    Change(OperatorChange),
    Fleet(FleetCommand),
}

/// What is asked of the fleet at one of its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetCommand {
    Show,
    AdmitMember(String),
    EvictMember(String),
    HandOffDuty {
        duty: String,
        to: Option<String>,
    },
    /// A program that `token` names works on a duty.
    HoldDuty {
        duty: String,
        token: String,
    },
    ReleaseDuty {
        duty: String,
        token: String,
    },
    DeclareMemberLost(String),
    /// One unit of a budget, for so long in milliseconds where it is held.
    AcquireUnit {
        budget: String,
        token: String,
        lease_ms: Option<u64>,
    },
    ReleaseUnit {
        budget: String,
        token: String,
    },
    Work(WorkCommand),
}

/// What staff want of orders for work on machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkCommand {
    Show,
    Plan(WorkOrderSpec),
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
pub struct WorkOrderSpec {
    pub name: String,
    pub machines: BTreeSet<String>,
    pub max_out: u32,
    pub max_out_per_zone: u32,
    /// Thousandths.
    pub min_capacity_permille: u32,
    /// What may be lost besides: `nothing`, `machine` or `zone`.
    pub failure_tolerance: String,
    /// Staff say when an empty machine is done.
    pub waits_for_done: bool,
    /// Unix time in milliseconds.
    pub not_before: u64,
    pub drain_timeout_ms: u64,
    pub work_timeout_ms: u64,
    pub return_timeout_ms: u64,
}

/// What operators have changed; it binds a proxy and its successor alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorChange {
    Offline(String),
    Online(String),
    Leave,
    Join,
}

/// Why a line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    TooLong,
    NotText,
    Unknown,
    MissingId,
    IdTooLong,
    TooManyWords,
    InvalidFleetCommand,
    InvalidWorkCommand,
    InvalidMachines,
    InvalidBound,
}

impl fmt::Display for CommandError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            Self::TooLong => "the line is too long",
            Self::NotText => "the line is no printable text",
            Self::Unknown => "unknown call: HEALTH, OFFLINE ID, ONLINE ID, LEAVE or JOIN",
            Self::MissingId => "the id of a server is missing",
            Self::IdTooLong => "the id is too long",
            Self::TooManyWords => "too many words",
            Self::InvalidFleetCommand => {
                "after FLEET: nothing, LET-IN NODE, PUT-OUT NODE, GONE NODE, HAND-ON DUTY [NODE], HOLD DUTY TOKEN, \
                 DONE DUTY TOKEN, TAKE BUDGET TOKEN [MS], GIVE BUDGET TOKEN or WORK"
            }
            Self::InvalidWorkCommand => {
                "after FLEET WORK: nothing, PLAN NAME MACHINES [BOUND=NUMBER]..., PAUSE [ORDER], RESUME [ORDER], \
                 CANCEL [ORDER], DONE MACHINE, FAILED MACHINE or RECALL MACHINE"
            }
            Self::InvalidMachines => {
                "machines are names with commas between them, or ranges such as m-1..m-12, 1000 at most"
            }
            Self::InvalidBound => {
                "bounds are most, zone-most (1 and more), floor (0 to 1000), wait (0 or 1), not-before (ms since 1970), \
                 leave, work and back (ms), each with a number, and spare (nothing, machine or zone), once"
            }
        })
    }
}

/// Reads calls in pieces of any size.
#[derive(Debug, Default)]
pub struct CommandDecoder {
    buffer: Vec<u8>,
}

impl CommandDecoder {
    /// Takes what came; the call once its line is whole. What follows the line is passed over.
    pub fn feed(
        &mut self,
        bytes: &[u8],
        limits: &Limits,
    ) -> Option<Result<OperatorCommand, CommandError>> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let piece = &bytes[..end.unwrap_or(bytes.len())];
        if self.buffer.len() + piece.len() >= limits.max_command_bytes {
            return Some(Err(CommandError::TooLong));
        }
        self.buffer.extend_from_slice(piece);
        end.map(|_| {
            let line = self.buffer.strip_suffix(b"\r").unwrap_or(&self.buffer);
            parse_command(line, limits)
        })
    }
}

/// Reads a line without its end.
pub fn parse_command(line: &[u8], limits: &Limits) -> Result<OperatorCommand, CommandError> {
    let text = std::str::from_utf8(line).map_err(|_| CommandError::NotText)?;
    if text.chars().any(char::is_control) {
        return Err(CommandError::NotText);
    }
    let word = take_while::<_, _, ContextError>(1.., |c: char| c != ' ');
    let words: Vec<&str> = delimited(space0, separated(0.., word, space1), space0)
        .parse(text)
        .map_err(|_| CommandError::Unknown)?;
    if let Some((&"FLEET", rest)) = words.split_first() {
        return parse_fleet_command(rest, limits).map(OperatorCommand::Fleet);
    }
    let (verb, id) = match words[..] {
        [] => return Err(CommandError::Unknown),
        [verb] => (verb, None),
        [verb, id] => (verb, Some(id)),
        _ => return Err(CommandError::TooManyWords),
    };
    let named = |change: fn(String) -> OperatorChange| match id {
        None => Err(CommandError::MissingId),
        Some(id) if id.len() > limits.max_id_bytes => Err(CommandError::IdTooLong),
        Some(id) => Ok(OperatorCommand::Change(change(id.to_string()))),
    };
    let alone = |call: OperatorCommand| match id {
        None => Ok(call),
        Some(_) => Err(CommandError::TooManyWords),
    };
    match verb {
        "HEALTH" => alone(OperatorCommand::Health),
        "LEAVE" => alone(OperatorCommand::Change(OperatorChange::Leave)),
        "JOIN" => alone(OperatorCommand::Change(OperatorChange::Join)),
        "OFFLINE" => named(OperatorChange::Offline),
        "ONLINE" => named(OperatorChange::Online),
        _ => Err(CommandError::Unknown),
    }
}

fn parse_fleet_command(words: &[&str], limits: &Limits) -> Result<FleetCommand, CommandError> {
    if words.iter().any(|word| word.len() > limits.max_id_bytes) {
        return Err(CommandError::IdTooLong);
    }
    let own = |word: &str| word.to_string();
    Ok(match *words {
        [] => FleetCommand::Show,
        ["LET-IN", node] => FleetCommand::AdmitMember(own(node)),
        ["PUT-OUT", node] => FleetCommand::EvictMember(own(node)),
        ["HAND-ON", duty] => FleetCommand::HandOffDuty {
            duty: own(duty),
            to: None,
        },
        ["HAND-ON", duty, to] => FleetCommand::HandOffDuty {
            duty: own(duty),
            to: Some(own(to)),
        },
        ["HOLD", duty, token] => FleetCommand::HoldDuty {
            duty: own(duty),
            token: own(token),
        },
        ["DONE", duty, token] => FleetCommand::ReleaseDuty {
            duty: own(duty),
            token: own(token),
        },
        ["GONE", node] => FleetCommand::DeclareMemberLost(own(node)),
        ["TAKE", budget, token] => FleetCommand::AcquireUnit {
            budget: own(budget),
            token: own(token),
            lease_ms: None,
        },
        ["TAKE", budget, token, within] => {
            let within = within
                .parse()
                .map_err(|_| CommandError::InvalidFleetCommand)?;
            FleetCommand::AcquireUnit {
                budget: own(budget),
                token: own(token),
                lease_ms: Some(within),
            }
        }
        ["GIVE", budget, token] => FleetCommand::ReleaseUnit {
            budget: own(budget),
            token: own(token),
        },
        ["WORK", ref rest @ ..] => FleetCommand::Work(parse_work_command(rest, limits)?),
        _ => return Err(CommandError::InvalidFleetCommand),
    })
}

fn parse_work_command(words: &[&str], limits: &Limits) -> Result<WorkCommand, CommandError> {
    let own = |word: &str| word.to_string();
    let order = |words: &[&str]| match words {
        [] => Ok(None),
        [number] => number
            .parse()
            .map(Some)
            .map_err(|_| CommandError::InvalidWorkCommand),
        _ => Err(CommandError::TooManyWords),
    };
    Ok(match *words {
        [] => WorkCommand::Show,
        ["PLAN", name, machines, ref bounds @ ..] => {
            WorkCommand::Plan(parse_work_order(name, machines, bounds, limits)?)
        }
        ["PAUSE", ref rest @ ..] => WorkCommand::Pause(order(rest)?),
        ["RESUME", ref rest @ ..] => WorkCommand::Resume(order(rest)?),
        ["CANCEL", ref rest @ ..] => WorkCommand::Cancel(order(rest)?),
        ["DONE", machine] => WorkCommand::Done(own(machine)),
        ["FAILED", machine] => WorkCommand::Failed(own(machine)),
        ["RECALL", machine] => WorkCommand::Recall(own(machine)),
        _ => return Err(CommandError::InvalidWorkCommand),
    })
}

fn parse_work_order(
    name: &str,
    list: &str,
    bounds: &[&str],
    limits: &Limits,
) -> Result<WorkOrderSpec, CommandError> {
    let hour = 3_600_000;
    let mut plan = WorkOrderSpec {
        name: name.to_string(),
        machines: parse_machine_names(list, limits)?,
        max_out: 1,
        max_out_per_zone: 1,
        min_capacity_permille: 800,
        failure_tolerance: "nothing".into(),
        waits_for_done: true,
        not_before: 0,
        drain_timeout_ms: hour / 4,
        work_timeout_ms: 12 * hour,
        return_timeout_ms: hour / 2,
    };
    let mut said = BTreeSet::new();
    for bound in bounds {
        let (key, number) = bound.split_once('=').ok_or(CommandError::InvalidBound)?;
        if key == "spare" && ["nothing", "machine", "zone"].contains(&number) && said.insert(key) {
            plan.failure_tolerance = number.into();
            continue;
        }
        let number: u64 = number.parse().map_err(|_| CommandError::InvalidBound)?;
        let small = |from: u64, to: u64| match (from..=to).contains(&number) {
            true => Ok(number as u32),
            false => Err(CommandError::InvalidBound),
        };
        match key {
            _ if !said.insert(key) => return Err(CommandError::InvalidBound),
            "most" => plan.max_out = small(1, 10_000)?,
            "zone-most" => plan.max_out_per_zone = small(1, 10_000)?,
            "floor" => plan.min_capacity_permille = small(0, 1000)?,
            "wait" => plan.waits_for_done = small(0, 1)? == 1,
            "not-before" => plan.not_before = number,
            "leave" => plan.drain_timeout_ms = number,
            "work" => plan.work_timeout_ms = number,
            "back" => plan.return_timeout_ms = number,
            _ => return Err(CommandError::InvalidBound),
        }
    }
    Ok(plan)
}

/// Names with commas between them; of a range both ends have the same words around a number.
pub fn parse_machine_names(list: &str, limits: &Limits) -> Result<BTreeSet<String>, CommandError> {
    let mut names = BTreeSet::new();
    for part in list.split(',') {
        match part.split_once("..") {
            None if part.is_empty() => return Err(CommandError::InvalidMachines),
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
                let ((stem, width, from), (other, _, to)) =
                    ends.ok_or(CommandError::InvalidMachines)?;
                if stem != other || from > to || to - from >= limits.max_machines_per_command {
                    return Err(CommandError::InvalidMachines);
                }
                // As wide as the first: m-01..m-12 begins with a nought.
                names.extend((from..=to).map(|at| format!("{stem}{at:0width$}")));
            }
        }
    }
    match names.len() <= limits.max_machines_per_command {
        true => Ok(names),
        false => Err(CommandError::InvalidMachines),
    }
}

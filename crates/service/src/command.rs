//! Parser of operators' commands. A command is one line: a verb and at most one id, or a `FLEET` command with its
//! arguments.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use winnow::Parser;
use winnow::ascii::{space0, space1};
use winnow::combinator::{delimited, separated};
use winnow::error::ContextError;
use winnow::token::take_while;

use crate::Limits;

/// A command of an operator to one proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    Health,
    Change(OperatorChange),
    Fleet(FleetCommand),
}

/// A command to the fleet, sent to one of its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetCommand {
    Show,
    AdmitMember(String),
    EvictMember(String),
    HandOffDuty {
        duty: String,
        to: Option<String>,
    },
    /// Hold a duty for the external program that `token` identifies.
    HoldDuty {
        duty: String,
        token: String,
    },
    ReleaseDuty {
        duty: String,
        token: String,
    },
    DeclareMemberLost(String),
    /// Acquire one unit of a budget. For a budget whose units are held, `lease_ms` is how long the unit is held, in
    /// milliseconds.
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

/// A command about work orders, which take machines out of service for work on them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkCommand {
    Show,
    Plan(WorkOrderSpec),
    /// Pause the order with this number, or all orders.
    Pause(Option<u64>),
    /// Resume the order with this number, or all orders.
    Resume(Option<u64>),
    /// Cancel the order with this number, or all orders.
    Cancel(Option<u64>),
    /// Report that the work on this machine is done.
    Done(String),
    /// Report that the work on this machine has failed.
    Failed(String),
    /// Return this machine, whose work has failed, to service.
    Recall(String),
}

/// A work order as given in a `PLAN` command; bounds that the command omits have their defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkOrderSpec {
    pub name: String,
    pub machines: BTreeSet<String>,
    /// Maximum number of machines that are out of service at once.
    pub max_out: u32,
    /// Maximum number of machines of one zone that are out of service at once.
    pub max_out_per_zone: u32,
    /// Minimum share of the capacity that stays in service, in thousandths.
    pub min_capacity_permille: u32,
    /// Additional failure that the remaining capacity has to tolerate: `nothing`, `machine` or `zone`.
    pub failure_tolerance: String,
    /// Whether an empty machine stays out until an operator reports its work as done.
    pub waits_for_done: bool,
    /// Earliest start, as Unix time in milliseconds.
    pub not_before: u64,
    pub drain_timeout_ms: u64,
    pub work_timeout_ms: u64,
    pub return_timeout_ms: u64,
}

/// A change by an operator, which applies to a proxy and to its successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorChange {
    /// Ban the server with this id.
    Offline(String),
    /// Lift the ban of the server with this id.
    Online(String),
    /// Drain the proxy.
    Leave,
    /// End the drain of the proxy.
    Join,
}

/// Why a line is not a valid command.
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

/// Decodes one command from a stream of bytes that arrives in pieces of any size.
#[derive(Debug, Default)]
pub struct CommandDecoder {
    buffer: Vec<u8>,
}

impl CommandDecoder {
    /// Appends received bytes. Returns the command once its line is complete, or an error once the line is too long;
    /// bytes after the line are ignored.
    pub fn feed(
        &mut self,
        bytes: &[u8],
        limits: &Limits,
    ) -> Option<Result<OperatorCommand, CommandError>> {
        let line_end = bytes.iter().position(|byte| *byte == b'\n');
        let piece = &bytes[..line_end.unwrap_or(bytes.len())];
        if self.buffer.len() + piece.len() >= limits.max_command_bytes {
            return Some(Err(CommandError::TooLong));
        }
        self.buffer.extend_from_slice(piece);
        line_end.map(|_| {
            let line = self.buffer.strip_suffix(b"\r").unwrap_or(&self.buffer);
            parse_command(line, limits)
        })
    }
}

/// Parses a command line without its line end.
pub fn parse_command(line: &[u8], limits: &Limits) -> Result<OperatorCommand, CommandError> {
    let text = std::str::from_utf8(line).map_err(|_| CommandError::NotText)?;
    if text.chars().any(char::is_control) {
        return Err(CommandError::NotText);
    }
    let word = take_while::<_, _, ContextError>(1.., |c: char| c != ' ');
    let words: Vec<&str> = delimited(space0, separated(0.., word, space1), space0)
        .parse(text)
        .map_err(|_| CommandError::Unknown)?;
    if let Some((&"FLEET", arguments)) = words.split_first() {
        return parse_fleet_command(arguments, limits).map(OperatorCommand::Fleet);
    }
    let (verb, id) = match words[..] {
        [] => return Err(CommandError::Unknown),
        [verb] => (verb, None),
        [verb, id] => (verb, Some(id)),
        _ => return Err(CommandError::TooManyWords),
    };
    let server_change = |change: fn(String) -> OperatorChange| match id {
        None => Err(CommandError::MissingId),
        Some(id) if id.len() > limits.max_id_bytes => Err(CommandError::IdTooLong),
        Some(id) => Ok(OperatorCommand::Change(change(id.to_string()))),
    };
    let without_id = |command: OperatorCommand| match id {
        None => Ok(command),
        Some(_) => Err(CommandError::TooManyWords),
    };
    match verb {
        "HEALTH" => without_id(OperatorCommand::Health),
        "LEAVE" => without_id(OperatorCommand::Change(OperatorChange::Leave)),
        "JOIN" => without_id(OperatorCommand::Change(OperatorChange::Join)),
        "OFFLINE" => server_change(OperatorChange::Offline),
        "ONLINE" => server_change(OperatorChange::Online),
        _ => Err(CommandError::Unknown),
    }
}

/// Parses the words after `FLEET`.
fn parse_fleet_command(words: &[&str], limits: &Limits) -> Result<FleetCommand, CommandError> {
    if words.iter().any(|word| word.len() > limits.max_id_bytes) {
        return Err(CommandError::IdTooLong);
    }
    let owned = |word: &str| word.to_string();
    Ok(match *words {
        [] => FleetCommand::Show,
        ["LET-IN", node] => FleetCommand::AdmitMember(owned(node)),
        ["PUT-OUT", node] => FleetCommand::EvictMember(owned(node)),
        ["HAND-ON", duty] => FleetCommand::HandOffDuty {
            duty: owned(duty),
            to: None,
        },
        ["HAND-ON", duty, to] => FleetCommand::HandOffDuty {
            duty: owned(duty),
            to: Some(owned(to)),
        },
        ["HOLD", duty, token] => FleetCommand::HoldDuty {
            duty: owned(duty),
            token: owned(token),
        },
        ["DONE", duty, token] => FleetCommand::ReleaseDuty {
            duty: owned(duty),
            token: owned(token),
        },
        ["GONE", node] => FleetCommand::DeclareMemberLost(owned(node)),
        ["TAKE", budget, token] => FleetCommand::AcquireUnit {
            budget: owned(budget),
            token: owned(token),
            lease_ms: None,
        },
        ["TAKE", budget, token, lease_ms] => {
            let lease_ms = lease_ms
                .parse()
                .map_err(|_| CommandError::InvalidFleetCommand)?;
            FleetCommand::AcquireUnit {
                budget: owned(budget),
                token: owned(token),
                lease_ms: Some(lease_ms),
            }
        }
        ["GIVE", budget, token] => FleetCommand::ReleaseUnit {
            budget: owned(budget),
            token: owned(token),
        },
        ["WORK", ref rest @ ..] => FleetCommand::Work(parse_work_command(rest, limits)?),
        _ => return Err(CommandError::InvalidFleetCommand),
    })
}

/// Parses the words after `FLEET WORK`.
fn parse_work_command(words: &[&str], limits: &Limits) -> Result<WorkCommand, CommandError> {
    let owned = |word: &str| word.to_string();
    let parse_order_number = |words: &[&str]| match words {
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
        ["PAUSE", ref rest @ ..] => WorkCommand::Pause(parse_order_number(rest)?),
        ["RESUME", ref rest @ ..] => WorkCommand::Resume(parse_order_number(rest)?),
        ["CANCEL", ref rest @ ..] => WorkCommand::Cancel(parse_order_number(rest)?),
        ["DONE", machine] => WorkCommand::Done(owned(machine)),
        ["FAILED", machine] => WorkCommand::Failed(owned(machine)),
        ["RECALL", machine] => WorkCommand::Recall(owned(machine)),
        _ => return Err(CommandError::InvalidWorkCommand),
    })
}

/// Parses the arguments of `FLEET WORK PLAN`; omitted bounds get their defaults.
fn parse_work_order(
    name: &str,
    machine_list: &str,
    bounds: &[&str],
    limits: &Limits,
) -> Result<WorkOrderSpec, CommandError> {
    let hour_ms = 3_600_000;
    let mut order = WorkOrderSpec {
        name: name.to_string(),
        machines: parse_machine_names(machine_list, limits)?,
        max_out: 1,
        max_out_per_zone: 1,
        min_capacity_permille: 800,
        failure_tolerance: "nothing".into(),
        waits_for_done: true,
        not_before: 0,
        drain_timeout_ms: hour_ms / 4,
        work_timeout_ms: 12 * hour_ms,
        return_timeout_ms: hour_ms / 2,
    };
    let mut seen_keys = BTreeSet::new();
    for bound in bounds {
        let (key, value) = bound.split_once('=').ok_or(CommandError::InvalidBound)?;
        if key == "spare"
            && ["nothing", "machine", "zone"].contains(&value)
            && seen_keys.insert(key)
        {
            order.failure_tolerance = value.into();
            continue;
        }
        let number: u64 = value.parse().map_err(|_| CommandError::InvalidBound)?;
        let number_within = |from: u64, to: u64| match (from..=to).contains(&number) {
            true => Ok(number as u32),
            false => Err(CommandError::InvalidBound),
        };
        match key {
            _ if !seen_keys.insert(key) => return Err(CommandError::InvalidBound),
            "most" => order.max_out = number_within(1, 10_000)?,
            "zone-most" => order.max_out_per_zone = number_within(1, 10_000)?,
            "floor" => order.min_capacity_permille = number_within(0, 1000)?,
            "wait" => order.waits_for_done = number_within(0, 1)? == 1,
            "not-before" => order.not_before = number,
            "leave" => order.drain_timeout_ms = number,
            "work" => order.work_timeout_ms = number,
            "back" => order.return_timeout_ms = number,
            _ => return Err(CommandError::InvalidBound),
        }
    }
    Ok(order)
}

/// Parses a comma-separated list of machine names and ranges such as `m-1..m-12`. Both ends of a range have the same
/// text before their number. Numbers are padded with zeros to the width of the first one.
pub fn parse_machine_names(list: &str, limits: &Limits) -> Result<BTreeSet<String>, CommandError> {
    let mut names = BTreeSet::new();
    for part in list.split(',') {
        match part.split_once("..") {
            None if part.is_empty() => return Err(CommandError::InvalidMachines),
            None => drop(names.insert(part.to_string())),
            Some((first, last)) => {
                let split_number = |name: &str| {
                    let digits = name.bytes().rev().take_while(u8::is_ascii_digit).count();
                    let (stem, number) = name.split_at(name.len() - digits);
                    Some((
                        stem.to_string(),
                        number.len(),
                        number.parse::<usize>().ok()?,
                    ))
                };
                let range_ends = split_number(first).zip(split_number(last));
                let ((stem, width, first_number), (last_stem, _, last_number)) =
                    range_ends.ok_or(CommandError::InvalidMachines)?;
                if stem != last_stem
                    || first_number > last_number
                    || last_number - first_number >= limits.max_machines_per_command
                {
                    return Err(CommandError::InvalidMachines);
                }
                // Numbers are as wide as the first one, so m-01..m-12 keeps its leading zeros.
                names.extend(
                    (first_number..=last_number).map(|number| format!("{stem}{number:0width$}")),
                );
            }
        }
    }
    match names.len() <= limits.max_machines_per_command {
        true => Ok(names),
        false => Err(CommandError::InvalidMachines),
    }
}

//! The operators' calls: one line in, one verb and at most one id.

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
                 DONE DUTY TOKEN, TAKE BUDGET TOKEN [MS] or GIVE BUDGET TOKEN"
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
        _ => return Err(Fault::NoFleetCall),
    })
}

//! Reads batches of events, passes each to the instance that it is addressed to, and writes the replies.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufRead, Write};
use std::panic::{self, AssertUnwindSafe};

use violetwind_balancer::Balancer;
use violetwind_balancer::api::{Action, Event, Seconds};

use crate::codec::{self, Fields, NameTable, NamedValues, ServerRow};

/// The error that ended the host before the end of its input.
#[derive(Debug)]
pub enum Error {
    /// A line that can't be parsed, or that is not expected at its place.
    Malformed {
        line: usize,
        message: String,
    },
    Io(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed { line, message } => write!(f, "line {line}: {message}"),
            Self::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// A balancer and the names of its settings.
struct Instance {
    balancer: Balancer,
    names: NameTable,
}

/// All balancer instances, and the state of reading the current batch.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    /// The numbered server lists, shared by all instances of the process.
    lists: BTreeMap<u64, Vec<ServerRow>>,
    /// The number of the list being read, and how many of its rows are still missing.
    partial_list: Option<(u64, u64)>,
    /// The time of the current batch; `None` between batches.
    now: Option<Seconds>,
    /// The instance that the next events are addressed to.
    current_instance: Option<u64>,
    replies: Vec<Reply>,
}

/// The actions of one instance in the current batch.
struct Reply {
    instance: u64,
    actions: Vec<Action>,
    /// The message of a panic in the decision code; the instance handles no more events of the batch.
    panic: Option<String>,
}

/// Serves the simulator's protocol until the end of input.
///
/// # Errors
/// An error of the input or the output, or a malformed line with its number.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), Error> {
    let mut host = Host::default();
    let mut line_number = 0;
    for line in input.lines() {
        let line = line?;
        line_number += 1;
        let batch_ended = host
            .handle_line(&line)
            .map_err(|message| Error::Malformed {
                line: line_number,
                message,
            })?;
        if batch_ended {
            host.write_replies(&mut output)?;
        }
    }
    if host.now.is_some() {
        let message = "input ends within a batch; expected EOB".to_string();
        return Err(Error::Malformed {
            line: line_number,
            message,
        });
    }
    Ok(())
}

impl Host {
    /// Handles one line; returns true at the end of a batch.
    fn handle_line(&mut self, line: &str) -> Result<bool, String> {
        if line.is_empty() {
            return Ok(false);
        }
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        let fields = Fields::parse(rest)?;
        if let Some((list, missing)) = self.partial_list {
            if name != "SERVER" {
                return Err(format!("{name}: expected {missing} more SERVER lines"));
            }
            self.lists
                .entry(list)
                .or_default()
                .push(codec::parse_row(&fields)?);
            self.partial_list = (missing > 1).then(|| (list, missing - 1));
            return Ok(false);
        }
        if name == "FRAME" {
            if self.now.is_some() {
                return Err("FRAME within a batch; expected EOB".into());
            }
            self.now = Some(fields.require_seconds("clock-s")?);
            self.current_instance = None;
            return Ok(false);
        }
        let Some(now) = self.now else {
            return Err(format!("{name} outside a batch; expected FRAME"));
        };
        match name {
            "EOB" => {
                self.now = None;
                return Ok(true);
            }
            "INSTANCE" => self.current_instance = Some(fields.require_int("proxy-id")?),
            "SNAPSHOT_ROWS" => {
                let (list, rows) = (fields.require_int("ref")?, fields.require_int("records")?);
                self.lists.insert(list, Vec::new());
                self.partial_list = (rows > 0).then_some((list, rows));
            }
            _ => {
                let id = self
                    .current_instance
                    .ok_or_else(|| format!("{name}: expected an INSTANCE line before it"))?;
                self.handle_event_line(now, id, name, &fields)?;
            }
        }
        Ok(false)
    }

    /// Handles a line addressed to an instance: its start, its end or an event.
    fn handle_event_line(
        &mut self,
        now: Seconds,
        id: u64,
        name: &str,
        fields: &Fields,
    ) -> Result<(), String> {
        match name {
            "LAUNCH" => {
                let (settings, names) = codec::read_settings(fields)?;
                let balancer = Balancer::new(settings, fields.require_int("random-seed")?);
                self.instances.insert(id, Instance { balancer, names });
                self.dispatch(now, id, Event::Start);
            }
            "DOWN" => {
                self.instances.remove(&id);
                // The killed instance's actions of this batch refer to requests that no longer exist.
                self.replies.retain(|reply| reply.instance != id);
            }
            _ => {
                let Some(instance) = self.instances.get(&id) else {
                    return Err(format!(
                        "{name}: expected LAUNCH of instance {id} before it"
                    ));
                };
                if let Some(event) = codec::parse_event(name, fields, &instance.names, &self.lists)?
                {
                    self.dispatch(now, id, event);
                }
            }
        }
        Ok(())
    }

    /// Passes an event to an instance and collects its actions. A panic is caught and kept for the reply.
    fn dispatch(&mut self, now: Seconds, id: u64, event: Event) {
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        let index = self
            .replies
            .iter()
            .position(|reply| reply.instance == id)
            .unwrap_or_else(|| {
                self.replies.push(Reply {
                    instance: id,
                    actions: Vec::new(),
                    panic: None,
                });
                self.replies.len() - 1
            });
        let reply = &mut self.replies[index];
        if reply.panic.is_some() {
            return;
        }
        let handle = || {
            instance
                .balancer
                .handle_event(now, event, &mut reply.actions)
        };
        if let Err(payload) = panic::catch_unwind(AssertUnwindSafe(handle)) {
            reply.panic = Some(panic_text(payload.as_ref()));
        }
    }

    /// Writes the replies of the batch that has ended.
    fn write_replies(&mut self, output: &mut impl Write) -> io::Result<()> {
        for reply in self.replies.drain(..) {
            if reply.actions.is_empty() && reply.panic.is_none() {
                continue;
            }
            writeln!(output, "FROM proxy-id={}", reply.instance)?;
            for action in &reply.actions {
                codec::write_action(output, action)?;
            }
            if let Some(text) = reply.panic {
                codec::write_panic(output, &text)?;
            }
        }
        writeln!(output, "READY")?;
        output.flush()
    }
}

fn panic_text(payload: &(dyn std::any::Any + Send)) -> String {
    let text = payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| payload.downcast_ref::<&str>().copied())
        .unwrap_or("panic")
        .to_string()
}

//! Parses and writes the lines of the simulator's protocol. The names of events, actions and their fields occur only in
//! this file; the host handles the lines for batches, server lists and instances.

use std::collections::BTreeMap;
use std::io::{self, Write};

use violetwind_balancer::api::{
    Action, AttemptEnd, Event, ListKind, Outcome, Report, Request, RequestId, ServerId, Status,
};
pub use violetwind_common::{NameTable, NamedValues, ServerRow, read_settings};
use violetwind_common::{group_id, set_report_field};

/// The `name=value` pairs of one line.
#[derive(Debug, Default)]
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Parses the part of a line after its name.
    ///
    /// # Errors
    /// A message naming the part that is not a `name=value` pair.
    pub fn parse(rest: &'a str) -> Result<Self, String> {
        let parse_pair = |part: &'a str| {
            part.split_once('=')
                .ok_or_else(|| format!("`{part}`: expected name=value"))
        };
        rest.split(' ')
            .filter(|part| !part.is_empty())
            .map(parse_pair)
            .collect::<Result<_, _>>()
            .map(Self)
    }

    fn server(&self) -> Result<ServerId, String> {
        let value = self.require("server")?;
        value
            .parse()
            .map_err(|_| format!("server={value}: expected a number below 2^32"))
    }

    fn id(&self) -> Result<RequestId, String> {
        let value = self.require("id")?;
        let id = RequestId::from_str_radix(value, 16)
            .ok()
            .filter(|_| value.len() == 16);
        id.ok_or_else(|| format!("id={value}: expected 16 hex digits"))
    }
}

impl NamedValues for Fields<'_> {
    fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| *value)
    }
}

/// Parses a `SERVER` line.
///
/// # Errors
/// A message naming the missing or invalid field.
pub fn parse_row(fields: &Fields) -> Result<ServerRow, String> {
    Ok(ServerRow {
        server: fields.server()?,
        cell: fields.int_or("cluster", 0)?,
        status: match fields.require("status")? {
            "U" => Status::Up,
            "L" => Status::Draining,
            "D" => Status::Gone,
            other => return Err(format!("status={other}: expected U, L or D")),
        },
        kind: fields.get("sku").map(str::to_string),
        zone: fields.get("campus").map(str::to_string),
        started_at: fields.number("born-s")?,
        rating: fields.number("rating")?,
    })
}

/// Parses an event; `None` if the balancer has no use for it.
///
/// # Errors
/// A message naming the unknown event, or the missing or invalid field.
pub fn parse_event(
    name: &str,
    fields: &Fields,
    names: &NameTable,
    lists: &BTreeMap<u64, Vec<ServerRow>>,
) -> Result<Option<Event>, String> {
    let event = match name {
        "DISCOVERY" => parse_servers(fields, names, lists)?,
        "ORDER" => Event::Request(parse_request(fields, names)?),
        "ADOPTED" => Event::Open(parse_request(fields, names)?, fields.server()?),
        "FIRST" => Event::Begun(fields.id()?, fields.server()?),
        "SETTLED" => Event::Outcome(AttemptEnd {
            id: fields.id()?,
            server: fields.server()?,
            outcome: parse_outcome(fields)?,
            is_final: fields.flag("last")?,
            report: parse_report(fields)?,
        }),
        "ABORTED" => Event::Gone(fields.id()?),
        "NOTE" => {
            let id = fields.id()?;
            let value = fields.number("value")?.ok_or("expected the field value")?;
            match fields.require_int("what")? {
                1 => Event::LoadNote(id, value / 1e6),
                2 => Event::DelayNote(fields.server()?, value / 1e3),
                _ => return Ok(None),
            }
        }
        "CHECK_RESULT" => Event::Probed(
            fields.server()?,
            parse_outcome(fields)?,
            parse_report(fields)?,
        ),
        "ELAPSED" => Event::Timer(fields.require_int("nonce")?),
        "MAIL" => return Ok(None),
        _ => return Err(format!("{name}: expected the name of an event")),
    };
    Ok(Some(event))
}

fn parse_servers(
    fields: &Fields,
    names: &NameTable,
    lists: &BTreeMap<u64, Vec<ServerRow>>,
) -> Result<Event, String> {
    let kind = match fields.require("kind")? {
        "update" => ListKind::Update,
        "replace" => ListKind::Replace,
        "restored" => ListKind::Restored,
        "unavailable" => {
            return Ok(Event::Servers(ListKind::Unavailable, Vec::new()));
        }
        other => {
            return Err(format!(
                "kind={other}: expected update, replace, restored or unavailable"
            ));
        }
    };
    let list_number = fields.require_int("ref")?;
    let rows = lists
        .get(&list_number)
        .ok_or_else(|| format!("ref={list_number}: expected a list named before"))?;
    let to_entry = |row: &ServerRow| row.to_entry(names);
    Ok(Event::Servers(kind, rows.iter().map(to_entry).collect()))
}

fn parse_request(fields: &Fields, names: &NameTable) -> Result<Request, String> {
    let class = fields.require("priority")?;
    Ok(Request {
        id: fields.id()?,
        class: names
            .class_index(class)
            .ok_or_else(|| format!("priority={class}: expected a class of the settings"))?,
        tenant: names.tenant_index(fields.get("billing")),
        group: fields.get("channel").map(group_id),
        hint: fields.number("estimate-s")?,
        client_timeout: fields.require_seconds("patience-left-s")?,
        is_repeat: fields.flag("retry")? || fields.flag("again")?,
    })
}

fn parse_outcome(fields: &Fields) -> Result<Outcome, String> {
    Ok(match fields.require_int("how")? {
        0 => Outcome::Ok,
        5 => Outcome::Error,
        11 => Outcome::Full,
        110 => Outcome::TimedOut,
        111 => Outcome::ConnectFailed,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::NotSent,
        other => return Err(format!("how={other}: expected an outcome code")),
    })
}

fn parse_report(fields: &Fields) -> Result<Report, String> {
    let mut report = Report::default();
    for pair in fields.list("gauge") {
        let (name, value) = pair
            .split_once(':')
            .ok_or_else(|| format!("gauge {pair}: expected name:value"))?;
        let value = value
            .parse()
            .map_err(|_| format!("gauge {pair}: expected a number"))?;
        set_report_field(&mut report, name, value);
    }
    Ok(report)
}

/// Writes the line of an action.
///
/// # Errors
/// The error of the output.
pub fn write_action(out: &mut impl Write, action: &Action) -> io::Result<()> {
    match action {
        Action::Send(id, server, timeout, _) => {
            writeln!(out, "ROUTE id={id:016x} server={server} cap-s={timeout}")
        }
        Action::Refuse(id, None) => writeln!(out, "PUSH_BACK id={id:016x}"),
        Action::Refuse(id, Some(wait)) => writeln!(out, "PUSH_BACK id={id:016x} backoff-s={wait}"),
        Action::Fail(id) => writeln!(out, "LOSE id={id:016x}"),
        Action::Move(id) => writeln!(out, "RELOCATE id={id:016x}"),
        Action::Cancel(id, attempt) => writeln!(out, "RECALL id={id:016x} hop={attempt}"),
        Action::Probe(server) => writeln!(out, "TOUCH server={server}"),
        Action::Subscribe => writeln!(out, "WATCH want=1"),
        Action::Timer(after, token) => writeln!(out, "DEFER offset-s={after} nonce={token}"),
    }
}

/// Reports that the decision code has panicked, in one line.
///
/// # Errors
/// The error of the output.
pub fn write_panic(out: &mut impl Write, text: &str) -> io::Result<()> {
    writeln!(out, "GIVE_IN message={}", text.replace(['\n', '\r'], " "))
}

//! Parser and encoder for the lines of clients and servers. A line ends with CRLF.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::str;

use tracing::debug;
use violetwind_balancer::api::Report;
use violetwind_common::set_report_field;
use winnow::Parser;
use winnow::ascii::float;
use winnow::combinator::{alt, eof, opt, preceded, separated_pair, seq, terminated};
use winnow::error::ContextError;
use winnow::token::{rest, take_while};

type Parsed<T> = Result<T, ContextError>;

/// A line that a client may send before its request is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FirstLine<'a> {
    Ping,
    Stats,
    Open(OpenLine<'a>),
}

/// A client's request: its id, the key of its flow, and fields `NAME=VALUE` separated by commas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenLine<'a> {
    pub id: &'a str,
    pub flow_key: &'a str,
    pub fields: &'a str,
}

/// A line from a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerLine {
    /// The server has accepted the request: the connection is up.
    Up,
    /// The server has served the request.
    Bye(Report),
    /// The server asks the client to move to another server.
    Move,
    /// The request or probe failed.
    Err(Report),
    /// The server has no room.
    Busy(Report),
    /// The answer to a probe.
    Pong(Report),
    /// The value of a `LOAD` line; its meaning is determined by the `LoadClassifier`.
    Load(f64),
    /// Any other line, which has no meaning for the proxy.
    Other,
}

/// Parses a client's line without its line end; `None` if it is not a known command.
pub fn parse_first_line(line: &[u8]) -> Option<FirstLine<'_>> {
    let line = str::from_utf8(line).ok()?;
    let ping = terminated("PING", eof).value(FirstLine::Ping);
    let stats = terminated("STATS", eof).value(FirstLine::Stats);
    alt((ping, stats, parse_open.map(FirstLine::Open)))
        .parse(line)
        .ok()
}

fn parse_open<'a>(input: &mut &'a str) -> Parsed<OpenLine<'a>> {
    let mut fields = opt(preceded(' ', token)).map(Option::unwrap_or_default);
    seq!(OpenLine { _: "OPEN ", id: token, _: ' ', flow_key: token, fields: fields, _: eof })
        .parse_next(input)
}

/// Parses text without spaces or control characters.
fn token<'a>(input: &mut &'a str) -> Parsed<&'a str> {
    take_while(1.., |c: char| c != ' ' && !c.is_control()).parse_next(input)
}

impl<'a> OpenLine<'a> {
    /// The fields as names and values; a field without `=` has an empty value.
    fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> + use<'a> {
        let pairs = self.fields.split(',').filter(|pair| !pair.is_empty());
        pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")))
    }

    /// Whether the client marks the request as a repeat of its own: as a retry (`r=1`), or after its connection broke
    /// or was moved (`again=1`). Has nothing to do with this proxy's retries.
    pub fn is_repeat(&self) -> bool {
        ["r", "again"]
            .iter()
            .any(|name| self.get(name) == Some("1"))
    }

    /// The value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Encodes the line unchanged, without its line end.
    pub fn to_line(self) -> Vec<u8> {
        let space = if self.fields.is_empty() { "" } else { " " };
        let line = format!("OPEN {} {}{space}{}", self.id, self.flow_key, self.fields);
        line.into_bytes()
    }

    /// Encodes the line with its line end for the next hop, with the wait (field `d`) replaced by `wait_ms`.
    pub fn encode_with_wait(&self, wait_ms: u64) -> Vec<u8> {
        let mut line = format!("OPEN {} {}", self.id, self.flow_key);
        let mut separator = ' ';
        for (name, value) in self.pairs() {
            line.push(separator);
            separator = ',';
            match name {
                "d" => line += &format!("d={wait_ms}"),
                _ if value.is_empty() => line += name,
                _ => line += &format!("{name}={value}"),
            }
        }
        line += "\r\n";
        line.into_bytes()
    }
}

impl OpenLine<'_> {
    /// Returns an error for a line that no conforming client sends, regardless of its values: more than `max_fields`
    /// fields, or a duplicate name, of which one reader might use the first value and another the second.
    pub fn find_fault(&self, max_fields: usize) -> Option<&'static str> {
        let names: Vec<&str> = self
            .pairs()
            .take(max_fields + 1)
            .map(|(name, _)| name)
            .collect();
        if names.len() > max_fields {
            return Some("too many fields");
        }
        let mut seen = BTreeSet::new();
        (!names.into_iter().all(|name| seen.insert(name))).then_some("a field name occurs twice")
    }

    /// The numeric value of a field, if the field is present. Fails if it is not a finite number of 0 or more.
    pub fn number_field(&self, name: &str) -> Result<Option<f64>, &'static str> {
        let Some(text) = self.get(name) else {
            return Ok(None);
        };
        match text.parse().ok().filter(|value| is_valid_value(*value)) {
            Some(value) => Ok(Some(value)),
            None => Err("a field value is not a finite number of 0 or more"),
        }
    }
}

/// The first 80 bytes of a line, for the log.
pub fn log_excerpt(line: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(&line[..line.len().min(80)])
}

/// Whether a number is valid as a load, a time, or a value in a load report.
fn is_valid_value(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// Parses a server's line without its line end.
pub fn parse_server_line(line: &[u8]) -> ServerLine {
    let Ok(line) = str::from_utf8(line) else {
        return ServerLine::Other;
    };
    parse_server_command
        .parse(line)
        .unwrap_or(ServerLine::Other)
}

fn parse_server_command(input: &mut &str) -> Parsed<ServerLine> {
    let value = float.verify(|load| is_valid_value(*load));
    let load = preceded("LOAD ", value).map(ServerLine::Load);
    alt((
        terminated(load, eof),
        terminated("MOVE", eof).value(ServerLine::Move),
        // The token is the receipt by which the client identifies the server.
        ("UP ", token, eof).value(ServerLine::Up),
        preceded("BYE", parse_report).map(ServerLine::Bye),
        preceded("ERR", parse_report).map(ServerLine::Err),
        preceded("BUSY", parse_report).map(ServerLine::Busy),
        preceded("PONG", parse_report).map(ServerLine::Pong),
    ))
    .parse_next(input)
}

/// Parses the load report after a keyword, if there is one. Invalid pairs are ignored.
fn parse_report(input: &mut &str) -> Parsed<Report> {
    let pairs = alt((eof, preceded(' ', rest))).parse_next(input)?;
    let mut report = Report::default();
    for part in pairs.split([',', ' ']) {
        let name = take_while(1.., |c: char| c != '=' && c != ':');
        let pair: Parsed<(&str, f64)> =
            separated_pair(name, alt(('=', ':')), terminated(float, eof)).parse_next(&mut &*part);
        match pair {
            Ok((name, value)) if is_valid_value(value) => {
                set_report_field(&mut report, name, value);
            }
            _ if part.is_empty() => {}
            _ => debug!(part, "ignoring an invalid value in a load report"),
        }
    }
    Ok(report)
}

/// Finds the lines in a stream. It stores only the head of the current line, 160 bytes at most.
#[derive(Debug)]
pub struct LineScanner {
    head: [u8; 160],
    len: usize,
}

impl Default for LineScanner {
    fn default() -> Self {
        Self {
            head: [0; 160],
            len: 0,
        }
    }
}

impl LineScanner {
    /// Whether the last byte ended a line.
    pub fn is_between_lines(&self) -> bool {
        self.len == 0
    }

    /// Scans the next bytes of the stream and calls `on_line` for each line that ends in them, with the line's head and
    /// the position in `bytes` right after its end. Allocates nothing.
    pub fn feed(&mut self, bytes: &[u8], mut on_line: impl FnMut(&[u8], usize)) {
        for (index, &byte) in bytes.iter().enumerate() {
            if byte == b'\n' {
                let head = &self.head[..self.len.min(self.head.len())];
                on_line(head.strip_suffix(b"\r").unwrap_or(head), index + 1);
                self.len = 0;
                continue;
            }
            if let Some(slot) = self.head.get_mut(self.len) {
                *slot = byte;
            }
            self.len = self.len.saturating_add(1);
        }
    }
}

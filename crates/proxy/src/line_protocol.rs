//! The lines that clients and servers speak, understood and written. They end by CRLF.

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

/// A line that begins a connection to a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FirstLine<'a> {
    Ping,
    Stats,
    Open(OpenLine<'a>),
}

/// A client's wish: its id, the flow's key, and names with values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenLine<'a> {
    pub id: &'a str,
    pub flow_key: &'a str,
    pub fields: &'a str,
}

/// What a server says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerLine {
    Up,
    Bye(Report),
    Move,
    Err(Report),
    Busy(Report),
    Pong(Report),
    Load(f64),
    Other,
}

pub fn parse_first_line(line: &[u8]) -> Option<FirstLine<'_>> {
    let line = str::from_utf8(line).ok()?;
    let ping = terminated("PING", eof).value(FirstLine::Ping);
    let stats = terminated("STATS", eof).value(FirstLine::Stats);
    alt((ping, stats, open.map(FirstLine::Open)))
        .parse(line)
        .ok()
}

fn open<'a>(input: &mut &'a str) -> Parsed<OpenLine<'a>> {
    let mut fields = opt(preceded(' ', token)).map(Option::unwrap_or_default);
    seq!(OpenLine { _: "OPEN ", id: token, _: ' ', flow_key: token, fields: fields, _: eof })
        .parse_next(input)
}

/// Text without spaces or control characters.
fn token<'a>(input: &mut &'a str) -> Parsed<&'a str> {
    take_while(1.., |c: char| c != ' ' && !c.is_control()).parse_next(input)
}

impl<'a> OpenLine<'a> {
    fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> + use<'a> {
        let pairs = self.fields.split(',').filter(|pair| !pair.is_empty());
        pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")))
    }

    /// Whether it is marked as a retry, or as one whose connection broke or was moved.
    pub fn is_retry(&self) -> bool {
        ["r", "again"]
            .iter()
            .any(|name| self.get(name) == Some("1"))
    }

    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// The line itself, without its end.
    pub fn to_line(self) -> Vec<u8> {
        let space = if self.fields.is_empty() { "" } else { " " };
        let line = format!("OPEN {} {}{space}{}", self.id, self.flow_key, self.fields);
        line.into_bytes()
    }

    /// The same line with another time to wait, in milliseconds, for the next hop.
    pub fn encode_with_wait(&self, ms: u64) -> Vec<u8> {
        let mut line = format!("OPEN {} {}", self.id, self.flow_key);
        let mut between = ' ';
        for (name, value) in self.pairs() {
            line.push(between);
            between = ',';
            match name {
                "d" => line += &format!("d={ms}"),
                _ if value.is_empty() => line += name,
                _ => line += &format!("{name}={value}"),
            }
        }
        line += "\r\n";
        line.into_bytes()
    }
}

impl OpenLine<'_> {
    /// What makes the line one that no usual client sends, whatever its values mean: two of one name
    /// would be read by one and by the other.
    pub fn find_fault(&self, most: usize) -> Option<&'static str> {
        let names: Vec<&str> = self.pairs().take(most + 1).map(|(name, _)| name).collect();
        if names.len() > most {
            return Some("too many names");
        }
        let mut seen = BTreeSet::new();
        (!names.into_iter().all(|name| seen.insert(name))).then_some("a name that comes twice")
    }

    /// A figure by its name, if it is there.
    pub fn number_field(&self, name: &str) -> Result<Option<f64>, &'static str> {
        let Some(text) = self.get(name) else {
            return Ok(None);
        };
        match text.parse().ok().filter(|figure| sensible(*figure)) {
            Some(figure) => Ok(Some(figure)),
            None => Err("a figure that is no number, negative or endless"),
        }
    }
}

/// The beginning of a line that could not be understood, for the log.
pub fn log_excerpt(line: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(&line[..line.len().min(80)])
}

/// Whether a figure can be a load, a time, or a value of a load report.
fn sensible(figure: f64) -> bool {
    figure.is_finite() && figure >= 0.0
}

pub fn parse_server_line(line: &[u8]) -> ServerLine {
    let Ok(line) = str::from_utf8(line) else {
        return ServerLine::Other;
    };
    parse_word.parse(line).unwrap_or(ServerLine::Other)
}

fn parse_word(input: &mut &str) -> Parsed<ServerLine> {
    let figure = float.verify(|load| sensible(*load));
    let load = preceded("LOAD ", figure).map(ServerLine::Load);
    alt((
        terminated(load, eof),
        terminated("MOVE", eof).value(ServerLine::Move),
        // Its receipt is what the client knows the server by.
        ("UP ", token, eof).value(ServerLine::Up),
        preceded("BYE", report).map(ServerLine::Bye),
        preceded("ERR", report).map(ServerLine::Err),
        preceded("BUSY", report).map(ServerLine::Busy),
        preceded("PONG", report).map(ServerLine::Pong),
    ))
    .parse_next(input)
}

/// A load report behind a word, if there is one. A pair that is none is passed over.
fn report(input: &mut &str) -> Parsed<Report> {
    let pairs = alt((eof, preceded(' ', rest))).parse_next(input)?;
    let mut report = Report::default();
    for part in pairs.split([',', ' ']) {
        let name = take_while(1.., |c: char| c != '=' && c != ':');
        let pair: Parsed<(&str, f64)> =
            separated_pair(name, alt(('=', ':')), terminated(float, eof)).parse_next(&mut &*part);
        match pair {
            Ok((name, value)) if sensible(value) => {
                set_report_field(&mut report, name, value);
            }
            _ if part.is_empty() => {}
            _ => debug!(
                part,
                "a load report's figure that makes no sense is passed over"
            ),
        }
    }
    Ok(report)
}

/// Follows the lines of a stream without keeping them: only the head of the present one.
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

    /// Takes the next bytes and calls back with each line that ends in them: its head, and where
    /// among these bytes the line is over. Allocates nothing.
    pub fn feed(&mut self, bytes: &[u8], mut line: impl FnMut(&[u8], usize)) {
        for (at, &byte) in bytes.iter().enumerate() {
            if byte == b'\n' {
                let head = &self.head[..self.len.min(self.head.len())];
                line(head.strip_suffix(b"\r").unwrap_or(head), at + 1);
                self.len = 0;
                continue;
            }
            if let Some(place) = self.head.get_mut(self.len) {
                *place = byte;
            }
            self.len = self.len.saturating_add(1);
        }
    }
}

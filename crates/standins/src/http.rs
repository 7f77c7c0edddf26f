//! The subset of HTTP/1.1 that a stand-in needs; written here so that a stand-in can also violate the protocol.

use std::io::{BufRead, BufReader};
use std::net::TcpStream;

/// A request without its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpRequest {
    pub uri: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
}

impl HttpRequest {
    /// Reads the next request of a connection; returns none at its end.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return None;
        }
        let mut request = Self {
            uri: line.split(' ').nth(1).unwrap_or("").to_string(),
            headers: Vec::new(),
        };
        loop {
            line.clear();
            if reader.read_line(&mut line).unwrap_or(0) <= 2 {
                return Some(request);
            }
            if let Some((name, value)) = line.trim_end().split_once(':') {
                let header = (name.to_ascii_lowercase(), value.trim().to_string());
                request.headers.push(header);
            }
        }
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.uri.split('?').next().unwrap_or("")
    }

    /// The value of a query parameter; empty for a name without a value, none for an absent name.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let (_, query) = self.uri.split_once('?')?;
        let mut pairs = query
            .split('&')
            .map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        Some(pairs.find(|(key, _)| *key == name)?.1)
    }

    /// The value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        Some(headers.find(|(key, _)| key == name)?.1.as_str())
    }
}

//! As much of HTTP/1.1 as a stand-in needs, so that it can also break it.

use std::io::{BufRead, BufReader};
use std::net::TcpStream;

/// A request without its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpRequest {
    pub uri: String,
    /// Names in small letters.
    pub headers: Vec<(String, String)>,
}

impl HttpRequest {
    /// The next request of a connection; none at its end.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return None;
        }
        let mut call = Self {
            uri: line.split(' ').nth(1).unwrap_or("").to_string(),
            headers: Vec::new(),
        };
        loop {
            line.clear();
            if reader.read_line(&mut line).unwrap_or(0) <= 2 {
                return Some(call);
            }
            if let Some((name, value)) = line.trim_end().split_once(':') {
                let header = (name.to_ascii_lowercase(), value.trim().to_string());
                call.headers.push(header);
            }
        }
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.uri.split('?').next().unwrap_or("")
    }

    /// A value of the query; empty for a name without one.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let (_, query) = self.uri.split_once('?')?;
        let mut pairs = query
            .split('&')
            .map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        Some(pairs.find(|(key, _)| *key == name)?.1)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        Some(headers.find(|(key, _)| key == name)?.1.as_str())
    }
}

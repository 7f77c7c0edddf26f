//! One connection to Consul, kept from call to call: at most one call is open a data centre.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::task::{AbortHandle, yield_now};
use tokio::time::timeout;
use violetwind_catalogue::Row;

use crate::query::ResponseHead;
use crate::rows::{RowParser, RowSplitter};
use crate::rules::{Api, Settings};
use crate::token::Token;
use violetwind_net::{SharedTcpStream, connect};

/// Why there is no list.
#[derive(Debug)]
pub(crate) struct QueryError {
    pub head: Option<ResponseHead>,
    pub error: String,
}

impl QueryError {
    fn of(error: impl ToString) -> Self {
        Self {
            head: None,
            error: error.to_string(),
        }
    }
}

/// A list that was read to its end.
#[derive(Debug, Default)]
pub(crate) struct ParsedList {
    pub rows: Vec<Row>,
    pub invalid_rows: usize,
    pub first_error: Option<String>,
    /// The time that reading it kept the processor.
    pub parse_time: Duration,
}

pub(crate) struct Client<'a> {
    settings: &'a Settings,
    datacenter: Option<&'a str>,
    connection: Option<Connection>,
}

/// Ends its connection when it is dropped, whatever call is under way.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<'a> Client<'a> {
    pub fn new(settings: &'a Settings, datacenter: Option<&'a str>) -> Self {
        Self {
            settings,
            datacenter,
            connection: None,
        }
    }

    /// The next call has a fresh connection; one that is out has ended with this.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// The head of an answer, which says whether the body is wanted.
    pub async fn send_query(
        &mut self,
        index: Option<u64>,
        token: Option<&Token>,
    ) -> Result<(ResponseHead, Response<Incoming>), QueryError> {
        let limits = &self.settings.limits;
        // The API adds up to a sixteenth to the wait, by chance.
        let waits = index.map_or(Duration::ZERO, |_| {
            limits.blocking_wait + limits.blocking_wait / 16
        });
        let call = timeout(waits + limits.response_margin, self.call(index, token)).await;
        let response = call.map_err(|_| QueryError::of("no answer in time"))??;
        let head = head(response.status().as_u16(), response.headers());
        if head.status != 200 {
            let error = format!("status {}", head.status);
            return Err(QueryError {
                head: Some(head),
                error,
            });
        }
        Ok((head, response))
    }

    async fn call(
        &mut self,
        index: Option<u64>,
        token: Option<&Token>,
    ) -> Result<Response<Incoming>, QueryError> {
        let path = self.path(index);
        let sender = self.connected().await?;
        sender.ready().await.map_err(QueryError::of)?;
        let mut request = Request::get(path)
            .body(Empty::new())
            .map_err(QueryError::of)?;
        let headers = request.headers_mut();
        let host = HeaderValue::from_str(&self.settings.address.to_string());
        headers.insert(HOST, host.map_err(QueryError::of)?);
        if let Some(token) = token {
            let value = HeaderValue::from_str(token.secret());
            let mut value = value.map_err(|_| QueryError::of("a token that no header can hold"))?;
            value.set_sensitive(true);
            headers.insert("X-Consul-Token", value);
        }
        let sender = self.connected().await?;
        sender.send_request(request).await.map_err(QueryError::of)
    }

    fn path(&self, index: Option<u64>) -> String {
        let kind = match self.settings.api {
            Api::Health => "health",
            Api::Catalog => "catalog",
        };
        let mut path = format!("/v1/{kind}/service/{}", self.settings.service);
        let mut between = '?';
        let mut add = |text: String| {
            path.push(between);
            path.push_str(&text);
            between = '&';
        };
        if let Some(datacenter) = self.datacenter {
            add(format!("dc={datacenter}"));
        }
        if self.settings.allow_stale {
            add("stale".into());
        }
        if let Some(index) = index {
            let wait = self.settings.limits.blocking_wait.as_millis();
            add(format!("index={index}&wait={wait}ms"));
        }
        path
    }

    async fn connected(&mut self) -> Result<&mut SendRequest<Empty<Bytes>>, QueryError> {
        if !matches!(&self.connection, Some(connection) if !connection.sender.is_closed()) {
            self.connection = None;
            let connect = connect(self.settings.address);
            let stream = timeout(self.settings.limits.connect_timeout, connect).await;
            let stream = stream.map_err(|_| QueryError::of("never comes up"))?;
            let stream = stream.map_err(|error| QueryError::of(error.into_inner()))?;
            let _ = stream.set_nodelay(true);
            let (sender, connection) = http1::handshake(TokioIo::new(SharedTcpStream::new(stream)))
                .await
                .map_err(QueryError::of)?;
            // Each call hears of an error itself.
            let task = tokio::task::spawn_local(async move {
                let _ = connection.await;
            });
            let task = task.abort_handle();
            self.connection = Some(Connection { sender, task });
        }
        let connection = self.connection.as_mut();
        Ok(&mut connection
            .ok_or_else(|| QueryError::of("not connected"))?
            .sender)
    }

    /// Reads a body to its end, row by row; without `wanted` it is only passed over.
    pub async fn read_list(
        &self,
        response: Response<Incoming>,
        wanted: bool,
    ) -> Result<ParsedList, QueryError> {
        let limits = &self.settings.limits;
        let reading = self.read_body(response.into_body(), wanted);
        let read = timeout(limits.body_timeout, reading).await;
        read.map_err(|_| QueryError::of("a body that does not end"))?
    }

    async fn read_body(&self, mut body: Incoming, wanted: bool) -> Result<ParsedList, QueryError> {
        let limits = &self.settings.limits;
        let mut cutter = RowSplitter::new(limits);
        let mut reader = RowParser::new(self.settings.api, &self.settings.rules, limits);
        let (mut bytes, mut took) = (0, Duration::ZERO);
        loop {
            let frame = timeout(limits.body_idle_timeout, body.frame()).await;
            let frame = frame.map_err(|_| QueryError::of("a body that stalls"))?;
            let Some(frame) = frame else { break };
            let frame = frame.map_err(QueryError::of)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            bytes += data.len();
            if bytes > limits.max_body_bytes {
                return Err(QueryError::of(format!(
                    "more than {} bytes",
                    limits.max_body_bytes
                )));
            }
            let slices = data.chunks(limits.chunk_bytes.max(1));
            for slice in slices.filter(|_| wanted) {
                let start = Instant::now();
                let cut = cutter.feed(slice, |row| reader.parse_row(row));
                took += start.elapsed();
                cut.map_err(QueryError::of)?;
                // Connections are served between two parts of a long list.
                yield_now().await;
            }
        }
        if wanted {
            cutter.finish().map_err(QueryError::of)?;
        }
        Ok(ParsedList {
            rows: reader.rows,
            invalid_rows: reader.invalid_rows,
            first_error: reader.first_error,
            parse_time: took,
        })
    }
}

fn head(status: u16, headers: &HeaderMap) -> ResponseHead {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let number = |name: &str| text(name).and_then(|text| text.trim().parse().ok());
    ResponseHead {
        status,
        index: number("X-Consul-Index"),
        leaderless: text("X-Consul-KnownLeader").is_some_and(|known| known.trim() == "false"),
        last_contact: Duration::from_millis(number("X-Consul-LastContact").unwrap_or(0)),
        retry_after: number(RETRY_AFTER.as_str()).map(Duration::from_secs),
    }
}

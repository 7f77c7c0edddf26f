//! The HTTP connection to Consul, reused between queries: each data centre has at most one query in flight.

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

/// A query that failed to deliver a list.
#[derive(Debug)]
pub(crate) struct QueryError {
    /// The head of the response, if one was received with a status other than 200.
    pub head: Option<ResponseHead>,
    pub error: String,
}

impl QueryError {
    fn from_error(error: impl ToString) -> Self {
        Self {
            head: None,
            error: error.to_string(),
        }
    }
}

/// The rows of a response body that was read completely.
#[derive(Debug, Default)]
pub(crate) struct ParsedList {
    pub rows: Vec<Row>,
    pub invalid_rows: usize,
    pub first_error: Option<String>,
    /// The time spent on parsing, during which no other task ran on the thread.
    pub parse_time: Duration,
}

/// Queries one service in one data centre.
pub(crate) struct Client<'a> {
    settings: &'a Settings,
    datacenter: Option<&'a str>,
    connection: Option<Connection>,
}

/// A connection that is closed when it is dropped, even with a query in flight.
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

    /// Closes the connection, which aborts a query in flight. The next query opens a new one.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Sends a query and waits for the head of the response, which decides whether the body is parsed. With an
    /// index the query blocks until the list has changed since, or until the wait is over. Fails on a timeout, a
    /// connection error or a status other than 200.
    pub async fn send_query(
        &mut self,
        index: Option<u64>,
        token: Option<&Token>,
    ) -> Result<(ResponseHead, Response<Incoming>), QueryError> {
        let limits = &self.settings.limits;
        // Consul adds a random time of up to a sixteenth to the wait.
        let server_wait = index.map_or(Duration::ZERO, |_| {
            limits.blocking_wait + limits.blocking_wait / 16
        });
        let result = timeout(
            server_wait + limits.response_margin,
            self.send_request(index, token),
        )
        .await;
        let response = result.map_err(|_| QueryError::from_error("no response in time"))??;
        let head = parse_head(response.status().as_u16(), response.headers());
        if head.status != 200 {
            let error = format!("status {}", head.status);
            return Err(QueryError {
                head: Some(head),
                error,
            });
        }
        Ok((head, response))
    }

    async fn send_request(
        &mut self,
        index: Option<u64>,
        token: Option<&Token>,
    ) -> Result<Response<Incoming>, QueryError> {
        let path = self.request_path(index);
        let sender = self.ensure_connected().await?;
        sender.ready().await.map_err(QueryError::from_error)?;
        let mut request = Request::get(path)
            .body(Empty::new())
            .map_err(QueryError::from_error)?;
        let headers = request.headers_mut();
        let host = HeaderValue::from_str(&self.settings.address.to_string());
        headers.insert(HOST, host.map_err(QueryError::from_error)?);
        if let Some(token) = token {
            let value = HeaderValue::from_str(token.secret());
            let mut value = value.map_err(|_| {
                QueryError::from_error("token contains characters that a header cannot hold")
            })?;
            value.set_sensitive(true);
            headers.insert("X-Consul-Token", value);
        }
        let sender = self.ensure_connected().await?;
        sender
            .send_request(request)
            .await
            .map_err(QueryError::from_error)
    }

    fn request_path(&self, index: Option<u64>) -> String {
        let kind = match self.settings.api {
            Api::Health => "health",
            Api::Catalog => "catalog",
        };
        let mut path = format!("/v1/{kind}/service/{}", self.settings.service);
        let mut separator = '?';
        let mut append = |text: String| {
            path.push(separator);
            path.push_str(&text);
            separator = '&';
        };
        if let Some(datacenter) = self.datacenter {
            append(format!("dc={datacenter}"));
        }
        if self.settings.allow_stale {
            append("stale".into());
        }
        if let Some(index) = index {
            let wait = self.settings.limits.blocking_wait.as_millis();
            append(format!("index={index}&wait={wait}ms"));
        }
        path
    }

    async fn ensure_connected(&mut self) -> Result<&mut SendRequest<Empty<Bytes>>, QueryError> {
        if !matches!(&self.connection, Some(connection) if !connection.sender.is_closed()) {
            self.connection = None;
            let connect = connect(self.settings.address);
            let stream = timeout(self.settings.limits.connect_timeout, connect).await;
            let stream = stream.map_err(|_| QueryError::from_error("connection timed out"))?;
            let stream = stream.map_err(|error| QueryError::from_error(error.into_inner()))?;
            let _ = stream.set_nodelay(true);
            let (sender, connection) = http1::handshake(TokioIo::new(SharedTcpStream::new(stream)))
                .await
                .map_err(QueryError::from_error)?;
            // A connection error is also returned to the query in flight.
            let task = tokio::task::spawn_local(async move {
                let _ = connection.await;
            });
            let task = task.abort_handle();
            self.connection = Some(Connection { sender, task });
        }
        let connection = self.connection.as_mut();
        Ok(&mut connection
            .ok_or_else(|| QueryError::from_error("not connected"))?
            .sender)
    }

    /// Reads a body to its end, row by row. Without `wanted` the body is discarded unparsed.
    pub async fn read_list(
        &self,
        response: Response<Incoming>,
        wanted: bool,
    ) -> Result<ParsedList, QueryError> {
        let limits = &self.settings.limits;
        let reading = self.read_body(response.into_body(), wanted);
        let read = timeout(limits.body_timeout, reading).await;
        read.map_err(|_| QueryError::from_error("response body not complete in time"))?
    }

    async fn read_body(&self, mut body: Incoming, wanted: bool) -> Result<ParsedList, QueryError> {
        let limits = &self.settings.limits;
        let mut splitter = RowSplitter::new(limits);
        let mut parser = RowParser::new(self.settings.api, &self.settings.rules, limits);
        let (mut bytes_read, mut parse_time) = (0, Duration::ZERO);
        loop {
            let frame = timeout(limits.body_idle_timeout, body.frame()).await;
            let frame = frame.map_err(|_| QueryError::from_error("response body stalled"))?;
            let Some(frame) = frame else { break };
            let frame = frame.map_err(QueryError::from_error)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            bytes_read += data.len();
            if bytes_read > limits.max_body_bytes {
                return Err(QueryError::from_error(format!(
                    "response body longer than {} bytes",
                    limits.max_body_bytes
                )));
            }
            let chunks = data.chunks(limits.chunk_bytes.max(1));
            for chunk in chunks.filter(|_| wanted) {
                let start = Instant::now();
                let result = splitter.feed(chunk, |row| parser.parse_row(row));
                parse_time += start.elapsed();
                result.map_err(QueryError::from_error)?;
                // Lets other tasks serve connections between two chunks of a long list.
                yield_now().await;
            }
        }
        if wanted {
            splitter.finish().map_err(QueryError::from_error)?;
        }
        Ok(ParsedList {
            rows: parser.rows,
            invalid_rows: parser.invalid_rows,
            first_error: parser.first_error,
            parse_time,
        })
    }
}

fn parse_head(status: u16, headers: &HeaderMap) -> ResponseHead {
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

//! Watches one service in one data centre by blocking queries.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{interval, sleep};
use tracing::{info, warn};
use violetwind_catalogue::{Row, SourceUpdate};
use violetwind_engine::EngineEvent;

use crate::client::{Client, ParsedList, QueryError};
use crate::query::{BlockingQuery, ResponseHead, ResponseKind};
use crate::rules::Settings;
use crate::token::Token;

/// Sends Consul's lists to the engine as updates of the source `name`, until the engine has ended.
pub async fn watch_service(
    settings: Rc<Settings>,
    datacenter: Option<String>,
    name: Rc<str>,
    engine: mpsc::Sender<EngineEvent>,
) {
    let mut client = Client::new(&settings, datacenter.as_deref());
    let mut query = BlockingQuery::new(settings.limits.clone());
    let mut token = TokenFile::new(&settings);
    let mut last_reported: Option<String> = None;
    loop {
        token.refresh(&name);
        let index = query.next_index();
        let response = tokio::select! {
            response = query_list(&mut client, &query, index, token.get()) => Some(response),
            // A query in flight was sent with the old token, so it is repeated with the new one.
            () = token.wait_for_change() => None,
        };
        let Some(response) = response else {
            info!(
                source = &*name,
                "token replaced: repeating the query with the new token"
            );
            client.disconnect();
            continue;
        };
        let (update, delay) = match response {
            Ok((head, kind, list)) => {
                report_invalid_rows(&name, &list, &mut last_reported);
                let resets = query.index_resets;
                let delay = query.record_success(&head, kind, list.parse_time);
                if query.index_resets > resets {
                    warn!(
                        source = &*name,
                        index = head.index,
                        "index missing, zero or lower than before: next query asks for the current list"
                    );
                }
                (to_source_update(kind, list.rows), delay)
            }
            Err(error) => {
                client.disconnect();
                warn!(
                    source = &*name,
                    error = error.error,
                    "query to consul failed"
                );
                let jitter = rand::random_range(0.0..1.0);
                (
                    SourceUpdate::Unavailable,
                    query.record_failure(error.head.as_ref(), jitter),
                )
            }
        };
        if !send_update(&engine, &name, update, settings.limits.chunk_rows).await {
            return;
        }
        sleep(delay).await;
    }
}

/// Sends an update to the engine, a long snapshot in parts between which other tasks serve connections. Returns
/// false if the engine has ended.
async fn send_update(
    engine: &mpsc::Sender<EngineEvent>,
    name: &Rc<str>,
    update: SourceUpdate,
    chunk_rows: usize,
) -> bool {
    let send = async |update| {
        engine
            .send(EngineEvent::SourceUpdate(name.clone(), update))
            .await
            .is_ok()
    };
    let mut rows = match update {
        SourceUpdate::Snapshot(rows) if rows.len() > chunk_rows => rows.into_iter().peekable(),
        update => return send(update).await,
    };
    let mut first = true;
    while rows.peek().is_some() {
        let chunk: Vec<Row> = rows.by_ref().take(chunk_rows.max(1)).collect();
        let update = SourceUpdate::SnapshotPart {
            first: std::mem::take(&mut first),
            last: rows.peek().is_none(),
            rows: chunk,
        };
        if !send(update).await {
            return false;
        }
        yield_now().await;
    }
    true
}

/// Queries Consul once. Returns the current list and the first error in its rows, or why there is no list.
pub async fn fetch_once(
    settings: &Settings,
    datacenter: Option<&str>,
) -> Result<(SourceUpdate, Option<String>), String> {
    let mut token = None;
    if let Some(path) = &settings.token_file {
        token = Some(Token::read(path, settings.limits.max_token_bytes)?);
    }
    let mut client = Client::new(settings, datacenter);
    let query = BlockingQuery::new(settings.limits.clone());
    match query_list(&mut client, &query, None, token.as_ref()).await {
        Ok((_, kind, list)) => Ok((to_source_update(kind, list.rows), list.first_error)),
        Err(error) => Err(error.error),
    }
}

async fn query_list(
    client: &mut Client<'_>,
    query: &BlockingQuery,
    index: Option<u64>,
    token: Option<&Token>,
) -> Result<(ResponseHead, ResponseKind, ParsedList), QueryError> {
    let (head, response) = client.send_query(index, token).await?;
    let kind = query.classify_response(&head);
    let list = client
        .read_list(response, kind != ResponseKind::Unchanged)
        .await?;
    Ok((head, kind, list))
}

fn to_source_update(kind: ResponseKind, rows: Vec<Row>) -> SourceUpdate {
    match kind {
        ResponseKind::Snapshot => SourceUpdate::Snapshot(rows),
        ResponseKind::Unchanged => SourceUpdate::Unchanged,
        ResponseKind::StaleSnapshot => SourceUpdate::StaleSnapshot(rows),
        ResponseKind::Refused | ResponseKind::Forbidden => SourceUpdate::Unavailable,
    }
}

/// Logs invalid rows, unless the first error is the one that was logged last.
fn report_invalid_rows(name: &str, list: &ParsedList, last_reported: &mut Option<String>) {
    if list.first_error.is_some() && list.first_error != *last_reported {
        warn!(
            source = name,
            faults = list.invalid_rows,
            first = list.first_error,
            "invalid rows skipped"
        );
    }
    if !list.rows.is_empty() || list.first_error.is_some() {
        last_reported.clone_from(&list.first_error);
    }
}

/// The token file and the token last read from it.
struct TokenFile<'a> {
    settings: &'a Settings,
    token: Option<Token>,
    /// Whether the last attempt to read the file failed.
    unreadable: bool,
}

impl<'a> TokenFile<'a> {
    fn new(settings: &'a Settings) -> Self {
        Self {
            settings,
            token: None,
            unreadable: false,
        }
    }

    fn get(&self) -> Option<&Token> {
        self.token.as_ref()
    }

    fn read_token(&self) -> Option<Result<Token, String>> {
        let path = self.settings.token_file.as_ref()?;
        Some(Token::read(path, self.settings.limits.max_token_bytes))
    }

    /// Reads the file again. If it is incomplete or missing, the token stays unchanged.
    fn refresh(&mut self, name: &str) {
        match self.read_token() {
            Some(Ok(token)) => (self.token, self.unreadable) = (Some(token), false),
            Some(Err(error)) if !std::mem::replace(&mut self.unreadable, true) => {
                warn!(
                    source = name,
                    error, "token file not usable: token unchanged"
                );
            }
            _ => {}
        }
    }

    /// Waits until the file contains a token other than the current one; forever without a token file.
    async fn wait_for_change(&self) {
        let poll_interval = self
            .settings
            .limits
            .token_poll_interval
            .max(Duration::from_millis(10));
        let mut ticker = interval(poll_interval);
        ticker.tick().await;
        loop {
            ticker.tick().await;
            match self.read_token() {
                None => return std::future::pending().await,
                Some(Ok(token)) if Some(&token) != self.token.as_ref() => return,
                _ => {}
            }
        }
    }
}

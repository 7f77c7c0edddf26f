//! Watches one service in one data centre for good.

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

/// Tells the engine what Consul lists, under the source's name, until the engine is gone.
pub async fn watch_service(
    settings: Rc<Settings>,
    datacenter: Option<String>,
    name: Rc<str>,
    engine: mpsc::Sender<EngineEvent>,
) {
    let mut client = Client::new(&settings, datacenter.as_deref());
    let mut query = BlockingQuery::new(settings.limits.clone());
    let mut token = Secret::new(&settings);
    let mut noted: Option<String> = None;
    loop {
        token.refresh(&name);
        let index = query.next_index();
        let answer = tokio::select! {
            answer = call(&mut client, &query, index, token.get()) => Some(answer),
            // A call that is out goes on with the old token; it is made again with the new one.
            () = token.changed() => None,
        };
        let Some(answer) = answer else {
            info!(
                source = &*name,
                "the token was replaced: the call is made again"
            );
            client.disconnect();
            continue;
        };
        let (telling, wait) = match answer {
            Ok((head, verdict, read)) => {
                note_faults(&name, &read, &mut noted);
                let resets = query.index_resets;
                let wait = query.record_success(&head, verdict, read.parse_time);
                if query.index_resets > resets {
                    warn!(
                        source = &*name,
                        index = head.index,
                        "an index that went back or is none: asked anew"
                    );
                }
                (told(verdict, read.rows), wait)
            }
            Err(failure) => {
                client.disconnect();
                warn!(source = &*name, error = failure.error, "consul");
                let chance = rand::random_range(0.0..1.0);
                (
                    SourceUpdate::Unavailable,
                    query.record_failure(failure.head.as_ref(), chance),
                )
            }
        };
        if !tell(&engine, &name, telling, settings.limits.chunk_rows).await {
            return;
        }
        sleep(wait).await;
    }
}

/// Tells the engine, a long list in parts between which connections are served. False if it is gone.
async fn tell(
    engine: &mpsc::Sender<EngineEvent>,
    name: &Rc<str>,
    telling: SourceUpdate,
    slice: usize,
) -> bool {
    let send = async |telling| {
        engine
            .send(EngineEvent::SourceUpdate(name.clone(), telling))
            .await
            .is_ok()
    };
    let mut rows = match telling {
        SourceUpdate::Snapshot(rows) if rows.len() > slice => rows.into_iter().peekable(),
        telling => return send(telling).await,
    };
    let mut first = true;
    while rows.peek().is_some() {
        let part: Vec<Row> = rows.by_ref().take(slice.max(1)).collect();
        let telling = SourceUpdate::SnapshotPart {
            first: std::mem::take(&mut first),
            last: rows.peek().is_none(),
            rows: part,
        };
        if !send(telling).await {
            return false;
        }
        yield_now().await;
    }
    true
}

/// What Consul lists now, asked once: the rows, and what was wrong with some of them.
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
    match call(&mut client, &query, None, token.as_ref()).await {
        Ok((_, verdict, read)) => Ok((told(verdict, read.rows), read.first_error)),
        Err(failure) => Err(failure.error),
    }
}

async fn call(
    client: &mut Client<'_>,
    query: &BlockingQuery,
    index: Option<u64>,
    token: Option<&Token>,
) -> Result<(ResponseHead, ResponseKind, ParsedList), QueryError> {
    let (head, response) = client.send_query(index, token).await?;
    let verdict = query.classify_response(&head);
    let read = client
        .read_list(response, verdict != ResponseKind::Unchanged)
        .await?;
    Ok((head, verdict, read))
}

fn told(verdict: ResponseKind, rows: Vec<Row>) -> SourceUpdate {
    match verdict {
        ResponseKind::Snapshot => SourceUpdate::Snapshot(rows),
        ResponseKind::Unchanged => SourceUpdate::Unchanged,
        ResponseKind::StaleSnapshot => SourceUpdate::StaleSnapshot(rows),
        ResponseKind::Refused | ResponseKind::Forbidden => SourceUpdate::Unavailable,
    }
}

/// Rows that make no sense are told once, until something else is wrong.
fn note_faults(name: &str, read: &ParsedList, noted: &mut Option<String>) {
    if read.first_error.is_some() && read.first_error != *noted {
        warn!(
            source = name,
            faults = read.invalid_rows,
            first = read.first_error,
            "rows that make no sense are passed over"
        );
    }
    if !read.rows.is_empty() || read.first_error.is_some() {
        noted.clone_from(&read.first_error);
    }
}

/// The token as its file last had it.
struct Secret<'a> {
    settings: &'a Settings,
    token: Option<Token>,
    /// The file could not be read the last time.
    broken: bool,
}

impl<'a> Secret<'a> {
    fn new(settings: &'a Settings) -> Self {
        Self {
            settings,
            token: None,
            broken: false,
        }
    }

    fn get(&self) -> Option<&Token> {
        self.token.as_ref()
    }

    fn read(&self) -> Option<Result<Token, String>> {
        let path = self.settings.token_file.as_ref()?;
        Some(Token::read(path, self.settings.limits.max_token_bytes))
    }

    /// Reads the file again. One that is half written or gone leaves the token as it was.
    fn refresh(&mut self, name: &str) {
        match self.read() {
            Some(Ok(token)) => (self.token, self.broken) = (Some(token), false),
            Some(Err(error)) if !std::mem::replace(&mut self.broken, true) => {
                warn!(source = name, error, "the token stays as it was");
            }
            _ => {}
        }
    }

    /// Returns when the file holds another token than this.
    async fn changed(&self) {
        let every = self
            .settings
            .limits
            .token_poll_interval
            .max(Duration::from_millis(10));
        let mut ticks = interval(every);
        ticks.tick().await;
        loop {
            ticks.tick().await;
            match self.read() {
                None => return std::future::pending().await,
                Some(Ok(token)) if Some(&token) != self.token.as_ref() => return,
                _ => {}
            }
        }
    }
}

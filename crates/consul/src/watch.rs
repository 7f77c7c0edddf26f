//! Watches one service in one data centre for good.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{interval, sleep};
use tracing::{info, warn};
use violetwind_catalogue::{Row, Telling};
use violetwind_engine::EngineEvent;

use crate::client::{Client, Failure, Read};
use crate::query::{Head, Query, Verdict};
use crate::rules::Settings;
use crate::token::Token;

/// Tells the engine what Consul lists, under the source's name, until the engine is gone.
pub async fn watch(
    settings: Rc<Settings>,
    datacenter: Option<String>,
    name: Rc<str>,
    engine: mpsc::Sender<EngineEvent>,
) {
    let mut client = Client::new(&settings, datacenter.as_deref());
    let mut query = Query::new(settings.limits.clone());
    let mut token = Secret::new(&settings);
    let mut noted: Option<String> = None;
    loop {
        token.refresh(&name);
        let index = query.ask();
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
            client.hang_up();
            continue;
        };
        let (telling, wait) = match answer {
            Ok((head, verdict, read)) => {
                note_faults(&name, &read, &mut noted);
                let resets = query.resets;
                let wait = query.read(&head, verdict, read.took);
                if query.resets > resets {
                    warn!(
                        source = &*name,
                        index = head.index,
                        "an index that went back or is none: asked anew"
                    );
                }
                (told(verdict, read.rows), wait)
            }
            Err(failure) => {
                client.hang_up();
                warn!(source = &*name, error = failure.error, "consul");
                let chance = rand::random_range(0.0..1.0);
                (Telling::Lost, query.failed(failure.head.as_ref(), chance))
            }
        };
        if !tell(&engine, &name, telling, settings.limits.slice_rows).await {
            return;
        }
        sleep(wait).await;
    }
}

/// Tells the engine, a long list in parts between which connections are served. False if it is gone.
async fn tell(
    engine: &mpsc::Sender<EngineEvent>,
    name: &Rc<str>,
    telling: Telling,
    slice: usize,
) -> bool {
    let send = async |telling| {
        engine
            .send(EngineEvent::SourceUpdate(name.clone(), telling))
            .await
            .is_ok()
    };
    let mut rows = match telling {
        Telling::Whole(rows) if rows.len() > slice => rows.into_iter().peekable(),
        telling => return send(telling).await,
    };
    let mut first = true;
    while rows.peek().is_some() {
        let part: Vec<Row> = rows.by_ref().take(slice.max(1)).collect();
        let telling = Telling::Part {
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
pub async fn once(
    settings: &Settings,
    datacenter: Option<&str>,
) -> Result<(Telling, Option<String>), String> {
    let mut token = None;
    if let Some(path) = &settings.token_file {
        token = Some(Token::read(path, settings.limits.token_bytes)?);
    }
    let mut client = Client::new(settings, datacenter);
    let query = Query::new(settings.limits.clone());
    match call(&mut client, &query, None, token.as_ref()).await {
        Ok((_, verdict, read)) => Ok((told(verdict, read.rows), read.fault)),
        Err(failure) => Err(failure.error),
    }
}

async fn call(
    client: &mut Client<'_>,
    query: &Query,
    index: Option<u64>,
    token: Option<&Token>,
) -> Result<(Head, Verdict, Read), Failure> {
    let (head, response) = client.ask(index, token).await?;
    let verdict = query.judge(&head);
    let read = client.read(response, verdict != Verdict::Same).await?;
    Ok((head, verdict, read))
}

fn told(verdict: Verdict, rows: Vec<Row>) -> Telling {
    match verdict {
        Verdict::Whole => Telling::Whole(rows),
        Verdict::Same => Telling::Same,
        Verdict::Stale => Telling::Stale(rows),
        Verdict::Refused | Verdict::Forbidden => Telling::Lost,
    }
}

/// Rows that make no sense are told once, until something else is wrong.
fn note_faults(name: &str, read: &Read, noted: &mut Option<String>) {
    if read.fault.is_some() && read.fault != *noted {
        warn!(
            source = name,
            faults = read.faults,
            first = read.fault,
            "rows that make no sense are passed over"
        );
    }
    if !read.rows.is_empty() || read.fault.is_some() {
        noted.clone_from(&read.fault);
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
        Some(Token::read(path, self.settings.limits.token_bytes))
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
            .token_every
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

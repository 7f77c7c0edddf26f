//! Carries out what operators call for: in the engine and on disk. An answer begins with 200
//! only once both have it.

use std::cell::Cell;
use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;
use tracing::{info, warn};
use violetwind_engine::{Notice, Reply};
use violetwind_service::call::Call;
use violetwind_service::{Bans, Change, handover};

use crate::limits::Limits;

/// Where this process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    Starting,
    Serving,
    Ending,
}

#[derive(Debug)]
pub struct Service {
    limits: Rc<Limits>,
    engine: mpsc::Sender<Notice>,
    /// The directory that outlives this process in an upgrade.
    dir: Option<PathBuf>,
    /// Whether the list is known.
    ready: watch::Receiver<bool>,
    left: Cell<bool>,
    stand: Cell<Stand>,
}

impl Service {
    pub fn new(
        limits: &Rc<Limits>,
        engine: mpsc::Sender<Notice>,
        ready: watch::Receiver<bool>,
        dir: Option<PathBuf>,
        left: bool,
    ) -> Rc<Self> {
        Rc::new(Self {
            limits: limits.clone(),
            engine,
            dir,
            ready,
            left: Cell::new(left),
            stand: Cell::new(Stand::Starting),
        })
    }

    /// Whether operators have emptied the proxy: the front must not send it clients.
    pub fn left(&self) -> bool {
        self.left.get()
    }

    pub fn stand(&self) -> Stand {
        self.stand.get()
    }

    pub fn set_stand(&self, stand: Stand) {
        self.stand.set(stand);
    }

    /// The answer to a call, in time.
    pub async fn call(self: &Rc<Self>, call: Call) -> String {
        let service = self.clone();
        // A caller that is given up must not leave half of it done.
        let task = tokio::task::spawn_local(async move {
            match call {
                Call::Health => service.health().await,
                Call::Change(change) => service.apply(change).await,
            }
        });
        match timeout(self.limits.call_answer, task).await {
            Ok(Ok(Ok(word))) => format!("200 {word}"),
            Ok(Ok(Err(word))) => format!("400 {word}"),
            Ok(Err(error)) => format!("400 {error}"),
            Err(_) => "400 not in force yet: call again".to_string(),
        }
    }

    async fn health(&self) -> Result<String, String> {
        match self.stand() {
            Stand::Starting => return Err("starting".into()),
            Stand::Ending => return Err("ending".into()),
            Stand::Serving if !*self.ready.borrow() => return Err("no list of servers yet".into()),
            Stand::Serving => {}
        }
        let (reply, answer) = oneshot::channel();
        let gone = |_| "the engine has ended".to_string();
        let told = self.engine.send(Notice::Health(reply)).await;
        told.map_err(|_| "the engine has ended".to_string())?;
        let servers = answer.await.map_err(gone)?;
        let left = if self.left() { ", left" } else { "" };
        Ok(format!("serving, {servers} servers known{left}"))
    }

    /// Has a change in force here and on disk.
    pub async fn apply(&self, change: Change) -> Result<String, String> {
        let (reply, answer) = oneshot::channel();
        let gone = || "the engine has ended".to_string();
        let notice = Notice::Operator(change.clone(), reply);
        self.engine.send(notice).await.map_err(|_| gone())?;
        let (bans, same) = match answer.await.map_err(|_| gone())? {
            Reply::Changed(bans) => (bans, ""),
            Reply::Same(bans) => (bans, " already"),
            Reply::Unknown => return Err("no list has named this server".into()),
            Reply::Full => return Err("too many servers are out".into()),
            Reply::Ending => return Err("the proxy is told to end".into()),
        };
        let word = match &change {
            Change::Offline(uid) => format!("{uid} is out{same}"),
            Change::Online(uid) => format!("{uid} is in use{same}"),
            Change::Leave => format!("left{same}"),
            Change::Join => format!("back at work{same}"),
        };
        match change {
            Change::Leave | Change::Join => self.left.set(change == Change::Leave),
            Change::Offline(_) | Change::Online(_) => {
                if let Err(error) = self.keep(&bans) {
                    warn!(error, "the servers that are out can't be kept");
                    return Err(format!("{word}, but not kept for an upgrade: {error}"));
                }
            }
        }
        Ok(word)
    }

    /// Writes the bans where a successor finds them, in one step.
    fn keep(&self, bans: &Bans) -> Result<(), String> {
        let Some(dir) = &self.dir else {
            return Ok(());
        };
        let bytes = handover::frame(bans, &self.limits.service).ok_or("too many")?;
        let new = dir.join(format!("violetwind.bans.{}", std::process::id()));
        let written = fs::write(&new, bytes).and_then(|()| fs::rename(&new, bans_file(dir)));
        written.map_err(|error| format!("{}: {error}", dir.display()))
    }
}

fn bans_file(dir: &Path) -> PathBuf {
    dir.join("violetwind.bans")
}

/// The bans that an earlier process left. What can't be read counts as none.
pub fn kept(dir: &Path, limits: &violetwind_service::Limits) -> Bans {
    let path = bans_file(dir);
    let whole = fs::metadata(&path)
        .map(|file| file.is_file() && file.len() <= limits.frame_bytes as u64 + 64);
    let bans = match whole {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Bans::default(),
        Ok(true) => fs::read(&path)
            .map_err(|error| error.to_string())
            .and_then(|bytes| {
                handover::read_bans(&bytes, limits).map_err(|fault| fault.to_string())
            }),
        Ok(false) => Err("no ordinary file of its size".into()),
        Err(error) => Err(error.to_string()),
    };
    match bans {
        Ok(bans) => {
            if bans.count() > 0 {
                info!(out = ?bans.out().collect::<Vec<_>>(), "operators keep servers out");
            }
            bans
        }
        Err(error) => {
            warn!(error, file = %path.display(), "bans of an earlier process can't be read");
            Bans::default()
        }
    }
}

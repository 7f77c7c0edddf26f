//! A thread that appends records: all that wait go with one sync.

use std::io;
use std::sync::mpsc::{self, TryRecvError};
use std::thread;
use std::time::Duration;

use tracing::{info, warn};
use violetwind_fleet::{MemberRecord, Number};

use crate::error::StoreError;
use crate::log::Store;

/// What the thread tells.
#[derive(Debug)]
pub enum DiskEvent {
    /// All records up to this number are on disk.
    RecordsSaved(Number),
    /// Nothing more will be saved.
    WriteFailed(StoreError),
}

/// The way to the thread.
pub type RecordSender = mpsc::Sender<(Number, MemberRecord)>;

/// Starts the thread. While calls of the disk fail it tries again after each `retry` and acknowledges nothing. It ends
/// with the channel, and returns the store then.
///
/// # Errors
/// No thread can be started.
pub fn spawn_writer(
    mut store: Store,
    tell: impl Fn(DiskEvent) + Send + 'static,
    retry: Duration,
) -> io::Result<(RecordSender, thread::JoinHandle<Store>)> {
    let (records, queue) = mpsc::channel::<(Number, MemberRecord)>();
    let thread = thread::Builder::new().name("fleet-disk".into());
    let thread = thread.spawn(move || {
        while let Ok(first) = queue.recv() {
            let mut batch: Vec<_> = std::iter::once(first).chain(queue.try_iter()).collect();
            match save(&mut store, &mut batch, &queue, retry) {
                Ok(Some(last)) => tell(DiskEvent::RecordsSaved(last)),
                Ok(None) => return store,
                Err(error) => {
                    tell(DiskEvent::WriteFailed(error));
                    return store;
                }
            }
        }
        store
    })?;
    Ok((records, thread))
}

/// Appends a batch, however long that takes; what comes meanwhile joins it. The number of the last record, or none if
/// nobody waits for it any more.
fn save(
    store: &mut Store,
    batch: &mut Vec<(Number, MemberRecord)>,
    queue: &mpsc::Receiver<(Number, MemberRecord)>,
    retry: Duration,
) -> Result<Option<Number>, StoreError> {
    let mut failed = false;
    loop {
        let records: Vec<MemberRecord> = batch.iter().map(|(_, record)| record.clone()).collect();
        match store.append(&records) {
            Ok(()) => {
                if failed {
                    info!(dir = %store.path().display(), "the disk takes records again");
                }
                return Ok(batch.last().map(|(number, _)| *number));
            }
            Err(error) if error.is_transient() => {
                if !std::mem::replace(&mut failed, true) {
                    let why = if error.is_full() {
                        "no room"
                    } else {
                        "the disk fails"
                    };
                    warn!(%error, "{why}: this voter acknowledges nothing");
                }
            }
            Err(error) => return Err(error),
        }
        thread::sleep(retry);
        loop {
            match queue.try_recv() {
                Ok(more) => batch.push(more),
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => return Ok(None),
            }
        }
    }
}

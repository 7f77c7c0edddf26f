//! A thread that appends records: all queued records are written with one sync.

use std::io;
use std::sync::mpsc::{self, TryRecvError};
use std::thread;
use std::time::Duration;

use tracing::{info, warn};
use violetwind_fleet::{MemberRecord, Number};

use crate::error::StoreError;
use crate::log::Store;

/// An event of the writer thread.
#[derive(Debug)]
pub enum DiskEvent {
    /// All records up to this number are on disk.
    RecordsSaved(Number),
    /// Saving has failed for good; the thread ends.
    WriteFailed(StoreError),
}

/// The channel to the writer thread: numbered records.
pub type RecordSender = mpsc::Sender<(Number, MemberRecord)>;

/// Starts the writer thread. While disk operations fail, it retries every `retry_interval` and acknowledges nothing. It
/// ends when the channel is closed, and returns the store.
///
/// # Errors
/// If the thread can't be started.
pub fn spawn_writer(
    mut store: Store,
    on_event: impl Fn(DiskEvent) + Send + 'static,
    retry_interval: Duration,
) -> io::Result<(RecordSender, thread::JoinHandle<Store>)> {
    let (sender, receiver) = mpsc::channel::<(Number, MemberRecord)>();
    let thread = thread::Builder::new().name("fleet-disk".into());
    let thread = thread.spawn(move || {
        while let Ok(first) = receiver.recv() {
            let mut batch: Vec<_> = std::iter::once(first).chain(receiver.try_iter()).collect();
            match append_batch(&mut store, &mut batch, &receiver, retry_interval) {
                Ok(Some(last)) => on_event(DiskEvent::RecordsSaved(last)),
                Ok(None) => return store,
                Err(error) => {
                    on_event(DiskEvent::WriteFailed(error));
                    return store;
                }
            }
        }
        store
    })?;
    Ok((sender, thread))
}

/// Appends a batch, with retries until it succeeds; records that arrive meanwhile join the batch. Returns the number of
/// the last record, or `None` if the channel was closed before it was saved.
fn append_batch(
    store: &mut Store,
    batch: &mut Vec<(Number, MemberRecord)>,
    receiver: &mpsc::Receiver<(Number, MemberRecord)>,
    retry_interval: Duration,
) -> Result<Option<Number>, StoreError> {
    let mut is_failing = false;
    loop {
        let records: Vec<MemberRecord> = batch.iter().map(|(_, record)| record.clone()).collect();
        match store.append(&records) {
            Ok(()) => {
                if is_failing {
                    info!(dir = %store.path().display(), "the disk takes records again");
                }
                return Ok(batch.last().map(|(number, _)| *number));
            }
            Err(error) if error.is_transient() => {
                if !std::mem::replace(&mut is_failing, true) {
                    let why = if error.is_full() {
                        "no room"
                    } else {
                        "disk error"
                    };
                    warn!(%error, "{why}: this voter acknowledges no records until the disk accepts them");
                }
            }
            Err(error) => return Err(error),
        }
        thread::sleep(retry_interval);
        loop {
            match receiver.try_recv() {
                Ok(numbered_record) => batch.push(numbered_record),
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => return Ok(None),
            }
        }
    }
}

//! Writes records on a separate thread. Callers only put them into a bounded queue. If the disk is slow, full or
//! unavailable, records are dropped, counted and reported, and no caller is blocked.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tracing::{info, warn};

use crate::{MAGIC, Record, encode_record};

/// The limits of a [`Recorder`].
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The length at which a file is closed and the next one is started.
    pub max_file_bytes: u64,
    /// The number of older files that are kept.
    pub max_old_files: usize,
    /// The maximum number of queued records.
    pub queue_capacity: usize,
    /// How long records are dropped after a failed write before the next attempt.
    pub retry_delay: Duration,
    /// How long dropping the recorder waits until the queued records are written; a stalled disk must not block the
    /// exit of the program.
    pub flush_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_file_bytes: 64 << 20,
            max_old_files: 4,
            queue_capacity: 4096,
            retry_delay: Duration::from_secs(5),
            flush_timeout: Duration::from_millis(200),
        }
    }
}

/// Queues records for the writer thread. Dropping the recorder gives the thread a bounded time to write the queued
/// records.
#[derive(Debug)]
pub struct Recorder {
    queue: Option<SyncSender<Record>>,
    /// Records dropped since the last [`Record::Dropped`].
    dropped: Arc<AtomicU64>,
    /// Disconnects when the thread ends.
    thread_ended: Receiver<()>,
    flush_timeout: Duration,
}

impl Recorder {
    /// Starts a recording at `path`; older files with that name get the suffixes `.1`, `.2` and so on. Fails if the
    /// thread can't be started.
    pub fn start(path: &Path, classes: Vec<String>, limits: Limits) -> std::io::Result<Self> {
        let (queue, records) = sync_channel(limits.queue_capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let (thread_alive, thread_ended) = sync_channel(0);
        let flush_timeout = limits.flush_timeout;
        let writer = Writer {
            path: path.to_path_buf(),
            classes,
            limits,
            dropped: dropped.clone(),
            file: None,
            file_bytes: 0,
            paused_until: None,
        };
        thread::Builder::new()
            .name("record".into())
            .spawn(move || {
                writer.run(&records);
                drop::<SyncSender<()>>(thread_alive);
            })?;
        Ok(Self {
            queue: Some(queue),
            dropped,
            thread_ended,
            flush_timeout,
        })
    }

    /// Queues a record without blocking. If the queue is full, the record is dropped and counted.
    pub fn enqueue(&self, record: Record) {
        let queued = self.queue.as_ref().map(|queue| queue.try_send(record));
        if !matches!(queued, Some(Ok(()))) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.queue = None;
        if let Err(RecvTimeoutError::Timeout) = self.thread_ended.recv_timeout(self.flush_timeout) {
            warn!("recording: not all queued records were written before the flush timeout");
        }
    }
}

struct Writer {
    path: PathBuf,
    classes: Vec<String>,
    limits: Limits,
    dropped: Arc<AtomicU64>,
    file: Option<File>,
    file_bytes: u64,
    paused_until: Option<Instant>,
}

impl Writer {
    fn run(mut self, records: &Receiver<Record>) {
        while let Ok(record) = records.recv() {
            if self
                .paused_until
                .is_some_and(|paused_until| Instant::now() < paused_until)
            {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            if let Err(error) = self.write(&record) {
                let dropped = self.dropped.fetch_add(1, Ordering::Relaxed) + 1;
                warn!(path = %self.path.display(), %error, left = dropped, "recording pauses");
                // The file may end within a record, so no further records are appended to it.
                self.file = None;
                self.paused_until = Some(Instant::now() + self.limits.retry_delay);
            }
        }
        let dropped = self.dropped.load(Ordering::Relaxed);
        info!(path = %self.path.display(), left = dropped, "recording ends");
    }

    fn write(&mut self, record: &Record) -> std::io::Result<()> {
        if self.file.is_none() || self.file_bytes >= self.limits.max_file_bytes {
            self.open_next_file()?;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0
            && let Err(error) = self.append(&Record::Dropped(dropped))
        {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
            return Err(error);
        }
        self.append(record)
    }

    fn append(&mut self, record: &Record) -> std::io::Result<()> {
        let too_long = || std::io::Error::other("record exceeds the maximum length");
        let frame = encode_record(record).ok_or_else(too_long)?;
        let file = self
            .file
            .as_mut()
            .ok_or_else(|| std::io::Error::other("no open recording file"))?;
        file.write_all(&frame)?;
        self.file_bytes += frame.len() as u64;
        Ok(())
    }

    /// Rotates the older files, replacing the oldest, and starts a new file.
    fn open_next_file(&mut self) -> std::io::Result<()> {
        let rotated_path = |n: usize| -> PathBuf {
            let mut name = self.path.clone().into_os_string();
            name.push(format!(".{n}"));
            name.into()
        };
        for n in (1..self.limits.max_old_files).rev() {
            if rotated_path(n).exists() {
                fs::rename(rotated_path(n), rotated_path(n + 1))?;
            }
        }
        if self.path.exists() {
            match self.limits.max_old_files {
                0 => fs::remove_file(&self.path)?,
                _ => fs::rename(&self.path, rotated_path(1))?,
            }
        }
        let mut file = OpenOptions::new()
            .write(true)
            .create_new(true)
            .open(&self.path)?;
        file.write_all(MAGIC)?;
        self.file_bytes = MAGIC.len() as u64;
        self.file = Some(file);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let start = Record::Start {
            unix_ms: since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64),
            classes: self.classes.clone(),
        };
        self.append(&start)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The writer thread never ends if the disk stalls for good; the exit of the program used to wait for it.
    #[test]
    fn drop_does_not_wait_for_a_stalled_disk() {
        let (queue, _records) = sync_channel(1);
        let (_thread_alive, thread_ended) = sync_channel(0);
        let recorder = Recorder {
            queue: Some(queue),
            dropped: Arc::default(),
            thread_ended,
            flush_timeout: Duration::from_millis(20),
        };
        recorder.enqueue(Record::Dropped(1));
        drop(recorder);
    }
}

//! Writes records on a thread of its own. Serving only puts them into a bounded queue; when the disk is
//! slow, full or gone, records are left out, counted and told, and nobody waits.

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

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// A file is closed at this length and the next begun; so many older ones are kept beside it.
    pub max_file_bytes: u64,
    pub max_old_files: usize,
    /// Records on the way to the file.
    pub queue_capacity: usize,
    /// After a failure nothing is tried for so long.
    pub retry_delay: Duration,
    /// At the end the disk has so long to take what is queued; a stalled one must not hold up an exit.
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

/// Where requests are put. Dropping it gives the thread a bounded time to write what is queued.
#[derive(Debug)]
pub struct Recorder {
    queue: Option<SyncSender<Record>>,
    left: Arc<AtomicU64>,
    /// Hangs up when the thread ends.
    ended: Receiver<()>,
    farewell: Duration,
}

impl Recorder {
    /// Begins a recording at `path`; older files of that name get `.1`, `.2` and so on.
    pub fn start(path: &Path, classes: Vec<String>, limits: Limits) -> std::io::Result<Self> {
        let (queue, records) = sync_channel(limits.queue_capacity);
        let left = Arc::new(AtomicU64::new(0));
        let (end, ended) = sync_channel(0);
        let farewell = limits.flush_timeout;
        let writer = Writer {
            path: path.to_path_buf(),
            classes,
            limits,
            left: left.clone(),
            file: None,
            length: 0,
            paused_until: None,
        };
        thread::Builder::new()
            .name("record".into())
            .spawn(move || {
                writer.run(&records);
                drop::<SyncSender<()>>(end);
            })?;
        Ok(Self {
            queue: Some(queue),
            left,
            ended,
            farewell,
        })
    }

    /// Puts a record into the queue; with no room it is left out and counted.
    pub fn enqueue(&self, record: Record) {
        let queued = self.queue.as_ref().map(|queue| queue.try_send(record));
        if !matches!(queued, Some(Ok(()))) {
            self.left.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.queue = None;
        if let Err(RecvTimeoutError::Timeout) = self.ended.recv_timeout(self.farewell) {
            warn!("recording: the disk did not take all that was queued in time");
        }
    }
}

struct Writer {
    path: PathBuf,
    classes: Vec<String>,
    limits: Limits,
    left: Arc<AtomicU64>,
    file: Option<File>,
    length: u64,
    paused_until: Option<Instant>,
}

impl Writer {
    fn run(mut self, records: &Receiver<Record>) {
        while let Ok(record) = records.recv() {
            if self
                .paused_until
                .is_some_and(|until| Instant::now() < until)
            {
                self.left.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            if let Err(error) = self.write(&record) {
                let left = self.left.fetch_add(1, Ordering::Relaxed) + 1;
                warn!(path = %self.path.display(), %error, left, "recording pauses");
                // A file that may end within a record is not gone on with.
                self.file = None;
                self.paused_until = Some(Instant::now() + self.limits.retry_delay);
            }
        }
        let left = self.left.load(Ordering::Relaxed);
        info!(path = %self.path.display(), left, "recording ends");
    }

    fn write(&mut self, record: &Record) -> std::io::Result<()> {
        if self.file.is_none() || self.length >= self.limits.max_file_bytes {
            self.begin()?;
        }
        let left = self.left.swap(0, Ordering::Relaxed);
        if left > 0
            && let Err(error) = self.append(&Record::Dropped(left))
        {
            self.left.fetch_add(left, Ordering::Relaxed);
            return Err(error);
        }
        self.append(record)
    }

    fn append(&mut self, record: &Record) -> std::io::Result<()> {
        let too_long = || std::io::Error::other("a record that is too long");
        let frame = encode_record(record).ok_or_else(too_long)?;
        let file = self
            .file
            .as_mut()
            .ok_or_else(|| std::io::Error::other("no file"))?;
        file.write_all(&frame)?;
        self.length += frame.len() as u64;
        Ok(())
    }

    /// Moves older files on by one, the oldest away, and begins a new one.
    fn begin(&mut self) -> std::io::Result<()> {
        let numbered = |n: usize| -> PathBuf {
            let mut name = self.path.clone().into_os_string();
            name.push(format!(".{n}"));
            name.into()
        };
        for n in (1..self.limits.max_old_files).rev() {
            if numbered(n).exists() {
                fs::rename(numbered(n), numbered(n + 1))?;
            }
        }
        if self.path.exists() {
            match self.limits.max_old_files {
                0 => fs::remove_file(&self.path)?,
                _ => fs::rename(&self.path, numbered(1))?,
            }
        }
        let mut file = OpenOptions::new()
            .write(true)
            .create_new(true)
            .open(&self.path)?;
        file.write_all(MAGIC)?;
        self.length = MAGIC.len() as u64;
        self.file = Some(file);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let start = Record::Start {
            unix_ms: unix.map_or(0, |since| since.as_millis() as u64),
            classes: self.classes.clone(),
        };
        self.append(&start)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A disk that stalls for good: the thread never ends. The program's exit used to wait for it.
    #[test]
    fn a_stalled_disk_does_not_hold_up_the_end() {
        let (queue, _records) = sync_channel(1);
        let (_never, ended) = sync_channel(0);
        let recorder = Recorder {
            queue: Some(queue),
            left: Arc::default(),
            ended,
            farewell: Duration::from_millis(20),
        };
        recorder.enqueue(Record::Dropped(1));
        drop(recorder);
    }
}

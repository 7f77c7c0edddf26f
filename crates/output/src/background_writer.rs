//! Writes lines on a thread of its own, so that a stream that blocks, fails or is slow never holds up the thread that has
//! something to say. Lines wait in a bounded queue; what can't be queued or written is dropped and counted by cause, and
//! a notice in the stream says how many lines it lacks.
//!
//! The thread polls the queue while lines come, as waking it for each would cost the thread that speaks more than the
//! write itself. After a while without lines it sleeps, and the next line wakes it.
//!
//! `tracing-appender` is not used for this: its guard prints to standard output where the queue is full at the end of the
//! process, which blocks or panics with the stream; its wait at the end is 1.1 s, more than a proxy has before SIGKILL;
//! and it neither counts failed writes nor bounds the queue in bytes.

use std::io::{self, ErrorKind, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering, fence};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::thread::{self, Thread, sleep};
use std::time::{Duration, Instant};

/// The interval at which a stream in non-blocking mode is tried again while it is full.
const WOULD_BLOCK_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// The interval at which the queue is polled right after a line.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The longest interval at which the queue is polled. If it is still empty after that, the thread sleeps.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(16);
/// The interval at which the end of the queue is polled by [`BackgroundWriter::flush`].
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The limits of a [`BackgroundWriter`].
#[derive(Clone, Debug)]
pub struct WriterLimits {
    /// The maximum number of queued lines.
    pub max_queued_lines: usize,
    /// The maximum total size of the queued lines, in bytes. A single longer line is queued if nothing else is.
    pub max_queued_bytes: usize,
    /// The minimum time between two notices, and between two attempts to write one.
    pub notice_interval: Duration,
    /// How long [`BackgroundWriter::flush`] waits at most.
    pub flush_timeout: Duration,
}

impl Default for WriterLimits {
    fn default() -> Self {
        Self {
            max_queued_lines: 8192,
            max_queued_bytes: 2 << 20,
            notice_interval: Duration::from_secs(1),
            // A proxy ends at the latest 0.25 s before SIGKILL.
            flush_timeout: Duration::from_millis(100),
        }
    }
}

/// The number of lines that were dropped since the start, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LostLines {
    /// The queue was full: the stream blocks or is slow.
    pub queue_full: u64,
    /// The write failed, and part of the line at most is in the stream.
    pub write_failed: u64,
}

impl LostLines {
    /// The number of lines that were dropped for any cause.
    pub fn total(&self) -> u64 {
        self.queue_full + self.write_failed
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            queue_full: self.queue_full - earlier.queue_full,
            write_failed: self.write_failed - earlier.write_failed,
        }
    }
}

/// What the writer and its thread share.
#[derive(Debug, Default)]
struct Counters {
    /// Lines that are queued or being written.
    pending_lines: AtomicUsize,
    pending_bytes: AtomicUsize,
    queue_full: AtomicU64,
    write_failed: AtomicU64,
    /// The thread sleeps until it is unparked.
    is_asleep: AtomicBool,
}

impl Counters {
    fn lost_lines(&self) -> LostLines {
        LostLines {
            queue_full: self.queue_full.load(Ordering::Relaxed),
            write_failed: self.write_failed.load(Ordering::Relaxed),
        }
    }

    /// Counts a line as queued if `max_bytes` allow that.
    fn try_reserve(&self, length: usize, max_bytes: usize) -> bool {
        let queued_bytes = self.pending_bytes.fetch_add(length, Ordering::Relaxed);
        if queued_bytes > 0 && queued_bytes + length > max_bytes {
            self.pending_bytes.fetch_sub(length, Ordering::Relaxed);
            return false;
        }
        self.pending_lines.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// Counts a line as written or dropped.
    fn release(&self, length: usize) {
        self.pending_bytes.fetch_sub(length, Ordering::Relaxed);
        self.pending_lines.fetch_sub(1, Ordering::Release);
    }
}

/// Formats the notice of lost lines, with the line feed at its end.
pub type FormatNotice = Box<dyn Fn(LostLines) -> Vec<u8> + Send>;

/// Queues lines for its thread. The thread ends with the process or with the last reference to the writer, without
/// being waited for: see [`BackgroundWriter::flush`].
#[derive(Debug)]
pub struct BackgroundWriter {
    /// None only while the writer is dropped.
    queue: Option<SyncSender<Vec<u8>>>,
    counters: Arc<Counters>,
    limits: WriterLimits,
    thread: Thread,
}

impl BackgroundWriter {
    /// Starts the thread that writes to `stream`.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(
        stream: impl Write + Send + 'static,
        limits: WriterLimits,
        format_notice: FormatNotice,
    ) -> io::Result<Arc<Self>> {
        let (queue, lines) = sync_channel(limits.max_queued_lines);
        let counters = Arc::new(Counters::default());
        let writer_thread = WriterThread {
            stream: LineStream::new(stream),
            counters: counters.clone(),
            notice_interval: limits.notice_interval,
            format_notice,
            reported: LostLines::default(),
            next_notice_at: Instant::now(),
        };
        let handle = thread::Builder::new()
            .name("log".into())
            .spawn(move || writer_thread.run(&lines))?;
        Ok(Arc::new(Self {
            queue: Some(queue),
            counters,
            limits,
            thread: handle.thread().clone(),
        }))
    }

    /// Queues a line, which ends with a line feed, or drops it. Never blocks.
    pub fn write_line(&self, line: &[u8]) {
        let max_bytes = self.limits.max_queued_bytes;
        if self.counters.try_reserve(line.len(), max_bytes) {
            let queue = self.queue.as_ref();
            if queue.is_some_and(|queue| queue.try_send(line.to_vec()).is_ok()) {
                self.wake_thread();
                return;
            }
            self.counters.release(line.len());
        }
        self.counters.queue_full.fetch_add(1, Ordering::Relaxed);
    }

    /// Wakes the thread if it sleeps. The fence orders the queued line before the look at the flag, as the thread sets
    /// the flag before it looks at the queue: one of the two sees the other.
    fn wake_thread(&self) {
        fence(Ordering::SeqCst);
        if self.counters.is_asleep.load(Ordering::Relaxed)
            && self.counters.is_asleep.swap(false, Ordering::Relaxed)
        {
            self.thread.unpark();
        }
    }

    /// The lines that were dropped so far.
    pub fn lost_lines(&self) -> LostLines {
        self.counters.lost_lines()
    }

    /// Waits until all queued lines are written or dropped, but no longer than the timeout of the limits. Returns whether
    /// they are.
    pub fn flush(&self) -> bool {
        let deadline = Instant::now() + self.limits.flush_timeout;
        self.thread.unpark();
        while self.counters.pending_lines.load(Ordering::Acquire) > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(FLUSH_POLL_INTERVAL);
        }
        true
    }
}

impl Drop for BackgroundWriter {
    fn drop(&mut self) {
        self.queue = None;
        self.thread.unpark();
    }
}

/// Each call of `write` takes one line.
impl Write for &BackgroundWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.write_line(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The thread that writes the queued lines.
struct WriterThread<W> {
    stream: LineStream<W>,
    counters: Arc<Counters>,
    notice_interval: Duration,
    format_notice: FormatNotice,
    /// The losses that the notices so far have told.
    reported: LostLines,
    next_notice_at: Instant,
}

impl<W: Write> WriterThread<W> {
    fn run(mut self, lines: &Receiver<Vec<u8>>) {
        let mut poll_interval = MIN_POLL_INTERVAL;
        loop {
            match lines.try_recv() {
                Ok(line) => {
                    self.write_line(&line);
                    poll_interval = MIN_POLL_INTERVAL;
                }
                Err(TryRecvError::Empty) if poll_interval <= MAX_POLL_INTERVAL => {
                    thread::park_timeout(poll_interval);
                    poll_interval *= 2;
                }
                Err(TryRecvError::Empty) => {
                    self.sleep_until_woken();
                    poll_interval = MIN_POLL_INTERVAL;
                }
                Err(TryRecvError::Disconnected) => return,
            }
            self.report_lost_lines();
        }
    }

    /// Sleeps until a line is queued, or until a notice is due. The last writer wakes the thread as it goes.
    fn sleep_until_woken(&self) {
        self.counters.is_asleep.store(true, Ordering::Relaxed);
        fence(Ordering::SeqCst);
        if self.counters.pending_lines.load(Ordering::Relaxed) == 0 {
            match self.counters.lost_lines() == self.reported {
                true => thread::park(),
                false => thread::park_timeout(self.notice_interval),
            }
        }
        self.counters.is_asleep.store(false, Ordering::Relaxed);
    }

    fn write_line(&mut self, line: &[u8]) {
        if self.stream.write_line(line).is_err() {
            self.counters.write_failed.fetch_add(1, Ordering::Relaxed);
        }
        self.counters.release(line.len());
    }

    /// Writes a notice if lines were lost since the last one. If that fails, the next notice tells these lines too, even
    /// if nothing else is said until then.
    fn report_lost_lines(&mut self) {
        let lost = self.counters.lost_lines();
        if lost == self.reported || Instant::now() < self.next_notice_at {
            return;
        }
        self.next_notice_at = Instant::now() + self.notice_interval;
        let notice = (self.format_notice)(lost.since(&self.reported));
        if self.stream.write_line(&notice).is_ok() {
            self.reported = lost;
        }
    }
}

/// A stream of whole lines: what follows a line that was written in part begins on a new line.
struct LineStream<W> {
    stream: W,
    is_line_open: bool,
}

impl<W: Write> LineStream<W> {
    fn new(stream: W) -> Self {
        Self {
            stream,
            is_line_open: false,
        }
    }

    fn write_line(&mut self, line: &[u8]) -> io::Result<()> {
        if self.is_line_open {
            self.write_bytes(b"\n")?;
        }
        self.write_bytes(line)
    }

    fn write_bytes(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.stream.write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => {
                    self.is_line_open = bytes[written - 1] != b'\n';
                    bytes = &bytes[written..];
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    sleep(WOULD_BLOCK_RETRY_INTERVAL);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

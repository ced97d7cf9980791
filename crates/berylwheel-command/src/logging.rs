//! Writes log lines through a bounded queue, so that a slow or closed log reader never delays a
//! request.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::thread;
use std::time::Duration;

use berylwheel_types::Clock;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use env_logger::Env;
use env_logger::Target;

/// Maximum number of queued lines.
const MAX_QUEUED_LINES: usize = 1_024;
/// Maximum number of lines written per second. A fault that logs a line for every request must not
/// cost more than the requests themselves.
const MAX_LINES_PER_SECOND: u64 = 1_000;
/// Time allowed for queued lines to be written before the process exits.
const FLUSH_TIMEOUT: Millis = Millis(200);

/// Number of attempts to enqueue a flush within [`FLUSH_TIMEOUT`].
const FLUSH_ATTEMPTS: u64 = 20;

/// Whether log lines are written to standard output instead of standard error.
static TO_STDOUT: AtomicBool = AtomicBool::new(false);

/// Writes to standard output or standard error, depending on [`TO_STDOUT`].
struct SelectedOutput;

impl Write for SelectedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match TO_STDOUT.load(Ordering::Relaxed) {
            true => io::stdout().write(bytes),
            false => io::stderr().write(bytes),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        io::stdout().flush()
    }
}

/// Initializes logging, at level `info` unless `RUST_LOG` is set.
pub(crate) fn init() {
    let queue = LineQueue::new(SelectedOutput, MAX_QUEUED_LINES, MAX_LINES_PER_SECOND);
    env_logger::Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(queue)))
        .init();
}

/// Switches the log from standard error to standard output.
pub(crate) fn log_to_stdout() {
    TO_STDOUT.store(true, Ordering::Relaxed);
}

enum QueueItem {
    Text(Vec<u8>),
    /// Requests a message on the channel once all preceding lines are written.
    Flush(SyncSender<()>),
}

/// A non-blocking line writer. Lines beyond the queue length or the rate limit are dropped and
/// counted, and the count is written to the log as soon as there is room.
///
/// ```
/// use std::io::Write;
/// use berylwheel_command::LineQueue;
/// let mut queue = LineQueue::new(std::io::sink(), 8, 1_000);
/// writeln!(queue, "a line").unwrap();
/// queue.flush().unwrap();
/// assert_eq!(queue.dropped(), 0);
/// ```
#[derive(Debug)]
pub struct LineQueue {
    sender: SyncSender<QueueItem>,
    dropped: Arc<AtomicU64>,
    partial: Vec<u8>,
    clock: Clock,
    /// Start of the current rate-limit interval and the number of lines in it.
    rate_window: Mutex<(Timestamp, u64)>,
    rate: u64,
}

impl LineQueue {
    /// Creates a queue of at most `lines` lines for `writer`, with at most `rate` lines per second.
    pub fn new(writer: impl Write + Send + 'static, lines: usize, rate: u64) -> Self {
        let (sender, receiver) = mpsc::sync_channel(lines);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_lines = dropped.clone();
        // If the thread cannot be started, all lines are dropped and counted, and the router keeps
        // running.
        let _ = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(writer, &receiver, &dropped_lines));
        let clock = Clock::real();
        let rate_window = Mutex::new((clock.now(), 0));
        Self { sender, dropped, partial: Vec::new(), clock, rate_window, rate }
    }

    /// Returns the number of dropped lines that have not been reported in the log yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn within_rate(&self) -> bool {
        let now = self.clock.now();
        let mut rate_window = self.rate_window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(rate_window.0) >= Millis(1_000) {
            *rate_window = (now, 0);
        }
        rate_window.1 += 1;
        rate_window.1 <= self.rate
    }

    fn enqueue(&self, line: Vec<u8>) {
        if !self.within_rate() || self.sender.try_send(QueueItem::Text(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.partial.extend_from_slice(bytes);
        while let Some(end) = self.partial.iter().position(|byte| *byte == b'\n') {
            let rest = self.partial.split_off(end + 1);
            let line = std::mem::replace(&mut self.partial, rest);
            self.enqueue(line);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let (done, written) = mpsc::sync_channel(1);
        let pause = Duration::from_millis(FLUSH_TIMEOUT.0 / FLUSH_ATTEMPTS);
        // A blocked log reader must not delay the exit of the process.
        for _ in 0..FLUSH_ATTEMPTS {
            match self.sender.try_send(QueueItem::Flush(done.clone())) {
                Ok(()) => break,
                Err(TrySendError::Full(_)) => {
                    if written.recv_timeout(pause).is_ok() {
                        return Ok(());
                    }
                }
                Err(TrySendError::Disconnected(_)) => return Ok(()),
            }
        }
        let _ = written.recv_timeout(Duration::from_millis(FLUSH_TIMEOUT.0));
        Ok(())
    }
}

fn write_lines(mut writer: impl Write, items: &Receiver<QueueItem>, dropped: &AtomicU64) {
    while let Ok(item) = items.recv() {
        // Errors are ignored, since a failed log write cannot be logged.
        let _ = match item {
            QueueItem::Text(text) => writer.write_all(&text),
            QueueItem::Flush(done) => {
                let flushed = writer.flush();
                let _ = done.send(());
                flushed
            }
        };
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let _ = writer.write_all(format!("log lines dropped count={count}\n").as_bytes());
        }
    }
}

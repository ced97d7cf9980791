//! Tests of the log queue with a blocked reader and under a high rate of lines.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;

use berylwheel_command::LineQueue;
use berylwheel_types::Clock;

/// A writer that blocks until it receives a signal.
struct BlockedWriter {
    unblock: Receiver<()>,
    unblocked: bool,
    text: Arc<Mutex<String>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.unblocked {
            self.unblocked = self.unblock.recv().is_ok();
        }
        self.text.lock().unwrap().push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against blocking the caller when the log pipe is full, and against unreported dropped
/// lines.
#[test]
fn blocked_reader_drops_lines_without_blocking_the_caller() {
    let (unblock, unblock_receiver) = mpsc::channel();
    let text: Arc<Mutex<String>> = Arc::default();
    let writer = BlockedWriter { unblock: unblock_receiver, unblocked: false, text: text.clone() };
    let mut queue = LineQueue::new(writer, 8, 1_000_000);
    for n in 0..1_000 {
        writeln!(queue, "line {n}").unwrap();
    }
    let dropped = queue.dropped();
    assert!(dropped >= 1_000 - 9, "{dropped}");
    unblock.send(()).unwrap();
    while queue.dropped() > 0 {
        queue.flush().unwrap();
    }
    queue.flush().unwrap();
    let text = text.lock().unwrap().clone();
    assert!(
        text.starts_with("line 0\n") && text.contains(&format!("dropped count={dropped}")),
        "{text}"
    );
}

/// A writer that counts lines.
struct LineCounter(Arc<Mutex<usize>>);

impl Write for LineCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let lines = bytes.split(|byte| *byte == b'\n').filter(|line| line.starts_with(b"line"));
        *self.0.lock().unwrap() += lines.count();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against an unbounded log rate when a fault logs a line for every request.
#[test]
fn lines_above_the_rate_limit_are_dropped() {
    let (count, clock) = (Arc::new(Mutex::new(0)), Clock::real());
    let start = clock.now();
    let mut queue = LineQueue::new(LineCounter(count.clone()), 10_000, 100);
    for n in 0..50_000 {
        writeln!(queue, "line {n}").unwrap();
    }
    queue.flush().unwrap();
    let seconds = clock.now().since(start).0 as usize / 1_000 + 1;
    let written = *count.lock().unwrap();
    assert!(written > 0 && written <= 100 * (seconds + 1), "{written} lines in {seconds} s");
}

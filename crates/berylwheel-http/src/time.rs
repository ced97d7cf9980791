//! Time limits on futures, with a shared timer thread.
//!
//! A request sets several time limits, and nearly all are dropped before they expire. Setting an
//! `async-io` timer wakes the thread that waits for I/O. The timers here are kept in a table that
//! one thread checks every few milliseconds, and setting one needs no system call.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::thread;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use async_io::block_on;
use berylwheel_types::Clock;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use futures_lite::FutureExt;

/// Interval between checks of the timer table. A timer fires at most this much late.
const TICK_INTERVAL: Millis = Millis(5);

/// Runs `future` for at most `limit` and returns its output, or `None` on timeout.
///
/// ```
/// use berylwheel_http::timeout;
/// use berylwheel_types::Millis;
/// let slow = futures_lite::future::pending::<()>();
/// assert_eq!(futures_lite::future::block_on(timeout(Millis(1), slow)), None);
/// ```
pub async fn timeout<T>(limit: Millis, future: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        sleep(limit).await;
        None
    };
    async { Some(future.await) }.or(expired).await
}

/// Waits for `duration`; may take up to 5 ms longer.
///
/// ```
/// use berylwheel_http::sleep;
/// use berylwheel_types::Millis;
/// futures_lite::future::block_on(sleep(Millis(1)));
/// ```
pub fn sleep(duration: Millis) -> Sleep {
    let table = TimerTable::shared();
    Sleep { deadline: table.clock.now() + duration, id: None, table }
}

/// The future of [`sleep`].
#[derive(Debug)]
pub struct Sleep {
    deadline: Timestamp,
    id: Option<u64>,
    table: &'static TimerTable,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.table.clock.now() >= self.deadline {
            return Poll::Ready(());
        }
        let id = self.table.register(self.deadline, self.id, cx.waker());
        self.id = Some(id);
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.table.lock().wakers.remove(&(self.deadline, id));
        }
    }
}

/// The pending timers, shared by all threads.
#[derive(Debug)]
struct TimerTable {
    clock: Clock,
    entries: Mutex<TimerEntries>,
    nonempty: Sender<()>,
}

#[derive(Debug, Default)]
struct TimerEntries {
    wakers: BTreeMap<(Timestamp, u64), Waker>,
    last_id: u64,
}

impl TimerTable {
    fn shared() -> &'static Self {
        static TABLE: OnceLock<Arc<TimerTable>> = OnceLock::new();
        TABLE.get_or_init(|| {
            let (nonempty, receiver) = async_channel::bounded(1);
            let table =
                Arc::new(Self { clock: Clock::real(), entries: Mutex::default(), nonempty });
            let worker_table = table.clone();
            let spawned = thread::Builder::new()
                .name("timer".to_owned())
                .spawn(move || block_on(worker_table.run(&receiver)));
            if let Err(error) = spawned {
                log::error!(error:%; "cannot start the timer thread; time limits are not enforced");
            }
            table
        })
    }

    fn lock(&self) -> MutexGuard<'_, TimerEntries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a timer, or replaces the waker of the one with `id`.
    fn register(&self, deadline: Timestamp, id: Option<u64>, waker: &Waker) -> u64 {
        let mut entries = self.lock();
        let was_empty = entries.wakers.is_empty();
        let id = id.unwrap_or_else(|| {
            entries.last_id += 1;
            entries.last_id
        });
        entries.wakers.insert((deadline, id), waker.clone());
        drop(entries);
        if was_empty {
            let _ = self.nonempty.try_send(());
        }
        id
    }

    /// Removes and returns the timers that are due, and whether the table is now empty.
    fn take_due(&self) -> (BTreeMap<(Timestamp, u64), Waker>, bool) {
        let now = self.clock.now();
        let mut entries = self.lock();
        let remaining = entries.wakers.split_off(&(now + Millis(1), 0));
        let empty = remaining.is_empty();
        (std::mem::replace(&mut entries.wakers, remaining), empty)
    }

    /// Wakes due timers at each interval. While the table is empty, sleeps until a timer is set.
    async fn run(&self, nonempty: &Receiver<()>) {
        loop {
            Timer::after(TICK_INTERVAL.duration()).await;
            let (due, empty) = self.take_due();
            due.into_values().for_each(Waker::wake);
            if empty && nonempty.recv().await.is_err() {
                return;
            }
        }
    }
}

//! A time limit that is extended often, such as after each event of a stream.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;

use async_io::Timer;
use berylwheel_types::Clock;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

/// Limits how long each of a series of futures may take, with one timer for the series.
///
/// Setting an `async-io` timer writes to a descriptor and makes the thread wait for I/O once more
/// than needed. The timer here stays set when the limit is extended; once it fires, it is set again
/// for the time that is left.
#[derive(Debug)]
pub struct IdleLimit {
    clock: Clock,
    timer: Timer,
    schedule: IdleSchedule,
}

impl IdleLimit {
    /// Creates a limit whose time is that of `clock`.
    pub fn new(clock: Clock) -> Self {
        Self { clock, timer: Timer::never(), schedule: IdleSchedule::default() }
    }

    /// Runs `future` for at most `limit` and returns its output, or `None` on timeout.
    ///
    /// ```
    /// use berylwheel_http::IdleLimit;
    /// use berylwheel_types::{Clock, Millis};
    /// let mut limit = IdleLimit::new(Clock::real());
    /// let slow = futures_lite::future::pending::<()>();
    /// assert_eq!(async_io::block_on(limit.run(Millis(1), slow)), None);
    /// ```
    pub async fn run<T>(&mut self, limit: Millis, future: impl Future<Output = T>) -> Option<T> {
        let mut future = pin!(future);
        self.schedule.extend(self.clock.now() + limit);
        poll_fn(|cx| match future.as_mut().poll(cx) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending => self.poll_expired(cx).map(|()| None),
        })
        .await
    }

    fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let now = self.clock.now();
            if self.schedule.is_past(now) {
                return Poll::Ready(());
            }
            if let Some(delay) = self.schedule.timer_delay(now) {
                self.timer.set_after(delay.duration());
            }
            if Pin::new(&mut self.timer).poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.schedule.timer_fired();
        }
    }
}

/// Decides when the timer of an [`IdleLimit`] has to be set.
///
/// ```
/// use berylwheel_http::IdleSchedule;
/// use berylwheel_types::{Millis, Timestamp};
/// let mut schedule = IdleSchedule::default();
/// let start = Timestamp::from_millis(0);
/// schedule.extend(start + Millis(100));
/// assert_eq!(schedule.timer_delay(start), Some(Millis(100)));
/// schedule.extend(start + Millis(150));
/// assert_eq!(schedule.timer_delay(start + Millis(50)), None);
/// schedule.timer_fired();
/// assert_eq!(schedule.timer_delay(start + Millis(100)), Some(Millis(50)));
/// assert!(schedule.is_past(start + Millis(150)));
/// ```
#[derive(Debug, Default)]
pub struct IdleSchedule {
    deadline: Timestamp,
    /// Time for which the timer is set; `None` if it is not set.
    timer_at: Option<Timestamp>,
}

impl IdleSchedule {
    /// Sets the end of the limit.
    pub fn extend(&mut self, deadline: Timestamp) {
        self.deadline = deadline;
    }

    /// Returns whether the limit has ended.
    pub fn is_past(&self, now: Timestamp) -> bool {
        now >= self.deadline
    }

    /// Returns the delay for which the timer has to be set, or `None` if it is set and fires no
    /// later than the limit ends.
    pub fn timer_delay(&mut self, now: Timestamp) -> Option<Millis> {
        if self.timer_at.is_some_and(|at| at <= self.deadline) {
            return None;
        }
        self.timer_at = Some(self.deadline);
        Some(self.deadline.since(now))
    }

    /// Records that the timer has fired.
    pub fn timer_fired(&mut self) {
        self.timer_at = None;
    }
}

//! Timestamps and clocks: the system clock, and a manual one for tests.

use std::fmt;
use std::ops::Add;
use std::ops::AddAssign;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

use crate::Millis;

/// A point in time, in milliseconds since the Unix epoch.
///
/// ```
/// use berylwheel_types::{Millis, Timestamp};
/// let t = Timestamp::from_millis(1_000);
/// assert_eq!((t + Millis(500)).since(t), Millis(500));
/// assert_eq!(t.since(t + Millis(500)), Millis(0));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Returns the time `ms` milliseconds after the Unix epoch.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for Timestamp {
    type Output = Self;

    fn add(self, duration: Millis) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl AddAssign<Millis> for Timestamp {
    fn add_assign(&mut self, duration: Millis) {
        *self = *self + duration;
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// A clock that only moves when [`ManualClock::advance`] is called. Clones share the same time.
///
/// ```
/// use berylwheel_types::{ManualClock, Millis, Timestamp};
/// let clock = ManualClock::new(Timestamp::from_millis(10));
/// clock.advance(Millis(5));
/// assert_eq!(clock.now(), Timestamp::from_millis(15));
/// ```
#[derive(Debug, Clone)]
pub struct ManualClock(Arc<AtomicU64>);

impl ManualClock {
    /// Returns a clock set to `start`.
    pub fn new(start: Timestamp) -> Self {
        Self(Arc::new(AtomicU64::new(start.0)))
    }

    /// Returns the current time of the clock.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.0.load(Ordering::SeqCst))
    }

    /// Advances the clock by `duration`.
    pub fn advance(&self, duration: Millis) {
        self.0.fetch_add(duration.0, Ordering::SeqCst);
    }
}

/// A source of the current time: the system clock, or a manual clock in tests.
///
/// The real clock reads the wall clock once and then adds elapsed monotonic time, so it never goes
/// backwards within a process.
///
/// ```
/// use berylwheel_types::Clock;
/// let clock = Clock::real();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone)]
pub enum Clock {
    /// The wall-clock time at creation plus the monotonic time elapsed since then.
    Real { start: Timestamp, origin: Instant },
    /// A clock that a test advances explicitly.
    Manual(ManualClock),
}

impl Clock {
    /// Returns a clock based on the system time.
    pub fn real() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Self::Real { start: Timestamp(since_epoch.as_millis() as u64), origin: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        match self {
            Self::Real { start, origin } => *start + Millis(origin.elapsed().as_millis() as u64),
            Self::Manual(clock) => clock.now(),
        }
    }

    /// Returns the time for which this clock has run, in microseconds. Differences between two
    /// readings are durations.
    ///
    /// ```
    /// use berylwheel_types::Clock;
    /// let clock = Clock::real();
    /// let start = clock.micros();
    /// assert!(start <= clock.micros());
    /// ```
    pub fn micros(&self) -> u64 {
        match self {
            Self::Real { origin, .. } => origin.elapsed().as_micros() as u64,
            Self::Manual(clock) => clock.now().as_millis().saturating_mul(1_000),
        }
    }
}

//! How far the response to a request's current attempt has come.

use std::fmt;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use berylwheel_types::Millis;
use berylwheel_types::PromptPartId;
use berylwheel_types::Timestamp;

/// Maximum number of parts that a log line names.
const LOGGED_PARTS: usize = 8;

/// How far a response had come when its attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerProgress {
    /// No response head had arrived.
    Nothing,
    /// The head had arrived, and no event.
    Head,
    /// The first event had arrived this long ago.
    Events(Millis),
}

impl AnswerProgress {
    /// Returns the name that logs and metrics use.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Nothing => "none",
            Self::Head => "head",
            Self::Events(_) => "events",
        }
    }
}

/// Times of the current attempt of a request, in milliseconds; zero if it has not come that far.
#[derive(Debug, Default)]
pub(crate) struct AttemptTrace {
    sent_at: AtomicU64,
    head_at: AtomicU64,
    event_at: AtomicU64,
    /// Work time that the server has stated, in percent of the usual time.
    stated_time: AtomicU32,
}

impl AttemptTrace {
    /// Records that a new attempt is sent.
    pub(crate) fn record_send(&self, now: Timestamp) {
        self.sent_at.store(now.as_millis(), Ordering::Relaxed);
        self.head_at.store(0, Ordering::Relaxed);
        self.event_at.store(0, Ordering::Relaxed);
        self.stated_time.store(0, Ordering::Relaxed);
    }

    /// Records how long work takes at the server according to itself, in percent of the usual time.
    pub(crate) fn record_stated_time(&self, percent: u32) {
        self.stated_time.store(percent, Ordering::Relaxed);
    }

    /// Returns the recorded work time of the server, in percent of the usual time.
    pub(crate) fn stated_time(&self) -> Option<u32> {
        Some(self.stated_time.load(Ordering::Relaxed)).filter(|percent| *percent > 0)
    }

    /// Records that the response head has arrived.
    pub(crate) fn record_head(&self, now: Timestamp) {
        self.head_at.store(now.as_millis(), Ordering::Relaxed);
    }

    /// Records that the first event has arrived.
    pub(crate) fn record_event(&self, now: Timestamp) {
        self.event_at.store(now.as_millis(), Ordering::Relaxed);
    }

    /// Returns the time since the attempt was sent.
    pub(crate) fn age(&self, now: Timestamp) -> Millis {
        now.since(Timestamp::from_millis(self.sent_at.load(Ordering::Relaxed)))
    }

    /// Returns how far the response has come.
    pub(crate) fn progress(&self, now: Timestamp) -> AnswerProgress {
        let event_at = self.event_at.load(Ordering::Relaxed);
        match self.head_at.load(Ordering::Relaxed) {
            0 => AnswerProgress::Nothing,
            _ if event_at == 0 => AnswerProgress::Head,
            _ => AnswerProgress::Events(now.since(Timestamp::from_millis(event_at))),
        }
    }
}

/// The parts of a prompt for a log line, separated by commas.
pub(crate) struct PartList<'a>(pub &'a [PromptPartId]);

impl fmt::Display for PartList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().take(LOGGED_PARTS).enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        match self.0.len().saturating_sub(LOGGED_PARTS) {
            0 if self.0.is_empty() => f.write_str("-"),
            0 => Ok(()),
            more => write!(f, ",+{more}"),
        }
    }
}

//! How the engine stand-in behaves.

use berylwheel_types::Clock;
use berylwheel_types::Millis;
use serde::Deserialize;
use serde::Serialize;

/// How the engine stand-in behaves.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Requests that generate at a time.
    pub slots: usize,
    /// Models that requests may name, any if empty.
    pub models: Vec<String>,
    /// Time by which `GET /v1/load` is behind.
    pub load_lag: Millis,
    /// Time by which cache events are late.
    pub cache_lag: Millis,
    /// Prompt prefixes that are held at a time.
    pub cache_entries: usize,
    /// Whether an order with a fencing number below the highest one seen is refused.
    pub check_fence: bool,
    /// The clock of the lags.
    pub clock: Clock,
    /// The faults in force from the start.
    pub faults: EngineFaults,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            slots: 8,
            models: Vec::new(),
            load_lag: Millis(0),
            cache_lag: Millis(0),
            cache_entries: 64,
            check_fence: true,
            clock: Clock::real(),
            faults: EngineFaults::default(),
        }
    }
}

/// Speed and faults of the engine.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Milliseconds before the first token.
    pub first_token_ms: u64,
    /// Milliseconds between tokens.
    pub token_interval_ms: u64,
    /// Whether the engine refuses new requests with a 503 and reports that it is draining.
    pub draining: bool,
    /// Cache events that get lost, each leaving a gap in the sequence.
    pub cache_gaps: u64,
    /// Requests that the faults below still apply to, all if absent.
    pub times: Option<u64>,
    /// The status of a refusal, 0 for none.
    pub status: u16,
    /// Whether a request gets no answer at all. It does not run.
    pub hang: bool,
    /// Tokens after which a stream stops and stays open.
    pub hang_after: Option<u64>,
    /// Tokens after which a stream ends without its final event.
    pub truncate_after: Option<u64>,
    /// Tokens after which the connection breaks.
    pub disconnect_after: Option<u64>,
    /// The token whose event carries the id of another request.
    pub wrong_id: Option<u64>,
    /// The token whose event is sent twice.
    pub duplicate: Option<u64>,
}

impl EngineFaults {
    /// Returns the faults of the next request, and counts it.
    pub(crate) fn take(&mut self) -> Self {
        match &mut self.times {
            Some(0) => Self {
                first_token_ms: self.first_token_ms,
                token_interval_ms: self.token_interval_ms,
                draining: self.draining,
                ..Self::default()
            },
            Some(n) => {
                *n -= 1;
                self.clone()
            }
            None => self.clone(),
        }
    }
}

//! Options and faults of the engine stand-in.

use berylwheel_types::Clock;
use berylwheel_types::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Options of the engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Maximum number of requests that generate tokens at the same time.
    pub slots: usize,
    /// Models that requests may name; any model if empty.
    pub models: Vec<String>,
    /// Age of the load that `GET /v1/load` reports.
    pub load_lag: Millis,
    /// Delay before a cache event becomes visible.
    pub cache_lag: Millis,
    /// Capacity of the prompt cache in prefixes.
    pub cache_entries: usize,
    /// Whether orders with a fencing number below the highest one seen are rejected.
    pub check_fence: bool,
    /// The clock that measures the lags.
    pub clock: Clock,
    /// The initial faults.
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

/// Generation delays and faults that the engine injects.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Delay in milliseconds before the first token.
    pub first_token_ms: u64,
    /// Delay in milliseconds between tokens.
    pub token_interval_ms: u64,
    /// Whether the engine reports that it is draining and rejects new requests with status 503.
    pub draining: bool,
    /// Number of cache events to lose; each leaves a gap in the sequence numbers.
    pub cache_gaps: u64,
    /// Remaining number of requests that the faults below apply to; unlimited if absent.
    pub times: Option<u64>,
    /// Error status returned without executing the request; 0 disables the fault.
    pub status: u16,
    /// Whether requests hang without being executed or answered.
    pub hang: bool,
    /// Number of tokens after which a stream stalls with the connection open.
    pub hang_after: Option<u64>,
    /// Number of tokens after which a stream ends without its final event.
    pub truncate_after: Option<u64>,
    /// Number of tokens after which the connection is closed.
    pub disconnect_after: Option<u64>,
    /// Index of the token whose event carries the id of another request.
    pub wrong_id: Option<u64>,
    /// Index of the token whose event is sent twice.
    pub duplicate: Option<u64>,
}

impl EngineFaults {
    /// Returns the faults for the next request and decrements the remaining count.
    pub(crate) fn for_next_request(&mut self) -> Self {
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

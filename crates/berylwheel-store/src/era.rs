//! The era of a store, which tells that it was restored from an older copy.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use berylwheel_types::StoreEra;

use crate::StoreError;

/// The point in the sequence of eras at which a call began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallStart(u64);

#[derive(Debug, Default)]
struct EraState {
    era: Option<StoreEra>,
    /// Number of times that the era has changed.
    changes: u64,
}

/// Follows the era that the responses of a store state. Clones share their state.
///
/// Any other era than the known one counts as new, also a lower one. A response to a call that began
/// before the change is an error, whichever era it states: it may describe the content of either.
///
/// ```
/// use berylwheel_store::{EraTracker, StoreError};
/// use berylwheel_types::StoreEra;
/// let tracker = EraTracker::default();
/// let call = tracker.begin();
/// assert_eq!(tracker.end(call, Some(StoreEra(1))), Ok(()));
/// let (first, second) = (tracker.begin(), tracker.begin());
/// // The store was restored.
/// assert_eq!(tracker.end(first, Some(StoreEra(2))), Err(StoreError::Restored));
/// // A response of before arrives late.
/// assert_eq!(tracker.end(second, Some(StoreEra(1))), Err(StoreError::Restored));
/// assert_eq!(tracker.current(), StoreEra(2));
/// ```
#[derive(Debug, Clone, Default)]
pub struct EraTracker {
    state: Arc<Mutex<EraState>>,
}

impl EraTracker {
    fn lock(&self) -> MutexGuard<'_, EraState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the era of the last response that stated one, 0 before the first.
    pub fn current(&self) -> StoreEra {
        self.lock().era.unwrap_or_default()
    }

    /// Records the start of a call.
    pub fn begin(&self) -> CallStart {
        CallStart(self.lock().changes)
    }

    /// Records the response to a call, with the era that it states.
    ///
    /// # Errors
    /// [`StoreError::Restored`] if the era has changed since the start of the call.
    pub fn end(&self, start: CallStart, stated: Option<StoreEra>) -> Result<(), StoreError> {
        let mut state = self.lock();
        let is_same = stated.is_none_or(|era| state.era.is_none_or(|known| known == era));
        if is_same && start.0 == state.changes {
            state.era = stated.or(state.era);
            return Ok(());
        }
        if !is_same && start.0 == state.changes {
            log::warn!(era:? = stated, before:? = state.era; "the store was restored from a copy");
            state.era = stated;
            state.changes += 1;
        }
        Err(StoreError::Restored)
    }
}

//! Tracking of each server's prefix cache from its cache events.

use std::collections::VecDeque;

use berylwheel_types::FastSet;

use crate::CacheEvent;

/// Maximum number of prefixes tracked per server. With 600 servers per router this limits memory to
/// about 20 MB.
const PREFIX_LIMIT: usize = 1_024;

/// Number of late events with consecutive sequence numbers after which the server is assumed to
/// have restarted its sequence. Fewer may be delayed delivery.
const RESTART_EVENTS: u32 = 16;

/// The prefixes that a server is known to have cached. The server may have cached others as well.
#[derive(Debug, Default)]
pub(crate) struct CachedPrefixes {
    prefixes: FastSet<u64>,
    insertion_order: VecDeque<u64>,
    last_sequence: Option<u64>,
    /// Sequence number of the last late event.
    late_sequence: u64,
    /// Number of late events so far with consecutive sequence numbers.
    late_run: u32,
}

impl CachedPrefixes {
    /// Applies one cache event.
    ///
    /// A missing event may have been an eviction, so a gap in the sequence clears all prefixes. An
    /// event that arrives late is ignored, since a newer one may have superseded it.
    pub fn apply(&mut self, event: CacheEvent) {
        if let Some(last) = self.last_sequence
            && event.sequence <= last
        {
            self.late_run =
                if event.sequence == self.late_sequence + 1 { self.late_run + 1 } else { 1 };
            self.late_sequence = event.sequence;
            if self.late_run < RESTART_EVENTS {
                return;
            }
            self.clear();
        } else if self.last_sequence.is_some_and(|last| event.sequence > last + 1) {
            self.clear();
        }
        self.late_run = 0;
        self.last_sequence = Some(event.sequence);
        self.update(event);
    }

    fn update(&mut self, event: CacheEvent) {
        if !event.cached {
            self.prefixes.remove(&event.prefix);
            return;
        }
        if !self.prefixes.insert(event.prefix) {
            return;
        }
        self.insertion_order.push_back(event.prefix);
        while self.prefixes.len() > PREFIX_LIMIT || self.insertion_order.len() > 2 * PREFIX_LIMIT {
            let Some(oldest) = self.insertion_order.pop_front() else { break };
            self.prefixes.remove(&oldest);
        }
    }

    /// Returns whether `prefix` is known to be in the server's cache.
    pub fn contains(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Returns the number of prefixes known to be in the server's cache.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    fn clear(&mut self) {
        self.prefixes.clear();
        self.insertion_order.clear();
    }
}

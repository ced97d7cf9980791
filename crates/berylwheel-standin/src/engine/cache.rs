//! The prompt prefix cache and its change events.

use std::collections::VecDeque;

use berylwheel_types::Timestamp;
use serde::Serialize;

/// Number of events kept for readers; older events are dropped.
const EVENT_LIMIT: usize = 4_096;

/// Reports that a prefix was inserted into the cache (`held`) or evicted.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct CacheEvent {
    sequence: u64,
    prefix: u64,
    held: bool,
    #[serde(skip)]
    shown_from: Timestamp,
}

/// An LRU cache of prompt prefixes, least recently used first.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    held: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl Cache {
    /// Marks a prefix as used, inserting it and evicting the oldest one if needed. The events become
    /// visible at `shown_from`; the next `gaps` events are lost.
    pub(crate) fn touch(
        &mut self,
        prefix: u64,
        limit: usize,
        shown_from: Timestamp,
        gaps: &mut u64,
    ) {
        if let Some(i) = self.held.iter().position(|held| *held == prefix) {
            self.held.remove(i);
            self.held.push_back(prefix);
            return;
        }
        self.held.push_back(prefix);
        self.publish(prefix, true, shown_from, gaps);
        if self.held.len() > limit
            && let Some(dropped) = self.held.pop_front()
        {
            self.publish(dropped, false, shown_from, gaps);
        }
    }

    fn publish(&mut self, prefix: u64, held: bool, shown_from: Timestamp, gaps: &mut u64) {
        self.sequence += 1;
        if *gaps > 0 {
            *gaps -= 1;
            return;
        }
        let sequence = self.sequence;
        self.events.push_back(CacheEvent { sequence, prefix, held, shown_from });
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }

    /// Returns the events after sequence number `after` that are visible at `now`.
    pub(crate) fn events(&self, after: u64, now: Timestamp) -> Vec<CacheEvent> {
        let shown = |event: &&CacheEvent| event.sequence > after && event.shown_from <= now;
        self.events.iter().filter(shown).copied().collect()
    }
}

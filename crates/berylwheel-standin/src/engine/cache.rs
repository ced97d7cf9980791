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
    visible_from: Timestamp,
}

/// An LRU cache of prompt prefixes, least recently used first.
#[derive(Debug, Default)]
pub(crate) struct PromptCache {
    prefixes: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl PromptCache {
    /// Marks a prefix as used. A new prefix is inserted, which may evict the least recently used
    /// one. The events become visible at `visible_from`; the next `lost_events` events are dropped.
    pub(crate) fn use_prefix(
        &mut self,
        prefix: u64,
        capacity: usize,
        visible_from: Timestamp,
        lost_events: &mut u64,
    ) {
        if let Some(index) = self.prefixes.iter().position(|entry| *entry == prefix) {
            self.prefixes.remove(index);
            self.prefixes.push_back(prefix);
            return;
        }
        self.prefixes.push_back(prefix);
        self.publish(prefix, true, visible_from, lost_events);
        if self.prefixes.len() > capacity
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.publish(evicted, false, visible_from, lost_events);
        }
    }

    fn publish(&mut self, prefix: u64, held: bool, visible_from: Timestamp, lost_events: &mut u64) {
        self.sequence += 1;
        if *lost_events > 0 {
            *lost_events -= 1;
            return;
        }
        let sequence = self.sequence;
        self.events.push_back(CacheEvent { sequence, prefix, held, visible_from });
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }

    /// Returns the events after sequence number `after` that are visible at `now`.
    pub(crate) fn events(&self, after: u64, now: Timestamp) -> Vec<CacheEvent> {
        let visible = |event: &&CacheEvent| event.sequence > after && event.visible_from <= now;
        self.events.iter().filter(visible).copied().collect()
    }
}

//! What a server is known to hold in its prefix cache.

use std::collections::VecDeque;

use berylwheel_types::FastSet;

use crate::CacheEvent;

/// Prefixes kept for a server. At 600 servers a router this bounds the memory to some 20 MB.
const PREFIX_LIMIT: usize = 1_024;

/// Events with old numbers, each one above the last, that show a server that counts from the start
/// again. Fewer may be a late delivery.
const RESTART_RUN: u32 = 16;

/// The prefixes that a server is known to hold. A prefix that is absent may still be held.
#[derive(Debug, Default)]
pub(crate) struct HeldPrefixes {
    held: FastSet<u64>,
    order: VecDeque<u64>,
    last: Option<u64>,
    late: u64,
    run: u32,
}

impl HeldPrefixes {
    /// Takes one event in.
    ///
    /// A missing event may have been an eviction, so a gap drops all that was known. An event that
    /// comes late is ignored, since a newer one may have said otherwise.
    pub fn event(&mut self, event: CacheEvent) {
        if let Some(last) = self.last
            && event.sequence <= last
        {
            self.run = if event.sequence == self.late + 1 { self.run + 1 } else { 1 };
            self.late = event.sequence;
            if self.run < RESTART_RUN {
                return;
            }
            self.forget();
        } else if self.last.is_some_and(|last| event.sequence > last + 1) {
            self.forget();
        }
        self.run = 0;
        self.last = Some(event.sequence);
        self.apply(event);
    }

    fn apply(&mut self, event: CacheEvent) {
        if !event.held {
            self.held.remove(&event.prefix);
            return;
        }
        if !self.held.insert(event.prefix) {
            return;
        }
        self.order.push_back(event.prefix);
        while self.held.len() > PREFIX_LIMIT || self.order.len() > 2 * PREFIX_LIMIT {
            let Some(oldest) = self.order.pop_front() else { break };
            self.held.remove(&oldest);
        }
    }

    /// Returns whether the server is known to hold `prefix`.
    pub fn holds(&self, prefix: u64) -> bool {
        self.held.contains(&prefix)
    }

    /// Returns how many prefixes the server is known to hold.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    fn forget(&mut self) {
        self.held.clear();
        self.order.clear();
    }
}

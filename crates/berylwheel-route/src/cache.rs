//! Tracking of each server's prefix cache from its cache events.

use std::collections::VecDeque;

use berylwheel_types::FastSet;

use crate::CacheEvent;

/// Maximum number of prefixes tracked per server. With 600 servers per router this limits memory to
/// about 20 MB.
const PREFIX_LIMIT: usize = 1_024;

/// Number of consecutive events with old but ascending sequence numbers after which the server is
/// assumed to have restarted its sequence. A shorter run may be delayed delivery.
const RESTART_RUN: u32 = 16;

/// The prefixes that a server is known to have cached. The server may have cached others as well.
#[derive(Debug, Default)]
pub(crate) struct HeldPrefixes {
    held: FastSet<u64>,
    order: VecDeque<u64>,
    last: Option<u64>,
    late: u64,
    run: u32,
}

impl HeldPrefixes {
    /// Applies one cache event.
    ///
    /// A missing event may have been an eviction, so a gap in the sequence clears all prefixes. An
    /// event that arrives late is ignored, since a newer one may have superseded it.
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

    /// Returns whether `prefix` is known to be in the server's cache.
    pub fn holds(&self, prefix: u64) -> bool {
        self.held.contains(&prefix)
    }

    /// Returns the number of prefixes known to be in the server's cache.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    fn forget(&mut self) {
        self.held.clear();
        self.order.clear();
    }
}

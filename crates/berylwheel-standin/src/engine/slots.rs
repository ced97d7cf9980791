//! Concurrency slots with a priority queue.

use std::collections::BTreeMap;

use async_channel::Receiver;
use async_channel::Sender;

/// Limits the number of requests that run at the same time and queues the others.
#[derive(Debug)]
pub(crate) struct Slots {
    limit: usize,
    running: usize,
    arrival_count: u64,
    queue: BTreeMap<(u64, u64), Sender<()>>,
}

/// An entry in the queue for a slot.
#[derive(Debug)]
pub(crate) struct QueueEntry {
    position: (u64, u64),
    /// Receives a message when a slot is assigned.
    pub(crate) assigned: Receiver<()>,
}

impl Slots {
    /// Creates `limit` free slots.
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, running: 0, arrival_count: 0, queue: BTreeMap::new() }
    }

    /// Returns the numbers of running and queued requests.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.running, self.queue.len())
    }

    /// Takes a slot and returns `None`, or returns a queue entry if all slots are in use. Lower
    /// priority values are served first, equal ones in order of arrival.
    pub(crate) fn acquire(&mut self, priority: u64) -> Option<QueueEntry> {
        if self.running < self.limit {
            self.running += 1;
            return None;
        }
        let (sender, assigned) = async_channel::bounded(1);
        let position = (priority, self.arrival_count);
        self.arrival_count += 1;
        self.queue.insert(position, sender);
        Some(QueueEntry { position, assigned })
    }

    /// Removes an entry from the queue. Returns false if it has already been assigned a slot.
    pub(crate) fn dequeue(&mut self, entry: &QueueEntry) -> bool {
        self.queue.remove(&entry.position).is_some()
    }

    /// Releases a slot and assigns it to the first entry in the queue.
    pub(crate) fn release(&mut self) {
        self.running -= 1;
        while self.running < self.limit {
            let Some((_, sender)) = self.queue.pop_first() else { return };
            if sender.try_send(()).is_ok() {
                self.running += 1;
            }
        }
    }
}

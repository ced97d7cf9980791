//! Concurrency slots with a priority queue.

use std::collections::BTreeMap;

use async_channel::Receiver;
use async_channel::Sender;

/// Limits the number of requests that run at the same time and queues the others.
#[derive(Debug)]
pub(crate) struct Slots {
    limit: usize,
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<(u64, u64), Sender<()>>,
}

/// An entry in the queue for a slot.
#[derive(Debug)]
pub(crate) struct Place {
    position: (u64, u64),
    /// Receives a message when a slot is assigned.
    pub(crate) turn: Receiver<()>,
}

impl Slots {
    /// Creates `limit` free slots.
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, running: 0, arrivals: 0, waiting: BTreeMap::new() }
    }

    /// Returns the numbers of running and queued requests.
    pub(crate) fn load(&self) -> (usize, usize) {
        (self.running, self.waiting.len())
    }

    /// Takes a slot and returns `None`, or returns a queue entry if all slots are in use. Lower
    /// priority values are served first, equal ones in order of arrival.
    pub(crate) fn take(&mut self, priority: u64) -> Option<Place> {
        if self.running < self.limit {
            self.running += 1;
            return None;
        }
        let (sender, turn) = async_channel::bounded(1);
        let position = (priority, self.arrivals);
        self.arrivals += 1;
        self.waiting.insert(position, sender);
        Some(Place { position, turn })
    }

    /// Removes an entry from the queue. Returns false if it has already been assigned a slot.
    pub(crate) fn leave(&mut self, place: &Place) -> bool {
        self.waiting.remove(&place.position).is_some()
    }

    /// Releases a slot and assigns it to the first entry in the queue.
    pub(crate) fn free(&mut self) {
        self.running -= 1;
        while self.running < self.limit {
            let Some((_, sender)) = self.waiting.pop_first() else { return };
            if sender.try_send(()).is_ok() {
                self.running += 1;
            }
        }
    }
}

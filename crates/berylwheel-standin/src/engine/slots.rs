//! Concurrency slots, given out in the order of priority.

use std::collections::BTreeMap;

use async_channel::Receiver;
use async_channel::Sender;

/// The slots of one engine.
#[derive(Debug)]
pub(crate) struct Slots {
    limit: usize,
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<(u64, u64), Sender<()>>,
}

/// A place in the queue.
#[derive(Debug)]
pub(crate) struct Place {
    position: (u64, u64),
    /// Receives a message when the slot is free.
    pub(crate) turn: Receiver<()>,
}

impl Slots {
    /// Returns `limit` free slots.
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, running: 0, arrivals: 0, waiting: BTreeMap::new() }
    }

    /// Returns requests that run and that wait.
    pub(crate) fn load(&self) -> (usize, usize) {
        (self.running, self.waiting.len())
    }

    /// Takes a slot, or returns a place in the queue. Lower priorities go first.
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

    /// Leaves the queue. Returns false if the slot was given out already.
    pub(crate) fn leave(&mut self, place: &Place) -> bool {
        self.waiting.remove(&place.position).is_some()
    }

    /// Frees a slot and hands it to the first in the queue.
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

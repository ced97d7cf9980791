//! The simulated network.

use std::collections::BTreeMap;

use berylwheel_config::Heartbeat;
use berylwheel_config::Part;
use berylwheel_config::PartDigest;
use berylwheel_config::PartRef;
use berylwheel_config::Root;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;
use berylwheel_types::stable_hash;
use serde::Serialize;

/// A message between routers.
#[derive(Clone, Serialize)]
pub enum Message {
    Version(Version),
    Pull(Vec<PartDigest>),
    Parts(Root, Vec<Part>),
    Heartbeat(Heartbeat),
}

/// The index of the sending router, and whether it was serving when it sent the message.
pub type Sender = (usize, bool);

/// A delivery. Store requests and responses carry the index of the router and its run number.
#[derive(Clone)]
pub enum Event {
    Peer(Sender, usize, Message),
    ReadRoot((usize, u64)),
    ReadParts((usize, u64), Vec<PartRef>),
    Root((usize, u64), Option<Root>),
    Parts((usize, u64), Root, Vec<Part>),
    Failed((usize, u64)),
    Write(usize),
    Written(usize, bool),
    Resolve(usize),
}

/// Rates of message faults between routers, in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub lost: u64,
    pub duplicated: u64,
    pub delayed: u64,
}

pub struct Net {
    seed: u64,
    draw_count: u64,
    queue: BTreeMap<(Timestamp, u64), Event>,
    pub faults: Faults,
    /// The side of the partition that each router is on; empty without a partition.
    pub partition: Vec<bool>,
    /// Number of bytes that routers have sent.
    pub bytes_sent: u64,
    /// Returns the size of a message in bytes.
    pub message_size: fn(&Message) -> usize,
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            draw_count: 0,
            queue: BTreeMap::new(),
            faults: Faults::default(),
            partition: Vec::new(),
            bytes_sent: 0,
            message_size: |_| 0,
        }
    }

    /// Returns a pseudo-random number below `limit`.
    pub fn draw(&mut self, limit: u64) -> u64 {
        self.draw_count += 1;
        stable_hash(&[&self.seed.to_string(), &self.draw_count.to_string()]) % limit
    }

    pub fn next_due(&self) -> Option<Timestamp> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    pub fn pop(&mut self, now: Timestamp) -> Option<Event> {
        if self.next_due()? > now {
            return None;
        }
        self.queue.pop_first().map(|(_, event)| event)
    }

    pub fn schedule(&mut self, at: Timestamp, event: Event) {
        self.draw_count += 1;
        self.queue.insert((at, self.draw_count), event);
    }

    fn delay(&mut self, delayed: u64) -> Millis {
        let delayed = self.draw(1_000) < delayed;
        Millis(1 + if delayed { self.draw(4_000) } else { 0 })
    }

    /// Sends a message to the router `to`, subject to the partition and to faults.
    pub fn send(&mut self, now: Timestamp, from: Sender, to: usize, message: Message) {
        self.bytes_sent += (self.message_size)(&message) as u64;
        if !self.partition.is_empty() && self.partition[from.0] != self.partition[to] {
            return;
        }
        let Faults { lost, duplicated, delayed } = self.faults;
        if self.draw(1_000) < lost {
            return;
        }
        if self.draw(1_000) < duplicated {
            let at = now + self.delay(900);
            self.schedule(at, Event::Peer(from, to, message.clone()));
        }
        let at = now + self.delay(delayed);
        self.schedule(at, Event::Peer(from, to, message));
    }

    /// Sends a store request or response, which may be delayed but is not lost.
    pub fn send_store(&mut self, now: Timestamp, event: Event) {
        let delayed = self.faults.delayed;
        let at = now + self.delay(delayed);
        self.schedule(at, event);
    }
}

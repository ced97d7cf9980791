//! The queue of outgoing messages of a peer.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use async_channel::Receiver;
use async_channel::Sender;

/// The maximum number of frames queued for a peer.
const FRAME_COUNT: usize = 256;

/// The maximum number of bytes queued for a peer: four frames of the maximum size.
const BYTE_COUNT: usize = 4 << 20;

/// A bounded queue of frames. Adding a frame that does not fit drops the oldest ones.
#[derive(Debug)]
pub(crate) struct Outbox {
    queue: Mutex<Queue>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

#[derive(Debug, Default)]
struct Queue {
    frames: VecDeque<Vec<u8>>,
    bytes: usize,
    closed: bool,
}

impl Queue {
    fn pop(&mut self) -> Option<Vec<u8>> {
        let frame = self.frames.pop_front()?;
        self.bytes -= frame.len();
        Some(frame)
    }
}

impl Outbox {
    /// Creates an empty outbox.
    pub fn new() -> Self {
        let (wake, woken) = async_channel::bounded(1);
        Self { queue: Mutex::default(), wake, woken }
    }

    fn locked<T>(&self, work: impl FnOnce(&mut Queue) -> T) -> T {
        work(&mut self.queue.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds a frame and returns the number of frames dropped to make room, or returns the frame
    /// itself if the outbox is closed.
    pub fn push(&self, frame: Vec<u8>) -> Result<u64, Vec<u8>> {
        let dropped = self.locked(|queue| {
            if queue.closed {
                return Err(frame);
            }
            queue.bytes += frame.len();
            queue.frames.push_back(frame);
            let mut dropped = 0;
            while queue.frames.len() > FRAME_COUNT || queue.bytes > BYTE_COUNT {
                queue.pop();
                dropped += 1;
            }
            Ok(dropped)
        })?;
        // If the channel is full, a notification is already pending.
        let _ = self.wake.try_send(());
        Ok(dropped)
    }

    /// Puts a frame that was not sent back at the front of the queue.
    pub fn put_back(&self, frame: Vec<u8>) {
        self.locked(|queue| {
            queue.bytes += frame.len();
            queue.frames.push_front(frame);
        });
    }

    /// Removes and returns the first frame, waiting for one if the queue is empty.
    pub async fn next(&self) -> Vec<u8> {
        loop {
            if let Some(frame) = self.locked(Queue::pop) {
                return frame;
            }
            // The outbox owns both ends of the channel, so this cannot fail.
            let _ = self.woken.recv().await;
        }
    }

    /// Closes the outbox if it is empty, so that it rejects further frames. Returns whether it was
    /// closed.
    pub fn close_if_empty(&self) -> bool {
        self.locked(|queue| {
            queue.closed = queue.frames.is_empty();
            queue.closed
        })
    }
}

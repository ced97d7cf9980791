//! The queue of outgoing messages of a peer.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use async_channel::Receiver;
use async_channel::Sender;

/// The maximum number of frames queued for a peer.
const FRAME_COUNT_LIMIT: usize = 256;

/// The maximum number of bytes queued for a peer: four frames of the maximum size.
const SIZE_LIMIT_BYTES: usize = 4 << 20;

/// A bounded queue of frames. Adding a frame that does not fit drops the oldest ones.
#[derive(Debug)]
pub(crate) struct Outbox {
    queue: Mutex<Queue>,
    notify_sender: Sender<()>,
    notify_receiver: Receiver<()>,
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
        let (notify_sender, notify_receiver) = async_channel::bounded(1);
        Self { queue: Mutex::default(), notify_sender, notify_receiver }
    }

    fn with_queue<T>(&self, work: impl FnOnce(&mut Queue) -> T) -> T {
        work(&mut self.queue.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds a frame and returns the number of frames dropped to make room, or returns the frame
    /// itself if the outbox is closed.
    pub fn push(&self, frame: Vec<u8>) -> Result<u64, Vec<u8>> {
        let dropped = self.with_queue(|queue| {
            if queue.closed {
                return Err(frame);
            }
            queue.bytes += frame.len();
            queue.frames.push_back(frame);
            let mut dropped = 0;
            while queue.frames.len() > FRAME_COUNT_LIMIT || queue.bytes > SIZE_LIMIT_BYTES {
                queue.pop();
                dropped += 1;
            }
            Ok(dropped)
        })?;
        // If the channel is full, a notification is already pending.
        let _ = self.notify_sender.try_send(());
        Ok(dropped)
    }

    /// Puts a frame that was not sent back at the front of the queue.
    pub fn requeue(&self, frame: Vec<u8>) {
        self.with_queue(|queue| {
            queue.bytes += frame.len();
            queue.frames.push_front(frame);
        });
    }

    /// Removes and returns the first frame, waiting for one if the queue is empty.
    pub async fn dequeue(&self) -> Vec<u8> {
        loop {
            if let Some(frame) = self.with_queue(Queue::pop) {
                return frame;
            }
            // The outbox owns both ends of the channel, so this cannot fail.
            let _ = self.notify_receiver.recv().await;
        }
    }

    /// Closes the outbox if it is empty, so that it rejects further frames. Returns whether it was
    /// closed.
    pub fn close_if_empty(&self) -> bool {
        self.with_queue(|queue| {
            queue.closed = queue.frames.is_empty();
            queue.closed
        })
    }
}

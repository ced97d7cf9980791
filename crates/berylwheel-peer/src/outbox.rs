//! Messages that wait for one peer.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use async_channel::Receiver;
use async_channel::Sender;

/// Frames that wait for one peer.
const FRAME_COUNT: usize = 256;

/// Bytes that wait for one peer: four frames of the largest size.
const BYTE_COUNT: usize = 4 << 20;

/// A bounded queue of frames. A frame that does not fit pushes out the oldest.
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
    /// Returns an empty queue.
    pub fn new() -> Self {
        let (wake, woken) = async_channel::bounded(1);
        Self { queue: Mutex::default(), wake, woken }
    }

    fn locked<T>(&self, work: impl FnOnce(&mut Queue) -> T) -> T {
        work(&mut self.queue.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds a frame and returns how many older ones it pushed out, or the frame itself if the
    /// queue is closed.
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
        // A full channel has a wake-up already.
        let _ = self.wake.try_send(());
        Ok(dropped)
    }

    /// Puts back a frame that was not sent, in front of the others.
    pub fn put_back(&self, frame: Vec<u8>) {
        self.locked(|queue| {
            queue.bytes += frame.len();
            queue.frames.push_front(frame);
        });
    }

    /// Waits for a frame and takes it out.
    pub async fn next(&self) -> Vec<u8> {
        loop {
            if let Some(frame) = self.locked(Queue::pop) {
                return frame;
            }
            // The sender side lives as long as this queue, so this waits and does not fail.
            let _ = self.woken.recv().await;
        }
    }

    /// Closes the queue if it is empty, and returns whether it did. Later frames are refused.
    pub fn close_if_empty(&self) -> bool {
        self.locked(|queue| {
            queue.closed = queue.frames.is_empty();
            queue.closed
        })
    }
}

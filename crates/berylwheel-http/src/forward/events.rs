//! Server-sent events as bytes, split where each ends.

use bytes::Bytes;
use bytes::BytesMut;

/// The largest event that is kept until its end, in bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// One whole event with the bytes that it came in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEvent {
    /// The bytes, with the empty line that ends the event.
    pub bytes: Bytes,
    /// The event's id, if it has one that is a number.
    pub id: Option<u64>,
}

/// Splits a stream of server-sent events into whole events.
///
/// ```
/// use berylwheel_http::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(splitter.next_event().unwrap().id, Some(1));
/// assert_eq!(splitter.next_event(), None);
/// assert!(splitter.has_rest());
/// splitter.push(b"ta: b\n\n");
/// assert_eq!(splitter.next_event().unwrap().id, Some(2));
/// assert!(!splitter.has_rest());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes that hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes in the order in which they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next event that has arrived whole.
    pub fn next_event(&mut self) -> Option<ServerEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(ServerEvent { bytes, id })
    }

    /// Returns whether bytes of an event that is not whole are left.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether an event is larger than any that is passed on.
    pub fn is_over(&self) -> bool {
        self.buffer.len() > EVENT_LIMIT
    }

    /// Returns where the first event ends: after an empty line, with either line end.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let start = self.searched.saturating_sub(3);
        for at in start..bytes.len() {
            if bytes[at] != b'\n' {
                continue;
            }
            match &bytes[at + 1..] {
                [b'\n', ..] => return Some(at + 2),
                [b'\r', b'\n', ..] => return Some(at + 3),
                _ => {}
            }
        }
        self.searched = bytes.len();
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

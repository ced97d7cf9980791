//! Splits a stream of server-sent events into events and keeps their bytes unchanged.

use berylwheel_types::parse_whole;
use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of a buffered event in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A complete event, with the bytes as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEvent {
    /// The bytes, including the empty line that ends the event.
    pub bytes: Bytes,
    /// The event's id, if it is a number.
    pub id: Option<u64>,
}

/// Splits a stream of server-sent events into complete events.
///
/// ```
/// use berylwheel_http::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(splitter.next_event().unwrap().id, Some(1));
/// assert_eq!(splitter.next_event(), None);
/// assert!(splitter.has_partial_event());
/// splitter.push(b"ta: b\n\n");
/// assert_eq!(splitter.next_event().unwrap().id, Some(2));
/// assert!(!splitter.has_partial_event());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of leading bytes already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<ServerEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = parse_event_id(&bytes);
        Some(ServerEvent { bytes, id })
    }

    /// Returns whether any bytes are buffered, such as those of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the buffered bytes exceed the size limit of an event.
    pub fn is_over_limit(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns the end of the first event: after an empty line, which may end with LF or CRLF.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let start = self.searched.saturating_sub(3);
        for index in start..bytes.len() {
            if bytes[index] != b'\n' {
                continue;
            }
            match &bytes[index + 1..] {
                [b'\n', ..] => return Some(index + 2),
                [b'\r', b'\n', ..] => return Some(index + 3),
                _ => {}
            }
        }
        self.searched = bytes.len();
        None
    }
}

fn parse_event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    parse_whole(std::str::from_utf8(value).ok()?.trim())
}

//! Server-sent events: the `data` lines that the chat-completions interface uses.

use std::io;

use futures_lite::AsyncBufRead;
use futures_lite::AsyncBufReadExt;
use futures_lite::AsyncReadExt;

/// The longest line of an event stream, in bytes.
const LINE_LIMIT: u64 = 1 << 20;

/// Returns the bytes of an event with one line of data.
///
/// ```
/// assert_eq!(berylwheel_http::encode_event("[DONE]"), b"data: [DONE]\n\n");
/// ```
pub fn encode_event(data: &str) -> Vec<u8> {
    format!("data: {data}\n\n").into_bytes()
}

/// Reads the data of one event after the other.
///
/// ```
/// use berylwheel_http::EventReader;
/// use futures_lite::future::block_on;
/// let mut events = EventReader::new(&b"data: one\n\n: comment\ndata: two\n\n"[..]);
/// assert_eq!(block_on(events.next()).unwrap().unwrap(), "one");
/// assert_eq!(block_on(events.next()).unwrap().unwrap(), "two");
/// assert_eq!(block_on(events.next()).unwrap(), None);
/// ```
#[derive(Debug)]
pub struct EventReader<R> {
    reader: R,
}

impl<R: AsyncBufRead + Unpin> EventReader<R> {
    /// Returns a reader of the events in `reader`.
    pub fn new(reader: R) -> Self {
        Self { reader }
    }

    /// Returns the data of the next event, or `None` at the end of the stream.
    ///
    /// # Errors
    /// Fails if the connection breaks, a line is over 1 MB or is not UTF-8.
    pub async fn next(&mut self) -> io::Result<Option<String>> {
        loop {
            let mut line = String::new();
            let n = (&mut self.reader).take(LINE_LIMIT).read_line(&mut line).await?;
            if n == 0 {
                return Ok(None);
            }
            if n as u64 == LINE_LIMIT {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "event over 1 MB"));
            }
            if let Some(data) = line.strip_prefix("data:") {
                return Ok(Some(data.trim().to_owned()));
            }
        }
    }
}

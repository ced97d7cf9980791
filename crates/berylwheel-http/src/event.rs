//! Server-sent events: encoding and reading of the `data` lines used by the chat completions API.

use std::error::Error;
use std::io;

use futures_lite::AsyncBufRead;
use futures_lite::AsyncBufReadExt;
use futures_lite::AsyncReadExt;

/// Maximum length of a line in an event stream, in bytes.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// Encodes an event with one `data` line.
///
/// ```
/// assert_eq!(berylwheel_http::encode_event("[DONE]"), b"data: [DONE]\n\n");
/// ```
pub fn encode_event(data: &str) -> Vec<u8> {
    format!("data: {data}\n\n").into_bytes()
}

/// Reads the `data` lines of an event stream.
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
    /// Returns a reader for the event stream in `reader`.
    pub fn new(reader: R) -> Self {
        Self { reader }
    }

    /// Returns the next `data` line's content, or `None` at the end of the stream. A line without
    /// its end belongs to an incomplete event and is discarded.
    ///
    /// # Errors
    /// Fails if reading fails, or if a line is larger than 1 MB or not UTF-8.
    pub async fn next(&mut self) -> io::Result<Option<String>> {
        loop {
            // `read_line` can panic if reading fails within a line.
            let mut line = Vec::new();
            let n = (&mut self.reader).take(MAX_LINE_BYTES).read_until(b'\n', &mut line).await?;
            if n as u64 == MAX_LINE_BYTES {
                return Err(invalid_data("line of event stream is larger than 1 MB"));
            }
            if line.last() != Some(&b'\n') {
                return Ok(None);
            }
            let line = str::from_utf8(&line).map_err(invalid_data)?;
            if let Some(data) = line.strip_prefix("data:") {
                return Ok(Some(data.trim().to_owned()));
            }
        }
    }
}

fn invalid_data(error: impl Into<Box<dyn Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

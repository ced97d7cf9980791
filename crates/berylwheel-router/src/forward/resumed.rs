//! Checks that the response of another server continues a stream. Performs no I/O.

use berylwheel_http::ServerEvent;
use http::StatusCode;
use http::header;
use http::response::Parts;

/// What a response must have in common with the one that it continues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamFormat {
    /// Status of the response.
    pub status: StatusCode,
    /// Content type without parameters, in lower case.
    pub media_type: Option<String>,
}

impl StreamFormat {
    /// Returns the format of the response with this head.
    ///
    /// ```
    /// use berylwheel_router::StreamFormat;
    /// let response = http::Response::builder().header("content-type", "Text/Event-Stream; a=b");
    /// let (head, ()) = response.body(()).unwrap().into_parts();
    /// assert_eq!(StreamFormat::of(&head).media_type.as_deref(), Some("text/event-stream"));
    /// ```
    pub fn of(head: &Parts) -> Self {
        let value = head.headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let media_type = value.and_then(|value| value.split(';').next());
        let media_type = media_type.map(|media_type| media_type.trim().to_ascii_lowercase());
        Self { status: head.status, media_type }
    }
}

/// What was relayed of a stream so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedStream {
    /// Format of the first response.
    pub format: StreamFormat,
    /// Id of the last event that was relayed; `None` before the first one.
    pub last_event: Option<u64>,
}

/// A part of a response that resumes a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumedPart<'a> {
    /// The head.
    Head(&'a StreamFormat),
    /// The next event.
    Event(&'a ServerEvent),
}

/// Checks that a part of a resumed response continues the relayed stream: the head has the same
/// format, and the id of each event is that of the event before it plus one. An event that was
/// already relayed shows that the server runs the request from another point, whose events may
/// differ. Comments pass, and so does any event if none has been relayed.
///
/// ```
/// use berylwheel_http::EventSplitter;
/// use berylwheel_router::{RelayedStream, ResumedPart, StreamFormat, check_resumed};
/// let format = StreamFormat { status: http::StatusCode::OK, media_type: None };
/// let relayed = RelayedStream { format, last_event: Some(2) };
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 3\n\nid: 4\n\n");
/// let (third, fourth) = (splitter.next_event().unwrap(), splitter.next_event().unwrap());
/// assert!(check_resumed(&relayed, ResumedPart::Event(&third)).is_ok());
/// assert!(check_resumed(&relayed, ResumedPart::Event(&fourth)).is_err());
/// ```
///
/// # Errors
/// Returns a description of the difference.
pub fn check_resumed(relayed: &RelayedStream, part: ResumedPart<'_>) -> Result<(), String> {
    match part {
        ResumedPart::Head(format) if *format == relayed.format => Ok(()),
        ResumedPart::Head(StreamFormat { status, media_type }) => {
            let media_type = media_type.as_deref().unwrap_or("no content type");
            Err(format!("the response ({status}, {media_type}) does not continue the stream"))
        }
        ResumedPart::Event(event) if is_comment(event) => Ok(()),
        ResumedPart::Event(event) => {
            let Some(last) = relayed.last_event else { return Ok(()) };
            match event.id {
                Some(id) if last.checked_add(1) == Some(id) => Ok(()),
                Some(id) => Err(format!("event {id} follows event {last}")),
                None => Err(format!("an event without an id follows event {last}")),
            }
        }
    }
}

/// Returns whether an event consists only of comments and empty lines, which callers ignore.
pub(crate) fn is_comment(event: &ServerEvent) -> bool {
    let mut lines = event.bytes.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

//! What a response must have to continue a stream.

use berylwheel_http::EventSplitter;
use berylwheel_router::RelayedStream;
use berylwheel_router::ResumedPart;
use berylwheel_router::StreamFormat;
use berylwheel_router::check_resumed;
use http::Response;

fn format(status: u16, content_type: Option<&str>) -> StreamFormat {
    let mut response = Response::builder().status(status);
    if let Some(value) = content_type {
        response = response.header("content-type", value);
    }
    StreamFormat::of(&response.body(()).unwrap().into_parts().0)
}

/// Guards against an error or a page of another server in the middle of a stream.
#[test]
fn resumed_head_has_the_format_of_the_first() {
    let events = Some("text/event-stream");
    let cases = [
        (events, 200, events, true),
        (events, 200, Some("Text/Event-Stream; charset=utf-8"), true),
        (Some("text/event-stream;charset=utf-8"), 200, events, true),
        (None, 200, None, true),
        (events, 200, None, false),
        (None, 200, events, false),
        (events, 200, Some("text/plain"), false),
        (events, 200, Some("text/html; a=text/event-stream"), false),
        (events, 200, Some("text/event-stream-x"), false),
        (events, 200, Some(""), false),
        (events, 206, events, false),
        (events, 500, events, false),
    ];
    for (first, status, content_type, expected) in cases {
        let relayed = RelayedStream { format: format(200, first), last_event: Some(2) };
        let next = format(status, content_type);
        let checked = check_resumed(&relayed, ResumedPart::Head(&next));
        assert_eq!(checked.is_ok(), expected, "{first:?}, then {status} {content_type:?}");
    }
}

/// Guards against events of another run, or text that is no event, in the middle of a stream.
#[test]
fn resumed_event_has_the_next_id() {
    let cases = [
        (Some(2), "id: 3\ndata: a\n\n", true),
        (Some(2), "id:3\r\ndata: a\r\n\r\n", true),
        (Some(2), "version: 2\nid: 3\ndata: a\n\n", true),
        (Some(2), "event: error\nid: 3\ndata: a\n\n", true),
        (Some(0), "id: 1\n\n", true),
        (Some(2), ": wait\n\n", true),
        (Some(2), ":\r\n\r\n", true),
        (Some(2), "id: 1\ndata: a\n\n", false),
        (Some(2), "id: 2\ndata: a\n\n", false),
        (Some(2), "id: 4\ndata: a\n\n", false),
        (Some(2), "id: three\ndata: a\n\n", false),
        (Some(2), "id: -3\n\n", false),
        (Some(2), "id: 18446744073709551619\n\n", false),
        (Some(u64::MAX), "id: 0\n\n", false),
        (Some(2), "data: a\n\n", false),
        (Some(2), "event: error\ndata: a\n\n", false),
        (Some(2), ": wait\ndata: a\n\n", false),
        (Some(2), "<p id: 3>\n\n", false),
        (Some(2), "HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\n", false),
        (None, "id: 1\n\n", true),
        (None, "data: a\n\n", true),
    ];
    for (last_event, text, expected) in cases {
        let relayed = RelayedStream { format: format(200, None), last_event };
        let mut splitter = EventSplitter::default();
        splitter.push(text.as_bytes());
        let event = splitter.next_event().unwrap();
        let checked = check_resumed(&relayed, ResumedPart::Event(&event));
        assert_eq!(checked.is_ok(), expected, "{text:?} after {last_event:?}");
    }
}

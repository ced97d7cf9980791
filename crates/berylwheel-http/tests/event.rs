//! Reading of server-sent events.

use berylwheel_http::EventReader;
use futures_lite::future::block_on;

/// Guards against passing on an event whose server broke off within it.
#[test]
fn line_without_its_end_is_no_event() {
    for (text, expected) in [
        ("data: a\n\ndata: b", vec!["a"]),
        ("data: a\r\n\r\ndata:", vec!["a"]),
        ("data: a\n\ndata: b\n", vec!["a", "b"]),
        ("data: [DONE]", vec![]),
    ] {
        let mut reader = EventReader::new(text.as_bytes());
        let mut events = Vec::new();
        while let Some(event) = block_on(reader.next()).unwrap() {
            events.push(event);
        }
        assert_eq!(events, expected, "{text:?}");
    }
}

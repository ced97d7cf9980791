//! What servers say about themselves in the heads of their responses.

use berylwheel_router::ResponseHeaders;
use berylwheel_router::response_signal;
use berylwheel_types::Timestamp;

/// Guards against taking a notice from a response to another request.
#[test]
fn signals_are_taken_from_responses_to_the_request() {
    let (address, sent_at) = ("127.0.0.1:9000".parse().unwrap(), Timestamp::from_millis(5));
    let signal = |id: Option<&str>, leaving| {
        let id = id.map(str::to_owned);
        let headers = ResponseHeaders { id, leaving, ..ResponseHeaders::default() };
        response_signal("a", &headers, address, sent_at)
    };
    assert!(signal(Some("a"), true).unwrap().leaving);
    assert_eq!(signal(Some("b"), true), None, "another request");
    assert_eq!(signal(None, true), None, "no id");
    assert_eq!(signal(Some("a"), false), None);
}

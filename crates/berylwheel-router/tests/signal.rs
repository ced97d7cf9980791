//! What servers say about themselves in the heads of their responses.

use berylwheel_route::PauseRequest;
use berylwheel_router::ResponseHeaders;
use berylwheel_router::response_signal;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

/// Guards against overlooking a notice because of the status, and against taking one from a
/// response to another request.
#[test]
fn signals_are_taken_from_any_response_to_the_request() {
    let (address, sent_at) = ("127.0.0.1:9000".parse().unwrap(), Timestamp::from_millis(5));
    let signal = |id: Option<&str>, status, leaving, pause| {
        let id = id.map(str::to_owned);
        let headers = ResponseHeaders { id, leaving, pause, ..ResponseHeaders::default() };
        response_signal("a", status, &headers, address, sent_at)
    };
    let wait = PauseRequest::Wait(Millis(100));
    for status in [200, 204, 400, 404, 421, 429, 500, 503, 504] {
        let found = signal(Some("a"), status, true, wait).unwrap();
        assert!(found.leaving, "{status}");
        let expected = if status == 503 { wait } else { PauseRequest::None };
        assert_eq!(found.pause, expected, "{status}");
        assert_eq!(signal(Some("b"), status, true, wait), None, "{status}: another request");
        assert_eq!(signal(None, status, true, wait), None, "{status}: no id");
        assert_eq!(signal(Some("a"), status, false, PauseRequest::None), None, "{status}");
    }
}

/// Guards against overlooking how long a server stays cold in an answer that says nothing else of it,
/// and against taking it from a response to another request.
#[test]
fn cold_servers_say_so_in_any_response_to_the_request() {
    let (address, sent_at) = ("127.0.0.1:9000".parse().unwrap(), Timestamp::from_millis(5));
    let cold = |id: &str, status, cold| {
        let headers = ResponseHeaders { id: Some(id.to_owned()), cold, ..Default::default() };
        response_signal("a", status, &headers, address, sent_at).map(|signal| signal.cold)
    };
    for status in [200, 404, 421, 503] {
        for remaining in [Millis(0), Millis(2_400)] {
            assert_eq!(cold("a", status, Some(remaining)), Some(Some(remaining)), "{status}");
            assert_eq!(cold("b", status, Some(remaining)), None, "{status}: another request");
        }
        assert_eq!(cold("a", status, None), None, "{status}");
    }
}

//! What servers say about themselves in the heads of their responses. Performs no I/O.

use std::net::SocketAddr;

use berylwheel_route::PauseRequest;
use berylwheel_route::ServerSignal;
use berylwheel_types::Timestamp;

use super::platform::ResponseHeaders;

/// Status of a response whose delay applies to all requests to the server.
const UNAVAILABLE: u16 = 503;

/// Returns what a server says about itself in its response to the request `id`, which was sent to
/// `address` at `sent_at`. Returns `None` if it says nothing or if the response belongs to another
/// request.
///
/// ```
/// use berylwheel_router::{ResponseHeaders, response_signal};
/// use berylwheel_types::Timestamp;
/// let (address, sent_at) = ("127.0.0.1:9000".parse().unwrap(), Timestamp::from_millis(0));
/// let id = Some("a".to_owned());
/// let headers = ResponseHeaders { id, leaving: true, ..ResponseHeaders::default() };
/// assert!(response_signal("a", 200, &headers, address, sent_at).unwrap().leaving);
/// assert_eq!(response_signal("b", 200, &headers, address, sent_at), None);
/// ```
pub fn response_signal(
    id: &str,
    status: u16,
    headers: &ResponseHeaders,
    address: SocketAddr,
    sent_at: Timestamp,
) -> Option<ServerSignal> {
    if headers.id.as_deref() != Some(id) {
        return None;
    }
    let pause = if status == UNAVAILABLE { headers.pause } else { PauseRequest::None };
    let leaving = headers.leaving;
    let cold = headers.cold;
    let is_silent = !leaving && pause == PauseRequest::None && cold.is_none();
    (!is_silent).then_some(ServerSignal { address, sent_at, leaving, pause, cold })
}

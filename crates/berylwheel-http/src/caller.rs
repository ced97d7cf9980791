//! The caller of a request that is being handled.

use berylwheel_types::Millis;

use crate::Connection;
use crate::sleep;

/// Time between two looks at a connection. A caller that leaves costs at most this much waiting.
const LOOK_INTERVAL: Millis = Millis(100);

/// The caller of a request, among the request's extensions (`request.ext().get::<Caller>()`).
///
/// The server notices that a caller has left only when it sends to it. A handler that waits, as
/// for a place in a queue, can wait for the caller to leave as well.
#[derive(Debug, Clone)]
pub struct Caller {
    connection: Connection,
}

impl Caller {
    /// Returns the caller at the other end of `connection`.
    pub(crate) fn new(connection: Connection) -> Self {
        Self { connection }
    }

    /// Waits until the caller has closed its side of the connection. A caller that sends more
    /// bytes before it leaves is noticed only once they have been read.
    pub async fn left(&self) {
        while !self.connection.is_closed() {
            sleep(LOOK_INTERVAL).await;
        }
    }
}

//! The caller of a request that is being handled.

use berylwheel_types::Millis;

use crate::Connection;
use crate::sleep;

/// Interval between checks for a closed connection. A disconnect is detected at most this much
/// later.
const CLOSE_POLL_INTERVAL: Millis = Millis(100);

/// The caller of a request, among the request's extensions (`request.ext().get::<Caller>()`).
///
/// The server detects a disconnected caller only when it writes to the connection. A handler that
/// waits for something else, such as a place in a queue, can wait for the disconnect as well.
#[derive(Debug, Clone)]
pub struct Caller {
    connection: Connection,
}

impl Caller {
    /// Returns the caller at the other end of `connection`.
    pub(crate) fn new(connection: Connection) -> Self {
        Self { connection }
    }

    /// Waits until the caller has closed its side of the connection. If the caller sent more bytes
    /// before it closed, the close is detected only once they have been read.
    pub async fn disconnected(&self) {
        while !self.connection.is_closed() {
            sleep(CLOSE_POLL_INTERVAL).await;
        }
    }
}

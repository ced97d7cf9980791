//! Buffers response bodies within a memory limit that all responses share. A faulty server may send
//! bytes without end.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::calls::memory::BodyMemory;

/// Maximum size of a buffered response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Bytes of each response that do not count towards the shared limit, so that large responses do not
/// keep out the usual small ones.
const UNCOUNTED_BYTES: usize = 64 << 10;

/// Reads a body to its end.
///
/// # Errors
/// Returns a description if the connection fails, or if the body exceeds the limit of a response or
/// what `memory` has left for all responses.
pub(crate) async fn buffer_body(body: &mut Incoming, memory: &BodyMemory) -> Result<Bytes, String> {
    let mut bytes = BytesMut::new();
    let mut reservations = Vec::new();
    let mut reserved = UNCOUNTED_BYTES;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|error| error.to_string())?.into_data() else { continue };
        let size = bytes.len() + data.len();
        if size > MAX_RESPONSE_BYTES {
            return Err(format!("the body is larger than {MAX_RESPONSE_BYTES} bytes"));
        }
        if size > reserved {
            // The buffer doubles as well when it is full.
            let more = size.max(2 * reserved).min(MAX_RESPONSE_BYTES) - reserved;
            let reservation = memory.try_reserve(more as u64);
            reservations.push(reservation.ok_or("too many large responses at once")?);
            reserved += more;
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

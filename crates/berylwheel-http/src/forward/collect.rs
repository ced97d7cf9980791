//! Receives response bodies that may take long on a slow link.

use berylwheel_types::Millis;
use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body;
use http_body_util::BodyExt;

use super::client::SendError;
use super::local_timeout::local_timeout;

/// Limits on a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub bytes: usize,
    /// Time limit for the next bytes to arrive.
    pub idle: Millis,
    /// Time limit for the whole body.
    pub total: Millis,
}

/// Receives a body to its end. A body that keeps arriving is given up only after `limits.total`: to
/// read it again from the start would take the same time.
///
/// ```
/// use berylwheel_http::{BodyLimits, collect_body, full_body};
/// use berylwheel_types::Millis;
/// let limits = BodyLimits { bytes: 3, idle: Millis(100), total: Millis(1_000) };
/// let body = async_io::block_on(collect_body(full_body("abc"), limits));
/// assert_eq!(body.unwrap(), "abc");
/// assert!(async_io::block_on(collect_body(full_body("abcd"), limits)).is_err());
/// ```
///
/// # Errors
/// Fails if the connection fails, or if the body exceeds a limit.
pub async fn collect_body<B>(body: B, limits: BodyLimits) -> Result<Bytes, SendError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: ToString,
{
    let failed = |timed_out, detail| SendError { sent: true, timed_out, refused: false, detail };
    let receiving = receive(body, limits);
    local_timeout(limits.total, receiving).await.unwrap_or_else(|| {
        Err(failed(true, format!("response body not complete within {}", limits.total)))
    })
}

async fn receive<B>(mut body: B, limits: BodyLimits) -> Result<Bytes, SendError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: ToString,
{
    let failed = |timed_out, detail| SendError { sent: true, timed_out, refused: false, detail };
    let mut bytes = BytesMut::new();
    loop {
        let frame = match local_timeout(limits.idle, body.frame()).await {
            Some(Some(Ok(frame))) => frame,
            Some(Some(Err(error))) => return Err(failed(false, error.to_string())),
            Some(None) => return Ok(bytes.freeze()),
            None => {
                let detail = format!("no part of the response body within {}", limits.idle);
                return Err(failed(true, detail));
            }
        };
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > limits.bytes {
            let detail = format!("the response body is larger than {} bytes", limits.bytes);
            return Err(failed(false, detail));
        }
        bytes.extend_from_slice(&data);
    }
}

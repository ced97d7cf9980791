//! The body of a caller's request, which a refusal may leave unread.

use berylwheel_http::local_timeout;
use berylwheel_types::Millis;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

/// Time for the rest of a body that is left unread. Mostly it has arrived with the head.
const DISCARD_TIME: Millis = Millis(20);
/// Maximum number of bytes of a body that are read only to keep its connection open.
const DISCARD_BYTES: usize = 256 << 10;

/// The body of a caller's request. A connection can carry another request only if it was read to
/// its end.
#[derive(Debug)]
pub(super) enum CallerBody {
    /// Nothing was read.
    Unread(Incoming),
    /// It was read to its end.
    Complete,
    /// It is being read, or reading it has failed.
    Incomplete,
}

impl CallerBody {
    /// Returns the size that an unread body has at least, in bytes.
    pub fn least_size(&self) -> u64 {
        match self {
            Self::Unread(body) => body.size_hint().lower(),
            Self::Complete | Self::Incomplete => 0,
        }
    }

    /// Returns the size that an unread body states, in bytes.
    pub fn stated_size(&self) -> Option<u64> {
        match self {
            Self::Unread(body) => body.size_hint().exact(),
            Self::Complete | Self::Incomplete => None,
        }
    }

    /// Returns the body to be read; `None` if that was done before.
    pub fn take(&mut self) -> Option<Incoming> {
        match std::mem::replace(self, Self::Incomplete) {
            Self::Unread(body) => Some(body),
            Self::Complete | Self::Incomplete => None,
        }
    }

    /// Reads and drops what is left of the body, if it arrives at once. Returns whether the body was
    /// read to its end, so that its connection can carry another request.
    pub async fn finish(self) -> bool {
        let mut body = match self {
            Self::Unread(body) => body,
            Self::Complete => return true,
            Self::Incomplete => return false,
        };
        let mut left = DISCARD_BYTES;
        let discard = async {
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else { return false };
                let size = frame.data_ref().map_or(0, |data| data.len());
                if size > left {
                    return false;
                }
                left -= size;
            }
            true
        };
        local_timeout(DISCARD_TIME, discard).await.unwrap_or(false)
    }
}

//! Request and response bodies: reading within limits, and streaming from a channel.

use std::io;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use async_channel::Receiver;
use async_channel::Sender;
use berylwheel_types::ByteSize;
use berylwheel_types::Code;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use futures_lite::AsyncBufRead;
use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt;
use futures_lite::FutureExt;
use futures_lite::Stream;
use http_types::Body;

use crate::timeout;
use crate::workarounds::decode_error;
use crate::workarounds::poll_periodically;

/// Chunks queued for a slow reader before sending blocks.
const CHANNEL_CAPACITY: usize = 16;

/// The sender for a body created by [`channel_body`].
pub type BodySender = Sender<io::Result<Vec<u8>>>;

/// Reads a whole body within a size limit and a time limit.
///
/// # Errors
/// [`Code::BodyTooLarge`], [`Code::SlowSender`], or [`Code::MalformedRequest`] if the body is
/// incomplete or cannot be decoded.
pub async fn read_body(
    body: Body,
    limit: ByteSize,
    time_limit: Millis,
) -> Result<Vec<u8>, Refusal> {
    if body.len().is_some_and(|n| n as u64 > limit.0) {
        return Err(Refusal::not_run(Code::BodyTooLarge, format!("the limit is {limit}")));
    }
    let content_length = body.len();
    let mut bytes = Vec::new();
    let mut limited = body.take(limit.0 + 1);
    // `http-types` panics on a trailer that is not ASCII.
    let read = AssertUnwindSafe(limited.read_to_end(&mut bytes)).catch_unwind();
    let read = async { read.await.unwrap_or_else(|_| Err(decode_error())) };
    match timeout(time_limit, poll_periodically(read)).await {
        None => Err(Refusal::not_run(Code::SlowSender, format!("the limit is {time_limit}"))),
        Some(Err(error)) => Err(Refusal::not_run(Code::MalformedRequest, error.to_string())),
        Some(Ok(n)) if n as u64 > limit.0 => {
            Err(Refusal::not_run(Code::BodyTooLarge, format!("the limit is {limit}")))
        }
        Some(Ok(n)) if content_length.is_some_and(|length| length != n) => Err(Refusal::not_run(
            Code::MalformedRequest,
            "the body is shorter than its content-length",
        )),
        Some(Ok(_)) => Ok(bytes),
    }
}

/// Returns a body of unknown length and the channel that feeds it.
///
/// The body ends when the sender is dropped, and reading it fails when an error is sent. Sending
/// fails once the body is dropped.
///
/// ```
/// use futures_lite::{AsyncReadExt, future};
/// let (sender, mut body) = berylwheel_http::channel_body();
/// sender.try_send(Ok(b"ab".to_vec())).unwrap();
/// drop(sender);
/// let mut text = String::new();
/// future::block_on(body.read_to_string(&mut text)).unwrap();
/// assert_eq!(text, "ab");
/// ```
pub fn channel_body() -> (BodySender, Body) {
    let (sender, receiver) = async_channel::bounded(CHANNEL_CAPACITY);
    let reader = ChunkReader { receiver: Box::pin(receiver), chunk: Vec::new(), position: 0 };
    (sender, Body::from_reader(reader, None))
}

/// Reads the chunks from a channel as one stream of bytes.
struct ChunkReader {
    receiver: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    chunk: Vec<u8>,
    position: usize,
}

impl AsyncRead for ChunkReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = match self.as_mut().poll_fill_buf(cx) {
            Poll::Ready(Ok(bytes)) => bytes,
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Pending => return Poll::Pending,
        };
        let n = available.len().min(buf.len());
        buf[..n].copy_from_slice(&available[..n]);
        self.consume(n);
        Poll::Ready(Ok(n))
    }
}

impl AsyncBufRead for ChunkReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.position == this.chunk.len() {
            match this.receiver.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(&[])),
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Err(error)),
                Poll::Ready(Some(Ok(chunk))) => {
                    this.chunk = chunk;
                    this.position = 0;
                }
            }
        }
        Poll::Ready(Ok(&this.chunk[this.position..]))
    }

    fn consume(mut self: Pin<&mut Self>, n: usize) {
        self.position += n;
    }
}

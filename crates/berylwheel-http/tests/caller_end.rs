//! Tests of how callers' connections end.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use async_io::block_on;
use berylwheel_http::AcceptLimits;
use berylwheel_http::ListenerState;
use berylwheel_http::Traffic;
use berylwheel_http::accept_connections;
use berylwheel_types::ByteSize;
use berylwheel_types::Millis;
use bytes::Bytes;
use futures_lite::StreamExt;
use futures_lite::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;

const LIMITS: AcceptLimits = AcceptLimits {
    head: ByteSize(16 << 10),
    head_timeout: Millis(5_000),
    idle_timeout: Millis(5_000),
    connections: 8,
};

/// Counts a drop.
struct DropCounter(Arc<AtomicUsize>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

/// Guards against a failed request that keeps its reservations for as long as its caller leaves the
/// connection open.
#[test]
fn broken_response_is_dropped_before_its_connection_is_read_out() {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let dropped = Arc::new(AtomicUsize::new(0));
    let drops = dropped.clone();
    thread::spawn(move || {
        let executor = Arc::new(Executor::new());
        let (_shutdown_sender, shutdown) = async_channel::bounded(1);
        let (_closing_sender, closing) = async_channel::bounded(1);
        let state =
            ListenerState { shutdown, closing, open: Arc::default(), traffic: Traffic::default() };
        let handler = move |_| {
            let counter = DropCounter(drops.clone());
            async move {
                let frames = [Ok(Frame::data(Bytes::from("a"))), Err(io::Error::other("broken"))];
                let frames = stream::iter(frames).then(move |frame| {
                    let _ = &counter;
                    async {
                        // The first frame is sent before the second one fails.
                        Timer::after(Millis(50).duration()).await;
                        frame
                    }
                });
                Response::new(StreamBody::new(frames).boxed_unsync())
            }
        };
        let serving = accept_connections(listener, executor.clone(), state, || LIMITS, handler);
        block_on(executor.run(serving));
    });
    let mut caller = TcpStream::connect(address).unwrap();
    caller.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
    let mut response = Vec::new();
    let _ = caller.read_to_end(&mut response);
    assert!(response.starts_with(b"HTTP/1.1 200") && !response.ends_with(b"0\r\n\r\n"));
    assert_eq!(dropped.load(Ordering::SeqCst), 1, "the response is held by its connection");
}

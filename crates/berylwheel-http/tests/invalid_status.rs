//! Responses whose status is not one of HTTP, as both clients read them.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::panic;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use async_executor::Executor;
use berylwheel_http::Client;
use berylwheel_http::OutgoingRequest;
use berylwheel_http::SendOptions;
use berylwheel_http::UpstreamClient;
use berylwheel_types::Clock;
use berylwheel_types::Millis;
use futures_lite::future::block_on;
use http_body_util::Full;
use http_types::Method;
use hyper::Request;

const TIME_LIMIT: Millis = Millis(20_000);
const STATUSES: [&str; 9] = ["000", "0", "00", "099", "1000", "2x0", "-20", "+200", ""];
const FRAMINGS: [&str; 3] = ["content-length: 2\r\n", "transfer-encoding: chunked\r\n", ""];

/// Starts a server that answers one request with a status.
fn start_server(status: &str, framing: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let body = if framing.contains("chunked") { "2\r\nok\r\n0\r\n\r\n" } else { "ok" };
    let response = format!("HTTP/1.1 {status} OK\r\n{framing}\r\n{body}");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && matches!(stream.read(&mut byte), Ok(1)) {
            head.push(byte[0]);
        }
        // The client may close the connection at the first odd byte.
        let _ = stream.write_all(response.as_bytes());
    });
    address
}

/// Returns the status that the client of the router's own interface reads.
fn fetch(address: SocketAddr) -> Option<u16> {
    let outgoing = OutgoingRequest { pooled: false, ..OutgoingRequest::new(Method::Get, "/") };
    let fetched = block_on(Client::default().fetch(address, &outgoing, 1_000, TIME_LIMIT));
    fetched.ok().map(|(response, _)| response.status().into())
}

/// Returns the status that the client of forwarded requests reads.
fn forward(address: SocketAddr) -> Option<u16> {
    let executor = Arc::new(Executor::new());
    let client = UpstreamClient::new(executor.clone(), Clock::real());
    let options =
        SendOptions { max_idle: Millis(0), connect_timeout: TIME_LIMIT, head_timeout: TIME_LIMIT };
    let request = Request::builder().uri("/").header("host", "h").body(Full::default()).unwrap();
    let sending = client.send(address, request, options);
    let (response, _connection) = async_io::block_on(executor.run(sending)).ok()?;
    Some(response.status().as_u16())
}

/// Guards against a response with a status such as 000 that reaches a caller, and against a panic of
/// a library on it, which would only be caught where the client expects one.
#[test]
fn response_with_an_invalid_status_is_an_error_without_a_panic() {
    static PANICS: AtomicUsize = AtomicUsize::new(0);
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        default_hook(info);
    }));
    for framing in FRAMINGS {
        for status in STATUSES {
            let name = format!("status {status:?}, {framing:?}");
            assert_eq!(fetch(start_server(status, framing)), None, "own interface, {name}");
            assert_eq!(forward(start_server(status, framing)), None, "forwarding, {name}");
            assert_eq!(PANICS.load(Ordering::Relaxed), 0, "panics after {name}");
        }
        assert_eq!(forward(start_server("200", framing)), Some(200), "forwarding, {framing:?}");
    }
    assert_eq!(fetch(start_server("200", FRAMINGS[0])), Some(200), "own interface");
}

//! Tests of the server: invalid input is refused with its result code, and the server keeps
//! running.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_executor::Executor;
use async_io::Async;
use berylwheel_http::ActiveRequests;
use berylwheel_http::Caller;
use berylwheel_http::ServerLimits;
use berylwheel_http::channel_body;
use berylwheel_http::problem_response;
use berylwheel_http::read_body;
use berylwheel_http::serve;
use berylwheel_types::ByteSize;
use berylwheel_types::Millis;
use futures_lite::future::block_on;
use http_types::Request;
use http_types::Response;

const BODY_LIMIT: ByteSize = ByteSize(1_000);

/// Longer than any test takes.
const LONG_TIME_LIMIT: Millis = Millis(60_000);

/// Short enough for a test to wait until it expires, and long enough to send a line on a busy
/// machine.
const SHORT_TIME_LIMIT: Millis = Millis(200);

/// Starts a server that responds with the length of the body, on `/stream` with an endless body, on
/// `/unread` with status 401 before it has read the body, and on `/queue` once the caller has
/// disconnected.
///
/// The returned channel receives a message when `/stream` or `/queue` detects the disconnect.
fn start_server(
    limits: ServerLimits,
    body_time: Millis,
) -> (SocketAddr, async_channel::Receiver<()>) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let address = listener.get_ref().local_addr().expect("bound");
    let executor = Arc::new(Executor::new());
    let (disconnect_sender, disconnects) = async_channel::unbounded();
    let tasks = executor.clone();
    let handler = move |mut request: Request| {
        let (disconnect_sender, tasks) = (disconnect_sender.clone(), tasks.clone());
        async move {
            let path = request.url().path().to_owned();
            if path == "/unread" {
                return Response::new(401);
            }
            if path == "/queue" {
                request.ext().get::<Caller>().expect("set by the server").disconnected().await;
                disconnect_sender.send(()).await.expect("the test receives");
            }
            let bytes = match read_body(request.take_body(), BODY_LIMIT, body_time).await {
                Ok(bytes) => bytes,
                Err(refusal) => return problem_response(&refusal, ""),
            };
            let mut response = Response::new(200);
            response.set_body(bytes.len().to_string());
            if path == "/stream" {
                let (sender, body) = channel_body();
                let endless = async move {
                    while sender.send(Ok(b"more".repeat(1_000))).await.is_ok() {}
                    disconnect_sender.send(()).await.expect("the test receives");
                };
                tasks.spawn(endless).detach();
                response.set_body(body);
            }
            response
        }
    };
    let serving = serve(listener, executor.clone(), limits, ActiveRequests::default(), handler);
    thread::spawn(move || block_on(executor.run(serving)));
    (address, disconnects)
}

/// Starts a server whose time limits do not expire during a test.
fn start_with_long_limits() -> SocketAddr {
    start_server(
        ServerLimits { head_timeout: LONG_TIME_LIMIT, ..ServerLimits::default() },
        LONG_TIME_LIMIT,
    )
    .0
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the server accepts");
    stream.set_read_timeout(Some(Duration::from_secs(60))).expect("not zero");
    stream
}

/// Reads a refusal, checks that the connection then closes, and returns its status and code.
fn read_refusal(stream: &mut TcpStream) -> (u16, u64) {
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("a complete refusal, then the end of the stream");
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    assert_eq!(body["ran"], "not-run", "{text}");
    (status.unwrap_or(0), body["code"].as_u64().unwrap_or(0))
}

fn send(address: SocketAddr, input: &[u8]) -> TcpStream {
    let mut stream = connect(address);
    // The server may refuse the request and close the connection before it has read all of it.
    let _ = stream.write_all(input);
    stream
}

fn assert_healthy(address: SocketAddr) {
    let mut stream = send(address, b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nok");
    let mut head = [0; 15];
    stream.read_exact(&mut head).expect("the server still responds");
    assert_eq!(&head, b"HTTP/1.1 200 OK");
}

/// Guards against heads that crash the server or are refused without a result code.
#[test]
fn malformed_heads_are_refused() {
    let address = start_with_long_limits();
    let cases: [&[u8]; 12] = [
        b"nonsense\r\n\r\n",
        b"\r\n\r\n\r\n",
        b"\0\xff\xfe\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.0\r\nhost: h\r\n\r\n",
        b"WHAT / HTTP/1.1\r\nhost: h\r\n\r\n",
        b"GET nowhere HTTP/1.1\r\nhost: h\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: \xc3\xa9\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: h\r\nname: \xc3\xa9\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: h\r\nname: \xff\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
    ];
    for case in cases {
        let text = String::from_utf8_lossy(case);
        assert_eq!(read_refusal(&mut send(address, case)), (400, 1101), "{text}");
    }
    let mut truncated = send(address, b"GET / HTTP/1.1\r\nhost");
    truncated.shutdown(Shutdown::Write).expect("connected");
    assert_eq!(read_refusal(&mut truncated), (400, 1101), "truncated head");
    assert_healthy(address);
}

/// Guards against memory exhaustion by a head with many lines or one endless line.
#[test]
fn oversized_heads_are_refused() {
    let address = start_with_long_limits();
    let cases = [
        format!("GET / HTTP/1.1\r\nhost: h\r\nlong: {}\r\n\r\n", "x".repeat(9_000)),
        format!("GET / HTTP/1.1\r\nhost: h\r\n{}", "name: value\r\n".repeat(1_000)),
        format!("GET / HTTP/1.1\r\nhost: h\r\n{}\r\n", "a: b\r\n".repeat(200)),
        format!("GET /{}", "x".repeat(1 << 20)),
    ];
    for case in cases {
        let start = case.get(..60).unwrap_or_default();
        assert_eq!(read_refusal(&mut send(address, case.as_bytes())), (431, 1103), "{start}");
    }
    assert_healthy(address);
}

/// Guards against an oversized body that is buffered, or read to its end after the refusal.
#[test]
fn oversized_bodies_are_refused() {
    let address = start_with_long_limits();
    let head = "POST / HTTP/1.1\r\nhost: h\r\n";
    let cases = [
        format!("{head}content-length: 1001\r\n\r\n"),
        format!("{head}content-length: 18446744073709551615\r\n\r\n"),
        format!("{head}content-length: 200000\r\n\r\n{}", "x".repeat(200_000)),
        format!("{head}content-length: 1000000\r\n\r\n{}", "x".repeat(1_000_000)),
        format!("{head}transfer-encoding: chunked\r\n\r\n3e9\r\n{}\r\n", "x".repeat(1_001)),
    ];
    for case in cases {
        assert_eq!(read_refusal(&mut send(address, case.as_bytes())), (413, 1104));
    }
    assert_healthy(address);
}

/// Guards against a truncated body that is taken as complete, and chunk framing or trailers that
/// crash the server.
#[test]
fn malformed_and_truncated_bodies_are_refused() {
    let address = start_with_long_limits();
    let head = b"POST / HTTP/1.1\r\nhost: h\r\n".as_slice();
    let cases: [&[u8]; 5] = [
        b"content-length: 10\r\n\r\nthree",
        b"transfer-encoding: chunked\r\n\r\n5\r\nthree\r\n",
        b"transfer-encoding: chunked\r\n\r\n-5\r\nthree\r\n0\r\n\r\n",
        b"transfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
        b"transfer-encoding: chunked\r\n\r\n0\r\nname: \xc3\xa9\r\n\r\n",
    ];
    for case in cases {
        let mut stream = send(address, &[head, case].concat());
        stream.shutdown(Shutdown::Write).expect("connected");
        let text = String::from_utf8_lossy(case);
        assert_eq!(read_refusal(&mut stream), (400, 1101), "{text}");
    }
    assert_healthy(address);
}

/// Guards against a complete body that is never returned: `async-h1` loses a wake-up when its 8 KB
/// buffer ends within the final CRLF of a chunked body.
#[test]
fn a_body_that_ends_at_the_buffer_boundary_is_read() {
    let tail = "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    let head = "POST / HTTP/1.1\r\nhost: h\r\nlong: ";
    let filler = "x".repeat(8_193 - head.len() - tail.len() - 2);
    let mut stream = send(start_with_long_limits(), format!("{head}{filler}\r\n{tail}").as_bytes());
    let mut start = [0; 12];
    stream.read_exact(&mut start).expect("a response");
    assert_eq!(&start, b"HTTP/1.1 200");
}

/// Guards against slow senders of a head or a body that keep a connection open.
#[test]
fn slow_senders_are_refused() {
    let limits = ServerLimits { head_timeout: SHORT_TIME_LIMIT, ..ServerLimits::default() };
    // The time limit for the head must not end a request whose head has arrived.
    let address = start_server(limits, Millis(2 * SHORT_TIME_LIMIT.0)).0;
    assert_eq!(read_refusal(&mut send(address, b"GET / HTTP/1.1\r\nhost: ")), (408, 1105), "head");
    for framing in ["content-length: 10\r\n\r\nthree", "transfer-encoding: chunked\r\n\r\n5\r\nt"] {
        let request = format!("POST / HTTP/1.1\r\nhost: h\r\n{framing}");
        assert_eq!(read_refusal(&mut send(address, request.as_bytes())), (408, 1105), "{framing}");
    }
}

/// Guards against a caller that keeps a connection open by slowly sending a body the handler does
/// not read.
#[test]
fn an_unread_body_closes_the_connection_after_the_response() {
    let address = start_with_long_limits();
    let request = b"POST /unread HTTP/1.1\r\nhost: h\r\ncontent-length: 1000\r\n\r\nslow";
    let mut text = String::new();
    send(address, request)
        .read_to_string(&mut text)
        .expect("a response, then the end of the stream");
    assert!(text.starts_with("HTTP/1.1 401"), "{text}");
    // An unread body that has already arrived is discarded, and the connection stays open.
    let complete = b"POST /unread HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nfast";
    let mut stream = send(address, complete);
    for _ in 0..2 {
        let mut head = [0; 12];
        stream.read_exact(&mut head).expect("a response");
        assert_eq!(&head, b"HTTP/1.1 401");
        let mut rest = Vec::new();
        while !rest.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("a head");
            rest.push(byte[0]);
        }
        stream.write_all(complete).expect("still open");
    }
}

/// Guards against a response stream that is still produced after the caller has disconnected.
#[test]
fn a_disconnect_ends_the_stream() {
    let (address, disconnects) = start_server(ServerLimits::default(), LONG_TIME_LIMIT);
    let mut stream = send(address, b"GET /stream HTTP/1.1\r\nhost: h\r\n\r\n");
    stream.read_exact(&mut [0; 1_000]).expect("the start of the stream");
    drop(stream);
    disconnects.recv_blocking().expect("the disconnect is detected by the sender");
    assert_healthy(address);
}

/// Guards against a place in a queue that is kept for a caller that has disconnected.
#[test]
fn a_disconnect_before_the_response_is_detected() {
    let (address, disconnects) = start_server(ServerLimits::default(), LONG_TIME_LIMIT);
    let stream = send(address, b"GET /queue HTTP/1.1\r\nhost: h\r\n\r\n");
    assert_healthy(address);
    assert!(disconnects.is_empty(), "the caller is still connected");
    drop(stream);
    disconnects.recv_blocking().expect("the disconnect is detected by the handler");
}

/// Guards against an unlimited number of connections, and closed connections that still count.
#[test]
fn connections_over_the_limit_are_refused_until_one_closes() {
    let limits = ServerLimits { connections: 2, head_timeout: LONG_TIME_LIMIT };
    let address = start_server(limits, LONG_TIME_LIMIT).0;
    let request = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    let mut open_streams: Vec<_> = (0..2).map(|_| send(address, request)).collect();
    for stream in &mut open_streams {
        stream.read_exact(&mut [0; 15]).expect("a response");
    }
    let mut text = String::new();
    connect(address).read_to_string(&mut text).expect("a refusal");
    assert!(text.starts_with("HTTP/1.1 429") && text.contains("\"code\":1311"), "{text}");
    assert!(text.to_lowercase().contains("retry-after: 1\r\n"), "{text}");
    drop(open_streams);
    // The server detects the closed connections with a delay.
    loop {
        let mut head = [0; 12];
        send(address, request).read_exact(&mut head).expect("a response");
        if &head == b"HTTP/1.1 200" {
            break;
        }
    }
}

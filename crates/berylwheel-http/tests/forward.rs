//! Tests of forwarding: unchanged bytes, connection reuse, and failures.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use async_executor::Executor;
use async_io::Async;
use async_io::block_on;
use berylwheel_http::AcceptLimits;
use berylwheel_http::EventSplitter;
use berylwheel_http::ListenerState;
use berylwheel_http::SendOptions;
use berylwheel_http::Traffic;
use berylwheel_http::UpstreamClient;
use berylwheel_http::accept_connections;
use berylwheel_http::full_body;
use berylwheel_types::ByteSize;
use berylwheel_types::Clock;
use berylwheel_types::Millis;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

const LIMITS: AcceptLimits = AcceptLimits {
    head: ByteSize(16 << 10),
    head_timeout: Millis(300),
    idle_timeout: Millis(5_000),
    connections: 8,
};

const OPTIONS: SendOptions = SendOptions {
    max_idle: Millis(5_000),
    connect_timeout: Millis(2_000),
    head_timeout: Millis(5_000),
};

/// Starts a server that responds with the request's target, `x-raw` header and body.
fn start_echo_server() -> SocketAddr {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    thread::spawn(move || {
        let executor = Arc::new(Executor::new());
        let (_shutdown_sender, shutdown) = async_channel::bounded(1);
        let (_closing_sender, closing) = async_channel::bounded(1);
        let state =
            ListenerState { shutdown, closing, open: Arc::default(), traffic: Traffic::default() };
        let serving = accept_connections(
            listener,
            executor.clone(),
            state,
            || LIMITS,
            |request| async {
                let (head, body) = Request::<Incoming>::into_parts(request);
                let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
                let header = head.headers.get("x-raw").map(|value| value.as_bytes().to_vec());
                let text =
                    [head.uri.to_string().into_bytes(), header.unwrap_or_default(), body.to_vec()];
                Response::new(full_body(text.join(&b'|')))
            },
        );
        block_on(executor.run(serving));
    });
    address
}

fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(bytes).unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    response
}

/// Guards against a target, header value or body that is normalized or re-encoded.
#[test]
fn targets_headers_and_bodies_keep_their_bytes() {
    let address = start_echo_server();
    let targets = ["/a/../b", "//a", "/%2F%2e", "/a?b=c%20d&&e", "/?x=/../y", "/a;b=1,2"];
    for target in targets {
        let request = format!(
            "POST {target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
        );
        let response = String::from_utf8(exchange(address, request.as_bytes())).unwrap();
        assert!(response.ends_with(&format!("{target}||ok")), "{target}: {response}");
    }
    let raw = b"GET / HTTP/1.1\r\nHost: h\r\nX-Raw: \xe9\xff\r\nConnection: close\r\n\r\n";
    assert!(exchange(address, raw).ends_with(b"/|\xe9\xff|"));
    let chunked =
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n\
        2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
    assert!(exchange(address, chunked).ends_with(b"/||abc"));
}

/// Guards against a lost wake-up, or bytes that are lost or repeated, where a read ends exactly with
/// the bytes received so far.
#[test]
fn bodies_that_arrive_in_pieces_are_complete() {
    let address = start_echo_server();
    for size in [1, 4_096, 32_767, 32_768, 32_769, 65_536, 200_000] {
        for piece in [1_000, 4_096, 32_768, 200_000] {
            let body: Vec<u8> = (0..size).map(|i| (i % 251) as u8).collect();
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
            let head = format!(
                "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: {size}\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).unwrap();
            for (number, bytes) in body.chunks(piece).enumerate() {
                if number < 3 {
                    // Lets the server read everything that was sent before.
                    thread::sleep(Duration::from_millis(5));
                }
                stream.write_all(bytes).unwrap();
            }
            let mut response = Vec::new();
            let read = stream.read_to_end(&mut response);
            assert!(read.is_ok(), "{size} bytes in pieces of {piece}: {read:?}");
            assert!(response.ends_with(&body), "{size} bytes in pieces of {piece}");
        }
    }
}

/// Guards against malformed requests that reach the handler, and unfinished heads that keep a
/// connection open.
#[test]
fn malformed_and_unfinished_heads_close_the_connection() {
    let address = start_echo_server();
    let table: [(&str, &[u8]); 4] = [
        ("a space in the target", b"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n"),
        ("a TLS handshake", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"),
        (
            "two content lengths",
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        ),
        ("an unfinished head", b"GET / HTTP/1.1\r\nHost:"),
    ];
    for (case, bytes) in table {
        let response = exchange(address, bytes);
        assert!(!response.starts_with(b"HTTP/1.1 200"), "{case}");
    }
}

/// Guards against closing a connection without an answer because too many are open.
#[test]
fn connection_over_the_limit_gets_a_refusal() {
    let address = start_echo_server();
    let open: Vec<TcpStream> =
        (0..LIMITS.connections).map(|_| TcpStream::connect(address).unwrap()).collect();
    for _ in 0..3 {
        let response = exchange(address, b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        let response = String::from_utf8_lossy(&response).to_ascii_lowercase();
        assert!(response.starts_with("http/1.1 429 "), "{response}");
        assert!(response.contains("not-run") && response.contains("retry-after: 1"), "{response}");
    }
    drop(open);
}

/// Starts a server that sends one of `responses` for each read, and then closes the connection if
/// its flag is set. Returns the address and a channel that receives the number of each connection.
fn start_scripted_server(responses: Vec<(Vec<u8>, bool)>) -> (SocketAddr, mpsc::Receiver<usize>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (accepted, connections) = mpsc::channel();
    thread::spawn(move || -> io::Result<()> {
        let mut responses = responses.into_iter();
        for number in 0.. {
            let (mut stream, _) = listener.accept()?;
            let _ = accepted.send(number);
            let mut head = vec![0; 4_096];
            while stream.read(&mut head)? > 0 {
                let Some((response, close)) = responses.next() else { return Ok(()) };
                stream.write_all(&response)?;
                if close {
                    break;
                }
            }
        }
        Ok(())
    });
    (address, connections)
}

fn request() -> Request<Full<Bytes>> {
    Request::builder().uri("/").header("host", "h").body(Full::default()).unwrap()
}

fn with_upstream<T>(run: impl AsyncFnOnce(UpstreamClient) -> T) -> T {
    let executor = Arc::new(Executor::new());
    let upstream = UpstreamClient::new(executor.clone(), Clock::real());
    block_on(executor.run(run(upstream)))
}

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Guards against a new connection for each request, and against reuse of a closed connection.
#[test]
fn open_connections_are_reused() {
    let responses = vec![(OK.to_vec(), false), (OK.to_vec(), true), (OK.to_vec(), false)];
    let (address, connections) = start_scripted_server(responses);
    with_upstream(async |upstream| {
        for _ in 0..3 {
            let (response, connection) = upstream.send(address, request(), OPTIONS).await.unwrap();
            response.into_body().collect().await.unwrap();
            connection.release(None);
            // Lets the server's close after the second response arrive before the third request.
            async_io::Timer::after(Millis(50).duration()).await;
        }
    });
    assert_eq!(connections.try_iter().count(), 2);
}

/// Guards against reuse of connections to a server that leaves, idle or in use when it said so, and
/// against a new connection for each request from then on.
#[test]
fn closed_pools_are_not_reused() {
    let address = start_echo_server();
    let opened = with_upstream(async |upstream| {
        let exchange = async || {
            let (response, connection) = upstream.send(address, request(), OPTIONS).await.unwrap();
            response.into_body().collect().await.unwrap();
            connection
        };
        let (idle, in_use) = (exchange().await, exchange().await);
        idle.release(None);
        upstream.close_idle(address);
        in_use.release(None);
        let mut opened = Vec::new();
        for _ in 0..2 {
            let connection = exchange().await;
            opened.push(upstream.opened_connections());
            connection.release(None);
        }
        opened
    });
    assert_eq!(opened, [3, 3]);
}

/// Guards against bytes or connections that are missing from the counts of the link's load.
#[test]
fn traffic_counts_all_bytes_and_connections() {
    let (address, _connections) = start_scripted_server(vec![(OK.to_vec(), false); 2]);
    with_upstream(async |upstream| {
        for _ in 0..2 {
            let (response, connection) = upstream.send(address, request(), OPTIONS).await.unwrap();
            response.into_body().collect().await.unwrap();
            connection.release(None);
        }
        let totals = upstream.traffic().totals();
        assert_eq!((totals.connections, totals.received), (1, 2 * OK.len() as u64));
        assert_eq!(totals.sent, 2 * b"GET / HTTP/1.1\r\nhost: h\r\n\r\n".len() as u64);
    });
}

/// Starts a server that answers the first request of each connection, sends a second copy of that
/// response when told to, and answers further requests of the connection by their number.
fn start_repeating_server() -> (SocketAddr, mpsc::Sender<()>, mpsc::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (repeat, repeat_order) = mpsc::channel();
    let (done, repeated) = mpsc::channel();
    let repeat_order = Arc::new(Mutex::new(repeat_order));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, order, done) = (stream.unwrap(), repeat_order.clone(), done.clone());
            thread::spawn(move || {
                let response = |number| {
                    format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr{number}").into_bytes()
                };
                let mut number = 0;
                while matches!(stream.read(&mut [0; 4_096]), Ok(count) if count > 0) {
                    number += 1;
                    if stream.write_all(&response(number)).is_err() {
                        return;
                    }
                    if number == 1 && order.lock().unwrap().recv().is_ok() {
                        let _ = stream.write_all(&response(1));
                        let _ = done.send(());
                    }
                }
            });
        }
    });
    (address, repeat, repeated)
}

/// Guards against a late second copy of a response that is taken for the response to the next
/// request of a reused connection.
#[test]
fn second_copy_of_a_response_does_not_answer_the_next_request() {
    for play in 0..50 {
        let (address, repeat, repeated) = start_repeating_server();
        let (first, second, opened) = with_upstream(async |upstream: UpstreamClient| {
            let (response, connection) = upstream.send(address, request(), OPTIONS).await.unwrap();
            let first = response.into_body().collect().await.unwrap().to_bytes();
            connection.release(None);
            repeat.send(()).unwrap();
            repeated.recv().unwrap();
            // The copy has arrived. The next request must use another connection, whose first
            // response is `r1` as well.
            let (response, _connection) = upstream.send(address, request(), OPTIONS).await.unwrap();
            let second = response.into_body().collect().await.unwrap().to_bytes();
            (first, second, upstream.opened_connections())
        });
        assert_eq!((first.as_ref(), second.as_ref()), (b"r1".as_slice(), b"r1".as_slice()));
        assert_eq!(opened, 2, "play {play}: connections, of which the second has the request");
    }
}

/// Guards against a failure reported as not sent although the server may have received the request,
/// and the reverse.
#[test]
fn errors_report_whether_the_request_was_sent() {
    let closed = TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap();
    let (silent, _) = start_scripted_server(vec![(Vec::new(), false)]);
    let (truncated, _) = start_scripted_server(vec![(b"HTTP/1.1 2".to_vec(), true)]);
    let (not_http, _) =
        start_scripted_server(vec![(b"no answer in the protocol\r\n\r\n".to_vec(), false)]);
    let table = [
        ("no listener", closed, false, false),
        ("no response", silent, true, true),
        ("closed within the head", truncated, true, false),
        ("not HTTP", not_http, true, false),
    ];
    for (case, address, sent, timed_out) in table {
        let options = SendOptions { head_timeout: Millis(300), ..OPTIONS };
        let error =
            with_upstream(async |upstream| upstream.send(address, request(), options).await);
        let error = error.map(|_| ()).unwrap_err();
        assert_eq!((error.sent, error.timed_out), (sent, timed_out), "{case}: {error}");
    }
}

/// Guards against events that are merged, truncated or lost when they are split across reads.
#[test]
fn events_do_not_depend_on_read_boundaries() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nnote: x\nid: 30\ndata: c\n\nid: 4\nda";
    for step in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let (mut ids, mut bytes) = (Vec::new(), Vec::new());
        for part in text.chunks(step) {
            splitter.push(part);
            while let Some(event) = splitter.next_event() {
                ids.push(event.id);
                bytes.extend_from_slice(&event.bytes);
            }
        }
        assert_eq!(ids, [Some(1), Some(2), Some(30)], "reads of {step} bytes");
        assert!(text.starts_with(&bytes) && splitter.has_partial_event());
    }
}

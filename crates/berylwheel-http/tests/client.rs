//! Tests of the client: complete and truncated responses, and whether a failed request was sent.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use berylwheel_http::Client;
use berylwheel_http::ClientError;
use berylwheel_http::OutgoingRequest;
use berylwheel_types::Millis;
use futures_lite::future::block_on;
use http_types::Method;

/// Longer than any expected response takes.
const LONG_TIME_LIMIT: Millis = Millis(60_000);

/// Starts a server that reads one request head, sends `response` and closes the connection.
fn start_server(response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("a complete head");
            head.push(byte[0]);
        }
        stream.write_all(response).expect("the caller reads");
    });
    address
}

fn fetch(response: &'static [u8], limit: u64) -> Result<Vec<u8>, ClientError> {
    let outgoing = OutgoingRequest::new(Method::Get, "/");
    let fetched = block_on(Client::default().fetch(
        start_server(response),
        &outgoing,
        limit,
        LONG_TIME_LIMIT,
    ));
    fetched.map(|(_, bytes)| bytes)
}

/// Guards against complete responses that are rejected or never finish.
///
/// `async-h1` loses the wake-up of a chunked body whose final CRLF is split across two reads.
#[test]
fn complete_responses_are_returned() {
    let plain = fetch(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole", 100);
    assert_eq!(plain.unwrap(), b"whole");
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    assert_eq!(fetch(chunked, 100).unwrap(), b"whole");
    // The 8 KB read buffer of `async-h1` ends within the final CRLF.
    let tail = "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    let head = "HTTP/1.1 200 OK\r\nlong: ";
    let filler = "x".repeat(8_193 - head.len() - tail.len() - 2);
    let split = format!("{head}{filler}\r\n{tail}").into_bytes().leak();
    let (done, outcome) = mpsc::channel();
    thread::spawn(move || done.send(fetch(split, 100).unwrap()));
    // The 60 s time limit of the call would hide a lost wake-up.
    let body = outcome.recv_timeout(Duration::from_secs(30)).expect("the read is woken up");
    assert_eq!(body, b"whole");
}

/// Guards against a truncated response that is returned as complete.
#[test]
fn truncated_or_oversized_responses_are_errors() {
    let cases: [&[u8]; 6] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwho",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwho",
        b"HTTP/1.1 200 OK\r\ncontent",
        b"",
    ];
    for response in cases {
        let error = fetch(response, 100).expect_err("a truncated or invalid response");
        assert!(error.sent && !error.timed_out, "{error}");
    }
    let error = fetch(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole", 4);
    assert!(error.expect_err("a body over the limit").sent);
}

/// Guards against a panic of `http-types` on a header or trailer that is not ASCII.
#[test]
fn non_ascii_responses_are_errors() {
    let cases: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nname: \xc3\xa9\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nname: \xff\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nname: \xc3\xa9\r\n\r\n",
    ];
    for response in cases {
        let error = fetch(response, 100).expect_err("a header that is not ASCII");
        assert!(error.sent && !error.timed_out, "{error}");
    }
}

/// Guards against a connect timeout that is reported as a request that was sent and may have run.
#[test]
fn connect_timeouts_are_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    // Once the listener's backlog is full, the kernel establishes no more connections.
    let mut waiting = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        waiting.push(stream);
    }
    let outgoing = OutgoingRequest::new(Method::Post, "/").body("{}");
    let fetched = block_on(Client::default().fetch(address, &outgoing, 100, Millis(50)));
    let error = fetched.expect_err("no connection is established");
    assert!(!error.sent && error.timed_out, "{error}");
}

/// Guards against a second copy of a response, whole or in two parts, that answers the next request
/// of a reused connection. The parts come with the response, while the connection is idle, and after
/// the next request.
#[test]
fn second_copy_of_a_response_answers_no_request() {
    let copy = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nr1";
    let (half, rest) = copy.split_at(copy.len() / 2);
    let cases =
        [[copy, "", ""], ["", copy, ""], [half, rest, ""], [half, "", rest], ["", half, rest]];
    for parts in cases {
        let (idle, idle_reached) = mpsc::channel();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (mut stream, idle) = (stream.expect("a caller"), idle.clone());
                thread::spawn(move || {
                    let [with, between, after] = if number == 0 { parts } else { [""; 3] };
                    let mut head = [0; 4_096];
                    let _ = stream.read(&mut head);
                    let response =
                        if number == 0 { copy.to_owned() } else { copy.replace("r1", "r2") };
                    let _ = stream.write_all((response + with).as_bytes());
                    // The caller has read the response, and with it what was sent along.
                    thread::sleep(Duration::from_millis(50));
                    let _ = stream.write_all(between.as_bytes());
                    let _ = idle.send(());
                    if matches!(stream.read(&mut head), Ok(count) if count > 0) {
                        let _ = stream
                            .write_all((after.to_owned() + &copy.replace("r1", "r2")).as_bytes());
                    }
                });
            }
        });
        let client = Client::default();
        let fetch = || {
            let outgoing = OutgoingRequest::new(Method::Get, "/");
            block_on(client.fetch(address, &outgoing, 100, LONG_TIME_LIMIT)).map(|(_, body)| body)
        };
        assert_eq!(fetch().expect("the first response"), b"r1", "{parts:?}");
        idle_reached.recv().expect("the server runs");
        match fetch() {
            Ok(body) => assert_eq!(body, b"r2", "{parts:?}"),
            Err(error) => assert!(error.sent, "{parts:?}: {error}"),
        }
    }
}

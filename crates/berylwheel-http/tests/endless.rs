//! Guards against a backend server whose bytes are no answer and never end: the client must not keep
//! them all, and must close the connection.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use async_io::block_on;
use berylwheel_http::Client;
use berylwheel_http::EventReader;
use berylwheel_http::OutgoingRequest;
use berylwheel_types::Millis;
use http_types::Method;

/// Most that the client may take, which includes the buffers of the connection.
const MOST_BYTES: usize = 12 << 20;
/// Size from which the server stops: the client keeps everything.
const ENOUGH_BYTES: usize = 48 << 20;
/// Limit for a body.
const BODY_LIMIT: u64 = 1 << 20;
const TIME_LIMIT: Millis = Millis(20_000);

/// What a server sends: a beginning, and then a piece again and again.
struct Endless {
    name: &'static str,
    begin: &'static str,
    repeat: &'static str,
}

const CASES: [Endless; 10] = [
    Endless { name: "status line", begin: "HTTP/1.1 200 ", repeat: "xxxxxxxx" },
    Endless { name: "no line at all", begin: "", repeat: "xxxxxxxx" },
    Endless { name: "header", begin: "HTTP/1.1 200 OK\r\nx: ", repeat: "yyyyyyyy" },
    Endless { name: "headers", begin: "HTTP/1.1 200 OK\r\n", repeat: "x: yyyy\r\n" },
    Endless { name: "informational", begin: "", repeat: "HTTP/1.1 100 Continue\r\n\r\n" },
    Endless {
        name: "body",
        begin: "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
        repeat: "zz",
    },
    Endless { name: "body to the end", begin: "HTTP/1.1 200 OK\r\n\r\n", repeat: "zz" },
    Endless {
        name: "chunks",
        begin: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        repeat: "8\r\nzzzzzzzz\r\n",
    },
    Endless {
        name: "chunk extension",
        begin: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8;",
        repeat: "vvvvvvvv",
    },
    Endless {
        name: "trailer",
        begin: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx: ",
        repeat: "wwwwwwww",
    },
];

/// Starts a server and returns its address, the number of bytes that it has sent, and whether its
/// connection was closed.
fn start_server(endless: &Endless) -> (SocketAddr, Arc<AtomicUsize>, Arc<AtomicBool>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (sent, closed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let (count, ended) = (sent.clone(), closed.clone());
    let begin = endless.begin.as_bytes().to_vec();
    let repeat = endless.repeat.repeat((64 << 10) / endless.repeat.len()).into_bytes();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]);
        let _ = stream.write_all(&begin);
        while count.load(Ordering::Relaxed) < ENOUGH_BYTES {
            match stream.write(&repeat) {
                Ok(size @ 1..) => count.fetch_add(size, Ordering::Relaxed),
                _ => break,
            };
        }
        ended.store(true, Ordering::Relaxed);
    });
    (address, sent, closed)
}

fn wait_closed(name: &str, closed: &AtomicBool, sent: &AtomicUsize) {
    for _ in 0..400 {
        if closed.load(Ordering::Relaxed) {
            let sent = sent.load(Ordering::Relaxed);
            assert!(sent < MOST_BYTES, "{name}: the client took {sent} bytes");
            return;
        }
        thread::sleep(std::time::Duration::from_millis(10));
    }
    panic!("{name}: the connection is still open");
}

/// Checks responses that are read as a whole.
#[test]
fn endless_whole_response_is_given_up() {
    for endless in &CASES {
        let (address, sent, closed) = start_server(endless);
        let client = Client::default();
        let outgoing = OutgoingRequest::new(Method::Get, "/");
        let fetched = block_on(client.fetch(address, &outgoing, BODY_LIMIT, TIME_LIMIT));
        let status = fetched.map(|(response, _)| u16::from(response.status()));
        assert!(!matches!(status, Ok(200..)), "{}: {status:?}", endless.name);
        wait_closed(endless.name, &closed, &sent);
    }
}

/// Checks streams of events.
#[test]
fn endless_event_is_given_up() {
    let streams = [
        ("event", "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: "),
        (
            "event in chunks",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5f5e100\r\nid: 1\ndata: ",
        ),
    ];
    for (name, begin) in streams {
        let (address, sent, closed) = start_server(&Endless { name, begin, repeat: "xxxxxxxx" });
        let client = Client::default();
        let outgoing = OutgoingRequest::new(Method::Get, "/");
        block_on(async {
            let Ok((_, stream)) = client.send(address, &outgoing).await else { return };
            let mut reader = EventReader::new(stream);
            while let Ok(Some(_)) = reader.next().await {}
        });
        wait_closed(name, &closed, &sent);
    }
}

//! Tests the HTTP client: failover between addresses, writes with an unknown outcome, and invalid
//! responses.

mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use berylwheel_store::Compare;
use berylwheel_store::HttpStore;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::StoreOptions;
use berylwheel_store::SwapResult;
use berylwheel_types::Millis;
use futures_lite::future::block_on;

/// Starts a store member that sends the next of `responses` to each request. Once none are left, it
/// closes the connection without a response.
fn start_member(responses: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("read the local address");
    thread::spawn(move || {
        let mut responses = responses.into_iter();
        loop {
            let (stream, _) = listener.accept().expect("accept a connection");
            let mut reader = BufReader::new(stream);
            let mut length = 0;
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).expect("read the request head");
                if let Some(value) = line.strip_prefix("content-length: ") {
                    length = value.trim().parse().expect("parse the content length");
                }
                if line == "\r\n" || line.is_empty() {
                    break;
                }
            }
            reader.read_exact(&mut vec![0; length]).expect("read the request body");
            let Some(response) = responses.next() else { continue };
            reader.get_mut().write_all(response.as_bytes()).expect("send the response");
        }
    });
    address
}

fn response(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} -\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Returns an address at which nothing listens.
fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    listener.local_addr().expect("read the local address")
}

fn store(addresses: &[SocketAddr]) -> HttpStore {
    let mut options = StoreOptions::new(addresses.to_vec());
    (options.read_timeout, options.write_timeout) = (Millis(60_000), Millis(60_000));
    HttpStore::new(options)
}

fn swap(store: &HttpStore) -> Result<SwapResult, StoreError> {
    block_on(store.swap(vec![Compare::absent("k")], vec![Put::new("k", "v")]))
}

const SUCCEEDED_BODY: &str = r#"{"header":{"revision":"7"},"succeeded":true}"#;

/// Guards against a write that is retried after it was sent, or is reported to have had no effect
/// although the store may have applied it.
#[test]
fn write_outcome_is_unknown_unless_the_store_reports_it() {
    let unavailable = r#"{"code":14,"message":"etcdserver: request timed out"}"#;
    let no_leader = r#"{"code":14,"message":"etcdserver: no leader"}"#;
    let exhausted = r#"{"code":8,"message":"etcdserver: too many requests"}"#;
    let rejected = |detail: &str| Err(StoreError::Protocol(detail.to_owned()));
    let cases = [
        (response(200, SUCCEEDED_BODY), Ok(SwapResult::Committed(7))),
        (response(200, r#"{"header":{"revision":"7"}}"#), Ok(SwapResult::Conflict(Vec::new()))),
        (String::new(), Err(StoreError::Unknown)),
        ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{".to_owned(), Err(StoreError::Unknown)),
        (response(200, "not JSON"), Err(StoreError::Unknown)),
        (response(200, r#"{"succeeded":"yes"}"#), Err(StoreError::Unknown)),
        (response(503, unavailable), Err(StoreError::Unknown)),
        (response(504, "{}"), Err(StoreError::Unknown)),
        (response(500, "-"), Err(StoreError::Unknown)),
        (response(503, no_leader), Err(StoreError::Unavailable)),
        (response(429, exhausted), Err(StoreError::Unavailable)),
        (response(400, r#"{"code":3,"message":"bad"}"#), rejected("status 400: bad")),
    ];
    for (text, expected) in cases {
        let first = start_member(vec![text.clone()]);
        assert_eq!(swap(&store(&[first])), expected, "{text}");
    }
}

/// Guards against a write that is retried at a second address although the first may have applied
/// it.
#[test]
fn write_fails_over_only_if_it_was_not_sent() {
    let healthy = || start_member(vec![response(200, SUCCEEDED_BODY)]);
    assert_eq!(swap(&store(&[closed_address(), healthy()])), Ok(SwapResult::Committed(7)));
    assert_eq!(swap(&store(&[start_member(Vec::new()), healthy()])), Err(StoreError::Unknown));
    assert_eq!(swap(&store(&[closed_address(), closed_address()])), Err(StoreError::Unavailable));
    assert_eq!(swap(&store(&[])), Err(StoreError::Unavailable));
}

/// Guards against a read that fails although another member could serve it.
#[test]
fn read_tries_all_addresses_and_prefers_the_last_that_responded() {
    let range = response(200, r#"{"header":{},"kvs":[{"key":"aw==","mod_revision":"3"}]}"#);
    let broken = start_member(vec![response(500, "-")]);
    let good = start_member(vec![range.clone(), response(200, SUCCEEDED_BODY)]);
    let store = store(&[closed_address(), broken, good]);
    let entries = block_on(store.range("k", false, 0)).unwrap();
    assert_eq!((entries[0].key.as_str(), entries[0].revision), ("k", 3));
    // At the member before it, the outcome of this write would be unknown.
    assert_eq!(swap(&store), Ok(SwapResult::Committed(7)));
    assert_eq!(block_on(store.range("k", false, 0)), Err(StoreError::Unavailable));
}

/// Guards against invalid entries that are returned to the caller.
#[test]
fn invalid_read_response_is_a_protocol_error() {
    let cases = ["not JSON", r#"{"kvs":[{"key":"/w=="}]}"#, r#"{"kvs":[{"key":"!"}]}"#, "[]1"];
    for body in cases {
        let result =
            block_on(store(&[start_member(vec![response(200, body)])]).range("k", false, 0));
        assert!(matches!(result, Err(StoreError::Protocol(_))), "{body}: {result:?}");
    }
}

/// Guards against an oversized response that exhausts the memory.
#[test]
fn response_over_the_size_limit_is_rejected() {
    let mut options =
        StoreOptions::new(vec![start_member(vec![response(200, &" ".repeat(5_000))])]);
    options.response_limit.0 = 4_096;
    let result = block_on(HttpStore::new(options).range("k", false, 0));
    assert_eq!(result, Err(StoreError::Unavailable));
}

/// Guards against a watch that skips a message or treats a cancellation as a change.
#[test]
fn watch_reads_up_to_the_first_change() {
    let created = r#"{"result":{"header":{"revision":"3"},"created":true}}"#;
    let progress = r#"{"result":{"header":{"revision":"3"}}}"#;
    let change = r#"{"result":{"events":[{"kv":{"key":"aw==","mod_revision":"4"}}]}}"#;
    let compacted = r#"{"result":{"canceled":true,"compact_revision":"9"}}"#;
    let canceled = r#"{"result":{"canceled":true}}"#;
    let watch = |lines: &[&str]| {
        let address = start_member(vec![response(200, &(lines.join("\n") + "\n"))]);
        block_on(store(&[address]).watch("k", 1))
    };
    assert_eq!(watch(&[created, progress, change, canceled]).unwrap()[0].revision, 4);
    assert_eq!(watch(&[created, compacted]), Err(StoreError::Compacted(9)));
    assert_eq!(watch(&[created, canceled, change]), Err(StoreError::Unavailable));
    assert_eq!(watch(&[created]), Err(StoreError::Unavailable), "the response ended early");
    assert!(matches!(watch(&["?"]), Err(StoreError::Protocol(_))));
}

/// Guards against a watch that waits forever on a connection whose peer is gone.
#[test]
fn watch_without_changes_returns_after_its_timeout() {
    common::with_server(async |memory, address| {
        let mut options = StoreOptions::new(vec![address]);
        options.watch_timeout = Millis(20);
        assert_eq!(HttpStore::new(options).watch("k", 0).await, Ok(Vec::new()));
        let store = store(&[address]);
        store.swap(Vec::new(), vec![Put::new("k", "v")]).await.unwrap();
        assert_eq!(store.watch("k", 1).await.map(|entries| entries.len()), Ok(1));
        assert_eq!(memory.revision(), 2);
    });
}

//! Failing engines, and backend servers that are removed.

mod support;

use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use berylwheel_http::OutgoingRequest;
use http_types::Method;
use serde_json::Value;
use serde_json::json;
use support::Fleet;
use support::caller_request;
use support::chat_request;
use support::get;
use support::send;
use support::try_send;
use support::wait_until;

fn inject_engine_faults(fleet: &Fleet, faults: &Value) {
    for engine in &fleet.engines {
        fleet.inject_faults(engine, faults);
    }
}

/// Guards against a truncated response that looks complete, and against tokens of another request
/// in a response.
#[test]
fn truncated_and_misrouted_streams_are_errors() {
    let fleet = Fleet::start("broken_streams", 1, &[], 1_000_000);
    let cases = [
        json!({ "truncate_after": 5, "wrong_id": null }),
        json!({ "truncate_after": null, "wrong_id": 5 }),
    ];
    for faults in cases {
        inject_engine_faults(&fleet, &faults);
        match try_send(fleet.router(0), chat_request(20, true, None)) {
            Ok(response) => {
                assert!(!response.body.contains("[DONE]"), "{faults}: {}", response.body);
                assert!(response.body.contains("1324"), "{faults}: {}", response.body);
            }
            // The router closes the connection after the error event; the client may see that
            // first.
            Err(error) => assert!(!error.is_empty()),
        }
        let buffered = send(fleet.router(0), chat_request(20, false, None));
        let is_complete = buffered.body.contains("t19");
        assert!(buffered.status != 200 || is_complete, "{faults}: {buffered:?}");
    }
    inject_engine_faults(&fleet, &json!({ "truncate_after": null, "wrong_id": null }));
    let response = send(fleet.router(0), chat_request(20, true, None));
    assert!(response.body.contains("[DONE]"), "{response:?}");
}

/// Guards against failing a stream whose connection to the engine is lost once.
#[test]
fn stream_resumes_without_losing_or_repeating_tokens() {
    let fleet = Fleet::start("resume", 1, &["--token-interval-ms", "2"], 1_000_000);
    inject_engine_faults(
        &fleet,
        &json!({ "disconnect_after": 7, "times": 1, "token_interval_ms": 2 }),
    );
    let response = send(fleet.router(0), chat_request(20, true, None));
    assert!(response.body.contains("[DONE]"), "{response:?}");
    let tokens: Vec<String> = response
        .body
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line.strip_prefix("data: ")?).ok())
        .filter_map(|event| {
            let text = event.pointer("/choices/0/delta/content")?.as_str()?.trim().to_owned();
            (!text.is_empty()).then_some(text)
        })
        .collect();
    let expected: Vec<String> = (0..20).map(|n| format!("t{n}")).collect();
    assert_eq!(tokens, expected);
}

/// Guards against returning an engine's failure to callers while another engine is healthy.
#[test]
fn requests_avoid_failing_engine() {
    let fleet = Fleet::start("refusing", 1, &[], 1_000_000);
    fleet.inject_faults(&fleet.engines[0], &json!({ "status": 500 }));
    let served = (0..20)
        .filter(|_| send(fleet.router(0), chat_request(2, true, None)).body.contains("[DONE]"))
        .count();
    assert_eq!(served, 20, "expected retries at the other engine");
}

/// Guards against streams that end without an error event when their engine is killed, and against
/// failures of later requests.
#[test]
fn streams_of_killed_engine_end_with_an_error() {
    let mut fleet = Fleet::start("killed_engine", 1, &["--token-interval-ms", "20"], 1_000_000);
    let router = fleet.router(0);
    let streams: Vec<_> = (0..8)
        .map(|_| thread::spawn(move || try_send(router, chat_request(100, true, None))))
        .collect();
    wait_until("the router counts the streams", || {
        let dump = get(fleet.admin(0), "/dump").json();
        (dump["requests"].as_u64() == Some(8)).then_some(())
    });
    fleet.engines[0].kill();
    for stream in streams {
        match stream.join().expect("the thread ends") {
            Ok(response) => assert!(
                response.body.contains("[DONE]") != response.body.contains("1324"),
                "expected either a complete stream or an error: {}",
                response.body
            ),
            Err(error) => assert!(!error.is_empty()),
        }
    }
    let response = send(router, chat_request(5, true, None));
    assert!(response.body.contains("[DONE]"), "{response:?}");
    wait_until("all requests have ended", || {
        (get(fleet.admin(0), "/dump").json()["requests"] == 0).then_some(())
    });
}

/// Guards against sending new requests to a server that is being removed, and against truncating
/// its running streams.
#[test]
fn leaving_server_finishes_streams_without_new_requests() {
    let fleet = Fleet::start("leaving", 2, &["--token-interval-ms", "10"], 1_000_000);
    let router = fleet.router(0);
    let streams: Vec<_> = (0..6)
        .map(|_| thread::spawn(move || try_send(router, chat_request(300, true, None))))
        .collect();
    wait_until("the router counts the streams", || {
        let dump = get(fleet.admin(0), "/dump").json();
        (dump["requests"].as_u64() == Some(6)).then_some(())
    });
    fleet.set_vm_list(&[("e0", "leaving"), ("e1", "live")]);
    wait_until("both routers mark the server as leaving", || {
        (0..2)
            .all(|i| {
                let dump = get(fleet.admin(i), "/dump").json();
                let servers = dump["routes"]["servers"].as_array().cloned().unwrap_or_default();
                servers.iter().any(|s| s["id"] == "e0" && s["leaving"] == true)
            })
            .then_some(())
    });
    let usage_count = || {
        let usage = get(fleet.engines[0].address("listen"), "/v1/usage").json();
        usage.as_array().map_or(0, Vec::len)
    };
    let before = usage_count();
    for i in 0..20 {
        assert_eq!(send(fleet.router(i % 2), chat_request(1, false, None)).status, 200);
    }
    assert_eq!(usage_count(), before, "the leaving server received new requests");
    for stream in streams {
        let response = stream.join().expect("the thread ends").expect("a response");
        assert!(response.body.contains("[DONE]"), "{}", response.body);
    }
}

/// Guards against cache events that the router does not apply, which would leave it without the
/// prefixes cached at each server.
#[test]
fn cache_events_update_server_prefixes() {
    let fleet = Fleet::start("cache_events", 1, &[], 1_000_000);
    assert_eq!(send(fleet.router(0), chat_request(2, false, None)).status, 200);
    wait_until("the router records the prefix at one engine", || {
        let dump = get(fleet.admin(0), "/dump").json();
        let servers = dump["routes"]["servers"].as_array().cloned().unwrap_or_default();
        let known = servers.iter().filter(|s| s["prefixes"].as_u64() == Some(1)).count();
        (known == 1).then_some(())
    });
}

/// Guards against failing an idempotent lookup without a retry.
#[test]
fn idempotent_lookup_is_retried() {
    let fleet = Fleet::start("lookup", 1, &[], 1_000);
    fleet.inject_faults(&fleet.booking_service, &json!({ "drop_before": true, "times": 1 }));
    let lookup: OutgoingRequest =
        caller_request(Method::Get, "/services/stock/stock/rose", None, "");
    let response = send(fleet.router(0), lookup);
    // There is only one server, so that no other is left for the retry; the refusal may then be
    // `unknown`.
    assert!(response.status == 200 || response.execution_state() == "unknown", "{response:?}");
}

/// Guards against "not run" for a call that a server received, after a second server was unreachable.
#[test]
fn call_that_was_sent_is_not_refused_as_not_run_after_a_failed_connection() {
    let received = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let closing = listener.local_addr().unwrap();
    let count = received.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut method = [0; 4];
            let read = stream.and_then(|mut stream| stream.read_exact(&mut method));
            // Routers also poll the load of their servers.
            count.fetch_add(usize::from(read.is_ok() && &method == b"POST"), Ordering::SeqCst);
        }
    });
    let unreachable = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let server = |name, address| {
        format!(
            "[server {name}]\naddress = {address}\nkinds = twice\nconcurrency = 100\ndomain = d0\n"
        )
    };
    let sections = format!(
        "[kind twice]\nservice = plain\nrepeat = by-key\ndeadline = 3s\n{}{}",
        server("closing", closing),
        server("unreachable", unreachable)
    );
    let fleet = Fleet::start_with_settings("sent_call", 1, &[], 1_000, &sections, ["chat", "m1"]);
    let before = received.load(Ordering::SeqCst);
    for n in 0..20 {
        let earlier = received.load(Ordering::SeqCst);
        let key = format!("k{n}");
        let call = caller_request(Method::Post, "/services/twice/x", Some(&key), "{}");
        let response = send(fleet.router(0), call);
        let sent = received.load(Ordering::SeqCst) > earlier;
        assert!(!sent || response.execution_state() == "unknown", "{response:?}");
    }
    assert!(received.load(Ordering::SeqCst) > before, "no call was sent");
}

/// Guards against an engine that accepts requests and never responds: its requests must end with a
/// timeout code, and later requests must go to another engine.
#[test]
fn hanging_engine_times_out_and_is_ejected() {
    let fleet = Fleet::start("hanging_engine", 1, &[], 1_000_000);
    fleet.inject_faults(&fleet.engines[0], &json!({ "hang": true }));
    let request = || chat_request(2, true, None).header("x-deadline-ms", "300");
    wait_until("the hanging engine is ejected", || {
        let response = send(fleet.router(0), request());
        let unknown = (response.code(), response.execution_state().as_str()) == (1323, "unknown");
        assert!(response.body.contains("[DONE]") || unknown, "{response:?}");
        let dump = get(fleet.admin(0), "/dump").json();
        let servers = dump["routes"]["servers"].as_array().cloned().unwrap_or_default();
        servers.iter().any(|s| s["id"] == "e0" && s["ejected_until"].is_u64()).then_some(())
    });
    let response = send(fleet.router(0), request());
    assert!(response.body.contains("[DONE]"), "{response:?}");
    assert_eq!(get(fleet.admin(0), "/dump").json()["requests"], 0);
}

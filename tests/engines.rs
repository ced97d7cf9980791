//! Answers of failing engines, and backend servers that leave.

mod support;

use std::thread;

use berylwheel_http::OutgoingRequest;
use http_types::Method;
use serde_json::Value;
use serde_json::json;
use support::Fleet;
use support::call;
use support::chat;
use support::get;
use support::send;
use support::try_send;
use support::wait_until;

fn fault_engines(fleet: &Fleet, faults: &Value) {
    for engine in &fleet.engines {
        fleet.fault(engine, faults);
    }
}

/// Guards against a short answer that looks whole, and against another request's tokens in an
/// answer.
#[test]
fn broken_and_crossed_streams_are_errors() {
    let fleet = Fleet::start("broken_streams", 1, &[], 1_000_000);
    let table = [
        json!({ "truncate_after": 5, "wrong_id": null }),
        json!({ "truncate_after": null, "wrong_id": 5 }),
    ];
    for faults in table {
        fault_engines(&fleet, &faults);
        match try_send(fleet.router(0), chat(20, true, None)) {
            Ok(answer) => {
                assert!(!answer.body.contains("[DONE]"), "{faults}: {}", answer.body);
                assert!(answer.body.contains("1324"), "{faults}: {}", answer.body);
            }
            // The connection is cut after the error event, which a client may see first.
            Err(error) => assert!(!error.is_empty()),
        }
        let whole = send(fleet.router(0), chat(20, false, None));
        let is_whole = whole.body.contains("t19");
        assert!(whole.status != 200 || is_whole, "{faults}: {whole:?}");
    }
    fault_engines(&fleet, &json!({ "truncate_after": null, "wrong_id": null }));
    let answer = send(fleet.router(0), chat(20, true, None));
    assert!(answer.body.contains("[DONE]"), "{answer:?}");
}

/// Guards against a stream that is lost because its connection broke once.
#[test]
fn broken_connection_is_resumed_without_loss_or_repetition() {
    let fleet = Fleet::start("resume", 1, &["--token-interval-ms", "2"], 1_000_000);
    fault_engines(&fleet, &json!({ "disconnect_after": 7, "times": 1, "token_interval_ms": 2 }));
    let answer = send(fleet.router(0), chat(20, true, None));
    assert!(answer.body.contains("[DONE]"), "{answer:?}");
    let words: Vec<String> = answer
        .body
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line.strip_prefix("data: ")?).ok())
        .filter_map(|event| {
            let text = event.pointer("/choices/0/delta/content")?.as_str()?.trim().to_owned();
            (!text.is_empty()).then_some(text)
        })
        .collect();
    let expected: Vec<String> = (0..20).map(|n| format!("t{n}")).collect();
    assert_eq!(words, expected);
}

/// Guards against an engine's failure that reaches callers while another engine works.
#[test]
fn refusing_engine_is_avoided() {
    let fleet = Fleet::start("refusing", 1, &[], 1_000_000);
    fleet.fault(&fleet.engines[0], &json!({ "status": 500 }));
    let served = (0..20)
        .filter(|_| send(fleet.router(0), chat(2, true, None)).body.contains("[DONE]"))
        .count();
    assert_eq!(served, 20, "retries go to the other engine");
}

/// Guards against streams that break when their engine dies: the caller is told, and other
/// requests go on.
#[test]
fn killed_engine_ends_its_streams_with_an_error() {
    let mut fleet = Fleet::start("killed_engine", 1, &["--token-interval-ms", "20"], 1_000_000);
    let router = fleet.router(0);
    let streams: Vec<_> =
        (0..8).map(|_| thread::spawn(move || try_send(router, chat(100, true, None)))).collect();
    wait_until("the streams run", || {
        let dump = get(fleet.admin(0), "/dump").json();
        (dump["requests"].as_u64() == Some(8)).then_some(())
    });
    fleet.engines[0].kill();
    for stream in streams {
        match stream.join().expect("the thread ends") {
            Ok(answer) => assert!(
                answer.body.contains("[DONE]") != answer.body.contains("1324"),
                "whole or an error, never both or neither: {}",
                answer.body
            ),
            Err(error) => assert!(!error.is_empty()),
        }
    }
    let answer = send(router, chat(5, true, None));
    assert!(answer.body.contains("[DONE]"), "{answer:?}");
    wait_until("no request is left", || {
        (get(fleet.admin(0), "/dump").json()["requests"] == 0).then_some(())
    });
}

/// Guards against new work for a server that is leaving, and against its running streams being cut.
#[test]
fn leaving_server_gets_no_new_work_and_finishes_its_streams() {
    let fleet = Fleet::start("leaving", 2, &["--token-interval-ms", "10"], 1_000_000);
    let router = fleet.router(0);
    let streams: Vec<_> =
        (0..6).map(|_| thread::spawn(move || try_send(router, chat(300, true, None)))).collect();
    wait_until("the streams run", || {
        let dump = get(fleet.admin(0), "/dump").json();
        (dump["requests"].as_u64() == Some(6)).then_some(())
    });
    fleet.list_vms(&[("e0", "leaving"), ("e1", "live")]);
    wait_until("both routers know", || {
        (0..2)
            .all(|i| {
                let dump = get(fleet.admin(i), "/dump").json();
                let servers = dump["routes"]["servers"].as_array().cloned().unwrap_or_default();
                servers.iter().any(|s| s["id"] == "e0" && s["leaving"] == true)
            })
            .then_some(())
    });
    let count = || {
        let usage = get(fleet.engines[0].address("listen"), "/v1/usage").json();
        usage.as_array().map_or(0, Vec::len)
    };
    let before = count();
    for i in 0..20 {
        assert_eq!(send(fleet.router(i % 2), chat(1, false, None)).status, 200);
    }
    assert_eq!(count(), before, "the leaving server got new work");
    for stream in streams {
        let answer = stream.join().expect("the thread ends").expect("an answer");
        assert!(answer.body.contains("[DONE]"), "{}", answer.body);
    }
}

/// Guards against cache events that the router does not read, so that it knows no server's prefixes.
#[test]
fn cache_events_are_read() {
    let fleet = Fleet::start("cache_events", 1, &[], 1_000_000);
    assert_eq!(send(fleet.router(0), chat(2, false, None)).status, 200);
    wait_until("the prefix is known at one engine", || {
        let dump = get(fleet.admin(0), "/dump").json();
        let servers = dump["routes"]["servers"].as_array().cloned().unwrap_or_default();
        let known = servers.iter().filter(|s| s["prefixes"].as_u64() == Some(1)).count();
        (known == 1).then_some(())
    });
}

/// Guards against a lookup that fails although it may be repeated.
#[test]
fn idempotent_lookup_is_retried() {
    let fleet = Fleet::start("lookup", 1, &[], 1_000);
    fleet.fault(&fleet.booking, &json!({ "drop_before": true, "times": 1 }));
    let lookup: OutgoingRequest = call(Method::Get, "/services/stock/stock/rose", None, "");
    let answer = send(fleet.router(0), lookup);
    // One server only: the retry has nowhere else to go, and the refusal says so.
    assert!(answer.status == 200 || answer.ran() == "unknown", "{answer:?}");
}

/// Guards against an engine that accepts requests and never answers: its requests must end with a
/// numbered failure, and later ones must go elsewhere.
#[test]
fn hanging_engine_times_out_and_is_ejected() {
    let fleet = Fleet::start("hanging_engine", 1, &[], 1_000_000);
    fleet.fault(&fleet.engines[0], &json!({ "hang": true }));
    let request = || chat(2, true, None).header("x-deadline-ms", "300");
    wait_until("the hanging engine is ejected", || {
        let answer = send(fleet.router(0), request());
        let unknown = (answer.code(), answer.ran().as_str()) == (1323, "unknown");
        assert!(answer.body.contains("[DONE]") || unknown, "{answer:?}");
        let dump = get(fleet.admin(0), "/dump").json();
        let servers = dump["routes"]["servers"].as_array().cloned().unwrap_or_default();
        servers.iter().any(|s| s["id"] == "e0" && s["ejected_until"].is_u64()).then_some(())
    });
    let answer = send(fleet.router(0), request());
    assert!(answer.body.contains("[DONE]"), "{answer:?}");
    assert_eq!(get(fleet.admin(0), "/dump").json()["requests"], 0);
}

//! Priority of urgent requests while batch requests exceed the capacity of the engines.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use berylwheel_http::OutgoingRequest;
use http_types::Method;
use serde_json::json;
use support::Fleet;
use support::caller_request;
use support::send;
use support::try_send;

const BATCH_CLIENTS: usize = 60;
const URGENT_REQUESTS: usize = 20;

/// The two engines have eight slots and serve about 80 requests a second; an urgent request queued
/// behind the batch requests would miss its deadline of two seconds.
const ENGINE_ARGS: [&str; 4] = ["--slots", "4", "--token-interval-ms", "5"];
const KIND_SECTIONS: &str = "[kind suggest]\nservice = engine\nmodels = m2\nrank = urgent\n\
     max_tokens = 100\ndeadline = 2s\n\
     [kind draft]\nservice = engine\nmodels = m3\nrank = batch\nmax_tokens = 100\n\
     deadline = 60s\nqueue = 40\nconcurrency = 6\n";

const KINDS_AND_MODELS: [&str; 2] = ["chat, suggest, draft", "m1,m2,m3"];

fn request(model: &str) -> OutgoingRequest {
    let body = json!({
        "model": model, "stream": true, "max_tokens": 20,
        "messages": [{ "role": "user", "content": "hi" }],
    });
    caller_request(Method::Post, "/v1/chat/completions", None, &body.to_string())
}

/// Guards against urgent requests queued behind a surge of batch requests, and against batch
/// requests refused without a valid code or with a wrong execution state.
#[test]
fn urgent_requests_are_served_during_batch_overload() {
    let fleet = Fleet::start_with_settings(
        "batch_overload",
        1,
        &ENGINE_ARGS,
        100_000_000,
        KIND_SECTIONS,
        KINDS_AND_MODELS,
    );
    let router = fleet.router(0);
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new([AtomicUsize::new(0), AtomicUsize::new(0)]);
    let clients: Vec<_> = (0..BATCH_CLIENTS)
        .map(|_| {
            let (stop, counts) = (stop.clone(), counts.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let response = try_send(router, request("m3")).expect("a response");
                    let refused = response.status != 200;
                    if refused {
                        let is_valid = matches!(response.code(), 1311..=1313);
                        assert!(
                            is_valid && response.execution_state() == "not-run",
                            "{response:?}"
                        );
                    }
                    counts[usize::from(refused)].fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    support::wait_until("some batch requests are refused", || {
        (counts[1].load(Ordering::Relaxed) > 0).then_some(())
    });
    for _ in 0..URGENT_REQUESTS {
        let response = send(router, request("m2"));
        assert!(response.body.contains("[DONE]"), "{response:?}");
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("the refusals are valid"));
    assert!(counts[0].load(Ordering::Relaxed) > 0, "expected some batch requests to be served");
}

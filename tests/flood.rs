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
use support::call;
use support::send;
use support::try_send;

const FLOODERS: usize = 60;
const URGENT: usize = 20;

/// The two engines have eight slots and serve about 80 requests a second; an urgent request queued
/// behind the batch requests would miss its deadline of two seconds.
const ENGINES: [&str; 4] = ["--slots", "4", "--token-interval-ms", "5"];
const KINDS: &str = "[kind suggest]\nservice = engine\nmodels = m2\nrank = urgent\n\
     max_tokens = 100\ndeadline = 2s\n\
     [kind draft]\nservice = engine\nmodels = m3\nrank = batch\nmax_tokens = 100\n\
     deadline = 60s\nqueue = 40\nconcurrency = 6\n";

const OFFERS: [&str; 2] = ["chat, suggest, draft", "m1,m2,m3"];

fn request(model: &str) -> OutgoingRequest {
    let body = json!({
        "model": model, "stream": true, "max_tokens": 20,
        "messages": [{ "role": "user", "content": "hi" }],
    });
    call(Method::Post, "/v1/chat/completions", None, &body.to_string())
}

/// Guards against urgent requests queued behind a surge of batch requests, and against batch
/// requests refused without a valid code or with a wrong execution state.
#[test]
fn urgent_requests_are_served_during_batch_overload() {
    let fleet = Fleet::start_with("flood", 1, &ENGINES, 100_000_000, KINDS, OFFERS);
    let router = fleet.router(0);
    let over = Arc::new(AtomicBool::new(false));
    let counts = Arc::new([AtomicUsize::new(0), AtomicUsize::new(0)]);
    let flooders: Vec<_> = (0..FLOODERS)
        .map(|_| {
            let (over, counts) = (over.clone(), counts.clone());
            thread::spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let answer = try_send(router, request("m3")).expect("a response");
                    let refused = answer.status != 200;
                    if refused {
                        let known = matches!(answer.code(), 1311..=1313);
                        assert!(known && answer.ran() == "not-run", "{answer:?}");
                    }
                    counts[usize::from(refused)].fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    support::wait_until("some batch requests are refused", || {
        (counts[1].load(Ordering::Relaxed) > 0).then_some(())
    });
    for _ in 0..URGENT {
        let answer = send(router, request("m2"));
        assert!(answer.body.contains("[DONE]"), "{answer:?}");
    }
    over.store(true, Ordering::Relaxed);
    flooders.into_iter().for_each(|flooder| flooder.join().expect("the refusals are valid"));
    assert!(counts[0].load(Ordering::Relaxed) > 0, "expected some batch requests to be served");
}

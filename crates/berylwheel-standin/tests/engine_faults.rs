//! Tests of the fault injection of the engine stand-in.

mod common;

use berylwheel_http::EventReader;
use berylwheel_standin::EngineFaults;
use berylwheel_standin::EngineOptions;
use berylwheel_standin::start_engine;
use common::StandinClient;
use common::any_port;
use common::chat;
use common::resume;
use common::run;
use futures_lite::FutureExt;
use futures_lite::future;
use serde_json::Value;
use serde_json::json;

/// Returns `id:token` for each event, with `-` for an event without text, and `!` for an event that
/// is not JSON, such as `[DONE]`.
fn summarize(events: &[String]) -> Vec<String> {
    let line = |event: &String| {
        let Ok(event) = serde_json::from_str::<Value>(event) else { return "!".to_owned() };
        let token = event["choices"][0]["delta"]["content"].as_str().unwrap_or("-").trim();
        format!("{}:{token}", event["id"].as_str().unwrap_or(""))
    };
    events.iter().map(line).collect()
}

/// Guards against injected faults without effect, with which tests of the router would pass without
/// exercising the fault.
#[test]
fn stream_faults_are_applied() {
    // Faults, expected events of a stream of three tokens, whether the stream ends with an error.
    let cases: [(Value, &[&str], bool); 7] = [
        (json!({}), &["r:t0", "r:t1", "r:t2", "r:-", "!"], false),
        (json!({ "token_interval_ms": 1 }), &["r:t0", "r:t1", "r:t2", "r:-", "!"], false),
        (json!({ "truncate_after": 2 }), &["r:t0", "r:t1"], false),
        (json!({ "truncate_after": 3 }), &["r:t0", "r:t1", "r:t2"], false),
        (json!({ "disconnect_after": 1 }), &["r:t0"], true),
        (json!({ "wrong_id": 1 }), &["r:t0", "another:t1", "r:t2", "r:-", "!"], false),
        (json!({ "duplicate": 1 }), &["r:t0", "r:t1", "r:t1", "r:t2", "r:-", "!"], false),
    ];
    for (faults, expected, expect_broken) in cases {
        run(async |executor| {
            let (address, _engine) =
                start_engine(any_port(), &executor, EngineOptions::default()).unwrap();
            let client = StandinClient::new(address);
            client.set_faults(faults.clone()).await;
            let (events, broken) = client.events(&chat("r", 3, true)).await;
            assert_eq!(
                (summarize(&events).as_slice(), broken),
                (&to_strings(expected)[..], expect_broken)
            );
            client.set_faults(json!({ "clear": true })).await;
            let (resumed, _) = client.events(&resume("r", 2)).await;
            assert_eq!(summarize(&resumed), ["r:t2", "r:-", "!"], "resumed after {faults}");
        });
    }
}

fn to_strings(lines: &[&str]) -> Vec<String> {
    lines.iter().map(|line| line.to_string()).collect()
}

/// Guards against rejected requests that are still executed, and against a draining engine that a
/// router cannot distinguish from a failed one.
#[test]
fn status_and_draining_faults_reject_requests() {
    // Faults, expected status, expected value of `draining` in the body.
    let cases = [
        (json!({ "status": 500 }), 500, Value::Null),
        (json!({ "status": 503 }), 503, Value::Null),
        (json!({ "draining": true }), 503, json!(true)),
    ];
    for (faults, status, draining) in cases {
        for stream in [false, true] {
            run(async |executor| {
                let (address, _engine) =
                    start_engine(any_port(), &executor, EngineOptions::default()).unwrap();
                let client = StandinClient::new(address);
                client.set_faults(faults.clone()).await;
                let (actual, body) = client.call(&chat("r", 1, stream)).await.unwrap();
                assert_eq!((actual, &body["draining"]), (status, &draining), "{faults}");
                assert_eq!(client.get("/v1/usage").await, json!([]), "{faults}");
            });
        }
    }
}

/// Guards against a hanging engine that ends the stream or responds.
#[test]
fn hanging_engine_keeps_the_connection_open() {
    run(async |executor| {
        let faults = EngineFaults { hang_after: Some(1), ..EngineFaults::default() };
        let options = EngineOptions { faults, ..EngineOptions::default() };
        let (address, engine) = start_engine(any_port(), &executor, options).unwrap();
        let client = StandinClient::new(address);
        let (_, stream) = client.http.send(address, &chat("r", 3, true)).await.unwrap();
        let mut events = EventReader::new(stream);
        assert!(events.next().await.unwrap().unwrap().contains("t0"));
        let all_generated = async {
            // All tokens are generated, but the stream sends no second event.
            while client.get("/v1/usage").await[0]["finished"] != true {
                future::yield_now().await;
            }
            Ok(Some("nothing".to_owned()))
        };
        assert_eq!(events.next().or(all_generated).await.unwrap().unwrap(), "nothing");
        client.set_faults(json!({ "clear": true, "hang": true })).await;
        let call = chat("s", 1, false);
        let response = async { Some(client.call(&call).await) };
        let other = async {
            client.get("/v1/load").await;
            None
        };
        assert!(response.or(other).await.is_none());
        drop(engine);
        assert!(events.next().await.is_err(), "stopping the engine closes its streams");
        let error = client.call(&call).await.expect_err("the engine is stopped");
        assert!(!error.sent, "{error}");
    });
}

/// Guards against faults that apply to more requests than `times` allows, and against misspelt
/// faults that are accepted.
#[test]
fn faults_expire_after_the_given_number_of_requests() {
    run(async |executor| {
        let (address, _engine) =
            start_engine(any_port(), &executor, EngineOptions::default()).unwrap();
        let client = StandinClient::new(address);
        client.set_faults(json!({ "status": 500, "times": 2 })).await;
        for (id, status) in [("a", 500), ("b", 500), ("c", 200)] {
            assert_eq!(client.call(&chat(id, 1, false)).await.unwrap().0, status, "{id}");
        }
        assert_eq!(client.post("/faults", json!({ "truncate": 1 })).await.0, 400);
    });
}

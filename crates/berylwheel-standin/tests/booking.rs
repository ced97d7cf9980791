//! Tests of the booking stand-in (faults, execution counts, lookups) and of the VM list stand-in.

mod common;

use berylwheel_http::OutgoingRequest;
use berylwheel_standin::BookingOptions;
use berylwheel_standin::InstancesOptions;
use berylwheel_standin::start_booking;
use berylwheel_standin::start_instances;
use berylwheel_types::Clock;
use berylwheel_types::ManualClock;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use common::StandinClient;
use common::any_port;
use common::run;
use futures_lite::FutureExt;
use futures_lite::future;
use http_types::Method;
use serde_json::Value;
use serde_json::json;

fn book(key: &str) -> OutgoingRequest {
    OutgoingRequest::new(Method::Post, "/book").header("idempotency-key", key).body("{}")
}

/// Guards against calls that execute although the fault should prevent it, and against executed
/// calls that are missing from `/calls/{key}` or `/runs`.
#[test]
fn faults_apply_before_or_after_execution() {
    // Faults, expected status if there is a response, whether the call executes.
    let cases: [(Value, Option<u16>, bool); 8] = [
        (json!({}), Some(200), true),
        (json!({ "slow_ms": 1 }), Some(200), true),
        (json!({ "status": 503 }), Some(503), false),
        (json!({ "status_after": 500 }), Some(500), true),
        (json!({ "drop_before": true }), None, false),
        (json!({ "drop_after": true }), None, true),
        (json!({ "hang_before": true }), None, false),
        (json!({ "hang_after": true }), None, true),
    ];
    for (faults, status, ran) in cases {
        run(async |executor| {
            let (address, _service) =
                start_booking(any_port(), &executor, BookingOptions::default()).unwrap();
            let client = StandinClient::new(address);
            client.set_faults(faults.clone()).await;
            let running = faults == json!({ "hang_before": true });
            let call = book("k");
            let completed = async { Some(client.call(&call).await) };
            let hanging = async {
                // Ends only for the hang faults, once the call has reached the expected state.
                while !faults.to_string().contains("hang")
                    || client.get("/calls/k").await["ran"] != ran
                    || client.get("/calls/k").await["running"] != running
                {
                    future::yield_now().await;
                }
                None
            };
            let response = completed.or(hanging).await;
            if let Some(Err(error)) = &response {
                assert!(error.sent, "{faults}: {error}");
            }
            let response = response.and_then(Result::ok);
            assert_eq!(response.map(|(status, _)| status), status, "{faults}");
            let call = client.get("/calls/k").await;
            assert_eq!(
                (&call["ran"], &call["running"]),
                (&json!(ran), &json!(running)),
                "{faults}"
            );
            let runs = if ran { json!({ "k": 1 }) } else { json!({}) };
            assert_eq!(client.get("/runs").await, runs, "{faults}");
        });
    }
}

/// Guards against a router's load query using up an injected fault before the call that the fault
/// is meant for.
#[test]
fn load_query_does_not_consume_a_fault() {
    run(async |executor| {
        let (address, _service) =
            start_booking(any_port(), &executor, BookingOptions::default()).unwrap();
        let client = StandinClient::new(address);
        client.set_faults(json!({ "status": 503, "times": 1 })).await;
        let load = OutgoingRequest::new(Method::Get, "/v1/load");
        assert_eq!(client.call(&load).await.unwrap().0, 404, "the booking service reports no load");
        assert_eq!(client.call(&book("k")).await.unwrap().0, 503);
        assert_eq!(client.call(&book("k")).await.unwrap().0, 200);
    });
}

/// Guards against a second booking for one idempotency key with deduplication, and against a double
/// execution that is not counted without it.
#[test]
fn runs_are_counted_by_key_and_deduplicated_if_enabled() {
    for (deduplicate, runs) in [(true, 1), (false, 2)] {
        run(async |executor| {
            let options = BookingOptions { deduplicate, ..BookingOptions::default() };
            let (address, _service) = start_booking(any_port(), &executor, options).unwrap();
            let client = StandinClient::new(address);
            let (_, first) = client.call(&book("k")).await.unwrap();
            let (_, second) = client.call(&book("k")).await.unwrap();
            assert_eq!(first == second, deduplicate);
            assert_eq!(client.get("/runs").await, json!({ "k": runs }));
            assert_eq!(client.get("/calls/k").await["result"], second);
            assert_eq!(client.get("/calls/other").await["ran"], false);
        });
    }
}

/// Guards against faults that apply to more calls than `times` allows, lookups that count as
/// executions, and misspelt faults that are accepted.
#[test]
fn lookups_are_idempotent_and_faults_expire() {
    run(async |executor| {
        let (address, _service) =
            start_booking(any_port(), &executor, BookingOptions::default()).unwrap();
        let client = StandinClient::new(address);
        client.set_faults(json!({ "status": 500, "times": 1 })).await;
        let lookup = OutgoingRequest::new(Method::Get, "/stock/cones");
        assert_eq!(client.call(&lookup).await.unwrap().0, 500);
        let first = client.call(&lookup).await.unwrap();
        assert_eq!(first.0, 200);
        assert_eq!(client.call(&lookup).await.unwrap(), first);
        assert_eq!(client.get("/runs").await, json!({}));
        assert_eq!(client.get("/stats").await["lookups"], 2);
        assert_eq!(client.post("/faults", json!({ "unknown": 1 })).await.0, 400);
    });
}

/// Guards against a VM list that ignores the configured lag and so is more recent than on the real
/// platform.
#[test]
fn list_changes_become_visible_after_the_lag() {
    run(async |executor| {
        let clock = ManualClock::new(Timestamp::from_millis(1_000));
        let options = InstancesOptions {
            lag: Millis(2_000),
            clock: Clock::Manual(clock.clone()),
            instances: Vec::new(),
        };
        let (address, _list) = start_instances(any_port(), &executor, options).unwrap();
        let client = StandinClient::new(address);
        let list =
            json!([{ "name": "v", "address": "127.0.0.1:1", "domain": "d", "state": "leaving" }]);
        assert_eq!(client.post("/v1/instances", list.clone()).await.0, 200);
        clock.advance(Millis(1_999));
        assert_eq!(client.get("/v1/instances").await, json!([]));
        clock.advance(Millis(1));
        assert_eq!(client.get("/v1/instances").await, list);
    });
}

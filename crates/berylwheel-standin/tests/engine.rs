//! Tests of the engine stand-in: responses, usage, load, cache events and orders.

mod common;

use berylwheel_http::OutgoingRequest;
use berylwheel_standin::EngineOptions;
use berylwheel_standin::start_engine;
use berylwheel_types::Clock;
use berylwheel_types::ManualClock;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use common::StandinClient;
use common::any_port;
use common::chat;
use common::resume;
use common::run;
use common::text;
use futures_lite::future;
use http_types::Method;
use serde_json::Value;
use serde_json::json;

/// Guards against responses that do not follow the chat completions format, and against usage that
/// does not match the generated text.
#[test]
fn plain_response_has_text_and_usage() {
    run(async |executor| {
        let (address, _engine) =
            start_engine(any_port(), &executor, EngineOptions::default()).unwrap();
        let (status, response) =
            StandinClient::new(address).call(&chat("r", 3, false)).await.unwrap();
        assert_eq!((status, &response["id"]), (200, &json!("r")));
        assert_eq!(response["choices"][0]["message"]["content"], "t0 t1 t2");
        assert_eq!(response["choices"][0]["finish_reason"], "length");
        let usage = json!({ "prompt_tokens": 2, "completion_tokens": 3, "total_tokens": 5 });
        assert_eq!(response["usage"], usage);
    });
}

/// Guards against streams without a final event and streams that cannot be resumed.
#[test]
fn stream_ends_with_usage_and_can_be_resumed() {
    run(async |executor| {
        let (address, _engine) =
            start_engine(any_port(), &executor, EngineOptions::default()).unwrap();
        let client = StandinClient::new(address);
        let (events, broken) = client.events(&chat("r", 4, true)).await;
        assert_eq!((events.len(), broken), (6, false));
        assert_eq!(events[5], "[DONE]");
        assert_eq!(text("r", &events), "t0 t1 t2 t3");
        let last: Value = serde_json::from_str(&events[4]).unwrap();
        assert_eq!(last["usage"]["total_tokens"], 6);
        let (events, _) = client.events(&resume("r", 3)).await;
        assert_eq!((text("r", &events).as_str(), events.len()), (" t3", 3));
        assert_eq!(client.call(&chat("r", 4, true)).await.unwrap().0, 409);
        assert_eq!(
            client.get("/v1/usage").await[0]["tokens"],
            6,
            "a rejected duplicate adds no usage"
        );
        assert_eq!(client.call(&resume("unknown", 1)).await.unwrap().0, 404);
    });
}

/// Guards against usage records without an owner: a router that bills the requests of a crashed
/// router could not attribute them.
#[test]
fn usage_can_be_queried_by_owner() {
    run(async |executor| {
        let (address, _engine) =
            start_engine(any_port(), &executor, EngineOptions::default()).unwrap();
        let client = StandinClient::new(address);
        let with_owner = chat("r", 3, false)
            .header("x-request-owner", "r1@7")
            .header("idempotency-key", "k")
            .header("x-budget", "w/main");
        client.call(&with_owner).await.unwrap();
        client.call(&chat("other", 3, false).header("x-request-owner", "r2@7")).await.unwrap();
        let expected = json!([{ "request": "r", "owner": "r1@7", "usage_tag": "k",
            "budget": "w/main", "tokens": 5, "finished": true }]);
        assert_eq!(client.get("/v1/usage?owner=r1@7").await, expected);
    });
}

/// Guards against a queue that ignores the priority, and against cancelled requests that keep their
/// slot.
#[test]
fn slots_follow_priority_and_are_released_on_cancel() {
    run(async |executor| {
        let options = EngineOptions { slots: 1, ..EngineOptions::default() };
        let (address, _engine) = start_engine(any_port(), &executor, options).unwrap();
        let client = StandinClient::new(address);
        client.set_faults(json!({ "first_token_ms": 3_600_000 })).await;
        let chat_with_priority = |id: &str, priority: u64| {
            let body = json!({ "messages": [], "max_tokens": 1, "priority": priority });
            OutgoingRequest::new(Method::Post, "/v1/chat/completions")
                .header("x-request-id", id)
                .body(body.to_string())
        };
        let (finished, responses) = async_channel::unbounded();
        for (n, (id, priority)) in [("held", 0), ("batch", 2), ("urgent", 0)].iter().enumerate() {
            let (concurrent_client, outgoing, finished) =
                (client.clone(), chat_with_priority(id, *priority), finished.clone());
            let id = id.to_string();
            executor
                .spawn(async move {
                    let response = concurrent_client.call(&outgoing).await.unwrap().1;
                    finished.send((id, response)).await.unwrap();
                })
                .detach();
            loop {
                let load = client.get("/v1/load").await;
                if (load["in_flight"].as_u64(), load["queued"].as_u64())
                    == (Some(1), Some(n as u64))
                {
                    break;
                }
                future::yield_now().await;
            }
            if n == 0 {
                client.set_faults(json!({ "first_token_ms": 0 })).await;
            }
        }
        let cancel = OutgoingRequest::new(Method::Delete, "/v1/requests/held");
        assert_eq!(client.call(&cancel).await.unwrap().0, 200);
        let mut ids = Vec::new();
        for _ in 0..3 {
            let (id, response) = responses.recv().await.unwrap();
            let reason = if id == "held" { "cancelled" } else { "length" };
            assert_eq!(response["choices"][0]["finish_reason"], reason);
            ids.push(id);
        }
        assert!(
            ids.iter().position(|id| id == "urgent") < ids.iter().position(|id| id == "batch"),
            "{ids:?}"
        );
        let load = client.get("/v1/load").await;
        assert_eq!((&load["in_flight"], &load["queued"]), (&json!(0), &json!(0)));
    });
}

/// Guards against load reports and cache events that ignore the configured lag and so are more
/// recent than on the real platform.
#[test]
fn load_and_cache_events_appear_after_their_lag() {
    run(async |executor| {
        let clock = ManualClock::new(Timestamp::from_millis(10_000));
        let options = EngineOptions {
            load_lag: Millis(500),
            cache_lag: Millis(700),
            cache_entries: 1,
            clock: Clock::Manual(clock.clone()),
            ..EngineOptions::default()
        };
        let (address, _engine) = start_engine(any_port(), &executor, options).unwrap();
        let client = StandinClient::new(address);
        client.set_faults(json!({ "draining": true })).await;
        client.set_faults(json!({ "draining": false, "cache_gaps": 1 })).await;
        client.set_faults(json!({ "draining": true })).await;
        assert_eq!(client.get("/v1/load").await["draining"], false);
        clock.advance(Millis(500));
        assert_eq!(client.get("/v1/load").await["draining"], true);
        client.set_faults(json!({ "draining": false })).await;
        for (id, prefix) in [("a", "1"), ("b", "2")] {
            client.call(&chat(id, 1, false).header("x-prefix", prefix)).await.unwrap();
        }
        assert_eq!(client.get("/v1/cache?after=0").await, json!({ "events": [] }));
        clock.advance(Millis(700));
        let events = json!({ "events": [
            { "sequence": 2, "prefix": 2, "held": true },
            { "sequence": 3, "prefix": 1, "held": false },
        ] });
        assert_eq!(client.get("/v1/cache?after=0").await, events, "the first event is lost");
    });
}

/// Guards against an engine that checks fencing numbers but accepts a stale order, an engine that
/// does not check them but rejects one, and orders without effect.
#[test]
fn stale_orders_are_rejected_only_with_check_fence() {
    for (check_fence, expected) in [(true, 409), (false, 200)] {
        run(async |executor| {
            let models = vec!["other".to_owned()];
            let options = EngineOptions { check_fence, models, ..EngineOptions::default() };
            let (address, _engine) = start_engine(any_port(), &executor, options).unwrap();
            let client = StandinClient::new(address);
            let order = |fence: u64| json!({ "fence": fence, "model": "m" });
            assert_eq!(client.call(&chat("a", 1, false)).await.unwrap().0, 404);
            assert_eq!(client.post("/v1/orders", order(7)).await.0, 200);
            assert_eq!(
                client.call(&chat("b", 1, false)).await.unwrap().0,
                200,
                "the order has loaded the model"
            );
            assert_eq!(client.post("/v1/orders", order(6)).await.0, expected);
            assert_eq!(
                client.post("/v1/orders", order(7)).await.0,
                200,
                "an equal fencing number is accepted"
            );
        });
    }
}

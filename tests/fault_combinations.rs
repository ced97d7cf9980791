//! Combinations of two simultaneous faults.

mod support;

use std::thread;

use http_types::Method;
use serde_json::json;
use support::Fleet;
use support::caller_request;
use support::chat_request;
use support::get;
use support::send;
use support::try_send;
use support::wait_until;

/// Guards against losing or creating tokens when the store's responses are lost while the grant of
/// a killed router is reclaimed.
#[test]
fn killed_router_and_lost_store_responses() {
    let mut fleet = Fleet::start("kill_and_lose", 2, &["--token-interval-ms", "10"], 100_000);
    let router = fleet.router(0);
    let streams: Vec<_> = (0..4)
        .map(|_| thread::spawn(move || try_send(router, chat_request(1_000, true, None))))
        .collect();
    let usage_tokens = |fleet: &Fleet| -> Vec<u64> {
        let lists = fleet.engines.iter().map(|engine| {
            let list = get(engine.address("listen"), "/v1/usage").json();
            list.as_array().cloned().unwrap_or_default()
        });
        lists.flatten().map(|usage| usage["tokens"].as_u64().unwrap_or(0)).collect()
    };
    wait_until("the engines list all streams", || (usage_tokens(&fleet).len() == 4).then_some(()));
    fleet.inject_faults(&fleet.store, &json!({ "lose_answers": 4 }));
    fleet.routers[0].kill();
    streams.into_iter().for_each(|stream| drop(stream.join()));
    fleet.start_router(0);
    fleet.inject_faults(&fleet.store, &json!({ "clear": true }));
    let account = wait_until("the grant is reclaimed", || {
        let account = fleet.account();
        let rows = account["rows"].as_object()?.len();
        (rows == 0 && account["billed"].as_u64()? > 0).then_some(account)
    });
    let billed = account["billed"].as_u64().unwrap_or(0);
    assert_eq!(billed, usage_tokens(&fleet).iter().sum::<u64>(), "{account}");
    assert_eq!(account["balance"].as_u64(), Some(100_000 - billed), "{account}");
}

/// Guards against executing a booking twice when its router is paused during a store outage.
#[test]
fn paused_router_and_store_outage() {
    let fleet = Fleet::start("pause_and_outage", 2, &[], 1_000);
    let booking_request =
        || caller_request(Method::Post, "/services/booking/book", Some("p"), r#"{"slot":1}"#);
    fleet.inject_faults(&fleet.booking_service, &json!({ "hang_after": true, "times": 1 }));
    let router = fleet.router(0);
    let first = thread::spawn(move || try_send(router, booking_request()));
    wait_until("the service has executed the booking", || {
        (fleet.run_count("p") == 1).then_some(())
    });
    fleet.routers[0].signal("STOP");
    fleet.inject_faults(&fleet.store, &json!({ "down": true }));
    let refused = send(fleet.router(1), booking_request());
    assert_ne!(refused.status, 200, "{refused:?}");
    fleet.inject_faults(&fleet.store, &json!({ "clear": true }));
    let unknown = send(fleet.router(1), booking_request());
    assert_eq!(unknown.execution_state(), "unknown", "{unknown:?}");
    fleet.routers[0].signal("CONT");
    let _ = first.join();
    wait_until("the router looks up the outcome", || {
        (send(fleet.router(1), booking_request()).status == 200).then_some(())
    });
    assert_eq!(fleet.run_count("p"), 1);
}

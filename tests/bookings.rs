//! At-most-once execution of non-idempotent service calls during failures.

mod support;

use std::thread;

use berylwheel_http::OutgoingRequest;
use http_types::Method;
use serde_json::json;
use support::Fleet;
use support::Response;
use support::caller_request;
use support::chat_request;
use support::send;
use support::try_send;
use support::wait_until;

fn booking_request(key: &str) -> OutgoingRequest {
    caller_request(Method::Post, "/services/booking/book", Some(key), r#"{"slot":1}"#)
}

fn send_booking(fleet: &Fleet, router: usize, key: &str) -> Response {
    send(fleet.router(router), booking_request(key))
}

/// Guards against executing a booking twice when the connection is lost before the response
/// arrives.
#[test]
fn booking_with_lost_response_runs_once() {
    let fleet = Fleet::start("lost_answer", 2, &[], 1_000);
    fleet.inject_faults(&fleet.booking_service, &json!({ "drop_after": true, "times": 1 }));
    let first = send_booking(&fleet, 0, "k");
    assert_eq!((first.code(), first.execution_state().as_str()), (1303, "unknown"), "{first:?}");
    let done = wait_until("the router looks up the outcome", || {
        let response = send_booking(&fleet, 1, "k");
        assert!(response.status == 200 || response.execution_state() == "unknown", "{response:?}");
        (response.status == 200).then_some(response)
    });
    assert_eq!(fleet.run_count("k"), 1, "{done:?}");
}

/// Guards against repeating bookings because their service hangs, and against requests of other
/// kinds that are blocked by them.
#[test]
fn hanging_service_does_not_block_other_kinds() {
    let fleet = Fleet::start("hang", 2, &[], 1_000_000);
    fleet.inject_faults(&fleet.booking_service, &json!({ "hang_after": true }));
    let router = fleet.router(0);
    let calls: Vec<_> = (0..50)
        .map(|n| thread::spawn(move || try_send(router, booking_request(&format!("h{n}")))))
        .collect();
    for _ in 0..50 {
        let response = send(fleet.router(0), chat_request(5, true, None));
        assert!(response.body.contains("[DONE]"), "{response:?}");
    }
    for response in calls {
        let response = response.join().expect("the thread ends").expect("a response");
        assert_eq!(response.execution_state(), "unknown", "{response:?}");
    }
    for n in 0..50 {
        assert!(fleet.run_count(&format!("h{n}")) <= 1);
    }
}

/// Guards against a call that is executed without a record in the store, and against reporting
/// `not-run` for a call that was executed.
#[test]
fn bookings_are_refused_during_store_outage() {
    let fleet = Fleet::start("booking_outage", 2, &[], 1_000);
    fleet.inject_faults(&fleet.store, &json!({ "down": true }));
    let refused = send_booking(&fleet, 0, "o");
    assert_eq!(
        (refused.code(), refused.execution_state().as_str()),
        (1302, "not-run"),
        "{refused:?}"
    );
    assert_eq!(fleet.run_count("o"), 0);
    let stock =
        send(fleet.router(0), caller_request(Method::Get, "/services/stock/stock/a", None, ""));
    assert_eq!(stock.status, 200, "expected idempotent calls to be served: {stock:?}");
    fleet.inject_faults(&fleet.store, &json!({ "clear": true }));
    let done = wait_until("bookings are served again", || {
        let response = send_booking(&fleet, 1, "o");
        (response.status == 200).then_some(response)
    });
    assert_eq!(fleet.run_count("o"), 1, "{done:?}");
}

/// Guards against a router that attributes its own record to another router because the store's
/// response to the creation was lost.
#[test]
fn lost_store_responses_neither_repeat_nor_lose_bookings() {
    let fleet = Fleet::start("booking_lost", 2, &[], 1_000);
    for n in 0..5 {
        fleet.inject_faults(&fleet.store, &json!({ "lose_answers": 2 }));
        let key = format!("l{n}");
        let first = send_booking(&fleet, 0, &key);
        fleet.inject_faults(&fleet.store, &json!({ "clear": true }));
        if first.execution_state() == "not-run" {
            assert_eq!(fleet.run_count(&key), 0, "{first:?}");
        }
        wait_until("the booking is done", || {
            (send_booking(&fleet, 1, &key).status == 200).then_some(())
        });
        assert_eq!(fleet.run_count(&key), 1);
    }
}

/// Guards against repeating a booking when the router that forwarded it is killed.
#[test]
fn booking_of_killed_router_is_unknown_until_looked_up() {
    let mut fleet = Fleet::start("booking_kill", 2, &[], 1_000);
    fleet.inject_faults(&fleet.booking_service, &json!({ "hang_after": true, "times": 1 }));
    let router = fleet.router(0);
    let call = thread::spawn(move || try_send(router, booking_request("d")));
    wait_until("the service has executed the booking", || {
        (fleet.run_count("d") == 1).then_some(())
    });
    fleet.routers[0].kill();
    let _ = call.join();
    let unknown = send_booking(&fleet, 1, "d");
    assert_eq!(
        (unknown.code(), unknown.execution_state().as_str()),
        (1303, "unknown"),
        "{unknown:?}"
    );
    fleet.start_router(0);
    wait_until("the restarted router looks up the outcome", || {
        (send_booking(&fleet, 0, "d").status == 200).then_some(())
    });
    assert_eq!(fleet.run_count("d"), 1);
}

/// Guards against executing a booking twice when two routers receive it concurrently.
#[test]
fn concurrent_attempts_run_once() {
    let fleet = Fleet::start("booking_race", 2, &[], 1_000);
    for n in 0..10 {
        let key = format!("r{n}");
        let calls: Vec<_> = (0..4)
            .map(|i| {
                let (router, request) = (fleet.router(i % 2), booking_request(&key));
                thread::spawn(move || send(router, request))
            })
            .collect();
        for call in calls {
            let response = call.join().expect("the thread ends");
            assert!(
                response.status == 200 || response.execution_state() == "unknown",
                "{response:?}"
            );
        }
        assert_eq!(fleet.run_count(&key), 1);
    }
}

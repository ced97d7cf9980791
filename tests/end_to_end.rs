//! End-to-end requests through router processes.

mod support;

use berylwheel_http::OutgoingRequest;
use http_types::Method;
use support::Fleet;
use support::caller_request;
use support::chat_request;
use support::get;
use support::send;
use support::wait_until;

/// Guards against a request path that works in a single process but fails across processes.
#[test]
fn each_type_of_request_is_handled() {
    let fleet = Fleet::start("end_to_end", 3, &[], 1_000);

    let streamed = send(fleet.router(0), chat_request(20, true, None));
    assert_eq!(streamed.status, 200, "{streamed:?}");
    assert_eq!(streamed.body.matches("\"content\"").count(), 20, "{}", streamed.body);
    assert!(streamed.body.trim_end().ends_with("data: [DONE]"), "{}", streamed.body);

    let buffered = send(fleet.router(1), chat_request(20, false, None));
    assert_eq!(buffered.status, 200, "{buffered:?}");

    let send_booking = |router| {
        let request =
            caller_request(Method::Post, "/services/booking/book", Some("b-1"), r#"{"slot":1}"#);
        send(fleet.router(router), request)
    };
    let (first, repeated) = (send_booking(1), send_booking(2));
    assert_eq!((first.status, repeated.status), (200, 200), "{first:?} {repeated:?}");
    assert_eq!(first.body, repeated.body, "expected the recorded response for the second request");
    assert_eq!(fleet.run_count("b-1"), 1);

    let stock =
        send(fleet.router(2), caller_request(Method::Get, "/services/stock/stock/rose", None, ""));
    assert_eq!(stock.status, 200, "{stock:?}");

    let refused = send(fleet.router(0), chat_request(3_000, true, None));
    assert_eq!((refused.status, refused.code()), (402, 1201), "{refused:?}");
    assert_eq!(refused.execution_state(), "not-run");

    let billed = wait_until("a request is billed", || {
        let billed = fleet.account()["billed"].as_u64()?;
        (billed > 0).then_some(billed)
    });
    // Two requests of three prompt words and twenty generated tokens.
    assert!(billed == 23 || billed == 46, "{billed}");
    wait_until("both requests are billed", || (fleet.account()["billed"] == 46).then_some(()));
}

/// Guards against a killed router that disrupts the other routers.
#[test]
fn other_routers_serve_after_a_router_is_killed_during_a_stream() {
    let mut fleet = Fleet::start("kill_mid_stream", 3, &["--token-interval-ms", "20"], 100_000);
    let router = fleet.router(0);
    let stream =
        std::thread::spawn(move || support::try_send(router, chat_request(500, true, Some("k"))));
    wait_until("the router counts the stream", || {
        let dump = get(fleet.admin(0), "/dump").json();
        (dump["requests"].as_u64() == Some(1)).then_some(())
    });
    fleet.routers[0].kill();
    let result = stream.join().expect("the thread ends");
    assert!(result.is_err() || !result.is_ok_and(|a| a.body.contains("[DONE]")));
    let served = send(fleet.router(1), chat_request(10, true, None));
    assert_eq!(served.status, 200, "{served:?}");
    assert_eq!(send(fleet.router(2), OutgoingRequest::new(Method::Get, "/healthz")).status, 200);
}

/// Guards against routers that do not connect to each other or do not apply configuration changes.
#[test]
fn routers_discover_each_other_and_apply_changes() {
    let fleet = Fleet::start("membership", 3, &[], 1_000);
    wait_until("each router counts three live routers", || {
        (0..3)
            .all(|i| {
                let dump = get(fleet.admin(i), "/dump").json();
                dump["fleet"]["live"].as_array().is_some_and(|live| live.len() == 3)
            })
            .then_some(())
    });
    let address = fleet.admin(1).to_string();
    let operator = ["--address", &address, "--operator-key", support::OPERATOR_KEY];
    support::run_command(&[&["kind", "set", "chat", "max_tokens=50"][..], &operator].concat());
    support::run_command(&[&["config", "wait", "2"][..], &operator].concat());
    for i in 0..3 {
        let refused = send(fleet.router(i), chat_request(100, false, None));
        assert_eq!(refused.code(), 1102, "{refused:?}");
    }
}

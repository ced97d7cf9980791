//! Accounting of budgets during failures of routers and of the store.

mod support;

use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use support::Fleet;
use support::chat_request;
use support::get;
use support::send;
use support::try_send;
use support::wait_until;

/// Asserts that the credited tokens equal the sum of the balance, the billed tokens and the
/// outstanding grants.
fn assert_conserved(account: &Value) {
    let number = |value: &Value| value.as_u64().unwrap_or(0);
    let rows = account["rows"].as_object().cloned().unwrap_or_default();
    let held: u64 = rows
        .values()
        .map(|row| number(&row["granted"]) - number(&row["returned"]) - number(&row["settled"]))
        .sum();
    let total = number(&account["balance"]) + number(&account["billed"]) + held;
    assert_eq!(number(&account["credited"]), total, "{account}");
}

fn wait_request_count(fleet: &Fleet, router: usize, requests: u64) {
    wait_until("the router counts the requests", || {
        let dump = get(fleet.admin(router), "/dump").json();
        (dump["requests"].as_u64() == Some(requests)).then_some(())
    });
}

/// Waits until the engines list `requests` requests. A router counts a request before it has sent
/// it to an engine.
fn wait_engine_requests(fleet: &Fleet, requests: usize) {
    let usage_count = |engine: &support::Process| {
        let usage = get(engine.address("listen"), "/v1/usage").json();
        usage.as_array().map_or(0, Vec::len)
    };
    wait_until("the engines list the requests", || {
        (fleet.engines.iter().map(usage_count).sum::<usize>() == requests).then_some(())
    });
}

/// Guards against a grant that is lost when its router is killed, and against usage of its streams
/// that is never billed.
#[test]
fn killed_router_grant_is_reclaimed_and_usage_billed() {
    let mut fleet = Fleet::start("reclaim", 3, &["--token-interval-ms", "10"], 100_000);
    let router = fleet.router(0);
    let streams: Vec<_> = (0..5)
        .map(|_| thread::spawn(move || try_send(router, chat_request(2_000, true, None))))
        .collect();
    wait_engine_requests(&fleet, 5);
    fleet.routers[0].kill();
    streams.into_iter().for_each(|stream| drop(stream.join()));
    assert_conserved(&fleet.account());
    fleet.start_router(0);
    let account = wait_until("the grant is reclaimed", || {
        let account = fleet.account();
        let rows = account["rows"].as_object()?.len();
        (rows == 0 && account["billed"].as_u64()? > 0).then_some(account)
    });
    assert_conserved(&account);
    let billed = account["billed"].as_u64().unwrap_or(0);
    let recorded: u64 = fleet
        .engines
        .iter()
        .flat_map(|engine| {
            let usage = get(engine.address("listen"), "/v1/usage").json();
            usage.as_array().cloned().unwrap_or_default()
        })
        .map(|usage| usage["tokens"].as_u64().unwrap_or(0))
        .sum();
    assert_eq!(billed, recorded, "expected each usage record of the engines to be billed once");
}

/// Guards against overspending when a paused router resumes: its grant must not be reclaimed and
/// granted to another router meanwhile.
#[test]
fn paused_router_keeps_its_grant_and_resumes() {
    let fleet = Fleet::start("pause", 2, &[], 2_000);
    assert_eq!(send(fleet.router(0), chat_request(100, false, None)).status, 200);
    fleet.routers[0].signal("STOP");
    // The other router cannot spend the paused router's grant.
    let mut spent = 0;
    loop {
        let response = send(fleet.router(1), chat_request(100, false, None));
        if response.status != 200 {
            assert!(matches!(response.code(), 1201 | 1202), "{response:?}");
            break;
        }
        spent += 103;
        assert!(spent <= 2_000 - 103, "more than the remaining budget was spent");
    }
    fleet.routers[0].signal("CONT");
    loop {
        let response = send(fleet.router(0), chat_request(100, false, None));
        if response.status != 200 {
            break;
        }
        spent += 103;
    }
    assert!(spent + 103 <= 2_000, "{spent}");
    wait_until("all usage is billed", || (fleet.account()["billed"] == spent + 103).then_some(()));
    assert_conserved(&fleet.account());
}

/// Guards against refusals of requests that existing grants cover while the store is down, and
/// against grants that no balance covers.
#[test]
fn grants_remain_usable_during_store_outage() {
    let fleet = Fleet::start("outage", 2, &[], 1_000_000);
    for router in 0..2 {
        assert_eq!(send(fleet.router(router), chat_request(10, false, None)).status, 200);
    }
    fleet.inject_faults(&fleet.store, &json!({ "down": true }));
    for n in 0..50 {
        let response = send(fleet.router(n % 2), chat_request(10, false, None));
        assert_eq!(response.status, 200, "{response:?}");
    }
    fleet.inject_faults(&fleet.store, &json!({ "clear": true }));
    wait_until("all usage is billed", || (fleet.account()["billed"] == 52 * 13).then_some(()));
    assert_conserved(&fleet.account());
}

/// Guards against crediting a top-up twice when the store's responses are lost and the top-up is
/// sent again.
#[test]
fn top_up_with_lost_store_responses_is_credited_once() {
    let fleet = Fleet::start("lost_responses", 2, &[], 1_000);
    fleet.inject_faults(&fleet.store, &json!({ "lose_answers": 3 }));
    let credit = json!({ "op": "credit", "id": "second", "tokens": 500 });
    let first = fleet.send_budget_operation(&credit);
    fleet.inject_faults(&fleet.store, &json!({ "clear": true }));
    let repeated = fleet.send_budget_operation(&credit);
    assert_eq!((first.status, repeated.status), (200, 200), "{first:?} {repeated:?}");
    assert_eq!(repeated.json()["applied"], false);
    assert_eq!(fleet.account()["credited"], 1_500);
}

/// Guards against billing a request twice, or running it concurrently, when it is sent to two
/// routers with the same idempotency key.
#[test]
fn retry_at_another_router_is_billed_once() {
    let fleet = Fleet::start("retry", 3, &["--token-interval-ms", "10"], 100_000);
    wait_until("all routers are members of the fleet", || {
        (0..3)
            .all(|i| {
                let dump = get(fleet.admin(i), "/dump").json();
                dump["fleet"]["live"].as_array().is_some_and(|live| live.len() == 3)
            })
            .then_some(())
    });
    let router = fleet.router(0);
    let first = thread::spawn(move || send(router, chat_request(100, true, Some("same"))));
    // The request owns the idempotency key only when it has reached an engine; before that the
    // second request could claim the key first.
    wait_engine_requests(&fleet, 1);
    let duplicate = send(fleet.router(1), chat_request(100, true, Some("same")));
    assert_eq!(
        (duplicate.code(), duplicate.execution_state().as_str()),
        (1211, "not-run"),
        "{duplicate:?}"
    );
    let first = first.join().expect("the thread ends");
    assert!(first.body.contains("[DONE]"), "{first:?}");
    let done = wait_until("the home router records that the request ended", || {
        let response = send(fleet.router(2), chat_request(100, true, Some("same")));
        (response.code() != 1211).then_some(response)
    });
    assert_eq!((done.code(), done.execution_state().as_str()), (1212, "done"), "{done:?}");
    let other = send(fleet.router(2), chat_request(99, true, Some("same")));
    assert_eq!(
        other.code(),
        1304,
        "expected a refusal of another body with the same key: {other:?}"
    );
    wait_until("the request is billed", || (fleet.account()["billed"] == 103).then_some(()));
}

/// Guards against a graceful shutdown that truncates streams or leaves its grant in the ledger.
#[test]
fn graceful_shutdown_finishes_streams_and_returns_grants() {
    let mut fleet = Fleet::start("drain", 2, &["--token-interval-ms", "10"], 1_000_000);
    let router = fleet.router(0);
    let streams: Vec<_> = (0..100)
        .map(|_| thread::spawn(move || try_send(router, chat_request(100, true, None))))
        .collect();
    wait_request_count(&fleet, 0, 100);
    fleet.routers[0].signal("TERM");
    // The router takes requests until it handles the signal. Each is answered and billed, or refused.
    let mut answered = 0;
    let refused = wait_until("new requests are refused", || {
        let response = send(router, chat_request(1, false, None));
        if response.status != 200 {
            return Some(response);
        }
        answered += 1;
        None
    });
    assert_eq!(
        (refused.code(), refused.execution_state().as_str()),
        (1501, "not-run"),
        "{refused:?}"
    );
    for stream in streams {
        let response = stream.join().expect("the thread ends").expect("a response");
        assert!(response.body.contains("[DONE]"), "{}", response.body);
    }
    assert!(fleet.routers[0].wait_exit(), "expected the router to exit with status 0");
    let account = wait_account(&fleet);
    assert_eq!(account["billed"], 100 * 103 + answered * 4);
    assert!(account["rows"].as_object().is_none_or(serde_json::Map::is_empty), "{account}");
    assert_conserved(&account);
}

/// Guards against cutting streams because a supervisor repeats its stop signal.
#[test]
fn repeated_stop_signal_does_not_cut_streams() {
    let mut fleet = Fleet::start("repeat-stop", 1, &["--token-interval-ms", "20"], 1_000_000);
    let router = fleet.router(0);
    let stream = thread::spawn(move || try_send(router, chat_request(100, true, None)));
    wait_request_count(&fleet, 0, 1);
    // The stream runs for two seconds. A request that waits for its tokens would be refused.
    thread::sleep(Duration::from_millis(700));
    for _ in 0..3 {
        fleet.routers[0].signal("TERM");
        thread::sleep(Duration::from_millis(100));
    }
    let response = stream.join().expect("the thread ends").expect("a response");
    assert!(response.body.contains("[DONE]"), "{}", response.body);
    assert!(fleet.routers[0].wait_exit(), "expected the router to exit with status 0");
}

fn wait_account(fleet: &Fleet) -> Value {
    wait_until("a router returns the account", || {
        let account = fleet.account();
        account["billed"].is_u64().then_some(account)
    })
}

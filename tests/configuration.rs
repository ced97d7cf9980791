//! Configuration changes with concurrent operators and store failures.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use berylwheel_http::OutgoingRequest;
use http_types::Method;
use serde_json::Value;
use serde_json::json;
use support::Fleet;
use support::Response;
use support::chat_request;
use support::get;
use support::send;
use support::send_as_operator;
use support::try_send;
use support::wait_until;

/// Returns a change that sets `max_tokens` of the kind `chat`.
fn max_tokens_change(id: &str, base: Option<u64>, max_tokens: u64) -> Value {
    let edit =
        json!({ "section": "kind chat", "key": "max_tokens", "value": max_tokens.to_string() });
    json!({ "change": id, "base": base, "edits": [edit] })
}

fn submit_change(admin: SocketAddr, change: &Value) -> Response {
    send_as_operator(admin, Method::Post, "/admin/config", change)
}

/// Returns the configuration version of the router at `admin`, or `None` if it is not serving.
fn serving_version(admin: SocketAddr) -> Option<u64> {
    let response = try_send(admin, OutgoingRequest::new(Method::Get, "/version")).ok()?.json();
    (response["serving"] == "open").then(|| response["version"].as_u64()).flatten()
}

fn wait_version(fleet: &Fleet, i: usize, version: u64) {
    wait_until(&format!("r{i} serves version {version}"), || {
        (serving_version(fleet.admin(i)) == Some(version)).then_some(())
    });
}

/// Returns the settings text in the store.
fn stored_settings(fleet: &Fleet) -> String {
    let response = fleet.send_as_operator(Method::Get, "/admin/config", "").json();
    response["settings"].as_str().expect("a settings text").to_owned()
}

fn config_history(fleet: &Fleet) -> Vec<Value> {
    let response = fleet.send_as_operator(Method::Get, "/admin/config/history", "");
    response.json().as_array().expect("a list of versions").clone()
}

/// Guards against lost updates: a change must not overwrite a version that its operator has not
/// seen.
#[test]
fn one_concurrent_change_is_accepted_and_the_others_conflict() {
    let fleet = Fleet::start("config_race", 3, &[], 1_000);
    for round in 0..5 {
        let base = 1 + round;
        let value = |i: usize| 100 * base + i as u64;
        let senders: Vec<_> = (0..6)
            .map(|i| {
                let admin = fleet.admin(i % 3);
                let change = max_tokens_change(&format!("c-{round}-{i}"), Some(base), value(i));
                thread::spawn(move || submit_change(admin, &change))
            })
            .collect();
        let responses: Vec<Response> =
            senders.into_iter().map(|sender| sender.join().expect("the thread ends")).collect();
        let accepted: Vec<usize> = (0..6).filter(|i| responses[*i].status == 200).collect();
        assert_eq!(accepted.len(), 1, "{responses:?}");
        let accepted_version = format!("version {} by test", base + 1);
        for (i, response) in responses.iter().enumerate().filter(|(i, _)| *i != accepted[0]) {
            assert_eq!((response.status, response.code()), (409, 1403), "change {i}: {response:?}");
            let is_reported = [&accepted_version, &value(accepted[0]).to_string()]
                .iter()
                .all(|text| response.body.contains(*text));
            assert!(is_reported, "change {i}: {response:?}");
        }
        let value = format!("max_tokens = {}\n", value(accepted[0]));
        assert!(stored_settings(&fleet).contains(&value), "{}", stored_settings(&fleet));
        assert_eq!(config_history(&fleet).len(), 2 + round as usize);
    }
}

/// Guards against applying a change twice because the store's response was lost, and against
/// reporting a change as done that was not written.
#[test]
fn change_with_lost_store_responses_creates_one_version() {
    let fleet = Fleet::start("config_lost", 1, &[], 1_000);
    fleet.inject_faults(&fleet.store, &json!({ "lose_answers": "all" }));
    let first = submit_change(fleet.admin(0), &max_tokens_change("lost", None, 101));
    assert_eq!((first.status, first.json()["version"].as_u64()), (200, Some(2)), "{first:?}");
    let repeated = submit_change(fleet.admin(0), &max_tokens_change("lost", None, 101));
    assert_eq!(
        (repeated.status, repeated.json()["version"].as_u64()),
        (200, Some(2)),
        "{repeated:?}"
    );
    fleet.inject_faults(&fleet.store, &json!({ "lose_answers": 0, "lose_writes": "all" }));
    let unknown = submit_change(fleet.admin(0), &max_tokens_change("unwritten", None, 102));
    assert_eq!(
        (unknown.code(), unknown.execution_state().as_str()),
        (1402, "unknown"),
        "{unknown:?}"
    );
    fleet.inject_faults(&fleet.store, &json!({ "lose_writes": 0 }));
    let retried = submit_change(fleet.admin(0), &max_tokens_change("unwritten", None, 102));
    assert_eq!(retried.json()["version"], 3, "{retried:?}");
    assert_eq!(config_history(&fleet).len(), 3);
    wait_version(&fleet, 0, 3);
}

/// Guards against a router that cannot start during a store outage, and against one that serves
/// without a configuration confirmed by peers in two failure domains.
#[test]
fn router_without_store_starts_with_configuration_from_peers() {
    let mut fleet = Fleet::start("config_peers", 4, &[], 100_000);
    let done = submit_change(fleet.admin(0), &max_tokens_change("c", None, 50));
    assert_eq!(done.status, 200, "{done:?}");
    (0..4).for_each(|i| wait_version(&fleet, i, 2));
    let peers = (0..3).map(|i| format!("r{i}={}", fleet.routers[i].address("peer")));
    let peers = format!("peers = {}\n", peers.collect::<Vec<_>>().join(", "));
    let assert_refused = |fleet: &Fleet| {
        for _ in 0..30 {
            let refused = send(fleet.router(3), chat_request(100, false, None));
            assert_eq!(
                (refused.code(), refused.execution_state().as_str()),
                (1401, "not-run"),
                "{refused:?}"
            );
            thread::sleep(Duration::from_millis(100));
        }
    };
    fleet.routers[2].kill();
    fleet.routers[3].kill();
    fleet.inject_faults(&fleet.store, &json!({ "down": true }));

    // No peers are configured.
    fleet.spawn_router(3, "");
    assert_refused(&fleet);
    fleet.routers[3].kill();

    // Two of three peers respond, and they are in two failure domains.
    fleet.spawn_router(3, &peers);
    wait_version(&fleet, 3, 2);
    let limit = send(fleet.router(3), chat_request(100, false, None));
    assert_eq!(limit.code(), 1102, "expected the limit of version 2: {limit:?}");
    let stock = support::caller_request(Method::Get, "/services/stock/stock/rose", None, "");
    let served = send(fleet.router(3), stock);
    assert_eq!(served.status, 200, "{served:?}");

    // Only one of three peers responds.
    fleet.routers[1].kill();
    fleet.routers[3].kill();
    fleet.spawn_router(3, &peers);
    wait_until("r3 receives the configuration of r0", || {
        let dump = get(fleet.admin(3), "/dump").json();
        (dump["fleet"]["config"]["version"] == 2).then_some(())
    });
    assert_refused(&fleet);
    fleet.inject_faults(&fleet.store, &json!({ "down": false }));
    wait_version(&fleet, 3, 2);
}

/// Guards against a router that serves an earlier version after a restart or a store outage.
#[test]
fn versions_increase_monotonically_across_restarts_and_outages() {
    let mut fleet = Fleet::start("config_rise", 3, &[], 1_000);
    let admins = Arc::new(Mutex::new((0..3).map(|i| fleet.admin(i)).collect::<Vec<_>>()));
    let stop = Arc::new(AtomicBool::new(false));
    let poller = thread::spawn({
        let (admins, stop) = (admins.clone(), stop.clone());
        move || {
            let (mut highest, mut polls) = ([0; 3], 0_u64);
            while !stop.load(Ordering::Relaxed) {
                let current = admins.lock().expect("no panic while locked").clone();
                for (i, admin) in current.into_iter().enumerate() {
                    let Some(version) = serving_version(admin) else { continue };
                    assert!(version >= highest[i], "r{i}: {version} after {}", highest[i]);
                    highest[i] = version;
                    polls += 1;
                }
                thread::sleep(Duration::from_millis(5));
            }
            (highest, polls)
        }
    });
    let mut version = 1;
    for number in 0..50 {
        let change = max_tokens_change(&format!("c-{number}"), None, 100 + number);
        if number % 10 == 3 {
            fleet.inject_faults(&fleet.store, &json!({ "down": true }));
            let refused = submit_change(fleet.admin(0), &change);
            assert_eq!(
                (refused.code(), refused.execution_state().as_str()),
                (1402, "not-run"),
                "{refused:?}"
            );
            fleet.inject_faults(&fleet.store, &json!({ "down": false }));
        }
        let done = submit_change(fleet.admin(number as usize % 2), &change);
        version += 1;
        assert_eq!(done.json()["version"].as_u64(), Some(version), "{done:?}");
        if number % 15 == 7 {
            fleet.routers[2].kill();
            fleet.start_router(2);
            admins.lock().expect("no panic while locked")[2] = fleet.admin(2);
        }
    }
    (0..3).for_each(|i| wait_version(&fleet, i, version));
    stop.store(true, Ordering::Relaxed);
    let (_, polls) = poller.join().expect("no version decreased");
    assert!(polls > 150, "{polls}");
}

/// Guards against requests that are blocked by a slow store without needing it, and against
/// reporting `not-run` for a call that was executed.
#[test]
fn slow_store_affects_only_changes_and_bookings() {
    let fleet = Fleet::start("config_slow", 2, &[], 100_000);
    assert_eq!(send(fleet.router(0), chat_request(10, false, None)).status, 200);
    fleet.inject_faults(&fleet.store, &json!({ "slow_ms": 3_000 }));
    let refused = submit_change(fleet.admin(0), &max_tokens_change("slow", None, 101));
    assert_eq!(
        (refused.code(), refused.execution_state().as_str()),
        (1402, "not-run"),
        "{refused:?}"
    );
    for _ in 0..10 {
        let served = send(fleet.router(0), chat_request(10, false, None));
        assert_eq!(served.status, 200, "{served:?}");
    }
    let booking_request =
        || support::caller_request(Method::Post, "/services/booking/book", Some("s"), "{}");
    let refused = send(fleet.router(1), booking_request());
    assert_eq!(
        (refused.code(), refused.execution_state().as_str()),
        (1302, "not-run"),
        "{refused:?}"
    );
    assert_eq!(fleet.run_count("s"), 0);
    (0..2).for_each(|i| assert_eq!(serving_version(fleet.admin(i)), Some(1)));
    fleet.inject_faults(&fleet.store, &json!({ "slow_ms": 0 }));
    let done = submit_change(fleet.admin(0), &max_tokens_change("slow", None, 101));
    assert_eq!(done.json()["version"], 2, "{done:?}");
    (0..2).for_each(|i| wait_version(&fleet, i, 2));
}

/// Guards against a rollback that decreases the version, and against an invalid change that is
/// applied in part.
#[test]
fn rollback_creates_a_version_and_invalid_changes_are_refused_atomically() {
    let fleet = Fleet::start("config_rollback", 2, &[], 1_000);
    let before = stored_settings(&fleet);
    assert_eq!(submit_change(fleet.admin(0), &max_tokens_change("c", None, 50)).status, 200);
    let rollback = json!({ "change": "back", "version": 1 });
    let done = fleet.send_as_operator_to(1, Method::Post, "/admin/config/rollback", &rollback);
    assert_eq!((done.status, done.json()["version"].as_u64()), (200, Some(3)), "{done:?}");
    assert_eq!(stored_settings(&fleet), before);
    (0..2).for_each(|i| wait_version(&fleet, i, 3));

    let mut invalid = max_tokens_change("wrong", None, 60);
    let edit = json!({ "section": "kind chat", "key": "max_tokns", "value": "7" });
    invalid["edits"].as_array_mut().expect("a list of edits").push(edit);
    let refused = submit_change(fleet.admin(0), &invalid);
    assert_eq!((refused.status, refused.code()), (422, 1404), "{refused:?}");
    assert!(
        refused.body.contains("max_tokens"),
        "expected a suggestion of the similar key: {refused:?}"
    );
    assert_eq!(stored_settings(&fleet), before);
    assert_eq!(config_history(&fleet).len(), 3);
    assert_eq!(get(fleet.admin(0), "/version").json()["version"], 3);
}

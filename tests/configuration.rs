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
use support::Answer;
use support::Fleet;
use support::chat;
use support::get;
use support::operator_call;
use support::send;
use support::try_send;
use support::wait_until;

/// Returns a change that sets `max_tokens` of the kind `chat`.
fn change(id: &str, base: Option<u64>, max_tokens: u64) -> Value {
    let edit =
        json!({ "section": "kind chat", "key": "max_tokens", "value": max_tokens.to_string() });
    json!({ "change": id, "base": base, "edits": [edit] })
}

fn submit(admin: SocketAddr, change: &Value) -> Answer {
    operator_call(admin, Method::Post, "/admin/config", change)
}

/// Returns the configuration version of the router at `admin`, or `None` if it is not serving.
fn serving(admin: SocketAddr) -> Option<u64> {
    let answer = try_send(admin, OutgoingRequest::new(Method::Get, "/version")).ok()?.json();
    (answer["serving"] == "open").then(|| answer["version"].as_u64()).flatten()
}

fn wait_version(fleet: &Fleet, i: usize, version: u64) {
    wait_until(&format!("r{i} serves version {version}"), || {
        (serving(fleet.admin(i)) == Some(version)).then_some(())
    });
}

/// Returns the settings text in the store.
fn stored(fleet: &Fleet) -> String {
    let answer = fleet.operator(Method::Get, "/admin/config", "").json();
    answer["settings"].as_str().expect("a settings text").to_owned()
}

fn history(fleet: &Fleet) -> Vec<Value> {
    let answer = fleet.operator(Method::Get, "/admin/config/history", "");
    answer.json().as_array().expect("a list of versions").clone()
}

/// Guards against lost updates: a change must not overwrite a version that its operator has not
/// seen.
#[test]
fn one_concurrent_change_is_accepted_and_the_others_conflict() {
    let fleet = Fleet::start("config_race", 3, &[], 1_000);
    for round in 0..5 {
        let base = 1 + round;
        let value = |i: usize| 100 * base + i as u64;
        let racers: Vec<_> = (0..6)
            .map(|i| {
                let admin = fleet.admin(i % 3);
                let change = change(&format!("c-{round}-{i}"), Some(base), value(i));
                thread::spawn(move || submit(admin, &change))
            })
            .collect();
        let answers: Vec<Answer> =
            racers.into_iter().map(|racer| racer.join().expect("the thread ends")).collect();
        let won: Vec<usize> = (0..6).filter(|i| answers[*i].status == 200).collect();
        assert_eq!(won.len(), 1, "{answers:?}");
        let winner = format!("version {} by test", base + 1);
        for (i, answer) in answers.iter().enumerate().filter(|(i, _)| *i != won[0]) {
            assert_eq!((answer.status, answer.code()), (409, 1403), "change {i}: {answer:?}");
            let told = [&winner, &value(won[0]).to_string()]
                .iter()
                .all(|text| answer.body.contains(*text));
            assert!(told, "change {i}: {answer:?}");
        }
        let value = format!("max_tokens = {}\n", value(won[0]));
        assert!(stored(&fleet).contains(&value), "{}", stored(&fleet));
        assert_eq!(history(&fleet).len(), 2 + round as usize);
    }
}

/// Guards against applying a change twice because the store's response was lost, and against
/// reporting a change as done that was not written.
#[test]
fn change_with_lost_store_responses_creates_one_version() {
    let fleet = Fleet::start("config_lost", 1, &[], 1_000);
    fleet.fault(&fleet.store, &json!({ "lose_answers": "all" }));
    let first = submit(fleet.admin(0), &change("lost", None, 101));
    assert_eq!((first.status, first.json()["version"].as_u64()), (200, Some(2)), "{first:?}");
    let again = submit(fleet.admin(0), &change("lost", None, 101));
    assert_eq!((again.status, again.json()["version"].as_u64()), (200, Some(2)), "{again:?}");
    fleet.fault(&fleet.store, &json!({ "lose_answers": 0, "lose_writes": "all" }));
    let unknown = submit(fleet.admin(0), &change("unwritten", None, 102));
    assert_eq!((unknown.code(), unknown.ran().as_str()), (1402, "unknown"), "{unknown:?}");
    fleet.fault(&fleet.store, &json!({ "lose_writes": 0 }));
    let third = submit(fleet.admin(0), &change("unwritten", None, 102));
    assert_eq!(third.json()["version"], 3, "{third:?}");
    assert_eq!(history(&fleet).len(), 3);
    wait_version(&fleet, 0, 3);
}

/// Guards against a router that cannot start during a store outage, and against one that serves
/// without a configuration confirmed by peers in two failure domains.
#[test]
fn router_without_store_starts_with_configuration_from_peers() {
    let mut fleet = Fleet::start("config_peers", 4, &[], 100_000);
    let done = submit(fleet.admin(0), &change("c", None, 50));
    assert_eq!(done.status, 200, "{done:?}");
    (0..4).for_each(|i| wait_version(&fleet, i, 2));
    let peers = (0..3).map(|i| format!("r{i}={}", fleet.routers[i].address("peer")));
    let peers = format!("peers = {}\n", peers.collect::<Vec<_>>().join(", "));
    let refuses = |fleet: &Fleet| {
        for _ in 0..30 {
            let refused = send(fleet.router(3), chat(100, false, None));
            assert_eq!((refused.code(), refused.ran().as_str()), (1401, "not-run"), "{refused:?}");
            thread::sleep(Duration::from_millis(100));
        }
    };
    fleet.routers[2].kill();
    fleet.routers[3].kill();
    fleet.fault(&fleet.store, &json!({ "down": true }));

    // No peers are configured.
    fleet.spawn_router(3, "");
    refuses(&fleet);
    fleet.routers[3].kill();

    // Two of three peers respond, and they are in two failure domains.
    fleet.spawn_router(3, &peers);
    wait_version(&fleet, 3, 2);
    let limit = send(fleet.router(3), chat(100, false, None));
    assert_eq!(limit.code(), 1102, "expected the limit of version 2: {limit:?}");
    let stock = support::call(Method::Get, "/services/stock/stock/rose", None, "");
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
    refuses(&fleet);
    fleet.fault(&fleet.store, &json!({ "down": false }));
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
                let present = admins.lock().expect("no panic while locked").clone();
                for (i, admin) in present.into_iter().enumerate() {
                    let Some(version) = serving(admin) else { continue };
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
        let change = change(&format!("c-{number}"), None, 100 + number);
        if number % 10 == 3 {
            fleet.fault(&fleet.store, &json!({ "down": true }));
            let refused = submit(fleet.admin(0), &change);
            assert_eq!((refused.code(), refused.ran().as_str()), (1402, "not-run"), "{refused:?}");
            fleet.fault(&fleet.store, &json!({ "down": false }));
        }
        let done = submit(fleet.admin(number as usize % 2), &change);
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
    assert_eq!(send(fleet.router(0), chat(10, false, None)).status, 200);
    fleet.fault(&fleet.store, &json!({ "slow_ms": 3_000 }));
    let refused = submit(fleet.admin(0), &change("slow", None, 101));
    assert_eq!((refused.code(), refused.ran().as_str()), (1402, "not-run"), "{refused:?}");
    for _ in 0..10 {
        let served = send(fleet.router(0), chat(10, false, None));
        assert_eq!(served.status, 200, "{served:?}");
    }
    let booking = || support::call(Method::Post, "/services/booking/book", Some("s"), "{}");
    let refused = send(fleet.router(1), booking());
    assert_eq!((refused.code(), refused.ran().as_str()), (1302, "not-run"), "{refused:?}");
    assert_eq!(fleet.runs("s"), 0);
    (0..2).for_each(|i| assert_eq!(serving(fleet.admin(i)), Some(1)));
    fleet.fault(&fleet.store, &json!({ "slow_ms": 0 }));
    let done = submit(fleet.admin(0), &change("slow", None, 101));
    assert_eq!(done.json()["version"], 2, "{done:?}");
    (0..2).for_each(|i| wait_version(&fleet, i, 2));
}

/// Guards against a rollback that decreases the version, and against an invalid change that is
/// applied in part.
#[test]
fn rollback_creates_a_version_and_invalid_changes_are_refused_atomically() {
    let fleet = Fleet::start("config_rollback", 2, &[], 1_000);
    let before = stored(&fleet);
    assert_eq!(submit(fleet.admin(0), &change("c", None, 50)).status, 200);
    let rollback = json!({ "change": "back", "version": 1 });
    let done = fleet.operator_at(1, Method::Post, "/admin/config/rollback", &rollback);
    assert_eq!((done.status, done.json()["version"].as_u64()), (200, Some(3)), "{done:?}");
    assert_eq!(stored(&fleet), before);
    (0..2).for_each(|i| wait_version(&fleet, i, 3));

    let mut wrong = change("wrong", None, 60);
    let edit = json!({ "section": "kind chat", "key": "max_tokns", "value": "7" });
    wrong["edits"].as_array_mut().expect("a list of edits").push(edit);
    let refused = submit(fleet.admin(0), &wrong);
    assert_eq!((refused.status, refused.code()), (422, 1404), "{refused:?}");
    assert!(
        refused.body.contains("max_tokens"),
        "expected a suggestion of the similar key: {refused:?}"
    );
    assert_eq!(stored(&fleet), before);
    assert_eq!(history(&fleet).len(), 3);
    assert_eq!(get(fleet.admin(0), "/version").json()["version"], 3);
}

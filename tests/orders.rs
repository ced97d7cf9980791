//! Ordering and fencing of operator orders to engines.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use async_executor::Executor;
use async_io::block_on;
use berylwheel_standin::EngineOptions;
use berylwheel_standin::start_engine;
use berylwheel_store::HttpStore;
use berylwheel_store::Store;
use berylwheel_store::StoreOptions;
use futures_lite::future;
use http_types::Method;
use serde_json::Value;
use serde_json::json;
use support::Answer;
use support::Fleet;
use support::get;
use support::operator_call;
use support::run_ok;
use support::wait_until;

/// Changes the settings of a server and waits until all routers serve the new version.
fn set_server(fleet: &Fleet, version: u64, server: &str, pairs: &[&str]) {
    let address = fleet.admin(0).to_string();
    let operator = ["--address", &address, "--operator-key", support::OPERATOR_KEY];
    run_ok(&[&["server", "set", server][..], pairs, &operator].concat());
    run_ok(&[&["config", "wait", &version.to_string()][..], &operator].concat());
}

/// Starts an engine that ignores fencing numbers. It runs until the test process exits.
fn engine_without_check() -> SocketAddr {
    let executor = Arc::new(Executor::new());
    let options = EngineOptions { check_fence: false, ..EngineOptions::default() };
    let address = "127.0.0.1:0".parse().expect("an address");
    let (address, handle) = start_engine(address, &executor, options).expect("the engine starts");
    thread::spawn(move || {
        let _handle = handle;
        block_on(executor.run(future::pending::<()>()));
    });
    address
}

fn order(admin: SocketAddr, server: &str, version: &str) -> Answer {
    let body = json!({ "server": server, "version": version });
    operator_call(admin, Method::Post, "/admin/orders", &body)
}

/// Returns the fencing number and version of each order that an engine accepted, oldest first.
fn taken(engine: SocketAddr) -> Vec<(u64, String)> {
    let orders = get(engine, "/v1/orders").json();
    let one = |order: &Value| {
        (
            order["fence"].as_u64().expect("a fencing number"),
            order["version"].as_str().expect("a version").to_owned(),
        )
    };
    orders.as_array().expect("a list of orders").iter().map(one).collect()
}

/// Returns the router named by the incarnation at the JSON `pointer` of a store entry.
fn router_at(fleet: &Fleet, key: &str, pointer: &str) -> Option<String> {
    let store = HttpStore::new(StoreOptions::new(vec![fleet.store.address("listen")]));
    let entries = block_on(store.range(key, false, 1)).ok()?;
    let value: Value = serde_json::from_slice(&entries.first()?.value).ok()?;
    let (router, _) = value.pointer(pointer)?.as_str()?.split_once('@')?;
    Some(router.to_owned())
}

/// Sends an order to router 0 and pauses the router after it has written the fencing number to the
/// store and before it receives the store's response.
fn pause_with_number(fleet: &Fleet, server: &'static str) -> thread::JoinHandle<Answer> {
    let store = fleet.store.address("listen");
    let revision = || get(store, "/stats").json()["revision"].as_u64();
    fleet.fault(&fleet.store, &json!({ "slow_ms": 700 }));
    let (mut before, admin) = (revision(), fleet.admin(0));
    let sending = thread::spawn(move || order(admin, server, "old"));
    wait_until("the fencing number is in the store", || {
        if revision() <= before {
            return None;
        }
        fleet.routers[0].signal("STOP");
        fleet.fault(&fleet.store, &json!({ "slow_ms": 0 }));
        let owner = router_at(fleet, &format!("/berylwheel/fence/{server}"), "/owner");
        if owner.as_deref() == Some("r0") {
            return Some(());
        }
        // The revision increased by another write, such as the registration of a router.
        before = revision();
        fleet.fault(&fleet.store, &json!({ "slow_ms": 700 }));
        fleet.routers[0].signal("CONT");
        None
    });
    sending
}

/// Guards against concurrent orders that reach an engine out of order, so that the older one is in
/// force at the end.
#[test]
fn concurrent_orders_arrive_in_fencing_order() {
    let fleet = Fleet::start("orders_race", 2, &[], 1_000);
    set_server(&fleet, 2, "e0", &["fencing=checked"]);
    let engine = fleet.engines[0].address("listen");
    let racers: Vec<_> = (0..2)
        .map(|router| {
            let admin = fleet.admin(router);
            thread::spawn(move || {
                let send = |i| order(admin, "e0", &format!("{router}-{i}"));
                (0..5).map(send).collect::<Vec<_>>()
            })
        })
        .collect();
    let answers: Vec<Answer> =
        racers.into_iter().flat_map(|racer| racer.join().expect("the thread ends")).collect();
    let mut sent = Vec::new();
    for answer in &answers {
        match answer.status {
            200 => sent.push(answer.json()["fence"].as_u64().expect("a fencing number")),
            _ => {
                assert_eq!((answer.code(), answer.ran().as_str()), (1405, "not-run"), "{answer:?}")
            }
        }
    }
    sent.sort_unstable();
    let numbers: Vec<u64> = taken(engine).into_iter().map(|(number, _)| number).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    assert_eq!(numbers, sent);
    assert!(sent.len() >= 5, "{answers:?}");
}

/// Guards against a stale order from a router that was paused while another router sent a newer
/// one.
#[test]
fn checking_engine_gets_no_stale_order_from_paused_router() {
    let fleet = Fleet::start("orders_checked", 2, &[], 1_000);
    set_server(&fleet, 2, "e0", &["fencing=checked"]);
    let old = pause_with_number(&fleet, "e0");
    let new = order(fleet.admin(1), "e0", "new");
    assert_eq!(new.status, 200, "{new:?}");
    fleet.routers[0].signal("CONT");
    let old = old.join().expect("the thread ends");
    assert_eq!((old.status, old.code(), old.ran().as_str()), (409, 1405, "not-run"), "{old:?}");
    let engine = fleet.engines[0].address("listen");
    assert_eq!(taken(engine), [(2, "new".to_owned())]);
}

/// Guards against an order sent by a router whose lease expired while it was paused, to an engine
/// that does not check fencing numbers, and against a new lease holder that sends while the
/// previous one may still send.
#[test]
fn paused_router_gives_no_order_after_its_lease() {
    let fleet = Fleet::start("orders_ignored", 2, &[], 1_000);
    let engine = engine_without_check();
    let address = format!("address={engine}");
    let pairs =
        [&address, "kinds=chat", "models=m1", "concurrency=9", "domain=d0", "fencing=ignored"];
    set_server(&fleet, 2, "e9", &pairs);
    let old = pause_with_number(&fleet, "e9");
    assert_eq!(taken(engine), [], "expected the router to be paused before it sends the order");
    let admin = fleet.admin(1);
    let new = thread::spawn(move || order(admin, "e9", "new"));
    wait_until("the other router holds the lease", || {
        let holder = router_at(&fleet, "/berylwheel/order-lease/e9", "/owner");
        (holder.as_deref() == Some("r1")).then_some(())
    });
    fleet.routers[0].signal("CONT");
    assert_eq!(taken(engine), [], "expected the new holder to wait for another lease period");
    let old = old.join().expect("the thread ends");
    assert_eq!((old.status, old.code(), old.ran().as_str()), (409, 1405, "not-run"), "{old:?}");
    let new = new.join().expect("the thread ends");
    assert_eq!(new.status, 200, "{new:?}");
    assert_eq!(taken(engine), [(2, "new".to_owned())]);
}

/// Guards against an order that is lost or sent twice because a response of the store was lost.
#[test]
fn lost_store_responses_neither_lose_nor_repeat_orders() {
    let fleet = Fleet::start("orders_lost", 1, &[], 1_000);
    set_server(&fleet, 2, "e0", &["fencing=checked"]);
    fleet.fault(&fleet.store, &json!({ "lose_answers": "all" }));
    let checked = order(fleet.admin(0), "e0", "a");
    assert_eq!(checked.status, 200, "{checked:?}");
    // The lost response is that to the lease request.
    fleet.fault(&fleet.store, &json!({ "lose_answers": 1 }));
    let leased = order(fleet.admin(0), "e1", "b");
    assert_eq!(leased.status, 200, "{leased:?}");
    let taken = |i: usize| taken(fleet.engines[i].address("listen"));
    assert_eq!(taken(0), [(1, "a".to_owned())]);
    assert_eq!(taken(1), [(1, "b".to_owned())]);
    // The router still holds the lease, so that it sends the next order immediately with the same
    // fencing number.
    assert_eq!(order(fleet.admin(0), "e1", "c").status, 200);
    assert_eq!(taken(1), [(1, "b".to_owned()), (1, "c".to_owned())]);
}

/// Guards against accepting orders without an operator key, for unknown engines, with invalid
/// fields, or without a fencing number from the store.
#[test]
fn orders_without_key_engine_or_store_are_refused() {
    let fleet = Fleet::start("orders_refused", 1, &[], 1_000);
    set_server(&fleet, 2, "e0", &["fencing=checked"]);
    let body = json!({ "server": "e0", "version": "v" });
    let denied = support::post(fleet.admin(0), "/admin/orders", &body);
    assert_eq!(denied.code(), 1115, "{denied:?}");
    let table = [
        json!({ "server": "e7", "version": "v" }),
        json!({ "server": "b0", "version": "v" }),
        json!({ "server": "e0" }),
        json!({ "server": "e0", "model": "m2", "role": "decode" }),
    ];
    for body in table {
        let answer = fleet.operator_at(0, Method::Post, "/admin/orders", &body);
        assert_eq!(answer.code(), 1102, "{body}: {answer:?}");
    }
    fleet.fault(&fleet.store, &json!({ "down": true }));
    let answer = order(fleet.admin(0), "e0", "v");
    assert_eq!((answer.code(), answer.ran().as_str()), (1502, "not-run"), "{answer:?}");
    assert_eq!(taken(fleet.engines[0].address("listen")), []);
    fleet.fault(&fleet.store, &json!({ "down": false }));
    let address = fleet.admin(0).to_string();
    let operator = ["--address", &address, "--operator-key", support::OPERATOR_KEY];
    run_ok(&[&["order", "e0", "load", "--model", "m1", "--version", "v2"][..], &operator].concat());
    assert_eq!(taken(fleet.engines[0].address("listen")), [(1, "v2".to_owned())]);
}

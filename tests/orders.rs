//! Ordering and fencing of operator orders to engines.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

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
use support::Fleet;
use support::Response;
use support::get;
use support::run_command;
use support::send_as_operator;
use support::wait_until;

/// Delay of the store's responses while an order is paused.
const STORE_DELAY: Duration = Duration::from_millis(700);

/// Changes the settings of a server and waits until all routers serve the new version.
fn set_server(fleet: &Fleet, version: u64, server: &str, pairs: &[&str]) {
    let address = fleet.admin(0).to_string();
    let operator = ["--address", &address, "--operator-key", support::OPERATOR_KEY];
    run_command(&[&["server", "set", server][..], pairs, &operator].concat());
    run_command(&[&["config", "wait", &version.to_string()][..], &operator].concat());
}

/// Starts an engine that ignores fencing numbers. It runs until the test process exits.
fn start_unchecked_engine() -> SocketAddr {
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

fn send_order(admin: SocketAddr, server: &str, version: &str) -> Response {
    let body = json!({ "server": server, "version": version });
    send_as_operator(admin, Method::Post, "/admin/orders", &body)
}

/// Returns the fencing number and version of each order that an engine accepted, oldest first.
fn accepted_orders(engine: SocketAddr) -> Vec<(u64, String)> {
    let orders = get(engine, "/v1/orders").json();
    let number_and_version = |order: &Value| {
        (
            order["fence"].as_u64().expect("a fencing number"),
            order["version"].as_str().expect("a version").to_owned(),
        )
    };
    orders.as_array().expect("a list of orders").iter().map(number_and_version).collect()
}

/// Returns the router named by the incarnation at the JSON `pointer` of a store entry.
fn stored_router(fleet: &Fleet, key: &str, pointer: &str) -> Option<String> {
    let store = HttpStore::new(StoreOptions::new(vec![fleet.store.address("listen")]));
    let entries = block_on(store.range(key, false, 1)).ok()?;
    let value: Value = serde_json::from_slice(&entries.first()?.value).ok()?;
    let (router, _) = value.pointer(pointer)?.as_str()?.split_once('@')?;
    Some(router.to_owned())
}

/// Sends an order to router 0 and pauses the router `delay` after it has written the fencing number
/// to the store. It receives the store's response [`STORE_DELAY`] after that write.
fn pause_after_fencing_write(
    fleet: &Fleet,
    server: &'static str,
    delay: Duration,
) -> thread::JoinHandle<Response> {
    let store = fleet.store.address("listen");
    let revision = || get(store, "/stats").json()["revision"].as_u64();
    let slow_ms = STORE_DELAY.as_millis();
    fleet.inject_faults(&fleet.store, &json!({ "slow_ms": slow_ms }));
    let (mut before, admin) = (revision(), fleet.admin(0));
    let sender = thread::spawn(move || send_order(admin, server, "old"));
    wait_until("the fencing number is in the store", || {
        if revision() <= before {
            return None;
        }
        thread::sleep(delay);
        fleet.routers[0].signal("STOP");
        fleet.inject_faults(&fleet.store, &json!({ "slow_ms": 0 }));
        let owner = stored_router(fleet, &format!("/berylwheel/fence/{server}"), "/owner");
        if owner.as_deref() == Some("r0") {
            return Some(());
        }
        // The revision increased by another write, such as the registration of a router.
        before = revision();
        fleet.inject_faults(&fleet.store, &json!({ "slow_ms": slow_ms }));
        fleet.routers[0].signal("CONT");
        None
    });
    sender
}

/// Guards against concurrent orders that reach an engine out of order, so that the older one is in
/// force at the end.
#[test]
fn concurrent_orders_arrive_in_fencing_order() {
    let fleet = Fleet::start("orders_race", 2, &[], 1_000);
    set_server(&fleet, 2, "e0", &["fencing=checked"]);
    let engine = fleet.engines[0].address("listen");
    let senders: Vec<_> = (0..2)
        .map(|router| {
            let admin = fleet.admin(router);
            thread::spawn(move || {
                let send = |i| send_order(admin, "e0", &format!("{router}-{i}"));
                (0..5).map(send).collect::<Vec<_>>()
            })
        })
        .collect();
    let responses: Vec<Response> =
        senders.into_iter().flat_map(|sender| sender.join().expect("the thread ends")).collect();
    let mut sent = Vec::new();
    for response in &responses {
        match response.status {
            200 => sent.push(response.json()["fence"].as_u64().expect("a fencing number")),
            _ => {
                assert_eq!(
                    (response.code(), response.execution_state().as_str()),
                    (1405, "not-run"),
                    "{response:?}"
                )
            }
        }
    }
    sent.sort_unstable();
    let numbers: Vec<u64> = accepted_orders(engine).into_iter().map(|(number, _)| number).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    assert_eq!(numbers, sent);
    assert!(sent.len() >= 5, "{responses:?}");
}

/// Guards against a stale order from a router that was paused while another router sent a newer
/// one.
#[test]
fn checking_engine_gets_no_stale_order_from_paused_router() {
    let fleet = Fleet::start("orders_checked", 2, &[], 1_000);
    set_server(&fleet, 2, "e0", &["fencing=checked"]);
    let old = pause_after_fencing_write(&fleet, "e0", Duration::ZERO);
    let new = send_order(fleet.admin(1), "e0", "new");
    assert_eq!(new.status, 200, "{new:?}");
    fleet.routers[0].signal("CONT");
    let old = old.join().expect("the thread ends");
    assert_eq!(
        (old.status, old.code(), old.execution_state().as_str()),
        (409, 1405, "not-run"),
        "{old:?}"
    );
    let engine = fleet.engines[0].address("listen");
    assert_eq!(accepted_orders(engine), [(2, "new".to_owned())]);
}

/// Delays from the store's write of the fencing number to the pause of the router. The write is
/// noticed up to 20 ms late, so that the pauses spread over the response of the store, the check of
/// the lease, the connection to the engine, the order and its response.
const PAUSE_DELAYS_MS: [u64; 8] = [0, 676, 680, 684, 688, 692, 696, 700];

/// Pauses router 0 `delay` after it has written a fencing number for an engine that does not check
/// them, lets router 1 take the lease over and resumes router 0. Returns whether the order of
/// router 0 reached the engine, which is allowed only before router 1 had the lease.
fn pause_and_take_over(name: &str, delay: Duration) -> bool {
    let fleet = Fleet::start(name, 2, &[], 1_000);
    let engine = start_unchecked_engine();
    let address = format!("address={engine}");
    let pairs =
        [&address, "kinds=chat", "models=m1", "concurrency=9", "domain=d0", "fencing=ignored"];
    set_server(&fleet, 2, "e9", &pairs);
    let old = pause_after_fencing_write(&fleet, "e9", delay);
    let admin = fleet.admin(1);
    let new = thread::spawn(move || send_order(admin, "e9", "new"));
    wait_until("the other router holds the lease", || {
        let holder = stored_router(&fleet, "/berylwheel/order-lease/e9", "/owner");
        (holder.as_deref() == Some("r1")).then_some(())
    });
    // An order that router 0 sent before its pause has arrived by now; one that it sends after
    // the pause would come on top.
    let mut expected = accepted_orders(engine);
    let sent = !expected.is_empty();
    fleet.routers[0].signal("CONT");
    let old = old.join().expect("the thread ends");
    let new = new.join().expect("the thread ends");
    if sent {
        assert_eq!(expected, [(1, "old".to_owned())], "pause after {delay:?}");
        assert_ne!(old.execution_state(), "not-run", "pause after {delay:?}: {old:?}");
    } else {
        assert_eq!(
            (old.status, old.code(), old.execution_state().as_str()),
            (409, 1405, "not-run"),
            "pause after {delay:?}: {old:?}"
        );
    }
    assert_eq!(new.status, 200, "pause after {delay:?}: {new:?}");
    expected.push((2, "new".to_owned()));
    assert_eq!(accepted_orders(engine), expected, "pause after {delay:?}");
    sent
}

/// Guards against an order sent by a router whose lease expired while it was paused, to an engine
/// that does not check fencing numbers, and against a new lease holder that sends while the
/// previous one may still send. The router is paused at many points of the send path.
#[test]
fn paused_router_gives_no_order_after_its_lease() {
    let play = |delay_ms| {
        thread::spawn(move || {
            let name = format!("orders_ignored_{delay_ms}");
            pause_and_take_over(&name, Duration::from_millis(delay_ms))
        })
    };
    let plays: Vec<_> = PAUSE_DELAYS_MS.into_iter().map(play).collect();
    let sent: Vec<bool> = plays.into_iter().map(|play| play.join().expect("the play")).collect();
    println!("order sent before the pause, by delay: {sent:?}");
}

/// Guards against a new lease holder that sends before the orders of the previous one have ended.
#[test]
fn new_lease_holder_waits_for_another_lease_period() {
    let fleet = Fleet::start("orders_wait", 2, &[], 1_000);
    let engine = start_unchecked_engine();
    let address = format!("address={engine}");
    let pairs =
        [&address, "kinds=chat", "models=m1", "concurrency=9", "domain=d0", "fencing=ignored"];
    set_server(&fleet, 2, "e9", &pairs);
    let old = pause_after_fencing_write(&fleet, "e9", Duration::ZERO);
    let admin = fleet.admin(1);
    let new = thread::spawn(move || send_order(admin, "e9", "new"));
    wait_until("the other router holds the lease", || {
        let holder = stored_router(&fleet, "/berylwheel/order-lease/e9", "/owner");
        (holder.as_deref() == Some("r1")).then_some(())
    });
    let early: Vec<_> =
        accepted_orders(engine).into_iter().filter(|(_, version)| version == "new").collect();
    assert_eq!(early, [], "expected the new holder to wait for another lease period");
    fleet.routers[0].signal("CONT");
    old.join().expect("the thread ends");
    assert_eq!(new.join().expect("the thread ends").status, 200);
}

/// Guards against an order that is lost or sent twice because a response of the store was lost.
#[test]
fn lost_store_responses_neither_lose_nor_repeat_orders() {
    let fleet = Fleet::start("orders_lost", 1, &[], 1_000);
    set_server(&fleet, 2, "e0", &["fencing=checked"]);
    fleet.inject_faults(&fleet.store, &json!({ "lose_answers": "all" }));
    let checked = send_order(fleet.admin(0), "e0", "a");
    assert_eq!(checked.status, 200, "{checked:?}");
    // The lost response is that to the lease request.
    fleet.inject_faults(&fleet.store, &json!({ "lose_answers": 1 }));
    let leased = send_order(fleet.admin(0), "e1", "b");
    assert_eq!(leased.status, 200, "{leased:?}");
    let accepted = |i: usize| accepted_orders(fleet.engines[i].address("listen"));
    assert_eq!(accepted(0), [(1, "a".to_owned())]);
    assert_eq!(accepted(1), [(1, "b".to_owned())]);
    // The router still holds the lease, so that it sends the next order immediately with the same
    // fencing number.
    assert_eq!(send_order(fleet.admin(0), "e1", "c").status, 200);
    assert_eq!(accepted(1), [(1, "b".to_owned()), (1, "c".to_owned())]);
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
    let cases = [
        json!({ "server": "e7", "version": "v" }),
        json!({ "server": "b0", "version": "v" }),
        json!({ "server": "e0" }),
        json!({ "server": "e0", "model": "m2", "role": "decode" }),
    ];
    for body in cases {
        let response = fleet.send_as_operator_to(0, Method::Post, "/admin/orders", &body);
        assert_eq!(response.code(), 1102, "{body}: {response:?}");
    }
    fleet.inject_faults(&fleet.store, &json!({ "down": true }));
    let response = send_order(fleet.admin(0), "e0", "v");
    assert_eq!(
        (response.code(), response.execution_state().as_str()),
        (1502, "not-run"),
        "{response:?}"
    );
    assert_eq!(accepted_orders(fleet.engines[0].address("listen")), []);
    fleet.inject_faults(&fleet.store, &json!({ "down": false }));
    let address = fleet.admin(0).to_string();
    let operator = ["--address", &address, "--operator-key", support::OPERATOR_KEY];
    run_command(
        &[&["order", "e0", "load", "--model", "m1", "--version", "v2"][..], &operator].concat(),
    );
    assert_eq!(accepted_orders(fleet.engines[0].address("listen")), [(1, "v2".to_owned())]);
}

//! A network partition between two routers that both reach the store.

mod support;

use http_types::Method;
use serde_json::json;
use support::Fleet;
use support::caller_request;
use support::chat_request;
use support::get;
use support::run_command;
use support::send;
use support::wait_until;

/// Tokens used by each request: a prompt of three words and 100 generated tokens.
const REQUEST_TOKENS: u64 = 103;

fn wait_live_count(fleet: &Fleet, i: usize, count: usize) {
    wait_until(&format!("r{i} counts {count} live routers"), || {
        let dump = get(fleet.admin(i), "/dump").json();
        let live = dump["fleet"]["live"].as_array().map(Vec::len);
        (live == Some(count)).then_some(())
    });
}

/// Partitions the routers by giving router 1 certificates of another authority.
fn partition_routers(fleet: &Fleet) {
    (0..2).for_each(|i| wait_live_count(fleet, i, 2));
    let out = fleet.directory().display().to_string();
    run_command(&["certificates", "--out", &out, "r0", "r1"]);
    fleet.routers[1].signal("HUP");
    (0..2).for_each(|i| wait_live_count(fleet, i, 1));
}

/// Sends requests to router `i` until it refuses one, and returns the tokens they used.
fn spend_until_refused(fleet: &Fleet, i: usize) -> u64 {
    let mut used = 0;
    loop {
        let response = send(fleet.router(i), chat_request(100, false, None));
        if response.status != 200 {
            assert!(matches!(response.code(), 1201 | 1202), "{response:?}");
            return used;
        }
        used += REQUEST_TOKENS;
        assert!(used < 20_000, "used {used} tokens, more than any budget in these tests");
    }
}

/// Guards against overspending when partitioned routers share a budget that is credited during the
/// partition.
#[test]
fn partitioned_routers_do_not_overspend_a_credited_budget() {
    let fleet = Fleet::start("partition_budget", 2, &[], 3_000);
    for i in 0..2 {
        assert_eq!(send(fleet.router(i), chat_request(100, false, None)).status, 200);
    }
    partition_routers(&fleet);
    let mut used = 2 * REQUEST_TOKENS;
    used += spend_until_refused(&fleet, 0);
    let credit = json!({ "op": "credit", "id": "second", "tokens": 2_000 });
    assert_eq!(fleet.send_budget_operation(&credit).status, 200);
    used += spend_until_refused(&fleet, 1) + spend_until_refused(&fleet, 0);
    assert!(used <= 5_000, "{used}");
    // After the partition heals, all usage is billed once.
    fleet.routers[0].signal("HUP");
    (0..2).for_each(|i| wait_live_count(&fleet, i, 2));
    used += spend_until_refused(&fleet, 0) + spend_until_refused(&fleet, 1);
    assert!(used <= 5_000, "{used}");
    wait_until("all usage is billed", || (fleet.account()["billed"] == used).then_some(()));
}

/// Guards against billing or executing a request twice when a caller sends it to both sides of a
/// partition.
#[test]
fn retries_across_a_partition_are_billed_and_run_once() {
    let fleet = Fleet::start("partition_retry", 2, &[], 100_000);
    partition_routers(&fleet);
    for i in 0..2 {
        // Neither side can ask the other whether a request with this key is running; the ledger
        // bills the key once.
        let response = send(fleet.router(i), chat_request(100, false, Some("same")));
        assert!(response.status == 200 || response.execution_state() == "not-run", "{response:?}");
        let booking = caller_request(Method::Post, "/services/booking/book", Some("b"), "{}");
        assert_eq!(send(fleet.router(i), booking).status, 200);
    }
    assert_eq!(fleet.run_count("b"), 1);
    for i in 0..2 {
        assert_eq!(send(fleet.router(i), chat_request(100, false, None)).status, 200);
    }
    wait_until("all usage is billed", || {
        (fleet.account()["billed"] == 3 * REQUEST_TOKENS).then_some(())
    });
}

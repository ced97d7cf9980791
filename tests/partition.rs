//! Two routers that are cut from each other, with a top-up on one side.

mod support;

use http_types::Method;
use serde_json::json;
use support::Fleet;
use support::call;
use support::chat;
use support::get;
use support::run_ok;
use support::send;
use support::wait_until;

/// Tokens of a request of these tests: three words of prompt and what it generates.
const REQUEST: u64 = 103;

fn wait_live(fleet: &Fleet, i: usize, count: usize) {
    wait_until(&format!("r{i} has {count} live routers"), || {
        let dump = get(fleet.admin(i), "/dump").json();
        let live = dump["fleet"]["live"].as_array().map(Vec::len);
        (live == Some(count)).then_some(())
    });
}

/// Cuts router 1 from router 0: it trusts another authority from now on.
fn cut(fleet: &Fleet) {
    (0..2).for_each(|i| wait_live(fleet, i, 2));
    let out = fleet.directory().display().to_string();
    run_ok(&["certificates", "--out", &out, "r0", "r1"]);
    fleet.routers[1].signal("HUP");
    (0..2).for_each(|i| wait_live(fleet, i, 1));
}

/// Sends requests to router `i` until it refuses, and returns what they used.
fn spend_all(fleet: &Fleet, i: usize) -> u64 {
    let mut used = 0;
    loop {
        let answer = send(fleet.router(i), chat(100, false, None));
        if answer.status != 200 {
            assert!(matches!(answer.code(), 1201 | 1202), "{answer:?}");
            return used;
        }
        used += REQUEST;
        assert!(used < 20_000, "more than any budget of these tests");
    }
}

/// Guards against a budget that is spent twice because the sides do not know of each other.
#[test]
fn no_side_overspends_with_a_top_up_on_one() {
    let fleet = Fleet::start("partition_budget", 2, &[], 3_000);
    for i in 0..2 {
        assert_eq!(send(fleet.router(i), chat(100, false, None)).status, 200);
    }
    cut(&fleet);
    let mut used = 2 * REQUEST;
    used += spend_all(&fleet, 0);
    let credit = json!({ "op": "credit", "id": "second", "tokens": 2_000 });
    assert_eq!(fleet.budget_op(&credit).status, 200);
    used += spend_all(&fleet, 1) + spend_all(&fleet, 0);
    assert!(used <= 5_000, "{used}");
    // The sides heal, and nothing that was spent is lost or billed twice.
    fleet.routers[0].signal("HUP");
    (0..2).for_each(|i| wait_live(&fleet, i, 2));
    used += spend_all(&fleet, 0) + spend_all(&fleet, 1);
    assert!(used <= 5_000, "{used}");
    wait_until("all is billed", || (fleet.account()["billed"] == used).then_some(()));
}

/// Guards against two bills or two runs for what a caller sends to both sides.
#[test]
fn retries_on_the_other_side_bill_and_run_once() {
    let fleet = Fleet::start("partition_retry", 2, &[], 100_000);
    cut(&fleet);
    for i in 0..2 {
        // Neither side can ask the other whether the key runs; the ledger bills it once.
        let answer = send(fleet.router(i), chat(100, false, Some("same")));
        assert!(answer.status == 200 || answer.ran() == "not-run", "{answer:?}");
        let booking = call(Method::Post, "/services/booking/book", Some("b"), "{}");
        assert_eq!(send(fleet.router(i), booking).status, 200);
    }
    assert_eq!(fleet.runs("b"), 1);
    for i in 0..2 {
        assert_eq!(send(fleet.router(i), chat(100, false, None)).status, 200);
    }
    wait_until("all is billed", || (fleet.account()["billed"] == 3 * REQUEST).then_some(()));
}

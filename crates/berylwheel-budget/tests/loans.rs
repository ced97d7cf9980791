//! Tests of loans between holders, with and without a reachable store.

mod lending;

use std::net::SocketAddr;

use berylwheel_budget::Holder;
use berylwheel_budget::HolderAction;
use berylwheel_budget::HolderPolicy;
use berylwheel_types::Code;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;
use lending::Action;
use lending::World;
use lending::worlds;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRunner;

/// During a store outage, a request must not be refused if another holder has the tokens.
#[test]
fn a_holder_without_tokens_borrows_while_the_store_is_down() {
    let mut world = World::new(2, 100_000);
    world.request(0, 100);
    world.advance(100);
    let home = world.home();
    world.store_up = false;
    world.advance(3_000);
    world.request(1 - home, 50);
    world.settle_all();
    assert_eq!(world.refused(), []);
    world.end_all(30);
    world.store_up = true;
    world.advance(3_000);
    world.settle_all();
    assert_eq!((world.billed(), world.used()), (60, 60));
}

/// A request must not wait until its limit if neither the store nor a lender can answer.
#[test]
fn a_request_without_store_and_lenders_is_refused_early() {
    let mut world = World::new(2, 100_000);
    world.store_up = false;
    world.request(0, 50);
    world.settle_all();
    world.advance(400);
    world.settle_all();
    assert_eq!(world.refused(), [Code::BudgetUnreachable]);
}

/// If a borrower ends without a report, its loan must be billed in full. Otherwise the tokens could
/// be spent twice.
#[test]
fn a_loan_without_a_report_is_billed_in_full() {
    let mut world = World::new(2, 100_000);
    world.request(0, 100);
    world.advance(100);
    let home = world.home();
    world.store_up = false;
    world.advance(3_000);
    world.request(1 - home, 50);
    world.settle_all();
    world.kill(1 - home);
    world.end_all(10);
    world.store_up = true;
    world.advance(40_000);
    world.settle_all();
    assert_eq!(world.billed(), world.used());
}

/// If a request is cancelled before it uses any tokens, for example because no backend server is
/// free, the lender must not bill its loan.
#[test]
fn an_unused_loan_is_returned() {
    let mut world = World::new(2, 100_000);
    world.request(0, 100);
    world.advance(100);
    let home = world.home();
    world.end_all(10);
    world.advance(3_000);
    world.request(1 - home, 50);
    world.settle_all();
    world.withdraw_one();
    world.advance(40_000);
    assert_eq!(world.refused(), []);
    assert_eq!((world.billed(), world.used()), (10, 10));
}

/// If a lender's answer arrives after the request was refused, the loan must be returned. Otherwise
/// the tokens would stay reserved.
#[test]
fn a_loan_granted_too_late_is_returned() {
    let mut world = World::new(2, 100_000);
    world.request(0, 100);
    world.advance(100);
    let home = world.home();
    world.store_up = false;
    world.advance(3_000);
    world.hold_messages = true;
    world.request(1 - home, 50);
    world.settle_all();
    world.advance(2_000);
    world.settle_all();
    assert_eq!(world.refused(), [Code::BudgetUnreachable]);
    world.hold_messages = false;
    world.settle_all();
    world.end_all(10);
    world.store_up = true;
    world.advance(3_000);
    world.settle_all();
    assert_eq!(world.billed(), 10);
}

/// A departing home must return its tokens before the drain begins, and another holder must become
/// the home. No request may be refused in between.
#[test]
fn a_departing_home_returns_its_tokens_and_others_serve() {
    let mut world = World::new(2, 100_000);
    world.request(0, 100);
    world.advance(100);
    let home = world.home();
    world.end_all(100);
    world.depart(home);
    world.advance(1_500);
    assert_eq!(world.held_by(home), 0);
    world.request(home, 50);
    world.request(1 - home, 50);
    world.advance(100);
    assert_eq!(world.refused(), []);
}

/// A departing holder must not request immediate polls for home checks, since it no longer performs
/// them and the polls would repeat forever.
#[test]
fn a_departing_holder_schedules_no_home_check() {
    let now = Timestamp::from_millis(1_000_000);
    let mut holder = Holder::new(run("r1@1"), HolderPolicy::unrecorded(Millis(10_000)));
    holder.set_lenders(now, vec![run("r2@1")]);
    let later = now + Millis(2_000);
    assert!(holder.next_poll().is_some_and(|at| at <= later));
    holder.depart(now);
    assert!(holder.poll(later).is_empty());
    assert!(holder.next_poll().is_none_or(|at| at > later), "{:?}", holder.next_poll());
}

/// The first request of a workspace must be served even if it arrives during a store outage.
#[test]
fn an_unused_budget_is_served_during_an_outage() {
    let mut world = World::new(2, 100_000);
    world.advance(2_000);
    world.store_up = false;
    world.advance(500);
    for at in [0, 1, 0, 1] {
        world.request(at, 500);
        world.advance(100);
    }
    assert_eq!(world.refused(), []);
}

/// The time before the first request must not count as time without spend. Otherwise the rate
/// estimate is too low, and the holder keeps too few tokens for an outage.
#[test]
fn idle_time_before_the_first_request_does_not_shrink_the_grant() {
    let held = |quiet: u64| {
        let mut world = World::new(1, 1_000_000);
        world.advance(4_000 + quiet);
        for _ in 0..20 {
            world.request(0, 5_000);
            world.advance(100);
            world.end_all(5_000);
        }
        world.advance(1_000);
        world.held_by(0)
    };
    let (busy, quiet) = (held(0), held(30_000));
    assert!(quiet * 10 >= busy * 9, "{quiet} tokens held after an idle start, {busy} without");
}

/// When a VM fails and its router restarts some seconds later, the new process must return the
/// tokens that the old one cannot have spent. The row bounds the spend as a function of the time
/// since the last write.
#[test]
fn a_restarted_router_returns_part_of_its_earlier_grant() {
    let left_of = |dark: u64| {
        let mut world = World::new(3, 1_000_000);
        world.advance(2_000);
        let home = world.home();
        for _ in 0..30 {
            world.request(home, 2_000);
            world.advance(100);
            world.end_all(2_000);
        }
        let held = world.held_by(home);
        (world.kill_for(home, dark), held)
    };
    for dark in [500, 1_500, 2_500] {
        let (left, held) = left_of(dark);
        assert!(left * 2 <= held, "down for {dark} ms: {left} of {held} tokens are outstanding");
    }
    let (left, held) = left_of(3_500);
    assert!(left < held, "{left} of {held} tokens are outstanding");
    let (left, held) = left_of(30_000);
    assert_eq!(left, held, "all tokens may have been spent by then");
}

/// A killed router must leave at most a twentieth of a budget unavailable, so that the rest can
/// still be served.
#[test]
fn a_kill_strands_at_most_a_twentieth() {
    let mut world = World::new(3, 1_000_000);
    world.advance(2_000);
    let home = world.home();
    for _ in 0..30 {
        world.request(home, 500);
        world.advance(100);
        world.end_all(500);
    }
    let left = world.kill_for(home, 500);
    assert!(left <= 50_000, "{left} of 1,000,000 tokens are outstanding");
}

/// Default number of histories. `LOAN_HISTORIES` overrides it.
const CASES: u32 = 1_000;

fn check(steps: &[Action]) -> Result<(), TestCaseError> {
    let mut world = World::new(3, 5_000);
    for step in steps {
        world.step(step);
        prop_assert!(world.spent() <= world.highest, "{} of {}", world.spent(), world.highest);
    }
    world.recover();
    prop_assert!(world.billed() <= world.highest);
    if !world.lossy {
        prop_assert_eq!(world.billed(), world.used());
    }
    Ok(())
}

/// No history of requests, outages, kills, lost and late messages, and changes of the total may
/// lead to overspend or to bills that differ from the usage.
#[test]
fn loans_never_overspend() {
    let cases = std::env::var("LOAN_HISTORIES").ok().and_then(|cases| cases.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    };
    match TestRunner::new(config).run(&worlds(), |steps| check(&steps)) {
        Ok(()) => {}
        Err(TestError::Fail(fault, steps)) => panic!("{fault}: {steps:?}"),
        Err(error) => panic!("{error}"),
    }
}

/// A restarted router must read every page to return the tokens of its earlier runs. On the first
/// run there are none, so it must not read every page.
#[test]
fn only_a_restarted_router_reads_all_pages() {
    let reads = |later: bool| {
        let now = Timestamp::from_millis(1_000_000);
        let mut holder = Holder::new(run("r1@2"), HolderPolicy::unrecorded(Millis(10_000)));
        holder.set_lenders(now, (2..40).map(|n| run(&format!("r{n}@1"))).collect());
        let total = |n: u32| (format!("w{n}/main").parse().expect("budget"), Tokens(1_000));
        holder.set_totals(now, Version(1), (0..24).map(total).collect());
        if later {
            holder.note_earlier();
        }
        holder.set_address(now, now, Some(SocketAddr::from(([10, 0, 0, 1], 7_000))));
        let actions = holder.poll(now + Millis(1_000));
        actions.iter().filter(|action| matches!(action, HolderAction::Read(_))).count()
    };
    let (first, later) = (reads(false), reads(true));
    assert!(first <= 3 && later >= 15, "first run read {first} pages, later run {later}");
}

fn run(name: &str) -> Incarnation {
    name.parse().expect("incarnation")
}

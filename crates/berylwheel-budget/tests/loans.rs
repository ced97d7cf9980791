//! Tests of loans between holders, with and without a reachable store.

mod lending;

use std::net::SocketAddr;

use berylwheel_budget::Holder;
use berylwheel_budget::HolderAction;
use berylwheel_budget::HolderPolicy;
use berylwheel_budget::LedgerPage;
use berylwheel_budget::ReserveRequest;
use berylwheel_budget::WriteResult;
use berylwheel_types::BudgetId;
use berylwheel_types::Code;
use berylwheel_types::FastMap;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::StoreEra;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;
use lending::Action;
use lending::Simulation;
use lending::action_sequences;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRunner;

/// During a store outage, a request must not be refused if another holder has the tokens.
#[test]
fn a_holder_without_tokens_borrows_while_the_store_is_down() {
    let mut sim = Simulation::new(2, 100_000);
    sim.request(0, 100);
    sim.advance(100);
    let home = sim.home();
    sim.store_up = false;
    sim.advance(3_000);
    sim.request(1 - home, 50);
    sim.run_until_idle();
    assert_eq!(sim.refused(), []);
    sim.finish_all(30);
    sim.store_up = true;
    sim.advance(3_000);
    sim.run_until_idle();
    assert_eq!((sim.billed(), sim.used()), (60, 60));
}

/// A request must not wait until its limit if neither the store nor a lender can answer.
#[test]
fn a_request_without_store_and_lenders_is_refused_early() {
    let mut sim = Simulation::new(2, 100_000);
    sim.store_up = false;
    sim.request(0, 50);
    sim.run_until_idle();
    sim.advance(400);
    sim.run_until_idle();
    assert_eq!(sim.refused(), [Code::BudgetUnreachable]);
}

/// If a borrower ends without a report, its loan must be billed in full. Otherwise the tokens could
/// be spent twice.
#[test]
fn a_loan_without_a_report_is_billed_in_full() {
    let mut sim = Simulation::new(2, 100_000);
    sim.request(0, 100);
    sim.advance(100);
    let home = sim.home();
    sim.store_up = false;
    sim.advance(3_000);
    sim.request(1 - home, 50);
    sim.run_until_idle();
    sim.kill(1 - home);
    sim.finish_all(10);
    sim.store_up = true;
    sim.advance(40_000);
    sim.run_until_idle();
    assert_eq!(sim.billed(), sim.used());
}

/// If a request is cancelled before it uses any tokens, for example because no backend server is
/// free, the lender must not bill its loan.
#[test]
fn an_unused_loan_is_returned() {
    let mut sim = Simulation::new(2, 100_000);
    sim.request(0, 100);
    sim.advance(100);
    let home = sim.home();
    sim.finish_all(10);
    sim.advance(3_000);
    sim.request(1 - home, 50);
    sim.run_until_idle();
    sim.cancel_first();
    sim.advance(40_000);
    assert_eq!(sim.refused(), []);
    assert_eq!((sim.billed(), sim.used()), (10, 10));
}

/// If a lender's response arrives after the request was refused, the loan must be returned.
/// Otherwise the tokens would stay reserved.
#[test]
fn a_loan_granted_too_late_is_returned() {
    let mut sim = Simulation::new(2, 100_000);
    sim.request(0, 100);
    sim.advance(100);
    let home = sim.home();
    sim.store_up = false;
    sim.advance(3_000);
    sim.delay_messages = true;
    sim.request(1 - home, 50);
    sim.run_until_idle();
    sim.advance(2_000);
    sim.run_until_idle();
    assert_eq!(sim.refused(), [Code::BudgetUnreachable]);
    sim.delay_messages = false;
    sim.run_until_idle();
    sim.finish_all(10);
    sim.store_up = true;
    sim.advance(3_000);
    sim.run_until_idle();
    assert_eq!(sim.billed(), 10);
}

/// A departing home must return its tokens before the drain begins, and another holder must become
/// the home. No request may be refused in between.
#[test]
fn a_departing_home_returns_its_tokens_and_others_serve() {
    let mut sim = Simulation::new(2, 100_000);
    sim.request(0, 100);
    sim.advance(100);
    let home = sim.home();
    sim.finish_all(100);
    sim.depart(home);
    sim.advance(1_500);
    assert_eq!(sim.held_by(home), 0);
    sim.request(home, 50);
    sim.request(1 - home, 50);
    sim.advance(100);
    assert_eq!(sim.refused(), []);
}

/// A departing holder must not request immediate polls for home checks, since it no longer performs
/// them and the polls would repeat forever.
#[test]
fn a_departing_holder_schedules_no_home_check() {
    let now = Timestamp::from_millis(1_000_000);
    let mut holder =
        Holder::new(incarnation("r1@1"), HolderPolicy::without_usage_records(Millis(10_000)));
    holder.set_lenders(now, vec![incarnation("r2@1")]);
    let later = now + Millis(2_000);
    assert!(holder.next_poll().is_some_and(|at| at <= later));
    holder.depart(now);
    assert!(holder.poll(later).is_empty());
    assert!(holder.next_poll().is_none_or(|at| at > later), "{:?}", holder.next_poll());
}

/// The first request of a workspace must be served even if it arrives during a store outage.
#[test]
fn an_unused_budget_is_served_during_an_outage() {
    let mut sim = Simulation::new(2, 100_000);
    sim.advance(2_000);
    sim.store_up = false;
    sim.advance(500);
    for at in [0, 1, 0, 1] {
        sim.request(at, 500);
        sim.advance(100);
    }
    assert_eq!(sim.refused(), []);
}

/// The time before the first request must not count as time without spend. Otherwise the rate
/// estimate is too low, and the holder keeps too few tokens for an outage.
#[test]
fn idle_time_before_the_first_request_does_not_shrink_the_grant() {
    let held = |idle_ms: u64| {
        let mut sim = Simulation::new(1, 1_000_000);
        sim.advance(4_000 + idle_ms);
        for _ in 0..20 {
            sim.request(0, 5_000);
            sim.advance(100);
            sim.finish_all(5_000);
        }
        sim.advance(1_000);
        sim.held_by(0)
    };
    let (busy, idle) = (held(0), held(30_000));
    assert!(idle * 10 >= busy * 9, "{idle} tokens held after an idle start, {busy} without");
}

/// When a VM fails and its router restarts some seconds later, the new process must return the
/// tokens that the old one cannot have spent. The row bounds the spend as a function of the time
/// since the last write.
#[test]
fn a_restarted_router_returns_part_of_its_earlier_grant() {
    let outstanding_after = |downtime: u64| {
        let mut sim = Simulation::new(3, 1_000_000);
        sim.advance(2_000);
        let home = sim.home();
        for _ in 0..30 {
            sim.request(home, 2_000);
            sim.advance(100);
            sim.finish_all(2_000);
        }
        let held = sim.held_by(home);
        (sim.kill_and_restart(home, downtime), held)
    };
    for downtime in [500, 1_500, 2_500] {
        let (outstanding, held) = outstanding_after(downtime);
        assert!(
            outstanding * 2 <= held,
            "down for {downtime} ms: {outstanding} of {held} tokens are outstanding"
        );
    }
    let (outstanding, held) = outstanding_after(3_500);
    assert!(outstanding < held, "{outstanding} of {held} tokens are outstanding");
    let (outstanding, held) = outstanding_after(30_000);
    assert_eq!(outstanding, held, "all tokens may have been spent by then");
}

/// A killed router must leave at most a twentieth of a budget unavailable, so that the rest can
/// still be served.
#[test]
fn a_kill_strands_at_most_a_twentieth() {
    let mut sim = Simulation::new(3, 1_000_000);
    sim.advance(2_000);
    let home = sim.home();
    for _ in 0..30 {
        sim.request(home, 500);
        sim.advance(100);
        sim.finish_all(500);
    }
    let outstanding = sim.kill_and_restart(home, 500);
    assert!(outstanding <= 50_000, "{outstanding} of 1,000,000 tokens are outstanding");
}

/// Default number of histories. `LOAN_HISTORIES` overrides it.
const CASES: u32 = 1_000;

fn check(steps: &[Action]) -> Result<(), TestCaseError> {
    let mut sim = Simulation::new(3, 5_000);
    sim.wrong_clocks = true;
    for step in steps {
        sim.step(step);
        prop_assert!(sim.spent() <= sim.max_total, "{} of {}", sim.spent(), sim.max_total);
    }
    sim.recover();
    prop_assert!(sim.billed() <= sim.max_total);
    if !sim.lossy {
        prop_assert_eq!(sim.billed(), sim.used());
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
    match TestRunner::new(config).run(&action_sequences(), |steps| check(&steps)) {
        Ok(()) => {}
        Err(TestError::Fail(fault, steps)) => panic!("{fault}: {steps:?}"),
        Err(error) => panic!("{error}"),
    }
}

/// A restarted router must read every page to return the tokens of its earlier runs. On the first
/// run there are none, so it must not read every page.
#[test]
fn only_a_restarted_router_reads_all_pages() {
    let page_reads = |later: bool| {
        let now = Timestamp::from_millis(1_000_000);
        let mut holder =
            Holder::new(incarnation("r1@2"), HolderPolicy::without_usage_records(Millis(10_000)));
        holder.set_lenders(now, (2..40).map(|n| incarnation(&format!("r{n}@1"))).collect());
        let total = |n: u32| (format!("w{n}/main").parse().expect("budget"), Tokens(1_000));
        holder.set_totals(now, Version(1), (0..24).map(total).collect());
        if later {
            holder.note_earlier_run();
        }
        holder.set_address(now, now, SocketAddr::from(([10, 0, 0, 1], 7_000)), true);
        let actions = holder.poll(now + Millis(1_000));
        actions.iter().filter(|action| matches!(action, HolderAction::Read(_))).count()
    };
    let (first, later) = (page_reads(false), page_reads(true));
    assert!(first <= 3 && later >= 15, "first run read {first} pages, later run {later}");
}

fn incarnation(name: &str) -> Incarnation {
    name.parse().expect("incarnation")
}

/// The lender that a holder asks first for tokens of a budget.
fn first_lender(holder: &mut Holder, now: Timestamp, budget: &str, number: usize) -> Incarnation {
    let reserve = ReserveRequest {
        request: format!("q{number}:{budget}").parse().unwrap(),
        budget: budget.parse().unwrap(),
        key: None,
        amount: Tokens(100),
        deadline: now + Millis(60_000),
    };
    holder.reserve(now, reserve);
    let lender = holder.poll(now).into_iter().find_map(|action| match action {
        HolderAction::Borrow { lender, .. } => Some(lender),
        _ => None,
    });
    lender.unwrap_or_else(|| "own@1".parse().unwrap())
}

/// Guards against homes that were looked up before a change of the holders and kept, and against a
/// look at all holders for each request.
#[test]
fn known_homes_follow_each_change_of_the_holders() {
    let run = |i: usize, number: u64| format!("r{i}@{number}").parse::<Incarnation>().unwrap();
    let new_holder = || {
        let policy = HolderPolicy::without_usage_records(Millis(10_000));
        Holder::new("own@1".parse().unwrap(), policy)
    };
    let now = Timestamp::from_millis(1_000);
    let budgets: Vec<String> = (0..40).map(|i| format!("w{i}/main")).collect();
    let mut holder = new_holder();
    let mut lenders: Vec<Incarnation> = (0..295).map(|i| run(i, 1)).collect();
    for round in 0..4 {
        match round {
            0 => {}
            1 => lenders.retain(|lender| lender.router.as_str().len() % 2 == 0),
            2 => lenders.extend((300..400).map(|i| run(i, 1))),
            _ => lenders.iter_mut().take(50).for_each(|lender| lender.number = 2),
        }
        holder.set_lenders(now, lenders.clone());
        let mut fresh = new_holder();
        fresh.set_lenders(now, lenders.clone());
        for budget in &budgets {
            let known = first_lender(&mut holder, now, budget, round);
            assert_eq!(known, first_lender(&mut fresh, now, budget, round), "{budget} {round}");
        }
        let visits = holder.visits();
        for (i, budget) in budgets.iter().enumerate() {
            first_lender(&mut holder, now, budget, 1_000 + 100 * round + i);
        }
        assert_eq!(holder.visits(), visits, "a known home is looked up again");
    }
}

/// Guards against a holder that takes the store for unreachable after an outage has ended, because
/// it refuses all requests that would make it read the page again.
#[test]
fn a_holder_that_refused_in_an_outage_uses_the_store_after_it() {
    let policy = HolderPolicy::without_usage_records(Millis(10_000));
    let mut holder = Holder::new("own@1".parse().unwrap(), policy);
    let home: Incarnation = "r1@1".parse().unwrap();
    let mut now = Timestamp::from_millis(1_000);
    holder.set_lenders(now, vec![home.clone()]);
    let budgets = (0..100).map(|i| format!("w{i}/main"));
    let of_home = |holder: &mut Holder, budget: &String| {
        let lender = first_lender(holder, now, budget, 1);
        holder.release(now, &format!("q1:{budget}").parse().unwrap());
        lender == home
    };
    let budget = budgets.into_iter().find(|budget| of_home(&mut holder, budget)).unwrap();
    let totals = FastMap::from_iter([(budget.parse().unwrap(), Tokens(1_000_000))]);
    holder.set_totals(now, Version(1), totals);
    let reserve = |number: usize, now: Timestamp| ReserveRequest {
        request: format!("q{number}").parse().unwrap(),
        budget: budget.parse().unwrap(),
        key: None,
        amount: Tokens(100),
        deadline: now + Millis(60_000),
    };
    let mut refused = 0;
    // The store and the home answer nothing for two seconds, then the store answers.
    holder.reserve(now, reserve(2, now));
    for step in 0..200 {
        now += Millis(50);
        if step == 150 {
            holder.set_lenders(now, Vec::new());
            holder.reserve(now, reserve(3, now));
        }
        for action in holder.poll(now) {
            match action {
                HolderAction::Read(page) if step < 40 => holder.read_failed(now, page),
                HolderAction::Read(page) => holder.page_read(now, page, 0, LedgerPage::default()),
                HolderAction::Write { page, expected, .. } => {
                    holder.page_written(now, page, WriteResult::Written(expected + 1));
                }
                HolderAction::Refused(..) => refused += 1,
                _ => {}
            }
        }
    }
    assert_eq!(refused, 1, "refused although the store answers");
}

/// Guards against granting tokens shortly after a restore that a run holds of which the page knows
/// nothing, since its first write is lost.
#[test]
fn no_tokens_are_granted_shortly_after_a_restore() {
    let run = incarnation("r1@1");
    let budget: BudgetId = "w1/main".parse().unwrap();
    let start = Timestamp::from_millis(1_000_000);
    let mut holder = Holder::new(run.clone(), HolderPolicy::without_usage_records(Millis(10_000)));
    holder.set_era(start, StoreEra(1));
    holder.set_era(start, StoreEra(2));
    holder.set_lenders(start, vec![incarnation("r2@1")]);
    holder.set_totals(start, Version(1), FastMap::from_iter([(budget.clone(), Tokens(1_000))]));
    let (mut page, mut revision) = (LedgerPage::default(), 0);
    let mut granted_at = None;
    for step in 0..400 {
        let now = start + Millis(20 * step);
        if step % 10 == 0 {
            holder.reserve(
                now,
                ReserveRequest {
                    request: format!("q{step}").parse().unwrap(),
                    budget: budget.clone(),
                    key: None,
                    amount: Tokens(10),
                    deadline: now + Millis(60_000),
                },
            );
        }
        for action in holder.poll(now) {
            match action {
                HolderAction::Read(id) => holder.page_read(now, id, revision, page.clone()),
                HolderAction::Write { page: id, content, .. } => {
                    (page, revision) = (content, revision + 1);
                    holder.page_written(now, id, WriteResult::Written(revision));
                }
                _ => {}
            }
        }
        if page.account(&budget).is_some_and(|account| account.held_by(&run) > Tokens::ZERO) {
            granted_at.get_or_insert(now.since(start));
        }
    }
    assert!(granted_at.is_some_and(|time| time >= Millis(5_000)), "{granted_at:?}");
}

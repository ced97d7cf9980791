//! Retry budget, deadline-based admission and queue limits of a kind.

mod common;

use berylwheel_schedule::SchedulePolicy;
use berylwheel_schedule::Scheduler;
use berylwheel_types::Code;
use berylwheel_types::ExecutionState;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use common::limits;
use common::seeded_config;
use common::work;
use proptest::prelude::*;

const START: Timestamp = Timestamp::from_millis(1_000);

proptest! {
    #![proptest_config(seeded_config(31))]

    /// Guards against retries that amplify a load surge: for any load, the granted retries stay
    /// below 10 % of the started requests plus the burst limit.
    #[test]
    fn retries_stay_within_budget(
        steps in prop::collection::vec((0..30usize, 0..4usize, 0..9usize), 1..60),
    ) {
        let policy = SchedulePolicy::default();
        let mut scheduler = Scheduler::new(policy);
        let kind = "k0".parse().unwrap();
        scheduler.set_kind_limits("k0".parse().unwrap(), limits(5, 2));
        let (mut now, mut started, mut granted, mut number) = (START, 0u32, 0u32, 0);
        for (submissions, starts, retries) in steps {
            for _ in 0..submissions {
                number += 1;
                let work = work(&format!("q{number}"), "w0", "k0", Rank::Normal, 10);
                let _ = scheduler.submit(now, work);
            }
            now += Millis(10);
            for _ in 0..starts {
                let Some(work) = scheduler.start_next(now, &mut |_| true) else {
                    break;
                };
                started += 1;
                // Restarting the request for a retry must not refill the budget.
                scheduler.requeue(now, &work.request);
                if let Some(work) = scheduler.start_next(now, &mut |_| true) {
                    scheduler.finish(now, &work.request, Tokens(10));
                }
            }
            granted += (0..retries).filter(|_| scheduler.take_retry(now, &kind)).count() as u32;
            let allowed = policy.retry_burst.value() + 0.1 * f64::from(started);
            prop_assert!(
                f64::from(granted) <= allowed + 1e-6,
                "{granted} retries granted for {started} started requests"
            );
        }
    }
}

/// Guards against unbounded accumulation of retries while a kind is healthy.
#[test]
fn retry_budget_is_capped() {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    let kind = "k0".parse().unwrap();
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(5, 2));
    for number in 0..1_000 {
        let work = work(&format!("q{number}"), "w0", "k0", Rank::Normal, 10);
        scheduler.submit(START, work).unwrap();
        let work = scheduler.start_next(START, &mut |_| true).unwrap();
        scheduler.finish(START, &work.request, Tokens(10));
    }
    assert_eq!((0..100).filter(|_| scheduler.take_retry(START, &kind)).count(), 10);
}

/// Guards against a state dump that shows no retry where one is granted.
#[test]
fn dump_shows_the_retries_that_are_granted() {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    let kind = "k0".parse().unwrap();
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(5, 2));
    while scheduler.take_retry(START, &kind) {}
    for number in 0..40 {
        let work = work(&format!("q{number}"), "w0", "k0", Rank::Normal, 10);
        scheduler.submit(START, work).unwrap();
        let work = scheduler.start_next(START, &mut |_| true).unwrap();
        scheduler.finish(START, &work.request, Tokens(10));
        let shown = scheduler.dump().kinds[0].retries;
        assert_eq!(scheduler.take_retry(START, &kind), shown > 0, "after {} requests", number + 1);
    }
}

/// Serves 20 requests of 100 tokens from a backlog, one every 100 ms, and starts one more. Returns
/// the time.
fn run_backlog(scheduler: &mut Scheduler, queued: usize) -> Timestamp {
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(200, 1));
    let mut now = START;
    for number in 0..queued + 20 {
        let work = work(&format!("b{number}"), "w0", "k0", Rank::Normal, 100);
        scheduler.submit(now, work).unwrap();
    }
    for _ in 0..20 {
        let work = scheduler.start_next(now, &mut |_| true).unwrap();
        now += Millis(100);
        scheduler.finish(now, &work.request, Tokens(100));
    }
    scheduler.start_next(now, &mut |_| true).unwrap();
    now
}

/// Guards against queueing requests that cannot complete before their deadline, and against
/// refusing those that can.
#[test]
fn admission_checks_deadline() {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    let now = run_backlog(&mut scheduler, 41);
    // The 40 requests ahead take 4 s.
    let mut late = work("late", "w0", "k0", Rank::Normal, 100);
    late.deadline = now + Millis(3_000);
    let refusal = scheduler.submit(now, late).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::DeadlineUnmet, ExecutionState::NotRun));
    let retry = refusal.retry_after.unwrap().0;
    assert!((500..2_500).contains(&retry), "retry after {retry} ms");
    let mut early = work("early", "w0", "k0", Rank::Normal, 100);
    early.deadline = now + Millis(6_000);
    assert_eq!(scheduler.submit(now, early), Ok(()));
    // Fair queueing serves another workspace after at most one request of the first.
    let mut other = work("other", "w1", "k0", Rank::Normal, 100);
    other.deadline = now + Millis(1_000);
    assert_eq!(scheduler.submit(now, other), Ok(()));
}

/// Guards against a kind that keeps refusing requests after its backend servers were slow. While
/// nothing is running, a request is admitted so that it can correct the estimate.
#[test]
fn idle_kind_admits_after_slow_service() {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(10, 4));
    scheduler.submit(START, work("slow", "w0", "k0", Rank::Normal, 10)).unwrap();
    scheduler.start_next(START, &mut |_| true).unwrap();
    let now = START + Millis(60_000);
    scheduler.finish(now, &"slow".parse().unwrap(), Tokens(10));
    let mut probe = work("probe", "w0", "k0", Rank::Normal, 10);
    probe.deadline = now + Millis(1_000);
    assert_eq!(scheduler.submit(now, probe), Ok(()));
    assert_eq!(scheduler.take_dropped(now), []);
}

/// Guards against refusing short requests because long requests of the same kind take much time.
#[test]
fn short_request_is_expected_to_take_less() {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(10, 4));
    for name in ["long", "running"] {
        scheduler.submit(START, work(name, "w0", "k0", Rank::Normal, 1_000)).unwrap();
        scheduler.start_next(START, &mut |_| true).unwrap();
    }
    let now = START + Millis(10_000);
    scheduler.finish(now, &"long".parse().unwrap(), Tokens(1_000));
    let mut submit = |name, cost| {
        let mut work = work(name, "w0", "k0", Rank::Normal, cost);
        work.deadline = now + Millis(2_000);
        scheduler.submit(now, work).map_err(|refusal| refusal.code)
    };
    assert_eq!(submit("short", 100), Ok(()));
    assert_eq!(submit("late", 1_000), Err(Code::DeadlineUnmet));
}

/// Guards against refusals after a hang has ended. An empty queue has no delay, even though no
/// queued request was started during the hang and the measured rate is low.
#[test]
fn empty_queue_has_no_delay() {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    let mut now = run_backlog(&mut scheduler, 2);
    now += Millis(20_000);
    assert_eq!(scheduler.take_dropped(now), []);
    scheduler.cancel(&"b21".parse().unwrap());
    scheduler.finish(now, &"b20".parse().unwrap(), Tokens(100));
    let mut work = work("q", "w0", "k0", Rank::Normal, 100);
    work.deadline = now + Millis(1_000);
    assert_eq!(scheduler.submit(now, work), Ok(()));
}

/// Guards against refusals with the wrong code or without `retry_after`.
#[test]
fn limits_refuse_requests() {
    let policy = SchedulePolicy { workspace_limit: 4, ..SchedulePolicy::default() };
    let mut scheduler = Scheduler::new(policy);
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(3, 1));
    scheduler.set_workspace_limit("w1".parse().unwrap(), Some(1));
    let mut submit = |name, workspace| {
        let refusal =
            scheduler.submit(START, work(name, workspace, "k0", Rank::Normal, 10)).err()?;
        assert_eq!(refusal.ran, ExecutionState::NotRun);
        assert!(refusal.retry_after.is_some_and(|t| t >= Millis(100)));
        Some(refusal.code)
    };
    assert_eq!(submit("q1", "w1"), None);
    assert_eq!(submit("q2", "w1"), Some(Code::WorkspaceLimit));
    assert_eq!(submit("q3", "w0"), None);
    assert_eq!(submit("q4", "w0"), None);
    assert_eq!(submit("q5", "w0"), Some(Code::QueueFull));
}

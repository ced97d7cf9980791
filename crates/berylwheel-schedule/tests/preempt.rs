//! Eviction, preemption and requeueing.

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
use common::work;

const START: Timestamp = Timestamp::from_millis(1_000);

/// Guards against a large workspace that locks a small one out of a full queue. Requests that are
/// more urgent, or whose workspace is not larger, must not be evicted.
#[test]
fn small_workspace_evicts_larger() {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(4, 1));
    for (name, rank) in [("u", Rank::Urgent), ("n1", Rank::Normal), ("n2", Rank::Normal)] {
        scheduler.submit(START, work(name, "large", "k0", rank, 10)).unwrap();
    }
    scheduler.submit(START, work("s1", "small", "k0", Rank::Normal, 10)).unwrap();
    let mut submit = |name, rank| scheduler.submit(START, work(name, "small", "k0", rank, 10));
    let refusal = submit("s0", Rank::Batch).unwrap_err();
    assert_eq!(refusal.code, Code::QueueFull, "a batch request must not evict a normal one");
    assert_eq!(submit("s2", Rank::Normal), Ok(()));
    assert_eq!(submit("s3", Rank::Normal).unwrap_err().code, Code::QueueFull);
    let [(evicted, refusal)] = scheduler.take_dropped(START).try_into().unwrap();
    assert_eq!(evicted.as_str(), "n2");
    assert_eq!((refusal.code, refusal.ran), (Code::QueueFull, ExecutionState::NotRun));
    assert!(refusal.retry_after.is_some());
}

/// Returns a scheduler with `batch` running batch requests and one queued urgent request, and the
/// time from which the urgent request triggers preemption.
fn with_urgent_waiting(batch: usize) -> (Scheduler, Timestamp) {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    scheduler.set_kind_limits("bulk".parse().unwrap(), limits(20, 20));
    scheduler.set_kind_limits("chat".parse().unwrap(), limits(20, 20));
    for number in 0..batch {
        let work = work(&format!("b{number}"), "w0", "bulk", Rank::Batch, 100);
        scheduler.submit(START + Millis(number as u64), work.clone()).unwrap();
        scheduler.start_next(START + Millis(number as u64), &mut |_| true).unwrap();
    }
    scheduler.submit(START, work("u", "w0", "chat", Rank::Urgent, 100)).unwrap();
    let half = SchedulePolicy::default().rank(Rank::Urgent).latency_target.0 / 2;
    (scheduler, START + Millis(half + 1))
}

/// Guards against preemption that is too early, that hits a request which has produced a token,
/// that happens twice for one urgent request, or that hits the last batch request.
#[test]
fn batch_is_preempted_for_urgent() {
    let (mut scheduler, due) = with_urgent_waiting(3);
    assert_eq!(scheduler.preempt(Timestamp::from_millis(due.as_millis() - 1)), []);
    scheduler.record_first_token(due, &"b2".parse().unwrap());
    let [chosen] = scheduler.preempt(due).try_into().unwrap();
    assert_eq!(chosen.as_str(), "b1", "most recently started request without a first token");
    assert_eq!(scheduler.preempt(due), []);
    scheduler.requeue(due, &chosen);
    assert_eq!(scheduler.start_next(due, &mut |_| true).unwrap().request.as_str(), "u");
    assert_eq!(scheduler.start_next(due, &mut |_| true).unwrap().request, chosen);

    let (mut scheduler, due) = with_urgent_waiting(1);
    assert_eq!(scheduler.preempt(due), [], "the batch rank keeps its minimum share");
}

/// Guards against preempted requests that restart before the urgent requests they were preempted
/// for.
#[test]
fn urgent_starts_before_preempted() {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    scheduler.set_kind_limits("bulk".parse().unwrap(), limits(20, 20));
    scheduler.set_kind_limits("chat".parse().unwrap(), limits(20, 20));
    let mut now = START;
    for number in 0..10 {
        now += Millis(1_000);
        scheduler.submit(now, work(&format!("b{number}"), "w0", "bulk", Rank::Batch, 100)).unwrap();
        scheduler.start_next(now, &mut |_| true).unwrap();
    }
    for number in 0..5 {
        scheduler
            .submit(now, work(&format!("u{number}"), "w0", "chat", Rank::Urgent, 100))
            .unwrap();
    }
    now += Millis(1_000);
    let chosen = scheduler.preempt(now);
    assert_eq!(chosen.len(), 5);
    chosen.iter().for_each(|request| scheduler.requeue(now, request));
    let started: Vec<_> =
        (0..5).map(|_| scheduler.start_next(now, &mut |_| true).unwrap().rank).collect();
    assert_eq!(started[0], Rank::Urgent);
    // The minimum share of the batch rank is 10 %.
    assert!(started.iter().filter(|rank| **rank == Rank::Batch).count() <= 1, "{started:?}");
}

/// Guards against preempting requests that were started to meet the minimum share of the batch
/// rank.
#[test]
fn minimum_share_is_not_preempted() {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(200, 200));
    for (rank, number) in [Rank::Urgent, Rank::Batch].into_iter().zip([60, 20]) {
        for i in 0..number {
            scheduler.submit(START, work(&format!("{rank}{i}"), "w0", "k0", rank, 100)).unwrap();
        }
    }
    let started: Vec<_> =
        (0..40).map(|_| scheduler.start_next(START, &mut |_| true).unwrap().rank).collect();
    assert_eq!(started.iter().filter(|rank| **rank == Rank::Batch).count(), 4);
    // With most urgent requests finished, the batch rank is above its share of the running tokens,
    // so that this share alone protects no batch request.
    for i in 0..34 {
        scheduler.finish(START, &format!("urgent{i}").parse().unwrap(), Tokens(100));
    }
    assert_eq!(scheduler.preempt(START + Millis(500)), []);
}

/// Guards against useless preemption when the concurrency limit of their own kind blocks the urgent
/// requests.
#[test]
fn blocked_kind_does_not_preempt() {
    let (mut scheduler, due) = with_urgent_waiting(3);
    scheduler.set_kind_limits("chat".parse().unwrap(), limits(20, 0));
    assert_eq!(scheduler.preempt(due), []);
}

/// Guards against preempted requests that exceed the queue limit when they are requeued.
#[test]
fn preempted_request_reserves_slot() {
    let (mut scheduler, due) = with_urgent_waiting(3);
    scheduler.set_kind_limits("bulk".parse().unwrap(), limits(1, 20));
    let [chosen] = scheduler.preempt(due).try_into().unwrap();
    let refusal = scheduler.submit(due, work("b9", "w0", "bulk", Rank::Batch, 100)).unwrap_err();
    assert_eq!(refusal.code, Code::QueueFull);
    scheduler.requeue(due, &chosen);
    assert_eq!(scheduler.take_dropped(due), []);

    let (mut scheduler, due) = with_urgent_waiting(3);
    scheduler.set_kind_limits("bulk".parse().unwrap(), limits(0, 20));
    assert_eq!(scheduler.preempt(due), [], "no queue slot to requeue into");
}

/// Guards against a request reported as not run although a backend server may have executed part of
/// it before it was requeued.
#[test]
fn requeued_request_may_have_run() {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(1, 1));
    scheduler.submit(START, work("q1", "w0", "k0", Rank::Batch, 10)).unwrap();
    scheduler.start_next(START, &mut |_| true).unwrap();
    scheduler.submit(START, work("q2", "w0", "k0", Rank::Batch, 10)).unwrap();
    scheduler.requeue(START, &"q1".parse().unwrap());
    let [(ended, refusal)] = scheduler.take_dropped(START).try_into().unwrap();
    assert_eq!((ended.as_str(), refusal.ran), ("q1", ExecutionState::Unknown));
}

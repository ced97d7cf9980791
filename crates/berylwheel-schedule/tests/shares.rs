//! Minimum shares of the ranks and fairness between workspaces.

mod common;

use berylwheel_schedule::SchedulePolicy;
use berylwheel_schedule::Scheduler;
use berylwheel_schedule::ServedTokens;
use berylwheel_schedule::WorkItem;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use common::limits;
use common::seeded_config;
use common::work;
use proptest::prelude::*;

const MAX_COST: u64 = 1_000;

/// Runs one request at a time while keeping two queued per caller. Returns the caller and the cost
/// of each start. Requests left over from an earlier call are run but not returned.
fn run_callers(
    scheduler: &mut Scheduler,
    callers: &[(&str, Rank)],
    costs: &[u64],
) -> Vec<(usize, f64)> {
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(100, 1));
    let mut now = Timestamp::from_millis(1_000);
    let mut costs_left = costs.iter().copied();
    let mut number = 0;
    let mut queued = vec![0; callers.len()];
    let mut starts = Vec::new();
    loop {
        for (i, (workspace, rank)) in callers.iter().enumerate() {
            while queued[i] < 2 {
                let Some(cost) = costs_left.next() else {
                    return starts;
                };
                number += 1;
                let name = format!("{workspace}-{rank}-{number}-{cost}");
                scheduler.submit(now, work(&name, workspace, "k0", *rank, cost)).unwrap();
                queued[i] += 1;
            }
        }
        let next = scheduler.start_next(now, &mut |_| true).expect("a request is queued");
        let is_caller = |(w, r): &(&str, Rank)| *w == next.workspace.as_str() && *r == next.rank;
        let caller = callers.iter().position(is_caller);
        if let Some(caller) = caller {
            queued[caller] -= 1;
            starts.push((caller, next.cost.0 as f64));
        }
        now += Millis(next.cost.0);
        scheduler.finish(now, &next.request, next.cost);
    }
}

/// Returns the maximum sum of `steps` over any contiguous interval.
fn max_interval_sum(steps: impl Iterator<Item = f64>) -> f64 {
    let (mut sum, mut max) = (0.0f64, 0.0f64);
    for step in steps {
        sum = (sum + step).max(0.0);
        max = max.max(sum);
    }
    max
}

fn costs() -> impl Strategy<Value = Vec<u64>> {
    prop::collection::vec(1..=MAX_COST, 50..400)
}

proptest! {
    #![proptest_config(seeded_config(21))]

    /// Guards against starvation: over every interval, a rank with queued requests gets its minimum
    /// share, within a few requests. Capacity it used while no other rank needed it does not count
    /// against it.
    #[test]
    fn minimum_shares_are_met(solo_costs in costs(), costs in costs(), solo_rank in 0..3usize) {
        let policy = SchedulePolicy { share_window: Millis(1), ..SchedulePolicy::default() };
        let mut scheduler = Scheduler::new(policy);
        run_callers(&mut scheduler, &[("w9", Rank::ALL[solo_rank])], &solo_costs);
        let callers = Rank::ALL.map(|rank| ("w0", rank));
        let starts = run_callers(&mut scheduler, &callers, &costs);
        for rank in Rank::ALL {
            let min_share = policy.rank(rank).min_share.fraction();
            let shortfall = max_interval_sum(starts.iter().map(|(caller, cost)| {
                min_share * cost - if *caller == rank.index() { *cost } else { 0.0 }
            }));
            // With a short window, credit and debt are each limited to a few times the largest
            // cost.
            prop_assert!(
                shortfall <= 6.0 * MAX_COST as f64,
                "{rank} is {shortfall} tokens below its minimum share"
            );
        }
    }
}

proptest! {
    #![proptest_config(seeded_config(22))]

    /// Guards against serving one workspace more than another while both have queued requests.
    /// Start-time fair queueing limits the difference to the sum of their largest costs.
    #[test]
    fn workspaces_get_equal_service(costs in costs(), divisor in 1..=20u64) {
        let mut scheduler = Scheduler::new(SchedulePolicy::default());
        // Two large requests of the first workspace alternate with two small ones of the second.
        let scaled: Vec<u64> = costs
            .iter()
            .enumerate()
            .map(|(i, cost)| if i % 4 < 2 { *cost } else { cost.div_ceil(divisor) })
            .collect();
        let callers = [("w0", Rank::Normal), ("w1", Rank::Normal)];
        let starts = run_callers(&mut scheduler, &callers, &scaled);
        for ahead in [0, 1] {
            let lead = max_interval_sum(
                starts.iter().map(|(caller, cost)| if *caller == ahead { *cost } else { -cost }),
            );
            prop_assert!(lead <= 2.0 * MAX_COST as f64, "w{ahead} is {lead} tokens ahead");
        }
    }
}

/// Guards against a burst after the requests of a workspace could not start for a while: it must
/// not catch up on the service that other workspaces received in that time.
#[test]
fn blocked_workspace_gets_no_burst() {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(200, 1));
    let now = Timestamp::from_millis(1_000);
    for number in 0..60 {
        let mut blocked = work(&format!("b{number}"), "w0", "k0", Rank::Normal, 100);
        blocked.model = Some("m1".parse().unwrap());
        scheduler.submit(now, blocked).unwrap();
        let name = format!("f{number}");
        scheduler.submit(now, work(&name, "w1", "k0", Rank::Normal, 100)).unwrap();
    }
    let mut start = |blocked: bool| {
        let next =
            scheduler.start_next(now, &mut |w| !blocked || w.workspace.as_str() == "w1").unwrap();
        scheduler.finish(now, &next.request, next.cost);
        next.workspace
    };
    (0..40).for_each(|_| drop(start(true)));
    let served = (0..20).filter(|_| start(false).as_str() == "w0").count();
    assert!((9..=11).contains(&served), "{served} of 20 started requests belong to w0");
}

/// Serves two workspaces, of which the first uses no tokens. Returns how many of 40 started
/// requests belong to the first workspace.
fn started_without_usage(cost: u64, used: u64) -> usize {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(200, 1));
    let now = Timestamp::from_millis(1_000);
    for (number, workspace) in (0..80).map(|i| (i, ["w0", "w1"][i % 2])) {
        let name = format!("q{number}");
        scheduler.submit(now, work(&name, workspace, "k0", Rank::Normal, cost)).unwrap();
    }
    let mut start = || {
        let next = scheduler.start_next(now, &mut |_| true).unwrap();
        let uses_none = next.workspace.as_str() == "w0";
        scheduler.finish(now, &next.request, Tokens(if uses_none { 0 } else { used }));
        uses_none
    };
    (0..40).filter(|_| start()).count()
}

/// Guards against favoring a workspace because its requests fail and use no tokens, and against
/// requests with a cost of zero that are all served before those of another workspace.
#[test]
fn unused_tokens_stay_charged() {
    assert!((19..=21).contains(&started_without_usage(100, 100)));
    assert!((19..=21).contains(&started_without_usage(0, 0)));
}

/// Starts 20 requests whose cost is 40 times their actual use, queues requests of two callers, then
/// finishes the 20. Returns how many of the next 40 started requests belong to the first caller.
fn started_after_refunds(first: (&str, Rank), second: (&str, Rank)) -> usize {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(200, 200));
    scheduler.set_kind_limits("k1".parse().unwrap(), limits(200, 200));
    let mut now = Timestamp::from_millis(1_000);
    let initial: Vec<_> =
        (0..20).map(|i| work(&format!("e{i}"), first.0, "k0", first.1, 4_000)).collect();
    for work in &initial {
        now += Millis(500);
        scheduler.submit(now, work.clone()).unwrap();
        scheduler.start_next(now, &mut |_| true).unwrap();
    }
    for i in 0..60 {
        scheduler.submit(now, work(&format!("f{i}"), first.0, "k0", first.1, 4_000)).unwrap();
        scheduler.submit(now, work(&format!("s{i}"), second.0, "k1", second.1, 100)).unwrap();
    }
    initial.iter().for_each(|work| scheduler.finish(now, &work.request, Tokens(100)));
    let mut start = || scheduler.start_next(now, &mut |_| true).unwrap();
    (0..40).filter(|_| start().request.as_str().starts_with('f')).count()
}

/// Guards against large refunds that let a rank or a workspace overtake others. They occur when
/// many requests with a cost far above their actual use finish at once.
#[test]
fn refunds_are_capped() {
    let batch = started_after_refunds(("w0", Rank::Batch), ("w1", Rank::Urgent));
    assert!(batch <= 8, "{batch} of 40 started requests are batch requests");
    let first = started_after_refunds(("w0", Rank::Normal), ("w1", Rank::Normal));
    assert!((18..=22).contains(&first), "{first} of 40 started requests belong to w0");
}

/// Guards against a rank that loses its minimum share on its backend servers because requests for
/// other backend servers start in between.
#[test]
fn other_servers_do_not_reduce_share() {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(1_000, 1_000));
    scheduler.set_workspace_limit("w0".parse().unwrap(), Some(1_000));
    let now = Timestamp::from_millis(1_000);
    let models = [("b", "m0", Rank::Batch), ("u", "m0", Rank::Urgent), ("o", "m1", Rank::Urgent)];
    for (name, model, rank) in models {
        for number in 0..200 {
            let mut work = work(&format!("{name}{number}"), "w0", "k0", rank, 100);
            work.model = Some(model.parse().unwrap());
            scheduler.submit(now, work).unwrap();
        }
    }
    let mut start = |model: &str| {
        let has_model = |w: &WorkItem| w.model.as_ref().is_some_and(|m| m.as_str() == model);
        scheduler.start_next(now, &mut |work| has_model(work)).unwrap().rank
    };
    let batch = (0..200).filter(|i| start(["m0", "m1"][i % 2]) == Rank::Batch).count();
    assert!((9..=11).contains(&batch), "{batch} of 100 started requests are batch requests");
}

/// Serves two workspaces after a peer reports that it served `tokens` to the first. Returns by how
/// many tokens the second workspace is ahead.
fn lead_after_peer_report(tokens: u64) -> f64 {
    let policy = SchedulePolicy { peer_penalty: Tokens(5_000), ..SchedulePolicy::default() };
    let mut scheduler = Scheduler::new(policy);
    let callers = [("w0", Rank::Normal), ("w1", Rank::Normal)];
    let peer = "r2".parse().unwrap();
    run_callers(&mut scheduler, &callers, &[100; 40]);
    let now = Timestamp::from_millis(50_000);
    let heartbeat = |total| {
        [ServedTokens {
            workspace: "w0".parse().unwrap(),
            rank: Rank::Normal,
            tokens: Tokens(total),
        }]
    };
    scheduler.apply_peer_totals(now, &peer, &heartbeat(1_000_000));
    scheduler.apply_peer_totals(now, &peer, &heartbeat(1_000_000 + tokens));
    let starts = run_callers(&mut scheduler, &callers, &[101; 400]);
    starts.iter().map(|(caller, cost)| if *caller == 1 { *cost } else { -cost }).sum()
}

/// Guards against fairness that only considers the local router. Service by peers counts too, up to
/// a limit that keeps an incorrect heartbeat from starving a workspace.
#[test]
fn peer_service_affects_fairness() {
    assert!((lead_after_peer_report(0)).abs() <= 202.0);
    assert!((lead_after_peer_report(3_000) - 3_000.0).abs() <= 303.0);
    assert!((lead_after_peer_report(9_000_000) - 5_000.0).abs() <= 303.0);
}

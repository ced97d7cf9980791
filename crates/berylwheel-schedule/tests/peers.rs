//! Totals reported in heartbeats.

mod common;

use berylwheel_schedule::SchedulePolicy;
use berylwheel_schedule::Scheduler;
use berylwheel_types::Rank;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use common::limits;
use common::work;

fn serve_request(scheduler: &mut Scheduler, at: u64, workspace: &str) {
    let now = Timestamp::from_millis(at);
    let name = format!("{workspace}-{at}");
    scheduler.submit(now, work(&name, workspace, "k0", Rank::Normal, 10)).unwrap();
    let next = scheduler.start_next(now, &mut |_| true).unwrap();
    scheduler.finish(now, &next.request, Tokens(10));
}

/// Guards against keeping a total for every workspace ever served, and against rank totals that
/// shrink when workspace totals are discarded.
#[test]
fn stale_totals_are_discarded() {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(10, 1));
    serve_request(&mut scheduler, 1_000, "w0");
    for number in 1..=4_096 {
        serve_request(&mut scheduler, 600_000, &format!("w{number}"));
    }
    serve_request(&mut scheduler, 700_000, "w0");
    let served = scheduler.served_totals();
    assert_eq!(served[0].workspace.as_str(), "w0");
    assert_eq!(served[0].tokens, Tokens(10), "the old total is discarded");
    assert_eq!(scheduler.dump().ranks[Rank::Normal.index()].served, Tokens(4_098 * 10));
}

/// Guards against heartbeats that exceed 16 entries or omit the workspaces with the most service.
#[test]
fn heartbeat_lists_largest_workspaces() {
    let mut scheduler = Scheduler::new(SchedulePolicy::default());
    scheduler.set_kind_limits("k0".parse().unwrap(), limits(10, 1));
    for number in 0..40 {
        for time in 0..=number {
            serve_request(&mut scheduler, 1_000 + time, &format!("w{number}"));
        }
    }
    let served = scheduler.served_totals();
    assert_eq!(served.len(), 16);
    assert!(served.iter().all(|s| s.tokens >= Tokens(250)), "{served:?}");
}

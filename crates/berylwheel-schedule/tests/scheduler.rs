//! Scheduler invariants under random sequences of operations.

mod common;

use berylwheel_types::Rank;
use common::Driver;
use common::Op;
use common::Status;
use common::ops;
use common::seeded_config;
use proptest::prelude::*;

proptest! {
    #![proptest_config(seeded_config(11))]

    /// Guards against requests that are lost, that start after they have ended, or that end twice.
    #[test]
    fn every_request_ends_once(ops in ops()) {
        let mut driver = Driver::new();
        for op in &ops {
            driver.apply(op);
        }
        driver.drain();
        for (request, (_, status)) in &driver.requests {
            prop_assert!(matches!(status, Status::Ended(_)), "{request} has not ended: {status:?}");
        }
        for kind in driver.scheduler.dump().kinds {
            prop_assert_eq!((kind.queued, kind.queued_bytes.0, kind.running), (0, 0, 0));
        }
    }
}

proptest! {
    #![proptest_config(seeded_config(12))]

    /// Guards against kinds and workspaces that exceed their limits, and against counters that
    /// diverge from the actual number of queued and running requests.
    #[test]
    fn limits_are_enforced(ops in ops()) {
        let mut driver = Driver::new();
        for op in &ops {
            driver.apply(op);
            for kind in driver.scheduler.dump().kinds {
                let name = kind.kind.as_str();
                prop_assert!(kind.queued <= common::QUEUE_LENGTH);
                prop_assert!(kind.queued_bytes.0 <= common::QUEUE_BYTES);
                prop_assert!(kind.running <= common::CONCURRENCY);
                let count =
                    |s| driver.with_status(&s).iter().filter(|w| w.kind == kind.kind).count();
                prop_assert_eq!(kind.queued, count(Status::Queued) + driver.preempted(name));
                prop_assert_eq!(kind.running, count(Status::Running));
                for workspace in ["w0", "w1", "w2"] {
                    let used = driver.request_count(workspace, name);
                    prop_assert!(
                        used <= common::WORKSPACE_LIMIT,
                        "{workspace} has {used} requests"
                    );
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(seeded_config(13))]

    /// Guards against leaving capacity idle while a queued request could start, and against
    /// starting a request that `can_start` rejects or that exceeds the concurrency limit of its
    /// kind.
    #[test]
    fn startable_requests_are_started(ops in ops()) {
        let mut driver = Driver::new();
        for op in &ops {
            let Op::Start { models } = op else {
                driver.apply(op);
                continue;
            };
            let startable = startable(&driver, *models);
            let started = driver.start(*models);
            prop_assert_eq!(started.is_some(), startable.contains(&true));
        }
    }
}

proptest! {
    #![proptest_config(seeded_config(14))]

    /// Guards against serving a less urgent rank while a more urgent one can start and is below its
    /// minimum share, or while the less urgent rank is not below its own.
    #[test]
    fn ranks_served_by_priority(ops in ops()) {
        let mut driver = Driver::new();
        for op in &ops {
            let Op::Start { models } = op else {
                driver.apply(op);
                continue;
            };
            let startable = startable(&driver, *models);
            let credit: Vec<f64> =
                driver.scheduler.dump().ranks.iter().map(|r| r.credit).collect();
            let Some(work) = driver.start(*models) else {
                continue;
            };
            let rank = work.rank.index();
            for higher in (0..rank).filter(|h| startable[*h]) {
                prop_assert!(credit[higher] <= 0.0, "rank {higher} is below its minimum share");
                prop_assert!(credit[rank] > 0.0, "rank {rank} is not below its minimum share");
            }
            for other in (rank + 1..3).filter(|o| startable[*o]) {
                prop_assert!(
                    credit[rank] > 0.0 || credit[other] <= 0.0,
                    "rank {other} is below its minimum share"
                );
            }
        }
    }
}

/// Returns for each rank whether a queued request could start, based on the driver's own state.
fn startable(driver: &Driver, models: [bool; 2]) -> [bool; 3] {
    let running = driver.with_status(&Status::Running);
    Rank::ALL.map(|rank| {
        driver.with_status(&Status::Queued).into_iter().filter(|w| w.rank == rank).any(|work| {
            let busy = running.iter().filter(|r| r.kind == work.kind).count();
            let model = work.model.as_ref().is_some_and(|m| m.as_str() == "m1");
            busy < common::CONCURRENCY && models[usize::from(model)]
        })
    })
}

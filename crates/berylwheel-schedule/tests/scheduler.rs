//! Properties over random sequences of calls.

mod common;

use berylwheel_types::Rank;
use common::Driver;
use common::Op;
use common::Place;
use common::ops;
use common::seeded;
use proptest::prelude::*;

proptest! {
    #![proptest_config(seeded(11))]

    /// Guards against requests that are lost, started after they ended, or ended twice.
    #[test]
    fn every_request_ends_once(ops in ops()) {
        let mut driver = Driver::new();
        for op in &ops {
            driver.apply(op);
        }
        driver.close();
        for (request, (_, place)) in &driver.requests {
            prop_assert!(matches!(place, Place::Ended(_)), "{request} is still {place:?}");
        }
        for kind in driver.scheduler.dump().kinds {
            prop_assert_eq!((kind.queued, kind.queued_bytes.0, kind.running), (0, 0, 0));
        }
    }
}

proptest! {
    #![proptest_config(seeded(12))]

    /// Guards against a kind or a workspace that takes more than its bounds, and against counts
    /// that drift from what is really queued and running.
    #[test]
    fn limits_hold(ops in ops()) {
        let mut driver = Driver::new();
        for op in &ops {
            driver.apply(op);
            for kind in driver.scheduler.dump().kinds {
                let name = kind.kind.as_str();
                prop_assert!(kind.queued <= common::QUEUE);
                prop_assert!(kind.queued_bytes.0 <= common::BYTES);
                prop_assert!(kind.running <= common::CONCURRENCY);
                let count = |p| driver.at(&p).iter().filter(|w| w.kind == kind.kind).count();
                prop_assert_eq!(kind.queued, count(Place::Queued) + driver.pending(name));
                prop_assert_eq!(kind.running, count(Place::Running));
                for workspace in ["w0", "w1", "w2"] {
                    let used = driver.in_progress(workspace, name);
                    prop_assert!(used <= common::WORKSPACE_LIMIT, "{workspace} has {used}");
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(seeded(13))]

    /// Guards against idle capacity while startable work waits, and against a start over the
    /// caller's `can_start` or a kind's concurrency.
    #[test]
    fn work_conserved(ops in ops()) {
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
    #![proptest_config(seeded(14))]

    /// Guards against a lower rank that is served before a higher one which is under its minimum
    /// share or, when the lower one is not under its own, has startable work.
    #[test]
    fn higher_rank_first(ops in ops()) {
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
                prop_assert!(credit[higher] <= 0.0, "rank {higher} is under its minimum");
                prop_assert!(credit[rank] > 0.0, "rank {rank} is above its minimum");
            }
            for other in (rank + 1..3).filter(|o| startable[*o]) {
                prop_assert!(credit[rank] > 0.0 || credit[other] <= 0.0, "rank {other} waits");
            }
        }
    }
}

/// Tells by rank whether work waits that could start, from the test's own record.
fn startable(driver: &Driver, models: [bool; 2]) -> [bool; 3] {
    let running = driver.at(&Place::Running);
    Rank::ALL.map(|rank| {
        driver.at(&Place::Queued).into_iter().filter(|w| w.rank == rank).any(|work| {
            let busy = running.iter().filter(|r| r.kind == work.kind).count();
            let model = work.model.as_ref().is_some_and(|m| m.as_str() == "m1");
            busy < common::CONCURRENCY && models[usize::from(model)]
        })
    })
}

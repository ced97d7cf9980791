//! The subset of servers that each router uses.

mod support;

use berylwheel_route::subset_of;
use berylwheel_types::BackendId;
use berylwheel_types::FastSet;
use berylwheel_types::RouterId;
use proptest::prelude::*;
use support::proptest_config;

fn routers(count: usize) -> Vec<RouterId> {
    (0..count).map(|n| format!("r{n}").parse().unwrap()).collect()
}

fn servers(count: usize, seed: u64) -> Vec<BackendId> {
    (0..count).map(|n| format!("e{seed}-{n}").parse().unwrap()).collect()
}

proptest! {
    #![proptest_config(proptest_config(24))]

    /// Guards against reconnecting many routers when one server is added or removed.
    #[test]
    fn adding_a_server_changes_its_share_of_subsets(count in 60..400_usize, seed: u64) {
        let (routers, all) = (routers(340), servers(count, seed));
        let (last, rest) = all.split_last().unwrap();
        let mut changed = 0;
        for router in &routers {
            let with = subset_of(router, &all, 48);
            let without = subset_of(router, rest, 48);
            let moved = with.iter().filter(|id| !without.contains(id)).count();
            prop_assert!(moved <= 1, "{moved} servers moved at {router}");
            prop_assert_eq!(moved == 1, with.contains(last));
            changed += moved;
        }
        // 340 x 48 / count routers are expected to change, within four standard deviations.
        let expected = 340.0 * 48.0 / count as f64;
        prop_assert!((changed as f64 - expected).abs() < 4.0 * expected.sqrt() + 1.0,
            "{changed} routers changed, {expected:.0} expected");
    }

    /// Guards against servers that belong to no router's subset at the target size.
    #[test]
    fn every_server_is_in_a_subset_at_the_target_size(seed: u64) {
        let (routers, all) = (routers(340), servers(930, seed));
        let mut covered: FastSet<BackendId> = FastSet::default();
        for router in &routers {
            let subset = subset_of(router, &all, 48);
            prop_assert_eq!(subset.len(), 48);
            covered.extend(subset);
        }
        prop_assert_eq!(covered.len(), 930);
    }
}

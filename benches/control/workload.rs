//! Configuration changes, with and without faults, and the cost of a change at the target size.

use std::fmt::Write;

use berylwheel_config::Change;
use berylwheel_config::ChangeAction;
use berylwheel_config::ConfigState;
use berylwheel_config::Proposal;
use berylwheel_config::SyncPolicy;
use berylwheel_config::Transaction;
use berylwheel_config::propose;
use berylwheel_config::split;
use berylwheel_settings::Edit;
use berylwheel_settings::Settings;
use berylwheel_types::FastSet;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;

use crate::common::Faults;
use crate::common::Fleet;
use crate::figure::elapsed_nanos;
use crate::figure::percentile;

pub const SEED: u64 = 20_261_204;

/// Returns settings with `workspaces` workspaces of two caller keys each.
fn settings(workspaces: usize) -> Settings {
    let mut text = "[kind chat]\nservice = engine\nmodels = m1\n".to_owned();
    for i in 0..workspaces {
        let _ = write!(
            text,
            "[workspace w{i}]\nin_flight = 100\nkey.a = {:064x}\nkey.b = {:064x}\n",
            2 * i,
            2 * i + 1
        );
    }
    Settings::parse("bench", &text).unwrap_or_else(|errors| panic!("{errors}"))
}

/// Returns the change that writes the initial settings.
pub fn initial_change(workspaces: usize) -> Change {
    let action = ChangeAction::Replace(settings(workspaces));
    new_change("first".to_owned(), Version(0), action)
}

fn new_change(id: String, base: Version, action: ChangeAction) -> Change {
    Change {
        id: id.parse().unwrap_or_else(|e| panic!("{id}: {e}")),
        base,
        author: "bench".to_owned(),
        action,
    }
}

fn in_flight_edit(number: usize) -> ChangeAction {
    let section = format!("workspace w{}", number % 10);
    ChangeAction::Edit(vec![Edit {
        section: section.parse().unwrap_or_else(|e| panic!("{section}: {e}")),
        key: "in_flight".to_owned(),
        value: Some((number + 101).to_string()),
    }])
}

/// Returns a change based on the version that the router `node` has.
pub fn next_change(fleet: &Fleet, node: usize, number: usize) -> Change {
    new_change(format!("c{number}"), fleet.version(node), in_flight_edit(number))
}

/// Submits changes to `count` routers under random faults until `target` of them are accepted.
/// Returns the number of accepted changes and the number of violations: a version went back or
/// forked, a change was accepted twice, or the routers had not converged 20 s after the end of all
/// faults.
pub fn run_faulty_changes(count: usize, target: usize) -> (usize, usize) {
    let mut fleet = Fleet::new(count, SEED);
    fleet.submit(0, initial_change(10));
    fleet.run(Millis(3_000));
    let mut number = 0;
    let mut diverged = 0;
    while fleet.store.log.len() <= target {
        number += 1;
        let node = fleet.net.draw(count as u64) as usize;
        match fleet.net.draw(20) {
            0 => fleet.kill(node),
            1 | 2 => fleet.start(node),
            3 => fleet.nodes[node].paused_until = fleet.now + Millis(8_000),
            4 => fleet.net.partition = (0..count).map(|i| i % (node + 2) == 0).collect(),
            5 | 6 => fleet.net.partition.clear(),
            7 => fleet.store.up = false,
            8..=10 => fleet.store.up = true,
            11 => fleet.store.loses_responses = !fleet.store.loses_responses,
            12 => fleet.net.faults = Faults { lost: 200, duplicated: 200, delayed: 300 },
            13 => fleet.net.faults = Faults::default(),
            _ => {
                let change = next_change(&fleet, node, number);
                fleet.submit(node, change);
            }
        }
        let pause = fleet.net.draw(1_500);
        fleet.run(Millis(pause));
        if number % 500 == 0 {
            clear_faults(&mut fleet);
            diverged += usize::from(!fleet.converged());
        }
    }
    clear_faults(&mut fleet);
    diverged += usize::from(!fleet.converged());
    for violation in &fleet.violations {
        eprintln!("{violation}");
    }
    let ids: FastSet<_> = fleet.store.log.iter().map(|(id, _)| id).collect();
    let duplicates = fleet.store.log.len() - ids.len();
    // The initial settings do not count as a change.
    (fleet.store.log.len() - 1, fleet.violations.len() + diverged + duplicates)
}

fn clear_faults(fleet: &mut Fleet) {
    fleet.net.partition.clear();
    fleet.net.faults = Faults::default();
    fleet.store.up = true;
    fleet.store.loses_responses = false;
    for index in 0..fleet.nodes.len() {
        fleet.nodes[index].paused_until = fleet.now;
        fleet.start(index);
    }
    fleet.run(Millis(20_000));
}

/// The cost for one router of a change to one of 12,000 workspaces.
pub struct TargetCost {
    /// Seconds to apply the change, the median of 9 measurements.
    pub apply_seconds: f64,
    /// Bytes of the largest part.
    pub part_bytes: f64,
}

/// Measures the cost of a change at the target size.
pub fn measure_target_cost() -> TargetCost {
    let now = Timestamp::from_millis(0);
    let propose_write = |current: Option<&Transaction>, change: &Change| match propose(
        current.map(|c| (&c.root, &c.settings)),
        change,
        now,
    ) {
        Ok(Proposal::Write(transaction)) => *transaction,
        other => panic!("{other:?}"),
    };
    let mut current = propose_write(None, &initial_change(12_000));
    let id = "r0".parse().unwrap_or_else(|e| panic!("{e}"));
    let domain = "d0".parse().unwrap_or_else(|e| panic!("{e}"));
    let mut state = ConfigState::new(id, domain, SyncPolicy::default());
    state.handle_parts(now, current.root.clone(), current.parts.clone());
    let mut seconds: Vec<f64> = (0..9)
        .map(|number| {
            let base = current.root.version;
            current = propose_write(
                Some(&current),
                &new_change(format!("c{number}"), base, in_flight_edit(number)),
            );
            let (root, parts) = (current.root.clone(), current.parts.clone());
            let start = elapsed_nanos();
            state.handle_parts(now, root, parts);
            let elapsed = elapsed_nanos() - start;
            assert_eq!(state.version(), Some(current.root.version));
            elapsed as f64 / 1e9
        })
        .collect();
    let largest = split(&current.settings).iter().map(|part| part.text.len()).max();
    TargetCost {
        apply_seconds: percentile(&mut seconds, 0.5),
        part_bytes: largest.unwrap_or(0) as f64,
    }
}

//! Distribution of the configuration: versions must not decrease or diverge, and must reach every
//! router.

mod common;

use berylwheel_config::Change;
use berylwheel_config::ChangeAction;
use berylwheel_config::ConfigAction;
use berylwheel_config::Outcome;
use berylwheel_config::Part;
use berylwheel_settings::Edit;
use berylwheel_settings::Settings;
use berylwheel_types::FastSet;
use berylwheel_types::Millis;
use berylwheel_types::Version;
use common::Faults;
use common::Fleet;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const SEED: [u8; 32] = *b"berylwheel config spread tests 1";

#[derive(Debug, Clone)]
enum Step {
    Change(usize, u32),
    ConcurrentChanges(usize, usize),
    Resubmit(usize),
    Kill(usize),
    Start(usize),
    Pause(usize, u64),
    Partition(u8),
    EndPartition,
    StoreUp(bool),
    LoseResponses(bool),
    Faults(u64, u64, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..7usize, 0..1_000u32).prop_map(|(node, value)| Step::Change(node, value)),
        2 => (0..7usize, 0..7usize).prop_map(|(a, b)| Step::ConcurrentChanges(a, b)),
        1 => (0..7usize).prop_map(Step::Resubmit),
        3 => (0..7usize).prop_map(Step::Kill),
        4 => (0..7usize).prop_map(Step::Start),
        2 => (0..7usize, 1..20_000u64).prop_map(|(node, span)| Step::Pause(node, span)),
        2 => any::<u8>().prop_map(Step::Partition),
        2 => Just(Step::EndPartition),
        3 => any::<bool>().prop_map(Step::StoreUp),
        1 => any::<bool>().prop_map(Step::LoseResponses),
        2 => (0..400u64, 0..300u64, 0..500u64).prop_map(|(a, b, c)| Step::Faults(a, b, c)),
    ]
}

fn edit(fleet: &Fleet, node: usize, id: usize, value: u32) -> Change {
    let section = format!("kind k{}", value % 5).parse().unwrap();
    let edit = Edit { section, key: "queue".to_owned(), value: Some(value.to_string()) };
    Change {
        id: format!("c{id}").parse().unwrap(),
        base: fleet.version(node),
        author: format!("operator{node}"),
        action: ChangeAction::Edit(vec![edit]),
    }
}

fn first_change() -> Change {
    let kinds = (0..5).map(|i| format!("[kind k{i}]\nservice = plain\nrepeat = never\n"));
    Change {
        id: "first".parse().unwrap(),
        base: Version(0),
        author: "ana".to_owned(),
        action: ChangeAction::Replace(Settings::parse("a", &kinds.collect::<String>()).unwrap()),
    }
}

fn perform(fleet: &mut Fleet, step: &Step, number: usize) {
    let count = fleet.nodes.len();
    match *step {
        Step::Change(node, value) => {
            let change = edit(fleet, node % count, number, value);
            fleet.submit(node % count, change);
        }
        Step::ConcurrentChanges(a, b) => {
            for (i, node) in [a % count, b % count].into_iter().enumerate() {
                let change = edit(fleet, node, 1_000 + 2 * number + i, number as u32 + i as u32);
                fleet.submit(node, change);
            }
        }
        Step::Resubmit(node) => {
            // The same change is submitted again, to a router that may hold a newer version.
            if let Some(mut change) = fleet.operators.last().map(|known| known.change.clone()) {
                change.base = fleet.version(node % count);
                fleet.submit(node % count, change);
            }
        }
        Step::Kill(node) => fleet.kill(node % count),
        Step::Start(node) => fleet.start(node % count),
        Step::Pause(node, span) => {
            fleet.nodes[node % count].paused_until = fleet.now + Millis(span)
        }
        Step::Partition(sides) => {
            fleet.net.partition = (0..count).map(|i| sides >> i & 1 == 1).collect()
        }
        Step::EndPartition => fleet.net.partition.clear(),
        Step::StoreUp(up) => fleet.store.up = up,
        Step::LoseResponses(lose) => fleet.store.loses_responses = lose,
        Step::Faults(lost, duplicated, delayed) => {
            fleet.net.faults = Faults { lost, duplicated, delayed }
        }
    }
}

fn clear_faults(fleet: &mut Fleet) {
    fleet.net.partition.clear();
    fleet.net.faults = Faults::default();
    fleet.store.up = true;
    fleet.store.loses_responses = false;
    (0..fleet.nodes.len()).for_each(|i| fleet.start(i));
    fleet.nodes.iter_mut().for_each(|node| node.paused_until = fleet.now);
    fleet.run(Millis(20_000));
}

fn check_invariants(fleet: &Fleet) -> Result<(), TestCaseError> {
    prop_assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
    let ids: FastSet<_> = fleet.store.log.iter().map(|(id, _)| id).collect();
    prop_assert_eq!(ids.len(), fleet.store.log.len(), "a change was applied twice");
    Ok(())
}

#[test]
fn versions_never_decrease_and_reach_every_router() {
    println!("seed {}", String::from_utf8_lossy(&SEED));
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let steps = prop::collection::vec((step(), 0..4_000u64), 1..40);
    TestRunner::new_with_rng(config, rng)
        .run(&(2..8usize, any::<u64>(), steps), |(count, seed, steps)| {
            let mut fleet = Fleet::new(count, seed);
            fleet.submit(0, first_change());
            fleet.run(Millis(3_000));
            prop_assert!(fleet.converged(), "the first version is not in force on all routers");
            for (number, (step, wait)) in steps.iter().enumerate() {
                perform(&mut fleet, step, number);
                fleet.run(Millis(*wait));
                check_invariants(&fleet)?;
            }
            clear_faults(&mut fleet);
            check_invariants(&fleet)?;
            prop_assert!(fleet.converged(), "routers did not converge after all faults ended");
            prop_assert!(
                fleet.store.is_history_readable(),
                "a version in the history cannot be read"
            );
            for operator in &fleet.operators {
                let Change { id, base, .. } = &operator.change;
                let accepted = fleet.store.log.iter().position(|(known, _)| known == id);
                let accepted = accepted.map(|index| Version(index as u64 + 1));
                match &operator.final_outcome {
                    Some(Outcome::Accepted(version)) => prop_assert_eq!(Some(*version), accepted),
                    // The same change on a newer base may have been accepted as another version.
                    Some(Outcome::Conflict(_)) => {
                        prop_assert_ne!(accepted, Some(base.next()), "{}", id)
                    }
                    outcome => {
                        return Err(TestCaseError::fail(format!(
                            "{id} has the outcome {outcome:?}"
                        )));
                    }
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn query_is_answered_without_waiting_for_a_heartbeat() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(0, first_change());
    fleet.run(Millis(3_000));
    let (now, asking_peer) = (fleet.now, fleet.nodes[1].id.clone());
    let config = &mut fleet.nodes[0].process.as_mut().unwrap().config;
    config.handle_peer_version(now, &asking_peer, Version(0));
    let pushes = config.poll(now);
    let is_answer = |a: &ConfigAction| matches!(a, ConfigAction::Push { to, version: Version(1) } if *to == asking_peer);
    assert!(pushes.iter().any(is_answer), "{pushes:?}");
}

#[test]
fn unparsable_version_is_reported_once_and_not_applied() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(0, first_change());
    fleet.run(Millis(3_000));
    let (now, peer) = (fleet.now, fleet.nodes[1].id.clone());
    let config = &mut fleet.nodes[0].process.as_mut().unwrap().config;
    // A router of a later release accepted a setting that this release does not know.
    let part = Part { index: 0, text: "[fleet]\nlater = 1\n".to_owned() };
    let mut root = config.root().unwrap().clone();
    root.version = Version(2);
    root.parts[0] = part.digest();
    for _ in 0..2 {
        config.handle_peer_version(now, &peer, Version(2));
        config.handle_parts(now, root.clone(), vec![part.clone()]);
    }
    let actions = config.poll(now);
    let reports = actions.iter().filter(|a| matches!(a, ConfigAction::Unreadable(..))).count();
    let pulls = actions.iter().filter(|a| matches!(a, ConfigAction::Pull { .. })).count();
    assert_eq!((reports, pulls), (1, 0), "{actions:?}");
    assert_eq!(config.version(), Some(Version(1)));
    assert!(config.may_serve());
}

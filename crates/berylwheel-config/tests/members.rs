//! Membership: a running router must never be declared gone, and the views of all routers converge.

mod common;

use std::net::SocketAddr;

use berylwheel_config::Heartbeat;
use berylwheel_config::ListedState;
use berylwheel_config::MemberEntry;
use berylwheel_config::MemberPolicy;
use berylwheel_config::MemberState;
use berylwheel_config::Members;
use berylwheel_types::FastMap;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;
use common::Faults;
use common::Fleet;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const SEED: [u8; 32] = *b"berylwheel config members test 1";

#[derive(Debug, Clone)]
enum Step {
    Kill(usize),
    Start(usize),
    Pause(usize, u64),
    Partition(u16),
    EndPartition,
    Faults(u64, u64, u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..12usize).prop_map(Step::Kill),
        4 => (0..12usize).prop_map(Step::Start),
        2 => (0..12usize, 1..30_000u64).prop_map(|(node, span)| Step::Pause(node, span)),
        1 => any::<u16>().prop_map(Step::Partition),
        2 => Just(Step::EndPartition),
        1 => (0..300u64, 0..300u64, 0..300u64).prop_map(|(a, b, c)| Step::Faults(a, b, c)),
        3 => (1..90_000u64).prop_map(Step::Wait),
    ]
}

/// Earlier statements of each router's view. The run number of a router must not decrease, a run
/// that was declared gone must stay gone, and a running router must not be declared gone.
#[derive(Default)]
struct Observations {
    runs: FastMap<(usize, u64, RouterId), u64>,
    gone: FastSet<(usize, u64, Incarnation)>,
}

impl Observations {
    fn check(&mut self, fleet: &Fleet) -> Result<(), TestCaseError> {
        for (index, viewer) in fleet.nodes.iter().enumerate() {
            let Some(process) = &viewer.process else {
                continue;
            };
            let live = process.members.live();
            prop_assert_eq!(live.len(), process.members.live_count());
            for node in fleet.nodes.iter().filter(|node| node.id != viewer.id) {
                let gone = process.members.state(&node.id) == Some(MemberState::Gone);
                prop_assert!(
                    !gone || !live.contains(&node.id),
                    "{} is listed as live, but gone",
                    node.id
                );
                if let Some(run) = process.members.incarnation(&node.id) {
                    let key = (index, viewer.run_number, node.id.clone());
                    let before = self.runs.insert(key, run.number);
                    prop_assert!(
                        before <= Some(run.number),
                        "{} replaced the later run {:?}",
                        run,
                        before
                    );
                }
                for number in 1..=node.run_number {
                    let run = Incarnation { router: node.id.clone(), number };
                    let runs = node.process.is_some() && number == node.run_number;
                    let gone = process.members.is_gone(&run);
                    prop_assert!(
                        !gone || !runs,
                        "{} is running, but {} takes it for gone",
                        run,
                        viewer.id
                    );
                    let key = (index, viewer.run_number, run);
                    prop_assert!(gone || !self.gone.contains(&key), "{:?} is no longer gone", key);
                    if gone {
                        self.gone.insert(key);
                    }
                }
            }
        }
        Ok(())
    }
}

fn run_checked(
    fleet: &mut Fleet,
    span: u64,
    observations: &mut Observations,
) -> Result<(), TestCaseError> {
    for _ in 0..span.div_ceil(1_000) {
        fleet.run(Millis(1_000));
        let (now, list) = (fleet.now, fleet.vm_list(Millis(30_000)));
        for process in fleet.nodes.iter_mut().filter_map(|node| node.process.as_mut()) {
            process.members.handle_vm_list(now, &list);
        }
        observations.check(fleet)?;
    }
    Ok(())
}

#[test]
fn views_do_not_declare_running_routers_gone_and_converge() {
    println!("seed {}", String::from_utf8_lossy(&SEED));
    let config = Config { cases: 100, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let steps = prop::collection::vec(step(), 1..20);
    TestRunner::new_with_rng(config, rng)
        .run(&(2..13usize, any::<u64>(), steps), |(count, seed, steps)| {
            let mut fleet = Fleet::new(count, seed);
            let mut observations = Observations::default();
            for step in steps {
                match step {
                    Step::Kill(node) => fleet.kill(node % count),
                    Step::Start(node) => fleet.start(node % count),
                    Step::Pause(node, span) => {
                        fleet.nodes[node % count].paused_until = fleet.now + Millis(span);
                    }
                    Step::Partition(sides) => {
                        fleet.net.partition = (0..count).map(|i| sides >> i & 1 == 1).collect();
                    }
                    Step::EndPartition => fleet.net.partition.clear(),
                    Step::Faults(lost, duplicated, delayed) => {
                        fleet.net.faults = Faults { lost, duplicated, delayed };
                    }
                    Step::Wait(span) => run_checked(&mut fleet, span, &mut observations)?,
                }
                run_checked(&mut fleet, 1_000, &mut observations)?;
            }
            fleet.net.partition.clear();
            fleet.net.faults = Faults::default();
            fleet.nodes.iter_mut().for_each(|node| node.paused_until = fleet.now);
            run_checked(&mut fleet, 30_000, &mut observations)?;
            let up: Vec<RouterId> = {
                let up = fleet.nodes.iter().filter(|node| node.process.is_some());
                let mut up: Vec<_> = up.map(|node| node.id.clone()).collect();
                up.sort();
                up
            };
            for process in fleet.nodes.iter().filter_map(|node| node.process.as_ref()) {
                prop_assert_eq!(&process.members.live(), &up);
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn large_fleet_suspects_only_the_stopped_router() {
    let mut fleet = Fleet::new(150, 1);
    let live_counts = |fleet: &Fleet| -> FastSet<usize> {
        let processes = fleet.nodes.iter().filter_map(|node| node.process.as_ref());
        processes.map(|process| process.members.live_count()).collect()
    };
    fleet.run(Millis(60_000));
    for _ in 0..20 {
        fleet.run(Millis(1_000));
        assert_eq!(live_counts(&fleet), FastSet::from_iter([150]), "a healthy router is suspected");
    }
    fleet.kill(7);
    for _ in 0..15 {
        fleet.run(Millis(1_000));
        assert!(
            !live_counts(&fleet).contains(&148),
            "a healthy router is suspected after the change of the ring"
        );
    }
    assert_eq!(live_counts(&fleet), FastSet::from_iter([149]));
    fleet.start(7);
    fleet.run(Millis(15_000));
    assert_eq!(live_counts(&fleet), FastSet::from_iter([150]));
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn heartbeat(number: u64, counter: u64, port: u16) -> Heartbeat {
    let own = MemberEntry {
        incarnation: Incarnation { router: "r2".parse().unwrap(), number },
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        counter,
        version: Version(1),
        leaving: false,
        suspect: false,
    };
    Heartbeat { own, others: Vec::new() }
}

fn members() -> Members {
    let own_run = Incarnation { router: "r1".parse().unwrap(), number: 1 };
    Members::new(own_run, SocketAddr::from(([127, 0, 0, 1], 1)), MemberPolicy::default())
}

#[test]
fn outdated_vm_list_does_not_mark_a_new_run_as_gone() {
    let (mut members, id) = (members(), "r2".parse::<RouterId>().unwrap());
    let run = |number| Incarnation { router: id.clone(), number };
    let gone = [(id.clone(), ListedState::Gone)];
    members.handle_heartbeat(at(0), &heartbeat(1, 1, 2));
    members.handle_heartbeat(at(100), &heartbeat(2, 1, 3));
    // A later run at a different address does not prove that the first run has ended.
    assert!(!members.is_gone(&run(1)));
    // The list still describes the first run, while the second one is partitioned.
    members.handle_vm_list(at(110), &gone);
    assert_ne!(members.state(&id), Some(MemberState::Gone));
    members.handle_heartbeat(at(161), &heartbeat(2, 2, 3));
    members.handle_vm_list(at(162), &gone);
    assert_eq!(members.state(&id), Some(MemberState::Live), "its heartbeat counter advances");
    members.handle_vm_list(at(167), &gone);
    assert!(members.is_gone(&run(2)));
    members.handle_heartbeat(at(168), &heartbeat(2, 3, 3));
    assert_eq!(
        members.state(&id),
        Some(MemberState::Gone),
        "a late heartbeat of a gone run has no effect"
    );
    members.handle_heartbeat(at(169), &heartbeat(3, 1, 4));
    assert_eq!(members.state(&id), Some(MemberState::Live));
    assert!(members.is_gone(&run(2)) && !members.is_gone(&run(3)));
    members.handle_heartbeat(at(170), &heartbeat(2, 9, 3));
    assert_eq!(
        members.incarnation(&id),
        Some(&run(3)),
        "an earlier run does not replace a later one"
    );
}

#[test]
fn later_run_at_the_same_address_proves_the_earlier_run_gone() {
    let mut members = members();
    members.handle_heartbeat(at(0), &heartbeat(1, 1, 2));
    for second in 0..7 {
        members.poll(at(second));
    }
    let id = "r2".parse::<RouterId>().unwrap();
    assert_eq!(members.state(&id), Some(MemberState::Suspect));
    let first = Incarnation { router: id, number: 1 };
    assert!(!members.is_gone(&first), "missing heartbeats do not prove that the run has ended");
    members.handle_heartbeat(at(7), &heartbeat(2, 1, 2));
    assert!(members.is_gone(&first));
}

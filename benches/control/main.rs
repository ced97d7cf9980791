//! Measures the time until a configuration change is in force on all routers, and the cost of the
//! control plane.
//!
//! Routers and the store are simulated in memory with a manual clock; messages take 1 ms one way.
//! With the argument `idle` only the cost without requests and changes is measured.
//!
//! Prints one JSON object per line. The baseline is a fleet in which every router reads the root
//! from the store each second. CPU time is measured; all other figures are deterministic for a
//! seed.

#[path = "../../crates/berylwheel-config/tests/common/mod.rs"]
mod common;
mod figure;
mod idle;
mod workload;

use berylwheel_config::MemberState;
use berylwheel_config::Root;
use berylwheel_types::Millis;
use common::Fleet;
use figure::baseline_in_force_p99;
use figure::elapsed_nanos;
use figure::percentile;
use figure::print_figure;
use workload::SEED;
use workload::TargetCost;
use workload::initial_change;
use workload::measure_target_cost;
use workload::next_change;
use workload::run_faulty_changes;

/// The target size, in changes per day and routers.
const CHANGES_PER_DAY: f64 = 2_200.0;
const DAY_SECONDS: f64 = 86_400.0;
const TARGET_ROUTERS: usize = 340;

/// The number of routers in the current fleet.
const CURRENT_ROUTERS: usize = 9;

/// Longest time to wait for a change or a suspicion; a longer time is counted as this one.
const WAIT_LIMIT: Millis = Millis(120_000);

fn main() {
    // `cargo test --benches` runs the binary without `--bench`; nothing is measured then.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    idle::print_idle_costs();
    if std::env::args().any(|arg| arg == "idle") {
        return;
    }
    let target_cost = measure_target_cost();
    print_figure("apply_s.target", target_cost.apply_seconds, "s", None, None);
    print_figure("part_bytes.target", target_cost.part_bytes, "B", None, Some(20_000.0));
    for count in [3, CURRENT_ROUTERS, 27, TARGET_ROUTERS] {
        print_fleet(count, &target_cost);
    }
    let (changes, reverts) = run_faulty_changes(CURRENT_ROUTERS, 1_000);
    print_figure("changes", changes as f64, "1", None, Some(1_000.0));
    print_figure("reverts", reverts as f64, "1", None, Some(0.0));
}

/// Prints the figures of a fleet of `count` routers without faults.
fn print_fleet(count: usize, target_cost: &TargetCost) {
    let at_target = count == TARGET_ROUTERS;
    let mut fleet = Fleet::new(count, SEED);
    fleet.net.message_size = |message| postcard::to_stdvec(message).map_or(0, |bytes| bytes.len());
    fleet.timer = elapsed_nanos;
    fleet.submit(0, initial_change(10));
    fleet.run(Millis(if at_target { 130_000 } else { 30_000 }));

    let changes = if at_target { 40 } else { 400 };
    let mut seconds_taken = Vec::new();
    for number in 0..changes {
        let pause = 500 + fleet.net.draw(1_500);
        fleet.run(Millis(pause));
        let node = fleet.net.draw(count as u64) as usize;
        let change = next_change(&fleet, node, number);
        fleet.submit(node, change);
        let start = fleet.now;
        let expected = fleet.version(node).next();
        let is_pending = |fleet: &Fleet| {
            let stored = fleet.store.root.as_ref().map(|root| root.version);
            stored != Some(expected) || !fleet.converged()
        };
        while is_pending(&fleet) && fleet.now.since(start) < WAIT_LIMIT {
            fleet.run(Millis(1));
        }
        seconds_taken.push(fleet.now.since(start).0 as f64 / 1_000.0);
    }
    let baseline = baseline_in_force_p99(&mut fleet.net, count, changes);
    let target = match count {
        CURRENT_ROUTERS => Some(2.0),
        TARGET_ROUTERS => Some(20.0),
        _ => None,
    };
    let figure_name = |figure: &str| format!("{figure}.{count}");
    print_figure(
        &figure_name("in_force_s.p99"),
        percentile(&mut seconds_taken, 0.99),
        "s",
        Some(baseline),
        target,
    );
    print_costs(&mut fleet, count, target_cost);
    print_suspicion_time(&mut fleet, count);
    if let Some(violation) = fleet.violations.first() {
        eprintln!("{count} routers: {violation}");
    }
}

/// Prints the cost of the control plane per router at the change rate of the target size.
fn print_costs(fleet: &mut Fleet, count: usize, target_cost: &TargetCost) {
    let figure_name = |figure: &str| format!("{figure}.{count}");
    let node = count - 1;
    let (reads_before, writes_before, bytes_before, busy_before) =
        (fleet.store.reads, fleet.store.writes, fleet.net.bytes_sent, fleet.busy_time);
    for number in 0..2 {
        let change = next_change(fleet, node, 10_000 + number);
        fleet.submit(node, change);
        fleet.run(Millis((DAY_SECONDS / CHANGES_PER_DAY * 1_000.0) as u64));
    }
    let rate = |now: u64, before: u64| {
        (now - before) as f64 / count as f64 / (2.0 * DAY_SECONDS / CHANGES_PER_DAY)
    };
    let root = fleet.store.root.as_ref().map(Root::to_json).unwrap_or_default();
    let start = elapsed_nanos();
    let parsed = Root::from_json(&root).is_ok();
    let parse_seconds = (elapsed_nanos() - start) as f64 / 1e9;
    assert!(parsed, "the root is not valid JSON");

    let mut byte_rate = rate(fleet.net.bytes_sent, bytes_before);
    let mut core_share = rate(fleet.busy_time, busy_before) / 1e9;
    if count == TARGET_ROUTERS {
        // The simulated fleet has 10 workspaces, since 340 copies of the settings of the target
        // size do not fit in memory. The cost of a change at the target size is measured on one
        // router and added here.
        byte_rate += target_cost.part_bytes * CHANGES_PER_DAY / DAY_SECONDS;
        core_share += target_cost.apply_seconds * CHANGES_PER_DAY / DAY_SECONDS;
    }
    // Each read of the store transfers the root, which counts as control traffic.
    let root_bytes = root.len() as f64;
    let store_reads = rate(fleet.store.reads, reads_before);
    byte_rate += store_reads * root_bytes;
    print_figure(
        &figure_name("control_bytes_s"),
        byte_rate,
        "B/s",
        Some(root_bytes),
        Some(20_000.0),
    );
    print_figure(&figure_name("store_reads_s"), store_reads, "1/s", Some(1.0), None);
    print_figure(
        &figure_name("store_writes_s"),
        rate(fleet.store.writes, writes_before),
        "1/s",
        Some(0.0),
        None,
    );
    print_figure(
        &figure_name("control_core_share"),
        core_share,
        "cores",
        Some(parse_seconds),
        Some(0.031),
    );
}

/// Prints the time until all running routers suspect one that was killed. There is no baseline, as
/// the baseline fleet has no heartbeats.
fn print_suspicion_time(fleet: &mut Fleet, count: usize) {
    let mut seconds_taken = Vec::new();
    for round in 0..if count == TARGET_ROUTERS { 3 } else { 20 } {
        let killed = (round * 7 + 1) % count;
        let id = fleet.nodes[killed].id.clone();
        fleet.kill(killed);
        let start = fleet.now;
        let suspected = |fleet: &Fleet| {
            let mut processes = fleet.nodes.iter().filter_map(|node| node.process.as_ref());
            processes.all(|process| process.members.state(&id) == Some(MemberState::Suspect))
        };
        while !suspected(fleet) && fleet.now.since(start) < WAIT_LIMIT {
            fleet.run(Millis(10));
        }
        seconds_taken.push(fleet.now.since(start).0 as f64 / 1_000.0);
        fleet.start(killed);
        let pause = 20_000 + fleet.net.draw(1_000);
        fleet.run(Millis(pause));
    }
    let seconds = percentile(&mut seconds_taken, 0.99);
    print_figure(&format!("noticed_s.{count}"), seconds, "s", None, None);
    if count == CURRENT_ROUTERS {
        print_figure("noticed_s", seconds, "s", None, None);
    }
}

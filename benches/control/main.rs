//! Measures the time until a configuration change is in force on all routers, and the cost of the
//! control plane.
//!
//! Routers and the store are simulated in memory with a manual clock; messages take 1 ms one way.
//! Prints one JSON object per line. The baseline is a fleet in which every router reads the root
//! from the store each second. CPU time is measured; all other figures are deterministic for a
//! seed.

#[path = "../../crates/berylwheel-config/tests/common/mod.rs"]
mod common;
mod figure;
mod work;

use berylwheel_config::MemberState;
use berylwheel_config::Root;
use berylwheel_types::Millis;
use common::Fleet;
use figure::baseline_in_force;
use figure::nanos;
use figure::percentile;
use figure::print;
use work::SEED;
use work::TargetSize;
use work::faulty_changes;
use work::first;
use work::next;
use work::target_size;

/// The target size, in changes per day and routers.
const CHANGES_A_DAY: f64 = 2_200.0;
const DAY: f64 = 86_400.0;
const TARGET_ROUTERS: usize = 340;

/// The number of routers in the current fleet.
const TODAY_ROUTERS: usize = 9;

/// Longest time to wait for a change or a suspicion; a longer time is counted as this one.
const LIMIT: Millis = Millis(120_000);

fn main() {
    // `cargo test --benches` runs the binary without `--bench`; nothing is measured then.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    let one = target_size();
    print("apply_s.target", one.apply, "s", None, None);
    print("part_bytes.target", one.part, "B", None, Some(20_000.0));
    for count in [3, TODAY_ROUTERS, 27, TARGET_ROUTERS] {
        fleet(count, &one);
    }
    let (changes, reverts) = faulty_changes(TODAY_ROUTERS, 1_000);
    print("changes", changes as f64, "1", None, Some(1_000.0));
    print("reverts", reverts as f64, "1", None, Some(0.0));
}

/// Prints the figures of a fleet of `count` routers without faults.
fn fleet(count: usize, one: &TargetSize) {
    let large = count == TARGET_ROUTERS;
    let mut fleet = Fleet::new(count, SEED);
    fleet.net.message_size = |message| postcard::to_stdvec(message).map_or(0, |bytes| bytes.len());
    fleet.timer = nanos;
    fleet.submit(0, first(10));
    fleet.run(Millis(if large { 130_000 } else { 30_000 }));

    let changes = if large { 40 } else { 400 };
    let mut times = Vec::new();
    for number in 0..changes {
        let pause = 500 + fleet.net.draw(1_500);
        fleet.run(Millis(pause));
        let node = fleet.net.draw(count as u64) as usize;
        let change = next(&fleet, node, number);
        fleet.submit(node, change);
        let start = fleet.now;
        let wanted = fleet.version(node).next();
        let waits = |fleet: &Fleet| {
            let stored = fleet.store.root.as_ref().map(|root| root.version);
            stored != Some(wanted) || !fleet.converged()
        };
        while waits(&fleet) && fleet.now.since(start) < LIMIT {
            fleet.run(Millis(1));
        }
        times.push(fleet.now.since(start).0 as f64 / 1_000.0);
    }
    let baseline = baseline_in_force(&mut fleet.net, count, changes);
    let target = match count {
        TODAY_ROUTERS => Some(2.0),
        TARGET_ROUTERS => Some(20.0),
        _ => None,
    };
    let name = |figure: &str| format!("{figure}.{count}");
    print(&name("in_force_s.p99"), percentile(&mut times, 0.99), "s", Some(baseline), target);
    costs(&mut fleet, count, one);
    noticed(&mut fleet, count);
    if let Some(text) = fleet.violations.first() {
        eprintln!("{count} routers: {text}");
    }
}

/// Prints the cost of the control plane per router at the change rate of the target size.
fn costs(fleet: &mut Fleet, count: usize, one: &TargetSize) {
    let name = |figure: &str| format!("{figure}.{count}");
    let node = count - 1;
    let (reads, writes, bytes, busy_time) =
        (fleet.store.reads, fleet.store.writes, fleet.net.bytes_sent, fleet.busy_time);
    for number in 0..2 {
        let change = next(fleet, node, 10_000 + number);
        fleet.submit(node, change);
        fleet.run(Millis((DAY / CHANGES_A_DAY * 1_000.0) as u64));
    }
    let share =
        |now: u64, before: u64| (now - before) as f64 / count as f64 / (2.0 * DAY / CHANGES_A_DAY);
    let root = fleet.store.root.as_ref().map(Root::to_json).unwrap_or_default();
    let start = nanos();
    let parsed = Root::from_json(&root).is_ok();
    let read = (nanos() - start) as f64 / 1e9;
    assert!(parsed, "the root is not valid JSON");

    let mut sent = share(fleet.net.bytes_sent, bytes);
    let mut core = share(fleet.busy_time, busy_time) / 1e9;
    if count == TARGET_ROUTERS {
        // The simulated fleet has 10 workspaces, since 340 copies of the settings of the target
        // size do not fit in memory. The cost of a change at the target size is measured on one
        // router and added here.
        sent += one.part * CHANGES_A_DAY / DAY;
        core += one.apply * CHANGES_A_DAY / DAY;
    }
    // Each read of the store transfers the root, which counts as control traffic.
    let root_bytes = root.len() as f64;
    let store_reads = share(fleet.store.reads, reads);
    sent += store_reads * root_bytes;
    print(&name("control_bytes_s"), sent, "B/s", Some(root_bytes), Some(20_000.0));
    print(&name("store_reads_s"), store_reads, "1/s", Some(1.0), None);
    print(&name("store_writes_s"), share(fleet.store.writes, writes), "1/s", Some(0.0), None);
    print(&name("control_core_share"), core, "cores", Some(read), Some(0.031));
}

/// Prints the time until all running routers suspect one that was killed. There is no baseline, as
/// the baseline fleet has no heartbeats.
fn noticed(fleet: &mut Fleet, count: usize) {
    let mut times = Vec::new();
    for round in 0..if count == TARGET_ROUTERS { 3 } else { 20 } {
        let killed = (round * 7 + 1) % count;
        let id = fleet.nodes[killed].id.clone();
        fleet.kill(killed);
        let start = fleet.now;
        let suspected = |fleet: &Fleet| {
            let mut processes = fleet.nodes.iter().filter_map(|node| node.process.as_ref());
            processes.all(|process| process.members.state(&id) == Some(MemberState::Suspect))
        };
        while !suspected(fleet) && fleet.now.since(start) < LIMIT {
            fleet.run(Millis(10));
        }
        times.push(fleet.now.since(start).0 as f64 / 1_000.0);
        fleet.start(killed);
        let pause = 20_000 + fleet.net.draw(1_000);
        fleet.run(Millis(pause));
    }
    let time = percentile(&mut times, 0.99);
    print(&format!("noticed_s.{count}"), time, "s", None, None);
    if count == TODAY_ROUTERS {
        print("noticed_s", time, "s", None, None);
    }
}

//! Changes and control work of real router processes with a stand-in store, on one machine.
//!
//! Each line is one JSON object. Processor time is that of a router's process, which has no callers.

#[path = "../../tests/support/mod.rs"]
mod support;

use std::fs;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use http_types::Method;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use support::Fleet;
use support::get;
use support::wait_until;

const SEED: u64 = 7;
const CHANGES: u64 = 120;
/// Time in which a fleet that has started reads its list of routers once more.
const SETTLE: Duration = Duration::from_secs(12);
const IDLE: Duration = Duration::from_secs(20);
/// Pause between looks at routers that do not have a change yet.
const POLL: Duration = Duration::from_millis(2);
const KILLS: usize = 3;
/// Clock ticks a second in /proc/PID/stat, which Linux fixes for user space.
const TICKS: f64 = 100.0;

fn main() {
    // `cargo test --benches` runs the binary without measuring.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    for count in [3, 9] {
        let mut fleet = Fleet::start(&format!("bench_fleet_{count}"), count, &[], 1_000);
        wait_live(&fleet, &[]);
        thread::sleep(SETTLE);
        idle(&fleet, count);
        if count == 9 {
            in_force(&fleet);
            noticed(&mut fleet);
        }
    }
}

fn print(figure: &str, value: f64, unit: &str, target: Option<f64>) {
    let line = json!({
        "figure": figure,
        "value": value,
        "unit": unit,
        "baseline": Value::Null,
        "target": target,
        "seed": SEED,
    });
    println!("{line}");
}

/// What the fleet has used since it started.
#[derive(Debug)]
struct Used {
    at: Instant,
    /// Seconds of processor time of each router.
    core: Vec<f64>,
    /// Bytes of each router's links, in and out.
    link: Vec<f64>,
    store: Value,
}

impl Used {
    fn read(fleet: &Fleet) -> Self {
        let link = |i: usize| {
            let dump = get(fleet.admin(i), "/dump").json();
            let bytes = |name: &str| dump["fleet"]["link"][name].as_f64().expect("a count");
            bytes("bytes_in") + bytes("bytes_out")
        };
        let count = fleet.routers.len();
        Self {
            at: Instant::now(),
            core: fleet.routers.iter().map(|router| core_time(router.id())).collect(),
            link: (0..count).map(link).collect(),
            store: get(fleet.store.address("listen"), "/stats").json(),
        }
    }
}

/// Returns the seconds of processor time that a process has used.
fn core_time(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).expect("the process runs");
    // The name in brackets may hold blanks; user and system time are the 12th and 13th field after.
    let (_, fields) = stat.rsplit_once(')').expect("a name in brackets");
    let ticks = |i: usize| fields.split_whitespace().nth(i).and_then(|text| text.parse().ok());
    let sum: f64 = [11, 12].into_iter().map(|i| ticks(i).unwrap_or(0.0)).sum();
    sum / TICKS
}

fn most(after: &[f64], before: &[f64]) -> f64 {
    after.iter().zip(before).map(|(after, before)| after - before).fold(0.0, f64::max)
}

/// Prints what routers without callers use. Figures of a router are those of the one that uses most;
/// the store's bytes are shared out evenly.
fn idle(fleet: &Fleet, count: usize) {
    let before = Used::read(fleet);
    thread::sleep(IDLE);
    let after = Used::read(fleet);
    let time = after.at.duration_since(before.at).as_secs_f64();
    let store = |name: &str| {
        let value = |used: &Used| used.store[name].as_f64().expect("a count");
        (value(&after) - value(&before)) / time
    };
    let bytes = most(&after.link, &before.link) / time + store("bytes") / count as f64;
    let share = most(&after.core, &before.core) / time;
    print(&format!("control_core_share.{count}"), share, "cores", Some(0.031));
    print(&format!("control_bytes_s.{count}"), bytes, "B/s", Some(20_480.0));
    print(&format!("store_reads_s.{count}"), store("reads"), "1/s", None);
    print(&format!("store_writes_s.{count}"), store("writes"), "1/s", None);
}

/// Prints the time from the answer that a change is accepted until all routers have it.
fn in_force(fleet: &Fleet) {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut times = Vec::new();
    for number in 0..CHANGES {
        thread::sleep(Duration::from_millis(random.random_range(50..250)));
        let edit = json!({
            "section": "kind chat",
            "key": "max_tokens",
            "value": (1_000 + number).to_string(),
        });
        let change = json!({ "change": format!("c-{number}"), "edits": [edit] });
        let router = random.random_range(0..fleet.routers.len());
        let answer = fleet.send_as_operator_to(router, Method::Post, "/admin/config", &change);
        let start = Instant::now();
        let version = answer.json()["version"].as_u64().expect("the change is accepted");
        let mut waiting: Vec<usize> = (0..fleet.routers.len()).collect();
        while !waiting.is_empty() {
            waiting.retain(|i| {
                let answer = get(fleet.admin(*i), "/version").json();
                answer["version"].as_u64().is_none_or(|found| found < version)
            });
            thread::sleep(POLL);
        }
        times.push(start.elapsed().as_secs_f64());
    }
    times.sort_by(f64::total_cmp);
    let at = |rank: f64| times[((times.len() as f64 * rank).ceil() as usize).max(1) - 1];
    print("in_force_s.p50", at(0.5), "s", None);
    // With fewer than 1,000 changes this is the longest time.
    print("in_force_s.p99.9", at(0.999), "s", Some(2.0));
    print("in_force_changes", times.len() as f64, "1", Some(100.0));
}

/// Prints the longest time until all others suspect a router that was killed.
fn noticed(fleet: &mut Fleet) {
    let mut longest = 0.0_f64;
    for round in 0..KILLS {
        let killed = (round * 4 + 1) % fleet.routers.len();
        fleet.routers[killed].kill();
        let start = Instant::now();
        wait_live(fleet, &[killed]);
        longest = longest.max(start.elapsed().as_secs_f64());
        fleet.start_router(killed);
        wait_live(fleet, &[]);
    }
    print("noticed_s", longest, "s", None);
}

/// Waits until all routers hold all but `killed` live.
fn wait_live(fleet: &Fleet, killed: &[usize]) {
    let running: Vec<usize> = (0..fleet.routers.len()).filter(|i| !killed.contains(i)).collect();
    let has_all = |i: &usize| {
        let dump = get(fleet.admin(*i), "/dump").json();
        dump["fleet"]["live"].as_array().is_some_and(|live| live.len() == running.len())
    };
    wait_until("the routers know who is live", || running.iter().all(has_all).then_some(()));
}

//! Measures configuration changes and the cost of the control plane with real router processes and
//! a stand-in store on one machine.
//!
//! Prints one JSON object per line. CPU time is that of a router process that serves no requests.

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
/// Delay before measuring, in which a newly started fleet reads its list of routers once more.
const SETTLE_TIME: Duration = Duration::from_secs(12);
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Interval at which routers that do not have a change yet are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const KILLS: usize = 3;
/// Clock ticks per second in `/proc/PID/stat`. Linux fixes this rate for user space.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    // `cargo test --benches` runs the binary without `--bench`; nothing is measured then.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    for count in [3, 9] {
        let mut fleet = Fleet::start(&format!("bench_fleet_{count}"), count, &[], 1_000);
        wait_for_membership(&fleet, &[]);
        thread::sleep(SETTLE_TIME);
        print_idle_use(&fleet, count);
        if count == 9 {
            print_in_force_time(&fleet);
            print_suspicion_time(&mut fleet);
        }
    }
}

fn print_figure(figure: &str, value: f64, unit: &str, target: Option<f64>) {
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

/// Resources that the fleet has used since it started.
#[derive(Debug)]
struct ResourceUse {
    read_at: Instant,
    /// CPU seconds of each router.
    cpu_seconds: Vec<f64>,
    /// Bytes that each router has received and sent over its links.
    link_bytes: Vec<f64>,
    store_stats: Value,
}

impl ResourceUse {
    fn read(fleet: &Fleet) -> Self {
        let link = |i: usize| {
            let dump = get(fleet.admin(i), "/dump").json();
            let bytes = |name: &str| dump["fleet"]["link"][name].as_f64().expect("a counter");
            bytes("bytes_in") + bytes("bytes_out")
        };
        let count = fleet.routers.len();
        Self {
            read_at: Instant::now(),
            cpu_seconds: fleet
                .routers
                .iter()
                .map(|router| process_cpu_seconds(router.id()))
                .collect(),
            link_bytes: (0..count).map(link).collect(),
            store_stats: get(fleet.store.address("listen"), "/stats").json(),
        }
    }
}

/// Returns the CPU seconds that a process has used.
fn process_cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process is running");
    // The command name in parentheses may contain spaces, so fields are counted after it: user and
    // system time are the 12th and 13th.
    let (_, fields) = stat.rsplit_once(')').expect("a command name in parentheses");
    let ticks = |i: usize| fields.split_whitespace().nth(i).and_then(|text| text.parse().ok());
    let sum: f64 = [11, 12].into_iter().map(|i| ticks(i).unwrap_or(0.0)).sum();
    sum / TICKS_PER_SECOND
}

fn max_increase(after: &[f64], before: &[f64]) -> f64 {
    after.iter().zip(before).map(|(after, before)| after - before).fold(0.0, f64::max)
}

/// Prints the resource use of routers that serve no requests. Figures per router are the highest of
/// all routers; the bytes of the store are divided evenly among them.
fn print_idle_use(fleet: &Fleet, count: usize) {
    let before = ResourceUse::read(fleet);
    thread::sleep(IDLE_TIME);
    let after = ResourceUse::read(fleet);
    let seconds = after.read_at.duration_since(before.read_at).as_secs_f64();
    let store_rate = |name: &str| {
        let value = |usage: &ResourceUse| usage.store_stats[name].as_f64().expect("a counter");
        (value(&after) - value(&before)) / seconds
    };
    let byte_rate = max_increase(&after.link_bytes, &before.link_bytes) / seconds
        + store_rate("bytes") / count as f64;
    let core_share = max_increase(&after.cpu_seconds, &before.cpu_seconds) / seconds;
    print_figure(&format!("control_core_share.{count}"), core_share, "cores", Some(0.031));
    print_figure(&format!("control_bytes_s.{count}"), byte_rate, "B/s", Some(20_480.0));
    print_figure(&format!("store_reads_s.{count}"), store_rate("reads"), "1/s", None);
    print_figure(&format!("store_writes_s.{count}"), store_rate("writes"), "1/s", None);
}

/// Prints the time from the response that accepts a change until all routers have its version.
fn print_in_force_time(fleet: &Fleet) {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut seconds = Vec::new();
    for number in 0..CHANGES {
        thread::sleep(Duration::from_millis(rng.random_range(50..250)));
        let edit = json!({
            "section": "kind chat",
            "key": "max_tokens",
            "value": (1_000 + number).to_string(),
        });
        let change = json!({ "change": format!("c-{number}"), "edits": [edit] });
        let router = rng.random_range(0..fleet.routers.len());
        let response = fleet.send_as_operator_to(router, Method::Post, "/admin/config", &change);
        let start = Instant::now();
        let version = response.json()["version"].as_u64().expect("the change is accepted");
        let mut pending: Vec<usize> = (0..fleet.routers.len()).collect();
        while !pending.is_empty() {
            pending.retain(|i| {
                let response = get(fleet.admin(*i), "/version").json();
                response["version"].as_u64().is_none_or(|current| current < version)
            });
            thread::sleep(POLL_INTERVAL);
        }
        seconds.push(start.elapsed().as_secs_f64());
    }
    seconds.sort_by(f64::total_cmp);
    let percentile =
        |quantile: f64| seconds[((seconds.len() as f64 * quantile).ceil() as usize).max(1) - 1];
    print_figure("in_force_s.p50", percentile(0.5), "s", None);
    // With fewer than 1,000 changes the 99.9th percentile is the longest time.
    print_figure("in_force_s.p99.9", percentile(0.999), "s", Some(2.0));
    print_figure("in_force_changes", seconds.len() as f64, "1", Some(100.0));
}

/// Prints the longest time until no running router lists a killed one as live.
fn print_suspicion_time(fleet: &mut Fleet) {
    let mut longest = 0.0_f64;
    for round in 0..KILLS {
        let killed = (round * 4 + 1) % fleet.routers.len();
        fleet.routers[killed].kill();
        let start = Instant::now();
        wait_for_membership(fleet, &[killed]);
        longest = longest.max(start.elapsed().as_secs_f64());
        fleet.start_router(killed);
        wait_for_membership(fleet, &[]);
    }
    print_figure("noticed_s", longest, "s", None);
}

/// Waits until all running routers list all routers but `killed` as live.
fn wait_for_membership(fleet: &Fleet, killed: &[usize]) {
    let running: Vec<usize> = (0..fleet.routers.len()).filter(|i| !killed.contains(i)).collect();
    let lists_running = |i: &usize| {
        let dump = get(fleet.admin(*i), "/dump").json();
        dump["fleet"]["live"].as_array().is_some_and(|live| live.len() == running.len())
    };
    wait_until("every running router lists all running routers as live", || {
        running.iter().all(lists_running).then_some(())
    });
}

//! Measures the memory of a router's state by size, and the encoded sizes of stored data and
//! messages.
//!
//! Each state is built in a separate process because freed memory stays resident: the bench runs
//! itself with the name of the case and the size. Results are printed as JSON lines. The baseline
//! is the resident memory before the state is built; the value excludes it.

mod ledger;
mod state;
mod stream;
mod wire;

use std::env;
use std::fs;
use std::hint::black_box;
use std::process::Command;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use serde_json::json;

/// Reported with each figure; this bench uses no random numbers.
const SEED: u64 = 0;
/// Unit of /proc/self/statm on x86-64 and on most 64-bit ARM systems.
const MEMORY_PAGE_BYTES: f64 = 4_096.0;

const RSS_CASES: [(&str, [usize; 3]); 4] = [
    ("holder_rss_bytes", [1_000, 4_000, 16_000]),
    ("settings_rss_bytes", [1_000, 4_000, 12_000]),
    ("routes_rss_bytes", [100, 300, 930]),
    ("requests_rss_bytes", [1_000, 4_000, 16_000]),
];
/// Numbers of budgets in one ledger page.
const BUDGET_COUNTS: [usize; 3] = [30, 120, 480];
/// Numbers of holders with a row for each budget of a page of 120. The target size has three, one
/// per region.
const HOME_COUNTS: [usize; 4] = [1, 3, 9, 27];
/// Numbers of VMs in the platform's list, and of routers in the store's list.
const LIST_LENGTHS: [usize; 3] = [12, 340, 1_270];
/// Numbers of workspaces in a configuration.
const WORKSPACE_COUNTS: [usize; 3] = [1_000, 4_000, 12_000];
/// Numbers of open streams at one router. The last is that of a router at the target size.
const STREAM_COUNTS: [usize; 3] = [0, 75, 225];
/// Numbers of queued requests when the time of a scheduling decision is measured.
const QUEUE_LENGTHS: [usize; 3] = [10, 100, 1_000];

fn main() -> Result<()> {
    let args: Vec<String> = env::args().skip(1).filter(|arg| arg != "--bench").collect();
    if let [case, size] = args.as_slice() {
        return measure(case, size.parse()?);
    }
    // `cargo test --benches` runs the binary without `--bench`; nothing is measured then.
    if !env::args().any(|arg| arg == "--bench") {
        return Ok(());
    }
    for (case, sizes) in RSS_CASES {
        for size in sizes {
            let args = [case.to_owned(), size.to_string()];
            let status = Command::new(env::current_exe()?).args(args).status()?;
            anyhow::ensure!(status.success(), "{case} {size}: {status}");
        }
    }
    for size in BUDGET_COUNTS {
        let bytes = ledger::page_bytes(size, 3) as f64;
        print_figure(&format!("page_bytes.{size}"), bytes, "B", None, Some(1_048_576.0));
        print_figure(&format!("page_codec_s.{size}"), ledger::codec_seconds(size), "s", None, None);
    }
    for homes in HOME_COUNTS {
        let bytes = ledger::page_bytes(120, homes) as f64;
        print_figure(&format!("page_homes_bytes.{homes}"), bytes, "B", None, Some(1_048_576.0));
    }
    for size in LIST_LENGTHS {
        print_figure(
            &format!("vm_list_bytes.{size}"),
            wire::vm_list_bytes(size) as f64,
            "B",
            None,
            None,
        );
        let bytes = wire::registry_bytes(size) as f64;
        print_figure(&format!("registry_bytes.{size}"), bytes, "B", None, None);
    }
    for shares in [0, 16] {
        let bytes = wire::heartbeat_bytes(shares) as f64;
        print_figure(&format!("heartbeat_bytes.{shares}"), bytes, "B", None, None);
    }
    for size in WORKSPACE_COUNTS {
        let bytes = state::largest_part_bytes(size) as f64;
        print_figure(&format!("largest_part_bytes.{size}"), bytes, "B", None, Some(20_000.0));
    }
    for size in QUEUE_LENGTHS {
        print_figure(&format!("decision_s.{size}"), state::decision_seconds(size), "s", None, None);
    }
    for count in STREAM_COUNTS {
        let cost = stream::measure_cost(count)?;
        print_figure(&format!("stream_core_share.{count}"), cost.core_share, "cores", None, None);
        print_figure(&format!("stream_rss_bytes.{count}"), cost.resident_bytes, "B", None, None);
    }
    Ok(())
}

/// Prints the resident memory that a state of the given size adds.
fn measure(case: &str, size: usize) -> Result<()> {
    let before = resident_bytes()?;
    let after = match case {
        "holder_rss_bytes" => resident_with(ledger::holder(size))?,
        "settings_rss_bytes" => resident_with(state::config_state(size))?,
        "routes_rss_bytes" => resident_with(state::load_balancer(size))?,
        "requests_rss_bytes" => resident_with(state::scheduler(size))?,
        _ => bail!("unknown case {case}"),
    };
    print_figure(&format!("{case}.{size}"), after - before, "B", Some(before), None);
    Ok(())
}

/// Returns the resident memory while `state` exists.
fn resident_with<T>(state: T) -> Result<f64> {
    let bytes = resident_bytes();
    black_box(&state);
    bytes
}

fn resident_bytes() -> Result<f64> {
    resident_bytes_of("self")
}

/// Returns the resident memory of a process.
fn resident_bytes_of(process: &str) -> Result<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/statm")).context("statm")?;
    let pages: f64 =
        text.split_whitespace().nth(1).context("statm lacks the resident pages")?.parse()?;
    Ok(pages * MEMORY_PAGE_BYTES)
}

/// Returns the processor time used by this process. Unlike elapsed time, it excludes the time that
/// other processes use.
fn processor_nanos() -> u64 {
    let text = fs::read_to_string("/proc/self/schedstat").expect("/proc/self/schedstat");
    text.split_whitespace()
        .next()
        .and_then(|field| field.parse().ok())
        .expect("a processor time in nanoseconds")
}

fn print_figure(figure: &str, value: f64, unit: &str, baseline: Option<f64>, target: Option<f64>) {
    let line = json!({
        "figure": figure,
        "value": value,
        "unit": unit,
        "baseline": baseline,
        "target": target,
        "seed": SEED,
    });
    println!("{line}");
}

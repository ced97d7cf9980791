//! Computes the capacity table from benchmark results.
//!
//! `cargo run --example capacity -- docs/figures/*.jsonl` prints the Markdown table of
//! docs/CAPACITY.md. Figures named `NAME.N` are fitted linearly over N. Figures named `NAME.rR.bB`
//! are fitted linearly over R routers at the largest measured number B of budgets. The table marks
//! each value as measured (at exactly this size), extrapolated (from a fit), or not measured
//! (computed from the target sizes in docs/design.md, or unknown).

use std::collections::BTreeMap;
use std::env;
use std::fs;

use anyhow::Context;
use anyhow::Result;
use serde_json::Value;

/// Target size of a deployment, from docs/design.md.
const NODES: f64 = 340.0;
const SERVERS: f64 = 930.0;
const BUDGETS: f64 = 490_000.0;
const WORKSPACES: f64 = 12_000.0;
const REQUESTS_S: f64 = 5_600.0;
const TOKENS_S: f64 = 1_500_000.0;
const CHANGES_S: f64 = 2_200.0 / 86_400.0;
const FIRST_TOKEN_S: f64 = 0.79;
const TOKEN_GAP_S: f64 = 0.048;
/// Number of ledger pages, home routers per budget, and maximum interval between settlements.
const PAGES: f64 = 4_096.0;
const HOMES: f64 = 3.0;
const SETTLE_S: f64 = 60.0;
/// Bytes on the wire per byte of a store value, which is transferred as base64.
const BASE64: f64 = 4.0 / 3.0;
/// Heartbeats per second from each router, and the interval between reads of the list of routers.
const HEARTBEATS_S: f64 = 4.0;
const REGISTRY_S: f64 = 10.0;

/// Resource limits of a node and of the store.
const CORE_LIMIT: f64 = 0.031;
const MEMORY_LIMIT: f64 = 256.0 * 1_048_576.0;
const BYTES_LIMIT: f64 = 20.0 * 1_024.0;
const WRITES_LIMIT: f64 = 300.0;
const READS_LIMIT: f64 = 2_000.0;
const VALUE_LIMIT: f64 = 1_048_576.0;
const IN_FORCE_LIMIT: f64 = 20.0;

/// How a value was obtained, ordered from the most to the least reliable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Mark {
    Measured,
    Extrapolated,
    NotMeasured,
}

impl Mark {
    const fn name(self) -> &'static str {
        match self {
            Self::Measured => "measured",
            Self::Extrapolated => "extrapolated",
            Self::NotMeasured => "**not measured**",
        }
    }
}

/// An optional value and how it was obtained.
#[derive(Debug, Clone, Copy)]
struct Known {
    value: Option<f64>,
    mark: Mark,
}

/// Returns a value that is computed from the target sizes only.
const fn assumed(value: f64) -> Known {
    Known { value: Some(value), mark: Mark::NotMeasured }
}

const UNKNOWN: Known = Known { value: None, mark: Mark::NotMeasured };

impl Known {
    /// Multiplies the value by a constant factor, which leaves the mark unchanged.
    fn times(self, factor: f64) -> Self {
        Self { value: self.value.map(|value| value * factor), ..self }
    }

    /// Returns the sum with the least reliable mark of its parts. Parts without a value are skipped.
    fn sum(parts: &[Self]) -> Self {
        let mark = parts.iter().map(|part| part.mark).max().unwrap_or(Mark::NotMeasured);
        Self { value: Some(parts.iter().filter_map(|part| part.value).sum()), mark }
    }
}

/// Evaluates the least-squares line through `points` at `x`.
fn line(points: &[(f64, f64)], x: f64) -> Option<f64> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>() / spread;
    (spread > 0.0).then_some(mean_y + slope * (x - mean_x))
}

/// Benchmark results by figure name.
struct Figures(BTreeMap<String, f64>);

impl Figures {
    fn read(files: impl Iterator<Item = String>) -> Result<Self> {
        let mut figures = BTreeMap::new();
        for file in files {
            let text = fs::read_to_string(&file).with_context(|| format!("cannot read {file}"))?;
            for (index, row) in text.lines().enumerate() {
                let place = || format!("{file}, line {}", index + 1);
                let row: Value = serde_json::from_str(row).with_context(place)?;
                let name = row["figure"].as_str().with_context(place)?;
                let value = row["value"].as_f64().with_context(place)?;
                figures.insert(name.to_owned(), value);
            }
        }
        Ok(Self(figures))
    }

    /// Returns a measured figure.
    fn at(&self, name: &str) -> Known {
        match self.0.get(name) {
            Some(value) => Known { value: Some(*value), mark: Mark::Measured },
            None => UNKNOWN,
        }
    }

    /// Returns `NAME.N` at N = `x`, fitted over N.
    fn over(&self, name: &str, x: f64) -> Known {
        let prefix = format!("{name}.");
        let sizes = self.0.iter().filter_map(|(figure, value)| {
            Some((figure.strip_prefix(&prefix)?.parse::<f64>().ok()?, *value))
        });
        fitted(&sizes.collect::<Vec<_>>(), x)
    }

    /// Returns the points `(R, B, value)` of the figures named `NAME.rR.bB`.
    fn grid(&self, name: &str) -> Vec<(f64, f64, f64)> {
        let prefix = format!("{name}.r");
        let point = |figure: &str, value: f64| {
            let (routers, budgets) = figure.strip_prefix(&prefix)?.split_once(".b")?;
            Some((routers.parse().ok()?, budgets.parse().ok()?, value))
        };
        self.0.iter().filter_map(|(figure, value)| point(figure, *value)).collect()
    }

    /// Returns `NAME.rR.bB` at the target number of nodes, and the number of budgets that it applies
    /// to. The fit over routers uses only the largest measured number of budgets: smaller ledgers
    /// have no home routers, so their figures lie on a different line. `scale` returns the factor
    /// that converts a figure per router to one for the whole fleet.
    fn fleet(&self, name: &str, scale: fn(f64) -> f64) -> (Known, f64) {
        let grid = self.grid(name);
        let most = grid.iter().map(|point| point.1).fold(0.0, f64::max);
        let points = grid.iter().filter(|point| point.1 == most);
        let points: Vec<_> = points.map(|(r, _, value)| (*r, value * scale(*r))).collect();
        (fitted(&points, NODES), most)
    }
}

fn fitted(points: &[(f64, f64)], x: f64) -> Known {
    if let Some((_, value)) = points.iter().find(|point| point.0 == x) {
        return Known { value: Some(*value), mark: Mark::Measured };
    }
    // A negative value shows that a line does not fit the figure.
    match line(points, x).filter(|value| *value >= 0.0) {
        Some(value) => Known { value: Some(value), mark: Mark::Extrapolated },
        None => UNKNOWN,
    }
}

/// Prints the rows of the Markdown table.
struct Table {
    role: &'static str,
}

impl Table {
    fn role(&mut self, role: &'static str) {
        self.role = role;
    }

    fn row(&self, what: &str, unit: &str, known: Known, limit: Option<f64>, source: &str) {
        let value = known.value.map_or("-".to_owned(), |value| amount(value, unit));
        let most = limit.map_or("-".to_owned(), |limit| amount(limit, unit));
        let room = match (known.value, limit) {
            (Some(value), Some(limit)) if value > limit => {
                format!("**over by {:.1} times**", value / limit)
            }
            (Some(value), Some(limit)) => format!("{:.0}% left", (1.0 - value / limit) * 100.0),
            _ => "-".to_owned(),
        };
        let (role, mark) = (self.role, known.mark.name());
        println!("| {role} | {what} | {value} | {most} | {room} | {mark} | {source} |");
    }
}

/// Formats a value with its unit for display.
fn amount(value: f64, unit: &str) -> String {
    match unit {
        "B" | "B/s" => {
            let rate = unit.trim_start_matches('B');
            match value {
                v if v >= 1_048_576.0 => format!("{:.1} MB{rate}", v / 1_048_576.0),
                v if v >= 1_024.0 => format!("{:.1} KB{rate}", v / 1_024.0),
                v => format!("{v:.0} B{rate}"),
            }
        }
        "core" => format!("{:.3}% of a core", value * 100.0),
        _ if value >= 10.0 => format!("{value:.0} {unit}"),
        _ => format!("{value:.2} {unit}"),
    }
}

fn main() -> Result<()> {
    let figures = Figures::read(env::args().skip(1))?;
    let mut table = Table { role: "" };
    println!("| role | what | at the target size | limit | room | known | from |");
    println!("|---|---|---|---|---|---|---|");

    let rate = REQUESTS_S / NODES;
    let time = FIRST_TOKEN_S + TOKENS_S / REQUESTS_S * TOKEN_GAP_S;
    let active = (rate * time).round();
    let design = "sizes of the design page";

    table.role("entry and streaming");
    table.row("state: requests in progress, a node", "requests", assumed(active), None, design);
    let events = assumed(TOKENS_S / NODES);
    table.row("messages: events streamed, a node", "1/s", events, None, design);
    let streaming = figures.over("stream_core_share", active);
    table.row("processor time, whole process", "core", streaming, None, "`stream_core_share.N`");
    let process = figures.over("stream_rss_bytes", active);
    let source = "`stream_rss_bytes.N`, small state";
    table.row("memory, whole process", "B", process, Some(MEMORY_LIMIT), source);

    table.role("control thread");
    let routes = figures.over("routes_rss_bytes", SERVERS);
    table.row("state: routes to all servers", "B", routes, None, "`routes_rss_bytes.N`");
    table.row("messages: commands, a node", "1/s", assumed(2.0 * rate), None, design);
    let decisions = figures.over("decision_s", active).times(rate);
    table.row("processor time", "core", decisions, Some(CORE_LIMIT), "`decision_s.N`");
    let queue = figures.over("requests_rss_bytes", active);
    table.row("memory: requests in the scheduler", "B", queue, None, "`requests_rss_bytes.N`");

    table.role("grant holder");
    let grants = BUDGETS * HOMES / NODES;
    table.row("state: budgets with a grant, a node", "budgets", assumed(grants), None, design);
    // A holder settles each page at most once per SETTLE_S, so additional budgets add no writes
    // once every page is in use.
    let (writes, _) = figures.fleet("store_writes_s", |_| 1.0);
    table.row("messages: store writes, fleet", "1/s", writes, None, "`store_writes_s.rR.bB`");
    let ceiling = assumed(PAGES * HOMES / SETTLE_S);
    table.row("the same, each page once a minute", "1/s", ceiling, Some(WRITES_LIMIT), design);
    let (reads, _) = figures.fleet("store_reads_s", |_| 1.0);
    table.row("messages: store reads, fleet", "1/s", reads, None, "`store_reads_s.rR.bB`");
    let page = figures.over("page_bytes", BUDGETS / PAGES);
    let (bytes, most) = figures.fleet("control_bytes_s", |routers| routers);
    let small = figures.over("page_bytes", most / PAGES).value.unwrap_or(f64::NAN);
    let growth = page.value.unwrap_or(f64::NAN) / small;
    let settling = bytes.times(growth / NODES);
    let source = "`control_bytes_s.rR.bB`, `page_bytes.N`";
    table.row("messages: bytes, a node", "B/s", settling, Some(BYTES_LIMIT), source);
    // Covers encoding and decoding of pages, but not the processing of requests.
    let pages_s = PAGES * HOMES / SETTLE_S / NODES;
    let codec = figures.over("page_codec_s", BUDGETS / PAGES).times(pages_s);
    table.row("processor time for pages", "core", codec, Some(CORE_LIMIT), "`page_codec_s.N`");
    table.row("processor time for requests", "core", UNKNOWN, None, "no bench reads it");
    let holder = figures.over("holder_rss_bytes", grants);
    table.row("memory", "B", holder, None, "`holder_rss_bytes.N`");

    table.role("configuration spread");
    let part = figures.over("largest_part_bytes", WORKSPACES);
    table.row("state: largest part", "B", part, Some(20_000.0), "`largest_part_bytes.N`");
    let spread = figures.over("control_bytes_s", NODES);
    let source = "`control_bytes_s.N`, heartbeats without shares";
    table.row("messages: bytes, a node", "B/s", spread, Some(BYTES_LIMIT), source);
    let config_reads = figures.over("store_reads_s", NODES).times(NODES);
    table.row("messages: store reads, fleet", "1/s", config_reads, None, "`store_reads_s.N`");
    let in_force = figures.over("in_force_s.p99", NODES);
    table.row("in force everywhere", "s", in_force, Some(IN_FORCE_LIMIT), "`in_force_s.p99.N`");
    let spreading = figures.over("control_core_share", NODES);
    let source = "`control_core_share.N`";
    table.row("processor time, with membership", "core", spreading, Some(CORE_LIMIT), source);
    let settings = figures.over("settings_rss_bytes", WORKSPACES);
    table.row("memory", "B", settings, None, "`settings_rss_bytes.N`");

    table.role("membership");
    let vms = figures.over("vm_list_bytes", NODES + SERVERS);
    let source = "`vm_list_bytes.N`, read once a second";
    table.row("messages: VM list, a node", "B/s", vms, Some(BYTES_LIMIT), source);
    let heartbeats = figures.at("heartbeat_bytes.16").times(HEARTBEATS_S);
    let source = "`heartbeat_bytes.N`, without QUIC's own";
    table.row("messages: heartbeats out, a node", "B/s", heartbeats, Some(BYTES_LIMIT), source);
    // The heartbeats in `control_bytes_s.N` carry no service shares, so only the difference is
    // added to the total.
    let shares = Known::sum(&[heartbeats, figures.at("heartbeat_bytes.0").times(-HEARTBEATS_S)]);
    let registry = figures.over("registry_bytes", NODES).times(BASE64 / REGISTRY_S);
    let source = "`registry_bytes.N`, read every 10 s";
    table.row("messages: list of routers, a node", "B/s", registry, Some(BYTES_LIMIT), source);
    let noticed = figures.over("noticed_s", NODES);
    table.row("a dead router is noticed after", "s", noticed, None, "`noticed_s.N`");
    table.row("load reports of servers, a node", "B/s", UNKNOWN, Some(BYTES_LIMIT), "no bench");
    table.row("processor time", "core", UNKNOWN, None, "within configuration spread");
    table.row("memory", "B", UNKNOWN, None, "no bench reads it");

    table.role("store");
    let state = page.times(PAGES);
    table.row("state: all ledger pages", "B", state, None, "`page_bytes.N`");
    table.row("largest value: a ledger page", "B", page, Some(VALUE_LIMIT), "`page_bytes.N`");
    let rows = figures.over("page_homes_bytes", NODES);
    let source = "`page_homes_bytes.N`";
    table.row("the same with a row for each node", "B", rows, Some(VALUE_LIMIT), source);
    let changes = assumed(CHANGES_S);
    let all_writes = Known::sum(&[ceiling, changes]);
    table.row("messages: writes", "1/s", all_writes, Some(WRITES_LIMIT), "sum; bookings left out");
    let lists = assumed(NODES / REGISTRY_S);
    let all_reads = Known::sum(&[ceiling, config_reads, lists]);
    table.row("messages: reads", "1/s", all_reads, Some(READS_LIMIT), "sum; bookings left out");

    table.role("one node in all");
    let bytes = Known::sum(&[settling, spread, shares, registry, vms]);
    table.row("control bytes", "B/s", bytes, Some(BYTES_LIMIT), "sum of the rows above");
    let bytes = Known::sum(&[settling, spread, shares, registry]);
    table.row("the same without the VM list", "B/s", bytes, Some(BYTES_LIMIT), "sum");
    let core = Known::sum(&[decisions, spreading, codec]);
    let source = "sum; holder's requests and peer link left out";
    table.row("control processor time", "core", core, Some(CORE_LIMIT), source);
    let memory = Known::sum(&[process, routes, holder, settings]);
    let source = "sum; membership left out";
    table.row("memory", "B", memory, Some(MEMORY_LIMIT), source);
    Ok(())
}

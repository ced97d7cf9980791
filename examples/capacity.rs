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
const REQUESTS_PER_S: f64 = 5_600.0;
const TOKENS_PER_S: f64 = 1_500_000.0;
const CHANGES_PER_S: f64 = 2_200.0 / 86_400.0;
const FIRST_TOKEN_S: f64 = 0.79;
const TOKEN_GAP_S: f64 = 0.048;
/// Number of ledger pages, home routers per budget, and maximum interval between settlements.
const LEDGER_PAGES: f64 = 4_096.0;
const HOMES_PER_BUDGET: f64 = 3.0;
const SETTLE_INTERVAL_S: f64 = 60.0;
/// Bytes on the wire per byte of a store value, which is transferred as base64.
const BASE64_RATIO: f64 = 4.0 / 3.0;
/// Heartbeats per second from each router, and the interval between reads of the list of routers.
const HEARTBEATS_PER_S: f64 = 4.0;
const REGISTRY_INTERVAL_S: f64 = 60.0;

/// Limits of a node and of the store: share of a core, bytes of memory, control bytes per second,
/// store writes and reads per second, bytes of a store value, and seconds until a configuration is
/// in force.
const CORE_LIMIT: f64 = 0.031;
const MEMORY_LIMIT: f64 = 256.0 * 1_048_576.0;
const BYTES_LIMIT: f64 = 20.0 * 1_024.0;
const WRITES_LIMIT: f64 = 300.0;
const READS_LIMIT: f64 = 2_000.0;
const VALUE_LIMIT: f64 = 1_048_576.0;
const IN_FORCE_LIMIT: f64 = 20.0;

/// How a value was obtained, ordered from the most to the least reliable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Provenance {
    Measured,
    Extrapolated,
    NotMeasured,
}

impl Provenance {
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
struct Estimate {
    value: Option<f64>,
    provenance: Provenance,
}

/// Returns a value that is computed from the target sizes only.
const fn assumed(value: f64) -> Estimate {
    Estimate { value: Some(value), provenance: Provenance::NotMeasured }
}

const UNKNOWN: Estimate = Estimate { value: None, provenance: Provenance::NotMeasured };

impl Estimate {
    /// Multiplies the value by a constant factor; the provenance is unchanged.
    fn scaled(self, factor: f64) -> Self {
        Self { value: self.value.map(|value| value * factor), ..self }
    }

    /// Returns the sum with the least reliable provenance of its parts. Parts without a value are
    /// skipped.
    fn sum(parts: &[Self]) -> Self {
        let provenance =
            parts.iter().map(|part| part.provenance).max().unwrap_or(Provenance::NotMeasured);
        Self { value: Some(parts.iter().filter_map(|part| part.value).sum()), provenance }
    }
}

/// Evaluates the least-squares line through `points` at `x`.
fn fit_line(points: &[(f64, f64)], x: f64) -> Option<f64> {
    let count = points.len() as f64;
    let mean =
        |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let sum_squares: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>() / sum_squares;
    (sum_squares > 0.0).then_some(mean_y + slope * (x - mean_x))
}

/// Benchmark results by figure name.
struct Figures(BTreeMap<String, f64>);

impl Figures {
    fn read(files: impl Iterator<Item = String>) -> Result<Self> {
        let mut figures = BTreeMap::new();
        for file in files {
            let text = fs::read_to_string(&file).with_context(|| format!("cannot read {file}"))?;
            for (index, row) in text.lines().enumerate() {
                let location = || format!("{file}, line {}", index + 1);
                let row: Value = serde_json::from_str(row).with_context(location)?;
                let name = row["figure"].as_str().with_context(location)?;
                let value = row["value"].as_f64().with_context(location)?;
                figures.insert(name.to_owned(), value);
            }
        }
        Ok(Self(figures))
    }

    /// Returns a measured figure.
    fn measured(&self, name: &str) -> Estimate {
        match self.0.get(name) {
            Some(value) => Estimate { value: Some(*value), provenance: Provenance::Measured },
            None => UNKNOWN,
        }
    }

    /// Returns `NAME.N` at N = `x`, fitted over N.
    fn fit(&self, name: &str, x: f64) -> Estimate {
        let prefix = format!("{name}.");
        let sizes = self.0.iter().filter_map(|(figure, value)| {
            Some((figure.strip_prefix(&prefix)?.parse::<f64>().ok()?, *value))
        });
        measured_or_fitted(&sizes.collect::<Vec<_>>(), x)
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

    /// Returns `NAME.rR.bB` at the target number of nodes, and the number of budgets that it
    /// applies to. The fit over routers uses only the largest measured number of budgets: smaller
    /// ledgers have no home routers, so their figures lie on a different line. `scale` returns the
    /// factor that converts a figure per router to one for the whole fleet.
    fn fit_fleet(&self, name: &str, scale: fn(f64) -> f64) -> (Estimate, f64) {
        let grid = self.grid(name);
        let max_budgets = grid.iter().map(|point| point.1).fold(0.0, f64::max);
        let points = grid.iter().filter(|point| point.1 == max_budgets);
        let points: Vec<_> = points.map(|(r, _, value)| (*r, value * scale(*r))).collect();
        (measured_or_fitted(&points, NODES), max_budgets)
    }
}

fn measured_or_fitted(points: &[(f64, f64)], x: f64) -> Estimate {
    if let Some((_, value)) = points.iter().find(|point| point.0 == x) {
        return Estimate { value: Some(*value), provenance: Provenance::Measured };
    }
    // A negative value shows that a line does not fit the figure.
    match fit_line(points, x).filter(|value| *value >= 0.0) {
        Some(value) => Estimate { value: Some(value), provenance: Provenance::Extrapolated },
        None => UNKNOWN,
    }
}

/// Prints the rows of the Markdown table.
struct Table {
    role: &'static str,
}

impl Table {
    fn set_role(&mut self, role: &'static str) {
        self.role = role;
    }

    fn row(&self, what: &str, unit: &str, estimate: Estimate, limit: Option<f64>, source: &str) {
        let value = estimate.value.map_or("-".to_owned(), |value| format_amount(value, unit));
        let limit_text = limit.map_or("-".to_owned(), |limit| format_amount(limit, unit));
        let headroom = match (estimate.value, limit) {
            (Some(value), Some(limit)) if value > limit => {
                format!("**over by {:.1} times**", value / limit)
            }
            (Some(value), Some(limit)) => format!("{:.0}% left", (1.0 - value / limit) * 100.0),
            _ => "-".to_owned(),
        };
        let (role, provenance) = (self.role, estimate.provenance.name());
        println!(
            "| {role} | {what} | {value} | {limit_text} | {headroom} | {provenance} | {source} |"
        );
    }
}

/// Formats a value with its unit for display.
fn format_amount(value: f64, unit: &str) -> String {
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

    let rate = REQUESTS_PER_S / NODES;
    let time = FIRST_TOKEN_S + TOKENS_PER_S / REQUESTS_PER_S * TOKEN_GAP_S;
    let active = (rate * time).round();
    let design = "sizes of the design page";

    table.set_role("entry and streaming");
    table.row("state: requests in progress, a node", "requests", assumed(active), None, design);
    let events = assumed(TOKENS_PER_S / NODES);
    table.row("messages: events streamed, a node", "1/s", events, None, design);
    let streaming = figures.fit("stream_core_share", active);
    table.row("processor time, whole process", "core", streaming, None, "`stream_core_share.N`");
    let process = figures.fit("stream_rss_bytes", active);
    let source = "`stream_rss_bytes.N`, small state";
    table.row("memory, whole process", "B", process, Some(MEMORY_LIMIT), source);

    table.set_role("control thread");
    let routes = figures.fit("routes_rss_bytes", SERVERS);
    table.row("state: routes to all servers", "B", routes, None, "`routes_rss_bytes.N`");
    table.row("messages: commands, a node", "1/s", assumed(2.0 * rate), None, design);
    let decisions = figures.fit("decision_s", active).scaled(rate);
    table.row("processor time", "core", decisions, Some(CORE_LIMIT), "`decision_s.N`");
    let queue = figures.fit("requests_rss_bytes", active);
    table.row("memory: requests in the scheduler", "B", queue, None, "`requests_rss_bytes.N`");

    table.set_role("grant holder");
    let grants = BUDGETS * HOMES_PER_BUDGET / NODES;
    table.row("state: budgets with a grant, a node", "budgets", assumed(grants), None, design);
    // A holder settles each page at most once per SETTLE_INTERVAL_S, so additional budgets add no
    // writes once every page is in use.
    let (writes, _) = figures.fit_fleet("store_writes_s", |_| 1.0);
    table.row("messages: store writes, fleet", "1/s", writes, None, "`store_writes_s.rR.bB`");
    let max_settles = assumed(LEDGER_PAGES * HOMES_PER_BUDGET / SETTLE_INTERVAL_S);
    table.row("the same, each page once a minute", "1/s", max_settles, Some(WRITES_LIMIT), design);
    let (reads, _) = figures.fit_fleet("store_reads_s", |_| 1.0);
    table.row("messages: store reads, fleet", "1/s", reads, None, "`store_reads_s.rR.bB`");
    let page = figures.fit("page_bytes", BUDGETS / LEDGER_PAGES);
    let (bytes, max_budgets) = figures.fit_fleet("control_bytes_s", |routers| routers);
    let small = figures.fit("page_bytes", max_budgets / LEDGER_PAGES).value.unwrap_or(f64::NAN);
    let page_growth = page.value.unwrap_or(f64::NAN) / small;
    let settle_bytes = bytes.scaled(page_growth / NODES);
    let source = "`control_bytes_s.rR.bB`, `page_bytes.N`";
    table.row("messages: bytes, a node", "B/s", settle_bytes, Some(BYTES_LIMIT), source);
    // Covers encoding and decoding of pages, but not the processing of requests.
    let pages_s = LEDGER_PAGES * HOMES_PER_BUDGET / SETTLE_INTERVAL_S / NODES;
    let codec = figures.fit("page_codec_s", BUDGETS / LEDGER_PAGES).scaled(pages_s);
    table.row("processor time for pages", "core", codec, Some(CORE_LIMIT), "`page_codec_s.N`");
    table.row("processor time for requests", "core", UNKNOWN, None, "no bench reads it");
    let holder = figures.fit("holder_rss_bytes", grants);
    table.row("memory", "B", holder, None, "`holder_rss_bytes.N`");

    table.set_role("configuration spread");
    let part = figures.fit("largest_part_bytes", WORKSPACES);
    table.row("state: largest part", "B", part, Some(20_000.0), "`largest_part_bytes.N`");
    let config_bytes = figures.fit("control_bytes_s", NODES);
    let source = "`control_bytes_s.N`, heartbeats without shares";
    table.row("messages: bytes, a node", "B/s", config_bytes, Some(BYTES_LIMIT), source);
    let config_reads = figures.fit("store_reads_s", NODES).scaled(NODES);
    table.row("messages: store reads, fleet", "1/s", config_reads, None, "`store_reads_s.N`");
    let in_force = figures.fit("in_force_s.p99", NODES);
    table.row("in force everywhere", "s", in_force, Some(IN_FORCE_LIMIT), "`in_force_s.p99.N`");
    let config_core = figures.fit("control_core_share", NODES);
    let source = "`control_core_share.N`";
    table.row("processor time, with membership", "core", config_core, Some(CORE_LIMIT), source);
    let settings = figures.fit("settings_rss_bytes", WORKSPACES);
    table.row("memory", "B", settings, None, "`settings_rss_bytes.N`");

    table.set_role("membership");
    let vms = figures.fit("vm_list_bytes", NODES + SERVERS);
    let source = "`vm_list_bytes.N`, read once a second";
    table.row("messages: VM list, a node", "B/s", vms, Some(BYTES_LIMIT), source);
    let heartbeats = figures.measured("heartbeat_bytes.16").scaled(HEARTBEATS_PER_S);
    let source = "`heartbeat_bytes.N`, without QUIC's own";
    table.row("messages: heartbeats out, a node", "B/s", heartbeats, Some(BYTES_LIMIT), source);
    // The heartbeats in `control_bytes_s.N` carry no service shares, so only the difference is
    // added to the total.
    let shares = Estimate::sum(&[
        heartbeats,
        figures.measured("heartbeat_bytes.0").scaled(-HEARTBEATS_PER_S),
    ]);
    let registry = figures.fit("registry_bytes", NODES).scaled(BASE64_RATIO / REGISTRY_INTERVAL_S);
    let source = "`registry_bytes.N`, read every 60 s";
    table.row("messages: list of routers, a node", "B/s", registry, Some(BYTES_LIMIT), source);
    let noticed = figures.fit("noticed_s", NODES);
    table.row("a dead router is noticed after", "s", noticed, None, "`noticed_s.N`");
    table.row("load reports of servers, a node", "B/s", UNKNOWN, Some(BYTES_LIMIT), "no bench");
    table.row("processor time", "core", UNKNOWN, None, "within configuration spread");
    table.row("memory", "B", UNKNOWN, None, "no bench reads it");

    table.set_role("store");
    let state = page.scaled(LEDGER_PAGES);
    table.row("state: all ledger pages", "B", state, None, "`page_bytes.N`");
    table.row("largest value: a ledger page", "B", page, Some(VALUE_LIMIT), "`page_bytes.N`");
    let rows = figures.fit("page_homes_bytes", NODES);
    let source = "`page_homes_bytes.N`";
    table.row("the same with a row for each node", "B", rows, Some(VALUE_LIMIT), source);
    let changes = assumed(CHANGES_PER_S);
    let all_writes = Estimate::sum(&[max_settles, changes]);
    table.row("messages: writes", "1/s", all_writes, Some(WRITES_LIMIT), "sum; bookings left out");
    let lists = assumed(NODES / REGISTRY_INTERVAL_S);
    let all_reads = Estimate::sum(&[max_settles, config_reads, lists]);
    table.row("messages: reads", "1/s", all_reads, Some(READS_LIMIT), "sum; bookings left out");

    table.set_role("one node in all");
    let bytes = Estimate::sum(&[settle_bytes, config_bytes, shares, registry, vms]);
    table.row("control bytes", "B/s", bytes, Some(BYTES_LIMIT), "sum of the rows above");
    let bytes = Estimate::sum(&[settle_bytes, config_bytes, shares, registry]);
    table.row("the same without the VM list", "B/s", bytes, Some(BYTES_LIMIT), "sum");
    let core = Estimate::sum(&[decisions, config_core, codec]);
    let source = "sum; holder's requests and peer link left out";
    table.row("control processor time", "core", core, Some(CORE_LIMIT), source);
    let memory = Estimate::sum(&[process, routes, holder, settings]);
    let source = "sum; membership left out";
    table.row("memory", "B", memory, Some(MEMORY_LIMIT), source);
    Ok(())
}

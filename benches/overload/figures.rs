//! Computes the figures. The value is that of the scheduler, the baseline that of a FIFO queue on
//! the same requests.

use std::ops::Range;

use berylwheel_schedule::SchedulePolicy;
use berylwheel_types::Rank;

use crate::fleet::Outcome;
use crate::fleet::run;
use crate::load::BOOKING;
use crate::load::BULK;
use crate::load::CHAT;
use crate::load::DRAFT;
use crate::load::END_MS;
use crate::load::ENGINE_SLOTS;
use crate::load::FleetSize;
use crate::load::KINDS;
use crate::load::Request;
use crate::load::SURGE_END_MS;
use crate::load::SURGE_START_MS;
use crate::load::Scenario;
use crate::queueing::QueueKind;
use crate::report::Figure;
use crate::report::Report;

type Results = Vec<(Request, Outcome)>;

const QUEUE_KINDS: [QueueKind; 2] = [QueueKind::Scheduler, QueueKind::Fifo];

/// Time from the start of the surge until engine time is counted. Requests that started before the
/// surge are still running during this time; it is about as long as the longest response of the
/// least urgent kind.
const SETTLE_MS: u64 = 15_000;

fn run_both(size: &FleetSize, scenario: &Scenario, seed: u64) -> [Results; 2] {
    QUEUE_KINDS.map(|queue_kind| run(size, scenario, queue_kind, seed))
}

fn figure(values: [f64; 2], target: Option<f64>) -> Figure {
    Figure { value: values[0], baseline: values[1], target }
}

/// Returns whether the first token met the latency target of the rank and the response was complete
/// by the deadline.
fn met_target(request: &Request, outcome: &Outcome) -> bool {
    let target = SchedulePolicy::default().rank(request.kind().rank).latency_target.0;
    outcome.completed.is_some()
        && outcome.first_token.is_some_and(|first_token| first_token - request.arrival_ms <= target)
}

fn count_served(
    results: &Results,
    span: Range<u64>,
    select: impl Fn(&Request) -> bool,
) -> (f64, f64) {
    let selected = || results.iter().filter(|(r, _)| span.contains(&r.arrival_ms) && select(r));
    let served = selected().filter(|(r, o)| met_target(r, o)).count();
    (served as f64, selected().count() as f64)
}

/// Returns the share of the requests sent in `span` that met their target.
fn served_share(results: &Results, span: Range<u64>, select: impl Fn(&Request) -> bool) -> f64 {
    let (served, all) = count_served(results, span, select);
    served / all.max(1.0)
}

/// Returns the total time of all engine slots in `span`, in milliseconds.
fn engine_slot_ms(size: &FleetSize, span: &Range<u64>) -> f64 {
    ((span.end - span.start) * (size.engines * ENGINE_SLOTS) as u64) as f64
}

/// Returns the share of the engine slot time in `span` that was spent on responses complete by
/// their deadline.
fn engine_utilization(
    results: &Results,
    size: &FleetSize,
    span: Range<u64>,
    rank: Option<Rank>,
) -> f64 {
    let is_counted =
        |r: &Request| r.kind().on_engine && rank.is_none_or(|rank| r.kind().rank == rank);
    let used: u64 = results
        .iter()
        .filter(|(request, _)| is_counted(request))
        .filter_map(|(request, outcome)| {
            let end = outcome.completed?;
            let start = end - request.service_ms();
            Some(end.min(span.end).saturating_sub(start.max(span.start)))
        })
        .sum();
    used as f64 / engine_slot_ms(size, &span)
}

/// Returns the seconds from the end of the surge to the first five seconds in which at least 95% of
/// the requests of every rank met their target.
fn recovery_seconds(results: &Results) -> f64 {
    let recovered = |from: u64| {
        Rank::ALL.into_iter().all(|rank| {
            served_share(results, from..from + 5_000, |r| r.kind().rank == rank) >= 0.95
        })
    };
    let found = (SURGE_END_MS..END_MS - 5_000).step_by(1_000).find(|from| recovered(*from));
    (found.unwrap_or(END_MS) - SURGE_END_MS) as f64 / 1_000.0
}

/// Prints service by rank without a surge and during surges of the least and the most urgent kind,
/// and the recovery time after each surge.
pub fn print_surges(size: &FleetSize, report: &mut Report) {
    let with_surge = |kind| Scenario { surge: Some((kind, 10.0)), ..Scenario::calm() };
    let scenarios = [
        ("calm", Scenario::calm()),
        ("flood_low", with_surge(BULK)),
        ("flood_high", with_surge(CHAT)),
    ];
    for (name, scenario) in scenarios {
        let results = run_both(size, &scenario, report.seed);
        for rank in Rank::ALL {
            let values = results
                .each_ref()
                .map(|r| served_share(r, SURGE_START_MS..SURGE_END_MS, |r| r.kind().rank == rank));
            let target = (name == "flood_low" && rank == Rank::Urgent).then_some(0.95);
            let name = format!("service_by_rank.{name}.{rank}");
            report.print(&name, "share of requests", figure(values, target));
        }
        if name == "flood_high" {
            print_min_shares(size, &results, report);
        }
        if name != "calm" {
            let values = results.each_ref().map(recovery_seconds);
            report.print(&format!("recovery_s.{name}"), "s", figure(values, None));
        }
    }
}

fn print_min_shares(size: &FleetSize, results: &[Results; 2], report: &Report) {
    let policy = SchedulePolicy::default();
    for rank in [Rank::Normal, Rank::Batch] {
        let span = SURGE_START_MS + SETTLE_MS..SURGE_END_MS;
        // A rank that requests less than its minimum share can get no more than it requests.
        let offered_ms: u64 = results[0]
            .iter()
            .filter(|(r, _)| {
                r.kind().on_engine && r.kind().rank == rank && span.contains(&r.arrival_ms)
            })
            .map(|(request, _)| request.service_ms())
            .sum();
        let offered = offered_ms as f64 / engine_slot_ms(size, &span);
        let min_share = policy.rank(rank).min_share.fraction().min(offered);
        let values = results.each_ref().map(|results| {
            (engine_utilization(results, size, span.clone(), Some(rank)) / min_share).min(1.0)
        });
        let name = format!("floor_kept.flood_high.{rank}");
        report.print(&name, "share of the minimum", figure(values, Some(0.9)));
    }
}

/// Prints the service that the other kinds keep while one kind surges or one service hangs. The
/// figure is that of the kind that keeps least.
pub fn print_isolation(size: &FleetSize, report: &mut Report) {
    let calm = run_both(size, &Scenario::calm(), report.seed);
    let flood = Scenario { surge: Some((DRAFT, 10.0)), ..Scenario::calm() };
    let hang = Scenario { hanging_kind: Some(BOOKING), ..Scenario::calm() };
    for (name, scenario, faulty) in [("flood", flood, DRAFT), ("hang", hang, BOOKING)] {
        let results = run_both(size, &scenario, report.seed);
        let kept = |i: usize, kind: usize| {
            let served = |results| {
                count_served(results, SURGE_START_MS..SURGE_END_MS, |r| r.kind_index == kind).0
            };
            (served(&results[i]) / served(&calm[i]).max(1.0)).min(1.0)
        };
        let others = || (0..KINDS.len()).filter(|kind| *kind != faulty);
        let values = [0, 1].map(|i| others().map(|k| kept(i, k)).fold(1.0, f64::min));
        let name = format!("kept_service.{name}");
        report.print(&name, "share of calm, least of the kinds", figure(values, Some(0.95)));
    }
}

/// Prints the service of seven small callers next to three that each send 50 times as many
/// requests, relative to their service without the large callers.
pub fn print_small_callers(size: &FleetSize, report: &mut Report) {
    let scenario = |large_weight: f64| {
        let workspace_weights = (0..10).map(|w| if w < 3 { large_weight } else { 3.0 }).collect();
        // Together the three large callers send 4.5 times the load of the calm scenario, which is
        // 2.7 times the capacity of the engines.
        Scenario { workspace_weights, ..Scenario::calm() }
    };
    let small_share = |results: &Results| {
        served_share(results, SURGE_START_MS..SURGE_END_MS, |r| r.workspace >= 3)
    };
    let alone = run_both(size, &scenario(0.0), report.seed).each_ref().map(small_share);
    let with_large = run_both(size, &scenario(150.0), report.seed).each_ref().map(small_share);
    let values = [0, 1].map(|i| with_large[i] / alone[i].max(f64::MIN_POSITIVE));
    report.print("small_caller_service", "share of alone", figure(values, Some(0.95)));
}

/// Prints the goodput of the engines at an offered load of twice their capacity. The load of all
/// kinds is raised by the same factor.
pub fn print_overload(size: &FleetSize, report: &mut Report) {
    let calm_load: f64 = KINDS.iter().filter(|k| k.on_engine).map(|k| k.offered_load).sum();
    let scenario = Scenario { load_factor: 2.0 / calm_load, ..Scenario::calm() };
    let results = run_both(size, &scenario, report.seed);
    let values =
        results.each_ref().map(|r| engine_utilization(r, size, SURGE_START_MS..SURGE_END_MS, None));
    report.print("goodput", "share of capacity", figure(values, Some(0.9)));
}

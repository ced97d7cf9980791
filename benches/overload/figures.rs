//! Computes the figures. The value is that of the scheduler, the baseline that of a FIFO queue on
//! the same requests.

use std::ops::Range;

use berylwheel_schedule::SchedulePolicy;
use berylwheel_types::Rank;

use crate::fleet::Outcome;
use crate::fleet::run;
use crate::load::AFTER;
use crate::load::BOOKING;
use crate::load::BULK;
use crate::load::CHAT;
use crate::load::DRAFT;
use crate::load::END;
use crate::load::ENGINE_SLOTS;
use crate::load::KINDS;
use crate::load::Request;
use crate::load::SURGE;
use crate::load::Scenario;
use crate::load::Size;
use crate::queueing::Queueing;
use crate::report::Figure;
use crate::report::Report;

type Results = Vec<(Request, Outcome)>;

const BOTH: [Queueing; 2] = [Queueing::Scheduler, Queueing::FirstCome];

/// Time from the start of the surge until engine time is counted. Requests that started before the
/// surge are still running during this time; it is about as long as the longest response of the
/// least urgent kind.
const SETTLE_MS: u64 = 15_000;

fn both(size: &Size, scenario: &Scenario, seed: u64) -> [Results; 2] {
    BOTH.map(|queueing| run(size, scenario, queueing, seed))
}

fn figure(values: [f64; 2], target: Option<f64>) -> Figure {
    Figure { value: values[0], baseline: values[1], target }
}

/// Returns whether the first token met the latency target of the rank and the response was complete
/// by the deadline.
fn in_target(request: &Request, outcome: &Outcome) -> bool {
    let target = SchedulePolicy::default().rank(request.kind().rank).latency_target.0;
    outcome.done.is_some() && outcome.first.is_some_and(|first| first - request.at <= target)
}

fn counts(results: &Results, span: Range<u64>, select: impl Fn(&Request) -> bool) -> (f64, f64) {
    let selected = || results.iter().filter(|(r, _)| span.contains(&r.at) && select(r));
    let good = selected().filter(|(r, o)| in_target(r, o)).count();
    (good as f64, selected().count() as f64)
}

/// Returns the share of the requests sent in `span` that met their target.
fn share(results: &Results, span: Range<u64>, select: impl Fn(&Request) -> bool) -> f64 {
    let (good, all) = counts(results, span, select);
    good / all.max(1.0)
}

/// Returns the total time of all engine slots in `span`, in milliseconds.
fn engine_time(size: &Size, span: &Range<u64>) -> f64 {
    ((span.end - span.start) * (size.engines * ENGINE_SLOTS) as u64) as f64
}

/// Returns the share of the engine slot time in `span` that was spent on responses complete by
/// their deadline.
fn engine_use(results: &Results, size: &Size, span: Range<u64>, rank: Option<Rank>) -> f64 {
    let counted = |r: &Request| r.kind().engine && rank.is_none_or(|rank| r.kind().rank == rank);
    let used: u64 = results
        .iter()
        .filter(|(request, _)| counted(request))
        .filter_map(|(request, outcome)| {
            let done = outcome.done?;
            let start = done - request.service_ms();
            Some(done.min(span.end).saturating_sub(start.max(span.start)))
        })
        .sum();
    used as f64 / engine_time(size, &span)
}

/// Returns the seconds from the end of the surge to the first five seconds in which at least 95% of
/// the requests of every rank met their target.
fn recovery(results: &Results) -> f64 {
    let served_again = |from: u64| {
        Rank::ALL
            .into_iter()
            .all(|rank| share(results, from..from + 5_000, |r| r.kind().rank == rank) >= 0.95)
    };
    let found = (AFTER..END - 5_000).step_by(1_000).find(|from| served_again(*from));
    (found.unwrap_or(END) - AFTER) as f64 / 1_000.0
}

/// Prints service by rank without a surge and during surges of the least and the most urgent kind,
/// and the recovery time after each surge.
pub fn surges(size: &Size, report: &mut Report) {
    let surge = |kind| Scenario { surge: Some((kind, 10.0)), ..Scenario::calm() };
    let scenarios =
        [("calm", Scenario::calm()), ("flood_low", surge(BULK)), ("flood_high", surge(CHAT))];
    for (name, scenario) in scenarios {
        let results = both(size, &scenario, report.seed);
        for rank in Rank::ALL {
            let values =
                results.each_ref().map(|r| share(r, SURGE..AFTER, |r| r.kind().rank == rank));
            let target = (name == "flood_low" && rank == Rank::Urgent).then_some(0.95);
            let name = format!("service_by_rank.{name}.{rank}");
            report.print(&name, "share of requests", figure(values, target));
        }
        if name == "flood_high" {
            floors(size, &results, report);
        }
        if name != "calm" {
            let values = results.each_ref().map(recovery);
            report.print(&format!("recovery_s.{name}"), "s", figure(values, None));
        }
    }
}

fn floors(size: &Size, results: &[Results; 2], report: &Report) {
    let policy = SchedulePolicy::default();
    for rank in [Rank::Normal, Rank::Batch] {
        let span = SURGE + SETTLE_MS..AFTER;
        // A rank that requests less than its minimum share can get no more than it requests.
        let asked: u64 = results[0]
            .iter()
            .filter(|(r, _)| r.kind().engine && r.kind().rank == rank && span.contains(&r.at))
            .map(|(request, _)| request.service_ms())
            .sum();
        let asked = asked as f64 / engine_time(size, &span);
        let floor = policy.rank(rank).min_share.fraction().min(asked);
        let values = results
            .each_ref()
            .map(|results| (engine_use(results, size, span.clone(), Some(rank)) / floor).min(1.0));
        let name = format!("floor_kept.flood_high.{rank}");
        report.print(&name, "share of the minimum", figure(values, Some(0.9)));
    }
}

/// Prints the service that the other kinds keep while one kind surges or one service hangs. The
/// figure is that of the kind that keeps least.
pub fn isolation(size: &Size, report: &mut Report) {
    let calm = both(size, &Scenario::calm(), report.seed);
    let flood = Scenario { surge: Some((DRAFT, 10.0)), ..Scenario::calm() };
    let hang = Scenario { hang: Some(BOOKING), ..Scenario::calm() };
    for (name, scenario, faulty) in [("flood", flood, DRAFT), ("hang", hang, BOOKING)] {
        let results = both(size, &scenario, report.seed);
        let kept = |i: usize, kind: usize| {
            let good = |results| counts(results, SURGE..AFTER, |r| r.kind == kind).0;
            (good(&results[i]) / good(&calm[i]).max(1.0)).min(1.0)
        };
        let others = || (0..KINDS.len()).filter(|kind| *kind != faulty);
        let values = [0, 1].map(|i| others().map(|k| kept(i, k)).fold(1.0, f64::min));
        let name = format!("kept_service.{name}");
        report.print(&name, "share of calm, least of the kinds", figure(values, Some(0.95)));
    }
}

/// Prints the service of seven small callers next to three that each send 50 times as many
/// requests, relative to their service without the large callers.
pub fn small_callers(size: &Size, report: &mut Report) {
    let callers = |large: f64| {
        let workspaces = (0..10).map(|w| if w < 3 { large } else { 3.0 }).collect();
        // Together the three large callers send 4.5 times the load of the calm scenario, which is
        // 2.7 times the capacity of the engines.
        Scenario { workspaces, ..Scenario::calm() }
    };
    let small = |results: &Results| share(results, SURGE..AFTER, |r| r.workspace >= 3);
    let alone = both(size, &callers(0.0), report.seed).each_ref().map(small);
    let beside = both(size, &callers(150.0), report.seed).each_ref().map(small);
    let values = [0, 1].map(|i| beside[i] / alone[i].max(f64::MIN_POSITIVE));
    report.print("small_caller_service", "share of alone", figure(values, Some(0.95)));
}

/// Prints the goodput of the engines at an offered load of twice their capacity. The load of all
/// kinds is raised by the same factor.
pub fn overload(size: &Size, report: &mut Report) {
    let calm: f64 = KINDS.iter().filter(|k| k.engine).map(|k| k.share).sum();
    let scenario = Scenario { factor: 2.0 / calm, ..Scenario::calm() };
    let results = both(size, &scenario, report.seed);
    let values = results.each_ref().map(|r| engine_use(r, size, SURGE..AFTER, None));
    report.print("goodput", "share of capacity", figure(values, Some(0.9)));
}

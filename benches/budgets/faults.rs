//! Overspending and billing errors in random histories with injected faults, by scenario.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::histories::EncodedStep;
use crate::histories::Simulation;
use crate::histories::model::Phase;
use crate::histories::steps::STEPS;
use crate::histories::steps::Step;
use crate::report;
use crate::report::Figure;
use crate::report::SEED;

const HISTORIES_PER_SCENARIO: u64 = 2_000;
const STEPS_PER_HISTORY: usize = 150;

/// Fault steps, which occur only in the scenarios that list them.
const FAULT_STEPS: [Step; 9] = [
    Step::Crash,
    Step::Pause,
    Step::Partition,
    Step::Outage,
    Step::Drop,
    Step::Duplicate,
    Step::ReportUnknown,
    Step::TopUp,
    Step::Cut,
];

const SCENARIOS: [(&str, &[Step]); 6] = [
    ("crash", &[Step::Crash]),
    ("pause", &[Step::Pause]),
    ("partition_topup", &[Step::Partition, Step::TopUp]),
    ("lost_answers", &[Step::Drop, Step::Duplicate, Step::ReportUnknown]),
    ("outage", &[Step::Outage]),
    ("two_faults", &FAULT_STEPS),
];

#[derive(Default)]
struct Totals {
    overspend: u64,
    missing_bills: u64,
    double_bills: u64,
    lost_bills: u64,
    repeated_attempts: u64,
    faulty_histories: u64,
}

fn run_history(rng: &mut SmallRng, allowed: &[u8], totals: &mut Totals) {
    let mut simulation = Simulation::new();
    let mut max_overspend = 0;
    for _ in 0..STEPS_PER_HISTORY {
        let step: EncodedStep =
            (allowed[rng.random_range(0..allowed.len())], rng.random(), rng.random());
        simulation.step(step);
        let overspend =
            simulation.store.values().map(|(_, page)| simulation.model.overspend(page)).sum();
        max_overspend = max_overspend.max(overspend);
    }
    let attempts = &simulation.model.attempts;
    // Baseline: fixed grants without usage records lose the usage of a crashed router.
    let lost_attempts =
        attempts.iter().filter(|a| a.phase == Phase::Lost && a.used.0 > 0 && !a.resolved);
    totals.lost_bills += lost_attempts.count() as u64;
    simulation.recover();
    // Baseline: without bill keys, each attempt of a request is billed.
    let keyed_attempts =
        simulation.model.attempts.iter().filter(|a| a.key.is_some() && a.used.0 > 0).count();
    totals.repeated_attempts +=
        (keyed_attempts - simulation.model.billed_keys.len().min(keyed_attempts)) as u64;
    totals.overspend += max_overspend;
    totals.missing_bills += simulation.model.missing_bills;
    totals.double_bills += simulation.model.double_bills;
    totals.faulty_histories += u64::from(!simulation.faults.is_empty());
    if let Some(fault) = simulation.faults.first() {
        eprintln!("{fault}");
    }
}

pub fn run() {
    let mut histories = 0;
    let mut faulty_histories = 0;
    for (scenario, steps) in SCENARIOS {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let allowed: Vec<u8> = (0..STEPS.len())
            .filter(|n| !FAULT_STEPS.contains(&STEPS[*n]) || steps.contains(&STEPS[*n]))
            .map(|n| n as u8)
            .collect();
        let mut totals = Totals::default();
        for _ in 0..HISTORIES_PER_SCENARIO {
            run_history(&mut rng, &allowed, &mut totals);
        }
        histories += HISTORIES_PER_SCENARIO;
        faulty_histories += totals.faulty_histories;
        let print = |name: &str, value: u64, unit, baseline: u64| {
            report::print(Figure {
                name: format!("{name}.{scenario}"),
                value: value as f64,
                unit,
                baseline: Some(baseline as f64),
                target: Some(0.0),
            });
        };
        print("overspend_tokens", totals.overspend, "tokens", 0);
        print("bills_missing", totals.missing_bills, "bills", totals.lost_bills);
        print("bills_double", totals.double_bills, "bills", totals.repeated_attempts);
    }
    let print = |name: &str, value: u64, target| {
        report::print(Figure {
            name: name.into(),
            value: value as f64,
            unit: "histories",
            baseline: None,
            target: Some(target),
        });
    };
    print("histories", histories, 10_000.0);
    print("histories_with_faults", faulty_histories, 0.0);
}

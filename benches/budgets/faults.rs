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

const HISTORIES: u64 = 2_000;
const STEPS_EACH: usize = 150;

/// Fault steps, which occur only in the scenarios that list them.
const FAULTS: [Step; 9] = [
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
    ("two_faults", &FAULTS),
];

#[derive(Default)]
struct Totals {
    overspend: u64,
    missing: u64,
    double: u64,
    lost_with_router: u64,
    served_twice: u64,
    faults: u64,
}

fn history(rng: &mut SmallRng, allowed: &[u8], totals: &mut Totals) {
    let mut sim = Simulation::new();
    let mut worst = 0;
    for _ in 0..STEPS_EACH {
        let code: EncodedStep =
            (allowed[rng.random_range(0..allowed.len())], rng.random(), rng.random());
        sim.step(code);
        let over = sim.store.values().map(|(_, page)| sim.model.overspend(page)).sum();
        worst = worst.max(over);
    }
    let attempts = &sim.model.attempts;
    // Baseline: fixed grants without usage records lose the usage of a crashed router.
    let lost = attempts.iter().filter(|a| a.phase == Phase::Lost && a.used.0 > 0 && !a.resolved);
    totals.lost_with_router += lost.count() as u64;
    sim.recover();
    // Baseline: without bill keys, each attempt of a request is billed.
    let keyed = sim.model.attempts.iter().filter(|a| a.key.is_some() && a.used.0 > 0).count();
    totals.served_twice += (keyed - sim.model.billed_keys.len().min(keyed)) as u64;
    totals.overspend += worst;
    totals.missing += sim.model.missing_bills;
    totals.double += sim.model.double_bills;
    totals.faults += u64::from(!sim.faults.is_empty());
    if let Some(fault) = sim.faults.first() {
        eprintln!("{fault}");
    }
}

pub fn run() {
    let mut histories = 0;
    let mut faults = 0;
    for (scenario, steps) in SCENARIOS {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let allowed: Vec<u8> = (0..STEPS.len())
            .filter(|n| !FAULTS.contains(&STEPS[*n]) || steps.contains(&STEPS[*n]))
            .map(|n| n as u8)
            .collect();
        let mut totals = Totals::default();
        for _ in 0..HISTORIES {
            history(&mut rng, &allowed, &mut totals);
        }
        histories += HISTORIES;
        faults += totals.faults;
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
        print("bills_missing", totals.missing, "bills", totals.lost_with_router);
        print("bills_double", totals.double, "bills", totals.served_twice);
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
    print("histories_with_faults", faults, 0.0);
}

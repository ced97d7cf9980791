//! Measured speeds: expectations, factors, and their use in the choice of servers.

mod support;

use berylwheel_route::LoadBalancer;
use berylwheel_route::RoutePolicy;
use berylwheel_route::RouteQuery;
use berylwheel_route::SharedSpeed;
use berylwheel_route::SpeedUse;
use berylwheel_route::Work;
use berylwheel_route::WorkClass;
use berylwheel_route::WorkSample;
use berylwheel_types::Millis;
use berylwheel_types::Tokens;
use berylwheel_types::stable_hash;
use proptest::prelude::*;
use support::SEED;
use support::at;
use support::balancer_with_engines;
use support::engine;
use support::id;
use support::pick_counts;
use support::proptest_config;
use support::query;

fn finished(work: Work, took: u64) -> WorkSample {
    WorkSample { work, took: Millis(took), unfinished: false, stated: None }
}

fn record(balancer: &mut LoadBalancer, ms: u64, server: &str, sample: WorkSample) {
    let (kind, model) = ("chat".parse().unwrap(), "m1".parse().unwrap());
    balancer.record_work(at(ms), &id(server), &kind, Some(&model), sample);
}

fn prompt_query(tokens: u64) -> RouteQuery {
    RouteQuery { prompt_tokens: Tokens(tokens), ..query("m1", 0) }
}

/// Time to the first event at a server with a factor of 1: 40 ms and 20 ms per 1,000 tokens.
fn reading_time(tokens: u64, factor: f64) -> u64 {
    ((40.0 + tokens as f64 * 0.02) * factor) as u64
}

/// Lets all engines answer a prompt every second; `factor` returns that of an engine.
fn answer_prompts(
    balancer: &mut LoadBalancer,
    engines: usize,
    seconds: std::ops::Range<u64>,
    factor: impl Fn(usize) -> f64,
) {
    for second in seconds {
        for n in 0..engines {
            let tokens = 500 + (second * 7 + n as u64 * 13) % 20 * 500;
            let sample = finished(Work::Prompt(Tokens(tokens)), reading_time(tokens, factor(n)));
            record(balancer, second * 1_000 + n as u64, &format!("e{n}"), sample);
        }
    }
}

fn reading_factor(balancer: &LoadBalancer, server: &str) -> f64 {
    balancer.speed_factor(&id(server), WorkClass::Prompt)
}

/// Guards against an expected time that ignores the length of the prompt, which would move long
/// prompts to other servers although they are read as fast as any.
#[test]
fn expected_time_follows_prompt_length_and_server() {
    let mut balancer = balancer_with_engines(4, 64);
    assert_eq!(balancer.expected_time(&id("e1"), &prompt_query(900)), None);
    answer_prompts(&mut balancer, 4, 0..30, |n| if n == 0 { 1.8 } else { 1.0 });
    let expected = |server, tokens| {
        balancer.expected_time(&id(server), &prompt_query(tokens)).unwrap().first.0 as f64
    };
    for tokens in [500, 5_000, 10_000, 40_000] {
        let ratio = expected("e1", tokens) / reading_time(tokens, 1.0) as f64;
        assert!((0.75..1.35).contains(&ratio), "{tokens} tokens: {ratio}");
    }
    assert!(expected("e0", 5_000) > 1.4 * expected("e1", 5_000));
}

/// Guards against a factor that follows one unusual request.
#[test]
fn few_samples_move_the_factor_little() {
    let mut balancer = balancer_with_engines(4, 64);
    answer_prompts(&mut balancer, 3, 0..10, |_| 1.0);
    let slow = finished(Work::Prompt(Tokens(1_000)), reading_time(1_000, 2.5));
    record(&mut balancer, 10_000, "e3", slow);
    assert!(reading_factor(&balancer, "e3") < 1.6);
    for n in 1..6 {
        record(&mut balancer, 10_000 + n * 300, "e3", slow);
    }
    assert!(reading_factor(&balancer, "e3") > 1.7);
}

/// Guards against a server that is avoided or preferred long after its speed has changed.
#[test]
fn factor_follows_changes_in_both_directions() {
    let mut balancer = balancer_with_engines(6, 64);
    answer_prompts(&mut balancer, 6, 0..30, |n| if n == 0 { 2.5 } else { 1.0 });
    let slow = reading_factor(&balancer, "e0");
    assert!(slow > 1.6, "{slow}");
    answer_prompts(&mut balancer, 6, 30..36, |_| 1.0);
    let recovered = reading_factor(&balancer, "e0");
    assert!(recovered < 1.3, "{recovered}");
    answer_prompts(&mut balancer, 6, 36..42, |n| if n == 0 { 2.5 } else { 1.0 });
    let slow_again = reading_factor(&balancer, "e0");
    assert!(slow_again > 1.5, "{slow_again}");
}

/// Guards against a slow server that never gets work again, so that nobody learns of its recovery.
#[test]
fn evidence_ages_back_to_one() {
    let mut balancer = balancer_with_engines(6, 64);
    answer_prompts(&mut balancer, 6, 0..30, |n| if n == 0 { 3.0 } else { 1.0 });
    let before = pick_counts(&mut balancer, at(30_000), &prompt_query(1_000), 2_000);
    let of_e0 = |counts: &[(String, usize)]| counts.iter().find(|c| c.0 == "e0").map_or(0, |c| c.1);
    balancer.pick(at(200_000), &prompt_query(1_000));
    assert_eq!(reading_factor(&balancer, "e0"), 1.0);
    let after = pick_counts(&mut balancer, at(200_000), &prompt_query(1_000), 2_000);
    assert!(of_e0(&after) > of_e0(&before) && of_e0(&after) > 200, "{before:?} {after:?}");
}

/// Guards against the slowest of several idle servers getting no work at all: a fresh server whose first
/// call takes long because of a new connection would look slow until the evidence has aged.
#[test]
fn slowest_idle_server_gets_some_work() {
    let mut balancer = balancer_with_engines(4, 64);
    answer_prompts(&mut balancer, 4, 0..30, |n| if n == 0 { 3.0 } else { 1.0 });
    let counts = pick_counts(&mut balancer, at(30_000), &prompt_query(1_000), 4_000);
    let of_e0 = counts.iter().find(|c| c.0 == "e0").map_or(0, |c| c.1);
    assert!((40..600).contains(&of_e0), "{counts:?}");
}

/// Guards against prefixes that stay at a slow home for good, although another home is much faster.
#[test]
fn prefixes_avoid_a_slow_home() {
    let mut balancer = balancer_with_engines(3, 64);
    let home = |balancer: &mut LoadBalancer| {
        let mut counts = pick_counts(balancer, at(30_000), &query("m1", 77), 400);
        counts.sort_by_key(|(_, picks)| *picks);
        counts.pop().unwrap().0
    };
    let before = home(&mut balancer);
    let slow: usize = before[1..].parse().unwrap();
    answer_prompts(&mut balancer, 3, 0..30, |n| if n == slow { 3.0 } else { 1.0 });
    let after = home(&mut balancer);
    assert_ne!(before, after);
    assert_eq!(home(&mut balancer), after, "the choice of the home is stable");
}

/// Guards against a server that never answers and therefore has no samples: it would look as fast as
/// the mean.
#[test]
fn overdue_work_makes_a_server_slow() {
    let mut balancer = balancer_with_engines(4, 64);
    answer_prompts(&mut balancer, 3, 0..10, |_| 1.0);
    let overdue =
        |took| WorkSample { unfinished: true, ..finished(Work::Prompt(Tokens(1_000)), took) };
    for n in 0..4 {
        record(&mut balancer, 10_000 + n * 100, "e3", overdue(10));
    }
    assert_eq!(reading_factor(&balancer, "e3"), 1.0, "a short wait tells nothing");
    let before = balancer.expected_time(&id("e0"), &prompt_query(1_000));
    for n in 0..4 {
        record(&mut balancer, 11_000 + n * 100, "e3", overdue(1_200));
    }
    assert!(reading_factor(&balancer, "e3") > 2.0);
    let after = balancer.expected_time(&id("e0"), &prompt_query(1_000));
    assert_eq!(before, after, "lower bounds change no expectation of the pool");
    let patience = balancer.expected_time(&id("e3"), &prompt_query(1_000)).unwrap().first;
    assert!(patience.0 <= 2 * after.unwrap().first.0 + 2, "{patience}");
}

/// Guards against a server that gets work, or none, for stating a wrong time all the time.
#[test]
fn constant_wrong_reports_change_nothing() {
    for stated in [0, 5, 25, 400, 900, u32::MAX] {
        let mut balancer = balancer_with_engines(4, 64);
        for second in 0..40 {
            for n in 0..4_u64 {
                let tokens = 500 + (second * 3 + n) % 9 * 700;
                let took = reading_time(tokens, 1.0);
                let sample = WorkSample {
                    stated: Some(if n == 0 { stated } else { 100 }),
                    ..finished(Work::Prompt(Tokens(tokens)), took)
                };
                record(&mut balancer, second * 1_000, &format!("e{n}"), sample);
            }
        }
        let factor = reading_factor(&balancer, "e0");
        assert!((0.9..1.1).contains(&factor), "stated {stated}: {factor}");
    }
}

/// Guards against short slow phases of a machine that count as the speed of its server, where a
/// router has a sample of each server in 10 s only.
#[test]
fn true_reports_remove_short_slow_phases() {
    let run = |states: bool| {
        let mut balancer = balancer_with_engines(4, 64);
        let mut deviation = 0.0_f64;
        for second in 0..600_u64 {
            for n in (0..4_u64).filter(|n| second % 10 == 2 * n) {
                let tokens = 500 + (second * 3 + n) % 9 * 700;
                let is_slow = stable_hash(&[&second.to_string()]).is_multiple_of(7);
                let took = reading_time(tokens, if is_slow { 2.5 } else { 1.0 });
                let sample = WorkSample {
                    stated: states.then_some(if is_slow { 250 } else { 100 }),
                    ..finished(Work::Prompt(Tokens(tokens)), took)
                };
                record(&mut balancer, second * 1_000, &format!("e{n}"), sample);
            }
            // Later than the stated times count for the next request.
            balancer.pick(at(second * 1_000 + 900), &prompt_query(1_000));
            if second >= 300 {
                let logs = (0..4).map(|n| reading_factor(&balancer, &format!("e{n}")).ln().abs());
                deviation = logs.fold(deviation, f64::max);
            }
        }
        deviation
    };
    let (with, without) = (run(true), run(false));
    assert!(with < without, "{with} {without}");
    assert!(with < 0.15, "{with}");
}

/// Guards against evidence of a process that has been replaced.
#[test]
fn restart_drops_the_evidence() {
    let mut balancer = balancer_with_engines(4, 64);
    answer_prompts(&mut balancer, 4, 0..20, |n| if n == 0 { 3.0 } else { 1.0 });
    assert!(reading_factor(&balancer, "e0") > 1.6);
    balancer.server_restarted(at(20_000), &id("e0"));
    assert_eq!(reading_factor(&balancer, "e0"), 1.0);
    // Work that began at the earlier process, and what a peer measured there.
    record(&mut balancer, 20_500, "e0", finished(Work::Prompt(Tokens(500)), 900));
    let server = id("e0");
    let entry = SharedSpeed {
        server,
        class: WorkClass::Prompt,
        permille: 3_000,
        samples: 8,
        age: Millis(1_000),
    };
    balancer.apply_shared_speeds(at(20_500), &[entry]);
    assert_eq!(reading_factor(&balancer, "e0"), 1.0);
}

/// Guards against routers that learn only from their own requests: one in 20 s at each server.
#[test]
fn peers_learn_from_each_other_and_tell_nothing_twice() {
    let mut teller = balancer_with_engines(6, 64);
    answer_prompts(&mut teller, 6, 0..20, |n| if n == 0 { 2.5 } else { 1.0 });
    let entries = teller.take_shared_speeds(at(20_000));
    assert!(entries.len() <= 16 && !entries.is_empty());
    assert!(teller.take_shared_speeds(at(20_000)).is_empty());
    let mut listener = balancer_with_engines(6, 64);
    listener.apply_shared_speeds(at(20_000), &entries);
    assert!(reading_factor(&listener, "e0") > 1.5);
    assert!(reading_factor(&listener, "e1") < 1.1);
    assert!(listener.take_shared_speeds(at(20_000)).is_empty(), "hearsay is not passed on");
}

/// Guards against messages that grow with the number of servers.
#[test]
fn messages_are_bounded_and_reach_all_servers_in_turn() {
    let mut balancer = balancer_with_engines(40, 64);
    answer_prompts(&mut balancer, 40, 0..3, |_| 1.0);
    let mut told: Vec<String> = Vec::new();
    for _ in 0..3 {
        let entries = balancer.take_shared_speeds(at(4_000));
        assert!(entries.len() <= 16);
        told.extend(entries.into_iter().map(|entry| entry.server.to_string()));
    }
    told.sort();
    told.dedup();
    assert!(told.len() >= 39, "{}", told.len());
}

/// Guards against a change of the choice among equal servers: with times that vary as they do, the
/// share of each must stay as it is without measured speeds.
#[test]
fn equal_servers_are_chosen_as_without_measurements() {
    let spread = |measured: bool| {
        let measure_speed = if measured { SpeedUse::Always } else { SpeedUse::Never };
        let policy = RoutePolicy { measure_speed, ..RoutePolicy::default() };
        let mut balancer = LoadBalancer::new("r1".parse().unwrap(), policy, SEED);
        balancer
            .set_servers(at(0), (0..10).map(|n| engine(&format!("e{n}"), &["m1"], 64)).collect());
        let mut counts = [0_usize; 10];
        for second in 0..200 {
            // Times differ by up to 20% in either direction.
            answer_prompts(&mut balancer, 10, second..second + 1, |n| {
                0.8 + ((second as usize * 37 + n * 53) % 41) as f64 / 100.0
            });
            let now = at(second * 1_000 + 500);
            for (name, count) in pick_counts(&mut balancer, now, &prompt_query(1_000), 20) {
                counts[name[1..].parse::<usize>().unwrap()] += count;
            }
        }
        let mean = counts.iter().sum::<usize>() as f64 / 10.0;
        *counts.iter().max().unwrap() as f64 / mean
    };
    let (measured, unmeasured) = (spread(true), spread(false));
    assert!(measured <= unmeasured + 0.05, "{measured} {unmeasured}");
}

proptest! {
    #![proptest_config(proptest_config(200))]

    /// Guards against factors and times that leave their bounds, or that are no numbers, after any
    /// samples, reports and messages.
    #[test]
    fn factors_stay_in_bounds(
        steps in prop::collection::vec(
            (0_u64..40_000, 0_usize..4, 0_u8..3, any::<u64>(), any::<u64>(), any::<bool>(),
             prop::option::of(any::<u32>())),
            1..60,
        ),
        shared in prop::collection::vec((0_usize..4, 0_usize..3, any::<u32>(), any::<u32>()), 0..8),
    ) {
        let mut balancer = balancer_with_engines(4, 64);
        let mut now = 0;
        for (wait, server, class, tokens, took, unfinished, stated) in steps {
            now += wait;
            let work = match class {
                0 => Work::Prompt(Tokens(tokens)),
                1 => Work::Generation(Tokens(tokens)),
                _ => Work::Plain,
            };
            let sample = WorkSample { work, took: Millis(took), unfinished, stated };
            record(&mut balancer, now, &format!("e{server}"), sample);
            for (server, class, permille, samples) in &shared {
                let entry = SharedSpeed {
                    server: id(&format!("e{server}")),
                    class: WorkClass::ALL[*class],
                    permille: *permille,
                    samples: *samples,
                    age: Millis(u64::from(*samples)),
                };
                balancer.apply_shared_speeds(at(now), &[entry]);
            }
            for n in 0..4 {
                for class in WorkClass::ALL {
                    let factor = balancer.speed_factor(&id(&format!("e{n}")), class);
                    prop_assert!((0.24..4.01).contains(&factor), "{factor}");
                }
            }
            prop_assert!(balancer.pick(at(now), &prompt_query(1_000)).is_some());
            prop_assert!(balancer.take_shared_speeds(at(now)).iter().all(|e| e.permille <= 4_000));
            let _ = balancer.expected_time(&id("e0"), &prompt_query(u64::MAX));
        }
    }
}

/// Guards against measurements where no server states how long work takes on its machine: such
/// servers must be chosen as before.
#[test]
fn speeds_are_measured_once_a_server_has_stated_its_own() {
    let policy = RoutePolicy { measure_speed: SpeedUse::IfStated, ..RoutePolicy::default() };
    let mut balancer = LoadBalancer::new("r1".parse().unwrap(), policy, SEED);
    balancer.set_servers(at(0), vec![engine("e0", &["m1"], 64), engine("e1", &["m1"], 64)]);
    let (kind, model) = ("chat".parse().unwrap(), "m1".parse().unwrap());
    let mut record = |server: &str, took: u64, stated: Option<u32>| {
        let work = Work::Prompt(Tokens(1_000));
        let sample = WorkSample { work, took: Millis(took), unfinished: false, stated };
        for n in 0..40 {
            balancer.record_work(at(n * 50), &id(server), &kind, Some(&model), sample);
        }
        balancer.speed_factor(&id(server), WorkClass::Prompt)
    };
    record("e0", 100, None);
    assert_eq!(record("e1", 400, None), 1.0);
    record("e0", 100, Some(100));
    assert!(record("e1", 400, Some(100)) > 1.0);
}

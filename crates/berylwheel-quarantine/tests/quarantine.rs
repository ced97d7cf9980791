//! Decisions of one router: what counts as evidence, what is refused, and odd input.

use berylwheel_quarantine::Action;
use berylwheel_quarantine::Quarantine;
use berylwheel_quarantine::QuarantinePolicy;
use berylwheel_types::BackendId;
use berylwheel_types::Millis;
use berylwheel_types::PartHold;
use berylwheel_types::PromptPartId;
use berylwheel_types::RouterId;
use berylwheel_types::SuspectRequest;
use berylwheel_types::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20_261_205;
const FIRST: PromptPartId = PromptPartId(0xf1);
const BAD: PromptPartId = PromptPartId(0xbad);
const START: u64 = 10_000_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(START + ms)
}

fn router(number: usize) -> RouterId {
    format!("r{number}").parse().unwrap()
}

fn server(number: u64) -> BackendId {
    format!("s{number}").parse().unwrap()
}

fn new() -> Quarantine {
    Quarantine::new(QuarantinePolicy::default())
}

/// Reports that a server has ended under one request.
fn report(quarantine: &mut Quarantine, ms: u64, number: u64, ran_for: u64, parts: &[PromptPartId]) {
    let suspect = SuspectRequest { ran_for: Millis(ran_for), parts: parts.to_vec() };
    let from = router(number as usize % 3);
    quarantine.handle_report(at(ms), &from, &server(number), Millis(0), vec![suspect]);
}

/// Reports three independent ends under requests with the same parts.
fn quarantined(parts: &[PromptPartId]) -> Quarantine {
    let mut quarantine = new();
    for number in 0..3 {
        report(&mut quarantine, 1_000 * (number + 1), number, 100, parts);
    }
    quarantine.poll(at(3_100));
    quarantine
}

fn is_refused(quarantine: &mut Quarantine, ms: u64, parts: &[PromptPartId]) -> bool {
    quarantine.check(at(ms), parts).is_some()
}

/// Guards against counting the ends of a rack, which hold requests with the same sound part, as
/// independent ends.
#[test]
fn servers_that_end_at_the_same_time_count_once() {
    let mut quarantine = new();
    for number in 0..12 {
        report(&mut quarantine, 1_000 + number, number, 500, &[BAD]);
    }
    quarantine.poll(at(5_000));
    assert!(!is_refused(&mut quarantine, 5_000, &[BAD]));
}

/// Guards against counting an end once for each router that reports it.
#[test]
fn one_end_that_several_routers_report_counts_once() {
    let mut quarantine = new();
    for number in 0..9 {
        let suspect = SuspectRequest { ran_for: Millis(10), parts: vec![BAD] };
        let time = at(1_000 + 100 * number);
        quarantine.handle_report(
            time,
            &router(number as usize),
            &server(1),
            Millis(0),
            vec![suspect],
        );
    }
    quarantine.poll(at(5_000));
    assert!(!is_refused(&mut quarantine, 5_000, &[BAD]));
}

/// Guards against quarantining a part that is answered between the ends.
#[test]
fn answer_after_the_first_end_clears_a_part() {
    let mut quarantine = new();
    for number in 0..20 {
        report(&mut quarantine, 1_000 * (number + 1), number, 100, &[BAD]);
        quarantine.handle_answers(at(1_000 * (number + 1) + 500), &[(BAD, Millis(100))]);
        quarantine.poll(at(1_000 * (number + 1) + 900));
    }
    assert!(!is_refused(&mut quarantine, 30_000, &[BAD]));
}

/// Guards against never finding a part that was answered before it became harmful.
#[test]
fn part_that_was_answered_before_the_first_end_needs_more_ends() {
    let mut quarantine = new();
    quarantine.record_answer(at(0), &[BAD]);
    let mut ends_needed = 0;
    for number in 0..10 {
        let time = 10_000 + 1_000 * number;
        report(&mut quarantine, time, number, 100, &[BAD]);
        quarantine.poll(at(time + 300));
        if is_refused(&mut quarantine, time + 300, &[BAD]) {
            ends_needed = number + 1;
            break;
        }
    }
    assert_eq!(ends_needed, 5);
}

/// Guards against refusing the first part of somebody else's requests, which a caller adds to its own
/// harmful ones.
#[test]
fn part_that_always_comes_with_a_bad_one_is_not_refused_alone() {
    let mut quarantine = quarantined(&[BAD, FIRST]);
    assert!(!is_refused(&mut quarantine, 4_000, &[FIRST]));
    assert!(is_refused(&mut quarantine, 4_000, &[BAD, FIRST, PromptPartId(9_999)]));
    // A request with the bad part and another first part narrows it down.
    report(&mut quarantine, 5_000, 7, 100, &[BAD, PromptPartId(0xf2)]);
    quarantine.poll(at(5_100));
    assert!(is_refused(&mut quarantine, 5_100, &[BAD]));
    assert!(!is_refused(&mut quarantine, 5_100, &[FIRST, PromptPartId(0xf2)]));
    // So does an answer.
    let mut quarantine = quarantined(&[BAD, FIRST]);
    quarantine.handle_answers(at(4_000), &[(FIRST, Millis(1))]);
    quarantine.poll(at(4_100));
    assert!(is_refused(&mut quarantine, 4_100, &[BAD]));
}

/// Guards against quarantining a sound part that merely waits at the servers that a bad one ends.
#[test]
fn sound_part_beside_a_bad_one_is_not_quarantined() {
    let mut quarantine = new();
    for number in 0..4 {
        let time = 1_000 * (number + 1);
        if number < 3 {
            report(&mut quarantine, time, number, 100, &[FIRST]);
        }
        report(&mut quarantine, time, number, 100, &[BAD]);
        quarantine.poll(at(time + 200));
    }
    assert!(is_refused(&mut quarantine, 5_000, &[BAD]));
    assert!(!is_refused(&mut quarantine, 5_000, &[FIRST]));
}

/// Guards against a request that is retried although its part is about to be quarantined.
#[test]
fn suspected_part_goes_to_no_second_server() {
    let mut quarantine = new();
    report(&mut quarantine, 1_000, 1, 100, &[BAD]);
    assert!(!quarantine.is_suspected(at(1_001), &[BAD]));
    report(&mut quarantine, 2_000, 2, 100, &[BAD]);
    assert!(quarantine.is_suspected(at(2_001), &[FIRST, BAD]));
    let mut peer = new();
    peer.handle_query(at(2_002), &[BAD], Millis(60_000));
    assert!(peer.is_suspected(at(2_003), &[BAD]));
    assert!(!peer.is_suspected(at(20_000), &[BAD]));
}

/// Guards against a hold that ends while its requests still come, and against one that never ends.
#[test]
fn hold_lasts_for_an_hour_after_the_last_request() {
    const HOUR: u64 = 3_600_000;
    let mut quarantine = quarantined(&[BAD]);
    for time in [HOUR / 2, HOUR, HOUR * 3 / 2 + 10_000] {
        assert!(is_refused(&mut quarantine, time, &[BAD]), "{time} ms");
    }
    assert!(!is_refused(&mut quarantine, HOUR * 4, &[BAD]));
}

/// Guards against a released hold that a peer with an older state brings back.
#[test]
fn released_hold_does_not_come_back() {
    let mut quarantine = quarantined(&[BAD]);
    let before = quarantine.holds();
    assert!(quarantine.release(at(4_000), BAD));
    assert!(!quarantine.release(at(4_001), BAD));
    quarantine.handle_holds(at(5_000), before.clone());
    assert!(!is_refused(&mut quarantine, 5_000, &[BAD]));
    let mut peer = new();
    peer.handle_holds(at(5_000), before.clone());
    peer.handle_holds(at(5_001), quarantine.holds());
    peer.handle_holds(at(5_002), before);
    assert!(!is_refused(&mut peer, 5_003, &[BAD]));
}

/// Guards against refusing an exempt part, whoever wants to.
#[test]
fn exempt_part_is_never_refused() {
    let mut quarantine = quarantined(&[BAD]);
    let holds = quarantine.holds();
    quarantine.set_exempt(at(4_000), vec![BAD]);
    assert!(!is_refused(&mut quarantine, 4_001, &[BAD]));
    let mut peer = new();
    peer.set_exempt(at(0), vec![BAD]);
    peer.handle_holds(at(4_000), holds);
    for number in 0..6 {
        report(&mut peer, 5_000 + 1_000 * number, 10 + number, 100, &[BAD]);
    }
    peer.poll(at(12_000));
    assert!(!is_refused(&mut peer, 12_000, &[BAD]));
}

/// Guards against holds that no router can have meant: without parts, for ever, from the future, or
/// for a part that was answered long after the ends that they are based on.
#[test]
fn implausible_holds_of_peers_are_ignored() {
    let limit = QuarantinePolicy::default().max_parts as u64;
    let hold = PartHold {
        parts: vec![BAD],
        stamp: at(0),
        since: at(0),
        until: at(1_000_000),
        ends: 3,
        released: false,
    };
    let odd = [
        PartHold { parts: vec![], ..hold.clone() },
        PartHold { parts: vec![BAD, FIRST, BAD], ..hold.clone() },
        PartHold { parts: (0..=limit).map(PromptPartId).collect(), ..hold.clone() },
        PartHold { until: at(u64::MAX / 2), ..hold.clone() },
        PartHold { stamp: at(10_000_000), ..hold.clone() },
        PartHold { until: at(0), ..hold.clone() },
    ];
    let mut quarantine = new();
    assert!(quarantine.handle_holds(at(1_000), odd.to_vec()).is_empty());
    assert!(!is_refused(&mut quarantine, 1_000, &[BAD, FIRST]));
    quarantine.record_answer(at(60_000), &[BAD]);
    assert!(quarantine.handle_holds(at(60_001), vec![hold.clone()]).is_empty());
    assert!(matches!(quarantine.poll(at(60_002)).as_slice(), [Action::ReportAnswers(_)]));
    assert_eq!(new().handle_holds(at(1_000), vec![hold.clone()]), [hold]);
}

/// Guards against a peer that reports ends without end, and against memory that grows with made-up
/// parts.
#[test]
fn reports_of_one_peer_and_made_up_parts_are_bounded() {
    let mut quarantine = new();
    for number in 0..100_000 {
        quarantine.record_answer(at(number), &[PromptPartId(number)]);
        let suspect = SuspectRequest { ran_for: Millis(1), parts: vec![PromptPartId(number % 50)] };
        let time = at(number / 1_000);
        quarantine.handle_report(time, &router(1), &server(number), Millis(0), vec![suspect]);
    }
    quarantine.poll(at(100_000));
    let dump = quarantine.dump(at(100_000));
    let ends: u32 = dump.suspected.iter().map(|suspected| suspected.ends).sum();
    assert!(ends <= 64, "{ends} ends of one peer count");
}

/// Guards against memory that grows with the length of prompts, and against a crashing part that is
/// among those left out each time.
#[test]
fn ends_under_many_long_prompts_are_bounded_and_tell_the_bad_part() {
    let policy = QuarantinePolicy::default();
    let (mut reporter, mut judge) = (new(), new());
    let mut next_part = 1 << 40;
    let mut found_after = None;
    for number in 0..100 {
        let time = 1_000 * (number + 1);
        for request in 0..100 {
            let mut parts: Vec<PromptPartId> =
                (next_part..next_part + 300).map(PromptPartId).collect();
            next_part += 300;
            if request == 80 {
                parts.insert(0, BAD);
            }
            reporter.record_break(at(time), &server(number), Millis(100), &parts);
            // Requests at a server that does not end.
            reporter.record_break(at(time), &server(1_000 + request), Millis(100), &parts[1..]);
        }
        reporter.record_end(at(time), &server(number));
        for action in reporter.poll(at(time)) {
            if let Action::ReportEnd { server, age, suspects } = action {
                judge.handle_report(at(time), &router(number as usize % 9), &server, age, suspects);
            }
        }
        judge.poll(at(time + 500));
        let kept = [&reporter, &judge].map(|quarantine| quarantine.dump(at(time)).kept_parts);
        assert!(kept[0] <= policy.max_pending && kept[1] <= policy.max_evidence, "{kept:?} parts");
        if is_refused(&mut judge, time + 500, &[BAD]) {
            found_after.get_or_insert(number + 1);
        }
        assert!(!is_refused(&mut judge, time + 500, &[PromptPartId(next_part - 1)]));
    }
    println!("found after {found_after:?} ends");
    assert!(found_after.is_some());
}

#[derive(Debug, Clone)]
enum Step {
    End { server: u64, bad: bool, companion: u64 },
    Answer { part: u64 },
    Wait { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..40_u64, any::<bool>(), 0..4_u64)
            .prop_map(|(server, bad, companion)| Step::End { server, bad, companion }),
        2 => (0..4_u64).prop_map(|part| Step::Answer { part }),
        2 => (1..4_000_u64).prop_map(|ms| Step::Wait { ms }),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// Guards against refusing requests without the bad part, whatever sound parts come with it, as
    /// long as the sound ones are answered between two ends.
    #[test]
    fn only_requests_with_the_bad_part_are_refused(steps in steps()) {
        let mut quarantine = new();
        let (mut now, mut number) = (0, 0);
        for step in steps {
            match step {
                Step::End { server: offset, bad, companion } => {
                    number += 1;
                    let mut parts = vec![PromptPartId(companion)];
                    parts.extend(bad.then_some(BAD));
                    parts.sort_unstable();
                    report(&mut quarantine, now, 100 * number + offset, 50, &parts);
                    let answer = (PromptPartId(companion), Millis(0));
                    now += 60;
                    quarantine.handle_answers(at(now), &[answer]);
                }
                Step::Answer { part } => quarantine.record_answer(at(now), &[PromptPartId(part)]),
                Step::Wait { ms } => now += ms,
            }
            quarantine.poll(at(now));
            for part in 0..4 {
                prop_assert!(!is_refused(&mut quarantine, now, &[PromptPartId(part)]), "part {part}");
            }
        }
    }
}

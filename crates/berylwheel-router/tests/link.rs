//! A link that callers fill.

use berylwheel_router::LinkLoad;
use berylwheel_types::BitRate;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use proptest::prelude::*;

/// What a small VM of the larger deployments has.
const LINK: BitRate = BitRate(10_000_000);
/// What the link carries in a step.
const STEP: Millis = Millis(10);
/// Time in which a balancer notices that a router is not ready: two questions, one a second.
const NOTICE: Millis = Millis(2_000);
/// Bytes of a long prompt.
const PROMPT: u64 = 60_000;

/// One router of a failure domain: the callers that use it, the bytes that wait for its link.
struct Vm {
    load: LinkLoad,
    callers: u64,
    waiting: u64,
    unready_since: Option<Timestamp>,
}

/// Plays callers that all begin at the first of `vms` routers and send ten long prompts a second each,
/// and returns the share of the bytes that waited under half a second for the link.
fn play(vms: usize, callers: u64, moves: bool) -> f64 {
    let mut fleet: Vec<Vm> = (0..vms)
        .map(|at| Vm {
            load: LinkLoad::new(LINK),
            callers: if at == 0 { callers } else { 0 },
            waiting: 0,
            unready_since: None,
        })
        .collect();
    let carried = LINK.bytes_per_second() * STEP.0 / 1_000;
    let mut now = Timestamp::from_millis(0);
    let (mut sent, mut late) = (0, 0);
    for step in 0..3_000_u64 {
        now += STEP;
        for at in 0..vms {
            let vm = &mut fleet[at];
            // A caller sends a prompt each tenth of a second.
            let arriving = if step % 10 == 0 { vm.callers * PROMPT / 10 } else { 0 };
            vm.waiting += arriving;
            sent += arriving;
            if vm.waiting > LINK.bytes_per_second() / 2 {
                late += arriving;
            }
            let passed = vm.waiting.min(carried);
            vm.waiting -= passed;
            vm.load.note(now, passed);
            let since = vm.unready_since.get_or_insert(now);
            let noticed = now.since(*since) >= NOTICE;
            if vm.load.wants_callers(now) {
                vm.unready_since = None;
            }
            // A caller whose answer ends its connection goes to the next router that is ready.
            if moves && noticed && step % 10 == 0 && vm.load.is_full(now) && vm.callers > 0 {
                let next = (1..vms).map(|n| (at + n) % vms);
                let next = { next }.find(|next| fleet[*next].load.wants_callers(now));
                if let Some(next) = next {
                    fleet[at].callers -= 1;
                    fleet[next].callers += 1;
                }
            }
        }
    }
    1.0 - late as f64 / sent.max(1) as f64
}

/// Guards against callers that wait behind a full link for good while other routers are idle: with
/// the same load and no router that sends callers away, nearly all of them do.
#[test]
fn callers_spread_over_the_failure_domain() {
    let before = play(20, 60, false);
    let after = play(20, 60, true);
    assert!(before < 0.1 && after > 0.7, "in time before {before:.2}, after {after:.2}");
}

/// Guards against a router that sends callers away although nobody can take them, and loses what it
/// could serve.
#[test]
fn callers_stay_where_every_link_is_full() {
    let before = play(2, 60, false);
    let after = play(2, 60, true);
    assert!(after >= before, "in time before {before:.2}, after {after:.2}");
}

/// Plays 150 prompts a second at one router, five times what its link carries, and returns how many
/// were taken, and the longest wait for the link of one that was.
fn flood(admits: bool) -> (u64, Millis) {
    let mut load = LinkLoad::new(LINK);
    let (mut waiting, mut taken, mut longest) = (0, 0, Millis(0));
    let mut now = Timestamp::from_millis(0);
    for step in 0..1_000_u64 {
        now += STEP;
        for _ in 0..(if step % 2 == 0 { 3 } else { 0 }) {
            if admits && !load.admit(now, PROMPT / 2) {
                continue;
            }
            load.send(now, PROMPT / 2);
            taken += 1;
            waiting += PROMPT / 2;
            longest = longest.max(Millis(waiting * 1_000 / LINK.bytes_per_second()));
        }
        waiting -= waiting.min(LINK.bytes_per_second() * STEP.0 / 1_000);
    }
    (taken, longest)
}

/// Guards against a router whose link is flooded and that holds all requests, so that none is served:
/// those that are taken reach a server before connections to it are given up, and the link is used.
#[test]
fn a_flooded_link_takes_what_it_carries() {
    let (_, before) = flood(false);
    let (taken, after) = flood(true);
    let carried = LINK.bytes_per_second() * 10 / (PROMPT / 2);
    assert!(before > Millis(10_000) && after <= Millis(250), "waits of {before} and {after}");
    assert!(taken * 10 >= carried * 7, "{taken} of {carried} that the link carries");
}

/// Guards against a router on a fast link that refuses a burst.
#[test]
fn a_fast_link_takes_a_burst() {
    let mut load = LinkLoad::new(BitRate(1_000_000_000));
    let now = Timestamp::from_millis(0);
    assert!((0..200).all(|_| load.admit(now, PROMPT)));
    assert!(load.wants_callers(now) && !load.is_full(now));
}

proptest! {
    /// Guards against a link that counts as full under a load that it carries, and against one that
    /// never recovers.
    #[test]
    fn a_link_is_full_above_its_share_only(parts in prop::collection::vec((1..300_u64, 0..400_000_u64), 1..80)) {
        let mut load = LinkLoad::new(LINK);
        let mut now = Timestamp::from_millis(1_000);
        let mut seen: Vec<(Timestamp, u64)> = Vec::new();
        for (span, bytes) in parts {
            now += Millis(span);
            load.note(now, bytes);
            seen.push((now, bytes));
            // Bytes are counted in parts of a tenth of a second, so the edge of the window is that wide.
            let within = |time: u64| -> u64 {
                seen.iter().filter(|(at, _)| now.since(*at) < Millis(time)).map(|(_, bytes)| bytes).sum()
            };
            let limit = LINK.bytes_per_second() * 7 / 10;
            if within(1_000) < limit {
                prop_assert!(!load.is_full(now));
            }
            if within(900) >= limit {
                prop_assert!(load.is_full(now));
            }
        }
        prop_assert!(load.wants_callers(now + Millis(5_000)));
    }
}

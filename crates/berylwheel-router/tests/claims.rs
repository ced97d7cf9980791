//! Tests of claims of idempotency keys.

use berylwheel_router::ClaimResponse;
use berylwheel_router::Claims;
use berylwheel_types::BillKey;
use berylwheel_types::FastMap;
use berylwheel_types::Incarnation;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 41;
const KEYS: u8 = 3;
const OWNERS: u8 = 3;

#[derive(Debug, Clone)]
enum Step {
    Claim { key: u8, owner: u8, digest: u64 },
    End { pick: u8, delivered: bool },
    OwnerEnds(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..KEYS, 0..OWNERS, 0..2_u64)
            .prop_map(|(key, owner, digest)| Step::Claim { key, owner, digest }),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(pick, delivered)| Step::End { pick, delivered }),
        1 => (0..OWNERS).prop_map(Step::OwnerEnds),
    ]
}

fn key(n: u8) -> BillKey {
    BillKey::new(&"w".parse().unwrap(), &n.to_string())
}

fn owner(n: u8) -> Incarnation {
    format!("r{n}@1").parse().unwrap()
}

/// An attempt that was allowed to run and has not ended.
struct RunningAttempt {
    key: u8,
    owner: u8,
    attempt: RequestId,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against two attempts with one key that run at the same time, an attempt after a
    /// delivered response, and one key for two different requests.
    #[test]
    fn at_most_one_attempt_per_key_runs(steps in prop::collection::vec(step(), 1..60)) {
        let mut claims = Claims::default();
        let mut running: Vec<RunningAttempt> = Vec::new();
        let mut ended = [false; OWNERS as usize];
        let mut delivered: FastMap<u8, bool> = FastMap::default();
        let mut digests: FastMap<u8, u64> = FastMap::default();
        for (n, step) in steps.into_iter().enumerate() {
            let now = Timestamp::from_millis(n as u64);
            match step {
                Step::Claim { key: k, owner: o, digest } if !ended[usize::from(o)] => {
                    let attempt: RequestId = format!("a{n}").parse().unwrap();
                    let is_ended = |run: &Incarnation| {
                        (0..OWNERS).any(|o| ended[usize::from(o)] && owner(o) == *run)
                    };
                    let response =
                        claims.claim(now, key(k), &attempt, &owner(o), digest, is_ended);
                    if response != ClaimResponse::First {
                        continue;
                    }
                    let is_live = |r: &RunningAttempt| r.key == k && !ended[usize::from(r.owner)];
                    prop_assert!(!running.iter().any(is_live), "two attempts with key {k} run");
                    prop_assert!(!delivered.get(&k).copied().unwrap_or(false));
                    prop_assert_eq!(*digests.entry(k).or_insert(digest), digest);
                    running.push(RunningAttempt { key: k, owner: o, attempt });
                }
                Step::End { pick, delivered: delivered_now } if !running.is_empty() => {
                    let RunningAttempt { key: k, owner: o, attempt } =
                        running.swap_remove(usize::from(pick) % running.len());
                    if ended[usize::from(o)] {
                        continue;
                    }
                    claims.end(now, key(k), &attempt, delivered_now);
                    *delivered.entry(k).or_default() |= delivered_now;
                }
                Step::OwnerEnds(o) => ended[usize::from(o)] = true,
                Step::Claim { .. } | Step::End { .. } => {}
            }
        }
    }
}

/// Guards against a caller that aborts each response and repeats the request without limit: a key
/// is billed once, so the repetitions would be free.
#[test]
fn attempts_per_key_are_limited() {
    let mut claims = Claims::default();
    let allowed = (0..10)
        .filter(|n| {
            let attempt: RequestId = format!("a{n}").parse().unwrap();
            let now = Timestamp::from_millis(*n);
            let response = claims.claim(now, key(0), &attempt, &owner(0), 0, |_| false);
            claims.end(now, key(0), &attempt, false);
            response == ClaimResponse::First
        })
        .count();
    assert_eq!(allowed, 3);
}

/// Guards against claims that are never removed, which would let memory grow without limit.
#[test]
fn claims_are_removed_after_the_window() {
    let mut claims = Claims::default();
    let attempt = "a".parse().unwrap();
    claims.claim(Timestamp::from_millis(0), key(0), &attempt, &owner(0), 0, |_| false);
    claims.prune(Timestamp::from_millis(599_999));
    assert_eq!(claims.len(), 1);
    claims.prune(Timestamp::from_millis(600_000));
    assert!(claims.is_empty());
}

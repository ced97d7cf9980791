//! Tests the circuit breaker: the number of calls during an outage and the time to recover.

use std::sync::Arc;

use berylwheel_store::Breaker;
use berylwheel_store::GuardedStore;
use berylwheel_store::LossCount;
use berylwheel_store::MemoryStore;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::StoreFaults;
use berylwheel_types::Clock;
use berylwheel_types::ManualClock;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use futures_lite::future::block_on;
use proptest::prelude::*;

fn timestamp(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn guarded_store() -> (ManualClock, MemoryStore, GuardedStore) {
    let manual = ManualClock::new(timestamp(1_000));
    let clock = Clock::Manual(manual.clone());
    let store = MemoryStore::new(clock.clone());
    let guarded = GuardedStore::new(Arc::new(store.clone()), clock);
    (manual, store, guarded)
}

/// Guards against a router that keeps calling a failing store: the platform counts every call, and
/// retries add load to a store that is already failing.
#[test]
fn outage_limits_calls_to_probes() {
    let (clock, store, guarded) = guarded_store();
    store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    let initial_reads = store.counts().reads;
    for _ in 0..90 {
        for _ in 0..20 {
            let read = block_on(guarded.range("k", false, 0));
            assert_eq!(read, Err(StoreError::Unavailable));
        }
        clock.advance(Millis(100));
    }
    let sent = store.counts().reads - initial_reads;
    // Three failures open the breaker; then at most two probes are sent per second.
    assert!(sent <= 3 + 2 * 9 + 1, "{sent} calls in 9 s");
}

/// Guards against routers in a fleet that each probe as often as a single router would: in two
/// outages of 8 s each, 64 routers sent 2,000 probes.
#[test]
fn shared_probing_limits_probes_per_router() {
    let (clock, store, guarded) = guarded_store();
    guarded.set_max_interval(Millis(4_000));
    store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    let initial_reads = store.counts().reads;
    for _ in 0..90 {
        assert!(block_on(guarded.range("k", false, 0)).is_err());
        clock.advance(Millis(100));
    }
    let sent = store.counts().reads - initial_reads;
    assert!((5..=10).contains(&sent), "{sent} calls in 9 s");
    // A peer reports that the store has recovered.
    store.set_faults(StoreFaults::default());
    clock.advance(Millis(100));
    guarded.probe_now();
    assert!(block_on(guarded.range("k", false, 0)).is_ok());
    assert!(!guarded.is_unavailable());
}

/// Guards against a router that notices late that the store has recovered.
#[test]
fn calls_resume_soon_after_recovery() {
    let (clock, store, guarded) = guarded_store();
    store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    for _ in 0..80 {
        assert!(block_on(guarded.range("k", false, 0)).is_err());
        clock.advance(Millis(100));
    }
    store.set_faults(StoreFaults::default());
    let recovered = (0..5).any(|_| {
        clock.advance(Millis(100));
        block_on(guarded.range("k", false, 0)).is_ok()
    });
    assert!(recovered);
    let all_sent = (0..10).all(|_| block_on(guarded.range("k", false, 0)).is_ok());
    assert!(all_sent, "every call is sent after a successful probe");
}

/// Guards against a breaker that opens on a single lost response, which also occurs with a healthy
/// store.
#[test]
fn single_lost_responses_do_not_open_the_breaker() {
    let (_, store, guarded) = guarded_store();
    for _ in 0..20 {
        store.set_faults(StoreFaults {
            lose_answers: LossCount::Count(1),
            ..StoreFaults::default()
        });
        let put = vec![Put::new("k", "v")];
        assert_eq!(block_on(guarded.swap(Vec::new(), put)), Err(StoreError::Unknown));
        assert!(block_on(guarded.range("k", false, 0)).is_ok());
    }
}

proptest! {
    /// Guards against a breaker that blocks a probe for more than 500 ms after any sequence of
    /// calls, and against more than one probe within the shortest interval of 250 ms.
    #[test]
    fn probes_are_sent_at_bounded_intervals(steps in prop::collection::vec((0..400_u64, 0..3_u8), 1..200)) {
        let mut breaker = Breaker::default();
        let (mut now, mut last_probe) = (timestamp(1_000), None::<Timestamp>);
        let mut open = false;
        for (elapsed, step) in steps {
            now += Millis(elapsed);
            match step {
                0 => {
                    open |= breaker.record_failure(now);
                }
                1 if breaker.allow_call(now) => {
                    if open && let Some(last_probe) = last_probe {
                        prop_assert!(now.since(last_probe) >= Millis(250));
                    }
                    last_probe = open.then_some(now);
                }
                2 => {
                    open &= breaker.record_success(now).is_none();
                    last_probe = None;
                }
                _ => {}
            }
        }
        prop_assert!(breaker.allow_call(now + Millis(500)));
    }
}

//! Tests the circuit breaker: the number of calls during an outage and the time to recover.

use std::sync::Arc;

use berylwheel_store::Breaker;
use berylwheel_store::GuardedStore;
use berylwheel_store::Lost;
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

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn guarded() -> (ManualClock, MemoryStore, GuardedStore) {
    let time = ManualClock::new(at(1_000));
    let clock = Clock::Manual(time.clone());
    let store = MemoryStore::new(clock.clone());
    let guarded = GuardedStore::new(Arc::new(store.clone()), clock);
    (time, store, guarded)
}

/// Guards against a router that keeps calling a failing store: every call is counted by the platform
/// and adds load while the store recovers.
#[test]
fn few_calls_go_out_in_an_outage() {
    let (time, store, guarded) = guarded();
    store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    let before = store.counts().reads;
    for _ in 0..90 {
        for _ in 0..20 {
            let read = block_on(guarded.range("k", false, 0));
            assert_eq!(read, Err(StoreError::Unavailable));
        }
        time.advance(Millis(100));
    }
    let sent = store.counts().reads - before;
    // Three failures open the breaker; then at most two probes are sent per second.
    assert!(sent <= 3 + 2 * 9 + 1, "{sent} calls in 9 s");
}

/// Guards against routers in a fleet that each probe as often as a single router would: in two outages
/// of 8 s each, 64 routers sent 2,000 probes.
#[test]
fn routers_that_share_the_probes_send_few_each() {
    let (time, store, guarded) = guarded();
    guarded.set_limit(Millis(4_000));
    store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    let before = store.counts().reads;
    for _ in 0..90 {
        assert!(block_on(guarded.range("k", false, 0)).is_err());
        time.advance(Millis(100));
    }
    let sent = store.counts().reads - before;
    assert!((5..=10).contains(&sent), "{sent} calls in 9 s");
    // A peer reports that the store has recovered.
    store.set_faults(StoreFaults::default());
    time.advance(Millis(100));
    guarded.probe_now();
    assert!(block_on(guarded.range("k", false, 0)).is_ok());
    assert!(!guarded.is_lost());
}

/// Guards against a router that notices late that the store has recovered.
#[test]
fn calls_go_out_again_soon_after_the_return() {
    let (time, store, guarded) = guarded();
    store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    for _ in 0..80 {
        assert!(block_on(guarded.range("k", false, 0)).is_err());
        time.advance(Millis(100));
    }
    store.set_faults(StoreFaults::default());
    let back = (0..5).any(|_| {
        time.advance(Millis(100));
        block_on(guarded.range("k", false, 0)).is_ok()
    });
    assert!(back);
    let all = (0..10).all(|_| block_on(guarded.range("k", false, 0)).is_ok());
    assert!(all, "every call is sent after a successful probe");
}

/// Guards against a breaker that opens on a single lost response, which also occurs with a healthy
/// store.
#[test]
fn single_lost_answers_do_not_count_as_an_outage() {
    let (_, store, guarded) = guarded();
    for _ in 0..20 {
        store.set_faults(StoreFaults { lose_answers: Lost::Count(1), ..StoreFaults::default() });
        let put = vec![Put::new("k", "v")];
        assert_eq!(block_on(guarded.swap(Vec::new(), put)), Err(StoreError::Unknown));
        assert!(block_on(guarded.range("k", false, 0)).is_ok());
    }
}

proptest! {
    /// Guards against a breaker that blocks a probe for more than 500 ms after any sequence of calls,
    /// and against more than one probe within the shortest interval of 250 ms.
    #[test]
    fn a_probe_goes_out_twice_a_second(steps in prop::collection::vec((0..400_u64, 0..3_u8), 1..200)) {
        let mut breaker = Breaker::default();
        let (mut now, mut last) = (at(1_000), None::<Timestamp>);
        let mut lost = false;
        for (span, step) in steps {
            now += Millis(span);
            match step {
                0 => {
                    lost |= breaker.failed(now);
                }
                1 if breaker.admit(now) => {
                    if lost && let Some(last) = last {
                        prop_assert!(now.since(last) >= Millis(250));
                    }
                    last = lost.then_some(now);
                }
                2 => {
                    lost &= breaker.succeeded(now).is_none();
                    last = None;
                }
                _ => {}
            }
        }
        prop_assert!(breaker.admit(now + Millis(500)));
    }
}

//! Contract tests that run against each implementation of `Store`.

mod common;

use berylwheel_store::Compare;
use berylwheel_store::LeaseId;
use berylwheel_store::LossCount;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::StoreFaults;
use berylwheel_store::SwapResult;
use berylwheel_types::Millis;
use common::Fixture;
use common::for_each;
use futures_lite::future;

/// A call timeout that no successful call reaches.
const LONG_TIMEOUT: Millis = Millis(60_000);

/// A call timeout shorter than the injected delay [`RESPONSE_DELAY_MS`].
const SHORT_TIMEOUT: Millis = Millis(50);

/// The injected response delay, longer than any test runs.
const RESPONSE_DELAY_MS: u64 = 3_600_000;

async fn put(store: &dyn Store, key: &str, value: &[u8]) -> u64 {
    match store.swap(Vec::new(), vec![Put::new(key, value)]).await {
        Ok(SwapResult::Committed(revision)) => revision,
        other => panic!("put of {key}: {other:?}"),
    }
}

async fn create(store: &dyn Store, key: &str, value: &str) -> Result<SwapResult, StoreError> {
    store.swap(vec![Compare::absent(key)], vec![Put::new(key, value)]).await
}

async fn keys(store: &dyn Store, from: &str, prefix: bool, limit: u32) -> Vec<String> {
    let entries = store.range(from, prefix, limit).await.expect("the store is available");
    entries.into_iter().map(|entry| entry.key).collect()
}

async fn value(fixture: &Fixture, key: &str) -> Option<Vec<u8>> {
    let entries = fixture.store.range(key, false, 0).await.expect("the store is available");
    entries.into_iter().next().map(|entry| entry.value)
}

/// Guards against a second creation that overwrites the first or does not return the existing
/// entry.
#[test]
fn second_creation_fails_and_returns_the_existing_entry() {
    for_each(LONG_TIMEOUT, |f| {
        Box::pin(async move {
            let committed = create(&*f.store, "k", "first").await;
            let Ok(SwapResult::Committed(revision)) = committed else { panic!("{committed:?}") };
            let conflict = create(&*f.store, "k", "second").await;
            let Ok(SwapResult::Conflict(current)) = conflict else { panic!("{conflict:?}") };
            assert_eq!(current.len(), 1);
            assert_eq!(current[0].value, b"first");
            assert_eq!((current[0].revision, current[0].deleted), (revision, false));
        })
    });
}

/// Guards against a write that takes effect although it is based on an outdated revision.
#[test]
fn swap_on_an_outdated_revision_changes_nothing() {
    for_each(LONG_TIMEOUT, |f| {
        Box::pin(async move {
            let first = put(&*f.store, "a", b"1").await;
            let second = put(&*f.store, "a", b"2").await;
            assert!(second > first, "revisions increase");
            let puts = vec![Put::new("a", "3"), Put::new("b", "3")];
            let conflict = f.store.swap(vec![Compare::new("a", first)], puts.clone()).await;
            assert!(matches!(conflict, Ok(SwapResult::Conflict(_))), "{conflict:?}");
            assert_eq!(value(&f, "b").await, None, "a failed swap writes nothing");
            let committed = f.store.swap(vec![Compare::new("a", second)], puts).await;
            assert_eq!(committed, Ok(SwapResult::Committed(second + 1)));
            let entries = f.store.range("", true, 0).await.unwrap();
            assert!(entries.iter().all(|entry| entry.revision == second + 1), "{entries:?}");
        })
    });
}

/// Guards against a failed swap that returns an entry for a key that does not exist.
#[test]
fn failed_swap_on_a_missing_key_returns_no_entries() {
    for_each(LONG_TIMEOUT, |f| {
        Box::pin(async move {
            let conflict = f.store.swap(vec![Compare::new("k", 7)], vec![Put::new("k", "v")]).await;
            assert_eq!(conflict, Ok(SwapResult::Conflict(Vec::new())));
        })
    });
}

/// Guards against a deletion outside its transaction, and against a deleted key that cannot be
/// created again.
#[test]
fn swap_applies_deletes_and_puts_atomically() {
    for_each(LONG_TIMEOUT, |f| {
        Box::pin(async move {
            let revision = put(&*f.store, "old", b"v").await;
            let puts = vec![Put::delete("old"), Put::new("new", "v")];
            let committed = f.store.swap(vec![Compare::new("old", revision)], puts).await;
            assert_eq!(committed, Ok(SwapResult::Committed(revision + 1)));
            assert_eq!(keys(&*f.store, "", true, 0).await, ["new"]);
            assert!(matches!(create(&*f.store, "old", "v").await, Ok(SwapResult::Committed(_))));
        })
    });
}

/// Guards against a prefix range that includes adjacent keys, is out of order or ignores its limit.
#[test]
fn prefix_range_returns_exactly_the_matching_keys() {
    for_each(LONG_TIMEOUT, |f| {
        Box::pin(async move {
            for key in ["b/2", "b/10", "b", "b0", "a/1", "b/\u{10ffff}"] {
                put(&*f.store, key, b"v").await;
            }
            assert_eq!(keys(&*f.store, "b/", true, 0).await, ["b/10", "b/2", "b/\u{10ffff}"]);
            assert_eq!(keys(&*f.store, "b/", true, 2).await, ["b/10", "b/2"]);
            assert_eq!(keys(&*f.store, "b", false, 0).await, ["b"]);
            assert_eq!(keys(&*f.store, "c", true, 0).await, [""; 0]);
            assert_eq!(keys(&*f.store, "", true, 0).await.len(), 6);
        })
    });
}

/// Guards against values that are truncated or corrupted in transit.
#[test]
fn binary_values_up_to_one_megabyte_are_preserved() {
    for_each(LONG_TIMEOUT, |f| {
        Box::pin(async move {
            for size in [0, 1, 255, 65_537, 1 << 20] {
                let bytes: Vec<u8> = (0..size).map(|i| (i % 251) as u8).collect();
                put(&*f.store, "k", &bytes).await;
                assert!(value(&f, "k").await == Some(bytes), "{size} bytes");
            }
        })
    });
}

/// Guards against keys that outlive their lease, and leases that expire although they are renewed.
#[test]
fn lease_without_renewal_expires_and_deletes_its_keys() {
    for_each(LONG_TIMEOUT, |f| {
        Box::pin(async move {
            let lease = f.store.grant_lease(Millis(2_000)).await.unwrap();
            let puts = vec![Put::new("leased", "v").lease(lease), Put::new("permanent", "v")];
            f.store.swap(Vec::new(), puts).await.unwrap();
            f.clock.advance(Millis(1_900));
            assert_eq!(f.store.keep_alive(lease).await, Ok(true));
            f.clock.advance(Millis(1_900));
            assert_eq!(keys(&*f.store, "", true, 0).await, ["leased", "permanent"]);
            f.clock.advance(Millis(100));
            assert_eq!(keys(&*f.store, "", true, 0).await, ["permanent"]);
            assert_eq!(f.store.keep_alive(lease).await, Ok(false));
            let expired = f.store.swap(Vec::new(), vec![Put::new("k", "v").lease(lease)]).await;
            assert!(matches!(expired, Err(StoreError::Protocol(_))), "{expired:?}");
        })
    });
}

/// Guards against a lease holder that does not notice a forced expiry.
#[test]
fn forced_lease_expiry_deletes_its_keys() {
    for_each(LONG_TIMEOUT, |f| {
        Box::pin(async move {
            let lease = f.store.grant_lease(Millis(60_000)).await.unwrap();
            f.store.swap(Vec::new(), vec![Put::new("k", "v").lease(lease)]).await.unwrap();
            assert!(f.memory.expire_lease(lease));
            assert_eq!(value(&f, "k").await, None);
            assert_eq!(f.store.keep_alive(lease).await, Ok(false));
            assert_eq!(f.store.keep_alive(LeaseId(999)).await, Ok(false));
        })
    });
}

/// Guards against a watch that skips, repeats or reorders changes.
#[test]
fn watch_reports_changes_in_order_from_its_start_revision() {
    for_each(LONG_TIMEOUT, |f| {
        Box::pin(async move {
            let first = put(&*f.store, "w/a", b"1").await;
            put(&*f.store, "other", b"-").await;
            put(&*f.store, "w/b", b"2").await;
            f.store.swap(Vec::new(), vec![Put::delete("w/a")]).await.unwrap();
            let seen = f.store.watch("w/", first).await.unwrap();
            let seen: Vec<_> =
                seen.iter().map(|e| (e.key.as_str(), e.value.as_slice(), e.deleted)).collect();
            let expected: [(&str, &[u8], bool); 3] =
                [("w/a", b"1", false), ("w/b", b"2", false), ("w/a", b"", true)];
            assert_eq!(seen, expected);
        })
    });
}

/// Guards against a waiting watch that is not woken by a change or by the expiry of a lease.
#[test]
fn waiting_watch_is_woken_by_changes() {
    for_each(LONG_TIMEOUT, |f| {
        Box::pin(async move {
            let lease = f.store.grant_lease(Millis(1_000)).await.unwrap();
            let start = f.memory.revision() + 1;
            let change = async {
                let puts = vec![Put::new("w", "v").lease(lease)];
                f.store.swap(Vec::new(), puts).await.unwrap();
            };
            let (seen, ()) = future::zip(f.store.watch("w", start), change).await;
            let seen = seen.unwrap();
            assert_eq!((seen.len(), seen[0].value.as_slice()), (1, &b"v"[..]));
            let end = async {
                f.clock.advance(Millis(1_000));
                f.memory.expire_leases();
            };
            let next = f.store.watch("w", seen[0].revision + 1);
            let (seen, ()) = future::zip(next, end).await;
            assert!(seen.unwrap()[0].deleted);
        })
    });
}

/// Guards against a watch that silently misses compacted changes, and against a history that grows
/// without bound.
#[test]
fn watch_of_compacted_history_returns_an_error() {
    for_each(LONG_TIMEOUT, |f| {
        Box::pin(async move {
            let (large, small) = (vec![0; 1 << 20], Vec::new());
            // The history is limited to 10,000 changes and 64 MB of values.
            for (value, limit) in [(&small, 10_000), (&large, 64)] {
                let first = put(&f.memory, "k", value).await;
                for _ in 0..limit {
                    put(&f.memory, "k", value).await;
                }
                let seen = f.store.watch("k", first).await;
                assert_eq!(seen, Err(StoreError::Compacted(first + 1)));
                let seen = f.store.watch("k", first + limit).await.unwrap();
                assert_eq!(seen.len(), 1);
            }
        })
    });
}

/// Guards against a write that is reported as possibly applied although the store rejected it.
#[test]
fn unavailable_store_rejects_all_calls_without_effect() {
    for_each(LONG_TIMEOUT, |f| {
        Box::pin(async move {
            f.memory.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
            assert_eq!(f.store.range("k", false, 0).await, Err(StoreError::Unavailable));
            assert_eq!(create(&*f.store, "k", "v").await, Err(StoreError::Unavailable));
            assert_eq!(f.store.grant_lease(Millis(1)).await, Err(StoreError::Unavailable));
            assert_eq!(f.store.keep_alive(LeaseId(1)).await, Err(StoreError::Unavailable));
            assert_eq!(f.store.watch("k", 1).await, Err(StoreError::Unavailable));
            f.memory.set_faults(StoreFaults::default());
            assert_eq!(value(&f, "k").await, None);
        })
    });
}

/// Guards against a timed-out write that is reported to have had no effect.
#[test]
fn timed_out_reads_are_unavailable_and_writes_unknown() {
    for_each(SHORT_TIMEOUT, |f| {
        Box::pin(async move {
            // Opens the connection first; on a busy machine the write might otherwise not be sent
            // before the timeout.
            while f.store.range("k", false, 0).await.is_err() {}
            f.memory
                .set_faults(StoreFaults { slow_ms: RESPONSE_DELAY_MS, ..StoreFaults::default() });
            assert_eq!(create(&*f.store, "k", "v").await, Err(StoreError::Unknown));
            assert_eq!(f.store.range("k", false, 0).await, Err(StoreError::Unavailable));
            f.memory.set_faults(StoreFaults::default());
            // The delayed write still takes effect.
            while f.memory.range("k", false, 0).await.unwrap().is_empty() {
                future::yield_now().await;
            }
        })
    });
}

/// Guards against a lost response that is treated as a rejection, whether or not the write took
/// effect.
#[test]
fn lost_response_leaves_the_outcome_unknown() {
    for_each(LONG_TIMEOUT, |f| {
        Box::pin(async move {
            let one = LossCount::Count(1);
            f.memory.set_faults(StoreFaults { lose_answers: one, ..StoreFaults::default() });
            assert_eq!(create(&*f.store, "applied", "v").await, Err(StoreError::Unknown));
            f.memory.set_faults(StoreFaults { lose_writes: one, ..StoreFaults::default() });
            assert_eq!(create(&*f.store, "dropped", "v").await, Err(StoreError::Unknown));
            assert_eq!(keys(&*f.store, "", true, 0).await, ["applied"]);
            f.memory
                .set_faults(StoreFaults { lose_answers: LossCount::All, ..StoreFaults::default() });
            for _ in 0..3 {
                assert_eq!(f.store.grant_lease(Millis(1)).await, Err(StoreError::Unknown));
            }
        })
    });
}

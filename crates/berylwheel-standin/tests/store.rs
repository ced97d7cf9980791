//! Tests of the store stand-in over HTTP: fault injection, lease expiry and call counts.

mod common;

use berylwheel_standin::StoreOptions;
use berylwheel_standin::start_store;
use berylwheel_store::Compare;
use berylwheel_store::HttpStore;
use berylwheel_store::LeaseId;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::SwapResult;
use berylwheel_types::Millis;
use common::StandinClient;
use common::any_port;
use common::run;
use serde_json::json;

async fn create(store: &HttpStore, key: &str) -> Result<SwapResult, StoreError> {
    store.swap(vec![Compare::absent(key)], vec![Put::new(key, "v")]).await
}

/// Guards against faults that have no effect or stay after `clear`, and against misspelt faults
/// that are accepted.
#[test]
fn faults_can_be_set_and_cleared() {
    run(async |executor| {
        let (address, _server) =
            start_store(any_port(), &executor, StoreOptions::default()).unwrap();
        let client = StandinClient::new(address);
        let store = HttpStore::new(berylwheel_store::StoreOptions::new(vec![address]));
        let cases = [
            (json!({ "down": true }), StoreError::Unavailable, 0),
            (json!({ "lose_answers": 1 }), StoreError::Unknown, 1),
            (json!({ "lose_answers": "all" }), StoreError::Unknown, 1),
            (json!({ "lose_writes": 1 }), StoreError::Unknown, 0),
        ];
        for (n, (faults, error, expected_entries)) in cases.into_iter().enumerate() {
            client.set_faults(faults.clone()).await;
            let key = format!("k{n}");
            assert_eq!(create(&store, &key).await, Err(error), "{faults}");
            client.set_faults(json!({ "clear": true })).await;
            assert_eq!(
                store.range(&key, false, 0).await.unwrap().len(),
                expected_entries,
                "{faults}"
            );
        }
        assert_eq!(client.post("/faults", json!({ "lose": 1 })).await.0, 400);
        assert_eq!(client.post("/faults", json!({ "lose_answers": "some" })).await.0, 400);
    });
}

/// Guards against `expire_lease` leaving the lease alive or expiring a different one.
#[test]
fn expire_lease_fault_expires_the_given_lease() {
    run(async |executor| {
        let (address, _server) =
            start_store(any_port(), &executor, StoreOptions::default()).unwrap();
        let client = StandinClient::new(address);
        let store = HttpStore::new(berylwheel_store::StoreOptions::new(vec![address]));
        let (first, second) = (
            store.grant_lease(Millis(3_600_000)).await.unwrap(),
            store.grant_lease(Millis(3_600_000)).await.unwrap(),
        );
        let expire = |lease: LeaseId| json!({ "expire_lease": lease.0 });
        assert_eq!(client.post("/faults", expire(first)).await.1, json!({ "expired": true }));
        assert_eq!(client.post("/faults", expire(first)).await.1, json!({ "expired": false }));
        assert_eq!(store.keep_alive(first).await, Ok(false));
        assert_eq!(store.keep_alive(second).await, Ok(true));
    });
}

/// Guards against calls that are not counted or counted twice, which would distort the capacity
/// figures.
#[test]
fn calls_are_counted() {
    run(async |executor| {
        let (address, _server) =
            start_store(any_port(), &executor, StoreOptions::default()).unwrap();
        let client = StandinClient::new(address);
        let store = HttpStore::new(berylwheel_store::StoreOptions::new(vec![address]));
        let before = client.get("/stats").await;
        assert_eq!((&before["reads"], &before["bytes"]), (&json!(0), &json!(0)));
        create(&store, "k").await.unwrap();
        create(&store, "k").await.unwrap();
        store.grant_lease(Millis(1_000)).await.unwrap();
        store.range("k", false, 0).await.unwrap();
        store.watch("k", 1).await.unwrap();
        let after = client.get("/stats").await;
        assert!(after["bytes"].as_u64() > before["bytes"].as_u64());
        let expected = json!({ "reads": 1, "writes": 3, "watches": 1, "revision": 2,
            "bytes": after["bytes"] });
        assert_eq!(after, expected);
    });
}

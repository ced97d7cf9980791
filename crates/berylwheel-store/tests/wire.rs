//! Tests the messages of etcd's JSON gateway with fixed samples and with malformed input.

use berylwheel_store::Entry;
use berylwheel_store::wire;
use berylwheel_store::wire::Bytes;
use berylwheel_store::wire::Int64;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde::de::DeserializeOwned;
use serde_json::json;

/// Guards against a client and a test server that agree with each other but not with etcd.
#[test]
fn sample_responses_are_decoded() {
    let range: wire::RangeResponse = serde_json::from_str(
        r#"{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255",
        "revision":"2","raft_term":"3"},"kvs":[{"key":"Zm9v","create_revision":"2",
        "mod_revision":"2","version":"1","value":"YmFy"}],"count":"1"}"#,
    )
    .unwrap();
    let expected = Entry { key: "foo".into(), value: b"bar".to_vec(), revision: 2, deleted: false };
    assert_eq!(wire::entries(range.kvs).unwrap(), [expected]);

    let txn: wire::TxnResponse = serde_json::from_str(
        r#"{"header":{"revision":"3"},"responses":[{"response_range":{"header":{"revision":"3"},
        "kvs":[{"key":"Zm9v","mod_revision":"3"}],"count":"1"}},{"response_range":{"header":{}}}]}"#,
    )
    .unwrap();
    assert!(!txn.succeeded, "an omitted field has its default value");
    assert_eq!(txn.responses.len(), 2);

    let watch: wire::WatchResponse = serde_json::from_str(
        r#"{"result":{"header":{"revision":"4"},"events":[{"kv":{"key":"Zm9v","mod_revision":"4",
        "value":"YmFy"}},{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"5"}}]}}"#,
    )
    .unwrap();
    let entries: Vec<_> =
        watch.result.events.into_iter().map(|e| e.into_entry().unwrap()).collect();
    assert_eq!(
        entries.iter().map(|e| (e.revision, e.deleted)).collect::<Vec<_>>(),
        [(4, false), (5, true)]
    );

    let alive: wire::KeepAliveResponse =
        serde_json::from_str(r#"{"result":{"header":{},"ID":"7587848390082814742","TTL":"60"}}"#)
            .unwrap();
    assert_eq!((alive.result.id, alive.result.ttl), (Int64(7_587_848_390_082_814_742), Int64(60)));
}

/// Guards against requests that etcd would reject.
#[test]
fn requests_are_encoded_for_etcd() {
    let range_end = wire::prefix_end(b"foo");
    let range = wire::RangeRequest { key: "foo".into(), range_end, limit: Int64(10) };
    let expected = json!({ "key": "Zm9v", "range_end": "Zm9w", "limit": "10" });
    assert_eq!(serde_json::to_value(range).unwrap(), expected);
    let put = wire::PutRequest { key: "foo".into(), value: "bar".into(), lease: Int64(7) };
    let txn = wire::TxnRequest {
        compare: vec![wire::CompareRequest {
            result: "EQUAL".into(),
            target: "MOD".into(),
            key: "foo".into(),
            mod_revision: Int64(0),
        }],
        success: vec![wire::RequestOp { request_put: Some(put), ..Default::default() }],
        failure: Vec::new(),
    };
    let expected = json!({
        "compare": [{ "result": "EQUAL", "target": "MOD", "key": "Zm9v", "mod_revision": "0" }],
        "success": [{ "request_put": { "key": "Zm9v", "value": "YmFy", "lease": "7" } }],
        "failure": [],
    });
    assert_eq!(serde_json::to_value(txn).unwrap(), expected);
}

fn decode<T: DeserializeOwned>(input: &[u8]) {
    let _ = serde_json::from_slice::<T>(input);
}

fn decode_all(input: &[u8]) {
    decode::<wire::LeaseMessage>(input);
    decode::<wire::KeepAliveResponse>(input);
    decode::<wire::ErrorResponse>(input);
    decode::<wire::TxnResponse>(input);
    if let Ok(range) = serde_json::from_slice::<wire::RangeResponse>(input) {
        let _ = wire::entries(range.kvs);
    }
    if let Ok(watch) = serde_json::from_slice::<wire::WatchResponse>(input) {
        for event in watch.result.events {
            let _ = event.into_entry();
        }
    }
}

/// Generates a JSON document with the protocol's field names and arbitrary values.
fn arbitrary_document() -> impl Strategy<Value = serde_json::Value> {
    let value = prop_oneof![
        any::<i64>().prop_map(serde_json::Value::from),
        any::<bool>().prop_map(serde_json::Value::from),
        any::<u64>().prop_map(|n| json!(n.to_string())),
        "[A-Za-z0-9+/=]{0,12}".prop_map(serde_json::Value::from),
        ".{0,6}".prop_map(serde_json::Value::from),
        Just(serde_json::Value::Null),
    ];
    let names = ["header", "kvs", "key", "value", "mod_revision", "succeeded", "responses", "ID"]
        .iter()
        .chain(&["response_range", "TTL", "result", "events", "type", "kv", "lease", "revision"]);
    let names: Vec<_> = names.map(|name| name.to_string()).collect();
    value.prop_recursive(6, 48, 6, move |inner| {
        let name = proptest::sample::select(names.clone());
        let members = proptest::collection::btree_map(name, inner.clone(), 0..6);
        prop_oneof![
            proptest::collection::vec(inner, 0..4).prop_map(serde_json::Value::from),
            members.prop_map(|map| map.into_iter().collect()),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on a response that is not JSON.
    #[test]
    fn arbitrary_bytes_do_not_panic(input in proptest::collection::vec(any::<u8>(), 0..200)) {
        decode_all(&input);
    }

    /// Guards against a panic on JSON that violates the protocol, complete or truncated.
    #[test]
    fn arbitrary_json_does_not_panic(document in arbitrary_document(), cut in 0_usize..1_000) {
        let text = document.to_string();
        decode_all(text.as_bytes());
        decode_all(&text.as_bytes()[..cut.min(text.len())]);
    }

    /// Guards against a prefix range that omits keys or includes others.
    #[test]
    fn prefix_end_bounds_exactly_the_prefix(
        prefix in proptest::collection::vec(prop_oneof![Just(255_u8), any::<u8>()], 1..6),
        key in proptest::collection::vec(prop_oneof![Just(255_u8), any::<u8>()], 0..8),
        inside: bool,
    ) {
        let key = if inside { [prefix.clone(), key].concat() } else { key };
        let Bytes(end) = wire::prefix_end(&prefix);
        let covered = key >= prefix && (end == [0] || key < end);
        prop_assert_eq!(covered, key.starts_with(&prefix));
    }
}

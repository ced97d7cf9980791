//! Tests of the parsers of caller requests and engine events.

use berylwheel_router::ChatRequest;
use berylwheel_router::EngineEvent;
use berylwheel_types::Code;
use berylwheel_types::Rank;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::Value;
use serde_json::json;

const SEED: u64 = 43;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Generates arbitrary JSON documents with the field names that the parsers read.
fn document() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
    ];
    let names = prop::sample::select(vec![
        "model",
        "stream",
        "max_tokens",
        "messages",
        "content",
        "id",
        "choices",
        "delta",
        "usage",
        "total_tokens",
        "sequence",
    ]);
    leaf.prop_recursive(4, 32, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(names.clone(), inner, 0..6).prop_map(|map| {
                Value::Object(map.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
            }),
        ]
    })
}

proptest! {
    #![proptest_config(config())]

    /// Arbitrary bytes must not panic the parsers, which would end the router.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let _ = ChatRequest::parse(&bytes);
        let _ = EngineEvent::parse(&String::from_utf8_lossy(&bytes));
    }

    /// Documents with known field names and arbitrary types must not panic the parsers. The body
    /// for the engine must carry the reserved `max_tokens` and the priority of the rank, whatever
    /// the caller sent.
    #[test]
    fn arbitrary_documents_do_not_panic(document in document()) {
        let text = document.to_string();
        let _ = EngineEvent::parse(&text);
        if let Ok(chat) = ChatRequest::parse(text.as_bytes()) {
            let body: Value = serde_json::from_slice(&chat.engine_body(7, Rank::Batch)).unwrap();
            prop_assert_eq!(&body["max_tokens"], 7);
            prop_assert_eq!(&body["priority"], 2);
        }
    }
}

/// The reservation must cover the prompt. Its bytes are an upper bound on its tokens, because a
/// token has at least one byte.
#[test]
fn prompt_tokens_are_bounded_by_bytes() {
    let body =
        json!({ "model": "m", "messages": [{ "content": "abc" }, { "content": "\u{a85}" }] });
    let chat = ChatRequest::parse(body.to_string().as_bytes()).unwrap();
    assert_eq!(chat.prompt_tokens.0, 6);
}

/// An invalid request must get the result code that names what the caller has to correct.
#[test]
fn invalid_requests_get_matching_codes() {
    let code = |body: Value| ChatRequest::parse(body.to_string().as_bytes()).unwrap_err().code;
    let messages = json!([{ "content": "a" }]);
    assert_eq!(code(json!([])), Code::MalformedRequest);
    assert_eq!(code(json!({ "model": "a b", "messages": messages })), Code::UnknownModel);
    assert_eq!(code(json!({ "model": "m", "messages": [] })), Code::InvalidField);
    assert_eq!(code(json!({ "model": "m", "messages": ["a"] })), Code::InvalidField);
}

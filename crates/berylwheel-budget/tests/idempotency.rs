//! Tests of decisions on calls that must be sent at most once.

use berylwheel_budget::CallDecision;
use berylwheel_budget::CallState;
use berylwheel_budget::IdempotencyRecord;
use berylwheel_budget::ServiceResponse;
use berylwheel_budget::decide_call;

fn record(state: CallState) -> IdempotencyRecord {
    let owner = "r1@1".parse().expect("incarnation");
    IdempotencyRecord { attempt: "a1".parse().expect("attempt"), owner, digest: 7, state }
}

fn decide(state: CallState, attempt: &str, digest: u64, ended: bool, lookup: bool) -> CallDecision {
    let attempt = attempt.parse().expect("attempt");
    decide_call(Some(&record(state)), &attempt, digest, ended, lookup)
}

/// A call that may have reached the service must not be sent again by another attempt.
#[test]
fn a_sent_call_is_never_sent_by_another_attempt() {
    for (ended, lookup) in [(false, false), (false, true), (true, false)] {
        assert_eq!(decide(CallState::Sent, "a2", 7, ended, lookup), CallDecision::Unknown);
    }
    assert_eq!(decide(CallState::Sent, "a2", 7, true, true), CallDecision::LookUpOutcome);
}

/// An attempt that created the record must proceed, even if the store's response to the creation
/// was lost.
#[test]
fn the_creator_of_a_record_proceeds() {
    assert_eq!(decide(CallState::Sent, "a1", 7, false, false), CallDecision::Proceed);
}

/// A recorded response must not be returned for a different request under the same key.
#[test]
fn a_recorded_response_is_replayed_only_for_the_same_body() {
    let (status, content_type, body) = (201, String::from("application/json"), b"{}".to_vec());
    let done = CallState::Done { status, content_type: content_type.clone(), body: body.clone() };
    let replay = CallDecision::Replay(ServiceResponse { status, content_type, body });
    assert_eq!(decide(done.clone(), "a2", 7, true, true), replay);
    assert_eq!(decide(done.clone(), "a2", 8, true, true), CallDecision::KeyReused);
    assert_eq!(IdempotencyRecord::decode(&record(done.clone()).encode()), Some(record(done)));
}

//! Tests of decisions on calls that must be sent at most once.

use berylwheel_budget::OnceAnswer;
use berylwheel_budget::OnceDecision;
use berylwheel_budget::OnceRecord;
use berylwheel_budget::OnceState;
use berylwheel_budget::decide_once;

fn record(state: OnceState) -> OnceRecord {
    let owner = "r1@1".parse().expect("incarnation");
    OnceRecord { attempt: "a1".parse().expect("attempt"), owner, digest: 7, state }
}

fn decide(state: OnceState, attempt: &str, digest: u64, gone: bool, lookup: bool) -> OnceDecision {
    let attempt = attempt.parse().expect("attempt");
    decide_once(Some(&record(state)), &attempt, digest, gone, lookup)
}

/// A call that may have reached the service must not be sent again by another attempt.
#[test]
fn a_sent_call_is_never_sent_by_another_attempt() {
    for (gone, lookup) in [(false, false), (false, true), (true, false)] {
        assert_eq!(decide(OnceState::Sent, "a2", 7, gone, lookup), OnceDecision::Unknown);
    }
    assert_eq!(decide(OnceState::Sent, "a2", 7, true, true), OnceDecision::AskService);
}

/// An attempt that created the record must proceed, even if the store's answer to the creation was
/// lost.
#[test]
fn the_creator_of_a_record_proceeds() {
    assert_eq!(decide(OnceState::Sent, "a1", 7, false, false), OnceDecision::Proceed);
}

/// A recorded answer must not be returned for a different request under the same key.
#[test]
fn a_recorded_answer_is_replayed_only_for_the_same_body() {
    let (status, content_type, body) = (201, String::from("application/json"), b"{}".to_vec());
    let done = OnceState::Done { status, content_type: content_type.clone(), body: body.clone() };
    let replay = OnceDecision::Replay(OnceAnswer { status, content_type, body });
    assert_eq!(decide(done.clone(), "a2", 7, true, true), replay);
    assert_eq!(decide(done.clone(), "a2", 8, true, true), OnceDecision::KeyReused);
    assert_eq!(OnceRecord::decode(&record(done.clone()).encode()), Some(record(done)));
}

//! Decisions on calls that must not be repeated.

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

/// Guards against a second run of a call whose first run may have reached the service.
#[test]
fn a_sent_call_is_never_sent_by_another_attempt() {
    for (gone, lookup) in [(false, false), (false, true), (true, false)] {
        assert_eq!(decide(OnceState::Sent, "a2", 7, gone, lookup), OnceDecision::Unknown);
    }
    assert_eq!(decide(OnceState::Sent, "a2", 7, true, true), OnceDecision::AskService);
}

/// Guards against an "unknown" for the creator of a record whose answer was lost.
#[test]
fn the_creator_of_a_record_goes_on() {
    assert_eq!(decide(OnceState::Sent, "a1", 7, false, false), OnceDecision::Proceed);
}

/// Guards against a replay to a different request under the same key.
#[test]
fn a_done_call_is_replayed_to_the_same_body_only() {
    let (status, content_type, body) = (201, String::from("application/json"), b"{}".to_vec());
    let done = OnceState::Done { status, content_type: content_type.clone(), body: body.clone() };
    let replay = OnceDecision::Replay(OnceAnswer { status, content_type, body });
    assert_eq!(decide(done.clone(), "a2", 7, true, true), replay);
    assert_eq!(decide(done.clone(), "a2", 8, true, true), OnceDecision::KeyReused);
    assert_eq!(OnceRecord::decode(&record(done.clone()).encode()), Some(record(done)));
}

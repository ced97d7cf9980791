//! Classification of backend servers' responses and failures, and the retries that follow.

use berylwheel_route::Outcome;
use berylwheel_router::AttemptFailure;
use berylwheel_router::ResponseClass;
use berylwheel_router::ResponseHeaders;
use berylwheel_router::classify_response;
use berylwheel_router::may_pass_on;
use berylwheel_router::may_retry;
use berylwheel_settings::KindSettings;
use berylwheel_settings::Settings;
use berylwheel_types::Code;
use berylwheel_types::ExecutionState;
use berylwheel_types::Millis;

fn response_headers(id: Option<&str>, sealed: bool) -> ResponseHeaders {
    ResponseHeaders { id: id.map(str::to_owned), sealed, ..ResponseHeaders::default() }
}

/// Guards against passing on a response that is not the server's response to this request.
#[test]
fn success_requires_seal_and_matching_id() {
    let encoded = ResponseHeaders { encoded: true, ..response_headers(Some("a"), true) };
    let not_run = ResponseHeaders { not_run: true, ..response_headers(Some("a"), true) };
    let cases = [
        (200, response_headers(Some("a"), true), ResponseClass::Success),
        (200, response_headers(Some("b"), true), ResponseClass::Unverified),
        (200, response_headers(Some("a"), false), ResponseClass::Unverified),
        (200, response_headers(None, true), ResponseClass::Unverified),
        (200, encoded, ResponseClass::Unverified),
        (500, response_headers(Some("a"), true), ResponseClass::Failure),
        (500, response_headers(Some("b"), true), ResponseClass::Unverified),
        (503, not_run.clone(), ResponseClass::NotRun),
        (503, response_headers(Some("a"), true), ResponseClass::Failure),
        (421, response_headers(Some("a"), false), ResponseClass::NotRun),
        (429, not_run.clone(), ResponseClass::NotRun),
        (101, not_run, ResponseClass::Unverified),
    ];
    for (status, headers, expected) in cases {
        for reused in [false, true] {
            let class = classify_response("a", status, &headers, reused);
            assert_eq!(class, expected, "{status} {headers:?} reused: {reused}");
        }
    }
}

/// Guards against an earlier response, sent once more on a kept connection, that is taken for the
/// response to a later request.
#[test]
fn response_without_its_id_counts_only_on_a_new_connection() {
    let unmarked = |id| response_headers(id, false);
    let marked = |id| ResponseHeaders { not_run: true, ..response_headers(id, false) };
    let unverified = ResponseClass::Unverified;
    let cases = [
        (503, marked(None), ResponseClass::NotRun),
        (429, marked(None), ResponseClass::NotRun),
        (400, marked(None), ResponseClass::NotRun),
        (421, unmarked(None), ResponseClass::NotRun),
        (404, unmarked(None), ResponseClass::Failure),
        (500, response_headers(None, true), ResponseClass::Failure),
        (503, marked(Some("b")), unverified),
        (503, marked(Some("")), unverified),
        (503, marked(Some("a, b")), unverified),
        (503, marked(Some("a, a")), unverified),
        (421, unmarked(Some("b")), unverified),
    ];
    for (status, headers, expected) in cases {
        let classes = [false, true].map(|reused| classify_response("a", status, &headers, reused));
        assert_eq!(classes, [expected, unverified], "{status} {headers:?}");
    }
}

fn kind(text: &str) -> KindSettings {
    let text = format!(
        "[pool p]\n[kind k]\nservice = plain\nhost = h\npath = /\npools = p\nattempts = 2\n{text}"
    );
    Settings::parse("test", &text).unwrap().kinds()[0].clone()
}

/// Guards against a request that runs twice although its kind allows it to run only once.
#[test]
fn retries_only_requests_that_cannot_run_twice() {
    let not_sent = AttemptFailure::NotSent { timed_out: false, detail: String::new() };
    let not_run = AttemptFailure::NotRun { misdirected: false, detail: String::new() };
    let unknown = AttemptFailure::Unknown { timed_out: false, detail: String::new() };
    let lookup = kind("repeat = idempotent");
    let booking = kind("repeat = once");
    let stream = kind("repeat = once\nanswer = stream");
    let resumable = kind("repeat = once\nanswer = stream\nresume = yes");
    let cases = [
        ("lookup", &lookup, [true, true, true]),
        ("booking", &booking, [true, true, false]),
        ("stream", &stream, [true, true, false]),
        ("resumable stream", &resumable, [true, true, true]),
    ];
    for (what, kind, expected) in cases {
        let actual = [&not_sent, &not_run, &unknown].map(|failure| may_retry(kind, failure, 1));
        assert_eq!(actual, expected, "{what}");
        assert!(!may_retry(kind, &unknown, 2), "{what} exceeds its two attempts");
    }
}

/// Guards against a status that tells a caller "not run" although the server did not state it.
#[test]
fn failures_that_promise_not_run_reach_only_callers_that_may_repeat() {
    let kinds =
        ["idempotent", "once", "once\nanswer = stream", "once\nanswer = stream\nresume = yes"];
    let kinds = kinds.map(|repeat| kind(&format!("repeat = {repeat}")));
    for status in [400, 404, 408, 409, 421, 429, 500, 502, 503, 504] {
        let promise = [408, 421, 429, 503].contains(&status);
        let actual = [0, 1, 2, 3].map(|kind| may_pass_on(&kinds[kind], status));
        assert_eq!(actual, [true, !promise, !promise, true], "{status}");
    }
}

/// Guards against servers that are avoided, and requests that are sent to one after the other, because
/// the network link of this VM is full.
#[test]
fn connect_timeout_behind_a_full_link_is_not_held_against_the_server() {
    let link_full = AttemptFailure::LinkFull { detail: String::new() };
    assert_eq!(link_full.outcome(), Outcome::Cancelled);
    assert!(!link_full.was_sent() && !link_full.may_have_run());
    assert!(!may_retry(&kind("repeat = idempotent"), &link_full, 0));
    let refusal = link_full.refusal(false, Millis(100));
    assert_eq!((refusal.code, refusal.ran), (Code::LinkFull, ExecutionState::NotRun));
    assert_eq!(link_full.refusal(true, Millis(100)).ran, ExecutionState::Unknown);
}

/// Guards against a server that keeps getting requests although another server has taken over its
/// address, and against one that is avoided because it was full.
#[test]
fn only_a_misdirected_response_shows_that_the_server_is_gone() {
    let outcome =
        |misdirected| AttemptFailure::NotRun { misdirected, detail: String::new() }.outcome();
    assert_eq!(outcome(true), Outcome::Misdirected);
    assert_eq!(outcome(false), Outcome::Cancelled);
}

/// Guards against a refusal that wrongly states "not run": that is correct only if no attempt can
/// have run.
#[test]
fn refusal_states_whether_the_request_ran() {
    let not_run = AttemptFailure::NotRun { misdirected: false, detail: String::new() };
    let unknown = AttemptFailure::Unknown { timed_out: true, detail: String::new() };
    let execution_state =
        |failure: &AttemptFailure, before| failure.refusal(before, Millis(100)).ran;
    assert_eq!(execution_state(&not_run, false), ExecutionState::NotRun);
    assert_eq!(execution_state(&not_run, true), ExecutionState::Unknown);
    assert_eq!(execution_state(&unknown, false), ExecutionState::Unknown);
    assert_eq!(unknown.refusal(false, Millis(100)).retry_after, None);
    assert_eq!(not_run.refusal(false, Millis(100)).retry_after, Some(Millis(100)));
}

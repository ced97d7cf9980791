//! Answers that end with their connection, and may be broken: when their servers are checked, and what
//! the checks show.

use berylwheel_quarantine::Action;
use berylwheel_quarantine::Quarantine;
use berylwheel_quarantine::QuarantinePolicy;
use berylwheel_types::BackendId;
use berylwheel_types::Millis;
use berylwheel_types::PromptPartId;
use berylwheel_types::Timestamp;

const FIRST: PromptPartId = PromptPartId(0xf1);
const BAD: PromptPartId = PromptPartId(0xbad);
const RAN_FOR: Millis = Millis(40);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(10_000_000 + ms)
}

fn server(number: u64) -> BackendId {
    format!("s{number}").parse().unwrap()
}

fn new() -> Quarantine {
    Quarantine::new(QuarantinePolicy::default())
}

/// Returns the parts that are reported for the end of a server.
fn reported(quarantine: &mut Quarantine, ms: u64, number: u64) -> Vec<PromptPartId> {
    quarantine.record_end(at(ms), &server(number));
    let actions = quarantine.poll(at(ms)).into_iter();
    let suspects = actions.filter_map(|action| match action {
        Action::ReportEnd { suspects, .. } => Some(suspects),
        _ => None,
    });
    suspects.flatten().flat_map(|suspect| suspect.parts).collect()
}

/// Guards against never noticing a part whose answers look complete when it crashes their servers.
#[test]
fn unconfirmed_answer_is_reported_if_its_server_ended() {
    let mut quarantine = new();
    quarantine.record_unconfirmed(at(0), &server(1), RAN_FOR, &[FIRST, BAD]);
    assert_eq!(quarantine.poll(at(0)), [Action::CheckServer(server(1))]);
    assert_eq!(reported(&mut quarantine, 10, 1), [FIRST, BAD]);
}

/// Guards against suspecting a sound request because its server ended some time after the answer.
#[test]
fn answer_of_a_server_that_ran_afterwards_is_complete() {
    let mut quarantine = new();
    quarantine.record_unconfirmed(at(0), &server(1), RAN_FOR, &[FIRST]);
    quarantine.record_running(at(300), &server(1), at(0));
    assert_eq!(reported(&mut quarantine, 400, 1), []);
    // The answer counts, so that the part is not suspected at other servers either.
    quarantine.record_break(at(500), &server(2), RAN_FOR, &[FIRST, BAD]);
    assert_eq!(reported(&mut quarantine, 510, 2), [BAD]);
}

/// Guards against taking a check that began before an answer ended for a sign that it is complete, and
/// against never checking a server for the second of two such answers.
#[test]
fn answer_after_the_last_check_is_checked_later() {
    let mut quarantine = new();
    quarantine.record_unconfirmed(at(0), &server(1), RAN_FOR, &[FIRST]);
    assert_eq!(quarantine.poll(at(0)), [Action::CheckServer(server(1))]);
    quarantine.record_unconfirmed(at(100), &server(1), RAN_FOR, &[BAD]);
    quarantine.record_running(at(300), &server(1), at(0));
    assert_eq!(quarantine.poll(at(999)), []);
    assert_eq!(quarantine.poll(at(1_000)), [Action::CheckServer(server(1))]);
    assert_eq!(quarantine.poll(at(5_000)), [], "one check for the answer");
    assert_eq!(reported(&mut quarantine, 5_010, 1), [BAD]);
}

/// Guards against checking servers again and again for requests whose parts are known to be sound.
#[test]
fn lately_answered_parts_cause_no_checks() {
    let mut quarantine = new();
    quarantine.record_answer(at(0), &[FIRST]);
    quarantine.record_unconfirmed(at(4_000), &server(1), RAN_FOR, &[FIRST]);
    assert_eq!(quarantine.poll(at(4_000)), []);
    quarantine.record_unconfirmed(at(6_000), &server(1), RAN_FOR, &[FIRST]);
    assert_eq!(quarantine.poll(at(6_000)), [Action::CheckServer(server(1))]);
}

/// Guards against losing a certain break among many answers that are most likely complete.
#[test]
fn certain_break_displaces_an_unconfirmed_answer() {
    let mut quarantine = new();
    let limit = QuarantinePolicy::default().max_suspects as u64;
    for number in 0..2 * limit {
        quarantine.record_unconfirmed(at(0), &server(1), RAN_FOR, &[PromptPartId(number)]);
    }
    quarantine.record_break(at(10), &server(1), RAN_FOR, &[BAD]);
    let parts = reported(&mut quarantine, 20, 1);
    assert_eq!(parts.len() as u64, limit);
    assert!(parts.contains(&BAD));
}

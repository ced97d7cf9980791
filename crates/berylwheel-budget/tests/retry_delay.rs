//! Tests of the retry delay of refused requests.

mod ledger;

use berylwheel_budget::Holder;
use berylwheel_budget::HolderAction;
use berylwheel_types::Millis;
use ledger::Ledger;
use ledger::at;
use ledger::holder;
use ledger::reserve_request;

/// Polls a holder between two times while the store is down, and returns the retry delays of its
/// refusals.
fn delays_in_outage(holder: &mut Holder, from: u64, to: u64) -> Vec<Millis> {
    let mut delays = Vec::new();
    for ms in (from..to).step_by(50) {
        for action in holder.poll(at(ms)) {
            match action {
                HolderAction::Read(page) => holder.read_failed(at(ms), page),
                HolderAction::Refused(_, refusal) => delays.extend(refusal.retry_after),
                other => panic!("{other:?}"),
            }
        }
    }
    delays
}

/// The retry delay must grow with the duration of a store outage, up to a limit. Otherwise callers
/// retry at short intervals throughout a long outage.
#[test]
fn retry_delay_grows_with_the_outage() {
    let mut ledger = Ledger::new(1_000);
    let mut holder = holder("r1@1", 1);
    holder.reserve(at(0), reserve_request("q1", 10, None));
    assert_eq!(delays_in_outage(&mut holder, 0, 3_000), [Millis(2_000)]);
    holder.reserve(at(5_000), reserve_request("q2", 10, None));
    assert_eq!(delays_in_outage(&mut holder, 5_000, 9_000), [Millis(7_000)]);
    holder.reserve(at(60_000), reserve_request("q3", 10, None));
    assert_eq!(delays_in_outage(&mut holder, 60_000, 64_000), [Millis(8_000)]);
    // The store answers again, so the next outage must be measured from its own start.
    holder.reserve(at(65_000), reserve_request("q4", 10, None));
    let mut served = Vec::new();
    for ms in (65_000..68_000).step_by(50) {
        served.extend(ledger.execute(at(ms), &mut holder));
    }
    assert_eq!(served, [("q4".into(), None)]);
    holder.reserve(at(70_000), reserve_request("q5", 2_000, None));
    assert!(
        delays_in_outage(&mut holder, 70_000, 74_000).iter().all(|delay| *delay <= Millis(2_500))
    );
}

/// The retry delay must grow with the time for which other holders have held the requested tokens.
#[test]
fn retry_delay_grows_while_others_hold_the_tokens() {
    let mut ledger = Ledger::new(1_000);
    let (mut first, mut second) = (holder("r1@1", 1), holder("r2@1", 1));
    first.reserve(at(0), reserve_request("q1", 800, None));
    ledger.execute(at(0), &mut first);
    let mut delays = Vec::new();
    for (number, start) in [(2, 10_u64), (3, 3_000), (4, 6_000)] {
        second.reserve(at(start), reserve_request(&format!("q{number}"), 500, None));
        for ms in start..start + 2_500 {
            for action in second.poll(at(ms)) {
                match action {
                    HolderAction::Read(page) => {
                        second.page_read(at(ms), page, ledger.revision, ledger.page.clone());
                    }
                    HolderAction::Write { page, expected, content } => {
                        let result = ledger.write(expected, content);
                        second.page_written(at(ms), page, result);
                    }
                    HolderAction::Refused(_, refusal) => delays.extend(refusal.retry_after),
                    _ => {}
                }
            }
        }
    }
    assert_eq!((delays.len(), ledger.balance(), ledger.billed()), (3, 200, 0));
    assert!(delays[0] < delays[1] && delays[1] < delays[2], "{delays:?}");
}

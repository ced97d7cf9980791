//! Tests of budget changes by operators, reclaim, and the encoding of pages.

mod ledger;

use berylwheel_budget::Applied;
use berylwheel_budget::Change;
use berylwheel_budget::LedgerPage;
use berylwheel_budget::Reclaimed;
use berylwheel_budget::UsageRecord;
use berylwheel_budget::UsageTag;
use berylwheel_types::Code;
use berylwheel_types::Tokens;
use berylwheel_types::Version;
use ledger::Ledger;
use ledger::at;
use ledger::budget;
use ledger::holder;
use ledger::reserve_request;

/// A top-up that is sent twice under the same id must be credited once.
#[test]
fn a_credit_id_is_applied_once() {
    let mut page = Ledger::new(100).page;
    let mut credit = |amount| {
        let id = "second".parse().expect("id");
        page.credit(&budget(), id, Tokens(amount), "anna", at(1)).map_err(|r| r.code)
    };
    assert_eq!(credit(50), Ok(Applied::Now));
    assert_eq!(credit(50), Ok(Applied::Before));
    assert_eq!(credit(60), Err(Code::ChangeConflict));
    assert_eq!(page.account(&budget()).expect("account").balance, Tokens(150));
}

/// A cut must not take outstanding tokens from a holder. The part that the balance does not cover
/// must be collected when tokens are returned.
#[test]
fn the_uncovered_part_of_a_cut_is_collected_from_returns() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 1));
    holder.reserve(at(0), reserve_request("q1", 100, None));
    ledger.execute(at(0), &mut holder);
    let rest = ledger.balance();
    let cut = |page: &mut LedgerPage, amount: u64, id: &str| {
        let id = id.parse().expect("id");
        page.cut(&budget(), id, Tokens(amount), "anna", at(1)).map_err(|r| r.code)
    };
    assert_eq!(cut(&mut ledger.page, rest + 30, "c1"), Ok(Applied::Now));
    assert_eq!(cut(&mut ledger.page, 1_000, "c2"), Err(Code::InvalidField));
    ledger.revision += 1;
    let owed = |ledger: &Ledger| ledger.page.account(&budget()).expect("account").owed;
    assert_eq!((ledger.balance(), owed(&ledger)), (0, Tokens(30)));
    holder.settle(at(10), &"q1".parse().expect("request"), Tokens(100));
    holder.drain(at(10));
    ledger.execute(at(20), &mut holder);
    assert_eq!((ledger.balance(), owed(&ledger)), (1_000 - 100 - rest - 30, Tokens(0)));
    ledger.page.check().expect("conserved");
}

/// A closed budget must not give new grants.
#[test]
fn a_closed_budget_gives_no_grant() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 1));
    ledger.page.close(&budget(), "anna", at(0)).expect("closed");
    holder.reserve(at(0), reserve_request("q1", 1, None));
    assert_eq!(ledger.execute(at(0), &mut holder), [("q1".into(), Some(Code::BudgetSpent))]);
    let last = ledger.page.audit(&budget()).last().expect("entry");
    assert_eq!(last.change, Change::Close);
}

/// If two engines recorded the same request, a reclaim must bill the larger record once. Requests
/// that were settled before the crash, with or without usage, must not be billed again.
#[test]
fn reclaim_bills_the_largest_record_once() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 1));
    for request in ["q1", "q2", "q3"] {
        holder.reserve(at(0), reserve_request(request, 100, None));
        ledger.execute(at(0), &mut holder);
    }
    let tag = |name: &str| holder.usage_tag(&name.parse().expect("request")).expect("tag");
    let (first, second, third) = (tag("q1"), tag("q2"), tag("q3"));
    holder.settle(at(10), &"q2".parse().expect("request"), Tokens(7));
    holder.release(at(10), &"q3".parse().expect("request"));
    ledger.execute(at(5_000), &mut holder);
    let record = |tag: UsageTag, used| UsageRecord { tag, used: Tokens(used) };
    let usage = [record(first, 5), record(first, 20), record(second, 7), record(third, 9)];
    let me = "r1@1".parse().expect("incarnation");
    let reclaimed = ledger.page.reclaim(&me, &usage, "r2", at(6_000));
    assert_eq!(reclaimed.billed, Tokens(20));
    assert_eq!((ledger.billed(), ledger.balance()), (27, 973));
    let again = ledger.page.reclaim(&me, &usage, "r3", at(7_000));
    assert_eq!(again, Reclaimed::default());
}

/// A page must be unchanged after encoding and decoding, and corrupt bytes must be rejected.
#[test]
fn a_page_round_trips_through_its_encoding() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 1));
    holder.reserve(at(0), reserve_request("q1", 100, Some("k")));
    ledger.execute(at(0), &mut holder);
    holder.settle(at(10), &"q1".parse().expect("request"), Tokens(7));
    ledger.execute(at(5_000), &mut holder);
    assert_eq!(ledger.page.account(&budget()).expect("account").keys.len(), 1);
    let bytes = ledger.page.encode();
    assert_eq!(LedgerPage::decode(&bytes), Ok(ledger.page));
    assert!(LedgerPage::decode(&bytes[..bytes.len() - 1]).is_err());
    assert!(LedgerPage::decode(&[9, 0]).is_err());
    // Another writer's value must not pass for a page that was never written.
    assert!(LedgerPage::decode(&[]).is_err());
    // The largest version: ten bytes, of which the last has one bit.
    let mut last_version = vec![4; 1];
    last_version.extend([0xff; 9]);
    last_version.extend([1, 0, 0]);
    assert!(LedgerPage::decode(&last_version).is_err());
}

/// A total must be applied once, and must not be reverted by an older configuration.
#[test]
fn a_configured_total_applies_once_and_in_order() {
    let mut page = LedgerPage::default();
    let mut state = |version, total| {
        page.set_total(&budget(), Version(version), Tokens(total), "r1@1", at(version));
        page.check().expect("conserved");
        page.account(&budget()).expect("stated").credited
    };
    let table = [(3, 500, 500), (3, 900, 500), (2, 900, 500), (4, 500, 500), (6, 800, 800)];
    for (version, total, credited) in table {
        assert_eq!(state(version, total), Tokens(credited), "version {version} sets {total}");
    }
    assert_eq!(state(5, 500), Tokens(800), "version 6 was applied before");
    assert_eq!(state(7, 300), Tokens(300));
}

/// If a lowered total does not cover the outstanding tokens, the difference must become owed.
/// Raising the total must first reduce the owed tokens.
#[test]
fn a_lowered_total_becomes_owed() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 1));
    holder.reserve(at(0), reserve_request("q1", 400, None));
    ledger.execute(at(0), &mut holder);
    let page = &mut ledger.page;
    page.set_total(&budget(), Version(1), Tokens(100), "r1@1", at(1));
    let account = page.account(&budget()).expect("account");
    assert_eq!(account.balance, Tokens::ZERO);
    assert_eq!(account.credited.saturating_sub(account.owed), Tokens(100));
    page.set_total(&budget(), Version(2), Tokens(2_000), "r1@1", at(2));
    let account = page.account(&budget()).expect("account");
    assert_eq!((account.owed, account.credited), (Tokens::ZERO, Tokens(2_000)));
    page.check().expect("conserved");
}

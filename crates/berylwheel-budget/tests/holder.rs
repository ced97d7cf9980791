//! Tests of a holder's admissions, refusals and page operations.

mod ledger;

use berylwheel_budget::HolderAction;
use berylwheel_budget::LedgerPage;
use berylwheel_budget::PageId;
use berylwheel_budget::WriteResult;
use berylwheel_types::Code;
use berylwheel_types::Tokens;
use ledger::Ledger;
use ledger::at;
use ledger::budget;
use ledger::holder;
use ledger::reserve_request;

const PAGE: PageId = PageId(0);

fn settle(holder: &mut berylwheel_budget::Holder, ms: u64, request: &str, used: u64) {
    holder.settle(at(ms), &request.parse().expect("request"), Tokens(used));
}

/// A request that the grant covers must be admitted without a store operation.
#[test]
fn admits_a_request_within_the_grant_without_store_access() {
    let (mut ledger, mut holder) = (Ledger::new(100_000), holder("r1@1", 2));
    holder.reserve(at(0), reserve_request("q1", 10, None));
    assert_eq!(ledger.execute(at(0), &mut holder), [("q1".into(), None)]);
    holder.reserve(at(1), reserve_request("q2", 10, None));
    assert!(matches!(holder.poll(at(1))[..], [HolderAction::Reserved(_)]));
}

/// Refusals must carry the correct code: 1203 for an unknown budget, 1201 for a spent one, and 1202
/// if the store is not reachable.
#[test]
fn refuses_with_the_correct_code() {
    let mut ledger = Ledger::new(50);
    let mut holder = holder("r1@1", 1);
    holder.reserve(at(0), reserve_request("q1", 51, None));
    assert_eq!(ledger.execute(at(0), &mut holder), [("q1".into(), Some(Code::BudgetSpent))]);
    ledger.page = LedgerPage::default();
    holder.reserve(at(100), reserve_request("q2", 5, None));
    assert_eq!(ledger.execute(at(100), &mut holder), [("q2".into(), Some(Code::UnknownBudget))]);
    holder.reserve(at(200), reserve_request("q3", 5, None));
    let mut refused = Vec::new();
    for ms in (200..3_000).step_by(50) {
        for action in holder.poll(at(ms)) {
            match action {
                HolderAction::Read(page) => holder.read_failed(at(ms), page),
                HolderAction::Refused(_, refusal) => refused.push((ms, refusal.code)),
                other => panic!("{other:?}"),
            }
        }
    }
    assert_eq!(refused, [(2_200, Code::BudgetUnreachable)]);
}

/// Guards against a request of any size that overflows the sums of a holder, which ends the router or
/// admits more than there is.
#[test]
fn refuses_a_request_of_any_size_without_effect_on_others() {
    let (mut ledger, mut holder) = (Ledger::new(100_000), holder("r1@1", 2));
    for (n, amount) in [u64::MAX, u64::MAX / 2, 1_000_000_000_001].into_iter().enumerate() {
        let name = format!("large{n}");
        holder.reserve(at(0), reserve_request(&name, amount, None));
        assert_eq!(ledger.execute(at(0), &mut holder), [(name, Some(Code::BudgetSpent))]);
    }
    holder.reserve(at(1), reserve_request("q1", 10, None));
    assert_eq!(ledger.execute(at(1), &mut holder), [("q1".into(), None)]);
}

/// A request must not be refused while other holders have unreserved tokens.
#[test]
fn recalls_tokens_before_refusing() {
    let mut ledger = Ledger::new(1_000);
    let (mut first, mut second) = (holder("r1@1", 1), holder("r2@1", 1));
    first.reserve(at(0), reserve_request("q1", 100, None));
    assert_eq!(ledger.execute(at(0), &mut first), [("q1".into(), None)]);
    let before = ledger.balance();
    second.reserve(at(10), reserve_request("q2", before + 50, None));
    assert_eq!(ledger.execute(at(10), &mut second), []);
    first.recall(at(20), &budget());
    ledger.execute(at(20), &mut first);
    assert_eq!(ledger.balance(), 900);
    assert_eq!(ledger.execute(at(80), &mut second), [("q2".into(), None)]);
}

/// A request must not wait for holders that never answer a recall.
#[test]
fn refuses_when_recalls_time_out() {
    let mut ledger = Ledger::new(1_000);
    let (mut first, mut second) = (holder("r1@1", 1), holder("r2@1", 1));
    first.reserve(at(0), reserve_request("q1", 800, None));
    ledger.execute(at(0), &mut first);
    second.reserve(at(10), reserve_request("q2", 500, None));
    let responses = (10..500).flat_map(|ms| {
        ledger.execute(at(ms), &mut second).into_iter().map(move |(_, code)| (ms, code))
    });
    assert_eq!(responses.collect::<Vec<_>>(), [(310, Some(Code::BudgetSpent))]);
}

/// If the response to a write is lost, the holder must recognise the write on the page and not
/// repeat its changes.
#[test]
fn recognises_its_own_write_after_a_lost_response() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 2));
    holder.reserve(at(0), reserve_request("q1", 100, None));
    ledger.execute(at(0), &mut holder);
    settle(&mut holder, 10, "q1", 60);
    assert!(matches!(holder.poll(at(3_000))[..], [HolderAction::Read(_)]));
    holder.page_read(at(3_000), PAGE, ledger.revision, ledger.page.clone());
    for action in holder.poll(at(3_000)) {
        let HolderAction::Write { expected, content, .. } = action else { panic!("{action:?}") };
        ledger.write(expected, content);
    }
    holder.page_written(at(3_010), PAGE, WriteResult::Unknown);
    let writes = ledger.writes;
    ledger.execute(at(3_020), &mut holder);
    assert_eq!((ledger.writes, ledger.billed()), (writes, 60));
}

/// A request must not be admitted after its wait limit, for example after a long pause of the
/// process: the bill key of an earlier attempt may have been removed by then.
#[test]
fn does_not_admit_a_request_after_its_wait_limit() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 1));
    holder.reserve(at(0), reserve_request("q1", 100, Some("k")));
    holder.poll(at(0));
    holder.page_read(at(1), PAGE, ledger.revision, ledger.page.clone());
    let paused_until = 3_600_000;
    for action in holder.poll(at(1)) {
        let HolderAction::Write { expected, content, .. } = action else { panic!("{action:?}") };
        let result = ledger.write(expected, content);
        holder.page_written(at(paused_until), PAGE, result);
    }
    let responses = ledger.execute(at(paused_until), &mut holder);
    assert_eq!(responses, [("q1".into(), Some(Code::BudgetUnreachable))]);
}

/// A bill key must be kept while a holder has an unsettled request under it, even if that holder's
/// clock is far ahead.
#[test]
fn keeps_a_bill_key_for_a_holder_with_a_fast_clock() {
    const AHEAD: u64 = 10 * 3_600_000;
    let mut ledger = Ledger::new(1_000_000);
    let (mut ours, mut ahead) = (holder("r1@1", 2), holder("r2@1", 2));
    ours.reserve(at(0), reserve_request("q1", 100, Some("k")));
    ledger.execute(at(0), &mut ours);
    ahead.reserve(at(AHEAD), reserve_request("q2", 100, Some("k")));
    ledger.execute(at(AHEAD), &mut ahead);
    settle(&mut ours, 1_000, "q1", 40);
    ledger.execute(at(4_000), &mut ours);
    ahead.reserve(at(AHEAD + 5_000), reserve_request("q3", 100, None));
    settle(&mut ahead, AHEAD + 6_000, "q3", 1);
    ledger.execute(at(AHEAD + 9_000), &mut ahead);
    for minutes in [15, 30, 45] {
        ours.reserve(at(minutes * 60_000), reserve_request(&format!("p{minutes}"), 1, None));
        settle(&mut ours, minutes * 60_000, &format!("p{minutes}"), 1);
        ledger.execute(at(minutes * 60_000 + 5_000), &mut ours);
    }
    settle(&mut ahead, AHEAD + 50 * 60_000, "q2", 40);
    ledger.execute(at(AHEAD + 51 * 60_000), &mut ahead);
    assert_eq!(ledger.billed(), 40 + 1 + 3);
}

/// A holder must not take grants from a page that fails its conservation check.
#[test]
fn rejects_a_page_that_fails_the_conservation_check() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 1));
    holder.reserve(at(0), reserve_request("q1", 10, None));
    ledger.execute(at(0), &mut holder);
    let mut bytes = ledger.page.encode();
    // The account follows the format, version, count and budget name. It starts with `credited`,
    // whose value of 1,000 takes two bytes.
    let credited = 3 + 1 + budget().as_str().len();
    bytes[credited] += 1;
    let broken = LedgerPage::decode(&bytes).expect("decoded");
    assert!(broken.check().is_err());
    holder.reserve(at(10), reserve_request("q2", 900, None));
    assert!(matches!(holder.poll(at(10))[..], [HolderAction::Read(_)]));
    holder.page_read(at(11), PAGE, ledger.revision, broken);
    assert!(holder.poll(at(12)).is_empty());
}

/// A planned shutdown must return all tokens and let requests in progress finish.
#[test]
fn drain_returns_all_tokens() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 2));
    holder.reserve(at(0), reserve_request("q1", 100, None));
    ledger.execute(at(0), &mut holder);
    holder.drain(at(100));
    holder.reserve(at(100), reserve_request("q2", 1, None));
    assert_eq!(ledger.execute(at(100), &mut holder), [("q2".into(), Some(Code::Draining))]);
    assert!(!holder.is_empty());
    settle(&mut holder, 200, "q1", 70);
    ledger.execute(at(200), &mut holder);
    assert!(holder.is_empty());
    assert_eq!((ledger.balance(), ledger.billed()), (930, 70));
}

/// A holder must not settle usage from a row that an operator has released.
#[test]
fn drops_usage_of_a_row_released_by_an_operator() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 1));
    holder.reserve(at(0), reserve_request("q1", 10, None));
    ledger.execute(at(0), &mut holder);
    let me = "r1@1".parse().expect("incarnation");
    ledger.page.release(&budget(), &me, "anna", at(10)).expect("released");
    ledger.revision += 1;
    settle(&mut holder, 20, "q1", 10);
    ledger.execute(at(5_000), &mut holder);
    assert_eq!((ledger.billed(), holder.dump().budgets[0].unsettled), (0, Tokens(0)));
}

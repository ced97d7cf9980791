//! Answers, codes and page traffic of a holder.

mod ledger;

use berylwheel_budget::HolderAction;
use berylwheel_budget::LedgerPage;
use berylwheel_budget::PageId;
use berylwheel_budget::WriteResult;
use berylwheel_types::Code;
use berylwheel_types::Tokens;
use ledger::Ledger;
use ledger::ask;
use ledger::at;
use ledger::budget;
use ledger::holder;

const PAGE: PageId = PageId(0);

fn settle(holder: &mut berylwheel_budget::Holder, ms: u64, request: &str, used: u64) {
    holder.settle(at(ms), &request.parse().expect("request"), Tokens(used));
}

/// Guards against a store call for a request that the grant in hand covers.
#[test]
fn admits_at_once_within_the_grant() {
    let (mut ledger, mut holder) = (Ledger::new(100_000), holder("r1@1", 2));
    holder.reserve(at(0), ask("q1", 10, None));
    assert_eq!(ledger.serve(at(0), &mut holder), [("q1".into(), None)]);
    holder.reserve(at(1), ask("q2", 10, None));
    assert!(matches!(holder.poll(at(1))[..], [HolderAction::Reserved(_)]));
}

/// Guards against wrong codes: 1203 unknown, 1201 spent, 1202 store not reachable.
#[test]
fn refuses_with_the_right_code() {
    let mut ledger = Ledger::new(50);
    let mut holder = holder("r1@1", 1);
    holder.reserve(at(0), ask("q1", 51, None));
    assert_eq!(ledger.serve(at(0), &mut holder), [("q1".into(), Some(Code::BudgetSpent))]);
    ledger.page = LedgerPage::default();
    holder.reserve(at(100), ask("q2", 5, None));
    assert_eq!(ledger.serve(at(100), &mut holder), [("q2".into(), Some(Code::UnknownBudget))]);
    holder.reserve(at(200), ask("q3", 5, None));
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

/// Guards against a refusal while other holders have unreserved tokens.
#[test]
fn recalls_before_it_refuses() {
    let mut ledger = Ledger::new(1_000);
    let (mut first, mut second) = (holder("r1@1", 1), holder("r2@1", 1));
    first.reserve(at(0), ask("q1", 100, None));
    assert_eq!(ledger.serve(at(0), &mut first), [("q1".into(), None)]);
    let before = ledger.balance();
    second.reserve(at(10), ask("q2", before + 50, None));
    assert_eq!(ledger.serve(at(10), &mut second), []);
    first.recall(at(20), &budget());
    ledger.serve(at(20), &mut first);
    assert_eq!(ledger.balance(), 900);
    assert_eq!(ledger.serve(at(80), &mut second), [("q2".into(), None)]);
}

/// Guards against a request that waits for holders which never answer a recall.
#[test]
fn refuses_when_recalls_time_out() {
    let mut ledger = Ledger::new(1_000);
    let (mut first, mut second) = (holder("r1@1", 1), holder("r2@1", 1));
    first.reserve(at(0), ask("q1", 800, None));
    ledger.serve(at(0), &mut first);
    second.reserve(at(10), ask("q2", 500, None));
    let told = (10..500).flat_map(|ms| {
        ledger.serve(at(ms), &mut second).into_iter().map(move |(_, code)| (ms, code))
    });
    assert_eq!(told.collect::<Vec<_>>(), [(310, Some(Code::BudgetSpent))]);
}

/// Guards against a second write of what a lost answer has hidden.
#[test]
fn recognises_its_own_write_after_a_lost_answer() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 2));
    holder.reserve(at(0), ask("q1", 100, None));
    ledger.serve(at(0), &mut holder);
    settle(&mut holder, 10, "q1", 60);
    assert!(matches!(holder.poll(at(3_000))[..], [HolderAction::Read(_)]));
    holder.page_read(at(3_000), PAGE, ledger.revision, ledger.page.clone());
    for action in holder.poll(at(3_000)) {
        let HolderAction::Write { expected, content, .. } = action else { panic!("{action:?}") };
        ledger.write(expected, content);
    }
    holder.page_written(at(3_010), PAGE, WriteResult::Unknown);
    let writes = ledger.writes;
    ledger.serve(at(3_020), &mut holder);
    assert_eq!((ledger.writes, ledger.billed()), (writes, 60));
}

/// Guards against a start long after the caller was due an answer, when the bill key of an earlier
/// attempt may be forgotten.
#[test]
fn does_not_admit_a_request_after_its_wait() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 1));
    holder.reserve(at(0), ask("q1", 100, Some("k")));
    holder.poll(at(0));
    holder.page_read(at(1), PAGE, ledger.revision, ledger.page.clone());
    let paused_until = 3_600_000;
    for action in holder.poll(at(1)) {
        let HolderAction::Write { expected, content, .. } = action else { panic!("{action:?}") };
        let result = ledger.write(expected, content);
        holder.page_written(at(paused_until), PAGE, result);
    }
    let told = ledger.serve(at(paused_until), &mut holder);
    assert_eq!(told, [("q1".into(), Some(Code::BudgetUnreachable))]);
}

/// Guards against a forgotten bill key when the clock of a holder with a late bill is far ahead.
#[test]
fn keeps_a_key_for_a_holder_whose_clock_is_ahead() {
    const AHEAD: u64 = 10 * 3_600_000;
    let mut ledger = Ledger::new(1_000_000);
    let (mut ours, mut ahead) = (holder("r1@1", 2), holder("r2@1", 2));
    ours.reserve(at(0), ask("q1", 100, Some("k")));
    ledger.serve(at(0), &mut ours);
    ahead.reserve(at(AHEAD), ask("q2", 100, Some("k")));
    ledger.serve(at(AHEAD), &mut ahead);
    settle(&mut ours, 1_000, "q1", 40);
    ledger.serve(at(4_000), &mut ours);
    ahead.reserve(at(AHEAD + 5_000), ask("q3", 100, None));
    settle(&mut ahead, AHEAD + 6_000, "q3", 1);
    ledger.serve(at(AHEAD + 9_000), &mut ahead);
    for minutes in [15, 30, 45] {
        ours.reserve(at(minutes * 60_000), ask(&format!("p{minutes}"), 1, None));
        settle(&mut ours, minutes * 60_000, &format!("p{minutes}"), 1);
        ledger.serve(at(minutes * 60_000 + 5_000), &mut ours);
    }
    settle(&mut ahead, AHEAD + 50 * 60_000, "q2", 40);
    ledger.serve(at(AHEAD + 51 * 60_000), &mut ahead);
    assert_eq!(ledger.billed(), 40 + 1 + 3);
}

/// Guards against grants out of a page whose tokens do not add up.
#[test]
fn uses_no_page_that_breaks_conservation() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 1));
    holder.reserve(at(0), ask("q1", 10, None));
    ledger.serve(at(0), &mut holder);
    let mut bytes = ledger.page.encode();
    // The account starts after format, version, count and name, with `credited` (1,000 in two
    // bytes).
    let credited = 3 + 1 + budget().as_str().len();
    bytes[credited] += 1;
    let broken = LedgerPage::decode(&bytes).expect("decoded");
    assert!(broken.check().is_err());
    holder.reserve(at(10), ask("q2", 900, None));
    assert!(matches!(holder.poll(at(10))[..], [HolderAction::Read(_)]));
    holder.page_read(at(11), PAGE, ledger.revision, broken);
    assert!(holder.poll(at(12)).is_empty());
}

/// Guards against a planned stop that strands tokens or cuts a request.
#[test]
fn drains_to_empty() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 2));
    holder.reserve(at(0), ask("q1", 100, None));
    ledger.serve(at(0), &mut holder);
    holder.drain(at(100));
    holder.reserve(at(100), ask("q2", 1, None));
    assert_eq!(ledger.serve(at(100), &mut holder), [("q2".into(), Some(Code::Draining))]);
    assert!(!holder.is_empty());
    settle(&mut holder, 200, "q1", 70);
    ledger.serve(at(200), &mut holder);
    assert!(holder.is_empty());
    assert_eq!((ledger.balance(), ledger.billed()), (930, 70));
}

/// Guards against a holder that keeps spending what an operator has released.
#[test]
fn follows_a_release_by_an_operator() {
    let (mut ledger, mut holder) = (Ledger::new(1_000), holder("r1@1", 1));
    holder.reserve(at(0), ask("q1", 10, None));
    ledger.serve(at(0), &mut holder);
    let me = "r1@1".parse().expect("incarnation");
    ledger.page.release(&budget(), &me, "anna", at(10)).expect("released");
    ledger.revision += 1;
    settle(&mut holder, 20, "q1", 10);
    ledger.serve(at(5_000), &mut holder);
    assert_eq!((ledger.billed(), holder.dump().budgets[0].unsettled), (0, Tokens(0)));
}

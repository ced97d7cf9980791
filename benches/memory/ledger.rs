//! Budget holders and ledger pages of a given size.

use berylwheel_budget::Holder;
use berylwheel_budget::HolderAction;
use berylwheel_budget::HolderPolicy;
use berylwheel_budget::LedgerPage;
use berylwheel_budget::PageId;
use berylwheel_budget::ReserveRequest;
use berylwheel_budget::WriteResult;
use berylwheel_budget::page_of;
use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::FastMap;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use crate::processor_nanos;

/// Number of ledger pages at the target size.
const PAGE_COUNT: u32 = 4_096;
/// Credit of each budget, and reservation and usage of each request.
const CREDIT: Tokens = Tokens(1_000_000);
const RESERVATION: Tokens = Tokens(800);
const USAGE: Tokens = Tokens(600);
/// Maximum number of polls until a holder has no pending actions.
const POLL_LIMIT: u32 = 10_000;
/// Number of rounds over which the time to decode and encode a page is averaged.
const CODEC_ROUNDS: u32 = 500;

/// Store pages by id, with their revisions.
type Pages = FastMap<PageId, (u64, LedgerPage)>;

fn budget_id(number: usize) -> BudgetId {
    format!("workspace-{}/budget-{number}", number / 40).parse().expect("a budget")
}

fn request_id(number: usize) -> RequestId {
    format!("r1-1a23f7d73b42ea8-{number}").parse().expect("a request")
}

fn incarnation(number: usize) -> Incarnation {
    format!("router-{number}@117726349266581976").parse().expect("an incarnation")
}

fn funded_page(budgets: &[usize]) -> LedgerPage {
    let mut page = LedgerPage::default();
    for number in budgets {
        let id = format!("payment-{number}").parse().expect("a credit id");
        let now = Timestamp::from_millis(0);
        page.create(&budget_id(*number), "ana", now).expect("a new budget");
        page.credit(&budget_id(*number), id, CREDIT, "ana", now).expect("a credit");
    }
    page
}

/// Executes the holder's store reads and writes on `pages` until `reservations` reservations are
/// granted and no action is pending. Reads and writes of other pages are ignored.
fn run_holder(holder: &mut Holder, now: &mut Timestamp, pages: &mut Pages, reservations: usize) {
    let mut reserved = 0;
    for _ in 0..POLL_LIMIT {
        let mut idle = true;
        for action in holder.poll(*now) {
            match action {
                HolderAction::Read(id) => {
                    let Some((revision, content)) = pages.get(&id) else { continue };
                    holder.page_read(*now, id, *revision, content.clone());
                }
                HolderAction::Write { page: id, expected, content } => {
                    let Some(stored) = pages.get_mut(&id) else { continue };
                    let matches = stored.0 == expected;
                    if matches {
                        *stored = (expected + 1, content);
                    }
                    let result = if matches {
                        WriteResult::Written(expected + 1)
                    } else {
                        WriteResult::Conflict
                    };
                    holder.page_written(*now, id, result);
                }
                HolderAction::RespondToLoan { .. }
                | HolderAction::Recall { .. }
                | HolderAction::Borrow { .. }
                | HolderAction::Repay { .. } => {}
                HolderAction::Reserved(_) => reserved += 1,
                HolderAction::Refused(request, refusal) => panic!("{request}: {refusal}"),
            }
            idle = false;
        }
        if idle && reserved >= reservations {
            return;
        }
        *now += Millis(20);
    }
    panic!("{reserved} of {reservations} reservations were granted");
}

fn policy(pages: u32) -> HolderPolicy {
    HolderPolicy { pages, write_rate: 1_000_000, byte_rate: u32::MAX, ..HolderPolicy::default() }
}

/// Makes a reservation for a request of budget `number` at the home router `home`.
fn reserve(holder: &mut Holder, now: Timestamp, home: usize, number: usize) {
    let workspace = "w".parse().expect("a workspace");
    holder.reserve(
        now,
        ReserveRequest {
            request: request_id(number),
            budget: budget_id(number),
            key: Some(BillKey::new(&workspace, &format!("{home}-{number}"))),
            amount: RESERVATION,
            deadline: now + Millis(600_000),
        },
    );
}

/// Returns a holder with grants of `count` budgets, each with an unsettled bill.
pub fn holder(count: usize) -> Holder {
    let mut by_page: FastMap<PageId, Vec<usize>> = FastMap::default();
    for number in 0..count {
        by_page.entry(page_of(&budget_id(number), PAGE_COUNT)).or_default().push(number);
    }
    // Settlement is disabled: it would need all pages at once, and their memory would be measured
    // with the holder.
    let disabled = Millis(1 << 40);
    let policy = HolderPolicy { settle_min: disabled, settle_max: disabled, ..policy(PAGE_COUNT) };
    let mut holder = Holder::new(incarnation(1), policy);
    let mut now = Timestamp::from_millis(1_000);
    for (id, numbers) in by_page {
        let mut pages = Pages::default();
        pages.insert(id, (1, funded_page(&numbers)));
        for number in &numbers {
            reserve(&mut holder, now, 0, *number);
        }
        run_holder(&mut holder, &mut now, &mut pages, numbers.len());
        for number in &numbers {
            holder.settle(now, &request_id(*number), USAGE);
        }
    }
    holder
}

/// Returns the encoded size of a page from [`settled_page`].
pub fn page_bytes(count: usize, homes: usize) -> usize {
    settled_page(count, homes).encode().len()
}

/// Returns the mean processor time to decode, check and encode a page with three holders.
pub fn codec_seconds(count: usize) -> f64 {
    let bytes = settled_page(count, 3).encode();
    let start = processor_nanos();
    for _ in 0..CODEC_ROUNDS {
        let page = LedgerPage::decode(&bytes).expect("a page");
        page.check().expect("a consistent page");
        assert_eq!(page.encode().len(), bytes.len());
    }
    (processor_nanos() - start) as f64 / 1e9 / f64::from(CODEC_ROUNDS)
}

/// Returns a page of `count` budgets in which each of `homes` holders has a grant and has settled
/// one bill with a key.
fn settled_page(count: usize, homes: usize) -> LedgerPage {
    let numbers: Vec<usize> = (0..count).collect();
    let mut pages = Pages::default();
    pages.insert(PageId(0), (1, funded_page(&numbers)));
    let mut now = Timestamp::from_millis(1_000);
    for home in 0..homes {
        let mut holder = Holder::new(incarnation(home), policy(1));
        holder.set_routers(homes);
        for number in &numbers {
            reserve(&mut holder, now, home, *number);
        }
        run_holder(&mut holder, &mut now, &mut pages, count);
        for number in &numbers {
            holder.settle(now, &request_id(*number), USAGE);
        }
        // Longer than the settlement interval.
        now += Millis(120_000);
        run_holder(&mut holder, &mut now, &mut pages, 0);
    }
    let (_, page) = pages.remove(&PageId(0)).expect("the page");
    for (budget, account) in page.accounts() {
        assert_eq!(account.rows.len(), homes, "rows of {budget}");
        assert_eq!(account.billed, Tokens(homes as u64 * USAGE.0), "bills of {budget}");
    }
    page
}

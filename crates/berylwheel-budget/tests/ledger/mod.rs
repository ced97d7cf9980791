//! A test ledger of one page, which holders access without failures.

use berylwheel_budget::Holder;
use berylwheel_budget::HolderAction;
use berylwheel_budget::HolderPolicy;
use berylwheel_budget::LedgerPage;
use berylwheel_budget::ReserveRequest;
use berylwheel_budget::WriteResult;
use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::Code;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

pub struct Ledger {
    pub revision: u64,
    pub page: LedgerPage,
    pub writes: usize,
}

/// The responses to requests by id: `None` if the request was admitted, or the code of its refusal.
pub type Responses = Vec<(String, Option<Code>)>;

pub fn budget() -> BudgetId {
    "w1/main".parse().expect("budget")
}

pub fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

pub fn holder(name: &str, routers: usize) -> Holder {
    let policy = HolderPolicy { pages: 1, ..HolderPolicy::default() };
    let mut holder = Holder::new(name.parse().expect("incarnation"), policy);
    holder.set_routers(routers);
    holder
}

pub fn reserve_request(request: &str, amount: u64, key: Option<&str>) -> ReserveRequest {
    let workspace = "w1".parse().expect("workspace");
    ReserveRequest {
        request: request.parse().expect("request"),
        budget: budget(),
        key: key.map(|key| BillKey::new(&workspace, key)),
        amount: Tokens(amount),
        deadline: at(1 << 40),
    }
}

impl Ledger {
    pub fn new(tokens: u64) -> Self {
        let mut page = LedgerPage::default();
        page.create(&budget(), "anna", at(0)).expect("created");
        let id = "first".parse().expect("id");
        page.credit(&budget(), id, Tokens(tokens), "anna", at(0)).expect("credited");
        Self { revision: 1, page, writes: 0 }
    }

    /// Carries out the holder's actions until it returns no more.
    pub fn execute(&mut self, now: Timestamp, holder: &mut Holder) -> Responses {
        let mut responses = Vec::new();
        loop {
            let actions = holder.poll(now);
            if actions.is_empty() {
                return responses;
            }
            for action in actions {
                match action {
                    HolderAction::Read(page) => {
                        holder.page_read(now, page, self.revision, self.page.clone());
                    }
                    HolderAction::Write { page, expected, content } => {
                        let result = self.write(expected, content);
                        holder.page_written(now, page, result);
                    }
                    HolderAction::Reserved(request) => responses.push((request.to_string(), None)),
                    HolderAction::Refused(request, refusal) => {
                        responses.push((request.to_string(), Some(refusal.code)));
                    }
                    HolderAction::Recall { .. }
                    | HolderAction::Borrow { .. }
                    | HolderAction::RespondToLoan { .. }
                    | HolderAction::Repay { .. } => {}
                }
            }
        }
    }

    pub fn write(&mut self, expected: u64, content: LedgerPage) -> WriteResult {
        if expected != self.revision {
            return WriteResult::Conflict;
        }
        content.check().expect("conserved");
        self.revision += 1;
        self.writes += 1;
        self.page = content;
        WriteResult::Written(self.revision)
    }

    pub fn balance(&self) -> u64 {
        self.page.account(&budget()).expect("account").balance.0
    }

    pub fn billed(&self) -> u64 {
        self.page.account(&budget()).expect("account").billed.0
    }
}

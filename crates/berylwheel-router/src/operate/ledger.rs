//! Budget changes by operators, and reclaim of the grants of routers that have ended.

use std::net::SocketAddr;
use std::sync::Arc;

use async_io::Timer;
use berylwheel_budget::Applied;
use berylwheel_budget::LedgerPage;
use berylwheel_budget::PageId;
use berylwheel_budget::Reclaimed;
use berylwheel_budget::UsageRecord;
use berylwheel_budget::page_of;
use berylwheel_http::Client;
use berylwheel_http::OutgoingRequest;
use berylwheel_store::Compare;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::SwapResult;
use berylwheel_types::BudgetId;
use berylwheel_types::Clock;
use berylwheel_types::Code;
use berylwheel_types::CreditId;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::Tokens;
use http_types::Method;
use serde::Deserialize;

use crate::control::effects::fetch_json;

/// Maximum number of attempts to write a page, which is high because the page has concurrent
/// writers.
const MAX_ATTEMPTS: u32 = 100;
/// Delay between attempts.
const RETRY_DELAY: Millis = Millis(20);
/// Timeout of a request to an engine during a reclaim.
const USAGE_TIMEOUT: Millis = Millis(5_000);
/// Maximum number of usage requests to an engine until all requests of the router have finished.
const MAX_USAGE_ATTEMPTS: u32 = 20;
/// Delay between usage requests.
const USAGE_RETRY_DELAY: Millis = Millis(250);

/// A budget change by an operator.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "op", rename_all = "lowercase")]
pub enum BudgetChange {
    /// Creates an empty budget.
    Create,
    /// Adds tokens to a budget. Repeating an id has no effect.
    Credit { id: CreditId, tokens: Tokens },
    /// Removes tokens from a budget.
    Cut { id: CreditId, tokens: Tokens },
    /// Closes a budget.
    Close,
    /// Returns the grant of a holder that has ended, when the engines cannot report its usage.
    Release { holder: Incarnation },
}

/// Reads and writes ledger pages directly in the store, without a grant holder.
#[derive(Clone)]
pub struct Ledger {
    /// The platform's key-value store.
    pub store: Arc<dyn Store>,
    /// Number of ledger pages.
    pub pages: u32,
    /// The clock.
    pub clock: Clock,
}

impl Ledger {
    /// Applies a budget change.
    ///
    /// # Errors
    /// The refusal of the ledger page, [`Code::StoreUnavailable`] if the store is unavailable, or
    /// [`Code::ChangeUnavailable`] if the change may or may not have been written.
    pub async fn change(
        &self,
        budget: &BudgetId,
        change: &BudgetChange,
        author: &str,
    ) -> Result<Applied, Refusal> {
        let now = self.clock.now();
        self.update(page_of(budget, self.pages), |page, unconfirmed| {
            let result = match change {
                BudgetChange::Create => page.create(budget, author, now),
                BudgetChange::Credit { id, tokens } => {
                    return page.credit(budget, id.clone(), *tokens, author, now);
                }
                BudgetChange::Cut { id, tokens } => {
                    return page.cut(budget, id.clone(), *tokens, author, now);
                }
                BudgetChange::Close => page.close(budget, author, now),
                BudgetChange::Release { holder } => {
                    page.release(budget, holder, author, now).map(|_| ())
                }
            };
            match result {
                Ok(()) => Ok(Applied::Now),
                // An earlier attempt took effect although the store's response was lost.
                Err(_) if unconfirmed => Ok(Applied::Before),
                Err(refusal) => Err(refusal),
            }
        })
        .await
    }

    /// Reads the ledger page of a budget.
    ///
    /// # Errors
    /// [`Code::StoreUnavailable`] or [`Code::UnknownBudget`].
    pub async fn page(&self, budget: &BudgetId) -> Result<LedgerPage, Refusal> {
        let (page, _) = self.read(page_of(budget, self.pages)).await.map_err(unavailable)?;
        match page.account(budget) {
            Some(_) => Ok(page),
            None => Err(Refusal::not_run(Code::UnknownBudget, budget.to_string())),
        }
    }

    /// Bills the usage that engines recorded for a router that has ended, and returns the rest of
    /// its grants to the budgets. The caller must have evidence that the router process has ended.
    ///
    /// # Errors
    /// Fails if the store or an engine is unavailable. Pages that are not processed yet then keep
    /// the router's grants.
    pub async fn reclaim(
        &self,
        client: &Client,
        engines: &[SocketAddr],
        ended: &Incarnation,
        author: &str,
    ) -> Result<Reclaimed, Refusal> {
        let mut total = Reclaimed::default();
        let pages = self.pages_held_by(ended).await?;
        if pages.is_empty() {
            return Ok(total);
        }
        let usage = collect_usage(client, engines, ended).await?;
        for page in pages {
            let now = self.clock.now();
            let reclaimed = self
                .update(page, |content, _| Ok(content.reclaim(ended, &usage, author, now)))
                .await?;
            total.billed += reclaimed.billed;
            total.returned += reclaimed.returned;
        }
        Ok(total)
    }

    async fn pages_held_by(&self, holder: &Incarnation) -> Result<Vec<PageId>, Refusal> {
        let mut pages = Vec::new();
        self.visit_pages(|id, page| {
            if page.holders().contains(holder) {
                pages.push(id);
            }
        })
        .await?;
        Ok(pages)
    }

    /// Calls `visit` with each page. Pages are read one by one, because at the target size all
    /// pages together exceed the maximum response size of the store.
    async fn visit_pages(&self, mut visit: impl FnMut(PageId, &LedgerPage)) -> Result<(), Refusal> {
        for number in 0..self.pages {
            let page = PageId(number);
            let (content, _) = self.read(page).await.map_err(unavailable)?;
            visit(page, &content);
        }
        Ok(())
    }

    async fn read(&self, page: PageId) -> Result<(LedgerPage, u64), StoreError> {
        let entries = self.store.range(&page.key(), false, 1).await?;
        let Some(entry) = entries.first() else { return Ok((LedgerPage::default(), 0)) };
        let content = LedgerPage::decode(&entry.value)
            .map_err(|error| StoreError::Protocol(error.to_string()))?;
        Ok((content, entry.revision))
    }

    async fn update<T>(
        &self,
        page: PageId,
        mut apply: impl FnMut(&mut LedgerPage, bool) -> Result<T, Refusal>,
    ) -> Result<T, Refusal> {
        let mut unconfirmed = false;
        for _ in 0..MAX_ATTEMPTS {
            let to_refusal = |error| match unconfirmed {
                true => Refusal::unknown(Code::ChangeUnavailable, StoreError::to_string(&error)),
                false => unavailable(error),
            };
            let (mut content, revision) = self.read(page).await.map_err(to_refusal)?;
            let result = apply(&mut content, unconfirmed)?;
            let compare = Compare::new(page.key(), revision);
            let put = Put::new(page.key(), content.encode());
            match self.store.swap(vec![compare], vec![put]).await {
                Ok(SwapResult::Committed(_)) => return Ok(result),
                Ok(SwapResult::Conflict(_)) => {}
                Err(StoreError::Unknown) => unconfirmed = true,
                Err(error) => return Err(to_refusal(error)),
            }
            Timer::after(RETRY_DELAY.duration()).await;
        }
        Err(Refusal::unknown(
            Code::ChangeUnavailable,
            "the ledger page has too many concurrent writers",
        ))
    }
}

fn unavailable(error: StoreError) -> Refusal {
    Refusal::not_run(Code::StoreUnavailable, error.to_string())
}

#[derive(Debug, Deserialize)]
struct UsageEntry {
    request: String,
    #[serde(default)]
    usage_tag: Option<String>,
    tokens: u64,
    #[serde(default)]
    finished: bool,
}

/// Collects the usage of a router that has ended from all engines, after all its requests have
/// finished.
async fn collect_usage(
    client: &Client,
    engines: &[SocketAddr],
    ended: &Incarnation,
) -> Result<Vec<UsageRecord>, Refusal> {
    let mut records = Vec::new();
    for engine in engines {
        records.extend(fetch_usage(client, *engine, ended).await?);
    }
    Ok(records)
}

async fn fetch_usage(
    client: &Client,
    engine: SocketAddr,
    ended: &Incarnation,
) -> Result<Vec<UsageRecord>, Refusal> {
    let path = format!("/v1/usage?owner={ended}");
    let no_usage =
        || Refusal::not_run(Code::BackendFailed, format!("{engine} does not report usage"));
    for _ in 0..MAX_USAGE_ATTEMPTS {
        let value = fetch_json(client, engine, &path, USAGE_TIMEOUT).await.ok_or_else(no_usage)?;
        let entries: Vec<UsageEntry> = serde_json::from_value(value).map_err(|_| no_usage())?;
        let unfinished: Vec<&UsageEntry> = entries.iter().filter(|usage| !usage.finished).collect();
        if unfinished.is_empty() {
            return Ok(entries.iter().filter_map(to_record).collect());
        }
        // Cancels the remaining requests, whose streams no longer have a reader.
        for usage in unfinished {
            let outgoing =
                OutgoingRequest::new(Method::Delete, format!("/v1/requests/{}", usage.request));
            let _ = client.fetch(engine, &outgoing, 4_096, USAGE_TIMEOUT).await;
        }
        Timer::after(USAGE_RETRY_DELAY.duration()).await;
    }
    Err(Refusal::not_run(Code::BackendFailed, format!("{engine} still runs requests of {ended}")))
}

fn to_record(usage: &UsageEntry) -> Option<UsageRecord> {
    let tag = usage.usage_tag.as_deref()?.parse().ok()?;
    Some(UsageRecord { tag, used: Tokens(usage.tokens) })
}

//! Changes of ledger pages by operators, and the reclaim of what a dead router held.

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

/// Attempts at one change; other writers of the page may be first many times.
const ATTEMPT_LIMIT: u32 = 100;
/// Pause after an attempt that failed.
const ATTEMPT_PAUSE: Millis = Millis(20);
/// Time that an engine may take to list usage.
const USAGE_TIME: Millis = Millis(5_000);
/// Times that engines are asked until all requests of a dead router have ended.
const USAGE_ATTEMPTS: u32 = 20;
/// Pause between two such questions.
const USAGE_PAUSE: Millis = Millis(250);

/// A change of a budget by an operator.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "op", rename_all = "lowercase")]
pub enum BudgetChange {
    /// Creates an empty budget.
    Create,
    /// Tops a budget up; the same id credits once.
    Credit { id: CreditId, tokens: Tokens },
    /// Takes tokens back.
    Cut { id: CreditId, tokens: Tokens },
    /// Ends a budget.
    Close,
    /// Returns what a holder that is gone held, when engines cannot tell its usage.
    Release { holder: Incarnation },
}

/// Writes ledger pages outside the holder.
#[derive(Clone)]
pub struct Ledger {
    /// The platform's key-value service.
    pub store: Arc<dyn Store>,
    /// Number of pages.
    pub pages: u32,
    /// Time.
    pub clock: Clock,
}

impl Ledger {
    /// Applies an operator's change.
    ///
    /// # Errors
    /// A refusal of the page, or [`Code::ChangeUnavailable`] if the store does not answer.
    pub async fn change(
        &self,
        budget: &BudgetId,
        change: &BudgetChange,
        author: &str,
    ) -> Result<Applied, Refusal> {
        let now = self.clock.now();
        self.update(page_of(budget, self.pages), |page, retried| {
            let done = match change {
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
            match done {
                Ok(()) => Ok(Applied::Now),
                // The answer to an earlier attempt was lost, and the attempt had taken effect.
                Err(_) if retried => Ok(Applied::Before),
                Err(refusal) => Err(refusal),
            }
        })
        .await
    }

    /// Reads the page of a budget.
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

    /// Bills what engines recorded for a router process that has ended, and returns the rest of
    /// its grants. The caller has evidence that the process has ended.
    ///
    /// # Errors
    /// Fails if the store or an engine does not answer; the grants then stay where they are.
    pub async fn reclaim(
        &self,
        client: &Client,
        engines: &[SocketAddr],
        dead: &Incarnation,
        author: &str,
    ) -> Result<Reclaimed, Refusal> {
        let mut total = Reclaimed::default();
        let pages = self.pages_of(dead).await?;
        if pages.is_empty() {
            return Ok(total);
        }
        let usage = usage_of(client, engines, dead).await?;
        for page in pages {
            let now = self.clock.now();
            let done = self
                .update(page, |content, _| Ok(content.reclaim(dead, &usage, author, now)))
                .await?;
            total.billed += done.billed;
            total.returned += done.returned;
        }
        Ok(total)
    }

    async fn pages_of(&self, holder: &Incarnation) -> Result<Vec<PageId>, Refusal> {
        let mut pages = Vec::new();
        self.visit_pages(|id, page| {
            if page.holders().contains(holder) {
                pages.push(id);
            }
        })
        .await?;
        Ok(pages)
    }

    /// Calls `visit` with each page. Pages are read one by one: at the target size all of them
    /// together are larger than an answer of the store may be.
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
        let mut retried = false;
        for _ in 0..ATTEMPT_LIMIT {
            let failed = |error| match retried {
                true => Refusal::unknown(Code::ChangeUnavailable, StoreError::to_string(&error)),
                false => unavailable(error),
            };
            let (mut content, revision) = self.read(page).await.map_err(failed)?;
            let result = apply(&mut content, retried)?;
            let compare = Compare::new(page.key(), revision);
            let put = Put::new(page.key(), content.encode());
            match self.store.swap(vec![compare], vec![put]).await {
                Ok(SwapResult::Committed(_)) => return Ok(result),
                Ok(SwapResult::Conflict(_)) => {}
                Err(StoreError::Unknown) => retried = true,
                Err(error) => return Err(failed(error)),
            }
            Timer::after(ATTEMPT_PAUSE.duration()).await;
        }
        Err(Refusal::unknown(Code::ChangeUnavailable, "the page changes too often"))
    }
}

fn unavailable(error: StoreError) -> Refusal {
    Refusal::not_run(Code::StoreUnavailable, error.to_string())
}

#[derive(Debug, Deserialize)]
struct Usage {
    request: String,
    #[serde(default)]
    usage_tag: Option<String>,
    tokens: u64,
    #[serde(default)]
    finished: bool,
}

/// Asks all engines for the usage of a dead router's requests, once all of them have ended.
async fn usage_of(
    client: &Client,
    engines: &[SocketAddr],
    dead: &Incarnation,
) -> Result<Vec<UsageRecord>, Refusal> {
    let mut records = Vec::new();
    for engine in engines {
        records.extend(engine_usage(client, *engine, dead).await?);
    }
    Ok(records)
}

async fn engine_usage(
    client: &Client,
    engine: SocketAddr,
    dead: &Incarnation,
) -> Result<Vec<UsageRecord>, Refusal> {
    let path = format!("/v1/usage?owner={dead}");
    let silent = || Refusal::not_run(Code::BackendFailed, format!("{engine} lists no usage"));
    for _ in 0..USAGE_ATTEMPTS {
        let value = fetch_json(client, engine, &path, USAGE_TIME).await.ok_or_else(silent)?;
        let list: Vec<Usage> = serde_json::from_value(value).map_err(|_| silent())?;
        let open: Vec<&Usage> = list.iter().filter(|usage| !usage.finished).collect();
        if open.is_empty() {
            return Ok(list.iter().filter_map(record_of).collect());
        }
        // Nobody reads these streams any more.
        for usage in open {
            let outgoing =
                OutgoingRequest::new(Method::Delete, format!("/v1/requests/{}", usage.request));
            let _ = client.fetch(engine, &outgoing, 4_096, USAGE_TIME).await;
        }
        Timer::after(USAGE_PAUSE.duration()).await;
    }
    Err(Refusal::not_run(Code::BackendFailed, format!("{engine} still runs requests")))
}

fn record_of(usage: &Usage) -> Option<UsageRecord> {
    let tag = usage.usage_tag.as_deref()?.parse().ok()?;
    Some(UsageRecord { tag, used: Tokens(usage.tokens) })
}

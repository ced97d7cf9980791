//! The operators' interface: state, budgets and configuration.

use std::future::Future;
use std::net::TcpListener;
use std::sync::Arc;

use async_channel::Sender;
use async_executor::Executor;
use async_io::Async;
use berylwheel_budget::Applied;
use berylwheel_http::ActiveRequests;
use berylwheel_http::ServerLimits;
use berylwheel_http::problem_response;
use berylwheel_http::read_body;
use berylwheel_http::serve;
use berylwheel_settings::Settings;
use berylwheel_store::Store;
use berylwheel_types::BudgetId;
use berylwheel_types::ByteSize;
use berylwheel_types::Clock;
use berylwheel_types::Code;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::calls::traffic::header;
use crate::calls::traffic::json_response;
use crate::control::event::Event;
use crate::control::snapshot::SharedSnapshot;
use crate::operate::change::ChangeRequest;
use crate::operate::change::Configuration;
use crate::operate::change::RollbackRequest;
use crate::operate::ledger::BudgetChange;
use crate::operate::ledger::Ledger;
use crate::operate::orders::Order;
use crate::operate::orders::Orders;

/// The largest request of an operator.
const BODY_LIMIT: ByteSize = ByteSize(1 << 20);
/// Time for an operator's request to arrive.
const BODY_TIME: Millis = Millis(10_000);

/// Serves operators.
#[derive(Clone)]
pub struct Admin {
    /// Time.
    pub clock: Clock,
    /// Messages to the control thread.
    pub events: Sender<Event>,
    /// The configuration in force.
    pub snapshot: SharedSnapshot,
    /// The platform's key-value service.
    pub store: Arc<dyn Store>,
    /// This run of this router.
    pub me: Incarnation,
    /// Sends orders to engines.
    pub orders: Arc<Orders>,
}

impl Admin {
    /// Accepts operators until the listener fails.
    pub fn listen(
        self,
        listener: Async<TcpListener>,
        executor: Arc<Executor<'static>>,
    ) -> impl Future<Output = std::io::Result<()>> {
        let active = ActiveRequests::default();
        serve(listener, executor, ServerLimits::default(), active, move |request| {
            let admin = self.clone();
            async move {
                let path = request.url().path().to_owned();
                admin.dispatch(request, &path).await.unwrap_or_else(|refusal| {
                    log::info!(code = refusal.code.number(), path = path.as_str(); "{refusal}");
                    problem_response(&refusal, "")
                })
            }
        })
    }

    async fn dispatch(&self, mut request: Request, path: &str) -> Result<Response, Refusal> {
        let budget = path.strip_prefix("/admin/budgets/");
        match (request.method(), path) {
            (Method::Get, "/dump") => self.dump().await,
            (Method::Get, "/version") => Ok(self.version()),
            (Method::Get, _) if budget.is_some() => {
                self.operator(&request)?;
                self.show_budget(budget.unwrap_or_default()).await
            }
            (Method::Post, _) if budget.is_some() => {
                let operator = self.operator(&request)?;
                let change: BudgetChange = read_json(&mut request).await?;
                self.change_budget(budget.unwrap_or_default(), &change, &operator).await
            }
            (Method::Get, "/admin/config") => {
                self.operator(&request)?;
                self.configuration().show().await.map(|value| json_response(&value))
            }
            (Method::Get, "/admin/config/history") => {
                self.operator(&request)?;
                self.configuration().history().await.map(|value| json_response(&value))
            }
            (Method::Get, "/admin/config/diff") => {
                self.operator(&request)?;
                let (from, to) = versions(&request)?;
                self.configuration().diff(from, to).await.map(|value| json_response(&value))
            }
            (Method::Post, "/admin/config") => {
                let operator = self.operator(&request)?;
                let change: ChangeRequest = read_json(&mut request).await?;
                let done = self.configuration().change(change, &operator).await?;
                Ok(json_response(&done))
            }
            (Method::Post, "/admin/config/rollback") => {
                let operator = self.operator(&request)?;
                let rollback: RollbackRequest = read_json(&mut request).await?;
                let done = self.configuration().roll_back(rollback, &operator).await?;
                Ok(json_response(&done))
            }
            (Method::Post, "/admin/orders") => {
                let operator = self.operator(&request)?;
                let order: Order = read_json(&mut request).await?;
                self.order(&order, &operator).await
            }
            _ => Err(Refusal::not_run(Code::UnknownKind, format!("no such path: {path}"))),
        }
    }

    async fn order(&self, order: &Order, operator: &str) -> Result<Response, Refusal> {
        let snapshot = self.snapshot.load_full();
        let servers = snapshot.settings.as_ref().map(Settings::servers).unwrap_or_default();
        let server = servers.iter().find(|server| server.id == order.server);
        let Some(server) = server.filter(|server| !server.models.is_empty()) else {
            let detail = format!("no such engine: {}", order.server);
            return Err(Refusal::not_run(Code::InvalidField, detail));
        };
        let done = self.orders.send(server, order).await?;
        log::info!(server:% = server.id, operator = operator; "order sent: {order:?}");
        Ok(json_response(&done))
    }

    fn configuration(&self) -> Configuration {
        Configuration { store: self.store.clone(), clock: self.clock.clone() }
    }

    fn operator(&self, request: &Request) -> Result<String, Refusal> {
        let denied = |detail| Refusal::not_run(Code::OperatorDenied, detail);
        let value = header(request, "authorization").unwrap_or_default();
        let key = value.strip_prefix("Bearer ").ok_or_else(|| denied("expected Bearer KEY"))?;
        self.snapshot.load().access.operator(key).ok_or_else(|| denied("no such key"))
    }

    async fn dump(&self) -> Result<Response, Refusal> {
        let stopped = || Refusal::not_run(Code::Draining, "the router has stopped");
        let (reply, answer) = async_channel::bounded(1);
        self.events.send(Event::DumpRequested(reply)).await.map_err(|_| stopped())?;
        let state = answer.recv().await.map_err(|_| stopped())?;
        Ok(json_response(&state))
    }

    fn version(&self) -> Response {
        let snapshot = self.snapshot.load();
        json_response(&json!({
            "router": self.me,
            "version": snapshot.version,
            "serving": format!("{:?}", snapshot.serving).to_lowercase(),
        }))
    }

    fn ledger(&self) -> Result<Ledger, Refusal> {
        let snapshot = self.snapshot.load();
        let settings = snapshot.settings.as_ref().ok_or_else(|| {
            Refusal::not_run(Code::ConfigurationUnknown, "the number of pages is not known")
        })?;
        let pages = settings.fleet().ledger_pages;
        Ok(Ledger { store: self.store.clone(), pages, clock: self.clock.clone() })
    }

    async fn show_budget(&self, budget: &str) -> Result<Response, Refusal> {
        let budget = parse_budget(budget)?;
        let page = self.ledger()?.page(&budget).await?;
        let account = page.account(&budget);
        Ok(json_response(&json!({
            "budget": budget,
            "account": account,
            "audit": page.audit(&budget),
        })))
    }

    async fn change_budget(
        &self,
        budget: &str,
        change: &BudgetChange,
        operator: &str,
    ) -> Result<Response, Refusal> {
        let budget = parse_budget(budget)?;
        let applied = self.ledger()?.change(&budget, change, operator).await?;
        log::info!(budget = budget.as_str(), operator = operator; "budget changed: {change:?}");
        let now = applied == Applied::Now;
        Ok(json_response(&json!({ "budget": budget, "applied": now })))
    }
}

fn parse_budget(text: &str) -> Result<BudgetId, Refusal> {
    text.parse().map_err(|_| Refusal::not_run(Code::UnknownBudget, text.to_owned()))
}

async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Refusal> {
    let bytes = read_body(request.take_body(), BODY_LIMIT, BODY_TIME).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Refusal::not_run(Code::MalformedRequest, error.to_string()))
}

fn versions(request: &Request) -> Result<(u64, u64), Refusal> {
    let value = |name: &str| {
        let pair = request.url().query_pairs().find(|(key, _)| key == name);
        pair.and_then(|(_, value)| value.parse().ok())
    };
    let (from, to) = (value("from"), value("to"));
    from.zip(to).ok_or_else(|| Refusal::not_run(Code::InvalidField, "expected from= and to="))
}

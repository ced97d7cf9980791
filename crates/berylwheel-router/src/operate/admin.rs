//! The admin API: state dump, budgets, configuration and engine orders.

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
use berylwheel_types::ParseIdError;
use berylwheel_types::PromptPartId;
use berylwheel_types::Refusal;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::calls::request_handler::json_response;
use crate::calls::request_handler::last_header;
use crate::control::event::Event;
use crate::control::snapshot::SharedSnapshot;
use crate::operate::change::ChangeRequest;
use crate::operate::change::ConfigStore;
use crate::operate::change::RollbackRequest;
use crate::operate::ledger::BudgetChange;
use crate::operate::ledger::Ledger;
use crate::operate::orders::Order;
use crate::operate::orders::OrderSender;

/// Maximum size of a request body.
const MAX_BODY_BYTES: ByteSize = ByteSize(1 << 20);
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Millis = Millis(10_000);

/// Names a prompt part whose requests are to be served again.
#[derive(Debug, Deserialize)]
struct PartRelease {
    part: String,
}

/// Handles the requests of operators.
#[derive(Clone)]
pub struct AdminHandler {
    /// The clock.
    pub clock: Clock,
    /// Sends events to the control thread.
    pub events: Sender<Event>,
    /// The configuration in force.
    pub snapshot: SharedSnapshot,
    /// The platform's key-value store.
    pub store: Arc<dyn Store>,
    /// The incarnation of this router.
    pub incarnation: Incarnation,
    /// Sends orders to engines.
    pub orders: Arc<OrderSender>,
}

impl AdminHandler {
    /// Accepts connections of operators until the listener fails.
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
                self.authenticate(&request)?;
                self.show_budget(budget.unwrap_or_default()).await
            }
            (Method::Post, _) if budget.is_some() => {
                let operator = self.authenticate(&request)?;
                let change: BudgetChange = read_json(&mut request).await?;
                self.change_budget(budget.unwrap_or_default(), &change, &operator).await
            }
            (Method::Get, "/admin/config") => {
                self.authenticate(&request)?;
                self.config_store().show().await.map(|value| json_response(&value))
            }
            (Method::Get, "/admin/config/history") => {
                self.authenticate(&request)?;
                self.config_store().history().await.map(|value| json_response(&value))
            }
            (Method::Get, "/admin/config/diff") => {
                self.authenticate(&request)?;
                let (from, to) = parse_versions(&request)?;
                self.config_store().diff(from, to).await.map(|value| json_response(&value))
            }
            (Method::Post, "/admin/config") => {
                let operator = self.authenticate(&request)?;
                let change: ChangeRequest = read_json(&mut request).await?;
                let result = self.config_store().change(change, &operator).await?;
                Ok(json_response(&result))
            }
            (Method::Post, "/admin/config/rollback") => {
                let operator = self.authenticate(&request)?;
                let rollback: RollbackRequest = read_json(&mut request).await?;
                let result = self.config_store().roll_back(rollback, &operator).await?;
                Ok(json_response(&result))
            }
            (Method::Get, "/admin/quarantine") => {
                self.authenticate(&request)?;
                Ok(json_response(&self.state().await?["quarantine"]))
            }
            (Method::Post, "/admin/quarantine/release") => {
                let operator = self.authenticate(&request)?;
                let release: PartRelease = read_json(&mut request).await?;
                self.release_part(&release, &operator).await
            }
            (Method::Post, "/admin/orders") => {
                let operator = self.authenticate(&request)?;
                let order: Order = read_json(&mut request).await?;
                self.send_order(&order, &operator).await
            }
            _ => Err(Refusal::not_run(Code::UnknownKind, format!("no such path: {path}"))),
        }
    }

    async fn send_order(&self, order: &Order, operator: &str) -> Result<Response, Refusal> {
        let snapshot = self.snapshot.load_full();
        let servers = snapshot.settings.as_ref().map(Settings::servers).unwrap_or_default();
        let server = servers.iter().find(|server| server.id == order.server);
        let Some(server) = server.filter(|server| !server.models.is_empty()) else {
            let detail = format!("no such engine: {}", order.server);
            return Err(Refusal::not_run(Code::InvalidField, detail));
        };
        let result = self.orders.send(server, order).await?;
        log::info!(server:% = server.id, operator = operator; "order sent: {order:?}");
        Ok(json_response(&result))
    }

    fn config_store(&self) -> ConfigStore {
        ConfigStore { store: self.store.clone(), clock: self.clock.clone() }
    }

    fn authenticate(&self, request: &Request) -> Result<String, Refusal> {
        let denied = |detail| Refusal::not_run(Code::OperatorDenied, detail);
        let value = last_header(request, "authorization").unwrap_or_default();
        let key = value
            .strip_prefix("Bearer ")
            .ok_or_else(|| denied("Authorization: expected Bearer KEY"))?;
        self.snapshot.load().access.operator(key).ok_or_else(|| denied("unknown operator key"))
    }

    async fn release_part(
        &self,
        release: &PartRelease,
        operator: &str,
    ) -> Result<Response, Refusal> {
        let part: PromptPartId = release.part.parse().map_err(|error: ParseIdError| {
            Refusal::not_run(Code::InvalidField, format!("part: {error}"))
        })?;
        let stopped = || Refusal::not_run(Code::Draining, "the router has stopped");
        let (reply, released) = async_channel::bounded(1);
        self.events.send(Event::PartReleased(part, reply)).await.map_err(|_| stopped())?;
        let released = released.recv().await.map_err(|_| stopped())?;
        log::info!(part:% = part, operator = operator, released; "release of a prompt part");
        Ok(json_response(&json!({ "part": part.to_string(), "released": released })))
    }

    async fn dump(&self) -> Result<Response, Refusal> {
        Ok(json_response(&self.state().await?))
    }

    async fn state(&self) -> Result<Value, Refusal> {
        let stopped = || Refusal::not_run(Code::Draining, "the router has stopped");
        let (reply, dump) = async_channel::bounded(1);
        self.events.send(Event::DumpRequested(reply)).await.map_err(|_| stopped())?;
        dump.recv().await.map_err(|_| stopped())
    }

    fn version(&self) -> Response {
        let snapshot = self.snapshot.load();
        json_response(&json!({
            "router": self.incarnation,
            "version": snapshot.version,
            "serving": format!("{:?}", snapshot.serving).to_lowercase(),
        }))
    }

    fn ledger(&self) -> Result<Ledger, Refusal> {
        let snapshot = self.snapshot.load();
        let settings = snapshot.settings.as_ref().ok_or_else(|| {
            Refusal::not_run(
                Code::ConfigurationUnknown,
                "the number of ledger pages is not known yet",
            )
        })?;
        let pages = settings.fleet().ledger_pages;
        Ok(Ledger { store: self.store.clone(), pages, clock: self.clock.clone() })
    }

    async fn show_budget(&self, budget: &str) -> Result<Response, Refusal> {
        let budget = parse_budget(budget)?;
        let page = self.ledger()?.page(&budget).await?;
        let account = page.account(&budget);
        let snapshot = self.snapshot.load();
        let unusable = page.unusable(&budget, |run| snapshot.ended_runs.contains(run));
        Ok(json_response(&json!({
            "budget": budget,
            "account": account,
            "unusable": unusable,
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
        let applied_now = applied == Applied::Now;
        Ok(json_response(&json!({ "budget": budget, "applied": applied_now })))
    }
}

fn parse_budget(text: &str) -> Result<BudgetId, Refusal> {
    text.parse().map_err(|_| Refusal::not_run(Code::UnknownBudget, text.to_owned()))
}

async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Refusal> {
    let bytes = read_body(request.take_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Refusal::not_run(Code::MalformedRequest, error.to_string()))
}

fn parse_versions(request: &Request) -> Result<(u64, u64), Refusal> {
    let parameter = |name: &str| {
        let pair = request.url().query_pairs().find(|(key, _)| key == name);
        pair.and_then(|(_, value)| value.parse().ok())
    };
    let (from, to) = (parameter("from"), parameter("to"));
    from.zip(to).ok_or_else(|| {
        Refusal::not_run(
            Code::InvalidField,
            "expected the query parameters `from` and `to` with version numbers",
        )
    })
}

//! Orders to engines: load a model, an adapter or a version, or change the role.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_io::Timer;
use berylwheel_config::Fence;
use berylwheel_config::FenceAction;
use berylwheel_config::FencePolicy;
use berylwheel_config::FenceRecord;
use berylwheel_config::FenceResult;
use berylwheel_http::Client;
use berylwheel_http::ClientError;
use berylwheel_http::Expiry;
use berylwheel_http::OutgoingRequest;
use berylwheel_settings::Fencing;
use berylwheel_settings::ServerSettings;
use berylwheel_store::Compare;
use berylwheel_store::LeaseId;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::SwapResult;
use berylwheel_types::BackendId;
use berylwheel_types::Clock;
use berylwheel_types::Code;
use berylwheel_types::FastMap;
use berylwheel_types::FenceNumber;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::Timestamp;
use http_types::Method;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Timeout until an order is sent. Waiting until the lease of another router expires, plus one more
/// lease period, may take 20 s. Together with the timeout of the order itself, the operator gets a
/// response within 30 s.
const ORDER_TIMEOUT: Millis = Millis(25_000);
/// Polling interval of an order that waits for its fence.
const FENCE_POLL_INTERVAL: Millis = Millis(50);
/// Maximum size of a response of an engine, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 10;
const STATUS_CONFLICT: u16 = 409;

/// An order of an operator to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The engine. Not part of the message to the engine.
    #[serde(skip_serializing)]
    pub server: BackendId,
    /// The model to load, or the one that the adapter or version belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The adapter to load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The version to load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// The role to change to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
}

impl Order {
    fn check(&self) -> Result<(), Refusal> {
        let fields = [&self.model, &self.adapter, &self.version, &self.role];
        let loads = fields[..3].iter().any(|field| field.is_some());
        let invalid = |detail| Err(Refusal::not_run(Code::InvalidField, detail));
        if fields.iter().any(|field| field.as_deref() == Some("")) {
            return invalid("an order must not have empty values");
        }
        match (loads, self.role.is_some()) {
            (false, false) => invalid("expected a model, an adapter, a version or a role"),
            (true, true) => invalid("an order cannot both load something and change the role"),
            _ => Ok(()),
        }
    }
}

/// The value of a server's order lease key in the store.
#[derive(Debug, Serialize, Deserialize)]
struct LeaseRecord {
    owner: Incarnation,
    /// The lease that the key is attached to. It is recorded because a write whose response was
    /// lost may take effect after a retry with another lease. Keeping that other lease alive would
    /// not prove ownership of the key.
    lease: u64,
}

/// The right to send orders to one engine.
struct HeldFence {
    fence: Fence,
    fencing: Fencing,
    /// The lease that the order lease key is attached to, if this router owns it.
    lease: Option<LeaseId>,
}

/// Sends orders to engines.
pub struct OrderSender {
    incarnation: Incarnation,
    store: Arc<dyn Store>,
    client: Client,
    clock: Clock,
    /// Order leases that are not in use. They are not kept alive here, so that another router can
    /// acquire them after they expire.
    idle: Mutex<FastMap<BackendId, HeldFence>>,
}

impl OrderSender {
    /// Creates an order sender for the router `incarnation`.
    pub fn new(
        incarnation: Incarnation,
        store: Arc<dyn Store>,
        client: Client,
        clock: Clock,
    ) -> Self {
        Self { incarnation, store, client, clock, idle: Mutex::default() }
    }

    /// Sends an order and returns its fencing number.
    ///
    /// # Errors
    /// [`Code::InvalidField`], [`Code::StoreUnavailable`], [`Code::BackendFailed`],
    /// [`Code::BackendTimeout`], or [`Code::StaleOrder`] if another router may send orders.
    pub async fn send(&self, server: &ServerSettings, order: &Order) -> Result<Value, Refusal> {
        order.check()?;
        let deadline = self.clock.now() + ORDER_TIMEOUT;
        let mut held = self.idle().remove(&server.id).unwrap_or_else(|| HeldFence {
            fence: Fence::new(self.incarnation.clone(), FencePolicy::default()),
            fencing: server.fencing,
            lease: None,
        });
        held.fencing = server.fencing;
        held.fence.acquire(self.clock.now(), &server.id, server.fencing);
        let number = self.acquire(&mut held, &server.id, deadline).await?;
        let timeout = held.fence.order_timeout();
        let lease_end = held.fence.lease_end(&server.id);
        let result = self.post_order(server.address, order, number, timeout, lease_end).await;
        if result.as_ref().is_err_and(|refusal| refusal.code == Code::StaleOrder) {
            held.fence.handle_refusal(self.clock.now(), &server.id);
        }
        // Only an engine that ignores fencing numbers can reuse the fence. An engine that checks
        // them gets a new number with each order, so that its orders are totally ordered.
        if server.fencing == Fencing::Ignored {
            self.idle().insert(server.id.clone(), held);
        }
        result?;
        Ok(json!({ "server": server.id, "fence": number }))
    }

    fn idle(&self) -> MutexGuard<'_, FastMap<BackendId, HeldFence>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until this router may send orders to `server`.
    async fn acquire(
        &self,
        held: &mut HeldFence,
        server: &BackendId,
        deadline: Timestamp,
    ) -> Result<FenceNumber, Refusal> {
        loop {
            let now = self.clock.now();
            let refusal = match held.fence.authorize(now, server) {
                // The deadline is checked again, because the process may have been paused.
                Ok(number) if now < deadline => return Ok(number),
                Ok(_) => Refusal::not_run(
                    Code::StaleOrder,
                    "the order could not be sent before its deadline",
                ),
                Err(refusal) => refusal,
            };
            if now >= deadline {
                return Err(refusal);
            }
            let actions = held.fence.poll(now);
            let no_actions = actions.is_empty();
            for action in actions {
                self.perform(held, action).await?;
            }
            if no_actions {
                Timer::after(FENCE_POLL_INTERVAL.duration()).await;
            }
        }
    }

    async fn perform(&self, held: &mut HeldFence, action: FenceAction) -> Result<(), Refusal> {
        match action {
            FenceAction::Read(server) => {
                let (record, holder) =
                    self.read(&server, held.fencing).await.map_err(unavailable)?;
                let own_lease = holder.as_ref().filter(|holder| holder.owner == self.incarnation);
                held.lease = own_lease.map(|holder| LeaseId(holder.lease));
                let holder = holder.as_ref().map(|holder| &holder.owner);
                held.fence.handle_read(self.clock.now(), &server, record, holder);
            }
            FenceAction::Write { server, prior_revision, record, lease } => {
                let number = record.number;
                let result = self.write(held, &server, prior_revision, &record, lease).await;
                let result = result.map_err(unavailable)?;
                held.fence.handle_write(self.clock.now(), &server, number, result);
            }
            FenceAction::KeepAlive { server, requested_at } => {
                let Some(lease) = held.lease else {
                    held.fence.handle_keep_alive(&server, requested_at, false);
                    return Ok(());
                };
                // Without a response, the lease counts from its last renewal.
                if let Ok(alive) = self.store.keep_alive(lease).await {
                    held.fence.handle_keep_alive(&server, requested_at, alive);
                }
            }
        }
        Ok(())
    }

    async fn read(
        &self,
        server: &BackendId,
        fencing: Fencing,
    ) -> Result<(Option<(FenceRecord, u64)>, Option<LeaseRecord>), StoreError> {
        let invalid_record = |error: serde_json::Error| StoreError::Protocol(error.to_string());
        let entries = self.store.range(&fence_key(server), false, 1).await?;
        let record = match entries.first() {
            Some(entry) => Some((
                serde_json::from_slice(&entry.value).map_err(invalid_record)?,
                entry.revision,
            )),
            None => None,
        };
        if fencing == Fencing::Checked {
            return Ok((record, None));
        }
        let lease = self.store.range(&lease_key(server), false, 1).await?;
        let holder = lease.first().map(|entry| serde_json::from_slice(&entry.value));
        Ok((record, holder.transpose().map_err(invalid_record)?))
    }

    /// Writes the record, and with `lease` the lease key.
    ///
    /// # Errors
    /// Fails if the store grants no lease. Nothing was written then.
    async fn write(
        &self,
        held: &mut HeldFence,
        server: &BackendId,
        prior_revision: u64,
        record: &FenceRecord,
        lease: Option<Millis>,
    ) -> Result<FenceResult, StoreError> {
        let mut compares = vec![Compare::new(fence_key(server), prior_revision)];
        let mut puts = vec![Put::new(fence_key(server), json!(record).to_string())];
        if let Some(ttl) = lease {
            let id = match self.store.grant_lease(ttl).await {
                // A lease whose response was lost is not used and expires.
                Err(StoreError::Unknown) => self.store.grant_lease(ttl).await?,
                granted => granted?,
            };
            compares.push(Compare::absent(lease_key(server)));
            let record = LeaseRecord { owner: self.incarnation.clone(), lease: id.0 };
            puts.push(Put::new(lease_key(server), json!(record).to_string()).lease(id));
            held.lease = Some(id);
        }
        Ok(match self.store.swap(compares, puts).await {
            Ok(SwapResult::Committed(_)) => FenceResult::Committed,
            Ok(SwapResult::Conflict(_)) => FenceResult::NotCommitted,
            Err(_) => FenceResult::Unknown,
        })
    }

    async fn post_order(
        &self,
        address: SocketAddr,
        order: &Order,
        number: FenceNumber,
        timeout: Millis,
        lease_end: Option<Timestamp>,
    ) -> Result<(), Refusal> {
        let mut body = json!(order);
        body["fence"] = json!(number);
        let mut outgoing = OutgoingRequest::new(Method::Post, "/v1/orders")
            .header("content-type", "application/json")
            .body(body.to_string());
        outgoing.pooled = false;
        outgoing.head_timeout = timeout;
        // The process may be paused after the lease was checked, for example while it connects.
        outgoing.expiry = lease_end.map(|time| Expiry { clock: self.clock.clone(), time });
        let fetched = self.client.fetch(address, &outgoing, MAX_RESPONSE_BYTES, timeout).await;
        let (response, bytes) = fetched.map_err(|error| {
            let expired = outgoing.expiry.as_ref().is_some_and(Expiry::is_past);
            if !error.sent && expired {
                return Refusal::not_run(Code::StaleOrder, "the order lease ended before sending");
            }
            client_failure(error)
        })?;
        let status: u16 = response.status().into();
        let detail = || format!("{status}: {}", String::from_utf8_lossy(&bytes));
        match status {
            200..300 => Ok(()),
            STATUS_CONFLICT => Err(Refusal::not_run(Code::StaleOrder, detail())),
            400..500 => Err(Refusal::not_run(Code::BackendFailed, detail())),
            _ => Err(Refusal::unknown(Code::BackendFailed, detail())),
        }
    }
}

fn client_failure(error: ClientError) -> Refusal {
    let code = if error.timed_out { Code::BackendTimeout } else { Code::BackendFailed };
    let refusal = if error.sent { Refusal::unknown } else { Refusal::not_run };
    refusal(code, error.to_string())
}

fn unavailable(error: StoreError) -> Refusal {
    Refusal::not_run(Code::StoreUnavailable, error.to_string())
}

fn fence_key(server: &BackendId) -> String {
    format!("/berylwheel/fence/{server}")
}

fn lease_key(server: &BackendId) -> String {
    format!("/berylwheel/order-lease/{server}")
}

//! Orders to engines: to load a model, an adapter or a version, or to change role.

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

/// An order that could not be sent this long after it arrived is refused. The lease of another
/// router may have to run out and one lease time more to pass (20 s); together with the order's own
/// timeout the operator has an answer within 30 s.
const ORDER_LIMIT: Millis = Millis(25_000);
/// Interval at which a waiting order looks at its fence.
const WAIT_INTERVAL: Millis = Millis(50);
/// The largest answer of an engine, in bytes.
const ANSWER_LIMIT: u64 = 64 << 10;
const CONFLICT: u16 = 409;

/// An order that an operator asks for.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The engine, which is not told its name.
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
            return invalid("empty value in an order");
        }
        match (loads, self.role.is_some()) {
            (false, false) => invalid("expected a model, an adapter, a version or a role"),
            (true, true) => invalid("an order either loads or changes the role"),
            _ => Ok(()),
        }
    }
}

/// The value at a server's lease key.
#[derive(Debug, Serialize, Deserialize)]
struct LeaseRecord {
    owner: Incarnation,
    /// The lease that the key is tied to. A write whose answer was lost may take effect after it was
    /// tried again with another lease, and keeping that other one alive would prove nothing.
    lease: u64,
}

/// The right to send orders to one engine.
struct Held {
    fence: Fence,
    fencing: Fencing,
    /// The lease that the lease key is tied to, if it is this run's.
    lease: Option<LeaseId>,
}

/// Sends orders to engines.
pub struct Orders {
    me: Incarnation,
    store: Arc<dyn Store>,
    client: Client,
    clock: Clock,
    /// Order leases that no order uses now. They are not kept alive here, so that another router
    /// gets them once they have run out.
    idle: Mutex<FastMap<BackendId, Held>>,
}

impl Orders {
    /// Returns the sender of orders of this run.
    pub fn new(me: Incarnation, store: Arc<dyn Store>, client: Client, clock: Clock) -> Self {
        Self { me, store, client, clock, idle: Mutex::default() }
    }

    /// Sends an order and returns the fencing number that it carried.
    ///
    /// # Errors
    /// [`Code::InvalidField`], [`Code::StoreUnavailable`], [`Code::StaleOrder`] if another router
    /// may send orders, and [`Code::BackendFailed`] or [`Code::BackendTimeout`].
    pub async fn send(&self, server: &ServerSettings, order: &Order) -> Result<Value, Refusal> {
        order.check()?;
        let limit = self.clock.now() + ORDER_LIMIT;
        let mut held = self.idle().remove(&server.id).unwrap_or_else(|| Held {
            fence: Fence::new(self.me.clone(), FencePolicy::default()),
            fencing: server.fencing,
            lease: None,
        });
        held.fencing = server.fencing;
        held.fence.acquire(self.clock.now(), &server.id, server.fencing);
        let number = self.acquire(&mut held, &server.id, limit).await?;
        let time = held.fence.order_timeout();
        let sent = self.post(server.address, order, number, time).await;
        if sent.as_ref().is_err_and(|refusal| refusal.code == Code::StaleOrder) {
            held.fence.handle_refusal(self.clock.now(), &server.id);
        }
        // A new number for each order to an engine that checks puts the orders in one sequence.
        if server.fencing == Fencing::Ignored {
            self.idle().insert(server.id.clone(), held);
        }
        sent?;
        Ok(json!({ "server": server.id, "fence": number }))
    }

    fn idle(&self) -> MutexGuard<'_, FastMap<BackendId, Held>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until this router may send to `server`.
    async fn acquire(
        &self,
        held: &mut Held,
        server: &BackendId,
        limit: Timestamp,
    ) -> Result<FenceNumber, Refusal> {
        loop {
            let now = self.clock.now();
            let refusal = match held.fence.authorize(now, server) {
                // A process that was paused for long finds the limit exceeded.
                Ok(number) if now < limit => return Ok(number),
                Ok(_) => Refusal::not_run(Code::StaleOrder, "the order could not be sent in time"),
                Err(refusal) => refusal,
            };
            if now >= limit {
                return Err(refusal);
            }
            let actions = held.fence.poll(now);
            let idle = actions.is_empty();
            for action in actions {
                self.perform(held, action).await?;
            }
            if idle {
                Timer::after(WAIT_INTERVAL.duration()).await;
            }
        }
    }

    async fn perform(&self, held: &mut Held, action: FenceAction) -> Result<(), Refusal> {
        match action {
            FenceAction::Read(server) => {
                let (record, holder) =
                    self.read(&server, held.fencing).await.map_err(unavailable)?;
                let own = holder.as_ref().filter(|holder| holder.owner == self.me);
                held.lease = own.map(|holder| LeaseId(holder.lease));
                let holder = holder.as_ref().map(|holder| &holder.owner);
                held.fence.handle_read(self.clock.now(), &server, record, holder);
            }
            FenceAction::Write { server, prior_revision, record, lease } => {
                let number = record.number;
                let result = self.write(held, &server, prior_revision, &record, lease).await;
                held.fence.handle_write(self.clock.now(), &server, number, result);
            }
            FenceAction::KeepAlive { server, requested_at } => {
                let Some(lease) = held.lease else {
                    held.fence.handle_keep_alive(&server, requested_at, false);
                    return Ok(());
                };
                // Without an answer the lease counts from when it was last kept.
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
        let protocol = |error: serde_json::Error| StoreError::Protocol(error.to_string());
        let entries = self.store.range(&fence_key(server), false, 1).await?;
        let record = match entries.first() {
            Some(entry) => {
                Some((serde_json::from_slice(&entry.value).map_err(protocol)?, entry.revision))
            }
            None => None,
        };
        if fencing == Fencing::Checked {
            return Ok((record, None));
        }
        let lease = self.store.range(&lease_key(server), false, 1).await?;
        let holder = lease.first().map(|entry| serde_json::from_slice(&entry.value));
        Ok((record, holder.transpose().map_err(protocol)?))
    }

    async fn write(
        &self,
        held: &mut Held,
        server: &BackendId,
        expected: u64,
        record: &FenceRecord,
        lease: Option<Millis>,
    ) -> FenceResult {
        let mut compares = vec![Compare::new(fence_key(server), expected)];
        let mut puts = vec![Put::new(fence_key(server), json!(record).to_string())];
        if let Some(time) = lease {
            let Ok(id) = self.store.grant_lease(time).await else {
                return FenceResult::NotCommitted;
            };
            compares.push(Compare::absent(lease_key(server)));
            let record = LeaseRecord { owner: self.me.clone(), lease: id.0 };
            puts.push(Put::new(lease_key(server), json!(record).to_string()).lease(id));
            held.lease = Some(id);
        }
        match self.store.swap(compares, puts).await {
            Ok(SwapResult::Committed(_)) => FenceResult::Committed,
            Ok(SwapResult::Conflict(_)) => FenceResult::NotCommitted,
            Err(_) => FenceResult::Unknown,
        }
    }

    async fn post(
        &self,
        address: SocketAddr,
        order: &Order,
        number: FenceNumber,
        time: Millis,
    ) -> Result<(), Refusal> {
        let mut body = json!(order);
        body["fence"] = json!(number);
        let mut outgoing = OutgoingRequest::new(Method::Post, "/v1/orders")
            .header("content-type", "application/json")
            .body(body.to_string());
        outgoing.pooled = false;
        outgoing.head_timeout = time;
        let fetched = self.client.fetch(address, &outgoing, ANSWER_LIMIT, time).await;
        let (response, bytes) = fetched.map_err(failed)?;
        let status: u16 = response.status().into();
        let detail = || format!("{status}: {}", String::from_utf8_lossy(&bytes));
        match status {
            200..300 => Ok(()),
            CONFLICT => Err(Refusal::not_run(Code::StaleOrder, detail())),
            400..500 => Err(Refusal::not_run(Code::BackendFailed, detail())),
            _ => Err(Refusal::unknown(Code::BackendFailed, detail())),
        }
    }
}

fn failed(error: ClientError) -> Refusal {
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

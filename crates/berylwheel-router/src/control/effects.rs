//! I/O for the control thread. Each operation runs as a task and sends its result as an event.

use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;

use async_channel::Sender;
use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use berylwheel_budget::LedgerPage;
use berylwheel_budget::PageId;
use berylwheel_budget::WriteResult;
use berylwheel_http::Client;
use berylwheel_http::OutgoingRequest;
use berylwheel_http::Traffic;
use berylwheel_http::timeout;
use berylwheel_route::LoadReport;
use berylwheel_store::Compare;
use berylwheel_store::GuardedStore;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::SwapResult;
use berylwheel_types::BackendId;
use berylwheel_types::Clock;
use berylwheel_types::Millis;
use berylwheel_types::StoreEra;
use http_types::Method;
use serde::Deserialize;
use serde_json::Value;

use crate::control::event::Event;
use crate::fleet::relay::store::SharedRelay;
use crate::fleet::restore::RestoreState;
use crate::metrics::Metrics;

/// Timeout of reads of load reports, cache events and the VM list.
const REPORT_TIMEOUT: Millis = Millis(1_000);
/// Pauses before each check whether a server has ended.
const CHECK_PAUSES: [Millis; 2] = [Millis(0), Millis(300)];
/// Maximum size of a load report, cache event list or VM list, in bytes.
const REPORT_LIMIT: u64 = 1 << 20;

/// Starts I/O for the control thread.
#[derive(Clone)]
pub struct Effects {
    /// Executor of the tasks.
    pub executor: Arc<Executor<'static>>,
    /// The key-value store.
    pub store: Arc<dyn Store>,
    /// The same store behind a circuit breaker.
    pub guard: Arc<GuardedStore>,
    /// The same store, whose watches are answered by other routers where possible.
    pub watched: Arc<dyn Store>,
    /// The state of these watches.
    pub relay: Arc<SharedRelay>,
    /// What has to outlast a restore of the store.
    pub(crate) restore_state: Arc<RestoreState>,
    /// HTTP client for backend servers and the VM list.
    pub client: Client,
    /// Channel for the resulting events.
    pub events: Sender<Event>,
    /// Clock that timestamps load reports.
    pub clock: Clock,
    pub metrics: Metrics,
    /// Traffic of the link to the other routers.
    pub peer_traffic: Traffic,
}

impl Effects {
    /// Spawns `task` and sends the event that it returns, if any.
    pub fn spawn(&self, task: impl Future<Output = Option<Event>> + Send + 'static) {
        let effects = self.clone();
        self.executor
            .spawn(async move {
                if let Some(event) = task.await {
                    effects.send(event).await;
                }
            })
            .detach();
    }

    /// Sends an event to the control thread. It is lost if that thread has ended, which happens
    /// only at the end of the process.
    pub async fn send(&self, event: Event) {
        if self.events.send(event).await.is_err() {
            log::debug!("the control thread has ended");
        }
    }

    /// Reads a ledger page.
    pub fn read_page(&self, page: PageId) {
        let store = self.store.clone();
        self.spawn(async move {
            let entries = match store.range(&page.key(), false, 1).await {
                Ok(entries) => entries,
                Err(error) => {
                    log::info!(page:% = page, error:% = error; "failed to read ledger page");
                    return Some(Event::PageReadFailed(page));
                }
            };
            let Some(entry) = entries.first() else {
                return Some(Event::PageRead(page, 0, LedgerPage::default(), store.era()));
            };
            match LedgerPage::decode(&entry.value) {
                Ok(content) => Some(Event::PageRead(page, entry.revision, content, store.era())),
                Err(error) => {
                    log::error!(page:% = page; "failed to decode ledger page: {error}");
                    Some(Event::PageReadFailed(page))
                }
            }
        });
    }

    /// Writes a ledger page if its revision is still `expected`.
    pub fn write_page(&self, page: PageId, expected: u64, content: &LedgerPage) {
        let store = self.store.clone();
        let mut puts = vec![Put::new(page.key(), content.encode())];
        let mut compares = vec![Compare::new(page.key(), expected)];
        let (restore_state, era) = (self.restore_state.clone(), store.era());
        let mut writes_era = false;
        if era != StoreEra::default() {
            let (compare, put) = restore_state.era_entry().conditions();
            compares.push(compare);
            writes_era = put.is_some();
            puts.extend(put);
        }
        self.spawn(async move {
            if store.era() != era {
                return Some(Event::PageWritten(page, WriteResult::Unknown, era));
            }
            let result = match store.swap(compares, puts).await {
                Ok(SwapResult::Committed(revision)) => {
                    if writes_era {
                        restore_state.era_entry().written(revision);
                    }
                    WriteResult::Written(revision)
                }
                Ok(SwapResult::Conflict(entries)) => {
                    restore_state.era_entry().conflicted(&entries);
                    WriteResult::Conflict
                }
                // Includes writes that were rejected or never sent: the holder reads the page
                // again, as it does after a lost response.
                Err(error) => {
                    log::info!(page:% = page, error:% = error; "failed to write ledger page");
                    WriteResult::Unknown
                }
            };
            Some(Event::PageWritten(page, result, era))
        });
    }

    /// Reads the load report of a backend server.
    pub fn probe(&self, server: BackendId, address: SocketAddr) {
        let (client, clock) = (self.client.clone(), self.clock.clone());
        self.spawn(async move {
            let value = fetch_json(&client, address, "/v1/load", REPORT_TIMEOUT).await?;
            let count = |name: &str| value.get(name).and_then(Value::as_u64).unwrap_or(0) as u32;
            let report = LoadReport {
                at: clock.now(),
                in_flight: count("in_flight"),
                queued: count("queued"),
                draining: value.get("draining").and_then(Value::as_bool).unwrap_or(false),
                loaded: None,
            };
            Some(Event::LoadReported(server, report))
        });
    }

    /// Finds out whether a server refuses connections, that is, whether its process has ended. Checks
    /// twice, since a process may lose its connections before its listener.
    pub fn check_server(&self, server: BackendId, address: SocketAddr) {
        let since = self.clock.now();
        self.spawn(async move {
            let mut accepted = 0;
            for pause in CHECK_PAUSES {
                Timer::after(pause.duration()).await;
                let connecting = Async::<TcpStream>::connect(address);
                match timeout(REPORT_TIMEOUT, connecting).await {
                    Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                        return Some(Event::ServerRefused(server));
                    }
                    Some(Err(error)) => {
                        log::debug!(server = server.as_str(), error:% = error; "server not checked");
                    }
                    Some(Ok(_)) => accepted += 1,
                    None => {}
                }
            }
            (accepted == CHECK_PAUSES.len()).then_some(Event::ServerRunning(server, since))
        });
    }

    /// Reads the cache events of an engine that follow sequence number `after`.
    pub fn read_cache(&self, server: BackendId, address: SocketAddr, after: u64) {
        let client = self.client.clone();
        self.spawn(async move {
            let path = format!("/v1/cache?after={after}");
            let value = fetch_json(&client, address, &path, REPORT_TIMEOUT).await?;
            let response: CacheResponse = serde_json::from_value(value).ok()?;
            (!response.events.is_empty()).then_some(Event::CacheChanged(server, response.events))
        });
    }

    /// Reads the platform's list of VMs.
    pub fn read_vms(&self, address: SocketAddr) {
        let client = self.client.clone();
        self.spawn(async move {
            let value = fetch_json(&client, address, "/v1/instances", REPORT_TIMEOUT).await?;
            match serde_json::from_value(value) {
                Ok(vms) => Some(Event::VmListRead(vms)),
                Err(error) => {
                    log::warn!("failed to parse VM list: {error}");
                    None
                }
            }
        });
    }
}

/// Response of an engine to `GET /v1/cache`.
#[derive(Debug, Deserialize)]
struct CacheResponse {
    events: Vec<CacheReport>,
}

/// One cache event of an engine.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct CacheReport {
    /// Sequence number of the event at this engine.
    pub sequence: u64,
    /// Prefix hash that the router sent in the `X-Prefix` header.
    pub prefix: u64,
    /// Whether the prefix was added to the cache; false if it was evicted.
    pub held: bool,
}

/// Fetches a JSON document, or returns `None` if the request or the parsing fails.
pub async fn fetch_json(
    client: &Client,
    address: SocketAddr,
    path: &str,
    timeout: Millis,
) -> Option<Value> {
    let outgoing = OutgoingRequest::new(Method::Get, path);
    let (response, bytes) = client.fetch(address, &outgoing, REPORT_LIMIT, timeout).await.ok()?;
    if response.status() != 200 {
        return None;
    }
    serde_json::from_slice(&bytes).ok()
}

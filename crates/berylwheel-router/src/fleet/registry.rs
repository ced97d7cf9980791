//! The list of routers in the store, through which routers discover each other.

use std::net::SocketAddr;
use std::sync::Arc;

use async_io::Timer;
use berylwheel_store::Compare;
use berylwheel_store::LeaseId;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::SwapResult;
use berylwheel_types::FailureDomain;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use serde::Deserialize;
use serde::Serialize;

use crate::control::effects::Effects;
use crate::control::event::Event;

const KEY_PREFIX: &str = "/berylwheel/routers/";
/// Maximum number of earlier runs in an entry. One is enough unless a router ends again before it
/// has reclaimed the grants of its previous run.
const ENDED_RUNS_LIMIT: usize = 16;
/// Time after which the entry of a router expires unless it is renewed.
const ENTRY_TTL: Millis = Millis(12_000);
/// Interval between renewals of an entry: two may fail before it expires. Expiry may be slow, since
/// heartbeats detect sooner that a router is gone.
const RENEWAL_INTERVAL: Millis = Millis(3_500);
/// Pause after a failed attempt to register.
const REGISTER_RETRY_PAUSE: Millis = Millis(1_000);

/// Entry of a router in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterEntry {
    /// The current run.
    pub incarnation: Incarnation,
    /// Address for the other routers.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Failure domain.
    pub domain: FailureDomain,
    /// Region.
    pub region: String,
    /// Earlier runs of the same name that are known to have ended, oldest first.
    #[serde(default)]
    pub ended: Vec<Incarnation>,
}

/// Reads the entries of all routers.
///
/// # Errors
/// Fails if the store does not answer.
pub async fn read_all(store: &Arc<dyn Store>) -> Result<Vec<RouterEntry>, StoreError> {
    let entries = store.range(KEY_PREFIX, true, 0).await?;
    let decode = |value: &[u8]| serde_json::from_slice(value).ok();
    Ok(entries.iter().filter_map(|entry| decode(&entry.value)).collect())
}

/// Writes the entry of a router, and returns it with the earlier runs that have ended. Retries
/// until the write succeeds.
///
/// The previously listed run has ended if it had the same address, since its port could be bound
/// again. If it had another address, it may still be running.
pub async fn register(store: &Arc<dyn Store>, own: &RouterEntry) -> RouterEntry {
    let key = entry_key(&own.incarnation.router);
    loop {
        if let Ok(entries) = store.range(&key, false, 1).await {
            let entry = entries.first();
            let found: Option<RouterEntry> =
                entry.and_then(|entry| serde_json::from_slice(&entry.value).ok());
            if let Some(found) = &found
                && found.incarnation == own.incarnation
            {
                return found.clone();
            }
            let new = RouterEntry { ended: earlier_ended_runs(own, found), ..own.clone() };
            let compare = Compare::new(key.clone(), entry.map_or(0, |entry| entry.revision));
            let put = Put::new(key.clone(), serde_json::to_vec(&new).unwrap_or_default());
            if let Ok(SwapResult::Committed(_)) = store.swap(vec![compare], vec![put]).await {
                return new;
            }
        }
        Timer::after(REGISTER_RETRY_PAUSE.duration()).await;
    }
}

/// Keeps the entry of a router alive with a lease, and never returns. The entry of a router that is
/// gone expires, so the list does not grow by routers that never come back.
pub async fn maintain_entry(effects: &Effects, own: &RouterEntry) {
    let store = &effects.store;
    loop {
        let mut sent_at = effects.clock.now();
        let lease = match write_with_lease(store, own).await {
            Ok(lease) => lease,
            Err(error) => {
                log::warn!(error:% = error; "failed to register router");
                Timer::after(REGISTER_RETRY_PAUSE.duration()).await;
                continue;
            }
        };
        effects.send(Event::RouterRegistered).await;
        effects.send(Event::EntryConfirmed(sent_at)).await;
        loop {
            Timer::after(RENEWAL_INTERVAL.duration()).await;
            sent_at = effects.clock.now();
            match store.keep_alive(lease).await {
                Ok(true) => effects.send(Event::EntryConfirmed(sent_at)).await,
                Ok(false) => break,
                Err(error) => {
                    log::debug!(error:% = error; "failed to renew the entry of this router")
                }
            }
        }
        log::warn!("the entry of this router has expired; registering again");
    }
}

async fn write_with_lease(
    store: &Arc<dyn Store>,
    own: &RouterEntry,
) -> Result<LeaseId, StoreError> {
    let key = entry_key(&own.incarnation.router);
    let lease = store.grant_lease(ENTRY_TTL).await?;
    let entries = store.range(&key, false, 1).await?;
    let revision = entries.first().map_or(0, |entry| entry.revision);
    let put = Put::new(key.clone(), serde_json::to_vec(own).unwrap_or_default()).lease(lease);
    match store.swap(vec![Compare::new(key, revision)], vec![put]).await? {
        SwapResult::Committed(_) => Ok(lease),
        SwapResult::Conflict(_) => Err(StoreError::Unavailable),
    }
}

fn earlier_ended_runs(own: &RouterEntry, found: Option<RouterEntry>) -> Vec<Incarnation> {
    let Some(found) = found else { return Vec::new() };
    let mut ended = found.ended;
    if found.peer == own.peer {
        ended.push(found.incarnation);
    }
    let surplus = ended.len().saturating_sub(ENDED_RUNS_LIMIT);
    ended.drain(..surplus);
    ended
}

/// Removes the entry of a router that has returned all its grants.
pub async fn deregister(store: &Arc<dyn Store>, own: &Incarnation) {
    let key = entry_key(&own.router);
    let entries = match store.range(&key, false, 1).await {
        Ok(entries) => entries,
        Err(error) => return log::warn!(error:% = error; "failed to deregister router"),
    };
    for entry in entries {
        let found: Option<RouterEntry> = serde_json::from_slice(&entry.value).ok();
        if found.is_some_and(|found| found.incarnation == *own) {
            let compare = Compare::new(key.clone(), entry.revision);
            if let Err(error) = store.swap(vec![compare], vec![Put::delete(key.clone())]).await {
                log::warn!(error:% = error; "failed to deregister router");
            }
        }
    }
}

fn entry_key(router: &RouterId) -> String {
    format!("{KEY_PREFIX}{router}")
}

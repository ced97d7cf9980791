//! Follows what a platform's store holds: the operator's configuration, the backend servers, and the
//! authority that the routers share.

use std::sync::Arc;

use async_io::Timer;
use berylwheel_peer::Authority;
use berylwheel_route::ServerListEvent;
use berylwheel_store::Compare;
use berylwheel_store::Entry;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::SwapResult;
use berylwheel_types::Clock;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;

use crate::control::effects::Effects;
use crate::control::event::Event;
use crate::forward::Platform;

/// The store key of the routers' authority.
const AUTHORITY_KEY: &str = "/berylwheel/authority";
/// Pause after a call of the store that failed. While the store is lost, calls but for probes fail
/// without going out.
const PAUSE: Millis = Millis(100);
/// Pause between an answer of a watch with changes and the next watch. Servers come and go in numbers,
/// and each change would otherwise end a watch of every router.
const BATCH_TIME: Millis = Millis(250);
/// The longest such pause, while changes follow each other. A server that leaves must get no work two
/// seconds later.
const BATCH_LIMIT: Millis = Millis(700);
/// Pause between looks for a configuration before the operator has written the first.
const FIRST_PAUSE: Millis = Millis(200);

/// Reads the operator's configuration and each change of it.
pub async fn follow_configuration(effects: Effects, platform: Arc<dyn Platform>) {
    let key = platform.configuration_key().to_owned();
    loop {
        let (entries, mut revision) = match effects.store.range_with_revision(&key, false).await {
            Ok(read) => read,
            Err(error) => {
                log::debug!(error:% = error; "configuration not read");
                Timer::after(PAUSE.duration()).await;
                continue;
            }
        };
        let Some(entry) = entries.first() else {
            Timer::after(FIRST_PAUSE.duration()).await;
            continue;
        };
        take_configuration(&effects, platform.as_ref(), entry).await;
        let mut batches = Batches::new(&effects.clock);
        loop {
            match effects.store.watch(&key, revision + 1).await {
                Ok(changes) => {
                    for change in changes.iter().filter(|change| !change.deleted) {
                        revision = change.revision;
                        take_configuration(&effects, platform.as_ref(), change).await;
                    }
                    batches.pause_after(&effects.clock, &changes).await;
                }
                Err(error) => {
                    log_failure("configuration", &error);
                    break;
                }
            }
        }
    }
}

/// Lets further changes gather for the next watch, longer when changes came after the last pause at
/// once. A watch that ended without changes has waited already.
#[derive(Debug)]
struct Batches {
    pause: Millis,
    watched: Timestamp,
}

impl Batches {
    fn new(clock: &Clock) -> Self {
        Self { pause: BATCH_TIME, watched: clock.now() }
    }

    async fn pause_after(&mut self, clock: &Clock, changes: &[Entry]) {
        let waited = clock.now().since(self.watched);
        self.pause = match waited < self.pause {
            true => Millis(self.pause.0 * 2).min(BATCH_LIMIT),
            false => BATCH_TIME,
        };
        if !changes.is_empty() {
            Timer::after(self.pause.duration()).await;
        }
        self.watched = clock.now();
    }
}

async fn take_configuration(effects: &Effects, platform: &dyn Platform, entry: &Entry) {
    match platform.configuration(&entry.value) {
        Ok(stated) => {
            effects.send(Event::ExternalConfigRead(Box::new(stated))).await;
        }
        Err(error) => log::error!(revision = entry.revision; "configuration refused: {error}"),
    }
}

/// Reads the list of backend servers and each change of it.
pub async fn follow_servers(effects: Effects, platform: Arc<dyn Platform>) {
    let prefix = platform.servers_prefix().to_owned();
    loop {
        let (entries, mut revision) = match effects.store.range_with_revision(&prefix, true).await {
            Ok(read) => read,
            Err(error) => {
                log::debug!(error:% = error; "list of servers not read");
                effects.send(Event::ServerListEvent(ServerListEvent::StoreFailed)).await;
                Timer::after(PAUSE.duration()).await;
                continue;
            }
        };
        let listed = entries.iter().filter_map(|entry| match news_of(platform.as_ref(), entry) {
            Some(ServerListEvent::Changed(listed)) => Some(*listed),
            _ => None,
        });
        let news = ServerListEvent::All(listed.collect());
        effects.send(Event::ServerListEvent(news)).await;
        let mut batches = Batches::new(&effects.clock);
        loop {
            match effects.store.watch(&prefix, revision + 1).await {
                Ok(changes) => {
                    for change in &changes {
                        revision = revision.max(change.revision);
                        if let Some(news) = news_of(platform.as_ref(), change) {
                            effects.send(Event::ServerListEvent(news)).await;
                        }
                    }
                    batches.pause_after(&effects.clock, &changes).await;
                }
                Err(error) => {
                    log_failure("list of servers", &error);
                    if !matches!(error, StoreError::Compacted(_)) {
                        let news = ServerListEvent::StoreFailed;
                        effects.send(Event::ServerListEvent(news)).await;
                    }
                    break;
                }
            }
        }
    }
}

/// Returns what an entry says. One that cannot be read names no server, so what it replaced is gone.
fn news_of(platform: &dyn Platform, entry: &Entry) -> Option<ServerListEvent> {
    if entry.deleted {
        return platform.server_id(&entry.key).map(ServerListEvent::Removed);
    }
    match platform.server(&entry.key, &entry.value) {
        Ok(listed) => Some(ServerListEvent::Changed(Box::new(listed))),
        Err(error) => {
            log::warn!(key = entry.key.as_str(); "entry names no server: {error}");
            platform.server_id(&entry.key).map(ServerListEvent::Removed)
        }
    }
}

/// Gets this router's certificates from the authority that the store keeps, which the first router
/// makes.
pub async fn fetch_identity(effects: Effects, name: RouterId) {
    loop {
        match shared_authority(&effects.store).await {
            Ok(authority) => {
                match authority.identity(&name) {
                    Ok(identity) => {
                        effects.send(Event::IdentityIssued(identity)).await;
                    }
                    Err(error) => log::error!("no certificate for this router: {error}"),
                }
                return;
            }
            Err(error) => log::debug!(error:% = error; "authority not read"),
        }
        Timer::after(PAUSE.duration()).await;
    }
}

async fn shared_authority(store: &Arc<dyn Store>) -> Result<Authority, StoreError> {
    let entries = store.range(AUTHORITY_KEY, false, 1).await?;
    if let Some(entry) = entries.first() {
        return decode(&entry.value);
    }
    let own = Authority::generate().map_err(|error| StoreError::Protocol(error.to_string()))?;
    let value = serde_json::to_vec(&own).map_err(|e| StoreError::Protocol(e.to_string()))?;
    let put = Put::new(AUTHORITY_KEY, value);
    match store.swap(vec![Compare::absent(AUTHORITY_KEY)], vec![put]).await? {
        SwapResult::Committed(_) => Ok(own),
        SwapResult::Conflict(entries) => match entries.first() {
            Some(entry) => decode(&entry.value),
            None => Err(StoreError::Unavailable),
        },
    }
}

fn decode(value: &[u8]) -> Result<Authority, StoreError> {
    serde_json::from_slice(value).map_err(|error| StoreError::Protocol(error.to_string()))
}

fn log_failure(what: &str, error: &StoreError) {
    match error {
        StoreError::Compacted(_) => log::info!(what; "history is gone, reading anew"),
        error => log::info!(what, error:% = error; "watch ended"),
    }
}

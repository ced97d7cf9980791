//! Watches the platform's store for the operator's keys and the backend servers, and reads
//! the certificate authority that the routers share. In large failure domains, other routers answer
//! most of the watches.

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
use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::StoreEra;
use berylwheel_types::Timestamp;

use crate::control::effects::Effects;
use crate::control::event::Event;
use crate::forward::Platform;
use crate::forward::operator::OperatorKeys;

/// Store key of the certificate authority of the routers.
const AUTHORITY_KEY: &str = "/berylwheel/authority";
/// Delay after a failed store call. While the store is lost, all calls except probes fail without
/// being sent.
const RETRY_DELAY: Millis = Millis(100);
/// Delay between a watch response with changes and the next watch. Many servers come and go at
/// about the same time, and each change would otherwise end a watch of every router.
const BATCH_DELAY: Millis = Millis(250);
/// Maximum delay between watches while changes continue. A server that leaves must receive no work
/// from two seconds later.
const MAX_BATCH_DELAY: Millis = Millis(700);
/// Delay between reads of a certificate authority that is not valid.
const AUTHORITY_DELAY: Millis = Millis(1_000);
/// Maximum length of a message about an invalid entry, in characters.
const MESSAGE_LIMIT: usize = 200;
/// Polling interval for the configuration until the operator has written the first one.
const POLL_INTERVAL: Millis = Millis(200);

/// Reads the operator's keys and watches them for changes: the configuration and the evacuated
/// failure domains.
///
/// A watch returns each version that was written since in full. While versions follow each other
/// quickly, the newest one is read instead, since a large configuration would fill a small link.
pub async fn watch_operator(effects: Effects, platform: Arc<dyn Platform>) {
    let prefix = platform.operator_prefix().to_owned();
    let mut keys = OperatorKeys::new(platform);
    let mut delay = WatchDelay::new(&effects.clock);
    let mut pace = Pace::Slow;
    let mut known_era = effects.watched.era();
    loop {
        let sent_at = effects.clock.now();
        let (entries, mut revision) = match effects.watched.range_with_revision(&prefix, true).await
        {
            Ok(read) => read,
            Err(error) => {
                log::debug!(error:% = error; "cannot read the operator's keys");
                Timer::after(RETRY_DELAY.duration()).await;
                continue;
            }
        };
        let era = effects.watched.era();
        if std::mem::replace(&mut known_era, era) != era {
            keys.forget_revisions();
        }
        let is_reconfigured = send_events(&effects, keys.apply_read(&entries)).await;
        effects.send(Event::OperatorKeysCurrent(sent_at)).await;
        if !keys.has_configuration() {
            Timer::after(POLL_INTERVAL.duration()).await;
            continue;
        }
        if is_reconfigured && pace == Pace::Quick {
            delay.wait_after(&effects.clock, &entries).await;
            continue;
        }
        loop {
            match watch_in_era(&effects, &prefix, era, revision).await {
                Ok(changes) => {
                    revision = last_revision(&changes).max(revision);
                    let is_reconfigured = send_events(&effects, keys.apply_changes(&changes)).await;
                    effects.send(Event::OperatorKeysCurrent(effects.clock.now())).await;
                    pace = delay.wait_after(&effects.clock, &changes).await;
                    if is_reconfigured && pace == Pace::Quick {
                        break;
                    }
                }
                Err(error) => {
                    handle_watch_error("operator keys", &error).await;
                    pace = Pace::Slow;
                    break;
                }
            }
        }
    }
}

/// Watches for changes after `revision`, which was read in `era`.
async fn watch_in_era(
    effects: &Effects,
    prefix: &str,
    era: StoreEra,
    revision: u64,
) -> Result<Vec<Entry>, StoreError> {
    let store = &effects.watched;
    if store.era() != era {
        return Err(StoreError::Restored);
    }
    let changes = store.watch(prefix, revision.saturating_add(1)).await?;
    if store.era() == era { Ok(changes) } else { Err(StoreError::Restored) }
}

/// Sends events to the control thread. Returns whether one of them is about a configuration.
async fn send_events(effects: &Effects, events: Vec<Event>) -> bool {
    let mut is_reconfigured = false;
    for event in events {
        is_reconfigured |= !matches!(event, Event::DomainsEvacuated(_));
        effects.send(event).await;
    }
    is_reconfigured
}

/// How soon a change followed the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pace {
    /// Within the delay after it.
    Quick,
    Slow,
}

/// Delays the next watch so that it returns several changes at once. The delay doubles when a watch
/// returns soon after the previous delay. A watch that returns no changes is not delayed, since it
/// has already waited.
#[derive(Debug)]
struct WatchDelay {
    delay: Millis,
    resumed_at: Timestamp,
}

impl WatchDelay {
    fn new(clock: &Clock) -> Self {
        Self { delay: BATCH_DELAY, resumed_at: clock.now() }
    }

    /// Waits until the next read, and returns how soon `changes` followed the previous ones.
    async fn wait_after(&mut self, clock: &Clock, changes: &[Entry]) -> Pace {
        let waited = clock.now().since(self.resumed_at);
        let follows_soon = !changes.is_empty() && waited < self.delay;
        let pace = if follows_soon { Pace::Quick } else { Pace::Slow };
        self.delay = match pace {
            Pace::Quick => Millis(self.delay.0 * 2).min(MAX_BATCH_DELAY),
            Pace::Slow => BATCH_DELAY,
        };
        if !changes.is_empty() {
            Timer::after(self.delay.duration()).await;
        }
        self.resumed_at = clock.now();
        pace
    }
}

/// Reads the list of backend servers and watches it for changes.
pub async fn watch_servers(effects: Effects, platform: Arc<dyn Platform>) {
    let prefix = platform.servers_prefix().to_owned();
    let mut invalid = InvalidEntries::default();
    loop {
        let (entries, mut revision) = match effects.watched.range_with_revision(&prefix, true).await
        {
            Ok(read) => read,
            Err(error) => {
                log::debug!(error:% = error; "cannot read the server list");
                effects.send(Event::ServerListEvent(ServerListEvent::StoreFailed)).await;
                Timer::after(RETRY_DELAY.duration()).await;
                continue;
            }
        };
        let era = effects.watched.era();
        invalid.retain(&entries);
        let (mut listed, mut replaced) = (Vec::new(), Vec::new());
        for entry in &entries {
            match server_event(platform.as_ref(), &mut invalid, entry) {
                Some(ServerListEvent::Changed(server)) => listed.push(*server),
                Some(event) => replaced.push(event),
                None => {}
            }
        }
        for event in std::iter::once(ServerListEvent::All(listed)).chain(replaced) {
            effects.send(Event::ServerListEvent(event)).await;
        }
        let mut watch_delay = WatchDelay::new(&effects.clock);
        loop {
            match watch_in_era(&effects, &prefix, era, revision).await {
                Ok(changes) => {
                    revision = last_revision(&changes).max(revision);
                    for change in &changes {
                        let event = server_event(platform.as_ref(), &mut invalid, change);
                        if let Some(event) = event {
                            effects.send(Event::ServerListEvent(event)).await;
                        }
                    }
                    watch_delay.wait_after(&effects.clock, &changes).await;
                }
                Err(error) => {
                    if !matches!(error, StoreError::Compacted(_)) {
                        let event = ServerListEvent::StoreFailed;
                        effects.send(Event::ServerListEvent(event)).await;
                    }
                    handle_watch_error("server list", &error).await;
                    break;
                }
            }
        }
    }
}

/// The invalid entries that were logged, each with its revision.
#[derive(Debug, Default)]
struct InvalidEntries(FastMap<String, u64>);

impl InvalidEntries {
    /// Logs an invalid entry, once for each of its revisions.
    fn log(&mut self, entry: &Entry, error: &str) {
        if self.0.insert(entry.key.clone(), entry.revision) == Some(entry.revision) {
            return;
        }
        let (key, error) = (shorten(&entry.key), shorten(error));
        log::warn!(key = key.as_str(); "invalid server entry: {error}");
    }

    /// Forgets the entries that are not among `entries`.
    fn retain(&mut self, entries: &[Entry]) {
        if !self.0.is_empty() {
            self.0.retain(|key, _| entries.iter().any(|entry| entry.key == *key));
        }
    }
}

/// Returns the start of a text that may repeat a value of any length.
pub(crate) fn shorten(text: &str) -> String {
    text.chars().take(MESSAGE_LIMIT).collect()
}

fn last_revision(changes: &[Entry]) -> u64 {
    changes.iter().map(|change| change.revision).max().unwrap_or_default()
}

/// Returns the change of the server list that an entry stands for. An entry that cannot be decoded
/// removes the server, since the entry that it replaced no longer applies.
fn server_event(
    platform: &dyn Platform,
    invalid: &mut InvalidEntries,
    entry: &Entry,
) -> Option<ServerListEvent> {
    if entry.deleted {
        invalid.0.remove(&entry.key);
        return platform.server_id(&entry.key).map(ServerListEvent::Removed);
    }
    match platform.decode_server(&entry.key, &entry.value) {
        Ok(listed) => Some(ServerListEvent::Changed(Box::new(listed))),
        Err(error) => {
            invalid.log(entry, &error);
            platform.server_id(&entry.key).map(ServerListEvent::Replaced)
        }
    }
}

/// Issues this router's certificate from the authority in the store, which the first router
/// generates.
pub async fn fetch_identity(effects: Effects, name: RouterId) {
    let mut logged = String::new();
    loop {
        let identity = load_or_create_authority(&effects.store).await.and_then(|authority| {
            let identity = authority.identity(&name);
            *effects.restore_state.authority() = Some(authority);
            identity.map_err(|error| StoreError::Protocol(error.to_string()))
        });
        match identity {
            Ok(identity) => return effects.send(Event::IdentityIssued(identity)).await,
            Err(StoreError::Protocol(error)) => {
                let error = shorten(&error);
                if logged != error {
                    log::error!("cannot issue the certificate of this router: {error}");
                    logged = error;
                }
                Timer::after(AUTHORITY_DELAY.duration()).await;
            }
            Err(error) => {
                log::debug!(error:% = error; "cannot read the certificate authority");
                Timer::after(RETRY_DELAY.duration()).await;
            }
        }
    }
}

async fn load_or_create_authority(store: &Arc<dyn Store>) -> Result<Authority, StoreError> {
    if let Some(authority) = read_authority(store).await? {
        return Ok(authority);
    }
    let generated =
        Authority::generate().map_err(|error| StoreError::Protocol(error.to_string()))?;
    match store_authority(store, &generated).await? {
        SwapResult::Committed(_) => Ok(generated),
        SwapResult::Conflict(entries) => match entries.first() {
            Some(entry) => decode_authority(&entry.value),
            None => Err(StoreError::Unavailable),
        },
    }
}

/// Reads the certificate authority, which is `None` if there is none in the store.
pub(crate) async fn read_authority(
    store: &Arc<dyn Store>,
) -> Result<Option<Authority>, StoreError> {
    let entries = store.range(AUTHORITY_KEY, false, 1).await?;
    entries.first().map(|entry| decode_authority(&entry.value)).transpose()
}

/// Writes a certificate authority if there is none in the store.
pub(crate) async fn store_authority(
    store: &Arc<dyn Store>,
    authority: &Authority,
) -> Result<SwapResult, StoreError> {
    let value = serde_json::to_vec(authority).map_err(|e| StoreError::Protocol(e.to_string()))?;
    let put = Put::new(AUTHORITY_KEY, value);
    store.swap(vec![Compare::absent(AUTHORITY_KEY)], vec![put]).await
}

fn decode_authority(value: &[u8]) -> Result<Authority, StoreError> {
    serde_json::from_slice(value).map_err(|error| StoreError::Protocol(error.to_string()))
}

/// Logs why a watch ended. Delays the next one if the response cannot be decoded, since the store
/// then answers at once.
async fn handle_watch_error(what: &str, error: &StoreError) {
    match error {
        StoreError::Compacted(_) => {
            log::info!(what; "watch ended: revision was compacted; reading all entries again")
        }
        StoreError::Restored => log::info!(what; "watch ended: reading all entries again"),
        error => log::info!(what, error:% = error; "watch ended"),
    }
    if let StoreError::Protocol(_) = error {
        Timer::after(RETRY_DELAY.duration()).await;
    }
}

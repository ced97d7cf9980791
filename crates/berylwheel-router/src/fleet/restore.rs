//! What a router does when the platform's store was restored from an older copy: it writes again
//! what it knows, and forgets what it compared revisions with.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_io::Timer;
use berylwheel_peer::Authority;
use berylwheel_store::Compare;
use berylwheel_store::Entry;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::SwapResult;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::StoreEra;
use berylwheel_types::Timestamp;
use serde::Serialize;

use crate::control::core::Control;
use crate::control::effects::Effects;
use crate::control::event::Event;
use crate::forward::watch::read_authority;
use crate::forward::watch::store_authority;

/// Store key that states the era in which ledger pages were last written.
const ERA_KEY: &str = "/berylwheel/era";
/// Delay after a failed store call.
const RETRY_DELAY: Millis = Millis(500);

/// The restores that this router has seen, for operators.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Restores {
    /// The era of the store, 0 if it states none.
    pub(crate) era: StoreEra,
    /// Number of restores since the start.
    pub(crate) count: u64,
    /// When the last one was seen.
    pub(crate) last: Option<Timestamp>,
}

/// The entry under [`ERA_KEY`] as this router knows it.
///
/// Revisions are given out again after a restore, so a write that was sent before it may find a page
/// at the revision that it expects. Each write of a page therefore also expects the revision of this
/// entry, and the first one in a new era changes it. Without a restore, the entry does not exist.
#[derive(Debug, Default)]
pub(crate) struct EraEntry {
    revision: u64,
    /// The era that the entry states.
    stated: Option<StoreEra>,
    /// The era in which this router has seen a restore.
    restored: Option<StoreEra>,
}

impl EraEntry {
    /// Records that the store was restored and is now in `era`.
    pub(crate) fn set_restored(&mut self, era: StoreEra) {
        self.restored = Some(era);
    }

    /// Returns the condition for the write of a page, and the write of this entry if it is due.
    pub(crate) fn conditions(&self) -> (Compare, Option<Put>) {
        let due = self.restored.filter(|era| self.stated != Some(*era));
        let put = due.map(|era| Put::new(ERA_KEY, era.to_string()));
        (Compare::new(ERA_KEY, self.revision), put)
    }

    /// Records that a write of a page and of this entry has taken effect.
    pub(crate) fn written(&mut self, revision: u64) {
        (self.revision, self.stated) = (revision, self.restored);
    }

    /// Records the current entries of the keys that a rejected write was conditional on.
    pub(crate) fn conflicted(&mut self, entries: &[Entry]) {
        let entry = entries.iter().find(|entry| entry.key == ERA_KEY);
        self.revision = entry.map_or(0, |entry| entry.revision);
        let text = entry.and_then(|entry| std::str::from_utf8(&entry.value).ok());
        self.stated = text.and_then(|text| text.parse().ok());
    }
}

/// What all tasks that write to the platform's store share.
#[derive(Debug, Default)]
pub(crate) struct RestoreState {
    era_entry: Mutex<EraEntry>,
    /// The certificate authority that this router has its identity from.
    authority: Mutex<Option<Authority>>,
}

impl RestoreState {
    pub(crate) fn era_entry(&self) -> MutexGuard<'_, EraEntry> {
        self.era_entry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn authority(&self) -> MutexGuard<'_, Option<Authority>> {
        self.authority.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Control {
    /// Handles a restore of the store if there was one since the last call.
    pub(crate) fn check_era(&mut self, now: Timestamp) {
        let era = self.effects.store.era();
        let before = std::mem::replace(&mut self.restores.era, era);
        if era == before {
            return;
        }
        self.holder.set_era(now, era);
        self.effects.relay.lock().set_era(now, era);
        self.effects.relay.wake();
        if before == StoreEra::default() {
            return;
        }
        self.restores.count += 1;
        self.restores.last = Some(now);
        self.effects.metrics.count_restore();
        self.effects.restore_state.era_entry().set_restored(era);
        self.fleet.register_again(&self.effects);
        let name = self.incarnation.router.clone();
        self.effects.executor.spawn(restore_authority(self.effects.clone(), name)).detach();
        self.store_holds_again();
        self.schedule_registry_read(now);
    }
}

/// Writes the certificate authority of this router again if the store has none. If it has another
/// one, that one counts for all routers.
async fn restore_authority(effects: Effects, name: RouterId) {
    let Some(known) = effects.restore_state.authority().clone() else { return };
    loop {
        match current_authority(&effects.store, &known).await {
            Ok(current) if current == known => return,
            Ok(current) => {
                log::warn!("the certificate authority in the store has changed");
                match current.identity(&name) {
                    Ok(identity) => {
                        *effects.restore_state.authority() = Some(current);
                        effects.send(Event::IdentityReloaded(identity)).await;
                    }
                    Err(error) => log::error!("cannot issue a certificate: {error}"),
                }
                return;
            }
            Err(error) => log::debug!(error:% = error; "cannot write the certificate authority"),
        }
        Timer::after(RETRY_DELAY.duration()).await;
    }
}

/// Returns the authority in the store, which is `known` if there was none.
async fn current_authority(
    store: &Arc<dyn Store>,
    known: &Authority,
) -> Result<Authority, StoreError> {
    if let Some(current) = read_authority(store).await? {
        return Ok(current);
    }
    match store_authority(store, known).await? {
        SwapResult::Committed(_) => Ok(known.clone()),
        SwapResult::Conflict(_) => Err(StoreError::Unavailable),
    }
}

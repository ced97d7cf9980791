//! The holds of prompt parts in the store, which outlast the loss of all routers.

use std::sync::Arc;

use async_io::Timer;
use berylwheel_store::Compare;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::SwapResult;
use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::PartHold;
use berylwheel_types::PromptPartId;
use berylwheel_types::Timestamp;

use crate::control::core::Control;
use crate::control::effects::Effects;
use crate::control::event::Event;

/// Store key of the holds.
const HOLDS_KEY: &str = "/berylwheel/quarantine";
/// Delay after a failed store call.
const RETRY_DELAY: Millis = Millis(1_000);
/// Maximum number of holds in the store.
const MAX_HOLDS: usize = 64;

/// Reads the holds that earlier routers have stored. Retries until the store answers.
pub(crate) async fn read_holds(effects: Effects) {
    loop {
        match load(&effects.store).await {
            Ok((holds, _)) => return effects.send(Event::HoldsRead(holds)).await,
            Err(error) => log::debug!(error:% = error; "cannot read the quarantined prompt parts"),
        }
        Timer::after(RETRY_DELAY.duration()).await;
    }
}

impl Control {
    /// Writes the holds to the store if they have changed.
    pub(crate) fn store_holds(&mut self, now: Timestamp) {
        if !self.fleet.holds_to_store || now < self.fleet.next_holds_write {
            return;
        }
        self.fleet.holds_to_store = false;
        // Until this write has ended.
        self.fleet.next_holds_write = Timestamp::from_millis(u64::MAX);
        let (store, holds) = (self.effects.store.clone(), self.quarantine.holds());
        self.effects.spawn(async move {
            let written = merge_into_store(&store, holds, now).await;
            if let Err(error) = &written {
                log::info!(error:% = error; "failed to store quarantined prompt parts");
            }
            Some(Event::HoldsWritten(written.is_ok()))
        });
    }

    pub(crate) fn handle_holds_written(&mut self, now: Timestamp, succeeded: bool) {
        self.fleet.next_holds_write = if succeeded { now } else { now + RETRY_DELAY };
        self.fleet.holds_to_store |= !succeeded;
    }
}

/// Merges `holds` with those in the store. A concurrent write of another router fails the write.
async fn merge_into_store(
    store: &Arc<dyn Store>,
    holds: Vec<PartHold>,
    now: Timestamp,
) -> Result<(), StoreError> {
    let (stored, revision) = load(store).await?;
    let mut merged: FastMap<Vec<PromptPartId>, PartHold> = FastMap::default();
    for hold in stored.iter().cloned().chain(holds).filter(|hold| now < hold.until) {
        let is_newer =
            |known: &PartHold| (hold.stamp, hold.released) > (known.stamp, known.released);
        if merged.get(&hold.parts).is_none_or(is_newer) {
            merged.insert(hold.parts.clone(), hold);
        }
    }
    let mut merged: Vec<PartHold> = merged.into_values().collect();
    merged.sort_by(|a, b| b.until.cmp(&a.until).then_with(|| a.parts.cmp(&b.parts)));
    merged.truncate(MAX_HOLDS);
    if merged.len() == stored.len() && merged.iter().all(|hold| stored.contains(hold)) {
        return Ok(());
    }
    let value = serde_json::to_vec(&merged).map_err(|e| StoreError::Protocol(e.to_string()))?;
    let compare = Compare::new(HOLDS_KEY, revision);
    match store.swap(vec![compare], vec![Put::new(HOLDS_KEY, value)]).await? {
        SwapResult::Committed(_) => Ok(()),
        SwapResult::Conflict(_) => Err(StoreError::Unavailable),
    }
}

async fn load(store: &Arc<dyn Store>) -> Result<(Vec<PartHold>, u64), StoreError> {
    let entries = store.range(HOLDS_KEY, false, 1).await?;
    let Some(entry) = entries.first() else { return Ok((Vec::new(), 0)) };
    let holds = serde_json::from_slice(&entry.value).unwrap_or_else(|error| {
        log::error!("quarantined prompt parts in the store cannot be decoded: {error}");
        Vec::new()
    });
    Ok((holds, entry.revision))
}

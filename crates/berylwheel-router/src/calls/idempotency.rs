//! Idempotency records in the store.

use std::sync::Arc;

use async_io::Timer;
use berylwheel_budget::CallState;
use berylwheel_budget::IdempotencyRecord;
use berylwheel_budget::ServiceResponse;
use berylwheel_store::Compare;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::SwapResult;
use berylwheel_types::Millis;
use berylwheel_types::WorkspaceId;

/// Interval between attempts to write or delete a record.
const RETRY_INTERVAL: Millis = Millis(500);
/// Maximum number of attempts to write or delete a record. With [`RETRY_INTERVAL`] they outlast a
/// store outage of one hour.
const MAX_ATTEMPTS: u32 = 10_000;

/// Why a record was not created.
#[derive(Debug)]
pub enum RecordError {
    /// Another attempt has created a record.
    Exists(IdempotencyRecord),
    /// The store is unavailable.
    Unavailable,
}

/// Returns `record` completed with the response of its call.
pub fn completed(record: IdempotencyRecord, response: ServiceResponse) -> IdempotencyRecord {
    let ServiceResponse { status, content_type, body } = response;
    IdempotencyRecord { state: CallState::Done { status, content_type, body }, ..record }
}

fn is_complete(record: &IdempotencyRecord) -> bool {
    matches!(record.state, CallState::Done { .. })
}

/// Accesses the record of one non-idempotent call.
#[derive(Clone)]
pub struct RecordStore {
    store: Arc<dyn Store>,
    key: String,
}

impl RecordStore {
    /// Creates an accessor of the record for the idempotency key `key` in `workspace`.
    pub fn new(store: Arc<dyn Store>, workspace: &WorkspaceId, key: &str) -> Self {
        Self { store, key: format!("/berylwheel/once/{workspace}/{key}") }
    }

    /// Reads the record.
    ///
    /// # Errors
    /// Fails if the store is unavailable or the record is invalid.
    pub async fn read(&self) -> Result<Option<IdempotencyRecord>, StoreError> {
        Ok(self.read_with_revision().await?.map(|(record, _)| record))
    }

    /// Creates the record and returns its revision. If the response of the store is lost, the
    /// record is read to find out whether it was created.
    ///
    /// # Errors
    /// [`RecordError::Exists`] if another attempt has created the record, and
    /// [`RecordError::Unavailable`] if the store is unavailable.
    pub async fn create(&self, record: &IdempotencyRecord) -> Result<u64, RecordError> {
        let compare = Compare::absent(self.key.clone());
        let put = Put::new(self.key.clone(), record.encode());
        let current = match self.store.swap(vec![compare], vec![put]).await {
            Ok(SwapResult::Committed(revision)) => return Ok(revision),
            Ok(SwapResult::Conflict(_)) | Err(StoreError::Unknown) => {
                self.read_with_revision().await
            }
            Err(_) => return Err(RecordError::Unavailable),
        };
        match current {
            Ok(Some((found, revision))) if found.attempt == record.attempt => Ok(revision),
            Ok(Some((found, _))) => Err(RecordError::Exists(found)),
            Ok(None) | Err(_) => Err(RecordError::Unavailable),
        }
    }

    /// Writes a completed record, and retries until the store accepts it.
    pub async fn complete(&self, record: &IdempotencyRecord, revision: u64) {
        let mut revision = revision;
        for _ in 0..MAX_ATTEMPTS {
            let compare = Compare::new(self.key.clone(), revision);
            let put = Put::new(self.key.clone(), record.encode());
            match self.store.swap(vec![compare], vec![put]).await {
                Ok(SwapResult::Committed(_)) => return,
                Ok(SwapResult::Conflict(_)) => match self.read_with_revision().await {
                    // An earlier write took effect although its response was lost, or another
                    // router recorded the response after a lookup.
                    Ok(Some((found, _))) if is_complete(&found) => return,
                    Ok(Some((_, found))) => revision = found,
                    Ok(None) => return,
                    Err(_) => {}
                },
                Err(_) => {
                    Timer::after(RETRY_INTERVAL.duration()).await;
                }
            }
        }
        log::error!(key = self.key.as_str(); "the response of a call could not be recorded");
    }

    /// Completes the record of a router that has ended with the response found by a lookup.
    pub async fn complete_existing(&self, response: ServiceResponse) {
        if let Ok(Some((record, revision))) = self.read_with_revision().await
            && !is_complete(&record)
        {
            self.complete(&completed(record, response), revision).await;
        }
    }

    /// Deletes the record of an attempt that has sent nothing.
    pub async fn delete_unsent(&self, record: &IdempotencyRecord) {
        for _ in 0..MAX_ATTEMPTS {
            match self.read_with_revision().await {
                Ok(Some((found, revision))) if found.attempt == record.attempt => {
                    let compare = Compare::new(self.key.clone(), revision);
                    let delete = Put::delete(self.key.clone());
                    if self.store.swap(vec![compare], vec![delete]).await.is_ok() {
                        return;
                    }
                }
                Ok(_) => return,
                Err(_) => {}
            }
            Timer::after(RETRY_INTERVAL.duration()).await;
        }
    }

    async fn read_with_revision(&self) -> Result<Option<(IdempotencyRecord, u64)>, StoreError> {
        let entries = self.store.range(&self.key, false, 1).await?;
        let Some(entry) = entries.into_iter().next() else { return Ok(None) };
        let invalid = || StoreError::Protocol("not an idempotency record".to_owned());
        let record = IdempotencyRecord::decode(&entry.value).ok_or_else(invalid)?;
        Ok(Some((record, entry.revision)))
    }
}

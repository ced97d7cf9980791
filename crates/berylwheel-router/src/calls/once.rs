//! Idempotency records in the store.

use std::sync::Arc;

use async_io::Timer;
use berylwheel_budget::OnceAnswer;
use berylwheel_budget::OnceRecord;
use berylwheel_budget::OnceState;
use berylwheel_store::Compare;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::SwapResult;
use berylwheel_types::Millis;
use berylwheel_types::WorkspaceId;

/// Interval between attempts to write a result or to withdraw a record.
const RETRY_INTERVAL: Millis = Millis(500);
/// Attempts to write a result; the store may be down for an hour.
const RETRY_LIMIT: u32 = 10_000;

/// Why a record was not created.
#[derive(Debug)]
pub enum RecordError {
    /// Another attempt has a record.
    Exists(OnceRecord),
    /// The store does not answer.
    Unavailable,
}

/// Returns `record` with the result of its call.
pub fn done(record: OnceRecord, result: OnceAnswer) -> OnceRecord {
    let OnceAnswer { status, content_type, body } = result;
    OnceRecord { state: OnceState::Done { status, content_type, body }, ..record }
}

fn is_done(record: &OnceRecord) -> bool {
    matches!(record.state, OnceState::Done { .. })
}

/// The record of one call that must not be repeated.
#[derive(Clone)]
pub struct OnceStore {
    store: Arc<dyn Store>,
    key: String,
}

impl OnceStore {
    /// Returns the place of the record for `key` in `workspace`.
    pub fn new(store: Arc<dyn Store>, workspace: &WorkspaceId, key: &str) -> Self {
        Self { store, key: format!("/berylwheel/once/{workspace}/{key}") }
    }

    /// Reads the record.
    ///
    /// # Errors
    /// Fails if the store does not answer.
    pub async fn read(&self) -> Result<Option<OnceRecord>, StoreError> {
        Ok(self.read_revision().await?.map(|(record, _)| record))
    }

    /// Creates the record and returns its revision. An answer that was lost is resolved by reading.
    ///
    /// # Errors
    /// [`RecordError::Exists`] if another attempt was first.
    pub async fn create(&self, record: &OnceRecord) -> Result<u64, RecordError> {
        let compare = Compare::absent(self.key.clone());
        let put = Put::new(self.key.clone(), record.encode());
        let known = match self.store.swap(vec![compare], vec![put]).await {
            Ok(SwapResult::Committed(revision)) => return Ok(revision),
            Ok(SwapResult::Conflict(_)) | Err(StoreError::Unknown) => self.read_revision().await,
            Err(_) => return Err(RecordError::Unavailable),
        };
        match known {
            Ok(Some((found, revision))) if found.attempt == record.attempt => Ok(revision),
            Ok(Some((found, _))) => Err(RecordError::Exists(found)),
            Ok(None) | Err(_) => Err(RecordError::Unavailable),
        }
    }

    /// Writes the result of a call until the store takes it.
    pub async fn complete(&self, record: &OnceRecord, revision: u64) {
        let mut revision = revision;
        for _ in 0..RETRY_LIMIT {
            let compare = Compare::new(self.key.clone(), revision);
            let put = Put::new(self.key.clone(), record.encode());
            match self.store.swap(vec![compare], vec![put]).await {
                Ok(SwapResult::Committed(_)) => return,
                Ok(SwapResult::Conflict(_)) => match self.read_revision().await {
                    // A lost answer, or another router that asked the service, was first.
                    Ok(Some((found, _))) if is_done(&found) => return,
                    Ok(Some((_, found))) => revision = found,
                    Ok(None) => return,
                    Err(_) => {}
                },
                Err(_) => {
                    Timer::after(RETRY_INTERVAL.duration()).await;
                }
            }
        }
        log::error!(key = self.key.as_str(); "the result of a call could not be recorded");
    }

    /// Writes a result that a service reported for a record of a router that is gone.
    pub async fn resolve(&self, result: OnceAnswer) {
        if let Ok(Some((record, revision))) = self.read_revision().await
            && !is_done(&record)
        {
            self.complete(&done(record, result), revision).await;
        }
    }

    /// Deletes the record of an attempt of which no byte was sent.
    pub async fn withdraw(&self, record: &OnceRecord) {
        for _ in 0..RETRY_LIMIT {
            match self.read_revision().await {
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

    async fn read_revision(&self) -> Result<Option<(OnceRecord, u64)>, StoreError> {
        let entries = self.store.range(&self.key, false, 1).await?;
        let Some(entry) = entries.into_iter().next() else { return Ok(None) };
        let broken = || StoreError::Protocol("not an idempotency record".to_owned());
        let record = OnceRecord::decode(&entry.value).ok_or_else(broken)?;
        Ok(Some((record, entry.revision)))
    }
}

//! Changes of the configuration in the store.

use std::sync::Arc;

use async_io::Timer;
use berylwheel_config::Change;
use berylwheel_config::ChangeAction;
use berylwheel_config::Part;
use berylwheel_config::PartRef;
use berylwheel_config::Proposal;
use berylwheel_config::ROOT_KEY;
use berylwheel_config::Root;
use berylwheel_config::Transaction;
use berylwheel_config::diff;
use berylwheel_config::join;
use berylwheel_config::propose;
use berylwheel_settings::Edit;
use berylwheel_settings::Settings;
use berylwheel_store::Compare;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::SwapResult;
use berylwheel_types::ChangeId;
use berylwheel_types::Clock;
use berylwheel_types::Code;
use berylwheel_types::ExecutionState;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::Version;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

/// Attempts at one change whose answers are lost.
const ATTEMPT_LIMIT: u32 = 5;
/// Pause after a lost answer.
const ATTEMPT_PAUSE: Millis = Millis(100);

/// A change that an operator asks for.
#[derive(Debug, Deserialize)]
pub struct ChangeRequest {
    /// Makes the change recognisable when it is sent again.
    pub change: ChangeId,
    /// The version that the operator saw; without it the change applies to the present one.
    pub base: Option<Version>,
    /// What to change.
    pub edits: Vec<EditRequest>,
}

/// A change of one key.
#[derive(Debug, Deserialize)]
pub struct EditRequest {
    /// The section.
    pub section: String,
    /// The key, empty for the whole section.
    pub key: String,
    /// The new value, or none to remove it.
    pub value: Option<String>,
}

/// A rollback that an operator asks for.
#[derive(Debug, Deserialize)]
pub struct RollbackRequest {
    /// Makes the change recognisable when it is sent again.
    pub change: ChangeId,
    /// The version whose settings come back, under a new number.
    pub version: Version,
}

/// The configuration in the store.
#[derive(Clone)]
pub struct Configuration {
    /// The platform's key-value service.
    pub store: Arc<dyn Store>,
    /// Time.
    pub clock: Clock,
}

/// The present root with its settings and the store's revision of it.
type Current = Option<(Root, Settings, u64)>;

impl Configuration {
    /// Returns the version in the store and its settings as INI.
    ///
    /// # Errors
    /// Fails if the store does not answer or holds no configuration.
    pub async fn show(&self) -> Result<Value, Refusal> {
        let (root, settings, _) = self.present().await?;
        Ok(json!({ "version": root.version, "settings": settings.to_ini() }))
    }

    /// Returns the kept versions, the newest first.
    ///
    /// # Errors
    /// As [`Configuration::show`].
    pub async fn history(&self) -> Result<Value, Refusal> {
        let (root, _, _) = self.present().await?;
        let rows = root.history.iter().map(|past| {
            json!({
                "version": past.version,
                "change": past.change,
                "author": past.author,
                "at": past.at,
                "summary": past.summary,
            })
        });
        Ok(Value::Array(rows.collect()))
    }

    /// Returns what two versions set differently.
    ///
    /// # Errors
    /// As [`Configuration::show`], and if a version is not kept.
    pub async fn diff(&self, from: u64, to: u64) -> Result<Value, Refusal> {
        let (root, _, _) = self.present().await?;
        let old = self.settings_of(&root, Version(from)).await?;
        let new = self.settings_of(&root, Version(to)).await?;
        Ok(diff(&old, &new).iter().map(|line| Value::String(line.to_string())).collect())
    }

    /// Applies an operator's edits.
    ///
    /// # Errors
    /// [`Code::InvalidSetting`], [`Code::ChangeConflict`] or [`Code::ChangeUnavailable`].
    pub async fn change(&self, request: ChangeRequest, author: &str) -> Result<Value, Refusal> {
        let edits = request.edits.into_iter().map(|edit| {
            let section = edit.section.parse().map_err(|error| {
                Refusal::not_run(Code::InvalidSetting, format!("[{}]: {error}", edit.section))
            })?;
            Ok(Edit { section, key: edit.key, value: edit.value })
        });
        let edits: Vec<Edit> = edits.collect::<Result<_, Refusal>>()?;
        self.submit(request.change, request.base, author, ChangeAction::Edit(edits)).await
    }

    /// Puts the settings of an earlier version in force as a new version.
    ///
    /// # Errors
    /// As [`Configuration::change`].
    pub async fn roll_back(
        &self,
        request: RollbackRequest,
        author: &str,
    ) -> Result<Value, Refusal> {
        let (root, _, _) = self.present().await?;
        let settings = self.settings_of(&root, request.version).await?;
        self.submit(request.change, None, author, ChangeAction::Replace(settings)).await
    }

    /// Stores the first configuration.
    ///
    /// # Errors
    /// As [`Configuration::change`], and [`Code::ChangeConflict`] if there is one already.
    pub async fn init(&self, change: ChangeId, settings: Settings) -> Result<Value, Refusal> {
        let action = ChangeAction::Replace(settings);
        self.submit(change, Some(Version(0)), "init", action).await
    }

    async fn submit(
        &self,
        id: ChangeId,
        base: Option<Version>,
        author: &str,
        action: ChangeAction,
    ) -> Result<Value, Refusal> {
        let mut change = Change { id, base: Version(0), author: author.to_owned(), action };
        let mut fixed = base;
        let mut sent = false;
        for _ in 0..ATTEMPT_LIMIT {
            let failed = |refusal: Refusal| match sent {
                // An earlier attempt may have been accepted.
                true => Refusal { ran: ExecutionState::Unknown, ..refusal },
                false => refusal,
            };
            let current = self.current().await.map_err(failed)?;
            let version = current.as_ref().map(|(root, _, _)| root.version).unwrap_or_default();
            // Without a base from the operator the first one read counts: a change that was
            // accepted in between is told to the operator and not overwritten.
            change.base = *fixed.get_or_insert(version);
            let known = current.as_ref().map(|(root, settings, _)| (root, settings));
            let transaction = match propose(known, &change, self.clock.now())? {
                Proposal::Accepted(version) => return Ok(json!({ "version": version })),
                Proposal::Write(transaction) => transaction,
            };
            let revision = current.as_ref().map_or(0, |(_, _, revision)| *revision);
            match self.write(&transaction, revision).await {
                Ok(SwapResult::Committed(_)) => {
                    let version = transaction.root.version;
                    log::info!(
                        version = version.0, change = change.id.as_str(), author = author;
                        "configuration change accepted"
                    );
                    return Ok(json!({ "version": version }));
                }
                // Read again: the change id tells whether this change was accepted.
                Ok(SwapResult::Conflict(_)) => {}
                Err(StoreError::Unknown) => sent = true,
                Err(error) => return Err(failed(unavailable(error))),
            }
            Timer::after(ATTEMPT_PAUSE.duration()).await;
        }
        Err(Refusal::unknown(Code::ChangeUnavailable, "the store's answers are lost"))
    }

    async fn write(
        &self,
        transaction: &Transaction,
        revision: u64,
    ) -> Result<SwapResult, StoreError> {
        let compare = Compare::new(ROOT_KEY, revision);
        let mut puts: Vec<Put> =
            transaction.puts().into_iter().map(|(key, value)| Put::new(key, value)).collect();
        puts.extend(transaction.obsolete.iter().map(|part| Put::delete(part.key())));
        self.store.swap(vec![compare], puts).await
    }

    async fn present(&self) -> Result<(Root, Settings, u64), Refusal> {
        let none = || Refusal::not_run(Code::ConfigurationUnknown, "the store holds none");
        self.current().await?.ok_or_else(none)
    }

    async fn current(&self) -> Result<Current, Refusal> {
        let Some((root, revision)) = read_root(&self.store).await.map_err(unavailable)? else {
            return Ok(None);
        };
        let parts = read_parts(&self.store, &root.part_refs()).await.map_err(unavailable)?;
        let settings = join(&parts)
            .map_err(|errors| Refusal::not_run(Code::InvalidSetting, errors.to_string()))?;
        Ok(Some((root, settings, revision)))
    }

    async fn settings_of(&self, root: &Root, version: Version) -> Result<Settings, Refusal> {
        let parts = read_parts(&self.store, &root.parts_of(version)?).await.map_err(unavailable)?;
        join(&parts).map_err(|errors| Refusal::not_run(Code::InvalidSetting, errors.to_string()))
    }
}

/// Reads the root and its revision.
///
/// # Errors
/// Fails if the store does not answer or holds something else.
pub async fn read_root(store: &Arc<dyn Store>) -> Result<Option<(Root, u64)>, StoreError> {
    let entries = store.range(ROOT_KEY, false, 1).await?;
    let Some(entry) = entries.first() else { return Ok(None) };
    let root =
        Root::from_json(&entry.value).map_err(|error| StoreError::Protocol(error.to_string()))?;
    Ok(Some((root, entry.revision)))
}

/// Reads parts of a configuration. One read of all parts costs less than many of single ones.
///
/// # Errors
/// Fails if the store does not answer or a part is missing.
pub async fn read_parts(
    store: &Arc<dyn Store>,
    wanted: &[PartRef],
) -> Result<Vec<Part>, StoreError> {
    /// Parts that are read one by one rather than with all kept versions.
    const SINGLE_LIMIT: usize = 4;
    let mut parts = Vec::new();
    if wanted.len() <= SINGLE_LIMIT {
        for part in wanted {
            let entries = store.range(&part.key(), false, 1).await?;
            parts.extend(entries.first().map(|entry| part_of(part, &entry.value)));
        }
    } else {
        let entries = store.range("/berylwheel/config/part/", true, 0).await?;
        for part in wanted {
            let key = part.key();
            let entry = entries.iter().find(|entry| entry.key == key);
            parts.extend(entry.map(|entry| part_of(part, &entry.value)));
        }
    }
    if parts.len() < wanted.len() {
        return Err(StoreError::Protocol("a part of the configuration is missing".to_owned()));
    }
    Ok(parts)
}

fn part_of(part: &PartRef, value: &[u8]) -> Part {
    Part { index: part.index, text: String::from_utf8_lossy(value).into_owned() }
}

fn unavailable(error: StoreError) -> Refusal {
    Refusal::not_run(Code::ChangeUnavailable, error.to_string())
}

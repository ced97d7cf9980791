//! Reads and changes the configuration in the store.

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
use berylwheel_settings::SectionName;
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
use berylwheel_types::FailureDomain;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::Version;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

/// Maximum number of attempts to write one change.
const MAX_ATTEMPTS: u32 = 5;
/// Delay between attempts.
const RETRY_DELAY: Millis = Millis(100);

/// A change request of an operator.
#[derive(Debug, Deserialize)]
pub struct ChangeRequest {
    /// Identifies the change if it is sent again.
    pub change: ChangeId,
    /// The version that the change is based on. Without it, the change applies to the current
    /// version.
    pub base: Option<Version>,
    /// The edits.
    pub edits: Vec<EditRequest>,
}

/// An edit of one key.
#[derive(Debug, Deserialize)]
pub struct EditRequest {
    /// The section.
    pub section: String,
    /// The key, or an empty string for the whole section.
    pub key: String,
    /// The new value. Without it, the key or section is removed.
    pub value: Option<String>,
}

/// A rollback request of an operator.
#[derive(Debug, Deserialize)]
pub struct RollbackRequest {
    /// Identifies the change if it is sent again.
    pub change: ChangeId,
    /// The version to restore. Its settings get a new version number.
    pub version: Version,
}

/// Reads and changes the configuration in the store.
#[derive(Clone)]
pub struct ConfigStore {
    /// The platform's key-value store.
    pub store: Arc<dyn Store>,
    /// The clock.
    pub clock: Clock,
}

/// The current root, its settings and the store revision of the root, or `None` if the store holds
/// no configuration.
type StoredConfig = Option<(Root, Settings, u64)>;

impl ConfigStore {
    /// Returns the current version and its settings in INI format.
    ///
    /// # Errors
    /// Fails if the store is unavailable, or holds no configuration or an invalid one.
    pub async fn show(&self) -> Result<Value, Refusal> {
        let (root, settings, _) = self.require_current().await?;
        Ok(json!({ "version": root.version, "settings": settings.to_ini() }))
    }

    /// Returns the history of versions, newest first.
    ///
    /// # Errors
    /// As [`ConfigStore::show`].
    pub async fn history(&self) -> Result<Value, Refusal> {
        let (root, _, _) = self.require_current().await?;
        let rows = root.history.iter().map(|entry| {
            json!({
                "version": entry.version,
                "change": entry.change,
                "author": entry.author,
                "at": entry.at,
                "summary": entry.summary,
            })
        });
        Ok(Value::Array(rows.collect()))
    }

    /// Returns the differences between the settings of two versions.
    ///
    /// # Errors
    /// As [`ConfigStore::show`], and if a version is not in the history.
    pub async fn diff(&self, from: u64, to: u64) -> Result<Value, Refusal> {
        let (root, _, _) = self.require_current().await?;
        let old = self.settings_at(&root, Version(from)).await?;
        let new = self.settings_at(&root, Version(to)).await?;
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
        self.check_domains(&edits).await?;
        self.submit(request.change, request.base, author, ChangeAction::Edit(edits)).await
    }

    /// Checks that the failure domains that `edits` evacuate exist. A misspelled name would be
    /// accepted and have no effect.
    async fn check_domains(&self, edits: &[Edit]) -> Result<(), Refusal> {
        let evacuated = edits.iter().filter(|edit| edit.value.is_some());
        let evacuated = evacuated.filter_map(|edit| match &edit.section {
            SectionName::Domain(domain) => Some(domain),
            _ => None,
        });
        let evacuated: Vec<&FailureDomain> = evacuated.collect();
        if evacuated.is_empty() {
            return Ok(());
        }
        let (_, settings, _) = self.require_current().await?;
        let servers = settings.servers().iter().map(|server| server.domain.as_str());
        let mut known: Vec<&str> = servers.collect();
        known.sort_unstable();
        known.dedup();
        match evacuated.into_iter().find(|domain| !known.contains(&domain.as_str())) {
            None => Ok(()),
            Some(unknown) => {
                let known = known.join(", ");
                let detail = format!("no server in failure domain {unknown}; there are: {known}");
                Err(Refusal::not_run(Code::InvalidSetting, detail))
            }
        }
    }

    /// Restores the settings of an earlier version as a new version.
    ///
    /// # Errors
    /// As [`ConfigStore::change`].
    pub async fn roll_back(
        &self,
        request: RollbackRequest,
        author: &str,
    ) -> Result<Value, Refusal> {
        let (root, _, _) = self.require_current().await?;
        let settings = self.settings_at(&root, request.version).await?;
        self.submit(request.change, None, author, ChangeAction::Replace(settings)).await
    }

    /// Stores the initial configuration.
    ///
    /// # Errors
    /// As [`ConfigStore::change`], and [`Code::ChangeConflict`] if there is one already.
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
        let mut first_base = base;
        let mut unconfirmed = false;
        for _ in 0..MAX_ATTEMPTS {
            let to_refusal = |refusal: Refusal| match unconfirmed {
                // An earlier attempt may have been accepted.
                true => Refusal { ran: ExecutionState::Unknown, ..refusal },
                false => refusal,
            };
            let current = self.current().await.map_err(to_refusal)?;
            let version = current.as_ref().map(|(root, _, _)| root.version).unwrap_or_default();
            // Without a base from the operator, the version of the first attempt is the base. A
            // concurrent change is then reported as a conflict instead of being overwritten.
            change.base = *first_base.get_or_insert(version);
            let existing = current.as_ref().map(|(root, settings, _)| (root, settings));
            let transaction = match propose(existing, &change, self.clock.now())? {
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
                // The next attempt reads the root, where the change id tells whether this change
                // was accepted.
                Ok(SwapResult::Conflict(_)) => {}
                Err(StoreError::Unknown) => unconfirmed = true,
                Err(error) => return Err(to_refusal(unavailable(error))),
            }
            Timer::after(RETRY_DELAY.duration()).await;
        }
        Err(Refusal::unknown(
            Code::ChangeUnavailable,
            "too many attempts conflicted or went unconfirmed",
        ))
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

    async fn require_current(&self) -> Result<(Root, Settings, u64), Refusal> {
        let missing =
            || Refusal::not_run(Code::ConfigurationUnknown, "the store holds no configuration");
        self.current().await?.ok_or_else(missing)
    }

    async fn current(&self) -> Result<StoredConfig, Refusal> {
        let Some((root, revision)) = read_root(&self.store).await.map_err(unavailable)? else {
            return Ok(None);
        };
        let parts = read_parts(&self.store, &root.part_refs()).await.map_err(unavailable)?;
        let settings = join(&parts)
            .map_err(|errors| Refusal::not_run(Code::InvalidSetting, errors.to_string()))?;
        Ok(Some((root, settings, revision)))
    }

    async fn settings_at(&self, root: &Root, version: Version) -> Result<Settings, Refusal> {
        let parts = read_parts(&self.store, &root.parts_of(version)?).await.map_err(unavailable)?;
        join(&parts).map_err(|errors| Refusal::not_run(Code::InvalidSetting, errors.to_string()))
    }
}

/// Reads the configuration root and its store revision.
///
/// # Errors
/// Fails if the store is unavailable or the root is invalid.
pub async fn read_root(store: &Arc<dyn Store>) -> Result<Option<(Root, u64)>, StoreError> {
    let entries = store.range(ROOT_KEY, false, 1).await?;
    let Some(entry) = entries.first() else { return Ok(None) };
    let root =
        Root::from_json(&entry.value).map_err(|error| StoreError::Protocol(error.to_string()))?;
    Ok(Some((root, entry.revision)))
}

/// Reads configuration parts. Many parts are read with one range read, which is cheaper than many
/// single reads although it returns the parts of all kept versions.
///
/// # Errors
/// Fails if the store is unavailable or a part is missing.
pub async fn read_parts(store: &Arc<dyn Store>, refs: &[PartRef]) -> Result<Vec<Part>, StoreError> {
    /// Maximum number of parts that are read one by one.
    const MAX_SINGLE_READS: usize = 4;
    let mut parts = Vec::new();
    if refs.len() <= MAX_SINGLE_READS {
        for part in refs {
            let entries = store.range(&part.key(), false, 1).await?;
            parts.extend(entries.first().map(|entry| to_part(part, &entry.value)));
        }
    } else {
        let entries = store.range("/berylwheel/config/part/", true, 0).await?;
        for part in refs {
            let key = part.key();
            let entry = entries.iter().find(|entry| entry.key == key);
            parts.extend(entry.map(|entry| to_part(part, &entry.value)));
        }
    }
    if parts.len() < refs.len() {
        return Err(StoreError::Protocol("a configuration part is missing".to_owned()));
    }
    Ok(parts)
}

fn to_part(part: &PartRef, value: &[u8]) -> Part {
    Part { index: part.index, text: String::from_utf8_lossy(value).into_owned() }
}

fn unavailable(error: StoreError) -> Refusal {
    Refusal::not_run(Code::ChangeUnavailable, error.to_string())
}

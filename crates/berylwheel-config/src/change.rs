//! Validation of configuration changes and the store transactions that they need.

use berylwheel_settings::Edit;
use berylwheel_settings::Settings;
use berylwheel_types::ChangeId;
use berylwheel_types::Code;
use berylwheel_types::Refusal;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;

use crate::Difference;
use crate::HistoryEntry;
use crate::Part;
use crate::PartRef;
use crate::ROOT_KEY;
use crate::Root;
use crate::diff;
use crate::split;

/// Number of differences listed in a summary. The root stores up to 64 summaries and must stay
/// small.
const MAX_SUMMARY_ITEMS: usize = 4;

/// Maximum size of a part's text, in bytes. The store accepts values up to 1 MB.
const MAX_PART_BYTES: usize = 512 * 1024;

/// A change requested by an operator.
#[derive(Debug, Clone)]
pub struct Change {
    /// The id of the change, chosen by the operator's command. Retries use the same id, so the
    /// change is applied only once.
    pub id: ChangeId,
    /// The version that the change is based on; zero if there was none.
    pub base: Version,
    /// The operator who requests the change.
    pub author: String,
    /// What the change does.
    pub action: ChangeAction,
}

/// What a change does.
#[derive(Debug, Clone)]
pub enum ChangeAction {
    /// Sets and removes individual keys.
    Edit(Vec<Edit>),
    /// Replaces all settings, with a whole file or, for a rollback, an earlier version.
    Replace(Settings),
}

/// The result of checking a change against the current configuration.
#[derive(Debug)]
pub enum Proposal {
    /// The change was already accepted as this version; there is nothing to write.
    Accepted(Version),
    /// The transaction to commit, provided that the root has not changed since it was read.
    Write(Box<Transaction>),
}

/// The store writes of a change.
#[derive(Debug, Clone)]
pub struct Transaction {
    /// The new root.
    pub root: Root,
    /// The settings of the new version.
    pub settings: Settings,
    /// The new content of the parts that the change modifies.
    pub parts: Vec<Part>,
    /// Parts to delete, since no version in the history references them.
    pub obsolete: Vec<PartRef>,
}

impl Transaction {
    /// Returns the keys and values to put, starting with the root.
    pub fn puts(&self) -> Vec<(String, Vec<u8>)> {
        let root = (ROOT_KEY.to_owned(), self.root.to_json());
        let parts = self.parts.iter().map(|p| (p.part_ref().key(), p.text.clone().into_bytes()));
        [root].into_iter().chain(parts).collect()
    }
}

/// The state of a change, derived from the root in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change was accepted as this version.
    Accepted(Version),
    /// The root is still the one that the change is based on. The same transaction may be sent
    /// again, since at most one attempt can take effect.
    Pending,
    /// Another change was accepted first.
    Conflict(Refusal),
}

/// Returns the state of `change` according to `root`, for example after the response was lost.
pub fn outcome(root: Option<&Root>, change: &Change) -> Outcome {
    if let Some(version) = root.and_then(|root| root.version_of(&change.id)) {
        return Outcome::Accepted(version);
    }
    let version = root.map_or(Version(0), |root| root.version);
    match root {
        Some(root) if version != change.base => {
            Outcome::Conflict(conflict_refusal(root, change.base))
        }
        None if version != change.base => Outcome::Conflict(Refusal::not_run(
            Code::ChangeConflict,
            format!(
                "the change is based on version {}, but there is no configuration",
                change.base
            ),
        )),
        Some(_) | None => Outcome::Pending,
    }
}

/// Returns a refusal that lists the changes accepted since `base`.
fn conflict_refusal(root: &Root, base: Version) -> Refusal {
    let newer: Vec<String> = root
        .history
        .iter()
        .rev()
        .filter(|entry| entry.version > base)
        .map(|entry| format!("version {} by {}: {}", entry.version, entry.author, entry.summary))
        .collect();
    Refusal::not_run(
        Code::ChangeConflict,
        format!(
            "the change is based on version {base}, but version {} is in force; {}",
            root.version,
            newer.join("; ")
        ),
    )
}

fn invalid_setting(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(Code::InvalidSetting, detail)
}

/// Checks `change` against the current configuration and returns what to write.
///
/// # Errors
///
/// Returns [`Code::ChangeConflict`] if another change was accepted since the base version, and
/// [`Code::InvalidSetting`] with all errors in the new settings.
///
/// ```
/// use berylwheel_config::{Change, ChangeAction, Proposal, propose};
/// use berylwheel_settings::Settings;
/// use berylwheel_types::{Timestamp, Version};
/// let settings = Settings::parse("a", "[fleet]\nqueue = 5\n").unwrap();
/// let change = Change {
///     id: "c1".parse().unwrap(),
///     base: Version(0),
///     author: "ana".to_owned(),
///     action: ChangeAction::Replace(settings),
/// };
/// let now = Timestamp::from_millis(0);
/// let Proposal::Write(first) = propose(None, &change, now).unwrap() else { panic!() };
/// assert_eq!(first.root.version, Version(1));
/// let again = propose(Some((&first.root, &first.settings)), &change, now).unwrap();
/// assert!(matches!(again, Proposal::Accepted(Version(1))));
/// ```
pub fn propose(
    current: Option<(&Root, &Settings)>,
    change: &Change,
    now: Timestamp,
) -> Result<Proposal, Refusal> {
    match outcome(current.map(|(root, _)| root), change) {
        Outcome::Accepted(version) => return Ok(Proposal::Accepted(version)),
        Outcome::Conflict(refusal) => return Err(refusal),
        Outcome::Pending => {}
    }
    let empty = Settings::parse("configuration", "").map_err(|e| invalid_setting(e.to_string()))?;
    let old = current.map_or(&empty, |(_, settings)| settings);
    let new = match &change.action {
        ChangeAction::Edit(edits) => old.edit(edits).map_err(|e| invalid_setting(e.to_string()))?,
        ChangeAction::Replace(settings) => settings.clone(),
    };
    if new.has_router() {
        return Err(invalid_setting(
            "[router] belongs in the router's own file, not in the configuration",
        ));
    }
    let differences = diff(old, &new);
    if current.is_some() && differences.is_empty() {
        return Err(invalid_setting("the change does not modify any setting"));
    }
    let (old_pages, new_pages) = (old.fleet().ledger_pages, new.fleet().ledger_pages);
    if current.is_some() && old_pages != new_pages {
        // The ledger page of a budget is derived from the number of pages, so a different number
        // would lose track of existing budgets.
        return Err(invalid_setting(format!(
            "[fleet] ledger_pages: found {new_pages}, expected {old_pages}, which is fixed once budgets exist"
        )));
    }
    let parts = split(&new);
    if parts.iter().any(|part| part.text.len() > MAX_PART_BYTES) {
        return Err(invalid_setting(format!(
            "the settings are too large: a part exceeds {MAX_PART_BYTES} bytes"
        )));
    }
    Ok(Proposal::Write(Box::new(build_transaction(current, change, now, new, parts, &differences))))
}

fn build_transaction(
    current: Option<(&Root, &Settings)>,
    change: &Change,
    now: Timestamp,
    settings: Settings,
    parts: Vec<Part>,
    differences: &[Difference],
) -> Transaction {
    let digests: Vec<_> = parts.iter().map(Part::digest).collect();
    let (version, replaced, mut history) = match current {
        Some((root, _)) => {
            let changed = root.part_refs().into_iter().zip(&digests);
            let replaced = changed.filter(|(old, new)| old.digest != **new).map(|(old, _)| old);
            (root.version.next(), replaced.collect(), root.history.clone())
        }
        None => (Version(1), Vec::new(), Vec::new()),
    };
    let is_unchanged = |part: &Part| {
        let old = current.and_then(|(root, _)| root.parts.get(part.index as usize));
        old == digests.get(part.index as usize)
    };
    let parts = parts.iter().filter(|part| !is_unchanged(part)).cloned().collect();
    let entry = HistoryEntry {
        version,
        change: change.id.clone(),
        author: change.author.clone(),
        at: now,
        summary: summarize(differences),
        replaced,
    };
    history.insert(0, entry);
    let mut root = Root {
        version,
        change: change.id.clone(),
        author: change.author.clone(),
        at: now,
        parts: digests,
        history,
    };
    let obsolete = root.trim_history();
    Transaction { root, settings, parts, obsolete }
}

fn summarize(differences: &[Difference]) -> String {
    let listed = differences.iter().take(MAX_SUMMARY_ITEMS).map(Difference::to_string);
    let mut items: Vec<String> = listed.collect();
    if differences.len() > MAX_SUMMARY_ITEMS {
        items.push(format!("and {} more", differences.len() - MAX_SUMMARY_ITEMS));
    }
    items.join(", ")
}

//! Authentication of callers and operators by key.

use berylwheel_settings::Settings;
use berylwheel_types::BudgetId;
use berylwheel_types::FastMap;
use berylwheel_types::WorkspaceId;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Returns the SHA-256 digest of `key` as 64 lower-case hexadecimal digits.
///
/// ```
/// use berylwheel_config::key_digest;
/// assert_eq!(
///     key_digest("abc"),
///     "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
/// );
/// ```
pub fn key_digest(key: &str) -> String {
    Sha256::digest(key).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The keys of the callers and operators in a configuration.
///
/// A key is looked up by a prefix of its SHA-256 digest, and the full digests are compared in
/// constant time. The timing of the prefix lookup does not help to guess a key, since it depends
/// only on the digest.
///
/// ```
/// use berylwheel_config::{AccessTable, key_digest};
/// use berylwheel_settings::Settings;
/// let text = format!("[workspace w]\nkey.shop = {} trial\nbudgets = trial\n", key_digest("k"));
/// let table = AccessTable::new(&Settings::parse("a", &text).unwrap());
/// let (workspace, budget) = table.caller("k").unwrap();
/// assert_eq!((workspace.as_str(), budget.as_str()), ("w", "w/trial"));
/// assert!(table.caller("l").is_none());
/// assert!(table.operator("k").is_none());
/// ```
#[derive(Debug, Clone, Default)]
pub struct AccessTable {
    callers: KeyTable<(WorkspaceId, BudgetId)>,
    operators: KeyTable<String>,
}

#[derive(Debug, Clone)]
struct KeyTable<T>(FastMap<[u8; 4], Vec<(String, T)>>);

impl<T> Default for KeyTable<T> {
    fn default() -> Self {
        Self(FastMap::default())
    }
}

impl<T> KeyTable<T> {
    fn prefix(digest: &str) -> Option<[u8; 4]> {
        digest.as_bytes().first_chunk().copied()
    }

    fn add(&mut self, digest: &str, owner: T) {
        if let Some(prefix) = Self::prefix(digest) {
            self.0.entry(prefix).or_default().push((digest.to_owned(), owner));
        }
    }

    fn find(&self, key: &str) -> Option<&T> {
        let digest = key_digest(key);
        let bucket = self.0.get(&Self::prefix(&digest)?)?;
        let mut found = None;
        for (known, owner) in bucket {
            if known.as_bytes().ct_eq(digest.as_bytes()).into() {
                found = Some(owner);
            }
        }
        found
    }
}

impl AccessTable {
    /// Builds the table from `settings`.
    pub fn new(settings: &Settings) -> Self {
        let mut table = Self::default();
        for workspace in settings.workspaces() {
            for key in &workspace.keys {
                table.callers.add(&key.sha256, (workspace.id.clone(), key.budget.clone()));
            }
        }
        for operator in settings.operators() {
            table.operators.add(&operator.sha256, operator.name.clone());
        }
        table
    }

    /// Returns the workspace and budget of the caller that holds `key`.
    pub fn caller(&self, key: &str) -> Option<(WorkspaceId, BudgetId)> {
        self.callers.find(key).cloned()
    }

    /// Returns the name of the operator that holds `key`.
    pub fn operator(&self, key: &str) -> Option<String> {
        self.operators.find(key).cloned()
    }
}

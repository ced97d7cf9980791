//! What a router tells others about the platform's store.

use berylwheel_types::Millis;
use berylwheel_types::StoreEra;
use serde::Deserialize;
use serde::Serialize;

use crate::bounded;

/// The maximum number of changes of a prefix in one message.
pub const CHANGE_COUNT_LIMIT: usize = 256;

/// News of one key prefix in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedNews {
    /// The prefix.
    pub prefix: String,
    /// The era of the store that the revisions belong to.
    pub era: StoreEra,
    /// The revision of the newest change that the origin knows.
    pub changed: u64,
    /// How long ago the origin last had proof that it knew all changes; `None` without proof.
    pub age: Option<Millis>,
    /// The changes since the origin's last message, or `None` if there are none.
    pub batch: Option<ChangeBatch>,
}

/// Consecutive changes of a key prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// The revision that the changes follow on.
    pub base: u64,
    /// The revision of the last change.
    pub through: u64,
    /// Whether the changes are too large to be relayed, so that `changes` lacks them.
    pub omitted: bool,
    /// All changes after `base` up to `through`, in the order of their revisions.
    #[serde(deserialize_with = "bounded::deserialize_list::<_, _, CHANGE_COUNT_LIMIT>")]
    pub changes: Vec<RelayedChange>,
}

/// A change of a key in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedChange {
    /// The key.
    pub key: String,
    /// The value; empty if the key was deleted.
    pub value: Vec<u8>,
    /// The store revision of the change.
    pub revision: u64,
    /// Whether the change deleted the key.
    pub deleted: bool,
}

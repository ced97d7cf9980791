//! Changes to a tree.

use crate::SectionName;

/// Sets or removes one key.
///
/// With an empty key the edit is about the whole section: a value of `None` removes it, any other
/// creates it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// The section.
    pub section: SectionName,
    /// The key.
    pub key: String,
    /// The new value; `None` removes the key.
    pub value: Option<String>,
}

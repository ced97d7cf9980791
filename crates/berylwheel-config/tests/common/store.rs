//! A simulated store with the configuration keys.

use berylwheel_config::Part;
use berylwheel_config::PartRef;
use berylwheel_config::Root;
use berylwheel_config::Transaction;
use berylwheel_types::ChangeId;
use berylwheel_types::FastMap;

pub struct FakeStore {
    pub up: bool,
    /// Whether the responses to committed writes are lost.
    pub loses_responses: bool,
    pub root: Option<Root>,
    parts: FastMap<PartRef, Part>,
    /// The change id and the settings as INI text of each version, starting with version 1.
    pub log: Vec<(ChangeId, String)>,
    pub reads: u64,
    pub writes: u64,
}

impl Default for FakeStore {
    fn default() -> Self {
        Self {
            up: true,
            loses_responses: false,
            root: None,
            parts: FastMap::default(),
            log: Vec::new(),
            reads: 0,
            writes: 0,
        }
    }
}

impl FakeStore {
    /// Commits `change` if the root is still the one that it is based on.
    pub fn commit(&mut self, change: &Transaction) -> bool {
        self.writes += 1;
        let current = self.root.as_ref().map_or(0, |root| root.version.0);
        if change.root.version.0 != current + 1 {
            return false;
        }
        for part in &change.obsolete {
            self.parts.remove(part);
        }
        self.parts.extend(change.parts.iter().map(|part| (part.part_ref(), part.clone())));
        self.log.push((change.root.change.clone(), change.settings.to_ini()));
        self.root = Some(change.root.clone());
        true
    }

    /// Returns the root and those of the `wanted` parts that exist.
    pub fn parts(&self, wanted: &[PartRef]) -> Option<(Root, Vec<Part>)> {
        let found = wanted.iter().filter_map(|part| self.parts.get(part)).cloned().collect();
        Some((self.root.clone()?, found))
    }

    /// Returns whether every version in the history can still be read.
    pub fn is_history_readable(&self) -> bool {
        let Some(root) = &self.root else {
            return true;
        };
        root.history.iter().all(|entry| {
            let parts = root.parts_of(entry.version).unwrap();
            let parts: Vec<Part> =
                parts.iter().filter_map(|p| self.parts.get(p)).cloned().collect();
            let text = berylwheel_config::join(&parts).map(|settings| settings.to_ini());
            text.as_ref() == Ok(&self.log[entry.version.0 as usize - 1].1)
        })
    }

    /// Returns the number of stored parts.
    pub fn part_count(&self) -> usize {
        self.parts.len()
    }
}

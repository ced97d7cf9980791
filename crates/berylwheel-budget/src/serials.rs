//! A set of serial numbers, stored as ranges.

use serde::Deserialize;
use serde::Serialize;

/// A set of serial numbers, stored as ascending, disjoint and non-adjacent ranges.
///
/// A holder numbers the requests of a budget consecutively. The number of ranges is therefore
/// bounded by the number of requests in progress, however many are settled while a long one runs.
///
/// ```
/// use berylwheel_budget::SerialSet;
/// let mut serials = SerialSet::default();
/// [5, 3, 4].into_iter().for_each(|serial| serials.insert(serial));
/// assert!(serials.contains(4) && !serials.contains(6));
/// assert_eq!(serials.ranges(), 1);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SerialSet(Vec<(u64, u64)>);

impl SerialSet {
    /// Returns whether `serial` is in the set.
    pub fn contains(&self, serial: u64) -> bool {
        let at = self.0.partition_point(|(_, last)| *last < serial);
        self.0.get(at).is_some_and(|(first, _)| *first <= serial)
    }

    /// Returns the number of ranges.
    pub fn ranges(&self) -> usize {
        self.0.len()
    }

    /// Inserts `serial`.
    pub fn insert(&mut self, serial: u64) {
        let at = self.0.partition_point(|(_, last)| *last < serial);
        if self.0.get(at).is_some_and(|(first, _)| *first <= serial) {
            return;
        }
        let joins_before = at > 0 && self.0[at - 1].1 + 1 == serial;
        let joins_after = self.0.get(at).is_some_and(|(first, _)| *first == serial + 1);
        match (joins_before, joins_after) {
            (true, true) => {
                self.0[at - 1].1 = self.0[at].1;
                self.0.remove(at);
            }
            (true, false) => self.0[at - 1].1 = serial,
            (false, true) => self.0[at].0 = serial,
            (false, false) => self.0.insert(at, (serial, serial)),
        }
    }

    /// Removes all numbers below `serial`.
    pub fn remove_below(&mut self, serial: u64) {
        self.0.retain(|(_, last)| *last >= serial);
        if let Some((first, _)) = self.0.first_mut() {
            *first = serial.max(*first);
        }
    }
}

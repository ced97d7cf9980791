//! A counter of the list entries that a component examines.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counts the list entries that a component has examined since it was created.
///
/// The count shows, without a clock, whether the cost of an operation grows with the fleet.
///
/// ```
/// use berylwheel_types::VisitCounter;
/// let visits = VisitCounter::default();
/// visits.add(3);
/// visits.add(4);
/// assert_eq!(visits.total(), 7);
/// ```
#[derive(Debug, Default)]
pub struct VisitCounter(AtomicU64);

impl VisitCounter {
    /// Adds `entries` examined entries.
    pub fn add(&self, entries: usize) {
        self.0.fetch_add(entries as u64, Ordering::Relaxed);
    }

    /// Returns the number of entries examined since the counter was created.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

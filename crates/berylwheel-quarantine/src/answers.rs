//! When the parts of prompts were last answered.

use berylwheel_types::FastMap;
use berylwheel_types::PromptPartId;
use berylwheel_types::Timestamp;

/// The last complete answer to a request with each part, for a bounded number of parts.
#[derive(Debug)]
pub(crate) struct LastAnswers {
    limit: usize,
    times: FastMap<PromptPartId, Timestamp>,
}

impl LastAnswers {
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, times: FastMap::default() }
    }

    pub(crate) fn record(&mut self, now: Timestamp, parts: &[PromptPartId]) {
        for part in parts {
            let last = self.times.entry(*part).or_insert(now);
            *last = now.max(*last);
        }
        if self.times.len() <= self.limit {
            return;
        }
        let mut times: Vec<Timestamp> = self.times.values().copied().collect();
        let median = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(median);
        let median = *median;
        self.times.retain(|_, time| *time > median);
    }

    pub(crate) fn last(&self, part: PromptPartId) -> Option<Timestamp> {
        self.times.get(&part).copied()
    }
}

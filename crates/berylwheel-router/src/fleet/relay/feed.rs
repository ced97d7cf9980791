//! What a router knows of the changes of one prefix.

use std::collections::VecDeque;

use berylwheel_peer::CHANGE_COUNT_LIMIT;
use berylwheel_peer::ChangeBatch;
use berylwheel_peer::FeedNews;
use berylwheel_peer::RelayedChange;
use berylwheel_store::Entry;
use berylwheel_types::FastSet;
use berylwheel_types::StoreEra;
use berylwheel_types::Timestamp;

use super::policy::FallbackCause;
use super::policy::RelayPolicy;
use super::policy::WatchRole;

/// Maximum number of batches of relayed changes that are kept for the watch loop, which takes them
/// within a second.
const BATCH_COUNT_LIMIT: usize = 32;

/// State of one watched prefix.
#[derive(Debug)]
pub(super) struct Feed {
    pub role: WatchRole,
    /// Since when this router has read the prefix from the store without a failure.
    pub own_since: Option<Timestamp>,
    /// Since when a watch of the store has been waiting.
    pub pending_since: Option<Timestamp>,
    /// When this router last had an answer of the store about the prefix.
    covered_at: Timestamp,
    /// Revision of the newest change that this router knows.
    changed: u64,
    /// Revision up to which this router knows all changes, and the keys that exist then.
    seen: u64,
    keys: FastSet<String>,
    /// Announced revision when the current watch of the store began, and the one that an earlier
    /// watch has covered.
    pub check: u64,
    pub checked: u64,
    /// Changes that were read and not sent yet.
    pub unsent: VecDeque<ChangeBatch>,
    /// Time of the newest proof that a watcher knew all changes.
    pub news_at: Timestamp,
    /// Revision of the newest change that a watcher has announced.
    pub news_changed: u64,
    /// When that revision was announced first.
    pub announced_at: Timestamp,
    /// Revision of the newest announced change that is not relayed.
    pub omitted: u64,
    batches: VecDeque<ChangeBatch>,
    /// Until when this router watches the store for lack of news, and why.
    pub fallback: Option<(Timestamp, FallbackCause)>,
}

impl Feed {
    /// Returns the state of a prefix that this router reads by itself until `until`.
    pub fn new(until: Timestamp) -> Self {
        let start = Timestamp::default();
        Self {
            role: WatchRole::Alone,
            own_since: None,
            pending_since: None,
            covered_at: start,
            changed: 0,
            seen: 0,
            keys: FastSet::default(),
            check: 0,
            checked: 0,
            unsent: VecDeque::new(),
            news_at: start,
            news_changed: 0,
            announced_at: start,
            omitted: 0,
            batches: VecDeque::new(),
            fallback: Some((until, FallbackCause::Start)),
        }
    }

    /// Records the answer of the store to a watch after `known` that began at `started`.
    pub fn record_watch(&mut self, now: Timestamp, started: Timestamp, known: u64, new: &[Entry]) {
        self.own_since.get_or_insert(started);
        self.covered_at = now;
        self.checked = self.checked.max(self.check);
        self.apply(known, new);
    }

    /// Records a complete read at the revision `at`. Returns the changes since what was known
    /// before, of which those of one key are one.
    pub fn record_read(&mut self, now: Timestamp, entries: &[Entry], at: u64) -> Vec<Entry> {
        let (base, is_first) = (self.seen, self.seen == 0);
        let mut new: Vec<Entry> = entries.iter().filter(|e| e.revision > base).cloned().collect();
        new.sort_by_key(|entry| entry.revision);
        let listed: FastSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        let gone = self.keys.iter().filter(|key| !listed.contains(key.as_str()));
        new.extend(gone.map(|key| Entry {
            key: key.clone(),
            value: Vec::new(),
            revision: at,
            deleted: true,
        }));
        self.own_since.get_or_insert(now);
        self.covered_at = now;
        self.checked = self.checked.max(self.news_changed);
        self.apply(at, &new);
        if is_first || at <= base { Vec::new() } else { new }
    }

    /// Notes that all changes up to `known` and those in `new` are known.
    fn apply(&mut self, known: u64, new: &[Entry]) {
        for entry in new {
            self.changed = self.changed.max(entry.revision);
            match entry.deleted {
                true => self.keys.remove(&entry.key),
                false => self.keys.insert(entry.key.clone()),
            };
        }
        self.seen = self.seen.max(known).max(self.changed);
    }

    /// Returns the revision up to which all changes are known.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// Queues changes that follow on `base` for the other routers.
    pub fn queue(&mut self, policy: &RelayPolicy, base: u64, changes: &[Entry]) {
        let Some(through) = changes.iter().map(|change| change.revision).max() else { return };
        let length = |entry: &Entry| entry.key.len() + entry.value.len();
        let is_small = changes.len() <= CHANGE_COUNT_LIMIT
            && changes.iter().all(|change| length(change) <= policy.value_limit)
            && changes.iter().map(length).sum::<usize>() <= policy.batch_limit;
        let relayed = changes.iter().filter(|_| is_small).map(|change| RelayedChange {
            key: change.key.clone(),
            value: change.value.clone(),
            revision: change.revision,
            deleted: change.deleted,
        });
        let changes = relayed.collect();
        self.unsent.push_back(ChangeBatch { base, through, omitted: !is_small, changes });
        if self.unsent.len() > BATCH_COUNT_LIMIT {
            self.unsent.pop_front();
        }
    }

    /// Returns the time of the last proof that this router knew all changes, if it may claim so.
    /// `answered_at` is the time of the last answer of the store to any call: a watch that was waiting
    /// then would have ended with a change.
    pub fn proof(
        &self,
        now: Timestamp,
        policy: &RelayPolicy,
        answered_at: Timestamp,
    ) -> Option<Timestamp> {
        let since = self.own_since?;
        if now < since + policy.claim_after {
            return None;
        }
        let by_other_call = self.pending_since.filter(|pending| answered_at > *pending);
        Some(by_other_call.map_or(self.covered_at, |_| self.covered_at.max(answered_at)))
    }

    /// Returns what a watcher tells of the prefix, with the first queued changes.
    pub fn take_news(
        &mut self,
        now: Timestamp,
        policy: &RelayPolicy,
        (prefix, era): (&str, StoreEra),
        answered_at: Timestamp,
    ) -> FeedNews {
        let age = self.proof(now, policy, answered_at).map(|at| now.since(at));
        let prefix = prefix.to_owned();
        // A change counts as known once the message with it has gone out.
        let batch = self.unsent.pop_front();
        let next = self.unsent.front().map(|next| next.base);
        let changed = next.map_or(self.changed, |base| base.min(self.changed));
        FeedNews { prefix, era, changed, age, batch }
    }

    /// Adds the news of a watcher. Returns whether they may let a waiting router go on.
    pub fn add_news(&mut self, now: Timestamp, news: &FeedNews) -> bool {
        let batch = news.batch.as_ref();
        let changed = news.changed.max(batch.map_or(0, |batch| batch.through));
        let is_newer = changed > self.news_changed;
        if is_newer {
            self.news_changed = changed;
            self.announced_at = now;
        }
        if let Some(age) = news.age {
            let proven_at = now.as_millis().saturating_sub(age.0);
            self.news_at = self.news_at.max(Timestamp::from_millis(proven_at));
        }
        let Some(batch) = batch else { return is_newer };
        if batch.omitted {
            self.omitted = self.omitted.max(batch.through);
        } else if batch.base < batch.through && !self.batches.contains(batch) {
            self.batches.push_back(batch.clone());
            if self.batches.len() > BATCH_COUNT_LIMIT {
                self.batches.pop_front();
            }
        }
        true
    }

    /// Returns the relayed changes that follow on `known` without a gap.
    pub fn changes_after(&mut self, known: u64) -> Vec<Entry> {
        self.batches.retain(|batch| batch.through > known);
        if self.batches.is_empty() {
            return Vec::new();
        }
        let (mut through, mut found) = (known, Vec::new());
        while let Some(batch) =
            self.batches.iter().find(|batch| batch.base <= through && batch.through > through)
        {
            let new = batch.changes.iter().filter(|change| change.revision > through);
            found.extend(new.map(|change| Entry {
                key: change.key.clone(),
                value: change.value.clone(),
                revision: change.revision,
                deleted: change.deleted,
            }));
            through = batch.through;
        }
        self.apply(known, &found);
        found
    }
}

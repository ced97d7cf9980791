//! The messages of watchers: what they say, and to whom they go.

use std::collections::BTreeMap;

use berylwheel_peer::FeedNews;
use berylwheel_types::Incarnation;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use serde::Serialize;

use super::core::Relay;
use super::policy::FallbackCause;
use super::tree::children;

/// Maximum number of prefixes in a message.
const FEED_LIMIT: usize = 8;

/// What a relay has done since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RelayCounts {
    /// Changes that this router got from others in place of the store.
    pub relayed: u64,
    /// Messages that this router sent as a watcher.
    pub published: u64,
    /// Messages of other watchers that this router passed on, counted by recipient.
    pub passed_on: u64,
    /// Calls of the store, or times of such calls, by cause.
    pub fallbacks: BTreeMap<FallbackCause, u64>,
    /// Changes of the role for a prefix.
    pub role_changes: u64,
}

/// News that a watcher sends to the routers in `to`, which pass them on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingNews {
    /// The first recipients.
    pub to: Vec<RouterId>,
    /// Number of the message.
    pub sequence: u64,
    /// The news of each prefix.
    pub feeds: Vec<FeedNews>,
}

/// The messages of one watcher that were received: the highest number and the 64 below it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReceivedNumbers {
    run: u64,
    highest: u64,
    window: u64,
}

impl ReceivedNumbers {
    /// Records a message, and returns whether it was not received before.
    pub fn insert(&mut self, run: u64, number: u64) -> bool {
        if run > self.run {
            *self = Self { run, highest: number, window: 1 };
            return true;
        }
        if run < self.run {
            return false;
        }
        if number > self.highest {
            let shift = u32::try_from(number - self.highest).unwrap_or(u32::MAX);
            self.window = self.window.checked_shl(shift).unwrap_or(0) | 1;
            self.highest = number;
            return true;
        }
        let Some(bit) = 1_u64.checked_shl((self.highest - number).min(64) as u32) else {
            return false;
        };
        let is_new = self.window & bit == 0;
        self.window |= bit;
        is_new
    }
}

impl Relay {
    /// Returns the news that are due, if this router is a watcher. `answered_at` is the time of the
    /// last answer of the store to any call.
    ///
    /// ```
    /// # use berylwheel_router::{Relay, RelayPolicy};
    /// # use berylwheel_types::Timestamp;
    /// let now = Timestamp::from_millis(0);
    /// let mut relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
    /// assert_eq!(relay.poll(now, now), None);
    /// ```
    pub fn poll(&mut self, now: Timestamp, answered_at: Timestamp) -> Option<OutgoingNews> {
        self.note_call(now);
        if self.rank.is_none() || self.feeds.is_empty() {
            return None;
        }
        let policy = &self.policy;
        let has_changes = self.feeds.values().any(|feed| !feed.unsent.is_empty());
        let proofs = self.feeds.values().filter_map(|feed| feed.proof(now, policy, answered_at));
        let proof = proofs.max().unwrap_or_default();
        let waited = now.since(self.sent_at);
        let has_proof = proof.since(self.sent_proof) >= policy.proof_step;
        if !has_changes && !has_proof && waited < policy.news_interval {
            return None;
        }
        self.sent_at = now;
        self.sent_proof = proof;
        self.sequence += 1;
        let era = self.era;
        let feeds = self.feeds.iter_mut().take(FEED_LIMIT);
        let feeds = feeds
            .map(|(prefix, feed)| feed.take_news(now, policy, (prefix, era), answered_at))
            .collect();
        self.counts.published += 1;
        let own = self.own.router.clone();
        Some(OutgoingNews { to: self.children_of(&own), sequence: self.sequence, feeds })
    }

    /// Handles the news of a watcher. Returns the routers to which to pass them on.
    ///
    /// ```
    /// # use berylwheel_router::{Relay, RelayPolicy};
    /// # use berylwheel_types::Timestamp;
    /// let now = Timestamp::from_millis(0);
    /// let mut relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
    /// // A router that is not known to belong to the domain is ignored.
    /// assert!(relay.handle_news(now, &"r9@1".parse().unwrap(), 1, &[]).is_empty());
    /// ```
    pub fn handle_news(
        &mut self,
        now: Timestamp,
        origin: &Incarnation,
        sequence: u64,
        feeds: &[FeedNews],
    ) -> Vec<RouterId> {
        self.note_call(now);
        if !self.member_set.contains(&origin.router) || origin.router == self.own.router {
            return Vec::new();
        }
        let received = self.received.entry(origin.router.clone()).or_default();
        if !received.insert(origin.number, sequence) {
            return Vec::new();
        }
        // Revisions of another era say nothing. A router that lacks the era reads by itself soon,
        // since it has no proof of recent news then.
        for news in feeds.iter().filter(|news| news.era == self.era) {
            if let Some(feed) = self.feeds.get_mut(&news.prefix) {
                feed.add_news(now, news);
            }
        }
        let to = self.children_of(&origin.router);
        self.counts.passed_on += to.len() as u64;
        to
    }

    fn children_of(&mut self, origin: &RouterId) -> Vec<RouterId> {
        if let Some(known) = self.children.get(origin) {
            return known.clone();
        }
        let found = children(&self.members, origin, &self.own.router, self.policy.fanout);
        self.children.insert(origin.clone(), found.clone());
        found
    }
}

//! Decides who watches the store, what watchers pass on, and when the others read by themselves.

use std::collections::BTreeMap;

use berylwheel_store::Entry;
use berylwheel_types::FastMap;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::StoreEra;
use berylwheel_types::Timestamp;
use berylwheel_types::stable_hash;

use super::feed::Feed;
use super::news::ReceivedNumbers;
use super::news::RelayCounts;
use super::policy::FallbackCause;
use super::policy::NextWatch;
use super::policy::RelayPolicy;
use super::policy::WatchRole;
use super::tree::watcher_rank;

/// Time between two answers to a watch of one prefix by one watcher, if nothing changes.
const SLOT_CYCLE: Millis = Millis(3_000);
/// Shortest wait of a watch. A shorter one would be a call for nothing.
const MIN_WAIT: Millis = Millis(300);

/// The relay of one router.
///
/// ```
/// use berylwheel_router::{NextWatch, Relay, RelayPolicy};
/// use berylwheel_types::Timestamp;
/// let now = Timestamp::from_millis(10_000);
/// let mut relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
/// // A router of a small domain watches as if there were no relay.
/// relay.set_members(now, vec!["r1".parse().unwrap(), "r2".parse().unwrap()]);
/// assert_eq!(relay.begin_watch(now, "servers/", 7), NextWatch::Watch(None));
/// ```
#[derive(Debug)]
pub struct Relay {
    pub(super) own: Incarnation,
    pub(super) policy: RelayPolicy,
    /// Parts of the limits that differ between routers.
    pub(super) stale_after: Millis,
    pub(super) fallback_hold: Millis,
    /// The live routers of the domain.
    pub(super) members: Vec<RouterId>,
    pub(super) member_set: FastSet<RouterId>,
    pub(super) active: bool,
    pub(super) rank: Option<usize>,
    pub(super) children: FastMap<RouterId, Vec<RouterId>>,
    pub(super) received: FastMap<RouterId, ReceivedNumbers>,
    pub(super) feeds: BTreeMap<String, Feed>,
    /// The era of the store that all revisions belong to.
    pub(super) era: StoreEra,
    pub(super) sequence: u64,
    pub(super) sent_at: Timestamp,
    /// Time of the newest proof that was sent.
    pub(super) sent_proof: Timestamp,
    /// Time of the last call, which shows pauses of the process.
    pub(super) called_at: Option<Timestamp>,
    pub(super) counts: RelayCounts,
}

impl Relay {
    /// Returns the relay of a router that has just started.
    ///
    /// ```
    /// use berylwheel_router::{Relay, RelayPolicy};
    /// let relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
    /// assert!(!relay.is_active());
    /// ```
    pub fn new(own: Incarnation, policy: RelayPolicy) -> Self {
        let spread = |what: &str, range: Millis| {
            Millis(stable_hash(&[what, own.router.as_str()]) % (range.0 + 1))
        };
        let stale_jitter = spread("stale", policy.stale_jitter);
        let fallback_jitter = spread("fallback", policy.fallback_jitter);
        Self {
            stale_after: Millis(policy.stale_after.0 + stale_jitter.0),
            fallback_hold: Millis(policy.fallback_hold.0 + fallback_jitter.0),
            own,
            policy,
            members: Vec::new(),
            member_set: FastSet::default(),
            active: false,
            rank: None,
            children: FastMap::default(),
            received: FastMap::default(),
            feeds: BTreeMap::new(),
            era: StoreEra::default(),
            sequence: 0,
            sent_at: Timestamp::default(),
            sent_proof: Timestamp::default(),
            called_at: None,
            counts: RelayCounts::default(),
        }
    }

    /// Returns whether the domain has enough live routers for the relay.
    ///
    /// ```
    /// # use berylwheel_router::{Relay, RelayPolicy};
    /// # use berylwheel_types::Timestamp;
    /// let mut relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
    /// let members = (0..24).map(|i| format!("r{i}").parse().unwrap()).collect();
    /// relay.set_members(Timestamp::from_millis(0), members);
    /// assert!(relay.is_active());
    /// ```
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Returns whether this router is one of the watchers.
    ///
    /// ```
    /// # use berylwheel_router::{Relay, RelayPolicy};
    /// # use berylwheel_types::Timestamp;
    /// let members: Vec<_> = (0..24).map(|i| format!("r{i}").parse().unwrap()).collect();
    /// let is_watcher = |i: &usize| {
    ///     let mut relay = Relay::new(format!("r{i}@1").parse().unwrap(), RelayPolicy::default());
    ///     relay.set_members(Timestamp::from_millis(0), members.clone());
    ///     relay.is_watcher()
    /// };
    /// assert_eq!((0..24).filter(is_watcher).count(), 3);
    /// ```
    pub fn is_watcher(&self) -> bool {
        self.rank.is_some()
    }

    /// Returns the live routers of this router's domain, sorted by name.
    ///
    /// ```
    /// # use berylwheel_router::{Relay, RelayPolicy};
    /// let relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
    /// assert!(relay.members().is_empty());
    /// ```
    pub fn members(&self) -> &[RouterId] {
        &self.members
    }

    /// Returns what was done since the start.
    ///
    /// ```
    /// # use berylwheel_router::{Relay, RelayPolicy};
    /// let relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
    /// assert_eq!(relay.counts().relayed, 0);
    /// ```
    pub fn counts(&self) -> &RelayCounts {
        &self.counts
    }

    /// Returns the role for a prefix.
    ///
    /// ```
    /// # use berylwheel_router::{Relay, RelayPolicy, WatchRole};
    /// let relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
    /// assert_eq!(relay.role("servers/"), WatchRole::Alone);
    /// ```
    pub fn role(&self, prefix: &str) -> WatchRole {
        self.feeds.get(prefix).map_or(WatchRole::Alone, |feed| feed.role)
    }

    /// Returns the role for each prefix.
    ///
    /// ```
    /// # use berylwheel_router::{Relay, RelayPolicy};
    /// let relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
    /// assert_eq!(relay.roles().count(), 0);
    /// ```
    pub fn roles(&self) -> impl Iterator<Item = (&str, WatchRole)> {
        self.feeds.iter().map(|(prefix, feed)| (prefix.as_str(), feed.role))
    }

    /// Sets the live routers of this router's domain, including itself unless it is leaving.
    ///
    /// ```
    /// # use berylwheel_router::{Relay, RelayPolicy};
    /// # use berylwheel_types::Timestamp;
    /// let mut relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
    /// relay.set_members(Timestamp::from_millis(0), vec!["r1".parse().unwrap()]);
    /// assert!(!relay.is_watcher());
    /// ```
    pub fn set_members(&mut self, now: Timestamp, mut members: Vec<RouterId>) {
        members.sort();
        members.dedup();
        if members == self.members {
            return;
        }
        let policy = &self.policy;
        let needed = if self.active { policy.stop_members } else { policy.start_members };
        let was_active = self.active;
        self.active = members.len() >= needed && members.contains(&self.own.router);
        let watchers = if self.active { policy.watchers } else { 0 };
        self.rank = watcher_rank(&members, &self.own.router, watchers);
        self.member_set = members.iter().cloned().collect();
        self.received.retain(|router, _| self.member_set.contains(router));
        self.children.clear();
        self.members = members;
        if self.active && !was_active {
            self.fall_back(now, FallbackCause::Start);
        }
    }

    /// Sets the era of the store. All that is known of another era is dropped, and this router reads
    /// by itself for a while.
    ///
    /// ```
    /// # use berylwheel_router::{Relay, RelayPolicy, WatchRole};
    /// # use berylwheel_types::{StoreEra, Timestamp};
    /// let now = Timestamp::from_millis(0);
    /// let mut relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
    /// relay.begin_watch(now, "servers/", 7);
    /// relay.set_era(now, StoreEra(2));
    /// assert_eq!(relay.roles().count(), 0);
    /// ```
    pub fn set_era(&mut self, now: Timestamp, era: StoreEra) {
        if self.era != era {
            self.era = era;
            self.feeds.clear();
            self.fall_back(now, FallbackCause::Start);
        }
    }

    /// Decides how this router gets the changes of `prefix` after the revision `known`.
    ///
    /// ```
    /// # use berylwheel_router::{NextWatch, Relay, RelayPolicy};
    /// # use berylwheel_types::Timestamp;
    /// let mut relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
    /// let next = relay.begin_watch(Timestamp::from_millis(0), "servers/", 7);
    /// assert_eq!(next, NextWatch::Watch(None));
    /// ```
    pub fn begin_watch(&mut self, now: Timestamp, prefix: &str, known: u64) -> NextWatch {
        self.note_call(now);
        let place = self.feeds.keys().take_while(|key| key.as_str() < prefix).count();
        let new_until = now + self.fallback_hold;
        let feed = self.feeds.entry(prefix.to_owned()).or_insert_with(|| Feed::new(new_until));
        if feed.fallback.is_none_or(|(until, _)| now >= until) {
            let is_stale = now.since(feed.news_at) >= self.stale_after;
            feed.fallback = is_stale.then_some((new_until, FallbackCause::Stale));
            if is_stale && self.active && self.rank.is_none() {
                *self.counts.fallbacks.entry(FallbackCause::Stale).or_default() += 1;
            }
        }
        let role = match (self.active, self.rank, feed.fallback) {
            (false, ..) => WatchRole::Alone,
            (true, Some(_), _) => WatchRole::Watcher,
            (true, None, Some((_, cause))) => WatchRole::Fallback(cause),
            (true, None, None) => WatchRole::Follower,
        };
        let was = std::mem::replace(&mut feed.role, role);
        self.counts.role_changes += u64::from(was != role);
        feed.check = feed.news_changed;
        if role != WatchRole::Follower {
            feed.pending_since = Some(now);
            return NextWatch::Watch(self.rank.map(|rank| slot_wait(now, rank, place)));
        }
        feed.own_since = None;
        let changes = feed.changes_after(known);
        if !changes.is_empty() {
            self.counts.relayed += changes.len() as u64;
            return NextWatch::Changes(changes);
        }
        let stale_at = feed.news_at + self.stale_after;
        if feed.news_changed <= known.max(feed.checked) {
            return NextWatch::Wait(stale_at);
        }
        let gap_at = feed.announced_at + self.policy.gap_after;
        let cause = match () {
            () if known < feed.omitted => FallbackCause::Large,
            () if now >= gap_at => FallbackCause::Gap,
            () => return NextWatch::Wait(stale_at.min(gap_at)),
        };
        *self.counts.fallbacks.entry(cause).or_default() += 1;
        feed.pending_since = Some(now);
        // The changes exist already. If not, the announcement was of another kind of revision.
        NextWatch::Watch(Some(MIN_WAIT))
    }

    /// Returns relayed changes after `known` that a waiting watch of the store should have returned
    /// some time ago. The store does not reach this router then.
    ///
    /// ```
    /// # use berylwheel_router::{Relay, RelayPolicy};
    /// # use berylwheel_types::Timestamp;
    /// let mut relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
    /// assert_eq!(relay.overdue_changes(Timestamp::from_millis(0), "servers/", 7), Err(None));
    /// ```
    ///
    /// # Errors
    /// Returns the time of the next check if there are changes that may still arrive.
    pub fn overdue_changes(
        &mut self,
        now: Timestamp,
        prefix: &str,
        known: u64,
    ) -> Result<Vec<Entry>, Option<Timestamp>> {
        let Some(feed) = self.feeds.get_mut(prefix).filter(|_| self.active) else {
            return Err(None);
        };
        if feed.news_changed <= known {
            return Err(None);
        }
        let overdue_at = feed.announced_at + self.policy.gap_after;
        if now < overdue_at {
            return Err(Some(overdue_at));
        }
        let changes = feed.changes_after(known);
        self.counts.relayed += changes.len() as u64;
        if changes.is_empty() {
            return Err(None);
        }
        (feed.pending_since, feed.own_since) = (None, None);
        Ok(changes)
    }

    /// Records the end of a watch of the store after `known`: its changes, or `None` if it failed.
    /// Returns whether a router whose watch failed can follow the watchers instead.
    ///
    /// ```
    /// # use berylwheel_router::{Relay, RelayPolicy};
    /// # use berylwheel_types::Timestamp;
    /// let now = Timestamp::from_millis(0);
    /// let mut relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
    /// relay.begin_watch(now, "servers/", 7);
    /// assert!(!relay.end_watch(now, "servers/", 7, None));
    /// ```
    pub fn end_watch(
        &mut self,
        now: Timestamp,
        prefix: &str,
        known: u64,
        changes: Option<&[Entry]>,
    ) -> bool {
        self.note_call(now);
        let Some(feed) = self.feeds.get_mut(prefix) else { return false };
        let started = feed.pending_since.take().unwrap_or(now);
        let Some(changes) = changes else {
            feed.own_since = None;
            let has_news = now.since(feed.news_at) < self.stale_after;
            let may_follow = self.active && has_news;
            if may_follow {
                feed.fallback = None;
            }
            return may_follow && self.rank.is_none();
        };
        feed.record_watch(now, started, known, changes);
        if self.rank.is_some() {
            feed.queue(&self.policy, known, changes);
        }
        false
    }

    /// Records a complete read of a prefix: its entries and the revision of the read, or `None` if it
    /// failed. A watcher passes on what has changed since its last answer.
    ///
    /// ```
    /// # use berylwheel_router::{Relay, RelayPolicy};
    /// # use berylwheel_types::Timestamp;
    /// let mut relay = Relay::new("r1@1".parse().unwrap(), RelayPolicy::default());
    /// relay.end_read(Timestamp::from_millis(0), "servers/", Some((&[], 7)));
    /// ```
    pub fn end_read(&mut self, now: Timestamp, prefix: &str, read: Option<(&[Entry], u64)>) {
        self.note_call(now);
        let until = now + self.fallback_hold;
        let feed = self.feeds.entry(prefix.to_owned()).or_insert_with(|| Feed::new(until));
        let Some((entries, at)) = read else {
            feed.own_since = None;
            return;
        };
        let base = feed.seen();
        let changes = feed.record_read(now, entries, at);
        if self.rank.is_some() {
            feed.queue(&self.policy, base, &changes);
        }
    }

    /// Makes this router read by itself for a while, for all prefixes.
    fn fall_back(&mut self, now: Timestamp, cause: FallbackCause) {
        *self.counts.fallbacks.entry(cause).or_default() += 1;
        for feed in self.feeds.values_mut() {
            feed.fallback = Some((now + self.fallback_hold, cause));
            feed.own_since = None;
        }
    }

    /// Notes that the process runs. After a pause, what arrives next may be old.
    pub(super) fn note_call(&mut self, now: Timestamp) {
        let previous = self.called_at.replace(now);
        if self.active && previous.is_some_and(|at| now.since(at) >= self.policy.pause) {
            self.fall_back(now, FallbackCause::Paused);
        }
    }
}

/// Returns how long the watcher `rank` waits for changes of its prefix number `place`, so that the
/// answers to all watchers are spread evenly over time.
fn slot_wait(now: Timestamp, rank: usize, place: usize) -> Millis {
    let cycle = SLOT_CYCLE.0;
    let slot = (rank as u64 * cycle / 6 + (place as u64 % 2) * cycle / 2) % cycle;
    let wait = (cycle + slot - now.as_millis() % cycle) % cycle;
    Millis(if wait < MIN_WAIT.0 { wait + cycle / 2 } else { wait })
}

//! The watch loops of a simulated router, which follow those of the program.

use std::collections::BTreeMap;

use berylwheel_router::NextWatch;
use berylwheel_store::Entry;
use berylwheel_types::Incarnation;

use super::BATCH_DELAY;
use super::Fleet;
use super::Loop;
use super::PREFIXES;
use super::START;
use super::at;
use super::feed_of;
use super::id;

/// Time after which a call without an answer fails.
const CALL_TIMEOUT: u64 = 1_000;
const WATCH_WAIT: u64 = 3_000;
const WATCH_MARGIN: u64 = 400;
const RETRY_DELAY: u64 = 100;
const MAX_BATCH_DELAY: u64 = 700;

impl Fleet {
    fn entries(&self, feed: usize, after: u64) -> Vec<Entry> {
        let done = self.changes.iter().filter(|c| c.0 <= self.now && c.1 > after);
        let entry = |(_, revision, length): &(u64, u64, usize)| Entry {
            key: format!("{}e{}", PREFIXES[feed], revision % 7),
            value: vec![1; *length],
            revision: *revision,
            deleted: revision % 5 == 0,
        };
        done.filter(|change| feed_of(change.1) == feed).map(entry).collect()
    }

    pub(super) fn step(&mut self, number: usize) {
        let now = at(self.now);
        let inbox = std::mem::take(&mut self.routers[number].inbox);
        let has_news = !inbox.is_empty();
        for news in inbox {
            let to = self.routers[number].relay.handle_news(now, &news.0, news.1, &news.2);
            self.send(number, &to, &news);
        }
        for feed in 0..PREFIXES.len() {
            self.drive_watch(number, feed, has_news);
        }
        let answered_at = at(self.routers[number].answered_at);
        if let Some(news) = self.routers[number].relay.poll(now, answered_at) {
            let origin = Incarnation { router: id(number), number: self.routers[number].run };
            self.send(number, &news.to, &(origin, news.sequence, news.feeds));
        }
    }

    fn drive_watch(&mut self, number: usize, feed: usize, has_news: bool) {
        let (now, reaches) = (self.now, self.reaches_store(number, self.now));
        match self.routers[number].watches[feed].step {
            Loop::ReadAt(due) if now >= due => self.read(number, feed, reaches),
            Loop::WatchAt(due) if now >= due => self.begin(number, feed),
            Loop::News(until) if now >= until || has_news => self.begin(number, feed),
            Loop::Pending { since, wait } => self.end_watch(number, feed, (since, wait), reaches),
            _ => {}
        }
    }

    fn read(&mut self, number: usize, feed: usize, reaches: bool) {
        self.calls += 1;
        let (now, entries) = (self.now, self.entries(feed, 0));
        let done = self.changes.iter().filter(|change| change.0 <= now);
        let revision = done.map(|change| change.1).max().unwrap_or(1);
        let state = state_of(&entries);
        let listed = entries.into_iter().filter(|e| state.get(&e.key) == Some(&e.revision));
        let listed: Vec<Entry> = listed.collect();
        let router = &mut self.routers[number];
        let read = reaches.then_some((listed.as_slice(), revision));
        router.relay.end_read(at(now), PREFIXES[feed], read);
        let watch = &mut router.watches[feed];
        if !reaches {
            watch.step = Loop::ReadAt(now + CALL_TIMEOUT + RETRY_DELAY);
            return;
        }
        router.answered_at = now;
        watch.state = state;
        watch.known = revision;
        watch.learned.push((revision, now));
        self.begin(number, feed);
    }

    fn begin(&mut self, number: usize, feed: usize) {
        let router = &mut self.routers[number];
        let known = router.watches[feed].known;
        match router.relay.begin_watch(at(self.now), PREFIXES[feed], known) {
            NextWatch::Changes(changes) => self.learn(number, feed, &changes),
            NextWatch::Wait(until) => {
                router.watches[feed].step = Loop::News(until.as_millis() - START);
            }
            NextWatch::Watch(wait) => {
                self.calls += 1;
                let wait = wait.map_or(WATCH_WAIT, |wait| wait.0);
                router.watches[feed].step = Loop::Pending { since: self.now, wait };
            }
        }
    }

    fn end_watch(&mut self, number: usize, feed: usize, (since, wait): (u64, u64), reaches: bool) {
        let (now, prefix) = (self.now, PREFIXES[feed]);
        let known = self.routers[number].watches[feed].known;
        let changes = self.entries(feed, known);
        let router = &mut self.routers[number];
        if let Ok(changes) = router.relay.overdue_changes(at(now), prefix, known) {
            return self.learn(number, feed, &changes);
        }
        if reaches && now > since && (!changes.is_empty() || now >= since + wait) {
            router.answered_at = now;
            router.relay.end_watch(at(now), prefix, known, Some(&changes));
            return self.learn(number, feed, &changes);
        }
        if now >= since + wait + WATCH_MARGIN {
            let follows = router.relay.end_watch(at(now), prefix, known, None);
            let next = now + RETRY_DELAY;
            router.watches[feed].step =
                if follows { Loop::WatchAt(next) } else { Loop::ReadAt(next) };
        }
    }

    /// Applies the changes that a watch returned, and delays the next one like the watch loop.
    fn learn(&mut self, number: usize, feed: usize, changes: &[Entry]) {
        let now = self.now;
        let watch = &mut self.routers[number].watches[feed];
        let Some(newest) = changes.iter().map(|change| change.revision).max() else {
            watch.resumed_at = now;
            return self.begin(number, feed);
        };
        assert!(newest > watch.known, "a watch goes back");
        let follows = |pair: &[Entry]| pair[0].revision <= pair[1].revision;
        assert!(changes.windows(2).all(follows), "changes are not in order");
        for change in changes {
            match change.deleted {
                true => watch.state.remove(&change.key),
                false => watch.state.insert(change.key.clone(), change.revision),
            };
        }
        watch.known = newest;
        watch.learned.push((newest, now));
        let follows_soon = now - watch.resumed_at < watch.delay;
        watch.delay =
            if follows_soon { (watch.delay * 2).min(MAX_BATCH_DELAY) } else { BATCH_DELAY };
        watch.resumed_at = now + watch.delay;
        // Versions of the configuration that follow each other quickly are read as a whole.
        let reads = feed == 0 && follows_soon;
        let next = watch.resumed_at;
        watch.step = if reads { Loop::ReadAt(next) } else { Loop::WatchAt(next) };
        let known = watch.known;
        let all = self.entries(feed, 0).into_iter().filter(|entry| entry.revision <= known);
        let expected = state_of(&all.collect::<Vec<_>>());
        assert_eq!(self.routers[number].watches[feed].state, expected, "r{number} misses changes");
    }
}

/// Returns the keys that exist after the changes, with their revisions.
fn state_of(changes: &[Entry]) -> BTreeMap<String, u64> {
    let mut state = BTreeMap::new();
    for change in changes {
        match change.deleted {
            true => state.remove(&change.key),
            false => state.insert(change.key.clone(), change.revision),
        };
    }
    state
}

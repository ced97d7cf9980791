//! The backend servers that a platform's store lists, over its outages.

use berylwheel_types::BackendId;
use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

use crate::Server;

/// A store that failed for less than this has let no entry lapse: servers renew theirs for several
/// intervals of more than a second.
const OUTAGE_LEAST: Millis = Millis(1_000);

/// How long an entry counts at most whose removal was seen after an outage. It may have lapsed, as the
/// server had no time to renew it, or the server leaves and must get no work two seconds later.
const REMOVED_TIME: Millis = Millis(1_000);

/// What a server says of itself in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// It takes work.
    Ready,
    /// It leaves and takes no new work.
    Draining,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedServer {
    /// The server.
    pub server: Server,
    /// Whether it takes work.
    pub listing: Listing,
    /// When the process started, by its own clock, if it says so. A later start under the same id
    /// holds nothing of before.
    pub born: Option<u64>,
}

/// News of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerNews {
    /// The whole list.
    All(Vec<ListedServer>),
    /// A new or changed entry.
    Changed(Box<ListedServer>),
    /// An entry that is there no more.
    Removed(BackendId),
    /// The store did not answer.
    StoreFailed,
}

/// What follows from news.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListChange {
    /// The servers that may be used.
    pub servers: Vec<Server>,
    /// Those of them whose process is a new one under the id of another.
    pub restarted: Vec<BackendId>,
    /// Those that may be used no more.
    pub left: Vec<BackendId>,
}

#[derive(Debug)]
struct Entry {
    listed: ListedServer,
    /// Until when the entry counts although the list does not show it.
    missing: Option<Timestamp>,
}

/// The servers that may be used.
///
/// While a store is down, entries of servers that live can lapse. They come back soon after its
/// return, so an entry that is missing then counts for `lapse_time` more.
///
/// ```
/// use berylwheel_route::{ListedServer, Listing, Server, ServerList, ServerNews};
/// use berylwheel_types::{Millis, Timestamp};
/// let server = Server {
///     id: "s1".parse().unwrap(),
///     address: "127.0.0.1:9000".parse().unwrap(),
///     kinds: vec!["chat".parse().unwrap()],
///     models: vec![],
///     concurrency: 1,
///     domain: "d1".parse().unwrap(),
/// };
/// let entry = ListedServer { server, listing: Listing::Ready, born: None };
/// let mut list = ServerList::new(Millis(2_000));
/// let at = Timestamp::from_millis;
/// list.take(at(0), ServerNews::All(vec![entry]));
/// assert_eq!(list.poll(at(0)).unwrap().servers.len(), 1);
/// assert_eq!(list.poll(at(1)), None);
/// list.take(at(2), ServerNews::All(vec![]));
/// assert_eq!(list.poll(at(2)).unwrap().servers.len(), 0);
/// ```
#[derive(Debug)]
pub struct ServerList {
    lapse_time: Millis,
    entries: FastMap<BackendId, Entry>,
    failing: Option<Timestamp>,
    /// When the store came back after an outage.
    back: Option<Timestamp>,
    change: Option<ListChange>,
}

impl ServerList {
    /// Returns an empty list.
    pub fn new(lapse_time: Millis) -> Self {
        Self { lapse_time, entries: FastMap::default(), failing: None, back: None, change: None }
    }

    /// Takes in news.
    pub fn take(&mut self, now: Timestamp, news: ServerNews) {
        if news == ServerNews::StoreFailed {
            self.failing.get_or_insert(now);
            return;
        }
        if let Some(since) = self.failing.take()
            && now.since(since) >= OUTAGE_LEAST
        {
            self.back = Some(now);
        }
        match news {
            ServerNews::All(listed) => self.replace(now, listed),
            ServerNews::Changed(listed) => self.set(*listed),
            ServerNews::Removed(id) => self.miss(now, &id, REMOVED_TIME),
            ServerNews::StoreFailed => {}
        }
    }

    /// Returns whether the store's word on the servers is missing.
    pub fn is_failing(&self) -> bool {
        self.failing.is_some()
    }

    /// Returns what has changed since the last call.
    pub fn poll(&mut self, now: Timestamp) -> Option<ListChange> {
        let over = |entry: &Entry| entry.missing.is_some_and(|until| until <= now);
        let gone: Vec<BackendId> =
            self.entries.iter().filter(|(_, e)| over(e)).map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.entries.remove(&id);
            self.changed().left.push(id);
        }
        let mut change = self.change.take()?;
        let ready = self.entries.values().filter(|e| e.listed.listing == Listing::Ready);
        change.servers = ready.map(|entry| entry.listed.server.clone()).collect();
        change.servers.sort_by(|a, b| a.id.cmp(&b.id));
        Some(change)
    }

    fn changed(&mut self) -> &mut ListChange {
        self.change.get_or_insert_default()
    }

    fn replace(&mut self, now: Timestamp, listed: Vec<ListedServer>) {
        let mut missing: Vec<BackendId> = self.entries.keys().cloned().collect();
        missing.retain(|id| listed.iter().all(|entry| entry.server.id != *id));
        for entry in listed {
            self.set(entry);
        }
        for id in missing {
            self.miss(now, &id, self.lapse_time);
        }
        self.changed();
    }

    fn set(&mut self, listed: ListedServer) {
        let id = listed.server.id.clone();
        let before =
            self.entries.insert(id.clone(), Entry { listed: listed.clone(), missing: None });
        let Some(Entry { listed: before, .. }) = before else {
            self.changed();
            return;
        };
        let restarted = before.born < listed.born && before.born.is_some();
        if restarted {
            self.changed().restarted.push(id.clone());
        }
        if before.listing == Listing::Ready && listed.listing == Listing::Draining {
            self.changed().left.push(id);
        }
        if before != listed {
            self.changed();
        }
    }

    /// Notes that an entry is not there. After an outage it counts for at most `limit` more.
    fn miss(&mut self, now: Timestamp, id: &BackendId, limit: Millis) {
        let lapsed = self.back.map(|back| back + self.lapse_time).filter(|until| now < *until);
        match (lapsed, self.entries.get_mut(id)) {
            (Some(until), Some(entry)) => {
                entry.missing = entry.missing.or(Some(until.min(now + limit)));
            }
            (None, Some(_)) => {
                self.entries.remove(id);
                self.changed().left.push(id.clone());
            }
            (_, None) => {}
        }
    }
}

//! The list of backend servers in a platform's store, kept usable through outages of the store.

use berylwheel_types::BackendId;
use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

use crate::Server;

/// Shortest store failure that counts as an outage. Entries cannot expire in a shorter one: they
/// stay valid for several renewal intervals of more than a second each.
const MIN_OUTAGE: Millis = Millis(1_000);

/// Maximum time for which an entry stays usable if its removal is reported after an outage. Either
/// the entry expired before the server could renew it, or the server is shutting down and must get
/// no requests two seconds later.
const REMOVAL_GRACE: Millis = Millis(1_000);

/// Status of a server according to its own list entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerStatus {
    /// The server accepts requests.
    Ready,
    /// The server is shutting down and accepts no new requests.
    Draining,
}

/// One entry of the server list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedServer {
    /// The server's configuration.
    pub server: Server,
    /// Whether the server accepts requests.
    pub status: ServerStatus,
    /// Start time of the server process by its own clock, if reported. A later start time under the
    /// same id means a new process without the cache and load of the previous one.
    pub started_at: Option<u64>,
    /// How long the server stays cold from the write of the entry, zero if it is not cold; `None` if
    /// the entry does not state it.
    pub cold_for: Option<Millis>,
}

/// What the list says newly about how long a server stays cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdReport {
    /// The server.
    pub server: BackendId,
    /// How long it stays cold, zero if it is not cold.
    pub remaining: Millis,
}

/// An event from the watch on the server list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerListEvent {
    /// The complete list.
    All(Vec<ListedServer>),
    /// An entry was added or changed.
    Changed(Box<ListedServer>),
    /// An entry was removed.
    Removed(BackendId),
    /// An entry was replaced by one that names no server.
    Replaced(BackendId),
    /// The store failed to answer.
    StoreFailed,
}

/// Changes to the set of usable servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListChange {
    /// All usable servers.
    pub servers: Vec<Server>,
    /// Servers whose process was replaced by a new one under the same id.
    pub restarted: Vec<BackendId>,
    /// Servers that are no longer usable.
    pub removed: Vec<BackendId>,
}

impl ListedServer {
    /// Returns whether the entries are equal apart from the time that passes.
    fn is_same(&self, other: &Self) -> bool {
        let cold_for = other.cold_for;
        Self { cold_for, ..self.clone() } == *other
    }
}

/// Maximum number of removed entries that are remembered.
const REMOVED_LIMIT: usize = 512;

/// Whether an entry is in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    Listed,
    /// Missing from the list, but usable until the given time.
    Expiring(Timestamp),
    /// Removed at the given time. The entry is kept only for its start time.
    Removed(Timestamp),
}

#[derive(Debug)]
struct Entry {
    listed: ListedServer,
    presence: Presence,
    /// The latest start time that was listed under this id.
    latest_start: Option<u64>,
}

impl Entry {
    fn is_removed(&self) -> bool {
        matches!(self.presence, Presence::Removed(_))
    }
}

/// Tracks the usable servers of a platform's list.
///
/// While the store is down, entries of live servers can expire. The servers write them again soon
/// after the store recovers, so an entry that is missing then stays usable until `expiry_grace`
/// after the recovery.
///
/// ```
/// use berylwheel_route::{ListedServer, Server, ServerList, ServerListEvent, ServerStatus};
/// use berylwheel_types::{Millis, Timestamp};
/// let server = Server {
///     id: "s1".parse().unwrap(),
///     address: "127.0.0.1:9000".parse().unwrap(),
///     kinds: vec!["chat".parse().unwrap()],
///     models: vec![],
///     concurrency: 1,
///     domain: "d1".parse().unwrap(),
/// };
/// let entry = ListedServer { server, status: ServerStatus::Ready, started_at: None, cold_for: None };
/// let mut list = ServerList::new(Millis(2_000));
/// let at = Timestamp::from_millis;
/// list.apply(at(0), ServerListEvent::All(vec![entry]));
/// assert_eq!(list.poll(at(0)).unwrap().servers.len(), 1);
/// assert_eq!(list.poll(at(1)), None);
/// list.apply(at(2), ServerListEvent::All(vec![]));
/// assert_eq!(list.poll(at(2)).unwrap().servers.len(), 0);
/// ```
#[derive(Debug)]
pub struct ServerList {
    expiry_grace: Millis,
    entries: FastMap<BackendId, Entry>,
    failing_since: Option<Timestamp>,
    /// When the store recovered from its last outage.
    recovered_at: Option<Timestamp>,
    /// The earliest time at which an entry expires, or an earlier time.
    next_expiry: Option<Timestamp>,
    pending: Option<ListChange>,
    cold_reports: Vec<ColdReport>,
}

impl ServerList {
    /// Returns an empty list.
    pub fn new(expiry_grace: Millis) -> Self {
        Self {
            expiry_grace,
            entries: FastMap::default(),
            failing_since: None,
            recovered_at: None,
            next_expiry: None,
            pending: None,
            cold_reports: Vec::new(),
        }
    }

    /// Applies an event of the server list.
    pub fn apply(&mut self, now: Timestamp, event: ServerListEvent) {
        if event == ServerListEvent::StoreFailed {
            self.failing_since.get_or_insert(now);
            return;
        }
        if let Some(since) = self.failing_since.take()
            && now.since(since) >= MIN_OUTAGE
        {
            self.recovered_at = Some(now);
        }
        match event {
            ServerListEvent::All(listed) => self.replace_all(now, listed),
            ServerListEvent::Changed(listed) => {
                self.note_cold(&listed, true);
                self.upsert(*listed);
            }
            ServerListEvent::Removed(id) => self.mark_missing(now, &id, REMOVAL_GRACE),
            ServerListEvent::Replaced(id) => self.mark_replaced(now, id),
            ServerListEvent::StoreFailed => {}
        }
    }

    /// Returns whether the store is failing, so that the list may be out of date.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Removes expired entries and returns the changes since the last call, if any.
    pub fn poll(&mut self, now: Timestamp) -> Option<ListChange> {
        if self.next_expiry.is_some_and(|at| at <= now) {
            self.remove_expired(now);
        }
        let mut change = self.pending.take()?;
        let is_usable = |e: &&Entry| !e.is_removed() && e.listed.status == ServerStatus::Ready;
        let ready = self.entries.values().filter(is_usable);
        change.servers = ready.map(|entry| entry.listed.server.clone()).collect();
        change.servers.sort_by(|a, b| a.id.cmp(&b.id));
        Some(change)
    }

    /// Returns what entries stated since the last call about how long their servers stay cold.
    ///
    /// ```
    /// use berylwheel_route::ServerList;
    /// use berylwheel_types::Millis;
    /// assert_eq!(ServerList::new(Millis(2_000)).take_cold_reports(), []);
    /// ```
    pub fn take_cold_reports(&mut self) -> Vec<ColdReport> {
        std::mem::take(&mut self.cold_reports)
    }

    /// Records how long a server stays cold. An entry that is read again without having been
    /// written says nothing new.
    fn note_cold(&mut self, listed: &ListedServer, is_written: bool) {
        let Some(remaining) = listed.cold_for else { return };
        let previous = self.entries.get(&listed.server.id).filter(|entry| !entry.is_removed());
        if is_written || previous.is_none_or(|entry| entry.listed != *listed) {
            let server = listed.server.id.clone();
            self.cold_reports.push(ColdReport { server, remaining });
        }
    }

    fn remove_expired(&mut self, now: Timestamp) {
        let expiries = self.entries.iter().filter_map(|(id, entry)| match entry.presence {
            Presence::Expiring(until) => Some((until, id.clone())),
            Presence::Listed | Presence::Removed(_) => None,
        });
        let (expired, waiting): (Vec<_>, Vec<_>) = expiries.partition(|(until, _)| *until <= now);
        self.next_expiry = waiting.into_iter().map(|(until, _)| until).min();
        for (_, id) in expired {
            self.remove(now, id);
        }
    }

    fn pending_change(&mut self) -> &mut ListChange {
        self.pending.get_or_insert_default()
    }

    fn replace_all(&mut self, now: Timestamp, listed: Vec<ListedServer>) {
        let current = self.entries.iter().filter(|(_, entry)| !entry.is_removed());
        let mut missing: Vec<BackendId> = current.map(|(id, _)| id.clone()).collect();
        missing.retain(|id| listed.iter().all(|entry| entry.server.id != *id));
        for entry in listed {
            self.note_cold(&entry, false);
            self.upsert(entry);
        }
        for id in missing {
            self.mark_missing(now, &id, self.expiry_grace);
        }
        self.pending_change();
    }

    fn upsert(&mut self, listed: ListedServer) {
        let id = listed.server.id.clone();
        let started_at = listed.started_at;
        let entry =
            Entry { listed: listed.clone(), presence: Presence::Listed, latest_start: started_at };
        let Some(previous) = self.entries.insert(id.clone(), entry) else {
            self.pending_change();
            return;
        };
        // A list that is out of date may name an earlier process again.
        let latest = previous.latest_start;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.latest_start = latest.max(started_at);
        }
        if latest.is_some() && latest < started_at {
            self.pending_change().restarted.push(id.clone());
        }
        let was_removed = previous.is_removed();
        let Entry { listed: previous, .. } = previous;
        let was_ready = !was_removed && previous.status == ServerStatus::Ready;
        if was_ready && listed.status == ServerStatus::Draining {
            self.pending_change().removed.push(id);
        }
        if was_removed || !previous.is_same(&listed) {
            self.pending_change();
        }
    }

    /// Handles an entry that is missing from the list: removes it, or, shortly after an outage,
    /// keeps it usable for at most `limit`.
    fn mark_missing(&mut self, now: Timestamp, id: &BackendId, limit: Millis) {
        let grace_end =
            self.recovered_at.map(|at| at + self.expiry_grace).filter(|until| now < *until);
        let Some(entry) = self.entries.get_mut(id) else { return };
        match (grace_end, entry.presence) {
            (Some(until), Presence::Listed) => {
                let until = until.min(now + limit);
                entry.presence = Presence::Expiring(until);
                self.next_expiry = Some(self.next_expiry.map_or(until, |at| at.min(until)));
            }
            (Some(_), Presence::Expiring(_)) | (_, Presence::Removed(_)) => {}
            (None, _) => self.remove(now, id.clone()),
        }
    }

    /// Handles an entry that no longer names a server: it stops being usable at once.
    fn mark_replaced(&mut self, now: Timestamp, id: BackendId) {
        let presence = self.entries.get(&id).map(|entry| entry.presence);
        if matches!(presence, Some(Presence::Listed | Presence::Expiring(_))) {
            self.remove(now, id);
        }
    }

    fn remove(&mut self, now: Timestamp, id: BackendId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.presence = Presence::Removed(now);
        }
        self.pending_change().removed.push(id);
        let removed = self.entries.iter().filter_map(|(id, entry)| match entry.presence {
            Presence::Removed(at) => Some((at, id)),
            _ => None,
        });
        if removed.clone().count() > REMOVED_LIMIT
            && let Some(oldest) = removed.min().map(|(_, id)| id.clone())
        {
            self.entries.remove(&oldest);
        }
    }
}

//! Open connections and statistics of a link.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use berylwheel_types::FastMap;
use berylwheel_types::RouterId;
use quinn::Connection;
use quinn::VarInt;
use serde::Serialize;

/// The maximum number of connections from one peer. There may be two because the old connection of
/// a restarted peer stays open until it times out.
const PEER_CONNECTION_LIMIT: usize = 2;

/// Statistics of a link since it was bound.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerStats {
    /// Bytes received, in UDP payloads.
    pub bytes_in: u64,
    /// Bytes sent, in UDP payloads.
    pub bytes_out: u64,
    /// Messages received.
    pub messages_in: u64,
    /// Messages sent and acknowledged by the peer's transport.
    pub messages_out: u64,
    /// Messages dropped before they were sent, for example because they were too large or the queue
    /// was full.
    pub dropped: u64,
    /// Messages sent but not acknowledged.
    pub lost: u64,
    /// Received frames that were too large, could not be decoded, or were heartbeats with a router
    /// name other than that in the certificate.
    pub malformed: u64,
    /// Connections that were refused or failed, in either direction.
    pub refused: u64,
    /// Connections that are currently open, in either direction.
    pub connections: u64,
    /// Connections that were opened to peers, including failed ones.
    pub handshakes_out: u64,
    /// Connections that peers opened, including failed ones.
    pub handshakes_in: u64,
}

/// What a link has done for one kind of message since it was bound.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct KindStats {
    /// Messages queued for a peer.
    pub queued: u64,
    /// Messages received.
    pub received: u64,
    /// Connections that were opened to send such a message, including failed ones.
    pub handshakes: u64,
}

/// Counters updated by the tasks of a link.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub messages_in: AtomicU64,
    pub messages_out: AtomicU64,
    pub dropped: AtomicU64,
    pub lost: AtomicU64,
    pub malformed: AtomicU64,
    pub refused: AtomicU64,
    pub handshakes_in: AtomicU64,
}

/// Adds `count` to a counter.
pub(crate) fn add_count(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}

/// All open connections, and the byte counts of closed ones.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    pub counters: Counters,
    kinds: Mutex<BTreeMap<&'static str, KindStats>>,
    open: Mutex<OpenConnections>,
}

#[derive(Debug, Default)]
struct OpenConnections {
    connections: FastMap<usize, Connection>,
    incoming: FastMap<RouterId, VecDeque<usize>>,
    /// The newest connection with the router at an address, whoever opened it.
    newest: FastMap<SocketAddr, usize>,
    bytes_in: u64,
    bytes_out: u64,
    epoch: u64,
}

impl Registry {
    fn lock(&self) -> MutexGuard<'_, OpenConnections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the statistics of a kind of message.
    pub fn count_kind(&self, kind: &'static str, count: impl FnOnce(&mut KindStats)) {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        count(kinds.entry(kind).or_default());
    }

    /// Returns the statistics of each kind of message.
    pub fn kinds(&self) -> BTreeMap<&'static str, KindStats> {
        self.kinds.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the current epoch, which [`Registry::close_all`] increments.
    pub fn epoch(&self) -> u64 {
        self.lock().epoch
    }

    /// Adds a connection. `from` is the peer that opened it, or `None` if this router did.
    ///
    /// `epoch` is the epoch in which the handshake started. The connection is closed at once if
    /// that is not the current one, since it was made with an old identity. If the peer has too
    /// many connections, its oldest one is closed.
    pub fn insert(&self, connection: &Connection, from: Option<&RouterId>, epoch: u64) {
        let mut open = self.lock();
        if open.epoch != epoch {
            connection.close(VarInt::from_u32(0), b"reload");
        }
        open.connections.insert(connection.stable_id(), connection.clone());
        open.newest.insert(connection.remote_address(), connection.stable_id());
        let Some(peer) = from else { return };
        let peer_ids = open.incoming.entry(peer.clone()).or_default();
        peer_ids.push_back(connection.stable_id());
        if peer_ids.len() <= PEER_CONNECTION_LIMIT {
            return;
        }
        let oldest = peer_ids.pop_front().and_then(|id| open.connections.get(&id));
        if let Some(oldest) = oldest {
            oldest.close(VarInt::from_u32(0), b"replaced");
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, connection: &Connection, from: Option<&RouterId>) {
        let id = connection.stable_id();
        let mut open = self.lock();
        open.connections.remove(&id);
        let stats = connection.stats();
        open.bytes_in += stats.udp_rx.bytes;
        open.bytes_out += stats.udp_tx.bytes;
        if open.newest.get(&connection.remote_address()) == Some(&id) {
            open.newest.remove(&connection.remote_address());
        }
        let Some(peer) = from else { return };
        let Some(peer_ids) = open.incoming.get_mut(peer) else { return };
        peer_ids.retain(|other| *other != id);
        if peer_ids.is_empty() {
            open.incoming.remove(peer);
        }
    }

    /// Returns the newest open connection with the router at `peer`.
    pub fn connection(&self, peer: SocketAddr) -> Option<Connection> {
        let open = self.lock();
        let connection = open.newest.get(&peer).and_then(|id| open.connections.get(id));
        connection.filter(|connection| connection.close_reason().is_none()).cloned()
    }

    /// Closes all connections with the router at `peer`.
    pub fn close_peer(&self, peer: SocketAddr, reason: &[u8]) {
        for connection in self.lock().connections.values() {
            if connection.remote_address() == peer {
                connection.close(VarInt::from_u32(0), reason);
            }
        }
    }

    /// Closes all connections and starts a new epoch.
    pub fn close_all(&self, reason: &[u8]) {
        let mut open = self.lock();
        open.epoch += 1;
        for connection in open.connections.values() {
            connection.close(VarInt::from_u32(0), reason);
        }
    }

    /// Returns the statistics, including the byte counts of open connections.
    pub fn stats(&self) -> PeerStats {
        let open = self.lock();
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let mut stats = PeerStats {
            bytes_in: open.bytes_in,
            bytes_out: open.bytes_out,
            messages_in: load(&self.counters.messages_in),
            messages_out: load(&self.counters.messages_out),
            dropped: load(&self.counters.dropped),
            lost: load(&self.counters.lost),
            malformed: load(&self.counters.malformed),
            refused: load(&self.counters.refused),
            connections: open.connections.len() as u64,
            handshakes_out: self.kinds().values().map(|kind| kind.handshakes).sum(),
            handshakes_in: load(&self.counters.handshakes_in),
        };
        for connection in open.connections.values() {
            let bytes = connection.stats();
            stats.bytes_in += bytes.udp_rx.bytes;
            stats.bytes_out += bytes.udp_tx.bytes;
        }
        stats
    }
}

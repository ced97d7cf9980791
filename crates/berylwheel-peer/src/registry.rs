//! Open connections and statistics of a link.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use berylwheel_types::FastMap;
use berylwheel_types::RouterId;
use quinn::Connection;
use quinn::VarInt;

/// The maximum number of connections from one peer. There may be two because the old connection of
/// a restarted peer stays open until it times out.
const CONNECTIONS_A_PEER: usize = 2;

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
}

/// Adds `count` to a counter.
pub(crate) fn add(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}

/// All open connections, and the byte counts of closed ones.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    pub counters: Counters,
    live: Mutex<Live>,
}

#[derive(Debug, Default)]
struct Live {
    connections: FastMap<usize, Connection>,
    from: FastMap<RouterId, VecDeque<usize>>,
    bytes_in: u64,
    bytes_out: u64,
    epoch: u64,
}

impl Registry {
    fn live(&self) -> MutexGuard<'_, Live> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current epoch, which [`Registry::close_all`] increments.
    pub fn epoch(&self) -> u64 {
        self.live().epoch
    }

    /// Adds a connection. `from` is the peer that opened it, or `None` if this router did.
    ///
    /// `epoch` is the epoch in which the handshake started. The connection is closed at once if
    /// that is not the current one, since it was made with an old identity. If the peer has too
    /// many connections, its oldest one is closed.
    pub fn open(&self, connection: &Connection, from: Option<&RouterId>, epoch: u64) {
        let mut live = self.live();
        if live.epoch != epoch {
            connection.close(VarInt::from_u32(0), b"reload");
        }
        live.connections.insert(connection.stable_id(), connection.clone());
        let Some(peer) = from else { return };
        let theirs = live.from.entry(peer.clone()).or_default();
        theirs.push_back(connection.stable_id());
        if theirs.len() <= CONNECTIONS_A_PEER {
            return;
        }
        let oldest = theirs.pop_front().and_then(|id| live.connections.get(&id));
        if let Some(oldest) = oldest {
            oldest.close(VarInt::from_u32(0), b"replaced");
        }
    }

    /// Removes a connection that has ended.
    pub fn ended(&self, connection: &Connection, from: Option<&RouterId>) {
        let id = connection.stable_id();
        let mut live = self.live();
        live.connections.remove(&id);
        let stats = connection.stats();
        live.bytes_in += stats.udp_rx.bytes;
        live.bytes_out += stats.udp_tx.bytes;
        let Some(peer) = from else { return };
        let Some(theirs) = live.from.get_mut(peer) else { return };
        theirs.retain(|other| *other != id);
        if theirs.is_empty() {
            live.from.remove(peer);
        }
    }

    /// Closes all connections and starts a new epoch.
    pub fn close_all(&self, reason: &[u8]) {
        let mut live = self.live();
        live.epoch += 1;
        for connection in live.connections.values() {
            connection.close(VarInt::from_u32(0), reason);
        }
    }

    /// Returns the statistics, including the byte counts of open connections.
    pub fn stats(&self) -> PeerStats {
        let live = self.live();
        let of = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let mut stats = PeerStats {
            bytes_in: live.bytes_in,
            bytes_out: live.bytes_out,
            messages_in: of(&self.counters.messages_in),
            messages_out: of(&self.counters.messages_out),
            dropped: of(&self.counters.dropped),
            lost: of(&self.counters.lost),
            malformed: of(&self.counters.malformed),
            refused: of(&self.counters.refused),
            connections: live.connections.len() as u64,
        };
        for connection in live.connections.values() {
            let bytes = connection.stats();
            stats.bytes_in += bytes.udp_rx.bytes;
            stats.bytes_out += bytes.udp_tx.bytes;
        }
        stats
    }
}

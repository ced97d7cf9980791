//! What the router knows about servers and what it is asked for.

use std::net::SocketAddr;

use berylwheel_types::BackendId;
use berylwheel_types::FailureDomain;
use berylwheel_types::KindId;
use berylwheel_types::ModelId;
use berylwheel_types::Timestamp;

/// One backend server as configured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// The server's name, which stays the same over restarts.
    pub id: BackendId,
    /// Where requests are sent.
    pub address: SocketAddr,
    /// The kinds of work that it takes. A model engine without kinds takes all kinds.
    pub kinds: Vec<KindId>,
    /// The models that it may hold; empty for a plain service.
    pub models: Vec<ModelId>,
    /// The most requests that may run at it at a time.
    pub concurrency: u32,
    /// The failure domain that it runs in.
    pub domain: FailureDomain,
}

/// What a server reports of its load.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// When the server took the figures, by the router's clock. A report that gives no time of its
    /// own counts from when it was asked for.
    pub at: Timestamp,
    /// Requests that run, from all routers.
    pub in_flight: u32,
    /// Requests that wait in the server's own queue.
    pub queued: u32,
    /// Whether the server is about to leave.
    pub draining: bool,
    /// The models in memory now; `None` if the server does not say.
    pub loaded: Option<Vec<ModelId>>,
}

/// A change of a server's prefix cache, as the server publishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Rises by one with each event of the server.
    pub sequence: u64,
    /// The hash of the prompt prefix.
    pub prefix: u64,
    /// Whether the server now holds the prefix.
    pub held: bool,
}

/// How a request ended at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Ok,
    /// The connection or the answer failed.
    Failed,
    /// The server did not answer in time.
    TimedOut,
    /// The router or the caller gave up for a reason of its own.
    Cancelled,
}

/// What a request needs of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The kind of work.
    pub kind: KindId,
    /// The model; `None` for a plain service.
    pub model: Option<ModelId>,
    /// The hash of the prompt prefix, zero if there is none.
    pub prefix: u64,
    /// Servers that have been tried.
    pub exclude: Vec<BackendId>,
}

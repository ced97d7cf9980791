//! Servers, their reports, and the requests to route.

use std::net::SocketAddr;

use berylwheel_types::BackendId;
use berylwheel_types::FailureDomain;
use berylwheel_types::KindId;
use berylwheel_types::ModelId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

/// One backend server as configured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// The server's name, which stays the same across restarts.
    pub id: BackendId,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// The kinds of work that the server accepts. A model engine without kinds accepts all of them.
    pub kinds: Vec<KindId>,
    /// The models that the server can load; empty for a plain service.
    pub models: Vec<ModelId>,
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
    /// The failure domain that the server runs in.
    pub domain: FailureDomain,
}

/// The load that a server reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// When the server measured its load, by the router's clock. For a report without a time this
    /// is when the router asked for it.
    pub at: Timestamp,
    /// Running requests from all routers.
    pub in_flight: u32,
    /// Requests waiting in the server's own queue.
    pub queued: u32,
    /// Whether the server is about to shut down.
    pub draining: bool,
    /// The models currently in memory; `None` if the server does not report them.
    pub loaded: Option<Vec<ModelId>>,
}

/// A change of a server's prefix cache, as the server publishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number, which increases by one with each event of the server.
    pub sequence: u64,
    /// The hash of the prompt prefix.
    pub prefix: u64,
    /// Whether the prefix is now in the cache; false if it was evicted.
    pub cached: bool,
}

/// How a request ended at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response arrived.
    Ok,
    /// The connection or the response failed.
    Failed,
    /// The server did not respond in time.
    TimedOut,
    /// Another server responded at the server's address, without running the request.
    Misdirected,
    /// The router or the caller cancelled the request for a reason unrelated to the server.
    Cancelled,
}

/// The requirements of a request on its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteQuery {
    /// The kind of work.
    pub kind: KindId,
    /// The model; `None` for a plain service.
    pub model: Option<ModelId>,
    /// The hash of the prompt prefix, zero if there is none.
    pub prefix: u64,
    /// Servers that were already tried.
    pub exclude: Vec<BackendId>,
    /// Length of the prompt; zero for a plain call.
    pub prompt_tokens: Tokens,
}

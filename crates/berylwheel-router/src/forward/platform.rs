//! What differs on a platform: how its store, requests and answers spell what the router needs.

use std::net::SocketAddr;
use std::sync::Arc;

use berylwheel_http::UpstreamClient;
use berylwheel_route::ListedServer;
use berylwheel_settings::Settings;
use berylwheel_store::Store;
use berylwheel_types::BackendId;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Refusal;
use berylwheel_types::Tokens;
use berylwheel_types::Version;
use berylwheel_types::WorkspaceId;
use http::HeaderMap;

/// One part of a prompt, which other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content.
    pub id: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// What a caller's headers say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The caller's id of this attempt.
    pub id: Option<String>,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Millis>,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// The most tokens that may be generated.
    pub most: Tokens,
    /// The parts of the prompt, in order. The last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
}

/// What a request that is passed on tells the server.
#[derive(Debug, Clone, Copy)]
pub struct Hop<'a> {
    /// The server that should run it.
    pub server: &'a BackendId,
    /// The caller's workspace.
    pub workspace: Option<&'a WorkspaceId>,
    /// Time that is left.
    pub left: Millis,
    /// Its rank, if it is work of a model engine.
    pub rank: Option<Rank>,
    /// The last event that has been passed on, if a stream is resumed.
    pub last_event: Option<u64>,
}

/// Load that a server reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What a server's headers say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Id of the attempt that is answered.
    pub id: Option<String>,
    /// Whether the server vouches for the answer.
    pub sealed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether the body is encoded, which no caller asks for.
    pub encoded: bool,
    /// The server's load.
    pub load: Option<AnswerLoad>,
    /// How long the server keeps the connection idle; `None` if it does not say.
    pub keep: Option<Millis>,
    /// Whether the server closes the connection.
    pub closes: bool,
}

/// A configuration as the operator keeps it.
#[derive(Debug, Clone)]
pub struct Stated {
    /// Its version.
    pub version: Version,
    /// The settings that it states.
    pub settings: Settings,
}

/// The platform that the router runs on. Implementations decode and encode, and decide nothing.
pub trait Platform: Send + Sync {
    /// Returns the platform's store, whose calls go through `upstream`.
    fn store(&self, addresses: &[SocketAddr], upstream: UpstreamClient) -> Arc<dyn Store>;

    /// Returns the store key of the operator's configuration.
    fn configuration_key(&self) -> &str;

    /// Reads the operator's configuration.
    ///
    /// # Errors
    /// Returns what is wrong with it.
    fn configuration(&self, value: &[u8]) -> Result<Stated, String>;

    /// Returns the prefix of the store keys under which backend servers list themselves.
    fn servers_prefix(&self) -> &str;

    /// Reads a backend server's entry.
    ///
    /// # Errors
    /// Returns what is wrong with it.
    fn server(&self, key: &str, value: &[u8]) -> Result<ListedServer, String>;

    /// Returns the id of the backend server that an entry belongs to, if it can be one.
    fn server_id(&self, key: &str) -> Option<BackendId>;

    /// Reads a caller's headers.
    fn caller(&self, headers: &HeaderMap) -> CallerHead;

    /// Turns a caller's headers into those of the request that is passed on.
    fn forward(&self, headers: &mut HeaderMap, hop: &Hop<'_>);

    /// Reads the headers of a server's answer.
    fn answer(&self, headers: &HeaderMap) -> AnswerHead;

    /// Adds what a refusal tells the caller in headers.
    fn refuse(&self, headers: &mut HeaderMap, refusal: &Refusal);
}

//! The interface to the platform: its store and the encoding of its requests and responses.

use std::sync::Arc;

use berylwheel_http::UpstreamClient;
use berylwheel_route::ListedServer;
use berylwheel_route::PauseRequest;
use berylwheel_settings::RouterSettings;
use berylwheel_settings::Settings;
use berylwheel_store::Store;
use berylwheel_types::BackendId;
use berylwheel_types::FailureDomain;
use berylwheel_types::Millis;
use berylwheel_types::PromptPartId;
use berylwheel_types::Rank;
use berylwheel_types::Refusal;
use berylwheel_types::Tokens;
use berylwheel_types::Version;
use berylwheel_types::WorkspaceId;
use http::HeaderMap;

/// One part of a prompt, which other requests may have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: PromptPartId,
    /// Length of the part.
    pub tokens: Tokens,
}

/// Decoded headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHeaders {
    /// Id that the caller gave this attempt.
    pub id: Option<String>,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Millis>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens that may be generated.
    pub max_tokens: Tokens,
    /// Parts of the prompt, in order. The last one is specific to the request or its session.
    pub prompt_parts: Vec<PromptPart>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
}

/// Values for the headers of a request to a backend server.
#[derive(Debug, Clone, Copy)]
pub struct ForwardedRequest<'a> {
    /// The server that the request is meant for.
    pub server: &'a BackendId,
    /// The caller's workspace.
    pub workspace: Option<&'a WorkspaceId>,
    /// Time left until the deadline.
    pub time_left: Millis,
    /// Rank of the request, if it is work for a model engine.
    pub rank: Option<Rank>,
    /// Id of the last event that was relayed, if a stream is resumed.
    pub last_event: Option<u64>,
}

/// Load that a server reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// How long work takes on the server's machine at the moment, in percent of the usual time.
    pub work_time: Option<u32>,
}

/// Decoded headers of a server's response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Id of the attempt that the response belongs to. Several or unreadable ids are no attempt's
    /// id, but differ from a response without any.
    pub id: Option<String>,
    /// Whether the server marked the response as its own.
    pub sealed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether the body has a content encoding, which no caller asks for.
    pub encoded: bool,
    /// Load of the server.
    pub load: Option<ReportedLoad>,
    /// How long the server keeps an idle connection open; `None` if it does not state it.
    pub idle_timeout: Option<Millis>,
    /// Whether the server closes the connection after the response.
    pub close: bool,
    /// Whether the server states that it is leaving.
    pub leaving: bool,
    /// The delay before the next request that the server asks for.
    pub pause: PauseRequest,
    /// How long the server stays cold, zero if it is not cold; `None` if it does not state it.
    pub cold: Option<Millis>,
}

/// A version of the operator's configuration.
#[derive(Debug, Clone)]
pub struct OperatorConfig {
    /// Version number of the configuration.
    pub version: Version,
    /// Settings in the configuration.
    pub settings: Settings,
    /// What the configuration says that the settings do not, one text each.
    pub repairs: Vec<String>,
}

/// The platform that the router runs on. Implementations only decode and encode; all decisions are
/// the router's.
pub trait Platform: Send + Sync {
    /// Creates a client for the platform's store that sends its requests through `upstream`.
    fn store(&self, settings: &RouterSettings, upstream: UpstreamClient) -> Arc<dyn Store>;

    /// Returns the prefix of all store keys that the operator writes.
    fn operator_prefix(&self) -> &str;

    /// Returns the failure domain that is evacuated while a store key exists, or `None` if the key
    /// does not evacuate one.
    fn evacuated_domain(&self, key: &str) -> Option<FailureDomain>;

    /// Returns the store key of the operator's configuration.
    fn configuration_key(&self) -> &str;

    /// Decodes the operator's configuration. The platform has accepted it, so what can be served of
    /// it is in the result, whatever else it says.
    ///
    /// # Errors
    /// Fails with a description if the value is no configuration at all.
    fn decode_configuration(&self, value: &[u8]) -> Result<OperatorConfig, String>;

    /// Returns the prefix of the store keys under which backend servers register.
    fn servers_prefix(&self) -> &str;

    /// Decodes a backend server's store entry.
    ///
    /// # Errors
    /// Fails with a description if the entry is invalid.
    fn decode_server(&self, key: &str, value: &[u8]) -> Result<ListedServer, String>;

    /// Returns the id of the backend server that a store key belongs to, or `None` if the key is
    /// not that of a server.
    fn server_id(&self, key: &str) -> Option<BackendId>;

    /// Decodes a caller's request headers.
    fn decode_request(&self, headers: &HeaderMap) -> RequestHeaders;

    /// Changes a caller's headers into those of the request to the backend server.
    fn encode_request(&self, headers: &mut HeaderMap, forwarded: &ForwardedRequest<'_>);

    /// Decodes a server's response headers.
    fn decode_response(&self, headers: &HeaderMap) -> ResponseHeaders;

    /// Adds the response headers of a refusal, such as the retry delay.
    fn encode_refusal(&self, headers: &mut HeaderMap, refusal: &Refusal);
}

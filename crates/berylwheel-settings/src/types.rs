//! The typed settings that the other crates read.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use berylwheel_types::BackendId;
use berylwheel_types::BitRate;
use berylwheel_types::BudgetId;
use berylwheel_types::ByteSize;
use berylwheel_types::Decimal;
use berylwheel_types::FailureDomain;
use berylwheel_types::KindId;
use berylwheel_types::Millis;
use berylwheel_types::ModelId;
use berylwheel_types::ParseIdError;
use berylwheel_types::PromptPartId;
use berylwheel_types::Rank;
use berylwheel_types::RouterId;
use berylwheel_types::Share;
use berylwheel_types::Tokens;
use berylwheel_types::WorkspaceId;

use crate::SectionName;

macro_rules! keyword_enum {
    ($(#[$doc:meta])* $name:ident, $expected:literal, $($(#[$variant_doc:meta])* $variant:ident = $text:literal,)*) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$variant => $text,)* })
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text {
                    $($text => Ok(Self::$variant),)*
                    _ => Err(ParseIdError { expected: $expected }),
                }
            }
        }
    };
}

keyword_enum!(
    /// The type of service that handles a kind of work.
    Service, "engine or plain",
    /// A model engine that serves chat completions.
    Engine = "engine",
    /// Any other HTTP service.
    Plain = "plain",
);

keyword_enum!(
    /// Whether a call may be sent again.
    Repeat, "idempotent, never, by-key or once",
    /// The call may be repeated.
    Idempotent = "idempotent",
    /// The call must run at most once and needs an idempotency key.
    Never = "never",
    /// The service itself deduplicates by idempotency key.
    ByKey = "by-key",
    /// Each request that arrives is sent at most once. Callers never send one again, so no record
    /// of it is kept.
    Once = "once",
);

keyword_enum!(
    /// How a response is forwarded to the caller.
    Answer, "whole or stream",
    /// As one body, once it is complete.
    Whole = "whole",
    /// As server-sent events with rising ids, each as it arrives.
    Stream = "stream",
);

keyword_enum!(
    /// Which interface the router offers and uses.
    Adapter, "none or platform",
    /// The router's own interface.
    None = "none",
    /// The interface of the platform in `platform/`.
    Platform = "platform",
);

keyword_enum!(
    /// How an engine handles an order with an outdated fencing number.
    Fencing, "checked or ignored",
    /// The engine rejects the order.
    Checked = "checked",
    /// The engine ignores the fencing number.
    Ignored = "ignored",
);

/// One router's own settings, section `[router]`.
///
/// Settings without that section have placeholders; see [`crate::Settings::has_router`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterSettings {
    /// The router's name, which stays the same across restarts.
    pub name: RouterId,
    /// The failure domain that it runs in.
    pub domain: FailureDomain,
    /// The region that it runs in.
    pub region: String,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The address of the admin interface.
    pub admin: SocketAddr,
    /// The UDP address of the link between routers.
    pub peer: SocketAddr,
    /// The addresses of the store.
    pub store: Vec<SocketAddr>,
    /// The other routers and their peer addresses.
    pub peers: Vec<(RouterId, SocketAddr)>,
    /// The address of the platform's VM list.
    pub vms: Option<SocketAddr>,
    /// The address that metrics are sent to.
    pub metrics: Option<SocketAddr>,
    /// Which interface the router offers and uses.
    pub adapter: Adapter,
    /// The address where a load balancer asks whether the router is ready.
    pub ready: Option<SocketAddr>,
    /// The path of the certificate authority that peers must be signed by. Without the three paths
    /// routers share an authority that they keep in the store.
    pub ca: Option<PathBuf>,
    /// The path of this router's certificate.
    pub cert: Option<PathBuf>,
    /// The path of this router's private key.
    pub key: Option<PathBuf>,
    /// The number of traffic threads; with 0 the control thread handles the traffic.
    pub threads: u32,
    /// How long a planned stop may take before the platform ends the process, if it does so.
    pub stop_limit: Option<Millis>,
    /// How soon a change in the platform's store must be in force after open connections to the store
    /// have gone silent; `None` for the default of the platform's client.
    pub silence_limit: Option<Millis>,
    /// Retries that the fleet may send per request; `None` for the router's default.
    pub retry_share: Option<Decimal>,
    /// Retries that the fleet may send per ten seconds in addition to that share.
    pub retry_extra: Option<Decimal>,
    /// Prompt parts whose requests are served even if servers end under them.
    pub exempt_parts: Vec<PromptPartId>,
    /// The bit rate of the VM's network link. If set, requests are refused when the link is full,
    /// so that callers use another router.
    pub link: Option<BitRate>,
    /// Whether the fleet starts for the first time, so that no tokens of an earlier run are left.
    pub first_start: bool,
    /// How long the tokens that a router holds should last while the store is unreachable.
    pub holding_time: Option<Millis>,
}

/// Limits of the whole fleet, section `[fleet]`. Each applies per router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// The largest request body.
    pub body_limit: ByteSize,
    /// How long a caller may take to send a request.
    pub receive_time: Millis,
    /// The largest head of a request.
    pub head_limit: ByteSize,
    /// How long a caller's connection may be idle.
    pub idle_time: Millis,
    /// How long a request may take.
    pub request_limit: Millis,
    /// How long a planned stop waits for requests in progress.
    pub drain_limit: Millis,
    /// The number of ledger pages. Fixed once the first configuration is accepted.
    pub ledger_pages: u32,
    /// How many caller connections one router accepts.
    pub connections: u32,
}

/// The service goals of one rank, section `[rank NAME]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankSettings {
    /// The guaranteed minimum share of capacity.
    pub floor: Share,
    /// The target for the time to the first token.
    pub target: Millis,
}

/// A kind of work, section `[kind NAME]` with inherited values. Limits apply per router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KindSettings {
    /// The kind.
    pub id: KindId,
    /// The type of service that handles it.
    pub service: Service,
    /// The models that callers may request; empty for a plain service.
    pub models: Vec<ModelId>,
    /// Its rank.
    pub rank: Rank,
    /// Whether its calls may be repeated.
    pub repeat: Repeat,
    /// Whether the service answers `GET /calls/KEY`.
    pub lookup: bool,
    /// The cost of one request to a plain service.
    pub price: Tokens,
    /// The default deadline of a request.
    pub deadline: Millis,
    /// How many requests may wait.
    pub queue: u32,
    /// How many bytes of requests may wait.
    pub queue_bytes: ByteSize,
    /// How many requests may run at a time.
    pub concurrency: u32,
    /// How many connections to its backend servers are kept.
    pub connections: u32,
    /// The default and upper bound of `max_tokens` of an engine request.
    pub max_tokens: Tokens,
    /// The host name to match, if requests are forwarded by host and path.
    pub host: Option<String>,
    /// The path prefix to match.
    pub path: Option<String>,
    /// The pools of backend servers that such requests are forwarded to, with weights.
    pub pools: Vec<(KindId, u32)>,
    /// How the response is forwarded to the caller.
    pub answer: Answer,
    /// Whether a stream may be resumed at another server.
    pub resume: bool,
    /// The number of servers that a request may be sent to.
    pub attempts: u32,
    /// The latency target for the response, or for the first event of a stream.
    pub target: Millis,
    /// The target for the longest gap between events of a stream.
    pub gap: Millis,
    /// Whether requests are accepted without a key.
    pub open: bool,
}

/// A group of interchangeable backend servers, section `[pool NAME]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// The pool.
    pub id: KindId,
    /// How many connections one of its servers accepts.
    pub connections: u32,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// Memory of one server for requests and cached prefixes; zero for a plain service.
    pub model_memory: Tokens,
    /// Requests per second that one of its servers can handle while it is cold, from all routers;
    /// 0 for no limit.
    pub cold_rate: Decimal,
    /// How long a server that does not state it is cold after its start.
    pub cold_time: Millis,
}

/// One key of a caller: `key.NAME = SHA256HEX [BUDGET]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeySettings {
    /// The name that operators gave the key.
    pub name: String,
    /// The SHA-256 digest of the key, 64 lower-case hexadecimal digits.
    pub sha256: String,
    /// The budget that requests with this key are billed to.
    pub budget: BudgetId,
}

/// A workspace, section `[workspace NAME]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceSettings {
    /// The workspace.
    pub id: WorkspaceId,
    /// The keys of its callers.
    pub keys: Vec<KeySettings>,
    /// Whether its requests are refused.
    pub closed: bool,
    /// The rank of the workspace, which overrides that of a kind.
    pub rank: Option<Rank>,
    /// How many requests it may have in flight at one router.
    pub in_flight: u32,
    /// The default budget of its keys.
    pub budget: BudgetId,
    /// The total of all tokens ever paid into that budget. If `None`, operators credit each payment
    /// to the budget separately.
    pub tokens: Option<Tokens>,
}

/// A backend server, section `[server NAME]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSettings {
    /// The server.
    pub id: BackendId,
    /// Its address.
    pub address: SocketAddr,
    /// The kinds of work that it serves.
    pub kinds: Vec<KindId>,
    /// The models that it serves.
    pub models: Vec<ModelId>,
    /// How many requests it runs at a time.
    pub concurrency: u32,
    /// The failure domain that it runs in.
    pub domain: FailureDomain,
    /// How it handles an order with an outdated fencing number.
    pub fencing: Fencing,
}

/// An operator, section `[operator NAME]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// The operator's name.
    pub name: String,
    /// The SHA-256 digest of the operator's key, 64 lower-case hexadecimal digits.
    pub sha256: String,
}

/// The origin of an effective value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The built-in default.
    Default,
    /// A section of the settings.
    Section(SectionName),
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Default => f.write_str("default"),
            Self::Section(name) => write!(f, "[{name}]"),
        }
    }
}

/// An effective value, after inheritance and defaults.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effective {
    /// The section that the value applies to.
    pub section: SectionName,
    /// The key.
    pub key: String,
    /// The value, as it was written.
    pub value: String,
    /// The origin of the value.
    pub origin: Origin,
}

impl fmt::Display for Effective {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {} = {} ({})", self.section, self.key, self.value, self.origin)
    }
}

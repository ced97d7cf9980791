//! Proxies requests, matched by host and path, to backend servers without changing their bodies.

mod attempt;
mod call;
mod classify;
mod link;
mod listen;
mod platform;
mod relay;
mod respond;
mod response_body;
mod signal;
mod stream;
mod usage;
pub(crate) mod watch;
mod whole;

pub use classify::AttemptFailure;
pub use classify::ResponseClass;
pub use classify::classify_response;
pub use classify::is_repeatable;
pub use classify::may_retry;
pub use link::LinkLoad;
pub use link::LinkUse;
pub use link::SharedLink;
pub use link::connect_timeout;
pub use listen::Forwarder;
pub use platform::ForwardedRequest;
pub use platform::OperatorConfig;
pub use platform::Platform;
pub use platform::PromptPart;
pub use platform::ReportedLoad;
pub use platform::RequestHeaders;
pub use platform::ResponseHeaders;
pub use signal::response_signal;
pub use usage::SocketTraffic;
pub(crate) use usage::report_usage;

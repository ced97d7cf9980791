//! Proxies requests, matched by host and path, to backend servers without changing their bodies.

mod attempt;
mod call;
mod link;
mod listen;
mod platform;
mod relay;
mod respond;
mod stream;
mod verdict;
pub(crate) mod watch;
mod whole;

pub use link::LinkLoad;
pub use link::SharedLink;
pub use listen::Forwarder;
pub use platform::ForwardedRequest;
pub use platform::OperatorConfig;
pub use platform::Platform;
pub use platform::PromptPart;
pub use platform::ReportedLoad;
pub use platform::RequestHeaders;
pub use platform::ResponseHeaders;
pub use verdict::AttemptFailure;
pub use verdict::ResponseClass;
pub use verdict::classify_response;
pub use verdict::is_repeatable;
pub use verdict::may_retry;

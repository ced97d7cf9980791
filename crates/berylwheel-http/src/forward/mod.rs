//! HTTP/1.1 over `hyper` for forwarded requests, which keeps the bytes of targets, header values
//! and bodies unchanged.

mod client;
mod collect;
mod events;
mod exchange;
mod idle_limit;
mod local_timeout;
mod server;
mod server_socket;
mod socket;
mod traffic;

pub use client::PooledConnection;
pub use client::SendError;
pub use client::SendOptions;
pub use client::UpstreamClient;
pub use collect::BodyLimits;
pub use collect::collect_body;
pub use events::EventSplitter;
pub use events::ServerEvent;
pub use exchange::LeaveUnread;
pub use idle_limit::IdleLimit;
pub use idle_limit::IdleSchedule;
pub use local_timeout::local_timeout;
pub use server::AcceptLimits;
pub use server::ListenerState;
pub use server::ResponseBody;
pub use server::accept_connections;
pub use server::empty_body;
pub use server::full_body;
pub use traffic::Traffic;
pub use traffic::TrafficTotals;

//! HTTP/1.1 servers, pooled clients, server-sent events and problem details, over `async-h1` and,
//! for forwarded requests, over `hyper`.

mod body;
mod caller;
mod client;
mod connection;
mod event;
mod forward;
mod problem;
mod server;
mod server_connection;
mod time;
mod workarounds;
mod write_buffer;

pub use body::BodySender;
pub use body::channel_body;
pub use body::read_body;
pub use caller::Caller;
pub use client::Client;
pub use client::ClientError;
pub use client::Expiry;
pub use client::OutgoingRequest;
pub use client::ResponseStream;
pub use connection::Connection;
pub use event::EventReader;
pub use event::encode_event;
pub use forward::AcceptLimits;
pub use forward::EventSplitter;
pub use forward::ListenerState;
pub use forward::PooledConnection;
pub use forward::ResponseBody;
pub use forward::SendError;
pub use forward::SendOptions;
pub use forward::ServerEvent;
pub use forward::UpstreamClient;
pub use forward::accept_connections;
pub use forward::empty_body;
pub use forward::full_body;
pub use forward::local_timeout;
pub use problem::problem_body;
pub use problem::problem_response;
pub use server::ActiveRequests;
pub use server::ServerLimits;
pub use server::serve;
pub use time::Sleep;
pub use time::sleep;
pub use time::timeout;

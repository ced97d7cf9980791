//! HTTP/1.1 edges over `async-h1`: server, pooled client, server-sent events, problem details.

mod body;
mod caller;
mod client;
mod coalesce;
mod connection;
mod contain;
mod event;
mod inbound;
mod problem;
mod server;
mod time;

pub use body::BodySender;
pub use body::channel_body;
pub use body::read_body;
pub use caller::Caller;
pub use client::Client;
pub use client::ClientError;
pub use client::Outgoing;
pub use client::ResponseStream;
pub use connection::Connection;
pub use event::EventReader;
pub use event::encode_event;
pub use problem::problem_body;
pub use problem::problem_response;
pub use server::ActiveRequests;
pub use server::ServerLimits;
pub use server::serve;
pub use time::Sleep;
pub use time::sleep;
pub use time::timeout;

//! Communication between routers: QUIC with mutual TLS, one message per stream.

mod authority;
mod bounded;
mod error;
mod identity;
mod link;
mod message;
mod news;
mod outbox;
mod receiver;
mod registry;
mod runtime;
mod sender;
mod speed;

pub use authority::Authority;
pub use authority::IssuedCertificate;
pub use error::PeerError;
pub use identity::PeerIdentity;
pub use link::PeerLink;
pub use message::ClaimState;
pub use message::DecodeError;
pub use message::EncodeError;
pub use message::FRAME_LIMIT;
pub use message::Message;
pub use message::PeerState;
pub use message::ServedShare;
pub use news::CHANGE_COUNT_LIMIT;
pub use news::ChangeBatch;
pub use news::FeedNews;
pub use news::RelayedChange;
pub use receiver::InboundMessage;
pub use registry::KindStats;
pub use registry::PeerStats;
pub use speed::ServerSpeed;

//! Versioned configuration and its distribution to routers, fleet membership, fencing and access
//! keys.
//!
//! The code performs no I/O and reads no clock: methods take the current time as an argument and
//! return the actions that the caller has to perform.

mod access;
mod change;
mod config_action;
mod config_state;
mod diff;
mod fence;
mod heartbeat;
mod member_state;
mod members;
mod part;
mod paths;
mod peer_clocks;
mod root;
mod store_reach;

pub use access::AccessTable;
pub use access::key_digest;
pub use change::Change;
pub use change::ChangeAction;
pub use change::Outcome;
pub use change::Proposal;
pub use change::Transaction;
pub use change::outcome;
pub use change::propose;
pub use config_action::ConfigAction;
pub use config_action::ConfigDump;
pub use config_action::SyncPolicy;
pub use config_state::ConfigState;
pub use diff::Difference;
pub use diff::diff;
pub use fence::Fence;
pub use fence::FenceAction;
pub use fence::FencePolicy;
pub use fence::FenceRecord;
pub use fence::FenceResult;
pub use heartbeat::Heartbeat;
pub use heartbeat::MemberEntry;
pub use member_state::ListedState;
pub use member_state::MemberPolicy;
pub use member_state::MemberState;
pub use members::Members;
pub use part::PARTS;
pub use part::Part;
pub use part::PartDigest;
pub use part::PartRef;
pub use part::join;
pub use part::split;
pub use paths::PathTable;
pub use paths::without_port;
pub use peer_clocks::PeerClocks;
pub use root::HISTORY_LIMIT;
pub use root::HistoryEntry;
pub use root::ROOT_KEY;
pub use root::Root;
pub use store_reach::StoreReach;

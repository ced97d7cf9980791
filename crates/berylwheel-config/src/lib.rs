//! Versioned configuration and its distribution to routers, fleet membership, fencing and access
//! keys.
//!
//! The code performs no I/O and reads no clock: methods take the current time as an argument and
//! return the actions that the caller has to perform.

mod access;
mod action;
mod change;
mod clocks;
mod diff;
mod fence;
mod heartbeat;
mod member;
mod member_state;
mod part;
mod paths;
mod reach;
mod root;
mod spread;

pub use access::AccessTable;
pub use access::key_digest;
pub use action::ConfigAction;
pub use action::ConfigDump;
pub use action::SyncPolicy;
pub use change::Change;
pub use change::ChangeAction;
pub use change::Outcome;
pub use change::Proposal;
pub use change::Transaction;
pub use change::outcome;
pub use change::propose;
pub use clocks::PeerClocks;
pub use diff::Difference;
pub use diff::diff;
pub use fence::Fence;
pub use fence::FenceAction;
pub use fence::FencePolicy;
pub use fence::FenceRecord;
pub use fence::FenceResult;
pub use heartbeat::Heartbeat;
pub use heartbeat::MemberEntry;
pub use member::Members;
pub use member_state::ListedState;
pub use member_state::MemberPolicy;
pub use member_state::MemberState;
pub use part::PARTS;
pub use part::Part;
pub use part::PartDigest;
pub use part::PartRef;
pub use part::join;
pub use part::split;
pub use paths::PathTable;
pub use reach::StoreReach;
pub use root::HISTORY_LIMIT;
pub use root::HistoryEntry;
pub use root::ROOT_KEY;
pub use root::Root;
pub use spread::ConfigState;

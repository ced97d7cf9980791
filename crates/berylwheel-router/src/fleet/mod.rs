//! Coordination with the other routers: membership, configuration, claims, and the reclaim of
//! grants.

pub(crate) mod claims;
pub(crate) mod config_sync;
pub(crate) mod convert;
pub(crate) mod holds;
pub(crate) mod peers;
pub(crate) mod reclaim;
pub(crate) mod registry;
pub(crate) mod relay;
pub(crate) mod restore;
pub(crate) mod speeds;
pub(crate) mod state;

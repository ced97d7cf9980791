//! Coordination with the other routers: membership, configuration, claims, and the reclaim of grants.

pub(crate) mod claims;
pub(crate) mod ended;
pub(crate) mod peers;
pub(crate) mod registry;
pub(crate) mod state;
pub(crate) mod translate;
pub(crate) mod versions;

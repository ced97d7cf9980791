//! The other routers: who is live, versions, claims, and what ended ones held.

pub(crate) mod claims;
pub(crate) mod ended;
pub(crate) mod peers;
pub(crate) mod registry;
pub(crate) mod state;
pub(crate) mod translate;
pub(crate) mod versions;

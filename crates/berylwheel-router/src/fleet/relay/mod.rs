//! Relay of store watches within a failure domain: a few routers watch the platform's store and
//! pass on what they read.

pub(crate) mod control;
pub(crate) mod core;
mod feed;
pub(crate) mod news;
pub(crate) mod policy;
pub(crate) mod store;
mod tree;

//! Finds the parts of prompts that crash backend servers, and decides which requests are refused
//! for them.
//!
//! The crate does no I/O and is deterministic: methods take the current time as an argument, and
//! what has to be sent is returned as an [`Action`].

mod answers;
mod bounds;
mod dump;
mod evidence;
mod holds;
mod judge;
mod policy;
mod quarantine;
mod suspects;

pub use dump::QuarantineDump;
pub use dump::SuspectedPart;
pub use policy::QuarantinePolicy;
pub use quarantine::Action;
pub use quarantine::Quarantine;
pub use quarantine::Refused;

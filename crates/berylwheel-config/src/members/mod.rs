//! Membership of the fleet, as seen by one router.

mod core;
mod merge;
mod recipients;
mod relay_queue;
mod ring;

pub use core::Members;

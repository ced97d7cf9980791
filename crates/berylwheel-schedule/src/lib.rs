//! Decides which request a router starts next, and which it refuses.
//!
//! The crate is pure: every method takes the present time, changes the scheduler's own state and
//! returns decisions. It does no I/O and reads no clock.

mod dump;
mod kind;
mod lane;
mod meter;
mod peers;
mod policy;
mod release;
mod scheduler;
mod shares;
mod work;

pub use dump::KindDump;
pub use dump::RankDump;
pub use dump::ScheduleDump;
pub use policy::RankPolicy;
pub use policy::SchedulePolicy;
pub use scheduler::Scheduler;
pub use work::KindLimits;
pub use work::Served;
pub use work::Work;

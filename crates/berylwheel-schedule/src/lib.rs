//! Request scheduler: admission control, fair queueing and preemption.
//!
//! The crate performs no I/O and reads no clock. Every method takes the current time as an
//! argument, updates the in-memory state and returns its decisions.

mod dump;
mod estimate;
mod kind;
mod peers;
mod policy;
mod preempt;
mod queue;
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
pub use work::ServedTokens;
pub use work::WorkItem;

//! How fast each server works: expectations of each pool, and a factor for each server.

mod balance;
mod evidence;
mod model;
mod sample;
mod speeds;

pub use balance::PoolSpeedDump;
pub use balance::SpeedDump;
pub use evidence::SharedSpeed;
pub use sample::ExpectedTime;
pub use sample::Work;
pub use sample::WorkClass;
pub use sample::WorkSample;
pub use speeds::SpeedChange;
pub use speeds::Speeds;

//! Stand-in for a model engine: chat completions, usage, load, cache events and orders.

mod cache;
mod chat;
mod faults;
mod generate;
mod handler;
mod record;
mod slots;
mod state;

pub use faults::EngineFaults;
pub use faults::EngineOptions;
pub use handler::start_engine;

//! Stand-in for a model engine: chat completions, usage, load, cache events and orders.

mod cache;
mod chat;
mod generate;
mod handler;
mod options;
mod record;
mod slots;
mod state;

pub use handler::start_engine;
pub use options::EngineFaults;
pub use options::EngineOptions;

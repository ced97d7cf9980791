//! Access to the key-value store: the [`Store`] trait, an HTTP/JSON client, a circuit breaker and
//! an in-memory implementation with fault injection.

mod breaker;
mod client;
mod era;
mod fault;
mod memory;
mod store;
pub mod wire;

pub use breaker::Breaker;
pub use breaker::GuardedStore;
pub use client::HttpStore;
pub use client::StoreOptions;
pub use era::CallStart;
pub use era::EraTracker;
pub use fault::LossCount;
pub use fault::StoreFaults;
pub use memory::MemoryStore;
pub use memory::StoreCounts;
pub use store::Compare;
pub use store::Entry;
pub use store::LeaseId;
pub use store::Put;
pub use store::Store;
pub use store::StoreError;
pub use store::StoreFuture;
pub use store::SwapResult;

//! Stand-ins for the services that a router depends on: small HTTP servers with fault injection.

mod booking;
mod engine;
mod http;
mod instances;
mod server;
mod store;

pub use booking::BookingFaults;
pub use booking::BookingOptions;
pub use booking::start_booking;
pub use engine::EngineFaults;
pub use engine::EngineOptions;
pub use engine::start_engine;
pub use instances::Instance;
pub use instances::InstancesOptions;
pub use instances::start_instances;
pub use server::Handle;
pub use store::StoreOptions;
pub use store::start_store;

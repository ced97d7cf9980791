//! Backend server selection: load estimates, prefix affinity, ejection of failing servers, subsets
//! and servers that shut down.
//!
//! The crate does no I/O and is deterministic: methods take the current time as an argument, and
//! the random number generator is seeded.

mod cache;
mod choice;
mod dump;
mod ejection;
mod health;
mod listed;
mod load;
mod policy;
mod routes;
mod server;
mod state;
mod subset;

pub use dump::RouteDump;
pub use dump::ServerDump;
pub use listed::ListChange;
pub use listed::ListedServer;
pub use listed::Listing;
pub use listed::ServerList;
pub use listed::ServerNews;
pub use policy::RoutePolicy;
pub use routes::Routes;
pub use server::Ask;
pub use server::CacheEvent;
pub use server::LoadReport;
pub use server::Outcome;
pub use server::Server;
pub use subset::subset_of;

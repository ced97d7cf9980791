//! Choice of backend server: load estimates, prefix affinity, ejection, subsets, leaving servers.
//!
//! The crate is pure: every method takes the present time, and the random generator is seeded.

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

//! Backend server selection: load estimates, measured speeds, prefix affinity, ejection of failing
//! servers, subsets, evacuated failure domains, servers that shut down, servers that ask for a pause
//! and cold servers.
//!
//! The crate does no I/O and is deterministic: methods take the current time as an argument, and
//! the random number generator is seeded.

mod availability;
mod cache;
mod choice;
mod cold;
mod cold_servers;
mod dump;
mod ejection;
mod evacuation;
mod health;
mod load;
mod load_balancer;
mod policy;
mod server;
mod server_list;
mod speed;
mod standing;
mod state;
mod subset;

pub use availability::Availability;
pub use availability::WaitDecision;
pub use availability::decide_wait;
pub use cold::ColdChange;
pub use cold::ColdLimit;
pub use cold::ColdPool;
pub use cold::ColdSource;
pub use dump::RouteDump;
pub use dump::ServerDump;
pub use evacuation::EvacuatedDomain;
pub use evacuation::EvacuationChange;
pub use load_balancer::LoadBalancer;
pub use policy::RoutePolicy;
pub use policy::SpeedUse;
pub use server::CacheEvent;
pub use server::LoadReport;
pub use server::Outcome;
pub use server::RouteQuery;
pub use server::Server;
pub use server_list::ColdReport;
pub use server_list::ListChange;
pub use server_list::ListedServer;
pub use server_list::ServerList;
pub use server_list::ServerListEvent;
pub use server_list::ServerStatus;
pub use speed::ExpectedTime;
pub use speed::PoolSpeedDump;
pub use speed::SharedSpeed;
pub use speed::SpeedChange;
pub use speed::SpeedDump;
pub use speed::Speeds;
pub use speed::Work;
pub use speed::WorkClass;
pub use speed::WorkSample;
pub use standing::LeavingSource;
pub use standing::PauseNote;
pub use standing::PauseRequest;
pub use standing::ServerSignal;
pub use standing::SignalEffect;
pub use subset::subset_of;

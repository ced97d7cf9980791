//! Command-line interface of the `berylwheel` binary, with one module per subcommand.

mod budget;
mod certificates;
mod check;
mod config;
mod connect;
mod demo;
mod domain;
mod dump;
mod explain;
mod key;
mod kind;
mod logging;
mod order;
mod quarantine;
mod rank;
mod run;
mod section;
mod serve;
mod server;
mod standin;
mod workspace;

pub use explain::explain;
pub use logging::LineQueue;
pub use run::run;

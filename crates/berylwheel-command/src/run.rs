//! Command-line parsing and dispatch.

use std::process::ExitCode;

use clap::Command;

use crate::budget;
use crate::certificates;
use crate::check;
use crate::config;
use crate::demo;
use crate::domain;
use crate::dump;
use crate::explain;
use crate::key;
use crate::kind;
use crate::logging;
use crate::order;
use crate::quarantine;
use crate::rank;
use crate::serve;
use crate::server;
use crate::standin;
use crate::workspace;

/// Runs the subcommand given on the command line.
///
/// The exit status is 0 on success, 1 on failure and 2 for invalid arguments.
pub fn run() -> ExitCode {
    logging::init();
    let matches = cli().get_matches();
    let result = match matches.subcommand() {
        Some(("serve", args)) => serve::run(args),
        Some(("check", args)) => check::run(args),
        Some(("demo", _)) => demo::run(),
        Some(("dump", args)) => dump::run(args),
        Some(("explain", args)) => explain::run(args),
        Some(("budget", args)) => budget::run(args),
        Some(("config", args)) => config::run(args),
        Some(("workspace", args)) => workspace::run(args),
        Some(("kind", args)) => kind::run(args),
        Some(("rank", args)) => rank::run(args),
        Some(("server", args)) => server::run(args),
        Some(("domain", args)) => domain::run(args),
        Some(("order", args)) => order::run(args),
        Some(("quarantine", args)) => quarantine::run(args),
        Some(("key", args)) => key::run(args),
        Some(("certificates", args)) => certificates::run(args),
        Some(("standin", args)) => standin::run(args),
        _ => unreachable!("clap requires a known subcommand"),
    };
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn cli() -> Command {
    Command::new("berylwheel")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Router fleet for model work bought against prepaid token budgets")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve::command())
        .subcommand(check::command())
        .subcommand(demo::command())
        .subcommand(dump::command())
        .subcommand(explain::command())
        .subcommand(budget::command())
        .subcommand(config::command())
        .subcommand(workspace::command())
        .subcommand(kind::command())
        .subcommand(rank::command())
        .subcommand(server::command())
        .subcommand(domain::command())
        .subcommand(order::command())
        .subcommand(quarantine::command())
        .subcommand(key::command())
        .subcommand(certificates::command())
        .subcommand(standin::command())
}

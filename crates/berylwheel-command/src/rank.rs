//! The `berylwheel rank` command.

use anyhow::Result;
use clap::ArgMatches;
use clap::Command;

use crate::section;

/// Returns the command-line definition.
pub fn command() -> Command {
    section::command("rank", "Changes the minimum share and the latency target of a rank")
}

/// Runs the command.
///
/// # Errors
/// Fails if the router cannot be reached or rejects the request.
pub fn run(args: &ArgMatches) -> Result<()> {
    section::run("rank", args)
}

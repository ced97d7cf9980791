//! The `berylwheel workspace` command.

use anyhow::Result;
use clap::ArgMatches;
use clap::Command;

use crate::section;

/// Returns the command-line definition.
pub fn command() -> Command {
    section::command("workspace", "Creates, changes and removes workspaces")
}

/// Runs the command.
///
/// # Errors
/// Fails if the router cannot be reached or rejects the request.
pub fn run(args: &ArgMatches) -> Result<()> {
    section::run("workspace", args)
}

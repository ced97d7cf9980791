//! The `berylwheel kind` command.

use anyhow::Result;
use clap::ArgMatches;
use clap::Command;

use crate::section;

/// Returns the command-line definition.
pub fn command() -> Command {
    section::command("kind", "Creates, changes and removes kinds of work")
}

/// Runs the command.
///
/// # Errors
/// Fails if the router cannot be reached or rejects the request.
pub fn run(args: &ArgMatches) -> Result<()> {
    section::run("kind", args)
}

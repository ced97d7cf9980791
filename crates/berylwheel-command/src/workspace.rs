//! `berylwheel workspace`

use anyhow::Result;
use clap::ArgMatches;
use clap::Command;

use crate::entity;

/// Describes the command.
pub fn command() -> Command {
    entity::command("workspace", "Creates, changes and removes workspaces")
}

/// Runs the command.
///
/// # Errors
/// Fails if the router cannot be reached or refuses.
pub fn run(args: &ArgMatches) -> Result<()> {
    entity::run("workspace", args)
}

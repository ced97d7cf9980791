//! `berylwheel kind`

use anyhow::Result;
use clap::ArgMatches;
use clap::Command;

use crate::entity;

/// Describes the command.
pub fn command() -> Command {
    entity::command("kind", "Creates, changes and removes kinds of work")
}

/// Runs the command.
///
/// # Errors
/// Fails if the router cannot be reached or refuses.
pub fn run(args: &ArgMatches) -> Result<()> {
    entity::run("kind", args)
}

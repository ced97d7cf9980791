//! `berylwheel rank`

use anyhow::Result;
use clap::ArgMatches;
use clap::Command;

use crate::entity;

/// Describes the command.
pub fn command() -> Command {
    entity::command("rank", "Changes the minimum share and target of a rank")
}

/// Runs the command.
///
/// # Errors
/// Fails if the router cannot be reached or refuses.
pub fn run(args: &ArgMatches) -> Result<()> {
    entity::run("rank", args)
}

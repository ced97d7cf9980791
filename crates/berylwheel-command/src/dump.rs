//! The `berylwheel dump` command.

use anyhow::Result;
use async_io::block_on;
use clap::ArgMatches;
use clap::Command;

use crate::connect::Connection;
use crate::connect::print_json;
use crate::connect::with_connection;

/// Returns the command-line definition.
pub fn command() -> Command {
    with_connection(Command::new("dump").about("Prints the state of a running router as JSON"))
}

/// Runs the command.
///
/// # Errors
/// Fails if the router cannot be reached.
pub fn run(args: &ArgMatches) -> Result<()> {
    print_json(&block_on(Connection::from_args(args)?.get("/dump"))?)
}

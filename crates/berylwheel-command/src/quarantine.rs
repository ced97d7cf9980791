//! The `berylwheel quarantine` command.

use anyhow::Context;
use anyhow::Result;
use async_io::block_on;
use berylwheel_types::PromptPartId;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde_json::json;

use crate::connect::Connection;
use crate::connect::print_json;
use crate::connect::with_connection;

/// Returns the command-line definition.
pub fn command() -> Command {
    let part = Arg::new("part")
        .required(true)
        .help("Id of the prompt part, in hexadecimal")
        .value_parser(value_parser!(PromptPartId));
    with_connection(
        Command::new("quarantine").about("Shows and releases prompt parts that crash servers"),
    )
    .subcommand_required(true)
    .subcommand(Command::new("show").about("Shows quarantined and suspected prompt parts"))
    .subcommand(Command::new("release").about("Serves requests with a prompt part again").arg(part))
}

/// Runs the command.
///
/// # Errors
/// Fails if the router cannot be reached or rejects the request.
pub fn run(args: &ArgMatches) -> Result<()> {
    let connection = Connection::from_args(args)?;
    let (name, args) = args.subcommand().context("missing subcommand")?;
    if name == "show" {
        return print_json(&block_on(connection.get("/admin/quarantine"))?);
    }
    let part = args.get_one::<PromptPartId>("part").context("missing part")?;
    let body = json!({ "part": part.to_string() });
    print_json(&block_on(connection.post("/admin/quarantine/release", &body))?)
}

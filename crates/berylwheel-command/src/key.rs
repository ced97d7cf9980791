//! The `berylwheel key` command.

use anyhow::Context;
use anyhow::Result;
use async_io::block_on;
use berylwheel_config::key_digest;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::connect::Connection;
use crate::connect::print_json;
use crate::connect::with_connection;
use crate::section;

/// Returns the command-line definition.
pub fn command() -> Command {
    let workspace = Arg::new("workspace").required(true).help("Workspace of the key");
    let name = Arg::new("name").required(true).help("Name of the key");
    let budget = Arg::new("budget")
        .long("budget")
        .help("Budget charged for requests with the key, as WORKSPACE/NAME");
    with_connection(section::with_change(
        Command::new("key").about("Creates and revokes caller keys"),
    ))
    .subcommand_required(true)
    .subcommand(
        Command::new("create")
            .about("Creates a key and prints it; only its digest is stored")
            .args([workspace.clone(), name.clone(), budget]),
    )
    .subcommand(Command::new("revoke").about("Revokes a key").args([workspace, name]))
}

/// Runs the command.
///
/// # Errors
/// Fails if the router cannot be reached or rejects the request.
pub fn run(args: &ArgMatches) -> Result<()> {
    let connection = Connection::from_args(args)?;
    let (subcommand_name, subcommand_args) = args.subcommand().context("missing subcommand")?;
    let argument = |name: &str| subcommand_args.get_one::<String>(name).cloned();
    let section = format!("workspace {}", argument("workspace").context("missing workspace")?);
    let key_setting = format!("key.{}", argument("name").context("missing key name")?);
    if subcommand_name == "revoke" {
        let edits = [(section, key_setting, None)];
        return print_json(&block_on(section::send_edits(
            &connection,
            section::change_id(subcommand_args),
            &edits,
        ))?);
    }
    let key = generate_key();
    let mut value = key_digest(&key);
    if let Some(budget) = subcommand_args.get_one::<String>("budget") {
        value = format!("{value} {budget}");
    }
    let edits = [(section, key_setting, Some(value))];
    block_on(section::send_edits(&connection, section::change_id(subcommand_args), &edits))?;
    println!("{key}");
    Ok(())
}

/// Generates a random 256-bit key.
pub fn generate_key() -> String {
    let words: [u64; 4] = std::array::from_fn(|_| rand::random());
    let text: String = words.iter().map(|word| format!("{word:016x}")).collect();
    format!("bw-{text}")
}

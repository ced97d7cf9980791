//! Shared implementation of the commands that edit one type of configuration section.

use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use async_io::block_on;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use serde_json::Value;
use serde_json::json;

use crate::connect::Connection;
use crate::connect::print_json;
use crate::connect::with_connection;

/// A change to one key: the section, the key, and the new value or `None` to remove the key.
pub type Edit = (String, String, Option<String>);

/// Returns the definition of a command that edits or removes sections `[SECTION_TYPE NAME]`.
pub fn command(section_type: &'static str, about: &'static str) -> Command {
    let name = Arg::new("name").required(true).help("Name of the section");
    let pairs =
        Arg::new("pairs").num_args(1..).required(true).help("KEY=VALUE, or KEY= to remove a key");
    with_connection(with_change(Command::new(section_type).about(about)))
        .subcommand_required(true)
        .subcommand(
            Command::new("set")
                .about("Creates a section or changes its keys")
                .arg(name.clone())
                .arg(pairs),
        )
        .subcommand(Command::new("remove").about("Removes a section").arg(name))
}

/// Adds the argument for a change id, which makes repeating a change idempotent.
pub fn with_change(command: Command) -> Command {
    command.arg(
        Arg::new("change")
            .long("change")
            .help("Unique id of the change; a repeated id has no further effect")
            .global(true),
    )
}

/// Runs a command defined by [`command`].
///
/// # Errors
/// Fails if the router cannot be reached or rejects the request.
pub fn run(section_type: &str, args: &ArgMatches) -> Result<()> {
    let connection = Connection::from_args(args)?;
    let (subcommand_name, subcommand_args) = args.subcommand().context("missing subcommand")?;
    let name = subcommand_args.get_one::<String>("name").context("missing section name")?;
    let section = format!("{section_type} {name}");
    let edits = match subcommand_name {
        "remove" => vec![(section, String::new(), None)],
        _ => subcommand_args
            .get_many::<String>("pairs")
            .context("missing KEY=VALUE pairs")?
            .map(|pair| parse_pair(&section, pair))
            .collect::<Result<_>>()?,
    };
    print_json(&block_on(send_edits(&connection, change_id(subcommand_args), &edits))?)
}

/// Parses `KEY=VALUE`.
///
/// # Errors
/// Fails if there is no `=`.
pub fn parse_pair(section: &str, pair: &str) -> Result<Edit> {
    let Some((key, value)) = pair.split_once('=') else {
        bail!("expected KEY=VALUE, found {pair}");
    };
    let value = (!value.is_empty()).then(|| value.to_owned());
    Ok((section.to_owned(), key.trim().to_owned(), value))
}

/// Returns the change id given by the operator, or a new random one.
pub fn change_id(args: &ArgMatches) -> String {
    let change = args.get_one::<String>("change").cloned();
    change.unwrap_or_else(|| format!("change-{:016x}", rand::random::<u64>()))
}

/// Sends edits to the router and returns its response. If no response is received, the request is
/// sent once more with the same change id, so that the edits are applied at most once.
///
/// # Errors
/// Fails if the router cannot be reached or rejects the request.
pub async fn send_edits(connection: &Connection, change: String, edits: &[Edit]) -> Result<Value> {
    let edits: Vec<Value> = edits
        .iter()
        .map(|(section, key, value)| json!({ "section": section, "key": key, "value": value }))
        .collect();
    let body = json!({ "change": change, "edits": edits });
    match connection.post("/admin/config", &body).await {
        Err(error) if error.downcast_ref::<berylwheel_http::ClientError>().is_some() => {
            async_io::Timer::after(Duration::from_millis(200)).await;
            connection.post("/admin/config", &body).await
        }
        other => other,
    }
}

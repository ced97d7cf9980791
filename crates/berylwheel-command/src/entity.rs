//! Sections of the configuration that have a command of their own.

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

/// A change of one key: section, key, and the new value, or none to remove it.
pub type EditArg = (String, String, Option<String>);

/// Describes a command that sets and removes keys of `[LEVEL NAME]`.
pub fn command(level: &'static str, about: &'static str) -> Command {
    let name = Arg::new("name").required(true).help("Name of the section");
    let pairs = Arg::new("pairs").num_args(1..).required(true).help("KEY=VALUE, or KEY= to remove");
    with_connection(with_change(Command::new(level).about(about)))
        .subcommand_required(true)
        .subcommand(Command::new("set").about("Creates or changes it").arg(name.clone()).arg(pairs))
        .subcommand(Command::new("remove").about("Removes it").arg(name))
}

/// Adds the argument that makes a change recognisable when it is sent again.
pub fn with_change(command: Command) -> Command {
    command.arg(
        Arg::new("change")
            .long("change")
            .help("Id of the change; the same id takes effect once")
            .global(true),
    )
}

/// Runs a command made by [`command`].
///
/// # Errors
/// Fails if the router cannot be reached or refuses.
pub fn run(level: &str, args: &ArgMatches) -> Result<()> {
    let connection = Connection::from_args(args)?;
    let (action, inner) = args.subcommand().context("no subcommand")?;
    let name = inner.get_one::<String>("name").context("no name")?;
    let section = format!("{level} {name}");
    let edits = match action {
        "remove" => vec![(section, String::new(), None)],
        _ => inner
            .get_many::<String>("pairs")
            .context("nothing to set")?
            .map(|pair| parse_pair(&section, pair))
            .collect::<Result<_>>()?,
    };
    print_json(&block_on(send_edits(&connection, change_id(inner), &edits))?)
}

/// Reads `KEY=VALUE`.
///
/// # Errors
/// Fails without `=`.
pub fn parse_pair(section: &str, pair: &str) -> Result<EditArg> {
    let Some((key, value)) = pair.split_once('=') else {
        bail!("expected KEY=VALUE, found {pair}");
    };
    let value = (!value.is_empty()).then(|| value.to_owned());
    Ok((section.to_owned(), key.trim().to_owned(), value))
}

/// Returns the id that the operator gave, or a new one.
pub fn change_id(args: &ArgMatches) -> String {
    let given = args.get_one::<String>("change").cloned();
    given.unwrap_or_else(|| format!("change-{:016x}", rand::random::<u64>()))
}

/// Sends edits to the router and returns its answer.
///
/// # Errors
/// Fails if the router cannot be reached or refuses. An answer that was lost is asked for again
/// under the same change id.
pub async fn send_edits(
    connection: &Connection,
    change: String,
    edits: &[EditArg],
) -> Result<Value> {
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

//! The `berylwheel domain` command.

use anyhow::Context;
use anyhow::Result;
use async_io::block_on;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use serde_json::Value;
use serde_json::json;

use crate::connect::Connection;
use crate::connect::print_json;
use crate::connect::with_connection;
use crate::section;

/// Returns the command-line definition.
pub fn command() -> Command {
    let name = Arg::new("name").required(true).help("Name of the failure domain");
    let command = Command::new("domain").about("Evacuates and restores failure domains");
    with_connection(section::with_change(command))
        .subcommand_required(true)
        .subcommand(
            Command::new("evacuate")
                .about("Stops all new work at the servers of a failure domain")
                .arg(name.clone()),
        )
        .subcommand(Command::new("restore").about("Revokes an evacuation").arg(name))
        .subcommand(Command::new("list").about("Lists the failure domains and their servers"))
}

/// Runs the command.
///
/// # Errors
/// Fails if the router cannot be reached or rejects the request, as for an unknown domain.
pub fn run(args: &ArgMatches) -> Result<()> {
    let connection = Connection::from_args(args)?;
    let (subcommand_name, subcommand_args) = args.subcommand().context("missing subcommand")?;
    if subcommand_name == "list" {
        return print_json(&list(&block_on(connection.get("/dump"))?));
    }
    let name = subcommand_args.get_one::<String>("name").context("missing domain name")?;
    let section = format!("domain {name}");
    let edit = match subcommand_name {
        "evacuate" => (section, "evacuated".to_owned(), Some("yes".to_owned())),
        _ => (section, String::new(), None),
    };
    let change = section::change_id(subcommand_args);
    print_json(&block_on(section::send_edits(&connection, change, &[edit]))?)
}

/// Returns the failure domains in a state dump, sorted by name, each with the number of its servers
/// and since when it is evacuated.
pub fn list(dump: &Value) -> Value {
    let entries = |name: &str| dump["routes"][name].as_array().cloned().unwrap_or_default();
    let (evacuated, servers) = (entries("evacuated"), entries("servers"));
    let text = |entry: &Value| entry["domain"].as_str().unwrap_or_default().to_owned();
    let present = || servers.iter().filter(|server| server["present"] == true);
    let mut names: Vec<String> = evacuated.iter().chain(present()).map(text).collect();
    names.sort_unstable();
    names.dedup();
    let row = |name: &String| {
        let entry = evacuated.iter().find(|entry| text(entry) == *name);
        json!({
            "domain": name,
            "servers": present().filter(|server| text(server) == *name).count(),
            "evacuated": entry.is_some(),
            "since": entry.map(|entry| entry["since"].clone()),
        })
    };
    names.iter().map(row).collect()
}

//! The `berylwheel order` command.

use anyhow::Context;
use anyhow::Result;
use async_io::block_on;
use berylwheel_types::BackendId;
use clap::Arg;
use clap::ArgGroup;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde_json::json;

use crate::connect::Connection;
use crate::connect::print_json;
use crate::connect::with_connection;

const LOAD_FIELDS: [&str; 3] = ["model", "adapter", "version"];

/// Returns the command-line definition.
pub fn command() -> Command {
    let server = Arg::new("server")
        .required(true)
        .help("Name of the engine's [server NAME] section")
        .value_parser(value_parser!(BackendId));
    let load = Command::new("load")
        .about("Loads a model, an adapter or a version")
        .args(LOAD_FIELDS.map(|name| Arg::new(name).long(name)))
        .group(ArgGroup::new("loaded").args(LOAD_FIELDS).multiple(true).required(true));
    let role = Command::new("role")
        .about("Changes the role of the engine")
        .arg(Arg::new("role").required(true).help("Role supported by the engine"));
    with_connection(Command::new("order").about("Sends an order to a model engine"))
        .arg(server)
        .subcommand_required(true)
        .subcommand(load)
        .subcommand(role)
}

/// Runs the command.
///
/// # Errors
/// Fails if the router cannot be reached or rejects the request.
pub fn run(args: &ArgMatches) -> Result<()> {
    let server = args.get_one::<BackendId>("server").context("missing server")?;
    let (name, subcommand_args) = args.subcommand().context("missing subcommand")?;
    let fields: &[&str] = if name == "load" { &LOAD_FIELDS } else { &["role"] };
    let mut body = json!({ "server": server });
    for field in fields {
        if let Some(value) = subcommand_args.get_one::<String>(field) {
            body[*field] = json!(value);
        }
    }
    print_json(&block_on(Connection::from_args(subcommand_args)?.post("/admin/orders", &body))?)
}

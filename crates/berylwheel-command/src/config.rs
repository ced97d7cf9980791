//! The `berylwheel config` command.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use async_io::Timer;
use async_io::block_on;
use berylwheel_router::ConfigStore;
use berylwheel_store::HttpStore;
use berylwheel_store::StoreOptions;
use berylwheel_types::Clock;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde_json::Value;
use serde_json::json;

use crate::check::read_settings;
use crate::connect::Connection;
use crate::connect::print_json;
use crate::connect::with_connection;
use crate::section;

/// Polling interval of `wait`.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of polls of `wait`.
const MAX_WAIT_POLLS: u32 = 300;

/// Returns the command-line definition.
pub fn command() -> Command {
    let version_arg =
        |name: &'static str| Arg::new(name).required(true).value_parser(value_parser!(u64));
    let init = Command::new("init")
        .about("Stores a settings file in an empty store, as the first step of setting up a fleet")
        .arg(
            Arg::new("store")
                .long("store")
                .required(true)
                .help("Address of the key-value service, IP:PORT")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(Arg::new("file").required(true).value_parser(value_parser!(PathBuf)));
    let set = Command::new("set")
        .about("Changes keys in one section")
        .arg(
            Arg::new("section")
                .required(true)
                .help("Section to change, such as fleet or \"kind chat\""),
        )
        .arg(
            Arg::new("pairs")
                .num_args(1..)
                .required(true)
                .help("KEY=VALUE, or KEY= to remove a key"),
        );
    let wait = Command::new("wait")
        .about("Waits until every live router has at least a given version")
        .arg(version_arg("version"));
    let command = Command::new("config").about("Shows and changes the configuration");
    with_connection(section::with_change(command))
        .subcommand_required(true)
        .subcommand(init)
        .subcommand(Command::new("show").about("Prints the current version and settings"))
        .subcommand(set)
        .subcommand(Command::new("history").about("Lists the stored versions"))
        .subcommand(
            Command::new("diff")
                .about("Prints the differences between two versions")
                .arg(version_arg("from"))
                .arg(version_arg("to")),
        )
        .subcommand(
            Command::new("rollback")
                .about("Creates a new version with the settings of an earlier one")
                .arg(version_arg("version")),
        )
        .subcommand(
            Command::new("fleet").about("Lists the configuration version of each live router"),
        )
        .subcommand(wait)
}

/// Runs the command.
///
/// # Errors
/// Fails if the router or the store cannot be reached or rejects the request.
pub fn run(args: &ArgMatches) -> Result<()> {
    let (name, subcommand_args) = args.subcommand().context("missing subcommand")?;
    if name == "init" {
        return block_on(init(subcommand_args));
    }
    let connection = Connection::from_args(args)?;
    let number =
        |argument: &str| subcommand_args.get_one::<u64>(argument).copied().unwrap_or_default();
    block_on(async {
        match name {
            "show" => show(&connection).await,
            "set" => set(&connection, subcommand_args).await,
            "history" => print_json(&connection.get("/admin/config/history").await?),
            "diff" => {
                let (from, to) = (number("from"), number("to"));
                let path = format!("/admin/config/diff?from={from}&to={to}");
                print_json(&connection.get(&path).await?)
            }
            "rollback" => {
                let change = section::change_id(subcommand_args);
                let body = json!({ "change": change, "version": number("version") });
                print_json(&connection.post("/admin/config/rollback", &body).await?)
            }
            "fleet" => print_json(&versions(&connection).await?),
            _ => wait(&connection, number("version")).await,
        }
    })
}

async fn init(args: &ArgMatches) -> Result<()> {
    let file = args.get_one::<PathBuf>("file").context("missing settings file")?;
    let store = *args.get_one::<SocketAddr>("store").context("missing store address")?;
    let settings = read_settings(file)?;
    let store = Arc::new(HttpStore::new(StoreOptions::new(vec![store])));
    let config_store = ConfigStore { store, clock: Clock::real() };
    let change = section::change_id(args).parse()?;
    print_json(&config_store.init(change, settings).await?)
}

async fn show(connection: &Connection) -> Result<()> {
    let configuration_json = connection.get("/admin/config").await?;
    println!("# version {}", configuration_json["version"]);
    print!("{}", configuration_json["settings"].as_str().unwrap_or_default());
    Ok(())
}

async fn set(connection: &Connection, args: &ArgMatches) -> Result<()> {
    let section = args.get_one::<String>("section").context("missing section")?;
    let pairs = args.get_many::<String>("pairs").context("missing KEY=VALUE pairs")?;
    let edits: Vec<_> =
        pairs.map(|pair| section::parse_pair(section, pair)).collect::<Result<_>>()?;
    print_json(&section::send_edits(connection, section::change_id(args), &edits).await?)
}

/// Returns the version of each live router known to the connected one, including its own.
async fn versions(connection: &Connection) -> Result<Value> {
    let dump = connection.get("/dump").await?;
    let mut versions = dump["fleet"]["versions"].as_array().cloned().unwrap_or_default();
    let name = dump["router"].as_str().and_then(|run| run.split('@').next()).unwrap_or_default();
    versions.push(json!([name, dump["version"]]));
    let live = dump["fleet"]["live"].as_array().cloned().unwrap_or_default();
    versions.retain(|entry| live.contains(&entry[0]));
    Ok(Value::Array(versions))
}

async fn wait(connection: &Connection, version: u64) -> Result<()> {
    for _ in 0..MAX_WAIT_POLLS {
        let versions = versions(connection).await?;
        let entries = versions.as_array().cloned().unwrap_or_default();
        if entries.iter().all(|entry| entry[1].as_u64() >= Some(version)) {
            return print_json(&versions);
        }
        Timer::after(WAIT_POLL_INTERVAL).await;
    }
    bail!("timed out waiting for all live routers to have version {version}")
}

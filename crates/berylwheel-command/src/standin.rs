//! `berylwheel standin`: runs stand-ins for the systems that routers depend on, for trials and
//! tests.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use anyhow::Result;
use async_executor::Executor;
use async_io::block_on;
use berylwheel_standin::BookingOptions;
use berylwheel_standin::EngineFaults;
use berylwheel_standin::EngineOptions;
use berylwheel_standin::InstancesOptions;
use berylwheel_standin::StoreOptions;
use berylwheel_standin::start_booking;
use berylwheel_standin::start_engine;
use berylwheel_standin::start_instances;
use berylwheel_standin::start_store;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use futures_lite::future;
use serde_json::json;

/// Returns the command-line definition.
pub fn command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .default_value("127.0.0.1:0")
        .global(true)
        .value_parser(value_parser!(SocketAddr));
    let millis_arg = |name: &'static str| {
        Arg::new(name).long(name).default_value("0").value_parser(value_parser!(u64))
    };
    let engine = Command::new("engine")
        .about("Runs a model engine")
        .arg(
            Arg::new("model")
                .long("model")
                .help("Loaded models")
                .default_value("m1")
                .value_delimiter(','),
        )
        .arg(Arg::new("slots").long("slots").default_value("64").value_parser(value_parser!(usize)))
        .arg(millis_arg("first-token-ms"))
        .arg(millis_arg("token-interval-ms"));
    Command::new("standin")
        .about("Runs a stand-in for a store, an engine, a booking service or the VM list")
        .arg(listen)
        .subcommand_required(true)
        .subcommand(Command::new("store").about("Runs the key-value service"))
        .subcommand(engine)
        .subcommand(Command::new("booking").about("Runs a booking service"))
        .subcommand(Command::new("vms").about("Runs the VM list of the platform"))
}

/// Runs the stand-in until the process is killed.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn run(args: &ArgMatches) -> Result<()> {
    let executor = Arc::new(Executor::new());
    let (name, subcommand_args) = args.subcommand().context("missing subcommand")?;
    let listen =
        *subcommand_args.get_one::<SocketAddr>("listen").context("missing listen address")?;
    let (address, _handle) = match name {
        "store" => start_store(listen, &executor, StoreOptions::default())?,
        "engine" => start_engine(listen, &executor, engine_options(subcommand_args))?,
        "booking" => start_booking(listen, &executor, BookingOptions::default())?,
        _ => start_instances(listen, &executor, InstancesOptions::default())?,
    };
    println!("{}", json!({ "standin": name, "listen": address }));
    block_on(executor.run(future::pending::<()>()));
    Ok(())
}

fn engine_options(args: &ArgMatches) -> EngineOptions {
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or_default();
    let defaults = EngineOptions::default();
    EngineOptions {
        slots: args.get_one::<usize>("slots").copied().unwrap_or(defaults.slots),
        models: args.get_many::<String>("model").unwrap_or_default().cloned().collect(),
        faults: EngineFaults {
            first_token_ms: number("first-token-ms"),
            token_interval_ms: number("token-interval-ms"),
            ..EngineFaults::default()
        },
        ..defaults
    }
}

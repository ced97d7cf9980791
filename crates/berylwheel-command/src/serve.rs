//! `berylwheel serve`

use std::path::PathBuf;
use std::process;

use anyhow::Context;
use anyhow::Result;
use async_io::block_on;
use async_signal::Signal;
use async_signal::Signals;
use berylwheel_peer::PeerError;
use berylwheel_peer::PeerIdentity;
use berylwheel_router::Running;
use berylwheel_router::start;
use berylwheel_settings::RouterSettings;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use serde_json::json;

use crate::check::read_settings;

/// Describes the command.
pub fn command() -> Command {
    Command::new("serve").about("Runs one router").arg(
        Arg::new("settings")
            .long("settings")
            .required(true)
            .help("The router's own file, with a [router] section")
            .value_parser(value_parser!(PathBuf)),
    )
}

/// Runs the command until a signal ends it.
///
/// # Errors
/// Fails if the settings are wrong or an address cannot be bound.
pub fn run(args: &ArgMatches) -> Result<()> {
    let file = args.get_one::<PathBuf>("settings").context("no settings")?;
    let settings = read_settings(file)?;
    anyhow::ensure!(settings.has_router(), "{}: no [router] section", file.display());
    let router = settings.router();
    let identity = read_identity(router).context("cannot read the certificates of [router]")?;
    let running = start(router, identity).context("cannot start")?;
    let ready = json!({
        "router": running.me,
        "listen": running.listen,
        "admin": running.admin,
        "peer": running.peer,
    });
    println!("{ready}");
    block_on(until_stopped(running, router))
}

fn read_identity(router: &RouterSettings) -> Result<PeerIdentity, PeerError> {
    PeerIdentity::from_files(&router.cert, &router.key, &router.ca)
}

/// Waits for a signal to stop; SIGHUP reads the certificate files again.
async fn stop_signal(signals: &mut Signals, running: &Running, router: &RouterSettings) {
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        match read_identity(router) {
            Ok(identity) => running.reload(identity),
            Err(error) => log::error!("certificates not loaded: {error}"),
        }
    }
}

/// Drains on the first signal to stop and gives up on the second.
async fn until_stopped(running: Running, router: &RouterSettings) -> Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    stop_signal(&mut signals, &running, router).await;
    log::info!("signal received, draining");
    running.drain();
    let drained = running.drained();
    let second = async {
        stop_signal(&mut signals, &running, router).await;
        false
    };
    if drained.or(second).await {
        running.stop();
        log::info!("drained, nothing left");
        return Ok(());
    }
    log::error!(requests = running.active(); "stopped with work left: second signal or drain limit");
    process::exit(1);
}

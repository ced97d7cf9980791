//! The `berylwheel serve` command.

use std::fs;
use std::path::PathBuf;
use std::process;
use std::sync::Arc;

use anyhow::Context;
use anyhow::Result;
use async_io::Timer;
use async_io::block_on;
use async_signal::Signal;
use async_signal::Signals;
use berylwheel_peer::PeerIdentity;
use berylwheel_platform::PlatformAdapter;
use berylwheel_router::RouterHandle;
use berylwheel_router::start;
use berylwheel_router::start_on_platform;
use berylwheel_settings::Adapter;
use berylwheel_settings::RouterSettings;
use berylwheel_settings::Settings;
use berylwheel_types::Millis;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use serde_json::json;

use crate::check::read_settings;
use crate::logging;

/// Polling interval for the settings file, which may change without a signal.
const FILE_POLL_INTERVAL: Millis = Millis(5_000);

/// Returns the command-line definition.
pub fn command() -> Command {
    Command::new("serve").about("Runs one router").arg(
        Arg::new("settings")
            .long("settings")
            .required(true)
            .env("BERYLWHEEL_SETTINGS")
            .help("Settings file of the router, with a [router] section")
            .value_parser(value_parser!(PathBuf)),
    )
}

/// Runs the router until a signal stops it.
///
/// # Errors
/// Fails if the settings are invalid or an address cannot be bound.
pub fn run(args: &ArgMatches) -> Result<()> {
    let file = args.get_one::<PathBuf>("settings").context("missing settings file")?;
    let settings = read_router_settings(file)?;
    let router = settings.router();
    // A signal that arrives before this ends the process at once.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .context("cannot register signal handlers")?;
    let running = match router.adapter {
        Adapter::None => {
            let identity =
                read_identity(router).context("cannot read the certificates named in [router]")?;
            start(router, identity)
        }
        Adapter::Platform => {
            logging::log_to_stdout();
            start_on_platform(router, Arc::new(PlatformAdapter))
        }
    };
    let running = running.context("cannot start the router")?;
    let addresses = json!({
        "router": running.incarnation,
        "listen": running.listen,
        "admin": running.admin,
        "peer": running.peer,
    });
    println!("{addresses}");
    block_on(run_until_stopped(running, signals, file))
}

fn read_router_settings(file: &PathBuf) -> Result<Settings> {
    let settings = read_settings(file)?;
    anyhow::ensure!(settings.has_router(), "{}: missing section [router]", file.display());
    Ok(settings)
}

/// Reads the certificate files named in the settings.
///
/// # Errors
/// Fails if a path is missing or a file cannot be read.
pub(crate) fn read_identity(router: &RouterSettings) -> Result<PeerIdentity> {
    let path = |path: &Option<PathBuf>| path.clone().context("ca, cert and key must be set");
    let (cert, key, ca) = (path(&router.cert)?, path(&router.key)?, path(&router.ca)?);
    Ok(PeerIdentity::from_files(&cert, &key, &ca)?)
}

/// Reloads the settings and applies those that can change at run time. Invalid settings change
/// nothing.
fn reload(running: &RouterHandle, file: &PathBuf) -> Result<()> {
    let settings = read_router_settings(file)?;
    let router = settings.router();
    if router.adapter == Adapter::None {
        running.reload_certificates(read_identity(router)?);
    }
    running.reconfigure(router.clone());
    Ok(())
}

/// Waits for SIGTERM or SIGINT and returns it, or `None` if signals cannot be received any more.
/// Reloads the settings on SIGHUP or when the settings file changes.
async fn wait_for_stop_signal(
    signals: &mut Signals,
    running: &RouterHandle,
    file: &PathBuf,
) -> Option<Signal> {
    let mut loaded = fs::read(file).ok();
    loop {
        let signal = async { Some(signals.next().await) };
        let poll = async {
            Timer::after(FILE_POLL_INTERVAL.duration()).await;
            None
        };
        let current = match signal.or(poll).await {
            Some(Some(Ok(Signal::Hup))) => fs::read(file).ok(),
            Some(received) => return received.and_then(Result::ok),
            None => {
                let current = fs::read(file).ok();
                if current == loaded {
                    continue;
                }
                current
            }
        };
        loaded = current;
        match reload(running, file) {
            Ok(()) => log::info!("settings reloaded"),
            Err(error) => log::error!("settings not reloaded: {error:#}"),
        }
    }
}

/// Drains the router after the first stop signal. Exits with status 1 at the drain limit, or on a
/// SIGINT during the drain. A further SIGTERM changes nothing, since supervisors repeat it.
async fn run_until_stopped(
    running: RouterHandle,
    mut signals: Signals,
    file: &PathBuf,
) -> Result<()> {
    wait_for_stop_signal(&mut signals, &running, file).await;
    let pause = running.announce_shutdown();
    log::info!(pause:% = pause; "signal received, draining");
    let drained = async {
        Timer::after(pause.duration()).await;
        running.drain();
        running.wait_drained().await
    };
    let second_signal = async {
        while wait_for_stop_signal(&mut signals, &running, file).await == Some(Signal::Term) {
            log::info!("signal received again, still draining");
        }
        false
    };
    if drained.or(second_signal).await {
        running.stop();
        log::info!("drained; no requests left");
        return Ok(());
    }
    log::error!(requests = running.active_count(); "stopped with requests left: SIGINT or drain limit");
    log::logger().flush();
    process::exit(1);
}

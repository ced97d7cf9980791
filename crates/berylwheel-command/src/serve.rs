//! `berylwheel serve`

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

/// Interval between looks at the settings file, which may change without a signal.
const LOOK_INTERVAL: Millis = Millis(5_000);

/// Describes the command.
pub fn command() -> Command {
    Command::new("serve").about("Runs one router").arg(
        Arg::new("settings")
            .long("settings")
            .required(true)
            .env("BERYLWHEEL_SETTINGS")
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
    let settings = read_router_settings(file)?;
    let router = settings.router();
    let running = match router.adapter {
        Adapter::None => {
            let identity =
                read_identity(router).context("cannot read the certificates of [router]")?;
            start(router, identity)
        }
        Adapter::Platform => {
            logging::use_stdout();
            start_on_platform(router, Arc::new(PlatformAdapter))
        }
    };
    let running = running.context("cannot start")?;
    let ready = json!({
        "router": running.incarnation,
        "listen": running.listen,
        "admin": running.admin,
        "peer": running.peer,
    });
    println!("{ready}");
    block_on(until_stopped(running, file))
}

fn read_router_settings(file: &PathBuf) -> Result<Settings> {
    let settings = read_settings(file)?;
    anyhow::ensure!(settings.has_router(), "{}: no [router] section", file.display());
    Ok(settings)
}

/// Reads the certificates that the settings name.
///
/// # Errors
/// Fails if a path is missing or a file cannot be read.
pub(crate) fn read_identity(router: &RouterSettings) -> Result<PeerIdentity> {
    let path = |path: &Option<PathBuf>| path.clone().context("ca, cert and key are needed");
    let (cert, key, ca) = (path(&router.cert)?, path(&router.key)?, path(&router.ca)?);
    Ok(PeerIdentity::from_files(&cert, &key, &ca)?)
}

/// Reads the settings again and uses what may change while the router runs. Wrong settings change
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

/// Waits for a signal to stop; SIGHUP, or a change of the file, reads the settings again.
async fn stop_signal(signals: &mut Signals, running: &RouterHandle, file: &PathBuf) {
    let mut seen = fs::read(file).ok();
    loop {
        let signal = async { Some(signals.next().await) };
        let look = async {
            Timer::after(LOOK_INTERVAL.duration()).await;
            None
        };
        let now = match signal.or(look).await {
            Some(Some(Ok(Signal::Hup))) => fs::read(file).ok(),
            Some(_) => return,
            None => {
                let now = fs::read(file).ok();
                if now == seen {
                    continue;
                }
                now
            }
        };
        seen = now;
        match reload(running, file) {
            Ok(()) => log::info!("settings read again"),
            Err(error) => log::error!("settings not read again: {error:#}"),
        }
    }
}

/// Drains on the first signal to stop and gives up on the second.
async fn until_stopped(running: RouterHandle, file: &PathBuf) -> Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    stop_signal(&mut signals, &running, file).await;
    let pause = running.announce_shutdown();
    log::info!(pause:% = pause; "signal received, draining");
    let drained = async {
        Timer::after(pause.duration()).await;
        running.drain();
        running.wait_drained().await
    };
    let second = async {
        stop_signal(&mut signals, &running, file).await;
        false
    };
    if drained.or(second).await {
        running.stop();
        log::info!("drained, nothing left");
        return Ok(());
    }
    log::error!(requests = running.active_count(); "stopped with work left: second signal or drain limit");
    log::logger().flush();
    process::exit(1);
}

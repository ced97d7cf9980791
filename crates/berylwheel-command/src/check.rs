//! The `berylwheel check` command.

use std::fs;
use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;
use berylwheel_settings::Settings;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

/// Returns the command-line definition.
pub fn command() -> Command {
    Command::new("check")
        .about("Validates a settings file and prints each effective value with its origin")
        .arg(Arg::new("file").required(true).value_parser(value_parser!(PathBuf)))
}

/// Runs the command.
///
/// # Errors
/// Fails if the file cannot be read or is invalid.
pub fn run(args: &ArgMatches) -> Result<()> {
    let file = args.get_one::<PathBuf>("file").context("missing settings file")?;
    let settings = read_settings(file)?;
    for value in settings.effective() {
        println!("{value}");
    }
    Ok(())
}

/// Reads and validates a settings file.
///
/// # Errors
/// Fails if the file cannot be read, or with a list of all invalid settings.
pub fn read_settings(file: &PathBuf) -> Result<Settings> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).with_context(|| format!("cannot read {name}"))?;
    Ok(Settings::parse(&name, &text)?)
}

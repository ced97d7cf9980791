//! `berylwheel certificates`

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;
use berylwheel_peer::Authority;
use berylwheel_peer::IssuedCertificate;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

/// Describes the command.
pub fn command() -> Command {
    Command::new("certificates")
        .about("Makes a certificate authority and one certificate per router for the peer links")
        .arg(
            Arg::new("out")
                .long("out")
                .required(true)
                .help("Directory for ca.pem, NAME.pem and NAME.key")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(Arg::new("names").num_args(1..).required(true).help("Names of the routers"))
}

/// Runs the command.
///
/// # Errors
/// Fails if the directory cannot be written.
pub fn run(args: &ArgMatches) -> Result<()> {
    let out = args.get_one::<PathBuf>("out").context("no directory")?;
    let names: Vec<&str> =
        args.get_many::<String>("names").context("no names")?.map(String::as_str).collect();
    write(out, &names)
}

/// Certificates in PEM for one router.
#[derive(Debug)]
pub struct Certificates {
    /// The authority's certificate.
    pub ca: String,
    /// The name of each router with its certificate and key.
    pub routers: Vec<(String, String, String)>,
}

/// Makes an authority and a certificate for each name.
///
/// # Errors
/// Fails if a name is not a DNS label.
pub fn make(names: &[&str]) -> Result<Certificates> {
    let authority = Authority::generate()?;
    let issue = |name: &&str| {
        let IssuedCertificate { certificate, key } = authority.issue(name)?;
        Ok(((*name).to_owned(), certificate, key))
    };
    let routers = names.iter().map(issue).collect::<Result<_>>()?;
    Ok(Certificates { ca: authority.certificate, routers })
}

/// Makes certificates and writes them to files.
///
/// # Errors
/// Fails if the directory cannot be written.
pub fn write(out: &Path, names: &[&str]) -> Result<()> {
    let made = make(names)?;
    fs::create_dir_all(out).with_context(|| format!("cannot create {}", out.display()))?;
    let put = |file: String, text: &str| -> Result<()> {
        let path = out.join(file);
        fs::write(&path, text).with_context(|| format!("cannot write {}", path.display()))
    };
    put("ca.pem".to_owned(), &made.ca)?;
    for (name, certificate, key) in &made.routers {
        put(format!("{name}.pem"), certificate)?;
        put(format!("{name}.key"), key)?;
    }
    Ok(())
}

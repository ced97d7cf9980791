//! The `berylwheel certificates` command.

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

/// Returns the command-line definition.
pub fn command() -> Command {
    Command::new("certificates")
        .about("Creates a certificate authority and a peer certificate for each router")
        .arg(
            Arg::new("out")
                .long("out")
                .required(true)
                .help("Output directory for ca.pem, NAME.pem and NAME.key")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(Arg::new("names").num_args(1..).required(true).help("Names of the routers"))
}

/// Runs the command.
///
/// # Errors
/// Fails if a name is not a DNS label or the files cannot be written.
pub fn run(args: &ArgMatches) -> Result<()> {
    let out = args.get_one::<PathBuf>("out").context("missing output directory")?;
    let names: Vec<&str> = args
        .get_many::<String>("names")
        .context("missing router names")?
        .map(String::as_str)
        .collect();
    write_files(out, &names)
}

/// A certificate authority's certificate and the routers' certificates, in PEM format.
#[derive(Debug)]
pub struct Certificates {
    /// Certificate of the authority.
    pub ca: String,
    /// Name, certificate and private key of each router.
    pub routers: Vec<(String, String, String)>,
}

/// Creates a certificate authority and issues a certificate for each name.
///
/// # Errors
/// Fails if a name is not a DNS label.
pub fn generate(names: &[&str]) -> Result<Certificates> {
    let authority = Authority::generate()?;
    let issue = |name: &&str| {
        let IssuedCertificate { certificate, key } = authority.issue(name)?;
        Ok(((*name).to_owned(), certificate, key))
    };
    let routers = names.iter().map(issue).collect::<Result<_>>()?;
    Ok(Certificates { ca: authority.certificate, routers })
}

/// Creates certificates and writes them to the directory `out`.
///
/// # Errors
/// Fails if a name is not a DNS label or the files cannot be written.
pub fn write_files(out: &Path, names: &[&str]) -> Result<()> {
    let certificates = generate(names)?;
    fs::create_dir_all(out).with_context(|| format!("cannot create {}", out.display()))?;
    let write_file = |file: String, text: &str| -> Result<()> {
        let path = out.join(file);
        fs::write(&path, text).with_context(|| format!("cannot write {}", path.display()))
    };
    write_file("ca.pem".to_owned(), &certificates.ca)?;
    for (name, certificate, key) in &certificates.routers {
        write_file(format!("{name}.pem"), certificate)?;
        write_file(format!("{name}.key"), key)?;
    }
    Ok(())
}

//! Stand-ins of the platform for the scripts of the third review, and the cases that use them.
//!
//! The platform's own names are in the `.in` files, since a test keeps them out of all other sources.

mod json;
mod net;
#[path = "crash.rs.in"]
mod crash;
#[path = "engine.rs.in"]
mod engine;
#[path = "fleet.rs.in"]
mod fleet;
#[path = "mortal.rs.in"]
mod mortal;
#[path = "restore.rs.in"]
mod restore;
#[path = "store.rs.in"]
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = &args[..] else {
        eprintln!("usage: standin-3 CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let disrupted = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "crash" => crash::run(folder, record, disrupted),
        "stopped" => restore::stopped(folder, record, disrupted),
        "added" => restore::added(folder, record, disrupted),
        _ => Err(format!("no case {case}")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

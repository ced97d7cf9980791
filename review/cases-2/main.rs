//! Runs one case of the review: `cases-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run. With `TROUBLE=0` there is no disruption.

mod client;
mod clock;
mod fleet;
mod http;
mod json;
mod large_prompts;
mod server;
mod store;
mod store_restored;
mod wire;

use std::fs;
use std::panic::catch_unwind;
use std::path::Path;
use std::process::exit;

/// What a case found.
pub struct Verdict {
    pub broken: bool,
    pub record: Vec<String>,
}

fn main() {
    clock::since_start();
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &words[..] else { exit(2) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let play = || match case.as_str() {
        "large-prompts" => large_prompts::run(trouble),
        "store-restored" => store_restored::run(trouble),
        _ => Err(format!("no case {case}")),
    };
    // A case that panics could not run. Unwinding ends the routers that it started.
    let result = catch_unwind(play).unwrap_or_else(|_| Err("the case panicked".to_owned()));
    let (status, mut record) = match result {
        Ok(Verdict { broken, record }) => (i32::from(broken), record),
        Err(error) => (2, vec![format!("could not run: {error}")]),
    };
    record.push(format!("exit status {status}"));
    println!("{}", record[..record.len().min(12)].join("\n"));
    if fs::write(Path::new(folder).join("record.txt"), record.join("\n") + "\n").is_err() {
        exit(2);
    }
    exit(status);
}

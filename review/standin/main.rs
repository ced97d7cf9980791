//! Stand-ins and plays for the cases of the review: `standin engine NAME=VALUE..` is a model server,
//! `standin CASE FOLDER` plays a case and writes FOLDER/record.txt.

mod config_change;
mod crash_part;
mod engine;
mod fleet;
mod http;
mod json;
mod recover;
mod site;
mod store;
mod whole_budget;

use std::collections::BTreeMap;
use std::path::Path;
use std::process;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Result of a play: whether the rule held, or why the case could not run.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (name, rest) = args.split_first().map_or(("", &[][..]), |(name, rest)| (name, rest));
    if name == "engine" {
        let pairs = rest.iter().filter_map(|arg| arg.split_once('='));
        let pairs: BTreeMap<String, String> =
            pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
        if let Err(error) = engine::run(&pairs) {
            eprintln!("{error}");
            process::exit(2);
        }
        return;
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let folder = rest.first().map_or(Path::new("."), Path::new);
    let verdict = match name {
        "config-change" => config_change::play(folder, trouble),
        "whole-budget" => whole_budget::play(folder, trouble),
        "recover" => recover::play(folder, trouble),
        "unframed-crash" => crash_part::play(folder, &crash_part::unframed(), trouble),
        "parts-crash" => crash_part::play(folder, &crash_part::many_parts(), trouble),
        "burst-crash" => crash_part::play(folder, &crash_part::bursts(), trouble),
        _ => Verdict::NotRun(format!("unknown case {name:?}")),
    };
    process::exit(match verdict {
        Verdict::Held => {
            println!("held");
            0
        }
        Verdict::Broken => {
            println!("broken");
            1
        }
        Verdict::NotRun(reason) => {
            println!("not run: {reason}");
            2
        }
    });
}

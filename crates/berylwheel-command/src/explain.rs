//! The `berylwheel explain` command.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use berylwheel_types::Code;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

/// Log name shown for lines read from standard input.
const STDIN_NAME: &str = "stdin";
/// Beginnings of the log messages that report a state of the router or its dependencies. For each
/// row, the latest matching line before the end of the request is shown.
const STATE_MESSAGES: [&[&str]; 5] = [
    &["started"],
    &["configuration in force"],
    &["store lost", "store regained"],
    &["watch ended", "history is gone, reading anew"],
    &["link is full"],
];
/// Beginning of the log message that reports the state of one backend server.
const SERVER_STATE_MESSAGE: &str = "server leaves or is gone";

/// Returns the command-line definition.
pub fn command() -> Command {
    Command::new("explain")
        .about("Prints the log lines of one request and the router state that affected it")
        .arg(Arg::new("id").value_name("ID").required(true).help("Id of the request"))
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf))
                .help("Log files, one per router; standard input if none is given"),
        )
}

/// Runs the command.
///
/// # Errors
/// Fails if a file cannot be read or no line contains the request id.
pub fn run(args: &ArgMatches) -> Result<()> {
    let id = args.get_one::<String>("id").context("missing request id")?;
    let mut logs = Vec::new();
    for path in args.get_many::<PathBuf>("file").into_iter().flatten() {
        // A line that was cut off when the process was killed may not be valid UTF-8.
        let bytes =
            std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
        logs.push((log_name(path), String::from_utf8_lossy(&bytes).into_owned()));
    }
    if logs.is_empty() {
        let text = io::read_to_string(io::stdin()).context("cannot read standard input")?;
        logs.push((STDIN_NAME.to_owned(), text));
    }
    match explain(id, &logs) {
        Some(text) => print!("{text}"),
        None => bail!(
            "no log line for request {id}; at level info only refusals and failures are logged"
        ),
    }
    Ok(())
}

fn log_name(path: &Path) -> String {
    path.file_stem().unwrap_or(path.as_os_str()).to_string_lossy().into_owned()
}

/// Summarizes the named `logs` for the request `id`: its lines in order, the meaning of its result
/// code, and the last known state of the routers that handled it. Returns `None` if no line
/// contains the id.
///
/// ```
/// let log = "[2026-08-24T16:09:41Z INFO  router] refused: late request=a1 code=1312 ran=not-run ms=4\n";
/// let text = berylwheel_command::explain("a1", &[("r1".to_owned(), log.to_owned())]).unwrap();
/// assert!(text.contains("1312 deadline cannot be met"));
/// ```
pub fn explain(id: &str, logs: &[(String, String)]) -> Option<String> {
    let mut lines = Vec::new();
    let mut states = Vec::new();
    let mut routers: BTreeMap<&str, Vec<Record>> = BTreeMap::new();
    for (name, text) in logs {
        for record in text.lines().filter_map(Record::parse) {
            routers.entry(record.router.unwrap_or(name)).or_default().push(record);
        }
    }
    for (name, records) in &routers {
        let matching: Vec<usize> = (0..records.len())
            .filter(|index| records[*index].field("request") == Some(id))
            .collect();
        let Some(last) = matching.last() else { continue };
        let servers: Vec<&str> =
            matching.iter().filter_map(|index| records[*index].field("server")).collect();
        states.extend(
            latest_states(&records[..=*last], &servers).into_iter().map(|line| (name, line)),
        );
        lines.extend(
            matching.into_iter().map(|index| (records[index].time, name, records[index].clone())),
        );
    }
    if lines.is_empty() {
        return None;
    }
    // The sort must be stable: timestamps have a resolution of one second, and the lines of one
    // router must keep their order.
    lines.sort_by_key(|(time, ..)| *time);
    let mut summary = format!("request {id}\n");
    let id_field = format!(" request={id}");
    for (time, name, record) in &lines {
        let _ = writeln!(summary, "  {time} {name}: {}", record.text.replacen(&id_field, "", 1));
    }
    if let Some(code) = lines.iter().rev().find_map(|(_, _, record)| result_code(record)) {
        let _ = writeln!(summary, "meaning\n  {code}: {}", code.help());
    }
    if !states.is_empty() {
        summary.push_str("state before the end of the request\n");
    }
    for (name, record) in states {
        let _ = writeln!(summary, "  {} {name}: {}", record.time, record.text);
    }
    Some(summary)
}

fn result_code(record: &Record) -> Option<Code> {
    let number: u16 = record.field("code")?.parse().ok()?;
    Code::ALL.iter().copied().find(|code| code.number() == number)
}

/// Returns the latest line for each state, in log order.
fn latest_states<'a>(records: &[Record<'a>], servers: &[&str]) -> Vec<Record<'a>> {
    let mut latest: BTreeMap<usize, usize> = BTreeMap::new();
    // State from before the last start of the router no longer applies.
    let start = records.iter().rposition(|record| record.text.starts_with("started")).unwrap_or(0);
    for (index, record) in records.iter().enumerate().skip(start) {
        let state = STATE_MESSAGES
            .iter()
            .position(|row| row.iter().any(|text| record.text.starts_with(text)));
        if let Some(state) = state {
            latest.insert(state, index);
        }
        let server = servers.iter().position(|server| record.field("server") == Some(*server));
        if let Some(server) = server.filter(|_| record.text.starts_with(SERVER_STATE_MESSAGE)) {
            latest.insert(STATE_MESSAGES.len() + server, index);
        }
    }
    let mut lines: Vec<usize> = latest.into_values().collect();
    lines.sort_unstable();
    lines.dedup();
    lines.into_iter().map(|index| records[index].clone()).collect()
}

/// A line of a router's log, `[TIME LEVEL MODULE] TEXT`. A log collector may add a prefix, the last
/// word of which is the router's name.
#[derive(Debug, Clone)]
struct Record<'a> {
    router: Option<&'a str>,
    time: &'a str,
    text: &'a str,
}

impl<'a> Record<'a> {
    fn parse(line: &'a str) -> Option<Self> {
        let (prefix, rest) = line.split_once('[')?;
        let (head, text) = rest.split_once("] ")?;
        let time = head.split(' ').next()?;
        let router = prefix.split_whitespace().next_back();
        Some(Self { router, time, text })
    }

    /// Returns the value of a field, up to the first space.
    fn field(&self, key: &str) -> Option<&'a str> {
        let mut words = self.text.split(' ');
        words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }
}

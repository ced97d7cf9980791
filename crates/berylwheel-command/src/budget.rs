//! The `berylwheel budget` command.

use anyhow::Context;
use anyhow::Result;
use async_io::block_on;
use berylwheel_types::BudgetId;
use berylwheel_types::CreditId;
use berylwheel_types::Incarnation;
use berylwheel_types::Tokens;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde_json::json;

use crate::connect::Connection;
use crate::connect::print_json;
use crate::connect::with_connection;

/// Returns the command-line definition.
pub fn command() -> Command {
    let budget = || {
        Arg::new("budget")
            .required(true)
            .help("Budget, as WORKSPACE/NAME")
            .value_parser(value_parser!(BudgetId))
    };
    let tokens = Arg::new("tokens")
        .required(true)
        .help("Number of tokens, such as 500, 20k or 3M")
        .value_parser(value_parser!(Tokens));
    let id = Arg::new("id")
        .long("id")
        .required(true)
        .help("Unique id of the payment; a repeated id has no further effect")
        .value_parser(value_parser!(CreditId));
    let holder = Arg::new("holder")
        .required(true)
        .help("Router process that has ended, as ROUTER@NUMBER")
        .value_parser(value_parser!(Incarnation));
    let budget_command =
        |name: &'static str, about: &'static str| Command::new(name).about(about).arg(budget());
    with_connection(Command::new("budget").about("Creates, changes and shows token budgets"))
        .subcommand_required(true)
        .subcommand(budget_command("create", "Creates an empty budget"))
        .subcommand(
            budget_command("credit", "Adds tokens to a budget").arg(tokens.clone()).arg(id.clone()),
        )
        .subcommand(budget_command("cut", "Removes tokens from a budget").arg(tokens).arg(id))
        .subcommand(budget_command("close", "Closes a budget"))
        .subcommand(budget_command(
            "show",
            "Shows the balance, grants, billed tokens and audit trail of a budget",
        ))
        .subcommand(
            budget_command("release", "Releases the grant of a router process that has ended")
                .arg(holder),
        )
}

/// Runs the command.
///
/// # Errors
/// Fails if the router cannot be reached or rejects the request.
pub fn run(args: &ArgMatches) -> Result<()> {
    let connection = Connection::from_args(args)?;
    let (name, args) = args.subcommand().context("missing subcommand")?;
    let budget = args.get_one::<BudgetId>("budget").context("missing budget")?;
    let path = format!("/admin/budgets/{budget}");
    if name == "show" {
        return print_json(&block_on(connection.get(&path))?);
    }
    let mut body = json!({ "op": name });
    if matches!(name, "credit" | "cut") {
        body["tokens"] = json!(args.get_one::<Tokens>("tokens"));
        body["id"] = json!(args.get_one::<CreditId>("id"));
    }
    if name == "release" {
        body["holder"] = json!(args.get_one::<Incarnation>("holder"));
    }
    print_json(&block_on(connection.post(&path, &body))?)
}

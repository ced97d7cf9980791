//! Calls of a router's operators' interface.

use std::net::SocketAddr;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use berylwheel_http::Client;
use berylwheel_http::OutgoingRequest;
use berylwheel_types::Millis;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use http_types::Method;
use serde_json::Value;

/// Time that one call may take.
const CALL_TIME: Millis = Millis(30_000);
/// The largest answer, in bytes.
const ANSWER_LIMIT: u64 = 64 << 20;

/// A router's operators' interface.
#[derive(Debug, Clone)]
pub struct Connection {
    address: SocketAddr,
    key: Option<String>,
}

/// Adds the arguments that a call of a router needs.
pub fn with_connection(command: Command) -> Command {
    let address = Arg::new("address")
        .long("address")
        .short('a')
        .help("Admin address of a router, IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .env("BERYLWHEEL_ADDRESS")
        .global(true);
    let key = Arg::new("operator-key")
        .long("operator-key")
        .help("Operator key")
        .env("BERYLWHEEL_OPERATOR_KEY")
        .hide_env_values(true)
        .global(true);
    command.arg(address).arg(key)
}

impl Connection {
    /// Reads the arguments that [`with_connection`] adds.
    ///
    /// # Errors
    /// Fails without an address.
    pub fn from_args(args: &ArgMatches) -> Result<Self> {
        let address = args.get_one::<SocketAddr>("address");
        let address = address.context("no router: give --address IP:PORT")?;
        Ok(Self { address: *address, key: args.get_one::<String>("operator-key").cloned() })
    }

    /// Returns the interface at `address` for the operator with `key`.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self { address, key: Some(key.to_owned()) }
    }

    /// Reads a document.
    ///
    /// # Errors
    /// Fails if the router cannot be reached or refuses.
    pub async fn get(&self, path: &str) -> Result<Value> {
        self.call(OutgoingRequest::new(Method::Get, path)).await
    }

    /// Sends a document.
    ///
    /// # Errors
    /// Fails if the router cannot be reached or refuses.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Value> {
        let outgoing = OutgoingRequest::new(Method::Post, path)
            .header("content-type", "application/json")
            .body(body.to_string());
        self.call(outgoing).await
    }

    async fn call(&self, mut outgoing: OutgoingRequest) -> Result<Value> {
        if let Some(key) = &self.key {
            outgoing = outgoing.header("authorization", format!("Bearer {key}"));
        }
        outgoing.head_timeout = CALL_TIME;
        let fetched =
            Client::default().fetch(self.address, &outgoing, ANSWER_LIMIT, CALL_TIME).await;
        let (response, bytes) = fetched?;
        let value: Value = serde_json::from_slice(&bytes)
            .with_context(|| format!("{} answered {}", self.address, response.status()))?;
        if response.status().is_success() {
            return Ok(value);
        }
        let text = |name: &str| value.get(name).and_then(Value::as_str).unwrap_or_default();
        let code = value.get("code").and_then(Value::as_u64).unwrap_or_default();
        bail!("{code} {}: {}\n{}", text("title"), text("detail"), text("help"));
    }
}

/// Prints a JSON document for people and programs.
///
/// # Errors
/// Fails if standard output is closed.
pub fn print_json(value: &Value) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

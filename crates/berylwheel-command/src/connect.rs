//! Client of a router's admin interface.

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

/// Timeout of one call.
const CALL_TIMEOUT: Millis = Millis(30_000);
/// Maximum response size, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Address of a router's admin interface and the operator's key.
#[derive(Debug, Clone)]
pub struct Connection {
    address: SocketAddr,
    key: Option<String>,
}

/// Adds the arguments for connecting to a router.
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
        .help("Operator key for the admin interface")
        .env("BERYLWHEEL_OPERATOR_KEY")
        .hide_env_values(true)
        .global(true);
    command.arg(address).arg(key)
}

impl Connection {
    /// Reads the arguments added by [`with_connection`].
    ///
    /// # Errors
    /// Fails if no address is given.
    pub fn from_args(args: &ArgMatches) -> Result<Self> {
        let address = args.get_one::<SocketAddr>("address");
        let address = address.context("no router address: set --address IP:PORT")?;
        Ok(Self { address: *address, key: args.get_one::<String>("operator-key").cloned() })
    }

    /// Creates a connection to `address` that authenticates with the operator key `key`.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self { address, key: Some(key.to_owned()) }
    }

    /// Sends a GET request and returns the JSON response.
    ///
    /// # Errors
    /// Fails if the router cannot be reached or rejects the request.
    pub async fn get(&self, path: &str) -> Result<Value> {
        self.call(OutgoingRequest::new(Method::Get, path)).await
    }

    /// Sends a POST request with a JSON body and returns the JSON response.
    ///
    /// # Errors
    /// Fails if the router cannot be reached or rejects the request.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Value> {
        let request = OutgoingRequest::new(Method::Post, path)
            .header("content-type", "application/json")
            .body(body.to_string());
        self.call(request).await
    }

    async fn call(&self, mut request: OutgoingRequest) -> Result<Value> {
        if let Some(key) = &self.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        request.head_timeout = CALL_TIMEOUT;
        let result =
            Client::default().fetch(self.address, &request, MAX_RESPONSE_BYTES, CALL_TIMEOUT).await;
        let (response, bytes) = result?;
        let value: Value = serde_json::from_slice(&bytes).with_context(|| {
            format!(
                "{} returned status {} with an invalid JSON body",
                self.address,
                response.status()
            )
        })?;
        if response.status().is_success() {
            return Ok(value);
        }
        let text = |name: &str| value.get(name).and_then(Value::as_str).unwrap_or_default();
        let code = value.get("code").and_then(Value::as_u64).unwrap_or_default();
        bail!("{code} {}: {}\n{}", text("title"), text("detail"), text("help"));
    }
}

/// Prints a formatted JSON document to standard output.
///
/// # Errors
/// Fails if the document cannot be serialized.
pub fn print_json(value: &Value) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

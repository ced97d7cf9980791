//! Starts a fleet of router processes and stand-in services on loopback addresses.

#![allow(dead_code)]

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_io::block_on;
use berylwheel_config::key_digest;
use berylwheel_http::Client;
use berylwheel_http::OutgoingRequest;
use berylwheel_types::Millis;
use http_types::Method;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use serde_json::json;

/// Time limit of [`wait_until`]; the test fails when it is exceeded.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub const CALLER_KEY: &str = "caller-key";
pub const OPERATOR_KEY: &str = "operator-key";

/// A child process that is killed when the test ends.
pub struct Process {
    child: Child,
    pub addresses: Value,
}

impl Process {
    /// Starts the binary and reads its listening addresses from the first line on stdout.
    pub fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_berylwheel"))
            .args(args)
            .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or_else(|_| "error".to_owned()))
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("stdout is readable");
        let addresses = serde_json::from_str(&line)
            .unwrap_or_else(|_| panic!("expected a JSON line with addresses, got {line:?}"));
        Self { child, addresses }
    }

    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("the process reports this address")
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by a system call; running `kill` would delay the signal on a busy machine.
    pub fn signal(&self, name: &str) {
        let signal = match name {
            "CONT" => Signal::CONT,
            "HUP" => Signal::HUP,
            "STOP" => Signal::STOP,
            "TERM" => Signal::TERM,
            name => panic!("unsupported signal {name}"),
        };
        kill_process(Pid::from_child(&self.child), signal).expect("the signal is sent");
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit and returns whether its exit status is 0.
    pub fn wait_exit(&mut self) -> bool {
        wait_until("the process exits", || match self.child.try_wait() {
            Ok(Some(status)) => Some(status.success()),
            _ => None,
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Polls `check` until it returns a value, and panics after [`WAIT_LIMIT`].
pub fn wait_until<T>(condition: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    while start.elapsed() < WAIT_LIMIT {
        if let Some(value) = check() {
            return value;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out: {condition}");
}

/// A response whose body has been read.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    pub fn code(&self) -> u64 {
        self.json()["code"].as_u64().unwrap_or(0)
    }

    pub fn execution_state(&self) -> String {
        self.json()["ran"].as_str().unwrap_or_default().to_owned()
    }
}

/// Sends a request and returns the response, or the client's error as text.
pub fn try_send(address: SocketAddr, mut request: OutgoingRequest) -> Result<Response, String> {
    request.pooled = false;
    request.head_timeout = Millis(30_000);
    let fetched = block_on(Client::default().fetch(address, &request, 64 << 20, Millis(60_000)));
    let (response, bytes) = fetched.map_err(|error| error.to_string())?;
    let body = String::from_utf8_lossy(&bytes).into_owned();
    Ok(Response { status: response.status().into(), body })
}

pub fn send(address: SocketAddr, request: OutgoingRequest) -> Response {
    try_send(address, request).expect("a response")
}

pub fn get(address: SocketAddr, path: &str) -> Response {
    send(address, OutgoingRequest::new(Method::Get, path))
}

pub fn post(address: SocketAddr, path: &str, body: &Value) -> Response {
    send(address, OutgoingRequest::new(Method::Post, path).body(body.to_string()))
}

/// Builds a request with the caller's API key and an optional idempotency key.
pub fn caller_request(
    method: Method,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> OutgoingRequest {
    let mut request = OutgoingRequest::new(method, path)
        .header("authorization", format!("Bearer {CALLER_KEY}"))
        .body(body);
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    request
}

/// Builds a chat request that generates up to `tokens` tokens.
pub fn chat_request(tokens: u64, stream: bool, key: Option<&str>) -> OutgoingRequest {
    let body = json!({
        "model": "m1",
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": "suggest a blend" }],
    });
    caller_request(Method::Post, "/v1/chat/completions", key, &body.to_string())
}

/// Stand-in services and the routers in front of them.
pub struct Fleet {
    pub store: Process,
    pub vms: Process,
    pub engines: Vec<Process>,
    pub booking_service: Process,
    pub routers: Vec<Process>,
    directory: PathBuf,
}

impl Fleet {
    /// Starts a store, a VM list, two engines, a booking service and routers.
    ///
    /// The configuration has one workspace `w`, whose budget `w/main` is credited with `tokens`.
    pub fn start(name: &str, routers: usize, engine_args: &[&str], tokens: u64) -> Self {
        Self::start_with_settings(name, routers, engine_args, tokens, "", ["chat", "m1"])
    }

    /// Like [`Fleet::start`], with additional settings sections and with the given lists of kinds
    /// and models at the engines.
    pub fn start_with_settings(
        name: &str,
        routers: usize,
        engine_args: &[&str],
        tokens: u64,
        sections: &str,
        [kinds, models]: [&str; 2],
    ) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory).expect("the test directory is created");
        let engines: Vec<Process> = (0..2)
            .map(|_| {
                Process::start(&[&["standin", "engine", "--model", models], engine_args].concat())
            })
            .collect();
        let mut fleet = Self {
            store: Process::start(&["standin", "store"]),
            vms: Process::start(&["standin", "vms"]),
            engines,
            booking_service: Process::start(&["standin", "booking"]),
            routers: Vec::new(),
            directory,
        };
        let names: Vec<String> = (0..routers).map(|i| format!("r{i}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let out = fleet.directory.display().to_string();
        run_command(&[&["certificates", "--out", &out][..], &names].concat());
        fleet.init_config(sections, kinds, models);
        for i in 0..routers {
            fleet.start_router(i);
        }
        fleet.create_budget(tokens);
        fleet
    }

    fn init_config(&self, sections: &str, kinds: &str, models: &str) {
        let file = self.directory.join("fleet.ini");
        let mut text = format!(
            "[fleet]\nledger_pages = 4\n\
             [kind chat]\nservice = engine\nmodels = m1\nrank = normal\nmax_tokens = 4000\n\
             deadline = 20s\nqueue = 1000\nconcurrency = 1000\n\
             [kind booking]\nservice = plain\nrank = urgent\nrepeat = never\nlookup = yes\n\
             deadline = 3s\n\
             [kind stock]\nservice = plain\nrank = urgent\nrepeat = idempotent\ndeadline = 3s\n\
             [workspace w]\nin_flight = 1000\nkey.test = {}\n\
             [operator test]\nkey = {}\n",
            key_digest(CALLER_KEY),
            key_digest(OPERATOR_KEY),
        );
        for (i, engine) in self.engines.iter().enumerate() {
            let address = engine.address("listen");
            text += &format!(
                "[server e{i}]\naddress = {address}\nkinds = {kinds}\nmodels = {models}\n\
                 concurrency = 200\ndomain = d{i}\n"
            );
        }
        let address = self.booking_service.address("listen");
        text += &format!(
            "[server b0]\naddress = {address}\nkinds = booking, stock\nconcurrency = 100\n\
             domain = d0\n"
        );
        text += sections;
        fs::write(&file, text).expect("the settings are written");
        let store = self.store.address("listen").to_string();
        run_command(&["config", "init", "--store", &store, &file.display().to_string()]);
    }

    /// Starts router `i` and waits until it is ready. A restarted router keeps its peer address.
    pub fn start_router(&mut self, i: usize) {
        self.spawn_router(i, "");
        self.wait_ready(i);
    }

    /// Starts router `i` with additional lines in its `[router]` section, without waiting until it
    /// is ready.
    pub fn spawn_router(&mut self, i: usize, lines: &str) {
        let file = self.directory.join(format!("r{i}.ini"));
        let peer = match self.routers.get(i) {
            Some(router) => router.address("peer").to_string(),
            None => "127.0.0.1:0".to_owned(),
        };
        let pem = |name: String| self.directory.join(name).display().to_string();
        let text = format!(
            "[router]\nname = r{i}\ndomain = d{i}\nregion = test\nlisten = 127.0.0.1:0\n\
             admin = 127.0.0.1:0\npeer = {peer}\nstore = {}\nvms = {}\nca = {}\ncert = {}\n\
             key = {}\n{lines}",
            self.store.address("listen"),
            self.vms.address("listen"),
            pem("ca.pem".to_owned()),
            pem(format!("r{i}.pem")),
            pem(format!("r{i}.key")),
        );
        fs::write(&file, text).expect("the settings are written");
        let process = Process::start(&["serve", "--settings", &file.display().to_string()]);
        if i < self.routers.len() {
            self.routers[i] = process;
        } else {
            self.routers.push(process);
        }
    }

    /// Waits until `/readyz` of router `i` returns 200.
    pub fn wait_ready(&self, i: usize) {
        wait_until("the router is ready", || {
            let response = try_send(self.router(i), OutgoingRequest::new(Method::Get, "/readyz"));
            response.ok().filter(|response| response.status == 200)
        });
    }

    fn create_budget(&self, tokens: u64) {
        assert_eq!(self.send_budget_operation(&json!({ "op": "create" })).status, 200);
        let credit = json!({ "op": "credit", "id": "first", "tokens": tokens });
        assert_eq!(self.send_budget_operation(&credit).status, 200);
    }

    /// Posts an operation on the budget `w/main` to the first router that responds.
    pub fn send_budget_operation(&self, body: &Value) -> Response {
        self.send_as_operator(Method::Post, "/admin/budgets/w/main", &body.to_string())
    }

    /// Returns the account of the budget `w/main`.
    pub fn account(&self) -> Value {
        self.send_as_operator(Method::Get, "/admin/budgets/w/main", "").json()["account"].clone()
    }

    /// Sends an operator request to the first router that responds.
    pub fn send_as_operator(&self, method: Method, path: &str, body: &str) -> Response {
        let request = || {
            OutgoingRequest::new(method, path)
                .header("authorization", format!("Bearer {OPERATOR_KEY}"))
                .body(body)
        };
        let responses = self.routers.iter().map(|r| try_send(r.address("admin"), request()));
        responses.flatten().next().expect("a router responds")
    }

    /// Sends an operator request to router `i`.
    pub fn send_as_operator_to(
        &self,
        i: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Response {
        send_as_operator(self.admin(i), method, path, body)
    }

    /// Returns the directory with the routers' settings and certificates.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    pub fn router(&self, i: usize) -> SocketAddr {
        self.routers[i].address("listen")
    }

    pub fn admin(&self, i: usize) -> SocketAddr {
        self.routers[i].address("admin")
    }

    /// Sets the faults that a stand-in service injects.
    pub fn inject_faults(&self, standin: &Process, faults: &Value) {
        let response = post(standin.address("listen"), "/faults", faults);
        assert!(response.status < 300, "{response:?}");
    }

    /// Returns how often the booking service executed the call with the idempotency key `key`.
    pub fn run_count(&self, key: &str) -> u64 {
        get(self.booking_service.address("listen"), "/runs").json()[key].as_u64().unwrap_or(0)
    }

    /// Replaces the VM list that the platform reports, given as pairs of name and state.
    pub fn set_vm_list(&self, vms: &[(&str, &str)]) {
        let list: Vec<Value> = vms
            .iter()
            .map(|(name, state)| {
                json!({ "name": name, "address": "", "domain": "d0", "state": state })
            })
            .collect();
        let response = post(self.vms.address("listen"), "/v1/instances", &json!(list));
        assert!(response.status < 300, "{response:?}");
    }
}

/// Sends an operator request to the admin address of a router.
pub fn send_as_operator(admin: SocketAddr, method: Method, path: &str, body: &Value) -> Response {
    let request = OutgoingRequest::new(method, path)
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .body(body.to_string());
    send(admin, request)
}

/// Runs a subcommand of the binary, checks that it succeeds, and returns its output.
pub fn run_command(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_berylwheel"))
        .args(args)
        .output()
        .expect("the binary starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    assert!(output.status.success(), "{args:?}: {}", text(&output.stderr));
    text(&output.stdout)
}

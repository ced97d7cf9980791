//! A fleet of real processes on loopback.

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

/// Time after which a condition that a test waits for has failed.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const WAIT_STEP: Duration = Duration::from_millis(20);

pub const CALLER_KEY: &str = "caller-key";
pub const OPERATOR_KEY: &str = "operator-key";

/// A child process that is killed when the test ends.
pub struct Process {
    child: Child,
    pub ready: Value,
}

impl Process {
    /// Starts the binary and waits for the line that tells its addresses.
    pub fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_berylwheel"))
            .args(args)
            .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or_else(|_| "error".to_owned()))
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("the process prints its addresses");
        let ready = serde_json::from_str(&line).unwrap_or_else(|_| panic!("not ready: {line:?}"));
        Self { child, ready }
    }

    pub fn address(&self, name: &str) -> SocketAddr {
        self.ready[name].as_str().and_then(|text| text.parse().ok()).expect("an address")
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal. A process that sends it would start too late on a busy machine.
    pub fn signal(&self, name: &str) {
        let signal = match name {
            "CONT" => Signal::CONT,
            "HUP" => Signal::HUP,
            "STOP" => Signal::STOP,
            "TERM" => Signal::TERM,
            name => panic!("no signal {name}"),
        };
        kill_process(Pid::from_child(&self.child), signal).expect("the signal is sent");
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to end and returns whether it ended well.
    pub fn wait(&mut self) -> bool {
        wait_until("the process ends", || match self.child.try_wait() {
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

/// Calls `check` until it returns a value.
pub fn wait_until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    while start.elapsed() < WAIT_LIMIT {
        if let Some(value) = check() {
            return value;
        }
        thread::sleep(WAIT_STEP);
    }
    panic!("timed out: {what}");
}

/// An answer with its body.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    pub fn code(&self) -> u64 {
        self.json()["code"].as_u64().unwrap_or(0)
    }

    pub fn ran(&self) -> String {
        self.json()["ran"].as_str().unwrap_or_default().to_owned()
    }
}

/// Sends a request and returns the answer, or the client's error as text.
pub fn try_send(address: SocketAddr, mut outgoing: OutgoingRequest) -> Result<Answer, String> {
    outgoing.pooled = false;
    outgoing.head_timeout = Millis(30_000);
    let fetched = block_on(Client::default().fetch(address, &outgoing, 64 << 20, Millis(60_000)));
    let (response, bytes) = fetched.map_err(|error| error.to_string())?;
    let body = String::from_utf8_lossy(&bytes).into_owned();
    Ok(Answer { status: response.status().into(), body })
}

pub fn send(address: SocketAddr, outgoing: OutgoingRequest) -> Answer {
    try_send(address, outgoing).expect("an answer")
}

pub fn get(address: SocketAddr, path: &str) -> Answer {
    send(address, OutgoingRequest::new(Method::Get, path))
}

pub fn post(address: SocketAddr, path: &str, body: &Value) -> Answer {
    send(address, OutgoingRequest::new(Method::Post, path).body(body.to_string()))
}

/// A request of the test's caller.
pub fn call(method: Method, path: &str, key: Option<&str>, body: &str) -> OutgoingRequest {
    let mut outgoing = OutgoingRequest::new(method, path)
        .header("authorization", format!("Bearer {CALLER_KEY}"))
        .body(body);
    if let Some(key) = key {
        outgoing = outgoing.header("idempotency-key", key);
    }
    outgoing
}

/// A chat request for `tokens` tokens.
pub fn chat(tokens: u64, stream: bool, key: Option<&str>) -> OutgoingRequest {
    let body = json!({
        "model": "m1",
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": "suggest a blend" }],
    });
    call(Method::Post, "/v1/chat/completions", key, &body.to_string())
}

/// Stand-ins and routers.
pub struct Fleet {
    pub store: Process,
    pub vms: Process,
    pub engines: Vec<Process>,
    pub booking: Process,
    pub routers: Vec<Process>,
    directory: PathBuf,
}

impl Fleet {
    /// Starts a store, a VM list, engines, a booking service and routers, with one workspace `w`
    /// and `tokens` in its budget.
    pub fn start(name: &str, routers: usize, engine_args: &[&str], tokens: u64) -> Self {
        Self::start_with(name, routers, engine_args, tokens, "", ["chat", "m1"])
    }

    /// As [`Fleet::start`], with more sections of settings and other kinds and models at the
    /// engines.
    pub fn start_with(
        name: &str,
        routers: usize,
        engine_args: &[&str],
        tokens: u64,
        sections: &str,
        [kinds, models]: [&str; 2],
    ) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory).expect("a directory for the test");
        let engines: Vec<Process> = (0..2)
            .map(|_| {
                Process::start(&[&["standin", "engine", "--model", models], engine_args].concat())
            })
            .collect();
        let mut fleet = Self {
            store: Process::start(&["standin", "store"]),
            vms: Process::start(&["standin", "vms"]),
            engines,
            booking: Process::start(&["standin", "booking"]),
            routers: Vec::new(),
            directory,
        };
        let names: Vec<String> = (0..routers).map(|i| format!("r{i}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let out = fleet.directory.display().to_string();
        run_ok(&[&["certificates", "--out", &out][..], &names].concat());
        fleet.configure(sections, kinds, models);
        for i in 0..routers {
            fleet.start_router(i);
        }
        fleet.fund(tokens);
        fleet
    }

    fn configure(&self, sections: &str, kinds: &str, models: &str) {
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
        let address = self.booking.address("listen");
        text += &format!(
            "[server b0]\naddress = {address}\nkinds = booking, stock\nconcurrency = 100\n\
             domain = d0\n"
        );
        text += sections;
        fs::write(&file, text).expect("the settings are written");
        let store = self.store.address("listen").to_string();
        run_ok(&["config", "init", "--store", &store, &file.display().to_string()]);
    }

    /// Starts router `i`, again with the same peer address if it ran before.
    pub fn start_router(&mut self, i: usize) {
        self.spawn_router(i, "");
        self.wait_ready(i);
    }

    /// As `start_router`, with more lines in the router's section, and without waiting until it
    /// takes requests.
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

    /// Waits until router `i` takes requests.
    pub fn wait_ready(&self, i: usize) {
        wait_until("the router is ready", || {
            let answer = try_send(self.router(i), OutgoingRequest::new(Method::Get, "/readyz"));
            answer.ok().filter(|answer| answer.status == 200)
        });
    }

    fn fund(&self, tokens: u64) {
        assert_eq!(self.budget_op(&json!({ "op": "create" })).status, 200);
        let credit = json!({ "op": "credit", "id": "first", "tokens": tokens });
        assert_eq!(self.budget_op(&credit).status, 200);
    }

    /// Sends an operator's change of the budget `w/main` to the first router that runs.
    pub fn budget_op(&self, body: &Value) -> Answer {
        self.operator(Method::Post, "/admin/budgets/w/main", &body.to_string())
    }

    /// The account of the budget `w/main`.
    pub fn account(&self) -> Value {
        self.operator(Method::Get, "/admin/budgets/w/main", "").json()["account"].clone()
    }

    /// Sends an operator's request to the first router that answers.
    pub fn operator(&self, method: Method, path: &str, body: &str) -> Answer {
        let outgoing = || {
            OutgoingRequest::new(method, path)
                .header("authorization", format!("Bearer {OPERATOR_KEY}"))
                .body(body)
        };
        let answers = self.routers.iter().map(|r| try_send(r.address("admin"), outgoing()));
        answers.flatten().next().expect("a router answers")
    }

    /// Sends an operator's request to router `i`.
    pub fn operator_at(&self, i: usize, method: Method, path: &str, body: &Value) -> Answer {
        operator_call(self.admin(i), method, path, body)
    }

    /// The directory with the settings and certificates of the routers.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    pub fn router(&self, i: usize) -> SocketAddr {
        self.routers[i].address("listen")
    }

    pub fn admin(&self, i: usize) -> SocketAddr {
        self.routers[i].address("admin")
    }

    /// Tells a stand-in to fail.
    pub fn fault(&self, standin: &Process, faults: &Value) {
        let answer = post(standin.address("listen"), "/faults", faults);
        assert!(answer.status < 300, "{answer:?}");
    }

    /// Runs that the booking service counted for `key`.
    pub fn runs(&self, key: &str) -> u64 {
        get(self.booking.address("listen"), "/runs").json()[key].as_u64().unwrap_or(0)
    }

    /// Replaces the platform's list of VMs.
    pub fn list_vms(&self, vms: &[(&str, &str)]) {
        let list: Vec<Value> = vms
            .iter()
            .map(|(name, state)| {
                json!({ "name": name, "address": "", "domain": "d0", "state": state })
            })
            .collect();
        let answer = post(self.vms.address("listen"), "/v1/instances", &json!(list));
        assert!(answer.status < 300, "{answer:?}");
    }
}

/// Sends an operator's request to the admin address of a router.
pub fn operator_call(admin: SocketAddr, method: Method, path: &str, body: &Value) -> Answer {
    let outgoing = OutgoingRequest::new(method, path)
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .body(body.to_string());
    send(admin, outgoing)
}

/// Runs a command of the binary to its end.
pub fn run_ok(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_berylwheel")).args(args).output().expect("runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    assert!(output.status.success(), "{args:?}: {}", text(&output.stderr));
    text(&output.stdout)
}

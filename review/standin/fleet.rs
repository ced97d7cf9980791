//! Starts the routers as the deploy file has it, the servers and the store, and plays the platform.

use std::collections::BTreeSet;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::site::Sent;
use crate::site::ServerLine;
use crate::store::Store;

/// Time until the platform starts a server again whose process has ended.
pub const SERVER_RESTART: Duration = Duration::from_secs(2);

/// Returns the loopback address of this play. Another play that runs at the same time has another one,
/// and connections to it come from 127.0.0.1, so that a free port stays free.
fn own_ip() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 77, high, low.max(1))
}

/// Returns an address on the loopback interface that is free now and was not returned before.
pub fn free_address() -> io::Result<SocketAddr> {
    static TAKEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let mut taken = TAKEN.lock().unwrap();
    loop {
        let address = TcpListener::bind((own_ip(), 0))?.local_addr()?;
        if taken.insert(address.port()) {
            return Ok(address);
        }
    }
}

/// One line of the settings template and the fields that it may name.
pub struct Fields<'a>(pub &'a [(&'a str, String)]);

impl Fields<'_> {
    fn value(&self, name: &str) -> &str {
        self.0.iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value)
    }

    /// Fills the template: `{{a}}` gives a value, `{{#a}} .. {{/a}}` stays if there is one.
    pub fn render(&self, template: &str) -> String {
        let (mut out, mut rest) = (String::new(), template);
        while let Some((before, after)) = rest.split_once("{{") {
            out.push_str(before);
            let (name, tail) = after.split_once("}}").unwrap_or((after, ""));
            rest = tail;
            if let Some(section) = name.strip_prefix('#') {
                let end = format!("{{{{/{section}}}}}");
                let (inner, tail) = tail.split_once(&end).unwrap_or((tail, ""));
                rest = tail;
                if !self.value(section).is_empty() {
                    out.push_str(&self.render(inner));
                }
            } else {
                out.push_str(self.value(name));
            }
        }
        out.push_str(rest);
        out
    }
}

/// A value of the deploy file, `key = "value"`.
fn deploy_value(text: &str, key: &str) -> String {
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='));
    line.unwrap_or_default().trim().trim_matches('"').to_owned()
}

pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub process: Child,
}

impl Router {
    pub fn is_ready(&self) -> bool {
        let request = b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = http::call(self.ready, request, Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.process = start_router(&self.settings, &self.log)?;
        Ok(())
    }

    /// Kills the process, as the platform or a fault does, and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }
}

fn start_router(settings: &Path, log: &Path) -> io::Result<Child> {
    let deploy = fs::read_to_string("deploy/system.toml")?;
    let run = deploy_value(&deploy, "run");
    let mut words = run.split(' ');
    let mut command = Command::new(words.next().unwrap_or_default());
    let log = File::options().create(true).append(true).open(log)?;
    command.args(words).env_clear().env("BERYLWHEEL_SETTINGS", settings);
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(name) {
            command.env(name, value);
        }
    }
    command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log).spawn()
}

pub struct Fleet {
    pub store: Store,
    pub routers: Vec<Router>,
    pub folder: PathBuf,
    pub servers: Arc<Mutex<Vec<Server>>>,
    stopped: Arc<AtomicBool>,
}

/// A server process with its command, which starts it again.
pub struct Server {
    args: Vec<String>,
    process: Child,
    ended: Option<Instant>,
}

impl Fleet {
    /// Starts the store and a router in each zone. `configuration` is in the store before they start.
    pub fn start(zones: &[&str], configuration: &str) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start()?;
        store.put("op/config", configuration);
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let template = fs::read_to_string(deploy_value(&deploy, "template"))?;
        let mut routers = Vec::new();
        for zone in zones {
            let name = format!("front-{zone}-1");
            let [front, ready, peer, admin] =
                [free_address()?, free_address()?, free_address()?, free_address()?];
            let fields = [
                ("node", name.clone()),
                ("zone", zone.to_string()),
                ("region", "gujarat-west".to_owned()),
                ("listen_addresses.front", front.to_string()),
                ("listen_addresses.ready", ready.to_string()),
                ("ip_address", own_ip().to_string()),
                ("internal_ports.0", peer.port().to_string()),
                ("internal_ports.1", admin.port().to_string()),
                ("platform.address", store.address.to_string()),
                ("limits.link_mbps", "1000".to_owned()),
                ("initial_start", "true".to_owned()),
                ("bounds.grace_s", "8".to_owned()),
                ("bounds.retry_budget_ratio", "0.2".to_owned()),
                ("bounds.budget_extra_retries", "58".to_owned()),
            ];
            let settings = folder.join(format!("{name}.ini"));
            fs::write(&settings, Fields(&fields).render(&template))?;
            let log = folder.join(format!("{name}.log"));
            let process = start_router(&settings, &log)?;
            routers.push(Router { name, front, ready, settings, log, process });
        }
        let (servers, stopped) = (Arc::default(), Arc::default());
        let fleet = Fleet { store, routers, folder, servers, stopped };
        fleet.restart_servers();
        Ok(fleet)
    }

    /// Returns the file that the servers write to.
    pub fn server_record(&self) -> PathBuf {
        self.folder.join("servers.txt")
    }

    /// Starts a server process of this program.
    pub fn start_server(&self, args: Vec<String>) -> io::Result<()> {
        let process = start_server(&args)?;
        let server = Server { args, process, ended: None };
        self.servers.lock().unwrap().push(server);
        Ok(())
    }

    /// Starts servers again a while after their process has ended.
    fn restart_servers(&self) {
        let (servers, stopped) = (self.servers.clone(), self.stopped.clone());
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
                let mut servers = servers.lock().unwrap();
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                for server in servers.iter_mut() {
                    if server.ended.is_none() && matches!(server.process.try_wait(), Ok(Some(_))) {
                        server.ended = Some(Instant::now());
                    }
                    if server.ended.is_some_and(|at| at.elapsed() >= SERVER_RESTART)
                        && let Ok(process) = start_server(&server.args)
                    {
                        (server.process, server.ended) = (process, None);
                    }
                }
            }
        });
    }

    /// Waits until every router says that it is ready and all servers are registered.
    pub fn wait_ready(&mut self, servers: usize) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if !self.routers.iter_mut().all(Router::is_running) {
                return false;
            }
            let listed = self.store.keys("servers/").len();
            if listed >= servers && self.routers.iter().all(Router::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

/// Ends all processes that were started, and removes the folder with their files.
impl Drop for Fleet {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for router in &mut self.routers {
            router.kill();
        }
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        for server in servers.iter_mut() {
            let _ = server.process.kill();
            let _ = server.process.wait();
        }
        match std::env::var_os("KEEP") {
            Some(_) => println!("files kept in {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

fn start_server(args: &[String]) -> io::Result<Child> {
    let program = std::env::current_exe()?;
    let mut command = Command::new(program);
    command.args(args).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).spawn()
}

/// Writes lines to a record with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started: u64,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { file, started: crate::now_ms() })
    }

    /// Writes a line for an event at `at`, in milliseconds since the Unix epoch.
    pub fn line(&self, at: u64, text: &str) {
        let ms = at.saturating_sub(self.started);
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>6} ms  {text}");
    }

    /// Writes what clients and servers have recorded, in the order of time.
    pub fn events(&self, sent: &[Sent], servers: &[ServerLine]) {
        let mut lines: Vec<(u64, String)> = sent.iter().map(|one| (one.at, one.line())).collect();
        for ServerLine { at, server, event, id } in servers {
            lines.push((*at, format!("server {server}: {event} {id}")));
        }
        lines.sort();
        for (at, text) in &lines {
            self.line(*at, text);
        }
    }

    /// Writes a line without a time, also to standard output.
    pub fn result(&self, text: &str) {
        println!("{text}");
        let _ = writeln!(self.file.lock().unwrap(), "{text}");
    }
}

//! The routers: processes of the program that the deploy file starts, with settings that are
//! rendered from its template.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_head;
use crate::wire::parse_lines;

pub const ZONES: [&str; 3] = ["ahmedabad-a", "surat-b", "vadodara-c"];
const PROGRAM: &str = "target/release/berylwheel";
const TEMPLATE: &str = "deploy/router.ini";

/// The ports of a router, the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    front: u16,
    ready: u16,
    internal: [u16; 2],
}

pub struct Router {
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    ports: Ports,
    child: Option<Child>,
}

pub struct Fleet {
    pub routers: Vec<Router>,
    folder: PathBuf,
}

/// Returns the loopback address of machine `number` of group `group`.
pub fn machine_ip(group: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, group, number as u8 + 1)
}

pub fn listen(ip: Ipv4Addr) -> TcpListener {
    TcpListener::bind((ip, 0)).expect("a free port")
}

/// Finds ports that are free on all machines of the routers.
fn free_ports(count: usize) -> Ports {
    let is_free = |port: u16| {
        (0..count)
            .map(|number| machine_ip(1, number))
            .all(|ip| TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok())
    };
    let mut found = Vec::new();
    while found.len() < 4 {
        let port = listen(machine_ip(1, 0)).local_addr().unwrap().port();
        if !found.contains(&port) && is_free(port) {
            found.push(port);
        }
    }
    Ports { front: found[0], ready: found[1], internal: [found[2], found[3]] }
}

fn render(template: &str, fields: &BTreeMap<&str, String>) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").unwrap();
        let name = text[start + 3..name_end].to_owned();
        let closing = format!("{{{{/{name}}}}}");
        let end = text.find(&closing).unwrap();
        let body = match fields.contains_key(name.as_str()) {
            true => text[name_end + 2..end].to_owned(),
            false => String::new(),
        };
        text.replace_range(start..end + closing.len(), &body);
    }
    while let Some(start) = text.find("{{") {
        let end = start + text[start..].find("}}").unwrap();
        let value = fields.get(&text[start + 2..end]).cloned().unwrap_or_default();
        text.replace_range(start..end + 2, &value);
    }
    text
}

impl Fleet {
    /// Starts `count` routers for the store at `store`.
    pub fn start(count: usize, store: SocketAddr) -> io::Result<Fleet> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let ports = free_ports(count);
        let mut fleet = Fleet { routers: Vec::new(), folder: folder.clone() };
        for number in 0..count {
            let router = Router {
                ip: machine_ip(1, number),
                settings: folder.join(format!("settings-{number}.ini")),
                log: folder.join(format!("router-{number}.log")),
                ports,
                child: None,
            };
            fleet.routers.push(router);
            fleet.write_settings(number, store, true)?;
        }
        for router in &mut fleet.routers {
            router.spawn()?;
        }
        Ok(fleet)
    }

    /// Renders the settings of a router as the platform does, with the figures of a small deployment.
    pub fn write_settings(&self, number: usize, store: SocketAddr, first: bool) -> io::Result<()> {
        let router = &self.routers[number];
        let (ip, ports) = (router.ip, router.ports);
        let own: BTreeMap<&str, String> = BTreeMap::from([
            ("node", format!("front-{}-{}", ZONES[number % 3], number / 3 + 1)),
            ("zone", ZONES[number % 3].to_owned()),
            ("ip_address", ip.to_string()),
            ("listen_addresses.front", format!("{ip}:{}", ports.front)),
            ("listen_addresses.ready", format!("{ip}:{}", ports.ready)),
            ("internal_ports.0", ports.internal[0].to_string()),
            ("internal_ports.1", ports.internal[1].to_string()),
            ("platform.address", store.to_string()),
            ("initial_start", first.to_string()),
        ]);
        let shared = parse_lines(include_str!("sheet.txt"));
        let shared = shared.into_iter().map(|(name, value)| (name, value.to_owned()));
        let fields: BTreeMap<&str, String> = own.into_iter().chain(shared).collect();
        fs::write(&router.settings, render(&fs::read_to_string(TEMPLATE)?, &fields))
    }

    /// Waits until all routers say that they are ready; returns whether they do within `limit`.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.routers.iter().all(Router::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for router in &mut self.routers {
            router.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Router {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.ports.front)
    }

    pub fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command.arg("serve").env_clear().env("BERYLWHEEL_SETTINGS", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the process's own memory in bytes, without the pages of its files.
    pub fn memory(&self) -> Option<u64> {
        let child = self.child.as_ref()?;
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok().map(|kb| kb * 1_024)
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(IpAddr::V4(self.ip), self.ports.ready);
        let ask = || -> io::Result<bool> {
            let stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            (&stream)
                .write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            let head = read_head(&mut BufReader::new(&stream))?;
            Ok(head.is_some_and(|(first, _)| first.contains(" 200")))
        };
        ask().unwrap_or(false)
    }
}

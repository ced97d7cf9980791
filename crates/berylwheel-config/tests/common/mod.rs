//! A simulated fleet with an in-memory store and a network that loses, delays and duplicates
//! messages.
//!
//! The benchmark `control` uses this module too.
#![allow(dead_code, unused_imports, reason = "each test file uses only a part")]

mod net;
mod operator;
mod store;

use std::net::SocketAddr;

use berylwheel_config::ConfigAction;
use berylwheel_config::ConfigState;
use berylwheel_config::ListedState;
use berylwheel_config::MemberPolicy;
use berylwheel_config::Members;
use berylwheel_config::Root;
use berylwheel_config::SyncPolicy;
use berylwheel_settings::Settings;
use berylwheel_types::FailureDomain;
use berylwheel_types::FastMap;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;

pub use net::Event;
pub use net::Faults;
pub use net::Message;
pub use net::Net;
pub use net::Sender;
pub use operator::Operator;
pub use store::FakeStore;

/// Interval at which all routers are polled.
const TICK: Millis = Millis(50);

/// A running router process.
pub struct Process {
    pub config: ConfigState,
    pub members: Members,
    /// The highest version that each serving peer reported, according to the delivered messages.
    peer_versions: FastMap<RouterId, Version>,
    /// The highest version read from the store.
    stored_version: Option<Version>,
    was_serving: bool,
}

pub struct Node {
    pub id: RouterId,
    pub domain: FailureDomain,
    pub process: Option<Process>,
    pub run_number: u64,
    /// The end of a pause of the process. Messages that arrive during the pause are lost.
    pub paused_until: Timestamp,
    /// When the process started (`true`) and stopped (`false`).
    pub transitions: Vec<(Timestamp, bool)>,
    /// The highest version that the current process has applied.
    highest_applied: Option<Version>,
}

pub struct Fleet {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    pub store: FakeStore,
    pub net: Net,
    pub operators: Vec<Operator>,
    /// Violated invariants.
    pub violations: Vec<String>,
    pub policy: SyncPolicy,
    /// The time of the next poll of all routers.
    next_tick: Timestamp,
    /// Clock for timing the code under test, in nanoseconds; tests leave it at zero.
    pub timer: fn() -> u64,
    /// Time spent in the code under test, in nanoseconds.
    pub busy_time: u64,
}

impl Fleet {
    /// Returns a fleet of `count` running routers in three failure domains, with an empty store.
    pub fn new(count: usize, seed: u64) -> Self {
        let nodes = (0..count).map(|i| Node {
            id: format!("r{i}").parse().unwrap(),
            domain: format!("d{}", i % 3).parse().unwrap(),
            process: None,
            run_number: 0,
            paused_until: Timestamp::from_millis(0),
            transitions: Vec::new(),
            highest_applied: None,
        });
        let mut fleet = Self {
            now: Timestamp::from_millis(1_000_000),
            nodes: nodes.collect(),
            store: FakeStore::default(),
            net: Net::new(seed),
            operators: Vec::new(),
            violations: Vec::new(),
            policy: SyncPolicy::default(),
            next_tick: Timestamp::from_millis(0),
            timer: || 0,
            busy_time: 0,
        };
        (0..count).for_each(|i| fleet.start(i));
        fleet
    }

    pub fn start(&mut self, index: usize) {
        let all = self.nodes.iter().map(|n| (n.id.clone(), n.domain.clone())).collect::<Vec<_>>();
        let node = &mut self.nodes[index];
        if node.process.is_some() {
            return;
        }
        node.run_number += 1;
        node.transitions.push((self.now, true));
        node.highest_applied = None;
        let run = Incarnation { router: node.id.clone(), number: node.run_number };
        let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16));
        let mut config = ConfigState::new(node.id.clone(), node.domain.clone(), self.policy);
        let mut members = Members::new(run, address, MemberPolicy::default());
        members.set_peers(all.iter().map(|(id, _)| id.clone()));
        config.set_peers(all);
        node.process = Some(Process {
            config,
            members,
            peer_versions: FastMap::default(),
            stored_version: None,
            was_serving: false,
        });
    }

    pub fn kill(&mut self, index: usize) {
        if self.nodes[index].process.take().is_some() {
            self.nodes[index].transitions.push((self.now, false));
        }
    }

    /// Returns the VM list as it was `lag` ago.
    pub fn vm_list(&self, lag: Millis) -> Vec<(RouterId, ListedState)> {
        let state = |node: &Node| {
            let seen = node.transitions.iter().rev().find(|(at, _)| *at + lag <= self.now);
            Some(if seen?.1 { ListedState::Live } else { ListedState::Gone })
        };
        self.nodes.iter().filter_map(|node| Some((node.id.clone(), state(node)?))).collect()
    }

    fn is_paused(&self, index: usize) -> bool {
        self.now < self.nodes[index].paused_until
    }

    /// Runs the simulation for `span`.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        loop {
            let due = self.net.next_due().filter(|at| *at <= self.next_tick);
            self.now = due.unwrap_or(self.next_tick).min(end).max(self.now);
            if self.now >= end {
                return;
            }
            if let Some(event) = self.net.pop(self.now) {
                self.handle(event);
            }
            if self.now >= self.next_tick {
                self.next_tick = self.now + TICK;
                (0..self.nodes.len()).for_each(|i| self.poll(i));
            }
        }
    }

    fn measure<T>(&mut self, work: impl FnOnce(&mut Self) -> T) -> T {
        let start = (self.timer)();
        let result = work(self);
        self.busy_time += (self.timer)() - start;
        result
    }

    pub fn poll(&mut self, index: usize) {
        if self.is_paused(index) {
            return;
        }
        let now = self.now;
        let (actions, heartbeats) = self.measure(|fleet| match &mut fleet.nodes[index].process {
            Some(process) => {
                process.members.set_version(process.config.advertised_version());
                (process.config.poll(now), process.members.poll(now))
            }
            None => (Vec::new(), Vec::new()),
        });
        for action in actions {
            match action {
                ConfigAction::ReadRoot => {
                    self.net.send_store(now, Event::ReadRoot(self.request_source(index)))
                }
                ConfigAction::ReadParts(parts) => {
                    self.net.send_store(now, Event::ReadParts(self.request_source(index), parts));
                }
                ConfigAction::Push { to, version } => {
                    self.send(index, &to, Message::Version(version));
                }
                ConfigAction::Pull { from, parts } => {
                    self.send(index, &from, Message::Pull(parts));
                }
                ConfigAction::Apply(version, settings) => {
                    self.check_applied(index, version, &settings)
                }
                ConfigAction::Unreadable(version, errors) => {
                    self.violations.push(format!("version {version} cannot be parsed: {errors}"));
                }
            }
        }
        for (to, heartbeat) in heartbeats {
            self.send(index, &to, Message::Heartbeat(heartbeat));
        }
        self.check_serving(index);
    }

    /// Returns the node and its run number. A store response is dropped if that run has ended.
    fn request_source(&self, index: usize) -> (usize, u64) {
        (index, self.nodes[index].run_number)
    }

    fn index(&self, id: &RouterId) -> usize {
        self.nodes.iter().position(|node| node.id == *id).unwrap()
    }

    fn send(&mut self, from: usize, to: &RouterId, message: Message) {
        let to = self.index(to);
        let serves =
            self.nodes[from].process.as_ref().is_some_and(|process| process.config.may_serve());
        self.net.send(self.now, (from, serves), to, message);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Peer(from, to, message) => self.receive(from, to, message),
            Event::ReadRoot(source) if self.store.up => {
                self.store.reads += 1;
                self.net.send_store(now, Event::Root(source, self.store.root.clone()));
            }
            Event::ReadParts(source, parts) if self.store.up => {
                self.store.reads += 1;
                if let Some((root, parts)) = self.store.parts(&parts) {
                    self.net.send_store(now, Event::Parts(source, root, parts));
                }
            }
            Event::ReadRoot(source) | Event::ReadParts(source, _) => {
                self.net.send_store(now, Event::Failed(source));
            }
            Event::Root(source, root) => self.deliver_response(source, |process| {
                process.stored_version =
                    process.stored_version.max(root.as_ref().map(|root| root.version));
                process.config.handle_root(now, root);
            }),
            Event::Parts(source, root, parts) => {
                self.deliver_response(source, |process| {
                    process.config.handle_parts(now, root, parts)
                });
            }
            Event::Failed(source) => {
                self.deliver_response(source, |process| process.config.handle_read_failure(now))
            }
            Event::Write(operator) => self.write(operator),
            Event::Written(operator, committed) => self.written(operator, committed),
            Event::Resolve(operator) => self.resolve(operator),
        }
    }

    fn deliver_response(
        &mut self,
        (index, run_number): (usize, u64),
        handle: impl FnOnce(&mut Process),
    ) {
        let node = &self.nodes[index];
        if node.run_number == run_number && node.process.is_some() && !self.is_paused(index) {
            self.measure(|fleet| fleet.nodes[index].process.as_mut().map(handle));
            self.poll(index);
        }
    }

    fn receive(&mut self, (from, serves): Sender, to: usize, message: Message) {
        let (now, sender) = (self.now, (self.nodes[from].id.clone(), serves));
        if self.nodes[to].process.is_none() || self.is_paused(to) {
            return;
        }
        let reply = self.measure(|fleet| {
            let process = fleet.nodes[to].process.as_mut()?;
            match message {
                Message::Version(version) => {
                    process.record_version(now, &sender, version);
                    None
                }
                Message::Heartbeat(heartbeat) => {
                    process.members.handle_heartbeat(now, &heartbeat);
                    process.record_version(now, &sender, heartbeat.own.version);
                    None
                }
                Message::Pull(parts) => process.config.pull_response(&parts),
                Message::Parts(root, parts) => {
                    process.config.handle_parts(now, root, parts);
                    None
                }
            }
        });
        if let Some((root, parts)) = reply {
            self.send(to, &sender.0, Message::Parts(root, parts));
        }
        self.poll(to);
    }

    fn check_applied(&mut self, index: usize, version: Version, settings: &Settings) {
        let node = &mut self.nodes[index];
        if node.highest_applied >= Some(version) {
            let text =
                format!("{} applied version {version} after {:?}", node.id, node.highest_applied);
            self.violations.push(text);
        }
        node.highest_applied = Some(version);
        match self.store.log.get(version.0 as usize - 1) {
            Some((_, text)) if *text == settings.to_ini() => {}
            _ => self.violations.push(format!(
                "{} applied a version {version} that differs from the store",
                node.id
            )),
        }
    }

    /// Checks that a router starts to serve only once its version is confirmed.
    fn check_serving(&mut self, index: usize) {
        let domains: FastMap<&RouterId, &FailureDomain> =
            self.nodes.iter().map(|node| (&node.id, &node.domain)).collect();
        let peers = self.nodes.len() - 1;
        let Some(process) = &self.nodes[index].process else {
            return;
        };
        if process.config.may_serve() && !process.was_serving {
            let version = process.config.version();
            let domains_heard: FastSet<_> =
                process.peer_versions.keys().map(|id| domains[id]).collect();
            let enough =
                domains_heard.len() >= 2 || process.peer_versions.len() == peers && peers > 0;
            let newest = process.peer_versions.values().copied().max();
            let stored = process.stored_version.is_some() && version >= process.stored_version;
            if version.is_none() || !(stored || enough && version >= newest) {
                self.violations
                    .push(format!("r{index} serves version {version:?} without confirmation"));
            }
        }
        let serving = process.config.may_serve();
        if let Some(process) = &mut self.nodes[index].process {
            process.was_serving = serving;
        }
    }

    /// Returns whether all running routers serve the version in the store.
    pub fn converged(&self) -> bool {
        let wanted = self.store.root.as_ref().map(|root: &Root| root.version);
        let mut processes = self.nodes.iter().filter_map(|node| node.process.as_ref());
        processes.all(|process| process.config.version() == wanted && process.config.may_serve())
    }
}

impl Process {
    fn record_version(
        &mut self,
        now: Timestamp,
        (from, serves): &(RouterId, bool),
        version: Version,
    ) {
        // A router that may not serve cannot confirm the version of another one.
        if *serves {
            let answer = self.peer_versions.entry(from.clone()).or_default();
            *answer = (*answer).max(version);
        }
        self.config.handle_peer_version(now, from, version);
    }
}

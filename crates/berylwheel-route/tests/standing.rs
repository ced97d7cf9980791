//! Servers that leave or ask for a pause, under random histories of responses, lists and notices.

mod support;

use std::collections::VecDeque;

use berylwheel_route::LeavingSource;
use berylwheel_route::ListedServer;
use berylwheel_route::LoadBalancer;
use berylwheel_route::Outcome;
use berylwheel_route::PauseNote;
use berylwheel_route::PauseRequest;
use berylwheel_route::RoutePolicy;
use berylwheel_route::ServerList;
use berylwheel_route::ServerListEvent;
use berylwheel_route::ServerSignal;
use berylwheel_route::ServerStatus;
use berylwheel_route::WaitDecision;
use berylwheel_route::decide_wait;
use berylwheel_types::BackendId;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use proptest::prelude::*;
use support::at;
use support::balancer_with_engines;
use support::id;
use support::picked_names;
use support::proptest_config;
use support::query;
use support::service;
use support::service_query;

const SERVERS: usize = 4;
const HOUR: Millis = Millis(3_600_000);

fn signal(sent_at: Timestamp, leaving: bool, pause: PauseRequest) -> ServerSignal {
    ServerSignal { address: "127.0.0.1:9000".parse().unwrap(), sent_at, leaving, pause, cold: None }
}

fn wait(ms: u64) -> PauseRequest {
    PauseRequest::Wait(Millis(ms))
}

/// Guards against a pause without end or without effect, one that ejects its server or takes its
/// share for good, and a series of notes that fills the log.
#[test]
fn a_pause_is_bounded_and_leaves_no_trace() {
    let limit = RoutePolicy::default().pause_limit.0;
    let table = [
        (wait(2_500), 2_500, None),
        (wait(HOUR.0), limit, Some(PauseNote::Shortened(Millis(limit)))),
        (wait(u64::MAX), limit, Some(PauseNote::Shortened(Millis(limit)))),
        (PauseRequest::Ambiguous(Millis(700)), 700, Some(PauseNote::Longest(Millis(700)))),
        (PauseRequest::Invalid, 0, Some(PauseNote::Ignored)),
    ];
    for (pause, length, note) in table {
        let mut balancer = balancer_with_engines(2, 100);
        let effect = balancer.apply_signal(at(0), &id("e0"), signal(at(0), false, pause));
        assert_eq!(effect.note, note, "{pause:?}");
        let again = balancer.apply_signal(at(0), &id("e0"), signal(at(0), false, pause));
        assert_eq!(again.note, None, "{pause:?}: noted twice");
        let names = |balancer: &mut _, ms| picked_names(balancer, at(ms), &query("m1", 0), 200);
        if length > 0 {
            assert_eq!(names(&mut balancer, length - 1), "e1", "{pause:?}");
        }
        assert!(balancer.dump().servers[0].ejected_until.is_none(), "{pause:?}");
        let slow_start = RoutePolicy::default().slow_start.0;
        assert_eq!(names(&mut balancer, length + slow_start), "e0 e1", "{pause:?}");
    }
    let mut balancer = balancer_with_engines(2, 100);
    let mut notes = 0;
    for n in 0..100 {
        let pause = signal(at(n * 20), false, wait(10));
        notes += usize::from(balancer.apply_signal(at(n * 20), &id("e0"), pause).note.is_some());
    }
    assert_eq!(notes, 1, "a series of pauses is noted once");
}

/// Guards against a response of an ended process that counts for its successor, and against telling
/// peers of a server that leaves more than once.
#[test]
fn responses_of_an_earlier_process_change_nothing() {
    let mut balancer = balancer_with_engines(1, 100);
    let leaving = |sent_at| signal(sent_at, true, wait(5_000));
    assert!(balancer.apply_signal(at(10), &id("e0"), leaving(at(0))).left);
    assert!(!balancer.apply_signal(at(11), &id("e0"), leaving(at(0))).left);
    balancer.set_leaving(at(12), &id("e0"));
    let server = &balancer.dump().servers[0];
    assert_eq!(
        (server.leaving_source, server.leaving_since),
        (Some(LeavingSource::Server), Some(at(10)))
    );
    balancer.server_restarted(at(20), &id("e0"));
    assert!(!balancer.apply_signal(at(30), &id("e0"), leaving(at(15))).left);
    assert!(balancer.pick(at(30), &query("m1", 0)).is_some());
    assert!(balancer.apply_signal(at(40), &id("e0"), leaving(at(25))).left);
    assert!(balancer.pick(at(40), &query("m1", 0)).is_none());
}

#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    /// A response to a request that was sent `lag` before.
    Respond {
        server: usize,
        lag: u64,
        leaving: bool,
        pause: Option<u64>,
    },
    /// The process of a server is replaced, maybe at another address.
    Restart {
        server: usize,
        moves: bool,
    },
    /// The list changes by what the server wrote last, or by what it wrote at some time before.
    Listed {
        server: usize,
        version: usize,
        status: ServerStatus,
    },
    Removed(usize),
    /// The list is read in full, as it was at some time for each server.
    ReadAll([usize; SERVERS]),
    StoreFailed,
    PeerNotice(usize),
    Place(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let server = || 0..SERVERS;
    let status = prop_oneof![4 => Just(ServerStatus::Ready), 1 => Just(ServerStatus::Draining)];
    let pause = prop::option::of(prop_oneof![0..3_000_u64, Just(HOUR.0)]);
    prop_oneof![
        3 => prop_oneof![0..200_u64, 0..4_000_u64, Just(400_000)].prop_map(Step::Advance),
        3 => (server(), 0..2_000_u64, prop::bool::weighted(0.3), pause).prop_map(
            |(server, lag, leaving, pause)| Step::Respond { server, lag, leaving, pause }),
        1 => (server(), any::<bool>()).prop_map(|(server, moves)| Step::Restart { server, moves }),
        3 => (server(), 0..3_usize, status)
            .prop_map(|(server, version, status)| Step::Listed { server, version, status }),
        1 => server().prop_map(Step::Removed),
        2 => [0..3_usize, 0..3, 0..3, 0..3].prop_map(Step::ReadAll),
        1 => Just(Step::StoreFailed),
        1 => server().prop_map(Step::PeerNotice),
        8 => (0..3_u64).prop_map(Step::Place),
    ]
}

/// A process of a server: its number, its port, and when the list first showed it.
#[derive(Debug, Clone)]
struct Process {
    born: u64,
    port: u16,
    shown_at: Option<Timestamp>,
    leaving: bool,
    paused_until: Option<Timestamp>,
}

struct History {
    now: Timestamp,
    list: ServerList,
    balancer: LoadBalancer,
    /// The processes of each server, the last of which is running.
    processes: Vec<Vec<Process>>,
}

fn name(server: usize) -> BackendId {
    id(&format!("s{server}"))
}

impl History {
    fn new() -> Self {
        let policy = RoutePolicy { slow_start: Millis(1_000), ..RoutePolicy::default() };
        let first = |server| {
            let (port, shown_at) = (9_000 + server as u16, None);
            vec![Process { born: 1, port, shown_at, leaving: false, paused_until: None }]
        };
        let mut history = Self {
            now: at(10_000),
            list: ServerList::new(Millis(2_300)),
            balancer: LoadBalancer::new("r1".parse().unwrap(), policy, support::SEED),
            processes: (0..SERVERS).map(first).collect(),
        };
        history.apply(&Step::ReadAll([0; SERVERS]));
        history
    }

    /// Returns an entry that the server wrote `age` processes ago.
    fn entry(&mut self, server: usize, age: usize, status: ServerStatus) -> ListedServer {
        let now = self.now;
        let known = &mut self.processes[server];
        let index = (known.len() - 1).saturating_sub(age);
        let process = &mut known[index];
        process.shown_at.get_or_insert(now);
        let mut listed = service(name(server).as_str(), "chat", 64);
        listed.address.set_port(process.port);
        ListedServer { server: listed, status, started_at: Some(process.born), cold_for: None }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Advance(ms) => self.now += Millis(*ms),
            Step::Respond { server, lag, leaving, pause } => {
                self.respond(*server, *lag, *leaving, *pause);
            }
            Step::Restart { server, moves } => {
                let known = &mut self.processes[*server];
                let last = known.last().unwrap().clone();
                let port = if *moves { last.port + 10 } else { last.port };
                known.push(Process {
                    born: last.born + 1,
                    port,
                    shown_at: None,
                    leaving: false,
                    paused_until: None,
                });
            }
            Step::Listed { server, version, status } => {
                let entry = self.entry(*server, *version, *status);
                self.list.apply(self.now, ServerListEvent::Changed(Box::new(entry)));
            }
            Step::Removed(server) => {
                self.list.apply(self.now, ServerListEvent::Removed(name(*server)));
            }
            Step::ReadAll(versions) => {
                let entry =
                    |(n, version): (usize, &usize)| self.entry(n, *version, ServerStatus::Ready);
                let listed = versions.iter().enumerate().map(entry).collect();
                self.balancer.clear_notices();
                self.list.apply(self.now, ServerListEvent::All(listed));
            }
            Step::StoreFailed => self.list.apply(self.now, ServerListEvent::StoreFailed),
            Step::PeerNotice(server) => self.balancer.set_leaving(self.now, &name(*server)),
            Step::Place(prefix) => self.place(*prefix),
        }
        if let Some(change) = self.list.poll(self.now) {
            self.balancer.set_servers(self.now, change.servers);
            for server in &change.restarted {
                self.balancer.server_restarted(self.now, server);
            }
        }
    }

    /// The running process responds, if the router knew of it when it sent the request.
    fn respond(&mut self, server: usize, lag: u64, leaving: bool, pause: Option<u64>) {
        let process = self.processes[server].last_mut().unwrap();
        let sent_at = Timestamp::from_millis(self.now.as_millis() - lag);
        if process.shown_at.is_none_or(|shown| sent_at < shown) {
            return;
        }
        process.leaving |= leaving;
        if let Some(ms) = pause {
            let end = self.now + Millis(ms).min(RoutePolicy::default().pause_limit);
            process.paused_until = process.paused_until.max(Some(end));
        }
        let mut signal = signal(sent_at, leaving, pause.map_or(PauseRequest::None, wait));
        signal.address.set_port(process.port);
        self.balancer.apply_signal(self.now, &name(server), signal);
    }

    /// Places a request and checks that the chosen process takes requests.
    fn place(&mut self, prefix: u64) {
        let mut query = service_query("chat");
        query.prefix = prefix;
        let Some(chosen) = self.balancer.pick(self.now, &query) else { return };
        let known =
            (0..SERVERS).find(|n| name(*n) == chosen.id).map(|n| &self.processes[n]).unwrap();
        let running = known.last().unwrap();
        // A process that was replaced without notice cannot be told from its successor.
        if running.port != chosen.address.port() || running.shown_at.is_none() {
            return;
        }
        assert!(!running.leaving, "{} is leaving", chosen.id);
        assert!(running.paused_until.is_none_or(|end| self.now >= end), "{} pauses", chosen.id);
    }
}

proptest! {
    #![proptest_config(proptest_config(2_000))]

    /// Guards against requests to a server after it said that it leaves or wants a pause, whatever
    /// lists and peers say since, and against leaving out its next process.
    #[test]
    fn servers_get_no_requests_that_they_declined(steps in prop::collection::vec(step(), 1..120)) {
        let mut history = History::new();
        for step in &steps {
            history.apply(step);
        }
        for server in 0..SERVERS {
            history.apply(&Step::Restart { server, moves: false });
        }
        history.apply(&Step::ReadAll([0; SERVERS]));
        let later = history.now + Millis(1_000);
        let picked = picked_names(&mut history.balancer, later, &service_query("chat"), 400);
        prop_assert_eq!(picked, "s0 s1 s2 s3");
    }
}

/// What a load of callers got, and what the servers that want a pause were sent.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Played {
    served: u32,
    attempts: u32,
    /// Attempts at servers that wanted none.
    rejected: u32,
    /// Callers that were refused at once.
    refused: u32,
    /// Callers that waited until their deadline.
    expired: u32,
}

/// Plays 100 callers a second and server for 4 s, each with two attempts and a deadline after 1 s.
/// The first `pausing` servers reject requests for 2 s and say so.
fn play(servers: usize, pausing: usize, honoured: bool) -> Played {
    const SERVICE_TIME: Millis = Millis(20);
    let end = at(2_000);
    let mut balancer = balancer_with_engines(servers, 16);
    let query = query("m1", 0);
    let rejecting: Vec<BackendId> = (0..pausing).map(|n| id(&format!("e{n}"))).collect();
    let mut played = Played::default();
    let mut running: Vec<(Timestamp, BackendId)> = Vec::new();
    let mut waiting: VecDeque<(Timestamp, u32)> = VecDeque::new();
    for ms in 0..4_000_u64 {
        let now = at(ms);
        for (_, server) in running.extract_if(.., |(end, _)| *end <= now) {
            balancer.request_ended(now, &server, Outcome::Ok);
        }
        let arrived = |ms: u64| ms * servers as u64 / 10;
        waiting.extend((arrived(ms)..arrived(ms + 1)).map(|_| (now + Millis(1_000), 0)));
        let count = waiting.len();
        waiting.retain(|(deadline, _)| *deadline > now);
        played.expired += (count - waiting.len()) as u32;
        while !waiting.is_empty() {
            let Some(server) = balancer.pick(now, &query) else { break };
            let Some((deadline, sent)) = waiting.pop_front() else { break };
            played.attempts += 1;
            balancer.request_started(now, &server.id);
            if now >= end || !rejecting.contains(&server.id) {
                played.served += 1;
                running.push((now + SERVICE_TIME, server.id));
                continue;
            }
            played.rejected += 1;
            balancer.request_ended(now, &server.id, Outcome::Cancelled);
            if honoured {
                let pause = PauseRequest::Wait(end.since(now));
                balancer.apply_signal(now, &server.id, signal(now, false, pause));
            }
            if sent == 0 {
                waiting.push_back((deadline, 1));
            }
        }
        let availability = balancer.availability(now, &query);
        let count = waiting.len();
        waiting.retain(|(deadline, _)| {
            decide_wait(now, *deadline, SERVICE_TIME, availability) == WaitDecision::Queue
        });
        played.refused += (count - waiting.len()) as u32;
    }
    played
}

/// Guards against sending callers in vain to servers that want a pause, and against serving fewer
/// of them.
#[test]
fn honoured_pauses_serve_more_callers_with_fewer_attempts() {
    for servers in [3_usize, 9, 60] {
        for pausing in [1, servers.div_ceil(2), servers] {
            let [before, after] = [false, true].map(|honoured| play(servers, pausing, honoured));
            println!("{servers} servers, {pausing} pausing: {before:?} -> {after:?}");
            assert!(after.rejected as usize <= pausing && after.expired == 0, "{after:?}");
            assert!(after.served >= before.served, "{before:?} {after:?}");
            assert!(after.attempts <= before.attempts, "{before:?} {after:?}");
        }
    }
}

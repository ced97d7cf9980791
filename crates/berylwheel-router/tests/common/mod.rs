//! One router in a fleet of any size; the other routers are played by the caller.
#![allow(dead_code, reason = "each user takes only a part")]

use std::net::SocketAddr;

use berylwheel_peer::Message;
use berylwheel_peer::PeerState;
use berylwheel_router::ControlDriver;
use berylwheel_settings::Settings;
use berylwheel_types::FailureDomain;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::ManualClock;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;

/// Interval of the control thread's own timer.
pub const STEP: Millis = Millis(20);

pub fn router_id(number: usize) -> RouterId {
    format!("r{number}").parse().unwrap()
}

pub fn peer_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8 + 1], 7_000))
}

fn domain(number: usize) -> FailureDomain {
    format!("d{}", number % 5).parse().unwrap()
}

fn incarnation(number: usize) -> Incarnation {
    Incarnation { router: router_id(number), number: 1 }
}

/// A fleet of which only the router 0 exists; the others are played by the test.
pub struct Fleet {
    pub router: ControlDriver,
    pub clock: ManualClock,
    size: usize,
    seconds: u64,
}

impl Fleet {
    pub fn new(size: usize) -> Self {
        let text = "[router]\nname = r0\ndomain = d0\nregion = main\nadapter = platform\n\
                    listen = 10.0.0.1:1\nadmin = 10.0.0.1:2\npeer = 10.0.0.1:7000\n\
                    store = 10.9.0.1:1\nfirst_start = yes\nholding_time = 10s\n\
                    retry_share = 0.2\nretry_extra = 630\n";
        let settings = Settings::parse("router", text).unwrap();
        let clock = ManualClock::new(Timestamp::from_millis(1_000_000));
        let router = ControlDriver::new(settings.router(), &clock).unwrap();
        let mut fleet = Self { router, clock, size, seconds: 0 };
        let routers: Vec<_> =
            (0..size).map(|i| (router_id(i), peer_address(i), domain(i))).collect();
        fleet.router.set_routers(&routers);
        let workspaces: String =
            (0..40).map(|i| format!("[workspace w{i}]\ntokens = 1000000\n")).collect();
        let text = format!("[kind chat]\nservice = engine\nmodels = m1\n{workspaces}");
        fleet.router.apply_configuration(Version(1), Settings::parse("fleet", &text).unwrap());
        fleet
    }

    fn heartbeat(&self, from: usize) -> Message {
        let others = (1..=8).map(|step| 1 + (from + step * 31) % (self.size - 1));
        let others = others.map(|number| PeerState {
            incarnation: incarnation(number),
            counter: self.seconds,
            domain: domain(number),
            address: peer_address(number),
            version: Some(Version(1)),
            draining: false,
            suspect: false,
        });
        Message::Heartbeat {
            incarnation: incarnation(from),
            counter: self.seconds + 1,
            domain: domain(from),
            address: peer_address(from),
            version: Some(Version(1)),
            draining: false,
            others: others.collect(),
            served: Vec::new(),
            clock: self.clock.now(),
            reaches: true,
        }
    }

    pub fn receive_heartbeat(&mut self, from: usize) {
        let heartbeat = self.heartbeat(from);
        self.router.receive(&router_id(from), peer_address(from), heartbeat);
    }

    /// Lets all other routers send one heartbeat.
    pub fn hear_of_all(&mut self) {
        (1..self.size).for_each(|number| self.receive_heartbeat(number));
        self.router.step();
    }

    /// Runs for some seconds in which nothing happens: the routers that this one watches send
    /// their heartbeats, and two others.
    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.seconds += 1;
            let number = |router: &RouterId| router.as_str()[1..].parse().unwrap();
            let mut senders: FastSet<usize> =
                self.router.expected_senders().iter().map(number).collect();
            senders.extend([7, 8].map(|i| 1 + i % (self.size - 1)));
            for from in senders {
                self.receive_heartbeat(from);
            }
            for _ in 0..1_000 / STEP.0 {
                self.clock.advance(STEP);
                self.router.step();
            }
        }
    }

    /// Returns the peers that were sent a message that `is_counted`, since the last call.
    pub fn recipients(&mut self, is_counted: impl Fn(&Message) -> bool) -> FastSet<RouterId> {
        let sent = self.router.take_sent().into_iter();
        sent.filter(|(_, message)| is_counted(message)).map(|(to, _)| to).collect()
    }
}

//! Exchange of measured server speeds with the linked routers.

use berylwheel_peer::Message;
use berylwheel_peer::ServerSpeed;
use berylwheel_route::SharedSpeed;
use berylwheel_route::WorkClass;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;

use crate::control::core::Control;

impl Control {
    /// Returns what this router has measured since the last call, as a message.
    pub(crate) fn take_speeds(&mut self, now: Timestamp) -> Option<Message> {
        let speeds = self.balancer.take_shared_speeds(now);
        let entry = |speed: SharedSpeed| ServerSpeed {
            server: speed.server,
            class: speed.class.index() as u8,
            permille: speed.permille,
            samples: speed.samples,
            age: speed.age,
        };
        let speeds: Vec<ServerSpeed> = speeds.into_iter().map(entry).collect();
        (!speeds.is_empty()).then_some(Message::ServerSpeeds { speeds })
    }

    /// Tells a router what this one has measured, if there is anything new.
    pub(crate) fn send_speeds(&self, to: &RouterId, speeds: Option<&Message>) {
        if let Some(message) = speeds {
            self.fleet.send(to, message.clone());
        }
    }

    /// Applies what another router has measured. Entries of unknown servers or classes are ignored.
    pub(crate) fn handle_speeds(&mut self, now: Timestamp, speeds: Vec<ServerSpeed>) {
        let entry = |speed: ServerSpeed| {
            Some(SharedSpeed {
                server: speed.server,
                class: *WorkClass::ALL.get(usize::from(speed.class))?,
                permille: speed.permille,
                samples: speed.samples,
                age: speed.age,
            })
        };
        let entries: Vec<SharedSpeed> = speeds.into_iter().filter_map(entry).collect();
        self.balancer.apply_shared_speeds(now, &entries);
    }
}

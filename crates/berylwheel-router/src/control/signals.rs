//! Servers that leave.

use berylwheel_route::ServerSignal;
use berylwheel_types::BackendId;
use berylwheel_types::Timestamp;

use crate::control::core::Control;

impl Control {
    /// Applies what a server said about itself in a response.
    pub(super) fn apply_server_signal(
        &mut self,
        now: Timestamp,
        server: &BackendId,
        signal: ServerSignal,
    ) {
        let effect = self.balancer.apply_signal(now, server, signal);
        if effect.left {
            log::info!(server = server.as_str(), source = "server"; "server leaves or is gone");
            self.notify_server_leaving(server);
        }
    }
}

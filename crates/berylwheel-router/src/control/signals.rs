//! Servers that leave, ask for a pause or are cold, and the requests that wait for them.

use berylwheel_route::Availability;
use berylwheel_route::ColdChange;
use berylwheel_route::ColdSource;
use berylwheel_route::ServerSignal;
use berylwheel_route::WaitDecision;
use berylwheel_route::decide_wait;
use berylwheel_types::BackendId;
use berylwheel_types::Code;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;

use crate::control::core::Control;
use crate::control::requests::Stage;

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
        if let Some(note) = effect.note {
            log::warn!(server = server.as_str(), pause:? = note; "unusual pause requested by server");
        }
    }

    /// Returns the refusal of a request that cannot be served before its deadline, because all
    /// servers for it have asked for a pause or are cold.
    pub(super) fn pause_refusal(&self, now: Timestamp, request: &RequestId) -> Option<Refusal> {
        let admit = &self.requests.get(request)?.admit;
        let service_time = self.scheduler.service_time(&admit.kind);
        let availability = self.balancer.availability(now, &admit.query);
        match decide_wait(now, admit.deadline, service_time, availability) {
            WaitDecision::Queue => None,
            WaitDecision::Refuse(delay) => {
                let detail = match availability {
                    Availability::Cold(_) => {
                        "the backend servers for the request are cold and take no more for now"
                    }
                    _ => "all backend servers for the request have asked for a pause",
                };
                Some(Refusal::not_run(Code::NoBackend, detail).retry_after(delay))
            }
        }
    }

    /// Applies what the server list states newly about cold servers.
    pub(super) fn apply_cold_reports(&mut self, now: Timestamp) {
        for report in self.server_list.take_cold_reports() {
            let (server, remaining) = (&report.server, report.remaining);
            self.balancer.apply_cold_report(now, server, remaining, ColdSource::Entry);
        }
    }

    /// Logs and counts the servers that became cold or stopped being cold.
    pub(super) fn report_cold(&mut self, now: Timestamp) {
        for change in self.balancer.poll_cold(now) {
            match change {
                ColdChange::Began(server, until, source) => {
                    self.effects.metrics.count_cold_server();
                    let (server, ms) = (server.as_str(), until.since(now).0);
                    log::info!(server, ms, source:? = source; "server is cold");
                }
                ColdChange::Ended(server) => {
                    log::info!(server = server.as_str(); "server is no longer cold");
                }
            }
        }
        let total = self.balancer.cold_requests();
        let sent = total - std::mem::replace(&mut self.cold_requests, total);
        if sent > 0 {
            self.effects.metrics.count_cold_requests(sent);
        }
    }

    /// Refuses queued requests that became impossible to serve when their last server paused or
    /// became cold.
    pub(super) fn refuse_paused(&mut self, now: Timestamp) {
        if !self.balancer.has_pauses(now) && !self.balancer.has_cold(now) {
            return;
        }
        let queued = self.requests.iter().filter(|(_, state)| state.stage == Stage::Queued);
        let refused: Vec<(RequestId, Refusal)> =
            queued.filter_map(|(id, _)| Some((id.clone(), self.pause_refusal(now, id)?))).collect();
        for (request, refusal) in refused {
            self.refuse(&request, refusal);
        }
    }

    /// Returns the time until a server may accept the request, if all of them have asked for a
    /// pause or are cold. Counts those that have rejected it.
    pub(super) fn pause_delay(&self, now: Timestamp, request: &RequestId) -> Option<Millis> {
        let mut query = self.requests.get(request)?.admit.query.clone();
        query.exclude.clear();
        match self.balancer.availability(now, &query) {
            Availability::Paused(end) | Availability::Cold(end) => Some(end.since(now)),
            Availability::Open | Availability::Empty => None,
        }
    }
}

//! Servers that leave or ask for a pause, and the requests that wait for them.

use berylwheel_route::Availability;
use berylwheel_route::ServerSignal;
use berylwheel_route::SpeedChange;
use berylwheel_route::WaitDecision;
use berylwheel_route::WorkSample;
use berylwheel_route::decide_wait;
use berylwheel_types::BackendId;
use berylwheel_types::Code;
use berylwheel_types::KindId;
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

    /// Records how long a server took for work of a pool.
    pub(super) fn record_work(
        &mut self,
        now: Timestamp,
        server: &BackendId,
        kind: &KindId,
        sample: WorkSample,
    ) {
        let change = self.balancer.record_work(now, server, kind, None, sample);
        let Some(SpeedChange { class, from, to }) = change else { return };
        let trend = if to > from { "slower" } else { "faster" };
        self.effects.metrics.count_speed_change(trend);
        log::info!(
            server = server.as_str(), work = class.name(), from, to;
            "server has become {trend}: time relative to the other servers of its pool"
        );
    }

    /// Returns the refusal of a request that cannot be served before its deadline, because all
    /// servers for it have asked for a pause.
    pub(super) fn pause_refusal(&self, now: Timestamp, request: &RequestId) -> Option<Refusal> {
        let admit = &self.requests.get(request)?.admit;
        let service_time = self.scheduler.service_time(&admit.kind);
        let availability = self.balancer.availability(now, &admit.query);
        match decide_wait(now, admit.deadline, service_time, availability) {
            WaitDecision::Queue => None,
            WaitDecision::Refuse(delay) => {
                let detail = "all backend servers for the request have asked for a pause";
                Some(Refusal::not_run(Code::NoBackend, detail).retry_after(delay))
            }
        }
    }

    /// Refuses queued requests that became impossible to serve when their last server paused.
    pub(super) fn refuse_paused(&mut self, now: Timestamp) {
        if !self.balancer.has_pauses(now) {
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
    /// pause. Counts those that have rejected it.
    pub(super) fn pause_delay(&self, now: Timestamp, request: &RequestId) -> Option<Millis> {
        let mut query = self.requests.get(request)?.admit.query.clone();
        query.exclude.clear();
        match self.balancer.availability(now, &query) {
            Availability::Paused(end) => Some(end.since(now)),
            Availability::Open | Availability::Empty => None,
        }
    }
}

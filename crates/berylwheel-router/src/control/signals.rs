//! Servers that leave, ask for a pause or are cold, and the requests that wait for them.

use async_channel::Sender;
use berylwheel_route::Availability;
use berylwheel_route::ColdChange;
use berylwheel_route::ColdSource;
use berylwheel_route::Outcome;
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

use crate::control::command::PlacementResult;
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
    /// servers for it have asked for a pause, are cold or are in evacuated failure domains.
    pub(super) fn pause_refusal(&self, now: Timestamp, request: &RequestId) -> Option<Refusal> {
        let state = self.requests.get(request)?;
        let admit = &state.admit;
        let service_time = self.scheduler.service_time(&admit.kind);
        let availability = self.balancer.availability(now, &admit.query);
        match decide_wait(now, admit.deadline, service_time, availability) {
            WaitDecision::Queue => None,
            WaitDecision::Refuse(delay) => {
                let (code, detail) = match availability {
                    Availability::Evacuated => (
                        Code::DomainEvacuated,
                        "all backend servers for the request are in evacuated failure domains",
                    ),
                    Availability::Cold(_) => (
                        Code::NoBackend,
                        "the backend servers for the request are cold and take no more for now",
                    ),
                    _ => (
                        Code::NoBackend,
                        "all backend servers for the request have asked for a pause",
                    ),
                };
                let refusal = match state.has_begun {
                    true => Refusal::unknown(code, detail),
                    false => Refusal::not_run(code, detail),
                };
                Some(refusal.retry_after(delay))
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

    /// Refuses queued requests that became impossible to serve when their last server paused,
    /// became cold or was evacuated.
    pub(super) fn refuse_paused(&mut self, now: Timestamp) {
        let is_restricted = self.balancer.has_pauses(now)
            || self.balancer.has_cold(now)
            || self.balancer.has_evacuations();
        if !is_restricted {
            return;
        }
        // A pause may end before a request has its tokens. The end of an evacuation is not known.
        let applies = |stage: Stage, refusal: &Refusal| match stage {
            Stage::Queued => true,
            Stage::Claiming(_) | Stage::Reserving => refusal.code == Code::DomainEvacuated,
            Stage::Running => false,
        };
        let waiting = self.requests.iter().filter(|(_, state)| state.stage != Stage::Running);
        let refusals = waiting.filter_map(|(id, state)| {
            let refusal = self.pause_refusal(now, id)?;
            applies(state.stage, &refusal).then(|| (id.clone(), refusal))
        });
        let refused: Vec<(RequestId, Refusal)> = refusals.collect();
        for (request, refusal) in refused {
            self.refuse(&request, refusal);
        }
    }

    /// Queues a request again that was preempted.
    pub(super) fn requeue(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        reply: Sender<PlacementResult>,
    ) {
        let Some(state) = self.requests.get_mut(request) else { return };
        if let Some(server) = state.server.take() {
            self.balancer.request_ended(now, &server, Outcome::Cancelled);
        }
        state.stage = Stage::Queued;
        state.reply = Some(reply);
        state.preempt = None;
        state.has_begun = true;
        self.scheduler.requeue(now, request);
    }

    /// Returns the time until a server may accept the request, if all of them have asked for a
    /// pause or are cold. Counts those that have rejected it.
    pub(super) fn pause_delay(&self, now: Timestamp, request: &RequestId) -> Option<Millis> {
        let mut query = self.requests.get(request)?.admit.query.clone();
        query.exclude.clear();
        match self.balancer.availability(now, &query) {
            Availability::Paused(end) | Availability::Cold(end) => Some(end.since(now)),
            Availability::Open | Availability::Empty | Availability::Evacuated => None,
        }
    }
}

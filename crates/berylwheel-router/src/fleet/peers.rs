//! Messages between routers: heartbeats, versions, recalls and claims.

use berylwheel_config::Heartbeat;
use berylwheel_config::MemberEntry;
use berylwheel_peer::InboundMessage;
use berylwheel_peer::Message;
use berylwheel_schedule::ServedTokens;
use berylwheel_settings::Adapter;
use berylwheel_types::BackendId;
use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::stable_hash;

use crate::control::core::Control;
use crate::fleet::claims::ClaimAnswer;
use crate::fleet::claims::home_of;
use crate::fleet::translate::claim_answer;
use crate::fleet::translate::claim_state;
use crate::fleet::translate::digests_of;
use crate::fleet::translate::heartbeat_message;
use crate::fleet::translate::member_of;
use crate::fleet::translate::parts_message;
use crate::fleet::translate::parts_of;
use crate::fleet::translate::served_of;

/// Peers that learn of a leaving server from one router.
const LEAVING_PEERS: usize = 4;

/// Time after which the return of the store is told again. All routers find it within a second.
const TOLD_TIME: Millis = Millis(1_000);

impl Control {
    /// Takes in a message of another router.
    pub(crate) fn peer_message(&mut self, now: Timestamp, inbound: InboundMessage) {
        let InboundMessage { from, message, .. } = inbound;
        match message {
            Message::Heartbeat {
                incarnation,
                counter,
                address,
                version,
                draining,
                others,
                served,
                domain,
                clock,
                reaches,
                ..
            } => {
                self.fleet.clocks.record(now, &from, clock);
                self.fleet.reach.record(now, &from, reaches);
                let version = version.unwrap_or_default();
                let own = MemberEntry {
                    incarnation: incarnation.clone(),
                    address,
                    counter,
                    version,
                    leaving: draining,
                    suspect: false,
                };
                let others = others.into_iter().map(member_of).collect();
                let served: Vec<ServedTokens> = served.into_iter().map(served_of).collect();
                self.fleet.addresses.insert(from.clone(), address);
                self.fleet.members.handle_heartbeat(now, &Heartbeat { own, others });
                self.fleet.note_domain(&from, domain);
                self.fleet.config.handle_peer_version(now, &from, version);
                self.scheduler.apply_peer_totals(now, &from, &served);
                self.note_run(now, incarnation);
            }
            Message::ConfigVersion { version } => {
                self.fleet.config.handle_peer_version(now, &from, version);
            }
            Message::ConfigPull { have, .. } => {
                if let Some((root, parts)) = self.fleet.config.pull_response(&digests_of(have)) {
                    self.fleet.send(&from, parts_message(&root, parts));
                }
            }
            Message::ConfigParts { root, parts } => {
                if let Some((root, parts)) = parts_of(&root, parts) {
                    self.fleet.config.handle_parts(now, root, parts);
                }
            }
            Message::Recall { budget } => self.holder.recall(now, &budget),
            Message::Claim { id, key, attempt, owner, digest } => {
                let answer = self.claim_here(now, key, &attempt, &owner, digest);
                self.fleet.send(&from, Message::ClaimAnswer { id, answer: claim_state(answer) });
            }
            Message::ClaimAnswer { id, answer } => {
                if let Some(request) = self.fleet.claims.remove(&id) {
                    self.claim_answered(now, &request, claim_answer(answer));
                }
            }
            Message::ClaimEnd { key, attempt, delivered } => {
                self.claims.end(now, key, &attempt, delivered);
            }
            Message::Borrow { id, owner, budget, amount, time } => {
                self.holder.loan_requested(now, &owner, id, &budget, amount, time);
            }
            Message::Lent { id, owner, answer } if owner == self.me => {
                self.holder.loan_answered(now, id, answer);
            }
            // The answer is for an earlier run of this router, which has ended.
            Message::Lent { .. } => {}
            Message::Repaid { id, owner, used } => self.holder.loan_repaid(now, &owner, id, used),
            Message::StoreRegained => {
                self.fleet.told_at = now;
                self.effects.guard.probe_now();
            }
            // A list that the store keeps up to date says more than a peer.
            Message::Leaving { .. } if self.has_list() => {}
            Message::Leaving { server } => self.routes.set_leaving(now, &server),
        }
    }

    /// Asks the home router of a key whether a request may run.
    pub(crate) fn claim(&mut self, now: Timestamp, key: BillKey, request: RequestId, digest: u64) {
        let live = self.fleet.members.live();
        let home = home_of(key, &live).cloned().unwrap_or_else(|| self.me.router.clone());
        if home == self.me.router {
            let owner = self.me.clone();
            let answer = self.claim_here(now, key, &request, &owner, digest);
            self.claim_answered(now, &request, answer);
            return;
        }
        self.fleet.claim_id += 1;
        let id = self.fleet.claim_id;
        self.fleet.claims.insert(id, request.clone());
        let owner = self.me.clone();
        self.fleet.send(&home, Message::Claim { id, key, attempt: request, owner, digest });
    }

    fn claim_here(
        &mut self,
        now: Timestamp,
        key: BillKey,
        attempt: &RequestId,
        owner: &Incarnation,
        digest: u64,
    ) -> ClaimAnswer {
        let ended = &self.ended;
        self.claims.claim(now, key, attempt, owner, digest, |run| ended.contains(run))
    }

    /// Tells the home router of a key that an attempt has ended.
    pub(crate) fn end_claim(
        &mut self,
        now: Timestamp,
        key: BillKey,
        attempt: &RequestId,
        delivered: bool,
    ) {
        self.fleet.claims.retain(|_, request| request != attempt);
        let live = self.fleet.members.live();
        match home_of(key, &live) {
            Some(home) if *home != self.me.router => {
                let attempt = attempt.clone();
                self.fleet.send(home, Message::ClaimEnd { key, attempt, delivered });
            }
            _ => self.claims.end(now, key, attempt, delivered),
        }
    }

    /// Tells some peers that a backend server is leaving, in case their list lags behind this one's.
    pub(crate) fn notify_leaving(&self, server: &BackendId) {
        let mut live = self.fleet.members.live();
        live.retain(|router| *router != self.me.router);
        let own = self.me.router.as_str();
        live.sort_by_key(|router| stable_hash(&[own, server.as_str(), router.as_str()]));
        for router in live.iter().take(LEAVING_PEERS) {
            self.fleet.send(router, Message::Leaving { server: server.clone() });
        }
    }

    /// Shares the probes of a lost store with the other routers, and tells them when it is back.
    pub(crate) fn share_probes(&mut self, now: Timestamp, live: usize) {
        let guard = &self.effects.guard;
        let lost = guard.is_unavailable();
        let regained = std::mem::replace(&mut self.fleet.lost, lost) && !lost;
        if lost {
            guard.set_max_interval(self.fleet.reach.max_probe_interval(now, live));
        }
        if !regained || now.since(self.fleet.told_at) < TOLD_TIME {
            return;
        }
        self.fleet.told_at = now;
        for run in self.fleet.live_runs() {
            self.fleet.send(&run.router, Message::StoreRegained);
        }
    }

    fn has_list(&self) -> bool {
        self.fleet.adapter == Adapter::Platform && !self.listed.is_failing()
    }

    /// Tells the other routers at once that this one is shutting down.
    pub(crate) fn announce_leaving(&mut self, now: Timestamp) {
        self.fleet.members.set_leaving();
        for (to, heartbeat) in self.fleet.members.announce() {
            let domain = &self.fleet.own.domain;
            let reaches = !self.effects.guard.is_unavailable();
            let message = heartbeat_message(heartbeat, Vec::new(), now, domain, reaches);
            self.fleet.send(&to, message);
        }
    }

    /// Asks another router to return what it does not need of a budget.
    pub(crate) fn send_recall(&self, holder: &Incarnation, budget: BudgetId) {
        self.fleet.send(&holder.router, Message::Recall { budget });
    }

    /// Leaves the fleet after a drain.
    pub(crate) async fn leave(&mut self) {
        self.fleet.leave(&self.effects).await;
    }
}

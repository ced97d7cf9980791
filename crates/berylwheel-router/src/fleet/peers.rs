//! Messages between routers: heartbeats, configuration, claims, recalls and loans.

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
use crate::fleet::claims::ClaimResponse;
use crate::fleet::convert::decode_claim_response;
use crate::fleet::convert::decode_parts;
use crate::fleet::convert::encode_claim_response;
use crate::fleet::convert::heartbeat_message;
use crate::fleet::convert::member_entry;
use crate::fleet::convert::part_digests;
use crate::fleet::convert::parts_message;
use crate::fleet::convert::served_tokens;

/// Maximum number of peers that one router tells about a leaving backend server.
const LEAVING_PEERS_LIMIT: usize = 4;

/// Minimum interval between notices that the store is back. A notice reaches all routers within it.
const REGAIN_NOTICE_INTERVAL: Millis = Millis(1_000);

impl Control {
    /// Handles a message from another router.
    pub(crate) fn handle_peer_message(&mut self, now: Timestamp, inbound: InboundMessage) {
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
                if !self.fleet.clock_agrees {
                    self.check_clock(now);
                }
                self.fleet.store_reach.record(now, &from, reaches);
                let version = version.unwrap_or_default();
                let own = MemberEntry {
                    incarnation: incarnation.clone(),
                    address,
                    counter,
                    version,
                    leaving: draining,
                    suspect: false,
                };
                let others = others.into_iter().map(member_entry).collect();
                let served: Vec<ServedTokens> = served.into_iter().map(served_tokens).collect();
                self.fleet.addresses.insert(from.clone(), address);
                self.fleet.members.handle_heartbeat(now, &Heartbeat { own, others });
                self.fleet.record_domain(&from, domain);
                self.fleet.config.handle_peer_version(now, &from, version);
                self.scheduler.apply_peer_totals(now, &from, &served);
                self.record_run(now, incarnation);
            }
            Message::ConfigVersion { version } => {
                self.fleet.config.handle_peer_version(now, &from, version);
            }
            Message::ConfigPull { have, .. } => {
                if let Some((root, parts)) = self.fleet.config.pull_response(&part_digests(have)) {
                    self.fleet.send(&from, parts_message(&root, parts));
                }
            }
            Message::ConfigParts { root, parts } => {
                if let Some((root, parts)) = decode_parts(&root, parts) {
                    self.fleet.config.handle_parts(now, root, parts);
                }
            }
            Message::Recall { budget } => self.holder.recall(now, &budget),
            Message::Claim { id, key, attempt, owner, digest } => {
                let response = self.claim_locally(now, key, &attempt, &owner, digest);
                self.fleet.send(
                    &from,
                    Message::ClaimAnswer { id, answer: encode_claim_response(response) },
                );
            }
            Message::ClaimAnswer { id, answer: response } => {
                if let Some(request) = self.fleet.pending_claims.remove(&id) {
                    self.handle_claim_response(now, &request, decode_claim_response(response));
                }
            }
            Message::ClaimEnd { key, attempt, delivered } => {
                self.claims.end(now, key, &attempt, delivered);
            }
            Message::Borrow { id, owner, budget, amount, time } => {
                self.holder.loan_requested(now, &owner, id, &budget, amount, time);
            }
            Message::Lent { id, owner, answer: response } if owner == self.incarnation => {
                self.holder.loan_response_received(now, id, response);
            }
            // The response is for an earlier run of this router.
            Message::Lent { .. } => {}
            Message::Repaid { id, owner, used } => self.holder.loan_repaid(now, &owner, id, used),
            Message::StoreRegained => self.handle_regain_notice(now),
            Message::ServerEnded { server, age, suspects } => {
                self.quarantine.handle_report(now, &from, &server, age, suspects);
            }
            Message::AnswerQuery { parts, since } => {
                self.quarantine.handle_query(now, &parts, since);
            }
            Message::PartAnswers { answers } => self.quarantine.handle_answers(now, &answers),
            Message::Quarantine { holds } => self.handle_holds(now, holds),
            Message::StoreNews { origin, sequence, feeds } => {
                self.handle_store_news(now, origin, sequence, feeds);
            }
            Message::ServerSpeeds { speeds } => self.handle_speeds(now, speeds),
            // A server list that the store keeps up to date takes precedence over a peer.
            Message::Leaving { .. } if self.has_current_list() => {}
            Message::Leaving { server } => self.balancer.set_leaving(now, &server),
        }
    }

    /// Claims a key for a request at the home router of the key.
    pub(crate) fn claim(&mut self, now: Timestamp, key: BillKey, request: RequestId, digest: u64) {
        let home = self.fleet.claim_homes.home_of(key, &self.fleet.members);
        let home = home.unwrap_or_else(|| self.incarnation.router.clone());
        if home == self.incarnation.router {
            let owner = self.incarnation.clone();
            let response = self.claim_locally(now, key, &request, &owner, digest);
            self.handle_claim_response(now, &request, response);
            return;
        }
        self.fleet.last_claim += 1;
        let id = self.fleet.last_claim;
        self.fleet.pending_claims.insert(id, request.clone());
        let owner = self.incarnation.clone();
        self.fleet.send(&home, Message::Claim { id, key, attempt: request, owner, digest });
    }

    fn claim_locally(
        &mut self,
        now: Timestamp,
        key: BillKey,
        attempt: &RequestId,
        owner: &Incarnation,
        digest: u64,
    ) -> ClaimResponse {
        let ended_runs = &self.ended_runs;
        self.claims.claim(now, key, attempt, owner, digest, |run| ended_runs.contains(run))
    }

    /// Tells the home router of a key that an attempt has ended.
    pub(crate) fn end_claim(
        &mut self,
        now: Timestamp,
        key: BillKey,
        attempt: &RequestId,
        delivered: bool,
    ) {
        self.fleet.pending_claims.retain(|_, request| request != attempt);
        match self.fleet.claim_homes.home_of(key, &self.fleet.members) {
            Some(home) if home != self.incarnation.router => {
                let attempt = attempt.clone();
                self.fleet.send(&home, Message::ClaimEnd { key, attempt, delivered });
            }
            _ => self.claims.end(now, key, attempt, delivered),
        }
    }

    /// Tells some peers that a backend server is leaving, in case their server list is older than
    /// this router's.
    pub(crate) fn notify_server_leaving(&self, server: &BackendId) {
        let mut links = self.fleet.members.links();
        let own = self.incarnation.router.as_str();
        links.sort_by_cached_key(|router| stable_hash(&[own, server.as_str(), router.as_str()]));
        for router in links.iter().take(LEAVING_PEERS_LIMIT) {
            self.fleet.send(router, Message::Leaving { server: server.clone() });
        }
    }

    /// While the store is unavailable, sets the maximum probe interval, which divides the probes
    /// among the live routers. Tells the linked peers once it is back.
    pub(crate) fn coordinate_store_probes(&mut self, now: Timestamp) {
        let live = self.fleet.members.live_count().max(1);
        let guard = &self.effects.guard;
        let unavailable = guard.is_unavailable();
        let regained =
            std::mem::replace(&mut self.fleet.store_unavailable, unavailable) && !unavailable;
        if unavailable {
            guard.set_max_interval(self.fleet.store_reach.max_probe_interval(now, live));
        }
        if !regained || now.since(self.fleet.regain_notice) < REGAIN_NOTICE_INTERVAL {
            return;
        }
        self.send_regain_notice(now);
    }

    /// Tells the linked peers that the store is back. Each of them passes it on.
    fn send_regain_notice(&mut self, now: Timestamp) {
        self.fleet.regain_notice = now;
        for router in self.fleet.members.links() {
            self.fleet.send(&router, Message::StoreRegained);
        }
    }

    /// Probes the store at once if a peer has regained it, and passes the notice on if this router
    /// has lost it too. Where the store serves most routers, the others probe it often by themselves.
    fn handle_regain_notice(&mut self, now: Timestamp) {
        self.effects.guard.probe_now();
        if !self.effects.guard.is_unavailable() {
            return;
        }
        if now.since(self.fleet.regain_notice) >= REGAIN_NOTICE_INTERVAL {
            self.send_regain_notice(now);
        }
    }

    fn has_current_list(&self) -> bool {
        self.fleet.adapter == Adapter::Platform && !self.server_list.is_failing()
    }

    /// Tells the linked peers that this router is shutting down. They relay it at once.
    pub(crate) fn announce_leaving(&mut self, now: Timestamp) {
        self.fleet.members.set_leaving();
        for (to, heartbeat) in self.fleet.members.announce() {
            let domain = &self.fleet.own_entry.domain;
            let reaches = !self.effects.guard.is_unavailable();
            let message = heartbeat_message(heartbeat, Vec::new(), now, domain, reaches);
            self.fleet.send(&to, message);
        }
    }

    /// Asks another router to return the tokens of a budget that it does not need.
    pub(crate) fn send_recall(&self, holder: &Incarnation, budget: BudgetId) {
        self.fleet.send(&holder.router, Message::Recall { budget });
    }

    /// Deregisters this router and closes the link, once a drain has completed.
    pub(crate) async fn leave_fleet(&mut self) {
        self.fleet.leave(&self.effects).await;
    }
}

//! Prompt parts that crash backend servers: carries out the actions of the quarantine, and applies
//! its holds to requests.

use berylwheel_peer::Message;
use berylwheel_quarantine::Action;
use berylwheel_quarantine::Refused;
use berylwheel_types::BackendId;
use berylwheel_types::Code;
use berylwheel_types::Millis;
use berylwheel_types::PartHold;
use berylwheel_types::PromptPartId;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::stable_hash;

use crate::control::core::Control;
use crate::control::requests::Stage;
use crate::forward::PartList;

/// Number of routers that judge the ends of servers. Each judges on its own, so that the loss of
/// some of them loses no evidence.
const JUDGE_COUNT: usize = 3;
/// Maximum number of entries in one message about prompt parts.
const MESSAGE_ENTRIES: usize = 64;

/// How certain it is that an attempt broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakCertainty {
    /// The answer did not come, or not to its end.
    Certain,
    /// The answer ended with its connection, as a complete one does that has no length or chunks.
    Suspected,
}

/// A request whose connection to a server ended without an answer or at its very beginning.
#[derive(Debug)]
pub struct BrokenAttempt {
    /// Whether the answer may be complete.
    pub certainty: BreakCertainty,
    /// The server.
    pub server: BackendId,
    /// Time since the attempt was sent.
    pub ran_for: Millis,
    /// Parts of its prompt that other requests can share.
    pub parts: Vec<PromptPartId>,
}

impl Control {
    /// Records a broken attempt, unless its server leaves: a planned stop may end its last requests.
    pub(super) fn handle_broken_attempt(&mut self, now: Timestamp, broken: &BrokenAttempt) {
        let server = &broken.server;
        if self.balancer.is_leaving(server) || !self.balancer.is_present(server) {
            return;
        }
        let (ran_for, parts) = (broken.ran_for, &broken.parts);
        match broken.certainty {
            BreakCertainty::Certain => self.quarantine.record_break(now, server, ran_for, parts),
            BreakCertainty::Suspected => {
                self.quarantine.record_unconfirmed(now, server, ran_for, parts);
            }
        }
    }

    /// Writes the holds to the store again, which has lost the latest ones. Judges do it for all.
    pub(crate) fn store_holds_again(&mut self) {
        self.fleet.holds_to_store |= self.is_judge() && !self.quarantine.holds().is_empty();
    }

    /// Carries out what the quarantine has decided.
    pub(super) fn drive_quarantine(&mut self, now: Timestamp) {
        for action in self.quarantine.poll(now) {
            match action {
                Action::CheckServer(server) => {
                    if let Some(address) = self.balancer.address(&server) {
                        self.effects.check_server(server, address);
                    }
                }
                Action::ReportEnd { server, age, suspects } => {
                    for suspect in &suspects {
                        log::info!(
                            server = server.as_str(), parts:% = PartList(&suspect.parts),
                            ms = suspect.ran_for.0; "server ended under a request without an answer"
                        );
                    }
                    if self.is_judge() {
                        let own = self.incarnation.router.clone();
                        let suspects = suspects.clone();
                        self.quarantine.handle_report(now, &own, &server, age, suspects);
                    }
                    self.send_to_judges(&Message::ServerEnded { server, age, suspects });
                }
                Action::AskAnswers { parts, since } => {
                    log::info!(parts:% = PartList(&parts); "prompt parts suspected");
                    for parts in parts.chunks(MESSAGE_ENTRIES) {
                        self.broadcast(&Message::AnswerQuery { parts: parts.to_vec(), since });
                    }
                }
                Action::ReportAnswers(answers) => {
                    for answers in answers.chunks(MESSAGE_ENTRIES) {
                        self.send_to_judges(&Message::PartAnswers { answers: answers.to_vec() });
                    }
                }
                Action::Announce(holds) => {
                    self.log_holds(now, &holds);
                    self.broadcast(&Message::Quarantine { holds });
                    self.fleet.holds_to_store = true;
                    self.stop_quarantined(now);
                }
            }
        }
        self.store_holds(now);
    }

    /// Takes over holds from a peer or the store.
    pub(crate) fn handle_holds(&mut self, now: Timestamp, holds: Vec<PartHold>) {
        let changed = self.quarantine.handle_holds(now, holds);
        if !changed.is_empty() {
            self.log_holds(now, &changed);
            self.stop_quarantined(now);
        }
    }

    fn log_holds(&self, now: Timestamp, holds: &[PartHold]) {
        for hold in holds {
            let (parts, ends) = (PartList(&hold.parts), hold.ends);
            match hold.released {
                true => log::info!(parts:% = parts; "prompt parts released"),
                false => {
                    let ms = hold.until.since(now).0;
                    log::warn!(parts:% = parts, ends, ms; "prompt parts quarantined");
                }
            }
        }
    }

    /// Sends the holds to a peer that is due for a heartbeat, in case it missed a message.
    pub(crate) fn send_holds(&self, to: &RouterId) {
        let holds = self.quarantine.holds();
        if !holds.is_empty() {
            self.fleet.send(to, Message::Quarantine { holds });
        }
    }

    /// Returns the refusal of a waiting request whose prompt has quarantined parts.
    pub(super) fn quarantine_refusal(
        &mut self,
        now: Timestamp,
        request: &RequestId,
    ) -> Option<Refusal> {
        let parts = &self.requests.get(request)?.admit.parts;
        self.quarantine.check(now, parts).map(|refused| hold_refusal(&refused))
    }

    /// Returns why a request must not be sent to another server because of its prompt, if so.
    /// `maybe_ran` tells whether a server may have ended under it.
    pub(super) fn second_server_refusal(
        &self,
        now: Timestamp,
        request: &RequestId,
        maybe_ran: bool,
    ) -> Option<&'static str> {
        let parts = &self.requests.get(request)?.admit.parts;
        if self.quarantine.is_held(now, parts) {
            return Some("a part of the prompt is quarantined");
        }
        let is_suspected = maybe_ran && self.quarantine.is_suspected(now, parts);
        is_suspected.then_some("a part of the prompt is suspected of crashing servers")
    }

    /// Refuses the waiting requests whose prompts have quarantined parts, and cancels those that
    /// wait at a server.
    fn stop_quarantined(&mut self, now: Timestamp) {
        let held = self.requests.iter().filter(|(_, state)| {
            let parts = &state.admit.parts;
            !parts.is_empty() && self.quarantine.is_held(now, parts)
        });
        let held: Vec<(RequestId, Stage)> =
            held.map(|(request, state)| (request.clone(), state.stage)).collect();
        for (request, stage) in held {
            if stage == Stage::Running {
                self.cancel(&request);
            } else if let Some(refusal) = self.quarantine_refusal(now, &request) {
                self.refuse(&request, refusal);
            }
        }
    }

    /// Returns the routers that judge the ends of servers.
    fn judges(&self) -> Vec<RouterId> {
        let mut live = self.fleet.members.live();
        live.sort_by_cached_key(|router| stable_hash(&["quarantine", router.as_str()]));
        live.truncate(JUDGE_COUNT);
        live
    }

    fn is_judge(&self) -> bool {
        self.judges().contains(&self.incarnation.router)
    }

    fn send_to_judges(&self, message: &Message) {
        let own = &self.incarnation.router;
        for router in self.judges().iter().filter(|router| *router != own) {
            self.fleet.send(router, message.clone());
        }
    }

    fn broadcast(&self, message: &Message) {
        let own = &self.incarnation.router;
        for router in self.fleet.members.live().iter().filter(|router| *router != own) {
            self.fleet.send(router, message.clone());
        }
    }
}

pub(super) fn hold_refusal(refused: &Refused) -> Refusal {
    let parts = PartList(&refused.parts);
    let detail = format!("backend servers ended under requests with the prompt parts {parts}");
    Refusal::not_run(Code::PartQuarantined, detail).retry_after(refused.delay)
}

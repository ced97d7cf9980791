//! The judgement of a router: which parts the ends of servers have in common, and whether they are
//! answered elsewhere.

use berylwheel_types::BackendId;
use berylwheel_types::Millis;
use berylwheel_types::PartHold;
use berylwheel_types::PromptPartId;
use berylwheel_types::RouterId;
use berylwheel_types::SuspectRequest;
use berylwheel_types::Timestamp;

use crate::Action;
use crate::Quarantine;
use crate::bounds::sample_parts;
use crate::bounds::seed;

/// Maximum age of a report of a server's end.
const MAX_REPORT_AGE: Millis = Millis(60_000);

/// A query for answers to a part that this router has sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Query {
    pub(crate) asked_at: Timestamp,
    /// Whether a router has answered the part before the first end.
    pub(crate) answered_before: bool,
    /// When the part is judged: once the time for answers, and for other reports of its last end, is
    /// over.
    pub(crate) judge_at: Option<Timestamp>,
}

/// Ends that a peer has reported lately.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerReports {
    pub(crate) window_start: Timestamp,
    pub(crate) count: u32,
}

impl Quarantine {
    /// Judges the report of a router about the end of a server.
    pub fn handle_report(
        &mut self,
        now: Timestamp,
        from: &RouterId,
        server: &BackendId,
        age: Millis,
        mut suspects: Vec<SuspectRequest>,
    ) {
        if age > MAX_REPORT_AGE || !self.accepts_report(now, from) {
            return;
        }
        suspects.truncate(self.policy.max_suspects);
        for suspect in &mut suspects {
            sample_parts(&mut suspect.parts, self.policy.max_parts, seed(server, now));
        }
        suspects.retain(|suspect| !suspect.parts.is_empty());
        if suspects.is_empty() {
            return;
        }
        let parts = self.evidence.add(now, server, age, suspects, &self.policy);
        let recurring = self.evidence.recurring_parts(Some(&parts));
        self.evaluate(now, &recurring);
    }

    fn accepts_report(&mut self, now: Timestamp, from: &RouterId) -> bool {
        let new = PeerReports { window_start: now, count: 0 };
        let reports = self.reports.entry(from.clone()).or_insert(new);
        if now.since(reports.window_start) >= self.policy.report_window {
            *reports = new;
        }
        reports.count += 1;
        reports.count <= self.policy.max_reports
    }

    /// Handles the report of a router when parts were last answered.
    pub fn handle_answers(&mut self, now: Timestamp, answers: &[(PromptPartId, Millis)]) {
        for (part, age) in answers {
            let at = Timestamp::from_millis(now.as_millis().saturating_sub(age.0));
            let first = self.evidence.ends_of(*part, &self.policy).map(|ends| ends.first);
            if first.is_some_and(|first| at <= first) {
                if let Some(query) = self.queries.get_mut(part) {
                    query.answered_before = true;
                }
                continue;
            }
            self.evidence.record_answer(at, *part);
            self.queries.remove(part);
            let contradicted = |hold: &&PartHold| hold.parts.contains(part) && at > hold.stamp;
            let held = self.holds.active(now).find(contradicted).is_some();
            if held || first.is_some() {
                self.clear(now, *part);
            }
        }
    }

    /// Ends the holds that name a part. What else their requests have in common is judged anew.
    fn clear(&mut self, now: Timestamp, part: PromptPartId) {
        let released = self.holds.release(now, part);
        if released.is_empty() {
            return;
        }
        let mut others: Vec<PromptPartId> = released.iter().flat_map(|h| h.parts.clone()).collect();
        others.retain(|other| *other != part);
        self.actions.push(Action::Announce(released));
        self.evaluate(now, &others);
    }

    /// Asks the other routers about parts that have become suspicious, and judges those that they
    /// were asked about before.
    fn evaluate(&mut self, now: Timestamp, parts: &[PromptPartId]) {
        let (mut asked, mut since) = (Vec::new(), Millis(0));
        for part in parts {
            let ends = self.evidence.ends_of(*part, &self.policy);
            let Some(ends) = ends.filter(|ends| ends.independent >= self.policy.suspect_ends)
            else {
                self.queries.remove(part);
                continue;
            };
            // Until the suspicion ends, the routers report answers by themselves.
            let suspicion_time = self.policy.suspicion_time;
            let known = self.queries.get_mut(part);
            if let Some(query) = known.filter(|query| now < query.asked_at + suspicion_time) {
                let report_time = now + self.policy.report_wait;
                query.judge_at = query.judge_at.max(Some(report_time));
                continue;
            }
            let answered_before = self.queries.get(part).is_some_and(|query| query.answered_before);
            let judge_at = Some(now + self.policy.query_wait);
            self.queries.insert(*part, Query { asked_at: now, answered_before, judge_at });
            self.suspected.insert(*part, now + self.policy.suspicion_time);
            let range = now.since(ends.first).0 + self.policy.answer_memory.0;
            since = since.max(Millis(range));
            asked.push(*part);
            let own = self.answers.last(*part).filter(|at| now.since(*at).0 <= range);
            if let Some(at) = own {
                self.handle_answers(now, &[(*part, now.since(at))]);
            }
        }
        if !asked.is_empty() {
            self.actions.push(Action::AskAnswers { parts: asked, since });
        }
    }

    /// Quarantines a part if enough servers have ended under it.
    pub(crate) fn judge(&mut self, now: Timestamp, part: PromptPartId) {
        let Some(query) = self.queries.get(&part) else { return };
        let Some(ends) = self.evidence.ends_of(part, &self.policy) else { return };
        let policy = &self.policy;
        let is_explained = |parts: &[PromptPartId]| self.holds.find(now, parts).is_some();
        let others = self.evidence.other_ends(part, ends.first, is_explained);
        let additional = (others / policy.other_ends).min(policy.max_additional_ends);
        let is_enough = match query.answered_before {
            true => ends.independent >= policy.answered_ends + additional,
            false => {
                ends.independent >= policy.independent_ends + additional
                    || (ends.independent >= policy.suspect_ends + additional
                        && ends.total >= policy.total_ends + additional)
            }
        };
        if !is_enough {
            return;
        }
        let mut parts = self.evidence.common_parts(part);
        // A part that merely waits at the servers that another one ends is at each of its ends beside
        // the other one.
        let rival = self.evidence.rival_ends(part, &parts, policy);
        if rival.is_some_and(|total| total > ends.total || ends.total < policy.rival_ends) {
            return;
        }
        parts.retain(|part| !self.exempt.contains(part));
        if parts.is_empty() || self.holds.find(now, &parts).is_some() {
            return;
        }
        let basis = (ends.first, ends.total);
        let hold = self.holds.set(now, parts, basis, now + policy.hold_time);
        self.actions.push(Action::Announce(vec![hold]));
    }
}

//! What one router knows of prompt parts that crash servers, and what it does about them.

use berylwheel_types::BackendId;
use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::PartHold;
use berylwheel_types::PromptPartId;
use berylwheel_types::RouterId;
use berylwheel_types::SuspectRequest;
use berylwheel_types::Timestamp;

use crate::QuarantineDump;
use crate::QuarantinePolicy;
use crate::SuspectedPart;
use crate::answers::LastAnswers;
use crate::bounds::sample_parts;
use crate::bounds::seed;
use crate::evidence::Evidence;
use crate::holds::Holds;
use crate::judge::PeerReports;
use crate::judge::Query;
use crate::suspects::AnswerEnd;
use crate::suspects::PendingSuspects;

/// Interval at which old state is removed.
const EXPIRY_INTERVAL: Millis = Millis(1_000);
/// Maximum difference between the clocks of two routers at which an own answer contradicts a hold.
const CLOCK_DIFFERENCE: Millis = Millis(10_000);

/// What a router has to do about crashing prompt parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Find out whether a server has ended, which [`Quarantine::record_end`] or
    /// [`Quarantine::record_running`] is then told.
    CheckServer(BackendId),
    /// Tell the routers that judge, which may include this one: requests had no answer when a server
    /// ended `age` ago.
    ReportEnd {
        /// The server.
        server: BackendId,
        /// Time since its end.
        age: Millis,
        /// The requests.
        suspects: Vec<SuspectRequest>,
    },
    /// Ask all routers which of the parts were answered within the last `since`.
    AskAnswers {
        /// The parts.
        parts: Vec<PromptPartId>,
        /// Maximum age of an answer.
        since: Millis,
    },
    /// Tell the routers that judge how long ago parts were last answered.
    ReportAnswers(Vec<(PromptPartId, Millis)>),
    /// Tell all routers about new, extended or released holds, and store them.
    Announce(Vec<PartHold>),
}

/// Why a request is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// The parts of its prompt that are quarantined together.
    pub parts: Vec<PromptPartId>,
    /// Time until the quarantine may end.
    pub delay: Millis,
}

/// The quarantine of one router.
///
/// A router whose requests had no answer when their server ended reports the parts of these requests
/// to a few routers, which judge. A part is suspected after two ends of servers that were
/// independent of each other. All routers are then asked whether they have answered it since. After
/// a third one without an answer it is quarantined: all routers refuse its requests.
///
/// ```
/// use berylwheel_quarantine::{Action, Quarantine, QuarantinePolicy};
/// use berylwheel_types::{Millis, PromptPartId, SuspectRequest, Timestamp};
/// let at = Timestamp::from_millis;
/// let mut quarantine = Quarantine::new(QuarantinePolicy::default());
/// let parts = [PromptPartId(1), PromptPartId(7)];
/// let reporter = "r2".parse().unwrap();
/// for (time, server) in [(1_000, "s1"), (2_000, "s2"), (3_000, "s3")] {
///     let server = server.parse().unwrap();
///     let suspect = SuspectRequest { ran_for: Millis(100), parts: parts.to_vec() };
///     quarantine.handle_report(at(time), &reporter, &server, Millis(1), vec![suspect]);
///     quarantine.record_answer(at(time), &[PromptPartId(1)]);
/// }
/// assert!(matches!(quarantine.poll(at(3_100)).last(), Some(Action::Announce(_))));
/// assert!(quarantine.check(at(3_100), &parts).is_some());
/// assert!(quarantine.check(at(3_100), &[PromptPartId(1), PromptPartId(8)]).is_none());
/// ```
#[derive(Debug)]
pub struct Quarantine {
    pub(crate) policy: QuarantinePolicy,
    pub(crate) answers: LastAnswers,
    pending: PendingSuspects,
    pub(crate) evidence: Evidence,
    pub(crate) holds: Holds,
    pub(crate) queries: FastMap<PromptPartId, Query>,
    /// Parts that a router asked about, and until when they are suspected.
    pub(crate) suspected: FastMap<PromptPartId, Timestamp>,
    pub(crate) reports: FastMap<RouterId, PeerReports>,
    /// Parts whose requests are never refused.
    pub(crate) exempt: Vec<PromptPartId>,
    pub(crate) actions: Vec<Action>,
    refused_count: u64,
    next_expiry: Timestamp,
}

impl Quarantine {
    /// Returns a quarantine without evidence.
    pub fn new(policy: QuarantinePolicy) -> Self {
        Self {
            answers: LastAnswers::new(policy.max_answers),
            policy,
            pending: PendingSuspects::default(),
            evidence: Evidence::default(),
            holds: Holds::default(),
            queries: FastMap::default(),
            suspected: FastMap::default(),
            reports: FastMap::default(),
            exempt: Vec::new(),
            actions: Vec::new(),
            refused_count: 0,
            next_expiry: Timestamp::default(),
        }
    }

    /// Sets the parts whose requests are never refused, whatever ends under them, and ends their
    /// holds.
    pub fn set_exempt(&mut self, now: Timestamp, parts: Vec<PromptPartId>) {
        for part in &parts {
            self.release(now, *part);
        }
        self.exempt = parts;
    }

    /// Returns why a request with `parts` must not be sent to a server, if so. A hold goes on for as
    /// long as such requests come.
    pub fn check(&mut self, now: Timestamp, parts: &[PromptPartId]) -> Option<Refused> {
        let hold = self.holds.find(now, parts)?.clone();
        self.refused_count += 1;
        let mut delay = hold.until.since(now);
        if delay.0 < self.policy.hold_time.0 / 2 {
            delay = self.policy.hold_time;
            let (basis, until) = ((hold.since, hold.ends), now + delay);
            let extended = self.holds.set(now, hold.parts.clone(), basis, until);
            self.actions.push(Action::Announce(vec![extended]));
        }
        Some(Refused { parts: hold.parts, delay })
    }

    /// Returns whether a request with `parts` is quarantined, without counting it as refused.
    pub fn is_held(&self, now: Timestamp, parts: &[PromptPartId]) -> bool {
        self.holds.find(now, parts).is_some()
    }

    /// Returns whether a request with `parts` must not be sent to a second server, since one of them
    /// may crash it as well.
    pub fn is_suspected(&self, now: Timestamp, parts: &[PromptPartId]) -> bool {
        let is_suspected = |part| self.suspected.get(part).is_some_and(|until| now < *until);
        !self.suspected.is_empty() && parts.iter().any(is_suspected)
    }

    /// Records that a request with `parts` was answered to its end.
    pub fn record_answer(&mut self, now: Timestamp, parts: &[PromptPartId]) {
        self.record_answer_at(now, now, parts);
    }

    /// Records an answer that is known `now` to have been complete at the time `at`.
    fn record_answer_at(&mut self, now: Timestamp, at: Timestamp, parts: &[PromptPartId]) {
        self.answers.record(at, parts);
        let mut reported = Vec::new();
        for part in parts {
            if self.suspected.remove(part).is_some() {
                reported.push((*part, now.since(at)));
            }
        }
        if !reported.is_empty() {
            self.handle_answers(now, &reported);
            self.actions.push(Action::ReportAnswers(reported));
        }
    }

    /// Records that the connection of a request to a server ended `ran_for` after it was sent,
    /// without an answer or at its very beginning.
    pub fn record_break(
        &mut self,
        now: Timestamp,
        server: &BackendId,
        ran_for: Millis,
        parts: &[PromptPartId],
    ) {
        self.add_suspect(now, server, AnswerEnd::Broken, ran_for, parts);
    }

    /// Records that an answer ended with its connection, soon after its beginning and without a
    /// length or chunks: it is complete, unless its server ended then. Parts that were answered lately
    /// are left out, so that servers are not checked for the usual requests.
    ///
    /// ```
    /// use berylwheel_quarantine::{Action, Quarantine, QuarantinePolicy};
    /// use berylwheel_types::{Millis, PromptPartId, Timestamp};
    /// let (now, later) = (Timestamp::from_millis(1_000), Timestamp::from_millis(1_300));
    /// let server = "s1".parse().unwrap();
    /// let mut quarantine = Quarantine::new(QuarantinePolicy::default());
    /// quarantine.record_unconfirmed(now, &server, Millis(50), &[PromptPartId(7)]);
    /// assert_eq!(quarantine.poll(now), [Action::CheckServer(server.clone())]);
    /// quarantine.record_running(later, &server, now);
    /// quarantine.record_end(later, &server);
    /// assert_eq!(quarantine.poll(later), []);
    /// ```
    pub fn record_unconfirmed(
        &mut self,
        now: Timestamp,
        server: &BackendId,
        ran_for: Millis,
        parts: &[PromptPartId],
    ) {
        self.add_suspect(now, server, AnswerEnd::Unconfirmed, ran_for, parts);
    }

    /// Returns whether a part was not answered shortly before `at`.
    fn is_unsound(&self, at: Timestamp, part: PromptPartId) -> bool {
        let fresh = self.policy.fresh_answer;
        self.answers.last(part).is_none_or(|answered| at.since(answered) > fresh)
    }

    fn add_suspect(
        &mut self,
        now: Timestamp,
        server: &BackendId,
        end: AnswerEnd,
        ran_for: Millis,
        parts: &[PromptPartId],
    ) {
        let unsound = parts.iter().copied().filter(|part| self.is_unsound(now, *part));
        let mut parts: Vec<PromptPartId> = unsound.collect();
        sample_parts(&mut parts, self.policy.max_parts, seed(server, now));
        if parts.is_empty() {
            return;
        }
        let request = SuspectRequest { ran_for, parts };
        if self.pending.add(now, server, end, request, &self.policy) {
            self.actions.push(Action::CheckServer(server.clone()));
        }
    }

    /// Records that a check begun at `since` has found a server running. The answers that ended with
    /// their connections before are complete.
    pub fn record_running(&mut self, now: Timestamp, server: &BackendId, since: Timestamp) {
        for (at, parts) in self.pending.take_confirmed(server, since) {
            self.record_answer_at(now, at, &parts);
        }
    }

    /// Records that the process of a server is known to have ended.
    pub fn record_end(&mut self, now: Timestamp, server: &BackendId) {
        let Some((broke_at, mut suspects)) = self.pending.take(server) else { return };
        let share = self.policy.max_reported / suspects.len().max(1);
        for suspect in &mut suspects {
            suspect.parts.retain(|part| self.is_unsound(broke_at, *part));
            sample_parts(&mut suspect.parts, share, seed(server, broke_at));
        }
        suspects.retain(|suspect| !suspect.parts.is_empty());
        if suspects.is_empty() {
            return;
        }
        let age = now.since(broke_at);
        self.actions.push(Action::ReportEnd { server: server.clone(), age, suspects });
    }

    /// Handles a peer's question which of `parts` were answered within the last `since`.
    pub fn handle_query(&mut self, now: Timestamp, parts: &[PromptPartId], since: Millis) {
        let until = now + self.policy.suspicion_time;
        let mut answers = Vec::new();
        for part in parts {
            match self.answers.last(*part) {
                Some(at) if now.since(at) <= since => answers.push((*part, now.since(at))),
                _ => {}
            }
            self.suspected.insert(*part, until);
        }
        while self.suspected.len() > self.policy.max_answers {
            let oldest = self.suspected.iter().min_by_key(|(_, until)| **until);
            let Some(oldest) = oldest.map(|(part, _)| *part) else { break };
            self.suspected.remove(&oldest);
        }
        if !answers.is_empty() {
            self.actions.push(Action::ReportAnswers(answers));
        }
    }

    /// Takes over the holds of a peer or of the store, and returns those that are new.
    pub fn handle_holds(&mut self, now: Timestamp, holds: Vec<PartHold>) -> Vec<PartHold> {
        let mut changed = Vec::new();
        for hold in holds {
            if hold.parts.iter().any(|part| self.exempt.contains(part)) {
                continue;
            }
            let answers = self.contradicting_answers(now, &hold);
            if !answers.is_empty() {
                self.actions.push(Action::ReportAnswers(answers));
                continue;
            }
            let (max_hold, max_parts) = (self.policy.hold_time, self.policy.max_parts);
            if self.holds.merge(now, hold.clone(), max_hold, max_parts) {
                changed.push(hold);
            }
        }
        self.holds.expire(now, self.policy.max_holds);
        changed
    }

    /// Returns the parts of a hold that this router has answered since the ends that it is based on.
    fn contradicting_answers(
        &self,
        now: Timestamp,
        hold: &PartHold,
    ) -> Vec<(PromptPartId, Millis)> {
        if hold.released {
            return Vec::new();
        }
        let since = hold.since + CLOCK_DIFFERENCE;
        let answered = hold.parts.iter().filter_map(|part| {
            let at = self.answers.last(*part).filter(|at| *at > since)?;
            Some((*part, now.since(at)))
        });
        answered.collect()
    }

    /// Ends the holds that name a part, for an operator. Returns whether there were any.
    pub fn release(&mut self, now: Timestamp, part: PromptPartId) -> bool {
        let released = self.holds.release(now, part);
        for held in released.iter().flat_map(|hold| &hold.parts) {
            self.evidence.record_answer(now, *held);
            self.queries.remove(held);
        }
        let is_held = !released.is_empty();
        if is_held {
            self.actions.push(Action::Announce(released));
        }
        is_held
    }

    /// Returns the holds that peers should know of, including those that were released.
    pub fn holds(&self) -> Vec<PartHold> {
        self.holds.all()
    }

    /// Judges what has waited for answers, and returns what is to be done.
    pub fn poll(&mut self, now: Timestamp) -> Vec<Action> {
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.expire(now);
        }
        let checks = self.pending.due_checks(now).into_iter();
        self.actions.extend(checks.map(Action::CheckServer));
        let mut due = Vec::new();
        for (part, query) in &mut self.queries {
            if query.judge_at.take_if(|time| now >= *time).is_some() {
                due.push(*part);
            }
        }
        due.sort_unstable();
        for part in due {
            self.judge(now, part);
        }
        std::mem::take(&mut self.actions)
    }

    fn expire(&mut self, now: Timestamp) {
        self.pending.expire(now, self.policy.pending_time);
        self.evidence.expire(now, &self.policy);
        self.holds.expire(now, self.policy.max_holds);
        self.suspected.retain(|_, until| now < *until);
        let window = self.policy.report_window;
        self.reports.retain(|_, reports| now.since(reports.window_start) < window);
        let (evidence, policy) = (&self.evidence, &self.policy);
        self.queries.retain(|part, _| evidence.ends_of(*part, policy).is_some());
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Timestamp) -> QuarantineDump {
        let suspected = self.evidence.recurring_parts(None).into_iter().filter_map(|part| {
            let ends = self.evidence.ends_of(part, &self.policy)?;
            let query = self.queries.get(&part);
            Some(SuspectedPart {
                part: part.to_string(),
                ends: ends.total,
                independent: ends.independent,
                since: ends.first,
                answered_before: query.is_some_and(|query| query.answered_before),
            })
        });
        let mut suspected: Vec<SuspectedPart> = suspected.collect();
        suspected.sort_by_key(|part| std::cmp::Reverse((part.independent, part.ends)));
        suspected.truncate(self.policy.max_holds);
        QuarantineDump {
            holds: self.holds.active(now).cloned().collect(),
            suspected,
            refused: self.refused_count,
            kept_parts: self.pending.part_count() + self.evidence.part_count(),
        }
    }
}

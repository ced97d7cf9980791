//! The scheduler: admission, choice of the next request, and the end of each request.

use std::collections::BTreeMap;

use berylwheel_types::ByteSize;
use berylwheel_types::Code;
use berylwheel_types::FastMap;
use berylwheel_types::KindId;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::WorkspaceId;

use crate::KindDump;
use crate::KindLimits;
use crate::RankDump;
use crate::ScheduleDump;
use crate::SchedulePolicy;
use crate::Served;
use crate::Work;
use crate::kind::Kind;
use crate::kind::bounded;
use crate::lane::Lane;
use crate::peers::OwnTotals;
use crate::peers::PeerTotals;
use crate::shares::Shares;

/// Where a request is on its way through the scheduler.
#[derive(Debug)]
pub(crate) enum State {
    /// It waits since `since`.
    Queued { since: Timestamp },
    /// It runs since `since`; `charge` is what its workspace and rank were charged, and `owed`
    /// tells that it started as part of the minimum share of its rank.
    Running { since: Timestamp, charge: f64, owed: bool, answered: bool, preempted: bool },
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) work: Work,
    pub(crate) state: State,
    /// How often the request was started and put back.
    pub(crate) requeues: u32,
}

/// Chooses which request a router starts next, and refuses what it cannot serve.
///
/// Every offered request ends once: it is started by [`Scheduler::next`], refused by
/// [`Scheduler::offer`], reported by [`Scheduler::expired`], or withdrawn.
///
/// ```
/// use berylwheel_schedule::{KindLimits, SchedulePolicy, Scheduler, Work};
/// use berylwheel_types::{ByteSize, Rank, Timestamp, Tokens};
///
/// let mut scheduler = Scheduler::new(SchedulePolicy::default());
/// let limits = KindLimits { queue: 8, queue_bytes: ByteSize(1 << 20), concurrency: 4 };
/// scheduler.set_kind("chat".parse().unwrap(), limits);
///
/// let now = Timestamp::from_millis(1_000);
/// let work = Work {
///     request: "q1".parse().unwrap(),
///     workspace: "w1".parse().unwrap(),
///     kind: "chat".parse().unwrap(),
///     model: None,
///     rank: Rank::Urgent,
///     cost: Tokens(100),
///     size: ByteSize(512),
///     deadline: Timestamp::from_millis(9_000),
/// };
/// scheduler.offer(now, work.clone()).unwrap();
/// assert_eq!(scheduler.next(now, &mut |_| false), None);
/// assert_eq!(scheduler.next(now, &mut |_| true), Some(work.clone()));
/// scheduler.first_token(now, &work.request);
/// scheduler.finished(now, &work.request, Tokens(80));
/// assert_eq!(scheduler.served()[0].tokens, Tokens(80));
/// ```
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) policy: SchedulePolicy,
    pub(crate) kinds: BTreeMap<KindId, Kind>,
    pub(crate) lanes: [Lane; 3],
    pub(crate) shares: Shares,
    pub(crate) entries: FastMap<RequestId, Entry>,
    pub(crate) evicted: Vec<(RequestId, Refusal)>,
    limits: FastMap<WorkspaceId, usize>,
    own: OwnTotals,
    peers: PeerTotals,
}

impl Scheduler {
    /// Returns a scheduler without kinds.
    pub fn new(policy: SchedulePolicy) -> Self {
        Self {
            policy,
            kinds: BTreeMap::new(),
            lanes: Default::default(),
            shares: Shares::new(&policy),
            entries: FastMap::default(),
            evicted: Vec::new(),
            limits: FastMap::default(),
            own: OwnTotals::default(),
            peers: PeerTotals::default(),
        }
    }

    /// Replaces the settings. Queued and running work stays.
    ///
    /// ```
    /// use berylwheel_schedule::{SchedulePolicy, Scheduler};
    /// use berylwheel_types::Millis;
    /// let mut scheduler = Scheduler::new(SchedulePolicy::default());
    /// scheduler.set_policy(SchedulePolicy { share_window: Millis(500), ..Default::default() });
    /// ```
    pub fn set_policy(&mut self, policy: SchedulePolicy) {
        self.policy = policy;
        self.shares.set_policy(&policy);
    }

    /// Adds a kind or changes its limits. Work over a lowered limit stays and is not replaced.
    pub fn set_kind(&mut self, kind: KindId, limits: KindLimits) {
        let new = || Kind::new(limits, &self.policy);
        self.kinds.entry(kind).or_insert_with(new).limits = limits;
    }

    /// Sets how many requests `workspace` may have queued or running in each kind; `None` for the
    /// limit of the policy.
    ///
    /// The limit counts per kind, so that a kind that hangs does not use up what the workspace
    /// may have in its other kinds.
    ///
    /// ```
    /// use berylwheel_schedule::{SchedulePolicy, Scheduler};
    /// let mut scheduler = Scheduler::new(SchedulePolicy::default());
    /// scheduler.set_workspace("w1".parse().unwrap(), Some(20));
    /// ```
    pub fn set_workspace(&mut self, workspace: WorkspaceId, limit: Option<usize>) {
        match limit {
            Some(limit) => self.limits.insert(workspace, limit),
            None => self.limits.remove(&workspace),
        };
    }

    /// Queues `work`.
    ///
    /// # Errors
    ///
    /// - `WorkspaceLimit`: the workspace has too much in progress in this kind.
    /// - `DeadlineUnmet`: the answer is expected after the deadline.
    /// - `QueueFull`: the kind has no queue slot or bytes left.
    /// - `UnknownKind`, `RequestRunning`: the kind is not set, or the id is in use.
    pub fn offer(&mut self, now: Timestamp, work: Work) -> Result<(), Refusal> {
        if self.entries.contains_key(&work.request) {
            return Err(Refusal::not_run(Code::RequestRunning, "the request id is in use"));
        }
        self.admit(now, &work)?;
        if let Some(kind) = self.kinds.get_mut(&work.kind) {
            kind.enqueue(now, &work);
        }
        self.lanes[work.rank.index()].push(&work);
        let state = State::Queued { since: now };
        self.entries.insert(work.request.clone(), Entry { work, state, requeues: 0 });
        Ok(())
    }

    fn admit(&mut self, now: Timestamp, work: &Work) -> Result<(), Refusal> {
        let Some(kind) = self.kinds.get(&work.kind) else {
            return Err(Refusal::not_run(Code::UnknownKind, format!("no kind {}", work.kind)));
        };
        let limit = self.limits.get(&work.workspace).copied();
        let limit = limit.unwrap_or(self.policy.workspace_limit);
        if kind.in_progress(&work.workspace) >= limit {
            let detail = format!("{limit} requests of {} in progress", work.kind);
            return Err(Refusal::not_run(Code::WorkspaceLimit, detail)
                .retry_after(bounded(kind.service_time())));
        }
        let wait = kind.wait(now, work);
        let left = work.deadline.since(now).0 as f64;
        let needed = wait + kind.time_needed(work);
        if left <= 0.0 || needed > left {
            let detail = format!("needs {} ms, {left} ms left", needed.min(1e9) as u64);
            return Err(
                Refusal::not_run(Code::DeadlineUnmet, detail).retry_after(bounded(needed - left))
            );
        }
        if kind.has_room(work.size.0) || self.make_room(now, work) {
            return Ok(());
        }
        Err(self.queue_full(now, &work.kind))
    }

    pub(crate) fn queue_full(&self, now: Timestamp, kind: &KindId) -> Refusal {
        let refusal = Refusal::not_run(Code::QueueFull, format!("the queue of {kind} is full"));
        match self.kinds.get(kind) {
            Some(kind) => refusal.retry_after(kind.retry_after(now)),
            None => refusal,
        }
    }

    /// Starts the next request that `can_start` accepts, or returns `None`.
    ///
    /// `can_start` may be asked about several requests and must not change what it is asked about.
    /// Call again until `None`, each time after the chosen request is counted at its server.
    pub fn next(
        &mut self,
        now: Timestamp,
        can_start: &mut dyn FnMut(&Work) -> bool,
    ) -> Option<Work> {
        let heads = Rank::ALL.map(|rank| self.startable(rank, can_start));
        let ready = [heads[0].is_some(), heads[1].is_some(), heads[2].is_some()];
        let idle = self.lanes.each_ref().map(|lane| lane.len() == 0);
        let rank = self.shares.choose(ready)?;
        let request = heads.into_iter().nth(rank.index())??;
        let entry = self.entries.get_mut(&request)?;
        let work = entry.work.clone();
        let State::Queued { since } = entry.state else {
            return None;
        };
        let kind = self.kinds.get_mut(&work.kind)?;
        kind.tick(now);
        kind.dequeue(&work);
        kind.start(now, &work, now > since);
        if entry.requeues == 0 {
            // Only first starts earn retries: refused requests and retries themselves earn none,
            // so a surge cannot multiply the retries.
            kind.earn_retry(&self.policy);
        }
        let charge = kind.expected(&work);
        let owed = self.shares.credit(rank) > 0.0;
        entry.state =
            State::Running { since: now, charge, owed, answered: false, preempted: false };
        self.lanes[rank.index()].start(&work, charge);
        self.shares.started(now, rank, charge, ready, idle);
        Some(work)
    }

    fn startable(&self, rank: Rank, can_start: &mut dyn FnMut(&Work) -> bool) -> Option<RequestId> {
        let mut order = self.lanes[rank.index()].order();
        let found = order.find(|(key, request)| {
            self.kinds.get(&key.kind).is_some_and(Kind::may_start)
                && self.entries.get(*request).is_some_and(|entry| can_start(&entry.work))
        });
        found.map(|(_, request)| request.clone())
    }

    /// Removes a queued request whose caller has left. Running requests end by
    /// [`Scheduler::finished`].
    pub fn withdraw(&mut self, request: &RequestId) {
        if matches!(self.entries.get(request), Some(Entry { state: State::Queued { .. }, .. })) {
            self.take_queued(request);
        }
    }

    /// Takes a queued request out of all counts.
    pub(crate) fn take_queued(&mut self, request: &RequestId) -> Option<Entry> {
        let entry = self.entries.remove(request)?;
        if let Some(kind) = self.kinds.get_mut(&entry.work.kind) {
            kind.dequeue(&entry.work);
        }
        self.lanes[entry.work.rank.index()].remove(&entry.work);
        Some(entry)
    }

    /// Notes that a running request has produced its first token, after which it is not preempted.
    pub fn first_token(&mut self, _now: Timestamp, request: &RequestId) {
        let state = self.entries.get_mut(request).map(|entry| &mut entry.state);
        if let Some(State::Running { answered, .. }) = state {
            *answered = true;
        }
    }

    /// Ends a running request that used `served` tokens; zero if it failed or timed out.
    pub fn finished(&mut self, now: Timestamp, request: &RequestId, served: Tokens) {
        if matches!(self.entries.get(request), Some(Entry { state: State::Queued { .. }, .. })) {
            return;
        }
        let Some(Entry { work, state, .. }) = self.entries.remove(request) else {
            return;
        };
        let State::Running { since, charge, preempted, .. } = state else {
            return;
        };
        if let Some(kind) = self.kinds.get_mut(&work.kind) {
            if preempted {
                kind.dequeue(&work);
            }
            kind.stop(&work);
            kind.learn(&work, now.since(since), served.0);
        }
        // What failed or timed out has used its slot and stays charged. Otherwise a workspace whose
        // requests all fail would be served before the others.
        let used = if served == Tokens::ZERO { charge } else { served.0 as f64 };
        self.lanes[work.rank.index()].correct(&work.workspace, used - charge);
        self.shares.refund(now, work.rank, charge - used);
        self.own.add(now, work.workspace, work.rank, served);
    }

    /// Takes a retry out of the kind's budget and returns whether there was one.
    ///
    /// ```
    /// use berylwheel_schedule::{KindLimits, SchedulePolicy, Scheduler};
    /// use berylwheel_types::{ByteSize, Timestamp};
    /// let mut scheduler = Scheduler::new(SchedulePolicy::default());
    /// let kind = "lookup".parse().unwrap();
    /// let limits = KindLimits { queue: 8, queue_bytes: ByteSize(1 << 20), concurrency: 4 };
    /// assert!(!scheduler.try_retry(Timestamp::from_millis(0), &kind));
    /// scheduler.set_kind("lookup".parse().unwrap(), limits);
    /// assert!(scheduler.try_retry(Timestamp::from_millis(0), &kind));
    /// ```
    pub fn try_retry(&mut self, _now: Timestamp, kind: &KindId) -> bool {
        self.kinds.get_mut(kind).is_some_and(Kind::take_retry)
    }

    /// Returns the running totals of the 16 workspaces served most lately, for the heartbeat.
    pub fn served(&self) -> Vec<Served> {
        self.own.largest()
    }

    /// Weighs the queues by what the router `from` has served since its last heartbeat.
    ///
    /// ```
    /// use berylwheel_schedule::{SchedulePolicy, Scheduler, Served};
    /// use berylwheel_types::{Rank, Timestamp, Tokens};
    /// let mut scheduler = Scheduler::new(SchedulePolicy::default());
    /// let workspace = "w1".parse().unwrap();
    /// let served = [Served { workspace, rank: Rank::Normal, tokens: Tokens(500) }];
    /// scheduler.peer_served(Timestamp::from_millis(0), &"r2".parse().unwrap(), &served);
    /// ```
    pub fn peer_served(&mut self, _now: Timestamp, from: &RouterId, served: &[Served]) {
        let lead = self.policy.peer_lead;
        for Served { workspace, rank, tokens } in self.peers.update(from, served) {
            self.lanes[rank.index()].served_elsewhere(&workspace, tokens.0 as f64, lead);
        }
    }

    /// Returns the state for operators.
    ///
    /// ```
    /// use berylwheel_schedule::{SchedulePolicy, Scheduler};
    /// let scheduler = Scheduler::new(SchedulePolicy::default());
    /// assert_eq!(scheduler.dump().ranks.len(), 3);
    /// ```
    pub fn dump(&self) -> ScheduleDump {
        let rank = |rank: Rank| RankDump {
            rank,
            queued: self.lanes[rank.index()].len(),
            running: self.running(rank).count(),
            credit: self.shares.credit(rank),
            served: self.own.of_rank(rank),
        };
        let kind = |(kind, state): (&KindId, &Kind)| KindDump {
            kind: kind.clone(),
            queued: state.queued,
            queued_bytes: ByteSize(state.bytes),
            running: state.running,
            service_time: Millis(state.service_time() as u64),
            retries: state.retries(),
        };
        ScheduleDump {
            ranks: Rank::ALL.into_iter().map(rank).collect(),
            kinds: self.kinds.iter().map(kind).collect(),
        }
    }

    /// Returns the running requests of `rank`.
    pub(crate) fn running(&self, rank: Rank) -> impl Iterator<Item = &Entry> {
        let is_running = |e: &&Entry| matches!(e.state, State::Running { .. });
        self.entries.values().filter(is_running).filter(move |e| e.work.rank == rank)
    }
}

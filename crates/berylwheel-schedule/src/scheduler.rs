//! Admission control, selection of the next request and completion accounting.

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
use crate::ServedTokens;
use crate::WorkItem;
use crate::kind::Kind;
use crate::kind::clamp_retry_after;
use crate::peers::OwnTotals;
use crate::peers::PeerTotals;
use crate::queue::RankQueue;
use crate::shares::MinimumShares;

/// Lifecycle state of a scheduled request.
#[derive(Debug)]
pub(crate) enum RequestState {
    /// Queued since `since`.
    Queued { since: Timestamp },
    /// Running since `since`. `charge` is the number of tokens charged to its workspace and rank;
    /// `guaranteed` is set if it was started to meet the minimum share of its rank.
    Running { since: Timestamp, charge: f64, guaranteed: bool, streaming: bool, preempted: bool },
}

/// A request held by the scheduler, with its current state.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) work: WorkItem,
    pub(crate) state: RequestState,
    /// Number of times the request was started and then requeued.
    pub(crate) requeues: u32,
}

/// Selects the next request to start and refuses requests that cannot be served.
///
/// Each submitted request leaves the queue exactly once: [`Scheduler::start_next`] starts it,
/// [`Scheduler::submit`] refuses it, [`Scheduler::take_dropped`] reports it as dropped, or
/// [`Scheduler::cancel`] cancels it.
///
/// ```
/// use berylwheel_schedule::{KindLimits, SchedulePolicy, Scheduler, WorkItem};
/// use berylwheel_types::{ByteSize, Rank, Timestamp, Tokens};
///
/// let mut scheduler = Scheduler::new(SchedulePolicy::default());
/// let limits = KindLimits { queue_length: 8, queue_bytes: ByteSize(1 << 20), concurrency: 4 };
/// scheduler.set_kind_limits("chat".parse().unwrap(), limits);
///
/// let now = Timestamp::from_millis(1_000);
/// let work = WorkItem {
///     request: "q1".parse().unwrap(),
///     workspace: "w1".parse().unwrap(),
///     kind: "chat".parse().unwrap(),
///     model: None,
///     rank: Rank::Urgent,
///     cost: Tokens(100),
///     size: ByteSize(512),
///     deadline: Timestamp::from_millis(9_000),
/// };
/// scheduler.submit(now, work.clone()).unwrap();
/// assert_eq!(scheduler.start_next(now, &mut |_| false), None);
/// assert_eq!(scheduler.start_next(now, &mut |_| true), Some(work.clone()));
/// scheduler.record_first_token(now, &work.request);
/// scheduler.finish(now, &work.request, Tokens(80));
/// assert_eq!(scheduler.served_totals()[0].tokens, Tokens(80));
/// ```
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) policy: SchedulePolicy,
    pub(crate) kinds: BTreeMap<KindId, Kind>,
    pub(crate) queues: [RankQueue; 3],
    pub(crate) shares: MinimumShares,
    pub(crate) entries: FastMap<RequestId, Entry>,
    pub(crate) dropped: Vec<(RequestId, Refusal)>,
    workspace_limits: FastMap<WorkspaceId, usize>,
    own_totals: OwnTotals,
    peer_totals: PeerTotals,
}

impl Scheduler {
    /// Creates a scheduler with no kinds of work configured.
    pub fn new(policy: SchedulePolicy) -> Self {
        Self {
            policy,
            kinds: BTreeMap::new(),
            queues: Default::default(),
            shares: MinimumShares::new(&policy),
            entries: FastMap::default(),
            dropped: Vec::new(),
            workspace_limits: FastMap::default(),
            own_totals: OwnTotals::default(),
            peer_totals: PeerTotals::default(),
        }
    }

    /// Replaces the policy. Queued and running requests are not affected.
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

    /// Adds a kind of work or updates its limits.
    ///
    /// Requests above a lowered limit are kept, but no new ones are accepted until usage falls
    /// below the limit.
    pub fn set_kind_limits(&mut self, kind: KindId, limits: KindLimits) {
        let new = || Kind::new(limits, &self.policy);
        self.kinds.entry(kind).or_insert_with(new).limits = limits;
    }

    /// Sets the maximum number of queued and running requests of `workspace` in each kind. `None`
    /// restores the default from the policy.
    ///
    /// The limit applies per kind, so that a hanging kind cannot exhaust the limit of the
    /// workspace's other kinds.
    ///
    /// ```
    /// use berylwheel_schedule::{SchedulePolicy, Scheduler};
    /// let mut scheduler = Scheduler::new(SchedulePolicy::default());
    /// scheduler.set_workspace_limit("w1".parse().unwrap(), Some(20));
    /// ```
    pub fn set_workspace_limit(&mut self, workspace: WorkspaceId, limit: Option<usize>) {
        match limit {
            Some(limit) => self.workspace_limits.insert(workspace, limit),
            None => self.workspace_limits.remove(&workspace),
        };
    }

    /// Admits `work` and adds it to the queue of its rank.
    ///
    /// # Errors
    ///
    /// - `WorkspaceLimit`: the workspace has reached its limit of requests in this kind.
    /// - `DeadlineUnmet`: the request is not expected to complete before its deadline.
    /// - `QueueFull`: the queue of the kind has no free slot or not enough free bytes.
    /// - `UnknownKind`: the kind is not configured.
    /// - `RequestRunning`: the request ID is already in use.
    pub fn submit(&mut self, now: Timestamp, work: WorkItem) -> Result<(), Refusal> {
        if self.entries.contains_key(&work.request) {
            return Err(Refusal::not_run(Code::RequestRunning, "request ID is already in use"));
        }
        self.admit(now, &work)?;
        if let Some(kind) = self.kinds.get_mut(&work.kind) {
            kind.enqueue(now, &work);
        }
        self.queues[work.rank.index()].push(&work);
        let state = RequestState::Queued { since: now };
        self.entries.insert(work.request.clone(), Entry { work, state, requeues: 0 });
        Ok(())
    }

    /// Checks limits, deadline and queue room. May evict a request of a larger workspace.
    fn admit(&mut self, now: Timestamp, work: &WorkItem) -> Result<(), Refusal> {
        let Some(kind) = self.kinds.get(&work.kind) else {
            return Err(Refusal::not_run(
                Code::UnknownKind,
                format!("kind {} is not configured", work.kind),
            ));
        };
        let limit = self.workspace_limits.get(&work.workspace).copied();
        let limit = limit.unwrap_or(self.policy.workspace_limit);
        if kind.in_progress(&work.workspace) >= limit {
            let detail = format!("limit of {limit} {} requests reached", work.kind);
            return Err(Refusal::not_run(Code::WorkspaceLimit, detail)
                .retry_after(clamp_retry_after(kind.service_time())));
        }
        let delay = kind.queueing_delay(now, work);
        let remaining = work.deadline.since(now).0 as f64;
        let needed = delay + kind.expected_time(work);
        if remaining <= 0.0 || needed > remaining {
            let detail = format!(
                "estimated {} ms to complete, deadline in {remaining} ms",
                needed.min(1e9) as u64
            );
            return Err(Refusal::not_run(Code::DeadlineUnmet, detail)
                .retry_after(clamp_retry_after(needed - remaining)));
        }
        if kind.has_queue_room(work.size.0) || self.evict_for(now, work) {
            return Ok(());
        }
        Err(self.queue_full_refusal(now, &work.kind))
    }

    pub(crate) fn queue_full_refusal(&self, now: Timestamp, kind: &KindId) -> Refusal {
        let refusal = Refusal::not_run(Code::QueueFull, format!("queue of kind {kind} is full"));
        match self.kinds.get(kind) {
            Some(kind) => refusal.retry_after(kind.retry_after(now)),
            None => refusal,
        }
    }

    /// Starts the next request that `can_start` accepts. Returns `None` if there is none.
    ///
    /// `can_start` may be called for several requests and must have no side effects. Call this
    /// method until it returns `None`, and update the load of the chosen request's backend server
    /// before each further call.
    pub fn start_next(
        &mut self,
        now: Timestamp,
        can_start: &mut dyn FnMut(&WorkItem) -> bool,
    ) -> Option<WorkItem> {
        let heads = Rank::ALL.map(|rank| self.first_startable(rank, can_start));
        let ready = [heads[0].is_some(), heads[1].is_some(), heads[2].is_some()];
        let idle = self.queues.each_ref().map(|queue| queue.len() == 0);
        let rank = self.shares.next_rank(ready)?;
        let request = heads.into_iter().nth(rank.index())??;
        let entry = self.entries.get_mut(&request)?;
        let work = entry.work.clone();
        let RequestState::Queued { since } = entry.state else {
            return None;
        };
        let kind = self.kinds.get_mut(&work.kind)?;
        kind.advance_rate(now);
        kind.dequeue(&work);
        kind.acquire_slot(now, &work, now > since);
        if entry.requeues == 0 {
            // Only the first start of a request refills the retry budget. Refused requests and
            // retries do not, so that a load surge cannot amplify retries.
            kind.refill_retries(&self.policy);
        }
        let charge = kind.expected_tokens(&work);
        let guaranteed = self.shares.credit(rank) > 0.0;
        entry.state = RequestState::Running {
            since: now,
            charge,
            guaranteed,
            streaming: false,
            preempted: false,
        };
        self.queues[rank.index()].start(&work, charge);
        self.shares.charge(now, rank, charge, ready, idle);
        Some(work)
    }

    /// Returns the first request of `rank` in service order that can start now.
    fn first_startable(
        &self,
        rank: Rank,
        can_start: &mut dyn FnMut(&WorkItem) -> bool,
    ) -> Option<RequestId> {
        let mut heads = self.queues[rank.index()].heads();
        let found = heads.find(|(key, request)| {
            self.kinds.get(&key.kind).is_some_and(Kind::has_free_slot)
                && self.entries.get(*request).is_some_and(|entry| can_start(&entry.work))
        });
        found.map(|(_, request)| request.clone())
    }

    /// Cancels a queued request, for example because its client has disconnected. Running requests
    /// are not affected; they end with [`Scheduler::finish`].
    pub fn cancel(&mut self, request: &RequestId) {
        if matches!(
            self.entries.get(request),
            Some(Entry { state: RequestState::Queued { .. }, .. })
        ) {
            self.remove_queued(request);
        }
    }

    /// Removes a queued request from its queue and from all counters.
    pub(crate) fn remove_queued(&mut self, request: &RequestId) -> Option<Entry> {
        let entry = self.entries.remove(request)?;
        if let Some(kind) = self.kinds.get_mut(&entry.work.kind) {
            kind.dequeue(&entry.work);
        }
        self.queues[entry.work.rank.index()].remove(&entry.work);
        Some(entry)
    }

    /// Records that a running request has produced its first token and can no longer be preempted.
    pub fn record_first_token(&mut self, _now: Timestamp, request: &RequestId) {
        let state = self.entries.get_mut(request).map(|entry| &mut entry.state);
        if let Some(RequestState::Running { streaming, .. }) = state {
            *streaming = true;
        }
    }

    /// Completes a running request that used `served` tokens. Pass zero if it failed or timed out.
    pub fn finish(&mut self, now: Timestamp, request: &RequestId, served: Tokens) {
        if matches!(
            self.entries.get(request),
            Some(Entry { state: RequestState::Queued { .. }, .. })
        ) {
            return;
        }
        let Some(Entry { work, state, .. }) = self.entries.remove(request) else {
            return;
        };
        let RequestState::Running { since, charge, preempted, .. } = state else {
            return;
        };
        if let Some(kind) = self.kinds.get_mut(&work.kind) {
            if preempted {
                kind.dequeue(&work);
            }
            kind.release_slot(&work);
            kind.record_completion(&work, now.since(since), served.0);
        }
        // Failed and timed-out requests occupied a slot and keep their full charge. Otherwise a
        // workspace whose requests all fail would be served before the others.
        let used = if served == Tokens::ZERO { charge } else { served.0 as f64 };
        self.queues[work.rank.index()].adjust_charge(&work.workspace, used - charge);
        self.shares.refund(now, work.rank, charge - used);
        self.own_totals.add(now, work.workspace, work.rank, served);
    }

    /// Consumes one retry from the budget of `kind`. Returns `false` if the budget is exhausted.
    ///
    /// ```
    /// use berylwheel_schedule::{KindLimits, SchedulePolicy, Scheduler};
    /// use berylwheel_types::{ByteSize, Timestamp};
    /// let mut scheduler = Scheduler::new(SchedulePolicy::default());
    /// let kind = "lookup".parse().unwrap();
    /// let limits = KindLimits { queue_length: 8, queue_bytes: ByteSize(1 << 20), concurrency: 4 };
    /// assert!(!scheduler.take_retry(Timestamp::from_millis(0), &kind));
    /// scheduler.set_kind_limits("lookup".parse().unwrap(), limits);
    /// assert!(scheduler.take_retry(Timestamp::from_millis(0), &kind));
    /// ```
    pub fn take_retry(&mut self, _now: Timestamp, kind: &KindId) -> bool {
        self.kinds.get_mut(kind).is_some_and(Kind::take_retry)
    }

    /// Returns the mean time that requests of `kind` take at a server, or zero if it is unknown.
    ///
    /// ```
    /// use berylwheel_schedule::{SchedulePolicy, Scheduler};
    /// use berylwheel_types::Millis;
    /// let scheduler = Scheduler::new(SchedulePolicy::default());
    /// assert_eq!(scheduler.service_time(&"chat".parse().unwrap()), Millis(0));
    /// ```
    pub fn service_time(&self, kind: &KindId) -> Millis {
        Millis(self.kinds.get(kind).map_or(0, |kind| kind.service_time() as u64))
    }

    /// Returns the cumulative totals to send in heartbeats: the 16 pairs of workspace and rank that
    /// received the most tokens recently.
    pub fn served_totals(&self) -> Vec<ServedTokens> {
        self.own_totals.top_recent()
    }

    /// Applies the totals from a heartbeat of router `from`: the tokens it has served since its
    /// previous heartbeat move its workspaces back in the local queues.
    ///
    /// ```
    /// use berylwheel_schedule::{SchedulePolicy, Scheduler, ServedTokens};
    /// use berylwheel_types::{Rank, Timestamp, Tokens};
    /// let mut scheduler = Scheduler::new(SchedulePolicy::default());
    /// let workspace = "w1".parse().unwrap();
    /// let served = [ServedTokens { workspace, rank: Rank::Normal, tokens: Tokens(500) }];
    /// scheduler.apply_peer_totals(Timestamp::from_millis(0), &"r2".parse().unwrap(), &served);
    /// ```
    pub fn apply_peer_totals(&mut self, _now: Timestamp, from: &RouterId, served: &[ServedTokens]) {
        let max_penalty = self.policy.peer_penalty;
        for ServedTokens { workspace, rank, tokens } in self.peer_totals.update(from, served) {
            self.queues[rank.index()].charge_peer_service(&workspace, tokens.0 as f64, max_penalty);
        }
    }

    /// Returns a snapshot of the state for the state dump.
    ///
    /// ```
    /// use berylwheel_schedule::{SchedulePolicy, Scheduler};
    /// let scheduler = Scheduler::new(SchedulePolicy::default());
    /// assert_eq!(scheduler.dump().ranks.len(), 3);
    /// ```
    pub fn dump(&self) -> ScheduleDump {
        let rank = |rank: Rank| RankDump {
            rank,
            queued: self.queues[rank.index()].len(),
            running: self.running(rank).count(),
            credit: self.shares.credit(rank),
            served: self.own_totals.rank_total(rank),
        };
        let kind = |(kind, state): (&KindId, &Kind)| KindDump {
            kind: kind.clone(),
            queued: state.queued,
            queued_bytes: ByteSize(state.queued_bytes),
            running: state.running,
            service_time: Millis(state.service_time() as u64),
            retries: state.available_retries(),
        };
        ScheduleDump {
            ranks: Rank::ALL.into_iter().map(rank).collect(),
            kinds: self.kinds.iter().map(kind).collect(),
        }
    }

    /// Returns the running requests of `rank`.
    pub(crate) fn running(&self, rank: Rank) -> impl Iterator<Item = &Entry> {
        let is_running = |e: &&Entry| matches!(e.state, RequestState::Running { .. });
        self.entries.values().filter(is_running).filter(move |e| e.work.rank == rank)
    }
}

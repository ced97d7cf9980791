//! Eviction, expiry, preemption and requeueing of requests.

use std::cmp::Reverse;

use berylwheel_types::Code;
use berylwheel_types::ExecutionState;
use berylwheel_types::FastMap;
use berylwheel_types::KindId;
use berylwheel_types::Rank;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;

use crate::Scheduler;
use crate::WorkItem;
use crate::kind::clamp_retry_after;
use crate::scheduler::Entry;
use crate::scheduler::RequestState;

/// Number of restarts after which a request is no longer preempted, so that sustained
/// urgent load cannot restart it indefinitely.
const MAX_PREEMPTIONS: u32 = 3;

/// Builds the refusal of a queued request. It is reported as not run if it was never started; after
/// a requeue it is unknown how much of it a backend server has executed.
fn refusal_of(entry: &Entry, code: Code, detail: String) -> Refusal {
    match entry.requeues {
        0 => Refusal::not_run(code, detail),
        _ => Refusal::unknown(code, detail),
    }
}

impl Scheduler {
    /// Evicts the last request in a queue of the workspace with the most queued requests, if `work`
    /// belongs to a smaller workspace. Returns whether there is room for `work` now.
    pub(crate) fn evict_for(&mut self, now: Timestamp, work: &WorkItem) -> bool {
        let Some(victim) = self.select_victim(work) else {
            return false;
        };
        let full = self.queue_full_refusal(now, &work.kind);
        if let Some(entry) = self.remove_queued(&victim) {
            let detail =
                format!("evicted from the full queue of kind {} by a smaller workspace", work.kind);
            let refusal =
                Refusal { retry_after: full.retry_after, ..refusal_of(&entry, full.code, detail) };
            self.dropped.push((victim, refusal));
        }
        true
    }

    /// Selects the request to evict for `work`. It is never more urgent than `work`, and removing
    /// it makes enough room.
    fn select_victim(&self, work: &WorkItem) -> Option<RequestId> {
        let kind = self.kinds.get(&work.kind)?;
        let largest = kind.larger_workspace(&work.workspace)?;
        let ranks = Rank::ALL.into_iter().rev().filter(|rank| *rank >= work.rank);
        let victim = ranks
            .filter_map(|rank| self.queues[rank.index()].last_queued(&largest, &work.kind))
            .next()?;
        let freed = self.entries.get(victim)?.work.size.0;
        let bytes = kind.queued_bytes - freed + work.size.0;
        let fits = kind.queued <= kind.limits.queue_length && bytes <= kind.limits.queue_bytes.0;
        fits.then(|| victim.clone())
    }

    /// Removes queued requests that can no longer meet their deadline. Returns all requests dropped
    /// since the last call, including those evicted for a smaller workspace and those that did not
    /// fit into the queue in [`Scheduler::requeue`].
    ///
    /// ```
    /// use berylwheel_schedule::{KindLimits, SchedulePolicy, Scheduler, WorkItem};
    /// use berylwheel_types::{ByteSize, Code, Rank, Timestamp, Tokens};
    /// # let limits = KindLimits { queue_length: 8, queue_bytes: ByteSize(1 << 20), concurrency: 4 };
    /// let mut scheduler = Scheduler::new(SchedulePolicy::default());
    /// scheduler.set_kind_limits("bulk".parse().unwrap(), limits);
    /// # let work = WorkItem {
    /// #     request: "q1".parse().unwrap(),
    /// #     workspace: "w1".parse().unwrap(),
    /// #     kind: "bulk".parse().unwrap(),
    /// #     model: None,
    /// #     rank: Rank::Batch,
    /// #     cost: Tokens(100),
    /// #     size: ByteSize(512),
    /// #     deadline: Timestamp::from_millis(5_000),
    /// # };
    /// scheduler.submit(Timestamp::from_millis(0), work.clone()).unwrap();
    /// let dropped = scheduler.take_dropped(Timestamp::from_millis(5_000));
    /// assert_eq!(dropped[0].0, work.request);
    /// assert_eq!(dropped[0].1.code, Code::DeadlineUnmet);
    /// ```
    pub fn take_dropped(&mut self, now: Timestamp) -> Vec<(RequestId, Refusal)> {
        for kind in self.kinds.values_mut() {
            kind.advance_rate(now);
        }
        let mut overdue: Vec<RequestId> = Vec::new();
        for request in self.queues.iter().flat_map(|queue| queue.requests()) {
            if self.entries.get(request).is_some_and(|entry| self.misses_deadline(now, &entry.work))
            {
                overdue.push(request.clone());
            }
        }
        let mut dropped = std::mem::take(&mut self.dropped);
        for request in overdue {
            let Some(entry) = self.remove_queued(&request) else {
                continue;
            };
            let detail =
                format!("not started in time to meet the deadline {}", entry.work.deadline);
            let refusal = refusal_of(&entry, Code::DeadlineUnmet, detail);
            let kind = self.kinds.get(&entry.work.kind);
            let delay = kind.map_or(clamp_retry_after(0.0), |kind| kind.retry_after(now));
            dropped.push((request, refusal.retry_after(delay)));
        }
        dropped
    }

    fn misses_deadline(&self, now: Timestamp, work: &WorkItem) -> bool {
        let needed = self.kinds.get(&work.kind).map_or(0.0, |kind| kind.expected_time(work));
        now >= work.deadline || needed > work.deadline.since(now).0 as f64
    }

    /// Selects batch requests to preempt because urgent requests have waited for more than half of
    /// their target time. Cancel each returned request at its backend server, then call
    /// [`Scheduler::requeue`].
    ///
    /// Only requests that have produced no token are selected. A queue slot is reserved for each,
    /// so that requeueing it exceeds no limit. Preemption does not reduce the batch rank below its
    /// minimum share of the running tokens and spares requests that were started to meet that
    /// share: preempting at every peak would leave the rank below its share on average.
    ///
    /// ```
    /// use berylwheel_schedule::{SchedulePolicy, Scheduler};
    /// use berylwheel_types::Timestamp;
    /// let mut scheduler = Scheduler::new(SchedulePolicy::default());
    /// for request in scheduler.preempt(Timestamp::from_millis(0)) {
    ///     // Cancel the request at its backend server first.
    ///     scheduler.requeue(Timestamp::from_millis(0), &request);
    /// }
    /// ```
    pub fn preempt(&mut self, now: Timestamp) -> Vec<RequestId> {
        let mut chosen = Vec::new();
        if !self.policy.preemption {
            return chosen;
        }
        for no_model in [false, true] {
            let waiting = self.count_delayed_urgent(now, no_model);
            let pending = self.running(Rank::Batch).filter(|e| is_preempted(e));
            let pending = pending.filter(|e| e.work.model.is_none() == no_model).count();
            for request in self.select_preemptable(no_model, waiting.saturating_sub(pending)) {
                self.mark_preempted(now, &request);
                chosen.push(request);
            }
        }
        chosen
    }

    /// Counts urgent requests that have waited too long for a backend server. Requests blocked by
    /// the concurrency limit of their own kind are excluded, since preemption does not help them.
    fn count_delayed_urgent(&self, now: Timestamp, no_model: bool) -> usize {
        let max_wait = self.policy.rank(Rank::Urgent).latency_target.0 / 2;
        let mut by_kind: FastMap<&KindId, usize> = FastMap::default();
        for request in self.queues[Rank::Urgent.index()].requests() {
            let Some(Entry { work, state: RequestState::Queued { since }, .. }) =
                self.entries.get(request)
            else {
                continue;
            };
            if work.model.is_none() == no_model && now.since(*since).0 > max_wait {
                *by_kind.entry(&work.kind).or_default() += 1;
            }
        }
        let free_slots = |kind: &KindId| {
            let kind = self.kinds.get(kind);
            kind.map_or(0, |k| k.limits.concurrency.saturating_sub(k.running))
        };
        by_kind.into_iter().map(|(kind, waiting)| waiting.min(free_slots(kind))).sum()
    }

    /// Selects up to `limit` batch requests to preempt, the most recently started first.
    fn select_preemptable(&self, no_model: bool, limit: usize) -> Vec<RequestId> {
        if limit == 0 {
            return Vec::new();
        }
        let tokens = |rank| self.running(rank).map(|e| e.work.cost.0 as f64).sum::<f64>();
        let all: f64 = Rank::ALL.into_iter().map(tokens).sum();
        let mut spare = tokens(Rank::Batch) - all * self.shares.min_share(Rank::Batch);
        let mut candidates: Vec<_> = self
            .running(Rank::Batch)
            .filter(|e| e.work.model.is_none() == no_model && e.requeues < MAX_PREEMPTIONS)
            .filter_map(|e| match e.state {
                RequestState::Running {
                    since,
                    guaranteed: false,
                    streaming: false,
                    preempted: false,
                    ..
                } => Some((since, e)),
                _ => None,
            })
            .collect();
        // Preempting the most recently started requests wastes the least work.
        candidates.sort_by_key(|(since, e)| (Reverse(*since), e.work.request.clone()));
        let mut reserved: FastMap<&KindId, (usize, u64)> = FastMap::default();
        let mut chosen = Vec::new();
        for (_, Entry { work, .. }) in candidates {
            let Some(kind) = self.kinds.get(&work.kind) else {
                continue;
            };
            let (slots, bytes) = reserved.entry(&work.kind).or_default();
            let fits = kind.queued + *slots < kind.limits.queue_length
                && kind.queued_bytes + *bytes + work.size.0 <= kind.limits.queue_bytes.0;
            if chosen.len() < limit && fits && work.cost.0 as f64 <= spare {
                spare -= work.cost.0 as f64;
                *slots += 1;
                *bytes += work.size.0;
                chosen.push(work.request.clone());
            }
        }
        chosen
    }

    /// Marks a running request as preempted and reserves a queue slot for it.
    fn mark_preempted(&mut self, now: Timestamp, request: &RequestId) {
        let Some(Entry { work, state: RequestState::Running { preempted, .. }, .. }) =
            self.entries.get_mut(request)
        else {
            return;
        };
        *preempted = true;
        if let Some(kind) = self.kinds.get_mut(&work.kind) {
            kind.enqueue(now, work);
        }
    }

    /// Returns a running request to the front of its queue, after a preemption or before a retry on
    /// another backend server. If the queue of its kind is full, the request is dropped and
    /// reported by [`Scheduler::take_dropped`] instead.
    ///
    /// No part of the response may have been sent to the client.
    ///
    /// ```
    /// use berylwheel_schedule::{KindLimits, SchedulePolicy, Scheduler, WorkItem};
    /// use berylwheel_types::{ByteSize, Rank, Timestamp, Tokens};
    /// # let limits = KindLimits { queue_length: 8, queue_bytes: ByteSize(1 << 20), concurrency: 4 };
    /// let mut scheduler = Scheduler::new(SchedulePolicy::default());
    /// scheduler.set_kind_limits("bulk".parse().unwrap(), limits);
    /// # let work = WorkItem {
    /// #     request: "q1".parse().unwrap(),
    /// #     workspace: "w1".parse().unwrap(),
    /// #     kind: "bulk".parse().unwrap(),
    /// #     model: None,
    /// #     rank: Rank::Batch,
    /// #     cost: Tokens(100),
    /// #     size: ByteSize(512),
    /// #     deadline: Timestamp::from_millis(5_000),
    /// # };
    /// scheduler.submit(Timestamp::from_millis(0), work.clone()).unwrap();
    /// let now = Timestamp::from_millis(10);
    /// scheduler.start_next(now, &mut |_| true).unwrap();
    /// // The backend server was unreachable.
    /// scheduler.requeue(now, &work.request);
    /// assert_eq!(scheduler.start_next(now, &mut |_| true), Some(work));
    /// ```
    pub fn requeue(&mut self, now: Timestamp, request: &RequestId) {
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        let RequestState::Running { charge, preempted, .. } = entry.state else {
            return;
        };
        let Some(kind) = self.kinds.get_mut(&entry.work.kind) else {
            return;
        };
        entry.requeues += 1;
        kind.advance_rate(now);
        kind.release_slot(&entry.work);
        let queue = &mut self.queues[entry.work.rank.index()];
        queue.adjust_charge(&entry.work.workspace, -charge);
        self.shares.reverse_charge(entry.work.rank, charge);
        if !preempted && !kind.has_queue_room(entry.work.size.0) {
            let kind = entry.work.kind.clone();
            let full = self.queue_full_refusal(now, &kind);
            self.entries.remove(request);
            self.dropped.push((request.clone(), Refusal { ran: ExecutionState::Unknown, ..full }));
            return;
        }
        if !preempted {
            kind.enqueue(now, &entry.work);
        }
        entry.state = RequestState::Queued { since: now };
        queue.push_front(&entry.work);
    }
}

fn is_preempted(entry: &Entry) -> bool {
    matches!(entry.state, RequestState::Running { preempted: true, .. })
}

//! Eviction, expiry, preemption and requeueing of requests.

use std::cmp::Reverse;

use berylwheel_types::Code;
use berylwheel_types::FastMap;
use berylwheel_types::KindId;
use berylwheel_types::Ran;
use berylwheel_types::Rank;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;

use crate::Scheduler;
use crate::Work;
use crate::kind::bounded;
use crate::scheduler::Entry;
use crate::scheduler::State;

/// Maximum number of restarts after which a request is no longer preempted, so that sustained
/// urgent load cannot restart it indefinitely.
const MOST_PREEMPTIONS: u32 = 3;

/// Builds the refusal of a queued request. It is reported as not run if it was never started; after
/// a requeue it is unknown how much of it a backend server has executed.
fn refuse(entry: &Entry, code: Code, detail: String) -> Refusal {
    match entry.requeues {
        0 => Refusal::not_run(code, detail),
        _ => Refusal::unknown(code, detail),
    }
}

impl Scheduler {
    /// Evicts the last request in a queue of the workspace with the most queued requests, if `work`
    /// belongs to a smaller workspace. Returns whether there is room for `work` now.
    pub(crate) fn make_room(&mut self, now: Timestamp, work: &Work) -> bool {
        let Some(victim) = self.victim(work) else {
            return false;
        };
        let full = self.queue_full(now, &work.kind);
        if let Some(entry) = self.take_queued(&victim) {
            let detail =
                format!("evicted from the full queue of kind {} by a smaller workspace", work.kind);
            let refusal =
                Refusal { retry_after: full.retry_after, ..refuse(&entry, full.code, detail) };
            self.evicted.push((victim, refusal));
        }
        true
    }

    /// Selects the request to evict for `work`. It is never more urgent than `work`, and freeing it
    /// must make enough room.
    fn victim(&self, work: &Work) -> Option<RequestId> {
        let kind = self.kinds.get(&work.kind)?;
        let largest = kind.larger_caller(&work.workspace)?;
        let less_urgent = Rank::ALL.into_iter().rev().filter(|rank| *rank >= work.rank);
        let victim = less_urgent
            .filter_map(|rank| self.lanes[rank.index()].newest(&largest, &work.kind))
            .next()?;
        let freed = self.entries.get(victim)?.work.size.0;
        let bytes = kind.bytes - freed + work.size.0;
        let fits = kind.queued <= kind.limits.queue && bytes <= kind.limits.queue_bytes.0;
        fits.then(|| victim.clone())
    }

    /// Removes queued requests that can no longer meet their deadline. Returns all requests dropped
    /// since the last call, including those evicted for a smaller workspace and those that did not
    /// fit into the queue in [`Scheduler::requeue`].
    ///
    /// ```
    /// use berylwheel_schedule::{KindLimits, SchedulePolicy, Scheduler, Work};
    /// use berylwheel_types::{ByteSize, Code, Rank, Timestamp, Tokens};
    /// # let limits = KindLimits { queue: 8, queue_bytes: ByteSize(1 << 20), concurrency: 4 };
    /// let mut scheduler = Scheduler::new(SchedulePolicy::default());
    /// scheduler.set_kind("bulk".parse().unwrap(), limits);
    /// # let work = Work {
    /// #     request: "q1".parse().unwrap(),
    /// #     workspace: "w1".parse().unwrap(),
    /// #     kind: "bulk".parse().unwrap(),
    /// #     model: None,
    /// #     rank: Rank::Batch,
    /// #     cost: Tokens(100),
    /// #     size: ByteSize(512),
    /// #     deadline: Timestamp::from_millis(5_000),
    /// # };
    /// scheduler.offer(Timestamp::from_millis(0), work.clone()).unwrap();
    /// let expired = scheduler.expired(Timestamp::from_millis(5_000));
    /// assert_eq!(expired[0].0, work.request);
    /// assert_eq!(expired[0].1.code, Code::DeadlineUnmet);
    /// ```
    pub fn expired(&mut self, now: Timestamp) -> Vec<(RequestId, Refusal)> {
        for kind in self.kinds.values_mut() {
            kind.tick(now);
        }
        let mut late: Vec<RequestId> = Vec::new();
        for request in self.lanes.iter().flat_map(|lane| lane.requests()) {
            if self.entries.get(request).is_some_and(|entry| self.is_late(now, &entry.work)) {
                late.push(request.clone());
            }
        }
        let mut ended = std::mem::take(&mut self.evicted);
        for request in late {
            let Some(entry) = self.take_queued(&request) else {
                continue;
            };
            let detail =
                format!("not started in time to meet the deadline {}", entry.work.deadline);
            let refusal = refuse(&entry, Code::DeadlineUnmet, detail);
            let kind = self.kinds.get(&entry.work.kind);
            let wait = kind.map_or(bounded(0.0), |kind| kind.retry_after(now));
            ended.push((request, refusal.retry_after(wait)));
        }
        ended
    }

    fn is_late(&self, now: Timestamp, work: &Work) -> bool {
        let needed = self.kinds.get(&work.kind).map_or(0.0, |kind| kind.time_needed(work));
        now >= work.deadline || needed > work.deadline.since(now).0 as f64
    }

    /// Selects batch requests to preempt because urgent requests have waited for more than half of
    /// their target time. Cancel each returned request at its backend server, then call
    /// [`Scheduler::requeue`].
    ///
    /// Only requests that have produced no token are selected. A queue slot is reserved for each,
    /// so that requeueing it exceeds no limit. Preemption does not reduce the batch rank below its
    /// minimum share of the running tokens and spares requests that were started to meet that
    /// share. Otherwise the rank would get less than its minimum share on average.
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
        for plain in [false, true] {
            let waiting = self.urgent_waiting(now, plain);
            let pending = self.running(Rank::Batch).filter(|e| is_preempted(e));
            let pending = pending.filter(|e| e.work.model.is_none() == plain).count();
            for request in self.preemptable(plain, waiting.saturating_sub(pending)) {
                self.mark_preempted(now, &request);
                chosen.push(request);
            }
        }
        chosen
    }

    /// Counts urgent requests that have waited too long for a backend server. Requests blocked by
    /// the concurrency limit of their own kind are excluded, since preemption does not help them.
    fn urgent_waiting(&self, now: Timestamp, plain: bool) -> usize {
        let patience = self.policy.rank(Rank::Urgent).target.0 / 2;
        let mut by_kind: FastMap<&KindId, usize> = FastMap::default();
        for request in self.lanes[Rank::Urgent.index()].requests() {
            let Some(Entry { work, state: State::Queued { since }, .. }) =
                self.entries.get(request)
            else {
                continue;
            };
            if work.model.is_none() == plain && now.since(*since).0 > patience {
                *by_kind.entry(&work.kind).or_default() += 1;
            }
        }
        let free = |kind: &KindId| {
            let kind = self.kinds.get(kind);
            kind.map_or(0, |k| k.limits.concurrency.saturating_sub(k.running))
        };
        by_kind.into_iter().map(|(kind, waiting)| waiting.min(free(kind))).sum()
    }

    /// Selects up to `most` batch requests to preempt, the most recently started first.
    fn preemptable(&self, plain: bool, most: usize) -> Vec<RequestId> {
        if most == 0 {
            return Vec::new();
        }
        let tokens = |rank| self.running(rank).map(|e| e.work.cost.0 as f64).sum::<f64>();
        let all: f64 = Rank::ALL.into_iter().map(tokens).sum();
        let mut spare = tokens(Rank::Batch) - all * self.shares.floor(Rank::Batch);
        let mut streams: Vec<_> = self
            .running(Rank::Batch)
            .filter(|e| e.work.model.is_none() == plain && e.requeues < MOST_PREEMPTIONS)
            .filter_map(|e| match e.state {
                State::Running {
                    since, owed: false, answered: false, preempted: false, ..
                } => Some((since, e)),
                _ => None,
            })
            .collect();
        // Preempting the most recently started requests wastes the least work.
        streams.sort_by_key(|(since, e)| (Reverse(*since), e.work.request.clone()));
        let mut slots: FastMap<&KindId, (usize, u64)> = FastMap::default();
        let mut chosen = Vec::new();
        for (_, Entry { work, .. }) in streams {
            let Some(kind) = self.kinds.get(&work.kind) else {
                continue;
            };
            let (taken, bytes) = slots.entry(&work.kind).or_default();
            let room = kind.queued + *taken < kind.limits.queue
                && kind.bytes + *bytes + work.size.0 <= kind.limits.queue_bytes.0;
            if chosen.len() < most && room && work.cost.0 as f64 <= spare {
                spare -= work.cost.0 as f64;
                *taken += 1;
                *bytes += work.size.0;
                chosen.push(work.request.clone());
            }
        }
        chosen
    }

    /// Marks a running request as preempted and reserves a queue slot for it.
    fn mark_preempted(&mut self, now: Timestamp, request: &RequestId) {
        let Some(Entry { work, state: State::Running { preempted, .. }, .. }) =
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
    /// reported by [`Scheduler::expired`] instead.
    ///
    /// No part of the response may have been sent to the client.
    ///
    /// ```
    /// use berylwheel_schedule::{KindLimits, SchedulePolicy, Scheduler, Work};
    /// use berylwheel_types::{ByteSize, Rank, Timestamp, Tokens};
    /// # let limits = KindLimits { queue: 8, queue_bytes: ByteSize(1 << 20), concurrency: 4 };
    /// let mut scheduler = Scheduler::new(SchedulePolicy::default());
    /// scheduler.set_kind("bulk".parse().unwrap(), limits);
    /// # let work = Work {
    /// #     request: "q1".parse().unwrap(),
    /// #     workspace: "w1".parse().unwrap(),
    /// #     kind: "bulk".parse().unwrap(),
    /// #     model: None,
    /// #     rank: Rank::Batch,
    /// #     cost: Tokens(100),
    /// #     size: ByteSize(512),
    /// #     deadline: Timestamp::from_millis(5_000),
    /// # };
    /// scheduler.offer(Timestamp::from_millis(0), work.clone()).unwrap();
    /// let now = Timestamp::from_millis(10);
    /// scheduler.next(now, &mut |_| true).unwrap();
    /// // The backend server was unreachable.
    /// scheduler.requeue(now, &work.request);
    /// assert_eq!(scheduler.next(now, &mut |_| true), Some(work));
    /// ```
    pub fn requeue(&mut self, now: Timestamp, request: &RequestId) {
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        let State::Running { charge, preempted, .. } = entry.state else {
            return;
        };
        let Some(kind) = self.kinds.get_mut(&entry.work.kind) else {
            return;
        };
        entry.requeues += 1;
        kind.tick(now);
        kind.stop(&entry.work);
        let lane = &mut self.lanes[entry.work.rank.index()];
        lane.correct(&entry.work.workspace, -charge);
        self.shares.undo(entry.work.rank, charge);
        if !preempted && !kind.has_room(entry.work.size.0) {
            let kind = entry.work.kind.clone();
            let full = self.queue_full(now, &kind);
            self.entries.remove(request);
            self.evicted.push((request.clone(), Refusal { ran: Ran::Unknown, ..full }));
            return;
        }
        if !preempted {
            kind.enqueue(now, &entry.work);
        }
        entry.state = State::Queued { since: now };
        lane.push_front(&entry.work);
    }
}

fn is_preempted(entry: &Entry) -> bool {
    matches!(entry.state, State::Running { preempted: true, .. })
}

//! Limits, counters and estimates of one kind of work.

use std::collections::BTreeMap;

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::WorkspaceId;

use crate::KindLimits;
use crate::SchedulePolicy;
use crate::Work;
use crate::estimate::Mean;
use crate::estimate::ServiceRate;

/// Minimum `retry_after` of a refusal. Retries within 100 ms add load but are unlikely to succeed.
const LEAST_RETRY: f64 = 100.0;
/// Maximum `retry_after` of a refusal. Estimates beyond 30 s are unreliable.
const MOST_RETRY: f64 = 30_000.0;

/// Queued and running requests of one workspace in a kind.
#[derive(Debug, Default)]
struct Caller {
    queued: usize,
    running: usize,
    /// Expected tokens of the queued requests, by [`Rank::index`](berylwheel_types::Rank::index).
    tokens: [f64; 3],
}

/// State of one kind of work.
#[derive(Debug)]
pub(crate) struct Kind {
    pub(crate) limits: KindLimits,
    pub(crate) queued: usize,
    pub(crate) bytes: u64,
    pub(crate) running: usize,
    callers: BTreeMap<WorkspaceId, Caller>,
    rate: ServiceRate,
    /// Time from start to completion in milliseconds.
    service: Mean,
    /// Tokens used per request.
    tokens: Mean,
    /// Tokens used, as a fraction of the request's upper bound.
    usage: Mean,
    /// Retry budget; the fractional part accumulates until a whole retry is available.
    retries: f64,
}

impl Kind {
    pub(crate) fn new(limits: KindLimits, policy: &SchedulePolicy) -> Self {
        Self {
            limits,
            queued: 0,
            bytes: 0,
            running: 0,
            callers: BTreeMap::new(),
            rate: ServiceRate::new(),
            service: Mean::new(),
            tokens: Mean::new(),
            usage: Mean::new(),
            retries: f64::from(policy.retry_burst),
        }
    }

    /// Returns the number of tokens that `work` is expected to use. Requests with a cost of zero
    /// count as one token, so that fair queueing applies to them too.
    pub(crate) fn expected(&self, work: &Work) -> f64 {
        work.cost.0.max(1) as f64 * self.usage.or(1.0)
    }

    pub(crate) fn has_room(&self, size: u64) -> bool {
        self.queued < self.limits.queue
            && self.bytes.saturating_add(size) <= self.limits.queue_bytes.0
    }

    pub(crate) fn may_start(&self) -> bool {
        self.running < self.limits.concurrency
    }

    /// Returns the number of queued and running requests of `workspace`.
    pub(crate) fn in_progress(&self, workspace: &WorkspaceId) -> usize {
        self.callers.get(workspace).map_or(0, |c| c.queued + c.running)
    }

    /// Returns the workspace with the most queued requests, if it has more than `workspace` would
    /// have after queueing one more request.
    pub(crate) fn larger_caller(&self, workspace: &WorkspaceId) -> Option<WorkspaceId> {
        let own = self.callers.get(workspace).map_or(0, |c| c.queued);
        let (largest, caller) = self.callers.iter().max_by_key(|(_, c)| c.queued)?;
        (caller.queued > own + 1).then(|| largest.clone())
    }

    /// Acquires a queue slot for `work`.
    pub(crate) fn enqueue(&mut self, now: Timestamp, work: &Work) {
        self.rate.advance(now, self.queued > 0);
        let tokens = self.expected(work);
        self.queued += 1;
        self.bytes += work.size.0;
        let caller = self.callers.entry(work.workspace.clone()).or_default();
        caller.queued += 1;
        caller.tokens[work.rank.index()] += tokens;
    }

    /// Releases the queue slot of `work`.
    pub(crate) fn dequeue(&mut self, work: &Work) {
        let tokens = self.expected(work);
        self.queued -= 1;
        self.bytes -= work.size.0;
        if let Some(caller) = self.callers.get_mut(&work.workspace) {
            caller.queued -= 1;
            let sum = &mut caller.tokens[work.rank.index()];
            // The estimate may have changed since the request was queued.
            *sum = if caller.queued == 0 { 0.0 } else { (*sum - tokens).max(0.0) };
        }
        self.forget(&work.workspace);
    }

    /// Acquires a concurrency slot. `waited` is set if the request had to wait in the queue.
    pub(crate) fn start(&mut self, now: Timestamp, work: &Work, waited: bool) {
        self.rate.advance(now, self.queued > 0);
        if waited {
            self.rate.started(now, self.expected(work));
        }
        self.running += 1;
        self.callers.entry(work.workspace.clone()).or_default().running += 1;
    }

    /// Releases a concurrency slot.
    pub(crate) fn stop(&mut self, work: &Work) {
        self.running -= 1;
        if let Some(caller) = self.callers.get_mut(&work.workspace) {
            caller.running -= 1;
        }
        self.forget(&work.workspace);
    }

    fn forget(&mut self, workspace: &WorkspaceId) {
        if self.in_progress(workspace) == 0 {
            self.callers.remove(workspace);
        }
    }

    /// Updates the estimates with a request that ran for `time` and used `served` tokens.
    pub(crate) fn learn(&mut self, work: &Work, time: Millis, served: u64) {
        // Failed and timed-out requests would distort the service time estimate.
        if served == 0 {
            return;
        }
        self.service.add(time.0 as f64);
        self.tokens.add(served as f64);
        self.usage.add((served as f64 / work.cost.0.max(1) as f64).min(1.0));
    }

    /// Returns the mean time from start to completion in milliseconds, or zero if unknown.
    pub(crate) fn service_time(&self) -> f64 {
        self.service.or(0.0)
    }

    /// Returns the estimated run time of `work` in milliseconds.
    ///
    /// The estimate is zero while nothing is running, so that a request is always admitted then and
    /// can correct an estimate that is too high. It scales down for requests smaller than the mean,
    /// but not up for larger ones, because their upper bound is a poor predictor of actual usage.
    pub(crate) fn time_needed(&self, work: &Work) -> f64 {
        if self.running == 0 {
            return 0.0;
        }
        let mean = self.tokens.or(1.0).max(1.0);
        self.service_time() * (self.expected(work) / mean).min(1.0)
    }

    /// Returns the expected queueing delay of new work in milliseconds.
    ///
    /// Under start-time fair queueing, no other workspace is served more than this one before the
    /// request starts. Each workspace's backlog therefore counts only up to the backlog of this
    /// workspace, including the new request.
    pub(crate) fn wait(&self, now: Timestamp, work: &Work) -> f64 {
        let queued = |c: &Caller| -> f64 { c.tokens[..=work.rank.index()].iter().sum() };
        let own = self.callers.get(&work.workspace).map_or(0.0, queued) + self.expected(work);
        // The new request itself is not part of the backlog. With an empty queue the delay is zero,
        // whatever service rate was measured while the servers were hanging.
        let front: f64 = self.callers.values().map(|caller| queued(caller).min(own)).sum();
        self.drain_time(now, front)
    }

    fn drain_time(&self, now: Timestamp, tokens: f64) -> f64 {
        match self.rate.rate(now) {
            Some(rate) if tokens > 0.0 => tokens / rate.max(f64::MIN_POSITIVE),
            _ => 0.0,
        }
    }

    /// Returns the estimated time until half of the queue has drained.
    pub(crate) fn retry_after(&self, now: Timestamp) -> Millis {
        let queued: f64 = self.callers.values().flat_map(|c| c.tokens).sum();
        bounded(self.drain_time(now, queued / 2.0).max(self.service_time()))
    }

    pub(crate) fn earn_retry(&mut self, policy: &SchedulePolicy) {
        let most = f64::from(policy.retry_burst);
        self.retries = (self.retries + policy.retry_share.fraction()).min(most);
    }

    pub(crate) fn take_retry(&mut self) -> bool {
        // The tolerance is for rounding: ten additions of 0.1 sum to slightly less than one.
        let granted = self.retries >= 1.0 - 1e-9;
        if granted {
            self.retries = (self.retries - 1.0).max(0.0);
        }
        granted
    }

    pub(crate) fn retries(&self) -> u32 {
        self.retries as u32
    }

    pub(crate) fn tick(&mut self, now: Timestamp) {
        self.rate.advance(now, self.queued > 0);
    }
}

/// Clamps `ms` to the allowed range of `retry_after`.
pub(crate) fn bounded(ms: f64) -> Millis {
    Millis(ms.clamp(LEAST_RETRY, MOST_RETRY) as u64)
}

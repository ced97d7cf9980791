//! Bounds, counts and estimates of one kind of work.

use std::collections::BTreeMap;

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::WorkspaceId;

use crate::KindLimits;
use crate::SchedulePolicy;
use crate::Work;
use crate::meter::Mean;
use crate::meter::ServiceRate;

/// Bounds of the `retry_after` of a refusal. Callers that come back within 100 ms add load without
/// a chance of service; after 30 s the estimate says little.
const LEAST_RETRY: f64 = 100.0;
const MOST_RETRY: f64 = 30_000.0;

/// What one workspace has in progress in a kind.
#[derive(Debug, Default)]
struct Caller {
    queued: usize,
    running: usize,
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
    service: Mean,
    /// Tokens used by a request.
    tokens: Mean,
    /// Tokens used per token of upper bound.
    usage: Mean,
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

    /// Returns the tokens that `work` is expected to use. Calls without a price count as one token,
    /// so that they are queued fairly too.
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

    /// Returns what `workspace` has queued and running.
    pub(crate) fn in_progress(&self, workspace: &WorkspaceId) -> usize {
        self.callers.get(workspace).map_or(0, |c| c.queued + c.running)
    }

    /// Returns the workspace with the most work queued if that is more than `workspace` would have
    /// queued with one more request.
    pub(crate) fn larger_caller(&self, workspace: &WorkspaceId) -> Option<WorkspaceId> {
        let own = self.callers.get(workspace).map_or(0, |c| c.queued);
        let (largest, caller) = self.callers.iter().max_by_key(|(_, c)| c.queued)?;
        (caller.queued > own + 1).then(|| largest.clone())
    }

    /// Takes a queue slot for `work`.
    pub(crate) fn enqueue(&mut self, now: Timestamp, work: &Work) {
        self.rate.advance(now, self.queued > 0);
        let tokens = self.expected(work);
        self.queued += 1;
        self.bytes += work.size.0;
        let caller = self.callers.entry(work.workspace.clone()).or_default();
        caller.queued += 1;
        caller.tokens[work.rank.index()] += tokens;
    }

    /// Gives the queue slot of `work` back.
    pub(crate) fn dequeue(&mut self, work: &Work) {
        let tokens = self.expected(work);
        self.queued -= 1;
        self.bytes -= work.size.0;
        if let Some(caller) = self.callers.get_mut(&work.workspace) {
            caller.queued -= 1;
            let sum = &mut caller.tokens[work.rank.index()];
            // The expected use may have changed since the work was queued.
            *sum = if caller.queued == 0 { 0.0 } else { (*sum - tokens).max(0.0) };
        }
        self.forget(&work.workspace);
    }

    /// Takes a concurrency slot. `waited` tells whether the work could not start at once.
    pub(crate) fn start(&mut self, now: Timestamp, work: &Work, waited: bool) {
        self.rate.advance(now, self.queued > 0);
        if waited {
            self.rate.started(now, self.expected(work));
        }
        self.running += 1;
        self.callers.entry(work.workspace.clone()).or_default().running += 1;
    }

    /// Gives a concurrency slot back.
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

    /// Learns from a request that ran for `time` and used `served` tokens.
    pub(crate) fn learn(&mut self, work: &Work, time: Millis, served: u64) {
        // A request that failed or timed out says nothing about the time that an answer takes.
        if served == 0 {
            return;
        }
        self.service.add(time.0 as f64);
        self.tokens.add(served as f64);
        self.usage.add((served as f64 / work.cost.0.max(1) as f64).min(1.0));
    }

    /// Returns the mean time from start to end in milliseconds, zero if unknown.
    pub(crate) fn service_time(&self) -> f64 {
        self.service.or(0.0)
    }

    /// Returns the time in milliseconds for which the answer to `work` has to be allowed.
    ///
    /// It is zero while nothing runs, so that a wrong estimate is corrected by a request that
    /// tries. Requests shorter than the mean are allowed less; longer ones are not allowed more,
    /// since their upper bound says little about the tokens they use.
    pub(crate) fn time_needed(&self, work: &Work) -> f64 {
        if self.running == 0 {
            return 0.0;
        }
        let mean = self.tokens.or(1.0).max(1.0);
        self.service_time() * (self.expected(work) / mean).min(1.0)
    }

    /// Returns the expected wait of new work in milliseconds.
    ///
    /// Start-time fair queueing serves every other workspace at most as much as this one before
    /// the work starts, so only that much of each queue is in front.
    pub(crate) fn wait(&self, now: Timestamp, work: &Work) -> f64 {
        let queued = |c: &Caller| -> f64 { c.tokens[..=work.rank.index()].iter().sum() };
        let own = self.callers.get(&work.workspace).map_or(0.0, queued) + self.expected(work);
        // The work itself is not in front: its own queue counts as far as it is there, and with an
        // empty queue there is no wait, whatever rate was measured while the servers hung.
        let front: f64 = self.callers.values().map(|caller| queued(caller).min(own)).sum();
        self.drain_time(now, front)
    }

    fn drain_time(&self, now: Timestamp, tokens: f64) -> f64 {
        match self.rate.rate(now) {
            Some(rate) if tokens > 0.0 => tokens / rate.max(f64::MIN_POSITIVE),
            _ => 0.0,
        }
    }

    /// Returns when a refused caller may find the queue half empty.
    pub(crate) fn retry_after(&self, now: Timestamp) -> Millis {
        let queued: f64 = self.callers.values().flat_map(|c| c.tokens).sum();
        bounded(self.drain_time(now, queued / 2.0).max(self.service_time()))
    }

    pub(crate) fn earn_retry(&mut self, policy: &SchedulePolicy) {
        let most = f64::from(policy.retry_burst);
        self.retries = (self.retries + policy.retry_share.fraction()).min(most);
    }

    pub(crate) fn take_retry(&mut self) -> bool {
        // Ten sums of 0.1 stay a little under one.
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

/// Returns `ms` within the bounds of a useful `retry_after`.
pub(crate) fn bounded(ms: f64) -> Millis {
    Millis(ms.clamp(LEAST_RETRY, MOST_RETRY) as u64)
}

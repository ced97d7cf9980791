//! Limits, counters and estimates of one kind of work.

use std::collections::BTreeMap;

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::WorkspaceId;

use crate::KindLimits;
use crate::SchedulePolicy;
use crate::WorkItem;
use crate::estimate::Mean;
use crate::estimate::ServiceRate;

/// Minimum `retry_after` of a refusal. Retries within 100 ms add load but are unlikely to succeed.
const MIN_RETRY_AFTER_MS: f64 = 100.0;
/// Maximum `retry_after` of a refusal. Estimates beyond 30 s are unreliable.
const MAX_RETRY_AFTER_MS: f64 = 30_000.0;

/// Ten additions of a share of 0.1 sum to slightly less than one retry.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Queued and running requests of one workspace in a kind.
#[derive(Debug, Default)]
struct WorkspaceUsage {
    queued: usize,
    running: usize,
    /// Expected tokens of the queued requests, by [`Rank::index`](berylwheel_types::Rank::index).
    queued_tokens: [f64; 3],
}

/// State of one kind of work.
#[derive(Debug)]
pub(crate) struct Kind {
    pub(crate) limits: KindLimits,
    pub(crate) queued: usize,
    pub(crate) queued_bytes: u64,
    pub(crate) running: usize,
    workspaces: BTreeMap<WorkspaceId, WorkspaceUsage>,
    service_rate: ServiceRate,
    /// Time from start to completion in milliseconds.
    service_time: Mean,
    /// Tokens used per request.
    mean_tokens: Mean,
    /// Tokens used, as a fraction of the request's upper bound.
    used_fraction: Mean,
    /// Retry budget; the fractional part accumulates until a whole retry is available.
    retry_budget: f64,
}

impl Kind {
    pub(crate) fn new(limits: KindLimits, policy: &SchedulePolicy) -> Self {
        Self {
            limits,
            queued: 0,
            queued_bytes: 0,
            running: 0,
            workspaces: BTreeMap::new(),
            service_rate: ServiceRate::new(),
            service_time: Mean::new(),
            mean_tokens: Mean::new(),
            used_fraction: Mean::new(),
            retry_budget: policy.retry_burst.value(),
        }
    }

    /// Returns the number of tokens that `work` is expected to use. Requests with a cost of zero
    /// count as one token, so that fair queueing applies to them too.
    pub(crate) fn expected_tokens(&self, work: &WorkItem) -> f64 {
        work.cost.0.max(1) as f64 * self.used_fraction.value_or(1.0)
    }

    pub(crate) fn has_queue_room(&self, size: u64) -> bool {
        self.queued < self.limits.queue_length
            && self.queued_bytes.saturating_add(size) <= self.limits.queue_bytes.0
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.running < self.limits.concurrency
    }

    /// Returns the number of queued and running requests of `workspace`.
    pub(crate) fn in_progress(&self, workspace: &WorkspaceId) -> usize {
        self.workspaces.get(workspace).map_or(0, |u| u.queued + u.running)
    }

    /// Returns the workspace with the most queued requests, if it has more than `workspace` would
    /// have after queueing one more request.
    pub(crate) fn larger_workspace(&self, workspace: &WorkspaceId) -> Option<WorkspaceId> {
        let own = self.workspaces.get(workspace).map_or(0, |u| u.queued);
        let (largest, usage) = self.workspaces.iter().max_by_key(|(_, u)| u.queued)?;
        (usage.queued > own + 1).then(|| largest.clone())
    }

    /// Acquires a queue slot for `work`.
    pub(crate) fn enqueue(&mut self, now: Timestamp, work: &WorkItem) {
        self.service_rate.advance(now, self.queued > 0);
        let tokens = self.expected_tokens(work);
        self.queued += 1;
        self.queued_bytes += work.size.0;
        let usage = self.workspaces.entry(work.workspace.clone()).or_default();
        usage.queued += 1;
        usage.queued_tokens[work.rank.index()] += tokens;
    }

    /// Releases the queue slot of `work`.
    pub(crate) fn dequeue(&mut self, work: &WorkItem) {
        let tokens = self.expected_tokens(work);
        self.queued -= 1;
        self.queued_bytes -= work.size.0;
        if let Some(usage) = self.workspaces.get_mut(&work.workspace) {
            usage.queued -= 1;
            let sum = &mut usage.queued_tokens[work.rank.index()];
            // The estimate may have changed since the request was queued.
            *sum = if usage.queued == 0 { 0.0 } else { (*sum - tokens).max(0.0) };
        }
        self.remove_if_idle(&work.workspace);
    }

    /// Acquires a concurrency slot. `waited` is set if the request had to wait in the queue.
    pub(crate) fn acquire_slot(&mut self, now: Timestamp, work: &WorkItem, waited: bool) {
        self.service_rate.advance(now, self.queued > 0);
        if waited {
            self.service_rate.record_start(now, self.expected_tokens(work));
        }
        self.running += 1;
        self.workspaces.entry(work.workspace.clone()).or_default().running += 1;
    }

    /// Releases a concurrency slot.
    pub(crate) fn release_slot(&mut self, work: &WorkItem) {
        self.running -= 1;
        if let Some(usage) = self.workspaces.get_mut(&work.workspace) {
            usage.running -= 1;
        }
        self.remove_if_idle(&work.workspace);
    }

    fn remove_if_idle(&mut self, workspace: &WorkspaceId) {
        if self.in_progress(workspace) == 0 {
            self.workspaces.remove(workspace);
        }
    }

    /// Updates the estimates with a request that ran for `time` and used `served` tokens.
    pub(crate) fn record_completion(&mut self, work: &WorkItem, time: Millis, served: u64) {
        // Failed and timed-out requests would distort the service time estimate.
        if served == 0 {
            return;
        }
        self.service_time.add(time.0 as f64);
        self.mean_tokens.add(served as f64);
        self.used_fraction.add((served as f64 / work.cost.0.max(1) as f64).min(1.0));
    }

    /// Returns the mean time from start to completion in milliseconds, or zero if unknown.
    pub(crate) fn service_time(&self) -> f64 {
        self.service_time.value_or(0.0)
    }

    /// Returns the estimated run time of `work` in milliseconds.
    ///
    /// The estimate is zero while nothing is running, so that a request is always admitted then and
    /// can correct an estimate that is too high. It scales down for requests smaller than the mean,
    /// but not up for larger ones, because their upper bound is a poor predictor of actual usage.
    pub(crate) fn expected_time(&self, work: &WorkItem) -> f64 {
        if self.running == 0 {
            return 0.0;
        }
        let mean = self.mean_tokens.value_or(1.0).max(1.0);
        self.service_time() * (self.expected_tokens(work) / mean).min(1.0)
    }

    /// Returns the expected queueing delay of new work in milliseconds.
    ///
    /// Under start-time fair queueing, no other workspace is served more than this one before the
    /// request starts. Each workspace's backlog therefore counts only up to the backlog of this
    /// workspace, including the new request.
    pub(crate) fn queueing_delay(&self, now: Timestamp, work: &WorkItem) -> f64 {
        let queued =
            |u: &WorkspaceUsage| -> f64 { u.queued_tokens[..=work.rank.index()].iter().sum() };
        let own =
            self.workspaces.get(&work.workspace).map_or(0.0, queued) + self.expected_tokens(work);
        // The new request itself is not part of the backlog. With an empty queue the delay is zero,
        // whatever service rate was measured while the servers were hanging.
        let backlog: f64 = self.workspaces.values().map(|usage| queued(usage).min(own)).sum();
        self.drain_time(now, backlog)
    }

    fn drain_time(&self, now: Timestamp, tokens: f64) -> f64 {
        match self.service_rate.tokens_per_ms(now) {
            Some(rate) if tokens > 0.0 => tokens / rate.max(f64::MIN_POSITIVE),
            _ => 0.0,
        }
    }

    /// Returns the estimated time until half of the queue has drained.
    pub(crate) fn retry_after(&self, now: Timestamp) -> Millis {
        let queued: f64 = self.workspaces.values().flat_map(|u| u.queued_tokens).sum();
        clamp_retry_after(self.drain_time(now, queued / 2.0).max(self.service_time()))
    }

    pub(crate) fn refill_retries(&mut self, policy: &SchedulePolicy) {
        let max_retries = policy.retry_burst.value();
        self.retry_budget = (self.retry_budget + policy.retry_share.value()).min(max_retries);
    }

    pub(crate) fn take_retry(&mut self) -> bool {
        let granted = self.available_retries() > 0;
        if granted {
            self.retry_budget = (self.retry_budget - 1.0).max(0.0);
        }
        granted
    }

    /// Returns the number of retries that would be granted now.
    pub(crate) fn available_retries(&self) -> u32 {
        (self.retry_budget + ROUNDING_TOLERANCE) as u32
    }

    pub(crate) fn advance_rate(&mut self, now: Timestamp) {
        self.service_rate.advance(now, self.queued > 0);
    }
}

/// Clamps `ms` to the allowed range of `retry_after`.
pub(crate) fn clamp_retry_after(ms: f64) -> Millis {
    Millis(ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) as u64)
}

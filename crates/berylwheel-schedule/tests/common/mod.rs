//! Test driver with a manual clock that tracks the expected state of every request.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::collections::BTreeMap;

use berylwheel_schedule::KindLimits;
use berylwheel_schedule::SchedulePolicy;
use berylwheel_schedule::Scheduler;
use berylwheel_schedule::WorkItem;
use berylwheel_types::ByteSize;
use berylwheel_types::Code;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Limits of each kind and workspace in [`Driver`].
pub const QUEUE_LENGTH: usize = 6;
pub const QUEUE_BYTES: u64 = 1_500;
pub const CONCURRENCY: usize = 3;
pub const WORKSPACE_LIMIT: usize = 5;

/// Returns a proptest configuration with a fixed seed, so that failures are reproducible.
pub fn seeded_config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Expected state of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Status {
    Queued,
    Running,
    Ended(&'static str),
}

/// Random operation on the scheduler. `pick` selects one of the requests in the required state.
#[derive(Debug, Clone)]
pub enum Op {
    Submit { workspace: usize, kind: usize, model: usize, rank: usize, cost: u64, size: u64 },
    Start { models: [bool; 2] },
    Finish { pick: usize, quarters: u64 },
    FirstToken { pick: usize },
    Cancel { pick: usize },
    Requeue { pick: usize },
    Preempt,
    Expire,
    Advance { ms: u64 },
}

pub fn ops() -> impl Strategy<Value = Vec<Op>> {
    let submit = (0..3usize, 0..2usize, 0..2usize, 0..3usize, 1..1_000u64, 1..400u64).prop_map(
        |(workspace, kind, model, rank, cost, size)| Op::Submit {
            workspace,
            kind,
            model,
            rank,
            cost,
            size,
        },
    );
    let op = prop_oneof![
        8 => submit,
        5 => any::<[bool; 2]>().prop_map(|models| Op::Start { models }),
        2 => (0..50usize, 0..=4u64).prop_map(|(pick, quarters)| Op::Finish { pick, quarters }),
        1 => (0..50usize).prop_map(|pick| Op::FirstToken { pick }),
        1 => (0..50usize).prop_map(|pick| Op::Cancel { pick }),
        1 => (0..50usize).prop_map(|pick| Op::Requeue { pick }),
        1 => Just(Op::Preempt),
        1 => Just(Op::Expire),
        2 => (1..600u64).prop_map(|ms| Op::Advance { ms }),
    ];
    prop::collection::vec(op, 1..120)
}

pub fn work(name: &str, workspace: &str, kind: &str, rank: Rank, cost: u64) -> WorkItem {
    WorkItem {
        request: name.parse().unwrap(),
        workspace: workspace.parse().unwrap(),
        kind: kind.parse().unwrap(),
        model: Some("m0".parse().unwrap()),
        rank,
        cost: Tokens(cost),
        size: ByteSize(100),
        deadline: Timestamp::from_millis(u64::MAX),
    }
}

pub fn limits(queue_length: usize, concurrency: usize) -> KindLimits {
    KindLimits { queue_length, queue_bytes: ByteSize(1 << 30), concurrency }
}

/// Applies operations to a scheduler and checks the state transition of each request.
pub struct Driver {
    pub scheduler: Scheduler,
    pub now: Timestamp,
    pub requests: BTreeMap<RequestId, (WorkItem, Status)>,
    pub started: usize,
    preempted: Vec<RequestId>,
    next_id: usize,
}

impl Driver {
    pub fn new() -> Self {
        let policy =
            SchedulePolicy { workspace_limit: WORKSPACE_LIMIT, ..SchedulePolicy::default() };
        let mut scheduler = Scheduler::new(policy);
        let limits =
            KindLimits { queue_bytes: ByteSize(QUEUE_BYTES), ..limits(QUEUE_LENGTH, CONCURRENCY) };
        scheduler.set_kind_limits("k0".parse().unwrap(), limits);
        scheduler.set_kind_limits("k1".parse().unwrap(), limits);
        let now = Timestamp::from_millis(1_000);
        let (requests, preempted) = (BTreeMap::new(), Vec::new());
        Self { scheduler, now, requests, started: 0, preempted, next_id: 0 }
    }

    pub fn with_status(&self, status: &Status) -> Vec<&WorkItem> {
        self.requests.values().filter(|(_, s)| s == status).map(|(work, _)| work).collect()
    }

    fn choose(&self, status: &Status, index: usize) -> Option<RequestId> {
        let all = self.with_status(status);
        (!all.is_empty()).then(|| all[index % all.len()].request.clone())
    }

    fn transition(&mut self, request: &RequestId, from: &Status, to: Status) {
        let (_, status) = self.requests.get_mut(request).expect("request was submitted");
        assert_eq!(status, from, "invalid state transition of {request}");
        *status = to;
    }

    fn collect_dropped(&mut self) {
        for (request, refusal) in self.scheduler.take_dropped(self.now) {
            assert!(matches!(refusal.code, Code::DeadlineUnmet | Code::QueueFull));
            self.transition(&request, &Status::Queued, Status::Ended("dropped"));
        }
    }

    pub fn start(&mut self, models: [bool; 2]) -> Option<WorkItem> {
        let mut can_start = |work: &WorkItem| match &work.model {
            Some(model) => models[usize::from(model.as_str() == "m1")],
            None => false,
        };
        let work = self.scheduler.start_next(self.now, &mut can_start)?;
        // An evicted request must not start, even before its eviction is reported.
        self.transition(&work.request, &Status::Queued, Status::Running);
        self.started += 1;
        Some(work)
    }

    pub fn apply(&mut self, op: &Op) {
        match *op {
            Op::Submit { workspace, kind, model, rank, cost, size } => {
                self.next_id += 1;
                let (name, owner) = (format!("q{:04}", self.next_id), format!("w{workspace}"));
                let mut work = work(&name, &owner, &format!("k{kind}"), Rank::ALL[rank], cost);
                work.model = Some(format!("m{model}").parse().unwrap());
                work.size = ByteSize(size);
                work.deadline = self.now + Millis(cost * 3);
                let status = match self.scheduler.submit(self.now, work.clone()) {
                    Ok(()) => Status::Queued,
                    Err(_) => Status::Ended("refused"),
                };
                self.requests.insert(work.request.clone(), (work, status));
                // Collects evictions immediately, so that the expected state includes them.
                self.collect_dropped();
            }
            Op::Start { models } => drop(self.start(models)),
            Op::Finish { pick, quarters } => {
                if let Some(request) = self.choose(&Status::Running, pick) {
                    let served = Tokens(self.requests[&request].0.cost.0 * quarters / 4);
                    self.scheduler.finish(self.now, &request, served);
                    self.preempted.retain(|r| *r != request);
                    self.transition(&request, &Status::Running, Status::Ended("finished"));
                }
            }
            Op::FirstToken { pick } => {
                if let Some(request) = self.choose(&Status::Running, pick) {
                    self.scheduler.record_first_token(self.now, &request);
                }
            }
            Op::Cancel { pick } => {
                if let Some(request) = self.choose(&Status::Queued, pick) {
                    self.scheduler.cancel(&request);
                    self.transition(&request, &Status::Queued, Status::Ended("cancelled"));
                }
            }
            Op::Requeue { pick } => {
                // Mostly requeues preempted requests, sometimes retries any running request.
                let popped = if pick % 3 > 0 { self.preempted.pop() } else { None };
                if let Some(request) = popped.or_else(|| self.choose(&Status::Running, pick)) {
                    self.preempted.retain(|r| *r != request);
                    self.scheduler.requeue(self.now, &request);
                    self.transition(&request, &Status::Running, Status::Queued);
                    self.collect_dropped();
                }
            }
            Op::Preempt => self.preempted.extend(self.scheduler.preempt(self.now)),
            Op::Expire => self.collect_dropped(),
            Op::Advance { ms } => self.now += Millis(ms),
        }
    }

    /// Counts the queued and running requests of `workspace` in `kind`.
    pub fn request_count(&self, workspace: &str, kind: &str) -> usize {
        let matching =
            |work: &&WorkItem| work.workspace.as_str() == workspace && work.kind.as_str() == kind;
        let [queued, running] = [Status::Queued, Status::Running].map(|s| self.with_status(&s));
        queued.into_iter().chain(running).filter(matching).count()
    }

    pub fn preempted(&self, kind: &str) -> usize {
        let matching = |r: &&RequestId| self.requests[*r].0.kind.as_str() == kind;
        self.preempted.iter().filter(matching).count()
    }

    /// Finishes all running requests and expires all queued ones.
    pub fn drain(&mut self) {
        self.now += Millis(1_000_000);
        while self.choose(&Status::Running, 0).is_some() {
            self.apply(&Op::Finish { pick: 0, quarters: 4 });
        }
        self.collect_dropped();
    }
}

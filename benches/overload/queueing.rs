//! The queue of one router: the scheduler, or the FIFO queue that users have today as baseline.

use std::collections::VecDeque;

use berylwheel_schedule::KindLimits;
use berylwheel_schedule::SchedulePolicy;
use berylwheel_schedule::Scheduler;
use berylwheel_schedule::WorkItem;
use berylwheel_types::ByteSize;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use crate::load::ENGINE_SLOTS;
use crate::load::KINDS;
use crate::load::KindOf;
use crate::load::Request;
use crate::load::SERVICE_SLOTS;
use crate::load::Size;
use crate::load::TOKEN_MS;

/// The type of queue that the routers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Queueing {
    Scheduler,
    FirstCome,
}

/// The queue of one router and its view of the servers.
pub struct Router {
    pub queue: Queue,
    /// Requests in flight to each server.
    pub in_flight: Vec<usize>,
    /// Round-robin position among the services and among the engines.
    pub turn: [usize; 2],
}

pub enum Queue {
    Scheduler(Box<Scheduler>),
    FirstCome(VecDeque<usize>),
}

/// Returns a router's share of the slots of all engines or all services.
pub fn slots(size: &Size, engine: bool) -> usize {
    match engine {
        true => size.engines * ENGINE_SLOTS / size.routers,
        false => size.services * SERVICE_SLOTS / size.routers,
    }
}

/// Sets the limits of a kind as docs/operators/overload.md recommends: the queue holds as many
/// requests as the concurrency of the kind can serve within the latency target of its rank.
fn limits(size: &Size, kind: &KindOf, policy: &SchedulePolicy) -> KindLimits {
    let concurrency = (slots(size, kind.engine) as f64 * kind.bound).ceil();
    let service_ms = (kind.tokens * TOKEN_MS) as f64;
    let target = policy.rank(kind.rank).latency_target.0 as f64;
    KindLimits {
        queue_length: (concurrency * target / service_ms).ceil() as usize,
        queue_bytes: ByteSize(64 << 20),
        concurrency: concurrency as usize,
    }
}

impl Router {
    pub fn new(size: &Size, queueing: Queueing) -> Self {
        let queue = match queueing {
            Queueing::FirstCome => Queue::FirstCome(VecDeque::new()),
            Queueing::Scheduler => {
                let policy =
                    SchedulePolicy { workspace_limit: slots(size, true) / 2, ..Default::default() };
                let mut scheduler = Scheduler::new(policy);
                for kind in &KINDS {
                    let limits = limits(size, kind, &policy);
                    scheduler.set_kind_limits(kind.name.parse().expect("a valid name"), limits);
                }
                Queue::Scheduler(Box::new(scheduler))
            }
        };
        Self { queue, in_flight: vec![0; size.engines + size.services], turn: [0; 2] }
    }
}

/// Returns the request with the index `id` as the scheduler sees it.
pub fn work(id: usize, request: &Request) -> WorkItem {
    let kind = request.kind();
    WorkItem {
        request: format!("{id}").parse().expect("a valid name"),
        workspace: format!("w{}", request.workspace).parse().expect("a valid name"),
        kind: kind.name.parse().expect("a valid name"),
        model: kind.engine.then(|| "m".parse().expect("a valid name")),
        rank: kind.rank,
        cost: Tokens(request.cost),
        size: ByteSize(2_000),
        deadline: Timestamp::from_millis(request.deadline()),
    }
}

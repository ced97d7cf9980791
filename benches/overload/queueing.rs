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
use crate::load::FleetSize;
use crate::load::KINDS;
use crate::load::KindSpec;
use crate::load::Request;
use crate::load::SERVICE_SLOTS;
use crate::load::TOKEN_MS;

/// The type of queue that the routers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueKind {
    Scheduler,
    Fifo,
}

/// The queue of one router and its view of the servers.
pub struct Router {
    pub queue: Queue,
    /// Requests in flight to each server.
    pub in_flight: Vec<usize>,
    /// Round-robin position among the services and among the engines.
    pub round_robin: [usize; 2],
}

pub enum Queue {
    Scheduler(Box<Scheduler>),
    Fifo(VecDeque<usize>),
}

/// Returns a router's share of the slots of all engines or all services.
pub fn router_slots(size: &FleetSize, on_engine: bool) -> usize {
    match on_engine {
        true => size.engines * ENGINE_SLOTS / size.routers,
        false => size.services * SERVICE_SLOTS / size.routers,
    }
}

/// Sets the limits of a kind as docs/operators/overload.md recommends: the queue holds as many
/// requests as the concurrency of the kind can serve within the latency target of its rank.
fn kind_limits(size: &FleetSize, kind: &KindSpec, policy: &SchedulePolicy) -> KindLimits {
    let concurrency = (router_slots(size, kind.on_engine) as f64 * kind.slot_share).ceil();
    let service_ms = (kind.mean_tokens * TOKEN_MS) as f64;
    let target = policy.rank(kind.rank).latency_target.0 as f64;
    KindLimits {
        queue_length: (concurrency * target / service_ms).ceil() as usize,
        queue_bytes: ByteSize(64 << 20),
        concurrency: concurrency as usize,
    }
}

impl Router {
    pub fn new(size: &FleetSize, queue_kind: QueueKind) -> Self {
        let queue = match queue_kind {
            QueueKind::Fifo => Queue::Fifo(VecDeque::new()),
            QueueKind::Scheduler => {
                let policy = SchedulePolicy {
                    workspace_limit: router_slots(size, true) / 2,
                    ..Default::default()
                };
                let mut scheduler = Scheduler::new(policy);
                for kind in &KINDS {
                    let limits = kind_limits(size, kind, &policy);
                    scheduler.set_kind_limits(kind.name.parse().expect("a valid name"), limits);
                }
                Queue::Scheduler(Box::new(scheduler))
            }
        };
        Self { queue, in_flight: vec![0; size.engines + size.services], round_robin: [0; 2] }
    }
}

/// Returns the request with the index `id` as the scheduler sees it.
pub fn work_item(id: usize, request: &Request) -> WorkItem {
    let kind = request.kind();
    WorkItem {
        request: format!("{id}").parse().expect("a valid name"),
        workspace: format!("w{}", request.workspace).parse().expect("a valid name"),
        kind: kind.name.parse().expect("a valid name"),
        model: kind.on_engine.then(|| "m".parse().expect("a valid name")),
        rank: kind.rank,
        cost: Tokens(request.max_tokens),
        size: ByteSize(2_000),
        deadline: Timestamp::from_millis(request.deadline_ms()),
    }
}

//! Queue of one rank, with hierarchical start-time fair queueing: across workspaces, and within a
//! workspace across its queues by kind and model.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use berylwheel_types::KindId;
use berylwheel_types::ModelId;
use berylwheel_types::RequestId;
use berylwheel_types::Tokens;
use berylwheel_types::WorkspaceId;

use crate::Work;

/// Key of a queue. Requests of the same kind and model can run on the same backend servers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    pub(crate) kind: KindId,
    pub(crate) model: Option<ModelId>,
}

impl QueueKey {
    pub(crate) fn of(work: &Work) -> Self {
        Self { kind: work.kind.clone(), model: work.model.clone() }
    }
}

/// Requests of one kind and model in a workspace, first in, first out.
#[derive(Debug, Default)]
struct Queue {
    /// Start tag of the next request, in the virtual time of the flow.
    tag: f64,
    items: VecDeque<RequestId>,
}

/// Queues of one workspace.
#[derive(Debug, Default)]
struct Flow {
    /// Start tag of the next request, in the virtual time of the rank.
    tag: f64,
    /// Virtual time among the queues of this flow.
    clock: f64,
    queues: BTreeMap<QueueKey, Queue>,
    queued: usize,
}

impl Flow {
    /// Returns the first request of each queue in service order.
    fn order(&self) -> Vec<(&QueueKey, &RequestId)> {
        let mut heads: Vec<_> =
            self.queues.iter().filter_map(|(k, q)| Some((q.tag, k, q.items.front()?))).collect();
        heads.sort_by(|a, b| a.0.total_cmp(&b.0));
        heads.into_iter().map(|(_, key, head)| (key, head)).collect()
    }

    /// Charges `cost` to the queue of `key` and advances the flow's virtual time.
    fn charge(&mut self, key: &QueueKey, cost: f64) {
        let Some(start) = self.queues.get(key).map(|q| q.tag) else {
            return;
        };
        self.clock = self.clock.max(start);
        // Queues with an earlier start tag had no request that could start. Advance them, so that
        // they do not catch up in a burst later.
        for queue in self.queues.values_mut().filter(|q| q.tag < start) {
            queue.tag = start;
        }
        if let Some(queue) = self.queues.get_mut(key) {
            queue.tag += cost;
        }
        let clock = self.clock;
        self.queues.retain(|_, q| !q.items.is_empty() || q.tag > clock);
    }
}

/// Fair queue over all workspaces of one rank.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    flows: BTreeMap<WorkspaceId, Flow>,
    /// Virtual time among the flows.
    clock: f64,
    queued: usize,
}

impl Lane {
    pub(crate) fn len(&self) -> usize {
        self.queued
    }

    /// Counts `work` as queued and returns the queue to insert it into.
    fn queue(&mut self, work: &Work) -> &mut Queue {
        self.queued += 1;
        let flow = self.flows.entry(work.workspace.clone()).or_default();
        if flow.queued == 0 {
            flow.tag = flow.tag.max(self.clock);
        }
        flow.queued += 1;
        let queue = flow.queues.entry(QueueKey::of(work)).or_default();
        if queue.items.is_empty() {
            queue.tag = queue.tag.max(flow.clock);
        }
        queue
    }

    pub(crate) fn push(&mut self, work: &Work) {
        self.queue(work).items.push_back(work.request.clone());
    }

    /// Puts previously started work back at the front of its queue.
    pub(crate) fn push_front(&mut self, work: &Work) {
        self.queue(work).items.push_front(work.request.clone());
    }

    /// Removes work from its queue without a charge.
    pub(crate) fn remove(&mut self, work: &Work) {
        let Some(flow) = self.flows.get_mut(&work.workspace) else {
            return;
        };
        let Some(queue) = flow.queues.get_mut(&QueueKey::of(work)) else {
            return;
        };
        let Some(at) = queue.items.iter().position(|r| *r == work.request) else {
            return;
        };
        queue.items.remove(at);
        flow.queued -= 1;
        self.queued -= 1;
        self.settle();
    }

    /// Removes work from its queue to start it, and charges `cost` to its workspace.
    pub(crate) fn start(&mut self, work: &Work, cost: f64) {
        if let Some(flow) = self.flows.get_mut(&work.workspace) {
            let start = flow.tag;
            flow.charge(&QueueKey::of(work), cost);
            flow.tag += cost;
            self.clock = self.clock.max(start);
            // Flows with an earlier start tag had no request that could start. Advance them, so
            // that they do not catch up in a burst later.
            for other in self.flows.values_mut().filter(|f| f.tag < start) {
                other.tag = start;
            }
        }
        self.remove(work);
    }

    /// Adds `difference`, the tokens used less those charged, to the charge of a workspace.
    ///
    /// The original charge may have been discarded at the end of its busy period. A refund
    /// therefore never moves a start tag below the current virtual time.
    pub(crate) fn correct(&mut self, workspace: &WorkspaceId, difference: f64) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.tag = (flow.tag + difference).max(flow.tag.min(self.clock));
        }
    }

    /// Charges a workspace for tokens served by another router. The charge moves its start tag at
    /// most `lead` tokens past the virtual time.
    pub(crate) fn served_elsewhere(&mut self, workspace: &WorkspaceId, tokens: f64, lead: Tokens) {
        let latest = self.clock + lead.0 as f64;
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.tag = flow.tag.max((flow.tag + tokens).min(latest));
        }
    }

    /// Removes flows that have no queued requests and no charge ahead of the virtual time.
    fn settle(&mut self) {
        if self.queued == 0 {
            // The busy period is over: past service no longer affects the order.
            self.flows.clear();
            return;
        }
        let clock = self.clock;
        self.flows.retain(|_, flow| flow.queued > 0 || flow.tag > clock);
    }

    /// Returns the first request of each queue in service order.
    pub(crate) fn order(&self) -> impl Iterator<Item = (&QueueKey, &RequestId)> {
        let mut flows: Vec<_> = self.flows.values().filter(|f| f.queued > 0).collect();
        flows.sort_by(|a, b| a.tag.total_cmp(&b.tag));
        flows.into_iter().flat_map(Flow::order)
    }

    /// Returns the last request in the first nonempty queue of `workspace` for `kind`.
    pub(crate) fn newest(&self, workspace: &WorkspaceId, kind: &KindId) -> Option<&RequestId> {
        let flow = self.flows.get(workspace)?;
        flow.queues.iter().find_map(|(key, q)| (key.kind == *kind).then(|| q.items.back())?)
    }

    /// Returns the IDs of all queued requests.
    pub(crate) fn requests(&self) -> impl Iterator<Item = &RequestId> {
        self.flows.values().flat_map(|f| f.queues.values()).flat_map(|q| &q.items)
    }
}

//! Queue of one rank, with hierarchical start-time fair queueing: across workspaces, and within a
//! workspace across its queues by kind and model.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use berylwheel_types::KindId;
use berylwheel_types::ModelId;
use berylwheel_types::RequestId;
use berylwheel_types::Tokens;
use berylwheel_types::WorkspaceId;

use crate::WorkItem;

/// Key of a queue. Requests of the same kind and model can run on the same backend servers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    pub(crate) kind: KindId,
    pub(crate) model: Option<ModelId>,
}

impl QueueKey {
    pub(crate) fn of(work: &WorkItem) -> Self {
        Self { kind: work.kind.clone(), model: work.model.clone() }
    }
}

/// Requests of one kind and model in a workspace, first in, first out.
#[derive(Debug, Default)]
struct Queue {
    /// Start tag of the next request, in the virtual time of the flow.
    start_tag: f64,
    requests: VecDeque<RequestId>,
}

/// Queues of one workspace.
#[derive(Debug, Default)]
struct Flow {
    /// Start tag of the next request, in the virtual time of the rank.
    start_tag: f64,
    /// Virtual time among the queues of this flow.
    virtual_time: f64,
    queues: BTreeMap<QueueKey, Queue>,
    queued: usize,
}

impl Flow {
    /// Returns the first request of each queue in service order.
    fn heads(&self) -> Vec<(&QueueKey, &RequestId)> {
        let mut heads: Vec<_> = self
            .queues
            .iter()
            .filter_map(|(k, q)| Some((q.start_tag, k, q.requests.front()?)))
            .collect();
        heads.sort_by(|a, b| a.0.total_cmp(&b.0));
        heads.into_iter().map(|(_, key, head)| (key, head)).collect()
    }

    /// Charges `cost` to the queue of `key` and advances the flow's virtual time.
    fn charge(&mut self, key: &QueueKey, cost: f64) {
        let Some(start) = self.queues.get(key).map(|q| q.start_tag) else {
            return;
        };
        self.virtual_time = self.virtual_time.max(start);
        // Queues with an earlier start tag had no request that could start. Advance them, so that
        // they do not catch up in a burst later.
        for queue in self.queues.values_mut().filter(|q| q.start_tag < start) {
            queue.start_tag = start;
        }
        if let Some(queue) = self.queues.get_mut(key) {
            queue.start_tag += cost;
        }
        let virtual_time = self.virtual_time;
        self.queues.retain(|_, q| !q.requests.is_empty() || q.start_tag > virtual_time);
    }
}

/// Fair queue over all workspaces of one rank.
#[derive(Debug, Default)]
pub(crate) struct RankQueue {
    flows: BTreeMap<WorkspaceId, Flow>,
    /// Virtual time among the flows.
    virtual_time: f64,
    queued: usize,
}

impl RankQueue {
    pub(crate) fn len(&self) -> usize {
        self.queued
    }

    /// Counts `work` as queued and returns the queue to insert it into.
    fn reserve(&mut self, work: &WorkItem) -> &mut Queue {
        self.queued += 1;
        let flow = self.flows.entry(work.workspace.clone()).or_default();
        if flow.queued == 0 {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
        }
        flow.queued += 1;
        let queue = flow.queues.entry(QueueKey::of(work)).or_default();
        if queue.requests.is_empty() {
            queue.start_tag = queue.start_tag.max(flow.virtual_time);
        }
        queue
    }

    pub(crate) fn push(&mut self, work: &WorkItem) {
        self.reserve(work).requests.push_back(work.request.clone());
    }

    /// Puts previously started work back at the front of its queue.
    pub(crate) fn push_front(&mut self, work: &WorkItem) {
        self.reserve(work).requests.push_front(work.request.clone());
    }

    /// Removes work from its queue without a charge.
    pub(crate) fn remove(&mut self, work: &WorkItem) {
        let Some(flow) = self.flows.get_mut(&work.workspace) else {
            return;
        };
        let Some(queue) = flow.queues.get_mut(&QueueKey::of(work)) else {
            return;
        };
        let Some(index) = queue.requests.iter().position(|r| *r == work.request) else {
            return;
        };
        queue.requests.remove(index);
        flow.queued -= 1;
        self.queued -= 1;
        self.remove_idle_flows();
    }

    /// Removes work from its queue to start it, and charges `cost` to its workspace.
    pub(crate) fn start(&mut self, work: &WorkItem, cost: f64) {
        if let Some(flow) = self.flows.get_mut(&work.workspace) {
            let start = flow.start_tag;
            flow.charge(&QueueKey::of(work), cost);
            flow.start_tag += cost;
            self.virtual_time = self.virtual_time.max(start);
            // Flows with an earlier start tag had no request that could start. Advance them, so
            // that they do not catch up in a burst later.
            for other in self.flows.values_mut().filter(|f| f.start_tag < start) {
                other.start_tag = start;
            }
        }
        self.remove(work);
    }

    /// Adds `difference`, the tokens used less those charged, to the charge of a workspace.
    ///
    /// The original charge may have been discarded at the end of its busy period. A refund
    /// therefore never moves a start tag below the current virtual time.
    pub(crate) fn adjust_charge(&mut self, workspace: &WorkspaceId, difference: f64) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.start_tag =
                (flow.start_tag + difference).max(flow.start_tag.min(self.virtual_time));
        }
    }

    /// Charges a workspace for tokens served by another router. The charge moves its start tag at
    /// most `max_penalty` tokens past the virtual time.
    pub(crate) fn charge_peer_service(
        &mut self,
        workspace: &WorkspaceId,
        tokens: f64,
        max_penalty: Tokens,
    ) {
        let max_tag = self.virtual_time + max_penalty.0 as f64;
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.start_tag = flow.start_tag.max((flow.start_tag + tokens).min(max_tag));
        }
    }

    /// Removes flows that have no queued requests and no charge ahead of the virtual time.
    fn remove_idle_flows(&mut self) {
        if self.queued == 0 {
            // The busy period is over: past service no longer affects the order.
            self.flows.clear();
            return;
        }
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| flow.queued > 0 || flow.start_tag > virtual_time);
    }

    /// Returns the first request of each queue in service order.
    pub(crate) fn heads(&self) -> impl Iterator<Item = (&QueueKey, &RequestId)> {
        let mut flows: Vec<_> = self.flows.values().filter(|f| f.queued > 0).collect();
        flows.sort_by(|a, b| a.start_tag.total_cmp(&b.start_tag));
        flows.into_iter().flat_map(Flow::heads)
    }

    /// Returns the last request in the first nonempty queue of `workspace` for `kind`.
    pub(crate) fn last_queued(&self, workspace: &WorkspaceId, kind: &KindId) -> Option<&RequestId> {
        let flow = self.flows.get(workspace)?;
        flow.queues.iter().find_map(|(key, q)| (key.kind == *kind).then(|| q.requests.back())?)
    }

    /// Returns the IDs of all queued requests.
    pub(crate) fn requests(&self) -> impl Iterator<Item = &RequestId> {
        self.flows.values().flat_map(|f| f.queues.values()).flat_map(|q| &q.requests)
    }
}

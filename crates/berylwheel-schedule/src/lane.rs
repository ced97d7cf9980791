//! The queue of one rank: start-time fair queueing over workspaces, and over kinds inside each.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use berylwheel_types::KindId;
use berylwheel_types::ModelId;
use berylwheel_types::RequestId;
use berylwheel_types::Tokens;
use berylwheel_types::WorkspaceId;

use crate::Work;

/// Work of one kind and model, which the same servers can take.
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

#[derive(Debug, Default)]
struct Queue {
    tag: f64,
    items: VecDeque<RequestId>,
}

/// The queues of one workspace.
#[derive(Debug, Default)]
struct Flow {
    /// Virtual time at which the next request of the flow starts.
    tag: f64,
    clock: f64,
    queues: BTreeMap<QueueKey, Queue>,
    queued: usize,
}

impl Flow {
    fn order(&self) -> Vec<(&QueueKey, &RequestId)> {
        let mut heads: Vec<_> =
            self.queues.iter().filter_map(|(k, q)| Some((q.tag, k, q.items.front()?))).collect();
        heads.sort_by(|a, b| a.0.total_cmp(&b.0));
        heads.into_iter().map(|(_, key, head)| (key, head)).collect()
    }

    fn charge(&mut self, key: &QueueKey, cost: f64) {
        let Some(start) = self.queues.get(key).map(|q| q.tag) else {
            return;
        };
        self.clock = self.clock.max(start);
        // A queue with an earlier tag could not start; it must not catch up later in one burst.
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

/// All queued work of one rank.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    flows: BTreeMap<WorkspaceId, Flow>,
    clock: f64,
    queued: usize,
}

impl Lane {
    pub(crate) fn len(&self) -> usize {
        self.queued
    }

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

    /// Puts work that had started back in front of its queue.
    pub(crate) fn push_front(&mut self, work: &Work) {
        self.queue(work).items.push_front(work.request.clone());
    }

    /// Takes work out of its queue without charging for it.
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

    /// Takes work that starts out of its queue and charges `cost` to its workspace.
    pub(crate) fn start(&mut self, work: &Work, cost: f64) {
        if let Some(flow) = self.flows.get_mut(&work.workspace) {
            let start = flow.tag;
            flow.charge(&QueueKey::of(work), cost);
            flow.tag += cost;
            self.clock = self.clock.max(start);
            // A flow with an earlier tag had no work that could start. It must not catch up later.
            for other in self.flows.values_mut().filter(|f| f.tag < start) {
                other.tag = start;
            }
        }
        self.remove(work);
    }

    /// Adds the difference between the tokens charged and used.
    ///
    /// The charge may have been forgotten with its busy period, so what is given back brings no
    /// flow ahead of the lane's clock.
    pub(crate) fn correct(&mut self, workspace: &WorkspaceId, difference: f64) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.tag = (flow.tag + difference).max(flow.tag.min(self.clock));
        }
    }

    /// Sets a workspace back for tokens that another router served to it.
    pub(crate) fn served_elsewhere(&mut self, workspace: &WorkspaceId, tokens: f64, lead: Tokens) {
        let latest = self.clock + lead.0 as f64;
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.tag = flow.tag.max((flow.tag + tokens).min(latest));
        }
    }

    /// Forgets flows that hold neither work nor a lead.
    fn settle(&mut self) {
        if self.queued == 0 {
            // The busy period is over, and what each workspace was served in it is forgotten.
            self.flows.clear();
            return;
        }
        let clock = self.clock;
        self.flows.retain(|_, flow| flow.queued > 0 || flow.tag > clock);
    }

    /// Returns the first request of each queue in the order of service.
    pub(crate) fn order(&self) -> impl Iterator<Item = (&QueueKey, &RequestId)> {
        let mut flows: Vec<_> = self.flows.values().filter(|f| f.queued > 0).collect();
        flows.sort_by(|a, b| a.tag.total_cmp(&b.tag));
        flows.into_iter().flat_map(Flow::order)
    }

    /// Returns the requests of `workspace` in `kind`, the newest first.
    pub(crate) fn newest(&self, workspace: &WorkspaceId, kind: &KindId) -> Option<&RequestId> {
        let flow = self.flows.get(workspace)?;
        flow.queues.iter().find_map(|(key, q)| (key.kind == *kind).then(|| q.items.back())?)
    }

    /// Returns all queued requests.
    pub(crate) fn requests(&self) -> impl Iterator<Item = &RequestId> {
        self.flows.values().flat_map(|f| f.queues.values()).flat_map(|q| &q.items)
    }
}

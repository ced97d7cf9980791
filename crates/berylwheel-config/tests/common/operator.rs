//! Simulated operators that each submit one change through one router.

use berylwheel_config::Change;
use berylwheel_config::Outcome;
use berylwheel_config::Proposal;
use berylwheel_config::Transaction;
use berylwheel_config::outcome;
use berylwheel_config::propose;
use berylwheel_types::Millis;
use berylwheel_types::Version;

use super::Event;
use super::Fleet;

/// An operator with a submitted change.
pub struct Operator {
    node: usize,
    pub change: Change,
    transaction: Transaction,
    /// The final outcome reported to the operator.
    pub final_outcome: Option<Outcome>,
}

impl Fleet {
    /// Submits `change` through the router `node`, based on the configuration that it holds, if
    /// any. Returns the index of the operator, or `None` if the change is refused immediately.
    pub fn submit(&mut self, node: usize, change: Change) -> Option<usize> {
        let process = self.nodes[node].process.as_ref()?;
        let current = process.config.root().zip(process.config.settings());
        let now = self.now;
        let Ok(Proposal::Write(transaction)) = propose(current, &change, now) else {
            return None;
        };
        let operator = self.operators.len();
        let transaction = *transaction;
        self.operators.push(Operator { node, change, transaction, final_outcome: None });
        self.send_write(operator);
        Some(operator)
    }

    /// Returns the version that the router `node` holds, or zero if it holds none.
    pub fn version(&self, node: usize) -> Version {
        let process = self.nodes[node].process.as_ref();
        process.and_then(|process| process.config.version()).unwrap_or_default()
    }

    fn send_write(&mut self, operator: usize) {
        self.net.send_store(self.now, Event::Write(operator));
        // A client that receives no response reads the root to resolve the outcome of the change.
        self.net.schedule(self.now + Millis(1_000), Event::Resolve(operator));
    }

    pub(super) fn write(&mut self, operator: usize) {
        if !self.store.up {
            return;
        }
        let committed = self.store.commit(&self.operators[operator].transaction);
        if !self.store.loses_responses {
            self.net.send_store(self.now, Event::Written(operator, committed));
        }
    }

    pub(super) fn written(&mut self, operator: usize, committed: bool) {
        let Operator { node, transaction, final_outcome, .. } = &mut self.operators[operator];
        let (node, now) = (*node, self.now);
        if !committed || final_outcome.is_some() {
            return;
        }
        *final_outcome = Some(Outcome::Accepted(transaction.root.version));
        if let Some(process) = &mut self.nodes[node].process {
            process.config.apply_committed(now, transaction);
            process.stored_version = process.stored_version.max(Some(transaction.root.version));
            self.poll(node);
        }
    }

    pub(super) fn resolve(&mut self, operator: usize) {
        let known = &mut self.operators[operator];
        if known.final_outcome.is_some() {
            return;
        }
        if !self.store.up {
            self.net.schedule(self.now + Millis(1_000), Event::Resolve(operator));
            return;
        }
        match outcome(self.store.root.as_ref(), &known.change) {
            Outcome::Pending => self.send_write(operator),
            result => known.final_outcome = Some(result),
        }
    }
}
